package replicator

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// transferTimeout bounds a leadership transfer. When the leader shuts down, a
	// failed transfer delays the election that follows by this time.
	transferTimeout = 500 * time.Millisecond
	// targetTimeout is how long a leader that chooses the target itself waits for
	// one voter before it tries the next.
	targetTimeout = 250 * time.Millisecond
)

// transfer is a leader's attempt to hand its leadership to a voter.
type transfer struct {
	target modeler.MemberID
	// tried are the voters that were chosen so far, including the current target.
	tried     []modeler.MemberID
	startedAt modeler.ClockReading
	// targetSince is when the current target was chosen.
	targetSince modeler.ClockReading
	// targetNamed says that the caller of Transfer named the target.
	targetNamed bool
	// targetTold says that the current target was told to stand for election.
	targetTold bool
	// leaseGivenUp says that the leader has given up its lease. It does so for the
	// rest of the term, since the message to the target may arrive at any later
	// time.
	leaseGivenUp bool
}

// Transfer stops accepting proposals and transfers the leadership to the target,
// or if target is 0, to the answering voter with the most synced entries. The
// transfer goes on after the call: Transferring reports whether it is still under
// way. The error is of the kind Unconfirmed when no suitable voter
// answers or no entry of the leader's term is committed yet, or one that Propose
// returns.
func (r *Replicator) Transfer(now modeler.ClockReading, target modeler.MemberID) error {
	r.advanceClock(now)
	if t := r.transfer; t != nil && r.role == Leader && (target == 0 || target == t.target) {
		return nil
	}
	if err := r.checkCanPropose(now); err != nil {
		return err
	}
	if r.commit < r.termStart {
		return classifier.New(classifier.Unconfirmed, "the leader has not committed an entry of its term yet")
	}
	t := &transfer{target: target, startedAt: r.now, targetSince: r.now, targetNamed: target != 0}
	if target == 0 {
		t.target = r.mostAdvanced(nil)
	}
	if p := r.peer(t.target); p == nil || p.member.Learner || r.now.Sub(p.lastContact) >= r.cfg.ElectionMin {
		return classifier.New(classifier.Unconfirmed, "no other voter that answers can take over")
	}
	t.tried = append(t.tried, t.target)
	r.transfer = t
	return nil
}

// Transferring reports whether a leadership transfer is under way.
func (r *Replicator) Transferring() bool { return r.transfer != nil }

// mostAdvanced returns the voter with the most synced entries among those that
// answer and are not in tried, or 0 if there is none.
func (r *Replicator) mostAdvanced(tried []modeler.MemberID) modeler.MemberID {
	var best *peer
	for _, p := range r.peers {
		if p.member.Learner || r.now.Sub(p.lastContact) >= r.cfg.ElectionMin || slices.Contains(tried, p.member.ID) {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	if best == nil {
		return 0
	}
	return best.member.ID
}

// advanceTransfer gives up the lease and tells the target to stand for election
// once every entry is committed and the target holds all of them, so that the
// outcome of every proposal is known.
func (r *Replicator) advanceTransfer() {
	t := r.transfer
	if t == nil || t.targetTold || r.commit < r.log.last {
		return
	}
	if p := r.peer(t.target); p == nil || p.match < r.log.last {
		return
	}
	t.targetTold = true
	t.leaseGivenUp = true
	r.send(modeler.PeerMessage{Kind: modeler.TransferLeadership, To: t.target, Term: r.term})
}

// tickTransfer chooses the next voter when the current target is late, and
// aborts a transfer that takes too long.
func (r *Replicator) tickTransfer() {
	t := r.transfer
	if t == nil {
		return
	}
	if r.now.Sub(t.startedAt) >= transferTimeout {
		r.abortTransfer()
		return
	}
	if t.targetNamed || r.now.Sub(t.targetSince) < targetTimeout {
		return
	}
	if next := r.mostAdvanced(t.tried); next != 0 {
		t.target, t.targetSince, t.targetTold = next, r.now, false
		t.tried = append(t.tried, next)
	}
}

// abortTransfer ends the transfer so that this member goes on leading. If it has
// given up its lease, it stands for election in the next term, in which the
// messages of the transfer are stale. Its followers grant that at once, since
// they refuse votes to every member but the leader that they have answered.
func (r *Replicator) abortTransfer() {
	leaseGivenUp := r.transfer.leaseGivenUp
	r.transfer = nil
	if leaseGivenUp {
		r.peers = nil
		r.startElection(r.term + 1)
	}
}

// onTransfer stands for election at once, without a pre-vote, in the term after
// that of the leader that asks for it. A message of an earlier term is stale.
func (r *Replicator) onTransfer(m modeler.PeerMessage) {
	if m.Term != r.term || r.role == Leader || !r.isEligible() {
		return
	}
	r.transferTerm = r.term + 1
	r.startElection(r.transferTerm)
}

// isExemptCandidate reports whether a vote or pre-vote request is exempt from the
// time for which members refuse votes. That is safe for a candidate to which the
// leader of the term before has transferred the leadership, or which was that
// leader: that leader has given up its lease for good, and every lease of an
// earlier term was over when it was elected. A member in an earlier term than
// the candidate's has answered no later leader than that one.
func (r *Replicator) isExemptCandidate(m modeler.PeerMessage) bool {
	return (m.Transfer || m.FormerLeader) && (m.Term > r.term || m.Term == r.term && r.vote == m.From)
}
