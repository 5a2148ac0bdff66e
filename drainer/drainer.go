package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseConnections returns a handler that closes the connection after each answer
// while the process is stopping, so that callers with open connections go elsewhere
// before the listener closes.
func CloseConnections(handler http.Handler, isStopping func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isStopping() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// pollInterval is the time between two checks of the connections.
const pollInterval = 2 * time.Millisecond

// Listener is a listener of an HTTP server that knows which connections have data
// that the server hasn't read. http.Server.Shutdown resets the connections that wait
// to be accepted, and closes idle ones, although a request may have arrived there.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewListener returns a Listener that accepts connections from l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// ConnState tracks the state of a connection. It must be the ConnState callback of
// the http.Server, or be called by it.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	accepted, ok := c.(*conn)
	if !ok {
		return
	}
	accepted.mu.Lock()
	defer accepted.mu.Unlock()
	accepted.state = state
	if state == http.StateIdle {
		accepted.hasRead = false
	}
}

// WaitUntilRead waits until the server has accepted all connections and has begun to
// serve all requests that have begun to arrive, or until ctx ends. It must be called
// just before http.Server.Shutdown.
func (l *Listener) WaitUntilRead(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for l.hasUnread() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Listener) hasUnread() bool {
	if isReadable(l.Listener) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.hasUnread() {
			return true
		}
	}
	return false
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	state http.ConnState
	// hasRead says that the server has read data since the connection was new or
	// idle.
	hasRead bool
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.hasRead = true
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite lets http.Server close a connection without a reset that would destroy
// the last answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// hasUnread reports whether a request has begun to arrive that the server isn't
// serving yet. Data on an active connection can be the next request: the caller has
// the answer before the connection becomes idle.
func (c *conn) hasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case http.StateNew, http.StateIdle:
		return c.hasRead || isReadable(c.Conn)
	case http.StateActive:
		return isReadable(c.Conn)
	default:
		return false
	}
}

// isReadable reports whether a connection waits on a listener, or data on a
// connection; it doesn't wait for either. It reports false for a value that isn't
// a socket.
func isReadable(socket any) bool {
	system, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	handle, err := system.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = handle.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		readable = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && readable
}
