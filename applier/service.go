package applier

import (
	"reflect"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replacer"
)

// ServiceChange is the replicated state of a change of a service.
type ServiceChange struct {
	// Base is the highest number of tasks in service since the change began,
	// at most the newest number of tasks.
	Base int `cbor:"1,keyasint,omitempty"`
	// Former are the earlier contents that placed attempts still run.
	Former []Version `cbor:"2,keyasint,omitempty"`
	// Failed counts the attempts of the newest content that have failed,
	// and Detail is what the last of them reported.
	Failed int    `cbor:"3,keyasint,omitempty"`
	Detail string `cbor:"4,keyasint,omitempty"`
}

// Version is a content of a job; First is the attempt before its first one.
type Version struct {
	First modeler.Attempt `cbor:"1,keyasint"`
	Spec  modeler.Job     `cbor:"2,keyasint"`
}

// SpecOf returns the content that the task's placed attempt runs.
func (j *Job) SpecOf(task *Task) *modeler.Job {
	if task.Former != 0 && j.Change != nil {
		for i := range j.Change.Former {
			if j.Change.Former[i].First == task.Former {
				return &j.Change.Former[i].Spec
			}
		}
	}
	return &j.Spec
}

// sameContent reports whether tasks of one content need no replacement for
// the other.
func sameContent(one, other modeler.Job) bool {
	one.Tasks, one.Step = other.Tasks, other.Step
	return reflect.DeepEqual(one, other)
}

// reviseJob gives a service that runs another content. Its placed tasks go on
// until they are replaced or, beyond the new number, are not needed any more;
// the others wait for a placement under the new content.
func (a *Applier) reviseJob(index modeler.Index, held *Job, spec *modeler.Job) {
	// A copy of the state may still be read whose jobs share their content.
	revised := *held
	job := &revised
	a.jobs[spec.ID] = job
	first := job.after(modeler.Attempt(index))
	next := &ServiceChange{}
	begins := job.Change == nil
	if !begins {
		next.Base = job.Change.Base
		next.Former = slices.Clone(job.Change.Former)
	}
	next.Former = append(next.Former, Version{First: job.First, Spec: job.Spec})
	rerun := !spec.AtMostOnce || !sameContent(job.Spec, *spec)
	for i := range job.Tasks {
		task := &job.Tasks[i]
		kept := i < spec.Tasks
		switch {
		case task.Phase == Placed:
			job.reviseTask(task, spec)
			task.Ready = !task.Leaving && (task.Ready || begins)
		case !kept:
			task.Phase = Ended
		case task.Phase == Waiting || rerun:
			*task = Task{Attempt: first}
		}
	}
	for len(job.Tasks) < spec.Tasks {
		job.Tasks = append(job.Tasks, Task{Attempt: first})
	}
	job.Spec, job.First, job.Change = *spec, first, next
	job.Open = 0
	for i := range job.Tasks {
		if job.Tasks[i].Phase != Ended {
			job.Open++
		}
	}
	a.note(Change{Kind: JobRevised, Job: *spec})
	a.advance(job)
	a.closeJob(job)
}

// reviseTask notes which earlier content the placed attempt runs; one whose
// content is wanted again needs no replacement.
func (j *Job) reviseTask(task *Task, spec *modeler.Job) {
	held := j.SpecOf(task)
	switch {
	case sameContent(*held, *spec):
		task.Former = 0
	case task.Former == 0:
		task.Former = j.First
	}
}

// again says whether a task is to be placed once more after the end of its
// attempt. What a change has stopped, or would have, starts under the newest
// content however the attempt ended.
func (j *Job) again(task *Task, e *modeler.TaskEnd) bool {
	if j.Cancelled || j.surplus(e.Task.Index) {
		return false
	}
	return e.Retry || task.Former != 0 || task.Leaving
}

// surplus reports whether the task is beyond the newest number of tasks.
func (j *Job) surplus(i modeler.TaskIndex) bool { return int(i) >= j.Spec.Tasks }

// noteFailure keeps why a change makes no progress.
func (j *Job) noteFailure(task *Task, e *modeler.TaskEnd) {
	if j.Change == nil || task.Former != 0 || task.Leaving || e.State != modeler.TaskFailed {
		return
	}
	next := *j.Change
	next.Failed++
	next.Detail = e.Detail
	j.Change = &next
}

// serving counts the tasks in service.
func (j *Job) serving() int {
	n := 0
	for i := range j.Tasks {
		if j.Tasks[i].Ready {
			n++
		}
	}
	return n
}

// advance brings the change up to its tasks and ends it when every task is in
// service under the newest content.
func (a *Applier) advance(job *Job) {
	if job.Change == nil || job.Cancelled {
		return
	}
	for len(job.Tasks) > job.Spec.Tasks && job.Tasks[len(job.Tasks)-1].Phase == Ended {
		job.Tasks = job.Tasks[:len(job.Tasks)-1]
	}
	open := len(job.Tasks) > job.Spec.Tasks
	used := make(map[modeler.Attempt]bool)
	for i := range job.Tasks {
		task := &job.Tasks[i]
		used[task.Former] = true
		open = open || task.Former != 0 || task.Phase != Ended && !task.Ready
	}
	if !open {
		for i := range job.Tasks {
			job.Tasks[i].Ready = false
		}
		job.Change = nil
		return
	}
	next := *job.Change
	next.Base = min(job.Spec.Tasks, max(next.Base, job.serving()))
	next.Former = nil
	for _, v := range job.Change.Former {
		if used[v.First] {
			next.Former = append(next.Former, v)
		}
	}
	job.Change = &next
}

// replace takes the next step of a change. The bound on the tasks out of
// service is checked here, so it holds whichever leader has decided the step.
func (a *Applier) replace(r *modeler.Replacement) modeler.Result {
	job, found := a.jobs[r.Job]
	if !found || job.Cancelled || job.Change == nil || job.First != r.Version {
		return modeler.Result{Detail: "the change is over or another one"}
	}
	for _, one := range r.Ready {
		if task := job.placed(one); task != nil && task.Former == 0 && !job.surplus(one.Index) {
			task.Ready = true
		}
	}
	a.advance(job)
	if job.Change == nil {
		return modeler.Result{}
	}
	for _, one := range r.Stop {
		task := job.placed(one)
		if task == nil || task.Former == 0 && !job.surplus(one.Index) {
			continue
		}
		if task.Ready && replacer.Allowed(job.serving(), job.Change.Base, replacer.Step(&job.Spec)) == 0 {
			continue
		}
		task.Ready = false
		task.Leaving = true
		a.note(Change{Kind: TaskLeaving, Placement: job.Placement(int(one.Index))})
	}
	return modeler.Result{}
}

// placed returns the task if the attempt is placed and not leaving.
func (j *Job) placed(one modeler.TaskAttempt) *Task {
	if int(one.Index) >= len(j.Tasks) {
		return nil
	}
	task := &j.Tasks[one.Index]
	if task.Phase != Placed || task.Attempt != one.Attempt || task.Leaving {
		return nil
	}
	return task
}
