package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// playWriter: tasks run twice after one heartbeat of another writer. It names a service
// that no configuration names, and comes to the path of a worker that runs a job.
func playWriter(w *world) error {
	plan := func(string, int, string) (time.Duration, bool) { return 12 * time.Second, false }
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
	const tasks = 4
	id, ok := w.submit(map[string]any{"spec": "job", "steps": []map[string]any{{"count": tasks, "cpu": workerCPU / 4, "mem_mb": 1000, "estimated_ms": 12000}}}, 5*time.Second)
	if !ok || !w.waitFor(5*time.Second, func() bool { return len(w.runs(id+".0.0.3")) == 1 }) {
		return errors.New("the job did not start")
	}
	w.sleep(3 * time.Second)
	if w.trouble {
		for _, s := range w.runs(id + ".0.0.0") {
			if err := w.foreignHeartbeat(s); err != nil {
				return err
			}
		}
	}
	twice := map[string]bool{}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); w.sleep(10 * time.Millisecond) {
		for i := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			if found := w.runs(task); len(found) > 1 && !twice[task] {
				twice[task] = true
				for attempt, s := range found {
					w.note("task %s run %d is running on worker %s", task, attempt, s.id)
				}
				w.breakRule("two runs of task %s at the same time on workers that are up", task)
			}
		}
	}
	for _, s := range w.workers {
		s.mu.Lock()
		w.note("worker %s has got %d holds", s.id, s.holds)
		s.mu.Unlock()
	}
	return nil
}

// foreignHeartbeat sends one heartbeat of another writer under the id of a worker. Its
// service is not named in the configuration, and it has begun just now.
func (w *world) foreignHeartbeat(s *worker) error {
	body, _ := json.Marshal(map[string]any{
		"service": "monitor", "address": s.addr, "zone": "zone-a", "version": "v9", "slots": 1, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}, "labels": []string{}, "clock_ms": 10, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	client := &http.Client{Timeout: time.Second}
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/-/instances/%s", w.controls[0].ip, controlPort, s.id), bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	w.note("another writer sends a heartbeat under the id %s: %s: %d %s", s.id, body, response.StatusCode, answer)
	return nil
}
