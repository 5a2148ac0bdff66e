package worker

import (
	"context"
	"net"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Settings configures a worker. Zero values are replaced by defaults.
type Settings struct {
	ID modeler.WorkerID
	// Listen is the address to listen on; port 0 lets the system pick one.
	Listen string
	// Address, if set, is announced in place of the address listened on.
	Address string
	// Entries are the addresses of the entry hosts or their load balancer.
	Entries []string

	Region   modeler.RegionName
	Domain   modeler.DomainName
	Rack     modeler.RackName
	Labels   []string
	Services []modeler.ServiceName

	Slots       int
	Connections int
	// IdleTimeout is the time after which a connection without a complete request header
	// is closed.
	IdleTimeout time.Duration
	Capacity    modeler.Resources

	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// ServiceTime is the service time of a request.
	ServiceTime time.Duration
	// MaxServiceTime is the longest time that a request is served.
	MaxServiceTime time.Duration
	// Runtime is the run time of a task whose command sets none; 0 means
	// until it is stopped.
	Runtime time.Duration
	// CheckpointTime is how long a task takes to be checkpointed.
	CheckpointTime time.Duration
	// UsageFactor is the ratio of a task's resource usage to its declared size.
	UsageFactor float64
	// LeaveDelay is the time between announcing that the worker leaves and refusing new
	// requests.
	LeaveDelay time.Duration
	// GracePeriod is the longest time to wait after LeaveDelay for active requests to finish.
	GracePeriod time.Duration

	// OmitRequestToken omits the request token from answers.
	OmitRequestToken bool
	Faults           Faults

	// Listening, if set, is called with the announced address once the worker
	// listens.
	Listening func(address string)
	// Announce sends a heartbeat to an entry host; the default is HTTP.
	Announce func(ctx context.Context, entry string, beat modeler.Heartbeat) (modeler.HeartbeatAnswer, error)
	// Bind opens the listener; the default is TCP.
	Bind func(address string) (net.Listener, error)
}

func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&s.IdleTimeout, time.Second)
	set(&s.HeartbeatInterval, time.Second)
	set(&s.MaxServiceTime, time.Minute)
	set(&s.LeaveDelay, 3*time.Second)
	set(&s.GracePeriod, time.Minute)
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	if s.Slots <= 0 {
		s.Slots = 8
	}
	if s.Connections <= 0 {
		s.Connections = 64
	}
	if s.UsageFactor <= 0 {
		s.UsageFactor = 1
	}
	if s.Bind == nil {
		s.Bind = func(address string) (net.Listener, error) {
			return net.Listen("tcp", address)
		}
	}
	return s
}
