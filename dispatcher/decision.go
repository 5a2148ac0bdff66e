package dispatcher

// Decision names a decision that can be switched off, to measure what it is worth.
type Decision string

// The decisions that can be switched off.
const (
	// HoldPermits asks for permits of workers without room, and renews permits
	// before they expire.
	HoldPermits Decision = "held permits"
	// Reserve keeps room for waiting steps.
	Reserve Decision = "reservations"
	// Preempt stops tasks that can resume for more urgent ones.
	Preempt Decision = "preemption"
	// Copy starts tasks of workers that don't answer elsewhere.
	Copy Decision = "copies"
	// Quarantine keeps tasks from workers that fail, stall or are slow.
	Quarantine Decision = "quarantine"
	// Timeliness orders waiting steps by whether they can still be in time.
	Timeliness Decision = "timeliness"
	// Speed prefers fast or slow workers by the objective of the step.
	Speed Decision = "speeds"
	// VictimSlack preempts no task that would miss its objective.
	VictimSlack Decision = "victims' slack"
	// Runtimes learns run times instead of believing estimates.
	Runtimes Decision = "learned run times"
	// PermitsAhead asks for the permits of a step before it is ready.
	PermitsAhead Decision = "permits ahead"
	// PaceRequests bounds how often steps ask for permits.
	PaceRequests Decision = "paced requests"
	// PriorityFirst puts steps beyond the share of their account behind others of the same
	// priority only, and not behind less urgent ones.
	PriorityFirst Decision = "priority before share"
	// UsefulPermits asks only for permits that tasks are likely to use before they expire.
	UsefulPermits Decision = "useful permits"
	// Headroom keeps room for urgent tasks that are likely to arrive.
	Headroom Decision = "headroom"
	// Overdue copies or moves attempts that take far longer than was expected.
	Overdue Decision = "overdue runs"
)

// Decisions lists all decisions that can be switched off.
var Decisions = []Decision{HoldPermits, Reserve, Preempt, Copy, Quarantine, Timeliness, Speed, PermitsAhead, VictimSlack, Runtimes, PriorityFirst, PaceRequests, UsefulPermits, Headroom, Overdue}

// uses reports whether a decision is not switched off.
func (d *Dispatcher) uses(x Decision) bool { return !d.settings.Disabled[x] }
