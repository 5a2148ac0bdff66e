package main_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
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

const (
	// probeInterval is the time between two syncs of a diskProbe.
	probeInterval = 100 * time.Millisecond
	// minStall is the shortest sync that counts as a stall of the disk.
	minStall = 50 * time.Millisecond
)

// diskProbe measures how long the disk stalls. The control processes sync each
// decision to the same disk, and other programs on the machine can delay a sync by
// seconds.
type diskProbe struct {
	mu     sync.Mutex
	stalls []span
}

// newDiskProbe writes and syncs a small file in the folder until the test ends.
func newDiskProbe(t *testing.T, folder string) *diskProbe {
	file, err := os.Create(filepath.Join(folder, "probe"))
	assert.NilError(t, err)
	p := &diskProbe{}
	ended := make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		<-ended
		_ = file.Close()
	})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			begin := time.Now()
			_, writeErr := file.WriteAt(make([]byte, 512), 0)
			assert.Check(t, writeErr)
			assert.Check(t, file.Sync())
			if end := time.Now(); end.Sub(begin) >= minStall {
				p.mu.Lock()
				p.stalls = append(p.stalls, span{begin, end})
				p.mu.Unlock()
			}
			time.Sleep(probeInterval)
		}
	}()
	return p
}

// stalledTime returns for how long the disk has stalled between two times.
func (p *diskProbe) stalledTime(from, to time.Time) (sum time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.stalls {
		begin, end := s.begin, s.end
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(0, end.Sub(begin))
	}
	return sum
}

// submitUrgent submits an urgent job and returns the time until its task started.
func (s *system) submitUrgent(round int) span {
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
	return span{began, runs[0].Start}
}

// submitRounds submits urgent jobs one after the other. It returns the shortest time
// from submission to start, and the longest one without the time for which the disk
// stalled; it prints the percentiles of the latter.
func (s *system) submitRounds(disk *diskProbe) (shortest, longest time.Duration) {
	var times, totals []time.Duration
	for round := range urgentRounds {
		// The varying delay keeps the submissions from being synchronous with
		// the heartbeats.
		time.Sleep(time.Duration(round) * 137 * time.Millisecond % time.Second)
		wait := s.submitUrgent(round)
		total, stalled := wait.end.Sub(wait.begin), disk.stalledTime(wait.begin, wait.end)
		if stalled > 0 {
			s.t.Logf("round %d: the task started after %s, of which the disk stalled for %s", round, total, stalled)
		}
		times = append(times, (total - stalled).Round(time.Millisecond))
		totals = append(totals, total)
	}
	s.t.Logf("in order: %v", times)
	slices.Sort(times)
	s.t.Logf("URGENT start after: 50%% %s, 90%% %s, highest of %d %s", times[len(times)/2], times[len(times)*9/10], len(times), times[len(times)-1])
	return slices.Min(totals), times[len(times)-1]
}

// Guards against urgent work that waits for a heartbeat, a tick or a resend in
// addition to the checkpoint that makes room for it.
func TestUrgentWorkStarts(t *testing.T) {
	s := newFullCell(t, checkpointTime)
	_, longest := s.submitRounds(newDiskProbe(t, s.folder))
	assert.Assert(t, longest < urgentStartLimit)
	s.checkCapacity([]modeler.Job{newJob("filler", modeler.Batch, 1, 8, "")})
	s.checkNoOverlap(pauseInterval{})
}

// Guards against urgent work that waits for a worker whose checkpoint takes an
// hour, while other workers could make room.
func TestUrgentWorkLeavesSlowWorker(t *testing.T) {
	s := newFullCell(t, time.Hour)
	shortest, longest := s.submitRounds(newDiskProbe(t, s.folder))
	assert.Assert(t, shortest > 2*checkpointTime, "the slow worker was not asked")
	assert.Assert(t, longest < urgentStartLimit)
	s.checkCapacity([]modeler.Job{newJob("filler", modeler.Batch, 1, 8, "")})
	s.checkNoOverlap(pauseInterval{})
}
