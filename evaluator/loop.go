package evaluator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// EventLoop is a discrete-event simulation: it runs events in order of simulated time.
type EventLoop struct {
	Now    time.Duration // simulated time since the start
	seq    int
	events events
	Random *rand.Rand
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// NewEventLoop returns a loop at time 0 with a random source of the given seed.
func NewEventLoop(seed uint64) *EventLoop {
	return &EventLoop{Random: rand.New(rand.NewPCG(seed, 0))}
}

// After schedules run for the simulated time d from now.
func (l *EventLoop) After(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{l.Now + max(0, d), l.seq, run})
}

// RunUntil runs the events that are due up to end and sets the time to end.
func (l *EventLoop) RunUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = end
}

// Exponential returns a random duration, exponentially distributed with the given
// mean.
func (l *EventLoop) Exponential(mean time.Duration) time.Duration {
	return time.Duration(l.Random.ExpFloat64() * float64(mean))
}
