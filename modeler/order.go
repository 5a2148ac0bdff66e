package modeler

import "time"

// OrderKind is the operation that an order asks a worker for.
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

// Order is one request from the leader to a worker that runs tasks of flows.
type Order struct {
	_          struct{} `cbor:",toarray"`
	Kind       OrderKind
	Worker     WorkerID
	Generation Generation
	Address    string
	Fence      FencingToken
	Task       FlowTask
	Attempt    Attempt
	// Deadline is the end of the worker's lease, on the worker's clock.
	Deadline WorkerClock
	Spec     string
	Saved    Checkpoint
	Permit   Permit
	// Cursor acknowledges the listed ends up to this number; 0 acknowledges none.
	// Wait is how long the worker may delay its answer to a renewal until it has a
	// new end to list.
	Cursor Sequence
	Wait   time.Duration
	// Timeout is how long the sender waits for the answer.
	Timeout time.Duration
	// Percent is the share of its processors that a throttled task may use.
	Percent int
	// First is set on the first renewal that a term's leader sends to the worker.
	First bool
	// Repeated is set when the order is sent again because it has not been
	// answered. It is used by the leader only.
	Repeated bool `cbor:"-"`
}

// OrderOutcome is the result of sending an order to a worker.
type OrderOutcome uint8

// The outcomes of orders.
const (
	// OrderAccepted means that the worker carried out the order, now or when it
	// got it before.
	OrderAccepted OrderOutcome = iota + 1
	// OrderUnsent means that the order has not reached the worker.
	OrderUnsent
	// OrderUnanswered means that no answer came. The worker may still carry out
	// the order.
	OrderUnanswered
	// OrderStale means that the worker has seen a higher fencing token: the order is
	// of an earlier leader, or was sent to an earlier generation of the worker.
	OrderStale
	// OrderSuperseded means that the attempt to start is not higher than one that
	// was stopped or has ended on the worker.
	OrderSuperseded
	// OrderLate means that a start came after its deadline.
	OrderLate
	// OrderWorkerFull means that the worker has no room for the task.
	OrderWorkerFull
	// OrderUnpermitted means that a start had no valid permit.
	OrderUnpermitted
	// OrderWorkerUnhealthy means that the worker refuses all orders.
	OrderWorkerUnhealthy
	// OrderWrongWorker means that another worker answered at the address.
	OrderWrongWorker
	// OrderRejected means that the worker found the order malformed.
	OrderRejected
	// OrderCarrierLost means that the process that carried the order was lost. The
	// worker may still carry out the order. It says nothing about the worker.
	OrderCarrierLost
)

var outcomeNames = [...]string{
	OrderAccepted: "accepted", OrderUnsent: "unsent", OrderUnanswered: "silent", OrderStale: "stale", OrderSuperseded: "superseded",
	OrderLate: "late", OrderWorkerFull: "full", OrderUnpermitted: "unpermitted", OrderWorkerUnhealthy: "unhealthy", OrderWrongWorker: "elsewhere",
	OrderRejected: "rejected", OrderCarrierLost: "stray",
}

// String returns the outcome as log lines show it.
func (o OrderOutcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// OrderAnswer is a worker's answer to an order.
type OrderAnswer struct {
	_       struct{} `cbor:",toarray"`
	Outcome OrderOutcome
	Clock   WorkerClock
	// Generation is set if the worker's answer contains it.
	Generation Generation
	// Running and Ended are set in answers to renewals.
	Running []RunningAttempt
	Ended   []EndedAttempt
}

// RunningAttempt is an attempt that a worker lists as running.
type RunningAttempt struct {
	_       struct{} `cbor:",toarray"`
	Task    FlowTask
	Attempt Attempt
	Saved   Checkpoint
	// Percent is the share of the work that is done; it is 100 for a long-running
	// task that serves requests.
	Percent int
	// Load is the tail latency in milliseconds of a task that serves requests, and
	// the used millicores of any other task.
	Load int
}

// EndedAttempt is an ended attempt, which a worker lists until the leader
// acknowledges its Number.
type EndedAttempt struct {
	_       struct{} `cbor:",toarray"`
	Number  Sequence
	Task    FlowTask
	Attempt Attempt
	Kind    EndKind
	Saved   Checkpoint
}

// CarriedOrder is an order that another process carries to a worker for the
// leader. Number identifies it among the orders of the leader's process.
type CarriedOrder struct {
	_      struct{} `cbor:",toarray"`
	Number Sequence
	Order  Order
}

// CarriedAnswer is the answer to the carried order with the same number.
type CarriedAnswer struct {
	_      struct{} `cbor:",toarray"`
	Number Sequence
	Answer OrderAnswer
}
