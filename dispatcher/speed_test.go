package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// useSpeeds gives the workers their speeds in turn.
func (r *rig) useSpeeds(speeds ...float64) {
	for i, w := range r.sortedWorkers() {
		w.speed = speeds[i%len(speeds)]
	}
}

// learnedSpeeds returns the leader's estimates by worker.
func (r *rig) learnedSpeeds() map[modeler.WorkerID]float64 {
	out := make(map[modeler.WorkerID]float64)
	for _, s := range r.leader.Stats(r.now).Speeds {
		out[s.Worker] = s.Speed
	}
	return out
}

// submitMany submits flows of ten tasks, one each 50 ms.
func (r *rig) submitMany(prefix string, count int, work time.Duration) []modeler.FlowID {
	var out []modeler.FlowID
	for i := range count {
		f := flow(modeler.FlowID(fmt.Sprintf("%s%04d", prefix, i)), step(10, 2, work))
		f.Policy.Slowdown, f.Policy.Latency = 2, 500*time.Millisecond
		r.submit(f)
		out = append(out, f.ID)
		r.run(50 * time.Millisecond)
	}
	return out
}

// Guards against speeds that are cut to a range, and against workers of usual speed that
// count as slow or fast. The rig's tasks end on ticks of 10 ms.
func TestLearnedSpeeds(t *testing.T) {
	for _, c := range []struct{ speeds []float64 }{{[]float64{1}}, {[]float64{0.7, 0.7, 1.7}}, {[]float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 0.1}}} {
		r := newRig(t, 31)
		r.addWorkers(30, 8)
		r.useSpeeds(c.speeds...)
		r.run(time.Second)
		r.submitMany("f", 150, 800*time.Millisecond)
		r.run(20 * time.Second)
		speeds := r.learnedSpeeds()
		workers := r.sortedWorkers()
		usual := speeds[workers[0].announcement.ID] / workers[0].speed
		for _, w := range workers {
			got := speeds[w.announcement.ID] / usual
			assert.Check(t, got > w.speed/1.3 && got < w.speed*1.3, "%s of speed %.2f counts as %.2f", w.announcement.ID, w.speed, got)
		}
	}
}

// Guards against workers that are quarantined because they are slower than others of
// the cell, although that is known.
func TestSlowSpeedIsNoFault(t *testing.T) {
	r := newRig(t, 32)
	r.addWorkers(24, 8)
	r.useSpeeds(0.35, 1, 1.7)
	r.run(time.Second)
	r.submitMany("f", 200, 900*time.Millisecond)
	quarantined := 0
	for i := range 100 {
		r.submitMany(fmt.Sprintf("g%02d", i), 1, 900*time.Millisecond)
		quarantined += r.leader.Stats(r.now).Quarantined
	}
	assert.Equal(t, quarantined, 0)
}
