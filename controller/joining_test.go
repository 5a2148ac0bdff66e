package controller_test

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
	var listeners []net.Listener
	var first []modeler.Member
	var addresses []string
	for id := range modeler.MemberID(3) {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
		first = append(first, modeler.Member{ID: id + 1, Address: l.Addr().String()})
	}
	var stops []func()
	for i, l := range listeners {
		stops = append(stops, startPeer(t, first[i].ID, l, first, false, nil))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := relayer.New(relayer.Settings{Name: "test", Report: reporter.New(reporter.Options{Role: "entry", Name: "test", Out: io.Discard})})
	go func() { _ = r.Run(ctx) }()
	r.KeepLinks(ctx, addresses)
	assert.Assert(t, admitted(ctx, r, first[0], recovery), "no leader")

	stops[2]()
	fresh := modeler.Member{ID: 33, Address: addresses[2]}
	startPeer(t, fresh.ID, listen(t, fresh.Address), first, true, nil)
	assert.Assert(t, admitted(ctx, r, fresh, catchUp), "the new member is not admitted")
	time.Sleep(catchUp)
	stops[1]()
	// A leader without a quorum answers until its lease is over.
	time.Sleep(time.Second)
	assert.Assert(t, admitted(ctx, r, fresh, recovery), "the two members that are left have no leader")
}
