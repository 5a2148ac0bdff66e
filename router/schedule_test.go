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
	entryCount   = 7
	workerCount  = 48
	workerSlots  = 8
	connections  = 64
	requestLimit = 2 * time.Second
	faultSpan    = 30 * time.Second
	sessionEnd   = 3*time.Second*101/100 + 50*time.Millisecond
	register     = modeler.ServiceName("breakfast-register")
	headcount    = modeler.ServiceName("headcount")
)

// served lists the services of a worker by its number.
var served = [][]modeler.ServiceName{{register, headcount}, {register}, {headcount}, {register, headcount}}

// cell joins two possible leaders, the entry hosts and the workers by a
// message layer that loses, delays, repeats and reorders.
type cell struct {
	*loop
	t        *testing.T
	seed     uint64
	faulty   bool
	term     modeler.Term
	leader   int // of controls
	known    map[modeler.EntrySession]bool
	controls [2]*control
	entries  [entryCount]*entry
	workers  [workerCount]*upstream
	begun    int
	next     router.RequestID
	failed   string
}

type control struct {
	host
	index     int
	allocator *allocator.Allocator
	term      modeler.Term
}

type entry struct {
	host
	name        modeler.EntryID
	incarnation modeler.Incarnation
	router      *router.Router
	cut         [2]time.Duration // cut off from each control process until
	alive       bool
	arrivals    time.Duration // mean pause between arrivals
	calls       map[router.RequestID]*call
	served      int
}

// call is one request on its way to a worker, there, or on its way back.
type call struct {
	id          router.RequestID
	entry       *entry
	incarnation modeler.Incarnation
	worker      *upstream
	assigned    time.Duration
	closed      bool // the entry host's side of the connection
}

func serviceOf(id router.RequestID) modeler.ServiceName {
	return []modeler.ServiceName{register, register, headcount}[id%3]
}

type upstream struct {
	host
	name       modeler.WorkerID
	services   []modeler.ServiceName
	generation modeler.Generation
	running    map[*call]bool
	receipt    modeler.Receipt // in the newest answer
	asked      bool            // for counts of sessions
	idle       time.Duration
	down       bool
	heedless   bool
	// lag delays all reports. Requests to such a worker are often slow to
	// arrive and long, so an old report leaves out some that run later.
	lag      time.Duration
	leaving  bool
	leftAt   time.Duration // when the current leader heard of it
	leftTerm modeler.Term
}

func newCell(t *testing.T, seed uint64) *cell {
	c := &cell{loop: newLoop(seed), t: t, seed: seed, known: map[modeler.EntrySession]bool{}, faulty: true}
	for i := range c.controls {
		c.controls[i] = &control{index: i, host: newHost(c.loop), allocator: allocator.New(allocator.Options{Limit: requestLimit})}
		c.tickControl(c.controls[i])
	}
	for i := range c.workers {
		w := &upstream{
			host: newHost(c.loop), name: modeler.WorkerID(fmt.Sprintf("w%02d", i)), generation: 1,
			running: map[*call]bool{}, services: served[i%len(served)], heedless: i%5 == 4,
		}
		if i%3 == 2 {
			w.lag = c.between(0, 4*time.Second)
		}
		w.idle = []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second}[i%3]
		c.workers[i] = w
		c.After(c.between(0, time.Second), func() { c.beat(w) })
	}
	for i := range c.entries {
		e := &entry{host: newHost(c.loop), name: modeler.EntryID(fmt.Sprintf("e%d", i)), arrivals: 5 * time.Millisecond}
		if i == 0 {
			e.arrivals = time.Millisecond
		}
		c.entries[i] = e
		c.start(e)
	}
	c.elect(0)
	return c
}

// fail records the first violation.
func (c *cell) fail(format string, args ...any) {
	if c.failed == "" {
		c.failed = fmt.Sprintf("seed %d at %v: ", c.seed, c.Now) + fmt.Sprintf(format, args...)
	}
}

// send delivers a message between an entry host and a control process.
func (c *cell) send(slowest time.Duration, deliver func()) {
	delay := c.between(200*time.Microsecond, 2*time.Millisecond)
	if c.faulty {
		switch {
		case c.chance(0.05):
			return
		case c.chance(0.03):
			c.After(c.between(0, slowest), deliver)
		case c.chance(0.05):
			delay = c.between(0, 200*time.Millisecond)
		}
	}
	c.After(delay, deliver)
}

func (c *cell) tickControl(k *control) {
	k.do(func() { k.allocator.Tick(k.reading()); c.emitControl(k) })
	c.After(20*time.Millisecond, func() { c.tickControl(k) })
}

// elect makes a control process the leader. The lease of the one before ends
// first; it isn't told of the new term.
func (c *cell) elect(i int) {
	for _, e := range c.entries {
		// Links close with or without the end of the old leader.
		if lost := c.term; c.chance(0.5) {
			c.step(e, func(r *router.Router) { r.Lost(e.reading(), lost) })
		}
	}
	c.leader = i
	c.term++
	term := c.term
	c.After(c.between(510*time.Millisecond, 900*time.Millisecond), func() {
		if term != c.term {
			return
		}
		k := c.controls[i]
		k.do(func() {
			if term != c.term {
				return
			}
			k.term = term
			k.allocator.Lead(k.reading(), term, c.registered())
			k.allocator.Configure(k.reading(), c.configuration())
			c.extend(k, term)
			for _, e := range c.entries {
				c.tellLeader(e, term)
			}
		})
	})
}

// tellLeader repeats until the entry host has certainly heard.
func (c *cell) tellLeader(e *entry, term modeler.Term) {
	if term != c.term {
		return
	}
	if c.Now >= e.cut[c.leader] {
		c.send(time.Second, func() { c.step(e, func(r *router.Router) { r.Lead(e.reading(), term) }) })
	}
	c.After(200*time.Millisecond, func() { c.tellLeader(e, term) })
}

func (c *cell) extend(k *control, term modeler.Term) {
	if term != c.term {
		return
	}
	// True time 500 ms is at least the span below on any of the clocks.
	k.allocator.Lease(k.reading().Add(495 * time.Millisecond))
	c.After(100*time.Millisecond, func() { c.extend(k, term) })
}

func (c *cell) registered() []modeler.EntrySession {
	var list []modeler.EntrySession
	for _, e := range c.entries {
		for i := modeler.Incarnation(1); i <= e.incarnation; i++ {
			if id := (modeler.EntrySession{Entry: e.name, Incarnation: i}); c.known[id] {
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
			{Name: register, Team: "school", Limit: limit, Wait: wait, Queue: 150},
			{Name: headcount, Team: "kitchen", Limit: limit, Wait: wait, Queue: 100},
		},
		Teams: []modeler.Team{{Name: "school", Weight: 1}, {Name: "kitchen", Weight: 2}},
	}
}

// emitControl sends what the allocator has put out, sometimes after a pause.
func (c *cell) emitControl(k *control) {
	output := k.allocator.Take()
	if c.pause(&k.host) {
		c.watch(k, c.term)
	}
	k.do(func() {
		for _, command := range output.Commands {
			c.commit(k, k.term, command)
		}
		for _, one := range output.Grants {
			e := c.entryOf(one.To)
			if c.Now < e.cut[k.index] {
				continue
			}
			for range 1 + c.repeat() {
				c.send(4*time.Second, func() {
					if e.incarnation == one.To.Incarnation {
						c.step(e, func(r *router.Router) { r.Grant(e.reading(), one.Grant) })
					}
				})
			}
		}
	})
}

func (c *cell) repeat() int {
	if c.faulty && c.chance(0.05) {
		return 1
	}
	return 0
}

func (c *cell) pause(h *host) bool {
	if !c.faulty || !c.chance(0.00001) {
		return false
	}
	h.paused = c.Now + c.between(10*time.Millisecond, 6*time.Second)
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

// commit applies a command after a while, unless its proposer leads no more.
func (c *cell) commit(k *control, term modeler.Term, command modeler.Command) {
	c.After(5*time.Millisecond, func() {
		if term != c.term {
			return
		}
		c.known[*command.Session] = command.Kind == modeler.RegisterEntry
		k.do(func() { k.allocator.Known(k.reading(), c.registered()); c.emitControl(k) })
	})
}

// start brings up a new process on an entry host.
func (c *cell) start(e *entry) {
	e.incarnation++
	e.alive = true
	e.router = router.New(e.name, e.incarnation, router.Options{})
	e.calls = map[router.RequestID]*call{}
	incarnation := e.incarnation
	c.step(e, func(r *router.Router) { r.Configure(e.reading(), c.configuration()) })
	c.tickEntry(e, incarnation)
	c.arrive(e, incarnation)
}

func (c *cell) tickEntry(e *entry, incarnation modeler.Incarnation) {
	if e.incarnation != incarnation {
		return
	}
	c.step(e, func(r *router.Router) { r.Tick(e.reading()) })
	c.After(5*time.Millisecond, func() { c.tickEntry(e, incarnation) })
}

func (c *cell) arrive(e *entry, incarnation modeler.Incarnation) {
	if e.incarnation != incarnation {
		return
	}
	c.next++
	id := c.next
	c.step(e, func(r *router.Router) {
		r.Arrive(e.reading(), router.Request{ID: id, Service: serviceOf(id), Caller: router.Caller(strconv.Itoa(int(id % 5)))})
	})
	c.After(c.Exponential(e.arrivals), func() { c.arrive(e, incarnation) })
}

// step runs an input of the entry process and carries out what it leads to.
func (c *cell) step(e *entry, run func(*router.Router)) {
	incarnation := e.incarnation
	e.do(func() {
		if !e.alive || e.incarnation != incarnation {
			return
		}
		run(e.router)
		output := e.router.Take()
		decided := c.Now
		c.pause(&e.host)
		e.do(func() {
			if e.alive && e.incarnation == incarnation {
				c.emitEntry(e, output, decided)
			}
		})
	})
}

func (c *cell) emitEntry(e *entry, output router.Output, decided time.Duration) {
	for _, one := range output.Assignments {
		c.dispatch(e, one, decided)
	}
	if output.Renew == nil {
		return
	}
	for range 1 + c.repeat() {
		for _, k := range c.controls {
			if c.Now >= e.cut[k.index] {
				c.send(4*time.Second, func() {
					k.do(func() { k.allocator.Renew(k.reading(), output.Renew); c.emitControl(k) })
				})
			}
		}
	}
}

// dispatch sends a request over a connection that was open when the request
// was assigned; the worker has closed it if the idle timeout has passed.
func (c *cell) dispatch(e *entry, one router.Assignment, decided time.Duration) {
	x := &call{id: one.ID, entry: e, incarnation: e.incarnation, assigned: decided, worker: c.workerOf(one.Worker)}
	e.calls[x.id] = x
	if service := serviceOf(x.id); !slices.Contains(x.worker.services, service) {
		c.fail("%s doesn't serve %s", x.worker.name, service)
	}
	delay := c.between(200*time.Microsecond, 2*time.Millisecond)
	switch {
	case c.faulty && c.chance(0.01):
		delay = c.between(0, 3*time.Second)
	case c.faulty && x.worker.lag > 0 && c.chance(0.2):
		delay = c.between(0, x.worker.idle)
	}
	c.After(delay, func() { c.begin(x) })
	if c.faulty && c.chance(0.01) {
		// The entry host gives up on the answer while the request may run.
		c.After(c.between(0, 100*time.Millisecond), func() { c.answer(x, classifier.AnswerTimeout, false) })
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

func (c *cell) begin(x *call) {
	w := x.worker
	if w.down {
		c.reply(x, classifier.ConnectFailed, true)
		return
	}
	if c.Now-x.assigned > w.span(w.idle) || x.closed && c.chance(0.5) {
		c.reply(x, classifier.SendFailed, true)
		return
	}
	w.running[x] = true
	c.begun++
	if len(w.running) > workerSlots {
		c.fail("%d requests run on %s", len(w.running), w.name)
	}
	if w.leaving && w.leftTerm == c.term && w.leftTerm != 0 && c.Now > w.leftAt+sessionEnd {
		c.fail("%s began a request %v after its leaving was known", w.name, c.Now-w.leftAt)
	}
	c.checkSession(x)
	generation := w.generation
	run := min(c.Exponential(200*time.Millisecond), w.span(requestLimit))
	if c.faulty && (c.chance(0.03) || w.lag > 0 && c.chance(0.2)) {
		run = w.span(requestLimit)
	}
	c.After(run, func() {
		if w.generation == generation && w.running[x] {
			delete(w.running, x)
			c.reply(x, classifier.None, true)
		}
	})
}

// checkSession checks that a late request doesn't begin after its session has
// ended for the leader.
func (c *cell) checkSession(x *call) {
	k := c.controls[c.leader]
	if c.Now-x.assigned < 100*time.Millisecond || k.term != c.term {
		return
	}
	for _, s := range k.allocator.Sessions() {
		if s.Session.Entry == x.entry.name && s.Session.Incarnation == x.incarnation && !s.Live {
			c.fail("%s began a request %v after its assignment, when the session had ended", x.worker.name, c.Now-x.assigned)
		}
	}
}

// reply carries the end of an attempt back to the entry host.
func (c *cell) reply(x *call, kind classifier.Kind, ended bool) {
	c.After(c.between(200*time.Microsecond, 2*time.Millisecond), func() { c.answer(x, kind, ended) })
}

func (c *cell) answer(x *call, kind classifier.Kind, ended bool) {
	e := x.entry
	if e.incarnation != x.incarnation || e.calls[x.id] != x {
		return
	}
	delete(e.calls, x.id)
	x.closed = true
	if kind == classifier.None {
		e.served++
	}
	c.step(e, func(r *router.Router) { r.Finish(e.reading(), x.id, kind, ended) })
}

// beat sends a worker's heartbeat each second.
func (c *cell) beat(w *upstream) {
	c.After(time.Second, func() { c.beat(w) })
	c.report(w)
}

// report sends a heartbeat, which may take longer than any session lasts, and
// takes the answer, if the worker is one of those that heed it.
func (c *cell) report(w *upstream) {
	if w.down {
		return
	}
	beat := &modeler.Heartbeat{
		Worker: w.name, Generation: w.generation, Address: string(w.name), Slots: workerSlots,
		Connections: connections, Services: w.services, IdleTimeout: modeler.Duration(w.idle),
		Clock: w.reading(), Active: len(w.running), Leaving: w.leaving, Seen: w.receipt,
	}
	if w.asked || w.lag > 0 {
		beat.Sessions = w.counts()
	}
	for _, k := range c.controls {
		c.After(w.lag, func() {
			c.send(6*time.Second, func() { c.heartbeat(k, w, beat) })
		})
	}
}

// heartbeat gives a report to a control process.
func (c *cell) heartbeat(k *control, w *upstream, beat *modeler.Heartbeat) {
	k.do(func() {
		receipt, next := k.allocator.Heartbeat(k.reading(), beat)
		c.send(6*time.Second, func() { c.answered(w, beat.Generation, receipt, next.Std()) })
		if beat.Leaving && beat.Generation == w.generation && k.term == c.term && w.leftTerm != c.term {
			w.leftAt, w.leftTerm = c.Now, c.term
		}
		c.emitControl(k)
	})
}

// answered takes the answer to a heartbeat. Answers overtake each other, and
// every fifth worker doesn't heed them.
func (c *cell) answered(w *upstream, generation modeler.Generation, receipt modeler.Receipt, next time.Duration) {
	if w.generation != generation || receipt.Term < max(1, w.receipt.Term) || w.heedless {
		return
	}
	w.receipt, w.asked = receipt, next > 0
	if next > 0 {
		c.After(max(next, 5*time.Millisecond), func() { c.report(w) })
	}
}

// counts returns the running requests by entry process.
func (w *upstream) counts() []modeler.SessionCount {
	counts := map[string]int{}
	for x := range w.running {
		counts[modeler.EntrySession{Entry: x.entry.name, Incarnation: x.incarnation}.String()]++
	}
	var list []modeler.SessionCount
	for _, session := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, modeler.SessionCount{Session: session, Active: counts[session]})
	}
	return list
}

// disturb causes one random fault.
func (c *cell) disturb() {
	e := c.entries[c.Random.IntN(entryCount)]
	w := c.workers[c.Random.IntN(workerCount)]
	switch c.Random.IntN(8) {
	case 0:
		c.crash(e)
	case 1:
		e.paused = max(e.paused, c.Now+c.between(100*time.Millisecond, 6*time.Second))
	case 2:
		c.cutOff(e, 0, 1)
	case 3:
		c.elect(1 - c.leader)
		// Some entry hosts don't hear of the new leader, with or without a
		// link to the old one.
		c.cutOff(e, c.leader)
		c.cutOff(c.entries[c.Random.IntN(entryCount)], 0, 1)
	case 4:
		k := c.controls[c.leader]
		k.paused = max(k.paused, c.Now+c.between(50*time.Millisecond, 5*time.Second))
		c.watch(k, c.term)
	case 5, 6:
		c.restart(w)
	case 7:
		w.leaving = true
		c.After(5*time.Second, func() { c.restart(w) })
	}
}

// watch elects the other control process if the leader pauses for long.
func (c *cell) watch(k *control, term modeler.Term) {
	c.After(c.between(time.Second, 2*time.Second), func() {
		if c.term == term && c.Now < k.paused {
			c.elect(1 - c.leader)
		}
	})
}

func (c *cell) cutOff(e *entry, controls ...int) {
	until := c.Now + c.between(time.Second, 8*time.Second)
	for _, i := range controls {
		e.cut[i] = max(e.cut[i], until)
	}
}

// crash ends an entry process; its host starts a new one. Workers notice the
// lost connections at once, or not at all when the whole host is lost.
func (c *cell) crash(e *entry) {
	if !e.alive {
		return
	}
	e.alive = false
	id := modeler.EntrySession{Entry: e.name, Incarnation: e.incarnation}
	for _, k := range c.controls {
		if c.chance(0.5) {
			k.do(func() { k.allocator.Detach(k.reading(), id) })
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
	c.After(c.between(10*time.Millisecond, 5*time.Second), func() { c.start(e) })
}

// restart ends a worker's process and starts it again under a new generation.
func (c *cell) restart(w *upstream) {
	if w.down {
		return
	}
	w.down = true
	w.generation++
	running := w.running
	w.running = map[*call]bool{}
	w.receipt, w.asked = modeler.Receipt{}, false
	calls := slices.SortedFunc(maps.Keys(running), func(x, y *call) int { return cmp.Compare(x.id, y.id) })
	for _, x := range calls {
		if c.chance(0.8) {
			c.reply(x, classifier.AnswerLost, true)
			continue
		}
		c.After(requestLimit, func() { c.answer(x, classifier.AnswerTimeout, false) })
	}
	c.After(c.between(10*time.Millisecond, 4*time.Second), func() {
		w.down, w.leaving, w.leftTerm = false, false, 0
	})
}

// heal ends all faults.
func (c *cell) heal() {
	c.faulty = false
	for _, e := range c.entries {
		e.paused, e.cut = min(e.paused, c.Now), [2]time.Duration{}
	}
	for _, k := range c.controls {
		k.paused = min(k.paused, c.Now)
	}
	for _, w := range c.workers {
		w.leaving, w.leftTerm = false, 0
	}
}

// settleDown checks that every slot is in use again after the faults.
func (c *cell) settleDown() {
	c.heal()
	for _, e := range c.entries {
		e.arrivals = 2 * time.Millisecond
	}
	// Sessions, request limits and first exclusions are over by then.
	c.Until(c.Now + 15*time.Second)
	running := 0
	for _, w := range c.workers {
		running += len(w.running)
	}
	c.checkLent()
	if running < workerCount*workerSlots*8/10 {
		c.fail("only %d requests run under overload", running)
	}
	if sessions := c.registered(); len(sessions) != entryCount {
		c.fail("%d sessions are registered", len(sessions))
	}
}

// checkLent checks that no slot is lost. Those that change hands between teams
// or callers are back at the leader for moments, so each worker must have lent
// all its slots at one of some instants, and nearly all slots are lent at each.
func (c *cell) checkLent() {
	k := c.controls[c.leader]
	full := map[modeler.WorkerID]bool{}
	for range 10 {
		lent := 0
		for _, w := range k.allocator.Workers() {
			lent += w.Lent
			full[w.Worker] = full[w.Worker] || w.Lent == workerSlots
			if w.Kept != 0 || w.Unknown != 0 || w.Revoked {
				c.fail("slots are lost: %+v", w)
			}
		}
		if lent < workerCount*workerSlots*98/100 {
			c.fail("%d slots are lent under overload", lent)
		}
		c.Until(c.Now + 5*time.Millisecond)
	}
	for _, w := range c.workers {
		if !full[w.name] {
			c.fail("slots of %s are lost", w.name)
		}
	}
}

// checkConnections checks that the bounds in force allow no more connections
// than each worker has.
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
		if sum > connections {
			c.fail("%s may get %d connections", worker, sum)
		}
	}
}

// drain checks that both sides agree on the slots once no request comes, and
// that entry hosts that end give all of them back.
func (c *cell) drain() {
	for _, e := range c.entries {
		e.arrivals = time.Hour
	}
	c.Until(c.Now + 5*time.Second)
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
		c.step(e, func(r *router.Router) { r.Drain(e.reading()) })
	}
	c.Until(c.Now + 2*time.Second)
	for _, e := range c.entries {
		if !e.router.Drained() {
			c.fail("%s isn't drained", e.name)
		}
	}
	if left := c.registered(); len(left) != 0 {
		c.fail("sessions are left after the drain: %v", left)
	}
}

// TestSchedules guards against lending a slot twice, losing a slot for ever
// and sending to a worker that has left, under random faults.
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
			for c.Now < faultSpan && c.failed == "" {
				c.Until(c.Now + c.between(20*time.Millisecond, 2*time.Second))
				c.checkConnections()
				c.disturb()
			}
			if c.failed == "" {
				c.settleDown()
			}
			if c.failed == "" {
				c.drain()
			}
			assert.Equal(t, c.failed, "")
			t.Logf("seed %d: %d requests began, %d terms", seed, c.begun, c.term)
		})
	}
}
