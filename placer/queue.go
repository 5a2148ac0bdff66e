package placer

import "container/heap"

// queue is a heap of jobs in order of arrival.
type queue []*job

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, k int) bool { return q[i].sequence < q[k].sequence }
func (q queue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*job)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// maxPops is the number of jobs without waiting tasks that head removes one by
// one. If there are more, it filters the whole queue, which is cheaper than one
// pop for each job of a mass cancellation.
const maxPops = 16

// head returns the first job that has a waiting task without an earmark, and
// removes the jobs before it.
func (q *queue) head() *job {
	for pops := 0; len(*q) > 0; pops++ {
		j := (*q)[0]
		if j.unearmarked() > 0 {
			return j
		}
		if pops == maxPops {
			q.dropFinished()
			continue
		}
		heap.Pop(q)
		j.leaveQueue()
	}
	return nil
}

// dropFinished removes all jobs without waiting tasks that lack an earmark.
func (q *queue) dropFinished() {
	kept := (*q)[:0]
	for _, j := range *q {
		if j.unearmarked() > 0 {
			kept = append(kept, j)
			continue
		}
		j.leaveQueue()
	}
	clear((*q)[len(kept):])
	*q = kept
	heap.Init(q)
}

// leaveQueue updates the state of a job that was removed from its queue.
func (j *job) leaveQueue() {
	if j.state == queued {
		j.state = idle
	}
	if j.waiting() == 0 {
		j.parkedJobs().remove(j)
	}
}
