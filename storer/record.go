package storer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"

	"github.com/fxamacker/cbor/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// recordKind says what the payload of a record holds.
type recordKind uint8

const (
	headerRecord recordKind = iota + 1
	entryRecord
	durableRecord
)

// A record is
//
//	checksum 4 | length 4 | sequence 8 | behind 4 | kind 1 | payload
//
// with sizes in bytes and numbers in little-endian order. The checksum covers the
// salt of the segment and all bytes of the record after the checksum. Behind is
// the number of records after the last one that was known to be synced when this
// one was written, including this one. It allows the reader to tell damage to a
// synced record from a torn write.
const (
	recordHeadSize = 4 + 4 + 8 + 4 + 1
	// MaxPayload bounds the payload of one record in bytes, so that a damaged
	// length can't make the reader allocate without limit.
	MaxPayload = 64 << 20
)

// A segment begins with a magic text and a random salt. The salt prevents a copy
// of a record inside a payload, or a block of a removed segment, from passing for
// a record of this segment.
const (
	segmentMagic    = "GCSLOG1\n"
	segmentPreamble = len(segmentMagic) + saltSize
	saltSize        = 8
	// headerSize is the size of the preamble and the header record together,
	// padded with zeros. The other records begin after it, so a file of at most
	// this size holds none, whatever its content.
	headerSize = 128
)

// segmentHeader is the payload of a segment's first record. It repeats the state
// from earlier segments, so that these can be removed.
type segmentHeader struct {
	Member  modeler.MemberID  `cbor:"1,keyasint"`
	Durable modeler.HardState `cbor:"2,keyasint"`
	// Last is the last entry before this segment.
	Last modeler.Index `cbor:"3,keyasint,omitempty"`
	// Reset says that a snapshot up to Last has replaced all entries of earlier
	// segments.
	Reset bool `cbor:"4,keyasint,omitempty"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var encoder = mustEncoder()

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func checksum(salt, covered []byte) uint32 {
	return crc32.Update(crc32.Checksum(salt, castagnoli), castagnoli, covered)
}

// encodeRecord appends a record to the buffer; synced is the sequence of the last
// record known to be synced.
func encodeRecord(buffer *bytes.Buffer, salt []byte, kind recordKind, sequence, synced uint64, payload any) error {
	var head [recordHeadSize]byte
	start := buffer.Len()
	buffer.Write(head[:])
	if err := encoder.MarshalToBuffer(payload, buffer); err != nil {
		return classifier.Wrap(classifier.Internal, err, "can't encode a record")
	}
	record := buffer.Bytes()[start:]
	length := len(record) - recordHeadSize
	if length > MaxPayload {
		return classifier.New(classifier.TooLarge, "a record of %d bytes is above the limit of %d", length, MaxPayload)
	}
	binary.LittleEndian.PutUint32(record[4:], uint32(length))
	binary.LittleEndian.PutUint64(record[8:], sequence)
	binary.LittleEndian.PutUint32(record[16:], uint32(min(sequence-synced, math.MaxUint32)))
	record[20] = byte(kind)
	binary.LittleEndian.PutUint32(record, checksum(salt, record[4:]))
	return nil
}

// record is a decoded record. Its payload refers to the bytes of the segment.
type record struct {
	kind     recordKind
	sequence uint64
	// synced is the sequence of the last record that was known to be synced when
	// this one was written.
	synced  uint64
	payload []byte
	// size is the size of the whole record in bytes.
	size int
}

// decodeRecord reads the record at the start of data.
func decodeRecord(salt, data []byte) (record, error) {
	if len(data) < recordHeadSize {
		return record{}, fmt.Errorf("%d bytes are too few for a record", len(data))
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > MaxPayload || length > len(data)-recordHeadSize {
		return record{}, fmt.Errorf("the record's payload length of %d bytes exceeds the limit or the rest of the segment", length)
	}
	size := recordHeadSize + length
	if checksum(salt, data[4:size]) != binary.LittleEndian.Uint32(data) {
		return record{}, fmt.Errorf("the record's checksum doesn't match its content")
	}
	sequence := binary.LittleEndian.Uint64(data[8:])
	return record{
		kind:     recordKind(data[20]),
		sequence: sequence,
		synced:   sequence - uint64(binary.LittleEndian.Uint32(data[16:])),
		payload:  data[recordHeadSize:size],
		size:     size,
	}, nil
}

// provesSynced searches data, which begins with a damaged or misplaced record, for
// an intact record which shows that the record of the given sequence was synced.
func provesSynced(salt, data []byte, sequence uint64) bool {
	most := sequence + uint64(len(data)/recordHeadSize)
	for at := 0; at+recordHeadSize <= len(data); at++ {
		found := binary.LittleEndian.Uint64(data[at+8:])
		if found <= sequence || found > most {
			continue
		}
		later, err := decodeRecord(salt, data[at:])
		if err == nil && later.synced >= sequence {
			return true
		}
	}
	return false
}

// A sealed file is written as a whole. It holds an encoded payload and raw bytes,
// which are kept out of the payload to avoid a copy of them:
//
//	magic 8 | checksum 4 | payload's length 8 | raw length 8 | payload | raw
const (
	sealedHeadSize = 8 + 4 + 8 + 8
	identityMagic  = "GCSIDEN1"
	snapshotMagic  = "GCSSNAP1"
)

// sealFile returns the part of a sealed file before the raw bytes.
func sealFile(magic string, payload any, raw []byte) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteString(magic)
	var head [sealedHeadSize - 8]byte
	buffer.Write(head[:])
	if err := encoder.MarshalToBuffer(payload, &buffer); err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "can't encode a file")
	}
	data := buffer.Bytes()
	binary.LittleEndian.PutUint64(data[12:], uint64(len(data)-sealedHeadSize))
	binary.LittleEndian.PutUint64(data[20:], uint64(len(raw)))
	sum := crc32.Update(checksum(data[:8], data[12:]), castagnoli, raw)
	binary.LittleEndian.PutUint32(data[8:], sum)
	return data, nil
}

// unsealFile checks the content of a sealed file, decodes its payload and returns
// its raw bytes.
func unsealFile(magic, path string, data []byte, into any) ([]byte, error) {
	if len(data) < sealedHeadSize || string(data[:8]) != magic {
		return nil, newDamageError(path, 0, "the file is too short or doesn't begin with the expected magic text")
	}
	payload := binary.LittleEndian.Uint64(data[12:])
	raw := binary.LittleEndian.Uint64(data[20:])
	held := uint64(len(data) - sealedHeadSize)
	if payload > held || raw != held-payload {
		return nil, newDamageError(path, 12, "the lengths in the file's head don't add up to its size")
	}
	if checksum(data[:8], data[12:]) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, newDamageError(path, 8, "the file's checksum doesn't match its content")
	}
	end := sealedHeadSize + int(payload)
	if err := cbor.Unmarshal(data[sealedHeadSize:end], into); err != nil {
		return nil, newDamageError(path, sealedHeadSize, err.Error())
	}
	return data[end:], nil
}

// Damage describes a damaged file. Offset is in bytes.
type Damage struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason in one line.
func (d *Damage) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", d.File, d.Offset, d.Reason)
}

func newDamageError(path string, offset int, reason string) error {
	cause := &Damage{File: path, Offset: int64(offset), Reason: reason}
	return &classifier.Error{Kind: classifier.Internal, Detail: "the data folder can't be used", Cause: cause}
}
