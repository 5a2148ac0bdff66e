package worker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"goldcreststack.example/goldcreststack/modeler"
)

// Worker is one start of the stand-in upstream.
type Worker struct {
	settings   Settings
	generation modeler.Generation
	started    time.Time
	address    atomic.Pointer[string]
	listener   *listener
	leaving    chan struct{}
	leave      sync.Once
	tasks      *tasks
	// changed holds a value when a task has started or ended since the last
	// heartbeat.
	changed chan struct{}
	log     *runLog
	active  activity
	served  atomic.Uint64
	sender  *http.Client
	turn    int
	// answer is the newest answer to a heartbeat.
	answer atomic.Pointer[modeler.HeartbeatAnswer]
}

// New returns a worker with a generation of its own.
func New(settings Settings) *Worker {
	settings = settings.withDefaults()
	w := &Worker{
		settings: settings,
		// The wall clock grows over restarts of one worker.
		generation: modeler.Generation(time.Now().UnixNano()),
		started:    time.Now(),
		leaving:    make(chan struct{}),
		changed:    make(chan struct{}, 1),
		log:        &runLog{},
		sender:     &http.Client{Timeout: time.Second},
	}
	if w.settings.Announce == nil {
		w.settings.Announce = w.post
	}
	w.tasks = newTasks(w)
	return w
}

// Run starts a worker and serves until ctx ends and its requests are
// finished.
func Run(ctx context.Context, settings Settings) error {
	return New(settings).Run(ctx)
}

// Generation returns the number of this start.
func (w *Worker) Generation() modeler.Generation { return w.generation }

// Address returns the announced address, which is empty before Run listens.
func (w *Worker) Address() string {
	if address := w.address.Load(); address != nil {
		return *address
	}
	return ""
}

// Clock returns the reading of the worker's monotonic clock.
func (w *Worker) Clock() modeler.ClockReading { return modeler.ClockReading(time.Since(w.started)) }

// Active returns the number of requests being served and the highest number
// so far.
func (w *Worker) Active() (now, peak int) { return w.active.count() }

// connections returns the highest number of open connections so far.
func (w *Worker) connections() int {
	if w.listener == nil {
		return 0
	}
	w.listener.mu.Lock()
	defer w.listener.mu.Unlock()
	return w.listener.peak
}

// Leave makes Run announce the leave, finish the requests and return.
func (w *Worker) Leave() { w.leave.Do(func() { close(w.leaving) }) }

// Mute makes all open connections go silent for good: what arrives on them
// is dropped and nothing is sent. New connections work.
func (w *Worker) Mute() {
	if w.listener != nil {
		w.listener.mute()
	}
}

// Run serves until ctx ends or Leave is called and the requests are finished.
func (w *Worker) Run(ctx context.Context) error {
	bound, err := w.settings.Bind(w.settings.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", w.settings.Listen)
	}
	w.listener = &listener{Listener: bound}
	address := w.settings.Address
	if address == "" {
		address = bound.Addr().String()
	}
	w.address.Store(&address)
	server := &http.Server{
		Handler:           w.Handler(),
		ReadHeaderTimeout: w.settings.Idle,
		IdleTimeout:       w.settings.Idle,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(w.listener) }()
	if w.settings.Listening != nil {
		w.settings.Listening(address)
	}
	beats, stop := context.WithCancel(context.WithoutCancel(ctx))
	var announcer sync.WaitGroup
	announcer.Go(func() { w.announce(beats) })
	select {
	case err = <-failed:
		err = eris.Wrap(err, "serve")
	case <-ctx.Done():
		w.Leave()
		err = w.finish(server, failed)
	case <-w.leaving:
		err = w.finish(server, failed)
	}
	w.tasks.stopAll()
	stop()
	announcer.Wait()
	// The last heartbeat reports the ends of the tasks.
	w.beat(context.WithoutCancel(ctx))
	return err
}

// finish waits until the system has noticed the leave and then finishes the
// requests; heartbeats go on meanwhile.
func (w *Worker) finish(server *http.Server, failed chan error) error {
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-time.After(w.settings.Delay):
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.settings.Grace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
		return eris.Wrap(err, "finish requests")
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve")
	}
	return nil
}

// listener can silence the connections that it has accepted.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*mutable]struct{}
	peak  int // of conns
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &mutable{Conn: raw, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*mutable]struct{})
	}
	l.conns[c] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return c, nil
}

func (l *listener) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// mutable is a connection that drops everything once it is silent.
type mutable struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
}

func (c *mutable) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			// A silent connection doesn't show that its peer has gone; the
			// server's own deadlines end it later without a packet.
			return 0, err
		}
	}
}

func (c *mutable) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection; a silent one stays open towards the peer
// until the listener's process ends.
func (c *mutable) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
