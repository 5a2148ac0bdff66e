package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
)

// lateCell is a cell whose leader takes in fewer events than come, for as long
// as flows arrive.
func lateCell(t *testing.T, seed uint64, rate int) *rig {
	r := newRig(t, seed)
	r.cellOf(24, 16)
	r.run(2 * time.Second)
	r.rate = rate
	for i := range 40 {
		first := step(2+r.random.IntN(12), 1+r.random.IntN(3), time.Duration(100+r.random.IntN(1200))*time.Millisecond)
		second := step(1+r.random.IntN(6), 1+r.random.IntN(3), time.Duration(100+r.random.IntN(1200))*time.Millisecond)
		second.After = []modeler.StepIndex{0}
		r.submit(flow(modeler.FlowID(fmt.Sprintf("f%02d", i)), first, second))
		r.run(150 * time.Millisecond)
	}
	return r
}

// Guards against a leader that takes its own lateness for the silence of its
// workers: the cell's load needs about 20 events in a tick, and no task may run
// twice, none may be started again, and all are done once the load is over, at
// a tenth of that as well.
func TestLateLeaderStaysTruthful(t *testing.T) {
	for _, rate := range []int{2, 3, 5, 8, 20} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d/%d", rate, seed), func(t *testing.T) {
				r := lateCell(t, seed, rate)
				r.run(60 * time.Second)
				for i := range 40 {
					id := modeler.FlowID(fmt.Sprintf("f%02d", i))
					assert.Check(t, r.state1(id) == modeler.FlowCompleted, "%s is %s", id, r.state1(id))
				}
				again := 0
				for task, n := range r.starts {
					if n > 1 {
						again++
						t.Logf("task %v was started %d times", task, n)
					}
				}
				assert.Check(t, again == 0, "%d of %d tasks were started again without a fault", again, len(r.starts))
			})
		}
	}
}

// Guards against a task that is run again although its worker only could not be
// reached: it announces itself, has done the work, and tells so as soon as
// somebody reads its list. A leader that is out of descriptors, or new and
// overloaded, can be without an answer for longer than the lease.
func TestUnreadEndIsNotRunAgain(t *testing.T) {
	r := newRig(t, 1)
	r.cellOf(3, 8)
	r.submit(flow("f", step(6, 2, 3*time.Second)))
	r.run(time.Second)
	r.lead()
	for _, w := range r.workers {
		w.unreachable = true
	}
	r.run(9 * time.Second)
	for _, w := range r.workers {
		w.unreachable = false
	}
	r.run(10 * time.Second)
	assert.Equal(t, r.state1("f"), modeler.FlowCompleted)
	for task, n := range r.starts {
		assert.Check(t, n == 1, "task %v was started %d times", task, n)
	}
}

// Guards against work that is done and run again because its worker, which
// could not be reached for much longer than its lease, tells so while the next
// attempt is being committed: nothing of that attempt has left the leader yet.
func TestDoneWhileNextAttemptIsCommitted(t *testing.T) {
	seen := false
	for back := 18 * time.Second; back < 28*time.Second; back += 250 * time.Millisecond {
		r := newRig(t, 1)
		r.cellOf(3, 8)
		r.submit(flow("f", step(1, 2, 3*time.Second)))
		r.run(time.Second)
		r.commitTime = 2 * time.Second
		task := modeler.FlowTask{Flow: "f"}
		for _, w := range r.workers {
			w.unreachable = len(w.running) > 0
		}
		r.run(back)
		for _, w := range r.workers {
			w.unreachable = false
		}
		r.run(300 * time.Millisecond)
		before := r.starts[task]
		r.run(20 * time.Second)
		assert.Equal(t, r.state1("f"), modeler.FlowCompleted)
		if before == 1 {
			assert.Check(t, r.starts[task] == 1, "back after %v: started %d times", back, r.starts[task])
		}
		seen = seen || before > 1
	}
	assert.Assert(t, seen, "no worker was out of reach for long enough to be given up")
}

// behind returns how long the oldest event waits.
func (r *rig) behind() time.Duration {
	if len(r.inbox) == 0 {
		return 0
	}
	return r.now.Sub(r.inbox[0].at)
}

// overloaded plays flows that come faster than the leader can take in what they
// bring, and returns how long the accepted ones waited for their first start,
// and how many were refused.
func overloaded(t *testing.T, refuses bool) (longest time.Duration, refused int) {
	r := newRig(t, 1)
	r.cellOf(24, 32)
	r.run(2 * time.Second)
	r.rate = 2
	var overload dispatcher.Overload
	arrived := make(map[modeler.FlowID]modeler.ClockReading)
	for i := range 400 {
		id := modeler.FlowID(fmt.Sprintf("f%03d", i))
		if overload.Note(r.behind()) && refuses {
			refused++
		} else {
			arrived[id] = r.now
			r.submit(flow(id, step(8, 1, 300*time.Millisecond)))
		}
		r.run(30 * time.Millisecond)
	}
	r.run(2 * time.Minute)
	for id, at := range arrived {
		assert.Equal(t, r.state1(id), modeler.FlowCompleted)
		longest = max(longest, r.first[id].Sub(at))
	}
	assert.Assert(t, !overload.Note(r.behind()), "flows are refused after the load is over")
	return longest, refused
}

// Guards against a leader that accepts what it can't begin while callers wait:
// they try for three seconds, and what is refused at once they can hand in
// again. Without refusals accepted flows wait for longer than that.
func TestOverloadedLeaderRefuses(t *testing.T) {
	const callersTry = 3 * time.Second
	longest, refused := overloaded(t, true)
	assert.Check(t, longest < callersTry, "an accepted flow waited %v", longest)
	assert.Check(t, refused > 0 && refused < 400, "%d of 400 flows were refused", refused)
	unbounded, _ := overloaded(t, false)
	assert.Check(t, unbounded > callersTry, "the load needs no refusals: %v", unbounded)
}

// Guards against refusals that come and go with each event.
func TestOverloadEndsLate(t *testing.T) {
	var o dispatcher.Overload
	for _, c := range []struct {
		behind  time.Duration
		refuses bool
	}{
		{0, false},
		{900 * time.Millisecond, false},
		{1100 * time.Millisecond, true},
		{500 * time.Millisecond, true},
		{200 * time.Millisecond, false},
		{500 * time.Millisecond, false},
	} {
		assert.Equal(t, o.Note(c.behind), c.refuses, "behind %v", c.behind)
	}
}
