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
	// pollMin and pollMax pace the looks at a claim that another request
	// holds.
	pollMin = 25 * time.Millisecond
	pollMax = 500 * time.Millisecond
)

// serveOnce runs a request that must not be repeated: its key is claimed with
// a quorum before the first byte leaves, and its outcome is recorded.
func (x *exchange) serveOnce() {
	f := x.shell
	key, err := canonicalKey(x.r.Header.Get(KeyHeader))
	if err != nil {
		x.refuse(err, classifier.OutcomeNotRun)
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
	// answer can be recorded for a repeat.
	span := x.service.Wait.Std() + x.service.Limit.Std()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), span)
	defer cancel()
	if !x.takeClaim(ctx) {
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

// fingerprint tells requests apart that bear the same key.
func (x *exchange) fingerprint() modeler.Digest {
	h := xxhash.New()
	for _, part := range []string{x.r.Method, x.target, x.r.Header.Get("Content-Type")} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body.head)
	return modeler.Digest(h.Sum64())
}

// takeClaim claims the key; when it returns false, the caller is answered.
func (x *exchange) takeClaim(ctx context.Context) bool {
	pause := pollMin
	for {
		result := x.shell.propose(ctx, &modeler.Command{Kind: modeler.ClaimKey, Claim: x.claim})
		switch {
		case result.Kind == classifier.None:
			return true
		case result.Kind == classifier.ProposalLost:
			// The claim may be committed, but nothing was sent and nothing
			// will be.
			x.release()
			x.refuse(classifier.New(classifier.NoQuorum, "the claim of the key was not confirmed"), classifier.OutcomeNotRun)
			return false
		case result.Kind != classifier.Claimed || result.Record == nil:
			err := classifier.New(result.Kind, "%s", result.Detail)
			x.refuse(err, result.Kind.Answer().Outcome)
			return false
		case x.answerRecorded(result.Record):
			return false
		}
		if !sleep(ctx, pause) {
			x.refuse(classifier.New(classifier.Claimed, "the first request with this key has not ended"), classifier.OutcomeUnknown)
			return false
		}
		pause = min(pause*2, pollMax)
	}
}

// answerRecorded answers a repeat when the outcome of the first request is
// known or can't become known any more.
func (x *exchange) answerRecorded(record *modeler.RequestRecord) bool {
	switch {
	case record.Settled && record.Outcome == classifier.OutcomeRun:
		x.shell.counts.replayed.Inc()
		x.upload.announceClose(x.w.Header())
		replay(x.w, record)
		return true
	case record.Settled, record.Abandoned:
		err := classifier.New(classifier.Claimed, "whether the first request with this key was run is not known")
		x.refuse(err, classifier.OutcomeUnknown)
		return true
	default:
		return false
	}
}

// runClaimed sends the claimed request and records what became of it.
func (x *exchange) runClaimed(ctx context.Context) {
	x.unsettled = true
	answer, err := x.attempts(ctx)
	if err != nil {
		outcome := classifier.KindOf(err).Answer().Outcome
		if x.mayHaveRun || outcome == classifier.OutcomeRun {
			// Without its answer the record can't say more.
			outcome = classifier.OutcomeUnknown
		}
		x.settle(outcome, modeler.RecordedAnswer{})
		x.fail(err)
		return
	}
	defer answer.Body.Close()
	t := newRecording(answer)
	whole, err := x.relay(answer, t)
	if whole {
		x.finish(nil)
		x.settle(classifier.OutcomeRun, t.answer)
	} else {
		x.finish(err)
		x.settle(classifier.OutcomeUnknown, modeler.RecordedAnswer{})
	}
	if err != nil {
		x.abort(err)
	}
}

// release frees the key of a request that was not sent.
func (x *exchange) release() { x.settle(classifier.OutcomeNotRun, modeler.RecordedAnswer{}) }

func (x *exchange) settle(outcome classifier.Outcome, answer modeler.RecordedAnswer) {
	x.unsettled = false
	x.shell.settles.add(&modeler.Settlement{
		Service:     x.claim.Service,
		Key:         x.claim.Key,
		Entry:       x.claim.Entry,
		Incarnation: x.claim.Incarnation,
		Outcome:     outcome,
		Answer:      answer,
		Request:     x.claim.Request,
	})
}
