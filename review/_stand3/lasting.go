package main

import (
	"errors"
	"strings"
	"time"
)

const (
	// lostBefore is how long the worker is lost when the leader is killed, less than the
	// longest lease.
	lostBefore = 9 * time.Second
	// calmBefore and absentFor are the times of the rule: the 4 s before must be calm, and a
	// task that lasts must not be away for 3 s.
	calmBefore = 4 * time.Second
	absentFor  = 3 * time.Second
)

// playLasting: a task that lasts has no run. Its worker is lost for good, and the leading
// process is killed before the worker's lease is over; it is back a second later.
func playLasting(w *world) error {
	w.maxHold = 10000
	plan := func(string, int, string) (time.Duration, bool) { return longRun, false }
	if err := w.startSystem(3, 2); err != nil {
		return err
	}
	if err := w.startWorkers(12, plan); err != nil {
		return err
	}
	if !w.configure(1, 2, 10*time.Second) {
		return errors.New("no configuration was acknowledged")
	}
	w.sleep(4 * time.Second)
	id, ok := w.submit(map[string]any{"spec": "lasting", "steps": []map[string]any{{"count": 2, "cpu": 4000, "mem_mb": 1000, "estimated_ms": 300, "long_running": true, "anti_affinity": 1}}}, 5*time.Second)
	task := id + ".0.0.0"
	if !ok || !w.waitFor(5*time.Second, func() bool { return w.runs(task)[1] != nil && w.runs(id + ".0.0.1")[1] != nil }) {
		return errors.New("the job did not start")
	}
	w.sleep(2 * time.Second)
	if w.trouble {
		w.runs(task)[1].lose()
	}
	w.sleep(lostBefore)
	leader := w.leader()
	if leader == nil {
		return errors.New("no process leads")
	}
	killed := time.Now()
	if w.trouble {
		leader.kill()
	}
	calmFrom := killed.Add(restartDelay + calmBefore)
	var absentSince time.Time
	isBroken := false
	for time.Since(killed) < 25*time.Second && w.sleep(20*time.Millisecond) {
		now := time.Now()
		switch {
		case len(w.runs(task)) > 0:
			if !absentSince.IsZero() {
				w.note("task %s has a run again %.2f s after the kill, away for %.2f s of calm", task, now.Sub(killed).Seconds(), now.Sub(absentSince).Seconds())
				absentSince = time.Time{}
			}
		case now.Before(calmFrom):
		case absentSince.IsZero():
			absentSince = now
		case now.Sub(absentSince) > absentFor && !isBroken:
			isBroken = true
			w.breakRule("task %s, which lasts, had no run for 3 s after 4 s of calm, with eleven workers free", task)
		}
	}
	return nil
}

// leader returns the control process that began to lead last, by its log.
func (w *world) leader() *process {
	var last *process
	newest := ""
	for _, p := range w.controls {
		for _, line := range strings.Split(p.log(), "\n") {
			if !strings.Contains(line, `"leadership begins"`) {
				continue
			}
			if _, at, found := strings.Cut(line, `"time":"`); found && at > newest {
				newest, last = at, p
			}
		}
	}
	return last
}
