package dialer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// earlyAnswerWait bounds the wait for an early answer after sending has
	// failed: a worker that refuses a body answers before it closes the
	// connection.
	earlyAnswerWait = 250 * time.Millisecond
	// sendWait bounds the wait for the result of sending the request after a
	// complete answer; the answer may arrive before the sending goroutine has
	// reported.
	sendWait = 50 * time.Millisecond
	// smallBodySize is the size of the write buffer.
	smallBodySize = 4 << 10
)

// Do sends one request once and returns the header of its answer and the body
// to read. ctx applies until the end of that body. An error of kind
// ConnectFailed or Malformed, or one returned by Permit, means that no byte was
// sent and Body wasn't read.
func (d *Dialer) Do(ctx context.Context, a Attempt) (*Answer, error) {
	request, err := newRequest(&a)
	if err != nil {
		return nil, classifier.Wrap(classifier.Malformed, err, "request can't be sent")
	}
	c, err := d.acquireConn(ctx, &a)
	if err != nil {
		return nil, err
	}
	if a.Permit != nil {
		if err := a.Permit(); err != nil {
			d.discard(c, false)
			return nil, err
		}
	}
	x := &exchange{dialer: d, conn: c, ctx: ctx, attempt: &a, reused: c.isUsed, startedAt: time.Now()}
	c.isUsed = true
	x.token = d.tokenPrefix + strconv.FormatUint(d.tokenCount.Add(1), 36)
	request.Header[modeler.RequestHeader] = []string{x.token}
	if d.settings.Session != "" {
		request.Header[modeler.SessionHeader] = []string{d.settings.Session}
	}
	x.stopWatch = context.AfterFunc(ctx, func() { c.raw.Close() })
	received := false
	defer func() {
		// This also runs when a function of the attempt panics.
		if !received {
			x.abandonConn()
		}
	}()
	if err := x.send(request); err != nil {
		return nil, err
	}
	if err := x.receive(request); err != nil {
		return nil, err
	}
	received = true
	return x.answer()
}

func newRequest(a *Attempt) (*http.Request, error) {
	if a.Method == http.MethodConnect {
		return nil, errors.New("CONNECT asks for a tunnel")
	}
	// NewRequest checks the method. The URL is replaced, so that the target
	// stays as the caller sent it.
	request, err := http.NewRequest(a.Method, "/", nil)
	if err != nil {
		return nil, err
	}
	request.URL, err = url.ParseRequestURI(a.Target)
	if err != nil {
		return nil, err
	}
	if request.URL.Host != "" {
		return nil, errors.New("target is not a path")
	}
	request.Host = a.Host
	if request.Host == "" {
		request.Host = a.Address
	}
	request.Header = forwardedHeader(a.Header)
	if a.Body == nil || a.Length == 0 {
		return request, nil
	}
	request.ContentLength = a.Length
	if a.Length < 0 {
		request.TransferEncoding = []string{"chunked"}
		request.Trailer = a.Trailer
	}
	return request, nil
}

// send writes the request. A body is sent in the background, since the answer
// may arrive before the body has ended.
func (x *exchange) send(request *http.Request) error {
	c := x.conn
	c.isReadingBody = false
	c.headerBudget = headerLimit
	c.hasWritten = false
	c.sentAt.Store(0)
	deadline := time.Time{}
	if x.attempt.Timeout > 0 {
		deadline = time.Now().Add(x.attempt.Timeout)
	}
	if err := c.raw.SetReadDeadline(deadline); err != nil {
		return classifier.Wrap(classifier.ConnectFailed, err, "connection ended before the request was sent")
	}
	if body, ok := smallBody(x.attempt); ok {
		request.Body = io.NopCloser(body)
	}
	if request.ContentLength == 0 || request.Body != nil {
		if err := c.write(request); err != nil {
			return x.sendError(err)
		}
		return nil
	}
	x.callerBody = &callerBody{Reader: x.attempt.Body, writer: c.writer}
	x.sendResult = make(chan error, 1)
	request.Body = io.NopCloser(x.callerBody)
	go x.sendWithBody(request, deadline)
	return nil
}

// smallBody returns the request body if it is in memory and fits the write
// buffer. Such a body is sent together with the head, and sending it never
// waits for the worker. Without this case, a goroutine, a channel and a second
// write for each small body were the largest cost of the dialer.
func smallBody(a *Attempt) (*bytes.Reader, bool) {
	body, ok := a.Body.(*bytes.Reader)
	return body, ok && body.Len() > 0 && body.Len() <= smallBodySize && a.Length == int64(body.Len())
}

func (c *conn) write(request *http.Request) error {
	if err := request.Write(plainWriter{c.writer}); err != nil {
		return err
	}
	return c.writer.Flush()
}

// sendWithBody sends a request with its body. If the caller's body fails, it
// closes the connection at once; if the connection fails, it leaves time to
// read an early answer.
func (x *exchange) sendWithBody(request *http.Request, deadline time.Time) {
	err := x.conn.write(request)
	writeErr := x.conn.writeErr
	x.sendResult <- err
	switch {
	case err == nil:
	case writeErr == nil:
		x.conn.raw.Close()
	default:
		earlyAnswerDeadline := time.Now().Add(earlyAnswerWait)
		if deadline.IsZero() || earlyAnswerDeadline.Before(deadline) {
			x.conn.raw.SetReadDeadline(earlyAnswerDeadline)
		}
	}
}

// sendError classifies an error of sending the request.
func (x *exchange) sendError(err error) error {
	switch {
	case x.ctx.Err() != nil:
		return x.contextError(err)
	case x.conn.writeErr != nil:
		return classifier.Wrap(classifier.SendFailed, x.markSentLate(err), "request to "+x.attempt.Address)
	case !x.conn.hasWritten && (x.callerBody == nil || x.callerBody.err == nil):
		return classifier.Wrap(classifier.Malformed, err, "request can't be sent")
	default:
		// net/http wraps the body's error in one without Unwrap.
		if x.callerBody != nil && x.callerBody.err != nil {
			err = x.callerBody.err
		}
		return classifier.Wrap(classifier.CallerGone, err, "body of the request broke off")
	}
}

// contextError classifies an error that was caused by the end of the context.
func (x *exchange) contextError(err error) error {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return classifier.Wrap(classifier.AnswerTimeout, err, "time of the request is over")
	}
	return classifier.Wrap(classifier.CallerGone, err, "request was cancelled")
}

// receive reads answers until the header of the final one; it passes
// informational answers on.
func (x *exchange) receive(request *http.Request) error {
	for {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return x.receiveError(err)
		}
		token := response.Header.Get(modeler.RequestHeader)
		response.Header.Del(modeler.RequestHeader)
		final := response.StatusCode >= http.StatusOK
		isDoubtful := token == "" && !x.acceptsMissingToken()
		switch {
		case token != "" && token != x.token || isDoubtful && final:
			x.conn.hasStrayAnswer = true
			return classifier.New(classifier.AnswerLost, "%s has answered another request", x.attempt.Address)
		case final:
			x.response = response
			x.isTokenReturned = token != ""
			return nil
		case response.StatusCode < http.StatusContinue:
			return classifier.New(classifier.AnswerLost, "%s answers with status %03d", x.attempt.Address, response.StatusCode)
		case response.StatusCode == http.StatusSwitchingProtocols:
			return classifier.New(classifier.AnswerLost, "%s switches protocols unasked", x.attempt.Address)
		case response.StatusCode == http.StatusContinue || isDoubtful:
		case x.attempt.Informational != nil:
			stripHopByHop(response.Header)
			x.attempt.Informational(response.StatusCode, response.Header)
		}
	}
}

// acceptsMissingToken reports whether an answer without a token is taken for
// the answer to this request. On a new connection it can belong to no other. A
// connection is reused only if its earlier answers carried their tokens, unless
// Settings.ReuseWithoutToken is set; an answer without one there belongs to another
// request.
func (x *exchange) acceptsMissingToken() bool {
	return !x.reused || x.dialer.settings.ReuseWithoutToken
}

// receiveError classifies an error of reading the header of the answer.
func (x *exchange) receiveError(err error) error {
	if x.ctx.Err() != nil {
		return x.contextError(err)
	}
	if x.sendResult != nil {
		select {
		case sendErr := <-x.sendResult:
			if sendErr != nil {
				return x.sendError(sendErr)
			}
		default:
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return classifier.Wrap(classifier.AnswerTimeout, err, "no answer from "+x.attempt.Address)
	}
	return classifier.Wrap(classifier.AnswerLost, x.markSentLate(err), fmt.Sprintf("answer from %s on a connection %s, %s after the start of the request",
		x.attempt.Address, x.connAge(), time.Since(x.startedAt).Round(time.Millisecond)))
}

// connAge says how long the connection was open or idle before the request. A
// worker may have closed it meanwhile.
func (x *exchange) connAge() string {
	if x.reused {
		return fmt.Sprintf("reused after %s", x.startedAt.Sub(x.conn.idleSince).Round(time.Millisecond))
	}
	return fmt.Sprintf("opened %s before", x.startedAt.Sub(x.conn.openedAt).Round(time.Millisecond))
}

// sentLateError is the cause of an error for which SentLate returns true.
type sentLateError struct{ cause error }

func (e *sentLateError) Error() string { return "sent late: " + e.cause.Error() }

func (e *sentLateError) Unwrap() error { return e.cause }

// SentLate reports whether a request failed on a connection that had been idle for too
// long to be reused when the request was sent: this process was delayed after it had
// chosen the connection, and the worker may have closed it meanwhile.
func SentLate(err error) bool {
	var late *sentLateError
	return errors.As(err, &late)
}

// markSentLate wraps the error if the request was sent late.
func (x *exchange) markSentLate(err error) error {
	c := x.conn
	unusedSince := c.openedAt
	if !c.idleSince.IsZero() {
		unusedSince = c.idleSince
	}
	sentAt := time.Now()
	if afterOpening := time.Duration(c.sentAt.Load()); afterOpening > 0 {
		sentAt = c.openedAt.Add(afterOpening)
	}
	if sentAt.Sub(unusedSince) < usableIdleTime(x.attempt) {
		return err
	}
	return &sentLateError{err}
}

// abandonConn closes the connection of a request that failed or whose answer
// was not read to its end.
func (x *exchange) abandonConn() {
	if x.isConnReturned {
		return
	}
	x.isConnReturned = true
	x.stopWatch()
	x.dialer.discard(x.conn, x.conn.hasStrayAnswer)
}

// answer returns the received header and the body to read.
func (x *exchange) answer() (*Answer, error) {
	r := x.response
	stripHopByHop(r.Header)
	answer := &Answer{
		Status:   r.StatusCode,
		Header:   r.Header,
		Length:   r.ContentLength,
		Body:     http.NoBody,
		Reused:   x.reused,
		response: r,
	}
	if r.Body == http.NoBody {
		x.returnConn()
		return answer, nil
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		x.abandonConn()
		// The end of such a body looks the same as the connection of a killed
		// process.
		return nil, classifier.New(classifier.AnswerTruncated,
			"answer from %s has neither a length nor chunks, so its end can't be told from a cut", x.attempt.Address)
	}
	x.conn.isReadingBody = true
	answer.Body = &answerBody{x: x}
	return answer, nil
}

// returnConn makes the connection idle after a complete answer if nothing more
// has to be sent or received on it, and closes it otherwise.
func (x *exchange) returnConn() {
	if x.isConnReturned {
		return
	}
	x.isConnReturned = true
	ended := time.Now()
	switch {
	case !x.stopWatch():
		x.dialer.discard(x.conn, false)
	case x.conn.reader.Buffered() > 0:
		x.dialer.discard(x.conn, true)
	case !x.isTokenReturned && !x.dialer.settings.ReuseWithoutToken:
		x.dialer.replace(x.conn, x.attempt)
	case x.response.Close:
		x.dialer.discard(x.conn, false)
	case x.sendResult == nil:
		x.dialer.release(x.conn, usableIdleTime(x.attempt), ended)
	default:
		x.sendWait(ended)
	}
}

// sendWait waits for the result of sending the request after a complete answer,
// for at most the duration sendWait, and then releases or closes the
// connection.
func (x *exchange) sendWait(ended time.Time) {
	select {
	case err := <-x.sendResult:
		x.returnSentConn(err, ended)
		return
	default:
	}
	go func() {
		select {
		case err := <-x.sendResult:
			x.returnSentConn(err, ended)
		case <-time.After(sendWait):
			x.dialer.discard(x.conn, false)
		}
	}()
}

func (x *exchange) returnSentConn(err error, ended time.Time) {
	if err != nil {
		x.dialer.discard(x.conn, false)
		return
	}
	x.dialer.release(x.conn, usableIdleTime(x.attempt), ended)
}

// answerBody is the body of an answer. Read and Close must not be called
// concurrently.
type answerBody struct {
	x      *exchange
	closed bool
}

// Read returns io.EOF only at the end of a complete answer.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.closed {
		return 0, classifier.Wrap(classifier.CallerGone, http.ErrBodyReadAfterClose, "read from a closed body")
	}
	n, err := b.x.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.x.returnConn()
		return n, io.EOF
	}
	// The kind is determined before the connection is closed. The table's
	// outcome for AnswerTruncated is "run", since the worker has answered.
	kind := classifier.AnswerTruncated
	if errors.Is(b.x.ctx.Err(), context.Canceled) {
		kind = classifier.CallerGone
	}
	b.x.abandonConn()
	return n, classifier.Wrap(kind, err, "body of the answer from "+b.x.attempt.Address)
}

// Close closes the connection if the answer wasn't read to its end.
func (b *answerBody) Close() error {
	b.closed = true
	b.x.abandonConn()
	return nil
}
