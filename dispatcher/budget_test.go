package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against backfill of which more tasks are stopped at the same time, beside serving
// tasks over their latency target, than its disruption budget allows.
func TestDisruptionBudgetOfBackfill(t *testing.T) {
	const workers = 4
	for budget := 1; budget < workers; budget++ {
		t.Run(fmt.Sprint(budget), func(t *testing.T) {
			r := newRig(t, uint64(budget))
			r.addWorkers(workers, 8)
			serving := step(workers, 4, 200*time.Millisecond)
			serving.LongRunning, serving.PerWorker, serving.LatencyTarget = true, 1, 200*time.Millisecond
			r.submit(flow("serving", serving))
			filling := step(workers, 2, 500*time.Millisecond)
			filling.LongRunning, filling.Backfill, filling.PerWorker, filling.DisruptionBudget = true, true, 1, budget
			r.submit(flow("filling", filling))
			r.run(3 * time.Second)
			assert.Equal(t, r.runningTasks("filling"), workers)
			fewest, paced := workers, 0
			for range 800 {
				for _, w := range r.workers {
					for task, j := range w.running {
						if task.Flow == "serving" {
							j.load = 260
						}
					}
				}
				r.step()
				fewest = min(fewest, r.atWork("filling"))
				paced = max(paced, r.standing("filling"))
			}
			assert.Check(t, fewest >= workers-budget, "%d of %d tasks were at work", fewest, workers)
			assert.Check(t, paced >= workers-budget, "%d tasks stood still beside the serving ones", paced)
		})
	}
}

// atWork returns how many tasks of a flow that lasts are at work.
func (r *rig) atWork(id modeler.FlowID) int {
	n := 0
	for _, w := range r.workers {
		for task, j := range w.running {
			if task.Flow == id && j.done >= j.work {
				n++
			}
		}
	}
	return n
}

// standing returns how many tasks of a flow are throttled to a standstill.
func (r *rig) standing(id modeler.FlowID) int {
	n := 0
	for _, w := range r.workers {
		for task, j := range w.running {
			if task.Flow == id && j.share == 0 {
				n++
			}
		}
	}
	return n
}
