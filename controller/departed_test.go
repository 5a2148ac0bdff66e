package controller_test

import (
	"context"
	"io"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/relayer"
	"goldcreststack.example/goldcreststack/reporter"
)

// Guards against a worker that is lost for good because its departure could not be recorded while the leader's disk was full.
func TestWorkerReturnsAfterFullDisk(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	first := []modeler.Member{{ID: 1, Address: l.Addr().String()}}
	var full, isDown atomic.Bool
	var orders atomic.Int64
	report := reporter.New(reporter.Options{Role: "control", Name: "test", Out: io.Discard})
	c, err := controller.New(controller.Settings{
		Member: 1, Listener: l, Advertise: first[0].Address, Folder: filepath.Join(t.TempDir(), "data"),
		First: modeler.Membership{Members: first}, Bootstrap: true, Disk: fillableDisk(&full), Report: report,
		Flows: &controller.FlowSettings{
			Bounds: dispatcher.Settings{MaxLease: 6 * time.Second, MaxStopTime: 400 * time.Millisecond, GangTimeout: 3 * time.Second, MaxTimeOverTarget: 4 * time.Second},
			Send: func(context.Context, *modeler.Order) modeler.OrderAnswer {
				if isDown.Load() {
					return modeler.OrderAnswer{Outcome: modeler.OrderUnsent}
				}
				orders.Add(1)
				return modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Generation: 1}
			},
		},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	r := relayer.New(relayer.Settings{Name: "test", Report: reporter.New(reporter.Options{Role: "entry", Name: "test", Out: io.Discard})})
	r.KeepLinks(ctx, []string{first[0].Address})
	announceUntil := func(end time.Time, done func() bool) bool {
		for number := modeler.TicketNumber(1); !done(); number++ {
			if time.Now().After(end) {
				return false
			}
			if !isDown.Load() {
				worker := &modeler.WorkerAnnouncement{ID: "w", Generation: 1, Address: "10.0.0.1:80", Service: "s", Capacity: modeler.Resources{Processors: 1}}
				_, _ = r.Call(ctx, &modeler.Call{Kind: modeler.AnnounceCall, Announcement: worker})
			}
			// The disk is found to be full or to have room when something is written.
			layout := &modeler.Layout{Number: number, Document: []byte("{}"), Services: []modeler.ServiceName{"s"}}
			_, _ = r.Call(ctx, &modeler.Call{Kind: modeler.SetLayoutCall, Layout: layout})
			time.Sleep(200 * time.Millisecond)
		}
		return true
	}
	hasOrders := func() bool { return orders.Load() > 0 }
	assert.Assert(t, announceUntil(time.Now().Add(10*time.Second), hasOrders), "the worker gets no orders")

	full.Store(true)
	isDown.Store(true)
	// A worker counts as departed when it has been silent for six seconds.
	announceUntil(time.Now().Add(9*time.Second), func() bool { return false })
	full.Store(false)
	isDown.Store(false)
	orders.Store(0)
	assert.Assert(t, announceUntil(time.Now().Add(10*time.Second), hasOrders), "the worker that has returned gets no orders")
	cancel()
	assert.NilError(t, <-ended)
}
