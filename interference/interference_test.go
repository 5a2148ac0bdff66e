package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/interference"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	tick      = 0.1 // seconds
	taskSlots = 8
)

// play is a history of tasks on workers, in which some images slow others down.
type play struct {
	random  *rand.Rand
	matrix  *interference.Matrix
	workers []*testWorker
	images  int
	// width is the number of tasks of a step, and spread the standard deviation of the
	// logarithm of a step's size; that of a task is taskSpread. Some tasks take 7 times as long.
	width              int
	spread, taskSpread float64
	outliers           float64
	slowdown           func(image, beside modeler.ImageName, w *testWorker) float64
	steps              uint32
	seconds            float64
	changes            []interference.Change
}

type testWorker struct {
	id         modeler.WorkerID
	processors modeler.Millicores
	speed      float64
	tasks      []*testTask
}

type testTask struct {
	image      modeler.ImageName
	step       modeler.StepKey
	index      modeler.TaskIndex
	pinned     bool
	work, done float64
	began      float64
	// met is for how long each image was beside the task before its expected end.
	met map[modeler.ImageName]float64
}

func newPlay(seed uint64, workers int) *play {
	p := &play{
		random: rand.New(rand.NewPCG(seed, seed)), matrix: interference.NewMatrix(), images: 6, width: 10, spread: 0.5, taskSpread: 0.25,
		slowdown: func(_, _ modeler.ImageName, _ *testWorker) float64 { return 1 },
	}
	for i := range workers {
		p.workers = append(p.workers, &testWorker{id: modeler.WorkerID(fmt.Sprint("w", i)), processors: 16_000, speed: 1})
	}
	return p
}

func image(i int) modeler.ImageName { return modeler.ImageName(fmt.Sprint("image-", i)) }

// pin adds a service that lasts to a worker.
func (p *play) pin(w *testWorker, image modeler.ImageName) {
	w.tasks = append(w.tasks, &testTask{image: image, pinned: true, work: math.Inf(1)})
}

// run lets time pass while steps of random images arrive and fill the workers to two thirds.
func (p *play) run(seconds float64) {
	for end := p.seconds + seconds; p.seconds < end; p.seconds += tick {
		room := 0
		for _, w := range p.workers {
			room += taskSlots - len(w.tasks)
		}
		if room >= len(p.workers)*taskSlots/3 {
			p.submit(image(p.random.IntN(p.images)))
		}
		for _, w := range p.workers {
			p.work(w)
		}
		p.matrix.Tick(p.now())
		p.changes = append(p.changes, p.matrix.TakeChanges()...)
	}
}

func (p *play) now() modeler.ClockReading {
	return modeler.ClockReading(time.Hour).Add(time.Duration(p.seconds * float64(time.Second)))
}

func (p *play) submit(image modeler.ImageName) {
	p.steps++
	size := math.Exp(p.spread * p.random.NormFloat64())
	for index := range p.width {
		w := p.workers[p.random.IntN(len(p.workers))]
		if len(w.tasks) >= taskSlots {
			continue
		}
		work := size * math.Exp(p.taskSpread*p.random.NormFloat64())
		if p.random.Float64() < p.outliers {
			work *= 7
		}
		step := modeler.StepKey{Occurrence: modeler.Occurrence(p.steps)}
		w.tasks = append(w.tasks, &testTask{image: image, step: step, index: modeler.TaskIndex(index), work: work, began: p.seconds, met: make(map[modeler.ImageName]float64)})
	}
}

func (p *play) work(w *testWorker) {
	var rest, ended []*testTask
	for i, t := range w.tasks {
		rate := w.speed
		beside := make(map[modeler.ImageName]bool)
		for j, other := range w.tasks {
			if i != j && !beside[other.image] {
				beside[other.image] = true
				rate /= p.slowdown(t.image, other.image, w)
			}
		}
		if p.seconds-t.began < 1-tick/2 && !t.pinned {
			for image := range beside {
				switch {
				case image != t.image:
					t.met[image] += tick
				case p.seconds == t.began:
					t.met[image] = math.Inf(1)
				}
			}
		}
		t.done += rate * tick
		if t.done >= t.work {
			ended = append(ended, t)
		} else {
			rest = append(rest, t)
		}
	}
	w.tasks = rest
	for _, t := range ended {
		took := p.seconds - t.began + tick
		r := interference.Run{Task: t.index, Worker: w.id, Size: interference.SizeOf(w.processors), Deviation: math.Log(took)}
		for image, met := range t.met {
			r.Neighbours = append(r.Neighbours, interference.Neighbour{Image: image, Share: min(met/min(took, 1), 1)})
		}
		p.matrix.Observe(p.now(), t.image, t.step, r)
	}
}

// believed returns the pairs that were believed at some time.
func (p *play) believed() map[interference.Pair]bool {
	out := make(map[interference.Pair]bool)
	for _, c := range p.changes {
		if c.Believed {
			out[c.Pair] = true
		}
	}
	return out
}

func (p *play) estimate(a, b int) interference.Estimate {
	return p.matrix.Estimate(interference.Pair{Image: image(a), Beside: image(b), Size: interference.SizeOf(16_000)})
}

// Guards against beliefs from chance. Each case holds what else explains slow runs: slow
// workers, some with a service of their own, inputs of different sizes, runs that take 7 times
// as long, and steps too narrow to be compared with themselves.
func TestRandomHistoryBelievesFewPairs(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(p *play)
	}{
		{"equal workers", func(*play) {}},
		{"slow and fast workers", func(p *play) {
			for i, w := range p.workers {
				w.speed = []float64{0.7, 0.7, 1.7}[i%3]
			}
		}},
		{"services on slow workers", func(p *play) {
			for i, w := range p.workers {
				w.speed = []float64{1, 1, 0.5, 1}[i%4]
				if i%4 == 2 {
					p.pin(w, "service")
				}
			}
		}},
		{"long runs", func(p *play) { p.outliers = 0.03 }},
		{"narrow steps", func(p *play) { p.width, p.spread = 1, 0.3 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			pairs, wrong := 0, 0
			for seed := range uint64(20) {
				p := newPlay(seed+1, 16)
				p.images = 8
				c.setUp(p)
				p.run(120 * 10 / float64(p.width))
				pairs += p.matrix.Pairs()
				wrong += len(p.believed())
			}
			t.Logf("%d of %d pairs believed", wrong, pairs)
			assert.Assert(t, pairs > 1200)
			assert.Assert(t, wrong*1000 <= pairs, "%d of %d pairs believed", wrong, pairs)
		})
	}
}

// Guards against a pair that slows one image down and is not found, or is found in the other
// direction or for other images too.
func TestAsymmetricPair(t *testing.T) {
	p := newPlay(1, 16)
	p.outliers = 0.03
	p.slowdown = func(a, b modeler.ImageName, _ *testWorker) float64 {
		if a == image(0) && b == image(1) {
			return 1.7
		}
		return 1
	}
	p.run(400)
	found := p.believed()
	assert.Equal(t, len(found), 1, "%v", found)
	e := p.estimate(0, 1)
	assert.Assert(t, e.Believed)
	assert.Assert(t, e.Slowdown > 1.4 && e.Slowdown < 2, "%+v", e)
	assert.Assert(t, e.Error > 0 && e.Error < 0.15, "%+v", e)
	assert.Assert(t, p.matrix.Involves(image(1)) && !p.matrix.Involves(image(2)))
}

// Guards against a noisy image that is found for some of the others only, and against images
// that are blamed because they are often beside it.
func TestNoisyImage(t *testing.T) {
	p := newPlay(2, 16)
	p.slowdown = func(a, b modeler.ImageName, _ *testWorker) float64 {
		if b == image(3) && a != b {
			return 1.8
		}
		return 1
	}
	p.run(600)
	for i := range p.images {
		assert.Equal(t, p.estimate(i, 3).Believed, i != 3, "%d: %+v", i, p.estimate(i, 3))
	}
	assert.Equal(t, len(p.believed()), p.images-1)
}

// Guards against a pair that is bad on small workers only and is believed on others.
func TestPairOnSmallWorkers(t *testing.T) {
	p := newPlay(3, 24)
	for _, w := range p.workers[:12] {
		w.processors = 7500
	}
	p.slowdown = func(a, b modeler.ImageName, w *testWorker) float64 {
		if a == image(0) && b == image(1) && w.processors < 10_000 {
			return 2
		}
		return 1
	}
	p.run(500)
	small := interference.Pair{Image: image(0), Beside: image(1), Size: interference.SizeOf(7900)}
	assert.DeepEqual(t, p.believed(), map[interference.Pair]bool{small: true})
}

// Guards against pairs that are found on equal workers and full estimates only: here speeds
// differ by a factor of 2.4, steps have one task, and some runs take 7 times as long.
func TestPairAmongOtherReasons(t *testing.T) {
	p := newPlay(4, 24)
	p.width, p.spread, p.outliers = 1, 0.3, 0.03
	for i, w := range p.workers {
		w.speed = []float64{0.7, 0.7, 1.7}[i%3]
	}
	p.slowdown = func(a, b modeler.ImageName, _ *testWorker) float64 {
		if a == image(0) && b == image(1) {
			return 2
		}
		return 1
	}
	p.run(6000)
	assert.Equal(t, len(p.believed()), 1, "%v", p.believed())
	assert.Assert(t, p.estimate(0, 1).Believed, "%+v", p.estimate(0, 1))
}

// Guards against a belief that outlives its reason, and against evidence from the time before
// that hides a pair which begins to slow down later.
func TestChangeOfBehaviour(t *testing.T) {
	p := newPlay(5, 16)
	bad := 1
	p.slowdown = func(a, b modeler.ImageName, _ *testWorker) float64 {
		if a == image(0) && b == image(bad) {
			return 1.8
		}
		return 1
	}
	p.run(400)
	assert.Assert(t, p.estimate(0, 1).Believed && !p.estimate(0, 2).Believed)
	bad = 2
	p.run(800)
	assert.Assert(t, !p.estimate(0, 1).Believed && p.estimate(0, 2).Believed, "%+v %+v", p.estimate(0, 1), p.estimate(0, 2))
	assert.Equal(t, p.matrix.Believed(), 1)
	assert.Equal(t, p.matrix.Worst(3)[0].Beside, image(2))

	// A pair that does not meet any more is forgotten. The first tick closes the open steps.
	p.matrix.Tick(p.now().Add(time.Hour))
	p.matrix.TakeChanges()
	p.matrix.Tick(p.now().Add(2 * time.Hour))
	assert.Equal(t, p.matrix.Pairs(), 0)
	assert.Equal(t, p.matrix.Believed(), 0)
	changes := p.matrix.TakeChanges()
	assert.Assert(t, len(changes) == 1 && changes[0].Forgotten)
	assert.Assert(t, !p.matrix.Involves(image(0)))
}

// Guards against memory that grows with the number of images and of open steps.
func TestBoundedMemory(t *testing.T) {
	m := interference.NewMatrix()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 60_000 {
		r := interference.Run{
			Worker: modeler.WorkerID(fmt.Sprint(random.IntN(20_000))), Deviation: random.NormFloat64(),
		}
		for range 3 {
			r.Neighbours = append(r.Neighbours, interference.Neighbour{Image: image(random.IntN(700)), Share: random.Float64()})
		}
		m.Observe(modeler.ClockReading(i)*modeler.ClockReading(time.Millisecond), image(i/4*31%701), modeler.StepKey{Occurrence: modeler.Occurrence(i / 4)}, r)
		assert.Assert(t, m.Pairs() <= 8192 && m.OpenRuns() <= 8192)
	}
}
