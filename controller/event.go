package controller

import (
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
	"goldcreststack.example/goldcreststack/supervisor"
)

// event is something that the core goroutine handles.
type event interface{ isEvent() }

// posted is an event and when it was handed to the core goroutine.
type posted struct {
	event event
	at    modeler.ClockReading
}

// peerMessage is a message from another member.
type peerMessage struct{ message modeler.PeerMessage }

// entryUp says that an entry host has opened a link.
type entryUp struct{ link *linker.Link }

// entryDown says that the link is closed.
type entryDown struct{ link *linker.Link }

// entryMessage is a message from an entry host.
type entryMessage struct {
	link    *linker.Link
	message *modeler.Message
}

// synced says that the disk has synced a write.
type synced struct{ write replicator.Write }

// diskFull says whether the disk refuses appends.
type diskFull struct{ full bool }

// snapshotSaved says that a snapshot of applied entries is durable, or that it
// could not be encoded; the next one is then taken as after a saved one.
type snapshotSaved struct {
	snapshot modeler.Snapshot
	failed   bool
}

// orderDone tells the fate of an order to a worker.
type orderDone struct {
	order    supervisor.Order
	delivery supervisor.Delivery
	// report is what the worker answered of the attempt, empty without an
	// answer.
	report modeler.TaskReport
}

// handOver asks for a transfer of the leadership; done is closed once another
// member leads, or when none can take over.
type handOver struct{ done chan struct{} }

// inspect runs on the core goroutine, for the state dump.
type inspect struct{ visit func(*core) }

func (peerMessage) isEvent()   {}
func (entryUp) isEvent()       {}
func (entryDown) isEvent()     {}
func (entryMessage) isEvent()  {}
func (synced) isEvent()        {}
func (diskFull) isEvent()      {}
func (snapshotSaved) isEvent() {}
func (orderDone) isEvent()     {}
func (handOver) isEvent()      {}
func (inspect) isEvent()       {}
