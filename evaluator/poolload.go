package evaluator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// poolFlow is a flow of one step with what only the simulation knows of it.
type poolFlow struct {
	modeler.Flow
	queue   *PoolQueue
	arrival time.Duration
	// work is the run time of each task on a worker of the usual speed.
	work []time.Duration
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
				flows = append(flows, newPoolFlow(rng, q, len(flows), at))
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

func newPoolFlow(rng *rand.Rand, q *PoolQueue, number int, at time.Duration) *poolFlow {
	f := &poolFlow{queue: q, arrival: at}
	count := max(1, int(math.Round(q.Width.draw(rng))))
	usual := q.Work.draw(rng)
	longest := time.Duration(0)
	for range count {
		w := time.Duration(usual * (1 + poolUneven*(2*rng.Float64()-1)) * float64(time.Second))
		f.work = append(f.work, w)
		longest = max(longest, w)
	}
	gang := rng.Float64() < q.Gang
	if gang {
		for i := range f.work {
			f.work[i] = longest
		}
	}
	accelerators := modeler.Accelerators(0)
	if len(q.Accelerators) > 0 {
		accelerators = q.Accelerators[rng.IntN(len(q.Accelerators))]
	}
	f.Flow = modeler.Flow{
		ID: modeler.FlowID(fmt.Sprintf("%s-%04d", q.Name, number)), Queue: modeler.QueueID(q.Name), Spec: "-",
		Steps: []modeler.Step{{
			Count:       count,
			Need:        modeler.Resources{Processors: q.Processors, Memory: q.Memory, Accelerators: accelerators},
			Estimate:    time.Duration(usual * math.Exp(q.Estimates*rng.NormFloat64()) * float64(time.Second)),
			Checkpoints: rng.Float64() < q.Checkpoints,
			Gang:        gang,
		}},
		Policy: modeler.QueuePolicy{
			Service: poolService, Priority: q.Priority, Attempts: q.Attempts, Slowdown: q.Slowdown, Latency: q.Latency.Std(),
		},
	}
	if p := q.Permits; p != nil {
		f.Policy.Permits = &modeler.PermitPolicy{Decision: p.Decision.Std(), Worker: p.Worker.Std(), Validity: p.Validity.Std()}
	}
	objective := time.Duration(q.Slowdown*float64(longest)) + q.Latency.Std()
	f.deadline = at + objective
	f.lastUse = at + callerWait*objective
	share := 0.3 + 0.7*float64(count)*usual/(q.Width.Mean*q.Work.Mean)
	f.worth, f.late = min(share, 4)*q.Worth, min(share, 4)*q.Late
	return f
}

const (
	poolService = "pool"
	// poolUneven is how much the tasks of a step differ from each other.
	poolUneven = 0.2
	// callerWait is how many times its objective a caller waits.
	callerWait = 3
)
