package controller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/relayer"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/storer"
)

const (
	// catchUp is the least time between the loss of one disk and the failure of
	// the next member, from the platform's limits.
	catchUp = 4 * time.Second
	// recovery bounds the time without a leader: two elections, and the links for
	// them.
	recovery = 3 * time.Second
	// patience bounds waits for what is not promised in a given time: the first leader of
	// a group that a test starts, and the answer to a call that is sent again. Only
	// TestFirstLeaderInTime bounds the first election by recovery.
	patience = 30 * time.Second
)

// listen listens on a free port, or on the address of an earlier member.
func listen(t *testing.T, address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return listener
}

// startPeer starts a member that bootstraps the group or joins it. The returned
// function stops the member and waits for its end.
func startPeer(t *testing.T, id modeler.MemberID, listener net.Listener, first []modeler.Member, join bool, disk *storer.Disk) func() {
	c, err := controller.New(controller.Settings{
		Disk:   disk,
		Member: id, Listener: listener, Advertise: listener.Addr().String(), Folder: filepath.Join(t.TempDir(), "data"),
		First: modeler.Membership{Members: first}, Bootstrap: !join, Join: join,
		ElectionMin: 400 * time.Millisecond, ElectionMax: 750 * time.Millisecond,
		Report: reporter.New(reporter.Options{Role: "control", Name: "test", Out: io.Discard}),
		Flows: &controller.FlowSettings{
			Bounds: dispatcher.Settings{MaxLease: 6 * time.Second, MaxStopTime: 400 * time.Millisecond, GangTimeout: 3 * time.Second, MaxTimeOverTarget: 4 * time.Second},
			Send: func(context.Context, *modeler.Order) modeler.OrderAnswer {
				return modeler.OrderAnswer{Outcome: modeler.OrderUnsent}
			},
		},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	t.Cleanup(stop)
	return stop
}

// admitted repeats the request to admit a member until it belongs to the group;
// it reports false if that takes too long.
func admitted(ctx context.Context, r *relayer.Relayer, m modeler.Member, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, err := r.Call(ctx, &modeler.Call{Kind: modeler.JoinCall, Member: &m}); err == nil {
			return true
		}
	}
	return false
}

// Guards against a group without a quorum after it has lost a disk and then
// another member. The host with the lost disk comes back under a new id, and
// fails to be admitted or to become a voter in time, or its old id stays among
// the voters.
func TestLostDiskIsMadeGood(t *testing.T) {
	first, stops, r := startVoters(t, 3)
	ctx := t.Context()

	stops[2]()
	fresh := modeler.Member{ID: 33, Address: first[2].Address}
	startPeer(t, fresh.ID, listen(t, fresh.Address), first, true, nil)
	assert.Assert(t, admitted(ctx, r, fresh, catchUp), "the new member is not admitted")
	time.Sleep(catchUp)
	stops[1]()
	// A leader without a quorum answers until its lease is over.
	time.Sleep(time.Second)
	assert.Assert(t, admitted(ctx, r, fresh, recovery), "the two members that are left have no leader")
}

// startVoters starts the voters of a new group and returns their members, the functions
// that stop them, and a relayer with links to them.
func startVoters(t *testing.T, count int) ([]modeler.Member, []func(), *relayer.Relayer) {
	first, stops, r := launchVoters(t, count)
	assert.Assert(t, admitted(t.Context(), r, first[0], patience), "no leader")
	return first, stops, r
}

// launchVoters is startVoters without the wait for a leader.
func launchVoters(t *testing.T, count int) ([]modeler.Member, []func(), *relayer.Relayer) {
	var listeners []net.Listener
	var first []modeler.Member
	var addresses []string
	for id := range count {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
		first = append(first, modeler.Member{ID: modeler.MemberID(id + 1), Address: l.Addr().String()})
	}
	var stops []func()
	for i, l := range listeners {
		stops = append(stops, startPeer(t, first[i].ID, l, first, false, nil))
	}
	r := relayer.New(relayer.Settings{Name: "test", Report: reporter.New(reporter.Options{Role: "entry", Name: "test", Out: io.Discard})})
	go func() { _ = r.Run(t.Context()) }()
	r.KeepLinks(t.Context(), addresses)
	return first, stops, r
}

// Guards against a new group whose first election takes several rounds.
func TestFirstLeaderInTime(t *testing.T) {
	first, _, r := launchVoters(t, 3)
	assert.Assert(t, admitted(t.Context(), r, first[0], recovery), "no leader within %s", recovery)
}

// leave announces that a voter which doesn't lead stops, and returns the answer.
func leave(t *testing.T, r *relayer.Relayer, voters []modeler.Member) error {
	var err error
	for i := range voters {
		_, err = r.Call(t.Context(), &modeler.Call{Kind: modeler.LeaveCall, Member: &voters[i], Wait: 500 * time.Millisecond})
		if classifier.KindOf(err) != classifier.NoLeader {
			return err
		}
	}
	return err
}

// Guards against a voter of three that stops while the only learner is cut off for a
// moment, and is told that nobody takes its place: the next loss leaves no quorum. A
// group without a learner, or one that bears the loss, must not delay a stop.
func TestLeavingVoterAwaitsSilentLearner(t *testing.T) {
	for _, c := range []struct {
		voters, learners int
		want             classifier.Kind
	}{{3, 1, classifier.Unconfirmed}, {3, 0, classifier.None}, {5, 1, classifier.None}} {
		t.Run(fmt.Sprintf("%d voters and %d learners", c.voters, c.learners), func(t *testing.T) {
			t.Parallel()
			voters, _, r := startVoters(t, c.voters)
			for range c.learners {
				l := listen(t, "127.0.0.1:0")
				learner := modeler.Member{ID: 33, Address: l.Addr().String()}
				stop := startPeer(t, learner.ID, l, voters, true, nil)
				assert.Assert(t, admitted(t.Context(), r, learner, catchUp), "the learner is not admitted")
				stop()
			}
			// The learner counts as silent after a second without an answer.
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, classifier.KindOf(leave(t, r, voters)), c.want)
		})
	}
}
