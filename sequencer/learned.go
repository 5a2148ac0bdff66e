package sequencer

import "goldcreststack.example/goldcreststack/modeler"

// learned holds what leaders have learned of the known workers and of the queues of the
// layout in force.
type learned struct {
	workers map[modeler.WorkerID]modeler.LearnedWorker
	queues  map[modeler.QueueID]modeler.LearnedQueue
}

func newLearned() learned {
	return learned{
		workers: make(map[modeler.WorkerID]modeler.LearnedWorker),
		queues:  make(map[modeler.QueueID]modeler.LearnedQueue),
	}
}

// keepQueues drops what is known of queues that the layout doesn't name.
func (l *learned) keepQueues(layout *modeler.Layout) {
	former := l.queues
	l.queues = make(map[modeler.QueueID]modeler.LearnedQueue, len(former))
	for i := range layout.Queues {
		id := layout.Queues[i].ID()
		if q, found := former[id]; found {
			l.queues[id] = q
		}
	}
}

// RecordLearned records what the leader has learned in place of what was known of the same
// workers and queues. Other generations of workers and queues that the layout doesn't name
// are skipped, so that the state is bounded by the workers and queues of the cell.
func (s *Sequencer) RecordLearned(l *modeler.Learned) modeler.Result {
	if l == nil {
		return modeler.Result{}
	}
	for _, w := range l.Workers {
		if m, known := s.workers[w.Worker]; known && m.Generation == w.Generation {
			s.learned.workers[w.Worker] = w
		}
	}
	if len(l.Queues) == 0 {
		return modeler.Result{}
	}
	named := make(map[modeler.QueueID]bool, len(s.layout.Queues))
	for i := range s.layout.Queues {
		named[s.layout.Queues[i].ID()] = true
	}
	for _, q := range l.Queues {
		if named[q.Queue] {
			s.learned.queues[q.Queue] = q
		}
	}
	return modeler.Result{}
}

// LearnedWorker returns what leaders have learned of a worker's current generation.
func (s *Sequencer) LearnedWorker(id modeler.WorkerID) (modeler.LearnedWorker, bool) {
	w, found := s.learned.workers[id]
	return w, found
}

// LearnedQueue returns what leaders have learned of a queue.
func (s *Sequencer) LearnedQueue(id modeler.QueueID) (modeler.LearnedQueue, bool) {
	q, found := s.learned.queues[id]
	return q, found
}
