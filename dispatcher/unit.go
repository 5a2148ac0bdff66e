package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/profiler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// unit is what the dispatcher schedules as a whole: one step in one occurrence
// of a flow.
type unit struct {
	dispatcher *Dispatcher
	key        modeler.StepKey
	flow       *sequencer.Flow
	step       *modeler.Step
	policy     *modeler.QueuePolicy
	// ready means that the steps before are done and the occurrence is due.
	ready bool
	// isReadySoon means that the unit is likely to be ready before a permit
	// requested now expires.
	isReadySoon bool
	// waiting holds the tasks that wait for a worker.
	waiting taskSet
	// latestStart is when the step has to start for its flow to meet its objective.
	latestStart modeler.Timestamp
	// timeliness tells whether a start now would still be in time, and deadlines
	// when that changes.
	timeliness timeliness
	deadlines  deadlines
	// failedOn holds the worker on which each task last failed; it and the other maps
	// of a unit are nil until they are needed.
	failedOn map[modeler.TaskIndex]modeler.WorkerID
	// lacksWorkers means that the last placement left tasks without a worker. The
	// next one is due at retryAt.
	lacksWorkers bool
	retryAt      modeler.ClockReading
	// lacksSince is since when tasks have been without a worker, or 0. A unit in its
	// last resort may probe quarantined workers; probeFailedAt is when such a probe
	// last failed.
	lacksSince    modeler.ClockReading
	isLastResort  bool
	probeFailedAt modeler.ClockReading
	// reservations holds the room that is kept for the waiting tasks.
	reservations []*reservation
	// nextPlanAt is when the reservations may be planned again, and planStart the
	// index in hostList at which the plan of a step without permits begins, so that
	// different steps wait for different workers.
	nextPlanAt modeler.ClockReading
	planStart  int
	// runsOn counts the step's attempts on each worker.
	runsOn  map[modeler.WorkerID]int
	permits map[modeler.WorkerID]permit
	// denied holds the generation of each worker that the outside policy has denied.
	denied map[modeler.WorkerID]modeler.Generation
	// isAsking means that a permit request for askedWorkers is open.
	askedWorkers []*host
	isAsking     bool
	nextAskAt    modeler.ClockReading
	// answeredAt is when the last permit request was answered, or 0.
	answeredAt modeler.ClockReading
	readyAt    modeler.ClockReading
	// occurrenceDone means that all steps of the unit's occurrence are done, and dropped
	// that the unit is not in use any more.
	occurrenceDone bool
	dropped        bool
	// brokenAttempt is the newest attempt of a gang that can't be complete any more.
	brokenAttempt modeler.Attempt
	// placeRound is the round of placement in which the unit was last tried.
	placeRound uint64
	// doneTasks counts the completed tasks of the step, and doneRuntime is the mean
	// logarithm of their run times, relative to the speeds of their workers.
	doneTasks   int
	doneRuntime float64
	// measured holds the runs of the step that the profiler has not learned from, and
	// baseLog is the logarithm of the run time that they are compared with.
	measured []profiler.Run
	baseLog  float64
	// moving counts the overdue tasks of the step that were moved and are not done.
	moving int
	// preference is the step's speedPreference at preferenceAt.
	preference   float64
	preferenceAt modeler.Timestamp
	// learned is the count of the queue's run times that the deadlines rest on.
	learned int
	// account is the one that the flow belongs to, or nil. waitsForQuota means that the
	// step waits until more of its quota is free, since quotaSince. quotaWaited is how
	// long it has waited so before, and quotaLines counts the waits that were logged.
	account       *accountant.Account
	waitsForQuota bool
	quotaSince    modeler.ClockReading
	quotaWaited   time.Duration
	quotaLines    int
	// beyondShare means that the step goes behind those of accounts within their share.
	beyondShare bool
}

// permit is the outside policy's permission to run tasks of a step on one
// worker.
type permit struct {
	text       modeler.Permit
	expiresAt  modeler.ClockReading
	generation modeler.Generation
}

// addFlow adds the units of a flow that is not over.
func (d *Dispatcher) addFlow(now modeler.ClockReading, id modeler.FlowID) {
	f, found := d.state.Flow(id)
	if !found || f.IsOver() || d.flowUnits[id] != nil {
		return
	}
	fl := &flowUnits{flow: f}
	d.flowUnits[id] = fl
	d.addOccurrences(now, fl)
	if d.restoring && len(d.flowUnits) > maxRestoredLogged {
		return
	}
	d.settings.Log("flow added to the scheduler", "request", id, "queue", f.Spec.Queue, "account", f.Spec.Team, "beyond", f.Spec.BeyondShare, "steps", len(f.Spec.Steps), "tasks", len(f.Tasks), "priority", f.Spec.Policy.Priority,
		"age", time.Duration(d.stamp-f.ArrivedAt)*time.Millisecond, "ticket", d.state.Layout().Number, "term", d.term)
}

// maxRestoredLogged bounds the flows that a new leader logs one by one.
const maxRestoredLogged = 200

// setDeadlines computes when steps of a flow have to start, from the run times that are
// expected now. The units are those of whole occurrences.
func (d *Dispatcher) setDeadlines(units []*unit) {
	f := units[0].flow
	for occurrence := range slices.Chunk(units, len(f.Spec.Steps)) {
		rest := longestChains(occurrence)
		slack := time.Duration(f.Spec.Policy.Slowdown*float64(slices.Max(rest))) + f.Spec.Policy.Latency
		for s, u := range occurrence {
			u.latestStart = d.dueTime(f, int(u.key.Occurrence)).Add(slack - rest[s])
			u.deadlines = newDeadlines(u.latestStart, slack, f.Spec.Policy.Latency)
			u.learned = d.queue(f.Spec.Queue).learned
			if !u.step.LongRunning && !u.step.Backfill && d.uses(Timeliness) {
				u.timeliness = u.deadlines.at(d.stamp)
			}
		}
	}
}

// longestChains returns for each step of a flow the expected run time of the longest
// chain of steps that begins with it.
func longestChains(units []*unit) []time.Duration {
	rest := make([]time.Duration, len(units))
	for i := len(units) - 1; i >= 0; i-- {
		rest[i] += units[i].expectedRuntime()
		for _, earlier := range units[i].step.After {
			rest[earlier] = max(rest[earlier], rest[i])
		}
	}
	return rest
}

// compareUnits orders units by urgency, then by timeliness, then by latest start.
func compareUnits(a, b *unit) int {
	return cmp.Or(
		compareUrgency(a, b),
		cmp.Compare(a.timeliness, b.timeliness),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(a.key.Flow, b.key.Flow),
		cmp.Compare(a.key.Occurrence, b.key.Occurrence),
		cmp.Compare(a.key.Step, b.key.Step),
	)
}

// dueTime returns when an occurrence of a flow is due.
func (d *Dispatcher) dueTime(f *sequencer.Flow, occurrence int) modeler.Timestamp {
	if f.Spec.Occurrences == 0 {
		return f.ArrivedAt
	}
	return f.Spec.Start.Add(time.Duration(occurrence) * f.Spec.Interval)
}

// dropFlow removes the units of a flow that is over, and stops its attempts. It returns
// the units, whose last ends may be among the changes that are handled next.
func (d *Dispatcher) dropFlow(now modeler.ClockReading, id modeler.FlowID) []*unit {
	f, found := d.state.Flow(id)
	var units []*unit
	if fl := d.flowUnits[id]; fl != nil {
		units = fl.units
	}
	for _, u := range units {
		d.clearAsked(u)
		delete(d.units, u.key)
		u.ready = false
		u.waiting.clear()
		u.dropped = true
		d.releaseReservations(u)
		for i := range u.step.Count {
			delete(d.heldBack, u.task(modeler.TaskIndex(i)))
		}
		d.stopAbandoned(now, u)
	}
	d.compactSortedUnits(len(units))
	delete(d.flowUnits, id)
	if !found || f.OccupiedTasks == 0 {
		return units
	}
	for _, r := range d.runsOf(f, units) {
		if r.phase == ending {
			// What its end shows is still learned for the unit.
			continue
		}
		r.unit = nil
		// The members of a completed gang end on their own, and stopCopies stops the
		// other attempts of completed tasks.
		if f.State != modeler.FlowCompleted {
			d.stopRun(now, r, "its flow is over")
		}
	}
	return units
}

// runsOf returns the newest attempts of a flow's tasks. It visits the tasks of the flow
// or all attempts, whichever are fewer.
func (d *Dispatcher) runsOf(f *sequencer.Flow, units []*unit) []*run {
	id, tasks := f.Spec.ID, 0
	for _, u := range units {
		tasks += u.step.Count
	}
	var out []*run
	if f.Occurrences() > 1 || len(units) == 0 || tasks > len(d.runs) {
		for task, r := range d.runs {
			if task.Flow == id {
				out = append(out, r)
			}
		}
		return out
	}
	for _, u := range units {
		for i := range u.step.Count {
			if r := d.runs[u.task(modeler.TaskIndex(i))]; r != nil {
				out = append(out, r)
			}
		}
	}
	return out
}

// takeRuns takes over the attempts that were known before the unit.
func (u *unit) takeRuns() {
	for i := range u.step.Count {
		if r := u.dispatcher.runs[u.task(modeler.TaskIndex(i))]; r != nil && r.phase != ending {
			r.unit = u
			u.countRun(r.host, 1)
		}
	}
}

// countRun adds to the number of the step's attempts on a worker.
func (u *unit) countRun(h *host, n int) {
	if u.runsOn == nil {
		u.runsOn = make(map[modeler.WorkerID]int)
	}
	u.runsOn[h.worker.ID] += n
	if u.runsOn[h.worker.ID] == 0 {
		delete(u.runsOn, h.worker.ID)
	}
}

// recomputeWaiting recomputes which tasks wait for a worker.
func (u *unit) recomputeWaiting() {
	if u.flow.IsOver() {
		u.waiting.clear()
		return
	}
	tasks := u.flow.StepTasks(u.key)
	for i := range tasks {
		u.waiting.set(modeler.TaskIndex(i), u.waits(modeler.TaskIndex(i), &tasks[i]))
	}
}

// updateWaiting updates whether a task waits for a worker, after a change of its
// state, of its newest attempt, or of what holds it back.
func (u *unit) updateWaiting(i modeler.TaskIndex) {
	if u.flow.IsOver() {
		u.waiting.clear()
		return
	}
	u.waiting.set(i, u.waits(i, u.flow.Task(u.task(i))))
}

// waits reports whether a task waits for a worker.
func (u *unit) waits(i modeler.TaskIndex, t *sequencer.Task) bool {
	if t.Phase != sequencer.TaskWaiting || t.Worker != "" {
		return false
	}
	if u.dispatcher.restoring {
		// The attempts that a new leader knows are those in the replicated state.
		return true
	}
	task := u.task(i)
	return u.dispatcher.runs[task] == nil && u.dispatcher.heldBack[task] == nil
}

func (u *unit) task(i modeler.TaskIndex) modeler.FlowTask {
	return modeler.FlowTask{Flow: u.key.Flow, Occurrence: u.key.Occurrence, Step: u.key.Step, Index: i}
}

// markFollowersReady marks the steps that become ready once all tasks of u are
// done.
func (d *Dispatcher) markFollowersReady(now modeler.ClockReading, u *unit) {
	if u.flow.IsOver() || !u.flow.StepDone(u.key) {
		return
	}
	u.waiting.clear()
	d.closeInterference(now, u)
	d.settings.Log("step done", "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step, "took", now.Sub(u.readyAt).String())
	d.markReadySteps(now, u.occurrenceUnits())
	d.markOccurrenceDone(u)
}

// compactSortedUnits removes dropped units from sortedUnits once they are a good part
// of it; more is how many were dropped now. They have no waiting task.
func (d *Dispatcher) compactSortedUnits(more int) {
	d.droppedUnits += more
	if d.droppedUnits*maxDroppedDivisor > len(d.sortedUnits) {
		d.sortedUnits = slices.DeleteFunc(d.sortedUnits, func(u *unit) bool { return u.dropped })
		d.droppedUnits = 0
	}
}

// maxDroppedDivisor bounds the dropped units in sortedUnits to one part in
// maxDroppedDivisor.
const maxDroppedDivisor = 8

// insertUnits adds the units of one flow to sortedUnits.
func (d *Dispatcher) insertUnits(units []*unit) {
	if d.restoring || len(units) > maxInserted {
		d.sortedUnits = append(d.sortedUnits, units...)
		if !d.restoring {
			slices.SortFunc(d.sortedUnits, compareUnits)
		}
		return
	}
	for _, u := range units {
		at, _ := slices.BinarySearchFunc(d.sortedUnits, u, compareUnits)
		d.sortedUnits = slices.Insert(d.sortedUnits, at, u)
	}
}

// maxInserted is the number of units up to which they are inserted into sortedUnits
// one by one; more are appended and sorted.
const maxInserted = 32

// markReadySteps marks the steps among units, all of one flow, that can start now.
func (d *Dispatcher) markReadySteps(now modeler.ClockReading, units []*unit) {
	for _, u := range units {
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

// updateReadiness marks the scheduled steps that are due, and the steps that
// request their permits ahead.
func (d *Dispatcher) updateReadiness(now modeler.ClockReading) {
	d.dropDoneOccurrences()
	for _, fl := range d.flowUnits {
		if fl.flow.Spec.Occurrences > 0 {
			d.addOccurrences(now, fl)
			d.markReadySteps(now, fl.units)
		}
		for _, u := range fl.units {
			if !u.ready && u.policy.Permits != nil && d.uses(PermitsAhead) {
				u.isReadySoon = d.likelyReadySoon(now, u)
			}
		}
	}
}

// likelyReadySoon reports whether all steps before u are likely to be done
// within half of a permit's validity.
func (d *Dispatcher) likelyReadySoon(now modeler.ClockReading, u *unit) bool {
	deadlines := u.policy.Permits.Validity / 2
	if until := d.dueTime(u.flow, int(u.key.Occurrence)); until > d.stamp.Add(deadlines) {
		return false
	}
	for _, earlier := range u.step.After {
		key := u.key
		key.Step = earlier
		before := d.units[key]
		if before == nil || before.waiting.len() > 0 {
			return false
		}
		for i, t := range u.flow.StepTasks(key) {
			if t.Phase == sequencer.TaskDone {
				continue
			}
			r := d.runs[before.task(modeler.TaskIndex(i))]
			if r == nil || r.phase != running && r.phase != ending || r.remainingTime(now) > deadlines {
				return false
			}
		}
	}
	return true
}

// remainingTime estimates how long an attempt will go on.
func (r *run) remainingTime(now modeler.ClockReading) time.Duration {
	if r.phase == ending || r.unit == nil {
		return 0
	}
	if r.percent >= 5 && r.progressAt > r.startedAt {
		took := r.progressAt.Sub(r.startedAt)
		rest := took*time.Duration(100-r.percent)/time.Duration(r.percent) - now.Sub(r.progressAt)
		return max(rest, 0)
	}
	return max(r.unit.expectedRuntimeOn(r.host)-now.Sub(r.startedAt), 0)
}
