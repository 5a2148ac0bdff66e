package router

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// Lead records that the leader of the term can be reached. The leader of a new
// term is sent the whole slot inventory; slots under a valid lease stay in use
// meanwhile.
func (r *Router) Lead(now modeler.ClockReading, term modeler.Term) {
	r.advanceClock(now)
	if term > r.term {
		r.term = term
		r.beginSession(r.hasSessionLease)
	}
	if term == r.term {
		r.leaderLost = false
		r.scheduleRenewal(r.now)
	}
}

// LeaderLost records that the link to the leader of the term has closed. Until the
// leader can be reached again, no slot is returned for requests on other entry
// hosts, since it couldn't be lent to them.
func (r *Router) LeaderLost(now modeler.ClockReading, term modeler.Term) {
	r.advanceClock(now)
	if term != r.term {
		return
	}
	r.leaderLost = true
	for _, s := range r.services {
		s.slotsToYield = 0
	}
}

// Grant applies a grant. Grants of an older term, of another session or of a
// round that isn't newer are ignored; a grant of a higher term only shows that
// its leader can be reached.
func (r *Router) Grant(now modeler.ClockReading, grant *modeler.Grant) {
	r.advanceClock(now)
	if grant.Term > r.term {
		r.Lead(now, grant.Term)
		return
	}
	if grant.Term < r.term || grant.Session != r.session || grant.Round <= r.round || grant.Clock > r.renewalSentAt {
		return
	}
	if !r.extendLeases(grant) {
		return
	}
	r.leaderLost = false
	r.round = grant.Round
	for i := range grant.Slots {
		r.applySlotGrant(&grant.Slots[i])
	}
	if len(grant.Slots) > 0 {
		// Confirm the slots soon: the leader stops lending to a session whose
		// confirmation is overdue.
		r.scheduleRenewal(max(r.now, r.renewalSentAt.Add(r.options.MinRenewalGap)))
	}
	r.applyTeamShares(grant.Shares)
	r.applyCallerBounds(grant.Callers)
	for _, backlog := range grant.Backlogs {
		r.applyBacklog(backlog)
	}
	r.unconfirmed = slices.DeleteFunc(r.unconfirmed, func(s *workerSlots) bool { return s.changedAt < r.ackedClock })
	r.dispatch()
	for _, name := range r.serviceNames {
		r.reportDemand(r.services[name])
	}
}

// extendLeases extends the session lease and, if the configuration in force is
// the newest, the configuration lease. It reports false if the grant's lease
// has already expired.
func (r *Router) extendLeases(grant *modeler.Grant) bool {
	if r.now >= grant.Clock.Add(grant.Lifetime) {
		return false
	}
	if grant.Clock == r.renewalSentAt && grant.Clock > r.ackedClock {
		sample := min(r.now.Sub(grant.Clock), maxRoundTrip)
		r.roundTrip += (sample - r.roundTrip) / 8
	}
	r.joining = false
	r.ackedClock = max(r.ackedClock, grant.Clock)
	r.leaseLifetime = grant.Lifetime
	if !r.hasSessionLease || grant.Clock > r.leaseClock {
		r.leaseClock = grant.Clock
	}
	r.hasSessionLease = true
	if grant.Version > r.version {
		r.newerVersion, r.newerVersionSeenAt = grant.Version, grant.Clock
		return true
	}
	r.confirmVersion(grant.Clock)
	return true
}

// confirmVersion records that the configuration in force was the newest at the
// reading.
func (r *Router) confirmVersion(at modeler.ClockReading) {
	if !r.hasConfirmedVersion || at > r.versionConfirmedAt {
		r.versionConfirmedAt = at
	}
	r.hasConfirmedVersion = true
}

func (r *Router) applySlotGrant(grant *modeler.SlotGrant) {
	s := r.workers[grant.Worker]
	if s == nil {
		s = &workerSlots{worker: grant.Worker}
		r.workers[grant.Worker] = s
		r.workerOrder = append(r.workerOrder, s)
	}
	r.updateWorker(s, grant)
	s.revoked = grant.Revoked
	s.granted = max(s.granted, grant.Granted)
	s.updateUsable()
	r.returnUnusableSlots(s)
}

func (r *Router) applyBacklog(backlog modeler.RemoteBacklog) {
	s := r.service(backlog.Service)
	s.remoteWait = backlog.OldestWait
	s.backlogAt = r.now
	s.slotsToYield = backlog.Waiting
	s.idleOnly = backlog.IdleOnly
	for range backlog.Recall {
		if s.queue.size > 0 || !r.returnIdleSlot(s) {
			return
		}
		r.scheduleRenewal(r.now)
	}
}

// advanceClock advances the clock and begins a new session if the lease of the
// current one has expired.
func (r *Router) advanceClock(now modeler.ClockReading) {
	r.now = max(r.now, now)
	if r.hasSessionLease && r.now >= r.leaseClock.Add(r.leaseLifetime) {
		r.hasSessionLease = false
		r.beginSession(false)
	}
}

// beginSession begins a new session. Its inventory consists of the slots of
// requests that may still run and, with keepFree, of the free slots.
func (r *Router) beginSession(keepFree bool) {
	r.session = max(r.now, r.session+1, r.renewalSentAt+1)
	r.joining = true
	r.round = 0
	r.ackedClock = 0
	r.unconfirmed = nil
	if !keepFree {
		r.leaseLapsedAt = r.now
	}
	for _, s := range r.workerOrder {
		heldSlots := s.inUse
		if keepFree {
			heldSlots = s.heldSlots()
		} else {
			s.mustReturn = 0
			// The leader may have allotted the remaining connections to
			// other entry hosts by now.
			s.maxConnections = min(s.maxConnections, heldSlots)
			for i := range s.abandoned {
				s.abandoned[i].fromEndedSession = true
			}
		}
		s.granted, s.returned = uint64(heldSlots), 0
		s.updateUsable()
	}
	r.workerOrder = slices.DeleteFunc(r.workerOrder, r.removeIfEmpty)
	for _, s := range r.services {
		s.reportedWaiting, s.reportedIdle, s.slotsToYield = 0, 0, 0
	}
	r.scheduleRenewal(r.now)
}

// removeIfEmpty removes a worker that has no slots and isn't excluded, and
// reports whether it did.
func (r *Router) removeIfEmpty(s *workerSlots) bool {
	if s.granted > 0 || s.excluded != 0 {
		return false
	}
	for _, service := range s.services {
		service.removeWorker(s)
	}
	delete(r.workers, s.worker)
	return true
}

// leaseEnd returns the reading at which the first of the session lease and the
// configuration lease expires, 0 if one is missing.
func (r *Router) leaseEnd() modeler.ClockReading {
	if !r.hasSessionLease || !r.hasConfirmedVersion {
		return 0
	}
	return min(r.leaseClock, r.versionConfirmedAt).Add(r.leaseLifetime)
}

// hasValidLeases reports whether the session lease and the configuration lease
// are valid.
func (r *Router) hasValidLeases() bool {
	return r.hasSessionLease && r.hasConfirmedVersion && r.now < r.leaseEnd()
}

// sendDeadline returns the reading before which a request may be sent to the
// worker: the worker's idle timeout before the leases end. If this process
// pauses after the check, the worker closes the idle connection before the
// lease ends, so the late request isn't accepted.
func (r *Router) sendDeadline(s *workerSlots) modeler.ClockReading {
	return r.leaseEnd().Add(-modeler.MaxLocalSpan(orDefault(s.idle, defaultIdleTimeout)))
}

// scheduleRenewal schedules the next renewal for the reading at the latest.
func (r *Router) scheduleRenewal(at modeler.ClockReading) { r.renewAt = min(r.renewAt, at) }

// reportDemand schedules an early renewal if the service's demand has changed
// so much that the leader should learn of it before the next regular one.
func (r *Router) reportDemand(s *service) {
	waiting := s.queue.size
	switch {
	case waiting > 0 && s.reportedWaiting == 0:
		r.scheduleRenewal(r.now)
	case waiting > s.reportedWaiting, waiting == 0 && s.reportedWaiting > 0:
		r.scheduleRenewal(max(r.now, r.renewalSentAt.Add(r.options.MinRenewalGap)))
	case waiting == 0 && s.idle < s.reportedIdle && 2*s.idle < s.spareSlots(r.now, r.roundTrip):
		r.scheduleRenewal(max(r.now, r.renewalSentAt.Add(r.options.MinRenewalGap)))
	}
}

// buildRenewal returns the next session renewal for the leader.
func (r *Router) buildRenewal() *modeler.SessionRenewal {
	if !r.leaderLost {
		r.returnExcessSlots()
	}
	r.dropSlotlessWorkers()
	r.renewalSentAt = max(r.now, r.renewalSentAt+1, r.session)
	r.renewAt = r.now.Add(r.options.RenewalInterval)
	renewal := &modeler.SessionRenewal{
		Entry: r.entry, Incarnation: r.incarnation, Term: r.term, Clock: r.renewalSentAt, Version: r.version,
		Join: r.joining, Leave: r.draining, Session: r.session, Round: r.round,
	}
	if r.joining {
		renewal.Slots = r.inventory()
	} else {
		for _, s := range r.unconfirmed {
			renewal.Slots = append(renewal.Slots, s.slotState())
		}
	}
	for _, name := range r.serviceNames {
		if demand, ok := r.demand(r.services[name]); ok {
			renewal.Demands = append(renewal.Demands, demand)
		}
	}
	return renewal
}

func (s *workerSlots) slotState() modeler.SlotState {
	return modeler.SlotState{
		Worker: s.worker, Generation: s.generation, Returned: s.returned, Excluded: s.excluded != 0,
	}
}

// inventory returns the slots and connections held of each worker at the start
// of the session, and the slots returned since.
func (r *Router) inventory() []modeler.SlotState {
	states := make([]modeler.SlotState, 0, len(r.workerOrder))
	for _, s := range r.workerOrder {
		slotState := s.slotState()
		slotState.Held = int(s.granted)
		slotState.Connections = s.maxConnections
		states = append(states, slotState)
	}
	return states
}

func (r *Router) demand(s *service) (modeler.SlotDemand, bool) {
	demand := modeler.SlotDemand{
		Service: s.name, Waiting: s.queue.size, OldestWait: s.oldestWait(r.now), Idle: s.idle, Running: s.running,
	}
	if !r.draining && s.configured {
		demand.Spare = s.spareSlots(r.now, r.roundTrip)
	}
	if demand.Waiting > 0 || (demand.Running > 0 && s.backlogAt != 0 && r.now.Sub(s.backlogAt) <= backlogValidity) {
		demand.Callers, demand.Others = s.largestCallerUse(r.now)
	}
	s.reportedWaiting, s.reportedIdle = demand.Waiting, demand.Idle
	return demand, demand.Waiting+demand.Idle+demand.Spare+demand.Running > 0
}

// returnExcessSlots returns idle slots beyond the spare slots of their
// services, from the workers with the most first. While draining it returns
// all idle slots.
func (r *Router) returnExcessSlots() {
	for r.markExcess() {
		var fullest *workerSlots
		for _, s := range r.workerOrder {
			if s.usable > 0 && (fullest == nil || s.usable > fullest.usable) && r.hasExcess(s) {
				fullest = s
			}
		}
		if fullest == nil {
			return
		}
		r.returnSlots(fullest, 1)
	}
}

// markExcess sets hasExcess of each service and reports whether any has excess
// idle slots, so that the workers are searched only then.
func (r *Router) markExcess() bool {
	found := false
	for _, name := range r.serviceNames {
		s := r.services[name]
		s.hasExcess = s.idle > 0 && s.queue.size == 0 && (r.draining || s.idle > s.spareSlots(r.now, r.roundTrip))
		found = found || s.hasExcess
	}
	return found
}

// hasExcess reports whether all services of the worker have excess idle slots.
func (r *Router) hasExcess(s *workerSlots) bool {
	for _, service := range s.services {
		if !service.hasExcess {
			return false
		}
	}
	return true
}

// dropSlotlessWorkers begins a new session when too many revoked workers
// without slots have accumulated, since counts can be dropped only between
// sessions.
func (r *Router) dropSlotlessWorkers() {
	if r.joining || len(r.workerOrder) <= maxSlotlessWorkers {
		return
	}
	slotless := 0
	for _, s := range r.workerOrder {
		if s.revoked && s.heldSlots() == 0 {
			slotless++
		}
	}
	if slotless > maxSlotlessWorkers {
		r.beginSession(r.hasSessionLease)
	}
}
