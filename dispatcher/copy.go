package dispatcher

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// copyAfterUnanswered is the number of renewals in a row without an answer
	// after which a worker's tasks may start elsewhere. It is above 1 because a
	// single lost renewal doesn't show that the worker has failed.
	copyAfterUnanswered = 2
	// unansweredDivisor bounds the workers without an answer to one in
	// unansweredDivisor. Beyond that the leader's own network is more likely to
	// have failed.
	unansweredDivisor = 3
)

// copyTasksOfUnanswered lets the tasks of workers that don't answer start
// elsewhere, if several attempts of them may run at the same time.
func (d *Dispatcher) copyTasksOfUnanswered(now modeler.ClockReading) {
	if !d.uses(Copy) {
		return
	}
	var unanswered []*host
	for _, h := range d.hostList {
		if h.unanswered >= copyAfterUnanswered && !h.gone {
			unanswered = append(unanswered, h)
		}
	}
	if len(unanswered)*unansweredDivisor > len(d.hosts) {
		return
	}
	for _, h := range unanswered {
		for _, r := range h.runs {
			if r.phase == committing || r.orphaned || r.unit == nil || !r.unit.step.MayRunCopies() {
				continue
			}
			switch {
			case !r.abandoned:
				d.abandon(now, r)
			case d.runs[r.task] == r:
				delete(d.runs, r.task)
				r.unit.updateWaiting(r.task.Index)
			}
		}
	}
}

// abandon lets the task of an attempt start elsewhere while the attempt may
// still run.
func (d *Dispatcher) abandon(now modeler.ClockReading, r *run) {
	d.logTask("task copied", r.task, r.attempt, r.host.worker.ID, "percent", r.percent, "failures", r.host.unanswered, "heard", now.Sub(r.host.heardAt).String())
	d.addAbandoned(r)
	delete(d.runs, r.task)
	// The proposal gets a run of its own, since the attempt may end in another way
	// later.
	d.proposeEnd(&run{task: r.task, attempt: r.attempt, host: r.host, unit: r.unit}, modeler.EndLost, r.checkpoint)
}

func (d *Dispatcher) addAbandoned(r *run) {
	r.abandoned = true
	d.abandoned[r.task] = append(d.abandoned[r.task], r)
}

func (d *Dispatcher) removeAbandoned(r *run) {
	rest := slices.DeleteFunc(d.abandoned[r.task], func(other *run) bool { return other == r })
	if len(rest) == 0 {
		delete(d.abandoned, r.task)
		return
	}
	d.abandoned[r.task] = rest
}

// adoptAbandoned adds an attempt that an earlier leader has abandoned.
func (d *Dispatcher) adoptAbandoned(now modeler.ClockReading, h *host, task modeler.FlowTask, attempt modeler.Attempt) *run {
	r := d.addOlderRun(now, h, task, attempt, restored)
	d.addAbandoned(r)
	return r
}

// reinstateAbandoned makes an abandoned attempt that still runs the current one
// of its task if there is no newer attempt.
func (d *Dispatcher) reinstateAbandoned(r *run) {
	if r.abandoned && !r.stopping && d.runs[r.task] == nil && r.unit != nil {
		d.runs[r.task] = r
		r.unit.updateWaiting(r.task.Index)
	}
}

// resumeAbandoned makes an abandoned attempt the current one of a task whose copy has failed,
// if a further attempt beside it could fail as well and exceed the failures that the queue
// allows. An attempt whose worker doesn't answer is not waited for.
func (d *Dispatcher) resumeAbandoned(task modeler.FlowTask) {
	for _, r := range d.abandoned[task] {
		if r.unit != nil && r.phase == running && r.host.unanswered < copyAfterUnanswered && d.isCurrent(r.host) && !d.mayCopy(r) {
			d.reinstateAbandoned(r)
		}
	}
}

// stopAbandoned stops the abandoned attempts of a step whose flow is over.
func (d *Dispatcher) stopAbandoned(now modeler.ClockReading, u *unit) {
	if !u.step.MayRunCopies() {
		return
	}
	for i := range u.step.Count {
		for _, r := range d.abandoned[u.task(modeler.TaskIndex(i))] {
			r.unit = nil
			d.stopRun(now, r, "its flow is over")
		}
	}
}

// stopCopies stops the other attempts of a task that is done.
func (d *Dispatcher) stopCopies(now modeler.ClockReading, task modeler.FlowTask) {
	if r := d.runs[task]; r != nil {
		d.stopRun(now, r, "another attempt is done")
	}
	for _, r := range d.abandoned[task] {
		d.stopRun(now, r, "another attempt is done")
	}
}
