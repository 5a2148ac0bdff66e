package recorder

import (
	"unique"

	"github.com/google/uuid"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// recordID identifies a record; unlike Name, it holds the key in binary form to
// save memory.
type recordID struct {
	service modeler.ServiceName
	key     uuid.UUID
}

// recordIDOf returns the id of the record of a valid key. Each UUID has only one
// valid spelling, which CreatedAt checks.
func recordIDOf(service modeler.ServiceName, key modeler.Key) recordID {
	return recordID{service: service, key: uuid.MustParse(string(key))}
}

// record holds the claim of one key and its outcome. The table may hold hundreds
// of thousands of records, so names are interned, and a record without an
// answer takes no memory for one.
type record struct {
	id          recordID
	fingerprint modeler.Digest
	caller      modeler.CallerHash
	session     modeler.EntrySession
	request     modeler.Sequence
	created     modeler.Timestamp
	settled     bool
	outcome     classifier.Outcome
	// dropped says that the answer wasn't kept: it was too long, or was
	// dropped to make room for newer ones.
	dropped   bool
	answer    *keptAnswer
	heapIndex int // position in the expiry queue
}

// newRecord returns the record of a claim whose key has been validated.
func newRecord(c *modeler.Claim) *record {
	created, _ := CreatedAt(c.Key)
	id := recordIDOf(c.Service, c.Key)
	id.service = unique.Make(id.service).Value()
	return &record{
		id:          id,
		fingerprint: c.Fingerprint,
		caller:      c.Caller,
		session:     modeler.EntrySession{Entry: unique.Make(c.Entry).Value(), Incarnation: c.Incarnation},
		request:     c.Request,
		created:     created,
	}
}

func (rec *record) expiresAt() modeler.Timestamp { return rec.created.Add(Window) }

// requestRecord returns the record in the form that repeats get.
func (rec *record) requestRecord() modeler.RequestRecord {
	out := modeler.RequestRecord{
		Fingerprint: rec.fingerprint,
		Caller:      rec.caller,
		Entry:       rec.session.Entry,
		Incarnation: rec.session.Incarnation,
		Settled:     rec.settled,
		Outcome:     rec.outcome,
		Created:     rec.created,
		Request:     rec.request,
	}
	out.Answer.Dropped = rec.dropped
	if rec.answer != nil {
		out.Answer = rec.answer.content
	}
	return out
}
