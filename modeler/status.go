package modeler

// ErrorAnswer is the body of every answer of the system's own that is not a
// success.
type ErrorAnswer struct {
	// Kind is a name from the classifier's list.
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	// Digest is set on a ticket conflict: that of the content which holds
	// the number.
	Digest Digest `json:"digest,omitempty"`
}

// TicketAnswer is an accepted ticket, as POST /v1/tickets and GET
// /v1/tickets/N give it.
type TicketAnswer struct {
	Number TicketNumber `json:"number"`
	// Version is the version of the configuration that the ticket made.
	Version  Index `json:"version"`
	Accepted bool  `json:"accepted"`
	// Repeat says that an earlier sending of the same ticket was accepted.
	Repeat bool   `json:"repeat,omitempty"`
	Digest Digest `json:"digest"`
	Detail string `json:"detail,omitempty"`
	// InForce says that no host serves under an older configuration any more.
	InForce bool `json:"force"`
	// Waiting names the entry hosts that have not confirmed the version.
	Waiting []EntryID `json:"waiting,omitempty"`
}

// Status is what operators see of the cell.
type Status struct {
	Leader  MemberID     `json:"leader"`
	Term    Term         `json:"term"`
	Commit  Index        `json:"commit"`
	Version Index        `json:"version"`
	Ticket  TicketNumber `json:"ticket"`
	// VersionInForce is the newest version that is in force on every entry host; it
	// is 0 while that isn't known.
	VersionInForce Index          `json:"force"`
	Members        []MemberStatus `json:"members"`
	// Pending says that a change of members is not committed yet.
	Pending  bool            `json:"pending,omitempty"`
	Entries  []EntryStatus   `json:"entries"`
	Workers  WorkerSummary   `json:"workers"`
	Services []ServiceStatus `json:"services"`
	Tasks    TaskSummary     `json:"tasks"`
	Jobs     []JobStatus     `json:"jobs"`
	// Hidden counts the jobs that the list leaves out.
	Hidden int `json:"hidden,omitempty"`
	// Records counts the at-most-once records.
	Records int `json:"records"`
}

// MemberStatus is what the leader knows of a member.
type MemberStatus struct {
	Member
	// Match is the last log entry that the member has synced.
	Match Index `json:"match"`
	// Lag is the time since the newest round that the member has answered;
	// it is negative when it has answered none.
	Lag Duration `json:"lag"`
	// Current says that the member answers and holds nearly the whole log; a
	// learner can be promoted then.
	Current bool `json:"current"`
}

// MembersAnswer is the replicated group after a change of members.
type MembersAnswer struct {
	Members []MemberStatus `json:"members"`
	// Pending says that the change is not committed yet.
	Pending bool `json:"pending,omitempty"`
}

// EntryStatus is what the leader knows of an entry host.
type EntryStatus struct {
	Entry   EntryID `json:"entry"`
	Version Index   `json:"version"`
	// Behind says that a newer version has been accepted.
	Behind     bool     `json:"behind"`
	SinceHeard Duration `json:"heard"`
	SlotsHeld  int      `json:"held"`
}

// WorkerSummary counts the workers that announce themselves.
type WorkerSummary struct {
	Known   int `json:"known"`
	Silent  int `json:"silent"`
	Leaving int `json:"leaving"`
	// Quarantined counts the workers in quarantine and on probe.
	Quarantined int `json:"quarantined"`
	// Capacity adds up the workers that are not silent, Used what the tasks
	// placed on them have declared.
	Capacity Resources `json:"capacity"`
	Used     Resources `json:"used"`
}

// TaskSummary counts the tasks of all jobs.
type TaskSummary struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
}

// ServiceStatus is a service with the slots that serve it.
type ServiceStatus struct {
	Name    ServiceName `json:"name"`
	Workers int         `json:"workers"`
	Slots   int         `json:"slots"`
}

// JobState sums up where a job stands.
type JobState string

// The states of a job.
const (
	JobWaiting    JobState = "waiting" // no task is placed
	JobRunning    JobState = "running"
	JobDone       JobState = "done"
	JobFailed     JobState = "failed"     // all tasks have ended, some of them badly
	JobCancelling JobState = "cancelling" // placed tasks are being stopped
	JobCancelled  JobState = "cancelled"
)

// JobStatus is a job with its tasks by phase, as GET /v1/jobs/ID gives it.
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
	// Reason tells why tasks wait.
	Reason string `json:"why,omitempty"`
	// Change is set while a ticket's change of a service is carried out.
	Change *ChangeStatus `json:"change,omitempty"`
	// Tasks lists the first tasks; the list of all jobs leaves it out.
	Tasks []TaskStatus `json:"tasks,omitempty"`
}

// ChangeStatus tells how far the change of a service has come.
type ChangeStatus struct {
	// Step is the number of tasks that may be out of service at a time.
	Step int `json:"step"`
	// Replaced counts the tasks in service under the newest ticket, Former
	// those that still run an earlier content, and Missing those that are out
	// of service.
	Replaced int `json:"replaced"`
	Former   int `json:"former"`
	Missing  int `json:"missing"`
	// Halted says that the change can't go on as things stand.
	Halted bool   `json:"halted"`
	Reason string `json:"why"`
}

// TaskStatus is where one task stands.
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
	// Repeat says that an earlier sending under the same key was accepted.
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
	// Waiting and Active count the requests that the host still finishes.
	Waiting int `json:"waiting"`
	Active  int `json:"active"`
}
