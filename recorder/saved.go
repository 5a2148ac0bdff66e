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
	// Order is the position of the kept answer in the order of recording,
	// counted from 1; 0 means that no answer is kept.
	Order int `cbor:"3,keyasint,omitempty"`
}

// Saved is the whole content of a recorder in the form of a snapshot.
type Saved struct {
	Records  []SavedRecord          `cbor:"1,keyasint"`
	Sessions []modeler.EntrySession `cbor:"2,keyasint"`
}

// Copy is a copy of a recorder's content at one log entry, which another
// goroutine may read.
type Copy struct {
	copies   []record
	sessions []modeler.EntrySession
	// answerCount is the number of records with an answer. These come first,
	// in the order in which the answers were recorded.
	answerCount int
}

// Copy returns a copy of the content. The conversion of keys to text, which
// takes most of the time of Save, is left to Copy.Saved.
func (r *Recorder) Copy() Copy {
	out := Copy{
		copies:      make([]record, 0, len(r.records)),
		sessions:    r.Sessions(),
		answerCount: r.answers.oldestFirst.Len(),
	}
	for element := r.answers.oldestFirst.Front(); element != nil; element = element.Next() {
		out.copies = append(out.copies, *element.Value.(*record))
	}
	for _, rec := range r.expiry {
		if rec.answer == nil {
			out.copies = append(out.copies, *rec)
		}
	}
	return out
}

// Saved converts the copy to the form of a snapshot.
func (c *Copy) Saved() Saved {
	out := Saved{
		Records:  make([]SavedRecord, 0, len(c.copies)),
		Sessions: c.sessions,
	}
	for i := range c.copies {
		saved := savedRecord(&c.copies[i])
		if i < c.answerCount {
			saved.Order = i + 1
		}
		out.Records = append(out.Records, saved)
	}
	return out
}

// Save returns the content in the form of a snapshot.
func (r *Recorder) Save() Saved {
	c := r.Copy()
	return c.Saved()
}

func savedRecord(rec *record) SavedRecord {
	return SavedRecord{
		Name:   Name{Service: rec.id.service, Key: modeler.Key(rec.id.key.String())},
		Record: rec.requestRecord(),
	}
}

// Sort sorts the records by name and the sessions by entry host, so that the
// order doesn't depend on the member that saves the content.
func (s *Saved) Sort() {
	slices.SortFunc(s.Records, func(x, y SavedRecord) int {
		return cmp.Or(cmp.Compare(x.Name.Service, y.Name.Service), cmp.Compare(x.Name.Key, y.Name.Key))
	})
	slices.SortFunc(s.Sessions, func(x, y modeler.EntrySession) int { return cmp.Compare(x.Entry, y.Entry) })
}

// Load replaces the content. Snapshots of older versions contain no order of
// answers; their answers are ordered by the timestamps of the keys.
func (r *Recorder) Load(saved Saved) {
	*r = *New(r.limits)
	for _, s := range saved.Sessions {
		r.sessions[s.Entry] = s.Incarnation
	}
	slices.SortFunc(saved.Records, compareSavedRecords)
	for i := range saved.Records {
		r.loadRecord(&saved.Records[i])
	}
}

// compareSavedRecords orders records by the order in which their answers were
// recorded.
func compareSavedRecords(x, y SavedRecord) int {
	return cmp.Or(cmp.Compare(x.Order, y.Order), cmp.Compare(x.Record.Created, y.Record.Created), cmp.Compare(x.Name.Key, y.Name.Key))
}

func (r *Recorder) loadRecord(saved *SavedRecord) {
	content := &saved.Record
	rec := newRecord(&modeler.Claim{
		Service:     saved.Name.Service,
		Key:         saved.Name.Key,
		Fingerprint: content.Fingerprint,
		Caller:      content.Caller,
		Entry:       content.Entry,
		Incarnation: content.Incarnation,
		Request:     content.Request,
	})
	rec.settled = content.Settled
	rec.outcome = content.Outcome
	r.insert(rec)
	r.answers.store(rec, content.Answer)
}
