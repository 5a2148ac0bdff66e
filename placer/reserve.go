package placer

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// starvedTried bounds the jobs considered for the reservation in one
	// Decide.
	starvedTried = 4
	// reservedTasks bounds the tasks of one reservation for a job that is
	// not a gang.
	reservedTasks = 8
	// drainSteps are the classes into which workers are sorted by how much
	// has to leave them.
	drainSteps = 32
	// drainLooked is how many workers a new reservation is chosen from, if
	// they hold drainChoice times its tasks: all 18,000 took 2 ms.
	drainLooked = 1024
	drainChoice = 4
)

// reservation keeps new work off the room that one job waits for. There is one
// at a time, so jobs never wait for each other's reservations, and it ends at
// its deadline, so it holds nobody up for good.
type reservation struct {
	job      *job
	tasks    int
	marks    []*earmark
	deadline modeler.ClockReading
	// press is when tasks that can be checkpointed are made to leave.
	press   modeler.ClockReading
	pressed bool
	seen    uint64
	// count is when the room is counted over the whole cell again, and
	// choose is when the workers to drain are chosen again.
	count  modeler.ClockReading
	choose modeler.ClockReading
}

// noteStuck puts a job without room into the line for the reservation.
func (p *Placer) noteStuck(j *job) {
	if !j.isStuck {
		j.isStuck = true
		j.stuck = p.now
	}
	if !j.starving && !j.reserving {
		j.starving = true
		p.starved[j.class] = append(p.starved[j.class], starved{j, p.now})
	}
}

// starved is a job's place in the line for the reservation.
type starved struct {
	job   *job
	since modeler.ClockReading
}

// reserve gives the reservation to the job that has waited longest without
// room. Urgent jobs go first and take it from one that is not urgent.
func (p *Placer) reserve() {
	if p.now < p.drained.Add(drainPause) {
		return
	}
	for c := urgent; c < classes; c++ {
		if p.held != nil && p.held.job.class <= c {
			return
		}
		for range min(starvedTried, len(p.starved[c])) {
			s := p.starved[c][0]
			if p.now < s.since.Add(p.patience(c)) {
				break // those behind came later
			}
			p.starved[c] = p.starved[c][1:]
			s.job.starving = false
			if p.reserveFor(s.job) {
				return
			}
		}
	}
}

// reserveFor searches for workers to drain if the job's turn has come, and
// reports whether it has. The job goes back into the line while it waits.
func (p *Placer) reserveFor(j *job) bool {
	if j.waiting() == 0 || j.state != parked && j.state != ganged {
		return false
	}
	n := j.waiting()
	if j.Kind != modeler.Gang {
		n = min(n, reservedTasks)
	}
	due := j.isStuck && p.now >= j.stuck.Add(p.patience(j.class))
	if !due || !p.couldHold(j, n) || !j.Size.Times(int64(n)).Fits(j.team.left(j)) {
		p.noteStuck(j)
		return false
	}
	p.drained = p.now
	p.startReservation(j, n)
	return true
}

func (p *Placer) patience(c class) time.Duration {
	if c == urgent {
		return 0
	}
	return p.settings.Patience
}

// startReservation takes the reservation for the job, if the job fits once
// everything but services has left the workers it would drain.
func (p *Placer) startReservation(j *job, n int) {
	other := p.held
	if other != nil {
		other.clearMarks(p)
	}
	marks := p.drainable(j, n, drainLooked)
	if other != nil {
		other.setMarks(p)
	}
	if marks == nil {
		j.stuck = p.now
		p.noteStuck(j)
		return
	}
	if other != nil {
		p.endReservation(true)
	}
	j.expiry = min(max(2*j.expiry, p.settings.Reservation), maxExpiry)
	p.held = &reservation{
		job:      j,
		tasks:    n,
		marks:    marks,
		deadline: p.now.Add(j.expiry),
		press:    p.now.Add(j.expiry / 4),
		choose:   p.now.Add(choosePause),
	}
	if j.class == urgent {
		p.held.press = p.now
	}
	j.reserving = true
	j.team.held = j.Size.Times(int64(n))
	j.parking().lift(j)
	p.held.setMarks(p)
}

func (h *reservation) setMarks(p *Placer) {
	for _, m := range h.marks {
		p.setMark(m)
	}
}

func (h *reservation) clearMarks(p *Placer) {
	for _, m := range h.marks {
		p.clearMark(m)
	}
}

// drainable chooses the workers from which the least has to leave, of at least
// the given number of workers. It returns nil if the job doesn't fit even when
// everything but services has left the whole cell.
func (p *Placer) drainable(j *job, n, looked int) []*earmark {
	var counts [drainSteps]int
	p.drains = p.drains[:0]
	if looked >= len(p.list) {
		p.drainTurn = -1 // all in one order, so that a choice changes little
	}
	for i, held := 0, 0; i < len(p.list) && (i < looked || held < drainChoice*n); i++ {
		p.drainTurn = (p.drainTurn + 1) % len(p.list)
		w := p.list[p.drainTurn]
		if count, step := w.drainFor(j, n); count > 0 {
			held += count
			counts[step] += count
			p.drains = append(p.drains, drain{w, count, step})
		}
	}
	last, sum := 0, counts[0]
	for sum < n && last+1 < drainSteps {
		last++
		sum += counts[last]
	}
	if sum < n {
		return nil
	}
	spare := sum - n // tasks too many, to be left out of the last step
	var marks []*earmark
	for _, d := range p.drains {
		if d.step == last {
			out := min(spare, d.count)
			spare -= out
			d.count -= out
		}
		if d.count > 0 && d.step <= last {
			marks = append(marks, &earmark{job: j, worker: d.worker, count: d.count})
		}
	}
	return marks
}

// drain is a worker that may be drained, with what drainFor tells of it.
type drain struct {
	worker      *worker
	count, step int
}

// drainFor tells how many of n tasks the worker holds once all but services
// has left, and how much has to leave for that.
func (w *worker) drainFor(j *job, n int) (count, step int) {
	if w.slots[plainRoom].cell < 0 || w.earmarked != (modeler.Resources{}) {
		return 0, 0
	}
	count = min(slotsWithin(j.Size, w.Capacity.Sub(w.lasting)), n)
	if count == 0 || !j.canUse(w) {
		return 0, 0
	}
	return count, w.drainStep(j.Size.Times(int64(count)))
}

// drainStep tells how much has to leave the worker before it has the room.
// What can be checkpointed weighs less, since it leaves when it is told to.
func (w *worker) drainStep(size modeler.Resources) int {
	ending := w.part(nonNegative(size.Sub(w.room[yieldRoom])))
	leaving := w.part(nonNegative(size.Sub(w.room[plainRoom])))
	return int(3*ending+leaving) * (drainSteps - 1) / 4000
}

// part is the largest share of the worker's capacity that the size takes in
// any dimension, in thousandths.
func (w *worker) part(size modeler.Resources) uint64 {
	part := thousandths(int64(size.Processors), int64(w.Capacity.Processors))
	part = max(part, thousandths(int64(size.Memory), int64(w.Capacity.Memory)))
	return max(part, thousandths(int64(size.Accelerators), int64(w.Capacity.Accelerators)))
}

// claimReservation places the job once all its room is free.
func (p *Placer) claimReservation(c class) {
	h := p.held
	if h == nil || h.job.class != c {
		return
	}
	if h.seen != p.growths+1 && (h.satisfied() || p.ripe(h)) {
		p.redeem(h)
		return
	}
	h.seen = p.growths + 1
	if p.now >= h.choose {
		p.rechoose(h)
	}
	if !h.pressed && (p.now >= h.press || h.yields()) {
		h.pressed = true
		p.pressMarks(h)
	}
}

func (p *Placer) pressMarks(h *reservation) {
	for _, m := range h.marks {
		p.clearWay(m.worker, urgent)
	}
}

// yields reports whether only tasks that can be checkpointed are in the way.
func (h *reservation) yields() bool {
	for _, m := range h.marks {
		w := m.worker
		if w.slots[plainRoom].cell < 0 || !m.size().Fits(w.room[yieldRoom].Add(m.size())) {
			return false
		}
	}
	return true
}

// ripe reports whether the drained room and the free room elsewhere suffice
// together.
func (p *Placer) ripe(h *reservation) bool {
	if p.now < h.count {
		return false
	}
	h.count = p.now.Add(p.settings.Retry)
	count := 0
	for _, m := range h.marks {
		if m.worker.slots[plainRoom].cell >= 0 {
			count += min(m.count, slotsWithin(h.job.Size, m.worker.room[plainRoom].Add(m.size())))
		}
	}
	return count >= h.tasks || count+p.slotsFor(h.job, plainRoom, h.tasks-count) >= h.tasks
}

// rechoose replaces workers that drain slowly by others that have become freer.
// What has drained so far is kept, since the least has to leave it.
func (p *Placer) rechoose(h *reservation) {
	h.choose = p.now.Add(choosePause)
	h.clearMarks(p)
	if marks := p.drainable(h.job, h.tasks, len(p.list)); marks != nil {
		h.marks = marks
	}
	h.setMarks(p)
	if h.pressed {
		p.pressMarks(h)
	}
}

func (h *reservation) satisfied() bool {
	for _, m := range h.marks {
		if !m.satisfied() {
			return false
		}
	}
	return true
}

// redeem places the reserved tasks on the workers that were drained for them.
func (p *Placer) redeem(h *reservation) {
	j := h.job
	n := min(h.tasks, j.waiting())
	p.dropReservation(h)
	j.expiry = 0
	if j.Kind == modeler.Gang {
		n = j.waiting()
		if !j.need().Fits(j.team.left(j)) || p.slotsFor(j, plainRoom, n) < n {
			p.resume(j)
			return
		}
	}
	p.fill(h, n)
	p.resume(j)
}

func (p *Placer) fill(h *reservation, n int) {
	j := h.job
	for _, m := range h.marks {
		for range m.count {
			if n == 0 || !j.Size.Fits(m.worker.room[plainRoom]) || !j.Size.Fits(j.team.left(j)) {
				break
			}
			p.place(j, m.worker, plainRoom)
			n--
		}
	}
	for ; n > 0 && j.Kind == modeler.Gang; n-- {
		p.place(j, p.search(j, plainRoom), plainRoom)
	}
}

// dropReservation frees what the reservation holds.
func (p *Placer) dropReservation(h *reservation) {
	h.clearMarks(p)
	h.job.team.held = modeler.Resources{}
	h.job.reserving = false
	p.held = nil
	p.unblock(h.job.team)
}

// endReservation ends the reservation without a placement.
func (p *Placer) endReservation(again bool) {
	h := p.held
	p.dropReservation(h)
	for _, m := range h.marks {
		if h.pressed {
			m.worker.resumeVictims()
		}
	}
	if again {
		h.job.stuck = p.now
		p.resume(h.job)
	}
}

// resume puts a job that had the reservation back where it waits. Workers whose
// room grew meanwhile were not compared with it, so it is searched for anew.
func (p *Placer) resume(j *job) {
	if j.waiting() == 0 {
		j.state = idle
		j.parking().leave(j)
		return
	}
	if j.Kind == modeler.Gang {
		p.noteStuck(j)
		return
	}
	p.enqueue(j)
}

func (p *Placer) expireReservation() {
	h := p.held
	if h == nil {
		return
	}
	if p.now >= h.deadline || h.job.waiting() == 0 || p.lostMark(h) {
		p.endReservation(true)
	}
}

// lostMark reports whether a worker of the reservation can no longer be used.
func (p *Placer) lostMark(h *reservation) bool {
	for _, m := range h.marks {
		if m.worker.slots[plainRoom].cell < 0 || !h.job.canUse(m.worker) {
			return true
		}
	}
	return false
}
