package controller_test

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/follower"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/storer"
)

// group is a replicated group of three members in the test process.
type group struct {
	t       *testing.T
	members []modeler.Member
	stops   []func()
	client  *follower.Client
}

// startGroup starts the members and waits until one of them leads.
func startGroup(t *testing.T) *group {
	g := &group{t: t, client: follower.New(modeler.Hello{Entry: "test"}, follower.Hooks{})}
	var listeners []net.Listener
	for id := range modeler.MemberID(3) {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		g.members = append(g.members, modeler.Member{ID: id + 1, Address: l.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i, m := range g.members {
		g.stops = append(g.stops, startPeer(t, m.ID, listeners[i], g.members, false, nil))
		g.client.KeepLinks(ctx, []string{m.Address})
	}
	g.awaitLeader()
	return g
}

// awaitLeader waits until a member leads, and returns the places of the leader and
// of the others in members. No test calls it after a fault.
func (g *group) awaitLeader() (leader, second, third int) {
	g.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if id := g.status().Leader; id != 0 {
			return int(id) - 1, int(id) % 3, int(id+1) % 3
		}
	}
	g.t.Fatal("no leader")
	return 0, 0, 0
}

func (g *group) ask(m *modeler.Message) *modeler.Message {
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	if answer, err := g.client.Do(ctx, m); err == nil {
		return answer
	}
	return &modeler.Message{}
}

// status returns the leader's status, which is empty without a leader.
func (g *group) status() (status modeler.Status) {
	m := g.ask(&modeler.Message{Kind: modeler.QueryMessage, Query: &modeler.Query{Kind: modeler.StatusQuery}})
	if m.QueryAnswer != nil && len(m.QueryAnswer.Document) > 0 {
		assert.NilError(g.t, json.Unmarshal(m.QueryAnswer.Document, &status))
	}
	return status
}

func (g *group) isVoter(id modeler.MemberID) bool {
	return slices.ContainsFunc(g.status().Members, func(m modeler.MemberStatus) bool { return m.ID == id && !m.Learner })
}

// join starts a new member that knows the seeds, and returns whether it votes
// within catchUp.
func (g *group) join(id modeler.MemberID, seeds ...modeler.Member) bool {
	return g.admit(g.start(id, nil, seeds))
}

func (g *group) start(id modeler.MemberID, disk *storer.Disk, seeds []modeler.Member) modeler.Member {
	l := listen(g.t, "127.0.0.1:0")
	startPeer(g.t, id, l, seeds, true, disk)
	return modeler.Member{ID: id, Address: l.Addr().String()}
}

// admit repeats the request to admit a member, and returns whether it votes within
// catchUp.
func (g *group) admit(m modeler.Member) bool {
	for end := time.Now().Add(catchUp); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		g.ask(&modeler.Message{Kind: modeler.CallMessage, Call: &modeler.Call{Kind: modeler.JoinCall, Member: &m}})
		if g.isVoter(m.ID) {
			return true
		}
	}
	return false
}

// Guards against a new host that can't answer a leader that isn't among its seeds, so that it never gets the log.
func TestLeaderOutsideTheSeedsIsAnswered(t *testing.T) {
	g := startGroup(t)
	_, seed, departed := g.awaitLeader()
	g.stops[departed]()
	assert.Assert(t, g.join(33, g.members[seed], g.members[departed]), "no voter within %s: %+v", catchUp, g.status().Members)
}

// Guards against a new host that can't answer the members at its seeds, because it takes them to have other ids.
func TestSeedsWithOtherIDsAreAnswered(t *testing.T) {
	g := startGroup(t)
	_, _, departed := g.awaitLeader()
	g.stops[departed]()
	seeds := slices.Clone(g.members)
	for i := range seeds {
		seeds[i].ID += 100
	}
	assert.Assert(t, g.join(33, seeds...), "no voter within %s: %+v", catchUp, g.status().Members)
}

// Guards against a voter that counts for good, because it departed before the leader was elected.
func TestVoterGoneBeforeElectionIsReplaced(t *testing.T) {
	g := startGroup(t)
	_, next, departed := g.awaitLeader()
	g.stops[departed]()
	gone := time.Now()
	transfer := &modeler.Query{Kind: modeler.TransferToMember, Member: g.members[next]}
	for end := time.Now().Add(recovery); g.status().Leader != g.members[next].ID; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the leadership isn't transferred")
		g.ask(&modeler.Message{Kind: modeler.QueryMessage, Query: transfer})
	}
	time.Sleep(time.Until(gone.Add(16 * time.Second)))
	began := time.Now()
	assert.Assert(t, g.join(33, g.members...), "no voter within %s", catchUp)
	time.Sleep(time.Until(began.Add(catchUp)))
	assert.Assert(t, !g.isVoter(g.members[departed].ID), "voters %s after the departure: %+v", time.Since(gone).Round(time.Second), g.status().Members)
}

// Guards against a learner that answers but never catches up, so that no later one is promoted.
func TestStuckLearnerHoldsNobodyUp(t *testing.T) {
	g := startGroup(t)
	_, _, departed := g.awaitLeader()
	for n := range modeler.TicketNumber(300) {
		layout := &modeler.Layout{Number: n + 1, Document: []byte("{}")}
		g.ask(&modeler.Message{Kind: modeler.CallMessage, Call: &modeler.Call{Kind: modeler.SetLayoutCall, Layout: layout}})
	}
	// The disk takes terms and votes, but no batch of entries.
	stuck := g.start(33, refusingDisk(func(data []byte) bool { return len(data) > 1000 }), g.members)
	assert.Assert(t, !g.admit(stuck), "a member without the log votes")
	g.stops[departed]()
	assert.Assert(t, g.join(34, g.members...), "no voter within %s: %+v", catchUp, g.status().Members)
}

// Guards against a stopping member that is let go before a learner has its vote, so that the next loss takes the quorum.
func TestStoppingMemberIsLetGoAfterExchange(t *testing.T) {
	g := startGroup(t)
	_, _, stopping := g.awaitLeader()
	assert.Assert(t, !g.join(33, g.members...), "a fourth voter weakens the group")
	leave := &modeler.Call{Kind: modeler.LeaveCall, Member: &g.members[stopping]}
	for end := time.Now().Add(recovery); ; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the member isn't let go")
		m := g.ask(&modeler.Message{Kind: modeler.CallMessage, Call: leave})
		if m.Reply != nil && m.Reply.Result.Kind == classifier.None {
			break
		}
	}
	members := g.status().Members
	for _, m := range members {
		assert.Check(t, m.Learner == (m.ID == g.members[stopping].ID), "%+v", members)
	}
}
