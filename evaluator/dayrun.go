package evaluator

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

// dayTask is a running task of the day.
type dayTask struct {
	at    modeler.Placement
	job   *dayJob
	until int
	begun int
	usage modeler.Resources
	leave bool
}

// dayRun runs a day and measures it.
type dayRun struct {
	chooser
	seconds int
	jobs    map[modeler.JobID]*dayJob
	running []*dayTask
	byID    map[modeler.TaskID]*dayTask
	waits   []float64 // first starts, in seconds
	urgent  []float64
	gangs   []float64
	waiting int
	used    modeler.Resources
	packed  [2]float64 // sums of the used part of processors and memory
	busy    int        // seconds in which something waited
	peak    [2]float64 // the same sums over those seconds
	done    int
}

func (r *dayRun) run(day []*dayJob) {
	r.jobs = map[modeler.JobID]*dayJob{}
	r.byID = map[modeler.TaskID]*dayTask{}
	for second := 0; second < r.seconds || r.waiting > 0 && second < 3*r.seconds; second++ {
		now := modeler.ClockReading(time.Duration(second) * time.Second)
		r.end(now, second)
		for len(day) > 0 && day[0].arrival <= second {
			j := day[0]
			day = day[1:]
			r.jobs[j.ID] = j
			r.waiting += j.Tasks
			r.submit(now, j.Job)
		}
		for _, d := range r.decide(now) {
			r.obey(d, second)
		}
		r.measure(second)
	}
}

func (r *dayRun) end(now modeler.ClockReading, second int) {
	kept := r.running[:0]
	for _, t := range r.running {
		if t.until > second {
			kept = append(kept, t)
			if (second-t.begun)%30 == 29 {
				r.report(now, t.at, t.usage)
			}
			continue
		}
		r.used = r.used.Sub(t.job.Size)
		delete(r.byID, t.at.Task)
		state := modeler.TaskDone
		if t.leave {
			state = modeler.TaskCheckpointed
			r.waiting++
		} else {
			r.done++
		}
		r.chooser.ended(now, t.at, state)
	}
	r.running = kept
}

// obey starts, throttles or checkpoints a task; a checkpoint takes 5 s.
func (r *dayRun) obey(d placer.Decision, second int) {
	id := d.Placement.Task
	switch d.Verb {
	case modeler.StartTask:
		j := r.jobs[id.Job]
		if j.seconds[id.Index] > 0 && d.Placement.Attempt <= 1 {
			r.wait(j, float64(second-j.arrival))
		}
		t := &dayTask{at: d.Placement, job: j, begun: second, until: second + max(1, j.seconds[id.Index]), usage: j.usage}
		r.running = append(r.running, t)
		r.byID[id] = t
		r.used = r.used.Add(j.Size)
		r.waiting--
	case modeler.ThrottleTask:
		if t := r.byID[id]; t != nil {
			t.usage = t.job.Size
		}
	case modeler.CheckpointTask:
		t := r.byID[id]
		if t == nil || t.leave || t.until <= second+5 {
			return
		}
		t.leave = true
		t.job.seconds[id.Index] = t.until - second - 5
		t.until = second + 5
	}
}

func (r *dayRun) wait(j *dayJob, wait float64) {
	switch {
	case j.Kind == modeler.LongRunning:
	case j.Urgent:
		r.urgent = append(r.urgent, wait)
	case j.Kind == modeler.Gang:
		r.gangs = append(r.gangs, wait)
	default:
		r.waits = append(r.waits, wait)
	}
}

func (r *dayRun) measure(second int) {
	if second >= r.seconds {
		return
	}
	capacity := dayCapacity(0).Add(dayCapacity(1)).Times(dayWorkers / 2)
	part := [2]float64{
		float64(r.used.Processors) / float64(capacity.Processors),
		float64(r.used.Memory) / float64(capacity.Memory),
	}
	for i := range part {
		r.packed[i] += part[i]
		if r.waiting > 0 {
			r.peak[i] += part[i]
		}
	}
	if r.waiting > 0 {
		r.busy++
	}
}
