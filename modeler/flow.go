package modeler

import "time"

// FlowID identifies a job made of steps; the caller chooses it.
type FlowID string

// QueueID identifies a queue by the host and the path prefix that callers use.
type QueueID string

// StepIndex numbers a step within its flow, from 0.
type StepIndex uint16

// Occurrence numbers the repetitions of a scheduled flow, from 0.
type Occurrence uint32

// ImageName names what the tasks of a step run.
type ImageName string

// Checkpoint is the opaque progress of a task; empty means none.
type Checkpoint string

// Permit is the outside policy's opaque permission to run a step on a worker.
type Permit string

// WorkerClock is a worker's own steady clock in milliseconds.
type WorkerClock int64

// Add returns the clock d later.
func (c WorkerClock) Add(d time.Duration) WorkerClock {
	return c + WorkerClock(d/time.Millisecond)
}

// Sub returns the time from other to c.
func (c WorkerClock) Sub(other WorkerClock) time.Duration {
	return time.Duration(c-other) * time.Millisecond
}

// FlowTask identifies a task of a flow.
type FlowTask struct {
	_          struct{} `cbor:",toarray"`
	Flow       FlowID
	Occurrence Occurrence
	Step       StepIndex
	Index      TaskIndex
}

// StepKey identifies a step of one occurrence.
type StepKey struct {
	Flow       FlowID
	Occurrence Occurrence
	Step       StepIndex
}

// StepKey returns the step that the task belongs to.
func (t FlowTask) StepKey() StepKey {
	return StepKey{Flow: t.Flow, Occurrence: t.Occurrence, Step: t.Step}
}

// Step is a set of equal tasks of a flow.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the caller's rough guess of a task's run time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After names the steps whose tasks must all be done first.
	After []StepIndex `cbor:"4,keyasint,omitempty"`
	// Checkpoints says that the tasks keep their progress when stopped.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang says that the tasks work only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack says that the tasks are slower when spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is one that the worker must have.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the input; tasks elsewhere are slower.
	DataRack RackName `cbor:"9,keyasint,omitempty"`
	// PerWorker bounds the step's tasks on one worker; 0 sets no bound.
	PerWorker int `cbor:"10,keyasint,omitempty"`
	// AllowCopies says that several attempts of a task may run at once.
	AllowCopies bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the flow is cancelled.
	LongRunning bool      `cbor:"12,keyasint,omitempty"`
	Image       ImageName `cbor:"13,keyasint,omitempty"`
	// LatencyTarget bounds the tail of the response times of a serving task.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Backfill tasks use the processors that other tasks leave idle.
	Backfill bool `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is how many tasks the system may disrupt at once; 0 sets no bound.
	DisruptionBudget int `cbor:"16,keyasint,omitempty"`
}

// MayRunCopies reports whether several attempts of a task may run at once. Members
// of a gang work for one attempt, and lasting tasks are never done.
func (s *Step) MayRunCopies() bool { return s.AllowCopies && !s.Gang && !s.LongRunning }

// PermitPolicy describes the outside policy of a queue.
type PermitPolicy struct {
	// Decision and Worker are the time of one question and of each worker named.
	Decision time.Duration `cbor:"1,keyasint"`
	Worker   time.Duration `cbor:"2,keyasint"`
	Validity time.Duration `cbor:"3,keyasint"`
}

// QueuePolicy says how the flows of a queue are treated.
type QueuePolicy struct {
	Service ServiceName `cbor:"1,keyasint"`
	// Priority 0 comes first.
	Priority int `cbor:"2,keyasint,omitempty"`
	// Attempts bounds the failures of a task.
	Attempts int `cbor:"3,keyasint,omitempty"`
	// Slowdown times the longest chain of work, and Latency more, is the time
	// within which a flow is to be done.
	Slowdown float64       `cbor:"4,keyasint,omitempty"`
	Latency  time.Duration `cbor:"5,keyasint,omitempty"`
	Permits  *PermitPolicy `cbor:"6,keyasint,omitempty"`
}

// Flow is a job made of steps.
type Flow struct {
	ID    FlowID  `cbor:"1,keyasint"`
	Queue QueueID `cbor:"2,keyasint"`
	// Spec is the caller's text, which the worker gets unchanged.
	Spec  string `cbor:"3,keyasint"`
	Steps []Step `cbor:"4,keyasint"`
	// Occurrences is the number of occurrences; 0 means one without a due time.
	Occurrences int           `cbor:"5,keyasint,omitempty"`
	Start       Timestamp     `cbor:"6,keyasint,omitempty"`
	Interval    time.Duration `cbor:"7,keyasint,omitempty"`
	// Policy is the queue's at the time of the submission.
	Policy QueuePolicy `cbor:"8,keyasint"`
}

// FlowState is what a caller is told of a flow.
type FlowState string

// The states of flows.
const (
	FlowPending   FlowState = "pending"
	FlowRunning   FlowState = "running"
	FlowCompleted FlowState = "completed"
	FlowFailed    FlowState = "failed"
	FlowCancelled FlowState = "cancelled"
)

// Queue is a place that callers submit flows to.
type Queue struct {
	Host   string      `cbor:"1,keyasint"`
	Prefix string      `cbor:"2,keyasint"`
	Policy QueuePolicy `cbor:"3,keyasint"`
	// Timeout bounds a caller's request.
	Timeout time.Duration `cbor:"4,keyasint,omitempty"`
}

// ID returns the queue's identity.
func (q *Queue) ID() QueueID { return QueueID(q.Host + q.Prefix) }

// Layout is the whole set of queues under one ticket number.
type Layout struct {
	Number TicketNumber `cbor:"1,keyasint"`
	Queues []Queue      `cbor:"2,keyasint"`
	// Services are those that queues may name.
	Services []ServiceName `cbor:"4,keyasint,omitempty"`
	// Document is the ticket as the operator wrote it.
	Document []byte `cbor:"3,keyasint"`
}

// WorkerAnnouncement is a worker as it announces itself to a scheduler of flows.
type WorkerAnnouncement struct {
	ID         WorkerID    `cbor:"1,keyasint"`
	Generation Generation  `cbor:"2,keyasint"`
	Address    string      `cbor:"3,keyasint"`
	Domain     DomainName  `cbor:"4,keyasint"`
	Service    ServiceName `cbor:"5,keyasint"`
	Capacity   Resources   `cbor:"6,keyasint"`
	Labels     []string    `cbor:"7,keyasint,omitempty"`
	Rack       RackName    `cbor:"8,keyasint,omitempty"`
	Leaving    bool        `cbor:"9,keyasint,omitempty"`
	// Remaining is the least time until a leaving worker ends.
	Remaining time.Duration `cbor:"10,keyasint,omitempty"`
	// Sequence grows with each announcement of a generation.
	Sequence Sequence `cbor:"11,keyasint,omitempty"`
}

// FlowStart commits an attempt of a task to a worker before it is started.
type FlowStart struct {
	_          struct{} `cbor:",toarray"`
	Task       FlowTask
	Attempt    Attempt
	Worker     WorkerID
	Generation Generation
}

// EndKind tells how an attempt ended.
type EndKind uint8

// The ways in which attempts end.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	// EndLeaseExpired means that the lease ran out.
	EndLeaseExpired
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken
	// EndGangTimeout means that the other members of the gang did not come in time.
	EndGangTimeout
	// EndLost means that the worker was lost with the attempt.
	EndLost
	// EndUnstarted means that the attempt can no longer begin.
	EndUnstarted
)

var endNames = [...]string{
	EndDone: "done", EndFailed: "failed", EndStopped: "stopped", EndLeaseExpired: "lapsed",
	EndGangBroken: "broken", EndGangTimeout: "alone", EndLost: "lost", EndUnstarted: "unstarted",
}

// String returns the kind as log lines show it.
func (k EndKind) String() string {
	if int(k) < len(endNames) {
		return endNames[k]
	}
	return "unknown"
}

// FlowEnd records the end of an attempt.
type FlowEnd struct {
	_       struct{} `cbor:",toarray"`
	Task    FlowTask
	Attempt Attempt
	Kind    EndKind
	Saved   Checkpoint
}

// CallKind tells what a call asks the leader for.
type CallKind uint8

// The kinds of calls.
const (
	SubmitCall CallKind = iota + 1
	CancelCall
	StateCall
	CountCall
	SetLayoutCall
	ReadLayoutCall
	AnnounceCall
	DepartCall
	JoinCall
)

var callNames = [...]string{
	SubmitCall: "submit", CancelCall: "cancel", StateCall: "state", CountCall: "count", SetLayoutCall: "layout",
	ReadLayoutCall: "read", AnnounceCall: "announce", DepartCall: "depart", JoinCall: "join",
}

// String returns the kind as metrics and log lines show it.
func (k CallKind) String() string {
	if int(k) < len(callNames) {
		return callNames[k]
	}
	return "unknown"
}

// Call is what an outside party asks of the leader, through any process.
type Call struct {
	Kind CallKind `cbor:"1,keyasint"`
	// Host and Path select the queue and the flow.
	Host         string              `cbor:"2,keyasint,omitempty"`
	Path         string              `cbor:"3,keyasint,omitempty"`
	Flow         *Flow               `cbor:"4,keyasint,omitempty"`
	Layout       *Layout             `cbor:"5,keyasint,omitempty"`
	Announcement *WorkerAnnouncement `cbor:"6,keyasint,omitempty"`
	Member       *Member             `cbor:"7,keyasint,omitempty"`
	// Wait is how long the caller waits for the answer; it is not sent on.
	Wait time.Duration `cbor:"-"`
}

// Reply answers a call.
type Reply struct {
	Result Result    `cbor:"1,keyasint"`
	State  FlowState `cbor:"2,keyasint,omitempty"`
	Count  int       `cbor:"3,keyasint,omitempty"`
	// Document is the layout as the operator wrote it.
	Document []byte `cbor:"4,keyasint,omitempty"`
}

// PermitRequest has a process ask the outside policy where a step may run.
type PermitRequest struct {
	Step    StepKey    `cbor:"1,keyasint"`
	Workers []WorkerID `cbor:"2,keyasint"`
	// Timeout is how long the policy should take.
	Timeout time.Duration `cbor:"3,keyasint,omitempty"`
}

// PermitAnswer is the policy's answer; Failed means that there is none.
type PermitAnswer struct {
	Step    StepKey       `cbor:"1,keyasint"`
	Allowed []PermitGrant `cbor:"2,keyasint,omitempty"`
	Failed  bool          `cbor:"3,keyasint,omitempty"`
	// Validity is how long the permits hold from the answer on.
	Validity time.Duration `cbor:"4,keyasint,omitempty"`
	// Elapsed is the time from the question to the answer.
	Elapsed time.Duration `cbor:"5,keyasint,omitempty"`
}

// PermitGrant allows a step on one worker.
type PermitGrant struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Permit Permit
}
