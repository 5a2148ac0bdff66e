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

// Output is what the caller has to carry out.
type Output struct {
	Orders []modeler.Order
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
	began    modeler.ClockReading
	stamp    modeler.Timestamp
	hosts    map[modeler.WorkerID]*host
	// list holds the same hosts, and addresses those at each address.
	list      []*host
	addresses map[string][]*host
	// renewals holds the hosts without a renewal under way.
	renewals []*host
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
	// rotor is the place in list from which workers are named that could make
	// room.
	rotor int
	// lossy is until when renewals wait for less.
	lossy modeler.ClockReading
	// meeting counts the first renewals under way, and senders the processes that
	// send orders.
	meeting int
	senders int
	// committing counts the starts that are proposed but not committed.
	committing int
	// behind is how long the oldest event waits that was not taken in.
	behind time.Duration
	// voided holds the tasks whose newest attempt is not sent because a former
	// one is done, until that end is committed.
	voided map[modeler.FlowTask]*host
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
func New(now modeler.ClockReading, stamp modeler.Timestamp, term modeler.Term, state *sequencer.Sequencer, settings Settings) *Dispatcher {
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
		addresses: make(map[string][]*host),
		abandoned: make(map[modeler.FlowTask][]*run),
		late:      make(map[trial]*run),
		queues:    make(map[modeler.QueueID]*queueView),
		changed:   true,
		senders:   1,
		voided:    make(map[modeler.FlowTask]*host),
	}
	for _, m := range state.Workers() {
		h := d.addHost(now, m)
		d.endFormer(now, h)
	}
	d.settings.Log("workers taken over", "count", len(d.list), "term", term)
	state.Each(func(f *sequencer.Flow) { d.restore(now, f) })
	return d
}

// Follow brings the dispatcher up to the committed state.
func (d *Dispatcher) Follow(now modeler.ClockReading, stamp modeler.Timestamp, changes []sequencer.Change) {
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

// Senders says how many processes send the orders.
func (d *Dispatcher) Senders(n int) { d.senders = max(n, 1) }

// Behind says how long the oldest event has waited that was not taken in yet.
// What has not been heard by then may be among them, so nothing is concluded
// from silence since.
func (d *Dispatcher) Behind(lag time.Duration) { d.behind = lag }

// heardBy returns the reading up to which all that has arrived was taken in.
func (d *Dispatcher) heardBy(now modeler.ClockReading) modeler.ClockReading {
	return now.Add(-d.behind)
}

// Tick lets deadlines pass.
func (d *Dispatcher) Tick(now modeler.ClockReading, stamp modeler.Timestamp) {
	d.stamp = stamp
	for _, h := range d.list {
		d.tickHost(now, h)
	}
	d.copySilent(now)
	d.wakeUnits(now)
	d.judgeProspects()
	d.changed = true
}

// Output decides what can be decided and returns what is to be done.
func (d *Dispatcher) Output(now modeler.ClockReading) Output {
	d.renewAll(now)
	if d.changed {
		d.changed = false
		if d.behind <= placeWithin {
			d.place(now)
		}
	}
	out := d.out
	d.out = Output{}
	return out
}

// placeWithin is the longest time that events may wait while tasks are placed:
// the shortest objective of urgent work. Behind that, ends and renewals go
// first, since each decision brings more events.
const placeWithin = 250 * time.Millisecond

func (d *Dispatcher) send(o modeler.Order) {
	o.Term = d.term
	o.Timeout = orderTimeout
	// The first renewals of a term compete for a new leader's processor.
	if o.Kind == modeler.RenewOrder && d.hosts[o.Worker].known {
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
