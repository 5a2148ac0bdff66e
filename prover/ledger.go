package prover

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	register = modeler.ServiceName("breakfast-register")
	team     = modeler.TeamName("kitchen")
	keepJob  = modeler.JobID("keep")
	cutJob   = modeler.JobID("cut")
	laterJob = modeler.JobID("later")
	// leaveSpan bounds how long a leaving worker may still get work: a session
	// of 3 s, an election of up to 2 s and a heartbeat to the new leader.
	leaveSpan = 6500 * ms
	// forceSpan is the configuration lease with drift, and a margin for the
	// message that carries the acceptance.
	forceSpan = 3*time.Second*102/100 + 100*ms
)

// ledger is what the checks know from outside of the system.
type ledger struct {
	failure   string
	entriesAt map[modeler.Index]stamped
	holders   map[modeler.MemberID]bool // disks with the traced ticket
	tracedAt  modeler.Index
	calls     map[*call]func(classifier.Kind, classifier.Outcome, int)
	asks      []*ask
	placed    map[attemptID]modeler.Placement
	leftAt    map[modeler.WorkerID]time.Duration
	accepted  []acceptance
	fates     map[modeler.TicketNumber]*fate
	repairing int
	doubled   []double
	commands  map[modeler.Index]*modeler.Command // as committed
}

type stamped struct {
	term   modeler.Term
	digest uint64
}

type acceptance struct {
	version modeler.Index
	number  modeler.TicketNumber
	at      time.Duration
}

// fate is what operators have been told of one ticket number; contents are
// told apart by their variants.
type fate struct {
	index   modeler.Index
	variant int
	refused map[int]bool
}

func newLedger() *ledger {
	return &ledger{
		entriesAt: map[modeler.Index]stamped{},
		holders:   map[modeler.MemberID]bool{},
		calls:     map[*call]func(classifier.Kind, classifier.Outcome, int){},
		placed:    map[attemptID]modeler.Placement{},
		leftAt:    map[modeler.WorkerID]time.Duration{},
		commands:  map[modeler.Index]*modeler.Command{},
		fates:     map[modeler.TicketNumber]*fate{},
	}
}

// check runs after every event: one quorum lease at most, and each task in at
// most one place (P2).
func (w *world) check() {
	lease := modeler.MemberID(0)
	for _, m := range w.members {
		if !m.alive || !m.log.LeaseValid(m.now()) {
			continue
		}
		if lease != 0 {
			w.fail("two quorum leases: members %d and %d", lease, m.id)
		}
		lease = m.id
	}
	for _, d := range w.doubled {
		if d.first.runs(d.task) && d.second.runs(d.task) {
			w.fail("P2: %s/%d runs on %s and %s", d.task.Job, d.task.Index, d.first.id, d.second.id)
		}
	}
}

// double is a task that one worker has started while another one, paused or
// past its lease, had not ended it.
type double struct {
	task          modeler.TaskID
	first, second *upstream
}

// runs reports whether the worker executes the task at this moment.
func (u *upstream) runs(task modeler.TaskID) bool {
	r := u.tasks[task]
	return r != nil && u.alive && u.paused <= u.w.now && u.clock() <= r.lease.Until
}

// started checks a start: room (P1), one place (P2), the placement that is in
// the log, and workers that leave (P6).
func (w *world) started(u *upstream, o modeler.TaskOrder) {
	task := o.Lease.Task
	sum := o.Size
	for _, r := range u.tasks {
		sum = sum.Add(r.size)
	}
	p := w.placed[attemptID{task, o.Lease.Attempt}]
	switch {
	case !sum.Fits(capacity):
		w.fail("P1: %s runs %+v", u.id, sum)
	case u.tasks[task] != nil:
		w.fail("P2: %s runs two attempts of %s/%d", u.id, task.Job, task.Index)
	case p.Worker != u.id || p.Generation != u.generation:
		w.fail("task %s/%d starts on %s, placed on %q", task.Job, task.Index, u.id, p.Worker)
	}
	for _, other := range w.workers {
		if other != u && other.tasks[task] != nil {
			w.doubled = append(w.doubled, double{task, other, u})
		}
	}
	w.checkLeft(u)
}

func (w *world) checkLeft(u *upstream) {
	if at, found := w.leftAt[u.id]; found && w.now-at > leaveSpan {
		w.fail("P6: %s gets work %s after it began to leave", u.id, w.now-at)
	}
}

func (w *world) heardLeaving(b *modeler.Heartbeat) {
	if _, found := w.leftAt[b.Worker]; b.Leaving && !found {
		w.leftAt[b.Worker] = w.now
	}
	for _, r := range b.Tasks {
		if r.Task.Job == w.traced.job && r.State == modeler.TaskRunning {
			w.reach(TaskRuns)
		}
	}
}

// served checks a request that a worker begins: slots, P4, P5 and P6.
func (w *world) served(u *upstream, n *conn) {
	switch {
	case u.active > workerSlots:
		w.fail("slots: %s serves %d requests with %d slots", u.id, u.active, workerSlots)
	case n.call.notRun:
		w.fail("P4: request %d runs after its caller was told not-run", n.id)
	case n.once && n.ask.runs > 1:
		w.fail("P5: request %d runs %d times", n.id, n.ask.runs)
	}
	w.checkLeft(u)
}

// answered checks what a caller is told: P3, P4 and the truth of the outcome.
func (w *world) answered(c *call, kind classifier.Kind, outcome classifier.Outcome, body int) {
	a := c.ask
	switch outcome {
	case classifier.OutcomeRun:
		a.done = true
		if body != a.id {
			w.fail("P3: request %d gets the answer of %d", a.id, body)
		}
		if a.runs == 0 {
			w.fail("truth: request %d is answered as run and was not", a.id)
		}
	case classifier.OutcomeNotRun:
		c.notRun = true
		if c.ran {
			w.fail("P4: request %d was run and is answered as %s", a.id, kind)
		}
	default:
		a.unknown++
		a.done = a.once && a.unknown >= 3
	}
	a.outcome = outcome
	if t := w.traced.call; t != nil && t == a {
		w.note("the caller is told %s: %s", outcome, kind)
	}
}

// proposed follows the traced path at the leader.
func (w *world) proposed(m *member, index modeler.Index, c *modeler.Command) {
	switch {
	case c.Kind == modeler.ApplyTicket && c.Ticket.Number == w.traced.ticket:
		w.tracedAt = index
		w.reach(TicketProposed)
	case c.Kind == modeler.ClaimKey && w.tracesKey(c.Claim.Key):
		w.reach(ClaimProposed)
	case c.Kind == modeler.PlaceTasks && w.tracesTask(c.Place):
		w.reach(PlacementProposed)
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

// stored notes which disks hold the traced ticket.
func (w *world) stored(m *member, e *modeler.LogEntry) {
	if e.Index != w.tracedAt || w.tracedAt == 0 {
		return
	}
	w.holders[m.id] = true
	if m.lead != nil {
		w.reach(LeaderSynced)
	}
	if len(w.holders) == 2 {
		w.reach(QuorumSynced)
	}
}

// committed requires that all members commit the same entries, and each only
// when a quorum of voters has it on disk.
func (w *world) committed(m *member, e *modeler.LogEntry) {
	is := stamped{e.Term, xxhash.Sum64(e.Data)}
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
		w.memberStep(e)
	}
}

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

func (w *world) memberStep(e *modeler.LogEntry) {
	var list modeler.Membership
	if err := cbor.Unmarshal(e.Data, &list); err != nil || w.traced.member == 0 {
		return
	}
	step, old := OldRemoved, false
	for _, x := range list.Members {
		old = old || x.ID == w.traced.member
		if x.ID == w.fresh && x.Learner {
			step = MemberAdded
		}
	}
	if old && step == OldRemoved {
		step = MemberPromoted
	}
	w.reach(step)
}

// applied follows the traced path through the leader's state machine.
func (w *world) applied(m *member, e *modeler.LogEntry, r modeler.Result) {
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
	if m.lead == nil {
		return
	}
	switch {
	case c.Kind == modeler.ApplyTicket && c.Ticket.Number == w.traced.ticket:
		w.reach(TicketCommitted)
	case c.Kind == modeler.ClaimKey && w.tracesKey(c.Claim.Key):
		w.reach(ClaimCommitted)
	case c.Kind == modeler.SettleKey && w.tracesKey(c.Settle.Key):
		w.reach(Settled)
	case c.Kind == modeler.PlaceTasks && w.tracesTask(c.Place):
		w.reach(PlacementCommitted)
	case c.Kind == modeler.EndTasks && c.TaskEnds[0].Task.Job == w.traced.job:
		w.reach(EndCommitted)
	}
}

// checkWhole requires that a ticket has been applied as a whole (P8): each of
// them sets the service's rate and the team's weight to the same number.
func (w *world) checkWhole(c *modeler.Configuration) {
	if len(c.Services) == 1 && len(c.Teams) == 1 && c.Services[0].Rate != c.Teams[0].Weight {
		w.fail("P8: ticket %d is applied in part: %+v", c.Ticket, c)
	}
}

// checkEntry requires that an entry host which takes work serves under the
// newest configuration accepted a lease ago, and under none older than before
// (P8).
func (w *world) checkEntry(e *entry) {
	if !e.alive || e.paused > w.now || !e.router.Serving(e.now()) {
		return
	}
	if e.services == nil || e.version < e.newest || e.services.Version < e.newest {
		w.fail("P8: %s goes back from version %d", e.id, e.newest)
		return
	}
	e.newest = min(e.version, e.services.Version)
	for i := len(w.accepted) - 1; i >= 0; i-- {
		if a := w.accepted[i]; w.now-a.at > forceSpan {
			if e.newest < a.version {
				w.fail("P8: %s serves under version %d, %d was accepted %s ago", e.id, e.newest, a.version, w.now-a.at)
			}
			break
		}
	}
	force := true
	for _, other := range w.entries {
		force = force && (!other.alive || len(w.accepted) > 0 && other.version >= w.accepted[len(w.accepted)-1].version)
	}
	if n := len(w.accepted); force && n > 0 && w.accepted[n-1].number == w.traced.ticket {
		w.reach(TicketInForce)
	}
}

// told checks what an operator is told of a ticket: a number has one holder
// and its content one outcome.
func (w *world) told(number modeler.TicketNumber, variant int, r modeler.Result) (final bool) {
	f := w.fates[number]
	if f == nil {
		f = &fate{refused: map[int]bool{}}
		w.fates[number] = f
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
