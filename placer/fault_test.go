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

var plenty = res(1<<40, 1<<20, 1<<20)

// TestServiceSpread guards against a service whose tasks share a failure domain
// or rack while others are free, before and after a failure domain is lost.
func TestServiceSpread(t *testing.T) {
	for _, policy := range []modeler.Policy{modeler.Spread, modeler.Pack} {
		m := newModel(t, placer.Settings{})
		m.cell(72, 4, res(32000, 64, 0))
		m.team("a", plenty, 1, policy)
		m.submit(modeler.Job{ID: "fill", Team: "a", Kind: modeler.Batch, Tasks: 60, Size: res(3000, 7, 0)})
		m.submit(modeler.Job{ID: "register", Team: "a", Kind: modeler.LongRunning, Tasks: 12, Size: res(4000, 8, 0)})
		m.decide(100)
		domains, racks := m.spread("register")
		assert.DeepEqual(t, domains, map[modeler.DomainName]int{"d0": 3, "d1": 3, "d2": 3, "d3": 3})
		assert.Equal(t, len(racks), 12)

		for id, w := range m.workers {
			if w.Domain == "d1" {
				m.lose(id)
			}
		}
		assert.Assert(t, cmp.Len(m.decide(100), 0), "re-placed before the leases are over")
		m.endLost()
		m.decide(100)
		domains, _ = m.spread("register")
		assert.DeepEqual(t, domains, map[modeler.DomainName]int{"d0": 4, "d2": 4, "d3": 4})
	}
}

// spread counts the tasks of a job by failure domain and by rack.
func (m *model) spread(id modeler.JobID) (map[modeler.DomainName]int, map[modeler.RackName]int) {
	domains, racks := map[modeler.DomainName]int{}, map[modeler.RackName]int{}
	for task, h := range m.held {
		if task.Job == id {
			domains[m.workers[h.at.Worker].Domain]++
			racks[m.workers[h.at.Worker].Rack]++
		}
	}
	return domains, racks
}

// TestCheck guards against an impossible job that is accepted, and against one
// that is refused for the wrong reason.
func TestCheck(t *testing.T) {
	m := newModel(t, placer.Settings{})
	m.team("a", res(64000, 128, 1), 1, modeler.Spread)
	m.cell(4, 2, res(16000, 32, 0))
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

// TestDrains guards against a gang or a large task that starves behind small
// work, and against two gangs that hold room for each other.
func TestDrains(t *testing.T) {
	for _, j := range []modeler.Job{
		{Kind: modeler.Gang, Tasks: 4, Size: res(9000, 9, 0)},
		{Kind: modeler.Batch, Tasks: 4, Size: res(16000, 32, 0)},
	} {
		testDrains(t, j)
	}
}

func testDrains(t *testing.T, j modeler.Job) {
	m := newModel(t, placer.Settings{})
	m.cell(4, 2, res(16000, 32, 0))
	m.team("a", plenty, 1, modeler.Pack)
	m.team("b", plenty, 1, modeler.Pack)
	m.submit(modeler.Job{ID: "small", Team: "a", Kind: modeler.Batch, Tasks: 4000, Size: res(4000, 1, 0)})
	m.decide(100)
	for _, id := range []modeler.JobID{"g1", "g2"} {
		j.ID, j.Team = id, "b"
		m.submit(j)
	}
	started := map[modeler.JobID]modeler.ClockReading{}
	for step := range 400 {
		m.pass(time.Second)
		m.endEvery(step, 16, 0)
		for _, d := range m.decide(100) {
			if id := d.Placement.Task.Job; id != "small" && started[id] == 0 {
				started[id] = m.now
			}
		}
		if m.waiting["g1"] == 0 {
			for _, id := range m.of("g1") {
				m.end(id, modeler.TaskDone, false)
			}
		}
	}
	assert.Equal(t, len(started), 2)
}

// of returns the held tasks of a job.
func (m *model) of(id modeler.JobID) []modeler.TaskID {
	var ids []modeler.TaskID
	for task := range m.held {
		if task.Job == id {
			ids = append(ids, task)
		}
	}
	return ids
}

// endEvery ends the batch tasks whose index leaves the rest step modulo n.
func (m *model) endEvery(step, n, rest int) {
	for id, h := range m.held {
		if h.job.Kind == modeler.Batch && (int(id.Index)+step)%n == rest {
			m.end(id, modeler.TaskDone, false)
		}
	}
}

func batch(id string, team modeler.TeamName, tasks int, size modeler.Resources) modeler.Job {
	return modeler.Job{ID: modeler.JobID(id), Team: team, Kind: modeler.Batch, Tasks: tasks, Size: size}
}

func count(decisions []placer.Decision, verb modeler.TaskVerb) int {
	n := 0
	for _, d := range decisions {
		if d.Verb == verb {
			n++
		}
	}
	return n
}

// small returns a cell of workers with one team of each policy.
func small(t *testing.T, workers int, settings placer.Settings) *model {
	m := newModel(t, settings)
	m.cell(workers, 2, res(8000, 16, 0))
	m.team("a", plenty, 1, modeler.Pack)
	m.team("b", plenty, 1, modeler.Spread)
	return m
}

// TestRestartSmaller guards against a restarted worker that is given more than
// it now has, and against its old attempts being replaced too early.
func TestRestartSmaller(t *testing.T) {
	m := small(t, 1, placer.Settings{})
	m.submit(batch("j", "a", 4, res(2000, 4, 0)))
	assert.Equal(t, len(m.decide(10)), 4)
	w := m.workers["w0"]
	w.Generation, w.Capacity = 2, res(4000, 8, 0)
	m.worker(w)
	m.submit(batch("k", "b", 4, res(2000, 4, 0)))
	assert.Equal(t, len(m.decide(10)), 0)
	m.endLost()
	assert.Equal(t, len(m.decide(10)), 2)
	assert.Equal(t, len(m.decide(10)), 0)
}

// TestStartUnknown guards against a task that is placed elsewhere while it may
// still run where its start got no answer.
func TestStartUnknown(t *testing.T) {
	m := small(t, 2, placer.Settings{})
	m.submit(batch("j", "a", 2, res(8000, 16, 0)))
	decisions := m.decide(10)
	assert.Equal(t, len(decisions), 2)
	until := m.now.Add(10 * time.Second)
	for _, d := range decisions {
		m.p.StartUnknown(m.now, d.Placement.Task, d.Placement.Attempt, until)
	}
	m.p.Started(m.now, decisions[1].Placement.Task, 1)
	m.pass(10*time.Second - 1)
	assert.Equal(t, len(m.decide(10)), 0)
	m.pass(1)
	m.waiting["j"]++
	delete(m.held, decisions[0].Placement.Task)
	again := m.decide(10)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Placement.Attempt, modeler.Attempt(2))

	stale := modeler.TaskEnd{Task: decisions[0].Placement.Task, Attempt: 1, State: modeler.TaskDone, Retry: true}
	m.p.Ended(m.now, stale)
	assert.Equal(t, len(m.decide(10)), 0, "the end of an old attempt freed the new one")
}

// TestSetAside guards against a job that no longer fits the cell and holds up
// others, and against one that is not taken up again when the cell grows.
func TestSetAside(t *testing.T) {
	m := small(t, 6, placer.Settings{})
	m.submit(batch("fill", "a", 6, res(8000, 16, 0)))
	m.decide(10)
	gang := modeler.Job{ID: "gang", Team: "a", Kind: modeler.Gang, Tasks: 6, Size: res(8000, 1, 0)}
	assert.Assert(t, m.submit(gang))
	m.decide(10)
	m.lose("w0")
	m.endLost()
	for id := range m.held {
		m.end(id, modeler.TaskDone, false)
	}
	for range 30 {
		m.pass(time.Second)
		m.decide(10)
	}
	assert.Assert(t, cmp.Contains(m.p.Why("gang"), "set aside"))
	m.submit(batch("later", "a", 5, res(4000, 8, 0)))
	assert.Equal(t, len(m.decide(10)), 5, "held up by a job that can't run")
	for _, id := range m.of("later") {
		m.end(id, modeler.TaskDone, false)
	}
	for _, id := range m.of("fill") {
		m.end(id, modeler.TaskDone, false)
	}
	m.worker(m.workers["w0"])
	m.pass(time.Second)
	assert.Equal(t, len(m.decide(10)), 6)
}

// TestUrgent guards against urgent work that waits behind other work, takes
// more room than there is, or loses the room that was cleared for it.
func TestUrgent(t *testing.T) {
	m := small(t, 4, placer.Settings{})
	movable := batch("movable", "a", 16, res(2000, 4, 0))
	movable.Checkpoint = true
	m.submit(movable)
	assert.Equal(t, len(m.decide(100)), 16)
	m.submit(batch("fixed", "a", 50, res(2000, 4, 0)))
	call := batch("call", "b", 2, res(4000, 4, 0))
	call.Urgent = true
	m.submit(call)
	orders := m.decide(100)
	assert.Equal(t, count(orders, modeler.CheckpointTask), 4)
	for _, d := range orders {
		m.end(d.Placement.Task, modeler.TaskCheckpointed, true)
	}
	started := m.decide(100)
	assert.Equal(t, len(started), 2)
	assert.Equal(t, len(m.of("call")), 2)

	m = small(t, 1, placer.Settings{})
	m.submit(batch("first", "a", 1, res(8000, 16, 0)))
	call.Tasks = 1
	m.submit(call)
	m.decide(1)
	assert.Equal(t, len(m.of("call")), 1, "other work went first")
}

// TestUrgentOverrules guards against urgent work that waits for the deadline of
// another job's reservation.
func TestUrgentOverrules(t *testing.T) {
	m := small(t, 2, placer.Settings{})
	m.submit(batch("fill", "a", 8, res(2000, 4, 0)))
	m.decide(100)
	m.submit(modeler.Job{ID: "gang", Team: "a", Kind: modeler.Gang, Tasks: 2, Size: res(8000, 16, 0)})
	m.decide(100)
	m.pass(11 * time.Second)
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.Why("gang"), "drained"))
	m.end(m.of("fill")[0], modeler.TaskDone, false)
	m.submit(batch("late", "b", 1, res(2000, 4, 0)))
	assert.Equal(t, len(m.decide(100)), 0, "reserved room was given away")
	assert.Assert(t, cmp.Contains(m.p.Why("late"), "reserved for job \"gang\""))
	call := batch("call", "b", 1, res(2000, 4, 0))
	call.Urgent = true
	m.submit(call)
	m.decide(100)
	assert.Equal(t, len(m.of("call")), 1)
}

// TestReservationConstraint guards against a reservation that is kept on a
// worker which no longer meets the job's constraint.
func TestReservationConstraint(t *testing.T) {
	m := small(t, 2, placer.Settings{})
	w := m.workers["w0"]
	w.Labels = []string{"ssd"}
	m.worker(w)
	m.submit(batch("fill", "a", 8, res(2000, 4, 0)))
	m.decide(100)
	large := batch("large", "b", 1, res(8000, 16, 0))
	large.Constraint.Labels = w.Labels
	assert.Assert(t, m.submit(large))
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.Why("large"), "no room"))
	m.pass(11 * time.Second)
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.Why("large"), "drained"))
	w.Generation, w.Labels = 2, nil
	m.worker(w)
	m.endLost()
	m.decide(100)
	assert.Equal(t, len(m.of("large")), 0)
	assert.Assert(t, cmp.Contains(m.p.Why("large"), "set aside"))

	large = batch("rack", "b", 1, res(8000, 16, 0))
	large.Constraint.Racks = []modeler.RackName{"d1-r0"}
	m.submit(large)
	for _, id := range m.of("fill") {
		if m.held[id].at.Worker == "w0" {
			m.end(id, modeler.TaskDone, false)
		}
	}
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.Why("rack"), "constraint"))
}

// TestReservationDeadline guards against a reservation that holds up others for
// good because what it waits for never ends.
func TestReservationDeadline(t *testing.T) {
	m := small(t, 2, placer.Settings{Reservation: 2 * time.Minute})
	m.submit(batch("endless", "a", 2, res(2000, 4, 0)))
	m.decide(100)
	m.submit(modeler.Job{ID: "gang", Team: "a", Kind: modeler.Gang, Tasks: 2, Size: res(8000, 16, 0)})
	m.decide(100)
	m.pass(11 * time.Second)
	m.decide(100)
	m.submit(batch("late", "b", 1, res(6000, 12, 0)))
	assert.Equal(t, len(m.decide(100)), 0)
	m.pass(2*time.Minute + time.Second)
	assert.Equal(t, len(m.decide(100)), 1)
}

// TestReservationHides guards against room that grows elsewhere while a job has
// the reservation, and that the job misses when the reservation ends.
func TestReservationHides(t *testing.T) {
	m := small(t, 3, placer.Settings{Reservation: 3 * time.Second})
	m.submit(modeler.Job{ID: "fill", Team: "a", Kind: modeler.Batch, Tasks: 3, Size: res(6000, 12, 0)})
	m.decide(100)
	m.submit(batch("top", "a", 2, res(1000, 1, 0)))
	m.decide(100)
	m.submit(batch("large", "b", 2, res(8000, 16, 0)))
	m.decide(100)
	m.pass(11 * time.Second)
	m.decide(100)
	assert.Assert(t, cmp.Contains(m.p.Why("large"), "drained"))
	busiest := m.held[m.of("top")[0]].at.Worker
	for id, h := range m.held {
		if h.at.Worker == busiest {
			m.end(id, modeler.TaskDone, false)
		}
	}
	assert.Equal(t, len(m.decide(100)), 0)
	m.pass(3 * time.Second)
	assert.Equal(t, len(m.decide(100)), 1)
}

// TestCancelWave guards against a wave of cancellations that delays urgent work
// or makes one Decide long, and against stops that are lost.
func TestCancelWave(t *testing.T) {
	m := small(t, 2600, placer.Settings{})
	var ids []modeler.JobID
	for i := range 100 {
		j := batch("wave"+string(rune('0'+i%10))+string(rune('0'+i/10)), "a", 200, res(1000, 2, 0))
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
	call := batch("call", "b", 500, res(1, 1, 0))
	call.Urgent = true
	m.p.Submit(m.now, call)
	for round := 0; len(running) > 0; round++ {
		decisions := m.p.Decide(m.now, 1000)
		assert.Assert(t, len(decisions) > 0 && len(decisions) <= 1000)
		if round == 0 {
			assert.Equal(t, count(decisions[:500], modeler.StartTask), 500)
			decisions = decisions[500:]
		}
		for _, d := range decisions {
			assert.Equal(t, d.Verb, modeler.StopTask)
			assert.Equal(t, running[d.Placement.Task], d.Placement)
			delete(running, d.Placement.Task)
		}
	}
}

// TestFairOrder guards against a team that takes more than its weight, and
// against a later job of a team that overtakes an earlier equal one.
func TestFairOrder(t *testing.T) {
	m := small(t, 10, placer.Settings{})
	m.team("a", plenty, 3, modeler.Pack)
	for _, id := range []string{"1", "2"} {
		m.submit(batch("a"+id, "a", 4000, res(1000, 2, 0)))
		m.submit(batch("b"+id, "b", 4000, res(1000, 2, 0)))
	}
	started := map[modeler.JobID]int{}
	for range 50 {
		for _, d := range m.decide(100) {
			started[d.Placement.Task.Job]++
		}
		for id := range m.held {
			m.end(id, modeler.TaskDone, false)
		}
	}
	assert.Equal(t, started["a1"]+started["b1"], 4000)
	assert.Assert(t, started["a1"] > 2980 && started["a1"] < 3020, "%v", started)
}

// TestQuotaOrder guards against a large job that starves because small jobs of
// its team use up the quota, and a quota that holds after it was lowered.
func TestQuotaOrder(t *testing.T) {
	m := small(t, 10, placer.Settings{})
	m.team("a", res(10000, 64, 0), 1, modeler.Pack)
	m.submit(batch("first", "a", 10, res(1000, 1, 0)))
	m.decide(100)
	m.submit(batch("large", "a", 1, res(8000, 1, 0)))
	m.submit(batch("small", "a", 100, res(1000, 1, 0)))
	for range 8 {
		assert.Equal(t, len(m.of("large"))+len(m.of("small")), 0)
		assert.Assert(t, cmp.Contains(m.p.Why("large")+m.p.Why("small"), "quota"))
		m.end(m.of("first")[0], modeler.TaskDone, false)
		m.decide(100)
	}
	assert.Equal(t, len(m.of("large")), 1)
	for _, id := range m.of("first") {
		m.end(id, modeler.TaskDone, false)
	}
	m.decide(100)
	assert.Equal(t, len(m.of("small")), 2)
	m.team("a", res(9000, 64, 0), 1, modeler.Pack)
	m.end(m.of("small")[0], modeler.TaskDone, false)
	assert.Equal(t, len(m.decide(100)), 0)
	m.end(m.of("large")[0], modeler.TaskDone, false)
	m.submit(batch("other", "a", 1, res(9000, 1, 0)))
	assert.Equal(t, len(m.decide(100)), 8)
	m.team("a", res(500, 64, 0), 1, modeler.Pack)
	for id := range m.held {
		m.end(id, modeler.TaskDone, false)
	}
	assert.Equal(t, len(m.decide(100)), 0)
	assert.Assert(t, cmp.Contains(m.p.Why("small"), "exceeds the whole quota"))
	m.p.RemoveTeam(m.now, "a")
	assert.Equal(t, len(m.decide(100)), 0)
	m.team("a", res(2000, 64, 0), 1, modeler.Pack)
	assert.Equal(t, len(m.decide(100)), 2)
}
