package placer

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// quarantineShare bounds the quarantine to a tenth of the workers.
	quarantineShare = 10
	// trustedFailures is the number of failing workers up to which a job
	// may still be a witness against them; a job that fails on more has to
	// pass far more often than it fails.
	trustedFailures = 3
	trustedPasses   = 4
	// healthy is the time after which an earlier quarantine is forgotten.
	healthy = time.Hour
	// comparable is added to the run time after which an attempt failed;
	// attempts elsewhere that run for longer than that count as passed.
	comparable = time.Second
)

// health is the evidence against a worker and what follows from it.
type health struct {
	quarantined bool
	probing     bool
	proofs      int
	probe       *task
	until       modeler.ClockReading
	span        time.Duration
	left        modeler.ClockReading
	// strikes are failures of tasks of jobs that pass elsewhere, since the
	// worker's last success.
	strikes []modeler.TaskID
}

// evidence is what a job's attempts say about workers.
type evidence struct {
	failed  []*worker // workers where attempts failed, the last ones
	pending []failure
	good    [2]*worker // two workers where attempts passed
	fails   int
	passes  int
}

// failure is a failed attempt that nothing has passed elsewhere to compare
// with yet.
type failure struct {
	worker *worker
	task   modeler.TaskIndex
	ran    time.Duration
}

// open reports whether the worker's health lets it get a task now.
func (h *health) open() bool {
	if h.quarantined {
		return false
	}
	return !h.probing || h.probe == nil
}

// mayProbe reports whether tasks of the job may probe a worker that comes back
// from quarantine.
func (j *job) mayProbe() bool { return j.Kind != modeler.Gang && !j.Urgent }

func (p *Placer) noteProbe(w *worker, t *task) {
	if w.health.probing && w.health.probe == nil {
		w.health.probe = t
	}
}

// noteEnd takes the end of an attempt as evidence.
func (p *Placer) noteEnd(t *task, state modeler.TaskState) {
	switch state {
	case modeler.TaskFailed:
		p.noteFailure(t)
	case modeler.TaskDone:
		p.notePass(t)
	}
	if h := &t.worker.health; h.probe == t {
		h.probe = nil
	}
}

func (p *Placer) noteFailure(t *task) {
	j, w := t.job, t.worker
	e := &j.evidence
	e.fails++
	if !slices.Contains(e.failed, w) {
		e.failed = append(e.failed, w)
	}
	if len(e.failed) > maxAvoided {
		e.failed = e.failed[1:]
	}
	if w.health.probing && w.health.probe == t {
		p.quarantine(w)
		return
	}
	if e.passedBeside(w) {
		p.strike(j, w, t.index)
		return
	}
	e.pending = append(e.pending, failure{w, t.index, p.now.Sub(t.started)})
	if len(e.pending) > maxAvoided {
		e.pending = e.pending[1:]
	}
}

func (e *evidence) passedBeside(w *worker) bool {
	return e.good[0] != nil && e.good[0] != w || e.good[1] != nil
}

// notePass clears the worker and confirms the job's failures elsewhere.
func (p *Placer) notePass(t *task) {
	j, w := t.job, t.worker
	w.health.strikes = w.health.strikes[:0]
	j.evidence.pass(w)
	p.confirm(j, w, 0)
	if w.health.probe == t {
		p.proof(w)
	}
}

func (e *evidence) pass(w *worker) {
	e.passes++
	switch {
	case e.good[0] == nil:
		e.good[0] = w
	case e.good[0] != w:
		e.good[1] = w
	}
}

// confirm turns the job's pending failures into strikes against the workers
// other than w; ran is the run time of an attempt that is still running on w,
// 0 if it has passed.
func (p *Placer) confirm(j *job, w *worker, ran time.Duration) {
	kept := j.evidence.pending[:0]
	for _, f := range j.evidence.pending {
		if f.worker == w || ran > 0 && ran < f.ran+comparable {
			kept = append(kept, f)
			continue
		}
		p.strike(j, f.worker, f.task)
	}
	j.evidence.pending = kept
}

// strike counts a failure of a task whose job passes elsewhere. A job that
// fails on many workers is itself at fault and counts against none.
func (p *Placer) strike(j *job, w *worker, index modeler.TaskIndex) {
	e := &j.evidence
	if len(e.failed) > trustedFailures && e.passes < trustedPasses*e.fails {
		return
	}
	id := modeler.TaskID{Job: j.ID, Index: index}
	if slices.Contains(w.health.strikes, id) {
		return
	}
	w.health.strikes = append(w.health.strikes, id)
	if len(w.health.strikes) >= p.settings.Strikes && !w.health.quarantined && !w.health.probing {
		p.quarantine(w)
	}
}

// quarantine closes the worker to new tasks, unless that would close more than
// the share of the cell that may be in quarantine.
func (p *Placer) quarantine(w *worker) {
	h := &w.health
	if !h.probing && !p.mayQuarantine() {
		return
	}
	if !h.probing {
		p.impaired = append(p.impaired, w)
		if h.left != 0 && p.now.Sub(h.left) > healthy {
			h.span = 0
		}
	}
	h.span = min(max(2*h.span, p.settings.Quarantine), maxExpiry)
	h.until = p.now.Add(h.span)
	h.quarantined, h.probing = true, false
	h.proofs, h.probe = 0, nil
	p.recount(w)
}

func (p *Placer) mayQuarantine() bool {
	closed := 1
	for _, w := range p.impaired {
		if w.present {
			closed++
		}
	}
	return closed*quarantineShare <= p.present
}

// proof counts a probe that passed; enough of them open the worker fully.
func (p *Placer) proof(w *worker) {
	h := &w.health
	h.probe = nil
	h.proofs++
	if h.proofs >= p.settings.Probes {
		h.probing = false
		h.left = p.now
		h.strikes = h.strikes[:0]
	}
	p.recount(w)
}

// reviewHealth lets workers out of quarantine when their time is over.
func (p *Placer) reviewHealth() {
	kept := p.impaired[:0]
	for _, w := range p.impaired {
		h := &w.health
		switch {
		case h.quarantined && p.now >= h.until:
			p.startProbing(w)
		case h.probing && h.probe != nil && !h.probe.unknown && w.present && p.now.Sub(h.probe.started) >= p.settings.Probe:
			p.proof(w)
		}
		if h.quarantined || h.probing {
			kept = append(kept, w)
		}
	}
	p.impaired = kept
}

func (p *Placer) startProbing(w *worker) {
	h := &w.health
	h.quarantined, h.probing = false, true
	h.proofs, h.probe = 0, nil
	p.recount(w)
}

// restartHealth lets a worker that has restarted begin its probes at once.
func (p *Placer) restartHealth(w *worker) {
	w.health.strikes = w.health.strikes[:0]
	if w.health.quarantined {
		p.startProbing(w)
	}
}
