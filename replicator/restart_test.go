package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reconfigurer"
	"goldcreststack.example/goldcreststack/replicator"
)

// announcement identifies what a host has told the leader of a term: that it stops.
type announcement struct {
	member modeler.MemberID
	term   modeler.Term
}

// leavingTo returns the hosts of which the leader knows that they stop.
func (s *site) leavingTo(leader *host) []modeler.MemberID {
	leaving := slices.Clone(s.leaving)
	for _, h := range s.hosts {
		at, known := s.announced[announcement{h.id, leader.r.Status().Term}]
		if known && s.now-at <= s.policy.ReplaceAfter {
			leaving = append(leaving, h.id)
		}
	}
	return leaving
}

// mayLeave announces to the leader that the host stops, and reports whether the
// host may end: it has no vote, or nobody can take its place.
func (s *site) mayLeave(h *host) bool {
	leader := s.leaseHolder()
	if leader == nil || leader == h || !s.isRunning(leader) || leader.r.Transferring() || s.now < s.cutUntil[link{h.id, leader.id}] {
		return false
	}
	s.announced[announcement{h.id, leader.r.Status().Term}] = s.now
	status := leader.r.Status()
	if change, due := s.policy.Next(s.reading(leader), status, s.leavingTo(leader)); due {
		s.propose(leader, change)
		status = leader.r.Status()
	}
	isCommitted := slices.Equal(leader.r.MembershipAt(status.Commit).Members, status.Members.Members)
	return isCommitted && !s.policy.MustAwaitSuccessor(s.reading(leader), status, h.id)
}

// stop ends a host in the order of a process that gets SIGTERM.
func (s *site) stop(h *host, until time.Duration, end func()) {
	if h.r == nil || !s.isRunning(h) {
		end()
		return
	}
	votes, hasLearner := false, false
	for _, m := range h.membership.Members {
		votes = votes || m.ID == h.id && !m.Learner
		hasLearner = hasLearner || m.Learner
	}
	leads := h.r.Status().Role == replicator.Leader
	if leads && !h.r.Transferring() {
		_ = s.transfer(h, 0)
	}
	if s.now >= until || !leads && (!(votes && hasLearner) || s.mayLeave(h)) {
		s.lastFaultAt = s.now
		end()
		return
	}
	s.schedule = append(s.schedule, scheduled{at: s.now + leaveInterval, do: func() { s.stop(h, until, end) }, isCheck: true})
}

// restart stops the host of a place in order and starts it again with its disk.
func (s *site) restart(p *place) {
	s.counts["restarted in order"]++
	h := p.host
	s.note("%d is stopped", h.id)
	down := time.Duration(s.rng.Int64N(int64(2 * time.Second)))
	p.lostUntil = s.now + leaveTimeout + down + catchUp
	s.stop(h, s.now+leaveTimeout, func() {
		if h.r == nil {
			return
		}
		s.note("%d restarts", h.id)
		s.crash(h)
		p.lostUntil = s.now + down + catchUp
		s.later(down, func() {
			if h.r == nil && !h.diskLost {
				s.start(h)
			}
		})
	})
}

// replaceAnnounced starts the successor first, and stops the host as a process that
// gets SIGTERM once the successor has had catchUp.
func (s *site) replaceAnnounced(p *place) {
	s.counts["replaced as announced"]++
	old := p.host
	s.note("%d is about to be replaced", old.id)
	successor := &place{host: s.startEmpty(s.newAddress()), lostUntil: s.now + catchUp, diskLostUntil: s.now + catchUp}
	s.places = append(s.places, successor)
	s.later(catchUp, func() {
		if old.r == nil || p.host != old {
			return
		}
		s.note("%d leaves", old.id)
		s.stop(old, s.now+leaveTimeout, func() {
			s.note("%d ends in order", old.id)
			s.end(old)
			s.places = slices.DeleteFunc(s.places, func(other *place) bool { return other == p })
		})
	})
}

// replaceLate ends the host of a place for good; its successor comes after any time,
// and sometimes at its address.
func (s *site) replaceLate(p *place) {
	s.counts["replaced late"]++
	old := p.host
	s.note("%d is replaced", old.id)
	s.end(old)
	p.host = nil
	delay := time.Duration(s.rng.Int64N(int64(8 * time.Second)))
	p.lostUntil = s.now + delay + catchUp
	p.diskLostUntil = p.lostUntil
	address := s.newAddress()
	if delay > 2*time.Second && s.rng.IntN(2) == 0 {
		address = old.address
	}
	s.later(delay, func() { p.host = s.startEmpty(address) })
}

// split cuts the links between two halves of the hosts.
func (s *site) split() {
	s.counts["splits"]++
	span := time.Duration(s.rng.Int64N(int64(8 * time.Second)))
	side := map[modeler.MemberID]bool{}
	for i, n := range s.rng.Perm(len(s.hosts)) {
		side[s.hosts[n].id] = i%2 == 0
	}
	s.note("split for %s: %v", span, side)
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if side[a.id] != side[b.id] {
				s.cutUntil[link{a.id, b.id}] = s.now + span
			}
		}
	}
	s.splitUntil = s.now + span
	s.extendLosses(span)
	s.later(span, func() {})
}

// extendLosses lets the hosts that are lost go on counting as such until catchUp
// after the span, in which they can't catch up.
func (s *site) extendLosses(span time.Duration) {
	for _, p := range s.places {
		if s.now < p.lostUntil {
			p.lostUntil = max(p.lostUntil, s.now+span+catchUp)
		}
		if s.now < p.diskLostUntil {
			p.diskLostUntil = max(p.diskLostUntil, s.now+span+catchUp)
		}
	}
}

// hangDisk lets the disk of the host of a place hang for a while.
func (s *site) hangDisk(p *place) {
	s.counts["disks hang"]++
	span := time.Duration(s.rng.Int64N(int64(6 * time.Second)))
	s.note("the disk of %d hangs for %s", p.host.id, span)
	p.host.diskHangsUntil = s.now + span
	p.lostUntil = s.now + span + catchUp
	s.later(span, func() {})
}

// powerOff ends all hosts at once and starts them after a while.
func (s *site) powerOff() {
	s.counts["power off"]++
	down := time.Duration(s.rng.Int64N(int64(9 * time.Second)))
	s.note("all lose power for %s", down)
	s.extendLosses(down)
	for _, p := range s.places {
		h := p.host
		if h == nil || h.r == nil {
			continue
		}
		p.lostUntil = max(p.lostUntil, s.now+down+catchUp)
		s.crash(h)
		h.pausedUntil = 0
		s.later(down, func() {
			if h.r == nil && !h.diskLost {
				s.start(h)
			}
		})
	}
}

// injectRestart causes one random fault of the kinds above, beside those of
// injectSiteFault.
func (s *site) injectRestart() {
	p := s.places[s.rng.IntN(len(s.places))]
	if s.rng.IntN(3) == 0 {
		leader := s.leaseHolder()
		if at := slices.IndexFunc(s.places, func(p *place) bool { return p.host == leader }); leader != nil && at >= 0 {
			p = s.places[at]
		}
	}
	if p.host == nil || p.host.r == nil || s.now < p.lostUntil || s.now < s.splitUntil {
		return
	}
	kind := s.rng.IntN(12)
	switch {
	case kind == 0:
		s.lastFaultAt = s.now
		s.powerOff()
		return
	case kind == 1:
		s.lastFaultAt = s.now
		s.killAll()
		return
	case kind == 2:
		s.lastFaultAt = s.now
		s.split()
		return
	case kind < 6 && s.lost(diskLostUntil) >= s.tolerance:
		return
	case s.lost(lostUntil) >= s.tolerance:
		return
	}
	s.lastFaultAt = s.now
	switch kind {
	case 3, 4, 5:
		s.replaceLate(p)
	case 6, 7:
		s.hangDisk(p)
	case 8, 9:
		if len(s.places) == s.size {
			s.replaceAnnounced(p)
		}
	default:
		s.restart(p)
	}
}

// TestRestartsAndSplitsKeepQuorum guards against a group that loses its quorum for
// good, or acknowledged entries, after restarts in order, splits, hanging disks,
// losses of power and late successors.
func TestRestartsAndSplitsKeepQuorum(t *testing.T) {
	first, histories := envInt("REPLICATOR_SEED", 1), envInt("REPLICATOR_HISTORIES", 20)
	for seed := first; seed < first+histories; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			size, tolerance := []int{3, 5, 9, 4}[seed%4], []int{1, 1, 2, 1}[seed%4]
			s := newSite(t, uint64(seed), size, tolerance)
			s.announced, s.size = map[announcement]time.Duration{}, size
			s.awaitLeader()
			for end := s.now + time.Minute; s.now < end; {
				s.run(time.Duration(s.rng.Int64N(int64(1500 * time.Millisecond))))
				if s.rng.IntN(2) == 0 {
					s.injectRestart()
				} else if s.now >= s.splitUntil {
					s.injectSiteFault()
				}
			}
			s.settle()
			s.checkSpare()
			s.finalFault()
			t.Log(s.counts)
		})
	}
}

// checkSpare requires that the group bears the tolerated losses.
func (s *site) checkSpare() {
	voters, alive := 0, 0
	for _, m := range s.leaseHolder().r.Status().Members.Members {
		if m.Learner {
			continue
		}
		voters++
		if !s.hosts[m.ID-1].diskLost {
			alive++
		}
	}
	if alive-reconfigurer.Quorum(voters) < s.tolerance {
		s.fail("%d of %d voters are left", alive, voters)
		s.report()
	}
}
