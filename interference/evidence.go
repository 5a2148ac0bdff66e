package interference

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// beliefThreshold is the value that the evidence of a pair has to reach. Without
	// interference its expected value is 1 at most at any time, so it reaches 3000 in one of
	// 3000 pairs at most, however long and often it is looked at (Ville's inequality). One in a
	// thousand is allowed; the rest is for what makes the orders of runs not quite equally
	// likely, such as errors of the levels of workers. With 1000, 3 of 3,840 were believed.
	beliefThreshold = 3000.0
	// minWorkers is the number of workers on which a pair must have been slow: on a single one
	// the worker itself may be the reason.
	minWorkers = 3
	// minSlowdown is the logarithm of the least slowdown that is believed: a tenth. Smaller ones
	// are within what workers of one kind differ by.
	minSlowdown = 0.095
	// maxMet bounds the weight of earlier runs in an estimate, so that newer ones replace them
	// when images change their behaviour.
	maxMet = 30.0
	// priorSlowdownVariance is the variance of the logarithm of slowdowns before anything is known.
	priorSlowdownVariance = 0.25
	// initialNoise is the assumed variance of the logarithm of run times.
	initialNoise = 0.25
	// noiseRate is the weight of a group's variance in the variance of a pair.
	noiseRate = 0.1
	// maxDeviation bounds the logarithm of one run's deviation in estimates, so that a run that
	// takes 7 times as long counts like one that takes 3.3 times as long.
	maxDeviation = 1.2
	// initialShare is the part of the evidence that is staked on interference from the first
	// meeting on. The rest is staked on interference that begins later.
	initialShare = 0.5
	// scaleDecay lets the scale follow groups in which the pair meets less.
	scaleDecay = 0.95
	minScale   = 0.1
)

// stakes are the fractions by which the evidence changes when a group has the largest product. Small
// ones suit small slowdowns, large ones need few meetings for large slowdowns.
var stakes = [...]float64{0.15, 0.45, 0.9}

// evidence is what is known of one pair.
type evidence struct {
	// wealth is the value of a bet against the absence of interference, for each stake.
	wealth [len(stakes)]float64
	groups int
	// scale is the largest product that a group is expected to have.
	scale float64
	// exposure is the sum of squares of the shares around their mean, and product the sum of
	// products of shares and deviations. noise is the variance of the deviations.
	exposure, product, noise float64
	// slowOn is a set of hashes of the workers on which the pair was slow.
	slowOn   uint64
	lastMet  modeler.ClockReading
	believed bool
}

func newEvidence() *evidence {
	e := &evidence{noise: initialNoise, scale: 1}
	e.reset()
	return e
}

// reset discards the evidence for a belief.
func (e *evidence) reset() {
	for j := range e.wealth {
		e.wealth[j] = initialShare
	}
	e.groups, e.slowOn = 0, 0
}

// slowdown returns the estimated logarithm of the slowdown.
func (e *evidence) slowdown() float64 {
	return e.product / (e.exposure + e.noise/priorSlowdownVariance)
}

// deviation returns the standard error of slowdown.
func (e *evidence) deviation() float64 {
	return math.Sqrt(e.noise / (e.exposure + e.noise/priorSlowdownVariance))
}

// strength returns the evidence for interference, to be compared with beliefThreshold.
func (e *evidence) strength() float64 {
	sum := 0.0
	for _, w := range e.wealth {
		sum += w
	}
	return sum / float64(len(e.wealth))
}

// addGroup adds the runs of one group: the share of each run's time beside the other image,
// and the run's deviation.
func (e *evidence) addGroup(g *group, shares, deviations, ranks []float64) {
	n := float64(len(shares))
	meanShare := 0.0
	for _, f := range shares {
		meanShare += f / n
	}
	product, exposure, covariance, variance := 0.0, 0.0, 0.0, 0.0
	centre := median(deviations)
	for i, f := range shares {
		x := max(-maxDeviation, min(deviations[i]-centre, maxDeviation))
		product += f * ranks[i]
		exposure += (f - meanShare) * (f - meanShare)
		covariance += (f - meanShare) * x
		variance += x * x / n
		if f >= minShareOfSlow && ranks[i] > 0 {
			e.slowOn |= 1 << (xxhash.Sum64String(string(g.runs[i].Worker)) % 64)
		}
	}
	e.bet(product, largestProduct(shares, ranks))
	e.exposure += exposure
	e.product += covariance
	if e.exposure > maxMet {
		e.product *= maxMet / e.exposure
		e.exposure = maxMet
	}
	e.noise += noiseRate * (variance - e.noise)
}

// minShareOfSlow is the share of its time from which a run beside an image shows that the pair
// is slow on a worker.
const minShareOfSlow = 0.25

// bet updates the wealth after a group. Without interference all orders of the runs are equally
// likely, so product has the expected value 0 and the wealth does not grow on average. The stake
// on a beginning at this group is taken from a total of 1 for all groups.
//
// The product is compared with the scale of earlier groups. The largest product of this group
// would not do: among long runs more have met the other image, and each of them for a smaller
// share, so a small product would count more if the run was long.
func (e *evidence) bet(product, largest float64) {
	if largest <= 0 {
		return
	}
	e.groups++
	k := float64(e.groups)
	fresh := (1 - initialShare) / (k * (k + 1))
	change := max(-1, min(product/e.scale, 1))
	for j, stake := range stakes {
		e.wealth[j] = (e.wealth[j] + fresh) * (1 + stake*change)
		e.wealth[j] = min(e.wealth[j], beliefThreshold*beliefThreshold)
	}
	e.scale = max(largest, e.scale*scaleDecay, minScale)
}

// isSufficient reports whether the pair may be believed.
func (e *evidence) isSufficient() bool {
	return e.strength() >= beliefThreshold && bits.OnesCount64(e.slowOn) >= minWorkers && e.slowdown() >= minSlowdown
}

// isRefuted reports whether a believed pair is no longer slow.
func (e *evidence) isRefuted() bool { return e.slowdown()+e.deviation() < minSlowdown }
