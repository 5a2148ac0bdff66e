package ticketer_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/ticketer"
)

func firstTicket() *modeler.Ticket {
	return &modeler.Ticket{
		Number: 10,
		Teams:  []modeler.Team{{Name: "bureau", Weight: 1, Policy: modeler.Spread}},
		Services: []modeler.Service{{
			Name:   "breakfast-register",
			Region: "kyushu-north",
			Team:   "bureau",
			Limit:  modeler.Duration(5 * time.Second),
			Wait:   modeler.Duration(time.Second),
			Queue:  100,
		}},
	}
}

// TestNumberHasOneOutcome guards against a ticket that is resent, or that loses
// a race for its number, and changes the outcome of the ticket which holds the
// number.
func TestNumberHasOneOutcome(t *testing.T) {
	cell := ticketer.NewCell()
	accepted := cell.Apply(7, firstTicket())
	assert.Equal(t, accepted.Kind, classifier.None)

	other := firstTicket()
	other.Note = "raced through another host"
	lost := cell.Apply(8, other)
	assert.Equal(t, lost.Kind, classifier.TicketConflict)
	assert.Equal(t, lost.Digest, accepted.Digest)

	for number := modeler.TicketNumber(11); number < 600; number++ {
		later := firstTicket()
		later.Number = number
		assert.Equal(t, cell.Apply(modeler.Index(number), later).Kind, classifier.None)
	}
	again := cell.Apply(900, firstTicket())
	assert.Equal(t, again.Kind, classifier.None)
	assert.Equal(t, again.Index, modeler.Index(7))
	assert.Assert(t, again.Repeat)
	assert.Equal(t, cell.Ticket, modeler.TicketNumber(599))

	lower := firstTicket()
	lower.Number = 9
	assert.Equal(t, cell.Apply(901, lower).Kind, classifier.TicketStale)
}

// TestRefusedTicketChangesNothing guards against a refused ticket that is
// applied in part.
func TestRefusedTicketChangesNothing(t *testing.T) {
	refusals := []struct {
		reason string
		edit   func(*modeler.Ticket)
	}{
		{"number must be at least 1", func(k *modeler.Ticket) { k.Number = 0 }},
		{"stands twice", func(k *modeler.Ticket) { k.Services = append(k.Services, k.Services[0]) }},
		{"does not exist", func(k *modeler.Ticket) { k.Services[0].Team = "nobody" }},
		{"limit must be above 0", func(k *modeler.Ticket) { k.Services[0].Limit = 0 }},
		{"queue must be above 0", func(k *modeler.Ticket) { k.Services[0].Queue = 0 }},
		{"neither spread nor pack", func(k *modeler.Ticket) { k.Teams[0].Policy = "best" }},
		{"names it", func(k *modeler.Ticket) { k.Removals.Teams = []modeler.TeamName{"old"}; k.Services[0].Team = "old" }},
		{"both set and removed", func(k *modeler.Ticket) { k.Removals.Services = []modeler.ServiceName{"breakfast-register"} }},
		{"step must be from 1", func(k *modeler.Ticket) {
			k.Jobs = []modeler.Job{{ID: "index", Team: "bureau", Kind: modeler.LongRunning, Tasks: 2, Step: 3, Size: modeler.Resources{Memory: 1}}}
		}},
		{"step is only for a service", func(k *modeler.Ticket) {
			k.Jobs = []modeler.Job{{ID: "index", Team: "bureau", Kind: modeler.Batch, Tasks: 2, Step: 1, Runtime: 1, Size: modeler.Resources{Memory: 1}}}
		}},
		{"tasks must be", func(k *modeler.Ticket) {
			k.Jobs = []modeler.Job{{ID: "index", Team: "bureau", Kind: modeler.Batch, Runtime: 1, Size: modeler.Resources{Memory: 1}}}
		}},
	}
	for _, c := range refusals {
		cell := ticketer.NewCell()
		setup := &modeler.Ticket{Number: 1, Teams: []modeler.Team{{Name: "old", Weight: 1, Policy: modeler.Pack}}}
		assert.Equal(t, cell.Apply(1, setup).Kind, classifier.None)
		before := cell.Configuration()
		ticket := firstTicket()
		c.edit(ticket)
		got := cell.Apply(2, ticket)
		if ticket.Number == 0 {
			// A number below that of the last accepted ticket is refused as
			// stale before the checks.
			assert.Equal(t, got.Kind, classifier.TicketStale)
		} else {
			assert.Equal(t, got.Kind, classifier.TicketInvalid, c.reason)
			assert.Assert(t, strings.Contains(got.Detail, c.reason), "%q lacks %q", got.Detail, c.reason)
		}
		assert.DeepEqual(t, cell.Configuration(), before)
	}
}
