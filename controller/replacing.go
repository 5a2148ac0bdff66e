package controller

import (
	"fmt"
	"strings"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
	"goldcreststack.example/goldcreststack/replacer"
)

// replacements is the leader's state for the services whose tasks are being
// replaced. The placer holds one size and constraint for each job, so the
// attempts that run an earlier spec of a service are registered with it as a
// separate job.
type replacements struct {
	// former lists the placer's jobs for the earlier specs of a service.
	former map[modeler.JobID][]modeler.JobID
	// proposed marks the services whose next replacement step is proposed but not
	// yet committed.
	proposed map[modeler.JobID]bool
}

func newReplacements() replacements {
	return replacements{
		former:   make(map[modeler.JobID][]modeler.JobID),
		proposed: make(map[modeler.JobID]bool),
	}
}

// formerSeparator separates a job's id from the First of an earlier spec; ids
// can't contain it.
const formerSeparator = "@"

func formerID(id modeler.JobID, first modeler.Attempt) modeler.JobID {
	return modeler.JobID(fmt.Sprintf("%s%s%d", id, formerSeparator, first))
}

// originalJobID returns the id of the job for which the placer's job was
// registered.
func originalJobID(id modeler.JobID) modeler.JobID {
	name, _, _ := strings.Cut(string(id), formerSeparator)
	return modeler.JobID(name)
}

// registerJob registers a job and its earlier specs with the placer; what the
// placer knows already stays as it is.
func (l *leadership) registerJob(now modeler.ClockReading, job *applier.Job) {
	id := job.Spec.ID
	delete(l.replacements.former, id)
	if job.Change != nil {
		l.replacements.former[id] = nil
		for i := range job.Change.FormerVersions {
			v := &job.Change.FormerVersions[i]
			spec := v.Spec
			spec.ID = formerID(id, v.First)
			l.replacements.former[id] = append(l.replacements.former[id], spec.ID)
			l.cell.Restore(now, withTaskCount(spec, job), taskRecords(job, v.First))
		}
	}
	l.cell.Restore(now, withTaskCount(job.Spec, job), taskRecords(job, 0))
	if job.Cancelled {
		l.cell.Cancel(now, append(l.replacements.former[id], id)...)
	}
}

// withTaskCount sets the number of tasks to that of the job, which includes
// tasks beyond the newest spec's number: they hold their resources until they
// have ended.
func withTaskCount(spec modeler.Job, job *applier.Job) modeler.Job {
	spec.Tasks = len(job.Tasks)
	return spec
}

// taskRecords describes the tasks for the spec former, which is 0 for the
// newest one. Tasks are marked as over unless they run under this spec, or wait
// for a placement and it is the newest one.
func taskRecords(job *applier.Job, former modeler.Attempt) []placer.TaskRecord {
	out := make([]placer.TaskRecord, len(job.Tasks))
	for i := range job.Tasks {
		task := &job.Tasks[i]
		out[i] = placer.TaskRecord{Index: modeler.TaskIndex(i), Attempt: task.Attempt}
		switch {
		case task.Phase == applier.PhasePlaced && task.FormerVersion == former:
			out[i].Worker = task.Worker
			out[i].Generation = task.Generation
		case task.Phase != applier.PhaseWaiting || former != 0:
			out[i].Over = true
		}
	}
	return out
}

// reviseJob registers the new spec of a service with the placer.
func (l *leadership) reviseJob(now modeler.ClockReading, id modeler.JobID) {
	for _, former := range l.replacements.former[id] {
		l.cell.Withdraw(now, former)
	}
	l.cell.Withdraw(now, id)
	if job, found := l.core.state.Job(id); found && !job.HasEnded() {
		l.registerJob(now, job)
	}
}

// handleTaskEnd tells the placer that an attempt has ended. After an attempt
// under an earlier spec, the task waits for a placement under the newest one.
func (l *leadership) handleTaskEnd(now modeler.ClockReading, c *applier.Change) {
	if c.FormerVersion == 0 {
		l.cell.EndAttempt(now, c.End)
		return
	}
	end := c.End
	end.Task.Job = formerID(end.Task.Job, c.FormerVersion)
	end.Retry = false
	l.cell.EndAttempt(now, end)
	id := c.End.Task
	job, found := l.core.state.Job(id.Job)
	if !found || job.Cancelled || int(id.Index) >= len(job.Tasks) {
		return
	}
	task := &job.Tasks[id.Index]
	if task.Phase == applier.PhaseWaiting && !l.cell.Reopen(now, id, task.Attempt) {
		l.registerJob(now, job)
	}
}

// reportUsage passes a worker's task reports to the placer, under the job ids
// that the placer knows.
func (l *leadership) reportUsage(now modeler.ClockReading, b *modeler.Heartbeat) {
	reports := b.Tasks
	if len(l.replacements.former) > 0 {
		reports = append([]modeler.TaskReport(nil), b.Tasks...)
		for i := range reports {
			reports[i].Task.Job = l.placerID(reports[i].Task, reports[i].Attempt)
		}
	}
	l.cell.Usage(now, b.Worker, b.Generation, reports)
}

// placerID returns the job id under which the placer knows an attempt.
func (l *leadership) placerID(id modeler.TaskID, attempt modeler.Attempt) modeler.JobID {
	if _, isChanging := l.replacements.former[id.Job]; !isChanging {
		return id.Job
	}
	job, found := l.core.state.Job(id.Job)
	if !found || int(id.Index) >= len(job.Tasks) {
		return id.Job
	}
	task := &job.Tasks[id.Index]
	if task.FormerVersion == 0 || task.Attempt != attempt {
		return id.Job
	}
	return formerID(id.Job, task.FormerVersion)
}

// stopReplacedAttempt orders the worker to stop an attempt that the change
// replaces.
func (l *leadership) stopReplacedAttempt(now modeler.ClockReading, p modeler.Placement) {
	l.taskSupervisor.Stop(now, p, modeler.StopTask, "replaced under the newest ticket")
}

// proposeReplacements proposes the next step of each service's change.
func (l *leadership) proposeReplacements(now modeler.ClockReading) {
	for id := range l.replacements.former {
		job, found := l.core.state.Job(id)
		if !found || job.Change == nil {
			delete(l.replacements.former, id)
			continue
		}
		if !job.Cancelled && !l.replacements.proposed[id] {
			l.proposeReplacement(now, job)
		}
	}
}

func (l *leadership) proposeReplacement(now modeler.ClockReading, job *applier.Job) {
	change := l.describeChange(now, job)
	plan := replacer.Decide(change)
	if len(plan.Ready)+len(plan.Stop) == 0 {
		return
	}
	id := job.Spec.ID
	r := &modeler.Replacement{Job: id, Version: job.First, Ready: taskAttempts(job, plan.Ready), Stop: taskAttempts(job, plan.Stop)}
	command := &modeler.Command{Kind: modeler.ReplaceTasks, Replace: r}
	err := l.core.propose(now, command, func(modeler.Result) { delete(l.replacements.proposed, id) })
	if err == nil {
		l.replacements.proposed[id] = true
	}
}

func taskAttempts(job *applier.Job, indexes []int) []modeler.TaskAttempt {
	var out []modeler.TaskAttempt
	for _, i := range indexes {
		out = append(out, modeler.TaskAttempt{Index: modeler.TaskIndex(i), Attempt: job.Tasks[i].Attempt})
	}
	return out
}

// describeChange combines the replicated state of a change with the workers'
// reports.
func (l *leadership) describeChange(now modeler.ClockReading, job *applier.Job) *replacer.Change {
	c := &replacer.Change{
		Step:  replacer.Step(&job.Spec),
		Base:  job.Change.Base,
		Tasks: make([]replacer.Task, len(job.Tasks)),
	}
	for i := range c.Tasks {
		task := &job.Tasks[i]
		t := replacer.Task{
			Placed:         task.Phase == applier.PhasePlaced,
			RunsFormerSpec: task.FormerVersion != 0,
			Surplus:        i >= job.Spec.Tasks,
			Leaving:        task.Leaving,
			Ready:          task.Ready,
		}
		if t.Placed {
			t.Running, t.Reported = l.taskSupervisor.RunningFor(job.Placement(i))
		}
		c.Tasks[i] = t
	}
	return c
}

// changeStatus reports the progress of a change and why it does not go on.
func (l *leadership) changeStatus(now modeler.ClockReading, job *applier.Job) *modeler.ChangeStatus {
	if job.Change == nil || job.Cancelled {
		return nil
	}
	c := l.describeChange(now, job)
	s := &modeler.ChangeStatus{Step: c.Step}
	waiting, unreported, serving := 0, 0, 0
	for i := range c.Tasks {
		task := &c.Tasks[i]
		switch {
		case job.Tasks[i].Phase == applier.PhaseWaiting:
			waiting++
		case task.Placed && !task.Leaving && !task.Reported:
			unreported++
		case task.Ready:
			serving++
		}
		if task.RunsFormerSpec {
			s.Former++
		} else if task.Ready && !task.Surplus {
			s.Replaced++
		}
	}
	s.Missing = max(0, c.Base-serving)
	switch {
	case job.Change.FailedAttempts > 0:
		s.Halted = true
		s.Reason = fmt.Sprintf("%d attempts under the newest ticket have failed, the last with: %s", job.Change.FailedAttempts, job.Change.Detail)
	case waiting > 0 && l.cell.HasWaitingTasks(job.Spec.ID):
		s.Halted = true
		s.Reason = l.cell.ExplainWait(job.Spec.ID)
	case unreported > 0:
		s.Reason = fmt.Sprintf("%d placed tasks are not yet reported as running", unreported)
	default:
		s.Reason = fmt.Sprintf("a replaced task must run for %s before it counts as in service", replacer.ReadyAfter)
	}
	return s
}
