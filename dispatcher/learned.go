package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/profiler"
)

const (
	// recordInterval is the time between two commands with what was learned. A leader
	// that is lost takes what it has learned since with it.
	recordInterval = 2 * time.Second
	// maxRecordedWorkers and maxRecordedQueues bound one command to about 16 KiB. The
	// others follow in the next ones.
	maxRecordedWorkers = 256
	maxRecordedQueues  = 64
	// recordedChange is the change of a worker's mean, in standard deviations, from
	// which it is recorded again, and recordedGain the part to which its variance has
	// to fall: half as many runs again.
	recordedChange = 0.5
	recordedGain   = 0.7
	// recordedRunsDivisor and maxRecordedRuns set after how many runs a queue is recorded
	// again: one part in recordedRunsDivisor of those recorded, at most maxRecordedRuns.
	recordedRunsDivisor = 8
	maxRecordedRuns     = 50
)

// restoreLearned begins with what earlier leaders have recorded.
func (d *Dispatcher) restoreLearned() {
	records := make(map[*profiler.Worker]profiler.Record)
	for _, h := range d.hostList {
		if w, found := d.state.LearnedWorker(h.worker.ID); found {
			records[h.speed] = profiler.Record{Count: w.Count, Mean: float64(w.Slowness), Variance: float64(w.Variance)}
		}
	}
	d.profiler.RestoreWorkers(records)
	queues := 0
	for i := range d.state.Layout().Queues {
		id := d.state.Layout().Queues[i].ID()
		if l, found := d.state.LearnedQueue(id); found {
			queues++
			q := d.queue(id)
			q.learned = l.Count
			q.runtimes.restore(&l)
			d.profiler.RestoreQueue(id, profiler.QueueRecord{Noise: l.Noise, Step: l.Step})
		}
	}
	d.settings.Log("learned speeds taken over", "workers", len(records), "queues", queues, "term", d.term)
}

// restore sets what is known of the run times of a queue. Records that no leader can have
// made are ignored.
func (t *runtimes) restore(l *modeler.LearnedQueue) {
	for _, x := range []float64{l.Weight, l.Estimate, l.Runtime, l.Variance, l.Covariance, l.Squares} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return
		}
	}
	if l.Weight <= 0 || l.Variance < 0 || l.Squares < 0 {
		return
	}
	*t = runtimes{
		samples: min(l.Weight, maxSamples), estimate: l.Estimate, runtime: l.Runtime,
		variance: l.Variance, covariance: l.Covariance, squares: l.Squares,
	}
}

// recordLearned lists in the output what was learned since it was last recorded. It
// compares with the replicated state, so that what a lost command had is listed again.
func (d *Dispatcher) recordLearned(now modeler.ClockReading) {
	if now.Sub(d.recordedAt) < recordInterval {
		return
	}
	d.recordedAt = now
	l := modeler.Learned{Workers: d.workersToRecord(), Queues: d.queuesToRecord()}
	if len(l.Workers)+len(l.Queues) > 0 {
		d.out.Learned = &l
	}
}

// workersToRecord returns the workers of which more is known than is recorded. It begins
// where the last call has ended, so that each worker has its turn.
func (d *Dispatcher) workersToRecord() []modeler.LearnedWorker {
	var out []modeler.LearnedWorker
	for range d.hostList {
		if len(out) == maxRecordedWorkers {
			break
		}
		d.recordedHost = (d.recordedHost + 1) % len(d.hostList)
		h := d.hostList[d.recordedHost]
		r := h.speed.Record()
		if h.gone || r.Count == 0 {
			continue
		}
		if w, found := d.state.LearnedWorker(h.worker.ID); found && w.Generation == h.worker.Generation && !isNews(w, r) {
			continue
		}
		out = append(out, modeler.LearnedWorker{
			Worker: h.worker.ID, Generation: h.worker.Generation,
			Count: r.Count, Slowness: float32(r.Mean), Variance: float32(r.Variance),
		})
	}
	return out
}

// isNews reports whether a record tells clearly more of a worker than the recorded one.
func isNews(w modeler.LearnedWorker, r profiler.Record) bool {
	variance := float64(w.Variance)
	return math.Abs(r.Mean-float64(w.Slowness)) > recordedChange*math.Sqrt(variance) || r.Variance < recordedGain*variance
}

// queuesToRecord returns the queues of the layout of which more is known than is recorded,
// those with the most new run times first.
func (d *Dispatcher) queuesToRecord() []modeler.LearnedQueue {
	type candidate struct {
		id   modeler.QueueID
		runs int
	}
	var candidates []candidate
	for i := range d.state.Layout().Queues {
		id := d.state.Layout().Queues[i].ID()
		q := d.queues[id]
		if q == nil || q.learned == 0 {
			continue
		}
		recorded, found := d.state.LearnedQueue(id)
		runs := q.learned - recorded.Count
		if !found || runs >= max(min(recorded.Count/recordedRunsDivisor, maxRecordedRuns), 1) {
			candidates = append(candidates, candidate{id, runs})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.runs, a.runs), cmp.Compare(a.id, b.id)) })
	out := make([]modeler.LearnedQueue, 0, min(len(candidates), maxRecordedQueues))
	for _, c := range candidates[:cap(out)] {
		q := d.queues[c.id]
		spread := d.profiler.QueueRecord(c.id)
		out = append(out, modeler.LearnedQueue{
			Queue: c.id, Count: q.learned, Weight: q.runtimes.samples,
			Estimate: q.runtimes.estimate, Runtime: q.runtimes.runtime,
			Variance: q.runtimes.variance, Covariance: q.runtimes.covariance, Squares: q.runtimes.squares,
			Noise: spread.Noise, Step: spread.Step,
		})
	}
	return out
}
