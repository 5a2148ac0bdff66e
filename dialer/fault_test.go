package dialer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dialer"
	"goldcreststack.example/goldcreststack/worker"
)

// Guards, for each fault of a worker, against an error of the wrong kind, a
// second run of the request, and a fault that affects the next request on the
// same connection.
func TestFaults(t *testing.T) {
	const size = 1 << 20
	long := strings.Repeat("k", size)
	for _, c := range []struct {
		fault  worker.Fault
		method string
		body   string
		delay  time.Duration
		limit  time.Duration
		kind   classifier.Kind
		status int
		kept   bool // the connection is reused, or replaced if the worker returns no tokens
		spare  bool // the connection is replaced if the worker returns no tokens, and closed otherwise
	}{
		{fault: worker.FaultNone, status: 200, kept: true},
		{fault: worker.FaultNone, method: "POST", body: long, status: 200, kept: true},
		{fault: worker.FaultNone, method: "HEAD", status: 200, kept: true},
		{fault: worker.FaultSlow, delay: 30 * time.Millisecond, status: 200, kept: true},
		{fault: worker.FaultSilent, limit: 100 * time.Millisecond, kind: classifier.AnswerTimeout},
		{fault: worker.FaultSilent, method: "POST", body: long, limit: 100 * time.Millisecond, kind: classifier.AnswerTimeout},
		{fault: worker.FaultFail, status: 500, kept: true},
		{fault: worker.FaultShort, status: 200, kind: classifier.AnswerTruncated},
		{fault: worker.FaultExcess, status: 200},
		{fault: worker.FaultClose, kind: classifier.AnswerLost},
		{fault: worker.FaultClose, method: "POST", body: "die", kind: classifier.AnswerLost},
		{fault: worker.FaultLate, delay: 150 * time.Millisecond, limit: 50 * time.Millisecond, kind: classifier.AnswerTimeout},
		{fault: worker.FaultTwice, status: 200},
		{fault: worker.FaultTwice, delay: 20 * time.Millisecond, status: 200},
		{fault: worker.FaultTwice, delay: 300 * time.Microsecond, status: 200},
		{fault: worker.FaultCut, status: 200, kind: classifier.AnswerTruncated},
		{fault: worker.FaultCutChunked, status: 200, kind: classifier.AnswerTruncated},
		{fault: worker.FaultCutHeader, kind: classifier.AnswerLost},
		{fault: worker.FaultInform, status: 200, kept: true},
		{fault: worker.FaultEarly, status: 200, kept: true},
		{fault: worker.FaultEarly, method: "PUT", body: long, status: 200, kept: true},
		{fault: worker.FaultRefuse, method: "POST", body: long, status: 413, spare: true},
		{fault: worker.FaultTrailer, status: 200, kept: true},
		{fault: worker.FaultLarge, status: 200, kept: true},
		{fault: worker.FaultUnframed, kind: classifier.AnswerTruncated},
		{fault: worker.FaultGarbage, kind: classifier.AnswerLost},
		{fault: worker.FaultFlood, kind: classifier.AnswerLost},
		{fault: worker.FaultEmpty, status: 204, kept: true},
		{fault: worker.FaultUnchanged, status: 304, kept: true},
	} {
		for _, mode := range []string{"fresh", "reused", "plain"} {
			t.Run(fmt.Sprintf("%s %s %d %s", c.fault, c.method, len(c.body), mode), func(t *testing.T) {
				t.Parallel()
				reused := mode == "reused"
				u := start(t, worker.Settings{OmitRequestToken: mode == "plain"})
				if mode != "fresh" {
					_, _, err := u.fetch(t.Context(), u.attempt(worker.FaultNone))
					assert.NilError(t, err)
					waitCount(t, u, true)
				}
				a := u.attempt(c.fault)
				a.Target = "/v1/services/narudzbe/faulty"
				a.Header.Set(worker.DelayHeader, c.delay.String())
				a.Header.Set(worker.SizeHeader, fmt.Sprint(size))
				a.Method = max(c.method, http.MethodGet)
				if c.limit > 0 {
					a.Timeout = c.limit
				}
				a.Body, a.Length = strings.NewReader(c.body), int64(len(c.body))
				answer, text, err := u.fetch(t.Context(), a)
				assert.Equal(t, classifier.KindOf(err), c.kind, "%v", err)
				if answer != nil {
					assert.Equal(t, answer.Status, c.status)
					assert.Equal(t, answer.Reused, reused)
				} else {
					assert.Equal(t, c.status, 0)
				}
				if c.fault == worker.FaultLarge {
					assert.Equal(t, len(text), size)
				}
				if c.method == "POST" && c.fault == worker.FaultNone {
					assert.Equal(t, echo(t, text).Digest, worker.DigestOf([]byte(c.body)))
				}
				if c.fault != worker.FaultTwice { // its second answer may arrive later
					waitCount(t, u, c.kept || mode == "plain" && c.spare)
				}
				time.Sleep(5*time.Millisecond + 2*c.delay)
				u.checkNext(t, c.kept && mode != "plain")
				assert.Equal(t, u.runs("/v1/services/narudzbe/faulty"), 1)
			})
		}
	}
}

// Guards against the error of a lost answer that doesn't tell whether the worker may
// have closed a connection that was idle for long.
func TestLostAnswerTellsAgeOfConnection(t *testing.T) {
	u := start(t, worker.Settings{})
	_, _, err := u.fetch(t.Context(), u.attempt(worker.FaultClose))
	assert.Equal(t, classifier.KindOf(err), classifier.AnswerLost, "%v", err)
	assert.ErrorContains(t, err, "on a connection opened ")
	_, _, err = u.fetch(t.Context(), u.attempt(worker.FaultNone))
	assert.NilError(t, err)
	_, _, err = u.fetch(t.Context(), u.attempt(worker.FaultClose))
	assert.Equal(t, classifier.KindOf(err), classifier.AnswerLost, "%v", err)
	assert.ErrorContains(t, err, "on a connection reused after ")
}

// Guards against a failure that is taken for the worker's although this process was
// delayed until the worker had closed the connection, and against the opposite.
func TestSentLate(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "small": "die", "large": strings.Repeat("k", 1<<20)} {
		t.Run(name, func(t *testing.T) {
			u := start(t, worker.Settings{IdleTimeout: 100 * time.Millisecond})
			for _, reused := range []bool{false, true} {
				if reused {
					_, _, err := u.fetch(t.Context(), u.attempt(worker.FaultNone))
					assert.NilError(t, err)
				}
				a := u.attempt(worker.FaultNone)
				a.IdleTimeout = 100 * time.Millisecond
				a.Method, a.Body, a.Length = http.MethodPost, bytes.NewReader([]byte(body)), int64(len(body))
				a.Permit = func() error { time.Sleep(300 * time.Millisecond); return nil }
				_, _, err := u.fetch(t.Context(), a)
				kind := classifier.KindOf(err)
				assert.Assert(t, kind == classifier.AnswerLost || kind == classifier.SendFailed, "%v", err)
				assert.Assert(t, dialer.SentLate(err), "%v", err)
			}
			a := u.attempt(worker.FaultClose)
			a.Method, a.Body, a.Length = http.MethodPost, bytes.NewReader([]byte(body)), int64(len(body))
			_, _, err := u.fetch(t.Context(), a)
			assert.Equal(t, classifier.KindOf(err), classifier.AnswerLost, "%v", err)
			assert.Assert(t, !dialer.SentLate(err), "%v", err)
		})
	}
}

func waitCount(t *testing.T, u *upstream, idle bool) {
	t.Helper()
	want := dialer.Count{}
	if idle {
		want = dialer.Count{Open: 1, Idle: 1}
	}
	var got dialer.Count
	for range 100 {
		got = u.dialer.Count("w1", u.Generation())
		if got == want {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	assert.Equal(t, got, want)
}

// checkNext checks that later requests get their own answers, and whether the
// first of them reuses a connection.
func (u *upstream) checkNext(t *testing.T, reused bool) {
	t.Helper()
	for i := range 3 {
		a := u.attempt(worker.FaultNone)
		a.Target = fmt.Sprintf("/v1/services/narudzbe/next/%d", i)
		answer, text, err := u.fetch(t.Context(), a)
		assert.NilError(t, err)
		assert.Equal(t, echo(t, text).Path, a.Target)
		if i == 0 {
			assert.Equal(t, answer.Reused, reused)
		}
	}
}

// runs returns how often the worker has run a path.
func (u *upstream) runs(path string) int {
	n := 0
	for _, run := range u.Log().Runs {
		if run.Path == path {
			n++
		}
	}
	return n
}

// Guards against an attempt that is reported as not run although bytes of the
// request were sent, or that consumes the body although another worker could
// still be tried.
func TestNotRun(t *testing.T) {
	denied := errors.New("lease is over")
	for _, c := range []struct {
		name   string
		change func(u *upstream, a *dialer.Attempt) (context.Context, *dialer.Dialer)
		kind   classifier.Kind
		cause  error
	}{
		{name: "refused", kind: classifier.ConnectFailed, change: func(_ *upstream, a *dialer.Attempt) (context.Context, *dialer.Dialer) {
			a.Address = "127.0.0.1:1"
			return nil, nil
		}},
		{name: "silent connect", kind: classifier.ConnectFailed, change: func(*upstream, *dialer.Attempt) (context.Context, *dialer.Dialer) {
			return nil, dialer.New(dialer.Settings{ConnectTimeout: 20 * time.Millisecond, Dial: dialUnanswered})
		}},
		{name: "cancelled before", kind: classifier.ConnectFailed, change: func(*upstream, *dialer.Attempt) (context.Context, *dialer.Dialer) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			return ctx, nil
		}},
		{name: "lease over", kind: classifier.Internal, cause: denied, change: func(_ *upstream, a *dialer.Attempt) (context.Context, *dialer.Dialer) {
			a.Permit = func() error { return denied }
			return nil, nil
		}},
		{name: "tunnel", kind: classifier.Malformed, change: func(_ *upstream, a *dialer.Attempt) (context.Context, *dialer.Dialer) {
			a.Method = http.MethodConnect
			return nil, nil
		}},
		{name: "method", kind: classifier.Malformed, change: func(_ *upstream, a *dialer.Attempt) (context.Context, *dialer.Dialer) {
			a.Method = "GET /x HTTP/1.1\r\nX:"
			return nil, nil
		}},
		{name: "target", kind: classifier.Malformed, change: func(_ *upstream, a *dialer.Attempt) (context.Context, *dialer.Dialer) {
			a.Target = "http://elsewhere/x"
			return nil, nil
		}},
		{name: "all connections busy", kind: classifier.ConnectFailed, change: func(u *upstream, a *dialer.Attempt) (context.Context, *dialer.Dialer) {
			a.MaxConnections = 1
			busy := u.attempt(worker.FaultLarge)
			busy.Header.Set(worker.SizeHeader, "10000000")
			answer, err := u.dialer.Do(t.Context(), busy)
			assert.NilError(t, err)
			t.Cleanup(func() { answer.Body.Close() })
			return nil, nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := start(t, worker.Settings{})
			a := u.attempt(worker.FaultNone)
			a.Method, a.Target = "POST", "/v1/services/narudzbe/programs"
			body := strings.NewReader("die 19")
			a.Body, a.Length = body, 6
			ctx, d := c.change(u, &a)
			if ctx == nil {
				ctx = t.Context()
			}
			if d == nil {
				d = u.dialer
			}
			_, err := d.Do(ctx, a)
			assert.Equal(t, classifier.KindOf(err), c.kind, "%v", err)
			if c.cause != nil {
				assert.Assert(t, errors.Is(err, c.cause))
			} else {
				assert.Equal(t, c.kind.Answer().Outcome, classifier.OutcomeNotRun)
			}
			assert.Equal(t, body.Len(), 6)
			assert.Equal(t, u.runs(a.Target), 0)
		})
	}
}

// Guards against a cancelled caller or a failed upload that leaves a connection
// with an outstanding answer in use, or that is blamed on the worker.
func TestCallerGone(t *testing.T) {
	u := start(t, worker.Settings{})
	broken := errors.New("caller reset")
	for _, c := range []struct {
		name string
		run  func(ctx context.Context, cancel func()) error
	}{
		{"while waiting", func(ctx context.Context, cancel func()) error {
			go func() {
				// Cancels once the worker runs the request, when the attempt
				// waits for its answer.
				for now, _ := u.Active(); now == 0 && ctx.Err() == nil; now, _ = u.Active() {
					time.Sleep(time.Millisecond)
				}
				cancel()
			}()
			_, err := u.dialer.Do(ctx, u.attempt(worker.FaultSilent))
			return err
		}},
		{"while reading", func(ctx context.Context, cancel func()) error {
			a := u.attempt(worker.FaultLarge)
			a.Header.Set(worker.SizeHeader, "100000000")
			answer, err := u.dialer.Do(ctx, a)
			assert.NilError(t, err)
			defer answer.Body.Close()
			cancel()
			_, err = io.Copy(io.Discard, answer.Body)
			return err
		}},
		{"unread answer", func(ctx context.Context, _ func()) error {
			// All bytes that have arrived are read, so only the announced
			// length shows that more must follow.
			a := u.attempt(worker.FaultShort)
			a.Target += "/unread"
			answer, err := u.dialer.Do(ctx, a)
			assert.NilError(t, err)
			_, err = io.ReadFull(answer.Body, make([]byte, answer.Length/2))
			assert.NilError(t, err)
			answer.Body.Close()
			waitCount(t, u, false)
			_, err = answer.Body.Read(make([]byte, 100))
			return err
		}},
		{"broken upload", func(ctx context.Context, _ func()) error {
			a := u.attempt(worker.FaultNone)
			a.Method, a.Length = "POST", 100
			a.Body = io.MultiReader(strings.NewReader("some"), &failingReader{broken})
			_, err := u.dialer.Do(ctx, a)
			assert.Assert(t, errors.Is(err, broken), "%v", err)
			return err
		}},
		{"short upload", func(ctx context.Context, _ func()) error {
			a := u.attempt(worker.FaultNone)
			a.Method, a.Length = "POST", 100
			a.Body = strings.NewReader("some")
			_, err := u.dialer.Do(ctx, a)
			return err
		}},
		{"broken chunked upload", func(ctx context.Context, _ func()) error {
			a := u.attempt(worker.FaultNone)
			a.Method, a.Length = "POST", -1
			a.Body = io.MultiReader(strings.NewReader("some"), &failingReader{broken})
			_, err := u.dialer.Do(ctx, a)
			return err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			err := c.run(ctx, cancel)
			assert.Equal(t, classifier.KindOf(err), classifier.CallerGone, "%v", err)
			waitCount(t, u, false)
		})
	}
	for _, run := range u.Log().Runs {
		assert.Assert(t, run.Outcome != "answered" || strings.HasSuffix(run.Path, "/unread"), "a request without its whole body was answered: %+v", run)
	}
}

type failingReader struct{ err error }

func (f *failingReader) Read([]byte) (int, error) { return 0, f.err }

// Guards against bodies that are held back until they are complete, against
// lost trailers and informational answers, against reusing a connection whose
// upload hasn't ended, and against buffering large bodies in memory.
func TestStreams(t *testing.T) {
	u := start(t, worker.Settings{})
	t.Run("both ways", func(t *testing.T) {
		reader, writer := io.Pipe()
		a := u.attempt(worker.FaultEarly)
		a.Method, a.Body, a.Length = "POST", reader, -1
		go writer.Write([]byte("first "))
		answer, err := u.dialer.Do(t.Context(), a)
		assert.NilError(t, err)
		line := make([]byte, len("early\n"))
		_, err = io.ReadFull(answer.Body, line)
		assert.NilError(t, err)
		assert.Equal(t, string(line), "early\n")
		go func() { writer.Write([]byte("second")); writer.Close() }()
		text, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, echo(t, text).Digest, worker.DigestOf([]byte("first second")))
		waitCount(t, u, true)
	})
	t.Run("unfinished upload", func(t *testing.T) {
		reader, writer := io.Pipe()
		a := u.attempt(worker.FaultRefuse)
		a.Method, a.Body, a.Length = "POST", reader, -1
		go writer.Write([]byte("first "))
		answer, _, err := u.fetch(t.Context(), a)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, 413)
		waitCount(t, u, false)
		writer.Close()
	})
	t.Run("trailers", func(t *testing.T) {
		a := u.attempt(worker.FaultTrailer)
		a.Method, a.Length = "POST", -1
		a.Trailer = http.Header{"Caller-Digest": nil}
		a.Body = io.MultiReader(strings.NewReader("x"), &endCallback{func() { a.Trailer.Set("Caller-Digest", "c1") }})
		answer, _, err := u.fetch(t.Context(), a)
		assert.NilError(t, err)
		assert.Equal(t, answer.Trailer().Get("Worker-Digest"), worker.DigestOf([]byte("x")))
		assert.Equal(t, answer.Trailer().Get("Worker-Sent"), "c1")
	})
	t.Run("informational", func(t *testing.T) {
		u := start(t, worker.Settings{})
		// On a reused connection, an informational answer without a token may
		// belong to another request.
		for _, want := range [][]string{{"102", "103</seal.css>; rel=preload"}, {"103</seal.css>; rel=preload"}} {
			a := u.attempt(worker.FaultInform)
			var seen []string
			a.Informational = func(status int, header http.Header) {
				seen = append(seen, fmt.Sprint(status, header.Get("Link")))
			}
			_, _, err := u.fetch(t.Context(), a)
			assert.NilError(t, err)
			assert.DeepEqual(t, seen, want)
		}
	})
	t.Run("memory", func(t *testing.T) {
		const size = 64 << 20
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		a := u.attempt(worker.FaultLarge)
		a.Header.Set(worker.SizeHeader, fmt.Sprint(size))
		a.Method, a.Length = "POST", size
		a.Body = io.LimitReader(zeroReader{}, size)
		answer, err := u.dialer.Do(t.Context(), a)
		assert.NilError(t, err)
		defer answer.Body.Close()
		n, err := io.Copy(io.Discard, answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
		runtime.ReadMemStats(&after)
		assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 4<<20, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
	})
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// endCallback calls a function at the end of a body, as net/http does to set
// trailers.
type endCallback struct{ f func() }

func (e *endCallback) Read([]byte) (int, error) { e.f(); return 0, io.EOF }

// Guards against requests that wait for a connection which has gone silent, and
// against using such a connection again.
func TestSilentConnections(t *testing.T) {
	u := start(t, worker.Settings{IdleTimeout: 20 * time.Second})
	held := make([]*dialer.Answer, 4)
	for i := range held {
		answer, err := u.dialer.Do(t.Context(), u.attempt(worker.FaultNone))
		assert.NilError(t, err)
		held[i] = answer
	}
	for _, answer := range held {
		_, err := io.Copy(io.Discard, answer.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, u.dialer.Count("w1", u.Generation()), dialer.Count{Open: 4, Idle: 4})
	u.SilenceConnections()
	silent := make(chan error, len(held))
	for range held {
		go func() {
			a := u.attempt(worker.FaultNone)
			a.Timeout = 500 * time.Millisecond
			_, _, err := u.fetch(t.Context(), a)
			silent <- err
		}()
	}
	for u.dialer.Count("w1", u.Generation()).Idle > 0 {
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	for range 20 {
		_, _, err := u.fetch(t.Context(), u.attempt(worker.FaultNone))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begin) < 400*time.Millisecond, "%v", time.Since(begin))
	for range held {
		assert.Equal(t, classifier.KindOf(<-silent), classifier.AnswerTimeout)
	}
	waitCount(t, u, true)
}

// Guards, under random mixes of concurrent faults, against an answer that
// reaches another caller, a request that runs twice, more connections than
// allowed, and connections that are never released.
func TestMixedFaults(t *testing.T) {
	faults := []worker.Fault{
		worker.FaultNone, worker.FaultNone, worker.FaultNone, worker.FaultSlow, worker.FaultClose,
		worker.FaultCut, worker.FaultCutChunked, worker.FaultExcess, worker.FaultTwice, worker.FaultLate,
		worker.FaultEarly, worker.FaultTrailer, worker.FaultRefuse, worker.FaultFail, worker.FaultEmpty,
	}
	echoing := start(t, worker.Settings{})
	plain := start(t, worker.Settings{OmitRequestToken: true})
	number := 0
	rapid.Check(t, func(r *rapid.T) {
		type step struct {
			fault  worker.Fault
			upload int
			gone   bool
		}
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				rapid.SampledFrom(faults).Draw(r, "fault"),
				rapid.SampledFrom([]int{0, 0, 10, 70000}).Draw(r, "upload"),
				rapid.IntRange(0, 9).Draw(r, "gone") == 0,
			}
		}), 1, 24).Draw(r, "steps")
		u := rapid.SampledFrom([]*upstream{echoing, plain}).Draw(r, "worker")
		wrong := make(chan error, len(steps))
		for _, s := range steps {
			number++
			path := fmt.Sprintf("/v1/services/narudzbe/mixed/%d", number)
			go func() { wrong <- u.runMixedStep(path, s.fault, s.upload, s.gone) }()
		}
		for range steps {
			if err := <-wrong; err != nil {
				r.Error(err)
			}
		}
		if open := u.dialer.Count("w1", u.Generation()).Open; open > 6 {
			r.Errorf("%d connections", open)
		}
	})
	seen := make(map[string]bool)
	for _, run := range append(echoing.Log().Runs, plain.Log().Runs...) {
		assert.Assert(t, !seen[run.Path], "%s ran twice", run.Path)
		seen[run.Path] = true
	}
}

func (u *upstream) runMixedStep(path string, fault worker.Fault, upload int, gone bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := u.attempt(fault)
	a.Target = path
	a.MaxConnections = 6
	a.Timeout = 100 * time.Millisecond
	a.Header.Set(worker.DelayHeader, "2ms")
	sent := bytes.Repeat([]byte(path), upload/len(path)+1)[:upload]
	if upload > 0 {
		a.Method, a.Body, a.Length = "POST", bytes.NewReader(sent), int64(upload)
	}
	if gone {
		time.AfterFunc(time.Millisecond, cancel)
	}
	answer, text, err := u.fetch(ctx, a)
	if err != nil {
		if classifier.KindOf(err) == classifier.Internal {
			return fmt.Errorf("%s: error without a kind: %w", path, err)
		}
		return nil
	}
	text = bytes.TrimPrefix(text, []byte("early\n"))
	if answer.Status != http.StatusOK {
		return nil
	}
	if !bytes.Contains(text, []byte(path+`"`)) || !bytes.Contains(text, []byte(worker.DigestOf(sent))) {
		return fmt.Errorf("%s: answer of another request: %s", path, text)
	}
	return nil
}
