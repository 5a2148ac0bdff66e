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
	best := owed
	for _, amount := range []func(modeler.Resources) float64{
		func(r modeler.Resources) float64 { return float64(r.Processors) },
		func(r modeler.Resources) float64 { return float64(r.Memory) },
		func(r modeler.Resources) float64 { return float64(r.Accelerators) },
	} {
		capacity := 0.0
		for i := range s.Workers.Count {
			capacity += s.Workers.speed(i) * amount(s.Workers.capacity(i))
		}
		if capacity > 0 {
			best = min(best, fluidWorth(flows, capacity, func(f *poolFlow) float64 { return f.totalNeed(amount) }))
		}
	}
	return best / owed
}

// totalNeed returns the work of a flow times the amount of a resource that it needs.
// That of long-running tasks, which fill what others leave, isn't counted.
func (f *poolFlow) totalNeed(amount func(modeler.Resources) float64) float64 {
	sum := 0.0
	for i := range f.Steps {
		if !f.Steps[i].LongRunning {
			sum += stepWork(f.work[i]).Seconds() * amount(f.Steps[i].Need)
		}
	}
	return sum
}

func stepWork(work []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, w := range work {
		sum += w
	}
	return sum
}

// earliestEnd returns when a flow can be done if it has the allowed workers to
// itself: the longest task of each step on the fastest one, and all of its work on all of
// them. Long-running flows only have to start.
func (d *poolDay) earliestEnd(f *poolFlow) time.Duration {
	at := f.arrival
	if f.queue.Permits != nil {
		at += f.queue.Permits.Decision.Std()
	}
	fastest := 0.0
	slots := make([]float64, len(f.Steps))
	for _, w := range d.workers {
		if !d.isAllowed(f, w.ID) {
			continue
		}
		fastest = max(fastest, w.speed)
		for i := range f.Steps {
			n := 0
			for n < f.Steps[i].Count && f.Steps[i].Need.Times(int64(n+1)).Fits(w.Capacity) {
				n++
			}
			slots[i] += float64(n) * w.speed
		}
	}
	for i, work := range f.work {
		switch {
		case slots[i] == 0:
			return math.MaxInt64
		case !f.Steps[i].LongRunning:
			at += max(time.Duration(float64(slices.Max(work))/fastest), time.Duration(float64(stepWork(work))/slots[i]))
		}
	}
	return at
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
	jobs := make([]fluidJob, len(sorted))
	sum := 0.0
	for i, f := range sorted {
		sum += f.late
		jobs[i] = fluidJob{f.arrival, f.deadline, workOf(f)}
	}
	for i := 0; i < len(sorted); {
		// Most flows fit, so several are tried at a time: twice as many while they do.
		n := 1
		for i+n < len(sorted) && fluidFits(jobs[:i+n], capacity) {
			n *= 2
		}
		low, high := 0, min(n, len(sorted)-i)
		for low < high {
			middle := (low + high + 1) / 2
			if fluidFits(jobs[:i+middle], capacity) {
				low = middle
			} else {
				high = middle - 1
			}
		}
		for _, f := range sorted[i : i+low] {
			sum += f.worth - f.late
		}
		i += low
		if i == len(sorted) {
			break
		}
		whole := jobs[i].work
		share, above := 0.0, 1.0
		for range 6 {
			middle := (share + above) / 2
			jobs[i].work = middle * whole
			if fluidFits(jobs[:i+1], capacity) {
				share = middle
			} else {
				above = middle
			}
		}
		jobs[i].work = share * whole
		sum += above * (sorted[i].worth - sorted[i].late)
		i++
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
