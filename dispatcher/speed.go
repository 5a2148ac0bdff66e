package dispatcher

import (
	"math"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// speedPriorWeight is the weight of the assumption that a worker has the usual
	// speed. It equals the weight of 8 tasks whose run time is known within a
	// third.
	speedPriorWeight = 80.0
	// maxSpeedWeight bounds the weight of earlier tasks, so that newer tasks
	// replace them.
	maxSpeedWeight = 400.0
	// maxSlowness bounds the slowness computed from one task, and thereby that of a
	// worker. Speeds differ by a quarter between normal workers, and checkProgress
	// handles faulty ones.
	maxSlowness = 0.4
	// speedScoreWeight is the weight of a worker's slowness in its score, relative
	// to its free share of processors, a number from 0 to 1.
	speedScoreWeight = 4.0
	// speedRatingWeight is the weight of a worker's slowness in its rating,
	// relative to the number of tasks that it can take.
	speedRatingWeight = 4.0
)

// speed is the estimated speed of a worker: the weighted sum of log(run time /
// expected run time) and the sum of the weights.
type speed struct {
	sum    float64
	weight float64
}

// addSample adds the deviation of one task, weighted by the variance of its
// queue.
func (s *speed) addSample(deviation, variance float64) {
	w := 1 / max(variance, minDeviation*minDeviation)
	s.sum += w * max(-maxSlowness, min(deviation, maxSlowness))
	s.weight += w
	if s.weight > maxSpeedWeight {
		s.sum *= maxSpeedWeight / s.weight
		s.weight = maxSpeedWeight
	}
}

// slowness returns the estimate of log(run time / expected run time) for tasks
// on the worker. It is 0 until a task has ended.
func (s *speed) slowness() float64 { return s.sum / (speedPriorWeight + s.weight) }

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
	return speedScoreWeight * d.slowdownRange.speedPreference(u) * h.speed.slowness()
}

// rating rates a worker that can take the given number of tasks for a permit
// request. Open permit requests that name the worker lower the rating, since
// their steps are likely to use some of its capacity.
func (d *Dispatcher) rating(u *unit, h *host, tasks int) float64 {
	return float64(tasks) / float64(1+h.openPermitRequests) * math.Exp(-speedRatingWeight*d.slowdownRange.speedPreference(u)*h.speed.slowness())
}
