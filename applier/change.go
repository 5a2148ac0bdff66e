package applier

import "goldcreststack.example/goldcreststack/modeler"

// ChangeKind identifies what a Change has changed.
type ChangeKind uint8

// The kinds of changes.
const (
	ConfigurationChanged ChangeKind = iota + 1
	TeamSet
	TeamRemoved
	JobAdded
	JobCancelled
	TaskPlaced
	TaskEnded
	SessionsChanged
	// JobRevised means that a ticket has changed a service, whose tasks are to
	// be replaced a few at a time.
	JobRevised
	// TaskLeaving means that a placed attempt is to be stopped and, unless its
	// task is surplus, replaced.
	TaskLeaving
)

// Change describes to the leader's placement one effect of an applied command.
// Which fields are set depends on Kind.
type Change struct {
	Kind ChangeKind
	Team modeler.Team
	Job  modeler.Job
	// First is the number that all attempts of an added job exceed.
	First     modeler.Attempt
	Placement modeler.Placement
	End       modeler.TaskEnd
	// FormerVersion is set on the end of an attempt that ran an earlier version of its
	// job's spec, to the First of that version.
	FormerVersion modeler.Attempt
}

func (a *Applier) addChange(c Change) { a.changes = append(a.changes, c) }

// TakeChanges returns and clears the changes since the last call.
func (a *Applier) TakeChanges() []Change {
	out := a.changes
	a.changes = nil
	return out
}
