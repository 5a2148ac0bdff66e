package placer

import "goldcreststack.example/goldcreststack/modeler"

// earmark holds room on a worker for tasks of one job while the tasks that
// stand in the way leave.
type earmark struct {
	job      *job
	worker   *worker
	count    int
	deadline modeler.ClockReading
}

func (m *earmark) size() modeler.Resources { return m.job.Size.Times(int64(m.count)) }

// satisfied reports whether the tasks that the earmark waits for have left.
func (m *earmark) satisfied() bool {
	w := m.worker
	return w.slots[plainRoom].cell >= 0 && m.size().Fits(w.room[plainRoom].Add(m.size()))
}

func (p *Placer) setMark(m *earmark) {
	m.worker.earmarked = m.worker.earmarked.Add(m.size())
	m.job.marked += m.count
	p.recount(m.worker)
}

func (p *Placer) clearMark(m *earmark) {
	m.worker.earmarked = m.worker.earmarked.Sub(m.size())
	m.job.marked -= m.count
	p.recount(m.worker)
}

// preempt earmarks room for waiting tasks of the job on workers where tasks
// that can be checkpointed are in the way, and has those checkpointed. Urgent
// jobs displace any such task, others only tasks in reclaimed room. It reports
// whether it has set any earmark.
func (p *Placer) preempt(j *job) bool {
	kind := evictRoom
	if j.class == urgent {
		kind = yieldRoom
	} else if j.reclaims() {
		return false
	}
	set := false
	for range maxEarmark {
		if j.unmarked() <= 0 || !p.quotaForMark(j) {
			break
		}
		w := p.search(j, kind)
		if w == nil {
			break
		}
		m := &earmark{job: j, worker: w, count: 1, deadline: p.now.Add(p.settings.Preemption)}
		p.setMark(m)
		p.marks = append(p.marks, m)
		p.clearWay(w, j.class)
		set = true
	}
	return set
}

// overrule ends the reservation of a job that is not urgent if that makes room
// for an urgent one.
func (p *Placer) overrule(j *job) bool {
	if j.class != urgent || j.unmarked() <= 0 || p.held == nil || p.held.job.class == urgent {
		return false
	}
	for _, m := range p.held.marks {
		w := m.worker
		if w.slots[plainRoom].cell >= 0 && j.canUse(w) && j.Size.Fits(w.room[yieldRoom].Add(m.size())) {
			p.endReservation(true)
			return true
		}
	}
	return false
}

// quotaForMark reports whether the job's quota covers one more earmark.
func (p *Placer) quotaForMark(j *job) bool {
	return j.Size.Times(int64(j.marked) + 1).Fits(j.team.left(j))
}

// clearWay has tasks on the worker checkpointed until its earmarks are covered
// by its free room and the tasks that are leaving.
func (p *Placer) clearWay(w *worker, c class) {
	declared := w.Capacity.Sub(w.declared).Sub(w.earmarked)
	estimate := w.Capacity.Sub(w.estimate).Sub(w.earmarked)
	for _, t := range w.tasks {
		if t.stopping {
			declared, estimate = t.vacate(declared, estimate)
		}
	}
	for lesser(declared, estimate).Negative() {
		t := w.victim(c, declared.Negative())
		if t == nil {
			return
		}
		t.stopping = true
		declared, estimate = t.vacate(declared, estimate)
		p.emit(modeler.CheckpointTask, t)
	}
}

// vacate adds what the task's end will free.
func (t *task) vacate(declared, estimate modeler.Resources) (modeler.Resources, modeler.Resources) {
	if !t.reclaimed {
		declared = declared.Add(t.job.Size)
	}
	return declared, estimate.Add(t.estimate)
}

// victim chooses the next task to checkpoint: one in reclaimed room unless
// declared room is short, and the youngest, which loses the least.
func (w *worker) victim(c class, declared bool) *task {
	var best *task
	for _, t := range w.tasks {
		if t.stopping || !t.job.movable() || c == normal && !t.reclaimed {
			continue
		}
		if best == nil || t.preferred(best, declared) {
			best = t
		}
	}
	return best
}

func (t *task) preferred(other *task, declared bool) bool {
	if t.reclaimed != other.reclaimed {
		return t.reclaimed != declared
	}
	return t.started > other.started
}

// claimMarks places the tasks whose earmarked room has become free.
func (p *Placer) claimMarks(max int) {
	if p.marksSeen == p.growths {
		return
	}
	seen := p.growths
	kept := p.marks[:0]
	for i, m := range p.marks {
		if len(p.out) >= max {
			kept = append(kept, p.marks[i:]...)
			p.marks = kept
			return
		}
		if m.job.waiting() == 0 || m.satisfied() {
			p.claimMark(m)
			continue
		}
		kept = append(kept, m)
	}
	p.marks = kept
	p.marksSeen = seen
}

func (p *Placer) claimMark(m *earmark) {
	p.clearMark(m)
	j := m.job
	if j.waiting() == 0 {
		return
	}
	if j.Size.Fits(j.team.left(j)) && j.canUse(m.worker) && j.Size.Fits(m.worker.room[plainRoom]) {
		p.place(j, m.worker, plainRoom)
		return
	}
	p.requeue(j)
}

// requeue brings a job whose earmark is gone back into its team's queue.
func (p *Placer) requeue(j *job) {
	if j.unmarked() > 0 && (j.state == idle || j.state == parked) {
		p.enqueue(j)
	}
}

func (p *Placer) expireMarks() {
	kept := p.marks[:0]
	for _, m := range p.marks {
		if p.now < m.deadline && m.job.marked <= m.job.waiting() && m.worker.present {
			kept = append(kept, m)
			continue
		}
		p.clearMark(m)
		m.worker.resumeVictims()
		p.requeue(m.job)
	}
	p.marks = kept
}

// resumeVictims makes the tasks whose checkpoint has not come about candidates
// for another one.
func (w *worker) resumeVictims() {
	for _, t := range w.tasks {
		t.stopping = false
	}
}
