package main_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

func newJob(id string, kind modeler.JobKind, tasks int, cores int64, command string) modeler.Job {
	j := modeler.Job{
		ID: modeler.JobID(id), Team: "team", Kind: kind, Tasks: tasks, Command: command,
		Size: modeler.Resources{Processors: modeler.Millicores(cores * 1000), Memory: 1 << 30},
	}
	if kind != modeler.LongRunning {
		j.Runtime = modeler.Duration(time.Second)
	}
	return j
}

// job returns the status of a job from the first entry host that answers.
func (s *system) job(id modeler.JobID) (modeler.JobStatus, error) {
	var err error
	for _, entryAddress := range s.entryAddresses {
		var status modeler.JobStatus
		if err = s.get(entryAddress, "/v1/jobs/"+string(id), &status); err == nil {
			return status, nil
		}
	}
	return modeler.JobStatus{}, err
}

// awaitJob waits until the job has the given numbers of placed and ended
// tasks.
func (s *system) awaitJob(within time.Duration, id modeler.JobID, placed, ended int) modeler.JobStatus {
	s.t.Helper()
	var status modeler.JobStatus
	s.await(within, fmt.Sprintf("job %s has %d placed and %d ended tasks", id, placed, ended), func() error {
		var err error
		status, err = s.job(id)
		if err == nil && (status.Placed != placed || status.Ended != ended) {
			err = fmt.Errorf("%d waiting, %d placed, %d ended: %s", status.Waiting, status.Placed, status.Ended, status.Reason)
		}
		return err
	})
	return status
}

// taskRuns returns the executions of each task as recorded by the workers.
func (s *system) taskRuns() map[modeler.TaskID][]worker.Execution {
	s.t.Helper()
	out := make(map[modeler.TaskID][]worker.Execution)
	for i, workerAddress := range s.workerAddresses {
		var log worker.Log
		if err := s.get(workerAddress, "/runs", &log); err != nil {
			s.t.Logf("worker %d: %v", i+1, err)
			continue
		}
		for _, run := range log.Runs {
			if run.Kind == worker.TaskRun {
				out[run.Task] = append(out[run.Task], run)
			}
		}
	}
	return out
}

// pauseInterval is the time for which a worker process was stopped.
type pauseInterval struct{ from, to time.Time }

// resumeTime is how long a resumed worker may take to notice that leases have
// expired.
const resumeTime = 100 * time.Millisecond

// clip returns the run with its end moved to the start of the pause if it was
// stopped right after the pause. A stopped process executes nothing, and records
// the end of a run whose lease has expired only when it is resumed.
func (p pauseInterval) clip(run worker.Execution) worker.Execution {
	within := run.Start.Before(p.from) && run.End.After(p.to) && run.End.Before(p.to.Add(resumeTime))
	if within && run.Outcome == string(modeler.TaskStopped) {
		run.End = p.from
	}
	return run
}

// checkNoOverlap fails when two runs of a task overlap in time.
func (s *system) checkNoOverlap(paused pauseInterval) {
	s.t.Helper()
	for task, runs := range s.taskRuns() {
		for i := range runs {
			runs[i] = paused.clip(runs[i])
		}
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				aEnds := a.End.IsZero() || b.Start.Before(a.End)
				bEnds := b.End.IsZero() || a.Start.Before(b.End)
				if aEnds && bEnds {
					s.t.Errorf("task %v runs in two places: %+v and %+v", task, a, b)
				}
			}
		}
	}
}

// checkCapacity fails when the tasks that a worker ran at the same time exceed its
// capacity.
func (s *system) checkCapacity(jobs []modeler.Job) {
	s.t.Helper()
	sizes := make(map[modeler.JobID]modeler.Resources)
	for _, j := range jobs {
		sizes[j.ID] = j.Size
	}
	capacity := modeler.Resources{Processors: 32_000, Memory: modeler.Bytes(s.shape.memory)}
	for _, workerAddress := range s.workerAddresses {
		var log worker.Log
		assert.NilError(s.t, s.get(workerAddress, "/runs", &log))
		for _, at := range log.Runs {
			var used modeler.Resources
			for _, run := range log.Runs {
				if !run.Start.After(at.Start) && (run.End.IsZero() || run.End.After(at.Start)) {
					used = used.Add(sizes[run.Task.Job])
				}
			}
			assert.Assert(s.t, used.Fits(capacity), "%s runs %+v at %s", log.Worker, used, at.Start)
		}
	}
}

// Guards against a ticket with a long-running job, a batch job and a gang whose
// tasks don't all run, run twice, exceed a worker's capacity, or wait without a
// reason in their status.
func TestThreeKindsOfJobs(t *testing.T) {
	s := newSystem(t, kovacic, 3, 2, 4)
	ticket := s.firstTicket()
	ticket.Jobs = []modeler.Job{
		newJob("orders", modeler.LongRunning, 6, 4, ""),
		newJob("indexing", modeler.Batch, 60, 2, "runtime=300ms"),
		newJob("proofs", modeler.Gang, 4, 8, "runtime=500ms"),
		newJob("too-large", modeler.Batch, 1, 64, "runtime=1s"),
	}
	s.apply(ticket)
	s.awaitJob(15*time.Second, "orders", 6, 0)
	s.awaitJob(15*time.Second, "indexing", 0, 60)
	s.awaitJob(15*time.Second, "proofs", 0, 4)
	large, err := s.job("too-large")
	assert.NilError(t, err)
	assert.Equal(t, large.Waiting, 1)
	t.Logf("why too-large waits: %s", large.Reason)
	assert.Assert(t, large.Reason != "")
	s.checkNoOverlap(pauseInterval{})
	s.checkCapacity(ticket.Jobs)
	for task, runs := range s.taskRuns() {
		assert.Equal(t, len(runs), 1, "task %v", task)
	}

	// A submitted job that no worker could ever run is refused; one that fits
	// is run.
	s.await(startTimeout, "the leader knows the workers long enough to refuse", func() error {
		status, body, err := s.post(s.entryAddresses[1], "/v1/jobs", newKey(t), newJob(fmt.Sprint("giant-", time.Now().UnixNano()), modeler.Batch, 1, 640, "runtime=1s"))
		if err == nil && status != http.StatusUnprocessableEntity {
			err = fmt.Errorf("status %d: %s", status, body)
		}
		return err
	})
	key := newKey(t)
	for _, entryAddress := range s.entryAddresses {
		status, body, err := s.post(entryAddress, "/v1/jobs", key, newJob("caller-job", modeler.Batch, 3, 1, "runtime=100ms"))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, body)
	}
	s.awaitJob(15*time.Second, "caller-job", 0, 3)
}

// Guards against tasks that run on two workers or are lost. A worker is paused, the
// leader is killed, the worker is resumed, and another worker is killed and
// restarted.
func TestTasksSurviveFaults(t *testing.T) {
	s := newSystem(t, kitahama, 3, 2, 4)
	ticket := s.firstTicket()
	service := newJob("register", modeler.LongRunning, 8, 2, "")
	once := newJob("headcount", modeler.Batch, 4, 2, "runtime=20s")
	once.AtMostOnce = true
	ticket.Jobs = []modeler.Job{service, once}
	s.apply(ticket)
	s.awaitJob(15*time.Second, "register", 8, 0)
	s.awaitJob(15*time.Second, "headcount", 4, 0)

	s.workers[0].suspend()
	paused := pauseInterval{from: time.Now()}
	s.await(30*time.Second, "tasks of the paused worker are placed elsewhere", func() error {
		status, err := s.job("register")
		if err != nil {
			return err
		}
		for _, task := range status.Tasks {
			if task.Phase != "placed" || task.Worker == "worker-1" {
				return fmt.Errorf("task %d is %s on %s", task.Index, task.Phase, task.Worker)
			}
		}
		return nil
	})
	t.Logf("replaced after %s", time.Since(paused.from).Round(time.Millisecond))
	s.controls[s.leader()].kill()
	paused.to = time.Now()
	s.workers[0].signal(syscall.SIGCONT)
	s.awaitJob(30*time.Second, "register", 8, 0)
	s.workers[1].kill()
	s.workers[1].start()
	s.awaitJob(30*time.Second, "register", 8, 0)
	time.Sleep(6 * time.Second)
	s.awaitJob(30*time.Second, "register", 8, 0)
	s.checkNoOverlap(paused)
	for task, runs := range s.taskRuns() {
		if task.Job == "headcount" {
			assert.Assert(t, len(runs) <= 1, "task %v must not be repeated: %v", task, runs)
		}
	}
}
