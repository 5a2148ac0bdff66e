package storer

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// Saved is the content of a data folder when it was opened. Entries follow the
// snapshot without a gap.
type Saved struct {
	HardState modeler.HardState
	Snapshot  modeler.Snapshot
	Entries   []modeler.LogEntry
}

const (
	identityFile   = "identity"
	lockName       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
)

// identity is the content of the identity file.
type identity struct {
	Member modeler.MemberID `cbor:"1,keyasint"`
}

// Open opens the data folder of a member and returns its content, all of which is
// durable. It sets up a folder that is missing or empty. It returns an error for
// the folder of another member, a folder in use by another process, and damaged
// files; the cause for damage is a *Damage.
func Open(folder string, member modeler.MemberID, options Options) (*Store, Saved, error) {
	s := &Store{folder: folder, member: member, segmentLimit: options.SegmentSize}
	if s.segmentLimit <= 0 {
		s.segmentLimit = DefaultSegmentSize
	}
	if options.Disk == nil {
		s.disk = SystemDisk()
	} else {
		s.disk = *options.Disk
	}
	if err := s.disk.MakeFolder(folder); err != nil {
		return nil, Saved{}, classifier.Wrap(classifier.Internal, err, "can't create the data folder")
	}
	unlock, err := s.disk.Lock(s.path(lockName))
	if err != nil {
		return nil, Saved{}, classifier.Wrap(classifier.Internal, err, "can't lock the data folder")
	}
	saved, err := s.recover()
	if err != nil {
		if s.file.Close != nil {
			_ = s.file.Close()
		}
		_ = unlock()
		return nil, Saved{}, err
	}
	s.unlock = unlock
	return s, saved, nil
}

// Identify returns the member that a data folder belongs to, or 0 for a folder
// without an identity file. It creates the folder if it is missing. A nil disk
// stands for the operating system's file system.
func Identify(folder string, disk *Disk) (modeler.MemberID, error) {
	system := SystemDisk()
	if disk == nil {
		disk = &system
	}
	if err := disk.MakeFolder(folder); err != nil {
		return 0, classifier.Wrap(classifier.Internal, err, "can't create the data folder")
	}
	names, err := disk.Names(folder)
	if err != nil {
		return 0, classifier.Wrap(classifier.Internal, err, "can't list the data folder")
	}
	if !slices.Contains(names, identityFile) {
		return 0, nil
	}
	path := filepath.Join(folder, identityFile)
	data, err := disk.Read(path)
	if err != nil {
		return 0, classifier.Wrap(classifier.Internal, err, "can't read the identity file")
	}
	var id identity
	if _, err := unsealFile(identityMagic, path, data, &id); err != nil {
		return 0, err
	}
	return id.Member, nil
}

// replay is the state of the log while its segments are read.
type replay struct {
	durable modeler.HardState
	// entriesBase is the index before that of the first of entries.
	entriesBase  modeler.Index
	entries      []modeler.LogEntry
	nextSequence uint64
	// tail holds the last records of the last segment that no later record proves
	// to be synced.
	tail []byte
}

func (r *replay) last() modeler.Index { return r.entriesBase + modeler.Index(len(r.entries)) }

// recover reads the files of the folder, or sets up an empty one, and removes the
// files that a crash has left behind.
func (s *Store) recover() (Saved, error) {
	names, err := s.disk.Names(s.folder)
	if err != nil {
		return Saved{}, classifier.Wrap(classifier.Internal, err, "can't list the data folder")
	}
	slices.Sort(names)
	var logs, snapshots, leftovers []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			leftovers = append(leftovers, name)
		case strings.HasPrefix(name, segmentPrefix):
			logs = append(logs, name)
		case strings.HasPrefix(name, snapshotPrefix):
			snapshots = append(snapshots, name)
		}
	}
	if !slices.Contains(names, identityFile) {
		return Saved{}, s.initialise(logs, snapshots, leftovers)
	}
	if err := s.checkIdentity(); err != nil {
		return Saved{}, err
	}
	var saved Saved
	if len(snapshots) > 0 {
		newest := len(snapshots) - 1
		if saved.Snapshot, err = s.readSnapshot(snapshots[newest]); err != nil {
			return Saved{}, err
		}
		leftovers = append(leftovers, snapshots[:newest]...)
	}
	log, err := s.readLog(logs)
	if err != nil {
		return Saved{}, err
	}
	if err := s.restoreLog(log, &saved); err != nil {
		return Saved{}, err
	}
	if err := s.syncFolder(); err != nil {
		return Saved{}, err
	}
	if err := s.removeLeftovers(leftovers); err != nil {
		return Saved{}, err
	}
	if !s.resetPending {
		return saved, s.removeSegments()
	}
	return saved, s.compact()
}

// initialise sets up an empty folder. The log is created before the identity file,
// so that a folder with an identity file but without a log has lost its log.
func (s *Store) initialise(logs, snapshots, leftovers []string) error {
	for _, name := range logs {
		data, err := s.disk.Read(s.path(name))
		if err != nil {
			return classifier.Wrap(classifier.Internal, err, "can't read the log")
		}
		if name != segmentName(1) || len(data) > headerSize {
			return newDamageError(s.path(name), 0, "there is a log but no identity file")
		}
	}
	if len(snapshots) > 0 {
		return newDamageError(s.path(snapshots[0]), 0, "there is a snapshot but no identity file")
	}
	if err := s.removeLeftovers(append(leftovers, logs...)); err != nil {
		return err
	}
	s.nextSequence = 1
	file, salt, err := s.createSegment()
	if err != nil {
		return err
	}
	s.useSegment(file, salt)
	content, err := sealFile(identityMagic, &identity{Member: s.member}, nil)
	if err != nil {
		return err
	}
	return s.replaceFile(identityFile, content)
}

func (s *Store) checkIdentity() error {
	data, err := s.disk.Read(s.path(identityFile))
	if err != nil {
		return classifier.Wrap(classifier.Internal, err, "can't read the identity file")
	}
	var id identity
	if _, err := unsealFile(identityMagic, s.path(identityFile), data, &id); err != nil {
		return err
	}
	if id.Member != s.member {
		return classifier.New(classifier.Internal, "the data folder %s belongs to member %d, not %d", s.folder, id.Member, s.member)
	}
	return nil
}

// readLog replays all segments and opens the last one for appending. A last
// segment that a crash has left without a whole header is removed.
func (s *Store) readLog(names []string) (*replay, error) {
	log := &replay{}
	for i, name := range names {
		last := i == len(names)-1
		data, err := s.disk.Read(s.path(name))
		if err != nil {
			return nil, classifier.Wrap(classifier.Internal, err, "can't read the log")
		}
		// A crash during the creation of a segment leaves at most a torn header.
		// The segment before it is complete then.
		if last && i > 0 && len(data) <= headerSize && !hasWholeHeader(data) {
			if err := s.removeLeftovers([]string{name}); err != nil {
				return nil, err
			}
			return log, s.reopen(names[i-1], log)
		}
		if err := s.readSegment(log, name, data, last); err != nil {
			return nil, err
		}
		if last {
			return log, s.reopen(name, log)
		}
	}
	return nil, newDamageError(s.path(segmentName(1)), 0, "the log is missing although the member has run before")
}

// hasWholeHeader reports whether a segment begins with an intact header.
func hasWholeHeader(data []byte) bool {
	if len(data) < headerSize || !strings.HasPrefix(string(data), segmentMagic) {
		return false
	}
	first, err := decodeRecord(data[len(segmentMagic):segmentPreamble], data[segmentPreamble:])
	return err == nil && first.kind == headerRecord
}

// readSegment replays one segment. Only the last one may end in a torn write,
// which is ignored.
func (s *Store) readSegment(log *replay, name string, data []byte, last bool) error {
	path := s.path(name)
	if !hasWholeHeader(data) {
		return newDamageError(path, 0, "the segment's header is damaged")
	}
	s.segments = append(s.segments, segment{name: name})
	s.salt = slices.Clone(data[len(segmentMagic):segmentPreamble])
	header, _ := decodeRecord(s.salt, data[segmentPreamble:])
	if reason := s.applyHeader(log, name, header); reason != nil {
		return newDamageError(path, segmentPreamble, reason.Error())
	}
	// tail is the offset of the first record that may not be synced. It is 0 until
	// a record shows that the header is synced.
	at, tail := headerSize, 0
	for at < len(data) {
		found, err := decodeRecord(s.salt, data[at:])
		if err == nil && found.sequence != log.nextSequence {
			err = fmt.Errorf("the record's sequence is %d where %d is expected", found.sequence, log.nextSequence)
		}
		if err != nil {
			if !last || provesSynced(s.salt, data[at:], log.nextSequence) {
				return newDamageError(path, at, err.Error())
			}
			break
		}
		if reason := s.applyRecord(log, found); reason != nil {
			return newDamageError(path, at, reason.Error())
		}
		// The first record after a sync proves that all before it are synced.
		if found.synced+1 == found.sequence {
			tail = at
		}
		log.nextSequence++
		at += found.size
	}
	log.tail = slices.Clone(data[tail:at])
	s.size = int64(at)
	return nil
}

// applyRecord replays one record after the header of a segment.
func (s *Store) applyRecord(log *replay, found record) error {
	switch found.kind {
	case durableRecord:
		s.currentSegment().records = true
		return cbor.Unmarshal(found.payload, &log.durable)
	case entryRecord:
		s.currentSegment().records = true
		var entry modeler.LogEntry
		if err := cbor.Unmarshal(found.payload, &entry); err != nil {
			return err
		}
		return s.applyEntry(log, entry)
	default:
		return fmt.Errorf("the record is of the unknown kind %d", found.kind)
	}
}

// applyHeader checks the header of a segment against its file name and the
// segments before it, and replays it.
func (s *Store) applyHeader(log *replay, name string, found record) error {
	var header segmentHeader
	if err := cbor.Unmarshal(found.payload, &header); err != nil {
		return err
	}
	first := len(s.segments) == 1
	switch {
	case segmentName(found.sequence) != name:
		return fmt.Errorf("the segment begins with record %d, which doesn't match its file name", found.sequence)
	case !first && found.sequence != log.nextSequence:
		return fmt.Errorf("the segment begins with record %d where %d is expected", found.sequence, log.nextSequence)
	case header.Member != s.member:
		return fmt.Errorf("the segment was written by member %d", header.Member)
	case !first && !header.Reset && header.Last != log.last():
		return fmt.Errorf("the segment follows entry %d, but the log ends with %d", header.Last, log.last())
	}
	if first || header.Reset {
		log.entriesBase = header.Last
		log.entries = nil
	}
	if header.Reset {
		// The segments of the dropped entries may be removed.
		s.clearMaxIndexes()
	}
	log.durable = header.Durable
	log.nextSequence = found.sequence + 1
	return nil
}

// applyEntry replays an entry, which replaces those from its index on.
func (s *Store) applyEntry(log *replay, entry modeler.LogEntry) error {
	if entry.Index == 0 || entry.Index > log.last()+1 {
		return fmt.Errorf("entry %d leaves a gap after %d", entry.Index, log.last())
	}
	if entry.Index <= log.entriesBase {
		log.entriesBase = entry.Index - 1
		log.entries = log.entries[:0]
	}
	log.entries = append(log.entries[:entry.Index-log.entriesBase-1], entry)
	s.currentSegment().maxIndex = max(s.currentSegment().maxIndex, entry.Index)
	return nil
}

// reopen opens the last segment for appending. It cuts a torn write off its end
// and rewrites the records that may never have been synced: after a failed sync
// the kernel treats their pages as clean although the disk lacks them.
func (s *Store) reopen(name string, log *replay) error {
	file, err := s.disk.Open(s.path(name))
	if err != nil {
		return classifier.Wrap(classifier.Internal, err, "can't open the log")
	}
	s.file = file
	s.nextSequence = log.nextSequence
	if err := file.Truncate(s.size); err != nil {
		return s.fail(err, "the torn end of %s could not be cut off", name)
	}
	if _, err := file.WriteAt(log.tail, s.size-int64(len(log.tail))); err != nil {
		return s.fail(err, "the last records of %s could not be written again", name)
	}
	return s.syncFile()
}

// restoreLog sets the state of the store from the replayed log and the snapshot,
// and adds the hard state and the entries after the snapshot to saved.
func (s *Store) restoreLog(log *replay, saved *Saved) error {
	if log.entriesBase > saved.Snapshot.Index {
		reason := fmt.Sprintf("the log begins after entry %d, and the snapshot ends with %d", log.entriesBase, saved.Snapshot.Index)
		return newDamageError(s.path(s.segments[0].name), 0, reason)
	}
	s.durable = log.durable
	s.base, s.last = log.entriesBase, log.last()
	for _, entry := range log.entries {
		s.terms = append(s.terms, entry.Term)
	}
	if saved.Snapshot.Index > log.entriesBase {
		s.rebase(saved.Snapshot.Index, saved.Snapshot.Term)
	}
	s.lastSynced = s.last
	if !s.resetPending {
		saved.Entries = log.entries[s.base-log.entriesBase:]
	}
	saved.HardState = log.durable
	return nil
}
