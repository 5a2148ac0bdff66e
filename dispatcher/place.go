package dispatcher

import (
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// committingMax bounds the starts that are proposed at a time, so that
	// urgent work never waits behind a long entry of the log.
	committingMax = 512
	// awkward is added to the score of a worker that would slow a task down,
	// so that it is taken only when no other has room.
	awkward = 10.0
	// retryShort is the time between two decisions for a step that found no
	// worker for some of its tasks; each looks at all workers that may take it.
	retryShort = 20 * time.Millisecond
)

// place decides which waiting tasks go where.
func (d *Dispatcher) place(now modeler.ClockReading) {
	for _, u := range d.order {
		if !u.ready || len(u.waiting) == 0 {
			u.short = false
			continue
		}
		if d.committing >= committingMax {
			return
		}
		if u.short && now < u.retryAt {
			continue
		}
		if u.step.Gang {
			u.short = !d.placeGang(now, u)
		} else {
			d.placeTasks(now, u)
		}
		if u.short {
			u.retryAt = now.Add(retryShort)
			d.makeRoom(now, u)
		}
	}
}

func (d *Dispatcher) placeTasks(now modeler.ClockReading, u *unit) {
	waiting := slices.Clone(u.waiting)
	u.short = false
	placed := len(d.out.Starts)
	defer func() { d.logPlaced(now, u, d.out.Starts[placed:]) }()
	for _, index := range waiting {
		h := d.pick(now, u, index, "")
		if h == nil {
			u.short = true
			break
		}
		t := u.flow.Task(u.task(index))
		d.commit(now, u, index, h, t.Attempt+1)
	}
	u.refresh()
}

// placeGang places all tasks of a gang, or none.
func (d *Dispatcher) placeGang(now modeler.ClockReading, u *unit) bool {
	if len(u.waiting) < u.step.Count {
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
	for _, h := range d.list {
		if h.machine.Service == u.policy.Service && !slices.Contains(out, h.machine.Rack) {
			out = append(out, h.machine.Rack)
		}
	}
	slices.Sort(out)
	return out
}

// placeAll places every waiting task of a step, on one rack if it is named.
func (d *Dispatcher) placeAll(now modeler.ClockReading, u *unit, rack modeler.RackName) bool {
	var attempt modeler.Attempt
	for _, t := range u.flow.StepTasks(u.key) {
		attempt = max(attempt, t.Attempt)
	}
	var made []*run
	for _, index := range slices.Clone(u.waiting) {
		h := d.pick(now, u, index, rack)
		if h == nil {
			for _, r := range made {
				d.drop(r)
			}
			d.out.Starts = d.out.Starts[:len(d.out.Starts)-len(made)]
			u.refresh()
			return false
		}
		made = append(made, d.commit(now, u, index, h, attempt+1))
	}
	u.refresh()
	d.logPlaced(now, u, d.out.Starts[len(d.out.Starts)-len(made):])
	return true
}

// logPlaced writes one line for the tasks of a step that were placed together.
func (d *Dispatcher) logPlaced(now modeler.ClockReading, u *unit, starts []modeler.FlowStart) {
	if len(starts) == 0 {
		return
	}
	workers := make([]modeler.WorkerID, 0, len(starts))
	for _, s := range starts {
		workers = append(workers, s.Worker)
	}
	d.settings.Log("tasks placed", "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step,
		"first", starts[0].Task.Index, "attempt", starts[0].Attempt, "workers", workers,
		"waited", now.Sub(u.readyAt).String(), "left", len(u.waiting))
}

// commit proposes an attempt and takes its room.
func (d *Dispatcher) commit(now modeler.ClockReading, u *unit, index modeler.TaskIndex, h *host, attempt modeler.Attempt) *run {
	start := modeler.FlowStart{
		Task:       u.task(index),
		Attempt:    attempt,
		Worker:     h.machine.ID,
		Generation: h.machine.Generation,
	}
	r := d.addRun(now, start, h, committing)
	r.permit = u.permits[h.machine.ID].text
	d.committing++
	d.out.Starts = append(d.out.Starts, start)
	return r
}

// Committed says that starts were applied or could not be proposed; those that
// the state did not accept free their room.
func (d *Dispatcher) Committed(_ modeler.ClockReading, starts []modeler.FlowStart) {
	for _, s := range starts {
		r := d.runs[s.Task]
		if r != nil && r.attempt == s.Attempt && r.phase == committing {
			d.drop(r)
			if r.unit != nil {
				r.unit.refresh()
			}
		}
	}
}

// pick returns the best worker for a task, or nil.
func (d *Dispatcher) pick(now modeler.ClockReading, u *unit, index modeler.TaskIndex, rack modeler.RackName) *host {
	var best *host
	lowest := math.Inf(1)
	need := charge(u.step)
	consider := func(h *host) {
		if rack != "" && h.machine.Rack != rack || h.runs[u.task(index)] != nil || !d.fits(now, u, h, need) {
			return
		}
		score := d.score(u, h)
		if u.avoid[index] == h.machine.ID {
			score += awkward
		}
		if score < lowest || score == lowest && best != nil && h.machine.ID < best.machine.ID {
			best = h
			lowest = score
		}
	}
	if u.policy.Permits == nil {
		for _, h := range d.list {
			consider(h)
		}
		return best
	}
	for id, p := range u.permits {
		h := d.hosts[id]
		if h != nil && p.until > now && p.generation == h.machine.Generation {
			consider(h)
		}
	}
	return best
}

// fits reports whether a task of the step may run on the worker now.
func (d *Dispatcher) fits(now modeler.ClockReading, u *unit, h *host, need modeler.Resources) bool {
	if h.machine.Service != u.policy.Service || !need.Fits(h.room()) || !d.usable(now, h) {
		return false
	}
	if u.step.Label != "" && !slices.Contains(h.machine.Labels, u.step.Label) {
		return false
	}
	return u.step.PerWorker == 0 || u.held[h.machine.ID] < u.step.PerWorker
}

// score rates a worker for a task of the step; the lowest wins. A tight fit
// keeps room for large tasks elsewhere.
func (d *Dispatcher) score(u *unit, h *host) float64 {
	room := h.room().Sub(charge(u.step))
	whole := max(h.machine.Capacity.Processors, 1)
	score := float64(room.Processors)/float64(whole) + d.pull(u, h)
	if u.step.DataRack != "" && h.machine.Rack != u.step.DataRack {
		score += awkward
	}
	switch {
	case u.step.Backfill:
		// Backfill needs idle processors, and disturbs tasks that serve.
		score = -score
		for _, r := range h.runs {
			if r.unit != nil && r.unit.step.LatencyTarget > 0 {
				score += awkward
			}
			if r.unit != nil && r.unit.step.Backfill {
				score += float64(r.unit.step.Need.Processors) / float64(whole)
			}
		}
	case u.step.LatencyTarget > 0:
		for _, r := range h.runs {
			if r.unit != nil && r.unit.step.Backfill {
				score += awkward
			}
		}
	}
	return score
}

// evacuate stops the tasks of a leaving worker that would not be done in time
// and can go on elsewhere.
func (d *Dispatcher) evacuate(now modeler.ClockReading, h *host) {
	for _, r := range h.runs {
		step := d.step(r.task)
		if step == nil || r.unit == nil || r.phase == committing {
			continue
		}
		if step.LongRunning || step.Checkpoints && now.Add(r.remaining(now)) > h.leaveAt {
			d.stop(now, r, "its worker leaves")
		}
	}
}
