package placer

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Withdraw removes a job and frees all its resources, without stopping its
// running tasks. Before the next Decide the caller must call Restore for the
// tasks that keep running.
func (p *Placer) Withdraw(now modeler.ClockReading, id modeler.JobID) {
	p.now = now
	j := p.jobs[id]
	if j == nil {
		return
	}
	p.countWaiting(j, -j.waiting())
	j.isCancelled = true
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskPlaced {
			continue
		}
		if h := &t.worker.health; h.probeTask == t {
			h.probeTask = nil
		}
		p.releaseTask(t)
		t.state = taskFinished
		j.finishedTasks++
	}
	p.forgetIfDone(j)
}

// Reopen makes a finished task wait for a placement again, with attempt numbers
// above the given one. It does nothing to a task that isn't finished. It reports
// false if the job is not known or is cancelled.
func (p *Placer) Reopen(now modeler.ClockReading, id modeler.TaskID, attempt modeler.Attempt) bool {
	p.now = now
	j := p.jobs[id.Job]
	if j == nil || j.isCancelled {
		return false
	}
	if int(id.Index) >= len(j.tasks) || j.tasks[id.Index].state != taskFinished {
		return true
	}
	t := &j.tasks[id.Index]
	t.state = taskWaiting
	t.attempt = max(t.attempt, attempt)
	j.finishedTasks--
	j.again = append(j.again, t.index)
	p.countWaiting(j, 1)
	if j.state == idle && j.unearmarked() > 0 {
		p.enqueue(j)
	}
	return true
}

// HasWaitingTasks reports whether any task of the job waits for a placement.
func (p *Placer) HasWaitingTasks(id modeler.JobID) bool {
	j := p.jobs[id]
	return j != nil && j.waiting() > 0
}

// RedirectEarmarks removes the earmarks of urgent jobs whose room has not become free
// within patience, so that the next Decide makes room on another worker. It uses
// the same worker again only if no other worker can make room. A job that was
// redirected takes the room that becomes free first.
func (p *Placer) RedirectEarmarks(now modeler.ClockReading, patience time.Duration) {
	p.now = now
	kept := p.earmarks[:0]
	for _, e := range p.earmarks {
		if !p.shouldRedirect(e, patience) {
			kept = append(kept, e)
			continue
		}
		p.clearEarmark(e)
		e.job.avoidWorker(e.worker)
		p.requeue(e.job)
	}
	p.earmarks = kept
}

// shouldRedirect reports whether RedirectEarmarks should remove the earmark.
func (p *Placer) shouldRedirect(e *earmark, patience time.Duration) bool {
	j := e.job
	if j.class != urgent || e.satisfied() {
		return false
	}
	if p.now.Sub(e.deadline.Add(-p.settings.EarmarkTimeout)) >= patience {
		return true
	}
	// After a redirect, room may have become free on an earlier worker.
	return len(j.evidence.failedOn) > 0 && p.findWorker(j, freeRoom) != nil
}

// avoidWorker makes searches for the job prefer other workers.
func (j *job) avoidWorker(w *worker) {
	e := &j.evidence
	if slices.Contains(e.failedOn, w) {
		return
	}
	e.failedOn = append(e.failedOn, w)
	if len(e.failedOn) > maxAvoided {
		e.failedOn = e.failedOn[1:]
	}
}
