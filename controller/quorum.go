package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reconfigurer"
	"goldcreststack.example/goldcreststack/replicator"
)

const (
	// silentAfter is how long a member leaves the leader without an answer before
	// it counts as silent: ten heartbeats.
	silentAfter = time.Second
	// repeatInterval is the least time between two lines that tell the same about
	// members, elections or messages.
	repeatInterval = 5 * time.Second
)

// repeatLimit decides whether a line that may be due many times a second is
// written: when its content has changed, or repeatInterval after the last one.
type repeatLimit struct {
	content  string
	loggedAt modeler.ClockReading
	// skipped counts the lines left out since the last one.
	skipped int
}

// allow reports whether the line is written, and how many were left out since
// the last one.
func (l *repeatLimit) allow(now modeler.ClockReading, content string) (bool, int) {
	if content == l.content && now.Sub(l.loggedAt) < repeatInterval {
		l.skipped++
		return false, 0
	}
	skipped := l.skipped
	*l = repeatLimit{content: content, loggedAt: now}
	return true, skipped
}

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
// less than silentAfter.
func silence(now modeler.ClockReading, p *replicator.Progress) time.Duration {
	if silence := now.Sub(p.SilentSince); silence >= silentAfter {
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

// laggard is a learner that has not caught up.
type laggard struct {
	since modeler.ClockReading
	limit repeatLimit
}

// watchLearners logs each learner that answers but has not caught up for
// repeatInterval, such as one whose disk refuses writes: no change of members is
// proposed for it, so none is refused.
func (l *leadership) watchLearners(now modeler.ClockReading) {
	status := l.core.log.Status()
	lagging := make(map[modeler.MemberID]*laggard)
	for i := range status.Progress {
		p := &status.Progress[i]
		if !p.Member.Learner || p.CaughtUp || silence(now, p) > 0 {
			continue
		}
		found := l.laggards[p.Member.ID]
		if found == nil {
			found = &laggard{since: now, limit: repeatLimit{loggedAt: now}}
		}
		lagging[p.Member.ID] = found
		if ok, _ := found.limit.allow(now, ""); ok {
			l.core.controller.settings.Report.Info("learner has not caught up", "member", p.Member.ID, "address", p.Member.Address,
				"match", p.Match, "last", status.Last, "since", now.Sub(found.since).String())
		}
	}
	l.laggards = lagging
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

// reportChange logs a change of members that the replicator has accepted. It
// also logs one that it has refused, unless the last line about the member told
// the same less than repeatInterval ago.
func (c *core) reportChange(now modeler.ClockReading, event string, m modeler.Member, err error, pairs ...any) {
	pairs = append([]any{"member", m.ID, "address", m.Address}, pairs...)
	if err == nil {
		c.lastRefusal = ""
		delete(c.refusals, m.ID)
		c.controller.settings.Report.Info(event, append(pairs, "voters", c.voterCount())...)
		return
	}
	detail := classifier.DetailOf(err)
	c.lastRefusal = fmt.Sprintf("%s: %d at %s: %s", event, m.ID, m.Address, detail)
	if len(c.refusals) >= maxRefusals {
		clear(c.refusals)
	}
	limit := c.refusals[m.ID]
	if limit == nil {
		limit = &repeatLimit{}
		c.refusals[m.ID] = limit
	}
	// Numbers such as the entry that a learner has reached differ each time.
	content := event + strings.Map(dropDigit, detail)
	if ok, skipped := limit.allow(now, content); ok {
		c.controller.settings.Report.Info("change of members refused", append(pairs, "change", event, "error", detail, "skipped", skipped)...)
	}
}

// maxRefusals bounds the members whose refused changes are remembered.
const maxRefusals = 64

func dropDigit(r rune) rune {
	if unicode.IsDigit(r) {
		return -1
	}
	return r
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
