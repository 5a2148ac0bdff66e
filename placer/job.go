package placer

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// class separates urgent from other work.
type class uint8

const (
	urgent class = iota
	normal
	classes
)

// jobState tells where a job with waiting tasks is kept.
type jobState uint8

const (
	idle     jobState = iota // nothing waits, or all of it has earmarks
	queued                   // in the team's queue
	parked                   // no room for it; woken when some worker's room grows
	ganged                   // a gang without room; tried again from time to time
	oversize                 // larger than its team's quota
)

// job is a job with its tasks.
type job struct {
	modeler.Job
	team     *team
	class    class
	sequence uint64 // order of arrival
	state    jobState
	dead     bool // cancelled
	tasks    []task
	fresh    int // tasks from here on were never placed
	again    []modeler.TaskIndex
	placed   int
	over     int
	// leaf is the job's place in the team's list of parked jobs, -1 if none.
	leaf int
	// stuck is when the job last found no room after it had found some.
	stuck   modeler.ClockReading
	isStuck bool
	// starving says that the job is in the line for the reservation.
	starving  bool
	reserving bool
	expiry    time.Duration
	marked    int // tasks that have an earmark
	// retry is when a gang without room is tried again.
	retry    modeler.ClockReading
	seen     uint64 // growths at the last attempt
	possible possible
	evidence evidence
	// byDomain, byRack and byWorker count the placed tasks of a service.
	byDomain []int32
	byRack   map[*rack]int32
	byWorker map[*worker]int32
}

// taskState is the state of a task in the placer.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced
	taskOver
)

// task is one task of a job with its current attempt.
type task struct {
	job        *job
	index      modeler.TaskIndex
	attempt    modeler.Attempt
	state      taskState
	worker     *worker
	at         int // position in the worker's tasks
	generation modeler.Generation
	started    modeler.ClockReading
	estimate   modeler.Resources
	peak       modeler.Resources
	reports    int
	overruns   int
	reclaimed  bool
	stopping   bool
	throttled  bool
	// unknown says that the outcome of the start is unknown.
	unknown bool
	domain  *domain
	rack    *rack
}

func (t *task) id() modeler.TaskID {
	return modeler.TaskID{Job: t.job.ID, Index: t.index}
}

func (t *task) placement() modeler.Placement {
	return modeler.Placement{
		Task:       t.id(),
		Attempt:    t.attempt,
		Worker:     t.worker.ID,
		Generation: t.generation,
	}
}

// waiting counts the tasks that are to be placed.
func (j *job) waiting() int {
	if j.dead {
		return 0
	}
	return len(j.tasks) - j.fresh + len(j.again)
}

// unmarked counts the waiting tasks without an earmark.
func (j *job) unmarked() int { return j.waiting() - j.marked }

// reclaims reports whether the job's tasks may run in reclaimed room.
func (j *job) reclaims() bool {
	return j.Checkpoint && j.Kind == modeler.Batch && !j.Urgent
}

// movable reports whether the job's tasks may be checkpointed for urgent work. A
// gang is left whole: without one of its tasks the others would hold their room
// for nothing.
func (j *job) movable() bool {
	return j.Checkpoint && !j.Urgent && j.Kind != modeler.Gang
}

// need is what the next decision for the job takes at once.
func (j *job) need() modeler.Resources {
	if j.Kind == modeler.Gang {
		return j.Size.Times(int64(j.waiting()))
	}
	return j.Size
}

// next takes a waiting task; tasks that ran before go first.
func (j *job) next() *task {
	if n := len(j.again); n > 0 {
		t := &j.tasks[j.again[n-1]]
		j.again = j.again[:n-1]
		return t
	}
	t := &j.tasks[j.fresh]
	j.fresh++
	return t
}

// settle counts the task of a service where it is; w is nil when it leaves.
func (j *job) settle(t *task, w *worker) {
	if j.Kind != modeler.LongRunning {
		return
	}
	if t.domain != nil {
		j.byDomain[t.domain.index]--
		drop(j.byRack, t.rack)
		if j.byWorker[t.worker]--; j.byWorker[t.worker] == 0 {
			delete(j.byWorker, t.worker)
		}
		t.domain, t.rack = nil, nil
	}
	if w == nil || w.domain == nil {
		return
	}
	t.domain, t.rack = w.domain, w.rack
	for len(j.byDomain) <= w.domain.index {
		j.byDomain = append(j.byDomain, 0)
	}
	j.byDomain[w.domain.index]++
	if j.byRack == nil {
		j.byRack = map[*rack]int32{}
		j.byWorker = map[*worker]int32{}
	}
	j.byRack[w.rack]++
	j.byWorker[w]++
}

func drop(counts map[*rack]int32, r *rack) {
	if counts[r]--; counts[r] == 0 {
		delete(counts, r)
	}
}

func (j *job) inDomain(d *domain) int32 {
	if d.index >= len(j.byDomain) {
		return 0
	}
	return j.byDomain[d.index]
}

// Submit takes in a job that Check has accepted; a job that is already known
// is ignored.
func (p *Placer) Submit(now modeler.ClockReading, desc modeler.Job) {
	p.now = now
	if p.jobs[desc.ID] != nil {
		return
	}
	j := p.addJob(desc)
	p.enqueue(j)
}

func (p *Placer) addJob(desc modeler.Job) *job {
	p.sequence++
	j := &job{
		Job:      desc,
		team:     p.teamOf(desc.Team),
		class:    normal,
		sequence: p.sequence,
		leaf:     -1,
		tasks:    make([]task, desc.Tasks),
	}
	if desc.Urgent {
		j.class = urgent
	}
	for i := range j.tasks {
		j.tasks[i].job = j
		j.tasks[i].index = modeler.TaskIndex(i)
	}
	j.team.waiting += len(j.tasks)
	p.waiting[j.class] += len(j.tasks)
	p.jobs[desc.ID] = j
	return j
}

// Restore takes in a job with what the replicated state says of its tasks;
// tasks without a record wait. A worker that has not been heard from yet is
// kept as lost until SetWorker is called for it.
func (p *Placer) Restore(now modeler.ClockReading, desc modeler.Job, records []TaskRecord) {
	p.now = now
	if p.jobs[desc.ID] != nil {
		return
	}
	j := p.addJob(desc)
	j.fresh = len(j.tasks)
	for i := range records {
		p.restoreTask(j, &records[i])
	}
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			j.again = append(j.again, modeler.TaskIndex(i))
		}
	}
	if j.waiting() > 0 {
		p.enqueue(j)
	}
	p.forget(j)
}

func (p *Placer) restoreTask(j *job, record *TaskRecord) {
	if int(record.Index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[record.Index]
	t.attempt = record.Attempt
	if record.Over {
		t.state = taskOver
		j.over++
		p.countWaiting(j, -1)
		return
	}
	if record.Worker == "" {
		return
	}
	w := p.workers[record.Worker]
	if w == nil {
		w = p.addWorker(record.Worker)
		w.Generation = record.Generation
	}
	p.take(t, w, plainRoom)
	t.generation = record.Generation
	p.countWaiting(j, -1)
}

func (p *Placer) countWaiting(j *job, n int) {
	j.team.waiting += n
	p.waiting[j.class] += n
}

// Cancel ends jobs: what waits is dropped at once, and what runs is stopped by
// later decisions and keeps its room until Ended is called for it. The cost is
// constant for each job and each running task.
func (p *Placer) Cancel(now modeler.ClockReading, ids ...modeler.JobID) {
	p.now = now
	for _, id := range ids {
		j := p.jobs[id]
		if j == nil || j.dead {
			continue
		}
		p.countWaiting(j, -j.waiting())
		j.dead = true
		if j.placed > 0 {
			p.stops = append(p.stops, stop{job: j})
		}
		p.forget(j)
	}
}

// forget drops a job of which nothing waits or runs. A dead job may still be
// in a queue, where it is skipped when it is met.
func (p *Placer) forget(j *job) {
	if j.placed == 0 && j.waiting() == 0 {
		delete(p.jobs, j.ID)
		if p.held != nil && p.held.job == j {
			p.endReservation(false)
		}
	}
}
