package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dialer"
	"goldcreststack.example/goldcreststack/limiter"
	"goldcreststack.example/goldcreststack/listener"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/router"
)

// maxAttempts bounds the attempts at one request.
const maxAttempts = 3

// backoff paces retries; a failed worker is avoided, so the pause only needs
// to keep many requests from retrying at the same moment.
var backoff = limiter.Backoff{Base: 20 * time.Millisecond, Max: 200 * time.Millisecond}

// exchange is one caller's request on its way.
type exchange struct {
	shell   *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	service modeler.Service
	target  string
	caller  router.Caller
	once    bool
	upload  *upload
	body    *payload
	claim   *modeler.Claim
	since   modeler.ClockReading
	avoid   []modeler.WorkerID
	tries   int
	// mayHaveRun says that an attempt has left this host without an answer.
	mayHaveRun bool
	// ended is the kind that the request ended with, for the metrics.
	ended classifier.Kind
	// running says that the attempt assigned holds its slot, which it got at
	// begun.
	running  bool
	assigned router.Assignment
	begun    modeler.ClockReading
	// unsettled says that the claim's outcome isn't recorded.
	unsettled bool
}

// ServeRequest serves a caller's request to a service; target is the path and
// query that the worker gets.
func (f *Forwarder) ServeRequest(w http.ResponseWriter, r *http.Request, name modeler.ServiceName, target string) {
	if f.closing.Load() {
		// Keep-alive callers go elsewhere before the listener closes.
		w.Header().Set("Connection", "close")
	}
	service, found := (*f.services.Load())[name]
	if !found {
		f.refuseUnknown(w, r, name)
		return
	}
	x := &exchange{
		shell:   f,
		w:       w,
		r:       r,
		service: service,
		target:  target,
		caller:  callerOf(r),
		once:    service.AtMostOnce || r.Header.Get(RepeatHeader) == "never",
		since:   f.now(),
	}
	x.upload = newUpload(w, r, int64(f.settings.Body))
	inOrder := false
	defer func() { x.leave(inOrder) }()
	body, err := f.readPayload(r, x.upload, x.once)
	if err != nil {
		x.refuse(err, classifier.OutcomeNotRun)
		inOrder = true
		return
	}
	x.body = body
	defer body.release()
	if x.once {
		x.serveOnce()
	} else {
		x.serve(r.Context())
	}
	inOrder = true
}

// leave gives back what the request holds, also after a panic.
func (x *exchange) leave(inOrder bool) {
	lost := classifier.New(classifier.Internal, "the request's handler has failed")
	if x.running {
		x.finish(lost)
	}
	if x.unsettled {
		x.settle(classifier.OutcomeUnknown, modeler.RecordedAnswer{})
	}
	if !inOrder && x.ended == classifier.None {
		x.ended = classifier.Internal
	}
	x.shell.counts.requests[x.ended].Inc()
	x.upload.close(inOrder)
}

// refuse answers with an error.
func (x *exchange) refuse(err error, outcome classifier.Outcome) {
	x.ended = classifier.KindOf(err)
	x.upload.announceClose(x.w.Header())
	listener.WriteError(x.w, err, outcome)
}

// refuseUnknown tells a service that doesn't exist from a configuration that
// isn't known yet.
func (f *Forwarder) refuseUnknown(w http.ResponseWriter, r *http.Request, name modeler.ServiceName) {
	if !f.Serving(r.Context()) {
		listener.WriteError(w, classifier.New(classifier.Unconfirmed, "this entry host has no confirmed configuration"), classifier.OutcomeNotRun)
		return
	}
	listener.WriteError(w, classifier.New(classifier.UnknownService, "service %q does not exist", name), classifier.OutcomeNotRun)
}

func callerOf(r *http.Request) router.Caller {
	if name := r.Header.Get(CallerHeader); name != "" {
		return router.Caller(name)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return router.Caller(r.RemoteAddr)
	}
	return router.Caller(host)
}

// serve runs a request that may be repeated.
func (x *exchange) serve(ctx context.Context) {
	answer, err := x.attempts(ctx)
	if err != nil {
		x.fail(err)
		return
	}
	defer answer.Body.Close()
	whole, err := x.relay(answer, nil)
	if whole {
		x.finish(nil)
	} else {
		x.finish(err)
	}
	if err != nil {
		x.abort(err)
	}
}

// fail answers with an error; the outcome is unknown when an earlier attempt
// may have run.
func (x *exchange) fail(err error) {
	outcome := classifier.KindOf(err).Answer().Outcome
	if x.mayHaveRun && outcome == classifier.OutcomeNotRun {
		outcome = classifier.OutcomeUnknown
	}
	x.refuse(err, outcome)
}

// attempts tries workers until one answers; the last one then still holds its
// slot.
func (x *exchange) attempts(ctx context.Context) (*dialer.Answer, error) {
	f := x.shell
	f.countFirst(x)
	// The slot of a request whose connection was closed stays taken for the
	// whole request limit, so a caller that goes away doesn't end its attempt.
	sending := context.WithoutCancel(ctx)
	if x.once {
		sending = ctx
	}
	for {
		x.tries++
		a, err := x.acquire(ctx)
		if err != nil {
			return nil, err
		}
		x.running, x.assigned, x.begun = true, a, f.now()
		f.counts.waiting.Update(time.Duration(a.Waited).Seconds())
		if x.tries > 1 {
			f.counts.retries.Inc()
		}
		answer, err := f.dialer.Do(sending, x.attempt(a))
		if err == nil {
			disown(answer.Header)
			return answer, nil
		}
		kind := classifier.KindOf(err)
		x.finish(err)
		if kind.Answer().Outcome != classifier.OutcomeNotRun {
			x.mayHaveRun = true
		}
		if !x.mayRetry(ctx, kind) {
			return nil, err
		}
		x.avoid = append(x.avoid, a.Worker)
	}
}

// mayRetry decides whether another worker is tried and waits for the backoff.
func (x *exchange) mayRetry(ctx context.Context, kind classifier.Kind) bool {
	row := kind.Answer()
	switch {
	case !row.TryAnotherWorker, x.tries >= maxAttempts:
		return false
	case x.once && row.Outcome != classifier.OutcomeNotRun:
		return false
	case !x.body.whole() && row.Outcome != classifier.OutcomeNotRun:
		return false
	case !x.shell.allowRetry(x):
		return false
	}
	return sleep(ctx, x.shell.retryDelay(x.tries))
}

// acquire waits for a slot.
func (x *exchange) acquire(ctx context.Context) (router.Assignment, error) {
	f := x.shell
	id := router.RequestID(f.nextRequest.Add(1))
	answer := make(chan placement, 1)
	f.post(ctx, arrived{
		request: router.Request{
			ID:       id,
			Service:  x.service.Name,
			Team:     x.service.Team,
			Caller:   x.caller,
			Deadline: x.since.Add(x.service.Wait.Std()),
			Since:    x.since,
			Retry:    x.tries > 1,
			Avoid:    x.avoid,
		},
		answer: answer,
	})
	select {
	case p := <-answer:
		if p.kind != classifier.None {
			return p.assignment, classifier.New(p.kind, "service %s", x.service.Name)
		}
		return p.assignment, nil
	case <-ctx.Done():
		f.post(context.WithoutCancel(ctx), cancelled{id: id})
		// Nothing was sent for this attempt.
		return router.Assignment{ID: id}, classifier.New(classifier.QueueTimeout, "the caller has gone while the request waited")
	}
}

// attempt describes the request to the dialer.
func (x *exchange) attempt(a router.Assignment) dialer.Attempt {
	f := x.shell
	out := dialer.Attempt{
		Worker:      a.Worker,
		Generation:  a.Generation,
		Address:     a.Address,
		Idle:        a.Idle,
		Connections: a.Connections,
		Once:        x.once,
		Limit:       x.service.Limit.Std(),
		Method:      x.r.Method,
		Target:      x.target,
		Host:        x.r.Host,
		Header:      x.r.Header,
		Body:        x.body.reader(),
		Length:      x.body.size(),
		Trailer:     x.r.Trailer,
		Permit: func() error {
			if f.now() < a.Until {
				return nil
			}
			return classifier.New(classifier.ConnectFailed, "the slot's lease ended before the request was sent")
		},
	}
	if !x.once {
		out.Informational = x.informational
	}
	return out
}

// informational passes a 1xx answer on.
func (x *exchange) informational(status int, header http.Header) {
	h := x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	x.w.WriteHeader(status)
	for name := range header {
		h.Del(name)
	}
}

// finish frees the slot of an attempt.
func (x *exchange) finish(err error) {
	x.running = false
	kind := classifier.KindOf(err)
	ended := kind == classifier.None || kind.Answer().Outcome == classifier.OutcomeNotRun
	x.shell.post(context.Background(), finished{id: x.assigned.ID, kind: kind, ended: ended})
}

func (f *Forwarder) countFirst(x *exchange) {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.budget.First(f.now(), x.service.Name, string(x.caller))
}

func (f *Forwarder) allowRetry(x *exchange) bool {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.Allow(f.now(), x.service.Name, string(x.caller))
}

func (f *Forwarder) retryDelay(retry int) time.Duration {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return backoff.Delay(retry, f.random)
}
