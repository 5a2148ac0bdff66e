package controller

import (
	"fmt"
	"strings"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
	"goldcreststack.example/goldcreststack/replacer"
)

// replacing is what the leader knows of the services whose tasks are being
// replaced. The placer holds one size and constraint for each job, so it knows
// the attempts of an earlier content as a job of their own.
type replacing struct {
	// former lists the placer's jobs for the earlier contents of a service.
	former map[modeler.JobID][]modeler.JobID
	// proposed marks the services whose next step is on its way to the log.
	proposed map[modeler.JobID]bool
}

func newReplacing() replacing {
	return replacing{
		former:   make(map[modeler.JobID][]modeler.JobID),
		proposed: make(map[modeler.JobID]bool),
	}
}

// formerMark separates a job's id from the First of an earlier content; ids
// can't contain it.
const formerMark = "@"

func formerID(id modeler.JobID, first modeler.Attempt) modeler.JobID {
	return modeler.JobID(fmt.Sprintf("%s%s%d", id, formerMark, first))
}

// realID returns the id of the job that the placer's job stands for.
func realID(id modeler.JobID) modeler.JobID {
	name, _, _ := strings.Cut(string(id), formerMark)
	return modeler.JobID(name)
}

// fill tells the placer of a job and of its earlier contents; what it knows
// already stays as it is.
func (l *leadership) fill(now modeler.ClockReading, job *applier.Job) {
	id := job.Spec.ID
	delete(l.replacing.former, id)
	if job.Change != nil {
		l.replacing.former[id] = nil
		for i := range job.Change.Former {
			v := &job.Change.Former[i]
			spec := v.Spec
			spec.ID = formerID(id, v.First)
			l.replacing.former[id] = append(l.replacing.former[id], spec.ID)
			l.cell.Restore(now, withTasks(spec, job), records(job, v.First))
		}
	}
	l.cell.Restore(now, withTasks(job.Spec, job), records(job, 0))
	if job.Cancelled {
		l.cell.Cancel(now, append(l.replacing.former[id], id)...)
	}
}

// withTasks counts the tasks beyond the newest number too, which hold their
// room until they have ended.
func withTasks(spec modeler.Job, job *applier.Job) modeler.Job {
	spec.Tasks = len(job.Tasks)
	return spec
}

// records describes the tasks that run the content former, or wait for it.
func records(job *applier.Job, former modeler.Attempt) []placer.TaskRecord {
	out := make([]placer.TaskRecord, len(job.Tasks))
	for i := range job.Tasks {
		task := &job.Tasks[i]
		out[i] = placer.TaskRecord{Index: modeler.TaskIndex(i), Attempt: task.Attempt}
		switch {
		case task.Phase == applier.Placed && task.Former == former:
			out[i].Worker = task.Worker
			out[i].Generation = task.Generation
		case task.Phase != applier.Waiting || former != 0:
			out[i].Over = true
		}
	}
	return out
}

// revise gives the placer the new content of a service.
func (l *leadership) revise(now modeler.ClockReading, id modeler.JobID) {
	for _, former := range l.replacing.former[id] {
		l.cell.Withdraw(now, former)
	}
	l.cell.Withdraw(now, id)
	if job, found := l.core.state.Job(id); found && !job.Over() {
		l.fill(now, job)
	}
}

// ended tells the placer of the end of an attempt. After one of an earlier
// content the task waits for a placement under the newest one.
func (l *leadership) ended(now modeler.ClockReading, c *applier.Change) {
	if c.Former == 0 {
		l.cell.Ended(now, c.End)
		return
	}
	end := c.End
	end.Task.Job = formerID(end.Task.Job, c.Former)
	end.Retry = false
	l.cell.Ended(now, end)
	id := c.End.Task
	job, found := l.core.state.Job(id.Job)
	if !found || job.Cancelled || int(id.Index) >= len(job.Tasks) {
		return
	}
	task := &job.Tasks[id.Index]
	if task.Phase == applier.Waiting && !l.cell.Reopen(now, id, task.Attempt) {
		l.fill(now, job)
	}
}

// usage passes the reports on under the ids that the placer knows.
func (l *leadership) usage(now modeler.ClockReading, b *modeler.Heartbeat) {
	reports := b.Tasks
	if len(l.replacing.former) > 0 {
		reports = append([]modeler.TaskReport(nil), b.Tasks...)
		for i := range reports {
			reports[i].Task.Job = l.placerID(reports[i].Task, reports[i].Attempt)
		}
	}
	l.cell.Usage(now, b.Worker, b.Generation, reports)
}

func (l *leadership) placerID(id modeler.TaskID, attempt modeler.Attempt) modeler.JobID {
	if _, changes := l.replacing.former[id.Job]; !changes {
		return id.Job
	}
	job, found := l.core.state.Job(id.Job)
	if !found || int(id.Index) >= len(job.Tasks) {
		return id.Job
	}
	task := &job.Tasks[id.Index]
	if task.Former == 0 || task.Attempt != attempt {
		return id.Job
	}
	return formerID(id.Job, task.Former)
}

// stopLeaving has the worker stop an attempt that the change replaces.
func (l *leadership) stopLeaving(now modeler.ClockReading, p modeler.Placement) {
	l.tasks.Stop(now, p, modeler.StopTask, "replaced under the newest ticket")
}

// replace proposes the next step of each change.
func (l *leadership) replace(now modeler.ClockReading) {
	for id := range l.replacing.former {
		job, found := l.core.state.Job(id)
		if !found || job.Change == nil {
			delete(l.replacing.former, id)
			continue
		}
		if !job.Cancelled && !l.replacing.proposed[id] {
			l.replaceIn(now, job)
		}
	}
}

func (l *leadership) replaceIn(now modeler.ClockReading, job *applier.Job) {
	change := l.describe(now, job)
	plan := replacer.Decide(change)
	if len(plan.Ready)+len(plan.Stop) == 0 {
		return
	}
	id := job.Spec.ID
	r := &modeler.Replacement{Job: id, Version: job.First, Ready: attempts(job, plan.Ready), Stop: attempts(job, plan.Stop)}
	command := &modeler.Command{Kind: modeler.ReplaceTasks, Replace: r}
	err := l.core.propose(now, command, func(modeler.Result) { delete(l.replacing.proposed, id) })
	if err == nil {
		l.replacing.proposed[id] = true
	}
}

func attempts(job *applier.Job, indexes []int) []modeler.TaskAttempt {
	var out []modeler.TaskAttempt
	for _, i := range indexes {
		out = append(out, modeler.TaskAttempt{Index: modeler.TaskIndex(i), Attempt: job.Tasks[i].Attempt})
	}
	return out
}

// describe joins what the log says of a change with what the workers report.
func (l *leadership) describe(now modeler.ClockReading, job *applier.Job) *replacer.Change {
	c := &replacer.Change{
		Step:  replacer.Step(&job.Spec),
		Base:  job.Change.Base,
		Tasks: make([]replacer.Task, len(job.Tasks)),
	}
	for i := range c.Tasks {
		task := &job.Tasks[i]
		one := replacer.Task{
			Placed:  task.Phase == applier.Placed,
			Former:  task.Former != 0,
			Surplus: i >= job.Spec.Tasks,
			Leaving: task.Leaving,
			Ready:   task.Ready,
		}
		if one.Placed {
			one.Running, one.Reported = l.tasks.Reported(job.Placement(i))
		}
		c.Tasks[i] = one
	}
	return c
}

// changeStatus tells how far a change has come and why it makes no progress.
func (l *leadership) changeStatus(now modeler.ClockReading, job *applier.Job) *modeler.ChangeStatus {
	if job.Change == nil || job.Cancelled {
		return nil
	}
	c := l.describe(now, job)
	s := &modeler.ChangeStatus{Step: c.Step}
	waiting, unheard, serving := 0, 0, 0
	for i := range c.Tasks {
		task := &c.Tasks[i]
		switch {
		case job.Tasks[i].Phase == applier.Waiting:
			waiting++
		case task.Placed && !task.Leaving && !task.Reported:
			unheard++
		case task.Ready:
			serving++
		}
		if task.Former {
			s.Former++
		} else if task.Ready && !task.Surplus {
			s.Replaced++
		}
	}
	s.Missing = max(0, c.Base-serving)
	switch {
	case job.Change.Failed > 0:
		s.Halted = true
		s.Reason = fmt.Sprintf("%d attempts under the newest ticket have failed, the last with: %s", job.Change.Failed, job.Change.Detail)
	case waiting > 0 && l.cell.Waits(job.Spec.ID):
		s.Halted = true
		s.Reason = l.cell.Why(job.Spec.ID)
	case unheard > 0:
		s.Reason = fmt.Sprintf("%d placed tasks are not yet reported as running", unheard)
	default:
		s.Reason = fmt.Sprintf("a replaced task must run for %s before it counts as in service", replacer.Steady)
	}
	return s
}
