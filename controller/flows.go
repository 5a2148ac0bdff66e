package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/carrier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/limiter"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

const (
	// maxFlowOrders bounds the unanswered orders that the leader sends itself;
	// each takes a goroutine.
	maxFlowOrders = 4096
	// entryIntervalPerMember times the number of members is the time between two
	// log entries with starts and ends of attempts: an entry costs the leader a
	// message to every member and an answer from it. Five members have an entry
	// every 5 ms, half of what a fast disk takes to sync one.
	entryIntervalPerMember = time.Millisecond
)

// FlowSettings configures how a control process runs flows.
type FlowSettings struct {
	Bounds dispatcher.Settings
	// Send delivers one order to a worker and returns the worker's answer.
	Send func(ctx context.Context, o *modeler.Order) modeler.OrderAnswer
}

// flowLeadership is the state that the leader keeps for flows.
type flowLeadership struct {
	core *core
	// cell decides which tasks of flows run on which workers.
	cell *dispatcher.Dispatcher
	// questions holds the unanswered permit question of each link, or nil.
	questions map[*linker.Link]*modeler.PermitRequest
	// ordersInFlight counts the unanswered orders that the leader has sent
	// itself, and carrier holds those that other processes deliver for it.
	ordersInFlight int
	carrier        *carrier.Carrier
	// overload decides whether new flows are refused, and refusesFlows is its
	// last decision.
	overload     dispatcher.Overload
	refusesFlows bool
	// proposed is the load of the flows that are proposed but not committed.
	proposed sequencer.Load
	// directory has the keys of the layout with the number directoryOf, and shares the
	// token buckets of its accounts.
	directory   *accountant.Directory
	directoryOf modeler.TicketNumber
	shares      *limiter.Buckets
	// starts, ends and begun flows are proposed for the log together at nextEntry.
	starts    []modeler.FlowStart
	ends      []modeler.FlowEnd
	begun     []modeler.FlowID
	nextEntry modeler.ClockReading
}

// flowOrderAnswered reports a worker's answer to an order that the leader has
// sent itself.
type flowOrderAnswered struct {
	term   modeler.Term
	order  modeler.Order
	answer modeler.OrderAnswer
}

func (flowOrderAnswered) isEvent() {}

// newCell returns the dispatcher of a new leader. Only the record of the leader before it
// tells when the leases of a silent worker are over: one of an earlier build could lead after
// the record and extend them.
func (c *core) newCell(now modeler.ClockReading, term modeler.Term, settings dispatcher.Settings) *dispatcher.Dispatcher {
	cell := dispatcher.New(now, c.logTime(), term, c.state.Flows(), settings)
	for id, silence := range c.state.Flows().Silences() {
		if silence.Term == c.termBefore(term) {
			cell.LimitLeases(now, silence, c.leasesOver[id])
		}
	}
	return cell
}

// termBefore returns the term of the newest entry of an earlier term than the given one.
func (c *core) termBefore(term modeler.Term) modeler.Term {
	if c.appliedTerm < term {
		return c.appliedTerm
	}
	return c.formerTerm
}

func newFlowLeadership(c *core, now modeler.ClockReading, term modeler.Term) *flowLeadership {
	settings := c.controller.settings.Flows
	if settings == nil {
		return nil
	}
	l := &flowLeadership{
		core:      c,
		cell:      c.newCell(now, term, settings.Bounds),
		questions: make(map[*linker.Link]*modeler.PermitRequest),

		carrier: carrier.New(term),
		shares:  limiter.NewBuckets(maxMeteredAccounts),
	}
	l.restoreShares()
	for link := range c.entrySessions {
		l.addLink(link)
	}
	return l
}

// maxMeteredAccounts bounds the accounts whose accepted flows are counted; beyond that
// the least recently used ones start with an unused share.
const maxMeteredAccounts = 4096

// restoreShares takes the flows that earlier leaders have accepted in the last second,
// which a token bucket covers, from the shares of their accounts.
func (l *flowLeadership) restoreShares() {
	var recent []*sequencer.Flow
	since := l.core.logTime().Add(-time.Second)
	l.core.state.Flows().ForEachFlow(func(f *sequencer.Flow) {
		if f.Spec.Team != "" && !f.Spec.BeyondShare && f.ArrivedAt >= since {
			recent = append(recent, f)
		}
	})
	slices.SortFunc(recent, func(a, b *sequencer.Flow) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	for _, f := range recent {
		l.isBeyondShare(f.ArrivedAt, f.Spec.Team)
	}
}

// isBeyondShare takes a flow from the share of an account, which is as many flows a
// second as its weight, and reports whether the share was used up.
func (l *flowLeadership) isBeyondShare(now modeler.Timestamp, name modeler.TeamName) bool {
	for i := range l.core.state.Flows().Layout().Accounts {
		team := &l.core.state.Flows().Layout().Accounts[i].Team
		if team.Name == name {
			at := modeler.ClockReading(time.Duration(now) * time.Millisecond)
			return !l.shares.Take(at, string(name), max(team.Weight, 1))
		}
	}
	return false
}

// authorize returns the account that a call to a queue belongs to, or "" if the queue
// is public. It returns an error if the call needs a key and has none that is in force.
func (l *flowLeadership) authorize(queue *modeler.Queue, key *modeler.KeyDigest) (modeler.TeamName, error) {
	layout := l.core.state.Flows().Layout()
	if !layout.Keyed || queue.Public {
		return "", nil
	}
	if l.directory == nil || l.directoryOf != layout.Number {
		directory, err := accountant.NewDirectory(layout.Accounts)
		if err != nil {
			return "", err
		}
		l.directory, l.directoryOf = directory, layout.Number
	}
	team, found := l.directory.Find(key)
	if !found {
		return "", classifier.New(classifier.Unauthorized, "the call has no key that is in force")
	}
	return team, nil
}

// logTime returns the current time for log entries, which never goes back.
func (c *core) logTime() modeler.Timestamp {
	return max(c.state.Now(), modeler.TimestampOf(time.Now()))
}

// executeDecisions carries out the decisions of the dispatcher: it sends orders
// and permit questions and proposes log entries.
func (l *flowLeadership) executeDecisions(ctx context.Context, now modeler.ClockReading) {
	l.updateLoad(now)
	l.cell.SetSenders(l.senderCount())
	out := l.cell.Output(now)
	for i := range out.Orders {
		l.sendOrder(ctx, out.Orders[i])
	}
	l.sendCarriedOrders(now)
	l.starts = append(l.starts, out.Starts...)
	l.ends = append(l.ends, out.Ends...)
	l.begun = append(l.begun, out.Begun...)
	if now >= l.nextEntry {
		l.proposeEntries(now)
	}
	if len(out.Announced) > 0 {
		// A worker that is not recorded is announced again.
		if err := l.core.propose(now, &modeler.Command{Kind: modeler.RecordWorkers, Announcements: out.Announced}, nil); err != nil {
			l.core.controller.settings.Report.Warn("announced workers are not recorded", "count", len(out.Announced), "error", err)
		}
	}
	if len(out.Departed)+len(out.Silent)+len(out.Returned) > 0 {
		command := &modeler.Command{Kind: modeler.RecordWorkers, Silent: out.Silent, Returned: out.Returned}
		command.SetDepartures(out.Departed)
		if err := l.core.propose(now, command, nil); err != nil {
			l.core.controller.settings.Report.Warn("lost workers are not recorded", "departed", len(out.Departed), "silent", len(out.Silent), "returned", len(out.Returned), "error", err)
		}
	}
	if out.Learned != nil {
		if err := l.core.propose(now, &modeler.Command{Kind: modeler.RecordLearned, Learned: out.Learned}, nil); err != nil {
			l.core.controller.settings.Report.Warn("learned speeds are not recorded", "error", err)
		}
	}
	l.ask(now)
}

// updateLoad measures how far the core goroutine is behind with its events, and
// begins or ceases to refuse new flows accordingly; the hello tells the other
// processes.
func (l *flowLeadership) updateLoad(now modeler.ClockReading) {
	oldestEventAge := l.core.oldestEventAge(now)
	l.cell.SetEventLag(oldestEventAge)
	if refusesFlows := l.overload.Update(oldestEventAge); refusesFlows != l.refusesFlows {
		l.refusesFlows = refusesFlows
		l.core.controller.settings.Report.Warn("refusal of new flows changes", "refuses", refusesFlows, "behind", oldestEventAge.String(), "events", len(l.core.controller.events))
	}
}

// proposeEntries proposes the collected starts and ends. Each log entry costs a
// message to every member, so the starts or ends of a few milliseconds share
// one.
func (l *flowLeadership) proposeEntries(now modeler.ClockReading) {
	if len(l.ends)+len(l.begun) > 0 {
		ends := l.ends
		command := &modeler.Command{Kind: modeler.EndFlows, FlowEnds: ends, BegunFlows: l.begun}
		l.ends, l.begun = nil, nil
		l.nextEntry = now.Add(l.entryInterval())
		err := l.core.propose(now, command, func(modeler.Result) { l.cell.HandleProposedEnds(l.core.controller.now(), ends, true) })
		if err != nil {
			l.cell.HandleProposedEnds(now, ends, false)
		}
	}
	if len(l.starts) > 0 {
		starts := l.starts
		l.starts = nil
		l.nextEntry = now.Add(l.entryInterval())
		l.core.controller.counts.placements.Add(len(starts))
		command := &modeler.Command{Kind: modeler.StartFlows, FlowStarts: starts}
		err := l.core.propose(now, command, func(modeler.Result) { l.cell.HandleProposedStarts(l.core.controller.now(), starts) })
		if err != nil {
			l.cell.HandleProposedStarts(now, starts)
		}
	}
}

// entryInterval returns the time between two log entries with starts or ends.
func (l *flowLeadership) entryInterval() time.Duration {
	return entryIntervalPerMember * time.Duration(len(l.core.log.Summary().Members.Members))
}

// nextDue returns when the next log entry may be proposed or the next carried
// orders may be sent, or due if that is earlier.
func (l *flowLeadership) nextDue(due modeler.ClockReading) modeler.ClockReading {
	due = l.carrier.Due(due)
	if l.cell.HasMoreToPlace() {
		return l.core.controller.now()
	}
	if len(l.starts)+len(l.ends)+len(l.begun) == 0 {
		return due
	}
	return min(due, l.nextEntry)
}

// ask sends the next questions for the outside policy over links without an
// unanswered one.
func (l *flowLeadership) ask(now modeler.ClockReading) {
	free := 0
	for _, ask := range l.questions {
		if ask == nil {
			free++
		}
	}
	for link, pending := range l.questions {
		if pending != nil {
			continue
		}
		ask, found := l.cell.NextPermitRequest(now, dispatcher.MaySendSlowRequest(free, len(l.questions)))
		if !found {
			return
		}
		free--
		l.questions[link] = &ask
		link.Send(&modeler.Message{Kind: modeler.PermitRequestMessage, PermitRequest: &ask})
	}
}

// addLink begins to use a link for questions, and for orders if its process
// carries orders. The leader's own process is not used as a carrier, since the
// leader sends orders itself.
func (l *flowLeadership) addLink(link *linker.Link) {
	l.questions[link] = nil
	if to := link.Peer.CarrierAddress; to != "" && to != l.core.controller.settings.Advertise {
		l.carrier.AddProcess(l.core.entrySessions[link])
	}
}

// removeLink gives up the question and the orders that were pending on a closed
// link.
func (l *flowLeadership) removeLink(now modeler.ClockReading, link *linker.Link, session modeler.EntrySession) {
	if question := l.questions[link]; question != nil {
		l.cell.HandlePermitAnswer(now, modeler.PermitAnswer{Step: question.Step, Failed: true})
	}
	delete(l.questions, link)
	l.giveUpOrders(now, l.carrier.RemoveProcess(session), "the link to the process was lost")
}

// giveUpOrders reports carried orders whose outcome is unknown as lost.
func (l *flowLeadership) giveUpOrders(now modeler.ClockReading, orders []modeler.Order, why string) {
	if len(orders) == 0 {
		return
	}
	l.core.controller.settings.Report.Warn("carried orders were given up", "orders", len(orders), "reason", why)
	for i := range orders {
		l.handleOrderAnswer(now, &orders[i], modeler.OrderAnswer{Outcome: modeler.OrderCarrierLost})
	}
}

// linkSilence returns how long nothing has been received on a process's link,
// or 0 without a link.
func (l *flowLeadership) linkSilence(session modeler.EntrySession) time.Duration {
	link := l.core.entryLinks[session]
	if link == nil {
		return 0
	}
	return link.SilentFor()
}

// sendCarriedOrders sends the orders that are due to the processes that carry
// them.
func (l *flowLeadership) sendCarriedOrders(now modeler.ClockReading) {
	for _, b := range l.carrier.TakeBatches(now) {
		if link := l.core.entryLinks[b.Process]; link != nil {
			link.Send(&modeler.Message{Kind: modeler.CarriedOrdersMessage, CarriedOrders: b.Orders})
		}
	}
}

// handleCarriedAnswers handles the workers' answers to orders that other
// processes have carried.
func (l *flowLeadership) handleCarriedAnswers(now modeler.ClockReading, answers []modeler.CarriedAnswer) {
	for i := range answers {
		o, took, found := l.carrier.HandleAnswer(now, answers[i].Number, answers[i].Answer.Outcome)
		if !found {
			continue
		}
		l.core.controller.counts.flowOrderTime[o.Kind].Update(took.Seconds())
		l.handleOrderAnswer(now, &o, answers[i].Answer)
	}
}

// usesCarriers reports whether other processes carry the orders: the cell has
// enough workers, and a carrier is ready.
func (l *flowLeadership) usesCarriers() bool {
	return len(l.core.state.Flows().Workers()) >= carrier.MinWorkers && l.carrier.ReadyProcesses() > 0
}

// senderCount returns how many processes send orders.
func (l *flowLeadership) senderCount() int {
	if l.usesCarriers() {
		return l.carrier.ReadyProcesses()
	}
	return 1
}

// sendOrder sends an order on a new goroutine, or has another process carry it
// if the cell is large.
func (l *flowLeadership) sendOrder(ctx context.Context, o modeler.Order) {
	controller, term := l.core.controller, l.core.leader.term
	if l.usesCarriers() && l.carrier.Enqueue(controller.now(), o) {
		controller.counts.flowOrders[o.Kind].Inc()
		return
	}
	if l.ordersInFlight >= maxFlowOrders {
		l.handleOrderAnswer(controller.now(), &o, modeler.OrderAnswer{Outcome: modeler.OrderUnsent})
		return
	}
	l.ordersInFlight++
	controller.counts.flowOrders[o.Kind].Inc()
	go func() {
		sending, cancel := context.WithTimeout(ctx, o.Timeout)
		defer cancel()
		begun := time.Now()
		answer := controller.settings.Flows.Send(sending, &o)
		controller.counts.flowOrderTime[o.Kind].UpdateDuration(begun)
		controller.post(ctx, flowOrderAnswered{term: term, order: o, answer: answer})
	}()
}

func (l *flowLeadership) handleOrderAnswer(now modeler.ClockReading, o *modeler.Order, a modeler.OrderAnswer) {
	if o.Kind == modeler.RenewOrder {
		l.cell.HandleRenewalAnswer(now, *o, a)
		return
	}
	l.cell.HandleOrderAnswer(now, *o, a)
}

// call replies to a call of an outside party, at once or with the result of the
// committed command.
func (c *core) call(now modeler.ClockReading, link *linker.Link, m *modeler.Message) {
	reply := func(r modeler.Reply) {
		link.Send(&modeler.Message{Kind: modeler.ReplyMessage, Sequence: m.Sequence, Reply: &r})
	}
	if !c.isActiveLeader(now) || c.leader.flows == nil {
		reply(errorReply(classifier.New(classifier.NoLeader, "this member does not lead")))
		return
	}
	answer, command := c.leader.flows.call(now, m.Call)
	if command == nil {
		reply(answer)
		return
	}
	flows, load := c.leader.flows, sequencer.Load{}
	if command.Kind == modeler.SubmitFlow {
		load = sequencer.LoadOf(command.Flow)
	}
	err := c.propose(now, command, func(result modeler.Result) {
		flows.proposed = flows.proposed.Sub(load)
		answer.Result = result
		reply(answer)
	})
	if err != nil {
		reply(errorReply(err))
		return
	}
	flows.proposed = flows.proposed.Add(load)
}

func errorReply(err error) modeler.Reply {
	return modeler.Reply{Result: modeler.Result{Kind: classifier.KindOf(err), Detail: classifier.DetailOf(err)}}
}

// call returns the reply to a call. If it also returns a command, that must be
// committed before the reply is sent.
func (l *flowLeadership) call(now modeler.ClockReading, call *modeler.Call) (modeler.Reply, *modeler.Command) {
	switch call.Kind {
	case modeler.SubmitCall, modeler.CancelCall, modeler.StateCall, modeler.CountCall:
		return l.answerQueueCall(call)
	case modeler.SetLayoutCall:
		return l.setLayout(call.Layout)
	case modeler.ReadLayoutCall:
		layout := l.core.state.Flows().Layout()
		if layout.Number == 0 {
			return errorReply(classifier.New(classifier.Unconfirmed, "no layout was accepted yet")), nil
		}
		return modeler.Reply{Document: layout.Document}, nil
	case modeler.AnnounceCall:
		return l.announce(now, call.Announcement)
	case modeler.DepartCall:
		if call.Announcement == nil {
			return errorReply(classifier.New(classifier.Malformed, "the worker is missing")), nil
		}
		if _, known := l.core.state.Flows().Workers()[call.Announcement.ID]; !known {
			return modeler.Reply{}, nil
		}
		return modeler.Reply{}, &modeler.Command{Kind: modeler.RecordWorkers, Left: []modeler.WorkerID{call.Announcement.ID}}
	case modeler.JoinCall:
		if call.Member == nil {
			return errorReply(classifier.New(classifier.Malformed, "the member is missing")), nil
		}
		return l.core.admitMember(now, *call.Member), nil
	case modeler.LeaveCall:
		if call.Member == nil {
			return errorReply(classifier.New(classifier.Malformed, "the member is missing")), nil
		}
		return l.core.releaseMember(now, call.Member.ID), nil
	default:
		return errorReply(classifier.New(classifier.Malformed, "unknown call kind %d", call.Kind)), nil
	}
}

// answerQueueCall returns the reply to a call that names a queue, with the
// command to commit first if there is one.
func (l *flowLeadership) answerQueueCall(call *modeler.Call) (modeler.Reply, *modeler.Command) {
	state := l.core.state.Flows()
	if state.Layout().Number == 0 {
		return errorReply(classifier.New(classifier.Unconfirmed, "no layout was accepted yet")), nil
	}
	queue, rest, found := state.FindQueue(call.Host, call.Path)
	if !found {
		return errorReply(classifier.New(classifier.UnknownService, "no queue is at %s%s", call.Host, call.Path)), nil
	}
	team, err := l.authorize(queue, call.Key)
	if err != nil {
		return errorReply(err), nil
	}
	if call.Kind == modeler.CountCall || call.Kind == modeler.StateCall && rest == "" {
		return modeler.Reply{Count: state.Pending(queue.ID())}, nil
	}
	id := modeler.FlowID(rest)
	held, known := state.Flow(id)
	// Where calls need no key, all callers see all flows of the queue.
	needsKey := state.Layout().Keyed && !queue.Public
	if known && (held.Spec.Queue != queue.ID() || needsKey && !held.IsVisibleTo(team)) {
		known = false
	}
	switch call.Kind {
	case modeler.StateCall:
		if !known {
			return errorReply(classifier.New(classifier.UnknownJob, "no flow has the id %q", rest)), nil
		}
		return modeler.Reply{State: held.State}, nil
	case modeler.CancelCall:
		if !known {
			return errorReply(classifier.New(classifier.UnknownJob, "no flow has the id %q", rest)), nil
		}
		if held.IsOver() {
			return modeler.Reply{State: held.State}, nil
		}
		return modeler.Reply{}, &modeler.Command{Kind: modeler.CancelFlow, CancelledFlow: id}
	default:
		return l.submit(queue, id, known, team, call.Flow)
	}
}

func (l *flowLeadership) submit(queue *modeler.Queue, id modeler.FlowID, known bool, team modeler.TeamName, flow *modeler.Flow) (modeler.Reply, *modeler.Command) {
	if known {
		return modeler.Reply{}, nil
	}
	if l.refusesFlows {
		return errorReply(classifier.New(classifier.QueueFull, "the leader is behind with its work")), nil
	}
	if flow == nil {
		return errorReply(classifier.New(classifier.Malformed, "the flow is missing")), nil
	}
	flow.ID = id
	flow.Queue = queue.ID()
	flow.Policy = queue.Policy
	flow.Team = team
	if err := sequencer.Check(flow); err != nil {
		return errorReply(err), nil
	}
	if err := l.core.state.Flows().CheckID(flow); err != nil {
		return errorReply(err), nil
	}
	if err := l.cell.CheckQuota(flow); err != nil {
		return errorReply(err), nil
	}
	flow.BeyondShare = false
	// Room is checked before the share is charged, so that a refused flow takes nothing
	// of it. A flow that is found to be beyond the share has taken nothing either.
	if err := l.core.state.Flows().CheckRoom(sequencer.LoadOf(flow), l.proposed); err != nil {
		return errorReply(err), nil
	}
	isLasting := slices.ContainsFunc(flow.Steps, func(s modeler.Step) bool { return s.LongRunning })
	flow.BeyondShare = team != "" && l.isBeyondShare(l.core.logTime(), team) && !isLasting
	if !flow.BeyondShare {
		return modeler.Reply{}, &modeler.Command{Kind: modeler.SubmitFlow, Flow: flow}
	}
	if l.cell.IsLateBeyondShare(queue.ID(), team) {
		return errorReply(classifier.New(classifier.RateLimited, "the account has used up its share, and flows beyond the shares wait too long")), nil
	}
	if err := l.core.state.Flows().CheckRoom(sequencer.LoadOf(flow), l.proposed); err != nil {
		return errorReply(err), nil
	}
	return modeler.Reply{}, &modeler.Command{Kind: modeler.SubmitFlow, Flow: flow}
}

func (l *flowLeadership) setLayout(layout *modeler.Layout) (modeler.Reply, *modeler.Command) {
	if layout == nil {
		return errorReply(classifier.New(classifier.Malformed, "the layout is missing")), nil
	}
	if err := sequencer.CheckLayout(layout); err != nil {
		return errorReply(err), nil
	}
	held := l.core.state.Flows().Layout().Number
	l.core.controller.settings.Report.Info("layout offered", "ticket", layout.Number, "held", held, "queues", len(layout.Queues))
	if layout.Number <= held {
		return modeler.Reply{Result: modeler.Result{Repeat: true}}, nil
	}
	return modeler.Reply{}, &modeler.Command{Kind: modeler.SetLayout, Layout: layout}
}

// announce handles a worker's announcement. What it changes is committed before
// the reply, so that later leaders know it too, unless the worker has to be asked first: then
// its next announcement finds it committed.
func (l *flowLeadership) announce(now modeler.ClockReading, m *modeler.WorkerAnnouncement) (modeler.Reply, *modeler.Command) {
	if m == nil {
		return errorReply(classifier.New(classifier.Malformed, "the worker is missing")), nil
	}
	if !l.cell.HandleAnnouncement(now, m) {
		return modeler.Reply{}, nil
	}
	return modeler.Reply{}, &modeler.Command{Kind: modeler.RecordWorkers, Announcements: []modeler.WorkerAnnouncement{*m}}
}

// noteSilence notes when the leases of a worker whose silence was recorded are over.
func (c *core) noteSilence(id modeler.WorkerID) {
	if silence, isSilent := c.state.Flows().Silences()[id]; isSilent {
		c.leasesOver[id] = c.controller.now().Add(silence.Rest)
	}
}

// noteSilences replaces what was noted by what a snapshot holds.
func (c *core) noteSilences() {
	clear(c.leasesOver)
	for id := range c.state.Flows().Silences() {
		c.noteSilence(id)
	}
}

// forwardFlowChanges passes changes of flows to the leader's dispatcher, before
// those who proposed them get their replies.
func (c *core) forwardFlowChanges() {
	changes := c.state.Flows().Changes()
	for i := range changes {
		if changes[i].Kind == sequencer.WorkerSilent {
			c.noteSilence(changes[i].Worker)
		}
	}
	if c.leader != nil && c.leader.flows != nil && len(changes) > 0 {
		c.leader.flows.cell.ApplyChanges(c.controller.now(), c.logTime(), changes)
	}
}
