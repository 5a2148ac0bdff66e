package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/allocator"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	service = modeler.ServiceName("narudzbe")
	span    = 3*time.Second*101/100 + 50*time.Millisecond
	limit   = 10 * time.Second
)

// bench drives an allocator whose clock starts at an arbitrary reading.
type bench struct {
	*allocator.Allocator
	now    modeler.ClockReading
	known  []modeler.EntrySession
	grants map[modeler.EntryID][]*modeler.Grant
	// receipts are those in the answers to heartbeats; next is what the last
	// one asked for.
	receipts []modeler.Receipt
	next     time.Duration
}

func newBench(entries ...modeler.EntryID) *bench {
	b := &bench{
		Allocator: allocator.New(allocator.Options{}), now: modeler.ClockReading(time.Hour),
		grants: map[modeler.EntryID][]*modeler.Grant{},
	}
	for _, name := range entries {
		b.known = append(b.known, modeler.EntrySession{Entry: name, Incarnation: 1})
	}
	return b
}

// lead starts term 1; with known sessions from before if some are given.
func (b *bench) lead(before ...modeler.EntrySession) {
	b.Lead(b.now, 1, before)
	b.Lease(b.now.Add(time.Hour))
	b.Known(b.now, b.known)
	b.Configure(b.now, &modeler.Configuration{
		Version: 1, Services: []modeler.Service{{Name: service, Limit: modeler.Duration(limit)}},
	})
}

// pass lets time go by in ticks, with heartbeats if beat is set.
// heeds has the worker also send those that answers ask for.
func (b *bench) pass(d time.Duration, beat func(), heeds ...bool) {
	end := b.now.Add(d)
	asked := modeler.ClockReading(0)
	for b.now < end {
		b.now = min(b.now.Add(10*time.Millisecond), end)
		b.Tick(b.now)
		if beat != nil && (time.Duration(b.now)%time.Second == 0 || asked != 0 && b.now >= asked) {
			beat()
			asked = 0
			if len(heeds) > 0 && heeds[0] && b.next > 0 {
				asked = b.now.Add(b.next)
			}
		}
		b.take()
	}
}

func (b *bench) take() {
	for _, one := range b.Take().Grants {
		b.grants[one.To.Entry] = append(b.grants[one.To.Entry], one.Grant)
	}
}

// beat sends a heartbeat measured the given time ago, which names the newest
// answer of that moment. Answers take no time.
func (b *bench) beat(worker string, slots, active int, ago time.Duration, change ...func(*modeler.Heartbeat)) {
	beat := &modeler.Heartbeat{
		Worker: modeler.WorkerID(worker), Generation: 1, Address: worker, Slots: slots, Connections: 64,
		Services: []modeler.ServiceName{service}, IdleTimeout: modeler.Duration(time.Second),
		Clock: b.now.Add(5*time.Hour - ago), Active: active,
	}
	for _, receipt := range b.receipts {
		if receipt.At <= b.now.Add(-ago) {
			beat.Seen = receipt
		}
	}
	for _, one := range change {
		one(beat)
	}
	receipt, next := b.Heartbeat(b.now, beat)
	b.receipts, b.next = append(b.receipts, receipt), next.Std()
	b.take()
}

// renew sends a renewal; the session begins at reading 1 of the entry host.
func (b *bench) renew(entry modeler.EntryID, wants modeler.SlotDemand, change ...func(*modeler.SessionRenewal)) {
	wants.Service = service
	renew := &modeler.SessionRenewal{
		Entry: entry, Incarnation: 1, Term: 1, Clock: b.now, Session: 1, Join: true, Demands: []modeler.SlotDemand{wants},
	}
	if list := b.grants[entry]; len(list) > 0 {
		renew.Round = list[len(list)-1].Round
	}
	for _, one := range change {
		one(renew)
	}
	b.Renew(b.now, renew)
	b.take()
}

// granted returns what the last grants have lent to the entry host in all.
func (b *bench) granted(entry modeler.EntryID) int {
	newest := map[modeler.WorkerID]uint64{}
	for _, grant := range b.grants[entry] {
		for _, slot := range grant.Slots {
			newest[slot.Worker] = slot.Granted
		}
	}
	sum := 0
	for _, count := range newest {
		sum += int(count)
	}
	return sum
}

func (b *bench) worker(t *testing.T) allocator.WorkerStatus {
	t.Helper()
	list := b.Workers()
	assert.Equal(t, len(list), 1)
	return list[0]
}

// TestEndOfSession guards against freeing the slots of an ended session while
// its requests may still run: too early by the clock rule, or by a report that
// was measured before the end although it came in after.
func TestEndOfSession(t *testing.T) {
	cases := []struct {
		name string
		// active and ago describe the reports after the session's end; the
		// worker sends those that are asked for if ago is below 0.
		active int
		ago    time.Duration
		kept   map[time.Duration]int // by time since the last renewal
	}{
		{"prompt reports of idleness", 0, 0, map[time.Duration]int{
			span - time.Millisecond: -8, span + 20*time.Millisecond: 8, span + 900*time.Millisecond: 8, span + 2100*time.Millisecond: 0,
		}},
		{"late reports of idleness", 0, 2500 * time.Millisecond, map[time.Duration]int{
			span + 20*time.Millisecond: 8, span + 3300*time.Millisecond: 8, span + 5*time.Second: 0,
		}},
		{"reports of three requests", 3, 0, map[time.Duration]int{
			span + 900*time.Millisecond: 8, span + 2100*time.Millisecond: 3, span + limit*101/100 - 100*time.Millisecond: 3, span + limit*101/100 + 100*time.Millisecond: 0,
		}},
		{"asked reports of idleness", 0, -1, map[time.Duration]int{
			span - time.Millisecond: -8, span + 30*time.Millisecond: 0,
		}},
		{"reports of full use", 8, 0, map[time.Duration]int{
			span + limit*101/100 - 100*time.Millisecond: 8, span + limit*101/100 + 100*time.Millisecond: 0,
		}},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			for at, kept := range one.kept {
				b := newBench("a")
				b.lead()
				for range 10 {
					b.now = b.now.Add(time.Second)
					b.beat("w", 8, 0, 0)
				}
				b.renew("a", modeler.SlotDemand{Waiting: 8})
				assert.Equal(t, b.granted("a"), 8)
				ended := b.now.Add(span)
				heeds := one.ago < 0
				b.pass(at, func() {
					if b.now < ended {
						b.beat("w", 8, 8, 0)
						return
					}
					b.beat("w", 8, one.active, max(0, one.ago))
				}, heeds)
				w := b.worker(t)
				if kept < 0 {
					assert.Equal(t, w.Lent, -kept, "at %v", at)
					continue
				}
				assert.Equal(t, w.Kept, kept, "at %v", at)
				assert.Equal(t, w.Lent, 0, "at %v", at)
			}
		})
	}
}

// TestNewLeader guards against lending slots that sessions of the last term
// still use, and against waiting longer than needed.
func TestNewLeader(t *testing.T) {
	held := func(count int) func(*modeler.SessionRenewal) {
		return func(r *modeler.SessionRenewal) {
			r.Slots = []modeler.SlotState{{Worker: "w", Generation: 1, Held: count, Connections: 8}}
		}
	}
	b := newBench("a", "b")
	b.lead(b.known...)
	b.beat("w", 8, 8, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 8}, held(3))
	assert.Equal(t, b.granted("a"), 3, "before b has reported")
	b.renew("b", modeler.SlotDemand{}, held(1))
	assert.Equal(t, b.granted("a"), 7, "after b has reported")

	b = newBench("a", "b")
	b.lead(b.known...)
	beat := func() {
		b.beat("w", 8, 2, 0)
		b.renew("a", modeler.SlotDemand{Waiting: 8}, held(3))
	}
	b.pass(span-20*time.Millisecond, beat)
	assert.Equal(t, b.granted("a"), 3, "while b may have a session")
	b.pass(500*time.Millisecond, beat)
	assert.Equal(t, b.granted("a"), 3, "before a report measured after the end of b's session")
	b.pass(2500*time.Millisecond, beat)
	assert.Equal(t, b.granted("a"), 6, "b may still run two requests")
	b.pass(limit*101/100, beat)
	assert.Equal(t, b.granted("a"), 8, "after the request limit")
}

// TestQuorumLease guards against lending or renewing as a leader that may have
// been replaced.
func TestQuorumLease(t *testing.T) {
	b := newBench("a")
	b.lead()
	b.beat("w", 8, 0, 0)
	b.Lease(b.now.Add(time.Millisecond))
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{Waiting: 8})
	assert.Equal(t, len(b.grants["a"]), 0)
	b.Lease(b.now.Add(time.Second))
	b.renew("a", modeler.SlotDemand{Waiting: 8}, func(r *modeler.SessionRenewal) { r.Clock++ })
	assert.Equal(t, b.granted("a"), 8)
}

// TestChoice guards against serving a younger request first, against uneven
// use of workers and against connections beyond a worker's bound.
func TestChoice(t *testing.T) {
	var names []modeler.EntryID
	for i := range 12 {
		names = append(names, modeler.EntryID(fmt.Sprintf("e%02d", i)))
	}
	b := newBench(names...)
	b.lead()
	b.renew(names[0], modeler.SlotDemand{Waiting: 20, OldestWait: 10 * time.Millisecond})
	b.renew(names[1], modeler.SlotDemand{Waiting: 20, OldestWait: 40 * time.Millisecond})
	for i := range 4 {
		b.beat(fmt.Sprint("w", i), 4, 0, 0)
	}
	// One queue would serve 15 or 16 of the requests that are older than all
	// of the other entry host's.
	assert.Assert(t, b.granted(names[1]) >= 14, "got %d", b.granted(names[1]))
	assert.Equal(t, b.granted(names[0])+b.granted(names[1]), 16)

	b = newBench(names...)
	b.lead()
	for i := range 4 {
		b.beat(fmt.Sprint("w", i), 24, 0, 0)
	}
	b.renew(names[0], modeler.SlotDemand{Waiting: 8})
	for _, w := range b.Workers() {
		assert.Equal(t, w.Lent, 2, "worker %s", w.Worker)
	}
	for round := range 3 {
		for _, name := range names {
			b.now = b.now.Add(time.Millisecond)
			b.renew(name, modeler.SlotDemand{Waiting: 4})
		}
		for _, w := range b.Workers() {
			assert.Assert(t, w.Connections <= 60, "round %d: %d connections to %s", round, w.Connections, w.Worker)
			assert.Assert(t, w.Lent <= 24)
		}
	}
	for _, name := range names {
		assert.Assert(t, b.granted(name) > 0, "%s got no slot although all share the connections", name)
	}
}

// TestRevocation guards against slots that stay out on a worker that is
// leaving, silent or has come back smaller.
func TestRevocation(t *testing.T) {
	cases := []struct {
		name string
		make func(*bench)
	}{
		{"leaving", func(b *bench) { b.beat("w", 8, 0, 0, func(h *modeler.Heartbeat) { h.Leaving = true }) }},
		{"silent", func(b *bench) { b.pass(3020*time.Millisecond, nil) }},
		{"smaller", func(b *bench) { b.beat("w", 4, 0, 0, func(h *modeler.Heartbeat) { h.Generation = 2 }) }},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			b := newBench("a", "b")
			b.lead()
			b.beat("w", 8, 0, 0)
			b.renew("a", modeler.SlotDemand{Waiting: 6})
			b.now = b.now.Add(time.Millisecond)
			one.make(b)
			list := b.grants["a"]
			last := list[len(list)-1]
			assert.Equal(t, len(last.Slots), 1)
			assert.Assert(t, last.Slots[0].Revoked)
			b.now = b.now.Add(time.Millisecond)
			b.renew("b", modeler.SlotDemand{Waiting: 1})
			assert.Equal(t, b.granted("b"), 0)
			returned := func(r *modeler.SessionRenewal) { r.Slots = []modeler.SlotState{{Worker: "w", Returned: 6}} }
			b.renew("a", modeler.SlotDemand{}, returned)
			b.pass(20*time.Millisecond, nil)
			if one.name == "smaller" {
				assert.Equal(t, b.granted("b"), 1, "it fits again")
				return
			}
			assert.Equal(t, b.granted("b"), 0)
		})
	}
}

// TestIdleSlot guards against an idle slot that takes more than one exchange
// to reach a waiting request, and against recalling more slots than needed.
func TestIdleSlot(t *testing.T) {
	b := newBench("a", "b", "c")
	b.lead()
	b.beat("w", 8, 0, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 5})
	b.renew("b", modeler.SlotDemand{Waiting: 3})
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{Idle: 5})
	b.renew("b", modeler.SlotDemand{Idle: 3})
	b.renew("c", modeler.SlotDemand{Waiting: 2, OldestWait: time.Millisecond})
	recalled := 0
	for _, name := range []modeler.EntryID{"a", "b"} {
		list := b.grants[name]
		for _, pressure := range list[len(list)-1].Backlogs {
			recalled += pressure.Recall
		}
	}
	assert.Equal(t, recalled, 2)
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{Idle: 3}, func(r *modeler.SessionRenewal) {
		r.Slots = []modeler.SlotState{{Worker: "w", Returned: 2}}
	})
	assert.Equal(t, b.granted("c"), 2)
}

// TestStaleMessages guards against renewals that arrive late or again and undo
// newer counts, demand or sessions.
func TestStaleMessages(t *testing.T) {
	returned := func(count uint64) func(*modeler.SessionRenewal) {
		return func(r *modeler.SessionRenewal) { r.Slots = []modeler.SlotState{{Worker: "w", Returned: count}} }
	}
	b := newBench("a")
	b.lead()
	b.beat("w", 8, 0, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 6})
	first := b.now
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{Idle: 1}, returned(5))
	assert.Equal(t, b.worker(t).Lent, 1)
	b.now = b.now.Add(time.Second)
	b.renew("a", modeler.SlotDemand{Waiting: 3}, returned(2), func(r *modeler.SessionRenewal) { r.Clock = first + 1 })
	assert.Equal(t, b.worker(t).Lent, 1, "an older renewal")
	b.pass(span-time.Second, nil)
	assert.Equal(t, b.worker(t).Lent, 0, "an older renewal doesn't prolong the session")

	inventory := func(session modeler.ClockReading, held int) func(*modeler.SessionRenewal) {
		return func(r *modeler.SessionRenewal) {
			r.Session, r.Slots = session, []modeler.SlotState{{Worker: "w", Held: held, Connections: 8}}
		}
	}
	b.renew("a", modeler.SlotDemand{}, inventory(first+2, 4))
	assert.Equal(t, b.worker(t).Lent, 4)
	assert.Equal(t, b.worker(t).Kept, 0, "the new session's inventory replaces what the old one kept")
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{}, inventory(1, 0))
	assert.Equal(t, b.worker(t).Lent, 4, "an inventory of an older session")
}

// TestPausedEntry guards against an entry host that has paused with many
// waiting requests and goes on collecting slots.
func TestPausedEntry(t *testing.T) {
	b := newBench("a", "b")
	b.lead()
	b.beat("w", 8, 0, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 200, OldestWait: time.Second})
	assert.Equal(t, b.granted("a"), 8)
	b.pass(30*time.Millisecond, nil)
	for i := range 20 {
		b.beat(fmt.Sprint("v", i), 8, 0, 0)
	}
	assert.Equal(t, b.granted("a"), 8, "8 slots are unconfirmed for 30 ms")
	b.renew("b", modeler.SlotDemand{Waiting: 50})
	assert.Equal(t, b.granted("b"), 32, "no more than 32 without a confirmation")
	b.now = b.now.Add(time.Millisecond)
	b.renew("b", modeler.SlotDemand{Waiting: 18})
	assert.Equal(t, b.granted("b"), 50)
}

// BenchmarkRenew measures a renewal that asks for a slot and one that gives it
// back, at a leader of 48 workers and 7 entry hosts.
func BenchmarkRenew(b *testing.B) {
	var names []modeler.EntryID
	for i := range 7 {
		names = append(names, modeler.EntryID(fmt.Sprint("e", i)))
	}
	x := newBench(names...)
	x.lead()
	x.Lease(x.now.Add(1000 * time.Hour))
	x.beat("w", 8, 0, 0)
	for i := range 47 {
		x.beat(fmt.Sprint("v", i), 8, 0, 0)
	}
	for _, name := range names {
		x.renew(name, modeler.SlotDemand{Waiting: 20})
		x.now++
		x.renew(name, modeler.SlotDemand{Idle: 2, Spare: 2})
	}
	last := x.grants["e0"][len(x.grants["e0"])-1]
	renew := &modeler.SessionRenewal{Entry: "e0", Incarnation: 1, Term: 1, Session: 1, Round: last.Round, Demands: []modeler.SlotDemand{{Service: service}}}
	returned := map[modeler.WorkerID]uint64{}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		x.now++
		renew.Clock = x.now
		renew.Demands[0].Waiting = 1 - renew.Demands[0].Waiting
		x.Renew(x.now, renew)
		renew.Slots = renew.Slots[:0]
		for _, one := range x.Take().Grants {
			renew.Round = one.Grant.Round
			for _, slot := range one.Grant.Slots {
				if renew.Demands[0].Waiting == 1 {
					returned[slot.Worker]++
					renew.Slots = append(renew.Slots, modeler.SlotState{Worker: slot.Worker, Returned: returned[slot.Worker]})
				}
			}
		}
	}
}

// TestShares guards against a team without a slot that waits behind one with
// many, against bounds that take more than the shares call for, and against
// bounds for teams that share no worker.
func TestShares(t *testing.T) {
	b := newBench("a", "b", "c")
	b.lead()
	b.Configure(b.now, &modeler.Configuration{
		Version:  2,
		Services: []modeler.Service{{Name: service, Team: "flood"}, {Name: "light", Team: "light"}, {Name: "apart", Team: "apart"}},
		Teams:    []modeler.Team{{Name: "flood", Weight: 1}, {Name: "light", Weight: 3}, {Name: "apart", Weight: 1}},
	})
	b.beat("w", 12, 0, 0, func(h *modeler.Heartbeat) { h.Services = []modeler.ServiceName{service, "light"} })
	b.beat("x", 30, 0, 0, func(h *modeler.Heartbeat) { h.Services = []modeler.ServiceName{"apart"} })
	ask := func(entry modeler.EntryID, wants ...modeler.SlotDemand) {
		b.now++
		b.renew(entry, modeler.SlotDemand{}, func(r *modeler.SessionRenewal) { r.Demands = wants })
	}
	for _, entry := range []modeler.EntryID{"a", "b", "c"} {
		ask(entry)
	}
	ask("a", modeler.SlotDemand{Service: service, Waiting: 8}, modeler.SlotDemand{Service: "apart", Waiting: 20})
	ask("b", modeler.SlotDemand{Service: service, Waiting: 4})
	assert.Equal(t, b.granted("a"), 28)
	ask("a", modeler.SlotDemand{Service: "apart", Running: 20}, modeler.SlotDemand{Service: service, Running: 8, Waiting: 50, OldestWait: time.Second})
	ask("b", modeler.SlotDemand{Service: service, Running: 4, Waiting: 50, OldestWait: time.Second})
	for _, one := range []struct{ short, a, b int }{{short: 3, a: 6, b: 3}, {short: 50, a: 2, b: 1}} {
		ask("c", modeler.SlotDemand{Service: "light", Waiting: one.short})
		b.pass(20*time.Millisecond, nil)
		for entry, bound := range map[modeler.EntryID]int{"a": one.a, "b": one.b} {
			list := b.grants[entry]
			var got modeler.TeamShare
			for _, share := range list[len(list)-1].Shares {
				assert.Assert(t, share.Team != "apart" || !share.Bounded)
				if share.Team == "flood" {
					got = share
				}
			}
			assert.Assert(t, got.Bounded && got.Bound == bound, "%s: %+v, want %d", entry, got, bound)
		}
	}
	b.now++
	b.renew("a", modeler.SlotDemand{}, func(r *modeler.SessionRenewal) {
		r.Slots = []modeler.SlotState{{Worker: "w", Returned: 1}}
		r.Demands = []modeler.SlotDemand{{Service: service, Running: 7, Waiting: 50, OldestWait: time.Second}}
	})
	assert.Equal(t, b.granted("c"), 1, "the team with less goes before the longer wait")
}

// TestCallerShares guards against a caller in a loop through several entry hosts
// that keeps the slots of one with a single entry host, and against callers
// with a few slots each that have slots moved for nothing.
func TestCallerShares(t *testing.T) {
	b := newBench("a", "b", "c")
	b.lead()
	ask := func(entry modeler.EntryID, running, waiting int, callers ...modeler.CallerUse) {
		b.now++
		b.renew(entry, modeler.SlotDemand{Running: running, Waiting: waiting, OldestWait: time.Duration(waiting) * time.Millisecond, Callers: callers})
	}
	for _, entry := range []modeler.EntryID{"a", "b", "c"} {
		ask(entry, 0, 0)
	}
	b.beat("w", 30, 0, 0, func(h *modeler.Heartbeat) { h.Connections = 128 })
	last := func(entry modeler.EntryID) *modeler.Grant {
		b.pass(20*time.Millisecond, nil)
		return b.grants[entry][len(b.grants[entry])-1]
	}
	ask("a", 0, 20, modeler.CallerUse{Caller: 1, Waiting: 20})
	ask("b", 0, 10, modeler.CallerUse{Caller: 1, Waiting: 10})
	ask("a", 20, 100, modeler.CallerUse{Caller: 1, Running: 20, Waiting: 100})
	ask("b", 10, 100, modeler.CallerUse{Caller: 1, Running: 10, Waiting: 100})
	ask("c", 0, 6, modeler.CallerUse{Caller: 2, Waiting: 6})
	for entry, want := range map[modeler.EntryID]int{"a": 16, "b": 8} {
		grant := last(entry)
		assert.DeepEqual(t, grant.Callers, []modeler.CallerBound{{Service: service, Caller: 1, Bound: want}})
		assert.Equal(t, grant.Backlogs[0].Waiting, 6, "the loop's requests elsewhere don't count")
	}
	assert.Equal(t, len(last("c").Callers)+len(last("c").Backlogs), 0)
	ask("b", 10, 100, modeler.CallerUse{Caller: 1, Running: 10, Waiting: 100})
	b.now++
	b.renew("a", modeler.SlotDemand{}, func(r *modeler.SessionRenewal) {
		r.Slots = []modeler.SlotState{{Worker: "w", Returned: 1}}
		r.Demands = []modeler.SlotDemand{{
			Service: service, Running: 19, Waiting: 100, OldestWait: time.Second,
			Callers: []modeler.CallerUse{{Caller: 1, Running: 19, Waiting: 100}},
		}}
	})
	assert.Equal(t, b.granted("c"), 1, "the caller with less goes before the longer wait")
	ask("c", 1, 0, modeler.CallerUse{Caller: 2, Running: 1})
	assert.Assert(t, last("c").Backlogs[0].IdleOnly, "the loop's longer wait takes only idle slots")

	var few []modeler.CallerUse
	for i := range 5 {
		few = append(few, modeler.CallerUse{Caller: modeler.CallerHash(i), Running: 2 + i, Waiting: 1})
	}
	ask("b", 0, 0)
	ask("c", 0, 6, modeler.CallerUse{Caller: 9, Waiting: 6})
	ask("a", 20, 5, few...)
	assert.Equal(t, len(last("a").Callers), 0)
}

// TestLoweredLimit guards against freeing slots by a request limit that is
// shorter than the one under which their requests began.
func TestLoweredLimit(t *testing.T) {
	b := newBench("a")
	b.lead()
	b.beat("w", 8, 0, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 8})
	b.Configure(b.now, &modeler.Configuration{
		Version: 2, Services: []modeler.Service{{Name: service, Limit: modeler.Duration(time.Second)}},
	})
	b.pass(span+limit, nil)
	assert.Equal(t, b.worker(t).Kept, 8)
	b.pass(limit/50, nil)
	assert.Equal(t, b.worker(t).Kept, 0)
}

// Guards against an entry host that can never join again: while the end of
// its session is under way, its registration must not be proposed, since the
// two could be applied together, and the ended session would look registered.
func TestNoRegistrationBeforeTheEnd(t *testing.T) {
	b := newBench("e1")
	b.lead()
	b.renew("e1", modeler.SlotDemand{})
	var proposed []modeler.CommandKind
	joinAgain := func() {
		b.Renew(b.now, &modeler.SessionRenewal{Entry: "e1", Incarnation: 1, Term: 1, Clock: b.now, Session: b.now, Join: true})
		for _, c := range b.Take().Commands {
			proposed = append(proposed, c.Kind)
		}
	}
	for range 400 {
		b.now = b.now.Add(10 * time.Millisecond)
		b.Tick(b.now)
		for _, c := range b.Take().Commands {
			proposed = append(proposed, c.Kind)
		}
	}
	assert.Assert(t, len(proposed) > 0)
	joinAgain()
	for _, kind := range proposed {
		assert.Equal(t, kind, modeler.EndSession)
	}
	b.Known(b.now, nil)
	proposed = nil
	joinAgain()
	assert.DeepEqual(t, proposed, []modeler.CommandKind{modeler.RegisterEntry})
	b.Known(b.now, b.known)
	joinAgain()
	assert.Equal(t, len(b.Sessions()), 1)
	assert.Assert(t, b.Sessions()[0].Live)
}

// TestDetach guards against lending to a process whose link has closed, and
// against waits of it that others give slots back for, until it renews.
func TestDetach(t *testing.T) {
	b := newBench("a", "b")
	b.lead()
	b.renew("a", modeler.SlotDemand{Waiting: 4})
	b.renew("b", modeler.SlotDemand{Waiting: 1})
	b.Detach(b.now, modeler.EntrySession{Entry: "a", Incarnation: 1})
	b.beat("w", 2, 0, 0)
	assert.Equal(t, b.granted("a"), 0)
	assert.Equal(t, b.granted("b"), 1)
	for _, grant := range b.grants["b"][1:] {
		assert.Equal(t, len(grant.Backlogs), 0)
	}
	b.now++
	b.renew("a", modeler.SlotDemand{Waiting: 4})
	assert.Equal(t, b.granted("a"), 1)
}

// TestJoinAfterReport guards against counting slots as free twice: once when a
// report shows them unused, and once more when the session that had them joins.
func TestJoinAfterReport(t *testing.T) {
	b := newBench("a", "b")
	b.lead(b.known...)
	b.beat("w", 8, 0, 0)
	b.pass(span+time.Millisecond, nil)
	b.beat("w", 8, 5, 0)
	b.now++
	b.beat("w", 8, 5, 0)
	assert.Equal(t, b.worker(t).Unknown, 5)
	b.renew("a", modeler.SlotDemand{}, func(r *modeler.SessionRenewal) { r.Slots = []modeler.SlotState{{Worker: "w", Held: 3}} })
	w := b.worker(t)
	assert.Equal(t, w.Lent, 3)
	assert.Equal(t, w.Unknown, 5, "the requests may all be of b")
}

// TestSessionCounts guards against slots of an ended session that are held back for
// other entry hosts' requests on the same worker, and against freeing them on
// counts that don't fit the count or that leave requests out.
func TestSessionCounts(t *testing.T) {
	count := func(session string, active int) modeler.SessionCount {
		return modeler.SessionCount{Session: session, Active: active}
	}
	for _, one := range []struct {
		counts []modeler.SessionCount
		kept   int
	}{
		{nil, 4},
		{[]modeler.SessionCount{count("b/1", 5)}, 0},
		{[]modeler.SessionCount{count("a/1", 2), count("b/1", 3)}, 2},
		{[]modeler.SessionCount{count("b/1", 3)}, 2},
		{[]modeler.SessionCount{count("b/1", 6)}, 4},
		{[]modeler.SessionCount{count("a/1", -1), count("b/1", 5)}, 4},
	} {
		b := newBench("a")
		b.lead()
		b.beat("w", 8, 0, 0)
		b.renew("a", modeler.SlotDemand{Waiting: 4})
		b.pass(span, nil)
		b.beat("w", 8, 5, 0)
		b.now++
		b.beat("w", 8, 5, 0, func(h *modeler.Heartbeat) { h.Sessions = one.counts })
		assert.Equal(t, b.worker(t).Kept, one.kept, "%v", one.counts)
	}
}

// TestNewLeaderAsksForNothing guards against slots that entry hosts give back
// to a new leader which can't lend them yet: it learns of a worker only with
// its next heartbeat, up to a second later.
func TestNewLeaderAsksForNothing(t *testing.T) {
	b := newBench("a", "b")
	b.lead(b.known...)
	slots := func(r *modeler.SessionRenewal) { r.Slots = []modeler.SlotState{{Worker: "w", Held: 4}} }
	join := func() {
		b.renew("a", modeler.SlotDemand{Waiting: 1, OldestWait: time.Second}, slots)
		b.renew("b", modeler.SlotDemand{Idle: 4}, slots)
		b.now++
	}
	pressed := func() (n int) {
		for _, grant := range b.grants["b"] {
			n += len(grant.Backlogs)
		}
		return n
	}
	join()
	join()
	b.pass(time.Second, nil)
	assert.Equal(t, pressed(), 0)
	b.beat("w", 8, 4, 0)
	join()
	assert.Assert(t, pressed() > 0)
}
