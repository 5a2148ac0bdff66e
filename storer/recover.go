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

// Saved is what a data folder held when it was opened. Entries follow the
// snapshot without a gap.
type Saved struct {
	Durable  modeler.HardState
	Snapshot modeler.Snapshot
	Entries  []modeler.LogEntry
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

// Open opens the data folder of a member, creating it when it is empty, and
// returns what it holds, all of it durable. It refuses a folder of another
// member, one in use by another process, and damaged files.
func Open(folder string, member modeler.MemberID, options Options) (*Store, Saved, error) {
	s := &Store{folder: folder, member: member, limit: options.Segment}
	if s.limit <= 0 {
		s.limit = DefaultSegment
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
// that is empty or missing.
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
	// floor is the entry before the first of entries.
	floor   modeler.Index
	entries []modeler.LogEntry
	next    uint64
	// tail holds the records of the last segment that no later record
	// proves to be synced.
	tail []byte
}

func (r *replay) last() modeler.Index { return r.floor + modeler.Index(len(r.entries)) }

func (s *Store) recover() (Saved, error) {
	names, err := s.disk.Names(s.folder)
	if err != nil {
		return Saved{}, classifier.Wrap(classifier.Internal, err, "can't list the data folder")
	}
	slices.Sort(names)
	var logs, snapshots, leftovers []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporary):
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
	if err := s.follow(log, &saved); err != nil {
		return Saved{}, err
	}
	if err := s.syncFolder(); err != nil {
		return Saved{}, err
	}
	if err := s.removeLeftovers(leftovers); err != nil {
		return Saved{}, err
	}
	if !s.reset {
		return saved, s.removeSegments()
	}
	return saved, s.compact()
}

// initialise sets up an empty folder: first the log, then the identity, so
// that a folder with an identity but without a log has lost it.
func (s *Store) initialise(logs, snapshots, leftovers []string) error {
	for _, name := range logs {
		data, err := s.disk.Read(s.path(name))
		if err != nil {
			return classifier.Wrap(classifier.Internal, err, "can't read the log")
		}
		if name != segmentName(1) || len(data) > headerSize {
			return damage(s.path(name), 0, "there is a log but no identity file")
		}
	}
	if len(snapshots) > 0 {
		return damage(s.path(snapshots[0]), 0, "there is a snapshot but no identity file")
	}
	if err := s.removeLeftovers(append(leftovers, logs...)); err != nil {
		return err
	}
	s.next = 1
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

// readLog replays all segments and opens the last one for appending.
func (s *Store) readLog(names []string) (*replay, error) {
	log := &replay{}
	for i, name := range names {
		last := i == len(names)-1
		data, err := s.disk.Read(s.path(name))
		if err != nil {
			return nil, classifier.Wrap(classifier.Internal, err, "can't read the log")
		}
		// A crash while a segment was created leaves at most a torn header,
		// and the segment before is complete.
		if last && i > 0 && len(data) <= headerSize && !wholeHeader(data) {
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
	return nil, damage(s.path(segmentName(1)), 0, "the log is missing although the member has run before")
}

func wholeHeader(data []byte) bool {
	if len(data) < headerSize || !strings.HasPrefix(string(data), segmentMagic) {
		return false
	}
	first, err := decodeRecord(data[len(segmentMagic):segmentPreamble], data[segmentPreamble:])
	return err == nil && first.kind == headerRecord
}

// readSegment replays one segment; only the last one may have a torn tail.
func (s *Store) readSegment(log *replay, name string, data []byte, last bool) error {
	path := s.path(name)
	if !wholeHeader(data) {
		return damage(path, 0, "the segment's header is damaged")
	}
	s.segments = append(s.segments, segment{name: name})
	s.salt = slices.Clone(data[len(segmentMagic):segmentPreamble])
	header, _ := decodeRecord(s.salt, data[segmentPreamble:])
	if reason := s.applyHeader(log, name, header); reason != nil {
		return damage(path, segmentPreamble, reason.Error())
	}
	// Until a record follows, the header itself may not be synced.
	at, tail := headerSize, 0
	for at < len(data) {
		found, err := decodeRecord(s.salt, data[at:])
		if err == nil && found.sequence != log.next {
			err = fmt.Errorf("the record's sequence is %d where %d is expected", found.sequence, log.next)
		}
		if err != nil {
			if !last || provesSynced(s.salt, data[at:], log.next) {
				return damage(path, at, err.Error())
			}
			break
		}
		if reason := s.applyRecord(log, found); reason != nil {
			return damage(path, at, reason.Error())
		}
		// The first record after a sync says that all before it are synced.
		if found.synced+1 == found.sequence {
			tail = at
		}
		log.next++
		at += found.size
	}
	log.tail = slices.Clone(data[tail:at])
	s.size = int64(at)
	return nil
}

// applyRecord replays one record.
func (s *Store) applyRecord(log *replay, found record) error {
	switch found.kind {
	case durableRecord:
		s.current().records = true
		return cbor.Unmarshal(found.payload, &log.durable)
	case entryRecord:
		s.current().records = true
		var entry modeler.LogEntry
		if err := cbor.Unmarshal(found.payload, &entry); err != nil {
			return err
		}
		return s.applyEntry(log, entry)
	default:
		return fmt.Errorf("unknown kind %d of a record", found.kind)
	}
}

func (s *Store) applyHeader(log *replay, name string, found record) error {
	var header segmentHeader
	if err := cbor.Unmarshal(found.payload, &header); err != nil {
		return err
	}
	first := len(s.segments) == 1
	switch {
	case segmentName(found.sequence) != name:
		return fmt.Errorf("the segment begins with record %d, which its name doesn't say", found.sequence)
	case !first && found.sequence != log.next:
		return fmt.Errorf("the segment begins with record %d where %d is expected", found.sequence, log.next)
	case header.Member != s.member:
		return fmt.Errorf("the segment was written by member %d", header.Member)
	case !first && !header.Reset && header.Last != log.last():
		return fmt.Errorf("the segment follows entry %d, but the log ends with %d", header.Last, log.last())
	}
	if first || header.Reset {
		log.floor = header.Last
		log.entries = nil
	}
	if header.Reset {
		// The dropped entries no longer keep their segments.
		s.dropTops()
	}
	log.durable = header.Durable
	log.next = found.sequence + 1
	return nil
}

func (s *Store) applyEntry(log *replay, entry modeler.LogEntry) error {
	if entry.Index == 0 || entry.Index > log.last()+1 {
		return fmt.Errorf("entry %d leaves a gap after %d", entry.Index, log.last())
	}
	if entry.Index <= log.floor {
		log.floor = entry.Index - 1
		log.entries = log.entries[:0]
	}
	log.entries = append(log.entries[:entry.Index-log.floor-1], entry)
	s.current().top = max(s.current().top, entry.Index)
	return nil
}

// reopen opens the last segment for appending. It cuts a torn tail, and it
// writes the records again that may never have been synced: when an earlier
// sync has failed, their pages look clean although the disk lacks them.
func (s *Store) reopen(name string, log *replay) error {
	file, err := s.disk.Open(s.path(name))
	if err != nil {
		return classifier.Wrap(classifier.Internal, err, "can't open the log")
	}
	s.file = file
	s.next = log.next
	if err := file.Truncate(s.size); err != nil {
		return s.fail(err, "the torn tail of %s could not be cut", name)
	}
	if _, err := file.WriteAt(log.tail, s.size-int64(len(log.tail))); err != nil {
		return s.fail(err, "the last records of %s could not be written again", name)
	}
	return s.syncFile()
}

// follow takes over the replayed log behind the snapshot.
func (s *Store) follow(log *replay, saved *Saved) error {
	if log.floor > saved.Snapshot.Index {
		reason := fmt.Sprintf("the log begins after entry %d, and the snapshot ends with %d", log.floor, saved.Snapshot.Index)
		return damage(s.path(s.segments[0].name), 0, reason)
	}
	s.durable = log.durable
	s.base, s.last = log.floor, log.last()
	for _, entry := range log.entries {
		s.terms = append(s.terms, entry.Term)
	}
	if saved.Snapshot.Index > log.floor {
		s.adopt(saved.Snapshot.Index, saved.Snapshot.Term)
	}
	s.lastSynced = s.last
	if !s.reset {
		saved.Entries = log.entries[s.base-log.floor:]
	}
	saved.Durable = log.durable
	return nil
}
