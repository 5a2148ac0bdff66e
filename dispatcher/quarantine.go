package dispatcher

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// quarantine is how long a worker gets no tasks after it failed tasks of
	// several flows, or after tasks on it stalled or were slow.
	quarantine = 5 * time.Second
	// maxQuarantine bounds the quarantine of a worker that keeps failing.
	maxQuarantine = 20 * time.Second
	// failuresToQuarantine is the number of failures in a row, each of another flow
	// than the one before, after which a worker is quarantined. It is above 1
	// because one task in 20 fails on its own.
	failuresToQuarantine = 2
	// quarantineDivisor bounds the quarantined workers of a service to one in
	// quarantineDivisor, unless nothing works on the service: tasks that fail on more
	// workers are more likely to be at fault themselves.
	quarantineDivisor = 3
	// probeTime is how long a task has to be at work to show that its worker is sound.
	// A task that lasts never ends as done.
	probeTime = time.Second
	// workingPeriod is how long after the start of its last task that was at work a
	// service counts as one that works.
	workingPeriod = 3 * time.Second
	// probeInterval is the least time from a failure on a quarantined worker to the next
	// task there, and of a step from one failed probe to its next.
	probeInterval = time.Second
	// lastAttemptDelay replaces probeInterval for a task that may fail only once more.
	// Other tasks probe the worker meanwhile.
	lastAttemptDelay = 3 * time.Second
	// lastResortDelay is how long a step waits for room on other workers before it
	// probes quarantined ones. If there are no others, it doesn't wait.
	lastResortDelay = time.Second
)

// health is what the leader concludes from the outcome of tasks on a worker. A worker
// that fails is quarantined. From then on it is probed: it gets one task at a time, or
// the members of one gang, until one of them has shown that the worker is sound. During
// its quarantine only steps that find no other worker probe it, so that steps whose
// workers were all quarantined go on soon after these have recovered.
type health struct {
	// failureStreak counts the failures in a row that were each of another flow
	// than the one before, which is lastFailedFlow.
	failureStreak  int
	lastFailedFlow modeler.FlowID
	// quarantineEnd is when the worker's quarantine ends, and quarantinePeriod how
	// long it lasts.
	quarantineEnd    modeler.ClockReading
	quarantinePeriod time.Duration
	// probing means that the worker was quarantined and has not been shown to be sound
	// since.
	probing bool
	// probes are the attempts that probe the worker, and backfillProbes those of
	// backfill, which may be throttled to a standstill: they keep no other step from
	// probing the worker.
	probes, backfillProbes probes
	// failedAt is when a task last failed, stalled or was slow there.
	failedAt modeler.ClockReading
}

// probes counts the attempts of one step that probe a worker.
type probes struct {
	count int
	step  modeler.StepKey
}

// admits reports whether a task of the step may be one of the probes.
func (p *probes) admits(u *unit) bool { return p.count == 0 || u.step.Gang && p.step == u.key }

// probesOf returns the probes that tasks of the step belong to.
func (h *health) probesOf(step *modeler.Step) *probes {
	if step.Backfill {
		return &h.backfillProbes
	}
	return &h.probes
}

func (h *health) isQuarantined(now modeler.ClockReading) bool { return now < h.quarantineEnd }

// serviceHealth is what the leader concludes about all workers of a service.
type serviceHealth struct {
	// workedAt is when the last task that was found to be at work was started.
	workedAt modeler.ClockReading
	// allFail means that it was logged that nothing works on the service.
	allFail bool
}

func (d *Dispatcher) serviceHealth(name modeler.ServiceName) *serviceHealth {
	s := d.services[name]
	if s == nil {
		s = &serviceHealth{}
		d.services[name] = s
	}
	return s
}

// mayPlace reports whether the worker's health allows it to get a task of the step now.
func (d *Dispatcher) mayPlace(now modeler.ClockReading, u *unit, h *host) bool {
	isQuarantined := h.isQuarantined(now)
	if !h.probing && !isQuarantined {
		return true
	}
	if !h.probesOf(u.step).admits(u) {
		return false
	}
	return !isQuarantined || u.isLastResort && now.Sub(max(h.failedAt, u.probeFailedAt)) >= probeInterval
}

// mayProbeWith reports whether the task may be used to probe a quarantined worker. A
// task that may fail only once more waits longer.
func (d *Dispatcher) mayProbeWith(now modeler.ClockReading, u *unit, index modeler.TaskIndex, h *host) bool {
	if !h.isQuarantined(now) || u.step.LongRunning || u.policy.Attempts == 0 {
		return true
	}
	failures := u.flow.Failures(u.task(index))
	return failures+1 < u.policy.Attempts || now.Sub(h.failedAt) >= lastAttemptDelay
}

// updateLastResort decides whether a step that has found no worker may probe
// quarantined ones.
func (d *Dispatcher) updateLastResort(now modeler.ClockReading, u *unit) {
	if u.lacksSince == 0 {
		u.lacksSince = now
	}
	u.isLastResort = now.Sub(u.lacksSince) >= lastResortDelay || !d.hasOtherWorker(now, u)
}

// hasOtherWorker reports whether the step may use a worker that is not quarantined,
// whether it has room or not.
func (d *Dispatcher) hasOtherWorker(now modeler.ClockReading, u *unit) bool {
	for _, h := range d.hostList {
		d.examined++
		if u.suits(h) && !u.denies(h) && !h.isQuarantined(now) && d.outOfService(now, h) == "" {
			return true
		}
	}
	return false
}

// addProbe counts an attempt as a probe if it is placed on a worker that needs one.
func (h *host) addProbe(now modeler.ClockReading, r *run) {
	if r.phase != committing || r.unit == nil || !h.probing && !h.isQuarantined(now) {
		return
	}
	r.probes = h.probesOf(r.unit.step)
	r.probes.count++
	r.probes.step = r.unit.key
}

// recordOutcome updates the worker's health after an attempt has ended there.
func (d *Dispatcher) recordOutcome(now modeler.ClockReading, h *host, r *run, kind modeler.EndKind) {
	switch kind {
	case modeler.EndDone:
		h.failureStreak = 0
		d.recordWork(now, h, r)
	case modeler.EndFailed:
		h.failedAt = now
		r.noteFailedProbe(now)
		if h.lastFailedFlow != r.task.Flow {
			h.failureStreak++
		}
		h.lastFailedFlow = r.task.Flow
		if h.failureStreak >= failuresToQuarantine || h.probing {
			d.quarantineHost(now, h, "it fails tasks of several flows")
		}
	}
}

// observeWork updates the worker's health from a running attempt: one that has been at
// work for probeTime counts like one that is done.
func (d *Dispatcher) observeWork(now modeler.ClockReading, h *host, r *run) {
	if r.phase != running || r.stopping || r.predatesLeader || now.Sub(r.startedAt) < probeTime {
		return
	}
	if r.percent == 0 || r.unit != nil && r.unit.step.LongRunning && r.percent < 100 {
		return
	}
	if at, isSlow := h.slowSeenAt[r.task]; isSlow && now.Sub(at) <= slowWindow {
		return
	}
	d.recordWork(now, h, r)
}

// recordWork records that an attempt is done or at work. That shows that a quarantined
// worker is sound only if the attempt was started after the worker had failed.
func (d *Dispatcher) recordWork(now modeler.ClockReading, h *host, r *run) {
	s := d.serviceHealth(h.worker.Service)
	s.workedAt = max(s.workedAt, r.startedAt)
	if s.allFail && s.workedAt > h.failedAt {
		s.allFail = false
		d.settings.Log("tasks of the service work again", "service", h.worker.Service, "worker", h.worker.ID)
	}
	if r.probes == nil {
		return
	}
	d.settings.Log("worker is sound again", "worker", h.worker.ID, "after", now.Sub(h.failedAt).String())
	h.endQuarantine()
	d.changed = true
}

// noteFailedProbe records that an attempt which probes its worker has failed.
func (r *run) noteFailedProbe(now modeler.ClockReading) {
	if r.probes != nil && r.unit != nil {
		r.unit.probeFailedAt = now
	}
}

// endQuarantine ends the quarantine and the probing of a worker. The attempts that
// probed it go on as others do.
func (h *host) endQuarantine() {
	for _, r := range h.runs {
		r.probes = nil
	}
	failedAt := h.failedAt
	h.health = health{failedAt: failedAt}
}

// quarantineHost puts a worker into quarantine, or back into it. Where nothing has
// worked on the service for some time, all of its workers may be quarantined.
func (d *Dispatcher) quarantineHost(now modeler.ClockReading, h *host, why string) {
	h.failedAt = now
	if !d.uses(Quarantine) {
		return
	}
	if h.isQuarantined(now) {
		h.quarantineEnd = now.Add(h.quarantinePeriod)
		return
	}
	quarantined, all := 0, 0
	for _, other := range d.hostList {
		if other.worker.Service != h.worker.Service {
			continue
		}
		all++
		if other.isQuarantined(now) {
			quarantined++
		}
	}
	s := d.serviceHealth(h.worker.Service)
	if quarantined*quarantineDivisor >= all && now.Sub(max(s.workedAt, d.termBegan)) < workingPeriod {
		return
	}
	h.quarantinePeriod = min(max(2*h.quarantinePeriod, quarantine), maxQuarantine)
	h.quarantineEnd = now.Add(h.quarantinePeriod)
	h.probing = true
	d.settings.Log("worker quarantined", "worker", h.worker.ID, "reason", why, "for", h.quarantinePeriod.String())
	if quarantined+1 == all && !s.allFail {
		s.allFail = true
		d.settings.Log("all workers of the service fail", "service", h.worker.Service, "workers", all, "reason", why)
	}
}
