package forwarder

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// leaderCallTimeout bounds one call to the leader; a longer silence means
	// that the leader has lost its quorum or its link.
	leaderCallTimeout = 2 * time.Second
	// leaderRetryPause is the wait before a proposal or query is sent again.
	leaderRetryPause = 50 * time.Millisecond
)

// propose sends a command to the leader until the leader answers or ctx ends;
// it sends it again when there is no leader or quorum, or when the answer is
// lost. A command may thus be committed twice, so only idempotent commands may
// be sent this way: tickets (identified by their number), and claims,
// settlements and submissions (identified by their keys).
func (f *Forwarder) propose(ctx context.Context, command *modeler.Command) modeler.Result {
	mayBeCommitted := false
	lastResult := modeler.Result{Kind: classifier.NoLeader, Detail: "no leader is known"}
	for {
		result := f.proposeOnce(ctx, command)
		switch result.Kind {
		case classifier.ProposalLost:
			mayBeCommitted = true
		case classifier.NoLeader, classifier.NoQuorum:
		default:
			return result
		}
		lastResult = result
		if !sleep(ctx, leaderRetryPause) {
			break
		}
	}
	if mayBeCommitted {
		// An earlier proposal may still be committed.
		lastResult.Kind = classifier.ProposalLost
	}
	return lastResult
}

func (f *Forwarder) proposeOnce(ctx context.Context, command *modeler.Command) modeler.Result {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	answer, err := f.leader.Do(ctx, &modeler.Message{Kind: modeler.ProposeMessage, Propose: command})
	if err != nil {
		return modeler.Result{Kind: classifier.KindOf(err), Detail: err.Error()}
	}
	if answer.ProposalAnswer == nil {
		return modeler.Result{Kind: classifier.Internal, Detail: "the leader's answer is empty"}
	}
	return answer.ProposalAnswer.Result
}

// query sends a query to the leader, and sends it again while there is no
// leader. A query that may have been lost on the way is sent again only if it
// changes nothing.
func (f *Forwarder) query(ctx context.Context, q modeler.Query) ([]byte, error) {
	for {
		answer, err := f.queryOnce(ctx, q)
		if err == nil && answer.QueryAnswer == nil {
			return nil, classifier.New(classifier.Internal, "the leader's answer is empty")
		}
		if err == nil && answer.QueryAnswer.Result.Kind == classifier.None {
			return answer.QueryAnswer.Document, nil
		}
		if err == nil {
			result := answer.QueryAnswer.Result
			err = classifier.New(result.Kind, "%s", result.Detail)
		}
		isReadOnly := q.Kind < modeler.AddMember
		switch classifier.KindOf(err) {
		case classifier.NoLeader:
		case classifier.ProposalLost:
			if !isReadOnly {
				return nil, err
			}
		default:
			return nil, err
		}
		if !sleep(ctx, leaderRetryPause) {
			return nil, err
		}
	}
}

func (f *Forwarder) queryOnce(ctx context.Context, q modeler.Query) (*modeler.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	return f.leader.Do(ctx, &modeler.Message{Kind: modeler.QueryMessage, Query: &q})
}

// sleep waits for the pause or the end of ctx; it reports whether the whole
// pause passed.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
