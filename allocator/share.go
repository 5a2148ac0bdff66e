package allocator

import "goldcreststack.example/goldcreststack/modeler"

// maxOwed bounds the slots that one round of lending asks teams to give up, so
// a round's cost doesn't grow with the cell.
const maxOwed = 64

// share is a team's part of the slots during one round of lending.
type share struct {
	team   modeler.TeamName
	weight int
	used   int   // slots of its requests, and those under way to them
	parts  []int // the same by the sessions in order
	bounds []int // by session, slots that it may use there; -1 without a bound
	short  int   // waiting requests for which there was no slot
	// fair is used with the slots that are to change hands.
	fair   int
	wanted []*pool // of the services that are short
	pools  []*pool // of the services that have slots
}

// takeShares counts the slots that each team uses.
func (a *Allocator) takeShares() {
	a.shares = a.shares[:0]
	clear(a.shareOf)
	for i, s := range a.order {
		s.index = i
		if !s.live {
			continue
		}
		for _, name := range s.asked {
			w := s.wants[name]
			w.share = a.share(a.teams[name])
			used := w.running + min(w.waiting, total(w.unseen))
			w.share.used += used
			w.share.parts[i] += used
			if used > 0 {
				w.share.pools = addPool(w.share.pools, a.pools[name])
			}
		}
	}
}

func (a *Allocator) share(team modeler.TeamName) *share {
	sh := a.shareOf[team]
	if sh == nil {
		sh = &share{team: team, weight: max(1, a.weights[team]), parts: make([]int, len(a.order))}
		a.shareOf[team] = sh
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

// below reports whether the team uses less for its weight than the other.
func (sh *share) below(other *share) bool {
	return sh.used*other.weight < other.used*sh.weight
}

// take counts a slot that was just lent.
func (sh *share) take(s *session) {
	sh.used++
	sh.parts[s.index]++
}

// owe decides how many slots each team is to give up for teams that use less
// for their weight and have requests waiting, and bounds the teams on the entry
// hosts by it. A bound holds however often it is repeated, while a number of
// slots to give up would count again those that are already on their way.
func (a *Allocator) owe(left []asker) {
	for _, sh := range a.shares {
		sh.fair = sh.used
	}
	for _, one := range left {
		sh := one.want.share
		sh.short += one.want.short()
		sh.wanted = addPool(sh.wanted, a.pools[one.service])
	}
	for range maxOwed {
		if len(a.shares) < 2 || !a.moveOne() {
			break
		}
	}
	for _, sh := range a.shares {
		if sh.fair < sh.used {
			sh.bounds = spreadDebt(sh.used-sh.fair, sh.used, sh.parts)
		}
	}
}

// moveOne has the team with the least for its weight get a slot of the one with
// the most; it reports false when no team is short or can get one.
func (a *Allocator) moveOne() bool {
	var low *share
	for _, sh := range a.shares {
		if sh.short > 0 && (low == nil || sh.fair*low.weight < low.fair*sh.weight) {
			low = sh
		}
	}
	if low == nil {
		return false
	}
	var high *share
	for _, sh := range a.shares {
		if sh == low || (sh.fair-1)*low.weight < (low.fair+1)*sh.weight || !sh.overlaps(low) {
			continue
		}
		if high == nil || sh.fair*high.weight > high.fair*sh.weight {
			high = sh
		}
	}
	if high == nil {
		low.short = 0
		return true
	}
	high.fair--
	low.fair++
	low.short--
	return true
}

// overlaps reports whether the team has slots in a pool that shares workers
// with one where the other team is short.
func (sh *share) overlaps(other *share) bool {
	for _, p := range sh.pools {
		for _, wanted := range other.wanted {
			if p.with[wanted] > 0 {
				return true
			}
		}
	}
	return false
}

// spreadDebt spreads what a team or caller is to give up over the sessions in
// proportion to what it uses there, and returns what it may use; -1 stands for
// no bound.
func spreadDebt(debt, used int, parts []int) []int {
	bounds := make([]int, len(parts))
	seen, spread := 0, 0
	for i, part := range parts {
		seen += part
		upTo := (debt*seen + used/2) / used
		bounds[i] = -1
		if upTo > spread {
			bounds[i] = max(0, part-(upTo-spread))
		}
		spread = upTo
	}
	return bounds
}

// pressShares tells the sessions that are to give up slots for other teams or
// callers.
func (a *Allocator) pressShares() {
	for _, s := range a.order {
		if a.now >= s.pressed.Add(sharePressInterval) && a.bounded(s) {
			s.due = true
		}
	}
}

// bounded reports whether a team is to give up slots on the entry host.
func (a *Allocator) bounded(s *session) bool {
	for _, sh := range a.shares {
		if s.index < len(sh.bounds) && sh.bounds[s.index] >= 0 {
			return true
		}
	}
	for _, name := range a.unmet {
		if len(a.callers[name].callerBounds(s, name)) > 0 {
			return true
		}
	}
	return false
}

// teamShares tells an entry host of the slots that its teams use elsewhere.
func (a *Allocator) teamShares(s *session) []modeler.TeamShare {
	if len(a.shares) < 2 || len(a.unmet) == 0 {
		return nil
	}
	var list []modeler.TeamShare
	for _, sh := range a.shares {
		one := modeler.TeamShare{Team: sh.team, Elsewhere: sh.used - sh.parts[s.index]}
		if s.index < len(sh.bounds) && sh.bounds[s.index] >= 0 {
			one.Bounded, one.Bound = true, sh.bounds[s.index]
		}
		list = append(list, one)
	}
	return list
}
