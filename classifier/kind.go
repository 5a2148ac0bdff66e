package classifier

import "net/http"

// Kind is the reason why a request, ticket or job was not served normally.
type Kind uint8

// The closed list of error kinds.
const (
	None Kind = iota
	Malformed
	TooLarge
	UnknownService
	UnknownTicket
	UnknownJob
	KeyMissing
	KeyInvalid
	KeyExpired
	KeyReused
	Claimed
	TicketConflict
	TicketStale
	TicketInvalid
	TicketForgotten
	JobImpossible
	QuotaExceeded
	QueueFull
	QueueTimeout
	RateLimited
	Draining
	Unconfirmed
	NoLeader
	NoQuorum
	ProposalLost
	StorageFull
	ConnectFailed
	SendFailed
	AnswerLost
	AnswerTruncated
	AnswerTimeout
	AnswerDropped
	CallerGone
	Internal
	Unauthorized
	kindCount
)

// Outcome says whether an upstream has run the request.
type Outcome uint8

// The possible outcomes of a request.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeRun
)

// Answer is how the system answers a request that ended with an error kind.
type Answer struct {
	Name    string
	Status  int
	Outcome Outcome
	// TryAnotherWorker says that the entry host may try another worker, if the
	// request may be repeated.
	TryAnotherWorker bool
	// CallerMayRetry says that it makes sense for the caller to send the request
	// again, after the delay in the Retry-After header.
	CallerMayRetry bool
}

// answers holds the answer for each kind. The outcome is OutcomeNotRun for
// errors found before the first byte of the request can have been sent. For any
// later error it is OutcomeUnknown, unless the upstream has answered.
var answers = [kindCount]Answer{
	None:            {Name: "none", Status: http.StatusOK, Outcome: OutcomeRun},
	Malformed:       {Name: "malformed", Status: http.StatusBadRequest, Outcome: OutcomeNotRun},
	TooLarge:        {Name: "too-large", Status: http.StatusRequestEntityTooLarge, Outcome: OutcomeNotRun},
	UnknownService:  {Name: "unknown-service", Status: http.StatusNotFound, Outcome: OutcomeNotRun},
	UnknownTicket:   {Name: "unknown-ticket", Status: http.StatusNotFound, Outcome: OutcomeNotRun},
	UnknownJob:      {Name: "unknown-job", Status: http.StatusNotFound, Outcome: OutcomeNotRun},
	KeyMissing:      {Name: "key-missing", Status: http.StatusBadRequest, Outcome: OutcomeNotRun},
	KeyInvalid:      {Name: "key-invalid", Status: http.StatusBadRequest, Outcome: OutcomeNotRun},
	KeyExpired:      {Name: "key-expired", Status: http.StatusGone, Outcome: OutcomeUnknown},
	KeyReused:       {Name: "key-reused", Status: http.StatusUnprocessableEntity, Outcome: OutcomeNotRun},
	Claimed:         {Name: "claimed", Status: http.StatusConflict, Outcome: OutcomeUnknown},
	TicketConflict:  {Name: "ticket-conflict", Status: http.StatusConflict, Outcome: OutcomeNotRun},
	TicketStale:     {Name: "ticket-stale", Status: http.StatusConflict, Outcome: OutcomeNotRun},
	TicketInvalid:   {Name: "ticket-invalid", Status: http.StatusUnprocessableEntity, Outcome: OutcomeNotRun},
	TicketForgotten: {Name: "ticket-forgotten", Status: http.StatusGone, Outcome: OutcomeUnknown},
	JobImpossible:   {Name: "job-impossible", Status: http.StatusUnprocessableEntity, Outcome: OutcomeNotRun},
	QuotaExceeded:   {Name: "quota-exceeded", Status: http.StatusForbidden, Outcome: OutcomeNotRun},
	QueueFull:       {Name: "queue-full", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, CallerMayRetry: true},
	QueueTimeout:    {Name: "queue-timeout", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, CallerMayRetry: true},
	RateLimited:     {Name: "rate-limited", Status: http.StatusTooManyRequests, Outcome: OutcomeNotRun, CallerMayRetry: true},
	Draining:        {Name: "draining", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, CallerMayRetry: true},
	Unconfirmed:     {Name: "unconfirmed", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, CallerMayRetry: true},
	NoLeader:        {Name: "no-leader", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, CallerMayRetry: true},
	NoQuorum:        {Name: "no-quorum", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, CallerMayRetry: true},
	ProposalLost:    {Name: "proposal-lost", Status: http.StatusGatewayTimeout, Outcome: OutcomeUnknown, CallerMayRetry: true},
	StorageFull:     {Name: "storage-full", Status: http.StatusInsufficientStorage, Outcome: OutcomeNotRun, CallerMayRetry: true},
	ConnectFailed:   {Name: "connect-failed", Status: http.StatusBadGateway, Outcome: OutcomeNotRun, TryAnotherWorker: true, CallerMayRetry: true},
	SendFailed:      {Name: "send-failed", Status: http.StatusBadGateway, Outcome: OutcomeUnknown, TryAnotherWorker: true},
	AnswerLost:      {Name: "answer-lost", Status: http.StatusBadGateway, Outcome: OutcomeUnknown, TryAnotherWorker: true},
	AnswerTruncated: {Name: "answer-truncated", Status: http.StatusBadGateway, Outcome: OutcomeRun},
	AnswerTimeout:   {Name: "answer-timeout", Status: http.StatusGatewayTimeout, Outcome: OutcomeUnknown},
	AnswerDropped:   {Name: "answer-dropped", Status: http.StatusConflict, Outcome: OutcomeRun},
	CallerGone:      {Name: "caller-gone", Status: 499, Outcome: OutcomeUnknown},
	Internal:        {Name: "internal", Status: http.StatusInternalServerError, Outcome: OutcomeUnknown},
	Unauthorized:    {Name: "unauthorized", Status: http.StatusUnauthorized, Outcome: OutcomeNotRun},
}

// Answer returns the answer for the kind, or that for Internal if the kind isn't
// listed.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the kind's name as callers see it.
func (k Kind) String() string { return k.Answer().Name }

// Kinds returns every error kind, for tests and documentation.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := None; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// String returns the outcome as the Goldcreststack-Outcome header carries it.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRun:
		return "run"
	default:
		return "unknown"
	}
}
