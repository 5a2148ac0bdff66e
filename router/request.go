package router

import (
	"container/heap"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// RequestID identifies a request within one entry process.
type RequestID uint64

// Caller names who sent a request.
type Caller string

// Request is a caller's request, or one more attempt at it.
type Request struct {
	ID      RequestID
	Service modeler.ServiceName
	Team    modeler.TeamName
	Caller  Caller
	// Deadline is when the request is refused if it still waits; 0 stands for
	// the service's bound.
	Deadline modeler.ClockReading
	// Since is when the first attempt arrived; 0 stands for now.
	Since modeler.ClockReading
	// Retry says that this is not the first attempt; it passes the bounds for
	// new requests and goes ahead of the caller's other requests.
	Retry bool
	// Avoid are the workers of earlier attempts.
	Avoid []modeler.WorkerID
}

// Assignment sends a request to a worker.
type Assignment struct {
	ID         RequestID
	Worker     modeler.WorkerID
	Generation modeler.Generation
	Address    string
	// Until is the last moment for the first byte, on a connection that was
	// seen open at or after the assignment; Sendable tells the same after
	// later grants.
	Until modeler.ClockReading
	// Connections bounds the open connections to the worker.
	Connections int
	// Idle is the worker's announced idle timeout.
	Idle time.Duration
	// Waited is the time since the first attempt arrived.
	Waited modeler.ClockReading
}

// Refusal ends a waiting request.
type Refusal struct {
	ID   RequestID
	Kind classifier.Kind
}

// request is a request in the router's hands.
type request struct {
	Request
	service *service
	index   int    // in the deadline heap while it waits
	stock   *stock // where it runs
	started modeler.ClockReading
	left    bool // the queue
}

// deadlines orders waiting requests by their deadlines.
type deadlines []*request

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	q := x.(*request)
	q.index = len(*d)
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

func (d *deadlines) remove(q *request) { heap.Remove(d, q.index) }
