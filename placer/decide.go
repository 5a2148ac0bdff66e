package placer

import (
	"container/heap"

	"goldcreststack.example/goldcreststack/modeler"
)

// Decide gives out about max decisions: it never splits a gang, nor leaves out
// a checkpoint that makes room for a job. Urgent placements come first, then
// half of the rest is open to stops, checkpoints and throttles, then come other
// placements. It is to be called after every change and at least every few
// hundred milliseconds, since deadlines pass only here.
func (p *Placer) Decide(now modeler.ClockReading, max int) []Decision {
	p.now = now
	p.out = nil
	p.expire()
	p.claimMarks(max)
	p.serve(urgent, max)
	p.issue(len(p.out) + (max-len(p.out)+1)/2)
	p.serve(normal, max)
	p.reserve()
	p.issue(max)
	return p.out
}

func (p *Placer) expire() {
	p.expireUnknown()
	p.expireMarks()
	p.expireReservation()
	p.reviewHealth()
	p.forgetWorker()
}

func (p *Placer) serve(c class, max int) {
	p.claimReservation(c)
	p.wake(c, max)
	p.tryGangs(c, max)
	for len(p.out) < max {
		_, j := p.nextTeam(c)
		if j == nil {
			return
		}
		p.try(j)
	}
}

// wake compares the parked jobs with the workers whose room has grown; teams
// go in the order of their virtual time.
func (p *Placer) wake(c class, max int) {
	for len(p.grown[c]) > 0 && len(p.out) < max {
		w := p.grown[c][0]
		j := p.wakeable(c, w)
		if j != nil && p.tryParked(j) {
			continue
		}
		w.grown[c] = false
		p.grown[c] = p.grown[c][1:]
	}
}

// wakeable returns the parked job to try on the worker: of the team with the
// least virtual time that has one, the first to arrive.
func (p *Placer) wakeable(c class, w *worker) *job {
	if w.slots[plainRoom].cell < 0 {
		return nil
	}
	asks := p.asks(w, c)
	if len(asks) == 0 {
		return nil
	}
	for matched := p.match(asks); len(matched) > 0; {
		first := 0
		for i := range matched {
			if p.earlier(matched[i], matched[first]) {
				first = i
			}
		}
		if j := p.parkers[matched[first]].lines[c].findParked(w, asks); j != nil {
			return j
		}
		matched[first] = matched[len(matched)-1]
		matched = matched[:len(matched)-1]
	}
	return nil
}

// earlier compares the virtual times of two teams with parked jobs.
func (p *Placer) earlier(a, b int) bool {
	va, vb := p.virtuals[a], p.virtuals[b]
	return va < vb || va == vb && a < b
}

// findParked returns the first parked job that fits the worker.
func (l *line) findParked(w *worker, asks []ask) *job {
	var first *job
	for i := range asks {
		j := l.parked[asks[i].group].find(w, &asks[i])
		if j != nil && (first == nil || j.sequence < first.sequence) {
			first = j
		}
	}
	return first
}

// try makes one attempt at the job at the head of its team's queue.
func (p *Placer) try(j *job) {
	l := &j.team.lines[j.class]
	need := j.need()
	if !need.Fits(j.team.Quota) {
		p.dequeue(j)
		j.state = oversize
		j.team.oversize = append(j.team.oversize, j)
		return
	}
	if !need.Fits(j.team.left(j)) {
		l.blocked = true
		return
	}
	if j.Kind == modeler.Gang {
		p.dequeue(j)
		p.tryGang(j)
		return
	}
	if p.placeOne(j) {
		return
	}
	p.dequeue(j)
	p.preempt(j)
	if p.overrule(j) {
		p.enqueue(j)
		return
	}
	p.park(j)
}

// dequeue takes the job off the head of its team's queue.
func (p *Placer) dequeue(j *job) {
	l := &j.team.lines[j.class]
	heap.Pop(&l.queue)
	j.state = idle
	l.blocked = false
}

// tryParked makes one attempt at a parked job and reports whether anything has
// changed by it.
func (p *Placer) tryParked(j *job) bool {
	if !j.need().Fits(j.team.left(j)) {
		p.enqueue(j)
		return true
	}
	if p.placeOne(j) {
		p.repark(j)
		return true
	}
	marked := p.preempt(j)
	if p.overrule(j) {
		p.enqueue(j)
		return true
	}
	p.repark(j)
	return marked
}

func (p *Placer) park(j *job) {
	p.noteStuck(j)
	p.repark(j)
}

// repark shows the job to wake again if some of its tasks have no earmark.
func (p *Placer) repark(j *job) {
	k := j.parking()
	switch {
	case j.waiting() == 0:
		k.leave(j)
		j.state = idle
	case j.unmarked() <= 0:
		k.lift(j)
		j.state = idle
	default:
		p.addParker(j.team)
		k.park(j)
		j.state = parked
	}
}

// addParker lists the team among those with parked jobs.
func (p *Placer) addParker(t *team) {
	if t.parker >= 0 {
		return
	}
	t.parker = len(p.parkers)
	p.parkers = append(p.parkers, t)
	p.virtuals = append(p.virtuals, t.virtual)
	for c := range t.lines {
		for g := range t.lines[c].parked {
			t.lines[c].parked[g].show(&p.leasts[c][g], t)
		}
	}
}

// placeOne places one task of the job if any worker has room.
func (p *Placer) placeOne(j *job) bool {
	kind := plainRoom
	w := p.search(j, plainRoom)
	if w == nil && j.reclaims() && !p.settings.Declared {
		kind = spareRoom
		w = p.search(j, spareRoom)
	}
	if w == nil {
		return false
	}
	p.place(j, w, kind)
	return true
}

// place gives out one waiting task of the job.
func (p *Placer) place(j *job, w *worker, kind roomKind) {
	t := j.next()
	p.countWaiting(j, -1)
	t.attempt++
	t.generation = w.Generation
	p.take(t, w, kind)
	p.charge(j, 1)
	j.isStuck = false
	p.out = append(p.out, Decision{
		Verb:      modeler.StartTask,
		Placement: t.placement(),
		Reclaimed: t.reclaimed,
	})
}
