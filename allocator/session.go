package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// session is the leader's state of one session of an entry process.
type session struct {
	id           modeler.EntrySession
	label        string               // identifies the session in workers' heartbeats
	beganAt      modeler.ClockReading // on the entry host's clock
	clock        modeler.ClockReading // newest reading of the entry host's clock
	receivedAt   modeler.ClockReading // when clock was received, on the leader's clock
	live         bool
	endedAt      modeler.ClockReading
	detached     bool // the link has closed since the last renewal
	endProposed  bool // EndSession is proposed; the process must register again
	leaving      bool
	version      modeler.Index
	round        uint64 // number of the last grant
	appliedRound uint64 // newest round that the entry host has applied
	grantDue     bool   // a grant is to be sent
	holds        map[modeler.WorkerID]*hold
	demands      map[modeler.ServiceName]*demand
	services     []modeler.ServiceName // keys of demands in the order reported
	changed      []*hold               // holds with changes after appliedRound
	lastGrantAt  modeler.ClockReading
	index        int // index in sessionOrder
}

// hold counts the slots and connections of one worker that are lent to one
// session.
type hold struct {
	session  *session
	worker   *worker
	granted  uint64
	returned uint64
	taken    int // granted minus returned while the session is live
	// reservedConnections is at least the connection bound in force on the
	// entry host; offeredConnections is the bound last sent.
	reservedConnections int
	offeredConnections  int
	changedRound        uint64 // first round that carries the newest change
	changed             bool   // is in the session's list of changed holds
	excluded            bool
}

// demand is one session's demand for slots of one service.
type demand struct {
	waiting          int
	oldestWait       time.Duration
	idle             int
	spare            int
	running          int
	share            *share // of the service's team in this round of lending
	callers          []modeler.CallerUse
	unnamedCallers   int
	receivedAt       modeler.ClockReading
	unconfirmedSlots []unconfirmedSlots
	recalls          []unconfirmedSlots
}

// unconfirmedSlots counts slots lent or recalled by a grant that the entry host
// hasn't confirmed yet.
type unconfirmedSlots struct {
	round  uint64
	count  int
	sentAt modeler.ClockReading
}

const (
	// maxConfirmDelay and maxUnconfirmedSlots bound the slots lent to an entry
	// host that has paused or died with waiting requests: without them it
	// collected nearly all slots of the cell until its session ended. A round
	// trip takes a few milliseconds and carries fewer slots than the bound.
	maxConfirmDelay     = 25 * time.Millisecond
	maxUnconfirmedSlots = 32
)

func dropApplied(list []unconfirmedSlots, appliedRound uint64) []unconfirmedSlots {
	kept := list[:0]
	for _, u := range list {
		if u.round > appliedRound {
			kept = append(kept, u)
		}
	}
	return kept
}

func totalSlots(list []unconfirmedSlots) int {
	sum := 0
	for _, u := range list {
		sum += u.count
	}
	return sum
}

// stalled reports whether so many slots are unconfirmed, or for so long, that
// the entry host may have paused.
func (d *demand) stalled(now modeler.ClockReading) bool {
	if len(d.unconfirmedSlots) == 0 {
		return false
	}
	return now.Sub(d.unconfirmedSlots[0].sentAt) > maxConfirmDelay || totalSlots(d.unconfirmedSlots) >= maxUnconfirmedSlots
}

// shortfall returns the number of waiting requests for which no slot has been
// sent.
func (d *demand) shortfall() int { return max(0, d.waiting-totalSlots(d.unconfirmedSlots)) }

// estimatedWait estimates the wait of the oldest request for which no slot has
// been sent, assuming evenly spaced arrivals.
func (d *demand) estimatedWait(now modeler.ClockReading) time.Duration {
	estimatedWait := d.oldestWait
	if d.waiting > 0 {
		estimatedWait = d.oldestWait * time.Duration(d.shortfall()) / time.Duration(d.waiting)
	}
	return estimatedWait + now.Sub(d.receivedAt)
}

// expectedIdle returns the idle slots that the entry host will have after it
// has applied all grants.
func (d *demand) expectedIdle() int {
	return d.idle + max(0, totalSlots(d.unconfirmedSlots)-d.waiting) - totalSlots(d.recalls)
}

func (h *hold) setTaken(taken int) {
	h.worker.heldSlots += taken - h.taken
	h.taken = taken
	h.worker.reindex()
}

func (h *hold) reserveConnections(bound int) {
	h.worker.committedConnections += bound - h.reservedConnections
	h.reservedConnections = bound
}

// markChanged includes the hold in the next grants until the entry host has
// applied the change.
func (h *hold) markChanged() {
	s := h.session
	h.changedRound = s.round + 1
	s.grantDue = true
	if !h.changed {
		h.changed = true
		s.changed = append(s.changed, h)
	}
}

func (h *hold) dropIfEmpty() {
	if h.taken <= 0 {
		h.drop()
	}
}

func (h *hold) drop() {
	h.setTaken(0)
	h.reserveConnections(0)
	delete(h.session.holds, h.worker.id)
	for i, other := range h.worker.holds {
		if other == h {
			last := len(h.worker.holds) - 1
			h.worker.holds[i] = h.worker.holds[last]
			h.worker.holds = h.worker.holds[:last]
			return
		}
	}
}

// sessionOf returns the session that the renewal belongs to, and opens it if
// the renewal is a join. It returns nil if the renewal is stale or the process
// isn't registered.
func (a *Allocator) sessionOf(renewal *modeler.SessionRenewal) *session {
	id := modeler.EntrySession{Entry: renewal.Entry, Incarnation: renewal.Incarnation}
	s := a.sessions[id]
	if s != nil && s.endProposed {
		return nil
	}
	if s != nil && s.live && s.beganAt == renewal.Session {
		return s
	}
	if !renewal.Join || (s != nil && renewal.Session <= s.beganAt) {
		return nil
	}
	if !a.registered[id] {
		a.pendingJoins[id] = renewal
		a.propose(id, modeler.RegisterEntry)
		return nil
	}
	return a.openSession(id, s, renewal)
}

// retryJoins processes the renewals that waited for the registration of their
// process.
func (a *Allocator) retryJoins() {
	for _, id := range slices.SortedFunc(maps.Keys(a.pendingJoins), compareSessions) {
		if !a.registered[id] {
			continue
		}
		renewal := a.pendingJoins[id]
		delete(a.pendingJoins, id)
		if s := a.sessionOf(renewal); s != nil {
			a.renewSession(s, renewal)
		}
	}
}

// openSession opens a session with the slots that the entry host reports. They
// replace everything that an earlier session of the same process held, since
// the report includes the requests still running.
func (a *Allocator) openSession(id modeler.EntrySession, earlier *session, renewal *modeler.SessionRenewal) *session {
	if earlier != nil {
		for _, h := range earlier.sortedHolds() {
			h.drop()
		}
	}
	s := &session{
		id: id, label: id.String(), beganAt: renewal.Session, live: true,
		holds: map[modeler.WorkerID]*hold{}, demands: map[modeler.ServiceName]*demand{},
	}
	a.sessions[id] = s
	a.updateSessionOrder()
	for i := range renewal.Slots {
		a.addInventory(s, &renewal.Slots[i])
	}
	a.removeUnjoined(id)
	return s
}

func (a *Allocator) addInventory(s *session, state *modeler.SlotState) {
	w := a.workers[state.Worker]
	if w == nil {
		w = a.newWorker(state.Worker)
	}
	h := a.newHold(s, w)
	h.granted = uint64(state.Held)
	h.setTaken(state.Held)
	h.reserveConnections(state.Connections)
	h.offeredConnections = state.Connections
	h.markChanged()
	if !w.unknownReported {
		// unknownSlots included these slots as possibly used by this session.
		w.unknownSlots = max(0, w.unknownSlots-state.Held)
	}
	w.reindex()
}

func (a *Allocator) newHold(s *session, w *worker) *hold {
	h := &hold{session: s, worker: w}
	s.holds[w.id] = h
	w.holds = append(w.holds, h)
	return h
}

// renewSession applies a renewal unless a newer one was applied before.
func (a *Allocator) renewSession(s *session, renewal *modeler.SessionRenewal) {
	if renewal.Clock <= s.clock {
		return
	}
	s.clock = renewal.Clock
	s.receivedAt = a.now
	s.detached = false
	s.version = renewal.Version
	s.leaving = renewal.Leave
	s.appliedRound = max(s.appliedRound, renewal.Round)
	s.grantDue = true
	for i := range renewal.Slots {
		a.applyReturned(s, &renewal.Slots[i])
	}
	s.confirmChanges()
	s.replaceDemands(a.now, renewal.Demands)
}

// applyReturned applies an entry host's count of returned slots of one worker.
func (a *Allocator) applyReturned(s *session, state *modeler.SlotState) {
	h := s.holds[state.Worker]
	if h == nil {
		return
	}
	h.excluded = state.Excluded
	if state.Returned <= h.returned || state.Returned > h.granted {
		return
	}
	h.returned = state.Returned
	h.setTaken(int(h.granted - h.returned))
}

// confirmChanges removes the holds whose changes the entry host has applied
// from the list of changed holds, and frees the connections that it has given
// up.
func (s *session) confirmChanges() {
	kept := s.changed[:0]
	for _, h := range s.changed {
		if h.changedRound > s.appliedRound {
			kept = append(kept, h)
			continue
		}
		h.changed = false
		h.reserveConnections(h.offeredConnections)
	}
	clear(s.changed[len(kept):])
	s.changed = kept
}

func (s *session) replaceDemands(now modeler.ClockReading, demands []modeler.SlotDemand) {
	old := s.demands
	s.demands = make(map[modeler.ServiceName]*demand, len(demands))
	s.services = s.services[:0]
	for _, reported := range demands {
		next := &demand{waiting: reported.Waiting, oldestWait: reported.OldestWait, idle: reported.Idle, spare: reported.Spare, running: reported.Running, receivedAt: now, callers: reported.Callers, unnamedCallers: reported.Others}
		if before := old[reported.Service]; before != nil {
			next.unconfirmedSlots = dropApplied(before.unconfirmedSlots, s.appliedRound)
			next.recalls = dropApplied(before.recalls, s.appliedRound)
		}
		s.demands[reported.Service] = next
		s.services = append(s.services, reported.Service)
	}
}

// expireSessions ends the sessions that have expired on their entry host's
// clock for certain, and releases the slots of ended ones.
func (a *Allocator) expireSessions() {
	for _, s := range a.sessionOrder {
		if s.live && a.now >= s.receivedAt.Add(a.maxSessionSpan()) {
			a.endSession(s)
		}
		if !s.live {
			a.releaseExpired(s)
		}
	}
}

func (a *Allocator) endSession(s *session) {
	s.live = false
	s.endedAt = a.now
	s.replaceDemands(a.now, nil)
	for _, h := range s.sortedHolds() {
		h.dropIfEmpty()
	}
	a.updateSessionOrder()
}

// releaseExpired frees the slots of an ended session on the workers where the
// request limit has passed since its end, so that no request of it can run.
func (a *Allocator) releaseExpired(s *session) {
	for _, h := range s.sortedHolds() {
		if a.now >= s.endedAt.Add(modeler.MaxLocalSpan(a.limit(h.worker))) {
			h.drop()
		}
	}
}

// proposeEnds proposes the removal of ended sessions without slots from the
// replicated state, so that the next leader doesn't wait for them.
func (a *Allocator) proposeEnds() {
	for _, s := range slices.Clone(a.sessionOrder) {
		if s.live && s.leaving && len(s.demands) == 0 && s.hasNoSlots() {
			a.endSession(s)
		}
		if !s.live && len(s.holds) == 0 {
			s.endProposed = true
			a.propose(s.id, modeler.EndSession)
		}
	}
	if a.now < a.priorSessionsEnd.Add(modeler.MaxLocalSpan(a.longestLimit())) {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(a.unjoined), compareSessions) {
		a.propose(id, modeler.EndSession)
	}
}

// sortedHolds returns the holds in order of their workers' ids, so that equal
// inputs lead to equal outputs.
func (s *session) sortedHolds() []*hold {
	return slices.SortedFunc(maps.Values(s.holds), func(x, y *hold) int {
		return cmp.Compare(x.worker.id, y.worker.id)
	})
}

func (s *session) hasNoSlots() bool {
	for _, h := range s.holds {
		if h.taken > 0 {
			return false
		}
	}
	return true
}

func (a *Allocator) longestLimit() time.Duration {
	longest := a.options.RequestLimit
	for _, limit := range a.limits {
		longest = max(longest, limit)
	}
	return longest
}

func (a *Allocator) propose(id modeler.EntrySession, kind modeler.CommandKind) {
	key := proposal{id, kind}
	if at, ok := a.proposedAt[key]; ok && a.now < at.Add(proposalRetryDelay) {
		return
	}
	a.proposedAt[key] = a.now
	a.output.Commands = append(a.output.Commands, modeler.Command{Kind: kind, Session: &id})
}

// proposal identifies a proposed command by its session and kind.
type proposal struct {
	session modeler.EntrySession
	kind    modeler.CommandKind
}

// updateSessionOrder recomputes sessionOrder and sharingSessions after a change
// of the set of sessions, and lowers connection bounds if more sessions share
// the workers.
func (a *Allocator) updateSessionOrder() {
	a.sessionOrder = slices.SortedFunc(maps.Values(a.sessions), func(x, y *session) int {
		return compareSessions(x.id, y.id)
	})
	live := 0
	for _, s := range a.sessionOrder {
		if s.live {
			live++
		}
	}
	grown := live > a.sharingSessions
	a.sharingSessions = max(1, live)
	if !grown {
		return
	}
	for _, w := range a.workerList {
		a.lowerConnections(w)
	}
}

func compareSessions(x, y modeler.EntrySession) int {
	return cmp.Or(cmp.Compare(x.Entry, y.Entry), cmp.Compare(x.Incarnation, y.Incarnation))
}
