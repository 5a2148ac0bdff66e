package prover

import (
	"fmt"
	"math/rand/v2"
	"time"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// origin returns the stored state that the first three members start from.
func origin() replicator.Saved {
	list := []modeler.Member{{ID: 1}, {ID: 2}, {ID: 3}}
	return replicator.Saved{Snapshot: modeler.Snapshot{Index: 1, Term: 1, Membership: modeler.Membership{Members: list}}}
}

// newWorld starts a cell and waits until it serves requests and runs tasks.
func newWorld(seed uint64) *world {
	w := &world{seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), ledger: newLedger(), lastMember: 3, lastTicket: 1, outcomes: map[modeler.JobID]classifier.Kind{}}
	for i := range 3 {
		w.newEntry(modeler.EntryID(fmt.Sprintf("entry-%d", i+1)))
	}
	for id := modeler.MemberID(1); id <= 3; id++ {
		w.newMember(id, origin())
	}
	for i := range 4 {
		w.newWorker(modeler.WorkerID(fmt.Sprintf("worker-%d", i+1)))
	}
	w.repeatEvery(nil, 100*ms, w.watchLinks)
	first := w.newTicket(1, 0)
	first.Jobs = []modeler.Job{{ID: longRunningJob, Team: team, Kind: modeler.LongRunning, Tasks: 3, Size: taskSize}}
	w.sendTicket(first, 0, 0)
	w.runUntil(8*time.Second, "the start of the cell", func() bool { return w.serves() && w.running(longRunningJob) == 3 })
	return w
}

// newTicket returns a complete ticket. The variants of a ticket differ only in the
// number that is the service's rate and the team's weight.
func (w *world) newTicket(number modeler.TicketNumber, variant int) *modeler.Ticket {
	n := 10_000 + int(number)*10 + variant
	return &modeler.Ticket{
		Number: number,
		Services: []modeler.Service{{
			Name: register, Region: "r", Team: team, Limit: modeler.Duration(requestLimit),
			Wait: modeler.Duration(requestWait), Queue: 100, Rate: n,
		}},
		Teams: []modeler.Team{{Name: team, Weight: n, Policy: modeler.Spread, Quota: modeler.Resources{Processors: 1 << 20, Memory: 1 << 20}}},
	}
}

// sendTicket acts as an operator who sends a ticket, and resends it through the next
// entry host until it has an outcome.
func (w *world) sendTicket(ticket *modeler.Ticket, variant, at int) {
	w.sendTicketLossy(ticket, variant, at, 0)
}

// sendTicketLossy acts like sendTicket, but the given number of answers are lost
// first.
func (w *world) sendTicketLossy(ticket *modeler.Ticket, variant, at, lost int) {
	e := w.entries[at%len(w.entries)]
	done, traced := false, ticket.Number == w.traced.ticket
	next := func() {
		if !done {
			done = true
			w.sendTicketLossy(ticket, variant, at+1, max(0, lost-1))
		}
	}
	w.after(nil, 4*time.Second, next)
	w.send(nil, &e.process, func() {
		if traced {
			w.reachStep(TicketSent)
		}
		e.propose(&modeler.Command{Kind: modeler.ApplyTicket, Ticket: ticket}, 3*time.Second, func(r modeler.Result) {
			if traced {
				w.reachStep(TicketAnswered)
			}
			if done || !e.alive || e.pausedUntil > w.now || e.cutUntil > w.now {
				return
			}
			if w.checkTicketOutcome(ticket.Number, variant, r) && lost == 0 {
				done = true
				w.settled++
				return
			}
			w.after(nil, 20*ms, next)
		})
	})
}

// submitJob submits a job, through one entry host after the other, until it has an
// outcome.
func (w *world) submitJob(job modeler.Job, at int) {
	key := w.newKey()
	var try func(int)
	try = func(at int) {
		e, done := w.entries[at%len(w.entries)], false
		next := func() {
			if !done {
				done = true
				try(at + 1)
			}
		}
		w.after(nil, 3*time.Second, next)
		w.send(nil, &e.process, func() {
			if job.ID == w.traced.job {
				w.reachStep(TaskSubmitted)
			}
			e.propose(&modeler.Command{Kind: modeler.SubmitJob, Submit: &modeler.Submission{Key: key, Job: job}}, 2*time.Second, func(r modeler.Result) {
				switch r.Kind {
				case classifier.NoLeader, classifier.NoQuorum, classifier.ProposalLost:
				default:
					done = true
					w.outcomes[job.ID] = r.Kind
				}
			})
		})
	}
	try(at)
}

// newKey returns a UUIDv7 with the present simulated time.
func (w *world) newKey() modeler.Key {
	w.keys++
	at := uint64(1_800_000_000_000 + w.now/ms)
	return modeler.Key(fmt.Sprintf("%08x-%04x-7000-8000-%012x", at>>16, at&0xffff, w.keys))
}

func (w *world) newCallerRequest(once bool) *callerRequest {
	a := &callerRequest{id: len(w.callerRequests) + 1, once: once, key: w.newKey()}
	w.callerRequests = append(w.callerRequests, a)
	return a
}

// sendLoad sends the given number of requests through all entry hosts in turn. Every
// other request must not be repeated.
func (w *world) sendLoad(left int) {
	if left > 0 {
		w.submit(w.newCallerRequest(left%2 == 0), left)
		w.after(nil, 90*ms, func() { w.sendLoad(left - 1) })
	}
}

// serves reports whether there is a leader and all entry hosts that are not lost
// take work.
func (w *world) serves() bool {
	if w.leader() == nil {
		return false
	}
	for _, e := range w.entries {
		if !e.isLost && (!e.alive || e.draining || e.pausedUntil > w.now || !e.router.Serving(e.now())) {
			return false
		}
	}
	return true
}

// running returns the number of places at which tasks of the job run; a task that
// runs at two workers counts twice.
func (w *world) running(job modeler.JobID) int {
	n := 0
	for _, u := range w.workers {
		for task := range u.tasks {
			if task.Job == job && u.runs(task) {
				n++
			}
		}
	}
	return n
}

// jobOver reports whether every task of a job has ended in the replicated state.
func (w *world) jobOver(id modeler.JobID) bool {
	l := w.leader()
	if l == nil {
		return false
	}
	job, found := l.state.Job(id)
	return found && job.HasEnded()
}

// startTracedPath starts the request, ticket, task or change of members whose steps
// are traced.
func (w *world) startTracedPath(path Path, repeat bool) {
	switch path {
	case RequestPath:
		a := w.newCallerRequest(!repeat)
		w.traced.call = a
		w.submit(a, 0)
	case TicketPath:
		w.lastTicket++
		w.traced.ticket = w.lastTicket
		w.sendTicket(w.newTicket(w.lastTicket, 0), 0, 0)
	case TaskPath:
		w.traced.job = tracedJob
		w.submitJob(modeler.Job{
			ID: tracedJob, Team: team, Kind: modeler.Batch, Tasks: 1, Size: taskSize, Runtime: modeler.Duration(2 * time.Second),
		}, 0)
	case MemberPath:
		old := w.lostMember
		if old == 0 {
			old = w.follower().id
		}
		w.newMemberID = w.nextMember()
		w.traced.oldMember = old
		w.startRepair(old, w.newMemberID)
	}
}

func (w *world) nextMember() modeler.MemberID {
	w.lastMember++
	return w.lastMember
}

// startRepair starts a fresh member and replaces the old one by it.
func (w *world) startRepair(old, fresh modeler.MemberID) {
	w.repairing++
	w.newMember(fresh, replicator.Saved{})
	w.replaceMember(old, fresh)
}

// prepareFault sets up the state that a fault requires before the traced path
// starts.
func (w *world) prepareFault(c Case) {
	switch c.Fault {
	case RestartAfterChanges:
		for i := range 200 {
			w.lastTicket++
			command := &modeler.Command{Kind: modeler.ApplyTicket, Ticket: w.newTicket(w.lastTicket, 0)}
			l := w.leader()
			if l == nil || l.propose(l.now(), command, nil) != nil {
				w.fail("prepare: no leader accepts the configuration changes")
			}
			if w.after(&l.process, 0, func() {}); i%5 == 0 {
				w.runFor(2 * ms)
			}
		}
		w.runUntil(3*time.Second, "the application of the configuration changes", func() bool { return w.leader() != nil && w.leader().state.Cell().Ticket == w.lastTicket })
	case SecondHostLost:
		m := w.follower()
		w.loseProcess(&m.process)
		if c.Step.Path() == MemberPath {
			w.lostMember = m.id
			return
		}
		w.startRepair(m.id, w.nextMember())
		w.runUntil(10*time.Second, "the repair", func() bool { return w.repairing == 0 })
	}
}

// loseProcess ends a process that never comes back.
func (w *world) loseProcess(p *process) {
	p.isLost = true
	w.end(p)
}

// RunCase runs one case with the seed and returns the first failed check as an
// error.
func RunCase(c Case, seed uint64) error {
	return run(seed, &injection{Case: c})
}

// RunPair runs a case with two faults, the second up to 900 ms after the step, and
// returns the first failed check as an error. If both faults lose a member, the
// second waits for the repair of the first.
func RunPair(first, second Case, seed uint64) error {
	wait := time.Duration(seed % uint64(900*ms))
	return run(seed, &injection{Case: first}, &injection{
		Case: second, wait: wait, awaitsRepair: first.LosesMember() && second.LosesMember(),
	})
}

// run runs a case with one or two faults.
func run(seed uint64, list ...*injection) error {
	w := newWorld(seed)
	w.runFaults(list)
	return w.report()
}

// runFaults sends load, starts the traced path, waits for the faults to be injected
// and to end, and checks the recovery.
func (w *world) runFaults(list []*injection) {
	first := list[0]
	for i, f := range list {
		if i == 0 || f.Fault != first.Fault {
			w.prepareFault(f.Case)
		}
	}
	requests := 14
	if first.Step.Path() == RequestPath {
		// More requests than slots, so that exceeding the slots by one is detected.
		requests = 40
	}
	w.sendLoad(requests)
	w.runFor(time.Duration(w.rng.Int64N(int64(500 * ms))))
	if w.failure != "" {
		return
	}
	w.faults = list
	w.startTracedPath(first.Step.Path(), first.Repeat)
	w.runUntil(15*time.Second, "step "+first.Step.String(), func() bool {
		for _, f := range list {
			if f.endsAt == 0 {
				return false
			}
		}
		return true
	})
	w.after(nil, 400*ms, func() {
		w.workers[3].leaving = true
		w.drainEntry(w.entries[2])
	})
	w.runUntil(30*time.Second, "the end of the fault", func() bool {
		for _, f := range list {
			if w.now < f.endsAt {
				return false
			}
		}
		return true
	})
	w.checkRecovery()
}

// checkRecovery requires that the system serves again after the fault and that every
// caller gets an answer.
func (w *world) checkRecovery() {
	w.runUntil(15*time.Second, "service", func() bool { return w.serves() && w.repairing == 0 })
	var late []*callerRequest
	for i := range w.entries {
		if !w.entries[i].isLost {
			late = append(late, w.newCallerRequest(true), w.newCallerRequest(false))
			w.submit(late[len(late)-2], i)
			w.submit(late[len(late)-1], i)
		}
	}
	w.submitJob(modeler.Job{ID: recoveryJob, Team: team, Kind: modeler.Batch, Tasks: 1, Size: taskSize, Runtime: modeler.Duration(2 * time.Second)}, 1)
	w.runUntil(25*time.Second, "answers to all callers", func() bool {
		for _, a := range w.callerRequests {
			if !a.done {
				return false
			}
		}
		return true
	})
	for _, a := range late {
		if a.outcome != classifier.OutcomeRun {
			w.fail("recovery: request %d is answered as %s", a.id, a.outcome)
		}
	}
	w.checkTaskRecovery()
	w.checkTicketRecovery()
}

// checkTaskRecovery requires that jobs end and that each task runs in one place.
func (w *world) checkTaskRecovery() {
	jobs := []modeler.JobID{recoveryJob}
	if w.traced.job != "" {
		jobs = append(jobs, w.traced.job)
	}
	for id, kind := range w.outcomes {
		if kind != classifier.None && id != impossibleJob {
			w.fail("recovery: job %s is refused as %s", id, kind)
		}
	}
	if w.waves > 0 {
		jobs = append(jobs, waveJob)
	}
	for _, id := range jobs {
		w.runUntil(40*time.Second, "the end of job "+string(id), func() bool { return w.jobOver(id) })
	}
	w.runUntil(20*time.Second, "one place for each task", func() bool { return w.running(longRunningJob) == 3 })
}

// checkTicketRecovery resends every accepted ticket, sends a new one, and requires
// outcomes, the new ticket in force, and members with equal state.
func (w *world) checkTicketRecovery() {
	want := w.settled
	for number, f := range w.ticketOutcomes {
		if f.index != 0 {
			want++
			w.sendTicket(w.resentTicket(number, f.variant), f.variant, int(number))
		}
	}
	w.lastTicket++
	last := w.lastTicket
	w.sendTicket(w.newTicket(last, 0), 0, 1)
	w.runUntil(20*time.Second, "outcomes of tickets", func() bool { return w.settled > want })
	w.runUntil(4*time.Second, "the last ticket in force", func() bool {
		version := w.accepted[len(w.accepted)-1].version
		for _, e := range w.entries {
			if !e.isLost && e.highestVersion < version {
				return false
			}
		}
		return w.accepted[len(w.accepted)-1].number == last
	})
	w.runUntil(10*time.Second, "equal members", func() bool { return w.equalMembers() })
}

// resentTicket returns a ticket with the content that was sent first.
func (w *world) resentTicket(number modeler.TicketNumber, variant int) *modeler.Ticket {
	t := w.newTicket(number, variant)
	if number == 1 {
		t.Jobs = []modeler.Job{{ID: longRunningJob, Team: team, Kind: modeler.LongRunning, Tasks: 3, Size: taskSize}}
	}
	return t
}

// equalMembers reports whether the running voters hold the same state.
func (w *world) equalMembers() bool {
	l := w.leader()
	if l == nil {
		return false
	}
	for _, m := range w.members {
		if !m.alive || !w.isVoter(m.id) {
			continue
		}
		if m.state.Applied() != l.state.Applied() || m.state.Cell().Version != l.state.Cell().Version ||
			m.state.Records().Len() != l.state.Records().Len() || stateFingerprint(m) != stateFingerprint(l) {
			return false
		}
	}
	return true
}

// stateFingerprint returns a number that depends on the attempt and phase of every
// task.
func stateFingerprint(m *member) int {
	sum := 0
	m.state.EachJob(func(job *applier.Job) {
		for i := range job.Tasks {
			sum += int(job.Tasks[i].Attempt) * (int(job.Tasks[i].Phase) + 1)
		}
	})
	return sum
}
