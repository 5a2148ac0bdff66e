package placer

import "goldcreststack.example/goldcreststack/modeler"

// earmark holds room on a worker for tasks of one job while the tasks that
// occupy the room leave.
type earmark struct {
	job      *job
	worker   *worker
	count    int                  // number of tasks
	deadline modeler.ClockReading // not used in a reservation, which has its own
}

func (e *earmark) size() modeler.Resources { return e.job.Size.Times(int64(e.count)) }

// satisfied reports whether the earmarked room is free.
func (e *earmark) satisfied() bool {
	w := e.worker
	return w.slots[freeRoom].cell >= 0 && e.size().Fits(w.room[freeRoom].Add(e.size()))
}

func (p *Placer) setEarmark(e *earmark) {
	e.worker.earmarked = e.worker.earmarked.Add(e.size())
	e.job.earmarkedTasks += e.count
	p.updateRoom(e.worker)
}

func (p *Placer) clearEarmark(e *earmark) {
	e.worker.earmarked = e.worker.earmarked.Sub(e.size())
	e.job.earmarkedTasks -= e.count
	p.updateRoom(e.worker)
}

// preemptFor earmarks room for waiting tasks of the job on workers where it can
// be freed by checkpoints, and has tasks there checkpointed. Urgent jobs preempt
// any preemptible task, other jobs only tasks in reclaimed room. It reports
// whether it has set any earmark.
func (p *Placer) preemptFor(j *job) bool {
	kind := evictionRoom
	if j.class == urgent {
		kind = preemptionRoom
	} else if j.canReclaim() {
		return false
	}
	set := false
	for range maxNewEarmarks {
		if j.unearmarked() <= 0 || !p.hasQuotaForEarmark(j) {
			break
		}
		w := p.findWorker(j, kind)
		if w == nil {
			break
		}
		e := &earmark{job: j, worker: w, count: 1, deadline: p.now.Add(p.settings.EarmarkTimeout)}
		p.setEarmark(e)
		p.earmarks = append(p.earmarks, e)
		p.checkpointForEarmarks(w, j.class)
		set = true
	}
	return set
}

// overruleReservation ends the reservation of a job that is not urgent if that
// makes room for the given job, which must be urgent. It reports whether it did.
func (p *Placer) overruleReservation(j *job) bool {
	if j.class != urgent || j.unearmarked() <= 0 || p.reserved == nil || p.reserved.job.class == urgent {
		return false
	}
	for _, e := range p.reserved.earmarks {
		w := e.worker
		if w.slots[freeRoom].cell >= 0 && j.canUse(w) && j.Size.Fits(w.room[preemptionRoom].Add(e.size())) {
			p.endReservation(true)
			return true
		}
	}
	return false
}

// hasQuotaForEarmark reports whether the remaining quota covers one more earmark
// of the job.
func (p *Placer) hasQuotaForEarmark(j *job) bool {
	return j.Size.Times(int64(j.earmarkedTasks) + 1).Fits(j.team.remainingQuota(j))
}

// checkpointForEarmarks has tasks on the worker checkpointed until its free room
// and the tasks that are leaving cover its earmarks.
func (p *Placer) checkpointForEarmarks(w *worker, c class) {
	declared := w.Capacity.Sub(w.declared).Sub(w.earmarked)
	estimate := w.Capacity.Sub(w.estimate).Sub(w.earmarked)
	for _, t := range w.tasks {
		if t.isStopping {
			declared, estimate = t.addFreed(declared, estimate)
		}
	}
	for minResources(declared, estimate).Negative() {
		t := w.chooseVictim(c, declared.Negative())
		if t == nil {
			return
		}
		t.isStopping = true
		declared, estimate = t.addFreed(declared, estimate)
		p.emitDecision(modeler.CheckpointTask, t)
	}
}

// addFreed adds what the end of the task will free, by declared size and by
// estimate.
func (t *task) addFreed(declared, estimate modeler.Resources) (modeler.Resources, modeler.Resources) {
	if !t.reclaimed {
		declared = declared.Add(t.job.Size)
	}
	return declared, estimate.Add(t.estimate)
}

// chooseVictim returns the next task to checkpoint for a job of the class, or
// nil if there is none. It prefers tasks in reclaimed room, or tasks outside of
// it if declaredShort is set, and among those the latest started, which loses
// the least work.
func (w *worker) chooseVictim(c class, declaredShort bool) *task {
	var best *task
	for _, t := range w.tasks {
		if t.isStopping || !t.job.preemptible() || c == normal && !t.reclaimed {
			continue
		}
		if best == nil || t.isBetterVictim(best, declaredShort) {
			best = t
		}
	}
	return best
}

// isBetterVictim reports whether the task should be checkpointed before the
// other.
func (t *task) isBetterVictim(other *task, declaredShort bool) bool {
	if t.reclaimed != other.reclaimed {
		return t.reclaimed != declaredShort
	}
	return t.started > other.started
}

// claimEarmarks places the tasks whose earmarked room has become free.
func (p *Placer) claimEarmarks(max int) {
	if p.earmarksGrowthCount == p.growthCount {
		return
	}
	seen := p.growthCount
	kept := p.earmarks[:0]
	for i, e := range p.earmarks {
		if len(p.decisions) >= max {
			kept = append(kept, p.earmarks[i:]...)
			p.earmarks = kept
			return
		}
		if e.job.waiting() == 0 || e.satisfied() {
			p.claimEarmark(e)
			continue
		}
		kept = append(kept, e)
	}
	p.earmarks = kept
	p.earmarksGrowthCount = seen
}

// claimEarmark removes the earmark and places its task, or queues the job again
// if the task can't be placed there any more.
func (p *Placer) claimEarmark(e *earmark) {
	p.clearEarmark(e)
	j := e.job
	if j.waiting() == 0 {
		return
	}
	if j.Size.Fits(j.team.remainingQuota(j)) && j.canUse(e.worker) && j.Size.Fits(e.worker.room[freeRoom]) {
		p.placeTask(j, e.worker, freeRoom)
		return
	}
	p.requeue(j)
}

// requeue adds a job whose earmark was removed to its team's queue again.
func (p *Placer) requeue(j *job) {
	if j.unearmarked() > 0 && (j.state == idle || j.state == parked) {
		p.enqueue(j)
	}
}

// expireEarmarks removes earmarks that are over their deadline, that the job
// doesn't need any more, or whose worker is lost.
func (p *Placer) expireEarmarks() {
	kept := p.earmarks[:0]
	for _, e := range p.earmarks {
		if p.now < e.deadline && e.job.earmarkedTasks <= e.job.waiting() && e.worker.present {
			kept = append(kept, e)
			continue
		}
		p.clearEarmark(e)
		e.worker.resetVictims()
		p.requeue(e.job)
	}
	p.earmarks = kept
}

// resetVictims allows further checkpoints of the worker's tasks that were to be
// checkpointed and still run.
func (w *worker) resetVictims() {
	for _, t := range w.tasks {
		t.isStopping = false
	}
}
