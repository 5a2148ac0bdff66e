package placer

import "goldcreststack.example/goldcreststack/modeler"

// maxOverruns is the number of consecutive usage reports above the declared size
// at which an attempt is throttled. One is not enough, because reports lag and
// single peaks are common.
const maxOverruns = 2

// Usage records a worker's reports on its tasks. The estimates of attempts that
// use less than they declared shrink, which frees reclaimed room for tasks that
// can be checkpointed. Attempts that use more than they declared are throttled,
// and checkpointed if that doesn't help.
func (p *Placer) Usage(now modeler.ClockReading, id modeler.WorkerID, generation modeler.Generation, reports []modeler.TaskReport) {
	p.now = now
	w := p.workers[id]
	if w == nil || w.domain == nil {
		return
	}
	changed := false
	for i := range reports {
		r := &reports[i]
		t := p.findTask(r.Task, r.Attempt)
		if t == nil || t.worker != w || t.generation != generation {
			continue
		}
		t.startUnknown = false
		if r.State != modeler.TaskRunning && r.State != modeler.TaskThrottled {
			continue
		}
		changed = p.noteUsage(t, r.Usage) || changed
	}
	if changed {
		p.checkpointOverused(w)
		p.updateRoom(w)
	}
}

// noteUsage records one usage report and reports whether the task's estimate has
// changed.
func (p *Placer) noteUsage(t *task, usage modeler.Resources) bool {
	t.reports++
	t.peakUsage = maxResources(usage, decayPeak(t.peakUsage))
	if len(t.job.evidence.unconfirmed) > 0 {
		p.confirmFailures(t.job, t.worker, max(p.now.Sub(t.started), 1))
	}
	p.noteOverrun(t, usage)
	estimate := p.estimate(t, usage)
	if estimate == t.estimate {
		return false
	}
	t.worker.setEstimate(t, estimate)
	return true
}

// decayPeak returns the peak less 1/32, so that an old peak decays over some
// dozens of reports.
func decayPeak(peak modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Processors: peak.Processors - peak.Processors/32,
		Memory:     peak.Memory - peak.Memory/32,
	}
}

// estimate returns the usage estimate of a task: its peak usage plus a margin,
// but at most the declared size and at least the current usage. Accelerators are
// never reclaimed. Until there are enough reports, the estimate is at least the
// declared size.
func (p *Placer) estimate(t *task, usage modeler.Resources) modeler.Resources {
	size := t.job.Size
	if t.reports < p.settings.MinUsageReports || p.settings.NoReclaiming {
		return maxResources(size, usage)
	}
	margin := modeler.Resources{
		Processors: t.peakUsage.Processors * modeler.Millicores(p.settings.UsageMarginPercent) / 100,
		Memory:     t.peakUsage.Memory * modeler.Bytes(p.settings.UsageMarginPercent) / 100,
	}
	estimate := minResources(size, t.peakUsage.Add(margin))
	estimate.Accelerators = size.Accelerators
	return maxResources(estimate, usage)
}

// noteOverrun throttles an attempt that stays above its declared size. If it
// stays there when throttled, it is checkpointed if it is preemptible.
func (p *Placer) noteOverrun(t *task, usage modeler.Resources) {
	bound := t.job.Size
	bound.Processors += bound.Processors * modeler.Millicores(p.settings.OverrunPercent) / 100
	bound.Memory += bound.Memory * modeler.Bytes(p.settings.OverrunPercent) / 100
	if usage.Processors <= bound.Processors && usage.Memory <= bound.Memory {
		t.overruns = 0
		return
	}
	t.overruns++
	if t.overruns < maxOverruns {
		return
	}
	if !t.throttled {
		t.throttled = true
		p.order(modeler.ThrottleTask, t)
		return
	}
	if t.overruns >= 2*maxOverruns && t.job.preemptible() && !t.isStopping {
		t.isStopping = true
		p.order(modeler.CheckpointTask, t)
	}
}

// checkpointOverused has tasks in reclaimed room checkpointed as long as the
// estimates of the tasks that stay exceed the worker's capacity.
func (p *Placer) checkpointOverused(w *worker) {
	over := w.estimate.Sub(w.Capacity)
	for _, t := range w.tasks {
		if t.isStopping {
			over = over.Sub(t.estimate)
		}
	}
	for over.Processors > 0 || over.Memory > 0 {
		t := w.chooseVictim(normal, false)
		if t == nil {
			return
		}
		t.isStopping = true
		over = over.Sub(t.estimate)
		p.order(modeler.CheckpointTask, t)
	}
}
