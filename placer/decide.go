package placer

import (
	"container/heap"

	"goldcreststack.example/goldcreststack/modeler"
)

// Decide returns about max decisions. It may exceed max, because it returns a
// gang whole and all checkpoints that make room for a job. Urgent placements
// come first; queued stops, checkpoints and throttles get half of the remaining
// decisions; other placements follow. Call it after every change and at least
// every few hundred milliseconds, because deadlines are checked only here.
func (p *Placer) Decide(now modeler.ClockReading, max int) []Decision {
	p.now = now
	p.decisions = nil
	p.expireDeadlines()
	p.claimEarmarks(max)
	p.placeJobs(urgent, max)
	p.issueOrders(len(p.decisions) + (max-len(p.decisions)+1)/2)
	p.placeJobs(normal, max)
	p.assignReservation()
	p.issueOrders(max)
	return p.decisions
}

// expireDeadlines handles everything whose time is over at p.now.
func (p *Placer) expireDeadlines() {
	p.expireUnknownStarts()
	p.expireEarmarks()
	p.expireReservation()
	p.reviewHealth()
	p.forgetWorker()
}

// placeJobs places jobs of the class: the job with the reservation, parked jobs
// and gangs first, then queued jobs by their teams' virtual times.
func (p *Placer) placeJobs(c class, max int) {
	p.claimReservation(c)
	p.wakeParked(c, max)
	p.tryGangs(c, max)
	for len(p.decisions) < max {
		_, j := p.nextTeam(c)
		if j == nil {
			return
		}
		p.tryJob(j)
	}
}

// wakeParked tries the parked jobs on the workers whose room has grown, in the
// order of their teams' virtual times.
func (p *Placer) wakeParked(c class, max int) {
	for len(p.grown[c]) > 0 && len(p.decisions) < max {
		w := p.grown[c][0]
		j := p.nextWakeable(c, w)
		if j != nil && p.tryParked(j) {
			continue
		}
		w.grown[c] = false
		p.grown[c] = p.grown[c][1:]
	}
}

// nextWakeable returns the next parked job to try on the worker, or nil if none
// fits. It takes the team with the least virtual time that has a fitting job,
// and the earliest such job of that team.
func (p *Placer) nextWakeable(c class, w *worker) *job {
	if w.slots[freeRoom].cell < 0 {
		return nil
	}
	queries := p.queries(w, c)
	if len(queries) == 0 {
		return nil
	}
	for matched := p.matchTeams(queries); len(matched) > 0; {
		first := 0
		for i := range matched {
			if p.parkedTeamBefore(matched[i], matched[first]) {
				first = i
			}
		}
		if j := p.parkedTeams[matched[first]].byClass[c].findParked(w, queries); j != nil {
			return j
		}
		matched[first] = matched[len(matched)-1]
		matched = matched[:len(matched)-1]
	}
	return nil
}

// parkedTeamBefore reports whether the first of two teams, given by their
// indexes in parkedTeams, comes before the second in the order of virtual times.
func (p *Placer) parkedTeamBefore(a, b int) bool {
	va, vb := p.parkedVirtualTimes[a], p.parkedVirtualTimes[b]
	return va < vb || va == vb && a < b
}

// findParked returns the earliest parked job that fits the worker, or nil.
func (l *classJobs) findParked(w *worker, queries []query) *job {
	var first *job
	for i := range queries {
		j := l.parked[queries[i].group].find(w, &queries[i])
		if j != nil && (first == nil || j.sequence < first.sequence) {
			first = j
		}
	}
	return first
}

// tryJob tries to place one task of the job, or the whole gang. The job is at
// the head of its team's queue; without room it is parked, and beyond its team's
// quota it is set aside or blocks the queue.
func (p *Placer) tryJob(j *job) {
	l := &j.team.byClass[j.class]
	demand := j.demand()
	if !demand.Fits(j.team.Team.Quota) {
		p.dequeue(j)
		j.state = oversize
		j.team.oversize = append(j.team.oversize, j)
		return
	}
	if !demand.Fits(j.team.remainingQuota(j)) {
		l.blockedByQuota = true
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
	p.preemptFor(j)
	if p.overruleReservation(j) {
		p.enqueue(j)
		return
	}
	p.parkJob(j)
}

// dequeue removes the job from the head of its team's queue.
func (p *Placer) dequeue(j *job) {
	l := &j.team.byClass[j.class]
	heap.Pop(&l.queue)
	j.state = idle
	l.blockedByQuota = false
}

// tryParked tries to place one task of a parked job and reports whether that
// changed anything.
func (p *Placer) tryParked(j *job) bool {
	if !j.demand().Fits(j.team.remainingQuota(j)) {
		p.enqueue(j)
		return true
	}
	if p.placeOne(j) {
		p.repark(j)
		return true
	}
	earmarked := p.preemptFor(j)
	if p.overruleReservation(j) {
		p.enqueue(j)
		return true
	}
	p.repark(j)
	return earmarked
}

// parkJob parks a job that has just found no room, and queues it for the
// reservation.
func (p *Placer) parkJob(j *job) {
	p.noteStuck(j)
	p.repark(j)
}

// repark makes wakeParked consider the job if some of its waiting tasks have no
// earmark.
func (p *Placer) repark(j *job) {
	k := j.parkedJobs()
	switch {
	case j.waiting() == 0:
		k.remove(j)
		j.state = idle
	case j.unearmarked() <= 0:
		k.hide(j)
		j.state = idle
	default:
		p.addParkedTeam(j.team)
		k.insert(j)
		j.state = parked
	}
}

// addParkedTeam adds the team to parkedTeams.
func (p *Placer) addParkedTeam(t *team) {
	if t.parkedTeamIndex >= 0 {
		return
	}
	t.parkedTeamIndex = len(p.parkedTeams)
	p.parkedTeams = append(p.parkedTeams, t)
	p.parkedVirtualTimes = append(p.parkedVirtualTimes, t.VirtualTime())
	for c := range t.byClass {
		for g := range t.byClass[c].parked {
			t.byClass[c].parked[g].attachTable(&p.leastSizes[c][g], t)
		}
	}
}

// placeOne places one task of the job and reports whether a worker had room.
func (p *Placer) placeOne(j *job) bool {
	kind := freeRoom
	w := p.findWorker(j, freeRoom)
	if w == nil && j.canReclaim() && !p.settings.NoReclaiming {
		kind = reclaimedRoom
		w = p.findWorker(j, reclaimedRoom)
	}
	if w == nil {
		return false
	}
	p.placeTask(j, w, kind)
	return true
}

// placeTask places one waiting task of the job on the worker.
func (p *Placer) placeTask(j *job, w *worker, kind roomKind) {
	t := j.takeWaitingTask()
	p.countWaiting(j, -1)
	t.attempt++
	t.generation = w.Generation
	p.assignTask(t, w, kind)
	p.chargeTeam(j, 1)
	j.isStuck = false
	p.decisions = append(p.decisions, Decision{
		Verb:      modeler.StartTask,
		Placement: t.placement(),
		Reclaimed: t.reclaimed,
	})
}
