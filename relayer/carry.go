package relayer

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxCarriedOrders bounds the orders that a process delivers at a time; each
	// takes a goroutine, and most of them a connection.
	maxCarriedOrders = 2048
	// answerInterval is how long answers are collected for one message to the
	// leader.
	answerInterval = 10 * time.Millisecond
)

// carriedAnswer is a worker's answer that goes back over the link of the leader
// that sent the order.
type carriedAnswer struct {
	link   *linker.Link
	answer modeler.CarriedAnswer
}

// carryOrders delivers the leader's orders to their workers and queues the
// answers. Orders beyond maxCarriedOrders are answered as not sent.
func (r *Relayer) carryOrders(ctx context.Context, l *linker.Link, orders []modeler.CarriedOrder) {
	received := r.settings.Clock()
	for i := range orders {
		if r.ordersInFlight.Add(1) > maxCarriedOrders {
			r.ordersInFlight.Add(-1)
			r.answer(ctx, l, orders[i].Number, modeler.OrderAnswer{Outcome: modeler.OrderUnsent})
			continue
		}
		go func() {
			defer r.ordersInFlight.Add(-1)
			r.answer(ctx, l, orders[i].Number, r.carryOrder(ctx, received, &orders[i].Order))
		}()
	}
}

// carryOrder delivers one order to its worker. An order is not sent if it has
// waited here for its whole timeout, or if the leader that sent it has been
// replaced.
func (r *Relayer) carryOrder(ctx context.Context, received modeler.ClockReading, o *modeler.Order) modeler.OrderAnswer {
	switch term := uint64(o.Fence.Term()); {
	case term != 0 && term < r.term.Load():
		return modeler.OrderAnswer{Outcome: modeler.OrderStale}
	case r.settings.Clock().Sub(received) > o.Timeout:
		return modeler.OrderAnswer{Outcome: modeler.OrderUnsent}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	return r.settings.DeliverOrder(ctx, o)
}

// answer queues the answer to a carried order.
func (r *Relayer) answer(ctx context.Context, l *linker.Link, number modeler.Sequence, a modeler.OrderAnswer) {
	select {
	case r.answers <- carriedAnswer{link: l, answer: modeler.CarriedAnswer{Number: number, Answer: a}}:
	case <-ctx.Done():
	}
}

// runAnswers sends the queued answers to the leader, several in one message.
func (r *Relayer) runAnswers(ctx context.Context) {
	for {
		select {
		case first := <-r.answers:
			time.Sleep(answerInterval)
			r.sendAnswers(first)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relayer) sendAnswers(first carriedAnswer) {
	batches := map[*linker.Link][]modeler.CarriedAnswer{first.link: {first.answer}}
	for range maxCarriedOrders {
		select {
		case a := <-r.answers:
			batches[a.link] = append(batches[a.link], a.answer)
			continue
		default:
		}
		break
	}
	for link, answers := range batches {
		link.Send(&modeler.Message{Kind: modeler.CarriedAnswersMessage, CarriedAnswers: answers})
	}
}

// noteTerm records the highest term of a leader that was reached.
func (r *Relayer) noteTerm(term modeler.Term) {
	for {
		highest := r.term.Load()
		if uint64(term) <= highest || r.term.CompareAndSwap(highest, uint64(term)) {
			return
		}
	}
}
