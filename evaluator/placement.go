package evaluator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

const (
	// The design's workers, running tasks and waiting jobs. Smaller cells get
	// tasks and jobs in proportion to their workers.
	designWorkers = 18_000
	designTasks   = 58_000
	designBacklog = 77_000
	// minWorkers is the smallest cell with a whole rack in each of the 8 failure
	// domains and with workers that have accelerators.
	minWorkers = 48
)

// PlacementSettings are the settings of MeasurePlacement.
type PlacementSettings struct {
	Seed    uint64 `json:"seed"`
	Workers []int  `json:"workers"`
	Steps   int    `json:"steps"`  // submissions, each with a decision and an end
	Rounds  int    `json:"rounds"` // repetitions of heartbeats, cancellations and losses
}

// DefaultPlacement returns settings with cells of up to the design's size.
func DefaultPlacement() PlacementSettings {
	return PlacementSettings{Seed: Seed, Workers: []int{48, 500, 5000, designWorkers}, Steps: 60_000, Rounds: 5}
}

// Placement is the measured performance of the placer. Heartbeats, cancellations
// and losses are measured on the cell with the most workers.
type Placement struct {
	Settings   PlacementSettings `json:"settings"`
	Steady     []Decisions       `json:"steady"`
	Full       []Decisions       `json:"full"`
	Heartbeats HeartbeatCost     `json:"heartbeats"`
	Cancel     Cancellation      `json:"cancel"`
	Preempt    Preemption        `json:"preempt"`
	Losses     []Loss            `json:"losses"`
}

// Decisions is the rate, latency and cost of decisions in a cell of a given size.
type Decisions struct {
	Workers   int     `json:"workers"`
	Running   int     `json:"running"`
	Waiting   int     `json:"waiting"` // before the first step
	Packing   float64 `json:"packing"` // before the first step
	PerSecond float64 `json:"decisions"`
	Times     Times   `json:"us"`
	Cost      Cost    `json:"step"`
}

// HeartbeatCost is the cost of a round in which each worker sends one heartbeat
// with the usage of its tasks.
type HeartbeatCost struct {
	Workers     int     `json:"workers"`
	Tasks       int     `json:"tasks"`
	RoundMillis float64 `json:"ms"`
	Cost        Cost    `json:"round"`
}

// Cancellation is the time of cancelling many jobs at once and of placing an
// urgent job right after. Cancel and Urgent are of the last round; MeanMillis is the
// mean of their sum over all rounds.
type Cancellation struct {
	Workers    int     `json:"workers"`
	Jobs       int     `json:"jobs"`
	Cancel     float64 `json:"cancelms"`
	Urgent     float64 `json:"urgentus"`
	MeanMillis float64 `json:"meanms"`
}

// Preemption is the latency of placing urgent jobs in a full cell. Times are from the
// submission to the decision to checkpoint others, or to start the job. Started
// counts the jobs that started once the checkpointed tasks had ended.
type Preemption struct {
	Workers     int   `json:"workers"`
	Jobs        int   `json:"jobs"`
	Started     int   `json:"started"`
	Checkpoints int   `json:"checkpoints"`
	Times       Times `json:"us"`
}

// Loss is the time of placing the tasks of a lost rack or failure domain again.
// MeanMillis is over all rounds and includes the time to find the lost tasks; the other
// fields are of the last round.
type Loss struct {
	Workers             int     `json:"workers"`
	Domain              bool    `json:"domain"`
	ReplaceMillis       float64 `json:"replacems"`
	LongestDecideMillis float64 `json:"longestms"`
	Placed              int     `json:"placed"`
	Left                int     `json:"left"`
	MeanMillis          float64 `json:"meanms"`
}

// MeasurePlacement measures decisions, heartbeats, cancellations, preemption and
// losses. It returns an error for settings out of range and for an urgent task
// that isn't placed after a cancellation.
func MeasurePlacement(s PlacementSettings) (Placement, error) {
	out := Placement{Settings: s}
	if len(s.Workers) == 0 || slices.Min(s.Workers) < minWorkers || s.Steps < 1 || s.Rounds < 1 {
		return out, fmt.Errorf("placement settings: needs cells of at least %d workers, and at least one step and one round", minWorkers)
	}
	for _, workers := range s.Workers {
		out.Steady = append(out.Steady, measureSteady(s, workers))
	}
	for _, workers := range s.Workers {
		out.Full = append(out.Full, measureFull(s, workers))
	}
	largest := slices.Max(s.Workers)
	out.Heartbeats = measureHeartbeats(s, largest)
	var err error
	if out.Cancel, err = measureCancel(s, largest); err != nil {
		return out, err
	}
	out.Preempt = measurePreempt(s, largest)
	for _, domain := range []bool{false, true} {
		out.Losses = append(out.Losses, measureLoss(s, largest, domain))
	}
	return out, nil
}

// measureSteady measures decisions while 58,000 tasks run on the design's 18,000
// workers, or proportionally fewer in a smaller cell.
func measureSteady(s PlacementSettings, workers int) Decisions {
	l := newLoadGenerator(workers, s.Seed)
	l.fill(workers * designTasks / designWorkers)
	return l.measureSteps(workers, s.Steps, 100*time.Microsecond)
}

// measureFull measures decisions in a full cell with a backlog of jobs of random
// sizes from all teams, over a simulated minute in which reservations are made
// and dropped. The backlog is a whole day's jobs of the design, or
// proportionally fewer.
func measureFull(s PlacementSettings, workers int) Decisions {
	l := newLoadGenerator(workers, s.Seed)
	l.maxProcessors = 16000
	l.fill(1 << 30)
	for l.p.Stats().Waiting < designBacklog*workers/designWorkers {
		for range 100 {
			l.p.Submit(l.now, l.job(1))
			l.decide(1)
		}
	}
	return l.measureSteps(workers, s.Steps, time.Millisecond)
}

// measureSteps measures steps of one end, one submission and one decision each.
func (l *loadGenerator) measureSteps(workers, steps int, step time.Duration) Decisions {
	stats := l.p.Stats()
	processors, memory, _ := stats.Packing()
	out := Decisions{Workers: workers, Running: len(l.running), Waiting: stats.Waiting, Packing: max(processors, memory)}
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	placed := 0
	m := newMeter()
	for range steps {
		l.now = l.now.Add(step)
		j := l.job(1)
		start := time.Now()
		l.endRandomTask()
		l.p.Submit(l.now, j)
		placed += l.decide(4)
		_ = h.RecordValue(int64(time.Since(start)))
	}
	elapsed, cost := m.stop(steps)
	out.PerSecond = float64(placed) / elapsed.Seconds()
	out.Times = timesOf(h)
	out.Cost = cost
	return out
}

// measureHeartbeats measures rounds in which the placer takes in one heartbeat of
// each worker with the usage of its tasks, as happens every second.
func measureHeartbeats(s PlacementSettings, count int) HeartbeatCost {
	l := newLoadGenerator(count, s.Seed)
	l.fill(count * designTasks / designWorkers)
	workers := make([]placer.Worker, count)
	reports := map[modeler.WorkerID][]modeler.TaskReport{}
	for i := range workers {
		workers[i] = l.worker(i, 1)
	}
	for _, at := range l.running {
		usage := modeler.Resources{Processors: modeler.Millicores(l.rng.Int64N(100))}
		reports[at.Worker] = append(reports[at.Worker], modeler.TaskReport{
			Task: at.Task, Attempt: at.Attempt, State: modeler.TaskRunning, Usage: usage,
		})
	}
	m := newMeter()
	for range s.Rounds {
		l.now = l.now.Add(time.Second)
		for i := range workers {
			l.p.SetWorker(l.now, workers[i])
			l.p.Usage(l.now, workers[i].ID, 1, reports[workers[i].ID])
		}
	}
	elapsed, cost := m.stop(s.Rounds)
	return HeartbeatCost{
		Workers: count, Tasks: len(l.running), Cost: cost,
		RoundMillis: float64(elapsed.Microseconds()) / 1e3 / float64(s.Rounds),
	}
}

// measureCancel cancels running and waiting jobs at once, 20,000 at the design
// size, and then submits and places an urgent job.
func measureCancel(s PlacementSettings, workers int) (Cancellation, error) {
	out := Cancellation{Workers: workers}
	total := time.Duration(0)
	for range s.Rounds {
		l := newLoadGenerator(workers, s.Seed)
		l.fill(workers * 38_000 / designWorkers)
		var ids []modeler.JobID
		for i := range workers * 10_000 / designWorkers {
			ids = append(ids, l.running[i].Task.Job)
			j := l.job(1)
			j.Size = resources(32000, 64, 4)
			l.p.Submit(l.now, j)
			ids = append(ids, j.ID)
		}
		for l.decide(1000) > 0 {
		}
		j := l.job(1)
		j.Urgent = true
		start := time.Now()
		l.p.Cancel(l.now, ids...)
		cancelled := time.Now()
		l.p.Submit(l.now, j)
		placed := l.decide(64)
		end := time.Now()
		total += end.Sub(start)
		out.Jobs = len(ids)
		out.Cancel = float64(cancelled.Sub(start)) / 1e6
		out.Urgent = float64(end.Sub(cancelled)) / 1e3
		if placed == 0 {
			return out, errors.New("the urgent task submitted after the cancellations was not placed")
		}
	}
	out.MeanMillis = float64(total) / 1e6 / float64(s.Rounds)
	return out, nil
}

const preemptJobsPerRound = 100

// measurePreempt submits urgent jobs of half a worker to a full cell, one after
// another. For each, the placer decides once, the tasks to be checkpointed end,
// and the job can start in a second decision.
func measurePreempt(s PlacementSettings, workers int) Preemption {
	l := newLoadGenerator(workers, s.Seed)
	l.maxProcessors = 16000
	l.fill(1 << 30)
	out := Preemption{Workers: workers, Jobs: s.Rounds * preemptJobsPerRound}
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for range out.Jobs {
		l.now = l.now.Add(time.Millisecond)
		j := l.job(1)
		j.Kind, j.Urgent, j.Constraint, j.Size = modeler.Batch, true, modeler.Constraint{}, resources(16000, 16, 0)
		start := time.Now()
		l.p.Submit(l.now, j)
		decisions := l.p.Decide(l.now, 64)
		_ = h.RecordValue(int64(time.Since(start)))
		for _, d := range decisions {
			if d.Verb == modeler.CheckpointTask {
				out.Checkpoints++
			}
		}
		l.applyDecisions(decisions)
		l.decide(64)
		if _, ok := l.at[modeler.TaskID{Job: j.ID}]; ok {
			out.Started++
		}
	}
	out.Times = timesOf(h)
	return out
}

// measureLoss places the tasks of a lost rack or failure domain again, after
// their leases have expired.
func measureLoss(s PlacementSettings, workers int, domain bool) Loss {
	var out Loss
	total := time.Duration(0)
	for range s.Rounds {
		l := newLoadGenerator(workers, s.Seed)
		l.fill(workers * designTasks / designWorkers)
		start := time.Now()
		out = l.loseAndReplace(workers, domain)
		total += time.Since(start)
	}
	out.MeanMillis = float64(total) / 1e6 / float64(s.Rounds)
	return out
}

func (l *loadGenerator) loseAndReplace(workers int, domain bool) Loss {
	// Each 48 workers fill one rack in each of the 8 failure domains. The lost
	// rack is the eighth of the fourth domain, or its last in a smaller cell.
	rack := l.worker(48*min(7, workers/48-1)+3, 1).Rack
	lost := map[modeler.WorkerID]bool{}
	for i := range workers {
		if w := l.worker(i, 1); w.Domain == "d3" && (domain || w.Rack == rack) {
			lost[w.ID] = true
			l.p.LoseWorker(l.now, w.ID)
		}
	}
	var ended []modeler.Placement
	for _, at := range l.running {
		if lost[at.Worker] {
			ended = append(ended, at)
		}
	}
	start := time.Now()
	for _, at := range ended {
		l.p.EndAttempt(l.now, modeler.TaskEnd{Task: at.Task, Attempt: at.Attempt, State: modeler.TaskStopped, Retry: true})
	}
	placed, longest := 0, time.Duration(0)
	for {
		decideStart := time.Now()
		n := l.decide(256)
		longest = max(longest, time.Since(decideStart))
		if n == 0 {
			break
		}
		placed += n
	}
	return Loss{
		Workers:             workers,
		Domain:              domain,
		ReplaceMillis:       float64(time.Since(start)) / 1e6,
		LongestDecideMillis: float64(longest) / 1e6,
		Placed:              placed,
		Left:                len(ended) - placed,
	}
}

// Text returns the result as tables.
func (p Placement) Text() string {
	t := newTable("CELL\tWORKERS\tRUNNING\tWAITING\tPACKING\tDECISIONS/S\tP50 US\tP99 US\tP99.9 US\tMAX US\tNS/STEP\tB/STEP\tALLOCS/STEP")
	kinds := []string{"steady", "full"}
	for i, list := range [][]Decisions{p.Steady, p.Full} {
		for _, d := range list {
			t.addRow("%s\t%d\t%d\t%d\t%.3f\t%.0f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%d\t%d", kinds[i], d.Workers, d.Running, d.Waiting,
				d.Packing, d.PerSecond, d.Times.P50, d.Times.P99, d.Times.P999, d.Times.Max, d.Cost.Time, d.Cost.Bytes, d.Cost.Allocations)
		}
	}
	text := fmt.Sprintf("seed %d, %d steps, %d rounds\n\n", p.Settings.Seed, p.Settings.Steps, p.Settings.Rounds) + t.String()
	h, c := p.Heartbeats, p.Cancel
	text += fmt.Sprintf("\nheartbeats of %d workers with %d tasks: %.1f ms, %d B and %d allocations a round\n",
		h.Workers, h.Tasks, h.RoundMillis, h.Cost.Bytes, h.Cost.Allocations)
	text += fmt.Sprintf("cancelling %d jobs on %d workers: %.2f ms; the urgent job behind them: %.1f us; mean of both %.2f ms\n",
		c.Jobs, c.Workers, c.Cancel, c.Urgent, c.MeanMillis)
	u := p.Preempt
	text += fmt.Sprintf("%d urgent jobs of half a worker in a full cell of %d workers: decision after p50 %.1f us, p99 %.1f us, max %.0f us; "+
		"%d checkpoints, %d started after them\n\n", u.Jobs, u.Workers, u.Times.P50, u.Times.P99, u.Times.Max, u.Checkpoints, u.Started)
	t = newTable("LOST\tWORKERS\tPLACED ANEW\tLEFT\tREPLACE MS\tLONGEST DECIDE MS\tMEAN MS")
	for _, l := range p.Losses {
		what := "rack"
		if l.Domain {
			what = "failure domain"
		}
		t.addRow("%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f", what, l.Workers, l.Placed, l.Left, l.ReplaceMillis, l.LongestDecideMillis, l.MeanMillis)
	}
	return text + t.String()
}
