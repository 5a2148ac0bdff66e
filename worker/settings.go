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
	// Idle is the time after which a connection without a complete request header
	// is closed.
	Idle     time.Duration
	Capacity modeler.Resources

	// Beat is the time between two heartbeats.
	Beat time.Duration
	// Time is the service time of a request.
	Time time.Duration
	// Limit is the longest time that a request is served.
	Limit time.Duration
	// Runtime is the run time of a task whose command sets none; 0 means
	// until it is stopped.
	Runtime time.Duration
	// Checkpoint is how long a task takes to be checkpointed.
	Checkpoint time.Duration
	// Usage is the ratio of a task's resource usage to its declared size.
	Usage float64
	// Delay is the time between announcing that the worker leaves and refusing new
	// requests.
	Delay time.Duration
	// Grace is the longest time to wait after Delay for active requests to finish.
	Grace time.Duration

	// Plain omits the request token from answers.
	Plain  bool
	Faults Faults

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
	set(&s.Idle, time.Second)
	set(&s.Beat, time.Second)
	set(&s.Limit, time.Minute)
	set(&s.Delay, 3*time.Second)
	set(&s.Grace, time.Minute)
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	if s.Slots <= 0 {
		s.Slots = 8
	}
	if s.Connections <= 0 {
		s.Connections = 64
	}
	if s.Usage <= 0 {
		s.Usage = 1
	}
	if s.Bind == nil {
		s.Bind = func(address string) (net.Listener, error) {
			return net.Listen("tcp", address)
		}
	}
	return s
}
