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
	// reported is the time for which an ended attempt stays in heartbeats,
	// since any of them may get lost.
	reported = time.Minute
	// known is the time for which an ended attempt is remembered, so that a
	// late repeat of its start doesn't run it again.
	known = 10 * time.Minute
)

type attemptKey struct {
	task    modeler.TaskID
	attempt modeler.Attempt
}

// task is one attempt that the worker knows.
type task struct {
	key   attemptKey
	size  modeler.Resources
	usage float64
	state modeler.TaskState
	text  string
	until modeler.ClockReading
	lease *time.Timer
	run   *time.Timer
	save  *time.Timer // set while the task is being checkpointed
	ended time.Time
	entry int
}

func (t *task) running() bool {
	return t.state == modeler.TaskRunning || t.state == modeler.TaskThrottled
}

// tasks simulates the tasks of a worker in memory.
type tasks struct {
	worker *Worker
	mu     sync.Mutex
	all    map[attemptKey]*task
}

func newTasks(w *Worker) *tasks {
	return &tasks{worker: w, all: make(map[attemptKey]*task)}
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
		t.obey(w, order)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (t *tasks) obey(w http.ResponseWriter, order modeler.TaskOrder) {
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
	found := t.all[key]
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

// start runs an attempt whether it fits or not.
func (t *tasks) start(key attemptKey, order modeler.TaskOrder) *task {
	started := &task{
		key:   key,
		size:  order.Size,
		usage: t.worker.settings.Usage,
		state: modeler.TaskRunning,
		until: order.Lease.Until,
		entry: t.worker.log.begin(Execution{
			Kind:    TaskRun,
			Task:    key.task,
			Attempt: key.attempt,
			Start:   time.Now(),
		}),
	}
	t.all[key] = started
	t.worker.noteChange()
	runtime, fails := started.parse(order.Command, t.worker.settings.Runtime)
	fails = fails || t.worker.settings.Faults.Tasks == FaultFail
	if fails {
		runtime = max(runtime, time.Millisecond)
	}
	if runtime > 0 {
		started.run = time.AfterFunc(runtime, func() { t.complete(started, fails) })
	}
	started.lease = time.AfterFunc(started.until.Sub(t.worker.Clock()), func() { t.expire(started) })
	return started
}

// parse reads "runtime=2s usage=1.5 exit=fail" from a command and ignores
// everything else.
func (t *task) parse(command string, runtime time.Duration) (time.Duration, bool) {
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

func (t *tasks) complete(done *task, fails bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fails {
		t.end(done, modeler.TaskFailed, "task failed")
		return
	}
	t.end(done, modeler.TaskDone, "")
}

// expire stops an attempt whose lease hasn't been renewed.
func (t *tasks) expire(running *task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !running.running() {
		return
	}
	if left := running.until.Sub(t.worker.Clock()); left > 0 {
		running.lease.Reset(left)
		return
	}
	t.end(running, modeler.TaskStopped, "lease has run out")
}

// checkpoint ends the task once its state is saved; it runs on meanwhile.
func (t *tasks) checkpoint(running *task) {
	if !running.running() || running.save != nil {
		return
	}
	saved := func() { t.end(running, modeler.TaskCheckpointed, "checkpointed by order") }
	if t.worker.settings.Checkpoint <= 0 {
		saved()
		return
	}
	running.save = time.AfterFunc(t.worker.settings.Checkpoint, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		saved()
	})
}

func (t *tasks) throttle(running *task) {
	if running.state == modeler.TaskRunning {
		running.state = modeler.TaskThrottled
		running.usage /= 2
	}
}

func (t *tasks) end(running *task, state modeler.TaskState, text string) {
	if !running.running() {
		return
	}
	running.state = state
	running.text = text
	running.ended = time.Now()
	if running.run != nil {
		running.run.Stop()
	}
	if running.save != nil {
		running.save.Stop()
	}
	running.lease.Stop()
	t.worker.noteChange()
	t.worker.log.finish(running.entry, string(state))
}

// renew prolongs the leases of running attempts and never shortens one.
func (t *tasks) renew(leases []modeler.TaskLease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.worker.Clock()
	for _, lease := range leases {
		found := t.all[attemptKey{lease.Task, lease.Attempt}]
		if found == nil || !found.running() || now > found.until || lease.Until <= found.until {
			continue
		}
		found.until = lease.Until
		found.lease.Reset(lease.Until.Sub(now))
	}
}

func (t *tasks) stopAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, running := range t.all {
		t.end(running, modeler.TaskStopped, "worker has ended")
	}
}

func (t *tasks) prune() {
	for key, old := range t.all {
		if !old.running() && time.Since(old.ended) > known {
			delete(t.all, key)
		}
	}
}

func (t *tasks) reports() []modeler.TaskReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make([]modeler.TaskReport, 0, len(t.all))
	for _, one := range t.all {
		if one.running() || time.Since(one.ended) < reported {
			reports = append(reports, t.report(one))
		}
	}
	return reports
}

func (t *tasks) report(one *task) modeler.TaskReport {
	report := modeler.TaskReport{
		Task:    one.key.task,
		Attempt: one.key.attempt,
		State:   one.state,
		Detail:  one.text,
	}
	if one.running() {
		report.Usage = modeler.Resources{
			Processors:   modeler.Millicores(math.Round(float64(one.size.Processors) * one.usage)),
			Memory:       modeler.Bytes(math.Round(float64(one.size.Memory) * one.usage)),
			Accelerators: one.size.Accelerators,
		}
	}
	return report
}
