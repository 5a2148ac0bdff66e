package dispatcher

import (
	"time"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// phase is the state of an attempt.
type phase uint8

const (
	// committing attempts have a proposed start; no order was sent.
	committing phase = iota
	// restored attempts were committed by an earlier leader, and not confirmed by
	// their worker since.
	restored
	// starting attempts wait for the answer to their start.
	starting
	running
	// ending attempts have a proposed end.
	ending
)

const (
	// resendAfter is the time after which an order without an answer is sent again:
	// many round trips, and short compared with the objectives of urgent tasks.
	resendAfter = 150 * time.Millisecond
	// stallAfter is how long a task may make no progress: several times what one
	// percent of the longest tasks takes.
	stallAfter = 2500 * time.Millisecond
)

// run is one attempt of a task.
type run struct {
	task    modeler.FlowTask
	attempt modeler.Attempt
	host    *host
	unit    *unit
	// need is what the attempt reserves on its worker, and charge what it takes of the
	// quota of account, which may be nil.
	need    modeler.Resources
	account *accountant.Account
	charge  accountant.Charge
	// image is what the attempt runs.
	image modeler.ImageName
	phase phase
	// endKind is the proposed end of an attempt in the phase ending.
	endKind modeler.EndKind
	permit  modeler.Permit
	// sentAt is when the start was last sent, and startsSent how often.
	sentAt     modeler.ClockReading
	startsSent int
	generationState
	checkpoint modeler.Checkpoint
	// checkpointAt is when the worker first listed the newest checkpoint.
	checkpointAt modeler.ClockReading
	// orphaned attempts have ended according to the replicated state, but may run
	// because their start was delivered late. They occupy resources and block the
	// next attempt of their task until a stop of them is confirmed.
	orphaned bool
	// unsized means that it is not known what the attempt uses on its worker.
	unsized bool
	// abandoned attempts may still run while their task may start elsewhere. They
	// occupy resources until their end is known. The first attempt that is done
	// completes the task.
	abandoned bool
	// supersededBy is the worker that has listed an earlier attempt as done while
	// this one was being committed; this one is then not sent.
	supersededBy *host
	// countedIn is the reservationPass in which the attempt was last counted.
	countedIn uint64
}

// generationState holds what concerns an attempt on one generation of its worker. Clock
// readings, reports and orders of one generation mean nothing on another, so an attempt
// that moves to a newer one begins with a fresh state.
type generationState struct {
	// stopping means that a stop was sent. stopAckClock is the worker's clock in
	// its answer to the stop, or 0.
	stopping     bool
	stopAckClock modeler.WorkerClock
	// stopSentAt is when the stop was last sent, and stopBegan when it was first sent.
	// stopOverdue means that it was logged that the attempt has not ended since.
	stopSentAt  modeler.ClockReading
	stopBegan   modeler.ClockReading
	stopOverdue bool
	// percent is the reported progress, which last changed at progressAt.
	percent    int
	progressAt modeler.ClockReading
	// samplePercent is the progress at sampledAt, where the current measurement of
	// the pace began. timePerPercent is the last measured pace.
	samplePercent  int
	sampledAt      modeler.ClockReading
	timePerPercent time.Duration
	// slowedDown means that the attempt became several times slower than before.
	slowedDown bool
	// startedAt is when the start was first sent. Once the worker is known to run
	// the attempt, it is when that was first known.
	startedAt modeler.ClockReading
	// load is the tail latency in milliseconds that a serving task last reported.
	load int
	// share is the percentage of its processors that a backfill task may use, last
	// changed at shareAt.
	share   int
	shareAt modeler.ClockReading
	// overTargetSince is since when a serving task exceeds its latency target, or
	// 0.
	overTargetSince modeler.ClockReading
	// seenRunning means that this generation of the worker has listed the attempt
	// as running. The answer to a start doesn't tell which generation sent it.
	seenRunning bool
	// endListed means that the worker has listed the end of the attempt.
	endListed bool
	// predatesLeader means that the attempt was started by an earlier leader, so
	// its run time is unknown.
	predatesLeader bool
	// probes counts the attempt if it shows whether its worker is sound again, and is nil
	// otherwise.
	probes *probes
	// throttlePending means that an order to change the share has no answer yet.
	throttlePending bool
}

// hasBegun reports whether the worker has told that it has begun the attempt.
func (r *run) hasBegun() bool { return r.phase == running || r.endListed }

func newGenerationState(now modeler.ClockReading) generationState {
	return generationState{progressAt: now, share: 100}
}

// step returns the step of a task, or nil if its flow is not held any more.
func (d *Dispatcher) step(task modeler.FlowTask) *modeler.Step {
	f, found := d.state.Flow(task.Flow)
	if !found || int(task.Step) >= len(f.Spec.Steps) {
		return nil
	}
	return &f.Spec.Steps[task.Step]
}

// neededBy returns the resources that a task of the step reserves on its worker.
// Backfill uses idle processors and reserves none of them.
func neededBy(step *modeler.Step) modeler.Resources {
	need := step.Need
	if step.Backfill {
		need.Processors = 0
	}
	return need
}

// addRun adds an attempt to its worker and reserves its resources there.
func (d *Dispatcher) addRun(now modeler.ClockReading, start modeler.FlowStart, h *host, p phase) *run {
	r := &run{
		task:            start.Task,
		attempt:         start.Attempt,
		host:            h,
		unit:            d.units[start.Task.StepKey()],
		phase:           p,
		generationState: newGenerationState(now),
	}
	if step := d.step(start.Task); step != nil {
		r.need, r.charge = neededBy(step), chargeOf(step)
		r.image = step.Image
	}
	if f, found := d.state.Flow(start.Task.Flow); found {
		r.account = d.ledger.Account(f.Spec.Team)
	}
	h.runs[r.task] = r
	h.used = h.used.Add(r.need)
	r.account.Add(r.charge)
	if p != running {
		r.account.AddStarting()
	}
	d.runs[r.task] = r
	if r.unit != nil {
		r.unit.countRun(h, 1)
		r.unit.updateWaiting(r.task.Index)
	}
	h.addProbe(now, r)
	return r
}

// addOlderRun adds an attempt that may not be the newest of its task. It goes
// into runs only if its task has no other attempt there.
func (d *Dispatcher) addOlderRun(now modeler.ClockReading, h *host, task modeler.FlowTask, attempt modeler.Attempt, p phase) *run {
	other := d.runs[task]
	start := modeler.FlowStart{Task: task, Attempt: attempt, Worker: h.worker.ID, Generation: h.worker.Generation}
	r := d.addRun(now, start, h, p)
	if other != nil {
		d.runs[task] = other
	}
	return r
}

// stopOrphan stops an attempt that has ended according to the replicated state
// but may run.
func (d *Dispatcher) stopOrphan(now modeler.ClockReading, h *host, task modeler.FlowTask, attempt modeler.Attempt, why string) {
	if h.runs[task] != nil {
		return
	}
	r := d.addOlderRun(now, h, task, attempt, running)
	r.orphaned = true
	if d.step(task) == nil {
		// What the task needs was dropped with its flow.
		r.unsized = true
		h.unsized++
	}
	d.stopRun(now, r, why)
}

// removeRun removes an attempt and frees its resources.
func (d *Dispatcher) removeRun(r *run) {
	if r.host.runs[r.task] == r {
		delete(r.host.runs, r.task)
		d.recordDeparture(r)
		r.host.used = r.host.used.Sub(r.need)
		r.account.Remove(r.charge)
		if r.phase < running {
			r.account.EndStarting()
		}
		if r.unsized {
			r.host.unsized--
		}
		if r.probes != nil {
			r.probes.count--
		}
		if r.unit != nil {
			r.unit.countRun(r.host, -1)
		}
	}
	if d.runs[r.task] == r {
		delete(d.runs, r.task)
	}
	if r.abandoned {
		d.removeAbandoned(r)
	}
	if r.phase == committing {
		d.committing--
	}
	if r.unit != nil {
		r.unit.updateWaiting(r.task.Index)
	}
	d.changed = true
}

// moveRun moves an attempt to a newer generation of its worker.
func (d *Dispatcher) moveRun(now modeler.ClockReading, r *run, h *host) {
	delete(r.host.runs, r.task)
	r.host.used = r.host.used.Sub(r.need)
	// The worker id stays the same, so unit.runsOn needs no update.
	r.host = h
	r.generationState = newGenerationState(now)
	h.runs[r.task] = r
	h.used = h.used.Add(r.need)
	if r.unsized {
		h.unsized++
	}
}

// endRun removes an attempt that certainly doesn't run any more and, if needed,
// proposes its end.
func (d *Dispatcher) endRun(r *run, kind modeler.EndKind, checkpoint modeler.Checkpoint) {
	if r.phase == ending {
		return
	}
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	d.removeRun(r)
	if !d.endNeedsNoEntry(r, kind) {
		d.proposeEnd(r, kind, checkpoint)
	}
}

// endNeedsNoEntry reports whether the end of the attempt needs no log entry
// because it has no effect on the task.
func (d *Dispatcher) endNeedsNoEntry(r *run, kind modeler.EndKind) bool {
	return r.orphaned || r.abandoned && !d.state.OlderEndCounts(r.task, kind)
}

// proposeEnd proposes the end of an attempt. Until the end is committed, the
// attempt stays in runs if its task has no other one there.
func (d *Dispatcher) proposeEnd(r *run, kind modeler.EndKind, checkpoint modeler.Checkpoint) {
	r.phase = ending
	r.endKind = kind
	if d.runs[r.task] == nil {
		d.runs[r.task] = r
		if r.unit != nil {
			r.unit.updateWaiting(r.task.Index)
		}
	} else {
		d.proposedEnds[attemptID{r.task, r.attempt}] = r
	}
	d.out.Ends = append(d.out.Ends, modeler.FlowEnd{Task: r.task, Attempt: r.attempt, Kind: kind, Saved: checkpoint})
}

// proposed returns the attempt whose end is proposed, or nil.
func (d *Dispatcher) proposed(task modeler.FlowTask, attempt modeler.Attempt) *run {
	if r := d.runs[task]; r != nil && r.attempt == attempt && r.phase == ending {
		return r
	}
	return d.proposedEnds[attemptID{task, attempt}]
}

// proposedAs returns the attempt whose end is proposed as the given one, or nil. Another end of
// the same attempt may be proposed in a later entry: that it was abandoned, and how it
// really ended.
func (d *Dispatcher) proposedAs(e modeler.FlowEnd) *run {
	for _, r := range []*run{d.runs[e.Task], d.proposedEnds[attemptID{e.Task, e.Attempt}]} {
		if r != nil && r.attempt == e.Attempt && r.phase == ending && r.endKind == e.Kind {
			return r
		}
	}
	return nil
}

// HandleProposedEnds handles the result of proposed ends: they were committed, or they
// could not be proposed and are proposed again.
func (d *Dispatcher) HandleProposedEnds(_ modeler.ClockReading, ends []modeler.FlowEnd, proposed bool) {
	if !proposed {
		d.out.Ends = append(ends, d.out.Ends...)
		return
	}
	for _, e := range ends {
		if r := d.proposedAs(e); r != nil {
			d.forgetEndedRun(r)
		}
	}
}

// forgetEndedRun removes an attempt whose end is committed. Once all listed
// ends of a worker are committed, the next renewal acknowledges them.
func (d *Dispatcher) forgetEndedRun(r *run) {
	if d.runs[r.task] == r {
		delete(d.runs, r.task)
		if r.unit != nil {
			r.unit.updateWaiting(r.task.Index)
		}
	}
	if x := (attemptID{r.task, r.attempt}); d.proposedEnds[x] == r {
		delete(d.proposedEnds, x)
	}
	if !r.endListed {
		return
	}
	r.host.pendingEnds--
	if r.host.pendingEnds == 0 {
		r.host.cursor = r.host.proposedCursor
	}
}

// handleStarted sends the start of an attempt whose start was committed.
func (d *Dispatcher) handleStarted(now modeler.ClockReading, start modeler.FlowStart) {
	r := d.runs[start.Task]
	if r == nil || r.attempt != start.Attempt || r.phase != committing {
		h := d.hosts[start.Worker]
		if h == nil {
			d.out.Ends = append(d.out.Ends, modeler.FlowEnd{Task: start.Task, Attempt: start.Attempt, Kind: modeler.EndUnstarted})
			return
		}
		// An earlier leader proposed this start and may have sent it.
		r = d.addRun(now, start, h, restored)
		if h.hasAnswered {
			d.stopRun(now, r, "committed by an earlier leader")
		}
		return
	}
	d.committing--
	r.phase = starting
	switch h := r.host; {
	case r.supersededBy != nil && d.isCurrent(r.supersededBy):
		d.heldBack[r.task] = r.supersededBy
		d.endRun(r, modeler.EndUnstarted, "")
	case !d.isCurrent(h) || h.worker.Leaving:
		d.endRun(r, modeler.EndUnstarted, "")
	case r.unit == nil || !r.unit.flow.IsPlaced(r.task) || r.unit.step.Gang && r.attempt <= r.unit.brokenAttempt:
		d.endRun(r, modeler.EndUnstarted, "")
	default:
		d.sendStart(now, r)
	}
}

func (d *Dispatcher) sendStart(now modeler.ClockReading, r *run) {
	f, found := d.state.Flow(r.task.Flow)
	if !found || f.IsOver() {
		return
	}
	h := r.host
	r.sentAt = now
	if r.startsSent == 0 {
		r.startedAt = now
	}
	r.startsSent++
	d.send(h, modeler.Order{
		Kind: modeler.StartOrder, Task: r.task, Attempt: r.attempt, Deadline: d.leaseDeadline(now, h),
		Spec: f.Spec.Spec, Saved: f.Task(r.task).Checkpoint, Permit: r.permit, Repeated: r.startsSent > 1,
	})
	// Renew soon, also if the worker was idle, to learn whether it runs the
	// attempt.
	h.renewAt = min(h.renewAt, now.Add(resendAfter))
	if r.startsSent > 1 {
		h.startRepeated = true
		d.logTask("task start repeated", r.task, r.attempt, h.worker.ID, "try", r.startsSent, "heard", now.Sub(h.heardAt).String())
	}
}

// markRunning records that the worker runs the attempt.
func (d *Dispatcher) markRunning(now modeler.ClockReading, r *run) {
	r.predatesLeader = r.phase == restored
	if r.phase < running {
		r.account.EndStarting()
	}
	r.phase = running
	r.startedAt = now
	r.progressAt = now
	r.samplePercent = r.percent
	r.sampledAt = now
}

// stopRun sends a stop for an attempt.
func (d *Dispatcher) stopRun(now modeler.ClockReading, r *run, why string) {
	if r.phase == committing || r.phase == ending {
		return
	}
	if !r.stopping {
		d.logTask("task stop", r.task, r.attempt, r.host.worker.ID, "reason", why, "percent", r.percent, "heard", now.Sub(r.host.heardAt).String())
	}
	repeated := r.stopping
	if !repeated {
		r.stopBegan = now
	}
	r.stopping = true
	r.stopSentAt = now
	d.send(r.host, modeler.Order{Kind: modeler.StopOrder, Task: r.task, Attempt: r.attempt, Repeated: repeated})
}

// HandleOrderAnswer handles the answer to a start, a stop or a throttle order.
func (d *Dispatcher) HandleOrderAnswer(now modeler.ClockReading, o modeler.Order, a modeler.OrderAnswer) {
	if o.Kind == modeler.StartOrder && a.Outcome == modeler.OrderAccepted {
		d.noteBeginning(o.Task, o.Attempt, o.Worker)
	}
	h := d.hosts[o.Worker]
	if h == nil || h.worker.Generation != o.Generation {
		return
	}
	if a.Clock != 0 {
		d.updateClock(now, h, a)
	}
	r := h.runs[o.Task]
	if a.Outcome != modeler.OrderAccepted && a.Outcome != modeler.OrderCarrierLost && (o.Kind == modeler.StartOrder || a.Outcome != modeler.OrderUnsent && a.Outcome != modeler.OrderUnanswered) {
		d.logTask("order not accepted", o.Task, o.Attempt, o.Worker, "order", o.Kind.String(), "fate", a.Outcome.String())
	}
	if a.Outcome == modeler.OrderWrongWorker && !h.gone {
		if r != nil && o.Kind == modeler.StartOrder && r.startsSent == 1 && r.phase == starting && r.attempt == o.Attempt {
			d.endRun(r, modeler.EndUnstarted, "")
		}
		d.endWorker(now, h, "another worker answers at its address")
		return
	}
	if r == nil || r.attempt != o.Attempt {
		return
	}
	switch o.Kind {
	case modeler.StartOrder:
		d.handleStartAnswer(now, h, r, a)
	case modeler.StopOrder:
		if a.Outcome == modeler.OrderAccepted {
			r.stopAckClock = max(r.stopAckClock, a.Clock)
			h.renewAt = min(h.renewAt, now)
		}
	case modeler.ThrottleOrder:
		r.throttlePending = false
		if a.Outcome == modeler.OrderAccepted {
			r.share = o.Percent
			r.shareAt = now
		}
	}
}

func (d *Dispatcher) handleStartAnswer(now modeler.ClockReading, h *host, r *run, a modeler.OrderAnswer) {
	if r.phase != starting {
		return
	}
	switch a.Outcome {
	case modeler.OrderAccepted:
		d.markRunning(now, r)
		return
	case modeler.OrderSuperseded:
		// The worker has already ended or stopped the attempt; its next list tells
		// which.
		r.stopAckClock = max(r.stopAckClock, a.Clock)
		h.renewAt = min(h.renewAt, now)
		return
	case modeler.OrderUnanswered:
		if d.heardBy(now).Sub(h.heardAt) > maxAnswerAge {
			h.unanswered++
		}
		return
	case modeler.OrderStale, modeler.OrderCarrierLost:
		return
	case modeler.OrderWorkerFull:
		// The worker holds more attempts than the leader knows of; its next list
		// shows them.
		d.quarantineHost(now, h, "it has less room than expected")
		h.probing = false
	case modeler.OrderWorkerUnhealthy:
		d.quarantineHost(now, h, "it refuses tasks")
	case modeler.OrderUnpermitted:
		if r.unit != nil {
			delete(r.unit.permits, h.worker.ID)
		}
	case modeler.OrderUnsent:
		h.unanswered++
	}
	if r.startsSent == 1 {
		// The only start that was sent was refused, so the attempt can't begin.
		d.endRun(r, modeler.EndUnstarted, "")
		return
	}
	d.stopRun(now, r, "a repeated start was refused")
}

// tickRun repeats orders without an answer and stops attempts that are stalled
// or can't start.
func (d *Dispatcher) tickRun(now modeler.ClockReading, h *host, r *run) {
	switch {
	case h.gone || r.phase == committing || r.phase == ending:
	case r.stopping:
		d.logOverdueStop(now, h, r)
		if r.stopAckClock == 0 && d.heardBy(now).Sub(r.stopSentAt) >= resendAfter {
			d.stopRun(now, r, "")
		}
	case r.phase == starting && r.unit != nil && r.unit.step.Gang && d.heardBy(now).Sub(r.startedAt) > d.settings.GangTimeout/gangStartDivisor:
		d.stopGang(now, r.unit, r.attempt, "a member of the gang did not start")
	case r.phase == starting && (h.unanswered > 0 || h.silence.isRecorded):
		// The worker may have restarted, and a repeated start would be carried out
		// by its next generation.
	case r.phase == starting && d.heardBy(now).Sub(r.sentAt) >= resendAfter:
		if r.abandoned || d.shouldGiveUpStart(now, h, r) {
			d.stopRun(now, r, "the start got no answer")
			return
		}
		d.sendStart(now, r)
	case r.phase == running && d.isStalled(now, r):
		r.noteFailedProbe(now)
		d.quarantineHost(now, h, "a task stands still there")
		d.stopRun(now, r, "it stands still")
	}
}

// stopOverdueAfter is how long after a stop was first sent it is logged that the attempt
// has not ended: several times what workers may take to stop a task.
const stopOverdueAfter = 3 * time.Second

// logOverdueStop writes one log line about a stop whose attempt has not ended in time:
// whether the stop was answered, and what the worker has listed since.
func (d *Dispatcher) logOverdueStop(now modeler.ClockReading, h *host, r *run) {
	if r.stopOverdue || d.heardBy(now).Sub(r.stopBegan) < stopOverdueAfter {
		return
	}
	r.stopOverdue = true
	d.logTask("task stop is overdue", r.task, r.attempt, h.worker.ID, "generation", h.worker.Generation, "answered", r.stopAckClock, "clock", h.clock,
		"listed", r.seenRunning, "complete", h.hasListedAll && !h.endsRemain, "heard", now.Sub(h.heardAt).String())
}

// shouldGiveUpStart reports whether an unanswered start is not repeated: the
// worker is leaving, maxStarts is reached, or the flow is over.
func (d *Dispatcher) shouldGiveUpStart(now modeler.ClockReading, h *host, r *run) bool {
	if h.worker.Leaving || r.startsSent >= maxStarts {
		return true
	}
	return r.unit == nil
}

// gangStartDivisor sets when a gang is stopped because a member hasn't started:
// after one part in gangStartDivisor of the time that members wait for each
// other. The rest is left for the stops.
const gangStartDivisor = 2

// maxStarts bounds how often the start of one attempt is sent. At one per
// resendAfter this takes at least 1.2 s, in which a working worker has answered
// a renewal.
const maxStarts = 8

// isStalled reports whether a task has made no progress for too long. Gangs and
// backfill are excluded: gang members wait for each other, and backfill waits
// for idle processors.
func (d *Dispatcher) isStalled(now modeler.ClockReading, r *run) bool {
	if r.unit == nil || r.percent >= 100 || r.share < 100 || d.eventLag > 0 || now.Sub(r.host.heardAt) > maxAnswerAge {
		return false
	}
	step := r.unit.step
	if step.Gang || step.Backfill {
		return false
	}
	return now.Sub(r.progressAt) > stallAfter+r.unit.expectedRuntimeOn(r.host)/20
}

// handleEnded applies a committed end.
func (d *Dispatcher) handleEnded(now modeler.ClockReading, e modeler.FlowEnd) {
	r := d.proposedAs(e)
	if r == nil && d.runs[e.Task] != nil && d.runs[e.Task].attempt == e.Attempt {
		r = d.runs[e.Task]
		d.removeRun(r)
	}
	if r != nil {
		d.forgetEndedRun(r)
	}
	if e.Kind == modeler.EndDone {
		delete(d.heldBack, e.Task)
		d.learnMove(now, e)
		d.stopCopies(now, e.Task)
	} else {
		d.logTask("task ended", e.Task, e.Attempt, workerIDOf(r), "end", e.Kind.String())
	}
	u := d.units[e.Task.StepKey()]
	if e.Kind == modeler.EndDone {
		d.learnEnd(now, u, r)
	}
	if u == nil {
		return
	}
	if e.Kind == modeler.EndFailed && r != nil {
		if u.failedOn == nil {
			u.failedOn = make(map[modeler.TaskIndex]modeler.WorkerID)
		}
		u.failedOn[e.Task.Index] = r.host.worker.ID
	}
	if e.Kind == modeler.EndFailed {
		d.resumeAbandoned(e.Task)
	}
	u.updateWaiting(e.Task.Index)
	if e.Kind == modeler.EndDone {
		d.markFollowersReady(now, u)
		return
	}
	if u.step.Gang {
		d.stopGang(now, u, e.Attempt, "another member of its gang has ended")
	}
}

// learnEnd learns from an attempt that is done. The unit of a flow's last task is dropped
// before the task's end is handled, and then nil.
func (d *Dispatcher) learnEnd(now modeler.ClockReading, u *unit, r *run) {
	if r == nil || r.startedAt == 0 || r.predatesLeader {
		return
	}
	if u == nil {
		u = r.unit
	}
	if u != nil {
		d.learnRuntime(u, r, now.Sub(r.startedAt))
	}
}

// stopGang stops all members of a gang that can't be complete any more.
func (d *Dispatcher) stopGang(now modeler.ClockReading, u *unit, attempt modeler.Attempt, why string) {
	if attempt <= u.brokenAttempt {
		// Its members were stopped, or were not sent yet and will not be.
		return
	}
	u.brokenAttempt = attempt
	for i := range u.step.Count {
		r := d.runs[u.task(modeler.TaskIndex(i))]
		if r != nil && r.attempt == attempt && !r.stopping {
			d.stopRun(now, r, why)
		}
	}
}

// logTask writes a log line about one attempt of a task.
func (d *Dispatcher) logTask(event string, task modeler.FlowTask, attempt modeler.Attempt, worker modeler.WorkerID, pairs ...any) {
	d.settings.Log(event, append([]any{
		"request", task.Flow, "occurrence", task.Occurrence, "step", task.Step, "task", task.Index, "attempt", attempt, "worker", worker,
	}, pairs...)...)
}

func workerIDOf(r *run) modeler.WorkerID {
	if r == nil {
		return ""
	}
	return r.host.worker.ID
}

// restoreFlow takes over the attempts of a flow that earlier leaders have
// committed.
func (d *Dispatcher) restoreFlow(now modeler.ClockReading, f *sequencer.Flow) {
	if !f.IsOver() {
		d.addFlow(now, f.Spec.ID)
	}
	if f.OccupiedTasks == 0 {
		return
	}
	for k := range f.Occurrences() {
		for s := range f.Spec.Steps {
			key := modeler.StepKey{Flow: f.Spec.ID, Occurrence: modeler.Occurrence(k), Step: modeler.StepIndex(s)}
			for i, t := range f.StepTasks(key) {
				if t.Worker != "" {
					d.restoreRun(now, f, t, modeler.FlowTask{Flow: key.Flow, Occurrence: key.Occurrence, Step: key.Step, Index: modeler.TaskIndex(i)})
				}
			}
		}
	}
}

func (d *Dispatcher) restoreRun(now modeler.ClockReading, f *sequencer.Flow, t sequencer.Task, task modeler.FlowTask) {
	h := d.hosts[t.Worker]
	if h == nil {
		d.out.Ends = append(d.out.Ends, modeler.FlowEnd{Task: task, Attempt: t.Attempt, Kind: modeler.EndLost})
		return
	}
	start := modeler.FlowStart{Task: task, Attempt: t.Attempt, Worker: t.Worker, Generation: t.Generation}
	r := d.addRun(now, start, h, restored)
	r.checkpoint = t.Checkpoint
	if t.Generation != h.worker.Generation || f.IsOver() || t.Phase == sequencer.TaskDone {
		d.stopRun(now, r, "its flow is over or its worker has restarted")
	}
}
