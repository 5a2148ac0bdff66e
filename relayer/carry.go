package relayer

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// carryMost bounds the orders that a process carries at a time; each takes
	// a goroutine, and most of them a connection.
	carryMost = 2048
	// answerEvery is the time over which answers are collected for one message
	// to the leader.
	answerEvery = 10 * time.Millisecond
)

// carriedAnswer is an answer on its way to the leader that sent the order.
type carriedAnswer struct {
	link   *linker.Link
	answer modeler.CarriedAnswer
}

// carry carries orders to their workers.
func (r *Relayer) carry(ctx context.Context, l *linker.Link, orders []modeler.CarriedOrder) {
	received := r.settings.Clock()
	for i := range orders {
		if r.carrying.Add(1) > carryMost {
			r.carrying.Add(-1)
			r.answer(ctx, l, orders[i].Number, modeler.OrderAnswer{Outcome: modeler.OrderUnsent})
			continue
		}
		go func() {
			defer r.carrying.Add(-1)
			r.answer(ctx, l, orders[i].Number, r.carryOne(ctx, received, &orders[i].Order))
		}()
	}
}

// carryOne carries one order. An order that has waited here for its whole time
// is not sent, nor is one of a leader that another one has replaced.
func (r *Relayer) carryOne(ctx context.Context, received modeler.ClockReading, o *modeler.Order) modeler.OrderAnswer {
	switch {
	case uint64(o.Term) < r.term.Load():
		return modeler.OrderAnswer{Outcome: modeler.OrderStale}
	case r.settings.Clock().Sub(received) > o.Timeout:
		return modeler.OrderAnswer{Outcome: modeler.OrderUnsent}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	return r.settings.Carry(ctx, o)
}

func (r *Relayer) answer(ctx context.Context, l *linker.Link, number modeler.Sequence, a modeler.OrderAnswer) {
	select {
	case r.answers <- carriedAnswer{link: l, answer: modeler.CarriedAnswer{Number: number, Answer: a}}:
	case <-ctx.Done():
	}
}

// runAnswers sends the answers of carried orders, several in one message.
func (r *Relayer) runAnswers(ctx context.Context) {
	for {
		select {
		case first := <-r.answers:
			time.Sleep(answerEvery)
			r.sendAnswers(first)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relayer) sendAnswers(first carriedAnswer) {
	batches := map[*linker.Link][]modeler.CarriedAnswer{first.link: {first.answer}}
	for range carryMost {
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

// noteTerm remembers the highest term of a leader.
func (r *Relayer) noteTerm(term modeler.Term) {
	for {
		held := r.term.Load()
		if uint64(term) <= held || r.term.CompareAndSwap(held, uint64(term)) {
			return
		}
	}
}
