package router

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// Lead notes that the leader of the term can be reached. A new term gets the
// whole inventory; slots under a valid lease stay in use meanwhile.
func (r *Router) Lead(now modeler.ClockReading, term modeler.Term) {
	r.advance(now)
	if term > r.term {
		r.term = term
		r.begin(r.leased)
	}
	if term == r.term {
		r.lost = false
		r.renewBy(r.now)
	}
}

// Lost notes that the link to the leader of the term has closed. Until it can
// be reached again no slot is given back for requests elsewhere, since nobody
// would get it.
func (r *Router) Lost(now modeler.ClockReading, term modeler.Term) {
	r.advance(now)
	if term != r.term {
		return
	}
	r.lost = true
	for _, s := range r.services {
		s.press = 0
	}
}

// Grant takes in a grant. Only newer rounds of the current session and term
// count; a grant of a higher term only tells of its leader.
func (r *Router) Grant(now modeler.ClockReading, grant *modeler.Grant) {
	r.advance(now)
	if grant.Term > r.term {
		r.Lead(now, grant.Term)
		return
	}
	if grant.Term < r.term || grant.Session != r.session || grant.Round <= r.round || grant.Clock > r.sent {
		return
	}
	if !r.extend(grant) {
		return
	}
	r.lost = false
	r.round = grant.Round
	for i := range grant.Slots {
		r.takeSlots(&grant.Slots[i])
	}
	if len(grant.Slots) > 0 {
		// The leader lends no more while it waits long for a confirmation.
		r.renewBy(max(r.now, r.sent.Add(r.options.Gap)))
	}
	r.takeShares(grant.Shares)
	r.takeCallerBounds(grant.Callers)
	for _, pressure := range grant.Backlogs {
		r.takePressure(pressure)
	}
	r.marked = slices.DeleteFunc(r.marked, func(s *stock) bool { return s.changed < r.acked })
	r.dispatch()
	for _, name := range r.names {
		r.report(r.services[name])
	}
}

// extend renews the leases; it reports false if the grant's lease has already
// passed.
func (r *Router) extend(grant *modeler.Grant) bool {
	if r.now >= grant.Clock.Add(grant.Lifetime) {
		return false
	}
	if grant.Clock == r.sent && grant.Clock > r.acked {
		sample := min(r.now.Sub(grant.Clock), maxExchange)
		r.exchange += (sample - r.exchange) / 8
	}
	r.joining = false
	r.acked = max(r.acked, grant.Clock)
	r.lifetime = grant.Lifetime
	if !r.leased || grant.Clock > r.lease {
		r.lease = grant.Clock
	}
	r.leased = true
	if grant.Version > r.version {
		r.ahead, r.aheadAt = grant.Version, grant.Clock
		return true
	}
	r.confirm(grant.Clock)
	return true
}

// confirm notes that the version in force was the newest at the reading.
func (r *Router) confirm(at modeler.ClockReading) {
	if !r.sure || at > r.confirmed {
		r.confirmed = at
	}
	r.sure = true
}

func (r *Router) takeSlots(grant *modeler.SlotGrant) {
	s := r.stocks[grant.Worker]
	if s == nil {
		s = &stock{worker: grant.Worker}
		r.stocks[grant.Worker] = s
		r.order = append(r.order, s)
	}
	r.inform(s, grant)
	s.revoked = grant.Revoked
	s.granted = max(s.granted, grant.Granted)
	s.refresh()
	r.giveBackUnusable(s)
}

func (r *Router) takePressure(pressure modeler.RemoteBacklog) {
	s := r.service(pressure.Service)
	s.elsewhere = pressure.OldestWait
	s.pressedAt = r.now
	s.press = pressure.Waiting
	s.idleOnly = pressure.IdleOnly
	for range pressure.Recall {
		if s.queue.size > 0 || !r.giveBackIdle(s) {
			return
		}
		r.renewBy(r.now)
	}
}

// advance moves the clock and ends a session whose lease has passed.
func (r *Router) advance(now modeler.ClockReading) {
	r.now = max(r.now, now)
	if r.leased && r.now >= r.lease.Add(r.lifetime) {
		r.leased = false
		r.begin(false)
	}
}

// begin starts a new session. Its inventory is the requests that may still run
// and, if they are kept, the free slots.
func (r *Router) begin(keep bool) {
	r.session = max(r.now, r.session+1, r.sent+1)
	r.joining = true
	r.round = 0
	r.acked = 0
	r.marked = nil
	if !keep {
		r.lapsed = r.now
	}
	for _, s := range r.order {
		held := s.taken
		if keep {
			held = s.held()
		} else {
			s.owed = 0
			// The leader may have promised the rest to others since.
			s.connections = min(s.connections, held)
			for i := range s.lingers {
				s.lingers[i].stale = true
			}
		}
		s.granted, s.returned = uint64(held), 0
		s.refresh()
	}
	r.order = slices.DeleteFunc(r.order, r.dropEmpty)
	for _, s := range r.services {
		s.toldWaiting, s.toldIdle, s.press = 0, 0, 0
	}
	r.renewBy(r.now)
}

// dropEmpty forgets a worker without slots.
func (r *Router) dropEmpty(s *stock) bool {
	if s.granted > 0 || s.excluded != 0 {
		return false
	}
	for _, service := range s.services {
		service.drop(s)
	}
	delete(r.stocks, s.worker)
	return true
}

// leaseEnd returns when the session or the configuration lease ends.
func (r *Router) leaseEnd() modeler.ClockReading {
	if !r.leased || !r.sure {
		return 0
	}
	return min(r.lease, r.confirmed).Add(r.lifetime)
}

// serving reports whether both leases are valid.
func (r *Router) serving() bool { return r.leased && r.sure && r.now < r.leaseEnd() }

// sendEnd returns the last moment for sending to the worker. A process that
// pauses after the check finds that the worker has closed the connection
// before the lease ends.
func (r *Router) sendEnd(s *stock) modeler.ClockReading {
	return r.leaseEnd().Add(-modeler.MaxLocalSpan(orDefault(s.idle, defaultIdle)))
}

// renewBy has the next renewal sent at the given reading at the latest.
func (r *Router) renewBy(at modeler.ClockReading) { r.renewAt = min(r.renewAt, at) }

// report schedules a renewal when the leader should learn of a change before
// the next regular one.
func (r *Router) report(s *service) {
	waiting := s.queue.size
	switch {
	case waiting > 0 && s.toldWaiting == 0:
		r.renewBy(r.now)
	case waiting > s.toldWaiting, waiting == 0 && s.toldWaiting > 0:
		r.renewBy(max(r.now, r.sent.Add(r.options.Gap)))
	case waiting == 0 && s.idle < s.toldIdle && 2*s.idle < s.spare(r.now, r.exchange):
		r.renewBy(max(r.now, r.sent.Add(r.options.Gap)))
	}
}

// renewal builds the next message to the leader.
func (r *Router) renewal() *modeler.SessionRenewal {
	if !r.lost {
		r.returnExcess()
	}
	r.compact()
	r.sent = max(r.now, r.sent+1, r.session)
	r.renewAt = r.now.Add(r.options.Renewal)
	renew := &modeler.SessionRenewal{
		Entry: r.entry, Incarnation: r.incarnation, Term: r.term, Clock: r.sent, Version: r.version,
		Join: r.joining, Leave: r.draining, Session: r.session, Round: r.round,
	}
	if r.joining {
		renew.Slots = r.inventory()
	} else {
		for _, s := range r.marked {
			renew.Slots = append(renew.Slots, s.state())
		}
	}
	for _, name := range r.names {
		if want, ok := r.want(r.services[name]); ok {
			renew.Demands = append(renew.Demands, want)
		}
	}
	return renew
}

func (s *stock) state() modeler.SlotState {
	return modeler.SlotState{
		Worker: s.worker, Generation: s.generation, Returned: s.returned, Excluded: s.excluded != 0,
	}
}

// inventory returns the state of all workers at the start of the session with
// the slots returned since.
func (r *Router) inventory() []modeler.SlotState {
	states := make([]modeler.SlotState, 0, len(r.order))
	for _, s := range r.order {
		state := s.state()
		state.Held = int(s.granted)
		state.Connections = s.connections
		states = append(states, state)
	}
	return states
}

func (r *Router) want(s *service) (modeler.SlotDemand, bool) {
	want := modeler.SlotDemand{
		Service: s.name, Waiting: s.queue.size, OldestWait: s.wait(r.now), Idle: s.idle, Running: s.running,
	}
	if !r.draining && s.configured {
		want.Spare = s.spare(r.now, r.exchange)
	}
	if want.Waiting > 0 || (want.Running > 0 && s.pressedAt != 0 && r.now.Sub(s.pressedAt) <= pressureSpan) {
		want.Callers, want.Others = s.largest(r.now)
	}
	s.toldWaiting, s.toldIdle = want.Waiting, want.Idle
	return want, want.Waiting+want.Idle+want.Spare+want.Running > 0
}

// returnExcess gives back idle slots beyond what the arrivals of one exchange
// may need, those of the workers with most first, and all of them while
// draining.
func (r *Router) returnExcess() {
	for r.anyExcess() {
		var most *stock
		for _, s := range r.order {
			if s.usable > 0 && (most == nil || s.usable > most.usable) && r.excess(s) {
				most = s
			}
		}
		if most == nil {
			return
		}
		r.giveBack(most, 1)
	}
}

// anyExcess spares the look at each worker when no service has too many slots.
func (r *Router) anyExcess() bool {
	found := false
	for _, name := range r.names {
		s := r.services[name]
		s.excess = s.idle > 0 && s.queue.size == 0 && (r.draining || s.idle > s.spare(r.now, r.exchange))
		found = found || s.excess
	}
	return found
}

// excess reports whether all services of the worker have slots to spare.
func (r *Router) excess(s *stock) bool {
	for _, service := range s.services {
		if !service.excess {
			return false
		}
	}
	return true
}

// compact begins a new session when too many workers without slots have piled
// up, as counts can be dropped only between sessions.
func (r *Router) compact() {
	if r.joining || len(r.order) <= maxDead {
		return
	}
	dead := 0
	for _, s := range r.order {
		if s.revoked && s.held() == 0 {
			dead++
		}
	}
	if dead > maxDead {
		r.begin(r.leased)
	}
}
