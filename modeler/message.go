package modeler

import "time"

// MessageKind selects the field of a Message that carries its content.
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

// Message is one frame on a link between processes; only the field that belongs
// to Kind is set.
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

// Hello is the first message that each side of a link sends.
type Hello struct {
	Entry       EntryID     `cbor:"1,keyasint,omitempty"`
	Incarnation Incarnation `cbor:"2,keyasint,omitempty"`
	Member      MemberID    `cbor:"3,keyasint,omitempty"`
	Term        Term        `cbor:"5,keyasint,omitempty"`
	// IsLeader is set when the sender is the leader of the term and holds its
	// quorum lease.
	IsLeader bool `cbor:"6,keyasint,omitempty"`
	// Members lists the addresses of the members of the replicated group.
	Members []string `cbor:"7,keyasint,omitempty"`
	// CarrierAddress is the address at which the sender accepts links, if it
	// carries the leader's orders to workers; otherwise it is empty.
	CarrierAddress string `cbor:"8,keyasint,omitempty"`
	// RefusesFlows is set while the leader accepts no new flows.
	RefusesFlows bool `cbor:"9,keyasint,omitempty"`
}

// SessionRenewal asks the leader to renew the session of an entry host. It
// reports the slots that the entry host has returned and those that it needs.
//
// Slot counts are cumulative within one term, so that a lost, repeated or
// reordered message can't create or lose a slot.
type SessionRenewal struct {
	Entry       EntryID     `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Term is the leadership term that the counts belong to.
	Term Term `cbor:"3,keyasint"`
	// Clock is the entry host's clock when it sent this message.
	Clock ClockReading `cbor:"4,keyasint"`
	// Version is the version of the configuration in force on the entry host.
	Version Index `cbor:"5,keyasint"`
	// Join is set when Slots lists all slots that the entry host holds, at the
	// start of a session with a new leader.
	Join    bool         `cbor:"6,keyasint,omitempty"`
	Slots   []SlotState  `cbor:"7,keyasint,omitempty"`
	Demands []SlotDemand `cbor:"8,keyasint,omitempty"`
	// Leave is set when the entry host accepts no new work; its session ends when
	// it holds no more slots.
	Leave bool `cbor:"9,keyasint,omitempty"`
	// Session is the entry host's clock when it began the session. A later session
	// of the same incarnation replaces all counts of an earlier one.
	Session ClockReading `cbor:"10,keyasint"`
	// Round is the number of the newest grant of this session that the entry host
	// has applied.
	Round uint64 `cbor:"11,keyasint,omitempty"`
}

// SlotState holds an entry host's counts of the slots of one worker.
type SlotState struct {
	Worker     WorkerID   `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
	// Held is the number of slots held when the session joined this term; it is
	// set only together with Join.
	Held int `cbor:"3,keyasint,omitempty"`
	// Returned counts the slots returned since then.
	Returned uint64 `cbor:"4,keyasint"`
	// Connections is the connection limit in force on the entry host; it is set
	// only together with Join.
	Connections int `cbor:"5,keyasint,omitempty"`
	// Excluded is set while the entry host sends no requests to the worker because
	// earlier ones failed there.
	Excluded bool `cbor:"6,keyasint,omitempty"`
}

// SlotDemand is an entry host's demand for the slots of one service.
type SlotDemand struct {
	Service ServiceName `cbor:"1,keyasint"`
	// Waiting counts the requests that wait for a slot now.
	Waiting int `cbor:"3,keyasint,omitempty"`
	// OldestWait is how long the oldest of them has been waiting.
	OldestWait time.Duration `cbor:"4,keyasint,omitempty"`
	// Idle counts the held slots that no request uses.
	Idle int `cbor:"5,keyasint,omitempty"`
	// Spare is the number of idle slots needed for the requests that arrive during
	// one exchange with the leader.
	Spare int `cbor:"6,keyasint,omitempty"`
	// Running counts the requests in progress.
	Running int `cbor:"7,keyasint,omitempty"`
	// Callers lists the callers with the most requests on this entry host, while
	// requests wait on this or another entry host. Others counts the remaining
	// callers with waiting requests.
	Callers []CallerUse `cbor:"8,keyasint,omitempty"`
	Others  int         `cbor:"9,keyasint,omitempty"`
}

// CallerUse counts a caller's requests on one entry host.
type CallerUse struct {
	Caller  CallerHash `cbor:"1,keyasint"`
	Running int        `cbor:"2,keyasint,omitempty"`
	Waiting int        `cbor:"3,keyasint,omitempty"`
}

// Grant renews the session of an entry host and lends slots to it.
type Grant struct {
	Term Term `cbor:"1,keyasint"`
	// Clock is the newest clock reading received from the entry host; the session
	// is valid until Clock plus Lifetime on that clock.
	Clock    ClockReading  `cbor:"2,keyasint"`
	Lifetime time.Duration `cbor:"3,keyasint"`
	// Version is the version of the newest accepted configuration.
	Version Index       `cbor:"4,keyasint"`
	Slots   []SlotGrant `cbor:"5,keyasint,omitempty"`
	// Backlogs reports, for each service, the requests that wait on other entry
	// hosts.
	Backlogs []RemoteBacklog `cbor:"6,keyasint,omitempty"`
	// Session identifies the session that the counts belong to; it is copied from
	// the renewal.
	Session ClockReading `cbor:"7,keyasint"`
	// Round numbers the grants of a session; a grant replaces those with lower
	// numbers.
	Round uint64 `cbor:"8,keyasint"`
	// Shares reports on the teams that compete for slots.
	Shares []TeamShare `cbor:"9,keyasint,omitempty"`
	// Callers lists the callers that have to give up slots to other callers of
	// the same service.
	Callers []CallerBound `cbor:"10,keyasint,omitempty"`
}

// CallerBound limits a caller's slots on this entry host while callers with
// fewer slots wait.
type CallerBound struct {
	Service ServiceName `cbor:"1,keyasint"`
	Caller  CallerHash  `cbor:"2,keyasint"`
	Bound   int         `cbor:"3,keyasint,omitempty"`
}

// TeamShare reports how many slots a team uses on other entry hosts, and may
// limit those that it uses on this one.
type TeamShare struct {
	Team      TeamName `cbor:"1,keyasint"`
	Elsewhere int      `cbor:"2,keyasint,omitempty"`
	// Bounded is set when another team has less than its share. The team's slots on
	// this entry host beyond Bound then go to teams that aren't bounded.
	Bounded bool `cbor:"3,keyasint,omitempty"`
	Bound   int  `cbor:"4,keyasint,omitempty"`
}

// SlotGrant holds the leader's counts of the slots that it lends of one worker.
type SlotGrant struct {
	Worker     WorkerID   `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
	// Granted counts the slots that the session held when it joined this term and
	// those lent since then.
	Granted     uint64        `cbor:"3,keyasint"`
	Address     string        `cbor:"4,keyasint,omitempty"`
	Services    []ServiceName `cbor:"5,keyasint,omitempty"`
	IdleTimeout time.Duration `cbor:"6,keyasint,omitempty"`
	// Connections is the maximum number of connections from this entry host to the
	// worker.
	Connections int `cbor:"7,keyasint,omitempty"`
	// Revoked is set when the worker takes no new work; the entry host has to
	// return its free slots.
	Revoked bool `cbor:"8,keyasint,omitempty"`
}

// RemoteBacklog reports the requests for a service that wait on other entry
// hosts.
type RemoteBacklog struct {
	Service    ServiceName   `cbor:"1,keyasint"`
	OldestWait time.Duration `cbor:"2,keyasint"`
	Waiting    int           `cbor:"3,keyasint"`
	// Recall is the number of idle slots that this entry host has to return now.
	Recall int `cbor:"4,keyasint,omitempty"`
	// IdleOnly is set when this entry host has to give up idle slots only.
	IdleOnly bool `cbor:"5,keyasint,omitempty"`
}

// ProposalAnswer is the answer to a proposed Command.
type ProposalAnswer struct {
	Result Result `cbor:"1,keyasint"`
}

// QueryKind is the operation that a query asks the leader for.
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
	// TransferToMember hands the leadership over to another voter.
	TransferToMember
)

// Query asks the leader for its state, or for a change of the replicated group.
type Query struct {
	Kind   QueryKind    `cbor:"1,keyasint"`
	Ticket TicketNumber `cbor:"2,keyasint,omitempty"`
	Job    JobID        `cbor:"3,keyasint,omitempty"`
	Member Member       `cbor:"4,keyasint,omitzero"`
}

// QueryAnswer is the answer to a Query; Document is JSON.
type QueryAnswer struct {
	Result   Result `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
}
