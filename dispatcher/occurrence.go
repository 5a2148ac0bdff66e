package dispatcher

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

const (
	// occurrenceLead is how long before it is due an occurrence gets its units: longer
	// than permits are requested ahead.
	occurrenceLead = 5 * time.Second
	// maxScheduledUnits bounds the units of a scheduled flow with tasks that wait for
	// room: further occurrences get their units once others have got workers.
	maxScheduledUnits = 1000
)

// flowUnits holds the units of a flow that is not over. A scheduled flow has units for
// the occurrences that are due soon and not done, so that the cost of a decision
// doesn't grow with the number of its occurrences.
type flowUnits struct {
	flow  *sequencer.Flow
	units []*unit
	// next is the first occurrence that was not considered yet.
	next int
}

// addOccurrences adds the units of the next occurrences of a flow.
func (d *Dispatcher) addOccurrences(now modeler.ClockReading, fl *flowUnits) {
	first := len(fl.units)
	waiting := 0
	for _, u := range fl.units {
		if u.ready && u.waiting.len() > 0 {
			waiting++
		}
	}
	for ; fl.next < fl.flow.Occurrences() && (fl.next == 0 || waiting+len(fl.units)-first < maxScheduledUnits); fl.next++ {
		if fl.flow.Spec.Occurrences > 0 && d.dueTime(fl.flow, fl.next) > d.stamp.Add(occurrenceLead) {
			break
		}
		d.addOccurrence(fl, fl.next)
	}
	if d.restoring && fl.flow.OccupiedTasks > 0 {
		for k := fl.next; k < fl.flow.Occurrences(); k++ {
			if fl.flow.OccurrenceOccupied(modeler.Occurrence(k)) {
				d.addOccurrence(fl, k)
			}
		}
	}
	added := fl.units[first:]
	if len(added) == 0 {
		return
	}
	d.setDeadlines(added)
	d.insertUnits(added)
	d.markReadySteps(now, added)
}

// addOccurrence adds the units of an occurrence that has none and is not done.
func (d *Dispatcher) addOccurrence(fl *flowUnits, occurrence int) {
	f := fl.flow
	first := modeler.StepKey{Flow: f.Spec.ID, Occurrence: modeler.Occurrence(occurrence)}
	if d.units[first] != nil || f.OccurrenceDone(first.Occurrence) {
		return
	}
	for s := range f.Spec.Steps {
		key := first
		key.Step = modeler.StepIndex(s)
		u := &unit{
			dispatcher: d,
			key:        key,
			flow:       f,
			step:       &f.Spec.Steps[s],
			policy:     &f.Spec.Policy,
			waiting:    newTaskSet(f.Spec.Steps[s].Count),
			planStart:  len(d.units),
		}
		d.setAccount(u)
		if !d.restoring {
			u.takeRuns()
		}
		u.recomputeWaiting()
		d.units[key] = u
		fl.units = append(fl.units, u)
	}
}

// occurrenceUnits returns the units of the unit's occurrence.
func (u *unit) occurrenceUnits() []*unit {
	out := make([]*unit, 0, len(u.flow.Spec.Steps))
	key := u.key
	for s := range u.flow.Spec.Steps {
		key.Step = modeler.StepIndex(s)
		if other := u.dispatcher.units[key]; other != nil {
			out = append(out, other)
		}
	}
	return out
}

// markOccurrenceDone lets the next tick drop the units of the unit's occurrence if all
// of its steps are done. Those of a flow that runs once are dropped when it is over.
func (d *Dispatcher) markOccurrenceDone(u *unit) {
	if u.flow.Occurrences() == 1 || !u.flow.OccurrenceDone(u.key.Occurrence) {
		return
	}
	for _, other := range u.occurrenceUnits() {
		other.occurrenceDone = true
	}
	d.flowsWithDone[u.key.Flow] = true
}

// dropDoneOccurrences drops the units of occurrences that are done.
func (d *Dispatcher) dropDoneOccurrences() {
	if len(d.flowsWithDone) == 0 {
		return
	}
	dropped := 0
	for id := range d.flowsWithDone {
		fl := d.flowUnits[id]
		if fl == nil {
			continue
		}
		for _, u := range fl.units {
			if u.occurrenceDone {
				d.clearAsked(u)
				d.releaseReservations(u)
				delete(d.units, u.key)
				u.dropped = true
				dropped++
			}
		}
		fl.units = slices.DeleteFunc(fl.units, func(u *unit) bool { return u.occurrenceDone })
	}
	d.compactSortedUnits(dropped)
	clear(d.flowsWithDone)
}
