package placer

import "goldcreststack.example/goldcreststack/modeler"

// overrunsTolerated is the number of reports in a row above the declared size
// before an attempt is throttled; reports lag, and single peaks are common.
const overrunsTolerated = 2

// Usage takes in what a worker reports of its tasks. Estimates of attempts
// that use less than they declared shrink and free room for work that can be
// checkpointed; attempts above their declared size are throttled, or
// checkpointed if that doesn't help.
func (p *Placer) Usage(now modeler.ClockReading, id modeler.WorkerID, generation modeler.Generation, reports []modeler.TaskReport) {
	p.now = now
	w := p.workers[id]
	if w == nil || w.domain == nil {
		return
	}
	changed := false
	for i := range reports {
		r := &reports[i]
		t := p.find(r.Task, r.Attempt)
		if t == nil || t.worker != w || t.generation != generation {
			continue
		}
		t.unknown = false
		if r.State != modeler.TaskRunning && r.State != modeler.TaskThrottled {
			continue
		}
		changed = p.noteUsage(t, r.Usage) || changed
	}
	if changed {
		p.relieve(w)
		p.recount(w)
	}
}

// noteUsage takes in one report and says whether the estimate has changed.
func (p *Placer) noteUsage(t *task, usage modeler.Resources) bool {
	t.reports++
	t.peak = greater(usage, decayed(t.peak))
	if len(t.job.evidence.pending) > 0 {
		p.confirm(t.job, t.worker, max(p.now.Sub(t.started), 1))
	}
	p.noteOverrun(t, usage)
	estimate := p.estimate(t, usage)
	if estimate == t.estimate {
		return false
	}
	t.worker.reestimate(t, estimate)
	return true
}

// decayed lets an old peak fade over some dozens of reports.
func decayed(peak modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Processors: peak.Processors - peak.Processors/32,
		Memory:     peak.Memory - peak.Memory/32,
	}
}

// estimate is the peak with a margin, at most the declared size unless the
// attempt uses more right now. Accelerators are held whole. Until enough
// reports have come, it is at least the declared size.
func (p *Placer) estimate(t *task, usage modeler.Resources) modeler.Resources {
	size := t.job.Size
	if t.reports < p.settings.Settle || p.settings.Declared {
		return greater(size, usage)
	}
	margin := modeler.Resources{
		Processors: t.peak.Processors * modeler.Millicores(p.settings.Margin) / 100,
		Memory:     t.peak.Memory * modeler.Bytes(p.settings.Margin) / 100,
	}
	estimate := lesser(size, t.peak.Add(margin))
	estimate.Accelerators = size.Accelerators
	return greater(estimate, usage)
}

// noteOverrun throttles an attempt that stays above its declared size; one
// that goes on in spite of it is checkpointed if it can be.
func (p *Placer) noteOverrun(t *task, usage modeler.Resources) {
	bound := t.job.Size
	bound.Processors += bound.Processors * modeler.Millicores(p.settings.Overrun) / 100
	bound.Memory += bound.Memory * modeler.Bytes(p.settings.Overrun) / 100
	if usage.Processors <= bound.Processors && usage.Memory <= bound.Memory {
		t.overruns = 0
		return
	}
	t.overruns++
	if t.overruns < overrunsTolerated {
		return
	}
	if !t.throttled {
		t.throttled = true
		p.order(modeler.ThrottleTask, t)
		return
	}
	if t.overruns >= 2*overrunsTolerated && t.job.movable() && !t.stopping {
		t.stopping = true
		p.order(modeler.CheckpointTask, t)
	}
}

// relieve has tasks in reclaimed room checkpointed while the estimates exceed
// the capacity of the worker.
func (p *Placer) relieve(w *worker) {
	over := w.estimate.Sub(w.Capacity)
	for _, t := range w.tasks {
		if t.stopping {
			over = over.Sub(t.estimate)
		}
	}
	for over.Processors > 0 || over.Memory > 0 {
		t := w.victim(normal, false)
		if t == nil {
			return
		}
		t.stopping = true
		over = over.Sub(t.estimate)
		p.order(modeler.CheckpointTask, t)
	}
}
