package dispatcher

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/profiler"
)

const (
	// clockDriftDivisor bounds how slow a worker's clock may run: by one part in
	// clockDriftDivisor, which is the 2% of the workers' contract.
	clockDriftDivisor = 50
	// leaseMargin covers the rounding of clocks to milliseconds.
	leaseMargin = 50 * time.Millisecond
	// maxRenewWait is the longest time that a worker holds a renewal open until a
	// task ends: a sixth of the usual lease, so that several renewals may be lost.
	// Small cells use shorter waits, down to usualRenewWait, as long as renewals
	// that return no end stay below usualRenewRate a second, since renewals also
	// report progress and reveal lost connections.
	maxRenewWait   = time.Second
	usualRenewWait = 500 * time.Millisecond
	usualRenewRate = 350
	// renewPause delays the next renewal after one that returned ends, so that ends
	// which occur close together are acknowledged together.
	renewPause = 25 * time.Millisecond
	// maxFirstRenewals bounds the first renewals in flight for each process that
	// sends them, so that the new leader of a large cell can use the first workers
	// while it still asks the others: 40 renewals take 30 ms of a small host's
	// processor.
	maxFirstRenewals = 40
	// idleRenewInterval is the time between renewals of a worker without tasks.
	idleRenewInterval = 2 * time.Second
	// lossyRenewWait replaces usualRenewWait for lossyPeriod after a renewal got no
	// answer: other renewals are then likely to be lost too, and each lost one
	// delays its worker's ends. The wait is longer in large cells, so that renewals
	// that return no end stay below lossyRenewRate a second, which takes a tenth of
	// a small core.
	lossyRenewWait = 200 * time.Millisecond
	lossyPeriod    = 5 * time.Second
	lossyRenewRate = 600
	// renewTimeout is how long the answer to a renewal may take beyond its wait,
	// and orderTimeout the same for all other orders. Both are many round trips.
	renewTimeout = 150 * time.Millisecond
	orderTimeout = 400 * time.Millisecond
	// renewRetryInterval is the time between renewals of a worker that doesn't
	// answer.
	renewRetryInterval = 100 * time.Millisecond
	// maxAnswerAge is the age of a worker's last answer above which it gets no
	// tasks: the longest duration of a renewal plus a round trip.
	maxAnswerAge = maxRenewWait + 500*time.Millisecond
	// maxAnnouncementAge is the age of a worker's last announcement above which it
	// counts as silent. Announcements come every 1.5 s.
	maxAnnouncementAge = 6 * time.Second
	// maxCursorAge is the age of a list from which the ends in it are acknowledged only once
	// the worker has listed again: it may have restarted and numbered its ends anew.
	maxCursorAge = 300 * time.Millisecond
	// endsAwaitPeriod is how long after its leases have expired the leader waits
	// for the list of a worker that still sends announcements. Tasks that were done
	// there before the leases expired would otherwise run again. It is also how long the
	// leader waits for the next part of a list.
	endsAwaitPeriod = 15 * time.Second
	// departureRetryInterval is the time between two attempts to record that a
	// worker has departed.
	departureRetryInterval = time.Second
)

// attemptID identifies one attempt of a task.
type attemptID struct {
	task    modeler.FlowTask
	attempt modeler.Attempt
}

// host is the leader's state of one generation of a worker.
type host struct {
	// worker is the worker's committed announcement.
	worker modeler.WorkerAnnouncement
	// fence is the fencing token of the orders to this generation. It is higher than
	// those of all orders that were sent to the worker's id before, so from the first
	// order on the worker refuses what arrives late.
	fence   modeler.FencingToken
	addedAt modeler.ClockReading
	// newerGeneration is the newest generation of the worker that has answered without
	// being announced, or 0.
	newerGeneration modeler.Generation
	// silence is what is recorded of the worker if it gives no answer.
	silence silence
	// claim is the newest announcement of a newer generation that no process has confirmed,
	// or nil.
	claim *claim
	// gone means that this generation has certainly ended.
	gone bool
	// clock is the latest known value of the worker's clock, received at clockAt.
	clock   modeler.WorkerClock
	clockAt modeler.ClockReading
	// hasAnswered means that the worker has answered a renewal of this term. From
	// then on it refuses orders of earlier leaders, and all that it runs is known.
	hasAnswered bool
	// hasListedAll means that the worker has listed all its ends to this leader, in one
	// answer or several.
	hasListedAll   bool
	renewalPending bool
	// inRenewQueue means that the host is in Dispatcher.renewQueue.
	inRenewQueue bool
	renewAt      modeler.ClockReading
	// leaseLimit is the latest lease deadline sent to the worker.
	leaseLimit modeler.WorkerClock
	// cursor is the number of the last committed end, and proposedCursor that of
	// the last proposed one.
	cursor         modeler.Sequence
	proposedCursor modeler.Sequence
	// listedAt is when the worker last answered a renewal, which tells its generation.
	listedAt modeler.ClockReading
	// acknowledgedCursor is the cursor that the worker has received.
	acknowledgedCursor modeler.Sequence
	// endsDeferred means that some listed ends were not processed, so that the
	// worker lists them again.
	endsDeferred bool
	// endsRemain means that the last list of ends may not have been complete.
	endsRemain bool
	// pendingEnds counts the listed ends that are proposed but not committed.
	pendingEnds int
	used        modeler.Resources
	// unsized counts the attempts of which it is not known what they use.
	unsized int
	runs    map[modeler.FlowTask]*run
	// reservations holds the room that is kept for waiting steps.
	reservations []*reservation
	// heardAt is when the worker's last answer arrived, and announcedAt its last
	// announcement.
	heardAt     modeler.ClockReading
	announcedAt modeler.ClockReading
	// unanswered counts the renewals and starts without an answer since the last
	// answered renewal.
	unanswered int
	// startRepeated means that a start was sent again and the worker hasn't
	// answered any order since.
	startRepeated bool
	// leaveAt is when a leaving worker will be gone.
	leaveAt modeler.ClockReading
	// departureSentAt is when the worker was last listed as departed, if it is gone.
	departureSentAt modeler.ClockReading
	health
	// openPermitRequests counts the open permit requests that name the worker.
	openPermitRequests int
	// roomSoon is what is likely to be free at some time before a permit that is
	// requested now expires.
	roomSoon modeler.Resources
	// urgentRoom is what is free or used by tasks that can be preempted for urgent ones,
	// as of the last tick and less what tasks that can't be preempted have taken since.
	urgentRoom modeler.Resources
	// speed is what is known of the worker's speed.
	speed *profiler.Worker
	// departures holds the last attempts that have ended there.
	departures departures
	// slowSeenAt holds when each slow task on the worker was last seen to be slow,
	// and slowedDown whether that task was faster before.
	slowSeenAt map[modeler.FlowTask]modeler.ClockReading
	slowedDown map[modeler.FlowTask]bool
	// slowRuns holds the attempts that are slow by the worker's last list.
	slowRuns []slowRun
}

// free returns the worker's unused resources.
func (h *host) free() modeler.Resources { return h.worker.Capacity.Sub(h.used) }

// estimatedClock estimates the worker's clock at now. The clock may run slow
// and show less.
func (h *host) estimatedClock(now modeler.ClockReading) modeler.WorkerClock {
	return h.clock.Add(now.Sub(h.clockAt))
}

// leasesExpireAt returns the reading from which no lease of the worker can be
// valid.
func (d *Dispatcher) leasesExpireAt(h *host) modeler.ClockReading {
	if !h.hasAnswered {
		// An earlier leader, or an order to an earlier generation, could grant leases
		// until this leader added the worker, if no earlier end is recorded.
		end := h.addedAt.Add(maxElapsed(d.settings.MaxLease) + leaseMargin)
		if h.silence.leasesOverAt != 0 {
			end = min(end, h.silence.leasesOverAt)
		}
		return end
	}
	if h.leaseLimit <= h.clock {
		return h.clockAt.Add(leaseMargin)
	}
	return h.clockAt.Add(maxElapsed(h.leaseLimit.Sub(h.clock)) + leaseMargin)
}

// maxElapsed returns the longest time that can pass while a worker's clock,
// which may run slow, advances by span.
func maxElapsed(span time.Duration) time.Duration { return span + span/(clockDriftDivisor-1) }

// updateWorker applies the committed announcement of a worker.
func (d *Dispatcher) updateWorker(now modeler.ClockReading, id modeler.WorkerID) {
	m, known := d.state.Workers()[id]
	h := d.hosts[id]
	switch {
	case !known:
		// A further change of the same entry tells that it has departed.
	case h == nil:
		fresh := d.addHost(now, m)
		d.settings.Log("worker known", "worker", id, "generation", m.Generation, "service", m.Service, "fence", fresh.fence)
	case h.worker.Generation != m.Generation:
		fresh := d.replaceHost(now, h, m)
		d.settings.Log("worker restarted", "worker", id, "generation", m.Generation, "fence", fresh.fence, "before", h.fence, "attempts", len(fresh.runs))
	default:
		leaves := m.Leaving && !h.worker.Leaving
		d.setAddress(h, h.worker.Address, m.Address)
		h.worker = m
		if leaves {
			d.settings.Log("worker leaves", "worker", id, "remaining", m.Remaining.String(), "attempts", len(h.runs))
			h.leaveAt = now.Add(m.Remaining)
			d.evacuate(now, h)
		}
	}
}

func (d *Dispatcher) addHost(now modeler.ClockReading, m modeler.WorkerAnnouncement) *host {
	h := &host{
		worker:      m,
		addedAt:     now,
		fence:       d.nextFence(),
		runs:        make(map[modeler.FlowTask]*run),
		slowSeenAt:  make(map[modeler.FlowTask]modeler.ClockReading),
		slowedDown:  make(map[modeler.FlowTask]bool),
		heardAt:     now,
		announcedAt: now,
		renewAt:     now,
		speed:       d.profiler.AddWorker(kindOf(&m)),
	}
	if m.Leaving {
		h.leaveAt = now.Add(m.Remaining)
	}
	d.removeHost(m.ID)
	d.hosts[m.ID] = h
	d.hostList = append(d.hostList, h)
	d.setAddress(h, "", m.Address)
	d.enqueueRenewal(h)
	return h
}

// nextFence returns a fencing token that is higher than those of all orders sent before.
// No order was sent in this term while the state is taken over.
func (d *Dispatcher) nextFence() modeler.FencingToken {
	if !d.restoring {
		d.registrations++
	}
	return modeler.NewFencingToken(d.term, d.registrations)
}

func (d *Dispatcher) removeHost(id modeler.WorkerID) {
	h := d.hosts[id]
	if h == nil {
		return
	}
	delete(d.hosts, id)
	d.profiler.RemoveWorker(h.speed)
	d.hostList = slices.DeleteFunc(d.hostList, func(other *host) bool { return other == h })
	d.setAddress(h, h.worker.Address, "")
}

// isCurrent reports whether the host is the newest known generation of its worker and has
// not certainly ended.
func (d *Dispatcher) isCurrent(h *host) bool { return !h.gone && d.hosts[h.worker.ID] == h }

// setAddress updates hostsAt when a host's address changes; an empty address
// means none.
func (d *Dispatcher) setAddress(h *host, from, to string) {
	if from == to {
		return
	}
	if from != "" {
		rest := slices.DeleteFunc(d.hostsAt[from], func(other *host) bool { return other == h })
		if len(rest) == 0 {
			delete(d.hostsAt, from)
		} else {
			d.hostsAt[from] = rest
		}
	}
	if to != "" {
		d.hostsAt[to] = append(d.hostsAt[to], h)
	}
}

// endOthersAtAddress ends the older workers at the address of one that has answered
// there, since only one process can listen at an address. An announcement alone shows
// nothing, as it may be of another writer.
func (d *Dispatcher) endOthersAtAddress(now modeler.ClockReading, h *host) {
	for _, other := range d.hostsAt[h.worker.Address] {
		if other.worker.Generation < h.worker.Generation {
			d.endWorker(now, other, "another worker answers at its address")
		}
	}
}

// replaceHost handles a new generation of a worker under the same id, and returns its
// host. The new generation may have carried out an order that got no answer before the
// first order with its own fencing token arrived there, so such an attempt ends only
// once the new generation has answered a stop of it.
func (d *Dispatcher) replaceHost(now modeler.ClockReading, old *host, m modeler.WorkerAnnouncement) *host {
	fresh := d.addHost(now, m)
	d.releaseHeldBack(old)
	for _, r := range old.runs {
		if r.phase == committing {
			d.removeRun(r)
			continue
		}
		hasEnded := r.phase == running && r.startsSent == 1 && r.seenRunning
		if hasEnded {
			d.endRun(r, modeler.EndLost, "")
			continue
		}
		d.moveRun(now, r, fresh)
		d.stopRun(now, r, "the worker has restarted")
	}
	return fresh
}

// handleDeparted removes a worker that has left permanently.
func (d *Dispatcher) handleDeparted(now modeler.ClockReading, id modeler.WorkerID) {
	h := d.hosts[id]
	if h == nil {
		return
	}
	d.settings.Log("worker departed", "worker", id, "attempts", len(h.runs))
	d.endWorker(now, h, "the worker has left")
	d.removeHost(id)
}

// endWorker ends all attempts of a worker that has certainly ended.
func (d *Dispatcher) endWorker(now modeler.ClockReading, h *host, why string) {
	if !h.gone {
		d.settings.Log("worker lost", "worker", h.worker.ID, "reason", why, "attempts", len(h.runs))
		d.listDeparture(now, h)
	}
	h.gone = true
	d.endRunsAsLost(h)
	d.releaseHeldBack(h)
}

// listDeparture lists a departed worker in the output, to be recorded.
func (d *Dispatcher) listDeparture(now modeler.ClockReading, h *host) {
	h.departureSentAt = now
	d.out.Departed = append(d.out.Departed, modeler.WorkerDeparture{Worker: h.worker.ID, Generation: h.worker.Generation})
}

func (d *Dispatcher) endRunsAsLost(h *host) {
	for _, r := range h.runs {
		if r.phase == committing {
			continue
		}
		d.endRun(r, modeler.EndLost, "")
	}
}

// usableBy reports whether the worker may get a task of the step now.
func (d *Dispatcher) usableBy(now modeler.ClockReading, u *unit, h *host) bool {
	return d.outOfService(now, h) == "" && d.mayPlace(now, u, h)
}

// unusable returns the reason why the worker gets no tasks now, or only some, or "".
func (d *Dispatcher) unusable(now modeler.ClockReading, h *host) string {
	switch reason := d.outOfService(now, h); {
	case reason != "":
		return reason
	case h.isQuarantined(now):
		return "it is distrusted"
	case h.probing && h.probes.count > 0:
		return "one task shows whether it has recovered"
	default:
		return ""
	}
}

// outOfService returns the reason why the worker gets no tasks of any step now, or "".
func (d *Dispatcher) outOfService(now modeler.ClockReading, h *host) string {
	switch {
	case h.gone:
		return "it has ended"
	case h.worker.Leaving:
		return "it leaves"
	case !h.hasAnswered:
		return "it has not answered this leader"
	case h.unanswered > 0, len(h.runs) > 0 && d.heardBy(now).Sub(h.heardAt) > maxAnswerAge:
		return "it does not answer"
	case h.silence.isRecorded:
		return "its return is not recorded"
	case h.startRepeated:
		return "a start had to be sent again"
	case d.heardBy(now).Sub(h.announcedAt) > maxAnnouncementAge:
		return "its announcements are missing"
	case h.unsized > 0:
		return "an attempt of unknown size ends there"
	default:
		return ""
	}
}

// enqueueRenewal adds a host without a renewal in flight to renewQueue.
func (d *Dispatcher) enqueueRenewal(h *host) {
	if !h.inRenewQueue {
		h.inRenewQueue = true
		d.renewQueue = append(d.renewQueue, h)
	}
}

// sendDueRenewals sends the renewals that are due.
func (d *Dispatcher) sendDueRenewals(now modeler.ClockReading) {
	rest := d.renewQueue[:0]
	for _, h := range d.renewQueue {
		d.sendRenewal(now, h)
		h.inRenewQueue = !h.renewalPending && d.isCurrent(h)
		if h.inRenewQueue {
			rest = append(rest, h)
		}
	}
	clear(d.renewQueue[len(rest):])
	d.renewQueue = rest
}

// sendRenewal sends a renewal if one is due and none is in flight. It waits
// until all listed ends are committed, so that the renewal acknowledges them.
func (d *Dispatcher) sendRenewal(now modeler.ClockReading, h *host) {
	if h.gone || h.renewalPending || now < h.renewAt || h.pendingEnds > 0 {
		return
	}
	o := modeler.Order{Kind: modeler.RenewOrder}
	confirmed := true
	if !h.hasAnswered && h.unanswered == 0 {
		if d.firstRenewals >= maxFirstRenewals*d.senders {
			return
		}
		d.firstRenewals++
		o.First = true
	}
	// A worker that doesn't answer may have restarted and numbered its ends anew,
	// so only ends from its last answer are acknowledged.
	if h.unanswered == 0 && h.cursor > h.acknowledgedCursor {
		confirmed = now.Sub(h.listedAt) <= maxCursorAge
		if confirmed {
			o.Cursor = h.cursor
		}
	}
	if h.hasAnswered && len(h.runs) > 0 && !h.silence.isRecorded {
		o.Deadline = d.leaseDeadline(now, h)
		// A worker that missed the last renewal answers at once, so that its return
		// is noticed early.
		if h.unanswered == 0 && confirmed {
			o.Wait = d.renewalWait(now)
		}
	}
	h.renewalPending = true
	d.send(h, o)
}

// renewalWait returns how long a worker may hold a renewal open until a task
// ends.
func (d *Dispatcher) renewalWait(now modeler.ClockReading) time.Duration {
	least, rate := usualRenewWait, usualRenewRate
	if now < d.lossyUntil {
		least, rate = lossyRenewWait, lossyRenewRate
	}
	return min(max(least, time.Duration(len(d.hosts))*time.Second/time.Duration(rate)), maxRenewWait)
}

// leaseDeadline returns the lease deadline for an order and records it. The
// lease of a worker that doesn't answer is not extended: the order may arrive
// late, and each extension would delay the moment from which the worker's tasks
// have certainly ended. Nor is that of a worker whose silence is recorded.
func (d *Dispatcher) leaseDeadline(now modeler.ClockReading, h *host) modeler.WorkerClock {
	if h.unanswered > 0 || h.silence.isRecorded {
		return h.leaseLimit
	}
	end := h.estimatedClock(now).Add(d.settings.MaxLease)
	h.leaseLimit = max(h.leaseLimit, end)
	return end
}

// HandleRenewalAnswer handles the answer to a renewal.
func (d *Dispatcher) HandleRenewalAnswer(now modeler.ClockReading, o modeler.Order, a modeler.OrderAnswer) {
	if o.First {
		d.firstRenewals--
	}
	h := d.hosts[o.Worker]
	if h == nil || d.handleClaimAnswer(now, h, o, a) || h.gone || h.worker.Generation != o.Generation {
		return
	}
	h.renewalPending = false
	d.enqueueRenewal(h)
	if a.Outcome == modeler.OrderWrongWorker || a.Outcome == modeler.OrderAccepted && a.Generation != 0 && a.Generation != o.Generation {
		// The attempts here end when a new generation's announcement is committed. One of an
		// earlier generation changes nothing: if such a process answers, this generation
		// departs once it is silent, and the other one can be announced.
		h.unanswered++
		h.renewAt = now.Add(renewRetryInterval)
		if a.Outcome == modeler.OrderAccepted && a.Generation < o.Generation && h.unanswered == 1 {
			d.settings.Log("worker answers as an earlier generation", "worker", o.Worker, "generation", a.Generation, "known", o.Generation)
		}
		if a.Generation > max(h.newerGeneration, o.Generation) {
			// Until then the new generation could carry out late orders to this one.
			h.newerGeneration = a.Generation
			h.fence = d.nextFence()
			h.renewAt = now
			d.settings.Log("worker answers as a newer generation", "worker", o.Worker, "generation", a.Generation, "known", o.Generation, "fence", h.fence)
		}
		if a.Outcome == modeler.OrderWrongWorker {
			d.endWorker(now, h, "another worker answers at its address")
		}
		return
	}
	if a.Outcome == modeler.OrderCarrierLost {
		h.renewAt = now
		return
	}
	if a.Outcome != modeler.OrderAccepted {
		h.unanswered++
		h.renewAt = now
		if h.unanswered > 1 {
			h.renewAt = now.Add(renewRetryInterval)
		}
		if h.unanswered == 1 {
			d.lossyUntil = now.Add(lossyPeriod)
			d.settings.Log("worker does not answer", "worker", o.Worker, "fate", a.Outcome.String(), "attempts", len(h.runs))
		}
		return
	}
	if h.unanswered > 0 {
		d.settings.Log("worker answers again", "worker", o.Worker, "failures", h.unanswered)
	}
	returns := h.silence.isRecorded && (h.unanswered > 0 || !h.hasAnswered)
	h.unanswered = 0
	h.acknowledgedCursor = max(h.acknowledgedCursor, o.Cursor)
	h.listedAt = now
	d.updateClock(now, h, a)
	d.reconcileLists(now, h, a)
	h.renewAt = now
	if returns {
		d.listReturn(now, h)
	}
	switch {
	case h.silence.isRecorded, h.pendingEnds > 0 || h.endsDeferred || h.endsRemain:
		h.renewAt = now.Add(renewPause)
	case h.cursor > h.acknowledgedCursor:
		// The list has confirmed the generation, so the next renewal acknowledges its ends.
	case len(h.runs) == 0:
		h.renewAt = now.Add(idleRenewInterval)
	}
	d.changed = true
}

// updateClock records the worker's clock from an answer.
func (d *Dispatcher) updateClock(now modeler.ClockReading, h *host, a modeler.OrderAnswer) {
	h.heardAt = now
	h.startRepeated = false
	if a.Clock > h.clock {
		h.clock = a.Clock
		h.clockAt = now
	}
}

// reconcileLists compares the attempts that a worker has listed with those that
// the leader expects there.
func (d *Dispatcher) reconcileLists(now modeler.ClockReading, h *host, a modeler.OrderAnswer) {
	first := !h.hasAnswered
	h.hasAnswered = true
	h.slowRuns = h.slowRuns[:0]
	if first {
		// An earlier leader may have granted a lease of this length.
		h.leaseLimit = a.Clock.Add(d.settings.MaxLease)
		d.endOthersAtAddress(now, h)
	}
	seen := make(map[modeler.FlowTask]modeler.Attempt, len(a.Running)+len(a.Ended))
	for i := range a.Running {
		e := &a.Running[i]
		seen[e.Task] = max(seen[e.Task], e.Attempt)
		d.noteBeginning(e.Task, e.Attempt, h.worker.ID)
		d.reconcileRunning(now, h, e)
	}
	d.handleSlowRuns(now, h)
	h.endsDeferred = false
	for i := range a.Ended {
		e := &a.Ended[i]
		seen[e.Task] = max(seen[e.Task], e.Attempt)
		d.noteBeginning(e.Task, e.Attempt, h.worker.ID)
		h.endsDeferred = h.endsDeferred || !d.reconcileEnd(now, h, e)
	}
	h.endsRemain = d.settings.MaxListedEnds > 0 && len(a.Ended) >= d.settings.MaxListedEnds
	if h.endsRemain {
		d.settings.Log("worker lists a part of its ends", "worker", h.worker.ID, "listed", len(a.Ended), "last", a.Ended[len(a.Ended)-1].Number, "attempts", len(h.runs))
	} else {
		d.endUnlisted(now, h, a.Clock, seen)
	}
	if first && h.worker.Leaving {
		// An earlier leader may have ended before its stops were sent.
		d.evacuate(now, h)
	}
	d.throttleBackfill(now, h)
}

// endUnlisted handles the attempts that the complete lists of a worker, made at the
// given clock, don't hold: seen has the newest attempt of each listed task. An attempt
// that an incomplete list does not hold may have ended, also as done.
func (d *Dispatcher) endUnlisted(now modeler.ClockReading, h *host, clock modeler.WorkerClock, seen map[modeler.FlowTask]modeler.Attempt) {
	first := !h.hasListedAll
	h.hasListedAll = true
	for task, r := range h.runs {
		if r.phase == committing || seen[task] >= r.attempt {
			continue
		}
		switch {
		case r.phase == restored && first:
			// The attempt was never started, or its start is still in flight.
			d.stopRun(now, r, "not listed by the worker")
		case r.stopAckClock > 0 && clock > r.stopAckClock:
			// The worker answered a stop before it made this list, so the attempt
			// can no longer begin.
			d.endRun(r, d.unlistedEnd(r), "")
		}
	}
}

// unlistedEnd returns how an attempt ended that its worker lists neither as running nor as
// ended: it was not started there, but may have run on an earlier generation.
func (d *Dispatcher) unlistedEnd(r *run) modeler.EndKind {
	if f, found := d.state.Flow(r.task.Flow); found {
		if t := f.Task(r.task); t != nil && t.Attempt == r.attempt && t.Generation != r.host.worker.Generation {
			return modeler.EndLost
		}
	}
	return modeler.EndUnstarted
}

func (d *Dispatcher) reconcileRunning(now modeler.ClockReading, h *host, e *modeler.RunningAttempt) {
	r := h.runs[e.Task]
	if r == nil && d.state.OlderAttemptMayComplete(e.Task) {
		r = d.adoptAbandoned(now, h, e.Task, e.Attempt)
	}
	if r == nil {
		d.stopOrphan(now, h, e.Task, e.Attempt, "nobody waits for it")
		return
	}
	if r.attempt != e.Attempt {
		d.send(h, modeler.Order{Kind: modeler.StopOrder, Task: e.Task, Attempt: e.Attempt})
		return
	}
	if r.phase == starting || r.phase == restored {
		d.markRunning(now, r)
	}
	r.seenRunning = true
	r.load = e.Load
	if e.Saved != "" && e.Saved != r.checkpoint {
		r.checkpoint = e.Saved
		r.checkpointAt = now
	}
	if e.Percent != r.percent {
		r.percent = e.Percent
		r.progressAt = now
	}
	d.reinstateAbandoned(r)
	d.checkProgress(now, h, r)
	d.observeWork(now, h, r)
}

// reconcileEnd proposes a listed end that was not proposed before. It returns
// false if the worker has to list the end, and those after it, again.
func (d *Dispatcher) reconcileEnd(now modeler.ClockReading, h *host, e *modeler.EndedAttempt) bool {
	if e.Number <= h.proposedCursor {
		return true
	}
	r := h.runs[e.Task]
	if r != nil && r.attempt != e.Attempt {
		r = nil
	}
	if r != nil && d.endNeedsNoEntry(r, e.Kind) {
		d.endRun(r, e.Kind, "")
		r = nil
	}
	if r == nil && e.Kind == modeler.EndDone && d.holdBackDone(h, e) {
		return false
	}
	h.proposedCursor = e.Number
	if r == nil && d.state.OlderEndCounts(e.Task, e.Kind) {
		r = &run{task: e.Task, attempt: e.Attempt, host: h, unit: d.units[e.Task.StepKey()], phase: running, abandoned: true}
	}
	if r == nil && d.heldBack[e.Task] == h {
		delete(d.heldBack, e.Task)
		if u := d.units[e.Task.StepKey()]; u != nil {
			u.updateWaiting(e.Task.Index)
		}
	}
	if r == nil || r.phase == committing {
		// No task depends on this end, so it is acknowledged without a log entry.
		if h.pendingEnds == 0 {
			h.cursor = h.proposedCursor
		}
		return true
	}
	d.recordOutcome(now, h, r, e.Kind)
	h.pendingEnds++
	r.endListed = true
	d.endRun(r, e.Kind, e.Saved)
	return true
}

// holdBackDone prevents a task from running again if an attempt that was given
// up turns out to be done. It returns true if the worker has to list the end
// again, once the entries that are now being committed are applied.
func (d *Dispatcher) holdBackDone(h *host, e *modeler.EndedAttempt) bool {
	if d.proposed(e.Task, e.Attempt) != nil {
		d.heldBack[e.Task] = h
		return true
	}
	newer := d.runs[e.Task]
	switch {
	case newer == nil:
		return false
	case newer.phase == committing && d.state.OlderEndCounts(e.Task, e.Kind):
		newer.supersededBy = h
		return true
	default:
		// The newer attempt was never sent, and its end is being committed.
		return newer.phase == ending && d.heldBack[e.Task] == h
	}
}

// releaseHeldBack allows tasks to start again that were held back because h had
// listed an earlier attempt as done. h can't list that end any more.
func (d *Dispatcher) releaseHeldBack(h *host) {
	for task, lister := range d.heldBack {
		if lister != h {
			continue
		}
		delete(d.heldBack, task)
		if u := d.units[task.StepKey()]; u != nil {
			u.updateWaiting(task.Index)
		}
	}
}

// countSentRuns counts the attempts whose start may have reached the worker.
func (h *host) countSentRuns() int {
	n := 0
	for _, r := range h.runs {
		if r.phase != committing {
			n++
		}
	}
	return n
}

// leasesExpired reports whether the attempts on a worker can be given up: no
// lease can still be valid, and no list of their ends is expected.
func (d *Dispatcher) leasesExpired(now modeler.ClockReading, h *host) bool {
	heard, end := d.heardBy(now), d.leasesExpireAt(h)
	if h.endsRemain && heard.Sub(h.heardAt) < endsAwaitPeriod {
		return false
	}
	return heard >= end && (heard.Sub(h.announcedAt) > maxAnnouncementAge || heard >= end.Add(endsAwaitPeriod))
}

// tickHost gives up the attempts of a worker whose leases have expired, and
// checks the timeouts of its other attempts.
func (d *Dispatcher) tickHost(now modeler.ClockReading, h *host) {
	if !h.gone && h.countSentRuns() > 0 && d.leasesExpired(now, h) {
		d.settings.Log("worker leases expired", "worker", h.worker.ID, "attempts", h.countSentRuns(), "heard", now.Sub(h.heardAt).String())
		d.endRunsAsLost(h)
	}
	if !h.gone && len(h.runs) == 0 && h.unanswered > 0 && d.heardBy(now).Sub(h.announcedAt) > maxAnnouncementAge {
		d.endWorker(now, h, "it is silent")
	}
	if h.gone && now.Sub(h.departureSentAt) > departureRetryInterval {
		// The departure was not recorded. Until it is, the announcements of the
		// worker change nothing.
		d.listDeparture(now, h)
	}
	d.askClaimant(now, h)
	d.tickSilence(now, h)
	for _, r := range h.runs {
		d.tickRun(now, h, r)
	}
}
