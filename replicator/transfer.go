package replicator

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// transferWithin bounds a transfer of the leadership. It is what a failed
	// one adds to an election on a shutdown.
	transferWithin = 500 * time.Millisecond
	// targetWithin is how long one voter is waited for when the leader chooses.
	targetWithin = 250 * time.Millisecond
)

// transfer is a leader's attempt to hand its leadership to a voter.
type transfer struct {
	to modeler.MemberID
	// tried are the voters that were asked, the current one among them.
	tried []modeler.MemberID
	began modeler.ClockReading
	// since is when the current voter was chosen.
	since modeler.ClockReading
	// fixed says that the caller named the voter.
	fixed bool
	// told says that the current voter was told to stand for election.
	told bool
	// ceded says that the lease of this term is given up. It stays so for the
	// whole term, since the message to the voter may arrive at any later time.
	ceded bool
}

// Transfer stops proposals and hands the leadership to the given voter, or to
// the most advanced one that answers if to is 0. Transferring reports when it
// is over.
func (r *Replicator) Transfer(now modeler.ClockReading, to modeler.MemberID) error {
	r.advance(now)
	if t := r.transfer; t != nil && r.role == Leader && (to == 0 || to == t.to) {
		return nil
	}
	if err := r.ready(now); err != nil {
		return err
	}
	if r.commit < r.opening {
		return classifier.New(classifier.Unconfirmed, "the leader has not committed an entry of its term yet")
	}
	t := &transfer{to: to, began: r.now, since: r.now, fixed: to != 0}
	if to == 0 {
		t.to = r.mostAdvanced(nil)
	}
	if p := r.peer(t.to); p == nil || p.member.Learner || r.now.Sub(p.heard) >= r.cfg.ElectionMin {
		return classifier.New(classifier.Unconfirmed, "no other voter that answers can take over")
	}
	t.tried = append(t.tried, t.to)
	r.transfer = t
	return nil
}

// Transferring reports whether a transfer is under way.
func (r *Replicator) Transferring() bool { return r.transfer != nil }

// mostAdvanced returns the voter with the most synced entries among those
// that answer and were not tried, or 0.
func (r *Replicator) mostAdvanced(tried []modeler.MemberID) modeler.MemberID {
	var best *peer
	for _, p := range r.peers {
		if p.member.Learner || r.now.Sub(p.heard) >= r.cfg.ElectionMin || slices.Contains(tried, p.member.ID) {
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

// advanceTransfer cedes the leadership once every entry is committed and the
// voter holds all of them, so that no proposal's outcome is left unknown.
func (r *Replicator) advanceTransfer() {
	t := r.transfer
	if t == nil || t.told || r.commit < r.log.last {
		return
	}
	if p := r.peer(t.to); p == nil || p.match < r.log.last {
		return
	}
	t.told = true
	t.ceded = true
	r.send(modeler.PeerMessage{Kind: modeler.TransferLeadership, To: t.to, Term: r.term})
}

// tickTransfer goes on with the next voter, or ends a transfer that took too
// long.
func (r *Replicator) tickTransfer() {
	t := r.transfer
	if t == nil {
		return
	}
	if r.now.Sub(t.began) >= transferWithin {
		r.endTransfer()
		return
	}
	if t.fixed || r.now.Sub(t.since) < targetWithin {
		return
	}
	if next := r.mostAdvanced(t.tried); next != 0 {
		t.to, t.since, t.told = next, r.now, false
		t.tried = append(t.tried, next)
	}
}

// endTransfer goes on leading. A leader that has given up its lease has to be
// elected in the next term: there, no message of the transfer counts. Its
// followers grant it at once, since they are bound to itself.
func (r *Replicator) endTransfer() {
	ceded := r.transfer.ceded
	r.transfer = nil
	if ceded {
		r.peers = nil
		r.elect(r.term + 1)
	}
}

// onTransfer stands for election at once, without a pre-vote. Only the term
// after the leader's is open to it: a message of an earlier term is stale.
func (r *Replicator) onTransfer(m modeler.PeerMessage) {
	if m.Term != r.term || r.role == Leader || !r.eligible() {
		return
	}
	r.allowed = r.term + 1
	r.elect(r.allowed)
}

// released reports whether a request for a vote is exempt from the time for
// which members refuse votes. The leader of the term before the candidate's
// has given up its lease for good, and when it was elected every lease of an
// earlier term was over. A member in an earlier term than the candidate's has
// answered no later leader than that one.
func (r *Replicator) released(m modeler.PeerMessage) bool {
	return (m.Transfer || m.FormerLeader) && (m.Term > r.term || m.Term == r.term && r.vote == m.From)
}
