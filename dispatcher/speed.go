package dispatcher

import (
	"math"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/profiler"
)

const (
	// maxMeasured is the number of runs of a step after which the profiler learns from
	// them. It learns from fewer once the step is done.
	maxMeasured = 32
	// speedScoreWeight is the weight of a worker's slowness in its score, relative
	// to its free share of processors, a number from 0 to 1.
	speedScoreWeight = 4.0
	// speedRatingWeight is the weight of a worker's slowness in its rating,
	// relative to the number of tasks that it can take.
	speedRatingWeight = 4.0
)

// kindOf returns the kind of a worker, which is its first label.
func kindOf(m *modeler.WorkerAnnouncement) profiler.Kind {
	if len(m.Labels) == 0 {
		return ""
	}
	return profiler.Kind(m.Labels[0])
}

// measureRun keeps the run time of a completed task for the profiler, which compares it
// with those of the step's other tasks.
func (d *Dispatcher) measureRun(u *unit, r *run, runtime, expected float64) {
	if len(u.measured) == 0 {
		u.baseLog = expected
	}
	u.measured = append(u.measured, profiler.Run{Worker: r.host.speed, Deviation: runtime - u.baseLog})
	if len(u.measured) == 1 {
		d.measuredSteps = append(d.measuredSteps, u)
	}
}

// learnSpeeds lets the profiler learn from the steps that are done, or have many runs.
func (d *Dispatcher) learnSpeeds() {
	rest := d.measuredSteps[:0]
	for _, u := range d.measuredSteps {
		if !u.dropped && len(u.measured) < maxMeasured && !u.flow.StepDone(u.key) {
			rest = append(rest, u)
			continue
		}
		d.profiler.Learn(u.flow.Spec.Queue, u.measured)
		u.measured = nil
	}
	clear(d.measuredSteps[len(rest):])
	d.measuredSteps = rest
}

// slowdownRange is the range of the slowdown objectives of all queues.
type slowdownRange struct{ lowest, highest float64 }

func (r *slowdownRange) include(p *modeler.QueuePolicy) {
	if r.lowest == 0 || p.Slowdown < r.lowest {
		r.lowest = p.Slowdown
	}
	r.highest = max(r.highest, p.Slowdown)
}

// speedPreference tells whether a step should run on fast or slow workers: 1
// for fast ones if its queue has the tightest objective, -1 for slow ones if it
// has the loosest or the step is long-running, and 0 for backfill or if all
// queues have the same objective.
func (r *slowdownRange) speedPreference(u *unit) float64 {
	switch {
	case u.step.Backfill || r.highest <= r.lowest:
		return 0
	case u.step.LongRunning:
		return -1
	default:
		return 1 - 2*(u.policy.Slowdown-r.lowest)/(r.highest-r.lowest)
	}
}

// speedScore returns the part of a worker's score for a step that depends on
// the worker's speed.
func (d *Dispatcher) speedScore(u *unit, h *host) float64 {
	if !d.uses(Speed) {
		return 0
	}
	return speedScoreWeight * d.slowdownRange.speedPreference(u) * h.speed.Slowness()
}

// rating rates a worker that can take the given number of tasks for a permit
// request. Open permit requests that name the worker lower the rating, since
// their steps are likely to use some of its capacity.
func (d *Dispatcher) rating(u *unit, h *host, tasks int) float64 {
	return float64(tasks) / float64(1+h.openPermitRequests) * math.Exp(-speedRatingWeight*d.slowdownRange.speedPreference(u)*h.speed.Slowness())
}
