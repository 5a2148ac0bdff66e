package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// PermitMargin is subtracted from a permit's validity to cover the time from
	// the policy's answer to the start: one commit and two network trips.
	PermitMargin = 300 * time.Millisecond
	// minAsked and maxAsked bound the workers named in one permit request. The time
	// that callers allow for a request assumes at most 30.
	minAsked = 10
	maxAsked = 30
	// slowDecision is the decision time above which a permit request is slow, and
	// must leave some processes free for short requests.
	slowDecision = 100 * time.Millisecond
	// fastReserveDivisor sets the part of the links that slow requests must leave free
	// for fast ones: one link in fastReserveDivisor.
	fastReserveDivisor = 4
	// askRetryInterval is the time to the next permit request of a step after a
	// failed one.
	askRetryInterval = 100 * time.Millisecond
	// candidateSearchInterval is the time between searches for workers to ask
	// about. Each search examines all workers.
	candidateSearchInterval = 50 * time.Millisecond
	// permitHeadroom is the ratio between the capacity that a permit request aims
	// for and the capacity needed. It exceeds 1 since other tasks may take some of
	// it meanwhile.
	permitHeadroom = 1.3
	// fullWorkersPerTask is the number of permits per waiting task up to which a
	// request names workers without capacity that the step has not asked about.
	fullWorkersPerTask = 4
	// gatherDivisor sets how long a step that has been answered waits at most until its
	// next request names minAsked workers: one part in gatherDivisor of a permit's
	// validity.
	gatherDivisor = 5
	// maxGatherTime bounds that wait, since permits may be valid for minutes.
	maxGatherTime = time.Second
)

// learnRate is the weight of the newest observation in a running mean.
const learnRate = 0.1

// MaySendSlowRequest reports whether a request with a slow decision may take one of the
// free links.
func MaySendSlowRequest(free, links int) bool { return free > links/fastReserveDivisor }

// NextPermitRequest returns the next permit request for the outside policy, if there is
// one. It skips requests with a slow decision unless slow is set. Steps beyond the share of
// their account ask after the others, whatever their priority.
func (d *Dispatcher) NextPermitRequest(now modeler.ClockReading, slow bool) (modeler.PermitRequest, bool) {
	if d.uses(UsefulPermits) && d.hasBeyondShare {
		if ask, found := d.nextPermitRequest(now, slow, func(u *unit) bool { return !u.beyondShare }); found {
			return ask, true
		}
	}
	return d.nextPermitRequest(now, slow, func(*unit) bool { return true })
}

func (d *Dispatcher) nextPermitRequest(now modeler.ClockReading, slow bool, among func(*unit) bool) (modeler.PermitRequest, bool) {
	for _, u := range d.sortedUnits {
		if u.policy.Permits == nil || u.isAsking || now < u.nextAskAt || u.waiting.len() == 0 || u.waitsForQuota || !among(u) {
			continue
		}
		if !slow && u.policy.Permits.Decision > slowDecision {
			continue
		}
		if !(u.ready && (u.lacksWorkers || len(u.permits) == 0)) && !(u.isReadySoon && len(u.permits)+len(u.denied) == 0) {
			continue
		}
		if d.waitsForLeader(now, u) || u.sharesPace() && now.Add(requestBurst) < d.nextRequestAt {
			continue
		}
		names := d.chooseWorkersToAsk(now, u)
		if len(names) == 0 || d.shouldGather(now, u, names) {
			u.nextAskAt = now.Add(candidateSearchInterval)
			continue
		}
		d.markAsked(u, names)
		d.paceRequests(now, u)
		policy := u.policy.Permits
		within := policy.Decision + time.Duration(len(names))*policy.Worker
		return modeler.PermitRequest{Step: u.key, Workers: names, Timeout: within}, true
	}
	return modeler.PermitRequest{}, false
}

const (
	// requestIntervalDivisor sets the least time between two permit requests of a step: one
	// part in requestIntervalDivisor of the time that its callers allow beyond the run time.
	// With a policy that answers fast, steps that wait would otherwise ask for each worker
	// as its room becomes free.
	requestIntervalDivisor = 2
	// maxRequestInterval bounds that time. With permits that are valid for minutes, a
	// long-running task would miss room on a new worker within its 6 s.
	maxRequestInterval = 2 * time.Second
	// requestPause is the mean time between two requests of steps that share the pace:
	// each answer costs the leader a pass of the placement, and 50 answers a second leave
	// most of a small core to urgent steps. Requests of requestBurst may be sent at once.
	requestPause = 20 * time.Millisecond
	requestBurst = time.Second
)

// sharesPace reports whether the step's requests count for the pace of all steps that are
// not urgent. Long-running steps are too few to cost the leader much, and would wait longer
// than their 6 s behind many steps of more urgent queues.
func (u *unit) sharesPace() bool { return !u.isUrgent() && !u.step.LongRunning }

// paceRequests bounds how often a step, and all steps that share the pace, ask for permits.
func (d *Dispatcher) paceRequests(now modeler.ClockReading, u *unit) {
	if !d.uses(PaceRequests) {
		return
	}
	u.nextAskAt = now.Add(min(u.policy.Latency/requestIntervalDivisor, u.policy.Permits.Validity/requestIntervalDivisor, maxRequestInterval))
	if u.sharesPace() {
		d.nextRequestAt = max(d.nextRequestAt, now).Add(requestPause)
	}
}

// markAsked records that a permit request with the given workers is open.
func (d *Dispatcher) markAsked(u *unit, names []modeler.WorkerID) {
	u.isAsking = true
	u.askedWorkers = u.askedWorkers[:0]
	for _, id := range names {
		h := d.hosts[id]
		h.openPermitRequests++
		u.askedWorkers = append(u.askedWorkers, h)
	}
}

// clearAsked records that the unit's permit request is closed.
func (d *Dispatcher) clearAsked(u *unit) {
	if !u.isAsking {
		return
	}
	u.isAsking = false
	for _, h := range u.askedWorkers {
		h.openPermitRequests--
	}
}

// candidate is a worker that a permit request may name.
type candidate struct {
	host *host
	// tasks is how many tasks of the step the worker can take.
	tasks int
	// known means that the outside policy has allowed the worker before.
	known bool
	// penalty means that a task would run slowly there or disturb others.
	penalty bool
	// rating combines the worker's capacity and speed; higher is better.
	rating float64
}

// chooseWorkersToAsk returns the workers to name in a permit request: first
// those with capacity that were allowed before, then those not asked about yet,
// until the expected capacity suffices.
func (d *Dispatcher) chooseWorkersToAsk(now modeler.ClockReading, u *unit) []modeler.WorkerID {
	need := neededBy(u.step)
	best := make([]candidate, 0, maxAsked+1)
	for _, h := range d.hostList {
		if !d.canAsk(now, u, h) {
			continue
		}
		_, known := u.permits[h.worker.ID]
		tasks := d.taskCapacity(now, u, h, need)
		if tasks == 0 {
			continue
		}
		c := candidate{
			host: h, tasks: tasks, known: known,
			penalty: d.score(u, h) >= penalty,
			rating:  d.rating(u, h, tasks),
		}
		at, _ := slices.BinarySearchFunc(best, c, compareCandidates)
		if at < maxAsked {
			best = slices.Insert(best, at, c)
			best = best[:min(len(best), maxAsked)]
		}
	}
	share := d.queue(u.flow.Spec.Queue).allowed
	want := permitHeadroom * float64(u.waiting.len())
	var names []modeler.WorkerID
	expected := 0.0
	for _, c := range best {
		if expected >= want && (len(names) >= minAsked || best[0].known) {
			break
		}
		names = append(names, c.host.worker.ID)
		if c.known {
			expected += float64(c.tasks)
		} else {
			expected += share * min(float64(c.tasks), 2+want/4)
		}
	}
	if expected < want {
		names = d.addPreemptableWorkers(now, u, need, names)
		names = d.addFullWorkers(now, u, names, maxAsked, d.uses(UsefulPermits))
	}
	if d.uses(UsefulPermits) && len(names) > 0 && len(names) < minAsked && u.policy.Permits.Decision > slowDecision {
		names = d.addFullWorkers(now, u, names, minAsked, false)
	}
	return names
}

// addFullWorkers adds workers without capacity, so that the step holds permits for
// them when resources become free there. A request takes the policy hardly longer
// if it names more workers, and most of a second request. Each call begins with
// another worker, so that different steps wait for different workers. With soon set it
// leaves out workers that are likely to be full until the permit expires.
func (d *Dispatcher) addFullWorkers(now modeler.ClockReading, u *unit, names []modeler.WorkerID, most int, soon bool) []modeler.WorkerID {
	hasEnough := !d.uses(HoldPermits) || len(u.permits) >= fullWorkersPerTask*u.waiting.len()
	need := neededBy(u.step)
	for i := 0; i < len(d.hostList) && len(names) < most; i++ {
		d.searchStart = (d.searchStart + 1) % len(d.hostList)
		h := d.hostList[d.searchStart]
		if _, known := u.permits[h.worker.ID]; hasEnough && !known {
			continue
		}
		if soon && !fits(need, h.roomSoon) {
			continue
		}
		if d.canAsk(now, u, h) && !slices.Contains(names, h.worker.ID) {
			names = append(names, h.worker.ID)
		}
	}
	return names
}

// shouldGather reports whether a step that holds answers waits until its next request can
// name more workers: permits expire a few at a time, and each request costs the policy its
// decision and the leader two messages. Workers that have room for all waiting tasks are
// asked about at once, and any with room if the decision is short: urgent steps have them.
func (d *Dispatcher) shouldGather(now modeler.ClockReading, u *unit, names []modeler.WorkerID) bool {
	if !d.uses(UsefulPermits) || u.answeredAt == 0 || len(names) >= minAsked || now.Sub(u.answeredAt) >= min(u.policy.Permits.Validity/gatherDivisor, maxGatherTime) {
		return false
	}
	need, tasks := neededBy(u.step), 0
	for _, id := range names {
		tasks += d.taskCapacity(now, u, d.hosts[id], need)
	}
	if u.policy.Permits.Decision <= slowDecision {
		return tasks == 0
	}
	return tasks < u.waiting.len()
}

// updateRoomSoon updates which workers are likely to have room before a permit expires
// that is requested now. Permits of other workers expire unused, and on a full cell their
// requests delay the first requests of steps that could start.
func (d *Dispatcher) updateRoomSoon(now modeler.ClockReading) {
	validity := time.Duration(0)
	d.hasBeyondShare = false
	for _, u := range d.sortedUnits {
		if u.policy.Permits != nil && u.waiting.len() > 0 {
			validity = max(validity, u.policy.Permits.Validity)
			d.hasBeyondShare = d.hasBeyondShare || u.beyondShare
		}
	}
	if validity == 0 || !d.uses(UsefulPermits) {
		return
	}
	for _, h := range d.hostList {
		h.roomSoon = h.free()
		for _, r := range h.runs {
			if r.stopping || r.phase == ending || r.unit != nil && !r.unit.step.LongRunning && r.remainingTime(now) <= validity {
				h.roomSoon = h.roomSoon.Add(r.need)
			}
		}
	}
}

// canAsk reports whether a permit request for the step may name the worker.
func (d *Dispatcher) canAsk(now modeler.ClockReading, u *unit, h *host) bool {
	id := h.worker.ID
	if u.denies(h) || !u.suits(h) || !d.usableBy(now, u, h) {
		return false
	}
	lead := time.Duration(0)
	if d.uses(HoldPermits) {
		lead = renewalLead(u.policy.Permits)
	}
	p, known := u.permits[id]
	return !known || p.expiresAt <= now.Add(lead) || p.generation != h.worker.Generation
}

// denies reports whether the outside policy has denied this generation of the worker. The
// next one may be of another kind.
func (u *unit) denies(h *host) bool {
	generation, denied := u.denied[h.worker.ID]
	return denied && generation == h.worker.Generation
}

// renewalLead returns how long before its expiry a permit is renewed: the longest
// time of a request, so that a waiting step holds valid permits all the time.
func renewalLead(p *modeler.PermitPolicy) time.Duration {
	return min(p.Decision+maxAsked*p.Worker, (p.Validity-PermitMargin)/2)
}

// compareCandidates orders candidates by how useful it is to ask about them,
// the most useful first.
func compareCandidates(a, b candidate) int {
	if a.known != b.known && (a.tasks > 0) == (b.tasks > 0) {
		return trueFirst(a.known)
	}
	if a.penalty != b.penalty {
		return trueFirst(b.penalty)
	}
	return cmp.Or(-cmp.Compare(a.rating, b.rating), cmp.Compare(a.host.worker.ID, b.host.worker.ID))
}

// trueFirst compares two values that differ in a boolean property; has tells
// whether the first value has it.
func trueFirst(has bool) int {
	if has {
		return -1
	}
	return 1
}

// taskCapacity returns how many more tasks of the step the worker can take.
func (d *Dispatcher) taskCapacity(now modeler.ClockReading, u *unit, h *host, need modeler.Resources) int {
	free := d.roomFor(now, u, h)
	most := u.step.Count
	if u.step.PerWorker > 0 {
		most = min(most, u.step.PerWorker-u.runsOn[h.worker.ID])
	}
	return timesIn(need, free, most)
}

// HandlePermitAnswer handles the outside policy's answer to a permit request.
func (d *Dispatcher) HandlePermitAnswer(now modeler.ClockReading, a modeler.PermitAnswer) {
	u := d.units[a.Step]
	if u == nil {
		return
	}
	d.clearAsked(u)
	if a.Failed {
		u.nextAskAt = max(u.nextAskAt, now.Add(askRetryInterval))
		d.settings.Log("permit request failed", "request", a.Step.Flow, "step", a.Step.Step, "took", a.Elapsed.String())
		return
	}
	u.answeredAt = now
	validity := a.Validity
	if validity == 0 {
		validity = u.policy.Permits.Validity
	}
	newAnswers, allowed := 0, 0
	for _, h := range u.askedWorkers {
		id := h.worker.ID
		if _, known := u.permits[id]; !known {
			newAnswers++
		}
		at := slices.IndexFunc(a.Allowed, func(g modeler.PermitGrant) bool { return g.Worker == id })
		if !d.isCurrent(h) {
			// The answer is for a generation that has ended. If the worker comes back,
			// the policy is asked again.
			delete(u.permits, id)
			continue
		}
		if at < 0 {
			delete(u.permits, id)
			if u.denied == nil {
				u.denied = make(map[modeler.WorkerID]modeler.Generation)
			}
			u.denied[id] = h.worker.Generation
			continue
		}
		if _, known := u.permits[id]; !known {
			allowed++
		}
		if u.permits == nil {
			u.permits = make(map[modeler.WorkerID]permit)
		}
		u.permits[id] = permit{
			text:       a.Allowed[at].Permit,
			expiresAt:  now.Add(validity - PermitMargin),
			generation: h.worker.Generation,
		}
	}
	if newAnswers > 0 {
		q := d.queue(u.flow.Spec.Queue)
		q.allowed += learnRate * (float64(allowed)/float64(newAnswers) - q.allowed)
		q.allowed = max(q.allowed, learnRate)
	}
	u.lacksWorkers = false
	d.settings.Log("permit answer received", "request", a.Step.Flow, "step", a.Step.Step, "asked", len(u.askedWorkers), "allowed", len(a.Allowed), "took", a.Elapsed.String())
	d.changed = true
}
