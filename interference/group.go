package interference

import (
	"cmp"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// group holds runs of one image that are compared with each other: those of one step, which
// share the size of their input, or one of each of several steps.
type group struct {
	image    modeler.ImageName
	step     modeler.StepKey
	openedAt modeler.ClockReading
	runs     []Run
}

// byWorker reduces the group to one run for each worker: that of the first task there, the
// worker with most tasks first. Runs of a step on the same worker share whatever slows the worker
// down, so they are no evidence on their own. Their median would not do either: it is spread
// less than single runs, and where run times are skewed it is on another side of them.
func (g *group) byWorker() *group {
	slices.SortFunc(g.runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Task, b.Task))
	})
	out := &group{image: g.image, runs: g.runs[:0]}
	most, mostRuns := 0, 0
	for from := 0; from < len(g.runs); {
		to := from + 1
		for to < len(g.runs) && g.runs[to].Worker == g.runs[from].Worker {
			to++
		}
		if to-from > mostRuns {
			most, mostRuns = len(out.runs), to-from
		}
		out.runs = append(out.runs, g.runs[from])
		from = to
	}
	if len(out.runs) > 0 {
		out.runs[0], out.runs[most] = out.runs[most], out.runs[0]
	}
	return out
}

// besides lists the images that were beside runs of the group, by size of worker, in the order
// in which they are met.
func (g *group) besides() []Pair {
	var out []Pair
	for i := range g.runs {
		for _, n := range g.runs[i].Neighbours {
			p := Pair{Image: g.image, Beside: n.Image, Size: g.runs[i].Size}
			if n.Share > 0 && !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
	}
	return out
}

// shares returns for each run the share of its time that it was part of the pair.
func (g *group) shares(p Pair) []float64 {
	out := make([]float64, len(g.runs))
	for i := range g.runs {
		if g.runs[i].Size == p.Size {
			out[i] = g.runs[i].shareBeside(p.Beside)
		}
	}
	return out
}

func (r *Run) shareBeside(image modeler.ImageName) float64 {
	for _, n := range r.Neighbours {
		if n.Image == image {
			return max(0, min(n.Share, 1))
		}
	}
	return 0
}

// rankScores returns the ranks of values, scaled to -1 for the least and 1 for the largest.
// Equal values share their mean rank. Ranks don't depend on how far outliers lie out.
func rankScores(values []float64) []float64 {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case values[a] < values[b]:
			return -1
		case values[a] > values[b]:
			return 1
		}
		return 0
	})
	out := make([]float64, len(values))
	last := float64(len(values) - 1)
	for from := 0; from < len(order); {
		to := from + 1
		for to < len(order) && values[order[to]] == values[order[from]] {
			to++
		}
		for _, i := range order[from:to] {
			out[i] = (float64(from+to-1) - last) / last
		}
		from = to
	}
	return out
}

// largestProduct returns a bound of the sum of products of shares and ranks over all orders of
// the ranks. The sum is 0 on average over these orders.
func largestProduct(shares, ranks []float64) float64 {
	f, r := slices.Sorted(slices.Values(shares)), slices.Sorted(slices.Values(ranks))
	up, down := 0.0, 0.0
	for i := range f {
		up += f[i] * r[i]
		down -= f[i] * r[len(r)-1-i]
	}
	// Rounding leaves a little above 0 where all shares are equal.
	if x := max(up, down); x > 1e-9 {
		return x
	}
	return 0
}

// median returns the median of values, or 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
