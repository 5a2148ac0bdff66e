package dispatcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a worker over its capacity: a new leader counted nothing for an attempt
// that it found there and whose flow was over, so it did not know what the task needs.
func TestOrphanOfEndedFlowKeepsItsRoom(t *testing.T) {
	for _, small := range []int{0, 3} {
		r := newRig(t, 1)
		r.expectFaults = true
		r.addWorkers(4, 32)
		r.run(time.Second)
		copied := step(1, 30, 3*time.Second)
		copied.AllowCopies = true
		r.submit(flow("copied", copied))
		r.run(time.Second)
		w := r.busiest()
		w.isolated, w.hangs = true, true
		r.run(4500 * time.Millisecond)
		assert.Equal(t, string(r.flowState("copied")), "completed")
		// These run beside the attempt that nobody waits for.
		r.submit(flow("small", step(max(small, 1), 1, 10*time.Second)))
		r.submit(flow("waiting", step(4, 30, time.Second)))
		r.electLeader()
		w.isolated = false
		r.run(50 * time.Millisecond)
		assert.Equal(t, len(w.running) > 0, true)
		r.run(15 * time.Second)
		assert.Equal(t, string(r.flowState("waiting")), "completed")
	}
}
