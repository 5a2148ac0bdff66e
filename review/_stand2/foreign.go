package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// foreignHeartbeat sends the heartbeats of another writer: an agent on a worker's machine,
// which names a service that no configuration names, and the machine's address.
func foreignHeartbeat(w *world) error {
	if err := w.startCluster(3, 2, layout(5, queue("/lasting/", 1, 2), queue("/short/", 0, 3))); err != nil {
		return err
	}
	if err := w.startWorkers(6, func(int) string { return "a" }); err != nil {
		return err
	}
	if err := w.submit("/lasting/00000000000000a1", `{"ms":300,"lasts":true}`, step(2, 2000, 1024, 500, map[string]any{"long_running": true})); err != nil {
		return err
	}
	name := "00000000000000a1.0.0.0"
	if !waitFor(5*time.Second, func() bool { return len(w.runningOn(name)) == 1 }) {
		return fmt.Errorf("the task did not start")
	}
	time.Sleep(3 * time.Second)
	host := w.runningOn(name)[0]
	born := time.Now()
	for i := range 4 {
		if !w.trouble {
			break
		}
		data, err := json.Marshal(map[string]any{
			"service": "metrics-agent", "address": host.address, "zone": "z-a", "version": "v1", "slots": 1, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": 1000, "mem_mb": 128, "gpu": 0}, "labels": []string{"agent", host.rack},
			"clock_ms": time.Since(born).Milliseconds(), "sequence": i + 1, "born": born.UnixMilli(),
		})
		if err != nil {
			return err
		}
		p := w.controls[i%len(w.controls)]
		status, _ := w.send(http.MethodPut, w.controlAddress(p), "/-/instances/agent-1", "", data)
		w.logf("another writer: heartbeat of agent-1 at %s -> %d", host.address, status)
		time.Sleep(beatInterval)
	}
	time.Sleep(8 * time.Second)
	return nil
}
