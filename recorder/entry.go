package recorder

import (
	"unique"

	"github.com/google/uuid"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// recordID is the name of a record in the form that takes the least memory.
type recordID struct {
	service modeler.ServiceName
	key     uuid.UUID
}

// idOf returns the id of a valid key; CreatedAt allows one spelling only.
func idOf(service modeler.ServiceName, key modeler.Key) recordID {
	return recordID{service: service, key: uuid.MustParse(string(key))}
}

// entry is one record. The table may hold hundreds of thousands of them, so
// names are shared and an answer takes no room where there is none.
type entry struct {
	id          recordID
	fingerprint modeler.Digest
	caller      modeler.CallerHash
	session     modeler.EntrySession
	request     modeler.Sequence
	created     modeler.Timestamp
	settled     bool
	outcome     classifier.Outcome
	// dropped says that the answer was too long to be kept, or is older than
	// those that are.
	dropped  bool
	answer   *keptAnswer
	position int // in the expiry queue
}

// newEntry returns the record of a claim whose key has been checked.
func newEntry(c *modeler.Claim) *entry {
	created, _ := CreatedAt(c.Key)
	id := idOf(c.Service, c.Key)
	id.service = unique.Make(id.service).Value()
	return &entry{
		id:          id,
		fingerprint: c.Fingerprint,
		caller:      c.Caller,
		session:     modeler.EntrySession{Entry: unique.Make(c.Entry).Value(), Incarnation: c.Incarnation},
		request:     c.Request,
		created:     created,
	}
}

func (e *entry) expires() modeler.Timestamp { return e.created.Add(Window) }

// record returns what a repeat may know.
func (e *entry) record() modeler.RequestRecord {
	out := modeler.RequestRecord{
		Fingerprint: e.fingerprint,
		Caller:      e.caller,
		Entry:       e.session.Entry,
		Incarnation: e.session.Incarnation,
		Settled:     e.settled,
		Outcome:     e.outcome,
		Created:     e.created,
		Request:     e.request,
	}
	out.Answer.Dropped = e.dropped
	if e.answer != nil {
		out.Answer = e.answer.content
	}
	return out
}
