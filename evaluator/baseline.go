package evaluator

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

// firstFit places jobs in order of arrival, each task on the first worker, in the
// order of their names, that has room for it. Unless skipsBlockedJobs is set, a
// job that doesn't fit blocks all later jobs.
type firstFit struct {
	free             []modeler.Resources
	jobs             []*fitJob
	sizes            map[modeler.JobID]modeler.Resources
	skipsBlockedJobs bool
	hasChanges       bool
}

type fitJob struct {
	modeler.Job
	nextTask int
}

func (f *firstFit) chooser() chooser {
	f.sizes = map[modeler.JobID]modeler.Resources{}
	return chooser{
		submit: func(_ modeler.ClockReading, j modeler.Job) {
			f.sizes[j.ID] = j.Size
			f.jobs = append(f.jobs, &fitJob{Job: j})
			f.hasChanges = true
		},
		ended: func(_ modeler.ClockReading, at modeler.Placement, _ modeler.TaskState) {
			f.free[at.Generation] = f.free[at.Generation].Add(f.sizes[at.Task.Job])
			f.hasChanges = true
		},
		report: func(modeler.ClockReading, modeler.Placement, modeler.Resources) {},
		decide: f.decide,
	}
}

func (f *firstFit) decide(modeler.ClockReading) []placer.Decision {
	if !f.hasChanges {
		return nil
	}
	f.hasChanges = false
	var out []placer.Decision
	var failed []modeler.Resources
	for _, j := range f.jobs {
		cannotFit := slices.ContainsFunc(failed, func(size modeler.Resources) bool { return size.Fits(j.Size) })
		if !cannotFit {
			out = f.place(j, out)
		}
		if j.nextTask == j.Tasks {
			continue
		}
		if !f.skipsBlockedJobs {
			break
		}
		if !cannotFit && j.Kind != modeler.Gang {
			failed = append(failed, j.Size)
		}
	}
	f.jobs = slices.DeleteFunc(f.jobs, func(j *fitJob) bool { return j.nextTask == j.Tasks })
	return out
}

// place appends a start for each task of the job that fits; a gang starts whole
// or not at all.
func (f *firstFit) place(j *fitJob, out []placer.Decision) []placer.Decision {
	before, nextTask, length := slices.Clone(f.free), j.nextTask, len(out)
	for i := 0; i < len(f.free) && j.nextTask < j.Tasks; {
		if !j.Size.Fits(f.free[i]) {
			i++
			continue
		}
		f.free[i] = f.free[i].Sub(j.Size)
		out = append(out, placer.Decision{Verb: modeler.StartTask, Placement: modeler.Placement{
			Task:       modeler.TaskID{Job: j.ID, Index: modeler.TaskIndex(j.nextTask)},
			Generation: modeler.Generation(i),
		}})
		j.nextTask++
	}
	if j.Kind == modeler.Gang && j.nextTask < j.Tasks {
		f.free, j.nextTask = before, nextTask
		return out[:length]
	}
	return out
}
