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
	// statusJobs and statusTasks bound what one answer lists.
	statusJobs  = 200
	statusTasks = 200
)

// query answers an operator's question from the leader's state.
func (l *leadership) query(now modeler.ClockReading, q *modeler.Query) modeler.QueryAnswer {
	switch q.Kind {
	case modeler.StatusQuery:
		return document(l.status(now))
	case modeler.TicketQuery:
		return l.ticket(now, q.Ticket)
	case modeler.JobQuery:
		return l.job(now, q.Job)
	case modeler.AddMember, modeler.PromoteMember, modeler.RemoveMember:
		return l.changeMembers(now, q)
	case modeler.TransferToMember:
		return l.transfer(now, q.Member.ID)
	default:
		return failure(classifier.New(classifier.Malformed, "unknown query kind %d", q.Kind))
	}
}

func document(content any) modeler.QueryAnswer {
	data, err := json.Marshal(content)
	if err != nil {
		return failure(classifier.Wrap(classifier.Internal, err, "encode an answer"))
	}
	return modeler.QueryAnswer{Document: data}
}

func failure(err error) modeler.QueryAnswer {
	return modeler.QueryAnswer{Result: modeler.Result{Kind: classifier.KindOf(err), Detail: classifier.DetailOf(err)}}
}

func (l *leadership) status(now modeler.ClockReading) *modeler.Status {
	c := l.core
	log := c.log.Status()
	cell := c.state.Cell()
	force, _ := c.lender.Acknowledged()
	s := &modeler.Status{
		Leader:         c.shell.settings.Member,
		Term:           log.Term,
		Commit:         log.Commit,
		Version:        cell.Version,
		Ticket:         cell.Ticket,
		VersionInForce: force,
		Members:        c.memberStatuses(now, log),
		Pending:        c.pendingMembers(),
		Entries:        c.entryStatuses(now),
		Workers:        l.workerSummary(),
		Records:        c.state.Records().Len(),
	}
	s.Services = l.serviceStatuses()
	s.Tasks.Waiting, s.Tasks.Running = l.cell.Stats().Waiting, l.tasks.Running()
	l.listJobs(now, s)
	return s
}

func (l *leadership) workerSummary() modeler.WorkerSummary {
	stats := l.cell.Stats()
	s := modeler.WorkerSummary{
		Known:       len(l.hosts),
		Quarantined: stats.Quarantine,
		Used:        stats.Declared.Add(stats.Reclaimed),
	}
	for _, view := range l.hosts {
		if view.silent {
			s.Silent++
			continue
		}
		if view.beat.Leaving {
			s.Leaving++
		}
		s.Capacity = s.Capacity.Add(view.beat.Capacity)
	}
	return s
}

func (l *leadership) serviceStatuses() []modeler.ServiceStatus {
	found := make(map[modeler.ServiceName]*modeler.ServiceStatus)
	for name := range l.core.state.Cell().Services {
		found[name] = &modeler.ServiceStatus{Name: name}
	}
	for _, view := range l.hosts {
		if view.silent || view.beat.Leaving {
			continue
		}
		for _, name := range view.beat.Services {
			if s := found[name]; s != nil {
				s.Workers++
				s.Slots += view.beat.Slots
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
		State:     stateOf(job),
		Total:     len(job.Tasks),
		Cancelled: job.Cancelled,
	}
	for i := range job.Tasks {
		task := &job.Tasks[i]
		switch task.Phase {
		case applier.Waiting:
			s.Waiting++
		case applier.Placed:
			s.Placed++
		default:
			s.Ended++
			if bad(task.State) {
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
		s.Reason = l.cell.Why(job.Spec.ID)
	}
	s.Change = l.changeStatus(now, job)
	return s
}

// bad reports whether a task that ended in this state has not done its work.
func bad(s modeler.TaskState) bool {
	return s == modeler.TaskFailed || s == modeler.TaskLost
}

func stateOf(job *applier.Job) modeler.JobState {
	placed, failed := false, false
	for i := range job.Tasks {
		placed = placed || job.Tasks[i].Phase == applier.Placed
		failed = failed || bad(job.Tasks[i].State)
	}
	switch {
	case job.Cancelled && job.Over():
		return modeler.JobCancelled
	case job.Cancelled:
		return modeler.JobCancelling
	case job.Over() && failed:
		return modeler.JobFailed
	case job.Over():
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
		return failure(classifier.New(classifier.UnknownJob, "no job has the id %q", id))
	}
	return document(l.jobStatus(now, job, statusTasks))
}

func (l *leadership) ticket(now modeler.ClockReading, number modeler.TicketNumber) modeler.QueryAnswer {
	cell := l.core.state.Cell()
	held, found := cell.Find(number)
	switch {
	case !found && number <= cell.Forgotten:
		return failure(classifier.New(classifier.TicketForgotten, "ticket %d is older than the history", number))
	case !found:
		return failure(classifier.New(classifier.UnknownTicket, "no accepted ticket has the number %d", number))
	}
	force, known := l.core.lender.Acknowledged()
	answer := &modeler.TicketAnswer{
		Number:   held.Number,
		Version:  held.Version,
		Accepted: true,
		Digest:   held.Digest,
		InForce:  known && force >= held.Version,
	}
	if !known {
		answer.Detail = "the leader is new: entry hosts that it doesn't know may still serve under an older version"
	}
	for _, e := range l.core.entryStatuses(now) {
		if e.Version < held.Version {
			answer.Waiting = append(answer.Waiting, e.Entry)
		}
	}
	return document(answer)
}

// changeMembers changes the replicated group by one member.
func (l *leadership) changeMembers(now modeler.ClockReading, q *modeler.Query) modeler.QueryAnswer {
	members := l.core.log.Status().Members.Members
	at := slices.IndexFunc(members, func(m modeler.Member) bool { return m.ID == q.Member.ID })
	switch {
	case q.Kind == modeler.AddMember && at >= 0 && members[at].Address == q.Member.Address,
		q.Kind == modeler.PromoteMember && at >= 0 && !members[at].Learner:
		// A resend after a lost answer.
		return l.members(now)
	case q.Kind == modeler.AddMember && at >= 0:
		return failure(classifier.New(classifier.Malformed, "member %d exists; a replaced host takes a new id", q.Member.ID))
	case q.Kind == modeler.AddMember:
		members = append(members, modeler.Member{ID: q.Member.ID, Address: q.Member.Address, Learner: true})
	case at < 0:
		return failure(classifier.New(classifier.Malformed, "member %d does not exist", q.Member.ID))
	case q.Kind == modeler.PromoteMember:
		members[at].Learner = false
	default:
		members = slices.Delete(members, at, at+1)
	}
	next := modeler.Membership{Members: members}
	if err := l.core.log.ChangeMembers(now, next); err != nil {
		return failure(err)
	}
	return l.members(now)
}

func (l *leadership) members(now modeler.ClockReading) modeler.QueryAnswer {
	return document(&modeler.MembersAnswer{
		Members: l.core.memberStatuses(now, l.core.log.Status()),
		Pending: l.core.pendingMembers(),
	})
}

// pendingMembers reports whether the newest membership is not committed.
func (c *core) pendingMembers() bool {
	status := c.log.Status()
	return !slices.Equal(c.log.MembershipAt(status.Commit).Members, status.Members.Members)
}

// entryStatuses describes the registered entry hosts.
func (c *core) entryStatuses(now modeler.ClockReading) []modeler.EntryStatus {
	out := c.lender.Entries(now)
	for i := range out {
		out[i].Behind = out[i].Version < c.state.Cell().Version
	}
	slices.SortFunc(out, func(a, b modeler.EntryStatus) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}
