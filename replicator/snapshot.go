package replicator

import "goldcreststack.example/goldcreststack/modeler"

// A snapshot may be as large as the whole state, so it is sent in pieces. In a
// single message it would delay the heartbeats behind it until the group loses
// its leader, and each lost link would restart the transfer from the beginning.
// All pieces of one transfer must come from the same leader, since members may
// encode equal states differently.

// outgoingSnapshot is a snapshot that the leader is sending to a member.
type outgoingSnapshot struct {
	snapshot modeler.Snapshot
	// next is the offset of the next piece in bytes, acked the number of bytes
	// that the member has confirmed.
	next  int
	acked int
	// pieceDue says that a piece must be sent even if it is empty.
	pieceDue bool
	// rewoundAt is when next was last set back. Refusals of pieces sent before
	// that are stale.
	rewoundAt modeler.ClockReading
}

// incomingSnapshot holds the first bytes of a snapshot that the leader of the
// current term is sending. It is dropped when the term changes.
type incomingSnapshot struct {
	index modeler.Index
	data  []byte
}

// startSnapshot begins or resumes sending the newest snapshot to the member. It
// does nothing within ElectionMax of the last start or progress.
func (r *Replicator) startSnapshot(p *peer) {
	if r.now.Sub(p.snapshotAt) < r.cfg.ElectionMax {
		return
	}
	if p.outgoing == nil || p.outgoing.snapshot.Index != r.snapshot.Index {
		p.outgoing = &outgoingSnapshot{snapshot: r.snapshot}
	}
	p.state = installing
	p.snapshotAt = r.now
	p.next = r.snapshot.Index + 1
	p.inflight = p.inflight[:0]
	// At least one piece is sent, since a member that has all of them answers
	// only when it receives another one.
	r.rewind(p, min(p.outgoing.acked, max(0, len(p.outgoing.snapshot.Data)-1)))
	r.sendPiece(p)
}

// rewind continues the snapshot from the given offset.
func (r *Replicator) rewind(p *peer, offset int) {
	p.outgoing.next = offset
	p.outgoing.pieceDue = true
	p.outgoing.rewoundAt = r.now
}

// sendPiece sends the next piece of the snapshot. It returns false when no
// piece is left to send or too many are unanswered.
func (r *Replicator) sendPiece(p *peer) bool {
	outgoing := p.outgoing
	size := len(outgoing.snapshot.Data)
	if outgoing.next >= size && !outgoing.pieceDue || outgoing.next-outgoing.acked >= maxInflight*r.cfg.PieceBytes {
		return false
	}
	outgoing.pieceDue = false
	end := min(outgoing.next+r.cfg.PieceBytes, size)
	piece := outgoing.snapshot
	piece.Data = outgoing.snapshot.Data[outgoing.next:end]
	r.send(modeler.PeerMessage{
		Kind:     modeler.InstallSnapshot,
		To:       p.member.ID,
		Term:     r.term,
		Snapshot: &piece,
		Offset:   outgoing.next,
		Size:     size,
		Round:    uint64(r.now),
	})
	outgoing.next = end
	return end < size
}

// retrySnapshot sends the unanswered pieces again after ElectionMin without
// progress. After ElectionMax it probes from the entry after known, which leads to
// appends or to another snapshot.
func (r *Replicator) retrySnapshot(p *peer, known modeler.Index) {
	if p.state != installing {
		return
	}
	switch {
	case r.now.Sub(p.snapshotAt) >= r.cfg.ElectionMax:
		p.startProbing(known + 1)
	case r.now.Sub(max(p.snapshotAt, p.outgoing.rewoundAt)) >= r.cfg.ElectionMin:
		r.rewind(p, p.outgoing.acked)
	}
}

func (r *Replicator) onSnapshotAnswer(m modeler.PeerMessage) {
	p := r.answeringPeer(m)
	if p == nil || p.state != installing || p.outgoing == nil || p.outgoing.snapshot.Index != m.LastIndex {
		return
	}
	if !m.Granted {
		if modeler.ClockReading(m.Round) >= p.outgoing.rewoundAt {
			p.outgoing.acked = min(m.Offset, len(p.outgoing.snapshot.Data))
			r.rewind(p, p.outgoing.acked)
		}
		return
	}
	if m.Offset > p.outgoing.acked && m.Offset <= len(p.outgoing.snapshot.Data) {
		p.outgoing.acked = m.Offset
		p.outgoing.next = max(p.outgoing.next, m.Offset)
		p.snapshotAt = r.now
	}
}

// compactionLimit returns the entry, at most base, up to which the log may be
// compacted. The entries after a snapshot that a member is receiving are kept,
// unless they are too many: otherwise the member of a busy leader would need
// another snapshot each time that one is complete.
func (r *Replicator) compactionLimit(base modeler.Index) modeler.Index {
	for _, p := range r.peers {
		if p.state == installing && p.outgoing != nil && p.outgoing.snapshot.Index+maxUncommitted > r.log.last {
			base = min(base, p.outgoing.snapshot.Index)
		}
	}
	return base
}

// onSnapshot stores a piece of a snapshot and installs the snapshot once it is
// complete.
func (r *Replicator) onSnapshot(m modeler.PeerMessage) {
	if m.Snapshot == nil || m.Offset < 0 || !r.acceptLeader(m) {
		return
	}
	snapshot := *m.Snapshot
	if snapshot.Index <= r.commit {
		r.incomingSnapshot = nil
		r.installIfMissing(m, &snapshot)
		return
	}
	if !r.collectPiece(m) {
		return
	}
	snapshot.Data = r.incomingSnapshot.data
	r.incomingSnapshot = nil
	r.installIfMissing(m, &snapshot)
}

// collectPiece adds a piece to the incoming snapshot and reports whether the
// snapshot is complete. If it isn't, it tells the leader how many bytes have
// arrived.
func (r *Replicator) collectPiece(m modeler.PeerMessage) bool {
	in := r.incomingSnapshot
	if in == nil || in.index != m.Snapshot.Index {
		in = &incomingSnapshot{index: m.Snapshot.Index}
		r.incomingSnapshot = in
	}
	granted := m.Offset <= len(in.data)
	if end := m.Offset + len(m.Snapshot.Data); granted && end > len(in.data) {
		in.data = append(in.data, m.Snapshot.Data[len(in.data)-m.Offset:]...)
	}
	if granted && len(in.data) >= m.Size {
		return true
	}
	r.send(modeler.PeerMessage{
		Kind:      modeler.SnapshotAnswer,
		To:        m.From,
		Term:      r.term,
		Granted:   granted,
		LastIndex: in.index,
		Offset:    len(in.data),
		Round:     m.Round,
	})
	return false
}

// installIfMissing installs a complete snapshot unless the log already holds
// its last entry, and answers the leader.
func (r *Replicator) installIfMissing(m modeler.PeerMessage, snapshot *modeler.Snapshot) {
	if snapshot.Index > r.commit {
		term, ok := r.log.term(snapshot.Index)
		if ok && term == snapshot.Term {
			r.commit = snapshot.Index
		} else {
			r.replaceLog(snapshot)
		}
	}
	r.matched = max(r.matched, snapshot.Index)
	if r.synced < snapshot.Index {
		r.deferAnswer(m.Round)
		return
	}
	r.answerAppend(m.Round)
}

// replaceLog replaces the log by a leader's snapshot.
func (r *Replicator) replaceLog(snapshot *modeler.Snapshot) {
	// Stored entries after the commit index may conflict with the snapshot.
	r.invalidateWritesAbove(r.commit)
	r.log.reset(snapshot.Index, snapshot.Term)
	r.snapshot = *snapshot
	r.configs = []configuration{{snapshot.Index, snapshot.Membership}}
	r.commit = snapshot.Index
	r.delivered = snapshot.Index
	r.written = snapshot.Index
	r.snapshotToInstall = snapshot
}
