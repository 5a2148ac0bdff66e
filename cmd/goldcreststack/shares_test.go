package main_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against a team that waits behind another one's flood on the same
// workers when the two come through different entry hosts, and against slots
// that stay idle for it.
func TestTeamsShareSlots(t *testing.T) {
	const run, slots, span = 50 * time.Millisecond, 16, 6 * time.Second
	s := newSystem(t, withTime(kitahama, run, 0, ""), 1, 4, 2)
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
	for i, front := range s.fronts {
		if i < 2 {
			c.loop(ctx, "flood", front, s.shape.service, 60, 0)
			continue
		}
		c.loop(ctx, "light", front, light, 2, 0)
	}
	c.group.Wait()
	spans := slices.Sorted(slices.Values(c.spans["light"]))
	high := spans[len(spans)*95/100]
	t.Logf("%v; of the light team half took up to %s, 95%% up to %s", c.counts, spans[len(spans)/2], high)
	assert.Equal(t, len(c.counts["flood"]), 1, "a request of the flood has failed")
	assert.Equal(t, len(c.counts["light"]), 1, "a request of the light team has failed")
	// All slots of the flood are free again within a run, so a request waits for
	// that at most; a third run is left for messages and a busy machine.
	assert.Assert(t, high <= 3*run, "the light team waits behind the flood")
	// Each slot that changes hands is idle for two trips, and a tenth is left
	// for the pauses between a caller's requests.
	assert.Assert(t, float64(c.total("200")) > 0.8*slots*span.Seconds()/run.Seconds(), "slots stay idle")
	for i := range s.workers {
		s.checkPeaks(i, "shares")
	}
}
