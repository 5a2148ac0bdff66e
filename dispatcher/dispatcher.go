package dispatcher

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/interference"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/profiler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// Settings holds the time limits that apply to workers and tasks.
type Settings struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a worker takes to stop a task.
	MaxStopTime time.Duration
	// GangTimeout is how long a worker keeps one member of a gang waiting for the other
	// members.
	GangTimeout time.Duration
	// MaxTimeOverTarget is how long a serving task may exceed its latency target because of
	// backfill beside it.
	MaxTimeOverTarget time.Duration
	// MaxListedEnds is the most ends that a worker lists in one answer; a list of as
	// many may not be complete. 0 means that each answer lists all.
	MaxListedEnds int
	// QuotaOverage is the part of an account's quota by which a gang may exceed it.
	QuotaOverage float64
	// Interference is what is done about tasks that slow each other down, by service. Without
	// it they are only observed.
	Interference interference.Modes
	// Disabled switches decisions off.
	Disabled map[Decision]bool
	// Log writes one log line about a decision; it must not block.
	Log func(event string, pairs ...any)
}

// Output holds the actions that the caller has to carry out.
type Output struct {
	Orders []modeler.Order
	// Starts and Ends are to be proposed to the replicated log.
	Starts []modeler.FlowStart
	Ends   []modeler.FlowEnd
	// Begun lists flows to record as begun. Those that are not recorded are listed again.
	Begun []modeler.FlowID
	// Departed lists workers to remove from the replicated state.
	Departed []modeler.WorkerDeparture
	// Announced lists workers to record, since a process answers as their newest generation.
	Announced []modeler.WorkerAnnouncement
	// Silent lists workers to record as silent, and Returned those that answer again. What is
	// not recorded is listed again.
	Silent   []modeler.WorkerSilence
	Returned []modeler.WorkerID
	// Learned is to be proposed to the replicated log, if it is not nil. If it is lost,
	// it is listed again.
	Learned *modeler.Learned
}

// Dispatcher is the leader's state of workers and attempts; it is not
// replicated.
type Dispatcher struct {
	state     *sequencer.Sequencer
	settings  Settings
	term      modeler.Term
	termBegan modeler.ClockReading
	stamp     modeler.Timestamp
	// restoring is set while a new leader takes the replicated state over.
	restoring bool
	hosts     map[modeler.WorkerID]*host
	// registrations counts the fencing tokens that were given since the term began: one
	// for each added host, and for each generation that answered before it was announced.
	registrations uint64
	// hostList holds the values of hosts in the order in which they were added;
	// hostsAt groups them by network address.
	hostList []*host
	hostsAt  map[string][]*host
	// renewQueue holds the hosts that have no renewal in flight.
	renewQueue []*host
	units      map[modeler.StepKey]*unit
	// sortedUnits holds all units, and some that were dropped, in the order of
	// compareUnits.
	sortedUnits []*unit
	// droppedUnits counts the units in sortedUnits that are not in use any more.
	droppedUnits int
	// flowUnits holds the units of each flow that is not over.
	flowUnits map[modeler.FlowID]*flowUnits
	// flowsWithDone holds the flows with occurrences that the next tick drops.
	flowsWithDone map[modeler.FlowID]bool
	// runs holds the newest attempt of each task, abandoned the earlier attempts
	// that may still run, and proposedEnds the attempts whose end is proposed while
	// runs holds another attempt of their task.
	runs         map[modeler.FlowTask]*run
	abandoned    map[modeler.FlowTask][]*run
	proposedEnds map[attemptID]*run
	// begun holds the flows that have begun and are not recorded so, with the time at which
	// they were last listed, or 0.
	begun map[modeler.FlowID]modeler.ClockReading
	// moves holds the newest moves of overdue tasks that are not done.
	moves  map[modeler.FlowTask]*move
	queues map[modeler.QueueID]*queueStats
	// ledger holds what each account has running. blockedAccounts has the accounts of
	// which a step waits for the quota in the current pass of the placement.
	ledger          *accountant.Ledger
	blockedAccounts map[*accountant.Account]bool
	// lateBeyondShare tells in which queues flows beyond their share wait although their
	// objective is missed.
	lateBeyondShare map[lateFlows]bool
	// unheardCopies are counted in the ledger besides the attempts.
	unheardCopies []unheardCopy
	services      map[modeler.ServiceName]*serviceHealth
	// profiler estimates the speeds of the workers; measuredSteps holds the steps with
	// runs that it learns from at the next tick.
	profiler      *profiler.Profiler
	measuredSteps []*unit
	// demand tells what room on fast workers is worth.
	demand   demand
	tickedAt modeler.ClockReading
	// recordedAt is when what was learned was last listed to be recorded, and
	// recordedHost the index in hostList of the worker that was looked at last.
	recordedAt   modeler.ClockReading
	recordedHost int
	out          Output
	// changed means that the state has changed since the last placement.
	changed bool
	// headroom is what less urgent steps leave to the most urgent ones.
	headroom headroom
	// examined counts the workers examined in the current pass of the placement, which
	// is partial if it did not reach all waiting steps. placeRound counts the rounds
	// of passes that did.
	examined      int
	passIsPartial bool
	// reservationPass numbers the sums over the blockers of reservations, so that each
	// blocker counts once in a sum.
	reservationPass uint64
	placeRound      uint64
	// searchStart is the index in hostList at which the next search for workers to
	// ask about begins.
	searchStart int
	// nextRequestAt is when the requests of steps that are not urgent would have been sent at
	// their mean rate.
	nextRequestAt modeler.ClockReading
	// hasBeyondShare means that a step beyond its account's share waits for permits.
	hasBeyondShare bool
	// lossyUntil is when renewals return to their usual wait after one got no
	// answer.
	lossyUntil modeler.ClockReading
	// firstRenewals counts the first renewals in flight; senders is the number of
	// processes that send orders.
	firstRenewals int
	senders       int
	// committing counts the starts that are proposed but not committed.
	committing int
	// eventLag is how long the oldest unprocessed event has been waiting.
	eventLag time.Duration
	// matrix holds the pairs of images that slow each other down; presences and images are
	// buffers.
	matrix    *interference.Matrix
	presences []presence
	images    []modeler.ImageName
	// heldBack holds the tasks that are not started again because a worker has
	// listed an earlier attempt as done. Each maps to that worker until the end is
	// committed.
	heldBack map[modeler.FlowTask]*host
}

// queueStats holds what the leader has learned from the flows of one queue.
type queueStats struct {
	// allowed is the estimated share of workers that the outside policy allows.
	allowed float64
	// runtimes predicts the run times of its tasks; learned counts those that it has
	// learned from.
	runtimes runtimes
	learned  int
	// copies and restarts tell whether moves of its overdue tasks have paid.
	copies, restarts gains
}

// New returns the dispatcher of a new leader, built from the committed state.
func New(now modeler.ClockReading, stamp modeler.Timestamp, term modeler.Term, state *sequencer.Sequencer, settings Settings) *Dispatcher {
	if settings.Log == nil {
		settings.Log = func(string, ...any) {}
	}
	d := &Dispatcher{
		state:         state,
		settings:      settings,
		term:          term,
		termBegan:     now,
		stamp:         stamp,
		hosts:         make(map[modeler.WorkerID]*host),
		units:         make(map[modeler.StepKey]*unit),
		flowUnits:     make(map[modeler.FlowID]*flowUnits),
		flowsWithDone: make(map[modeler.FlowID]bool),
		runs:          make(map[modeler.FlowTask]*run),
		hostsAt:       make(map[string][]*host),
		abandoned:     make(map[modeler.FlowTask][]*run),
		proposedEnds:  make(map[attemptID]*run),
		begun:         make(map[modeler.FlowID]modeler.ClockReading),
		moves:         make(map[modeler.FlowTask]*move),
		queues:        make(map[modeler.QueueID]*queueStats),
		services:      make(map[modeler.ServiceName]*serviceHealth),
		changed:       true,
		senders:       1,
		heldBack:      make(map[modeler.FlowTask]*host),
		profiler:      profiler.New(),

		matrix:          interference.NewMatrix(),
		ledger:          accountant.NewLedger(settings.QuotaOverage),
		blockedAccounts: make(map[*accountant.Account]bool),
		lateBeyondShare: make(map[lateFlows]bool),
		restoring:       true,
		placeRound:      1,
	}
	d.ledger.SetAccounts(state.Layout())
	for _, m := range state.Workers() {
		h := d.addHost(now, m)
		_, h.silence.isRecorded = state.Silences()[m.ID]
	}
	d.settings.Log("workers taken over", "count", len(d.hostList), "term", term)
	d.restoreLearned()
	state.ForEachFlow(func(f *sequencer.Flow) { d.restoreFlow(now, f) })
	d.countUnheardCopies()
	slices.SortFunc(d.sortedUnits, compareUnits)
	d.settings.Log("flows taken over", "count", len(d.flowUnits), "steps", len(d.units), "attempts", len(d.runs), "term", term)
	d.restoring = false
	return d
}

// HasMoreToPlace reports whether the last call of Output left steps for the next one.
func (d *Dispatcher) HasMoreToPlace() bool { return d.passIsPartial && d.changed }

// ApplyChanges applies committed changes of the replicated state. The state is that after
// all of them, so flows that are over are dropped first: no other change is then handled
// for a step of a flow that further changes have ended.
func (d *Dispatcher) ApplyChanges(now modeler.ClockReading, stamp modeler.Timestamp, changes []sequencer.Change) {
	d.stamp = stamp
	var dropped []*unit
	for i := range changes {
		if changes[i].Kind == sequencer.FlowEnded {
			d.logFlowOver(changes[i].Flow, len(changes))
			dropped = append(dropped, d.dropFlow(now, changes[i].Flow)...)
		}
	}
	for i := range changes {
		c := &changes[i]
		switch c.Kind {
		case sequencer.FlowAdded:
			d.addFlow(now, c.Flow)
		case sequencer.AttemptStarted:
			d.handleStarted(now, c.Start)
		case sequencer.AttemptEnded:
			d.handleEnded(now, c.End)
		case sequencer.WorkerUpdated:
			d.updateWorker(now, c.Worker)
		case sequencer.WorkerDeparted:
			d.handleDeparted(now, c.Worker)
		case sequencer.WorkerReturned:
			d.handleReturned(now, c.Worker)
		case sequencer.LayoutChanged:
			d.updateAccounts()
		}
	}
	for _, u := range dropped {
		d.closeInterference(now, u)
	}
	if len(changes) > 0 {
		d.changed = true
	}
}

// logFlowOver writes a log line about a flow that is over, and how many changes its log
// entry has made.
func (d *Dispatcher) logFlowOver(id modeler.FlowID, changes int) {
	if f, found := d.state.Flow(id); found {
		d.settings.Log("flow over", "request", id, "state", f.State, "occupied", f.OccupiedTasks, "changes", changes)
	}
}

// SetSenders sets the number of processes that send orders.
func (d *Dispatcher) SetSenders(n int) { d.senders = max(n, 1) }

// SetEventLag sets how long the oldest unprocessed event has been waiting. Answers
// and announcements may be among the unprocessed events, so nothing is concluded
// from the silence of a worker in that time.
func (d *Dispatcher) SetEventLag(lag time.Duration) { d.eventLag = lag }

// heardBy returns the clock reading up to which all received events have been
// processed.
func (d *Dispatcher) heardBy(now modeler.ClockReading) modeler.ClockReading {
	return now.Add(-d.eventLag)
}

// Tick handles deadlines that have passed since the last call.
func (d *Dispatcher) Tick(now modeler.ClockReading, stamp modeler.Timestamp) {
	d.stamp = stamp
	for _, h := range d.hostList {
		d.tickHost(now, h)
	}
	d.releaseUnheardCopies(now)
	d.copyTasksOfUnanswered(now)
	d.forgetMoves()
	d.recordBegun(now)
	d.learnSpeeds()
	d.recordLearned(now)
	d.demand.update(now.Sub(d.tickedAt), d.hostList)
	d.tickedAt = now
	d.updateReadiness(now)
	d.updateTimeliness()
	d.updateLateBeyondShare()
	d.updateRoomSoon(now)
	d.updateHeadroom(now)
	d.tickInterference(now)
	d.changed = true
}

// Output makes the decisions that are possible now and returns the resulting
// actions.
func (d *Dispatcher) Output(now modeler.ClockReading) Output {
	d.sendDueRenewals(now)
	if d.changed {
		d.changed = false
		if d.eventLag <= maxPlacementLag {
			d.place(now)
		}
	}
	out := d.out
	d.out = Output{}
	return out
}

// maxPlacementLag is the event lag above which no tasks are placed: the
// shortest objective of urgent work. A leader with more lag processes ends and
// renewals first, since each placement causes more events.
const maxPlacementLag = 250 * time.Millisecond

// send sends an order to a generation of a worker.
func (d *Dispatcher) send(h *host, o modeler.Order) {
	o.Worker, o.Generation, o.Address, o.Fence = h.worker.ID, h.worker.Generation, h.worker.Address, h.fence
	o.Timeout = orderTimeout
	// First renewals keep the longer orderTimeout: on a new leader many of them
	// compete for the processor.
	if o.Kind == modeler.RenewOrder && h.hasAnswered {
		o.Timeout = o.Wait + renewTimeout
	}
	d.out.Orders = append(d.out.Orders, o)
}

func (d *Dispatcher) queue(id modeler.QueueID) *queueStats {
	q := d.queues[id]
	if q == nil {
		q = &queueStats{allowed: 0.5, runtimes: newRuntimes()}
		d.queues[id] = q
	}
	return q
}
