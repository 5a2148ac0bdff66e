package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"goldcreststack.example/goldcreststack/platform/imitator"
)

const (
	taskCores = 2000
	workerCPU = 16000
	// workerMemory and taskMemory are in MiB.
	workerMemory = 32768
	taskMemory   = 100
	// maxLease is the longest lease that the stand-in workers accept.
	maxLease          = 6 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	stopTime          = 300 * time.Millisecond
	// minLateDelay and maxLateDelay bound the delay of an order that is carried
	// out late and gets no answer.
	minLateDelay = 2 * time.Second
	maxLateDelay = 6 * time.Second
	// maxLateInReturns replaces maxLateDelay where workers come back under their id.
	maxLateInReturns = 12 * time.Second
	// givenUpTime is how long a closed connection may take to be noticed.
	givenUpTime = 100 * time.Millisecond
	// maxListedEnds is the most ends that a worker lists in one answer.
	maxListedEnds = 500
)

// worker is a stand-in upstream that follows the platform's contract for workers.
type worker struct {
	world   *world
	id      string
	kind    string
	address string
	server  *http.Server

	mu        sync.Mutex
	startedAt time.Time
	clockRate float64
	fence     uint64
	// isKnown means that an announcement of this generation was acknowledged, and
	// isOrdered that a renewal has arrived since.
	isKnown, isOrdered bool
	// leaseEnd is in milliseconds of the worker's clock.
	leaseEnd int64
	// number is that of the newest task end since the worker started.
	number  int
	running map[string]*task
	// ended lists the task ends that no control process has acknowledged.
	ended          []taskEnd
	highestAttempt map[string]int
	// wake is closed and replaced when a task ends.
	wake   chan struct{}
	isDown bool
	// leaveAt is when the worker will leave, if it drains.
	leaveAt time.Time
	// drainingSince is when a control process acknowledged that the worker drains.
	drainingSince time.Time
	// announceNow wakes the heartbeats.
	announceNow    chan struct{}
	crashes        int
	sequence       int
	controlAddress string
	// lateShare is the share of orders, from 0 to 1, that get no answer and are
	// carried out late.
	lateShare float64
	// failing means that the worker fails all that it starts.
	failing bool
	// isDark means that the worker gets no orders and sends nothing.
	isDark bool
}

// order is an order that has arrived at a worker.
type order struct {
	imitator.Order
	// crashes counts the worker's crashes before the order arrived.
	crashes int
	// isGivenUp reports whether the sender has closed the connection, which it does at its
	// timeout of less than half a second.
	isGivenUp func() bool
}

type task struct {
	attempt  int
	endsAt   time.Time
	duration time.Duration
	late     bool
	step     jobStep
	fails    bool
}

type taskEnd struct {
	number  int
	name    string
	attempt int
	state   string
}

func newWorker(w *world, id, kind, address string) (*worker, error) {
	s := &worker{world: w, id: id, kind: kind, address: address, clockRate: 1 - 0.02*w.random.Float64(), announceNow: make(chan struct{}, 1)}
	s.reset()
	if w.settings.Return {
		s.startedAt = s.startedAt.Add(-rand.N(maxUptime))
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(imitator.StartPattern, s.handleOrder(s.startTask))
	mux.HandleFunc(imitator.StopPattern, s.handleOrder(s.stopTask))
	mux.HandleFunc(imitator.RenewPattern, s.handleOrder(s.renewLease))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	go s.runTasks()
	go s.sendHeartbeats()
	return s, nil
}

// reset clears the worker's state for a new generation.
func (s *worker) reset() {
	s.startedAt = time.Now()
	s.isKnown, s.isOrdered = false, false
	s.fence, s.leaseEnd, s.number, s.sequence = 0, 0, 0, 0
	s.leaveAt, s.drainingSince = time.Time{}, time.Time{}
	s.running = make(map[string]*task)
	s.highestAttempt = make(map[string]int)
	s.ended = nil
	s.wake = make(chan struct{})
	s.controlAddress = ""
}

func (s *worker) clock() int64 {
	return int64(float64(time.Since(s.startedAt).Milliseconds()) * s.clockRate)
}

// crash ends the worker's tasks and restarts the worker under the same id after
// the given time.
func (s *worker) crash(down time.Duration) {
	s.mu.Lock()
	s.isDown = true
	s.crashes++
	crash := s.crashes
	for name := range s.running {
		s.world.check.taskEnded(name, s.id, "")
	}
	s.reset()
	s.mu.Unlock()
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.crashes != crash {
			// A later crash restarts the worker.
			return
		}
		s.isDown = false
		s.startedAt = time.Now()
		if s.world.settings.Return {
			s.announceSoon()
		}
	})
}

// handleOrder returns a handler that decodes an order and carries it out. A share of
// the orders, except lease renewals, is carried out late and gets no answer. If the
// worker crashes before, these orders are lost, or arrive at its next generation where
// workers come back under their id.
func (s *worker) handleOrder(do func(*order) (int, *imitator.Answer)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if instance := r.Header.Get(imitator.InstanceHeader); instance != s.id {
			s.world.check.recordViolation("worker %s got an order for %q", s.id, instance)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var body order
		if json.NewDecoder(r.Body).Decode(&body.Order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body.isGivenUp = func() bool {
			select {
			case <-r.Context().Done():
				return true
			case <-time.After(givenUpTime):
				return false
			}
		}
		s.mu.Lock()
		isDown, isDark, late := s.isDown, s.isDark, rand.Float64() < s.lateShare
		body.crashes = s.crashes
		s.mu.Unlock()
		if isDark {
			<-r.Context().Done()
		}
		if isDown || isDark {
			panic(http.ErrAbortHandler)
		}
		if late && r.URL.Path != imitator.RenewPath {
			longest := maxLateDelay
			if s.world.settings.Return {
				longest = maxLateInReturns
			}
			time.AfterFunc(minLateDelay+rand.N(longest-minLateDelay), func() {
				body.Wait = -1
				do(&body)
			})
			<-r.Context().Done()
			return
		}
		status, answer := do(&body)
		s.mu.Lock()
		isDark = s.isDark
		s.mu.Unlock()
		if isDark {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		data, err := json.Marshal(answer)
		if err != nil {
			panic(err)
		}
		w.WriteHeader(status)
		_, _ = w.Write(data)
	}
}

// checkFence reports whether the order arrived at this generation and its term is not
// older than the fence. If so, it raises the fence and extends the lease; the caller
// holds the lock. A late order to an earlier generation counts as well, where workers
// come back under their id, once a leader that knows of this generation has renewed its
// lease: nothing could stop the order before.
func (s *worker) checkFence(b *order) (*imitator.Answer, bool) {
	answer := &imitator.Answer{Clock: s.clock(), Born: s.startedAt.UnixMilli()}
	isEarlier := b.crashes != s.crashes
	if isEarlier && (!s.world.settings.Return || b.Wait >= 0 || s.isDown || !s.isOrdered) {
		return answer, false
	}
	if b.Term < s.fence {
		answer.Reason = "fence"
		return answer, false
	}
	s.fence = b.Term
	s.leaseEnd = max(s.leaseEnd, min(b.Deadline, s.clock()+maxLease.Milliseconds()))
	return answer, true
}

// ageOf returns how long ago an order was sent, by the lease that it grants; the caller
// holds the lock.
func (s *worker) ageOf(o *imitator.Order) time.Duration {
	return time.Duration(s.clock()-o.Deadline)*time.Millisecond + maxLease
}

func (s *worker) startTask(b *order) (int, *imitator.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, ok := s.checkFence(b)
	switch t := s.running[b.Task]; {
	case s.isDown:
		return http.StatusServiceUnavailable, answer
	case !ok:
		return http.StatusConflict, answer
	case t != nil && t.attempt == b.Attempt:
		return http.StatusOK, answer
	case t != nil || b.Attempt <= s.highestAttempt[b.Task]:
		answer.Reason = "old"
		return http.StatusConflict, answer
	case b.Deadline < s.clock():
		answer.Reason = "late"
		return http.StatusConflict, answer
	}
	if !s.drainingSince.IsZero() && time.Since(s.drainingSince) > drainTime && b.Wait >= 0 {
		s.world.check.recordViolation("task %s started on %s, %v after it was acknowledged that this drains", b.Task, s.id, time.Since(s.drainingSince))
	}
	s.highestAttempt[b.Task] = b.Attempt
	length, step := s.world.check.checkStart(s, b)
	s.running[b.Task] = &task{attempt: b.Attempt, endsAt: time.Now().Add(length), duration: length, late: b.Wait < 0, step: step, fails: s.failing}
	if used := s.usedCores(); used > workerCPU {
		s.world.check.recordViolation("worker %s runs %d tasks of %d millicores in all", s.id, len(s.running), used)
	}
	return http.StatusOK, answer
}

func (s *worker) stopTask(b *order) (int, *imitator.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, ok := s.checkFence(b)
	if !ok {
		return http.StatusConflict, answer
	}
	s.highestAttempt[b.Task] = max(s.highestAttempt[b.Task], b.Attempt)
	if t := s.running[b.Task]; t != nil && t.attempt <= b.Attempt {
		startedAt := s.startedAt
		time.AfterFunc(stopTime/2, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.running[b.Task] == t && s.startedAt.Equal(startedAt) {
				s.endTask(b.Task, "stopped")
			}
		})
	}
	return http.StatusOK, answer
}

func (s *worker) renewLease(b *order) (int, *imitator.Answer) {
	s.mu.Lock()
	answer, ok := s.checkFence(b)
	if !ok {
		s.mu.Unlock()
		return http.StatusConflict, answer
	}
	s.isOrdered = s.isOrdered || s.isKnown && b.crashes == s.crashes
	for len(s.ended) > 0 && s.ended[0].number <= b.Cursor {
		if s.ended[0].state == "done" {
			s.world.check.endAcknowledged(s.ended[0].name)
		}
		s.ended = s.ended[1:]
	}
	wake := s.wake
	if b.Wait > 0 && len(s.ended) == 0 {
		s.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(b.Wait) * time.Millisecond):
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if b.crashes != s.crashes {
		// The connection has ended with the generation that received the renewal.
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for name, t := range s.running {
		rest := time.Until(t.endsAt)
		percent := min(100-int(100*max(rest, 0)/max(t.duration, 1)), 99)
		if t.step.lasting && rest <= 0 {
			percent = 100
		}
		running = append(running, []any{name, t.attempt, "", percent, 0})
	}
	for _, e := range s.ended[:min(len(s.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.name, e.attempt, e.state, ""})
	}
	answer.Clock, answer.Running, answer.Ended = s.clock(), running, ended
	return http.StatusOK, answer
}

// endTask removes a running task, lists its end and wakes the renewals that wait
// for one; the caller holds the lock.
func (s *worker) endTask(name, state string) {
	t := s.running[name]
	delete(s.running, name)
	s.number++
	s.ended = append(s.ended, taskEnd{number: s.number, name: name, attempt: t.attempt, state: state})
	s.world.check.taskEnded(name, s.id, state)
	close(s.wake)
	s.wake = make(chan struct{})
}

// runTasks ends tasks whose run time is over, and all tasks when the lease has
// expired.
func (s *worker) runTasks() {
	for range time.Tick(10 * time.Millisecond) {
		if s.world.ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		leaseExpired := s.clock() > s.leaseEnd
		for name, t := range s.running {
			switch {
			case leaseExpired:
				s.endTask(name, "lapsed")
			case time.Now().Before(t.endsAt):
			case t.fails:
				s.endTask(name, "failed")
			case !t.step.lasting:
				s.endTask(name, "done")
			}
		}
		s.mu.Unlock()
	}
}

// sendHeartbeats announces the worker at regular intervals.
func (s *worker) sendHeartbeats() {
	client := s.world.newClient(time.Second)
	for s.world.ctx.Err() == nil {
		wait := heartbeatInterval
		if !s.announce(client) {
			wait = 100 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-s.announceNow:
		case <-s.world.ctx.Done():
		}
	}
}

// announce announces the worker to the control process that the last answer named, or
// to a random one after a failure. It reports false if that failed.
func (s *worker) announce(client *http.Client) bool {
	s.mu.Lock()
	s.sequence++
	isDown, controlAddress, crashes, remaining := s.isDown || s.isDark, s.controlAddress, s.crashes, int64(-1)
	if !s.leaveAt.IsZero() {
		remaining = max(time.Until(s.leaveAt), 0).Milliseconds()
	}
	body, err := imitator.Announcement(s.address, s.kind, workerCPU, workerMemory, s.clock(), s.startedAt.UnixMilli(), s.sequence, remaining)
	s.mu.Unlock()
	if err != nil {
		panic(err)
	}
	if isDown {
		return true
	}
	if controlAddress == "" {
		controlAddress = s.world.randomControl()
	}
	next, ok := put(client, "http://"+controlAddress+imitator.AnnouncePath(s.id), body)
	if !ok {
		next = ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if crashes != s.crashes {
		return ok
	}
	s.controlAddress = next
	s.isKnown = s.isKnown || ok
	if ok && remaining >= 0 && s.drainingSince.IsZero() {
		s.drainingSince = time.Now()
	}
	return ok
}

// announceSoon makes the worker announce itself at once.
func (s *worker) announceSoon() {
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

// put sends a PUT request, and returns the address that the answer names and
// whether the call succeeded.
func put(client *http.Client, url string, body []byte) (string, bool) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	answer, err := client.Do(request)
	if err != nil {
		return "", false
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return imitator.NextAddress(data), err == nil && answer.StatusCode < 300
}

// jobIDOf returns the job's id, which is the first part of a task's name.
func jobIDOf(name string) string { return name[:strings.IndexByte(name, '.')] }

// stepOf returns the number of the step, which is the third part of a task's name.
func stepOf(name string) int {
	var id string
	var occurrence, step, index int
	parts := strings.Split(name, ".")
	id = parts[0]
	if _, err := fmt.Sscan(strings.Join(parts[1:], " "), &occurrence, &step, &index); err != nil {
		panic("task name of " + id + ": " + err.Error())
	}
	return step
}
