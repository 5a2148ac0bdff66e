package main

import (
	"fmt"
	"sync"
	"time"
)

// startWorkers starts n workers of kind "a", and returns them.
func (w *world) startWorkers(n int, kind func(i int) string) error {
	for i := range n {
		if err := w.newWorker(i+1, fmt.Sprintf("i-%08x", 0x1000+i), kind(i)).start(); err != nil {
			return err
		}
	}
	// All are known after a beat, and used once they have answered.
	time.Sleep(3 * time.Second)
	return nil
}

// lateStart holds one start on its way for 9 s. Its worker is replaced by a new life
// under the same id meanwhile, as planned work.
func lateStart(w *world) error {
	if err := w.startCluster(3, 2, layout(5, queue("/lasting/", 1, 2), queue("/short/", 0, 3))); err != nil {
		return err
	}
	if err := w.startWorkers(16, func(int) string { return "a" }); err != nil {
		return err
	}
	var mu sync.Mutex
	var held *worker
	var name string
	for _, s := range w.workers {
		s.hold = func(path string, o *order) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if path != "/-/run-start" || held != nil {
				return 0
			}
			held, name = s, o.Task
			if !w.trouble {
				return 0
			}
			return 9 * time.Second
		}
	}
	if err := w.submit("/lasting/00000000000000a1", `{"ms":300,"lasts":true}`, step(2, 2000, 1024, 500, map[string]any{"long_running": true})); err != nil {
		return err
	}
	for i := range 20 {
		if err := w.submit(fmt.Sprintf("/short/%016x", 0xb00+i), `{"ms":400}`, step(2, 1000, 256, 400, nil)); err != nil {
			return err
		}
	}
	if !waitFor(5*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return held != nil && len(w.runningOn(name)) > 0 }) {
		return fmt.Errorf("the task did not start")
	}
	held.leave(nil)
	time.Sleep(time.Second)
	if err := held.start(); err != nil {
		return err
	}
	if !waitFor(5*time.Second, func() bool { return len(w.runningOn(name)) > 0 }) {
		return fmt.Errorf("the task did not start again")
	}
	time.Sleep(14 * time.Second)
	return nil
}
