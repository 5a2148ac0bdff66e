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
	// decideMax bounds the placement decisions that share one log entry.
	decideMax = 256
	// settleTime is how long a new leader waits for workers to announce
	// themselves before it refuses a job as impossible; workers announce
	// themselves each second.
	settleTime = 5 * time.Second
	// redirectAfter is how long urgent work waits for a checkpoint on one worker
	// before room is made on a second one too. It leaves the second worker 1 s of
	// the 1.6 s promised for urgent work; a shorter time would cost a second
	// checkpoint more often.
	redirectAfter = 600 * time.Millisecond
	// forgetAfter is how long a silent worker is still counted in the status.
	forgetAfter = 10 * time.Minute
)

// leadership is the state that a leader keeps beyond the replicated state.
type leadership struct {
	core           *core
	term           modeler.Term
	startedAt      modeler.ClockReading
	taskSupervisor *supervisor.Supervisor
	// cell decides which tasks of jobs run on which workers.
	cell    *placer.Placer
	workers map[modeler.WorkerID]*workerView
	// taskEnds are the ended attempts that are not yet in the log.
	taskEnds       []modeler.TaskEnd
	needsPlacement bool
	replacements   replacements
	// flows is nil if the process runs no flows.
	flows *flowLeadership
	// leaving has the members that are about to stop, with the reading at which
	// they have said so.
	leaving map[modeler.MemberID]modeler.ClockReading
	// silentMembers has the members whose silence is logged.
	silentMembers map[modeler.MemberID]bool
	// laggingLearners has the learners that answer and have not caught up.
	laggingLearners map[modeler.MemberID]*laggingLearner
}

// workerView is what the status reports about a worker.
type workerView struct {
	heartbeat modeler.Heartbeat
	heardAt   modeler.ClockReading
	isSilent  bool
}

// newLeadership rebuilds the placer and the supervisor from the replicated
// state.
func newLeadership(c *core, now modeler.ClockReading, term modeler.Term) *leadership {
	l := &leadership{
		core:           c,
		term:           term,
		startedAt:      now,
		taskSupervisor: supervisor.New(now, term),
		cell:           placer.New(placer.Settings{}),
		workers:        make(map[modeler.WorkerID]*workerView),
		needsPlacement: true,

		replacements: newReplacements(),

		leaving:         make(map[modeler.MemberID]modeler.ClockReading),
		silentMembers:   make(map[modeler.MemberID]bool),
		laggingLearners: make(map[modeler.MemberID]*laggingLearner),
	}
	for _, team := range c.state.Cell().Teams {
		l.cell.SetTeam(now, team)
	}
	for _, job := range c.state.JobsInOrder() {
		l.restoreJob(now, job)
	}
	l.flows = newFlowLeadership(c, now, term)
	return l
}

// restoreJob registers a job that is not over with the supervisor and the
// placer.
func (l *leadership) restoreJob(now modeler.ClockReading, job *applier.Job) {
	if job.HasEnded() {
		return
	}
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.Phase != applier.PhasePlaced {
			continue
		}
		l.taskSupervisor.Restore(job.Placement(i), job.SpecOf(task))
		if task.Leaving {
			l.stopReplacedAttempt(now, job.Placement(i))
		}
	}
	l.registerJob(now, job)
}

// tick handles the deadlines that have passed.
func (l *leadership) tick(now modeler.ClockReading) {
	l.taskSupervisor.Tick(now)
	if l.flows != nil {
		l.flows.giveUpOrders(now, l.flows.carrier.Expire(now), "no answer came in time")
		l.flows.giveUpOrders(now, l.flows.carrier.CheckSilence(l.flows.linkSilence), "the process is quiet")
		l.flows.updateLoad(now)
		l.flows.cell.Tick(now, l.core.logTime())
	}
	l.watchMembers(now)
	l.watchLearners(now)
	l.core.updateVoters(now)
	l.proposeReplacements(now)
	l.needsPlacement = true
	for id, view := range l.workers {
		// A replaced worker comes back under another name, so its old view is
		// deleted.
		if view.isSilent && now.Sub(view.heardAt) > forgetAfter {
			delete(l.workers, id)
		}
	}
}

// handleHeartbeat records a worker's report and returns the answer to it.
func (l *leadership) handleHeartbeat(now modeler.ClockReading, b *modeler.Heartbeat) modeler.HeartbeatAnswer {
	view := l.workers[b.Worker]
	if view == nil {
		view = &workerView{}
		l.workers[b.Worker] = view
	}
	isNewer := b.Generation > view.heartbeat.Generation || b.Clock > view.heartbeat.Clock
	if isNewer && b.Generation >= view.heartbeat.Generation {
		view.heartbeat = *b
		view.heardAt = now
		view.isSilent = false
		l.cell.SetWorker(now, placer.DescribeWorker(*b))
		l.reportUsage(now, b)
	}
	return l.taskSupervisor.Heartbeat(now, b)
}

// executeDecisions carries out the decisions of the supervisor and the placer,
// if this member holds the leader's lease.
func (l *leadership) executeDecisions(ctx context.Context, now modeler.ClockReading) {
	if !l.core.isActiveLeader(now) {
		return
	}
	l.processSupervisorOutput(ctx, now)
	if l.needsPlacement {
		l.needsPlacement = false
		l.placeTasks(now)
	}
	l.processSupervisorOutput(ctx, now)
	l.proposeEnds(now)
	if l.flows != nil {
		l.flows.executeDecisions(ctx, now)
	}
}

// processSupervisorOutput sends the supervisor's orders and handles its events.
func (l *leadership) processSupervisorOutput(ctx context.Context, now modeler.ClockReading) {
	out := l.taskSupervisor.TakeOutput()
	for _, o := range out.Orders {
		l.core.controller.orders.send(ctx, o)
	}
	for _, e := range out.Events {
		switch e.Kind {
		case supervisor.AttemptEnded:
			l.taskEnds = append(l.taskEnds, e.End)
		case supervisor.WorkerSilent:
			l.cell.LoseWorker(now, e.Worker)
			if view := l.workers[e.Worker]; view != nil {
				view.isSilent = true
			}
		}
	}
}

// proposeEnds proposes ended attempts for the log. Ends that can't be proposed
// are kept and proposed again later, since the supervisor has already forgotten
// the attempts.
func (l *leadership) proposeEnds(now modeler.ClockReading) {
	if len(l.taskEnds) == 0 {
		return
	}
	command := &modeler.Command{Kind: modeler.EndTasks, TaskEnds: l.taskEnds}
	if l.core.propose(now, command, nil) == nil {
		l.core.controller.counts.taskEnds.Add(len(l.taskEnds))
		l.taskEnds = nil
	}
}

// placeTasks proposes the placer's new placements for the log and passes its
// other decisions to the supervisor.
func (l *leadership) placeTasks(now modeler.ClockReading) {
	var placements []modeler.Placement
	begun := time.Now()
	l.cell.RedirectEarmarks(now, redirectAfter)
	decisions := l.cell.Decide(now, decideMax)
	l.core.controller.counts.decideTime.UpdateDuration(begun)
	for _, d := range decisions {
		id := originalJobID(d.Placement.Task.Job)
		d.Placement.Task.Job = id
		switch d.Verb {
		case modeler.StartTask:
			if job, found := l.core.state.Job(id); found {
				d.Placement.Version = job.First
			}
			placements = append(placements, d.Placement)
		case modeler.ThrottleTask:
			l.taskSupervisor.Throttle(now, d.Placement)
		default:
			l.taskSupervisor.Stop(now, d.Placement, d.Verb, string(d.Verb)+" by placement")
		}
	}
	if len(placements) == 0 {
		return
	}
	l.core.controller.counts.placements.Add(len(placements))
	command := &modeler.Command{Kind: modeler.PlaceTasks, Place: placements}
	err := l.core.propose(now, command, func(modeler.Result) { l.releaseRejected(placements) })
	if err != nil {
		l.releaseRejected(placements)
	}
}

// releaseRejected frees the placements that the state machine did not accept,
// so that the placer places the tasks again.
func (l *leadership) releaseRejected(placements []modeler.Placement) {
	now := l.core.controller.now()
	for _, p := range placements {
		if l.isPlaced(p) {
			continue
		}
		l.cell.EndAttempt(now, modeler.TaskEnd{Task: p.Task, Attempt: p.Attempt, State: modeler.TaskStopped, Retry: true})
	}
	l.needsPlacement = true
}

// isPlaced reports whether the replicated state contains the placement.
func (l *leadership) isPlaced(p modeler.Placement) bool {
	job, found := l.core.state.Job(p.Task.Job)
	if !found || int(p.Task.Index) >= len(job.Tasks) {
		return false
	}
	task := &job.Tasks[p.Task.Index]
	return task.Phase == applier.PhasePlaced && task.Attempt == p.Attempt
}

// applyChanges updates the placer and the supervisor after changes of the
// replicated state.
func (l *leadership) applyChanges(now modeler.ClockReading, changes []applier.Change) {
	for i := range changes {
		l.applyChange(now, &changes[i])
	}
	if len(changes) > 0 {
		l.needsPlacement = true
	}
}

func (l *leadership) applyChange(now modeler.ClockReading, c *applier.Change) {
	switch c.Kind {
	case applier.ConfigurationChanged:
		l.broadcastConfiguration(now)
	case applier.SessionsChanged:
		l.core.slotAllocator.SetRegistered(now, l.core.state.Records().Sessions())
	case applier.TeamSet:
		l.cell.SetTeam(now, c.Team)
	case applier.TeamRemoved:
		l.cell.RemoveTeam(now, c.Team.Name)
	case applier.JobAdded:
		if job, found := l.core.state.Job(c.Job.ID); found {
			l.restoreJob(now, job)
		}
	case applier.JobCancelled:
		l.cell.Cancel(now, append(l.replacements.former[c.Job.ID], c.Job.ID)...)
	case applier.JobRevised:
		l.reviseJob(now, c.Job.ID)
	case applier.TaskLeaving:
		l.stopReplacedAttempt(now, c.Placement)
	case applier.TaskPlaced:
		l.startPlacedTask(now, c.Placement)
	case applier.TaskEnded:
		l.handleTaskEnd(now, c)
	}
}

// startPlacedTask orders the worker to start a committed placement. A ticket
// that was applied right after the placement may have changed the job.
func (l *leadership) startPlacedTask(now modeler.ClockReading, p modeler.Placement) {
	job, found := l.core.state.Job(p.Task.Job)
	if !found || int(p.Task.Index) >= len(job.Tasks) {
		return
	}
	l.taskSupervisor.AddPlacement(now, p, job.SpecOf(&job.Tasks[p.Task.Index]))
}

// broadcastConfiguration sends the newest configuration to every entry host; a
// host that misses it gets it when it opens its next link.
func (l *leadership) broadcastConfiguration(now modeler.ClockReading) {
	configuration := l.core.state.Configuration()
	l.core.slotAllocator.Configure(now, &configuration)
	for _, link := range l.core.entryLinks {
		link.Send(&modeler.Message{Kind: modeler.ConfigurationMessage, Configuration: &configuration})
	}
}

// precheck returns the result of a proposal if it is known without a log entry.
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
	if _, known := l.core.state.Job(s.Job.ID); known || now.Sub(l.startedAt) < settleTime {
		return modeler.Result{}, false
	}
	err := l.cell.Check(s.Job)
	if err == nil {
		return modeler.Result{}, false
	}
	return modeler.Result{Kind: classifier.KindOf(err), Detail: err.Error()}, true
}
