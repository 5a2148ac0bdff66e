package modeler

import (
	"crypto/sha256"
	"time"
)

// FlowID identifies a job made of steps; the caller chooses it.
type FlowID string

// QueueID identifies a queue by the host and the path prefix that callers use.
type QueueID string

// StepIndex numbers a step within its flow, from 0.
type StepIndex uint16

// Occurrence numbers the runs of a scheduled flow, from 0.
type Occurrence uint32

// ImageName names the image that the tasks of a step run.
type ImageName string

// Checkpoint is the saved progress of a task, opaque to the system; empty means
// none.
type Checkpoint string

// Permit is a token by which the outside policy allows a step to run on a
// worker. It is opaque to the system.
type Permit string

// WorkerClock is a reading of a worker's monotonic clock in milliseconds.
type WorkerClock int64

// Add returns the reading d later.
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

// StepKey identifies a step of one occurrence of a flow.
type StepKey struct {
	Flow       FlowID
	Occurrence Occurrence
	Step       StepIndex
}

// StepKey returns the step that the task belongs to.
func (t FlowTask) StepKey() StepKey {
	return StepKey{Flow: t.Flow, Occurrence: t.Occurrence, Step: t.Step}
}

// Step is a set of identical tasks within a flow.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the steps whose tasks must all be done before this one starts.
	After []StepIndex `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set when the tasks save their progress on a stop.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set when the tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set when the tasks run slower if they are spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is required of the workers that run the tasks.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the input; tasks on other racks are slower.
	DataRack RackName `cbor:"9,keyasint,omitempty"`
	// PerWorker is the maximum number of the step's tasks on one worker; 0 means
	// no limit.
	PerWorker int `cbor:"10,keyasint,omitempty"`
	// AllowCopies is set when several attempts of a task may run at once.
	AllowCopies bool `cbor:"11,keyasint,omitempty"`
	// LongRunning is set when the tasks run until the flow is cancelled.
	LongRunning bool      `cbor:"12,keyasint,omitempty"`
	Image       ImageName `cbor:"13,keyasint,omitempty"`
	// LatencyTarget is the upper limit for the tail latency of a task that serves
	// requests.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Backfill is set when the tasks use processors that other tasks leave idle.
	Backfill bool `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is how many of the tasks the system may disrupt at once; 0
	// means no limit.
	DisruptionBudget int `cbor:"16,keyasint,omitempty"`
}

// MayRunCopies reports whether several attempts of a task may run at once. A
// copy is useless for a gang, whose members work within one attempt, and for
// long-running tasks, which never finish.
func (s *Step) MayRunCopies() bool { return s.AllowCopies && !s.Gang && !s.LongRunning }

// PermitPolicy describes the outside policy that a queue asks for permits.
type PermitPolicy struct {
	// A question takes the time Decision, and the time Worker for each worker that
	// it names.
	Decision time.Duration `cbor:"1,keyasint"`
	Worker   time.Duration `cbor:"2,keyasint"`
	Validity time.Duration `cbor:"3,keyasint"`
}

// QueuePolicy holds the scheduling parameters of the flows of a queue.
type QueuePolicy struct {
	Service ServiceName `cbor:"1,keyasint"`
	// Priority 0 is the most urgent.
	Priority int `cbor:"2,keyasint,omitempty"`
	// Attempts is the number of failures of a task after which its flow fails; 0
	// means no limit.
	Attempts int `cbor:"3,keyasint,omitempty"`
	// A flow is due within Slowdown times the estimated run time of its longest
	// chain of steps, plus Latency.
	Slowdown float64       `cbor:"4,keyasint,omitempty"`
	Latency  time.Duration `cbor:"5,keyasint,omitempty"`
	Permits  *PermitPolicy `cbor:"6,keyasint,omitempty"`
}

// Flow is a job made of steps that depend on each other.
type Flow struct {
	ID    FlowID  `cbor:"1,keyasint"`
	Queue QueueID `cbor:"2,keyasint"`
	// Spec is the caller's specification, passed to the worker unchanged.
	Spec  string `cbor:"3,keyasint"`
	Steps []Step `cbor:"4,keyasint"`
	// Occurrences is the number of runs from Start on, one each Interval; 0 means
	// a single run without a scheduled time.
	Occurrences int           `cbor:"5,keyasint,omitempty"`
	Start       Timestamp     `cbor:"6,keyasint,omitempty"`
	Interval    time.Duration `cbor:"7,keyasint,omitempty"`
	// Policy is the policy of the queue when the flow was submitted.
	Policy QueuePolicy `cbor:"8,keyasint"`
	// Team is the account that the flow belongs to, or "" if it belongs to none.
	Team TeamName `cbor:"9,keyasint,omitempty"`
	// BeyondShare is set when the account had used up its share of accepted flows when
	// the flow was accepted.
	BeyondShare bool `cbor:"10,keyasint,omitempty"`
}

// FlowState is the state of a flow as callers see it.
type FlowState string

// The states of flows. A flow is pending until a worker has begun a task of it.
const (
	FlowPending   FlowState = "pending"
	FlowRunning   FlowState = "running"
	FlowCompleted FlowState = "completed"
	FlowFailed    FlowState = "failed"
	FlowCancelled FlowState = "cancelled"
)

// Queue accepts the flows that are submitted under a host and a path prefix.
type Queue struct {
	Host   string      `cbor:"1,keyasint"`
	Prefix string      `cbor:"2,keyasint"`
	Policy QueuePolicy `cbor:"3,keyasint"`
	// Timeout is the maximum time of a caller's request.
	Timeout time.Duration `cbor:"4,keyasint,omitempty"`
	// Public is set when calls need no key.
	Public bool `cbor:"5,keyasint,omitempty"`
}

// ID returns the queue's identity.
func (q *Queue) ID() QueueID { return QueueID(q.Host + q.Prefix) }

// Layout is the full set of queues, set by one numbered ticket.
type Layout struct {
	Number TicketNumber `cbor:"1,keyasint"`
	Queues []Queue      `cbor:"2,keyasint"`
	// Services lists the services that queues may name.
	Services []ServiceName `cbor:"4,keyasint,omitempty"`
	// Document is the ticket as the operator wrote it.
	Document []byte `cbor:"3,keyasint"`
	// Keyed is set when calls to queues that are not public need the key of an account.
	// It doesn't follow from Accounts, since a layout without accounts must not admit
	// every caller.
	Keyed    bool      `cbor:"5,keyasint,omitempty"`
	Accounts []Account `cbor:"6,keyasint,omitempty"`
	// Former lists the accounts that were removed while flows of theirs were not over.
	// Those flows stay within the last quota of their account.
	Former []Account `cbor:"7,keyasint,omitempty"`
}

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are secrets that stand
// only in the layout's document.
type KeyDigest [sha256.Size]byte

// Account is the account of a client: a team, whose quota and weight apply to its flows,
// with the keys that its callers present.
type Account struct {
	Team Team        `cbor:"1,keyasint"`
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
}

// WorkerAnnouncement is the description that a worker sends to the scheduler of
// flows.
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
	// Remaining is the minimum time until a leaving worker ends.
	Remaining time.Duration `cbor:"10,keyasint,omitempty"`
	// Sequence increases with each announcement of the same generation.
	Sequence Sequence `cbor:"11,keyasint,omitempty"`
}

// FlowStart records which worker an attempt is placed on. It is committed before
// the attempt starts.
type FlowStart struct {
	_          struct{} `cbor:",toarray"`
	Task       FlowTask
	Attempt    Attempt
	Worker     WorkerID
	Generation Generation
}

// EndKind is the way in which an attempt ended.
type EndKind uint8

// The ways in which attempts end.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	// EndLeaseExpired means that the lease of the attempt expired.
	EndLeaseExpired
	// EndGangBroken means that another member of the attempt's gang ended.
	EndGangBroken
	// EndGangTimeout means that the other members of the gang did not start in
	// time.
	EndGangTimeout
	// EndLost means that the attempt's worker was lost.
	EndLost
	// EndUnstarted means that the attempt can no longer start.
	EndUnstarted
)

var endNames = [...]string{
	EndDone: "done", EndFailed: "failed", EndStopped: "stopped", EndLeaseExpired: "lapsed",
	EndGangBroken: "broken", EndGangTimeout: "alone", EndLost: "lost", EndUnstarted: "unstarted",
}

// ShowsBeginning reports whether only an attempt that a worker has begun can end this way.
// The others are concluded without the worker.
func (k EndKind) ShowsBeginning() bool {
	return k != EndLost && k != EndUnstarted
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

// CallKind is the operation that a call asks the leader for.
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
	LeaveCall
)

var callNames = [...]string{
	SubmitCall: "submit", CancelCall: "cancel", StateCall: "state", CountCall: "count", SetLayoutCall: "layout",
	ReadLayoutCall: "read", AnnounceCall: "announce", DepartCall: "depart", JoinCall: "join", LeaveCall: "leave",
}

// String returns the kind as metrics and log lines show it.
func (k CallKind) String() string {
	if int(k) < len(callNames) {
		return callNames[k]
	}
	return "unknown"
}

// Call is an operation that a caller, an operator, a worker or a member
// asks of the leader. Any process of the system accepts it and passes it on.
type Call struct {
	Kind CallKind `cbor:"1,keyasint"`
	// Host and Path select the queue and the flow.
	Host         string              `cbor:"2,keyasint,omitempty"`
	Path         string              `cbor:"3,keyasint,omitempty"`
	Flow         *Flow               `cbor:"4,keyasint,omitempty"`
	Layout       *Layout             `cbor:"5,keyasint,omitempty"`
	Announcement *WorkerAnnouncement `cbor:"6,keyasint,omitempty"`
	Member       *Member             `cbor:"7,keyasint,omitempty"`
	// Key is the digest of the API key that the caller presented, or nil without a valid
	// one.
	Key *KeyDigest `cbor:"8,keyasint,omitempty"`
	// Wait is how long the caller waits for the answer; it isn't sent to the
	// leader.
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

// PermitRequest tells a process to ask the outside policy on which of the
// workers a step may run.
type PermitRequest struct {
	Step    StepKey    `cbor:"1,keyasint"`
	Workers []WorkerID `cbor:"2,keyasint"`
	// Timeout is the time that the policy is expected to take.
	Timeout time.Duration `cbor:"3,keyasint,omitempty"`
}

// PermitAnswer is the policy's answer to a PermitRequest; Failed is set when it
// gave none.
type PermitAnswer struct {
	Step    StepKey       `cbor:"1,keyasint"`
	Allowed []PermitGrant `cbor:"2,keyasint,omitempty"`
	Failed  bool          `cbor:"3,keyasint,omitempty"`
	// Validity is how long the permits are valid after the answer.
	Validity time.Duration `cbor:"4,keyasint,omitempty"`
	// Elapsed is the time from the request to the answer.
	Elapsed time.Duration `cbor:"5,keyasint,omitempty"`
}

// PermitGrant allows a step to run on one worker.
type PermitGrant struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Permit Permit
}
