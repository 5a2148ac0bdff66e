package dispatcher

import "time"

const (
	// refuseFrom is how long events may wait at a leader that accepts flows: a
	// third of the time that callers try, so that a refusal leaves them the rest.
	refuseFrom = time.Second
	// acceptBelow is how short the wait must have become before flows are
	// accepted again: tasks are placed again then, so that what was accepted
	// before goes first.
	acceptBelow = placeWithin
)

// Overload decides when a leader takes no new flows. It answers the load of a
// leader whose processor can't take in what its workers tell: each flow that is
// accepted then makes all others later, while a refused caller can come back.
type Overload struct{ refusing bool }

// Note takes how long the oldest event waits that the leader has not taken in,
// and reports whether new flows are refused.
func (o *Overload) Note(behind time.Duration) bool {
	switch {
	case behind > refuseFrom:
		o.refusing = true
	case behind < acceptBelow:
		o.refusing = false
	}
	return o.refusing
}
