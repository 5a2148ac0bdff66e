package dispatcher

import (
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// prospect is what starting a step now can still bring its caller.
type prospect uint8

const (
	// inTime steps are likely to be done within the objective of their flow.
	inTime prospect = iota
	// overdue steps are done late, but their caller still waits.
	overdue
	// hopeless steps are done after their caller has given up.
	hopeless
)

// givenUpAfter is how many times its objective a caller waits for a flow, from
// the users' contract.
const givenUpAfter = 3

// horizon holds the times after which a step has less prospect.
type horizon struct {
	overdue  modeler.Timestamp
	hopeless modeler.Timestamp
}

// newHorizon returns the horizon of a step that should start at latest, so that
// its flow is done within its objective. The queue's latency is added to the
// first time: estimates are rough, and a step is not to be put off for a moment.
// Without an objective every time is in time.
func newHorizon(latest modeler.Timestamp, objective, latency time.Duration) horizon {
	if objective <= 0 {
		return horizon{overdue: math.MaxInt64, hopeless: math.MaxInt64}
	}
	return horizon{
		overdue:  latest.Add(latency),
		hopeless: latest.Add((givenUpAfter - 1) * objective),
	}
}

// at returns the prospect of a step that starts now.
func (h horizon) at(now modeler.Timestamp) prospect {
	switch {
	case now <= h.overdue:
		return inTime
	case now <= h.hopeless:
		return overdue
	default:
		return hopeless
	}
}

// judgeProspects puts waiting steps behind those of the same priority that have
// a better prospect. It answers the backlog after a burst or an outage of the
// control processes: in order of their latest start alone, steps that are late
// already would go first and make all others late as well.
func (d *Dispatcher) judgeProspects() {
	changed := false
	for _, u := range d.order {
		if len(u.waiting) == 0 || u.step.LongRunning || u.step.Backfill {
			continue
		}
		if p := u.horizon.at(d.stamp); p != u.prospect {
			u.prospect = p
			changed = true
		}
	}
	if changed {
		slices.SortFunc(d.order, compareUnits)
	}
}
