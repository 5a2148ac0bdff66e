package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxReservations bounds the steps that hold reservations at the same time, and
	// planInterval is the time between two plans of a step. Each plan examines the
	// attempts on all workers that the step may use, maxPlanned at most.
	maxReservations = 32
	planInterval    = 60 * time.Millisecond
	maxPlanned      = 64
	// maxReservationLead bounds how long room is kept before it is used, since other
	// work could use a part of it.
	maxReservationLead = 30 * time.Second
	// keepReservation is how much earlier another worker must have room before a
	// reservation moves there, so that the worker that is being emptied stays.
	keepReservation = 500 * time.Millisecond
	// preemptionCost is added to the time at which a worker has room for each task
	// that has to be preempted there: the task loses about as much when it resumes.
	preemptionCost = 200 * time.Millisecond
	// minBackfillTime is the time before a reservation begins from which tasks that
	// can be preempted for it may use its room.
	minBackfillTime = 1500 * time.Millisecond
	// releaseCost is the time that the expected end of one attempt takes, relative to
	// the examination of a worker.
	releaseCost = 4
)

// reservation is room on one worker that is kept for a waiting step. It serves
// steps whose tasks need most of a worker, or several workers at once: without it
// smaller tasks take each piece of room as it becomes free, and the step waits
// until the load ends.
type reservation struct {
	unit *unit
	host *host
	room modeler.Resources
	// blockers are the attempts that have to end before the room is free.
	blockers []*run
	// from is when the room is expected to be free if all attempts that can be
	// preempted are stopped in time.
	from modeler.ClockReading
}

// release is the expected end of an attempt.
type release struct {
	run *run
	at  modeler.ClockReading
	// preempted means that the attempt is stopped for the step.
	preempted bool
}

// opening is the earliest room for more tasks of a step on a worker.
type opening struct {
	host *host
	// tasks counts the tasks of the step that have room there, and before those that
	// have room in the openings before this one.
	tasks, before int
	// from is when the room is free if attempts that can be preempted are stopped in
	// time.
	from modeler.ClockReading
	// rank is the time of the opening with the costs of taking it; the openings of
	// all workers are taken in order of rank.
	rank modeler.ClockReading
	// blockers are the releases that the opening waits for.
	blockers []release
}

// fits reports whether need fits into room. Room may be negative in dimensions
// that the task doesn't need.
func fits(need, room modeler.Resources) bool {
	return (need.Processors <= 0 || need.Processors <= room.Processors) &&
		(need.Memory <= 0 || need.Memory <= room.Memory) &&
		(need.Accelerators <= 0 || need.Accelerators <= room.Accelerators)
}

// least returns the smaller amount of each resource.
func least(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Processors:   min(a.Processors, b.Processors),
		Memory:       min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// roomFor returns the free resources of a worker that a task of the step may use:
// those that remain now, and once the reservations of more urgent steps begin.
func (d *Dispatcher) roomFor(now modeler.ClockReading, u *unit, h *host) modeler.Resources {
	free := h.free()
	if len(h.reservations) == 0 {
		return free
	}
	later := free
	reserved := false
	d.reservationPass++
	for _, v := range h.reservations {
		if v.unit == u || compareUnits(v.unit, u) > 0 || d.mayBackfill(now, u, v) {
			continue
		}
		reserved = true
		later = later.Sub(v.room)
		d.examined += len(v.blockers)
		for _, r := range v.blockers {
			if h.runs[r.task] == r && r.countedIn != d.reservationPass {
				r.countedIn = d.reservationPass
				later = later.Add(r.need)
			}
		}
	}
	if !reserved {
		return free
	}
	return least(free, later)
}

// mayBackfill reports whether a task of the step may use the room of a reservation
// until that begins: it is likely to end before, or can be preempted then.
func (d *Dispatcher) mayBackfill(now modeler.ClockReading, u *unit, v *reservation) bool {
	if u.step.Gang || u.step.LongRunning {
		return false
	}
	if u.policy.Priority > v.unit.policy.Priority && u.step.Checkpoints && !u.step.Backfill && v.from >= now.Add(minBackfillTime) {
		return true
	}
	return u.step.Estimate > 0 && now.Add(u.longestLikelyRuntimeOn(v.host)) <= v.from
}

// reserve plans the room for the waiting tasks of a step, keeps it from less
// urgent steps, and stops the attempts that can be preempted for it as soon as all
// others are about to end.
func (d *Dispatcher) reserve(now modeler.ClockReading, u *unit) {
	if now < u.nextPlanAt {
		return
	}
	u.nextPlanAt = now.Add(planInterval)
	earlier := u.reservations
	d.releaseReservations(u)
	if u.timeliness == expired || u.step.Backfill {
		return
	}
	plan := d.planRoom(now, u, earlier)
	if d.uses(Reserve) {
		for _, o := range plan {
			d.addReservation(u, o)
		}
		d.logReserved(now, u, earlier)
	}
	stopped := 0
	for _, o := range plan {
		if o.from <= now.Add(d.settings.MaxStopTime) {
			stopped += d.preempt(now, u, o)
		}
	}
	if stopped > 0 {
		d.settings.Log("tasks preempted", "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step,
			"waiting", u.waiting.len(), "stopped", stopped, "waited", now.Sub(u.readyAt).String())
	}
}

// planRoom chooses the earliest openings for the waiting tasks of a step, one for
// each worker with all of its tasks there. A gang gets openings for all of its
// members or none. An opening that is too far away, or at which the step's caller
// will have given up, is left out.
func (d *Dispatcher) planRoom(now modeler.ClockReading, u *unit, earlier []*reservation) []opening {
	var openings []opening
	for _, h := range d.permittedHosts(now, u) {
		openings = append(openings, d.openingsOn(now, u, h, earlier)...)
	}
	missing := startableTasks(u)
	if u.step.Gang {
		room := 0
		for _, o := range openings {
			room += o.tasks - o.before
		}
		if room < missing {
			return nil
		}
	}
	slices.SortFunc(openings, func(a, b opening) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.host.worker.ID, b.host.worker.ID), cmp.Compare(a.tasks, b.tasks))
	})
	var plan []opening
	var last modeler.ClockReading
	for _, o := range openings {
		if missing == 0 {
			break
		}
		o.tasks = o.before + min(o.tasks-o.before, missing)
		missing -= o.tasks - o.before
		last = max(last, o.from)
		// An opening covers those before it on the same worker.
		at := slices.IndexFunc(plan, func(other opening) bool { return other.host == o.host })
		if at < 0 {
			plan = append(plan, o)
		} else if o.tasks > plan[at].tasks {
			plan[at] = o
		}
	}
	if u.step.Gang {
		for i := range plan {
			plan[i].from = last
		}
	}
	latest := now.Add(maxReservationLead)
	if d.stamp.Add(maxReservationLead) > u.deadlines.expired {
		latest = now.Add(time.Duration(u.deadlines.expired-d.stamp) * time.Millisecond)
	}
	return slices.DeleteFunc(plan, func(o opening) bool { return o.from > latest })
}

// logReserved writes one log line if the reservations of a step are on other workers
// than the earlier ones.
func (d *Dispatcher) logReserved(now modeler.ClockReading, u *unit, earlier []*reservation) {
	var workers []modeler.WorkerID
	changed := len(earlier) != len(u.reservations)
	within := time.Duration(0)
	for _, v := range u.reservations {
		workers = append(workers, v.host.worker.ID)
		within = max(within, v.from.Sub(now))
		changed = changed || !slices.ContainsFunc(earlier, func(other *reservation) bool { return other.host == v.host })
	}
	if !changed {
		return
	}
	d.settings.Log("room reserved", "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step,
		"waiting", u.waiting.len(), "waited", now.Sub(u.readyAt).String(), "workers", workers, "within", within.String(),
		"processors", u.step.Need.Processors, "memory", u.step.Need.Memory, "accelerators", u.step.Need.Accelerators)
}

// addReservation records that the room of an opening is kept for the step.
func (d *Dispatcher) addReservation(u *unit, o opening) {
	v := &reservation{unit: u, host: o.host, room: neededBy(u.step).Times(int64(o.tasks)), from: o.from}
	for _, e := range o.blockers {
		v.blockers = append(v.blockers, e.run)
	}
	u.reservations = append(u.reservations, v)
	o.host.reservations = append(o.host.reservations, v)
}

func (d *Dispatcher) releaseReservations(u *unit) {
	for _, v := range u.reservations {
		v.host.reservations = slices.DeleteFunc(v.host.reservations, func(other *reservation) bool { return other == v })
	}
	u.reservations = nil
}

// permittedHosts returns the workers that may run tasks of the step. Permits that
// have expired count: they are renewed while the step waits.
func (d *Dispatcher) permittedHosts(now modeler.ClockReading, u *unit) []*host {
	var out []*host
	if u.policy.Permits == nil {
		for i := range d.hostList {
			h := d.hostList[(u.planStart+i)%len(d.hostList)]
			if u.allows(now, h) && d.usableBy(now, u, h) {
				out = append(out, h)
			}
			if len(out) == maxPlanned {
				break
			}
		}
		return out
	}
	for id, p := range u.permits {
		h := d.hosts[id]
		if h != nil && p.generation == h.worker.Generation && h.worker.Service == u.policy.Service && d.usableBy(now, u, h) {
			out = append(out, h)
		}
	}
	return out
}

// openingsOn returns the openings for the waiting tasks of the step on a worker, in
// order of time.
func (d *Dispatcher) openingsOn(now modeler.ClockReading, u *unit, h *host, earlier []*reservation) []opening {
	need := neededBy(u.step)
	room := h.free()
	for _, v := range h.reservations {
		if compareUnits(v.unit, u) < 0 {
			room = room.Sub(v.room)
		}
	}
	most := startableTasks(u)
	if u.step.PerWorker > 0 {
		most = min(most, u.step.PerWorker-u.runsOn[h.worker.ID])
	}
	releases := d.releasesOn(now, u, h)
	isReserved := slices.ContainsFunc(earlier, func(v *reservation) bool { return v.host == h })
	var out []opening
	at, from, used, preempted, tasks := now, now, 0, 0, 0
	for {
		if n := timesIn(need, room, most); n > tasks {
			rank := at.Add(time.Duration(preempted) * preemptionCost)
			if isReserved {
				rank = rank.Add(-keepReservation)
			}
			out = append(out, opening{host: h, tasks: n, before: tasks, from: from, rank: rank, blockers: releases[:used:used]})
			tasks = n
		}
		if tasks >= most || used == len(releases) {
			return out
		}
		e := releases[used]
		used++
		room = room.Add(e.run.need)
		at = max(at, e.at)
		if e.preempted {
			preempted++
		} else {
			from = max(from, e.at)
		}
	}
}

// timesIn returns how many times need fits into room, up to most. Room may be negative
// in dimensions that the task doesn't need.
func timesIn(need, room modeler.Resources, most int) int {
	n := int64(max(most, 0))
	if need.Processors > 0 {
		n = min(n, max(int64(room.Processors/need.Processors), 0))
	}
	if need.Memory > 0 {
		n = min(n, max(int64(room.Memory/need.Memory), 0))
	}
	if need.Accelerators > 0 {
		n = min(n, max(int64(room.Accelerators/need.Accelerators), 0))
	}
	return int(n)
}

// releasesOn returns the expected ends of the attempts on a worker in order of
// time. Attempts that can be preempted for the step end soon after a stop.
func (d *Dispatcher) releasesOn(now modeler.ClockReading, u *unit, h *host) []release {
	d.examined += releaseCost * len(h.runs)
	mayPreempt := d.uses(Preempt) && !u.step.LongRunning && now.Sub(u.readyAt) >= preemptAfter
	var out []release
	for _, r := range h.runs {
		e := release{run: r}
		switch {
		case r.stopping, r.phase == ending:
			e.at = r.stopSentAt.Add(d.settings.MaxStopTime)
		case r.unit == nil || r.unit.step.LongRunning || r.unit.step.Backfill:
			continue
		default:
			e.at = now.Add(r.remainingTime(now))
			if end := d.preemptionEnd(now, u, r); mayPreempt && end < e.at && isPreemptableKind(u, r) {
				e.at, e.preempted = end, true
			}
		}
		e.at = max(e.at, now)
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.run.unsaved(now), b.run.unsaved(now)), compareRuns(a.run, b.run))
	})
	return out
}
