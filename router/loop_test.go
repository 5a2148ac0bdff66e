package router_test

import (
	"time"

	"goldcreststack.example/goldcreststack/evaluator"
	"goldcreststack.example/goldcreststack/modeler"
)

// loop adds random choices to the loop of events.
type loop struct{ *evaluator.Loop }

func newLoop(seed uint64) *loop { return &loop{evaluator.NewLoop(seed)} }

func (l *loop) between(low, high time.Duration) time.Duration {
	return low + time.Duration(l.Random.Int64N(int64(high-low)+1))
}

func (l *loop) chance(p float64) bool { return l.Random.Float64() < p }

// host is a process with a drifting clock that can pause. What it does while
// paused happens on resuming.
type host struct {
	loop   *loop
	offset time.Duration
	rate   float64
	paused time.Duration // until
}

// newHost returns a host whose clock drifts from any other's by up to 1%.
func newHost(l *loop) host {
	return host{loop: l, offset: l.between(0, time.Hour), rate: 0.9951 + 0.0098*l.Random.Float64()}
}

func (h *host) reading() modeler.ClockReading {
	return modeler.ClockReading(h.offset + time.Duration(float64(h.loop.Now)*h.rate))
}

// span returns the true time that a span on the host's clock takes.
func (h *host) span(d time.Duration) time.Duration {
	return time.Duration(float64(d) / h.rate)
}

// do runs a step of the process, once it isn't paused.
func (h *host) do(run func()) {
	if h.loop.Now < h.paused {
		h.loop.After(h.paused-h.loop.Now, func() { h.do(run) })
		return
	}
	run()
}
