package modeler

// Ticket is a numbered change of the configuration. It carries the complete new
// state of every object that it changes.
type Ticket struct {
	Number   TicketNumber `json:"number"`
	Note     string       `json:"note,omitempty"`
	Services []Service    `json:"services,omitempty"`
	Teams    []Team       `json:"teams,omitempty"`
	Jobs     []Job        `json:"jobs,omitempty"`
	Removals Removal      `json:"removes,omitzero"`
}

// Removal lists the objects that a ticket removes.
type Removal struct {
	Services []ServiceName `json:"services,omitempty"`
	Teams    []TeamName    `json:"teams,omitempty"`
	Jobs     []JobID       `json:"jobs,omitempty"`
}

// Service is a named target for callers' requests.
type Service struct {
	Name   ServiceName `json:"name"`
	Region RegionName  `json:"region"`
	Team   TeamName    `json:"team"`
	// AtMostOnce is set when no request of the service may be repeated.
	AtMostOnce bool `json:"once,omitempty"`
	// Limit is the maximum run time of one request.
	Limit Duration `json:"limit"`
	// Wait is the maximum time that a request waits for a slot.
	Wait Duration `json:"wait"`
	// Queue is the maximum number of waiting requests on one entry host.
	Queue int `json:"queue"`
	// Rate is the maximum number of requests per second of one caller on one entry
	// host; 0 means no limit.
	Rate int `json:"rate,omitempty"`
}

// Policy is the way in which the tasks of a team are placed on workers.
type Policy string

// The placement policies.
const (
	Spread Policy = "spread" // for the shortest waiting time
	Pack   Policy = "pack"   // for the fullest workers
)

// Team owns services and jobs; its quota limits the resources that they use.
type Team struct {
	Name   TeamName  `json:"name"`
	Quota  Resources `json:"quota"`
	Weight int       `json:"weight"`
	Policy Policy    `json:"policy"`
}

// JobKind is the way in which the tasks of a job are scheduled.
type JobKind string

// The kinds of jobs.
const (
	LongRunning JobKind = "service"
	Batch       JobKind = "batch"
	Gang        JobKind = "gang"
)

// Job is a set of identical tasks.
type Job struct {
	ID    JobID    `json:"id"`
	Team  TeamName `json:"team"`
	Kind  JobKind  `json:"kind"`
	Tasks int      `json:"tasks"`
	// Step is the maximum number of tasks of a service that a change takes out of
	// service at a time; 0 means a tenth of the tasks, and at least one.
	Step int       `json:"step,omitempty"`
	Size Resources `json:"size"`
	// Runtime is the declared run time of a task, which is often wrong by far; 0
	// for a service.
	Runtime Duration `json:"runtime,omitempty"`
	Urgent  bool     `json:"urgent,omitempty"`
	// Checkpoint is set when a task may be checkpointed and resumed on another
	// worker.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// AtMostOnce is set when a task must not be started again if it may already
	// have run.
	AtMostOnce bool       `json:"once,omitempty"`
	Constraint Constraint `json:"where,omitzero"`
	// Command is passed to the worker unchanged.
	Command string `json:"command,omitempty"`
}

// Constraint restricts the workers that tasks may run on; an empty list allows
// all.
type Constraint struct {
	Regions []RegionName `json:"regions,omitempty"`
	Domains []DomainName `json:"domains,omitempty"`
	Racks   []RackName   `json:"racks,omitempty"`
	Labels  []string     `json:"labels,omitempty"`
}

// Configuration is the state that all accepted tickets have produced.
type Configuration struct {
	Version  Index        `json:"version"`
	Ticket   TicketNumber `json:"ticket"`
	Services []Service    `json:"services"`
	Teams    []Team       `json:"teams"`
}
