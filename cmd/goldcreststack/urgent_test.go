package main_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// urgentStartLimit is the promised time from the submission of an urgent
	// job to its start.
	urgentStartLimit = 1600 * time.Millisecond
	// checkpointTime is the time that a worker takes for a checkpoint.
	checkpointTime = 400 * time.Millisecond
	// urgentRounds is the number of urgent jobs that a test submits.
	urgentRounds = 25
	// fillerTasks is the number of filler tasks for which the cell has room.
	fillerTasks = 13
)

// newFullCell starts a cell and fills it with tasks that can be checkpointed. slow
// is the checkpoint time of the first worker, which has room for one task only:
// the policy pack therefore asks it first to make room for urgent work.
func newFullCell(t *testing.T, slow time.Duration) *system {
	shape := kovacic
	shape.flags = func(worker int) []string {
		if worker == 0 {
			return []string{"--checkpoint", slow.String()}
		}
		return []string{"--checkpoint", checkpointTime.String()}
	}
	shape.cores = func(worker int) int {
		if worker == 0 {
			return 8
		}
		return 32
	}
	s := newSystem(t, shape, 3, 2, 4)
	ticket := s.firstTicket()
	filler := newJob("filler", modeler.Batch, 64, 8, "runtime=1h")
	filler.Checkpoint = true
	ticket.Jobs = []modeler.Job{filler}
	s.apply(ticket)
	s.awaitJob(15*time.Second, "filler", fillerTasks, 0)
	return s
}

// submitUrgent submits an urgent job and returns the time until its task started.
func (s *system) submitUrgent(round int) time.Duration {
	s.t.Helper()
	urgent := newJob(fmt.Sprintf("urgent-%d", round), modeler.Batch, 1, 8, "runtime=300ms")
	urgent.Urgent = true
	began := time.Now()
	status, body, err := s.post(s.entryAddresses[round%len(s.entryAddresses)], "/v1/jobs", newKey(s.t), urgent)
	assert.NilError(s.t, err)
	assert.Equal(s.t, status, http.StatusOK, body)
	s.awaitJob(60*time.Second, urgent.ID, 0, 1)
	runs := s.taskRuns()[modeler.TaskID{Job: urgent.ID}]
	assert.Equal(s.t, len(runs), 1)
	// Waits until the cell is full again for the next submission.
	s.awaitJob(15*time.Second, "filler", fillerTasks, 0)
	return runs[0].Start.Sub(began)
}

// submitRounds submits urgent jobs one after the other. It prints the percentiles
// of the times from submission to start and returns the sorted times.
func (s *system) submitRounds() []time.Duration {
	var times []time.Duration
	for round := range urgentRounds {
		// The varying delay keeps the submissions from being synchronous with
		// the heartbeats.
		time.Sleep(time.Duration(round) * 137 * time.Millisecond % time.Second)
		times = append(times, s.submitUrgent(round).Round(time.Millisecond))
	}
	s.t.Logf("in order: %v", times)
	slices.Sort(times)
	s.t.Logf("URGENT start after: 50%% %s, 90%% %s, highest of %d %s", times[len(times)/2], times[len(times)*9/10], len(times), times[len(times)-1])
	return times
}

// Guards against urgent work that waits for a heartbeat, a tick or a resend in
// addition to the checkpoint that makes room for it.
func TestUrgentWorkStarts(t *testing.T) {
	s := newFullCell(t, checkpointTime)
	times := s.submitRounds()
	assert.Assert(t, times[len(times)-1] < urgentStartLimit)
	s.checkCapacity([]modeler.Job{newJob("filler", modeler.Batch, 1, 8, "")})
	s.checkNoOverlap(pauseInterval{})
}

// Guards against urgent work that waits for a worker whose checkpoint takes an
// hour, while other workers could make room.
func TestUrgentWorkLeavesSlowWorker(t *testing.T) {
	s := newFullCell(t, time.Hour)
	times := s.submitRounds()
	assert.Assert(t, times[0] > 2*checkpointTime, "the slow worker was not asked")
	assert.Assert(t, times[len(times)-1] < urgentStartLimit)
	s.checkCapacity([]modeler.Job{newJob("filler", modeler.Batch, 1, 8, "")})
	s.checkNoOverlap(pauseInterval{})
}
