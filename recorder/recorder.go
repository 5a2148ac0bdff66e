package recorder

import (
	"container/heap"
	"time"

	"github.com/google/uuid"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// Window is how long a key is valid, counted from the timestamp in it. An
	// older key is refused, so that a late repeat can't run after the record
	// has been dropped.
	Window = 24 * time.Hour
	// maxClockSkew is how far a key's timestamp may be ahead of the log's time.
	maxClockSkew = 5 * time.Minute
	// MaxAnswerSize is the maximum size in bytes of a recorded answer, with its
	// header; a longer answer isn't kept.
	MaxAnswerSize = 8 << 10
)

// Limits configures how much a recorder keeps; zero fields take defaults.
type Limits struct {
	// MaxRecords is the maximum number of records.
	MaxRecords int
	// MaxAnswerBytes is the maximum size of all recorded answers together.
	MaxAnswerBytes modeler.Bytes
}

// DefaultRecords and DefaultAnswers limit the replicated state. One caller may
// fill a third of the records, which is enough for all 77,000 submissions a day
// within the window even if a single caller sends them.
const (
	DefaultRecords = 300_000
	DefaultAnswers = 32 << 20
)

func (l Limits) withDefaults() Limits {
	if l.MaxRecords == 0 {
		l.MaxRecords = DefaultRecords
	}
	if l.MaxAnswerBytes == 0 {
		l.MaxAnswerBytes = DefaultAnswers
	}
	return l
}

// Name identifies a record by service and key; services may use the same key
// independently.
type Name struct {
	Service modeler.ServiceName `cbor:"1,keyasint"`
	Key     modeler.Key         `cbor:"2,keyasint"`
}

// Recorder holds the records of claimed keys and drops them when the keys
// expire.
type Recorder struct {
	limits   Limits
	records  map[recordID]*record
	sessions map[modeler.EntryID]modeler.Incarnation
	expiry   expiryQueue
	usage    usage
	answers  answers
}

// New returns an empty recorder.
func New(limits Limits) *Recorder {
	limits = limits.withDefaults()
	return &Recorder{
		limits:   limits,
		records:  make(map[recordID]*record),
		sessions: make(map[modeler.EntryID]modeler.Incarnation),
		usage:    newUsage(),
		answers:  newAnswers(limits.MaxAnswerBytes),
	}
}

// CreatedAt returns the timestamp of a UUIDv7 key. It fails with KeyInvalid if
// the key isn't a UUIDv7 in canonical form.
func CreatedAt(key modeler.Key) (modeler.Timestamp, error) {
	id, err := uuid.Parse(string(key))
	// Only the canonical form is valid, since otherwise one UUID could be
	// claimed twice in two spellings.
	if err != nil || id.Version() != 7 || id.String() != string(key) {
		return 0, classifier.New(classifier.KeyInvalid, "the idempotency key must be a UUIDv7 in lower case")
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return modeler.Timestamp(millis), nil
}

// Register makes the incarnation the only one of its entry host whose claims
// are accepted. The outcome of unsettled claims of earlier incarnations stays
// unknown permanently.
func (r *Recorder) Register(s modeler.EntrySession) modeler.Result {
	if s.Incarnation < r.sessions[s.Entry] {
		return modeler.Result{Kind: classifier.Unconfirmed, Detail: "a later start of this entry host has registered"}
	}
	r.sessions[s.Entry] = s.Incarnation
	return modeler.Result{}
}

// Sessions returns the registered incarnations of the entry hosts.
func (r *Recorder) Sessions() []modeler.EntrySession {
	out := make([]modeler.EntrySession, 0, len(r.sessions))
	for entry, incarnation := range r.sessions {
		out = append(out, modeler.EntrySession{Entry: entry, Incarnation: incarnation})
	}
	return out
}

// Unregister unregisters an entry host that will not come back, unless another
// incarnation of it has registered.
func (r *Recorder) Unregister(s modeler.EntrySession) {
	if r.sessions[s.Entry] == s.Incarnation {
		delete(r.sessions, s.Entry)
	}
}

// IsRegistered reports whether the incarnation is the registered one of its entry
// host.
func (r *Recorder) IsRegistered(s modeler.EntrySession) bool {
	known, found := r.sessions[s.Entry]
	return found && known == s.Incarnation
}

// Peek returns the result of a claim without changing the records, and whether
// it is final. The result isn't final if the claim must go through the log.
func (r *Recorder) Peek(now modeler.Timestamp, c *modeler.Claim) (modeler.Result, bool) {
	created, err := CreatedAt(c.Key)
	if err != nil {
		return refusalResult(err), true
	}
	if created.Add(Window) <= now {
		return refusalResult(classifier.New(classifier.KeyExpired, "the key is older than %s", Window)), true
	}
	if created > now.Add(maxClockSkew) {
		return refusalResult(classifier.New(classifier.KeyInvalid, "the key is more than %s in the future", maxClockSkew)), true
	}
	if rec, found := r.records[recordIDOf(c.Service, c.Key)]; found {
		return r.answerRepeat(rec, c), true
	}
	// The next log entry drops expired records, which makes room, so the
	// claim must reach the log.
	if len(r.expiry) > 0 && r.expiry[0].expiresAt() <= now {
		return modeler.Result{}, false
	}
	if reason := r.noRoomReason(c); reason != "" {
		return modeler.Result{Kind: classifier.StorageFull, Detail: reason}, true
	}
	return modeler.Result{}, false
}

func refusalResult(err error) modeler.Result {
	return modeler.Result{Kind: classifier.KindOf(err), Detail: err.Error()}
}

// noRoomReason returns why the claim's caller can't get a new record, or an
// empty string if it can.
func (r *Recorder) noRoomReason(c *modeler.Claim) string {
	free := r.limits.MaxRecords - len(r.records)
	if free < 1 {
		return "the table of idempotency keys is full"
	}
	return r.usage.refusalReason(c.Service, c.Caller, free)
}

// answerRepeat returns the result of a claim whose key is already recorded.
func (r *Recorder) answerRepeat(rec *record, c *modeler.Claim) modeler.Result {
	if rec.fingerprint != c.Fingerprint {
		return modeler.Result{Kind: classifier.KeyReused, Detail: "the key belongs to another request"}
	}
	isOwn := rec.session.Entry == c.Entry && rec.session.Incarnation == c.Incarnation && rec.request == c.Request
	if isOwn && !rec.settled {
		return modeler.Result{Repeat: true}
	}
	known := rec.requestRecord()
	known.Abandoned = !rec.settled && r.sessions[rec.session.Entry] != rec.session.Incarnation
	return modeler.Result{Kind: classifier.Claimed, Repeat: true, Record: &known}
}

// Claim reserves a key for one claimant; now is the log's time. It is refused if
// the key is invalid, expired or already recorded, if there is no room, or if
// the claimant's incarnation isn't registered.
func (r *Recorder) Claim(now modeler.Timestamp, c *modeler.Claim) modeler.Result {
	r.Expire(now)
	if result, settled := r.Peek(now, c); settled {
		return result
	}
	if known, found := r.sessions[c.Entry]; !found || known != c.Incarnation {
		return modeler.Result{Kind: classifier.Unconfirmed, Detail: "this start of the entry host is not registered"}
	}
	r.insert(newRecord(c))
	return modeler.Result{}
}

// ClaimAndSettle claims and settles the key of a command that takes effect with the same
// log entry. fresh is false if the key was already recorded or is refused.
func (r *Recorder) ClaimAndSettle(now modeler.Timestamp, c *modeler.Claim) (result modeler.Result, fresh bool) {
	r.Expire(now)
	if result, settled := r.Peek(now, c); settled {
		return result, false
	}
	rec := newRecord(c)
	rec.settled = true
	rec.outcome = classifier.OutcomeRun
	r.insert(rec)
	return modeler.Result{}, true
}

func (r *Recorder) insert(rec *record) {
	r.records[rec.id] = rec
	heap.Push(&r.expiry, rec)
	r.usage.add(rec.id.service, rec.caller, 1)
}

func (r *Recorder) remove(rec *record) {
	delete(r.records, rec.id)
	heap.Remove(&r.expiry, rec.heapIndex)
	r.usage.add(rec.id.service, rec.caller, -1)
	r.answers.discard(rec)
}

// Settle records the outcome of a claim. The record of a request that certainly
// hasn't run is dropped, so that the caller may send the request again.
func (r *Recorder) Settle(s *modeler.Settlement) modeler.Result {
	rec, found := r.records[recordIDOf(s.Service, s.Key)]
	if !found {
		return modeler.Result{Kind: classifier.KeyExpired, Detail: "the claim is no longer recorded"}
	}
	isOwn := rec.session.Entry == s.Entry && rec.session.Incarnation == s.Incarnation && rec.request == s.Request
	if !isOwn {
		return modeler.Result{Kind: classifier.Claimed, Detail: "another claimant holds the key"}
	}
	if rec.settled {
		return modeler.Result{Repeat: true}
	}
	if s.Outcome == classifier.OutcomeNotRun {
		r.remove(rec)
		return modeler.Result{}
	}
	rec.settled = true
	rec.outcome = s.Outcome
	r.answers.store(rec, s.Answer)
	return modeler.Result{}
}

// Expire drops the records whose keys are older than Window.
func (r *Recorder) Expire(now modeler.Timestamp) {
	for len(r.expiry) > 0 && r.expiry[0].expiresAt() <= now {
		r.remove(r.expiry[0])
	}
}

// Len returns the number of records.
func (r *Recorder) Len() int { return len(r.records) }

// expiryQueue is a heap of records by expiry, which keeps their heapIndex up to
// date.
type expiryQueue []*record

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].created < q[j].created }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	rec := x.(*record)
	rec.heapIndex = len(*q)
	*q = append(*q, rec)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
