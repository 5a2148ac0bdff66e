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

// rpc is a call to the leader that waits for its answer.
type rpc struct {
	link *link
	done func(modeler.Result)
}

// entry is an entry process, joined from its cores as the forwarder does it.
type entry struct {
	process
	w           *world
	id          modeler.EntryID
	incarnation modeler.Incarnation
	router      *router.Router
	peers       map[*link]modeler.Hello
	rpcs        map[modeler.Sequence]*rpc
	sequence    modeler.Sequence
	placements  map[router.RequestID]func(router.Assignment, classifier.Kind)
	requests    uint64
	active      map[*call]bool
	services    *modeler.Configuration // what the request handlers see
	version     modeler.Index          // in force in the router
	newest      modeler.Index          // highest version served under, over all starts
	tickAt      modeler.ClockReading
	draining    bool
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
	e.active = map[*call]bool{}
	e.services, e.version, e.tickAt = nil, 0, 0
	e.process.flush = e.flush
	e.w.after(&e.process, 0, func() {})
}

func (e *entry) now() modeler.ClockReading { return e.w.reading(&e.process) }

func (e *entry) session() modeler.EntrySession {
	return modeler.EntrySession{Entry: e.id, Incarnation: e.incarnation}
}

// flush passes on what the router has decided.
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

func (e *entry) greet(l *link, h modeler.Hello) {
	e.peers[l] = h
	if h.IsLeader {
		e.router.Lead(e.now(), h.Term)
	}
}

func (e *entry) linkDown(l *link, _ int) {
	if h := e.peers[l]; h.IsLeader {
		e.router.Lost(e.now(), h.Term)
	}
	delete(e.peers, l)
	for _, sequence := range sorted(e.rpcs) {
		if c := e.rpcs[sequence]; c != nil && c.link == l {
			delete(e.rpcs, sequence)
			c.done(modeler.Result{Kind: classifier.ProposalLost})
		}
	}
}

func (e *entry) configured(c *modeler.Configuration) {
	e.router.Configure(e.now(), c)
	e.services = c
	e.w.checkWhole(c)
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

// propose sends a command until the leader answers or the time is over.
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

// beat passes a worker's heartbeat on.
func (e *entry) beat(b *modeler.Heartbeat, answer func(modeler.HeartbeatAnswer)) {
	if l := e.leaderLink(); l != nil {
		e.w.toMember(l, func() { l.m.onBeat(l, b, answer) })
	}
}

// ask is a caller's request, which the caller repeats until it is answered.
type ask struct {
	id      int
	worker  modeler.WorkerID // of the newest attempt
	key     modeler.Key
	once    bool
	runs    int
	tries   int
	unknown int
	done    bool
	outcome classifier.Outcome
}

// call is one try of a caller at one entry process.
type call struct {
	*ask
	e          *entry
	life       int
	session    modeler.EntrySession
	since      modeler.ClockReading
	claim      *modeler.Claim
	attempt    int
	avoid      []modeler.WorkerID
	mayHaveRun bool
	ran        bool
	notRun     bool // the caller was told that this call was not run
	over       bool
	conn       *conn
	assigned   router.Assignment
}

// submit sends a caller's request through an entry host, and through the next
// one when it gets no final answer.
func (w *world) submit(a *ask, at int) *call {
	e := w.entries[at%len(w.entries)]
	a.tries++
	c := &call{ask: a, e: e, life: e.life, session: modeler.EntrySession{Entry: e.id, Incarnation: e.incarnation}}
	again := func(wait time.Duration) {
		if a.tries < 60 {
			w.after(nil, wait, func() {
				if !a.done {
					w.submit(a, at+1)
				}
			})
		}
	}
	if !e.alive || e.cut > w.now || e.draining {
		again(100 * ms)
		return c
	}
	w.calls[c] = func(kind classifier.Kind, outcome classifier.Outcome, body int) {
		if c.over {
			return
		}
		c.over = true
		w.answered(c, kind, outcome, body)
		if !a.done {
			again(200 * ms)
		}
	}
	w.send(nil, &e.process, func() { c.serve() })
	w.after(nil, 7*time.Second, func() { w.broken(c) })
	return c
}

// broken ends a call whose answer is lost.
func (w *world) broken(c *call) {
	if tell := w.calls[c]; tell != nil {
		delete(w.calls, c)
		tell(classifier.CallerGone, classifier.OutcomeUnknown, 0)
	}
}

// tell answers the caller, unless the process is struck.
func (c *call) tell(kind classifier.Kind, outcome classifier.Outcome, body int) {
	w, e := c.e.w, c.e
	delete(e.active, c)
	if !e.alive || e.life != c.life || e.cut > w.now {
		return
	}
	if e.paused > w.now {
		w.after(&e.process, e.paused-w.now, func() { c.tell(kind, outcome, body) })
		return
	}
	w.after(nil, 300*time.Microsecond, func() {
		if tell := w.calls[c]; tell != nil {
			delete(w.calls, c)
			tell(kind, outcome, body)
		}
	})
}

func (c *call) reach(s Step) {
	if t := c.e.w.traced.call; t != nil && t == c.ask {
		c.e.w.reach(s)
	}
}

func (c *call) serve() {
	e := c.e
	e.active[c] = true
	c.since = e.now()
	c.reach(RequestArrived)
	if e.services == nil || !slices.ContainsFunc(e.services.Services, func(s modeler.Service) bool { return s.Name == register }) {
		c.tell(classifier.Unconfirmed, classifier.OutcomeNotRun, 0)
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
			c.tell(classifier.NoQuorum, classifier.OutcomeNotRun, 0)
		case r.Kind != classifier.Claimed || r.Record == nil:
			c.tell(r.Kind, r.Kind.Answer().Outcome, 0)
		case r.Record.Settled && r.Record.Outcome == classifier.OutcomeRun:
			c.tell(classifier.None, classifier.OutcomeRun, r.Record.Answer.Status)
		case r.Record.Settled || r.Record.Abandoned || c.e.now() >= end:
			c.tell(classifier.Claimed, classifier.OutcomeUnknown, 0)
		default:
			c.e.w.after(&c.e.process, pause, func() { c.takeClaim(min(2*pause, 500*ms)) })
		}
	})
}

// try waits for a slot and sends the request to a worker.
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
		c.ask.worker = a.Worker
		c.reach(SlotAssigned)
		c.dial()
	}
	e.router.Arrive(e.now(), router.Request{
		ID: id, Service: register, Team: team, Caller: "caller", Since: c.since,
		Deadline: c.since.Add(requestWait), Retry: c.attempt > 1, Avoid: c.avoid,
	})
}

// dial opens a connection, checks the lease and sends the first byte.
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

func (n *conn) connected() {
	e, w := n.e, n.e.w
	if n.ended || n.silent {
		return
	}
	n.ready = true
	if e.now() >= n.assigned.Until {
		n.end(classifier.ConnectFailed)
		return
	}
	n.reach(ConnectionChecked)
	w.after(&e.process, 50*time.Microsecond, func() {
		n.sent = true
		if !n.silent {
			w.send(&e.process, &n.up.process, func() { n.up.receive(n) })
		}
		n.reach(FirstByteSent)
		w.after(&e.process, requestLimit, func() { n.end(classifier.AnswerTimeout) })
	})
}

// end ends the attempt on the entry host's side.
func (n *conn) end(kind classifier.Kind) {
	if n.ended || n.call.life != n.e.life {
		return
	}
	n.ended = true
	if !n.silent {
		n.e.w.send(&n.e.process, &n.up.process, func() { n.up.drop(n) })
	}
	if kind == classifier.None {
		n.reach(AnswerReceived)
		n.e.router.Finish(n.e.now(), n.assigned.ID, kind, true)
		n.settle(classifier.OutcomeRun)
		n.tell(classifier.None, classifier.OutcomeRun, n.id)
		return
	}
	n.fail(kind, true)
}

// fail ends an attempt with an error and decides whether another one follows.
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
	c.tell(kind, outcome, 0)
}

// settle records the outcome; the recorded answer is the request's own id.
func (c *call) settle(outcome classifier.Outcome) {
	if c.claim == nil {
		return
	}
	c.e.propose(&modeler.Command{Kind: modeler.SettleKey, Settle: &modeler.Settlement{
		Service: register, Key: c.key, Entry: c.claim.Entry, Incarnation: c.claim.Incarnation,
		Request: c.claim.Request, Outcome: outcome, Answer: modeler.RecordedAnswer{Status: c.id},
	}}, time.Minute, func(modeler.Result) {})
}

// drain shuts the process down in order and starts it again.
func (w *world) drain(e *entry) {
	if !e.alive || e.paused > w.now {
		return
	}
	e.draining = true
	e.router.Drain(e.now())
	w.every(&e.process, 50*ms, func() {
		if !e.router.Drained() || len(e.rpcs) > 0 {
			return
		}
		for c := range e.active {
			if c.conn != nil && c.conn.sent && !c.conn.ended {
				w.fail("P7: %s ends its drain with request %d in flight", e.id, c.id)
			}
		}
		if len(e.active) == 0 {
			w.endEntry(e)
			w.after(nil, 300*ms, e.start)
		}
	})
}

func (w *world) endEntry(e *entry) {
	w.end(&e.process)
	for _, u := range w.workers {
		for n := range u.conns {
			if n.e == e && !e.gone {
				u.drop(n)
			}
		}
	}
	for c := range w.calls {
		if c.e == e && !e.gone {
			w.after(nil, ms, func() { w.broken(c) })
		}
	}
}
