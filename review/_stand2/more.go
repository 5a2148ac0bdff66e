package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// crashInStop crashes a worker while it stops the tasks of its planned end, and starts it
// again under the same id. The control processes were restarted in turn before, as
// planned work.
func crashInStop(w *world) error {
	if err := w.startCluster(3, 2, layout(5, queue("/lasting/", 1, 2), queue("/short/", 0, 3))); err != nil {
		return err
	}
	if err := w.startWorkers(16, func(int) string { return "a" }); err != nil {
		return err
	}
	if err := w.submit("/lasting/00000000000000a1", `{"ms":300,"lasts":true}`, step(2, 2000, 1024, 500, map[string]any{"long_running": true})); err != nil {
		return err
	}
	names := []string{"00000000000000a1.0.0.0", "00000000000000a1.0.0.1"}
	allRun := func() bool {
		for _, name := range names {
			if len(w.runningOn(name)) != 1 {
				return false
			}
		}
		return true
	}
	if !waitFor(5*time.Second, allRun) {
		return fmt.Errorf("the tasks did not start")
	}
	for _, p := range w.controls {
		if err := p.restart(500 * time.Millisecond); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
	}
	if !allRun() {
		return fmt.Errorf("the tasks do not run after the restart of the control processes")
	}
	// The worker has been up for a while, as workers usually have.
	if rest := 40*time.Second - time.Since(w.began); rest > 0 {
		time.Sleep(rest)
	}
	leaver := w.runningOn(names[0])[0]
	left := make(chan struct{})
	if w.trouble {
		leaver.crashAfterStop(left)
	}
	leaver.leave(left)
	if w.trouble {
		<-left
	}
	time.Sleep(time.Second)
	if err := leaver.start(); err != nil {
		return err
	}
	// A task that lasts has to run again 6 s after its last run; the rule allows 3 s
	// more without a run, and asks for 4 calm seconds before. Twice that is waited for.
	time.Sleep(6 * time.Second)
	for _, name := range names {
		since := time.Now()
		if !waitFor(20*time.Second, func() bool { return len(w.runningOn(name)) > 0 }) {
			w.breakRule("LOST: %s has had no run for %.0f s, with all workers idle", name, (time.Since(since) + 7*time.Second).Seconds())
		}
	}
	w.state("/lasting/00000000000000a1")
	return nil
}

// backfill lets the only worker with the label "b" fail all that it starts for a while.
// When it is sound again, a job of backfill that needs the label comes.
func backfill(w *world) error {
	if err := w.startCluster(3, 2, layout(5, queue("/batch/", 2, 2), queue("/short/", 0, 3))); err != nil {
		return err
	}
	const workers = 12
	kind := func(i int) string {
		if i == workers-1 {
			return "b"
		}
		return "a"
	}
	if err := w.startWorkers(workers, kind); err != nil {
		return err
	}
	special := w.workers[workers-1]
	special.setFailing(w.trouble)
	label := map[string]any{"requirements": "b"}
	for i := range 2 {
		if err := w.submit(fmt.Sprintf("/batch/%016x", 0xc00+i), `{"ms":300}`, step(1, 2000, 1024, 300, label)); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	special.setFailing(false)
	for i := range 2 {
		w.state(fmt.Sprintf("/batch/%016x", 0xc00+i))
	}
	// Other work goes on: one job each second, on any worker.
	end := time.Now().Add(12 * time.Second)
	traffic := make(chan struct{})
	go func() {
		defer close(traffic)
		for i := 0; time.Now().Before(end); i++ {
			time.Sleep(time.Second)
			_ = w.submit(fmt.Sprintf("/short/%016x", 0xd00+i), `{"ms":400}`, step(2, 1000, 256, 400, nil))
		}
	}()
	// The worker's quarantine is over.
	time.Sleep(8 * time.Second)
	fill := map[string]any{"requirements": "b", "fills": true}
	if err := w.submit("/batch/00000000000000f1", `{"ms":500}`, step(1, 2000, 1024, 500, fill)); err != nil {
		return err
	}
	accepted := time.Now()
	<-traffic
	w.logf("the traffic has ended")
	// finish_s, then 3 s in which nothing of the job runs, and as much again.
	task := "00000000000000f1.0.0.0"
	if !waitFor(14*time.Second+6*time.Second, func() bool { return w.hasStarted(task) }) {
		w.breakRule("LOST: %s has not been started %.0f s after its job was accepted, and all workers are idle", task, time.Since(accepted).Seconds())
	}
	time.Sleep(time.Second)
	w.state("/batch/00000000000000f1")
	return nil
}

// queueCount lets the only worker with the label "b" refuse starts for 6.5 s. Four jobs
// that need the label wait, and a caller asks how many wait.
func queueCount(w *world) error {
	if err := w.startCluster(3, 2, layout(5, queue("/batch/", 2, 2), queue("/lasting/", 1, 2))); err != nil {
		return err
	}
	const workers = 8
	kind := func(i int) string {
		if i == workers-1 {
			return "b"
		}
		return "a"
	}
	if err := w.startWorkers(workers, kind); err != nil {
		return err
	}
	special := w.workers[workers-1]
	label := map[string]any{"requirements": "b"}
	// A task that lasts is at work on the worker all the time.
	lasting := map[string]any{"requirements": "b", "long_running": true}
	if err := w.submit("/lasting/00000000000000a1", `{"ms":300,"lasts":true}`, step(1, 2000, 1024, 300, lasting)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		special.setShedding(true)
		time.AfterFunc(6500*time.Millisecond, func() { special.setShedding(false) })
	}
	var accepted []time.Time
	for i := range 4 {
		if err := w.submit(fmt.Sprintf("/batch/%016x", 0xc00+i), `{"ms":300}`, step(1, 2000, 1024, 300, label)); err != nil {
			return err
		}
		accepted = append(accepted, time.Now())
	}
	// visible_ms and 2 s after the acceptance of the last job.
	time.Sleep(time.Until(accepted[3].Add(5200 * time.Millisecond)))
	for range 4 {
		waiting := 0
		for i := range 4 {
			if !w.hasStarted(fmt.Sprintf("%016x.0.0.0", 0xc00+i)) {
				waiting++
			}
		}
		count := w.count("/batch/")
		w.logf("%d jobs have not begun, queued_count is %d", waiting, count)
		if count >= 0 && 2*count < waiting {
			w.breakRule("MIXED: queued_count is %d, and %d jobs that were accepted over 5 s ago have not begun", count, waiting)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for i := range 4 {
		isDone := func() bool {
			time.Sleep(300 * time.Millisecond)
			return w.state(fmt.Sprintf("/batch/%016x", 0xc00+i)) == "completed"
		}
		if !waitFor(20*time.Second, isDone) {
			return fmt.Errorf("a job was not completed")
		}
	}
	w.logf("the worker with the label got %d requests in its bad time and refused %d of them", special.requests, special.refused)
	return nil
}

// setShedding sets whether the worker refuses the starts that it gets.
func (s *worker) setShedding(sheds bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedding = sheds
	s.world.logf("worker %s refuses starts: %v", s.id, sheds)
}

// count asks for the number of waiting jobs of a queue, or -1 without an answer.
func (w *world) count(path string) int {
	p := w.entries[0]
	status, data := w.send(http.MethodGet, fmt.Sprintf("%s:%d", p.ip, w.port+1), path, callerHost, nil)
	var answer struct {
		Count *int `json:"queued_count"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &answer) != nil || answer.Count == nil {
		return -1
	}
	w.logf("client GET %s -> %s", path, data)
	return *answer.Count
}

// setFailing sets whether the worker fails all that it starts.
func (s *worker) setFailing(fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = fails
	s.world.logf("worker %s fails all that it starts: %v", s.id, fails)
}
