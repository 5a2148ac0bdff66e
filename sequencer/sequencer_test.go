package sequencer_test

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

func newState() *sequencer.Sequencer {
	s := sequencer.New()
	s.UpdateWorkers([]modeler.WorkerAnnouncement{{ID: "w", Generation: 1, Address: "a:1", Service: "s"}}, nil)
	return s
}

func oneStepFlow(id modeler.FlowID, count int) *modeler.Flow {
	return &modeler.Flow{
		ID: id, Queue: "q", Steps: []modeler.Step{{Count: count, Estimate: time.Second}},
		Policy: modeler.QueuePolicy{Service: "s", Attempts: 2},
	}
}

func start(id modeler.FlowID, index modeler.TaskIndex, attempt modeler.Attempt) []modeler.FlowStart {
	return []modeler.FlowStart{{Task: modeler.FlowTask{Flow: id, Index: index}, Attempt: attempt, Worker: "w", Generation: 1}}
}

func end(id modeler.FlowID, index modeler.TaskIndex, attempt modeler.Attempt, kind modeler.EndKind) []modeler.FlowEnd {
	return []modeler.FlowEnd{{Task: modeler.FlowTask{Flow: id, Index: index}, Attempt: attempt, Kind: kind}}
}

func flowState(t *testing.T, s *sequencer.Sequencer, id modeler.FlowID) modeler.FlowState {
	t.Helper()
	f, found := s.Flow(id)
	assert.Assert(t, found)
	return f.State
}

// Guards against a repeated submission that arrives late and starts a cancelled
// flow again.
func TestRepeatAfterCancel(t *testing.T) {
	s := newState()
	assert.Equal(t, s.Submit(1, oneStepFlow("f", 1)).Repeat, false)
	assert.Equal(t, s.Submit(2, oneStepFlow("f", 1)).Repeat, true)
	assert.Equal(t, s.Cancel(3, "f").Kind, classifier.None)
	assert.Equal(t, s.Submit(4, oneStepFlow("f", 1)).Repeat, true)
	assert.Equal(t, flowState(t, s, "f"), modeler.FlowCancelled)
	s.RecordStarts(start("f", 0, 1))
	assert.Equal(t, len(s.Changes()), 3)
}

// Guards against a flow that is dropped while callers may still query it, and
// against one that is kept forever.
func TestEndedFlowsAreKept(t *testing.T) {
	s := newState()
	s.Submit(0, oneStepFlow("f", 1))
	s.Cancel(0, "f")
	s.DropExpired(modeler.Timestamp(120_000))
	_, found := s.Flow("f")
	assert.Assert(t, found)
	s.DropExpired(modeler.Timestamp(200_000))
	_, found = s.Flow("f")
	assert.Assert(t, !found)
}

// Guards against starts that don't match the state: a second attempt beside a
// running one, a task that doesn't exist, an unknown generation of the worker,
// and a worker that is leaving.
func TestInvalidStartsAreIgnored(t *testing.T) {
	s := newState()
	s.Submit(1, oneStepFlow("f", 2))
	s.RecordStarts(start("f", 0, 1))
	s.Changes()
	s.RecordStarts(start("f", 0, 2))
	s.RecordStarts(start("f", 5, 1))
	s.RecordStarts([]modeler.FlowStart{{Task: modeler.FlowTask{Flow: "f", Index: 1}, Attempt: 1, Worker: "w", Generation: 2}})
	s.UpdateWorkers([]modeler.WorkerAnnouncement{{ID: "w", Generation: 1, Leaving: true}}, nil)
	s.Changes()
	s.RecordStarts(start("f", 1, 1))
	assert.Equal(t, len(s.Changes()), 0)
}

// Guards against ends other than failures that count against the allowed
// attempts.
func TestOnlyFailuresUseUpAttempts(t *testing.T) {
	s := newState()
	s.Submit(1, oneStepFlow("f", 1))
	attempt := modeler.Attempt(0)
	try := func(kind modeler.EndKind) modeler.FlowState {
		attempt++
		s.RecordStarts(start("f", 0, attempt))
		s.RecordEnds(2, end("f", 0, attempt, kind))
		return flowState(t, s, "f")
	}
	for _, kind := range []modeler.EndKind{modeler.EndFailed, modeler.EndStopped, modeler.EndLeaseExpired, modeler.EndGangBroken, modeler.EndGangTimeout, modeler.EndLost, modeler.EndUnstarted} {
		assert.Equal(t, try(kind), modeler.FlowRunning)
	}
	assert.Equal(t, try(modeler.EndFailed), modeler.FlowFailed)
}

// Guards against a failed gang that counts as several failures, and against
// members whose workers count as free before their own end is known.
func TestGangEndsOnce(t *testing.T) {
	s := newState()
	f := oneStepFlow("f", 2)
	f.Steps[0].Gang = true
	s.Submit(1, f)
	s.RecordStarts(append(start("f", 0, 1), start("f", 1, 1)...))
	s.RecordEnds(2, append(end("f", 0, 1, modeler.EndFailed), end("f", 1, 1, modeler.EndFailed)...))
	assert.Equal(t, flowState(t, s, "f"), modeler.FlowRunning)
	s.RecordStarts(append(start("f", 0, 2), start("f", 1, 2)...))
	s.RecordEnds(3, end("f", 0, 2, modeler.EndDone))
	assert.Equal(t, flowState(t, s, "f"), modeler.FlowCompleted)
	held, _ := s.Flow("f")
	assert.Equal(t, held.OccupiedTasks, 1)
	s.RecordEnds(4, end("f", 1, 2, modeler.EndGangBroken))
	assert.Equal(t, held.OccupiedTasks, 0)
	assert.Equal(t, flowState(t, s, "f"), modeler.FlowCompleted)
}

// Guards against a long-running task that counts as done, or as failed for
// good, when an attempt ends.
func TestLongRunningTasksRestart(t *testing.T) {
	s := newState()
	f := oneStepFlow("f", 1)
	f.Steps[0].LongRunning = true
	s.Submit(1, f)
	for attempt := range modeler.Attempt(5) {
		s.RecordStarts(start("f", 0, attempt+1))
		s.RecordEnds(2, end("f", 0, attempt+1, modeler.EndFailed))
		s.RecordStarts(start("f", 0, attempt+1))
		assert.Equal(t, flowState(t, s, "f"), modeler.FlowRunning)
	}
}

// Guards against a layout that is replaced by an older one, and against invalid
// layouts that are put in force.
func TestLayouts(t *testing.T) {
	s := newState()
	layout := func(number modeler.TicketNumber, service modeler.ServiceName, prefixes ...string) *modeler.Layout {
		l := &modeler.Layout{Number: number, Services: []modeler.ServiceName{"s"}}
		for _, p := range prefixes {
			l.Queues = append(l.Queues, modeler.Queue{Host: "h", Prefix: p, Timeout: time.Second, Policy: modeler.QueuePolicy{Service: service}})
		}
		return l
	}
	assert.NilError(t, sequencer.CheckLayout(layout(1, "s", "/a/", "/a/b/")))
	assert.ErrorContains(t, sequencer.CheckLayout(layout(1, "other", "/a/")), "unknown service")
	assert.ErrorContains(t, sequencer.CheckLayout(layout(1, "s", "/a/", "/a/")), "two queues")
	assert.ErrorContains(t, sequencer.CheckLayout(layout(0, "s", "/a/")), "no number")
	none := layout(1, "s", "/a/")
	none.Queues[0].Timeout = 0
	assert.ErrorContains(t, sequencer.CheckLayout(none), "no timeout")

	s.SetLayout(layout(5, "s", "/a/", "/a/b/"))
	assert.Equal(t, s.SetLayout(layout(4, "s")).Repeat, true)
	assert.Equal(t, s.SetLayout(layout(5, "s")).Repeat, true)
	q, rest, found := s.FindQueue("h", "/a/b/0123")
	assert.Assert(t, found)
	assert.Equal(t, q.Prefix, "/a/b/")
	assert.Equal(t, rest, "0123")
	_, _, found = s.FindQueue("h", "/b/0123")
	assert.Assert(t, !found)
	_, _, found = s.FindQueue("other", "/a/0123")
	assert.Assert(t, !found)
}

// Guards against a snapshot that loses state, and against members with equal
// states whose snapshots differ.
func TestSnapshotKeepsTheState(t *testing.T) {
	s := newState()
	s.SetLayout(&modeler.Layout{Number: 3, Document: []byte("{}")})
	s.Submit(1, oneStepFlow("f", 3))
	s.RecordStarts(start("f", 1, 1))
	s.Submit(2, oneStepFlow("g", 1))
	s.Cancel(3, "g")
	encode := func(s *sequencer.Sequencer) []byte {
		saved := s.TakeSnapshot()
		saved.Sort()
		data, err := cbor.Marshal(saved)
		assert.NilError(t, err)
		return data
	}
	first := encode(s)
	var saved sequencer.Snapshot
	assert.NilError(t, cbor.Unmarshal(first, &saved))
	fresh := sequencer.New()
	fresh.Restore(&saved)
	assert.DeepEqual(t, encode(fresh), first)
	assert.Equal(t, fresh.Layout().Number, modeler.TicketNumber(3))
	fresh.RecordEnds(4, end("f", 1, 1, modeler.EndDone))
	f, _ := fresh.Flow("f")
	assert.Equal(t, f.OpenTasks, 2)
	assert.Equal(t, fresh.Submit(5, oneStepFlow("g", 1)).Repeat, true)
}

// Guards against flows that have nothing to run, can never end or are too large
// to hold.
func TestCheck(t *testing.T) {
	assert.NilError(t, sequencer.Check(oneStepFlow("f", 1)))
	assert.ErrorContains(t, sequencer.Check(&modeler.Flow{}), "no steps")
	assert.ErrorContains(t, sequencer.Check(oneStepFlow("f", 0)), "has 0 tasks")
	loop := oneStepFlow("f", 1)
	loop.Steps[0].After = []modeler.StepIndex{0}
	assert.ErrorContains(t, sequencer.Check(loop), "is to follow")
	many := oneStepFlow("f", 60_000)
	many.Occurrences = 2
	assert.ErrorContains(t, sequencer.Check(many), "more than")
}

// Guards against one malformed flow that stops every member. All members apply
// what was accepted, so each bound is checked before.
func TestCheckRefusesOutOfRangeValues(t *testing.T) {
	validFlow := func() *modeler.Flow {
		return &modeler.Flow{ID: "f", Steps: []modeler.Step{{Count: 4, Estimate: time.Second}}, Occurrences: 2, Interval: time.Second}
	}
	assert.NilError(t, sequencer.Check(validFlow()))
	for name, invalidate := range map[string]func(*modeler.Flow){
		"more occurrences than tasks allowed": func(f *modeler.Flow) { f.Occurrences = 1 << 40 },
		"occurrences times tasks overflow":    func(f *modeler.Flow) { f.Occurrences = 1 << 62 },
		"negative occurrences":                func(f *modeler.Flow) { f.Occurrences = -1 },
		"an interval that overflows":          func(f *modeler.Flow) { f.Interval = math.MaxInt64 },
		"a negative interval":                 func(f *modeler.Flow) { f.Interval = -time.Second },
		"a negative estimate":                 func(f *modeler.Flow) { f.Steps[0].Estimate = math.MinInt64 },
		"an estimate that overflows":          func(f *modeler.Flow) { f.Steps[0].Estimate = math.MaxInt64 },
		"negative memory":                     func(f *modeler.Flow) { f.Steps[0].Need.Memory = -1 },
		"memory that overflows":               func(f *modeler.Flow) { f.Steps[0].Need.Memory = math.MaxInt64 },
		"processors that overflow":            func(f *modeler.Flow) { f.Steps[0].Need.Processors = math.MaxInt64 },
		"accelerators that overflow":          func(f *modeler.Flow) { f.Steps[0].Need.Accelerators = math.MaxInt64 },
		"no tasks":                            func(f *modeler.Flow) { f.Steps[0].Count = 0 },
		"a negative PerWorker":                func(f *modeler.Flow) { f.Steps[0].PerWorker = -1 },
		"a negative DisruptionBudget":         func(f *modeler.Flow) { f.Steps[0].DisruptionBudget = -1 },
		"a negative LatencyTarget":            func(f *modeler.Flow) { f.Steps[0].LatencyTarget = -1 },
		"a step after itself":                 func(f *modeler.Flow) { f.Steps[0].After = []modeler.StepIndex{0} },
		"no steps":                            func(f *modeler.Flow) { f.Steps = nil },
	} {
		f := validFlow()
		invalidate(f)
		assert.Check(t, sequencer.Check(f) != nil, name)
	}
}

// Guards against a worker that has left and is added again by a late
// announcement, also after a restart from a snapshot. Only a new generation may
// come back, and a late departure of the old generation must not remove it.
func TestDepartedWorkersStayRemoved(t *testing.T) {
	machine := func(generation modeler.Generation, leaving bool) []modeler.WorkerAnnouncement {
		return []modeler.WorkerAnnouncement{{ID: "v", Generation: generation, Address: "a:2", Service: "s", Leaving: leaving}}
	}
	s := newState()
	s.UpdateWorkers(machine(7, false), nil)
	s.UpdateWorkers(machine(7, true), nil)
	s.RecordDepartures(10, []modeler.WorkerID{"v"})
	s.UpdateWorkers(machine(7, false), nil)
	_, used := s.Workers()["v"]
	assert.Assert(t, !used, "a late announcement brought it back")

	saved := s.TakeSnapshot()
	fresh := sequencer.New()
	fresh.Restore(&saved)
	fresh.UpdateWorkers(machine(7, false), nil)
	_, used = fresh.Workers()["v"]
	assert.Assert(t, !used, "a late announcement brought it back after a restart")

	fresh.UpdateWorkers(machine(8, false), nil)
	fresh.RecordDepartures(20, []modeler.WorkerID{"v"})
	_, used = fresh.Workers()["v"]
	assert.Assert(t, used, "a late departure ended the next generation")
}

// Guards against a wrong count of pending flows after their states change, or
// after a restart from a snapshot.
func TestPendingCounts(t *testing.T) {
	s := newState()
	for _, id := range []modeler.FlowID{"f", "g", "h"} {
		s.Submit(1, oneStepFlow(id, 1))
	}
	queue := oneStepFlow("f", 1).Queue
	assert.Equal(t, s.Pending(queue), 3)
	s.RecordStarts(start("f", 0, 1))
	assert.Equal(t, s.Pending(queue), 3, "a start that no worker has begun counts")
	s.RecordBegun([]modeler.FlowID{"f", "f", "unknown"})
	s.Cancel(3, "g")
	assert.Equal(t, s.Pending(queue), 1)
	assert.Equal(t, s.AllPending(), 1)
	saved := s.TakeSnapshot()
	fresh := sequencer.New()
	fresh.Restore(&saved)
	assert.Equal(t, fresh.Pending(queue), 1)
	fresh.Cancel(4, "h")
	assert.Equal(t, fresh.Pending(queue), 0)
}

// Guards against flows that no member has memory for, and against a limit that isn't
// told, or that counts flows which are over.
func TestHeldTasksAreBounded(t *testing.T) {
	s := newState()
	wide := oneStepFlow("", 100_000)
	assert.NilError(t, sequencer.Check(wide))
	load, none := sequencer.LoadOf(wide), sequencer.Load{}
	for _, id := range []modeler.FlowID{"a", "b", "c", "d"} {
		assert.NilError(t, s.CheckRoom(load, none))
		s.Submit(1, oneStepFlow(id, 100_000))
	}
	err := s.CheckRoom(load, none)
	assert.Equal(t, classifier.KindOf(err), classifier.QueueFull)
	assert.ErrorContains(t, err, "50000 are accepted while 400000 of 500000 are held")
	assert.NilError(t, s.CheckRoom(sequencer.Load{Flows: 1, Tasks: 50_000}, none), "a wide flow leaves no room for others")
	assert.Equal(t, classifier.KindOf(s.CheckRoom(sequencer.Load{Flows: 1, Tasks: 50_000}, load)), classifier.QueueFull, "flows that were proposed don't count")
	saved := s.TakeSnapshot()
	restored := sequencer.New()
	restored.Restore(&saved)
	assert.Equal(t, classifier.KindOf(restored.CheckRoom(load, none)), classifier.QueueFull)
	s.Cancel(2, "a")
	assert.NilError(t, s.CheckRoom(load, none))
	assert.Equal(t, classifier.KindOf(sequencer.Check(oneStepFlow("", 100_001))), classifier.TooLarge)
	narrow := oneStepFlow("", 1)
	narrow.Steps = make([]modeler.Step, 10_001)
	assert.Equal(t, classifier.KindOf(sequencer.Check(narrow)), classifier.TooLarge)
}

// Guards against a snapshot that changes while it is written, since it shares the tasks
// with the state until these change.
func TestSnapshotDoesNotChange(t *testing.T) {
	s := newState()
	s.Submit(1, oneStepFlow("f", 2))
	first := s.TakeSnapshot()
	s.RecordStarts(start("f", 0, 1))
	second := s.TakeSnapshot()
	s.RecordEnds(2, end("f", 0, 1, modeler.EndDone))
	assert.Equal(t, first.Flows[0].Tasks[0].Phase, sequencer.TaskWaiting)
	assert.Equal(t, second.Flows[0].Tasks[0].Phase, sequencer.TaskPlaced)
	held, _ := s.Flow("f")
	assert.Equal(t, held.Tasks[0].Phase, sequencer.TaskDone)
}

// Guards against flows that count as started although no worker has begun a task of them:
// their starts were refused, or never arrived at a worker that was lost. Guards against
// flows that count as queued again after a worker has begun one.
func TestFlowIsPendingUntilAWorkerHasBegunIt(t *testing.T) {
	s := newState()
	check := func(id modeler.FlowID, want int, state modeler.FlowState) {
		t.Helper()
		assert.Equal(t, s.Pending("q"), want)
		assert.Equal(t, flowState(t, s, id), state)
		saved := s.TakeSnapshot()
		fresh := sequencer.New()
		fresh.Restore(&saved)
		assert.Equal(t, fresh.Pending("q"), want)
		assert.Equal(t, flowState(t, fresh, id), state)
	}
	unbegun := []modeler.EndKind{modeler.EndUnstarted, modeler.EndLost}
	kinds := []modeler.EndKind{modeler.EndDone, modeler.EndFailed, modeler.EndStopped, modeler.EndLeaseExpired, modeler.EndGangBroken, modeler.EndGangTimeout}
	for _, kind := range append(kinds, 0) {
		s = newState()
		s.Submit(1, oneStepFlow("f", 2))
		attempt := modeler.Attempt(0)
		for _, lost := range unbegun {
			attempt++
			s.RecordStarts(append(start("f", 0, attempt), start("f", 1, attempt)...))
			check("f", 1, modeler.FlowPending)
			s.RecordEnds(2, end("f", 0, attempt, lost))
			check("f", 1, modeler.FlowPending)
			s.RecordEnds(2, end("f", 1, attempt, lost))
			check("f", 1, modeler.FlowPending)
		}
		attempt++
		s.RecordStarts(append(start("f", 0, attempt), start("f", 1, attempt)...))
		if kind == 0 {
			s.RecordBegun([]modeler.FlowID{"f"})
		} else {
			s.RecordEnds(3, end("f", 0, attempt, kind))
		}
		check("f", 0, modeler.FlowRunning)
		for _, lost := range unbegun {
			s.RecordEnds(4, end("f", 1, attempt, lost))
			check("f", 0, modeler.FlowRunning)
			attempt++
			s.RecordStarts(start("f", 1, attempt))
			check("f", 0, modeler.FlowRunning)
		}
	}
	s.Submit(5, oneStepFlow("g", 1))
	s.RecordStarts(start("g", 0, 1))
	s.Cancel(6, "g")
	s.RecordEnds(7, end("g", 0, 1, modeler.EndUnstarted))
	s.RecordBegun([]modeler.FlowID{"g"})
	check("g", 0, modeler.FlowCancelled)
}

// Guards against a flow that an earlier build took for running when its start was recorded,
// and that stays so in its snapshots although no worker has begun it.
func TestStatesOfEarlierSnapshots(t *testing.T) {
	s := newState()
	for _, id := range []modeler.FlowID{"f", "g"} {
		s.Submit(1, oneStepFlow(id, 1))
		s.RecordStarts(start(id, 0, 1))
	}
	saved := s.TakeSnapshot()
	for i := range saved.Flows {
		f := &saved.Flows[i]
		f.State, f.HasBegun = modeler.FlowRunning, f.Spec.ID == "g"
	}
	fresh := sequencer.New()
	fresh.Restore(&saved)
	assert.Equal(t, flowState(t, fresh, "f"), modeler.FlowPending)
	assert.Equal(t, flowState(t, fresh, "g"), modeler.FlowRunning)
	assert.Equal(t, fresh.Pending("q"), 1)
	fresh.RecordBegun([]modeler.FlowID{"f"})
	assert.Equal(t, fresh.Pending("q"), 0)
}

// Guards against a flow that loses its tasks while they are read: the dispatcher handles
// the changes of an entry one by one, and the last of them may be the end of the flow.
func TestFlowStaysWholeForItsHolder(t *testing.T) {
	for _, kind := range []modeler.EndKind{modeler.EndDone, modeler.EndFailed} {
		s := newState()
		f := oneStepFlow("f", 2)
		f.Policy.Attempts = 1
		s.Submit(1, f)
		s.RecordStarts(append(start("f", 0, 1), start("f", 1, 1)...))
		held, _ := s.Flow("f")
		s.RecordEnds(2, append(end("f", 0, 1, modeler.EndDone), end("f", 1, 1, kind)...))
		assert.Assert(t, held.IsOver())
		assert.Equal(t, len(held.StepTasks(modeler.StepKey{Flow: "f"})), 2)
		assert.Assert(t, held.Task(modeler.FlowTask{Flow: "f", Index: 1}) != nil)
		rest, found := s.Flow("f")
		assert.Assert(t, found && rest.State == held.State && rest.EndedAt == 2)
		assert.Equal(t, len(rest.Tasks)+len(rest.Spec.Steps), 0, "the state keeps the tasks of a flow that is over")
		assert.NilError(t, s.CheckRoom(sequencer.Load{Tasks: 250_000}, sequencer.Load{}), "tasks of a flow that is over count as held")
	}
}
