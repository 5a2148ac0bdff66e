package replicator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// Guards against a leader that changes the members before an entry of its term is committed: an uncommitted change of an earlier leader could then win an election without a voter in common.
func TestChangeOfMembersAwaitsOwnTerm(t *testing.T) {
	c := newCluster(t, 3, 3, 0)
	var leader *host
	c.runUntil(10*time.Second, "leader", func() bool {
		for _, h := range c.hosts {
			if h.r.Status().Role == replicator.Leader {
				leader = h
			}
		}
		return leader != nil
	})
	assert.Assert(t, c.leaseHolder() == nil)
	members := modeler.Membership{Members: add(4)(leader.r.Status().Members.Members)}
	assert.Equal(t, classifier.KindOf(leader.r.ChangeMembers(c.reading(leader), members)), classifier.Unconfirmed)
	c.awaitLeader()
	assert.NilError(t, leader.r.ChangeMembers(c.reading(leader), members))
}

// Guards against a learner that answers without having the log and becomes a voter, so that commits wait for it.
func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	members := modeler.Membership{Members: []modeler.Member{{ID: 1}, {ID: 2, Learner: true}}}
	now := modeler.ClockReading(time.Hour)
	r := replicator.New(replicator.Config{Self: 1, MaxBatch: 8}, replicator.Saved{Snapshot: modeler.Snapshot{Index: 1, Term: 1, Membership: members}}, now)
	now = now.Add(time.Minute)
	r.Tick(now)
	propose := func() modeler.Index {
		first, _, err := r.Propose(now, make([][]byte, 20)...)
		assert.NilError(t, err)
		r.Synced(now, r.Output().Write)
		return first + 19
	}
	r.Synced(now, r.Output().Write)
	last := propose()
	promoted := modeler.Membership{Members: promote(2)(slices.Clone(members.Members))}
	for _, c := range []struct {
		match modeler.Index
		kind  classifier.Kind
	}{{1, classifier.Unconfirmed}, {last - 9, classifier.Unconfirmed}, {last - 8, classifier.None}} {
		r.Step(now, modeler.PeerMessage{
			Kind: modeler.AppendAnswer, From: 2, To: 1, Term: r.Status().Term, Granted: true,
			LastIndex: c.match, Match: c.match, Round: uint64(now),
		})
		assert.Equal(t, r.Status().Progress[0].CaughtUp, c.kind == classifier.None)
		err := r.ChangeMembers(now, promoted)
		assert.Equal(t, classifier.KindOf(err), c.kind, "at entry %d of %d: %v", c.match, last, err)
	}
}

// Guards against a member that counts its own vote though its newest membership doesn't hold it.
func TestRemovedCandidateDoesNotCountItself(t *testing.T) {
	former := modeler.Membership{Members: []modeler.Member{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}}
	data, err := cbor.Marshal(modeler.Membership{Members: former.Members[1:]})
	assert.NilError(t, err)
	now := modeler.ClockReading(time.Hour)
	r := replicator.New(replicator.Config{Self: 1}, replicator.Saved{
		HardState: modeler.HardState{Term: 1},
		Snapshot:  modeler.Snapshot{Index: 1, Term: 1, Membership: former},
		Entries:   []modeler.LogEntry{{Index: 2, Term: 1, Kind: modeler.MemberEntry, Data: data}},
	}, now)
	now = now.Add(time.Minute)
	r.Tick(now)
	assert.Equal(t, r.Status().Role, replicator.PreCandidate)
	round := uint64(0)
	for _, m := range r.Output().Messages {
		round = m.Round
	}
	for i, role := range []replicator.Role{replicator.PreCandidate, replicator.Candidate} {
		r.Step(now, modeler.PeerMessage{Kind: modeler.PreVoteAnswer, From: modeler.MemberID(i + 2), To: 1, Term: 2, Granted: true, Round: round})
		assert.Equal(t, r.Status().Role, role, "%d of 3 voters have granted", i+1)
	}
}

// Guards against a new leader that takes voters for silent because they have not answered it yet, and against one that never takes them for silent.
func TestSilenceCountsFromElection(t *testing.T) {
	c := newCluster(t, 5, 3, 0)
	former := c.awaitLeader()
	gone, next := c.others(former)[0], c.others(former)[1]
	c.crash(gone)
	c.runFor(5 * time.Second)
	assert.NilError(t, c.transfer(former, next.id))
	c.runUntil(10*time.Second, "transfer", func() bool { return c.leaseHolder() == next })
	elected := c.now
	silence := func() time.Duration {
		for _, p := range next.r.Status().Progress {
			if p.Member.ID == gone.id {
				assert.Assert(t, !p.Answered)
				return c.reading(next).Sub(p.SilentSince)
			}
		}
		t.Fatal("the member is not listed")
		return 0
	}
	assert.Assert(t, silence() < time.Second)
	c.runFor(5 * time.Second)
	assert.Assert(t, silence() >= c.now-elected)
}

// Guards against a replacement that changes more than one voter, since quorums before and after it may then have no member in common.
func TestReplacementChangesOneMember(t *testing.T) {
	leader := modeler.Member{ID: 1, Address: "a"}
	learner := func(id modeler.MemberID, address string) modeler.Member {
		return modeler.Member{ID: id, Address: address, Learner: true}
	}
	held := modeler.Membership{Members: []modeler.Member{leader, learner(2, "b"), learner(3, "b"), learner(4, "")}}
	now := modeler.ClockReading(time.Hour)
	r := replicator.New(replicator.Config{Self: 1, MaxBatch: 8}, replicator.Saved{Snapshot: modeler.Snapshot{Index: 1, Term: 1, Membership: held}}, now)
	now = now.Add(time.Minute)
	r.Tick(now)
	r.Synced(now, r.Output().Write)
	for _, c := range []struct {
		members []modeler.Member
		kind    classifier.Kind
	}{
		{[]modeler.Member{leader, learner(3, "b"), learner(4, ""), learner(5, "c")}, classifier.Malformed},
		{[]modeler.Member{leader, learner(4, ""), learner(5, "b")}, classifier.Malformed},
		{[]modeler.Member{leader, learner(3, "b"), learner(4, ""), {ID: 5, Address: "b"}}, classifier.Malformed},
		{[]modeler.Member{leader, learner(3, "b"), learner(4, ""), learner(5, "b"), learner(6, "b")}, classifier.Malformed},
		{[]modeler.Member{leader, learner(2, "b"), learner(3, "b"), learner(5, "")}, classifier.Malformed},
		{[]modeler.Member{leader, learner(3, "b"), learner(4, ""), learner(5, "b")}, classifier.None},
	} {
		err := r.ChangeMembers(now, modeler.Membership{Members: c.members})
		assert.Equal(t, classifier.KindOf(err), c.kind, "%v: %v", c.members, err)
	}
}
