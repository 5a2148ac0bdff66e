package placer

import "goldcreststack.example/goldcreststack/modeler"

// take makes the worker hold the task.
func (p *Placer) take(t *task, w *worker, kind roomKind) {
	j := t.job
	t.state = taskPlaced
	t.worker = w
	t.at = len(w.tasks)
	t.started = p.now
	t.estimate = j.Size
	t.peak = modeler.Resources{}
	t.reports, t.overruns = 0, 0
	t.reclaimed = kind == spareRoom
	t.stopping, t.throttled, t.unknown = false, false, false
	w.tasks = append(w.tasks, t)
	w.hold(t, 1)
	j.settle(t, w)
	j.placed++
	j.team.used = j.team.used.Add(j.Size)
	j.team.running++
	p.running++
	p.noteProbe(w, t)
	p.recount(w)
}

// release frees what the task holds.
func (p *Placer) release(t *task) {
	j, w := t.job, t.worker
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.at] = last
	last.at = t.at
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	w.hold(t, -1)
	j.settle(t, nil)
	j.placed--
	j.team.used = j.team.used.Sub(j.Size)
	j.team.running--
	p.running--
	t.worker = nil
	p.recount(w)
	p.unblock(j.team)
}

// hold adds the task to the sums of the worker, or takes it out of them.
func (w *worker) hold(t *task, sign int64) {
	size, estimate := t.job.Size.Times(sign), t.estimate.Times(sign)
	w.estimate = w.estimate.Add(estimate)
	if t.reclaimed {
		w.reclaimed = w.reclaimed.Add(estimate)
	} else {
		w.declared = w.declared.Add(size)
	}
	if t.job.Kind == modeler.LongRunning {
		w.lasting = w.lasting.Add(size)
	}
	if !t.job.movable() {
		return
	}
	w.movableEstimate = w.movableEstimate.Add(estimate)
	if !t.reclaimed {
		w.movable = w.movable.Add(size)
	}
}

// reestimate changes the estimate of a placed task; the caller recounts.
func (w *worker) reestimate(t *task, estimate modeler.Resources) {
	w.hold(t, -1)
	t.estimate = estimate
	w.hold(t, 1)
}

// find returns the placed task whose current attempt is the given one.
func (p *Placer) find(id modeler.TaskID, attempt modeler.Attempt) *task {
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

// Ended frees what an attempt held. The task is placed again if end says so;
// ends of attempts that are not current are ignored.
func (p *Placer) Ended(now modeler.ClockReading, end modeler.TaskEnd) {
	p.now = now
	t := p.find(end.Task, end.Attempt)
	if t == nil {
		return
	}
	p.noteEnd(t, end.State)
	p.finish(t, end.Retry)
}

func (p *Placer) finish(t *task, again bool) {
	j := t.job
	p.release(t)
	if !again || j.dead {
		t.state = taskOver
		j.over++
		p.forget(j)
		return
	}
	t.state = taskWaiting
	j.again = append(j.again, t.index)
	p.countWaiting(j, 1)
	if j.state == idle && j.unmarked() > 0 {
		p.enqueue(j)
	}
}

// unknownStart is a start whose outcome is unknown until the lease is over.
type unknownStart struct {
	task    *task
	attempt modeler.Attempt
	until   modeler.ClockReading
}

// StartUnknown notes that the outcome of a start is unknown. The attempt holds
// its room until its lease is over, and is then placed again. Started or a
// usage report must be passed on before its lease is renewed.
func (p *Placer) StartUnknown(now modeler.ClockReading, id modeler.TaskID, attempt modeler.Attempt, until modeler.ClockReading) {
	p.now = now
	t := p.find(id, attempt)
	if t == nil {
		return
	}
	t.unknown = true
	p.unknowns = append(p.unknowns, unknownStart{t, attempt, until})
}

// Started notes that the worker is known to run the attempt.
func (p *Placer) Started(now modeler.ClockReading, id modeler.TaskID, attempt modeler.Attempt) {
	p.now = now
	if t := p.find(id, attempt); t != nil {
		t.unknown = false
	}
}

func (p *Placer) expireUnknown() {
	kept := p.unknowns[:0]
	for _, u := range p.unknowns {
		current := u.task.state == taskPlaced && u.task.attempt == u.attempt && u.task.unknown
		switch {
		case !current:
		case p.now < u.until:
			kept = append(kept, u)
		default:
			p.finish(u.task, true)
		}
	}
	p.unknowns = kept
}

// stop gives out stops for the running tasks of a cancelled job.
type stop struct {
	job *job
	at  int // tasks before this one are done
}

// issue gives out orders and stops until there are max decisions.
func (p *Placer) issue(max int) {
	for len(p.orders) > 0 && len(p.out) < max {
		o := p.orders[0]
		p.orders = p.orders[1:]
		if o.task.state == taskPlaced && o.task.attempt == o.attempt {
			p.emit(o.verb, o.task)
		}
	}
	for len(p.stops) > 0 && len(p.out) < max {
		if !p.issueStop(&p.stops[0]) {
			p.stops = p.stops[1:]
		}
	}
}

// issueStop steps to the next task of a cancelled job and reports whether
// there is one.
func (p *Placer) issueStop(s *stop) bool {
	if s.at >= len(s.job.tasks) || s.job.placed == 0 {
		return false
	}
	t := &s.job.tasks[s.at]
	s.at++
	if t.state == taskPlaced {
		p.emit(modeler.StopTask, t)
	}
	return true
}

func (p *Placer) emit(verb modeler.TaskVerb, t *task) {
	p.out = append(p.out, Decision{Verb: verb, Placement: t.placement()})
}

// order queues a decision for the task's current attempt.
func (p *Placer) order(verb modeler.TaskVerb, t *task) {
	p.orders = append(p.orders, order{t, t.attempt, verb})
}
