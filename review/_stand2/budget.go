package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// budget lets the tail latency of two serving tasks be over their target for 4 s, as in
// a burst of users. Beside each of them runs one task of a step that lasts and fills, with
// a budget of one disruption. The filling tasks do nothing, so pacing them changes nothing.
func budget(w *world) error {
	if err := w.startCluster(3, 2, layout(5, queue("/serving/", 0, 2), queue("/lasting/", 1, 2))); err != nil {
		return err
	}
	const workers = 12
	kind := func(i int) string {
		if i >= workers-2 {
			return "b"
		}
		return "a"
	}
	if err := w.startWorkers(workers, kind); err != nil {
		return err
	}
	special := w.workers[workers-2:]
	var mu sync.Mutex
	const filling = "00000000000000f1"
	// away has the filling tasks that were at work and were ended by an order.
	away := make(map[string]bool)
	for _, s := range special {
		s.tail = 60
		s.ended = func(name string) {
			if !strings.HasPrefix(name, filling) {
				return
			}
			go func() {
				mu.Lock()
				defer mu.Unlock()
				for other := range away {
					if w.isAtWork(other) {
						delete(away, other)
					}
				}
				delete(away, name)
				if len(away) >= 1 {
					w.breakRule("AVAIL: a stop ends %s while %d other tasks of its step are away, and its budget is 1", name, len(away))
				}
				away[name] = true
			}()
		}
	}
	serving := map[string]any{"requirements": "b", "long_running": true, "anti_affinity": 1, "target_ms": 200, "image": "web"}
	if err := w.submit("/serving/00000000000000a1", `{"ms":300,"lasts":true,"serves":true}`, step(2, 4000, 1024, 300, serving)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	fill := map[string]any{"requirements": "b", "long_running": true, "anti_affinity": 1, "fills": true, "disruption_budget": 1, "image": "index"}
	if err := w.submit("/lasting/"+filling, `{"ms":500,"lasts":true}`, step(2, 2000, 1024, 500, fill)); err != nil {
		return err
	}
	names := []string{filling + ".0.0.0", filling + ".0.0.1"}
	if !waitFor(5*time.Second, func() bool { return w.isAtWork(names[0]) && w.isAtWork(names[1]) }) {
		return fmt.Errorf("the tasks are not at work")
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.setTail(special, 260)
		time.Sleep(4 * time.Second)
		w.setTail(special, 60)
	}
	time.Sleep(8 * time.Second)
	return nil
}

// setTail sets the tail latency of the serving tasks on some workers.
func (w *world) setTail(workers []*worker, tail int) {
	w.logf("the tail latency of the serving tasks is %d ms", tail)
	for _, s := range workers {
		s.mu.Lock()
		s.tail = tail
		s.mu.Unlock()
	}
}

// isAtWork reports whether a task that lasts is at work on some worker.
func (w *world) isAtWork(name string) bool {
	for _, s := range w.workers {
		s.mu.Lock()
		found := s.life != nil && s.life.running[name] != nil && s.life.running[name].isAtWork()
		s.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
