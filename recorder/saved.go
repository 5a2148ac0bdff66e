package recorder

import (
	"cmp"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// SavedRecord is one record with its name.
type SavedRecord struct {
	Name   Name                  `cbor:"1,keyasint"`
	Record modeler.RequestRecord `cbor:"2,keyasint"`
	// Order numbers the kept answers from 1 in the order of their recording.
	Order int `cbor:"3,keyasint,omitempty"`
}

// Saved is the whole content of a recorder for a snapshot.
type Saved struct {
	Records  []SavedRecord          `cbor:"1,keyasint"`
	Sessions []modeler.EntrySession `cbor:"2,keyasint"`
}

// Copy is the content at one log entry. Another goroutine may read it.
type Copy struct {
	entries  []entry
	sessions []modeler.EntrySession
	// answered is the number of entries with an answer, which come first in
	// the order of their recording.
	answered int
}

// Copy returns a copy of the content. It leaves the spelling of keys, which
// takes most of the time of Save, to Saved.
func (r *Recorder) Copy() Copy {
	out := Copy{
		entries:  make([]entry, 0, len(r.records)),
		sessions: r.Sessions(),
		answered: r.answers.order.Len(),
	}
	for place := r.answers.order.Front(); place != nil; place = place.Next() {
		out.entries = append(out.entries, *place.Value.(*entry))
	}
	for _, e := range r.expiry {
		if e.answer == nil {
			out.entries = append(out.entries, *e)
		}
	}
	return out
}

// Saved returns the copy in the form of a snapshot.
func (c *Copy) Saved() Saved {
	out := Saved{
		Records:  make([]SavedRecord, 0, len(c.entries)),
		Sessions: c.sessions,
	}
	for i := range c.entries {
		saved := save(&c.entries[i])
		if i < c.answered {
			saved.Order = i + 1
		}
		out.Records = append(out.Records, saved)
	}
	return out
}

// Save returns the content.
func (r *Recorder) Save() Saved {
	c := r.Copy()
	return c.Saved()
}

func save(e *entry) SavedRecord {
	return SavedRecord{
		Name:   Name{Service: e.id.service, Key: modeler.Key(e.id.key.String())},
		Record: e.record(),
	}
}

// Sort puts the content in the order of names, which doesn't depend on the
// member that saves it.
func (s *Saved) Sort() {
	slices.SortFunc(s.Records, func(x, y SavedRecord) int {
		return cmp.Or(cmp.Compare(x.Name.Service, y.Name.Service), cmp.Compare(x.Name.Key, y.Name.Key))
	})
	slices.SortFunc(s.Sessions, func(x, y modeler.EntrySession) int { return cmp.Compare(x.Entry, y.Entry) })
}

// Load replaces the content. Snapshots of older versions have no order of
// answers; theirs are taken in the order of the keys' times.
func (r *Recorder) Load(saved Saved) {
	*r = *New(r.limits)
	for _, s := range saved.Sessions {
		r.sessions[s.Entry] = s.Incarnation
	}
	slices.SortFunc(saved.Records, compareSaved)
	for i := range saved.Records {
		r.load(&saved.Records[i])
	}
}

// compareSaved puts answers in the order of their recording.
func compareSaved(x, y SavedRecord) int {
	return cmp.Or(cmp.Compare(x.Order, y.Order), cmp.Compare(x.Record.Created, y.Record.Created), cmp.Compare(x.Name.Key, y.Name.Key))
}

func (r *Recorder) load(saved *SavedRecord) {
	record := &saved.Record
	e := newEntry(&modeler.Claim{
		Service:     saved.Name.Service,
		Key:         saved.Name.Key,
		Fingerprint: record.Fingerprint,
		Caller:      record.Caller,
		Entry:       record.Entry,
		Incarnation: record.Incarnation,
		Request:     record.Request,
	})
	e.settled = record.Settled
	e.outcome = record.Outcome
	r.insert(e)
	r.answers.keep(e, record.Answer)
}
