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

// Guards against tasks that start elsewhere while they run, because an announcement of
// another writer names their worker's id and a later start, for any service and address. The
// worker is used as before.
func TestForeignAnnouncementUnderTheIDOfAWorker(t *testing.T) {
	for _, service := range []modeler.ServiceName{"s", "unknown"} {
		for _, address := range []string{"w00:1", "w01:1", "nobody:1"} {
			for _, newLeader := range []bool{false, true} {
				r := newRig(t, 1)
				r.confirms, r.checks = true, true
				r.commit(func() {
					r.state.SetLayout(&modeler.Layout{Number: 1, Services: []modeler.ServiceName{"s"}})
				})
				r.addWorkers(2, 8)
				lasting := step(4, 2, 100*time.Millisecond)
				lasting.LongRunning = true
				r.submit(flow("f", lasting))
				r.run(2 * time.Second)
				for _, id := range []modeler.WorkerID{"w00", "w01"} {
					foreign := r.workers[id].announcement
					foreign.Service, foreign.Address, foreign.Generation = service, address, modeler.Generation(r.now)
					r.announce(foreign)
				}
				stranger := r.workers["w00"].announcement
				stranger.ID, stranger.Service = "w09", service
				r.announce(stranger)
				_, known := r.state.Workers()["w09"]
				assert.Equal(t, known, service == "s", "a worker of service %s", service)
				if newLeader {
					r.electLeader()
				}
				clear(r.sentRenewals)
				r.run(10 * time.Second)
				delete(r.sentRenewals, "w09")
				assert.Equal(t, r.countRunning(), 4)
				assert.Equal(t, len(r.startOrder), 4)
				for id, n := range r.sentRenewals {
					assert.Check(t, n < 150, "%s has got %d renewals in 10 s", id, n)
				}
				r.submit(flow("g", step(4, 2, time.Second)))
				r.run(1500 * time.Millisecond)
				assert.Equal(t, r.flowState("g"), modeler.FlowCompleted)
			}
		}
	}
}

// Guards against an announcement that is taken for one of another writer although its worker
// has restarted, at the same address or another one, or its service left the layout.
func TestRestartedWorkerIsUsedOnceItAnswers(t *testing.T) {
	for _, address := range []string{"w00:1", "w00:2"} {
		r := newRig(t, 1)
		r.confirms, r.checks = true, true
		r.addWorkers(1, 8)
		r.commit(func() { r.state.SetLayout(&modeler.Layout{Number: 1, Services: []modeler.ServiceName{"other"}}) })
		r.submit(flow("f", step(4, 2, time.Second)))
		r.run(500 * time.Millisecond)
		w := r.workers["w00"]
		r.crash(w)
		r.run(time.Second)
		r.beginGeneration(w)
		w.announcement.Address = address
		w.announced = w.announcement.Generation
		r.announce(w.announcement)
		r.run(50 * time.Millisecond)
		assert.Equal(t, r.state.Workers()["w00"].Generation, w.announcement.Generation)
		r.run(1500 * time.Millisecond)
		assert.Equal(t, r.flowState("f"), modeler.FlowCompleted)
	}
}

// Guards against a worker that gets renewals without a pause and is never used again, because
// a generation that never was is recorded for it.
func TestWorkerOfEarlierGenerationIsUsedAgain(t *testing.T) {
	r := newRig(t, 1)
	r.confirms = true
	r.addWorkers(2, 8)
	r.run(time.Second)
	w := r.workers["w00"]
	foreign := w.announcement
	foreign.Generation = modeler.Generation(r.now)
	r.commit(func() { r.state.UpdateWorkers([]modeler.WorkerAnnouncement{foreign}, nil) })
	clear(r.sentRenewals)
	r.run(time.Second)
	assert.Check(t, r.sentRenewals["w00"] < 15, "%d renewals in 1 s", r.sentRenewals["w00"])
	r.run(15 * time.Second)
	assert.Equal(t, r.state.Workers()["w00"].Generation, w.announcement.Generation)
	r.submit(flow("f", step(8, 2, time.Second)))
	r.run(500 * time.Millisecond)
	assert.Equal(t, len(w.running), 4)
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
