package dispatcher

import (
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// timeliness tells whether a step that starts now can still be useful to its
// caller.
type timeliness uint8

const (
	// inTime steps are likely to be done within the objective of their flow.
	inTime timeliness = iota
	// overdue steps will be done late, but their caller is still waiting.
	overdue
	// expired steps will be done only after their caller has given up.
	expired
)

// callerWaitFactor is how many times the objective of a flow its caller waits,
// from the users' contract.
const callerWaitFactor = 3

// deadlines holds the times after which a step becomes overdue and expired.
type deadlines struct {
	overdue modeler.Timestamp
	expired modeler.Timestamp
}

// newDeadlines returns the deadlines of a step that has to start at latest for
// its flow to meet its objective. The overdue deadline includes the queue's
// latency, since estimates are rough and a small delay must not cost a step its
// place. Without an objective both deadlines are at the end of time.
func newDeadlines(latest modeler.Timestamp, objective, latency time.Duration) deadlines {
	if objective <= 0 {
		return deadlines{overdue: math.MaxInt64, expired: math.MaxInt64}
	}
	return deadlines{
		overdue: latest.Add(latency),
		expired: latest.Add((callerWaitFactor - 1) * objective),
	}
}

// at returns the timeliness of a step that starts now.
func (d deadlines) at(now modeler.Timestamp) timeliness {
	switch {
	case now <= d.overdue:
		return inTime
	case now <= d.expired:
		return overdue
	default:
		return expired
	}
}

// updateTimeliness moves waiting steps behind others of the same priority that
// can still be in time. This matters after a burst or an outage of the control
// processes: if units were ordered by latest start alone, steps that are
// already late would go first and make all others late too.
func (d *Dispatcher) updateTimeliness() {
	if !d.uses(Timeliness) {
		return
	}
	changed := false
	for _, u := range d.sortedUnits {
		if u.waiting.len() == 0 || u.step.LongRunning || u.step.Backfill {
			continue
		}
		if d.uses(Runtimes) && u.learned != d.queue(u.flow.Spec.Queue).learned {
			d.setDeadlines(d.flowUnits[u.key.Flow].units)
			changed = true
		}
		if p := u.deadlines.at(d.stamp); p != u.timeliness {
			u.timeliness = p
			changed = true
		}
	}
	if changed {
		slices.SortFunc(d.sortedUnits, compareUnits)
	}
}
