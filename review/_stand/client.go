package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// queueHost is the host of all queues.
const queueHost = "queues.example"

// step is a step of a job, with the fields of the users' pages.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"mem_mb"`
	EstimatedMS  int    `json:"estimated_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	DataRack     string `json:"data_rack,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
}

// queue is a route of the configuration.
type queue struct {
	prefix, service    string
	priority, attempts int
}

// configure sends the configuration, as the operator does, until it is
// acknowledged.
func (c *cell) configure(version int, services []string, queues []queue) {
	var routes, names []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": "r" + strings.Trim(q.prefix, "/"), "host": queueHost, "path_prefix": q.prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 1200, "priority": q.priority, "service": q.service, "max_attempts": q.attempts, "slowdown_factor": 2.2,
		})
	}
	for _, name := range services {
		names = append(names, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"admission_check": false, "standby": false,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": names,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	c.run.require(err, "configuration")
	for try := 0; ; try++ {
		p := c.controls[try%len(c.controls)]
		status, _ := c.call("PUT", "http://"+p.at(controlPort)+"/-/config", "", string(text))
		if status == 200 {
			c.run.note("configuration %d acknowledged by %s", version, p.name)
			return
		}
		if try > 200 {
			c.run.cannot("the configuration is not acknowledged, last status %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// submit hands a job in, again after no answer or a refusal, until it is accepted.
func (c *cell) submit(prefix, id string, steps ...step) {
	if !c.trySubmit(prefix, id, 100, steps...) {
		c.run.cannot("job %s is not accepted", id)
	}
}

// trySubmit hands a job in, again after no answer or a refusal, and reports whether
// it is accepted.
func (c *cell) trySubmit(prefix, id string, tries int, steps ...step) bool {
	c.run.ledger.addJob(id, steps)
	text, err := json.Marshal(map[string]any{"spec": "spec of " + id, "steps": steps})
	c.run.require(err, "job")
	for try := range tries {
		p := c.entries[try%len(c.entries)]
		status, _ := c.call("POST", "http://"+p.at(frontPort)+prefix+id, queueHost, string(text))
		c.run.note("POST %s%s at %s -> %d", prefix, id, p.name, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, or "" without a proper answer.
func (c *cell) state(prefix, id string) string {
	for _, p := range c.entries {
		status, text := c.call("GET", "http://"+p.at(frontPort)+prefix+id, queueHost, "")
		var answer struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal([]byte(text), &answer) == nil {
			return answer.State
		}
	}
	return ""
}

// await waits until the condition holds, and reports whether it did in time.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }
