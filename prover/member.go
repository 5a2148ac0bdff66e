package prover

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/allocator"
	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
	"goldcreststack.example/goldcreststack/replicator"
	"goldcreststack.example/goldcreststack/supervisor"
)

// snapshotEvery is the number of entries between snapshots. It is small, so that
// members also catch up by snapshots.
const snapshotEvery = 40

// pendingProposal is a command in the log whose proposer waits for the result.
type pendingProposal struct {
	term  modeler.Term
	reply func(modeler.Result)
}

// member is a simulated control process, which drives the cores as the controller
// does, with a disk that loses unsynced writes.
type member struct {
	process
	w             *world
	id            modeler.MemberID
	disk          replicator.Saved
	diskAt        time.Duration // when the newest write is synced
	log           *replicator.Replicator
	state         *applier.Applier
	slotAllocator *allocator.Allocator
	proposals     map[modeler.Index]pendingProposal
	sessions      map[modeler.EntrySession]*link
	leaderState   *leadership
	term          modeler.Term
	lastIndex     modeler.Index
	lastTerm      modeler.Term
	snapshot      modeler.Index
	hello         modeler.Hello
	// silent holds the members to which the open connection carries no messages,
	// with the time at which it is dialed again.
	silent map[modeler.MemberID]time.Duration
}

func (w *world) newMember(id modeler.MemberID, saved replicator.Saved) *member {
	m := &member{process: *w.newProcess("member-" + string(rune('0'+id))), w: w, id: id, disk: saved, silent: map[modeler.MemberID]time.Duration{}}
	w.members = append(w.members, m)
	for _, e := range w.entries {
		w.links = append(w.links, &link{e: e, m: m})
	}
	m.start()
	return m
}

// start starts the process from the state on its disk.
func (m *member) start() {
	m.alive = true
	m.state = applier.New()
	m.slotAllocator = allocator.New(allocator.Options{})
	m.proposals = map[modeler.Index]pendingProposal{}
	m.sessions = map[modeler.EntrySession]*link{}
	m.leaderState = nil
	if len(m.disk.Snapshot.Data) > 0 {
		if err := m.state.Load(m.disk.Snapshot.Data); err != nil {
			m.w.fail("member %d: load the snapshot on disk: %v", m.id, err)
		}
	}
	m.lastIndex, m.lastTerm, m.snapshot = m.disk.Snapshot.Index, m.disk.Snapshot.Term, m.disk.Snapshot.Index
	saved := m.disk
	saved.Entries = slices.Clone(saved.Entries)
	m.log = replicator.New(replicator.Config{Self: m.id, TailEntries: 16, MaxBatch: 32, Random: m.w.rng.Int64N}, saved, m.now())
	m.hello = modeler.Hello{Member: m.id}
	m.process.flush = m.flush
	m.w.repeatEvery(&m.process, 40*ms, m.tick)
}

func (m *member) now() modeler.ClockReading { return m.w.reading(&m.process) }

func (m *member) tick() {
	now := m.now()
	m.log.Tick(now)
	m.followLeadership(now)
	if m.active(now) {
		m.slotAllocator.Tick(now)
		m.leaderState.tick(now)
	}
}

// active reports whether the member leads with a valid quorum lease.
func (m *member) active(now modeler.ClockReading) bool {
	return m.leaderState != nil && m.log.LeaseValid(now)
}

// flush carries out the decisions of the cores until no more entries are committed.
func (m *member) flush() {
	for m.alive {
		now := m.now()
		m.followLeadership(now)
		if m.leaderState != nil {
			m.slotAllocator.SetLeaseEnd(m.log.LeaseEnd(now))
			m.leaderState.decide(now)
			m.sendGrants(now)
		}
		out := m.log.Output()
		m.carryOut(out)
		if len(out.Committed) == 0 {
			break
		}
	}
	m.updateHello()
}

func (m *member) carryOut(out replicator.Output) {
	if out.HardState != nil && m.alive {
		m.disk.HardState = *out.HardState
	}
	for _, message := range out.Messages {
		m.sendPeer(message)
	}
	if out.Snapshot != nil {
		if len(out.Snapshot.Data) > 0 {
			if err := m.state.Load(out.Snapshot.Data); err != nil {
				m.w.fail("member %d: install a snapshot: %v", m.id, err)
			}
		}
		m.snapshot, m.lastIndex, m.lastTerm = out.Snapshot.Index, out.Snapshot.Index, out.Snapshot.Term
	}
	if out.Write != 0 {
		// The disk syncs one write after the other.
		m.diskAt = max(m.w.now, m.diskAt) + ms/2 + time.Duration(m.w.rng.Int64N(int64(ms)))
		m.w.after(&m.process, m.diskAt-m.w.now, func() {
			m.persist(out)
			m.log.Synced(m.now(), out.Write)
		})
	}
	m.apply(out.Committed)
}

// persist makes a write durable. It runs as an event of the process, so writes that
// are not synced before a crash are lost.
func (m *member) persist(out replicator.Output) {
	if out.Snapshot != nil {
		m.disk.Snapshot, m.disk.Entries = *out.Snapshot, nil
	}
	if len(out.Entries) > 0 {
		first := out.Entries[0].Index
		kept := slices.DeleteFunc(slices.Clone(m.disk.Entries), func(e modeler.LogEntry) bool { return e.Index >= first })
		if len(kept) > 0 && kept[len(kept)-1].Index+1 < first {
			kept = nil
		}
		m.disk.Entries = append(kept, out.Entries...)
	}
	for i := range out.Entries {
		m.w.onStored(m, &out.Entries[i])
	}
}

func (m *member) sendPeer(message modeler.PeerMessage) {
	for _, other := range m.w.members {
		if other.id != message.To {
			continue
		}
		if m.silent[other.id] > m.w.now || other.silent[m.id] > m.w.now {
			return
		}
		m.w.send(&m.process, &other.process, func() { other.log.Step(other.now(), message) })
	}
}

func (m *member) apply(entries []modeler.LogEntry) {
	for i := range entries {
		e := &entries[i]
		m.w.checkCommitted(m, e)
		result := modeler.Result{Index: e.Index}
		if e.Kind == modeler.NormalEntry {
			var err error
			if result, err = m.state.ApplyData(e.Index, e.Data); err != nil {
				m.w.fail("member %d: apply a log entry: %v", m.id, err)
			}
			m.w.onApplied(m, e, result)
		}
		m.lastIndex, m.lastTerm = e.Index, e.Term
		if p, found := m.proposals[e.Index]; found {
			delete(m.proposals, e.Index)
			if p.term != e.Term {
				result = modeler.Result{Kind: classifier.NoLeader}
			}
			p.reply(result)
		}
	}
	changes := m.state.TakeChanges()
	if m.leaderState != nil {
		m.leaderState.onChanges(m.now(), changes)
	}
	if m.lastIndex >= m.snapshot+snapshotEvery {
		m.takeSnapshot()
	}
}

func (m *member) takeSnapshot() {
	data, err := m.state.Save()
	if err != nil {
		m.w.fail("member %d: save a snapshot: %v", m.id, err)
		return
	}
	s := modeler.Snapshot{Index: m.lastIndex, Term: m.lastTerm, Membership: m.log.MembershipAt(m.lastIndex), Data: data}
	m.snapshot = s.Index
	m.w.after(&m.process, 2*ms, func() {
		if s.Index > m.disk.Snapshot.Index {
			m.disk.Snapshot = s
			m.disk.Entries = slices.DeleteFunc(slices.Clone(m.disk.Entries), func(e modeler.LogEntry) bool { return e.Index+16 < s.Index })
		}
		m.log.Compact(s)
	})
}

func (m *member) propose(now modeler.ClockReading, c *modeler.Command, reply func(modeler.Result)) error {
	c.At = m.w.wallClock(&m.process)
	index, term, err := m.log.Propose(now, applier.Encode(c))
	if err != nil {
		return err
	}
	if reply != nil {
		m.proposals[index] = pendingProposal{term: term, reply: reply}
	}
	m.w.onProposed(m, index, c)
	return nil
}

func (m *member) followLeadership(now modeler.ClockReading) {
	status := m.log.Status()
	m.term = status.Term
	leads := status.Role == replicator.Leader
	if m.leaderState != nil && (!leads || m.leaderState.term != status.Term) {
		m.leaderState = nil
		m.slotAllocator.Resign()
		for index, p := range m.proposals {
			delete(m.proposals, index)
			p.reply(modeler.Result{Kind: classifier.ProposalLost})
		}
	}
	if m.leaderState == nil && leads && m.log.LeaseValid(now) && m.lastIndex >= status.Commit {
		m.w.addLog("member %d leads in term %d", m.id, status.Term)
		m.leaderState = newLeadership(m, now, status.Term)
		m.slotAllocator.Lead(now, status.Term, m.state.Records().Sessions())
		m.slotAllocator.SetLeaseEnd(m.log.LeaseEnd(now))
		m.leaderState.configure(now)
	}
}

func (m *member) updateHello() {
	next := modeler.Hello{Member: m.id, Term: m.term, IsLeader: m.leaderState != nil}
	if m.hello.Term == next.Term && m.hello.IsLeader == next.IsLeader {
		return
	}
	m.hello = next
	for _, l := range m.sessions {
		m.w.toEntry(l, func() { l.e.onHello(l, next) })
	}
}

func (m *member) linkUp(l *link) {
	hello := m.hello
	m.sessions[l.e.session()] = l
	m.w.toEntry(l, func() { l.e.onHello(l, hello) })
	if m.leaderState != nil {
		m.sendConfiguration(l)
	}
}

func (m *member) linkDown(l *link, epoch int) {
	for session, known := range m.sessions {
		if known == l && l.epoch == epoch {
			delete(m.sessions, session)
			m.slotAllocator.Detach(m.now(), session)
		}
	}
}

func (m *member) sendConfiguration(l *link) {
	c := m.state.Configuration()
	m.w.toEntry(l, func() { l.e.onConfiguration(&c) })
}

func (m *member) sendGrants(now modeler.ClockReading) {
	out := m.slotAllocator.TakeOutput()
	for _, g := range out.Grants {
		if l := m.sessions[g.To]; l != nil {
			m.w.toEntry(l, func() {
				if l.e.session() == g.To {
					l.e.router.Grant(l.e.now(), g.Grant)
				}
			})
		}
	}
	for i := range out.Commands {
		_ = m.propose(now, &out.Commands[i], nil)
	}
}

// onRenew handles the session renewal of an entry host.
func (m *member) onRenew(session modeler.EntrySession, renew *modeler.SessionRenewal) {
	now := m.now()
	if !m.active(now) {
		return
	}
	m.leaderState.register(now, session)
	m.slotAllocator.Renew(now, renew)
}

// onHeartbeat handles a worker's heartbeat from an entry host.
func (m *member) onHeartbeat(l *link, b *modeler.Heartbeat, answer func(modeler.HeartbeatAnswer)) {
	now := m.now()
	if !m.active(now) {
		return
	}
	out := m.leaderState.heartbeat(now, b)
	out.Receipt, out.Next = m.slotAllocator.Heartbeat(now, b)
	m.w.recordLeaving(b)
	m.w.toEntry(l, func() { answer(out) })
}

// onPropose handles the proposal of an entry host.
func (m *member) onPropose(l *link, c *modeler.Command, answer func(modeler.Result)) {
	now := m.now()
	reply := func(r modeler.Result) { m.w.toEntry(l, func() { answer(r) }) }
	if !m.active(now) {
		reply(modeler.Result{Kind: classifier.NoLeader})
		return
	}
	if result, known := m.leaderState.precheck(now, c); known {
		reply(result)
		return
	}
	copied := *c
	if err := m.propose(now, &copied, reply); err != nil {
		reply(modeler.Result{Kind: classifier.KindOf(err)})
	}
}

// leadership is the state of a leader beyond the replicated state.
type leadership struct {
	m              *member
	term           modeler.Term
	startedAt      modeler.ClockReading
	tasks          *supervisor.Supervisor
	taskPlacer     *placer.Placer
	heartbeats     map[modeler.WorkerID]modeler.Heartbeat
	unproposedEnds []modeler.TaskEnd
	registering    map[modeler.EntrySession]modeler.ClockReading
	placementDue   bool
}

func newLeadership(m *member, now modeler.ClockReading, term modeler.Term) *leadership {
	l := &leadership{
		m: m, term: term, startedAt: now, placementDue: true,
		tasks:       supervisor.New(now, term),
		taskPlacer:  placer.New(placer.Settings{}),
		heartbeats:  map[modeler.WorkerID]modeler.Heartbeat{},
		registering: map[modeler.EntrySession]modeler.ClockReading{},
	}
	for _, team := range m.state.Cell().Teams {
		l.taskPlacer.SetTeam(now, team)
	}
	m.state.EachJob(func(job *applier.Job) { l.restore(now, job) })
	return l
}

func (l *leadership) restore(now modeler.ClockReading, job *applier.Job) {
	if job.HasEnded() {
		return
	}
	records := make([]placer.TaskRecord, len(job.Tasks))
	for i, task := range job.Tasks {
		records[i] = placer.TaskRecord{Index: modeler.TaskIndex(i), Attempt: task.Attempt, Over: task.Phase == applier.PhaseEnded}
		if task.Phase == applier.PhasePlaced {
			records[i].Worker, records[i].Generation = task.Worker, task.Generation
			l.tasks.Restore(modeler.Placement{
				Task:    modeler.TaskID{Job: job.Spec.ID, Index: modeler.TaskIndex(i)},
				Attempt: task.Attempt, Worker: task.Worker, Generation: task.Generation,
			}, &job.Spec)
		}
	}
	l.taskPlacer.Restore(now, job.Spec, records)
	if job.Cancelled {
		l.taskPlacer.Cancel(now, job.Spec.ID)
	}
}

func (l *leadership) tick(now modeler.ClockReading) {
	l.tasks.Tick(now)
	l.placementDue = true
}

func (l *leadership) heartbeat(now modeler.ClockReading, b *modeler.Heartbeat) modeler.HeartbeatAnswer {
	old := l.heartbeats[b.Worker]
	if b.Generation > old.Generation || b.Generation == old.Generation && b.Clock > old.Clock {
		l.heartbeats[b.Worker] = *b
		l.taskPlacer.SetWorker(now, placer.DescribeWorker(*b))
		l.taskPlacer.Usage(now, b.Worker, b.Generation, b.Tasks)
	}
	return l.tasks.Heartbeat(now, b)
}

// decide supervises tasks, decides placements when due, and proposes task ends.
func (l *leadership) decide(now modeler.ClockReading) {
	if !l.m.active(now) {
		return
	}
	l.supervise(now)
	if l.placementDue {
		l.placementDue = false
		l.place(now)
	}
	l.supervise(now)
	if len(l.unproposedEnds) > 0 && l.m.propose(now, &modeler.Command{Kind: modeler.EndTasks, TaskEnds: l.unproposedEnds}, nil) == nil {
		l.unproposedEnds = nil
	}
}

func (l *leadership) supervise(now modeler.ClockReading) {
	out := l.tasks.TakeOutput()
	for _, o := range out.Orders {
		l.m.w.deliverOrder(l, o)
	}
	for _, e := range out.Events {
		switch e.Kind {
		case supervisor.AttemptEnded:
			l.unproposedEnds = append(l.unproposedEnds, e.End)
		case supervisor.WorkerSilent:
			l.taskPlacer.LoseWorker(now, e.Worker)
		}
	}
}

func (l *leadership) place(now modeler.ClockReading) {
	var placements []modeler.Placement
	for _, d := range l.taskPlacer.Decide(now, 256) {
		switch d.Verb {
		case modeler.StartTask:
			placements = append(placements, d.Placement)
		case modeler.ThrottleTask:
			l.tasks.Throttle(now, d.Placement)
		default:
			l.tasks.Stop(now, d.Placement, d.Verb, "")
		}
	}
	if len(placements) == 0 {
		return
	}
	if l.m.propose(now, &modeler.Command{Kind: modeler.PlaceTasks, Place: placements}, func(modeler.Result) { l.afterPlacement(placements) }) != nil {
		l.afterPlacement(placements)
	}
}

// afterPlacement tells the placer which of the proposed placements did not come into
// effect.
func (l *leadership) afterPlacement(placements []modeler.Placement) {
	for _, p := range placements {
		if job, found := l.m.state.Job(p.Task.Job); found {
			if task := &job.Tasks[p.Task.Index]; task.Phase == applier.PhasePlaced && task.Attempt == p.Attempt {
				continue
			}
		}
		l.taskPlacer.EndAttempt(l.m.now(), modeler.TaskEnd{Task: p.Task, Attempt: p.Attempt, State: modeler.TaskStopped, Retry: true})
	}
	l.placementDue = true
}

func (l *leadership) onChanges(now modeler.ClockReading, changes []applier.Change) {
	for _, c := range changes {
		switch c.Kind {
		case applier.ConfigurationChanged:
			l.configure(now)
		case applier.SessionsChanged:
			l.m.slotAllocator.SetRegistered(now, l.m.state.Records().Sessions())
		case applier.TeamSet:
			l.taskPlacer.SetTeam(now, c.Team)
		case applier.TeamRemoved:
			l.taskPlacer.RemoveTeam(now, c.Team.Name)
		case applier.JobAdded:
			if job, found := l.m.state.Job(c.Job.ID); found {
				l.restore(now, job)
			}
		case applier.JobCancelled:
			l.taskPlacer.Cancel(now, c.Job.ID)
		case applier.TaskPlaced:
			if job, found := l.m.state.Job(c.Placement.Task.Job); found {
				l.tasks.AddPlacement(now, c.Placement, &job.Spec)
			}
		case applier.TaskEnded:
			l.taskPlacer.EndAttempt(now, c.End)
		}
	}
	l.placementDue = l.placementDue || len(changes) > 0
}

func (l *leadership) configure(now modeler.ClockReading) {
	c := l.m.state.Configuration()
	l.m.slotAllocator.Configure(now, &c)
	for _, link := range l.m.sessions {
		l.m.sendConfiguration(link)
	}
}

func (l *leadership) register(now modeler.ClockReading, s modeler.EntrySession) {
	if l.m.state.Records().IsRegistered(s) {
		return
	}
	if since, found := l.registering[s]; found && now.Sub(since) < time.Second {
		return
	}
	l.registering[s] = now
	_ = l.m.propose(now, &modeler.Command{Kind: modeler.RegisterEntry, Session: &s}, nil)
}

// precheck returns the result of a command that can be answered without a proposal.
func (l *leadership) precheck(now modeler.ClockReading, c *modeler.Command) (modeler.Result, bool) {
	switch c.Kind {
	case modeler.ClaimKey:
		return l.m.state.Records().Peek(max(l.m.state.Now(), l.m.w.wallClock(&l.m.process)), c.Claim)
	case modeler.SubmitJob:
		if _, known := l.m.state.Job(c.Submit.Job.ID); known || now.Sub(l.startedAt) < 5*time.Second {
			return modeler.Result{}, false
		}
		if err := l.taskPlacer.Check(c.Submit.Job); err != nil {
			return modeler.Result{Kind: classifier.KindOf(err)}, true
		}
	}
	return modeler.Result{}, false
}

// leader returns the member that leads with a valid lease, or nil.
func (w *world) leader() *member {
	for _, m := range w.members {
		if m.alive && m.pausedUntil <= w.now && m.cutUntil <= w.now && m.active(m.now()) {
			return m
		}
	}
	return nil
}

// follower returns a voter that runs and does not lead, or nil.
func (w *world) follower() *member {
	for _, m := range w.members {
		if m.alive && m.pausedUntil <= w.now && m.cutUntil <= w.now && m.leaderState == nil && w.isVoter(m.id) {
			return m
		}
	}
	return nil
}

func (w *world) isVoter(id modeler.MemberID) bool {
	l := w.leader()
	if l == nil {
		return true
	}
	return slices.ContainsFunc(l.log.Status().Members.Members, func(x modeler.Member) bool { return x.ID == id && !x.Learner })
}

// replaceMember acts as an operator who replaces a member by a fresh one, with one
// change of members at a time, until the old one is removed.
func (w *world) replaceMember(old, fresh modeler.MemberID) {
	again := func() { w.after(nil, 100*ms, func() { w.replaceMember(old, fresh) }) }
	l := w.leader()
	if l == nil {
		again()
		return
	}
	status := l.log.Status()
	members := slices.Clone(status.Members.Members)
	added := slices.IndexFunc(members, func(x modeler.Member) bool { return x.ID == fresh })
	gone := slices.IndexFunc(members, func(x modeler.Member) bool { return x.ID == old })
	switch {
	case added < 0:
		members = append(members, modeler.Member{ID: fresh, Learner: true})
	case members[added].Learner:
		for _, p := range status.Progress {
			if p.Member.ID == fresh && p.Match > 0 && p.Match+32 >= status.Last && old == w.traced.oldMember {
				w.reachStep(MemberCaughtUp)
			}
		}
		members[added].Learner = false
	case gone >= 0:
		members = slices.Delete(members, gone, gone+1)
	default:
		if w.repairing > 0 {
			w.repairing--
		}
		return
	}
	if l.alive && l.pausedUntil <= w.now {
		_ = l.log.ChangeMembers(l.now(), modeler.Membership{Members: members})
		w.after(&l.process, 0, func() {})
	}
	again()
}
