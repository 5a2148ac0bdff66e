package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// preemptAfter is how long the tasks of a step wait for room before others
	// are stopped for them: several decisions, in which tasks that end by
	// themselves make room at no cost.
	preemptAfter = 100 * time.Millisecond
	// roomComes is how long after the longest stop the room that was made is
	// waited for: the end is listed, committed and followed by a decision.
	roomComes = 200 * time.Millisecond
	// preemptShare is the largest part of the running time of a task that may
	// be thrown away for others, one in preemptShare: a task that is stopped
	// again and again makes no progress.
	preemptShare = 4
	// unsavedMost is the most work that one stopped task may lose.
	unsavedMost = time.Second
)

// makeRoom stops tasks that keep their progress, so that a more urgent step gets
// their room. It answers bursts of short urgent work on a cell that is full of
// long tasks: these have the time to go on elsewhere from their checkpoints,
// while urgent work that waits for one of them to end is late. Nothing is thrown
// away for callers who have given up.
func (d *Dispatcher) makeRoom(now modeler.ClockReading, u *unit) {
	if now.Sub(u.readyAt) < preemptAfter || now < u.roomAt || u.prospect == hopeless || u.step.Gang || u.step.Backfill || u.step.LongRunning {
		return
	}
	need := charge(u.step)
	var hosts []victims
	for _, h := range d.list {
		if !u.permitted(now, h) || !d.usable(now, h) {
			continue
		}
		if v := d.victimsOn(now, u, h, need); len(v.runs) > 0 {
			hosts = append(hosts, v)
		}
	}
	slices.SortFunc(hosts, func(a, b victims) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.host.machine.ID, b.host.machine.ID))
	})
	stopped := 0
	for _, v := range hosts[:min(len(hosts), len(u.waiting))] {
		for _, r := range v.runs {
			d.stop(now, r, "a more urgent step needs its room")
			stopped++
		}
	}
	if stopped > 0 {
		u.roomAt = now.Add(d.settings.Stop + roomComes)
		d.settings.Log("room made", "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step,
			"waiting", len(u.waiting), "stopped", stopped, "waited", now.Sub(u.readyAt).String())
	}
}

// permitted reports whether the step may run on a worker as far as its policy,
// its service and its label say.
func (u *unit) permitted(now modeler.ClockReading, h *host) bool {
	if h.machine.Service != u.policy.Service || u.step.Label != "" && !slices.Contains(h.machine.Labels, u.step.Label) {
		return false
	}
	p, known := u.permits[h.machine.ID]
	return u.policy.Permits == nil || known && p.until > now && p.generation == h.machine.Generation
}

// victims are the attempts on a worker that make room for one task.
type victims struct {
	host *host
	runs []*run
	// lost is the work that their stop throws away, in processors times seconds.
	lost float64
}

// victimsOn chooses attempts on a worker whose room, with what is free there,
// is enough for a task of the step; none if that can't be had.
func (d *Dispatcher) victimsOn(now modeler.ClockReading, u *unit, h *host, need modeler.Resources) victims {
	v := victims{host: h}
	var may []*run
	for _, r := range h.runs {
		if r.stopping {
			// Room is being made there already.
			return v
		}
		if d.preemptable(now, u, r) {
			may = append(may, r)
		}
	}
	slices.SortFunc(may, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.unsaved(now), b.unsaved(now)), compareRuns(a, b))
	})
	room := h.room()
	for _, r := range may {
		if need.Fits(room) {
			break
		}
		room = room.Add(r.need)
		v.runs = append(v.runs, r)
		v.lost += float64(r.need.Processors) / 1000 * r.unsaved(now).Seconds()
	}
	if !need.Fits(room) {
		v.runs = nil
	}
	return v
}

// preemptable reports whether an attempt may be stopped for a step.
func (d *Dispatcher) preemptable(now modeler.ClockReading, u *unit, r *run) bool {
	if r.phase != running || r.stray || r.abandoned {
		return false
	}
	if !yields(u, r) {
		return false
	}
	unsaved, ran := r.unsaved(now), now.Sub(r.began)
	return unsaved <= unsavedMost && unsaved*preemptShare <= ran
}

// yields reports whether an attempt is of a kind that may be stopped for a step:
// less urgent, and able to go on elsewhere.
func yields(u *unit, r *run) bool {
	if r.unit == nil || r.unit.policy.Priority <= u.policy.Priority {
		return false
	}
	step := r.unit.step
	return step.Checkpoints && !step.Gang && !step.LongRunning && !step.Backfill
}

// nameYielding adds workers to a question on which room could be made for the
// step, if those that are known don't suffice. It begins with another worker
// each time, so that not all questions name the same ones.
func (d *Dispatcher) nameYielding(now modeler.ClockReading, u *unit, need modeler.Resources, names []modeler.WorkerID) []modeler.WorkerID {
	wanted := int(spare * float64(len(u.waiting)))
	for _, p := range u.permits {
		if p.until > now {
			wanted--
		}
	}
	share := d.queue(u.flow.Spec.Queue).allowed
	missing := min(int(float64(wanted)/share), askMax) - len(names)
	if u.step.Gang || u.step.Backfill || u.step.LongRunning {
		return names
	}
	for i := 0; i < len(d.list) && missing > 0; i++ {
		d.rotor = (d.rotor + 1) % len(d.list)
		h := d.list[d.rotor]
		if !d.mayName(now, u, h) || d.capacity(u, h, need) > 0 || slices.Contains(names, h.machine.ID) {
			continue
		}
		room := h.room()
		for _, r := range h.runs {
			if yields(u, r) {
				room = room.Add(r.need)
			}
		}
		if need.Fits(room) {
			names = append(names, h.machine.ID)
			missing--
		}
	}
	return names
}

// unsaved returns the work of an attempt since its last checkpoint.
func (r *run) unsaved(now modeler.ClockReading) time.Duration {
	return now.Sub(max(r.savedAt, r.began))
}

func compareRuns(a, b *run) int {
	return cmp.Or(cmp.Compare(a.task.Flow, b.task.Flow), cmp.Compare(a.task.Occurrence, b.task.Occurrence),
		cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index))
}
