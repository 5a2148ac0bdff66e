package modeler

// Ticket is a numbered change that carries the whole new state of every
// object it touches.
type Ticket struct {
	Number   TicketNumber `json:"number"`
	Note     string       `json:"note,omitempty"`
	Services []Service    `json:"services,omitempty"`
	Teams    []Team       `json:"teams,omitempty"`
	Jobs     []Job        `json:"jobs,omitempty"`
	Removals Removal      `json:"removes,omitzero"`
}

// Removal names the objects that a ticket takes away.
type Removal struct {
	Services []ServiceName `json:"services,omitempty"`
	Teams    []TeamName    `json:"teams,omitempty"`
	Jobs     []JobID       `json:"jobs,omitempty"`
}

// Service is what callers send requests to.
type Service struct {
	Name   ServiceName `json:"name"`
	Region RegionName  `json:"region"`
	Team   TeamName    `json:"team"`
	// AtMostOnce marks every request of the service as not to be repeated.
	AtMostOnce bool `json:"once,omitempty"`
	// Limit bounds the run time of one request.
	Limit Duration `json:"limit"`
	// Wait bounds the time a request may wait for a slot.
	Wait Duration `json:"wait"`
	// Queue bounds the waiting requests on one entry host.
	Queue int `json:"queue"`
	// Rate bounds the requests a second of one caller on one entry host; 0
	// means no bound.
	Rate int `json:"rate,omitempty"`
}

// Policy says how the tasks of a team are arranged on workers.
type Policy string

// The placement policies.
const (
	Spread Policy = "spread" // shortest waiting time
	Pack   Policy = "pack"   // fullest workers
)

// Team owns services and jobs inside a quota.
type Team struct {
	Name   TeamName  `json:"name"`
	Quota  Resources `json:"quota"`
	Weight int       `json:"weight"`
	Policy Policy    `json:"policy"`
}

// JobKind tells how the tasks of a job are treated.
type JobKind string

// The kinds of jobs.
const (
	LongRunning JobKind = "service"
	Batch       JobKind = "batch"
	Gang        JobKind = "gang"
)

// Job is a set of equal tasks.
type Job struct {
	ID    JobID    `json:"id"`
	Team  TeamName `json:"team"`
	Kind  JobKind  `json:"kind"`
	Tasks int      `json:"tasks"`
	// Step bounds the tasks of a service that a change takes out of service
	// at a time; 0 means a tenth of the tasks, and at least one.
	Step int       `json:"step,omitempty"`
	Size Resources `json:"size"`
	// Runtime is the declared run time of a task, often far off; 0 for a
	// service.
	Runtime Duration `json:"runtime,omitempty"`
	Urgent  bool     `json:"urgent,omitempty"`
	// Checkpoint says that a task may be checkpointed and started again
	// elsewhere.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// AtMostOnce says that a task is not started again after a start that may have
	// run.
	AtMostOnce bool       `json:"once,omitempty"`
	Constraint Constraint `json:"where,omitzero"`
	// Command is handed to the worker as it is.
	Command string `json:"command,omitempty"`
}

// Constraint restricts where tasks may run; an empty list allows all.
type Constraint struct {
	Regions []RegionName `json:"regions,omitempty"`
	Domains []DomainName `json:"domains,omitempty"`
	Racks   []RackName   `json:"racks,omitempty"`
	Labels  []string     `json:"labels,omitempty"`
}

// Configuration is the standing state that tickets have set up.
type Configuration struct {
	Version  Index        `json:"version"`
	Ticket   TicketNumber `json:"ticket"`
	Services []Service    `json:"services"`
	Teams    []Team       `json:"teams"`
}
