package prover

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/router"
)

const (
	callTimeout  = 2 * time.Second
	proposePause = 50 * ms
	requestLimit = 2 * time.Second
	requestWait  = 3 * time.Second
	dialTimeout  = 500 * ms
	maxAttempts  = 3
)

// rpc is a call to the leader that is waiting for its answer.
type rpc struct {
	link *link
	done func(modeler.Result)
}

// entry is a simulated entry process, which drives the router as the forwarder
// does.
type entry struct {
	process
	w              *world
	id             modeler.EntryID
	incarnation    modeler.Incarnation
	router         *router.Router
	peers          map[*link]modeler.Hello
	rpcs           map[modeler.Sequence]*rpc
	sequence       modeler.Sequence
	placements     map[router.RequestID]func(router.Assignment, classifier.Kind)
	requests       uint64
	activeCalls    map[*call]bool
	services       *modeler.Configuration // as seen by the request handlers
	version        modeler.Index          // version in force in the router
	highestVersion modeler.Index          // highest version served under, across restarts
	tickAt         modeler.ClockReading
	draining       bool
}

func (w *world) newEntry(id modeler.EntryID) *entry {
	e := &entry{process: *w.newProcess(string(id)), w: w, id: id}
	w.entries = append(w.entries, e)
	e.start()
	return e
}

func (e *entry) start() {
	e.alive, e.draining = true, false
	e.incarnation++
	e.router = router.New(e.id, e.incarnation, router.Options{})
	e.peers = map[*link]modeler.Hello{}
	e.rpcs = map[modeler.Sequence]*rpc{}
	e.placements = map[router.RequestID]func(router.Assignment, classifier.Kind){}
	e.activeCalls = map[*call]bool{}
	e.services, e.version, e.tickAt = nil, 0, 0
	e.process.flush = e.flush
	e.w.after(&e.process, 0, func() {})
}

func (e *entry) now() modeler.ClockReading { return e.w.reading(&e.process) }

func (e *entry) session() modeler.EntrySession {
	return modeler.EntrySession{Entry: e.id, Incarnation: e.incarnation}
}

// flush carries out the router's decisions and schedules its next tick.
func (e *entry) flush() {
	for {
		out := e.router.Take()
		for _, a := range out.Assignments {
			e.placed(a.ID, a, classifier.None)
		}
		for _, r := range out.Refusals {
			e.placed(r.ID, router.Assignment{ID: r.ID}, r.Kind)
		}
		if out.Renew != nil {
			e.version = out.Renew.Version
			if l := e.leaderLink(); l != nil {
				session := e.session()
				e.w.toMember(l, func() { l.m.onRenew(session, out.Renew) })
			}
		}
		if len(out.Assignments)+len(out.Refusals) == 0 {
			break
		}
	}
	e.w.checkEntry(e)
	now := e.now()
	if due := min(e.router.Due(), now.Add(100*ms)); e.tickAt <= now || due < e.tickAt {
		wait := max(ms, due.Sub(now))
		e.tickAt = now.Add(wait)
		at := e.tickAt
		e.w.after(&e.process, wait*102/100, func() {
			if e.tickAt == at {
				e.tickAt = 0
				e.router.Tick(e.now())
			}
		})
	}
}

func (e *entry) placed(id router.RequestID, a router.Assignment, kind classifier.Kind) {
	if answer := e.placements[id]; answer != nil {
		delete(e.placements, id)
		answer(a, kind)
	}
}

func (e *entry) onHello(l *link, h modeler.Hello) {
	e.peers[l] = h
	if h.IsLeader {
		e.router.Lead(e.now(), h.Term)
	}
}

func (e *entry) linkDown(l *link, _ int) {
	if h := e.peers[l]; h.IsLeader {
		e.router.LeaderLost(e.now(), h.Term)
	}
	delete(e.peers, l)
	for _, sequence := range sorted(e.rpcs) {
		if c := e.rpcs[sequence]; c != nil && c.link == l {
			delete(e.rpcs, sequence)
			c.done(modeler.Result{Kind: classifier.ProposalLost})
		}
	}
}

func (e *entry) onConfiguration(c *modeler.Configuration) {
	e.router.Configure(e.now(), c)
	e.services = c
	e.w.checkTicketWhole(c)
}

func (e *entry) leaderLink() *link {
	var found *link
	for _, l := range e.w.links {
		if h, known := e.peers[l]; known && h.IsLeader && (found == nil || h.Term > e.peers[found].Term) {
			found = l
		}
	}
	return found
}

// propose sends a command to the leader, again after a lost proposal or without a
// leader, until it is answered or the time has passed.
func (e *entry) propose(c *modeler.Command, within time.Duration, done func(modeler.Result)) {
	end := e.now().Add(within)
	sent := false
	var try func()
	try = func() {
		e.proposeOnce(c, func(r modeler.Result) {
			switch r.Kind {
			case classifier.ProposalLost:
				sent = true
			case classifier.NoLeader, classifier.NoQuorum:
			default:
				done(r)
				return
			}
			if e.now() >= end {
				if sent {
					r.Kind = classifier.ProposalLost
				}
				done(r)
				return
			}
			e.w.after(&e.process, proposePause, try)
		})
	}
	try()
}

func (e *entry) proposeOnce(c *modeler.Command, done func(modeler.Result)) {
	l := e.leaderLink()
	if l == nil {
		done(modeler.Result{Kind: classifier.NoLeader})
		return
	}
	e.sequence++
	sequence := e.sequence
	finish := func(r modeler.Result) {
		if e.rpcs[sequence] != nil {
			delete(e.rpcs, sequence)
			done(r)
		}
	}
	e.rpcs[sequence] = &rpc{link: l, done: done}
	e.w.toMember(l, func() { l.m.onPropose(l, c, finish) })
	e.w.after(&e.process, callTimeout, func() { finish(modeler.Result{Kind: classifier.ProposalLost}) })
}

// sendHeartbeat forwards a worker's heartbeat to the leader, if one is known.
func (e *entry) sendHeartbeat(b *modeler.Heartbeat, answer func(modeler.HeartbeatAnswer)) {
	if l := e.leaderLink(); l != nil {
		e.w.toMember(l, func() { l.m.onHeartbeat(l, b, answer) })
	}
}

// callerRequest is a caller's request, which the caller repeats until it gets a
// final answer.
type callerRequest struct {
	id              int
	worker          modeler.WorkerID // worker of the newest attempt
	key             modeler.Key
	once            bool
	runs            int
	submissions     int
	unknownOutcomes int
	done            bool
	outcome         classifier.Outcome
}

// call is one submission of a caller's request to one entry process.
type call struct {
	*callerRequest
	e          *entry
	endCount   int
	session    modeler.EntrySession
	since      modeler.ClockReading
	claim      *modeler.Claim
	attempt    int
	avoid      []modeler.WorkerID
	mayHaveRun bool
	hasRun     bool
	toldNotRun bool // the caller got the outcome not-run
	isOver     bool
	conn       *conn
	assigned   router.Assignment
}

// submit sends a caller's request to an entry host, and to the next one when it
// gets no final answer, up to 60 times.
func (w *world) submit(a *callerRequest, at int) *call {
	e := w.entries[at%len(w.entries)]
	a.submissions++
	c := &call{callerRequest: a, e: e, endCount: e.endCount, session: modeler.EntrySession{Entry: e.id, Incarnation: e.incarnation}}
	again := func(wait time.Duration) {
		if a.submissions < 60 {
			w.after(nil, wait, func() {
				if !a.done {
					w.submit(a, at+1)
				}
			})
		}
	}
	if !e.alive || e.cutUntil > w.now || e.draining {
		again(100 * ms)
		return c
	}
	w.calls[c] = func(kind classifier.Kind, outcome classifier.Outcome, body int) {
		if c.isOver {
			return
		}
		c.isOver = true
		w.checkAnswered(c, kind, outcome, body)
		if !a.done {
			again(200 * ms)
		}
	}
	w.send(nil, &e.process, func() { c.serve() })
	w.after(nil, 7*time.Second, func() { w.loseAnswer(c) })
	return c
}

// loseAnswer ends a call whose answer has not reached the caller.
func (w *world) loseAnswer(c *call) {
	if tell := w.calls[c]; tell != nil {
		delete(w.calls, c)
		tell(classifier.CallerGone, classifier.OutcomeUnknown, 0)
	}
}

// answerCaller sends the answer to the caller. A paused process sends it when it
// resumes; one that has ended or is cut off doesn't send it.
func (c *call) answerCaller(kind classifier.Kind, outcome classifier.Outcome, body int) {
	w, e := c.e.w, c.e
	delete(e.activeCalls, c)
	if !e.alive || e.endCount != c.endCount || e.cutUntil > w.now {
		return
	}
	if e.pausedUntil > w.now {
		w.after(&e.process, e.pausedUntil-w.now, func() { c.answerCaller(kind, outcome, body) })
		return
	}
	w.after(nil, 300*time.Microsecond, func() {
		if answerCaller := w.calls[c]; answerCaller != nil {
			delete(w.calls, c)
			answerCaller(kind, outcome, body)
		}
	})
}

func (c *call) reachStep(s Step) {
	if t := c.e.w.traced.call; t != nil && t == c.callerRequest {
		c.e.w.reachStep(s)
	}
}

func (c *call) serve() {
	e := c.e
	e.activeCalls[c] = true
	c.since = e.now()
	c.reachStep(RequestArrived)
	if e.services == nil || !slices.ContainsFunc(e.services.Services, func(s modeler.Service) bool { return s.Name == register }) {
		c.answerCaller(classifier.Unconfirmed, classifier.OutcomeNotRun, 0)
		return
	}
	if !c.once {
		c.try()
		return
	}
	e.requests++
	c.claim = &modeler.Claim{
		Service: register, Key: c.key, Fingerprint: modeler.Digest(c.id), Entry: e.id,
		Incarnation: e.incarnation, Request: modeler.Sequence(e.requests),
	}
	c.takeClaim(25 * ms)
}

func (c *call) takeClaim(pause time.Duration) {
	end := c.since.Add(requestLimit + requestWait)
	left := end.Sub(c.e.now())
	c.e.propose(&modeler.Command{Kind: modeler.ClaimKey, Claim: c.claim}, left, func(r modeler.Result) {
		switch {
		case r.Kind == classifier.None:
			c.try()
		case r.Kind == classifier.ProposalLost:
			c.settle(classifier.OutcomeNotRun)
			c.answerCaller(classifier.NoQuorum, classifier.OutcomeNotRun, 0)
		case r.Kind != classifier.Claimed || r.Record == nil:
			c.answerCaller(r.Kind, r.Kind.Answer().Outcome, 0)
		case r.Record.Settled && r.Record.Outcome == classifier.OutcomeRun:
			c.answerCaller(classifier.None, classifier.OutcomeRun, r.Record.Answer.Status)
		case r.Record.Settled || r.Record.Abandoned || c.e.now() >= end:
			c.answerCaller(classifier.Claimed, classifier.OutcomeUnknown, 0)
		default:
			c.e.w.after(&c.e.process, pause, func() { c.takeClaim(min(2*pause, 500*ms)) })
		}
	})
}

// try makes one attempt: it waits for a slot and sends the request to the assigned
// worker.
func (c *call) try() {
	e := c.e
	e.requests++
	c.attempt++
	id := router.RequestID(e.requests)
	e.placements[id] = func(a router.Assignment, kind classifier.Kind) {
		c.assigned = a
		if kind != classifier.None {
			c.fail(kind, false)
			return
		}
		c.callerRequest.worker = a.Worker
		c.reachStep(SlotAssigned)
		c.dial()
	}
	e.router.Arrive(e.now(), router.Request{
		ID: id, Service: register, Team: team, Caller: "caller", FirstArrival: c.since,
		Deadline: c.since.Add(requestWait), Retry: c.attempt > 1, AvoidWorkers: c.avoid,
	})
}

// dial opens a connection to the assigned worker; connected continues the attempt.
func (c *call) dial() {
	e, w := c.e, c.e.w
	up := w.worker(c.assigned.Worker)
	n := &conn{call: c, attempt: c.attempt, up: up}
	c.conn = n
	w.send(&e.process, &up.process, func() {
		n.opened = w.now
		up.conns[n] = true
		w.send(&up.process, &e.process, func() { n.connected() })
	})
	w.after(&e.process, dialTimeout, func() {
		if !n.ready {
			n.end(classifier.ConnectFailed)
		}
	})
}

// conn is one connection to a worker that carries one attempt.
type conn struct {
	*call
	attempt int
	up      *upstream
	opened  time.Duration
	ready   bool
	sent    bool
	silent  bool
	ended   bool // on the entry host's side
	closed  bool // on the worker's side
	running bool
}

// connected checks that the assignment is still valid and sends the first byte of the
// request.
func (n *conn) connected() {
	e, w := n.e, n.e.w
	if n.ended || n.silent {
		return
	}
	n.ready = true
	if e.now() >= n.assigned.SendBy {
		n.end(classifier.ConnectFailed)
		return
	}
	n.reachStep(ConnectionChecked)
	w.after(&e.process, 50*time.Microsecond, func() {
		n.sent = true
		if !n.silent {
			w.send(&e.process, &n.up.process, func() { n.up.receive(n) })
		}
		n.reachStep(FirstByteSent)
		w.after(&e.process, requestLimit, func() { n.end(classifier.AnswerTimeout) })
	})
}

// end ends the attempt at the entry host and closes the connection.
func (n *conn) end(kind classifier.Kind) {
	if n.ended || n.call.endCount != n.e.endCount {
		return
	}
	n.ended = true
	if !n.silent {
		n.e.w.send(&n.e.process, &n.up.process, func() { n.up.closeConn(n) })
	}
	if kind == classifier.None {
		n.reachStep(AnswerReceived)
		n.e.router.Finish(n.e.now(), n.assigned.ID, kind, true)
		n.settle(classifier.OutcomeRun)
		n.answerCaller(classifier.None, classifier.OutcomeRun, n.id)
		return
	}
	n.fail(kind, true)
}

// fail ends an attempt with an error, and either retries at another worker or
// answers the caller.
func (c *call) fail(kind classifier.Kind, assigned bool) {
	row := kind.Answer()
	if assigned {
		c.e.router.Finish(c.e.now(), c.assigned.ID, kind, row.Outcome == classifier.OutcomeNotRun)
		c.avoid = append(c.avoid, c.assigned.Worker)
	}
	if row.Outcome != classifier.OutcomeNotRun {
		c.mayHaveRun = true
	}
	if row.TryAnotherWorker && c.attempt < maxAttempts && (!c.once || row.Outcome == classifier.OutcomeNotRun) {
		c.e.w.after(&c.e.process, 20*ms, c.try)
		return
	}
	outcome := row.Outcome
	if c.mayHaveRun {
		outcome = classifier.OutcomeUnknown
	}
	c.settle(outcome)
	c.answerCaller(kind, outcome, 0)
}

// settle proposes the outcome of a claimed request; the recorded answer is the id
// of the request.
func (c *call) settle(outcome classifier.Outcome) {
	if c.claim == nil {
		return
	}
	c.e.propose(&modeler.Command{Kind: modeler.SettleKey, Settle: &modeler.Settlement{
		Service: register, Key: c.key, Entry: c.claim.Entry, Incarnation: c.claim.Incarnation,
		Request: c.claim.Request, Outcome: outcome, Answer: modeler.RecordedAnswer{Status: c.id},
	}}, time.Minute, func(modeler.Result) {})
}

// drainEntry shuts an entry process down gracefully and restarts it.
func (w *world) drainEntry(e *entry) {
	if !e.alive || e.pausedUntil > w.now {
		return
	}
	e.draining = true
	e.router.Drain(e.now())
	w.repeatEvery(&e.process, 50*ms, func() {
		if !e.router.Drained() || len(e.rpcs) > 0 {
			return
		}
		for c := range e.activeCalls {
			if c.conn != nil && c.conn.sent && !c.conn.ended {
				w.fail("P7: entry %s ends its drain with request %d in flight", e.id, c.id)
			}
		}
		if len(e.activeCalls) == 0 {
			w.endEntry(e)
			w.after(nil, 300*ms, e.start)
		}
	})
}

// endEntry ends an entry process; its connections to workers and callers break,
// unless its host is lost.
func (w *world) endEntry(e *entry) {
	w.end(&e.process)
	for _, u := range w.workers {
		for n := range u.conns {
			if n.e == e && !e.isLost {
				u.closeConn(n)
			}
		}
	}
	for c := range w.calls {
		if c.e == e && !e.isLost {
			w.after(nil, ms, func() { w.loseAnswer(c) })
		}
	}
}
