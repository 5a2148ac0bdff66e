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

// Phase is where a task stands.
type Phase uint8

// The phases of a task.
const (
	Waiting Phase = iota
	Placed
	Ended
)

// String returns the phase's name.
func (p Phase) String() string {
	switch p {
	case Waiting:
		return "waiting"
	case Placed:
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
	// Former is the First of the earlier content that the placed attempt
	// runs, 0 if it runs the job's own.
	Former modeler.Attempt `cbor:"7,keyasint,omitempty"`
	// Leaving says that the placed attempt is being stopped for a change.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Ready says, during a change, that the attempt counts as in service.
	Ready bool `cbor:"9,keyasint,omitempty"`
}

// Job is a job with its tasks.
type Job struct {
	Spec modeler.Job `cbor:"1,keyasint"`
	// Ticket says that a ticket holds the job.
	Ticket    bool              `cbor:"2,keyasint,omitempty"`
	Cancelled bool              `cbor:"3,keyasint,omitempty"`
	Created   modeler.Timestamp `cbor:"4,keyasint"`
	Ended     modeler.Timestamp `cbor:"5,keyasint,omitempty"`
	Tasks     []Task            `cbor:"6,keyasint"`
	// Next replaces the job once all tasks of the current one have ended.
	Next *modeler.Job `cbor:"7,keyasint,omitempty"`
	// First is the attempt before the first one.
	First modeler.Attempt `cbor:"8,keyasint"`
	// Open counts the tasks that have not ended.
	Open int `cbor:"9,keyasint"`
	// Change is set while the tasks of a changed service are replaced. It is
	// never altered, only exchanged.
	Change *ServiceChange `cbor:"10,keyasint,omitempty"`
}

// Placement returns where the task of the index is placed.
func (j *Job) Placement(i int) modeler.Placement {
	task := &j.Tasks[i]
	return modeler.Placement{
		Task:       modeler.TaskID{Job: j.Spec.ID, Index: modeler.TaskIndex(i)},
		Attempt:    task.Attempt,
		Worker:     task.Worker,
		Generation: task.Generation,
	}
}

// Over reports whether every task has ended.
func (j *Job) Over() bool { return j.Open == 0 }

// Job returns a job by its id.
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

// addJob creates the job; attempts start above the log index and above those of
// a job that it replaces, so that a worker never takes an attempt for one it
// knows from a job of the same id. Attempts of placements that could not be
// proposed are used up without an entry, so they can pass the index.
func (a *Applier) addJob(index modeler.Index, spec modeler.Job, ticket bool, created modeler.Timestamp) {
	first := modeler.Attempt(index)
	if former, found := a.jobs[spec.ID]; found {
		first = former.after(first)
	}
	job := &Job{
		Spec:    spec,
		Ticket:  ticket,
		Created: created,
		Tasks:   make([]Task, spec.Tasks),
		First:   first,
		Open:    spec.Tasks,
	}
	for i := range job.Tasks {
		job.Tasks[i].Attempt = job.First
	}
	a.jobs[spec.ID] = job
	a.note(Change{Kind: JobAdded, Job: spec, First: job.First})
}

// after returns the highest of the given attempt and those of the job's tasks.
func (j *Job) after(first modeler.Attempt) modeler.Attempt {
	for i := range j.Tasks {
		first = max(first, j.Tasks[i].Attempt)
	}
	return first
}

// setTicketJob puts a ticket's job in place. The tasks of a changed service are
// replaced a few at a time; any other changed job starts when the tasks of its
// former state have ended.
func (a *Applier) setTicketJob(index modeler.Index, spec *modeler.Job) {
	job, found := a.jobs[spec.ID]
	if !found || job.Over() {
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
	if job.Over() {
		a.addJob(index, next, true, a.now)
		return
	}
	job.Next = &next
}

func (a *Applier) cancel(c *modeler.Cancellation) modeler.Result {
	unknown := 0
	for _, id := range c.Jobs {
		if _, found := a.jobs[id]; !found {
			unknown++
			continue
		}
		if _, held := a.cell.Jobs[id]; held {
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

// cancelJob ends the waiting tasks at once; the placed ones end when their
// workers have stopped them.
func (a *Applier) cancelJob(id modeler.JobID) {
	job, found := a.jobs[id]
	if !found {
		return
	}
	job.Next = nil
	if job.Cancelled || job.Over() {
		return
	}
	job.Cancelled = true
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.Phase == Waiting {
			task.Phase = Ended
			task.State = modeler.TaskStopped
			job.Open--
		}
	}
	a.note(Change{Kind: JobCancelled, Job: job.Spec})
	a.closeJob(job)
}

// closeJob notes the end of a job without open tasks.
func (a *Applier) closeJob(job *Job) {
	if !job.Over() || job.Ended != 0 {
		return
	}
	if job.Next != nil {
		a.addJob(a.applied, *job.Next, true, a.now)
		return
	}
	job.Change = nil
	job.Ended = a.now
	a.ended = append(a.ended, endedJob{id: job.Spec.ID, at: a.now})
}

func (a *Applier) dropEnded() {
	for len(a.ended) > 0 && a.ended[0].at.Add(keepEnded) <= a.now {
		next := a.ended[0]
		a.ended = a.ended[1:]
		job, found := a.jobs[next.id]
		if found && job.Ended == next.at && job.Over() {
			delete(a.jobs, next.id)
		}
	}
}

// place records the placements that are still due; the others are refused by
// their absence from the changes.
func (a *Applier) place(placements []modeler.Placement) modeler.Result {
	refused := 0
	for _, p := range placements {
		task := a.task(p.Task)
		if task == nil || a.jobs[p.Task.Job].Cancelled || task.Phase != Waiting || p.Attempt <= task.Attempt {
			refused++
			continue
		}
		if p.Version != 0 && p.Version != a.jobs[p.Task.Job].First {
			// It was decided for another size or constraint.
			refused++
			continue
		}
		task.Phase = Placed
		task.Attempt = p.Attempt
		task.Worker = p.Worker
		task.Generation = p.Generation
		task.State = ""
		a.note(Change{Kind: TaskPlaced, Placement: p})
	}
	if refused > 0 {
		return modeler.Result{Detail: fmt.Sprintf("%d placements were no longer due", refused)}
	}
	return modeler.Result{}
}

func (a *Applier) end(ends []modeler.TaskEnd) modeler.Result {
	for _, e := range ends {
		task := a.task(e.Task)
		if task == nil || task.Phase != Placed || task.Attempt != e.Attempt {
			continue
		}
		a.endTask(a.jobs[e.Task.Job], task, e)
	}
	return modeler.Result{}
}

func (a *Applier) endTask(job *Job, task *Task, e modeler.TaskEnd) {
	task.State = e.State
	task.Detail = e.Detail
	former := task.Former
	e.Retry = job.again(task, &e)
	job.noteFailure(task, &e)
	task.Former, task.Leaving, task.Ready = 0, false, false
	a.note(Change{Kind: TaskEnded, End: e, Former: former})
	if e.Retry {
		task.Phase = Waiting
		if former != 0 {
			task.Attempt = max(task.Attempt, job.First)
		}
		a.advance(job)
		return
	}
	task.Phase = Ended
	job.Open--
	a.advance(job)
	a.closeJob(job)
}

func (a *Applier) task(id modeler.TaskID) *Task {
	job, found := a.jobs[id.Job]
	if !found || int(id.Index) >= len(job.Tasks) {
		return nil
	}
	return &job.Tasks[id.Index]
}

// restoreEnded lists the ended jobs again after a snapshot, oldest first.
func (a *Applier) restoreEnded() {
	for id, job := range a.jobs {
		if job.Ended != 0 {
			a.ended = append(a.ended, endedJob{id: id, at: job.Ended})
		}
	}
	slices.SortFunc(a.ended, func(x, y endedJob) int { return cmp.Compare(x.at, y.at) })
}
