package sequencer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// stateWithAbandonedAttempt returns a state with a task whose first attempt was
// given up and whose second one runs. Both may run at once if copies is set.
func stateWithAbandonedAttempt(copies bool) *sequencer.Sequencer {
	s := newState()
	f := oneStepFlow("f", 1)
	f.Steps[0].AllowCopies = copies
	s.Submit(1, f)
	s.RecordStarts(start("f", 0, 1))
	s.RecordEnds(2, end("f", 0, 1, modeler.EndLost))
	s.RecordStarts(start("f", 0, 2))
	return s
}

// Guards against an abandoned attempt that is done but doesn't complete its
// task, and against a newer attempt whose worker counts as free before the
// attempt's own end is known.
func TestFirstCopyEndsTheTask(t *testing.T) {
	s := stateWithAbandonedAttempt(true)
	s.RecordEnds(3, end("f", 0, 1, modeler.EndStopped))
	assert.Equal(t, flowState(t, s, "f"), modeler.FlowRunning)
	s.RecordEnds(4, end("f", 0, 1, modeler.EndDone))
	assert.Equal(t, flowState(t, s, "f"), modeler.FlowCompleted)
	held, _ := s.Flow("f")
	assert.Equal(t, held.OccupiedTasks, 1)
	s.RecordEnds(5, end("f", 0, 2, modeler.EndDone))
	assert.Equal(t, held.OccupiedTasks, 0)
}

// Guards against an older attempt that completes its task although only one
// attempt may run at a time.
func TestFormerAttemptDoesNotCount(t *testing.T) {
	s := stateWithAbandonedAttempt(false)
	s.RecordEnds(3, end("f", 0, 1, modeler.EndDone))
	assert.Equal(t, flowState(t, s, "f"), modeler.FlowRunning)
}

// Guards against failures of copies that are counted twice or not at all. A
// worker lists an end until it is acknowledged, so the end is recorded again if
// the leader changes before that.
func TestFailuresOfCopies(t *testing.T) {
	s := stateWithAbandonedAttempt(true)
	s.RecordEnds(3, end("f", 0, 1, modeler.EndFailed))
	s.RecordEnds(4, end("f", 0, 1, modeler.EndFailed))
	assert.Equal(t, flowState(t, s, "f"), modeler.FlowRunning)
	s.RecordEnds(5, end("f", 0, 2, modeler.EndFailed))
	assert.Equal(t, flowState(t, s, "f"), modeler.FlowFailed)
}
