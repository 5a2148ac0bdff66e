package sequencer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// stateWithLearned returns a state in which the worker "w" and the queue "q" are learned.
func stateWithLearned() *sequencer.Sequencer {
	s := newState()
	s.SetLayout(&modeler.Layout{Number: 1, Queues: []modeler.Queue{{Host: "q"}, {Host: "other"}}})
	s.RecordLearned(&modeler.Learned{
		Workers: []modeler.LearnedWorker{{Worker: "w", Generation: 1, Count: 3, Slowness: 0.5, Variance: 0.1}},
		Queues:  []modeler.LearnedQueue{{Queue: "q", Count: 7, Weight: 7, Runtime: 1.5}},
	})
	return s
}

func knowsWorker(s *sequencer.Sequencer) bool {
	_, found := s.LearnedWorker("w")
	return found
}

// Guards against a worker that is taken for what an earlier generation was, and against
// state of workers and queues that are gone.
func TestLearnedIsDropped(t *testing.T) {
	announce := func(s *sequencer.Sequencer, g modeler.Generation) {
		s.UpdateWorkers([]modeler.WorkerAnnouncement{{ID: "w", Generation: g, Address: "a:1", Service: "s"}}, nil)
	}
	s := stateWithLearned()
	announce(s, 1)
	assert.Assert(t, knowsWorker(s), "an announcement of the same generation drops what was learned")
	announce(s, 2)
	assert.Assert(t, !knowsWorker(s), "a new generation keeps what was learned")
	s.RecordLearned(&modeler.Learned{Workers: []modeler.LearnedWorker{{Worker: "w", Generation: 1}, {Worker: "unknown", Generation: 1}}})
	assert.Assert(t, !knowsWorker(s), "what was learned of an earlier generation is recorded")
	_, found := s.LearnedWorker("unknown")
	assert.Assert(t, !found)

	s = stateWithLearned()
	s.UpdateWorkers(nil, []modeler.WorkerDeparture{{Worker: "w", Generation: 1}})
	assert.Assert(t, !knowsWorker(s), "a lost worker is kept")

	s = stateWithLearned()
	s.UpdateWorkers([]modeler.WorkerAnnouncement{{ID: "w", Generation: 1, Leaving: true}}, nil)
	s.RecordDepartures(1, []modeler.WorkerID{"w"})
	assert.Assert(t, !knowsWorker(s), "a worker that has left is kept")

	s = stateWithLearned()
	s.SetLayout(&modeler.Layout{Number: 2, Queues: []modeler.Queue{{Host: "q"}}})
	q, found := s.LearnedQueue("q")
	assert.Assert(t, found && q.Count == 7)
	s.SetLayout(&modeler.Layout{Number: 3, Queues: []modeler.Queue{{Host: "other"}}})
	s.RecordLearned(&modeler.Learned{Queues: []modeler.LearnedQueue{{Queue: "q", Count: 8}}})
	_, found = s.LearnedQueue("q")
	assert.Assert(t, !found, "a queue that the layout doesn't name is kept")
}

// Guards against a member that loads a snapshot and then leads without what was learned,
// and against a snapshot that changes with the state.
func TestLearnedInSnapshots(t *testing.T) {
	s := stateWithLearned()
	saved := s.TakeSnapshot()
	s.RecordLearned(&modeler.Learned{Workers: []modeler.LearnedWorker{{Worker: "w", Generation: 1, Count: 9}}})
	restored := sequencer.New()
	restored.Restore(&saved)
	w, _ := restored.LearnedWorker("w")
	q, _ := restored.LearnedQueue("q")
	assert.DeepEqual(t, w, modeler.LearnedWorker{Worker: "w", Generation: 1, Count: 3, Slowness: 0.5, Variance: 0.1})
	assert.DeepEqual(t, q, modeler.LearnedQueue{Queue: "q", Count: 7, Weight: 7, Runtime: 1.5})
}
