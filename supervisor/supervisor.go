package supervisor

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// Lease is how long a worker may run a task without renewal. It is counted
	// from the worker's own clock reading in its last heartbeat.
	Lease = 5 * time.Second
	// leaseMargin covers the time between reading a clock and using the reading.
	leaseMargin = 50 * time.Millisecond
	// silenceTimeout is how long a worker may go without a heartbeat before it
	// gets no new work. Three heartbeats are due in this time.
	silenceTimeout = 3 * time.Second
	// resendInterval is the time after which an order is sent again if no report of
	// the worker shows its effect.
	resendInterval = time.Second
	// checkpointPollInterval is the time between two sends of a checkpoint order
	// during the first checkpointPollPeriod; after that, resendInterval applies.
	// Urgent work waits for the room that the checkpointed task frees, and
	// without a repeated order the worker may not report the end before its next
	// heartbeat.
	checkpointPollInterval = 100 * time.Millisecond
	checkpointPollPeriod   = 1500 * time.Millisecond
	// minFailureAge is how long after the first start order a reported failure is
	// ignored; a later heartbeat reports it again. Without this delay, a task that
	// fails immediately is restarted up to 15 times a second, since workers report
	// state changes immediately.
	minFailureAge = time.Second
)

// leaseHoldTime is how long after receiving a worker's clock reading the leader
// must assume that the lease counted from it is held. It exceeds Lease by the
// allowed clock drift and leaseMargin.
var leaseHoldTime = modeler.MaxLocalSpan(Lease) + leaseMargin

// Order is a task order and the worker that it is sent to.
type Order struct {
	Worker  modeler.WorkerID
	Address string
	Body    modeler.TaskOrder
}

// Delivery is the outcome of sending an order.
type Delivery uint8

// The outcomes of sending an order.
const (
	// Delivered means that the worker accepted the order.
	Delivered Delivery = iota + 1
	// Refused means that the worker answered and didn't carry out the order.
	Refused
	// Unsent means that no byte of the order was sent.
	Unsent
	// Uncertain means that the order may or may not have reached the worker.
	Uncertain
)

// Event is a change that the leader must act on.
type Event struct {
	Kind   EventKind
	Worker modeler.WorkerID
	End    modeler.TaskEnd
}

// EventKind is the type of an event.
type EventKind uint8

// The kinds of events.
const (
	// WorkerSilent means that the worker has sent no heartbeat for too long and
	// must get no new work until it sends one.
	WorkerSilent EventKind = iota + 1
	// AttemptEnded means that the attempt can no longer be running.
	AttemptEnded
)

// Output holds the orders to send and the events to handle.
type Output struct {
	Orders []Order
	Events []Event
}

// workerState is what the leader knows of a worker from its heartbeats.
type workerState struct {
	generation modeler.Generation
	address    string
	// clock is the worker's newest clock reading, and heardAt the leader's clock
	// reading when it arrived.
	clock    modeler.ClockReading
	heardAt  modeler.ClockReading
	isSilent bool
	tasks    map[modeler.TaskID]*attempt
}

// attempt is the leader's state of one placed attempt of a task.
type attempt struct {
	placement  modeler.Placement
	size       modeler.Resources
	command    string
	atMostOnce bool
	// mayBeRunning is set once a start order may have reached the worker.
	mayBeRunning bool
	// reportedRunning is set once the worker has reported the attempt as running.
	reportedRunning bool
	// runningSince is when the worker first reported the attempt as running.
	runningSince modeler.ClockReading
	// startSentAt is when this leader first sent the start order, 0 if it hasn't.
	startSentAt modeler.ClockReading
	// leaseHeldUntil is the leader's time after which the worker can't hold the
	// lease any longer.
	leaseHeldUntil modeler.ClockReading
	// stopVerb is the order that ends the attempt, StopTask or CheckpointTask. It
	// is empty as long as the attempt is to run.
	stopVerb        modeler.TaskVerb
	throttleOrdered bool
	lastSentAt      modeler.ClockReading
	// checkpointOrderedAt is when the checkpoint was first ordered, and
	// awaitsCheckpointAnswer is set while a checkpoint order is unanswered.
	checkpointOrderedAt    modeler.ClockReading
	awaitsCheckpointAnswer bool
	orderSent              bool
	detail                 string
}

// Supervisor tracks the placed attempts and their workers during one
// leadership.
type Supervisor struct {
	term      modeler.Term
	startedAt modeler.ClockReading
	workers   map[modeler.WorkerID]*workerState
	// checkpointOrders lists the attempts whose checkpoint has been ordered.
	checkpointOrders []modeler.Placement
	out              Output
}

// New returns a supervisor for a leadership of the given term that starts at
// now.
func New(now modeler.ClockReading, term modeler.Term) *Supervisor {
	return &Supervisor{
		term:      term,
		startedAt: now,
		workers:   make(map[modeler.WorkerID]*workerState),
	}
}

// TakeOutput returns the orders and events collected since the last call and clears
// them.
func (s *Supervisor) TakeOutput() Output {
	out := s.out
	s.out = Output{}
	return out
}

func (s *Supervisor) workerState(id modeler.WorkerID) *workerState {
	w, found := s.workers[id]
	if !found {
		w = &workerState{tasks: make(map[modeler.TaskID]*attempt)}
		s.workers[id] = w
	}
	return w
}

// Restore adds an attempt that an earlier leader placed. Until its worker sends
// a heartbeat, it may run under a lease of the earlier leader.
func (s *Supervisor) Restore(p modeler.Placement, job *modeler.Job) {
	a := newAttempt(p, job)
	a.mayBeRunning = true
	a.leaseHeldUntil = s.startedAt.Add(leaseHoldTime)
	s.workerState(p.Worker).tasks[p.Task] = a
}

// AddPlacement adds a placement that has just been committed and sends its start
// order.
func (s *Supervisor) AddPlacement(now modeler.ClockReading, p modeler.Placement, job *modeler.Job) {
	w := s.workerState(p.Worker)
	a := newAttempt(p, job)
	w.tasks[p.Task] = a
	if w.generation != p.Generation {
		// The worker has restarted, or has sent this leader no heartbeat. The
		// start order was never sent, so the attempt ends immediately.
		s.endAttempt(w, a, modeler.TaskLost, "the worker restarted before the start")
		return
	}
	s.sendStart(now, w, a)
}

func newAttempt(p modeler.Placement, job *modeler.Job) *attempt {
	return &attempt{placement: p, size: job.Size, command: job.Command, atMostOnce: job.AtMostOnce}
}

// Stop orders an attempt to end by verb, which is StopTask or CheckpointTask. An
// attempt whose start order was never sent ends immediately.
func (s *Supervisor) Stop(now modeler.ClockReading, p modeler.Placement, verb modeler.TaskVerb, detail string) {
	w, a := s.find(p)
	if a == nil || a.stopVerb == modeler.StopTask {
		return
	}
	a.stopVerb = verb
	a.detail = detail
	if verb == modeler.CheckpointTask && a.checkpointOrderedAt == 0 {
		a.checkpointOrderedAt = now
		s.checkpointOrders = append(s.checkpointOrders, p)
	}
	if !a.mayBeRunning {
		s.endAttempt(w, a, modeler.TaskStopped, detail)
		return
	}
	if w.address == "" {
		// This leader doesn't know the worker's address yet; the order is sent
		// when its first heartbeat arrives.
		return
	}
	s.send(now, w, a, verb)
}

// Throttle orders the worker to throttle an attempt. It does nothing if the
// attempt was throttled before or is being stopped.
func (s *Supervisor) Throttle(now modeler.ClockReading, p modeler.Placement) {
	w, a := s.find(p)
	if a == nil || a.stopVerb != "" || a.throttleOrdered {
		return
	}
	a.throttleOrdered = true
	s.send(now, w, a, modeler.ThrottleTask)
}

func (s *Supervisor) find(p modeler.Placement) (*workerState, *attempt) {
	w, found := s.workers[p.Worker]
	if !found {
		return nil, nil
	}
	a, found := w.tasks[p.Task]
	if !found || a.placement.Attempt != p.Attempt {
		return nil, nil
	}
	return w, a
}

func (s *Supervisor) sendStart(now modeler.ClockReading, w *workerState, a *attempt) {
	// With an old clock reading the lease would expire soon after the start. The
	// order is sent when the next heartbeat arrives.
	if now.Sub(w.heardAt) > Lease/2 {
		return
	}
	a.mayBeRunning = true
	if a.startSentAt == 0 {
		a.startSentAt = now
	}
	a.leaseHeldUntil = max(a.leaseHeldUntil, w.heardAt.Add(leaseHoldTime))
	s.send(now, w, a, modeler.StartTask)
}

func (s *Supervisor) send(now modeler.ClockReading, w *workerState, a *attempt, verb modeler.TaskVerb) {
	a.lastSentAt = now
	a.orderSent = true
	a.awaitsCheckpointAnswer = verb == modeler.CheckpointTask
	s.out.Orders = append(s.out.Orders, Order{
		Worker:  a.placement.Worker,
		Address: w.address,
		Body: modeler.TaskOrder{
			Verb:       verb,
			Generation: a.placement.Generation,
			Lease:      s.lease(w, a.placement),
			Size:       a.size,
			Command:    a.command,
		},
	})
}

func (s *Supervisor) lease(w *workerState, p modeler.Placement) modeler.TaskLease {
	return modeler.TaskLease{
		Task:    p.Task,
		Attempt: p.Attempt,
		Term:    s.term,
		Until:   w.clock.Add(Lease),
	}
}

// HandleDelivery records the outcome of sending an order.
func (s *Supervisor) HandleDelivery(o Order, d Delivery) {
	if o.Body.Verb == modeler.CheckpointTask {
		l := o.Body.Lease
		if _, a := s.find(modeler.Placement{Task: l.Task, Attempt: l.Attempt, Worker: o.Worker}); a != nil {
			a.awaitsCheckpointAnswer = false
		}
		return
	}
	if o.Body.Verb != modeler.StartTask || d != Refused {
		return
	}
	l := o.Body.Lease
	_, a := s.find(modeler.Placement{Task: l.Task, Attempt: l.Attempt, Worker: o.Worker})
	if a == nil || a.reportedRunning {
		return
	}
	// The worker may have accepted an earlier send of the same start order, so
	// the attempt is stopped and ends when its lease expires or the worker
	// reports its end.
	a.stopVerb = modeler.StopTask
	a.detail = "the worker refused the start"
}

// HandleReport processes the task report in a worker's answer to an order. Only an
// ended attempt is recorded. A running one is ignored: a heartbeat that was taken
// before its start and arrives after this answer doesn't list it, and the attempt
// would then count as lost.
func (s *Supervisor) HandleReport(now modeler.ClockReading, o Order, r modeler.TaskReport) {
	l := o.Body.Lease
	if r.Task != l.Task || r.Attempt != l.Attempt || !r.State.Ended() {
		return
	}
	w, a := s.find(modeler.Placement{Task: l.Task, Attempt: l.Attempt, Worker: o.Worker})
	if a == nil || a.placement.Generation != o.Body.Generation || a.failedTooEarly(now, r.State) {
		return
	}
	s.endAttempt(w, a, r.State, r.Detail)
}

// failedTooEarly reports whether state is a failure within minFailureAge of the
// start order, which is ignored until a later report.
func (a *attempt) failedTooEarly(now modeler.ClockReading, state modeler.TaskState) bool {
	return state == modeler.TaskFailed && a.startSentAt != 0 && now.Sub(a.startSentAt) < minFailureAge
}

// endAttempt removes an attempt and adds an AttemptEnded event.
func (s *Supervisor) endAttempt(w *workerState, a *attempt, state modeler.TaskState, detail string) {
	delete(w.tasks, a.placement.Task)
	if a.detail != "" && detail == "" {
		detail = a.detail
	}
	s.out.Events = append(s.out.Events, Event{
		Kind:   AttemptEnded,
		Worker: a.placement.Worker,
		End: modeler.TaskEnd{
			Task:    a.placement.Task,
			Attempt: a.placement.Attempt,
			State:   state,
			Detail:  detail,
			Retry:   shouldRetry(a, state),
		},
	})
}

// shouldRetry reports whether the task may be placed again. A task that must run
// at most once may not if a start order was sent.
func shouldRetry(a *attempt, state modeler.TaskState) bool {
	if a.atMostOnce && a.mayBeRunning {
		return false
	}
	return state != modeler.TaskDone
}

// Tick resends checkpoint orders, detects silent workers and ends the attempts
// on them whose leases have expired.
func (s *Supervisor) Tick(now modeler.ClockReading) {
	s.resendCheckpointOrders(now)
	for id, w := range s.workers {
		s.tickWorker(now, id, w)
	}
}

// resendCheckpointOrders repeats the checkpoint orders of attempts that haven't
// ended. The answers report the attempts that have.
func (s *Supervisor) resendCheckpointOrders(now modeler.ClockReading) {
	kept := s.checkpointOrders[:0]
	for _, p := range s.checkpointOrders {
		w, a := s.find(p)
		if a == nil || a.stopVerb != modeler.CheckpointTask {
			continue
		}
		kept = append(kept, p)
		pause := checkpointPollInterval
		if now.Sub(a.checkpointOrderedAt) > checkpointPollPeriod {
			pause = resendInterval
		}
		// Repeated orders to a worker that doesn't answer would delay later
		// orders to it.
		if a.orderSent && !a.awaitsCheckpointAnswer && !w.isSilent && now.Sub(a.lastSentAt) >= pause {
			s.send(now, w, a, modeler.CheckpointTask)
		}
	}
	s.checkpointOrders = kept
}

func (s *Supervisor) tickWorker(now modeler.ClockReading, id modeler.WorkerID, w *workerState) {
	heard := max(w.heardAt, s.startedAt)
	if !w.isSilent && now.Sub(heard) > silenceTimeout {
		w.isSilent = true
		s.out.Events = append(s.out.Events, Event{Kind: WorkerSilent, Worker: id})
	}
	if !w.isSilent {
		return
	}
	for _, a := range w.tasks {
		if now > a.leaseHeldUntil {
			s.endAttempt(w, a, modeler.TaskLost, "the worker is silent and the lease is over")
		}
	}
	if len(w.tasks) == 0 && now.Sub(heard) > 10*silenceTimeout {
		delete(s.workers, id)
	}
}

// RunningFor returns whether the attempt's worker reports it as running and isn't
// silent, and the time between the first and the latest such heartbeat.
func (s *Supervisor) RunningFor(p modeler.Placement) (time.Duration, bool) {
	w, a := s.find(p)
	if a == nil || !a.reportedRunning || w.isSilent {
		return 0, false
	}
	return w.heardAt.Sub(a.runningSince), true
}

// AttemptCount returns the number of supervised attempts.
func (s *Supervisor) AttemptCount() int {
	n := 0
	for _, w := range s.workers {
		n += len(w.tasks)
	}
	return n
}
