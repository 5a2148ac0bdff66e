package dispatcher

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// drift is the most by which a worker's clock may be slow: one part in
	// drift, from the workers' contract (2%).
	drift = 50
	// leaseMargin covers the rounding of clocks to milliseconds.
	leaseMargin = 50 * time.Millisecond
	// renewWait is the longest time that a renewal waits for an end: a sixth of
	// the usual lease, so that several renewals may be lost. Small cells use
	// shorter ones, down to calmWait, as long as renewals without an end are at
	// most calmRate a second: progress and lost renewals are noticed by them.
	renewWait = time.Second
	calmWait  = 500 * time.Millisecond
	calmRate  = 350
	// renewPause is the time between a renewal that brought ends and the next
	// one, so that ends which come close together share one.
	renewPause = 25 * time.Millisecond
	// meetAtOnce bounds the first renewals under way for each process that sends
	// them, so that a new leader of a large cell can use the first workers while
	// it asks the others: forty take a small host's processor for 30 ms.
	meetAtOnce = 40
	// idleRenew is the time between two renewals of a worker without tasks.
	idleRenew = 2 * time.Second
	// lossyWait replaces renewWait for lossyFor after a renewal got no answer:
	// others are likely to get none either, and each that gets none hides its
	// worker's ends. It is longer in large cells, so that renewals without an
	// end are at most lossyRate a second, a tenth of a small core's time.
	lossyWait = 200 * time.Millisecond
	lossyFor  = 5 * time.Second
	lossyRate = 600
	// renewTimeout is how long the answer to a renewal may take beyond its
	// wait, and orderTimeout that to any other order: many round trips.
	renewTimeout = 150 * time.Millisecond
	orderTimeout = 400 * time.Millisecond
	// retryRenew is the time between two renewals of a silent worker.
	retryRenew = 100 * time.Millisecond
	// freshFor is how recently a worker must have answered to get tasks: the
	// longest time of a renewal that is answered, and a round trip.
	freshFor = renewWait + 500*time.Millisecond
	// beatFor is how long the announcements of a worker may be missing before
	// it counts as silent; they come every 1.5 s.
	beatFor = 6 * time.Second
	// awaitFor is how long after the end of its leases the list of a worker is
	// awaited that still announces itself: what ended there in time is done,
	// and would be run again.
	awaitFor = 15 * time.Second
	// distrust is how long a worker gets no tasks after it failed those of
	// several flows, or let one stand still.
	distrust = 5 * time.Second
	// distrustMax bounds the time without tasks of a worker that goes on failing.
	distrustMax = 20 * time.Second
	// faultsToDistrust is the failures in a row, of different flows, that
	// speak against the worker: one task in 20 fails by itself.
	faultsToDistrust = 2
	// suspectShare is the largest part of the workers that may be distrusted;
	// beyond it the tasks are more likely to blame.
	suspectShare = 3
	// doubtFor is how long an order without an answer may be under way.
	doubtFor = 30 * time.Second
)

// trial names an attempt of a task.
type trial struct {
	task    modeler.FlowTask
	attempt modeler.Attempt
}

// host is what the leader knows of one generation of a worker.
type host struct {
	machine modeler.WorkerAnnouncement
	// gone means that the generation has ended for certain.
	gone bool
	// clock is the worker's clock, read at the latest at clockAt.
	clock   modeler.WorkerClock
	clockAt modeler.ClockReading
	// known means that the worker has answered a renewal of this term, so
	// orders of earlier leaders are refused and all attempts were listed.
	known    bool
	renewing bool
	// waits means that it stands among the hosts without a renewal.
	waits   bool
	renewAt modeler.ClockReading
	// limit is the highest lease end that was sent.
	limit modeler.WorkerClock
	// cursor is the last end that is committed, and noted the last proposed.
	cursor modeler.Sequence
	noted  modeler.Sequence
	// acknowledged is the cursor that the worker has confirmed.
	acknowledged modeler.Sequence
	// held means that ends were left to be listed again.
	held bool
	// ending counts the listed ends that are proposed but not committed.
	ending int
	used   modeler.Resources
	runs   map[modeler.FlowTask]*run
	heard  modeler.ClockReading
	beat   modeler.ClockReading
	silent int
	// doubtful means that a start had to be sent again and nothing was heard
	// since.
	doubtful bool
	leaveAt  modeler.ClockReading
	faults   int
	faultOf  modeler.FlowID
	distrust modeler.ClockReading
	span     time.Duration
	// probing means that one task shows whether a distrusted worker has
	// recovered.
	probing bool
	// doubts are starts without an answer; a new generation under the same
	// name could still carry them out.
	doubts map[trial]modeler.ClockReading
	// named counts the questions under way that name the worker.
	named int
	// speed is how fast it works.
	speed speed
	// slow holds when each task that is slow here was last seen so, and slowed
	// whether it was faster before.
	slow   map[modeler.FlowTask]modeler.ClockReading
	slowed map[modeler.FlowTask]bool
}

func (h *host) suspect(now modeler.ClockReading) bool { return now < h.distrust }

// room is what is free on the worker.
func (h *host) room() modeler.Resources { return h.machine.Capacity.Sub(h.used) }

// clockNow estimates the worker's clock; a slow clock shows less.
func (h *host) clockNow(now modeler.ClockReading) modeler.WorkerClock {
	return h.clock.Add(now.Sub(h.clockAt))
}

// lapse returns the reading from which no lease of the worker can be valid.
func (d *Dispatcher) lapse(h *host) modeler.ClockReading {
	if !h.known {
		// Earlier leaders could grant up to the end of their own lease, which
		// was before this term began.
		return d.began.Add(stretch(d.settings.Lease) + leaseMargin)
	}
	if h.limit <= h.clock {
		return h.clockAt.Add(leaseMargin)
	}
	return h.clockAt.Add(stretch(h.limit.Sub(h.clock)) + leaseMargin)
}

// stretch returns the longest time that passes while a slow clock shows span.
func stretch(span time.Duration) time.Duration { return span + span/(drift-1) }

// noteWorker follows the committed description of a worker.
func (d *Dispatcher) noteWorker(now modeler.ClockReading, id modeler.WorkerID) {
	m := d.state.Workers()[id]
	h := d.hosts[id]
	switch {
	case h == nil:
		d.addHost(now, m)
		d.settings.Log("worker known", "worker", id, "generation", m.Generation, "service", m.Service)
	case h.machine.Generation != m.Generation:
		d.settings.Log("worker restarted", "worker", id, "generation", m.Generation, "attempts", len(h.runs))
		d.replaceHost(now, h, m)
	default:
		leaves := m.Leaving && !h.machine.Leaving
		d.setAddress(h, h.machine.Address, m.Address)
		h.machine = m
		if leaves {
			d.settings.Log("worker leaves", "worker", id, "remaining", m.Remaining.String(), "attempts", len(h.runs))
			h.leaveAt = now.Add(m.Remaining)
			d.evacuate(now, h)
		}
	}
	d.endFormer(now, d.hosts[id])
}

func (d *Dispatcher) addHost(now modeler.ClockReading, m modeler.WorkerAnnouncement) *host {
	h := &host{
		machine: m,
		runs:    make(map[modeler.FlowTask]*run),
		doubts:  make(map[trial]modeler.ClockReading),
		slow:    make(map[modeler.FlowTask]modeler.ClockReading),
		slowed:  make(map[modeler.FlowTask]bool),
		heard:   now,
		beat:    now,
		renewAt: now,
	}
	if m.Leaving {
		h.leaveAt = now.Add(m.Remaining)
	}
	d.removeHost(m.ID)
	d.hosts[m.ID] = h
	d.list = append(d.list, h)
	d.setAddress(h, "", m.Address)
	d.wantRenewal(h)
	return h
}

func (d *Dispatcher) removeHost(id modeler.WorkerID) {
	h := d.hosts[id]
	if h == nil {
		return
	}
	delete(d.hosts, id)
	d.list = slices.DeleteFunc(d.list, func(other *host) bool { return other == h })
	d.setAddress(h, h.machine.Address, "")
}

// setAddress notes that a host's address has changed; empty means none.
func (d *Dispatcher) setAddress(h *host, from, to string) {
	if from == to {
		return
	}
	if from != "" {
		rest := slices.DeleteFunc(d.addresses[from], func(other *host) bool { return other == h })
		if len(rest) == 0 {
			delete(d.addresses, from)
		} else {
			d.addresses[from] = rest
		}
	}
	if to != "" {
		d.addresses[to] = append(d.addresses[to], h)
	}
}

// endFormer ends the workers that had the address of a host before: one
// process listens there at a time.
func (d *Dispatcher) endFormer(now modeler.ClockReading, h *host) {
	for _, other := range d.addresses[h.machine.Address] {
		switch {
		case other.machine.Generation < h.machine.Generation:
			d.lose(now, other, "another worker has its address")
		case other.machine.Generation > h.machine.Generation:
			d.lose(now, h, "another worker has its address")
		}
	}
}

// replaceHost handles a new generation under the same name. An order that got
// no answer could still be carried out by the new generation, so an attempt
// is over only once a stop of it was answered there.
func (d *Dispatcher) replaceHost(now modeler.ClockReading, old *host, m modeler.WorkerAnnouncement) {
	fresh := d.addHost(now, m)
	fresh.doubts = old.doubts
	d.unvoid(old)
	for _, r := range old.runs {
		if r.phase == committing {
			d.drop(r)
			continue
		}
		certain := r.phase == running && r.tries == 1 && r.seen
		if certain {
			d.end(r, modeler.EndLost, "")
			continue
		}
		d.move(r, fresh)
		d.stop(now, r, "the worker has restarted")
	}
	// The attempts that were moved are stopped already.
	for x, at := range fresh.doubts {
		if now.Sub(at) > doubtFor {
			delete(fresh.doubts, x)
			continue
		}
		d.addStray(now, fresh, x.task, x.attempt, "its start may come late")
	}
}

// departed forgets a worker that has left for good.
func (d *Dispatcher) departed(now modeler.ClockReading, id modeler.WorkerID) {
	h := d.hosts[id]
	if h == nil {
		return
	}
	d.settings.Log("worker departed", "worker", id, "attempts", len(h.runs))
	d.lose(now, h, "the worker has left")
	d.removeHost(id)
}

// lose ends all attempts of a worker that has ended for certain.
func (d *Dispatcher) lose(_ modeler.ClockReading, h *host, why string) {
	if !h.gone {
		d.settings.Log("worker lost", "worker", h.machine.ID, "reason", why, "attempts", len(h.runs))
		d.out.Departed = append(d.out.Departed, h.machine.ID)
	}
	h.gone = true
	d.loseRuns(h)
	d.unvoid(h)
}

func (d *Dispatcher) loseRuns(h *host) {
	for _, r := range h.runs {
		if r.phase == committing {
			continue
		}
		d.end(r, modeler.EndLost, "")
	}
}

// Announce notes that a worker has been heard from.
func (d *Dispatcher) Announce(now modeler.ClockReading, m *modeler.WorkerAnnouncement) {
	h := d.hosts[m.ID]
	if h == nil || h.machine.Generation != m.Generation {
		return
	}
	h.beat = now
	if m.Leaving && h.machine.Leaving {
		h.leaveAt = now.Add(m.Remaining)
	}
}

// Fresh reports whether the announcement tells nothing that is not committed.
func (d *Dispatcher) Fresh(m *modeler.WorkerAnnouncement) bool {
	held, known := d.state.Workers()[m.ID]
	if !known {
		return false
	}
	if m.Generation < held.Generation {
		// A late announcement of an earlier generation.
		return true
	}
	return held.Generation == m.Generation && held.Address == m.Address && held.Service == m.Service &&
		held.Capacity == m.Capacity && (held.Leaving || !m.Leaving)
}

// usable reports whether the worker may get tasks now.
func (d *Dispatcher) usable(now modeler.ClockReading, h *host) bool { return d.unusable(now, h) == "" }

// unusable returns why the worker gets no tasks now, or nothing.
func (d *Dispatcher) unusable(now modeler.ClockReading, h *host) string {
	switch {
	case h.gone:
		return "it has ended"
	case h.machine.Leaving:
		return "it leaves"
	case !h.known:
		return "it has not answered this leader"
	case h.silent > 0, len(h.runs) > 0 && d.heardBy(now).Sub(h.heard) > freshFor:
		return "it does not answer"
	case h.doubtful:
		return "a start had to be sent again"
	case d.heardBy(now).Sub(h.beat) > beatFor:
		return "its announcements are missing"
	case h.suspect(now):
		return "it is distrusted"
	case h.probing && len(h.runs) > 0:
		return "one task shows whether it has recovered"
	default:
		return ""
	}
}

// wantRenewal notes that a host has no renewal under way.
func (d *Dispatcher) wantRenewal(h *host) {
	if !h.waits {
		h.waits = true
		d.renewals = append(d.renewals, h)
	}
}

// renewAll sends the renewals that are due.
func (d *Dispatcher) renewAll(now modeler.ClockReading) {
	rest := d.renewals[:0]
	for _, h := range d.renewals {
		d.renew(now, h)
		h.waits = !h.renewing && !h.gone && d.hosts[h.machine.ID] == h
		if h.waits {
			rest = append(rest, h)
		}
	}
	clear(d.renewals[len(rest):])
	d.renewals = rest
}

// renew sends the next renewal to a worker whose last one was answered. Ends
// that are listed but not committed come first, so that the renewal
// acknowledges them.
func (d *Dispatcher) renew(now modeler.ClockReading, h *host) {
	if h.gone || h.renewing || now < h.renewAt || h.ending > 0 {
		return
	}
	o := modeler.Order{
		Kind:       modeler.RenewOrder,
		Worker:     h.machine.ID,
		Generation: h.machine.Generation,
		Address:    h.machine.Address,
	}
	if !h.known && h.silent == 0 {
		if d.meeting >= meetAtOnce*d.senders {
			return
		}
		d.meeting++
		o.First = true
	}
	// A worker that has not answered may have restarted, and its ends are then
	// numbered anew: only ends that its last answer listed are acknowledged.
	if h.silent == 0 && h.cursor > h.acknowledged {
		o.Cursor = h.cursor
	}
	if h.known && len(h.runs) > 0 {
		o.Deadline = d.deadline(now, h)
		// Whether a silent worker has come back is to be known at once.
		if h.silent == 0 {
			o.Wait = d.wait(now)
		}
	}
	h.renewing = true
	d.send(o)
}

// wait returns how long a renewal waits for an end.
func (d *Dispatcher) wait(now modeler.ClockReading) time.Duration {
	least, rate := calmWait, calmRate
	if now < d.lossy {
		least, rate = lossyWait, lossyRate
	}
	return min(max(least, time.Duration(len(d.hosts))*time.Second/time.Duration(rate)), renewWait)
}

// deadline returns the lease end for an order and remembers it. A worker that
// does not answer gets no longer lease: the order may arrive late, and each
// extension would put off the moment from which its tasks are certain to have
// ended.
func (d *Dispatcher) deadline(now modeler.ClockReading, h *host) modeler.WorkerClock {
	if h.silent > 0 {
		return h.limit
	}
	end := h.clockNow(now).Add(d.settings.Lease)
	h.limit = max(h.limit, end)
	return end
}

// Renewed takes the answer to a renewal that was sent at the given reading.
func (d *Dispatcher) Renewed(now modeler.ClockReading, o modeler.Order, a modeler.OrderAnswer) {
	if o.First {
		d.meeting--
	}
	h := d.hosts[o.Worker]
	if h == nil || h.gone || h.machine.Generation != o.Generation {
		return
	}
	h.renewing = false
	d.wantRenewal(h)
	if a.Outcome == modeler.OrderWrongWorker || a.Outcome == modeler.OrderAccepted && a.Generation != 0 && a.Generation != o.Generation {
		if a.Outcome == modeler.OrderWrongWorker || a.Generation > o.Generation {
			// The announcement of the new generation ends what is left here.
			h.silent++
			h.renewAt = now.Add(retryRenew)
		}
		if a.Outcome == modeler.OrderWrongWorker {
			d.lose(now, h, "another worker answers at its address")
		}
		return
	}
	if a.Outcome == modeler.OrderCarrierLost {
		h.renewAt = now
		return
	}
	if a.Outcome != modeler.OrderAccepted {
		h.silent++
		h.renewAt = now
		if h.silent > 1 {
			h.renewAt = now.Add(retryRenew)
		}
		if h.silent == 1 {
			d.lossy = now.Add(lossyFor)
			d.settings.Log("worker does not answer", "worker", o.Worker, "fate", a.Outcome.String(), "attempts", len(h.runs))
		}
		return
	}
	if h.silent > 0 {
		d.settings.Log("worker answers again", "worker", o.Worker, "failures", h.silent)
	}
	h.silent = 0
	h.acknowledged = max(h.acknowledged, o.Cursor)
	d.read(now, h, a)
	d.listed(now, h, a)
	h.renewAt = now
	switch {
	case h.ending > 0 || h.held:
		h.renewAt = now.Add(renewPause)
	case len(h.runs) == 0:
		h.renewAt = now.Add(idleRenew)
	}
	d.changed = true
}

// read takes over the worker's clock.
func (d *Dispatcher) read(now modeler.ClockReading, h *host, a modeler.OrderAnswer) {
	h.heard = now
	h.doubtful = false
	if a.Clock > h.clock {
		h.clock = a.Clock
		h.clockAt = now
	}
}

// listed compares a worker's lists with what is known of its attempts.
func (d *Dispatcher) listed(now modeler.ClockReading, h *host, a modeler.OrderAnswer) {
	first := !h.known
	h.known = true
	if first {
		// An earlier leader may have granted as much.
		h.limit = a.Clock.Add(d.settings.Lease)
	}
	seen := make(map[modeler.FlowTask]modeler.Attempt, len(a.Running)+len(a.Ended))
	for i := range a.Running {
		e := &a.Running[i]
		seen[e.Task] = max(seen[e.Task], e.Attempt)
		d.listedRunning(now, h, e)
	}
	h.held = false
	for i := range a.Ended {
		e := &a.Ended[i]
		seen[e.Task] = max(seen[e.Task], e.Attempt)
		h.held = h.held || !d.listedEnd(now, h, e)
	}
	for task, r := range h.runs {
		if r.phase == committing || seen[task] >= r.attempt {
			continue
		}
		switch {
		case r.phase == restored && first:
			// It was not started, or its start is still under way.
			d.stop(now, r, "not listed by the worker")
		case r.stopped > 0 && a.Clock > r.stopped:
			// A stop of it was answered before the list was made, so it can
			// no longer begin.
			d.end(r, modeler.EndUnstarted, "")
		}
	}
	d.pace(now, h)
}

func (d *Dispatcher) listedRunning(now modeler.ClockReading, h *host, e *modeler.RunningAttempt) {
	r := h.runs[e.Task]
	if r == nil && d.state.Awaits(e.Task) {
		r = d.findAbandoned(now, h, e.Task, e.Attempt)
	}
	if r == nil {
		d.addStray(now, h, e.Task, e.Attempt, "nobody waits for it")
		return
	}
	if r.attempt != e.Attempt {
		d.send(modeler.Order{
			Kind: modeler.StopOrder, Worker: h.machine.ID, Generation: h.machine.Generation, Address: h.machine.Address,
			Task: e.Task, Attempt: e.Attempt,
		})
		return
	}
	if r.phase == starting || r.phase == restored {
		d.confirm(now, r)
	}
	r.seen = true
	r.load = e.Load
	if e.Saved != "" && e.Saved != r.saved {
		r.saved = e.Saved
		r.savedAt = now
	}
	if e.Percent != r.percent {
		r.percent = e.Percent
		r.moved = now
	}
	d.keepAbandoned(r)
	d.judgeProgress(now, h, r)
}

// listedEnd proposes an end that was not proposed before. It reports false if
// the end and those behind it are to be listed again.
func (d *Dispatcher) listedEnd(now modeler.ClockReading, h *host, e *modeler.EndedAttempt) bool {
	if e.Number <= h.noted {
		return true
	}
	r := h.runs[e.Task]
	if r != nil && r.attempt != e.Attempt {
		r = nil
	}
	if r != nil && d.unrecorded(r, e.Kind) {
		d.end(r, e.Kind, "")
		r = nil
	}
	if r == nil && e.Kind == modeler.EndDone && d.doneAfterAll(h, e) {
		return false
	}
	h.noted = e.Number
	if r == nil && d.state.Counts(e.Task, e.Kind) {
		r = &run{task: e.Task, attempt: e.Attempt, host: h, unit: d.units[e.Task.StepKey()], phase: running, abandoned: true}
	}
	if r == nil && d.voided[e.Task] == h {
		delete(d.voided, e.Task)
		if u := d.units[e.Task.StepKey()]; u != nil {
			u.refresh()
		}
	}
	if r == nil || r.phase == committing {
		// Nobody waits for it, so it is acknowledged without an entry.
		if h.ending == 0 {
			h.cursor = h.noted
		}
		return true
	}
	d.judge(now, h, r, e.Kind)
	h.ending++
	r.listed = true
	d.end(r, e.Kind, e.Saved)
	return true
}

// doneAfterAll keeps a task from being done again whose attempt was given up
// and turns out to be done. It reports true if the end is to be listed again,
// after the entries that are being committed.
func (d *Dispatcher) doneAfterAll(h *host, e *modeler.EndedAttempt) bool {
	if d.proposed(e.Task, e.Attempt) != nil {
		d.voided[e.Task] = h
		return true
	}
	newer := d.runs[e.Task]
	switch {
	case newer == nil:
		return false
	case newer.phase == committing && d.state.Counts(e.Task, e.Kind):
		newer.void = h
		return true
	default:
		// The end of the attempt that was not sent is being committed.
		return newer.phase == ending && d.voided[e.Task] == h
	}
}

// unvoid lets the tasks start again whose former attempts a worker has listed
// as done, since it can't list them any more.
func (d *Dispatcher) unvoid(h *host) {
	for task, lister := range d.voided {
		if lister != h {
			continue
		}
		delete(d.voided, task)
		if u := d.units[task.StepKey()]; u != nil {
			u.refresh()
		}
	}
}

// judge notes what an end says of the worker.
func (d *Dispatcher) judge(now modeler.ClockReading, h *host, r *run, kind modeler.EndKind) {
	switch kind {
	case modeler.EndDone:
		h.faults = 0
		h.span = 0
		h.probing = false
	case modeler.EndFailed:
		if h.faultOf != r.task.Flow {
			h.faults++
		}
		h.faultOf = r.task.Flow
		if h.faults >= faultsToDistrust || h.probing {
			d.distrustHost(now, h, "it fails tasks of several flows")
		}
	}
}

func (d *Dispatcher) distrustHost(now modeler.ClockReading, h *host, why string) {
	if h.suspect(now) {
		return
	}
	suspects := 0
	for _, other := range d.list {
		if other.suspect(now) {
			suspects++
		}
	}
	if suspects*suspectShare >= len(d.hosts) {
		return
	}
	h.span = min(max(2*h.span, distrust), distrustMax)
	h.distrust = now.Add(h.span)
	h.probing = true
	d.settings.Log("worker distrusted", "worker", h.machine.ID, "reason", why, "for", h.span.String())
}

// sentRuns counts the attempts that the worker may know.
func (h *host) sentRuns() int {
	n := 0
	for _, r := range h.runs {
		if r.phase != committing {
			n++
		}
	}
	return n
}

// lapsed reports whether the attempts on a worker are to be given up: no lease
// can be valid any more, and nothing that would tell how they ended is on its
// way.
func (d *Dispatcher) lapsed(now modeler.ClockReading, h *host) bool {
	heard, end := d.heardBy(now), d.lapse(h)
	return heard >= end && (heard.Sub(h.beat) > beatFor || heard >= end.Add(awaitFor))
}

// tickHost ends the attempts of a worker whose leases have run out, and sends
// orders again that got no answer.
func (d *Dispatcher) tickHost(now modeler.ClockReading, h *host) {
	if !h.gone && h.sentRuns() > 0 && d.lapsed(now, h) {
		d.settings.Log("leases lapsed", "worker", h.machine.ID, "attempts", h.sentRuns(), "heard", now.Sub(h.heard).String())
		d.loseRuns(h)
	}
	if !h.gone && len(h.runs) == 0 && h.silent > 0 && d.heardBy(now).Sub(h.beat) > beatFor {
		d.lose(now, h, "it is silent")
	}
	for _, r := range h.runs {
		d.tickRun(now, h, r)
	}
}
