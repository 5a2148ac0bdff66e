package controller

import (
	"context"
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
	// leadEvery paces the leader's deadlines; each tick looks at every
	// worker, which is too much for each of the replicator's ticks.
	leadEvery = 100 * time.Millisecond
	// burst bounds the events handled between two flushes.
	burst = 256
	// snapshotEvery is the number of entries between two snapshots.
	snapshotEvery = 20_000
	// snapshotBytes is the data of entries between two snapshots, if that comes
	// first: a ticket may take 4 MiB, and the log is kept in memory.
	snapshotBytes = 64 << 20
)

// proposal is a proposed command whose result is awaited.
type proposal struct {
	term  modeler.Term
	reply func(modeler.Result)
}

// core is the state that only the core goroutine touches.
type core struct {
	shell   *Controller
	log     *replicator.Replicator
	state   *applier.Applier
	lender  *allocator.Allocator
	waiting map[modeler.Index]proposal
	links   map[modeler.EntrySession]*linker.Link
	entries map[*linker.Link]modeler.EntrySession
	// role is the one that was logged last.
	role replicator.Role
	// lead is set while this member leads with a quorum lease.
	lead *leadership
	// hello is what new links are told; other goroutines read it.
	hello atomic.Pointer[modeler.Hello]
	full  bool
	// lastTick is when the leader's deadlines were looked at last, and nextTick
	// when that is due again.
	lastTick modeler.ClockReading
	nextTick modeler.ClockReading
	// leaveAfter is when the leadership may be handed over again for poor links.
	leaveAfter modeler.ClockReading

	snapshot modeler.Index
	saving   bool
	// logged is the data of the entries applied since the last snapshot, and
	// covered the part of it that the snapshot under way holds.
	logged    modeler.Bytes
	covered   modeler.Bytes
	lastTerm  modeler.Term
	lastIndex modeler.Index
	// taken is when the event that was handled last had been posted.
	taken modeler.ClockReading
	// leaving is closed when a transfer before a shutdown is over.
	leaving chan struct{}
}

func newCore(shell *Controller, saved replicator.Saved) (*core, error) {
	c := &core{
		shell:    shell,
		state:    applier.New(),
		lender:   allocator.New(allocator.Options{}),
		waiting:  make(map[modeler.Index]proposal),
		links:    make(map[modeler.EntrySession]*linker.Link),
		entries:  make(map[*linker.Link]modeler.EntrySession),
		snapshot: saved.Snapshot.Index,
		lastTerm: saved.Snapshot.Term,
	}
	if len(saved.Snapshot.Data) > 0 {
		if err := c.state.Load(saved.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	c.log = replicator.New(replicator.Config{
		Self:        shell.settings.Member,
		ElectionMin: shell.settings.ElectionMin,
		ElectionMax: shell.settings.ElectionMax,
	}, saved, shell.now())
	c.hello.Store(&modeler.Hello{Member: shell.settings.Member})
	c.updateHello(c.log.Status())
	return c, nil
}

// run is the core goroutine.
func (c *core) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-c.shell.events:
			c.handle(ctx, e)
			c.handleBurst(ctx)
		case <-timer.C:
			c.tick(ctx)
		case <-ctx.Done():
			return nil
		}
		if err := c.flush(ctx); err != nil {
			return err
		}
		timer.Reset(c.untilTick())
	}
}

// untilTick returns the time until the next deadline. A tick each 20 ms, as
// deadlines need without it, was most of the cost at idle.
func (c *core) untilTick() time.Duration {
	now := c.shell.now()
	due := min(c.log.Due(), now.Add(leadEvery))
	if c.active(now) {
		due = min(due, c.nextTick)
		if c.lead.flows != nil {
			due = c.lead.flows.due(due)
		}
	}
	return max(due.Sub(now), 0)
}

// handleBurst takes the events that wait already, so that they share one
// write to the disk.
func (c *core) handleBurst(ctx context.Context) {
	for range burst {
		select {
		case e := <-c.shell.events:
			c.handle(ctx, e)
		default:
			return
		}
	}
}

func (c *core) handle(ctx context.Context, p posted) {
	now := c.shell.now()
	c.taken = p.at
	switch e := p.event.(type) {
	case peerMessage:
		c.log.Step(now, e.message)
	case synced:
		c.log.Synced(now, e.write)
	case diskFull:
		c.full = e.full
	case snapshotSaved:
		c.saving = false
		c.logged -= c.covered
		c.snapshot = max(c.snapshot, e.snapshot.Index)
		if !e.failed {
			c.log.Compact(e.snapshot)
		}
	case entryUp:
		c.entryUp(e.link)
	case entryDown:
		c.entryDown(e.link)
	case entryMessage:
		c.entryMessage(now, e.link, e.message)
	case orderDone:
		c.shell.counts.orders[e.delivery].Inc()
		if c.lead != nil {
			c.lead.tasks.Answered(e.order, e.delivery)
			c.lead.tasks.Learned(now, e.order, e.report)
		}
	case orderAnswered:
		if c.lead != nil && c.lead.term == e.term && c.lead.flows != nil {
			c.lead.flows.flying--
			c.lead.flows.answered(now, &e.order, e.answer)
		}
	case handOver:
		c.handOver(now, e)
	case inspect:
		e.visit(c)
	}
}

func (c *core) tick(ctx context.Context) {
	now := c.shell.now()
	c.log.Tick(now)
	c.followLeadership(now)
	if now < c.nextTick || !c.active(now) {
		return
	}
	c.nextTick = now.Add(leadEvery)
	c.leaveFullDisk(now)
	c.leavePoorLinks(now)
	c.lender.Tick(now)
	c.lead.tick(now)
}

// active reports whether this member leads and no other one can.
func (c *core) active(now modeler.ClockReading) bool {
	return c.lead != nil && c.log.LeaseValid(now)
}

// behind returns how long the oldest event that was not handled has waited.
func (c *core) behind(now modeler.ClockReading) time.Duration {
	if len(c.shell.events) == 0 {
		return 0
	}
	return max(now.Sub(c.taken), 0)
}

// flush carries out what the cores have decided until nothing is left.
func (c *core) flush(ctx context.Context) error {
	for {
		now := c.shell.now()
		c.followLeadership(now)
		if c.lead != nil {
			c.lender.Lease(c.log.LeaseEnd(now))
			c.lead.act(ctx, now)
			c.sendGrants(now)
		}
		out := c.log.Output()
		if err := c.carryOut(ctx, out); err != nil {
			return err
		}
		if len(out.Committed) == 0 {
			return nil
		}
	}
}

func (c *core) carryOut(ctx context.Context, out replicator.Output) error {
	if out.Durable != nil {
		// Terms and votes change only with elections, so the core may wait
		// for this sync; no message may overtake it.
		if err := c.saveDurable(*out.Durable); err != nil {
			return err
		}
	}
	for i := range out.Messages {
		c.shell.peers.send(&out.Messages[i])
	}
	if out.Snapshot != nil {
		if err := c.install(out.Snapshot); err != nil {
			return err
		}
	}
	if out.Write != 0 {
		job := diskJob{write: out.Write, snapshot: out.Snapshot, entries: out.Entries}
		select {
		case c.shell.disk <- job:
		case <-ctx.Done():
			return nil
		}
	}
	return c.apply(ctx, out.Committed)
}

func (c *core) saveDurable(d modeler.HardState) error {
	for {
		err := c.shell.store.SaveDurable(d)
		if err == nil {
			return c.shell.store.Sync()
		}
		if classifier.KindOf(err) != classifier.StorageFull {
			return err
		}
		// Without room for its vote the member can take no part.
		time.Sleep(fullPause)
	}
}

// install replaces the state by a leader's snapshot.
func (c *core) install(s *modeler.Snapshot) error {
	if len(s.Data) > 0 {
		if err := c.state.Load(s.Data); err != nil {
			return err
		}
	}
	c.snapshot = s.Index
	c.lastTerm = s.Term
	c.lastIndex = s.Index
	return nil
}

// apply applies committed entries and answers those who wait for them.
func (c *core) apply(ctx context.Context, entries []modeler.LogEntry) error {
	for i := range entries {
		e := &entries[i]
		result := modeler.Result{Index: e.Index}
		if e.Kind == modeler.NormalEntry {
			var err error
			if result, err = c.state.ApplyData(e.Index, e.Data); err != nil {
				return err
			}
		}
		c.followFlows()
		c.lastTerm = e.Term
		c.lastIndex = e.Index
		c.logged += modeler.Bytes(len(e.Data))
		c.answer(e, result)
	}
	c.shell.counts.applied.Add(len(entries))
	changes := c.state.Changes()
	if c.lead != nil {
		c.lead.follow(c.shell.now(), changes)
	}
	c.takeSnapshot(ctx)
	return nil
}

// answer tells the proposer of an entry its result. An entry of another term
// in its place says that the proposal will never be committed.
func (c *core) answer(e *modeler.LogEntry, result modeler.Result) {
	p, found := c.waiting[e.Index]
	if !found {
		return
	}
	delete(c.waiting, e.Index)
	if p.term != e.Term {
		result = modeler.Result{Kind: classifier.NoLeader, Detail: "another leader replaced the proposal"}
	}
	p.reply(result)
}

// takeSnapshot starts a snapshot when enough entries have been applied. The
// state is copied here and encoded beside the core, one snapshot at a time.
func (c *core) takeSnapshot(ctx context.Context) {
	settings := &c.shell.settings
	due := c.lastIndex >= c.snapshot+settings.SnapshotEvery || c.logged >= settings.SnapshotBytes
	if c.saving || !due || c.lastIndex <= c.snapshot {
		return
	}
	c.saving = true
	c.covered = c.logged
	s := modeler.Snapshot{
		Index:      c.lastIndex,
		Term:       c.lastTerm,
		Membership: c.log.MembershipAt(c.lastIndex),
	}
	go c.shell.saveSnapshot(ctx, s, c.state.Copy())
}

// propose appends a command to the log; reply is called with its result.
func (c *core) propose(now modeler.ClockReading, command *modeler.Command, reply func(modeler.Result)) error {
	if c.full {
		return classifier.New(classifier.StorageFull, "the leader's disk is full")
	}
	command.At = modeler.TimestampOf(time.Now())
	data := applier.Encode(command)
	index, term, err := c.log.Propose(now, data)
	if err != nil {
		c.shell.counts.refused.Inc()
		return err
	}
	c.shell.counts.proposals.Inc()
	c.shell.counts.bytes.Add(len(data))
	if reply != nil {
		c.waiting[index] = proposal{term: term, reply: reply}
	}
	return nil
}

// followLeadership begins and ends this member's leadership.
func (c *core) followLeadership(now modeler.ClockReading) {
	status := c.log.Summary()
	leads := status.Role == replicator.Leader
	if status.Role != c.role {
		c.shell.settings.Report.Info("role changes", "role", status.Role.String(), "before", c.role.String(), "term", status.Term,
			"last", status.Last, "commit", status.Commit)
		c.role = status.Role
	}
	if c.lead != nil && (!leads || c.lead.term != status.Term) {
		c.resign()
	}
	// What earlier leaders have committed must be applied first: a placement
	// applied afterwards would count as one whose start was never sent, and a
	// session as one that holds no slots.
	if c.lead == nil && leads && c.log.LeaseValid(now) && c.lastIndex >= status.Commit {
		c.beginLead(now, status.Term)
	}
	c.shell.peers.setMembers(status.Members.Members)
	c.shell.joined.Store(slices.ContainsFunc(status.Members.Members, func(m modeler.Member) bool {
		return m.ID == c.shell.settings.Member
	}))
	c.updateHello(status)
	c.followHandOver(status)
}

func (c *core) beginLead(now modeler.ClockReading, term modeler.Term) {
	c.shell.settings.Report.Info("leadership begins", "term", term)
	c.lead = newLeadership(c, now, term)
	c.lender.Lead(now, term, c.state.Records().Sessions())
	c.lender.Lease(c.log.LeaseEnd(now))
	c.lead.configure(now)
}

// resign ends the leadership; whether the waiting proposals will be committed
// is not known.
func (c *core) resign() {
	c.shell.settings.Report.Info("leadership ends", "term", c.lead.term)
	c.lead = nil
	c.lender.Resign()
	for index, p := range c.waiting {
		delete(c.waiting, index)
		p.reply(modeler.Result{Kind: classifier.ProposalLost, Detail: "the leader changed before the command was committed"})
	}
}
