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

func jobOf(id string, kind modeler.JobKind, tasks int, cores int64, command string) modeler.Job {
	j := modeler.Job{
		ID: modeler.JobID(id), Team: "team", Kind: kind, Tasks: tasks, Command: command,
		Size: modeler.Resources{Processors: modeler.Millicores(cores * 1000), Memory: 1 << 30},
	}
	if kind != modeler.LongRunning {
		j.Runtime = modeler.Duration(time.Second)
	}
	return j
}

// job asks for one job.
func (s *system) job(id modeler.JobID) (modeler.JobStatus, error) {
	var err error
	for _, front := range s.fronts {
		var status modeler.JobStatus
		if err = s.get(front, "/v1/jobs/"+string(id), &status); err == nil {
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

// taskRuns collects what the workers have run, by task.
func (s *system) taskRuns() map[modeler.TaskID][]worker.Execution {
	s.t.Helper()
	out := make(map[modeler.TaskID][]worker.Execution)
	for i, back := range s.backs {
		var log worker.Log
		if err := s.get(back, "/runs", &log); err != nil {
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

// pause is the time for which a worker process was stopped.
type pause struct{ from, to time.Time }

// resumeTime is how long a resumed worker may take to notice that leases have
// run out.
const resumeTime = 100 * time.Millisecond

// clip ends a run with the pause that it did not outlive: a stopped process
// executes nothing, and notes the end of the lease when it is resumed.
func (p pause) clip(run worker.Execution) worker.Execution {
	within := run.Start.Before(p.from) && run.End.After(p.to) && run.End.Before(p.to.Add(resumeTime))
	if within && run.How == string(modeler.TaskStopped) {
		run.End = p.from
	}
	return run
}

// checkOnePlace fails when two runs of a task overlap.
func (s *system) checkOnePlace(paused pause) {
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

// checkCapacity fails when a worker ran more at a time than it has.
func (s *system) checkCapacity(jobs []modeler.Job) {
	s.t.Helper()
	sizes := make(map[modeler.JobID]modeler.Resources)
	for _, j := range jobs {
		sizes[j.ID] = j.Size
	}
	capacity := modeler.Resources{Processors: 32_000, Memory: modeler.Bytes(s.shape.memory)}
	for _, back := range s.backs {
		var log worker.Log
		assert.NilError(s.t, s.get(back, "/runs", &log))
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

// Guards against a break on the way of a task: a ticket with a service, a
// batch job and a gang runs all three, and status tells where and why.
func TestThreeKindsOfJobs(t *testing.T) {
	s := newSystem(t, kovacic, 3, 2, 4)
	k := s.firstTicket()
	k.Jobs = []modeler.Job{
		jobOf("orders", modeler.LongRunning, 6, 4, ""),
		jobOf("indexing", modeler.Batch, 60, 2, "runtime=300ms"),
		jobOf("proofs", modeler.Gang, 4, 8, "runtime=500ms"),
		jobOf("too-large", modeler.Batch, 1, 64, "runtime=1s"),
	}
	s.apply(k)
	s.awaitJob(15*time.Second, "orders", 6, 0)
	s.awaitJob(15*time.Second, "indexing", 0, 60)
	s.awaitJob(15*time.Second, "proofs", 0, 4)
	large, err := s.job("too-large")
	assert.NilError(t, err)
	assert.Equal(t, large.Waiting, 1)
	t.Logf("why too-large waits: %s", large.Reason)
	assert.Assert(t, large.Reason != "")
	s.checkOnePlace(pause{})
	s.checkCapacity(k.Jobs)
	for task, runs := range s.taskRuns() {
		assert.Equal(t, len(runs), 1, "task %v", task)
	}

	// A caller's job that can never run is refused, and one that can runs.
	s.await(startWithin, "the leader knows the workers long enough to refuse", func() error {
		status, body, err := s.post(s.fronts[1], "/v1/jobs", newKey(t), jobOf(fmt.Sprint("giant-", time.Now().UnixNano()), modeler.Batch, 1, 640, "runtime=1s"))
		if err == nil && status != http.StatusUnprocessableEntity {
			err = fmt.Errorf("status %d: %s", status, body)
		}
		return err
	})
	key := newKey(t)
	for _, front := range s.fronts {
		status, body, err := s.post(front, "/v1/jobs", key, jobOf("caller-job", modeler.Batch, 3, 1, "runtime=100ms"))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, body)
	}
	s.awaitJob(15*time.Second, "caller-job", 0, 3)
}

// Guards against tasks that run in two places or are lost when workers and
// leaders die, pause and come back.
func TestTasksSurviveFaults(t *testing.T) {
	s := newSystem(t, kitahama, 3, 2, 4)
	k := s.firstTicket()
	service := jobOf("register", modeler.LongRunning, 8, 2, "")
	once := jobOf("headcount", modeler.Batch, 4, 2, "runtime=20s")
	once.AtMostOnce = true
	k.Jobs = []modeler.Job{service, once}
	s.apply(k)
	s.awaitJob(15*time.Second, "register", 8, 0)
	s.awaitJob(15*time.Second, "headcount", 4, 0)

	s.workers[0].suspend()
	paused := pause{from: time.Now()}
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
	s.checkOnePlace(paused)
	for task, runs := range s.taskRuns() {
		if task.Job == "headcount" {
			assert.Assert(t, len(runs) <= 1, "task %v must not be repeated: %v", task, runs)
		}
	}
}
