package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/forwarder"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// rawCaller is a caller that writes its requests byte by byte over a TCP
// connection.
type rawCaller struct {
	t testing.TB
	net.Conn
	reader *bufio.Reader
}

func (c *cell) dial() *rawCaller {
	conn, err := net.Dial("tcp", c.front)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { conn.Close() })
	assert.NilError(c.t, conn.SetDeadline(time.Now().Add(15*time.Second)))
	return &rawCaller{t: c.t, Conn: conn, reader: bufio.NewReader(conn)}
}

// sendHead sends the head of a POST request; length -1 announces a chunked
// body.
func (r *rawCaller) sendHead(name modeler.ServiceName, path string, length int, extra string) {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(r, "POST /v1/services/%s/%s HTTP/1.1\r\nHost: front\r\nIdempotency-Key: %s\r\n%s\r\n%s\r\n", name, path, newKey(), framing, extra)
}

func (r *rawCaller) answer() reply {
	answer, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return reply{err: err}
	}
	text, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, text: string(text), err: err}
}

// expectClosed checks that the connection is closed without any further byte.
func (r *rawCaller) expectClosed() {
	r.t.Helper()
	rest, err := io.ReadAll(r.reader)
	var late net.Error
	assert.Assert(r.t, !errors.As(err, &late) || !late.Timeout(), "the connection stays open")
	assert.Equal(r.t, string(rest), "")
}

func faultHeaderLine(name worker.Fault) string {
	return worker.FaultHeader + ": " + string(name) + "\r\n"
}

// Guards against two failures when a worker or the entry host answers before
// the upload has ended: the answer is held back until the rest of the body has
// arrived, or the rest of the body is parsed as a request. The bytes sent after
// the answer look like a request to the path "smuggled", which must never run.
func TestEarlyAnswers(t *testing.T) {
	c := newCell(t, 2, nil)
	smuggled := "POST /v1/services/proof/smuggled HTTP/1.1\r\nHost: front\r\nContent-Length: 0\r\n\r\n"
	block := strings.Repeat("x", 100<<10)
	for _, tc := range []struct {
		name   string
		fault  worker.Fault
		send   string // the first part of the body, 1 MiB in all
		status int
		path   string
	}{
		{"refused by the worker", worker.FaultRefuse, block, 413, "a"},
		{"lost", worker.FaultClose, block, 499, "b"},
		{"unknown service", "", "", 404, "../nowhere/c"},
		{"garbage", worker.FaultGarbage, block, 499, "d"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := c.dial()
			if tc.status == 404 {
				fmt.Fprintf(r, "POST /v1/services/nowhere/c HTTP/1.1\r\nHost: front\r\nContent-Length: 1048576\r\n\r\n")
			} else {
				r.sendHead(proof, tc.path, 1<<20, faultHeaderLine(tc.fault))
			}
			_, _ = io.WriteString(r, tc.send)
			if tc.status == 499 {
				// The worker applies the fault once the body has ended, so the
				// upload is ended early.
				_ = r.Conn.(*net.TCPConn).CloseWrite()
			}
			begin := time.Now()
			got := r.answer()
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, tc.status, got.text)
			assert.Assert(t, time.Since(begin) < 5*time.Second)
			_, _ = io.WriteString(r, smuggled)
			r.expectClosed()
			assert.Equal(t, c.runs("smuggled"), 0)
		})
	}
	// A streamed request and its answer under way at the same time.
	r := c.dial()
	r.sendHead(proof, "both-ways", -1, faultHeaderLine(worker.FaultEarly))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	_, _ = io.WriteString(r, chunk)
	answer, err := http.ReadResponse(r.reader, nil)
	assert.NilError(t, err)
	line := make([]byte, len("early\n"))
	_, err = io.ReadFull(answer.Body, line)
	assert.NilError(t, err)
	_, _ = io.WriteString(r, chunk+"0\r\n\r\n")
	rest, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(rest, []byte(worker.DigestOf([]byte(block+block)))), "%s", rest)
	assert.Equal(t, c.runs("both-ways"), 1)
	assert.NilError(t, c.callPlain(proof))
}

// Guards against closing a keep-alive connection although its request was read
// to the end: the caller would have to open a new connection for each request.
func TestCallerConnectionIsKept(t *testing.T) {
	c := newCell(t, 1, nil)
	r := c.dial()
	for i := range 3 {
		for _, tc := range []struct {
			fault worker.Fault
			want  int
		}{{"", 200}, {worker.FaultEmpty, 204}, {worker.FaultTrailer, 200}, {worker.FaultFail, 500}, {worker.FaultRefuse, 413}} {
			body := strings.Repeat("b", []int{0, 10, 200 << 10}[i])
			if tc.fault == worker.FaultRefuse && i == 2 {
				continue // its body is never read to the end
			}
			r.sendHead(proof, "kept", len(body), faultHeaderLine(tc.fault))
			_, _ = io.WriteString(r, body)
			got := r.answer()
			assert.NilError(t, got.err, "%d %s", i, tc.fault)
			assert.Equal(t, got.status, tc.want, got.text)
		}
	}
}

// Guards against callers that disconnect or stall and thereby keep slots or
// buffers taken, or get the answers of others. A single worker serves all
// cases, and each case uses more callers than the worker has slots.
func TestCallersGoAway(t *testing.T) {
	const slots = 4
	c := newCell(t, 1, func(s *worker.Settings) { s.Slots = slots; s.ServiceTime = 100 * time.Millisecond })
	expectPrompt := func(t *testing.T) {
		t.Helper()
		begin := time.Now()
		for range slots {
			assert.NilError(t, c.callPlain(proof))
		}
		// A request that waits until a slot is freed by the request limit takes
		// more than a second.
		assert.Assert(t, time.Since(begin) < time.Second, "took %s", time.Since(begin))
	}
	disconnect := func(name modeler.ServiceName, header string) {
		var group sync.WaitGroup
		for range 3 * slots {
			group.Go(func() {
				r := c.dial()
				r.sendHead(name, "gone", 1, header)
				_, _ = io.WriteString(r, "x")
				time.Sleep(50 * time.Millisecond)
				r.Close()
			})
		}
		group.Wait()
		time.Sleep(400 * time.Millisecond)
	}
	t.Run("while it runs", func(t *testing.T) { disconnect(proof, ""); expectPrompt(t) })
	t.Run("in the answer", func(t *testing.T) {
		disconnect(proof, faultHeaderLine(worker.FaultLarge)+worker.SizeHeader+": 20000000\r\n")
		expectPrompt(t)
	})
	t.Run("once is run and recorded all the same", func(t *testing.T) {
		key := newKey()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		in := call{service: cut, path: key, key: key, ctx: ctx}
		assert.Assert(t, c.call(in).err != nil)
		in.ctx = t.Context()
		got := c.call(in)
		assert.Equal(t, got.status, http.StatusOK, got.text)
		assert.Equal(t, c.runs(key), 1)
	})
	t.Run("stalled upload", func(t *testing.T) {
		var stalled []*rawCaller
		for range 3 * slots {
			r := c.dial()
			r.sendHead(proof, "stalled", 1000, "")
			stalled = append(stalled, r)
		}
		expectPrompt(t)
		if !testing.Short() {
			got := stalled[0].answer()
			assert.Equal(t, got.kind(), "caller-gone", got.text)
			assert.Equal(t, got.outcome(), "not-run")
			stalled[0].expectClosed()
		}
	})
	assert.Equal(t, c.runs("stalled"), 0)
}

// Guards against callers of any route that keep using their connections to a
// stopping entry host until these are cut off.
func TestStoppingEntryHostClosesConnections(t *testing.T) {
	c := newCell(t, 1, nil)
	handler := c.entry.Handler()
	c.entry.Drain()
	for _, path := range []string{"/metrics", "/v1/status", "/v1/services/" + proof + "/x"} {
		c.await("the connection is closed after "+path, func() bool {
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil).WithContext(shortContext(t)))
			return answer.Result().Header.Get("Connection") == "close"
		})
	}
}

// Guards against a shutdown that waits for most of its grace because a caller has
// sent a stray line end after a request.
func TestStrayLineEndDoesNotHoldUpShutdown(t *testing.T) {
	front := listen(t)
	entry := forwarder.New(forwarder.Settings{Entry: "entry-1", DrainGrace: 30 * time.Second, Report: quietReport("entry"), Listener: front})
	ended := make(chan error, 1)
	go func() { ended <- entry.Run(t.Context()) }()
	conn, err := net.Dial("tcp", front.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /metrics HTTP/1.1\r\nHost: front\r\n\r\n")
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // the connection becomes idle
	_, err = io.WriteString(conn, "\r\n")
	assert.NilError(t, err)
	begin := time.Now()
	entry.Drain()
	assert.NilError(t, <-ended)
	// The head of a request may take 5 s.
	assert.Assert(t, time.Since(begin) < 10*time.Second, "took %s", time.Since(begin))
}

// shortContext returns a context that ends after 100 ms.
func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// panickingWriter is a ResponseWriter whose Write panics.
type panickingWriter struct{ http.ResponseWriter }

func (panickingWriter) Write(p []byte) (int, error) { panic("broken on purpose: " + string(p)) }
func (b panickingWriter) Unwrap() http.ResponseWriter {
	return b.ResponseWriter
}

// Guards against slots and connections that stay taken after a handler panics,
// or after a worker never answers. The test causes more such requests than
// there are slots; other requests must still be served.
func TestPanickingHandlerFreesSlot(t *testing.T) {
	c := newCell(t, 1, func(s *worker.Settings) { s.Slots = 2; s.Connections = 16 })
	handler := c.entry.Handler()
	for i := range 6 {
		name := []modeler.ServiceName{proof, cut}[i%2]
		key := newKey()
		request, err := http.NewRequest(http.MethodPost, "http://front/v1/services/"+string(name)+"/"+key, strings.NewReader("x"))
		assert.NilError(t, err)
		request.Header.Set("Idempotency-Key", key)
		request.RemoteAddr = "127.0.0.1:1"
		func() {
			defer func() { assert.Assert(t, strings.Contains(fmt.Sprint(recover()), "worker-1")) }()
			handler.ServeHTTP(panickingWriter{discardWriter{http.Header{}}}, request)
		}()
		assert.Equal(t, c.runs(key), 1)
	}
	var hung sync.WaitGroup
	for range 2 {
		hung.Go(func() {
			c.call(call{service: proof, path: "hung", header: fault(worker.FaultSilent, 0, 0)})
		})
	}
	hung.Wait()
	for range 8 {
		assert.NilError(t, c.callPlain(proof))
		assert.NilError(t, c.callPlain(cut))
	}
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// Guards against requests that wait for a worker's connections which have gone
// silent for good, although new connections to the worker would carry them.
func TestMutedConnections(t *testing.T) {
	c := newCell(t, 2, func(s *worker.Settings) { s.ServiceTime = 5 * time.Millisecond })
	var group sync.WaitGroup
	var mu sync.Mutex
	failed, slowest, slowestFailure := 0, time.Duration(0), time.Duration(0)
	end := time.Now().Add(4 * time.Second)
	for i := range 12 {
		group.Go(func() {
			for time.Now().Before(end) {
				begin := time.Now()
				err := c.callPlain([]modeler.ServiceName{proof, cut}[i%2])
				mu.Lock()
				if err != nil {
					failed++
					slowestFailure = max(slowestFailure, time.Since(begin))
				} else {
					slowest = max(slowest, time.Since(begin))
				}
				mu.Unlock()
			}
		})
	}
	for range 2 {
		time.Sleep(time.Second)
		c.workers[0].SilenceConnections()
	}
	group.Wait()
	t.Logf("%d of the requests on the muted connections failed, the slowest answer took %s", failed, slowest)
	// Each mute can break at most the requests that hold one of the worker's 8
	// slots.
	assert.Assert(t, failed <= 16, "%d failed", failed)
	assert.Assert(t, slowest < requestLimit, "a request waited %s behind a silent connection", slowest)
	assert.Assert(t, slowestFailure < 2*requestLimit, "a request on a silent connection failed after %s", slowestFailure)
	before := len(c.workers[0].Log().Runs)
	c.await("the worker serves over new connections", func() bool {
		_ = c.callPlain(proof)
		return len(c.workers[0].Log().Runs) > before
	})
	assert.NilError(t, c.callPlain(proof))
}
