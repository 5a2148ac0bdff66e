package controller

import (
	"slices"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reconfigurer"
)

var changeEvents = map[reconfigurer.Kind]string{
	reconfigurer.Add: "member added", reconfigurer.Promote: "member votes", reconfigurer.Remove: "member removed", reconfigurer.Move: "member moved",
}

// admitMember adds a member at its own request.
func (c *core) admitMember(now modeler.ClockReading, m modeler.Member) modeler.Reply {
	change, needed := c.controller.settings.Voters.Admit(c.log.Status().Members, m)
	if !needed {
		return modeler.Reply{}
	}
	if err := c.proposeMembership(now, change); err != nil {
		return errorReply(err)
	}
	return errorReply(classifier.New(classifier.Unconfirmed, "the member is being added"))
}

// updateVoters proposes the next change of the members. If it is refused, the
// next tick tries again.
func (c *core) updateVoters(now modeler.ClockReading) {
	if c.controller.settings.Flows == nil {
		return
	}
	if change, due := c.controller.settings.Voters.Next(now, c.log.Status()); due {
		_ = c.proposeMembership(now, change)
	}
}

// proposeMembership proposes a change of the membership.
func (c *core) proposeMembership(now modeler.ClockReading, change reconfigurer.Change) error {
	changed := modeler.Member{ID: change.Member}
	for _, m := range slices.Concat(c.log.Summary().Members.Members, change.Members.Members) {
		if m.ID == change.Member {
			changed = m
		}
	}
	err := c.log.ChangeMembers(now, change.Members)
	c.reportChange(now, changeEvents[change.Kind], changed, err, "reason", change.Reason, "members", len(change.Members.Members))
	return err
}
