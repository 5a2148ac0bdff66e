package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// namedCallers bounds the callers that a renewal names for each service. A
	// caller that matters for the shares of a cell's slots is among the largest
	// somewhere.
	namedCallers = 8
	// chooseSpan bounds how often the largest callers are sought, since that
	// looks at each caller.
	chooseSpan = 10 * time.Millisecond
)

// callerBound bounds a caller's requests in progress.
type callerBound struct {
	bound int
	at    modeler.ClockReading
}

// hash names a caller to the leader.
func (c Caller) hash() modeler.CallerHash { return modeler.HashCaller(string(c)) }

// countCaller adds to the caller's requests in progress.
func (s *service) countCaller(c Caller, change int) {
	if s.callers == nil {
		s.callers = map[Caller]int{}
	}
	s.callers[c] += change
	if s.callers[c] == 0 {
		delete(s.callers, c)
	}
}

// takeCallerBounds replaces what earlier grants said of callers.
func (r *Router) takeCallerBounds(list []modeler.CallerBound) {
	for _, s := range r.services {
		clear(s.bounds)
	}
	for _, one := range list {
		s := r.service(one.Service)
		if s.bounds == nil {
			s.bounds = map[modeler.CallerHash]callerBound{}
		}
		s.bounds[one.Caller] = callerBound{one.Bound, r.now}
	}
}

// callerOut reports whether the caller has what it may use here while callers
// with fewer slots wait.
func (s *service) callerOut(now modeler.ClockReading, c Caller) bool {
	if len(s.bounds) == 0 {
		return false
	}
	b, ok := s.bounds[c.hash()]
	return ok && s.callers[c] >= b.bound && now.Sub(b.at) <= pressureSpan
}

// callersOut reports whether all callers with waiting requests are out.
func (s *service) callersOut(now modeler.ClockReading) bool {
	if s.queue.size == 0 || len(s.bounds) == 0 {
		return false
	}
	for _, t := range s.queue.teams {
		if len(t.lines) > len(s.bounds) {
			return false
		}
		for _, l := range t.lines {
			if !s.callerOut(now, l.caller) {
				return false
			}
		}
	}
	return true
}

// largest returns the callers with the most requests, and the number of others
// that wait.
func (s *service) largest(now modeler.ClockReading) (list []modeler.CallerUse, others int) {
	if len(s.named) == 0 || now.Sub(s.namedAt) > chooseSpan {
		s.choose(now)
	}
	others = s.queue.callers()
	for _, c := range s.named {
		use := modeler.CallerUse{Caller: c.hash(), Running: s.callers[c], Waiting: s.queue.waitingOf(c)}
		if use.Waiting > 0 {
			others--
		}
		if use.Running+use.Waiting > 0 {
			list = append(list, use)
		}
	}
	return list, max(0, others)
}

// choose names the callers with the most requests.
func (s *service) choose(now modeler.ClockReading) {
	total := make(map[Caller]int, len(s.callers)+s.queue.callers())
	for c, running := range s.callers {
		total[c] = running
	}
	for _, t := range s.queue.teams {
		for _, l := range t.lines {
			total[l.caller] += len(l.requests)
		}
	}
	all := slices.SortedFunc(maps.Keys(total), func(x, y Caller) int {
		return cmp.Or(cmp.Compare(total[y], total[x]), cmp.Compare(x, y))
	})
	s.named, s.namedAt = all[:min(len(all), namedCallers)], now
}
