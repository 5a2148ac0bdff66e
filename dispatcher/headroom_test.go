package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
)

// crowd is a full cell on which the outside policy answers at once, so that less urgent
// work takes all room as it becomes free.
type crowd struct {
	*rig
	// arrived holds when each urgent flow was submitted.
	arrived map[modeler.FlowID]modeler.ClockReading
	reports int
	// width is the number of tasks of an urgent flow.
	width int
}

func newCrowd(t *testing.T, disabled ...dispatcher.Decision) *crowd {
	c := &crowd{rig: newRig(t, 11), arrived: make(map[modeler.FlowID]modeler.ClockReading), width: 4}
	c.disabled = make(map[dispatcher.Decision]bool)
	for _, x := range disabled {
		c.disabled[x] = true
	}
	c.electLeader()
	c.addWorkers(16, 16)
	c.run(2 * time.Second)
	return c
}

func (c *crowd) add(f modeler.Flow, priority int, latency time.Duration) {
	f.Queue = modeler.QueueID(fmt.Sprint(priority))
	f.Policy.Priority, f.Policy.Slowdown, f.Policy.Latency = priority, 1.5, latency
	f.Policy.Permits = &modeler.PermitPolicy{Decision: 5 * time.Millisecond, Worker: 50 * time.Microsecond, Validity: 2500 * time.Millisecond}
	c.submit(f)
}

// fill submits two report flows of tasks that can't be preempted, which take twice the
// cell, and runs on.
func (c *crowd) fill(d time.Duration, urgent bool) {
	for i := range int(d / (200 * time.Millisecond)) {
		if i%10 == 0 {
			c.reports++
			c.add(flow(modeler.FlowID(fmt.Sprintf("report%03d", c.reports)), step(70, 4, 4*time.Second)), 2, time.Minute)
		}
		if urgent {
			id := modeler.FlowID(fmt.Sprintf("urgent%03d", len(c.arrived)))
			c.arrived[id] = c.now
			c.add(flow(id, step(c.width, 4, 400*time.Millisecond)), 0, 250*time.Millisecond)
		}
		c.run(200 * time.Millisecond)
	}
}

// meanWait returns how long the urgent flows that arrived after a time waited.
func (c *crowd) meanWait(after modeler.ClockReading) time.Duration {
	sum, count := time.Duration(0), 0
	for id, at := range c.arrived {
		if at < after {
			continue
		}
		began, known := c.flowStart[id]
		if !known {
			began = c.now
		}
		sum += began.Sub(at)
		count++
	}
	return sum / time.Duration(count)
}

// usedCores returns the processors of the tasks that run.
func (c *crowd) usedCores() modeler.Millicores {
	sum := modeler.Millicores(0)
	for _, w := range c.workers {
		for _, task := range w.running {
			sum += task.need.Processors
		}
	}
	return sum
}

// Guards against urgent flows that wait for tasks that can't be preempted to end, against
// room that is kept although nothing urgent runs, and against room that stays empty after
// the urgent work has stopped.
func TestHeadroomServesUrgentWork(t *testing.T) {
	const all = 16 * 16_000
	var waits []time.Duration
	for _, disabled := range [][]dispatcher.Decision{nil, {dispatcher.Headroom}} {
		c := newCrowd(t, disabled...)
		c.fill(3*time.Second, false)
		assert.Equal(t, c.usedCores(), modeler.Millicores(all), "nothing is kept without urgent work")
		c.fill(8*time.Second, true)
		after := c.now
		c.fill(12*time.Second, true)
		waits = append(waits, c.meanWait(after))
		c.fill(3*time.Second, false)
		assert.Equal(t, c.usedCores(), modeler.Millicores(all), "the room is used again")
	}
	assert.Check(t, waits[0] < 100*time.Millisecond, "urgent flows waited %v", waits[0])
	assert.Check(t, waits[1] > 2*waits[0], "urgent flows waited %v with and %v without headroom", waits[0], waits[1])
}

// Guards against long-running tasks that wait as long as urgent work goes on.
func TestHeadroomDelaysLongRunningTasksBriefly(t *testing.T) {
	for _, lag := range []time.Duration{0, 100 * time.Millisecond} {
		c := newCrowd(t)
		c.lag, c.width = lag, 16
		c.fill(10*time.Second, true)
		s := step(4, 4, 0)
		s.LongRunning = true
		at := c.now
		c.add(flow("service", s), 1, 6*time.Second)
		c.fill(10*time.Second, true)
		for i := range 4 {
			task := modeler.FlowTask{Flow: "service", Index: modeler.TaskIndex(i)}
			began, known := c.taskStart[task]
			assert.Check(t, known && began.Sub(at) <= 6*time.Second, "lag %v: %v started after %v", lag, task, began.Sub(at))
		}
	}
}

// Guards against a leader that is behind and starts less urgent tasks, whose messages delay
// those of urgent ones, and against less urgent work that stays out after that.
func TestLaggingLeaderServesUrgentWorkFirst(t *testing.T) {
	c := newCrowd(t)
	c.fill(2*time.Second, true)
	c.lag = 100 * time.Millisecond
	c.run(100 * time.Millisecond)
	reports := func() int {
		count := 0
		for task := range c.taskStart {
			if task.Flow[0] == 'r' {
				count++
			}
		}
		return count
	}
	before, requests, urgent := reports(), len(c.asked), len(c.arrived)
	c.fill(6*time.Second, true)
	assert.Check(t, reports() <= before+4, "%d tasks of reports started", reports()-before)
	for _, ask := range c.asked[requests:] {
		assert.Check(t, ask.Step.Flow[0] == 'u', "%s asked", ask.Step.Flow)
	}
	assert.Check(t, len(c.flowStart) > urgent)
	c.lag = 0
	c.fill(2*time.Second, true)
	assert.Check(t, reports() > before+10, "reports start once the leader has caught up")
}

// Guards against tasks that never start on workers too small for the urgent tasks, as long
// as these lack room elsewhere.
func TestHeadroomIsNotKeptOnWorkersTooSmallForIt(t *testing.T) {
	c := newCrowd(t)
	small := c.addWorker("small", 2, "r")
	for i := range 40 {
		id := modeler.FlowID(fmt.Sprintf("urgent%03d", i))
		c.add(flow(id, step(40, 8, time.Second)), 0, 250*time.Millisecond)
		if i == 20 {
			c.add(flow("report", step(1, 2, time.Minute)), 2, time.Minute)
		}
		c.run(200 * time.Millisecond)
	}
	assert.Equal(t, len(small.running), 1)
}
