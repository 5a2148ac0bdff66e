package forwarder

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/router"
)

const (
	// minTickPause and maxTickPause bound the time between two ticks of the
	// router.
	minTickPause = time.Millisecond
	maxTickPause = 100 * time.Millisecond
	// maxEventBurst bounds the events handled before the router's decisions are
	// delivered.
	maxEventBurst = 256
)

// core is the state that only the core goroutine accesses.
type core struct {
	forwarder *Forwarder
	router    *router.Router
	replies   map[router.RequestID]chan<- placement
}

// run handles events and ticks until ctx ends; it is the core goroutine.
func (c *core) run(ctx context.Context) error {
	timer := time.NewTimer(maxTickPause)
	defer timer.Stop()
	for {
		select {
		case e := <-c.forwarder.events:
			c.handle(e)
			c.handleBurst()
		case <-timer.C:
			c.router.Tick(c.forwarder.now())
		case <-ctx.Done():
			return nil
		}
		c.deliverDecisions()
		timer.Reset(c.tickPause())
	}
}

func (c *core) handleBurst() {
	for range maxEventBurst {
		select {
		case e := <-c.forwarder.events:
			c.handle(e)
		default:
			return
		}
	}
}

func (c *core) tickPause() time.Duration {
	return min(max(c.router.Due().Sub(c.forwarder.now()), minTickPause), maxTickPause)
}

func (c *core) handle(e event) {
	now := c.forwarder.now()
	switch e := e.(type) {
	case requestArrived:
		c.replies[e.request.ID] = e.reply
		c.router.Arrive(now, e.request)
	case requestCancelled:
		c.cancel(now, e.id)
	case attemptFinished:
		c.router.Finish(now, e.id, e.kind, e.surelyEnded)
	case leaderConnected:
		c.router.Lead(now, e.term)
	case leaderDisconnected:
		c.router.LeaderLost(now, e.term)
	case grantReceived:
		c.router.Grant(now, e.grant)
	case configurationReceived:
		c.router.Configure(now, e.configuration)
		c.forwarder.configure(e.configuration)
	case drainStarted:
		c.router.Drain(now)
	case stateInspection:
		e.visit(c)
	}
}

// cancel removes a waiting request from the router. If the request was assigned
// meanwhile, its slot is freed: its handler has returned and won't send it.
func (c *core) cancel(now modeler.ClockReading, id router.RequestID) {
	if c.router.Cancel(now, id) {
		delete(c.replies, id)
		return
	}
	c.router.Finish(now, id, 0, true)
}

// deliverDecisions sends the router's assignments and refusals to the request
// handlers, and its lease renewal to the leader.
func (c *core) deliverDecisions() {
	for {
		out := c.router.Take()
		for i := range out.Assignments {
			c.reply(out.Assignments[i].ID, placement{assignment: out.Assignments[i]})
		}
		for _, r := range out.Refusals {
			c.reply(r.ID, placement{kind: r.Kind})
		}
		if out.Renew != nil {
			c.forwarder.leader.Send(&modeler.Message{Kind: modeler.RenewMessage, Renew: out.Renew})
		}
		if len(out.Assignments)+len(out.Refusals) == 0 {
			return
		}
	}
}

// reply sends a placement to the handler of a request. It never blocks, since
// the channel is buffered.
func (c *core) reply(id router.RequestID, p placement) {
	if reply, found := c.replies[id]; found {
		delete(c.replies, id)
		reply <- p
	}
}
