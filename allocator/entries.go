package allocator

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Entries returns the status of each entry host with a live session, in no
// particular order.
func (a *Allocator) Entries(now modeler.ClockReading) []modeler.EntryStatus {
	out := make([]modeler.EntryStatus, 0, len(a.sessions))
	for id, s := range a.sessions {
		if !s.live {
			continue
		}
		status := modeler.EntryStatus{
			Entry:      id.Entry,
			Version:    s.version,
			SinceHeard: modeler.Duration(now.Sub(s.receivedAt).Truncate(time.Millisecond)),
		}
		for _, h := range s.holds {
			status.SlotsHeld += h.taken
		}
		out = append(out, status)
	}
	return out
}
