package profiler

import (
	"math"
	"slices"
)

const (
	// maxSamples bounds the run times that are kept of a worker. Those further back have
	// a negligible weight.
	maxSamples = 32
	// decay is the factor by which the weight of a worker's earlier samples falls with
	// each newer one. The newest ten outweigh the others, so a worker that changes its
	// speed is known anew after about ten tasks.
	decay = 0.93
	// minSamples is the number of samples from which a worker counts in the spread of
	// the cell: with three of them the median is not an outlier.
	minSamples = 3
	// outlierShare is the assumed share of runs whose time says nothing about their
	// worker. outlierVariance is the variance of the logarithm of those run times: a
	// factor of 7.
	outlierShare    = 0.05
	outlierVariance = 4.0
	// maxSteps bounds the iterations of a robust mean; most need three.
	maxSteps = 8
	// settled is the change of a robust mean below which it counts as final.
	settled = 1e-3
	// freshDivisor sets when a worker's estimate is made anew: when one part in
	// freshDivisor of the samples is not covered.
	freshDivisor = 16
	// minBelief is the least weight of a sample, so that a mean of outliers alone exists.
	minBelief = 1e-6
)

// Kind groups workers that are likely to be equally fast, such as those of one type of
// machine. Workers of the kind "" have nothing in common.
type Kind string

// Worker is what is known of the speed of one worker.
type Worker struct {
	kind    Kind
	samples []sample
	// fresh counts the samples that the estimate doesn't cover.
	fresh int
	// count is the number of samples so far, including those of a restored Record.
	count int
	// mean is the robust mean of the samples alone, and variance its variance.
	mean, variance float64
	// sum and weight are the weighted sum of the samples and the sum of the weights,
	// with the outliers that the estimate leaves out.
	sum, weight float64
	// slowness and deviation are the current estimate, relative to the cell.
	slowness, deviation float64
}

// sample is the logarithm of one run time relative to the expected one, with its
// variance.
type sample struct {
	value, variance float64
	// odds are those of an outlier at distance 0, and growth is the factor of the square
	// of the distance in the exponent by which they grow.
	odds, growth float64
}

func newSample(value, variance float64) sample {
	return sample{
		value: value, variance: variance,
		odds:   outlierShare / (1 - outlierShare) * math.Sqrt(variance/(variance+outlierVariance)),
		growth: (1/variance - 1/(variance+outlierVariance)) / 2,
	}
}

// reliability returns the probability that a sample is not an outlier, if mean is the
// slowness of its worker.
func (s *sample) reliability(mean float64) float64 {
	distance := s.value - mean
	return max(1/(1+s.odds*math.Exp(distance*distance*s.growth)), minBelief)
}

// Slowness returns the estimate of log(run time / expected run time) of tasks on the
// worker; it is negative for fast ones. The mean over the workers of the cell is 0.
func (w *Worker) Slowness() float64 { return w.slowness }

// Deviation returns the standard deviation of the estimate.
func (w *Worker) Deviation() float64 { return w.deviation }

// add adds a sample in place of the oldest one.
func (w *Worker) add(s sample) {
	if len(w.samples) == maxSamples {
		copy(w.samples, w.samples[1:])
		w.samples = w.samples[:maxSamples-1]
	}
	w.samples = append(w.samples, s)
	w.count++
	w.fresh++
}

// isDue reports whether the estimate is to be made anew: after each of the first samples,
// and then after a few.
func (w *Worker) isDue() bool { return w.fresh*freshDivisor >= len(w.samples) }

// sampleMean returns the robust mean of the samples and its variance.
func (w *Worker) sampleMean() (float64, float64) {
	flat := distribution{variance: math.Inf(1)}
	fit := w.fit(flat, w.median())
	return fit.sum / fit.weight, 1 / fit.weight
}

// median returns the weighted median of the samples.
func (w *Worker) median() float64 {
	var space [maxSamples]weighted
	values := space[:0]
	total := 0.0
	age := 1.0
	for i := len(w.samples) - 1; i >= 0; i-- {
		s := w.samples[i]
		values = append(values, weighted{s.value, age / s.variance})
		total += age / s.variance
		age *= decay
	}
	return medianOf(values, total)
}

// weighted is a value with its weight.
type weighted struct{ value, weight float64 }

// medianOf returns the weighted median, or 0 without values. It orders the values.
func medianOf(values []weighted, total float64) float64 {
	slices.SortFunc(values, func(a, b weighted) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		default:
			return 0
		}
	})
	below := 0.0
	for _, v := range values {
		below += v.weight
		if 2*below >= total {
			return v.value
		}
	}
	return 0
}

// fitted is a robust mean, with the weighted sum and the weight of its samples.
type fitted struct{ mean, sum, weight float64 }

// fit finds the robust mean of the samples and the prior nearest to start.
func (w *Worker) fit(prior distribution, start float64) fitted {
	out := fitted{mean: start}
	for range maxSteps {
		out.sum, out.weight = 0, 0
		age := 1.0
		for i := len(w.samples) - 1; i >= 0; i-- {
			s := &w.samples[i]
			weight := age / s.variance * s.reliability(out.mean)
			out.sum += weight * s.value
			out.weight += weight
			age *= decay
		}
		next := (prior.mean/prior.variance + out.sum) / (1/prior.variance + out.weight)
		change := next - out.mean
		out.mean = next
		if math.Abs(change) < settled {
			break
		}
	}
	return out
}

// likelihood returns the logarithm of the likelihood of a slowness.
func (w *Worker) likelihood(prior distribution, slowness float64) float64 {
	out := -(slowness - prior.mean) * (slowness - prior.mean) / (2 * prior.variance)
	age := 1.0
	for i := len(w.samples) - 1; i >= 0; i-- {
		s := &w.samples[i]
		distance := s.value - slowness
		usual := (1 - outlierShare) * density(distance, s.variance)
		unusual := outlierShare * density(distance, s.variance+outlierVariance)
		out += age * math.Log(usual+unusual+math.SmallestNonzeroFloat64)
		age *= decay
	}
	return out
}

// density returns the density of a normal distribution but for a constant factor.
func density(distance, variance float64) float64 {
	return math.Exp(-distance*distance/(2*variance)) / math.Sqrt(variance)
}

// weigh decides which samples are outliers, given what is known of the worker's kind.
// One run that takes several times as long is an outlier where workers are alike, and
// several of them show that the worker is slow: of these two explanations the likelier
// one counts.
func (w *Worker) weigh(prior distribution) {
	w.sum, w.weight = 0, 0
	if len(w.samples) == 0 {
		return
	}
	if w.fresh > 0 {
		w.mean, w.variance = w.sampleMean()
		w.fresh = 0
	}
	best := w.fit(prior, w.mean)
	other := w.fit(prior, prior.mean)
	if math.Abs(best.mean-other.mean) > 2*settled && w.likelihood(prior, other.mean) > w.likelihood(prior, best.mean) {
		best = other
	}
	w.sum, w.weight = best.sum, best.weight
}

// estimate returns the worker's slowness with its variance.
func (w *Worker) estimate(prior distribution) distribution {
	precision := 1/prior.variance + w.weight
	return distribution{mean: (prior.mean/prior.variance + w.sum) / precision, variance: 1 / precision}
}
