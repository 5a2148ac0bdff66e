package dispatcher

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// headroomInterval is the width of one of the headroomIntervals for which urgent starts
	// are counted. Together they span 3 s, so that bursts of a second leave a mark and the
	// end of urgent work is noticed soon.
	headroomInterval  = 250 * time.Millisecond
	headroomIntervals = 12
	// headroomIdle is the time since the last urgent start after which nothing is kept.
	headroomIdle = time.Second
	// maxUrgentSlack bounds the time that tasks may lose before their flow is late for
	// their queue to count as urgent. Others can wait until room is freed by preemption,
	// which takes up to 0.7 s, and a second more if work has to be saved first.
	maxUrgentSlack = 2 * time.Second
	// urgentLag is the event lag above which the leader works for the most urgent steps
	// only: a fifth of the lag from which on it places nothing. A start costs the leader
	// several messages, and urgent steps wait behind all of them.
	urgentLag = maxPlacementLag / 5
	// maxLongRunningDelay bounds how long long-running tasks wait for the sake of urgent work.
	// Callers expect them to run within 6 s.
	maxLongRunningDelay = 3 * time.Second
)

// headroom is what less urgent steps leave to the most urgent queues. It serves full cells
// in which the outside policy answers fast: less urgent work then takes all room as it
// becomes free, and all of the leader's time.
type headroom struct {
	// priority is that of the most urgent steps that have started lately.
	priority int
	// intervals counts their starts, and needs sums what the tasks needed.
	intervals [headroomIntervals]int
	needs     [headroomIntervals]modeler.Resources
	// latest is the number of the newest interval, and startedAt the time of the last start.
	latest    int64
	startedAt modeler.ClockReading
	// need is the mean need of the tasks, keep how many of them need room, and slots how
	// many have room in the cell or get it by preemption.
	need        modeler.Resources
	keep, slots int
	// lags means that less urgent steps wait for the leader. loggedKeep and loggedLags are
	// what was last logged, at loggedAt.
	lags, loggedLags, loggedKeep bool
	loggedAt                     modeler.ClockReading
}

// headroomLogInterval is the least time between two log lines about the headroom, since a
// leader near its limits lags and catches up several times a second.
const headroomLogInterval = time.Second

// isActive reports whether urgent tasks have started lately.
func (r *headroom) isActive(now modeler.ClockReading) bool {
	return r.startedAt != 0 && now.Sub(r.startedAt) <= headroomIdle
}

// advance begins the interval of now, and forgets those that are over for long.
func (r *headroom) advance(now modeler.ClockReading) {
	interval := int64(time.Duration(now) / headroomInterval)
	for i := max(r.latest+1, interval-headroomIntervals+1); i <= interval; i++ {
		r.intervals[i%headroomIntervals] = 0
		r.needs[i%headroomIntervals] = modeler.Resources{}
	}
	r.latest = max(r.latest, interval)
}

// add counts the start of an urgent task.
func (r *headroom) add(now modeler.ClockReading, priority int, need modeler.Resources) {
	if priority != r.priority || r.startedAt == 0 {
		if r.isActive(now) && priority > r.priority {
			return
		}
		*r = headroom{priority: priority, loggedLags: r.loggedLags, loggedKeep: r.loggedKeep, loggedAt: r.loggedAt}
	}
	r.advance(now)
	r.startedAt = now
	r.intervals[r.latest%headroomIntervals]++
	r.needs[r.latest%headroomIntervals] = r.needs[r.latest%headroomIntervals].Add(need)
}

// mean returns the mean need of the counted tasks, and how many start within a time.
func (r *headroom) mean(within time.Duration) (modeler.Resources, int) {
	count, sum := 0, modeler.Resources{}
	for i := range r.intervals {
		count += r.intervals[i]
		sum = sum.Add(r.needs[i])
	}
	if count == 0 {
		return modeler.Resources{}, 0
	}
	n := int64(count)
	mean := modeler.Resources{
		Processors:   sum.Processors / modeler.Millicores(n),
		Memory:       sum.Memory / modeler.Bytes(n),
		Accelerators: sum.Accelerators / modeler.Accelerators(n),
	}
	return mean, int(time.Duration(count) * within / (headroomIntervals * headroomInterval))
}

// isUrgent reports whether a step's flow is late if the step waits for others to be
// preempted.
func (u *unit) isUrgent() bool {
	if u.policy.Permits == nil || u.step.LongRunning || u.step.Backfill || u.step.Gang {
		return false
	}
	slack := time.Duration((u.policy.Slowdown-1)*float64(u.expectedRuntime())) + u.policy.Latency
	return u.policy.Latency > 0 && slack <= maxUrgentSlack
}

// recordUrgentStart learns from the start of a task of the step.
func (d *Dispatcher) recordUrgentStart(now modeler.ClockReading, u *unit) {
	if d.uses(Headroom) && u.isUrgent() {
		d.headroom.add(now, u.policy.Priority, neededBy(u.step))
	}
}

// updateHeadroom computes the room for the tasks that start within the time that it takes
// to free room by preemption. It runs once a tick, since it examines all attempts.
func (d *Dispatcher) updateHeadroom(now modeler.ClockReading) {
	r := &d.headroom
	defer d.logHeadroom(now)
	r.keep, r.slots = 0, 0
	r.lags = d.eventLag > urgentLag && r.isActive(now)
	if !r.isActive(now) {
		return
	}
	r.advance(now)
	r.need, r.keep = r.mean(preemptAfter + d.settings.MaxStopTime + freedRoomDelay)
	if r.keep == 0 {
		return
	}
	for _, h := range d.hostList {
		h.urgentRoom = h.free()
		for _, other := range h.runs {
			if other.unit != nil && r.mayPreempt(other.unit) {
				h.urgentRoom = h.urgentRoom.Add(other.need)
			}
		}
		if d.outOfService(now, h) == "" {
			r.slots += r.slotsOn(h.urgentRoom)
		}
	}
}

// logHeadroom writes a log line if room for urgent work begins or ceases to be kept, or if
// less urgent steps begin or cease to wait for the leader.
func (d *Dispatcher) logHeadroom(now modeler.ClockReading) {
	r := &d.headroom
	keeps := r.keep > 0
	if keeps == r.loggedKeep && r.lags == r.loggedLags || r.loggedAt != 0 && now.Sub(r.loggedAt) < headroomLogInterval {
		return
	}
	r.loggedKeep, r.loggedLags, r.loggedAt = keeps, r.lags, now
	d.settings.Log("headroom changes", "priority", r.priority, "kept", r.keep, "room", r.slots, "processors", r.need.Processors,
		"lags", r.lags, "lag", d.eventLag.String())
}

// mayPreempt reports whether tasks of a step can be preempted for the urgent ones.
func (r *headroom) mayPreempt(u *unit) bool {
	return u.policy.Priority > r.priority && u.step.Checkpoints && !u.step.Gang && !u.step.LongRunning && !u.step.Backfill
}

func (r *headroom) slotsOn(free modeler.Resources) int { return timesIn(r.need, free, maxSlots) }

// maxSlots bounds the urgent tasks that one worker is taken to have room for.
const maxSlots = 1000

// leavesHeadroom reports whether the room for urgent tasks remains if a task of the step
// starts on the worker. Tasks that can be preempted may use that room, and all tasks may use
// workers that are too small for an urgent one.
func (d *Dispatcher) leavesHeadroom(now modeler.ClockReading, u *unit, h *host, need modeler.Resources) bool {
	r := &d.headroom
	if r.keep == 0 || r.mayPreempt(u) || !d.yieldsToUrgent(now, u) {
		return true
	}
	if r.slotsOn(h.worker.Capacity) == 0 {
		return true
	}
	return r.slots-r.slotsOn(h.urgentRoom)+r.slotsOn(h.urgentRoom.Sub(need)) >= r.keep
}

// useHeadroom takes the room of a task that starts on the worker from that for urgent ones.
func (d *Dispatcher) useHeadroom(u *unit, h *host, need modeler.Resources) {
	r := &d.headroom
	if r.keep == 0 || r.mayPreempt(u) {
		return
	}
	r.slots -= r.slotsOn(h.urgentRoom)
	h.urgentRoom = h.urgentRoom.Sub(need)
	r.slots += r.slotsOn(h.urgentRoom)
}

// yieldsToUrgent reports whether a step is less urgent than others that have started
// lately. Long-running tasks yield for a while only, since their callers wait for them too.
func (d *Dispatcher) yieldsToUrgent(now modeler.ClockReading, u *unit) bool {
	if !d.uses(Headroom) || u.policy.Permits == nil || !d.headroom.isActive(now) || u.policy.Priority <= d.headroom.priority {
		return false
	}
	return !u.step.LongRunning || now.Sub(u.readyAt) < maxLongRunningDelay
}

// waitsForLeader reports whether the step waits since the leader is behind with its work.
// Long-running tasks don't wait for that: they are too few to delay others.
func (d *Dispatcher) waitsForLeader(now modeler.ClockReading, u *unit) bool {
	return d.eventLag > urgentLag && !u.step.LongRunning && d.yieldsToUrgent(now, u)
}
