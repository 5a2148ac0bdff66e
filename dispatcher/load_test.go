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

// arrivals are happenings in order of time.
type arrivals []happening

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// largeCell plays the load of a cell with many workers that answer at once.
type largeCell struct {
	now    modeler.ClockReading
	state  *sequencer.Sequencer
	cell   *dispatcher.Dispatcher
	coming arrivals
	hosts  map[modeler.WorkerID]*largeHost
	flows  int
	ends   int
}

type largeHost struct {
	machine modeler.WorkerAnnouncement
	running map[modeler.FlowTask]modeler.Attempt
	ended   []modeler.EndedAttempt
	number  modeler.Sequence
	waiting func()
}

func newLargeCell(workers int) *largeCell {
	c := &largeCell{now: modeler.ClockReading(time.Hour), state: sequencer.New(), hosts: make(map[modeler.WorkerID]*largeHost)}
	var machines []modeler.WorkerAnnouncement
	for i := range workers {
		m := modeler.WorkerAnnouncement{
			ID: modeler.WorkerID(fmt.Sprintf("i-%04d", i)), Generation: 1, Address: fmt.Sprintf("w%d:1", i), Service: "s",
			Capacity: modeler.Resources{Processors: 32_000, Memory: 128 << 30},
		}
		machines = append(machines, m)
		c.hosts[m.ID] = &largeHost{machine: m, running: make(map[modeler.FlowTask]modeler.Attempt)}
	}
	c.state.Note(machines, nil)
	c.state.Changes()
	c.cell = dispatcher.New(c.now, c.stamp(), 1, c.state, dispatcher.Settings{Lease: lease, Stop: stopTime, Gang: gangTime, Impact: 4 * time.Second})
	return c
}

func (c *largeCell) stamp() modeler.Timestamp {
	return modeler.Timestamp(time.Duration(c.now) / time.Millisecond)
}

func (c *largeCell) after(d time.Duration, do func()) {
	heap.Push(&c.coming, happening{at: c.now.Add(d), do: do})
}

func (c *largeCell) run(d time.Duration, perSecond int) {
	end := c.now.Add(d)
	every := time.Second / time.Duration(perSecond)
	nextFlow, nextTick := c.now, c.now
	for c.now < end {
		c.now = c.now.Add(time.Millisecond)
		for len(c.coming) > 0 && c.coming[0].at <= c.now {
			heap.Pop(&c.coming).(happening).do()
		}
		for nextFlow <= c.now {
			nextFlow = nextFlow.Add(every)
			c.submit()
		}
		if c.now >= nextTick {
			nextTick = c.now.Add(100 * time.Millisecond)
			for id := range c.hosts {
				c.cell.Announce(c.now, &c.hosts[id].machine)
			}
			c.cell.Tick(c.now, c.stamp())
		}
		c.output()
	}
}

func (c *largeCell) submit() {
	c.flows++
	f := flow(modeler.FlowID(fmt.Sprintf("f%06d", c.flows)), step(13, 7, 640*time.Millisecond))
	f.Policy.Service = "s"
	f.Policy.Permits = &modeler.PermitPolicy{Decision: 30 * time.Millisecond, Worker: 400 * time.Microsecond, Validity: 2500 * time.Millisecond}
	c.commit(func() { c.state.Submit(c.stamp(), &f) })
}

func (c *largeCell) commit(apply func()) {
	apply()
	c.cell.Follow(c.now, c.stamp(), c.state.Changes())
}

func (c *largeCell) output() {
	out := c.cell.Output(c.now)
	for _, o := range out.Orders {
		c.after(trip, func() { c.carry(o) })
	}
	if len(out.Starts) > 0 {
		c.after(10*time.Millisecond, func() {
			c.commit(func() { c.state.Start(out.Starts) })
			c.cell.Committed(c.now, out.Starts)
		})
	}
	if len(out.Ends) > 0 {
		c.after(10*time.Millisecond, func() {
			c.ends += len(out.Ends)
			c.commit(func() { c.state.End(c.stamp(), out.Ends) })
			c.cell.Recorded(c.now, out.Ends, true)
		})
	}
	for range 32 {
		ask, found := c.cell.NextAsk(c.now, true)
		if !found {
			break
		}
		c.after(ask.Timeout, func() {
			answer := modeler.PermitAnswer{Step: ask.Step}
			for i, id := range ask.Workers {
				if i%10 < 7 {
					answer.Allowed = append(answer.Allowed, modeler.PermitGrant{Worker: id, Permit: "p"})
				}
			}
			c.cell.Permitted(c.now, answer)
		})
	}
}

func (c *largeCell) clock() modeler.WorkerClock {
	return modeler.WorkerClock(c.now.Sub(0) / time.Millisecond)
}

func (c *largeCell) carry(o modeler.Order) {
	h := c.hosts[o.Worker]
	a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Clock: c.clock()}
	switch o.Kind {
	case modeler.StartOrder:
		h.running[o.Task] = o.Attempt
		c.after(640*time.Millisecond, func() { c.end(h, o.Task, modeler.EndDone) })
	case modeler.StopOrder:
		c.end(h, o.Task, modeler.EndStopped)
	case modeler.RenewOrder:
		for len(h.ended) > 0 && h.ended[0].Number <= o.Cursor {
			h.ended = h.ended[1:]
		}
		answered := false
		h.waiting = func() {
			if answered {
				return
			}
			answered = true
			a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Clock: c.clock(), Generation: 1, Ended: append([]modeler.EndedAttempt(nil), h.ended...)}
			for task, attempt := range h.running {
				a.Running = append(a.Running, modeler.RunningAttempt{Task: task, Attempt: attempt, Percent: 50})
			}
			c.after(trip, func() { c.cell.Renewed(c.now, o, a) })
		}
		if len(h.ended) > 0 || o.Wait == 0 {
			h.waiting()
			return
		}
		c.after(o.Wait, h.waiting)
		return
	}
	c.after(trip, func() { c.cell.Answered(c.now, o, a) })
}

func (c *largeCell) end(h *largeHost, task modeler.FlowTask, kind modeler.EndKind) {
	attempt, runs := h.running[task]
	if !runs {
		return
	}
	delete(h.running, task)
	h.number++
	h.ended = append(h.ended, modeler.EndedAttempt{Number: h.number, Task: task, Attempt: attempt, Kind: kind})
	if h.waiting != nil {
		h.waiting()
	}
}

// BenchmarkLeader gives the leader's processor time for its decisions alone: a
// second of a cell of 1,100 workers that starts 75 flows of 13 tasks.
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

// Guards against a new leader of a large cell that hears its workers one after
// the other: what has ended on those that it has not heard holds up all that
// follows. An election and this together are to take less than the 1.5 s that
// calls wait for a new leader.
func TestManyWorkersAreMetSoon(t *testing.T) {
	const carried = 60 * time.Millisecond
	c := newLargeCell(1100)
	c.cell.Senders(8)
	answers := 0
	begun := c.now
	for answers < 1100 && c.now.Sub(begun) < 10*time.Second {
		for _, o := range c.cell.Output(c.now).Orders {
			assert.Assert(t, o.First)
			c.after(carried, func() {
				answers++
				a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Clock: c.clock(), Generation: 1}
				c.cell.Renewed(c.now, o, a)
			})
		}
		c.now = c.now.Add(time.Millisecond)
		for len(c.coming) > 0 && c.coming[0].at <= c.now {
			heap.Pop(&c.coming).(happening).do()
		}
	}
	// The longest election takes 750 ms and a round of votes.
	assert.Assert(t, c.now.Sub(begun) < 600*time.Millisecond, "meeting all workers took %v", c.now.Sub(begun))
}
