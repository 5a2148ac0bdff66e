package placer

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Withdraw takes a job out with everything it holds and stops nothing. The
// caller restores what runs before the next decision.
func (p *Placer) Withdraw(now modeler.ClockReading, id modeler.JobID) {
	p.now = now
	j := p.jobs[id]
	if j == nil {
		return
	}
	p.countWaiting(j, -j.waiting())
	j.dead = true
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskPlaced {
			continue
		}
		if h := &t.worker.health; h.probe == t {
			h.probe = nil
		}
		p.release(t)
		t.state = taskOver
		j.over++
	}
	p.forget(j)
}

// Reopen makes a task that is over wait again, with attempts above the given
// one; it reports false for a job that the placer doesn't know.
func (p *Placer) Reopen(now modeler.ClockReading, id modeler.TaskID, attempt modeler.Attempt) bool {
	p.now = now
	j := p.jobs[id.Job]
	if j == nil || j.dead {
		return false
	}
	if int(id.Index) >= len(j.tasks) || j.tasks[id.Index].state != taskOver {
		return true
	}
	t := &j.tasks[id.Index]
	t.state = taskWaiting
	t.attempt = max(t.attempt, attempt)
	j.over--
	j.again = append(j.again, t.index)
	p.countWaiting(j, 1)
	if j.state == idle && j.unmarked() > 0 {
		p.enqueue(j)
	}
	return true
}

// Waits reports whether tasks of the job wait for a placement.
func (p *Placer) Waits(id modeler.JobID) bool {
	j := p.jobs[id]
	return j != nil && j.waiting() > 0
}

// Redirect gives up earmarks of urgent jobs whose room has not become free
// within patience, so that the next decision makes room on another worker; the
// same one is taken again only if no other could give room. A job that has
// been redirected takes whichever room becomes free first.
func (p *Placer) Redirect(now modeler.ClockReading, patience time.Duration) {
	p.now = now
	kept := p.marks[:0]
	for _, m := range p.marks {
		if !p.misplaced(m, patience) {
			kept = append(kept, m)
			continue
		}
		p.clearMark(m)
		m.job.avoid(m.worker)
		p.requeue(m.job)
	}
	p.marks = kept
}

// misplaced reports whether the earmark of an urgent job should be given up.
func (p *Placer) misplaced(m *earmark, patience time.Duration) bool {
	j := m.job
	if j.class != urgent || m.satisfied() {
		return false
	}
	if p.now.Sub(m.deadline.Add(-p.settings.Preemption)) >= patience {
		return true
	}
	// The first worker may have come round after all.
	return len(j.evidence.failed) > 0 && p.search(j, plainRoom) != nil
}

// avoid has searches for the job prefer other workers.
func (j *job) avoid(w *worker) {
	e := &j.evidence
	if slices.Contains(e.failed, w) {
		return
	}
	e.failed = append(e.failed, w)
	if len(e.failed) > maxAvoided {
		e.failed = e.failed[1:]
	}
}
