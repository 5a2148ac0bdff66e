package forwarder

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/follower"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// heartbeatBatchWindow is how long the first heartbeat of a batch waits for
	// others.
	heartbeatBatchWindow = 10 * time.Millisecond
	// maxHeartbeatBatch bounds the heartbeats in one batch.
	maxHeartbeatBatch = 256
	// heartbeatQueueSize bounds the heartbeats that wait for a batch.
	heartbeatQueueSize = 4096
)

// pendingHeartbeat is a worker's heartbeat that waits for the leader's answer.
type pendingHeartbeat struct {
	heartbeat modeler.Heartbeat
	answer    chan heartbeatResult
}

type heartbeatResult struct {
	answer modeler.HeartbeatAnswer
	err    error
}

// heartbeatBatcher sends heartbeats to the leader in batches, since a message
// costs more than the heartbeats in it.
type heartbeatBatcher struct {
	leader *follower.Client
	queue  chan *pendingHeartbeat
}

func newHeartbeatBatcher(leader *follower.Client) *heartbeatBatcher {
	return &heartbeatBatcher{leader: leader, queue: make(chan *pendingHeartbeat, heartbeatQueueSize)}
}

// send sends one heartbeat with the next batch and returns the leader's answer.
func (b *heartbeatBatcher) send(ctx context.Context, h modeler.Heartbeat) (modeler.HeartbeatAnswer, error) {
	pending := &pendingHeartbeat{heartbeat: h, answer: make(chan heartbeatResult, 1)}
	select {
	case b.queue <- pending:
	default:
		return modeler.HeartbeatAnswer{}, classifier.New(classifier.QueueFull, "too many heartbeats wait")
	}
	select {
	case result := <-pending.answer:
		return result.answer, result.err
	case <-ctx.Done():
		return modeler.HeartbeatAnswer{}, classifier.Wrap(classifier.CallerGone, ctx.Err(), "heartbeat")
	}
}

// run forms the batches until ctx ends and sends each in its own goroutine.
func (b *heartbeatBatcher) run(ctx context.Context) error {
	for {
		select {
		case first := <-b.queue:
			batch := b.collectBatch(ctx, first)
			go b.sendBatch(ctx, batch)
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *heartbeatBatcher) collectBatch(ctx context.Context, first *pendingHeartbeat) []*pendingHeartbeat {
	batch := []*pendingHeartbeat{first}
	timer := time.NewTimer(heartbeatBatchWindow)
	defer timer.Stop()
	for len(batch) < maxHeartbeatBatch {
		select {
		case next := <-b.queue:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (b *heartbeatBatcher) sendBatch(ctx context.Context, batch []*pendingHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	m := &modeler.Message{Kind: modeler.HeartbeatsMessage}
	for _, pending := range batch {
		m.Heartbeats = append(m.Heartbeats, pending.heartbeat)
	}
	answer, err := b.leader.Do(ctx, m)
	for i, pending := range batch {
		switch {
		case err != nil:
			pending.answer <- heartbeatResult{err: err}
		case i >= len(answer.Answers):
			pending.answer <- heartbeatResult{err: classifier.New(classifier.Internal, "the leader answered too few heartbeats")}
		default:
			pending.answer <- heartbeatResult{answer: answer.Answers[i]}
		}
	}
}
