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

// restartInOrder stops the host of a place, which tells the leader so, and starts
// it again from its disk.
func (s *site) restartInOrder(p *place) {
	s.counts["restarted in order"]++
	h := p.host
	s.note("%d restarts", h.id)
	span := time.Duration(s.rng.Int64N(int64(time.Second)))
	p.lostUntil = s.now + 300*time.Millisecond + span + catchUp
	if h.r.Status().Role == replicator.Leader {
		_ = s.transfer(h, 0)
	}
	s.leaving = append(s.leaving, h.id)
	s.later(300*time.Millisecond, func() {
		if h.r != nil && !h.diskLost {
			s.crash(h)
			s.later(span, func() {
				if h.r == nil && !h.diskLost {
					s.start(h)
				}
			})
		}
	})
	s.later(s.policy.ReplaceAfter, func() {
		s.leaving = slices.DeleteFunc(s.leaving, func(id modeler.MemberID) bool { return id == h.id })
	})
}

// cutFromLeader cuts the links between the host of a place and the leader for a
// while, in one direction or both. The others reach both.
func (s *site) cutFromLeader(p *place) {
	leader := s.leaseHolder()
	if leader == nil || leader == p.host {
		return
	}
	s.counts["cut from the leader"]++
	span := time.Duration(s.rng.Int64N(int64(6 * time.Second)))
	p.lostUntil = s.now + span + catchUp
	s.later(span, func() {})
	way := 1 + s.rng.IntN(3)
	s.note("%d is cut from %d for %s, way %d", p.host.id, leader.id, span, way)
	if way&cutOutgoing != 0 {
		s.cutUntil[link{p.host.id, leader.id}] = s.now + span
	}
	if way&cutIncoming != 0 {
		s.cutUntil[link{leader.id, p.host.id}] = s.now + span
	}
}

// checkSpareVoters requires that the tolerated losses leave a quorum.
func (s *site) checkSpareVoters() {
	voters, gone := 0, 0
	for _, m := range s.leaseHolder().r.Status().Members.Members {
		if m.Learner {
			continue
		}
		voters++
		if s.hosts[m.ID-1].diskLost {
			gone++
		}
	}
	if voters-gone-s.tolerance < reconfigurer.Quorum(voters) {
		s.fail("%d of %d voters are gone for good, %d further losses leave no quorum", gone, voters, s.tolerance)
		s.report()
	}
}

// Guards against a group of another size than the usual ones that loses its quorum or acknowledged entries while hosts are replaced and restarted.
func TestGroupsOfAnySizeKeepQuorum(t *testing.T) {
	groups := []struct{ size, tolerance int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {6, 1}, {6, 2}, {7, 1}, {7, 2}, {7, 3}, {8, 2}, {9, 1}, {9, 2}, {9, 3}}
	first, histories := envInt("REPLICATOR_SEED", 1), envInt("REPLICATOR_HISTORIES", 2*len(groups))
	for seed := first; seed < first+histories; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			g := groups[seed%len(groups)]
			s := newSite(t, uint64(seed), g.size, g.tolerance)
			s.awaitLeader()
			for end := s.now + time.Minute; s.now < end; {
				s.run(time.Duration(s.rng.Int64N(int64(1500 * time.Millisecond))))
				p := s.places[s.rng.IntN(len(s.places))]
				if s.rng.IntN(2) == 0 && p.host != nil && s.isRunning(p.host) && s.now >= p.lostUntil && s.lost(lostUntil) < s.tolerance {
					s.lastFaultAt = s.now
					if s.rng.IntN(3) == 0 {
						s.cutFromLeader(p)
					} else {
						s.restartInOrder(p)
					}
					continue
				}
				s.injectSiteFault()
			}
			s.settle()
			s.checkSpareVoters()
			s.finalFault()
			t.Log(g, s.counts)
		})
	}
}
