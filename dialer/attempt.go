package dialer

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Attempt is one request to one worker.
type Attempt struct {
	Worker     modeler.WorkerID
	Generation modeler.Generation
	Address    string
	// IdleTimeout is the idle timeout that the worker announced; 0 means one second.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections to the worker; 0 means one.
	MaxConnections int
	// AtMostOnce marks a request that must not be repeated. It is sent only over a
	// new connection or one that has answered within the last second.
	AtMostOnce bool
	// Timeout bounds the time from the first byte sent to the header of the
	// answer; 0 means no bound.
	Timeout time.Duration

	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body may be nil. After Do has returned an error, or after the answer's
	// body has ended, at most one Read of Body may still be in progress.
	Body io.Reader
	// Length is the length of Body, or -1 when it isn't known.
	Length int64
	// Trailer is sent after a body of unknown length. Its keys must be set
	// before Do is called; its values may be set until Body ends.
	Trailer http.Header

	// Permit is called when the connection is ready, before the first byte is
	// sent. If it returns an error, nothing is sent and Do returns that error
	// unchanged. It may be nil.
	Permit func() error
	// Informational receives 1xx answers other than 100 and 101; it may be nil.
	Informational func(status int, header http.Header)
}

// Answer is an upstream's answer; the caller must close its Body.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of Body, or -1 when it isn't known. On an answer
	// to HEAD it is what a GET would have.
	Length int64
	// Body ends with io.EOF only when the answer is complete. After any other
	// error, the connection to the caller must be aborted.
	Body io.ReadCloser
	// Reused says that the connection carried an earlier request.
	Reused bool

	response *http.Response
}

// Trailer returns the trailer of the answer, which is complete after the end of
// Body. Trailer names that the upstream has announced are present before that.
func (a *Answer) Trailer() http.Header { return a.response.Trailer }

// exchange is one request and its answer on one connection.
type exchange struct {
	dialer  *Dialer
	conn    *conn
	ctx     context.Context
	attempt *Attempt
	reused  bool
	// startedAt is when the connection was ready.
	startedAt time.Time
	// token is sent with the request; isTokenReturned says that the answer has
	// carried it.
	token           string
	isTokenReturned bool
	// stopWatch stops watching the context; it returns false when the end of
	// the context has closed the connection.
	stopWatch func() bool
	// callerBody is the request's body and sendResult receives the result of
	// sending it. Both are nil when the request has no body, or one small
	// enough to be sent with its head.
	callerBody     *callerBody
	sendResult     chan error
	response       *http.Response
	isConnReturned bool
}

// callerBody records a read error of the caller's body, so that it isn't taken
// for a failure of the worker. Before each Read it flushes what was read so
// far, so that a slow caller doesn't delay the bytes already received.
type callerBody struct {
	io.Reader
	writer *bufio.Writer
	err    error
}

func (s *callerBody) Read(p []byte) (int, error) {
	if err := s.writer.Flush(); err != nil {
		return 0, err
	}
	n, err := s.Reader.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}
