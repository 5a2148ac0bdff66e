package modeler

// PeerKind is the kind of a message between members of the replicated group.
type PeerKind uint8

// The kinds of messages between members.
const (
	PreVote PeerKind = iota + 1
	PreVoteAnswer
	Vote
	VoteAnswer
	Append
	AppendAnswer
	InstallSnapshot
	SnapshotAnswer
	// TransferLeadership tells a voter to stand for election at once.
	TransferLeadership
)

// PeerMessage is a message between two members of the replicated group.
type PeerMessage struct {
	Kind PeerKind `cbor:"1,keyasint"`
	From MemberID `cbor:"2,keyasint"`
	To   MemberID `cbor:"3,keyasint"`
	Term Term     `cbor:"4,keyasint"`
	// LastIndex and LastTerm are the candidate's last entry on a vote and the
	// entry before Entries on an append.
	LastIndex Index `cbor:"5,keyasint,omitempty"`
	LastTerm  Term  `cbor:"6,keyasint,omitempty"`
	Commit    Index `cbor:"7,keyasint,omitempty"`
	// Entries of an append follow LastIndex without a gap.
	Entries []LogEntry `cbor:"8,keyasint,omitempty"`
	Granted bool       `cbor:"9,keyasint,omitempty"`
	// Match is the last entry that the answering member has synced, or on a
	// refusal the entry to continue from.
	Match    Index     `cbor:"10,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"11,keyasint,omitempty"`
	// Round is echoed by the answer; the leader measures its lease with it.
	Round uint64 `cbor:"12,keyasint,omitempty"`
	// Offset is where the piece in Snapshot begins, and Size the length of the
	// whole; on an answer Offset is where the next piece has to begin.
	Offset int `cbor:"14,keyasint,omitempty"`
	Size   int `cbor:"15,keyasint,omitempty"`
	// Transfer says on a vote that the leader of the term before has given up
	// its lease and told the candidate to stand.
	Transfer bool `cbor:"13,keyasint,omitempty"`
	// FormerLeader says on a vote that the candidate itself led in the term before,
	// and has given up its lease by restarting or by standing for election.
	FormerLeader bool `cbor:"16,keyasint,omitempty"`
}

// EntryKind tells what a log entry holds.
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
	// Data is an encoded Command, or an encoded Membership on a member
	// entry.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// Member is one member of the replicated group.
type Member struct {
	ID      MemberID `cbor:"1,keyasint" json:"id"`
	Address string   `cbor:"2,keyasint" json:"address"`
	// Learner members receive the log and don't count for the quorum.
	Learner bool `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
}

// Membership is the whole list of members.
type Membership struct {
	Members []Member `cbor:"1,keyasint" json:"members"`
}

// Snapshot replaces the log up to an entry.
type Snapshot struct {
	Index      Index      `cbor:"1,keyasint"`
	Term       Term       `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	// Data is the encoded state of the state machine.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// HardState is what a member must have synced before it answers a vote.
type HardState struct {
	Term Term     `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint"`
	// LastLedTerm is the last term in which the member was elected.
	LastLedTerm Term `cbor:"3,keyasint,omitempty"`
}
