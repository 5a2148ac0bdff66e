package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/interference"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// newImageRig returns a cell of which tasks of image-0 take twice as long beside image-1.
func newImageRig(t *testing.T, mode interference.Mode) *rig {
	r := newRig(t, 1)
	r.slowdown = func(image, beside modeler.ImageName) float64 {
		if image == "image-0" && beside == "image-1" {
			return 2
		}
		return 1
	}
	r.interference = interference.Modes{interference.AnyService: mode}
	r.electLeader()
	r.addWorkers(12, 16)
	r.run(time.Second)
	return r
}

// submitImages submits steps of images in turn for a time, and returns the mean time of those
// of image-0. The sizes of the inputs are not known beforehand.
func (r *rig) submitImages(seconds int) time.Duration {
	var victims []modeler.FlowID
	for range seconds * 4 {
		n := len(r.flowStart)
		s := step(12, 2, time.Second)
		s.Estimate += time.Duration(n*n%7) * 100 * time.Millisecond
		s.Image = modeler.ImageName(fmt.Sprint("image-", n%4))
		f := flow(modeler.FlowID(fmt.Sprintf("%06d", n)), s)
		r.flowStart[f.ID] = r.now
		r.submit(f)
		if n%4 == 0 {
			victims = append(victims, f.ID)
		}
		r.run(250 * time.Millisecond)
	}
	r.run(4 * time.Second)
	total := time.Duration(0)
	for _, id := range victims {
		total += r.finishedAt[id].Sub(r.flowStart[id])
	}
	return total / time.Duration(len(victims))
}

// Guards against interference that is not seen through the leader's own events, against a
// leader that observes it and changes the placement, and against one that acts without gain.
func TestInterferenceIsObservedAndAvoided(t *testing.T) {
	plain, observing, acting := newImageRig(t, interference.Off), newImageRig(t, interference.Observe), newImageRig(t, interference.Act)
	for _, r := range []*rig{plain, observing, acting} {
		r.submitImages(40)
	}
	assert.Equal(t, plain.leader.Interference(1).Pairs, 0)
	assert.DeepEqual(t, plain.startOrder, observing.startOrder)
	for _, r := range []*rig{observing, acting} {
		stats := r.leader.Stats(r.now).Interference
		assert.Equal(t, stats.Believed, 1, "%+v", stats)
		worst := stats.Worst[0]
		assert.DeepEqual(t, worst.Pair, interference.Pair{Image: "image-0", Beside: "image-1", Size: 4})
		assert.Assert(t, worst.Slowdown > 1.5 && worst.Slowdown < 2.5, "%+v", worst)
	}
	before, after := observing.submitImages(20), acting.submitImages(20)
	t.Logf("mean time of steps that are slowed down: %v when observed, %v when avoided", before, after)
	assert.Assert(t, float64(after) < 0.9*float64(before), "%v and %v", before, after)

	// A new leader starts without pairs.
	acting.electLeader()
	assert.Equal(t, acting.leader.Interference(1).Pairs, 0)
}

// Guards against tasks that count as neighbours of others although they have never begun.
func TestUnbegunTasksAreNoNeighbours(t *testing.T) {
	r := newImageRig(t, interference.Observe)
	r.drops = func(task modeler.FlowTask) bool { return task.Flow[0] == 'x' }
	for i := range 20 {
		for _, name := range []string{"a", "x"} {
			s := step(12, 2, time.Second)
			s.Image = modeler.ImageName("image-" + name)
			r.submit(flow(modeler.FlowID(fmt.Sprintf("%s%02d", name, i)), s))
		}
		r.run(1500 * time.Millisecond)
		r.commit(func() { r.state.Cancel(r.stamp(), modeler.FlowID(fmt.Sprintf("x%02d", i))) })
		r.run(2 * time.Second)
	}
	for _, pair := range r.leader.Interference(100).Worst {
		assert.Check(t, pair.Beside != "image-x", "%v", pair)
	}
}

// Guards against a placement that waits or leaves tasks out because each worker with room has a
// task that disturbs them.
func TestInterferenceDelaysNoTask(t *testing.T) {
	r := newImageRig(t, interference.Act)
	r.submitImages(40)
	assert.Equal(t, r.leader.Interference(0).Believed, 1)
	// Long tasks of image-1 leave room for one task of image-0 on each worker.
	long := step(12, 14, time.Minute)
	long.Image, long.PerWorker = "image-1", 1
	r.submit(flow("long", long))
	r.run(time.Second)
	assert.Equal(t, r.runningTasks("long"), 12)
	s := step(12, 2, time.Second)
	s.Image = "image-0"
	r.submit(flow("victims", s))
	r.run(200 * time.Millisecond)
	assert.Equal(t, r.runningTasks("victims"), 12)
}

// Guards against interference in a service that is switched off beside one that acts.
func TestInterferenceModeIsThatOfTheService(t *testing.T) {
	modes := interference.Modes{"s": interference.Off, "x": interference.Act}
	assert.Equal(t, modes.Of("s"), interference.Off)
	assert.Equal(t, modes.Of("x"), interference.Act)
	assert.Equal(t, modes.Of("y"), interference.Observe)
	r := newRig(t, 1)
	r.interference = modes
	r.electLeader()
	r.addWorkers(12, 16)
	r.run(time.Second)
	r.submitImages(10)
	assert.Equal(t, r.leader.Interference(0).Pairs, 0)
}

// BenchmarkPlaceWithInterference measures turns in which a thousand tasks of many images are
// placed on 350 workers and end, with each mode.
func BenchmarkPlaceWithInterference(b *testing.B) {
	for _, mode := range []interference.Mode{interference.Off, interference.Observe, interference.Act} {
		b.Run(mode.String(), func(b *testing.B) {
			c := &widthCell{now: modeler.ClockReading(time.Hour), state: sequencer.New(), ended: make(map[modeler.WorkerID]modeler.Sequence)}
			var workers []modeler.WorkerAnnouncement
			for i := range 350 {
				workers = append(workers, modeler.WorkerAnnouncement{
					ID: modeler.WorkerID(fmt.Sprint("i-", i)), Generation: 1, Address: fmt.Sprint("w", i, ":1"), Service: "s",
					Capacity: modeler.Resources{Processors: 16_000, Memory: 64 << 30},
				})
			}
			c.state.UpdateWorkers(workers, nil)
			c.state.Changes()
			c.leader = dispatcher.New(c.now, c.stamp(), 1, c.state, dispatcher.Settings{
				MaxLease: lease, MaxStopTime: stopTime, GangTimeout: gangTimeout, MaxTimeOverTarget: 4 * time.Second,
				Interference: interference.Modes{interference.AnyService: mode},
			})
			c.step(modeler.EndDone)
			n := 0
			for b.Loop() {
				for range 20 {
					n++
					s := step(50, 3, time.Second)
					s.Image = modeler.ImageName(fmt.Sprint("image-", n%300))
					f := flow(modeler.FlowID(fmt.Sprint(n)), s)
					f.Policy.Service = "s"
					c.state.Submit(c.stamp(), &f)
				}
				c.leader.ApplyChanges(c.now, c.stamp(), c.state.Changes())
				c.play(1000, modeler.EndDone)
			}
		})
	}
}
