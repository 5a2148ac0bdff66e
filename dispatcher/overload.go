package dispatcher

import "time"

const (
	// refuseAbove is the event lag above which a leader refuses new flows. It is a
	// third of the time for which callers retry, so that a refused caller still has
	// time to come back.
	refuseAbove = time.Second
	// acceptBelow is the event lag below which flows are accepted again. Tasks are
	// placed from this lag on, so flows accepted earlier are placed first.
	acceptBelow = maxPlacementLag
)

// Overload decides when a leader refuses new flows. Once its processor can't
// keep up with the events from its workers, each further flow would delay all
// others, while a refused caller can retry.
type Overload struct{ refusing bool }

// Update updates the decision with the current event lag, and reports whether new
// flows are refused.
func (o *Overload) Update(behind time.Duration) bool {
	switch {
	case behind > refuseAbove:
		o.refusing = true
	case behind < acceptBelow:
		o.refusing = false
	}
	return o.refusing
}
