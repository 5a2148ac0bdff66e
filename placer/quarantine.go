package placer

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// quarantineDivisor bounds the workers in quarantine or probing to a tenth
	// of those that are present.
	quarantineDivisor = 10
	// maxTrustedFailures is the number of workers on which a job may fail
	// while its failures still count against workers. The failures of a job
	// that fails on more workers count only if its attempts pass at least
	// minPassRatio times as often as they fail.
	maxTrustedFailures = 3
	minPassRatio       = 4
	// quarantineMemory is the time after which an earlier quarantine no longer
	// lengthens the next one.
	quarantineMemory = time.Hour
	// runTimeMargin is added to the run time of a failed attempt. An attempt on
	// another worker that runs for longer than the sum counts as passed.
	runTimeMargin = time.Second
)

// health is the health state of a worker. A worker with too many failures is
// quarantined and gets no tasks. After its quarantine it is probing: it gets one
// task at a time until enough of them have passed.
type health struct {
	quarantined      bool
	probing          bool
	passedProbes     int
	probeTask        *task // nil if no probe task is placed
	quarantinedUntil modeler.ClockReading
	quarantineSpan   time.Duration        // duration of the last quarantine
	leftQuarantine   modeler.ClockReading // when probing last ended with success, 0 if never
	// failures lists the tasks that have failed on the worker since its last
	// success, and whose jobs pass on other workers.
	failures []modeler.TaskID
}

// evidence records on which workers a job's attempts failed and passed.
type evidence struct {
	// failedOn lists the last maxAvoided workers where attempts failed, or from
	// which the job was redirected.
	failedOn    []*worker
	unconfirmed []failure
	passedOn    [2]*worker // two different workers where attempts passed
	fails       int        // number of failed attempts
	passes      int        // number of passed attempts
}

// failure is a failed attempt. It is unconfirmed as long as no attempt of the
// job has passed on another worker.
type failure struct {
	worker  *worker
	task    modeler.TaskIndex
	runTime time.Duration
}

// acceptsTask reports whether the worker's health allows it to get a task now.
func (h *health) acceptsTask() bool {
	if h.quarantined {
		return false
	}
	return !h.probing || h.probeTask == nil
}

// mayProbe reports whether tasks of the job may be probe tasks on a worker that
// has left quarantine.
func (j *job) mayProbe() bool { return j.Kind != modeler.Gang && !j.Urgent }

// noteProbe records the task as the worker's probe task if the worker is probing
// and has none.
func (p *Placer) noteProbe(w *worker, t *task) {
	if w.health.probing && w.health.probeTask == nil {
		w.health.probeTask = t
	}
}

// noteEnd updates the health state of the worker and the evidence of the job
// when an attempt ends.
func (p *Placer) noteEnd(t *task, state modeler.TaskState) {
	switch state {
	case modeler.TaskFailed:
		p.noteFailure(t)
	case modeler.TaskDone:
		p.notePass(t)
	}
	if h := &t.worker.health; h.probeTask == t {
		h.probeTask = nil
	}
}

// noteFailure records a failed attempt. A failed probe quarantines the worker
// again; another failure counts against the worker if the job has passed on
// another worker, and stays unconfirmed otherwise.
func (p *Placer) noteFailure(t *task) {
	j, w := t.job, t.worker
	e := &j.evidence
	e.fails++
	if !slices.Contains(e.failedOn, w) {
		e.failedOn = append(e.failedOn, w)
	}
	if len(e.failedOn) > maxAvoided {
		e.failedOn = e.failedOn[1:]
	}
	if w.health.probing && w.health.probeTask == t {
		p.quarantine(w)
		return
	}
	if e.passedElsewhere(w) {
		p.countFailure(j, w, t.index)
		return
	}
	e.unconfirmed = append(e.unconfirmed, failure{w, t.index, p.now.Sub(t.started)})
	if len(e.unconfirmed) > maxAvoided {
		e.unconfirmed = e.unconfirmed[1:]
	}
}

// passedElsewhere reports whether an attempt of the job passed on another
// worker.
func (e *evidence) passedElsewhere(w *worker) bool {
	return e.passedOn[0] != nil && e.passedOn[0] != w || e.passedOn[1] != nil
}

// notePass records a passed attempt. It clears the worker's failures and
// confirms the job's failures on other workers.
func (p *Placer) notePass(t *task) {
	j, w := t.job, t.worker
	w.health.failures = w.health.failures[:0]
	j.evidence.addPass(w)
	p.confirmFailures(j, w, 0)
	if w.health.probeTask == t {
		p.notePassedProbe(w)
	}
}

// addPass records that an attempt passed on the worker.
func (e *evidence) addPass(w *worker) {
	e.passes++
	switch {
	case e.passedOn[0] == nil:
		e.passedOn[0] = w
	case e.passedOn[0] != w:
		e.passedOn[1] = w
	}
}

// confirmFailures counts the job's unconfirmed failures against their workers,
// other than w. An attempt on w has passed if runTime is 0; otherwise it is
// still running after runTime, which confirms only failures after a shorter run
// time.
func (p *Placer) confirmFailures(j *job, w *worker, runTime time.Duration) {
	kept := j.evidence.unconfirmed[:0]
	for _, f := range j.evidence.unconfirmed {
		if f.worker == w || runTime > 0 && runTime < f.runTime+runTimeMargin {
			kept = append(kept, f)
			continue
		}
		p.countFailure(j, f.worker, f.task)
	}
	j.evidence.unconfirmed = kept
}

// countFailure counts a failure of a task against the worker, and quarantines
// the worker at the limit. It ignores the failure if the job fails on many
// workers, since the cause is then the job itself, and counts each task once.
func (p *Placer) countFailure(j *job, w *worker, index modeler.TaskIndex) {
	e := &j.evidence
	if len(e.failedOn) > maxTrustedFailures && e.passes < minPassRatio*e.fails {
		return
	}
	id := modeler.TaskID{Job: j.ID, Index: index}
	if slices.Contains(w.health.failures, id) {
		return
	}
	w.health.failures = append(w.health.failures, id)
	if len(w.health.failures) >= p.settings.FailureLimit && !w.health.quarantined && !w.health.probing {
		p.quarantine(w)
	}
}

// quarantine puts the worker into quarantine. Unless the worker is probing, it
// does nothing if the cell already has as many workers in quarantine or probing
// as it may have.
func (p *Placer) quarantine(w *worker) {
	h := &w.health
	if !h.probing && !p.mayQuarantine() {
		return
	}
	if !h.probing {
		p.impaired = append(p.impaired, w)
		if h.leftQuarantine != 0 && p.now.Sub(h.leftQuarantine) > quarantineMemory {
			h.quarantineSpan = 0
		}
	}
	h.quarantineSpan = min(max(2*h.quarantineSpan, p.settings.QuarantineDuration), maxBackoff)
	h.quarantinedUntil = p.now.Add(h.quarantineSpan)
	h.quarantined, h.probing = true, false
	h.passedProbes, h.probeTask = 0, nil
	p.updateRoom(w)
}

// mayQuarantine reports whether one more worker may be quarantined.
func (p *Placer) mayQuarantine() bool {
	closed := 1
	for _, w := range p.impaired {
		if w.present {
			closed++
		}
	}
	return closed*quarantineDivisor <= p.present
}

// notePassedProbe counts a probe task that has passed. After enough of them the
// worker is healthy again and gets tasks without limit.
func (p *Placer) notePassedProbe(w *worker) {
	h := &w.health
	h.probeTask = nil
	h.passedProbes++
	if h.passedProbes >= p.settings.RequiredProbes {
		h.probing = false
		h.leftQuarantine = p.now
		h.failures = h.failures[:0]
	}
	p.updateRoom(w)
}

// reviewHealth starts probing workers whose quarantine is over, and counts probe
// tasks that have run for long enough as passed.
func (p *Placer) reviewHealth() {
	kept := p.impaired[:0]
	for _, w := range p.impaired {
		h := &w.health
		switch {
		case h.quarantined && p.now >= h.quarantinedUntil:
			p.startProbing(w)
		case h.probing && h.probeTask != nil && !h.probeTask.startUnknown && w.present && p.now.Sub(h.probeTask.started) >= p.settings.ProbeRunTime:
			p.notePassedProbe(w)
		}
		if h.quarantined || h.probing {
			kept = append(kept, w)
		}
	}
	p.impaired = kept
}

// startProbing moves the worker from quarantine to probing.
func (p *Placer) startProbing(w *worker) {
	h := &w.health
	h.quarantined, h.probing = false, true
	h.passedProbes, h.probeTask = 0, nil
	p.updateRoom(w)
}

// resetHealth clears the failures of a worker that has restarted. If it is in
// quarantine, its probing starts at once.
func (p *Placer) resetHealth(w *worker) {
	w.health.failures = w.health.failures[:0]
	if w.health.quarantined {
		p.startProbing(w)
	}
}
