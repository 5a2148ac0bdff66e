package prover

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	register       = modeler.ServiceName("breakfast-register")
	team           = modeler.TeamName("kitchen")
	longRunningJob = modeler.JobID("keep")
	tracedJob      = modeler.JobID("cut")
	recoveryJob    = modeler.JobID("later")
	// leaveLimit is the time after its first heartbeat as leaving in which a worker
	// may still get work: a session of 3 s, an election of up to 2 s and a
	// heartbeat to the new leader.
	leaveLimit = 6500 * ms
	// inForceLimit is the time after which an accepted configuration must be in
	// force: the configuration lease of 3 s with 2 % of clock drift, and 100 ms for
	// the message that carries the acceptance.
	inForceLimit = 3*time.Second*102/100 + 100*ms
)

// ledger records what the checks observe from outside the simulated system.
type ledger struct {
	failure     string
	entriesAt   map[modeler.Index]entryStamp
	ticketDisks map[modeler.MemberID]bool // members that have the traced ticket on disk
	tracedIndex modeler.Index
	// calls holds the function that passes the answer of an open call to its caller.
	calls          map[*call]func(classifier.Kind, classifier.Outcome, int)
	callerRequests []*callerRequest
	placed         map[attemptID]modeler.Placement
	leavingSince   map[modeler.WorkerID]time.Duration
	accepted       []acceptance
	ticketOutcomes map[modeler.TicketNumber]*ticketOutcome
	repairing      int
	duplicates     []duplicate
	commands       map[modeler.Index]*modeler.Command // as committed
}

type entryStamp struct {
	term   modeler.Term
	digest uint64
}

type acceptance struct {
	version modeler.Index
	number  modeler.TicketNumber
	at      time.Duration
}

// ticketOutcome records what operators have been told about one ticket number. The
// contents sent under the same number are distinguished by their variant.
type ticketOutcome struct {
	index   modeler.Index
	variant int
	refused map[int]bool
}

func newLedger() *ledger {
	return &ledger{
		entriesAt:      map[modeler.Index]entryStamp{},
		ticketDisks:    map[modeler.MemberID]bool{},
		calls:          map[*call]func(classifier.Kind, classifier.Outcome, int){},
		placed:         map[attemptID]modeler.Placement{},
		leavingSince:   map[modeler.WorkerID]time.Duration{},
		commands:       map[modeler.Index]*modeler.Command{},
		ticketOutcomes: map[modeler.TicketNumber]*ticketOutcome{},
	}
}

// check runs after every event. It requires that at most one member holds a quorum
// lease and that each task runs in at most one place (P2).
func (w *world) check() {
	lease := modeler.MemberID(0)
	for _, m := range w.members {
		if !m.alive || !m.log.LeaseValid(m.now()) {
			continue
		}
		if lease != 0 {
			w.fail("log: members %d and %d both hold a quorum lease", lease, m.id)
		}
		lease = m.id
	}
	for _, d := range w.duplicates {
		if d.first.runs(d.task) && d.second.runs(d.task) {
			w.fail("P2: task %s/%d runs on %s and %s", d.task.Job, d.task.Index, d.first.id, d.second.id)
		}
	}
}

// duplicate is a task that one worker started while another one had not ended it
// yet, because it was paused or its lease had expired.
type duplicate struct {
	task          modeler.TaskID
	first, second *upstream
}

// runs reports whether the worker is running the task now under a valid lease.
func (u *upstream) runs(task modeler.TaskID) bool {
	r := u.tasks[task]
	return r != nil && u.alive && u.pausedUntil <= u.w.now && u.clock() <= r.lease.Until
}

// checkStarted checks the start of a task: that the worker has the capacity (P1),
// runs no other attempt of it (P2), is the one in the committed placement, and
// isn't leaving (P6).
func (w *world) checkStarted(u *upstream, o modeler.TaskOrder) {
	task := o.Lease.Task
	sum := o.Size
	for _, r := range u.tasks {
		sum = sum.Add(r.size)
	}
	p := w.placed[attemptID{task, o.Lease.Attempt}]
	switch {
	case !sum.Fits(capacity):
		w.fail("P1: worker %s runs tasks of %+v, above its capacity", u.id, sum)
	case u.tasks[task] != nil:
		w.fail("P2: worker %s runs two attempts of task %s/%d", u.id, task.Job, task.Index)
	case p.Worker != u.id || p.Generation != u.generation:
		w.fail("placement: task %s/%d starts on %s, but is placed on %q", task.Job, task.Index, u.id, p.Worker)
	}
	for _, other := range w.workers {
		if other != u && other.tasks[task] != nil {
			w.duplicates = append(w.duplicates, duplicate{task, other, u})
		}
	}
	w.checkLeft(u)
}

// checkLeft requires that a worker gets no work once leaveLimit has passed since it
// began to leave (P6).
func (w *world) checkLeft(u *upstream) {
	if at, found := w.leavingSince[u.id]; found && w.now-at > leaveLimit {
		w.fail("P6: worker %s gets work %s after it began to leave", u.id, w.now-at)
	}
}

// recordLeaving takes a heartbeat at the leader: it records when a worker began to
// leave and follows the traced path.
func (w *world) recordLeaving(b *modeler.Heartbeat) {
	if _, found := w.leavingSince[b.Worker]; b.Leaving && !found {
		w.leavingSince[b.Worker] = w.now
	}
	for _, r := range b.Tasks {
		if r.Task.Job == w.traced.job && r.State == modeler.TaskRunning {
			w.reachStep(TaskRuns)
		}
	}
}

// checkServed checks a request that a worker begins: the number of slots, P4, P5 and
// P6.
func (w *world) checkServed(u *upstream, n *conn) {
	switch {
	case u.active > workerSlots:
		w.fail("slots: worker %s serves %d requests with %d slots", u.id, u.active, workerSlots)
	case n.call.toldNotRun:
		w.fail("P4: request %d runs after its caller was told not-run", n.id)
	case n.once && n.callerRequest.runs > 1:
		w.fail("P5: request %d runs %d times", n.id, n.callerRequest.runs)
	}
	w.checkLeft(u)
}

// checkAnswered checks the answer to a caller: P3, P4, and that a request which is
// answered as run was run.
func (w *world) checkAnswered(c *call, kind classifier.Kind, outcome classifier.Outcome, body int) {
	a := c.callerRequest
	switch outcome {
	case classifier.OutcomeRun:
		a.done = true
		if body != a.id {
			w.fail("P3: request %d gets the answer of %d", a.id, body)
		}
		if a.runs == 0 {
			w.fail("outcome: request %d is answered as run but was not run", a.id)
		}
	case classifier.OutcomeNotRun:
		c.toldNotRun = true
		if c.hasRun {
			w.fail("P4: request %d was run and is answered as %s", a.id, kind)
		}
	default:
		a.unknownOutcomes++
		a.done = a.once && a.unknownOutcomes >= 3
	}
	a.outcome = outcome
	if t := w.traced.call; t != nil && t == a {
		w.addLog("the caller is told %s: %s", outcome, kind)
	}
}

// onProposed reports the steps of the traced path that a proposal at the leader
// reaches.
func (w *world) onProposed(m *member, index modeler.Index, c *modeler.Command) {
	switch {
	case c.Kind == modeler.ApplyTicket && c.Ticket.Number == w.traced.ticket:
		w.tracedIndex = index
		w.reachStep(TicketProposed)
	case c.Kind == modeler.ClaimKey && w.tracesKey(c.Claim.Key):
		w.reachStep(ClaimProposed)
	case c.Kind == modeler.PlaceTasks && w.tracesTask(c.Place):
		w.reachStep(PlacementProposed)
	}
}

func (w *world) tracesKey(key modeler.Key) bool {
	return w.traced.call != nil && w.traced.call.key == key
}

func (w *world) tracesTask(list []modeler.Placement) bool {
	for _, p := range list {
		if p.Task.Job == w.traced.job {
			return true
		}
	}
	return false
}

// onStored records which members have the traced ticket on disk.
func (w *world) onStored(m *member, e *modeler.LogEntry) {
	if e.Index != w.tracedIndex || w.tracedIndex == 0 {
		return
	}
	w.ticketDisks[m.id] = true
	if m.leaderState != nil {
		w.reachStep(LeaderSynced)
	}
	if len(w.ticketDisks) == 2 {
		w.reachStep(QuorumSynced)
	}
}

// checkCommitted requires that all members commit the same entries, and each entry
// only when a quorum of voters has it on disk.
func (w *world) checkCommitted(m *member, e *modeler.LogEntry) {
	is := entryStamp{e.Term, xxhash.Sum64(e.Data)}
	if known, found := w.entriesAt[e.Index]; found {
		if known != is {
			w.fail("log: member %d commits another entry %d", m.id, e.Index)
		}
		return
	}
	w.entriesAt[e.Index] = is
	voters, disks := 0, 0
	for _, x := range m.log.Status().Members.Members {
		if x.Learner {
			continue
		}
		voters++
		for _, other := range w.members {
			if other.id == x.ID && other.holds(e) {
				disks++
			}
		}
	}
	if disks <= voters/2 {
		w.fail("log: entry %d is committed on %d of %d disks", e.Index, disks, voters)
	}
	if e.Kind == modeler.MemberEntry {
		w.reachMemberStep(e)
	}
}

// holds reports whether the member has the log entry on disk.
func (m *member) holds(e *modeler.LogEntry) bool {
	if m.disk.Snapshot.Index >= e.Index {
		return true
	}
	for i := len(m.disk.Entries) - 1; i >= 0; i-- {
		if x := &m.disk.Entries[i]; x.Index == e.Index {
			return x.Term == e.Term
		}
	}
	return false
}

func (w *world) reachMemberStep(e *modeler.LogEntry) {
	var list modeler.Membership
	if err := cbor.Unmarshal(e.Data, &list); err != nil || w.traced.oldMember == 0 {
		return
	}
	step, old := OldRemoved, false
	for _, x := range list.Members {
		old = old || x.ID == w.traced.oldMember
		if x.ID == w.newMemberID && x.Learner {
			step = MemberAdded
		}
	}
	if old && step == OldRemoved {
		step = MemberPromoted
	}
	w.reachStep(step)
}

// onApplied records applied commands and reports the steps of the traced path that
// they reach at the leader.
func (w *world) onApplied(m *member, e *modeler.LogEntry, r modeler.Result) {
	c := w.commands[e.Index]
	if c == nil {
		c = &modeler.Command{}
		if err := cbor.Unmarshal(e.Data, c); err != nil {
			w.fail("log: entry %d: %v", e.Index, err)
		}
		w.commands[e.Index] = c
	}
	if c.Kind == modeler.ApplyTicket && r.Kind == classifier.None && !r.Repeat {
		if n := len(w.accepted); n == 0 || w.accepted[n-1].version < e.Index {
			w.accepted = append(w.accepted, acceptance{e.Index, c.Ticket.Number, w.now})
		}
	}
	if c.Kind == modeler.PlaceTasks {
		for _, p := range c.Place {
			w.placed[attemptID{p.Task, p.Attempt}] = p
		}
	}
	if m.leaderState == nil {
		return
	}
	switch {
	case c.Kind == modeler.ApplyTicket && c.Ticket.Number == w.traced.ticket:
		w.reachStep(TicketCommitted)
	case c.Kind == modeler.ClaimKey && w.tracesKey(c.Claim.Key):
		w.reachStep(ClaimCommitted)
	case c.Kind == modeler.SettleKey && w.tracesKey(c.Settle.Key):
		w.reachStep(Settled)
	case c.Kind == modeler.PlaceTasks && w.tracesTask(c.Place):
		w.reachStep(PlacementCommitted)
	case c.Kind == modeler.EndTasks && c.TaskEnds[0].Task.Job == w.traced.job:
		w.reachStep(EndCommitted)
	}
}

// checkTicketWhole requires that a ticket has been applied as a whole (P8): each
// ticket sets the service's rate and the team's weight to the same number.
func (w *world) checkTicketWhole(c *modeler.Configuration) {
	if len(c.Services) == 1 && len(c.Teams) == 1 && c.Services[0].Rate != c.Teams[0].Weight {
		w.fail("P8: ticket %d is applied in part: %+v", c.Ticket, c)
	}
}

// checkEntry requires that an entry host which takes work serves under the newest
// configuration that was accepted longer than inForceLimit ago, and never under an
// older one than before (P8).
func (w *world) checkEntry(e *entry) {
	if !e.alive || e.pausedUntil > w.now || !e.router.Serving(e.now()) {
		return
	}
	if e.services == nil || e.version < e.highestVersion || e.services.Version < e.highestVersion {
		w.fail("P8: entry %s reverts from version %d", e.id, e.highestVersion)
		return
	}
	e.highestVersion = min(e.version, e.services.Version)
	for i := len(w.accepted) - 1; i >= 0; i-- {
		if a := w.accepted[i]; w.now-a.at > inForceLimit {
			if e.highestVersion < a.version {
				w.fail("P8: entry %s serves under version %d, %d was accepted %s ago", e.id, e.highestVersion, a.version, w.now-a.at)
			}
			break
		}
	}
	force := true
	for _, other := range w.entries {
		force = force && (!other.alive || len(w.accepted) > 0 && other.version >= w.accepted[len(w.accepted)-1].version)
	}
	if n := len(w.accepted); force && n > 0 && w.accepted[n-1].number == w.traced.ticket {
		w.reachStep(TicketInForce)
	}
}

// checkTicketOutcome checks what an operator is told about a ticket: only one content
// may be accepted under a number, and each content has one outcome. It reports
// whether the outcome is final.
func (w *world) checkTicketOutcome(number modeler.TicketNumber, variant int, r modeler.Result) (final bool) {
	f := w.ticketOutcomes[number]
	if f == nil {
		f = &ticketOutcome{refused: map[int]bool{}}
		w.ticketOutcomes[number] = f
	}
	switch r.Kind {
	case classifier.None:
		if f.index != 0 && (f.variant != variant || f.index != r.Index) || f.refused[variant] {
			w.fail("ticket %d has two outcomes: variant %d at %d, variant %d at %d", number, f.variant, f.index, variant, r.Index)
		}
		f.index, f.variant = r.Index, variant
		return true
	case classifier.TicketConflict, classifier.TicketStale:
		if f.index != 0 && f.variant == variant {
			w.fail("ticket %d was accepted and is now refused as %s", number, r.Kind)
		}
		f.refused[variant] = true
		return true
	default:
		return false
	}
}
