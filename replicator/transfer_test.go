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

// catch removes the messages under way of one kind and returns them.
func (c *cluster) catch(kind modeler.PeerKind) []modeler.PeerMessage {
	var out []modeler.PeerMessage
	c.flying = slices.DeleteFunc(c.flying, func(p packet) bool {
		if p.m.Kind == kind {
			out = append(out, p.m)
		}
		return p.m.Kind == kind
	})
	return out
}

// tell runs the transfer until its message is under way, and takes it.
func (c *cluster) tell(leader *host, to modeler.MemberID) modeler.PeerMessage {
	c.t.Helper()
	assert.NilError(c.t, c.transfer(leader, to))
	var caught []modeler.PeerMessage
	c.until(time.Second, "message to the voter", func() bool {
		caught = append(caught, c.catch(modeler.TransferLeadership)...)
		return len(caught) > 0
	})
	return caught[0]
}

// awaitTransfer waits for another holder and returns how long there was none.
func (c *cluster) awaitTransfer(old *host) (*host, time.Duration) {
	c.t.Helper()
	begun := c.now
	c.until(10*time.Second, "new holder of the lease", func() bool { return c.holder() != nil && c.holder() != old })
	return c.holder(), c.now - begun
}

// TestTransfer guards against a planned change of the leader that costs an
// election timeout, loses proposals, or ends at a member that lags.
func TestTransfer(t *testing.T) {
	for _, size := range []int{3, 5} {
		c := newCluster(t, 21, size, 0.01)
		old := c.lead()
		behind := c.others(old)[0]
		c.cut(behind, deaf, time.Minute)
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

// TestTransferGivesUpLease guards against an old leader that acts after it has
// told another member to stand: that member needs no election timeout.
func TestTransferGivesUpLease(t *testing.T) {
	c := newCluster(t, 23, 3, 0.01)
	old := c.lead()
	next := c.others(old)[0]
	c.cut(old, deaf, 0)
	m := c.tell(old, next.id)
	assert.Assert(t, !old.r.LeaseValid(c.reading(old)))
	assert.Equal(t, old.r.LeaseEnd(c.reading(old)), modeler.ClockReading(0))
	// The old leader does not hear of the new one.
	c.cut(old, both, 400*time.Millisecond)
	next.r.Step(c.reading(next), m)
	c.drain(next)
	holder, took := c.awaitTransfer(old)
	assert.Equal(t, holder, next)
	assert.Assert(t, took < 100*time.Millisecond, "no lease for %s", took)
}

// TestTransferTargetFails guards against a group that stays without a leader,
// or waits for an election timeout, when the chosen voter dies or pauses.
func TestTransferTargetFails(t *testing.T) {
	for _, fault := range []string{"dies", "pauses"} {
		for _, told := range []bool{false, true} {
			c := newCluster(t, 25, 3, 0.01)
			old := c.lead()
			victim, other := c.others(old)[0], c.others(old)[1]
			fail := func() {
				if fault == "dies" {
					c.crash(victim)
				} else {
					victim.wake = c.now + 3*time.Second
				}
			}
			c.commit(old, 10, victim, other)
			// Only the victim has answered lately, so it is chosen first.
			c.cut(other, both, 1200*time.Millisecond)
			c.pass(1100 * time.Millisecond)
			if told {
				c.tell(old, 0)
				fail()
			} else {
				_, err := c.propose(old, 1)
				assert.NilError(t, err)
				fail()
				assert.NilError(t, c.transfer(old, 0))
			}
			c.cut(other, both, 0)
			holder, took := c.awaitTransfer(victim)
			c.until(5*time.Second, "end of the transfer", func() bool { return !old.r.Transferring() })
			assert.Assert(t, took < 700*time.Millisecond, "%s, told=%t: no lease for %s", fault, told, took)
			c.commit(c.lead(), 10, other)
			assert.Assert(t, holder != victim)
			c.pass(4 * time.Second)
			if victim.r != nil {
				c.commit(c.lead(), 10, victim)
			}
		}
	}
}

// TestTransferReclaims guards against a leader that leads on without a lease
// when the voter that its caller named never answers.
func TestTransferReclaims(t *testing.T) {
	c := newCluster(t, 27, 3, 0.01)
	old := c.lead()
	term := old.r.Status().Term
	c.tell(old, c.others(old)[0].id)
	c.until(700*time.Millisecond, "lease again", func() bool { return c.holder() != nil })
	assert.Equal(t, c.holder(), old)
	assert.Equal(t, old.r.Status().Term, term+1)
	c.commit(old, 10, c.others(old)...)
}

// TestLateTransfer guards against a transfer message that unseats a later
// leader: one that arrives in a later term, and one that reaches a member
// which has not heard of the later term.
func TestLateTransfer(t *testing.T) {
	for _, cut := range []bool{false, true} {
		c := newCluster(t, 29, 5, 0.01)
		old := c.lead()
		target := c.others(old)[0]
		m := c.tell(old, target.id)
		if cut {
			c.cut(target, deaf, 900*time.Millisecond)
		}
		c.until(700*time.Millisecond, "lease again", func() bool { return c.holder() != nil })
		assert.Equal(t, c.holder(), old)
		c.commit(old, 10)
		term := old.r.Status().Term
		target.r.Step(c.reading(target), m)
		target.r.Step(c.reading(target), m)
		c.drain(target)
		assert.Equal(t, target.r.Status().Role == replicator.Candidate, cut)
		c.pass(5 * time.Second)
		assert.Equal(t, c.holder(), old)
		// A candidate that is ahead makes the leader stand again at most once.
		assert.Assert(t, old.r.Status().Term <= term+1)
		c.commit(old, 10, target)
	}
}

// TestTwoTransfers guards against a second transfer that changes the target
// of the first, and against two members told in one term that both lead.
func TestTwoTransfers(t *testing.T) {
	c := newCluster(t, 31, 5, 0.01)
	old := c.lead()
	first, second := c.others(old)[0], c.others(old)[1]
	m := c.tell(old, first.id)
	assert.NilError(t, c.transfer(old, first.id))
	assert.NilError(t, c.transfer(old, 0))
	assert.Equal(t, classifier.KindOf(c.transfer(old, second.id)), classifier.NoLeader)
	for _, h := range []*host{first, second} {
		m.To = h.id
		h.r.Step(c.reading(h), m)
		c.drain(h)
	}
	c.pass(5 * time.Second)
	c.commit(c.lead(), 10, c.others(c.lead())...)
	// Back again, from the new leader.
	back := c.lead()
	assert.NilError(t, c.transfer(back, old.id))
	next, _ := c.awaitTransfer(back)
	assert.Equal(t, next, old)
}

// TestTransferRefusals guards against a transfer to a member that can't lead:
// a learner, one that is being removed, one that does not answer.
func TestTransferRefusals(t *testing.T) {
	c := newCluster(t, 33, 4, 0)
	leader := c.lead()
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
	// The removal is in the leader's log only.
	next := modeler.Membership{Members: remove(removed.id)(slices.Clone(leader.r.Status().Members.Members))}
	assert.NilError(t, leader.r.ChangeMembers(c.reading(leader), next))
	refused(leader, removed.id, classifier.Unconfirmed)
	c.drain(leader)
	c.commit(leader, 1)
	learner := c.spawn(replicator.Saved{})
	c.change(leader, add(learner.id))
	c.commit(leader, 1, learner)
	refused(leader, learner.id, classifier.Unconfirmed)
	c.cut(silent, both, time.Minute)
	c.pass(1100 * time.Millisecond)
	refused(leader, silent.id, classifier.Unconfirmed)
	// A removal can't begin while its target takes over.
	assert.NilError(t, c.transfer(leader, members[2].id))
	gone := modeler.Membership{Members: remove(members[2].id)(slices.Clone(leader.r.Status().Members.Members))}
	assert.Equal(t, classifier.KindOf(leader.r.ChangeMembers(c.reading(leader), gone)), classifier.NoLeader)
	holder, _ := c.awaitTransfer(leader)
	assert.Equal(t, holder, members[2])
}
