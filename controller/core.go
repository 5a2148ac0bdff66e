package controller

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"goldcreststack.example/goldcreststack/allocator"
	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

const (
	// leaderTickInterval is the time between two checks of the leader's
	// deadlines. Each check visits every worker, which costs too much for every
	// tick of the replicator.
	leaderTickInterval = 100 * time.Millisecond
	// maxBurst bounds the events handled between two flushes.
	maxBurst = 256
	// maxApplyTime bounds the time for which one turn applies committed entries, and
	// maxApplied is how many are applied between two looks at the clock.
	maxApplyTime = 50 * time.Millisecond
	maxApplied   = 16
	// leaderSilence is how long a member hears no leader until it asks to be
	// admitted again; elections take up to half as long.
	leaderSilence = 2 * time.Second
	// snapshotEvery is the default number of log entries between two snapshots.
	snapshotEvery = 20_000
	// snapshotBytes is the default size of the applied log entries after which a
	// snapshot is taken earlier: a ticket may take 4 MiB, and the log is kept in
	// memory.
	snapshotBytes = 64 << 20
)

// proposal is a proposed command that waits for its result.
type proposal struct {
	term  modeler.Term
	reply func(modeler.Result)
}

// unwrittenSnapshot is a snapshot with the copy of the state that it will hold.
type unwrittenSnapshot struct {
	snapshot modeler.Snapshot
	state    *applier.Copy
}

// core holds the state that only the core goroutine uses.
type core struct {
	controller       *Controller
	log              *replicator.Replicator
	state            *applier.Applier
	slotAllocator    *allocator.Allocator
	pendingProposals map[modeler.Index]proposal
	entryLinks       map[modeler.EntrySession]*linker.Link
	entrySessions    map[*linker.Link]modeler.EntrySession
	// role is the replication role that was logged last.
	role replicator.Role
	// leader is the state of this member's leadership, which begins with a quorum
	// lease; nil while the member does not lead.
	leader *leadership
	// hello is the first message on each new link; other goroutines read it.
	hello    atomic.Pointer[modeler.Hello]
	diskFull bool
	// lastTick is when the leader's deadlines were last checked, and nextTick
	// when the next check is due.
	lastTick modeler.ClockReading
	nextTick modeler.ClockReading
	// nextLinkHandOver is the earliest time of the next leadership transfer
	// because of poor links.
	nextLinkHandOver modeler.ClockReading

	// snapshot is the index of the newest snapshot.
	snapshot         modeler.Index
	isSavingSnapshot bool
	// unwrittenSnapshot waits until the entries that it covers are on the disk;
	// nil if there is none.
	unwrittenSnapshot *unwrittenSnapshot
	// bytesSinceSnapshot is the size of the log entries applied since the last
	// snapshot, and bytesInSnapshot the part of it that the snapshot being saved
	// covers.
	bytesSinceSnapshot modeler.Bytes
	bytesInSnapshot    modeler.Bytes
	appliedTerm        modeler.Term
	// formerTerm is the newest term before appliedTerm that an applied entry had.
	formerTerm   modeler.Term
	appliedIndex modeler.Index
	// leasesOver has the reading from which no lease of a silent worker can be valid.
	leasesOver map[modeler.WorkerID]modeler.ClockReading
	// unapplied holds the committed entries that are not applied yet.
	unapplied []modeler.LogEntry
	// lastEventPosted is when the last handled event was posted.
	lastEventPosted modeler.ClockReading
	// handOverDone is closed when a leadership transfer before a shutdown is
	// over; nil if none is under way.
	handOverDone chan struct{}

	// turn measures the current turn; longTurnLimit limits the lines about long ones.
	turn          turn
	longTurnLimit repeatLimit

	// lostElections is the number of lost elections that have been reported.
	lostElections     uint64
	lostElectionLimit repeatLimit
	// refusalLimits limits the lines about refused changes, for each member.
	refusalLimits map[modeler.MemberID]*repeatLimit
	// lastRefusal says why the newest change of members was refused; empty after
	// an accepted one.
	lastRefusal string
}

func newCore(controller *Controller, saved replicator.Saved) (*core, error) {
	c := &core{
		controller:       controller,
		state:            applier.New(),
		slotAllocator:    allocator.New(allocator.Options{}),
		pendingProposals: make(map[modeler.Index]proposal),
		entryLinks:       make(map[modeler.EntrySession]*linker.Link),
		entrySessions:    make(map[*linker.Link]modeler.EntrySession),
		refusalLimits:    make(map[modeler.MemberID]*repeatLimit),
		leasesOver:       make(map[modeler.WorkerID]modeler.ClockReading),
		snapshot:         saved.Snapshot.Index,
		appliedTerm:      saved.Snapshot.Term,
	}
	if len(saved.Snapshot.Data) > 0 {
		if err := c.state.Load(saved.Snapshot.Data); err != nil {
			return nil, err
		}
		c.noteSilences()
	}
	c.log = replicator.New(replicator.Config{
		Self:        controller.settings.Member,
		ElectionMin: controller.settings.ElectionMin,
		ElectionMax: controller.settings.ElectionMax,
	}, saved, controller.now())
	c.hello.Store(&modeler.Hello{Member: controller.settings.Member})
	c.updateHello(c.log.Status())
	return c, nil
}

// run is the event loop of the core goroutine.
func (c *core) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-c.controller.events:
			c.beginTurn()
			c.handle(ctx, e)
			c.handleBurst(ctx)
			c.turn.spend(turnEvents, c.turn.began)
		case <-timer.C:
			c.beginTurn()
			c.tick(ctx)
			c.turn.spend(turnDeadlines, c.turn.began)
		case <-ctx.Done():
			return nil
		}
		if err := c.flush(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		c.endTurn()
		timer.Reset(c.timeToNextTick())
	}
}

// timeToNextTick returns the time until the next deadline. A fixed tick would
// have to come every 20 ms, which was most of the cost of an idle process.
func (c *core) timeToNextTick() time.Duration {
	if len(c.unapplied) > 0 {
		return 0
	}
	now := c.controller.now()
	nextDue := min(c.log.Due(), now.Add(leaderTickInterval))
	if c.isActiveLeader(now) {
		nextDue = min(nextDue, c.nextTick)
		if c.leader.flows != nil {
			nextDue = c.leader.flows.nextDue(nextDue)
		}
	}
	return max(nextDue.Sub(now), 0)
}

// handleBurst handles the events that are already queued, so that they share
// one write to the disk.
func (c *core) handleBurst(ctx context.Context) {
	for range maxBurst {
		select {
		case e := <-c.controller.events:
			c.handle(ctx, e)
		default:
			return
		}
	}
}

func (c *core) handle(ctx context.Context, p postedEvent) {
	now := c.controller.now()
	c.turn.events++
	c.lastEventPosted = p.at
	switch e := p.event.(type) {
	case peerMessage:
		c.log.Step(now, e.message)
	case writeSynced:
		c.log.Synced(now, e.write)
		c.saveSnapshot(ctx)
	case diskFullChanged:
		c.diskFull = e.diskFull
	case snapshotFinished:
		c.isSavingSnapshot = false
		c.bytesSinceSnapshot -= c.bytesInSnapshot
		c.snapshot = max(c.snapshot, e.snapshot.Index)
		if !e.failed {
			c.log.Compact(e.snapshot)
		}
	case entryLinkUp:
		c.entryLinkUp(e.link)
	case entryLinkDown:
		c.entryLinkDown(e.link)
	case entryMessage:
		c.entryMessage(now, e.link, e.message)
	case taskOrderDone:
		c.controller.counts.orders[e.delivery].Inc()
		if c.leader != nil {
			c.leader.taskSupervisor.HandleDelivery(e.order, e.delivery)
			c.leader.taskSupervisor.HandleReport(now, e.order, e.report)
		}
	case flowOrderAnswered:
		if c.leader != nil && c.leader.term == e.term && c.leader.flows != nil {
			c.leader.flows.ordersInFlight--
			c.leader.flows.handleOrderAnswer(now, &e.order, e.answer)
		}
	case handOver:
		c.handOver(now, e)
	case inspectRequest:
		e.visit(c)
	}
}

func (c *core) tick(ctx context.Context) {
	now := c.controller.now()
	c.log.Tick(now)
	c.updateLeadership(now)
	if now < c.nextTick || !c.isActiveLeader(now) {
		return
	}
	c.nextTick = now.Add(leaderTickInterval)
	c.handOverIfDiskFull(now)
	c.handOverIfLinksStall(now)
	c.slotAllocator.Tick(now)
	c.leader.tick(now)
}

// isActiveLeader reports whether this member leads and its lease rules out
// another leader.
func (c *core) isActiveLeader(now modeler.ClockReading) bool {
	return c.leader != nil && c.log.LeaseValid(now)
}

// oldestEventAge returns about how long the oldest queued event has waited: the
// time since the last handled event was posted, or 0 if the queue is empty.
func (c *core) oldestEventAge(now modeler.ClockReading) time.Duration {
	if len(c.controller.events) == 0 {
		return 0
	}
	return max(now.Sub(c.lastEventPosted), 0)
}

// flush carries out the decisions of the replicator, the allocator and the
// leader until there is no committed entry left to apply.
func (c *core) flush(ctx context.Context) error {
	for {
		now := c.controller.now()
		c.updateLeadership(now)
		if c.leader != nil {
			c.slotAllocator.SetLeaseEnd(c.log.LeaseEnd(now))
			begun := time.Now()
			c.leader.executeDecisions(ctx, now)
			c.sendGrants(now)
			c.turn.spend(turnDecisions, begun)
		}
		out := c.log.Output()
		if err := c.processOutput(ctx, out); err != nil {
			return err
		}
		if len(out.Committed) == 0 || len(c.unapplied) > 0 {
			return nil
		}
	}
}

// processOutput carries out what the replicator wants done: it saves the term
// and vote, sends messages, queues writes and applies committed entries.
func (c *core) processOutput(ctx context.Context, out replicator.Output) error {
	if out.HardState != nil {
		// Terms and votes change only with elections, so the core can wait for this
		// sync. It must end before any message is sent.
		if err := c.saveDurable(ctx, *out.HardState); err != nil {
			return err
		}
	}
	if len(out.Messages) > 0 {
		now := c.controller.now()
		for i := range out.Messages {
			c.controller.peers.send(now, &out.Messages[i])
		}
	}
	if out.Snapshot != nil {
		if err := c.installSnapshot(out.Snapshot); err != nil {
			return err
		}
	}
	if out.Write != 0 {
		job := diskJob{write: out.Write, snapshot: out.Snapshot, entries: out.Entries}
		select {
		case c.controller.diskJobs <- job:
		case <-ctx.Done():
			return nil
		}
	}
	c.unapplied = append(c.unapplied, out.Committed...)
	return c.applyPortion(ctx)
}

// applyPortion applies committed entries for up to maxApplyTime; the others follow in
// the next turn, so that a member that catches up goes on to answer its leader.
func (c *core) applyPortion(ctx context.Context) error {
	begun := time.Now()
	for len(c.unapplied) > 0 && time.Since(begun) < maxApplyTime {
		portion := c.unapplied[:min(len(c.unapplied), maxApplied)]
		c.unapplied = c.unapplied[len(portion):]
		if err := c.applyEntries(portion); err != nil {
			return err
		}
	}
	c.takeSnapshot(ctx)
	return nil
}

// saveDurable saves the term and vote. It waits until there is room on the disk or ctx
// ends, and then returns the error of ctx.
func (c *core) saveDurable(ctx context.Context, d modeler.HardState) error {
	for {
		err := c.controller.store.SaveHardState(d)
		if err == nil {
			return c.controller.store.Sync()
		}
		if classifier.KindOf(err) != classifier.StorageFull {
			return err
		}
		// The member can't take part in elections until its vote is saved.
		select {
		case <-time.After(diskFullRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// installSnapshot replaces the state by a snapshot from the leader.
func (c *core) installSnapshot(s *modeler.Snapshot) error {
	if len(s.Data) > 0 {
		if err := c.state.Load(s.Data); err != nil {
			return err
		}
		c.noteSilences()
	}
	c.unapplied = slices.DeleteFunc(c.unapplied, func(e modeler.LogEntry) bool { return e.Index <= s.Index })
	c.snapshot = s.Index
	c.appliedTerm, c.formerTerm = s.Term, 0
	c.appliedIndex = s.Index
	return nil
}

// applyEntries applies committed entries and replies to the proposals that wait
// for them.
func (c *core) applyEntries(entries []modeler.LogEntry) error {
	defer c.turn.spend(turnApply, time.Now())
	defer c.namePanickedEntry()
	c.turn.entries += len(entries)
	for i := range entries {
		e := &entries[i]
		result := modeler.Result{Index: e.Index}
		if e.Kind == modeler.NormalEntry {
			var err error
			if result, err = c.state.ApplyData(e.Index, e.Data); err != nil {
				return err
			}
		}
		if e.Kind == modeler.MemberEntry {
			// The next change of the members may be due.
			c.nextTick = 0
		}
		c.forwardFlowChanges()
		if e.Term != c.appliedTerm {
			c.appliedTerm, c.formerTerm = e.Term, c.appliedTerm
		}
		c.appliedIndex = e.Index
		c.bytesSinceSnapshot += modeler.Bytes(len(e.Data))
		c.answerProposal(e, result)
	}
	c.controller.counts.applied.Add(len(entries))
	changes := c.state.TakeChanges()
	if c.leader != nil {
		c.leader.applyChanges(c.controller.now(), changes)
	}
	return nil
}

// namePanickedEntry adds the entry that is being applied to the message of a panic, since
// each member that leads panics on it as long as it applies the entry as the leader.
func (c *core) namePanickedEntry() {
	if fault := recover(); fault != nil {
		panic(fmt.Sprintf("the entry after entry %d is applied: %v", c.appliedIndex, fault))
	}
}

// answerProposal sends the result of an applied entry to its proposer. An entry
// of another term at the proposal's index means that the proposal will never be
// committed.
func (c *core) answerProposal(e *modeler.LogEntry, result modeler.Result) {
	p, found := c.pendingProposals[e.Index]
	if !found {
		return
	}
	delete(c.pendingProposals, e.Index)
	if p.term != e.Term {
		result = modeler.Result{Kind: classifier.NoLeader, Detail: "another leader replaced the proposal"}
	}
	p.reply(result)
}

// takeSnapshot starts a snapshot when enough entries or bytes have been applied
// and no other snapshot is being saved. It copies the state here; another
// goroutine encodes the copy and saves it.
func (c *core) takeSnapshot(ctx context.Context) {
	settings := &c.controller.settings
	due := c.appliedIndex >= c.snapshot+settings.SnapshotEvery || c.bytesSinceSnapshot >= settings.SnapshotBytes
	if c.isSavingSnapshot || !due || c.appliedIndex <= c.snapshot {
		return
	}
	c.isSavingSnapshot = true
	c.bytesInSnapshot = c.bytesSinceSnapshot
	s := modeler.Snapshot{
		Index:      c.appliedIndex,
		Term:       c.appliedTerm,
		Membership: c.log.MembershipAt(c.appliedIndex),
	}
	c.unwrittenSnapshot = &unwrittenSnapshot{snapshot: s, state: c.state.Copy()}
	c.saveSnapshot(ctx)
}

// saveSnapshot saves the snapshot that was taken, once the entries that it covers
// are on the disk. The store refuses entries that a saved snapshot covers, and a
// commit doesn't wait for this member's disk.
func (c *core) saveSnapshot(ctx context.Context) {
	s := c.unwrittenSnapshot
	if s == nil || c.log.Summary().Synced < s.snapshot.Index {
		return
	}
	c.unwrittenSnapshot = nil
	go c.controller.saveSnapshot(ctx, s.snapshot, s.state)
}

// propose appends a command to the log; reply is called with its result, if it
// is not nil.
func (c *core) propose(now modeler.ClockReading, command *modeler.Command, reply func(modeler.Result)) error {
	if c.diskFull {
		return classifier.New(classifier.StorageFull, "the leader's disk is full")
	}
	command.At = modeler.TimestampOf(time.Now())
	data := applier.Encode(command)
	index, term, err := c.log.Propose(now, data)
	if err != nil {
		c.controller.counts.refused.Inc()
		return err
	}
	c.controller.counts.proposals.Inc()
	c.controller.counts.bytes.Add(len(data))
	if reply != nil {
		c.pendingProposals[index] = proposal{term: term, reply: reply}
	}
	return nil
}

// updateLeadership begins or ends this member's leadership after a change of
// its role, and passes the newest membership on.
func (c *core) updateLeadership(now modeler.ClockReading) {
	status := c.log.Summary()
	leads := status.Role == replicator.Leader
	if status.Role != c.role {
		c.controller.settings.Report.Info("role changes", "role", status.Role.String(), "before", c.role.String(), "term", status.Term,
			"last", status.Last, "commit", status.Commit)
		c.role = status.Role
	}
	c.reportLostElection(now, &status.LostElection)
	if c.leader != nil && (!leads || c.leader.term != status.Term) {
		c.endLeadership()
	}
	// Entries that earlier leaders have committed must be applied first.
	// Otherwise a placement among them would be taken for one whose start was
	// never sent, and a session for one that holds no slots.
	if c.leader == nil && leads && c.log.LeaseValid(now) && c.appliedIndex >= status.Commit {
		c.beginLeadership(now, status.Term)
	}
	c.controller.peers.setMembers(status.Members.Members)
	c.controller.joined.Store(c.isJoined(now, status))
	c.controller.replaceable.Store(c.isReplaceable(status))
	c.updateHello(status)
	c.finishHandOver(status)
}

// isJoined reports whether this member belongs to the group: by the newest
// membership that it has received, and because a leader sends to it. A member
// that was removed while it was cut off doesn't receive that change.
func (c *core) isJoined(now modeler.ClockReading, status replicator.Status) bool {
	if status.Role != replicator.Leader && now.Sub(status.LeaderContact) > leaderSilence {
		return false
	}
	return slices.ContainsFunc(status.Members.Members, func(m modeler.Member) bool {
		return m.ID == c.controller.settings.Member
	})
}

// isReplaceable reports whether this member votes and the group has a learner.
func (c *core) isReplaceable(status replicator.Status) bool {
	votes, hasLearner := false, false
	for _, m := range status.Members.Members {
		votes = votes || !m.Learner && m.ID == c.controller.settings.Member
		hasLearner = hasLearner || m.Learner
	}
	return votes && hasLearner
}

func (c *core) beginLeadership(now modeler.ClockReading, term modeler.Term) {
	defer c.turn.spend(turnTakeOver, time.Now())
	c.controller.settings.Report.Info("leadership begins", "term", term)
	c.controller.settings.OnLeadership(true)
	c.leader = newLeadership(c, now, term)
	c.lastRefusal = ""
	clear(c.refusalLimits)
	c.slotAllocator.Lead(now, term, c.state.Records().Sessions())
	c.slotAllocator.SetLeaseEnd(c.log.LeaseEnd(now))
	c.leader.broadcastConfiguration(now)
}

// endLeadership ends the leadership. It is not known whether the pending
// proposals will be committed.
func (c *core) endLeadership() {
	c.controller.settings.Report.Info("leadership ends", "term", c.leader.term)
	c.controller.settings.OnLeadership(false)
	c.leader = nil
	c.slotAllocator.Resign()
	for index, p := range c.pendingProposals {
		delete(c.pendingProposals, index)
		p.reply(modeler.Result{Kind: classifier.ProposalLost, Detail: "the leader changed before the command was committed"})
	}
}
