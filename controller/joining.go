package controller

import (
	"fmt"
	"slices"
	"strings"
	"unicode"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reconfigurer"
)

// maxRefusalLimits bounds the members for which lines about refused changes are
// limited.
const maxRefusalLimits = 64

// changeEvents has the message of the line about each kind of change.
var changeEvents = map[reconfigurer.Kind]string{
	reconfigurer.Add: "member added", reconfigurer.Promote: "member votes", reconfigurer.Remove: "member removed", reconfigurer.Move: "member moved", reconfigurer.Replace: "member replaced",
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

// releaseMember notes that a member is about to stop, proposes the change by which a
// learner takes its place, and replies with the kind Unconfirmed until that is done. The
// member asks again for a limited time.
func (c *core) releaseMember(now modeler.ClockReading, id modeler.MemberID) modeler.Reply {
	if id == c.controller.settings.Member || c.log.Transferring() {
		return errorReply(classifier.New(classifier.NoLeader, "this member is about to stop"))
	}
	if _, known := c.leader.leaving[id]; !known {
		c.controller.settings.Report.Info("member leaves", "member", id)
	}
	c.leader.leaving[id] = now
	c.updateVoters(now)
	status := c.log.Status()
	if c.pendingMembers() || c.controller.settings.Voters.MustAwaitSuccessor(now, status, id) {
		return errorReply(classifier.New(classifier.Unconfirmed, "the member is being replaced"))
	}
	return modeler.Reply{}
}

// leavingMembers returns the members that are about to stop, and forgets those that
// have announced it more than ReplaceAfter ago: from then on their silence tells
// whether they have come back.
func (l *leadership) leavingMembers(now modeler.ClockReading) []modeler.MemberID {
	var leaving []modeler.MemberID
	for id, since := range l.leaving {
		if now.Sub(since) > l.core.controller.settings.Voters.ReplaceAfter {
			delete(l.leaving, id)
			continue
		}
		leaving = append(leaving, id)
	}
	return leaving
}

// updateVoters proposes the next change of the members. If it is refused, the
// next tick tries again.
func (c *core) updateVoters(now modeler.ClockReading) {
	if c.controller.settings.Flows == nil {
		return
	}
	if change, due := c.controller.settings.Voters.Next(now, c.log.Status(), c.leader.leavingMembers(now)); due {
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

// reportChange logs a change of members that the replicator has accepted. It
// also logs one that it has refused, unless the last line about the member told
// the same less than repeatInterval ago.
func (c *core) reportChange(now modeler.ClockReading, event string, m modeler.Member, err error, pairs ...any) {
	pairs = append([]any{"member", m.ID, "address", m.Address}, pairs...)
	if err == nil {
		c.lastRefusal = ""
		delete(c.refusalLimits, m.ID)
		c.controller.settings.Report.Info(event, append(pairs, "voters", c.voterCount())...)
		return
	}
	detail := classifier.DetailOf(err)
	c.lastRefusal = fmt.Sprintf("%s: %d at %s: %s", event, m.ID, m.Address, detail)
	if len(c.refusalLimits) >= maxRefusalLimits {
		clear(c.refusalLimits)
	}
	limit := c.refusalLimits[m.ID]
	if limit == nil {
		limit = &repeatLimit{}
		c.refusalLimits[m.ID] = limit
	}
	// Numbers such as the entry that a learner has reached differ each time.
	content := event + strings.Map(dropDigit, detail)
	if ok, skipped := limit.allow(now, content); ok {
		c.controller.settings.Report.Info("change of members refused", append(pairs, "change", event, "error", detail, "skipped", skipped)...)
	}
}

// dropDigit is a mapping for strings.Map.
func dropDigit(r rune) rune {
	if unicode.IsDigit(r) {
		return -1
	}
	return r
}
