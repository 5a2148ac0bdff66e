package dispatcher

import (
	"cmp"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// statsMost bounds the steps and the workers that Stats lists, so that a dump
// of a large cell stays within the memory of a host.
const statsMost = 50

// Stats counts what the dispatcher holds, and lists what holds work up.
type Stats struct {
	Workers int `json:"workers"`
	Known   int `json:"known"`
	Suspect int `json:"suspect"`
	Units   int `json:"units"`
	Runs    int `json:"runs"`
	Waiting int `json:"waiting"`
	// Steps are the first ones in order that wait for workers, and Idle the
	// workers that get no tasks.
	Steps []WaitingStep `json:"steps,omitempty"`
	Idle  []IdleWorker  `json:"idle,omitempty"`
}

// WaitingStep is a step with tasks that wait for workers.
type WaitingStep struct {
	Request    modeler.FlowID     `json:"request"`
	Occurrence modeler.Occurrence `json:"occurrence"`
	Step       modeler.StepIndex  `json:"step"`
	Queue      modeler.QueueID    `json:"queue"`
	Tasks      int                `json:"tasks"`
	// Waits is the time since the step could start.
	Waits string `json:"waits"`
	// Permitted and Denied count the workers that the outside policy has told
	// of, and Asking says that a question is under way.
	Permitted int  `json:"permitted"`
	Denied    int  `json:"denied"`
	Asking    bool `json:"asking"`
}

// IdleWorker is a worker that gets no tasks, with the reason.
type IdleWorker struct {
	Worker   modeler.WorkerID `json:"worker"`
	Reason   string           `json:"reason"`
	Attempts int              `json:"attempts"`
	// Heard is the time since its last answer.
	Heard string `json:"heard"`
}

// Stats returns what the dispatcher holds.
func (d *Dispatcher) Stats(now modeler.ClockReading) Stats {
	s := Stats{Workers: len(d.hosts), Units: len(d.units), Runs: len(d.runs)}
	for _, h := range d.list {
		if h.known {
			s.Known++
		}
		if h.suspect(now) {
			s.Suspect++
		}
		if reason := d.unusable(now, h); reason != "" {
			s.Idle = append(s.Idle, IdleWorker{
				Worker: h.machine.ID, Reason: reason, Attempts: len(h.runs), Heard: now.Sub(h.heard).String(),
			})
		}
	}
	slices.SortFunc(s.Idle, func(a, b IdleWorker) int { return cmp.Compare(a.Worker, b.Worker) })
	s.Idle = s.Idle[:min(len(s.Idle), statsMost)]
	for _, u := range d.order {
		if !u.ready || len(u.waiting) == 0 {
			continue
		}
		s.Waiting += len(u.waiting)
		if len(s.Steps) < statsMost {
			s.Steps = append(s.Steps, WaitingStep{
				Request: u.key.Flow, Occurrence: u.key.Occurrence, Step: u.key.Step, Queue: u.flow.Spec.Queue,
				Tasks: len(u.waiting), Waits: now.Sub(u.readyAt).String(),
				Permitted: len(u.permits), Denied: len(u.denied), Asking: u.asking,
			})
		}
	}
	return s
}
