package allocator

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Options configures an Allocator; zero fields take defaults.
type Options struct {
	// Lifetime is how long a session stays valid after a renewal, on the entry
	// host's clock.
	Lifetime time.Duration
	// WorkerSilence is how long a worker may send no heartbeat before its slots are
	// revoked.
	WorkerSilence time.Duration
	// RequestLimit is the longest run time of a request to a service that the
	// configuration doesn't name.
	RequestLimit time.Duration
	// ReservedConnections is the number of each worker's connections that are kept for the
	// leader's own calls.
	ReservedConnections int
	// WaitMargin is how much longer a request on another entry host must have
	// waited than the oldest one on a busy entry host before the leader sends
	// the busy one a grant with that backlog unasked.
	WaitMargin time.Duration
}

const (
	defaultLifetime            = 3 * time.Second
	defaultWorkerSilence       = 3 * time.Second
	defaultRequestLimit        = 60 * time.Second
	defaultReservedConnections = 4
	defaultWaitMargin          = 4 * time.Millisecond
	// leaseMargin covers the time between reading a clock and using the
	// reading.
	leaseMargin = 50 * time.Millisecond
	// proposalRetryDelay is the time after which a command that has had no
	// effect yet is proposed again.
	proposalRetryDelay = time.Second
	// maxInputGap is the largest gap between two inputs that counts as silence
	// of workers: a leader that was paused has received no heartbeats
	// meanwhile.
	maxInputGap = time.Second
)

func (o Options) withDefaults() Options {
	o.Lifetime = orDefault(o.Lifetime, defaultLifetime)
	o.WorkerSilence = orDefault(o.WorkerSilence, defaultWorkerSilence)
	o.RequestLimit = orDefault(o.RequestLimit, defaultRequestLimit)
	o.WaitMargin = orDefault(o.WaitMargin, defaultWaitMargin)
	if o.ReservedConnections == 0 {
		o.ReservedConnections = defaultReservedConnections
	}
	return o
}

func orDefault(value, preset time.Duration) time.Duration {
	if value == 0 {
		return preset
	}
	return value
}

// EntryGrant is a grant and the entry process that receives it.
type EntryGrant struct {
	To    modeler.EntrySession
	Grant *modeler.Grant
}

// Output holds the messages and commands that inputs have produced.
type Output struct {
	Grants []EntryGrant
	// Commands are to be proposed to the replicated log.
	Commands []modeler.Command
}

// Allocator keeps the sessions of entry hosts and the slots lent to them. It
// isn't safe for concurrent use.
type Allocator struct {
	options           Options
	now               modeler.ClockReading
	term              modeler.Term
	termStart         modeler.ClockReading
	isLeading         bool
	leaseEnd          modeler.ClockReading // on the leader's clock
	version           modeler.Index
	limits            map[modeler.ServiceName]time.Duration
	registered        map[modeler.EntrySession]bool
	sessions          map[modeler.EntrySession]*session
	sessionOrder      []*session // sessions in order of their ids
	sharingSessions   int        // live sessions, at least 1, that divide each worker's connections
	workers           map[modeler.WorkerID]*worker
	workerList        []*worker // the workers in order of their first mention
	unreportedWorkers int       // workers without a heartbeat in this term
	pools             map[modeler.ServiceName]*pool
	teams             map[modeler.ServiceName]modeler.TeamName
	weights           map[modeler.TeamName]int
	// shares, shareByTeam and unmetServices are results of the last round of
	// lending.
	shares           []*share
	shareByTeam      map[modeler.TeamName]*share
	unmetServices    []modeler.ServiceName // services whose waiting requests found no slot, in order of names
	callersByService map[modeler.ServiceName]*callerShares
	// pendingJoins holds the newest renewal of each process whose registration
	// isn't committed yet.
	pendingJoins map[modeler.EntrySession]*modeler.SessionRenewal
	// unjoined holds the registered sessions that haven't joined this term; the
	// slots that they may still use are unknown.
	unjoined map[modeler.EntrySession]bool
	// priorSessionsEnd is when every session of an earlier term has expired.
	// canLend is set from then on, or earlier when all of them have joined.
	priorSessionsEnd modeler.ClockReading
	canLend          bool
	proposedAt       map[proposal]modeler.ClockReading
	output           Output
}

// New returns an Allocator that lends nothing until Lead is called.
func New(options Options) *Allocator {
	a := &Allocator{options: options.withDefaults()}
	a.reset()
	return a
}

func (a *Allocator) reset() {
	a.registered = map[modeler.EntrySession]bool{}
	a.sessions = map[modeler.EntrySession]*session{}
	a.workers = map[modeler.WorkerID]*worker{}
	a.workerList = nil
	a.unreportedWorkers = 0
	a.sessionOrder = nil
	a.sharingSessions = 1
	a.teams = map[modeler.ServiceName]modeler.TeamName{}
	a.weights = map[modeler.TeamName]int{}
	a.shares, a.unmetServices = nil, nil
	a.shareByTeam = map[modeler.TeamName]*share{}
	a.callersByService = map[modeler.ServiceName]*callerShares{}
	a.pools = map[modeler.ServiceName]*pool{}
	a.pendingJoins = map[modeler.EntrySession]*modeler.SessionRenewal{}
	a.limits = map[modeler.ServiceName]time.Duration{}
	a.unjoined = map[modeler.EntrySession]bool{}
	a.proposedAt = map[proposal]modeler.ClockReading{}
	a.canLend = false
	a.output = Output{}
}

// Lead starts a term with the entry sessions registered in the replicated
// state, which must include everything committed in earlier terms. It discards
// all state of an earlier term.
func (a *Allocator) Lead(now modeler.ClockReading, term modeler.Term, registered []modeler.EntrySession) {
	a.reset()
	a.now = now
	a.term = term
	a.termStart = now
	a.isLeading = true
	a.leaseEnd = 0
	a.priorSessionsEnd = now.Add(a.maxSessionSpan())
	for _, id := range registered {
		a.registered[id] = true
		a.unjoined[id] = true
	}
	a.canLend = len(registered) == 0
}

// Resign ends the term; nothing is lent until the next Lead.
func (a *Allocator) Resign() {
	a.reset()
	a.isLeading = false
}

// SetLeaseEnd sets the end of the quorum lease on the leader's clock. No grant is
// sent after it.
func (a *Allocator) SetLeaseEnd(leaseEnd modeler.ClockReading) { a.leaseEnd = leaseEnd }

// SetRegistered replaces the set of registered entry sessions after the replicated
// state has changed, and opens the sessions that waited for it.
func (a *Allocator) SetRegistered(now modeler.ClockReading, registered []modeler.EntrySession) {
	a.advanceClock(now)
	a.registered = map[modeler.EntrySession]bool{}
	for _, id := range registered {
		a.registered[id] = true
	}
	for id := range a.unjoined {
		if !a.registered[id] {
			a.removeUnjoined(id)
		}
	}
	for id, s := range a.sessions {
		if !a.registered[id] && s.endProposed {
			delete(a.sessions, id)
		}
	}
	a.updateSessionOrder()
	a.retryJoins()
	a.lendAndGrant()
}

// Configure applies the newest accepted configuration.
func (a *Allocator) Configure(now modeler.ClockReading, c *modeler.Configuration) {
	a.advanceClock(now)
	a.version = c.Version
	for _, service := range c.Services {
		// Requests that started under a longer limit may still be running.
		a.limits[service.Name] = max(a.limits[service.Name], service.Limit.Std())
		a.teams[service.Name] = service.Team
	}
	clear(a.weights)
	for _, team := range c.Teams {
		a.weights[team.Name] = team.Weight
	}
	for _, s := range a.sessions {
		s.grantDue = true
	}
	a.lendAndGrant()
}

// Heartbeat processes a worker's heartbeat. It returns the receipt for the
// answer and the time within which the worker is to send the next heartbeat, 0
// for its usual interval.
func (a *Allocator) Heartbeat(now modeler.ClockReading, heartbeat *modeler.Heartbeat) (modeler.Receipt, modeler.Duration) {
	a.advanceClock(now)
	if !a.isLeading {
		return modeler.Receipt{}, 0
	}
	a.expireSessions()
	w := a.workers[heartbeat.Worker]
	if w == nil {
		w = a.newWorker(heartbeat.Worker)
	}
	receipt := modeler.Receipt{Term: a.term, At: a.now}
	if !w.isNewer(now, heartbeat, a.options.WorkerSilence) {
		return receipt, 0
	}
	if !w.hasReported {
		a.unreportedWorkers--
	}
	changed := w.update(now, heartbeat)
	if changed {
		a.addToPools(w)
	}
	a.applyReport(w, heartbeat)
	a.updateRevocation(w, changed)
	w.reindex()
	a.lendAndGrant()
	return receipt, modeler.Duration(a.nextReportDelay(w))
}

// Renew processes an entry host's session renewal, which may open the session.
func (a *Allocator) Renew(now modeler.ClockReading, renewal *modeler.SessionRenewal) {
	a.advanceClock(now)
	if !a.isLeading || renewal.Term != a.term {
		return
	}
	s := a.sessionOf(renewal)
	if s == nil {
		return
	}
	a.renewSession(s, renewal)
	a.lendAndGrant()
}

// Detach records that the link to an entry process has closed. The session
// stays valid, but nothing is lent to it before it renews: a killed process
// with waiting requests would collect slots otherwise.
func (a *Allocator) Detach(now modeler.ClockReading, id modeler.EntrySession) {
	a.advanceClock(now)
	if s := a.sessions[id]; s != nil {
		s.detached = true
	}
}

// Tick advances the clock and expires sessions and workers. It must be called
// at least every 100 ms.
func (a *Allocator) Tick(now modeler.ClockReading) {
	a.advanceClock(now)
	if !a.isLeading {
		return
	}
	a.allowLending()
	a.expireSessions()
	for _, w := range a.workerList {
		a.updateRevocation(w, false)
		w.reindex()
	}
	a.removeGoneWorkers()
	a.proposeEnds()
	a.lendAndGrant()
}

// TakeOutput returns and clears the output since the last call.
func (a *Allocator) TakeOutput() Output {
	output := a.output
	a.output = Output{}
	return output
}

// AcknowledgedVersion returns the newest configuration version that is in force on
// every entry host with a session. It reports false while a session of an
// earlier term that hasn't joined may still be valid.
func (a *Allocator) AcknowledgedVersion() (modeler.Index, bool) {
	if !a.isLeading || (!a.canLend && a.now < a.priorSessionsEnd) {
		return 0, false
	}
	lowest := a.version
	for _, s := range a.sessions {
		if s.live {
			lowest = min(lowest, s.version)
		}
	}
	return lowest, true
}

func (a *Allocator) maxSessionSpan() time.Duration {
	return modeler.MaxLocalSpan(a.options.Lifetime) + leaseMargin
}

// advanceClock sets the current time. The part of a gap between inputs beyond
// maxInputGap doesn't count as silence of workers.
func (a *Allocator) advanceClock(now modeler.ClockReading) {
	if gap := now.Sub(a.now); gap > maxInputGap {
		for _, w := range a.workerList {
			w.heardAt = w.heardAt.Add(gap - maxInputGap)
		}
	}
	a.now = max(a.now, now)
}

// allowLending sets canLend once all sessions of earlier terms have joined or
// expired. Slots that no joined session holds still count as used by the
// sessions that haven't joined.
func (a *Allocator) allowLending() {
	if a.canLend {
		return
	}
	if len(a.unjoined) == 0 {
		a.canLend = true
		return
	}
	if a.now < a.priorSessionsEnd {
		return
	}
	a.canLend = true
}

// removeUnjoined records that a registered session of an earlier term has
// joined or was removed from the replicated state. When it was the last one, no
// slot is in unknown use any more.
func (a *Allocator) removeUnjoined(id modeler.EntrySession) {
	delete(a.unjoined, id)
	if len(a.unjoined) > 0 {
		return
	}
	for _, w := range a.workerList {
		w.unknownSlots = 0
		w.unknownPossible = false
		w.reindex()
	}
}

// lendAndGrant lends free slots and builds the grants that are due, unless the
// quorum lease has ended.
func (a *Allocator) lendAndGrant() {
	if !a.isLeading || a.now >= a.leaseEnd {
		return
	}
	a.allowLending()
	if a.canLend {
		a.lend()
	}
	for _, s := range a.sessionOrder {
		if s.grantDue && a.canServe(s) {
			a.grant(s)
		}
	}
}

// canServe reports whether the session may be renewed and lent slots.
func (a *Allocator) canServe(s *session) bool {
	return s.live && !s.endProposed && !s.detached && a.registered[s.id]
}
