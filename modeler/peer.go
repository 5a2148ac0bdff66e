package modeler

// PeerKind is the kind of a PeerMessage.
type PeerKind uint8

// The kinds of messages between members of the replicated group.
const (
	PreVote PeerKind = iota + 1
	PreVoteAnswer
	Vote
	VoteAnswer
	Append
	AppendAnswer
	InstallSnapshot
	SnapshotAnswer
	// TransferLeadership tells a voter to start an election at once.
	TransferLeadership
)

var peerNames = [...]string{
	PreVote: "pre-vote", PreVoteAnswer: "pre-vote answer", Vote: "vote", VoteAnswer: "vote answer", Append: "append",
	AppendAnswer: "append answer", InstallSnapshot: "install snapshot", SnapshotAnswer: "snapshot answer",
	TransferLeadership: "transfer leadership",
}

// String returns the kind as log lines show it.
func (k PeerKind) String() string {
	if int(k) < len(peerNames) {
		return peerNames[k]
	}
	return "unknown"
}

// PeerMessage is a message between two members of the replicated group.
type PeerMessage struct {
	Kind PeerKind `cbor:"1,keyasint"`
	From MemberID `cbor:"2,keyasint"`
	To   MemberID `cbor:"3,keyasint"`
	Term Term     `cbor:"4,keyasint"`
	// LastIndex and LastTerm identify a log entry: on a vote the candidate's last
	// one, on an append the one before Entries.
	LastIndex Index `cbor:"5,keyasint,omitempty"`
	LastTerm  Term  `cbor:"6,keyasint,omitempty"`
	Commit    Index `cbor:"7,keyasint,omitempty"`
	// Entries are the entries of an append; they follow LastIndex without a gap.
	Entries []LogEntry `cbor:"8,keyasint,omitempty"`
	Granted bool       `cbor:"9,keyasint,omitempty"`
	// Match is the last entry that the answering member has synced to disk or, if
	// it refuses the append, the entry from which the leader has to continue.
	Match    Index     `cbor:"10,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"11,keyasint,omitempty"`
	// Round is returned in the answer; the leader renews its quorum lease by the
	// rounds that members have answered.
	Round uint64 `cbor:"12,keyasint,omitempty"`
	// Offset is the position of the piece in Snapshot, and Size the length of the
	// whole snapshot, in bytes. In an answer, Offset is the position of the next
	// piece to send.
	Offset int `cbor:"14,keyasint,omitempty"`
	Size   int `cbor:"15,keyasint,omitempty"`
	// Transfer is set on a vote when the leader of the previous term has given up
	// its lease and told the candidate to start an election.
	Transfer bool `cbor:"13,keyasint,omitempty"`
	// FormerLeader is set on a vote when the candidate itself led in the previous
	// term, and has given up its lease by restarting or by starting an election.
	FormerLeader bool `cbor:"16,keyasint,omitempty"`
}

// EntryKind is the kind of content of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	NormalEntry EntryKind = iota
	EmptyEntry            // a new leader's first entry
	MemberEntry           // a change of members
)

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index Index     `cbor:"1,keyasint"`
	Term  Term      `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	// Data is an encoded Command or, for a MemberEntry, an encoded Membership.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// Member is one member of the replicated group.
type Member struct {
	ID      MemberID `cbor:"1,keyasint" json:"id"`
	Address string   `cbor:"2,keyasint" json:"address"`
	// Learner is set when the member receives the log without counting towards
	// the quorum.
	Learner bool `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
}

// Membership is the full list of members of the replicated group.
type Membership struct {
	Members []Member `cbor:"1,keyasint" json:"members"`
}

// Snapshot replaces the log up to and including the entry at Index.
type Snapshot struct {
	Index      Index      `cbor:"1,keyasint"`
	Term       Term       `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	// Data is the encoded state of the state machine.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// HardState is the state that a member must sync to disk before it answers a
// vote.
type HardState struct {
	Term Term     `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint"`
	// LastLedTerm is the last term in which the member was elected.
	LastLedTerm Term `cbor:"3,keyasint,omitempty"`
}
