package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	instanceHeader = "Goldcreststack-Expected-Instance"
	beatInterval   = 1500 * time.Millisecond
	maxHold        = 6000
	gangTimeout    = 3 * time.Second
	maxListedEnds  = 500
)

// worker is a stand-in worker at a fixed address. It lives several lives under one
// id, one after the other.
type worker struct {
	world    *world
	id       string
	kind     string
	rack     string
	address  string
	cpu      int
	stopTime time.Duration

	mu   sync.Mutex
	life *life
	// hold returns how long a call is held up on its way, or 0. The caller gets no
	// answer to such a call.
	hold func(path string, o *order) time.Duration
	// failing means that the worker fails all that it starts.
	failing bool
	// tail is the tail latency of the tasks that serve, in milliseconds.
	tail int
	// ended, if set, is called when a stop has ended a task that was at work.
	ended func(name string)
	// shedding means that the worker refuses all starts; requests and refused count what
	// it gets meanwhile.
	shedding          bool
	requests, refused int
	// stopped, if set, is called when a stop of a running task has been answered.
	stopped func()
}

// life is one life of a worker, from its start to its end.
type life struct {
	worker   *worker
	server   *http.Server
	born     time.Time
	fence    uint64
	leaseEnd int64
	number   int
	sequence int
	state    string
	leaveAt  time.Time
	running  map[string]*task
	highest  map[string]int
	ended    []taskEnd
	wake     chan struct{}
	dead     chan struct{}
}

type task struct {
	run      int
	endsAt   time.Time
	duration time.Duration
	lasts    bool
	serves   bool
	fails    bool
	stopping bool
}

// isAtWork reports whether a task that lasts is at work.
func (t *task) isAtWork() bool { return t.lasts && !time.Now().Before(t.endsAt) }

type taskEnd struct {
	number int
	name   string
	run    int
	how    string
}

// order is the body of a call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Cursor   int    `json:"ack_cursor"`
	Wait     int    `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

// work is what a job's spec tells the stand-in workers about its tasks.
type work struct {
	Ms    int  `json:"ms"`
	Lasts bool `json:"lasts"`
	// Serves means that the tasks have a tail latency.
	Serves bool `json:"serves"`
}

type answer struct {
	Clock   int64   `json:"clock_ms"`
	Reason  string  `json:"reason,omitempty"`
	Born    int64   `json:"born,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// newWorker returns a worker that is not started yet.
func (w *world) newWorker(number int, id, kind string) *worker {
	s := &worker{world: w, id: id, kind: kind, rack: fmt.Sprintf("r%d", number/4+1), cpu: 16000, stopTime: 300 * time.Millisecond}
	s.address = fmt.Sprintf("%s%d:%d", w.prefix, 100+number, w.port+1)
	w.workers = append(w.workers, s)
	return s
}

// start begins a new life of the worker.
func (s *worker) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	l := &life{
		worker: s, born: time.Now(), state: "ready", running: make(map[string]*task), highest: make(map[string]int),
		wake: make(chan struct{}), dead: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", s.receive(l, l.startTask))
	mux.HandleFunc("POST /-/run-stop", s.receive(l, l.stopTask))
	mux.HandleFunc("POST /-/hold", s.receive(l, l.renew))
	mux.HandleFunc("POST /-/pace", s.receive(l, l.pace))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	l.server = &http.Server{Handler: mux}
	s.mu.Lock()
	s.life = l
	s.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	go l.runTasks()
	go l.beat()
	s.world.logf("worker %s starts, born %d", s.id, l.born.UnixMilli())
	return nil
}

// crash ends the worker's life at once: it runs nothing any more and says nothing.
func (s *worker) crash() {
	s.mu.Lock()
	l := s.life
	s.life = nil
	if l != nil {
		close(l.dead)
		for name, t := range l.running {
			s.world.logf("worker %s: %s run %d ends with the worker", s.id, name, t.run)
		}
		l.running = make(map[string]*task)
	}
	s.mu.Unlock()
	if l != nil {
		_ = l.server.Close()
	}
}

// leave ends the worker as planned: it says that it drains until that is
// acknowledged, serves on for the time that the page gives, sends DELETE and ends. It
// returns early if the worker crashes meanwhile.
func (s *worker) leave(crashed <-chan struct{}) {
	s.mu.Lock()
	l := s.life
	l.state = "draining"
	l.leaveAt = time.Now().Add(2 * time.Second)
	s.mu.Unlock()
	s.world.logf("worker %s drains", s.id)
	for range 20 {
		if l.announce() {
			s.world.logf("worker %s: draining is acknowledged", s.id)
			break
		}
	}
	select {
	case <-crashed:
		return
	case <-time.After(2200 * time.Millisecond):
	}
	for i := range 20 {
		p := s.world.controls[i%len(s.world.controls)]
		if status, _ := s.world.send(http.MethodDelete, s.world.controlAddress(p), "/-/instances/"+s.id, "", nil); status/100 == 2 {
			break
		}
	}
	s.crash()
	s.world.logf("worker %s has left", s.id)
}

// crashAfterStop makes the worker crash while it stops a task, 150 ms after it has
// answered the stop. The worker then closes crashed.
func (s *worker) crashAfterStop(crashed chan struct{}) {
	var once sync.Once
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = func() {
		once.Do(func() {
			time.AfterFunc(150*time.Millisecond, func() {
				s.world.logf("worker %s crashes", s.id)
				s.crash()
				close(crashed)
			})
		})
	}
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// receive returns a handler for one kind of call. A call that is held up on its way
// is sent again by the network later, to whatever then serves the address.
func (s *worker) receive(l *life, do func(*order) (int, *answer)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		var o order
		if err != nil || json.Unmarshal(data, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		isLate := r.Header.Get("X-Held") != ""
		s.mu.Lock()
		hold := s.hold
		s.mu.Unlock()
		if hold != nil && !isLate {
			if delay := hold(r.URL.Path, &o); delay > 0 {
				s.world.logf("worker %s: %s %s run %d is held up for %v and gets no answer", s.id, r.URL.Path, o.Task, o.Run, delay)
				time.AfterFunc(delay, func() { s.deliverLate(r.URL.Path, r.Header.Get(instanceHeader), data) })
				<-r.Context().Done()
				return
			}
		}
		if r.Header.Get(instanceHeader) != s.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.mu.Lock()
		sheds := s.shedding && r.URL.Path == "/-/run-start"
		if s.shedding {
			s.requests++
		}
		if sheds {
			s.refused++
		}
		s.mu.Unlock()
		if sheds {
			time.Sleep(100 * time.Millisecond)
			s.world.logf("worker %s: %s %s run %d -> 503", s.id, r.URL.Path, o.Task, o.Run)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		status, a := do(&o)
		select {
		case <-l.dead:
			panic(http.ErrAbortHandler)
		default:
		}
		if r.URL.Path != "/-/hold" {
			s.world.logf("worker %s: %s %s run %d, token %d, late %v -> %d %s", s.id, r.URL.Path, o.Task, o.Run, o.Fence, isLate, status, a.Reason)
		}
		body, err := json.Marshal(a)
		if err != nil {
			panic(err)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

// deliverLate delivers a call that was held up.
func (s *worker) deliverLate(path, instance string, data []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Header.Set(instanceHeader, instance)
	request.Header.Set("X-Held", "1")
	answer, err := client.Do(request)
	if err != nil {
		s.world.logf("worker %s: a held-up call of %s reaches nobody", s.id, path)
		return
	}
	_ = answer.Body.Close()
}

// accept checks the token of an order and extends the lease. The caller holds the
// lock.
func (l *life) accept(o *order) (*answer, bool) {
	a := &answer{Clock: l.clock()}
	if o.Fence < l.fence {
		a.Reason = "fence"
		return a, false
	}
	l.fence = o.Fence
	return a, true
}

func (l *life) extend(o *order) { l.leaseEnd = max(l.leaseEnd, min(o.Deadline, l.clock()+maxHold)) }

func (l *life) startTask(o *order) (int, *answer) {
	s := l.worker
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := l.accept(o)
	if !ok {
		return http.StatusConflict, a
	}
	t := l.running[o.Task]
	switch {
	case t != nil && t.run == o.Run:
		l.extend(o)
		return http.StatusOK, a
	case t != nil && t.run > o.Run || o.Run <= l.highest[o.Task]:
		l.extend(o)
		a.Reason = "old"
		return http.StatusConflict, a
	case o.Deadline <= l.clock():
		a.Reason = "late"
		return http.StatusConflict, a
	}
	l.extend(o)
	var job work
	if json.Unmarshal([]byte(o.Spec), &job) != nil {
		return http.StatusBadRequest, a
	}
	now := time.Now()
	duration := time.Duration(job.Ms) * time.Millisecond
	l.running[o.Task] = &task{run: o.Run, endsAt: now.Add(duration), duration: duration, lasts: job.Lasts, serves: job.Serves, fails: s.failing}
	if s.failing {
		l.running[o.Task].endsAt = now.Add(50 * time.Millisecond)
	}
	s.world.started(s, o.Task, o.Run)
	return http.StatusOK, a
}

// pace accepts an order to pace a task. The stand-in's tasks that fill have no effect on
// others, so their pace has none.
func (l *life) pace(o *order) (int, *answer) {
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()
	a, ok := l.accept(o)
	if !ok {
		return http.StatusConflict, a
	}
	l.worker.world.logf("worker %s: pace of %s run %d is %d", l.worker.id, o.Task, o.Run, o.Percent)
	return http.StatusOK, a
}

func (l *life) stopTask(o *order) (int, *answer) {
	s := l.worker
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := l.accept(o)
	if !ok {
		return http.StatusConflict, a
	}
	t := l.running[o.Task]
	if t == nil || t.run > o.Run {
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		return http.StatusOK, a
	}
	if s.stopped != nil {
		s.stopped()
	}
	if !t.stopping {
		t.stopping = true
		time.AfterFunc(s.stopTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if l.running[o.Task] != t {
				return
			}
			wasAtWork := t.isAtWork()
			l.endTask(o.Task, "stopped")
			if wasAtWork && s.ended != nil {
				s.ended(o.Task)
			}
		})
	}
	return http.StatusOK, a
}

func (l *life) renew(o *order) (int, *answer) {
	s := l.worker
	s.mu.Lock()
	a, ok := l.accept(o)
	if !ok {
		s.mu.Unlock()
		return http.StatusConflict, a
	}
	l.extend(o)
	for len(l.ended) > 0 && l.ended[0].number <= o.Cursor {
		l.ended = l.ended[1:]
	}
	wake := l.wake
	if o.Wait > 0 && len(l.ended) == 0 {
		s.mu.Unlock()
		select {
		case <-wake:
		case <-l.dead:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	a.Clock, a.Born = l.clock(), l.born.UnixMilli()
	a.Running, a.Ended = [][]any{}, [][]any{}
	for name, t := range l.running {
		percent := 100
		if rest := time.Until(t.endsAt); rest > 0 {
			percent = 100 - int(100*rest/max(t.duration, 1))
		}
		if !t.lasts {
			percent = min(percent, 99)
		}
		load := 0
		if t.serves {
			load = s.tail
		}
		a.Running = append(a.Running, []any{name, t.run, "", max(percent, 0), load})
	}
	for _, e := range l.ended[:min(len(l.ended), maxListedEnds)] {
		a.Ended = append(a.Ended, []any{e.number, e.name, e.run, e.how, ""})
	}
	return http.StatusOK, a
}

// endTask ends a task and lists its end. The caller holds the lock.
func (l *life) endTask(name, how string) {
	t := l.running[name]
	delete(l.running, name)
	l.highest[name] = max(l.highest[name], t.run)
	l.number++
	l.ended = append(l.ended, taskEnd{number: l.number, name: name, run: t.run, how: how})
	l.worker.world.logf("worker %s: %s run %d ends %s", l.worker.id, name, t.run, how)
	close(l.wake)
	l.wake = make(chan struct{})
}

// runTasks ends the tasks whose work is done, and all when the lease has expired.
func (l *life) runTasks() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-l.dead:
			return
		case <-ticker.C:
		}
		l.worker.mu.Lock()
		for name, t := range l.running {
			switch {
			case l.clock() > l.leaseEnd:
				l.endTask(name, "lapsed")
			case time.Now().Before(t.endsAt):
			case t.fails:
				l.endTask(name, "failed")
			case !t.lasts:
				l.endTask(name, "done")
			}
		}
		l.worker.mu.Unlock()
	}
}

// beat sends the heartbeats of one life.
func (l *life) beat() {
	for {
		wait := beatInterval
		if !l.announce() {
			wait = 100 * time.Millisecond
		}
		select {
		case <-l.dead:
			return
		case <-time.After(wait):
		}
	}
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (l *life) announce() bool {
	s := l.worker
	s.mu.Lock()
	l.sequence++
	body := map[string]any{
		"service": service, "address": s.address, "zone": "z-a", "version": "v1", "slots": 8, "state": l.state, "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": s.cpu, "mem_mb": 32768, "gpu": 0}, "labels": []string{s.kind, s.rack},
		"clock_ms": l.clock(), "sequence": l.sequence, "born": l.born.UnixMilli(),
	}
	if l.state == "draining" {
		body["remaining_ms"] = max(time.Until(l.leaveAt).Milliseconds(), 0)
	}
	first := l.sequence
	s.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	for i := range s.world.controls {
		select {
		case <-l.dead:
			return false
		default:
		}
		p := s.world.controls[(first+i)%len(s.world.controls)]
		if status, _ := s.world.send(http.MethodPut, s.world.controlAddress(p), "/-/instances/"+s.id, "", data); status/100 == 2 {
			return true
		}
	}
	return false
}

// started records the start of a run, and checks that no other run of the task is at
// work on a worker that is up. The caller holds the lock of s.
func (w *world) started(s *worker, name string, run int) {
	w.logf("worker %s: %s run %d starts", s.id, name, run)
	w.mu.Lock()
	w.starts[name]++
	w.mu.Unlock()
	for _, other := range w.workers {
		if other == s {
			continue
		}
		go func() {
			other.mu.Lock()
			var found *task
			if other.life != nil {
				found = other.life.running[name]
			}
			other.mu.Unlock()
			if found != nil && s.runs(name, run) {
				w.breakRule("TWICE: %s runs on %s (run %d) and on %s (run %d)", name, s.id, run, other.id, found.run)
			}
		}()
	}
}

// hasStarted reports whether any run of the task has been started.
func (w *world) hasStarted(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[name] > 0
}

// runs reports whether the worker is up and runs this run of a task.
func (s *worker) runs(name string, run int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life != nil && s.life.running[name] != nil && s.life.running[name].run == run
}

// runningOn returns the workers that run a task now.
func (w *world) runningOn(name string) []*worker {
	var out []*worker
	for _, s := range w.workers {
		s.mu.Lock()
		if s.life != nil && s.life.running[name] != nil {
			out = append(out, s)
		}
		s.mu.Unlock()
	}
	return out
}
