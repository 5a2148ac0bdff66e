package placer_test

import (
	"fmt"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

const gib = modeler.Bytes(1 << 30)

// res returns an amount of resources, with the memory in GiB.
func res(millicores, gibs, accelerators int64) modeler.Resources {
	return modeler.Resources{
		Processors:   modeler.Millicores(millicores),
		Memory:       modeler.Bytes(gibs) * gib,
		Accelerators: modeler.Accelerators(accelerators),
	}
}

// testingT holds the methods of *testing.T and *rapid.T that the model uses.
type testingT interface {
	Fatalf(format string, args ...any)
	Helper()
}

// held is an attempt that was placed and has not ended.
type held struct {
	placement modeler.Placement
	job       modeler.Job
	reclaimed bool
	usage     modeler.Resources // usage in the last report, or the declared size
}

// model drives a placer through its exported methods and checks every decision
// against its own record of the workers, jobs and running attempts.
type model struct {
	t           testingT
	p           *placer.Placer
	now         modeler.ClockReading
	workers     map[modeler.WorkerID]placer.Worker
	lost        map[modeler.WorkerID]bool
	teams       map[modeler.TeamName]modeler.Team
	jobs        map[modeler.JobID]modeler.Job
	waiting     map[modeler.JobID]int
	held        map[modeler.TaskID]*held
	lastAttempt map[modeler.TaskID]modeler.Attempt
	orders      map[modeler.TaskID]modeler.TaskVerb
}

func newModel(t testingT, settings placer.Settings) *model {
	return &model{
		t:           t,
		p:           placer.New(settings),
		now:         modeler.ClockReading(time.Hour),
		workers:     map[modeler.WorkerID]placer.Worker{},
		lost:        map[modeler.WorkerID]bool{},
		teams:       map[modeler.TeamName]modeler.Team{},
		jobs:        map[modeler.JobID]modeler.Job{},
		waiting:     map[modeler.JobID]int{},
		held:        map[modeler.TaskID]*held{},
		lastAttempt: map[modeler.TaskID]modeler.Attempt{},
		orders:      map[modeler.TaskID]modeler.TaskVerb{},
	}
}

func (m *model) advance(d time.Duration) { m.now = m.now.Add(d) }

func (m *model) worker(w placer.Worker) {
	m.workers[w.ID] = w
	delete(m.lost, w.ID)
	m.p.SetWorker(m.now, w)
}

// addWorkers adds n workers, distributed over the failure domains in turn, with
// six workers to a rack.
func (m *model) addWorkers(n, domains int, capacity modeler.Resources) {
	for i := range n {
		domain := i % domains
		m.worker(placer.Worker{
			ID:         modeler.WorkerID(fmt.Sprintf("w%d", i)),
			Generation: 1,
			Region:     "north",
			Domain:     modeler.DomainName(fmt.Sprintf("d%d", domain)),
			Rack:       modeler.RackName(fmt.Sprintf("d%d-r%d", domain, i/domains/6)),
			Capacity:   capacity,
		})
	}
}

func (m *model) loseWorker(id modeler.WorkerID) {
	m.lost[id] = true
	m.p.LoseWorker(m.now, id)
}

func (m *model) team(name modeler.TeamName, quota modeler.Resources, weight int, policy modeler.Policy) {
	m.teams[name] = modeler.Team{Name: name, Quota: quota, Weight: weight, Policy: policy}
	m.p.SetTeam(m.now, m.teams[name])
}

// submit checks and submits the job and reports whether it was accepted.
func (m *model) submit(j modeler.Job) bool {
	if m.p.Check(j) != nil {
		return false
	}
	m.jobs[j.ID] = j
	m.waiting[j.ID] = j.Tasks
	m.p.Submit(m.now, j)
	return true
}

func (m *model) cancel(ids ...modeler.JobID) {
	for _, id := range ids {
		m.waiting[id] = 0
	}
	m.p.Cancel(m.now, ids...)
}

func (m *model) endTask(id modeler.TaskID, state modeler.TaskState, again bool) {
	h := m.held[id]
	delete(m.held, id)
	delete(m.orders, id)
	if again && m.waiting[id.Job] >= 0 {
		m.waiting[id.Job]++
	}
	m.p.EndAttempt(m.now, modeler.TaskEnd{Task: id, Attempt: h.placement.Attempt, State: state, Retry: again})
}

// endLost ends the attempts on lost workers and those of older generations, as
// the caller does when their leases have expired.
func (m *model) endLost() {
	for id, h := range m.held {
		w := m.workers[h.placement.Worker]
		if m.lost[w.ID] || w.Generation != h.placement.Generation {
			m.endTask(id, modeler.TaskStopped, m.waiting[id.Job] > 0 || m.isLive(id.Job))
		}
	}
}

// isLive reports whether the job has not been cancelled.
func (m *model) isLive(id modeler.JobID) bool {
	_, ok := m.jobs[id]
	return ok
}

func (m *model) reportUsage(id modeler.TaskID, usage modeler.Resources) {
	h := m.held[id]
	h.usage = usage
	m.p.Usage(m.now, h.placement.Worker, h.placement.Generation, []modeler.TaskReport{
		{Task: id, Attempt: h.placement.Attempt, State: modeler.TaskRunning, Usage: usage},
	})
}

// decide calls Decide, checks each decision and applies it to the record.
func (m *model) decide(max int) []placer.Decision {
	m.t.Helper()
	decisions := m.p.Decide(m.now, max)
	gangs := map[modeler.JobID]int{}
	for _, d := range decisions {
		if d.Verb != modeler.StartTask {
			m.checkOrder(d)
			m.orders[d.Placement.Task] = d.Verb
			continue
		}
		m.checkStart(d)
		j := m.jobs[d.Placement.Task.Job]
		if j.Kind == modeler.Gang {
			gangs[j.ID]++
		}
		m.held[d.Placement.Task] = &held{placement: d.Placement, job: j, reclaimed: d.Reclaimed, usage: j.Size}
		m.lastAttempt[d.Placement.Task] = d.Placement.Attempt
		m.waiting[j.ID]--
		m.checkWorker(d.Placement.Worker)
		m.checkQuota(j.Team)
	}
	for id, started := range gangs {
		if m.waiting[id] != 0 {
			m.t.Fatalf("gang %s: %d tasks started, %d left waiting", id, started, m.waiting[id])
		}
	}
	return decisions
}

func (m *model) checkOrder(d placer.Decision) {
	m.t.Helper()
	h := m.held[d.Placement.Task]
	if h == nil || h.placement != d.Placement {
		m.t.Fatalf("%s for an attempt that is not running: %+v", d.Verb, d.Placement)
	}
	if d.Verb == modeler.CheckpointTask && (!h.job.Checkpoint || h.job.Kind == modeler.Gang) {
		m.t.Fatalf("checkpoint of a task that can't be checkpointed: %+v", d.Placement)
	}
	if d.Verb == modeler.StopTask && m.isLive(h.job.ID) {
		m.t.Fatalf("stop of a task whose job was not cancelled: %+v", d.Placement)
	}
}

func (m *model) checkStart(d placer.Decision) {
	m.t.Helper()
	placement := d.Placement
	j, ok := m.jobs[placement.Task.Job]
	if !ok || m.waiting[j.ID] <= 0 {
		m.t.Fatalf("start of a task that doesn't wait: %+v", placement)
	}
	if m.held[placement.Task] != nil {
		m.t.Fatalf("task has two running attempts: %+v and %+v", m.held[placement.Task].placement, placement)
	}
	if placement.Attempt <= m.lastAttempt[placement.Task] {
		m.t.Fatalf("attempt number %d follows attempt number %d", placement.Attempt, m.lastAttempt[placement.Task])
	}
	w, ok := m.workers[placement.Worker]
	if !ok || m.lost[w.ID] || w.Leaving || w.Generation != placement.Generation {
		m.t.Fatalf("start on a worker that is lost, leaving or of another generation: %+v", placement)
	}
	if d.Reclaimed && !j.Checkpoint {
		m.t.Fatalf("start in reclaimed room of a task that can't be checkpointed: %+v", placement)
	}
	if !allowed(j.Constraint, w) {
		m.t.Fatalf("constraint %+v is not met by worker %+v", j.Constraint, w)
	}
}

func allowed(where modeler.Constraint, w placer.Worker) bool {
	ok := len(where.Domains) == 0 || contains(where.Domains, w.Domain)
	ok = ok && (len(where.Racks) == 0 || contains(where.Racks, w.Rack))
	ok = ok && (len(where.Regions) == 0 || contains(where.Regions, w.Region))
	for _, label := range where.Labels {
		ok = ok && contains(w.Labels, label)
	}
	return ok
}

func contains[T comparable](list []T, item T) bool {
	for _, other := range list {
		if other == item {
			return true
		}
	}
	return false
}

// checkWorker checks that the tasks on a worker exceed its capacity neither by
// declared size nor by usage.
func (m *model) checkWorker(id modeler.WorkerID) {
	m.t.Helper()
	var declared, used modeler.Resources
	for _, h := range m.held {
		if h.placement.Worker != id {
			continue
		}
		if !h.reclaimed {
			declared = declared.Add(h.job.Size)
		}
		used = used.Add(h.usage)
	}
	capacity := m.workers[id].Capacity
	if !declared.Fits(capacity) {
		m.t.Fatalf("worker %s has capacity %+v and tasks of declared size %+v", id, capacity, declared)
	}
	if !used.Fits(capacity) {
		m.t.Fatalf("worker %s has capacity %+v and its tasks use %+v", id, capacity, used)
	}
}

func (m *model) checkQuota(name modeler.TeamName) {
	m.t.Helper()
	var used modeler.Resources
	for _, h := range m.held {
		if h.job.Team == name {
			used = used.Add(h.job.Size)
		}
	}
	if !used.Fits(m.teams[name].Quota) {
		m.t.Fatalf("team %s has quota %+v and its tasks hold %+v", name, m.teams[name].Quota, used)
	}
}

// checkExact checks that no waiting task fits on any worker. This is required
// only if there are no earmarks, reservations, reclaimed room and quarantines.
func (m *model) checkExact() {
	m.t.Helper()
	free := map[modeler.WorkerID]modeler.Resources{}
	for id, w := range m.workers {
		if !m.lost[id] && !w.Leaving {
			free[id] = w.Capacity
		}
	}
	for _, h := range m.held {
		if room, ok := free[h.placement.Worker]; ok {
			free[h.placement.Worker] = room.Sub(h.job.Size)
		}
	}
	for id, n := range m.waiting {
		j := m.jobs[id]
		if n <= 0 || j.Kind == modeler.Gang {
			continue
		}
		for worker, room := range free {
			if j.Size.Fits(room) && allowed(j.Constraint, m.workers[worker]) {
				m.t.Fatalf("job %s with tasks of %+v waits, although worker %s has %+v free: %s", id, j.Size, worker, room, m.p.ExplainWait(id))
			}
		}
	}
}
