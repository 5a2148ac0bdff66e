package replicator

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// configuration is a membership with the index of the entry that put it in
// force. The newest one in the log is in force, committed or not.
type configuration struct {
	index   modeler.Index
	members modeler.Membership
}

func decodeMembership(data []byte) modeler.Membership {
	var members modeler.Membership
	if err := cbor.Unmarshal(data, &members); err != nil {
		panic("replicator: member entry: " + err.Error())
	}
	return members
}

func (r *Replicator) currentMembership() modeler.Membership {
	return r.configs[len(r.configs)-1].members
}

// MembershipAt returns the membership in force at an entry that the snapshot
// or the log holds.
func (r *Replicator) MembershipAt(index modeler.Index) modeler.Membership {
	for i := len(r.configs) - 1; i > 0; i-- {
		if r.configs[i].index <= index {
			return r.configs[i].members
		}
	}
	return r.configs[0].members
}

func findMember(members modeler.Membership, id modeler.MemberID) (modeler.Member, bool) {
	for _, member := range members.Members {
		if member.ID == id {
			return member, true
		}
	}
	return modeler.Member{}, false
}

func (r *Replicator) isVoter(id modeler.MemberID) bool {
	member, ok := findMember(r.currentMembership(), id)
	return ok && !member.Learner
}

// isEligible reports whether the member may stand for election. A member whose
// removal isn't committed yet may, without counting itself as a voter: it can
// be the only one whose log is up to date enough to win.
func (r *Replicator) isEligible() bool {
	for i := len(r.configs) - 1; i >= 0; i-- {
		member, ok := findMember(r.configs[i].members, r.cfg.Self)
		if ok && !member.Learner {
			return true
		}
		if r.configs[i].index <= r.commit {
			return false
		}
	}
	return false
}

// ChangeMembers proposes a membership that differs from the one in force by
// one member, which is added as a learner, promoted, removed, given a new
// address or replaced by a learner at its address. The error is of the kind Malformed for any other difference,
// Unconfirmed while the change is not possible yet, or one that Propose returns.
func (r *Replicator) ChangeMembers(now modeler.ClockReading, members modeler.Membership) error {
	if err := r.checkCanPropose(now); err != nil {
		return err
	}
	// The quorums of two uncommitted memberships, whether of this leader or of
	// an earlier one, may have no member in common.
	if r.configs[len(r.configs)-1].index > r.commit {
		return classifier.New(classifier.Unconfirmed, "another change of members is not committed yet")
	}
	if r.commit < r.termStart {
		return classifier.New(classifier.Unconfirmed, "the leader has not committed an entry of its term yet")
	}
	if err := r.checkChange(members); err != nil {
		return err
	}
	data, err := cbor.Marshal(members)
	if err != nil {
		return classifier.Wrap(classifier.Internal, err, "encode the membership")
	}
	r.append(modeler.LogEntry{
		Index: r.log.last + 1,
		Term:  r.term,
		Kind:  modeler.MemberEntry,
		Data:  data,
	})
	r.updatePeers()
	return nil
}

// checkChange returns an error unless the membership differs from the current
// one by exactly one allowed change.
func (r *Replicator) checkChange(members modeler.Membership) error {
	voters, changes := 0, 0
	// added is the address of a new member.
	added := ""
	for i, member := range members.Members {
		if member.ID == 0 {
			return classifier.New(classifier.Malformed, "member id 0 is not allowed")
		}
		if slices.ContainsFunc(members.Members[:i], func(other modeler.Member) bool { return other.ID == member.ID }) {
			return classifier.New(classifier.Malformed, "member %d is listed twice", member.ID)
		}
		if !member.Learner {
			voters++
		}
		old, known := findMember(r.currentMembership(), member.ID)
		if known && old == member {
			continue
		}
		changes++
		if err := r.checkMember(old, known, member); err != nil {
			return err
		}
		if !known {
			added = member.Address
		}
	}
	for _, old := range r.currentMembership().Members {
		if _, kept := findMember(members, old.ID); kept {
			continue
		}
		// A new member is a learner and counts for no quorum, so the voters differ by one
		// even if it takes the place of a voter.
		if added != "" && added == old.Address {
			added = ""
			continue
		}
		changes++
	}
	if changes != 1 {
		return classifier.New(classifier.Malformed, "%d members differ, only one may", changes)
	}
	if voters == 0 {
		return classifier.New(classifier.Malformed, "the last voter can't be removed")
	}
	return nil
}

// checkMember returns an error unless member may replace old; known says whether
// old is a current member.
func (r *Replicator) checkMember(old modeler.Member, known bool, member modeler.Member) error {
	switch {
	case !known && !member.Learner:
		return classifier.New(classifier.Malformed, "new member %d must be a learner", member.ID)
	case known && member.Learner && !old.Learner:
		return classifier.New(classifier.Malformed, "voter %d can't become a learner", member.ID)
	case known && !member.Learner && old.Learner:
		return r.checkPromotion(member.ID)
	default:
		return nil
	}
}

// checkPromotion returns an error when the learner is silent or lags, because
// it would delay commits as a voter.
func (r *Replicator) checkPromotion(id modeler.MemberID) error {
	p := r.peer(id)
	if p == nil || r.now.Sub(p.lastContact) >= r.cfg.ElectionMin {
		return classifier.New(classifier.Unconfirmed, "learner %d doesn't answer", id)
	}
	if p.match+modeler.Index(r.cfg.MaxBatch) < r.log.last {
		return classifier.New(classifier.Unconfirmed, "learner %d is at entry %d of %d", id, p.match, r.log.last)
	}
	return nil
}

// updatePeers adapts the leader's peers to the current membership. The state of
// members that stay is kept.
func (r *Replicator) updatePeers() {
	peers := make([]*peer, 0, len(r.currentMembership().Members))
	for _, member := range r.currentMembership().Members {
		if member.ID == r.cfg.Self {
			continue
		}
		p := r.peer(member.ID)
		if p == nil {
			p = &peer{next: r.log.last + 1, since: r.now, lastContact: never, answeredAt: never, snapshotAt: never, heartbeat: true}
			p.stalls = [2]modeler.ClockReading{never, never}
		}
		p.member = member
		peers = append(peers, p)
	}
	r.peers = peers
}

func (r *Replicator) peer(id modeler.MemberID) *peer {
	for _, p := range r.peers {
		if p.member.ID == id {
			return p
		}
	}
	return nil
}

// quorumValue returns the highest value that a quorum of voters has reached,
// given the value of each voter in voterValues, which it sorts.
func (r *Replicator) quorumValue() int64 {
	values := r.voterValues
	if len(values) == 0 {
		return int64(never)
	}
	slices.Sort(values)
	return values[len(values)-1-len(values)/2]
}
