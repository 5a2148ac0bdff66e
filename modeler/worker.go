package modeler

// RequestHeader names the header that carries a token of its own with each
// request to a worker. A worker that sends it back with its answer proves
// which request the answer belongs to.
const RequestHeader = "Goldcreststack-Request"

// SessionHeader names the header that tells a worker which entry process has
// sent a request.
const SessionHeader = "Goldcreststack-Session"

// Heartbeat is the announcement that a worker sends to any entry host, first
// on its start and then each second.
type Heartbeat struct {
	Worker     WorkerID   `json:"worker"`
	Generation Generation `json:"generation"`
	Address    string     `json:"address"`
	Region     RegionName `json:"region"`
	Domain     DomainName `json:"domain"`
	Rack       RackName   `json:"rack"`
	Labels     []string   `json:"labels,omitempty"`
	// Services are the services whose requests the worker serves.
	Services    []ServiceName `json:"services,omitempty"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	// IdleTimeout is the time after which the worker closes a connection without a
	// complete request header.
	IdleTimeout Duration  `json:"idle"`
	Capacity    Resources `json:"capacity"`
	// Clock is the worker's monotonic clock at the moment of measuring.
	Clock ClockReading `json:"clock"`
	// Seen is the receipt in the newest answer that the worker had received
	// before it measured; it proves that the report is newer than the answer.
	Seen Receipt `json:"seen,omitzero"`
	// Active counts the requests being served at that moment.
	Active int `json:"active"`
	// Sessions tells which entry processes have sent them, if the last answer
	// asked for an early heartbeat. What they leave out counts for every
	// entry process.
	Sessions []SessionCount `json:"sessions,omitempty"`
	Tasks    []TaskReport   `json:"tasks,omitempty"`
	Leaving  bool           `json:"leaving,omitempty"`
}

// Receipt is a moment on the clock of the leader of a term.
type Receipt struct {
	Term Term         `json:"term"`
	At   ClockReading `json:"at"`
}

// SessionCount counts the active requests that carry one value of
// SessionHeader.
type SessionCount struct {
	Session string `json:"session"`
	Active  int    `json:"active"`
}

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task that a worker reports.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
	TaskThrottled    TaskState = "throttled"
	// TaskLost is recorded by the leader when the worker can't tell any more
	// how the task ended.
	TaskLost TaskState = "lost"
)

// Ended reports whether a task in this state no longer runs.
func (s TaskState) Ended() bool {
	switch s {
	case TaskRunning, TaskThrottled:
		return false
	default:
		return true
	}
}

// TaskReport is what a worker says of one task.
type TaskReport struct {
	Task    TaskID    `json:"task"`
	Attempt Attempt   `json:"attempt"`
	State   TaskState `json:"state"`
	Usage   Resources `json:"usage"`
	Detail  string    `json:"detail,omitempty"`
}

// HeartbeatAnswer is the system's answer to a heartbeat.
type HeartbeatAnswer struct {
	Worker WorkerID `json:"worker"`
	// Leases renews the task leases that the leader holds for the worker.
	Leases []TaskLease `json:"leases,omitempty"`
	// Receipt is when the leader took the heartbeat in.
	Receipt Receipt `json:"receipt,omitzero"`
	// Next asks for the next heartbeat within this time, with the counts of
	// the entry processes; 0 leaves it to the worker.
	Next Duration `json:"next,omitempty"`
}

// TaskLease allows a worker to run one attempt until a moment of its own
// clock.
type TaskLease struct {
	Task    TaskID       `json:"task"`
	Attempt Attempt      `json:"attempt"`
	Term    Term         `json:"term"`
	Until   ClockReading `json:"until"`
}

// TaskVerb is what the leader asks of a worker.
type TaskVerb string

// The verbs of a task order.
const (
	StartTask      TaskVerb = "start"
	StopTask       TaskVerb = "stop"
	CheckpointTask TaskVerb = "checkpoint"
	ThrottleTask   TaskVerb = "throttle"
)

// TaskOrder is the body of POST /tasks on a worker.
type TaskOrder struct {
	Verb       TaskVerb   `json:"verb"`
	Generation Generation `json:"generation"`
	Lease      TaskLease  `json:"lease"`
	Size       Resources  `json:"size,omitzero"`
	Command    string     `json:"command,omitempty"`
}
