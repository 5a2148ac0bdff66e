package reconfigurer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

const (
	// maxLearnerSilence is how long a learner may be silent before it is removed; one
	// that comes back asks to be admitted again.
	maxLearnerSilence = 10 * time.Second
	// answerTimeout is the age of the last answer up to which a member counts as
	// answering: a few heartbeats.
	answerTimeout = 500 * time.Millisecond
	// SilentAfter is how long a member leaves the leader without an answer before it
	// counts as silent: ten heartbeats.
	SilentAfter         = time.Second
	defaultTolerance    = 1
	defaultReplaceAfter = 2 * time.Second
)

// Kind is what a change does to its member.
type Kind uint8

// The kinds of changes.
const (
	Add Kind = iota + 1
	Promote
	Remove
	Move
	// Replace removes a member whose host has lost its disk, and adds the host as a
	// learner under its new id.
	Replace
)

// Change is a membership to propose.
type Change struct {
	Kind   Kind
	Member modeler.MemberID
	Reason string
	// Members is the membership after the change.
	Members modeler.Membership
}

// Policy decides about changes of the membership.
//
// The number of voters is kept odd, and between 2f+1 and 4f+1 for f tolerated
// losses: a replaced host counts as lost until its successor has caught up, and
// the group must bear further losses meanwhile. Other members wait as learners.
// They don't raise the quorum, and each can take the place of a voter that falls
// silent.
type Policy struct {
	// Tolerance is the number of members that may be lost at the same time, 1 by
	// default.
	Tolerance int
	// AllVote lets any number of members vote. It is for a group that tolerates the
	// loss of a whole failure domain: the members that don't vote say nothing about
	// the domains of those that do.
	AllVote bool
	// ReplaceAfter is how long a voter may be silent before it loses its vote, 2 s
	// by default. It gets the vote back when it returns and asks to be admitted.
	ReplaceAfter time.Duration
}

// WithDefaults returns the policy with its defaults in place of zero fields.
func (p Policy) WithDefaults() Policy {
	if p.Tolerance <= 0 {
		p.Tolerance = defaultTolerance
	}
	if p.ReplaceAfter <= 0 {
		p.ReplaceAfter = defaultReplaceAfter
	}
	return p
}

// fewestVoters returns the number of voters below which no silent one is removed
// without a successor: a quorum of them is left after the tolerated losses.
func (p Policy) fewestVoters() int { return 2*p.Tolerance + 1 }

// mostVoters returns the number of voters up to which learners are promoted.
func (p Policy) mostVoters() int {
	if p.AllVote {
		return math.MaxInt
	}
	return 4*p.Tolerance + 1
}

// Quorum returns the number of votes that decide among so many voters.
func Quorum(voters int) int { return voters/2 + 1 }

// mayRemove reports whether one of so many voters may be removed without a
// successor. Removing one of an odd number doesn't change the quorum, so no committed
// entry is on fewer voters. An even number bears only as many losses as the odd one
// below it.
func (p Policy) mayRemove(voters int) bool {
	return voters > 1 && (voters%2 == 1 || voters-1 >= p.fewestVoters())
}

// Admit returns the change for a host that asks to be admitted as the member m, or
// false if m is a member at this address already. A member with another id at the same
// address has lost its disk, so m replaces it if the group allows its removal. A change
// by one entry gives m its vote sooner than two, and until then a group of three bears no
// further loss.
func (p Policy) Admit(members modeler.Membership, m modeler.Member) (Change, bool) {
	if at := slices.IndexFunc(members.Members, func(held modeler.Member) bool { return held.ID == m.ID }); at >= 0 {
		if members.Members[at].Address == m.Address {
			return Change{}, false
		}
		held := members.Members[at]
		held.Address = m.Address
		// The last of several members at an address is the one that runs there.
		moved := append(slices.Delete(slices.Clone(members.Members), at, at+1), held)
		return Change{Kind: Move, Member: m.ID, Reason: "its address has changed", Members: modeler.Membership{Members: moved}}, true
	}
	next := append(slices.Clone(members.Members), modeler.Member{ID: m.ID, Address: m.Address, Learner: true})
	for i, held := range members.Members {
		if held.Address == m.Address && (held.Learner || p.mayRemove(countVoters(members))) {
			return Change{Kind: Replace, Member: m.ID, Reason: "its host has come back without its disk", Members: modeler.Membership{Members: slices.Delete(next, i, i+1)}}, true
		}
	}
	return Change{Kind: Add, Member: m.ID, Reason: "it has asked to be admitted", Members: modeler.Membership{Members: next}}, true
}

// Next returns the next change of the members, or false if none is due. It must
// be asked by a leader that holds its lease, with its status. Members that are
// about to stop are listed in leaving; they may only restart, so they lose their
// vote only to a learner.
func (p Policy) Next(now modeler.ClockReading, status replicator.Status, leaving []modeler.MemberID) (Change, bool) {
	change, due := p.next(now, status, leaving)
	if !due || !canCommit(now, status, change.Members) {
		return Change{}, false
	}
	return change, true
}

// canCommit reports whether a quorum of the voters answers, the leader included:
// a change that needs a member which has just been lost would block all further
// ones.
func canCommit(now modeler.ClockReading, status replicator.Status, members modeler.Membership) bool {
	voters, answering := 0, 0
	for _, m := range members.Members {
		if m.Learner {
			continue
		}
		voters++
		at := slices.IndexFunc(status.Progress, func(p replicator.Progress) bool { return p.Member.ID == m.ID })
		if at < 0 || now.Sub(status.Progress[at].SilentSince) <= answerTimeout {
			answering++
		}
	}
	return answering >= Quorum(voters)
}

// next returns the change that is due, whether it can be committed now or not.
func (p Policy) next(now modeler.ClockReading, status replicator.Status, leaving []modeler.MemberID) (Change, bool) {
	if gone := silentLearner(now, status); gone != 0 {
		return remove(status.Members, gone, "the learner is silent"), true
	}
	voters := countVoters(status.Members)
	if gone := supersededVoter(status.Members); gone != 0 && p.mayRemove(voters) {
		return remove(status.Members, gone, "its host has come back without its disk"), true
	}
	silent, ready, stopping := p.silentVoters(now, status), readyLearners(status), leavingVoters(status, leaving)
	if voters%2 == 0 {
		return p.nextOfEven(status.Members, voters, silent, ready, stopping)
	}
	return p.nextOfOdd(status.Members, voters, silent, ready, stopping)
}

// nextOfEven makes an even number of voters odd, since it bears no more losses
// than the odd number below it.
func (p Policy) nextOfEven(members modeler.Membership, voters int, silent, ready, stopping []modeler.MemberID) (Change, bool) {
	switch {
	case len(silent) > 0 && p.mayRemove(voters):
		return remove(members, silent[0], "the voter is silent"), true
	case len(stopping) > 0 && p.mayRemove(voters):
		return remove(members, stopping[0], "the voter is about to stop"), true
	case len(ready) > 0 && voters < p.mostVoters():
		return promote(members, ready[0]), true
	default:
		return Change{}, false
	}
}

// nextOfOdd begins a change of an odd number of voters, which nextOfEven
// completes: an exchange, or a change by two voters. A silent voter is removed
// before its successor votes, so that no commit needs both. A voter that is about
// to stop still answers, so its successor votes first.
func (p Policy) nextOfOdd(members modeler.Membership, voters int, silent, ready, stopping []modeler.MemberID) (Change, bool) {
	bearsPromotion := voters-len(silent) >= Quorum(voters+1)
	switch {
	case len(stopping) > 0 && len(ready) > 0 && bearsPromotion:
		return promote(members, ready[0]), true
	case len(ready) > 0 && voters < p.fewestVoters():
		return promote(members, ready[0]), true
	case len(silent) > 0 && len(ready) > 0:
		return remove(members, silent[0], "the voter is silent, and a learner can take its place"), true
	case len(silent) > 1 && voters-2 >= p.fewestVoters():
		return remove(members, silent[0], "several voters are silent"), true
	case len(ready) > 1 && voters+2 <= p.mostVoters() && bearsPromotion:
		return promote(members, ready[0]), true
	default:
		return Change{}, false
	}
}

// silentLearner returns a learner that has been silent for longer than
// maxLearnerSilence, or 0.
func silentLearner(now modeler.ClockReading, status replicator.Status) modeler.MemberID {
	for _, m := range status.Progress {
		if m.Member.Learner && now.Sub(m.SilentSince) > maxLearnerSilence {
			return m.Member.ID
		}
	}
	return 0
}

// silentVoters returns the voters that have not answered for ReplaceAfter, the
// longest silent one first. One that has not answered this leader at all was
// silent during the election too, so half of the time is enough.
func (p Policy) silentVoters(now modeler.ClockReading, status replicator.Status) []modeler.MemberID {
	var silent []replicator.Progress
	for _, m := range status.Progress {
		limit := p.ReplaceAfter
		if !m.Answered {
			limit /= 2
		}
		if !m.Member.Learner && now.Sub(m.SilentSince) > limit {
			silent = append(silent, m)
		}
	}
	slices.SortStableFunc(silent, func(a, b replicator.Progress) int { return cmp.Compare(a.SilentSince, b.SilentSince) })
	var ids []modeler.MemberID
	for _, m := range silent {
		ids = append(ids, m.Member.ID)
	}
	return ids
}

// leavingVoters returns the voters other than the leader that are about to stop.
func leavingVoters(status replicator.Status, leaving []modeler.MemberID) []modeler.MemberID {
	var voters []modeler.MemberID
	for _, m := range status.Progress {
		if !m.Member.Learner && slices.Contains(leaving, m.Member.ID) {
			voters = append(voters, m.Member.ID)
		}
	}
	return voters
}

// MustAwaitSuccessor reports whether a member that is about to stop has to go on until a
// learner has taken its place. A learner that is silent may only be cut off for a moment,
// so it is waited for too, unless the group bears the tolerated losses without both.
func (p Policy) MustAwaitSuccessor(now modeler.ClockReading, status replicator.Status, leaving modeler.MemberID) bool {
	votes := slices.ContainsFunc(status.Members.Members, func(m modeler.Member) bool { return m.ID == leaving && !m.Learner })
	hasLearner, answers, absent := false, false, 1
	for _, m := range status.Progress {
		isSilent := now.Sub(m.SilentSince) >= SilentAfter
		switch {
		case m.Member.Learner:
			hasLearner, answers = true, answers || !isSilent
		case isSilent && m.Member.ID != leaving:
			absent++
		}
	}
	voters := countVoters(status.Members)
	bearsLosses := voters-absent-Quorum(voters) >= p.Tolerance
	return votes && hasLearner && (answers || !bearsLosses)
}

// supersededVoter returns a voter whose host has lost its disk and come back as
// another member at the same address, or 0.
func supersededVoter(members modeler.Membership) modeler.MemberID {
	for i, m := range members.Members {
		isSame := func(later modeler.Member) bool { return later.Address == m.Address }
		if !m.Learner && slices.ContainsFunc(members.Members[i+1:], isSame) {
			return m.ID
		}
	}
	return 0
}

// readyLearners returns the learners that can be promoted.
func readyLearners(status replicator.Status) []modeler.MemberID {
	var ready []modeler.MemberID
	for _, m := range status.Progress {
		if m.Member.Learner && m.CaughtUp {
			ready = append(ready, m.Member.ID)
		}
	}
	return ready
}

func countVoters(members modeler.Membership) int {
	voters := 0
	for _, m := range members.Members {
		if !m.Learner {
			voters++
		}
	}
	return voters
}

func remove(members modeler.Membership, id modeler.MemberID, reason string) Change {
	next := slices.DeleteFunc(slices.Clone(members.Members), func(m modeler.Member) bool { return m.ID == id })
	return Change{Kind: Remove, Member: id, Reason: reason, Members: modeler.Membership{Members: next}}
}

func promote(members modeler.Membership, id modeler.MemberID) Change {
	next := slices.Clone(members.Members)
	for i := range next {
		next[i].Learner = next[i].Learner && next[i].ID != id
	}
	return Change{Kind: Promote, Member: id, Reason: "it has caught up", Members: modeler.Membership{Members: next}}
}
