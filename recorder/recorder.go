package recorder

import (
	"container/heap"
	"time"

	"github.com/google/uuid"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// Window is how long a key counts from the time it carries; an older key
	// is refused, so that a dropped record can't let a late repeat run.
	Window = 24 * time.Hour
	// skew is how far ahead of the log's time a key may be.
	skew = 5 * time.Minute
	// AnswerLimit bounds a recorded answer, its header included; a longer one
	// is not kept.
	AnswerLimit = 8 << 10
)

// Limits bound what a recorder keeps; zero fields take defaults.
type Limits struct {
	// Records bounds the number of records.
	Records int
	// Answers bounds the bytes of all recorded answers.
	Answers modeler.Bytes
}

// The bounds of the replicated state. The records are above what 77,000
// submissions a day leave in the window, also when one team sends all of them:
// a caller may fill a third.
const (
	DefaultRecords = 300_000
	DefaultAnswers = 32 << 20
)

func (l Limits) withDefaults() Limits {
	if l.Records == 0 {
		l.Records = DefaultRecords
	}
	if l.Answers == 0 {
		l.Answers = DefaultAnswers
	}
	return l
}

// Name identifies a record: keys of different services are independent.
type Name struct {
	Service modeler.ServiceName `cbor:"1,keyasint"`
	Key     modeler.Key         `cbor:"2,keyasint"`
}

// Recorder holds the records by name and drops them when their keys expire.
type Recorder struct {
	limits   Limits
	records  map[recordID]*entry
	sessions map[modeler.EntryID]modeler.Incarnation
	expiry   expiryQueue
	shares   shares
	answers  answers
}

// New returns an empty recorder.
func New(limits Limits) *Recorder {
	limits = limits.withDefaults()
	return &Recorder{
		limits:   limits,
		records:  make(map[recordID]*entry),
		sessions: make(map[modeler.EntryID]modeler.Incarnation),
		shares:   newShares(),
		answers:  newAnswers(limits.Answers),
	}
}

// CreatedAt returns the time that a UUIDv7 key carries.
func CreatedAt(key modeler.Key) (modeler.Timestamp, error) {
	id, err := uuid.Parse(string(key))
	// Only the canonical form counts, or one UUID could be claimed twice in
	// two spellings.
	if err != nil || id.Version() != 7 || id.String() != string(key) {
		return 0, classifier.New(classifier.KeyInvalid, "the idempotency key must be a UUIDv7 in lower case")
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return modeler.Timestamp(millis), nil
}

// Register makes incarnation the only one of the entry host whose claims are
// taken; unsettled claims of earlier ones stay unknown for good.
func (r *Recorder) Register(s modeler.EntrySession) modeler.Result {
	if s.Incarnation < r.sessions[s.Entry] {
		return modeler.Result{Kind: classifier.Unconfirmed, Detail: "a later start of this entry host has registered"}
	}
	r.sessions[s.Entry] = s.Incarnation
	return modeler.Result{}
}

// Sessions returns the registered entry hosts.
func (r *Recorder) Sessions() []modeler.EntrySession {
	out := make([]modeler.EntrySession, 0, len(r.sessions))
	for entry, incarnation := range r.sessions {
		out = append(out, modeler.EntrySession{Entry: entry, Incarnation: incarnation})
	}
	return out
}

// Forget removes an entry host that will not come back.
func (r *Recorder) Forget(s modeler.EntrySession) {
	if r.sessions[s.Entry] == s.Incarnation {
		delete(r.sessions, s.Entry)
	}
}

// Registered reports whether this start of the entry host is the one in force.
func (r *Recorder) Registered(s modeler.EntrySession) bool {
	known, found := r.sessions[s.Entry]
	return found && known == s.Incarnation
}

// Peek answers a claim from what is recorded, if that settles the matter.
func (r *Recorder) Peek(now modeler.Timestamp, c *modeler.Claim) (modeler.Result, bool) {
	created, err := CreatedAt(c.Key)
	if err != nil {
		return refusal(err), true
	}
	if created.Add(Window) <= now {
		return refusal(classifier.New(classifier.KeyExpired, "the key is older than %s", Window)), true
	}
	if created > now.Add(skew) {
		return refusal(classifier.New(classifier.KeyInvalid, "the key is more than %s in the future", skew)), true
	}
	if e, found := r.records[idOf(c.Service, c.Key)]; found {
		return r.answer(e, c), true
	}
	// Records that have expired make room with the next entry of the log, so
	// the claim must get that far.
	if len(r.expiry) > 0 && r.expiry[0].expires() <= now {
		return modeler.Result{}, false
	}
	if reason := r.full(c); reason != "" {
		return modeler.Result{Kind: classifier.StorageFull, Detail: reason}, true
	}
	return modeler.Result{}, false
}

func refusal(err error) modeler.Result {
	return modeler.Result{Kind: classifier.KindOf(err), Detail: err.Error()}
}

// full says why there is no room for a new record of the claim's caller.
func (r *Recorder) full(c *modeler.Claim) string {
	free := r.limits.Records - len(r.records)
	if free < 1 {
		return "the table of idempotency keys is full"
	}
	return r.shares.refuse(c.Service, c.Caller, free)
}

// answer tells what a claim gets whose key is already recorded.
func (r *Recorder) answer(e *entry, c *modeler.Claim) modeler.Result {
	if e.fingerprint != c.Fingerprint {
		return modeler.Result{Kind: classifier.KeyReused, Detail: "the key belongs to another request"}
	}
	own := e.session.Entry == c.Entry && e.session.Incarnation == c.Incarnation && e.request == c.Request
	if own && !e.settled {
		return modeler.Result{Repeat: true}
	}
	seen := e.record()
	seen.Abandoned = !e.settled && r.sessions[e.session.Entry] != e.session.Incarnation
	return modeler.Result{Kind: classifier.Claimed, Repeat: true, Record: &seen}
}

// Claim reserves a key for one claimant at the log's time now.
func (r *Recorder) Claim(now modeler.Timestamp, c *modeler.Claim) modeler.Result {
	r.Expire(now)
	if result, settled := r.Peek(now, c); settled {
		return result
	}
	if known, found := r.sessions[c.Entry]; !found || known != c.Incarnation {
		return modeler.Result{Kind: classifier.Unconfirmed, Detail: "this start of the entry host is not registered"}
	}
	r.insert(newEntry(c))
	return modeler.Result{}
}

// Once records a key whose command takes effect with this entry of the log;
// fresh is false when the key was already known or there is no room.
func (r *Recorder) Once(now modeler.Timestamp, c *modeler.Claim) (result modeler.Result, fresh bool) {
	r.Expire(now)
	if result, settled := r.Peek(now, c); settled {
		return result, false
	}
	e := newEntry(c)
	e.settled = true
	e.outcome = classifier.OutcomeRun
	r.insert(e)
	return modeler.Result{}, true
}

func (r *Recorder) insert(e *entry) {
	r.records[e.id] = e
	heap.Push(&r.expiry, e)
	r.shares.add(e.id.service, e.caller, 1)
}

func (r *Recorder) remove(e *entry) {
	delete(r.records, e.id)
	heap.Remove(&r.expiry, e.position)
	r.shares.add(e.id.service, e.caller, -1)
	r.answers.drop(e)
}

// Settle records the outcome of a claim; a claim known as not run is dropped,
// so that the caller may send the request again.
func (r *Recorder) Settle(s *modeler.Settlement) modeler.Result {
	e, found := r.records[idOf(s.Service, s.Key)]
	if !found {
		return modeler.Result{Kind: classifier.KeyExpired, Detail: "the claim is no longer recorded"}
	}
	own := e.session.Entry == s.Entry && e.session.Incarnation == s.Incarnation && e.request == s.Request
	if !own {
		return modeler.Result{Kind: classifier.Claimed, Detail: "another claimant holds the key"}
	}
	if e.settled {
		return modeler.Result{Repeat: true}
	}
	if s.Outcome == classifier.OutcomeNotRun {
		r.remove(e)
		return modeler.Result{}
	}
	e.settled = true
	e.outcome = s.Outcome
	r.answers.keep(e, s.Answer)
	return modeler.Result{}
}

// Expire drops the records whose keys are older than the window.
func (r *Recorder) Expire(now modeler.Timestamp) {
	for len(r.expiry) > 0 && r.expiry[0].expires() <= now {
		r.remove(r.expiry[0])
	}
}

// Len returns the number of records.
func (r *Recorder) Len() int { return len(r.records) }

// expiryQueue is a heap by expiry whose entries know their positions.
type expiryQueue []*entry

// Len returns the number of entries.
func (q expiryQueue) Len() int { return len(q) }

// Less orders by expiry.
func (q expiryQueue) Less(i, j int) bool { return q[i].created < q[j].created }

// Swap exchanges two entries.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position = i
	q[j].position = j
}

// Push adds an entry.
func (q *expiryQueue) Push(x any) {
	e := x.(*entry)
	e.position = len(*q)
	*q = append(*q, e)
}

// Pop removes the last entry.
func (q *expiryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
