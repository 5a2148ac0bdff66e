package modeler

// RequestHeader is the header that carries a token, unique for each request to a
// worker. A worker that returns the token with its answer shows which request
// the answer belongs to.
const RequestHeader = "Goldcreststack-Request"

// SessionHeader is the header that tells a worker which entry process sent a
// request.
const SessionHeader = "Goldcreststack-Session"

// Heartbeat is the status report that a worker sends to any entry host, first
// when it starts and then each second.
type Heartbeat struct {
	Worker     WorkerID   `json:"worker"`
	Generation Generation `json:"generation"`
	Address    string     `json:"address"`
	Region     RegionName `json:"region"`
	Domain     DomainName `json:"domain"`
	Rack       RackName   `json:"rack"`
	Labels     []string   `json:"labels,omitempty"`
	// Services lists the services whose requests the worker serves.
	Services    []ServiceName `json:"services,omitempty"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	// IdleTimeout is the time after which the worker closes a connection on which
	// it has received no complete request header.
	IdleTimeout Duration  `json:"idle"`
	Capacity    Resources `json:"capacity"`
	// Clock is the worker's monotonic clock when it measured this report.
	Clock ClockReading `json:"clock"`
	// Seen is the receipt in the newest answer that the worker had received
	// before it measured this report; it shows that the report is newer than that
	// answer.
	Seen Receipt `json:"seen,omitzero"`
	// Active counts the requests that were being served at Clock.
	Active int `json:"active"`
	// Sessions divides Active by the entry processes that sent the requests; it is
	// set if the last answer asked for an early heartbeat. Active requests that it
	// leaves out may belong to any entry process.
	Sessions []SessionCount `json:"sessions,omitempty"`
	Tasks    []TaskReport   `json:"tasks,omitempty"`
	Leaving  bool           `json:"leaving,omitempty"`
}

// Receipt is the time at which the leader of a term received a heartbeat, on the
// leader's clock.
type Receipt struct {
	Term Term         `json:"term"`
	At   ClockReading `json:"at"`
}

// SessionCount is the number of active requests with the same value of
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
	// TaskLost is recorded by the leader when the worker can no longer report how
	// the task ended.
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

// TaskReport is a worker's report on one task.
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
	// Receipt is when the leader received the heartbeat.
	Receipt Receipt `json:"receipt,omitzero"`
	// Next asks for the next heartbeat within this time, with its Sessions set; 0
	// leaves the worker to its own interval.
	Next Duration `json:"next,omitempty"`
}

// TaskLease allows a worker to run one attempt until the time Until on the
// worker's own clock.
type TaskLease struct {
	Task    TaskID       `json:"task"`
	Attempt Attempt      `json:"attempt"`
	Term    Term         `json:"term"`
	Until   ClockReading `json:"until"`
}

// TaskVerb is the operation that a TaskOrder asks a worker for.
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
