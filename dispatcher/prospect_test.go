package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against a backlog that makes all later flows late. After an outage
// there is more work than the cell can do in time, and steps that are already
// late must not take the resources of flows that arrive afterwards. All flows
// are still completed.
func TestBacklogDoesNotMakeOthersLate(t *testing.T) {
	for _, permits := range []bool{false, true} {
		r := newRig(t, 5)
		r.permits = permits
		r.allowed = func(modeler.StepKey, modeler.WorkerID) bool { return true }
		r.addWorkers(8, 8)
		r.run(2 * time.Second)
		const work = 500 * time.Millisecond
		const objective = 2*work + 250*time.Millisecond
		arrived := make(map[modeler.FlowID]modeler.ClockReading)
		submit := func(kind string, i int) modeler.FlowID {
			f := flow(modeler.FlowID(fmt.Sprintf("%s%03d", kind, i)), step(4, 2, work))
			f.Policy.Slowdown, f.Policy.Latency = 2, 250*time.Millisecond
			arrived[f.ID] = r.now
			r.submit(f)
			return f.ID
		}
		// The cell completes 16 flows a second, so the backlog takes 3 s. That is
		// more than twice the objective.
		var all, later []modeler.FlowID
		for i := range 48 {
			all = append(all, submit("backlog", i))
		}
		r.run(objective)
		// From then on, ten flows are submitted each second.
		for i := range 40 {
			later = append(later, submit("later", i))
			r.run(time.Second / 10)
		}
		r.run(10 * time.Second)
		served := 0
		for _, id := range later {
			if r.finishedAt[id].Sub(arrived[id]) <= objective {
				served++
			}
		}
		for _, id := range append(all, later...) {
			assert.Equal(t, r.flowState(id), modeler.FlowCompleted, "%s", id)
		}
		assert.Check(t, served*10 >= len(later)*9, "permits %v: %d of %d flows after the backlog were in time", permits, served, len(later))
	}
}
