package storer

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// DefaultSegmentSize is the size in bytes from which a segment takes no more
// records. Small segments are removed sooner after a snapshot, but each new
// segment costs two syncs.
const DefaultSegmentSize = 16 << 20

// Options adjust a store. The zero value selects the defaults.
type Options struct {
	// Disk replaces the operating system's file system.
	Disk *Disk
	// SegmentSize replaces DefaultSegmentSize, in bytes.
	SegmentSize int64
}

// Store is the open data folder of one member. Its methods are safe for
// concurrent use, and appends continue while a snapshot is written.
type Store struct {
	disk   Disk
	folder string
	member modeler.MemberID
	// segmentLimit is the size in bytes from which a segment takes no more
	// records.
	segmentLimit int64
	unlock       func() error

	// snapshotMutex is held while a snapshot file is written or read.
	snapshotMutex sync.Mutex
	// mutex guards the fields below.
	mutex sync.Mutex
	// failed is the error that every call returns after a failure; nil before.
	failed error
	// file is the current segment, salt and size are those of this segment.
	file     File
	salt     []byte
	size     int64
	segments []segment
	// nextSequence is the sequence of the next record.
	nextSequence uint64
	// syncedSequence is the sequence of the last record known to be synced.
	syncedSequence uint64
	durable        modeler.HardState
	// base is the last entry that the snapshot covers, last that of the log.
	base modeler.Index
	last modeler.Index
	// lastSynced is the last entry known to be synced.
	lastSynced modeler.Index
	// terms are the terms of the entries after base.
	terms []modeler.Term
	// resetPending says that the header of the next segment must tell readers to
	// drop the entries of earlier segments.
	resetPending bool
	// buffer holds the encoded records of one write.
	buffer bytes.Buffer
}

// segment is one file of the log.
type segment struct {
	name string
	// maxIndex is the highest index of the entries in the file.
	maxIndex modeler.Index
	// records says whether the file holds records after its header.
	records bool
}

func segmentName(sequence uint64) string { return fmt.Sprintf("log-%016x", sequence) }

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

func (s *Store) currentSegment() *segment { return &s.segments[len(s.segments)-1] }

// Append writes entries with consecutive indexes to the log. They replace the
// entries of the log from the index of the first one on, and are durable after
// the next Sync. When the disk is full, nothing is appended and the error is of
// the kind StorageFull.
func (s *Store) Append(entries []modeler.LogEntry) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if len(entries) == 0 {
		return nil
	}
	if err := s.checkOrder(entries); err != nil {
		return err
	}
	if err := s.rollIfNeeded(); err != nil {
		return err
	}
	s.buffer.Reset()
	for i := range entries {
		if err := s.encode(entryRecord, uint64(i), &entries[i]); err != nil {
			return err
		}
	}
	if err := s.writeRecords(uint64(len(entries))); err != nil {
		return err
	}
	for i := range entries {
		s.trackEntry(entries[i].Index, entries[i].Term)
	}
	return nil
}

// checkOrder returns an error unless the entries are consecutive, come after the
// snapshot and leave no gap in the log.
func (s *Store) checkOrder(entries []modeler.LogEntry) error {
	first := entries[0].Index
	if first <= s.base {
		return classifier.New(classifier.Internal, "entry %d is already part of the snapshot up to %d", first, s.base)
	}
	if first > s.last+1 {
		return classifier.New(classifier.Internal, "entry %d leaves a gap after %d", first, s.last)
	}
	for i, entry := range entries {
		if entry.Index != first+modeler.Index(i) {
			return classifier.New(classifier.Internal, "entry %d stands where %d is expected", entry.Index, first+modeler.Index(i))
		}
	}
	return nil
}

// trackEntry notes that the current segment holds an entry, which may replace
// one of the same index.
func (s *Store) trackEntry(index modeler.Index, term modeler.Term) {
	s.terms = append(s.terms[:index-s.base-1], term)
	s.last = index
	s.lastSynced = min(s.lastSynced, index-1)
	s.currentSegment().maxIndex = max(s.currentSegment().maxIndex, index)
}

// SaveHardState writes the hard state, which is durable after the next Sync.
// When the disk is full, nothing is written and the error is of the kind
// StorageFull.
func (s *Store) SaveHardState(durable modeler.HardState) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.failed != nil:
		return s.failed
	case durable == s.durable:
		return nil
	case durable.Term < s.durable.Term:
		return classifier.New(classifier.Internal, "term %d is below the saved term %d", durable.Term, s.durable.Term)
	}
	if err := s.rollIfNeeded(); err != nil {
		return err
	}
	s.buffer.Reset()
	if err := s.encode(durableRecord, 0, &durable); err != nil {
		return err
	}
	if err := s.writeRecords(1); err != nil {
		return err
	}
	s.durable = durable
	return nil
}

// Sync makes everything written so far durable. Nothing may be acknowledged to
// anyone before.
func (s *Store) Sync() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed != nil {
		return s.failed
	}
	return s.sync()
}

// Synced returns the index of the last durable entry.
func (s *Store) Synced() modeler.Index {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastSynced
}

// Close closes the files and releases the lock on the folder. It doesn't sync.
func (s *Store) Close() error {
	s.snapshotMutex.Lock()
	defer s.snapshotMutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unlock == nil {
		return nil
	}
	err := errors.Join(s.file.Close(), s.unlock())
	s.unlock = nil
	if s.failed == nil {
		s.failed = classifier.New(classifier.Internal, "the store is closed")
	}
	return err
}

// encode adds a record to the buffer. Its sequence is nextSequence plus offset.
func (s *Store) encode(kind recordKind, offset uint64, payload any) error {
	return encodeRecord(&s.buffer, s.salt, kind, s.nextSequence+offset, s.syncedSequence, payload)
}

// writeRecords appends the records in the buffer, whose number is given, to the
// current segment. When the disk is full, it cuts what was written in part.
func (s *Store) writeRecords(records uint64) error {
	_, err := s.file.WriteAt(s.buffer.Bytes(), s.size)
	if err == nil {
		s.size += int64(s.buffer.Len())
		s.nextSequence += records
		s.currentSegment().records = true
		return nil
	}
	if !isDiskFull(err) {
		return s.fail(err, "a write to %s failed", s.currentSegment().name)
	}
	if err := s.file.Truncate(s.size); err != nil {
		return s.fail(err, "%s could not be truncated after a partial write", s.currentSegment().name)
	}
	// Without this sync the cut bytes could reappear after a crash, behind a
	// later record of the same length as the one cut off.
	if err := s.syncFile(); err != nil {
		return err
	}
	return classifier.Wrap(classifier.StorageFull, err, "nothing was appended to the log")
}

func (s *Store) sync() error {
	if s.syncedSequence == s.nextSequence-1 {
		return nil
	}
	return s.syncFile()
}

func (s *Store) syncFile() error {
	if err := s.file.Sync(); err != nil {
		return s.fail(err, "a sync of %s failed", s.currentSegment().name)
	}
	s.syncedSequence = s.nextSequence - 1
	s.lastSynced = s.last
	return nil
}

func (s *Store) syncFolder() error {
	if err := s.disk.SyncFolder(s.folder); err != nil {
		return s.fail(err, "a sync of the folder %s failed", s.folder)
	}
	return nil
}

// fail wraps err with a description, makes every later call return the result and
// returns it.
func (s *Store) fail(err error, format string, args ...any) error {
	s.failed = classifier.Wrap(classifier.Internal, err, fmt.Sprintf(format, args...)+"; the store refuses all further calls")
	return s.failed
}

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// rollIfNeeded starts a new segment when the current one is full or a snapshot
// has replaced all entries in the log.
func (s *Store) rollIfNeeded() error {
	if s.size < s.segmentLimit && !s.resetPending {
		return nil
	}
	return s.rollSegment()
}

// rollSegment starts a new segment. It syncs the old one first, so that only the
// last segment can end in a torn write.
func (s *Store) rollSegment() error {
	if err := s.sync(); err != nil {
		return err
	}
	file, salt, err := s.createSegment()
	if err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return s.fail(err, "%s could not be closed", s.currentSegment().name)
	}
	s.useSegment(file, salt)
	return nil
}

// useSegment makes a new segment, which holds only its header, the current one.
func (s *Store) useSegment(file File, salt []byte) {
	s.file, s.salt, s.size = file, salt, headerSize
	s.segments = append(s.segments, segment{name: segmentName(s.nextSequence)})
	s.syncedSequence = s.nextSequence
	s.nextSequence++
	if s.resetPending {
		s.clearMaxIndexes()
	}
	s.resetPending = false
}

// clearMaxIndexes notes that the entries in all segments are obsolete, so that
// the files may be removed.
func (s *Store) clearMaxIndexes() {
	for i := range s.segments {
		s.segments[i].maxIndex = 0
	}
}

// createSegment creates and syncs a segment file that holds only its header.
func (s *Store) createSegment() (file File, salt []byte, err error) {
	salt = make([]byte, saltSize)
	_, _ = rand.Read(salt)
	s.buffer.Reset()
	s.buffer.WriteString(segmentMagic)
	s.buffer.Write(salt)
	header := segmentHeader{Member: s.member, Durable: s.durable, Last: s.last, Reset: s.resetPending}
	if err := encodeRecord(&s.buffer, salt, headerRecord, s.nextSequence, s.nextSequence-1, &header); err != nil {
		return File{}, nil, err
	}
	s.buffer.Write(make([]byte, headerSize-s.buffer.Len()))
	file, err = s.writeFile(segmentName(s.nextSequence), s.buffer.Bytes())
	if err != nil {
		return File{}, nil, err
	}
	if err := s.syncFolder(); err != nil {
		return File{}, nil, err
	}
	return file, salt, nil
}

// syncChunkSize is the number of bytes of a new file that are written before each
// sync. Appends share the disk with a snapshot and wait for its syncs: with one
// sync for 32 MiB, an append took up to 44 ms.
const syncChunkSize = 1 << 20

// writeChunks writes the parts one after the other and syncs them. After an error,
// syncing says whether a sync has failed rather than a write.
func writeChunks(file File, parts [][]byte) (syncing bool, err error) {
	offset := int64(0)
	for _, part := range parts {
		for piece := range slices.Chunk(part, syncChunkSize) {
			if _, err := file.WriteAt(piece, offset); err != nil {
				return false, err
			}
			offset += int64(len(piece))
			if len(piece) < syncChunkSize {
				continue
			}
			if err := file.Sync(); err != nil {
				return true, err
			}
		}
	}
	return true, file.Sync()
}

// writeFile creates a file with the given content and syncs it. When the disk is
// full, it removes the file again and the error is of the kind StorageFull.
func (s *Store) writeFile(name string, parts ...[]byte) (File, error) {
	file, err := s.disk.Create(s.path(name))
	if err != nil && isDiskFull(err) {
		return File{}, classifier.Wrap(classifier.StorageFull, err, name+" was not written")
	}
	if err != nil {
		return File{}, s.fail(err, "%s could not be created", name)
	}
	syncing, err := writeChunks(file, parts)
	if err != nil && !syncing && isDiskFull(err) {
		_ = file.Close()
		if err := s.remove(name); err != nil {
			return File{}, err
		}
		return File{}, classifier.Wrap(classifier.StorageFull, err, name+" was not written")
	}
	if err != nil {
		return File{}, s.fail(err, "a write or sync of %s failed", name)
	}
	return file, nil
}

// replaceFile writes a file under a temporary name and renames it, so that a crash
// leaves either the old content or the new.
func (s *Store) replaceFile(name string, parts ...[]byte) error {
	file, err := s.writeFile(name+temporarySuffix, parts...)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return s.fail(err, "%s could not be closed", name)
	}
	if err := s.disk.Rename(s.path(name+temporarySuffix), s.path(name)); err != nil {
		return s.fail(err, "%s could not be renamed", name)
	}
	return s.syncFolder()
}

// remove removes a file and syncs the folder, so that no crash can undo a removal
// but keep a later one.
func (s *Store) remove(name string) error {
	if err := s.disk.Remove(s.path(name)); err != nil {
		return s.fail(err, "%s could not be removed", name)
	}
	return s.syncFolder()
}
