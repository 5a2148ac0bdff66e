package router

import (
	"container/heap"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// RequestID identifies a request within one entry process.
type RequestID uint64

// Caller identifies the sender of a request.
type Caller string

// Request is a caller's request, or a retry of one.
type Request struct {
	ID      RequestID
	Service modeler.ServiceName
	Team    modeler.TeamName
	Caller  Caller
	// Deadline is the reading at which the request is refused if it still
	// waits; 0 means FirstArrival plus the service's longest wait.
	Deadline modeler.ClockReading
	// FirstArrival is the reading at which the first attempt arrived; 0 means now.
	FirstArrival modeler.ClockReading
	// Retry says that this is not the first attempt. A retry is exempt from
	// draining and from the rate and queue limits for new requests, and goes
	// ahead of the caller's other requests.
	Retry bool
	// AvoidWorkers lists the workers of earlier attempts, which are chosen only if no
	// other worker has a slot.
	AvoidWorkers []modeler.WorkerID
}

// Assignment tells the entry host to send a request to a worker.
type Assignment struct {
	ID         RequestID
	Worker     modeler.WorkerID
	Generation modeler.Generation
	Address    string
	// SendBy is the reading before which the first byte must be sent, on a
	// connection that was observed to be open at or after the assignment.
	// Later grants may extend it; Sendable takes them into account.
	SendBy modeler.ClockReading
	// Connections is the maximum number of open connections to the worker.
	Connections int
	// Idle is the worker's announced idle timeout.
	Idle time.Duration
	// Waited is the time since the first attempt arrived.
	Waited modeler.ClockReading
}

// Refusal tells the entry host to refuse a request, for the reason in Kind.
type Refusal struct {
	ID   RequestID
	Kind classifier.Kind
}

// request is the router's state of a waiting or running request.
type request struct {
	Request
	service       *service
	deadlineIndex int          // position in the deadline heap while it waits
	workerSlots   *workerSlots // slots of the worker it runs on; nil while it waits
	startedAt     modeler.ClockReading
	removed       bool // from its queue
}

// deadlines is a heap of the waiting requests by deadline.
type deadlines []*request

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].deadlineIndex, d[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	q := x.(*request)
	q.deadlineIndex = len(*d)
	*d = append(*d, q)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	q := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return q
}

func (d *deadlines) remove(q *request) { heap.Remove(d, q.deadlineIndex) }
