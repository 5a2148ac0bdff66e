package worker

import (
	"sync"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// ExecutionKind is what was executed: a task or a request.
type ExecutionKind string

// The kinds of executions.
const (
	TaskRun    ExecutionKind = "task"
	RequestRun ExecutionKind = "request"
)

// Execution is one run of a task or a request, recorded for tests that check which
// worker ran what and when.
type Execution struct {
	Kind    ExecutionKind   `json:"kind"`
	Task    modeler.TaskID  `json:"task,omitzero"`
	Attempt modeler.Attempt `json:"attempt,omitempty"`
	// Key and Path are the idempotency key and the path of a request.
	Key   modeler.Key `json:"key,omitempty"`
	Path  string      `json:"path,omitempty"`
	Start time.Time   `json:"start"`
	// End is zero while it runs.
	End time.Time `json:"end,omitzero"`
	// Outcome is the outcome: the end state of a task, or "answered" or "aborted".
	Outcome string `json:"how,omitempty"`
}

// Log is the run log of a worker.
type Log struct {
	Worker     modeler.WorkerID   `json:"worker"`
	Generation modeler.Generation `json:"generation"`
	// Peak is the highest number of requests served at the same time, and
	// Connections the highest number of connections open at the same time.
	Peak        int `json:"peak"`
	Connections int `json:"connections"`
	// Runs are in the order of their start.
	Runs []Execution `json:"runs"`
	// Dropped counts the oldest runs, which have been removed from the log.
	Dropped int `json:"dropped,omitempty"`
}

// maxLogEntries limits the memory of the run log in long load tests. When it is
// reached, the older half of the log is dropped.
const maxLogEntries = 1 << 18

type runLog struct {
	mu      sync.Mutex
	dropped int
	runs    []Execution
}

// begin adds a run and returns its number, which finish takes.
func (l *runLog) begin(run Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) == maxLogEntries {
		half := maxLogEntries / 2
		l.runs = append(l.runs[:0], l.runs[half:]...)
		l.dropped += half
	}
	l.runs = append(l.runs, run)
	return l.dropped + len(l.runs) - 1
}

func (l *runLog) finish(number int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := number - l.dropped; at >= 0 {
		l.runs[at].End = time.Now()
		l.runs[at].Outcome = how
	}
}

// Log returns a copy of the run log.
func (w *Worker) Log() Log {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	_, peak := w.requests.count()
	return Log{
		Worker:      w.settings.ID,
		Generation:  w.generation,
		Peak:        peak,
		Connections: w.peakConnections(),
		Runs:        append([]Execution{}, w.log.runs...),
		Dropped:     w.log.dropped,
	}
}
