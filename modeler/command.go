package modeler

import (
	"fmt"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
)

// CommandKind selects the fields of a Command that carry its content.
type CommandKind uint8

// The kinds of replicated commands.
const (
	ApplyTicket CommandKind = iota + 1
	ClaimKey
	SettleKey
	SubmitJob
	CancelJobs
	PlaceTasks
	EndTasks
	RegisterEntry
	EndSession
	ReplaceTasks
	SetLayout
	SubmitFlow
	CancelFlow
	StartFlows
	EndFlows
	RecordWorkers
	RecordLearned
)

// Command is one entry of the replicated log; only the fields that belong to
// Kind are set.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint"`
	// At is the wall-clock time at the leader that proposed the command.
	At       Timestamp     `cbor:"2,keyasint"`
	Ticket   *Ticket       `cbor:"3,keyasint,omitempty"`
	Claim    *Claim        `cbor:"4,keyasint,omitempty"`
	Settle   *Settlement   `cbor:"5,keyasint,omitempty"`
	Submit   *Submission   `cbor:"6,keyasint,omitempty"`
	Cancel   *Cancellation `cbor:"7,keyasint,omitempty"`
	Place    []Placement   `cbor:"8,keyasint,omitempty"`
	TaskEnds []TaskEnd     `cbor:"9,keyasint,omitempty"`
	Session  *EntrySession `cbor:"10,keyasint,omitempty"`
	Replace  *Replacement  `cbor:"11,keyasint,omitempty"`
	Layout   *Layout       `cbor:"12,keyasint,omitempty"`
	Flow     *Flow         `cbor:"13,keyasint,omitempty"`
	// CancelledFlow is the flow to cancel.
	CancelledFlow FlowID      `cbor:"14,keyasint,omitempty"`
	FlowStarts    []FlowStart `cbor:"15,keyasint,omitempty"`
	FlowEnds      []FlowEnd   `cbor:"16,keyasint,omitempty"`
	// BegunFlows lists, beside ends, flows of which a worker has begun a task. Earlier
	// builds don't read it.
	BegunFlows    []FlowID             `cbor:"22,keyasint,omitempty"`
	Announcements []WorkerAnnouncement `cbor:"17,keyasint,omitempty"`
	// Departed lists the workers that the leader has found to be lost, Left those
	// that have announced their departure.
	Departed []WorkerID `cbor:"18,keyasint,omitempty"`
	Left     []WorkerID `cbor:"19,keyasint,omitempty"`
	// DepartedGenerations holds the generations of the workers in Departed; newer ones
	// stay. Entries of earlier builds lack it.
	DepartedGenerations []Generation `cbor:"20,keyasint,omitempty"`
	Learned             *Learned     `cbor:"21,keyasint,omitempty"`
	// Silent lists workers that give no answer, and Returned those that answer again.
	Silent   []WorkerSilence `cbor:"23,keyasint,omitempty"`
	Returned []WorkerID      `cbor:"24,keyasint,omitempty"`
}

// WorkerSilence tells that a worker gives no answer. All leases of its generation are over
// when Rest has passed since the record was applied, and the leader of Term extends none
// before the worker's return is recorded.
type WorkerSilence struct {
	_          struct{} `cbor:",toarray"`
	Worker     WorkerID
	Generation Generation
	Term       Term
	Rest       time.Duration
}

// WorkerDeparture is the loss of a worker's generation, and of earlier ones.
type WorkerDeparture struct {
	Worker WorkerID
	// Generation is 0 if the departure is of whatever generation is known.
	Generation Generation
}

// SetDepartures sets the workers that the leader has found to be lost.
func (c *Command) SetDepartures(departures []WorkerDeparture) {
	for _, d := range departures {
		c.Departed = append(c.Departed, d.Worker)
		c.DepartedGenerations = append(c.DepartedGenerations, d.Generation)
	}
}

// Departures returns the workers that the leader has found to be lost.
func (c *Command) Departures() []WorkerDeparture {
	departures := make([]WorkerDeparture, len(c.Departed))
	for i, id := range c.Departed {
		departures[i].Worker = id
		if i < len(c.DepartedGenerations) {
			departures[i].Generation = c.DepartedGenerations[i]
		}
	}
	return departures
}

// Claim reserves an idempotency key for one entry process before it sends
// the request.
type Claim struct {
	Service     ServiceName `cbor:"1,keyasint"`
	Key         Key         `cbor:"2,keyasint"`
	Fingerprint Digest      `cbor:"3,keyasint"`
	Entry       EntryID     `cbor:"4,keyasint"`
	Incarnation Incarnation `cbor:"5,keyasint"`
	// Request numbers the claims of one entry process. It distinguishes a claim
	// that is sent again from a repeat of the caller's request.
	Request Sequence `cbor:"6,keyasint"`
	// Caller is used to share the table of records fairly among callers.
	Caller CallerHash `cbor:"7,keyasint,omitempty"`
}

// Settlement records the outcome of a claimed request.
type Settlement struct {
	Service     ServiceName        `cbor:"1,keyasint"`
	Key         Key                `cbor:"2,keyasint"`
	Entry       EntryID            `cbor:"3,keyasint"`
	Incarnation Incarnation        `cbor:"4,keyasint"`
	Outcome     classifier.Outcome `cbor:"5,keyasint"`
	Answer      RecordedAnswer     `cbor:"6,keyasint"`
	Request     Sequence           `cbor:"7,keyasint"`
}

// RecordedAnswer is an upstream's answer, kept to be sent again when the caller
// repeats the request.
type RecordedAnswer struct {
	Status int           `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint"`
	Body   []byte        `cbor:"3,keyasint"`
	// Dropped is set when the answer was too long or too old to be kept.
	Dropped bool `cbor:"4,keyasint,omitempty" json:"Cut"`
}

// HeaderField is one line of an HTTP header.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Submission is a caller's job with its idempotency key.
type Submission struct {
	Key Key `cbor:"1,keyasint"`
	Job Job `cbor:"2,keyasint"`
}

// Cancellation lists the jobs to cancel.
type Cancellation struct {
	Jobs []JobID `cbor:"1,keyasint"`
}

// Placement assigns one attempt of a task to a worker.
type Placement struct {
	Task       TaskID     `cbor:"1,keyasint" json:"task"`
	Attempt    Attempt    `cbor:"2,keyasint" json:"attempt"`
	Worker     WorkerID   `cbor:"3,keyasint" json:"worker"`
	Generation Generation `cbor:"4,keyasint" json:"generation"`
	// Version identifies the specification of the job that the placement was
	// decided for: it is the last attempt number before that specification. A
	// placement for any other is refused; 0 skips the check.
	Version Attempt `cbor:"5,keyasint,omitempty" json:"version,omitempty"`
}

// Replacement is one step in replacing the tasks of a service whose
// specification has changed.
type Replacement struct {
	Job JobID `cbor:"1,keyasint"`
	// Version identifies the specification that the step was decided for, as in
	// Placement.
	Version Attempt `cbor:"2,keyasint"`
	// Ready lists the attempts that count as in service from now on.
	Ready []TaskAttempt `cbor:"3,keyasint,omitempty"`
	// Stop lists the attempts of earlier specifications that are to be stopped.
	Stop []TaskAttempt `cbor:"4,keyasint,omitempty"`
}

// TaskAttempt identifies an attempt of a task within a job.
type TaskAttempt struct {
	Index   TaskIndex `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
}

// TaskEnd records the end of one attempt.
type TaskEnd struct {
	Task    TaskID    `cbor:"1,keyasint" json:"task"`
	Attempt Attempt   `cbor:"2,keyasint" json:"attempt"`
	State   TaskState `cbor:"3,keyasint" json:"state"`
	Detail  string    `cbor:"4,keyasint,omitempty" json:"detail,omitempty"`
	// Retry is set when the task is to be placed again.
	Retry bool `cbor:"5,keyasint,omitempty" json:"again,omitempty"`
}

// EntrySession identifies one start of an entry process.
type EntrySession struct {
	Entry       EntryID     `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// String returns the session as it is sent in the header SessionHeader.
func (s EntrySession) String() string { return fmt.Sprintf("%s/%d", s.Entry, s.Incarnation) }

// Result is the state machine's answer to a command.
type Result struct {
	Kind   classifier.Kind `cbor:"1,keyasint"`
	Detail string          `cbor:"2,keyasint,omitempty"`
	Index  Index           `cbor:"3,keyasint"`
	// Digest is the digest of the ticket that was accepted under this number.
	Digest Digest `cbor:"4,keyasint,omitempty"`
	// Repeat is set when an earlier command already had this result.
	Repeat bool `cbor:"5,keyasint,omitempty"`
	// Record is set in the result of a claim whose key is already recorded.
	Record *RequestRecord `cbor:"6,keyasint,omitempty"`
}

// RequestRecord is the stored state of a request that runs at most once.
type RequestRecord struct {
	Fingerprint Digest             `cbor:"1,keyasint"`
	Entry       EntryID            `cbor:"2,keyasint"`
	Incarnation Incarnation        `cbor:"3,keyasint"`
	Settled     bool               `cbor:"4,keyasint,omitempty"`
	Outcome     classifier.Outcome `cbor:"5,keyasint,omitempty"`
	Answer      RecordedAnswer     `cbor:"6,keyasint,omitempty"`
	// Created is the creation time that is encoded in the idempotency key.
	Created Timestamp `cbor:"7,keyasint"`
	Request Sequence  `cbor:"8,keyasint"`
	// Abandoned is set when the session of the claiming entry process ended
	// before it recorded an outcome, so that the outcome stays unknown.
	Abandoned bool       `cbor:"9,keyasint,omitempty"`
	Caller    CallerHash `cbor:"10,keyasint,omitempty"`
}
