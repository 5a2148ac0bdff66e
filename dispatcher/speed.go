package dispatcher

import (
	"math"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// speedPrior is how much evidence a worker's speed needs to count for half:
	// as much as that of 8 tasks whose run time is known within a third.
	speedPrior = 80.0
	// speedMemory bounds the evidence, so that newer tasks replace older ones.
	speedMemory = 400.0
	// slownessMax bounds what one task and all of them can say: workers differ
	// by a quarter, and a sick one is left to judgeProgress.
	slownessMax = 0.4
	// speedPull is what a worker's slowness counts for against its free room,
	// which is a number from 0 to 1.
	speedPull = 4.0
	// askPull is what it counts for when workers are named in a question, by
	// the number of tasks that have room there.
	askPull = 4.0
)

// speed is what was learned of a worker: the weighted sum of the
// logarithms of run times by what was expected, and the sum of the weights.
type speed struct {
	sum    float64
	weight float64
}

// note takes over one task, with the variance of the queue it belongs to.
func (s *speed) note(off, variance float64) {
	w := 1 / max(variance, leastDeviation*leastDeviation)
	s.sum += w * max(-slownessMax, min(off, slownessMax))
	s.weight += w
	if s.weight > speedMemory {
		s.sum *= speedMemory / s.weight
		s.weight = speedMemory
	}
}

// slowness is the logarithm of the worker's run times by those of the others;
// it is 0 while nothing is known.
func (s *speed) slowness() float64 { return s.sum / (speedPrior + s.weight) }

// slowdowns is the range of the queues' objectives.
type slowdowns struct{ least, most float64 }

func (s *slowdowns) note(p *modeler.QueuePolicy) {
	if s.least == 0 || p.Slowdown < s.least {
		s.least = p.Slowdown
	}
	s.most = max(s.most, p.Slowdown)
}

// haste tells which workers a step should have: 1 for the fast ones, if its
// queue has the least time for its work, -1 for the slow ones, if it has the
// most time or its tasks last anyway, and 0 if all queues have the same.
func (s *slowdowns) haste(u *unit) float64 {
	switch {
	case u.step.Backfill || s.most <= s.least:
		return 0
	case u.step.LongRunning:
		return -1
	default:
		return 1 - 2*(u.policy.Slowdown-s.least)/(s.most-s.least)
	}
}

// pull is what a worker's speed adds to its score for a step.
func (d *Dispatcher) pull(u *unit, h *host) float64 {
	return speedPull * d.slowdowns.haste(u) * h.speed.slowness()
}

// offer rates a worker with room for that many tasks when a question is made.
// Other questions under way that name it are likely to take of its room.
func (d *Dispatcher) offer(u *unit, h *host, tasks int) float64 {
	return float64(tasks) / float64(1+h.named) * math.Exp(-askPull*d.slowdowns.haste(u)*h.speed.slowness())
}
