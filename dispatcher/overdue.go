package dispatcher

import (
	"math"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
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
	// moveDelay is how long a start elsewhere takes beside a stop: log entries and an order.
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

// move is a copy of an overdue attempt, or its restart elsewhere.
type move struct {
	unit    *unit
	attempt modeler.Attempt
	// restart means that the attempt was stopped. The restart has paid if the task is done
	// by paidBy, halfway between the end that is expected if single attempts take long and
	// that of the stopped attempt, which is about when a task that takes long anywhere ends.
	restart bool
	paidBy  modeler.ClockReading
	// disproved means that the moved attempt is overdue as well.
	disproved bool
}

// moveOverdue moves slow attempts of a worker that is not at fault, if that is likely to
// pay. Where copies are allowed, the task is also started elsewhere, and the first attempt
// that is done completes it. Elsewhere the attempt is stopped first.
func (d *Dispatcher) moveOverdue(now modeler.ClockReading, h *host) {
	if !d.uses(Overdue) || d.eventLag > 0 {
		return
	}
	for _, s := range h.slowRuns {
		if m := d.moves[s.run.task]; m != nil && m.attempt < s.run.attempt {
			d.disproveMove(now, m)
			continue
		}
		switch {
		case !d.mayMove(s.run):
		case s.run.unit.step.MayRunCopies():
			if d.mayCopy(s.run) && d.copyPays(now, s) {
				d.startCopy(now, s)
			}
		case d.budgetAllowsMove(s.run) && d.restartPays(now, s):
			d.restartElsewhere(now, s)
		}
	}
}

// mayMove reports whether the bounds on moves leave one for an attempt.
func (d *Dispatcher) mayMove(r *run) bool {
	u := r.unit
	if r.attempt > maxMoves || r.orphaned || r.stopping || u.dropped || d.runs[r.task] != r {
		return false
	}
	return d.moves[r.task] != nil || u.moving < max(u.step.Count/movedDivisor, 1)
}

// mayCopy reports whether an attempt has no copy, and the number of failures that its queue
// allows is not exceeded if both fail.
func (d *Dispatcher) mayCopy(r *run) bool {
	for _, other := range d.abandoned[r.task] {
		if other != r {
			return false
		}
	}
	failures := len(r.unit.flow.Task(r.task).FailedAttempts)
	return r.unit.policy.Attempts == 0 || failures+2 <= r.unit.policy.Attempts
}

// budgetAllowsMove reports whether an attempt may be stopped within the disruption budget of
// its step: fewer of its tasks that were started before are away than the budget.
func (d *Dispatcher) budgetAllowsMove(r *run) bool {
	u := r.unit
	if u.step.DisruptionBudget == 0 {
		return true
	}
	away := 0
	for i, t := range u.flow.StepTasks(u.key) {
		other := d.runs[u.task(modeler.TaskIndex(i))]
		if t.Phase != sequencer.TaskDone && t.Attempt > 0 && (other == nil || other.phase != running || other.stopping) {
			away++
		}
	}
	return away < u.step.DisruptionBudget
}

// copyPays reports whether a copy is likely to gain more than it costs.
func (d *Dispatcher) copyPays(now modeler.ClockReading, s slowRun) bool {
	g := &d.queue(s.run.unit.flow.Spec.Queue).copies
	g.forget(now)
	return d.hasRoomThatPays(now, s.run, func(fresh time.Duration) bool {
		return g.chance()*float64(s.rest-fresh-moveDelay) > copyCost*float64(fresh)
	})
}

// restartPays reports whether a restart elsewhere is likely to be done earlier. If it takes
// as long there, the work so far is lost.
func (d *Dispatcher) restartPays(now modeler.ClockReading, s slowRun) bool {
	g := &d.queue(s.run.unit.flow.Spec.Queue).restarts
	g.forget(now)
	delay := d.settings.MaxStopTime + moveDelay
	lost := now.Sub(s.run.startedAt) + delay
	return d.hasRoomThatPays(now, s.run, func(fresh time.Duration) bool {
		return g.chance()*float64(s.rest-fresh-delay) > (1-g.chance())*float64(lost)
	})
}

// hasRoomThatPays reports whether another worker has room that no step waits for, and a
// start there pays for the run time that is expected there.
func (d *Dispatcher) hasRoomThatPays(now modeler.ClockReading, r *run, pays func(fresh time.Duration) bool) bool {
	if !pays(0) || d.anyLacksWorkers() {
		return false
	}
	h := d.pickHost(now, r.unit, r.task.Index, "")
	return h != nil && !h.isQuarantined(now) && pays(r.unit.expectedRuntimeOn(h))
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
	d.addMove(now, s, false)
	if r.abandoned {
		// It was abandoned before, and no copy has started since.
		delete(d.runs, r.task)
		r.unit.updateWaiting(r.task.Index)
		d.changed = true
		return
	}
	d.abandon(now, r)
}

// restartElsewhere stops an overdue attempt, so that its task starts on another worker.
func (d *Dispatcher) restartElsewhere(now modeler.ClockReading, s slowRun) {
	d.addMove(now, s, true)
	u := s.run.unit
	if u.failedOn == nil {
		u.failedOn = make(map[modeler.TaskIndex]modeler.WorkerID)
	}
	u.failedOn[s.run.task.Index] = s.run.host.worker.ID
	d.stopRun(now, s.run, "it is overdue")
}

func (d *Dispatcher) addMove(now modeler.ClockReading, s slowRun, restart bool) {
	r := s.run
	q := d.queue(r.unit.flow.Spec.Queue)
	if d.moves[r.task] == nil {
		r.unit.moving++
	}
	d.moves[r.task] = &move{unit: r.unit, attempt: r.attempt, restart: restart, paidBy: now.Add((s.rest + r.unit.expectedRuntime()) / 2)}
	d.logTask("overdue task is moved", r.task, r.attempt, r.host.worker.ID, "restart", restart, "percent", r.percent, "rest", s.rest.String(),
		"expected", r.unit.expectedRuntime().String(), "copies", q.copies.chance(), "restarts", q.restarts.chance())
}

// disproveMove learns that a moved attempt is overdue as well, so that its task is likely to
// take long anywhere.
func (d *Dispatcher) disproveMove(now modeler.ClockReading, m *move) {
	if m.disproved || !m.restart {
		return
	}
	m.disproved = true
	d.queue(m.unit.flow.Spec.Queue).restarts.add(now, false)
}

// learnMove learns whether the move of an overdue task that is done has paid.
func (d *Dispatcher) learnMove(now modeler.ClockReading, e modeler.FlowEnd) {
	m := d.moves[e.Task]
	if m == nil {
		return
	}
	q := d.queue(m.unit.flow.Spec.Queue)
	switch {
	case m.disproved:
	case m.restart && e.Attempt == m.attempt+1:
		q.restarts.add(now, now <= m.paidBy)
	case m.restart:
		// It was done before it was stopped, or was stopped for other reasons.
	case e.Attempt <= m.attempt:
		if newest := d.runs[e.Task]; newest != nil && newest.attempt > m.attempt {
			q.copies.add(now, false)
		}
	default:
		// It shows nothing if the earlier attempt was stopped before.
		for _, r := range d.abandoned[e.Task] {
			if r.attempt == m.attempt && (!r.stopping || r.stopBegan == now) {
				q.copies.add(now, true)
			}
		}
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
