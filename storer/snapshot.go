package storer

import (
	"errors"
	"fmt"
	"io/fs"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const temporarySuffix = ".tmp"

func snapshotName(index modeler.Index) string { return fmt.Sprintf("snapshot-%016x", uint64(index)) }

// SaveSnapshot makes a snapshot durable and then removes the segments that it
// covers. The entries after it are kept when the log holds the snapshot's last
// entry with its term, and are dropped otherwise. A snapshot that is not newer
// than the saved one is ignored. When the disk is full, the error is of the kind
// StorageFull and the old snapshot stays.
func (s *Store) SaveSnapshot(snapshot modeler.Snapshot) error {
	s.snapshotMutex.Lock()
	defer s.snapshotMutex.Unlock()
	old, err := s.snapshotBase()
	if err != nil || snapshot.Index <= old {
		return err
	}
	meta := snapshot
	meta.Data = nil
	head, err := sealFile(snapshotMagic, &meta, snapshot.Data)
	if err != nil {
		return err
	}
	if err := s.writeSnapshot(snapshotName(snapshot.Index), head, snapshot.Data); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed != nil {
		return s.failed
	}
	s.rebase(snapshot.Index, snapshot.Term)
	if old > 0 {
		if err := s.remove(snapshotName(old)); err != nil {
			return err
		}
	}
	return s.compact()
}

// Snapshot reads the saved snapshot. Its index is 0 when there is none.
func (s *Store) Snapshot() (modeler.Snapshot, error) {
	s.snapshotMutex.Lock()
	defer s.snapshotMutex.Unlock()
	base, err := s.snapshotBase()
	if err != nil || base == 0 {
		return modeler.Snapshot{}, err
	}
	return s.readSnapshot(snapshotName(base))
}

func (s *Store) snapshotBase() (modeler.Index, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.base, s.failed
}

func (s *Store) readSnapshot(name string) (modeler.Snapshot, error) {
	var snapshot modeler.Snapshot
	data, err := s.disk.Read(s.path(name))
	if err != nil {
		return snapshot, classifier.Wrap(classifier.Internal, err, "can't read the snapshot")
	}
	raw, err := unsealFile(snapshotMagic, s.path(name), data, &snapshot)
	if len(raw) > 0 {
		snapshot.Data = raw
	}
	if err == nil && snapshotName(snapshot.Index) != name {
		err = newDamageError(s.path(name), 0, fmt.Sprintf("the file holds the snapshot of entry %d", snapshot.Index))
	}
	return snapshot, err
}

// writeSnapshot writes the file through a second Store value without holding the
// mutex, so that a large snapshot doesn't delay appends. It takes the mutex only
// to pass on a failure.
func (s *Store) writeSnapshot(name string, head, data []byte) error {
	detached := &Store{disk: s.disk, folder: s.folder}
	err := detached.replaceFile(name, head, data)
	if detached.failed == nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed == nil {
		s.failed = detached.failed
	}
	return s.failed
}

// rebase makes the log continue after a durable snapshot. Unless the log holds the
// snapshot's last entry with its term, all entries are dropped.
func (s *Store) rebase(index modeler.Index, term modeler.Term) {
	known := index > s.base && index <= s.last
	if known && s.terms[index-s.base-1] == term {
		s.terms = append([]modeler.Term(nil), s.terms[index-s.base:]...)
		s.lastSynced = max(s.lastSynced, index)
	} else {
		s.terms = nil
		s.last, s.lastSynced = index, index
		s.resetPending = true
	}
	s.base = index
}

// compact removes the segments whose entries the snapshot covers, and starts a new
// segment, so that the current one can be removed too. When the disk is full, the
// new segment is left for later and there is no error.
func (s *Store) compact() error {
	// Until a reset or the entries that replace conflicting ones are synced, the
	// old segments are needed to tell that their entries conflict with the
	// snapshot.
	if !s.resetPending {
		if err := s.sync(); err != nil {
			return err
		}
		if err := s.removeSegments(); err != nil {
			return err
		}
	}
	if !s.resetPending && !s.currentSegment().records {
		return nil
	}
	err := s.rollSegment()
	if s.failed == nil && classifier.KindOf(err) == classifier.StorageFull {
		return nil
	}
	if err != nil {
		return err
	}
	return s.removeSegments()
}

// removeSegments removes the oldest segments up to the first that holds an entry
// after the snapshot.
func (s *Store) removeSegments() error {
	for len(s.segments) > 1 && s.segments[0].maxIndex <= s.base {
		if err := s.remove(s.segments[0].name); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// removeLeftovers removes temporary files, incomplete segments and superseded
// snapshots that a crash has left behind.
func (s *Store) removeLeftovers(names []string) error {
	for _, name := range names {
		err := s.disk.Remove(s.path(name))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return s.fail(err, "%s could not be removed", name)
		}
	}
	if len(names) > 0 {
		return s.syncFolder()
	}
	return nil
}
