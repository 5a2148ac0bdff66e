package supervisor

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// Lease is how long a worker may run a task after the clock reading that
	// the lease was counted from.
	Lease = 5 * time.Second
	// margin covers the time between reading a clock and using it.
	margin = 50 * time.Millisecond
	// silent is how long a worker may miss heartbeats before it gets no new
	// work; three heartbeats are due in it.
	silent = 3 * time.Second
	// resend is the pause between two sends of an unanswered order.
	resend = time.Second
	// askEvery is the pause between two questions about a checkpoint in the
	// first askFor after its order. Room for urgent work hangs on the answer,
	// and a worker may not report the end before its next heartbeat.
	askEvery = 100 * time.Millisecond
	askFor   = 1500 * time.Millisecond
	// failPause is how long after its start a failure is left to a later
	// heartbeat, which reports it again. Without it, a task that fails at once
	// was started 15 times a second when workers report changes at once.
	failPause = time.Second
)

// heldFor is how long the leader counts a lease as held after the moment it
// received the clock reading.
var heldFor = modeler.MaxLocalSpan(Lease) + margin

// Order is a task order with the worker it goes to.
type Order struct {
	Worker  modeler.WorkerID
	Address string
	Body    modeler.TaskOrder
}

// Delivery tells what became of an order.
type Delivery uint8

// The fates of an order.
const (
	Delivered Delivery = iota + 1
	// Refused says that the worker answered that it doesn't start the task.
	Refused
	// Unsent says that no byte of the order left.
	Unsent
	// Uncertain says that the order may have arrived.
	Uncertain
)

// Event is something that the leader must act upon.
type Event struct {
	Kind   EventKind
	Worker modeler.WorkerID
	End    modeler.TaskEnd
}

// EventKind tells what an event means.
type EventKind uint8

// The kinds of events.
const (
	// WorkerSilent says that the worker gets no new work for now.
	WorkerSilent EventKind = iota + 1
	// AttemptEnded says that the attempt has ended for certain.
	AttemptEnded
)

// Output is what the supervisor wants done.
type Output struct {
	Orders []Order
	Events []Event
}

// host is a worker as the leader hears of it.
type host struct {
	generation modeler.Generation
	address    string
	// clock is the worker's newest reading and heard the leader's time of
	// receiving it.
	clock  modeler.ClockReading
	heard  modeler.ClockReading
	silent bool
	tasks  map[modeler.TaskID]*attempt
}

// attempt is a placed attempt as the leader supervises it.
type attempt struct {
	placement modeler.Placement
	size      modeler.Resources
	command   string
	once      bool
	// mayRun says that a start may have reached the worker.
	mayRun bool
	// seen says that the worker has reported the attempt as running.
	seen bool
	// since is when the worker first reported the attempt as running.
	since modeler.ClockReading
	// begun is when this leader first sent the start.
	begun modeler.ClockReading
	// heldUntil is when the lease is over for certain.
	heldUntil modeler.ClockReading
	// stop is the order that ends the attempt, empty while it may run.
	stop     modeler.TaskVerb
	throttle bool
	lastSent modeler.ClockReading
	// ordered is when the checkpoint was first ordered; asking says that an
	// order for it has no answer yet.
	ordered modeler.ClockReading
	asking  bool
	sent    bool
	detail  string
}

// Supervisor supervises the placed attempts of one leadership.
type Supervisor struct {
	term  modeler.Term
	began modeler.ClockReading
	hosts map[modeler.WorkerID]*host
	// asked are the attempts whose checkpoint has been ordered.
	asked []modeler.Placement
	out   Output
}

// New returns the supervisor of a leadership that begins now.
func New(now modeler.ClockReading, term modeler.Term) *Supervisor {
	return &Supervisor{
		term:  term,
		began: now,
		hosts: make(map[modeler.WorkerID]*host),
	}
}

// Output returns and forgets what is to be done.
func (s *Supervisor) Output() Output {
	out := s.out
	s.out = Output{}
	return out
}

func (s *Supervisor) host(id modeler.WorkerID) *host {
	h, found := s.hosts[id]
	if !found {
		h = &host{tasks: make(map[modeler.TaskID]*attempt)}
		s.hosts[id] = h
	}
	return h
}

// Restore takes over an attempt that an earlier leader placed; until its
// worker reports, it may run under a lease of that leader.
func (s *Supervisor) Restore(p modeler.Placement, job *modeler.Job) {
	a := newAttempt(p, job)
	a.mayRun = true
	a.heldUntil = s.began.Add(heldFor)
	s.host(p.Worker).tasks[p.Task] = a
}

// Placed supervises a placement that has just been committed.
func (s *Supervisor) Placed(now modeler.ClockReading, p modeler.Placement, job *modeler.Job) {
	h := s.host(p.Worker)
	a := newAttempt(p, job)
	h.tasks[p.Task] = a
	if h.generation != p.Generation {
		// The worker has restarted, or hasn't been heard by this leader: the
		// start was never sent, so the attempt can be given up at once.
		s.end(h, a, modeler.TaskLost, "the worker restarted before the start")
		return
	}
	s.sendStart(now, h, a)
}

func newAttempt(p modeler.Placement, job *modeler.Job) *attempt {
	return &attempt{placement: p, size: job.Size, command: job.Command, once: job.AtMostOnce}
}

// Stop ends an attempt by verb, which is StopTask or CheckpointTask.
func (s *Supervisor) Stop(now modeler.ClockReading, p modeler.Placement, verb modeler.TaskVerb, detail string) {
	h, a := s.find(p)
	if a == nil || a.stop == modeler.StopTask {
		return
	}
	a.stop = verb
	a.detail = detail
	if verb == modeler.CheckpointTask && a.ordered == 0 {
		a.ordered = now
		s.asked = append(s.asked, p)
	}
	if !a.mayRun {
		s.end(h, a, modeler.TaskStopped, detail)
		return
	}
	if h.address == "" {
		// A new leader sends the order with the worker's first heartbeat.
		return
	}
	s.send(now, h, a, verb)
}

// Throttle asks the worker to slow an attempt down.
func (s *Supervisor) Throttle(now modeler.ClockReading, p modeler.Placement) {
	h, a := s.find(p)
	if a == nil || a.stop != "" || a.throttle {
		return
	}
	a.throttle = true
	s.send(now, h, a, modeler.ThrottleTask)
}

func (s *Supervisor) find(p modeler.Placement) (*host, *attempt) {
	h, found := s.hosts[p.Worker]
	if !found {
		return nil, nil
	}
	a, found := h.tasks[p.Task]
	if !found || a.placement.Attempt != p.Attempt {
		return nil, nil
	}
	return h, a
}

func (s *Supervisor) sendStart(now modeler.ClockReading, h *host, a *attempt) {
	// A start is not sent on a reading so old that the lease would end at
	// once; the next heartbeat sends it.
	if now.Sub(h.heard) > Lease/2 {
		return
	}
	a.mayRun = true
	if a.begun == 0 {
		a.begun = now
	}
	a.heldUntil = max(a.heldUntil, h.heard.Add(heldFor))
	s.send(now, h, a, modeler.StartTask)
}

func (s *Supervisor) send(now modeler.ClockReading, h *host, a *attempt, verb modeler.TaskVerb) {
	a.lastSent = now
	a.sent = true
	a.asking = verb == modeler.CheckpointTask
	s.out.Orders = append(s.out.Orders, Order{
		Worker:  a.placement.Worker,
		Address: h.address,
		Body: modeler.TaskOrder{
			Verb:       verb,
			Generation: a.placement.Generation,
			Lease:      s.lease(h, a.placement),
			Size:       a.size,
			Command:    a.command,
		},
	})
}

func (s *Supervisor) lease(h *host, p modeler.Placement) modeler.TaskLease {
	return modeler.TaskLease{
		Task:    p.Task,
		Attempt: p.Attempt,
		Term:    s.term,
		Until:   h.clock.Add(Lease),
	}
}

// Answered takes the fate of an order.
func (s *Supervisor) Answered(o Order, d Delivery) {
	if o.Body.Verb == modeler.CheckpointTask {
		l := o.Body.Lease
		if _, a := s.find(modeler.Placement{Task: l.Task, Attempt: l.Attempt, Worker: o.Worker}); a != nil {
			a.asking = false
		}
		return
	}
	if o.Body.Verb != modeler.StartTask || d != Refused {
		return
	}
	l := o.Body.Lease
	_, a := s.find(modeler.Placement{Task: l.Task, Attempt: l.Attempt, Worker: o.Worker})
	if a == nil || a.seen {
		return
	}
	// An earlier send of the same start may still have been taken, so the
	// attempt is stopped and ends with its lease or the worker's report.
	a.stop = modeler.StopTask
	a.detail = "the worker refused the start"
}

// Learned takes the report in a worker's answer to an order. Only an end counts:
// it is final, whereas a running attempt may be missing from a heartbeat that
// was measured before its start and arrives after this answer.
func (s *Supervisor) Learned(now modeler.ClockReading, o Order, r modeler.TaskReport) {
	l := o.Body.Lease
	if r.Task != l.Task || r.Attempt != l.Attempt || !r.State.Ended() {
		return
	}
	h, a := s.find(modeler.Placement{Task: l.Task, Attempt: l.Attempt, Worker: o.Worker})
	if a == nil || a.placement.Generation != o.Body.Generation || a.failsFast(now, r.State) {
		return
	}
	s.end(h, a, r.State, r.Detail)
}

// failsFast reports whether a failure is too young to be acted upon.
func (a *attempt) failsFast(now modeler.ClockReading, state modeler.TaskState) bool {
	return state == modeler.TaskFailed && a.begun != 0 && now.Sub(a.begun) < failPause
}

// end reports the end of an attempt and forgets it.
func (s *Supervisor) end(h *host, a *attempt, state modeler.TaskState, detail string) {
	delete(h.tasks, a.placement.Task)
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
			Retry:   again(a, state),
		},
	})
}

// again says whether the task is to be placed once more.
func again(a *attempt, state modeler.TaskState) bool {
	if a.once && a.mayRun {
		return false
	}
	return state != modeler.TaskDone
}

// Tick ends the attempts whose leases are over and finds silent workers.
func (s *Supervisor) Tick(now modeler.ClockReading) {
	s.askAgain(now)
	for id, h := range s.hosts {
		s.tickHost(now, id, h)
	}
}

// askAgain sends checkpoint orders again; the answers tell what has ended.
func (s *Supervisor) askAgain(now modeler.ClockReading) {
	kept := s.asked[:0]
	for _, p := range s.asked {
		h, a := s.find(p)
		if a == nil || a.stop != modeler.CheckpointTask {
			continue
		}
		kept = append(kept, p)
		pause := askEvery
		if now.Sub(a.ordered) > askFor {
			pause = resend
		}
		// Questions to a worker that doesn't answer would only delay the next
		// orders to it.
		if a.sent && !a.asking && !h.silent && now.Sub(a.lastSent) >= pause {
			s.send(now, h, a, modeler.CheckpointTask)
		}
	}
	s.asked = kept
}

func (s *Supervisor) tickHost(now modeler.ClockReading, id modeler.WorkerID, h *host) {
	heard := max(h.heard, s.began)
	if !h.silent && now.Sub(heard) > silent {
		h.silent = true
		s.out.Events = append(s.out.Events, Event{Kind: WorkerSilent, Worker: id})
	}
	if !h.silent {
		return
	}
	for _, a := range h.tasks {
		if now > a.heldUntil {
			s.end(h, a, modeler.TaskLost, "the worker is silent and the lease is over")
		}
	}
	if len(h.tasks) == 0 && now.Sub(heard) > 10*silent {
		delete(s.hosts, id)
	}
}

// Reported tells whether a worker that isn't silent reports the attempt as
// running, and for how long its reports have done so.
func (s *Supervisor) Reported(p modeler.Placement) (time.Duration, bool) {
	h, a := s.find(p)
	if a == nil || !a.seen || h.silent {
		return 0, false
	}
	return h.heard.Sub(a.since), true
}

// Running returns the number of supervised attempts.
func (s *Supervisor) Running() int {
	n := 0
	for _, h := range s.hosts {
		n += len(h.tasks)
	}
	return n
}
