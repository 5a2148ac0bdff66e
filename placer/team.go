package placer

import (
	"container/heap"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/modeler"
)

// team is a team with its waiting jobs.
type team struct {
	// Account holds the quota, the declared sizes of the placed tasks, the part of the
	// quota that is kept for the team's job with the reservation, and the virtual time.
	accountant.Account
	waiting int // number of waiting tasks
	// parkedTeamIndex is the team's index in Placer.parkedTeams, -1 if none.
	parkedTeamIndex int
	parkedCount     int // number of jobs that have a place in any parkedJobs
	byClass         [classes]classJobs
	// oversize holds the jobs that exceed the whole quota.
	oversize []*job
}

// classJobs holds a team's waiting jobs of one class.
type classJobs struct {
	queue queue
	// blockedByQuota says that the first job of the queue exceeds the team's
	// remaining quota. The jobs behind it wait as well, so that it doesn't
	// starve.
	blockedByQuota bool
	ready          bool // listed in Placer.ready
	parked         [parkGroups]parkedJobs
}

// SetTeam adds a team or replaces its quota, weight and policy.
func (p *Placer) SetTeam(now modeler.ClockReading, desc modeler.Team) {
	p.now = now
	t := p.teamOf(desc.Name)
	t.Team = desc
	t.Team.Weight = max(desc.Weight, 1)
	p.requeueOversize(t)
	p.unblockTeam(t)
}

// RemoveTeam sets the quota of a team to zero. Its waiting jobs keep waiting and
// its running tasks keep running; a team without either is removed.
func (p *Placer) RemoveTeam(now modeler.ClockReading, name modeler.TeamName) {
	p.now = now
	t := p.teams[name]
	if t == nil {
		return
	}
	t.Team.Quota = modeler.Resources{}
	if t.waiting == 0 && t.Running() == 0 {
		delete(p.teams, name)
	}
}

// teamOf returns the team, and adds it with no quota if it is not known.
func (p *Placer) teamOf(name modeler.TeamName) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{Account: accountant.Account{Team: modeler.Team{Name: name, Weight: 1}}, parkedTeamIndex: -1}
		p.teams[name] = t
	}
	return t
}

// remainingQuota returns the quota that is left for a job of the team.
func (t *team) remainingQuota(j *job) modeler.Resources {
	return t.Remaining(j.hasReservation)
}

// enqueue adds a job with waiting tasks to its team's queue. A team that was
// idle starts at the current virtual time, so it doesn't catch up on its idle
// time.
func (p *Placer) enqueue(j *job) {
	t := j.team
	l := &t.byClass[j.class]
	if t.isIdle() {
		p.fairShare.Resume(&t.Account)
		p.publishVirtualTime(t)
	}
	j.parkedJobs().hide(j)
	j.state = queued
	heap.Push(&l.queue, j)
	if j == l.queue[0] {
		l.blockedByQuota = false
	}
	p.markReady(t, j.class)
}

// isIdle reports whether the team has no queued and no parked job.
func (t *team) isIdle() bool {
	for c := range t.byClass {
		if len(t.byClass[c].queue) > 0 {
			return false
		}
	}
	return t.parkedCount == 0
}

// markReady adds the team to the ready ones if the head of its queue can be
// tried.
func (p *Placer) markReady(t *team, c class) {
	l := &t.byClass[c]
	if l.ready || l.blockedByQuota || len(l.queue) == 0 {
		return
	}
	l.ready = true
	p.ready[c] = append(p.ready[c], t)
}

// unblockTeam lets the team's queues be tried again after its remaining quota
// has grown.
func (p *Placer) unblockTeam(t *team) {
	for c := range t.byClass {
		t.byClass[c].blockedByQuota = false
		p.markReady(t, class(c))
	}
}

// requeueOversize queues the team's oversize jobs again after its quota was set.
func (p *Placer) requeueOversize(t *team) {
	jobs := t.oversize
	t.oversize = nil
	for _, j := range jobs {
		if j.waiting() > 0 {
			p.enqueue(j)
		}
	}
}

// nextTeam returns the team with the least virtual time that has a queued job to
// try, and that job; both are nil if there is none.
func (p *Placer) nextTeam(c class) (*team, *job) {
	var first *team
	var head *job
	list := p.ready[c]
	for i := 0; i < len(list); {
		t := list[i]
		l := &t.byClass[c]
		j := l.queue.head()
		if l.blockedByQuota || j == nil {
			l.ready = false
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
			continue
		}
		if first == nil || t.VirtualTime() < first.VirtualTime() {
			first, head = t, j
		}
		i++
	}
	p.ready[c] = list
	return first, head
}

// chargeTeam increases the team's virtual time for n placements of the job.
func (p *Placer) chargeTeam(j *job, n int) {
	t := j.team
	p.fairShare.Charge(&t.Account, accountant.VirtualTime(p.cellShare(j.Size)), n)
	p.publishVirtualTime(t)
}

// publishVirtualTime stores the team's virtual time in parkedVirtualTimes.
func (p *Placer) publishVirtualTime(t *team) {
	if t.parkedTeamIndex >= 0 {
		p.parkedVirtualTimes[t.parkedTeamIndex] = t.VirtualTime()
	}
}

// cellShare returns the largest fraction of the cell that the size takes in any
// dimension, in units of 2^-32, plus a small constant so that the virtual time
// always advances.
func (p *Placer) cellShare(size modeler.Resources) uint64 {
	cellShare := fraction(int64(size.Processors), int64(p.total.Processors))
	cellShare = max(cellShare, fraction(int64(size.Memory), int64(p.total.Memory)))
	cellShare = max(cellShare, fraction(int64(size.Accelerators), int64(p.total.Accelerators)))
	return cellShare + 1<<10
}

func fraction(part, whole int64) uint64 {
	if whole <= 0 {
		return 0
	}
	return uint64(float64(part) / float64(whole) * (1 << 32))
}
