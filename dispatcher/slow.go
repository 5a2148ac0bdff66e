package dispatcher

import (
	"math"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// firstDeviation is the standard deviation of the logarithm of run time
	// by estimate that is assumed before any task has ended: a factor of 1.6.
	firstDeviation = 0.5
	// leastDeviation covers workers of different speeds, 0.8 to 1.25.
	leastDeviation = 0.25
	// slowDeviations is how many standard deviations make a task count as
	// slow: one sound task in about a thousand.
	slowDeviations = 3
	// slowAfter is the least time after which progress is judged, since the
	// percentage of a task is a whole number and lists come about each 300 ms.
	slowAfter = 400 * time.Millisecond
	// slowWithin is the time in which tasks of two flows must be slow, or
	// slowTasks of one have slowed down, to speak against their worker.
	slowWithin = 2 * time.Second
	slowTasks  = 3
	// slowedBy is how many times slower than before a task must be to count
	// as slowed down, and slowedFrom the percentage from which its pace before
	// is known.
	slowedBy   = 4
	slowedFrom = 10
	// movesMax bounds how often a slow task is moved; one that is long by
	// itself is slow everywhere.
	movesMax = 2
)

// judgeProgress compares a task's progress with what its queue's tasks usually
// make, and distrusts a worker on which several are slow.
func (d *Dispatcher) judgeProgress(now modeler.ClockReading, h *host, r *run) {
	if r.phase != running || r.stopping || r.unit == nil || r.share < 100 {
		return
	}
	step := r.unit.step
	elapsed := now.Sub(r.began)
	if step.Gang || step.Backfill || step.LongRunning || step.Estimate <= 0 || r.saved != "" {
		return
	}
	rest, known := r.pace(now)
	if !known {
		return
	}
	projected := elapsed + rest
	q := d.queue(r.unit.flow.Spec.Queue)
	deviation := max(math.Sqrt(q.variance), leastDeviation)
	if math.Log(float64(projected)/float64(step.Estimate)) < q.mean+slowDeviations*deviation {
		return
	}
	// The tasks of a step share the error of their estimate, so those of one
	// flow count only if they were faster before.
	h.slow[r.task] = now
	h.slowed[r.task] = r.slowed
	if !h.suspect(now) && h.isSlow(now) {
		d.distrustHost(now, h, "its tasks are slow")
	}
	if !h.suspect(now) || r.attempt > movesMax {
		return
	}
	expected := r.unit.expected()
	if rest > expected+2*d.settings.Stop {
		d.stop(now, r, "it is slow")
	}
}

// pace returns how long the rest of the work takes at the pace of late.
func (r *run) pace(now modeler.ClockReading) (time.Duration, bool) {
	if span := now.Sub(r.markAt); span >= slowAfter {
		if r.markAt >= r.began && r.markAt != 0 {
			// A percentage that has not moved may be about to.
			r.perPercent = span / time.Duration(max(r.percent-r.mark, 1))
			if r.mark >= slowedFrom {
				before := r.markAt.Sub(r.began) / time.Duration(r.mark)
				r.slowed = r.slowed || r.perPercent > slowedBy*before
			}
		}
		r.mark = r.percent
		r.markAt = now
	}
	return time.Duration(100-r.percent) * r.perPercent, r.perPercent != 0
}

// isSlow reports whether the slow tasks of late speak against the worker; one
// is enough where it is to show whether the worker has recovered.
func (h *host) isSlow(now modeler.ClockReading) bool {
	flows := make(map[modeler.FlowID]bool)
	slowed := 0
	for task, at := range h.slow {
		if now.Sub(at) > slowWithin {
			delete(h.slow, task)
			delete(h.slowed, task)
			continue
		}
		flows[task.Flow] = true
		if h.slowed[task] {
			slowed++
		}
	}
	return len(flows) > 1 || slowed >= slowTasks || h.probing && len(h.slow) > 0
}
