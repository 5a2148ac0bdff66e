package profiler

const (
	// initialSpread is the variance of the workers' slowness that a cell is assumed to
	// have until its workers have shown it. Its weight is that of initialWorkers workers
	// at first, and falls as more are known, so that nothing of it is left in a large cell
	// of workers that are alike.
	initialSpread  = 0.2 * 0.2
	initialWorkers = 4.0
	// minSpread is the least variance of the workers' slowness: a hundredth of the speed.
	minSpread = 0.01 * 0.01
	// minKind is the number of workers of a kind from which it has a mean of its own.
	minKind = 2
)

// distribution is a normal distribution.
type distribution struct{ mean, variance float64 }

// spread is how the workers of a cell differ: the mean of each kind, and how much the
// workers of a kind differ.
type spread struct {
	kinds map[Kind]distribution
	other distribution
}

func newSpread() spread { return spread{other: distribution{variance: initialSpread}} }

// prior returns what is known of a worker of the kind before its first task has ended.
func (s *spread) prior(kind Kind) distribution {
	if d, found := s.kinds[kind]; found {
		return d
	}
	return s.other
}

// group is a number of workers with the means of their samples.
type group struct {
	kind  Kind
	means []distribution
}

// spreadOf estimates the spread of a cell from the workers of which enough is known.
func spreadOf(workers []*Worker) spread {
	groups, known := groupByKind(workers)
	if known == 0 {
		return newSpread()
	}
	within := varianceWithin(groups)
	means := make([]distribution, len(groups))
	for i, g := range groups {
		means[i] = meanOf(g.means, within)
	}
	// The means of kinds that explain nothing differ as chance makes them differ, and
	// are then all moved to the mean of the cell.
	between := excess([]group{{means: means}}, 0)
	if len(groups) < minKind {
		between = 0
	}
	cell := meanOf(means, between)
	if between == 0 {
		within = varianceWithin([]group{allOf(groups)})
		cell = meanOf(allOf(groups).means, within)
	}
	out := spread{kinds: make(map[Kind]distribution), other: distribution{cell.mean, within + between + cell.variance}}
	for i, g := range groups {
		mean := cell
		if between > 0 {
			mean = combine(distribution{cell.mean, between}, means[i])
		}
		if g.kind != "" {
			out.kinds[g.kind] = distribution{mean.mean, within + mean.variance}
		}
	}
	return out
}

// groupByKind returns the workers of which enough is known in groups, and their number.
// Workers of kinds with too few of them are in one group.
func groupByKind(workers []*Worker) ([]group, int) {
	counts := make(map[Kind]int)
	known := 0
	for _, w := range workers {
		if w.count >= minSamples {
			counts[w.kind]++
			known++
		}
	}
	var groups []group
	at := make(map[Kind]int)
	for _, w := range workers {
		if w.count < minSamples {
			continue
		}
		kind := w.kind
		if counts[kind] < minKind {
			kind = ""
		}
		i, found := at[kind]
		if !found {
			i = len(groups)
			at[kind] = i
			groups = append(groups, group{kind: kind})
		}
		groups[i].means = append(groups[i].means, distribution{w.mean, w.variance})
	}
	return groups, known
}

// allOf returns all workers as one group.
func allOf(groups []group) group {
	var out group
	for _, g := range groups {
		out.means = append(out.means, g.means...)
	}
	return out
}

// varianceWithin returns the variance of the workers' slowness within the groups.
func varianceWithin(groups []group) float64 {
	degrees := 0.0
	for _, g := range groups {
		degrees += float64(len(g.means) - 1)
	}
	found := excess(groups, 0)
	// A second estimate, weighted by the first, is less subject to workers with many
	// samples.
	found = excess(groups, found)
	initial := initialWorkers * initialWorkers / (initialWorkers + degrees)
	return max((found*degrees+initialSpread*initial)/(degrees+initial), minSpread)
}

// excess returns by how much the means within the groups differ more than their variances
// explain (the estimator of Paule and Mandel, and that of DerSimonian and Laird for an
// assumed variance of 0).
func excess(groups []group, assumed float64) float64 {
	squares, expected, scale := 0.0, 0.0, 0.0
	for _, g := range groups {
		center := meanOf(g.means, assumed)
		sum, sumSquares := 0.0, 0.0
		for _, m := range g.means {
			weight := 1 / (m.variance + assumed)
			sum += weight
			sumSquares += weight * weight
			squares += weight * (m.mean - center.mean) * (m.mean - center.mean)
		}
		for _, m := range g.means {
			weight := 1 / (m.variance + assumed)
			expected += (weight - weight*weight/sum) * m.variance
		}
		scale += sum - sumSquares/sum
	}
	if scale <= 0 {
		return 0
	}
	return max((squares-expected)/scale, 0)
}

// meanOf returns the mean of the distributions, which differ by the given variance.
func meanOf(means []distribution, between float64) distribution {
	sum, weight := 0.0, 0.0
	for _, m := range means {
		w := 1 / (m.variance + between)
		sum += w * m.mean
		weight += w
	}
	if weight == 0 {
		return distribution{variance: between}
	}
	return distribution{mean: sum / weight, variance: 1 / weight}
}

// combine returns what two independent estimates show together.
func combine(a, b distribution) distribution {
	precision := 1/a.variance + 1/b.variance
	return distribution{mean: (a.mean/a.variance + b.mean/b.variance) / precision, variance: 1 / precision}
}
