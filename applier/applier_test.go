package applier_test

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

func teamTicket(number modeler.TicketNumber, jobs ...modeler.Job) *modeler.Command {
	return &modeler.Command{Kind: modeler.ApplyTicket, Ticket: &modeler.Ticket{
		Number: number,
		Teams:  []modeler.Team{{Name: "workshop", Weight: 1, Policy: modeler.Pack}},
		Jobs:   jobs,
	}}
}

func job(id modeler.JobID, tasks int) modeler.Job {
	return modeler.Job{
		ID: id, Team: "workshop", Kind: modeler.Batch, Tasks: tasks,
		Size: modeler.Resources{Processors: 1000}, Runtime: modeler.Duration(time.Minute),
	}
}

// TestHistoriesAgree guards against a task that is placed twice at a time, an
// attempt number that is reused, and replicas or restored snapshots that
// differ, over random histories of commands.
func TestHistoriesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		first, second := applier.New(), applier.New()
		running := make(map[modeler.TaskID]modeler.Attempt)
		highest := make(map[modeler.TaskID]modeler.Attempt)
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for i := range steps {
			index := modeler.Index(i + 1)
			c := drawCommand(rt, modeler.TicketNumber(i+1))
			data := applier.Encode(c)
			firstResult, err := first.ApplyData(index, data)
			assert.NilError(rt, err)
			secondResult, err := second.ApplyData(index, data)
			assert.NilError(rt, err)
			assert.DeepEqual(rt, firstResult, secondResult)
			second.TakeChanges()
			for _, change := range first.TakeChanges() {
				checkChange(rt, change, running, highest)
			}
			if i%7 == 0 {
				saved, err := second.Save()
				assert.NilError(rt, err)
				second = applier.New()
				assert.NilError(rt, second.Load(saved))
			}
		}
		first.EachJob(func(j *applier.Job) {
			other, found := second.Job(j.Spec.ID)
			assert.Assert(rt, found)
			assert.DeepEqual(rt, *j, *other)
		})
	})
}

func drawCommand(rt *rapid.T, number modeler.TicketNumber) *modeler.Command {
	id := modeler.JobID(fmt.Sprintf("job-%d", rapid.IntRange(0, 2).Draw(rt, "job")))
	task := modeler.TaskID{Job: id, Index: modeler.TaskIndex(rapid.IntRange(0, 2).Draw(rt, "task"))}
	attempt := modeler.Attempt(rapid.IntRange(0, 80).Draw(rt, "attempt"))
	c := &modeler.Command{}
	switch rapid.IntRange(0, 5).Draw(rt, "kind") {
	case 0:
		c = teamTicket(number, job(id, rapid.IntRange(1, 3).Draw(rt, "tasks")))
	case 1:
		c = teamTicket(number)
		c.Ticket.Removals.Jobs = []modeler.JobID{id}
	case 2, 3:
		c.Kind = modeler.PlaceTasks
		c.Place = []modeler.Placement{{Task: task, Attempt: attempt, Worker: "w", Generation: 1}}
	case 4:
		c.Kind = modeler.EndTasks
		c.TaskEnds = []modeler.TaskEnd{{Task: task, Attempt: attempt, State: modeler.TaskLost, Retry: rapid.Bool().Draw(rt, "again")}}
	case 5:
		c.Kind = modeler.CancelJobs
		c.Cancel = &modeler.Cancellation{Jobs: []modeler.JobID{id}}
	}
	c.At = modeler.Timestamp(rapid.IntRange(0, 7_200_000).Draw(rt, "at"))
	return c
}

func checkChange(rt *rapid.T, c applier.Change, running, highest map[modeler.TaskID]modeler.Attempt) {
	switch c.Kind {
	case applier.TaskPlaced:
		task := c.Placement.Task
		_, placed := running[task]
		assert.Assert(rt, !placed, "task %v is placed twice", task)
		assert.Assert(rt, c.Placement.Attempt > highest[task], "attempt %d of %v is reused", c.Placement.Attempt, task)
		running[task] = c.Placement.Attempt
		highest[task] = c.Placement.Attempt
	case applier.TaskEnded:
		delete(running, c.End.Task)
	}
}

// TestRepeatedJobRunsOnce guards against a batch job that runs again, after it
// has ended, because a later ticket repeats it unchanged.
func TestRepeatedJobRunsOnce(t *testing.T) {
	a := applier.New()
	a.Apply(1, teamTicket(1, job("index", 1)))
	task := modeler.TaskID{Job: "index"}
	a.Apply(2, &modeler.Command{Kind: modeler.PlaceTasks, Place: []modeler.Placement{{Task: task, Attempt: 2, Worker: "w"}}})
	a.Apply(3, &modeler.Command{Kind: modeler.EndTasks, TaskEnds: []modeler.TaskEnd{{Task: task, Attempt: 2, State: modeler.TaskDone}}})
	a.TakeChanges()
	a.Apply(4, teamTicket(2, job("index", 1)))
	for _, change := range a.TakeChanges() {
		assert.Assert(t, change.Kind != applier.JobAdded)
	}
	a.Apply(5, teamTicket(3, job("index", 2)))
	existing, _ := a.Job("index")
	assert.Equal(t, existing.OpenTasks, 2, "the tasks of a changed job run again")
}

// TestSubmissionIsTakenOnce guards against a submission that adds its job twice
// or loses it when it is resent.
func TestSubmissionIsTakenOnce(t *testing.T) {
	a := applier.New()
	a.Apply(1, teamTicket(1))
	const key = "01980000-0000-7000-8000-000000000001"
	submit := &modeler.Command{Kind: modeler.SubmitJob, At: 0x019800000000, Submit: &modeler.Submission{Key: key, Job: job("proof", 1)}}
	first := a.Apply(2, submit)
	assert.Equal(t, first.Kind, classifier.None, first.Detail)
	again := a.Apply(3, submit)
	assert.Equal(t, again.Kind, classifier.None)
	assert.Assert(t, again.Repeat)
	other := *submit.Submit
	other.Job.Tasks = 2
	submit.Submit = &other
	assert.Equal(t, a.Apply(4, submit).Kind, classifier.KeyReused)
}

// TestJobsInOrder guards against a new leader that places the waiting jobs in
// another order than they arrived.
func TestJobsInOrder(t *testing.T) {
	a := applier.New()
	for i := range 20 {
		a.Apply(modeler.Index(i+1), teamTicket(modeler.TicketNumber(i+1), job(modeler.JobID(fmt.Sprint("job-", (i*7)%20)), 1)))
	}
	for i, got := range a.JobsInOrder() {
		assert.Equal(t, string(got.Spec.ID), fmt.Sprint("job-", (i*7)%20))
	}
}

// TestCopyIsOfOneEntry guards against a snapshot that mixes the states of two
// log entries because commands are applied while it is encoded, and against
// equal states whose snapshots differ. The race detector finds values that the
// copy shares and that are modified.
func TestCopyIsOfOneEntry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, reference := applier.New(), applier.New()
		index := modeler.Index(0)
		apply := func(count int, states ...*applier.Applier) {
			for range count {
				index++
				data := applier.Encode(drawCommand(rt, modeler.TicketNumber(index)))
				for _, state := range states {
					_, err := state.ApplyData(index, data)
					assert.NilError(rt, err)
				}
			}
		}
		apply(rapid.IntRange(1, 60).Draw(rt, "before"), a, reference)
		want, err := reference.Save()
		assert.NilError(rt, err)
		type result struct {
			data []byte
			err  error
		}
		encoded := make(chan result, 1)
		state := a.Copy()
		go func() {
			data, err := state.Encode()
			encoded <- result{data, err}
		}()
		apply(30, a)
		got := <-encoded
		assert.NilError(rt, got.err)
		assert.Assert(rt, bytes.Equal(got.data, want))
		loaded := applier.New()
		assert.NilError(rt, loaded.Load(want))
		same, err := loaded.Save()
		assert.NilError(rt, err)
		assert.Assert(rt, bytes.Equal(same, want))
	})
}

// TestCopyOutlivesChangeOfService guards against a change of a service that
// modifies a copy taken before it.
func TestCopyOutlivesChangeOfService(t *testing.T) {
	a := applier.New()
	register := job("register", 3)
	register.Kind, register.Runtime = modeler.LongRunning, 0
	a.Apply(1, teamTicket(1, register))
	want, err := a.Save()
	assert.NilError(t, err)
	state := a.Copy()
	register.Command = "two"
	a.Apply(2, teamTicket(2, register))
	got, err := state.Encode()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, want))
}

// TestSnapshotHoldsEveryField guards against a new field of Job or Task that is
// missing in snapshots.
func TestSnapshotHoldsEveryField(t *testing.T) {
	a := applier.New()
	a.Apply(1, teamTicket(1, job("job-0", 1)))
	original, found := a.Job("job-0")
	assert.Assert(t, found)
	fill(reflect.ValueOf(original).Elem(), "Spec")
	fill(reflect.ValueOf(&original.Tasks[0]).Elem())
	data, err := a.Save()
	assert.NilError(t, err)
	b := applier.New()
	assert.NilError(t, b.Load(data))
	loaded, found := b.Job("job-0")
	assert.Assert(t, found)
	assert.DeepEqual(t, *loaded, *original)
}

// fill sets every zero field of a struct to a non-zero value, except those
// named.
func fill(v reflect.Value, except ...string) {
	for i := range v.NumField() {
		f := v.Field(i)
		if !f.IsZero() || slices.Contains(except, v.Type().Field(i).Name) {
			continue
		}
		switch f.Kind() {
		case reflect.Bool:
			f.SetBool(true)
		case reflect.String:
			f.SetString("x")
		case reflect.Pointer:
			f.Set(reflect.New(f.Type().Elem()))
		case reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		case reflect.Map:
			f.Set(reflect.MakeMap(f.Type()))
		case reflect.Int, reflect.Int64:
			f.SetInt(1)
		default:
			f.SetUint(1)
		}
	}
}

// Guards against a command that is accepted, but ends every control process that
// applies it, at once and at each later start, since it holds a long list.
func TestLongListsAreApplied(t *testing.T) {
	const long = 1 << 18
	layout := &modeler.Layout{Number: 1, Queues: make([]modeler.Queue, long)}
	flow := &modeler.Flow{ID: "0123456789abcdef", Steps: []modeler.Step{{Count: 1}, {Count: 1, After: make([]modeler.StepIndex, long)}}}
	worker := modeler.WorkerAnnouncement{ID: "i-1", Labels: make([]string, long)}
	for i, c := range []*modeler.Command{
		{Kind: modeler.SetLayout, Layout: layout},
		{Kind: modeler.SubmitFlow, Flow: flow},
		{Kind: modeler.RecordWorkers, Announcements: []modeler.WorkerAnnouncement{worker}},
	} {
		result, err := applier.New().ApplyData(modeler.Index(i+1), applier.Encode(c))
		assert.NilError(t, err)
		assert.Equal(t, result.Kind, classifier.None)
	}
}

// Guards against a command that is accepted, but ends every control process that
// applies it or loads a snapshot with it, since a string isn't valid UTF-8.
func TestStringsOfAnyBytesAreApplied(t *testing.T) {
	state := applier.New()
	worker := modeler.WorkerAnnouncement{ID: "\xff"}
	_, err := state.ApplyData(1, applier.Encode(&modeler.Command{Kind: modeler.RecordWorkers, Announcements: []modeler.WorkerAnnouncement{worker}}))
	assert.NilError(t, err)
	saved, err := state.Save()
	assert.NilError(t, err)
	loaded := applier.New()
	assert.NilError(t, loaded.Load(saved))
	assert.DeepEqual(t, loaded.Flows().Workers(), map[modeler.WorkerID]modeler.WorkerAnnouncement{"\xff": worker})
}
