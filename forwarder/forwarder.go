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
	"goldcreststack.example/goldcreststack/follower"
	"goldcreststack.example/goldcreststack/limiter"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/router"
)

const (
	// ringSize bounds the events that wait for the core.
	ringSize = 8192
	// settleRing bounds the settlements that wait to be recorded.
	settleRing = 4096
	// budgetSize bounds the callers whose retries are counted.
	budgetSize = 10_000
)

// Settings configure an entry process.
type Settings struct {
	Entry    modeler.EntryID
	Listen   string
	Controls []string
	// Body bounds one request body, Buffer the bodies kept in memory at one
	// time.
	Body   modeler.Bytes
	Buffer modeler.Bytes
	Delay  time.Duration
	Grace  time.Duration
	Report *reporter.Reporter
	// Listener replaces Listen when it is set.
	Listener net.Listener
}

// Forwarder is a running entry process.
type Forwarder struct {
	settings Settings
	start    time.Time
	session  modeler.EntrySession
	events   chan event
	leader   *follower.Client
	core     *core
	dialer   *dialer.Dialer
	beats    *beatBatcher
	settles  *settler
	buffers  *bufferPool
	counts   *counts

	// version is that of the published services; only the core goroutine
	// touches it.
	version     modeler.Index
	nextRequest atomic.Uint64
	services    atomic.Pointer[map[modeler.ServiceName]modeler.Service]
	closing     atomic.Bool
	draining    chan struct{}
	drainOnce   sync.Once

	budgetMu sync.Mutex
	budget   *limiter.Budget
	random   *rand.Rand
}

// New returns an entry process that has not started.
func New(settings Settings) *Forwarder {
	f := &Forwarder{
		settings: settings,
		start:    time.Now(),
		events:   make(chan event, ringSize),
		buffers:  newBufferPool(int64(settings.Buffer)),
		draining: make(chan struct{}),
		budget:   limiter.NewBudget(budgetSize),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	// The leader refuses an incarnation below one that it has registered, so
	// it must grow from start to start.
	f.session = modeler.EntrySession{
		Entry:       settings.Entry,
		Incarnation: modeler.Incarnation(f.start.UnixNano()),
	}
	f.dialer = dialer.New(dialer.Settings{Session: f.session.String()})
	f.leader = follower.New(modeler.Hello{Entry: f.session.Entry, Incarnation: f.session.Incarnation}, f.seams())
	f.core = &core{
		shell:   f,
		router:  router.New(f.session.Entry, f.session.Incarnation, router.Options{}),
		answers: make(map[router.RequestID]chan<- placement),
	}
	f.counts = newCounts(settings.Report)
	f.beats = newBeatBatcher(f.leader)
	f.settles = newSettler(f)
	none := make(map[modeler.ServiceName]modeler.Service)
	f.services.Store(&none)
	return f
}

func (f *Forwarder) now() modeler.ClockReading { return modeler.ClockReading(time.Since(f.start)) }

// post hands an event to the core; it gives up when ctx ends.
func (f *Forwarder) post(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

// configure publishes the services for the request handlers. A leader that
// has been replaced without knowing it may still send an older configuration.
func (f *Forwarder) configure(c *modeler.Configuration) {
	if c.Version < f.version {
		return
	}
	f.version = c.Version
	services := make(map[modeler.ServiceName]modeler.Service, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = s
	}
	f.services.Store(&services)
}

// Run serves until ctx ends, then shuts down gracefully.
func (f *Forwarder) Run(ctx context.Context) error {
	listener := f.settings.Listener
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", f.settings.Listen)
		if err != nil {
			return classifier.Wrap(classifier.Internal, err, "listen on "+f.settings.Listen)
		}
	}
	f.settings.Report.Info("entry process listens", "address", listener.Addr().String())
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(inner)
	server := &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * time.Minute,
	}
	f.register(inner)
	f.leader.Keep(inner, f.settings.Controls)
	group.Go(func() error { return f.core.run(inner) })
	group.Go(func() error { return f.beats.run(inner) })
	group.Go(func() error { return f.settles.run(inner) })
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
		case <-f.draining:
		case <-inner.Done():
			return nil
		}
		return f.shutDown(inner, server)
	})
	err := group.Wait()
	f.dialer.Close()
	return err
}

// Drain begins the graceful shutdown; Run returns when it is over.
func (f *Forwarder) Drain() {
	f.drainOnce.Do(func() { close(f.draining) })
}

// shutDown fails readiness, lets the balancer notice, finishes what is queued
// or running, and gives the slots back.
func (f *Forwarder) shutDown(ctx context.Context, server *http.Server) error {
	begun := time.Now()
	f.closing.Store(true)
	f.settings.Report.Info("drain begins", "delay", f.settings.Delay)
	sleep(ctx, f.settings.Delay)
	left := f.settings.Grace - time.Since(begun)
	graceCtx, cancel := context.WithTimeout(ctx, max(left, 0))
	defer cancel()
	if err := server.Shutdown(graceCtx); err != nil {
		_ = server.Close()
		return classifier.Wrap(classifier.Internal, err, "requests were still running at the end of the grace period")
	}
	f.post(graceCtx, drain{})
	for !f.drained(graceCtx) && sleep(graceCtx, 10*time.Millisecond) {
	}
	f.settles.flush(graceCtx)
	f.settings.Report.Info("drain ends", "took", time.Since(begun))
	return nil
}

func (f *Forwarder) drained(ctx context.Context) bool {
	answer := make(chan bool, 1)
	f.post(ctx, inspect{visit: func(c *core) { answer <- c.router.Drained() }})
	select {
	case done := <-answer:
		return done
	case <-ctx.Done():
		return false
	}
}

// Serving reports whether new requests are taken.
func (f *Forwarder) Serving(ctx context.Context) bool {
	if f.closing.Load() {
		return false
	}
	answer := make(chan bool, 1)
	f.post(ctx, inspect{visit: func(c *core) { answer <- c.router.Serving(f.now()) }})
	select {
	case serving := <-answer:
		return serving
	case <-ctx.Done():
		return false
	}
}

// linkCount returns the number of open links, for the state dump.
func (f *Forwarder) linkCount() int {
	return f.leader.Links()
}

// seams hands what the links bring to the core.
func (f *Forwarder) seams() follower.Seams {
	return follower.Seams{
		LeaderUp:   func(ctx context.Context, term modeler.Term) { f.post(ctx, leaderUp{term: term}) },
		LeaderDown: func(ctx context.Context, term modeler.Term) { f.post(ctx, leaderDown{term: term}) },
		Message: func(ctx context.Context, _ *linker.Link, m *modeler.Message) {
			switch {
			case m.Kind == modeler.GrantMessage && m.Grant != nil:
				f.post(ctx, granted{grant: m.Grant})
			case m.Kind == modeler.ConfigurationMessage && m.Configuration != nil:
				f.post(ctx, configured{configuration: m.Configuration})
			}
		},
	}
}
