package placer

import (
	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/modeler"
)

// assignTask records that the worker holds a new attempt of the task.
func (p *Placer) assignTask(t *task, w *worker, kind roomKind) {
	j := t.job
	t.state = taskPlaced
	t.worker = w
	t.workerIndex = len(w.tasks)
	t.started = p.now
	t.estimate = j.Size
	t.peakUsage = modeler.Resources{}
	t.reports, t.overruns = 0, 0
	t.reclaimed = kind == reclaimedRoom
	t.isStopping, t.throttled, t.startUnknown = false, false, false
	w.tasks = append(w.tasks, t)
	w.addToSums(t, 1)
	j.countPlacement(t, w)
	j.placed++
	j.team.Add(j.charge())
	p.running++
	p.noteProbe(w, t)
	p.updateRoom(w)
}

// charge returns what a task of the job takes of its team's quota.
func (j *job) charge() accountant.Charge {
	return accountant.Charge{Need: j.Size, Lasting: j.Kind == modeler.LongRunning}
}

// releaseTask frees the resources that the task holds on its worker and in its
// team's quota.
func (p *Placer) releaseTask(t *task) {
	j, w := t.job, t.worker
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.workerIndex] = last
	last.workerIndex = t.workerIndex
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	w.addToSums(t, -1)
	j.countPlacement(t, nil)
	j.placed--
	j.team.Remove(j.charge())
	p.running--
	t.worker = nil
	p.updateRoom(w)
	p.unblockTeam(j.team)
}

// addToSums adds the task to the worker's sums if sign is 1, and subtracts it if
// sign is -1.
func (w *worker) addToSums(t *task, sign int64) {
	size, estimate := t.job.Size.Times(sign), t.estimate.Times(sign)
	w.estimate = w.estimate.Add(estimate)
	if t.reclaimed {
		w.reclaimed = w.reclaimed.Add(estimate)
	} else {
		w.declared = w.declared.Add(size)
	}
	if t.job.Kind == modeler.LongRunning {
		w.serviceSizes = w.serviceSizes.Add(size)
	}
	if !t.job.preemptible() {
		return
	}
	w.preemptibleEstimate = w.preemptibleEstimate.Add(estimate)
	if !t.reclaimed {
		w.preemptible = w.preemptible.Add(size)
	}
}

// setEstimate changes the usage estimate of a placed task. The caller must call
// updateRoom.
func (w *worker) setEstimate(t *task, estimate modeler.Resources) {
	w.addToSums(t, -1)
	t.estimate = estimate
	w.addToSums(t, 1)
}

// findTask returns the placed task whose current attempt is the given one, or
// nil if there is none.
func (p *Placer) findTask(id modeler.TaskID, attempt modeler.Attempt) *task {
	j := p.jobs[id.Job]
	if j == nil || int(id.Index) >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[id.Index]
	if t.state != taskPlaced || t.attempt != attempt {
		return nil
	}
	return t
}

// EndAttempt frees the resources of an attempt that has ended. The task waits for a
// new placement if end.Retry is set. The end of an attempt that is not the
// task's current one is ignored.
func (p *Placer) EndAttempt(now modeler.ClockReading, end modeler.TaskEnd) {
	p.now = now
	t := p.findTask(end.Task, end.Attempt)
	if t == nil {
		return
	}
	p.noteEnd(t, end.State)
	p.finishTask(t, end.Retry)
}

// finishTask frees the task's resources; it finishes the task, or lets it wait
// again if again is set and the job is not cancelled.
func (p *Placer) finishTask(t *task, again bool) {
	j := t.job
	p.releaseTask(t)
	if !again || j.isCancelled {
		t.state = taskFinished
		j.finishedTasks++
		p.forgetIfDone(j)
		return
	}
	t.state = taskWaiting
	j.again = append(j.again, t.index)
	p.countWaiting(j, 1)
	if j.state == idle && j.unearmarked() > 0 {
		p.enqueue(j)
	}
}

// unknownStart is an attempt of which it is not known whether its worker started
// it. It counts as not started when its lease expires at until.
type unknownStart struct {
	task    *task
	attempt modeler.Attempt
	until   modeler.ClockReading
}

// MarkStartUnknown records that it is not known whether the worker started the
// attempt. The attempt holds its resources until its lease expires at until;
// then the task is placed again. Before the caller renews the lease, it must
// call ConfirmStart or pass on a usage report of the attempt.
func (p *Placer) MarkStartUnknown(now modeler.ClockReading, id modeler.TaskID, attempt modeler.Attempt, until modeler.ClockReading) {
	p.now = now
	t := p.findTask(id, attempt)
	if t == nil {
		return
	}
	t.startUnknown = true
	p.unknownStarts = append(p.unknownStarts, unknownStart{t, attempt, until})
}

// ConfirmStart records that the worker runs the attempt.
func (p *Placer) ConfirmStart(now modeler.ClockReading, id modeler.TaskID, attempt modeler.Attempt) {
	p.now = now
	if t := p.findTask(id, attempt); t != nil {
		t.startUnknown = false
	}
}

// expireUnknownStarts makes tasks wait again whose start was never confirmed and
// whose lease has expired.
func (p *Placer) expireUnknownStarts() {
	kept := p.unknownStarts[:0]
	for _, u := range p.unknownStarts {
		current := u.task.state == taskPlaced && u.task.attempt == u.attempt && u.task.startUnknown
		switch {
		case !current:
		case p.now < u.until:
			kept = append(kept, u)
		default:
			p.finishTask(u.task, true)
		}
	}
	p.unknownStarts = kept
}

// jobStop is the progress of stopping the running tasks of a cancelled job.
type jobStop struct {
	job      *job
	nextTask int // index of the first task that was not looked at yet
}

// issueOrders appends queued orders and stops of cancelled jobs until there are
// max decisions.
func (p *Placer) issueOrders(max int) {
	for len(p.orders) > 0 && len(p.decisions) < max {
		o := p.orders[0]
		p.orders = p.orders[1:]
		if o.task.state == taskPlaced && o.task.attempt == o.attempt {
			p.emitDecision(o.verb, o.task)
		}
	}
	for len(p.jobStops) > 0 && len(p.decisions) < max {
		if !p.issueStop(&p.jobStops[0]) {
			p.jobStops = p.jobStops[1:]
		}
	}
}

// issueStop stops the next task of a cancelled job if it is running, and reports
// whether there was a next task.
func (p *Placer) issueStop(s *jobStop) bool {
	if s.nextTask >= len(s.job.tasks) || s.job.placed == 0 {
		return false
	}
	t := &s.job.tasks[s.nextTask]
	s.nextTask++
	if t.state == taskPlaced {
		p.emitDecision(modeler.StopTask, t)
	}
	return true
}

// emitDecision appends a decision for the task's current attempt.
func (p *Placer) emitDecision(verb modeler.TaskVerb, t *task) {
	p.decisions = append(p.decisions, Decision{Verb: verb, Placement: t.placement()})
}

// order queues a decision for the task's current attempt.
func (p *Placer) order(verb modeler.TaskVerb, t *task) {
	p.orders = append(p.orders, order{t, t.attempt, verb})
}
