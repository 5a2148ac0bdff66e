package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// newOverdueRig returns a rig that knows the run times of its queue.
func newOverdueRig(t *testing.T, seed uint64) *rig {
	r := newRig(t, seed)
	r.addWorkers(12, 16)
	r.run(time.Second)
	r.submitMany("usual", 30, time.Second)
	r.run(5 * time.Second)
	return r
}

// submitCopyable submits flows of ten tasks of 1 s that may run in copies, one in each
// interval, and returns when each was submitted.
func (r *rig) submitCopyable(prefix string, count, attempts int, interval time.Duration) map[modeler.FlowID]modeler.ClockReading {
	out := make(map[modeler.FlowID]modeler.ClockReading)
	for i := range count {
		f := flow(modeler.FlowID(fmt.Sprintf("%s%03d", prefix, i)), copyableStep(10, 2, time.Second))
		f.Policy.Attempts = attempts
		r.submit(f)
		out[f.ID] = r.now
		r.run(interval)
	}
	return out
}

// copies returns how many tasks of flows with the prefix were started more than once, and
// the most starts of one of them.
func (r *rig) copies(submitted map[modeler.FlowID]modeler.ClockReading) (int, int) {
	n, most := 0, 0
	for task, starts := range r.starts {
		if _, found := submitted[task.Flow]; found && starts > 1 {
			n++
			most = max(most, starts)
		}
	}
	return n, most
}

// longFirstAttempt returns the delay of a task whose first attempt takes 7 times as long:
// one task in 30.
func longFirstAttempt(task modeler.FlowTask, attempt modeler.Attempt) int {
	var number int
	if _, err := fmt.Sscanf(string(task.Flow), "f%d", &number); err == nil && (number*10+int(task.Index))%30 == 0 && attempt == 1 {
		return 7
	}
	return 1
}

// longTask makes one task of each step take 7 times as long wherever it runs.
func longTask(task modeler.FlowTask, _ modeler.Attempt) int {
	if task.Index == 3 {
		return 7
	}
	return 1
}

// checkMoved checks that all flows are done in time, and that the 20 tasks whose first
// attempt takes long were moved once each, and no others.
func (r *rig) checkMoved(t *testing.T, seed uint64, submitted map[modeler.FlowID]modeler.ClockReading, within time.Duration) {
	t.Helper()
	for id, at := range submitted {
		assert.Check(t, r.flowState(id) == modeler.FlowCompleted)
		took := r.finishedAt[id].Sub(at)
		assert.Check(t, took < within, "seed %d: %s took %v", seed, id, took)
	}
	n, most := r.copies(submitted)
	assert.Check(t, n == 20 && most == 2, "seed %d: %d tasks were moved, one was started %d times", seed, n, most)
}

// Guards against flows that wait for a single attempt that takes 7 times as long, although
// a copy elsewhere is done much earlier.
func TestOverdueTasksAreCopied(t *testing.T) {
	for seed := range uint64(5) {
		r := newOverdueRig(t, seed)
		r.delay = longFirstAttempt
		submitted := r.submitCopyable("f", 60, 3, 400*time.Millisecond)
		r.run(10 * time.Second)
		r.checkMoved(t, seed, submitted, 4*time.Second)
	}
}

// Guards against copies that gain nothing: of tasks that take long wherever they run, and
// of steps whose estimate was wrong.
func TestCopiesThatDontPay(t *testing.T) {
	for seed := range uint64(3) {
		r := newOverdueRig(t, seed)
		r.delay = longTask
		// A worker with long tasks of two flows at once would be quarantined.
		submitted := r.submitCopyable("f", 60, 3, 9*time.Second)
		n, most := r.copies(submitted)
		assert.Check(t, n < 25 && most == 2, "seed %d: %d of 60 long tasks were copied, one was started %d times", seed, n, most)

		r = newOverdueRig(t, seed)
		r.delay = func(task modeler.FlowTask, _ modeler.Attempt) int {
			if task.Flow == "f000" {
				return 6
			}
			return 1
		}
		submitted = r.submitCopyable("f", 1, 3, 0)
		r.run(20 * time.Second)
		n, _ = r.copies(submitted)
		assert.Check(t, n <= 2, "seed %d: %d of 10 tasks of a long step were copied", seed, n)
	}
}

// Guards against copies of steps that don't allow them, and against copies beyond the
// number of failures that the queue allows.
func TestCopiesAreAllowed(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		r := newOverdueRig(t, 7)
		r.delay = longFirstAttempt
		submitted := r.submitCopyable("f", 1, attempts, 400*time.Millisecond)
		r.run(10 * time.Second)
		n, _ := r.copies(submitted)
		assert.Check(t, (n > 0) == (attempts > 1), "%d tasks with %d attempts were copied", n, attempts)
	}
}

// Guards against an overdue attempt that a new leader loses: both attempts go on, and the
// first one that is done completes the task.
func TestOverdueCopyAcrossLeaders(t *testing.T) {
	r := newOverdueRig(t, 9)
	r.delay = longFirstAttempt
	submitted := r.submitCopyable("f", 1, 3, 0)
	for range 300 {
		if n, _ := r.copies(submitted); n > 0 {
			break
		}
		r.run(tick)
	}
	r.electLeader()
	r.run(10 * time.Second)
	assert.Equal(t, r.flowState("f000"), modeler.FlowCompleted)
	took := r.finishedAt["f000"].Sub(submitted["f000"])
	assert.Check(t, took < 5*time.Second, "took %v", took)
	n, most := r.copies(submitted)
	assert.Check(t, n == 1 && most == 2, "%d tasks were copied, one was started %d times", n, most)
	for _, w := range r.sortedWorkers() {
		assert.Equal(t, len(w.running), 0, "%s", w.announcement.ID)
	}
}

// submitPlain submits flows as submitCopyable does, of tasks that don't allow copies.
func (r *rig) submitPlain(prefix string, count int, interval time.Duration) map[modeler.FlowID]modeler.ClockReading {
	out := make(map[modeler.FlowID]modeler.ClockReading)
	for i := range count {
		f := flow(modeler.FlowID(fmt.Sprintf("%s%03d", prefix, i)), step(10, 2, time.Second))
		r.submit(f)
		out[f.ID] = r.now
		r.run(interval)
	}
	return out
}

// Guards against flows that wait for an attempt that takes 7 times as long although a
// restart elsewhere is done earlier, and against two attempts at once, which the rig's
// workers report.
func TestOverdueTasksAreRestarted(t *testing.T) {
	for seed := range uint64(5) {
		r := newOverdueRig(t, seed)
		r.delay = longFirstAttempt
		submitted := r.submitPlain("f", 60, 400*time.Millisecond)
		r.run(10 * time.Second)
		r.checkMoved(t, seed, submitted, 4500*time.Millisecond)
	}
}

// Guards against restarts that only lose work: of tasks that take long wherever they run.
func TestRestartsThatDontPay(t *testing.T) {
	for seed := range uint64(3) {
		r := newOverdueRig(t, seed)
		r.delay = longTask
		submitted := r.submitPlain("f", 60, 9*time.Second)
		r.run(10 * time.Second)
		// Attempts are also stopped on quarantined workers.
		_, most := r.copies(submitted)
		n := r.events["overdue task is moved"]
		assert.Check(t, n > 0 && n < 12 && most <= 3, "seed %d: %d of 60 long tasks were restarted, one was started %d times", seed, n, most)
	}
}

// Guards against more tasks of a step that are away at once than its disruption budget
// allows.
func TestRestartsWithinBudget(t *testing.T) {
	for budget := range 3 {
		r := newOverdueRig(t, uint64(budget))
		r.delay = func(task modeler.FlowTask, attempt modeler.Attempt) int {
			if task.Flow == "f" && task.Index%8 == 0 && attempt == 1 {
				return 7
			}
			return 1
		}
		s := step(32, 2, 2*time.Second)
		s.DisruptionBudget = budget
		r.submit(flow("f", s))
		r.run(500 * time.Millisecond)
		assert.Equal(t, r.runningTasks("f"), 32)
		most := 0
		for range 2000 {
			r.run(tick)
			away := 32 - r.runningTasks("f")
			for start := range r.doneAt {
				if start.Task.Flow == "f" {
					away--
				}
			}
			most = max(most, away)
		}
		assert.Check(t, r.flowState("f") == modeler.FlowCompleted)
		assert.Check(t, budget == 0 && most > 1 || budget > 0 && most <= budget && most > 0, "%d tasks were away at once with a budget of %d", most, budget)
	}
}

// Guards against a quarantined worker whose slow tasks are all stopped at once, beyond the
// disruption budget of their step.
func TestSlowTasksAreStoppedWithinBudget(t *testing.T) {
	r := newOverdueRig(t, 21)
	r.delay = func(task modeler.FlowTask, attempt modeler.Attempt) int {
		if task.Flow != "b" && attempt == 1 {
			return 8
		}
		return 1
	}
	for _, w := range r.sortedWorkers()[1:] {
		w.announcement.Labels = []string{"later"}
		r.commitAnnouncement(w)
	}
	for _, id := range []modeler.FlowID{"f", "g"} {
		s := step(4, 2, 2*time.Second)
		s.Label, s.DisruptionBudget = "a", 1
		r.submit(flow(id, s))
	}
	r.run(500 * time.Millisecond)
	assert.Equal(t, r.runningTasks("f"), 4)
	for _, w := range r.sortedWorkers()[1:] {
		w.announcement.Labels = []string{"a"}
		r.commitAnnouncement(w)
	}
	most := 0
	for range 2000 {
		r.run(tick)
		done := 0
		for start := range r.doneAt {
			if start.Task.Flow == "f" {
				done++
			}
		}
		most = max(most, 4-r.runningTasks("f")-done)
	}
	assert.Equal(t, r.flowState("f"), modeler.FlowCompleted)
	assert.Check(t, r.events["worker quarantined"] > 0)
	assert.Equal(t, most, 1)
}

// Guards against more failed attempts of a copied task than its queue allows: the copy has
// failed, and a third attempt starts beside the first one.
func TestCopiesFailWithinAttempts(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		r := newOverdueRig(t, 7)
		r.delay = longFirstAttempt
		first := modeler.FlowTask{Flow: "f000"}
		r.fails = func(task modeler.FlowTask, attempt modeler.Attempt) bool {
			return task == first && (attempt > 1 || r.starts[first] > attempts)
		}
		r.submitCopyable("f", 1, attempts, 400*time.Millisecond)
		r.run(20 * time.Second)
		assert.Check(t, r.starts[first] > 1)
		assert.Check(t, r.failures[first] <= attempts, "%d failures with %d attempts, %d starts", r.failures[first], attempts, r.starts[first])
	}
}
