package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTimeout bounds the time in which a caller sends or takes no byte;
	// without it a stalled caller would hold buffers and a slot forever.
	stallTimeout = 10 * time.Second
	// discardLimit and discardTimeout bound how much of a body is read and
	// discarded after its answer. A caller that is still sending when the
	// connection closes often loses the answer.
	discardLimit   = 16 << 20
	discardTimeout = time.Second
)

var errUploadClosed = errors.New("the request has been answered")

// upload is the body of a caller's request as it arrives. The dialer may still
// be in a Read when the request has been answered; net/http would wait for that
// Read without a bound when the handler returns.
type upload struct {
	control *http.ResponseController
	// readMu is held during each Read of body.
	readMu sync.Mutex
	body   io.Reader
	// unlimited is the body without the size limit.
	unlimited io.Reader
	// complete says that the body was read to its end.
	complete atomic.Bool

	// mu guards closing, so that no Read extends the read deadline after close
	// has set it.
	mu      sync.Mutex
	closing bool
}

func newUpload(w http.ResponseWriter, r *http.Request, limit int64) *upload {
	u := &upload{control: http.NewResponseController(w), body: http.MaxBytesReader(w, r.Body, limit), unlimited: r.Body}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		u.complete.Store(true)
		return u
	}
	// Without full duplex, net/http reads the body before it sends the header
	// of an answer, so a stalled caller would delay an early answer.
	_ = u.control.EnableFullDuplex()
	return u
}

// Read waits at most stallTimeout for more of the body.
func (u *upload) Read(p []byte) (int, error) {
	u.readMu.Lock()
	defer u.readMu.Unlock()
	if u.complete.Load() {
		return 0, io.EOF
	}
	if !u.extendDeadline() {
		return 0, errUploadClosed
	}
	n, err := u.body.Read(p)
	if err == io.EOF {
		u.markComplete()
	}
	return n, err
}

// extendDeadline sets the deadline for the next Read. It reports false once the
// upload is closing.
func (u *upload) extendDeadline() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.closing {
		_ = u.control.SetReadDeadline(time.Now().Add(stallTimeout))
	}
	return !u.closing
}

// markComplete records that the body was read to its end. It clears the read
// deadline, since net/http treats a connection on which a read failed as
// closed.
func (u *upload) markComplete() {
	_ = u.control.SetReadDeadline(time.Time{})
	u.complete.Store(true)
}

// setConnectionClose makes net/http close the connection after the answer if
// the body has not been read to its end. Otherwise the rest of the body would
// be parsed as a request.
func (u *upload) setConnectionClose(h http.Header) {
	if !u.complete.Load() {
		h.Set("Connection", "close")
	}
}

// close ends the upload once the request is answered. If the request's handler
// has returned, close reads the rest of the body up to a limit, so that the
// caller can read the answer; after a panic it reads nothing, since the
// connection is about to be aborted.
func (u *upload) close(returned bool) {
	if u.complete.Load() {
		return
	}
	deadline := time.Now()
	if returned {
		_ = u.control.Flush()
		deadline = deadline.Add(discardTimeout)
	}
	u.mu.Lock()
	u.closing = true
	_ = u.control.SetReadDeadline(deadline)
	u.mu.Unlock()
	u.readMu.Lock()
	defer u.readMu.Unlock()
	if !returned || u.complete.Load() {
		return
	}
	if _, err := io.CopyN(io.Discard, u.unlimited, discardLimit); err == io.EOF {
		u.markComplete()
		return
	}
	// net/http would read some of the rest when the handler returns.
	_ = u.control.SetReadDeadline(time.Now())
}
