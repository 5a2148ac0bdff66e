package storer_test

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/storer"
)

const (
	member = modeler.MemberID(7)
	// smallSegment is a segment size in bytes that a few records fill.
	smallSegment = 250
)

func openStore(d *fakeDisk) (*storer.Store, storer.Saved, error) {
	d.locked = false
	return storer.Open("data", member, storer.Options{Disk: d.asDisk(), SegmentSize: d.segment})
}

// TestMain raises the number of random cases. Some faults need a certain order of
// lost changes, which is seldom among the 100 cases that rapid draws by default.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "4000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testingT holds the methods that testing.T and rapid.T have in common.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// describe returns the whole content in one line, for comparisons and messages.
func describe(saved storer.Saved) string {
	var b strings.Builder
	fmt.Fprintf(&b, "term %d vote %d snapshot %d.%d:", saved.HardState.Term, saved.HardState.Vote, saved.Snapshot.Index, saved.Snapshot.Term)
	for _, e := range saved.Entries {
		fmt.Fprintf(&b, " %d.%d=%s", e.Index, e.Term, e.Data)
	}
	return b.String()
}

type stepKind int

const (
	appendStep stepKind = iota
	voteStep
	syncStep
	snapshotStep
	installStep
	fullStep
)

// step is one call of a history. The meaning of the numbers depends on the kind:
//   - appendStep and fullStep append count entries, back of which replace others;
//     in a fullStep, the disk has 7 bytes free for each of back.
//   - voteStep saves a vote for member count.
//   - snapshotStep saves a snapshot of the entry at position back, or of the last.
//     If count is even, other calls come before the rename of the file.
//   - installStep saves a snapshot that conflicts with the entry at position back,
//     or one count entries after the log if there is no such entry.
type step struct {
	kind        stepKind
	count, back int
}

// model tracks the content that a store may have: current after all calls, and in
// states each content that a crash may leave, which is any since the last
// acknowledgement.
type model struct {
	current storer.Saved
	states  []storer.Saved
	term    modeler.Term
}

func (m *model) last() modeler.Index {
	return m.current.Snapshot.Index + modeler.Index(len(m.current.Entries))
}

func (m *model) allows(saved storer.Saved) bool {
	return slices.ContainsFunc(m.states, func(s storer.Saved) bool { return describe(s) == describe(saved) })
}

func withEntries(s storer.Saved, entries []modeler.LogEntry) storer.Saved {
	kept := int(entries[0].Index - s.Snapshot.Index - 1)
	s.Entries = append(slices.Clone(s.Entries[:kept]), entries...)
	return s
}

func withSnapshot(s storer.Saved, snapshot modeler.Snapshot) storer.Saved {
	if snapshot.Index <= s.Snapshot.Index {
		return s
	}
	at := int(snapshot.Index - s.Snapshot.Index - 1)
	if at < len(s.Entries) && s.Entries[at].Term == snapshot.Term {
		s.Entries = s.Entries[at+1:]
	} else {
		s.Entries = nil
	}
	s.Snapshot = snapshot
	return s
}

// run makes one call on the store and updates the model accordingly. A full disk
// is no error.
func (m *model) run(t testingT, d *fakeDisk, store *storer.Store, current step) error {
	t.Helper()
	before := slices.Clone(m.states)
	switch current.kind {
	case appendStep, fullStep:
		m.term++
		back := min(current.back, len(m.current.Entries))
		entries := make([]modeler.LogEntry, current.count)
		for i := range entries {
			index := m.last() + modeler.Index(i+1-back)
			entries[i] = modeler.LogEntry{Index: index, Term: m.term, Data: fmt.Appendf(nil, "%d-%d", m.term, index)}
		}
		for i := range entries {
			m.states = append(m.states, withEntries(m.current, entries[:i+1]))
		}
		if current.kind == fullStep {
			d.freeBytes = current.back * 7
		}
		err := store.Append(entries)
		d.freeBytes = 1 << 30
		if classifier.KindOf(err) == classifier.StorageFull {
			m.states = before
			return nil
		}
		if err != nil {
			return err
		}
		m.current = withEntries(m.current, entries)
	case voteStep:
		m.term++
		vote := m.current
		vote.HardState = modeler.HardState{Term: m.term, Vote: modeler.MemberID(current.count)}
		m.states = append(m.states, vote)
		if err := store.SaveHardState(vote.HardState); err != nil {
			return err
		}
		m.current = vote
	case syncStep:
		if err := store.Sync(); err != nil {
			return err
		}
		m.states = []storer.Saved{m.current}
		if store.Synced() != m.last() {
			t.Fatalf("synced up to %d, not %d", store.Synced(), m.last())
		}
	case snapshotStep, installStep:
		snapshot := modeler.Snapshot{Index: m.last() + modeler.Index(current.count), Term: m.term + 1, Data: []byte("state")}
		if current.kind == installStep && current.back < len(m.current.Entries) {
			snapshot.Index = m.current.Entries[current.back].Index
		}
		if current.kind == snapshotStep && len(m.current.Entries) > 0 {
			e := m.current.Entries[min(current.back, len(m.current.Entries)-1)]
			snapshot.Index, snapshot.Term = e.Index, e.Term
		}
		m.term++
		statesBefore := len(m.states)
		d.beforeRename = func() {
			if current.kind == snapshotStep && current.count%2 == 0 && snapshot.Index <= m.last() {
				behind := int(m.last() - snapshot.Index)
				m.runAll(t, d, store, []step{{appendStep, 2, min(current.back, behind)}, {voteStep, 1, 0}, {syncStep, 0, 0}, {appendStep, 1, 0}})
			}
			statesBefore = len(m.states)
			for _, s := range m.states[:statesBefore] {
				m.states = append(m.states, withSnapshot(s, snapshot))
			}
		}
		err := store.SaveSnapshot(snapshot)
		d.beforeRename = nil
		if err != nil {
			return err
		}
		m.current = withSnapshot(m.current, snapshot)
		if snapshot.Index == m.current.Snapshot.Index {
			m.states = append(m.states[statesBefore:], m.current)
		}
	}
	return nil
}

// runAll runs a history until a call fails, and reports whether one has failed.
func (m *model) runAll(t testingT, d *fakeDisk, store *storer.Store, history []step) bool {
	t.Helper()
	for _, now := range history {
		if err := m.run(t, d, store, now); err != nil {
			if !d.stopped() && !errors.Is(err, errSync) {
				t.Fatalf("%v failed: %v", now, err)
			}
			return true
		}
	}
	return false
}

// checkOpen opens the store on a disk, requires that the model allows its content,
// and makes that content the state of the model.
func (m *model) checkOpen(t testingT, d *fakeDisk) *storer.Store {
	t.Helper()
	store, saved, err := openStore(d)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	if !m.allows(saved) {
		t.Fatalf("found %s\nallowed are %s", describe(saved), allowedStates(m))
	}
	m.current, m.states = saved, []storer.Saved{saved}
	return store
}

func allowedStates(m *model) string {
	var lines []string
	for _, s := range m.states {
		lines = append(lines, describe(s))
	}
	return strings.Join(lines, "\n            ")
}

// conflictHistory returns a history that installs a snapshot which conflicts with
// the entry at the given position, in a log of several segments.
func conflictHistory(at int) []step {
	return []step{{appendStep, 3, 0}, {appendStep, 2, 1}, {syncStep, 0, 0}, {appendStep, 4, 0}, {installStep, 0, at}, {appendStep, 1, 0}}
}

// replacementHistory returns a history that takes a snapshot of an entry which has
// replaced synced entries and is not synced itself.
func replacementHistory(count int) []step {
	return []step{{appendStep, count, 0}, {syncStep, 0, 0}, {appendStep, 1, 0}, {syncStep, 0, 0}, {appendStep, 1, 2}, {snapshotStep, 1, 9}, {appendStep, 1, 0}}
}

// history contains every kind of call. It fills several segments, replaces
// entries, and installs snapshots inside the log and beyond its end.
var history = []step{
	{appendStep, 3, 0},
	{voteStep, 2, 0},
	{syncStep, 0, 0},
	{appendStep, 2, 1},
	{appendStep, 3, 2},
	{syncStep, 0, 0},
	{fullStep, 3, 9},
	{appendStep, 4, 0},
	{syncStep, 0, 0},
	{snapshotStep, 2, 4},
	{appendStep, 2, 2},
	{syncStep, 0, 0},
	{voteStep, 3, 0},
	{installStep, 0, 1},
	{appendStep, 2, 0},
	{syncStep, 0, 0},
	{installStep, 5, 9},
	{appendStep, 6, 0},
	{voteStep, 1, 0},
	{syncStep, 0, 0},
	{snapshotStep, 0, 2},
	{appendStep, 1, 0},
}

func clone(m *model) *model {
	c := *m
	return &c
}

// TestCrashAtEveryPointAndByte guards against acknowledged data that is lost in a
// crash, refused or partly written entries that reappear, and a folder that can't
// be opened after a crash. The machine stops at each change and sync of the
// histories, also while the folder is set up, and each prefix of the pending bytes
// and names survives.
func TestCrashAtEveryPointAndByte(t *testing.T) {
	crashEverywhere(t, history)
	for at := 1; at <= 3; at++ {
		crashEverywhere(t, conflictHistory(at))
	}
	for count := 3; count <= 5; count++ {
		crashEverywhere(t, replacementHistory(count))
	}
}

func crashEverywhere(t *testing.T, history []step) {
	opened := 0
	for stopAt := 0; ; stopAt++ {
		d := newDisk()
		d.stopAt = stopAt
		m := &model{states: []storer.Saved{{}}}
		store, _, err := openStore(d)
		if err == nil {
			m.runAll(t, d, store, history)
		}
		if !d.stopped() {
			assert.Assert(t, opened > 1000)
			t.Logf("%d stops, %d recoveries", stopAt, opened)
			return
		}
		for _, lose := range losses(d) {
			opened++
			after := d.crash(lose)
			again := clone(m)
			store := again.checkOpen(t, after)
			again.runAll(t, after, store, []step{{appendStep, 2, 1}, {syncStep, 0, 0}})
			again.checkOpen(t, after.crash(prefix(0, false)))
		}
	}
}

// losses returns the losses that cut off the pending changes after each unit: of
// all changes in their order, of the names while all data survives, and of the
// data while all names survive.
func losses(d *fakeDisk) []loss {
	names, units := 0, 0
	for _, p := range d.pending {
		units += p.units()
		if p.name != "" {
			names++
		}
	}
	var all []loss
	for kept := range units + 1 {
		all = append(all, prefix(kept, false), prefix(kept, true))
	}
	for kept := range names {
		all = append(all, partialOf(kept, true))
	}
	if names > 0 {
		for kept := range units - names {
			all = append(all, partialOf(kept, false))
		}
	}
	return all
}

// prefix returns a loss in which the first units of all pending changes survive.
func prefix(units int, zeros bool) loss {
	return func(p pending) (int, int, bool) {
		kept := min(units, p.units())
		units -= kept
		return 0, kept, zeros
	}
}

// partialOf returns a loss in which the first units of the names survive with all
// data, or those of the data with all names.
func partialOf(units int, names bool) loss {
	keep := prefix(units, false)
	return func(p pending) (int, int, bool) {
		if (p.name != "") == names {
			return keep(p)
		}
		return 0, p.units(), false
	}
}

// TestRandomHistories guards against the failures of TestCrashAtEveryPointAndByte
// in random histories: pending changes reach the disk in any order and in part,
// crashes come during recovery, and a process ends while the machine runs on and
// stops later.
func TestRandomHistories(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  stepKind(rapid.IntRange(int(appendStep), int(fullStep)).Draw(t, "kind")),
			count: rapid.IntRange(1, 4).Draw(t, "count"),
			back:  rapid.IntRange(0, 12).Draw(t, "back"),
		}
	}), 1, 25)
	rapid.Check(t, func(t *rapid.T) {
		d := newDisk()
		m := &model{states: []storer.Saved{{}}}
		lose := func(p pending) (int, int, bool) {
			from := rapid.IntRange(0, p.units()).Draw(t, "from")
			return from, rapid.IntRange(from, p.units()).Draw(t, "to"), rapid.Bool().Draw(t, "zeros")
		}
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			d.stopAt = rapid.IntRange(0, 60).Draw(t, "stop")
			store, saved, err := openStore(d)
			if err == nil {
				if !m.allows(saved) {
					t.Fatalf("found %s\nallowed are %s", describe(saved), allowedStates(m))
				}
				m.current, m.states = saved, []storer.Saved{saved}
				m.runAll(t, d, store, steps.Draw(t, "steps"))
			} else if !d.stopped() {
				t.Fatalf("open: %v", err)
			}
			if rapid.Bool().Draw(t, "only the process ends") {
				d.ops = 0
				continue
			}
			d = d.crash(lose)
		}
		d.stopAt = -1
		m.checkOpen(t, d)
	})
}

// TestFailedSyncIsFinal guards against an acknowledgement after a failed sync, by
// the same call or a later one, and against records that a restarted process
// takes for durable because they are still in the page cache.
func TestFailedSyncIsFinal(t *testing.T) {
	for failedSync := 0; ; failedSync++ {
		d := newDisk()
		d.failedSync = failedSync
		m := &model{states: []storer.Saved{{}}}
		store, _, err := openStore(d)
		if err == nil {
			for _, now := range history {
				if err = m.run(t, d, store, now); err != nil {
					break
				}
			}
		}
		if d.syncs <= failedSync {
			assert.NilError(t, err)
			assert.Assert(t, failedSync > 20)
			return
		}
		assert.Assert(t, errors.Is(err, errSync), "sync %d: %v", failedSync, err)
		if store != nil {
			assert.Assert(t, errors.Is(store.Sync(), errSync))
			assert.Assert(t, errors.Is(store.Append([]modeler.LogEntry{{Index: 1, Term: 1}}), errSync))
			assert.Assert(t, errors.Is(store.SaveHardState(modeler.HardState{Term: 1 << 20}), errSync))
			assert.Assert(t, errors.Is(store.SaveSnapshot(modeler.Snapshot{Index: 1 << 20}), errSync))
		}
		m.checkOpen(t, d)
		m.checkOpen(t, d.crash(prefix(0, false)))
	}
}

// TestFullDisk guards against a full disk that damages the log, loses earlier
// records or is reported as another error. The disk gets full after each byte of
// the write.
func TestFullDisk(t *testing.T) {
	d := newDisk()
	store, _, err := openStore(d)
	assert.NilError(t, err)
	m := &model{states: []storer.Saved{{}}}
	m.runAll(t, d, store, history[:9])
	batch := []modeler.LogEntry{{Index: m.last() + 1, Term: 90, Data: make([]byte, 30)}, {Index: m.last() + 2, Term: 90, Data: make([]byte, 40)}}
	refused := 0
	for freeBytes := 0; ; freeBytes++ {
		d.freeBytes = freeBytes
		err := store.Append(batch)
		if err == nil {
			break
		}
		refused++
		assert.Equal(t, classifier.KindOf(err), classifier.StorageFull, "%v", err)
		d.freeBytes = min(freeBytes, 10)
		assert.Equal(t, classifier.KindOf(store.SaveHardState(modeler.HardState{Term: 91, Vote: 1})), classifier.StorageFull)
		assert.Equal(t, classifier.KindOf(store.SaveSnapshot(modeler.Snapshot{Index: 3, Term: 1})), classifier.StorageFull)
		assert.NilError(t, store.Sync())
		assert.Equal(t, store.Synced(), m.last())
		clone(m).checkOpen(t, d.crash(prefix(1<<20, false)))
	}
	assert.Assert(t, refused > 100)
	d.freeBytes = 1 << 30
	m.states = []storer.Saved{withEntries(m.current, batch)}
	assert.NilError(t, store.Sync())
	m.checkOpen(t, d.crash(prefix(0, false)))
}

// TestFullDiskDuringSnapshot guards against data that is lost or a folder that
// can't be opened after the disk got full at any byte of a snapshot or of the
// segment that follows it.
func TestFullDiskDuringSnapshot(t *testing.T) {
	refused, saved := 0, 0
	for freeBytes := range 400 {
		d := newDisk()
		store, _, err := openStore(d)
		assert.NilError(t, err)
		m := &model{states: []storer.Saved{{}}}
		m.runAll(t, d, store, history[:3])
		snapshot := modeler.Snapshot{Index: 2, Term: 1, Data: make([]byte, 50)}
		d.freeBytes = freeBytes
		err = store.SaveSnapshot(snapshot)
		d.freeBytes = 1 << 30
		if err == nil {
			saved++
			m.current = withSnapshot(m.current, snapshot)
			m.states = []storer.Saved{m.current}
		} else {
			refused++
			assert.Equal(t, classifier.KindOf(err), classifier.StorageFull, "%v", err)
		}
		m.runAll(t, d, store, slices.Concat(history[3:6], history[7:9]))
		m.checkOpen(t, d.crash(prefix(0, false)))
		m.checkOpen(t, d.crash(prefix(1<<20, false)))
	}
	assert.Assert(t, refused > 70 && saved > 200)
}

// TestDamageAtEveryByte guards against undetected damage. Each byte of each file is
// changed in turn. The store must either refuse the folder and name the file and
// the offset, or have lost nothing but the last batch, whose damage can't be told
// from a torn write.
func TestDamageAtEveryByte(t *testing.T) {
	for _, segment := range []int64{smallSegment, 1 << 20} {
		damageEverywhere(t, segment)
	}
}

func damageEverywhere(t *testing.T, segment int64) {
	d := newDisk()
	d.segment = segment
	store, _, err := openStore(d)
	assert.NilError(t, err)
	m := &model{states: []storer.Saved{{}}}
	m.runAll(t, d, store, history[:12])
	m.runAll(t, d, store, []step{{appendStep, 1, 0}, {syncStep, 0, 0}, {appendStep, 1, 0}, {syncStep, 0, 0}})
	proven := m.current
	m.runAll(t, d, store, []step{{appendStep, 2, 0}, {syncStep, 0, 0}})
	for i := range len(m.current.Entries) - len(proven.Entries) {
		m.states = append(m.states, withEntries(proven, m.current.Entries[len(proven.Entries):][:i+1]))
	}
	m.states = append(m.states, proven)
	refused, files := 0, 0
	for name, node := range d.names {
		files++
		for at := range node.visible {
			for _, bits := range []byte{0x01, 0x80, 0xff} {
				after := d.crash(prefix(0, false))
				after.names[name].visible[at] ^= bits
				_, saved, err := openStore(after)
				if err != nil {
					var where *storer.Damage
					assert.Assert(t, errors.As(err, &where), "%s %d: %v", name, at, err)
					assert.Assert(t, strings.Contains(where.File, name) && where.Offset <= int64(at), "%s %d: %v", name, at, err)
					refused++
					continue
				}
				assert.Assert(t, m.allows(saved), "%s at %d: found %s\nallowed are %s", name, at, describe(saved), allowedStates(m))
			}
		}
	}
	assert.Assert(t, files >= 3 && refused > 500, "%d files, %d refused", files, refused)
}

// TestRefusedFolders guards against the use of a folder that belongs to another
// member, is in use, or lacks a file or record.
func TestRefusedFolders(t *testing.T) {
	base := newDisk()
	store, _, err := openStore(base)
	assert.NilError(t, err)
	m := &model{states: []storer.Saved{{}}}
	m.runAll(t, base, store, slices.Concat(history[:9], []step{{snapshotStep, 1, 4}}, history[10:12], history[3:6], []step{{voteStep, 1, 0}, {voteStep, 2, 0}, {voteStep, 3, 0}, {syncStep, 0, 0}}, history[3:6]))
	var logs []string
	snapshot := ""
	for name := range base.names {
		if strings.HasPrefix(name, "log-") {
			logs = append(logs, name)
		}
		if strings.HasPrefix(name, "snapshot-") {
			snapshot = name
		}
	}
	slices.Sort(logs)
	assert.Assert(t, len(logs) >= 3, "%v", logs)
	without := func(names ...string) func(*fakeDisk) {
		return func(d *fakeDisk) {
			for _, name := range names {
				delete(d.names, name)
			}
		}
	}
	// removeVote removes the record of a vote from the middle of a segment.
	removeVote := func(d *fakeDisk) {
		for _, name := range logs {
			data := d.names[name].visible
			for at := 128; at < len(data); {
				size := 21 + int(binary.LittleEndian.Uint32(data[at+4:]))
				if data[at+20] == 3 && at+size < len(data) {
					d.names[name].visible = slices.Delete(data, at, at+size)
					return
				}
				at += size
			}
		}
		t.Fatal("no vote in the middle of a segment")
	}
	tests := []struct {
		name   string
		member modeler.MemberID
		change func(*fakeDisk)
		want   string
	}{
		{"other member", 8, func(*fakeDisk) {}, "the data folder data belongs to member 7, not 8"},
		{"in use", member, func(d *fakeDisk) { d.locked = true }, "can't lock the data folder"},
		{"no identity", member, without("identity"), "there is a log but no identity file"},
		{"only a snapshot", member, without(append(logs, "identity")...), "there is a snapshot but no identity file"},
		{"no log", member, without(logs...), "the log is missing although the member has run before"},
		{"first segment lost", member, without(logs[0]), "the log begins after entry"},
		{"middle segment lost", member, without(logs[1]), "where"},
		{"record taken out", member, removeVote, "the record's sequence is"},
		{"snapshot lost", member, without(snapshot), "the log begins after entry"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := base.crash(prefix(0, false))
			test.change(d)
			_, _, err := storer.Open("data", test.member, storer.Options{Disk: d.asDisk(), SegmentSize: smallSegment})
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// TestRefusedCalls guards against appends that leave a gap in the log or overlap
// the snapshot, records above the size limit, an older snapshot or vote that
// replaces a newer one, and calls after Close.
func TestRefusedCalls(t *testing.T) {
	store, _, err := openStore(newDisk())
	assert.NilError(t, err)
	entry := func(index modeler.Index) modeler.LogEntry { return modeler.LogEntry{Index: index, Term: 1} }
	assert.NilError(t, store.Append([]modeler.LogEntry{entry(1), entry(2), entry(3)}))
	assert.NilError(t, store.SaveHardState(modeler.HardState{Term: 5, Vote: 1}))
	assert.NilError(t, store.SaveSnapshot(modeler.Snapshot{Index: 2, Term: 1, Data: []byte("s")}))
	assert.NilError(t, store.SaveSnapshot(modeler.Snapshot{Index: 1, Term: 1}), "an older one is ignored")
	got, err := store.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, modeler.Snapshot{Index: 2, Term: 1, Data: []byte("s")})
	for want, err := range map[string]error{
		"leaves a gap after 3":              store.Append([]modeler.LogEntry{entry(5)}),
		"entry 6 stands where 5 is":         store.Append([]modeler.LogEntry{entry(4), entry(6)}),
		"already part of the snapshot":      store.Append([]modeler.LogEntry{entry(2)}),
		"term 4 is below the saved term 5":  store.SaveHardState(modeler.HardState{Term: 4}),
		"too-large: a record of 67108875 b": store.Append([]modeler.LogEntry{{Index: 4, Data: make([]byte, storer.MaxPayload)}}),
	} {
		assert.ErrorContains(t, err, want)
	}
	assert.NilError(t, store.Append([]modeler.LogEntry{entry(4)}))
	assert.NilError(t, store.Sync())
	assert.NilError(t, store.Close())
	assert.ErrorContains(t, store.Sync(), "the store is closed")
}
