package dispatcher

import (
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxCommitting bounds the starts that are proposed but not committed, so that
	// urgent tasks never wait for a large log entry to be committed.
	maxCommitting = 512
	// penalty is added to the score of a worker on which a task would run slowly or
	// disturb others, so that it is chosen only when no other worker has enough
	// free resources.
	penalty = 10.0
	// lastResortPenalty is added to the score of a quarantined worker.
	lastResortPenalty = 10 * penalty
	// placementRetryInterval is the time between placements of a step that has
	// tasks without a worker. Each placement examines all workers that the step may
	// use.
	placementRetryInterval = 20 * time.Millisecond
	// maxExamined bounds the workers examined in one pass of the placement. The rest
	// of the waiting steps follows in the next pass, after the leader has handled
	// other events: 50,000 workers take some milliseconds.
	maxExamined = 50_000
	// maxSkipped bounds the tasks of a step that are passed over in one pass because
	// they may not be used to probe quarantined workers.
	maxSkipped = 32
	// maxLoggedWorkers bounds the workers that one log line names.
	maxLoggedWorkers = 32
)

// place assigns waiting tasks to workers. One pass has a bounded length, and each step
// without a worker is tried once in a round of passes, so that urgent steps that find
// no worker don't keep others from being tried.
func (d *Dispatcher) place(now modeler.ClockReading) {
	reserving := 0
	d.examined = 0
	d.passIsPartial = false
	clear(d.blockedAccounts)
	for _, u := range d.sortedUnits {
		if !u.ready || u.waiting.len() == 0 {
			u.lacksWorkers = false
			d.releaseReservations(u)
			continue
		}
		if d.committing >= maxCommitting {
			d.placeRound++
			return
		}
		if d.updateQuotaWait(now, u) {
			u.lacksWorkers = false
			d.releaseReservations(u)
			continue
		}
		if u.lacksWorkers && (now < u.retryAt || u.placeRound == d.placeRound) {
			reserving += min(len(u.reservations), 1)
			continue
		}
		if d.examined >= maxExamined {
			d.passIsPartial = true
			d.changed = true
			return
		}
		if d.waitsForLeader(now, u) {
			u.lacksWorkers = true
			reserving += min(len(u.reservations), 1)
			continue
		}
		u.placeRound = d.placeRound
		if u.step.Gang {
			u.lacksWorkers = !d.placeGang(now, u)
		} else {
			d.placeTasks(now, u)
		}
		if u.lacksWorkers {
			u.retryAt = now.Add(placementRetryInterval)
			d.updateLastResort(now, u)
		} else {
			u.lacksSince, u.isLastResort = 0, false
		}
		if u.lacksWorkers && reserving < maxReservations {
			d.reserve(now, u)
			reserving += min(len(u.reservations), 1)
		} else {
			d.releaseReservations(u)
		}
	}
	d.placeRound++
}

// placeTasks places the waiting tasks of a step, up to the bounds of one pass.
func (d *Dispatcher) placeTasks(now modeler.ClockReading, u *unit) {
	u.lacksWorkers = false
	placed := len(d.out.Starts)
	defer func() { d.logPlaced(now, u, d.out.Starts[placed:]) }()
	var last *host
	skipped := 0
	for index, found := u.waiting.next(0); found; index, found = u.waiting.next(index + 1) {
		if d.committing >= maxCommitting {
			return
		}
		if d.examined >= maxExamined {
			d.passIsPartial = true
			d.changed = true
			return
		}
		if d.updateQuotaWait(now, u) {
			return
		}
		t := u.flow.Task(u.task(index))
		h := last
		if h == nil || !d.isStillBest(now, u, index, h) {
			h = d.pickHost(now, u, index, "")
		}
		if h == nil {
			u.lacksWorkers = true
			if !u.isLastResort || t.Attempt == 0 || skipped == maxSkipped {
				return
			}
			// Another task of the step may have more attempts left.
			skipped++
			continue
		}
		d.proposeStart(now, u, index, h, t.Attempt+1)
		last = nil
		// For a task without earlier attempts the choice depends on the step alone.
		if t.Attempt == 0 && !u.step.Backfill {
			last = h
		}
	}
}

// isStillBest reports whether the worker that was the best one for another task of the
// step is so for this task too: that task made its score better. It does not hold for
// backfill, whose tasks avoid each other, and for tasks that slow each other down.
func (d *Dispatcher) isStillBest(now modeler.ClockReading, u *unit, index modeler.TaskIndex, h *host) bool {
	return u.failedOn[index] != h.worker.ID && h.runs[u.task(index)] == nil && d.canRun(now, u, h, neededBy(u.step)) && d.mayProbeWith(now, u, index, h) && !d.slowsItself(u, h)
}

// placeGang places all tasks of a gang or none.
func (d *Dispatcher) placeGang(now modeler.ClockReading, u *unit) bool {
	if u.waiting.len() < u.step.Count {
		return false
	}
	if u.step.SameRack {
		for _, rack := range d.racks(u) {
			if d.placeAll(now, u, rack) {
				return true
			}
		}
	}
	return d.placeAll(now, u, "")
}

// racks lists the racks that have workers of the step's service.
func (d *Dispatcher) racks(u *unit) []modeler.RackName {
	var out []modeler.RackName
	for _, h := range d.hostList {
		if h.worker.Service == u.policy.Service && !slices.Contains(out, h.worker.Rack) {
			out = append(out, h.worker.Rack)
		}
	}
	slices.Sort(out)
	return out
}

// placeAll places all waiting tasks of a step or none. It uses workers of only
// one rack unless rack is empty.
func (d *Dispatcher) placeAll(now modeler.ClockReading, u *unit, rack modeler.RackName) bool {
	if !d.hasRoomForAll(now, u, rack) {
		return false
	}
	var attempt modeler.Attempt
	for _, t := range u.flow.StepTasks(u.key) {
		attempt = max(attempt, t.Attempt)
	}
	var made []*run
	var last *host
	for index, found := u.waiting.next(0); found; index, found = u.waiting.next(index + 1) {
		h := last
		if h == nil || !d.isStillBest(now, u, index, h) {
			h = d.pickHost(now, u, index, rack)
		}
		if h == nil {
			for _, r := range made {
				d.removeRun(r)
			}
			d.out.Starts = d.out.Starts[:len(d.out.Starts)-len(made)]
			return false
		}
		made = append(made, d.proposeStart(now, u, index, h, attempt+1))
		last = nil
		if attempt == 0 {
			last = h
		}
	}
	d.logPlaced(now, u, d.out.Starts[len(d.out.Starts)-len(made):])
	return true
}

// hasRoomForAll reports whether the workers of a rack, or all if rack is empty, have
// room for all waiting tasks of a step. It saves the search for a gang that is too
// wide for what is free.
func (d *Dispatcher) hasRoomForAll(now modeler.ClockReading, u *unit, rack modeler.RackName) bool {
	need := neededBy(u.step)
	missing := u.waiting.len()
	d.forEachCandidate(now, u, func(h *host) {
		if missing > 0 && (rack == "" || h.worker.Rack == rack) && d.canRun(now, u, h, need) {
			missing -= d.taskCapacity(now, u, h, need)
		}
	})
	return missing <= 0
}

// logPlaced writes one log line for tasks of a step that were placed together.
func (d *Dispatcher) logPlaced(now modeler.ClockReading, u *unit, starts []modeler.FlowStart) {
	if len(starts) == 0 {
		return
	}
	shown := starts[:min(len(starts), maxLoggedWorkers)]
	workers := make([]modeler.WorkerID, 0, len(shown))
	for _, s := range shown {
		workers = append(workers, s.Worker)
	}
	d.settings.Log("tasks placed", "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step,
		"first", starts[0].Task.Index, "attempt", starts[0].Attempt, "count", len(starts), "workers", workers,
		"waited", now.Sub(u.readyAt).String(), "capped", u.quotaWaited.String(), "left", u.waiting.len())
}

// proposeStart proposes an attempt and reserves its resources.
func (d *Dispatcher) proposeStart(now modeler.ClockReading, u *unit, index modeler.TaskIndex, h *host, attempt modeler.Attempt) *run {
	start := modeler.FlowStart{
		Task:       u.task(index),
		Attempt:    attempt,
		Worker:     h.worker.ID,
		Generation: h.worker.Generation,
	}
	r := d.addRun(now, start, h, committing)
	d.recordUrgentStart(now, u)
	d.useHeadroom(u, h, r.need)
	r.permit = u.permits[h.worker.ID].text
	d.committing++
	d.out.Starts = append(d.out.Starts, start)
	d.countDemand(u)
	return r
}

// HandleProposedStarts handles the result of proposed starts: they were applied, or they
// could not be proposed. The resources of starts that the state did not accept
// become free.
func (d *Dispatcher) HandleProposedStarts(_ modeler.ClockReading, starts []modeler.FlowStart) {
	for _, s := range starts {
		r := d.runs[s.Task]
		if r != nil && r.attempt == s.Attempt && r.phase == committing {
			d.removeRun(r)
		}
	}
}

// pickHost returns the best worker for a task, or nil if none can run it.
func (d *Dispatcher) pickHost(now modeler.ClockReading, u *unit, index modeler.TaskIndex, rack modeler.RackName) *host {
	var best *host
	lowest := math.Inf(1)
	need := neededBy(u.step)
	avoids := d.avoidsInterference(u)
	consider := func(h *host) {
		if rack != "" && h.worker.Rack != rack || h.runs[u.task(index)] != nil || !d.canRun(now, u, h, need) || !d.mayProbeWith(now, u, index, h) {
			return
		}
		score := d.score(u, h)
		if avoids {
			score += d.interferenceScore(u, h)
		}
		if u.failedOn[index] == h.worker.ID {
			score += penalty
		}
		if h.isQuarantined(now) {
			score += lastResortPenalty
		}
		if score < lowest || score == lowest && best != nil && h.worker.ID < best.worker.ID {
			best = h
			lowest = score
		}
	}
	d.forEachCandidate(now, u, consider)
	return best
}

// forEachCandidate calls visit for the workers that the outside policy allows for the
// step, and counts them as examined.
func (d *Dispatcher) forEachCandidate(now modeler.ClockReading, u *unit, visit func(*host)) {
	if u.policy.Permits == nil {
		d.examined += len(d.hostList)
		for _, h := range d.hostList {
			visit(h)
		}
		return
	}
	d.examined += len(u.permits)
	for id, p := range u.permits {
		h := d.hosts[id]
		if h != nil && p.expiresAt > now && p.generation == h.worker.Generation {
			visit(h)
		}
	}
}

// canRun reports whether a task of the step can run on the worker now.
func (d *Dispatcher) canRun(now modeler.ClockReading, u *unit, h *host, need modeler.Resources) bool {
	if !u.suits(h) || !need.Fits(h.free()) || !d.usableBy(now, u, h) || !fits(need, d.roomFor(now, u, h)) || !d.leavesHeadroom(now, u, h, need) {
		return false
	}
	return u.step.PerWorker == 0 || u.runsOn[h.worker.ID] < u.step.PerWorker
}

// score rates a worker for a task of the step; lower is better. It prefers the
// worker with the fewest processors left, which keeps large blocks free
// elsewhere for large tasks.
func (d *Dispatcher) score(u *unit, h *host) float64 {
	free := h.free().Sub(neededBy(u.step))
	whole := max(h.worker.Capacity.Processors, 1)
	score := float64(free.Processors)/float64(whole) + d.speedScore(u, h)

	if u.step.DataRack != "" && h.worker.Rack != u.step.DataRack {
		score += penalty
	}
	switch {
	case u.step.Backfill:
		// Backfill uses idle processors and slows down serving tasks.
		score = -score
		d.examined += len(h.runs)
		for _, r := range h.runs {
			if r.unit != nil && r.unit.step.LatencyTarget > 0 {
				score += penalty
			}
			if r.unit != nil && r.unit.step.Backfill {
				score += float64(r.unit.step.Need.Processors) / float64(whole)
			}
		}
	case u.step.LatencyTarget > 0:
		d.examined += len(h.runs)
		for _, r := range h.runs {
			if r.unit != nil && r.unit.step.Backfill {
				score += penalty
			}
		}
	}
	return score
}

// evacuate stops the tasks of a leaving worker that can't end in time and can
// continue elsewhere.
func (d *Dispatcher) evacuate(now modeler.ClockReading, h *host) {
	for _, r := range h.runs {
		step := d.step(r.task)
		if step == nil || r.unit == nil || r.phase == committing {
			continue
		}
		if step.LongRunning || step.Checkpoints && now.Add(r.remainingTime(now)) > h.leaveAt {
			d.stopRun(now, r, "its worker leaves")
		}
	}
}
