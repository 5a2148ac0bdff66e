package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// endsOnOneWorker returns a rig in which a worker holds the given number of ends as
// done that no leader has read, and lists at most ten of them in one answer. Leaders
// have been absent since before the first end.
func endsOnOneWorker(t *testing.T, ends int) (*rig, *worker) {
	r := newRig(t, uint64(ends))
	r.maxListedEnds = 10
	r.electLeader()
	r.addWorkers(1, 64)
	s := step(ends, 0, time.Second)
	s.Need = modeler.Resources{Processors: 100, Memory: 1 << 20}
	r.submit(flow("f", s))
	r.run(500 * time.Millisecond)
	w := r.workers["w00"]
	assert.Equal(t, len(w.running), ends)
	r.paused = true
	r.run(1500 * time.Millisecond)
	assert.Equal(t, len(w.ended), ends)
	r.paused = false
	r.electLeader()
	return r, w
}

// Guards against a new leader that takes the part of its ends which a worker lists in
// one answer for all of them, and runs tasks again that are done. What comes between
// two parts must not matter: lost answers, a worker that is cut off for a while, another
// new leader.
func TestPartOfEndsIsNotTakenForAll(t *testing.T) {
	disturbances := map[string]func(r *rig, w *worker){
		"none":         func(*rig, *worker) {},
		"lost answers": func(r *rig, _ *worker) { r.faultRates.unanswered = 0.4 },
		"cut off": func(r *rig, w *worker) {
			r.schedule(45*time.Millisecond, func() { w.isolated = true })
			r.schedule(3*time.Second, func() { w.isolated = false })
		},
		"unreachable for longer than its lease": func(r *rig, w *worker) {
			r.schedule(45*time.Millisecond, func() { w.unreachable = true })
			r.schedule(10*time.Second, func() { w.unreachable = false })
		},
		"new leaders": func(r *rig, _ *worker) {
			for i := range 4 {
				r.schedule(time.Duration(40+50*i)*time.Millisecond, r.electLeader)
			}
		},
	}
	for name, disturb := range disturbances {
		for _, ends := range []int{9, 10, 11, 20, 21, 200} {
			t.Run(fmt.Sprint(name, " ", ends), func(t *testing.T) {
				r, w := endsOnOneWorker(t, ends)
				disturb(r, w)
				r.run(20 * time.Second)
				r.faultRates = faultRates{}
				r.run(10 * time.Second)
				assert.Equal(t, r.flowState("f"), modeler.FlowCompleted)
				assert.Equal(t, len(r.startOrder), ends)
				assert.Equal(t, len(w.ended), 0)
			})
		}
	}
}

// Guards against a worker whose further ends are asked for only after the pause of an
// idle worker.
func TestAllPartsOfEndsAreReadSoon(t *testing.T) {
	r, w := endsOnOneWorker(t, 200)
	r.run(1500 * time.Millisecond)
	assert.Equal(t, len(w.ended), 0)
}

// Guards against a restarted worker whose former ends, a part of which was read, are
// taken for ends of its new generation.
func TestWorkerRestartsBetweenPartsOfEnds(t *testing.T) {
	r, w := endsOnOneWorker(t, 40)
	r.expectFaults = true
	r.run(60 * time.Millisecond)
	r.crash(w)
	r.restart(w)
	r.run(20 * time.Second)
	assert.Equal(t, r.flowState("f"), modeler.FlowCompleted)
}
