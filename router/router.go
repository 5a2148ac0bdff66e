package router

import (
	"container/heap"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/limiter"
	"goldcreststack.example/goldcreststack/modeler"
)

// Options configures the durations and limits of routing; zero fields take
// defaults.
type Options struct {
	// RenewalInterval is the longest interval between session renewals.
	RenewalInterval time.Duration
	// MinRenewalGap is the shortest interval before a renewal that confirms lent slots
	// or reports a change of demand that isn't urgent, such as a queue that
	// has grown.
	MinRenewalGap time.Duration
	// MaxCallers is the maximum number of callers whose request rate is tracked.
	MaxCallers int
	// CallerQueueDivisor limits a caller to 1/CallerQueueDivisor of a service's queue.
	CallerQueueDivisor int
	// Limit is the request limit and Wait the longest wait in the queue for
	// services that don't set them.
	Limit time.Duration
	Wait  time.Duration
}

const (
	defaultRenewalInterval    = 250 * time.Millisecond
	defaultMinRenewalGap      = time.Millisecond
	defaultMaxCallers         = 10000
	defaultCallerQueueDivisor = 2
	defaultRequestLimit       = 60 * time.Second
	defaultQueueWait          = 5 * time.Second
	defaultIdleTimeout        = time.Second
	defaultQueueLength        = 1000
	// initialRoundTrip is assumed until a round trip to the leader is measured.
	initialRoundTrip = 4 * time.Millisecond
	maxRoundTrip     = 50 * time.Millisecond
	// maxSlotlessWorkers is the number of revoked workers without slots above
	// which a new session is begun to drop their counts.
	maxSlotlessWorkers = 256
)

func (o Options) withDefaults() Options {
	o.RenewalInterval = orDefault(o.RenewalInterval, defaultRenewalInterval)
	o.MinRenewalGap = orDefault(o.MinRenewalGap, defaultMinRenewalGap)
	o.Limit = orDefault(o.Limit, defaultRequestLimit)
	o.Wait = orDefault(o.Wait, defaultQueueWait)
	if o.MaxCallers == 0 {
		o.MaxCallers = defaultMaxCallers
	}
	if o.CallerQueueDivisor == 0 {
		o.CallerQueueDivisor = defaultCallerQueueDivisor
	}
	return o
}

func orDefault(value, preset time.Duration) time.Duration {
	if value == 0 {
		return preset
	}
	return value
}

// Output holds the decisions and the message that resulted from inputs.
type Output struct {
	Assignments []Assignment
	Refusals    []Refusal
	// Renew is the session renewal to send to the leader; nil if none is due.
	Renew *modeler.SessionRenewal
}

// Router tracks the slots, queues and requests of one entry process. It isn't
// safe for concurrent use.
type Router struct {
	options     Options
	entry       modeler.EntryID
	incarnation modeler.Incarnation
	now         modeler.ClockReading

	term            modeler.Term
	leaderLost      bool                 // the link to the leader of the term is closed
	joining         bool                 // no grant of this session has been accepted yet
	session         modeler.ClockReading // when the session began, which identifies it
	round           uint64               // of the newest grant accepted in this session
	renewalSentAt   modeler.ClockReading // clock in the last renewal
	ackedClock      modeler.ClockReading // newest clock of this session echoed by a grant
	hasSessionLease bool
	leaseClock      modeler.ClockReading // newest clock echoed by a grant of any session
	leaseLifetime   time.Duration
	leaseLapsedAt   modeler.ClockReading // requests started before it belong to an ended session
	roundTrip       time.Duration
	renewAt         modeler.ClockReading

	version             modeler.Index
	versionConfirmedAt  modeler.ClockReading // newest clock at which the leader had no newer version
	hasConfirmedVersion bool                 // versionConfirmedAt is set
	// newerVersion is a configuration version announced by the leader and not
	// yet in force here, seen at newerVersionSeenAt; 0 means none.
	newerVersion       modeler.Index
	newerVersionSeenAt modeler.ClockReading

	services      map[modeler.ServiceName]*service
	serviceNames  []modeler.ServiceName // sorted keys of services
	teamWeights   map[modeler.TeamName]int
	teamShares    map[modeler.TeamName]*teamShare // shares of the teams that own services
	workers       map[modeler.WorkerID]*workerSlots
	workerOrder   []*workerSlots // workers in the order of their first grant
	unconfirmed   []*workerSlots // workers with changes that the leader hasn't confirmed
	excluded      []*workerSlots // workers excluded after failures
	withAbandoned []*workerSlots // workers with abandoned requests
	requests      map[RequestID]*request
	deadlines     deadlines
	buckets       *limiter.Buckets
	draining      bool
	output        Output
}

// New returns a router without a leader, configuration or slots.
func New(entry modeler.EntryID, incarnation modeler.Incarnation, options Options) *Router {
	options = options.withDefaults()
	return &Router{
		options: options, entry: entry, incarnation: incarnation,
		roundTrip:   initialRoundTrip,
		services:    map[modeler.ServiceName]*service{},
		teamWeights: map[modeler.TeamName]int{},
		teamShares:  map[modeler.TeamName]*teamShare{},
		workers:     map[modeler.WorkerID]*workerSlots{},
		requests:    map[RequestID]*request{},
		buckets:     limiter.NewBuckets(options.MaxCallers),
	}
}

// Configure puts a configuration in force unless a newer one already is.
func (r *Router) Configure(now modeler.ClockReading, c *modeler.Configuration) {
	r.advanceClock(now)
	if c.Version < r.version {
		return
	}
	r.version = c.Version
	if r.newerVersion != 0 && r.newerVersion <= c.Version {
		r.confirmVersion(r.newerVersionSeenAt)
		r.newerVersion = 0
	}
	for _, s := range r.services {
		s.configured = false
	}
	for _, settings := range c.Services {
		s := r.service(settings.Name)
		s.settings = settings
		s.configured = true
	}
	r.configureTeams(c)
	r.refuseUnknownServices()
	r.scheduleRenewal(r.now)
	r.dispatch()
}

// refuseUnknownServices refuses the waiting requests of services that the
// configuration no longer contains.
func (r *Router) refuseUnknownServices() {
	for _, name := range r.serviceNames {
		s := r.services[name]
		for !s.configured && s.queue.size > 0 {
			r.refuse(s.queue.oldest(), classifier.UnknownService)
		}
	}
}

// Arrive accepts a request and assigns, queues or refuses it.
func (r *Router) Arrive(now modeler.ClockReading, incoming Request) {
	r.advanceClock(now)
	q := &request{Request: incoming}
	if q.FirstArrival == 0 {
		q.FirstArrival = r.now
	}
	if kind := r.checkAdmission(q); kind != classifier.None {
		r.output.Refusals = append(r.output.Refusals, Refusal{ID: q.ID, Kind: kind})
		return
	}
	if q.Deadline == 0 {
		q.Deadline = q.FirstArrival.Add(orDefault(q.service.settings.Wait.Std(), r.options.Wait))
	}
	q.service.countArrival(r.now)
	q.service.queue.push(q, r.teamWeights[q.Team])
	heap.Push(&r.deadlines, q)
	r.requests[q.ID] = q
	r.dispatchServices([]*service{q.service})
	r.reportDemand(q.service)
}

// checkAdmission returns the reason to refuse a request on arrival, or None.
func (r *Router) checkAdmission(q *request) classifier.Kind {
	if r.draining && !q.Retry {
		return classifier.Draining
	}
	if !r.hasValidLeases() {
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
	return r.checkLimits(q)
}

func (r *Router) checkLimits(q *request) classifier.Kind {
	settings := &q.service.settings
	if settings.Rate > 0 && !r.buckets.Take(r.now, string(q.Service)+"\x00"+string(q.Caller), settings.Rate) {
		return classifier.RateLimited
	}
	bound := settings.Queue
	if bound == 0 {
		bound = defaultQueueLength
	}
	if q.service.queue.size >= bound {
		return classifier.QueueFull
	}
	if q.service.queue.waitingInTeam(q.Team, q.Caller) >= max(1, bound/r.options.CallerQueueDivisor) {
		return classifier.QueueFull
	}
	return classifier.None
}

// Cancel removes a waiting request whose caller has gone. It reports false if
// the request isn't waiting; a request in flight ends with Finish.
func (r *Router) Cancel(now modeler.ClockReading, id RequestID) bool {
	r.advanceClock(now)
	q := r.requests[id]
	if q == nil || q.workerSlots != nil {
		return false
	}
	r.removeWaiting(q)
	r.reportDemand(q.service)
	return true
}

// Finish ends an attempt with its outcome. Ended says that the worker
// certainly isn't running the request and never will; otherwise its slot stays
// in use until the request limit and the worker's idle timeout have passed.
func (r *Router) Finish(now modeler.ClockReading, id RequestID, kind classifier.Kind, ended bool) {
	r.advanceClock(now)
	q := r.requests[id]
	if q == nil || q.workerSlots == nil {
		return
	}
	delete(r.requests, id)
	s := q.workerSlots
	q.service.countRunning(q.Caller, -1)
	fromEndedSession := q.startedAt < r.leaseLapsedAt
	if ended {
		s.releaseSlot(fromEndedSession)
	} else {
		limit := orDefault(q.service.settings.Limit.Std(), r.options.Limit)
		s.abandoned = append(s.abandoned, abandonedRequest{r.latestEnd(q, limit), fromEndedSession})
		if !slices.Contains(r.withAbandoned, s) {
			r.withAbandoned = append(r.withAbandoned, s)
		}
	}
	s.updateUsable()
	r.recordOutcome(s, kind)
	r.returnUnusableSlots(s)
	r.dispatchServices(s.services)
	for _, service := range s.services {
		r.reportDemand(service)
	}
}

// latestEnd returns when an abandoned request has certainly ended. It may have
// begun as late as the worker's idle timeout after its assignment.
func (r *Router) latestEnd(q *request, limit time.Duration) modeler.ClockReading {
	return q.startedAt.Add(modeler.MaxLocalSpan(limit + orDefault(q.workerSlots.idle, defaultIdleTimeout)))
}

// Sendable reports whether the first byte of an assigned request may still be
// sent on a connection that was observed to be open at or after now.
func (r *Router) Sendable(now modeler.ClockReading, id RequestID) bool {
	r.advanceClock(now)
	q := r.requests[id]
	return q != nil && q.workerSlots != nil && r.now < r.sendDeadline(q.workerSlots)
}

// Drain stops accepting new requests; waiting requests are still served.
func (r *Router) Drain(now modeler.ClockReading) {
	r.advanceClock(now)
	r.draining = true
	r.returnExcessSlots()
	r.scheduleRenewal(r.now)
}

// Drained reports whether a drain is complete: no request waits or runs, and
// the leader has confirmed the return of all slots or the session lease has
// ended.
func (r *Router) Drained() bool {
	if !r.draining || len(r.requests) > 0 {
		return false
	}
	return !r.hasSessionLease || len(r.unconfirmed) == 0 && r.totalHeldSlots() == 0
}

func (r *Router) totalHeldSlots() int {
	heldSlots := 0
	for _, s := range r.workerOrder {
		heldSlots += s.heldSlots()
	}
	return heldSlots
}

// Tick handles what is due at now: expired queue waits, ended exclusions and
// abandoned requests. It must be called by the reading that Due returns.
func (r *Router) Tick(now modeler.ClockReading) {
	r.advanceClock(now)
	for len(r.deadlines) > 0 && r.deadlines[0].Deadline <= r.now {
		r.refuseTimedOut(r.deadlines[0])
	}
	r.readmit()
	r.withAbandoned = slices.DeleteFunc(r.withAbandoned, func(s *workerSlots) bool {
		r.freeAbandonedSlots(s)
		r.returnUnusableSlots(s)
		return len(s.abandoned) == 0
	})
	r.dispatch()
	if r.draining {
		r.returnExcessSlots()
	}
}

func (r *Router) refuseTimedOut(q *request) {
	kind := classifier.QueueTimeout
	if !r.hasValidLeases() {
		kind = classifier.Unconfirmed
	}
	r.refuse(q, kind)
}

// Due returns the reading by which the next Tick is needed.
func (r *Router) Due() modeler.ClockReading {
	due := r.now.Add(r.options.RenewalInterval)
	if r.term != 0 {
		due = min(due, r.renewAt)
	}
	if len(r.deadlines) > 0 {
		due = min(due, r.deadlines[0].Deadline)
	}
	return due
}

// Take returns the output since the last call, with a renewal if one is due.
func (r *Router) Take() Output {
	if r.term != 0 && r.now >= r.renewAt {
		r.output.Renew = r.buildRenewal()
	}
	output := r.output
	r.output = Output{}
	return output
}

func (r *Router) refuse(q *request, kind classifier.Kind) {
	r.removeWaiting(q)
	r.output.Refusals = append(r.output.Refusals, Refusal{ID: q.ID, Kind: kind})
	r.reportDemand(q.service)
}

// removeWaiting removes a waiting request from its queue and from the router.
func (r *Router) removeWaiting(q *request) {
	q.service.queue.remove(q)
	r.deadlines.remove(q)
	delete(r.requests, q.ID)
}

// service returns the state of a service, which it creates if it is missing.
func (r *Router) service(name modeler.ServiceName) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name, queue: newQueue(), teamShare: &teamShare{weight: 1}}
		r.services[name] = s
		index, _ := slices.BinarySearch(r.serviceNames, name)
		r.serviceNames = slices.Insert(r.serviceNames, index, name)
	}
	return s
}

// dispatch assigns free slots of all services to waiting requests.
func (r *Router) dispatch() {
	all := make([]*service, 0, len(r.serviceNames))
	for _, name := range r.serviceNames {
		all = append(all, r.services[name])
	}
	r.dispatchServices(all)
}

// dispatchServices assigns free slots to waiting requests of the services. It
// returns slots to the leader when requests on other entry hosts have waited
// longer or other teams use less than their shares.
func (r *Router) dispatchServices(services []*service) {
	if !r.hasValidLeases() {
		return
	}
	for _, s := range services {
		s.isBlocked = false
	}
	for {
		s := r.nextService(services)
		if s == nil {
			return
		}
		if s.shouldYield(r.now, r.roundTrip) {
			s.isBlocked = !r.returnIdleSlot(s)
			s.slotsToYield--
			r.scheduleRenewal(r.now)
			continue
		}
		s.isBlocked = !r.assignNext(s)
	}
}

// nextService returns the service that goes first among those that can use or
// should return a free slot, or nil if there is none.
func (r *Router) nextService(services []*service) *service {
	var nextService *service
	for _, s := range services {
		if s.isBlocked || s.idle == 0 || (s.queue.size == 0 && !s.shouldYield(r.now, r.roundTrip)) {
			continue
		}
		if nextService == nil || s.goesBefore(nextService, r.now) {
			nextService = s
		}
	}
	return nextService
}

// assignNext assigns the next request of the service's queue to a worker; it
// reports false if no worker with a free slot may be sent requests.
func (r *Router) assignNext(s *service) bool {
	if s.pickWorker(r.maySend, nil) == nil {
		return false
	}
	q := s.queue.pop(func(c Caller) bool { return s.callerAtBound(r.now, c) })
	r.deadlines.remove(q)
	chosen := s.pickWorker(r.maySend, q.AvoidWorkers)
	q.workerSlots = chosen
	q.startedAt = r.now
	s.countRunning(q.Caller, 1)
	chosen.inUse++
	chosen.lastUsedAt = r.now
	chosen.updateUsable()
	r.output.Assignments = append(r.output.Assignments, Assignment{
		ID: q.ID, Worker: chosen.worker, Generation: chosen.generation, Address: chosen.address,
		SendBy: r.sendDeadline(chosen), Connections: chosen.maxConnections, Idle: chosen.idle, Waited: r.now - q.FirstArrival,
	})
	return true
}

// returnIdleSlot returns one idle slot of the service to the leader, from the
// worker with the most; it reports false if there is none.
func (r *Router) returnIdleSlot(s *service) bool {
	var fullest *workerSlots
	for _, candidate := range s.workers {
		if candidate.usable > 0 && (fullest == nil || candidate.usable > fullest.usable) {
			fullest = candidate
		}
	}
	if fullest == nil {
		return false
	}
	r.returnSlots(fullest, 1)
	return true
}

func (r *Router) maySend(s *workerSlots) bool { return r.now < r.sendDeadline(s) }
