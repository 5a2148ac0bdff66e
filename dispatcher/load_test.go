package dispatcher_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// eventHeap is a heap of events ordered by time.
type eventHeap []scheduledEvent

func (a eventHeap) Len() int           { return len(a) }
func (a eventHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventHeap) Push(x any)        { *a = append(*a, x.(scheduledEvent)) }
func (a *eventHeap) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// largeCell simulates the load of a cell with many workers that answer at once.
type largeCell struct {
	now       modeler.ClockReading
	state     *sequencer.Sequencer
	leader    *dispatcher.Dispatcher
	scheduled eventHeap
	hosts     map[modeler.WorkerID]*largeCellWorker
	flows     int
	ends      int
}

type largeCellWorker struct {
	announcement  modeler.WorkerAnnouncement
	running       map[modeler.FlowTask]modeler.Attempt
	ended         []modeler.EndedAttempt
	number        modeler.Sequence
	answerRenewal func()
}

func newLargeCell(workers int) *largeCell {
	c := &largeCell{now: modeler.ClockReading(time.Hour), state: sequencer.New(), hosts: make(map[modeler.WorkerID]*largeCellWorker)}
	var announcements []modeler.WorkerAnnouncement
	for i := range workers {
		m := modeler.WorkerAnnouncement{
			ID: modeler.WorkerID(fmt.Sprintf("i-%04d", i)), Generation: 1, Address: fmt.Sprintf("w%d:1", i), Service: "s",
			Capacity: modeler.Resources{Processors: 32_000, Memory: 128 << 30},
		}
		announcements = append(announcements, m)
		c.hosts[m.ID] = &largeCellWorker{announcement: m, running: make(map[modeler.FlowTask]modeler.Attempt)}
	}
	c.state.UpdateWorkers(announcements, nil)
	c.state.Changes()
	c.leader = dispatcher.New(c.now, c.stamp(), 1, c.state, dispatcher.Settings{MaxLease: lease, MaxStopTime: stopTime, GangTimeout: gangTimeout, MaxTimeOverTarget: 4 * time.Second})
	return c
}

func (c *largeCell) stamp() modeler.Timestamp {
	return modeler.Timestamp(time.Duration(c.now) / time.Millisecond)
}

func (c *largeCell) schedule(d time.Duration, do func()) {
	heap.Push(&c.scheduled, scheduledEvent{at: c.now.Add(d), do: do})
}

func (c *largeCell) run(d time.Duration, perSecond int) {
	end := c.now.Add(d)
	every := time.Second / time.Duration(perSecond)
	nextFlow, nextTick := c.now, c.now
	for c.now < end {
		c.now = c.now.Add(time.Millisecond)
		for len(c.scheduled) > 0 && c.scheduled[0].at <= c.now {
			heap.Pop(&c.scheduled).(scheduledEvent).do()
		}
		for nextFlow <= c.now {
			nextFlow = nextFlow.Add(every)
			c.submit()
		}
		if c.now >= nextTick {
			nextTick = c.now.Add(100 * time.Millisecond)
			for id := range c.hosts {
				c.leader.HandleAnnouncement(c.now, &c.hosts[id].announcement)
			}
			c.leader.Tick(c.now, c.stamp())
		}
		c.output()
	}
}

func (c *largeCell) submit() {
	c.flows++
	f := flow(modeler.FlowID(fmt.Sprintf("f%06d", c.flows)), step(13, 7, 640*time.Millisecond))
	f.Policy.Service = "s"
	f.Policy.Permits = &modeler.PermitPolicy{Decision: 30 * time.Millisecond, Worker: 400 * time.Microsecond, Validity: 2500 * time.Millisecond}
	if accounts := c.state.Layout().Accounts; len(accounts) > 0 {
		f.Team = accounts[c.flows%len(accounts)].Team.Name
		f.BeyondShare = c.flows%3 == 0
	}
	c.commit(func() { c.state.Submit(c.stamp(), &f) })
}

func (c *largeCell) commit(apply func()) {
	apply()
	c.leader.ApplyChanges(c.now, c.stamp(), c.state.Changes())
}

func (c *largeCell) output() {
	out := c.leader.Output(c.now)
	for _, o := range out.Orders {
		c.schedule(networkDelay, func() { c.deliverOrder(o) })
	}
	if len(out.Starts) > 0 {
		c.schedule(10*time.Millisecond, func() {
			c.commit(func() { c.state.RecordStarts(out.Starts) })
			c.leader.HandleProposedStarts(c.now, out.Starts)
		})
	}
	if len(out.Ends) > 0 {
		c.schedule(10*time.Millisecond, func() {
			c.ends += len(out.Ends)
			c.commit(func() { c.state.RecordEnds(c.stamp(), out.Ends) })
			c.leader.HandleProposedEnds(c.now, out.Ends, true)
		})
	}
	for range 32 {
		ask, found := c.leader.NextPermitRequest(c.now, true)
		if !found {
			break
		}
		c.schedule(ask.Timeout, func() {
			answer := modeler.PermitAnswer{Step: ask.Step}
			for i, id := range ask.Workers {
				if i%10 < 7 {
					answer.Allowed = append(answer.Allowed, modeler.PermitGrant{Worker: id, Permit: "p"})
				}
			}
			c.leader.HandlePermitAnswer(c.now, answer)
		})
	}
}

func (c *largeCell) clock() modeler.WorkerClock {
	return modeler.WorkerClock(c.now.Sub(0) / time.Millisecond)
}

func (c *largeCell) deliverOrder(o modeler.Order) {
	h := c.hosts[o.Worker]
	a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Clock: c.clock()}
	switch o.Kind {
	case modeler.StartOrder:
		h.running[o.Task] = o.Attempt
		c.schedule(640*time.Millisecond, func() { c.endTask(h, o.Task, modeler.EndDone) })
	case modeler.StopOrder:
		c.endTask(h, o.Task, modeler.EndStopped)
	case modeler.RenewOrder:
		for len(h.ended) > 0 && h.ended[0].Number <= o.Cursor {
			h.ended = h.ended[1:]
		}
		answered := false
		h.answerRenewal = func() {
			if answered {
				return
			}
			answered = true
			a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Clock: c.clock(), Generation: 1, Ended: append([]modeler.EndedAttempt(nil), h.ended...)}
			for task, attempt := range h.running {
				a.Running = append(a.Running, modeler.RunningAttempt{Task: task, Attempt: attempt, Percent: 50})
			}
			c.schedule(networkDelay, func() { c.leader.HandleRenewalAnswer(c.now, o, a) })
		}
		if len(h.ended) > 0 || o.Wait == 0 {
			h.answerRenewal()
			return
		}
		c.schedule(o.Wait, h.answerRenewal)
		return
	}
	c.schedule(networkDelay, func() { c.leader.HandleOrderAnswer(c.now, o, a) })
}

func (c *largeCell) endTask(h *largeCellWorker, task modeler.FlowTask, kind modeler.EndKind) {
	attempt, runs := h.running[task]
	if !runs {
		return
	}
	delete(h.running, task)
	h.number++
	h.ended = append(h.ended, modeler.EndedAttempt{Number: h.number, Task: task, Attempt: attempt, Kind: kind})
	if h.answerRenewal != nil {
		h.answerRenewal()
	}
}

// BenchmarkLeader measures the processor time of the leader's decisions alone.
// One operation is a second of a cell; with 1,100 workers it starts 75 flows of
// 13 tasks.
func BenchmarkLeader(b *testing.B) {
	for _, workers := range []int{48, 350, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := newLargeCell(workers)
			load := max(workers*75/1100, 1)
			c.run(3*time.Second, load)
			b.ResetTimer()
			before := c.ends
			for range b.N {
				c.run(time.Second, load)
			}
			b.ReportMetric(float64(c.ends-before)/float64(b.N), "ends/op")
		})
	}
}

// BenchmarkPlacement measures passes of the placement over steps that wait in a full
// cell. One operation is one pass 25 ms after the last one, with its tick.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{350, 300}, {1100, 2000}} {
		b.Run(fmt.Sprintf("%d-on-%d", size.waiting, size.workers), func(b *testing.B) {
			var c *largeCell
			for i := range b.N {
				if i%passesPerCell == 0 {
					b.StopTimer()
					c = newLargeCell(size.workers)
					c.run(time.Second, 1)
					// Each worker has room for 4 tasks, each flow has 13.
					for range size.workers*4/13 + size.waiting {
						c.submit()
					}
					c.run(300*time.Millisecond, 1)
					b.StartTimer()
				}
				c.now = c.now.Add(25 * time.Millisecond)
				c.leader.Tick(c.now, c.stamp())
				c.leader.Output(c.now)
			}
		})
	}
}

// BenchmarkPlacementOfAccounts measures passes of the placement as BenchmarkPlacement does.
// The flows belong to a number of accounts; 0 means none. With capped set, every account is
// at its quota, so that all steps wait for it; the workers have room.
func BenchmarkPlacementOfAccounts(b *testing.B) {
	for _, c := range []struct {
		workers, waiting, accounts int
		capped                     bool
	}{{350, 300, 0, false}, {350, 300, 20, false}, {350, 300, 20, true}, {1100, 2000, 0, false}, {1100, 2000, 320, false}, {1100, 2000, 320, true}} {
		b.Run(fmt.Sprintf("%d-on-%d/accounts=%d/capped=%t", c.waiting, c.workers, c.accounts, c.capped), func(b *testing.B) {
			b.ReportAllocs()
			var cell *largeCell
			for i := range b.N {
				if i%passesPerCell == 0 {
					b.StopTimer()
					cell = newLargeCell(c.workers)
					cell.setAccounts(c.accounts, c.capped)
					cell.run(time.Second, 1)
					for range c.workers*4/13 + c.waiting {
						cell.submit()
					}
					cell.run(300*time.Millisecond, 1)
					b.StartTimer()
				}
				cell.now = cell.now.Add(25 * time.Millisecond)
				cell.leader.Tick(cell.now, cell.stamp())
				cell.leader.Output(cell.now)
			}
		})
	}
}

// setAccounts puts accounts in force, one for each of the next flows in turn. A capped
// account may run 2 tasks.
func (c *largeCell) setAccounts(count int, capped bool) {
	layout := modeler.Layout{Number: 1, Keyed: true}
	for i := range count {
		a := account(modeler.TeamName(fmt.Sprintf("a%03d", i)), 100_000)
		if capped {
			a.Team.Quota.Processors = 14_000
		}
		layout.Accounts = append(layout.Accounts, a)
	}
	c.commit(func() { c.state.SetLayout(&layout) })
}

// passesPerCell is how many passes a cell is used for: within them no lease expires
// and no worker falls silent.
const passesPerCell = 20

// Guards against a new leader of a large cell that sends first renewals to its
// workers one after the other. Tasks that have ended on workers that it hasn't
// reached yet delay all steps that follow. The first renewals and an election
// must take less than the 1.5 s that calls wait for a new leader.
func TestFirstRenewalsOfLargeCell(t *testing.T) {
	const orderDelay = 60 * time.Millisecond
	c := newLargeCell(1100)
	c.leader.SetSenders(8)
	answers := 0
	begun := c.now
	for answers < 1100 && c.now.Sub(begun) < 10*time.Second {
		for _, o := range c.leader.Output(c.now).Orders {
			assert.Assert(t, o.First)
			c.schedule(orderDelay, func() {
				answers++
				a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Clock: c.clock(), Generation: 1}
				c.leader.HandleRenewalAnswer(c.now, o, a)
			})
		}
		c.now = c.now.Add(time.Millisecond)
		for len(c.scheduled) > 0 && c.scheduled[0].at <= c.now {
			heap.Pop(&c.scheduled).(scheduledEvent).do()
		}
	}
	// The longest election takes 750 ms and a round of votes.
	assert.Assert(t, c.now.Sub(begun) < 600*time.Millisecond, "the first renewals to all workers took %v", c.now.Sub(begun))
}
