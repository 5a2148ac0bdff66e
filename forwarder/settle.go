package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxConcurrentSettlements bounds the settlements that are recorded at the
	// same time.
	maxConcurrentSettlements = 16
	// settlementTimeout bounds the time to record one settlement. A claim that
	// stays unsettled is answered with the outcome unknown, which is correct.
	settlementTimeout = time.Minute
)

// settler records the outcomes of claimed requests after their callers have
// been answered.
type settler struct {
	forwarder *Forwarder
	queue     chan *modeler.Settlement
	// waiting is the number of settlements that are not recorded yet.
	waiting atomic.Int64
}

func newSettler(f *Forwarder) *settler {
	return &settler{forwarder: f, queue: make(chan *modeler.Settlement, settlementQueueSize)}
}

// add queues a settlement. When the queue is full, the settlement is dropped
// and the outcome of its claim stays unknown.
func (s *settler) add(settlement *modeler.Settlement) {
	s.waiting.Add(1)
	select {
	case s.queue <- settlement:
	default:
		s.waiting.Add(-1)
		s.forwarder.settings.Report.Warn("a settlement was dropped", "key", settlement.Key)
	}
}

func (s *settler) run(ctx context.Context) error {
	done := make(chan struct{})
	for range maxConcurrentSettlements {
		go func() {
			defer func() { done <- struct{}{} }()
			s.recordQueued(ctx)
		}()
	}
	for range maxConcurrentSettlements {
		<-done
	}
	return nil
}

func (s *settler) recordQueued(ctx context.Context) {
	for {
		select {
		case settlement := <-s.queue:
			s.record(ctx, settlement)
			s.waiting.Add(-1)
		case <-ctx.Done():
			return
		}
	}
}

func (s *settler) record(ctx context.Context, settlement *modeler.Settlement) {
	ctx, cancel := context.WithTimeout(ctx, settlementTimeout)
	defer cancel()
	result := s.forwarder.propose(ctx, &modeler.Command{Kind: modeler.SettleKey, Settle: settlement})
	if result.Kind != classifier.None {
		s.forwarder.settings.Report.Warn("a settlement was not recorded", "key", settlement.Key, "kind", result.Kind)
	}
}

// waitUntilEmpty waits until every settlement is recorded or ctx ends.
func (s *settler) waitUntilEmpty(ctx context.Context) {
	for s.waiting.Load() > 0 && sleep(ctx, 10*time.Millisecond) {
	}
}
