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

// bench drives an Allocator with a clock that starts at an arbitrary reading.
type bench struct {
	*allocator.Allocator
	now    modeler.ClockReading
	known  []modeler.EntrySession
	grants map[modeler.EntryID][]*modeler.Grant
	// receipts are those returned for heartbeats; nextReport is the delay that
	// the last heartbeat returned.
	receipts   []modeler.Receipt
	nextReport time.Duration
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

// lead starts term 1 with the given sessions of earlier terms.
func (b *bench) lead(before ...modeler.EntrySession) {
	b.Lead(b.now, 1, before)
	b.SetLeaseEnd(b.now.Add(time.Hour))
	b.SetRegistered(b.now, b.known)
	b.Configure(b.now, &modeler.Configuration{
		Version: 1, Services: []modeler.Service{{Name: service, Limit: modeler.Duration(limit)}},
	})
}

// advance moves the clock by d in ticks of 10 ms and calls heartbeat, if set,
// each second. With sendRequested it also calls heartbeat when the last answer
// requested a report.
func (b *bench) advance(d time.Duration, heartbeat func(), sendRequested ...bool) {
	end := b.now.Add(d)
	requestedAt := modeler.ClockReading(0)
	for b.now < end {
		b.now = min(b.now.Add(10*time.Millisecond), end)
		b.Tick(b.now)
		if heartbeat != nil && (time.Duration(b.now)%time.Second == 0 || requestedAt != 0 && b.now >= requestedAt) {
			heartbeat()
			requestedAt = 0
			if len(sendRequested) > 0 && sendRequested[0] && b.nextReport > 0 {
				requestedAt = b.now.Add(b.nextReport)
			}
		}
		b.collectGrants()
	}
}

func (b *bench) collectGrants() {
	for _, output := range b.TakeOutput().Grants {
		b.grants[output.To.Entry] = append(b.grants[output.To.Entry], output.Grant)
	}
}

// heartbeat sends a heartbeat that was measured the given time ago and contains
// the newest receipt of that moment. Answers arrive without delay.
func (b *bench) heartbeat(worker string, slots, active int, ago time.Duration, change ...func(*modeler.Heartbeat)) {
	heartbeat := &modeler.Heartbeat{
		Worker: modeler.WorkerID(worker), Generation: 1, Address: worker, Slots: slots, Connections: 64,
		Services: []modeler.ServiceName{service}, IdleTimeout: modeler.Duration(time.Second),
		Clock: b.now.Add(5*time.Hour - ago), Active: active,
	}
	for _, receipt := range b.receipts {
		if receipt.At <= b.now.Add(-ago) {
			heartbeat.Seen = receipt
		}
	}
	for _, one := range change {
		one(heartbeat)
	}
	receipt, nextReport := b.Heartbeat(b.now, heartbeat)
	b.receipts, b.nextReport = append(b.receipts, receipt), nextReport.Std()
	b.collectGrants()
}

// renew sends a renewal. By default the session began at reading 1 of the entry
// host's clock.
func (b *bench) renew(entry modeler.EntryID, demand modeler.SlotDemand, change ...func(*modeler.SessionRenewal)) {
	demand.Service = service
	renew := &modeler.SessionRenewal{
		Entry: entry, Incarnation: 1, Term: 1, Clock: b.now, Session: 1, Join: true, Demands: []modeler.SlotDemand{demand},
	}
	if list := b.grants[entry]; len(list) > 0 {
		renew.Round = list[len(list)-1].Round
	}
	for _, one := range change {
		one(renew)
	}
	b.Renew(b.now, renew)
	b.collectGrants()
}

// grantedSlots returns the number of slots that all grants together have lent
// to the entry host.
func (b *bench) grantedSlots(entry modeler.EntryID) int {
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

func (b *bench) onlyWorker(t *testing.T) allocator.WorkerStatus {
	t.Helper()
	list := b.Workers()
	assert.Equal(t, len(list), 1)
	return list[0]
}

// TestEndOfSession guards against freeing the slots of an ended session while
// its requests may still run: before the request limit has passed, or on a
// heartbeat that arrived after the session's end but was measured before it.
func TestEndOfSession(t *testing.T) {
	cases := []struct {
		name string
		// active is the count and ago the age of the heartbeats after the
		// session's end. If ago is negative, the worker also sends the reports
		// that are requested.
		active int
		ago    time.Duration
		kept   map[time.Duration]int // kept slots by time since the last renewal; lent slots if negative
	}{
		{"current heartbeats, no requests", 0, 0, map[time.Duration]int{
			span - time.Millisecond: -8, span + 20*time.Millisecond: 8, span + 900*time.Millisecond: 8, span + 2100*time.Millisecond: 0,
		}},
		{"delayed heartbeats, no requests", 0, 2500 * time.Millisecond, map[time.Duration]int{
			span + 20*time.Millisecond: 8, span + 3300*time.Millisecond: 8, span + 5*time.Second: 0,
		}},
		{"current heartbeats, three requests", 3, 0, map[time.Duration]int{
			span + 900*time.Millisecond: 8, span + 2100*time.Millisecond: 3, span + limit*101/100 - 100*time.Millisecond: 3, span + limit*101/100 + 100*time.Millisecond: 0,
		}},
		{"requested heartbeats, no requests", 0, -1, map[time.Duration]int{
			span - time.Millisecond: -8, span + 30*time.Millisecond: 0,
		}},
		{"current heartbeats, eight requests", 8, 0, map[time.Duration]int{
			span + limit*101/100 - 100*time.Millisecond: 8, span + limit*101/100 + 100*time.Millisecond: 0,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for at, kept := range c.kept {
				b := newBench("a")
				b.lead()
				for range 10 {
					b.now = b.now.Add(time.Second)
					b.heartbeat("w", 8, 0, 0)
				}
				b.renew("a", modeler.SlotDemand{Waiting: 8})
				assert.Equal(t, b.grantedSlots("a"), 8)
				ended := b.now.Add(span)
				sendRequested := c.ago < 0
				b.advance(at, func() {
					if b.now < ended {
						b.heartbeat("w", 8, 8, 0)
						return
					}
					b.heartbeat("w", 8, c.active, max(0, c.ago))
				}, sendRequested)
				w := b.onlyWorker(t)
				if kept < 0 {
					assert.Equal(t, w.Lent, -kept, "at %v", at)
					continue
				}
				assert.Equal(t, w.Retained, kept, "at %v", at)
				assert.Equal(t, w.Lent, 0, "at %v", at)
			}
		})
	}
}

// TestNewLeader guards against a new leader that lends slots which sessions of
// the last term still use, or that waits longer than those sessions can last.
func TestNewLeader(t *testing.T) {
	held := func(count int) func(*modeler.SessionRenewal) {
		return func(r *modeler.SessionRenewal) {
			r.Slots = []modeler.SlotState{{Worker: "w", Generation: 1, Held: count, Connections: 8}}
		}
	}
	b := newBench("a", "b")
	b.lead(b.known...)
	b.heartbeat("w", 8, 8, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 8}, held(3))
	assert.Equal(t, b.grantedSlots("a"), 3, "before b has reported")
	b.renew("b", modeler.SlotDemand{}, held(1))
	assert.Equal(t, b.grantedSlots("a"), 7, "after b has reported")

	b = newBench("a", "b")
	b.lead(b.known...)
	heartbeat := func() {
		b.heartbeat("w", 8, 2, 0)
		b.renew("a", modeler.SlotDemand{Waiting: 8}, held(3))
	}
	b.advance(span-20*time.Millisecond, heartbeat)
	assert.Equal(t, b.grantedSlots("a"), 3, "while b may have a session")
	b.advance(500*time.Millisecond, heartbeat)
	assert.Equal(t, b.grantedSlots("a"), 3, "before a report measured after the end of b's session")
	b.advance(2500*time.Millisecond, heartbeat)
	assert.Equal(t, b.grantedSlots("a"), 6, "b may still have two running requests")
	b.advance(limit*101/100, heartbeat)
	assert.Equal(t, b.grantedSlots("a"), 8, "after the request limit")
}

// TestQuorumLease guards against a leader that lends slots or renews sessions
// after its quorum lease has ended, when another leader may have replaced it.
func TestQuorumLease(t *testing.T) {
	b := newBench("a")
	b.lead()
	b.heartbeat("w", 8, 0, 0)
	b.SetLeaseEnd(b.now.Add(time.Millisecond))
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{Waiting: 8})
	assert.Equal(t, len(b.grants["a"]), 0)
	b.SetLeaseEnd(b.now.Add(time.Second))
	b.renew("a", modeler.SlotDemand{Waiting: 8}, func(r *modeler.SessionRenewal) { r.Clock++ })
	assert.Equal(t, b.grantedSlots("a"), 8)
}

// TestChoice guards against serving a request before one that has waited
// longer, against uneven use of workers and against more connections to a
// worker than it allows.
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
		b.heartbeat(fmt.Sprint("w", i), 4, 0, 0)
	}
	// A single queue ordered by wait would serve 15 or 16 of the requests on
	// names[1], which have waited longer than those on names[0].
	assert.Assert(t, b.grantedSlots(names[1]) >= 14, "got %d", b.grantedSlots(names[1]))
	assert.Equal(t, b.grantedSlots(names[0])+b.grantedSlots(names[1]), 16)

	b = newBench(names...)
	b.lead()
	for i := range 4 {
		b.heartbeat(fmt.Sprint("w", i), 24, 0, 0)
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
		assert.Assert(t, b.grantedSlots(name) > 0, "%s got no slot although all share the connections", name)
	}
}

// TestRevocation guards against slots that stay lent on a worker that is
// leaving, silent or has restarted with fewer slots.
func TestRevocation(t *testing.T) {
	cases := []struct {
		name   string
		revoke func(*bench)
	}{
		{"leaving", func(b *bench) { b.heartbeat("w", 8, 0, 0, func(h *modeler.Heartbeat) { h.Leaving = true }) }},
		{"silent", func(b *bench) { b.advance(3020*time.Millisecond, nil) }},
		{"smaller", func(b *bench) { b.heartbeat("w", 4, 0, 0, func(h *modeler.Heartbeat) { h.Generation = 2 }) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench("a", "b")
			b.lead()
			b.heartbeat("w", 8, 0, 0)
			b.renew("a", modeler.SlotDemand{Waiting: 6})
			b.now = b.now.Add(time.Millisecond)
			c.revoke(b)
			list := b.grants["a"]
			last := list[len(list)-1]
			assert.Equal(t, len(last.Slots), 1)
			assert.Assert(t, last.Slots[0].Revoked)
			b.now = b.now.Add(time.Millisecond)
			b.renew("b", modeler.SlotDemand{Waiting: 1})
			assert.Equal(t, b.grantedSlots("b"), 0)
			returned := func(r *modeler.SessionRenewal) { r.Slots = []modeler.SlotState{{Worker: "w", Returned: 6}} }
			b.renew("a", modeler.SlotDemand{}, returned)
			b.advance(20*time.Millisecond, nil)
			if c.name == "smaller" {
				assert.Equal(t, b.grantedSlots("b"), 1, "the slots lent fit the worker again")
				return
			}
			assert.Equal(t, b.grantedSlots("b"), 0)
		})
	}
}

// TestIdleSlot guards against an idle slot that takes more than one exchange to
// get from one entry host to a waiting request on another, and against
// recalling more slots than requests wait.
func TestIdleSlot(t *testing.T) {
	b := newBench("a", "b", "c")
	b.lead()
	b.heartbeat("w", 8, 0, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 5})
	b.renew("b", modeler.SlotDemand{Waiting: 3})
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{Idle: 5})
	b.renew("b", modeler.SlotDemand{Idle: 3})
	b.renew("c", modeler.SlotDemand{Waiting: 2, OldestWait: time.Millisecond})
	recalled := 0
	for _, name := range []modeler.EntryID{"a", "b"} {
		list := b.grants[name]
		for _, backlog := range list[len(list)-1].Backlogs {
			recalled += backlog.Recall
		}
	}
	assert.Equal(t, recalled, 2)
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{Idle: 3}, func(r *modeler.SessionRenewal) {
		r.Slots = []modeler.SlotState{{Worker: "w", Returned: 2}}
	})
	assert.Equal(t, b.grantedSlots("c"), 2)
}

// TestStaleMessages guards against renewals that arrive late or repeatedly and
// overwrite newer counts, demands or sessions.
func TestStaleMessages(t *testing.T) {
	returned := func(count uint64) func(*modeler.SessionRenewal) {
		return func(r *modeler.SessionRenewal) { r.Slots = []modeler.SlotState{{Worker: "w", Returned: count}} }
	}
	b := newBench("a")
	b.lead()
	b.heartbeat("w", 8, 0, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 6})
	first := b.now
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{Idle: 1}, returned(5))
	assert.Equal(t, b.onlyWorker(t).Lent, 1)
	b.now = b.now.Add(time.Second)
	b.renew("a", modeler.SlotDemand{Waiting: 3}, returned(2), func(r *modeler.SessionRenewal) { r.Clock = first + 1 })
	assert.Equal(t, b.onlyWorker(t).Lent, 1, "an older renewal")
	b.advance(span-time.Second, nil)
	assert.Equal(t, b.onlyWorker(t).Lent, 0, "an older renewal doesn't prolong the session")

	inventory := func(session modeler.ClockReading, held int) func(*modeler.SessionRenewal) {
		return func(r *modeler.SessionRenewal) {
			r.Session, r.Slots = session, []modeler.SlotState{{Worker: "w", Held: held, Connections: 8}}
		}
	}
	b.renew("a", modeler.SlotDemand{}, inventory(first+2, 4))
	assert.Equal(t, b.onlyWorker(t).Lent, 4)
	assert.Equal(t, b.onlyWorker(t).Retained, 0, "the new session's inventory replaces what the old one kept")
	b.now = b.now.Add(time.Millisecond)
	b.renew("a", modeler.SlotDemand{}, inventory(1, 0))
	assert.Equal(t, b.onlyWorker(t).Lent, 4, "an inventory of an older session")
}

// TestPausedEntry guards against lending more and more slots to an entry host
// that has paused with many waiting requests.
func TestPausedEntry(t *testing.T) {
	b := newBench("a", "b")
	b.lead()
	b.heartbeat("w", 8, 0, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 200, OldestWait: time.Second})
	assert.Equal(t, b.grantedSlots("a"), 8)
	b.advance(30*time.Millisecond, nil)
	for i := range 20 {
		b.heartbeat(fmt.Sprint("v", i), 8, 0, 0)
	}
	assert.Equal(t, b.grantedSlots("a"), 8, "8 slots are unconfirmed for 30 ms")
	b.renew("b", modeler.SlotDemand{Waiting: 50})
	assert.Equal(t, b.grantedSlots("b"), 32, "no more than 32 unconfirmed slots")
	b.now = b.now.Add(time.Millisecond)
	b.renew("b", modeler.SlotDemand{Waiting: 18})
	assert.Equal(t, b.grantedSlots("b"), 50)
}

// BenchmarkRenew measures a renewal that demands a slot and one that returns
// it, on a leader with 48 workers and 7 entry hosts.
func BenchmarkRenew(b *testing.B) {
	var names []modeler.EntryID
	for i := range 7 {
		names = append(names, modeler.EntryID(fmt.Sprint("e", i)))
	}
	bench := newBench(names...)
	bench.lead()
	bench.SetLeaseEnd(bench.now.Add(1000 * time.Hour))
	bench.heartbeat("w", 8, 0, 0)
	for i := range 47 {
		bench.heartbeat(fmt.Sprint("v", i), 8, 0, 0)
	}
	for _, name := range names {
		bench.renew(name, modeler.SlotDemand{Waiting: 20})
		bench.now++
		bench.renew(name, modeler.SlotDemand{Idle: 2, Spare: 2})
	}
	last := bench.grants["e0"][len(bench.grants["e0"])-1]
	renew := &modeler.SessionRenewal{Entry: "e0", Incarnation: 1, Term: 1, Session: 1, Round: last.Round, Demands: []modeler.SlotDemand{{Service: service}}}
	returned := map[modeler.WorkerID]uint64{}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		bench.now++
		renew.Clock = bench.now
		renew.Demands[0].Waiting = 1 - renew.Demands[0].Waiting
		bench.Renew(bench.now, renew)
		renew.Slots = renew.Slots[:0]
		for _, output := range bench.TakeOutput().Grants {
			renew.Round = output.Grant.Round
			for _, slot := range output.Grant.Slots {
				if renew.Demands[0].Waiting == 1 {
					returned[slot.Worker]++
					renew.Slots = append(renew.Slots, modeler.SlotState{Worker: slot.Worker, Returned: returned[slot.Worker]})
				}
			}
		}
	}
}

// TestShares guards against a team without slots that waits behind a team with
// many, against bounds that take more slots than the weights call for, and
// against bounds on teams that share no worker with the waiting one.
func TestShares(t *testing.T) {
	b := newBench("a", "b", "c")
	b.lead()
	b.Configure(b.now, &modeler.Configuration{
		Version:  2,
		Services: []modeler.Service{{Name: service, Team: "flood"}, {Name: "light", Team: "light"}, {Name: "apart", Team: "apart"}},
		Teams:    []modeler.Team{{Name: "flood", Weight: 1}, {Name: "light", Weight: 3}, {Name: "apart", Weight: 1}},
	})
	b.heartbeat("w", 12, 0, 0, func(h *modeler.Heartbeat) { h.Services = []modeler.ServiceName{service, "light"} })
	b.heartbeat("x", 30, 0, 0, func(h *modeler.Heartbeat) { h.Services = []modeler.ServiceName{"apart"} })
	sendDemands := func(entry modeler.EntryID, demands ...modeler.SlotDemand) {
		b.now++
		b.renew(entry, modeler.SlotDemand{}, func(r *modeler.SessionRenewal) { r.Demands = demands })
	}
	for _, entry := range []modeler.EntryID{"a", "b", "c"} {
		sendDemands(entry)
	}
	sendDemands("a", modeler.SlotDemand{Service: service, Waiting: 8}, modeler.SlotDemand{Service: "apart", Waiting: 20})
	sendDemands("b", modeler.SlotDemand{Service: service, Waiting: 4})
	assert.Equal(t, b.grantedSlots("a"), 28)
	sendDemands("a", modeler.SlotDemand{Service: "apart", Running: 20}, modeler.SlotDemand{Service: service, Running: 8, Waiting: 50, OldestWait: time.Second})
	sendDemands("b", modeler.SlotDemand{Service: service, Running: 4, Waiting: 50, OldestWait: time.Second})
	for _, round := range []struct{ short, a, b int }{{short: 3, a: 6, b: 3}, {short: 50, a: 2, b: 1}} {
		sendDemands("c", modeler.SlotDemand{Service: "light", Waiting: round.short})
		b.advance(20*time.Millisecond, nil)
		for entry, bound := range map[modeler.EntryID]int{"a": round.a, "b": round.b} {
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
	assert.Equal(t, b.grantedSlots("c"), 1, "the team with fewer slots precedes the longer wait")
}

// TestCallerShares guards against a caller that sends requests in a loop
// through several entry hosts and takes the slots of a caller on a single entry
// host, and against moving slots between callers that have only a few each.
func TestCallerShares(t *testing.T) {
	b := newBench("a", "b", "c")
	b.lead()
	sendDemand := func(entry modeler.EntryID, running, waiting int, callers ...modeler.CallerUse) {
		b.now++
		b.renew(entry, modeler.SlotDemand{Running: running, Waiting: waiting, OldestWait: time.Duration(waiting) * time.Millisecond, Callers: callers})
	}
	for _, entry := range []modeler.EntryID{"a", "b", "c"} {
		sendDemand(entry, 0, 0)
	}
	b.heartbeat("w", 30, 0, 0, func(h *modeler.Heartbeat) { h.Connections = 128 })
	lastGrant := func(entry modeler.EntryID) *modeler.Grant {
		b.advance(20*time.Millisecond, nil)
		return b.grants[entry][len(b.grants[entry])-1]
	}
	sendDemand("a", 0, 20, modeler.CallerUse{Caller: 1, Waiting: 20})
	sendDemand("b", 0, 10, modeler.CallerUse{Caller: 1, Waiting: 10})
	sendDemand("a", 20, 100, modeler.CallerUse{Caller: 1, Running: 20, Waiting: 100})
	sendDemand("b", 10, 100, modeler.CallerUse{Caller: 1, Running: 10, Waiting: 100})
	sendDemand("c", 0, 6, modeler.CallerUse{Caller: 2, Waiting: 6})
	for entry, want := range map[modeler.EntryID]int{"a": 16, "b": 8} {
		grant := lastGrant(entry)
		assert.DeepEqual(t, grant.Callers, []modeler.CallerBound{{Service: service, Caller: 1, Bound: want}})
		assert.Equal(t, grant.Backlogs[0].Waiting, 6, "requests of the looping caller on other entry hosts don't count")
	}
	assert.Equal(t, len(lastGrant("c").Callers)+len(lastGrant("c").Backlogs), 0)
	sendDemand("b", 10, 100, modeler.CallerUse{Caller: 1, Running: 10, Waiting: 100})
	b.now++
	b.renew("a", modeler.SlotDemand{}, func(r *modeler.SessionRenewal) {
		r.Slots = []modeler.SlotState{{Worker: "w", Returned: 1}}
		r.Demands = []modeler.SlotDemand{{
			Service: service, Running: 19, Waiting: 100, OldestWait: time.Second,
			Callers: []modeler.CallerUse{{Caller: 1, Running: 19, Waiting: 100}},
		}}
	})
	assert.Equal(t, b.grantedSlots("c"), 1, "the caller with fewer slots precedes the longer wait")
	sendDemand("c", 1, 0, modeler.CallerUse{Caller: 2, Running: 1})
	assert.Assert(t, lastGrant("c").Backlogs[0].IdleOnly, "the looping caller's longer wait takes only idle slots")

	var smallCallers []modeler.CallerUse
	for i := range 5 {
		smallCallers = append(smallCallers, modeler.CallerUse{Caller: modeler.CallerHash(i), Running: 2 + i, Waiting: 1})
	}
	sendDemand("b", 0, 0)
	sendDemand("c", 0, 6, modeler.CallerUse{Caller: 9, Waiting: 6})
	sendDemand("a", 20, 5, smallCallers...)
	assert.Equal(t, len(lastGrant("a").Callers), 0)
}

// TestLoweredLimit guards against freeing slots after a newly lowered request
// limit although their requests began under the longer one.
func TestLoweredLimit(t *testing.T) {
	b := newBench("a")
	b.lead()
	b.heartbeat("w", 8, 0, 0)
	b.renew("a", modeler.SlotDemand{Waiting: 8})
	b.Configure(b.now, &modeler.Configuration{
		Version: 2, Services: []modeler.Service{{Name: service, Limit: modeler.Duration(time.Second)}},
	})
	b.advance(span+limit, nil)
	assert.Equal(t, b.onlyWorker(t).Retained, 8)
	b.advance(limit/50, nil)
	assert.Equal(t, b.onlyWorker(t).Retained, 0)
}

// TestNoRegistrationBeforeTheEnd guards against an entry host that can never
// join again. While EndSession is proposed, RegisterEntry must not be: if both
// were applied together, the ended session would still look registered.
func TestNoRegistrationBeforeTheEnd(t *testing.T) {
	b := newBench("e1")
	b.lead()
	b.renew("e1", modeler.SlotDemand{})
	var proposed []modeler.CommandKind
	sendJoin := func() {
		b.Renew(b.now, &modeler.SessionRenewal{Entry: "e1", Incarnation: 1, Term: 1, Clock: b.now, Session: b.now, Join: true})
		for _, c := range b.TakeOutput().Commands {
			proposed = append(proposed, c.Kind)
		}
	}
	for range 400 {
		b.now = b.now.Add(10 * time.Millisecond)
		b.Tick(b.now)
		for _, c := range b.TakeOutput().Commands {
			proposed = append(proposed, c.Kind)
		}
	}
	assert.Assert(t, len(proposed) > 0)
	sendJoin()
	for _, kind := range proposed {
		assert.Equal(t, kind, modeler.EndSession)
	}
	b.SetRegistered(b.now, nil)
	proposed = nil
	sendJoin()
	assert.DeepEqual(t, proposed, []modeler.CommandKind{modeler.RegisterEntry})
	b.SetRegistered(b.now, b.known)
	sendJoin()
	assert.Equal(t, len(b.Sessions()), 1)
	assert.Assert(t, b.Sessions()[0].Live)
}

// TestDetach guards against lending to a process whose link has closed before
// it renews, and against having other entry hosts return slots for its waiting
// requests.
func TestDetach(t *testing.T) {
	b := newBench("a", "b")
	b.lead()
	b.renew("a", modeler.SlotDemand{Waiting: 4})
	b.renew("b", modeler.SlotDemand{Waiting: 1})
	b.Detach(b.now, modeler.EntrySession{Entry: "a", Incarnation: 1})
	b.heartbeat("w", 2, 0, 0)
	assert.Equal(t, b.grantedSlots("a"), 0)
	assert.Equal(t, b.grantedSlots("b"), 1)
	for _, grant := range b.grants["b"][1:] {
		assert.Equal(t, len(grant.Backlogs), 0)
	}
	b.now++
	b.renew("a", modeler.SlotDemand{Waiting: 4})
	assert.Equal(t, b.grantedSlots("a"), 1)
}

// TestJoinAfterReport guards against subtracting slots from the unknown ones
// twice: when a heartbeat shows how many are in use, and again when the session
// that holds some of them joins.
func TestJoinAfterReport(t *testing.T) {
	b := newBench("a", "b")
	b.lead(b.known...)
	b.heartbeat("w", 8, 0, 0)
	b.advance(span+time.Millisecond, nil)
	b.heartbeat("w", 8, 5, 0)
	b.now++
	b.heartbeat("w", 8, 5, 0)
	assert.Equal(t, b.onlyWorker(t).Unknown, 5)
	b.renew("a", modeler.SlotDemand{}, func(r *modeler.SessionRenewal) { r.Slots = []modeler.SlotState{{Worker: "w", Held: 3}} })
	w := b.onlyWorker(t)
	assert.Equal(t, w.Lent, 3)
	assert.Equal(t, w.Unknown, 5, "all five active requests may be of b")
}

// TestSessionCounts guards against holding back slots of an ended session
// because of other entry hosts' requests on the same worker, and against
// freeing them on counts by session that are negative, exceed the total or
// leave requests out.
func TestSessionCounts(t *testing.T) {
	count := func(session string, active int) modeler.SessionCount {
		return modeler.SessionCount{Session: session, Active: active}
	}
	for _, c := range []struct {
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
		b.heartbeat("w", 8, 0, 0)
		b.renew("a", modeler.SlotDemand{Waiting: 4})
		b.advance(span, nil)
		b.heartbeat("w", 8, 5, 0)
		b.now++
		b.heartbeat("w", 8, 5, 0, func(h *modeler.Heartbeat) { h.Sessions = c.counts })
		assert.Equal(t, b.onlyWorker(t).Retained, c.kept, "%v", c.counts)
	}
}

// TestNewLeaderAsksForNothing guards against a new leader that has entry hosts
// return slots which it can't lend yet: it learns of a worker only with its
// next heartbeat, up to a second later.
func TestNewLeaderAsksForNothing(t *testing.T) {
	b := newBench("a", "b")
	b.lead(b.known...)
	slots := func(r *modeler.SessionRenewal) { r.Slots = []modeler.SlotState{{Worker: "w", Held: 4}} }
	joinBoth := func() {
		b.renew("a", modeler.SlotDemand{Waiting: 1, OldestWait: time.Second}, slots)
		b.renew("b", modeler.SlotDemand{Idle: 4}, slots)
		b.now++
	}
	backlogs := func() (n int) {
		for _, grant := range b.grants["b"] {
			n += len(grant.Backlogs)
		}
		return n
	}
	joinBoth()
	joinBoth()
	b.advance(time.Second, nil)
	assert.Equal(t, backlogs(), 0)
	b.heartbeat("w", 8, 4, 0)
	joinBoth()
	assert.Assert(t, backlogs() > 0)
}
