package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxReportedCallers is the maximum number of callers that a renewal lists
	// for each service. A caller large enough to affect the shares of the
	// cell's slots is among the largest on some entry host.
	maxReportedCallers = 8
	// largestCallersInterval is the shortest interval between two selections
	// of the largest callers, since each selection visits every caller.
	largestCallersInterval = 10 * time.Millisecond
)

// callerBound is the leader's limit on a caller's requests in progress here.
type callerBound struct {
	bound int
	setAt modeler.ClockReading
}

// hash returns the hash that identifies the caller to the leader.
func (c Caller) hash() modeler.CallerHash { return modeler.HashCaller(string(c)) }

// countRunningOf adds change to the caller's requests in progress.
func (s *service) countRunningOf(c Caller, change int) {
	if s.callers == nil {
		s.callers = map[Caller]int{}
	}
	s.callers[c] += change
	if s.callers[c] == 0 {
		delete(s.callers, c)
	}
}

// applyCallerBounds replaces the caller bounds of earlier grants.
func (r *Router) applyCallerBounds(list []modeler.CallerBound) {
	for _, s := range r.services {
		clear(s.callerBounds)
	}
	for _, one := range list {
		s := r.service(one.Service)
		if s.callerBounds == nil {
			s.callerBounds = map[modeler.CallerHash]callerBound{}
		}
		s.callerBounds[one.Caller] = callerBound{one.Bound, r.now}
	}
}

// callerAtBound reports whether the caller has reached its bound, which limits
// its requests in progress here while callers with fewer slots wait.
func (s *service) callerAtBound(now modeler.ClockReading, c Caller) bool {
	if len(s.callerBounds) == 0 {
		return false
	}
	b, ok := s.callerBounds[c.hash()]
	return ok && s.callers[c] >= b.bound && now.Sub(b.setAt) <= backlogValidity
}

// waitingCallersAtBound reports whether all callers with waiting requests have
// reached their bounds.
func (s *service) waitingCallersAtBound(now modeler.ClockReading) bool {
	if s.queue.size == 0 || len(s.callerBounds) == 0 {
		return false
	}
	for _, t := range s.queue.teams {
		if len(t.callerQueues) > len(s.callerBounds) {
			return false
		}
		for _, cq := range t.callerQueues {
			if !s.callerAtBound(now, cq.caller) {
				return false
			}
		}
	}
	return true
}

// largestCallerUse returns the use of the callers with the most requests, and
// the number of other callers with waiting requests.
func (s *service) largestCallerUse(now modeler.ClockReading) (list []modeler.CallerUse, others int) {
	if len(s.largestCallers) == 0 || now.Sub(s.largestCallersAt) > largestCallersInterval {
		s.chooseLargestCallers(now)
	}
	others = s.queue.callers()
	for _, c := range s.largestCallers {
		use := modeler.CallerUse{Caller: c.hash(), Running: s.callers[c], Waiting: s.queue.waitingOfCaller(c)}
		if use.Waiting > 0 {
			others--
		}
		if use.Running+use.Waiting > 0 {
			list = append(list, use)
		}
	}
	return list, max(0, others)
}

// chooseLargestCallers selects the callers with the most requests, running and
// waiting.
func (s *service) chooseLargestCallers(now modeler.ClockReading) {
	total := make(map[Caller]int, len(s.callers)+s.queue.callers())
	for c, running := range s.callers {
		total[c] = running
	}
	for _, t := range s.queue.teams {
		for _, cq := range t.callerQueues {
			total[cq.caller] += len(cq.requests)
		}
	}
	all := slices.SortedFunc(maps.Keys(total), func(x, y Caller) int {
		return cmp.Or(cmp.Compare(total[y], total[x]), cmp.Compare(x, y))
	})
	s.largestCallers, s.largestCallersAt = all[:min(len(all), maxReportedCallers)], now
}
