package forwarder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// faultCase is one fault of a worker and the answer that the caller must get. A
// kind other than None is an error answer of the system; abort means that the
// connection breaks off within the answer.
type faultCase struct {
	fault     worker.Fault
	delay     time.Duration
	size      int
	method    string
	status    int
	kind      classifier.Kind
	outcome   classifier.Outcome
	abort     bool
	isRetried bool // when it may be repeated
	check     func(t *testing.T, r reply, once bool)
}

func faultCases() []faultCase {
	const ok = http.StatusOK
	return []faultCase{
		{fault: worker.FaultSlow, delay: 100 * time.Millisecond, status: ok, check: checkOwnEcho},
		{fault: worker.FaultSlow, delay: 2 * requestLimit, kind: classifier.AnswerTimeout},
		{fault: worker.FaultSilent, kind: classifier.AnswerTimeout},
		{fault: worker.FaultFail, status: 500},
		{fault: worker.FaultShort, abort: true},
		{fault: worker.FaultExcess, status: ok, check: checkOwnEcho},
		{fault: worker.FaultClose, kind: classifier.AnswerLost, isRetried: true},
		{fault: worker.FaultLate, delay: 100 * time.Millisecond, status: ok, check: checkOwnEcho},
		{fault: worker.FaultTwice, delay: 20 * time.Millisecond, status: ok, check: checkOwnEcho},
		{fault: worker.FaultCut, abort: true},
		{fault: worker.FaultCutChunked, abort: true},
		{fault: worker.FaultCutHeader, kind: classifier.AnswerLost, isRetried: true},
		{fault: worker.FaultGarbage, kind: classifier.AnswerLost, isRetried: true},
		{fault: worker.FaultFlood, kind: classifier.AnswerLost, isRetried: true},
		{fault: worker.FaultUnframed, kind: classifier.AnswerTruncated, outcome: classifier.OutcomeRun},
		{fault: worker.FaultInform, status: ok, check: checkOwnEcho},
		{fault: worker.FaultEarly, status: ok, check: func(t *testing.T, r reply, once bool) {
			rest, found := strings.CutPrefix(r.text, "early\n")
			assert.Assert(t, found, r.text)
			r.text = rest
			checkOwnEcho(t, r, once)
		}},
		{fault: worker.FaultRefuse, status: http.StatusRequestEntityTooLarge},
		{fault: worker.FaultTrailer, status: ok, check: func(t *testing.T, r reply, once bool) {
			checkOwnEcho(t, r, once)
			assert.Equal(t, r.trailer.Get("Worker-Digest"), worker.DigestOf([]byte("body")))
		}},
		{fault: worker.FaultLarge, size: 3<<20 + 7, status: ok, check: func(t *testing.T, r reply, _ bool) {
			assert.Equal(t, len(r.text), 3<<20+7)
			assert.Equal(t, strings.Count(r.text, "0123456789abcdef"), (3<<20+7)/16)
		}},
		{fault: worker.FaultEmpty, status: http.StatusNoContent, check: checkNoBody},
		{fault: worker.FaultUnchanged, status: http.StatusNotModified, check: func(t *testing.T, r reply, once bool) {
			checkNoBody(t, r, once)
			assert.Equal(t, r.header.Get("Etag"), `"19"`)
		}},
		{method: http.MethodHead, status: ok, check: func(t *testing.T, r reply, once bool) {
			checkNoBody(t, r, once)
			assert.Assert(t, r.header.Get("Content-Length") > "0")
		}},
	}
}

func checkNoBody(t *testing.T, r reply, _ bool) { assert.Equal(t, r.text, "") }

func checkOwnEcho(t *testing.T, r reply, _ bool) {
	var echo worker.Echo
	assert.NilError(t, json.Unmarshal([]byte(r.text), &echo), r.text)
	assert.Equal(t, echo.Digest, worker.DigestOf([]byte("body")))
}

// Guards, for each fault of a worker, against a partial answer that the caller
// takes for a complete one, a wrong outcome, a second run of a request that
// must not be repeated, and the answer of another request.
func TestWorkerFaults(t *testing.T) {
	c := newCell(t, 6, nil)
	for range 400 {
		assert.NilError(t, c.callPlain(proof)) // pays for retries
	}
	for _, fc := range faultCases() {
		for _, name := range []modeler.ServiceName{proof, cut} {
			title := fmt.Sprintf("%s%s%s/%s", fc.method, fc.fault, fc.delay, name)
			t.Run(title, func(t *testing.T) {
				// A connection on which a worker answers twice must not carry a
				// request of the next case.
				c.await("the workers have ended the requests of the last case", c.areWorkersIdle)
				c.tryFault(t, fc, name)
			})
		}
	}
}

func (c *cell) tryFault(t *testing.T, fc faultCase, name modeler.ServiceName) {
	atMostOnce := name == cut
	key := newKey()
	path := "fault-" + key
	var informed atomic.Int64
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
		informed.Add(int64(code))
		return nil
	}}
	send := func() reply {
		return c.call(call{
			method: fc.method, service: name, path: path, key: key, header: fault(fc.fault, fc.delay, fc.size),
			body: strings.NewReader("body"), ctx: httptrace.WithClientTrace(t.Context(), trace),
		})
	}
	var concurrent sync.WaitGroup
	for range 4 {
		concurrent.Go(func() { assert.Check(t, c.callPlain(proof)) })
	}
	r := send()
	concurrent.Wait()
	fc.checkReply(t, r, atMostOnce)
	if fc.fault == worker.FaultInform {
		assert.Equal(t, informed.Load() > 0, !atMostOnce)
	}
	runs := c.runs(path)
	assert.Assert(t, runs == 1 || runs > 1 && runs <= 3 && fc.isRetried && !atMostOnce, "%d runs", runs)
	if !atMostOnce {
		assert.Assert(t, !fc.isRetried || runs > 1, "was not tried elsewhere")
		return
	}
	// The outcome is recorded shortly after the answer; a repeated request
	// waits for the record.
	repeat := send()
	assert.Equal(t, c.runs(path), 1, "a repeat has run")
	switch {
	case fc.fault == worker.FaultLarge:
		assert.Equal(t, repeat.kind(), "answer-dropped")
	case fc.status != 0:
		assert.Equal(t, repeat.header.Get("Idempotency-Replayed"), "true")
		assert.Equal(t, repeat.text, r.text)
		assert.Equal(t, repeat.status, r.status)
	default:
		assert.Equal(t, repeat.outcome(), "unknown")
	}
}

func (fc *faultCase) checkReply(t *testing.T, r reply, once bool) {
	t.Helper()
	if fc.abort {
		assert.Assert(t, r.err != nil, "the caller took a cut answer for the whole: %d %s", r.status, r.text)
		return
	}
	assert.NilError(t, r.err)
	if fc.status != 0 {
		assert.Equal(t, r.status, fc.status, r.text)
		assert.Equal(t, r.outcome(), "", "an answer of the worker bears an outcome of the system")
		if fc.check != nil {
			fc.check(t, r, once)
		}
		return
	}
	assert.Equal(t, r.kind(), fc.kind.String(), r.text)
	assert.Equal(t, r.status, fc.kind.Answer().Status)
	assert.Equal(t, r.outcome(), fc.outcome.String())
}

// Guards against an answer to another request that the caller takes for its own,
// and against a wrong outcome, when a worker sends its second answer to a request
// while the connection carries the next one.
func TestSecondAnswerToFormerRequest(t *testing.T) {
	c := newCell(t, 1, nil)
	const body = "next"
	r := c.call(call{service: proof, path: newKey(), header: fault(worker.FaultTwice, 300*time.Millisecond, 0), body: strings.NewReader("first")})
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK, r.text)
	key := newKey()
	r = c.call(call{service: cut, path: key, key: key, body: strings.NewReader(body)})
	assert.NilError(t, r.err)
	if r.status == http.StatusOK {
		// The second answer had arrived before the request was sent.
		assert.Assert(t, strings.Contains(r.text, worker.DigestOf([]byte(body))), r.text)
		assert.Equal(t, c.runs(key), 1)
		return
	}
	assert.Equal(t, r.kind(), classifier.AnswerLost.String(), r.text)
	assert.Equal(t, r.outcome(), classifier.OutcomeUnknown.String())
	assert.Assert(t, c.runs(key) <= 1)
}

// Guards, under a random mix of concurrent worker faults, against an answer
// that reaches another caller and against a second run of a request that must
// not be repeated.
func TestMixedFaults(t *testing.T) {
	c := newCell(t, 8, nil)
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	names := []worker.Fault{
		"", "", "", "", "", worker.FaultSlow, worker.FaultClose, worker.FaultLate, worker.FaultTwice, worker.FaultCut, worker.FaultInform,
		worker.FaultEarly, worker.FaultTrailer, worker.FaultExcess, worker.FaultGarbage, worker.FaultRefuse, worker.FaultEmpty,
	}
	var mu sync.Mutex
	keys := map[string]bool{} // to whether the caller saw its whole answer
	var group sync.WaitGroup
	for i := range 24 {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			for range 25 {
				key := newKey()
				name := []modeler.ServiceName{proof, cut}[rng.IntN(2)]
				body := bytes.Repeat([]byte(key), 1+rng.IntN(4000))
				chosen := names[rng.IntN(len(names))]
				r := c.call(call{
					service: name, path: key, key: key, body: bytes.NewReader(body),
					header: fault(chosen, time.Duration(rng.IntN(30))*time.Millisecond, 0),
				})
				whole := r.err == nil && r.status == http.StatusOK
				if whole {
					assert.Check(t, strings.Contains(r.text, `"key":"`+key+`"`), "%s: %s", chosen, r.text)
					assert.Check(t, strings.Contains(r.text, worker.DigestOf(body)), "%s: %s", chosen, r.text)
				}
				mu.Lock()
				keys[key] = whole
				mu.Unlock()
				if name == cut {
					assert.Check(t, c.runs(key) <= 1, "%s has run twice", key)
				}
			}
		})
	}
	group.Wait()
	for key, whole := range keys {
		assert.Check(t, !whole || c.runs(key) > 0, "%s was answered but not run", key)
	}
}

// slowBody returns its parts one at a time with a pause before each, then the
// error end.
type slowBody struct {
	parts []string
	pause time.Duration
	end   error
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	if len(b.parts) == 0 {
		return 0, b.end
	}
	n := copy(p, b.parts[0])
	b.parts[0] = b.parts[0][n:]
	if b.parts[0] == "" {
		b.parts = b.parts[1:]
	}
	return n, nil
}

// Guards against buffered, streamed and chunked uploads that are altered or
// cut, lose their trailers or are held back, for repeatable and at-most-once
// requests.
func TestUploads(t *testing.T) {
	c := newCell(t, 2, nil)
	block := strings.Repeat("0123456789abcdef", 5000)
	for _, name := range []modeler.ServiceName{proof, cut} {
		for title, parts := range map[string][]string{"empty": nil, "small": {"a", "b"}, "large": {block, block, block, block, "end"}} {
			for _, chunked := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/chunked=%v", name, title, chunked), func(t *testing.T) {
					whole := strings.Join(parts, "")
					in := call{service: name, path: newKey(), key: newKey(), header: fault(worker.FaultTrailer, 0, 0)}
					in.body = strings.NewReader(whole)
					if chunked {
						in.body = &slowBody{parts: append([]string{}, parts...), pause: time.Millisecond, end: io.EOF}
						in.trailer = http.Header{"Caller-Digest": {"sum"}}
					}
					r := c.call(in)
					assert.NilError(t, r.err)
					assert.Equal(t, r.status, http.StatusOK, r.text)
					assert.Assert(t, strings.Contains(r.text, worker.DigestOf([]byte(whole))), r.text)
					if chunked && whole != "" {
						assert.Equal(t, r.trailer.Get("Worker-Sent"), "sum")
					}
				})
			}
		}
	}
}

// Guards against retries that exceed a tenth of the first attempts when every
// attempt fails. There are enough workers that slots which stay taken don't
// limit the retries.
func TestRetryBudget(t *testing.T) {
	c := newCell(t, 12, nil)
	const requests = 60
	for range requests {
		r := c.call(call{service: proof, path: "budget", header: fault(worker.FaultClose, 0, 0)})
		assert.Equal(t, r.kind(), "answer-lost", r.text)
	}
	retries := c.runs("budget") - requests
	t.Logf("%d requests, %d retries", requests, retries)
	assert.Assert(t, retries > 0 && retries <= requests/10)
}

// delayedConn is a connection to a worker whose first bytes are sent only when the
// worker has closed it.
type delayedConn struct {
	net.Conn
	sent bool
}

func (c *delayedConn) Write(p []byte) (int, error) {
	if !c.sent {
		c.sent = true
		if _, err := c.Conn.Read(make([]byte, 1)); err != io.EOF {
			return 0, fmt.Errorf("the worker has not closed the connection: %v", err)
		}
	}
	return c.Conn.Write(p)
}

// Guards against an entry host that is delayed after it has chosen a connection and,
// without a retry left in its budget, answers 502 since the worker has closed it.
func TestRequestSentLateIsRepeatedWithoutBudget(t *testing.T) {
	var dialed atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil || dialed.Add(1) > 1 {
			return conn, err
		}
		return &delayedConn{Conn: conn}, nil
	}
	c := newCellWithDial(t, dial, 2, func(s *worker.Settings) { s.IdleTimeout = 200 * time.Millisecond })
	r := c.call(call{service: proof, path: "late"})
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK, r.text)
	assert.Equal(t, c.runs("late"), 1)
}
