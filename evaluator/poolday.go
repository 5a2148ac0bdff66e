package evaluator

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

const (
	poolTick     = 20 * time.Millisecond
	poolLease    = 6 * time.Second
	poolStopTime = 400 * time.Millisecond
	// poolStop is how long a worker takes to stop a task, and poolRestore how long
	// a task takes to resume from a checkpoint.
	poolStop    = 200 * time.Millisecond
	poolRestore = 600 * time.Millisecond
	// poolGangTimeout is how long a member of a gang waits for the others.
	poolGangTimeout = 3 * time.Second
	// poolAnnouncement is the time between announcements of a worker.
	poolAnnouncement = time.Second
)

// poolDay simulates one day under one policy: arrivals, workers, the outside
// policy and the leader's decisions.
type poolDay struct {
	settings *PoolSettings
	policy   PoolPolicy
	seed     uint64
	loop     *EventLoop
	state    *sequencer.Sequencer
	leader   *dispatcher.Dispatcher
	term     modeler.Term
	workers  []*poolWorker
	flows    []*poolFlow
	byID     map[modeler.FlowID]*poolFlow
	// doneAt holds when each flow was committed as done.
	doneAt    map[modeler.FlowID]time.Duration
	asking    int
	preempted int
	lostWork  time.Duration
}

// poolWorker is a worker of the pool.
type poolWorker struct {
	modeler.WorkerAnnouncement
	speed   float64
	running map[modeler.FlowTask]*poolTask
	highest map[modeler.FlowTask]modeler.Attempt
	ended   []modeler.EndedAttempt
	number  modeler.Sequence
	// renewal answers the renewal that waits for an end, or is nil.
	renewal func()
}

// poolTask is a running attempt.
type poolTask struct {
	flow    *poolFlow
	attempt modeler.Attempt
	// resumed is the work that was done before, and starts is when work begins.
	resumed time.Duration
	starts  time.Duration
	working bool
	ending  bool
}

func newPoolDay(s *PoolSettings, p PoolPolicy, seed uint64) *poolDay {
	d := &poolDay{
		settings: s, policy: p, seed: seed, loop: NewEventLoop(seed), state: sequencer.New(),
		flows: poolArrivals(s, seed), byID: make(map[modeler.FlowID]*poolFlow), doneAt: make(map[modeler.FlowID]time.Duration),
	}
	for i := range s.Workers.Count {
		d.workers = append(d.workers, &poolWorker{
			WorkerAnnouncement: modeler.WorkerAnnouncement{
				ID: modeler.WorkerID(fmt.Sprintf("w%04d", i)), Generation: 1, Address: fmt.Sprintf("w%d:1", i), Service: poolService,
				Capacity: s.Workers.capacity(),
			},
			speed: s.Workers.speed(i), running: make(map[modeler.FlowTask]*poolTask), highest: make(map[modeler.FlowTask]modeler.Attempt),
		})
	}
	return d
}

// speed returns the speed of a worker relative to the usual one.
func (w PoolWorkers) speed(i int) float64 {
	if len(w.Speeds) == 0 {
		return 1
	}
	return w.Speeds[i%len(w.Speeds)]
}

// now returns the leader's clock, which doesn't start at 0 because 0 means never.
func (d *poolDay) now() modeler.ClockReading { return modeler.ClockReading(d.loop.Now + time.Hour) }

func (d *poolDay) stamp() modeler.Timestamp {
	return modeler.Timestamp(time.Duration(d.now()) / time.Millisecond)
}

func (d *poolDay) clock() modeler.WorkerClock { return modeler.WorkerClock(d.stamp()) }

// chance returns a number from 0 to 1 that depends only on the seed and the parts,
// so that it is the same under each policy.
func (d *poolDay) chance(parts ...any) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, d.seed, parts)
	return float64(h.Sum64()%1_000_003) / 1_000_003
}

func (d *poolDay) run() {
	var announcements []modeler.WorkerAnnouncement
	for _, w := range d.workers {
		announcements = append(announcements, w.WorkerAnnouncement)
	}
	d.state.UpdateWorkers(announcements, nil)
	d.state.Changes()
	d.electLeader()
	for _, o := range d.settings.Outages {
		d.loop.After(o.At.Std(), func() { d.leader = nil })
		d.loop.After(o.At.Std()+o.For.Std(), d.electLeader)
	}
	for _, f := range d.flows {
		d.byID[f.ID] = f
		d.loop.After(f.arrival, func() { d.submit(f) })
	}
	end := d.settings.Length.Std() + d.settings.Drain.Std()
	for d.loop.Now < end {
		d.loop.RunUntil(d.loop.Now + poolTick)
		if d.leader == nil {
			continue
		}
		if d.loop.Now%poolAnnouncement < poolTick {
			for _, w := range d.workers {
				d.leader.HandleAnnouncement(d.now(), &w.WorkerAnnouncement)
			}
		}
		if d.loop.Now%(100*time.Millisecond) < poolTick {
			d.leader.Tick(d.now(), d.stamp())
		}
		d.decide()
	}
}

// electLeader lets a new leader take over the committed state.
func (d *poolDay) electLeader() {
	d.term++
	d.asking = 0
	d.state.Changes()
	d.leader = dispatcher.New(d.now(), d.stamp(), d.term, d.state, dispatcher.Settings{
		MaxLease: poolLease, MaxStopTime: poolStopTime, GangTimeout: poolGangTimeout, MaxTimeOverTarget: 4 * time.Second,
		Disabled: d.policy.Disabled,
	})
}

// submit commits a flow once there is a leader; its caller retries until then.
func (d *poolDay) submit(f *poolFlow) {
	if d.leader == nil {
		d.loop.After(100*time.Millisecond, func() { d.submit(f) })
		return
	}
	d.commit(func() { d.state.Submit(d.stamp(), &f.Flow) })
}

// commit applies a command and passes the changes to the leader.
func (d *poolDay) commit(apply func()) {
	apply()
	if d.leader == nil {
		return
	}
	d.leader.ApplyChanges(d.now(), d.stamp(), d.state.Changes())
	for _, f := range d.flows {
		if held, found := d.state.Flow(f.ID); found && held.State == modeler.FlowCompleted && d.doneAt[f.ID] == 0 {
			d.doneAt[f.ID] = d.loop.Now
		}
	}
}

// afterAs runs an event unless another leader has taken over by then.
func (d *poolDay) afterAs(delay time.Duration, run func(leader *dispatcher.Dispatcher)) {
	leader, term := d.leader, d.term
	d.loop.After(delay, func() {
		if d.leader != nil && d.term == term {
			run(leader)
		}
	})
}

// decide carries out the leader's decisions.
func (d *poolDay) decide() {
	out := d.leader.Output(d.now())
	slices.SortFunc(out.Orders, func(a, b modeler.Order) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Task.Flow, b.Task.Flow), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	for _, o := range out.Orders {
		d.loop.After(d.settings.Network.Std(), func() { d.deliver(o) })
	}
	commit := d.settings.Commit.Std()
	if out.Learned != nil {
		d.afterAs(commit, func(*dispatcher.Dispatcher) { d.state.RecordLearned(out.Learned) })
	}
	if len(out.Starts) > 0 {
		d.afterAs(commit, func(leader *dispatcher.Dispatcher) {
			d.commit(func() { d.state.RecordStarts(out.Starts) })
			leader.HandleProposedStarts(d.now(), out.Starts)
		})
	}
	if len(out.Ends) > 0 {
		d.afterAs(commit, func(leader *dispatcher.Dispatcher) {
			d.commit(func() { d.state.RecordEnds(d.stamp(), out.Ends) })
			leader.HandleProposedEnds(d.now(), out.Ends, true)
		})
	}
	for d.asking < d.settings.Askers {
		ask, found := d.leader.NextPermitRequest(d.now(), true)
		if !found {
			return
		}
		d.asking++
		d.afterAs(ask.Timeout, func(leader *dispatcher.Dispatcher) {
			d.asking--
			answer := modeler.PermitAnswer{Step: ask.Step}
			for _, id := range ask.Workers {
				if d.isAllowed(d.byID[ask.Step.Flow], id) {
					answer.Allowed = append(answer.Allowed, modeler.PermitGrant{Worker: id, Permit: "p"})
				}
			}
			leader.HandlePermitAnswer(d.now(), answer)
		})
	}
}

// isAllowed reports whether the outside policy allows a worker to run a flow.
func (d *poolDay) isAllowed(f *poolFlow, id modeler.WorkerID) bool {
	return f.queue.Permits == nil || d.chance("permit", f.ID, id) < f.queue.Permits.Share
}

// deliver carries out an order on its worker.
func (d *poolDay) deliver(o modeler.Order) {
	w := d.workers[slices.IndexFunc(d.workers, func(w *poolWorker) bool { return w.ID == o.Worker })]
	term := d.term
	answer := func(a modeler.OrderAnswer) {
		a.Clock = d.clock()
		d.loop.After(d.settings.Network.Std(), func() {
			switch {
			case d.leader == nil || d.term != term:
			case o.Kind == modeler.RenewOrder:
				d.leader.HandleRenewalAnswer(d.now(), o, a)
			default:
				d.leader.HandleOrderAnswer(d.now(), o, a)
			}
		})
	}
	switch o.Kind {
	case modeler.RenewOrder:
		w.ended = slices.DeleteFunc(w.ended, func(e modeler.EndedAttempt) bool { return e.Number <= o.Cursor })
		open := true
		w.renewal = func() {
			if open {
				open = false
				answer(d.list(w))
			}
		}
		if len(w.ended) > 0 || o.Wait == 0 {
			w.renewal()
		} else {
			d.loop.After(o.Wait, w.renewal)
		}
	case modeler.StartOrder:
		answer(modeler.OrderAnswer{Outcome: d.start(w, o)})
	case modeler.StopOrder:
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		if t := w.running[o.Task]; t != nil && t.attempt <= o.Attempt && !t.ending {
			d.preempted++
			t.ending = true
			d.loop.After(poolStop, func() { d.end(w, o.Task, t, modeler.EndStopped) })
		}
		answer(modeler.OrderAnswer{Outcome: modeler.OrderAccepted})
	default:
		answer(modeler.OrderAnswer{Outcome: modeler.OrderAccepted})
	}
}

// list returns the lists of a worker.
func (d *poolDay) list(w *poolWorker) modeler.OrderAnswer {
	a := modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Generation: w.Generation, Ended: slices.Clone(w.ended)}
	for _, task := range sortedPoolTasks(w.running) {
		t := w.running[task]
		done := d.workDone(w, t)
		e := modeler.RunningAttempt{Task: task, Attempt: t.attempt, Percent: min(100, int(100*done/max(t.workOf(task), 1)))}
		if whole := done.Truncate(time.Second); t.flow.Steps[0].Checkpoints && whole > 0 {
			e.Saved = modeler.Checkpoint(whole.String())
		}
		a.Running = append(a.Running, e)
	}
	return a
}

func sortedPoolTasks(running map[modeler.FlowTask]*poolTask) []modeler.FlowTask {
	return slices.SortedFunc(maps.Keys(running), func(a, b modeler.FlowTask) int {
		return cmp.Or(cmp.Compare(a.Flow, b.Flow), cmp.Compare(a.Index, b.Index))
	})
}

func (t *poolTask) workOf(task modeler.FlowTask) time.Duration { return t.flow.work[task.Index] }

// workDone returns the work that an attempt has done, with what it resumed from.
func (d *poolDay) workDone(w *poolWorker, t *poolTask) time.Duration {
	if !t.working || d.loop.Now < t.starts {
		return t.resumed
	}
	return t.resumed + time.Duration(float64(d.loop.Now-t.starts)*w.speed)
}

func (d *poolDay) start(w *poolWorker, o modeler.Order) modeler.OrderOutcome {
	if t := w.running[o.Task]; t != nil && t.attempt == o.Attempt {
		return modeler.OrderAccepted
	}
	if o.Attempt <= w.highest[o.Task] || w.running[o.Task] != nil {
		return modeler.OrderSuperseded
	}
	w.highest[o.Task] = o.Attempt
	t := &poolTask{flow: d.byID[o.Task.Flow], attempt: o.Attempt, starts: d.loop.Now}
	if o.Saved != "" {
		saved, err := time.ParseDuration(string(o.Saved))
		if err == nil {
			t.resumed = saved
			t.starts += poolRestore
		}
	}
	w.running[o.Task] = t
	if !t.flow.Steps[0].Gang {
		d.begin(w, o.Task, t)
		return modeler.OrderAccepted
	}
	members := d.gang(o.Task, o.Attempt)
	if len(members) == t.flow.Steps[0].Count {
		for _, m := range members {
			m.task.starts = max(d.loop.Now, m.task.starts)
			d.begin(m.worker, m.id, m.task)
		}
		return modeler.OrderAccepted
	}
	d.loop.After(poolGangTimeout, func() {
		if !t.working {
			d.end(w, o.Task, t, modeler.EndGangTimeout)
		}
	})
	return modeler.OrderAccepted
}

// begin lets an attempt work until it is done or fails.
func (d *poolDay) begin(w *poolWorker, task modeler.FlowTask, t *poolTask) {
	t.working = true
	rest := time.Duration(float64(t.workOf(task)-t.resumed) / w.speed)
	kind := modeler.EndDone
	if d.chance("error", task.Flow, task.Index, t.attempt) < t.flow.queue.Errors {
		kind = modeler.EndFailed
		rest = time.Duration(float64(rest) * d.chance("moment", task.Flow, task.Index, t.attempt))
	}
	d.loop.After(max(0, t.starts-d.loop.Now)+max(rest, time.Millisecond), func() {
		if !t.ending {
			d.end(w, task, t, kind)
		}
	})
}

// poolMember is a running member of a gang.
type poolMember struct {
	worker *poolWorker
	id     modeler.FlowTask
	task   *poolTask
}

func (d *poolDay) gang(task modeler.FlowTask, attempt modeler.Attempt) []poolMember {
	var out []poolMember
	for _, w := range d.workers {
		for _, id := range sortedPoolTasks(w.running) {
			if t := w.running[id]; id.Flow == task.Flow && t.attempt == attempt {
				out = append(out, poolMember{w, id, t})
			}
		}
	}
	return out
}

// end ends an attempt, and with it the other members of its gang.
func (d *poolDay) end(w *poolWorker, task modeler.FlowTask, t *poolTask, kind modeler.EndKind) {
	if w.running[task] != t {
		return
	}
	done := d.workDone(w, t)
	delete(w.running, task)
	e := modeler.EndedAttempt{Task: task, Attempt: t.attempt, Kind: kind}
	if t.flow.Steps[0].Checkpoints && kind != modeler.EndFailed && done > 0 {
		e.Saved = modeler.Checkpoint(done.Truncate(time.Millisecond).String())
	} else if kind != modeler.EndDone {
		d.lostWork += done
	}
	w.number++
	e.Number = w.number
	w.ended = append(w.ended, e)
	if w.renewal != nil {
		w.renewal()
	}
	if !t.flow.Steps[0].Gang {
		return
	}
	others := kind
	if kind != modeler.EndDone {
		others = modeler.EndGangBroken
	}
	for _, m := range d.gang(task, t.attempt) {
		d.end(m.worker, m.id, m.task, others)
	}
}

// credit returns what a flow's caller got.
func (d *poolDay) credit(f *poolFlow) float64 {
	at := d.doneAt[f.ID]
	switch {
	case at == 0 || at > f.lastUse:
		return 0
	case at <= f.deadline:
		return f.worth
	default:
		return f.late
	}
}
