package dispatcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against tasks that start elsewhere while they run, because an announcement of
// another writer names their worker's address. Only an answer shows who listens there.
func TestForeignAnnouncementEndsNoWorker(t *testing.T) {
	for _, service := range []modeler.ServiceName{"s", "unknown"} {
		for _, newLeader := range []bool{false, true} {
			r := newRig(t, 1)
			r.addWorkers(2, 8)
			lasting := step(4, 2, 100*time.Millisecond)
			lasting.LongRunning = true
			r.submit(flow("f", lasting))
			r.run(2 * time.Second)
			foreign := r.workers["w00"].announcement
			foreign.ID, foreign.Service = "foreign", service
			foreign.Generation++
			r.commit(func() { r.state.UpdateWorkers([]modeler.WorkerAnnouncement{foreign}, nil) })
			if newLeader {
				r.electLeader()
			}
			r.run(10 * time.Second)
			assert.Equal(t, r.countRunning(), 4)
			assert.Equal(t, len(r.startOrder), 4)
			_, known := r.state.Workers()["foreign"]
			assert.Assert(t, !known, "the other writer's worker is kept")
		}
	}
}

// Guards against tasks that wait for the lease of a worker whose address another one has.
func TestWorkerEndsOnceAnotherAnswersAtItsAddress(t *testing.T) {
	for _, reachable := range []bool{false, true} {
		r := newRig(t, 1)
		r.addWorkers(2, 8)
		lasting := step(8, 2, 100*time.Millisecond)
		lasting.LongRunning = true
		r.submit(flow("f", lasting))
		r.run(time.Second)
		w := r.workers["w00"]
		r.crash(w)
		// Without that answer the orders to the former worker get none either.
		w.down, w.isolated = reachable, !reachable
		next := r.addWorker("w02", 8, "r0")
		next.announcement.Address = w.announcement.Address
		r.commitAnnouncement(next)
		r.run(time.Second)
		assert.Equal(t, len(next.running), 4)
		assert.Equal(t, r.countRunning(), 8)
	}
}
