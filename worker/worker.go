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

// Worker is one start of the stand-in upstream; a restart is a new Worker.
type Worker struct {
	settings   Settings
	generation modeler.Generation
	started    time.Time
	address    atomic.Pointer[string]
	listener   *listener
	leaving    chan struct{}
	leaveOnce  sync.Once
	tasks      *tasks
	// tasksChanged holds a value when a task has started or ended since the last
	// heartbeat.
	tasksChanged chan struct{}
	log          *runLog
	requests     requestCounter
	requestCount atomic.Uint64
	httpClient   *http.Client
	nextEntry    int
	// lastAnswer is the answer to the last heartbeat that was answered.
	lastAnswer atomic.Pointer[modeler.HeartbeatAnswer]
}

// New returns a worker with a new generation.
func New(settings Settings) *Worker {
	settings = settings.withDefaults()
	w := &Worker{
		settings: settings,
		// Taken from the wall clock, so that it increases with each restart.
		generation:   modeler.Generation(time.Now().UnixNano()),
		started:      time.Now(),
		leaving:      make(chan struct{}),
		tasksChanged: make(chan struct{}, 1),
		log:          &runLog{},
		httpClient:   &http.Client{Timeout: time.Second},
	}
	if w.settings.Announce == nil {
		w.settings.Announce = w.postHeartbeat
	}
	w.tasks = newTasks(w)
	return w
}

// Run starts a worker and serves until ctx ends and the active requests are
// finished.
func Run(ctx context.Context, settings Settings) error {
	return New(settings).Run(ctx)
}

// Generation returns the worker's generation, which identifies this start.
func (w *Worker) Generation() modeler.Generation { return w.generation }

// Address returns the announced address, or the empty string before Run listens.
func (w *Worker) Address() string {
	if address := w.address.Load(); address != nil {
		return *address
	}
	return ""
}

// Clock returns a reading of the worker's monotonic clock, which starts at 0 when
// the worker is created.
func (w *Worker) Clock() modeler.ClockReading { return modeler.ClockReading(time.Since(w.started)) }

// Active returns the number of requests being served and the highest number
// so far.
func (w *Worker) Active() (now, peak int) { return w.requests.count() }

// peakConnections returns the highest number of open connections so far.
func (w *Worker) peakConnections() int {
	if w.listener == nil {
		return 0
	}
	w.listener.mu.Lock()
	defer w.listener.mu.Unlock()
	return w.listener.peak
}

// Leave makes Run announce that the worker leaves, finish the active requests and
// return.
func (w *Worker) Leave() { w.leaveOnce.Do(func() { close(w.leaving) }) }

// SilenceConnections makes all open connections silent permanently: received data is dropped and
// nothing is sent. New connections work normally.
func (w *Worker) SilenceConnections() {
	if w.listener != nil {
		w.listener.muteAll()
	}
}

// Run serves until ctx ends or Leave is called, and then until the active requests
// are finished or the grace period is over.
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
		ReadHeaderTimeout: w.settings.IdleTimeout,
		IdleTimeout:       w.settings.IdleTimeout,
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
		err = w.shutDown(server, failed)
	case <-w.leaving:
		err = w.shutDown(server, failed)
	}
	w.tasks.stopAll()
	stop()
	announcer.Wait()
	// The final heartbeat reports the tasks that were stopped.
	w.sendHeartbeat(context.WithoutCancel(ctx))
	return err
}

// shutDown waits for Settings.DrainDelay, so that the system learns that the worker
// leaves, and then finishes the active requests. Heartbeats continue meanwhile.
func (w *Worker) shutDown(server *http.Server, failed chan error) error {
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-time.After(w.settings.LeaveDelay):
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.settings.GracePeriod)
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

// listener tracks its accepted connections and can silence them.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*mutableConn]struct{}
	peak  int // highest number of conns so far
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &mutableConn{Conn: raw, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*mutableConn]struct{})
	}
	l.conns[c] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return c, nil
}

func (l *listener) muteAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// mutableConn is a connection that can be silenced: it then drops all received and
// sent data.
type mutableConn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
}

func (c *mutableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			// The peer has closed the connection, or the server's own read
			// deadline has expired. Close then sends the peer nothing.
			return 0, err
		}
	}
}

func (c *mutableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silent connection stays open to the peer until
// the process ends.
func (c *mutableConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
