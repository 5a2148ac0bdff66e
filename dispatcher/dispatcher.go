package dispatcher

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// Settings are the bounds that the workers' side states.
type Settings struct {
	// Lease is the longest lease that a worker grants.
	Lease time.Duration
	// Stop is the longest time that a worker takes to stop a task.
	Stop time.Duration
	// Gang is how long a member of a gang waits for the others.
	Gang time.Duration
	// Impact is how long a serving task may be over its target.
	Impact time.Duration
	// Log writes one line for a decision; it must not block.
	Log func(event string, pairs ...any)
}

// OrderKind tells what a worker is ordered to do.
type OrderKind uint8

// The kinds of orders.
const (
	Renew OrderKind = iota + 1
	Start
	Stop
	Throttle
)

var orderNames = [...]string{Renew: "renew", Start: "start", Stop: "stop", Throttle: "throttle"}

// String returns the kind as metrics and log lines show it.
func (k OrderKind) String() string {
	if int(k) < len(orderNames) {
		return orderNames[k]
	}
	return "unknown"
}

// Order is one call to a worker.
type Order struct {
	Kind       OrderKind
	Worker     modeler.WorkerID
	Generation modeler.Generation
	Address    string
	Term       modeler.Term
	Task       modeler.FlowTask
	Attempt    modeler.Attempt
	// Deadline is the end of the worker's lease on its own clock.
	Deadline modeler.WorkerClock
	Spec     string
	Saved    modeler.Checkpoint
	Permit   modeler.Permit
	// Cursor acknowledges the ends up to its number, none if it is 0, and Wait
	// is how long a renewal may wait for a new end.
	Cursor modeler.Sequence
	Wait   time.Duration
	// Timeout is how long the answer is waited for.
	Timeout time.Duration
	// Percent is the share that a throttled task may use.
	Percent int
	// First is set on the first renewal of a term.
	First bool
}

// Fate tells what became of an order.
type Fate uint8

// The fates of orders.
const (
	// Accepted orders were carried out, or had been before.
	Accepted Fate = iota + 1
	// Unsent orders have not reached the worker.
	Unsent
	// Silent orders got no answer and may be carried out late.
	Silent
	// Stale orders came from a leader that a newer one has replaced.
	Stale
	// Superseded starts are not higher than an attempt that was stopped or
	// has ended there.
	Superseded
	// Late starts came after their deadline.
	Late
	// Full workers have no room.
	Full
	// Unpermitted starts had no valid permit.
	Unpermitted
	// Unhealthy workers refuse everything.
	Unhealthy
	// Elsewhere means that another worker answers at the address.
	Elsewhere
	// Rejected orders were malformed.
	Rejected
)

var fateNames = [...]string{
	Accepted: "accepted", Unsent: "unsent", Silent: "silent", Stale: "stale", Superseded: "superseded",
	Late: "late", Full: "full", Unpermitted: "unpermitted", Unhealthy: "unhealthy", Elsewhere: "elsewhere",
	Rejected: "rejected",
}

// String returns the fate as log lines show it.
func (f Fate) String() string {
	if int(f) < len(fateNames) {
		return fateNames[f]
	}
	return "unknown"
}

// Answer is a worker's answer to an order.
type Answer struct {
	Fate  Fate
	Clock modeler.WorkerClock
	// Generation is set if the worker has named it.
	Generation modeler.Generation
	// Running and Ended are set on renewals.
	Running []Running
	Ended   []Ended
}

// Running is a task that a worker lists.
type Running struct {
	Task    modeler.FlowTask
	Attempt modeler.Attempt
	Saved   modeler.Checkpoint
	// Percent of the work that is done; a lasting task that serves has 100.
	Percent int
	// Load is the tail of a serving task's response times in milliseconds, or
	// the millicores that any other task uses.
	Load int
}

// Ended is an end that a worker lists until it is acknowledged.
type Ended struct {
	Number  modeler.Sequence
	Task    modeler.FlowTask
	Attempt modeler.Attempt
	Kind    modeler.EndKind
	Saved   modeler.Checkpoint
}

// Output is what the caller has to carry out.
type Output struct {
	Orders []Order
	// Starts and Ends are to be committed.
	Starts []modeler.FlowStart
	Ends   []modeler.FlowEnd
	// Departed workers are to be forgotten.
	Departed []modeler.WorkerID
}

// Dispatcher is the state that a leader has of workers and attempts.
type Dispatcher struct {
	state    *sequencer.Sequencer
	settings Settings
	term     modeler.Term
	began    modeler.Reading
	stamp    modeler.Stamp
	hosts    map[modeler.WorkerID]*host
	units    map[modeler.StepKey]*unit
	// order holds the units by priority and due time.
	order []*unit
	// flows holds the units of each flow that goes on.
	flows map[modeler.FlowID][]*unit
	// runs holds the newest attempt of each task, abandoned the earlier ones
	// that may still run, and late those of them whose end is proposed.
	runs      map[modeler.FlowTask]*run
	abandoned map[modeler.FlowTask][]*run
	late      map[trial]*run
	queues    map[modeler.QueueID]*queueView
	// slowdowns is the range over the queues whose flows were seen.
	slowdowns slowdowns
	out       Output
	// changed says that a decision may be possible that was not before.
	changed bool
	// lossy is until when renewals wait for less.
	lossy modeler.Reading
	// meeting counts the first renewals under way.
	meeting int
	// committing counts the starts that are proposed but not committed.
	committing int
}

// queueView is what was learned of a queue's flows.
type queueView struct {
	// allowed is the share of workers that the outside policy allows.
	allowed float64
	// ratio is the run time of tasks divided by their estimate.
	ratio float64
	// mean and variance describe the logarithm of that ratio.
	mean     float64
	variance float64
}

// New returns the dispatcher of a new leadership over the committed state.
func New(now modeler.Reading, stamp modeler.Stamp, term modeler.Term, state *sequencer.Sequencer, settings Settings) *Dispatcher {
	if settings.Log == nil {
		settings.Log = func(string, ...any) {}
	}
	d := &Dispatcher{
		state:     state,
		settings:  settings,
		term:      term,
		began:     now,
		stamp:     stamp,
		hosts:     make(map[modeler.WorkerID]*host),
		units:     make(map[modeler.StepKey]*unit),
		flows:     make(map[modeler.FlowID][]*unit),
		runs:      make(map[modeler.FlowTask]*run),
		abandoned: make(map[modeler.FlowTask][]*run),
		late:      make(map[trial]*run),
		queues:    make(map[modeler.QueueID]*queueView),
		changed:   true,
	}
	for id := range state.Workers() {
		d.noteWorker(now, id)
	}
	state.Each(func(f *sequencer.Flow) { d.restore(now, f) })
	return d
}

// Follow brings the dispatcher up to the committed state.
func (d *Dispatcher) Follow(now modeler.Reading, stamp modeler.Stamp, changes []sequencer.Change) {
	d.stamp = stamp
	for i := range changes {
		c := &changes[i]
		switch c.Kind {
		case sequencer.FlowAdded:
			d.addFlow(now, c.Flow)
		case sequencer.FlowOver:
			d.dropFlow(now, c.Flow)
		case sequencer.AttemptStarted:
			d.started(now, c.Start)
		case sequencer.AttemptEnded:
			d.ended(now, c.End)
		case sequencer.WorkerNoted:
			d.noteWorker(now, c.Worker)
		case sequencer.WorkerDeparted:
			d.departed(now, c.Worker)
		}
	}
	if len(changes) > 0 {
		d.changed = true
	}
}

// Tick lets deadlines pass.
func (d *Dispatcher) Tick(now modeler.Reading, stamp modeler.Stamp) {
	d.stamp = stamp
	for _, h := range d.hosts {
		d.tickHost(now, h)
	}
	d.copySilent(now)
	d.wakeUnits(now)
	d.changed = true
}

// Output decides what can be decided and returns what is to be done.
func (d *Dispatcher) Output(now modeler.Reading) Output {
	for _, h := range d.hosts {
		d.renew(now, h)
	}
	if d.changed {
		d.changed = false
		d.place(now)
	}
	out := d.out
	d.out = Output{}
	return out
}

func (d *Dispatcher) send(o Order) {
	o.Term = d.term
	o.Timeout = orderTimeout
	// The first renewals of a term compete for a new leader's processor.
	if o.Kind == Renew && d.hosts[o.Worker].known {
		o.Timeout = o.Wait + renewTimeout
	}
	d.out.Orders = append(d.out.Orders, o)
}

func (d *Dispatcher) queue(id modeler.QueueID) *queueView {
	q := d.queues[id]
	if q == nil {
		q = &queueView{allowed: 0.5, ratio: 1, variance: firstDeviation * firstDeviation}
		d.queues[id] = q
	}
	return q
}
