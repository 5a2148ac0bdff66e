package placer_test

import (
	"fmt"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

const gib = modeler.Bytes(1 << 30)

func res(millicores, gibs, accelerators int64) modeler.Resources {
	return modeler.Resources{
		Processors:   modeler.Millicores(millicores),
		Memory:       modeler.Bytes(gibs) * gib,
		Accelerators: modeler.Accelerators(accelerators),
	}
}

// fataler is what *testing.T, *testing.B and *rapid.T have in common here.
type fataler interface {
	Fatalf(format string, args ...any)
	Helper()
}

// held is an attempt that has been given out and has not ended.
type held struct {
	at        modeler.Placement
	job       modeler.Job
	reclaimed bool
	usage     modeler.Resources // the last report, or the declared size
}

// model follows a placer from outside and checks every decision against its
// own record of who holds what.
type model struct {
	t       fataler
	p       *placer.Placer
	now     modeler.ClockReading
	workers map[modeler.WorkerID]placer.Worker
	lost    map[modeler.WorkerID]bool
	teams   map[modeler.TeamName]modeler.Team
	jobs    map[modeler.JobID]modeler.Job
	waiting map[modeler.JobID]int
	held    map[modeler.TaskID]*held
	last    map[modeler.TaskID]modeler.Attempt
	orders  map[modeler.TaskID]modeler.TaskVerb
}

func newModel(t fataler, settings placer.Settings) *model {
	return &model{
		t:       t,
		p:       placer.New(settings),
		now:     modeler.ClockReading(time.Hour),
		workers: map[modeler.WorkerID]placer.Worker{},
		lost:    map[modeler.WorkerID]bool{},
		teams:   map[modeler.TeamName]modeler.Team{},
		jobs:    map[modeler.JobID]modeler.Job{},
		waiting: map[modeler.JobID]int{},
		held:    map[modeler.TaskID]*held{},
		last:    map[modeler.TaskID]modeler.Attempt{},
		orders:  map[modeler.TaskID]modeler.TaskVerb{},
	}
}

func (m *model) pass(d time.Duration) { m.now = m.now.Add(d) }

func (m *model) worker(w placer.Worker) {
	m.workers[w.ID] = w
	delete(m.lost, w.ID)
	m.p.SetWorker(m.now, w)
}

// cell adds n workers, six to a rack, dealt out over the failure domains.
func (m *model) cell(n, domains int, capacity modeler.Resources) {
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

func (m *model) lose(id modeler.WorkerID) {
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

func (m *model) end(id modeler.TaskID, state modeler.TaskState, again bool) {
	h := m.held[id]
	delete(m.held, id)
	delete(m.orders, id)
	if again && m.waiting[id.Job] >= 0 {
		m.waiting[id.Job]++
	}
	m.p.Ended(m.now, modeler.TaskEnd{Task: id, Attempt: h.at.Attempt, State: state, Retry: again})
}

// endLost ends the attempts on lost workers and those of older generations, as
// the caller does once their leases are over.
func (m *model) endLost() {
	for id, h := range m.held {
		w := m.workers[h.at.Worker]
		if m.lost[w.ID] || w.Generation != h.at.Generation {
			m.end(id, modeler.TaskStopped, m.waiting[id.Job] > 0 || m.live(id.Job))
		}
	}
}

// live reports whether the job has not been cancelled.
func (m *model) live(id modeler.JobID) bool {
	_, ok := m.jobs[id]
	return ok
}

func (m *model) report(id modeler.TaskID, usage modeler.Resources) {
	h := m.held[id]
	h.usage = usage
	m.p.Usage(m.now, h.at.Worker, h.at.Generation, []modeler.TaskReport{
		{Task: id, Attempt: h.at.Attempt, State: modeler.TaskRunning, Usage: usage},
	})
}

// decide takes decisions and checks each of them.
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
		m.held[d.Placement.Task] = &held{at: d.Placement, job: j, reclaimed: d.Reclaimed, usage: j.Size}
		m.last[d.Placement.Task] = d.Placement.Attempt
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
	if h == nil || h.at != d.Placement {
		m.t.Fatalf("%s for an attempt that is not held: %+v", d.Verb, d.Placement)
	}
	if d.Verb == modeler.CheckpointTask && (!h.job.Checkpoint || h.job.Kind == modeler.Gang) {
		m.t.Fatalf("checkpoint of a task that can't be: %+v", d.Placement)
	}
	if d.Verb == modeler.StopTask && m.live(h.job.ID) {
		m.t.Fatalf("stop of a task that was not cancelled: %+v", d.Placement)
	}
}

func (m *model) checkStart(d placer.Decision) {
	m.t.Helper()
	at := d.Placement
	j, ok := m.jobs[at.Task.Job]
	if !ok || m.waiting[j.ID] <= 0 {
		m.t.Fatalf("start of a task that doesn't wait: %+v", at)
	}
	if m.held[at.Task] != nil {
		m.t.Fatalf("task in two places: %+v and %+v", m.held[at.Task].at, at)
	}
	if at.Attempt <= m.last[at.Task] {
		m.t.Fatalf("attempt %d after attempt %d", at.Attempt, m.last[at.Task])
	}
	w, ok := m.workers[at.Worker]
	if !ok || m.lost[w.ID] || w.Leaving || w.Generation != at.Generation {
		m.t.Fatalf("start on a worker that can't take it: %+v", at)
	}
	if d.Reclaimed && !j.Checkpoint {
		m.t.Fatalf("reclaimed room for work that can't be checkpointed: %+v", at)
	}
	if !allowed(j.Constraint, w) {
		m.t.Fatalf("constraint %+v broken on %+v", j.Constraint, w)
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

// checkWorker checks the room of a worker that has just been given a task.
func (m *model) checkWorker(id modeler.WorkerID) {
	m.t.Helper()
	var declared, used modeler.Resources
	for _, h := range m.held {
		if h.at.Worker != id {
			continue
		}
		if !h.reclaimed {
			declared = declared.Add(h.job.Size)
		}
		used = used.Add(h.usage)
	}
	capacity := m.workers[id].Capacity
	if !declared.Fits(capacity) {
		m.t.Fatalf("worker %s has %+v and was given %+v", id, capacity, declared)
	}
	if !used.Fits(capacity) {
		m.t.Fatalf("worker %s has %+v and its tasks use %+v", id, capacity, used)
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
		m.t.Fatalf("team %s has quota %+v and holds %+v", name, m.teams[name].Quota, used)
	}
}

// checkExact checks that no waiting task fits on any worker; it holds where
// nothing is earmarked, reserved, reclaimed or in quarantine.
func (m *model) checkExact() {
	m.t.Helper()
	free := map[modeler.WorkerID]modeler.Resources{}
	for id, w := range m.workers {
		if !m.lost[id] && !w.Leaving {
			free[id] = w.Capacity
		}
	}
	for _, h := range m.held {
		if room, ok := free[h.at.Worker]; ok {
			free[h.at.Worker] = room.Sub(h.job.Size)
		}
	}
	for id, n := range m.waiting {
		j := m.jobs[id]
		if n <= 0 || j.Kind == modeler.Gang {
			continue
		}
		for worker, room := range free {
			if j.Size.Fits(room) && allowed(j.Constraint, m.workers[worker]) {
				m.t.Fatalf("job %s of %+v waits, worker %s has %+v: %s", id, j.Size, worker, room, m.p.Why(id))
			}
		}
	}
}
