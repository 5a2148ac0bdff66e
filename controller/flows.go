package controller

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/carrier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

const (
	// flowOrdersMax bounds the orders under way; each takes a goroutine.
	flowOrdersMax = 4096
	// entryEvery is the time between two entries of the log with starts and
	// ends, for each member: an entry costs the leader a message to every member
	// and an answer from it. Five members have an entry each 5 ms, half of what a
	// fast disk takes to sync one.
	entryEvery = time.Millisecond
	// lanesFast is the part of the free processes that slow questions to the
	// outside policy must leave for fast ones: one in lanesFast.
	lanesFast = 4
)

// FlowSettings let a control process run flows.
type FlowSettings struct {
	Bounds dispatcher.Settings
	// Send carries out one order and returns the worker's answer.
	Send func(ctx context.Context, o *modeler.Order) modeler.OrderAnswer
}

// flowLead is what a leader does for flows.
type flowLead struct {
	core *core
	cell *dispatcher.Dispatcher
	// lanes holds the question under way on each link, and nil on free ones.
	lanes map[*linker.Link]*modeler.PermitRequest
	// flying counts the orders without an answer that the leader sends itself,
	// and carrier has those that other processes carry.
	flying  int
	carrier *carrier.Carrier
	// overload decides whether new flows are refused.
	overload dispatcher.Overload
	refuses  bool
	// starts and ends wait to be proposed together at nextEntry.
	starts    []modeler.FlowStart
	ends      []modeler.FlowEnd
	nextEntry modeler.ClockReading
}

// orderAnswered brings a worker's answer to an order.
type orderAnswered struct {
	term   modeler.Term
	order  modeler.Order
	answer modeler.OrderAnswer
}

func (orderAnswered) isEvent() {}

func newFlowLead(c *core, now modeler.ClockReading, term modeler.Term) *flowLead {
	settings := c.shell.settings.Flows
	if settings == nil {
		return nil
	}
	l := &flowLead{
		core:  c,
		cell:  dispatcher.New(now, c.stamp(), term, c.state.Flows(), settings.Bounds),
		lanes: make(map[*linker.Link]*modeler.PermitRequest),

		carrier: carrier.New(term),
	}
	for link := range c.entries {
		l.linkUp(link)
	}
	return l
}

// stamp returns the time of the log, which does not go back.
func (c *core) stamp() modeler.Timestamp {
	return max(c.state.Now(), modeler.TimestampOf(time.Now()))
}

// act carries out what the dispatcher has decided.
func (l *flowLead) act(ctx context.Context, now modeler.ClockReading) {
	l.noteLoad(now)
	l.cell.Senders(l.senders())
	out := l.cell.Output(now)
	for i := range out.Orders {
		l.send(ctx, out.Orders[i])
	}
	l.carry(now)
	l.starts = append(l.starts, out.Starts...)
	l.ends = append(l.ends, out.Ends...)
	if now >= l.nextEntry {
		l.record(now)
	}
	if len(out.Departed) > 0 {
		command := &modeler.Command{Kind: modeler.RecordWorkers, Departed: out.Departed}
		if err := l.core.propose(now, command, nil); err != nil {
			l.core.shell.settings.Report.Warn("departed workers are not recorded", "count", len(out.Departed), "error", err)
		}
	}
	l.ask(now)
}

// noteLoad takes in how far the leader is behind, and tells the other processes
// when it begins or ceases to refuse new flows.
func (l *flowLead) noteLoad(now modeler.ClockReading) {
	behind := l.core.behind(now)
	l.cell.Behind(behind)
	if refuses := l.overload.Note(behind); refuses != l.refuses {
		l.refuses = refuses
		l.core.shell.settings.Report.Warn("load changes", "refuses", refuses, "behind", behind.String(), "events", len(l.core.shell.events))
	}
}

// record proposes the starts and ends that wait. Each entry of the log costs a
// message to every member, so those of a few milliseconds share one.
func (l *flowLead) record(now modeler.ClockReading) {
	if len(l.ends) > 0 {
		ends := l.ends
		l.ends = nil
		l.nextEntry = now.Add(l.entryPause())
		command := &modeler.Command{Kind: modeler.EndFlows, FlowEnds: ends}
		err := l.core.propose(now, command, func(modeler.Result) { l.cell.Recorded(l.core.shell.now(), ends, true) })
		if err != nil {
			l.cell.Recorded(now, ends, false)
		}
	}
	if len(l.starts) > 0 {
		starts := l.starts
		l.starts = nil
		l.nextEntry = now.Add(l.entryPause())
		l.core.shell.counts.placements.Add(len(starts))
		command := &modeler.Command{Kind: modeler.StartFlows, FlowStarts: starts}
		err := l.core.propose(now, command, func(modeler.Result) { l.cell.Committed(l.core.shell.now(), starts) })
		if err != nil {
			l.cell.Committed(now, starts)
		}
	}
}

// entryPause returns the time between two entries.
func (l *flowLead) entryPause() time.Duration {
	return entryEvery * time.Duration(len(l.core.log.Summary().Members.Members))
}

// due returns when the next entry may be proposed or the next orders may be
// handed over, if any wait.
func (l *flowLead) due(other modeler.ClockReading) modeler.ClockReading {
	other = l.carrier.Due(other)
	if len(l.starts)+len(l.ends) == 0 {
		return other
	}
	return min(other, l.nextEntry)
}

// ask gives the next questions for the outside policy to free processes.
func (l *flowLead) ask(now modeler.ClockReading) {
	free := 0
	for _, ask := range l.lanes {
		if ask == nil {
			free++
		}
	}
	reserve := len(l.lanes) / lanesFast
	for link, busy := range l.lanes {
		if busy != nil {
			continue
		}
		ask, found := l.cell.NextAsk(now, free > reserve)
		if !found {
			return
		}
		free--
		l.lanes[link] = &ask
		link.Send(&modeler.Message{Kind: modeler.PermitRequestMessage, PermitRequest: &ask})
	}
}

// linkUp takes a link into use for questions, and for orders if its process
// carries them. The leader's own process sends its orders itself.
func (l *flowLead) linkUp(link *linker.Link) {
	l.lanes[link] = nil
	if to := link.Peer.CarrierAddress; to != "" && to != l.core.shell.settings.Advertise {
		l.carrier.Up(l.core.entries[link])
	}
}

// linkDown gives up the question and the orders that were under way on a
// closed link.
func (l *flowLead) linkDown(now modeler.ClockReading, link *linker.Link, session modeler.EntrySession) {
	if ask := l.lanes[link]; ask != nil {
		l.cell.Permitted(now, modeler.PermitAnswer{Step: ask.Step, Failed: true})
	}
	delete(l.lanes, link)
	l.stray(now, l.carrier.Down(session), "the link to the process was lost")
}

// stray gives up orders whose fate is not known.
func (l *flowLead) stray(now modeler.ClockReading, orders []modeler.Order, why string) {
	if len(orders) == 0 {
		return
	}
	l.core.shell.settings.Report.Warn("carried orders were given up", "orders", len(orders), "reason", why)
	for i := range orders {
		l.answered(now, &orders[i], modeler.OrderAnswer{Outcome: modeler.OrderCarrierLost})
	}
}

// quiet returns how long a process has said nothing.
func (l *flowLead) quiet(session modeler.EntrySession) time.Duration {
	link := l.core.links[session]
	if link == nil {
		return 0
	}
	return link.Quiet()
}

// carry hands the orders that are due to the processes that carry them.
func (l *flowLead) carry(now modeler.ClockReading) {
	for _, b := range l.carrier.Take(now) {
		if link := l.core.links[b.To]; link != nil {
			link.Send(&modeler.Message{Kind: modeler.CarriedOrdersMessage, CarriedOrders: b.Orders})
		}
	}
}

// carried takes the answers to orders that another process has carried.
func (l *flowLead) carried(now modeler.ClockReading, answers []modeler.CarriedAnswer) {
	for i := range answers {
		o, took, found := l.carrier.Answered(now, answers[i].Number, answers[i].Answer.Outcome)
		if !found {
			continue
		}
		l.core.shell.counts.flowOrderTime[o.Kind].Update(took.Seconds())
		l.answered(now, &o, answers[i].Answer)
	}
}

// carries reports whether other processes carry the orders.
func (l *flowLead) carries() bool {
	return len(l.core.state.Flows().Workers()) >= carrier.WorkersFrom && l.carrier.Ready() > 0
}

// senders returns how many processes send orders.
func (l *flowLead) senders() int {
	if l.carries() {
		return l.carrier.Ready()
	}
	return 1
}

// send carries out an order beside the core, or has it carried by another
// process where the cell is large.
func (l *flowLead) send(ctx context.Context, o modeler.Order) {
	shell, term := l.core.shell, l.core.lead.term
	if l.carries() && l.carrier.Send(shell.now(), o) {
		shell.counts.flowOrders[o.Kind].Inc()
		return
	}
	if l.flying >= flowOrdersMax {
		l.answered(shell.now(), &o, modeler.OrderAnswer{Outcome: modeler.OrderUnsent})
		return
	}
	l.flying++
	shell.counts.flowOrders[o.Kind].Inc()
	go func() {
		sending, cancel := context.WithTimeout(ctx, o.Timeout)
		defer cancel()
		begun := time.Now()
		answer := shell.settings.Flows.Send(sending, &o)
		shell.counts.flowOrderTime[o.Kind].UpdateDuration(begun)
		shell.post(ctx, orderAnswered{term: term, order: o, answer: answer})
	}()
}

func (l *flowLead) answered(now modeler.ClockReading, o *modeler.Order, a modeler.OrderAnswer) {
	if o.Kind == modeler.RenewOrder {
		l.cell.Renewed(now, *o, a)
		return
	}
	l.cell.Answered(now, *o, a)
}

// call answers a call of an outside party, at once or with the result of the
// committed command.
func (c *core) call(now modeler.ClockReading, link *linker.Link, m *modeler.Message) {
	reply := func(r modeler.Reply) {
		link.Send(&modeler.Message{Kind: modeler.ReplyMessage, Sequence: m.Sequence, Reply: &r})
	}
	if !c.active(now) || c.lead.flows == nil {
		reply(failed(classifier.New(classifier.NoLeader, "this member does not lead")))
		return
	}
	answer, command := c.lead.flows.call(now, m.Call)
	if command == nil {
		reply(answer)
		return
	}
	err := c.propose(now, command, func(result modeler.Result) {
		answer.Result = result
		reply(answer)
	})
	if err != nil {
		reply(failed(err))
	}
}

func failed(err error) modeler.Reply {
	return modeler.Reply{Result: modeler.Result{Kind: classifier.KindOf(err), Detail: classifier.DetailOf(err)}}
}

// call returns the answer to a call, with the command that must be committed
// first if there is one.
func (l *flowLead) call(now modeler.ClockReading, call *modeler.Call) (modeler.Reply, *modeler.Command) {
	switch call.Kind {
	case modeler.SubmitCall, modeler.CancelCall, modeler.StateCall, modeler.CountCall:
		return l.queueCall(call)
	case modeler.SetLayoutCall:
		return l.setLayout(call.Layout)
	case modeler.ReadLayoutCall:
		layout := l.core.state.Flows().Layout()
		if layout.Number == 0 {
			return failed(classifier.New(classifier.Unconfirmed, "no layout was accepted yet")), nil
		}
		return modeler.Reply{Document: layout.Document}, nil
	case modeler.AnnounceCall:
		return l.announce(now, call.Announcement)
	case modeler.DepartCall:
		if call.Announcement == nil {
			return failed(classifier.New(classifier.Malformed, "the worker is missing")), nil
		}
		if _, known := l.core.state.Flows().Workers()[call.Announcement.ID]; !known {
			return modeler.Reply{}, nil
		}
		return modeler.Reply{}, &modeler.Command{Kind: modeler.RecordWorkers, Left: []modeler.WorkerID{call.Announcement.ID}}
	case modeler.JoinCall:
		if call.Member == nil {
			return failed(classifier.New(classifier.Malformed, "the member is missing")), nil
		}
		return l.core.admit(now, *call.Member), nil
	default:
		return failed(classifier.New(classifier.Malformed, "unknown call kind %d", call.Kind)), nil
	}
}

// queueCall handles the calls that name a queue.
func (l *flowLead) queueCall(call *modeler.Call) (modeler.Reply, *modeler.Command) {
	state := l.core.state.Flows()
	if state.Layout().Number == 0 {
		return failed(classifier.New(classifier.Unconfirmed, "no layout was accepted yet")), nil
	}
	queue, rest, found := state.Find(call.Host, call.Path)
	if !found {
		return failed(classifier.New(classifier.UnknownService, "no queue is at %s%s", call.Host, call.Path)), nil
	}
	if call.Kind == modeler.CountCall || call.Kind == modeler.StateCall && rest == "" {
		return modeler.Reply{Count: state.Pending(queue.ID())}, nil
	}
	id := modeler.FlowID(rest)
	held, known := state.Flow(id)
	if known && held.Spec.Queue != queue.ID() {
		known = false
	}
	switch call.Kind {
	case modeler.StateCall:
		if !known {
			return failed(classifier.New(classifier.UnknownJob, "no flow has the id %q", rest)), nil
		}
		return modeler.Reply{State: held.State}, nil
	case modeler.CancelCall:
		if !known {
			return failed(classifier.New(classifier.UnknownJob, "no flow has the id %q", rest)), nil
		}
		if held.Over() {
			return modeler.Reply{State: held.State}, nil
		}
		return modeler.Reply{}, &modeler.Command{Kind: modeler.CancelFlow, CancelledFlow: id}
	default:
		return l.submit(queue, id, known, call.Flow)
	}
}

func (l *flowLead) submit(queue *modeler.Queue, id modeler.FlowID, known bool, flow *modeler.Flow) (modeler.Reply, *modeler.Command) {
	if known {
		return modeler.Reply{}, nil
	}
	if l.refuses {
		return failed(classifier.New(classifier.QueueFull, "the leader is behind with its work")), nil
	}
	if flow == nil {
		return failed(classifier.New(classifier.Malformed, "the flow is missing")), nil
	}
	flow.ID = id
	flow.Queue = queue.ID()
	flow.Policy = queue.Policy
	if err := sequencer.Check(flow); err != nil {
		return failed(err), nil
	}
	return modeler.Reply{}, &modeler.Command{Kind: modeler.SubmitFlow, Flow: flow}
}

func (l *flowLead) setLayout(layout *modeler.Layout) (modeler.Reply, *modeler.Command) {
	if layout == nil {
		return failed(classifier.New(classifier.Malformed, "the layout is missing")), nil
	}
	if err := sequencer.CheckLayout(layout); err != nil {
		return failed(err), nil
	}
	held := l.core.state.Flows().Layout().Number
	l.core.shell.settings.Report.Info("layout offered", "ticket", layout.Number, "held", held, "queues", len(layout.Queues))
	if layout.Number <= held {
		return modeler.Reply{Result: modeler.Result{Repeat: true}}, nil
	}
	return modeler.Reply{}, &modeler.Command{Kind: modeler.SetLayout, Layout: layout}
}

// announce takes a worker's announcement; what it changes is committed before
// the answer, so that later leaders know it too.
func (l *flowLead) announce(now modeler.ClockReading, m *modeler.WorkerAnnouncement) (modeler.Reply, *modeler.Command) {
	if m == nil {
		return failed(classifier.New(classifier.Malformed, "the worker is missing")), nil
	}
	l.cell.Announce(now, m)
	if l.cell.Fresh(m) {
		return modeler.Reply{}, nil
	}
	return modeler.Reply{}, &modeler.Command{Kind: modeler.RecordWorkers, Announcements: []modeler.WorkerAnnouncement{*m}}
}

// followFlows hands the changes of flows to the leader's dispatcher, before the
// answers to those who proposed them.
func (c *core) followFlows() {
	changes := c.state.Flows().Changes()
	if c.lead != nil && c.lead.flows != nil && len(changes) > 0 {
		c.lead.flows.cell.Follow(c.shell.now(), c.stamp(), changes)
	}
}
