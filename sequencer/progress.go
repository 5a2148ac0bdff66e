package sequencer

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// stepProgress summarizes the tasks of a step in one occurrence, so that the cost of
// an end doesn't grow with the width of its step. It follows from the tasks and is
// not part of snapshots.
type stepProgress struct {
	// open counts the tasks that are not done, and occupied those whose newest
	// attempt may still run.
	open     int32
	occupied int32
	// failed lists the failed attempts of a gang; nil until there are some.
	failed *[]modeler.Attempt
}

// addFailed adds failed attempts of a gang.
func (p *stepProgress) addFailed(attempts ...modeler.Attempt) {
	if len(attempts) == 0 {
		return
	}
	if p.failed == nil {
		p.failed = new([]modeler.Attempt)
	}
	*p.failed = append(*p.failed, attempts...)
}

// failedAttempts returns the failed attempts of a gang.
func (p *stepProgress) failedAttempts() []modeler.Attempt {
	if p.failed == nil {
		return nil
	}
	return *p.failed
}

// progressOf returns the summary of a step.
func (f *Flow) progressOf(key modeler.StepKey) *stepProgress {
	return &f.progress[int(key.Occurrence)*len(f.Spec.Steps)+int(key.Step)]
}

// resetProgress sets the summaries of a flow of which nothing has started.
func (f *Flow) resetProgress() {
	f.progress = make([]stepProgress, f.Occurrences()*len(f.Spec.Steps))
	for i := range f.progress {
		f.progress[i].open = int32(f.Spec.Steps[i%len(f.Spec.Steps)].Count)
	}
}

// computeProgress computes the summaries of all steps from their tasks.
func (f *Flow) computeProgress() {
	f.progress = make([]stepProgress, f.Occurrences()*len(f.Spec.Steps))
	for k := range f.Occurrences() {
		for s := range f.Spec.Steps {
			key := modeler.StepKey{Occurrence: modeler.Occurrence(k), Step: modeler.StepIndex(s)}
			p := f.progressOf(key)
			tasks := f.StepTasks(key)
			for i := range tasks {
				t := &tasks[i]
				if t.Phase != TaskDone {
					p.open++
				}
				if t.Worker != "" {
					p.occupied++
				}
				if f.Spec.Steps[s].Gang {
					p.addFailed(t.FailedAttempts...)
				}
			}
		}
	}
}

// OccurrenceDone reports whether all steps of an occurrence are done.
func (f *Flow) OccurrenceDone(k modeler.Occurrence) bool {
	return !slices.ContainsFunc(f.occurrenceProgress(k), func(p stepProgress) bool { return p.open > 0 })
}

// OccurrenceOccupied reports whether an attempt of an occurrence may still run.
func (f *Flow) OccurrenceOccupied(k modeler.Occurrence) bool {
	return slices.ContainsFunc(f.occurrenceProgress(k), func(p stepProgress) bool { return p.occupied > 0 })
}

// occurrenceProgress returns the summaries of the steps of an occurrence.
func (f *Flow) occurrenceProgress(k modeler.Occurrence) []stepProgress {
	steps := len(f.Spec.Steps)
	return f.progress[int(k)*steps : (int(k)+1)*steps]
}

// occupy records the worker on which the newest attempt of a task may run.
func (f *Flow) occupy(t *Task, start modeler.FlowStart) {
	t.Phase = TaskPlaced
	t.Attempt = start.Attempt
	t.Worker = start.Worker
	t.Generation = start.Generation
	f.OccupiedTasks++
	f.progressOf(start.Task.StepKey()).occupied++
}

// vacate records that the newest attempt of a task doesn't run any more.
func (f *Flow) vacate(t *Task, key modeler.StepKey) {
	t.Worker = ""
	t.Generation = 0
	f.OccupiedTasks--
	f.progressOf(key).occupied--
}

// complete records that a task is done.
func (f *Flow) complete(t *Task, key modeler.StepKey) {
	t.Phase = TaskDone
	f.OpenTasks--
	f.progressOf(key).open--
}

// gangHasFailed reports whether a failure of the gang's attempt is recorded.
func (f *Flow) gangHasFailed(key modeler.StepKey, attempt modeler.Attempt) bool {
	return slices.Contains(f.progressOf(key).failedAttempts(), attempt)
}

// Failures returns how many attempts of a task, or of its gang, have failed.
func (f *Flow) Failures(id modeler.FlowTask) int {
	t := f.Task(id)
	if t == nil {
		return 0
	}
	return f.failuresOf(t, id.StepKey())
}

func (f *Flow) failuresOf(t *Task, key modeler.StepKey) int {
	if !f.Spec.Steps[key.Step].Gang {
		return len(t.FailedAttempts)
	}
	return len(f.progressOf(key).failedAttempts())
}
