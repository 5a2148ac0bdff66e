package controller_test

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/relayer"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/storer"
)

// fillableDisk returns a disk whose log files refuse writes while full is set.
func fillableDisk(full *atomic.Bool) *storer.Disk {
	return refusingDisk(func([]byte) bool { return full.Load() })
}

// refusingDisk returns a disk whose log files refuse some writes for lack of space.
func refusingDisk(refuses func(data []byte) bool) *storer.Disk {
	disk := storer.SystemDisk()
	create := disk.Create
	disk.Create = func(path string) (storer.File, error) {
		file, err := create(path)
		if err != nil || !strings.HasPrefix(filepath.Base(path), "log-") {
			return file, err
		}
		write := file.WriteAt
		file.WriteAt = func(data []byte, offset int64) (int, error) {
			if refuses(data) {
				return 0, syscall.ENOSPC
			}
			return write(data, offset)
		}
		return file, nil
	}
	return &disk
}

// Guards against a leader that keeps the leadership while its disk is full, so
// that the cell accepts nothing although the other members' disks have room.
func TestFullDiskMovesLeadership(t *testing.T) {
	var listeners []net.Listener
	var first []modeler.Member
	var addresses []string
	for id := range modeler.MemberID(3) {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
		first = append(first, modeler.Member{ID: id + 1, Address: l.Addr().String()})
	}
	full := make([]atomic.Bool, len(first))
	var stops []func()
	for i, l := range listeners {
		stops = append(stops, startPeer(t, first[i].ID, l, first, false, fillableDisk(&full[i])))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := relayer.New(relayer.Settings{Name: "test", Report: reporter.New(reporter.Options{Role: "entry", Name: "test", Out: io.Discard})})
	go func() { _ = r.Run(ctx) }()
	r.KeepLinks(ctx, addresses)
	assert.Assert(t, admitted(ctx, r, first[0], patience), "no leader")

	number := modeler.TicketNumber(0)
	accepted := func(within time.Duration) bool {
		number++
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			layout := &modeler.Layout{Number: number, Document: []byte("{}")}
			if _, err := r.Call(ctx, &modeler.Call{Kind: modeler.SetLayoutCall, Layout: layout}); err == nil {
				return true
			}
		}
		return false
	}
	assert.Assert(t, accepted(recovery))
	// One of the three members leads, so one of the disks filled in turn is the
	// leader's.
	for i := range full {
		full[i].Store(true)
		for range 3 {
			assert.Assert(t, accepted(recovery), "nothing is accepted while the disk of member %d is full", i+1)
		}
		full[i].Store(false)
		assert.Assert(t, accepted(recovery), "nothing is accepted after the disk of member %d has room again", i+1)
	}

	// A member that is stopped while writes wait for room leaves no gap in its
	// log and ends without an error.
	full[0].Store(true)
	for range 5 {
		assert.Assert(t, accepted(recovery))
	}
	full[0].Store(false)
	stops[0]()
}

// Guards against a member that ends with an error when its disk has room again,
// because it has taken a snapshot of entries that it could not write meanwhile.
func TestSnapshotBeforeWaitingWrites(t *testing.T) {
	var first []modeler.Member
	var addresses []string
	var listeners []net.Listener
	for id := range modeler.MemberID(3) {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
		first = append(first, modeler.Member{ID: id + 1, Address: l.Addr().String()})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	full := make([]atomic.Bool, len(first))
	ended := make(chan error, len(first))
	for i, l := range listeners {
		c, err := controller.New(controller.Settings{
			Member: first[i].ID, Listener: l, Advertise: addresses[i], Folder: filepath.Join(t.TempDir(), "data"),
			First: modeler.Membership{Members: first}, Bootstrap: true, Disk: fillableDisk(&full[i]), SnapshotEvery: 10,
			Report: reporter.New(reporter.Options{Role: "control", Name: "test", Out: io.Discard}),
			Flows:  &controller.FlowSettings{},
		})
		assert.NilError(t, err)
		go func() { ended <- c.Run(ctx) }()
	}
	r := relayer.New(relayer.Settings{Name: "test", Report: reporter.New(reporter.Options{Role: "entry", Name: "test", Out: io.Discard})})
	go func() { _ = r.Run(ctx) }()
	r.KeepLinks(ctx, addresses)
	number := modeler.TicketNumber(0)
	acceptLayouts := func(count modeler.TicketNumber) {
		for wanted := number + count; number < wanted; {
			layout := &modeler.Layout{Number: number + 1, Document: []byte("{}")}
			if _, err := r.Call(ctx, &modeler.Call{Kind: modeler.SetLayoutCall, Layout: layout}); err == nil {
				number++
			}
			select {
			case err := <-ended:
				t.Fatalf("a member has ended: %v", err)
			default:
			}
		}
	}
	acceptLayouts(15)
	for i := range full {
		full[i].Store(true)
		acceptLayouts(30)
		full[i].Store(false)
		// Writes are repeated every half a second.
		for end := time.Now().Add(time.Second); time.Now().Before(end); {
			acceptLayouts(1)
		}
	}
	cancel()
	for range first {
		assert.NilError(t, <-ended)
	}
}

// Guards against a member that can't be stopped while it waits for room on its disk to save
// its vote.
func TestMemberStopsWhileItsVoteIsNotSaved(t *testing.T) {
	var full, refused atomic.Bool
	disk := refusingDisk(func([]byte) bool {
		refused.Store(refused.Load() || full.Load())
		return full.Load()
	})
	l := listen(t, "127.0.0.1:0")
	stop := startPeer(t, 1, l, []modeler.Member{{ID: 1, Address: l.Addr().String()}}, false, disk)
	t.Cleanup(func() { full.Store(false) })
	full.Store(true)
	for end := time.Now().Add(patience); !refused.Load(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no election")
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	select {
	case <-stopped:
	case <-time.After(recovery):
		t.Fatal("the member has not stopped")
	}
}
