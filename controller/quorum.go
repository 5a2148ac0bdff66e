package controller

import (
	"fmt"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reconfigurer"
	"goldcreststack.example/goldcreststack/replicator"
)

// reportLostElection logs an election that this member has not won, with the
// voters that have granted it, refused it and not answered.
func (c *core) reportLostElection(now modeler.ClockReading, lost *replicator.LostElection) {
	if lost.Count == c.lostElections {
		return
	}
	c.lostElections = lost.Count
	granted, refused, silent := addresses(lost.GrantedBy), addresses(lost.RefusedBy), addresses(lost.Silent)
	content := fmt.Sprint(lost.Role, lost.Needed, granted, refused, silent)
	if ok, skipped := c.lostElectionLimit.allow(now, content); ok {
		c.controller.settings.Report.Info("election not won", "role", lost.Role.String(), "term", lost.Term,
			"voters", len(granted)+len(refused)+len(silent), "needed", lost.Needed,
			"granted", granted, "refused", refused, "silent", silent, "skipped", skipped)
	}
}

func addresses(members []modeler.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}

// silence returns how long a member has not answered the leader, or 0 if that is
// less than reconfigurer.SilentAfter.
func silence(now modeler.ClockReading, p *replicator.Progress) time.Duration {
	if silence := now.Sub(p.SilentSince); silence >= reconfigurer.SilentAfter {
		return silence
	}
	return 0
}

// watchMembers logs each member that becomes silent or answers again.
func (l *leadership) watchMembers(now modeler.ClockReading) {
	status := l.core.log.Status()
	for id := range l.silentMembers {
		if !slices.ContainsFunc(status.Progress, func(p replicator.Progress) bool { return p.Member.ID == id }) {
			delete(l.silentMembers, id)
		}
	}
	for i := range status.Progress {
		p := &status.Progress[i]
		isSilent := silence(now, p) > 0
		if isSilent == l.silentMembers[p.Member.ID] {
			continue
		}
		l.silentMembers[p.Member.ID] = isSilent
		event := "member answers again"
		if isSilent {
			event = "member does not answer"
		}
		q := l.quorumStatus(now, &status)
		l.core.controller.settings.Report.Info(event, "member", p.Member.ID, "address", p.Member.Address, "votes", !p.Member.Learner,
			"answered", p.Answered, "voters", q.Voters, "needed", q.Needed, "silent", q.Silent, "spare", q.Spare)
	}
}

// laggingLearner is a learner that has not caught up.
type laggingLearner struct {
	since modeler.ClockReading
	limit repeatLimit
}

// watchLearners logs each learner that answers but has not caught up for
// repeatInterval, such as one whose disk refuses writes: no change of members is
// proposed for it, so none is refused.
func (l *leadership) watchLearners(now modeler.ClockReading) {
	status := l.core.log.Status()
	lagging := make(map[modeler.MemberID]*laggingLearner)
	for i := range status.Progress {
		p := &status.Progress[i]
		if !p.Member.Learner || p.CaughtUp || silence(now, p) > 0 {
			continue
		}
		found := l.laggingLearners[p.Member.ID]
		if found == nil {
			found = &laggingLearner{since: now, limit: repeatLimit{loggedAt: now}}
		}
		lagging[p.Member.ID] = found
		if ok, _ := found.limit.allow(now, ""); ok {
			l.core.controller.settings.Report.Info("learner has not caught up", "member", p.Member.ID, "address", p.Member.Address,
				"match", p.Match, "last", status.Last, "since", now.Sub(found.since).String())
		}
	}
	l.laggingLearners = lagging
}

// quorumStatus returns how many losses the group bears, as this leader knows it.
func (l *leadership) quorumStatus(now modeler.ClockReading, status *replicator.Status) modeler.QuorumStatus {
	q := modeler.QuorumStatus{Refusal: l.core.lastRefusal}
	for _, m := range status.Members.Members {
		if m.Learner {
			q.Learners++
		} else {
			q.Voters++
		}
	}
	for i := range status.Progress {
		if p := &status.Progress[i]; !p.Member.Learner && silence(now, p) > 0 {
			q.Silent++
		}
	}
	q.Needed = reconfigurer.Quorum(q.Voters)
	q.Spare = q.Voters - q.Silent - q.Needed
	return q
}

// voterCount returns the number of voters in the newest membership.
func (c *core) voterCount() int {
	count := 0
	for _, m := range c.log.Summary().Members.Members {
		if !m.Learner {
			count++
		}
	}
	return count
}
