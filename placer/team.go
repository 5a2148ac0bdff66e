package placer

import (
	"container/heap"

	"goldcreststack.example/goldcreststack/modeler"
)

// team is a team with what its jobs hold.
type team struct {
	modeler.Team
	used modeler.Resources
	// held is the quota that the drain reservation keeps for its job.
	held    modeler.Resources
	waiting int
	running int
	// virtual is the team's virtual time: it grows with each placement by
	// the share of the cell that the placement takes over the team's weight.
	virtual uint64
	// parker is the team's place in Placer.parkers, -1 if it has none.
	parker int
	parked int // jobs with a place among the parked ones
	lines  [classes]line
	// oversize are jobs larger than the quota.
	oversize []*job
}

// line holds the waiting jobs of one class.
type line struct {
	queue queue
	// blocked says that the first job of the queue exceeds the quota that is
	// left; the jobs behind it wait, so that it doesn't starve.
	blocked bool
	ready   bool // listed in Placer.ready
	parked  [parkGroups]parking
}

// SetTeam sets up or replaces a team.
func (p *Placer) SetTeam(now modeler.ClockReading, desc modeler.Team) {
	p.now = now
	t := p.teamOf(desc.Name)
	t.Team = desc
	t.Weight = max(desc.Weight, 1)
	p.requeueOversize(t)
	p.unblock(t)
}

// RemoveTeam takes the quota of a team away: its waiting jobs wait on, and its
// running tasks run on.
func (p *Placer) RemoveTeam(now modeler.ClockReading, name modeler.TeamName) {
	p.now = now
	t := p.teams[name]
	if t == nil {
		return
	}
	t.Quota = modeler.Resources{}
	if t.waiting == 0 && t.running == 0 {
		delete(p.teams, name)
	}
}

// teamOf returns the team, with no quota if it isn't set up.
func (p *Placer) teamOf(name modeler.TeamName) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{Team: modeler.Team{Name: name, Weight: 1}, parker: -1}
		p.teams[name] = t
	}
	return t
}

// left is the quota that a job of the team may still take.
func (t *team) left(j *job) modeler.Resources {
	left := t.Quota.Sub(t.used).Sub(t.held)
	if j.reserving {
		left = left.Add(t.held)
	}
	return left
}

// enqueue puts a job with waiting tasks into its team's queue.
func (p *Placer) enqueue(j *job) {
	t := j.team
	l := &t.lines[j.class]
	if t.idle() {
		p.advance(t, max(t.virtual, p.virtual))
	}
	j.parking().lift(j)
	j.state = queued
	heap.Push(&l.queue, j)
	if j == l.queue[0] {
		l.blocked = false
	}
	p.makeReady(t, j.class)
}

// idle reports whether none of the team's jobs waits in a queue or parked.
func (t *team) idle() bool {
	for c := range t.lines {
		if len(t.lines[c].queue) > 0 {
			return false
		}
	}
	return t.parked == 0
}

func (p *Placer) makeReady(t *team, c class) {
	l := &t.lines[c]
	if l.ready || l.blocked || len(l.queue) == 0 {
		return
	}
	l.ready = true
	p.ready[c] = append(p.ready[c], t)
}

// unblock lets the team's queues be tried again after its quota has grown.
func (p *Placer) unblock(t *team) {
	for c := range t.lines {
		t.lines[c].blocked = false
		p.makeReady(t, class(c))
	}
}

func (p *Placer) requeueOversize(t *team) {
	jobs := t.oversize
	t.oversize = nil
	for _, j := range jobs {
		if j.waiting() > 0 {
			p.enqueue(j)
		}
	}
}

// nextTeam returns the team with the least virtual time that has a job to try.
func (p *Placer) nextTeam(c class) (*team, *job) {
	var first *team
	var head *job
	list := p.ready[c]
	for i := 0; i < len(list); {
		t := list[i]
		l := &t.lines[c]
		j := l.queue.head()
		if l.blocked || j == nil {
			l.ready = false
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
			continue
		}
		if first == nil || t.virtual < first.virtual {
			first, head = t, j
		}
		i++
	}
	p.ready[c] = list
	return first, head
}

// charge advances the team's virtual time for n placements of the job.
func (p *Placer) charge(j *job, n int) {
	t := j.team
	p.virtual = max(p.virtual, t.virtual)
	p.advance(t, t.virtual+p.share(j.Size)*uint64(n)/uint64(max(t.Weight, 1)))
}

// advance sets the team's virtual time.
func (p *Placer) advance(t *team, virtual uint64) {
	t.virtual = virtual
	if t.parker >= 0 {
		p.virtuals[t.parker] = virtual
	}
}

// share is the largest fraction of the cell that the size takes in any
// dimension, in units of 2^-32; it is at least one so that time advances.
func (p *Placer) share(size modeler.Resources) uint64 {
	share := fraction(int64(size.Processors), int64(p.total.Processors))
	share = max(share, fraction(int64(size.Memory), int64(p.total.Memory)))
	share = max(share, fraction(int64(size.Accelerators), int64(p.total.Accelerators)))
	return share + 1<<10
}

func fraction(part, whole int64) uint64 {
	if whole <= 0 {
		return 0
	}
	return uint64(float64(part) / float64(whole) * (1 << 32))
}
