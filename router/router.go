package router

import (
	"container/heap"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/limiter"
	"goldcreststack.example/goldcreststack/modeler"
)

// Options are the durations and bounds of routing; zero fields take defaults.
type Options struct {
	// Renewal is the longest pause between renewals.
	Renewal time.Duration
	// Gap is the shortest pause between renewals about growing queues.
	Gap time.Duration
	// Callers bounds the callers whose rate is remembered.
	Callers int
	// CallerShare is the part of a queue that one caller may fill: one in
	// CallerShare.
	CallerShare int
	// Limit and Wait stand in for services without these settings.
	Limit time.Duration
	Wait  time.Duration
}

const (
	defaultRenewal     = 250 * time.Millisecond
	defaultGap         = time.Millisecond
	defaultCallers     = 10000
	defaultCallerShare = 2
	defaultLimit       = 60 * time.Second
	defaultWait        = 5 * time.Second
	defaultIdle        = time.Second
	defaultQueue       = 1000
	// firstExchange is assumed until a round trip to the leader is measured.
	firstExchange = 4 * time.Millisecond
	maxExchange   = 50 * time.Millisecond
	// maxDead is the number of workers without slots whose counts are kept
	// before a new session drops them.
	maxDead = 256
)

func (o Options) withDefaults() Options {
	o.Renewal = orDefault(o.Renewal, defaultRenewal)
	o.Gap = orDefault(o.Gap, defaultGap)
	o.Limit = orDefault(o.Limit, defaultLimit)
	o.Wait = orDefault(o.Wait, defaultWait)
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	if o.CallerShare == 0 {
		o.CallerShare = defaultCallerShare
	}
	return o
}

func orDefault(value, preset time.Duration) time.Duration {
	if value == 0 {
		return preset
	}
	return value
}

// Output is what an input has led to.
type Output struct {
	Assignments []Assignment
	Refusals    []Refusal
	// Renew is to be sent to the leader; it is nil when none is due.
	Renew *modeler.SessionRenewal
}

// Router keeps the slots, queues and requests of one entry process. It isn't
// safe for concurrent use.
type Router struct {
	options     Options
	entry       modeler.EntryID
	incarnation modeler.Incarnation
	now         modeler.ClockReading

	term     modeler.Term
	lost     bool // the leader of the term can't be reached
	joining  bool // no grant of this session has come yet
	session  modeler.ClockReading
	round    uint64
	sent     modeler.ClockReading // clock of the last renewal
	acked    modeler.ClockReading // newest clock of this session that was echoed
	leased   bool
	lease    modeler.ClockReading // newest clock echoed by any valid grant
	lifetime time.Duration
	lapsed   modeler.ClockReading // slots of earlier requests are given back
	exchange time.Duration
	renewAt  modeler.ClockReading

	version   modeler.Index
	confirmed modeler.ClockReading // newest clock at which version was the newest
	sure      bool                 // confirmed is set
	// ahead is a newer version than the one in force, seen at aheadAt.
	ahead   modeler.Index
	aheadAt modeler.ClockReading

	services  map[modeler.ServiceName]*service
	names     []modeler.ServiceName // the keys of services in order
	weights   map[modeler.TeamName]int
	shares    map[modeler.TeamName]*share // of the teams with services
	stocks    map[modeler.WorkerID]*stock
	order     []*stock // the stocks in order of their first grant
	marked    []*stock // with changes that the leader hasn't confirmed
	excluded  []*stock
	lingering []*stock
	requests  map[RequestID]*request
	deadlines deadlines
	buckets   *limiter.Buckets
	draining  bool
	output    Output
}

// New returns a router without a leader, configuration or slots.
func New(entry modeler.EntryID, incarnation modeler.Incarnation, options Options) *Router {
	options = options.withDefaults()
	return &Router{
		options: options, entry: entry, incarnation: incarnation,
		exchange: firstExchange,
		services: map[modeler.ServiceName]*service{},
		weights:  map[modeler.TeamName]int{},
		shares:   map[modeler.TeamName]*share{},
		stocks:   map[modeler.WorkerID]*stock{},
		requests: map[RequestID]*request{},
		buckets:  limiter.NewBuckets(options.Callers),
	}
}

// Configure puts a configuration in force unless a newer one is.
func (r *Router) Configure(now modeler.ClockReading, c *modeler.Configuration) {
	r.advance(now)
	if c.Version < r.version {
		return
	}
	r.version = c.Version
	if r.ahead != 0 && r.ahead <= c.Version {
		r.confirm(r.aheadAt)
		r.ahead = 0
	}
	for _, s := range r.services {
		s.configured = false
	}
	for _, settings := range c.Services {
		s := r.service(settings.Name)
		s.settings = settings
		s.configured = true
	}
	r.configureShares(c)
	r.refuseUnknown()
	r.renewBy(r.now)
	r.dispatch()
}

// refuseUnknown refuses the requests of services that are gone.
func (r *Router) refuseUnknown() {
	for _, name := range r.names {
		s := r.services[name]
		for !s.configured && s.queue.size > 0 {
			r.refuse(s.queue.oldest(), classifier.UnknownService)
		}
	}
}

// Arrive takes in a request, which is assigned, queued or refused.
func (r *Router) Arrive(now modeler.ClockReading, incoming Request) {
	r.advance(now)
	q := &request{Request: incoming}
	if q.Since == 0 {
		q.Since = r.now
	}
	if kind := r.check(q); kind != classifier.None {
		r.output.Refusals = append(r.output.Refusals, Refusal{ID: q.ID, Kind: kind})
		return
	}
	if q.Deadline == 0 {
		q.Deadline = q.Since.Add(orDefault(q.service.settings.Wait.Std(), r.options.Wait))
	}
	q.service.arrived(r.now)
	q.service.queue.push(q, r.weights[q.Team])
	heap.Push(&r.deadlines, q)
	r.requests[q.ID] = q
	r.dispatchAmong([]*service{q.service})
	r.report(q.service)
}

// check returns why the request can't be taken, None if it can.
func (r *Router) check(q *request) classifier.Kind {
	if r.draining && !q.Retry {
		return classifier.Draining
	}
	if !r.serving() {
		if r.term == 0 {
			return classifier.NoLeader
		}
		return classifier.Unconfirmed
	}
	q.service = r.services[q.Service]
	if q.service == nil || !q.service.configured {
		return classifier.UnknownService
	}
	if q.Retry {
		return classifier.None
	}
	return r.checkBounds(q)
}

func (r *Router) checkBounds(q *request) classifier.Kind {
	settings := &q.service.settings
	if settings.Rate > 0 && !r.buckets.Take(r.now, string(q.Service)+"\x00"+string(q.Caller), settings.Rate) {
		return classifier.RateLimited
	}
	bound := settings.Queue
	if bound == 0 {
		bound = defaultQueue
	}
	if q.service.queue.size >= bound {
		return classifier.QueueFull
	}
	if q.service.queue.waiting(q.Team, q.Caller) >= max(1, bound/r.options.CallerShare) {
		return classifier.QueueFull
	}
	return classifier.None
}

// Cancel drops a waiting request whose caller has gone. It reports false if
// the request isn't waiting; one in flight ends with Finish.
func (r *Router) Cancel(now modeler.ClockReading, id RequestID) bool {
	r.advance(now)
	q := r.requests[id]
	if q == nil || q.stock != nil {
		return false
	}
	r.forget(q)
	r.report(q.service)
	return true
}

// Finish ends an attempt. Ended says that the worker surely runs it no more or
// never will; otherwise its slot stays taken for the request limit.
func (r *Router) Finish(now modeler.ClockReading, id RequestID, kind classifier.Kind, ended bool) {
	r.advance(now)
	q := r.requests[id]
	if q == nil || q.stock == nil {
		return
	}
	delete(r.requests, id)
	s := q.stock
	q.service.count(q.Caller, -1)
	stale := q.started < r.lapsed
	if ended {
		s.release(stale)
	} else {
		limit := orDefault(q.service.settings.Limit.Std(), r.options.Limit)
		s.lingers = append(s.lingers, linger{r.lingerEnd(q, limit), stale})
		if !slices.Contains(r.lingering, s) {
			r.lingering = append(r.lingering, s)
		}
	}
	s.refresh()
	r.judge(s, kind)
	r.giveBackUnusable(s)
	r.dispatchAmong(s.services)
	for _, service := range s.services {
		r.report(service)
	}
}

// lingerEnd returns when a request that was given up has surely ended: it may
// have begun as late as the worker's idle timeout after its assignment.
func (r *Router) lingerEnd(q *request, limit time.Duration) modeler.ClockReading {
	return q.started.Add(modeler.MaxLocalSpan(limit + orDefault(q.stock.idle, defaultIdle)))
}

// Sendable reports whether the first byte of an assigned request may still be
// sent, on a connection that was seen open at or after now.
func (r *Router) Sendable(now modeler.ClockReading, id RequestID) bool {
	r.advance(now)
	q := r.requests[id]
	return q != nil && q.stock != nil && r.now < r.sendEnd(q.stock)
}

// Drain stops taking new requests; what waits is still served.
func (r *Router) Drain(now modeler.ClockReading) {
	r.advance(now)
	r.draining = true
	r.returnExcess()
	r.renewBy(r.now)
}

// Drained reports whether nothing waits or runs and the leader knows that all
// slots are back, or can't hear it any more.
func (r *Router) Drained() bool {
	if !r.draining || len(r.requests) > 0 {
		return false
	}
	return !r.leased || len(r.marked) == 0 && r.holding() == 0
}

func (r *Router) holding() int {
	held := 0
	for _, s := range r.order {
		held += s.held()
	}
	return held
}

// Tick lets time pass; it is due at the latest at the reading that Due gives.
func (r *Router) Tick(now modeler.ClockReading) {
	r.advance(now)
	for len(r.deadlines) > 0 && r.deadlines[0].Deadline <= r.now {
		r.timeOut(r.deadlines[0])
	}
	r.readmit()
	r.lingering = slices.DeleteFunc(r.lingering, func(s *stock) bool {
		r.endLingers(s)
		r.giveBackUnusable(s)
		return len(s.lingers) == 0
	})
	r.dispatch()
	if r.draining {
		r.returnExcess()
	}
}

func (r *Router) timeOut(q *request) {
	kind := classifier.QueueTimeout
	if !r.serving() {
		kind = classifier.Unconfirmed
	}
	r.refuse(q, kind)
}

// Due returns when the next Tick is needed.
func (r *Router) Due() modeler.ClockReading {
	due := r.now.Add(r.options.Renewal)
	if r.term != 0 {
		due = min(due, r.renewAt)
	}
	if len(r.deadlines) > 0 {
		due = min(due, r.deadlines[0].Deadline)
	}
	return due
}

// Take returns the output since the last call.
func (r *Router) Take() Output {
	if r.term != 0 && r.now >= r.renewAt {
		r.output.Renew = r.renewal()
	}
	output := r.output
	r.output = Output{}
	return output
}

func (r *Router) refuse(q *request, kind classifier.Kind) {
	r.forget(q)
	r.output.Refusals = append(r.output.Refusals, Refusal{ID: q.ID, Kind: kind})
	r.report(q.service)
}

// forget takes a waiting request out of all lists.
func (r *Router) forget(q *request) {
	q.service.queue.remove(q)
	r.deadlines.remove(q)
	delete(r.requests, q.ID)
}

func (r *Router) service(name modeler.ServiceName) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name, queue: newQueue(), share: &share{weight: 1}}
		r.services[name] = s
		index, _ := slices.BinarySearch(r.names, name)
		r.names = slices.Insert(r.names, index, name)
	}
	return s
}

// dispatch gives free slots of all services to waiting requests.
func (r *Router) dispatch() {
	all := make([]*service, 0, len(r.names))
	for _, name := range r.names {
		all = append(all, r.services[name])
	}
	r.dispatchAmong(all)
}

// dispatchAmong assigns waiting requests of the services to free slots, and
// gives slots back when requests elsewhere have waited longer or other teams
// are short of their shares.
func (r *Router) dispatchAmong(services []*service) {
	if !r.serving() {
		return
	}
	for _, s := range services {
		s.stuck = false
	}
	for {
		s := r.next(services)
		if s == nil {
			return
		}
		if s.yields(r.now, r.exchange) {
			s.stuck = !r.giveBackIdle(s)
			s.press--
			r.renewBy(r.now)
			continue
		}
		s.stuck = !r.assignNext(s)
	}
}

// next returns the service in turn among those that can use or give back a
// free slot, nil if there is none.
func (r *Router) next(services []*service) *service {
	var next *service
	for _, s := range services {
		if s.stuck || s.idle == 0 || (s.queue.size == 0 && !s.yields(r.now, r.exchange)) {
			continue
		}
		if next == nil || s.before(next, r.now) {
			next = s
		}
	}
	return next
}

// assignNext assigns the request in turn; it reports false if no worker with a
// free slot may be sent to.
func (r *Router) assignNext(s *service) bool {
	if s.pick(r.maySend, nil) == nil {
		return false
	}
	q := s.queue.pop(func(c Caller) bool { return s.callerOut(r.now, c) })
	r.deadlines.remove(q)
	chosen := s.pick(r.maySend, q.Avoid)
	q.stock = chosen
	q.started = r.now
	s.count(q.Caller, 1)
	chosen.taken++
	chosen.used = r.now
	chosen.refresh()
	r.output.Assignments = append(r.output.Assignments, Assignment{
		ID: q.ID, Worker: chosen.worker, Generation: chosen.generation, Address: chosen.address,
		Until: r.sendEnd(chosen), Connections: chosen.connections, Idle: chosen.idle, Waited: r.now - q.Since,
	})
	return true
}

// giveBackIdle returns one idle slot of the service, of the worker with most.
func (r *Router) giveBackIdle(s *service) bool {
	var most *stock
	for _, candidate := range s.stocks {
		if candidate.usable > 0 && (most == nil || candidate.usable > most.usable) {
			most = candidate
		}
	}
	if most == nil {
		return false
	}
	r.giveBack(most, 1)
	return true
}

func (r *Router) maySend(s *stock) bool { return r.now < r.sendEnd(s) }
