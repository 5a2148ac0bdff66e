package allocator

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Options are the durations and bounds of lending; zero fields take defaults.
type Options struct {
	// Lifetime is how long a session lasts on the entry host's clock.
	Lifetime time.Duration
	// Silence is how long a worker may stay without a heartbeat before its
	// slots are recalled.
	Silence time.Duration
	// Limit is the request limit of services that no configuration names.
	Limit time.Duration
	// Reserve is the number of a worker's connections that are kept for the
	// leader's own calls.
	Reserve int
	// Patience is how much longer than its own a request elsewhere must have
	// waited before a busy entry host is told without being asked.
	Patience time.Duration
}

const (
	defaultLifetime = 3 * time.Second
	defaultSilence  = 3 * time.Second
	defaultLimit    = 60 * time.Second
	defaultReserve  = 4
	defaultPatience = 4 * time.Millisecond
	// leaseMargin covers the time between reading a clock and using it.
	leaseMargin = 50 * time.Millisecond
	// repeatCommand is the pause before a command is proposed once more.
	repeatCommand = time.Second
	// maxStep is the largest gap between inputs that counts towards a
	// worker's silence; a leader that paused hasn't listened meanwhile.
	maxStep = time.Second
)

func (o Options) withDefaults() Options {
	o.Lifetime = orDefault(o.Lifetime, defaultLifetime)
	o.Silence = orDefault(o.Silence, defaultSilence)
	o.Limit = orDefault(o.Limit, defaultLimit)
	o.Patience = orDefault(o.Patience, defaultPatience)
	if o.Reserve == 0 {
		o.Reserve = defaultReserve
	}
	return o
}

func orDefault(value, preset time.Duration) time.Duration {
	if value == 0 {
		return preset
	}
	return value
}

// EntryGrant is a grant and the entry process it goes to.
type EntryGrant struct {
	To    modeler.EntrySession
	Grant *modeler.Grant
}

// Output is what an input has led to.
type Output struct {
	Grants []EntryGrant
	// Commands are to be proposed to the replicated log.
	Commands []modeler.Command
}

// Allocator keeps the sessions of entry hosts and the slots lent to them. It
// isn't safe for concurrent use.
type Allocator struct {
	options  Options
	now      modeler.ClockReading
	term     modeler.Term
	started  modeler.ClockReading // of the term
	leads    bool
	until    modeler.ClockReading // end of the quorum lease
	version  modeler.Index
	limits   map[modeler.ServiceName]time.Duration
	known    map[modeler.EntrySession]bool
	sessions map[modeler.EntrySession]*session
	order    []*session // the sessions sorted by their ids
	split    int        // sessions that share a worker's connections
	workers  map[modeler.WorkerID]*worker
	roster   []*worker // the workers in order of their first mention
	unheard  int       // workers that have sent no heartbeat in this term
	pools    map[modeler.ServiceName]*pool
	teams    map[modeler.ServiceName]modeler.TeamName
	weights  map[modeler.TeamName]int
	// shares, shareOf and unmet are those of the last round of lending.
	shares  []*share
	shareOf map[modeler.TeamName]*share
	unmet   []modeler.ServiceName // services with waiting requests, in order
	callers map[modeler.ServiceName]*callerShares
	// joins are the newest messages of processes that aren't registered yet.
	joins map[modeler.EntrySession]*modeler.SessionRenewal
	// pending are the known sessions that haven't joined this term; the
	// slots they may still use are unknown.
	pending map[modeler.EntrySession]bool
	// quiet is when every session of an earlier term has ended.
	quiet    modeler.ClockReading
	settled  bool
	proposed map[proposal]modeler.ClockReading
	output   Output
}

// New returns an allocator that leads no term yet.
func New(options Options) *Allocator {
	a := &Allocator{options: options.withDefaults()}
	a.reset()
	return a
}

func (a *Allocator) reset() {
	a.known = map[modeler.EntrySession]bool{}
	a.sessions = map[modeler.EntrySession]*session{}
	a.workers = map[modeler.WorkerID]*worker{}
	a.roster = nil
	a.unheard = 0
	a.order = nil
	a.split = 1
	a.teams = map[modeler.ServiceName]modeler.TeamName{}
	a.weights = map[modeler.TeamName]int{}
	a.shares, a.unmet = nil, nil
	a.shareOf = map[modeler.TeamName]*share{}
	a.callers = map[modeler.ServiceName]*callerShares{}
	a.pools = map[modeler.ServiceName]*pool{}
	a.joins = map[modeler.EntrySession]*modeler.SessionRenewal{}
	a.limits = map[modeler.ServiceName]time.Duration{}
	a.pending = map[modeler.EntrySession]bool{}
	a.proposed = map[proposal]modeler.ClockReading{}
	a.settled = false
	a.output = Output{}
}

// Lead starts a term with the sessions that the replicated state names, which
// must include everything committed in earlier terms. Nothing of an earlier
// term is kept.
func (a *Allocator) Lead(now modeler.ClockReading, term modeler.Term, known []modeler.EntrySession) {
	a.reset()
	a.now = now
	a.term = term
	a.started = now
	a.leads = true
	a.until = 0
	a.quiet = now.Add(a.sessionSpan())
	for _, id := range known {
		a.known[id] = true
		a.pending[id] = true
	}
	a.settled = len(known) == 0
}

// Resign ends the term; nothing is lent until the next Lead.
func (a *Allocator) Resign() {
	a.reset()
	a.leads = false
}

// Lease sets the end of the quorum lease on the leader's clock. Without a
// valid lease no grant is given.
func (a *Allocator) Lease(until modeler.ClockReading) { a.until = until }

// Known replaces the set of registered entry sessions after the replicated
// state has changed.
func (a *Allocator) Known(now modeler.ClockReading, known []modeler.EntrySession) {
	a.advance(now)
	a.known = map[modeler.EntrySession]bool{}
	for _, id := range known {
		a.known[id] = true
	}
	for id := range a.pending {
		if !a.known[id] {
			a.joined(id)
		}
	}
	for id, s := range a.sessions {
		if !a.known[id] && s.closing {
			delete(a.sessions, id)
		}
	}
	a.sortSessions()
	a.openJoins()
	a.work()
}

// Configure sets the newest accepted configuration.
func (a *Allocator) Configure(now modeler.ClockReading, c *modeler.Configuration) {
	a.advance(now)
	a.version = c.Version
	for _, service := range c.Services {
		// A request that began under a longer limit may still run.
		a.limits[service.Name] = max(a.limits[service.Name], service.Limit.Std())
		a.teams[service.Name] = service.Team
	}
	clear(a.weights)
	for _, team := range c.Teams {
		a.weights[team.Name] = team.Weight
	}
	for _, s := range a.sessions {
		s.due = true
	}
	a.work()
}

// Heartbeat takes in a worker's announcement. The answer to the worker carries
// the receipt, and asks for the next heartbeat within a time unless that is 0.
func (a *Allocator) Heartbeat(now modeler.ClockReading, beat *modeler.Heartbeat) (modeler.Receipt, modeler.Duration) {
	a.advance(now)
	if !a.leads {
		return modeler.Receipt{}, 0
	}
	a.expireSessions()
	w := a.workers[beat.Worker]
	if w == nil {
		w = a.newWorker(beat.Worker)
	}
	receipt := modeler.Receipt{Term: a.term, At: a.now}
	if !w.fresher(now, beat, a.options.Silence) {
		return receipt, 0
	}
	if !w.known {
		a.unheard--
	}
	moved := w.update(now, beat)
	if moved {
		a.enlist(w)
	}
	a.applyReport(w, beat)
	a.review(w, moved)
	w.reindex()
	a.work()
	return receipt, modeler.Duration(a.nextReport(w))
}

// Renew takes in a session's renewal.
func (a *Allocator) Renew(now modeler.ClockReading, renew *modeler.SessionRenewal) {
	a.advance(now)
	if !a.leads || renew.Term != a.term {
		return
	}
	s := a.sessionOf(renew)
	if s == nil {
		return
	}
	a.renewSession(s, renew)
	a.work()
}

// Detach notes that the link to an entry process has closed. The session goes
// on, but nothing is lent to it before it renews; a killed process with
// requests waiting would collect slots otherwise.
func (a *Allocator) Detach(now modeler.ClockReading, id modeler.EntrySession) {
	a.advance(now)
	if s := a.sessions[id]; s != nil {
		s.detached = true
	}
}

// Tick lets time pass; it is due at least every 100 ms.
func (a *Allocator) Tick(now modeler.ClockReading) {
	a.advance(now)
	if !a.leads {
		return
	}
	a.settle()
	a.expireSessions()
	for _, w := range a.roster {
		a.review(w, false)
		w.reindex()
	}
	a.forgetWorkers()
	a.proposeEnds()
	a.work()
}

// Take returns the output since the last call.
func (a *Allocator) Take() Output {
	output := a.output
	a.output = Output{}
	return output
}

// Acknowledged returns the newest configuration that is in force on every
// entry host with a session; it is false while a session of an earlier term
// may still be valid.
func (a *Allocator) Acknowledged() (modeler.Index, bool) {
	if !a.leads || (!a.settled && a.now < a.quiet) {
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

func (a *Allocator) sessionSpan() time.Duration {
	return modeler.MaxLocalSpan(a.options.Lifetime) + leaseMargin
}

// advance moves the clock. A gap in the inputs isn't held against workers.
func (a *Allocator) advance(now modeler.ClockReading) {
	if gap := now.Sub(a.now); gap > maxStep {
		for _, w := range a.roster {
			w.heard = w.heard.Add(gap - maxStep)
		}
	}
	a.now = max(a.now, now)
}

// settle ends the wait of a new term. Slots that no joined session holds count
// as used by the sessions that haven't joined.
func (a *Allocator) settle() {
	if a.settled {
		return
	}
	if len(a.pending) == 0 {
		a.settled = true
		return
	}
	if a.now < a.quiet {
		return
	}
	a.settled = true
}

// joined notes that a known session of an earlier term has reported or is
// gone. Without any other such session no slot is in unknown use.
func (a *Allocator) joined(id modeler.EntrySession) {
	delete(a.pending, id)
	if len(a.pending) > 0 {
		return
	}
	for _, w := range a.roster {
		w.unknown = 0
		w.adopted = false
		w.reindex()
	}
}

// work lends what can be lent and builds the grants that are due.
func (a *Allocator) work() {
	if !a.leads || a.now >= a.until {
		return
	}
	a.settle()
	if a.settled {
		a.lend()
	}
	for _, s := range a.order {
		if s.due && a.serves(s) {
			a.grant(s)
		}
	}
}

// serves reports whether the session may be renewed and lent slots.
func (a *Allocator) serves(s *session) bool {
	return s.live && !s.closing && !s.detached && a.known[s.id]
}
