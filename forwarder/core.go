package forwarder

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/router"
)

const (
	// minTick and maxTick bound the pause between two ticks of the router.
	minTick = time.Millisecond
	maxTick = 100 * time.Millisecond
	// burst bounds the events handled between two looks at the output.
	burst = 256
)

// core is the state that only the core goroutine touches.
type core struct {
	shell   *Forwarder
	router  *router.Router
	answers map[router.RequestID]chan<- placement
}

// run is the core goroutine.
func (c *core) run(ctx context.Context) error {
	timer := time.NewTimer(maxTick)
	defer timer.Stop()
	for {
		select {
		case e := <-c.shell.events:
			c.handle(e)
			c.handleBurst()
		case <-timer.C:
			c.router.Tick(c.shell.now())
		case <-ctx.Done():
			return nil
		}
		c.flush()
		timer.Reset(c.pause())
	}
}

func (c *core) handleBurst() {
	for range burst {
		select {
		case e := <-c.shell.events:
			c.handle(e)
		default:
			return
		}
	}
}

func (c *core) pause() time.Duration {
	return min(max(c.router.Due().Sub(c.shell.now()), minTick), maxTick)
}

func (c *core) handle(e event) {
	now := c.shell.now()
	switch e := e.(type) {
	case arrived:
		c.answers[e.request.ID] = e.answer
		c.router.Arrive(now, e.request)
	case cancelled:
		c.cancel(now, e.id)
	case finished:
		c.router.Finish(now, e.id, e.kind, e.ended)
	case leaderUp:
		c.router.Lead(now, e.term)
	case leaderDown:
		c.router.Lost(now, e.term)
	case granted:
		c.router.Grant(now, e.grant)
	case configured:
		c.router.Configure(now, e.configuration)
		c.shell.configure(e.configuration)
	case drain:
		c.router.Drain(now)
	case inspect:
		e.visit(c)
	}
}

// cancel drops a waiting request. One that was assigned meanwhile is not
// sent, since its handler has gone.
func (c *core) cancel(now modeler.ClockReading, id router.RequestID) {
	if c.router.Cancel(now, id) {
		delete(c.answers, id)
		return
	}
	c.router.Finish(now, id, 0, true)
}

// flush passes on what the router has decided.
func (c *core) flush() {
	for {
		out := c.router.Take()
		for i := range out.Assignments {
			c.answer(out.Assignments[i].ID, placement{assignment: out.Assignments[i]})
		}
		for _, r := range out.Refusals {
			c.answer(r.ID, placement{kind: r.Kind})
		}
		if out.Renew != nil {
			c.shell.leader.Send(&modeler.Message{Kind: modeler.RenewMessage, Renew: out.Renew})
		}
		if len(out.Assignments)+len(out.Refusals) == 0 {
			return
		}
	}
}

// answer tells a handler where its request goes; the channel has room for it.
func (c *core) answer(id router.RequestID, p placement) {
	if answer, found := c.answers[id]; found {
		delete(c.answers, id)
		answer <- p
	}
}
