package router

import (
	"goldcreststack.example/goldcreststack/modeler"
)

// teamShare is the use and the bound of a team's slots.
type teamShare struct {
	weight  int
	running int // requests in progress on this entry host
	// remoteSlots is the number of slots that the team uses on other entry
	// hosts, as of the last grant. It is kept across a change of leader, so that
	// shares hold until the new leader knows them.
	remoteSlots int
	// bound is the number of slots that the team may use on this entry host
	// while another team has fewer than its share.
	bound    int
	hasBound bool
	boundAt  modeler.ClockReading // when the bound was granted
}

// configureTeams takes over the teams' weights and assigns each service to the
// share of the team that owns it.
func (r *Router) configureTeams(c *modeler.Configuration) {
	oldShares := r.teamShares
	r.teamShares = make(map[modeler.TeamName]*teamShare, len(c.Teams))
	clear(r.teamWeights)
	for _, team := range c.Teams {
		r.teamWeights[team.Name] = team.Weight
	}
	for _, s := range r.services {
		name := s.settings.Team
		if r.teamShares[name] == nil {
			r.teamShares[name] = &teamShare{weight: max(1, r.teamWeights[name])}
			if oldShare := oldShares[name]; oldShare != nil {
				r.teamShares[name].remoteSlots = oldShare.remoteSlots
			}
		}
		s.teamShare = r.teamShares[name]
		s.teamShare.running += s.running
	}
}

// applyTeamShares replaces the team bounds of earlier grants.
func (r *Router) applyTeamShares(list []modeler.TeamShare) {
	for _, sh := range r.teamShares {
		sh.hasBound = false
	}
	for _, one := range list {
		if sh := r.teamShares[one.Team]; sh != nil {
			sh.remoteSlots = one.Elsewhere
			sh.hasBound, sh.bound, sh.boundAt = one.Bounded, one.Bound, r.now
		}
	}
}

// atBound reports whether the team has reached its bound on this entry host.
func (sh *teamShare) atBound(now modeler.ClockReading) bool {
	return sh.hasBound && sh.running >= sh.bound && now.Sub(sh.boundAt) <= backlogValidity
}

// usesLessThan reports whether the team uses fewer slots for its weight than
// the other team.
func (sh *teamShare) usesLessThan(other *teamShare) bool {
	return (sh.running+sh.remoteSlots)*other.weight < (other.running+other.remoteSlots)*sh.weight
}

// countRunning adds change to the requests in progress of the service, the
// caller and the team.
func (s *service) countRunning(c Caller, change int) {
	s.countRunningOf(c, change)
	s.running += change
	s.teamShare.running += change
}

// goesBefore reports whether the service gets a free slot before the other.
// A team within its bound goes first, then a service with waiting requests
// here, then the team with fewer slots for its weight, then the longest wait.
func (s *service) goesBefore(other *service, now modeler.ClockReading) bool {
	if x, y := s.teamShare.atBound(now), other.teamShare.atBound(now); x != y {
		return y
	}
	if x, y := s.queue.size > 0, other.queue.size > 0; x != y {
		return x
	}
	if s.teamShare != other.teamShare && (s.teamShare.usesLessThan(other.teamShare) || other.teamShare.usesLessThan(s.teamShare)) {
		return s.teamShare.usesLessThan(other.teamShare)
	}
	return s.oldestWait(now) > other.oldestWait(now)
}
