package dispatcher

import (
	"math"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// initialChance is the assumed part of moves that pay before a queue has shown it,
	// and counts for initialMoves of them.
	initialChance = 0.5
	initialMoves  = 4.0
	// maxMovesWeight bounds the weight of earlier moves, and moveMemory is the time after
	// which they count a third, so that moves are tried again after a bad time.
	maxMovesWeight = 50.0
	moveMemory     = 20 * time.Minute
	// copyCost is what the resources of a copy are worth, relative to the time of callers.
	// Copies use only room that no other step waits for.
	copyCost = 0.5
	// moveDelay is how long a start elsewhere takes: two log entries and an order.
	moveDelay = 100 * time.Millisecond
	// movedDivisor bounds the overdue tasks of a step that are moved at once to one in
	// movedDivisor: where more are overdue, the step takes longer than was expected.
	movedDivisor = 8
)

// gains is what the moves of a queue's overdue tasks have shown.
type gains struct {
	// paid is the weight of the moves that have paid, and total that of all.
	paid, total float64
	at          modeler.ClockReading
}

// chance returns the probability that a move pays.
func (g *gains) chance() float64 {
	return (g.paid + initialChance*initialMoves) / (g.total + initialMoves)
}

// add counts a move.
func (g *gains) add(now modeler.ClockReading, paid bool) {
	rest := math.Exp(-float64(now.Sub(g.at)) / float64(moveMemory))
	rest = min(rest, (maxMovesWeight-1)/max(g.total, 1))
	g.at = now
	g.paid *= rest
	g.total = g.total*rest + 1
	if paid {
		g.paid++
	}
}

// forget lets earlier moves count less.
func (g *gains) forget(now modeler.ClockReading) {
	rest := math.Exp(-float64(now.Sub(g.at)) / float64(moveMemory))
	g.paid, g.total, g.at = g.paid*rest, g.total*rest, now
}

// move is a copy of an overdue attempt.
type move struct {
	unit    *unit
	attempt modeler.Attempt
}

// copyOverdue starts slow attempts of a worker that is not at fault elsewhere as well, if
// that is likely to pay: the first attempt that is done completes the task.
func (d *Dispatcher) copyOverdue(now modeler.ClockReading, h *host) {
	if !d.uses(Overdue) || d.eventLag > 0 {
		return
	}
	for _, s := range h.slowRuns {
		if d.mayCopyOverdue(s.run) && d.copyPays(now, s) {
			d.startCopy(now, s)
		}
	}
}

// mayCopyOverdue reports whether the bounds on copies leave one for an attempt.
func (d *Dispatcher) mayCopyOverdue(r *run) bool {
	u := r.unit
	if !u.step.MayRunCopies() || r.attempt > maxMoves || r.orphaned || u.dropped || d.runs[r.task] != r {
		return false
	}
	for _, other := range d.abandoned[r.task] {
		if other != r {
			return false
		}
	}
	if d.moves[r.task] == nil && u.moving >= max(u.step.Count/movedDivisor, 1) {
		return false
	}
	// Both attempts may fail.
	failures := len(u.flow.Task(r.task).FailedAttempts)
	return u.policy.Attempts == 0 || failures+2 <= u.policy.Attempts
}

// copyPays reports whether a copy is likely to gain more than it costs, on a worker that
// has room now.
func (d *Dispatcher) copyPays(now modeler.ClockReading, s slowRun) bool {
	u := s.run.unit
	g := &d.queue(u.flow.Spec.Queue).gains
	g.forget(now)
	chance := g.chance()
	pays := func(fresh time.Duration) bool {
		return chance*float64(s.rest-fresh-moveDelay) > copyCost*float64(fresh)
	}
	if !pays(0) || d.anyLacksWorkers() {
		return false
	}
	h := d.pickHost(now, u, s.run.task.Index, "")
	return h != nil && !h.isQuarantined(now) && pays(u.expectedRuntimeOn(h))
}

// anyLacksWorkers reports whether a step waits for workers.
func (d *Dispatcher) anyLacksWorkers() bool {
	for _, u := range d.sortedUnits {
		if u.lacksWorkers && !u.dropped {
			return true
		}
	}
	return false
}

// startCopy lets an overdue task start elsewhere while its attempt goes on.
func (d *Dispatcher) startCopy(now modeler.ClockReading, s slowRun) {
	r := s.run
	if d.moves[r.task] == nil {
		r.unit.moving++
	}
	d.moves[r.task] = &move{unit: r.unit, attempt: r.attempt}
	if r.abandoned {
		// It was abandoned before, and no copy has started since.
		delete(d.runs, r.task)
		r.unit.updateWaiting(r.task.Index)
		d.changed = true
		return
	}
	d.logTask("overdue task is copied", r.task, r.attempt, r.host.worker.ID, "percent", r.percent, "rest", s.rest.String(), "expected", r.unit.expectedRuntime().String(),
		"chance", d.queue(r.unit.flow.Spec.Queue).gains.chance())
	d.abandon(now, r)
}

// learnMove learns whether the copy of an overdue task that is done has paid. It shows
// nothing if no copy was started, or if the earlier attempt was stopped meanwhile.
func (d *Dispatcher) learnMove(now modeler.ClockReading, e modeler.FlowEnd) {
	m := d.moves[e.Task]
	if m == nil {
		return
	}
	g := &d.queue(m.unit.flow.Spec.Queue).gains
	if e.Attempt > m.attempt {
		for _, r := range d.abandoned[e.Task] {
			if r.attempt == m.attempt && (!r.stopping || r.stopBegan == now) {
				g.add(now, true)
			}
		}
	} else if newest := d.runs[e.Task]; newest != nil && newest.attempt > m.attempt {
		g.add(now, false)
	}
	d.forgetMove(e.Task)
}

func (d *Dispatcher) forgetMove(task modeler.FlowTask) {
	if m := d.moves[task]; m != nil {
		m.unit.moving--
		delete(d.moves, task)
	}
}

// forgetMoves forgets the moves of flows that are over. The end of the last task of a
// completed flow is handled after that of the flow, so they are forgotten at the next tick.
func (d *Dispatcher) forgetMoves() {
	for task, m := range d.moves {
		if m.unit.dropped {
			delete(d.moves, task)
		}
	}
}
