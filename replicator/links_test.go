package replicator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// stall holds up the links between the leader and some members in turn, as lost
// packets do that are sent again after 200 ms, and returns the members that the
// leader would hand its office to meanwhile.
func (c *cluster) stall(leader *host, members []*host, rounds int) []modeler.MemberID {
	var refuges []modeler.MemberID
	for range rounds {
		for _, h := range members {
			until := c.now + 250*time.Millisecond
			c.cuts[link{leader.id, h.id}] = until
			c.cuts[link{h.id, leader.id}] = until
			c.pass(150 * time.Millisecond)
			if id := leader.r.Refuge(c.reading(leader)); id != 0 && !slices.Contains(refuges, id) {
				refuges = append(refuges, id)
			}
		}
	}
	return refuges
}

// TestRefugeFromStallingLinks guards against a leader in a failure domain that
// loses packets, which holds up the whole cell for as long as that lasts, and
// against hand-overs for what is wrong elsewhere.
func TestRefugeFromStallingLinks(t *testing.T) {
	for name, play := range map[string]struct {
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
			c.load = 0
			leader := c.lead()
			c.pass(time.Second)
			members := c.others(leader)[:play.stalling]
			refuges := c.stall(leader, members, play.rounds)
			assert.Equal(t, len(refuges) > 0, play.leaves, "%v", refuges)
			for _, id := range refuges {
				assert.Check(t, slices.ContainsFunc(members, func(h *host) bool { return h.id == id }), "member %d has sound links", id)
			}
			leader.r.ForgetStalls()
			assert.Equal(t, leader.r.Refuge(c.reading(leader)), modeler.MemberID(0))
		})
	}
}
