package router

import (
	"goldcreststack.example/goldcreststack/modeler"
)

// share is a team's part of the slots.
type share struct {
	weight  int
	running int // requests in progress here
	// elsewhere are the slots that the team uses on other entry hosts, as last
	// told. It outlasts the leader, so shares hold until the next one knows.
	elsewhere int
	// bound is the number of slots that the team may use here while another
	// team is short of its share.
	bound   int
	bounded bool
	at      modeler.ClockReading // of the bound
}

// configureShares assigns the services to the teams that own them now.
func (r *Router) configureShares(c *modeler.Configuration) {
	old := r.shares
	r.shares = make(map[modeler.TeamName]*share, len(c.Teams))
	clear(r.weights)
	for _, team := range c.Teams {
		r.weights[team.Name] = team.Weight
	}
	for _, s := range r.services {
		name := s.settings.Team
		if r.shares[name] == nil {
			r.shares[name] = &share{weight: max(1, r.weights[name])}
			if before := old[name]; before != nil {
				r.shares[name].elsewhere = before.elsewhere
			}
		}
		s.share = r.shares[name]
		s.share.running += s.running
	}
}

// takeShares replaces what earlier grants said of the teams' shares.
func (r *Router) takeShares(list []modeler.TeamShare) {
	for _, sh := range r.shares {
		sh.bounded = false
	}
	for _, one := range list {
		if sh := r.shares[one.Team]; sh != nil {
			sh.elsewhere = one.Elsewhere
			sh.bounded, sh.bound, sh.at = one.Bounded, one.Bound, r.now
		}
	}
}

// out reports whether the team has what it may use here while others are short.
func (sh *share) out(now modeler.ClockReading) bool {
	return sh.bounded && sh.running >= sh.bound && now.Sub(sh.at) <= pressureSpan
}

// below reports whether the team uses less for its weight than the other.
func (sh *share) below(other *share) bool {
	return (sh.running+sh.elsewhere)*other.weight < (other.running+other.elsewhere)*sh.weight
}

// count adds to the requests in progress.
func (s *service) count(c Caller, change int) {
	s.countCaller(c, change)
	s.running += change
	s.share.running += change
}

// before reports whether a free slot goes to the service rather than to the
// other: to a team within its bound, to an own request, to the team with fewer
// slots for its weight, and of one team to the longest wait.
func (s *service) before(other *service, now modeler.ClockReading) bool {
	if x, y := s.share.out(now), other.share.out(now); x != y {
		return y
	}
	if x, y := s.queue.size > 0, other.queue.size > 0; x != y {
		return x
	}
	if s.share != other.share && (s.share.below(other.share) || other.share.below(s.share)) {
		return s.share.below(other.share)
	}
	return s.wait(now) > other.wait(now)
}
