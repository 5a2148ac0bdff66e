package loader

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Role is the role of a process, which is also the name of its section.
type Role string

// The roles for which a settings file can have a section.
const (
	EntryRole   Role = "entry"
	ControlRole Role = "control"
	WorkerRole  Role = "worker"
)

// Settings is the content of a host's settings file, which its processes
// share. Each role has its own section.
type Settings struct {
	// Host is the name of the host in logs.
	Host    string
	Region  modeler.RegionName
	Domain  modeler.DomainName
	Entry   *Entry
	Control *Control
	Worker  *Worker
}

// Roles returns the roles for which the file has a section.
func (s Settings) Roles() []Role {
	var roles []Role
	if s.Entry != nil {
		roles = append(roles, EntryRole)
	}
	if s.Control != nil {
		roles = append(roles, ControlRole)
	}
	if s.Worker != nil {
		roles = append(roles, WorkerRole)
	}
	return roles
}

// Entry holds the settings of an entry process.
type Entry struct {
	Name modeler.EntryID
	// ListenAddress is the address at which callers, workers and operators connect
	// over HTTP.
	ListenAddress string
	// ControlAddresses are the link addresses of control processes.
	ControlAddresses []string
	// DrainDelay is how long the listener stays open after the readiness probe
	// has started to fail.
	DrainDelay time.Duration
	// ShutdownTimeout bounds the time for the shutdown, including DrainDelay.
	ShutdownTimeout time.Duration
	Limits          Limits
}

// Limits bounds the requests that an entry process keeps in memory.
type Limits struct {
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes modeler.Bytes
	// MaxQueuedRequests bounds the number of waiting requests of all services together.
	MaxQueuedRequests int
	// MaxBufferedBytes bounds the size of the bodies of all waiting requests together.
	MaxBufferedBytes modeler.Bytes
}

// Control holds the settings of a control process.
type Control struct {
	Member modeler.MemberID
	// ListenAddress is the address at which links are accepted.
	ListenAddress string
	// AdvertisedAddress is the link address that other processes dial.
	AdvertisedAddress string
	// HTTPAddress is the address that serves metrics, readiness and the state dump.
	HTTPAddress string
	// Members are the first members of the group or, with Join, the members
	// that are asked to admit this one.
	Members []FirstMember
	// DataFolder is the data folder.
	DataFolder string
	// Join makes this member join an existing group instead of starting one.
	Join bool
}

// FirstMember is a member that a group starts with.
type FirstMember struct {
	ID      modeler.MemberID
	Address string
}

// Worker holds the settings of the stand-in worker.
type Worker struct {
	Name              modeler.WorkerID
	ListenAddress     string
	AdvertisedAddress string
	// EntryAddresses are the HTTP addresses that heartbeats go to.
	EntryAddresses []string
	Rack           modeler.RackName
	Labels         []string
	Services       []modeler.ServiceName
	Slots          int
	Connections    int
	IdleTimeout    time.Duration
	Capacity       modeler.Resources
}
