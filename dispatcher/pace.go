package dispatcher

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// throttleInterval is the time between two changes of a task's share. Workers
	// report the load of the last half second, so an earlier change would act on
	// old figures.
	throttleInterval = 600 * time.Millisecond
	// relaxBelow is the fraction of the latency target below which backfill gets a
	// larger share.
	relaxBelow = 0.7
	// throttleStep is the number of percent by which a share increases at a time.
	throttleStep = 20
	// overTargetDivisor sets when backfill is stopped instead of throttled: after
	// one part in overTargetDivisor of the time that a serving task may exceed its
	// target.
	overTargetDivisor = 2
)

// throttleBackfill throttles backfill beside serving tasks that exceed their
// latency target, and increases its share when they are well below the target.
func (d *Dispatcher) throttleBackfill(now modeler.ClockReading, h *host) {
	worst, serves := 0.0, false
	var since modeler.ClockReading
	for _, r := range h.runs {
		if r.unit == nil || r.unit.step.LatencyTarget == 0 || r.phase != running {
			continue
		}
		serves = true
		loadRatio := float64(time.Duration(r.load)*time.Millisecond) / float64(r.unit.step.LatencyTarget)
		worst = max(worst, loadRatio)
		switch {
		case loadRatio <= 1:
			r.overTargetSince = 0
		case r.overTargetSince == 0:
			r.overTargetSince = now
		}
		if r.overTargetSince != 0 && (since == 0 || r.overTargetSince < since) {
			since = r.overTargetSince
		}
	}
	for _, r := range h.runs {
		if r.unit == nil || !r.unit.step.Backfill || r.orphaned || r.phase != running || r.stopping || r.throttlePending {
			continue
		}
		d.throttleRun(now, r, serves, worst, since)
	}
}

func (d *Dispatcher) throttleRun(now modeler.ClockReading, r *run, serves bool, worst float64, since modeler.ClockReading) {
	if serves && since != 0 && now.Sub(since) > d.settings.MaxTimeOverTarget/overTargetDivisor && d.budgetAllowsStop(r) {
		d.stopRun(now, r, "a serving task beside it is over its target")
		return
	}
	if now.Sub(r.shareAt) < throttleInterval {
		return
	}
	share := r.share
	switch {
	case serves && worst > 1:
		share = 0
	case !serves || worst < relaxBelow:
		share = min(100, share+throttleStep)
	}
	if share == r.share {
		return
	}
	r.throttlePending = true
	r.shareAt = now
	d.logTask("task throttled", r.task, r.attempt, r.host.worker.ID, "percent", share, "worst", worst)
	d.send(r.host, modeler.Order{Kind: modeler.ThrottleOrder, Task: r.task, Attempt: r.attempt, Percent: share})
}

// budgetAllowsStop reports whether an attempt may be stopped within the disruption budget
// of its step: fewer other tasks of the step are away than the budget. A step without a
// budget has no bound, and a task that isn't at work doesn't count.
func (d *Dispatcher) budgetAllowsStop(r *run) bool {
	budget := r.unit.step.DisruptionBudget
	if budget == 0 || !r.isAtWork() {
		return true
	}
	away := 0
	for i := range r.unit.step.Count {
		other := d.runs[r.unit.task(modeler.TaskIndex(i))]
		if other != r && (other == nil || !other.isAtWork()) {
			away++
		}
	}
	return away < budget
}

// isAtWork reports whether an attempt of a task that lasts is at work and not being
// stopped.
func (r *run) isAtWork() bool { return r.phase == running && !r.stopping && r.percent >= 100 }
