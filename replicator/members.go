package replicator

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// configuration is a membership with the entry that put it in force. The
// newest one in the log counts, committed or not.
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

func (r *Replicator) current() modeler.Membership {
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

func find(members modeler.Membership, id modeler.MemberID) (modeler.Member, bool) {
	for _, member := range members.Members {
		if member.ID == id {
			return member, true
		}
	}
	return modeler.Member{}, false
}

func (r *Replicator) voter(id modeler.MemberID) bool {
	member, ok := find(r.current(), id)
	return ok && !member.Learner
}

// eligible reports whether the member may stand for election. One whose
// removal isn't committed may, without counting itself: it can be the only
// one whose log is complete enough to win.
func (r *Replicator) eligible() bool {
	for i := len(r.configs) - 1; i >= 0; i-- {
		member, ok := find(r.configs[i].members, r.cfg.Self)
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
// one member: added as a learner, promoted, removed or with a new address.
func (r *Replicator) ChangeMembers(now modeler.ClockReading, members modeler.Membership) error {
	if err := r.ready(now); err != nil {
		return err
	}
	// Two uncommitted memberships, of this leader or of an earlier one, may
	// have quorums without a common member.
	if r.configs[len(r.configs)-1].index > r.commit {
		return classifier.New(classifier.Unconfirmed, "another change of members is not committed yet")
	}
	if r.commit < r.opening {
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

// checkChange reports why the membership is not one step from the current
// one.
func (r *Replicator) checkChange(members modeler.Membership) error {
	voters, changes := 0, 0
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
		old, known := find(r.current(), member.ID)
		if known && old == member {
			continue
		}
		changes++
		if err := r.checkMember(old, known, member); err != nil {
			return err
		}
	}
	for _, old := range r.current().Members {
		if _, kept := find(members, old.ID); !kept {
			changes++
		}
	}
	if changes != 1 {
		return classifier.New(classifier.Malformed, "%d members differ, only one may", changes)
	}
	if voters == 0 {
		return classifier.New(classifier.Malformed, "the last voter can't be removed")
	}
	return nil
}

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

// checkPromotion refuses a learner that would hold back commits as a voter.
func (r *Replicator) checkPromotion(id modeler.MemberID) error {
	p := r.peer(id)
	if p == nil || r.now.Sub(p.heard) >= r.cfg.ElectionMin {
		return classifier.New(classifier.Unconfirmed, "learner %d doesn't answer", id)
	}
	if p.match+modeler.Index(r.cfg.MaxBatch) < r.log.last {
		return classifier.New(classifier.Unconfirmed, "learner %d is at entry %d of %d", id, p.match, r.log.last)
	}
	return nil
}

// updatePeers follows a new membership and keeps what is known of members
// that stay.
func (r *Replicator) updatePeers() {
	peers := make([]*peer, 0, len(r.current().Members))
	for _, member := range r.current().Members {
		if member.ID == r.cfg.Self {
			continue
		}
		p := r.peer(member.ID)
		if p == nil {
			p = &peer{next: r.log.last + 1, heard: never, answeredAt: never, snapshotAt: never, beat: true}
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

// quorum returns the highest value that a quorum of voters has reached. The
// voters' values are in scratch.
func (r *Replicator) quorum() int64 {
	values := r.scratch
	if len(values) == 0 {
		return int64(never)
	}
	slices.Sort(values)
	return values[len(values)-1-len(values)/2]
}
