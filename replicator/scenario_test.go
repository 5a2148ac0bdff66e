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

// awaitLeader runs the cluster until a member holds the lease, and returns it.
func (c *cluster) awaitLeader() *host {
	c.t.Helper()
	c.runUntil(10*time.Second, "lease", func() bool { return c.leaseHolder() != nil })
	return c.leaseHolder()
}

// runFor runs steps without new faults for the given span of true time.
func (c *cluster) runFor(span time.Duration) {
	c.t.Helper()
	end := c.now + span
	c.runUntil(span+time.Second, "end", func() bool { return c.now >= end })
}

// others returns the running hosts except the given one.
func (c *cluster) others(h *host) []*host {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(o *host) bool { return o == h || o.r == nil })
}

// commit proposes entries and runs the cluster until the leader and the given
// hosts have applied them.
func (c *cluster) commit(leader *host, count int, hosts ...*host) {
	c.t.Helper()
	first, err := c.propose(leader, count)
	assert.NilError(c.t, err)
	last := first + modeler.Index(count) - 1
	c.runUntil(10*time.Second, "commit", func() bool {
		return !slices.ContainsFunc(append(hosts, leader), func(h *host) bool { return h.applied < last })
	})
}

// changeMembers proposes a membership until the leader accepts it, and waits for
// its commit.
func (c *cluster) changeMembers(leader *host, edit func([]modeler.Member) []modeler.Member) {
	c.t.Helper()
	c.runUntil(10*time.Second, "change of members", func() bool {
		members := modeler.Membership{Members: edit(slices.Clone(leader.r.Status().Members.Members))}
		err := leader.r.ChangeMembers(c.reading(leader), members)
		c.processOutput(leader)
		return err == nil
	})
	index := leader.r.Status().Last
	c.runUntil(10*time.Second, "commit of the change", func() bool { return leader.applied >= index })
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

// TestCutMembers guards against a follower whose links are cut and that unseats
// the leader, and against a leader whose links are cut and that keeps the other
// members from electing a new one.
func TestCutMembers(t *testing.T) {
	for _, way := range []int{cutOutgoing, cutIncoming, cutBoth} {
		t.Run(fmt.Sprintf("follower/way=%d", way), func(t *testing.T) {
			c := newCluster(t, 7, 3, 0.01)
			leader := c.awaitLeader()
			term := leader.r.Status().Term
			victim := c.others(leader)[0]
			c.cutOff(victim, way, 10*time.Second)
			c.commit(leader, 100, c.others(leader)[1])
			c.runFor(10 * time.Second)
			c.commit(leader, 1, victim)
			assert.Equal(t, c.leaseHolder(), leader)
			assert.Equal(t, leader.r.Status().Term, term)
		})
		t.Run(fmt.Sprintf("leader/way=%d", way), func(t *testing.T) {
			c := newCluster(t, 7, 3, 0.01)
			old := c.awaitLeader()
			c.cutOff(old, way, time.Minute)
			c.runUntil(10*time.Second, "new leader", func() bool { return c.leaseHolder() != nil && c.leaseHolder() != old })
			leader := c.leaseHolder()
			c.commit(leader, 100)
			c.runFor(5 * time.Second)
			assert.Equal(t, c.leaseHolder(), leader)
			assert.Assert(t, old.r.Status().Role != replicator.Leader)
			clear(c.cutUntil)
			c.commit(leader, 1, old)
			assert.Equal(t, c.leaseHolder(), leader)
		})
	}
}

// TestHigherTermKeepsLeader guards against a member in a higher term, after an
// election that it could not finish, that unseats the leader or never rejoins
// the group.
func TestHigherTermKeepsLeader(t *testing.T) {
	c := newCluster(t, 3, 3, 0.01)
	leader := c.awaitLeader()
	victim := c.others(leader)[0]
	c.crash(victim)
	victim.disk.HardState = modeler.HardState{Term: 50, Vote: victim.id}
	c.start(victim)
	gap := time.Duration(0)
	for range 1000 {
		before := c.now
		c.runFor(time.Millisecond)
		if c.leaseHolder() == nil {
			gap += c.now - before
		}
	}
	assert.Equal(t, c.leaseHolder(), leader)
	assert.Assert(t, leader.r.Status().Term > 50)
	assert.Assert(t, gap < 100*time.Millisecond, "no lease for %s", gap)
	c.commit(leader, 1, victim)
}

// TestPausedLeader guards against a leader that is paused until another member
// leads, and that acts on its expired lease in the first call after the pause.
func TestPausedLeader(t *testing.T) {
	c := newCluster(t, 5, 3, 0.01)
	old := c.awaitLeader()
	old.pausedUntil = c.now + 6*time.Second
	c.runUntil(5*time.Second, "new leader", func() bool { return c.leaseHolder() != nil && c.leaseHolder() != old })
	assert.Equal(t, old.r.Status().Role, replicator.Leader)
	assert.Assert(t, !old.r.LeaseValid(c.reading(old)))
	_, err := c.propose(old, 1)
	assert.Assert(t, err != nil)
	assert.Equal(t, classifier.KindOf(err).Answer().Outcome, classifier.OutcomeNotRun)
}

// TestLeaseEndsBeforeVotes guards against a lease that is still valid when the
// followers grant votes again. The clocks drift apart as far as allowed: the
// leader's is 1% slow, the followers' are 1% fast. In one case a follower
// restarts after it has answered the leader.
func TestLeaseEndsBeforeVotes(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart=%t", restart), func(t *testing.T) {
			c := newCluster(t, 19, 3, 0)
			old := c.awaitLeader()
			candidate, follower := c.others(old)[0], c.others(old)[1]
			c.shortestTimeouts = true
			for _, h := range c.hosts {
				h.clockOffset, h.startedAt, h.clockRate = c.reading(h), c.now, 1.01
			}
			old.clockRate = 0.99
			if restart {
				c.cutOff(candidate, cutBoth, 990*time.Millisecond)
			}
			c.runFor(time.Second)
			c.cutOff(old, cutBoth, time.Minute)
			if restart {
				c.crash(follower)
				c.start(follower)
			}
			votes := len(c.votes)
			c.runUntil(5*time.Second, "vote", func() bool { return len(c.votes) > votes })
			assert.Assert(t, !old.r.LeaseValid(c.reading(old)))
		})
	}
}

// TestEarlierTermNotCounted guards against a leader that commits an entry of an
// earlier term as soon as a quorum holds it. A later leader may still replace
// such an entry.
func TestEarlierTermNotCounted(t *testing.T) {
	members := modeler.Membership{Members: []modeler.Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	r := replicator.New(replicator.Config{Self: 1}, replicator.Saved{
		HardState: modeler.HardState{Term: 3},
		Snapshot:  modeler.Snapshot{Index: 1, Term: 1, Membership: members},
		Entries:   []modeler.LogEntry{{Index: 2, Term: 2}},
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

// TestLearnerNotCounted guards against a commit or a lease for which a learner
// was counted into the quorum.
func TestLearnerNotCounted(t *testing.T) {
	c := newCluster(t, 9, 3, 0)
	leader := c.awaitLeader()
	learner := c.addHost(replicator.Saved{})
	c.changeMembers(leader, add(learner.id))
	c.commit(leader, 1, learner)
	for _, h := range c.others(leader) {
		if h != learner {
			c.cutOff(h, cutBoth, time.Minute)
		}
	}
	index, err := c.propose(leader, 1)
	assert.NilError(t, err)
	c.runFor(time.Second)
	assert.Assert(t, learner.disk.Entries[len(learner.disk.Entries)-1].Index >= index)
	assert.Assert(t, leader.r.Status().Commit < index)
	assert.Assert(t, c.leaseHolder() == nil)
	_, err = c.propose(leader, 1)
	assert.Equal(t, classifier.KindOf(err), classifier.NoQuorum)
	c.runFor(5 * time.Second)
	assert.Equal(t, learner.r.Status().Role, replicator.Follower)
}

// TestSecondLossAfterRepair guards against lost entries when the leader loses its
// disk after a new member has replaced one with a lost disk: the new member is
// then the only one left with some of the entries.
func TestSecondLossAfterRepair(t *testing.T) {
	c := newCluster(t, 11, 3, 0.01)
	leader := c.awaitLeader()
	c.commit(leader, 300, c.others(leader)...)
	c.compact(leader)
	c.loseDisk(c.others(leader)[0])
	spare := c.hosts[3]
	c.commit(leader, 300)
	c.changeMembers(leader, add(spare.id))
	c.changeMembers(leader, promote(spare.id))
	for _, h := range c.hosts {
		if h.diskLost {
			c.changeMembers(leader, remove(h.id))
		}
	}
	c.commit(leader, 300)
	c.loseDisk(leader)
	next := c.awaitLeader()
	assert.Assert(t, next != leader)
	c.commit(next, 1, spare)
}

// TestUncommittedRemoval guards against a group that stays without a leader when
// a leader's own removal is on its disk only. No other member has a log that the
// remaining quorum would vote for, so the removed member must stand for election
// itself.
func TestUncommittedRemoval(t *testing.T) {
	c := newCluster(t, 13, 4, 0)
	leader := c.awaitLeader()
	c.commit(leader, 1, c.others(leader)...)
	c.loseDisk(c.others(leader)[0])
	c.cutOff(leader, cutOutgoing, 5*time.Second)
	members := modeler.Membership{Members: remove(leader.id)(leader.r.Status().Members.Members)}
	assert.NilError(t, leader.r.ChangeMembers(c.reading(leader), members))
	c.processOutput(leader)
	_, err := c.propose(leader, 1)
	assert.Equal(t, classifier.KindOf(err), classifier.NoLeader)
	c.runFor(5 * time.Second)
	c.runUntil(10*time.Second, "leader without the removed member", func() bool {
		return c.leaseHolder() != nil && len(c.leaseHolder().membership.Members) == 3
	})
	assert.Assert(t, c.leaseHolder() != leader)
}

// TestCompactedWhileInFlight guards against a member that receives no more entries
// after the leader has compacted its log past appends that were lost while the
// number of unanswered appends was at its limit.
func TestCompactedWhileInFlight(t *testing.T) {
	c := newCluster(t, 15, 3, 0)
	leader := c.awaitLeader()
	victim := c.others(leader)[0]
	c.commit(leader, 1, victim)
	c.cutOff(victim, cutIncoming, time.Second)
	for range 20 {
		c.commit(leader, 20)
		c.compact(leader)
	}
	c.runFor(time.Second)
	c.commit(leader, 1, victim)
}

// TestSyncOfReplacedEntries guards against a late confirmation of a write that is
// taken as one for an entry that was truncated and appended again in the meantime.
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

// TestChangeMembersRefusals guards against changes of more than one member, and
// against changes after which the group could have two separate quorums or none.
func TestChangeMembersRefusals(t *testing.T) {
	c := newCluster(t, 17, 3, 0)
	leader := c.awaitLeader()
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
	c.addHost(replicator.Saved{})
	c.cutOff(c.hosts[3], cutBoth, 3*time.Second)
	refused(leader, classifier.None, add(4))
	refused(leader, classifier.Unconfirmed, remove(other.id))
	c.processOutput(leader)
	c.runFor(time.Second)
	refused(leader, classifier.Unconfirmed, promote(4))
	c.commit(leader, 30)
	c.cutOff(c.hosts[3], cutBoth, 0)
	c.changeMembers(leader, promote(4))
	c.changeMembers(leader, remove(leader.id))
	c.runFor(50 * time.Millisecond)
	assert.Equal(t, leader.r.Status().Role, replicator.Follower)
	c.awaitLeader()
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

// TestRestartOfAllElectsFormerLeader guards against a wait for an election timeout
// after all members have restarted at once. The former leader can stand at once,
// since the lease that the others would wait for was its own.
func TestRestartOfAllElectsFormerLeader(t *testing.T) {
	c := newCluster(t, 1, 5, 0)
	former := c.awaitLeader()
	c.commit(former, 3, c.others(former)...)
	c.crashAll()
	c.startAll()
	began := c.now
	// The shortest election timeout is 1 s. This election must take only two
	// round trips and syncs.
	c.runUntil(500*time.Millisecond, "lease", func() bool { return c.leaseHolder() != nil })
	assert.Equal(t, c.leaseHolder().id, former.id, "after %v", c.now-began)
}

// TestRestartWithoutUnsyncedEntries guards against a group that waits for the end
// of the former leader's lease although that member can't be elected. A power
// failure has taken entries that it had not synced.
func TestRestartWithoutUnsyncedEntries(t *testing.T) {
	c := newCluster(t, 3, 5, 0)
	former := c.awaitLeader()
	c.commit(former, 3, c.others(former)...)
	c.crashAll()
	former.disk.Entries = former.disk.Entries[:len(former.disk.Entries)-1]
	c.startAll()
	c.runUntil(500*time.Millisecond, "lease", func() bool { return c.leaseHolder() != nil })
	assert.Assert(t, c.leaseHolder() != former)
}

// TestFormerLeaderWaitsForLaterLease guards against a restarted former leader that
// gets the votes of members which have answered a later leader since.
func TestFormerLeaderWaitsForLaterLease(t *testing.T) {
	c := newCluster(t, 2, 3, 0)
	former := c.awaitLeader()
	c.commit(former, 1, c.others(former)...)
	c.crash(former)
	c.runUntil(5*time.Second, "another lease", func() bool { h := c.leaseHolder(); return h != nil && h != former })
	later := c.leaseHolder()
	c.start(former)
	c.runFor(3 * time.Second)
	assert.Equal(t, c.leaseHolder().id, later.id)
}

// TestLostElectionNamesVoters guards against a group without a leader whose
// members can't tell which voters are missing or refuse.
func TestLostElectionNamesVoters(t *testing.T) {
	c := newCluster(t, 7, 5, 0.01)
	leader := c.awaitLeader()
	followers := c.others(leader)
	behind := followers[0]
	c.cutOff(behind, cutBoth, time.Minute)
	c.commit(leader, 10, followers[1])
	assert.Equal(t, leader.r.Status().LostElection.Count, uint64(0))
	for _, h := range []*host{leader, followers[2], followers[3]} {
		c.crash(h)
	}
	clear(c.cutUntil)
	c.runUntil(10*time.Second, "lost elections on both members", func() bool {
		return behind.r.Status().LostElection.Count > 2 && followers[1].r.Status().LostElection.Count > 2
	})
	crashed := []modeler.Member{{ID: leader.id}, {ID: followers[2].id}, {ID: followers[3].id}}
	for _, test := range []struct {
		h                *host
		granted, refused []modeler.Member
	}{
		{behind, []modeler.Member{{ID: behind.id}}, []modeler.Member{{ID: followers[1].id}}},
		{followers[1], []modeler.Member{{ID: behind.id}, {ID: followers[1].id}}, nil},
	} {
		lost := test.h.r.Status().LostElection
		assert.Equal(t, lost.Role, replicator.PreCandidate)
		assert.Equal(t, lost.Term, test.h.r.Status().Term+1)
		assert.Equal(t, lost.Needed, 3)
		assert.DeepEqual(t, byID(lost.GrantedBy), byID(test.granted))
		assert.DeepEqual(t, byID(lost.RefusedBy), byID(test.refused))
		assert.DeepEqual(t, byID(lost.Silent), byID(crashed))
	}
}

func byID(members []modeler.Member) []modeler.MemberID {
	var ids []modeler.MemberID
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}
