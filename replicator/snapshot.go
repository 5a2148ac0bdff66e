package replicator

import "goldcreststack.example/goldcreststack/modeler"

// A snapshot may be as large as the whole state, so it travels in pieces: a
// message of its size would hold up the heartbeats behind it until the group
// has lost its leader, and would start from nothing after each lost link. The
// pieces of one transfer must come from one leader, since members may encode
// equal states differently.

// outgoing is a snapshot on its way to a member.
type outgoing struct {
	snapshot modeler.Snapshot
	// next is the offset of the next piece, acked what the member holds.
	next  int
	acked int
	// due says that a piece is to be sent even if it is empty.
	due bool
	// rewound is when next was last set back; refusals of pieces sent before
	// say nothing new.
	rewound modeler.ClockReading
}

// incoming is a snapshot of which the first bytes have arrived from the leader
// of the term; a new term drops it.
type incoming struct {
	index modeler.Index
	data  []byte
}

// startSnapshot begins or resumes the transfer of the newest snapshot, but not
// twice within ElectionMax.
func (r *Replicator) startSnapshot(p *peer) {
	if r.now.Sub(p.snapshotAt) < r.cfg.ElectionMax {
		return
	}
	if p.out == nil || p.out.snapshot.Index != r.snapshot.Index {
		p.out = &outgoing{snapshot: r.snapshot}
	}
	p.state = installing
	p.snapshotAt = r.now
	p.next = r.snapshot.Index + 1
	p.inflight = p.inflight[:0]
	// A member that has all pieces answers only another one.
	r.rewind(p, min(p.out.acked, max(0, len(p.out.snapshot.Data)-1)))
	r.sendPiece(p)
}

func (r *Replicator) rewind(p *peer, offset int) {
	p.out.next = offset
	p.out.due = true
	p.out.rewound = r.now
}

// sendPiece sends the next piece; it returns false when all are sent or too
// many are unanswered.
func (r *Replicator) sendPiece(p *peer) bool {
	out := p.out
	size := len(out.snapshot.Data)
	if out.next >= size && !out.due || out.next-out.acked >= maxInflight*r.cfg.Piece {
		return false
	}
	out.due = false
	end := min(out.next+r.cfg.Piece, size)
	piece := out.snapshot
	piece.Data = out.snapshot.Data[out.next:end]
	r.send(modeler.PeerMessage{
		Kind:     modeler.InstallSnapshot,
		To:       p.member.ID,
		Term:     r.term,
		Snapshot: &piece,
		Offset:   out.next,
		Size:     size,
		Round:    uint64(r.now),
	})
	out.next = end
	return end < size
}

// retrySnapshot sends the unanswered pieces again after ElectionMin without
// progress, and looks for another way after ElectionMax.
func (r *Replicator) retrySnapshot(p *peer, known modeler.Index) {
	if p.state != installing {
		return
	}
	switch {
	case r.now.Sub(p.snapshotAt) >= r.cfg.ElectionMax:
		p.probe(known + 1)
	case r.now.Sub(max(p.snapshotAt, p.out.rewound)) >= r.cfg.ElectionMin:
		r.rewind(p, p.out.acked)
	}
}

func (r *Replicator) onSnapshotAnswer(m modeler.PeerMessage) {
	p := r.answering(m)
	if p == nil || p.state != installing || p.out == nil || p.out.snapshot.Index != m.LastIndex {
		return
	}
	if !m.Granted {
		if modeler.ClockReading(m.Round) >= p.out.rewound {
			p.out.acked = min(m.Offset, len(p.out.snapshot.Data))
			r.rewind(p, p.out.acked)
		}
		return
	}
	if m.Offset > p.out.acked && m.Offset <= len(p.out.snapshot.Data) {
		p.out.acked = m.Offset
		p.out.next = max(p.out.next, m.Offset)
		p.snapshotAt = r.now
	}
}

// keepFor returns the entry up to which the log may be compacted without
// taking from a member what follows the snapshot that it is receiving; else a
// busy leader could go on sending snapshots for ever.
func (r *Replicator) keepFor(base modeler.Index) modeler.Index {
	for _, p := range r.peers {
		if p.state == installing && p.out != nil && p.out.snapshot.Index+maxPending > r.log.last {
			base = min(base, p.out.snapshot.Index)
		}
	}
	return base
}

// onSnapshot takes a piece of a snapshot and installs it with the last one.
func (r *Replicator) onSnapshot(m modeler.PeerMessage) {
	if m.Snapshot == nil || m.Offset < 0 || !r.hear(m) {
		return
	}
	snapshot := *m.Snapshot
	if snapshot.Index <= r.commit {
		r.incoming = nil
		r.coverSnapshot(m, &snapshot)
		return
	}
	if !r.collect(m) {
		return
	}
	snapshot.Data = r.incoming.data
	r.incoming = nil
	r.coverSnapshot(m, &snapshot)
}

// collect adds a piece to those that have arrived, tells the leader how far
// they reach, and reports whether they are complete.
func (r *Replicator) collect(m modeler.PeerMessage) bool {
	in := r.incoming
	if in == nil || in.index != m.Snapshot.Index {
		in = &incoming{index: m.Snapshot.Index}
		r.incoming = in
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

// coverSnapshot installs a whole snapshot unless the log covers it.
func (r *Replicator) coverSnapshot(m modeler.PeerMessage, snapshot *modeler.Snapshot) {
	if snapshot.Index > r.commit {
		term, ok := r.log.term(snapshot.Index)
		if ok && term == snapshot.Term {
			r.commit = snapshot.Index
		} else {
			r.replace(snapshot)
		}
	}
	r.matched = max(r.matched, snapshot.Index)
	if r.synced < snapshot.Index {
		r.owe(m.Round)
		return
	}
	r.answerAppend(m.Round)
}

// replace installs a leader's snapshot in place of the log.
func (r *Replicator) replace(snapshot *modeler.Snapshot) {
	// Stored entries above the commit may conflict with the snapshot.
	r.limitWrites(r.commit)
	r.log.reset(snapshot.Index, snapshot.Term)
	r.snapshot = *snapshot
	r.configs = []configuration{{snapshot.Index, snapshot.Membership}}
	r.commit = snapshot.Index
	r.handed = snapshot.Index
	r.written = snapshot.Index
	r.install = snapshot
}
