package modeler

// ErrorAnswer is the body of every error answer that the system itself gives, as
// opposed to an upstream's.
type ErrorAnswer struct {
	// Kind is the name of an error kind of package classifier.
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	// Digest is set on a ticket conflict: it is the digest of the ticket that was
	// accepted under the same number.
	Digest Digest `json:"digest,omitempty"`
}

// TicketAnswer describes an accepted ticket in answers to POST /v1/tickets and
// GET /v1/tickets/N.
type TicketAnswer struct {
	Number TicketNumber `json:"number"`
	// Version is the version of the configuration that the ticket produced.
	Version  Index `json:"version"`
	Accepted bool  `json:"accepted"`
	// Repeat is set when the same ticket had been sent and accepted before.
	Repeat bool   `json:"repeat,omitempty"`
	Digest Digest `json:"digest"`
	Detail string `json:"detail,omitempty"`
	// InForce is set when no host serves under an older configuration any more.
	InForce bool `json:"force"`
	// Waiting lists the entry hosts that have not confirmed the version.
	Waiting []EntryID `json:"waiting,omitempty"`
}

// Status is the state of the cell as operators see it.
type Status struct {
	Leader  MemberID     `json:"leader"`
	Term    Term         `json:"term"`
	Commit  Index        `json:"commit"`
	Version Index        `json:"version"`
	Ticket  TicketNumber `json:"ticket"`
	// VersionInForce is the newest version that is in force on every entry host;
	// 0 means unknown.
	VersionInForce Index          `json:"force"`
	Members        []MemberStatus `json:"members"`
	Quorum         QuorumStatus   `json:"quorum"`
	// Pending is set while a change of members is not committed yet.
	Pending  bool            `json:"pending,omitempty"`
	Entries  []EntryStatus   `json:"entries"`
	Workers  WorkerSummary   `json:"workers"`
	Services []ServiceStatus `json:"services"`
	Tasks    TaskSummary     `json:"tasks"`
	Jobs     []JobStatus     `json:"jobs"`
	// Hidden counts the jobs that Jobs leaves out.
	Hidden int `json:"hidden,omitempty"`
	// Records counts the stored records of at-most-once requests.
	Records int `json:"records"`
	// Interference lists the images that are slowed down most by others on the same worker.
	Interference []PairStatus `json:"interference,omitempty"`
	// Accounts lists the client accounts, and Steps the first steps of flows that wait, in
	// the order in which they get room. Reasons counts all waiting tasks of flows by what
	// they wait for.
	Accounts []AccountStatus    `json:"accounts,omitempty"`
	Steps    []StepStatus       `json:"steps,omitempty"`
	Reasons  map[WaitReason]int `json:"reasons,omitempty"`
}

// PairStatus is an image that another one slows down on workers of one size.
type PairStatus struct {
	Image  ImageName `json:"image"`
	Beside ImageName `json:"beside"`
	// Cores is the middle of the size class of the workers.
	Cores float64 `json:"cores"`
	// Slowdown is the factor by which runs take longer, and Error the standard error of its
	// logarithm.
	Slowdown float64 `json:"slowdown"`
	Error    float64 `json:"error"`
}

// OtherAccounts stands for the accounts that a list sums up in its last entry. It differs
// from the names of accounts that operators may choose, since those are not empty.
const OtherAccounts TeamName = ""

// AccountStatus is what a client account has running and waiting.
type AccountStatus struct {
	Account TeamName  `json:"account"`
	Used    Resources `json:"used"`
	Quota   Resources `json:"quota"`
	Weight  int       `json:"weight"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	// BeyondShare counts the waiting tasks that are beyond the account's share, and
	// QuotaWaits those that wait for its quota.
	BeyondShare int `json:"beyond"`
	QuotaWaits  int `json:"capped"`
}

// WaitReason says what a step waits for.
type WaitReason string

// The reasons for which steps wait.
const (
	WaitsForQuota  WaitReason = "quota"
	WaitsForShare  WaitReason = "share"
	WaitsForPermit WaitReason = "permit"
	WaitsForRoom   WaitReason = "room"
	WaitsForLeader WaitReason = "leader"
)

// StepStatus is a step of a flow with tasks that wait for workers.
type StepStatus struct {
	Request FlowID     `json:"request"`
	Step    StepIndex  `json:"step"`
	Queue   QueueID    `json:"queue"`
	Account TeamName   `json:"account,omitempty"`
	Tasks   int        `json:"tasks"`
	Waited  Duration   `json:"waited"`
	Reason  WaitReason `json:"reason"`
}

// MemberStatus is a member's state as the leader knows it.
type MemberStatus struct {
	Member
	// Match is the last log entry that the member has synced to disk.
	Match Index `json:"match"`
	// Lag is the time since the leader sent the newest round that the member has
	// answered; it is negative when the member has answered none.
	Lag Duration `json:"lag"`
	// Silent is how long the member has not answered this leader; 0 if it answers.
	Silent Duration `json:"silent,omitempty"`
	// Current is set when the member answers and has nearly the whole log, so that
	// a learner can be promoted.
	Current bool `json:"current"`
}

// QuorumStatus tells how many losses the replicated group bears, as the leader
// knows it.
type QuorumStatus struct {
	Voters   int `json:"voters"`
	Learners int `json:"learners"`
	// Needed is the number of voters without which there is no leader.
	Needed int `json:"needed"`
	// Silent counts the voters that do not answer the leader.
	Silent int `json:"silent"`
	// Spare is the number of answering voters that may be lost: Voters less Silent
	// and Needed.
	Spare int `json:"spare"`
	// Refusal says why the newest change of members was refused; it is empty after
	// an accepted one.
	Refusal string `json:"refusal,omitempty"`
}

// MembersAnswer lists the replicated group after a change of members.
type MembersAnswer struct {
	Members []MemberStatus `json:"members"`
	// Pending is set while the change is not committed yet.
	Pending bool `json:"pending,omitempty"`
}

// EntryStatus is an entry host's state as the leader knows it.
type EntryStatus struct {
	Entry   EntryID `json:"entry"`
	Version Index   `json:"version"`
	// Behind is set when a newer version than Version has been accepted.
	Behind     bool     `json:"behind"`
	SinceHeard Duration `json:"heard"`
	SlotsHeld  int      `json:"held"`
}

// WorkerSummary counts the workers that send heartbeats.
type WorkerSummary struct {
	Known   int `json:"known"`
	Silent  int `json:"silent"`
	Leaving int `json:"leaving"`
	// Quarantined counts the workers in quarantine, and those that come back from
	// it and get one task at a time as a probe.
	Quarantined int `json:"quarantined"`
	// Capacity is the sum over the workers that are not silent. Used is the sum of
	// the declared sizes of the tasks placed on them.
	Capacity Resources `json:"capacity"`
	Used     Resources `json:"used"`
}

// TaskSummary counts the tasks of all jobs.
type TaskSummary struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
}

// ServiceStatus counts the workers and slots that serve a service.
type ServiceStatus struct {
	Name    ServiceName `json:"name"`
	Workers int         `json:"workers"`
	Slots   int         `json:"slots"`
}

// JobState is the state of a job as a whole.
type JobState string

// The states of a job.
const (
	JobWaiting    JobState = "waiting" // no task is placed
	JobRunning    JobState = "running"
	JobDone       JobState = "done"
	JobFailed     JobState = "failed"     // all tasks have ended, some failed or were lost
	JobCancelling JobState = "cancelling" // placed tasks are being stopped
	JobCancelled  JobState = "cancelled"
)

// JobStatus is a job with its tasks counted by phase, as GET /v1/jobs/ID returns
// it.
type JobStatus struct {
	ID    JobID    `json:"id"`
	Team  TeamName `json:"team"`
	Kind  JobKind  `json:"kind"`
	State JobState `json:"state"`
	// Total is the number of tasks; Waiting, Placed and Ended add up to it.
	Total   int `json:"total"`
	Waiting int `json:"waiting"`
	Placed  int `json:"placed"`
	Ended   int `json:"ended"`
	// Failed counts the ended tasks that have failed or were lost.
	Failed    int  `json:"failed,omitempty"`
	Cancelled bool `json:"cancelled,omitempty"`
	// Reason says why tasks wait.
	Reason string `json:"why,omitempty"`
	// Change is set while the tasks of a service that a ticket has changed are
	// being replaced.
	Change *ChangeStatus `json:"change,omitempty"`
	// Tasks lists the first tasks of the job; it is empty in lists of all jobs.
	Tasks []TaskStatus `json:"tasks,omitempty"`
}

// ChangeStatus is the progress of the change of a service.
type ChangeStatus struct {
	// Step is the number of tasks that may be out of service at a time.
	Step int `json:"step"`
	// Replaced counts the tasks in service with the newest specification, Former
	// those that still run with an earlier one, and Missing those that are out of
	// service.
	Replaced int `json:"replaced"`
	Former   int `json:"former"`
	Missing  int `json:"missing"`
	// Halted is set when the change can't continue in the present state.
	Halted bool   `json:"halted"`
	Reason string `json:"why"`
}

// TaskStatus is the state of one task.
type TaskStatus struct {
	Index   TaskIndex `json:"index"`
	Phase   string    `json:"phase"`
	Attempt Attempt   `json:"attempt"`
	Worker  WorkerID  `json:"worker,omitempty"`
	State   TaskState `json:"state,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// SubmitAnswer is the body of an accepted POST /v1/jobs.
type SubmitAnswer struct {
	Job JobID `json:"job"`
	// Repeat is set when a submission with the same key had been accepted before.
	Repeat bool `json:"repeat"`
}

// CancelAnswer is the body of an accepted DELETE /v1/jobs/ID.
type CancelAnswer struct {
	Job       JobID `json:"job"`
	Cancelled bool  `json:"cancelled"`
}

// DrainAnswer is the body of POST /v1/drain.
type DrainAnswer struct {
	Name     EntryID `json:"name"`
	Draining bool    `json:"draining"`
	// Waiting and Active count the requests that the host has yet to finish.
	Waiting int `json:"waiting"`
	Active  int `json:"active"`
}
