package interference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// mixedGroup is the number of steps of one image that are compared with each other.
	mixedGroup = 16
	// maxGroup bounds the runs of one step that are compared with each other; further ones form
	// the next group.
	maxGroup = 64
	// initialGroup is the number of runs for which a group has room at first.
	initialGroup = 12
	// groupTimeout is how long a group waits for further runs of its step.
	groupTimeout = time.Minute
	// maxOpenRuns bounds the runs in groups that are not closed: some 3 MB.
	maxOpenRuns = 8192
	// maxPairs and maxImages bound the pairs and the images with single runs that are kept. The
	// pairs take some 2 MB.
	maxPairs  = 8192
	maxImages = 512
	// evictedPart is the part of the pairs that is dropped at once when there are too many.
	evictedPart = 8
	// forgetAfter is how long a pair is kept after it has last met.
	forgetAfter = 30 * time.Minute
	// sweepInterval is the time between two searches for pairs to forget.
	sweepInterval = time.Minute
	// coldWeight is the weight of steps from which a worker's level is known. Earlier ones only
	// teach it, since the worker may be slow, or cold.
	coldWeight = 6.0
	// maxLevelWeight bounds the weight of earlier steps in a worker's level.
	maxLevelWeight = 64.0
	// singleWeight is the weight in the level of a step that ran on this worker only, relative to
	// one that ran on several: it also holds the error of the step's estimate.
	singleWeight = 0.3
	// maxLevels bounds the workers whose level is kept.
	maxLevels = 8192
)

// level is the usual deviation of the runs of all images on one worker.
type level struct {
	mean   float64
	weight float64
	seenAt modeler.ClockReading
}

// Matrix holds the evidence of all pairs.
type Matrix struct {
	now   modeler.ClockReading
	pairs map[Pair]*evidence
	// involved counts the believed pairs that an image is part of.
	involved map[modeler.ImageName]int
	believed int
	levels   map[modeler.WorkerID]*level
	// steps holds the open groups of steps, listed in the order of their opening in open, and
	// mixed the open groups of single runs.
	steps    map[modeler.StepKey]*group
	open     []*group
	openRuns int
	mixed    map[modeler.ImageName]*group
	changes  []Change
	sweptAt  modeler.ClockReading
}

// NewMatrix returns a matrix without evidence.
func NewMatrix() *Matrix {
	return &Matrix{
		pairs:    make(map[Pair]*evidence),
		involved: make(map[modeler.ImageName]int),
		levels:   make(map[modeler.WorkerID]*level),
		steps:    make(map[modeler.StepKey]*group),
		mixed:    make(map[modeler.ImageName]*group),
	}
}

// Observe adds a completed run of a step of an image. It counts once the step is closed.
func (m *Matrix) Observe(now modeler.ClockReading, image modeler.ImageName, step modeler.StepKey, r Run) {
	m.now = now
	g := m.steps[step]
	if g == nil {
		g = &group{image: image, step: step, openedAt: now, runs: make([]Run, 0, initialGroup)}
		m.steps[step] = g
		m.open = append(m.open, g)
	}
	g.runs = append(g.runs, r)
	m.openRuns++
	if len(g.runs) >= maxGroup {
		m.CloseStep(now, step)
	}
	for m.openRuns > maxOpenRuns {
		m.CloseStep(now, m.open[0].step)
	}
}

// CloseStep compares the runs of a step with each other.
func (m *Matrix) CloseStep(now modeler.ClockReading, step modeler.StepKey) {
	g := m.steps[step]
	if g == nil {
		return
	}
	m.now = now
	delete(m.steps, step)
	at := slices.Index(m.open, g)
	m.open = slices.Delete(m.open, at, at+1)
	m.openRuns -= len(g.runs)
	m.compare(g)
}

// Tick closes groups that have waited for long and forgets pairs that have not met for long.
func (m *Matrix) Tick(now modeler.ClockReading) {
	m.now = now
	for len(m.open) > 0 && now.Sub(m.open[0].openedAt) > groupTimeout {
		m.CloseStep(now, m.open[0].step)
	}
	if now.Sub(m.sweptAt) < sweepInterval {
		return
	}
	m.sweptAt = now
	for p, e := range m.pairs {
		if now.Sub(e.lastMet) > forgetAfter {
			m.drop(p, e)
		}
	}
	for id, l := range m.levels {
		if now.Sub(l.seenAt) > forgetAfter {
			delete(m.levels, id)
		}
	}
}

// compare learns from the runs of a step that is closed: from its workers relative to each
// other, and from the worker with most of its tasks relative to other steps of the image.
func (m *Matrix) compare(g *group) {
	warm := m.updateLevels(g.byWorker())
	if len(warm.runs) == 0 {
		return
	}
	if len(warm.runs) > 1 {
		m.test(warm)
	}
	m.addToMixed(g.image, warm.runs[0])
}

// addToMixed adds a run to the group that compares steps of its image.
func (m *Matrix) addToMixed(image modeler.ImageName, r Run) {
	g := m.mixed[image]
	if g == nil {
		if len(m.mixed) >= maxImages {
			clear(m.mixed)
		}
		g = &group{image: image}
		m.mixed[image] = g
	}
	g.runs = append(g.runs, r)
	if len(g.runs) >= mixedGroup {
		delete(m.mixed, image)
		m.test(g)
	}
}

// updateLevels learns how fast the workers of a step are, and returns its runs on those workers
// whose level was known before.
func (m *Matrix) updateLevels(g *group) *group {
	warm := &group{image: g.image}
	relative := make([]float64, len(g.runs))
	for i := range g.runs {
		r := g.runs[i]
		l := m.level(r.Worker)
		relative[i] = r.Deviation - m.knownSlowdown(g.image, &r) - l.mean
		if l.weight >= coldWeight {
			r.Deviation -= l.mean
			warm.runs = append(warm.runs, r)
		}
	}
	weight, centre := singleWeight, 0.0
	if len(g.runs) > 1 {
		weight, centre = 1, median(relative)
	}
	for i := range g.runs {
		l := m.level(g.runs[i].Worker)
		l.weight = min(l.weight+weight, maxLevelWeight)
		l.mean += weight / l.weight * max(-maxDeviation, min(relative[i]-centre, maxDeviation))
		l.seenAt = m.now
	}
	return warm
}

func (m *Matrix) level(id modeler.WorkerID) *level {
	l := m.levels[id]
	if l == nil {
		if len(m.levels) >= maxLevels {
			clear(m.levels)
		}
		l = &level{seenAt: m.now}
		m.levels[id] = l
	}
	return l
}

// knownSlowdown returns the logarithm of the slowdown of a run by the pairs that are believed.
func (m *Matrix) knownSlowdown(image modeler.ImageName, r *Run) float64 {
	if m.involved[image] == 0 {
		return 0
	}
	sum := 0.0
	for _, n := range r.Neighbours {
		sum += n.Share * m.Slowdown(image, n.Image, r.Size)
	}
	return sum
}

// test updates the evidence of the pairs in a group. What believed pairs explain does not
// count as evidence for others.
func (m *Matrix) test(g *group) {
	deviations := make([]float64, len(g.runs))
	for i := range g.runs {
		deviations[i] = g.runs[i].Deviation - m.knownSlowdown(g.image, &g.runs[i])
	}
	ranks := rankScores(deviations)
	for _, p := range g.besides() {
		shares := g.shares(p)
		if largestProduct(shares, ranks) == 0 {
			// All runs were beside the image for the same time.
			continue
		}
		e := m.evidence(p)
		e.lastMet = m.now
		if !e.believed {
			e.addGroup(g, shares, deviations, ranks)
		} else {
			own := slices.Clone(deviations)
			for i, f := range shares {
				own[i] += f * e.slowdown()
			}
			e.addGroup(g, shares, own, rankScores(own))
		}
		m.updateBelief(p, e)
	}
}

func (m *Matrix) evidence(p Pair) *evidence {
	e := m.pairs[p]
	if e == nil {
		if len(m.pairs) >= maxPairs {
			m.evictPairs()
		}
		e = newEvidence()
		m.pairs[p] = e
	}
	return e
}

// entry is a pair with its evidence.
type entry struct {
	pair Pair
	*evidence
}

// entries lists all pairs.
func (m *Matrix) entries() []entry {
	out := make([]entry, 0, len(m.pairs))
	for p, e := range m.pairs {
		out = append(out, entry{p, e})
	}
	return out
}

// evictPairs drops the pairs that have not met for longest, those that are not believed first.
func (m *Matrix) evictPairs() {
	all := m.entries()
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(compareBelief(b, a), cmp.Compare(a.lastMet, b.lastMet), comparePairs(a.pair, b.pair))
	})
	for _, e := range all[:maxPairs/evictedPart] {
		m.drop(e.pair, e.evidence)
	}
}

// compareBelief orders believed pairs before others.
func compareBelief(a, b entry) int {
	switch {
	case a.believed == b.believed:
		return 0
	case a.believed:
		return -1
	default:
		return 1
	}
}

// drop forgets a pair.
func (m *Matrix) drop(p Pair, e *evidence) {
	delete(m.pairs, p)
	if e.believed {
		m.setBelieved(p, e, false)
		m.changes[len(m.changes)-1].Forgotten = true
	}
}

func (m *Matrix) updateBelief(p Pair, e *evidence) {
	switch {
	case !e.believed && e.isSufficient():
		m.setBelieved(p, e, true)
	case e.believed && e.isRefuted():
		e.reset()
		m.setBelieved(p, e, false)
	}
}

func (m *Matrix) setBelieved(p Pair, e *evidence, believed bool) {
	e.believed = believed
	change := 1
	if !believed {
		change = -1
	}
	m.believed += change
	for _, image := range []modeler.ImageName{p.Image, p.Beside} {
		m.involved[image] += change
		if m.involved[image] == 0 {
			delete(m.involved, image)
		}
	}
	m.changes = append(m.changes, Change{Estimate: estimateOf(p, e)})
}

// TakeChanges returns the pairs that were believed or dropped since the last call.
func (m *Matrix) TakeChanges() []Change {
	out := m.changes
	m.changes = nil
	return out
}

// Involves reports whether the image is part of a believed pair.
func (m *Matrix) Involves(image modeler.ImageName) bool { return m.involved[image] > 0 }

// Slowdown returns the logarithm of the expected slowdown of an image beside another one on
// workers of a size, or 0 if the pair is not believed.
func (m *Matrix) Slowdown(image, beside modeler.ImageName, size Size) float64 {
	e := m.pairs[Pair{Image: image, Beside: beside, Size: size}]
	if e == nil || !e.believed {
		return 0
	}
	return max(e.slowdown(), 0)
}

// Pairs returns the number of pairs that are kept.
func (m *Matrix) Pairs() int { return len(m.pairs) }

// Believed returns the number of pairs that are believed.
func (m *Matrix) Believed() int { return m.believed }

// Estimate returns the estimate of a pair; its Met is 0 if the pair is not known.
func (m *Matrix) Estimate(p Pair) Estimate {
	e := m.pairs[p]
	if e == nil {
		e = newEvidence()
	}
	return estimateOf(p, e)
}

// Worst returns the believed pairs with the largest slowdowns, and after them others with the
// most evidence, n at most.
func (m *Matrix) Worst(n int) []Estimate {
	worst := make([]entry, 0, n+1)
	for p, e := range m.pairs {
		x := entry{p, e}
		at, _ := slices.BinarySearchFunc(worst, x, compareHarm)
		if at < n {
			worst = slices.Insert(worst, at, x)
			worst = worst[:min(len(worst), n)]
		}
	}
	out := make([]Estimate, 0, len(worst))
	for _, e := range worst {
		out = append(out, estimateOf(e.pair, e.evidence))
	}
	return out
}

// compareHarm orders believed pairs by their slowdown, and others by their evidence.
func compareHarm(a, b entry) int {
	harm := cmp.Compare(b.strength(), a.strength())
	if a.believed && b.believed {
		harm = cmp.Compare(b.slowdown(), a.slowdown())
	}
	return cmp.Or(compareBelief(a, b), harm, comparePairs(a.pair, b.pair))
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Image, b.Image), cmp.Compare(a.Beside, b.Beside), cmp.Compare(a.Size, b.Size))
}

func estimateOf(p Pair, e *evidence) Estimate {
	return Estimate{Pair: p, Slowdown: math.Exp(e.slowdown()), Error: e.deviation(), Met: e.exposure, Believed: e.believed}
}

// OpenRuns returns the number of runs whose step is not closed.
func (m *Matrix) OpenRuns() int { return m.openRuns }
