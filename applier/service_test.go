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

// cell joins the state machine with a leader that places and replaces tasks
// and with workers that run them.
type cell struct {
	t       *rapid.T
	a       *applier.Applier
	index   modeler.Index
	ticket  modeler.TicketNumber
	attempt modeler.Attempt
	newest  *modeler.Job // nil after a removal
	// runs holds the content that each running attempt was started with.
	runs map[modeler.TaskID]modeler.Job
	// steps are commands of leaders, which may come again or too late.
	steps []*modeler.Command
}

func (c *cell) apply(command *modeler.Command) {
	c.index++
	inService := c.inService()
	_, err := c.a.ApplyData(c.index, applier.Encode(command))
	assert.NilError(c.t, err)
	for _, change := range c.a.Changes() {
		switch change.Kind {
		case applier.TaskPlaced:
			id := change.Placement.Task
			_, found := c.runs[id]
			assert.Assert(c.t, !found, "task %v runs in two places", id)
			job, _ := c.a.Job(id.Job)
			c.runs[id] = job.Spec
		case applier.TaskEnded:
			delete(c.runs, change.End.Task)
		}
	}
	if command.Kind == modeler.ReplaceTasks {
		c.steps = append(c.steps, command)
		c.checkBound(inService)
	}
}

// inService lists the attempts that the log counts as in service.
func (c *cell) inService() map[int]modeler.Attempt {
	out := make(map[int]modeler.Attempt)
	if job, found := c.a.Job("register"); found {
		for i, task := range job.Tasks {
			if task.Ready {
				out[i] = task.Attempt
			}
		}
	}
	return out
}

// checkBound fails when a step has stopped more tasks in service than it may.
func (c *cell) checkBound(before map[int]modeler.Attempt) {
	job, found := c.a.Job("register")
	if !found || job.Change == nil {
		return
	}
	stopped := 0
	for i, attempt := range before {
		if job.Tasks[i].Leaving && job.Tasks[i].Attempt == attempt {
			stopped++
		}
	}
	missing := job.Change.Base - len(c.inService())
	assert.Assert(c.t, stopped == 0 || missing <= replacer.Step(&job.Spec), "%d tasks are missing", missing)
}

func (c *cell) set(job modeler.Job) {
	c.ticket++
	c.newest = &job
	c.apply(teamTicket(c.ticket, job))
}

func (c *cell) remove() {
	if c.newest == nil {
		return
	}
	c.ticket++
	c.newest = nil
	command := teamTicket(c.ticket)
	command.Ticket.Removals.Jobs = []modeler.JobID{"register"}
	c.apply(command)
}

// place places the waiting tasks; a placement that was decided for an earlier
// content must be refused.
func (c *cell) place(job *applier.Job, stale bool) {
	for i := range job.Tasks {
		if job.Tasks[i].Phase != applier.Waiting {
			continue
		}
		c.attempt = max(c.attempt, job.Tasks[i].Attempt) + 1
		p := modeler.Placement{Task: modeler.TaskID{Job: "register", Index: modeler.TaskIndex(i)}, Attempt: c.attempt, Worker: "w", Version: job.First}
		if stale {
			p.Version++
		}
		c.apply(&modeler.Command{Kind: modeler.PlaceTasks, Place: []modeler.Placement{p}})
		assert.Equal(c.t, job.Tasks[i].Phase == applier.Waiting, stale, "placement of version %d", p.Version)
	}
}

func (c *cell) end(job *applier.Job, i int, state modeler.TaskState, again bool) {
	if i >= len(job.Tasks) || job.Tasks[i].Phase != applier.Placed {
		return
	}
	id := modeler.TaskID{Job: "register", Index: modeler.TaskIndex(i)}
	c.apply(&modeler.Command{Kind: modeler.EndTasks, TaskEnds: []modeler.TaskEnd{{Task: id, Attempt: job.Tasks[i].Attempt, State: state, Retry: again}}})
}

// replace takes one step of a leader to which all tasks look steady.
func (c *cell) replace(job *applier.Job) {
	if job.Change == nil {
		return
	}
	change := &replacer.Change{Step: replacer.Step(&job.Spec), Base: job.Change.Base}
	for i, task := range job.Tasks {
		change.Tasks = append(change.Tasks, replacer.Task{
			Placed: task.Phase == applier.Placed, Former: task.Former != 0, Surplus: i >= job.Spec.Tasks, Leaving: task.Leaving, Ready: task.Ready,
			Reported: true, Running: replacer.Steady,
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
	c.apply(&modeler.Command{Kind: modeler.ReplaceTasks, Replace: r})
}

// stopLeaving ends what a change or a cancellation stops, as the supervisor
// reports the end of a task that must not be repeated.
func (c *cell) stopLeaving(job *applier.Job) {
	for i := 0; i < len(job.Tasks); i++ {
		if job.Tasks[i].Leaving || job.Cancelled {
			c.end(job, i, modeler.TaskStopped, false)
		}
	}
}

// reload stands for a new leader that starts from a snapshot.
func (c *cell) reload() {
	data, err := c.a.Save()
	assert.NilError(c.t, err)
	c.a = applier.New()
	assert.NilError(c.t, c.a.Load(data))
}

// step does one random thing.
func (c *cell) step() {
	job, found := c.a.Job("register")
	kind := rapid.IntRange(0, 10).Draw(c.t, "kind")
	if !found && kind > 1 {
		kind = 0
	}
	switch kind {
	case 0:
		c.set(drawService(c.t))
	case 1:
		if rapid.Bool().Draw(c.t, "remove") {
			c.remove()
		}
	case 2, 3:
		c.place(job, rapid.IntRange(0, 4).Draw(c.t, "stale") == 0)
	case 4, 5:
		c.replace(job)
	case 6:
		c.stopLeaving(job)
	case 7:
		state := rapid.SampledFrom([]modeler.TaskState{modeler.TaskLost, modeler.TaskFailed, modeler.TaskDone}).Draw(c.t, "state")
		c.end(job, rapid.IntRange(0, 5).Draw(c.t, "task"), state, state != modeler.TaskDone)
	case 8:
		c.reload()
	default:
		// A former leader's command arrives late, or again.
		if len(c.steps) > 0 {
			c.apply(rapid.SampledFrom(c.steps).Draw(c.t, "late"))
		}
	}
}

func drawService(t *rapid.T) modeler.Job {
	j := job("register", rapid.IntRange(1, 5).Draw(t, "tasks"))
	if rapid.IntRange(0, 9).Draw(t, "batch") > 0 {
		j.Kind, j.Runtime = modeler.LongRunning, 0
		j.Step = rapid.IntRange(0, j.Tasks).Draw(t, "step")
	}
	j.Command = rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "command")
	j.Size.Processors = modeler.Millicores(rapid.IntRange(1, 2).Draw(t, "size"))
	return j
}

// Guards against a change that does not end in the state of the newest ticket,
// stops more than its step, or runs a task twice: over random tickets, ends,
// snapshots, late placements and late commands of former leaders.
func TestChangesEndInTheNewestTicket(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &cell{t: rt, a: applier.New(), runs: map[modeler.TaskID]modeler.Job{}}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			c.step()
		}
		if c.newest != nil && c.newest.Kind == modeler.LongRunning {
			// What has ended by itself runs again under a new content.
			next := *c.newest
			next.Command = "last"
			c.set(next)
		}
		for range 40 {
			if job, found := c.a.Job("register"); found {
				c.place(job, false)
			}
			if job, found := c.a.Job("register"); found {
				c.replace(job)
				c.stopLeaving(job)
			}
		}
		if c.newest == nil {
			assert.Equal(rt, len(c.runs), 0)
			return
		}
		held, _ := c.a.Job("register")
		if c.newest.Kind != modeler.LongRunning {
			assert.Assert(rt, held.Next == nil && !held.Cancelled)
		} else {
			assert.Equal(rt, len(c.runs), c.newest.Tasks)
			assert.Assert(rt, held.Change == nil)
		}
		assert.DeepEqual(rt, held.Spec, *c.newest)
		for _, content := range c.runs {
			content.Tasks, content.Step = c.newest.Tasks, c.newest.Step
			assert.DeepEqual(rt, content, *c.newest)
		}
	})
}

// Guards against a change that takes more than its step out of service while
// nothing else fails, at every kind of change and with a second ticket at
// every step of the first.
func TestChangeKeepsTheOthersRunning(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &cell{t: rt, a: applier.New(), runs: map[modeler.TaskID]modeler.Job{}}
		first := drawService(rt)
		first.Kind, first.Runtime = modeler.LongRunning, 0
		c.set(first)
		floor := first.Tasks
		for range rapid.IntRange(1, 12).Draw(rt, "rounds") {
			job, _ := c.a.Job("register")
			c.place(job, false)
			if rapid.IntRange(0, 3).Draw(rt, "ticket") == 0 {
				next := drawService(rt)
				next.Kind, next.Runtime = modeler.LongRunning, 0
				next.Step = min(2, next.Tasks)
				c.set(next)
				floor = min(floor, next.Tasks)
			}
			c.replace(job)
			running := 0
			for _, task := range job.Tasks {
				if task.Phase == applier.Placed && !task.Leaving {
					running++
				}
			}
			assert.Assert(rt, running >= floor-2, "%d of %d run", running, floor)
			if rapid.Bool().Draw(rt, "end") {
				c.stopLeaving(job)
			}
			if rapid.Bool().Draw(rt, "reload") {
				c.reload()
			}
		}
	})
}

// oldSnapshot is a snapshot from before services had changes: register with two
// tasks, the first placed.
const oldSnapshot = "pQEAAgIDpwEBAgEDoAShaHdvcmtzaG9wpGRuYW1laHdvcmtzaG9wZXF1b3Rho2pwcm9jZXNzb3JzAGZtZW1vcnkAbGFjY2VsZXJhdG9ycwBmd2VpZ2h0" +
	"AWZwb2xpY3lkcGFjawWhaHJlZ2lzdGVypmJpZGhyZWdpc3RlcmR0ZWFtaHdvcmtzaG9wZGtpbmRnc2VydmljZWV0YXNrcwJkc2l6ZaNqcHJvY2Vzc29ycxkD" +
	"6GZtZW1vcnkAbGFjY2VsZXJhdG9ycwBnY29tbWFuZGNvbmUGgaMBAQIbgvDMLrHauMUDAQcABKIBgAKABYGmAaZiaWRocmVnaXN0ZXJkdGVhbWh3b3Jrc2hv" +
	"cGRraW5kZ3NlcnZpY2VldGFza3MCZHNpemWjanByb2Nlc3NvcnMZA+hmbWVtb3J5AGxhY2NlbGVyYXRvcnMAZ2NvbW1hbmRjb25lAvUEAAaCpAEBAgIDYXcE" +
	"AaECAQgBCQI="

// Guards against a snapshot of an earlier release that can't be loaded, or a
// change that doesn't begin from it.
func TestOldSnapshotIsChanged(t *testing.T) {
	data, err := base64.StdEncoding.DecodeString(oldSnapshot)
	assert.NilError(t, err)
	a := applier.New()
	assert.NilError(t, a.Load(data))
	next := job("register", 2)
	next.Kind, next.Runtime, next.Command = modeler.LongRunning, 0, "two"
	a.Apply(3, teamTicket(2, next))
	held, _ := a.Job("register")
	assert.Equal(t, held.Tasks[0].Phase, applier.Placed)
	assert.Equal(t, held.SpecOf(&held.Tasks[0]).Command, "one")
	assert.Equal(t, held.SpecOf(&held.Tasks[1]).Command, "two")
}

// Guards against an attempt that a worker may know from the former content of
// a job, when attempts have passed the log index: random histories met it once
// in 10,000.
func TestAttemptsDoNotComeBack(t *testing.T) {
	a := applier.New()
	a.Apply(1, teamTicket(1, job("index", 1)))
	task := modeler.TaskID{Job: "index"}
	a.Apply(2, &modeler.Command{Kind: modeler.PlaceTasks, Place: []modeler.Placement{{Task: task, Attempt: 61, Worker: "w"}}})
	a.Apply(3, &modeler.Command{Kind: modeler.EndTasks, TaskEnds: []modeler.TaskEnd{{Task: task, Attempt: 61, State: modeler.TaskDone}}})
	a.Apply(4, teamTicket(2, job("index", 2)))
	held, _ := a.Job("index")
	assert.Equal(t, held.First, modeler.Attempt(61))
}
