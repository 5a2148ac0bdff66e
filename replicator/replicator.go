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
	// Heartbeat is the time between rounds of the leader, 100 ms by default.
	Heartbeat time.Duration
	// MaxBatch bounds the entries of one message, 256 by default.
	MaxBatch int
	// Tail is the number of entries that a compaction keeps for slow
	// followers, 4096 by default.
	Tail int
	// TailBytes bounds the data of those entries, 32 MiB by default.
	TailBytes int
	// Piece bounds the bytes of a snapshot in one message, 256 KiB by default.
	Piece int
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
	// asks is how often a candidate asks for votes within a heartbeat: after a
	// restart of all members its first requests find no links.
	asks = 2
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
	if c.Tail <= 0 {
		c.Tail = defaultTail
	}
	if c.TailBytes <= 0 {
		c.TailBytes = defaultTailBytes
	}
	if c.Piece <= 0 {
		c.Piece = defaultPiece
	}
	if c.Random == nil {
		c.Random = rand.Int64N
	}
	return c
}

// Saved is what the storage gives back at a start; all of it must be synced.
type Saved struct {
	Durable  modeler.HardState
	Snapshot modeler.Snapshot
	// Entries have no gap and start at or before the entry that follows the
	// snapshot.
	Entries []modeler.LogEntry
}

// Write numbers the outputs that store entries or a snapshot.
type Write uint64

// Output is what the caller has to carry out, in the order given in the
// package's comment.
type Output struct {
	// Durable must be synced before any of Messages leaves.
	Durable *modeler.HardState
	// Snapshot replaces the stored log and the state machine's state.
	Snapshot *modeler.Snapshot
	// Entries replace the stored entries from the first one's index on. They
	// may leave a gap to older stored entries that a snapshot covers.
	Entries []modeler.LogEntry
	// Write is to be passed to Synced once Snapshot and Entries are synced;
	// it is 0 when there is nothing to store.
	Write Write
	// Messages go to the members that they name; any of them may be lost.
	Messages []modeler.PeerMessage
	// Committed holds entries of every kind, without a gap.
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

// pendingWrite is a write that the storage hasn't confirmed, with the last
// index that is durable once it has.
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
	// led is the last term in which the member was elected.
	led modeler.Term
	// unsaved says that term, vote or led changed since the last output.
	unsaved bool

	log      entryLog
	snapshot modeler.Snapshot
	configs  []configuration
	commit   modeler.Index
	// handed is the last entry given out as committed.
	handed modeler.Index
	// written is the last entry given to the storage, synced the last one
	// that it has synced.
	written modeler.Index
	synced  modeler.Index
	write   Write
	pending []pendingWrite
	install *modeler.Snapshot
	// incoming is the snapshot of which pieces have arrived in this term.
	incoming *incoming

	messages []modeler.PeerMessage

	// heardAt is when this member last answered a leader, or its start;
	// heardFrom is that leader.
	heardAt   modeler.ClockReading
	heardFrom modeler.MemberID
	deadline  modeler.ClockReading
	askedAt   modeler.ClockReading
	round     uint64
	grants    []modeler.MemberID

	// matched is the last entry known to equal the current leader's.
	matched modeler.Index
	// owed says that an answer to the leader waits for a sync.
	owed      bool
	owedRound uint64

	// The following fields are used by a leader only.
	peers   []*peer
	since   modeler.ClockReading
	opening modeler.Index
	beatAt  modeler.ClockReading
	scratch []int64
	// transfer is set while the leader hands its leadership over.
	transfer *transfer

	// allowed is the term for which a leader has told this member to stand.
	allowed modeler.Term
}

// New returns a member that starts from what its storage holds.
func New(cfg Config, saved Saved, now modeler.ClockReading) *Replicator {
	r := &Replicator{
		cfg:      cfg.withDefaults(),
		now:      now,
		term:     saved.Durable.Term,
		vote:     saved.Durable.Vote,
		led:      saved.Durable.LastLedTerm,
		snapshot: saved.Snapshot,
		commit:   saved.Snapshot.Index,
		handed:   saved.Snapshot.Index,
		matched:  saved.Snapshot.Index,
		// The member may have answered a round of a leader just before it
		// stopped, so it votes for nobody until that lease is over.
		heardAt: now,
	}
	r.configs = append(r.configs, configuration{saved.Snapshot.Index, saved.Snapshot.Membership})
	r.load(saved)
	if term := r.log.lastTerm(); term > r.term {
		// The storage syncs a term before entries of it, but a vote of a term
		// that was never synced has not left either.
		r.term, r.vote, r.unsaved = term, 0, true
	}
	r.written = r.log.last
	r.synced = r.log.last
	r.resetDeadline()
	if r.led == r.term && r.led > 0 {
		// Nobody else can hold a lease, so a restart of the whole group need
		// not wait for one to end.
		r.deadline = now
	}
	return r
}

// load fills the log from the saved entries as far as they continue or cover
// the snapshot.
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
			// The process ended between storing the snapshot of a leader and
			// dropping the conflicting log.
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

// append adds an entry to the log and puts a membership in force.
func (r *Replicator) append(entry modeler.LogEntry) {
	r.log.append(entry)
	if entry.Kind == modeler.MemberEntry && entry.Index > r.snapshot.Index {
		r.configs = append(r.configs, configuration{entry.Index, decodeMembership(entry.Data)})
	}
}

// truncate drops the entries from the given index on.
func (r *Replicator) truncate(from modeler.Index) {
	if from <= r.commit {
		panic("replicator: a leader's log conflicts with a committed entry")
	}
	r.log.truncate(from)
	for len(r.configs) > 1 && r.configs[len(r.configs)-1].index >= from {
		r.configs = r.configs[:len(r.configs)-1]
	}
	r.limitWrites(from - 1)
}

// limitWrites notes that stored entries above the index will be replaced, so
// that the confirmation of an older write doesn't vouch for newer entries.
func (r *Replicator) limitWrites(index modeler.Index) {
	r.written = min(r.written, index)
	r.synced = min(r.synced, index)
	for i := range r.pending {
		r.pending[i].index = min(r.pending[i].index, index)
	}
}

// advance takes over the clock reading; a leader without a quorum steps down
// before anything else happens.
func (r *Replicator) advance(now modeler.ClockReading) {
	r.now = max(r.now, now)
	if r.role == Leader && r.now.Sub(r.quorumContact()) >= r.cfg.ElectionMax {
		r.follow(r.term, 0)
	}
}

func (r *Replicator) resetDeadline() {
	spread := int64(r.cfg.ElectionMax - r.cfg.ElectionMin)
	wait := r.cfg.ElectionMin + time.Duration(r.cfg.Random(spread))
	r.deadline = r.now.Add(wait)
}

// setTerm moves to a higher term without a vote.
func (r *Replicator) setTerm(term modeler.Term) {
	r.term, r.vote, r.unsaved = term, 0, true
	// Every later leader's log holds the committed entries.
	r.matched = r.commit
	r.owed = false
	r.incoming = nil
}

// follow makes the member a follower; leader is 0 while it is not known.
func (r *Replicator) follow(term modeler.Term, leader modeler.MemberID) {
	if term > r.term {
		r.setTerm(term)
	}
	if r.role == Leader {
		r.peers = nil
		r.transfer = nil
		r.matched = r.commit
		r.resetDeadline()
	}
	r.role = Follower
	r.leader = leader
}

// Due returns when the next Tick has something to do, unless a call of another
// method comes first.
func (r *Replicator) Due() modeler.ClockReading {
	switch {
	case r.role == Leader:
		due := min(r.beatAt.Add(r.cfg.Heartbeat), r.quorumContact().Add(r.cfg.ElectionMax))
		if t := r.transfer; t != nil {
			due = min(due, t.began.Add(transferWithin))
		}
		return due
	case !r.eligible():
		return math.MaxInt64
	case r.role == Follower:
		return r.deadline
	default:
		return min(r.deadline, r.askedAt.Add(r.cfg.Heartbeat/asks))
	}
}

// Tick lets time pass; it is to be called when Due says so, or several times
// per heartbeat.
func (r *Replicator) Tick(now modeler.ClockReading) {
	r.advance(now)
	switch {
	case r.role == Leader:
		if r.now.Sub(r.beatAt) >= r.cfg.Heartbeat {
			r.beat()
		}
		r.tickTransfer()
	case !r.eligible():
		return
	case r.now >= r.deadline:
		r.resetDeadline()
		r.preVote()
	case r.role != Follower && r.now.Sub(r.askedAt) >= r.cfg.Heartbeat/asks:
		r.ask()
	}
}

// Step handles a message from another member.
func (r *Replicator) Step(now modeler.ClockReading, m modeler.PeerMessage) {
	r.advance(now)
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

// Output returns what is to be done since the last call. Its slices belong to
// the caller, who must not change the entries.
func (r *Replicator) Output() Output {
	if r.role == Leader {
		r.replicate()
		r.advanceTransfer()
	}
	var out Output
	if r.unsaved {
		out.Durable = &modeler.HardState{Term: r.term, Vote: r.vote, LastLedTerm: r.led}
		r.unsaved = false
	}
	out.Snapshot, r.install = r.install, nil
	if r.log.last > r.written {
		out.Entries = r.log.span(r.written+1, r.log.last)
		r.written = r.log.last
	}
	if out.Snapshot != nil || len(out.Entries) > 0 {
		r.write++
		out.Write = r.write
		r.pending = append(r.pending, pendingWrite{r.write, r.written})
	}
	out.Messages, r.messages = r.messages, nil
	if r.commit > r.handed {
		out.Committed = r.log.span(r.handed+1, r.commit)
		r.handed = r.commit
	}
	return out
}

// Synced says that the storage has synced every write up to the given one.
func (r *Replicator) Synced(now modeler.ClockReading, write Write) {
	r.advance(now)
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
	case r.owed:
		r.owed = r.synced < r.matched
		r.answerAppend(r.owedRound)
	}
}

// Compact drops the log before the snapshot, but for a tail. The snapshot
// must be of applied entries and already synced; an empty membership is
// filled in.
func (r *Replicator) Compact(snapshot modeler.Snapshot) {
	if snapshot.Index <= r.snapshot.Index || snapshot.Index > r.handed {
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
	base := r.log.tail(min(snapshot.Index, r.written), r.cfg.Tail, r.cfg.TailBytes)
	r.log.compact(r.keepFor(base))
}

// Progress is what the leader knows of a member's log.
type Progress struct {
	Member modeler.Member
	Match  modeler.Index
	// Heard is the leader's reading when it sent the newest round that the
	// member has answered; it is meaningful when Answered is set.
	Heard    modeler.ClockReading
	Answered bool
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
	// Progress is set on the leader and leaves the leader itself out.
	Progress []Progress
}

// Status returns the member's view of the group.
func (r *Replicator) Status() Status {
	status := r.Summary()
	status.Members.Members = slices.Clone(status.Members.Members)
	for _, p := range r.peers {
		status.Progress = append(status.Progress, Progress{
			Member:   p.member,
			Match:    p.match,
			Heard:    p.heard,
			Answered: p.heard != never,
		})
	}
	return status
}

// Summary returns Status without Progress; the caller must not change Members.
func (r *Replicator) Summary() Status {
	return Status{
		Role:    r.role,
		Term:    r.term,
		Leader:  r.leader,
		Commit:  r.commit,
		Last:    r.log.last,
		Synced:  r.synced,
		Members: r.current(),
	}
}
