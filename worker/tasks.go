package worker

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// reportPeriod is how long heartbeats report an ended attempt. It spans many
	// heartbeats, since any of them may be lost.
	reportPeriod = time.Minute
	// rememberPeriod is how long an ended attempt is remembered, so that a delayed
	// repeat of its start order doesn't run it again.
	rememberPeriod = 10 * time.Minute
)

type attemptKey struct {
	task    modeler.TaskID
	attempt modeler.Attempt
}

// task is one attempt of a task that the worker runs or has run.
type task struct {
	key             attemptKey
	size            modeler.Resources
	usage           float64
	state           modeler.TaskState
	detail          string
	leaseEnd        modeler.ClockReading
	leaseTimer      *time.Timer
	completionTimer *time.Timer
	checkpointTimer *time.Timer // set while the task is being checkpointed
	endedAt         time.Time
	logEntry        int
}

func (t *task) isRunning() bool {
	return t.state == modeler.TaskRunning || t.state == modeler.TaskThrottled
}

// tasks simulates the tasks of a worker in memory.
type tasks struct {
	worker   *Worker
	mu       sync.Mutex
	attempts map[attemptKey]*task
}

func newTasks(w *Worker) *tasks {
	return &tasks{worker: w, attempts: make(map[attemptKey]*task)}
}

// serve answers POST /tasks with the report of the attempt and GET /tasks
// with all reports.
func (t *tasks) serve(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		writeJSON(w, http.StatusOK, t.reports())
	case http.MethodPost:
		var order modeler.TaskOrder
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.handleOrder(w, order)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (t *tasks) handleOrder(w http.ResponseWriter, order modeler.TaskOrder) {
	if order.Generation != t.worker.generation {
		http.Error(w, "order is for another start of this worker", http.StatusConflict)
		return
	}
	if t.worker.settings.Faults.Tasks == FaultSilent {
		<-t.worker.leaving
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune()
	key := attemptKey{order.Lease.Task, order.Lease.Attempt}
	found := t.attempts[key]
	if order.Verb == modeler.StartTask {
		if found == nil && t.worker.Clock() > order.Lease.Until {
			http.Error(w, "lease has run out before the start", http.StatusGone)
			return
		}
		if found == nil {
			found = t.start(key, order)
		}
		writeJSON(w, http.StatusOK, t.report(found))
		return
	}
	if found == nil {
		http.Error(w, "attempt is not known", http.StatusNotFound)
		return
	}
	switch order.Verb {
	case modeler.StopTask:
		t.end(found, modeler.TaskStopped, "stopped by order")
	case modeler.CheckpointTask:
		t.checkpoint(found)
	case modeler.ThrottleTask:
		t.throttle(found)
	default:
		http.Error(w, "verb is not known", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, t.report(found))
}

// start starts an attempt, even if its size exceeds the worker's capacity.
func (t *tasks) start(key attemptKey, order modeler.TaskOrder) *task {
	started := &task{
		key:      key,
		size:     order.Size,
		usage:    t.worker.settings.UsageFactor,
		state:    modeler.TaskRunning,
		leaseEnd: order.Lease.Until,
		logEntry: t.worker.log.begin(Execution{
			Kind:    TaskRun,
			Task:    key.task,
			Attempt: key.attempt,
			Start:   time.Now(),
		}),
	}
	t.attempts[key] = started
	t.worker.notifyTasksChanged()
	runtime, fails := started.parseCommand(order.Command, t.worker.settings.Runtime)
	fails = fails || t.worker.settings.Faults.Tasks == FaultFail
	if fails {
		runtime = max(runtime, time.Millisecond)
	}
	if runtime > 0 {
		started.completionTimer = time.AfterFunc(runtime, func() { t.complete(started, fails) })
	}
	started.leaseTimer = time.AfterFunc(started.leaseEnd.Sub(t.worker.Clock()), func() { t.expire(started) })
	return started
}

// parseCommand reads the fields "runtime=2s usage=1.5 exit=fail" of a command and
// ignores all others. It sets the task's usage and returns its run time, which is
// runtime by default, and whether it fails.
func (t *task) parseCommand(command string, runtime time.Duration) (time.Duration, bool) {
	fails := false
	for field := range strings.FieldsSeq(command) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "runtime":
			if d, err := time.ParseDuration(value); err == nil {
				runtime = d
			}
		case "usage":
			if f, err := strconv.ParseFloat(value, 64); err == nil {
				t.usage = f
			}
		case "exit":
			fails = value == "fail"
		}
	}
	return runtime, fails
}

func (t *tasks) complete(attempt *task, fails bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fails {
		t.end(attempt, modeler.TaskFailed, "task failed")
		return
	}
	t.end(attempt, modeler.TaskDone, "")
}

// expire stops an attempt whose lease hasn't been renewed.
func (t *tasks) expire(attempt *task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !attempt.isRunning() {
		return
	}
	if left := attempt.leaseEnd.Sub(t.worker.Clock()); left > 0 {
		attempt.leaseTimer.Reset(left)
		return
	}
	t.end(attempt, modeler.TaskStopped, "lease has run out")
}

// checkpoint ends the task once its state is saved. The task keeps running until
// then.
func (t *tasks) checkpoint(attempt *task) {
	if !attempt.isRunning() || attempt.checkpointTimer != nil {
		return
	}
	saved := func() { t.end(attempt, modeler.TaskCheckpointed, "checkpointed by order") }
	if t.worker.settings.CheckpointTime <= 0 {
		saved()
		return
	}
	attempt.checkpointTimer = time.AfterFunc(t.worker.settings.CheckpointTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		saved()
	})
}

func (t *tasks) throttle(attempt *task) {
	if attempt.state == modeler.TaskRunning {
		attempt.state = modeler.TaskThrottled
		attempt.usage /= 2
	}
}

func (t *tasks) end(attempt *task, state modeler.TaskState, detail string) {
	if !attempt.isRunning() {
		return
	}
	attempt.state = state
	attempt.detail = detail
	attempt.endedAt = time.Now()
	if attempt.completionTimer != nil {
		attempt.completionTimer.Stop()
	}
	if attempt.checkpointTimer != nil {
		attempt.checkpointTimer.Stop()
	}
	attempt.leaseTimer.Stop()
	t.worker.notifyTasksChanged()
	t.worker.log.finish(attempt.logEntry, string(state))
}

// renew extends the leases of running attempts. It never shortens a lease and
// doesn't renew an expired one.
func (t *tasks) renew(leases []modeler.TaskLease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.worker.Clock()
	for _, lease := range leases {
		found := t.attempts[attemptKey{lease.Task, lease.Attempt}]
		if found == nil || !found.isRunning() || now > found.leaseEnd || lease.Until <= found.leaseEnd {
			continue
		}
		found.leaseEnd = lease.Until
		found.leaseTimer.Reset(lease.Until.Sub(now))
	}
}

func (t *tasks) stopAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, attempt := range t.attempts {
		t.end(attempt, modeler.TaskStopped, "worker has ended")
	}
}

func (t *tasks) prune() {
	for key, attempt := range t.attempts {
		if !attempt.isRunning() && time.Since(attempt.endedAt) > rememberPeriod {
			delete(t.attempts, key)
		}
	}
}

func (t *tasks) reports() []modeler.TaskReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make([]modeler.TaskReport, 0, len(t.attempts))
	for _, attempt := range t.attempts {
		if attempt.isRunning() || time.Since(attempt.endedAt) < reportPeriod {
			reports = append(reports, t.report(attempt))
		}
	}
	return reports
}

func (t *tasks) report(a *task) modeler.TaskReport {
	report := modeler.TaskReport{
		Task:    a.key.task,
		Attempt: a.key.attempt,
		State:   a.state,
		Detail:  a.detail,
	}
	if a.isRunning() {
		report.Usage = modeler.Resources{
			Processors:   modeler.Millicores(math.Round(float64(a.size.Processors) * a.usage)),
			Memory:       modeler.Bytes(math.Round(float64(a.size.Memory) * a.usage)),
			Accelerators: a.size.Accelerators,
		}
	}
	return report
}
