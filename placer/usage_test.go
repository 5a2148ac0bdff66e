package placer_test

import (
	"testing"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// reportAll reports a usage for every task of the job, n times.
func (m *model) reportAll(id modeler.JobID, usage modeler.Resources, n int) {
	for range n {
		m.pass(time.Second)
		for _, task := range m.of(id) {
			m.report(task, usage)
		}
	}
}

// TestReclaimed guards against reclaimed room that serves work which can't be
// checkpointed, that ignores lagging usage, or that is kept from its owner.
func TestReclaimed(t *testing.T) {
	m := small(t, 1, placer.Settings{})
	m.submit(batch("idle", "a", 1, res(7000, 14, 0)))
	m.decide(10)
	fixed := batch("fixed", "a", 4, res(2000, 4, 0))
	movable := batch("movable", "a", 4, res(2000, 4, 0))
	movable.Checkpoint = true
	m.submit(fixed)
	m.submit(movable)
	m.reportAll("idle", res(800, 1, 0), 4)
	assert.Equal(t, len(m.decide(10)), 0, "reclaimed before enough reports")
	m.reportAll("idle", res(800, 1, 0), 1)
	decisions := m.decide(10)
	assert.Equal(t, len(decisions), 3)
	for _, d := range decisions {
		assert.Assert(t, d.Reclaimed && d.Placement.Task.Job == "movable")
	}

	// The owner uses more again: what runs in its room must leave.
	m.reportAll("idle", res(5000, 1, 0), 1)
	orders := m.decide(10)
	assert.Equal(t, count(orders, modeler.CheckpointTask), 3)
	for _, d := range orders {
		m.end(d.Placement.Task, modeler.TaskCheckpointed, true)
	}
	assert.Equal(t, len(m.decide(10)), 0)

	// Work that declares the room gets it, after the last one has left.
	m.end(m.of("idle")[0], modeler.TaskDone, false)
	started := m.decide(10)
	assert.Equal(t, len(m.of("fixed"))+len(m.of("movable")), 4, "%v", started)
}

// TestEvict guards against declared room that is kept from its owner by work in
// reclaimed room.
func TestEvict(t *testing.T) {
	m := small(t, 1, placer.Settings{})
	m.submit(batch("idle", "a", 1, res(4000, 8, 0)))
	m.decide(10)
	m.reportAll("idle", res(100, 1, 0), 5)
	movable := batch("movable", "a", 3, res(2500, 4, 0))
	movable.Checkpoint = true
	m.submit(movable)
	assert.Equal(t, len(m.decide(10)), 3)
	m.submit(batch("owner", "b", 1, res(1500, 4, 0)))
	orders := m.decide(10)
	assert.Equal(t, count(orders, modeler.CheckpointTask), 1)
	assert.Assert(t, cmp.Contains(m.p.Why("owner"), "checkpointed"))
	m.end(orders[0].Placement.Task, modeler.TaskCheckpointed, true)
	assert.Equal(t, m.decide(10)[0].Placement.Task.Job, modeler.JobID("owner"))
}

// TestOverrun guards against a task that uses far more than it declared and is
// left alone, and against one that is throttled for a single peak.
func TestOverrun(t *testing.T) {
	m := small(t, 1, placer.Settings{})
	movable := batch("movable", "a", 1, res(1000, 4, 0))
	movable.Checkpoint = true
	m.submit(movable)
	m.submit(batch("fixed", "a", 1, res(1000, 4, 0)))
	m.decide(10)
	over := res(3000, 6, 0)
	m.reportAll("movable", over, 1)
	m.reportAll("movable", res(900, 3, 0), 1)
	assert.Equal(t, len(m.decide(10)), 0)
	m.reportAll("movable", over, 2)
	m.reportAll("fixed", over, 2)
	assert.Equal(t, count(m.decide(10), modeler.ThrottleTask), 2)
	m.submit(batch("next", "b", 9, res(1000, 2, 0)))
	assert.Equal(t, len(m.decide(10)), 2, "overrun not counted")
	m.reportAll("movable", over, 2)
	m.reportAll("fixed", over, 2)
	orders := m.decide(10)
	assert.Equal(t, count(orders, modeler.CheckpointTask), 1)
	assert.Equal(t, orders[0].Placement.Task.Job, modeler.JobID("movable"))

	// An order for an attempt that has ended is dropped.
	m = small(t, 1, placer.Settings{})
	call := batch("call", "a", 1, res(1000, 4, 0))
	call.Urgent = true
	m.submit(call)
	m.decide(10)
	m.reportAll("call", over, 2)
	m.end(modeler.TaskID{Job: "call"}, modeler.TaskFailed, true)
	assert.Equal(t, count(m.decide(10), modeler.ThrottleTask), 0)
	assert.Equal(t, len(m.of("call")), 1)
}

// run ends all running tasks: they fail where bad says so.
func (m *model) run(bad func(at modeler.Placement) bool) {
	m.pass(time.Second)
	for _, d := range m.decide(1000) {
		id := d.Placement.Task
		if bad(d.Placement) {
			m.end(id, modeler.TaskFailed, true)
		} else {
			m.end(id, modeler.TaskDone, false)
		}
	}
}

// TestBadWorker guards against a worker that fails everything and goes on
// getting work, against one that never returns, and against a quarantine of
// more than a tenth of the cell.
func TestBadWorker(t *testing.T) {
	for _, broken := range []int{1, 8} {
		m := small(t, 40, placer.Settings{})
		bad := map[modeler.WorkerID]bool{"w3": true}
		for i := range broken - 1 {
			bad[[]modeler.WorkerID{"w5", "w8", "w11", "w13", "w20", "w21", "w39"}[i]] = true
		}
		seed := 0
		submit := func() {
			for range 40 {
				seed++
				m.submit(batch("j"+time.Duration(seed).String(), "b", 1, res(3000, 6, 0)))
			}
		}
		failed := 0
		for round := range 60 {
			if round < 30 {
				submit()
			}
			failed = 0
			m.run(func(at modeler.Placement) bool {
				if bad[at.Worker] {
					failed++
				}
				return bad[at.Worker]
			})
			assert.Assert(t, m.p.Stats().Quarantine <= 4)
		}
		assert.Equal(t, m.p.Stats().Quarantine, min(broken, 4))
		m.pass(2 * time.Hour)
		clear(bad)
		for range 20 {
			submit()
			m.run(func(modeler.Placement) bool { return false })
		}
		assert.Equal(t, m.p.Stats().Quarantine, 0)
	}
}

// TestProbe guards against a worker on probe that gets more than one task.
func TestProbe(t *testing.T) {
	m := small(t, 10, placer.Settings{Strikes: 1})
	m.submit(batch("j", "a", 1, res(8000, 16, 0)))
	bad := m.decide(10)[0].Placement.Worker
	m.end(modeler.TaskID{Job: "j"}, modeler.TaskFailed, true)
	m.decide(10)
	assert.Assert(t, m.held[modeler.TaskID{Job: "j"}].at.Worker != bad)
	m.end(modeler.TaskID{Job: "j"}, modeler.TaskDone, false)
	assert.Equal(t, m.p.Stats().Quarantine, 1)
	m.submit(batch("fill", "a", 40, res(2000, 4, 0)))
	assert.Equal(t, len(m.decide(100)), 36)
	assert.Assert(t, cmp.Contains(m.p.Why("fill"), "quarantine"))
	m.pass(time.Minute)
	for range 3 {
		decisions := m.decide(100)
		assert.Equal(t, len(decisions), 1)
		assert.Equal(t, decisions[0].Placement.Worker, bad)
		m.end(decisions[0].Placement.Task, modeler.TaskDone, false)
	}
	assert.Equal(t, len(m.decide(100)), 1)
	assert.Equal(t, m.p.Stats().Quarantine, 0)
}

// TestBadTask guards against workers that are closed because of a task that
// fails everywhere, or of a job whose tasks fail now and then everywhere.
func TestBadTask(t *testing.T) {
	m := small(t, 40, placer.Settings{})
	m.submit(batch("bad", "b", 80, res(1000, 2, 0)))
	m.submit(batch("flaky", "b", 400, res(500, 2, 0)))
	n := 0
	for range 80 {
		m.run(func(at modeler.Placement) bool {
			n++
			return at.Task.Job == "bad" || n%3 == 0
		})
	}
	assert.Equal(t, m.p.Stats().Quarantine, 0)

	// Many jobs of one task each that always fails, each on other workers.
	m = small(t, 40, placer.Settings{})
	for i := range 60 {
		m.submit(batch("bad"+time.Duration(i).String(), "b", 1, res(3000, 6, 0)))
	}
	seen := map[modeler.Placement]int{}
	for range 6 {
		m.run(func(at modeler.Placement) bool {
			at.Attempt = 0
			seen[at]++
			return true
		})
	}
	assert.Equal(t, m.p.Stats().Quarantine, 0)
	for at, n := range seen {
		assert.Equal(t, n, 1, "%v placed again where it failed", at)
	}
}

// TestRestore guards against a new leader that places tasks a second time or
// gives out an attempt number again.
func TestRestore(t *testing.T) {
	m := newModel(t, placer.Settings{})
	m.team("a", res(8000, 16, 0), 1, modeler.Pack)
	j := batch("j", "a", 5, res(2000, 4, 0))
	m.jobs["j"], m.waiting["j"] = j, 2
	m.last[modeler.TaskID{Job: "j", Index: 3}] = 7
	at := modeler.Placement{Task: modeler.TaskID{Job: "j", Index: 1}, Attempt: 3, Worker: "w0", Generation: 1}
	m.held[at.Task] = &held{at: at, job: j, usage: j.Size}
	m.p.Restore(m.now, j, []placer.TaskRecord{
		{Index: 0, Attempt: 2, Over: true},
		{Index: 1, Attempt: 3, Worker: "w0", Generation: 1},
		{Index: 2, Attempt: 1, Worker: "w9", Generation: 1},
		{Index: 3, Attempt: 7},
	})
	assert.Equal(t, len(m.decide(10)), 0, "placed on a worker that is not heard from")
	m.cell(2, 2, res(6000, 12, 0))
	assert.Equal(t, len(m.decide(10)), 2)
	m.p.Ended(m.now, modeler.TaskEnd{Task: modeler.TaskID{Job: "j", Index: 2}, Attempt: 1, Retry: true})
	m.waiting["j"]++
	assert.Equal(t, len(m.decide(10)), 1)
	assert.Equal(t, m.p.Stats().Waiting, 0)
}

// TestNoAllocation guards against a search that allocates for each worker it
// looks at. The job shares a bucket with the room of every worker and fits none,
// so the search looks at all of them.
func TestNoAllocation(t *testing.T) {
	allocations := func(workers int) float64 {
		m := small(t, workers, placer.Settings{Patience: time.Hour})
		m.submit(batch("fill", "a", workers, res(4001, 9, 0)))
		m.p.Decide(m.now, workers)
		j := batch("edge", "b", 1, res(4000, 7, 0))
		return testing.AllocsPerRun(50, func() {
			m.p.Submit(m.now, j)
			assert.Equal(t, len(m.p.Decide(m.now, 10)), 0)
			m.p.Cancel(m.now, j.ID)
		})
	}
	few, many := allocations(30), allocations(3000)
	assert.Assert(t, many <= few+1, "%v for 30 workers, %v for 3000", few, many)
}
