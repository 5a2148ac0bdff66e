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
	// caughtUpLag and caughtUpMatch are the replicator's own limits for the
	// promotion of a learner: its shortest election timeout, and its batch size
	// in entries.
	caughtUpLag   = time.Second
	caughtUpMatch = 256
)

// entryLinkUp takes a new link from an entry host into use.
func (c *core) entryLinkUp(l *linker.Link) {
	session := modeler.EntrySession{Entry: l.Peer.Entry, Incarnation: l.Peer.Incarnation}
	if old := c.entryLinks[session]; old != nil {
		// The entry host has opened a new link because this one went silent.
		old.Close()
		delete(c.entrySessions, old)
		if c.leader != nil && c.leader.flows != nil {
			c.leader.flows.removeLink(c.controller.now(), old, session)
		}
	}
	c.entryLinks[session] = l
	c.entrySessions[l] = session
	if c.leader != nil && c.leader.flows != nil {
		c.leader.flows.addLink(l)
	}
	l.Send(&modeler.Message{Kind: modeler.HelloMessage, Hello: c.hello.Load()})
	if c.isActiveLeader(c.controller.now()) {
		c.sendConfiguration(l)
	}
}

// entryLinkDown removes a closed link. The session is detached from the
// allocator unless the entry host has opened a newer link.
func (c *core) entryLinkDown(l *linker.Link) {
	session, found := c.entrySessions[l]
	if !found {
		return
	}
	delete(c.entrySessions, l)
	if c.leader != nil && c.leader.flows != nil {
		c.leader.flows.removeLink(c.controller.now(), l, session)
	}
	if c.entryLinks[session] == l {
		delete(c.entryLinks, session)
		c.slotAllocator.Detach(c.controller.now(), session)
	}
}

func (c *core) sendConfiguration(l *linker.Link) {
	configuration := c.state.Configuration()
	l.Send(&modeler.Message{Kind: modeler.ConfigurationMessage, Configuration: &configuration})
}

// updateHello sends a new hello to the entry hosts when the term, the members,
// this member's leadership or its refusal of new flows changes.
func (c *core) updateHello(status replicator.Status) {
	old := c.hello.Load()
	same := slices.EqualFunc(old.Members, status.Members.Members, func(address string, m modeler.Member) bool {
		return address == m.Address
	})
	refusesFlows := c.leader != nil && c.leader.flows != nil && c.leader.flows.refusesFlows
	if same && old.Term == status.Term && old.IsLeader == (c.leader != nil) && old.RefusesFlows == refusesFlows {
		return
	}
	var members []string
	for _, m := range status.Members.Members {
		members = append(members, m.Address)
	}
	next := modeler.Hello{
		Member:       c.controller.settings.Member,
		Term:         status.Term,
		IsLeader:     c.leader != nil,
		RefusesFlows: refusesFlows,
		Members:      members,
	}
	c.hello.Store(&next)
	for _, l := range c.entryLinks {
		l.Send(&modeler.Message{Kind: modeler.HelloMessage, Hello: &next})
	}
}

// entryMessage handles a message from an entry host.
func (c *core) entryMessage(now modeler.ClockReading, l *linker.Link, m *modeler.Message) {
	session, found := c.entrySessions[l]
	if !found {
		return
	}
	switch m.Kind {
	case modeler.RenewMessage:
		if m.Renew != nil && c.isActiveLeader(now) {
			m.Renew.Entry = session.Entry
			m.Renew.Incarnation = session.Incarnation
			c.slotAllocator.Renew(now, m.Renew)
		}
	case modeler.HeartbeatsMessage:
		c.heartbeats(now, l, m)
	case modeler.ProposeMessage:
		if m.Propose != nil {
			c.handleProposal(now, l, m)
		}
	case modeler.CallMessage:
		if m.Call != nil {
			c.call(now, l, m)
		}
	case modeler.PermitAnswerMessage:
		if m.PermitAnswer != nil && c.leader != nil && c.leader.flows != nil {
			c.leader.flows.questions[l] = nil
			c.leader.flows.cell.HandlePermitAnswer(now, *m.PermitAnswer)
		}
	case modeler.CarriedAnswersMessage:
		if c.leader != nil && c.leader.flows != nil {
			c.leader.flows.handleCarriedAnswers(now, m.CarriedAnswers)
		}
	case modeler.QueryMessage:
		if m.Query != nil {
			c.handleQuery(now, l, m)
		}
	}
}

// heartbeats handles a batch of workers' heartbeats and sends the answers, if
// this member leads.
func (c *core) heartbeats(now modeler.ClockReading, l *linker.Link, m *modeler.Message) {
	if !c.isActiveLeader(now) {
		return
	}
	c.controller.counts.heartbeats.Add(len(m.Heartbeats))
	answers := make([]modeler.HeartbeatAnswer, 0, len(m.Heartbeats))
	for i := range m.Heartbeats {
		b := &m.Heartbeats[i]
		answer := c.leader.handleHeartbeat(now, b)
		answer.Receipt, answer.Next = c.slotAllocator.Heartbeat(now, b)
		answers = append(answers, answer)
	}
	l.Send(&modeler.Message{Kind: modeler.HeartbeatAnswersMessage, Sequence: m.Sequence, Answers: answers})
}

// handleProposal replies at once if the result is already known, and otherwise
// with the result of the committed command.
func (c *core) handleProposal(now modeler.ClockReading, l *linker.Link, m *modeler.Message) {
	reply := func(result modeler.Result) {
		l.Send(&modeler.Message{
			Kind:           modeler.ProposalAnswerMessage,
			Sequence:       m.Sequence,
			ProposalAnswer: &modeler.ProposalAnswer{Result: result},
		})
	}
	if !c.isActiveLeader(now) {
		reply(modeler.Result{Kind: classifier.NoLeader, Detail: "this member does not lead"})
		return
	}
	if result, known := c.leader.precheck(now, m.Propose); known {
		reply(result)
		return
	}
	if err := c.propose(now, m.Propose, reply); err != nil {
		reply(modeler.Result{Kind: classifier.KindOf(err), Detail: err.Error()})
	}
}

func (c *core) handleQuery(now modeler.ClockReading, l *linker.Link, m *modeler.Message) {
	answer := modeler.QueryAnswer{Result: modeler.Result{Kind: classifier.NoLeader, Detail: "this member does not lead"}}
	if c.isActiveLeader(now) {
		answer = c.leader.query(now, m.Query)
	}
	l.Send(&modeler.Message{Kind: modeler.QueryAnswerMessage, Sequence: m.Sequence, QueryAnswer: &answer})
}

// sendGrants sends the allocator's grants to the entry hosts and proposes the
// commands that the allocator wants recorded.
func (c *core) sendGrants(now modeler.ClockReading) {
	out := c.slotAllocator.TakeOutput()
	c.controller.counts.grants.Add(len(out.Grants))
	for _, g := range out.Grants {
		if l := c.entryLinks[g.To]; l != nil {
			l.Send(&modeler.Message{Kind: modeler.GrantMessage, Grant: g.Grant})
		}
	}
	for i := range out.Commands {
		_ = c.propose(now, &out.Commands[i], nil)
	}
}

// memberStatuses returns the state of each member as the leader knows it; Lag
// is -1 for a member that has not answered.
func (c *core) memberStatuses(now modeler.ClockReading, s replicator.Status) []modeler.MemberStatus {
	out := make([]modeler.MemberStatus, 0, len(s.Members.Members))
	for _, m := range s.Members.Members {
		status := modeler.MemberStatus{Member: m, Lag: -1}
		if m.ID == c.controller.settings.Member {
			status.Match = s.Synced
			status.Lag = 0
		}
		for _, p := range s.Progress {
			if p.Member.ID != m.ID {
				continue
			}
			status.Silent = modeler.Duration(silence(now, &p).Truncate(time.Millisecond))
			if p.Answered {
				status.Match = p.Match
				status.Lag = modeler.Duration(now.Sub(p.LastContact).Truncate(time.Millisecond))
			}
		}
		status.Current = status.Lag >= 0 && status.Lag.Std() < caughtUpLag && status.Match+caughtUpMatch >= s.Last
		out = append(out, status)
	}
	return out
}
