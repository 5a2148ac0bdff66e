package main_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against a team whose requests wait behind the flood of another team that
// uses the same workers through other entry hosts, and against slots that stay
// idle because of the sharing.
func TestTeamsShareSlots(t *testing.T) {
	const run, slots, span = 50 * time.Millisecond, 16, 6 * time.Second
	s := newSystem(t, withServiceTime(kitahama, run, 0, ""), 1, 4, 2)
	light := s.shape.once
	s.shape.once = "" // its requests may be repeated here
	ticket := s.firstTicket()
	ticket.Teams = append(ticket.Teams, ticket.Teams[0])
	ticket.Teams[1].Name = "light"
	ticket.Services[1].Name = modeler.ServiceName(light)
	ticket.Services[1].Team, ticket.Services[1].AtMostOnce = "light", false
	s.apply(ticket)
	time.Sleep(500 * time.Millisecond)
	ctx, stop := context.WithTimeout(t.Context(), span)
	defer stop()
	c := newCallers(s)
	// The flood keeps 120 requests under way, 375 ms of work for all slots. The
	// light team uses up to 4 slots of its 8.
	for i, entryAddress := range s.entryAddresses {
		if i < 2 {
			c.startLoops(ctx, "flood", entryAddress, s.shape.service, 60, 0)
			continue
		}
		c.startLoops(ctx, "light", entryAddress, light, 2, 0)
	}
	c.group.Wait()
	spans := c.durations("light")
	high := spans[len(spans)*95/100]
	t.Logf("%v; of the light team half took up to %s, 95%% up to %s", c.counts, spans[len(spans)/2], high)
	assert.Equal(t, len(c.counts["flood"]), 1, "a request of the flood has failed")
	assert.Equal(t, len(c.counts["light"]), 1, "a request of the light team has failed")
	// All slots of the flood are free again within one run, so a request waits
	// for one run and takes another; a third is left for messages and a busy
	// machine.
	assert.Assert(t, high <= 3*run, "the light team waits behind the flood")
	// A slot that passes to another entry host is idle for two message trips,
	// and a tenth is left for the pauses between a caller's requests.
	assert.Assert(t, float64(c.total("200")) > 0.8*slots*span.Seconds()/run.Seconds(), "slots stay idle")
	for i := range s.workers {
		s.checkWorkerLimits(i, "shares")
	}
}
