package replicator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Config holds the settings of a member; zero fields take the defaults.
type Config struct {
	Self modeler.MemberID
	// ElectionMin and ElectionMax bound the time without a leader after
	// which a voter stands for election; 1 s and 2 s by default. ElectionMin
	// must be the same on all members, since the lease relies on it.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Heartbeat is the time between the leader's rounds of heartbeats, 100 ms by
	// default.
	Heartbeat time.Duration
	// MaxBatch bounds the entries of one message, 256 by default.
	MaxBatch int
	// TailEntries is the number of entries before a snapshot that a compaction keeps
	// for slow followers, 4096 by default.
	TailEntries int
	// TailBytes bounds the data of the entries that TailEntries keeps, 32 MiB by
	// default.
	TailBytes int
	// PieceBytes bounds the bytes of a snapshot in one message, 256 KiB by default.
	PieceBytes int
	// Random returns a number in [0, n); math/rand/v2 by default.
	Random func(n int64) int64
}

const (
	defaultElectionMin = time.Second
	defaultElectionMax = 2 * time.Second
	defaultHeartbeat   = 100 * time.Millisecond
	defaultMaxBatch    = 256
	defaultTail        = 4096
	defaultTailBytes   = 32 << 20
	defaultPiece       = 256 << 10
	// voteRequestsPerHeartbeat is how often a candidate sends its vote requests
	// within a heartbeat interval. After a restart of all members the first
	// requests are lost, since the links don't exist yet.
	voteRequestsPerHeartbeat = 2
)

func (c Config) withDefaults() Config {
	if c.ElectionMin <= 0 {
		c.ElectionMin = defaultElectionMin
	}
	if c.ElectionMax <= c.ElectionMin {
		c.ElectionMax = max(defaultElectionMax, 2*c.ElectionMin)
	}
	if c.Heartbeat <= 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.MaxBatch <= 0 {
		c.MaxBatch = defaultMaxBatch
	}
	if c.TailEntries <= 0 {
		c.TailEntries = defaultTail
	}
	if c.TailBytes <= 0 {
		c.TailBytes = defaultTailBytes
	}
	if c.PieceBytes <= 0 {
		c.PieceBytes = defaultPiece
	}
	if c.Random == nil {
		c.Random = rand.Int64N
	}
	return c
}

// Saved is the state that the storage holds when a member starts; all of it must
// be synced.
type Saved struct {
	HardState modeler.HardState
	Snapshot  modeler.Snapshot
	// Entries have no gap and start at or before the entry that follows the
	// snapshot.
	Entries []modeler.LogEntry
}

// Write is the number of an Output that stores entries or a snapshot. It rises
// by one with each such Output.
type Write uint64

// Output is the work that the caller must carry out, in the order given in the
// package comment.
type Output struct {
	// HardState must be synced before any of Messages is sent; it is nil when the
	// hard state has not changed.
	HardState *modeler.HardState
	// Snapshot, if it is set, replaces the stored log and the state of the state
	// machine.
	Snapshot *modeler.Snapshot
	// Entries replace the stored entries from the index of the first one on.
	// There may be a gap between older stored entries and the first one when a
	// snapshot covers it.
	Entries []modeler.LogEntry
	// Write must be passed to Synced once Snapshot and Entries are synced. It is
	// 0 when there is nothing to store.
	Write Write
	// Messages must be sent to the members named in their To fields; any of them
	// may be lost.
	Messages []modeler.PeerMessage
	// Committed holds the newly committed entries of every kind, without a gap.
	Committed []modeler.LogEntry
}

// Role is the role of a member in its term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "follower"
	}
}

// pendingWrite is a write that the storage has not confirmed yet. Its index is
// that of the last entry that is durable after the confirmation.
type pendingWrite struct {
	number Write
	index  modeler.Index
}

// Replicator is the consensus state of one member.
type Replicator struct {
	cfg Config
	now modeler.ClockReading

	role   Role
	term   modeler.Term
	vote   modeler.MemberID
	leader modeler.MemberID
	// lastLedTerm is the last term in which the member was elected.
	lastLedTerm modeler.Term
	// hardStateChanged says that term, vote or lastLedTerm changed since the last
	// Output.
	hardStateChanged bool

	log      entryLog
	snapshot modeler.Snapshot
	configs  []configuration
	commit   modeler.Index
	// delivered is the last entry that an Output returned as committed.
	delivered modeler.Index
	// written is the last entry that an Output gave to the storage, synced the
	// last one that the storage has confirmed. lastWrite is the number of the
	// newest write, and pending are the writes without a confirmation.
	written           modeler.Index
	synced            modeler.Index
	lastWrite         Write
	pending           []pendingWrite
	snapshotToInstall *modeler.Snapshot
	// incomingSnapshot is the snapshot of which pieces have arrived in this term,
	// if any.
	incomingSnapshot *incomingSnapshot

	messages []modeler.PeerMessage

	// answeredLeaderAt is when this member last answered a leader, or started;
	// answeredLeader is that leader, or 0.
	answeredLeaderAt modeler.ClockReading
	answeredLeader   modeler.MemberID
	electionDeadline modeler.ClockReading
	votesRequestedAt modeler.ClockReading
	voteRound        uint64
	grantedBy        []modeler.MemberID
	refusedBy        []modeler.MemberID
	lostElection     LostElection

	// matched is the last entry known to equal the current leader's.
	matched modeler.Index
	// answerDeferred says that an answer to the leader waits for a sync; it will
	// name deferredRound.
	answerDeferred bool
	deferredRound  uint64

	// The following fields are used by a leader only.
	peers       []*peer
	leaderSince modeler.ClockReading
	termStart   modeler.Index
	heartbeatAt modeler.ClockReading
	voterValues []int64
	// transfer is set while the leader transfers its leadership.
	transfer *transfer

	// transferTerm is the term in which a leader has told this member to stand for
	// election.
	transferTerm modeler.Term
}

// New returns a member that starts from its stored state.
func New(cfg Config, saved Saved, now modeler.ClockReading) *Replicator {
	r := &Replicator{
		cfg:         cfg.withDefaults(),
		now:         now,
		term:        saved.HardState.Term,
		vote:        saved.HardState.Vote,
		lastLedTerm: saved.HardState.LastLedTerm,
		snapshot:    saved.Snapshot,
		commit:      saved.Snapshot.Index,
		delivered:   saved.Snapshot.Index,
		matched:     saved.Snapshot.Index,
		// The member may have answered a round of a leader just before it
		// stopped, so it votes for nobody until that lease is over.
		answeredLeaderAt: now,
	}
	r.configs = append(r.configs, configuration{saved.Snapshot.Index, saved.Snapshot.Membership})
	r.load(saved)
	if term := r.log.lastTerm(); term > r.term {
		// The stored term should not be below that of an entry, since the storage
		// syncs a term before its entries. If it is, the higher term was never
		// synced, so no vote of that term has been sent either.
		r.term, r.vote, r.hardStateChanged = term, 0, true
	}
	r.written = r.log.last
	r.synced = r.log.last
	r.resetElectionDeadline()
	if r.lastLedTerm == r.term && r.lastLedTerm > 0 {
		// This member led last, so no other can hold a lease. Standing for
		// election at once shortens the restart of a whole group.
		r.electionDeadline = now
	}
	return r
}

// load fills the log from the saved entries. They are dropped when they end
// before the snapshot or conflict with it.
func (r *Replicator) load(saved Saved) {
	snapshot, entries := saved.Snapshot, saved.Entries
	r.log.reset(snapshot.Index, snapshot.Term)
	if len(entries) == 0 {
		return
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if first > snapshot.Index+1 {
		panic("replicator: the saved log has a gap after the snapshot")
	}
	if last < snapshot.Index {
		return
	}
	if first <= snapshot.Index {
		if entries[snapshot.Index-first].Term != snapshot.Term {
			// The process ended after it had stored a leader's snapshot and
			// before it had dropped the conflicting log.
			return
		}
		r.log.reset(first, entries[0].Term)
		entries = entries[1:]
	}
	for _, entry := range entries {
		if entry.Index != r.log.last+1 {
			panic("replicator: the saved log has a gap")
		}
		r.append(entry)
	}
}

// append adds an entry to the log. A membership in the entry is in force from
// then on.
func (r *Replicator) append(entry modeler.LogEntry) {
	r.log.append(entry)
	if entry.Kind == modeler.MemberEntry && entry.Index > r.snapshot.Index {
		r.configs = append(r.configs, configuration{entry.Index, decodeMembership(entry.Data)})
	}
}

// truncate drops the entries from the given index on, and the memberships in
// them.
func (r *Replicator) truncate(from modeler.Index) {
	if from <= r.commit {
		panic("replicator: a leader's log conflicts with a committed entry")
	}
	r.log.truncate(from)
	for len(r.configs) > 1 && r.configs[len(r.configs)-1].index >= from {
		r.configs = r.configs[:len(r.configs)-1]
	}
	r.invalidateWritesAbove(from - 1)
}

// invalidateWritesAbove notes that the stored entries above the index will be
// replaced. The confirmation of an earlier write then no longer counts as one of
// the entries that replace them.
func (r *Replicator) invalidateWritesAbove(index modeler.Index) {
	r.written = min(r.written, index)
	r.synced = min(r.synced, index)
	for i := range r.pending {
		r.pending[i].index = min(r.pending[i].index, index)
	}
}

// advanceClock sets the current time, which never goes back. A leader without a
// quorum steps down here, before its caller does anything else.
func (r *Replicator) advanceClock(now modeler.ClockReading) {
	r.now = max(r.now, now)
	if r.role == Leader && r.now.Sub(r.quorumContact()) >= r.cfg.ElectionMax {
		r.becomeFollower(r.term, 0)
	}
}

// resetElectionDeadline chooses a random time between ElectionMin and ElectionMax
// from now, after which the member stands for election.
func (r *Replicator) resetElectionDeadline() {
	spread := int64(r.cfg.ElectionMax - r.cfg.ElectionMin)
	wait := r.cfg.ElectionMin + time.Duration(r.cfg.Random(spread))
	r.electionDeadline = r.now.Add(wait)
}

// setTerm moves to a higher term, in which the member has not voted yet.
func (r *Replicator) setTerm(term modeler.Term) {
	r.term, r.vote, r.hardStateChanged = term, 0, true
	// Only the committed entries are known to equal those of a later leader.
	r.matched = r.commit
	r.answerDeferred = false
	r.incomingSnapshot = nil
}

// becomeFollower makes the member a follower in the given term, or in its own if
// that is higher; leader is 0 while it is not known.
func (r *Replicator) becomeFollower(term modeler.Term, leader modeler.MemberID) {
	if term > r.term {
		r.setTerm(term)
	}
	if r.role == Leader {
		r.peers = nil
		r.transfer = nil
		r.matched = r.commit
		r.resetElectionDeadline()
	}
	r.role = Follower
	r.leader = leader
}

// Due returns the reading at which Tick next has something to do. A call of any
// other method may change it.
func (r *Replicator) Due() modeler.ClockReading {
	switch {
	case r.role == Leader:
		due := min(r.heartbeatAt.Add(r.cfg.Heartbeat), r.quorumContact().Add(r.cfg.ElectionMax))
		if t := r.transfer; t != nil {
			due = min(due, t.startedAt.Add(transferTimeout))
		}
		return due
	case !r.isEligible():
		return math.MaxInt64
	case r.role == Follower:
		return r.electionDeadline
	default:
		return min(r.electionDeadline, r.votesRequestedAt.Add(r.cfg.Heartbeat/voteRequestsPerHeartbeat))
	}
}

// Tick carries out what is due at the reading: heartbeats, elections and
// timeouts. It must be called at the reading that Due returns, or several times
// per heartbeat interval.
func (r *Replicator) Tick(now modeler.ClockReading) {
	r.advanceClock(now)
	switch {
	case r.role == Leader:
		if r.now.Sub(r.heartbeatAt) >= r.cfg.Heartbeat {
			r.heartbeat()
		}
		r.tickTransfer()
	case !r.isEligible():
		return
	case r.now >= r.electionDeadline:
		if r.role != Follower {
			r.recordLostElection()
		}
		r.resetElectionDeadline()
		r.startPreVote()
	case r.role != Follower && r.now.Sub(r.votesRequestedAt) >= r.cfg.Heartbeat/voteRequestsPerHeartbeat:
		r.requestVotes()
	}
}

// Step handles a message from another member.
func (r *Replicator) Step(now modeler.ClockReading, m modeler.PeerMessage) {
	r.advanceClock(now)
	if m.To != r.cfg.Self || m.From == r.cfg.Self {
		return
	}
	switch m.Kind {
	case modeler.PreVote:
		r.onPreVote(m)
	case modeler.Vote:
		r.onVote(m)
	case modeler.PreVoteAnswer, modeler.VoteAnswer:
		r.onVoteAnswer(m)
	case modeler.Append:
		r.onAppend(m)
	case modeler.InstallSnapshot:
		r.onSnapshot(m)
	case modeler.AppendAnswer:
		r.onAppendAnswer(m)
	case modeler.SnapshotAnswer:
		r.onSnapshotAnswer(m)
	case modeler.TransferLeadership:
		r.onTransfer(m)
	}
}

func (r *Replicator) send(m modeler.PeerMessage) {
	m.From = r.cfg.Self
	r.messages = append(r.messages, m)
}

// Output returns the work that has accrued since the last call. The returned
// slices belong to the caller, which must not change the entries.
func (r *Replicator) Output() Output {
	if r.role == Leader {
		r.replicate()
		r.advanceTransfer()
	}
	var out Output
	if r.hardStateChanged {
		out.HardState = &modeler.HardState{Term: r.term, Vote: r.vote, LastLedTerm: r.lastLedTerm}
		r.hardStateChanged = false
	}
	out.Snapshot, r.snapshotToInstall = r.snapshotToInstall, nil
	if r.log.last > r.written {
		out.Entries = r.log.entryRange(r.written+1, r.log.last)
		r.written = r.log.last
	}
	if out.Snapshot != nil || len(out.Entries) > 0 {
		r.lastWrite++
		out.Write = r.lastWrite
		r.pending = append(r.pending, pendingWrite{r.lastWrite, r.written})
	}
	out.Messages, r.messages = r.messages, nil
	if r.commit > r.delivered {
		out.Committed = r.log.entryRange(r.delivered+1, r.commit)
		r.delivered = r.commit
	}
	return out
}

// Synced tells the member that the storage has synced every write up to the
// given one.
func (r *Replicator) Synced(now modeler.ClockReading, write Write) {
	r.advanceClock(now)
	done := 0
	for _, w := range r.pending {
		if w.number > write {
			break
		}
		r.synced = max(r.synced, w.index)
		done++
	}
	r.pending = append(r.pending[:0], r.pending[done:]...)
	if done == 0 {
		return
	}
	switch {
	case r.role == Leader:
		r.advanceCommit()
	case r.answerDeferred:
		r.answerDeferred = r.synced < r.matched
		r.answerAppend(r.deferredRound)
	}
}

// Compact drops the entries that the snapshot covers, except the last ones that
// Config.TailEntries and TailBytes keep. The snapshot must consist of applied entries
// and be synced; an empty membership is filled in. A snapshot that is not newer
// than the last one is ignored.
func (r *Replicator) Compact(snapshot modeler.Snapshot) {
	if snapshot.Index <= r.snapshot.Index || snapshot.Index > r.delivered {
		return
	}
	if term, ok := r.log.term(snapshot.Index); !ok || term != snapshot.Term {
		return
	}
	if len(snapshot.Membership.Members) == 0 {
		snapshot.Membership = r.MembershipAt(snapshot.Index)
	}
	r.snapshot = snapshot
	for len(r.configs) > 1 && r.configs[1].index <= snapshot.Index {
		r.configs = r.configs[1:]
	}
	base := r.log.tailStart(min(snapshot.Index, r.written), r.cfg.TailEntries, r.cfg.TailBytes)
	r.log.compact(r.compactionLimit(base))
}

// Progress is the leader's knowledge of another member's log.
type Progress struct {
	Member modeler.Member
	// Match is the last entry that the member is known to have synced.
	Match modeler.Index
	// LastContact is the leader's reading when it sent the newest round that the
	// member has answered. It has a meaning only if Answered is set.
	LastContact modeler.ClockReading
	Answered    bool
	// SilentSince is LastContact, or the leader's reading when it began to send to
	// the member if the member has not answered since.
	SilentSince modeler.ClockReading
	// CaughtUp is set for a learner that can be promoted.
	CaughtUp bool
}

// Status describes the member for operators.
type Status struct {
	Role    Role
	Term    modeler.Term
	Leader  modeler.MemberID
	Commit  modeler.Index
	Last    modeler.Index
	Synced  modeler.Index
	Members modeler.Membership
	// LeaderContact is when a member that doesn't lead last answered a leader, or
	// started.
	LeaderContact modeler.ClockReading
	// LostElection is the newest election that the member has started and not won.
	// The caller must not change its lists.
	LostElection LostElection
	// Progress has an element for each other member on a leader, and is empty on
	// the other roles.
	Progress []Progress
}

// Status returns the member's view of the group.
func (r *Replicator) Status() Status {
	status := r.Summary()
	status.Members.Members = slices.Clone(status.Members.Members)
	for _, p := range r.peers {
		status.Progress = append(status.Progress, Progress{
			Member:      p.member,
			Match:       p.match,
			LastContact: p.lastContact,
			Answered:    p.lastContact != never,
			SilentSince: max(p.lastContact, p.since),
			CaughtUp:    p.member.Learner && r.checkPromotion(p.member.ID) == nil,
		})
	}
	return status
}

// Summary returns the status without Progress. The caller must not change
// Members.
func (r *Replicator) Summary() Status {
	return Status{
		Role:    r.role,
		Term:    r.term,
		Leader:  r.leader,
		Commit:  r.commit,
		Last:    r.log.last,
		Synced:  r.synced,
		Members: r.currentMembership(),

		LeaderContact: r.answeredLeaderAt,
		LostElection:  r.lostElection,
	}
}
