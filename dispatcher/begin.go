package dispatcher

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// beginRetryInterval is the time between two attempts to record that a flow has begun.
const beginRetryInterval = time.Second

// noteBeginning notes that a worker has begun an attempt. It is recorded once for each flow:
// callers see the flow as running from then on, also through later leaders and if its worker
// is lost.
func (d *Dispatcher) noteBeginning(task modeler.FlowTask, attempt modeler.Attempt, worker modeler.WorkerID) {
	f, found := d.state.Flow(task.Flow)
	if !found || f.State != modeler.FlowPending {
		return
	}
	if _, known := d.begun[task.Flow]; known {
		return
	}
	d.begun[task.Flow] = 0
	d.logTask("flow has begun", task, attempt, worker, "age", time.Duration(d.stamp-f.ArrivedAt)*time.Millisecond)
}

// recordBegun lists the flows that have begun and are still pending in the replicated state,
// to be recorded.
func (d *Dispatcher) recordBegun(now modeler.ClockReading) {
	for id, listedAt := range d.begun {
		if f, found := d.state.Flow(id); !found || f.State != modeler.FlowPending {
			delete(d.begun, id)
			continue
		}
		if listedAt == 0 || now.Sub(listedAt) >= beginRetryInterval {
			d.begun[id] = now
			d.out.Begun = append(d.out.Begun, id)
		}
	}
	slices.Sort(d.out.Begun)
}

// countUnbegun returns the number of flows with an attempt that may run of which none is
// known to have begun.
func (d *Dispatcher) countUnbegun() int {
	n := 0
	for _, fl := range d.flowUnits {
		if fl.flow.State == modeler.FlowPending && fl.flow.OccupiedTasks > 0 {
			n++
		}
	}
	return n
}
