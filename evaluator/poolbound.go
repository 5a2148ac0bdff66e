package evaluator

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// poolBound returns a share of the day's worth that no policy can exceed. It takes
// the pool as one worker that knows all run times, divides its work at will and
// needs no permits, and gives each flow that it can't finish in time what a late
// one is worth. It does so for each resource by itself; the lowest result counts.
func poolBound(s *PoolSettings, flows []*poolFlow) float64 {
	owed := 0.0
	for _, f := range flows {
		owed += f.worth
	}
	if owed == 0 {
		return 1
	}
	speed := 0.0
	for i := range s.Workers.Count {
		if n := len(s.Workers.Speeds); n > 0 {
			speed += s.Workers.Speeds[i%n]
		} else {
			speed++
		}
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
				sum := 0.0
				for _, w := range f.work {
					sum += w.Seconds()
				}
				return sum * amount(f.Steps[0].Need)
			}))
		}
	}
	return best / owed
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
		low, high := 0.0, 1.0
		if work == 0 || fluidFits(append(taken, fluidJob{f.arrival, f.deadline, work}), capacity) {
			low = 1
		} else {
			for range 6 {
				middle := (low + high) / 2
				if fluidFits(append(taken, fluidJob{f.arrival, f.deadline, middle * work}), capacity) {
					low = middle
				} else {
					high = middle
				}
			}
			taken = append(taken, fluidJob{f.arrival, f.deadline, low * work})
			sum += high * (f.worth - f.late)
			continue
		}
		taken = append(taken, fluidJob{f.arrival, f.deadline, work})
		sum += low * (f.worth - f.late)
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
