package prover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/supervisor"
)

const (
	workerSlots = 1
	workerIdle  = time.Second
)

var (
	capacity = modeler.Resources{Processors: 4000, Memory: 4000}
	taskSize = modeler.Resources{Processors: 1000, Memory: 1000}
)

// upstream is a simulated worker that keeps the assumptions A1 to A6.
type upstream struct {
	process
	w          *world
	id         modeler.WorkerID
	generation modeler.Generation
	conns      map[*conn]bool
	active     int
	answer     modeler.HeartbeatAnswer // the newest answer
	tasks      map[modeler.TaskID]*taskRun
	known      map[attemptID]bool
	ended      []modeler.TaskReport
	leaving    bool
	failing    bool // every task and request that it starts fails
	slow       bool // run times and usage are far above the declared ones
}

type attemptID struct {
	task    modeler.TaskID
	attempt modeler.Attempt
}

// taskRun is a task that runs on a worker.
type taskRun struct {
	lease modeler.TaskLease
	size  modeler.Resources
}

func (w *world) newWorker(id modeler.WorkerID) *upstream {
	u := &upstream{process: *w.newProcess(string(id)), w: w, id: id}
	w.workers = append(w.workers, u)
	u.start()
	return u
}

func (u *upstream) start() {
	u.alive = true
	u.generation++
	u.conns = map[*conn]bool{}
	u.active = 0
	u.answer = modeler.HeartbeatAnswer{}
	u.tasks = map[modeler.TaskID]*taskRun{}
	u.known = map[attemptID]bool{}
	u.ended = nil
	u.process.flush = u.expire
	u.w.after(&u.process, time.Duration(u.w.rng.Int64N(int64(300*ms))), func() {
		u.sendHeartbeat()
		u.w.repeatEvery(&u.process, time.Second, u.sendHeartbeat)
	})
}

func (w *world) worker(id modeler.WorkerID) *upstream {
	return w.workers[slices.IndexFunc(w.workers, func(u *upstream) bool { return u.id == id })]
}

func (u *upstream) clock() modeler.ClockReading { return u.w.reading(&u.process) }

func (u *upstream) sendHeartbeat() {
	u.expire()
	b := &modeler.Heartbeat{
		Worker: u.id, Generation: u.generation, Address: string(u.id), Region: "r", Domain: "d", Rack: "k",
		Services: []modeler.ServiceName{register}, Slots: workerSlots, Connections: 64,
		IdleTimeout: modeler.Duration(workerIdle), Capacity: capacity, Clock: u.clock(), Active: u.active,
		Tasks: slices.Clone(u.ended), Leaving: u.leaving, Seen: u.answer.Receipt,
	}
	if u.answer.Next > 0 {
		b.Sessions = u.activeCounts()
	}
	for _, task := range sortedTasks(u.tasks) {
		r := u.tasks[task]
		report := modeler.TaskReport{Task: task, Attempt: r.lease.Attempt, State: modeler.TaskRunning, Usage: r.size}
		if u.slow {
			report.Usage = r.size.Times(3)
		}
		b.Tasks = append(b.Tasks, report)
	}
	e := u.w.entries[u.w.rng.IntN(len(u.w.entries))]
	u.w.send(&u.process, &e.process, func() {
		e.sendHeartbeat(b, func(a modeler.HeartbeatAnswer) {
			u.w.send(&e.process, &u.process, func() { u.onHeartbeatAnswer(a) })
		})
	})
}

// onHeartbeatAnswer handles the answer to a heartbeat, which may set the time of the
// next one.
func (u *upstream) onHeartbeatAnswer(a modeler.HeartbeatAnswer) {
	u.answer = a
	u.renew(a.Leases)
	if a.Next > 0 {
		u.w.after(&u.process, max(a.Next.Std(), 5*ms), u.sendHeartbeat)
	}
}

// activeCounts returns the number of active requests of each entry session.
func (u *upstream) activeCounts() []modeler.SessionCount {
	activeCounts := map[string]int{}
	for n := range u.conns {
		if n.running {
			activeCounts[n.session.String()]++
		}
	}
	var list []modeler.SessionCount
	for _, session := range slices.Sorted(maps.Keys(activeCounts)) {
		list = append(list, modeler.SessionCount{Session: session, Active: activeCounts[session]})
	}
	return list
}

func (u *upstream) renew(leases []modeler.TaskLease) {
	u.expire()
	for _, l := range leases {
		r := u.tasks[l.Task]
		if r == nil || r.lease.Attempt != l.Attempt {
			continue
		}
		r.lease.Until = max(r.lease.Until, l.Until)
		u.expireAt(r)
		if l.Task.Job == u.w.traced.job {
			u.w.reachStep(LeaseRenewed)
		}
	}
}

// expireAt schedules a flush, which calls expire, for the end of the task's lease.
func (u *upstream) expireAt(r *taskRun) {
	u.w.after(&u.process, r.lease.Until.Sub(u.clock())*102/100+ms, func() {})
}

// expire stops the tasks whose leases have expired (A1).
func (u *upstream) expire() {
	for _, task := range sortedTasks(u.tasks) {
		if u.clock() > u.tasks[task].lease.Until {
			u.endTask(task, modeler.TaskStopped)
		}
	}
}

func (u *upstream) endTask(task modeler.TaskID, state modeler.TaskState) {
	r := u.tasks[task]
	delete(u.tasks, task)
	u.ended = append(u.ended, modeler.TaskReport{Task: task, Attempt: r.lease.Attempt, State: state})
	u.w.addLog("%s ends %s/%d attempt %d as %s", u.id, task.Job, task.Index, r.lease.Attempt, state)
	if task.Job == u.w.traced.job && state == modeler.TaskDone {
		u.w.reachStep(TaskEnded)
	}
}

// deliverOrder sends a task order from the leader to its worker, and the delivery
// result back.
func (w *world) deliverOrder(l *leadership, o supervisor.Order) {
	u := w.worker(o.Worker)
	m := l.m
	traced := o.Body.Lease.Task.Job == w.traced.job && o.Body.Verb == modeler.StartTask
	w.send(&m.process, &u.process, func() {
		if traced {
			w.reachStep(StartReceived)
		}
		if u.pausedUntil > w.now || !u.alive {
			// The order has arrived; the worker executes it when it resumes.
			w.after(&u.process, 0, func() { u.executeOrder(o.Body) })
			return
		}
		delivery := u.executeOrder(o.Body)
		w.send(&u.process, &m.process, func() {
			if m.leaderState == l {
				l.tasks.HandleDelivery(o, delivery)
			}
		})
	})
	if traced {
		w.reachStep(StartSent)
	}
}

// executeOrder carries out a task order, unless it is for another generation or
// attempt or comes after the lease.
func (u *upstream) executeOrder(o modeler.TaskOrder) supervisor.Delivery {
	u.expire()
	task := o.Lease.Task
	key := attemptID{task, o.Lease.Attempt}
	held := u.tasks[task]
	switch {
	case o.Generation != u.generation:
		return supervisor.Refused
	case o.Verb == modeler.StartTask && u.known[key]:
		return supervisor.Delivered
	case o.Verb == modeler.StartTask && u.clock() > o.Lease.Until:
		return supervisor.Refused
	case o.Verb == modeler.StartTask:
		u.known[key] = true
		u.startTask(o)
	case held == nil || held.lease.Attempt != o.Lease.Attempt:
		return supervisor.Refused
	case o.Verb == modeler.StopTask || o.Verb == modeler.CheckpointTask:
		u.endTask(task, modeler.TaskStopped)
	}
	return supervisor.Delivered
}

func (u *upstream) startTask(o modeler.TaskOrder) {
	task := o.Lease.Task
	u.w.addLog("%s starts %s/%d attempt %d", u.id, task.Job, task.Index, o.Lease.Attempt)
	u.w.checkStarted(u, o)
	r := &taskRun{lease: o.Lease, size: o.Size}
	u.tasks[task] = r
	u.expireAt(r)
	length := 2500 * ms
	if task.Job == recoveryJob {
		length = 500 * ms
	}
	switch {
	case u.failing:
		u.endTask(task, modeler.TaskFailed)
		return
	case task.Job != tracedJob && task.Job != recoveryJob:
		return
	case u.slow:
		length *= 4
	}
	u.w.after(&u.process, length, func() {
		u.expire()
		if u.tasks[task] == r {
			u.endTask(task, modeler.TaskDone)
		}
	})
}

// receive begins a request, unless the connection has been closed, such as for being
// idle (A3).
func (u *upstream) receive(n *conn) {
	w := u.w
	if n.silent || n.closed || !u.conns[n] || w.now-n.opened > workerIdle {
		delete(u.conns, n)
		w.send(&u.process, &n.e.process, func() { n.end(classifier.SendFailed) })
		return
	}
	n.running = true
	u.active++
	n.callerRequest.runs++
	n.call.hasRun = true
	w.checkServed(u, n)
	n.reachStep(WorkerStarted)
	if u.failing {
		u.closeConn(n)
		w.send(&u.process, &n.e.process, func() { n.end(classifier.AnswerLost) })
		return
	}
	w.after(&u.process, 100*ms+time.Duration(w.rng.Int64N(int64(600*ms))), func() {
		if !n.running {
			return
		}
		u.closeConn(n)
		if !n.silent {
			w.send(&u.process, &n.e.process, func() { n.end(classifier.None) })
		}
		n.reachStep(AnswerSent)
	})
}

// closeConn closes a connection at the worker and ends its request (A4).
func (u *upstream) closeConn(n *conn) {
	if n.running {
		n.running = false
		u.active--
	}
	n.closed = true
	delete(u.conns, n)
}

// endWorker ends a worker process and breaks its connections.
func (w *world) endWorker(u *upstream) {
	w.end(&u.process)
	for n := range u.conns {
		n.running, n.closed = false, true
		if n.sent {
			w.send(nil, &n.e.process, func() { n.end(classifier.AnswerLost) })
		}
	}
}

func sortedTasks(tasks map[modeler.TaskID]*taskRun) []modeler.TaskID {
	return slices.SortedFunc(maps.Keys(tasks), func(x, y modeler.TaskID) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Index, y.Index))
	})
}

func sorted(rpcs map[modeler.Sequence]*rpc) []modeler.Sequence {
	return slices.Sorted(maps.Keys(rpcs))
}
