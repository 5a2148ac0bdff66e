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
	// maxUnsaved bounds the work that one preempted task may lose.
	maxUnsaved = time.Second
)

// preemptFor stops tasks that resume from checkpoints, so that a more urgent
// step gets their resources. It serves bursts of short urgent work on a cell
// full of long tasks: the long ones have time to continue elsewhere, while
// urgent work that waits for one of them to end is late. It preempts nothing
// for callers who have given up.
func (d *Dispatcher) preemptFor(now modeler.ClockReading, u *unit) {
	if now.Sub(u.readyAt) < preemptAfter || now < u.nextPreemptionAt || u.timeliness == expired || u.step.Gang || u.step.Backfill || u.step.LongRunning {
		return
	}
	need := reservation(u.step)
	var hosts []victims
	for _, h := range d.hostList {
		if !u.allows(now, h) || !d.usable(now, h) {
			continue
		}
		if v := d.victimsOn(now, u, h, need); len(v.runs) > 0 {
			hosts = append(hosts, v)
		}
	}
	slices.SortFunc(hosts, func(a, b victims) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.host.worker.ID, b.host.worker.ID))
	})
	stopped := 0
	for _, v := range hosts[:min(len(hosts), len(u.waiting))] {
		for _, r := range v.runs {
			d.stopRun(now, r, "a more urgent step needs its room")
			stopped++
		}
	}
	if stopped > 0 {
		u.nextPreemptionAt = now.Add(d.settings.MaxStopTime + freedRoomDelay)
		d.settings.Log("tasks preempted", "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step,
			"waiting", len(u.waiting), "stopped", stopped, "waited", now.Sub(u.readyAt).String())
	}
}

// allows reports whether the step's permits, service and label allow a worker.
func (u *unit) allows(now modeler.ClockReading, h *host) bool {
	if h.worker.Service != u.policy.Service || u.step.Label != "" && !slices.Contains(h.worker.Labels, u.step.Label) {
		return false
	}
	p, known := u.permits[h.worker.ID]
	return u.policy.Permits == nil || known && p.expiresAt > now && p.generation == h.worker.Generation
}

// victims holds the attempts to preempt on a worker to make room for one task.
type victims struct {
	host *host
	runs []*run
	// lost is the work that is lost when they stop, in processor seconds.
	lost float64
}

// victimsOn chooses attempts on a worker whose resources, together with the
// free ones, suffice for a task of the step. It chooses none if they don't.
func (d *Dispatcher) victimsOn(now modeler.ClockReading, u *unit, h *host, need modeler.Resources) victims {
	v := victims{host: h}
	var eligible []*run
	for _, r := range h.runs {
		if r.stopping {
			// Attempts are being stopped there already.
			return v
		}
		if d.isPreemptable(now, u, r) {
			eligible = append(eligible, r)
		}
	}
	slices.SortFunc(eligible, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.unsaved(now), b.unsaved(now)), compareRuns(a, b))
	})
	free := h.free()
	for _, r := range eligible {
		if need.Fits(free) {
			break
		}
		free = free.Add(r.need)
		v.runs = append(v.runs, r)
		v.lost += float64(r.need.Processors) / 1000 * r.unsaved(now).Seconds()
	}
	if !need.Fits(free) {
		v.runs = nil
	}
	return v
}

// isPreemptable reports whether an attempt can be preempted for the step now.
func (d *Dispatcher) isPreemptable(now modeler.ClockReading, u *unit, r *run) bool {
	if r.phase != running || r.orphaned || r.abandoned {
		return false
	}
	if !isPreemptableKind(u, r) {
		return false
	}
	unsaved, ran := r.unsaved(now), now.Sub(r.startedAt)
	return unsaved <= maxUnsaved && unsaved*lostWorkDivisor <= ran
}

// isPreemptableKind reports whether an attempt is less urgent than the step and
// can resume elsewhere from a checkpoint.
func isPreemptableKind(u *unit, r *run) bool {
	if r.unit == nil || r.unit.policy.Priority <= u.policy.Priority {
		return false
	}
	step := r.unit.step
	return step.Checkpoints && !step.Gang && !step.LongRunning && !step.Backfill
}

// addPreemptableWorkers adds workers on which tasks can be preempted for the
// step to a permit request that names too few others. Each call begins with
// another worker, so that different requests name different workers.
func (d *Dispatcher) addPreemptableWorkers(now modeler.ClockReading, u *unit, need modeler.Resources, names []modeler.WorkerID) []modeler.WorkerID {
	wanted := int(permitHeadroom * float64(len(u.waiting)))
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
		if !d.canAsk(now, u, h) || d.taskCapacity(u, h, need) > 0 || slices.Contains(names, h.worker.ID) {
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
