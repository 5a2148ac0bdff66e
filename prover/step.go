package prover

// Path is a sequence of steps in which the system handles a request, a ticket, a
// task or a change of members.
type Path uint8

// The paths of the matrix.
const (
	RequestPath Path = iota
	TicketPath
	TaskPath
	MemberPath
)

// Paths returns all paths.
func Paths() []Path { return []Path{RequestPath, TicketPath, TaskPath, MemberPath} }

// String returns the path's name as in the names of test cases.
func (p Path) String() string {
	return [...]string{"request", "ticket", "task", "member"}[p]
}

// Step is a point of a path after which a fault is injected.
type Step uint8

// The steps of the four paths, in order.
const (
	RequestArrived Step = iota
	ClaimProposed
	ClaimCommitted
	SlotAssigned
	ConnectionChecked
	FirstByteSent
	WorkerStarted
	AnswerSent
	AnswerReceived
	Settled
	TicketSent
	TicketProposed
	LeaderSynced
	QuorumSynced
	TicketCommitted
	TicketAnswered
	TicketInForce
	TaskSubmitted
	PlacementProposed
	PlacementCommitted
	StartSent
	StartReceived
	TaskRuns
	LeaseRenewed
	TaskEnded
	EndCommitted
	MemberAdded
	MemberCaughtUp
	MemberPromoted
	OldRemoved
	stepCount
)

type stepRow struct {
	path Path
	name string
}

var steps = [stepCount]stepRow{
	RequestArrived:     {RequestPath, "arrived"},
	ClaimProposed:      {RequestPath, "claim-proposed"},
	ClaimCommitted:     {RequestPath, "claim-committed"},
	SlotAssigned:       {RequestPath, "slot-assigned"},
	ConnectionChecked:  {RequestPath, "connection-checked"},
	FirstByteSent:      {RequestPath, "first-byte-sent"},
	WorkerStarted:      {RequestPath, "worker-started"},
	AnswerSent:         {RequestPath, "answer-sent"},
	AnswerReceived:     {RequestPath, "answer-received"},
	Settled:            {RequestPath, "settled"},
	TicketSent:         {TicketPath, "sent"},
	TicketProposed:     {TicketPath, "proposed"},
	LeaderSynced:       {TicketPath, "synced-at-leader"},
	QuorumSynced:       {TicketPath, "synced-at-quorum"},
	TicketCommitted:    {TicketPath, "committed"},
	TicketAnswered:     {TicketPath, "answered"},
	TicketInForce:      {TicketPath, "in-force"},
	TaskSubmitted:      {TaskPath, "submitted"},
	PlacementProposed:  {TaskPath, "placement-proposed"},
	PlacementCommitted: {TaskPath, "placement-committed"},
	StartSent:          {TaskPath, "start-sent"},
	StartReceived:      {TaskPath, "start-received"},
	TaskRuns:           {TaskPath, "running"},
	LeaseRenewed:       {TaskPath, "lease-renewed"},
	TaskEnded:          {TaskPath, "ended"},
	EndCommitted:       {TaskPath, "end-committed"},
	MemberAdded:        {MemberPath, "added"},
	MemberCaughtUp:     {MemberPath, "caught-up"},
	MemberPromoted:     {MemberPath, "promoted"},
	OldRemoved:         {MemberPath, "old-removed"},
}

// Path returns the path that the step belongs to.
func (s Step) Path() Path { return steps[s].path }

// String returns the step's name as in the names of test cases.
func (s Step) String() string { return steps[s].name }

// NonRepeatableOnly reports whether the step occurs only for requests that must not be
// repeated.
func (s Step) NonRepeatableOnly() bool {
	return s == ClaimProposed || s == ClaimCommitted || s == Settled
}

// Steps returns the steps of a path in order.
func Steps(p Path) []Step {
	var out []Step
	for s := range stepCount {
		if s.Path() == p {
			out = append(out, s)
		}
	}
	return out
}
