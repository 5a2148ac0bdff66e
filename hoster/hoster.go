package hoster

import (
	"context"
	"errors"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/clocker"
	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/platform"
	"goldcreststack.example/goldcreststack/pruner"
	"goldcreststack.example/goldcreststack/relayer"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/storer"
)

const (
	// memoryShare is the percentage of the memory limit at which the runtime
	// collects more eagerly; the rest is for stacks and unread bytes.
	memoryShare = 70
	// collectAt is how many percent of the live heap may be allocated before the
	// runtime collects: a leader allocates for each order and answer, and has
	// memory to spare but no processor. The memory limit goes before it.
	collectAt = 300
	// leaveDelay is how long a stopping process still takes requests: two
	// probes a second apart take it out of rotation.
	leaveDelay = 2500 * time.Millisecond
	// closeWithin bounds the wait for requests in progress after that; a call
	// to the leader takes at most 900 ms.
	closeWithin = 1500 * time.Millisecond
	// joinEvery is the time between two requests to be admitted as a member.
	joinEvery = 300 * time.Millisecond
	// seedsEvery is the time between two looks at the settings file, which may
	// change without a signal.
	seedsEvery = 2 * time.Second
	// diskParts is the part of the disk at which a snapshot is due: the log up
	// to it, the snapshot before it and the one being written have to fit.
	diskParts = 10
	// snapshotEvery is the number of entries between two snapshots. A leader
	// that is elected after a restart of the whole group applies the entries
	// since the last one first, about 20 microseconds each on a small host, and
	// callers wait for it.
	snapshotEvery = 4_000
	// segmentParts is the part of the disk that one file of the log may take.
	segmentParts = 32
	// acceptParts is the part of the descriptors that connections to the process
	// may take, one in acceptParts; orders to workers and questions to the outside
	// policy, links and the log share the rest.
	acceptParts = 2
	// readyFor is how long a process without a leader stays ready: an election
	// takes up to two seconds, and refusals tell callers when to come back.
	readyFor = 4 * time.Second
	// defaultLease is used when the settings name no bound.
	defaultLease = 6 * time.Second
	// electionMin and electionMax are shorter than the replicator's defaults:
	// jobs are due a second after they come, round trips take 2 ms, and the
	// shortest time covers four heartbeats.
	electionMin = 400 * time.Millisecond
	electionMax = 750 * time.Millisecond
	// comeBack is when a refused caller should try again: an election's length.
	comeBack = time.Second
)

// metricsPort is where metrics and the state dump are served on each host; the
// deploy file names it too.
const metricsPort = "9464"

// reports serves the metrics and the state dump.
func (h *host) reports() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		reporter.WriteMetrics(w, h.report)
	})
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := h.report.WriteDump(r.Context(), w); err != nil {
			h.report.Warn("the state dump was not written", "error", err)
		}
	})
	return mux
}

// host is what both roles share.
type host struct {
	node   *platform.Node
	report *reporter.Reporter
	relay  *relayer.Relayer
	server *platform.Server
	client *platform.Client
	clock  *clocker.Clock
	ending atomic.Bool
	// reached is when a leader was last reached, in nanoseconds since start.
	reached atomic.Int64
	start   time.Time
}

func newHost(node *platform.Node, report *reporter.Reporter) *host {
	limits(node)
	h := &host{node: node, report: report, client: platform.NewClient(), clock: clocker.New(), start: time.Now()}
	settings := relayer.Settings{
		Name:  modeler.EntryID(node.Name),
		Clock: h.clock.Now,
		Ask: func(ctx context.Context, ask *modeler.PermitRequest) modeler.PermitAnswer {
			return h.client.Ask(ctx, node.Policy, ask)
		},
		Report: report,
	}
	if node.Control != "" {
		// Entry hosts have too little processor and network for it.
		settings.Carry, settings.Carries = h.client.Send, node.Link
	}
	h.relay = relayer.New(settings)
	h.server = &platform.Server{
		Address: node.Control,
		Call:    h.relay.Call,
		Ready:   h.ready,
		Log:     func(event string, pairs ...any) { report.Info(event, pairs...) },
		Outage:  h.relay.Outage,
		Later:   func() time.Duration { return comeBack },
	}
	return h
}

// limits keeps the runtime within the host's memory.
func limits(node *platform.Node) {
	if node.Control != "" {
		debug.SetGCPercent(collectAt)
	}
	if node.Memory > 0 {
		debug.SetMemoryLimit(int64(node.Memory) * memoryShare / 100)
	}
}

func (h *host) ready() bool {
	if h.ending.Load() {
		return false
	}
	now := time.Since(h.start)
	if h.relay.Reached() {
		h.reached.Store(int64(now))
		return true
	}
	last := time.Duration(h.reached.Load())
	return last > 0 && now-last < readyFor
}

// RunEntry serves callers until ctx ends.
func RunEntry(ctx context.Context, node *platform.Node, report *reporter.Reporter) error {
	h := newHost(node, report)
	report.Info("entry process starts", "address", node.Callers, "seeds", node.Seeds)
	return h.run(ctx, nil, map[string]http.Handler{
		node.Callers:   h.server.Callers(),
		node.Readiness: h.server.Readiness(),
	})
}

// RunControl runs a member of the replicated group until ctx ends. Links are
// accepted at the IP address bind if it is not empty, for a host behind a
// translation of addresses.
func RunControl(ctx context.Context, node *platform.Node, report *reporter.Reporter, bind string) error {
	h := newHost(node, report)
	settings, err := h.member()
	if err != nil {
		return err
	}
	if bind != "" {
		_, port, err := net.SplitHostPort(node.Link)
		if err != nil {
			return classifier.Wrap(classifier.Malformed, err, node.Link)
		}
		settings.Listen = net.JoinHostPort(bind, port)
	}
	c, err := controller.New(settings)
	if err != nil {
		return err
	}
	report.Info("control process starts", "address", node.Control, "member", settings.Member, "bootstrap", settings.Bootstrap, "seeds", node.Seeds)
	return h.run(ctx, c, map[string]http.Handler{node.Control: h.server.Control()})
}

// member decides as which member the process starts. A folder that holds an
// identity goes on as that member. An empty one begins the group if the host
// is among its first members; any other empty one is a new member, also at an
// old address, since its former self may have voted.
func (h *host) member() (controller.Settings, error) {
	node := h.node
	settings := controller.Settings{
		Listen:        node.Link,
		Advertise:     node.Link,
		Folder:        node.Folder,
		Report:        h.report,
		Resume:        true,
		Clock:         h.clock.Now,
		ElectionMin:   electionMin,
		ElectionMax:   electionMax,
		SnapshotEvery: snapshotEvery,
		SnapshotBytes: node.Disk / diskParts,
		Segment:       int64(node.Disk / segmentParts),
		Flows: &controller.FlowSettings{
			Bounds: dispatcher.Settings{
				Lease: node.Lease, Stop: node.Stop, Gang: node.Gang, Impact: node.Impact,
				Log: func(event string, pairs ...any) { h.report.Info(event, pairs...) },
			},
			Send: h.client.Send,
		},
	}
	if settings.Flows.Bounds.Lease == 0 {
		settings.Flows.Bounds.Lease = defaultLease
	}
	for _, seed := range node.Seeds {
		settings.First.Members = append(settings.First.Members, modeler.Member{ID: firstID(seed), Address: seed})
	}
	held, err := storer.Identify(node.Folder, nil)
	if err != nil {
		return settings, err
	}
	founder := node.First && slices.Contains(node.Seeds, node.Link)
	switch {
	case held != 0:
		settings.Member = held
		settings.Bootstrap = founder && held == firstID(node.Link)
	case founder:
		settings.Member = firstID(node.Link)
		settings.Bootstrap = true
	default:
		settings.Member = modeler.MemberID(rand.Uint64()>>1 | 1)
	}
	settings.Join = !settings.Bootstrap
	return settings, nil
}

// firstID is the id of a first member, which all of them work out alike.
func firstID(address string) modeler.MemberID {
	return modeler.MemberID(xxhash.Sum64String(address)>>1 | 1)
}

// serverLog passes what the HTTP server says on to the structured log, such as
// a connection that could not be accepted for want of a descriptor.
type serverLog struct{ report *reporter.Reporter }

// Write takes one line.
func (s serverLog) Write(line []byte) (int, error) {
	s.report.Warn("http server", "error", strings.TrimSpace(string(line)))
	return len(line), nil
}

// run serves the handlers until ctx ends, then stops in order: first out of
// rotation, then no new requests, then the links.
func (h *host) run(ctx context.Context, c *controller.Controller, handlers map[string]http.Handler) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(inner)
	handlers[net.JoinHostPort(h.node.Host, metricsPort)] = h.reports()
	unused := &pruner.Pruner{
		Most:   h.node.Files / acceptParts,
		Full:   func(most int) { h.report.Warn("connections reach their bound", "most", most) },
		Pruned: h.report.Counter("connections_closed_unused_total").Inc,
	}
	var servers []*http.Server
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return classifier.Wrap(classifier.Internal, err, "listen on "+address)
		}
		server := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: 3 * time.Second,
			ConnState:         unused.ConnState,
			ErrorLog:          log.New(serverLog{h.report}, "", 0),
		}
		servers = append(servers, server)
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	h.relay.Keep(inner, h.node.Seeds)
	group.Go(func() error { return h.relay.Run(inner) })
	group.Go(func() error { return h.followSettings(inner) })
	member, leave := context.WithCancel(inner)
	defer leave()
	if c != nil {
		h.relay.Keep(inner, []string{h.node.Link})
		group.Go(func() error { return c.Run(member) })
		group.Go(func() error { return h.join(inner, c) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
			return nil
		}
		h.report.Info("process stops", "grace", h.node.Grace.String())
		h.ending.Store(true)
		if c == nil {
			time.Sleep(leaveDelay)
		}
		leave()
		closing, cancel := context.WithTimeout(inner, closeWithin)
		defer cancel()
		for _, server := range servers {
			if err := server.Shutdown(closing); err != nil {
				h.report.Warn("requests were cut off", "error", err)
			}
		}
		stop()
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	h.report.Info("process stopped", "error", err)
	return err
}

// join asks to be admitted while the process is no member.
func (h *host) join(ctx context.Context, c *controller.Controller) error {
	for {
		if !c.Joined() {
			m := modeler.Member{ID: c.Member(), Address: h.node.Link}
			_, err := h.relay.Call(ctx, &modeler.Call{Kind: modeler.JoinCall, Member: &m})
			h.report.Info("admission asked", "member", m.ID, "answer", classifier.KindOf(err).String())
		}
		select {
		case <-time.After(joinEvery):
		case <-ctx.Done():
			return nil
		}
	}
}

// followSettings takes over the seeds whenever the settings file changes, with
// or without a signal.
func (h *host) followSettings(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	timer := time.NewTicker(seedsEvery)
	defer timer.Stop()
	seeds := h.node.Seeds
	for {
		signalled := false
		select {
		case <-timer.C:
		case <-reload:
			signalled = true
		case <-ctx.Done():
			return nil
		}
		node, err := platform.LoadNode()
		if err != nil {
			h.report.Warn("the settings can't be read", "error", err)
			continue
		}
		if signalled || !slices.Equal(node.Seeds, seeds) {
			h.report.Info("settings reloaded", "signal", signalled, "seeds", node.Seeds)
			seeds = node.Seeds
			h.relay.Keep(ctx, seeds)
		}
	}
}
