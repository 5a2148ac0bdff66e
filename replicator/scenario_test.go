package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// lead runs the cluster until a member holds the lease.
func (c *cluster) lead() *host {
	c.t.Helper()
	c.until(10*time.Second, "lease", func() bool { return c.holder() != nil })
	return c.holder()
}

func (c *cluster) pass(span time.Duration) {
	c.t.Helper()
	end := c.now + span
	c.until(span+time.Second, "end", func() bool { return c.now >= end })
}

// others returns the running hosts except the given one.
func (c *cluster) others(h *host) []*host {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(o *host) bool { return o == h || o.r == nil })
}

// commit proposes entries and runs until they are applied by the hosts.
func (c *cluster) commit(leader *host, count int, hosts ...*host) {
	c.t.Helper()
	first, err := c.propose(leader, count)
	assert.NilError(c.t, err)
	last := first + modeler.Index(count) - 1
	c.until(10*time.Second, "commit", func() bool {
		return !slices.ContainsFunc(append(hosts, leader), func(h *host) bool { return h.applied < last })
	})
}

// change proposes a membership until it is accepted, and waits for its commit.
func (c *cluster) change(leader *host, edit func([]modeler.Member) []modeler.Member) {
	c.t.Helper()
	c.until(10*time.Second, "change of members", func() bool {
		members := modeler.Membership{Members: edit(slices.Clone(leader.r.Status().Members.Members))}
		err := leader.r.ChangeMembers(c.reading(leader), members)
		c.drain(leader)
		return err == nil
	})
	index := leader.r.Status().Last
	c.until(10*time.Second, "commit of the change", func() bool { return leader.applied >= index })
}

func add(id modeler.MemberID) func([]modeler.Member) []modeler.Member {
	return func(m []modeler.Member) []modeler.Member {
		return append(m, modeler.Member{ID: id, Learner: true})
	}
}

func promote(id modeler.MemberID) func([]modeler.Member) []modeler.Member {
	return func(m []modeler.Member) []modeler.Member {
		m[slices.IndexFunc(m, func(m modeler.Member) bool { return m.ID == id })].Learner = false
		return m
	}
}

func remove(id modeler.MemberID) func([]modeler.Member) []modeler.Member {
	return func(m []modeler.Member) []modeler.Member {
		return slices.DeleteFunc(m, func(m modeler.Member) bool { return m.ID == id })
	}
}

// TestCutMembers guards against a cut follower that unseats the leader, and
// against a cut leader that keeps the others from electing a new one.
func TestCutMembers(t *testing.T) {
	for _, way := range []int{unheard, deaf, both} {
		t.Run(fmt.Sprintf("follower/way=%d", way), func(t *testing.T) {
			c := newCluster(t, 7, 3, 0.01)
			leader := c.lead()
			term := leader.r.Status().Term
			victim := c.others(leader)[0]
			c.cut(victim, way, 10*time.Second)
			c.commit(leader, 100, c.others(leader)[1])
			c.pass(10 * time.Second)
			c.commit(leader, 1, victim)
			assert.Equal(t, c.holder(), leader)
			assert.Equal(t, leader.r.Status().Term, term)
		})
		t.Run(fmt.Sprintf("leader/way=%d", way), func(t *testing.T) {
			c := newCluster(t, 7, 3, 0.01)
			old := c.lead()
			c.cut(old, way, time.Minute)
			c.until(10*time.Second, "new leader", func() bool { return c.holder() != nil && c.holder() != old })
			leader := c.holder()
			c.commit(leader, 100)
			c.pass(5 * time.Second)
			assert.Equal(t, c.holder(), leader)
			assert.Assert(t, old.r.Status().Role != replicator.Leader)
			clear(c.cuts)
			c.commit(leader, 1, old)
			assert.Equal(t, c.holder(), leader)
		})
	}
}

// TestHigherTermKeepsLeader guards against a member whose term is ahead, from
// an election that it could not finish, unseating the leader or staying out
// for good.
func TestHigherTermKeepsLeader(t *testing.T) {
	c := newCluster(t, 3, 3, 0.01)
	leader := c.lead()
	victim := c.others(leader)[0]
	c.crash(victim)
	victim.disk.Durable = modeler.HardState{Term: 50, Vote: victim.id}
	c.start(victim)
	gap := time.Duration(0)
	for range 1000 {
		before := c.now
		c.pass(time.Millisecond)
		if c.holder() == nil {
			gap += c.now - before
		}
	}
	assert.Equal(t, c.holder(), leader)
	assert.Assert(t, leader.r.Status().Term > 50)
	assert.Assert(t, gap < 100*time.Millisecond, "no lease for %s", gap)
	c.commit(leader, 1, victim)
}

// TestPausedLeader guards against a leader that acts on its old lease in its
// first call after a pause, when another member leads.
func TestPausedLeader(t *testing.T) {
	c := newCluster(t, 5, 3, 0.01)
	old := c.lead()
	old.wake = c.now + 6*time.Second
	c.until(5*time.Second, "new leader", func() bool { return c.holder() != nil && c.holder() != old })
	assert.Equal(t, old.r.Status().Role, replicator.Leader)
	assert.Assert(t, !old.r.LeaseValid(c.reading(old)))
	_, err := c.propose(old, 1)
	assert.Assert(t, err != nil)
	assert.Equal(t, classifier.KindOf(err).Answer().Outcome, classifier.OutcomeNotRun)
}

// TestLeaseEndsBeforeVotes guards against a lease that outlasts the time for
// which followers refuse votes, at the worst drift of the clocks, also when a
// follower restarts after it has answered the leader.
func TestLeaseEndsBeforeVotes(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart=%t", restart), func(t *testing.T) {
			c := newCluster(t, 19, 3, 0)
			old := c.lead()
			candidate, follower := c.others(old)[0], c.others(old)[1]
			c.eager = true
			for _, h := range c.hosts {
				h.offset, h.started, h.rate = c.reading(h), c.now, 1.01
			}
			old.rate = 0.99
			if restart {
				c.cut(candidate, both, 990*time.Millisecond)
			}
			c.pass(time.Second)
			c.cut(old, both, time.Minute)
			if restart {
				c.crash(follower)
				c.start(follower)
			}
			votes := len(c.votes)
			c.until(5*time.Second, "vote", func() bool { return len(c.votes) > votes })
			assert.Assert(t, !old.r.LeaseValid(c.reading(old)))
		})
	}
}

// TestEarlierTermNotCounted guards against committing an entry of an earlier
// term because a quorum holds it: a later leader may still replace it.
func TestEarlierTermNotCounted(t *testing.T) {
	members := modeler.Membership{Members: []modeler.Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	r := replicator.New(replicator.Config{Self: 1}, replicator.Saved{
		Durable:  modeler.HardState{Term: 3},
		Snapshot: modeler.Snapshot{Index: 1, Term: 1, Membership: members},
		Entries:  []modeler.LogEntry{{Index: 2, Term: 2}},
	}, 0)
	now := modeler.ClockReading(3 * time.Second)
	r.Tick(now)
	for _, kind := range []modeler.PeerKind{modeler.PreVoteAnswer, modeler.VoteAnswer} {
		r.Step(now, modeler.PeerMessage{Kind: kind, From: 2, To: 1, Term: 4, Granted: true, Round: uint64(now)})
	}
	assert.Equal(t, r.Status().Role, replicator.Leader)
	answer := modeler.PeerMessage{Kind: modeler.AppendAnswer, From: 2, To: 1, Term: 4, Granted: true}
	r.Synced(now, r.Output().Write)
	for i, commit := range []modeler.Index{1, 3} {
		answer.Match = modeler.Index(2 + i)
		answer.LastIndex = answer.Match
		r.Step(now, answer)
		assert.Equal(t, r.Status().Commit, commit)
	}
}

// TestLearnerNotCounted guards against a commit or a lease that a learner
// makes up the quorum of.
func TestLearnerNotCounted(t *testing.T) {
	c := newCluster(t, 9, 3, 0)
	leader := c.lead()
	learner := c.spawn(replicator.Saved{})
	c.change(leader, add(learner.id))
	c.commit(leader, 1, learner)
	for _, h := range c.others(leader) {
		if h != learner {
			c.cut(h, both, time.Minute)
		}
	}
	index, err := c.propose(leader, 1)
	assert.NilError(t, err)
	c.pass(time.Second)
	assert.Assert(t, learner.disk.Entries[len(learner.disk.Entries)-1].Index >= index)
	assert.Assert(t, leader.r.Status().Commit < index)
	assert.Assert(t, c.holder() == nil)
	_, err = c.propose(leader, 1)
	assert.Equal(t, classifier.KindOf(err), classifier.NoQuorum)
	c.pass(5 * time.Second)
	assert.Equal(t, learner.r.Status().Role, replicator.Follower)
}

// TestSecondLossAfterRepair guards against the loss of entries when a host
// that has just replaced a lost disk is the only one left with some of them.
func TestSecondLossAfterRepair(t *testing.T) {
	c := newCluster(t, 11, 3, 0.01)
	leader := c.lead()
	c.commit(leader, 300, c.others(leader)...)
	c.compact(leader)
	c.loseDisk(c.others(leader)[0])
	spare := c.hosts[3]
	c.commit(leader, 300)
	c.change(leader, add(spare.id))
	c.change(leader, promote(spare.id))
	for _, h := range c.hosts {
		if h.lost {
			c.change(leader, remove(h.id))
		}
	}
	c.commit(leader, 300)
	c.loseDisk(leader)
	next := c.lead()
	assert.Assert(t, next != leader)
	c.commit(next, 1, spare)
}

// TestUncommittedRemoval guards against a group without a leader when a
// leader's own removal is on its disk only: no other member has a log that
// the remaining quorum would vote for.
func TestUncommittedRemoval(t *testing.T) {
	c := newCluster(t, 13, 4, 0)
	leader := c.lead()
	c.commit(leader, 1, c.others(leader)...)
	c.loseDisk(c.others(leader)[0])
	c.cut(leader, unheard, 5*time.Second)
	members := modeler.Membership{Members: remove(leader.id)(leader.r.Status().Members.Members)}
	assert.NilError(t, leader.r.ChangeMembers(c.reading(leader), members))
	c.drain(leader)
	_, err := c.propose(leader, 1)
	assert.Equal(t, classifier.KindOf(err), classifier.NoLeader)
	c.pass(5 * time.Second)
	c.until(10*time.Second, "leader without the removed member", func() bool {
		return c.holder() != nil && len(c.holder().view.Members) == 3
	})
	assert.Assert(t, c.holder() != leader)
}

// TestCompactedWhileInFlight guards against a member that gets nothing more
// when its lost appends are compacted away while the window is full.
func TestCompactedWhileInFlight(t *testing.T) {
	c := newCluster(t, 15, 3, 0)
	leader := c.lead()
	victim := c.others(leader)[0]
	c.commit(leader, 1, victim)
	c.cut(victim, deaf, time.Second)
	for range 20 {
		c.commit(leader, 20)
		c.compact(leader)
	}
	c.pass(time.Second)
	c.commit(leader, 1, victim)
}

// TestSyncOfReplacedEntries guards against a late confirmation of a write
// that vouches for an entry which was dropped and appended again since.
func TestSyncOfReplacedEntries(t *testing.T) {
	members := modeler.Membership{Members: []modeler.Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	saved := replicator.Saved{Snapshot: modeler.Snapshot{Index: 1, Term: 1, Membership: members}}
	r := replicator.New(replicator.Config{Self: 3}, saved, 0)
	receive := func(from modeler.MemberID, term, entry modeler.Term) replicator.Output {
		r.Step(0, modeler.PeerMessage{
			Kind: modeler.Append, From: from, To: 3, Term: term, LastIndex: 1, LastTerm: 1,
			Entries: []modeler.LogEntry{{Index: 2, Term: entry}},
		})
		return r.Output()
	}
	first := receive(1, 2, 2)
	receive(2, 3, 3)
	last := receive(1, 4, 2)
	for _, write := range []replicator.Write{first.Write, last.Write} {
		r.Synced(0, write)
		answers := r.Output().Messages
		assert.Equal(t, len(answers), 1)
		want := modeler.Index(1)
		if write == last.Write {
			want = 2
		}
		assert.Equal(t, answers[0].Match, want)
	}
}

// TestChangeMembersRefusals guards against changes that could split the group
// or that aren't one step.
func TestChangeMembersRefusals(t *testing.T) {
	c := newCluster(t, 17, 3, 0)
	leader := c.lead()
	other := c.others(leader)[0]
	refused := func(h *host, kind classifier.Kind, edits ...func([]modeler.Member) []modeler.Member) {
		t.Helper()
		members := slices.Clone(leader.r.Status().Members.Members)
		for _, edit := range edits {
			members = edit(members)
		}
		err := h.r.ChangeMembers(c.reading(h), modeler.Membership{Members: members})
		assert.Equal(t, classifier.KindOf(err), kind, "%v", err)
	}
	refused(other, classifier.NoLeader, add(4))
	refused(leader, classifier.Malformed)
	refused(leader, classifier.Malformed, add(0))
	refused(leader, classifier.Malformed, add(4), add(4))
	refused(leader, classifier.Malformed, add(4), add(5))
	refused(leader, classifier.Malformed, add(4), promote(4))
	refused(leader, classifier.Malformed, add(4), remove(other.id))
	refused(leader, classifier.Malformed, remove(1), remove(2), remove(3))
	refused(leader, classifier.Malformed, remove(other.id), add(other.id))
	c.spawn(replicator.Saved{})
	c.cut(c.hosts[3], both, 3*time.Second)
	refused(leader, classifier.None, add(4))
	refused(leader, classifier.Unconfirmed, remove(other.id))
	c.drain(leader)
	c.pass(time.Second)
	refused(leader, classifier.Unconfirmed, promote(4))
	c.commit(leader, 30)
	c.cut(c.hosts[3], both, 0)
	c.change(leader, promote(4))
	c.change(leader, remove(leader.id))
	c.pass(50 * time.Millisecond)
	assert.Equal(t, leader.r.Status().Role, replicator.Follower)
	c.lead()
}

func (c *cluster) crashAll() {
	for _, h := range c.hosts {
		c.crash(h)
	}
}

func (c *cluster) startAll() {
	for _, h := range c.hosts {
		c.start(h)
	}
}

// Guards against an outage of a whole election after all members have
// restarted at once: the former leader's lease has ended with it.
func TestRestartOfAllElectsFormerLeader(t *testing.T) {
	c := newCluster(t, 1, 5, 0)
	former := c.lead()
	c.commit(former, 3, c.others(former)...)
	c.crashAll()
	c.startAll()
	began := c.now
	// 1 s is the shortest time of an election; this one is to take two round
	// trips and syncs.
	c.until(500*time.Millisecond, "lease", func() bool { return c.holder() != nil })
	assert.Equal(t, c.holder().id, former.id, "after %v", c.now-began)
}

// Guards against a former leader that can't be elected, since a loss of power
// took entries that it had not synced, and leaves the others waiting for the end
// of its lease.
func TestRestartWithoutUnsyncedEntries(t *testing.T) {
	c := newCluster(t, 3, 5, 0)
	former := c.lead()
	c.commit(former, 3, c.others(former)...)
	c.crashAll()
	former.disk.Entries = former.disk.Entries[:len(former.disk.Entries)-1]
	c.startAll()
	c.until(500*time.Millisecond, "lease", func() bool { return c.holder() != nil })
	assert.Assert(t, c.holder() != former)
}

// Guards against a former leader that counts on a release from a member which
// has answered a later one.
func TestFormerLeaderWaitsForLaterLease(t *testing.T) {
	c := newCluster(t, 2, 3, 0)
	former := c.lead()
	c.commit(former, 1, c.others(former)...)
	c.crash(former)
	c.until(5*time.Second, "another lease", func() bool { h := c.holder(); return h != nil && h != former })
	later := c.holder()
	c.start(former)
	c.pass(3 * time.Second)
	assert.Equal(t, c.holder().id, later.id)
}
