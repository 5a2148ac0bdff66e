package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// widestStep is the widest step that a flow may have.
const widestStep = 100_000

// leaderLease is the lease of a leader. Its renewal waits for the goroutine that
// runs the dispatcher.
const leaderLease = 400 * time.Millisecond

// smallTasks returns a step whose tasks need a tenth of a core each.
func smallTasks(count int) modeler.Step {
	s := step(count, 0, time.Second)
	s.Need = modeler.Resources{Processors: 100, Memory: 100 << 20}
	return s
}

// turns measures the longest time that the dispatcher holds its caller up.
type turns struct {
	longest time.Duration
	what    string
}

func (l *turns) measure(what string, do func()) {
	begun := time.Now()
	do()
	if took := time.Since(begun); took > l.longest {
		l.longest, l.what = took, what
	}
}

// widthCell is a cell of 6 workers that accept and finish tasks at once.
type widthCell struct {
	now    modeler.ClockReading
	term   modeler.Term
	state  *sequencer.Sequencer
	leader *dispatcher.Dispatcher
	// ended counts the ends that each worker has listed.
	ended map[modeler.WorkerID]modeler.Sequence
	turns turns
}

func newWidthCell(flows ...modeler.Flow) *widthCell {
	c := &widthCell{now: modeler.ClockReading(time.Hour), state: sequencer.New(), ended: make(map[modeler.WorkerID]modeler.Sequence)}
	var workers []modeler.WorkerAnnouncement
	for i := range 6 {
		workers = append(workers, modeler.WorkerAnnouncement{
			ID: modeler.WorkerID(fmt.Sprint("i-", i)), Generation: 1, Address: fmt.Sprint("w", i, ":1"), Service: "s",
			Capacity: modeler.Resources{Processors: 32_000, Memory: 64 << 30},
		})
	}
	c.state.UpdateWorkers(workers, nil)
	for i := range flows {
		flows[i].Policy.Service = "s"
		c.state.Submit(c.stamp(), &flows[i])
	}
	c.elect()
	return c
}

func (c *widthCell) stamp() modeler.Timestamp {
	return modeler.Timestamp(time.Duration(c.now) / time.Millisecond)
}

// elect starts a new leader, and lets all workers answer it.
func (c *widthCell) elect() {
	c.term++
	c.state.Changes()
	c.turns.measure("take-over", func() {
		c.leader = dispatcher.New(c.now, c.stamp(), c.term, c.state, dispatcher.Settings{
			MaxLease: lease, MaxStopTime: stopTime, GangTimeout: gangTimeout, MaxTimeOverTarget: 4 * time.Second,
		})
	})
}

// step carries out one turn: all orders are accepted, each task that was started ends
// with the given kind, and what is proposed is committed. It returns the number of
// starts.
func (c *widthCell) step(kind modeler.EndKind) int {
	c.now = c.now.Add(10 * time.Millisecond)
	c.turns.measure("tick", func() { c.leader.Tick(c.now, c.stamp()) })
	var out dispatcher.Output
	c.turns.measure("decisions", func() { out = c.leader.Output(c.now) })
	started := make(map[modeler.WorkerID][]modeler.Order)
	for _, o := range out.Orders {
		if o.Kind == modeler.StartOrder {
			started[o.Worker] = append(started[o.Worker], o)
		}
		a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Clock: modeler.WorkerClock(time.Duration(c.now) / time.Millisecond), Generation: 1}
		if o.Kind == modeler.RenewOrder {
			c.leader.HandleRenewalAnswer(c.now, o, a)
			continue
		}
		c.leader.HandleOrderAnswer(c.now, o, a)
	}
	for id, orders := range started {
		a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Clock: modeler.WorkerClock(time.Duration(c.now) / time.Millisecond), Generation: 1}
		for _, o := range orders {
			c.ended[id]++
			a.Ended = append(a.Ended, modeler.EndedAttempt{Number: c.ended[id], Task: o.Task, Attempt: o.Attempt, Kind: kind})
		}
		renewal := modeler.Order{Kind: modeler.RenewOrder, Worker: id, Generation: 1}
		c.turns.measure("list of ends", func() { c.leader.HandleRenewalAnswer(c.now, renewal, a) })
	}
	c.turns.measure("decisions", func() {
		next := c.leader.Output(c.now)
		out.Starts = append(out.Starts, next.Starts...)
		out.Ends = append(out.Ends, next.Ends...)
	})
	c.turns.measure("ends", func() {
		c.state.RecordEnds(c.stamp(), out.Ends)
		c.leader.ApplyChanges(c.now, c.stamp(), c.state.Changes())
		c.leader.HandleProposedEnds(c.now, out.Ends, true)
	})
	c.turns.measure("starts", func() {
		c.state.RecordStarts(out.Starts)
		c.leader.ApplyChanges(c.now, c.stamp(), c.state.Changes())
		c.leader.HandleProposedStarts(c.now, out.Starts)
	})
	return len(out.Starts)
}

// play plays turns until no task is left or the given number of them was started.
func (c *widthCell) play(tasks int, kind modeler.EndKind) int {
	started, idle := 0, 0
	for started < tasks && idle < 20 {
		n := c.step(kind)
		started += n
		if n == 0 {
			idle++
		} else {
			idle = 0
		}
	}
	return started
}

// Guards against a leader that loses its lease because it visits all tasks of a wide
// step for each start or end of one of them. Each new leader then does the same and
// loses its lease too, so that nothing is answered any more.
func TestWideStepDoesNotHoldUpLeader(t *testing.T) {
	c := newWidthCell(flow("wide", smallTasks(widestStep)))
	assert.Assert(t, c.play(4000, modeler.EndDone) >= 4000)
	c.elect()
	c.play(1000, modeler.EndDone)
	assert.Assert(t, c.turns.longest < leaderLease, "%s took %v", c.turns.what, c.turns.longest)
}

// BenchmarkStepWidth measures the processor time of one task, from its start to its
// end, against the width of its step.
func BenchmarkStepWidth(b *testing.B) {
	for _, width := range []int{100, 1000, 10_000, widestStep} {
		b.Run(fmt.Sprint(width), func(b *testing.B) {
			tasks := 0
			for tasks < b.N {
				b.StopTimer()
				c := newWidthCell(flow("wide", smallTasks(width)))
				b.StartTimer()
				tasks += max(c.play(min(width, b.N-tasks), modeler.EndDone), 1)
			}
		})
	}
}

// Guards against the same for a wide gang, all of whose members end together: each end
// visited all members to stop them, to count failures and to see whether they are done.
func TestWideGangDoesNotHoldUpLeader(t *testing.T) {
	const members = 4000
	gang := step(members, 0, time.Second)
	gang.Need = modeler.Resources{Processors: 5, Memory: 1 << 20}
	gang.Gang = true
	f := flow("gang", gang)
	f.Policy.Attempts = 3
	c := newWidthCell(f)
	assert.Equal(t, c.play(members, modeler.EndFailed), members)
	c.step(modeler.EndFailed)
	assert.Equal(t, c.play(members, modeler.EndDone), members)
	c.step(modeler.EndDone)
	held, _ := c.state.Flow("gang")
	assert.Equal(t, held.State, modeler.FlowCompleted)
	assert.Assert(t, c.turns.longest < leaderLease, "%s took %v", c.turns.what, c.turns.longest)
}

// Guards against the same for a flow with many occurrences: all of them had units from
// the start, which each pass of the placement and each tick visited.
func TestManyOccurrencesDoNotHoldUpLeader(t *testing.T) {
	for _, interval := range []time.Duration{0, time.Millisecond, time.Hour} {
		t.Run(interval.String(), func(t *testing.T) {
			f := flow("scheduled", smallTasks(1))
			f.Occurrences = widestStep
			f.Interval = interval
			c := newWidthCell(f)
			c.play(2000, modeler.EndDone)
			c.elect()
			c.play(2000, modeler.EndDone)
			c.turns.measure("cancel", func() {
				c.state.Cancel(c.stamp(), "scheduled")
				c.leader.ApplyChanges(c.now, c.stamp(), c.state.Changes())
			})
			assert.Assert(t, c.turns.longest < leaderLease, "%s took %v", c.turns.what, c.turns.longest)
		})
	}
}

// Guards against occurrences that never run because they were not due when their flow
// was submitted, or because another leader took over meanwhile.
func TestAllOccurrencesRun(t *testing.T) {
	r := newRig(t, 1)
	r.addWorkers(6, 8)
	first := step(2, 1, 100*time.Millisecond)
	second := step(1, 1, 100*time.Millisecond)
	second.After = []modeler.StepIndex{0}
	f := flow("scheduled", first, second)
	f.Occurrences = 1500
	f.Start = r.stamp() + 500
	f.Interval = 10 * time.Millisecond
	r.submit(f)
	for range 3 {
		r.run(3 * time.Second)
		r.electLeader()
	}
	r.run(20 * time.Second)
	assert.Equal(t, r.flowState("scheduled"), modeler.FlowCompleted)
	assert.Equal(t, len(r.startOrder), 1500*3)
}

// Guards against occurrences that are due and never run because many earlier ones last.
func TestOccurrencesThatLastDoNotHoldUpOthers(t *testing.T) {
	r := newRig(t, 1)
	r.addWorkers(2, 16)
	s := smallTasks(1)
	s.Need = modeler.Resources{Processors: 10, Memory: 1 << 20}
	s.LongRunning = true
	f := flow("scheduled", s)
	f.Occurrences = 1200
	r.submit(f)
	r.run(2 * time.Second)
	assert.Equal(t, r.runningTasks("scheduled"), 1200)
}

// BenchmarkTakeOver measures how long a new leader takes to build its state at the limits
// of what jobs may hold.
func BenchmarkTakeOver(b *testing.B) {
	for _, size := range []struct{ flows, tasks int }{{5, 100_000}, {500, 1000}, {10_000, 50}} {
		b.Run(fmt.Sprintf("%d-flows-of-%d", size.flows, size.tasks), func(b *testing.B) {
			var flows []modeler.Flow
			for i := range size.flows {
				flows = append(flows, flow(modeler.FlowID(fmt.Sprintf("%016x", i)), smallTasks(size.tasks)))
			}
			c := newWidthCell(flows...)
			c.play(1500, modeler.EndDone)
			for b.Loop() {
				c.elect()
			}
		})
	}
}

// BenchmarkSnapshotCopy measures the copy of the state for a snapshot, which is made
// between two decisions of a leader, at the same limits.
func BenchmarkSnapshotCopy(b *testing.B) {
	s := sequencer.New()
	for i := range 5 {
		f := flow(modeler.FlowID(fmt.Sprint(i)), smallTasks(100_000))
		s.Submit(1, &f)
	}
	for b.Loop() {
		s.TakeSnapshot()
	}
}
