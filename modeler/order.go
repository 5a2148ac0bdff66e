package modeler

import "time"

// OrderKind tells what a worker is ordered to do.
type OrderKind uint8

// The kinds of orders.
const (
	RenewOrder OrderKind = iota + 1
	StartOrder
	StopOrder
	ThrottleOrder
)

var orderNames = [...]string{RenewOrder: "renew", StartOrder: "start", StopOrder: "stop", ThrottleOrder: "throttle"}

// String returns the kind as metrics and log lines show it.
func (k OrderKind) String() string {
	if int(k) < len(orderNames) {
		return orderNames[k]
	}
	return "unknown"
}

// Order is one call to a worker.
type Order struct {
	_          struct{} `cbor:",toarray"`
	Kind       OrderKind
	Worker     WorkerID
	Generation Generation
	Address    string
	Term       Term
	Task       FlowTask
	Attempt    Attempt
	// Deadline is the end of the worker's lease on its own clock.
	Deadline WorkerClock
	Spec     string
	Saved    Checkpoint
	Permit   Permit
	// Cursor acknowledges the ends up to its number, none if it is 0, and Wait
	// is how long a renewal may wait for a new end.
	Cursor Sequence
	Wait   time.Duration
	// Timeout is how long the answer is waited for.
	Timeout time.Duration
	// Percent is the share that a throttled task may use.
	Percent int
	// First is set on the first renewal of a term.
	First bool
	// Repeated is set on an order that had no answer yet when it was sent again;
	// it stays with the leader.
	Repeated bool `cbor:"-"`
}

// OrderOutcome tells what became of an order.
type OrderOutcome uint8

// The fates of orders.
const (
	// OrderAccepted orders were carried out, or had been before.
	OrderAccepted OrderOutcome = iota + 1
	// OrderUnsent orders have not reached the worker.
	OrderUnsent
	// OrderUnanswered orders got no answer and may be carried out late.
	OrderUnanswered
	// OrderStale orders came from a leader that a newer one has replaced.
	OrderStale
	// OrderSuperseded starts are not higher than an attempt that was stopped or
	// has ended there.
	OrderSuperseded
	// OrderLate starts came after their deadline.
	OrderLate
	// OrderWorkerFull workers have no room.
	OrderWorkerFull
	// OrderUnpermitted starts had no valid permit.
	OrderUnpermitted
	// OrderWorkerUnhealthy workers refuse everything.
	OrderWorkerUnhealthy
	// OrderWrongWorker means that another worker answers at the address.
	OrderWrongWorker
	// OrderRejected orders were malformed.
	OrderRejected
	// OrderCarrierLost orders were lost with the process that carried them. They may
	// be carried out late, and say nothing of the worker.
	OrderCarrierLost
)

var fateNames = [...]string{
	OrderAccepted: "accepted", OrderUnsent: "unsent", OrderUnanswered: "silent", OrderStale: "stale", OrderSuperseded: "superseded",
	OrderLate: "late", OrderWorkerFull: "full", OrderUnpermitted: "unpermitted", OrderWorkerUnhealthy: "unhealthy", OrderWrongWorker: "elsewhere",
	OrderRejected: "rejected", OrderCarrierLost: "stray",
}

// String returns the fate as log lines show it.
func (f OrderOutcome) String() string {
	if int(f) < len(fateNames) {
		return fateNames[f]
	}
	return "unknown"
}

// OrderAnswer is a worker's answer to an order.
type OrderAnswer struct {
	_       struct{} `cbor:",toarray"`
	Outcome OrderOutcome
	Clock   WorkerClock
	// Generation is set if the worker has named it.
	Generation Generation
	// Running and Ended are set on renewals.
	Running []RunningAttempt
	Ended   []EndedAttempt
}

// RunningAttempt is a task that a worker lists as running.
type RunningAttempt struct {
	_       struct{} `cbor:",toarray"`
	Task    FlowTask
	Attempt Attempt
	Saved   Checkpoint
	// Percent of the work that is done; a lasting task that serves has 100.
	Percent int
	// Load is the tail of a serving task's response times in milliseconds, or
	// the millicores that any other task uses.
	Load int
}

// EndedAttempt is an end that a worker lists until it is acknowledged.
type EndedAttempt struct {
	_       struct{} `cbor:",toarray"`
	Number  Sequence
	Task    FlowTask
	Attempt Attempt
	Kind    EndKind
	Saved   Checkpoint
}

// CarriedOrder is an order that another process carries to a worker for the
// leader, and its number among those of the leader's process.
type CarriedOrder struct {
	_      struct{} `cbor:",toarray"`
	Number Sequence
	Order  Order
}

// CarriedAnswer is the answer to the carried order of that number.
type CarriedAnswer struct {
	_      struct{} `cbor:",toarray"`
	Number Sequence
	Answer OrderAnswer
}
