package sequencer

import (
	"slices"
	"strings"
	"time"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// endedFlowRetention is how long a flow that is over can still be queried: 1.5
	// times the 120 s that callers rely on, to allow for clocks that jump.
	endedFlowRetention = 180 * time.Second
	// maxTasks bounds the tasks of one flow over all its occurrences, since each
	// takes memory on every member.
	maxTasks = 100_000
	// maxSteps bounds the steps of one flow.
	maxSteps = 10_000
	// maxHeldTasks and maxHeldFlows bound the tasks of all flows that are not over, and
	// these flows, so that they fit into the memory of every member, and a new leader
	// takes them over well within its lease (docs/CAPACITY.md).
	maxHeldTasks = 500_000
	maxHeldFlows = 10_000
	// maxDuration bounds each duration in a flow to a year, and maxAmount each
	// resource that a task needs, bytes of memory included, to 1<<50 (a pebibyte),
	// so that sums over all tasks and occurrences of a flow can't overflow.
	maxDuration = 365 * 24 * time.Hour
	maxAmount   = 1 << 50
)

// Phase is the state of a task.
type Phase uint8

// The phases of a task.
const (
	TaskWaiting Phase = iota
	TaskPlaced
	TaskDone
)

// Task is the replicated state of one task.
type Task struct {
	_       struct{} `cbor:",toarray"`
	Phase   Phase
	Attempt modeler.Attempt
	// Worker is where the newest attempt may still run, or "". It stays set after
	// the phase TaskPlaced if another member of the gang, or another attempt of the
	// task, has completed the work.
	Worker     modeler.WorkerID
	Generation modeler.Generation
	Checkpoint modeler.Checkpoint
	// FailedAttempts lists the attempts that have failed.
	FailedAttempts []modeler.Attempt
}

// Flow is the replicated state of one flow.
type Flow struct {
	Spec  modeler.Flow      `cbor:"1,keyasint"`
	State modeler.FlowState `cbor:"2,keyasint"`
	// Tasks holds the tasks ordered by occurrence, step and index.
	Tasks     []Task            `cbor:"3,keyasint"`
	ArrivedAt modeler.Timestamp `cbor:"4,keyasint"`
	EndedAt   modeler.Timestamp `cbor:"5,keyasint,omitempty"`
	// OpenTasks counts the tasks that are not done.
	OpenTasks int `cbor:"6,keyasint"`
	// OccupiedTasks counts the tasks whose newest attempt may still run.
	OccupiedTasks int `cbor:"7,keyasint,omitempty"`
	// HasBegun means that a worker is known to have begun a task. A flow that is not over
	// is running from then on, and pending before.
	HasBegun bool `cbor:"8,keyasint,omitempty"`
	// stepOffset is the position of each step's first task within an occurrence,
	// and tasksPerOccurrence the number of tasks of one occurrence.
	stepOffset         []int
	tasksPerOccurrence int
	// progress summarizes the steps of all occurrences.
	progress []stepProgress
	// tasksShared means that a snapshot reads Tasks, so that they are copied before the
	// next change.
	tasksShared bool
}

// IsOver reports whether the flow has ended, so that none of its tasks may start
// any more.
func (f *Flow) IsOver() bool {
	switch f.State {
	case modeler.FlowCompleted, modeler.FlowFailed, modeler.FlowCancelled:
		return true
	default:
		return false
	}
}

// IsVisibleTo reports whether the callers of an account may see the flow: it belongs to
// that account or to none.
func (f *Flow) IsVisibleTo(team modeler.TeamName) bool {
	return f.Spec.Team == "" || f.Spec.Team == team
}

// Occurrences returns how many times the flow's steps run.
func (f *Flow) Occurrences() int { return max(f.Spec.Occurrences, 1) }

// Task returns the state of a task, or nil if the flow has no such task.
func (f *Flow) Task(id modeler.FlowTask) *Task {
	if int(id.Step) >= len(f.Spec.Steps) || int(id.Occurrence) >= f.Occurrences() ||
		int(id.Index) >= f.Spec.Steps[id.Step].Count || len(f.Tasks) == 0 {
		return nil
	}
	return &f.Tasks[int(id.Occurrence)*f.tasksPerOccurrence+f.stepOffset[id.Step]+int(id.Index)]
}

// IsPlaced reports whether the task is assigned to a worker and not done.
func (f *Flow) IsPlaced(id modeler.FlowTask) bool {
	t := f.Task(id)
	return t != nil && t.Phase == TaskPlaced
}

// StepTasks returns the tasks of a step in one occurrence.
func (f *Flow) StepTasks(key modeler.StepKey) []Task {
	from := int(key.Occurrence)*f.tasksPerOccurrence + f.stepOffset[key.Step]
	return f.Tasks[from : from+f.Spec.Steps[key.Step].Count]
}

// StepDone reports whether all tasks of a step in one occurrence are done.
func (f *Flow) StepDone(key modeler.StepKey) bool { return f.progressOf(key).open == 0 }

// computeOffsets sets stepOffset and tasksPerOccurrence.
func (f *Flow) computeOffsets() {
	f.stepOffset = make([]int, len(f.Spec.Steps))
	f.tasksPerOccurrence = 0
	for i := range f.Spec.Steps {
		f.stepOffset[i] = f.tasksPerOccurrence
		f.tasksPerOccurrence += f.Spec.Steps[i].Count
	}
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds of changes.
const (
	FlowAdded ChangeKind = iota + 1
	FlowEnded
	AttemptStarted
	AttemptEnded
	WorkerUpdated
	WorkerDeparted
	WorkerSilent
	WorkerReturned
	LayoutChanged
)

// Change describes to the leader's dispatcher what an applied command has
// changed.
type Change struct {
	Kind   ChangeKind
	Flow   modeler.FlowID
	Start  modeler.FlowStart
	End    modeler.FlowEnd
	Worker modeler.WorkerID
}

// endedFlow records when a flow ended, to tell when it can be dropped.
type endedFlow struct {
	id modeler.FlowID
	at modeler.Timestamp
}

// Sequencer holds the replicated state of flows and workers.
type Sequencer struct {
	layout  modeler.Layout
	flows   map[modeler.FlowID]*Flow
	workers map[modeler.WorkerID]modeler.WorkerAnnouncement
	// pending counts the flows of each queue of which no task is known to have begun.
	pending map[modeler.QueueID]int
	// openFlows counts the flows that are not over, and heldTasks the tasks of all flows
	// whose details are held.
	openFlows int
	heldTasks int
	// beyondShare counts the open flows that are beyond the share of their account, and
	// their tasks. openOf counts the open flows of each account.
	beyondShare Load
	openOf      map[modeler.TeamName]int
	// departures holds the last generation of each worker that has left
	// permanently, until endedFlowRetention has passed.
	departures map[modeler.WorkerID]DepartedWorker
	// silences holds the workers that give no answer.
	silences  map[modeler.WorkerID]modeler.WorkerSilence
	endedFlow []endedFlow
	changes   []Change
	learned   learned
}

// DepartedWorker is the last generation of a worker that has left permanently.
type DepartedWorker struct {
	_          struct{} `cbor:",toarray"`
	Worker     modeler.WorkerID
	Generation modeler.Generation
	DepartedAt modeler.Timestamp
}

// New returns an empty state.
func New() *Sequencer {
	return &Sequencer{
		flows:      make(map[modeler.FlowID]*Flow),
		workers:    make(map[modeler.WorkerID]modeler.WorkerAnnouncement),
		pending:    make(map[modeler.QueueID]int),
		departures: make(map[modeler.WorkerID]DepartedWorker),
		openOf:     make(map[modeler.TeamName]int),
		silences:   make(map[modeler.WorkerID]modeler.WorkerSilence),
		learned:    newLearned(),
	}
}

// Layout returns the layout in force.
func (s *Sequencer) Layout() *modeler.Layout { return &s.layout }

// Flow returns the flow with the given id.
func (s *Sequencer) Flow(id modeler.FlowID) (*Flow, bool) {
	f, found := s.flows[id]
	return f, found
}

// Pending returns the number of flows of a queue of which no task is known to have begun.
func (s *Sequencer) Pending(queue modeler.QueueID) int { return s.pending[queue] }

// AllPending returns the number of flows of all queues of which no task is known to have
// begun.
func (s *Sequencer) AllPending() int {
	n := 0
	for _, count := range s.pending {
		n += count
	}
	return n
}

// setState changes the state of a flow and updates the count of pending flows.
func (s *Sequencer) setState(f *Flow, state modeler.FlowState) {
	if f.State == modeler.FlowPending {
		s.pending[f.Spec.Queue]--
		if s.pending[f.Spec.Queue] == 0 {
			delete(s.pending, f.Spec.Queue)
		}
	}
	f.State = state
	if state == modeler.FlowPending {
		s.pending[f.Spec.Queue]++
	}
}

// ForEachFlow calls visit for every flow, in no particular order.
func (s *Sequencer) ForEachFlow(visit func(*Flow)) {
	for _, f := range s.flows {
		visit(f)
	}
}

// Workers returns the known workers; the caller must not change the map.
func (s *Sequencer) Workers() map[modeler.WorkerID]modeler.WorkerAnnouncement { return s.workers }

// Changes returns the changes since the last call and clears them.
func (s *Sequencer) Changes() []Change {
	out := s.changes
	s.changes = nil
	return out
}

func (s *Sequencer) recordChange(c Change) { s.changes = append(s.changes, c) }

// FindQueue returns the queue with the longest prefix that matches the host and
// path, and the rest of the path after that prefix.
func (s *Sequencer) FindQueue(host, path string) (*modeler.Queue, string, bool) {
	var found *modeler.Queue
	for i := range s.layout.Queues {
		q := &s.layout.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if found == nil || len(q.Prefix) > len(found.Prefix) {
			found = q
		}
	}
	if found == nil {
		return nil, "", false
	}
	return found, path[len(found.Prefix):], true
}

// CheckLayout returns an error if the layout can't be put in force.
func CheckLayout(l *modeler.Layout) error {
	if l.Number == 0 {
		return classifier.New(classifier.TicketInvalid, "the layout has no number")
	}
	seen := make(map[modeler.QueueID]bool, len(l.Queues))
	services := make(map[modeler.ServiceName]bool, len(l.Services))
	for _, name := range l.Services {
		services[name] = true
	}
	for i := range l.Queues {
		q := &l.Queues[i]
		switch {
		case q.Timeout <= 0:
			return classifier.New(classifier.TicketInvalid, "queue %s has no timeout", q.ID())
		case !services[q.Policy.Service]:
			return classifier.New(classifier.TicketInvalid, "queue %s names the unknown service %q", q.ID(), q.Policy.Service)
		case seen[q.ID()]:
			return classifier.New(classifier.TicketInvalid, "two queues are at %s", q.ID())
		}
		seen[q.ID()] = true
	}
	_, err := accountant.NewDirectory(l.Accounts)
	return err
}

// SetLayout puts a layout in force if its number is higher than that of the
// current one. Otherwise it changes nothing and returns a repeat.
func (s *Sequencer) SetLayout(l *modeler.Layout) modeler.Result {
	if l.Number <= s.layout.Number {
		return modeler.Result{Repeat: true}
	}
	former := s.formerAccounts(l)
	s.layout = *l
	s.layout.Former = former
	s.learned.keepQueues(l)
	s.recordChange(Change{Kind: LayoutChanged})
	return modeler.Result{}
}

// formerAccounts returns the accounts that the next layout doesn't name while flows of
// theirs are not over.
func (s *Sequencer) formerAccounts(next *modeler.Layout) []modeler.Account {
	var former []modeler.Account
	for _, a := range slices.Concat(s.layout.Former, s.layout.Accounts) {
		if s.openOf[a.Team.Name] > 0 && !isNamed(next.Accounts, a.Team.Name) {
			a.Keys = nil
			former = append(former, a)
		}
	}
	return former
}

func isNamed(accounts []modeler.Account, name modeler.TeamName) bool {
	return slices.ContainsFunc(accounts, func(a modeler.Account) bool { return a.Team.Name == name })
}

// countOpen counts a flow that is not over.
func (s *Sequencer) countOpen(f *Flow) {
	s.openFlows++
	if f.Spec.Team != "" {
		s.openOf[f.Spec.Team]++
	}
	if f.Spec.BeyondShare {
		s.beyondShare = s.beyondShare.Add(Load{Flows: 1, Tasks: len(f.Tasks)})
	}
}

// discountOpen reverts countOpen for a flow that has ended. A former account is dropped
// with its last open flow.
func (s *Sequencer) discountOpen(f *Flow) {
	s.openFlows--
	if f.Spec.BeyondShare {
		s.beyondShare = s.beyondShare.Sub(Load{Flows: 1, Tasks: len(f.Tasks)})
	}
	name := f.Spec.Team
	if name == "" {
		return
	}
	s.openOf[name]--
	if s.openOf[name] > 0 {
		return
	}
	delete(s.openOf, name)
	if isNamed(s.layout.Former, name) {
		// Snapshots share the list, so it is not changed in place.
		s.layout.Former = slices.DeleteFunc(slices.Clone(s.layout.Former), func(a modeler.Account) bool { return a.Team.Name == name })
		s.recordChange(Change{Kind: LayoutChanged})
	}
}

// CheckID returns an error of kind KeyReused if the flow's id belongs to a flow of another
// queue or account.
func (s *Sequencer) CheckID(spec *modeler.Flow) error {
	held, found := s.flows[spec.ID]
	switch {
	case !found:
		return nil
	case held.Spec.Queue != spec.Queue:
		return classifier.New(classifier.KeyReused, "the id belongs to a flow of another queue")
	case !held.IsVisibleTo(spec.Team):
		return classifier.New(classifier.KeyReused, "the id belongs to a flow of another account")
	default:
		return nil
	}
}

// Submit accepts a flow. Submitting the same id again changes nothing and
// returns a repeat, or KeyReused if the queue or the account differs.
func (s *Sequencer) Submit(now modeler.Timestamp, spec *modeler.Flow) modeler.Result {
	if err := s.CheckID(spec); err != nil {
		return modeler.Result{Kind: classifier.KindOf(err), Detail: classifier.DetailOf(err)}
	}
	if _, found := s.flows[spec.ID]; found {
		return modeler.Result{Repeat: true}
	}
	// A layout that was committed after the call was checked may have removed the account.
	// Its flow would run without a quota.
	if spec.Team != "" && !isNamed(s.layout.Accounts, spec.Team) {
		return modeler.Result{Kind: classifier.Unauthorized, Detail: "the account was removed"}
	}
	f := &Flow{Spec: *spec, State: modeler.FlowPending, ArrivedAt: now}
	f.computeOffsets()
	f.OpenTasks = f.tasksPerOccurrence * f.Occurrences()
	f.Tasks = make([]Task, f.OpenTasks)
	f.resetProgress()
	s.countOpen(f)
	s.heldTasks += len(f.Tasks)
	s.flows[spec.ID] = f
	s.pending[spec.Queue]++
	s.recordChange(Change{Kind: FlowAdded, Flow: spec.ID})
	return modeler.Result{}
}

// Check returns an error if the flow can't be accepted.
func Check(f *modeler.Flow) error {
	if len(f.Steps) == 0 {
		return classifier.New(classifier.Malformed, "the flow has no steps")
	}
	if len(f.Steps) > maxSteps {
		return classifier.New(classifier.TooLarge, "the flow has %d steps, %d are accepted", len(f.Steps), maxSteps)
	}
	total := 0
	for i := range f.Steps {
		step := &f.Steps[i]
		if step.Count <= 0 {
			return classifier.New(classifier.Malformed, "step %d has %d tasks", i, step.Count)
		}
		if step.Count > maxTasks {
			return classifier.New(classifier.TooLarge, "step %d has %d tasks, %d are accepted", i, step.Count, maxTasks)
		}
		total += step.Count
		if err := checkStep(i, step); err != nil {
			return err
		}
		for _, earlier := range step.After {
			if int(earlier) >= i {
				return classifier.New(classifier.Malformed, "step %d is to follow step %d", i, earlier)
			}
		}
	}
	if f.Occurrences < 0 || isOutOfRange(f.Interval) {
		return classifier.New(classifier.Malformed, "the flow is to run %d times, every %v", f.Occurrences, f.Interval)
	}
	if total > maxTasks || f.Occurrences > maxTasks || total*max(f.Occurrences, 1) > maxTasks {
		return classifier.New(classifier.TooLarge, "the flow has more than %d tasks", maxTasks)
	}
	return nil
}

// Load is what flows take of the room for all flows that are not over.
type Load struct {
	Flows int
	Tasks int
	// BeyondFlows and BeyondTasks are the part that is beyond the shares of accounts.
	BeyondFlows int
	BeyondTasks int
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		Flows: l.Flows + other.Flows, Tasks: l.Tasks + other.Tasks,
		BeyondFlows: l.BeyondFlows + other.BeyondFlows, BeyondTasks: l.BeyondTasks + other.BeyondTasks,
	}
}

// Sub returns the load without another one.
func (l Load) Sub(other Load) Load {
	return Load{
		Flows: l.Flows - other.Flows, Tasks: l.Tasks - other.Tasks,
		BeyondFlows: l.BeyondFlows - other.BeyondFlows, BeyondTasks: l.BeyondTasks - other.BeyondTasks,
	}
}

// LoadOf returns the load of one checked flow.
func LoadOf(f *modeler.Flow) Load {
	tasks := 0
	for i := range f.Steps {
		tasks += f.Steps[i].Count
	}
	l := Load{Flows: 1, Tasks: tasks * max(f.Occurrences, 1)}
	if f.BeyondShare {
		l.BeyondFlows, l.BeyondTasks = l.Flows, l.Tasks
	}
	return l
}

// CheckRoom returns an error of kind QueueFull if a flow with the given load does not fit beside those
// that are not over and those that were proposed. A flow may take half of the room for
// tasks that is left, so that wide flows always leave room for narrower ones. Flows beyond
// the share of their account get half of all room together, so that they leave the rest
// to the accounts within theirs.
func (s *Sequencer) CheckRoom(load, proposed Load) error {
	held := s.held().Add(proposed)
	beyond := held.Add(load)
	switch left := maxHeldTasks - held.Tasks; {
	case load.BeyondFlows > 0 && (beyond.BeyondFlows > maxHeldFlows/2 || beyond.BeyondTasks > maxHeldTasks/2):
		return classifier.New(classifier.QueueFull, "%d flows with %d tasks beyond the shares of their accounts are held", held.BeyondFlows, held.BeyondTasks)
	case load.Tasks > max(left/2, 0):
		return classifier.New(classifier.QueueFull, "the flow has %d tasks, %d are accepted while %d of %d are held", load.Tasks, max(left/2, 0), held.Tasks, maxHeldTasks)
	case held.Flows >= maxHeldFlows:
		return classifier.New(classifier.QueueFull, "%d of %d flows are held", held.Flows, maxHeldFlows)
	default:
		return nil
	}
}

// held returns the load of the flows that are not over.
func (s *Sequencer) held() Load {
	return Load{Flows: s.openFlows, Tasks: s.heldTasks, BeyondFlows: s.beyondShare.Flows, BeyondTasks: s.beyondShare.Tasks}
}

func checkStep(i int, step *modeler.Step) error {
	need := step.Need
	switch {
	case need.Negative():
		return classifier.New(classifier.Malformed, "step %d needs less than nothing", i)
	case need.Processors > maxAmount || need.Memory > maxAmount || need.Accelerators > maxAmount:
		return classifier.New(classifier.TooLarge, "a task of step %d needs more than any host can have", i)
	case isOutOfRange(step.Estimate) || isOutOfRange(step.LatencyTarget):
		return classifier.New(classifier.Malformed, "step %d has an estimate of %v and a target of %v", i, step.Estimate, step.LatencyTarget)
	case step.PerWorker < 0 || step.DisruptionBudget < 0:
		return classifier.New(classifier.Malformed, "step %d has a bound below zero", i)
	default:
		return nil
	}
}

// isOutOfRange reports whether a duration is negative or above maxDuration.
func isOutOfRange(d time.Duration) bool { return d < 0 || d > maxDuration }

// Cancel cancels a flow; it changes nothing if the flow is over.
func (s *Sequencer) Cancel(now modeler.Timestamp, id modeler.FlowID) modeler.Result {
	f, found := s.flows[id]
	if !found {
		return modeler.Result{Kind: classifier.UnknownJob, Detail: "no flow has this id"}
	}
	if f.IsOver() {
		return modeler.Result{Repeat: true}
	}
	s.finishFlow(now, f, modeler.FlowCancelled)
	return modeler.Result{}
}

// finishFlow ends a flow. Its attempts occupy their workers until their own
// ends are known.
func (s *Sequencer) finishFlow(now modeler.Timestamp, f *Flow, state modeler.FlowState) {
	s.setState(f, state)
	s.discountOpen(f)
	f.EndedAt = now
	s.endedFlow = append(s.endedFlow, endedFlow{id: f.Spec.ID, at: now})
	s.recordChange(Change{Kind: FlowEnded, Flow: f.Spec.ID})
	s.dropDetails(f)
}

// dropDetails replaces a flow that is over and has no attempt that may still run by a
// copy without tasks and steps. The flow itself stays whole for those who hold it: the
// dispatcher handles the changes of a log entry after the entry was applied.
func (s *Sequencer) dropDetails(f *Flow) {
	if !f.IsOver() || f.OccupiedTasks > 0 || s.flows[f.Spec.ID] != f {
		return
	}
	s.heldTasks -= len(f.Tasks)
	rest := *f
	rest.Tasks = nil
	rest.Spec.Steps = nil
	rest.Spec.Spec = ""
	rest.stepOffset = nil
	rest.progress = nil
	s.flows[f.Spec.ID] = &rest
}

// RecordDepartures removes workers that have left, and records their generation so that
// late announcements don't add them again, also under a later leader. If a
// worker is not marked as leaving, the departure belongs to an earlier
// generation and changes nothing.
func (s *Sequencer) RecordDepartures(now modeler.Timestamp, ids []modeler.WorkerID) {
	for _, id := range ids {
		m, known := s.workers[id]
		if !known || !m.Leaving {
			continue
		}
		if m.Generation != 0 {
			s.departures[id] = DepartedWorker{Worker: id, Generation: m.Generation, DepartedAt: now}
		}
		s.removeWorker(id)
	}
}

// DropExpired drops flows that ended, and departures that happened, more than
// endedFlowRetention ago.
func (s *Sequencer) DropExpired(now modeler.Timestamp) {
	for id, l := range s.departures {
		if l.DepartedAt.Add(endedFlowRetention) < now {
			delete(s.departures, id)
		}
	}
	for len(s.endedFlow) > 0 && s.endedFlow[0].at.Add(endedFlowRetention) < now {
		f := s.flows[s.endedFlow[0].id]
		if f != nil && f.OccupiedTasks > 0 {
			// An attempt of the flow may still run, so the flow is kept for another
			// period.
			f.EndedAt = now
			s.endedFlow = append(s.endedFlow[1:], endedFlow{id: f.Spec.ID, at: now})
			return
		}
		delete(s.flows, s.endedFlow[0].id)
		s.endedFlow = s.endedFlow[1:]
	}
}

// RecordStarts records attempts as placed on workers, which have not begun them yet. A
// start that doesn't match the state is skipped; the dispatcher notices that no change is
// reported for it.
func (s *Sequencer) RecordStarts(starts []modeler.FlowStart) modeler.Result {
	for _, start := range starts {
		f := s.flows[start.Task.Flow]
		if f == nil || f.IsOver() {
			continue
		}
		f.ownTasks()
		t := f.Task(start.Task)
		if t == nil || t.Phase != TaskWaiting || t.Worker != "" || start.Attempt <= t.Attempt {
			continue
		}
		if m, known := s.workers[start.Worker]; !known || m.Generation != start.Generation || m.Leaving {
			continue
		}
		f.occupy(t, start)
		s.recordChange(Change{Kind: AttemptStarted, Flow: start.Task.Flow, Start: start})
	}
	return modeler.Result{}
}

// RecordBegun records flows of which a worker has begun a task.
func (s *Sequencer) RecordBegun(ids []modeler.FlowID) {
	for _, id := range ids {
		if f := s.flows[id]; f != nil {
			s.begin(f)
		}
	}
}

func (s *Sequencer) begin(f *Flow) {
	f.HasBegun = true
	if f.State == modeler.FlowPending {
		s.setState(f, modeler.FlowRunning)
	}
}

// RecordEnds records how attempts ended.
func (s *Sequencer) RecordEnds(now modeler.Timestamp, ends []modeler.FlowEnd) modeler.Result {
	for _, end := range ends {
		s.end(now, end)
	}
	return modeler.Result{}
}

func (s *Sequencer) end(now modeler.Timestamp, end modeler.FlowEnd) {
	f := s.flows[end.Task.Flow]
	if f == nil {
		return
	}
	if end.Kind.ShowsBeginning() {
		s.begin(f)
	}
	f.ownTasks()
	t := f.Task(end.Task)
	if t == nil {
		return
	}
	if t.Worker == "" || t.Attempt != end.Attempt {
		s.endOlderAttempt(now, f, t, end)
		return
	}
	f.vacate(t, end.Task.StepKey())
	if t.Phase == TaskPlaced {
		t.Phase = TaskWaiting
		if !f.IsOver() {
			s.applyEnd(now, f, t, end)
		}
	}
	s.recordChange(Change{Kind: AttemptEnded, Flow: end.Task.Flow, End: end})
	s.dropDetails(f)
}

// OlderAttemptMayComplete reports whether an attempt other than the newest may still complete
// the task, because several attempts may run at once and the first one that is
// done completes it.
func (s *Sequencer) OlderAttemptMayComplete(task modeler.FlowTask) bool {
	f := s.flows[task.Flow]
	if f == nil || f.IsOver() {
		return false
	}
	t := f.Task(task)
	return t != nil && t.Phase != TaskDone && f.Spec.Steps[task.Step].MayRunCopies()
}

// OlderEndCounts reports whether an end of the given kind, of an attempt other than the
// newest, completes the task or counts as a failure. An attempt that was given
// up and turns out to be done completes its task unless a newer attempt is
// placed.
func (s *Sequencer) OlderEndCounts(task modeler.FlowTask, kind modeler.EndKind) bool {
	switch kind {
	case modeler.EndFailed:
		return s.isOpen(task)
	case modeler.EndDone:
		return s.OlderAttemptMayComplete(task) || s.isOpen(task) && s.hasNoAttempt(task)
	default:
		return false
	}
}

// isOpen reports whether the task still has to be done.
func (s *Sequencer) isOpen(task modeler.FlowTask) bool {
	f := s.flows[task.Flow]
	if f == nil || f.IsOver() {
		return false
	}
	t := f.Task(task)
	return t != nil && t.Phase != TaskDone && !f.Spec.Steps[task.Step].LongRunning
}

// hasNoAttempt reports whether no attempt of the task, or of any member of its
// gang, is placed.
func (s *Sequencer) hasNoAttempt(task modeler.FlowTask) bool {
	f := s.flows[task.Flow]
	if !f.Spec.Steps[task.Step].Gang {
		return f.Task(task).Worker == ""
	}
	return f.progressOf(task.StepKey()).occupied == 0
}

// endOlderAttempt records the end of an attempt that is not the newest one or
// was given up. The newest attempt occupies its worker until its own end is
// known.
func (s *Sequencer) endOlderAttempt(now modeler.Timestamp, f *Flow, t *Task, end modeler.FlowEnd) {
	if end.Attempt > t.Attempt || !s.OlderEndCounts(end.Task, end.Kind) {
		return
	}
	s.applyEnd(now, f, t, end)
	s.recordChange(Change{Kind: AttemptEnded, Flow: end.Task.Flow, End: end})
	s.dropDetails(f)
}

// applyEnd updates the task and its flow after the end of an attempt.
func (s *Sequencer) applyEnd(now modeler.Timestamp, f *Flow, t *Task, end modeler.FlowEnd) {
	step := &f.Spec.Steps[end.Task.Step]
	switch {
	case step.LongRunning:
	case end.Kind == modeler.EndDone && step.Gang:
		s.completeGang(f, end)
	case end.Kind == modeler.EndDone:
		f.complete(t, end.Task.StepKey())
	case end.Kind == modeler.EndFailed:
		s.recordFailure(f, t, end)
		if f.Spec.Policy.Attempts > 0 && f.failuresOf(t, end.Task.StepKey()) >= f.Spec.Policy.Attempts {
			s.finishFlow(now, f, modeler.FlowFailed)
			return
		}
	}
	// All members of a gang have the same checkpoint.
	if end.Saved != "" && end.Saved != t.Checkpoint {
		t.Checkpoint = end.Saved
		if step.Gang {
			tasks := f.StepTasks(end.Task.StepKey())
			for i := range tasks {
				tasks[i].Checkpoint = end.Saved
			}
		}
	}
	if f.OpenTasks == 0 {
		s.finishFlow(now, f, modeler.FlowCompleted)
	}
}

// recordFailure records a failed attempt, once for all members of a gang.
func (s *Sequencer) recordFailure(f *Flow, t *Task, end modeler.FlowEnd) {
	key := end.Task.StepKey()
	isGang := f.Spec.Steps[key.Step].Gang
	if slices.Contains(t.FailedAttempts, end.Attempt) || isGang && f.gangHasFailed(key, end.Attempt) {
		return
	}
	t.FailedAttempts = append(t.FailedAttempts, end.Attempt)
	if isGang {
		f.progressOf(key).addFailed(end.Attempt)
	}
}

// completeGang marks all members of a gang as done, since one member that is
// done means that the gang is. The other members occupy their workers until
// their own ends are known.
func (s *Sequencer) completeGang(f *Flow, end modeler.FlowEnd) {
	tasks := f.StepTasks(end.Task.StepKey())
	for i := range tasks {
		if tasks[i].Phase != TaskDone {
			f.complete(&tasks[i], end.Task.StepKey())
		}
	}
}

// UpdateWorkers records new workers, new generations and workers that are leaving, and
// removes departed ones unless a newer generation of them is known.
func (s *Sequencer) UpdateWorkers(machines []modeler.WorkerAnnouncement, departed []modeler.WorkerDeparture) modeler.Result {
	for _, m := range machines {
		held, known := s.workers[m.ID]
		if known && m.Generation < held.Generation {
			continue
		}
		if l, gone := s.departures[m.ID]; gone && m.Generation <= l.Generation {
			continue
		}
		if known && m.Generation == held.Generation && held.Leaving {
			m.Leaving = true
		}
		if m.Generation != held.Generation {
			delete(s.learned.workers, m.ID)
			delete(s.silences, m.ID)
		}
		s.workers[m.ID] = m
		s.recordChange(Change{Kind: WorkerUpdated, Worker: m.ID})
	}
	for _, gone := range departed {
		held, known := s.workers[gone.Worker]
		if known && (gone.Generation == 0 || held.Generation <= gone.Generation) {
			s.removeWorker(gone.Worker)
		}
	}
	return modeler.Result{}
}

// removeWorker removes a worker with what is recorded of it.
func (s *Sequencer) removeWorker(id modeler.WorkerID) {
	delete(s.workers, id)
	delete(s.learned.workers, id)
	delete(s.silences, id)
	s.recordChange(Change{Kind: WorkerDeparted, Worker: id})
}
