package evaluator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/interference"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// InterferenceSettings describe a play in which it is known which images slow each other down.
type InterferenceSettings struct {
	Seeds  int              `json:"seeds"`
	Length modeler.Duration `json:"length"`
	// Workers have 8, 16 and 32 cores and the speeds 0.8, 1 and 1.25 in turn.
	Workers int `json:"workers"`
	Images  int `json:"images"`
	// Pairs is the number of pairs of images of which the first is slowed down by 1.4 to 2.2.
	Pairs int `json:"pairs"`
	// Load is the share of the cores that are asked for, without slowdowns.
	Load float64 `json:"load"`
	// Outliers is the share of runs that take 7 times as long, and Estimates the standard
	// deviation of the logarithm of estimates.
	Outliers  float64 `json:"outliers"`
	Estimates float64 `json:"estimates"`
}

// DefaultInterference returns the usual settings.
func DefaultInterference() InterferenceSettings {
	return InterferenceSettings{
		Seeds: 20, Length: modeler.Duration(5 * time.Minute), Workers: 24, Images: 8, Pairs: 6, Load: 0.5, Outliers: 0.03, Estimates: 0.5,
	}
}

// Interference is the result of the plays with each mode.
type Interference struct {
	Settings InterferenceSettings `json:"settings"`
	Runs     []InterferenceRun    `json:"runs"`
}

// InterferenceRun is the result of one mode over all seeds. Of the pairs that were believed at
// some time, Wrong are not in the truth; Pairs is the number of pairs of images that met.
type InterferenceRun struct {
	Mode      string  `json:"mode"`
	Pairs     int     `json:"pairs"`
	Believed  int     `json:"believed"`
	Wrong     int     `json:"wrong"`
	Precision float64 `json:"precision"`
	Recall    float64 `json:"recall"`
	// Slowdown is the mean factor by which neighbours have lengthened runs of the second half,
	// that of a perfect placement being 1, and Victims the same for images of bad pairs only.
	Slowdown float64 `json:"slowdown"`
	Victims  float64 `json:"victims"`
	// Wait is the mean time in seconds from a step's arrival to its end, in the second half.
	Wait float64 `json:"wait"`
}

// MeasureInterference plays the seeds 1 to Seeds with each mode.
func MeasureInterference(s InterferenceSettings) (Interference, error) {
	if s.Seeds < 1 || s.Workers < 3 || s.Images < 2 || s.Length <= 0 || s.Load <= 0 || s.Pairs < 0 || s.Pairs > s.Images*(s.Images-1) {
		return Interference{}, fmt.Errorf("settings %+v: there must be seeds, workers, images, a length, a load, and as many pairs as images allow", s)
	}
	out := Interference{Settings: s}
	for _, mode := range []interference.Mode{interference.Off, interference.Observe, interference.Act} {
		r := InterferenceRun{Mode: mode.String()}
		found := 0
		for seed := range s.Seeds {
			p := newDisturbedPool(s, mode, uint64(seed+1))
			p.run()
			for pair := range p.believed {
				if p.truth[pair] > 0 {
					found++
				} else {
					r.Wrong++
				}
			}
			r.Pairs += p.leader.Interference(0).Pairs
			n := float64(s.Seeds)
			r.Slowdown += p.all.mean() / n
			r.Victims += p.victims.mean() / n
			r.Wait += p.waits.mean() / n
		}
		r.Believed = found + r.Wrong
		r.Precision = float64(found) / float64(max(r.Believed, 1))
		r.Recall = float64(found) / float64(max(s.Seeds*s.Pairs, 1))
		out.Runs = append(out.Runs, r)
	}
	return out, nil
}

// Text returns the result as a table.
func (x Interference) Text() string {
	text := fmt.Sprintf("%d seeds of %v with %d workers, %d images and %d bad pairs each\n\n", x.Settings.Seeds, x.Settings.Length.Std(), x.Settings.Workers, x.Settings.Images, x.Settings.Pairs)
	t := newTable("MODE\tPAIRS\tBELIEVED\tWRONG\tPRECISION\tRECALL\tSLOWDOWN\tOF VICTIMS\tSTEP, S")
	for _, r := range x.Runs {
		t.addRow("%s\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f", r.Mode, r.Pairs, r.Believed, r.Wrong, r.Precision, r.Recall, r.Slowdown, r.Victims, r.Wait)
	}
	return text + t.String()
}

// imagePair is an image and another one beside it, on workers of any size.
type imagePair struct{ image, beside modeler.ImageName }

// meanOf is a running mean.
type meanOf struct {
	sum   float64
	count int
}

func (m *meanOf) add(x float64) { m.sum, m.count = m.sum+x, m.count+1 }

func (m *meanOf) mean() float64 { return m.sum / float64(max(m.count, 1)) }

// disturbedPool plays one seed: workers whose tasks slow each other down, and the leader's
// decisions. Messages and commits take no time.
type disturbedPool struct {
	settings InterferenceSettings
	random   *rand.Rand
	now      modeler.ClockReading
	end      modeler.ClockReading
	state    *sequencer.Sequencer
	leader   *dispatcher.Dispatcher
	workers  []*disturbedWorker
	byID     map[modeler.WorkerID]*disturbedWorker
	truth    map[imagePair]float64
	believed map[imagePair]bool
	isVictim map[modeler.ImageName]bool
	steps    map[modeler.FlowID]*disturbedStep
	// backlog is the work in core seconds that is still to be submitted.
	backlog             float64
	all, victims, waits meanOf
}

type disturbedWorker struct {
	announcement modeler.WorkerAnnouncement
	speed        float64
	running      map[modeler.FlowTask]*disturbedTask
	order        []modeler.FlowTask
	ends         modeler.Sequence
}

type disturbedTask struct {
	image      modeler.ImageName
	attempt    modeler.Attempt
	work, done float64
	began      modeler.ClockReading
}

type disturbedStep struct {
	arrived modeler.ClockReading
	left    int
	work    []float64
}

const (
	disturbedTick = 20 * time.Millisecond
	// disturbedTasks and disturbedCores are the tasks of a step and the cores of a task; one
	// takes a second and a half on average.
	disturbedTasks = 12
	disturbedCores = 2
	disturbedWork  = 1.5
)

func newDisturbedPool(s InterferenceSettings, mode interference.Mode, seed uint64) *disturbedPool {
	p := &disturbedPool{
		settings: s, random: rand.New(rand.NewPCG(seed, 0)), now: modeler.ClockReading(time.Hour), state: sequencer.New(),
		truth: make(map[imagePair]float64), believed: make(map[imagePair]bool), isVictim: make(map[modeler.ImageName]bool),
		steps: make(map[modeler.FlowID]*disturbedStep), byID: make(map[modeler.WorkerID]*disturbedWorker),
	}
	p.end = p.now.Add(s.Length.Std())
	for len(p.truth) < s.Pairs {
		pair := imagePair{p.image(), p.image()}
		if pair.image != pair.beside {
			p.truth[pair] = 1.4 + 0.8*p.random.Float64()
			p.isVictim[pair.image] = true
		}
	}
	var announcements []modeler.WorkerAnnouncement
	for i := range s.Workers {
		w := &disturbedWorker{
			announcement: modeler.WorkerAnnouncement{
				ID: modeler.WorkerID(fmt.Sprintf("w%04d", i)), Generation: 1, Address: fmt.Sprintf("w%d:1", i), Service: poolService,
				Capacity: modeler.Resources{Processors: 8000 << (i % 3), Memory: 256 << 30},
			},
			speed: []float64{0.8, 1, 1.25}[i/3%3], running: make(map[modeler.FlowTask]*disturbedTask),
		}
		p.workers = append(p.workers, w)
		p.byID[w.announcement.ID] = w
		announcements = append(announcements, w.announcement)
	}
	p.state.UpdateWorkers(announcements, nil)
	p.state.Changes()
	p.leader = dispatcher.New(p.now, p.stamp(), 1, p.state, dispatcher.Settings{
		MaxLease: poolLease, MaxStopTime: poolStopTime, GangTimeout: poolGangTimeout, MaxTimeOverTarget: 4 * time.Second,
		Interference: interference.Modes{interference.AnyService: mode},
	})
	return p
}

func (p *disturbedPool) image() modeler.ImageName {
	return modeler.ImageName(fmt.Sprint("image-", p.random.IntN(p.settings.Images)))
}

func (p *disturbedPool) stamp() modeler.Timestamp {
	return modeler.Timestamp(time.Duration(p.now) / time.Millisecond)
}

func (p *disturbedPool) run() {
	cores := 0.0
	for _, w := range p.workers {
		cores += float64(w.announcement.Capacity.Processors) / 1000 * w.speed
	}
	for n := 0; p.now < p.end; n++ {
		p.now = p.now.Add(disturbedTick)
		p.backlog += p.settings.Load * cores * disturbedTick.Seconds()
		for p.backlog > 0 {
			p.submit()
		}
		for _, w := range p.workers {
			p.work(w)
		}
		if n%5 == 0 {
			for _, w := range p.workers {
				p.leader.HandleAnnouncement(p.now, &w.announcement)
			}
			p.leader.Tick(p.now, p.stamp())
		}
		p.decide()
		if n%50 == 0 {
			p.noteBelieved()
		}
	}
}

// noteBelieved records the pairs that are believed now.
func (p *disturbedPool) noteBelieved() {
	stats := p.leader.Interference(0)
	for _, e := range p.leader.Interference(stats.Believed).Worst {
		p.believed[imagePair{e.Image, e.Beside}] = true
	}
}

// submit submits a step of a random image.
func (p *disturbedPool) submit() {
	size := disturbedWork * math.Exp(0.5*p.random.NormFloat64())
	step := modeler.Step{
		Count: disturbedTasks, Image: p.image(), Need: modeler.Resources{Processors: 1000 * disturbedCores, Memory: 1 << 30},
		Estimate: time.Duration(size * math.Exp(p.settings.Estimates*p.random.NormFloat64()) * float64(time.Second)),
	}
	f := modeler.Flow{
		ID: modeler.FlowID(fmt.Sprintf("%08d", len(p.steps))), Queue: "q", Spec: "x", Steps: []modeler.Step{step},
		Policy: modeler.QueuePolicy{Service: poolService, Attempts: 3, Slowdown: 2, Latency: time.Second},
	}
	s := &disturbedStep{arrived: p.now, left: step.Count}
	for range step.Count {
		work := size * math.Exp(0.25*p.random.NormFloat64())
		if p.random.Float64() < p.settings.Outliers {
			work *= 7
		}
		s.work = append(s.work, work)
		p.backlog -= work * disturbedCores
	}
	p.steps[f.ID] = s
	p.commit(func() { p.state.Submit(p.stamp(), &f) })
}

func (p *disturbedPool) commit(apply func()) {
	apply()
	p.leader.ApplyChanges(p.now, p.stamp(), p.state.Changes())
}

// work lets the tasks of a worker work for a tick, and tells the leader of those that end.
func (p *disturbedPool) work(w *disturbedWorker) {
	count := make(map[modeler.ImageName]int)
	for _, t := range w.running {
		count[t.image]++
	}
	images := slices.Sorted(maps.Keys(count))
	var ended []modeler.EndedAttempt
	for _, task := range w.order {
		t := w.running[task]
		rate := w.speed
		for _, beside := range images {
			if factor := p.truth[imagePair{t.image, beside}]; factor > 0 {
				rate /= factor
			}
		}
		t.done += rate * disturbedTick.Seconds()
		if t.done >= t.work {
			w.ends++
			ended = append(ended, modeler.EndedAttempt{Number: w.ends, Task: task, Attempt: t.attempt, Kind: modeler.EndDone})
		}
	}
	if len(ended) == 0 {
		return
	}
	for _, e := range ended {
		p.recordEnd(w, e.Task)
	}
	p.answer(w, modeler.Order{Kind: modeler.RenewOrder, Worker: w.announcement.ID, Generation: 1}, ended)
}

// recordEnd removes a task that is done, and counts it.
func (p *disturbedPool) recordEnd(w *disturbedWorker, task modeler.FlowTask) {
	t := w.running[task]
	delete(w.running, task)
	w.order = slices.DeleteFunc(w.order, func(other modeler.FlowTask) bool { return other == task })
	s := p.steps[task.Flow]
	s.left--
	if p.end.Sub(p.now) > p.settings.Length.Std()/2 {
		return
	}
	slowdown := p.now.Sub(t.began).Seconds() * w.speed / t.work
	p.all.add(slowdown)
	if p.isVictim[t.image] {
		p.victims.add(slowdown)
	}
	if s.left == 0 {
		p.waits.add(p.now.Sub(s.arrived).Seconds())
	}
}

// answer lets a worker answer an order, with the attempts that run there and those that have
// ended since its last answer.
func (p *disturbedPool) answer(w *disturbedWorker, o modeler.Order, ended []modeler.EndedAttempt) {
	a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Generation: 1, Clock: modeler.WorkerClock(p.stamp()), Ended: ended}
	if o.Kind != modeler.RenewOrder {
		p.leader.HandleOrderAnswer(p.now, o, a)
		return
	}
	for _, task := range w.order {
		t := w.running[task]
		a.Running = append(a.Running, modeler.RunningAttempt{Task: task, Attempt: t.attempt, Percent: int(100 * t.done / t.work)})
	}
	p.leader.HandleRenewalAnswer(p.now, o, a)
}

// decide carries out the leader's decisions.
func (p *disturbedPool) decide() {
	out := p.leader.Output(p.now)
	slices.SortFunc(out.Orders, func(a, b modeler.Order) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Task.Flow, b.Task.Flow), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	for _, o := range out.Orders {
		w := p.byID[o.Worker]
		t := w.running[o.Task]
		switch {
		case o.Kind == modeler.StartOrder && t == nil:
			f, _ := p.state.Flow(o.Task.Flow)
			w.running[o.Task] = &disturbedTask{
				image: f.Spec.Steps[0].Image, attempt: o.Attempt, work: p.steps[o.Task.Flow].work[o.Task.Index], began: p.now,
			}
			w.order = append(w.order, o.Task)
		case o.Kind == modeler.StopOrder && t != nil && t.attempt == o.Attempt:
			delete(w.running, o.Task)
			w.order = slices.DeleteFunc(w.order, func(other modeler.FlowTask) bool { return other == o.Task })
			w.ends++
			p.answer(w, o, nil)
			p.answer(w, modeler.Order{Kind: modeler.RenewOrder, Worker: o.Worker, Generation: 1}, []modeler.EndedAttempt{
				{Number: w.ends, Task: o.Task, Attempt: o.Attempt, Kind: modeler.EndStopped},
			})
			continue
		}
		p.answer(w, o, nil)
	}
	if len(out.Ends) > 0 {
		p.commit(func() { p.state.RecordEnds(p.stamp(), out.Ends) })
		p.leader.HandleProposedEnds(p.now, out.Ends, true)
	}
	if len(out.Starts) > 0 {
		p.commit(func() { p.state.RecordStarts(out.Starts) })
		p.leader.HandleProposedStarts(p.now, out.Starts)
	}
}
