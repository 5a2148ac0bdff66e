package placer_test

import (
	"testing"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// unlimited is a quota that no test uses up.
var unlimited = res(1<<40, 1<<20, 1<<20)

// TestServiceSpread guards against tasks of a service that share a failure
// domain or rack while others have room, before and after all workers of a
// failure domain are lost.
func TestServiceSpread(t *testing.T) {
	for _, policy := range []modeler.Policy{modeler.Spread, modeler.Pack} {
		m := newModel(t, placer.Settings{})
		m.addWorkers(72, 4, res(32000, 64, 0))
		m.team("a", unlimited, 1, policy)
		m.submit(modeler.Job{ID: "fill", Team: "a", Kind: modeler.Batch, Tasks: 60, Size: res(3000, 7, 0)})
		m.submit(modeler.Job{ID: "register", Team: "a", Kind: modeler.LongRunning, Tasks: 12, Size: res(4000, 8, 0)})
		m.decide(100)
		domains, racks := m.countByDomainAndRack("register")
		assert.DeepEqual(t, domains, map[modeler.DomainName]int{"d0": 3, "d1": 3, "d2": 3, "d3": 3})
		assert.Equal(t, len(racks), 12)

		for id, w := range m.workers {
			if w.Domain == "d1" {
				m.loseWorker(id)
			}
		}
		assert.Assert(t, cmp.Len(m.decide(100), 0), "tasks were placed again before their leases expired")
		m.endLost()
		m.decide(100)
		domains, _ = m.countByDomainAndRack("register")
		assert.DeepEqual(t, domains, map[modeler.DomainName]int{"d0": 4, "d2": 4, "d3": 4})
	}
}

// countByDomainAndRack counts the running tasks of a job by failure domain and
// by rack.
func (m *model) countByDomainAndRack(id modeler.JobID) (map[modeler.DomainName]int, map[modeler.RackName]int) {
	domains, racks := map[modeler.DomainName]int{}, map[modeler.RackName]int{}
	for task, h := range m.held {
		if task.Job == id {
			domains[m.workers[h.placement.Worker].Domain]++
			racks[m.workers[h.placement.Worker].Rack]++
		}
	}
	return domains, racks
}

// TestCheck guards against Check accepting a job that can never run, refusing
// one that can, or giving the wrong reason.
func TestCheck(t *testing.T) {
	m := newModel(t, placer.Settings{})
	m.team("a", res(64000, 128, 1), 1, modeler.Spread)
	m.addWorkers(4, 2, res(16000, 32, 0))
	job := func(kind modeler.JobKind, tasks int, size modeler.Resources, where modeler.Constraint) modeler.Job {
		return modeler.Job{ID: "j", Team: "a", Kind: kind, Tasks: tasks, Size: size, Constraint: where}
	}
	d0 := modeler.Constraint{Domains: []modeler.DomainName{"d0"}}
	cases := []struct {
		job    modeler.Job
		kind   classifier.Kind
		reason string
	}{
		{job(modeler.Batch, 1000, res(16000, 32, 0), d0), classifier.None, ""},
		{job(modeler.Batch, 1, res(16001, 32, 0), d0), classifier.JobImpossible, "at most 16000 millicores"},
		{job(modeler.Batch, 1, res(1, 1, 1), d0), classifier.JobImpossible, "at most 16000 millicores, 34359738368 bytes, 0 acc"},
		{job(modeler.Batch, 1, res(1, 1, 2), d0), classifier.QuotaExceeded, "one task takes"},
		{job(modeler.Gang, 4, res(9000, 1, 0), modeler.Constraint{}), classifier.None, ""},
		{job(modeler.Gang, 5, res(9000, 1, 0), modeler.Constraint{}), classifier.JobImpossible, "hold at most 4 when empty"},
		{job(modeler.Gang, 3, res(9000, 1, 0), d0), classifier.JobImpossible, "hold at most 2 when empty"},
		{job(modeler.LongRunning, 9, res(8000, 1, 0), d0), classifier.QuotaExceeded, "9 tasks of"},
		{job(modeler.Batch, 1, res(1, 1, 0), modeler.Constraint{Labels: []string{"x"}}), classifier.JobImpossible, "no worker meets"},
		{job(modeler.Batch, 0, res(1, 1, 0), d0), classifier.JobImpossible, "0 tasks"},
		{job(modeler.Batch, 1, res(-1, 1, 0), d0), classifier.JobImpossible, "negative"},
		{job("cron", 1, res(1, 1, 0), d0), classifier.JobImpossible, "kind"},
		{modeler.Job{Team: "b", Kind: modeler.Batch, Tasks: 1, Size: res(1, 1, 0)}, classifier.JobImpossible, `team "b"`},
	}
	for _, c := range cases {
		err := m.p.Check(c.job)
		assert.Equal(t, classifier.KindOf(err), c.kind, "%+v", c.job)
		if err != nil {
			assert.ErrorContains(t, err, c.reason)
		}
	}
}

// TestReservationDrainsWorkers guards against a gang or a large task that
// starves because small tasks take every bit of room that becomes free, and
// against two such jobs that block each other by holding part of the room that
// each needs.
func TestReservationDrainsWorkers(t *testing.T) {
	for _, j := range []modeler.Job{
		{Kind: modeler.Gang, Tasks: 4, Size: res(9000, 9, 0)},
		{Kind: modeler.Batch, Tasks: 4, Size: res(16000, 32, 0)},
	} {
		testReservationDrainsWorkers(t, j)
	}
}

func testReservationDrainsWorkers(t *testing.T, j modeler.Job) {
	m := newModel(t, placer.Settings{})
	m.addWorkers(4, 2, res(16000, 32, 0))
	m.team("a", unlimited, 1, modeler.Pack)
	m.team("b", unlimited, 1, modeler.Pack)
	m.submit(modeler.Job{ID: "small", Team: "a", Kind: modeler.Batch, Tasks: 4000, Size: res(4000, 1, 0)})
	m.decide(100)
	for _, id := range []modeler.JobID{"g1", "g2"} {
		j.ID, j.Team = id, "b"
		m.submit(j)
	}
	started := map[modeler.JobID]modeler.ClockReading{}
	for step := range 400 {
		m.advance(time.Second)
		m.endEvery(step, 16, 0)
		for _, d := range m.decide(100) {
			if id := d.Placement.Task.Job; id != "small" && started[id] == 0 {
				started[id] = m.now
			}
		}
		if m.waiting["g1"] == 0 {
			for _, id := range m.tasksOf("g1") {
				m.endTask(id, modeler.TaskDone, false)
			}
		}
	}
	assert.Equal(t, len(started), 2)
}

// tasksOf returns the running tasks of a job.
func (m *model) tasksOf(id modeler.JobID) []modeler.TaskID {
	var ids []modeler.TaskID
	for task := range m.held {
		if task.Job == id {
			ids = append(ids, task)
		}
	}
	return ids
}

// endEvery ends the running batch tasks for which index plus step leaves the
// given rest modulo n.
func (m *model) endEvery(step, n, rest int) {
	for id, h := range m.held {
		if h.job.Kind == modeler.Batch && (int(id.Index)+step)%n == rest {
			m.endTask(id, modeler.TaskDone, false)
		}
	}
}

func batchJob(id string, team modeler.TeamName, tasks int, size modeler.Resources) modeler.Job {
	return modeler.Job{ID: modeler.JobID(id), Team: team, Kind: modeler.Batch, Tasks: tasks, Size: size}
}

// countVerb returns the number of decisions with the verb.
func countVerb(decisions []placer.Decision, verb modeler.TaskVerb) int {
	n := 0
	for _, d := range decisions {
		if d.Verb == verb {
			n++
		}
	}
	return n
}

// smallCell returns a model of a cell with the given number of equal workers and
// one team of each policy: "a" packs and "b" spreads.
func smallCell(t *testing.T, workers int, settings placer.Settings) *model {
	m := newModel(t, settings)
	m.addWorkers(workers, 2, res(8000, 16, 0))
	m.team("a", unlimited, 1, modeler.Pack)
	m.team("b", unlimited, 1, modeler.Spread)
	return m
}

// TestRestartWithLessCapacity guards against tasks beyond the capacity of a
// worker that has restarted with less of it, and against placing the tasks of
// its earlier generation again before their leases expire.
func TestRestartWithLessCapacity(t *testing.T) {
	m := smallCell(t, 1, placer.Settings{})
	m.submit(batchJob("j", "a", 4, res(2000, 4, 0)))
	assert.Equal(t, len(m.decide(10)), 4)
	w := m.workers["w0"]
	w.Generation, w.Capacity = 2, res(4000, 8, 0)
	m.worker(w)
	m.submit(batchJob("k", "b", 4, res(2000, 4, 0)))
	assert.Equal(t, len(m.decide(10)), 0)
	m.endLost()
	assert.Equal(t, len(m.decide(10)), 2)
	assert.Equal(t, len(m.decide(10)), 0)
}

// TestStartUnknown guards against a task that is placed on another worker while
// it may still run on the first one, whose answer to the start was lost.
func TestStartUnknown(t *testing.T) {
	m := smallCell(t, 2, placer.Settings{})
	m.submit(batchJob("j", "a", 2, res(8000, 16, 0)))
	decisions := m.decide(10)
	assert.Equal(t, len(decisions), 2)
	until := m.now.Add(10 * time.Second)
	for _, d := range decisions {
		m.p.MarkStartUnknown(m.now, d.Placement.Task, d.Placement.Attempt, until)
	}
	m.p.ConfirmStart(m.now, decisions[1].Placement.Task, 1)
	m.advance(10*time.Second - 1)
	assert.Equal(t, len(m.decide(10)), 0)
	m.advance(1)
	m.waiting["j"]++
	delete(m.held, decisions[0].Placement.Task)
	again := m.decide(10)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Placement.Attempt, modeler.Attempt(2))

	stale := modeler.TaskEnd{Task: decisions[0].Placement.Task, Attempt: 1, State: modeler.TaskDone, Retry: true}
	m.p.EndAttempt(m.now, stale)
	assert.Equal(t, len(m.decide(10)), 0, "the end of the earlier attempt freed the resources of the current one")
}

// TestSetAside guards against a gang that blocks other jobs after the loss of a
// worker has made the cell too small for it, and against not placing it when the
// worker returns.
func TestSetAside(t *testing.T) {
	m := smallCell(t, 6, placer.Settings{})
	m.submit(batchJob("fill", "a", 6, res(8000, 16, 0)))
	m.decide(10)
	gang := modeler.Job{ID: "gang", Team: "a", Kind: modeler.Gang, Tasks: 6, Size: res(8000, 1, 0)}
	assert.Assert(t, m.submit(gang))
	m.decide(10)
	m.loseWorker("w0")
	m.endLost()
	for id := range m.held {
		m.endTask(id, modeler.TaskDone, false)
	}
	for range 30 {
		m.advance(time.Second)
		m.decide(10)
	}
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("gang"), "set aside"))
	m.submit(batchJob("later", "a", 5, res(4000, 8, 0)))
	assert.Equal(t, len(m.decide(10)), 5, "blocked by a gang that doesn't fit the cell")
	for _, id := range m.tasksOf("later") {
		m.endTask(id, modeler.TaskDone, false)
	}
	for _, id := range m.tasksOf("fill") {
		m.endTask(id, modeler.TaskDone, false)
	}
	m.worker(m.workers["w0"])
	m.advance(time.Second)
	assert.Equal(t, len(m.decide(10)), 6)
}

// TestUrgent guards against urgent tasks that wait while preemptible tasks run,
// that cause more checkpoints than they need, or that lose the freed room to
// other tasks, and against a job that is placed before an urgent one.
func TestUrgent(t *testing.T) {
	m := smallCell(t, 4, placer.Settings{})
	movable := batchJob("movable", "a", 16, res(2000, 4, 0))
	movable.Checkpoint = true
	m.submit(movable)
	assert.Equal(t, len(m.decide(100)), 16)
	m.submit(batchJob("fixed", "a", 50, res(2000, 4, 0)))
	call := batchJob("call", "b", 2, res(4000, 4, 0))
	call.Urgent = true
	m.submit(call)
	orders := m.decide(100)
	assert.Equal(t, countVerb(orders, modeler.CheckpointTask), 4)
	for _, d := range orders {
		m.endTask(d.Placement.Task, modeler.TaskCheckpointed, true)
	}
	started := m.decide(100)
	assert.Equal(t, len(started), 2)
	assert.Equal(t, len(m.tasksOf("call")), 2)

	m = smallCell(t, 1, placer.Settings{})
	m.submit(batchJob("first", "a", 1, res(8000, 16, 0)))
	call.Tasks = 1
	m.submit(call)
	m.decide(1)
	assert.Equal(t, len(m.tasksOf("call")), 1, "another job was placed before the urgent one")
}

// TestUrgentJobEndsReservation guards against an urgent job that waits until the
// reservation of a job that isn't urgent reaches its deadline.
func TestUrgentJobEndsReservation(t *testing.T) {
	m := smallCell(t, 2, placer.Settings{})
	m.submit(batchJob("fill", "a", 8, res(2000, 4, 0)))
	m.decide(100)
	m.submit(modeler.Job{ID: "gang", Team: "a", Kind: modeler.Gang, Tasks: 2, Size: res(8000, 16, 0)})
	m.decide(100)
	m.advance(11 * time.Second)
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("gang"), "drained"))
	m.endTask(m.tasksOf("fill")[0], modeler.TaskDone, false)
	m.submit(batchJob("late", "b", 1, res(2000, 4, 0)))
	assert.Equal(t, len(m.decide(100)), 0, "a task was placed in reserved room")
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("late"), "reserved for job \"gang\""))
	call := batchJob("call", "b", 1, res(2000, 4, 0))
	call.Urgent = true
	m.submit(call)
	m.decide(100)
	assert.Equal(t, len(m.tasksOf("call")), 1)
}

// TestReservationConstraint guards against a reservation that keeps a worker
// which no longer meets the job's constraint, since it restarted without its
// label.
func TestReservationConstraint(t *testing.T) {
	m := smallCell(t, 2, placer.Settings{})
	w := m.workers["w0"]
	w.Labels = []string{"ssd"}
	m.worker(w)
	m.submit(batchJob("fill", "a", 8, res(2000, 4, 0)))
	m.decide(100)
	large := batchJob("large", "b", 1, res(8000, 16, 0))
	large.Constraint.Labels = w.Labels
	assert.Assert(t, m.submit(large))
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("large"), "no room"))
	m.advance(11 * time.Second)
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("large"), "drained"))
	w.Generation, w.Labels = 2, nil
	m.worker(w)
	m.endLost()
	m.decide(100)
	assert.Equal(t, len(m.tasksOf("large")), 0)
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("large"), "set aside"))

	large = batchJob("rack", "b", 1, res(8000, 16, 0))
	large.Constraint.Racks = []modeler.RackName{"d1-r0"}
	m.submit(large)
	for _, id := range m.tasksOf("fill") {
		if m.held[id].placement.Worker == "w0" {
			m.endTask(id, modeler.TaskDone, false)
		}
	}
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("rack"), "constraint"))
}

// TestReservationDeadline guards against a reservation that blocks other jobs
// forever because the tasks on its workers never end.
func TestReservationDeadline(t *testing.T) {
	m := smallCell(t, 2, placer.Settings{ReservationTimeout: 2 * time.Minute})
	m.submit(batchJob("endless", "a", 2, res(2000, 4, 0)))
	m.decide(100)
	m.submit(modeler.Job{ID: "gang", Team: "a", Kind: modeler.Gang, Tasks: 2, Size: res(8000, 16, 0)})
	m.decide(100)
	m.advance(11 * time.Second)
	m.decide(100)
	m.submit(batchJob("late", "b", 1, res(6000, 12, 0)))
	assert.Equal(t, len(m.decide(100)), 0)
	m.advance(2*time.Minute + time.Second)
	assert.Equal(t, len(m.decide(100)), 1)
}

// TestRoomGrowsDuringReservation guards against a job that misses room on a
// worker outside its reservation. The room grows while the job has the
// reservation and is not compared with it; after the reservation expires, the
// job must use it.
func TestRoomGrowsDuringReservation(t *testing.T) {
	m := smallCell(t, 3, placer.Settings{ReservationTimeout: 3 * time.Second})
	m.submit(modeler.Job{ID: "fill", Team: "a", Kind: modeler.Batch, Tasks: 3, Size: res(6000, 12, 0)})
	m.decide(100)
	m.submit(batchJob("top", "a", 2, res(1000, 1, 0)))
	m.decide(100)
	m.submit(batchJob("large", "b", 2, res(8000, 16, 0)))
	m.decide(100)
	m.advance(11 * time.Second)
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("large"), "drained"))
	busiest := m.held[m.tasksOf("top")[0]].placement.Worker
	for id, h := range m.held {
		if h.placement.Worker == busiest {
			m.endTask(id, modeler.TaskDone, false)
		}
	}
	assert.Equal(t, len(m.decide(100)), 0)
	m.advance(3 * time.Second)
	assert.Equal(t, len(m.decide(100)), 1)
}

// TestMassCancellation guards against the stops of many cancelled jobs delaying
// urgent placements or exceeding the limit of one Decide, and against lost
// stops.
func TestMassCancellation(t *testing.T) {
	m := smallCell(t, 2600, placer.Settings{})
	var ids []modeler.JobID
	for i := range 100 {
		j := batchJob("wave"+string(rune('0'+i%10))+string(rune('0'+i/10)), "a", 200, res(1000, 2, 0))
		ids = append(ids, j.ID)
		m.jobs[j.ID], m.waiting[j.ID] = j, j.Tasks
		m.p.Submit(m.now, j)
	}
	running := map[modeler.TaskID]modeler.Placement{}
	for _, d := range m.p.Decide(m.now, 30000) {
		running[d.Placement.Task] = d.Placement
	}
	assert.Equal(t, len(running), 20000)
	m.p.Cancel(m.now, ids...)
	call := batchJob("call", "b", 500, res(1, 1, 0))
	call.Urgent = true
	m.p.Submit(m.now, call)
	for round := 0; len(running) > 0; round++ {
		decisions := m.p.Decide(m.now, 1000)
		assert.Assert(t, len(decisions) > 0 && len(decisions) <= 1000)
		if round == 0 {
			assert.Equal(t, countVerb(decisions[:500], modeler.StartTask), 500)
			decisions = decisions[500:]
		}
		for _, d := range decisions {
			assert.Equal(t, d.Verb, modeler.StopTask)
			assert.Equal(t, running[d.Placement.Task], d.Placement)
			delete(running, d.Placement.Task)
		}
	}
}

// TestFairOrder guards against a team that gets more placements than its weight
// allows, and against a job of a team that overtakes an earlier equal one.
func TestFairOrder(t *testing.T) {
	m := smallCell(t, 10, placer.Settings{})
	m.team("a", unlimited, 3, modeler.Pack)
	for _, id := range []string{"1", "2"} {
		m.submit(batchJob("a"+id, "a", 4000, res(1000, 2, 0)))
		m.submit(batchJob("b"+id, "b", 4000, res(1000, 2, 0)))
	}
	started := map[modeler.JobID]int{}
	for range 50 {
		for _, d := range m.decide(100) {
			started[d.Placement.Task.Job]++
		}
		for id := range m.held {
			m.endTask(id, modeler.TaskDone, false)
		}
	}
	assert.Equal(t, started["a1"]+started["b1"], 4000)
	assert.Assert(t, started["a1"] > 2980 && started["a1"] < 3020, "%v", started)
}

// TestQuotaOrder guards against a large job that starves because later small
// jobs of its team use up the quota, and against an old quota that still applies
// after it was lowered, removed or raised.
func TestQuotaOrder(t *testing.T) {
	m := smallCell(t, 10, placer.Settings{})
	m.team("a", res(10000, 64, 0), 1, modeler.Pack)
	m.submit(batchJob("first", "a", 10, res(1000, 1, 0)))
	m.decide(100)
	m.submit(batchJob("large", "a", 1, res(8000, 1, 0)))
	m.submit(batchJob("small", "a", 100, res(1000, 1, 0)))
	for range 8 {
		assert.Equal(t, len(m.tasksOf("large"))+len(m.tasksOf("small")), 0)
		assert.Assert(t, cmp.Contains(m.p.ExplainWait("large")+m.p.ExplainWait("small"), "quota"))
		m.endTask(m.tasksOf("first")[0], modeler.TaskDone, false)
		m.decide(100)
	}
	assert.Equal(t, len(m.tasksOf("large")), 1)
	for _, id := range m.tasksOf("first") {
		m.endTask(id, modeler.TaskDone, false)
	}
	m.decide(100)
	assert.Equal(t, len(m.tasksOf("small")), 2)
	m.team("a", res(9000, 64, 0), 1, modeler.Pack)
	m.endTask(m.tasksOf("small")[0], modeler.TaskDone, false)
	assert.Equal(t, len(m.decide(100)), 0)
	m.endTask(m.tasksOf("large")[0], modeler.TaskDone, false)
	m.submit(batchJob("other", "a", 1, res(9000, 1, 0)))
	assert.Equal(t, len(m.decide(100)), 8)
	m.team("a", res(500, 64, 0), 1, modeler.Pack)
	for id := range m.held {
		m.endTask(id, modeler.TaskDone, false)
	}
	assert.Equal(t, len(m.decide(100)), 0)
	assert.Assert(t, cmp.Contains(m.p.ExplainWait("small"), "exceeds the whole quota"))
	m.p.RemoveTeam(m.now, "a")
	assert.Equal(t, len(m.decide(100)), 0)
	m.team("a", res(2000, 64, 0), 1, modeler.Pack)
	assert.Equal(t, len(m.decide(100)), 2)
}
