package placer

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// class is the priority class of a job.
type class uint8

const (
	urgent class = iota
	normal
	classes // number of classes
)

// jobState says in which list a job waits for the placement of its tasks.
type jobState uint8

const (
	idle        jobState = iota // in none: no task waits, or all that wait have earmarks
	queued                      // in the team's queue
	parked                      // without room; tried again when a worker's room grows
	gangWaiting                 // a gang without room; retried after a delay
	oversize                    // set aside, because it exceeds its team's whole quota
)

// job is a job with the placement state of its tasks.
type job struct {
	modeler.Job
	team     *team
	class    class
	sequence uint64 // arrival number
	state    jobState
	// isCancelled says that the job was cancelled or withdrawn.
	isCancelled bool
	tasks       []task
	// firstUnplaced is the index of the first task that was never placed.
	firstUnplaced int
	// again lists the waiting tasks that were placed before.
	again         []modeler.TaskIndex
	placed        int // number of placed tasks
	finishedTasks int // number of finished tasks
	// parkedIndex is the job's index in parkedJobs.jobs, -1 if it has none.
	parkedIndex int
	// isStuck says that the last attempt to place the job found no room;
	// stuckSince is the time of the first such attempt since the last placement
	// or the end of the job's last reservation.
	stuckSince modeler.ClockReading
	isStuck    bool
	// isStarving says that the job is in the queue for the reservation.
	isStarving     bool
	hasReservation bool
	// reservationTimeout is the timeout of the last reservation, 0 if that was
	// used or there was none.
	reservationTimeout time.Duration
	earmarkedTasks     int // number of tasks that earmarks hold room for
	// retryAt is when a gang without room is tried again.
	retryAt         modeler.ClockReading
	seenGrowthCount uint64 // growthCount at the last attempt to place the gang
	emptyCapacity   emptyCapacity
	evidence        evidence
	// byDomain, byRack and byWorker count the placed tasks of a service.
	byDomain []int32
	byRack   map[*rack]int32
	byWorker map[*worker]int32
}

// taskState says whether a task waits, is placed, or is finished.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced
	taskFinished
)

// task is one task of a job with its current attempt.
type task struct {
	job         *job
	index       modeler.TaskIndex
	attempt     modeler.Attempt
	state       taskState
	worker      *worker
	workerIndex int // index in worker.tasks
	generation  modeler.Generation
	started     modeler.ClockReading
	estimate    modeler.Resources
	peakUsage   modeler.Resources
	reports     int // number of usage reports
	overruns    int // consecutive reports above the declared size
	reclaimed   bool
	isStopping  bool
	throttled   bool
	// startUnknown says that it is not known whether the worker started the
	// attempt.
	startUnknown bool
	// domain and rack are where countPlacement counted the task, nil if nowhere.
	domain *domain
	rack   *rack
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

// waiting returns the number of tasks that wait for a placement.
func (j *job) waiting() int {
	if j.isCancelled {
		return 0
	}
	return len(j.tasks) - j.firstUnplaced + len(j.again)
}

// unearmarked returns the number of waiting tasks without an earmark.
func (j *job) unearmarked() int { return j.waiting() - j.earmarkedTasks }

// canReclaim reports whether the job's tasks may run in reclaimed room.
func (j *job) canReclaim() bool {
	return j.Checkpoint && j.Kind == modeler.Batch && !j.Urgent
}

// preemptible reports whether the job's tasks may be checkpointed for urgent
// work. Tasks of a gang may not, because the other tasks of the gang would keep
// their resources without making progress.
func (j *job) preemptible() bool {
	return j.Checkpoint && !j.Urgent && j.Kind != modeler.Gang
}

// demand returns the resources that the job's next placement takes: those of all
// waiting tasks of a gang, or of one task of another job.
func (j *job) demand() modeler.Resources {
	if j.Kind == modeler.Gang {
		return j.Size.Times(int64(j.waiting()))
	}
	return j.Size
}

// takeWaitingTask removes a task from the waiting ones and returns it. Tasks
// that were placed before come first.
func (j *job) takeWaitingTask() *task {
	if n := len(j.again); n > 0 {
		t := &j.tasks[j.again[n-1]]
		j.again = j.again[:n-1]
		return t
	}
	t := &j.tasks[j.firstUnplaced]
	j.firstUnplaced++
	return t
}

// countPlacement moves a task of a service to the worker in the counts by
// domain, rack and worker; a nil w only removes it. It does nothing for other
// jobs.
func (j *job) countPlacement(t *task, w *worker) {
	if j.Kind != modeler.LongRunning {
		return
	}
	if t.domain != nil {
		j.byDomain[t.domain.index]--
		decrementRack(j.byRack, t.rack)
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

func decrementRack(counts map[*rack]int32, r *rack) {
	if counts[r]--; counts[r] == 0 {
		delete(counts, r)
	}
}

func (j *job) tasksInDomain(d *domain) int32 {
	if d.index >= len(j.byDomain) {
		return 0
	}
	return j.byDomain[d.index]
}

// Submit adds a job that Check has accepted and queues its tasks. It does
// nothing if the job is already known.
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
		Job:         desc,
		team:        p.teamOf(desc.Team),
		class:       normal,
		sequence:    p.sequence,
		parkedIndex: -1,
		tasks:       make([]task, desc.Tasks),
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

// Restore adds a job with the state of its tasks from the replicated state;
// tasks without a record wait for a placement. A worker that is named in a
// record and not known yet counts as lost until SetWorker is called for it.
// Restore does nothing if the job is already known.
func (p *Placer) Restore(now modeler.ClockReading, desc modeler.Job, records []TaskRecord) {
	p.now = now
	if p.jobs[desc.ID] != nil {
		return
	}
	j := p.addJob(desc)
	j.firstUnplaced = len(j.tasks)
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
	p.forgetIfDone(j)
}

func (p *Placer) restoreTask(j *job, record *TaskRecord) {
	if int(record.Index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[record.Index]
	t.attempt = record.Attempt
	if record.Over {
		t.state = taskFinished
		j.finishedTasks++
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
	p.assignTask(t, w, freeRoom)
	t.generation = record.Generation
	p.countWaiting(j, -1)
}

func (p *Placer) countWaiting(j *job, n int) {
	j.team.waiting += n
	p.waiting[j.class] += n
}

// Cancel cancels jobs. Waiting tasks are dropped at once; running tasks are
// stopped by later decisions and keep their resources until EndAttempt is called for
// them. The cost is constant for each job and each running task.
func (p *Placer) Cancel(now modeler.ClockReading, ids ...modeler.JobID) {
	p.now = now
	for _, id := range ids {
		j := p.jobs[id]
		if j == nil || j.isCancelled {
			continue
		}
		p.countWaiting(j, -j.waiting())
		j.isCancelled = true
		if j.placed > 0 {
			p.jobStops = append(p.jobStops, jobStop{job: j})
		}
		p.forgetIfDone(j)
	}
}

// forgetIfDone removes a job that has no waiting or placed task. It may still be
// in a queue, which skips it when it gets to the head.
func (p *Placer) forgetIfDone(j *job) {
	if j.placed == 0 && j.waiting() == 0 {
		delete(p.jobs, j.ID)
		if p.reserved != nil && p.reserved.job == j {
			p.endReservation(false)
		}
	}
}
