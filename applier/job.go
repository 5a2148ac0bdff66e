package applier

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// Phase is a task's position in its life cycle.
type Phase uint8

// The phases of a task.
const (
	PhaseWaiting Phase = iota
	PhasePlaced
	PhaseEnded
)

// String returns the phase's name.
func (p Phase) String() string {
	switch p {
	case PhaseWaiting:
		return "waiting"
	case PhasePlaced:
		return "placed"
	default:
		return "ended"
	}
}

// Task is the replicated state of one task.
type Task struct {
	Phase      Phase              `cbor:"1,keyasint,omitempty"`
	Attempt    modeler.Attempt    `cbor:"2,keyasint,omitempty"`
	Worker     modeler.WorkerID   `cbor:"3,keyasint,omitempty"`
	Generation modeler.Generation `cbor:"4,keyasint,omitempty"`
	State      modeler.TaskState  `cbor:"5,keyasint,omitempty"`
	Detail     string             `cbor:"6,keyasint,omitempty"`
	// FormerVersion is the First of the earlier spec version that the placed attempt
	// runs, 0 if it runs the current one.
	FormerVersion modeler.Attempt `cbor:"7,keyasint,omitempty"`
	// Leaving is set while the placed attempt is being stopped for a change of
	// the service.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Ready is set, during a change of the service, if the attempt counts as in
	// service.
	Ready bool `cbor:"9,keyasint,omitempty"`
}

// Job is the replicated state of a job and its tasks.
type Job struct {
	Spec modeler.Job `cbor:"1,keyasint"`
	// FromTicket is set if a ticket defines the job, not a submission.
	FromTicket bool              `cbor:"2,keyasint,omitempty"`
	Cancelled  bool              `cbor:"3,keyasint,omitempty"`
	Created    modeler.Timestamp `cbor:"4,keyasint"`
	Ended      modeler.Timestamp `cbor:"5,keyasint,omitempty"`
	Tasks      []Task            `cbor:"6,keyasint"`
	// NextSpec is the spec that replaces the job once all its tasks have ended.
	NextSpec *modeler.Job `cbor:"7,keyasint,omitempty"`
	// First identifies the version of the spec: the number that all attempts of
	// this version exceed.
	First modeler.Attempt `cbor:"8,keyasint"`
	// OpenTasks is the number of tasks that haven't ended.
	OpenTasks int `cbor:"9,keyasint"`
	// Change is set while the tasks of a changed service are replaced. The
	// pointer is exchanged, and what it points to is never changed, so that
	// copies of the state can share it.
	Change *ServiceChange `cbor:"10,keyasint,omitempty"`
}

// Placement returns the placement of the task with index i.
func (j *Job) Placement(i int) modeler.Placement {
	task := &j.Tasks[i]
	return modeler.Placement{
		Task:       modeler.TaskID{Job: j.Spec.ID, Index: modeler.TaskIndex(i)},
		Attempt:    task.Attempt,
		Worker:     task.Worker,
		Generation: task.Generation,
	}
}

// HasEnded reports whether every task has ended.
func (j *Job) HasEnded() bool { return j.OpenTasks == 0 }

// Job returns the job with the id; false if there is none.
func (a *Applier) Job(id modeler.JobID) (*Job, bool) {
	job, found := a.jobs[id]
	return job, found
}

// EachJob calls visit for every job, in no particular order.
func (a *Applier) EachJob(visit func(*Job)) {
	for _, job := range a.jobs {
		visit(job)
	}
}

// JobsInOrder returns the jobs in the order of their arrival.
func (a *Applier) JobsInOrder() []*Job {
	out := slices.Collect(maps.Values(a.jobs))
	slices.SortFunc(out, func(x, y *Job) int {
		// The jobs of one ticket share an index.
		return cmp.Or(cmp.Compare(x.First, y.First), cmp.Compare(x.Spec.ID, y.Spec.ID))
	})
	return out
}

// addJob creates the job. Its attempts start above the log index and above
// those of the job that it replaces, so that a worker never mistakes an attempt
// for one of an earlier job with the same id. Attempts of placements that could
// not be proposed are used up without a log entry, so attempts can exceed the
// index.
func (a *Applier) addJob(index modeler.Index, spec modeler.Job, ticket bool, created modeler.Timestamp) {
	first := modeler.Attempt(index)
	if former, found := a.jobs[spec.ID]; found {
		first = former.highestAttempt(first)
	}
	job := &Job{
		Spec:       spec,
		FromTicket: ticket,
		Created:    created,
		Tasks:      make([]Task, spec.Tasks),
		First:      first,
		OpenTasks:  spec.Tasks,
	}
	for i := range job.Tasks {
		job.Tasks[i].Attempt = job.First
	}
	a.jobs[spec.ID] = job
	a.addChange(Change{Kind: JobAdded, Job: spec, First: job.First})
}

// highestAttempt returns the highest of first and the attempts of the job's
// tasks.
func (j *Job) highestAttempt(first modeler.Attempt) modeler.Attempt {
	for i := range j.Tasks {
		first = max(first, j.Tasks[i].Attempt)
	}
	return first
}

// setTicketJob adds or changes a job of a ticket. The tasks of a changed
// service are replaced a few at a time; any other changed job is cancelled, and
// the new one starts when all tasks of the old one have ended.
func (a *Applier) setTicketJob(index modeler.Index, spec *modeler.Job) {
	job, found := a.jobs[spec.ID]
	if !found || job.HasEnded() {
		a.addJob(index, *spec, true, a.now)
		return
	}
	if !job.Cancelled && reflect.DeepEqual(job.Spec, *spec) {
		return
	}
	if !job.Cancelled && job.Spec.Kind == modeler.LongRunning && spec.Kind == modeler.LongRunning {
		a.reviseJob(index, job, spec)
		return
	}
	next := *spec
	a.cancelJob(spec.ID)
	if job.HasEnded() {
		a.addJob(index, next, true, a.now)
		return
	}
	job.NextSpec = &next
}

func (a *Applier) cancelJobs(c *modeler.Cancellation) modeler.Result {
	unknown := 0
	for _, id := range c.Jobs {
		if _, found := a.jobs[id]; !found {
			unknown++
			continue
		}
		if _, inTicket := a.cell.Jobs[id]; inTicket {
			return modeler.Result{
				Kind:   classifier.Malformed,
				Detail: fmt.Sprintf("job %q is held by a ticket; remove it by a ticket", id),
			}
		}
	}
	for _, id := range c.Jobs {
		a.cancelJob(id)
	}
	if unknown == len(c.Jobs) {
		return modeler.Result{Kind: classifier.UnknownJob, Detail: "no job has this id"}
	}
	return modeler.Result{}
}

// cancelJob ends the job's waiting tasks immediately; the placed ones end when
// their workers have stopped them.
func (a *Applier) cancelJob(id modeler.JobID) {
	job, found := a.jobs[id]
	if !found {
		return
	}
	job.NextSpec = nil
	if job.Cancelled || job.HasEnded() {
		return
	}
	job.Cancelled = true
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.Phase == PhaseWaiting {
			task.Phase = PhaseEnded
			task.State = modeler.TaskStopped
			job.OpenTasks--
		}
	}
	a.addChange(Change{Kind: JobCancelled, Job: job.Spec})
	a.finishJob(job)
}

// finishJob records the end of a job whose tasks have all ended, or starts its
// successor.
func (a *Applier) finishJob(job *Job) {
	if !job.HasEnded() || job.Ended != 0 {
		return
	}
	if job.NextSpec != nil {
		a.addJob(a.applied, *job.NextSpec, true, a.now)
		return
	}
	job.Change = nil
	job.Ended = a.now
	a.ended = append(a.ended, endedJob{id: job.Spec.ID, endedAt: a.now})
}

func (a *Applier) removeExpiredJobs() {
	for len(a.ended) > 0 && a.ended[0].endedAt.Add(endedJobRetention) <= a.now {
		oldest := a.ended[0]
		a.ended = a.ended[1:]
		job, found := a.jobs[oldest.id]
		if found && job.Ended == oldest.endedAt && job.HasEnded() {
			delete(a.jobs, oldest.id)
		}
	}
}

// placeTasks records the placements whose tasks still wait for one. For the
// others it adds no change, so the leader doesn't start them.
func (a *Applier) placeTasks(placements []modeler.Placement) modeler.Result {
	refused := 0
	for _, p := range placements {
		task := a.task(p.Task)
		if task == nil || a.jobs[p.Task.Job].Cancelled || task.Phase != PhaseWaiting || p.Attempt <= task.Attempt {
			refused++
			continue
		}
		if p.Version != 0 && p.Version != a.jobs[p.Task.Job].First {
			// The placement was decided for another size or constraint.
			refused++
			continue
		}
		task.Phase = PhasePlaced
		task.Attempt = p.Attempt
		task.Worker = p.Worker
		task.Generation = p.Generation
		task.State = ""
		a.addChange(Change{Kind: TaskPlaced, Placement: p})
	}
	if refused > 0 {
		return modeler.Result{Detail: fmt.Sprintf("%d placements were no longer due", refused)}
	}
	return modeler.Result{}
}

func (a *Applier) endTasks(ends []modeler.TaskEnd) modeler.Result {
	for _, end := range ends {
		task := a.task(end.Task)
		if task == nil || task.Phase != PhasePlaced || task.Attempt != end.Attempt {
			continue
		}
		a.endTask(a.jobs[end.Task.Job], task, end)
	}
	return modeler.Result{}
}

func (a *Applier) endTask(job *Job, task *Task, end modeler.TaskEnd) {
	task.State = end.State
	task.Detail = end.Detail
	former := task.FormerVersion
	end.Retry = job.shouldRetry(task, &end)
	job.recordFailure(task, &end)
	task.FormerVersion, task.Leaving, task.Ready = 0, false, false
	a.addChange(Change{Kind: TaskEnded, End: end, FormerVersion: former})
	if end.Retry {
		task.Phase = PhaseWaiting
		if former != 0 {
			task.Attempt = max(task.Attempt, job.First)
		}
		a.updateChange(job)
		return
	}
	task.Phase = PhaseEnded
	job.OpenTasks--
	a.updateChange(job)
	a.finishJob(job)
}

func (a *Applier) task(id modeler.TaskID) *Task {
	job, found := a.jobs[id.Job]
	if !found || int(id.Index) >= len(job.Tasks) {
		return nil
	}
	return &job.Tasks[id.Index]
}

// restoreEndedJobs rebuilds the list of ended jobs from a snapshot, oldest
// first.
func (a *Applier) restoreEndedJobs() {
	for id, job := range a.jobs {
		if job.Ended != 0 {
			a.ended = append(a.ended, endedJob{id: id, endedAt: job.Ended})
		}
	}
	slices.SortFunc(a.ended, func(x, y endedJob) int { return cmp.Compare(x.endedAt, y.endedAt) })
}
