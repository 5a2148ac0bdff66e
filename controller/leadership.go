package controller

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
	"goldcreststack.example/goldcreststack/supervisor"
)

const (
	// decideMax bounds the decisions that share one log entry.
	decideMax = 256
	// settleTime is how long a new leader waits for workers to announce
	// themselves before it refuses a job as impossible; workers announce
	// themselves each second.
	settleTime = 5 * time.Second
	// redirectAfter is how long urgent work waits for one worker's checkpoint
	// before room is made on another one too. It leaves 1 s of the 1.6 s
	// promised for urgent work to the second worker; a shorter time would cost
	// a second checkpoint more often.
	redirectAfter = 600 * time.Millisecond
	// forgetAfter is how long status counts a silent worker.
	forgetAfter = 10 * time.Minute
)

// leadership is what a leader knows beyond the replicated state.
type leadership struct {
	core  *core
	term  modeler.Term
	began modeler.ClockReading
	tasks *supervisor.Supervisor
	cell  *placer.Placer
	hosts map[modeler.WorkerID]*workerView
	// ends are the ended attempts that are not yet in the log.
	ends      []modeler.TaskEnd
	decide    bool
	replacing replacing
	// flows is nil where the process runs none.
	flows *flowLead
}

// workerView is a worker as status shows it.
type workerView struct {
	beat   modeler.Heartbeat
	heard  modeler.ClockReading
	silent bool
}

// newLeadership rebuilds placement and supervision from the replicated state.
func newLeadership(c *core, now modeler.ClockReading, term modeler.Term) *leadership {
	l := &leadership{
		core:   c,
		term:   term,
		began:  now,
		tasks:  supervisor.New(now, term),
		cell:   placer.New(placer.Settings{}),
		hosts:  make(map[modeler.WorkerID]*workerView),
		decide: true,

		replacing: newReplacing(),
	}
	for _, team := range c.state.Cell().Teams {
		l.cell.SetTeam(now, team)
	}
	for _, job := range c.state.JobsInOrder() {
		l.restore(now, job)
	}
	l.flows = newFlowLead(c, now, term)
	return l
}

func (l *leadership) restore(now modeler.ClockReading, job *applier.Job) {
	if job.Over() {
		return
	}
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.Phase != applier.Placed {
			continue
		}
		l.tasks.Restore(job.Placement(i), job.SpecOf(task))
		if task.Leaving {
			l.stopLeaving(now, job.Placement(i))
		}
	}
	l.fill(now, job)
}

// tick lets deadlines pass.
func (l *leadership) tick(now modeler.ClockReading) {
	l.tasks.Tick(now)
	if l.flows != nil {
		l.flows.stray(now, l.flows.carrier.Expire(now), "no answer came in time")
		l.flows.stray(now, l.flows.carrier.Watch(l.flows.quiet), "the process is quiet")
		l.flows.noteLoad(now)
		l.flows.cell.Tick(now, l.core.stamp())
	}
	l.core.tendMembers(now)
	l.replace(now)
	l.decide = true
	for id, view := range l.hosts {
		// A replaced worker comes back under another name.
		if view.silent && now.Sub(view.heard) > forgetAfter {
			delete(l.hosts, id)
		}
	}
}

// heartbeat takes a worker's report.
func (l *leadership) heartbeat(now modeler.ClockReading, b *modeler.Heartbeat) modeler.HeartbeatAnswer {
	view := l.hosts[b.Worker]
	if view == nil {
		view = &workerView{}
		l.hosts[b.Worker] = view
	}
	fresh := b.Generation > view.beat.Generation || b.Clock > view.beat.Clock
	if fresh && b.Generation >= view.beat.Generation {
		view.beat = *b
		view.heard = now
		view.silent = false
		l.cell.SetWorker(now, placer.Describe(*b))
		l.usage(now, b)
	}
	return l.tasks.Heartbeat(now, b)
}

// act carries out what supervision and placement have decided.
func (l *leadership) act(ctx context.Context, now modeler.ClockReading) {
	if !l.core.active(now) {
		return
	}
	l.superviseTasks(ctx, now)
	if l.decide {
		l.decide = false
		l.place(now)
	}
	l.superviseTasks(ctx, now)
	l.proposeEnds(now)
	if l.flows != nil {
		l.flows.act(ctx, now)
	}
}

func (l *leadership) superviseTasks(ctx context.Context, now modeler.ClockReading) {
	out := l.tasks.Output()
	for _, o := range out.Orders {
		l.core.shell.orders.send(ctx, o)
	}
	for _, e := range out.Events {
		switch e.Kind {
		case supervisor.AttemptEnded:
			l.ends = append(l.ends, e.End)
		case supervisor.WorkerSilent:
			l.cell.LoseWorker(now, e.Worker)
			if view := l.hosts[e.Worker]; view != nil {
				view.silent = true
			}
		}
	}
}

// proposeEnds puts ended attempts into the log. An end that could not be
// proposed waits, since the supervisor has forgotten the attempt.
func (l *leadership) proposeEnds(now modeler.ClockReading) {
	if len(l.ends) == 0 {
		return
	}
	command := &modeler.Command{Kind: modeler.EndTasks, TaskEnds: l.ends}
	if l.core.propose(now, command, nil) == nil {
		l.core.shell.counts.ends.Add(len(l.ends))
		l.ends = nil
	}
}

// place puts the placer's decisions into the log or passes them on.
func (l *leadership) place(now modeler.ClockReading) {
	var placements []modeler.Placement
	begun := time.Now()
	l.cell.Redirect(now, redirectAfter)
	decisions := l.cell.Decide(now, decideMax)
	l.core.shell.counts.decideTime.UpdateDuration(begun)
	for _, d := range decisions {
		id := realID(d.Placement.Task.Job)
		d.Placement.Task.Job = id
		switch d.Verb {
		case modeler.StartTask:
			if job, found := l.core.state.Job(id); found {
				d.Placement.Version = job.First
			}
			placements = append(placements, d.Placement)
		case modeler.ThrottleTask:
			l.tasks.Throttle(now, d.Placement)
		default:
			l.tasks.Stop(now, d.Placement, d.Verb, string(d.Verb)+" by placement")
		}
	}
	if len(placements) == 0 {
		return
	}
	l.core.shell.counts.placements.Add(len(placements))
	command := &modeler.Command{Kind: modeler.PlaceTasks, Place: placements}
	err := l.core.propose(now, command, func(modeler.Result) { l.placed(placements) })
	if err != nil {
		l.placed(placements)
	}
}

// placed takes back the placements that the state machine did not accept.
func (l *leadership) placed(placements []modeler.Placement) {
	now := l.core.shell.now()
	for _, p := range placements {
		if l.holds(p) {
			continue
		}
		l.cell.Ended(now, modeler.TaskEnd{Task: p.Task, Attempt: p.Attempt, State: modeler.TaskStopped, Retry: true})
	}
	l.decide = true
}

// holds reports whether the replicated state holds the placement.
func (l *leadership) holds(p modeler.Placement) bool {
	job, found := l.core.state.Job(p.Task.Job)
	if !found || int(p.Task.Index) >= len(job.Tasks) {
		return false
	}
	task := &job.Tasks[p.Task.Index]
	return task.Phase == applier.Placed && task.Attempt == p.Attempt
}

// follow brings placement and supervision up to the replicated state.
func (l *leadership) follow(now modeler.ClockReading, changes []applier.Change) {
	for i := range changes {
		l.followChange(now, &changes[i])
	}
	if len(changes) > 0 {
		l.decide = true
	}
}

func (l *leadership) followChange(now modeler.ClockReading, c *applier.Change) {
	switch c.Kind {
	case applier.ConfigurationChanged:
		l.configure(now)
	case applier.SessionsChanged:
		l.core.lender.Known(now, l.core.state.Records().Sessions())
	case applier.TeamSet:
		l.cell.SetTeam(now, c.Team)
	case applier.TeamRemoved:
		l.cell.RemoveTeam(now, c.Team.Name)
	case applier.JobAdded:
		if job, found := l.core.state.Job(c.Job.ID); found {
			l.restore(now, job)
		}
	case applier.JobCancelled:
		l.cell.Cancel(now, append(l.replacing.former[c.Job.ID], c.Job.ID)...)
	case applier.JobRevised:
		l.revise(now, c.Job.ID)
	case applier.TaskLeaving:
		l.stopLeaving(now, c.Placement)
	case applier.TaskPlaced:
		l.startPlaced(now, c.Placement)
	case applier.TaskEnded:
		l.ended(now, c)
	}
}

// startPlaced has the worker start a committed placement. A ticket that was
// applied right behind it may have changed the job meanwhile.
func (l *leadership) startPlaced(now modeler.ClockReading, p modeler.Placement) {
	job, found := l.core.state.Job(p.Task.Job)
	if !found || int(p.Task.Index) >= len(job.Tasks) {
		return
	}
	l.tasks.Placed(now, p, job.SpecOf(&job.Tasks[p.Task.Index]))
}

// configure sends the newest configuration to every entry host; those that
// miss it fetch it with their next link.
func (l *leadership) configure(now modeler.ClockReading) {
	configuration := l.core.state.Configuration()
	l.core.lender.Configure(now, &configuration)
	for _, link := range l.core.links {
		link.Send(&modeler.Message{Kind: modeler.ConfigurationMessage, Configuration: &configuration})
	}
}

// precheck answers a proposal from what is known already, without an entry of
// the log.
func (l *leadership) precheck(now modeler.ClockReading, c *modeler.Command) (modeler.Result, bool) {
	switch c.Kind {
	case modeler.ClaimKey:
		if c.Claim == nil {
			return malformed("the claim is missing")
		}
		stamp := max(l.core.state.Now(), modeler.TimestampOf(time.Now()))
		return l.core.state.Records().Peek(stamp, c.Claim)
	case modeler.ApplyTicket:
		if c.Ticket == nil {
			return malformed("the ticket is missing")
		}
	case modeler.SettleKey:
		if c.Settle == nil {
			return malformed("the settlement is missing")
		}
	case modeler.CancelJobs:
		if c.Cancel == nil {
			return malformed("the cancellation is missing")
		}
	case modeler.SubmitJob:
		if c.Submit == nil {
			return malformed("the submission is missing")
		}
		return l.checkSubmission(now, c.Submit)
	default:
		return malformed("entry hosts don't propose this command")
	}
	return modeler.Result{}, false
}

func malformed(detail string) (modeler.Result, bool) {
	return modeler.Result{Kind: classifier.Malformed, Detail: detail}, true
}

// checkSubmission refuses a new job that can never run.
func (l *leadership) checkSubmission(now modeler.ClockReading, s *modeler.Submission) (modeler.Result, bool) {
	if _, known := l.core.state.Job(s.Job.ID); known || now.Sub(l.began) < settleTime {
		return modeler.Result{}, false
	}
	err := l.cell.Check(s.Job)
	if err == nil {
		return modeler.Result{}, false
	}
	return modeler.Result{Kind: classifier.KindOf(err), Detail: err.Error()}, true
}
