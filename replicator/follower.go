package replicator

import "goldcreststack.example/goldcreststack/modeler"

// acceptLeader follows the sender of an append or a snapshot as the leader. It
// returns false when the sender's term is over; the sender is then told the
// current term.
func (r *Replicator) acceptLeader(m modeler.PeerMessage) bool {
	if m.Term < r.term {
		r.send(modeler.PeerMessage{Kind: modeler.AppendAnswer, To: m.From, Term: r.term})
		return false
	}
	if r.role == Leader && m.Term == r.term {
		return false
	}
	r.becomeFollower(m.Term, m.From)
	r.answeredLeaderAt = r.now
	r.answeredLeader = m.From
	r.resetElectionDeadline()
	return true
}

func (r *Replicator) onAppend(m modeler.PeerMessage) {
	for i := range m.Entries {
		if m.Entries[i].Index != m.LastIndex+1+modeler.Index(i) {
			return
		}
	}
	if !r.acceptLeader(m) {
		return
	}
	// Committed entries need no check: they equal the leader's, and the log
	// may have been compacted past them.
	if m.LastIndex > r.commit {
		term, ok := r.log.term(m.LastIndex)
		if !ok || term != m.LastTerm {
			r.refuseAppend(m, ok)
			return
		}
	}
	r.appendMissing(m.Entries)
	last := m.LastIndex + modeler.Index(len(m.Entries))
	r.matched = max(r.matched, last)
	r.commit = max(r.commit, min(m.Commit, r.matched))
	if len(m.Entries) > 0 && r.synced < last {
		r.deferAnswer(m.Round)
		return
	}
	// A heartbeat doesn't wait for the disk: a slow sync would cost the leader
	// its lease.
	r.answerAppend(m.Round)
}

// appendMissing appends the entries that the log doesn't hold, and drops the
// entries of the log that conflict with them.
func (r *Replicator) appendMissing(entries []modeler.LogEntry) {
	for _, entry := range entries {
		if entry.Index <= r.commit {
			continue
		}
		term, ok := r.log.term(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		if ok {
			r.truncate(entry.Index)
		}
		r.append(entry)
	}
}

// deferAnswer leaves the answer to an append until the next sync. The answer
// names the newest round among the appends that wait for it.
func (r *Replicator) deferAnswer(round uint64) {
	if !r.answerDeferred || modeler.ClockReading(round) > modeler.ClockReading(r.deferredRound) {
		r.deferredRound = round
	}
	r.answerDeferred = true
}

// answerAppend tells the leader up to which entry the log matches its own and
// up to which of these it is synced.
func (r *Replicator) answerAppend(round uint64) {
	r.send(modeler.PeerMessage{
		Kind:      modeler.AppendAnswer,
		To:        r.leader,
		Term:      r.term,
		Granted:   true,
		LastIndex: r.matched,
		Match:     min(r.synced, r.matched),
		Round:     round,
	})
}

// refuseAppend rejects an append that doesn't fit the log. The answer names the
// entry after which the leader should continue: the last of the log, or on a
// conflict the last one before the conflicting term.
func (r *Replicator) refuseAppend(m modeler.PeerMessage, conflict bool) {
	hint := r.log.last
	if conflict {
		wrong, _ := r.log.term(m.LastIndex)
		hint = m.LastIndex - 1
		for hint > r.commit {
			if term, ok := r.log.term(hint); !ok || term != wrong {
				break
			}
			hint--
		}
	}
	r.send(modeler.PeerMessage{
		Kind:      modeler.AppendAnswer,
		To:        m.From,
		Term:      r.term,
		LastIndex: m.LastIndex,
		Match:     hint,
		Round:     m.Round,
	})
}
