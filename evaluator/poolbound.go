package evaluator

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// poolBound returns a share of the day's worth that no policy can exceed. A flow
// gets what it would get alone on the workers that the outside policy allows. Beyond
// that it takes the pool as one worker that knows all run times and divides its work
// at will, and gives each flow that it can't finish in time what a late one is
// worth. It does so for each resource by itself; the lowest result counts.
func poolBound(s *PoolSettings, day *poolDay) float64 {
	owed := 0.0
	var flows []*poolFlow
	for _, f := range day.flows {
		owed += f.worth
		alone := *f
		if at := day.earliestEnd(f); at > f.lastUse {
			alone.worth, alone.late = 0, 0
		} else if at > f.deadline {
			alone.worth = alone.late
		}
		flows = append(flows, &alone)
	}
	if owed == 0 {
		return 1
	}
	speed := 0.0
	for i := range s.Workers.Count {
		speed += s.Workers.speed(i)
	}
	best := owed
	whole := s.Workers.capacity()
	for _, amount := range []func(modeler.Resources) float64{
		func(r modeler.Resources) float64 { return float64(r.Processors) },
		func(r modeler.Resources) float64 { return float64(r.Memory) },
		func(r modeler.Resources) float64 { return float64(r.Accelerators) },
	} {
		if capacity := amount(whole) * speed; capacity > 0 {
			best = min(best, fluidWorth(flows, capacity, func(f *poolFlow) float64 {
				return f.totalWork().Seconds() * amount(f.Steps[0].Need)
			}))
		}
	}
	return best / owed
}

func (f *poolFlow) totalWork() time.Duration {
	sum := time.Duration(0)
	for _, w := range f.work {
		sum += w
	}
	return sum
}

// earliestEnd returns when a flow can be done if it has the allowed workers to
// itself: its longest task on the fastest one, and all of its work on all of them.
func (d *poolDay) earliestEnd(f *poolFlow) time.Duration {
	fastest, slots := 0.0, 0.0
	for _, w := range d.workers {
		if !d.isAllowed(f, w.ID) {
			continue
		}
		fastest = max(fastest, w.speed)
		n := 0
		for f.Steps[0].Need.Times(int64(n+1)).Fits(w.Capacity) && n < f.Steps[0].Count {
			n++
		}
		slots += float64(n) * w.speed
	}
	if slots == 0 {
		return math.MaxInt64
	}
	at := f.arrival
	if f.queue.Permits != nil {
		at += f.queue.Permits.Decision.Std()
	}
	return at + max(time.Duration(float64(slices.Max(f.work))/fastest), time.Duration(float64(f.totalWork())/slots))
}

// fluidJob is an amount of work that may be done between two times.
type fluidJob struct {
	arrival, deadline time.Duration
	work              float64
}

// fluidWorth returns the largest worth that a capacity of work a second can give.
// The amounts of work that can be done together form a polymatroid, so taking the
// flows in order of worth per work is optimal.
func fluidWorth(flows []*poolFlow, capacity float64, workOf func(*poolFlow) float64) float64 {
	sorted := slices.Clone(flows)
	slices.SortFunc(sorted, func(a, b *poolFlow) int {
		return cmp.Compare((b.worth-b.late)*workOf(a), (a.worth-a.late)*workOf(b))
	})
	var taken []fluidJob
	sum := 0.0
	for _, f := range sorted {
		sum += f.late
		work := workOf(f)
		fits := func(share float64) bool {
			return fluidFits(append(taken, fluidJob{f.arrival, f.deadline, share * work}), capacity)
		}
		share, above := 0.0, 1.0
		if fits(1) {
			share = 1
		}
		for range 6 {
			middle := (share + above) / 2
			if fits(middle) {
				share = middle
			} else {
				above = middle
			}
		}
		taken = append(taken, fluidJob{f.arrival, f.deadline, share * work})
		sum += above * (f.worth - f.late)
	}
	return sum
}

// fluidQueue is a heap of jobs, the earliest deadline first.
type fluidQueue []fluidJob

func (q fluidQueue) Len() int           { return len(q) }
func (q fluidQueue) Less(i, j int) bool { return q[i].deadline < q[j].deadline }
func (q fluidQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *fluidQueue) Push(x any)        { *q = append(*q, x.(fluidJob)) }
func (q *fluidQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fluidFits reports whether all jobs can be done by their deadlines, which the
// earliest deadline first shows.
func fluidFits(jobs []fluidJob, capacity float64) bool {
	arriving := slices.Clone(jobs)
	slices.SortFunc(arriving, func(a, b fluidJob) int { return cmp.Compare(a.arrival, b.arrival) })
	var queue fluidQueue
	now := time.Duration(0)
	for len(arriving) > 0 || len(queue) > 0 {
		if len(queue) == 0 {
			now = max(now, arriving[0].arrival)
		}
		for len(arriving) > 0 && arriving[0].arrival <= now {
			heap.Push(&queue, arriving[0])
			arriving = arriving[1:]
		}
		j := heap.Pop(&queue).(fluidJob)
		until := now + time.Duration(j.work/capacity*float64(time.Second))
		if len(arriving) > 0 && arriving[0].arrival < until {
			until = arriving[0].arrival
			j.work -= capacity * (until - now).Seconds()
			heap.Push(&queue, j)
		} else if until > j.deadline {
			return false
		}
		now = until
		if len(queue) > 0 && queue[0].deadline < now {
			return false
		}
	}
	return true
}
