package forwarder

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dialer"
	"goldcreststack.example/goldcreststack/drainer"
	"goldcreststack.example/goldcreststack/follower"
	"goldcreststack.example/goldcreststack/limiter"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/router"
)

const (
	// eventQueueSize bounds the events that wait for the core.
	eventQueueSize = 8192
	// settlementQueueSize bounds the settlements that wait to be recorded.
	settlementQueueSize = 4096
	// readHeaderTimeout bounds the time in which the head of a request arrives.
	readHeaderTimeout = 5 * time.Second
	// maxBudgetCallers bounds the callers whose retries are counted.
	maxBudgetCallers = 10_000
)

// Settings configures an entry process.
type Settings struct {
	Entry    modeler.EntryID
	Listen   string
	Controls []string
	// MaxBody bounds the size of one request body, MaxBuffered the memory for all
	// buffered bodies.
	MaxBody     modeler.Bytes
	MaxBuffered modeler.Bytes
	// DrainDelay is how long readiness fails before the listener closes; DrainGrace
	// bounds the whole shutdown.
	DrainDelay time.Duration
	DrainGrace time.Duration
	Report     *reporter.Reporter
	// Listener replaces Listen when it is set.
	Listener net.Listener
	// Dial opens a connection to a worker; the default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Forwarder is a running entry process.
type Forwarder struct {
	settings       Settings
	startedAt      time.Time
	session        modeler.EntrySession
	events         chan event
	leader         *follower.Client
	core           *core
	dialer         *dialer.Dialer
	heartbeats     *heartbeatBatcher
	settlements    *settler
	bodyMemory     *memoryBudget
	requestMetrics *requestMetrics

	// configurationVersion is the version of the configuration that services
	// comes from; only the core goroutine accesses it.
	configurationVersion modeler.Index
	nextRequest          atomic.Uint64
	services             atomic.Pointer[map[modeler.ServiceName]modeler.Service]
	isClosing            atomic.Bool
	drainRequested       chan struct{}
	drainOnce            sync.Once

	budgetMu sync.Mutex
	budget   *limiter.Budget
	random   *rand.Rand
}

// New returns an entry process that has not been started.
func New(settings Settings) *Forwarder {
	f := &Forwarder{
		settings:       settings,
		startedAt:      time.Now(),
		events:         make(chan event, eventQueueSize),
		bodyMemory:     newMemoryBudget(int64(settings.MaxBuffered)),
		drainRequested: make(chan struct{}),
		budget:         limiter.NewBudget(maxBudgetCallers),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	// The leader refuses an incarnation lower than one that it has registered,
	// so the incarnation must grow with each start of the process.
	f.session = modeler.EntrySession{
		Entry:       settings.Entry,
		Incarnation: modeler.Incarnation(f.startedAt.UnixNano()),
	}
	f.dialer = dialer.New(dialer.Settings{Session: f.session.String(), Dial: settings.Dial})
	f.leader = follower.New(modeler.Hello{Entry: f.session.Entry, Incarnation: f.session.Incarnation}, f.linkHandlers())
	f.core = &core{
		forwarder: f,
		router:    router.New(f.session.Entry, f.session.Incarnation, router.Options{}),
		replies:   make(map[router.RequestID]chan<- placement),
	}
	f.requestMetrics = newRequestMetrics(settings.Report)
	f.heartbeats = newHeartbeatBatcher(f.leader)
	f.settlements = newSettler(f)
	noServices := make(map[modeler.ServiceName]modeler.Service)
	f.services.Store(&noServices)
	return f
}

func (f *Forwarder) now() modeler.ClockReading { return modeler.ClockReading(time.Since(f.startedAt)) }

// post sends an event to the core; it drops the event when ctx ends first.
func (f *Forwarder) post(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

// configure publishes the services to the request handlers. It ignores a
// version older than the current one, which a replaced leader may still send
// before it learns of its successor.
func (f *Forwarder) configure(c *modeler.Configuration) {
	if c.Version < f.configurationVersion {
		return
	}
	f.configurationVersion = c.Version
	services := make(map[modeler.ServiceName]modeler.Service, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = s
	}
	f.services.Store(&services)
}

// Run serves until ctx ends or Drain is called, then shuts down gracefully.
func (f *Forwarder) Run(ctx context.Context) error {
	bound := f.settings.Listener
	if bound == nil {
		var err error
		bound, err = net.Listen("tcp", f.settings.Listen)
		if err != nil {
			return classifier.Wrap(classifier.Internal, err, "listen on "+f.settings.Listen)
		}
	}
	listener := drainer.NewListener(bound)
	f.settings.Report.Info("entry process listens", "address", listener.Addr().String())
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	server := &http.Server{
		Handler:           f.Handler(),
		ConnState:         listener.ConnState,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * time.Minute,
	}
	f.register(serveCtx)
	f.leader.KeepLinks(serveCtx, f.settings.Controls)
	group.Go(func() error { return f.core.run(serveCtx) })
	group.Go(func() error { return f.heartbeats.run(serveCtx) })
	group.Go(func() error { return f.settlements.run(serveCtx) })
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-f.drainRequested:
		case <-serveCtx.Done():
			return nil
		}
		return f.shutDown(serveCtx, server, listener)
	})
	err := group.Wait()
	f.dialer.Close()
	return err
}

// Drain starts the graceful shutdown; Run returns when it is complete.
func (f *Forwarder) Drain() {
	f.drainOnce.Do(func() { close(f.drainRequested) })
}

// shutDown fails the readiness check, waits for the balancer to notice, lets
// queued and running requests finish, and returns the slots to the leader.
func (f *Forwarder) shutDown(ctx context.Context, server *http.Server, listener *drainer.Listener) error {
	startedAt := time.Now()
	f.isClosing.Store(true)
	f.settings.Report.Info("drain begins", "delay", f.settings.DrainDelay)
	sleep(ctx, f.settings.DrainDelay)
	remaining := f.settings.DrainGrace - time.Since(startedAt)
	graceCtx, cancel := context.WithTimeout(ctx, max(remaining, 0))
	defer cancel()
	// At least half of the grace is left to requests that are being served.
	readCtx, stopReading := context.WithTimeout(graceCtx, min(readHeaderTimeout, max(remaining, 0)/2))
	defer stopReading()
	listener.WaitUntilRead(readCtx)
	if err := server.Shutdown(graceCtx); err != nil {
		_ = server.Close()
		return classifier.Wrap(classifier.Internal, err, "requests were still running at the end of the grace period")
	}
	f.post(graceCtx, drainStarted{})
	for !f.isDrained(graceCtx) && sleep(graceCtx, 10*time.Millisecond) {
	}
	f.settlements.waitUntilEmpty(graceCtx)
	f.settings.Report.Info("drain ends", "took", time.Since(startedAt))
	return nil
}

func (f *Forwarder) isDrained(ctx context.Context) bool {
	answer := make(chan bool, 1)
	f.post(ctx, stateInspection{visit: func(c *core) { answer <- c.router.Drained() }})
	select {
	case done := <-answer:
		return done
	case <-ctx.Done():
		return false
	}
}

// Serving reports whether the entry process accepts new requests.
func (f *Forwarder) Serving(ctx context.Context) bool {
	if f.isClosing.Load() {
		return false
	}
	answer := make(chan bool, 1)
	f.post(ctx, stateInspection{visit: func(c *core) { answer <- c.router.Serving(f.now()) }})
	select {
	case serving := <-answer:
		return serving
	case <-ctx.Done():
		return false
	}
}

// linkCount returns the number of open links to control processes, for the
// state dump.
func (f *Forwarder) linkCount() int {
	return f.leader.Links()
}

// linkHandlers returns the callbacks that turn link changes and messages of the
// leader into events for the core.
func (f *Forwarder) linkHandlers() follower.Hooks {
	return follower.Hooks{
		LeaderUp:   func(ctx context.Context, term modeler.Term) { f.post(ctx, leaderConnected{term: term}) },
		LeaderDown: func(ctx context.Context, term modeler.Term) { f.post(ctx, leaderDisconnected{term: term}) },
		Message: func(ctx context.Context, _ *linker.Link, m *modeler.Message) {
			switch {
			case m.Kind == modeler.GrantMessage && m.Grant != nil:
				f.post(ctx, grantReceived{grant: m.Grant})
			case m.Kind == modeler.ConfigurationMessage && m.Configuration != nil:
				f.post(ctx, configurationReceived{configuration: m.Configuration})
			}
		},
	}
}
