package dispatcher

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// phase tells how far an attempt is.
type phase uint8

const (
	// committing attempts are proposed; nothing was sent.
	committing phase = iota
	// restored attempts were committed by an earlier leader.
	restored
	// starting attempts wait for the answer to their start.
	starting
	running
	// ending attempts have an end that is proposed.
	ending
)

const (
	// resend is the time after which an order without an answer is sent again:
	// many round trips, and short against the time that urgent tasks have.
	resend = 150 * time.Millisecond
	// stallAfter is how long the progress of a task may stand still: several
	// times what one percent of the longest tasks takes.
	stallAfter = 2500 * time.Millisecond
)

// run is one attempt of a task.
type run struct {
	task    modeler.FlowTask
	attempt modeler.Attempt
	host    *host
	unit    *unit
	need    modeler.Resources
	phase   phase
	permit  modeler.Permit
	sent    modeler.ClockReading
	tries   int
	// stopping is set while the attempt is to be stopped, and stopped is the
	// worker's clock when it answered that.
	stopping bool
	stopped  modeler.WorkerClock
	stopSent modeler.ClockReading
	percent  int
	moved    modeler.ClockReading
	// mark is the percentage at markAt, and perPercent the time that each one
	// has taken of late.
	mark       int
	markAt     modeler.ClockReading
	perPercent time.Duration
	// slowed means that it was several times faster before.
	slowed bool
	began  modeler.ClockReading
	load   int
	saved  modeler.Checkpoint
	// savedAt is when the newest checkpoint was listed first.
	savedAt modeler.ClockReading
	// percentage that the task may use, and since when.
	share   int
	shareAt modeler.ClockReading
	over    modeler.ClockReading
	// seen means that this generation of the worker has listed the attempt. An
	// answer to a start does not say which generation has given it.
	seen bool
	// listed means that the worker has listed the end.
	listed bool
	// stray attempts are known to have ended, but run or may run after all
	// because their start came late. They take room and hold up the next
	// attempt until a stop of them is certain.
	stray bool
	// abandoned attempts run on or may do so while their task may start
	// elsewhere. They take room until their end is known; the first attempt that
	// is done ends the task.
	abandoned bool
	// joined means that it ran before this leader knew of it.
	joined bool
	// void is the worker that lists a former attempt as done; this one is then
	// not sent.
	void *host
	// pacing means that an order to change the share has no answer yet.
	pacing bool
}

// step returns the description of the attempt's step, or nil if its flow is
// forgotten.
func (d *Dispatcher) step(task modeler.FlowTask) *modeler.Step {
	f, found := d.state.Flow(task.Flow)
	if !found || int(task.Step) >= len(f.Spec.Steps) {
		return nil
	}
	return &f.Spec.Steps[task.Step]
}

// charge returns what a task of the step takes of a worker's room.
func charge(step *modeler.Step) modeler.Resources {
	need := step.Need
	if step.Backfill {
		need.Processors = 0
	}
	return need
}

// addRun takes room on the worker for an attempt.
func (d *Dispatcher) addRun(now modeler.ClockReading, start modeler.FlowStart, h *host, p phase) *run {
	r := &run{
		task:    start.Task,
		attempt: start.Attempt,
		host:    h,
		unit:    d.units[start.Task.StepKey()],
		phase:   p,
		moved:   now,
		share:   100,
	}
	if step := d.step(start.Task); step != nil {
		r.need = charge(step)
	}
	h.runs[r.task] = r
	h.used = h.used.Add(r.need)
	d.runs[r.task] = r
	if r.unit != nil {
		r.unit.held[h.machine.ID]++
	}
	return r
}

// addBeside takes room for an attempt that is not its task's newest. It stands
// for the task while there is no other.
func (d *Dispatcher) addBeside(now modeler.ClockReading, h *host, task modeler.FlowTask, attempt modeler.Attempt, p phase) *run {
	other := d.runs[task]
	start := modeler.FlowStart{Task: task, Attempt: attempt, Worker: h.machine.ID, Generation: h.machine.Generation}
	r := d.addRun(now, start, h, p)
	if other != nil {
		d.runs[task] = other
	} else if r.unit != nil {
		r.unit.refresh()
	}
	return r
}

// addStray stops an attempt that has ended as far as is known.
func (d *Dispatcher) addStray(now modeler.ClockReading, h *host, task modeler.FlowTask, attempt modeler.Attempt, why string) {
	if h.runs[task] != nil {
		return
	}
	r := d.addBeside(now, h, task, attempt, running)
	r.stray = true
	d.stop(now, r, why)
}

// drop frees the room of an attempt.
func (d *Dispatcher) drop(r *run) {
	if r.host.runs[r.task] == r {
		delete(r.host.runs, r.task)
		r.host.used = r.host.used.Sub(r.need)
		if r.unit != nil {
			r.unit.held[r.host.machine.ID]--
		}
	}
	if d.runs[r.task] == r {
		delete(d.runs, r.task)
	}
	if r.abandoned {
		d.dropAbandoned(r)
	}
	if r.phase == committing {
		d.committing--
		if r.unit != nil {
			r.unit.refresh()
		}
	}
	d.changed = true
}

// move carries an attempt over to another generation of its worker.
func (d *Dispatcher) move(r *run, h *host) {
	delete(r.host.runs, r.task)
	r.host.used = r.host.used.Sub(r.need)
	// The name is the same, so the step's count stays.
	r.host = h
	r.seen = false
	h.runs[r.task] = r
	h.used = h.used.Add(r.need)
}

// end frees the room of an attempt of which nothing runs any more, and proposes
// its end unless that needs no entry.
func (d *Dispatcher) end(r *run, kind modeler.EndKind, saved modeler.Checkpoint) {
	if r.phase == ending {
		return
	}
	if saved == "" {
		saved = r.saved
	}
	d.drop(r)
	if !d.unrecorded(r, kind) {
		d.propose(r, kind, saved)
	}
	if (r.stray || r.abandoned) && r.unit != nil {
		r.unit.refresh()
	}
}

// unrecorded reports whether an end of the attempt needs no entry in the log:
// its task is done, or goes on without it.
func (d *Dispatcher) unrecorded(r *run, kind modeler.EndKind) bool {
	return r.stray || r.abandoned && !d.state.Counts(r.task, kind)
}

// propose has the end of an attempt committed. The attempt stands for its task
// until then if no other one does.
func (d *Dispatcher) propose(r *run, kind modeler.EndKind, saved modeler.Checkpoint) {
	r.phase = ending
	if d.runs[r.task] == nil {
		d.runs[r.task] = r
	} else {
		d.late[trial{r.task, r.attempt}] = r
	}
	d.out.Ends = append(d.out.Ends, modeler.FlowEnd{Task: r.task, Attempt: r.attempt, Kind: kind, Saved: saved})
}

// proposed returns the attempt whose end is proposed, or nil.
func (d *Dispatcher) proposed(task modeler.FlowTask, attempt modeler.Attempt) *run {
	if r := d.runs[task]; r != nil && r.attempt == attempt && r.phase == ending {
		return r
	}
	return d.late[trial{task, attempt}]
}

// Recorded says that ends were committed, or that they could not be proposed
// and are to be proposed again.
func (d *Dispatcher) Recorded(_ modeler.ClockReading, ends []modeler.FlowEnd, proposed bool) {
	if !proposed {
		d.out.Ends = append(ends, d.out.Ends...)
		return
	}
	for _, e := range ends {
		if r := d.proposed(e.Task, e.Attempt); r != nil {
			d.forget(r)
		}
	}
}

// forget drops an attempt whose end is committed. Once no listed end of a
// worker is left to commit, the next renewal acknowledges them all.
func (d *Dispatcher) forget(r *run) {
	if d.runs[r.task] == r {
		delete(d.runs, r.task)
	}
	// Two ends of one attempt may be under way: that it was given up, and how it
	// ended after all.
	if x := (trial{r.task, r.attempt}); d.late[x] == r {
		delete(d.late, x)
	}
	if !r.listed {
		return
	}
	r.host.ending--
	if r.host.ending == 0 {
		r.host.cursor = r.host.noted
	}
}

// started sends the start of a committed attempt.
func (d *Dispatcher) started(now modeler.ClockReading, start modeler.FlowStart) {
	r := d.runs[start.Task]
	if r == nil || r.attempt != start.Attempt || r.phase != committing {
		h := d.hosts[start.Worker]
		if h == nil {
			d.out.Ends = append(d.out.Ends, modeler.FlowEnd{Task: start.Task, Attempt: start.Attempt, Kind: modeler.EndUnstarted})
			return
		}
		// Committed by an earlier leader; whether it was sent is not known.
		r = d.addRun(now, start, h, restored)
		if h.known {
			d.stop(now, r, "committed by an earlier leader")
		}
		return
	}
	d.committing--
	r.phase = starting
	if r.unit != nil {
		r.unit.refresh()
	}
	switch h := r.host; {
	case r.void != nil:
		d.voided[r.task] = r.void
		d.end(r, modeler.EndUnstarted, "")
	case h.gone || d.hosts[h.machine.ID] != h || h.machine.Leaving:
		d.end(r, modeler.EndUnstarted, "")
	case r.unit == nil || !r.unit.flow.Placed(r.task):
		d.end(r, modeler.EndUnstarted, "")
	default:
		d.sendStart(now, r)
	}
}

func (d *Dispatcher) sendStart(now modeler.ClockReading, r *run) {
	f, found := d.state.Flow(r.task.Flow)
	if !found || f.Over() {
		return
	}
	h := r.host
	r.sent = now
	if r.tries == 0 {
		r.began = now
	}
	r.tries++
	d.send(modeler.Order{
		Kind: modeler.StartOrder, Worker: h.machine.ID, Generation: h.machine.Generation, Address: h.machine.Address,
		Task: r.task, Attempt: r.attempt, Deadline: d.deadline(now, h),
		Spec: f.Spec.Spec, Saved: f.Task(r.task).Saved, Permit: r.permit, Repeated: r.tries > 1,
	})
	// The worker's lists are wanted soon, also if it had none to renew.
	h.renewAt = min(h.renewAt, now.Add(resend))
	if r.tries > 1 {
		h.doubtful = true
		d.logTask("task start repeated", r.task, r.attempt, h.machine.ID, "try", r.tries, "heard", now.Sub(h.heard).String())
	}
}

// confirm notes that the worker runs the attempt.
func (d *Dispatcher) confirm(now modeler.ClockReading, r *run) {
	r.joined = r.phase == restored
	r.phase = running
	r.began = now
	r.moved = now
	r.mark = r.percent
	r.markAt = now
}

// stop orders the end of an attempt.
func (d *Dispatcher) stop(now modeler.ClockReading, r *run, why string) {
	if r.phase == committing || r.phase == ending {
		return
	}
	if !r.stopping {
		d.logTask("task stop", r.task, r.attempt, r.host.machine.ID, "reason", why, "percent", r.percent, "heard", now.Sub(r.host.heard).String())
	}
	repeated := r.stopping
	r.stopping = true
	r.stopSent = now
	h := r.host
	d.send(modeler.Order{
		Kind: modeler.StopOrder, Worker: h.machine.ID, Generation: h.machine.Generation, Address: h.machine.Address,
		Task: r.task, Attempt: r.attempt, Repeated: repeated,
	})
}

// Answered takes the answer to a start, a stop or a throttling.
func (d *Dispatcher) Answered(now modeler.ClockReading, o modeler.Order, a modeler.OrderAnswer) {
	h := d.hosts[o.Worker]
	if h == nil || h.machine.Generation != o.Generation {
		return
	}
	if a.Clock != 0 {
		d.read(now, h, a)
	}
	r := h.runs[o.Task]
	if o.Kind == modeler.StartOrder && (a.Outcome == modeler.OrderUnanswered || a.Outcome == modeler.OrderCarrierLost) {
		h.doubts[trial{o.Task, o.Attempt}] = now
	}
	if a.Outcome != modeler.OrderAccepted && a.Outcome != modeler.OrderCarrierLost && (o.Kind == modeler.StartOrder || a.Outcome != modeler.OrderUnsent && a.Outcome != modeler.OrderUnanswered) {
		d.logTask("order not accepted", o.Task, o.Attempt, o.Worker, "order", o.Kind.String(), "fate", a.Outcome.String())
	}
	if a.Outcome == modeler.OrderWrongWorker && !h.gone {
		if r != nil && o.Kind == modeler.StartOrder && r.tries == 1 && r.phase == starting && r.attempt == o.Attempt {
			d.end(r, modeler.EndUnstarted, "")
		}
		d.lose(now, h, "another worker answers at its address")
		return
	}
	if r == nil || r.attempt != o.Attempt {
		return
	}
	switch o.Kind {
	case modeler.StartOrder:
		d.startAnswered(now, h, r, a)
	case modeler.StopOrder:
		if a.Outcome == modeler.OrderAccepted {
			r.stopped = max(r.stopped, a.Clock)
			h.renewAt = min(h.renewAt, now)
		}
	case modeler.ThrottleOrder:
		r.pacing = false
		if a.Outcome == modeler.OrderAccepted {
			r.share = o.Percent
			r.shareAt = now
		}
	}
}

func (d *Dispatcher) startAnswered(now modeler.ClockReading, h *host, r *run, a modeler.OrderAnswer) {
	if r.phase != starting {
		return
	}
	switch a.Outcome {
	case modeler.OrderAccepted:
		d.confirm(now, r)
		return
	case modeler.OrderSuperseded:
		// It has ended there, or was stopped; the next list tells.
		r.stopped = max(r.stopped, a.Clock)
		h.renewAt = min(h.renewAt, now)
		return
	case modeler.OrderUnanswered:
		if d.heardBy(now).Sub(h.heard) > freshFor {
			h.silent++
		}
		return
	case modeler.OrderStale, modeler.OrderCarrierLost:
		return
	case modeler.OrderWorkerFull:
		// The worker holds more than is known of it; the next list tells.
		d.distrustHost(now, h, "it has less room than expected")
		h.probing = false
	case modeler.OrderWorkerUnhealthy:
		d.distrustHost(now, h, "it refuses tasks")
	case modeler.OrderUnpermitted:
		if r.unit != nil {
			delete(r.unit.permits, h.machine.ID)
		}
	case modeler.OrderUnsent:
		h.silent++
	}
	if r.tries == 1 {
		// The only order was refused, so the attempt can't begin.
		d.end(r, modeler.EndUnstarted, "")
		return
	}
	d.stop(now, r, "a repeated start was refused")
}

// tickRun sends orders again and notices attempts that stand still.
func (d *Dispatcher) tickRun(now modeler.ClockReading, h *host, r *run) {
	switch {
	case h.gone || r.phase == committing || r.phase == ending:
	case r.stopping:
		if r.stopped == 0 && d.heardBy(now).Sub(r.stopSent) >= resend {
			d.stop(now, r, "")
		}
	case r.phase == starting && r.unit != nil && r.unit.step.Gang && d.heardBy(now).Sub(r.began) > d.settings.Gang/gangParts:
		d.stopGang(now, r.unit, r.attempt, "a member of the gang did not start")
	case r.phase == starting && h.silent > 0:
		// If it has restarted, its next generation would carry the start out.
	case r.phase == starting && d.heardBy(now).Sub(r.sent) >= resend:
		if r.abandoned || d.startHopeless(now, h, r) {
			d.stop(now, r, "the start got no answer")
			return
		}
		d.sendStart(now, r)
	case r.phase == running && d.stalled(now, r):
		d.distrustHost(now, h, "a task stands still there")
		d.stop(now, r, "it stands still")
	}
}

// startHopeless reports whether a start should be given up: its permit is
// old, its worker leaves, or the rest of its gang can't wait longer.
func (d *Dispatcher) startHopeless(now modeler.ClockReading, h *host, r *run) bool {
	if h.machine.Leaving || r.tries >= maxStarts {
		return true
	}
	return r.unit == nil
}

// gangParts is the part of the time that members of a gang wait for each other
// after which the others are stopped: stops need the rest.
const gangParts = 2

// maxStarts bounds the starts sent of one attempt: at least 1.2 s at one per
// resend, in which a sound worker has answered a renewal.
const maxStarts = 8

// stalled reports whether a task has made no progress for too long. Members
// of a gang wait for each other, and backfill for idle processors.
func (d *Dispatcher) stalled(now modeler.ClockReading, r *run) bool {
	if r.unit == nil || r.percent >= 100 || r.share < 100 || d.behind > 0 || now.Sub(r.host.heard) > freshFor {
		return false
	}
	step := r.unit.step
	if step.Gang || step.Backfill {
		return false
	}
	return now.Sub(r.moved) > stallAfter+r.unit.expected()/20
}

// ended follows a committed end.
func (d *Dispatcher) ended(now modeler.ClockReading, e modeler.FlowEnd) {
	r := d.proposed(e.Task, e.Attempt)
	if r == nil && d.runs[e.Task] != nil && d.runs[e.Task].attempt == e.Attempt {
		r = d.runs[e.Task]
		d.drop(r)
	}
	if r != nil {
		d.forget(r)
	}
	if e.Kind == modeler.EndDone {
		delete(d.voided, e.Task)
		d.stopCopies(now, e.Task)
	} else {
		d.logTask("task ended", e.Task, e.Attempt, workerOf(r), "end", e.Kind.String())
	}
	u := d.units[e.Task.StepKey()]
	if u == nil {
		return
	}
	if e.Kind == modeler.EndFailed && r != nil {
		u.avoid[e.Task.Index] = r.host.machine.ID
	}
	if e.Kind == modeler.EndDone && r != nil && r.began != 0 && !r.joined {
		d.learn(now, u, r)
	}
	u.refresh()
	if e.Kind == modeler.EndDone {
		d.release(now, u)
		return
	}
	if u.step.Gang {
		d.stopGang(now, u, e.Attempt, "another member of its gang has ended")
	}
}

// stopGang stops the other members of a gang that can't be complete.
func (d *Dispatcher) stopGang(now modeler.ClockReading, u *unit, attempt modeler.Attempt, why string) {
	for i := range u.step.Count {
		r := d.runs[u.task(modeler.TaskIndex(i))]
		if r != nil && r.attempt == attempt && !r.stopping {
			d.stop(now, r, why)
		}
	}
}

// logTask writes a line about one task.
func (d *Dispatcher) logTask(event string, task modeler.FlowTask, attempt modeler.Attempt, worker modeler.WorkerID, pairs ...any) {
	d.settings.Log(event, append([]any{
		"request", task.Flow, "occurrence", task.Occurrence, "step", task.Step, "task", task.Index, "attempt", attempt, "worker", worker,
	}, pairs...)...)
}

func workerOf(r *run) modeler.WorkerID {
	if r == nil {
		return ""
	}
	return r.host.machine.ID
}

// restore takes over what earlier leaders have committed of a flow.
func (d *Dispatcher) restore(now modeler.ClockReading, f *sequencer.Flow) {
	if !f.Over() {
		d.addFlow(now, f.Spec.ID)
	}
	if f.Occupied == 0 {
		return
	}
	for k := range f.Occurrences() {
		for s := range f.Spec.Steps {
			unit := modeler.StepKey{Flow: f.Spec.ID, Occurrence: modeler.Occurrence(k), Step: modeler.StepIndex(s)}
			for i, t := range f.StepTasks(unit) {
				if t.Worker != "" {
					d.restoreRun(now, f, t, modeler.FlowTask{Flow: unit.Flow, Occurrence: unit.Occurrence, Step: unit.Step, Index: modeler.TaskIndex(i)})
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
	r.saved = t.Saved
	if r.unit != nil {
		r.unit.refresh()
	}
	if t.Generation != h.machine.Generation || f.Over() || t.Phase == sequencer.Done {
		d.stop(now, r, "its flow is over or its worker has restarted")
	}
}
