package allocator

import (
	"maps"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// pressInterval bounds how often a busy entry host is told of longer waits
// elsewhere between its own renewals.
const pressInterval = 5 * time.Millisecond

// sharePressInterval is the same for slots that are owed to other teams.
const sharePressInterval = 2 * time.Millisecond

// asker is a session's demand for a service during one round of lending.
type asker struct {
	session *session
	service modeler.ServiceName
	want    *want
}

// lend gives free slots to the longest waiting requests, then recalls idle
// slots for those that found none, then hands out spare slots.
func (a *Allocator) lend() {
	a.takeShares()
	askers, spares := a.askers()
	a.takeCallerShares(askers)
	askers = a.lendWaiting(askers)
	a.unmet = a.unmet[:0]
	if len(askers) > 0 && a.informed() {
		a.owe(askers)
		a.takeCallerShares(askers)
		a.recall(askers)
		a.pressShares()
	}
	a.lendSpare(spares)
}

func (a *Allocator) askers() (waiting, spare []asker) {
	for _, s := range a.order {
		if !a.serves(s) {
			continue
		}
		for _, name := range s.asked {
			w := s.wants[name]
			if w.stalled(a.now) {
				continue
			}
			if w.short() > 0 {
				waiting = append(waiting, asker{s, name, w})
			} else if w.stock() < w.spare && !s.leave {
				spare = append(spare, asker{s, name, w})
			}
		}
	}
	return waiting, spare
}

// before reports whether the demand goes before the other: that of the team
// with fewer slots for its weight, and of one team the longest wait.
func (one asker) before(other asker, now modeler.ClockReading) bool {
	x, y := one.want.share, other.want.share
	if x.below(y) || y.below(x) {
		return x.below(y)
	}
	return one.want.age(now) > other.want.age(now)
}

// lendWaiting serves waiting requests in turn and returns the demand that is
// left.
func (a *Allocator) lendWaiting(askers []asker) []asker {
	var left []asker
	for len(askers) > 0 {
		oldest := 0
		for i := range askers {
			if askers[i].before(askers[oldest], a.now) {
				oldest = i
			}
		}
		oldest = a.inTurn(askers, oldest)
		one := askers[oldest]
		if !a.lendOne(one) {
			left = append(left, one)
			askers = slices.Delete(askers, oldest, oldest+1)
			continue
		}
		one.want.share.take(one.session)
		if one.want.short() == 0 || one.want.stalled(a.now) {
			askers = slices.Delete(askers, oldest, oldest+1)
		}
	}
	return left
}

// lendSpare fills up the idle stock of entry hosts, the emptiest first, as long
// as a slot per session is left for sudden demand.
func (a *Allocator) lendSpare(askers []asker) {
	for len(askers) > 0 {
		lowest := 0
		for i := range askers {
			if askers[i].want.stock()*askers[lowest].want.spare < askers[lowest].want.stock()*askers[i].want.spare {
				lowest = i
			}
		}
		one := askers[lowest]
		if a.pools[one.service].freeSlots() <= a.split || !a.lendOne(one) || one.want.stock() >= one.want.spare || one.want.stalled(a.now) {
			askers = slices.Delete(askers, lowest, lowest+1)
		}
	}
}

// lendOne lends a slot of the worker with the most free slots.
func (a *Allocator) lendOne(one asker) bool {
	best := a.pools[one.service].mostFree(func(w *worker) bool { return a.canHold(one.session, w) })
	if best == nil {
		return false
	}
	h := one.session.holds[best.id]
	if h == nil {
		h = a.newHold(one.session, best)
	}
	a.offerConnections(h)
	h.granted++
	h.setTaken(h.taken + 1)
	h.touch()
	one.want.unseen = append(one.want.unseen, unseen{one.session.round + 1, 1, a.now})
	return true
}

// canHold reports whether the session may take one more slot of the worker: it
// doesn't leave the worker out, and there is a connection for the slot.
func (a *Allocator) canHold(s *session, w *worker) bool {
	h := s.holds[w.id]
	if h == nil {
		return a.connectionsLeft(w) > 0
	}
	if h.excluded {
		return false
	}
	return h.taken < h.offered || (h.taken < a.connectionShare(w) && a.connectionsLeft(w) > 0)
}

func (a *Allocator) connectionsLeft(w *worker) int {
	return w.connections - a.options.Reserve - w.promised - w.unknown
}

// connectionShare is an entry host's part of the worker's connections.
func (a *Allocator) connectionShare(w *worker) int {
	return max(1, (w.connections-a.options.Reserve)/a.split)
}

// offerConnections raises the session's bound towards its share as far as the
// others' bounds allow.
func (a *Allocator) offerConnections(h *hold) {
	share := a.connectionShare(h.worker)
	if h.offered >= share {
		return
	}
	room := max(0, a.connectionsLeft(h.worker))
	h.offered = max(h.offered, min(share, h.connections+room))
	h.setConnections(max(h.connections, h.offered))
}

// lowerConnections has entry hosts with more than their share of the worker's
// connections give up the rest. It counts as free once they have applied it.
func (a *Allocator) lowerConnections(w *worker) {
	share := a.connectionShare(w)
	for _, h := range w.holds {
		bound := max(share, h.taken)
		if h.session.live && h.offered > bound {
			h.offered = bound
			h.touch()
		}
	}
}

// recall asks for idle slots of the services that have unmet demand, from the
// sessions with the most idle slots, and tells busy sessions of longer waits.
func (a *Allocator) recall(askers []asker) {
	shorts := map[modeler.ServiceName]int{}
	for _, one := range askers {
		shorts[one.service] += one.want.short()
	}
	for _, name := range slices.Sorted(maps.Keys(shorts)) {
		a.unmet = append(a.unmet, name)
		a.recallIdle(name, shorts[name]-a.recalling(name))
		a.press(name)
	}
}

func (a *Allocator) recalling(name modeler.ServiceName) int {
	sum := 0
	for _, s := range a.order {
		if w := s.wants[name]; w != nil {
			sum += total(w.recalled)
		}
	}
	return sum
}

func (a *Allocator) recallIdle(name modeler.ServiceName, count int) {
	for ; count > 0; count-- {
		var richest *session
		for _, s := range a.order {
			w := s.wants[name]
			if !a.serves(s) || w == nil || w.short() > 0 || w.stock() < 1 {
				continue
			}
			if richest == nil || w.stock() > richest.wants[name].stock() {
				richest = s
			}
		}
		if richest == nil {
			return
		}
		w := richest.wants[name]
		w.recalled = append(w.recalled, unseen{richest.round + 1, 1, a.now})
		richest.due = true
	}
}

// press tells the sessions whose own requests have waited less for some time.
func (a *Allocator) press(name modeler.ServiceName) {
	for _, s := range a.order {
		w := s.wants[name]
		if w == nil || s.due || a.now < s.pressed.Add(pressInterval) {
			continue
		}
		own := time.Duration(0)
		if w.short() > 0 {
			own = w.age(a.now)
		}
		oldest, _ := a.waitElsewhere(s, name)
		if oldest > own+a.options.Patience {
			s.due = true
		}
	}
}

// waitElsewhere returns the longest wait and the number of requests without a
// slot on other entry hosts; only those of callers with fewer slots than others
// count while there are any.
func (a *Allocator) waitElsewhere(s *session, name modeler.ServiceName) (time.Duration, int) {
	oldest, waiting := time.Duration(0), 0
	ps := a.callers[name]
	for _, other := range a.order {
		w := other.wants[name]
		if ps != nil && ps.moved && other != s && w != nil && a.serves(other) && !w.stalled(a.now) {
			if n := ps.entitled(w); n > 0 {
				oldest = max(oldest, w.age(a.now))
				waiting += n
			}
			continue
		}
		if other == s || w == nil || w.short() == 0 || w.stalled(a.now) || !a.serves(other) {
			continue
		}
		oldest = max(oldest, w.age(a.now))
		waiting += w.short()
	}
	return oldest, waiting
}

// grant builds the session's next grant: all that has changed since the last
// round that the entry host has applied.
func (a *Allocator) grant(s *session) {
	s.due = false
	s.round++
	s.pressed = a.now
	grant := &modeler.Grant{
		Term: a.term, Clock: s.clock, Lifetime: a.options.Lifetime, Version: a.version,
		Session: s.began, Round: s.round,
	}
	for _, h := range s.fresh {
		grant.Slots = append(grant.Slots, h.slotGrant())
	}
	// Before that, what came back couldn't be lent to anyone.
	if a.settled && a.informed() {
		grant.Shares = a.teamShares(s)
		for _, name := range a.pressing(s) {
			grant.Callers = append(grant.Callers, a.callers[name].callerBounds(s, name)...)
			if pressure, ok := a.pressure(s, name, s.wants[name]); ok {
				grant.Backlogs = append(grant.Backlogs, pressure)
			}
		}
	}
	a.output.Grants = append(a.output.Grants, EntryGrant{To: s.id, Grant: grant})
}

// pressing returns the services whose demand elsewhere concerns the entry host.
func (a *Allocator) pressing(s *session) []modeler.ServiceName {
	if !a.bounded(s) {
		return s.asked
	}
	names := slices.Clone(s.asked)
	for _, name := range a.unmet {
		if s.wants[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

func (a *Allocator) pressure(s *session, name modeler.ServiceName, w *want) (modeler.RemoteBacklog, bool) {
	pressure := modeler.RemoteBacklog{Service: name}
	pressure.OldestWait, pressure.Waiting = a.waitElsewhere(s, name)
	pressure.IdleOnly = pressure.Waiting > 0 && a.idleOnly(s, name)
	if w == nil {
		return pressure, pressure.Waiting > 0
	}
	for _, u := range w.recalled {
		if u.round == s.round {
			pressure.Recall += u.count
		}
	}
	return pressure, pressure.Waiting > 0 || pressure.Recall > 0
}

func (h *hold) slotGrant() modeler.SlotGrant {
	w := h.worker
	return modeler.SlotGrant{
		Worker: w.id, Generation: w.generation, Granted: h.granted, Address: w.address,
		Services: w.services, IdleTimeout: w.idle, Connections: h.offered, Revoked: w.revoked,
	}
}
