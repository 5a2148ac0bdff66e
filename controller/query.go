package controller

import (
	"cmp"
	"encoding/json"
	"slices"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// statusJobs and statusTasks bound the jobs and tasks listed in one answer.
	statusJobs  = 200
	statusTasks = 200
)

// query answers an operator's query from the leader's state.
func (l *leadership) query(now modeler.ClockReading, q *modeler.Query) modeler.QueryAnswer {
	switch q.Kind {
	case modeler.StatusQuery:
		return documentAnswer(l.status(now))
	case modeler.TicketQuery:
		return l.ticket(now, q.Ticket)
	case modeler.JobQuery:
		return l.job(now, q.Job)
	case modeler.AddMember, modeler.PromoteMember, modeler.RemoveMember:
		return l.changeMembers(now, q)
	case modeler.TransferToMember:
		return l.transfer(now, q.Member.ID)
	default:
		return errorAnswer(classifier.New(classifier.Malformed, "unknown query kind %d", q.Kind))
	}
}

func documentAnswer(content any) modeler.QueryAnswer {
	data, err := json.Marshal(content)
	if err != nil {
		return errorAnswer(classifier.Wrap(classifier.Internal, err, "encode an answer"))
	}
	return modeler.QueryAnswer{Document: data}
}

func errorAnswer(err error) modeler.QueryAnswer {
	return modeler.QueryAnswer{Result: modeler.Result{Kind: classifier.KindOf(err), Detail: classifier.DetailOf(err)}}
}

func (l *leadership) status(now modeler.ClockReading) *modeler.Status {
	c := l.core
	log := c.log.Status()
	cell := c.state.Cell()
	inForce, _ := c.slotAllocator.AcknowledgedVersion()
	s := &modeler.Status{
		Leader:         c.controller.settings.Member,
		Term:           log.Term,
		Commit:         log.Commit,
		Version:        cell.Version,
		Ticket:         cell.Ticket,
		VersionInForce: inForce,
		Members:        c.memberStatuses(now, log),
		Quorum:         l.quorumStatus(now, &log),
		Pending:        c.pendingMembers(),
		Entries:        c.entryStatuses(now),
		Workers:        l.workerSummary(),
		Records:        c.state.Records().Len(),
	}
	s.Services = l.serviceStatuses()
	s.Tasks.Waiting, s.Tasks.Running = l.cell.Stats().Waiting, l.taskSupervisor.AttemptCount()
	s.Interference = l.worstPairs()
	l.listJobs(now, s)
	if l.flows != nil {
		l.flows.addStatus(now, s)
	}
	return s
}

// worstPairs lists the believed pairs of images with the largest slowdowns.
func (l *leadership) worstPairs() []modeler.PairStatus {
	if l.flows == nil {
		return nil
	}
	var out []modeler.PairStatus
	for _, e := range l.flows.cell.Interference(statusPairs).Worst {
		if e.Believed {
			out = append(out, modeler.PairStatus{Image: e.Image, Beside: e.Beside, Cores: e.Size.Cores(), Slowdown: e.Slowdown, Error: e.Error})
		}
	}
	return out
}

// statusPairs bounds the pairs of images in a status.
const statusPairs = 10

// addStatus adds the accounts and the first waiting steps of flows.
func (l *flowLeadership) addStatus(now modeler.ClockReading, s *modeler.Status) {
	stats := l.cell.Stats(now)
	s.Accounts, s.Reasons = stats.Accounts, stats.Reasons
	for i := range stats.Steps {
		step := &stats.Steps[i]
		s.Steps = append(s.Steps, modeler.StepStatus{
			Request: step.Request, Step: step.Step, Queue: step.Queue, Account: step.Account,
			Tasks: step.Tasks, Waited: step.WaitingFor, Reason: step.Reason,
		})
	}
}

func (l *leadership) workerSummary() modeler.WorkerSummary {
	stats := l.cell.Stats()
	s := modeler.WorkerSummary{
		Known:       len(l.workers),
		Quarantined: stats.Quarantine,
		Used:        stats.Declared.Add(stats.Reclaimed),
	}
	for _, view := range l.workers {
		if view.isSilent {
			s.Silent++
			continue
		}
		if view.heartbeat.Leaving {
			s.Leaving++
		}
		s.Capacity = s.Capacity.Add(view.heartbeat.Capacity)
	}
	return s
}

func (l *leadership) serviceStatuses() []modeler.ServiceStatus {
	found := make(map[modeler.ServiceName]*modeler.ServiceStatus)
	for name := range l.core.state.Cell().Services {
		found[name] = &modeler.ServiceStatus{Name: name}
	}
	for _, view := range l.workers {
		if view.isSilent || view.heartbeat.Leaving {
			continue
		}
		for _, name := range view.heartbeat.Services {
			if s := found[name]; s != nil {
				s.Workers++
				s.Slots += view.heartbeat.Slots
			}
		}
	}
	out := make([]modeler.ServiceStatus, 0, len(found))
	for _, s := range found {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b modeler.ServiceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (l *leadership) listJobs(now modeler.ClockReading, s *modeler.Status) {
	l.core.state.EachJob(func(job *applier.Job) {
		if len(s.Jobs) >= statusJobs {
			s.Hidden++
			return
		}
		s.Jobs = append(s.Jobs, l.jobStatus(now, job, 0))
	})
	slices.SortFunc(s.Jobs, func(a, b modeler.JobStatus) int { return cmp.Compare(a.ID, b.ID) })
}

func (l *leadership) jobStatus(now modeler.ClockReading, job *applier.Job, tasks int) modeler.JobStatus {
	s := modeler.JobStatus{
		ID:        job.Spec.ID,
		Team:      job.Spec.Team,
		Kind:      job.Spec.Kind,
		State:     jobState(job),
		Total:     len(job.Tasks),
		Cancelled: job.Cancelled,
	}
	for i := range job.Tasks {
		task := &job.Tasks[i]
		switch task.Phase {
		case applier.PhaseWaiting:
			s.Waiting++
		case applier.PhasePlaced:
			s.Placed++
		default:
			s.Ended++
			if hasFailed(task.State) {
				s.Failed++
			}
		}
		if i < tasks {
			s.Tasks = append(s.Tasks, modeler.TaskStatus{
				Index:   modeler.TaskIndex(i),
				Phase:   task.Phase.String(),
				Attempt: task.Attempt,
				Worker:  task.Worker,
				State:   task.State,
				Detail:  task.Detail,
			})
		}
	}
	if s.Waiting > 0 {
		s.Reason = l.cell.ExplainWait(job.Spec.ID)
	}
	s.Change = l.changeStatus(now, job)
	return s
}

// hasFailed reports whether a task that ended in this state did not do its
// work.
func hasFailed(s modeler.TaskState) bool {
	return s == modeler.TaskFailed || s == modeler.TaskLost
}

func jobState(job *applier.Job) modeler.JobState {
	placed, failed := false, false
	for i := range job.Tasks {
		placed = placed || job.Tasks[i].Phase == applier.PhasePlaced
		failed = failed || hasFailed(job.Tasks[i].State)
	}
	switch {
	case job.Cancelled && job.HasEnded():
		return modeler.JobCancelled
	case job.Cancelled:
		return modeler.JobCancelling
	case job.HasEnded() && failed:
		return modeler.JobFailed
	case job.HasEnded():
		return modeler.JobDone
	case placed:
		return modeler.JobRunning
	default:
		return modeler.JobWaiting
	}
}

func (l *leadership) job(now modeler.ClockReading, id modeler.JobID) modeler.QueryAnswer {
	job, found := l.core.state.Job(id)
	if !found {
		return errorAnswer(classifier.New(classifier.UnknownJob, "no job has the id %q", id))
	}
	return documentAnswer(l.jobStatus(now, job, statusTasks))
}

func (l *leadership) ticket(now modeler.ClockReading, number modeler.TicketNumber) modeler.QueryAnswer {
	cell := l.core.state.Cell()
	held, found := cell.Find(number)
	switch {
	case !found && number <= cell.HighestForgotten:
		return errorAnswer(classifier.New(classifier.TicketForgotten, "ticket %d is older than the history", number))
	case !found:
		return errorAnswer(classifier.New(classifier.UnknownTicket, "no accepted ticket has the number %d", number))
	}
	inForce, known := l.core.slotAllocator.AcknowledgedVersion()
	answer := &modeler.TicketAnswer{
		Number:   held.Number,
		Version:  held.Version,
		Accepted: true,
		Digest:   held.Digest,
		InForce:  known && inForce >= held.Version,
	}
	if !known {
		answer.Detail = "the leader is new: entry hosts that it doesn't know may still serve under an older version"
	}
	for _, e := range l.core.entryStatuses(now) {
		if e.Version < held.Version {
			answer.Waiting = append(answer.Waiting, e.Entry)
		}
	}
	return documentAnswer(answer)
}

// changeMembers adds, promotes or removes one member of the replicated group.
func (l *leadership) changeMembers(now modeler.ClockReading, q *modeler.Query) modeler.QueryAnswer {
	members := l.core.log.Status().Members.Members
	at := slices.IndexFunc(members, func(m modeler.Member) bool { return m.ID == q.Member.ID })
	event, changed := "", q.Member
	switch {
	case q.Kind == modeler.AddMember && at >= 0 && members[at].Address == q.Member.Address,
		q.Kind == modeler.PromoteMember && at >= 0 && !members[at].Learner:
		// The operator repeats a request whose answer was lost.
		return l.members(now)
	case q.Kind == modeler.AddMember && at >= 0:
		return errorAnswer(classifier.New(classifier.Malformed, "member %d exists; a replaced host takes a new id", q.Member.ID))
	case q.Kind == modeler.AddMember:
		event = "member added"
		members = append(members, modeler.Member{ID: q.Member.ID, Address: q.Member.Address, Learner: true})
	case at < 0:
		return errorAnswer(classifier.New(classifier.Malformed, "member %d does not exist", q.Member.ID))
	case q.Kind == modeler.PromoteMember:
		event, changed = "member votes", members[at]
		members[at].Learner = false
	default:
		event, changed = "member removed", members[at]
		members = slices.Delete(members, at, at+1)
	}
	err := l.core.log.ChangeMembers(now, modeler.Membership{Members: members})
	l.core.reportChange(now, event, changed, err, "reason", "the operator asked for it")
	if err != nil {
		return errorAnswer(err)
	}
	return l.members(now)
}

func (l *leadership) members(now modeler.ClockReading) modeler.QueryAnswer {
	return documentAnswer(&modeler.MembersAnswer{
		Members: l.core.memberStatuses(now, l.core.log.Status()),
		Pending: l.core.pendingMembers(),
	})
}

// pendingMembers reports whether the newest membership is not yet committed.
func (c *core) pendingMembers() bool {
	status := c.log.Status()
	return !slices.Equal(c.log.MembershipAt(status.Commit).Members, status.Members.Members)
}

// entryStatuses returns the states of the registered entry hosts, sorted by
// name.
func (c *core) entryStatuses(now modeler.ClockReading) []modeler.EntryStatus {
	out := c.slotAllocator.Entries(now)
	for i := range out {
		out[i].Behind = out[i].Version < c.state.Cell().Version
	}
	slices.SortFunc(out, func(a, b modeler.EntryStatus) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}
