package supervisor_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/supervisor"
)

const step = 100 * time.Millisecond

// fakeWorker simulates a worker that runs tasks under leases, timed by its own
// drifting clock.
type fakeWorker struct {
	id         modeler.WorkerID
	generation modeler.Generation
	offset     time.Duration
	rate       float64
	tasks      map[modeler.TaskID]modeler.TaskLease
	known      map[modeler.TaskLease]bool
	ended      []modeler.TaskReport
}

func (w *fakeWorker) clock(now time.Duration) modeler.ClockReading {
	return modeler.ClockReading(w.offset + time.Duration(float64(now)*w.rate))
}

func (w *fakeWorker) expire(now time.Duration) {
	for task, lease := range w.tasks {
		if w.clock(now) > lease.Until {
			delete(w.tasks, task)
			w.ended = append(w.ended, modeler.TaskReport{Task: task, Attempt: lease.Attempt, State: modeler.TaskStopped})
		}
	}
}

func (w *fakeWorker) handleOrder(now time.Duration, o modeler.TaskOrder) {
	key := modeler.TaskLease{Task: o.Lease.Task, Attempt: o.Lease.Attempt}
	switch {
	case o.Generation != w.generation:
	case o.Verb == modeler.StopTask:
		if lease, found := w.tasks[o.Lease.Task]; found && lease.Attempt == o.Lease.Attempt {
			delete(w.tasks, o.Lease.Task)
			w.ended = append(w.ended, modeler.TaskReport{Task: o.Lease.Task, Attempt: lease.Attempt, State: modeler.TaskStopped})
		}
	case o.Verb == modeler.StartTask && !w.known[key] && w.clock(now) <= o.Lease.Until:
		w.known[key] = true
		w.tasks[o.Lease.Task] = o.Lease
	}
}

// answer returns the worker's report of the order's attempt, or an empty report
// if it doesn't know the attempt.
func (w *fakeWorker) answer(o modeler.TaskOrder) modeler.TaskReport {
	r := modeler.TaskReport{Task: o.Lease.Task, Attempt: o.Lease.Attempt}
	if lease, found := w.tasks[r.Task]; found && lease.Attempt == r.Attempt {
		r.State = modeler.TaskRunning
		return r
	}
	for _, ended := range w.ended {
		if o.Generation == w.generation && ended.Attempt == r.Attempt {
			return ended
		}
	}
	return modeler.TaskReport{}
}

func (w *fakeWorker) report(now time.Duration) modeler.Heartbeat {
	b := modeler.Heartbeat{Worker: w.id, Generation: w.generation, Clock: w.clock(now), Tasks: w.ended}
	for task, lease := range w.tasks {
		b.Tasks = append(b.Tasks, modeler.TaskReport{Task: task, Attempt: lease.Attempt, State: modeler.TaskRunning})
	}
	return b
}

func (w *fakeWorker) renew(leases []modeler.TaskLease) {
	for _, lease := range leases {
		if held, found := w.tasks[lease.Task]; found && held.Attempt == lease.Attempt {
			held.Until = max(held.Until, lease.Until)
			w.tasks[lease.Task] = held
		}
	}
}

// delivery is a message in transit that takes effect at a given time.
type delivery struct {
	at      time.Duration
	deliver func(now time.Duration)
}

// Guards against a task that runs on two workers at the same time. The schedule
// has random network cuts, delayed and duplicated messages, worker restarts and
// leader changes, with clocks that drift apart by up to 1%. The leader places the
// task again as soon as the supervisor reports the end of its attempt.
func TestTaskRunsInOnePlace(t *testing.T) {
	for seed := range uint64(60) {
		runSchedule(t, seed)
	}
}

func runSchedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	workers := []*fakeWorker{newFakeWorker("a", rng), newFakeWorker("b", rng), newFakeWorker("c", rng)}
	task := modeler.TaskID{Job: "cut"}
	spec := &modeler.Job{ID: "cut", Kind: modeler.LongRunning}
	s := supervisor.New(0, 1)
	term := modeler.Term(1)
	var held *modeler.Placement
	attempt := modeler.Attempt(0)
	heard := make(map[modeler.WorkerID]modeler.Generation)
	var queue []delivery
	cutUntil := make(map[modeler.WorkerID]time.Duration)
	starts := 0
	for now := time.Duration(0); now < 4*time.Minute; now += step {
		leader := modeler.ClockReading(now)
		var later []delivery
		for _, d := range queue {
			if d.at <= now {
				d.deliver(now)
			} else {
				later = append(later, d)
			}
		}
		queue = later
		running := 0
		for _, w := range workers {
			w.expire(now)
			running += len(w.tasks)
			if rng.IntN(300) == 0 {
				cutUntil[w.id] = now + time.Duration(rng.IntN(15000))*time.Millisecond
			}
			if rng.IntN(900) == 0 {
				w.generation++
				w.tasks = make(map[modeler.TaskID]modeler.TaskLease)
				w.ended = nil
			}
			if now%time.Second == 0 {
				b := w.report(now)
				queue = append(queue, delivery{at: now + delay(rng), deliver: func(at time.Duration) {
					if at < cutUntil[w.id] {
						return
					}
					heard[w.id] = max(heard[w.id], b.Generation)
					answer := s.Heartbeat(modeler.ClockReading(at), &b)
					queue = append(queue, delivery{at: at + delay(rng), deliver: func(time.Duration) { w.renew(answer.Leases) }})
				}})
			}
		}
		assert.Assert(t, running <= 1, "seed %d: the task runs in %d places at %v", seed, running, now)
		if rng.IntN(600) == 0 {
			term++
			s = supervisor.New(leader, term)
			heard = make(map[modeler.WorkerID]modeler.Generation)
			if held != nil {
				s.Restore(*held, spec)
			}
		}
		s.Tick(leader)
		if held == nil {
			w := workers[rng.IntN(len(workers))]
			if generation, found := heard[w.id]; found {
				attempt++
				held = &modeler.Placement{Task: task, Attempt: attempt, Worker: w.id, Generation: generation}
				s.AddPlacement(leader, *held, spec)
				starts++
			}
		} else if rng.IntN(400) == 0 {
			s.Stop(leader, *held, modeler.StopTask, "moved")
		}
		out := s.TakeOutput()
		for _, o := range out.Orders {
			for range 1 + rng.IntN(2) {
				for _, w := range workers {
					if w.id == o.Worker && now >= cutUntil[w.id] {
						queue = append(queue, delivery{at: now + delay(rng), deliver: func(at time.Duration) {
							w.handleOrder(at, o.Body)
							report := w.answer(o.Body)
							queue = append(queue, delivery{at: at + delay(rng), deliver: func(at time.Duration) { s.HandleReport(modeler.ClockReading(at), o, report) }})
						}})
					}
				}
			}
		}
		for _, e := range out.Events {
			if e.Kind == supervisor.AttemptEnded && held != nil && e.End.Attempt == held.Attempt {
				held = nil
			}
		}
	}
	assert.Assert(t, starts > 3, "seed %d: only %d starts", seed, starts)
}

func newFakeWorker(id modeler.WorkerID, rng *rand.Rand) *fakeWorker {
	return &fakeWorker{
		id:         id,
		generation: 1,
		offset:     time.Duration(rng.IntN(1000)) * time.Second,
		rate:       1 + (rng.Float64()-0.5)/100,
		tasks:      make(map[modeler.TaskID]modeler.TaskLease),
		known:      make(map[modeler.TaskLease]bool),
	}
}

func delay(rng *rand.Rand) time.Duration {
	if rng.IntN(20) == 0 {
		return time.Duration(rng.IntN(9000)) * time.Millisecond
	}
	return time.Duration(rng.IntN(100)) * time.Millisecond
}

// Guards against a second start of an at-most-once job after its worker became
// silent and its lease expired.
func TestOnceJobIsNotStartedAgain(t *testing.T) {
	for _, once := range []bool{false, true} {
		spec := &modeler.Job{ID: "cut", AtMostOnce: once}
		p := modeler.Placement{Task: modeler.TaskID{Job: "cut"}, Attempt: 1, Worker: "a", Generation: 1}
		s := supervisor.New(0, 1)
		s.Heartbeat(0, &modeler.Heartbeat{Worker: "a", Generation: 1, Clock: 1})
		s.AddPlacement(0, p, spec)
		s.TakeOutput()
		s.Tick(modeler.ClockReading(supervisor.Lease))
		assert.Equal(t, len(s.TakeOutput().Events), 1, "while the lease may be held, the only event is the worker's silence")
		s.Tick(modeler.ClockReading(supervisor.Lease * 2))
		events := s.TakeOutput().Events
		assert.Equal(t, len(events), 1)
		assert.Equal(t, events[0].End.Retry, !once)
	}
}

// Guards against a running task that is reported as lost: the answer to its start
// order says that it runs, and a heartbeat that was taken before the start arrives
// after that answer.
func TestAnswerBeforeOlderHeartbeat(t *testing.T) {
	p := modeler.Placement{Task: modeler.TaskID{Job: "cut"}, Attempt: 1, Worker: "a", Generation: 1}
	s := supervisor.New(0, 1)
	s.Heartbeat(0, &modeler.Heartbeat{Worker: "a", Address: "a:1", Generation: 1, Clock: 1})
	s.AddPlacement(0, p, &modeler.Job{ID: "cut"})
	start := s.TakeOutput().Orders[0]
	s.HandleReport(2, start, modeler.TaskReport{Task: p.Task, Attempt: 1, State: modeler.TaskRunning})
	s.Heartbeat(1, &modeler.Heartbeat{Worker: "a", Address: "a:1", Generation: 1, Clock: 2})
	assert.Equal(t, len(s.TakeOutput().Events), 0)
	s.HandleReport(2, start, modeler.TaskReport{Task: p.Task, Attempt: 2, State: modeler.TaskDone})
	assert.Equal(t, len(s.TakeOutput().Events), 0, "the report of another attempt ends nothing")
	s.HandleReport(2, start, modeler.TaskReport{Task: p.Task, Attempt: 1, State: modeler.TaskDone})
	assert.Equal(t, len(s.TakeOutput().Events), 1)
}

// Guards against a new leader that counts a task as stopped while it still runs.
// The leader can't send the stop order before the worker's first heartbeat, and
// must send it then.
func TestNewLeaderStopsAgain(t *testing.T) {
	p := modeler.Placement{Task: modeler.TaskID{Job: "cut"}, Attempt: 1, Worker: "a", Generation: 1}
	s := supervisor.New(0, 2)
	s.Restore(p, &modeler.Job{ID: "cut"})
	s.Stop(0, p, modeler.StopTask, "replaced")
	out := s.TakeOutput()
	assert.Equal(t, len(out.Orders)+len(out.Events), 0)
	_, reported := s.RunningFor(p)
	assert.Assert(t, !reported)
	running := []modeler.TaskReport{{Task: p.Task, Attempt: 1, State: modeler.TaskRunning}}
	s.Heartbeat(1, &modeler.Heartbeat{Worker: "a", Address: "a:1", Generation: 1, Clock: 1, Tasks: running})
	orders := s.TakeOutput().Orders
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Body.Verb, modeler.StopTask)
}

// Guards against a task that fails immediately after each start and is restarted
// as often as its worker reports the failure.
func TestEarlyFailureIsDelayed(t *testing.T) {
	p := modeler.Placement{Task: modeler.TaskID{Job: "cut"}, Attempt: 1, Worker: "a", Generation: 1}
	s := supervisor.New(0, 1)
	failed := []modeler.TaskReport{{Task: p.Task, Attempt: 1, State: modeler.TaskFailed}}
	sendHeartbeat := func(at time.Duration, tasks []modeler.TaskReport) int {
		s.Heartbeat(modeler.ClockReading(at), &modeler.Heartbeat{Worker: "a", Address: "a:1", Generation: 1, Clock: modeler.ClockReading(at), Tasks: tasks})
		return len(s.TakeOutput().Events)
	}
	sendHeartbeat(time.Second, nil)
	s.AddPlacement(modeler.ClockReading(time.Second), p, &modeler.Job{ID: "cut"})
	start := s.TakeOutput().Orders[0]
	s.HandleReport(modeler.ClockReading(1100*time.Millisecond), start, failed[0])
	assert.Equal(t, sendHeartbeat(1200*time.Millisecond, failed), 0)
	assert.Equal(t, sendHeartbeat(2200*time.Millisecond, failed), 1)
}

// Guards against urgent work that waits a whole heartbeat interval for a
// checkpointed task to end: the worker reports the end only in its answer to an
// order or in its next heartbeat.
func TestCheckpointOrderIsRepeated(t *testing.T) {
	p := modeler.Placement{Task: modeler.TaskID{Job: "proof"}, Attempt: 1, Worker: "a", Generation: 1}
	running := []modeler.TaskReport{{Task: p.Task, Attempt: 1, State: modeler.TaskRunning}}
	s := supervisor.New(0, 1)
	s.Heartbeat(0, &modeler.Heartbeat{Worker: "a", Address: "a:1", Generation: 1, Clock: 1})
	s.AddPlacement(0, p, &modeler.Job{ID: "proof"})
	s.Heartbeat(1, &modeler.Heartbeat{Worker: "a", Address: "a:1", Generation: 1, Clock: 2, Tasks: running})
	s.TakeOutput()
	s.Stop(1, p, modeler.CheckpointTask, "room")
	last := s.TakeOutput().Orders
	countOrders := func(from time.Duration) int {
		orders := 0
		for now := from; now < from+time.Second; now += step {
			s.Tick(modeler.ClockReading(now + step))
			if out := s.TakeOutput().Orders; len(out) > 0 {
				last = out
				orders += len(out)
				s.HandleDelivery(out[0], supervisor.Delivered)
			}
		}
		return orders
	}
	assert.Equal(t, countOrders(-step), 0, "an unanswered order is not repeated")
	s.HandleDelivery(last[0], supervisor.Delivered)
	assert.Assert(t, countOrders(time.Second) >= 4)
	assert.Equal(t, countOrders(2*time.Second), 1, "after the poll period the order is sent less often")
	s.HandleReport(modeler.ClockReading(4*time.Second), last[0], modeler.TaskReport{Task: p.Task, Attempt: 1, State: modeler.TaskCheckpointed})
	assert.Equal(t, len(s.TakeOutput().Events), 1)
	s.Tick(modeler.ClockReading(6 * time.Second))
	assert.Equal(t, len(s.TakeOutput().Orders), 0)
}
