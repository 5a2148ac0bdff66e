package allocator

import (
	"maps"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// backlogInterval is the shortest time between a grant to a busy entry host and
// an unasked one that tells it of longer waits on other entry hosts.
const backlogInterval = 5 * time.Millisecond

// boundInterval is the same for an unasked grant that bounds a team or caller.
const boundInterval = 2 * time.Millisecond

// sessionDemand is a session's demand for a service during one round of
// lending.
type sessionDemand struct {
	session *session
	service modeler.ServiceName
	demand  *demand
}

// lend gives free slots to waiting requests, then has entry hosts return slots
// for the requests that found none, then lends spare slots.
func (a *Allocator) lend() {
	a.countTeamUse()
	waitingDemands, spares := a.waitingDemands()
	a.updateCallerShares(waitingDemands)
	waitingDemands = a.lendWaiting(waitingDemands)
	a.unmetServices = a.unmetServices[:0]
	if len(waitingDemands) > 0 && a.hasWorkerReports() {
		a.planTeamTransfers(waitingDemands)
		a.updateCallerShares(waitingDemands)
		a.recall(waitingDemands)
		a.notifyBoundedSessions()
	}
	a.lendSpare(spares)
}

func (a *Allocator) waitingDemands() (waiting, spare []sessionDemand) {
	for _, s := range a.sessionOrder {
		if !a.canServe(s) {
			continue
		}
		for _, name := range s.services {
			d := s.demands[name]
			if d.stalled(a.now) {
				continue
			}
			if d.shortfall() > 0 {
				waiting = append(waiting, sessionDemand{s, name, d})
			} else if d.expectedIdle() < d.spare && !s.leaving {
				spare = append(spare, sessionDemand{s, name, d})
			}
		}
	}
	return waiting, spare
}

// precedes reports whether the demand is served before the other: first the
// team with fewer slots for its weight, then the longest wait.
func (d sessionDemand) precedes(other sessionDemand, now modeler.ClockReading) bool {
	x, y := d.demand.share, other.demand.share
	if x.usesLessThan(y) || y.usesLessThan(x) {
		return x.usesLessThan(y)
	}
	return d.demand.estimatedWait(now) > other.demand.estimatedWait(now)
}

// lendWaiting lends slots to waiting requests, in the order of precedes, and
// returns the demands that got too few.
func (a *Allocator) lendWaiting(demands []sessionDemand) []sessionDemand {
	var unmet []sessionDemand
	for len(demands) > 0 {
		first := 0
		for i := range demands {
			if demands[i].precedes(demands[first], a.now) {
				first = i
			}
		}
		first = a.preferEntitled(demands, first)
		d := demands[first]
		if !a.lendOne(d) {
			unmet = append(unmet, d)
			demands = slices.Delete(demands, first, first+1)
			continue
		}
		d.demand.share.countLent(d.session)
		if d.demand.shortfall() == 0 || d.demand.stalled(a.now) {
			demands = slices.Delete(demands, first, first+1)
		}
	}
	return unmet
}

// lendSpare raises the idle slots of entry hosts to their spare count, starting
// with the lowest ratio of idle to spare. It stops when a service has no more
// than one free slot per live session left, which are kept for sudden demand.
func (a *Allocator) lendSpare(demands []sessionDemand) {
	for len(demands) > 0 {
		lowest := 0
		for i := range demands {
			if demands[i].demand.expectedIdle()*demands[lowest].demand.spare < demands[lowest].demand.expectedIdle()*demands[i].demand.spare {
				lowest = i
			}
		}
		d := demands[lowest]
		if a.pools[d.service].freeSlots() <= a.sharingSessions || !a.lendOne(d) || d.demand.expectedIdle() >= d.demand.spare || d.demand.stalled(a.now) {
			demands = slices.Delete(demands, lowest, lowest+1)
		}
	}
}

// lendOne lends the session a slot of the worker with the most free slots. It
// reports false if no worker of the service has a slot that the session can
// hold.
func (a *Allocator) lendOne(d sessionDemand) bool {
	best := a.pools[d.service].mostFree(func(w *worker) bool { return a.canHold(d.session, w) })
	if best == nil {
		return false
	}
	h := d.session.holds[best.id]
	if h == nil {
		h = a.newHold(d.session, best)
	}
	a.offerConnections(h)
	h.granted++
	h.setTaken(h.taken + 1)
	h.markChanged()
	d.demand.unconfirmedSlots = append(d.demand.unconfirmedSlots, unconfirmedSlots{d.session.round + 1, 1, a.now})
	return true
}

// canHold reports whether the session can hold one more slot of the worker: the
// entry host doesn't exclude the worker, and a connection is available for the
// slot.
func (a *Allocator) canHold(s *session, w *worker) bool {
	h := s.holds[w.id]
	if h == nil {
		return a.connectionsLeft(w) > 0
	}
	if h.excluded {
		return false
	}
	return h.taken < h.offeredConnections || (h.taken < a.connectionShare(w) && a.connectionsLeft(w) > 0)
}

func (a *Allocator) connectionsLeft(w *worker) int {
	return w.connections - a.options.ReservedConnections - w.committedConnections - w.unknownSlots
}

// connectionShare returns an entry host's equal share of the worker's
// connections, at least 1.
func (a *Allocator) connectionShare(w *worker) int {
	return max(1, (w.connections-a.options.ReservedConnections)/a.sharingSessions)
}

// offerConnections raises the session's connection bound towards its share as
// far as the bounds of the other sessions allow.
func (a *Allocator) offerConnections(h *hold) {
	share := a.connectionShare(h.worker)
	if h.offeredConnections >= share {
		return
	}
	room := max(0, a.connectionsLeft(h.worker))
	h.offeredConnections = max(h.offeredConnections, min(share, h.reservedConnections+room))
	h.reserveConnections(max(h.reservedConnections, h.offeredConnections))
}

// lowerConnections lowers the bound of entry hosts with more than their share
// of the worker's connections. The difference counts as free once they have
// applied the lower bound.
func (a *Allocator) lowerConnections(w *worker) {
	share := a.connectionShare(w)
	for _, h := range w.holds {
		bound := max(share, h.taken)
		if h.session.live && h.offeredConnections > bound {
			h.offeredConnections = bound
			h.markChanged()
		}
	}
}

// recall recalls idle slots of the services with unmet demand from the sessions
// with the most idle slots, and tells busy sessions of longer waits on other
// entry hosts.
func (a *Allocator) recall(demands []sessionDemand) {
	shortfalls := map[modeler.ServiceName]int{}
	for _, d := range demands {
		shortfalls[d.service] += d.demand.shortfall()
	}
	for _, name := range slices.Sorted(maps.Keys(shortfalls)) {
		a.unmetServices = append(a.unmetServices, name)
		a.recallIdle(name, shortfalls[name]-a.pendingRecalls(name))
		a.notifyBacklog(name)
	}
}

func (a *Allocator) pendingRecalls(name modeler.ServiceName) int {
	sum := 0
	for _, s := range a.sessionOrder {
		if d := s.demands[name]; d != nil {
			sum += totalSlots(d.recalls)
		}
	}
	return sum
}

func (a *Allocator) recallIdle(name modeler.ServiceName, count int) {
	for ; count > 0; count-- {
		var mostIdle *session
		for _, s := range a.sessionOrder {
			d := s.demands[name]
			if !a.canServe(s) || d == nil || d.shortfall() > 0 || d.expectedIdle() < 1 {
				continue
			}
			if mostIdle == nil || d.expectedIdle() > mostIdle.demands[name].expectedIdle() {
				mostIdle = s
			}
		}
		if mostIdle == nil {
			return
		}
		d := mostIdle.demands[name]
		d.recalls = append(d.recalls, unconfirmedSlots{mostIdle.round + 1, 1, a.now})
		mostIdle.grantDue = true
	}
}

// notifyBacklog schedules grants to the sessions whose own requests for the
// service have waited less than the longest wait elsewhere, by more than
// Options.WaitMargin.
func (a *Allocator) notifyBacklog(name modeler.ServiceName) {
	for _, s := range a.sessionOrder {
		d := s.demands[name]
		if d == nil || s.grantDue || a.now < s.lastGrantAt.Add(backlogInterval) {
			continue
		}
		own := time.Duration(0)
		if d.shortfall() > 0 {
			own = d.estimatedWait(a.now)
		}
		oldest, _ := a.backlogElsewhere(s, name)
		if oldest > own+a.options.WaitMargin {
			s.grantDue = true
		}
	}
}

// backlogElsewhere returns the longest wait and the number of the requests
// without a slot on other entry hosts. While slots are being transferred
// between callers, only requests of callers that are to receive slots count.
func (a *Allocator) backlogElsewhere(s *session, name modeler.ServiceName) (time.Duration, int) {
	oldest, waiting := time.Duration(0), 0
	cs := a.callersByService[name]
	for _, other := range a.sessionOrder {
		d := other.demands[name]
		if cs != nil && cs.hasTransfers && other != s && d != nil && a.canServe(other) && !d.stalled(a.now) {
			if n := cs.entitledWaiting(d); n > 0 {
				oldest = max(oldest, d.estimatedWait(a.now))
				waiting += n
			}
			continue
		}
		if other == s || d == nil || d.shortfall() == 0 || d.stalled(a.now) || !a.canServe(other) {
			continue
		}
		oldest = max(oldest, d.estimatedWait(a.now))
		waiting += d.shortfall()
	}
	return oldest, waiting
}

// grant adds the session's next grant to the output: it renews the session and
// carries all changes since the last round that the entry host has applied.
func (a *Allocator) grant(s *session) {
	s.grantDue = false
	s.round++
	s.lastGrantAt = a.now
	grant := &modeler.Grant{
		Term: a.term, Clock: s.clock, Lifetime: a.options.Lifetime, Version: a.version,
		Session: s.beganAt, Round: s.round,
	}
	for _, h := range s.changed {
		grant.Slots = append(grant.Slots, h.slotGrant())
	}
	// Before lending is possible, returned slots would stay unused, so the
	// grant asks for none.
	if a.canLend && a.hasWorkerReports() {
		grant.Shares = a.teamShares(s)
		for _, name := range a.backlogServices(s) {
			grant.Callers = append(grant.Callers, a.callersByService[name].callerBounds(s, name)...)
			if backlog, ok := a.backlog(s, name, s.demands[name]); ok {
				grant.Backlogs = append(grant.Backlogs, backlog)
			}
		}
	}
	a.output.Grants = append(a.output.Grants, EntryGrant{To: s.id, Grant: grant})
}

// backlogServices returns the services for which the entry host is to be told
// the backlog elsewhere: those that it demands and, if a team or caller is
// bounded on it, all with unmet demand.
func (a *Allocator) backlogServices(s *session) []modeler.ServiceName {
	if !a.hasBounds(s) {
		return s.services
	}
	names := slices.Clone(s.services)
	for _, name := range a.unmetServices {
		if s.demands[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

func (a *Allocator) backlog(s *session, name modeler.ServiceName, d *demand) (modeler.RemoteBacklog, bool) {
	backlog := modeler.RemoteBacklog{Service: name}
	backlog.OldestWait, backlog.Waiting = a.backlogElsewhere(s, name)
	backlog.IdleOnly = backlog.Waiting > 0 && a.canTakeOnlyIdle(s, name)
	if d == nil {
		return backlog, backlog.Waiting > 0
	}
	for _, u := range d.recalls {
		if u.round == s.round {
			backlog.Recall += u.count
		}
	}
	return backlog, backlog.Waiting > 0 || backlog.Recall > 0
}

func (h *hold) slotGrant() modeler.SlotGrant {
	w := h.worker
	return modeler.SlotGrant{
		Worker: w.id, Generation: w.generation, Granted: h.granted, Address: w.address,
		Services: w.services, IdleTimeout: w.idleTimeout, Connections: h.offeredConnections, Revoked: w.revoked,
	}
}
