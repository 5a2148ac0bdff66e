package evaluator

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/limiter"
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
	// poolOverage is the part of a quota by which a gang may exceed it, and
	// poolSubmissions how often a caller submits a flow that is refused.
	poolOverage     = 0.1
	poolSubmissions = 4
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
	// workerByID holds the values of workers.
	workerByID map[modeler.WorkerID]*poolWorker
	flows      []*poolFlow
	byID       map[modeler.FlowID]*poolFlow
	// doneAt holds when each flow was committed as done.
	doneAt    map[modeler.FlowID]time.Duration
	asking    int
	preempted int
	lostWork  time.Duration
	// shares counts the flows that each account has submitted, and weights how many a
	// second are within its share.
	shares *limiter.Buckets
	// leaderFreeAt is when the leader has handled all messages that have arrived.
	leaderFreeAt time.Duration
	maxLag       time.Duration
	weights      map[modeler.TeamName]int
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
	step    *modeler.Step
	attempt modeler.Attempt
	// speed is that of the worker, unless the attempt belongs to the tail.
	speed float64
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
		shares: limiter.NewBuckets(max(len(s.Accounts), 1)), weights: make(map[modeler.TeamName]int), workerByID: make(map[modeler.WorkerID]*poolWorker),
	}
	for _, a := range s.Accounts {
		d.weights[a.Name] = max(a.Weight, 1)
	}
	for i := range s.Workers.Count {
		d.workers = append(d.workers, &poolWorker{
			WorkerAnnouncement: modeler.WorkerAnnouncement{
				ID: modeler.WorkerID(fmt.Sprintf("w%04d", i)), Generation: 1, Address: fmt.Sprintf("w%d:1", i), Service: poolService,
				Capacity: s.Workers.capacity(i),
			},
			speed: s.Workers.speed(i), running: make(map[modeler.FlowTask]*poolTask), highest: make(map[modeler.FlowTask]modeler.Attempt),
		})
	}
	for _, w := range d.workers {
		d.workerByID[w.ID] = w
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

// chanceOf returns the chance of an attempt, which is that of its index alone in the
// first step.
func (d *poolDay) chanceOf(kind string, task modeler.FlowTask, attempt modeler.Attempt) float64 {
	return d.chance(kind, task.Flow, task.Index+stepStride*modeler.TaskIndex(task.Step), attempt)
}

// stepStride is above the number of tasks of any step.
const stepStride = 100_000

func (d *poolDay) run() {
	var announcements []modeler.WorkerAnnouncement
	for _, w := range d.workers {
		announcements = append(announcements, w.WorkerAnnouncement)
	}
	d.state.UpdateWorkers(announcements, nil)
	if len(d.settings.Accounts) > 0 {
		d.state.SetLayout(d.settings.layout())
	}
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
	d.leaderFreeAt = d.loop.Now
	d.state.Changes()
	d.leader = dispatcher.New(d.now(), d.stamp(), d.term, d.state, dispatcher.Settings{
		MaxLease: poolLease, MaxStopTime: poolStopTime, GangTimeout: poolGangTimeout, MaxTimeOverTarget: 4 * time.Second,
		Disabled: d.policy.Disabled, QuotaOverage: poolOverage,
	})
}

// submit commits a flow once there is a leader; its caller retries until then.
func (d *poolDay) submit(f *poolFlow) {
	if d.leader == nil {
		d.loop.After(100*time.Millisecond, func() { d.submit(f) })
		return
	}
	if d.leader.CheckQuota(&f.Flow) != nil {
		return
	}
	if f.Team != "" {
		f.BeyondShare = !d.shares.Take(d.now(), string(f.Team), d.weights[f.Team])
	}
	if f.BeyondShare && d.leader.IsLateBeyondShare(f.Flow.Queue, f.Team) {
		f.submissions++
		if f.submissions < poolSubmissions {
			d.loop.After(time.Second, func() { d.submit(f) })
		}
		return
	}
	d.receive(d.term, func(*dispatcher.Dispatcher) { d.commit(func() { d.state.Submit(d.stamp(), &f.Flow) }) })
	if f.queue.LongRunning {
		d.loop.After(f.life, func() { d.cancel(f) })
	}
}

// cancel ends a long-running flow.
func (d *poolDay) cancel(f *poolFlow) {
	d.commit(func() { d.state.Cancel(d.stamp(), f.ID) })
}

// commit applies a command and passes the changes to the leader.
func (d *poolDay) commit(apply func()) {
	apply()
	if d.leader == nil {
		return
	}
	changes := d.state.Changes()
	d.leader.ApplyChanges(d.now(), d.stamp(), changes)
	for i := range changes {
		id := changes[i].Flow
		if changes[i].Kind != sequencer.FlowEnded || d.doneAt[id] != 0 {
			continue
		}
		if held, found := d.state.Flow(id); found && held.State == modeler.FlowCompleted {
			d.doneAt[id] = d.loop.Now
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

// receive lets the leader of this term handle a message, after those that arrived before.
func (d *poolDay) receive(term modeler.Term, handle func(leader *dispatcher.Dispatcher)) {
	if d.leader == nil || d.term != term {
		return
	}
	if d.settings.LeaderTime == 0 {
		handle(d.leader)
		return
	}
	d.occupyLeader(1)
	d.loop.After(d.leaderFreeAt-d.loop.Now, func() {
		if d.leader != nil && d.term == term {
			handle(d.leader)
		}
	})
}

// occupyLeader takes the leader's time for messages.
func (d *poolDay) occupyLeader(messages int) {
	d.leaderFreeAt = max(d.leaderFreeAt, d.loop.Now) + time.Duration(messages)*d.settings.LeaderTime.Std()
}

// decide carries out the leader's decisions.
func (d *poolDay) decide() {
	lag := max(d.leaderFreeAt-d.loop.Now, 0)
	d.maxLag = max(d.maxLag, lag)
	d.leader.SetEventLag(lag)
	out := d.leader.Output(d.now())
	d.occupyLeader(len(out.Orders))
	slices.SortFunc(out.Orders, func(a, b modeler.Order) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Task.Flow, b.Task.Flow), cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index))
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
		ask, found := d.leader.NextPermitRequest(d.now(), dispatcher.MaySendSlowRequest(d.settings.Askers-d.asking, d.settings.Askers))
		if !found {
			return
		}
		d.asking++
		d.occupyLeader(1)
		f := d.byID[ask.Step.Flow]
		f.requests++
		if len(ask.Workers) <= 2 {
			f.fewRequests++
		}
		term := d.term
		d.afterAs(ask.Timeout+2*d.settings.Network.Std(), func(*dispatcher.Dispatcher) {
			d.asking--
			answer := modeler.PermitAnswer{Step: ask.Step}
			for _, id := range ask.Workers {
				if d.isAllowed(f, id) {
					answer.Allowed = append(answer.Allowed, modeler.PermitGrant{Worker: id, Permit: "p"})
				}
			}
			d.receive(term, func(leader *dispatcher.Dispatcher) { leader.HandlePermitAnswer(d.now(), answer) })
		})
	}
}

// isAllowed reports whether the outside policy allows a worker to run a flow.
func (d *poolDay) isAllowed(f *poolFlow, id modeler.WorkerID) bool {
	return f.queue.Permits == nil || d.chance("permit", f.ID, id) < f.queue.Permits.Share
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
