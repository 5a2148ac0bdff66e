package applier

import (
	"reflect"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replacer"
)

// ServiceChange is the replicated state of a service whose tasks are being
// replaced.
type ServiceChange struct {
	// Base is the highest number of tasks in service since the change began, at
	// most the number of tasks in the current spec.
	Base int `cbor:"1,keyasint,omitempty"`
	// FormerVersions holds the earlier versions of the spec that placed attempts still
	// run.
	FormerVersions []SpecVersion `cbor:"2,keyasint,omitempty"`
	// FailedAttempts is the number of failed attempts of the current version, and
	// Detail is what the last of them reported.
	FailedAttempts int    `cbor:"3,keyasint,omitempty"`
	Detail         string `cbor:"4,keyasint,omitempty"`
}

// SpecVersion is a version of a job's spec. First is the number that all its
// attempts exceed.
type SpecVersion struct {
	First modeler.Attempt `cbor:"1,keyasint"`
	Spec  modeler.Job     `cbor:"2,keyasint"`
}

// SpecOf returns the version of the spec that the task's placed attempt runs.
func (j *Job) SpecOf(task *Task) *modeler.Job {
	if task.FormerVersion != 0 && j.Change != nil {
		for i := range j.Change.FormerVersions {
			if j.Change.FormerVersions[i].First == task.FormerVersion {
				return &j.Change.FormerVersions[i].Spec
			}
		}
	}
	return &j.Spec
}

// sameContent reports whether the specs differ at most in Tasks and Step, so
// that no task needs to be replaced.
func sameContent(one, other modeler.Job) bool {
	one.Tasks, one.Step = other.Tasks, other.Step
	return reflect.DeepEqual(one, other)
}

// reviseJob gives a running service a new spec. Its placed tasks go on running
// until they are replaced or, if their index is beyond the new number of tasks,
// can be spared. The other tasks wait for a placement under the new spec.
func (a *Applier) reviseJob(index modeler.Index, current *Job, spec *modeler.Job) {
	// A Copy of the state that shares the job's spec may still be being
	// encoded.
	revised := *current
	job := &revised
	a.jobs[spec.ID] = job
	first := job.highestAttempt(modeler.Attempt(index))
	change := &ServiceChange{}
	isNewChange := job.Change == nil
	if !isNewChange {
		change.Base = job.Change.Base
		change.FormerVersions = slices.Clone(job.Change.FormerVersions)
	}
	change.FormerVersions = append(change.FormerVersions, SpecVersion{First: job.First, Spec: job.Spec})
	rerunEnded := !spec.AtMostOnce || !sameContent(job.Spec, *spec)
	for i := range job.Tasks {
		task := &job.Tasks[i]
		isNeeded := i < spec.Tasks
		switch {
		case task.Phase == PhasePlaced:
			job.updateFormer(task, spec)
			task.Ready = !task.Leaving && (task.Ready || isNewChange)
		case !isNeeded:
			task.Phase = PhaseEnded
		case task.Phase == PhaseWaiting || rerunEnded:
			*task = Task{Attempt: first}
		}
	}
	for len(job.Tasks) < spec.Tasks {
		job.Tasks = append(job.Tasks, Task{Attempt: first})
	}
	job.Spec, job.First, job.Change = *spec, first, change
	job.OpenTasks = 0
	for i := range job.Tasks {
		if job.Tasks[i].Phase != PhaseEnded {
			job.OpenTasks++
		}
	}
	a.addChange(Change{Kind: JobRevised, Job: *spec})
	a.updateChange(job)
	a.finishJob(job)
}

// updateFormer records which earlier version of the spec the placed attempt
// runs. An attempt whose version has the same content as the new spec needs no
// replacement.
func (j *Job) updateFormer(task *Task, spec *modeler.Job) {
	running := j.SpecOf(task)
	switch {
	case sameContent(*running, *spec):
		task.FormerVersion = 0
	case task.FormerVersion == 0:
		task.FormerVersion = j.First
	}
}

// shouldRetry reports whether a task is to be placed again after the end of its
// attempt. A task that a change has stopped or was going to stop starts with
// the current spec, however the attempt ended.
func (j *Job) shouldRetry(task *Task, end *modeler.TaskEnd) bool {
	if j.Cancelled || j.isSurplus(end.Task.Index) {
		return false
	}
	return end.Retry || task.FormerVersion != 0 || task.Leaving
}

// isSurplus reports whether the task's index is beyond the current number of
// tasks.
func (j *Job) isSurplus(i modeler.TaskIndex) bool { return int(i) >= j.Spec.Tasks }

// recordFailure records a failed attempt of the current version during a
// change, so that status can show why the change makes no progress.
func (j *Job) recordFailure(task *Task, end *modeler.TaskEnd) {
	if j.Change == nil || task.FormerVersion != 0 || task.Leaving || end.State != modeler.TaskFailed {
		return
	}
	next := *j.Change
	next.FailedAttempts++
	next.Detail = end.Detail
	j.Change = &next
}

// servingTasks returns the number of tasks in service.
func (j *Job) servingTasks() int {
	n := 0
	for i := range j.Tasks {
		if j.Tasks[i].Ready {
			n++
		}
	}
	return n
}

// updateChange recomputes the state of the change from the job's tasks, and
// ends the change when every task is in service with the current spec or has
// ended.
func (a *Applier) updateChange(job *Job) {
	if job.Change == nil || job.Cancelled {
		return
	}
	for len(job.Tasks) > job.Spec.Tasks && job.Tasks[len(job.Tasks)-1].Phase == PhaseEnded {
		job.Tasks = job.Tasks[:len(job.Tasks)-1]
	}
	inProgress := len(job.Tasks) > job.Spec.Tasks
	usedVersions := make(map[modeler.Attempt]bool)
	for i := range job.Tasks {
		task := &job.Tasks[i]
		usedVersions[task.FormerVersion] = true
		inProgress = inProgress || task.FormerVersion != 0 || task.Phase != PhaseEnded && !task.Ready
	}
	if !inProgress {
		for i := range job.Tasks {
			job.Tasks[i].Ready = false
		}
		job.Change = nil
		return
	}
	next := *job.Change
	next.Base = min(job.Spec.Tasks, max(next.Base, job.servingTasks()))
	next.FormerVersions = nil
	for _, v := range job.Change.FormerVersions {
		if usedVersions[v.First] {
			next.FormerVersions = append(next.FormerVersions, v)
		}
	}
	job.Change = &next
}

// replaceTasks applies the next step of a change. The bound on the tasks out of
// service is checked here, so that it holds whichever leader has decided the
// step.
func (a *Applier) replaceTasks(r *modeler.Replacement) modeler.Result {
	job, found := a.jobs[r.Job]
	if !found || job.Cancelled || job.Change == nil || job.First != r.Version {
		return modeler.Result{Detail: "the change is over or another one"}
	}
	for _, attempt := range r.Ready {
		if task := job.placedTask(attempt); task != nil && task.FormerVersion == 0 && !job.isSurplus(attempt.Index) {
			task.Ready = true
		}
	}
	a.updateChange(job)
	if job.Change == nil {
		return modeler.Result{}
	}
	for _, attempt := range r.Stop {
		task := job.placedTask(attempt)
		if task == nil || task.FormerVersion == 0 && !job.isSurplus(attempt.Index) {
			continue
		}
		if task.Ready && replacer.AllowedStops(job.servingTasks(), job.Change.Base, replacer.Step(&job.Spec)) == 0 {
			continue
		}
		task.Ready = false
		task.Leaving = true
		a.addChange(Change{Kind: TaskLeaving, Placement: job.Placement(int(attempt.Index))})
	}
	return modeler.Result{}
}

// placedTask returns the attempt's task if the attempt is placed and not
// leaving, otherwise nil.
func (j *Job) placedTask(attempt modeler.TaskAttempt) *Task {
	if int(attempt.Index) >= len(j.Tasks) {
		return nil
	}
	task := &j.Tasks[attempt.Index]
	if task.Phase != PhasePlaced || task.Attempt != attempt.Attempt || task.Leaving {
		return nil
	}
	return task
}
