package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// preemptAfter is how long tasks of a step wait for resources before others are
	// preempted for them. It spans several placements, in which tasks that end on
	// their own may free resources at no cost.
	preemptAfter = 100 * time.Millisecond
	// freedRoomDelay is how long after a stop has taken its longest time its
	// resources should be free: the end is listed and committed, and a placement
	// follows.
	freedRoomDelay = 200 * time.Millisecond
	// lostWorkDivisor bounds the work that a preemption may lose to one part in
	// lostWorkDivisor of the task's run time, since a task that is preempted again
	// and again would make no progress.
	lostWorkDivisor = 4
	// resumeDelay is how much later a preempted task is likely to be done: it is
	// stopped, waits for room, and reads its checkpoint.
	resumeDelay = 1500 * time.Millisecond
	// maxUnsaved bounds the work that one preempted task may lose.
	maxUnsaved = time.Second
)

// suits reports whether a worker has the step's service and label.
func (u *unit) suits(h *host) bool {
	return h.worker.Service == u.policy.Service && (u.step.Label == "" || slices.Contains(h.worker.Labels, u.step.Label))
}

// allows reports whether the step's permits, service and label allow a worker.
func (u *unit) allows(now modeler.ClockReading, h *host) bool {
	if !u.suits(h) {
		return false
	}
	p, known := u.permits[h.worker.ID]
	return u.policy.Permits == nil || known && p.expiresAt > now && p.generation == h.worker.Generation
}

// preemptionEnd returns when the room of an attempt is free if it is preempted for
// the step as soon as its work is saved.
func (d *Dispatcher) preemptionEnd(now modeler.ClockReading, u *unit, r *run) modeler.ClockReading {
	end := now.Add(d.settings.MaxStopTime + freedRoomDelay)
	if !d.isPreemptable(now, u, r) {
		end = end.Add(maxUnsaved)
	}
	return end
}

// preempt stops the attempts that an opening has to preempt, and returns how many it
// has stopped; attempts with much unsaved work go on until their next checkpoint. It
// serves bursts of short urgent work, and tasks that need most of a worker, on a cell
// full of less urgent ones: those have time to continue elsewhere, while urgent work
// that waits for one of them to end is late.
func (d *Dispatcher) preempt(now modeler.ClockReading, u *unit, o opening) int {
	stopped := 0
	for _, e := range o.blockers {
		if e.preempted && d.isPreemptable(now, u, e.run) {
			d.stopRun(now, e.run, "a more urgent step needs its room")
			stopped++
		}
	}
	return stopped
}

// isPreemptable reports whether an attempt can be preempted for the step now.
func (d *Dispatcher) isPreemptable(now modeler.ClockReading, u *unit, r *run) bool {
	if r.phase != running || r.orphaned || r.abandoned {
		return false
	}
	if !isPreemptableKind(u, r) {
		return false
	}
	if d.uses(VictimSlack) && d.wouldMissObjective(now, r) {
		return false
	}
	unsaved, ran := r.unsaved(now), now.Sub(r.startedAt)
	return unsaved <= maxUnsaved && unsaved*lostWorkDivisor <= ran
}

// wouldMissObjective reports whether an attempt is likely to be done in time, but not
// if it is preempted.
func (d *Dispatcher) wouldMissObjective(now modeler.ClockReading, r *run) bool {
	if r.unit.timeliness != inTime {
		return false
	}
	rest := r.remainingTime(now)
	deadline := r.unit.latestStart.Add(r.unit.expectedRuntime())
	return d.stamp.Add(rest) <= deadline && d.stamp.Add(rest+resumeDelay) > deadline
}

// isPreemptableKind reports whether an attempt is less urgent than the step and
// can resume elsewhere from a checkpoint.
func isPreemptableKind(u *unit, r *run) bool {
	if r.unit == nil || compareUrgency(u, r.unit) >= 0 {
		return false
	}
	step := r.unit.step
	return step.Checkpoints && !step.Gang && !step.LongRunning && !step.Backfill
}

// addPreemptableWorkers adds workers on which tasks can be preempted for the
// step to a permit request that names too few others. Each call begins with
// another worker, so that different requests name different workers.
func (d *Dispatcher) addPreemptableWorkers(now modeler.ClockReading, u *unit, need modeler.Resources, names []modeler.WorkerID) []modeler.WorkerID {
	wanted := int(permitHeadroom * float64(u.waiting.len()))
	for _, p := range u.permits {
		if p.expiresAt > now {
			wanted--
		}
	}
	share := d.queue(u.flow.Spec.Queue).allowed
	missing := min(int(float64(wanted)/share), maxAsked) - len(names)
	if u.step.Gang || u.step.Backfill || u.step.LongRunning {
		return names
	}
	for i := 0; i < len(d.hostList) && missing > 0; i++ {
		d.searchStart = (d.searchStart + 1) % len(d.hostList)
		h := d.hostList[d.searchStart]
		if !d.canAsk(now, u, h) || d.taskCapacity(now, u, h, need) > 0 || slices.Contains(names, h.worker.ID) {
			continue
		}
		free := h.free()
		for _, r := range h.runs {
			if isPreemptableKind(u, r) {
				free = free.Add(r.need)
			}
		}
		if need.Fits(free) {
			names = append(names, h.worker.ID)
			missing--
		}
	}
	return names
}

// unsaved returns the run time of an attempt since its last checkpoint.
func (r *run) unsaved(now modeler.ClockReading) time.Duration {
	return now.Sub(max(r.checkpointAt, r.startedAt))
}

func compareRuns(a, b *run) int {
	return cmp.Or(cmp.Compare(a.task.Flow, b.task.Flow), cmp.Compare(a.task.Occurrence, b.task.Occurrence),
		cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index))
}
