package dispatcher

import (
	"math/bits"

	"goldcreststack.example/goldcreststack/modeler"
)

// taskSet is a set of the tasks of one step. Adding and removing a task takes the same
// time in a step of any width.
type taskSet struct {
	words []uint64
	count int
}

const wordBits = 64

func newTaskSet(tasks int) taskSet {
	return taskSet{words: make([]uint64, (tasks+wordBits-1)/wordBits)}
}

// len returns the number of tasks in the set.
func (s *taskSet) len() int { return s.count }

// set adds a task to the set, or removes it.
func (s *taskSet) set(i modeler.TaskIndex, member bool) {
	word, bit := &s.words[i/wordBits], uint64(1)<<(i%wordBits)
	switch has := *word&bit != 0; {
	case has == member:
	case member:
		*word |= bit
		s.count++
	default:
		*word &^= bit
		s.count--
	}
}

// clear removes all tasks.
func (s *taskSet) clear() {
	if s.count > 0 {
		clear(s.words)
		s.count = 0
	}
}

// next returns the first task of the set from the given index on, and false if there
// is none.
func (s *taskSet) next(from modeler.TaskIndex) (modeler.TaskIndex, bool) {
	if s.count == 0 {
		return 0, false
	}
	mask := ^uint64(0) << (from % wordBits)
	for w := int(from / wordBits); w < len(s.words); w++ {
		if word := s.words[w] & mask; word != 0 {
			return modeler.TaskIndex(w*wordBits + bits.TrailingZeros64(word)), true
		}
		mask = ^uint64(0)
	}
	return 0, false
}
