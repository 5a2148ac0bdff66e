package reconfigurer

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replicator"
)

// Kind is what a change does to its member.
type Kind uint8

// The kinds of changes.
const (
	Add Kind = iota + 1
	Promote
	Remove
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
type Policy struct {
	// ReplaceAfter is how long a voter must have been silent before it is removed
	// and a caught-up learner takes its place: longer than a restart or a pause of
	// a host.
	ReplaceAfter time.Duration
}

// Admit returns the change that a member needs which asks to be admitted, or
// false if it is a member already. A member with another id at the same address
// has lost its disk and is removed first.
func (p Policy) Admit(members modeler.Membership, m modeler.Member) (Change, bool) {
	at := slices.IndexFunc(members.Members, func(held modeler.Member) bool { return held.Address == m.Address })
	switch {
	case at >= 0 && members.Members[at].ID == m.ID:
		return Change{}, false
	case at >= 0:
		gone := members.Members[at].ID
		return Change{Kind: Remove, Member: gone, Reason: "its host came back without its disk", Members: without(members, gone)}, true
	default:
		next := append(slices.Clone(members.Members), modeler.Member{ID: m.ID, Address: m.Address, Learner: true})
		return Change{Kind: Add, Member: m.ID, Reason: "it asked to be admitted", Members: modeler.Membership{Members: next}}, true
	}
}

// Next returns the next change of the voters, or false if none is due: learners
// are promoted one at a time, and a voter that has been silent for ReplaceAfter
// is removed first. The replicator refuses learners that have not caught up.
func (p Policy) Next(now modeler.ClockReading, status replicator.Status) (Change, bool) {
	for _, progress := range status.Progress {
		if !progress.Member.Learner || !progress.Answered {
			continue
		}
		if silent := p.silentVoter(now, status.Progress); silent != 0 {
			return Change{Kind: Remove, Member: silent, Reason: "it is silent", Members: without(status.Members, silent)}, true
		}
		id := progress.Member.ID
		return Change{Kind: Promote, Member: id, Reason: "it has caught up", Members: promoted(status.Members, id)}, true
	}
	return Change{}, false
}

// silentVoter returns a voter that has not answered for ReplaceAfter, or 0.
func (p Policy) silentVoter(now modeler.ClockReading, progress []replicator.Progress) modeler.MemberID {
	for _, member := range progress {
		if !member.Member.Learner && member.Answered && now.Sub(member.LastContact) > p.ReplaceAfter {
			return member.Member.ID
		}
	}
	return 0
}

func without(members modeler.Membership, id modeler.MemberID) modeler.Membership {
	return modeler.Membership{Members: slices.DeleteFunc(slices.Clone(members.Members), func(m modeler.Member) bool { return m.ID == id })}
}

func promoted(members modeler.Membership, id modeler.MemberID) modeler.Membership {
	next := slices.Clone(members.Members)
	for i := range next {
		next[i].Learner = next[i].Learner && next[i].ID != id
	}
	return modeler.Membership{Members: next}
}
