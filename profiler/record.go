package profiler

import (
	"math"

	"goldcreststack.example/goldcreststack/modeler"
)

// Record is what the runs of a worker have shown, apart from other workers.
type Record struct {
	// Count is the number of runs, Mean the robust mean of their log(run time / expected
	// run time), and Variance the variance of the mean.
	Count          int
	Mean, Variance float64
}

// isValid reports whether the record is of at least one run and its numbers are finite.
func (r Record) isValid() bool {
	return r.Count > 0 && r.Variance > 0 && !math.IsInf(r.Variance, 0) && !math.IsNaN(r.Mean) && !math.IsInf(r.Mean, 0)
}

// Record returns what the worker's runs have shown up to its last estimate. Its Count is 0
// if that is nothing.
func (w *Worker) Record() Record {
	if w.weight == 0 {
		return Record{}
	}
	return Record{Count: w.count, Mean: w.mean, Variance: w.variance}
}

// restore replaces the worker's samples by equal ones with the mean and the variance of the
// record. One sample alone would count as an outlier as soon as two new runs differ from it.
func (w *Worker) restore(r Record) {
	n := min(r.Count, maxSamples)
	weight, age := 0.0, 1.0
	for range n {
		weight += age
		age *= decay
	}
	w.samples = w.samples[:0]
	for range n {
		w.samples = append(w.samples, newSample(r.Mean, r.Variance*weight))
	}
	w.count = r.Count
	w.fresh = n
}

// QueueRecord is what is known of the run times of a queue: the variance of equal tasks,
// and that of what the tasks of one step have in common.
type QueueRecord struct{ Noise, Step modeler.LearnedMean }

// QueueRecord returns what is known of a queue.
func (p *Profiler) QueueRecord(id modeler.QueueID) QueueRecord {
	q := p.queue(id)
	return QueueRecord{
		Noise: modeler.LearnedMean{Mean: q.noise.mean, Weight: q.noise.weight},
		Step:  modeler.LearnedMean{Mean: q.step.mean, Weight: q.step.weight},
	}
}

// RestoreQueue sets what is known of a queue. Records that no profiler can have made are
// ignored.
func (p *Profiler) RestoreQueue(id modeler.QueueID, r QueueRecord) {
	q := p.queue(id)
	restoreAverage(&q.noise, r.Noise)
	restoreAverage(&q.step, r.Step)
}

func restoreAverage(a *average, m modeler.LearnedMean) {
	if m.Mean >= 0 && !math.IsInf(m.Mean, 0) && m.Weight > 0 {
		a.mean, a.weight = m.Mean, min(m.Weight, maxWeight)
	}
}

// RestoreWorkers sets what is known of workers, and estimates the spread of the cell from
// it. Records that no profiler can have made are ignored.
func (p *Profiler) RestoreWorkers(records map[*Worker]Record) {
	for _, w := range p.workers {
		if r, found := records[w]; found && r.isValid() {
			w.restore(r)
			p.runs += r.Count
		}
	}
	// Only known means of workers show the spread, and it decides about their outliers.
	for _, w := range p.workers {
		w.weigh(p.spread.prior(w.kind))
	}
	if len(p.workers) > 0 {
		p.refresh()
	}
}
