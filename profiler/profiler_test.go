package profiler_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/profiler"
)

// cell is a cell of workers with known speeds, on which steps of ten tasks run.
type cell struct {
	*profiler.Profiler
	random   *rand.Rand
	speeds   []float64
	workers  []*profiler.Worker
	runs     []int
	noise    float64 // standard deviation of the logarithm of run times
	steps    float64 // standard deviation of what tasks of a step have in common
	outliers float64 // share of runs that take 7 times as long
}

func newCell(seed uint64, count int, speeds []float64, kinds []profiler.Kind) *cell {
	c := &cell{Profiler: profiler.New(), random: rand.New(rand.NewPCG(seed, 1)), noise: 0.2, steps: 0.5}
	for i := range count {
		kind := profiler.Kind("")
		if len(kinds) > 0 {
			kind = kinds[i%len(kinds)]
		}
		c.speeds = append(c.speeds, speeds[i%len(speeds)])
		c.workers = append(c.workers, c.AddWorker(kind))
		c.runs = append(c.runs, 0)
	}
	return c
}

// run runs one step of ten tasks on random workers among the first ones.
func (c *cell) run(among int) {
	common := c.random.NormFloat64() * c.steps
	var runs []profiler.Run
	for range 10 {
		i := c.random.IntN(among)
		c.runs[i]++
		deviation := common + c.random.NormFloat64()*c.noise - math.Log(c.speeds[i])
		if c.random.Float64() < c.outliers {
			deviation += math.Log(7)
		}
		runs = append(runs, profiler.Run{Worker: c.workers[i], Deviation: deviation})
	}
	c.Learn("q", runs)
}

func (c *cell) runSteps(n int) {
	for range n {
		c.run(len(c.workers))
	}
}

// miss returns the root mean square and the largest error of the estimates, as factors
// of the run time: 1.1 means a tenth. The mean slowness of the cell is 0.
func (c *cell) miss() (mean, worst float64) {
	center := 0.0
	for _, s := range c.speeds {
		center -= math.Log(s) / float64(len(c.speeds))
	}
	for i, w := range c.workers {
		x := math.Abs(w.Slowness() + math.Log(c.speeds[i]) + center)
		mean += x * x / float64(len(c.workers))
		worst = max(worst, x)
	}
	return math.Exp(math.Sqrt(mean)), math.Exp(worst)
}

// Guards against differences of speed that are noise, against speeds that are cut to a
// fixed range, and against single long runs that make a worker look slow.
func TestEstimatesOfCells(t *testing.T) {
	one := append(make([]float64, 0, 10), 0.1)
	for len(one) < 10 {
		one = append(one, 1)
	}
	for _, x := range []struct {
		name        string
		speeds      []float64
		kinds       []profiler.Kind
		outliers    float64
		mean, worst float64
	}{
		{"alike", []float64{1}, nil, 0, 1.02, 1.05},
		{"alike, kinds that explain nothing", []float64{1}, []profiler.Kind{"a", "b", "c"}, 0, 1.02, 1.05},
		{"alike, with long runs", []float64{1}, nil, 0.03, 1.02, 1.05},
		{"0.7 and 1.7", []float64{0.7, 0.7, 1.7}, nil, 0, 1.08, 1.25},
		{"0.7 and 1.7, with long runs", []float64{0.7, 0.7, 1.7}, nil, 0.03, 1.08, 1.25},
		{"0.7 and 1.7, kinds", []float64{0.7, 0.7, 1.7}, []profiler.Kind{"a", "b", "c"}, 0.03, 1.05, 1.15},
		{"one in ten ten times slower", one, nil, 0, 1.08, 1.25},
		{"one in ten ten times slower, with long runs", one, nil, 0.03, 1.08, 1.25},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(5) {
				c := newCell(seed, 60, x.speeds, x.kinds)
				c.outliers = x.outliers
				c.runSteps(120)
				mean, worst := c.miss()
				t.Logf("seed %d: mean factor %.3f, worst %.3f", seed, mean, worst)
				assert.Check(t, mean < x.mean, "seed %d: estimates are off by %.3f on the average", seed, mean)
				assert.Check(t, worst < x.worst, "seed %d: the worst estimate is off by %.3f", seed, worst)
			}
		})
	}
}

// Guards against estimates from few samples that are worse than none, and against
// workers without any that are not taken for what their kind shows.
func TestFewSamples(t *testing.T) {
	for seed := range uint64(5) {
		c := newCell(seed, 60, []float64{1}, nil)
		c.outliers = 0.03
		c.runSteps(12) // two tasks a worker
		mean, worst := c.miss()
		assert.Check(t, mean < 1.1 && worst < 1.35, "alike: off by %.3f, at worst by %.3f", mean, worst)

		c = newCell(seed, 60, []float64{0.7, 0.7, 1.7}, nil)
		c.runSteps(24)
		mean, _ = c.miss()
		assert.Check(t, mean < 1.22, "four tasks a worker: off by %.3f", mean)

		c = newCell(seed, 60, []float64{0.7, 0.7, 1.7}, []profiler.Kind{"a", "a", "b"})
		for range 100 {
			c.run(30)
		}
		for i, w := range c.workers[30:] {
			off := math.Exp(math.Abs(w.Slowness() - c.workers[i].Slowness()))
			assert.Check(t, off < 1.2, "a worker without tasks is off by %.3f from one of its kind", off)
		}
	}
}

// Guards against a flow whose tasks are all long that makes its workers look slow.
func TestLongFlow(t *testing.T) {
	c := newCell(1, 30, []float64{1}, nil)
	c.runSteps(60)
	before := c.workers[0].Slowness()
	var runs []profiler.Run
	for i := range 10 {
		runs = append(runs, profiler.Run{Worker: c.workers[i], Deviation: math.Log(4) + c.random.NormFloat64()*c.noise})
	}
	c.Learn("q", runs)
	after := c.workers[0].Slowness()
	assert.Check(t, math.Abs(after-before) < 0.05, "slowness %.3f before, %.3f after", before, after)
}

// Guards against a worker that stays what it was long after its speed has changed.
func TestChangedSpeed(t *testing.T) {
	for _, to := range []float64{0.5, 2, 0.1} {
		c := newCell(2, 30, []float64{0.7, 0.7, 1.7}, nil)
		c.outliers = 0.03
		c.runSteps(100)
		usual := c.workers[3].Slowness()
		c.speeds[0] = 0.7 * to
		for c.runs[0] = 0; c.runs[0] < 16; {
			c.runSteps(1)
		}
		got := math.Exp(usual - c.workers[0].Slowness())
		assert.Check(t, got > to/1.3 && got < to*1.3, "%.2f times as fast as before is taken for %.2f", to, got)
	}
}

// Guards against a speed estimate that costs a small leader much: it learns from up to
// 1,000 runs a second.
func BenchmarkLearn(b *testing.B) {
	c := newCell(1, 1100, []float64{0.7, 0.7, 1.7}, nil)
	c.runSteps(1000)
	b.ResetTimer()
	for range b.N {
		c.runSteps(1)
	}
}

// restored returns a cell like c with a new profiler that knows the records of the old one.
func (c *cell) restored() *cell {
	out := *c
	out.Profiler = profiler.New()
	out.workers = nil
	records := make(map[*profiler.Worker]profiler.Record)
	for _, w := range c.workers {
		fresh := out.AddWorker("")
		out.workers = append(out.workers, fresh)
		records[fresh] = w.Record()
	}
	out.RestoreQueue("q", c.QueueRecord("q"))
	out.RestoreWorkers(records)
	return &out
}

// Guards against a new leader whose estimates differ from those of the earlier one, or that
// learns worse with records than the earlier one with all samples.
func TestRestored(t *testing.T) {
	for _, steps := range []int{0, 6, 24, 200} {
		c := newCell(3, 60, []float64{0.7, 0.7, 1.7}, nil)
		c.outliers = 0.03
		c.runSteps(steps)
		r := c.restored()
		for i, w := range c.workers {
			off := math.Abs(w.Slowness() - r.workers[i].Slowness())
			assert.Check(t, off < 0.1+w.Deviation()/2, "after %d steps: slowness %.3f, restored as %.3f", steps, w.Slowness(), r.workers[i].Slowness())
		}
		r.runSteps(200)
		mean, worst := r.miss()
		assert.Check(t, mean < 1.08 && worst < 1.25, "after %d steps: off by %.3f, at worst by %.3f", steps, mean, worst)
	}
	// Two long runs in a row are still outliers, and a worker that changes is known anew.
	c := newCell(4, 60, []float64{1}, nil)
	c.runSteps(200)
	r := c.restored()
	for range 2 {
		r.Learn("q", []profiler.Run{{Worker: r.workers[0], Deviation: math.Log(7)}})
	}
	assert.Check(t, r.workers[0].Slowness() < 0.15, "two long runs make the slowness %.3f", r.workers[0].Slowness())
	c = newCell(4, 60, []float64{0.7, 0.7, 1.7}, nil)
	c.runSteps(200)
	r = c.restored()
	usual := r.workers[3].Slowness()
	r.speeds[0] *= 0.4
	for r.runs[0] = 0; r.runs[0] < 16; {
		r.runSteps(1)
	}
	got := math.Exp(usual - r.workers[0].Slowness())
	assert.Check(t, got > 0.4/1.3 && got < 0.4*1.3, "0.4 times as fast as before is taken for %.2f", got)
}

// Guards against records that no profiler has made and that make all estimates useless.
func TestInvalidRecords(t *testing.T) {
	c := newCell(5, 10, []float64{1}, nil)
	c.RestoreWorkers(map[*profiler.Worker]profiler.Record{
		c.workers[0]: {Count: 3, Mean: math.NaN(), Variance: 1},
		c.workers[1]: {Count: 3, Mean: 1},
		c.workers[2]: {Count: -1, Mean: 1, Variance: 1},
	})
	c.RestoreQueue("q", profiler.QueueRecord{Noise: modeler.LearnedMean{Mean: math.Inf(1), Weight: 1}, Step: modeler.LearnedMean{Mean: -1, Weight: 1}})
	c.runSteps(100)
	mean, _ := c.miss()
	assert.Check(t, mean < 1.1, "off by %.3f", mean)
}
