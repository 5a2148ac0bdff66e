package recorder

import (
	"container/list"

	"goldcreststack.example/goldcreststack/modeler"
)

// headerFieldOverhead is the memory in bytes that a header field takes besides
// its text.
const headerFieldOverhead = 32

// Size returns the size in bytes that an answer counts towards MaxAnswerSize and
// Limits.MaxAnswerBytes.
func Size(a *modeler.RecordedAnswer) int {
	size := len(a.Body)
	for i := range a.Header {
		size += len(a.Header[i].Name) + len(a.Header[i].Value) + headerFieldOverhead
	}
	return size
}

// keptAnswer is a recorded answer that repeats of the request get.
type keptAnswer struct {
	content modeler.RecordedAnswer
	size    int
	element *list.Element
}

// answers keeps the recorded answers of all records within a size limit, by
// dropping the answer that was recorded first.
type answers struct {
	limit       modeler.Bytes
	used        modeler.Bytes
	oldestFirst *list.List // of *record, in order of recording
}

func newAnswers(limit modeler.Bytes) answers {
	return answers{limit: limit, oldestFirst: list.New()}
}

func (a *answers) store(rec *record, content modeler.RecordedAnswer) {
	if content.Status == 0 && !content.Dropped {
		return // the settlement contains no answer
	}
	size := Size(&content)
	if content.Dropped || size > MaxAnswerSize {
		rec.dropped = true
		return
	}
	rec.answer = &keptAnswer{content: content, size: size}
	rec.answer.element = a.oldestFirst.PushBack(rec)
	a.used += modeler.Bytes(size)
	for a.used > a.limit {
		oldest := a.oldestFirst.Front().Value.(*record)
		a.discard(oldest)
		oldest.dropped = true
	}
}

// discard removes the answer of a record, if it has one.
func (a *answers) discard(rec *record) {
	if rec.answer == nil {
		return
	}
	a.oldestFirst.Remove(rec.answer.element)
	a.used -= modeler.Bytes(rec.answer.size)
	rec.answer = nil
}
