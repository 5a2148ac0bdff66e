package evaluator

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

const (
	proposalBytes = 128
	memoryBatch   = 64
	// compactEvery is the number of entries after which the log is compacted.
	compactEvery = 10_000
)

// LogSettings are the settings of MeasureLog.
type LogSettings struct {
	Members   []int `json:"members"`
	Batches   []int `json:"batches"`
	Proposals int   `json:"proposals"`
	Entries   int   `json:"entries"` // in the log whose memory is measured
}

// DefaultLog returns settings with the group sizes that the design allows.
func DefaultLog() LogSettings {
	return LogSettings{Members: []int{3, 5}, Batches: []int{1, 64}, Proposals: 1 << 18, Entries: 1 << 18}
}

// Log is the measured performance of the replicated log without network and
// disk.
type Log struct {
	Settings  LogSettings `json:"settings"`
	Proposals []Proposals `json:"proposals"`
	// BytesPerEntry is the memory that an entry takes at one member, in bytes, without
	// its data, which all entries share.
	BytesPerEntry float64 `json:"entrybytes"`
}

// Proposals is the rate at which a group commits proposals on all members, and
// the cost of each.
type Proposals struct {
	Members   int     `json:"members"`
	Batch     int     `json:"batch"`
	PerSecond float64 `json:"proposals"`
	Cost      Cost    `json:"proposal"`
}

// MeasureLog measures the rate and cost of proposals and the memory of an entry.
// It returns an error for settings out of range and for a proposal that is
// refused or not committed.
func MeasureLog(s LogSettings) (Log, error) {
	out := Log{Settings: s}
	positive := len(s.Members) > 0 && len(s.Batches) > 0 && slices.Min(s.Members) > 0 && slices.Min(s.Batches) > 0
	if !positive || s.Proposals < 1 || s.Entries < memoryBatch {
		return out, fmt.Errorf("log settings: members, batches and proposals must be positive and entries at least %d", memoryBatch)
	}
	for _, members := range s.Members {
		for _, batch := range s.Batches {
			result, err := measureProposals(members, batch, s.Proposals)
			if err != nil {
				return out, err
			}
			out.Proposals = append(out.Proposals, result)
		}
	}
	var err error
	out.BytesPerEntry, err = measureMemory(s.Entries)
	return out, err
}

// measureProposals commits proposals on all members, and compacts the log every
// 10,000 entries.
func measureProposals(members, batch, proposals int) (Proposals, error) {
	out := Proposals{Members: members, Batch: batch}
	runtime.GC() // keeps the garbage of an earlier group out of the measured time
	g := newGroup(members)
	data := payload(batch)
	compacted := modeler.Index(0)
	first := g.applied[0].Index
	m := newMeter()
	for n := 0; n < proposals; n += batch {
		if err := g.propose(data); err != nil {
			return out, err
		}
		if g.applied[0].Index < compacted+compactEvery {
			continue
		}
		compacted = g.applied[0].Index
		for i, r := range g.members {
			r.Compact(modeler.Snapshot{Index: g.applied[i].Index, Term: g.applied[i].Term})
		}
	}
	elapsed, cost := m.stop(proposals)
	// Followers learn the last commit index with the next message, so they may be
	// one batch behind.
	end := first + modeler.Index(proposals)
	for i, last := range g.applied {
		if i == 0 && last.Index < end || last.Index+modeler.Index(batch) < end {
			return out, fmt.Errorf("member %d has committed entries up to index %d, not up to %d", i+1, last.Index, end)
		}
	}
	out.PerSecond = float64(proposals) / elapsed.Seconds()
	out.Cost = cost
	return out, nil
}

// measureMemory returns the memory that an entry takes in the log of one member
// without its data, in bytes.
func measureMemory(entries int) (float64, error) {
	data := payload(memoryBatch)
	g := newGroup(1)
	before := liveHeap()
	for range entries / len(data) {
		if err := g.propose(data); err != nil {
			return 0, err
		}
	}
	out := (float64(liveHeap()) - float64(before)) / float64(entries)
	runtime.KeepAlive(g)
	return out, nil
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func payload(count int) [][]byte {
	data := make([][]byte, count)
	for i := range data {
		data[i] = make([]byte, proposalBytes)
	}
	return data
}

// group is a replication group in memory. Writes sync and messages arrive without
// delay, so that only the cost of the replicator is measured.
type group struct {
	members []*replicator.Replicator
	leader  *replicator.Replicator
	now     modeler.ClockReading
	applied []modeler.LogEntry
}

func newGroup(size int) *group {
	g := &group{applied: make([]modeler.LogEntry, size)}
	var members modeler.Membership
	for id := range size {
		members.Members = append(members.Members, modeler.Member{ID: modeler.MemberID(id + 1)})
	}
	saved := replicator.Saved{Snapshot: modeler.Snapshot{Index: 1, Term: 1, Membership: members}}
	for id := range size {
		cfg := replicator.Config{Self: modeler.MemberID(id + 1)}
		g.members = append(g.members, replicator.New(cfg, saved, 0))
	}
	g.leader = g.members[0]
	g.now = modeler.ClockReading(2 * time.Second)
	g.leader.Tick(g.now)
	g.runUntilIdle()
	return g
}

// runUntilIdle delivers messages and syncs writes until no member has output.
func (g *group) runUntilIdle() {
	for busy := true; busy; {
		busy = false
		for i, r := range g.members {
			out := r.Output()
			for _, m := range out.Messages {
				g.members[m.To-1].Step(g.now, m)
			}
			if out.Write != 0 {
				r.Synced(g.now, out.Write)
			}
			if n := len(out.Committed); n > 0 {
				g.applied[i] = out.Committed[n-1]
			}
			busy = busy || out.Write != 0 || len(out.Messages) > 0
		}
	}
}

func (g *group) propose(data [][]byte) error {
	_, _, err := g.leader.Propose(g.now, data...)
	g.runUntilIdle()
	return err
}

// Text returns the result as a table.
func (l Log) Text() string {
	t := newTable("MEMBERS\tBATCH\tPROPOSALS/S\tNS/PROPOSAL\tB/PROPOSAL\tALLOCS/PROPOSAL")
	for _, p := range l.Proposals {
		t.addRow("%d\t%d\t%.0f\t%.0f\t%d\t%d", p.Members, p.Batch, p.PerSecond, p.Cost.Time, p.Cost.Bytes, p.Cost.Allocations)
	}
	return fmt.Sprintf("%d proposals of %d bytes\n\n%s\nan entry takes %.1f B beside its data (%d entries)\n",
		l.Settings.Proposals, proposalBytes, t, l.BytesPerEntry, l.Settings.Entries)
}
