package router_test

import (
	"time"

	"goldcreststack.example/goldcreststack/evaluator"
	"goldcreststack.example/goldcreststack/modeler"
)

// eventLoop is the simulated event loop with helpers for random choices.
type eventLoop struct{ *evaluator.EventLoop }

func newEventLoop(seed uint64) *eventLoop { return &eventLoop{evaluator.NewEventLoop(seed)} }

func (l *eventLoop) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(l.Random.Int64N(int64(high-low)+1))
}

func (l *eventLoop) chance(p float64) bool { return l.Random.Float64() < p }

// host is a simulated process that can pause and whose clock drifts. Steps due
// during a pause run when it ends.
type host struct {
	eventLoop   *eventLoop
	clockOffset time.Duration
	clockRate   float64
	pausedUntil time.Duration // simulated time at which the pause ends
}

// newHost returns a host whose clock rate differs from any other's by up to 1%.
func newHost(l *eventLoop) host {
	return host{eventLoop: l, clockOffset: l.randomDuration(0, time.Hour), clockRate: 0.9951 + 0.0098*l.Random.Float64()}
}

func (h *host) reading() modeler.ClockReading {
	return modeler.ClockReading(h.clockOffset + time.Duration(float64(h.eventLoop.Now)*h.clockRate))
}

// trueDuration converts a duration on the host's clock to simulated time.
func (h *host) trueDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / h.clockRate)
}

// whenResumed runs a step of the process, after its pause if it is paused.
func (h *host) whenResumed(run func()) {
	if h.eventLoop.Now < h.pausedUntil {
		h.eventLoop.After(h.pausedUntil-h.eventLoop.Now, func() { h.whenResumed(run) })
		return
	}
	run()
}
