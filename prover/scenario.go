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

// origin is the snapshot that the first members start from.
func origin() replicator.Saved {
	list := []modeler.Member{{ID: 1}, {ID: 2}, {ID: 3}}
	return replicator.Saved{Snapshot: modeler.Snapshot{Index: 1, Term: 1, Membership: modeler.Membership{Members: list}}}
}

// newWorld brings up a cell that serves requests and runs tasks.
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
	w.every(nil, 100*ms, w.watchLinks)
	first := w.content(1, 0)
	first.Jobs = []modeler.Job{{ID: keepJob, Team: team, Kind: modeler.LongRunning, Tasks: 3, Size: taskSize}}
	w.operate(first, 0, 0)
	w.until(8*time.Second, "a first start", func() bool { return w.serves() && w.running(keepJob) == 3 })
	return w
}

// content is a complete ticket; its variants differ in one number.
func (w *world) content(number modeler.TicketNumber, variant int) *modeler.Ticket {
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

// operate is an operator who sends a ticket, and resends it through the next
// entry host until it has an outcome. Tries counts the answers that get lost.
func (w *world) operate(ticket *modeler.Ticket, variant, at int) {
	w.operateLossy(ticket, variant, at, 0)
}

func (w *world) operateLossy(ticket *modeler.Ticket, variant, at, lost int) {
	e := w.entries[at%len(w.entries)]
	done, traced := false, ticket.Number == w.traced.ticket
	next := func() {
		if !done {
			done = true
			w.operateLossy(ticket, variant, at+1, max(0, lost-1))
		}
	}
	w.after(nil, 4*time.Second, next)
	w.send(nil, &e.process, func() {
		if traced {
			w.reach(TicketSent)
		}
		e.propose(&modeler.Command{Kind: modeler.ApplyTicket, Ticket: ticket}, 3*time.Second, func(r modeler.Result) {
			if traced {
				w.reach(TicketAnswered)
			}
			if done || !e.alive || e.paused > w.now || e.cut > w.now {
				return
			}
			if w.told(ticket.Number, variant, r) && lost == 0 {
				done = true
				w.settled++
				return
			}
			w.after(nil, 20*ms, next)
		})
	})
}

// submitJob submits a job until that has an outcome.
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
				w.reach(TaskSubmitted)
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

// newKey returns a UUIDv7 of this moment.
func (w *world) newKey() modeler.Key {
	w.keys++
	at := uint64(1_800_000_000_000 + w.now/ms)
	return modeler.Key(fmt.Sprintf("%08x-%04x-7000-8000-%012x", at>>16, at&0xffff, w.keys))
}

func (w *world) newAsk(once bool) *ask {
	a := &ask{id: len(w.asks) + 1, once: once, key: w.newKey()}
	w.asks = append(w.asks, a)
	return a
}

// load sends requests of both kinds through all entry hosts.
func (w *world) load(left int) {
	if left > 0 {
		w.submit(w.newAsk(left%2 == 0), left)
		w.after(nil, 90*ms, func() { w.load(left - 1) })
	}
}

// serves reports whether a leader and all entry hosts that exist take work.
func (w *world) serves() bool {
	if w.leader() == nil {
		return false
	}
	for _, e := range w.entries {
		if !e.gone && (!e.alive || e.draining || e.paused > w.now || !e.router.Serving(e.now())) {
			return false
		}
	}
	return true
}

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

// over reports whether every task of a job has ended in the replicated state.
func (w *world) jobOver(id modeler.JobID) bool {
	l := w.leader()
	if l == nil {
		return false
	}
	job, found := l.state.Job(id)
	return found && job.Over()
}

// begin starts the traced path.
func (w *world) begin(path Path, repeat bool) {
	switch path {
	case RequestPath:
		a := w.newAsk(!repeat)
		w.traced.call = a
		w.submit(a, 0)
	case TicketPath:
		w.lastTicket++
		w.traced.ticket = w.lastTicket
		w.operate(w.content(w.lastTicket, 0), 0, 0)
	case TaskPath:
		w.traced.job = cutJob
		w.submitJob(modeler.Job{
			ID: cutJob, Team: team, Kind: modeler.Batch, Tasks: 1, Size: taskSize, Runtime: modeler.Duration(2 * time.Second),
		}, 0)
	case MemberPath:
		old := w.lostMember
		if old == 0 {
			old = w.follower().id
		}
		w.fresh = w.nextMember()
		w.traced.member = old
		w.repair(old, w.fresh)
	}
}

func (w *world) nextMember() modeler.MemberID {
	w.lastMember++
	return w.lastMember
}

// repair starts a fresh member and has it take the place of the old one.
func (w *world) repair(old, fresh modeler.MemberID) {
	w.repairing++
	w.newMember(fresh, replicator.Saved{})
	w.replace(old, fresh)
}

// prepare brings about what a fault needs before its path begins.
func (w *world) prepare(c Case) {
	switch c.Fault {
	case RestartAfterChanges:
		for i := range 200 {
			w.lastTicket++
			command := &modeler.Command{Kind: modeler.ApplyTicket, Ticket: w.content(w.lastTicket, 0)}
			l := w.leader()
			if l == nil || l.propose(l.now(), command, nil) != nil {
				w.fail("no leader takes the changes")
			}
			if w.after(&l.process, 0, func() {}); i%5 == 0 {
				w.pass(2 * ms)
			}
		}
		w.until(3*time.Second, "the changes", func() bool { return w.leader() != nil && w.leader().state.Cell().Ticket == w.lastTicket })
	case SecondHostLost:
		m := w.follower()
		w.lose(&m.process)
		if c.Step.Path() == MemberPath {
			w.lostMember = m.id
			return
		}
		w.repair(m.id, w.nextMember())
		w.until(10*time.Second, "the repair", func() bool { return w.repairing == 0 })
	}
}

func (w *world) lose(p *process) {
	p.gone = true
	w.end(p)
}

// RunCase strikes with one fault and returns the promise that it broke.
func RunCase(c Case, seed uint64) error {
	return run(seed, &injection{Case: c})
}

// RunPair strikes with two faults, the second a while after the first.
func RunPair(first, second Case, seed uint64) error {
	wait := time.Duration(seed % uint64(900*ms))
	return run(seed, &injection{Case: first}, &injection{
		Case: second, wait: wait, repaired: first.LosesMember() && second.LosesMember(),
	})
}

// run runs one case, or two faults in one case.
func run(seed uint64, list ...*injection) error {
	w := newWorld(seed)
	w.play(list)
	return w.report()
}

func (w *world) play(list []*injection) {
	first := list[0]
	for i, f := range list {
		if i == 0 || f.Fault != first.Fault {
			w.prepare(f.Case)
		}
	}
	requests := 14
	if first.Step.Path() == RequestPath {
		// More requests than slots, so that one slot too many is noticed.
		requests = 40
	}
	w.load(requests)
	w.pass(time.Duration(w.rng.Int64N(int64(500 * ms))))
	if w.failure != "" {
		return
	}
	w.faults = list
	w.begin(first.Step.Path(), first.Repeat)
	w.until(15*time.Second, "step "+first.Step.String(), func() bool {
		for _, f := range list {
			if f.over == 0 {
				return false
			}
		}
		return true
	})
	w.after(nil, 400*ms, func() {
		w.workers[3].leaving = true
		w.drain(w.entries[2])
	})
	w.until(30*time.Second, "the end of the fault", func() bool {
		for _, f := range list {
			if w.now < f.over {
				return false
			}
		}
		return true
	})
	w.recover()
}

// recover checks that the system works again after the fault.
func (w *world) recover() {
	w.until(15*time.Second, "service", func() bool { return w.serves() && w.repairing == 0 })
	var late []*ask
	for i := range w.entries {
		if !w.entries[i].gone {
			late = append(late, w.newAsk(true), w.newAsk(false))
			w.submit(late[len(late)-2], i)
			w.submit(late[len(late)-1], i)
		}
	}
	w.submitJob(modeler.Job{ID: laterJob, Team: team, Kind: modeler.Batch, Tasks: 1, Size: taskSize, Runtime: modeler.Duration(2 * time.Second)}, 1)
	w.until(25*time.Second, "answers to all callers", func() bool {
		for _, a := range w.asks {
			if !a.done {
				return false
			}
		}
		return true
	})
	for _, a := range late {
		if a.outcome != classifier.OutcomeRun {
			w.fail("recovery: request %d is told %s", a.id, a.outcome)
		}
	}
	w.recoverTasks()
	w.recoverTickets()
}

func (w *world) recoverTasks() {
	jobs := []modeler.JobID{laterJob}
	if w.traced.job != "" {
		jobs = append(jobs, w.traced.job)
	}
	for id, kind := range w.outcomes {
		if kind != classifier.None && id != hugeJob {
			w.fail("recovery: job %s is refused as %s", id, kind)
		}
	}
	if w.waves > 0 {
		jobs = append(jobs, waveJob)
	}
	for _, id := range jobs {
		w.until(40*time.Second, "the end of job "+string(id), func() bool { return w.jobOver(id) })
	}
	w.until(20*time.Second, "one place for each task", func() bool { return w.running(keepJob) == 3 })
}

// recoverTickets resends every ticket that was sent and sends one more.
func (w *world) recoverTickets() {
	want := w.settled
	for number, f := range w.fates {
		if f.index != 0 {
			want++
			w.operate(w.ticketAgain(number, f.variant), f.variant, int(number))
		}
	}
	w.lastTicket++
	last := w.lastTicket
	w.operate(w.content(last, 0), 0, 1)
	w.until(20*time.Second, "outcomes of tickets", func() bool { return w.settled > want })
	w.until(4*time.Second, "the last ticket in force", func() bool {
		version := w.accepted[len(w.accepted)-1].version
		for _, e := range w.entries {
			if !e.gone && e.newest < version {
				return false
			}
		}
		return w.accepted[len(w.accepted)-1].number == last
	})
	w.until(10*time.Second, "equal members", func() bool { return w.equalMembers() })
}

// ticketAgain is the ticket as it was sent first.
func (w *world) ticketAgain(number modeler.TicketNumber, variant int) *modeler.Ticket {
	t := w.content(number, variant)
	if number == 1 {
		t.Jobs = []modeler.Job{{ID: keepJob, Team: team, Kind: modeler.LongRunning, Tasks: 3, Size: taskSize}}
	}
	return t
}

// equalMembers requires that the members of the group hold the same state.
func (w *world) equalMembers() bool {
	l := w.leader()
	if l == nil {
		return false
	}
	for _, m := range w.members {
		if !m.alive || !w.votes(m.id) {
			continue
		}
		if m.state.Applied() != l.state.Applied() || m.state.Cell().Version != l.state.Cell().Version ||
			m.state.Records().Len() != l.state.Records().Len() || phases(m) != phases(l) {
			return false
		}
	}
	return true
}

func phases(m *member) int {
	sum := 0
	m.state.EachJob(func(job *applier.Job) {
		for i := range job.Tasks {
			sum += int(job.Tasks[i].Attempt) * (int(job.Tasks[i].Phase) + 1)
		}
	})
	return sum
}
