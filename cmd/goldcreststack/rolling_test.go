package main_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// lowestRunning returns the lowest number of the job's tasks that ran at the same
// time at any moment after since.
func (s *system) lowestRunning(id modeler.JobID, since time.Time) int {
	s.t.Helper()
	type edge struct {
		at time.Time
		by int
	}
	var edges []edge
	for task, runs := range s.taskRuns() {
		for _, run := range runs {
			if task.Job != id {
				continue
			}
			edges = append(edges, edge{run.Start, 1})
			if !run.End.IsZero() {
				edges = append(edges, edge{run.End, -1})
			}
		}
	}
	slices.SortFunc(edges, func(a, b edge) int { return a.at.Compare(b.at) })
	running, lowest := 0, len(edges)
	for i, e := range edges {
		running += e.by
		if e.at.After(since) || i+1 < len(edges) && edges[i+1].at.After(since) {
			lowest = min(lowest, running)
		}
	}
	return lowest
}

// awaitChange waits until the rolling change of a job is over and all its tasks
// are placed. It returns the time that has passed after since.
func (s *system) awaitChange(within time.Duration, id modeler.JobID, tasks int, since time.Time) time.Duration {
	s.t.Helper()
	s.await(within, fmt.Sprintf("the change of %s is over", id), func() error {
		status, err := s.job(id)
		if err == nil && (status.Placed != tasks || status.Total != tasks || status.Change != nil || status.Cancelled) {
			err = fmt.Errorf("%d placed of %d: %+v", status.Placed, status.Total, status.Change)
		}
		return err
	})
	return time.Since(since)
}

// Guards against a rolling change that stops, takes more tasks out of service
// than its step allows, or runs a task on two workers. The leader is killed after
// the first tasks are replaced.
func TestRollingChange(t *testing.T) {
	s := newSystem(t, kitahama, 3, 2, 4)
	ticket := s.firstTicket()
	ticket.Jobs = []modeler.Job{newJob("register", modeler.LongRunning, 8, 4, "version=1")}
	s.apply(ticket)
	s.awaitJob(15*time.Second, "register", 8, 0)
	time.Sleep(2 * time.Second)

	const step = 2
	ticket.Jobs[0].Command = "version=2"
	ticket.Jobs[0].Step = step
	began := time.Now()
	s.apply(ticket)
	s.await(30*time.Second, "the first tasks are replaced", func() error {
		status, err := s.job("register")
		if err == nil && (status.Change == nil || status.Change.Replaced == 0) {
			err = fmt.Errorf("%+v", status.Change)
		}
		return err
	})
	s.controls[s.leader()].kill()
	t.Logf("the leader was killed after %s", time.Since(began).Round(time.Millisecond))
	took := s.awaitChange(2*time.Minute, "register", 8, began)
	lowest := s.lowestRunning("register", began)
	t.Logf("8 tasks changed in %s, never less than %d running", took.Round(10*time.Millisecond), lowest)
	assert.Assert(t, lowest >= 8-step)
	s.checkNoOverlap(pauseInterval{})
	for task, runs := range s.taskRuns() {
		last := slices.MaxFunc(runs, func(a, b worker.Execution) int { return int(a.Attempt) - int(b.Attempt) })
		assert.Assert(t, len(runs) >= 2 && last.End.IsZero(), "task %v was not replaced: %+v", task, runs)
	}

	// New tasks that fail at once halt the change while the other tasks run
	// on, and a ticket with the former content ends the change.
	broken := ticket.Jobs[0]
	broken.Command = "exit=fail"
	began = time.Now()
	s.apply(&modeler.Ticket{Jobs: []modeler.Job{broken}})
	s.await(30*time.Second, "the change halts", func() error {
		status, err := s.job("register")
		if err == nil && (status.Change == nil || !status.Change.Halted || status.Change.Former != 8-step) {
			err = fmt.Errorf("%+v", status.Change)
		}
		return err
	})
	time.Sleep(5 * time.Second)
	status, err := s.job("register")
	assert.NilError(t, err)
	t.Logf("halted: %+v", *status.Change)
	assert.Equal(t, status.Change.Former, 8-step)
	s.apply(&modeler.Ticket{Jobs: []modeler.Job{ticket.Jobs[0]}})
	s.awaitChange(time.Minute, "register", 8, began)
	lowest = s.lowestRunning("register", began)
	t.Logf("after a broken content and the way back: never less than %d running", lowest)
	assert.Assert(t, lowest >= 8-step)
	s.checkNoOverlap(pauseInterval{})
}

// Guards against a change that doesn't end in the state of the newest ticket.
// The tickets add tasks, change the task size during a change while a worker is
// killed, reduce the count, ask for a size that no worker has room for, change
// the job's kind, and remove the job during a change.
func TestNewestTicketWins(t *testing.T) {
	s := newSystem(t, kitahama, 3, 2, 4)
	ticket := s.firstTicket()
	job := newJob("register", modeler.LongRunning, 6, 4, "version=1")
	apply := func(change func(j *modeler.Job)) {
		change(&job)
		ticket.Jobs = []modeler.Job{job}
		s.apply(ticket)
	}
	apply(func(*modeler.Job) {})
	s.awaitJob(15*time.Second, "register", 6, 0)

	began := time.Now()
	apply(func(j *modeler.Job) { j.Tasks, j.Step, j.Command = 10, 3, "version=2" })
	time.Sleep(2 * time.Second)
	apply(func(j *modeler.Job) { j.Tasks, j.Size.Processors = 8, 2000 })
	s.workers[1].kill()
	s.workers[1].start()
	s.awaitChange(time.Minute, "register", 8, began)
	s.checkNoOverlap(pauseInterval{})

	// A change of the task count alone replaces no task.
	before := len(s.taskRuns()[modeler.TaskID{Job: "register"}])
	began = time.Now()
	apply(func(j *modeler.Job) { j.Tasks = 5 })
	s.awaitChange(15*time.Second, "register", 5, began)
	assert.Equal(t, len(s.taskRuns()[modeler.TaskID{Job: "register"}]), before)
	assert.Equal(t, s.lowestRunning("register", began), 5)

	apply(func(j *modeler.Job) { j.Size.Processors = 33_000 })
	s.await(15*time.Second, "the change halts without room", func() error {
		status, err := s.job("register")
		if err == nil && (status.Change == nil || !status.Change.Halted || status.Change.Former != 2) {
			err = fmt.Errorf("%+v", status.Change)
		}
		return err
	})
	status, err := s.job("register")
	assert.NilError(t, err)
	t.Logf("halted: %+v", *status.Change)
	assert.Equal(t, s.lowestRunning("register", began), 2)

	apply(func(j *modeler.Job) {
		j.Kind, j.Runtime, j.Step = modeler.Batch, modeler.Duration(time.Second), 0
		j.Size.Processors, j.Command = 1000, "runtime=300ms"
	})
	s.awaitJob(15*time.Second, "register", 0, 5)
	apply(func(j *modeler.Job) {
		j.Kind, j.Runtime, j.Tasks, j.Command = modeler.LongRunning, 0, 4, "version=3"
	})
	s.awaitJob(15*time.Second, "register", 4, 0)
	apply(func(j *modeler.Job) { j.Command = "version=4" })
	s.apply(&modeler.Ticket{Removals: modeler.Removal{Jobs: []modeler.JobID{"register"}}})
	s.awaitJob(15*time.Second, "register", 0, 4)
	s.checkNoOverlap(pauseInterval{})
	assert.Equal(t, s.status().Workers.Used, modeler.Resources{})
}
