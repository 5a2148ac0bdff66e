package router_test

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/allocator"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/router"
)

const (
	entryCount        = 7
	workerCount       = 48
	workerSlots       = 8
	workerConnections = 64
	requestLimit      = 2 * time.Second
	faultDuration     = 30 * time.Second
	sessionEndDelay   = 3*time.Second*101/100 + 50*time.Millisecond
	registerService   = modeler.ServiceName("breakfast-register")
	headcountService  = modeler.ServiceName("headcount")
)

// servicesByWorker lists the services of a worker, by its number modulo the
// length.
var servicesByWorker = [][]modeler.ServiceName{{registerService, headcountService}, {registerService}, {headcountService}, {registerService, headcountService}}

// cell simulates two control processes, the entry hosts and the workers, with a
// network that loses, delays, repeats and reorders messages.
type cell struct {
	*eventLoop
	t                  *testing.T
	seed               uint64
	faultsEnabled      bool
	term               modeler.Term
	leader             int // index in controls
	registeredSessions map[modeler.EntrySession]bool
	controls           [2]*controlProcess
	entries            [entryCount]*entry
	workers            [workerCount]*upstream
	begunRequests      int
	lastID             router.RequestID
	failure            string
}

type controlProcess struct {
	host
	index     int
	allocator *allocator.Allocator
	term      modeler.Term
}

type entry struct {
	host
	name             modeler.EntryID
	incarnation      modeler.Incarnation
	router           *router.Router
	cutOffUntil      [2]time.Duration // end of the cut-off from each control process
	alive            bool
	arrivalPause     time.Duration // mean interval between arrivals
	calls            map[router.RequestID]*call
	answeredRequests int
}

// call is an attempt of a request, from its assignment to its answer.
type call struct {
	id               router.RequestID
	entry            *entry
	incarnation      modeler.Incarnation
	worker           *upstream
	assignedAt       time.Duration
	connectionClosed bool // by the entry host
}

func serviceOf(id router.RequestID) modeler.ServiceName {
	return []modeler.ServiceName{registerService, registerService, headcountService}[id%3]
}

type upstream struct {
	host
	name              modeler.WorkerID
	services          []modeler.ServiceName
	generation        modeler.Generation
	running           map[*call]bool
	receipt           modeler.Receipt // in the newest heartbeat answer
	sessionsRequested bool            // the leader asked for counts by session
	idleTimeout       time.Duration
	isDown            bool
	ignoresAnswers    bool
	// reportDelay delays all heartbeats. Requests to such a worker often arrive
	// late and run long, so an old heartbeat doesn't count some that run when
	// it arrives.
	reportDelay      time.Duration
	isLeaving        bool
	leavingKnownAt   time.Duration // when the current leader learned that the worker leaves
	leavingKnownTerm modeler.Term
}

func newCell(t *testing.T, seed uint64) *cell {
	c := &cell{eventLoop: newEventLoop(seed), t: t, seed: seed, registeredSessions: map[modeler.EntrySession]bool{}, faultsEnabled: true}
	for i := range c.controls {
		c.controls[i] = &controlProcess{index: i, host: newHost(c.eventLoop), allocator: allocator.New(allocator.Options{RequestLimit: requestLimit})}
		c.tickControl(c.controls[i])
	}
	for i := range c.workers {
		w := &upstream{
			host: newHost(c.eventLoop), name: modeler.WorkerID(fmt.Sprintf("w%02d", i)), generation: 1,
			running: map[*call]bool{}, services: servicesByWorker[i%len(servicesByWorker)], ignoresAnswers: i%5 == 4,
		}
		if i%3 == 2 {
			w.reportDelay = c.randomDuration(0, 4*time.Second)
		}
		w.idleTimeout = []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second}[i%3]
		c.workers[i] = w
		c.After(c.randomDuration(0, time.Second), func() { c.repeatHeartbeat(w) })
	}
	for i := range c.entries {
		e := &entry{host: newHost(c.eventLoop), name: modeler.EntryID(fmt.Sprintf("e%d", i)), arrivalPause: 5 * time.Millisecond}
		if i == 0 {
			e.arrivalPause = time.Millisecond
		}
		c.entries[i] = e
		c.startEntry(e)
	}
	c.elect(0)
	return c
}

// fail records the first violation of the run.
func (c *cell) fail(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf("seed %d at %v: ", c.seed, c.Now) + fmt.Sprintf(format, args...)
	}
}

// send delivers a message between an entry host and a control process. With
// faults enabled it may lose or delay the message, or deliver it once more up
// to maxDelay later.
func (c *cell) send(maxDelay time.Duration, deliver func()) {
	delay := c.randomDuration(200*time.Microsecond, 2*time.Millisecond)
	if c.faultsEnabled {
		switch {
		case c.chance(0.05):
			return
		case c.chance(0.03):
			c.After(c.randomDuration(0, maxDelay), deliver)
		case c.chance(0.05):
			delay = c.randomDuration(0, 200*time.Millisecond)
		}
	}
	c.After(delay, deliver)
}

func (c *cell) tickControl(k *controlProcess) {
	k.whenResumed(func() { k.allocator.Tick(k.reading()); c.emitControl(k) })
	c.After(20*time.Millisecond, func() { c.tickControl(k) })
}

// elect makes a control process the leader, after the quorum lease of the
// previous leader has expired. The previous leader isn't told of the new term.
func (c *cell) elect(i int) {
	for _, e := range c.entries {
		// Links to the previous leader close at random.
		if lost := c.term; c.chance(0.5) {
			c.runInput(e, func(r *router.Router) { r.LeaderLost(e.reading(), lost) })
		}
	}
	c.leader = i
	c.term++
	term := c.term
	c.After(c.randomDuration(510*time.Millisecond, 900*time.Millisecond), func() {
		if term != c.term {
			return
		}
		k := c.controls[i]
		k.whenResumed(func() {
			if term != c.term {
				return
			}
			k.term = term
			k.allocator.Lead(k.reading(), term, c.registered())
			k.allocator.Configure(k.reading(), c.configuration())
			c.extendQuorumLease(k, term)
			for _, e := range c.entries {
				c.announceLeader(e, term)
			}
		})
	})
}

// announceLeader tells an entry host of the leader every 200 ms until the term
// ends, since messages may be lost.
func (c *cell) announceLeader(e *entry, term modeler.Term) {
	if term != c.term {
		return
	}
	if c.Now >= e.cutOffUntil[c.leader] {
		c.send(time.Second, func() { c.runInput(e, func(r *router.Router) { r.Lead(e.reading(), term) }) })
	}
	c.After(200*time.Millisecond, func() { c.announceLeader(e, term) })
}

func (c *cell) extendQuorumLease(k *controlProcess, term modeler.Term) {
	if term != c.term {
		return
	}
	// 500 ms of simulated time are at least 495 ms on each host's clock.
	k.allocator.SetLeaseEnd(k.reading().Add(495 * time.Millisecond))
	c.After(100*time.Millisecond, func() { c.extendQuorumLease(k, term) })
}

func (c *cell) registered() []modeler.EntrySession {
	var list []modeler.EntrySession
	for _, e := range c.entries {
		for i := modeler.Incarnation(1); i <= e.incarnation; i++ {
			if id := (modeler.EntrySession{Entry: e.name, Incarnation: i}); c.registeredSessions[id] {
				list = append(list, id)
			}
		}
	}
	return list
}

func (c *cell) configuration() *modeler.Configuration {
	limit, wait := modeler.Duration(requestLimit), modeler.Duration(time.Second)
	return &modeler.Configuration{
		Version: 1,
		Services: []modeler.Service{
			{Name: registerService, Team: "school", Limit: limit, Wait: wait, Queue: 150},
			{Name: headcountService, Team: "kitchen", Limit: limit, Wait: wait, Queue: 100},
		},
		Teams: []modeler.Team{{Name: "school", Weight: 1}, {Name: "kitchen", Weight: 2}},
	}
}

// emitControl sends the allocator's output, sometimes after a random pause.
func (c *cell) emitControl(k *controlProcess) {
	output := k.allocator.TakeOutput()
	if c.pauseAtRandom(&k.host) {
		c.electIfPaused(k, c.term)
	}
	k.whenResumed(func() {
		for _, command := range output.Commands {
			c.commit(k, k.term, command)
		}
		for _, one := range output.Grants {
			e := c.entryOf(one.To)
			if c.Now < e.cutOffUntil[k.index] {
				continue
			}
			for range 1 + c.randomRepeat() {
				c.send(4*time.Second, func() {
					if e.incarnation == one.To.Incarnation {
						c.runInput(e, func(r *router.Router) { r.Grant(e.reading(), one.Grant) })
					}
				})
			}
		}
	})
}

func (c *cell) randomRepeat() int {
	if c.faultsEnabled && c.chance(0.05) {
		return 1
	}
	return 0
}

func (c *cell) pauseAtRandom(h *host) bool {
	if !c.faultsEnabled || !c.chance(0.00001) {
		return false
	}
	h.pausedUntil = c.Now + c.randomDuration(10*time.Millisecond, 6*time.Second)
	return true
}

func (c *cell) entryOf(id modeler.EntrySession) *entry {
	for _, e := range c.entries {
		if e.name == id.Entry {
			return e
		}
	}
	return nil
}

// commit applies a command after 5 ms, unless its proposer's term has ended.
func (c *cell) commit(k *controlProcess, term modeler.Term, command modeler.Command) {
	c.After(5*time.Millisecond, func() {
		if term != c.term {
			return
		}
		c.registeredSessions[*command.Session] = command.Kind == modeler.RegisterEntry
		k.whenResumed(func() { k.allocator.SetRegistered(k.reading(), c.registered()); c.emitControl(k) })
	})
}

// startEntry starts a new process on an entry host.
func (c *cell) startEntry(e *entry) {
	e.incarnation++
	e.alive = true
	e.router = router.New(e.name, e.incarnation, router.Options{})
	e.calls = map[router.RequestID]*call{}
	incarnation := e.incarnation
	c.runInput(e, func(r *router.Router) { r.Configure(e.reading(), c.configuration()) })
	c.tickEntry(e, incarnation)
	c.arrive(e, incarnation)
}

func (c *cell) tickEntry(e *entry, incarnation modeler.Incarnation) {
	if e.incarnation != incarnation {
		return
	}
	c.runInput(e, func(r *router.Router) { r.Tick(e.reading()) })
	c.After(5*time.Millisecond, func() { c.tickEntry(e, incarnation) })
}

func (c *cell) arrive(e *entry, incarnation modeler.Incarnation) {
	if e.incarnation != incarnation {
		return
	}
	c.lastID++
	id := c.lastID
	c.runInput(e, func(r *router.Router) {
		r.Arrive(e.reading(), router.Request{ID: id, Service: serviceOf(id), Caller: router.Caller(strconv.Itoa(int(id % 5)))})
	})
	c.After(c.Exponential(e.arrivalPause), func() { c.arrive(e, incarnation) })
}

// runInput runs an input of the entry process and sends the resulting output.
func (c *cell) runInput(e *entry, run func(*router.Router)) {
	incarnation := e.incarnation
	e.whenResumed(func() {
		if !e.alive || e.incarnation != incarnation {
			return
		}
		run(e.router)
		output := e.router.Take()
		decidedAt := c.Now
		c.pauseAtRandom(&e.host)
		e.whenResumed(func() {
			if e.alive && e.incarnation == incarnation {
				c.emitEntry(e, output, decidedAt)
			}
		})
	})
}

func (c *cell) emitEntry(e *entry, output router.Output, decidedAt time.Duration) {
	for _, one := range output.Assignments {
		c.sendRequest(e, one, decidedAt)
	}
	if output.Renew == nil {
		return
	}
	for range 1 + c.randomRepeat() {
		for _, k := range c.controls {
			if c.Now >= e.cutOffUntil[k.index] {
				c.send(4*time.Second, func() {
					k.whenResumed(func() { k.allocator.Renew(k.reading(), output.Renew); c.emitControl(k) })
				})
			}
		}
	}
}

// sendRequest sends a request over a connection that was open when the request
// was assigned; the worker closes the connection after the idle timeout.
func (c *cell) sendRequest(e *entry, assignment router.Assignment, decidedAt time.Duration) {
	x := &call{id: assignment.ID, entry: e, incarnation: e.incarnation, assignedAt: decidedAt, worker: c.workerOf(assignment.Worker)}
	e.calls[x.id] = x
	if service := serviceOf(x.id); !slices.Contains(x.worker.services, service) {
		c.fail("%s doesn't serve %s", x.worker.name, service)
	}
	delay := c.randomDuration(200*time.Microsecond, 2*time.Millisecond)
	switch {
	case c.faultsEnabled && c.chance(0.01):
		delay = c.randomDuration(0, 3*time.Second)
	case c.faultsEnabled && x.worker.reportDelay > 0 && c.chance(0.2):
		delay = c.randomDuration(0, x.worker.idleTimeout)
	}
	c.After(delay, func() { c.beginRequest(x) })
	if c.faultsEnabled && c.chance(0.01) {
		// The entry host abandons the request while it may still run.
		c.After(c.randomDuration(0, 100*time.Millisecond), func() { c.finishCall(x, classifier.AnswerTimeout, false) })
	}
}

func (c *cell) workerOf(name modeler.WorkerID) *upstream {
	for _, w := range c.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}

func (c *cell) beginRequest(x *call) {
	w := x.worker
	if w.isDown {
		c.reply(x, classifier.ConnectFailed, true)
		return
	}
	if c.Now-x.assignedAt > w.trueDuration(w.idleTimeout) || x.connectionClosed && c.chance(0.5) {
		c.reply(x, classifier.SendFailed, true)
		return
	}
	w.running[x] = true
	c.begunRequests++
	if len(w.running) > workerSlots {
		c.fail("%d requests run at once on %s", len(w.running), w.name)
	}
	if w.isLeaving && w.leavingKnownTerm == c.term && w.leavingKnownTerm != 0 && c.Now > w.leavingKnownAt+sessionEndDelay {
		c.fail("%s began a request %v after the leader learned that it leaves", w.name, c.Now-w.leavingKnownAt)
	}
	c.checkSession(x)
	generation := w.generation
	run := min(c.Exponential(200*time.Millisecond), w.trueDuration(requestLimit))
	if c.faultsEnabled && (c.chance(0.03) || w.reportDelay > 0 && c.chance(0.2)) {
		run = w.trueDuration(requestLimit)
	}
	c.After(run, func() {
		if w.generation == generation && w.running[x] {
			delete(w.running, x)
			c.reply(x, classifier.None, true)
		}
	})
}

// checkSession checks that a late request doesn't begin after the leader has
// ended its session.
func (c *cell) checkSession(x *call) {
	k := c.controls[c.leader]
	if c.Now-x.assignedAt < 100*time.Millisecond || k.term != c.term {
		return
	}
	for _, s := range k.allocator.Sessions() {
		if s.Session.Entry == x.entry.name && s.Session.Incarnation == x.incarnation && !s.Live {
			c.fail("%s began a request %v after its assignment, when the session had ended", x.worker.name, c.Now-x.assignedAt)
		}
	}
}

// reply sends the outcome of an attempt back to the entry host.
func (c *cell) reply(x *call, kind classifier.Kind, ended bool) {
	c.After(c.randomDuration(200*time.Microsecond, 2*time.Millisecond), func() { c.finishCall(x, kind, ended) })
}

func (c *cell) finishCall(x *call, kind classifier.Kind, ended bool) {
	e := x.entry
	if e.incarnation != x.incarnation || e.calls[x.id] != x {
		return
	}
	delete(e.calls, x.id)
	x.connectionClosed = true
	if kind == classifier.None {
		e.answeredRequests++
	}
	c.runInput(e, func(r *router.Router) { r.Finish(e.reading(), x.id, kind, ended) })
}

// repeatHeartbeat sends a worker's heartbeat every second.
func (c *cell) repeatHeartbeat(w *upstream) {
	c.After(time.Second, func() { c.repeatHeartbeat(w) })
	c.sendHeartbeat(w)
}

// sendHeartbeat sends a heartbeat to both control processes. It may take longer
// to arrive than a session lasts.
func (c *cell) sendHeartbeat(w *upstream) {
	if w.isDown {
		return
	}
	heartbeat := &modeler.Heartbeat{
		Worker: w.name, Generation: w.generation, Address: string(w.name), Slots: workerSlots,
		Connections: workerConnections, Services: w.services, IdleTimeout: modeler.Duration(w.idleTimeout),
		Clock: w.reading(), Active: len(w.running), Leaving: w.isLeaving, Seen: w.receipt,
	}
	if w.sessionsRequested || w.reportDelay > 0 {
		heartbeat.Sessions = w.sessionCounts()
	}
	for _, k := range c.controls {
		c.After(w.reportDelay, func() {
			c.send(6*time.Second, func() { c.deliverHeartbeat(k, w, heartbeat) })
		})
	}
}

// deliverHeartbeat delivers a heartbeat to a control process and sends back the
// answer.
func (c *cell) deliverHeartbeat(k *controlProcess, w *upstream, heartbeat *modeler.Heartbeat) {
	k.whenResumed(func() {
		receipt, next := k.allocator.Heartbeat(k.reading(), heartbeat)
		c.send(6*time.Second, func() { c.receiveHeartbeatAnswer(w, heartbeat.Generation, receipt, next.Std()) })
		if heartbeat.Leaving && heartbeat.Generation == w.generation && k.term == c.term && w.leavingKnownTerm != c.term {
			w.leavingKnownAt, w.leavingKnownTerm = c.Now, c.term
		}
		c.emitControl(k)
	})
}

// receiveHeartbeatAnswer handles the answer to a heartbeat. Answers may arrive
// out of order, and every fifth worker ignores them.
func (c *cell) receiveHeartbeatAnswer(w *upstream, generation modeler.Generation, receipt modeler.Receipt, next time.Duration) {
	if w.generation != generation || receipt.Term < max(1, w.receipt.Term) || w.ignoresAnswers {
		return
	}
	w.receipt, w.sessionsRequested = receipt, next > 0
	if next > 0 {
		c.After(max(next, 5*time.Millisecond), func() { c.sendHeartbeat(w) })
	}
}

// sessionCounts returns the number of running requests by entry process.
func (w *upstream) sessionCounts() []modeler.SessionCount {
	sessionCounts := map[string]int{}
	for x := range w.running {
		sessionCounts[modeler.EntrySession{Entry: x.entry.name, Incarnation: x.incarnation}.String()]++
	}
	var list []modeler.SessionCount
	for _, session := range slices.Sorted(maps.Keys(sessionCounts)) {
		list = append(list, modeler.SessionCount{Session: session, Active: sessionCounts[session]})
	}
	return list
}

// injectFault causes one random fault.
func (c *cell) injectFault() {
	e := c.entries[c.Random.IntN(entryCount)]
	w := c.workers[c.Random.IntN(workerCount)]
	switch c.Random.IntN(8) {
	case 0:
		c.crashEntry(e)
	case 1:
		e.pausedUntil = max(e.pausedUntil, c.Now+c.randomDuration(100*time.Millisecond, 6*time.Second))
	case 2:
		c.cutOff(e, 0, 1)
	case 3:
		c.elect(1 - c.leader)
		// One entry host is cut off from the new leader only, another one
		// from both control processes.
		c.cutOff(e, c.leader)
		c.cutOff(c.entries[c.Random.IntN(entryCount)], 0, 1)
	case 4:
		k := c.controls[c.leader]
		k.pausedUntil = max(k.pausedUntil, c.Now+c.randomDuration(50*time.Millisecond, 5*time.Second))
		c.electIfPaused(k, c.term)
	case 5, 6:
		c.restartWorker(w)
	case 7:
		w.isLeaving = true
		c.After(5*time.Second, func() { c.restartWorker(w) })
	}
}

// electIfPaused elects the other control process if the leader is still paused
// after one to two seconds.
func (c *cell) electIfPaused(k *controlProcess, term modeler.Term) {
	c.After(c.randomDuration(time.Second, 2*time.Second), func() {
		if c.term == term && c.Now < k.pausedUntil {
			c.elect(1 - c.leader)
		}
	})
}

func (c *cell) cutOff(e *entry, controls ...int) {
	until := c.Now + c.randomDuration(time.Second, 8*time.Second)
	for _, i := range controls {
		e.cutOffUntil[i] = max(e.cutOffUntil[i], until)
	}
}

// crashEntry ends an entry process; its host starts a new one later. Workers
// notice the closed connections at once, or not at all as when the whole host
// fails.
func (c *cell) crashEntry(e *entry) {
	if !e.alive {
		return
	}
	e.alive = false
	id := modeler.EntrySession{Entry: e.name, Incarnation: e.incarnation}
	for _, k := range c.controls {
		if c.chance(0.5) {
			k.whenResumed(func() { k.allocator.Detach(k.reading(), id) })
		}
	}
	if c.chance(0.5) {
		for _, w := range c.workers {
			for x := range w.running {
				if x.entry == e {
					delete(w.running, x)
				}
			}
		}
	}
	c.After(c.randomDuration(10*time.Millisecond, 5*time.Second), func() { c.startEntry(e) })
}

// restartWorker ends a worker's process and starts it again with a new
// generation.
func (c *cell) restartWorker(w *upstream) {
	if w.isDown {
		return
	}
	w.isDown = true
	w.generation++
	running := w.running
	w.running = map[*call]bool{}
	w.receipt, w.sessionsRequested = modeler.Receipt{}, false
	calls := slices.SortedFunc(maps.Keys(running), func(x, y *call) int { return cmp.Compare(x.id, y.id) })
	for _, x := range calls {
		if c.chance(0.8) {
			c.reply(x, classifier.AnswerLost, true)
			continue
		}
		c.After(requestLimit, func() { c.finishCall(x, classifier.AnswerTimeout, false) })
	}
	c.After(c.randomDuration(10*time.Millisecond, 4*time.Second), func() {
		w.isDown, w.isLeaving, w.leavingKnownTerm = false, false, 0
	})
}

// endFaults ends all faults.
func (c *cell) endFaults() {
	c.faultsEnabled = false
	for _, e := range c.entries {
		e.pausedUntil, e.cutOffUntil = min(e.pausedUntil, c.Now), [2]time.Duration{}
	}
	for _, k := range c.controls {
		k.pausedUntil = min(k.pausedUntil, c.Now)
	}
	for _, w := range c.workers {
		w.isLeaving, w.leavingKnownTerm = false, 0
	}
}

// checkRecovery checks that the slots are in use again after the faults.
func (c *cell) checkRecovery() {
	c.endFaults()
	for _, e := range c.entries {
		e.arrivalPause = 2 * time.Millisecond
	}
	// By then, sessions, request limits and first exclusions from the time of
	// the faults have ended.
	c.RunUntil(c.Now + 15*time.Second)
	running := 0
	for _, w := range c.workers {
		running += len(w.running)
	}
	c.checkLentSlots()
	if running < workerCount*workerSlots*8/10 {
		c.fail("only %d requests run under overload", running)
	}
	if sessions := c.registered(); len(sessions) != entryCount {
		c.fail("%d sessions are registered after the faults", len(sessions))
	}
}

// checkLentSlots checks that no slot is lost. A slot that moves between teams or
// callers is briefly back at the leader, so each worker must have lent all its
// slots at one of ten instants, and 98% of all slots must be lent at each.
func (c *cell) checkLentSlots() {
	k := c.controls[c.leader]
	full := map[modeler.WorkerID]bool{}
	for range 10 {
		lent := 0
		for _, w := range k.allocator.Workers() {
			lent += w.Lent
			full[w.Worker] = full[w.Worker] || w.Lent == workerSlots
			if w.Retained != 0 || w.Unknown != 0 || w.Revoked {
				c.fail("the leader keeps back slots of a worker: %+v", w)
			}
		}
		if lent < workerCount*workerSlots*98/100 {
			c.fail("%d slots are lent under overload", lent)
		}
		c.RunUntil(c.Now + 5*time.Millisecond)
	}
	for _, w := range c.workers {
		if !full[w.name] {
			c.fail("the slots of %s were never all lent at one instant", w.name)
		}
	}
}

// checkConnections checks that the entry hosts' connection limits for a worker
// add up to no more than the worker accepts.
func (c *cell) checkConnections() {
	sums := map[modeler.WorkerID]int{}
	for _, e := range c.entries {
		if !e.alive || !e.router.Serving(e.reading()) {
			continue
		}
		for _, w := range e.router.Workers() {
			sums[w.Worker] += w.Connections
			if w.Held > w.Connections {
				c.fail("%s holds %d slots of %s with %d connections", e.name, w.Held, w.Worker, w.Connections)
			}
		}
	}
	for worker, sum := range sums {
		if sum > workerConnections {
			c.fail("limits for %s add up to %d connections", worker, sum)
		}
	}
}

// checkDrain checks that the leader and the entry hosts agree on the slots held
// when no requests arrive, and that draining entry hosts return all slots.
func (c *cell) checkDrain() {
	for _, e := range c.entries {
		e.arrivalPause = time.Hour
	}
	c.RunUntil(c.Now + 5*time.Second)
	held := map[modeler.WorkerID]int{}
	for _, e := range c.entries {
		for _, w := range e.router.Workers() {
			held[w.Worker] += w.Held
		}
	}
	k := c.controls[c.leader]
	for _, w := range k.allocator.Workers() {
		if w.Lent != held[w.Worker] {
			c.fail("the leader counts %d slots of %s as lent, entry hosts hold %d", w.Lent, w.Worker, held[w.Worker])
		}
	}
	for _, e := range c.entries {
		c.runInput(e, func(r *router.Router) { r.Drain(e.reading()) })
	}
	c.RunUntil(c.Now + 2*time.Second)
	for _, e := range c.entries {
		if !e.router.Drained() {
			c.fail("%s isn't drained", e.name)
		}
	}
	if left := c.registered(); len(left) != 0 {
		c.fail("sessions are left after the drain: %v", left)
	}
}

// TestSchedules runs random schedules of faults, one per seed. It guards against
// a slot that is lent twice, a slot that is never lent again, and requests that
// begin on a leaving worker when all sessions from before the leader learned of
// it have ended.
func TestSchedules(t *testing.T) {
	schedules := 6
	if text := os.Getenv("GOLDCRESTSTACK_SCHEDULES"); text != "" {
		var err error
		schedules, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	first := 1
	if text := os.Getenv("GOLDCRESTSTACK_SEED"); text != "" {
		var err error
		first, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	for seed := first; seed < first+schedules; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			c := newCell(t, uint64(seed))
			for c.Now < faultDuration && c.failure == "" {
				c.RunUntil(c.Now + c.randomDuration(20*time.Millisecond, 2*time.Second))
				c.checkConnections()
				c.injectFault()
			}
			if c.failure == "" {
				c.checkRecovery()
			}
			if c.failure == "" {
				c.checkDrain()
			}
			assert.Equal(t, c.failure, "")
			t.Logf("seed %d: %d requests began, %d terms", seed, c.begunRequests, c.term)
		})
	}
}
