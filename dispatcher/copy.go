package dispatcher

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// copyAfter is how many renewals in a row a worker has left unanswered when
	// its tasks may start elsewhere: a single loss is no sign of its end.
	copyAfter = 2
	// blindShare is the largest part of the workers that may be silent; beyond
	// it the leader's own links are more likely to blame.
	blindShare = 3
)

// copySilent lets the tasks of silent workers start elsewhere, where several
// attempts may run at once.
func (d *Dispatcher) copySilent(now modeler.ClockReading) {
	var silent []*host
	for _, h := range d.list {
		if h.silent >= copyAfter && !h.gone {
			silent = append(silent, h)
		}
	}
	if len(silent)*blindShare > len(d.hosts) {
		return
	}
	for _, h := range silent {
		for _, r := range h.runs {
			if r.phase == committing || r.stray || r.unit == nil || !r.unit.step.MayRunCopies() {
				continue
			}
			switch {
			case !r.abandoned:
				d.abandon(now, r)
			case d.runs[r.task] == r:
				delete(d.runs, r.task)
				r.unit.refresh()
			}
		}
	}
}

// abandon lets the task of an attempt start elsewhere.
func (d *Dispatcher) abandon(now modeler.ClockReading, r *run) {
	d.logTask("task copied", r.task, r.attempt, r.host.machine.ID, "percent", r.percent, "failures", r.host.silent, "heard", now.Sub(r.host.heard).String())
	d.noteAbandoned(r)
	delete(d.runs, r.task)
	// The end that is proposed needs an entry of its own, since the attempt
	// may still come to another one.
	d.propose(&run{task: r.task, attempt: r.attempt, host: r.host, unit: r.unit}, modeler.EndLost, r.saved)
}

func (d *Dispatcher) noteAbandoned(r *run) {
	r.abandoned = true
	d.abandoned[r.task] = append(d.abandoned[r.task], r)
}

func (d *Dispatcher) dropAbandoned(r *run) {
	rest := slices.DeleteFunc(d.abandoned[r.task], func(other *run) bool { return other == r })
	if len(rest) == 0 {
		delete(d.abandoned, r.task)
		return
	}
	d.abandoned[r.task] = rest
}

// findAbandoned takes over an attempt that an earlier leader has abandoned.
func (d *Dispatcher) findAbandoned(now modeler.ClockReading, h *host, task modeler.FlowTask, attempt modeler.Attempt) *run {
	r := d.addBeside(now, h, task, attempt, restored)
	d.noteAbandoned(r)
	return r
}

// keepAbandoned lets an abandoned attempt that still runs stand for its task
// while no newer one was made.
func (d *Dispatcher) keepAbandoned(r *run) {
	if r.abandoned && !r.stopping && d.runs[r.task] == nil && r.unit != nil {
		d.runs[r.task] = r
		r.unit.refresh()
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
			d.stop(now, r, "its flow is over")
		}
	}
}

// stopCopies stops the other attempts of a task that is done.
func (d *Dispatcher) stopCopies(now modeler.ClockReading, task modeler.FlowTask) {
	if r := d.runs[task]; r != nil {
		d.stop(now, r, "another attempt is done")
	}
	for _, r := range d.abandoned[task] {
		d.stop(now, r, "another attempt is done")
	}
}
