package replicator

import (
	"math"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxAppendBytes bounds the data of one append; a single larger entry is
	// sent alone.
	maxAppendBytes = 256 << 10
	// maxInflight bounds the unanswered appends to one member. Together with
	// maxAppendBytes it limits the buffer of a slow member's link to 2 MB.
	maxInflight = 8
	// maxUncommitted bounds the uncommitted entries in the log of a leader whose
	// followers don't keep up; further proposals are refused.
	maxUncommitted = 1 << 16
	// never is a reading before all others that can still be subtracted from
	// any of them without an overflow.
	never = modeler.ClockReading(math.MinInt64 / 2)
)

type peerState uint8

const (
	// probing: the leader doesn't know yet up to which entry the member's log
	// matches its own, and sends one append at a time.
	probing peerState = iota
	// pipelining: the leader sends appends without waiting for the answers to
	// earlier ones.
	pipelining
	// installing: the leader is sending a snapshot.
	installing
)

// peer is a leader's replication state of another member.
type peer struct {
	member modeler.Member
	state  peerState
	match  modeler.Index
	next   modeler.Index
	// probeSent says that a probe with entries is unanswered.
	probeSent bool
	// inflight holds the last index of every unanswered append.
	inflight []modeler.Index
	// since is when the leader began to send to the member, and lastContact when
	// it sent the newest round that the member has answered.
	since       modeler.ClockReading
	lastContact modeler.ClockReading
	// answeredAt is when the newest answer arrived; stalls holds the ends of the
	// last two stalls of the link, the older one first.
	answeredAt modeler.ClockReading
	stalls     [2]modeler.ClockReading
	// outgoing is the snapshot that is being sent; snapshotAt is when its
	// transfer began or last made progress.
	outgoing   *outgoingSnapshot
	snapshotAt modeler.ClockReading
	// heartbeat says that a heartbeat is due.
	heartbeat bool
}

// becomeLeader begins the leadership with an empty entry, since only entries
// of the leader's own term can be committed by counting replicas.
func (r *Replicator) becomeLeader() {
	r.role = Leader
	r.leader = r.cfg.Self
	r.lastLedTerm, r.hardStateChanged = r.term, true
	r.answeredLeader = 0
	r.leaderSince = r.now
	r.peers = nil
	r.updatePeers()
	r.termStart = r.log.last + 1
	r.append(modeler.LogEntry{Index: r.termStart, Term: r.term, Kind: modeler.EmptyEntry})
	r.heartbeat()
}

// heartbeat makes a heartbeat to every member due, which the next Output sends.
func (r *Replicator) heartbeat() {
	r.heartbeatAt = r.now
	for _, p := range r.peers {
		p.heartbeat = true
	}
}

// quorumContact returns when the leader sent the newest round that a quorum has
// answered, or when its leadership began if that is later.
func (r *Replicator) quorumContact() modeler.ClockReading {
	return max(r.leaderSince, r.quorumAnsweredAt(r.now))
}

// quorumAnsweredAt returns when the leader sent the newest round that a quorum
// has answered. The leader itself, if it is a voter, counts as answering now.
func (r *Replicator) quorumAnsweredAt(now modeler.ClockReading) modeler.ClockReading {
	r.voterValues = r.voterValues[:0]
	if r.isVoter(r.cfg.Self) {
		r.voterValues = append(r.voterValues, int64(now))
	}
	for _, p := range r.peers {
		if !p.member.Learner {
			r.voterValues = append(r.voterValues, int64(p.lastContact))
		}
	}
	return modeler.ClockReading(r.quorumValue())
}

// LeaseValid reports whether this member leads and no other member can lead at
// the given reading. It is false until the leader has committed an entry of
// its term, since before that its commit index and membership may be stale.
func (r *Replicator) LeaseValid(now modeler.ClockReading) bool {
	if r.role != Leader || r.commit < r.termStart {
		return false
	}
	if r.transfer != nil && r.transfer.leaseGivenUp {
		return false
	}
	now = max(now, r.now)
	return now.Sub(r.quorumAnsweredAt(now)) < r.LeaseDuration()
}

// LeaseDuration returns how long a lease lasts after the round that renews it
// was sent. It is 3% shorter than the time for which followers refuse votes:
// two clocks that are each off by 1% differ by 2.02%.
func (r *Replicator) LeaseDuration() time.Duration {
	return r.cfg.ElectionMin - r.cfg.ElectionMin*3/100
}

// checkCanPropose returns an error that says why entries can't be proposed at
// the reading, or nil.
func (r *Replicator) checkCanPropose(now modeler.ClockReading) error {
	r.advanceClock(now)
	if r.role != Leader {
		return classifier.New(classifier.NoLeader, "member %d is a %s in term %d", r.cfg.Self, r.role, r.term)
	}
	if !r.isVoter(r.cfg.Self) {
		// Entries after its own removal could be lost when it steps down.
		return classifier.New(classifier.NoLeader, "member %d is being removed", r.cfg.Self)
	}
	if r.transfer != nil {
		return classifier.New(classifier.NoLeader, "the leadership is being transferred to member %d", r.transfer.target)
	}
	if r.now.Sub(r.quorumContact()) >= r.cfg.ElectionMin {
		return classifier.New(classifier.NoQuorum, "no answer from a quorum within %s", r.cfg.ElectionMin)
	}
	if r.log.last >= r.commit+maxUncommitted {
		return classifier.New(classifier.QueueFull, "%d entries are not committed yet", r.log.last-r.commit)
	}
	return nil
}

// Propose appends one entry for each element of data, which the log keeps
// without a copy, and returns the index of the first entry and the term of all.
// An entry is committed when Output.Committed holds an entry of its index and
// term. The error is of the kind NoLeader, NoQuorum, QueueFull or Malformed.
func (r *Replicator) Propose(now modeler.ClockReading, data ...[]byte) (modeler.Index, modeler.Term, error) {
	if err := r.checkCanPropose(now); err != nil {
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

// replicate sends every member the heartbeat, appends and pieces of a snapshot
// that are due.
func (r *Replicator) replicate() {
	for _, p := range r.peers {
		if p.heartbeat {
			p.heartbeat = false
			r.sendHeartbeat(p)
		}
		for r.sendNext(p) {
		}
	}
}

// newAppend returns an append without entries that continues after the entry
// previous of the given term. Its round is the reading at which it is sent; the
// lease is measured from there.
func (r *Replicator) newAppend(p *peer, previous modeler.Index, term modeler.Term) modeler.PeerMessage {
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

// sendHeartbeat sends an empty append that continues after the last entry sent
// to the member. The member refuses it if an append before it was lost.
func (r *Replicator) sendHeartbeat(p *peer) {
	previous := p.next - 1
	term, ok := r.log.term(previous)
	if !ok {
		// The previous entry is compacted away. An append after entry 0 fits
		// any log and is never refused, so it can't reveal a lost append
		// either: the member needs a snapshot unless one is being sent.
		previous = 0
		if p.state != installing {
			p.startProbing(p.match + 1)
		}
	}
	r.retrySnapshot(p, p.match)
	r.send(r.newAppend(p, previous, term))
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
		if p.probeSent {
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
	m := r.newAppend(p, p.next-1, term)
	m.Entries = r.log.batch(p.next, r.cfg.MaxBatch, maxAppendBytes)
	r.send(m)
	if p.state == probing {
		p.probeSent = true
		return false
	}
	p.next += modeler.Index(len(m.Entries))
	p.inflight = append(p.inflight, p.next-1)
	return true
}

// startProbing makes the leader send single appends from the given entry on
// until it knows where the member's log matches.
func (p *peer) startProbing(next modeler.Index) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.probeSent = false
	p.inflight = p.inflight[:0]
}

// answeringPeer notes the answer of a member and returns the member's state. It
// returns nil when this member doesn't lead, the sender is unknown, or the
// answer is of another term.
func (r *Replicator) answeringPeer(m modeler.PeerMessage) *peer {
	p := r.peer(m.From)
	if r.role != Leader || p == nil || m.Term < r.term {
		return nil
	}
	if m.Term > r.term {
		r.onHigherTerm(m.Term)
		return nil
	}
	if sent := modeler.ClockReading(m.Round); sent <= r.now {
		p.lastContact = max(p.lastContact, sent)
	}
	p.recordAnswer(r.now, r.cfg.Heartbeat)
	return p
}

func (r *Replicator) onAppendAnswer(m modeler.PeerMessage) {
	p := r.answeringPeer(m)
	if p == nil {
		return
	}
	if m.Granted {
		r.onAppendGranted(p, m)
	} else {
		r.onAppendRefused(p, m)
	}
}

func (r *Replicator) onAppendGranted(p *peer, m modeler.PeerMessage) {
	switch {
	case p.state == probing && m.LastIndex+1 >= p.next:
		p.state = pipelining
		p.next = min(m.LastIndex, r.log.last) + 1
		p.outgoing = nil
	case p.state == installing && m.Match+1 >= p.next:
		p.state = pipelining
		p.outgoing = nil
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

// onAppendRefused continues from the entry that the member names. While the
// leader probes or installs a snapshot, a refusal of any append but the newest
// is stale.
func (r *Replicator) onAppendRefused(p *peer, m modeler.PeerMessage) {
	if m.LastIndex <= p.match || m.Match >= m.LastIndex {
		return
	}
	switch p.state {
	case pipelining:
		p.startProbing(m.Match + 1)
	case probing:
		if m.LastIndex == p.next-1 {
			p.startProbing(m.Match + 1)
		}
	case installing:
		if m.LastIndex == p.next-1 {
			r.retrySnapshot(p, m.Match)
		}
	}
}

// advanceCommit commits the entries that a quorum of voters has synced. Entries
// of earlier terms are committed only together with one of the leader's own
// term, since a later leader might still replace them.
func (r *Replicator) advanceCommit() {
	r.voterValues = r.voterValues[:0]
	if r.isVoter(r.cfg.Self) {
		r.voterValues = append(r.voterValues, int64(r.synced))
	}
	for _, p := range r.peers {
		if !p.member.Learner {
			r.voterValues = append(r.voterValues, int64(p.match))
		}
	}
	index := modeler.Index(max(0, r.quorumValue()))
	if index <= r.commit || index < r.termStart {
		return
	}
	r.commit = index
	if r.configs[len(r.configs)-1].index <= r.commit && !r.isVoter(r.cfg.Self) {
		r.stepDownAfterRemoval()
	}
}

// stepDownAfterRemoval ends the leadership of a member whose removal from the
// group is committed, after telling the other members of the commit.
func (r *Replicator) stepDownAfterRemoval() {
	for _, p := range r.peers {
		r.sendHeartbeat(p)
	}
	r.becomeFollower(r.term, 0)
}
