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

// maxAttempts bounds the attempts per request, including the first.
const maxAttempts = 3

// backoff delays retries. Retries avoid the failed worker, so the delay only
// needs to keep many requests from retrying at the same moment.
var backoff = limiter.Backoff{Base: 20 * time.Millisecond, Max: 200 * time.Millisecond}

// exchange is one caller's request and its answer.
type exchange struct {
	forwarder     *Forwarder
	w             http.ResponseWriter
	r             *http.Request
	service       modeler.Service
	target        string
	caller        router.Caller
	atMostOnce    bool
	upload        *upload
	body          *payload
	claim         *modeler.Claim
	arrivedAt     modeler.ClockReading
	failedWorkers []modeler.WorkerID
	attemptCount  int
	// mayHaveRun says that a worker may have run the request in an attempt that
	// got no answer.
	mayHaveRun bool
	// isLateRepeated says that an attempt was repeated without regard to the retry
	// budget because it was sent late.
	isLateRepeated bool
	// endKind is the kind that the request ended with, for the metrics.
	endKind classifier.Kind
	// holdsSlot says that the current attempt holds the slot in assignment,
	// which it got at attemptStart.
	holdsSlot    bool
	assignment   router.Assignment
	attemptStart modeler.ClockReading
	// isClaimUnsettled says that the outcome of the claimed request has not
	// been queued for recording.
	isClaimUnsettled bool
}

// ServeRequest serves a caller's request to the named service; target is the
// path and query sent to the worker.
func (f *Forwarder) ServeRequest(w http.ResponseWriter, r *http.Request, name modeler.ServiceName, target string) {
	service, found := (*f.services.Load())[name]
	if !found {
		f.writeUnknownService(w, r, name)
		return
	}
	x := &exchange{
		forwarder:  f,
		w:          w,
		r:          r,
		service:    service,
		target:     target,
		caller:     callerName(r),
		atMostOnce: service.AtMostOnce || r.Header.Get(RepeatHeader) == "never",
		arrivedAt:  f.now(),
	}
	x.upload = newUpload(w, r, int64(f.settings.MaxBody))
	returned := false
	defer func() { x.cleanUp(returned) }()
	body, err := f.readPayload(r, x.upload, x.atMostOnce)
	if err != nil {
		x.writeError(err, classifier.OutcomeNotRun)
		returned = true
		return
	}
	x.body = body
	defer body.release()
	if x.atMostOnce {
		x.serveOnce()
	} else {
		x.serveRepeatable(r.Context())
	}
	returned = true
}

// cleanUp releases what the request holds. returned is false when the handler
// panicked.
func (x *exchange) cleanUp(returned bool) {
	handlerErr := classifier.New(classifier.Internal, "the request's handler has failed")
	if x.holdsSlot {
		x.finishAttempt(handlerErr)
	}
	if x.isClaimUnsettled {
		x.settleClaim(classifier.OutcomeUnknown, modeler.RecordedAnswer{})
	}
	if !returned && x.endKind == classifier.None {
		x.endKind = classifier.Internal
	}
	x.forwarder.requestMetrics.requests[x.endKind].Inc()
	x.upload.close(returned)
}

// writeError answers the caller with an error.
func (x *exchange) writeError(err error, outcome classifier.Outcome) {
	x.endKind = classifier.KindOf(err)
	x.upload.setConnectionClose(x.w.Header())
	listener.WriteError(x.w, err, outcome)
}

// writeUnknownService answers that the service doesn't exist, or that this
// entry host has no confirmed configuration yet.
func (f *Forwarder) writeUnknownService(w http.ResponseWriter, r *http.Request, name modeler.ServiceName) {
	if !f.Serving(r.Context()) {
		listener.WriteError(w, classifier.New(classifier.Unconfirmed, "this entry host has no confirmed configuration"), classifier.OutcomeNotRun)
		return
	}
	listener.WriteError(w, classifier.New(classifier.UnknownService, "service %q does not exist", name), classifier.OutcomeNotRun)
}

// callerName returns the caller named in the header, or else the client's IP
// address.
func callerName(r *http.Request) router.Caller {
	if name := r.Header.Get(CallerHeader); name != "" {
		return router.Caller(name)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return router.Caller(r.RemoteAddr)
	}
	return router.Caller(host)
}

// serveRepeatable serves a request that may be sent to a worker more than once.
func (x *exchange) serveRepeatable(ctx context.Context) {
	answer, err := x.tryWorkers(ctx)
	if err != nil {
		x.writeAttemptError(err)
		return
	}
	defer answer.Body.Close()
	isComplete, err := x.relay(answer, nil)
	if isComplete {
		x.finishAttempt(nil)
	} else {
		x.finishAttempt(err)
	}
	if err != nil {
		x.abortConnection(err)
	}
}

// writeAttemptError answers with the error of the last attempt. The outcome is
// unknown when an earlier attempt may have run.
func (x *exchange) writeAttemptError(err error) {
	outcome := classifier.KindOf(err).Answer().Outcome
	if x.mayHaveRun && outcome == classifier.OutcomeNotRun {
		outcome = classifier.OutcomeUnknown
	}
	x.writeError(err, outcome)
}

// tryWorkers sends the request to one worker after another until one answers.
// The answering attempt still holds its slot when tryWorkers returns.
func (x *exchange) tryWorkers(ctx context.Context) (*dialer.Answer, error) {
	f := x.forwarder
	f.countFirstAttempt(x)
	// When a worker's connection is closed without an answer, its slot stays
	// taken for the whole request limit. Therefore a caller that goes away
	// doesn't end its attempt.
	sending := context.WithoutCancel(ctx)
	if x.atMostOnce {
		sending = ctx
	}
	for {
		x.attemptCount++
		a, err := x.acquireSlot(ctx)
		if err != nil {
			return nil, err
		}
		x.holdsSlot, x.assignment, x.attemptStart = true, a, f.now()
		f.requestMetrics.waiting.Update(time.Duration(a.Waited).Seconds())
		if x.attemptCount > 1 {
			f.requestMetrics.retries.Inc()
		}
		answer, err := f.dialer.Do(sending, x.newAttempt(a))
		if err == nil {
			deleteSystemHeaders(answer.Header)
			return answer, nil
		}
		kind := classifier.KindOf(err)
		x.finishAttempt(err)
		if kind.Answer().Outcome != classifier.OutcomeNotRun {
			x.mayHaveRun = true
		}
		if !x.mayRetry(ctx, err) {
			return nil, err
		}
		x.failedWorkers = append(x.failedWorkers, a.Worker)
	}
}

// mayRetry decides whether to try another worker after the error; if so, it waits
// for the backoff delay first.
func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	row := classifier.KindOf(err).Answer()
	switch {
	case !row.TryAnotherWorker, x.attemptCount >= maxAttempts:
		return false
	case x.atMostOnce && row.Outcome != classifier.OutcomeNotRun:
		return false
	case !x.body.isBuffered() && row.Outcome != classifier.OutcomeNotRun:
		return false
	case dialer.SentLate(err) && !x.isLateRepeated:
		// The budget protects workers that fail; this entry host was late itself.
		x.isLateRepeated = true
	case !x.forwarder.allowRetry(x):
		return false
	}
	return sleep(ctx, x.forwarder.retryDelay(x.attemptCount))
}

// acquireSlot queues the request and waits for a slot on a worker.
func (x *exchange) acquireSlot(ctx context.Context) (router.Assignment, error) {
	f := x.forwarder
	id := router.RequestID(f.nextRequest.Add(1))
	reply := make(chan placement, 1)
	f.post(ctx, requestArrived{
		request: router.Request{
			ID:           id,
			Service:      x.service.Name,
			Team:         x.service.Team,
			Caller:       x.caller,
			Deadline:     x.arrivedAt.Add(x.service.Wait.Std()),
			FirstArrival: x.arrivedAt,
			Retry:        x.attemptCount > 1,
			AvoidWorkers: x.failedWorkers,
		},
		reply: reply,
	})
	select {
	case p := <-reply:
		if p.kind != classifier.None {
			return p.assignment, classifier.New(p.kind, "service %s", x.service.Name)
		}
		return p.assignment, nil
	case <-ctx.Done():
		f.post(context.WithoutCancel(ctx), requestCancelled{id: id})
		// Nothing was sent for this attempt, so the outcome is not-run.
		return router.Assignment{ID: id}, classifier.New(classifier.QueueTimeout, "the caller has gone while the request waited")
	}
}

// newAttempt builds the dialer's attempt at the assigned worker.
func (x *exchange) newAttempt(a router.Assignment) dialer.Attempt {
	f := x.forwarder
	out := dialer.Attempt{
		Worker:         a.Worker,
		Generation:     a.Generation,
		Address:        a.Address,
		IdleTimeout:    a.Idle,
		MaxConnections: a.Connections,
		AtMostOnce:     x.atMostOnce,
		Timeout:        x.service.Limit.Std(),
		Method:         x.r.Method,
		Target:         x.target,
		Host:           x.r.Host,
		Header:         x.r.Header,
		Body:           x.body.reader(),
		Length:         x.body.contentLength(),
		Trailer:        x.r.Trailer,
		Permit: func() error {
			if f.now() < a.SendBy {
				return nil
			}
			return classifier.New(classifier.ConnectFailed, "the slot's lease ended before the request was sent")
		},
	}
	if !x.atMostOnce {
		out.Informational = x.forwardInformational
	}
	return out
}

// forwardInformational forwards a 1xx answer to the caller.
func (x *exchange) forwardInformational(status int, header http.Header) {
	h := x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	x.w.WriteHeader(status)
	for name := range header {
		h.Del(name)
	}
}

// finishAttempt tells the router that the attempt has ended; the router frees
// the slot at once if the worker surely doesn't run the request.
func (x *exchange) finishAttempt(err error) {
	x.holdsSlot = false
	kind := classifier.KindOf(err)
	surelyEnded := kind == classifier.None || kind.Answer().Outcome == classifier.OutcomeNotRun
	x.forwarder.post(context.Background(), attemptFinished{id: x.assignment.ID, kind: kind, surelyEnded: surelyEnded})
}

func (f *Forwarder) countFirstAttempt(x *exchange) {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.budget.CountFirstAttempt(f.now(), x.service.Name, string(x.caller))
}

func (f *Forwarder) allowRetry(x *exchange) bool {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.AllowRetry(f.now(), x.service.Name, string(x.caller))
}

func (f *Forwarder) retryDelay(retry int) time.Duration {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return backoff.Delay(retry, f.random)
}
