package sequencer

import (
	"slices"
	"strings"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// keepEnded is how long a flow that is over can be asked for: half more
	// than the 120 s that callers rely on, for clocks that jump.
	keepEnded = 180 * time.Second
	// maxTasks bounds the tasks of one flow over all its occurrences, since
	// each takes memory on every member.
	maxTasks = 100_000
	// maxSpan bounds the times that a flow names, and maxAmount what one task
	// needs of a resource, so that sums over all tasks and occurrences of a flow
	// can't overflow: a year, and a pebibyte.
	maxSpan   = 365 * 24 * time.Hour
	maxAmount = 1 << 50
)

// Phase tells how far a task is.
type Phase uint8

// The phases of a task.
const (
	Waiting Phase = iota
	Placed
	Done
)

// Task is the replicated state of one task.
type Task struct {
	_       struct{} `cbor:",toarray"`
	Phase   Phase
	Attempt modeler.Attempt
	// Worker is where the newest attempt may still run; it outlives the phase
	// Placed when another member of a gang, or a copy of the task, has ended the
	// work.
	Worker     modeler.WorkerID
	Generation modeler.Generation
	Saved      modeler.Checkpoint
	// Failed holds the attempts that have failed.
	Failed []modeler.Attempt
}

// Flow is the replicated state of one flow.
type Flow struct {
	Spec  modeler.Flow      `cbor:"1,keyasint"`
	State modeler.FlowState `cbor:"2,keyasint"`
	// Tasks are ordered by occurrence, step and index.
	Tasks   []Task            `cbor:"3,keyasint"`
	Arrived modeler.Timestamp `cbor:"4,keyasint"`
	Ended   modeler.Timestamp `cbor:"5,keyasint,omitempty"`
	// Open counts the tasks that are not done.
	Open int `cbor:"6,keyasint"`
	// Occupied counts the tasks whose newest attempt may still run.
	Occupied int `cbor:"7,keyasint,omitempty"`
	// first is the position of each step's first task in an occurrence, and
	// width the number of tasks of an occurrence.
	first []int
	width int
}

// Over reports whether no task of the flow is to be started any more.
func (f *Flow) Over() bool {
	switch f.State {
	case modeler.FlowCompleted, modeler.FlowFailed, modeler.FlowCancelled:
		return true
	default:
		return false
	}
}

// Occurrences returns how often the flow's steps run.
func (f *Flow) Occurrences() int { return max(f.Spec.Occurrences, 1) }

// Task returns the state of a task, or nil if the flow has no such task.
func (f *Flow) Task(id modeler.FlowTask) *Task {
	if int(id.Step) >= len(f.Spec.Steps) || int(id.Occurrence) >= f.Occurrences() ||
		int(id.Index) >= f.Spec.Steps[id.Step].Count || len(f.Tasks) == 0 {
		return nil
	}
	return &f.Tasks[int(id.Occurrence)*f.width+f.first[id.Step]+int(id.Index)]
}

// Placed reports whether the task's newest attempt is to run.
func (f *Flow) Placed(id modeler.FlowTask) bool {
	t := f.Task(id)
	return t != nil && t.Phase == Placed
}

// StepTasks returns the tasks of a step of one occurrence.
func (f *Flow) StepTasks(unit modeler.StepKey) []Task {
	from := int(unit.Occurrence)*f.width + f.first[unit.Step]
	return f.Tasks[from : from+f.Spec.Steps[unit.Step].Count]
}

// StepDone reports whether all tasks of a step of one occurrence are done.
func (f *Flow) StepDone(unit modeler.StepKey) bool {
	return !slices.ContainsFunc(f.StepTasks(unit), func(t Task) bool { return t.Phase != Done })
}

// index works out the positions of the steps.
func (f *Flow) index() {
	f.first = make([]int, len(f.Spec.Steps))
	f.width = 0
	for i := range f.Spec.Steps {
		f.first[i] = f.width
		f.width += f.Spec.Steps[i].Count
	}
}

// ChangeKind tells what a change did.
type ChangeKind uint8

// The kinds of changes.
const (
	FlowAdded ChangeKind = iota + 1
	FlowOver
	AttemptStarted
	AttemptEnded
	WorkerNoted
	WorkerDeparted
)

// Change tells the leader's dispatcher what an applied command has changed.
type Change struct {
	Kind   ChangeKind
	Flow   modeler.FlowID
	Start  modeler.FlowStart
	End    modeler.FlowEnd
	Worker modeler.WorkerID
}

// ended remembers when a flow may be dropped.
type ended struct {
	id modeler.FlowID
	at modeler.Timestamp
}

// Sequencer holds the replicated state.
type Sequencer struct {
	layout  modeler.Layout
	flows   map[modeler.FlowID]*Flow
	workers map[modeler.WorkerID]modeler.WorkerAnnouncement
	// pending counts the flows of each queue of which no task has started.
	pending map[modeler.QueueID]int
	// left holds the generations of workers that have left for good, by the
	// time at which they may be forgotten.
	left    map[modeler.WorkerID]Left
	ended   []ended
	changes []Change
}

// Left is the last generation of a worker that has left.
type Left struct {
	_          struct{} `cbor:",toarray"`
	Worker     modeler.WorkerID
	Generation modeler.Generation
	At         modeler.Timestamp
}

// New returns the empty state.
func New() *Sequencer {
	return &Sequencer{
		flows:   make(map[modeler.FlowID]*Flow),
		workers: make(map[modeler.WorkerID]modeler.WorkerAnnouncement),
		pending: make(map[modeler.QueueID]int),
		left:    make(map[modeler.WorkerID]Left),
	}
}

// Layout returns the layout in force.
func (s *Sequencer) Layout() *modeler.Layout { return &s.layout }

// Flow returns a flow.
func (s *Sequencer) Flow(id modeler.FlowID) (*Flow, bool) {
	f, found := s.flows[id]
	return f, found
}

// Pending counts the flows of a queue of which no task has started.
func (s *Sequencer) Pending(queue modeler.QueueID) int { return s.pending[queue] }

// setState changes a flow's state.
func (s *Sequencer) setState(f *Flow, state modeler.FlowState) {
	if f.State == modeler.FlowPending {
		s.pending[f.Spec.Queue]--
		if s.pending[f.Spec.Queue] == 0 {
			delete(s.pending, f.Spec.Queue)
		}
	}
	f.State = state
}

// Each visits every flow.
func (s *Sequencer) Each(visit func(*Flow)) {
	for _, f := range s.flows {
		visit(f)
	}
}

// Workers returns the known workers; the caller must not change the map.
func (s *Sequencer) Workers() map[modeler.WorkerID]modeler.WorkerAnnouncement { return s.workers }

// Changes returns and forgets the changes since the last call.
func (s *Sequencer) Changes() []Change {
	out := s.changes
	s.changes = nil
	return out
}

func (s *Sequencer) note(c Change) { s.changes = append(s.changes, c) }

// Find returns the queue that a host and a path select, and the rest of the
// path behind the queue's prefix.
func (s *Sequencer) Find(host, path string) (*modeler.Queue, string, bool) {
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

// CheckLayout reports why a layout can't be put in force.
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
	return nil
}

// SetLayout puts a layout in force if its number is higher than the one held.
// A lower or equal number changes nothing, and says so as a repeat.
func (s *Sequencer) SetLayout(l *modeler.Layout) modeler.Result {
	if l.Number <= s.layout.Number {
		return modeler.Result{Repeat: true}
	}
	s.layout = *l
	return modeler.Result{}
}

// Submit accepts a flow; the same id again gets the first answer.
func (s *Sequencer) Submit(now modeler.Timestamp, spec *modeler.Flow) modeler.Result {
	if held, found := s.flows[spec.ID]; found {
		if held.Spec.Queue != spec.Queue {
			return modeler.Result{Kind: classifier.KeyReused, Detail: "the id belongs to a flow of another queue"}
		}
		return modeler.Result{Repeat: true}
	}
	f := &Flow{Spec: *spec, State: modeler.FlowPending, Arrived: now}
	f.index()
	f.Open = f.width * f.Occurrences()
	f.Tasks = make([]Task, f.Open)
	s.flows[spec.ID] = f
	s.pending[spec.Queue]++
	s.note(Change{Kind: FlowAdded, Flow: spec.ID})
	return modeler.Result{}
}

// Check reports why a flow can't be accepted.
func Check(f *modeler.Flow) error {
	if len(f.Steps) == 0 {
		return classifier.New(classifier.Malformed, "the flow has no steps")
	}
	total := 0
	for i := range f.Steps {
		step := &f.Steps[i]
		if step.Count <= 0 || step.Count > maxTasks {
			return classifier.New(classifier.Malformed, "step %d has %d tasks", i, step.Count)
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
	if f.Occurrences < 0 || outside(f.Interval) {
		return classifier.New(classifier.Malformed, "the flow is to run %d times, every %v", f.Occurrences, f.Interval)
	}
	if total > maxTasks || f.Occurrences > maxTasks || total*max(f.Occurrences, 1) > maxTasks {
		return classifier.New(classifier.TooLarge, "the flow has more than %d tasks", maxTasks)
	}
	return nil
}

func checkStep(i int, step *modeler.Step) error {
	need := step.Need
	switch {
	case need.Negative():
		return classifier.New(classifier.Malformed, "step %d needs less than nothing", i)
	case need.Processors > maxAmount || need.Memory > maxAmount || need.Accelerators > maxAmount:
		return classifier.New(classifier.TooLarge, "a task of step %d needs more than any host can have", i)
	case outside(step.Estimate) || outside(step.LatencyTarget):
		return classifier.New(classifier.Malformed, "step %d has an estimate of %v and a target of %v", i, step.Estimate, step.LatencyTarget)
	case step.PerWorker < 0 || step.DisruptionBudget < 0:
		return classifier.New(classifier.Malformed, "step %d has a bound below zero", i)
	default:
		return nil
	}
}

// outside reports whether a span of time is none that a flow may name.
func outside(d time.Duration) bool { return d < 0 || d > maxSpan }

// Cancel ends a flow; a flow that is over stays as it is.
func (s *Sequencer) Cancel(now modeler.Timestamp, id modeler.FlowID) modeler.Result {
	f, found := s.flows[id]
	if !found {
		return modeler.Result{Kind: classifier.UnknownJob, Detail: "no flow has this id"}
	}
	if f.Over() {
		return modeler.Result{Repeat: true}
	}
	s.finish(now, f, modeler.FlowCancelled)
	return modeler.Result{}
}

// finish ends a flow; its attempts occupy their workers until they end.
func (s *Sequencer) finish(now modeler.Timestamp, f *Flow, state modeler.FlowState) {
	s.setState(f, state)
	f.Ended = now
	s.ended = append(s.ended, ended{id: f.Spec.ID, at: now})
	s.note(Change{Kind: FlowOver, Flow: f.Spec.ID})
	s.release(f)
}

// release drops what only a flow with attempts needs.
func (s *Sequencer) release(f *Flow) {
	if !f.Over() || f.Occupied > 0 {
		return
	}
	f.Tasks = nil
	f.Spec.Steps = nil
	f.Spec.Spec = ""
	f.first = nil
}

// Leave records workers that have left. Their late announcements bring them
// back at no member, also after a change of the leader. A departure that comes
// for a worker that does not leave is that of an earlier generation under its
// name, and changes nothing.
func (s *Sequencer) Leave(now modeler.Timestamp, ids []modeler.WorkerID) {
	for _, id := range ids {
		m, known := s.workers[id]
		if !known || !m.Leaving {
			continue
		}
		if m.Generation != 0 {
			s.left[id] = Left{Worker: id, Generation: m.Generation, At: now}
		}
		delete(s.workers, id)
		s.note(Change{Kind: WorkerDeparted, Worker: id})
	}
}

// Expire drops the flows that ended long ago.
func (s *Sequencer) Expire(now modeler.Timestamp) {
	for id, l := range s.left {
		if l.At.Add(keepEnded) < now {
			delete(s.left, id)
		}
	}
	for len(s.ended) > 0 && s.ended[0].at.Add(keepEnded) < now {
		f := s.flows[s.ended[0].id]
		if f != nil && f.Occupied > 0 {
			// An attempt that may still run is remembered until it has ended.
			f.Ended = now
			s.ended = append(s.ended[1:], ended{id: f.Spec.ID, at: now})
			return
		}
		delete(s.flows, s.ended[0].id)
		s.ended = s.ended[1:]
	}
}

// Start commits attempts to workers. A start that no longer fits the state is
// left out; the dispatcher learns that from the missing change.
func (s *Sequencer) Start(starts []modeler.FlowStart) modeler.Result {
	for _, start := range starts {
		f := s.flows[start.Task.Flow]
		if f == nil || f.Over() {
			continue
		}
		t := f.Task(start.Task)
		if t == nil || t.Phase != Waiting || t.Worker != "" || start.Attempt <= t.Attempt {
			continue
		}
		if m, known := s.workers[start.Worker]; !known || m.Generation != start.Generation || m.Leaving {
			continue
		}
		t.Phase = Placed
		t.Attempt = start.Attempt
		t.Worker = start.Worker
		t.Generation = start.Generation
		f.Occupied++
		s.setState(f, modeler.FlowRunning)
		s.note(Change{Kind: AttemptStarted, Flow: start.Task.Flow, Start: start})
	}
	return modeler.Result{}
}

// End records how attempts ended.
func (s *Sequencer) End(now modeler.Timestamp, ends []modeler.FlowEnd) modeler.Result {
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
	t := f.Task(end.Task)
	if t == nil {
		return
	}
	if t.Worker == "" || t.Attempt != end.Attempt {
		s.endCopy(now, f, t, end)
		return
	}
	t.Worker = ""
	t.Generation = 0
	f.Occupied--
	if t.Phase == Placed {
		t.Phase = Waiting
		if !f.Over() {
			s.settle(now, f, t, end)
		}
	}
	s.note(Change{Kind: AttemptEnded, Flow: end.Task.Flow, End: end})
	s.release(f)
}

// Awaits reports whether a former attempt of the task may still end it: several
// may run at once, and the first one that is done ends the task.
func (s *Sequencer) Awaits(task modeler.FlowTask) bool {
	f := s.flows[task.Flow]
	if f == nil || f.Over() {
		return false
	}
	t := f.Task(task)
	return t != nil && t.Phase != Done && f.Spec.Steps[task.Step].MayRunCopies()
}

// Counts reports whether such an end of a former attempt of the task ends it,
// or uses up an attempt. Work that was given up and turns out to be done is not
// done again as long as no newer attempt was made.
func (s *Sequencer) Counts(task modeler.FlowTask, kind modeler.EndKind) bool {
	switch kind {
	case modeler.EndFailed:
		return s.open(task)
	case modeler.EndDone:
		return s.Awaits(task) || s.open(task) && s.idle(task)
	default:
		return false
	}
}

// open reports whether the task is to be done and is not yet.
func (s *Sequencer) open(task modeler.FlowTask) bool {
	f := s.flows[task.Flow]
	if f == nil || f.Over() {
		return false
	}
	t := f.Task(task)
	return t != nil && t.Phase != Done && !f.Spec.Steps[task.Step].LongRunning
}

// idle reports whether no attempt of the task is placed, or of its gang.
func (s *Sequencer) idle(task modeler.FlowTask) bool {
	f := s.flows[task.Flow]
	if !f.Spec.Steps[task.Step].Gang {
		return f.Task(task).Worker == ""
	}
	return !slices.ContainsFunc(f.StepTasks(task.StepKey()), func(t Task) bool { return t.Worker != "" })
}

// endCopy records the end of an attempt that is not the newest one, or was
// given up. The newest attempt occupies its worker until its own end is known.
func (s *Sequencer) endCopy(now modeler.Timestamp, f *Flow, t *Task, end modeler.FlowEnd) {
	if end.Attempt > t.Attempt || !s.Counts(end.Task, end.Kind) {
		return
	}
	s.settle(now, f, t, end)
	s.note(Change{Kind: AttemptEnded, Flow: end.Task.Flow, End: end})
	s.release(f)
}

// settle decides what the end of an attempt means for a flow that goes on.
func (s *Sequencer) settle(now modeler.Timestamp, f *Flow, t *Task, end modeler.FlowEnd) {
	step := &f.Spec.Steps[end.Task.Step]
	switch {
	case step.LongRunning:
	case end.Kind == modeler.EndDone && step.Gang:
		s.gangDone(f, end)
	case end.Kind == modeler.EndDone:
		t.Phase = Done
		f.Open--
	case end.Kind == modeler.EndFailed:
		s.countFailure(f, t, end)
		if f.Spec.Policy.Attempts > 0 && s.failures(f, t, end) >= f.Spec.Policy.Attempts {
			s.finish(now, f, modeler.FlowFailed)
			return
		}
	}
	if end.Saved != "" {
		t.Saved = end.Saved
		if step.Gang {
			tasks := f.StepTasks(end.Task.StepKey())
			for i := range tasks {
				tasks[i].Saved = end.Saved
			}
		}
	}
	if f.Open == 0 {
		s.finish(now, f, modeler.FlowCompleted)
	}
}

// countFailure counts a failed attempt, and that of a gang once.
func (s *Sequencer) countFailure(f *Flow, t *Task, end modeler.FlowEnd) {
	known := func(member Task) bool { return slices.Contains(member.Failed, end.Attempt) }
	if known(*t) || f.Spec.Steps[end.Task.Step].Gang && slices.ContainsFunc(f.StepTasks(end.Task.StepKey()), known) {
		return
	}
	t.Failed = append(t.Failed, end.Attempt)
}

// failures counts the failures of a task, or of its gang as a whole.
func (s *Sequencer) failures(f *Flow, t *Task, end modeler.FlowEnd) int {
	if !f.Spec.Steps[end.Task.Step].Gang {
		return len(t.Failed)
	}
	sum := 0
	for _, member := range f.StepTasks(end.Task.StepKey()) {
		sum += len(member.Failed)
	}
	return sum
}

// gangDone marks every member done, since one end speaks for all of them; the
// others occupy their workers until their own ends are known.
func (s *Sequencer) gangDone(f *Flow, end modeler.FlowEnd) {
	tasks := f.StepTasks(end.Task.StepKey())
	for i := range tasks {
		if tasks[i].Phase != Done {
			tasks[i].Phase = Done
			f.Open--
		}
	}
}

// Note records new workers, new generations and workers that are to leave, and
// forgets departed ones.
func (s *Sequencer) Note(machines []modeler.WorkerAnnouncement, departed []modeler.WorkerID) modeler.Result {
	for _, m := range machines {
		held, known := s.workers[m.ID]
		if known && m.Generation < held.Generation {
			continue
		}
		if l, gone := s.left[m.ID]; gone && m.Generation <= l.Generation {
			continue
		}
		if known && m.Generation == held.Generation && held.Leaving {
			m.Leaving = true
		}
		s.workers[m.ID] = m
		s.note(Change{Kind: WorkerNoted, Worker: m.ID})
	}
	for _, id := range departed {
		if _, known := s.workers[id]; known {
			delete(s.workers, id)
			s.note(Change{Kind: WorkerDeparted, Worker: id})
		}
	}
	return modeler.Result{}
}
