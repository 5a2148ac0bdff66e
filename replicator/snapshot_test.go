package replicator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

const (
	largeState = 20 << 20
	slowLink   = 10e6 // bytes a second
)

// newLaggingCluster returns a group of three members with slow links. One member
// is lost for good, and another needs a large snapshot to catch up.
func newLaggingCluster(t *testing.T, seed uint64) (c *cluster, leader, behind *host) {
	c = newCluster(t, seed, 3, 0)
	c.pieceSize = 0
	c.padding = largeState
	for _, h := range c.hosts {
		c.start(h) // with pieces of the default size
	}
	leader = c.awaitLeader()
	others := c.others(leader)
	behind = others[0]
	c.crash(behind)
	for range 20 {
		c.commit(leader, 5, others[1])
	}
	c.compact(leader)
	c.runFor(100 * time.Millisecond)
	c.crash(others[1])
	others[1].diskLost = true
	c.bandwidth = slowLink
	c.inFlight = nil
	return c, leader, behind
}

// TestSnapshotOverSlowLink guards against a large snapshot that delays the
// heartbeats behind it until the leader loses its quorum. The last two members of
// a group would then never commit again.
func TestSnapshotOverSlowLink(t *testing.T) {
	c, leader, behind := newLaggingCluster(t, 1)
	c.start(behind)
	term := leader.r.Status().Term
	c.runUntil(10*time.Second, "catching up", func() bool { return behind.applied >= leader.applied })
	c.commit(leader, 1, behind)
	assert.Equal(t, leader.r.Status().Term, term, "the leader has changed during the transfer")
	sent := c.counts["snapshot bytes"]
	t.Logf("%d bytes were sent", sent)
	assert.Assert(t, sent >= largeState && sent < largeState*5/4)
}

// TestSnapshotResumes guards against a snapshot transfer that restarts from the
// beginning after each lost link, and so never ends when the link breaks
// repeatedly.
func TestSnapshotResumes(t *testing.T) {
	c, leader, behind := newLaggingCluster(t, 2)
	c.start(behind)
	caught := false
	for range 10 {
		// A whole snapshot takes 2.1 s on the link.
		for end := c.now + 1500*time.Millisecond; c.now < end; {
			c.step(time.Millisecond)
			caught = caught || behind.applied >= leader.applied
		}
		span := 300 * time.Millisecond
		c.cutUntil[link{leader.id, behind.id}] = c.now + span
		c.cutUntil[link{behind.id, leader.id}] = c.now + span
		c.inFlight = nil
		c.runFor(span)
	}
	assert.Assert(t, caught, "the member has not caught up between the cuts")
	sent := c.counts["snapshot bytes"]
	t.Logf("%d bytes were sent", sent)
	assert.Assert(t, sent >= largeState && sent < largeState*2)
}

// TestTailIsBoundedInBytes guards against a compacted log whose kept entries have
// an unlimited size, since a single ticket may take 4 MiB, and against one that
// keeps too few entries for a slow member, which then needs a snapshot.
func TestTailIsBoundedInBytes(t *testing.T) {
	for _, one := range []struct{ entries, installed int }{{2, 0}, {8, 1}} {
		c := newCluster(t, 3, 3, 0)
		c.tailBytes = 500_000
		for _, h := range c.hosts {
			c.start(h)
		}
		leader := c.awaitLeader()
		behind := c.others(leader)[0]
		c.crash(behind)
		for range one.entries {
			_, _, err := leader.r.Propose(c.reading(leader), make([]byte, 100_000))
			assert.NilError(t, err)
			c.runFor(20 * time.Millisecond)
		}
		c.compact(leader)
		c.runFor(100 * time.Millisecond)
		c.start(behind)
		c.runUntil(10*time.Second, "catching up", func() bool { return behind.applied >= leader.applied })
		assert.Equal(t, c.counts["installed"], one.installed, "%d entries", one.entries)
	}
}

// TestPiecesOfTwoLeaders guards against a snapshot that is composed of the pieces
// of two leaders, which may encode equal states differently.
func TestPiecesOfTwoLeaders(t *testing.T) {
	follower := replicator.New(replicator.Config{Self: 1}, replicator.Saved{
		Snapshot: modeler.Snapshot{Index: 1, Term: 1, Membership: modeler.Membership{Members: []modeler.Member{{ID: 1}, {ID: 2}, {ID: 3}}}},
	}, 0)
	piece := func(from modeler.MemberID, term modeler.Term, offset int, data string) replicator.Output {
		follower.Step(1, modeler.PeerMessage{
			Kind: modeler.InstallSnapshot, From: from, To: 1, Term: term, Offset: offset, Size: 4,
			Snapshot: &modeler.Snapshot{Index: 9, Term: 1, Data: []byte(data)},
		})
		return follower.Output()
	}
	answer := piece(2, 2, 0, "ab").Messages[0]
	assert.Assert(t, answer.Granted && answer.Offset == 2)
	refusal := piece(3, 3, 2, "yz").Messages[0]
	assert.Assert(t, !refusal.Granted && refusal.Offset == 0, "%+v", refusal)
	piece(3, 3, 0, "wx")
	assert.Equal(t, string(piece(3, 3, 2, "yz").Snapshot.Data), "wxyz")
}
