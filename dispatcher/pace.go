package dispatcher

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// paceAgain is the time between two changes of a share: a change shows in
	// the figures of the last half second.
	paceAgain = 600 * time.Millisecond
	// calm is the part of the target below which backfill is given more.
	calm = 0.7
	// paceStep is by how many percent the share rises at a time.
	paceStep = 20
	// overMax is the part of the allowed time over the target after which
	// backfill is stopped instead of throttled.
	overMax = 2
)

// pace throttles the backfill beside serving tasks that are over their target,
// and lets it have more when they are well below.
func (d *Dispatcher) pace(now modeler.ClockReading, h *host) {
	worst, serves := 0.0, false
	var since modeler.ClockReading
	for _, r := range h.runs {
		if r.unit == nil || r.unit.step.LatencyTarget == 0 || r.phase != running {
			continue
		}
		serves = true
		part := float64(time.Duration(r.load)*time.Millisecond) / float64(r.unit.step.LatencyTarget)
		worst = max(worst, part)
		switch {
		case part <= 1:
			r.over = 0
		case r.over == 0:
			r.over = now
		}
		if r.over != 0 && (since == 0 || r.over < since) {
			since = r.over
		}
	}
	for _, r := range h.runs {
		if r.unit == nil || !r.unit.step.Backfill || r.stray || r.phase != running || r.stopping || r.pacing {
			continue
		}
		d.paceRun(now, r, serves, worst, since)
	}
}

func (d *Dispatcher) paceRun(now modeler.ClockReading, r *run, serves bool, worst float64, since modeler.ClockReading) {
	if serves && since != 0 && now.Sub(since) > d.settings.Impact/overMax {
		d.stop(now, r, "a serving task beside it is over its target")
		return
	}
	if now.Sub(r.shareAt) < paceAgain {
		return
	}
	share := r.share
	switch {
	case serves && worst > 1:
		share = 0
	case !serves || worst < calm:
		share = min(100, share+paceStep)
	}
	if share == r.share {
		return
	}
	r.pacing = true
	r.shareAt = now
	d.logTask("task throttled", r.task, r.attempt, r.host.machine.ID, "percent", share, "worst", worst)
	d.send(modeler.Order{
		Kind: modeler.ThrottleOrder, Worker: r.host.machine.ID, Generation: r.host.machine.Generation, Address: r.host.machine.Address,
		Task: r.task, Attempt: r.attempt, Percent: share,
	})
}
