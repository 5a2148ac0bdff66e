package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

const (
	countJobs = 4
	// countAfter is visible_ms + 2 s, the age from which a job that has not begun counts.
	countAfter = 5 * time.Second
	countFor   = 12 * time.Second
)

// playCount: the number of queued jobs leaves out jobs that have not begun. A worker is
// lost for good, and jobs are handed in before the system can know.
func playCount(w *world) error {
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
	other, ok := w.submit(map[string]any{"spec": "other", "steps": []map[string]any{{"count": 11, "cpu": workerCPU, "mem_mb": 1000, "estimated_ms": 100000}}}, 5*time.Second)
	if !ok || !w.waitFor(5*time.Second, func() bool { return len(w.runs(other+".0.0.10")) == 1 }) {
		return errors.New("the other work did not start")
	}
	small, ok := w.submit(map[string]any{"spec": "other", "steps": []map[string]any{{"count": 1, "cpu": 100, "mem_mb": 100, "estimated_ms": 100000}}}, 5*time.Second)
	if !ok || !w.waitFor(5*time.Second, func() bool { return w.runs(small + ".0.0.0")[1] != nil }) {
		return errors.New("the small work did not start")
	}
	w.sleep(time.Second)
	if w.trouble {
		w.runs(small + ".0.0.0")[1].lose()
	}
	var jobs []string
	for range countJobs {
		id, ok := w.submit(map[string]any{"spec": "job", "steps": []map[string]any{{"count": 1, "cpu": 6000, "mem_mb": 1000, "estimated_ms": 100000}}}, 5*time.Second)
		if !ok {
			return errors.New("a job was not accepted")
		}
		jobs = append(jobs, id)
	}
	w.sleep(countAfter + 100*time.Millisecond)
	answers, wrong := 0, 0
	first, last := time.Time{}, time.Time{}
	for end := time.Now().Add(countFor); time.Now().Before(end); w.sleep(200 * time.Millisecond) {
		waiting := 0
		for _, id := range jobs {
			if !w.hasBegun(id + ".0.0.0") {
				waiting++
			}
		}
		status, body := w.call(http.MethodGet, queuePrefix, nil)
		var reply struct {
			Count int `json:"queued_count"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &reply) != nil {
			continue
		}
		answers++
		w.note("queued_count %d, jobs that have not begun %d", reply.Count, waiting)
		if 2*reply.Count < waiting {
			wrong++
			if first.IsZero() {
				first = time.Now()
			}
			last = time.Now()
		}
	}
	for _, id := range jobs {
		w.note("job %s is %s, begun %v", id, w.state(id), w.hasBegun(id+".0.0.0"))
	}
	if answers == 0 {
		return errors.New("no count was answered")
	}
	if wrong > 0 {
		w.breakRule("%d of %d answers, over %.1f s, gave a queued_count under half of the jobs that had not begun", wrong, answers, last.Sub(first).Seconds())
	}
	return nil
}
