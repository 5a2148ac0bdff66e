package replicator

import "goldcreststack.example/goldcreststack/modeler"

// hear takes over the sender of an append or a snapshot as the leader; it
// returns false when the sender's term is over.
func (r *Replicator) hear(m modeler.PeerMessage) bool {
	if m.Term < r.term {
		r.send(modeler.PeerMessage{Kind: modeler.AppendAnswer, To: m.From, Term: r.term})
		return false
	}
	if r.role == Leader && m.Term == r.term {
		return false
	}
	r.follow(m.Term, m.From)
	r.heardAt = r.now
	r.heardFrom = m.From
	r.resetDeadline()
	return true
}

func (r *Replicator) onAppend(m modeler.PeerMessage) {
	for i := range m.Entries {
		if m.Entries[i].Index != m.LastIndex+1+modeler.Index(i) {
			return
		}
	}
	if !r.hear(m) {
		return
	}
	// Committed entries equal the leader's and may be compacted away.
	if m.LastIndex > r.commit {
		term, ok := r.log.term(m.LastIndex)
		if !ok || term != m.LastTerm {
			r.refuseAppend(m, ok)
			return
		}
	}
	r.store(m.Entries)
	last := m.LastIndex + modeler.Index(len(m.Entries))
	r.matched = max(r.matched, last)
	r.commit = max(r.commit, min(m.Commit, r.matched))
	if len(m.Entries) > 0 && r.synced < last {
		r.owe(m.Round)
		return
	}
	// An empty append is answered at once, so that a slow disk doesn't cost
	// the leader its lease.
	r.answerAppend(m.Round)
}

// store appends the entries that the log doesn't hold yet.
func (r *Replicator) store(entries []modeler.LogEntry) {
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

// owe notes that the next sync is to be answered, with the newest round that
// waits for it.
func (r *Replicator) owe(round uint64) {
	if !r.owed || modeler.ClockReading(round) > modeler.ClockReading(r.owedRound) {
		r.owedRound = round
	}
	r.owed = true
}

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

// refuseAppend names an entry to continue from: the last one, or the one
// before the conflicting term.
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
