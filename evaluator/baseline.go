package evaluator

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

// firstFit takes jobs in order of arrival and workers in the order of their
// names. If it doesn't skip, a job that doesn't fit holds up those behind it.
type firstFit struct {
	free  []modeler.Resources
	jobs  []*fitJob
	sizes map[modeler.JobID]modeler.Resources
	skip  bool
	freed bool
}

type fitJob struct {
	modeler.Job
	next int
}

func (f *firstFit) chooser() chooser {
	f.sizes = map[modeler.JobID]modeler.Resources{}
	return chooser{
		submit: func(_ modeler.ClockReading, j modeler.Job) {
			f.sizes[j.ID] = j.Size
			f.jobs = append(f.jobs, &fitJob{Job: j})
			f.freed = true
		},
		ended: func(_ modeler.ClockReading, at modeler.Placement, _ modeler.TaskState) {
			f.free[at.Generation] = f.free[at.Generation].Add(f.sizes[at.Task.Job])
			f.freed = true
		},
		report: func(modeler.ClockReading, modeler.Placement, modeler.Resources) {},
		decide: f.decide,
	}
}

func (f *firstFit) decide(modeler.ClockReading) []placer.Decision {
	if !f.freed {
		return nil
	}
	f.freed = false
	var out []placer.Decision
	var failed []modeler.Resources
	for _, j := range f.jobs {
		hopeless := slices.ContainsFunc(failed, func(size modeler.Resources) bool { return size.Fits(j.Size) })
		if !hopeless {
			out = f.place(j, out)
		}
		if j.next == j.Tasks {
			continue
		}
		if !f.skip {
			break
		}
		if !hopeless && j.Kind != modeler.Gang {
			failed = append(failed, j.Size)
		}
	}
	f.jobs = slices.DeleteFunc(f.jobs, func(j *fitJob) bool { return j.next == j.Tasks })
	return out
}

// place appends what fits of the job, of a gang all or nothing.
func (f *firstFit) place(j *fitJob, out []placer.Decision) []placer.Decision {
	before, next, length := slices.Clone(f.free), j.next, len(out)
	for i := 0; i < len(f.free) && j.next < j.Tasks; {
		if !j.Size.Fits(f.free[i]) {
			i++
			continue
		}
		f.free[i] = f.free[i].Sub(j.Size)
		out = append(out, placer.Decision{Verb: modeler.StartTask, Placement: modeler.Placement{
			Task:       modeler.TaskID{Job: j.ID, Index: modeler.TaskIndex(j.next)},
			Generation: modeler.Generation(i),
		}})
		j.next++
	}
	if j.Kind == modeler.Gang && j.next < j.Tasks {
		f.free, j.next = before, next
		return out[:length]
	}
	return out
}
