package evaluator

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

// dayTask is a running task of a simulated day.
type dayTask struct {
	placement       modeler.Placement
	job             *dayJob
	endSecond       int
	startSecond     int
	usage           modeler.Resources
	isCheckpointing bool
}

// dayRun simulates a day with one chooser and collects its measurements.
type dayRun struct {
	chooser
	seconds              int
	jobs                 map[modeler.JobID]*dayJob
	running              []*dayTask
	byID                 map[modeler.TaskID]*dayTask
	batchWaits           []float64 // from arrival to first start, in seconds
	urgentWaits          []float64
	gangWaits            []float64
	waitingTasks         int
	used                 modeler.Resources
	usedSums             [2]float64 // per-second sums of the used shares of processors and memory
	secondsWithWaiting   int        // seconds in which tasks waited
	usedSumsWhileWaiting [2]float64 // the same sums over those seconds
	endedTasks           int
}

func (r *dayRun) run(day []*dayJob) {
	r.jobs = map[modeler.JobID]*dayJob{}
	r.byID = map[modeler.TaskID]*dayTask{}
	for second := 0; second < r.seconds || r.waitingTasks > 0 && second < 3*r.seconds; second++ {
		now := modeler.ClockReading(time.Duration(second) * time.Second)
		r.endDueTasks(now, second)
		for len(day) > 0 && day[0].arrival <= second {
			j := day[0]
			day = day[1:]
			r.jobs[j.ID] = j
			r.waitingTasks += j.Tasks
			r.submit(now, j.Job)
		}
		for _, d := range r.decide(now) {
			r.applyDecision(d, second)
		}
		r.recordUsage(second)
	}
}

func (r *dayRun) endDueTasks(now modeler.ClockReading, second int) {
	kept := r.running[:0]
	for _, t := range r.running {
		if t.endSecond > second {
			kept = append(kept, t)
			if (second-t.startSecond)%30 == 29 {
				r.report(now, t.placement, t.usage)
			}
			continue
		}
		r.used = r.used.Sub(t.job.Size)
		delete(r.byID, t.placement.Task)
		state := modeler.TaskDone
		if t.isCheckpointing {
			state = modeler.TaskCheckpointed
			r.waitingTasks++
		} else {
			r.endedTasks++
		}
		r.chooser.ended(now, t.placement, state)
	}
	r.running = kept
}

// applyDecision starts, throttles or checkpoints a task; a checkpoint takes 5 s.
func (r *dayRun) applyDecision(d placer.Decision, second int) {
	id := d.Placement.Task
	switch d.Verb {
	case modeler.StartTask:
		j := r.jobs[id.Job]
		if j.taskSeconds[id.Index] > 0 && d.Placement.Attempt <= 1 {
			r.wait(j, float64(second-j.arrival))
		}
		t := &dayTask{placement: d.Placement, job: j, startSecond: second, endSecond: second + max(1, j.taskSeconds[id.Index]), usage: j.usage}
		r.running = append(r.running, t)
		r.byID[id] = t
		r.used = r.used.Add(j.Size)
		r.waitingTasks--
	case modeler.ThrottleTask:
		if t := r.byID[id]; t != nil {
			t.usage = t.job.Size
		}
	case modeler.CheckpointTask:
		t := r.byID[id]
		if t == nil || t.isCheckpointing || t.endSecond <= second+5 {
			return
		}
		t.isCheckpointing = true
		t.job.taskSeconds[id.Index] = t.endSecond - second - 5
		t.endSecond = second + 5
	}
}

// wait records a job's wait under its kind; long-running jobs aren't counted.
func (r *dayRun) wait(j *dayJob, wait float64) {
	switch {
	case j.Kind == modeler.LongRunning:
	case j.Urgent:
		r.urgentWaits = append(r.urgentWaits, wait)
	case j.Kind == modeler.Gang:
		r.gangWaits = append(r.gangWaits, wait)
	default:
		r.batchWaits = append(r.batchWaits, wait)
	}
}

func (r *dayRun) recordUsage(second int) {
	if second >= r.seconds {
		return
	}
	capacity := dayCapacity(0).Add(dayCapacity(1)).Times(dayWorkers / 2)
	part := [2]float64{
		float64(r.used.Processors) / float64(capacity.Processors),
		float64(r.used.Memory) / float64(capacity.Memory),
	}
	for i := range part {
		r.usedSums[i] += part[i]
		if r.waitingTasks > 0 {
			r.usedSumsWhileWaiting[i] += part[i]
		}
	}
	if r.waitingTasks > 0 {
		r.secondsWithWaiting++
	}
}
