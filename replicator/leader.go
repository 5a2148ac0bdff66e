package replicator

import (
	"math"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxBytes bounds the data of one append, but for a single larger entry.
	maxBytes = 256 << 10
	// maxInflight bounds the unanswered appends to one member; with maxBytes
	// it bounds what a slow member's link has to buffer to 2 MB.
	maxInflight = 8
	// maxPending bounds the uncommitted entries of a leader whose followers
	// don't keep up.
	maxPending = 1 << 16
	// never is a reading before every other one that can still be subtracted.
	never = modeler.ClockReading(math.MinInt64 / 2)
)

type peerState uint8

const (
	// probing: where the member's log matches is not known yet.
	probing peerState = iota
	// pipelining: appends are sent ahead of their answers.
	pipelining
	// installing: a snapshot is under way.
	installing
)

// peer is what a leader knows of another member.
type peer struct {
	member modeler.Member
	state  peerState
	match  modeler.Index
	next   modeler.Index
	// sent says that the entries of a probe are under way.
	sent bool
	// inflight holds the last index of every unanswered append.
	inflight []modeler.Index
	// heard is when the newest round that the member answered was sent.
	heard modeler.ClockReading
	// answeredAt is when the newest answer came, and stalls are the ends of the
	// last two stalls of the link.
	answeredAt modeler.ClockReading
	stalls     [2]modeler.ClockReading
	// out is the snapshot under way, which made its last progress at
	// snapshotAt.
	out        *outgoing
	snapshotAt modeler.ClockReading
	// beat says that a heartbeat is due.
	beat bool
}

func (r *Replicator) lead() {
	r.role = Leader
	r.leader = r.cfg.Self
	r.led, r.unsaved = r.term, true
	r.heardFrom = 0
	r.since = r.now
	r.peers = nil
	r.updatePeers()
	r.opening = r.log.last + 1
	r.append(modeler.LogEntry{Index: r.opening, Term: r.term, Kind: modeler.EmptyEntry})
	r.beat()
}

func (r *Replicator) beat() {
	r.beatAt = r.now
	for _, p := range r.peers {
		p.beat = true
	}
}

// quorumContact returns when the newest round that a quorum answered was
// sent, or when the leadership began.
func (r *Replicator) quorumContact() modeler.ClockReading {
	return max(r.since, r.answered(r.now))
}

// answered returns when the newest round that a quorum answered was sent; the
// leader itself counts as answering now.
func (r *Replicator) answered(now modeler.ClockReading) modeler.ClockReading {
	r.scratch = r.scratch[:0]
	if r.voter(r.cfg.Self) {
		r.scratch = append(r.scratch, int64(now))
	}
	for _, p := range r.peers {
		if !p.member.Learner {
			r.scratch = append(r.scratch, int64(p.heard))
		}
	}
	return modeler.ClockReading(r.quorum())
}

// LeaseValid reports whether no other member can lead at the reading. It is
// false until the leader has committed an entry of its term, since its
// knowledge of commits and members may be old before.
func (r *Replicator) LeaseValid(now modeler.ClockReading) bool {
	if r.role != Leader || r.commit < r.opening {
		return false
	}
	if r.transfer != nil && r.transfer.ceded {
		return false
	}
	now = max(now, r.now)
	return now.Sub(r.answered(now)) < r.lease()
}

// lease is shorter than the time for which followers refuse votes by 3%: two
// clocks that are each off by 1% differ by 2.02%.
func (r *Replicator) lease() time.Duration {
	return r.cfg.ElectionMin - r.cfg.ElectionMin*3/100
}

// ready reports why entries can't be proposed now.
func (r *Replicator) ready(now modeler.ClockReading) error {
	r.advance(now)
	if r.role != Leader {
		return classifier.New(classifier.NoLeader, "member %d is a %s in term %d", r.cfg.Self, r.role, r.term)
	}
	if !r.voter(r.cfg.Self) {
		// Entries after its own removal could be lost when it steps down.
		return classifier.New(classifier.NoLeader, "member %d is being removed", r.cfg.Self)
	}
	if r.transfer != nil {
		return classifier.New(classifier.NoLeader, "the leadership is being transferred to member %d", r.transfer.to)
	}
	if r.now.Sub(r.quorumContact()) >= r.cfg.ElectionMin {
		return classifier.New(classifier.NoQuorum, "no answer from a quorum within %s", r.cfg.ElectionMin)
	}
	if r.log.last >= r.commit+maxPending {
		return classifier.New(classifier.QueueFull, "%d entries are not committed yet", r.log.last-r.commit)
	}
	return nil
}

// Propose appends one entry for each data, which the log keeps without a
// copy. An entry is committed when Committed holds its index with its term.
func (r *Replicator) Propose(now modeler.ClockReading, data ...[]byte) (modeler.Index, modeler.Term, error) {
	if err := r.ready(now); err != nil {
		return 0, 0, err
	}
	if len(data) == 0 {
		return 0, 0, classifier.New(classifier.Malformed, "the proposal holds no data")
	}
	first := r.log.last + 1
	for i, d := range data {
		r.log.append(modeler.LogEntry{Index: first + modeler.Index(i), Term: r.term, Data: d})
	}
	return first, r.term, nil
}

// replicate sends every member what it is due.
func (r *Replicator) replicate() {
	for _, p := range r.peers {
		if p.beat {
			p.beat = false
			r.sendHeartbeat(p)
		}
		for r.sendNext(p) {
		}
	}
}

// appendTo returns an append to the member that follows the given entry. Its
// round is the reading of sending, which is what a lease is measured from.
func (r *Replicator) appendTo(p *peer, previous modeler.Index, term modeler.Term) modeler.PeerMessage {
	return modeler.PeerMessage{
		Kind:      modeler.Append,
		To:        p.member.ID,
		Term:      r.term,
		LastIndex: previous,
		LastTerm:  term,
		Commit:    r.commit,
		Round:     uint64(r.now),
	}
}

// sendHeartbeat sends an empty append after the last entry that was sent, so
// that a lost append is noticed by the refusal.
func (r *Replicator) sendHeartbeat(p *peer) {
	previous := p.next - 1
	term, ok := r.log.term(previous)
	if !ok {
		// The entry is compacted away; an append after entry 0 fits any log. It
		// is never refused, so it can't reveal a lost append either: unless a
		// snapshot is under way, the member needs one.
		previous = 0
		if p.state != installing {
			p.probe(p.match + 1)
		}
	}
	r.retrySnapshot(p, p.match)
	r.send(r.appendTo(p, previous, term))
}

// sendNext sends the next append or piece of a snapshot; it returns false when
// nothing more can be sent now.
func (r *Replicator) sendNext(p *peer) bool {
	if p.state == installing {
		return r.sendPiece(p)
	}
	if p.next > r.log.last {
		return false
	}
	switch p.state {
	case probing:
		if p.sent {
			return false
		}
	case pipelining:
		if len(p.inflight) >= maxInflight {
			return false
		}
	}
	term, ok := r.log.term(p.next - 1)
	if !ok {
		r.startSnapshot(p)
		return false
	}
	m := r.appendTo(p, p.next-1, term)
	m.Entries = r.log.batch(p.next, r.cfg.MaxBatch, maxBytes)
	r.send(m)
	if p.state == probing {
		p.sent = true
		return false
	}
	p.next += modeler.Index(len(m.Entries))
	p.inflight = append(p.inflight, p.next-1)
	return true
}

func (p *peer) probe(next modeler.Index) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.sent = false
	p.inflight = p.inflight[:0]
}

// answering returns the member that has answered this leader, nil when the
// answer is not one to a leader of this term.
func (r *Replicator) answering(m modeler.PeerMessage) *peer {
	p := r.peer(m.From)
	if r.role != Leader || p == nil || m.Term < r.term {
		return nil
	}
	if m.Term > r.term {
		r.outrun(m.Term)
		return nil
	}
	if sent := modeler.ClockReading(m.Round); sent <= r.now {
		p.heard = max(p.heard, sent)
	}
	p.noteAnswer(r.now, r.cfg.Heartbeat)
	return p
}

func (r *Replicator) onAppendAnswer(m modeler.PeerMessage) {
	p := r.answering(m)
	if p == nil {
		return
	}
	if m.Granted {
		r.onGranted(p, m)
	} else {
		r.onRefused(p, m)
	}
}

func (r *Replicator) onGranted(p *peer, m modeler.PeerMessage) {
	switch {
	case p.state == probing && m.LastIndex+1 >= p.next:
		p.state = pipelining
		p.next = min(m.LastIndex, r.log.last) + 1
		p.out = nil
	case p.state == installing && m.Match+1 >= p.next:
		p.state = pipelining
		p.out = nil
	}
	if m.Match <= p.match || m.Match > r.log.last {
		return
	}
	p.match = m.Match
	p.next = max(p.next, p.match+1)
	done := 0
	for done < len(p.inflight) && p.inflight[done] <= p.match {
		done++
	}
	p.inflight = append(p.inflight[:0], p.inflight[done:]...)
	if !p.member.Learner {
		r.advanceCommit()
	}
}

// onRefused continues from the entry that the member names. A refusal of an
// append that is no longer the newest is stale.
func (r *Replicator) onRefused(p *peer, m modeler.PeerMessage) {
	if m.LastIndex <= p.match || m.Match >= m.LastIndex {
		return
	}
	switch p.state {
	case pipelining:
		p.probe(m.Match + 1)
	case probing:
		if m.LastIndex == p.next-1 {
			p.probe(m.Match + 1)
		}
	case installing:
		if m.LastIndex == p.next-1 {
			r.retrySnapshot(p, m.Match)
		}
	}
}

// advanceCommit commits what a quorum of voters has synced. Only an entry of
// the leader's own term is counted; earlier ones are committed with it.
func (r *Replicator) advanceCommit() {
	r.scratch = r.scratch[:0]
	if r.voter(r.cfg.Self) {
		r.scratch = append(r.scratch, int64(r.synced))
	}
	for _, p := range r.peers {
		if !p.member.Learner {
			r.scratch = append(r.scratch, int64(p.match))
		}
	}
	index := modeler.Index(max(0, r.quorum()))
	if index <= r.commit || index < r.opening {
		return
	}
	r.commit = index
	if r.configs[len(r.configs)-1].index <= r.commit && !r.voter(r.cfg.Self) {
		r.retire()
	}
}

// retire ends the leadership of a member whose removal is committed. It tells
// the others of the commit first.
func (r *Replicator) retire() {
	for _, p := range r.peers {
		r.sendHeartbeat(p)
	}
	r.follow(r.term, 0)
}
