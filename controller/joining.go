package controller

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// replaceAfter is how long a voter must have been silent before it is removed
// and a caught-up learner takes its place: longer than a restart or a pause of
// a host.
const replaceAfter = 15 * time.Second

// admitMember adds a member at its own request. A member with another id at the
// same address has lost its disk and is removed first.
func (c *core) admitMember(now modeler.ClockReading, m modeler.Member) modeler.Reply {
	members := c.log.Status().Members.Members
	next := slices.Clone(members)
	event, changed := "member added", m
	var reason []any
	switch at := slices.IndexFunc(members, func(held modeler.Member) bool { return held.Address == m.Address }); {
	case at >= 0 && members[at].ID == m.ID:
		return modeler.Reply{}
	case at >= 0:
		event, changed, reason = "member removed", members[at], []any{"reason", "its host came back without its disk"}
		next = slices.Delete(next, at, at+1)
	default:
		next = append(next, modeler.Member{ID: m.ID, Address: m.Address, Learner: true})
	}
	err := c.log.ChangeMembers(now, modeler.Membership{Members: next})
	c.reportChange(now, event, changed, err, reason...)
	if err != nil {
		return errorReply(err)
	}
	return errorReply(classifier.New(classifier.Unconfirmed, "the member is being added"))
}

// updateVoters promotes learners to voters, one at a time, and removes a voter
// that has been silent for replaceAfter first. The replicator refuses learners
// that have not caught up.
func (c *core) updateVoters(now modeler.ClockReading) {
	if c.controller.settings.Flows == nil {
		return
	}
	status := c.log.Status()
	for _, p := range status.Progress {
		if !p.Member.Learner || !p.Answered {
			continue
		}
		if silent := silentVoter(now, status.Progress); silent != 0 {
			c.proposeMembership(now, status.Members, "member removed", silent, func(m modeler.Member) (modeler.Member, bool) { return m, m.ID != silent })
			return
		}
		id := p.Member.ID
		c.proposeMembership(now, status.Members, "member votes", id, func(m modeler.Member) (modeler.Member, bool) {
			m.Learner = m.Learner && m.ID != id
			return m, true
		})
		return
	}
}

// silentVoter returns a voter that has not answered for replaceAfter, or 0.
func silentVoter(now modeler.ClockReading, progress []replicator.Progress) modeler.MemberID {
	for _, p := range progress {
		if !p.Member.Learner && p.Answered && now.Sub(p.LastContact) > replaceAfter {
			return p.Member.ID
		}
	}
	return 0
}

// proposeMembership proposes the members that keep returns. If that is refused,
// the next tick tries again.
func (c *core) proposeMembership(now modeler.ClockReading, from modeler.Membership, event string, id modeler.MemberID, keep func(modeler.Member) (modeler.Member, bool)) {
	var next modeler.Membership
	var changed modeler.Member
	for _, m := range from.Members {
		if m.ID == id {
			changed = m
		}
		if kept, ok := keep(m); ok {
			next.Members = append(next.Members, kept)
		}
	}
	c.reportChange(now, event, changed, c.log.ChangeMembers(now, next), "members", len(next.Members))
}
