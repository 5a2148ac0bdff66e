package allocator

import (
	"math"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// callerShare is a caller's use of a service's slots during one round of
// lending, or the use of all callers that entry hosts don't name.
type callerShare struct {
	caller        modeler.CallerHash
	isNamed       bool
	weight        int // number of callers; 1 if named
	used          int
	target        int // used plus the slots to receive, or less those to give up
	shortfall     int // waiting requests for which no slot has been sent
	usedBySession []int
	bounds        []int // by index of the session; -1 without a bound
}

// callerShares are the callers that compete for a service's slots.
type callerShares struct {
	list     []*callerShare
	byCaller map[modeler.CallerHash]*callerShare
	unnamed  *callerShare
	// hasTransfers is set if a caller is to give up slots to another.
	hasTransfers bool
}

// planCallerTransfers decides how many of a service's slots each caller is to
// give up for callers with fewer. It returns nil if fewer than two callers have
// requests.
func (a *Allocator) planCallerTransfers(name modeler.ServiceName) *callerShares {
	cs := &callerShares{byCaller: map[modeler.CallerHash]*callerShare{}}
	for _, s := range a.sessionOrder {
		if d := s.demands[name]; d != nil && s.live && len(d.callers) > 0 {
			cs.addDemand(s, d, len(a.sessionOrder))
		}
	}
	if len(cs.list) < 2 {
		return nil
	}
	for range maxTransfersPerRound {
		if !cs.transferOne() {
			break
		}
		cs.hasTransfers = true
	}
	for _, sh := range cs.list {
		if sh.target < sh.used {
			sh.bounds = spreadTransfer(sh.used-sh.target, sh.used, sh.usedBySession)
		}
	}
	return cs
}

// addDemand adds the callers' requests that one entry host reports.
func (cs *callerShares) addDemand(s *session, d *demand, sessions int) {
	pendingSlots := totalSlots(d.unconfirmedSlots)
	running, waiting := d.running, d.waiting
	for _, c := range d.callers {
		sh := cs.byCaller[c.Caller]
		if sh == nil {
			sh = &callerShare{caller: c.Caller, isNamed: true, weight: 1, usedBySession: make([]int, sessions)}
			cs.byCaller[c.Caller] = sh
			cs.list = append(cs.list, sh)
		}
		sh.addUse(s, c.Running, max(0, c.Waiting-pendingSlots))
		running -= c.Running
		waiting -= c.Waiting
	}
	if running+waiting <= 0 {
		return
	}
	if cs.unnamed == nil {
		cs.unnamed = &callerShare{usedBySession: make([]int, sessions)}
		cs.list = append(cs.list, cs.unnamed)
	}
	cs.unnamed.weight += max(1, d.unnamedCallers)
	cs.unnamed.addUse(s, max(0, running), max(0, waiting-pendingSlots))
}

func (sh *callerShare) addUse(s *session, running, shortfall int) {
	sh.used += running
	sh.target += running
	sh.usedBySession[s.index] += running
	sh.shortfall += shortfall
}

func (cs *callerShares) transferOne() bool {
	var low, high *callerShare
	for _, sh := range cs.list {
		if sh.shortfall > 0 && (low == nil || sh.target*low.weight < low.target*sh.weight) {
			low = sh
		}
		if sh.isNamed && (high == nil || sh.target*high.weight > high.target*sh.weight) {
			high = sh
		}
	}
	if low == nil || high == nil || low == high || high.target-1 < minCallerSlots || (high.target-1)*low.weight < low.target+1 {
		return false
	}
	high.target--
	low.target++
	low.shortfall--
	return true
}

// minCallerSlots is the number of slots that a caller always keeps: with so
// few, the entry hosts' alternation between callers is enough, and no slot is
// moved between entry hosts.
const minCallerSlots = 8

// entitledWaiting returns the number of waiting requests on the entry host
// without a slot that belong to callers which are to receive slots of others.
func (cs *callerShares) entitledWaiting(d *demand) int {
	if cs == nil || d == nil {
		return 0
	}
	sum, unnamed := 0, d.waiting
	for _, c := range d.callers {
		unnamed -= c.Waiting
		if sh := cs.byCaller[c.Caller]; sh != nil && sh.target > sh.used {
			sum += c.Waiting
		}
	}
	if cs.unnamed != nil && cs.unnamed.target > cs.unnamed.used {
		sum += max(0, unnamed)
	}
	return max(0, sum-totalSlots(d.unconfirmedSlots))
}

// lowestUse returns the fewest slots for its weight that a caller with requests
// on the entry host uses, of callers with waiting requests only if waitingOnly
// is set. It returns 0 if the entry host names no caller, because the fewest
// may then be any number.
func (cs *callerShares) lowestUse(d *demand, waitingOnly bool) float64 {
	if d == nil || len(d.callers) == 0 {
		return 0
	}
	lowestUse, unnamed := math.Inf(1), d.waiting
	for _, c := range d.callers {
		unnamed -= c.Waiting
		if sh := cs.byCaller[c.Caller]; sh != nil && (c.Waiting > 0 || !waitingOnly) {
			lowestUse = min(lowestUse, float64(sh.used))
		}
	}
	if unnamed > 0 && cs.unnamed != nil {
		lowestUse = min(lowestUse, float64(cs.unnamed.used)/float64(max(1, cs.unnamed.weight)))
	}
	return lowestUse
}

// canTakeOnlyIdle reports whether all requests waiting on other entry hosts are
// of callers that use more slots than a caller on this entry host by over
// minCallerSlots. Then this entry host gives up only idle slots to them,
// however long they have waited.
func (a *Allocator) canTakeOnlyIdle(s *session, name modeler.ServiceName) bool {
	cs := a.callersByService[name]
	if cs == nil {
		return false
	}
	own := cs.lowestUse(s.demands[name], false)
	for _, other := range a.sessionOrder {
		d := other.demands[name]
		if other != s && d != nil && d.shortfall() > 0 && cs.lowestUse(d, true) <= own+minCallerSlots {
			return false
		}
	}
	return true
}

// callerBounds returns the bounds on the use of the service's callers on the
// entry host.
func (cs *callerShares) callerBounds(s *session, name modeler.ServiceName) (list []modeler.CallerBound) {
	if cs == nil {
		return nil
	}
	for _, sh := range cs.list {
		if s.index < len(sh.bounds) && sh.bounds[s.index] >= 0 {
			list = append(list, modeler.CallerBound{Service: name, Caller: sh.caller, Bound: sh.bounds[s.index]})
		}
	}
	return list
}

// updateCallerShares plans the transfers between callers of all services with
// waiting requests.
func (a *Allocator) updateCallerShares(demands []sessionDemand) {
	clear(a.callersByService)
	var seen []modeler.ServiceName
	for _, d := range demands {
		if slices.Contains(seen, d.service) {
			continue
		}
		seen = append(seen, d.service)
		if cs := a.planCallerTransfers(d.service); cs != nil {
			a.callersByService[d.service] = cs
		}
	}
}

// preferEntitled returns the index of the demand that gets the next slot of the
// chosen demand's service: the longest wait among those with requests of
// callers that are to receive slots, or the chosen one if there are none.
func (a *Allocator) preferEntitled(demands []sessionDemand, chosen int) int {
	cs := a.callersByService[demands[chosen].service]
	if cs == nil || cs.entitledWaiting(demands[chosen].demand) > 0 {
		return chosen
	}
	best := -1
	for i, d := range demands {
		if d.service != demands[chosen].service || cs.entitledWaiting(d.demand) == 0 {
			continue
		}
		if best < 0 || d.demand.estimatedWait(a.now) > demands[best].demand.estimatedWait(a.now) {
			best = i
		}
	}
	if best < 0 {
		return chosen
	}
	return best
}
