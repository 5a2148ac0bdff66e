package dialer

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// headerLimit bounds the header of an answer, including the informational
// answers before it, in bytes; http.ReadResponse has no bound.
const headerLimit = 1 << 20

var errHeaderTooLong = errors.New("header of the answer is too long")

// conn is one connection to a worker with its buffers.
type conn struct {
	raw      net.Conn
	pool     *pool
	reader   *bufio.Reader
	writer   *bufio.Writer
	progress time.Duration

	// headerBudget is the number of header bytes that may still be read.
	headerBudget  int64
	isReadingBody bool
	// hasWritten says that bytes of the current request may have been sent;
	// writeErr is the error of sending them.
	hasWritten bool
	writeErr   error
	// sentAt is when the first bytes of the current request were sent, as the
	// time since openedAt; 0 before.
	sentAt atomic.Int64
	// hasStrayAnswer says that the worker has sent an answer to another
	// request.
	hasStrayAnswer bool

	openedAt time.Time
	// isUsed says that the connection has carried a request; idleSince is when
	// it became idle.
	isUsed      bool
	idleSince   time.Time
	idleLimit   time.Duration
	expiryTimer *time.Timer
}

func newConn(raw net.Conn, p *pool, progress time.Duration) *conn {
	c := &conn{raw: raw, pool: p, progress: progress, openedAt: time.Now()}
	c.reader = bufio.NewReader(deadlineReader{c})
	c.writer = bufio.NewWriter(progressWriter{c})
	return c
}

// progressWriter sets a new progress deadline before each write, so that the
// time spent waiting for a slow caller doesn't count against the worker.
type progressWriter struct{ c *conn }

func (s progressWriter) Write(p []byte) (int, error) {
	s.c.hasWritten = true
	n, err := 0, s.c.raw.SetWriteDeadline(time.Now().Add(s.c.progress))
	if err == nil {
		n, err = s.c.raw.Write(p)
	}
	s.c.sentAt.CompareAndSwap(0, int64(time.Since(s.c.openedAt)))
	if err != nil {
		s.c.writeErr = err
	}
	return n, err
}

// plainWriter hides the ReadFrom method of the buffered writer, which would
// hold back a slow body until the buffer is full.
type plainWriter struct{ w *bufio.Writer }

func (o plainWriter) Write(p []byte) (int, error)       { return o.w.Write(p) }
func (o plainWriter) WriteString(s string) (int, error) { return o.w.WriteString(s) }
func (o plainWriter) WriteByte(b byte) error            { return o.w.WriteByte(b) }

// deadlineReader reads headers under the deadline of the request, and bodies
// under a progress deadline that it sets anew before each read.
type deadlineReader struct{ c *conn }

func (r deadlineReader) Read(p []byte) (int, error) {
	c := r.c
	if c.isReadingBody {
		if err := c.raw.SetReadDeadline(time.Now().Add(c.progress)); err != nil {
			return 0, err
		}
		return c.raw.Read(p)
	}
	if c.headerBudget <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := c.raw.Read(p)
	c.headerBudget -= int64(n)
	return n, err
}

// idleState is the state of an idle connection, from which no answer is
// expected.
type idleState uint8

const (
	noData idleState = iota
	closedByWorker
	unsolicitedData
)

// checkIdle reports whether the worker has sent bytes on the idle connection or
// closed it; it doesn't wait for either.
func (c *conn) checkIdle() idleState {
	if c.reader.Buffered() > 0 {
		return unsolicitedData
	}
	// The deadline of the last request may have passed.
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return closedByWorker
	}
	system, ok := c.raw.(syscall.Conn)
	if !ok {
		return c.checkIdleByRead()
	}
	handle, err := system.SyscallConn()
	if err != nil {
		return closedByWorker
	}
	state := closedByWorker
	err = handle.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = noData
		case err == nil && n > 0:
			state = unsolicitedData
		}
		return true
	})
	if err != nil {
		return closedByWorker
	}
	return state
}

// checkIdleByRead is checkIdle for a connection that isn't a socket.
func (c *conn) checkIdleByRead() idleState {
	if err := c.raw.SetReadDeadline(time.Now().Add(time.Microsecond)); err != nil {
		return closedByWorker
	}
	var one [1]byte
	n, err := c.raw.Read(one[:])
	switch {
	case n > 0:
		return unsolicitedData
	case errors.Is(err, os.ErrDeadlineExceeded):
		return noData
	default:
		return closedByWorker
	}
}
