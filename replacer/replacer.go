package replacer

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// ReadyAfter is how long a task must have been reported as running before it
	// counts as in service. Workers report every second, so the task has been
	// running in three reports; a task that fails right after its start never
	// counts.
	ReadyAfter = 3 * time.Second
	// defaultStepDivisor sets the default step of a job to a tenth of its
	// tasks, the headroom that services usually keep.
	defaultStepDivisor = 10
)

// Task is the state of one task of a changed service.
type Task struct {
	// Placed is set if an attempt of the task is placed.
	Placed bool
	// RunsFormerSpec is set if the attempt runs an earlier version of the job's spec.
	RunsFormerSpec bool
	// Surplus is set if the task's index is beyond the current number of tasks.
	Surplus bool
	// Leaving is set if the stop of the attempt is committed.
	Leaving bool
	// Ready is set if the replicated state counts the attempt as in service.
	Ready bool
	// Reported is set if a worker that isn't silent reports the attempt as
	// running, and Running is how long it has done so.
	Reported bool
	Running  time.Duration
}

// Change is the state of a service whose tasks are being replaced.
type Change struct {
	// Step is how many tasks may be out of service at a time.
	Step int
	// Base is the highest number of tasks in service since the change began.
	Base  int
	Tasks []Task
}

// Plan is the next step of a change, with tasks given by their index.
type Plan struct {
	// Ready lists the tasks that count as in service from now on.
	Ready []int
	// Stop lists the tasks that are to be stopped now.
	Stop []int
}

// Step returns how many tasks of the job may be out of service at a time during
// a change.
func Step(job *modeler.Job) int {
	if job.Step > 0 {
		return min(job.Step, job.Tasks)
	}
	return max(1, job.Tasks/defaultStepDivisor)
}

// AllowedStops returns how many of the serving tasks may be stopped if at most step
// of base tasks may be out of service.
func AllowedStops(serving, base, step int) int { return max(0, serving-(base-step)) }

// isInService reports whether the replicated state counts the task as in
// service.
func (t *Task) isInService() bool { return t.Placed && t.Ready && !t.Leaving }

// Decide returns the next step of the change, and sets Ready on the tasks that
// are in Plan.Ready. A task in service that no worker reports counts as out of
// service, and so does one that waits for a placement.
func Decide(c *Change) Plan {
	var plan Plan
	serving, reportedServing := 0, 0
	for i := range c.Tasks {
		t := &c.Tasks[i]
		if t.Placed && !t.RunsFormerSpec && !t.Surplus && !t.Leaving && !t.Ready && t.Running >= ReadyAfter {
			t.Ready = true
			plan.Ready = append(plan.Ready, i)
		}
		if t.isInService() {
			serving++
			if t.Reported {
				reportedServing++
			}
		}
	}
	base := min(c.currentTasks(), max(c.Base, serving))
	allowed := AllowedStops(reportedServing, base, c.Step)
	// Surplus tasks keep serving while others are out of service, and are
	// stopped before any others.
	for _, surplus := range []bool{true, false} {
		for i := range c.Tasks {
			t := &c.Tasks[i]
			if t.Surplus == surplus && t.shouldStop(&allowed) {
				plan.Stop = append(plan.Stop, i)
			}
		}
	}
	return plan
}

// currentTasks returns the number of tasks in the current spec.
func (c *Change) currentTasks() int {
	n := 0
	for i := range c.Tasks {
		if !c.Tasks[i].Surplus {
			n++
		}
	}
	return n
}

// shouldStop reports whether the task is to be stopped now. If it is in
// service, it decrements allowed.
func (t *Task) shouldStop(allowed *int) bool {
	if !t.Placed || t.Leaving || !t.RunsFormerSpec && !t.Surplus {
		return false
	}
	if !t.Ready {
		return true
	}
	if !t.Reported || *allowed == 0 {
		return false
	}
	*allowed--
	return true
}
