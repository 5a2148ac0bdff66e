package controller

import (
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
	"goldcreststack.example/goldcreststack/supervisor"
)

// event is an input of the core goroutine.
type event interface{ isEvent() }

// postedEvent is an event with the time at which it was queued.
type postedEvent struct {
	event event
	at    modeler.ClockReading
}

// peerMessage is a message from another member.
type peerMessage struct{ message modeler.PeerMessage }

// entryLinkUp reports that an entry host has opened a link.
type entryLinkUp struct{ link *linker.Link }

// entryLinkDown reports that a link of an entry host is closed.
type entryLinkDown struct{ link *linker.Link }

// entryMessage is a message from an entry host.
type entryMessage struct {
	link    *linker.Link
	message *modeler.Message
}

// writeSynced reports that a write of the log is synced to disk.
type writeSynced struct{ write replicator.Write }

// diskFullChanged reports that the disk has become full, or that it has room
// again.
type diskFullChanged struct{ diskFull bool }

// snapshotFinished reports that a snapshot of the applied entries is durable,
// or that it could not be encoded. The next snapshot is due after as many
// entries in both cases.
type snapshotFinished struct {
	snapshot modeler.Snapshot
	failed   bool
}

// taskOrderDone reports the outcome of a task order to a worker.
type taskOrderDone struct {
	order    supervisor.Order
	delivery supervisor.Delivery
	// report is the worker's answer about the attempt, empty without an answer.
	report modeler.TaskReport
}

// handOver requests a transfer of the leadership; done is closed once another
// member leads, or when none can take over.
type handOver struct{ done chan struct{} }

// inspectRequest runs visit on the core goroutine, for the metrics and the
// state dump.
type inspectRequest struct{ visit func(*core) }

func (peerMessage) isEvent()      {}
func (entryLinkUp) isEvent()      {}
func (entryLinkDown) isEvent()    {}
func (entryMessage) isEvent()     {}
func (writeSynced) isEvent()      {}
func (diskFullChanged) isEvent()  {}
func (snapshotFinished) isEvent() {}
func (taskOrderDone) isEvent()    {}
func (handOver) isEvent()         {}
func (inspectRequest) isEvent()   {}
