package applier_test

import (
	"encoding/base64"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replacer"
)

// simulation combines the state machine with a leader that places and replaces
// tasks and with workers that run them.
type simulation struct {
	t          *rapid.T
	state      *applier.Applier
	index      modeler.Index
	ticket     modeler.TicketNumber
	attempt    modeler.Attempt
	newestSpec *modeler.Job // nil after a removal
	// runningSpecs holds the spec with which each running attempt was started.
	runningSpecs map[modeler.TaskID]modeler.Job
	// replacements holds the ReplaceTasks commands of leaders, which may be
	// applied again or late.
	replacements []*modeler.Command
}

func (s *simulation) apply(command *modeler.Command) {
	s.index++
	inService := s.inService()
	_, err := s.state.ApplyData(s.index, applier.Encode(command))
	assert.NilError(s.t, err)
	for _, change := range s.state.TakeChanges() {
		switch change.Kind {
		case applier.TaskPlaced:
			id := change.Placement.Task
			_, found := s.runningSpecs[id]
			assert.Assert(s.t, !found, "task %v runs twice at a time", id)
			job, _ := s.state.Job(id.Job)
			s.runningSpecs[id] = job.Spec
		case applier.TaskEnded:
			delete(s.runningSpecs, change.End.Task)
		}
	}
	if command.Kind == modeler.ReplaceTasks {
		s.replacements = append(s.replacements, command)
		s.checkBound(inService)
	}
}

// inService returns the attempts by task that the replicated state counts as in
// service.
func (s *simulation) inService() map[int]modeler.Attempt {
	out := make(map[int]modeler.Attempt)
	if job, found := s.state.Job("register"); found {
		for i, task := range job.Tasks {
			if task.Ready {
				out[i] = task.Attempt
			}
		}
	}
	return out
}

// checkBound fails if a ReplaceTasks command has stopped more tasks in service
// than the job's step allows.
func (s *simulation) checkBound(before map[int]modeler.Attempt) {
	job, found := s.state.Job("register")
	if !found || job.Change == nil {
		return
	}
	stopped := 0
	for i, attempt := range before {
		if job.Tasks[i].Leaving && job.Tasks[i].Attempt == attempt {
			stopped++
		}
	}
	missing := job.Change.Base - len(s.inService())
	assert.Assert(s.t, stopped == 0 || missing <= replacer.Step(&job.Spec), "%d tasks are missing", missing)
}

func (s *simulation) setJob(job modeler.Job) {
	s.ticket++
	s.newestSpec = &job
	s.apply(teamTicket(s.ticket, job))
}

func (s *simulation) removeJob() {
	if s.newestSpec == nil {
		return
	}
	s.ticket++
	s.newestSpec = nil
	command := teamTicket(s.ticket)
	command.Ticket.Removals.Jobs = []modeler.JobID{"register"}
	s.apply(command)
}

// placeWaiting places the waiting tasks. A stale placement, decided for another
// version of the spec, must be refused.
func (s *simulation) placeWaiting(job *applier.Job, stale bool) {
	for i := range job.Tasks {
		if job.Tasks[i].Phase != applier.PhaseWaiting {
			continue
		}
		s.attempt = max(s.attempt, job.Tasks[i].Attempt) + 1
		p := modeler.Placement{Task: modeler.TaskID{Job: "register", Index: modeler.TaskIndex(i)}, Attempt: s.attempt, Worker: "w", Version: job.First}
		if stale {
			p.Version++
		}
		s.apply(&modeler.Command{Kind: modeler.PlaceTasks, Place: []modeler.Placement{p}})
		assert.Equal(s.t, job.Tasks[i].Phase == applier.PhaseWaiting, stale, "placement of version %d", p.Version)
	}
}

func (s *simulation) endTask(job *applier.Job, i int, state modeler.TaskState, retry bool) {
	if i >= len(job.Tasks) || job.Tasks[i].Phase != applier.PhasePlaced {
		return
	}
	id := modeler.TaskID{Job: "register", Index: modeler.TaskIndex(i)}
	s.apply(&modeler.Command{Kind: modeler.EndTasks, TaskEnds: []modeler.TaskEnd{{Task: id, Attempt: job.Tasks[i].Attempt, State: state, Retry: retry}}})
}

// replaceTasks applies the next step of a leader to which all placed tasks have
// been reported as running for replacer.ReadyAfter.
func (s *simulation) replaceTasks(job *applier.Job) {
	if job.Change == nil {
		return
	}
	change := &replacer.Change{Step: replacer.Step(&job.Spec), Base: job.Change.Base}
	for i, task := range job.Tasks {
		change.Tasks = append(change.Tasks, replacer.Task{
			Placed: task.Phase == applier.PhasePlaced, RunsFormerSpec: task.FormerVersion != 0, Surplus: i >= job.Spec.Tasks, Leaving: task.Leaving, Ready: task.Ready,
			Reported: true, Running: replacer.ReadyAfter,
		})
	}
	plan := replacer.Decide(change)
	r := &modeler.Replacement{Job: "register", Version: job.First}
	for _, i := range plan.Ready {
		r.Ready = append(r.Ready, modeler.TaskAttempt{Index: modeler.TaskIndex(i), Attempt: job.Tasks[i].Attempt})
	}
	for _, i := range plan.Stop {
		r.Stop = append(r.Stop, modeler.TaskAttempt{Index: modeler.TaskIndex(i), Attempt: job.Tasks[i].Attempt})
	}
	s.apply(&modeler.Command{Kind: modeler.ReplaceTasks, Replace: r})
}

// stopLeaving ends the attempts that a change or a cancellation stops. The ends
// ask for no retry, like those that the supervisor reports for tasks that must
// not be repeated.
func (s *simulation) stopLeaving(job *applier.Job) {
	for i := 0; i < len(job.Tasks); i++ {
		if job.Tasks[i].Leaving || job.Cancelled {
			s.endTask(job, i, modeler.TaskStopped, false)
		}
	}
}

// reload simulates a new leader that starts from a snapshot.
func (s *simulation) reload() {
	data, err := s.state.Save()
	assert.NilError(s.t, err)
	s.state = applier.New()
	assert.NilError(s.t, s.state.Load(data))
}

// randomStep simulates one random event.
func (s *simulation) randomStep() {
	job, found := s.state.Job("register")
	kind := rapid.IntRange(0, 10).Draw(s.t, "kind")
	if !found && kind > 1 {
		kind = 0
	}
	switch kind {
	case 0:
		s.setJob(drawService(s.t))
	case 1:
		if rapid.Bool().Draw(s.t, "remove") {
			s.removeJob()
		}
	case 2, 3:
		s.placeWaiting(job, rapid.IntRange(0, 4).Draw(s.t, "stale") == 0)
	case 4, 5:
		s.replaceTasks(job)
	case 6:
		s.stopLeaving(job)
	case 7:
		endState := rapid.SampledFrom([]modeler.TaskState{modeler.TaskLost, modeler.TaskFailed, modeler.TaskDone}).Draw(s.t, "state")
		s.endTask(job, rapid.IntRange(0, 5).Draw(s.t, "task"), endState, endState != modeler.TaskDone)
	case 8:
		s.reload()
	default:
		// A command of a former leader is applied late or again.
		if len(s.replacements) > 0 {
			s.apply(rapid.SampledFrom(s.replacements).Draw(s.t, "late"))
		}
	}
}

func drawService(t *rapid.T) modeler.Job {
	service := job("register", rapid.IntRange(1, 5).Draw(t, "tasks"))
	if rapid.IntRange(0, 9).Draw(t, "batch") > 0 {
		service.Kind, service.Runtime = modeler.LongRunning, 0
		service.Step = rapid.IntRange(0, service.Tasks).Draw(t, "step")
	}
	service.Command = rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "command")
	service.Size.Processors = modeler.Millicores(rapid.IntRange(1, 2).Draw(t, "size"))
	return service
}

// TestChangesEndInTheNewestTicket guards against a change of a service that
// doesn't end in the state of the newest ticket, stops more tasks than its
// step, or runs a task twice at a time, over random tickets, task ends,
// snapshots, late placements and late commands of former leaders.
func TestChangesEndInTheNewestTicket(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{t: rt, state: applier.New(), runningSpecs: map[modeler.TaskID]modeler.Job{}}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			s.randomStep()
		}
		if s.newestSpec != nil && s.newestSpec.Kind == modeler.LongRunning {
			// Tasks that have ended by themselves run again under a new spec.
			next := *s.newestSpec
			next.Command = "last"
			s.setJob(next)
		}
		for range 40 {
			if job, found := s.state.Job("register"); found {
				s.placeWaiting(job, false)
			}
			if job, found := s.state.Job("register"); found {
				s.replaceTasks(job)
				s.stopLeaving(job)
			}
		}
		if s.newestSpec == nil {
			assert.Equal(rt, len(s.runningSpecs), 0)
			return
		}
		finalJob, _ := s.state.Job("register")
		if s.newestSpec.Kind != modeler.LongRunning {
			assert.Assert(rt, finalJob.NextSpec == nil && !finalJob.Cancelled)
		} else {
			assert.Equal(rt, len(s.runningSpecs), s.newestSpec.Tasks)
			assert.Assert(rt, finalJob.Change == nil)
		}
		assert.DeepEqual(rt, finalJob.Spec, *s.newestSpec)
		for _, content := range s.runningSpecs {
			content.Tasks, content.Step = s.newestSpec.Tasks, s.newestSpec.Step
			assert.DeepEqual(rt, content, *s.newestSpec)
		}
	})
}

// TestChangeKeepsTheOthersRunning guards against a change that takes more tasks
// than its step out of service while nothing else fails, for every kind of
// change and with further tickets during each step.
func TestChangeKeepsTheOthersRunning(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{t: rt, state: applier.New(), runningSpecs: map[modeler.TaskID]modeler.Job{}}
		first := drawService(rt)
		first.Kind, first.Runtime = modeler.LongRunning, 0
		s.setJob(first)
		floor := first.Tasks
		for range rapid.IntRange(1, 12).Draw(rt, "rounds") {
			job, _ := s.state.Job("register")
			s.placeWaiting(job, false)
			if rapid.IntRange(0, 3).Draw(rt, "ticket") == 0 {
				next := drawService(rt)
				next.Kind, next.Runtime = modeler.LongRunning, 0
				next.Step = min(2, next.Tasks)
				s.setJob(next)
				floor = min(floor, next.Tasks)
			}
			s.replaceTasks(job)
			running := 0
			for _, task := range job.Tasks {
				if task.Phase == applier.PhasePlaced && !task.Leaving {
					running++
				}
			}
			assert.Assert(rt, running >= floor-2, "%d of %d run", running, floor)
			if rapid.Bool().Draw(rt, "end") {
				s.stopLeaving(job)
			}
			if rapid.Bool().Draw(rt, "reload") {
				s.reload()
			}
		}
	})
}

// oldSnapshot is a snapshot of a release without ServiceChange. It holds the
// service register with two tasks, of which the first is placed.
const oldSnapshot = "pQEAAgIDpwEBAgEDoAShaHdvcmtzaG9wpGRuYW1laHdvcmtzaG9wZXF1b3Rho2pwcm9jZXNzb3JzAGZtZW1vcnkAbGFjY2VsZXJhdG9ycwBmd2VpZ2h0" +
	"AWZwb2xpY3lkcGFjawWhaHJlZ2lzdGVypmJpZGhyZWdpc3RlcmR0ZWFtaHdvcmtzaG9wZGtpbmRnc2VydmljZWV0YXNrcwJkc2l6ZaNqcHJvY2Vzc29ycxkD" +
	"6GZtZW1vcnkAbGFjY2VsZXJhdG9ycwBnY29tbWFuZGNvbmUGgaMBAQIbgvDMLrHauMUDAQcABKIBgAKABYGmAaZiaWRocmVnaXN0ZXJkdGVhbWh3b3Jrc2hv" +
	"cGRraW5kZ3NlcnZpY2VldGFza3MCZHNpemWjanByb2Nlc3NvcnMZA+hmbWVtb3J5AGxhY2NlbGVyYXRvcnMAZ2NvbW1hbmRjb25lAvUEAAaCpAEBAgIDYXcE" +
	"AaECAQgBCQI="

// TestOldSnapshotIsChanged guards against a snapshot of an earlier release that
// can't be loaded, or on which a change of a service can't start.
func TestOldSnapshotIsChanged(t *testing.T) {
	data, err := base64.StdEncoding.DecodeString(oldSnapshot)
	assert.NilError(t, err)
	a := applier.New()
	assert.NilError(t, a.Load(data))
	next := job("register", 2)
	next.Kind, next.Runtime, next.Command = modeler.LongRunning, 0, "two"
	a.Apply(3, teamTicket(2, next))
	current, _ := a.Job("register")
	assert.Equal(t, current.Tasks[0].Phase, applier.PhasePlaced)
	assert.Equal(t, current.SpecOf(&current.Tasks[0]).Command, "one")
	assert.Equal(t, current.SpecOf(&current.Tasks[1]).Command, "two")
}

// TestAttemptsDoNotComeBack guards against reusing an attempt number that a
// worker may know from an earlier job with the same id, when attempts have
// exceeded the log index. One in 10,000 random histories ran into it.
func TestAttemptsDoNotComeBack(t *testing.T) {
	a := applier.New()
	a.Apply(1, teamTicket(1, job("index", 1)))
	task := modeler.TaskID{Job: "index"}
	a.Apply(2, &modeler.Command{Kind: modeler.PlaceTasks, Place: []modeler.Placement{{Task: task, Attempt: 61, Worker: "w"}}})
	a.Apply(3, &modeler.Command{Kind: modeler.EndTasks, TaskEnds: []modeler.TaskEnd{{Task: task, Attempt: 61, State: modeler.TaskDone}}})
	a.Apply(4, teamTicket(2, job("index", 2)))
	current, _ := a.Job("index")
	assert.Equal(t, current.First, modeler.Attempt(61))
}
