package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
)

// call sends one request of a client to an entry process and returns the status and the
// body, or 0 without an answer.
func (w *world) call(method, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	p := w.entries[rand.IntN(len(w.entries))]
	request, err := http.NewRequestWithContext(w.ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, frontendPort, path), bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Goldcreststack-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

// submit hands a job in, again after each attempt without success, and returns its id.
func (w *world) submit(job map[string]any, limit time.Duration) (string, bool) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	accepted := w.waitFor(limit, func() bool {
		status, _ := w.call(http.MethodPost, queuePrefix+id, job)
		w.note("client hands %s in: %d", id, status)
		if status < 200 || status > 299 {
			w.sleep(200 * time.Millisecond)
			return false
		}
		return true
	})
	return id, accepted
}

// state asks for the state of a job.
func (w *world) state(id string) string {
	status, body := w.call(http.MethodGet, queuePrefix+id, nil)
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &reply)
	if reply.State == "" {
		return fmt.Sprintf("status %d", status)
	}
	return reply.State
}

// configure sends a configuration until it is acknowledged.
func (w *world) configure(version, attempts int, limit time.Duration) bool {
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": queueHost, "path_prefix": queuePrefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 250,
			"priority": 0, "service": "svc", "max_attempts": attempts, "slowdown_factor": 1.5,
		}},
		"services": []map[string]any{{"name": "svc", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return w.waitFor(limit, func() bool {
		p := w.controls[rand.IntN(len(w.controls))]
		request, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/-/config", p.ip, controlPort), bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			w.sleep(100 * time.Millisecond)
			return false
		}
		_ = response.Body.Close()
		w.note("operator sends version %d to %s: %d", version, p.name, response.StatusCode)
		if response.StatusCode != http.StatusOK {
			w.sleep(100 * time.Millisecond)
		}
		return response.StatusCode == http.StatusOK
	})
}
