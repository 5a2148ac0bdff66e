package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	stopTime          = 150 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	workerCPU         = 32000
	workerMemory      = 65536
)

// run is one run of a task on a worker.
type run struct {
	attempt int
	ends    time.Time
	began   time.Time
	length  time.Duration
	fails   bool
	stopped bool
	// lasts means that the task runs until it is stopped, and is at work after a short startup.
	lasts bool
}

type end struct {
	number  int
	task    string
	attempt int
	how     string
}

// worker is a stand-in of a worker, as PROTOCOL.md describes it.
type worker struct {
	world  *world
	id     string
	addr   string
	labels []string
	server *http.Server

	mu      sync.Mutex
	born    time.Time
	fence   uint64
	lease   int64
	number  int
	running map[string]*run
	ended   []end
	highest map[string]int
	wake    chan struct{}
	// lost means that the worker is gone without a trace.
	lost      bool
	unhealthy bool
	sequence  int
	holds     int
	next      string
}

// runPlan says how long a run takes and whether it fails by its own fault.
type runPlan func(task string, attempt int, spec string) (time.Duration, bool)

func (w *world) startWorkers(n int, plan runPlan) error {
	for i := range n {
		s := &worker{
			world: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: fmt.Sprintf("%s.%d:%d", w.network, 100+i, workerPort),
			labels: []string{"a", fmt.Sprintf("r1-%d", 1+i/6)}, born: time.Now(), running: map[string]*run{}, highest: map[string]int{}, wake: make(chan struct{}),
		}
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /-/run-start", func(rw http.ResponseWriter, r *http.Request) { s.serve(rw, r, plan, s.startRun) })
		mux.HandleFunc("POST /-/run-stop", func(rw http.ResponseWriter, r *http.Request) { s.serve(rw, r, plan, s.stopRun) })
		mux.HandleFunc("POST /-/hold", func(rw http.ResponseWriter, r *http.Request) { s.serve(rw, r, plan, s.hold) })
		mux.HandleFunc("GET /health", func(rw http.ResponseWriter, r *http.Request) {})
		s.server = &http.Server{Handler: mux}
		go func() { _ = s.server.Serve(listener) }()
		go s.work()
		go s.announce()
		w.workers = append(w.workers, s)
	}
	return nil
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Cursor   int    `json:"ack_cursor"`
	Wait     int    `json:"wait_ms"`
}

type answer struct {
	Clock   int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// clock is the worker's own steady clock.
func (s *worker) clock() int64 { return time.Since(s.born).Milliseconds() }

// isLost reports whether the worker is gone.
func (s *worker) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

func (s *worker) serve(rw http.ResponseWriter, r *http.Request, plan runPlan, do func(context.Context, *order, runPlan) (int, *answer)) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isLost() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Goldcreststack-Expected-Instance") != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.Unmarshal(data, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, a := do(r.Context(), &o, plan)
	if s.isLost() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(a)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}

// accept applies the fence and the lease of an order; the caller holds the lock.
func (s *worker) accept(o *order) (*answer, bool) {
	a := &answer{Clock: s.clock(), Born: s.born.UnixMilli()}
	if o.Fence < s.fence {
		a.Reason = "fence"
		return a, false
	}
	s.fence = o.Fence
	s.lease = max(s.lease, min(o.Deadline, s.clock()+s.world.maxHold))
	return a, true
}

func (s *worker) startRun(_ context.Context, o *order, plan runPlan) (int, *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accept(o)
	held := s.running[o.Task]
	switch {
	case !ok:
	case held != nil && held.attempt == o.Run:
		return http.StatusOK, a
	case held != nil || o.Run <= s.highest[o.Task]:
		a.Reason = "old"
	case o.Deadline < s.clock():
		a.Reason = "late"
	}
	if a.Reason != "" {
		s.world.note("worker %s refuses to start %s run %d: %s", s.id, o.Task, o.Run, a.Reason)
		return http.StatusConflict, a
	}
	length, fails := plan(o.Task, o.Run, o.Spec)
	if s.unhealthy {
		length, fails = 50*time.Millisecond, true
	}
	s.highest[o.Task] = o.Run
	now := time.Now()
	s.world.begin(o.Task)
	s.running[o.Task] = &run{attempt: o.Run, began: now, ends: now.Add(length), length: length, fails: fails, lasts: o.Spec == "lasting"}
	s.world.note("worker %s starts %s run %d", s.id, o.Task, o.Run)
	return http.StatusOK, a
}

func (s *worker) stopRun(_ context.Context, o *order, _ runPlan) (int, *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accept(o)
	if !ok {
		return http.StatusConflict, a
	}
	s.highest[o.Task] = max(s.highest[o.Task], o.Run)
	if t := s.running[o.Task]; t != nil && t.attempt <= o.Run && !t.stopped {
		t.stopped = true
		s.world.note("worker %s is to stop %s run %d", s.id, o.Task, t.attempt)
		time.AfterFunc(stopTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.running[o.Task] == t {
				s.endRun(o.Task, "stopped")
			}
		})
	}
	return http.StatusOK, a
}

func (s *worker) hold(ctx context.Context, o *order, _ runPlan) (int, *answer) {
	s.mu.Lock()
	s.holds++
	a, ok := s.accept(o)
	if !ok {
		s.mu.Unlock()
		return http.StatusConflict, a
	}
	for len(s.ended) > 0 && s.ended[0].number <= o.Cursor {
		s.ended = s.ended[1:]
	}
	if wake := s.wake; o.Wait > 0 && len(s.ended) == 0 {
		s.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	a.Clock, a.Running, a.Ended = s.clock(), [][]any{}, [][]any{}
	for name, t := range s.running {
		percent := min(int(100*time.Since(t.began)/max(t.length, 1)), 99)
		if t.lasts && time.Since(t.began) > 300*time.Millisecond {
			percent = 100
		}
		a.Running = append(a.Running, []any{name, t.attempt, "", percent, 0})
	}
	for _, e := range s.ended[:min(len(s.ended), 500)] {
		a.Ended = append(a.Ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, a
}

// endRun lists the end of a run; the caller holds the lock.
func (s *worker) endRun(task, how string) {
	t := s.running[task]
	delete(s.running, task)
	s.number++
	s.ended = append(s.ended, end{s.number, task, t.attempt, how})
	s.world.note("worker %s: %s run %d has ended: %s", s.id, task, t.attempt, how)
	close(s.wake)
	s.wake = make(chan struct{})
}

// setUnhealthy makes the worker fail all that it runs, in the order of the tasks' names,
// and all that it starts meanwhile.
func (s *worker) setUnhealthy(unhealthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.world.note("worker %s is unhealthy: %v", s.id, unhealthy)
	s.unhealthy = unhealthy
	if !unhealthy {
		return
	}
	var tasks []string
	for task, t := range s.running {
		if !t.stopped {
			tasks = append(tasks, task)
		}
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		s.endRun(task, "failed")
	}
}

// work ends the runs whose time is over, and all when the lease has expired.
func (s *worker) work() {
	for s.world.sleep(5 * time.Millisecond) {
		s.mu.Lock()
		for task, t := range s.running {
			switch {
			case s.clock() > s.lease:
				s.endRun(task, "lapsed")
			case time.Now().Before(t.ends) || t.stopped:
			case t.fails:
				s.endRun(task, "failed")
			default:
				s.endRun(task, "done")
			}
		}
		s.mu.Unlock()
	}
}

// announce sends the heartbeats.
func (s *worker) announce() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for s.world.ctx.Err() == nil {
		s.mu.Lock()
		s.sequence++
		silent := s.lost
		to := s.next
		body, _ := json.Marshal(map[string]any{
			"service": "svc", "address": s.addr, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0}, "labels": s.labels,
			"clock_ms": s.clock(), "sequence": s.sequence, "born": s.born.UnixMilli(),
		})
		s.mu.Unlock()
		wait := heartbeatInterval
		if !silent {
			if to == "" {
				p := s.world.controls[rand.IntN(len(s.world.controls))]
				to = fmt.Sprintf("%s:%d", p.ip, controlPort)
			}
			next := ""
			request, _ := http.NewRequest(http.MethodPut, "http://"+to+"/-/instances/"+s.id, bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/json")
			if response, err := client.Do(request); err == nil {
				var reply struct {
					URL string `json:"heartbeat_url"`
				}
				data, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if response.StatusCode < 300 {
					_ = json.Unmarshal(data, &reply)
					next = reply.URL
				} else {
					wait = 100 * time.Millisecond
				}
			} else {
				wait = 100 * time.Millisecond
			}
			s.mu.Lock()
			s.next = next
			s.mu.Unlock()
		}
		s.world.sleep(wait)
	}
}

// runs returns the workers on which a run of a task is running, by its number.
func (w *world) runs(task string) map[int]*worker {
	found := map[int]*worker{}
	for _, s := range w.workers {
		s.mu.Lock()
		if t := s.running[task]; t != nil {
			found[t.attempt] = s
		}
		s.mu.Unlock()
	}
	return found
}

// lose makes the worker disappear for good, without a trace: what it ran is gone.
func (s *worker) lose() {
	s.mu.Lock()
	s.lost = true
	clear(s.running)
	s.mu.Unlock()
	s.world.note("worker %s is lost for good", s.id)
}
