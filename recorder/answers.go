package recorder

import (
	"container/list"

	"goldcreststack.example/goldcreststack/modeler"
)

// fieldCost is the memory of a header field beside its text.
const fieldCost = 32

// Size returns what an answer counts for in AnswerLimit and Limits.Answers.
func Size(a *modeler.RecordedAnswer) int {
	size := len(a.Body)
	for i := range a.Header {
		size += len(a.Header[i].Name) + len(a.Header[i].Value) + fieldCost
	}
	return size
}

// keptAnswer is an answer that a repeat gets.
type keptAnswer struct {
	content modeler.RecordedAnswer
	size    int
	place   *list.Element
}

// answers keeps the recorded answers within a bound; the one that was recorded
// first is dropped first.
type answers struct {
	limit modeler.Bytes
	used  modeler.Bytes
	order *list.List // of *entry
}

func newAnswers(limit modeler.Bytes) answers {
	return answers{limit: limit, order: list.New()}
}

func (a *answers) keep(e *entry, content modeler.RecordedAnswer) {
	if content.Status == 0 && !content.Dropped {
		return // the outcome came without an answer
	}
	size := Size(&content)
	if content.Dropped || size > AnswerLimit {
		e.dropped = true
		return
	}
	e.answer = &keptAnswer{content: content, size: size}
	e.answer.place = a.order.PushBack(e)
	a.used += modeler.Bytes(size)
	for a.used > a.limit {
		oldest := a.order.Front().Value.(*entry)
		a.drop(oldest)
		oldest.dropped = true
	}
}

// drop forgets the answer of a record, if it has one.
func (a *answers) drop(e *entry) {
	if e.answer == nil {
		return
	}
	a.order.Remove(e.answer.place)
	a.used -= modeler.Bytes(e.answer.size)
	e.answer = nil
}
