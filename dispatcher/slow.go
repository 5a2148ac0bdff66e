package dispatcher

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// slowDeviations is the number of standard deviations from which a task counts
	// as slow: about one normal task in 1000.
	slowDeviations = 3
	// paceSampleTime is the shortest time over which a pace is measured, since
	// progress is reported in whole percent, about every 300 ms.
	paceSampleTime = 400 * time.Millisecond
	// slowWindow is the time within which tasks of two flows must be slow, or
	// minSlowTasks tasks of one flow must have slowed down, to quarantine the
	// worker.
	slowWindow   = 2 * time.Second
	minSlowTasks = 3
	// slowdownFactor is how many times slower than before a task must become to
	// count as slowed down. slowdownMinPercent is the progress from which its
	// earlier pace is known.
	slowdownFactor     = 4
	slowdownMinPercent = 10
	// maxMoves bounds how often a slow task is moved, since a task that simply
	// takes long is slow everywhere.
	maxMoves = 2
)

// slowRun is a slow attempt with the time that it is likely to go on.
type slowRun struct {
	run  *run
	rest time.Duration
}

// checkProgress compares a task's progress with the usual progress in its queue, and
// records it if it is slow.
func (d *Dispatcher) checkProgress(now modeler.ClockReading, h *host, r *run) {
	if r.phase != running || r.stopping || r.unit == nil || r.share < 100 {
		return
	}
	step := r.unit.step
	elapsed := now.Sub(r.startedAt)
	if step.Gang || step.Backfill || step.LongRunning || step.Estimate <= 0 || r.checkpoint != "" {
		return
	}
	rest, known := r.remainingAtPace(now)
	if !known {
		return
	}
	projected := elapsed + rest
	if logOf(projected) < r.unit.predictedLogOn(h)+slowDeviations*r.unit.deviationOn(h) {
		return
	}
	// Tasks of one step share the error of their estimate, so tasks of a single
	// flow count only if they were faster before.
	h.slowSeenAt[r.task] = now
	h.slowedDown[r.task] = r.slowedDown
	h.slowRuns = append(h.slowRuns, slowRun{run: r, rest: rest})
}

// handleSlowRuns quarantines a worker on which several tasks are slow, and stops the
// slow tasks on a quarantined worker that other workers are likely to finish earlier, within
// the disruption budgets of their steps. On other workers they are moved if that has paid in their queue.
func (d *Dispatcher) handleSlowRuns(now modeler.ClockReading, h *host) {
	if len(h.slowRuns) == 0 {
		return
	}
	if !h.isQuarantined(now) && h.isSlow(now) {
		d.quarantineHost(now, h, "its tasks are slow")
	}
	if !h.isQuarantined(now) {
		d.moveOverdue(now, h)
		return
	}
	for _, s := range h.slowRuns {
		r := s.run
		if r.attempt > maxMoves || s.rest <= r.unit.expectedRuntime()+2*d.settings.MaxStopTime {
			continue
		}
		if d.budgetAllowsMove(r) && d.hasOtherWorker(now, r.unit) {
			r.noteFailedProbe(now)
			d.stopRun(now, r, "it is slow")
		}
	}
}

// remainingAtPace returns the remaining run time at the last measured pace, and
// whether a pace was measured.
func (r *run) remainingAtPace(now modeler.ClockReading) (time.Duration, bool) {
	if span := now.Sub(r.sampledAt); span >= paceSampleTime {
		if r.sampledAt >= r.startedAt && r.sampledAt != 0 {
			// At least one percent is assumed, since the next percent may be almost
			// done.
			r.timePerPercent = span / time.Duration(max(r.percent-r.samplePercent, 1))
			if r.samplePercent >= slowdownMinPercent {
				before := r.sampledAt.Sub(r.startedAt) / time.Duration(r.samplePercent)
				r.slowedDown = r.slowedDown || r.timePerPercent > slowdownFactor*before
			}
		}
		r.samplePercent = r.percent
		r.sampledAt = now
	}
	return time.Duration(100-r.percent) * r.timePerPercent, r.timePerPercent != 0
}

// isSlow reports whether the recently slow tasks show that the worker is at
// fault. On a worker that is being probed, one slow task is enough.
func (h *host) isSlow(now modeler.ClockReading) bool {
	flows := make(map[modeler.FlowID]bool)
	slowedDown := 0
	for task, at := range h.slowSeenAt {
		if now.Sub(at) > slowWindow {
			delete(h.slowSeenAt, task)
			delete(h.slowedDown, task)
			continue
		}
		flows[task.Flow] = true
		if h.slowedDown[task] {
			slowedDown++
		}
	}
	return len(flows) > 1 || slowedDown >= minSlowTasks || h.probing && len(h.slowSeenAt) > 0
}
