package allocator

import "goldcreststack.example/goldcreststack/modeler"

// maxTransfersPerRound bounds the slots that one round of lending moves between
// teams or between callers of a service, so that the cost of a round doesn't
// grow with the cell.
const maxTransfersPerRound = 64

// share is a team's use of slots during one round of lending.
type share struct {
	team          modeler.TeamName
	weight        int
	used          int   // slots with running requests, and slots being sent to waiting ones
	usedBySession []int // used, by index of the session
	bounds        []int // slots that the team may use, by index of the session; -1 without a bound
	shortfall     int   // waiting requests that found no slot
	// target is used plus the slots that the team is to receive, or less those
	// that it is to give up.
	target int
	wanted []*pool // of its services with a shortfall
	pools  []*pool // of its services that use slots
}

// countTeamUse computes the slots that each team uses in this round.
func (a *Allocator) countTeamUse() {
	a.shares = a.shares[:0]
	clear(a.shareByTeam)
	for i, s := range a.sessionOrder {
		s.index = i
		if !s.live {
			continue
		}
		for _, name := range s.services {
			d := s.demands[name]
			d.share = a.share(a.teams[name])
			used := d.running + min(d.waiting, totalSlots(d.unconfirmedSlots))
			d.share.used += used
			d.share.usedBySession[i] += used
			if used > 0 {
				d.share.pools = addPool(d.share.pools, a.pools[name])
			}
		}
	}
}

func (a *Allocator) share(team modeler.TeamName) *share {
	sh := a.shareByTeam[team]
	if sh == nil {
		sh = &share{team: team, weight: max(1, a.weights[team]), usedBySession: make([]int, len(a.sessionOrder))}
		a.shareByTeam[team] = sh
		a.shares = append(a.shares, sh)
	}
	return sh
}

func addPool(list []*pool, p *pool) []*pool {
	for _, known := range list {
		if known == p {
			return list
		}
	}
	if p == nil {
		return list
	}
	return append(list, p)
}

// usesLessThan reports whether the team uses fewer slots for its weight than
// the other.
func (sh *share) usesLessThan(other *share) bool {
	return sh.used*other.weight < other.used*sh.weight
}

// countLent adds a slot that was just lent to the session.
func (sh *share) countLent(s *session) {
	sh.used++
	sh.usedBySession[s.index]++
}

// planTeamTransfers decides how many slots each team is to give up for teams
// that use fewer for their weight and have waiting requests, and sets the
// team's bounds on the entry hosts. Entry hosts get a bound instead of a number
// to give up because a bound can be sent repeatedly, while a repeated number
// would count slots that are already being returned once more.
func (a *Allocator) planTeamTransfers(unmet []sessionDemand) {
	for _, sh := range a.shares {
		sh.target = sh.used
	}
	for _, d := range unmet {
		sh := d.demand.share
		sh.shortfall += d.demand.shortfall()
		sh.wanted = addPool(sh.wanted, a.pools[d.service])
	}
	for range maxTransfersPerRound {
		if len(a.shares) < 2 || !a.transferOne() {
			break
		}
	}
	for _, sh := range a.shares {
		if sh.target < sh.used {
			sh.bounds = spreadTransfer(sh.used-sh.target, sh.used, sh.usedBySession)
		}
	}
}

// transferOne plans the transfer of one slot to the team with a shortfall that
// uses the fewest slots for its weight, from the team that uses the most and
// shares workers with it. It reports false when no team has a shortfall. A team
// that can get no slot loses its shortfall for this round.
func (a *Allocator) transferOne() bool {
	var low *share
	for _, sh := range a.shares {
		if sh.shortfall > 0 && (low == nil || sh.target*low.weight < low.target*sh.weight) {
			low = sh
		}
	}
	if low == nil {
		return false
	}
	var high *share
	for _, sh := range a.shares {
		if sh == low || (sh.target-1)*low.weight < (low.target+1)*sh.weight || !sh.overlaps(low) {
			continue
		}
		if high == nil || sh.target*high.weight > high.target*sh.weight {
			high = sh
		}
	}
	if high == nil {
		low.shortfall = 0
		return true
	}
	high.target--
	low.target++
	low.shortfall--
	return true
}

// overlaps reports whether the team uses slots in a pool that shares workers
// with a pool in which the other team has a shortfall.
func (sh *share) overlaps(other *share) bool {
	for _, p := range sh.pools {
		for _, wanted := range other.wanted {
			if p.sharedWorkers[wanted] > 0 {
				return true
			}
		}
	}
	return false
}

// spreadTransfer divides the slots that a team or caller is to give up among
// the sessions, in proportion to its use there. It returns the bound on its use
// by session; -1 stands for no bound.
func spreadTransfer(transfer, used int, usedBySession []int) []int {
	bounds := make([]int, len(usedBySession))
	seen, spread := 0, 0
	for i, usedHere := range usedBySession {
		seen += usedHere
		upTo := (transfer*seen + used/2) / used
		bounds[i] = -1
		if upTo > spread {
			bounds[i] = max(0, usedHere-(upTo-spread))
		}
		spread = upTo
	}
	return bounds
}

// notifyBoundedSessions schedules grants to the sessions on which a team or
// caller is to give up slots.
func (a *Allocator) notifyBoundedSessions() {
	for _, s := range a.sessionOrder {
		if a.now >= s.lastGrantAt.Add(boundInterval) && a.hasBounds(s) {
			s.grantDue = true
		}
	}
}

// hasBounds reports whether a team or a caller is to give up slots on the entry
// host.
func (a *Allocator) hasBounds(s *session) bool {
	for _, sh := range a.shares {
		if s.index < len(sh.bounds) && sh.bounds[s.index] >= 0 {
			return true
		}
	}
	for _, name := range a.unmetServices {
		if len(a.callersByService[name].callerBounds(s, name)) > 0 {
			return true
		}
	}
	return false
}

// teamShares returns each team's slots on other entry hosts and its bound on
// this one, or nil if no team competes with another.
func (a *Allocator) teamShares(s *session) []modeler.TeamShare {
	if len(a.shares) < 2 || len(a.unmetServices) == 0 {
		return nil
	}
	var list []modeler.TeamShare
	for _, sh := range a.shares {
		status := modeler.TeamShare{Team: sh.team, Elsewhere: sh.used - sh.usedBySession[s.index]}
		if s.index < len(sh.bounds) && sh.bounds[s.index] >= 0 {
			status.Bounded, status.Bound = true, sh.bounds[s.index]
		}
		list = append(list, status)
	}
	return list
}
