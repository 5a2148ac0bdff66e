package sequencer

import (
	"cmp"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// Snapshot is the content of a snapshot.
type Snapshot struct {
	Layout   modeler.Layout               `cbor:"1,keyasint"`
	Flows    []Flow                       `cbor:"2,keyasint"`
	Workers  []modeler.WorkerAnnouncement `cbor:"3,keyasint"`
	Departed []DepartedWorker             `cbor:"4,keyasint,omitempty"`
	// LearnedWorkers and LearnedQueues are missing in snapshots of releases that kept
	// them on the leader only.
	LearnedWorkers []modeler.LearnedWorker `cbor:"5,keyasint,omitempty"`
	LearnedQueues  []modeler.LearnedQueue  `cbor:"6,keyasint,omitempty"`
	Silences       []modeler.WorkerSilence `cbor:"7,keyasint,omitempty"`
}

// TakeSnapshot returns a copy of the state that can be encoded while the state changes.
// It shares only data that is never changed in place.
func (s *Sequencer) TakeSnapshot() Snapshot {
	out := Snapshot{Layout: s.layout, Flows: make([]Flow, 0, len(s.flows))}
	for _, f := range s.flows {
		f.tasksShared = true
		c := *f
		c.progress = nil
		out.Flows = append(out.Flows, c)
	}
	for _, m := range s.workers {
		out.Workers = append(out.Workers, m)
	}
	for _, l := range s.departures {
		out.Departed = append(out.Departed, l)
	}
	for _, record := range s.silences {
		out.Silences = append(out.Silences, record)
	}
	for _, w := range s.learned.workers {
		out.LearnedWorkers = append(out.LearnedWorkers, w)
	}
	for _, q := range s.learned.queues {
		out.LearnedQueues = append(out.LearnedQueues, q)
	}
	return out
}

// ownTasks copies the tasks if a snapshot reads them.
func (f *Flow) ownTasks() {
	if f.tasksShared {
		f.Tasks = slices.Clone(f.Tasks)
		f.tasksShared = false
	}
}

// Sort orders the content so that equal states have equal encodings.
func (s *Snapshot) Sort() {
	slices.SortFunc(s.Flows, func(a, b Flow) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	slices.SortFunc(s.Workers, func(a, b modeler.WorkerAnnouncement) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Departed, func(a, b DepartedWorker) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(s.Silences, func(a, b modeler.WorkerSilence) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(s.LearnedWorkers, func(a, b modeler.LearnedWorker) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(s.LearnedQueues, func(a, b modeler.LearnedQueue) int { return cmp.Compare(a.Queue, b.Queue) })
}

// Restore replaces the state with the content of a snapshot.
func (s *Sequencer) Restore(saved *Snapshot) {
	*s = *New()
	s.layout = saved.Layout
	for i := range saved.Flows {
		f := &saved.Flows[i]
		if len(f.Spec.Steps) > 0 {
			f.computeOffsets()
			f.computeProgress()
		}
		if f.State == modeler.FlowRunning && !f.HasBegun {
			// An earlier build took a flow for running once a start was recorded. Its leader
			// tells if a worker has begun one.
			f.State = modeler.FlowPending
		}
		s.flows[f.Spec.ID] = f
		s.heldTasks += len(f.Tasks)
		if f.State == modeler.FlowPending {
			s.pending[f.Spec.Queue]++
		}
		if !f.IsOver() {
			s.countOpen(f)
		} else {
			s.endedFlow = append(s.endedFlow, endedFlow{id: f.Spec.ID, at: f.EndedAt})
		}
	}
	slices.SortFunc(s.endedFlow, func(a, b endedFlow) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	for _, m := range saved.Workers {
		s.workers[m.ID] = m
	}
	for _, l := range saved.Departed {
		s.departures[l.Worker] = l
	}
	for _, record := range saved.Silences {
		s.silences[record.Worker] = record
	}
	s.RecordLearned(&modeler.Learned{Workers: saved.LearnedWorkers, Queues: saved.LearnedQueues})
}
