package profiler

import (
	"math"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// initialNoise is the variance of the logarithms of run times of equal tasks that a
	// queue is assumed to have, and initialStepVariance that of what the tasks of one
	// step have in common. They count for initialWeight observations.
	initialNoise        = 0.25 * 0.25
	initialStepVariance = 0.25
	initialWeight       = 5.0
	// minNoise bounds the variance of run times, since the leader learns of starts and
	// ends with a delay: 3% of a second.
	minNoise = 0.03 * 0.03
	// maxWeight bounds the weight of earlier observations of a queue, so that newer ones
	// replace them.
	maxWeight = 200.0
	// The spread of the cell is estimated anew after minRefresh runs, or one a worker,
	// and later after one part in refreshDivisor of all runs up to refreshRuns a worker,
	// since each estimate visits all workers.
	minRefresh     = 32
	refreshDivisor = 8
	refreshRuns    = 4
)

// Profiler estimates the speeds of the workers of a cell. The spread of the cell's
// workers is the prior of each worker (empirical Bayes): where all show the same speed,
// the differences between their run times are noise.
type Profiler struct {
	workers []*Worker
	queues  map[modeler.QueueID]*queue
	spread  spread
	// center is the mean slowness of the workers.
	center float64
	// runs counts the runs so far, and pending those since the last refresh.
	runs, pending int
}

// queue is what is known of the run times of a queue.
type queue struct {
	// noise is the variance of the run times of equal tasks, and step the variance of
	// what the tasks of one step have in common.
	noise, step average
}

// average is a mean in which newer observations replace older ones.
type average struct{ mean, weight float64 }

func (a *average) add(value, weight float64) {
	a.weight = min(a.weight+weight, maxWeight)
	a.mean += weight / a.weight * (value - a.mean)
}

// New returns a profiler of a cell without workers.
func New() *Profiler {
	return &Profiler{queues: make(map[modeler.QueueID]*queue), spread: newSpread()}
}

// AddWorker adds a worker of which nothing is known but its kind.
func (p *Profiler) AddWorker(kind Kind) *Worker {
	w := &Worker{kind: kind}
	p.workers = append(p.workers, w)
	p.update(w)
	return w
}

// RemoveWorker removes a worker.
func (p *Profiler) RemoveWorker(w *Worker) {
	p.workers = slices.DeleteFunc(p.workers, func(other *Worker) bool { return other == w })
}

// Spread returns the standard deviation of the slowness of the cell's workers.
func (p *Profiler) Spread() float64 { return math.Sqrt(p.spread.other.variance) }

func (p *Profiler) queue(id modeler.QueueID) *queue {
	q := p.queues[id]
	if q == nil {
		q = &queue{noise: average{initialNoise, initialWeight}, step: average{initialStepVariance, initialWeight}}
		p.queues[id] = q
	}
	return q
}

// Run is the run of one task: log(run time / expected run time), where the expectation
// is for a worker of the usual speed.
type Run struct {
	Worker    *Worker
	Deviation float64
}

// Learn learns from the runs of one step's tasks. Tasks of one step share the error of
// their estimate, so each is compared with the others: a flow whose tasks all take long
// says nothing about the workers.
func (p *Profiler) Learn(id modeler.QueueID, runs []Run) {
	if len(runs) == 0 {
		return
	}
	q := p.queue(id)
	noise := max(q.noise.mean, minNoise)
	common := p.commonPart(runs, noise, q.step.mean)
	learnStepVariance(q, common)
	for i, r := range runs {
		rest := common.without(i)
		s := newSample(r.Deviation-rest.mean, noise+rest.variance)
		learnNoise(q, r.Worker, s.value, rest.variance)
		r.Worker.add(s)
		if r.Worker.isDue() {
			r.Worker.weigh(p.spread.prior(r.Worker.kind))
			p.update(r.Worker)
		}
	}
	p.runs += len(runs)
	p.pending += len(runs)
	if p.pending >= max(min(p.runs/refreshDivisor, refreshRuns*len(p.workers)), len(p.workers), minRefresh) {
		p.refresh()
	}
}

// commonPart is the estimate of what the deviations of a step's runs have in common.
type commonPart struct {
	values      []weighted
	sum, weight float64
	// variance is that of the common part before any run is known.
	variance float64
}

// commonPart estimates the common part of a step's runs, corrected by what is known of
// their workers. Runs that differ from the median as only outliers do count little.
func (p *Profiler) commonPart(runs []Run, noise, variance float64) commonPart {
	out := commonPart{values: make([]weighted, len(runs)), variance: variance}
	total := 0.0
	for i, r := range runs {
		own := noise + r.Worker.deviation*r.Worker.deviation
		out.values[i] = weighted{r.Deviation - r.Worker.slowness, 1 / own}
		total += 1 / own
	}
	median := medianOf(slices.Clone(out.values), total)
	for i := range out.values {
		v := &out.values[i]
		s := newSample(v.value, 1/v.weight)
		v.weight *= s.reliability(median)
		out.sum += v.weight * v.value
		out.weight += v.weight
	}
	return out
}

// without returns the common part as the other runs than the one at i show it.
func (c *commonPart) without(i int) distribution {
	v := c.values[i]
	precision := 1/c.variance + c.weight - v.weight
	return distribution{mean: (c.sum - v.weight*v.value) / precision, variance: 1 / precision}
}

// learnStepVariance learns how much steps of the queue differ.
func learnStepVariance(q *queue, c commonPart) {
	mean := c.sum / c.weight
	q.step.add(max(mean*mean-1/c.weight, 0), 1)
	q.step.mean = max(q.step.mean, minNoise)
}

// learnNoise learns how much run times of equal tasks differ, from a new run on a worker
// whose earlier runs are known. known is the variance of the run's expectation.
func learnNoise(q *queue, w *Worker, value, known float64) {
	if w.count < minSamples {
		return
	}
	distance := value - w.mean
	known += w.variance
	s := newSample(value, q.noise.mean+known)
	q.noise.add(max(distance*distance-known, 0), s.reliability(w.mean))
}

// update updates the estimate of a worker.
func (p *Profiler) update(w *Worker) {
	e := w.estimate(p.spread.prior(w.kind))
	w.slowness, w.deviation = e.mean-p.center, math.Sqrt(e.variance)
}

// refresh estimates the spread of the cell anew, and with it all workers.
func (p *Profiler) refresh() {
	p.pending = 0
	p.spread = spreadOf(p.workers)
	p.center = 0
	for _, w := range p.workers {
		prior := p.spread.prior(w.kind)
		w.weigh(prior)
		p.center += w.estimate(prior).mean / float64(len(p.workers))
	}
	for _, w := range p.workers {
		p.update(w)
	}
}
