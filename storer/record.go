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

// recordKind tells what the payload of a record is.
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
// in little-endian order. The checksum covers the salt of the segment and
// everything after itself. Behind is the number of records since the last
// one that was known to be synced when this one was written, itself
// included; it tells damage to a synced record from a torn write.
const (
	recordHead = 4 + 4 + 8 + 4 + 1
	// MaxPayload bounds one record, so that a damaged length can't make the
	// reader allocate without bound.
	MaxPayload = 64 << 20
)

// A segment begins with a magic text and a salt. The salt keeps a copy of a
// record inside a payload, or a block of a removed segment, from being taken
// for a record of this segment.
const (
	segmentMagic    = "GCSLOG1\n"
	segmentPreamble = len(segmentMagic) + saltSize
	saltSize        = 8
	// headerSize is that of the preamble and the header record together,
	// padded with zeros. Records begin behind it, so a file that is no
	// longer holds none, whatever its bytes are.
	headerSize = 128
)

// segmentHeader is the payload of a segment's first record. It repeats what
// earlier segments have said, so that they can be removed.
type segmentHeader struct {
	Member  modeler.MemberID  `cbor:"1,keyasint"`
	Durable modeler.HardState `cbor:"2,keyasint"`
	// Last is the last entry before this segment.
	Last modeler.Index `cbor:"3,keyasint,omitempty"`
	// Reset says that a snapshot up to Last has replaced all earlier
	// entries.
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

// encodeRecord appends a record to the buffer.
func encodeRecord(buffer *bytes.Buffer, salt []byte, kind recordKind, sequence, synced uint64, payload any) error {
	var head [recordHead]byte
	start := buffer.Len()
	buffer.Write(head[:])
	if err := encoder.MarshalToBuffer(payload, buffer); err != nil {
		return classifier.Wrap(classifier.Internal, err, "can't encode a record")
	}
	record := buffer.Bytes()[start:]
	length := len(record) - recordHead
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

// record is a decoded record; the payload is part of the segment's bytes.
type record struct {
	kind     recordKind
	sequence uint64
	// synced is the last record known to be synced when this was written.
	synced  uint64
	payload []byte
	// size is that of the whole record.
	size int
}

// decodeRecord reads the record at the start of data.
func decodeRecord(salt, data []byte) (record, error) {
	if len(data) < recordHead {
		return record{}, fmt.Errorf("%d bytes are too few for a record", len(data))
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > MaxPayload || length > len(data)-recordHead {
		return record{}, fmt.Errorf("the record's length of %d bytes goes beyond the end", length)
	}
	size := recordHead + length
	if checksum(salt, data[4:size]) != binary.LittleEndian.Uint32(data) {
		return record{}, fmt.Errorf("the record's checksum differs")
	}
	sequence := binary.LittleEndian.Uint64(data[8:])
	return record{
		kind:     recordKind(data[20]),
		sequence: sequence,
		synced:   sequence - uint64(binary.LittleEndian.Uint32(data[16:])),
		payload:  data[recordHead:size],
		size:     size,
	}, nil
}

// provesSynced looks in data, which begins with a bad or misplaced record, for
// a record that says that the one of the given sequence was synced.
func provesSynced(salt, data []byte, sequence uint64) bool {
	most := sequence + uint64(len(data)/recordHead)
	for at := 0; at+recordHead <= len(data); at++ {
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

// A sealed file is written as a whole and holds a payload, followed by raw
// bytes that are too many to be copied into it:
//
//	magic 8 | checksum 4 | payload's length 8 | raw length 8 | payload | raw
const (
	sealedHead    = 8 + 4 + 8 + 8
	identityMagic = "GCSIDEN1"
	snapshotMagic = "GCSSNAP1"
)

// sealFile returns what stands in front of the raw bytes.
func sealFile(magic string, payload any, raw []byte) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteString(magic)
	var head [sealedHead - 8]byte
	buffer.Write(head[:])
	if err := encoder.MarshalToBuffer(payload, &buffer); err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "can't encode a file")
	}
	data := buffer.Bytes()
	binary.LittleEndian.PutUint64(data[12:], uint64(len(data)-sealedHead))
	binary.LittleEndian.PutUint64(data[20:], uint64(len(raw)))
	sum := crc32.Update(checksum(data[:8], data[12:]), castagnoli, raw)
	binary.LittleEndian.PutUint32(data[8:], sum)
	return data, nil
}

// unsealFile decodes the payload and returns the raw bytes.
func unsealFile(magic, path string, data []byte, into any) ([]byte, error) {
	if len(data) < sealedHead || string(data[:8]) != magic {
		return nil, damage(path, 0, "the file's head is not that of such a file")
	}
	payload := binary.LittleEndian.Uint64(data[12:])
	raw := binary.LittleEndian.Uint64(data[20:])
	held := uint64(len(data) - sealedHead)
	if payload > held || raw != held-payload {
		return nil, damage(path, 12, "the lengths differ from that of the file")
	}
	if checksum(data[:8], data[12:]) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, damage(path, 8, "the file's checksum differs")
	}
	end := sealedHead + int(payload)
	if err := cbor.Unmarshal(data[sealedHead:end], into); err != nil {
		return nil, damage(path, sealedHead, err.Error())
	}
	return data[end:], nil
}

// Damage says where a file is damaged.
type Damage struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the place and the reason in one line.
func (d *Damage) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", d.File, d.Offset, d.Reason)
}

func damage(path string, offset int, reason string) error {
	cause := &Damage{File: path, Offset: int64(offset), Reason: reason}
	return &classifier.Error{Kind: classifier.Internal, Detail: "the data folder can't be used", Cause: cause}
}
