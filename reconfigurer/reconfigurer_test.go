package reconfigurer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reconfigurer"
	"goldcreststack.example/goldcreststack/replicator"
)

const now = modeler.ClockReading(time.Hour)

// group is a leader's status, with the times that its members have been silent.
type group struct {
	policy reconfigurer.Policy
	status replicator.Status
	silent map[modeler.MemberID]time.Duration
	// unheard says that the silent members have not answered this leader.
	unheard bool
	// leaving are the members that are about to stop.
	leaving []modeler.MemberID
}

// newGroup returns a group led by its first voter, of which the last voters and
// learners are silent.
func newGroup(tolerance, voters, silentVoters, learners, silentLearners int) *group {
	g := &group{policy: reconfigurer.Policy{Tolerance: tolerance, ReplaceAfter: 2 * time.Second}, silent: map[modeler.MemberID]time.Duration{}}
	for i := range voters + learners {
		m := modeler.Member{ID: modeler.MemberID(i + 1), Address: fmt.Sprint("host-", i+1), Learner: i >= voters}
		g.status.Members.Members = append(g.status.Members.Members, m)
		if i < voters && i >= voters-silentVoters || i >= voters+learners-silentLearners {
			g.silent[m.ID] = 3 * time.Second
		}
	}
	return g
}

// next applies the next change, and returns false if none is due.
func (g *group) next() bool {
	g.status.Progress = nil
	for _, m := range g.status.Members.Members[1:] {
		since := now.Add(-g.silent[m.ID])
		g.status.Progress = append(g.status.Progress, replicator.Progress{Member: m, Answered: !g.unheard, SilentSince: since, CaughtUp: m.Learner && g.silent[m.ID] == 0})
	}
	change, due := g.policy.Next(now, g.status, g.leaving)
	if due {
		g.status.Members = change.Members
	}
	return due
}

func (g *group) settle(t assert.TestingT) {
	for range 100 {
		if !g.next() {
			return
		}
	}
	assert.Assert(t, false, "the changes don't end")
}

// count returns the numbers of voters, of silent voters and of learners.
func (g *group) count() (voters, silent, learners int) {
	for _, m := range g.status.Members.Members {
		switch {
		case m.Learner:
			learners++
		case g.silent[m.ID] > 0:
			silent++
			voters++
		default:
			voters++
		}
	}
	return voters, silent, learners
}

// Guards against groups in which departed members go on counting, and against
// changes that are worth no further loss.
func TestVoters(t *testing.T) {
	for _, c := range []struct {
		name                                                      string
		tolerance, voters, silentVoters, learners, silentLearners int
		wantVoters, wantSilent, wantLearners                      int
	}{
		{"a learner takes the place of a silent voter", 1, 5, 1, 1, 0, 5, 0, 0},
		{"also in a group of three", 1, 3, 1, 1, 0, 3, 0, 0},
		{"two learners take the places of two silent voters", 2, 9, 2, 2, 0, 9, 0, 0},
		{"without a learner one silent voter of an odd number stays", 1, 5, 1, 0, 0, 5, 1, 0},
		{"two silent voters are removed, which lowers the quorum", 1, 5, 2, 0, 0, 3, 0, 0},
		{"but not below the tolerated losses", 2, 5, 2, 0, 0, 5, 2, 0},
		{"a silent voter of an even number is removed", 1, 6, 1, 0, 0, 5, 0, 0},
		{"departed voters of an earlier release are removed", 1, 8, 3, 0, 0, 5, 0, 0},
		{"the seeds are joined by two more", 1, 3, 0, 2, 0, 5, 0, 0},
		{"the seeds of a large group are joined by six more", 2, 3, 0, 6, 0, 9, 0, 0},
		{"a lone learner waits beside an odd number", 1, 3, 0, 1, 0, 3, 0, 1},
		{"learners wait beside the most voters", 1, 5, 0, 2, 0, 5, 0, 2},
		{"too few voters take any learner", 1, 1, 0, 1, 0, 2, 0, 0},
		{"a silent learner takes no place", 1, 5, 1, 1, 1, 5, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(c.tolerance, c.voters, c.silentVoters, c.learners, c.silentLearners)
			g.settle(t)
			voters, silent, learners := g.count()
			assert.DeepEqual(t, []int{voters, silent, learners}, []int{c.wantVoters, c.wantSilent, c.wantLearners})
		})
	}
}

// Guards against a change after which the group bears fewer losses than before,
// or its committed entries are on fewer disks than the tolerated losses require.
func TestNoChangeWeakensTheGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := rapid.IntRange(1, 3).Draw(t, "tolerance")
		voters := rapid.IntRange(1, 14).Draw(t, "voters")
		silentVoters := rapid.IntRange(0, (voters-1)/2).Draw(t, "silent voters")
		learners := rapid.IntRange(0, 5).Draw(t, "learners")
		g := newGroup(tolerance, voters, silentVoters, learners, rapid.IntRange(0, learners).Draw(t, "silent learners"))
		for range rapid.IntRange(0, 2).Draw(t, "leaving voters") {
			g.leaving = append(g.leaving, modeler.MemberID(rapid.IntRange(1, voters).Draw(t, "leaving")))
		}
		spare := func() (int, int) {
			voters, silent, _ := g.count()
			return voters - silent - reconfigurer.Quorum(voters), reconfigurer.Quorum(voters)
		}
		margin, quorum := spare()
		for range 100 {
			if !g.next() {
				return
			}
			nextMargin, nextQuorum := spare()
			assert.Assert(t, nextMargin >= margin, "the group bears %d further losses, %d before: %v", nextMargin, margin, g.status.Members)
			assert.Assert(t, nextQuorum >= quorum || nextQuorum > tolerance, "entries are on %d disks, %d may be lost", nextQuorum, tolerance)
			margin, quorum = nextMargin, nextQuorum
		}
		t.Fatal("the changes don't end")
	})
}

// Guards against a host without its disk whose former id goes on voting, or that
// is admitted twice.
func TestAdmission(t *testing.T) {
	g := newGroup(1, 5, 0, 0, 0)
	back := modeler.Member{ID: 33, Address: "host-5"}
	change, needed := g.policy.Admit(g.status.Members, back)
	assert.Assert(t, needed && change.Kind == reconfigurer.Replace && change.Member == 33)
	assert.Equal(t, len(change.Members.Members), 5)
	assert.DeepEqual(t, change.Members.Members[4], modeler.Member{ID: 33, Address: "host-5", Learner: true})
	_, needed = g.policy.Admit(change.Members, back)
	assert.Assert(t, !needed)

	// Four voters are too few to lose another one before its successor votes.
	g = newGroup(2, 4, 0, 0, 0)
	change, needed = g.policy.Admit(g.status.Members, modeler.Member{ID: 33, Address: "host-4"})
	assert.Assert(t, needed && change.Kind == reconfigurer.Add)
	g.status.Members = change.Members
	g.settle(t)
	voters, _, learners := g.count()
	assert.Equal(t, voters, 4)
	assert.Equal(t, learners, 0)
	_, found := g.find(4)
	assert.Assert(t, !found, "the former id votes: %v", g.status.Members)
}

func (g *group) find(id modeler.MemberID) (modeler.Member, bool) {
	for _, m := range g.status.Members.Members {
		if m.ID == id {
			return m, true
		}
	}
	return modeler.Member{}, false
}

// Guards against learners that are gone for good and go on receiving the log.
func TestSilentLearnerIsForgotten(t *testing.T) {
	g := newGroup(1, 3, 0, 1, 0)
	g.silent[4] = 11 * time.Second
	g.settle(t)
	_, found := g.find(4)
	assert.Assert(t, !found)
}

// Guards against a voter that stops although a learner waits, and counts until it
// has been silent for long; and against one that only restarts and loses its vote
// to nobody.
func TestLeavingVoterIsReplacedAtOnce(t *testing.T) {
	g := newGroup(1, 3, 0, 1, 0)
	g.leaving = []modeler.MemberID{2}
	g.settle(t)
	_, found := g.find(2)
	assert.Assert(t, !found)
	voters, _, learners := g.count()
	assert.Equal(t, voters, 3)
	assert.Equal(t, learners, 0)

	g = newGroup(1, 5, 0, 0, 0)
	g.leaving = []modeler.MemberID{2}
	assert.Assert(t, !g.next())
}

// Guards against a voter that stops although the only learner may be back at once, and
// the group bears no further loss without it; and against stops that take longer where
// that gains nothing.
func TestLeavingVoterAwaitsLearner(t *testing.T) {
	for _, c := range []struct {
		name                                                      string
		tolerance, voters, silentVoters, learners, silentLearners int
		want                                                      bool
	}{
		{"a learner that answers", 1, 3, 0, 1, 0, true},
		{"also in a group that bears the loss", 1, 5, 0, 1, 0, true},
		{"the only learner is silent", 1, 3, 0, 1, 1, true},
		{"no learner", 1, 3, 0, 0, 0, false},
		{"a silent learner beside a group that bears the loss", 1, 5, 0, 1, 1, false},
		{"a silent learner beside a group that has borne a loss", 1, 5, 1, 1, 1, true},
		{"more losses are tolerated than are left", 2, 5, 0, 1, 1, true},
		{"a large group", 2, 9, 0, 1, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(c.tolerance, c.voters, c.silentVoters, c.learners, c.silentLearners)
			g.next()
			assert.Equal(t, g.policy.MustAwaitSuccessor(now, g.status, 2), c.want)
			assert.Assert(t, !g.policy.MustAwaitSuccessor(now, g.status, 99), "a member that doesn't vote waits")
		})
	}
}

// Guards against a change that can't be committed, since it needs a voter that has
// been lost a moment ago; no further change would be possible.
func TestNoChangeWithoutQuorum(t *testing.T) {
	g := newGroup(1, 4, 0, 0, 0)
	g.leaving = []modeler.MemberID{2}
	g.silent[3], g.silent[4] = time.Second, time.Second
	assert.Assert(t, !g.next())
	g.silent[4] = 0
	assert.Assert(t, g.next())
}

// Guards against a voter that was lost before an election and counts for as long
// after it as if it had been lost only then.
func TestVoterLostBeforeElectionIsReplacedSooner(t *testing.T) {
	g := newGroup(1, 5, 1, 1, 0)
	g.silent[5] = 1500 * time.Millisecond
	assert.Assert(t, !g.next())
	g.unheard = true
	assert.Assert(t, g.next())
}

// Guards against a voter that leaves and loses its vote before its successor votes, so that the loss of another one meanwhile leaves no quorum.
func TestLeavingVoterStaysUntilItsSuccessorVotes(t *testing.T) {
	for voters, tolerance := range map[int]int{3: 1, 5: 1, 9: 2} {
		g := newGroup(tolerance, voters, 0, 1, 0)
		g.leaving = []modeler.MemberID{2}
		spare := voters - reconfigurer.Quorum(voters)
		for g.next() {
			count, _, _ := g.count()
			assert.Assert(t, count-reconfigurer.Quorum(count) >= spare, "%d of %d losses are borne: %v", count-reconfigurer.Quorum(count), spare, g.status.Members.Members)
		}
		_, found := g.find(2)
		assert.Assert(t, !found, "the voter that leaves still votes: %v", g.status.Members.Members)
	}
}

// Guards against changes that end while the members that answer could bear the tolerated losses, but the voters among them can't.
func TestSettledGroupBearsToleratedLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := rapid.IntRange(1, 3).Draw(t, "tolerance")
		voters := rapid.IntRange(1, 16).Draw(t, "voters")
		silentVoters := rapid.IntRange(0, (voters-1)/2).Draw(t, "silent voters")
		learners := rapid.IntRange(0, 8).Draw(t, "learners")
		silentLearners := rapid.IntRange(0, learners).Draw(t, "silent learners")
		g := newGroup(tolerance, voters, silentVoters, learners, silentLearners)
		for i := range rapid.IntRange(0, voters-silentVoters-1).Draw(t, "leaving") {
			g.leaving = append(g.leaving, modeler.MemberID(i+2))
		}
		spare := func() int {
			voters, silent, _ := g.count()
			return voters - silent - reconfigurer.Quorum(voters)
		}
		for before := spare(); g.next(); before = spare() {
			assert.Assert(t, spare() >= before, "%d further losses are borne, %d before: %v", spare(), before, g.status.Members.Members)
		}
		g.leaving = nil
		g.settle(t)
		answering := 0
		for _, m := range g.status.Members.Members {
			if g.silent[m.ID] == 0 {
				answering++
			}
		}
		if answering > 2*tolerance {
			assert.Assert(t, spare() >= tolerance, "%d answer: %v", answering, g.status.Members.Members)
		}
	})
}

// Guards against a live member that loses its vote after it has moved to the address of a departed one.
func TestMovedMemberIsNotTakenForDeparted(t *testing.T) {
	g := newGroup(1, 5, 0, 0, 0)
	change, needed := g.policy.Admit(g.status.Members, modeler.Member{ID: 2, Address: "host-4"})
	assert.Assert(t, needed && change.Kind == reconfigurer.Move)
	g.status.Members = change.Members
	g.settle(t)
	_, found := g.find(2)
	assert.Assert(t, found, "the member that has moved is removed: %v", g.status.Members)
	_, found = g.find(4)
	assert.Assert(t, !found, "the departed member stays: %v", g.status.Members)
}

// Guards against a failure domain whose loss takes most voters, since members elsewhere don't vote.
func TestLossOfDomainLeavesQuorum(t *testing.T) {
	for members, inDomain := range map[int]int{5: 2, 9: 3, 15: 5} {
		g := newGroup(0, 3, 0, members-3, 0)
		g.policy.Tolerance, g.policy.AllVote = 1, true
		g.settle(t)
		voters, _, _ := g.count()
		assert.Assert(t, voters-inDomain >= reconfigurer.Quorum(voters), "%d of %d members vote, %d may be lost with a domain", voters, members, inDomain)
	}
}
