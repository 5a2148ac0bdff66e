package controller_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// fakeWorkers answers orders to two workers. The task that they run lasts.
type fakeWorkers struct {
	mu      sync.Mutex
	begun   time.Time
	running map[modeler.WorkerID]*modeler.RunningAttempt
	// lost is the worker that gives no answer, and startedAt when the newest attempt began.
	lost      modeler.WorkerID
	startedAt time.Time
}

func (f *fakeWorkers) answer(o *modeler.Order) modeler.OrderAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Worker == f.lost {
		return modeler.OrderAnswer{Outcome: modeler.OrderUnanswered}
	}
	a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Generation: 1, Clock: modeler.WorkerClock(time.Since(f.begun).Milliseconds())}
	switch o.Kind {
	case modeler.StartOrder:
		f.running[o.Worker] = &modeler.RunningAttempt{Task: o.Task, Attempt: o.Attempt, Percent: 100}
		f.startedAt = time.Now()
	case modeler.RenewOrder:
		if r := f.running[o.Worker]; r != nil {
			a.Running = []modeler.RunningAttempt{*r}
		}
	}
	return a
}

// runsOn returns the worker of the newest attempt, "" without one, and when it began.
func (f *fakeWorkers) runsOn() (modeler.WorkerID, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest, on := modeler.Attempt(0), modeler.WorkerID("")
	for id, r := range f.running {
		if r.Attempt > newest {
			newest, on = r.Attempt, id
		}
	}
	return on, f.startedAt
}

// Guards against a task of a lost worker that waits for the longest lease anew after a change
// of the leader.
func TestSilenceOutlivesLeader(t *testing.T) {
	workers := &fakeWorkers{begun: time.Now(), running: make(map[modeler.WorkerID]*modeler.RunningAttempt)}
	members, r := startGroupWithWorkers(t, 3, nil, workers.answer)
	c := &caller{t, r}
	c.set(&modeler.Layout{Number: 1, Document: []byte("{}"), Services: []modeler.ServiceName{"s"}, Queues: []modeler.Queue{{
		Host: "h", Prefix: "/q/", Timeout: time.Second, Policy: modeler.QueuePolicy{Service: "s"},
	}}})
	announce := func() {
		for _, id := range []modeler.WorkerID{"v", "w"} {
			if id != workers.lost {
				m := &modeler.WorkerAnnouncement{ID: id, Generation: 1, Address: string(id) + ":80", Service: "s", Capacity: modeler.Resources{Processors: 1000}}
				_, _ = r.Call(t.Context(), &modeler.Call{Kind: modeler.AnnounceCall, Announcement: m})
			}
		}
	}
	announce()
	flow := &modeler.Flow{Spec: "x", Steps: []modeler.Step{{Count: 1, Need: modeler.Resources{Processors: 1000}, LongRunning: true}}}
	_, err := r.Call(t.Context(), &modeler.Call{Kind: modeler.SubmitCall, Host: "h", Path: "/q/f", Flow: flow})
	assert.Equal(t, classifier.KindOf(err), classifier.None)
	on, _ := workers.runsOn()
	for end := time.Now().Add(recovery); on == ""; on, _ = workers.runsOn() {
		assert.Assert(t, time.Now().Before(end), "the task isn't started")
		time.Sleep(10 * time.Millisecond)
	}
	lostAt := time.Now()
	workers.mu.Lock()
	workers.lost = on
	workers.mu.Unlock()
	time.Sleep(4 * time.Second)
	transferTo(t, members, members[1])
	// The lease of 6 s has begun before the worker was lost. Without its record the new leader
	// would wait for 6 s from now on.
	for now, _ := workers.runsOn(); now == on; now, _ = workers.runsOn() {
		assert.Assert(t, time.Since(lostAt) < 9500*time.Millisecond, "the task isn't started elsewhere")
		announce()
		time.Sleep(100 * time.Millisecond)
	}
	_, startedAt := workers.runsOn()
	assert.Check(t, startedAt.Sub(lostAt) > 5*time.Second, "the lease was not waited for")
}
