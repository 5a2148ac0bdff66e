package modeler

import "time"

// MessageKind tells which part of a message is set.
type MessageKind uint8

// The kinds of messages between processes.
const (
	HelloMessage MessageKind = iota + 1
	PingMessage
	RenewMessage
	GrantMessage
	ConfigurationMessage
	ProposeMessage
	ProposalAnswerMessage
	HeartbeatsMessage
	HeartbeatAnswersMessage
	PeerMessageKind
	QueryMessage
	QueryAnswerMessage
	CallMessage
	ReplyMessage
	PermitRequestMessage
	PermitAnswerMessage
	CarriedOrdersMessage
	CarriedAnswersMessage
)

// Message is one frame on a link; exactly the part that Kind names is set.
type Message struct {
	Kind           MessageKind       `cbor:"1,keyasint"`
	Sequence       Sequence          `cbor:"2,keyasint,omitempty"`
	Hello          *Hello            `cbor:"3,keyasint,omitempty"`
	Renew          *SessionRenewal   `cbor:"4,keyasint,omitempty"`
	Grant          *Grant            `cbor:"5,keyasint,omitempty"`
	Configuration  *Configuration    `cbor:"6,keyasint,omitempty"`
	Propose        *Command          `cbor:"7,keyasint,omitempty"`
	ProposalAnswer *ProposalAnswer   `cbor:"8,keyasint,omitempty"`
	Heartbeats     []Heartbeat       `cbor:"9,keyasint,omitempty"`
	Answers        []HeartbeatAnswer `cbor:"10,keyasint,omitempty"`
	Peer           *PeerMessage      `cbor:"11,keyasint,omitempty"`
	Query          *Query            `cbor:"12,keyasint,omitempty"`
	QueryAnswer    *QueryAnswer      `cbor:"13,keyasint,omitempty"`
	Call           *Call             `cbor:"14,keyasint,omitempty"`
	Reply          *Reply            `cbor:"15,keyasint,omitempty"`
	PermitRequest  *PermitRequest    `cbor:"16,keyasint,omitempty"`
	PermitAnswer   *PermitAnswer     `cbor:"17,keyasint,omitempty"`
	CarriedOrders  []CarriedOrder    `cbor:"18,keyasint,omitempty"`
	CarriedAnswers []CarriedAnswer   `cbor:"19,keyasint,omitempty"`
}

// Hello is the first message in each direction of a link.
type Hello struct {
	Entry       EntryID     `cbor:"1,keyasint,omitempty"`
	Incarnation Incarnation `cbor:"2,keyasint,omitempty"`
	Member      MemberID    `cbor:"3,keyasint,omitempty"`
	Term        Term        `cbor:"5,keyasint,omitempty"`
	// IsLeader says that the sender is the leader of the term and holds its
	// quorum lease.
	IsLeader bool `cbor:"6,keyasint,omitempty"`
	// Members are the addresses of the group's members.
	Members []string `cbor:"7,keyasint,omitempty"`
	// CarrierAddress is where the sender accepts links if it carries the leader's
	// orders to workers; empty if it doesn't.
	CarrierAddress string `cbor:"8,keyasint,omitempty"`
	// RefusesFlows says that the leader accepts no new flows for now.
	RefusesFlows bool `cbor:"9,keyasint,omitempty"`
}

// SessionRenewal asks the leader to renew the session of an entry host and tells what
// the entry host has given back and what it wants.
//
// Slot counts are cumulative within one term, so a lost, repeated or
// reordered message can't create or lose a slot.
type SessionRenewal struct {
	Entry       EntryID     `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Term is the leadership whose counts follow.
	Term Term `cbor:"3,keyasint"`
	// Clock is the entry host's reading when it sent this message.
	Clock ClockReading `cbor:"4,keyasint"`
	// Version is the configuration in force on the entry host.
	Version Index `cbor:"5,keyasint"`
	// Join says that Slots is the whole inventory at the start of a session
	// with a new leader.
	Join    bool         `cbor:"6,keyasint,omitempty"`
	Slots   []SlotState  `cbor:"7,keyasint,omitempty"`
	Demands []SlotDemand `cbor:"8,keyasint,omitempty"`
	// Leave says that the entry host takes no new work; its session ends
	// when it holds no slot.
	Leave bool `cbor:"9,keyasint,omitempty"`
	// Session is the reading at which the entry host began the session; a
	// later session of the same incarnation replaces all counts of an
	// earlier one.
	Session ClockReading `cbor:"10,keyasint"`
	// Round is the newest grant of this session that has been applied.
	Round uint64 `cbor:"11,keyasint,omitempty"`
}

// SlotState is an entry host's side of the slot counts of one worker.
type SlotState struct {
	Worker     WorkerID   `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
	// Held is the number of slots held when the session joined this term;
	// it is set on Join only.
	Held int `cbor:"3,keyasint,omitempty"`
	// Returned counts the slots given back since then.
	Returned uint64 `cbor:"4,keyasint"`
	// Connections is the bound in force on the entry host; it is set on Join
	// only.
	Connections int `cbor:"5,keyasint,omitempty"`
	// Excluded says that the entry host sends no requests to the worker for
	// now because they failed there.
	Excluded bool `cbor:"6,keyasint,omitempty"`
}

// SlotDemand is an entry host's demand for the slots of one service.
type SlotDemand struct {
	Service ServiceName `cbor:"1,keyasint"`
	// Waiting counts the requests that wait for a slot now.
	Waiting int `cbor:"3,keyasint,omitempty"`
	// OldestWait is how long the oldest of them has waited.
	OldestWait time.Duration `cbor:"4,keyasint,omitempty"`
	// Idle counts the held slots without a request.
	Idle int `cbor:"5,keyasint,omitempty"`
	// Spare is the number of idle slots that would cover arrivals during one
	// exchange with the leader.
	Spare int `cbor:"6,keyasint,omitempty"`
	// Running counts the requests in progress.
	Running int `cbor:"7,keyasint,omitempty"`
	// Callers are those with the most requests here, while requests wait here
	// or elsewhere; Others counts the rest of the callers with waiting requests.
	Callers []CallerUse `cbor:"8,keyasint,omitempty"`
	Others  int         `cbor:"9,keyasint,omitempty"`
}

// CallerUse counts a caller's requests on one entry host.
type CallerUse struct {
	Caller  CallerHash `cbor:"1,keyasint"`
	Running int        `cbor:"2,keyasint,omitempty"`
	Waiting int        `cbor:"3,keyasint,omitempty"`
}

// Grant renews a session and lends slots.
type Grant struct {
	Term Term `cbor:"1,keyasint"`
	// Clock echoes the newest reading received from the entry host; the
	// session is valid until Clock plus Lifetime on that clock.
	Clock    ClockReading  `cbor:"2,keyasint"`
	Lifetime time.Duration `cbor:"3,keyasint"`
	// Version is the newest accepted configuration.
	Version Index       `cbor:"4,keyasint"`
	Slots   []SlotGrant `cbor:"5,keyasint,omitempty"`
	// Backlogs tell for each service how long others wait.
	Backlogs []RemoteBacklog `cbor:"6,keyasint,omitempty"`
	// Session echoes the session that the counts belong to.
	Session ClockReading `cbor:"7,keyasint"`
	// Round numbers the grants of a session; a grant replaces what earlier
	// rounds said.
	Round uint64 `cbor:"8,keyasint"`
	// Shares tell of the teams that compete for slots.
	Shares []TeamShare `cbor:"9,keyasint,omitempty"`
	// Callers are those that are to give up slots for others of their service.
	Callers []CallerBound `cbor:"10,keyasint,omitempty"`
}

// CallerBound bounds a caller's slots on this entry host while callers with
// fewer slots wait.
type CallerBound struct {
	Service ServiceName `cbor:"1,keyasint"`
	Caller  CallerHash  `cbor:"2,keyasint"`
	Bound   int         `cbor:"3,keyasint,omitempty"`
}

// TeamShare tells how many slots a team uses on other entry hosts.
type TeamShare struct {
	Team      TeamName `cbor:"1,keyasint"`
	Elsewhere int      `cbor:"2,keyasint,omitempty"`
	// Bounded says that another team is short of its share: from Bound slots
	// on, the team's slots on this entry host go to teams without a bound.
	Bounded bool `cbor:"3,keyasint,omitempty"`
	Bound   int  `cbor:"4,keyasint,omitempty"`
}

// SlotGrant is the leader's side of the slot counts of one worker.
type SlotGrant struct {
	Worker     WorkerID   `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
	// Granted counts the slots lent since the session joined this term, and
	// the slots it held then.
	Granted     uint64        `cbor:"3,keyasint"`
	Address     string        `cbor:"4,keyasint,omitempty"`
	Services    []ServiceName `cbor:"5,keyasint,omitempty"`
	IdleTimeout time.Duration `cbor:"6,keyasint,omitempty"`
	// Connections bounds the connections of this entry host to the worker.
	Connections int `cbor:"7,keyasint,omitempty"`
	// Revoked says that the worker takes no new work; free slots are to be
	// given back.
	Revoked bool `cbor:"8,keyasint,omitempty"`
}

// RemoteBacklog tells how long requests wait on other entry hosts.
type RemoteBacklog struct {
	Service    ServiceName   `cbor:"1,keyasint"`
	OldestWait time.Duration `cbor:"2,keyasint"`
	Waiting    int           `cbor:"3,keyasint"`
	// Recall is the number of idle slots that this entry host is to give
	// back now.
	Recall int `cbor:"4,keyasint,omitempty"`
	// IdleOnly says that only idle slots are to be given up.
	IdleOnly bool `cbor:"5,keyasint,omitempty"`
}

// ProposalAnswer answers a proposal.
type ProposalAnswer struct {
	Result Result `cbor:"1,keyasint"`
}

// QueryKind tells what a query asks for.
type QueryKind uint8

// The kinds of queries.
const (
	StatusQuery QueryKind = iota + 1
	TicketQuery
	JobQuery
	// AddMember, PromoteMember and RemoveMember change the replicated group.
	AddMember
	PromoteMember
	RemoveMember
	// TransferToMember hands the leadership to another voter.
	TransferToMember
)

// Query reads the leader's state.
type Query struct {
	Kind   QueryKind    `cbor:"1,keyasint"`
	Ticket TicketNumber `cbor:"2,keyasint,omitempty"`
	Job    JobID        `cbor:"3,keyasint,omitempty"`
	Member Member       `cbor:"4,keyasint,omitzero"`
}

// QueryAnswer answers a query with a JSON document.
type QueryAnswer struct {
	Result   Result `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
}
