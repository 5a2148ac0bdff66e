package placer_test

import (
	"testing"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// reportUsageOfAll reports the usage for every running task of the job, n times.
func (m *model) reportUsageOfAll(id modeler.JobID, usage modeler.Resources, n int) {
	for range n {
		m.advance(time.Second)
		for _, task := range m.tasksOf(id) {
			m.reportUsage(task, usage)
		}
	}
}

// TestReclaimed guards against placing a task that can't be checkpointed in
// reclaimed room, against reclaiming room after too few usage reports, and
// against keeping the room when the task that declared it uses more or ends.
func TestReclaimed(t *testing.T) {
	m := smallCell(t, 1, placer.Settings{})
	m.submit(batchJob("idle", "a", 1, res(7000, 14, 0)))
	m.decide(10)
	fixed := batchJob("fixed", "a", 4, res(2000, 4, 0))
	movable := batchJob("movable", "a", 4, res(2000, 4, 0))
	movable.Checkpoint = true
	m.submit(fixed)
	m.submit(movable)
	m.reportUsageOfAll("idle", res(800, 1, 0), 4)
	assert.Equal(t, len(m.decide(10)), 0, "room was reclaimed after too few usage reports")
	m.reportUsageOfAll("idle", res(800, 1, 0), 1)
	decisions := m.decide(10)
	assert.Equal(t, len(decisions), 3)
	for _, d := range decisions {
		assert.Assert(t, d.Reclaimed && d.Placement.Task.Job == "movable")
	}

	// The task that declared the room uses more again, so the tasks in the
	// reclaimed room must leave.
	m.reportUsageOfAll("idle", res(5000, 1, 0), 1)
	orders := m.decide(10)
	assert.Equal(t, countVerb(orders, modeler.CheckpointTask), 3)
	for _, d := range orders {
		m.endTask(d.Placement.Task, modeler.TaskCheckpointed, true)
	}
	assert.Equal(t, len(m.decide(10)), 0)

	// Once the task that declared the room has ended, other tasks can be placed
	// there.
	m.endTask(m.tasksOf("idle")[0], modeler.TaskDone, false)
	started := m.decide(10)
	assert.Equal(t, len(m.tasksOf("fixed"))+len(m.tasksOf("movable")), 4, "%v", started)
}

// TestEvict guards against a task that doesn't get room by its declared size
// because tasks in reclaimed room occupy it.
func TestEvict(t *testing.T) {
	m := smallCell(t, 1, placer.Settings{})
	m.submit(batchJob("idle", "a", 1, res(4000, 8, 0)))
	m.decide(10)
	m.reportUsageOfAll("idle", res(100, 1, 0), 5)
	movable := batchJob("movable", "a", 3, res(2500, 4, 0))
	movable.Checkpoint = true
	m.submit(movable)
	assert.Equal(t, len(m.decide(10)), 3)
	m.submit(batchJob("owner", "b", 1, res(1500, 4, 0)))
	orders := m.decide(10)
	assert.Equal(t, countVerb(orders, modeler.CheckpointTask), 1)
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("owner"), "checkpointed"))
	m.endTask(orders[0].Placement.Task, modeler.TaskCheckpointed, true)
	assert.Equal(t, m.decide(10)[0].Placement.Task.Job, modeler.JobID("owner"))
}

// TestOverrun guards against a task that uses far more than it declared and is
// neither throttled nor checkpointed, and against one that is throttled for a
// single peak.
func TestOverrun(t *testing.T) {
	m := smallCell(t, 1, placer.Settings{})
	movable := batchJob("movable", "a", 1, res(1000, 4, 0))
	movable.Checkpoint = true
	m.submit(movable)
	m.submit(batchJob("fixed", "a", 1, res(1000, 4, 0)))
	m.decide(10)
	over := res(3000, 6, 0)
	m.reportUsageOfAll("movable", over, 1)
	m.reportUsageOfAll("movable", res(900, 3, 0), 1)
	assert.Equal(t, len(m.decide(10)), 0)
	m.reportUsageOfAll("movable", over, 2)
	m.reportUsageOfAll("fixed", over, 2)
	assert.Equal(t, countVerb(m.decide(10), modeler.ThrottleTask), 2)
	m.submit(batchJob("next", "b", 9, res(1000, 2, 0)))
	assert.Equal(t, len(m.decide(10)), 2, "the usage above the declared size was not subtracted from the free room")
	m.reportUsageOfAll("movable", over, 2)
	m.reportUsageOfAll("fixed", over, 2)
	orders := m.decide(10)
	assert.Equal(t, countVerb(orders, modeler.CheckpointTask), 1)
	assert.Equal(t, orders[0].Placement.Task.Job, modeler.JobID("movable"))

	// A queued throttle is dropped when its attempt ends.
	m = smallCell(t, 1, placer.Settings{})
	call := batchJob("call", "a", 1, res(1000, 4, 0))
	call.Urgent = true
	m.submit(call)
	m.decide(10)
	m.reportUsageOfAll("call", over, 2)
	m.endTask(modeler.TaskID{Job: "call"}, modeler.TaskFailed, true)
	assert.Equal(t, countVerb(m.decide(10), modeler.ThrottleTask), 0)
	assert.Equal(t, len(m.tasksOf("call")), 1)
}

// endAll calls Decide and ends the started tasks: those for which bad returns
// true fail and wait again, the others are done.
func (m *model) endAll(bad func(at modeler.Placement) bool) {
	m.advance(time.Second)
	for _, d := range m.decide(1000) {
		id := d.Placement.Task
		if bad(d.Placement) {
			m.endTask(id, modeler.TaskFailed, true)
		} else {
			m.endTask(id, modeler.TaskDone, false)
		}
	}
}

// TestFailingWorkerIsQuarantined guards against a worker on which all tasks fail
// and that still gets tasks, against one that never leaves quarantine after it
// was repaired, and against a quarantine of more than a tenth of the workers.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	for _, broken := range []int{1, 8} {
		m := smallCell(t, 40, placer.Settings{})
		bad := map[modeler.WorkerID]bool{"w3": true}
		for i := range broken - 1 {
			bad[[]modeler.WorkerID{"w5", "w8", "w11", "w13", "w20", "w21", "w39"}[i]] = true
		}
		seed := 0
		submit := func() {
			for range 40 {
				seed++
				m.submit(batchJob("j"+time.Duration(seed).String(), "b", 1, res(3000, 6, 0)))
			}
		}
		failed := 0
		for round := range 60 {
			if round < 30 {
				submit()
			}
			failed = 0
			m.endAll(func(at modeler.Placement) bool {
				if bad[at.Worker] {
					failed++
				}
				return bad[at.Worker]
			})
			assert.Assert(t, m.p.Stats().Quarantine <= 4)
		}
		assert.Equal(t, m.p.Stats().Quarantine, min(broken, 4))
		m.advance(2 * time.Hour)
		clear(bad)
		for range 20 {
			submit()
			m.endAll(func(modeler.Placement) bool { return false })
		}
		assert.Equal(t, m.p.Stats().Quarantine, 0)
	}
}

// TestProbe guards against a probing worker that gets more than one task at a
// time.
func TestProbe(t *testing.T) {
	m := smallCell(t, 10, placer.Settings{FailureLimit: 1})
	m.submit(batchJob("j", "a", 1, res(8000, 16, 0)))
	bad := m.decide(10)[0].Placement.Worker
	m.endTask(modeler.TaskID{Job: "j"}, modeler.TaskFailed, true)
	m.decide(10)
	assert.Assert(t, m.held[modeler.TaskID{Job: "j"}].placement.Worker != bad)
	m.endTask(modeler.TaskID{Job: "j"}, modeler.TaskDone, false)
	assert.Equal(t, m.p.Stats().Quarantine, 1)
	m.submit(batchJob("fill", "a", 40, res(2000, 4, 0)))
	assert.Equal(t, len(m.decide(100)), 36)
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("fill"), "quarantine"))
	m.advance(time.Minute)
	for range 3 {
		decisions := m.decide(100)
		assert.Equal(t, len(decisions), 1)
		assert.Equal(t, decisions[0].Placement.Worker, bad)
		m.endTask(decisions[0].Placement.Task, modeler.TaskDone, false)
	}
	assert.Equal(t, len(m.decide(100)), 1)
	assert.Equal(t, m.p.Stats().Quarantine, 0)
}

// TestFailingJobQuarantinesNoWorker guards against workers that are quarantined
// because of a job whose tasks fail on every worker, or of a job whose tasks
// fail now and then on all workers.
func TestFailingJobQuarantinesNoWorker(t *testing.T) {
	m := smallCell(t, 40, placer.Settings{})
	m.submit(batchJob("bad", "b", 80, res(1000, 2, 0)))
	m.submit(batchJob("flaky", "b", 400, res(500, 2, 0)))
	n := 0
	for range 80 {
		m.endAll(func(at modeler.Placement) bool {
			n++
			return at.Task.Job == "bad" || n%3 == 0
		})
	}
	assert.Equal(t, m.p.Stats().Quarantine, 0)

	// Many jobs have one task each, which always fails and is placed on another
	// worker each time.
	m = smallCell(t, 40, placer.Settings{})
	for i := range 60 {
		m.submit(batchJob("bad"+time.Duration(i).String(), "b", 1, res(3000, 6, 0)))
	}
	seen := map[modeler.Placement]int{}
	for range 6 {
		m.endAll(func(at modeler.Placement) bool {
			at.Attempt = 0
			seen[at]++
			return true
		})
	}
	assert.Equal(t, m.p.Stats().Quarantine, 0)
	for at, n := range seen {
		assert.Equal(t, n, 1, "%v was placed again on a worker where it failed", at)
	}
}

// TestRestore guards against a new leader that places tasks which already run or
// are finished, or that uses an attempt number again.
func TestRestore(t *testing.T) {
	m := newModel(t, placer.Settings{})
	m.team("a", res(8000, 16, 0), 1, modeler.Pack)
	j := batchJob("j", "a", 5, res(2000, 4, 0))
	m.jobs["j"], m.waiting["j"] = j, 2
	m.lastAttempt[modeler.TaskID{Job: "j", Index: 3}] = 7
	placement := modeler.Placement{Task: modeler.TaskID{Job: "j", Index: 1}, Attempt: 3, Worker: "w0", Generation: 1}
	m.held[placement.Task] = &held{placement: placement, job: j, usage: j.Size}
	m.p.Restore(m.now, j, []placer.TaskRecord{
		{Index: 0, Attempt: 2, Over: true},
		{Index: 1, Attempt: 3, Worker: "w0", Generation: 1},
		{Index: 2, Attempt: 1, Worker: "w9", Generation: 1},
		{Index: 3, Attempt: 7},
	})
	assert.Equal(t, len(m.decide(10)), 0, "a task was placed on a worker that is not heard from")
	m.addWorkers(2, 2, res(6000, 12, 0))
	assert.Equal(t, len(m.decide(10)), 2)
	m.p.EndAttempt(m.now, modeler.TaskEnd{Task: modeler.TaskID{Job: "j", Index: 2}, Attempt: 1, Retry: true})
	m.waiting["j"]++
	assert.Equal(t, len(m.decide(10)), 1)
	assert.Equal(t, m.p.Stats().Waiting, 0)
}

// TestNoAllocation guards against a search that allocates memory for each worker
// that it compares. The job's size shares a bucket with the room of every worker
// and fits none, so the search compares all of them.
func TestNoAllocation(t *testing.T) {
	allocations := func(workers int) float64 {
		m := smallCell(t, workers, placer.Settings{ReservationDelay: time.Hour})
		m.submit(batchJob("fill", "a", workers, res(4001, 9, 0)))
		m.p.Decide(m.now, workers)
		j := batchJob("edge", "b", 1, res(4000, 7, 0))
		return testing.AllocsPerRun(50, func() {
			m.p.Submit(m.now, j)
			assert.Equal(t, len(m.p.Decide(m.now, 10)), 0)
			m.p.Cancel(m.now, j.ID)
		})
	}
	few, many := allocations(30), allocations(3000)
	assert.Assert(t, many <= few+1, "%v allocations for 30 workers, %v for 3000", few, many)
}
