package replicator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// stallLinks stalls the links between the leader and some members in turn, like
// lost packets that are retransmitted after 200 ms. It returns the members that
// StallSuccessor names meanwhile.
func (c *cluster) stallLinks(leader *host, members []*host, rounds int) []modeler.MemberID {
	var successors []modeler.MemberID
	for range rounds {
		for _, h := range members {
			until := c.now + 250*time.Millisecond
			c.cutUntil[link{leader.id, h.id}] = until
			c.cutUntil[link{h.id, leader.id}] = until
			c.runFor(150 * time.Millisecond)
			if id := leader.r.StallSuccessor(c.reading(leader)); id != 0 && !slices.Contains(successors, id) {
				successors = append(successors, id)
			}
		}
	}
	return successors
}

// TestStallSuccessor guards against a leader that stays in a failure domain which
// loses packets and so slows the whole cell, and against a transfer of the
// leadership when the links of only a few members lose packets.
func TestStallSuccessor(t *testing.T) {
	for name, test := range map[string]struct {
		stalling, rounds int
		leaves           bool
	}{
		"most links":        {stalling: 3, rounds: 4, leaves: true},
		"one domain's":      {stalling: 2, rounds: 4},
		"one member's":      {stalling: 1, rounds: 8},
		"once":              {stalling: 4, rounds: 1},
		"no link":           {stalling: 0, rounds: 8},
		"all, for a moment": {stalling: 4, rounds: 4, leaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 31, 5, 0.01)
			c.proposalChance = 0
			leader := c.awaitLeader()
			c.runFor(time.Second)
			members := c.others(leader)[:test.stalling]
			successors := c.stallLinks(leader, members, test.rounds)
			assert.Equal(t, len(successors) > 0, test.leaves, "%v", successors)
			for _, id := range successors {
				assert.Check(t, slices.ContainsFunc(members, func(h *host) bool { return h.id == id }), "member %d has sound links", id)
			}
			leader.r.ForgetStalls()
			assert.Equal(t, leader.r.StallSuccessor(c.reading(leader)), modeler.MemberID(0))
		})
	}
}
