package replicator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// interceptMessages removes the messages of one kind from the network and returns
// them.
func (c *cluster) interceptMessages(kind modeler.PeerKind) []modeler.PeerMessage {
	var out []modeler.PeerMessage
	c.inFlight = slices.DeleteFunc(c.inFlight, func(p packet) bool {
		if p.m.Kind == kind {
			out = append(out, p.m)
		}
		return p.m.Kind == kind
	})
	return out
}

// interceptTransfer begins a transfer of the leadership, and removes and returns
// the message that tells the target to stand for election.
func (c *cluster) interceptTransfer(leader *host, to modeler.MemberID) modeler.PeerMessage {
	c.t.Helper()
	assert.NilError(c.t, c.transfer(leader, to))
	var caught []modeler.PeerMessage
	c.runUntil(time.Second, "message to the voter", func() bool {
		caught = append(caught, c.interceptMessages(modeler.TransferLeadership)...)
		return len(caught) > 0
	})
	return caught[0]
}

// awaitTransfer waits until a member other than old holds the lease. It returns
// that member and how long this took.
func (c *cluster) awaitTransfer(old *host) (*host, time.Duration) {
	c.t.Helper()
	begun := c.now
	c.runUntil(10*time.Second, "new holder of the lease", func() bool { return c.leaseHolder() != nil && c.leaseHolder() != old })
	return c.leaseHolder(), c.now - begun
}

// TestTransfer guards against a leadership transfer that takes an election
// timeout, leaves the outcome of a proposal unknown, or chooses a lagging member.
func TestTransfer(t *testing.T) {
	for _, size := range []int{3, 5} {
		c := newCluster(t, 21, size, 0.01)
		old := c.awaitLeader()
		behind := c.others(old)[0]
		c.cutOff(behind, cutIncoming, time.Minute)
		c.commit(old, 100)
		last, err := c.propose(old, 1)
		assert.NilError(t, err)
		term := old.r.Status().Term
		assert.NilError(t, c.transfer(old, 0))
		_, err = c.propose(old, 1)
		assert.Equal(t, classifier.KindOf(err), classifier.NoLeader)
		next, took := c.awaitTransfer(old)
		assert.Assert(t, took < 100*time.Millisecond, "no lease for %s", took)
		assert.Assert(t, next != behind)
		assert.Equal(t, next.r.Status().Term, term+1)
		assert.Assert(t, old.applied >= last, "the proposal before the transfer has no outcome on the old leader")
		assert.Assert(t, !old.r.Transferring())
		c.commit(next, 10, old)
	}
}

// TestTransferGivesUpLease guards against a leader that acts on its lease after it
// has told another member to stand for election. That member can lead at once,
// since it doesn't wait for an election timeout.
func TestTransferGivesUpLease(t *testing.T) {
	c := newCluster(t, 23, 3, 0.01)
	old := c.awaitLeader()
	next := c.others(old)[0]
	c.cutOff(old, cutIncoming, 0)
	m := c.interceptTransfer(old, next.id)
	assert.Assert(t, !old.r.LeaseValid(c.reading(old)))
	assert.Equal(t, old.r.LeaseEnd(c.reading(old)), modeler.ClockReading(0))
	// The old leader doesn't hear of the new one.
	c.cutOff(old, cutBoth, 400*time.Millisecond)
	next.r.Step(c.reading(next), m)
	c.processOutput(next)
	holder, took := c.awaitTransfer(old)
	assert.Equal(t, holder, next)
	assert.Assert(t, took < 100*time.Millisecond, "no lease for %s", took)
}

// TestTransferTargetFails guards against a group that stays without a leader, or
// waits for an election timeout, when the target of a transfer crashes or pauses
// before or after it is told to stand for election.
func TestTransferTargetFails(t *testing.T) {
	for _, fault := range []string{"dies", "pauses"} {
		for _, told := range []bool{false, true} {
			c := newCluster(t, 25, 3, 0.01)
			old := c.awaitLeader()
			victim, other := c.others(old)[0], c.others(old)[1]
			fail := func() {
				if fault == "dies" {
					c.crash(victim)
				} else {
					victim.pausedUntil = c.now + 3*time.Second
				}
			}
			c.commit(old, 10, victim, other)
			// Only the victim has answered recently, so it is chosen first.
			c.cutOff(other, cutBoth, 1200*time.Millisecond)
			c.runFor(1100 * time.Millisecond)
			if told {
				c.interceptTransfer(old, 0)
				fail()
			} else {
				_, err := c.propose(old, 1)
				assert.NilError(t, err)
				fail()
				assert.NilError(t, c.transfer(old, 0))
			}
			c.cutOff(other, cutBoth, 0)
			holder, took := c.awaitTransfer(victim)
			c.runUntil(5*time.Second, "end of the transfer", func() bool { return !old.r.Transferring() })
			assert.Assert(t, took < 700*time.Millisecond, "%s, told=%t: no lease for %s", fault, told, took)
			c.commit(c.awaitLeader(), 10, other)
			assert.Assert(t, holder != victim)
			c.runFor(4 * time.Second)
			if victim.r != nil {
				c.commit(c.awaitLeader(), 10, victim)
			}
		}
	}
}

// TestAbortedTransfer guards against a leader that remains without a lease when
// the named target never stands for election.
func TestAbortedTransfer(t *testing.T) {
	c := newCluster(t, 27, 3, 0.01)
	old := c.awaitLeader()
	term := old.r.Status().Term
	c.interceptTransfer(old, c.others(old)[0].id)
	c.runUntil(700*time.Millisecond, "lease again", func() bool { return c.leaseHolder() != nil })
	assert.Equal(t, c.leaseHolder(), old)
	assert.Equal(t, old.r.Status().Term, term+1)
	c.commit(old, 10, c.others(old)...)
}

// TestLateTransfer guards against a transfer message that arrives after a later
// term has begun and unseats the leader of that term, whether or not the target
// has heard of the later term.
func TestLateTransfer(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		c := newCluster(t, 29, 5, 0.01)
		old := c.awaitLeader()
		target := c.others(old)[0]
		m := c.interceptTransfer(old, target.id)
		if cutOff {
			c.cutOff(target, cutIncoming, 900*time.Millisecond)
		}
		c.runUntil(700*time.Millisecond, "lease again", func() bool { return c.leaseHolder() != nil })
		assert.Equal(t, c.leaseHolder(), old)
		c.commit(old, 10)
		term := old.r.Status().Term
		target.r.Step(c.reading(target), m)
		target.r.Step(c.reading(target), m)
		c.processOutput(target)
		assert.Equal(t, target.r.Status().Role == replicator.Candidate, cutOff)
		c.runFor(5 * time.Second)
		assert.Equal(t, c.leaseHolder(), old)
		// A candidate in a higher term makes the leader stand for election again
		// at most once.
		assert.Assert(t, old.r.Status().Term <= term+1)
		c.commit(old, 10, target)
	}
}

// TestTwoTransfers guards against a second transfer that changes the target of
// the first, and against two leaders when two members are told to stand for
// election in the same term.
func TestTwoTransfers(t *testing.T) {
	c := newCluster(t, 31, 5, 0.01)
	old := c.awaitLeader()
	first, second := c.others(old)[0], c.others(old)[1]
	m := c.interceptTransfer(old, first.id)
	assert.NilError(t, c.transfer(old, first.id))
	assert.NilError(t, c.transfer(old, 0))
	assert.Equal(t, classifier.KindOf(c.transfer(old, second.id)), classifier.NoLeader)
	for _, h := range []*host{first, second} {
		m.To = h.id
		h.r.Step(c.reading(h), m)
		c.processOutput(h)
	}
	c.runFor(5 * time.Second)
	c.commit(c.awaitLeader(), 10, c.others(c.awaitLeader())...)
	// The new leader transfers the leadership back.
	back := c.awaitLeader()
	assert.NilError(t, c.transfer(back, old.id))
	next, _ := c.awaitTransfer(back)
	assert.Equal(t, next, old)
}

// TestTransferRefusals guards against a transfer to a member that can't lead: the
// leader itself, an unknown member, a learner, one that is being removed or one
// that doesn't answer.
func TestTransferRefusals(t *testing.T) {
	c := newCluster(t, 33, 4, 0)
	leader := c.awaitLeader()
	members := c.others(leader)
	removed, silent := members[0], members[1]
	refused := func(h *host, to modeler.MemberID, kind classifier.Kind) {
		t.Helper()
		assert.Equal(t, classifier.KindOf(c.transfer(h, to)), kind)
		assert.Assert(t, !h.r.Transferring())
	}
	refused(silent, 0, classifier.NoLeader)
	refused(leader, leader.id, classifier.Unconfirmed)
	refused(leader, 99, classifier.Unconfirmed)
	// Only the leader's log holds the removal.
	next := modeler.Membership{Members: remove(removed.id)(slices.Clone(leader.r.Status().Members.Members))}
	assert.NilError(t, leader.r.ChangeMembers(c.reading(leader), next))
	refused(leader, removed.id, classifier.Unconfirmed)
	c.processOutput(leader)
	c.commit(leader, 1)
	learner := c.addHost(replicator.Saved{})
	c.changeMembers(leader, add(learner.id))
	c.commit(leader, 1, learner)
	refused(leader, learner.id, classifier.Unconfirmed)
	c.cutOff(silent, cutBoth, time.Minute)
	c.runFor(1100 * time.Millisecond)
	refused(leader, silent.id, classifier.Unconfirmed)
	// A member can't be removed while the leadership is transferred to it.
	assert.NilError(t, c.transfer(leader, members[2].id))
	gone := modeler.Membership{Members: remove(members[2].id)(slices.Clone(leader.r.Status().Members.Members))}
	assert.Equal(t, classifier.KindOf(leader.r.ChangeMembers(c.reading(leader), gone)), classifier.NoLeader)
	holder, _ := c.awaitTransfer(leader)
	assert.Equal(t, holder, members[2])
}
