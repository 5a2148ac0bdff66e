package dispatcher

import (
	"math"
	"time"

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
	// demandPeriod is the time after which a started task counts a third in the demand
	// for fast workers: long enough for several steps of each queue.
	demandPeriod = 10 * time.Second
	// scarcityExponent sets how the price of fast workers rises with the load: it is below
	// a hundredth while less than a third of the cell is used, and half of it at 84%.
	scarcityExponent = 2
	// lateWorth is the assumed worth of a flow that ends late but while its caller waits,
	// relative to one that ends in time.
	lateWorth = 0.3
	// siblingDeviation is the standard deviation of log(run time / expected run time) at
	// most if a task of the same step has ended.
	siblingDeviation = 0.35
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

// demand is what the tasks that were started lately would lose on slow workers, which is
// the price of room on fast ones.
type demand struct {
	// worth is the sum of what the tasks would lose, and use that of their processors
	// times their run times.
	worth, use float64
	// load is the used share of the cell's processors.
	load float64
}

// update lets earlier starts count less, and measures the load of the cell.
func (m *demand) update(elapsed time.Duration, hosts []*host) {
	rest := math.Exp(-float64(elapsed) / float64(demandPeriod))
	m.worth *= rest
	m.use *= rest
	used, capacity := modeler.Millicores(0), modeler.Millicores(1)
	for _, h := range hosts {
		used += h.used.Processors
		capacity += h.worker.Capacity.Processors
	}
	m.load = max(0, min(float64(used)/float64(capacity), 1))
}

// price returns what other work is likely to lose if a task uses room on fast workers, for
// each processor and second. Where much is free, other work finds room there as well.
func (m *demand) price() float64 {
	if m.use == 0 {
		return 0
	}
	return math.Pow(m.load, scarcityExponent) * m.worth / m.use
}

// use returns the processors that a task of the step uses, times its run time.
func (u *unit) use() float64 {
	return float64(max(u.step.Need.Processors, 1)) * max(u.expectedRuntime().Seconds(), 0.001)
}

// worthOn returns what a task of the step is worth to its caller if it starts now on a
// worker of the given slowness, as the flow's other tasks allow: 1 if it ends in time for
// certain, 0 if it certainly ends only after the caller has given up.
func (u *unit) worthOn(slowness float64) float64 {
	d := u.dispatcher
	expected := u.expectedRuntime()
	deviation := d.queue(u.flow.Spec.Queue).runtimes.deviation()
	if u.doneTasks > 0 {
		deviation = min(deviation, siblingDeviation)
	}
	chance := func(start modeler.Timestamp) float64 {
		within := time.Duration(start-d.stamp)*time.Millisecond + expected
		if within <= 0 {
			return 0
		}
		return math.Erfc((u.predictedLog()+slowness-logOf(within))/deviation/math.Sqrt2) / 2
	}
	return (1-lateWorth)*chance(u.latestStart) + lateWorth*chance(u.deadlines.expired)
}

// lossOnSlow returns how much more a task of the step is worth on a fast worker of the cell
// than on a slow one.
func (u *unit) lossOnSlow() float64 {
	if u.step.LongRunning || u.step.Estimate <= 0 || u.deadlines.expired == math.MaxInt64 {
		return 0
	}
	spread := u.dispatcher.profiler.Spread()
	return max(u.worthOn(-spread)-u.worthOn(spread), 0)
}

// speedPreference tells whether a step should run on fast or slow workers: 1 for fast
// ones if all that other work could gain there is worth little compared with what this
// step gains, and -1 for slow ones if it is worth much more. It is 0 for backfill.
func (d *Dispatcher) speedPreference(u *unit) float64 {
	if u.step.Backfill || !d.uses(Speed) {
		return 0
	}
	if u.preferenceAt != d.stamp {
		u.preferenceAt = d.stamp
		own, price := u.lossOnSlow()/u.use(), d.demand.price()
		u.preference = 0
		if own+price > 0 {
			u.preference = (own - price) / (own + price)
		}
	}
	return u.preference
}

// countDemand counts the start of a task.
func (d *Dispatcher) countDemand(u *unit) {
	if u.step.Backfill || u.step.LongRunning || u.step.Estimate <= 0 {
		return
	}
	d.demand.worth += u.lossOnSlow()
	d.demand.use += u.use()
}

// speedScore returns the part of a worker's score for a step that depends on
// the worker's speed.
func (d *Dispatcher) speedScore(u *unit, h *host) float64 {
	return speedScoreWeight * d.speedPreference(u) * h.speed.Slowness()
}

// rating rates a worker that can take the given number of tasks for a permit
// request. Open permit requests that name the worker lower the rating, since
// their steps are likely to use some of its capacity.
func (d *Dispatcher) rating(u *unit, h *host, tasks int) float64 {
	return float64(tasks) / float64(1+h.openPermitRequests) * math.Exp(-speedRatingWeight*d.speedPreference(u)*h.speed.Slowness())
}
