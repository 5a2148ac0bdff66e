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

// Fate tells what became of an order.
type Fate uint8

// The fates of orders.
const (
	// FateAccepted orders were carried out, or had been before.
	FateAccepted Fate = iota + 1
	// FateUnsent orders have not reached the worker.
	FateUnsent
	// FateSilent orders got no answer and may be carried out late.
	FateSilent
	// FateStale orders came from a leader that a newer one has replaced.
	FateStale
	// FateSuperseded starts are not higher than an attempt that was stopped or
	// has ended there.
	FateSuperseded
	// FateLate starts came after their deadline.
	FateLate
	// FateFull workers have no room.
	FateFull
	// FateUnpermitted starts had no valid permit.
	FateUnpermitted
	// FateUnhealthy workers refuse everything.
	FateUnhealthy
	// FateElsewhere means that another worker answers at the address.
	FateElsewhere
	// FateRejected orders were malformed.
	FateRejected
	// FateStray orders were lost with the process that carried them. They may
	// be carried out late, and say nothing of the worker.
	FateStray
)

var fateNames = [...]string{
	FateAccepted: "accepted", FateUnsent: "unsent", FateSilent: "silent", FateStale: "stale", FateSuperseded: "superseded",
	FateLate: "late", FateFull: "full", FateUnpermitted: "unpermitted", FateUnhealthy: "unhealthy", FateElsewhere: "elsewhere",
	FateRejected: "rejected", FateStray: "stray",
}

// String returns the fate as log lines show it.
func (f Fate) String() string {
	if int(f) < len(fateNames) {
		return fateNames[f]
	}
	return "unknown"
}

// OrderAnswer is a worker's answer to an order.
type OrderAnswer struct {
	_     struct{} `cbor:",toarray"`
	Fate  Fate
	Clock WorkerClock
	// Generation is set if the worker has named it.
	Generation Generation
	// Running and Ended are set on renewals.
	Running []ListedRun
	Ended   []ListedEnd
}

// ListedRun is a task that a worker lists as running.
type ListedRun struct {
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

// ListedEnd is an end that a worker lists until it is acknowledged.
type ListedEnd struct {
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
