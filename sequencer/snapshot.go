package sequencer

import (
	"cmp"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// Saved is the state as a snapshot holds it.
type Saved struct {
	Layout  modeler.Layout               `cbor:"1,keyasint"`
	Flows   []Flow                       `cbor:"2,keyasint"`
	Workers []modeler.WorkerAnnouncement `cbor:"3,keyasint"`
	Left    []Left                       `cbor:"4,keyasint,omitempty"`
}

// Copy returns a copy that shares only what is never changed in place.
func (s *Sequencer) Copy() Saved {
	out := Saved{Layout: s.layout, Flows: make([]Flow, 0, len(s.flows))}
	for _, f := range s.flows {
		c := *f
		c.Tasks = slices.Clone(f.Tasks)
		out.Flows = append(out.Flows, c)
	}
	for _, m := range s.workers {
		out.Workers = append(out.Workers, m)
	}
	for _, l := range s.left {
		out.Left = append(out.Left, l)
	}
	return out
}

// Sort gives equal states equal bytes.
func (s *Saved) Sort() {
	slices.SortFunc(s.Flows, func(a, b Flow) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	slices.SortFunc(s.Workers, func(a, b modeler.WorkerAnnouncement) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Left, func(a, b Left) int { return cmp.Compare(a.Worker, b.Worker) })
}

// Load replaces the state by a saved one.
func (s *Sequencer) Load(saved *Saved) {
	*s = *New()
	s.layout = saved.Layout
	for i := range saved.Flows {
		f := &saved.Flows[i]
		if len(f.Spec.Steps) > 0 {
			f.index()
		}
		s.flows[f.Spec.ID] = f
		if f.State == modeler.FlowPending {
			s.pending[f.Spec.Queue]++
		}
		if f.Over() {
			s.ended = append(s.ended, ended{id: f.Spec.ID, at: f.Ended})
		}
	}
	slices.SortFunc(s.ended, func(a, b ended) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	for _, m := range saved.Workers {
		s.workers[m.ID] = m
	}
	for _, l := range saved.Left {
		s.left[l.Worker] = l
	}
}
