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

// DefaultSegment is the size from which a segment takes no more records.
// Small segments are removed sooner after a snapshot; each costs two syncs.
const DefaultSegment = 16 << 20

// Options adjust a store; the zero value is the usual one.
type Options struct {
	// Disk replaces the operating system's files.
	Disk *Disk
	// Segment replaces DefaultSegment.
	Segment int64
}

// Store is the open data folder of one member. Its methods may be called
// from several goroutines; a snapshot is written while appends go on.
type Store struct {
	disk   Disk
	folder string
	member modeler.MemberID
	limit  int64
	unlock func() error

	// writing is held while a snapshot file is written or read.
	writing sync.Mutex
	// mutex guards what follows.
	mutex sync.Mutex
	// failed is the error after which nothing works any more.
	failed   error
	file     File
	salt     []byte
	size     int64
	segments []segment
	// next is the sequence of the next record.
	next uint64
	// synced is the sequence of the last record known to be synced.
	synced  uint64
	durable modeler.HardState
	// base is the entry that the snapshot ends with.
	base modeler.Index
	last modeler.Index
	// lastSynced is the last entry known to be synced.
	lastSynced modeler.Index
	// terms are those of the entries after base.
	terms []modeler.Term
	// reset says that the next segment must tell readers to drop the
	// entries before it.
	reset  bool
	buffer bytes.Buffer
}

// segment is one file of the log.
type segment struct {
	name string
	// top is the highest index that any entry in the file has.
	top modeler.Index
	// records says that there are records after the header.
	records bool
}

func segmentName(sequence uint64) string { return fmt.Sprintf("log-%016x", sequence) }

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

func (s *Store) current() *segment { return &s.segments[len(s.segments)-1] }

// Append writes entries, which follow each other without a gap. Entries from
// the first one's index on that are already in the log are replaced. The
// entries are durable after the next Sync. When the disk is full, nothing is
// appended and the error is of the kind StorageFull.
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
	if err := s.makeRoom(); err != nil {
		return err
	}
	s.buffer.Reset()
	for i := range entries {
		if err := s.encode(entryRecord, uint64(i), &entries[i]); err != nil {
			return err
		}
	}
	if err := s.write(uint64(len(entries))); err != nil {
		return err
	}
	for i := range entries {
		s.noteEntry(entries[i].Index, entries[i].Term)
	}
	return nil
}

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

func (s *Store) noteEntry(index modeler.Index, term modeler.Term) {
	s.terms = append(s.terms[:index-s.base-1], term)
	s.last = index
	s.lastSynced = min(s.lastSynced, index-1)
	s.current().top = max(s.current().top, index)
}

// SaveDurable writes the term and vote; they are durable after the next Sync.
func (s *Store) SaveDurable(durable modeler.HardState) error {
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
	if err := s.makeRoom(); err != nil {
		return err
	}
	s.buffer.Reset()
	if err := s.encode(durableRecord, 0, &durable); err != nil {
		return err
	}
	if err := s.write(1); err != nil {
		return err
	}
	s.durable = durable
	return nil
}

// Sync makes everything written so far durable; only then may it be
// acknowledged to anyone.
func (s *Store) Sync() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed != nil {
		return s.failed
	}
	return s.sync()
}

// Synced returns the last entry that is durable.
func (s *Store) Synced() modeler.Index {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastSynced
}

// Close releases the files and the lock. It doesn't sync.
func (s *Store) Close() error {
	s.writing.Lock()
	defer s.writing.Unlock()
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

// encode adds a record to the buffer, offset records after the next one.
func (s *Store) encode(kind recordKind, offset uint64, payload any) error {
	return encodeRecord(&s.buffer, s.salt, kind, s.next+offset, s.synced, payload)
}

// write appends the buffer's records to the segment.
func (s *Store) write(records uint64) error {
	_, err := s.file.WriteAt(s.buffer.Bytes(), s.size)
	if err == nil {
		s.size += int64(s.buffer.Len())
		s.next += records
		s.current().records = true
		return nil
	}
	if !isFull(err) {
		return s.fail(err, "a write to %s failed", s.current().name)
	}
	if err := s.file.Truncate(s.size); err != nil {
		return s.fail(err, "%s could not be cut back after a refused write", s.current().name)
	}
	// Without this sync the cut bytes could come back after a crash, behind
	// a later record of the same length.
	if err := s.syncFile(); err != nil {
		return err
	}
	return classifier.Wrap(classifier.StorageFull, err, "nothing was appended")
}

func (s *Store) sync() error {
	if s.synced == s.next-1 {
		return nil
	}
	return s.syncFile()
}

func (s *Store) syncFile() error {
	if err := s.file.Sync(); err != nil {
		return s.fail(err, "a sync of %s failed", s.current().name)
	}
	s.synced = s.next - 1
	s.lastSynced = s.last
	return nil
}

func (s *Store) syncFolder() error {
	if err := s.disk.SyncFolder(s.folder); err != nil {
		return s.fail(err, "a sync of the folder %s failed", s.folder)
	}
	return nil
}

// fail makes err the answer to every later call.
func (s *Store) fail(err error, format string, args ...any) error {
	s.failed = classifier.Wrap(classifier.Internal, err, fmt.Sprintf(format, args...)+"; the store takes no more calls")
	return s.failed
}

func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// makeRoom starts a new segment when the current one is full or its entries
// no longer hold.
func (s *Store) makeRoom() error {
	if s.size < s.limit && !s.reset {
		return nil
	}
	return s.roll()
}

// roll starts a new segment. The old one is synced first, so that only the
// last segment can have a torn tail.
func (s *Store) roll() error {
	if err := s.sync(); err != nil {
		return err
	}
	file, salt, err := s.createSegment()
	if err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return s.fail(err, "%s could not be closed", s.current().name)
	}
	s.useSegment(file, salt)
	return nil
}

func (s *Store) useSegment(file File, salt []byte) {
	s.file, s.salt, s.size = file, salt, headerSize
	s.segments = append(s.segments, segment{name: segmentName(s.next)})
	s.synced = s.next
	s.next++
	if s.reset {
		s.dropTops()
	}
	s.reset = false
}

// dropTops notes that no entry before the current segment holds any more.
func (s *Store) dropTops() {
	for i := range s.segments {
		s.segments[i].top = 0
	}
}

// createSegment writes and syncs a segment that holds only its header.
func (s *Store) createSegment() (file File, salt []byte, err error) {
	salt = make([]byte, saltSize)
	_, _ = rand.Read(salt)
	s.buffer.Reset()
	s.buffer.WriteString(segmentMagic)
	s.buffer.Write(salt)
	header := segmentHeader{Member: s.member, Durable: s.durable, Last: s.last, Reset: s.reset}
	if err := encodeRecord(&s.buffer, salt, headerRecord, s.next, s.next-1, &header); err != nil {
		return File{}, nil, err
	}
	s.buffer.Write(make([]byte, headerSize-s.buffer.Len()))
	file, err = s.writeFile(segmentName(s.next), s.buffer.Bytes())
	if err != nil {
		return File{}, nil, err
	}
	if err := s.syncFolder(); err != nil {
		return File{}, nil, err
	}
	return file, salt, nil
}

// chunk bounds what one sync of a new file has to write. Appends share the
// disk with a snapshot and wait for its sync; with one sync for 32 MiB, an
// append took up to 44 ms.
const chunk = 1 << 20

// writeChunks writes the parts one behind the other, synced.
func writeChunks(file File, parts [][]byte) (syncing bool, err error) {
	offset := int64(0)
	for _, part := range parts {
		for piece := range slices.Chunk(part, chunk) {
			if _, err := file.WriteAt(piece, offset); err != nil {
				return false, err
			}
			offset += int64(len(piece))
			if len(piece) < chunk {
				continue
			}
			if err := file.Sync(); err != nil {
				return true, err
			}
		}
	}
	return true, file.Sync()
}

// writeFile creates a file with the given content and syncs it. It removes
// the file again when the disk is full.
func (s *Store) writeFile(name string, parts ...[]byte) (File, error) {
	file, err := s.disk.Create(s.path(name))
	if err != nil && isFull(err) {
		return File{}, classifier.Wrap(classifier.StorageFull, err, name+" was not written")
	}
	if err != nil {
		return File{}, s.fail(err, "%s could not be created", name)
	}
	syncing, err := writeChunks(file, parts)
	if err != nil && !syncing && isFull(err) {
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

// replaceFile writes a file under a temporary name and renames it.
func (s *Store) replaceFile(name string, parts ...[]byte) error {
	file, err := s.writeFile(name+temporary, parts...)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return s.fail(err, "%s could not be closed", name)
	}
	if err := s.disk.Rename(s.path(name+temporary), s.path(name)); err != nil {
		return s.fail(err, "%s could not be renamed", name)
	}
	return s.syncFolder()
}

// remove removes a file and syncs the folder, so that files go in the order
// in which they are removed.
func (s *Store) remove(name string) error {
	if err := s.disk.Remove(s.path(name)); err != nil {
		return s.fail(err, "%s could not be removed", name)
	}
	return s.syncFolder()
}
