package forwarder

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/recorder"
)

const (
	// minClaimPoll and maxClaimPoll bound the pause between two tries to claim
	// a key that another request holds.
	minClaimPoll = 25 * time.Millisecond
	maxClaimPoll = 500 * time.Millisecond
)

// serveOnce serves a request that must not be repeated: it claims the
// idempotency key with a quorum before the first byte is sent to a worker, and
// records the outcome.
func (x *exchange) serveOnce() {
	f := x.forwarder
	key, err := canonicalKey(x.r.Header.Get(KeyHeader))
	if err != nil {
		x.writeError(err, classifier.OutcomeNotRun)
		return
	}
	x.claim = &modeler.Claim{
		Service:     x.service.Name,
		Key:         key,
		Fingerprint: x.fingerprint(),
		Caller:      modeler.HashCaller(string(x.caller)),
		Entry:       f.session.Entry,
		Incarnation: f.session.Incarnation,
		Request:     modeler.Sequence(f.nextRequest.Add(1)),
	}
	// The request runs to its end even when the caller goes away, so that its
	// readAnswer can be recorded for a repeat.
	timeout := x.service.Wait.Std() + x.service.Limit.Std()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), timeout)
	defer cancel()
	if !x.claimKey(ctx) {
		return
	}
	x.runClaimed(ctx)
}

func canonicalKey(text string) (modeler.Key, error) {
	if text == "" {
		return "", classifier.New(classifier.KeyMissing, "a request that must not be repeated needs the header %s", KeyHeader)
	}
	key := modeler.Key(strings.ToLower(text))
	if _, err := recorder.CreatedAt(key); err != nil {
		return "", err
	}
	return key, nil
}

// fingerprint returns a hash of the method, target, content type and body, by
// which requests with the same key are told apart.
func (x *exchange) fingerprint() modeler.Digest {
	h := xxhash.New()
	for _, part := range []string{x.r.Method, x.target, x.r.Header.Get("Content-Type")} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body.head)
	return modeler.Digest(h.Sum64())
}

// claimKey claims the idempotency key. When it returns false, the caller has
// been answered.
func (x *exchange) claimKey(ctx context.Context) bool {
	pause := minClaimPoll
	for {
		result := x.forwarder.propose(ctx, &modeler.Command{Kind: modeler.ClaimKey, Claim: x.claim})
		switch {
		case result.Kind == classifier.None:
			return true
		case result.Kind == classifier.ProposalLost:
			// The claim may be committed, but the request was not and will not
			// be sent.
			x.releaseKey()
			x.writeError(classifier.New(classifier.NoQuorum, "the claim of the key was not confirmed"), classifier.OutcomeNotRun)
			return false
		case result.Kind != classifier.Claimed || result.Record == nil:
			err := classifier.New(result.Kind, "%s", result.Detail)
			x.writeError(err, result.Kind.Answer().Outcome)
			return false
		case x.answerFromRecord(result.Record):
			return false
		}
		if !sleep(ctx, pause) {
			x.writeError(classifier.New(classifier.Claimed, "the first request with this key has not ended"), classifier.OutcomeUnknown)
			return false
		}
		pause = min(pause*2, maxClaimPoll)
	}
}

// answerFromRecord answers a repeated request once the outcome of the first one
// is recorded, or can't be recorded any more. It reports whether it has
// answered.
func (x *exchange) answerFromRecord(record *modeler.RequestRecord) bool {
	switch {
	case record.Settled && record.Outcome == classifier.OutcomeRun:
		x.forwarder.requestMetrics.replays.Inc()
		x.upload.setConnectionClose(x.w.Header())
		replay(x.w, record)
		return true
	case record.Settled, record.Abandoned:
		err := classifier.New(classifier.Claimed, "whether the first request with this key was run is not known")
		x.writeError(err, classifier.OutcomeUnknown)
		return true
	default:
		return false
	}
}

// runClaimed sends the request whose key is claimed, and records its outcome
// and answer.
func (x *exchange) runClaimed(ctx context.Context) {
	x.isClaimUnsettled = true
	answer, err := x.tryWorkers(ctx)
	if err != nil {
		outcome := classifier.KindOf(err).Answer().Outcome
		if x.mayHaveRun || outcome == classifier.OutcomeRun {
			// Without an answer to replay, the outcome is recorded as unknown.
			outcome = classifier.OutcomeUnknown
		}
		x.settleClaim(outcome, modeler.RecordedAnswer{})
		x.writeAttemptError(err)
		return
	}
	defer answer.Body.Close()
	record := newAnswerRecord(answer)
	isComplete, err := x.relay(answer, record)
	if isComplete {
		x.finishAttempt(nil)
		x.settleClaim(classifier.OutcomeRun, record.answer)
	} else {
		x.finishAttempt(err)
		x.settleClaim(classifier.OutcomeUnknown, modeler.RecordedAnswer{})
	}
	if err != nil {
		x.abortConnection(err)
	}
}

// releaseKey settles the claim of a request that was not sent, so that its key
// is free again.
func (x *exchange) releaseKey() { x.settleClaim(classifier.OutcomeNotRun, modeler.RecordedAnswer{}) }

// settleClaim queues the outcome and answer of the claimed request to be
// recorded.
func (x *exchange) settleClaim(outcome classifier.Outcome, answer modeler.RecordedAnswer) {
	x.isClaimUnsettled = false
	x.forwarder.settlements.add(&modeler.Settlement{
		Service:     x.claim.Service,
		Key:         x.claim.Key,
		Entry:       x.claim.Entry,
		Incarnation: x.claim.Incarnation,
		Outcome:     outcome,
		Answer:      answer,
		Request:     x.claim.Request,
	})
}
