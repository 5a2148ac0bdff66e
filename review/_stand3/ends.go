package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	endsWorkers = 12
	endsRounds  = 24
	longRun     = 100 * time.Second
	// unhealthyFor is how long a worker fails all that it runs.
	unhealthyFor = 500 * time.Millisecond
)

// playEnds: processes of the core end by themselves. In each round a job of two tasks
// whose copies are allowed runs on one worker. One task fails once by its own fault, the
// other takes long and is copied. Then the worker that has the second attempts of both
// becomes unhealthy and fails all that it runs.
func playEnds(w *world) error {
	plan := func(task string, attempt int, spec string) (time.Duration, bool) {
		switch {
		case spec == "pair" && strings.HasSuffix(task, ".1"):
			if attempt == 1 {
				return 400 * time.Millisecond, true
			}
			return 3 * time.Second, false
		case spec == "pair":
			return 7 * time.Second, false
		default:
			return longRun, false
		}
	}
	if err := w.startSystem(3, 2); err != nil {
		return err
	}
	if err := w.startWorkers(endsWorkers, plan); err != nil {
		return err
	}
	if !w.configure(1, 2, 10*time.Second) {
		return errors.New("no configuration was acknowledged")
	}
	w.sleep(4 * time.Second)
	// Ten workers are full of other work.
	filler, ok := w.submit(map[string]any{"spec": "other", "steps": []map[string]any{{"count": 10, "cpu": workerCPU, "mem_mb": 1000, "estimated_ms": 100000}}}, 5*time.Second)
	if !ok || !w.waitFor(5*time.Second, func() bool { return len(w.runs(filler+".0.0.9")) == 1 }) {
		return errors.New("the other work did not start")
	}
	// The other two run something small, so that they are asked for their lists all the time.
	small, ok := w.submit(map[string]any{"spec": "other", "steps": []map[string]any{{"count": 2, "cpu": 1000, "mem_mb": 1000, "estimated_ms": 100000, "anti_affinity": 1}}}, 5*time.Second)
	if !ok || !w.waitFor(5*time.Second, func() bool { return len(w.runs(small+".0.0.0"))+len(w.runs(small+".0.0.1")) == 2 }) {
		return errors.New("the small work did not start")
	}
	played := 0
	for round := range endsRounds {
		if w.ctx.Err() != nil || time.Since(w.begun) > 95*time.Second || w.machinesWithEnds() >= 2 {
			break
		}
		if w.round(round) {
			played++
		}
	}
	if played == 0 {
		return errors.New("no round could be played")
	}
	w.note("rounds played: %d", played)
	w.judgeEnds()
	return nil
}

// round plays one round and reports whether all of its events came about.
func (w *world) round(n int) bool {
	w.note("round %d", n)
	id, ok := w.submit(map[string]any{"spec": "pair", "steps": []map[string]any{{"count": 2, "cpu": workerCPU * 15 / 32, "mem_mb": 1000, "estimated_ms": 1000, "speculative": true}}}, 8*time.Second)
	if !ok {
		return false
	}
	first, second := id+".0.0.0", id+".0.0.1"
	together := func() *worker {
		for attempt, s := range w.runs(first) {
			if attempt > 1 && w.runs(second)[2] == s {
				return s
			}
		}
		return nil
	}
	if !w.waitFor(5*time.Second, func() bool { return together() != nil && w.runs(first)[1] != nil }) {
		w.note("the second attempts of both tasks did not run on one worker")
		w.call("DELETE", queuePrefix+id, nil)
		w.sleep(time.Second)
		return false
	}
	w.sleep(300 * time.Millisecond)
	if s := together(); w.trouble && s != nil {
		s.setUnhealthy(true)
		w.sleep(unhealthyFor)
		s.setUnhealthy(false)
	}
	over := w.waitFor(9*time.Second, func() bool {
		w.sleep(100 * time.Millisecond)
		state := w.state(id)
		return state == "failed" || state == "completed"
	})
	w.note("job %s is over: %v, %s", id, over, w.state(id))
	return true
}

// machinesWithEnds returns on how many machines processes have ended by themselves three
// times.
func (w *world) machinesWithEnds() int {
	n := 0
	for _, p := range append(append([]*process{}, w.controls...), w.entries...) {
		if p.ends() >= 3 {
			n++
		}
	}
	return n
}

// judgeEnds applies the rule Fault: on a tenth of the machines, two at least, processes
// end by themselves three times.
func (w *world) judgeEnds() {
	var counts []string
	for _, p := range append(append([]*process{}, w.controls...), w.entries...) {
		counts = append(counts, fmt.Sprintf("%s %d", p.name, p.ends()))
	}
	w.note("ends by themselves: %s", strings.Join(counts, ", "))
	if n := w.machinesWithEnds(); n >= 2 {
		w.breakRule("on %d of %d machines processes ended by themselves three times: %s", n, len(counts), strings.Join(counts, ", "))
	}
}
