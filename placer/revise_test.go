package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

// TestReviseKeepsRoom guards against resources that are allocated twice or never
// freed when a service gets another size while its tasks run. The caller then
// withdraws the job, and restores the running tasks as a job of the former size.
func TestReviseKeepsRoom(t *testing.T) {
	now := modeler.ClockReading(time.Hour)
	p := placer.New(placer.Settings{})
	p.SetTeam(now, modeler.Team{Name: "a", Weight: 1, Policy: modeler.Spread, Quota: res(64_000, 64, 0)})
	p.SetWorker(now, placer.Worker{ID: "w", Generation: 1, Region: "r", Domain: "d", Rack: "k", Capacity: res(8000, 8, 0)})
	job := modeler.Job{ID: "register", Team: "a", Kind: modeler.LongRunning, Tasks: 2, Size: res(4000, 4, 0)}
	p.Submit(now, job)
	assert.Equal(t, len(p.Decide(now, 10)), 2)

	p.Withdraw(now, "register")
	former, next := job, job
	former.ID = "register@0"
	next.Size = res(3000, 3, 0)
	held := []placer.TaskRecord{{Attempt: 1, Worker: "w", Generation: 1}, {Index: 1, Attempt: 1, Worker: "w", Generation: 1}}
	p.Restore(now, former, held)
	p.Restore(now, next, []placer.TaskRecord{{Attempt: 1, Over: true}, {Index: 1, Attempt: 1, Over: true}})
	stats := p.Stats()
	assert.Equal(t, stats.Declared, res(8000, 8, 0))
	assert.Equal(t, stats.Waiting, 0)

	// The placer doesn't keep a job of which all tasks are finished, so the
	// caller restores the job again when its first task is to be placed.
	first := modeler.TaskID{Job: "register"}
	p.EndAttempt(now, modeler.TaskEnd{Task: modeler.TaskID{Job: former.ID}, Attempt: 1, State: modeler.TaskStopped})
	assert.Assert(t, !p.Reopen(now, first, 9))
	p.Restore(now, next, []placer.TaskRecord{{Attempt: 9}, {Index: 1, Attempt: 1, Over: true}})
	assert.Assert(t, p.HasWaitingTasks("register"))
	out := p.Decide(now, 10)
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Placement.Attempt, modeler.Attempt(10))
	assert.Equal(t, p.Stats().Declared, res(7000, 7, 0))

	second := modeler.TaskID{Job: "register", Index: 1}
	p.EndAttempt(now, modeler.TaskEnd{Task: modeler.TaskID{Job: former.ID, Index: 1}, Attempt: 1, State: modeler.TaskStopped})
	for range 2 {
		assert.Assert(t, p.Reopen(now, second, 9))
	}
	assert.Equal(t, len(p.Decide(now, 10)), 1)
	assert.Equal(t, p.Stats().Declared, res(6000, 6, 0))
}

// redirectCell returns a placer with n workers, each full with one preemptible
// task, and an urgent job. It also returns the decision that checkpoints one of
// the tasks for the urgent job.
func redirectCell(t *testing.T, n int) (*placer.Placer, modeler.ClockReading, placer.Decision) {
	now := modeler.ClockReading(time.Hour)
	p := placer.New(placer.Settings{})
	p.SetTeam(now, modeler.Team{Name: "a", Weight: 1, Policy: modeler.Pack, Quota: res(64_000, 64, 0)})
	for i := range n {
		id := modeler.WorkerID(rune('a' + i))
		p.SetWorker(now, placer.Worker{ID: id, Generation: 1, Region: "r", Domain: "d", Rack: "k", Capacity: res(4000, 4, 0)})
	}
	filler := modeler.Job{ID: "filler", Team: "a", Kind: modeler.Batch, Runtime: 1, Tasks: n, Size: res(4000, 4, 0), Checkpoint: true}
	p.Submit(now, filler)
	assert.Equal(t, len(p.Decide(now, 10)), n)
	p.Submit(now, modeler.Job{ID: "proof", Team: "a", Kind: modeler.Batch, Runtime: 1, Tasks: 1, Size: res(4000, 4, 0), Urgent: true})
	out := p.Decide(now, 10)
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Verb, modeler.CheckpointTask)
	return p, now, out[0]
}

// endCheckpointed ends the checkpointed task and returns the decisions that
// follow.
func endCheckpointed(p *placer.Placer, now modeler.ClockReading, d placer.Decision) []placer.Decision {
	p.EndAttempt(now, modeler.TaskEnd{Task: d.Placement.Task, Attempt: d.Placement.Attempt, State: modeler.TaskCheckpointed, Retry: true})
	p.RedirectEarmarks(now, time.Second)
	return p.Decide(now, 10)
}

// TestRedirect guards against an urgent job that waits for a slow checkpoint on
// one worker while another worker could make room, that doesn't take the room
// which becomes free first, or that has more tasks checkpointed than it needs.
func TestRedirect(t *testing.T) {
	for _, first := range []bool{false, true} {
		p, now, asked := redirectCell(t, 3)
		p.RedirectEarmarks(now.Add(900*time.Millisecond), time.Second)
		assert.Equal(t, len(p.Decide(now.Add(900*time.Millisecond), 10)), 0)
		now = now.Add(time.Second)
		p.RedirectEarmarks(now, time.Second)
		out := p.Decide(now, 10)
		assert.Equal(t, len(out), 1)
		assert.Equal(t, out[0].Verb, modeler.CheckpointTask)
		assert.Assert(t, out[0].Placement.Worker != asked.Placement.Worker)
		free := out[0]
		if first {
			free = asked
		}
		out = endCheckpointed(p, now.Add(time.Millisecond), free)
		assert.Equal(t, len(out), 1)
		assert.Equal(t, out[0].Verb, modeler.StartTask)
		assert.Equal(t, out[0].Placement.Task.Job, modeler.JobID("proof"))
		assert.Equal(t, out[0].Placement.Worker, free.Placement.Worker)
	}

	// In a cell with one worker the job keeps waiting for that worker.
	p, now, asked := redirectCell(t, 1)
	for range 5 {
		now = now.Add(time.Second)
		p.RedirectEarmarks(now, time.Second)
		assert.Equal(t, len(p.Decide(now, 10)), 0)
	}
	out := endCheckpointed(p, now, asked)
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Placement.Task.Job, modeler.JobID("proof"))
}
