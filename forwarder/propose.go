package forwarder

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// callTimeout bounds one call to the leader; a longer silence means that
	// the leader has lost its quorum or its link.
	callTimeout = 2 * time.Second
	// proposePause is the wait before a proposal is sent again.
	proposePause = 50 * time.Millisecond
)

// propose sends a command until the leader answers or ctx ends. Only commands
// that have the same effect when they are committed twice may be sent this
// way: tickets by their number, claims, settlements and submissions by their
// keys.
func (f *Forwarder) propose(ctx context.Context, command *modeler.Command) modeler.Result {
	sent := false
	last := modeler.Result{Kind: classifier.NoLeader, Detail: "no leader is known"}
	for {
		result := f.proposeOnce(ctx, command)
		switch result.Kind {
		case classifier.ProposalLost:
			sent = true
		case classifier.NoLeader, classifier.NoQuorum:
		default:
			return result
		}
		last = result
		if !sleep(ctx, proposePause) {
			break
		}
	}
	if sent {
		// An earlier try may still be committed.
		last.Kind = classifier.ProposalLost
	}
	return last
}

func (f *Forwarder) proposeOnce(ctx context.Context, command *modeler.Command) modeler.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// query asks the leader, and asks again while there is none.
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
		repeatable := q.Kind < modeler.AddMember
		switch classifier.KindOf(err) {
		case classifier.NoLeader:
		case classifier.ProposalLost:
			if !repeatable {
				return nil, err
			}
		default:
			return nil, err
		}
		if !sleep(ctx, proposePause) {
			return nil, err
		}
	}
}

func (f *Forwarder) queryOnce(ctx context.Context, q modeler.Query) (*modeler.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.leader.Do(ctx, &modeler.Message{Kind: modeler.QueryMessage, Query: &q})
}

// sleep waits and reports whether ctx still holds.
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
