package modeler

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// RegionName names a region.
type RegionName string

// DomainName names a failure domain.
type DomainName string

// RackName names a rack within a failure domain.
type RackName string

// WorkerID names a worker; it stays the same across restarts.
type WorkerID string

// EntryID names an entry host.
type EntryID string

// MemberID identifies a member of the replicated group; a host that has lost
// its disk rejoins under a new id.
type MemberID uint64

// ServiceName names a service that callers send requests to.
type ServiceName string

// TeamName names a team with a quota.
type TeamName string

// JobID names a job.
type JobID string

// TaskIndex numbers a task within its job, from 0.
type TaskIndex uint32

// Attempt numbers the placements of one task. It only increases, even when a
// job is removed and created again under the same id.
type Attempt uint64

// TaskID identifies a task by its job and its index.
type TaskID struct {
	Job   JobID     `json:"job"`
	Index TaskIndex `json:"index"`
}

// TicketNumber is the number that an operator gives a change ticket.
type TicketNumber uint64

// Index is a position in the replicated log; the index of the last accepted
// ticket is the version of the configuration.
type Index uint64

// Term numbers the leadership terms of the replicated group.
type Term uint64

// FencingToken orders the orders that one worker gets: a worker does nothing for an
// order with a lower token than it has seen.
type FencingToken uint64

// registrationBits is the size of the count of registrations in a FencingToken. It
// leaves 32 bits for the term below 2^53, up to which JSON numbers are exact.
const registrationBits = 21

// NewFencingToken returns the token for orders to a worker which its leader of the term
// has registered as number registration. Tokens of a later term are higher; beyond two
// million registrations in one term they stay the same.
func NewFencingToken(term Term, registration uint64) FencingToken {
	return FencingToken(uint64(term)<<registrationBits | min(registration, 1<<registrationBits-1))
}

// Term returns the term of the leader that gave the token, or 0 if an earlier build gave
// it, which used the term itself as the token.
func (f FencingToken) Term() Term { return Term(f >> registrationBits) }

// Incarnation identifies one start of an entry process.
type Incarnation uint64

// Generation identifies one start of a worker.
type Generation uint64

// Key is the idempotency key of a request or a job submission.
type Key string

// CallerHash is the hash that stands for a caller's name in messages between
// processes and in the replicated state.
type CallerHash uint64

// HashCaller returns the hash of a caller's name.
func HashCaller(name string) CallerHash { return CallerHash(xxhash.Sum64String(name)) }

// Digest is a hash of a ticket or request. JSON carries it as text, since many
// tools lose digits of a 64-bit number.
type Digest uint64

// MarshalText returns the digest as 16 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(d)), nil }

// UnmarshalText parses a digest of 16 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 {
		return fmt.Errorf("digest %q is not 16 hexadecimal digits", text)
	}
	*d = Digest(value)
	return nil
}

// Sequence numbers the messages on a link.
type Sequence uint64
