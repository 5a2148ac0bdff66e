package sequencer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// abandoned returns a state with a task whose first attempt is given up and
// whose second one runs; copies says that both may.
func abandoned(copies bool) *sequencer.Sequencer {
	s := newState()
	f := oneStep("f", 1)
	f.Steps[0].AllowCopies = copies
	s.Submit(1, f)
	s.Start(start("f", 0, 1))
	s.End(2, end("f", 0, 1, modeler.EndLost))
	s.Start(start("f", 0, 2))
	return s
}

// Guards against an abandoned attempt that is done and is not noted, and
// against a newer one that frees its room before its own end is known.
func TestFirstCopyEndsTheTask(t *testing.T) {
	s := abandoned(true)
	s.End(3, end("f", 0, 1, modeler.EndStopped))
	assert.Equal(t, stateOf(t, s, "f"), modeler.FlowRunning)
	s.End(4, end("f", 0, 1, modeler.EndDone))
	assert.Equal(t, stateOf(t, s, "f"), modeler.FlowCompleted)
	held, _ := s.Flow("f")
	assert.Equal(t, held.Occupied, 1)
	s.End(5, end("f", 0, 2, modeler.EndDone))
	assert.Equal(t, held.Occupied, 0)
}

// Guards against former attempts that count where only one may run.
func TestFormerAttemptDoesNotCount(t *testing.T) {
	s := abandoned(false)
	s.End(3, end("f", 0, 1, modeler.EndDone))
	assert.Equal(t, stateOf(t, s, "f"), modeler.FlowRunning)
}

// Guards against failures of copies that are counted twice, or not at all: a
// worker lists an end until it is acknowledged, also to the next leader.
func TestFailuresOfCopies(t *testing.T) {
	s := abandoned(true)
	s.End(3, end("f", 0, 1, modeler.EndFailed))
	s.End(4, end("f", 0, 1, modeler.EndFailed))
	assert.Equal(t, stateOf(t, s, "f"), modeler.FlowRunning)
	s.End(5, end("f", 0, 2, modeler.EndFailed))
	assert.Equal(t, stateOf(t, s, "f"), modeler.FlowFailed)
}
