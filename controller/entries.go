package controller

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

const (
	// currentLag and currentMatch are the replicator's own bounds for the
	// promotion of a learner: its shortest election timeout and its batch.
	currentLag   = time.Second
	currentMatch = 256
)

func (c *core) entryUp(l *linker.Link) {
	session := modeler.EntrySession{Entry: l.Peer.Entry, Incarnation: l.Peer.Incarnation}
	if old := c.links[session]; old != nil {
		// The entry host dialled anew, so its former link has gone silent.
		old.Close()
		delete(c.entries, old)
		if c.lead != nil && c.lead.flows != nil {
			c.lead.flows.linkDown(c.shell.now(), old, session)
		}
	}
	c.links[session] = l
	c.entries[l] = session
	if c.lead != nil && c.lead.flows != nil {
		c.lead.flows.linkUp(l)
	}
	l.Send(&modeler.Message{Kind: modeler.HelloMessage, Hello: c.hello.Load()})
	if c.active(c.shell.now()) {
		c.sendConfiguration(l)
	}
}

func (c *core) entryDown(l *linker.Link) {
	session, found := c.entries[l]
	if !found {
		return
	}
	delete(c.entries, l)
	if c.lead != nil && c.lead.flows != nil {
		c.lead.flows.linkDown(c.shell.now(), l, session)
	}
	if c.links[session] == l {
		delete(c.links, session)
		c.lender.Detach(c.shell.now(), session)
	}
}

func (c *core) sendConfiguration(l *linker.Link) {
	configuration := c.state.Configuration()
	l.Send(&modeler.Message{Kind: modeler.ConfigurationMessage, Configuration: &configuration})
}

// updateHello tells the entry hosts when this member begins or ceases to lead
// and who the members are.
func (c *core) updateHello(status replicator.Status) {
	old := c.hello.Load()
	same := slices.EqualFunc(old.Members, status.Members.Members, func(address string, m modeler.Member) bool {
		return address == m.Address
	})
	refuses := c.lead != nil && c.lead.flows != nil && c.lead.flows.refuses
	if same && old.Term == status.Term && old.IsLeader == (c.lead != nil) && old.RefusesFlows == refuses {
		return
	}
	var members []string
	for _, m := range status.Members.Members {
		members = append(members, m.Address)
	}
	next := modeler.Hello{
		Member:       c.shell.settings.Member,
		Term:         status.Term,
		IsLeader:     c.lead != nil,
		RefusesFlows: refuses,
		Members:      members,
	}
	c.hello.Store(&next)
	for _, l := range c.links {
		l.Send(&modeler.Message{Kind: modeler.HelloMessage, Hello: &next})
	}
}

func (c *core) entryMessage(now modeler.ClockReading, l *linker.Link, m *modeler.Message) {
	session, found := c.entries[l]
	if !found {
		return
	}
	switch m.Kind {
	case modeler.RenewMessage:
		if m.Renew != nil && c.active(now) {
			m.Renew.Entry = session.Entry
			m.Renew.Incarnation = session.Incarnation
			c.lender.Renew(now, m.Renew)
		}
	case modeler.HeartbeatsMessage:
		c.heartbeats(now, l, m)
	case modeler.ProposeMessage:
		if m.Propose != nil {
			c.entryPropose(now, l, m)
		}
	case modeler.CallMessage:
		if m.Call != nil {
			c.call(now, l, m)
		}
	case modeler.PermitAnswerMessage:
		if m.PermitAnswer != nil && c.lead != nil && c.lead.flows != nil {
			c.lead.flows.lanes[l] = nil
			c.lead.flows.cell.Permitted(now, *m.PermitAnswer)
		}
	case modeler.CarriedAnswersMessage:
		if c.lead != nil && c.lead.flows != nil {
			c.lead.flows.carried(now, m.CarriedAnswers)
		}
	case modeler.QueryMessage:
		if m.Query != nil {
			c.entryQuery(now, l, m)
		}
	}
}

func (c *core) heartbeats(now modeler.ClockReading, l *linker.Link, m *modeler.Message) {
	if !c.active(now) {
		return
	}
	c.shell.counts.heartbeats.Add(len(m.Heartbeats))
	answers := make([]modeler.HeartbeatAnswer, 0, len(m.Heartbeats))
	for i := range m.Heartbeats {
		b := &m.Heartbeats[i]
		answer := c.lead.heartbeat(now, b)
		answer.Receipt, answer.Next = c.lender.Heartbeat(now, b)
		answers = append(answers, answer)
	}
	l.Send(&modeler.Message{Kind: modeler.HeartbeatAnswersMessage, Sequence: m.Sequence, Answers: answers})
}

// entryPropose answers a proposal at once where that is possible, and else
// with the result of the committed command.
func (c *core) entryPropose(now modeler.ClockReading, l *linker.Link, m *modeler.Message) {
	reply := func(result modeler.Result) {
		l.Send(&modeler.Message{
			Kind:           modeler.ProposalAnswerMessage,
			Sequence:       m.Sequence,
			ProposalAnswer: &modeler.ProposalAnswer{Result: result},
		})
	}
	if !c.active(now) {
		reply(modeler.Result{Kind: classifier.NoLeader, Detail: "this member does not lead"})
		return
	}
	if result, known := c.lead.precheck(now, m.Propose); known {
		reply(result)
		return
	}
	if err := c.propose(now, m.Propose, reply); err != nil {
		reply(modeler.Result{Kind: classifier.KindOf(err), Detail: err.Error()})
	}
}

func (c *core) entryQuery(now modeler.ClockReading, l *linker.Link, m *modeler.Message) {
	queried := modeler.QueryAnswer{Result: modeler.Result{Kind: classifier.NoLeader, Detail: "this member does not lead"}}
	if c.active(now) {
		queried = c.lead.query(now, m.Query)
	}
	l.Send(&modeler.Message{Kind: modeler.QueryAnswerMessage, Sequence: m.Sequence, QueryAnswer: &queried})
}

// sendGrants sends what the allocator has granted and proposes what it wants
// recorded.
func (c *core) sendGrants(now modeler.ClockReading) {
	out := c.lender.Take()
	c.shell.counts.grants.Add(len(out.Grants))
	for _, g := range out.Grants {
		if l := c.links[g.To]; l != nil {
			l.Send(&modeler.Message{Kind: modeler.GrantMessage, Grant: g.Grant})
		}
	}
	for i := range out.Commands {
		_ = c.propose(now, &out.Commands[i], nil)
	}
}

// memberStatuses describes the members as the leader sees them.
func (c *core) memberStatuses(now modeler.ClockReading, s replicator.Status) []modeler.MemberStatus {
	out := make([]modeler.MemberStatus, 0, len(s.Members.Members))
	for _, m := range s.Members.Members {
		status := modeler.MemberStatus{Member: m, Lag: -1}
		if m.ID == c.shell.settings.Member {
			status.Match = s.Synced
			status.Lag = 0
		}
		for _, p := range s.Progress {
			if p.Member.ID == m.ID && p.Answered {
				status.Match = p.Match
				status.Lag = modeler.Duration(now.Sub(p.Heard).Truncate(time.Millisecond))
			}
		}
		status.Current = status.Lag >= 0 && status.Lag.Std() < currentLag && status.Match+currentMatch >= s.Last
		out = append(out, status)
	}
	return out
}
