package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold           = 6 * time.Second
	stopTime          = 300 * time.Millisecond // the pages allow stop_timeout_ms, 400
	heartbeatInterval = 1500 * time.Millisecond
	maxEnds           = 500 // ends in one answer
)

// worker is a stand-in worker that does what the users' pages say.
type worker struct {
	run      *run
	id       string
	service  string
	zone     string
	kind     string
	rack     string
	cpu, mem int
	// address is where callers reach the worker: that of its link, if it has one.
	address string
	link    *link

	mu       sync.Mutex
	born     time.Time
	fence    uint64
	leaseEnd int64
	// lapses counts the times at which the lease has expired.
	lapses   int
	runs     map[string]*taskRun
	highest  map[string]int
	ends     []taskEnd
	number   int
	sequence int
	wake     chan struct{}
	// failing means that the worker fails all that it starts.
	failing bool
}

type taskRun struct {
	attempt  int
	began    time.Time
	duration time.Duration // 0 for a task that lasts
	fails    bool
	stopping bool
}

type taskEnd struct {
	number  int
	task    string
	attempt int
	how     string
	lapses  int
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

// startWorker starts a worker of the kind "a".
func startWorker(r *run, id, service, rack string, cpu, mem int) *worker {
	w := newWorker(r, id, service, rack, cpu, mem)
	w.serve()
	return w
}

func newWorker(r *run, id, service, rack string, cpu, mem int) *worker {
	return &worker{
		run: r, id: id, service: service, zone: zones[0], kind: "a", rack: rack, cpu: cpu, mem: mem, born: time.Now(),
		runs: make(map[string]*taskRun), highest: make(map[string]int), wake: make(chan struct{}),
	}
}

// serve begins to take orders and to send heartbeats.
func (w *worker) serve() {
	r := w.run
	ip := r.nextIP()
	listener, err := net.Listen("tcp", ip+":0")
	r.require(err, "listener of a worker")
	w.address = listener.Addr().String()
	if w.link != nil {
		front, err := net.Listen("tcp", ip+":0")
		r.require(err, "listener of a link")
		w.address = front.Addr().String()
		w.link.serve(front, listener.Addr().String())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handle(w.start))
	mux.HandleFunc("POST /-/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /-/hold", w.handle(w.hold))
	mux.HandleFunc("POST /-/pace", w.handle(w.pace))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	go func() { _ = http.Serve(listener, mux) }()
	go w.work()
	go w.announce()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) handle(do func(*order) (int, *answer)) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) {
		if instance := in.Header.Get("Goldcreststack-Expected-Instance"); instance != "" && instance != w.id {
			w.run.note("worker %s answers 421 to %s for %s", w.id, in.URL.Path, instance)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if json.NewDecoder(in.Body).Decode(&o) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		status, a := do(&o)
		a.Born = w.born.UnixMilli()
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(a)
	}
}

// check judges the fence and extends the lease; the caller holds the lock.
func (w *worker) check(o *order) (*answer, bool) {
	a := &answer{Clock: w.clock()}
	if o.Fence < w.fence {
		a.Reason = "fence"
		return a, false
	}
	w.fence = o.Fence
	w.leaseEnd = max(w.leaseEnd, min(o.Deadline, w.clock()+maxHold.Milliseconds()))
	return a, true
}

func (w *worker) start(o *order) (int, *answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.check(o)
	if !ok {
		return http.StatusConflict, a
	}
	held := w.runs[o.Task]
	switch {
	case held != nil && held.attempt == o.Run:
		return http.StatusOK, a
	case held != nil || o.Run <= w.highest[o.Task]:
		a.Reason = "old"
		return http.StatusConflict, a
	case o.Deadline <= w.clock():
		a.Reason = "late"
		return http.StatusConflict, a
	}
	w.highest[o.Task] = o.Run
	t := &taskRun{attempt: o.Run, began: time.Now()}
	t.duration, t.fails = w.run.ledger.started(w, o, w.runs)
	if w.failing {
		t.duration, t.fails = 200*time.Millisecond, true
	}
	w.runs[o.Task] = t
	return http.StatusOK, a
}

func (w *worker) stop(o *order) (int, *answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.check(o)
	if !ok {
		return http.StatusConflict, a
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if t := w.runs[o.Task]; t != nil && t.attempt <= o.Run && !t.stopping {
		t.stopping = true
		w.run.ledger.note("%s told to stop %s run %d", w.id, o.Task, t.attempt)
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[o.Task] == t {
				w.end(o.Task, "stopped")
			}
		})
	}
	return http.StatusOK, a
}

func (w *worker) pace(o *order) (int, *answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.check(o)
	if !ok {
		return http.StatusConflict, a
	}
	return http.StatusOK, a
}

func (w *worker) hold(o *order) (int, *answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.check(o)
	if !ok {
		return http.StatusConflict, a
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.Cursor {
		w.run.ledger.noted(w, w.ends[0], w.lapses)
		w.ends = w.ends[1:]
	}
	if wait := min(o.Wait, 2000); wait > 0 && len(w.ends) == 0 {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		w.mu.Lock()
	}
	a.Clock = w.clock()
	a.Running, a.Ended = [][]any{}, [][]any{}
	for task, t := range w.runs {
		a.Running = append(a.Running, []any{task, t.attempt, "", t.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		a.Ended = append(a.Ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, a
}

func (t *taskRun) percent() int {
	if t.duration == 0 {
		return 100
	}
	return min(99, int(100*time.Since(t.began)/t.duration))
}

// end ends a run; the caller holds the lock.
func (w *worker) end(task, how string) {
	t := w.runs[task]
	delete(w.runs, task)
	w.number++
	w.ends = append(w.ends, taskEnd{w.number, task, t.attempt, how, w.lapses})
	w.run.ledger.ended(w, task, t.attempt, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

// work ends the runs whose time is over, and all when the lease has expired.
func (w *worker) work() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		lapsed := w.clock() > w.leaseEnd
		if lapsed && len(w.runs)+len(w.ends) > 0 {
			w.lapses++
		}
		for task, t := range w.runs {
			switch {
			case lapsed:
				w.end(task, "lapsed")
			case t.duration == 0 || time.Since(t.began) < t.duration || t.stopping:
			case t.fails:
				w.end(task, "failed")
			default:
				w.end(task, "done")
			}
		}
		w.mu.Unlock()
	}
}

// announcement returns the body of a heartbeat.
func (w *worker) announcement() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	text, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": []string{w.kind, w.rack},
		"clock_ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	return text
}

// announce sends heartbeats to the address that the last answer has named, or to
// the next control process after a failure.
func (w *worker) announce() {
	client := &http.Client{Timeout: time.Second}
	next := ""
	for try := 0; ; {
		if w.link != nil && w.link.isCut() {
			// What the worker sends is lost.
			next = ""
			time.Sleep(time.Second)
			continue
		}
		target := next
		if target == "" {
			controls := w.run.cell.controls
			target = controls[try%len(controls)].at(controlPort)
			try++
		}
		var ok bool
		if next, ok = beat(client, target, w.id, w.announcement()); ok {
			time.Sleep(heartbeatInterval)
			continue
		}
		next = ""
		time.Sleep(50 * time.Millisecond)
	}
}

// beat sends one heartbeat and returns the address for the next one.
func beat(client *http.Client, target, id string, body []byte) (string, bool) {
	request, err := http.NewRequest(http.MethodPut, "http://"+target+"/-/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	request.Header.Set("Content-Type", "application/json")
	in, err := client.Do(request)
	if err != nil {
		return "", false
	}
	defer in.Body.Close()
	text, err := io.ReadAll(in.Body)
	if err != nil || in.StatusCode >= 300 {
		return "", false
	}
	var out struct {
		URL string `json:"heartbeat_url"`
	}
	_ = json.Unmarshal(text, &out)
	return out.URL, true
}

// jobOf returns the job of a task, and stepOf its step.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

func stepOf(task string) int {
	n, _ := strconv.Atoi(strings.Split(task, ".")[2])
	return n
}
