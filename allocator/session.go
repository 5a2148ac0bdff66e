package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// session is the leader's side of one session of an entry process.
type session struct {
	id       modeler.EntrySession
	label    string               // names the session in workers' reports
	began    modeler.ClockReading // on the entry host's clock
	clock    modeler.ClockReading // newest reading received
	received modeler.ClockReading // when clock was received
	live     bool
	ended    modeler.ClockReading
	detached bool // its link has closed since the last renewal
	closing  bool // its end is proposed; it must register again
	leave    bool
	version  modeler.Index
	round    uint64 // of the last grant sent
	acked    uint64 // newest round that the entry host has applied
	due      bool   // a grant is to be sent
	holds    map[modeler.WorkerID]*hold
	wants    map[modeler.ServiceName]*want
	asked    []modeler.ServiceName // the keys of wants in order
	fresh    []*hold               // holds changed since round acked
	pressed  modeler.ClockReading
	index    int // in the order of sessions
}

// hold is the slots of one worker that one session has taken.
type hold struct {
	session  *session
	worker   *worker
	granted  uint64
	returned uint64
	taken    int // granted less returned while the session is live
	// connections is the bound in force on the entry host or a larger one;
	// offered is the bound last sent.
	connections int
	offered     int
	changed     uint64 // round that first carries the newest change
	fresh       bool   // is on the session's list of changed holds
	excluded    bool
}

// want is the demand of one session for one service.
type want struct {
	waiting  int
	oldest   time.Duration
	idle     int
	spare    int
	running  int
	share    *share // in this round of lending
	callers  []modeler.CallerUse
	others   int
	received modeler.ClockReading
	unseen   []unseen
	recalled []unseen
}

// unseen counts slots of a grant that the entry host hasn't applied yet.
type unseen struct {
	round uint64
	count int
	at    modeler.ClockReading
}

const (
	// confirmSpan and maxUnseen bound the slots lent to an entry host that has
	// paused or died with requests waiting: without them it collected nearly
	// all slots of the cell until its session ended. A round trip takes a few
	// milliseconds and brings fewer slots than that.
	confirmSpan = 25 * time.Millisecond
	maxUnseen   = 32
)

func dropSeen(list []unseen, acked uint64) []unseen {
	kept := list[:0]
	for _, u := range list {
		if u.round > acked {
			kept = append(kept, u)
		}
	}
	return kept
}

func total(list []unseen) int {
	sum := 0
	for _, u := range list {
		sum += u.count
	}
	return sum
}

// stalled reports whether the entry host has left grants unconfirmed for so
// long that it may have paused.
func (w *want) stalled(now modeler.ClockReading) bool {
	if len(w.unseen) == 0 {
		return false
	}
	return now.Sub(w.unseen[0].at) > confirmSpan || total(w.unseen) >= maxUnseen
}

// short returns the waiting requests for which no slot is under way.
func (w *want) short() int { return max(0, w.waiting-total(w.unseen)) }

// age estimates the wait of the oldest request without a slot under way, as if
// arrivals were even.
func (w *want) age(now modeler.ClockReading) time.Duration {
	age := w.oldest
	if w.waiting > 0 {
		age = w.oldest * time.Duration(w.short()) / time.Duration(w.waiting)
	}
	return age + now.Sub(w.received)
}

// stock returns the idle slots that the entry host has or will have.
func (w *want) stock() int {
	return w.idle + max(0, total(w.unseen)-w.waiting) - total(w.recalled)
}

func (h *hold) setTaken(taken int) {
	h.worker.held += taken - h.taken
	h.taken = taken
	h.worker.reindex()
}

func (h *hold) setConnections(bound int) {
	h.worker.promised += bound - h.connections
	h.connections = bound
}

// touch has the newest state of the hold sent with the next grant.
func (h *hold) touch() {
	s := h.session
	h.changed = s.round + 1
	s.due = true
	if !h.fresh {
		h.fresh = true
		s.fresh = append(s.fresh, h)
	}
}

func (h *hold) dropIfEmpty() {
	if h.taken <= 0 {
		h.drop()
	}
}

func (h *hold) drop() {
	h.setTaken(0)
	h.setConnections(0)
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

// sessionOf returns the session that the message belongs to, opened if the
// message joins; nil if the message is to be ignored.
func (a *Allocator) sessionOf(renew *modeler.SessionRenewal) *session {
	id := modeler.EntrySession{Entry: renew.Entry, Incarnation: renew.Incarnation}
	s := a.sessions[id]
	if s != nil && s.closing {
		return nil
	}
	if s != nil && s.live && s.began == renew.Session {
		return s
	}
	if !renew.Join || (s != nil && renew.Session <= s.began) {
		return nil
	}
	if !a.known[id] {
		a.joins[id] = renew
		a.propose(id, modeler.RegisterEntry)
		return nil
	}
	return a.join(id, s, renew)
}

// openJoins takes up the messages that had to wait for their registration.
func (a *Allocator) openJoins() {
	for _, id := range slices.SortedFunc(maps.Keys(a.joins), compareSessions) {
		if !a.known[id] {
			continue
		}
		renew := a.joins[id]
		delete(a.joins, id)
		if s := a.sessionOf(renew); s != nil {
			a.renewSession(s, renew)
		}
	}
}

// join opens a session with the inventory that the entry host reports. It
// replaces everything that an earlier session of the same process held, since
// the inventory includes the requests still running.
func (a *Allocator) join(id modeler.EntrySession, earlier *session, renew *modeler.SessionRenewal) *session {
	if earlier != nil {
		for _, h := range earlier.sortedHolds() {
			h.drop()
		}
	}
	s := &session{
		id: id, label: id.String(), began: renew.Session, live: true,
		holds: map[modeler.WorkerID]*hold{}, wants: map[modeler.ServiceName]*want{},
	}
	a.sessions[id] = s
	a.sortSessions()
	for i := range renew.Slots {
		a.joinHold(s, &renew.Slots[i])
	}
	a.joined(id)
	return s
}

func (a *Allocator) joinHold(s *session, state *modeler.SlotState) {
	w := a.workers[state.Worker]
	if w == nil {
		w = a.newWorker(state.Worker)
	}
	h := a.newHold(s, w)
	h.granted = uint64(state.Held)
	h.setTaken(state.Held)
	h.setConnections(state.Connections)
	h.offered = state.Connections
	h.touch()
	if !w.counted {
		// These slots were counted as possibly used by this session.
		w.unknown = max(0, w.unknown-state.Held)
	}
	w.reindex()
}

func (a *Allocator) newHold(s *session, w *worker) *hold {
	h := &hold{session: s, worker: w}
	s.holds[w.id] = h
	w.holds = append(w.holds, h)
	return h
}

// renewSession takes over a renewal's counts unless a newer one came before.
func (a *Allocator) renewSession(s *session, renew *modeler.SessionRenewal) {
	if renew.Clock <= s.clock {
		return
	}
	s.clock = renew.Clock
	s.received = a.now
	s.detached = false
	s.version = renew.Version
	s.leave = renew.Leave
	s.acked = max(s.acked, renew.Round)
	s.due = true
	for i := range renew.Slots {
		a.takeBack(s, &renew.Slots[i])
	}
	s.settleRounds()
	s.takeWants(a.now, renew.Demands)
}

// takeBack applies an entry host's count of returned slots.
func (a *Allocator) takeBack(s *session, state *modeler.SlotState) {
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

// settleRounds drops what the entry host has applied from the list of changes
// and frees the connections that it has given up.
func (s *session) settleRounds() {
	kept := s.fresh[:0]
	for _, h := range s.fresh {
		if h.changed > s.acked {
			kept = append(kept, h)
			continue
		}
		h.fresh = false
		h.setConnections(h.offered)
	}
	clear(s.fresh[len(kept):])
	s.fresh = kept
}

func (s *session) takeWants(now modeler.ClockReading, wants []modeler.SlotDemand) {
	old := s.wants
	s.wants = make(map[modeler.ServiceName]*want, len(wants))
	s.asked = s.asked[:0]
	for _, w := range wants {
		next := &want{waiting: w.Waiting, oldest: w.OldestWait, idle: w.Idle, spare: w.Spare, running: w.Running, received: now, callers: w.Callers, others: w.Others}
		if before := old[w.Service]; before != nil {
			next.unseen = dropSeen(before.unseen, s.acked)
			next.recalled = dropSeen(before.recalled, s.acked)
		}
		s.wants[w.Service] = next
		s.asked = append(s.asked, w.Service)
	}
}

// expireSessions ends the sessions that their entry hosts can't consider valid
// any more.
func (a *Allocator) expireSessions() {
	for _, s := range a.order {
		if s.live && a.now >= s.received.Add(a.sessionSpan()) {
			a.end(s)
		}
		if !s.live {
			a.release(s)
		}
	}
}

func (a *Allocator) end(s *session) {
	s.live = false
	s.ended = a.now
	s.takeWants(a.now, nil)
	for _, h := range s.sortedHolds() {
		h.dropIfEmpty()
	}
	a.sortSessions()
}

// release frees the slots of an ended session once no request of it can run.
func (a *Allocator) release(s *session) {
	for _, h := range s.sortedHolds() {
		if a.now >= s.ended.Add(modeler.MaxLocalSpan(a.limit(h.worker))) {
			h.drop()
		}
	}
}

// proposeEnds has ended sessions without slots removed from the replicated
// state, so the next leader doesn't wait for them.
func (a *Allocator) proposeEnds() {
	for _, s := range slices.Clone(a.order) {
		if s.live && s.leave && len(s.wants) == 0 && s.empty() {
			a.end(s)
		}
		if !s.live && len(s.holds) == 0 {
			s.closing = true
			a.propose(s.id, modeler.EndSession)
		}
	}
	if a.now < a.quiet.Add(modeler.MaxLocalSpan(a.longestLimit())) {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(a.pending), compareSessions) {
		a.propose(id, modeler.EndSession)
	}
}

// sortedHolds returns the holds in a fixed order, so equal inputs lead to equal
// outputs.
func (s *session) sortedHolds() []*hold {
	return slices.SortedFunc(maps.Values(s.holds), func(x, y *hold) int {
		return cmp.Compare(x.worker.id, y.worker.id)
	})
}

func (s *session) empty() bool {
	for _, h := range s.holds {
		if h.taken > 0 {
			return false
		}
	}
	return true
}

func (a *Allocator) longestLimit() time.Duration {
	longest := a.options.Limit
	for _, limit := range a.limits {
		longest = max(longest, limit)
	}
	return longest
}

func (a *Allocator) propose(id modeler.EntrySession, kind modeler.CommandKind) {
	key := proposal{id, kind}
	if at, ok := a.proposed[key]; ok && a.now < at.Add(repeatCommand) {
		return
	}
	a.proposed[key] = a.now
	a.output.Commands = append(a.output.Commands, modeler.Command{Kind: kind, Session: &id})
}

// proposal identifies a command about a session.
type proposal struct {
	id   modeler.EntrySession
	kind modeler.CommandKind
}

// sortSessions rebuilds what depends on the set of sessions, and has entry
// hosts lower their connection bounds when more of them share the workers.
func (a *Allocator) sortSessions() {
	a.order = slices.SortedFunc(maps.Values(a.sessions), func(x, y *session) int {
		return compareSessions(x.id, y.id)
	})
	live := 0
	for _, s := range a.order {
		if s.live {
			live++
		}
	}
	grown := live > a.split
	a.split = max(1, live)
	if !grown {
		return
	}
	for _, w := range a.roster {
		a.lowerConnections(w)
	}
}

func compareSessions(x, y modeler.EntrySession) int {
	return cmp.Or(cmp.Compare(x.Entry, y.Entry), cmp.Compare(x.Incarnation, y.Incarnation))
}
