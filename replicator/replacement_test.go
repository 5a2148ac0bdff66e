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

const (
	// catchUp is how long a new or returned host counts as lost.
	catchUp = 4 * time.Second
	// contact is the time after the last tolerated fault within which a leader must
	// exist, and recovery that after a fault of all hosts.
	contact  = 3 * time.Second
	recovery = 12 * time.Second
	// successorDelay is the time between the loss of a host or its disk and the
	// start of its successor.
	successorDelay = time.Second
	// tickInterval and joinInterval are the times between two decisions of the
	// leader, and between two requests of a host to be admitted.
	tickInterval = 100 * time.Millisecond
	joinInterval = 300 * time.Millisecond
	// leaveTimeout bounds the time for which a host that stops waits until it has no
	// vote, and leaveInterval is the time between two checks of that.
	leaveTimeout  = 2500 * time.Millisecond
	leaveInterval = 20 * time.Millisecond
)

// place is one of the places for a host of the group. It counts as lost while it
// has no running host in touch with the others, and for catchUp after that.
type place struct {
	host      *host
	lostUntil time.Duration
	// diskLostUntil is when the loss of the place's last disk is made good.
	diskLostUntil time.Duration
}

type scheduled struct {
	at time.Duration
	do func()
	// isCheck says that a fault neither begins nor ends.
	isCheck bool
}

// site plays the hosts of a group: they are replaced, lose their disks, restart,
// pause and are cut off, and the leader changes the members by its policy.
type site struct {
	*cluster
	policy    reconfigurer.Policy
	tolerance int
	// overlapping lets hosts fail for a while beyond the tolerance; disks are lost
	// within it all the same.
	overlapping bool
	places      []*place
	// size is the number of places while no host is being replaced in order.
	size      int
	schedule  []scheduled
	addresses int
	// lastFaultAt is when the last fault began or ended. exceeded says that more
	// places than tolerated were lost, and not all are back yet.
	lastFaultAt time.Duration
	exceeded    bool
	// splitUntil is when the two halves of the hosts reach each other again.
	splitUntil time.Duration
	// leaving are the hosts that have told the leader that they stop.
	leaving []modeler.MemberID
	// announced are the hosts that have told the leader of a term that they stop.
	announced map[announcement]time.Duration
	nextTick  time.Duration
	nextJoin  time.Duration
}

func newSite(t *testing.T, seed uint64, size, tolerance int) *site {
	var members modeler.Membership
	for id := range size {
		members.Members = append(members.Members, modeler.Member{ID: modeler.MemberID(id + 1), Address: fmt.Sprint("host-", id+1)})
	}
	s := &site{
		cluster:   newClusterOf(t, seed, members, 0.01),
		policy:    reconfigurer.Policy{Tolerance: tolerance, ReplaceAfter: catchUp / 2},
		tolerance: tolerance,
		addresses: size,
	}
	s.proposalChance = 0.05
	s.electionMin, s.electionMax = 400*time.Millisecond, 750*time.Millisecond
	for i, h := range s.hosts {
		h.address = members.Members[i].Address
		// The members begin again with the timeouts above.
		s.start(h)
		s.places = append(s.places, &place{host: h})
	}
	return s
}

func (s *site) newAddress() string {
	s.addresses++
	return fmt.Sprint("host-", s.addresses)
}

// later runs do after the delay.
func (s *site) later(delay time.Duration, do func()) {
	s.schedule = append(s.schedule, scheduled{at: s.now + delay, do: do})
}

// isJoined reports whether the host takes itself for a member: it is one by the
// newest membership that it has, and a leader sends to it.
func (s *site) isJoined(h *host) bool {
	status := h.r.Status()
	if status.Role != replicator.Leader && s.reading(h).Sub(status.LeaderContact) > 2*time.Second {
		return false
	}
	return slices.ContainsFunc(h.membership.Members, func(m modeler.Member) bool { return m.ID == h.id })
}

// propose proposes a change of the members to the leader.
func (s *site) propose(leader *host, change reconfigurer.Change) {
	if err := leader.r.ChangeMembers(s.reading(leader), change.Members); err == nil {
		s.counts[fmt.Sprint("changes of kind ", change.Kind)]++
		s.note("%d changes members: kind %d of %d, %s: %v", leader.id, change.Kind, change.Member, change.Reason, change.Members.Members)
	}
	s.processOutput(leader)
}

// reconfigure lets the leader change the members, and the hosts that are none ask
// to be admitted.
func (s *site) reconfigure() {
	if s.now >= s.nextTick {
		s.nextTick = s.now + tickInterval
		if leader := s.leaseHolder(); leader != nil && s.isRunning(leader) {
			if change, due := s.policy.Next(s.reading(leader), leader.r.Status(), s.leavingTo(leader)); due {
				s.propose(leader, change)
			}
		}
	}
	if s.now < s.nextJoin {
		return
	}
	s.nextJoin = s.now + joinInterval
	for _, p := range s.places {
		h, leader := p.host, s.leaseHolder()
		if h == nil || leader == nil || !s.isRunning(h) || !s.isRunning(leader) || s.isJoined(h) {
			continue
		}
		if s.now < s.cutUntil[link{h.id, leader.id}] || s.now < s.cutUntil[link{leader.id, h.id}] {
			continue
		}
		if change, needed := s.policy.Admit(leader.r.Status().Members, modeler.Member{ID: h.id, Address: h.address}); needed {
			s.propose(leader, change)
		}
	}
}

// run runs the site for the given span.
func (s *site) run(span time.Duration) {
	s.t.Helper()
	for end := s.now + span; s.now < end; {
		s.runSchedule()
		for _, h := range s.hosts {
			if s.isRunning(h) && s.rng.Float64() < s.proposalChance && h.r.Status().Role == replicator.Leader {
				_, _ = s.cluster.propose(h, 1+s.rng.IntN(4))
			}
			if s.isRunning(h) && s.rng.IntN(400) == 0 {
				s.compact(h)
			}
		}
		s.step(time.Duration(s.rng.Int64N(int64(8 * time.Millisecond))))
		s.reconfigure()
		s.checkLeader()
		if s.failure != "" {
			s.report()
		}
	}
}

// runSchedule carries out what is due, which may schedule more.
func (s *site) runSchedule() {
	schedule := s.schedule
	s.schedule = nil
	for _, e := range schedule {
		if e.at > s.now {
			s.schedule = append(s.schedule, e)
			continue
		}
		if !e.isCheck {
			s.lastFaultAt = s.now
		}
		e.do()
	}
}

func (s *site) lost(until func(*place) time.Duration) int {
	count := 0
	for _, p := range s.places {
		if s.now < until(p) {
			count++
		}
	}
	return count
}

func lostUntil(p *place) time.Duration     { return p.lostUntil }
func diskLostUntil(p *place) time.Duration { return p.diskLostUntil }

// checkLeader requires a leader as long as no more places than tolerated are
// lost. After more have been lost, the group may wait until all are back.
func (s *site) checkLeader() {
	lost := s.lost(lostUntil)
	s.exceeded = lost > s.tolerance || lost > 0 && (s.exceeded || s.now < s.splitUntil)
	if s.exceeded || s.now < s.splitUntil {
		s.lastFaultAt = s.now
	}
	if s.now-s.lastFaultAt > contact && s.leaseHolder() == nil {
		s.fail("no leader %s after the last fault, %d places lost", s.now-s.lastFaultAt, lost)
	}
}

// end ends the host of a place for good.
func (s *site) end(h *host) {
	h.r, h.operations, h.diskLost = nil, nil, true
}

// replace ends the host of a place for good, and starts an empty one elsewhere.
func (s *site) replace(p *place) {
	s.counts["replaced"]++
	s.note("%d is replaced", p.host.id)
	s.end(p.host)
	p.host = nil
	p.lostUntil = s.now + successorDelay + catchUp
	p.diskLostUntil = p.lostUntil
	s.later(successorDelay, func() { p.host = s.startEmpty(s.newAddress()) })
}

// wipe takes the host's disk; the host starts anew at its address.
func (s *site) wipe(p *place) {
	s.counts["wiped"]++
	s.note("%d loses its disk", p.host.id)
	address := p.host.address
	s.end(p.host)
	p.host = nil
	p.lostUntil = s.now + successorDelay + catchUp
	p.diskLostUntil = p.lostUntil
	s.later(successorDelay, func() { p.host = s.startEmpty(address) })
}

func (s *site) startEmpty(address string) *host {
	h := s.addHost(replicator.Saved{})
	h.address = address
	s.note("%d starts empty at %s", h.id, address)
	return h
}

// replaceInOrder starts the successor first, and then ends the host in order.
func (s *site) replaceInOrder(p *place) {
	s.counts["replaced in order"]++
	old := p.host
	s.note("%d is about to be replaced", old.id)
	successor := s.startEmpty(s.newAddress())
	p.lostUntil = s.now + catchUp
	p.diskLostUntil = p.lostUntil
	s.places = append(s.places, &place{host: successor, lostUntil: p.lostUntil, diskLostUntil: p.diskLostUntil})
	s.later(successorDelay+time.Duration(s.rng.Int64N(int64(catchUp-successorDelay))), func() {
		s.note("%d leaves", old.id)
		s.leaving = append(s.leaving, old.id)
		s.leave(old, s.now+leaveTimeout, func() {
			s.note("%d ends in order", old.id)
			s.end(old)
			// The successor's place may be lost by now.
			s.places = slices.DeleteFunc(s.places, func(other *place) bool { return other == p })
		})
	})
}

// leave hands the leadership over and waits until the host has no vote, but not
// longer than until, before it ends the host.
func (s *site) leave(h *host, until time.Duration, end func()) {
	if h.r != nil && h.r.Status().Role == replicator.Leader && !h.r.Transferring() {
		_ = s.transfer(h, 0)
	}
	leader := s.leaseHolder()
	hasVote := leader == nil || leader == h || slices.ContainsFunc(leader.r.MembershipAt(leader.r.Status().Commit).Members, func(m modeler.Member) bool {
		return m.ID == h.id && !m.Learner
	})
	if !hasVote || s.now >= until {
		s.lastFaultAt = s.now
		end()
		return
	}
	s.schedule = append(s.schedule, scheduled{at: s.now + leaveInterval, do: func() { s.leave(h, until, end) }, isCheck: true})
}

// interrupt crashes, pauses or cuts off the host of a place for a while.
func (s *site) interrupt(p *place) {
	h := p.host
	span := time.Duration(s.rng.Int64N(int64(6 * time.Second)))
	p.lostUntil = s.now + span + catchUp
	s.later(span, func() {})
	switch s.rng.IntN(3) {
	case 0:
		s.crash(h)
		s.later(span, func() {
			if !h.diskLost && h.r == nil {
				s.start(h)
			}
		})
	case 1:
		s.counts["pauses"]++
		s.note("%d pauses for %s", h.id, span)
		h.pausedUntil = s.now + span
	case 2:
		s.counts["hosts cut"]++
		way := 1 + s.rng.IntN(3)
		s.note("%d is cut off for %s, way %d", h.id, span, way)
		s.cutOff(h, way, span)
	}
}

// killAll restarts all hosts at once.
func (s *site) killAll() {
	s.counts["all killed"]++
	s.note("all are killed")
	for _, p := range s.places {
		if h := p.host; h != nil && h.r != nil {
			s.crash(h)
			h.pausedUntil = 0
			s.later(successorDelay, func() {
				if h.r == nil && !h.diskLost {
					s.start(h)
				}
			})
		}
	}
}

// injectSiteFault causes one random fault that the users' allowance permits.
func (s *site) injectSiteFault() {
	p := s.places[s.rng.IntN(len(s.places))]
	if s.rng.IntN(3) == 0 {
		leader := s.leaseHolder()
		if at := slices.IndexFunc(s.places, func(p *place) bool { return p.host == leader }); leader != nil && at >= 0 {
			p = s.places[at]
		}
	}
	if p.host == nil || p.host.r == nil || s.now < p.lostUntil {
		return
	}
	kind := s.rng.IntN(8)
	permanent := kind < 5
	switch {
	case kind == 7:
		if s.lost(lostUntil) == 0 {
			s.lastFaultAt = s.now
			s.killAll()
		}
		return
	case permanent && s.lost(diskLostUntil) >= s.tolerance:
		return
	case !(s.overlapping && !permanent) && s.lost(lostUntil) >= s.tolerance:
		return
	}
	s.lastFaultAt = s.now
	switch kind {
	case 0, 1:
		s.replace(p)
	case 2:
		s.replaceInOrder(p)
	case 3, 4:
		s.wipe(p)
	default:
		s.interrupt(p)
	}
}

// finalFault takes as many disks as tolerated, and restarts all other hosts at
// the same moment.
func (s *site) finalFault() {
	s.lastFaultAt = s.now
	s.note("final fault")
	s.killAll()
	s.rng.Shuffle(len(s.places), func(i, j int) { s.places[i], s.places[j] = s.places[j], s.places[i] })
	for _, p := range s.places[:s.tolerance] {
		s.wipe(p)
	}
	start := s.now
	for s.leaseHolder() == nil || s.now-start < successorDelay {
		if s.now-start > recovery {
			s.fail("no leader within %s of the final fault", recovery)
		}
		s.run(10 * time.Millisecond)
	}
	leader := s.leaseHolder()
	s.commit(leader, 1)
}

// settle ends all faults and lets the group recover.
func (s *site) settle() {
	s.drop, s.repeat, s.delay, s.slowSync = 0, 0, 0, false
	s.run(12 * time.Second)
}

// checkVoters requires that every voter is a host that exists.
func (s *site) checkVoters() {
	leader := s.leaseHolder()
	for _, m := range leader.r.Status().Members.Members {
		if !m.Learner && s.hosts[m.ID-1].diskLost {
			s.fail("member %d votes, which is gone for good", m.ID)
		}
	}
	if s.failure != "" {
		s.report()
	}
}

func (s *site) play(length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.run(time.Duration(s.rng.Int64N(int64(1500 * time.Millisecond))))
		s.injectSiteFault()
		if s.rng.IntN(8) == 0 {
			s.drop, s.repeat, s.delay = s.rng.Float64()*0.05, s.rng.Float64()*0.1, s.rng.Float64()*0.01
			s.slowSync = s.rng.IntN(2) == 0
		}
	}
}

// TestReplacedHostsKeepQuorum guards against a group that loses its quorum for
// good, or acknowledged entries, though no more hosts than tolerated were lost at
// once.
func TestReplacedHostsKeepQuorum(t *testing.T) {
	first, histories := envInt("REPLICATOR_SEED", 1), envInt("REPLICATOR_HISTORIES", 60)
	for seed := first; seed < first+histories; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			size, tolerance := []int{3, 5, 9}[seed%3], []int{1, 1, 2}[seed%3]
			s := newSite(t, uint64(seed), size, tolerance)
			s.overlapping = seed/3%2 == 1
			s.awaitLeader()
			s.play(time.Minute)
			s.settle()
			s.checkVoters()
			s.finalFault()
			t.Log(s.counts)
		})
	}
}
