package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// learnRate is the weight of the newest observation in a running mean.
const learnRate = 0.1

// unit is a step of one occurrence whose tasks are not all done.
type unit struct {
	dispatcher *Dispatcher
	key        modeler.StepKey
	flow       *sequencer.Flow
	step       *modeler.Step
	policy     *modeler.QueuePolicy
	// ready means that the steps before are done and its time has come.
	ready bool
	// soon means that it is likely to be ready before a permit runs out.
	soon    bool
	waiting []modeler.TaskIndex
	// latest is when the step should start so that the flow is done in time.
	latest modeler.Timestamp
	// prospect is what a start now can bring, and horizon when that changes.
	prospect prospect
	horizon  horizon
	avoid    map[modeler.TaskIndex]modeler.WorkerID
	// short means that the last decision left tasks without a worker; the next
	// one is due at retryAt.
	short   bool
	retryAt modeler.ClockReading
	// roomAt is when room that was made for the step should have come.
	roomAt modeler.ClockReading
	// held counts the step's attempts on each worker.
	held    map[modeler.WorkerID]int
	permits map[modeler.WorkerID]permit
	denied  map[modeler.WorkerID]bool
	asked   []modeler.WorkerID
	asking  bool
	askAt   modeler.ClockReading
	readyAt modeler.ClockReading
}

// permit is the outside policy's permission for one worker.
type permit struct {
	text       modeler.Permit
	until      modeler.ClockReading
	generation modeler.Generation
}

// addFlow takes over a flow that goes on.
func (d *Dispatcher) addFlow(now modeler.ClockReading, id modeler.FlowID) {
	f, found := d.state.Flow(id)
	if !found || f.Over() || d.flows[id] != nil {
		return
	}
	d.slowdowns.note(&f.Spec.Policy)
	rest := chains(f.Spec.Steps)
	longest := slices.Max(rest)
	var units []*unit
	for k := range f.Occurrences() {
		for s := range f.Spec.Steps {
			key := modeler.StepKey{Flow: id, Occurrence: modeler.Occurrence(k), Step: modeler.StepIndex(s)}
			u := &unit{
				dispatcher: d,
				key:        key,
				flow:       f,
				step:       &f.Spec.Steps[s],
				policy:     &f.Spec.Policy,
				avoid:      make(map[modeler.TaskIndex]modeler.WorkerID),
				permits:    make(map[modeler.WorkerID]permit),
				denied:     make(map[modeler.WorkerID]bool),
				held:       make(map[modeler.WorkerID]int),
			}
			slack := time.Duration(f.Spec.Policy.Slowdown*float64(longest)) + f.Spec.Policy.Latency
			u.latest = d.dueTime(f, k).Add(slack - rest[s])
			u.horizon = newHorizon(u.latest, slack, f.Spec.Policy.Latency)
			if !u.step.LongRunning && !u.step.Backfill {
				u.prospect = u.horizon.at(d.stamp)
			}
			u.refresh()
			for i := range u.step.Count {
				if r := d.runs[u.task(modeler.TaskIndex(i))]; r != nil && r.phase != ending {
					r.unit = u
					u.held[r.host.machine.ID]++
				}
			}
			d.units[key] = u
			units = append(units, u)
		}
	}
	d.flows[id] = units
	for _, u := range units {
		at, _ := slices.BinarySearchFunc(d.order, u, compareUnits)
		d.order = slices.Insert(d.order, at, u)
	}
	d.wakeFlow(now, id)
	d.settings.Log("flow taken", "request", id, "queue", f.Spec.Queue, "steps", len(f.Spec.Steps), "tasks", len(f.Tasks), "priority", f.Spec.Policy.Priority,
		"age", time.Duration(d.stamp-f.Arrived)*time.Millisecond, "ticket", d.state.Layout().Number, "term", d.term)
}

// chains returns for each step the longest chain of work that begins with it.
func chains(steps []modeler.Step) []time.Duration {
	rest := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		rest[i] += steps[i].Estimate
		for _, earlier := range steps[i].After {
			rest[earlier] = max(rest[earlier], rest[i])
		}
	}
	return rest
}

// compareUnits orders units by priority, then by their prospect and the latest
// time to start.
func compareUnits(a, b *unit) int {
	return cmp.Or(
		cmp.Compare(a.policy.Priority, b.policy.Priority),
		cmp.Compare(a.prospect, b.prospect),
		cmp.Compare(a.latest, b.latest),
		cmp.Compare(a.key.Flow, b.key.Flow),
		cmp.Compare(a.key.Occurrence, b.key.Occurrence),
		cmp.Compare(a.key.Step, b.key.Step),
	)
}

// dueTime returns when an occurrence of a flow is due.
func (d *Dispatcher) dueTime(f *sequencer.Flow, occurrence int) modeler.Timestamp {
	if f.Spec.Occurrences == 0 {
		return f.Arrived
	}
	return f.Spec.Start.Add(time.Duration(occurrence) * f.Spec.Interval)
}

// dropFlow forgets a flow that is over and stops what still runs of it.
func (d *Dispatcher) dropFlow(now modeler.ClockReading, id modeler.FlowID) {
	f, found := d.state.Flow(id)
	if found {
		d.settings.Log("flow over", "request", id, "state", f.State, "occupied", f.Occupied)
	}
	for _, u := range d.flows[id] {
		d.unname(u)
		delete(d.units, u.key)
		if at := slices.Index(d.order, u); at >= 0 {
			d.order = slices.Delete(d.order, at, at+1)
		}
		u.ready = false
		for i := range u.step.Count {
			delete(d.voided, u.task(modeler.TaskIndex(i)))
		}
		d.stopAbandoned(now, u)
	}
	delete(d.flows, id)
	if !found || f.Occupied == 0 {
		return
	}
	for task, r := range d.runs {
		if task.Flow == id {
			r.unit = nil
			// The members of a gang that is done end by themselves, and the
			// other attempts of a task are stopped on their own.
			if f.State != modeler.FlowCompleted {
				d.stop(now, r, "its flow is over")
			}
		}
	}
}

// refresh works out which tasks wait for a worker.
func (u *unit) refresh() {
	u.waiting = u.waiting[:0]
	if u.flow.Over() {
		return
	}
	for i, t := range u.flow.StepTasks(u.key) {
		if t.Phase != sequencer.Waiting || t.Worker != "" {
			continue
		}
		task := u.task(modeler.TaskIndex(i))
		if u.dispatcher.runs[task] != nil {
			continue
		}
		if u.dispatcher.voided[task] != nil {
			continue
		}
		u.waiting = append(u.waiting, modeler.TaskIndex(i))
	}
}

func (u *unit) task(i modeler.TaskIndex) modeler.FlowTask {
	return modeler.FlowTask{Flow: u.key.Flow, Occurrence: u.key.Occurrence, Step: u.key.Step, Index: i}
}

// expected is how long a task of the step is likely to run.
func (u *unit) expected() time.Duration {
	return time.Duration(float64(u.step.Estimate) * u.dispatcher.queue(u.flow.Spec.Queue).ratio)
}

// release wakes the steps that may follow a step with a task that is done.
func (d *Dispatcher) release(now modeler.ClockReading, u *unit) {
	if u.flow.Over() || !u.flow.StepDone(u.key) {
		return
	}
	d.settings.Log("step done", "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step, "took", now.Sub(u.readyAt).String())
	d.wakeFlow(now, u.key.Flow)
}

// wakeFlow marks the steps of a flow that may start.
func (d *Dispatcher) wakeFlow(now modeler.ClockReading, id modeler.FlowID) {
	for _, u := range d.flows[id] {
		if u.ready {
			continue
		}
		if d.dueTime(u.flow, int(u.key.Occurrence)) > d.stamp {
			continue
		}
		u.ready = true
		for _, earlier := range u.step.After {
			before := u.key
			before.Step = earlier
			if !u.flow.StepDone(before) {
				u.ready = false
				break
			}
		}
		if u.ready {
			u.readyAt = now
			u.retryAt = now
			d.changed = true
		}
	}
}

// wakeUnits marks scheduled steps whose time has come, and steps that are to
// ask for their permits ahead.
func (d *Dispatcher) wakeUnits(now modeler.ClockReading) {
	for id, units := range d.flows {
		if units[0].flow.Spec.Occurrences > 0 {
			d.wakeFlow(now, id)
		}
		for _, u := range units {
			if !u.ready && u.policy.Permits != nil {
				u.soon = d.comingSoon(now, u)
			}
		}
	}
}

// comingSoon reports whether all steps before a step are likely to be done
// within half of a permit's validity.
func (d *Dispatcher) comingSoon(now modeler.ClockReading, u *unit) bool {
	horizon := u.policy.Permits.Validity / 2
	if until := d.dueTime(u.flow, int(u.key.Occurrence)); until > d.stamp.Add(horizon) {
		return false
	}
	for _, earlier := range u.step.After {
		key := u.key
		key.Step = earlier
		before := d.units[key]
		if before == nil || len(before.waiting) > 0 {
			return false
		}
		for i, t := range u.flow.StepTasks(key) {
			if t.Phase == sequencer.Done {
				continue
			}
			r := d.runs[before.task(modeler.TaskIndex(i))]
			if r == nil || r.phase != running && r.phase != ending || r.remaining(now) > horizon {
				return false
			}
		}
	}
	return true
}

// remaining estimates how long an attempt goes on.
func (r *run) remaining(now modeler.ClockReading) time.Duration {
	if r.phase == ending || r.unit == nil {
		return 0
	}
	if r.percent >= 5 && r.moved > r.began {
		took := r.moved.Sub(r.began)
		rest := took*time.Duration(100-r.percent)/time.Duration(r.percent) - now.Sub(r.moved)
		return max(rest, 0)
	}
	return max(r.unit.expected()-now.Sub(r.began), 0)
}

// learn takes over how long a task has run.
func (d *Dispatcher) learn(now modeler.ClockReading, u *unit, r *run) {
	if u.step.Estimate <= 0 || u.step.LongRunning || u.step.Backfill || r.attempt > 1 {
		return
	}
	q := d.queue(u.flow.Spec.Queue)
	ratio := float64(now.Sub(r.began)) / float64(u.step.Estimate)
	q.ratio += learnRate * (min(ratio, 4) - q.ratio)
	off := math.Log(max(ratio, 0.01)) - q.mean
	r.host.speed.note(off, q.variance)
	q.mean += learnRate * off
	q.variance += learnRate * (off*off - q.variance)
}
