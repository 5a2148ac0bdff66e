package evaluator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// poolFlow is a flow with what only the simulation knows of it.
type poolFlow struct {
	modeler.Flow
	queue   *PoolQueue
	arrival time.Duration
	// work is the run time of each task of each step on a worker of the usual speed.
	work [][]time.Duration
	// life is how long the caller of a long-running flow lets it run, and longStarts
	// counts its tasks that have started.
	life       time.Duration
	longStarts int
	// firstStart is when its first task started, and submissions counts its refusals.
	firstStart  time.Duration
	submissions int
	// requests counts its permit requests, and fewRequests those that name one or two
	// workers.
	requests, fewRequests int
	// deadline is when the flow has to be done to meet its objective, and lastUse
	// when its caller gives up.
	deadline time.Duration
	lastUse  time.Duration
	// worth is what the flow is worth to its caller in time, and late after that.
	worth float64
	late  float64
}

// poolArrivals draws the flows of one day in order of arrival.
func poolArrivals(s *PoolSettings, seed uint64) []*poolFlow {
	rng := rand.New(rand.NewPCG(seed, 3))
	var flows []*poolFlow
	for at := time.Duration(0); at < s.Length.Std(); at += arrivalStep {
		for i := range s.Queues {
			q := &s.Queues[i]
			if rng.Float64() < s.rate(q, at)*arrivalStep.Seconds() {
				flows = append(flows, newPoolFlow(rng, s, q, len(flows), at))
			}
		}
	}
	return flows
}

// arrivalStep is the time in which a queue gets one flow at most.
const arrivalStep = 5 * time.Millisecond

// rate returns the arrivals per second of a queue, with its bursts.
func (s *PoolSettings) rate(q *PoolQueue, at time.Duration) float64 {
	rate := q.Rate
	for _, b := range s.Bursts {
		if b.Queue == q.Name && at >= b.At.Std() && at < b.At.Std()+b.For.Std() {
			rate *= b.Factor
		}
	}
	return rate
}

// draw returns a log-normal number with the mean and, at most, the maximum of the
// spread.
func (s PoolSpread) draw(rng *rand.Rand) float64 {
	x := s.Mean * math.Exp(s.Spread*rng.NormFloat64()-s.Spread*s.Spread/2)
	return min(x, s.Max)
}

func newPoolFlow(rng *rand.Rand, s *PoolSettings, q *PoolQueue, number int, at time.Duration) *poolFlow {
	f := &poolFlow{queue: q, arrival: at}
	f.Flow = modeler.Flow{
		ID: modeler.FlowID(fmt.Sprintf("%s-%04d", q.Name, number)), Queue: modeler.QueueID(q.Name), Spec: "-",
		Policy: modeler.QueuePolicy{
			Service: poolService, Priority: q.Priority, Attempts: q.Attempts, Slowdown: q.Slowdown, Latency: q.Latency.Std(),
		},
	}
	steps := 1
	if q.Steps.Mean > 0 {
		steps = max(1, int(math.Round(q.Steps.draw(rng))))
	}
	chain, share := time.Duration(0), 0.0
	for i := range steps {
		longest, size := f.addStep(rng, q)
		chain += longest
		share += size
		if i > 0 {
			f.Steps[i].After = []modeler.StepIndex{modeler.StepIndex(i - 1)}
		}
	}
	if len(s.Accounts) > 0 && !q.Public {
		f.Team = s.drawAccount(rng)
	}
	if p := q.Permits; p != nil {
		f.Policy.Permits = &modeler.PermitPolicy{Decision: p.Decision.Std(), Worker: p.Worker.Std(), Validity: p.Validity.Std()}
	}
	objective := time.Duration(q.Slowdown*float64(chain)) + q.Latency.Std()
	if q.LongRunning {
		f.life = chain
		objective = longStart
	}
	f.deadline = at + objective
	f.lastUse = at + callerWait*objective
	share = 0.3 + 0.7*share/max(q.Steps.Mean, 1)
	f.worth, f.late = min(share, 4)*q.Worth, min(share, 4)*q.Late
	return f
}

// addStep draws a step of a flow. It returns the run time of its longest task, and its
// work relative to a step of mean size.
func (f *poolFlow) addStep(rng *rand.Rand, q *PoolQueue) (time.Duration, float64) {
	count := max(1, int(math.Round(q.Width.draw(rng))))
	usual := q.Work.draw(rng)
	longest := time.Duration(0)
	var work []time.Duration
	for range count {
		w := time.Duration(usual * (1 + poolUneven*(2*rng.Float64()-1)) * float64(time.Second))
		work = append(work, w)
		longest = max(longest, w)
	}
	gang := rng.Float64() < q.Gang
	if gang {
		for i := range work {
			work[i] = longest
		}
	}
	need := q.scaled(1)
	if q.Scale.Mean > 0 {
		need = q.scaled(q.Scale.draw(rng))
	}
	if len(q.Accelerators) > 0 {
		need.Accelerators = q.Accelerators[rng.IntN(len(q.Accelerators))]
	}
	f.work = append(f.work, work)
	f.Steps = append(f.Steps, modeler.Step{
		Count:       count,
		Need:        need,
		Estimate:    time.Duration(usual * math.Exp(q.Estimates*rng.NormFloat64()) * float64(time.Second)),
		Checkpoints: rng.Float64() < q.Checkpoints,
		Gang:        gang,
		LongRunning: q.LongRunning,
	})
	return longest, float64(count) * usual / (q.Width.Mean * q.Work.Mean)
}

// drawAccount draws the account of a flow.
func (s *PoolSettings) drawAccount(rng *rand.Rand) modeler.TeamName {
	sum := 0.0
	for _, a := range s.Accounts {
		sum += a.Part
	}
	at := rng.Float64() * sum
	for _, a := range s.Accounts {
		if at -= a.Part; at < 0 {
			return a.Name
		}
	}
	return s.Accounts[len(s.Accounts)-1].Name
}

// layout returns the layout with the accounts of the pool.
func (s *PoolSettings) layout() *modeler.Layout {
	l := &modeler.Layout{Number: 1, Keyed: true}
	for _, a := range s.Accounts {
		quota := modeler.NoLimit
		if a.Quota > 0 {
			quota.Processors = a.Quota
		}
		l.Accounts = append(l.Accounts, modeler.Account{Team: modeler.Team{Name: a.Name, Quota: quota, Weight: a.Weight}})
	}
	return l
}

const (
	poolService = "pool"
	// poolUneven is how much the tasks of a step differ from each other.
	poolUneven = 0.2
	// callerWait is how many times its objective a caller waits.
	callerWait = 3
	// longStart is the objective for the start of all tasks of a long-running flow.
	longStart = 6 * time.Second
)
