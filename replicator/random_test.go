package replicator_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// envInt returns a number from the environment or the standard value. It allows
// for longer runs than those in CI.
func envInt(name string, standard int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return standard
}

// keepsQuorum reports whether the voters whose disks are intact, not counting the
// given member, form a quorum of the membership.
func (c *cluster) keepsQuorum(members modeler.Membership, without modeler.MemberID) bool {
	voters, alive := 0, 0
	for _, member := range members.Members {
		if member.Learner {
			continue
		}
		voters++
		if !c.hosts[member.ID-1].diskLost && member.ID != without {
			alive++
		}
	}
	return alive > voters/2
}

// loseDisk removes a host for good and starts a new one with an empty disk. It
// does nothing if a membership would lose its quorum.
func (c *cluster) loseDisk(victim *host) {
	for _, h := range c.hosts {
		if !h.diskLost && len(h.membership.Members) > 0 && !c.keepsQuorum(h.membership, victim.id) {
			return
		}
	}
	c.counts["disks lost"]++
	c.note("%d loses its disk", victim.id)
	victim.r, victim.operations, victim.diskLost = nil, nil, true
	c.addHost(replicator.Saved{})
}

// changeRandomMember proposes a change of one member to a leader: it removes,
// promotes or adds a member as an operator would.
func (c *cluster) changeRandomMember(h *host) {
	members := modeler.Membership{Members: slices.Clone(h.r.Status().Members.Members)}
	voters, learners := 0, 0
	for _, member := range members.Members {
		if member.Learner {
			learners++
		} else {
			voters++
		}
	}
	spare := slices.IndexFunc(c.hosts, func(other *host) bool {
		known := slices.ContainsFunc(members.Members, func(m modeler.Member) bool { return m.ID == other.id })
		return !other.diskLost && !other.removed && !known
	})
	pick := c.rng.IntN(len(members.Members))
	target := c.hosts[members.Members[pick].ID-1]
	switch {
	case target.diskLost || target.removed || voters > 3 && !members.Members[pick].Learner && c.rng.IntN(4) == 0:
		members.Members = slices.Delete(members.Members, pick, pick+1)
		if voters <= 2 || !c.keepsQuorum(members, 0) {
			return
		}
		target.removed = true
	case members.Members[pick].Learner:
		members.Members[pick].Learner = false
	case spare >= 0 && learners == 0:
		members.Members = append(members.Members, modeler.Member{ID: c.hosts[spare].id, Learner: true})
	default:
		return
	}
	if err := h.r.ChangeMembers(c.reading(h), members); err == nil {
		c.counts["member changes"]++
		c.note("%d changes members to %v", h.id, members.Members)
	}
	c.processOutput(h)
}

// injectFault causes one random fault.
func (c *cluster) injectFault() {
	h := c.hosts[c.rng.IntN(len(c.hosts))]
	if h.diskLost {
		return
	}
	span := time.Duration(c.rng.Int64N(int64(4 * time.Second)))
	switch c.rng.IntN(13) {
	case 0, 1, 2:
		if h.r == nil {
			c.start(h)
			return
		}
		c.crash(h)
		if c.rng.IntN(2) == 0 {
			c.start(h)
		}
	case 3, 4:
		c.counts["pauses"]++
		c.note("%d pauses for %s", h.id, span)
		h.pausedUntil = c.now + span
	case 5:
		c.counts["links cut"]++
		c.cutUntil[link{h.id, c.hosts[c.rng.IntN(len(c.hosts))].id}] = c.now + span
	case 6, 7, 8:
		c.counts["hosts cut"]++
		way := 1 + c.rng.IntN(3)
		c.note("%d is cut for %s, way %d", h.id, span, way)
		c.cutOff(h, way, span)
	case 9, 10, 11:
		// A member cut off from the leader stands for election while the other
		// members still hear the leader.
		leader := c.leaseHolder()
		if leader == nil || leader == h {
			return
		}
		c.counts["leader's links cut"]++
		c.note("%d is cut from the leader for %s", h.id, span)
		c.cutUntil[link{leader.id, h.id}] = c.now + span
		if c.rng.IntN(2) == 0 {
			c.cutUntil[link{h.id, leader.id}] = c.now + span
		}
	case 12:
		if len(c.hosts) < 14 && c.rng.IntN(3) == 0 {
			c.loseDisk(h)
		}
	}
}

// randomStep runs one step with random proposals, membership changes, transfers
// and snapshots, and with a fault in one of faultInterval steps on average.
func (c *cluster) randomStep(faultInterval int) {
	if c.rng.IntN(faultInterval) == 0 {
		c.injectFault()
	}
	for _, h := range c.hosts {
		if h.r == nil && !h.diskLost && c.rng.IntN(150) == 0 {
			c.start(h)
		}
		if !c.isRunning(h) {
			continue
		}
		if c.rng.Float64() < c.proposalChance && h.r.Status().Role == replicator.Leader {
			_, _ = c.propose(h, 1+c.rng.IntN(12))
		}
		if c.rng.IntN(50) == 0 && h.r.Status().Role == replicator.Leader {
			c.changeRandomMember(h)
		}
		if c.rng.IntN(300) == 0 && h.r.Status().Role == replicator.Leader {
			_ = c.transfer(h, modeler.MemberID(c.rng.IntN(len(c.hosts)+1)))
		}
		if c.rng.IntN(200) == 0 {
			c.compact(h)
		}
	}
	if c.rng.IntN(500) == 0 {
		c.drop, c.repeat, c.delay = c.rng.Float64()*0.2, c.rng.Float64()*0.2, c.rng.Float64()*0.1
		c.slowSync = c.rng.IntN(2) == 0
		// Without proposals all logs stay up to date, so that any candidate can
		// win.
		c.proposalChance = []float64{0, 0, 0.05, 0.5}[c.rng.IntN(4)]
	}
	c.step(time.Duration(c.rng.Int64N(int64(12 * time.Millisecond))))
}

// endFaults ends all faults and requires that the group recovers: a member holds
// the lease, and a new entry is committed on all members.
func (c *cluster) endFaults() {
	c.drop, c.repeat, c.delay, c.slowSync = 0, 0, 0, false
	clear(c.cutUntil)
	for _, h := range c.hosts {
		h.pausedUntil = 0
		if h.r == nil && !h.diskLost {
			c.start(h)
		}
	}
	c.runUntil(20*time.Second, "lease", func() bool { return c.leaseHolder() != nil })
	var index modeler.Index
	c.runUntil(20*time.Second, "accepted proposal", func() bool {
		leaseHolder := c.leaseHolder()
		if leaseHolder == nil {
			return false
		}
		first, err := c.propose(leaseHolder, 1)
		index = first
		return err == nil
	})
	c.runUntil(20*time.Second, "commit on all members", func() bool {
		leaseHolder := c.leaseHolder()
		if leaseHolder == nil {
			return false
		}
		return !slices.ContainsFunc(leaseHolder.membership.Members, func(m modeler.Member) bool {
			return !c.hosts[m.ID-1].diskLost && c.hosts[m.ID-1].applied < index
		})
	})
}

// TestRandomSchedules guards against violations of the safety properties under
// random faults: lost, repeated, delayed and reordered messages, links cut in one
// direction, pauses, crashes around each sync and lost disks. Meanwhile members
// change, the leadership is transferred and snapshots are taken, on clocks that
// drift by up to 1%. At the end the faults stop and the group must recover.
func TestRandomSchedules(t *testing.T) {
	first := envInt("REPLICATOR_SEED", 1)
	schedules := envInt("REPLICATOR_SCHEDULES", 100)
	steps := envInt("REPLICATOR_STEPS", 6000)
	total := map[string]int{}
	for seed := first; seed < first+schedules; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			c := newCluster(t, uint64(seed), 3+2*(seed%2), 0.01)
			faultInterval := []int{50, 150, 500}[seed/2%3]
			for range steps {
				c.randomStep(faultInterval)
				if c.failure != "" {
					c.report()
				}
			}
			c.endFaults()
			for what, n := range c.counts {
				total[what] += n
			}
		})
	}
	t.Logf("%d schedules of %d steps from seed %d: %v", schedules, steps, first, total)
	for _, what := range []string{
		"leaders", "leases", "committed", "crashes", "pauses", "links cut", "hosts cut",
		"disks lost", "member changes", "snapshots", "installed",
		"transfers", "candidates told", "transfers done", "former leaders stand",
	} {
		if schedules*steps >= 100000 && total[what] == 0 {
			t.Errorf("no schedule had %s", what)
		}
	}
}
