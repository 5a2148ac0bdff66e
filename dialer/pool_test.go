package dialer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dialer"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// dialUnanswered waits until ctx ends, like a connection attempt that gets no
// answer.
func dialUnanswered(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// memoryUpstream is an upstream over in-memory connections. It answers each
// request with the number of its connection.
type memoryUpstream struct {
	opened atomic.Int64
	live   atomic.Int64
	seen   chan *http.Request
	// plain omits the token from answers; slow is the time to open a
	// connection.
	plain bool
	slow  time.Duration
	// serve, if set, handles each connection instead.
	serve func(far net.Conn, reader *bufio.Reader)
}

func (m *memoryUpstream) dial(context.Context, string) (net.Conn, error) {
	time.Sleep(m.slow)
	pipe, end := net.Pipe()
	near := &failingConn{Conn: pipe}
	far := &failableConn{end, near}
	number := m.opened.Add(1)
	m.live.Add(1)
	go func() {
		defer m.live.Add(-1)
		defer far.Close()
		reader := bufio.NewReader(far)
		if m.serve != nil {
			m.serve(far, reader)
			return
		}
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			if m.seen != nil {
				m.seen <- request
			}
			token := request.Header.Get(modeler.RequestHeader)
			if m.plain {
				token = ""
			}
			fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Private: 1\r\n"+
				"Connection: x-private\r\nKeep-Alive: timeout=9\r\n%s: %s\r\n\r\n%2d",
				modeler.RequestHeader, token, number)
		}
	}()
	return near, nil
}

// Guards against reusing a connection that the worker may be closing, and
// against sending a request that must not be repeated over a connection that
// hasn't answered recently.
func TestIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		idle   time.Duration
		pause  time.Duration
		once   bool
		reused bool
	}{
		{"fresh enough", time.Second, 740 * time.Millisecond, false, true},
		{"within the margin", time.Second, 760 * time.Millisecond, false, false},
		{"default timeout", 0, 760 * time.Millisecond, false, false},
		{"long timeout", 20 * time.Second, 14 * time.Second, false, true},
		{"long timeout, within the margin", 20 * time.Second, 16 * time.Second, false, false},
		{"once, lately", 20 * time.Second, 990 * time.Millisecond, true, true},
		{"once, too long ago", 20 * time.Second, 1010 * time.Millisecond, true, false},
		{"once, short timeout", time.Second, 760 * time.Millisecond, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &memoryUpstream{}
				d := dialer.New(dialer.Settings{Dial: m.dial})
				a := dialer.Attempt{IdleTimeout: c.idle, Method: "GET", Target: "/", MaxConnections: 1, AtMostOnce: c.once, Timeout: time.Second}
				get := func() bool {
					answer, err := d.Do(t.Context(), a)
					assert.NilError(t, err)
					_, err = io.ReadAll(answer.Body)
					assert.NilError(t, err)
					return answer.Reused
				}
				assert.Assert(t, !get())
				time.Sleep(c.pause)
				assert.Equal(t, get(), c.reused)
				time.Sleep(30 * time.Second)
				assert.Equal(t, d.Count("", 0), dialer.Count{}, "idle connections stay open")
			})
		})
	}
}

// Guards, for a worker that doesn't return tokens, against requests that share
// a connection, requests that wait for a connection to be opened although the
// previous answer came long before, and against spare connections that
// accumulate or are never closed.
func TestSpareConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryUpstream{plain: true, slow: 2 * time.Millisecond}
		d := dialer.New(dialer.Settings{Dial: m.dial})
		a := dialer.Attempt{Method: "GET", Target: "/", MaxConnections: 8, Timeout: time.Second}
		for n := range 20 {
			begin := time.Now()
			answer, err := d.Do(t.Context(), a)
			assert.NilError(t, err)
			text, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(text), fmt.Sprintf("%2d", n+1))
			assert.Assert(t, !answer.Reused)
			assert.Assert(t, n == 0 || time.Since(begin) < time.Millisecond, "%v", time.Since(begin))
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, d.Count("", 0), dialer.Count{Open: 1, Idle: 1})
		}
		time.Sleep(time.Second)
		assert.Equal(t, d.Count("", 0), dialer.Count{})
		assert.Equal(t, m.opened.Load(), int64(21))

		answer, err := d.Do(t.Context(), a)
		assert.NilError(t, err)
		_, err = io.ReadAll(answer.Body)
		assert.NilError(t, err)
		d.Close() // while the spare is being opened
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, d.Count("", 0), dialer.Count{})
		assert.Equal(t, m.live.Load(), int64(0), "connections open after Close")
	})
}

// Guards against an attempt that goes on waiting although a connection has been
// released or discarded.
func TestWaiting(t *testing.T) {
	for _, c := range []struct {
		name string
		free func(answer *dialer.Answer)
	}{
		{"released", func(answer *dialer.Answer) { io.ReadAll(answer.Body) }},
		{"discarded", func(answer *dialer.Answer) { answer.Body.Close() }},
	} {
		// Whether the first waiter sees its wake-up or its deadline first is
		// random.
		for range 30 {
			synctest.Test(t, func(t *testing.T) {
				m := &memoryUpstream{}
				d := dialer.New(dialer.Settings{Dial: m.dial})
				a := dialer.Attempt{Method: "GET", Target: "/", MaxConnections: 1, Timeout: time.Second}
				begin := time.Now()
				held, err := d.Do(t.Context(), a)
				assert.NilError(t, err)
				var wait sync.WaitGroup
				var errs [3]error
				var ended [3]time.Duration
				for n := range errs {
					// The first waiter's deadline passes at the moment of its
					// wake-up.
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(100+n*200)*time.Millisecond)
					defer cancel()
					wait.Go(func() {
						answer, err := d.Do(ctx, a)
						if err == nil {
							c.free(answer)
						}
						errs[n] = err
						ended[n] = time.Since(begin)
					})
					synctest.Wait()
				}
				time.Sleep(100 * time.Millisecond)
				c.free(held)
				wait.Wait()
				for n := range errs {
					assert.Assert(t, n == 0 || errs[n] == nil, "%v", errs[n])
					assert.Assert(t, ended[n] < 101*time.Millisecond, "%s: %v", c.name, ended[n])
				}
				d.Close()
			})
		}
	}
}

// Guards against taking a late answer to an earlier request, or an answer
// without a token, for the answer to the current request on a reused
// connection. The stray answer arrives after the current request was sent, so
// the check of the idle connection can't find it.
func TestStrayAnswers(t *testing.T) {
	for _, named := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			m := &memoryUpstream{serve: func(far net.Conn, reader *bufio.Reader) {
				token := ""
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if token == "" {
						token = modeler.RequestHeader + ": " + request.Header.Get(modeler.RequestHeader) + "\r\n"
					} else if !named {
						token = "X: y\r\n"
					}
					fmt.Fprintf(far, "HTTP/1.1 200 OK\r\n%sContent-Length: 1\r\n\r\n1", token)
				}
			}}
			d := dialer.New(dialer.Settings{Dial: m.dial})
			a := dialer.Attempt{Method: "GET", Target: "/", MaxConnections: 1, Timeout: time.Second}
			for n := range 6 {
				answer, err := d.Do(t.Context(), a)
				if n%2 == 1 && n < 2 {
					assert.Equal(t, classifier.KindOf(err), classifier.AnswerLost, "%v", err)
					continue
				}
				assert.NilError(t, err)
				assert.Assert(t, !answer.Reused, "connection of a worker that has sent a stray answer")
				_, err = io.ReadAll(answer.Body)
				assert.NilError(t, err)
			}
			d.Close()
			assert.Equal(t, m.opened.Load(), int64(5))
		})
	}
}

// Guards against a request that fails because the worker closed an idle
// connection before the request was sent.
func TestClosedIdleConnection(t *testing.T) {
	u := start(t, worker.Settings{IdleTimeout: 50 * time.Millisecond})
	for range 4 {
		a := u.attempt(worker.FaultNone)
		a.IdleTimeout = time.Minute // longer than the worker's real timeout
		answer, _, err := u.fetch(t.Context(), a)
		assert.NilError(t, err)
		assert.Assert(t, !answer.Reused)
		time.Sleep(80 * time.Millisecond)
	}
}

// Guards against more connections than allowed, lost wake-ups of attempts that
// wait for a connection, and mixing up the connections to different starts of a
// worker.
func TestConnectionBound(t *testing.T) {
	u := start(t, worker.Settings{ServiceTime: time.Millisecond})
	// A waiter that is never woken fails after this time. On a busy machine,
	// waiting for a connection among 64 callers can take longer than the
	// default of 500 ms.
	u.dialer = dialer.New(dialer.Settings{ConnectTimeout: 30 * time.Second})
	defer u.dialer.Close()
	var wait sync.WaitGroup
	var most atomic.Int64
	for i := range 64 {
		wait.Go(func() {
			for range 10 {
				a := u.attempt(worker.FaultNone)
				a.MaxConnections = 4
				if i%8 == 0 {
					ctx, cancel := context.WithTimeout(t.Context(), 500*time.Microsecond)
					u.fetch(ctx, a)
					cancel()
					continue
				}
				_, _, err := u.fetch(t.Context(), a)
				assert.Check(t, err == nil, "%v", err)
				most.Store(max(most.Load(), int64(u.dialer.Count("w1", u.Generation()).Open)))
			}
		})
	}
	wait.Wait()
	assert.Assert(t, most.Load() <= 4 && most.Load() > 1, "%d connections", most.Load())
	_, peak := u.Active()
	assert.Assert(t, peak <= 4+64/8, "%d requests at a time", peak)

	other := u.attempt(worker.FaultNone)
	other.Generation++
	answer, _, err := u.fetch(t.Context(), other)
	assert.NilError(t, err)
	assert.Assert(t, !answer.Reused)
	u.dialer.Forget("w1", other.Generation)
	assert.Equal(t, u.dialer.Count("w1", other.Generation), dialer.Count{})
}

// Guards against hop-by-hop header fields that are forwarded in either
// direction, and against fields that the dialer adds by itself.
func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryUpstream{seen: make(chan *http.Request, 1)}
		d := dialer.New(dialer.Settings{Dial: m.dial})
		defer d.Close()
		header := http.Header{
			"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers, gzip"}, "Upgrade": {"h2c"},
			"Keep-Alive": {"1"}, "Proxy-Connection": {"1"}, "Proxy-Authorization": {"1"}, "Expect": {"100-continue"},
			"Trailer": {"X"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"7"},
			"Idempotency-Key": {"k"}, "Accept": {"a", "b"},
		}
		given := header.Clone()
		answer, err := d.Do(t.Context(), dialer.Attempt{
			Method: "POST", Target: "//a/%2F?q=%20;", Host: "seal.example", Header: header, Timeout: time.Second,
		})
		assert.NilError(t, err)
		answer.Body.Close()
		seen := <-m.seen
		assert.Assert(t, seen.Header.Get(modeler.RequestHeader) != "")
		seen.Header.Del(modeler.RequestHeader)
		assert.DeepEqual(t, seen.Header, http.Header{
			"Te": {"trailers"}, "Idempotency-Key": {"k"}, "Accept": {"a", "b"}, "Content-Length": {"0"},
		})
		assert.Equal(t, seen.RequestURI, "//a/%2F?q=%20;")
		assert.Equal(t, seen.Host, "seal.example")
		assert.DeepEqual(t, header, given)
		assert.DeepEqual(t, answer.Header, http.Header{"Content-Length": {"2"}})
	})
}

// Guards against an upload that is held back, an early answer that is lost
// because sending fails, and reusing a connection on which the request was not
// sent completely.
func TestUploads(t *testing.T) {
	answer := func(far net.Conn, request *http.Request) {
		fmt.Fprintf(far, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n%s: %s\r\n\r\n",
			modeler.RequestHeader, request.Header.Get(modeler.RequestHeader))
	}
	for _, length := range []int64{-1, 1 << 16} {
		for _, c := range []struct {
			name  string
			serve func(far net.Conn, request *http.Request, more chan struct{})
			kind  classifier.Kind
		}{
			{"in parts", func(far net.Conn, request *http.Request, more chan struct{}) {
				part := make([]byte, 5)
				for range 2 {
					if _, err := io.ReadFull(request.Body, part); err == nil {
						more <- struct{}{}
					}
				}
				answer(far, request)
				io.Copy(io.Discard, far)
			}, classifier.None},
			{"answered early", func(far net.Conn, request *http.Request, _ chan struct{}) {
				answer(far, request)
				io.Copy(io.Discard, far)
			}, classifier.None},
			{"answered after a failure", func(far net.Conn, request *http.Request, more chan struct{}) {
				far.(*failableConn).fail()
				more <- struct{}{}
				time.Sleep(20 * time.Millisecond)
				answer(far, request)
			}, classifier.None},
			{"failed", func(far net.Conn, _ *http.Request, more chan struct{}) {
				far.(*failableConn).fail()
				more <- struct{}{}
				io.Copy(io.Discard, far)
			}, classifier.SendFailed},
			{"never taken", func(net.Conn, *http.Request, chan struct{}) {
				time.Sleep(time.Hour)
			}, classifier.SendFailed},
		} {
			t.Run(fmt.Sprintf("%s %d", c.name, length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					more := make(chan struct{}, 2)
					m := &memoryUpstream{serve: func(far net.Conn, reader *bufio.Reader) {
						request, err := http.ReadRequest(reader)
						assert.Check(t, err == nil, "%v", err)
						c.serve(far, request, more)
					}}
					reader, writer := io.Pipe()
					go func() {
						defer reader.Close()
						for range 2 {
							if _, err := writer.Write([]byte("12345")); err != nil {
								return
							}
							<-more
						}
						writer.Write(make([]byte, 1000))
						time.Sleep(2 * time.Hour)
					}()
					d := dialer.New(dialer.Settings{Dial: m.dial})
					got, err := d.Do(t.Context(), dialer.Attempt{
						Method: "PUT", Target: "/", Body: reader, Length: length, IdleTimeout: time.Hour, Timeout: time.Hour,
					})
					assert.Equal(t, classifier.KindOf(err), c.kind, "%v", err)
					if err == nil {
						assert.Equal(t, got.Status, 409)
						got.Body.Close()
					}
					time.Sleep(time.Second)
					assert.Equal(t, d.Count("", 0), dialer.Count{})
					more <- struct{}{}
					more <- struct{}{}
					reader.Close()
					time.Sleep(3 * time.Hour)
				})
			})
		}
	}
}

// failableConn is a worker's end of a connection; its fail method makes the
// dialer's writes fail.
type failableConn struct {
	net.Conn
	near *failingConn
}

func (h *failableConn) fail() {
	h.near.failed.Store(true)
	h.near.SetWriteDeadline(time.Now())
}

type failingConn struct {
	net.Conn
	failed atomic.Bool
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.failed.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}
