package dispatcher_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// Guards against a leader that panics when one log entry holds the end of a task's copy
// and the last allowed failure of another task of the same flow.
func TestCopyFailsInTheEntryThatEndsItsFlow(t *testing.T) {
	for _, count := range []int{2, 3} {
		for overdue := range count {
			r := newOverdueRig(t, 7)
			r.delay = func(task modeler.FlowTask, _ modeler.Attempt) int {
				if task.Flow == "f" && int(task.Index) == overdue {
					return 7
				}
				return 3
			}
			r.fails = func(task modeler.FlowTask, attempt modeler.Attempt) bool {
				return task.Flow == "f" && int(task.Index) != overdue && attempt == 1
			}
			// The second attempts of all tasks run on the one worker that has room.
			full := step(10, 16, time.Hour)
			full.PerWorker = 1
			r.submit(flow("full", full))
			r.run(100 * time.Millisecond)
			f := flow("f", copyableStep(count, 16/count, time.Second))
			f.Policy.Attempts = 2
			r.submit(f)
			copied := modeler.FlowTask{Flow: "f", Index: modeler.TaskIndex(overdue)}
			for range 600 {
				if r.starts[copied] == 2 {
					break
				}
				r.run(tick)
			}
			assert.Equal(t, r.starts[copied], 2)
			for _, w := range r.workers {
				if j := w.running[copied]; j != nil && j.attempt == 2 {
					assert.Equal(t, len(w.running), count)
					w.failsTasks = true
				}
			}
			r.run(time.Second)
			assert.Equal(t, r.flowState("f"), modeler.FlowFailed)
		}
	}
}

// Guards against an unnamed worker that stays among the known ones, because an entry that
// announces a worker also holds its departure.
func TestWorkerDepartsInTheEntryThatAnnouncesIt(t *testing.T) {
	r := newRig(t, 1)
	r.addWorkers(1, 8)
	r.run(time.Second)
	for _, id := range []modeler.WorkerID{"w00", "w01"} {
		announcement := modeler.WorkerAnnouncement{ID: id, Generation: modeler.Generation(r.now), Address: string(id) + ":2", Service: "s"}
		r.commit(func() {
			r.state.UpdateWorkers([]modeler.WorkerAnnouncement{announcement}, []modeler.WorkerDeparture{{Worker: id}})
		})
	}
	assert.Equal(t, r.leader.Stats(r.now).Workers, 0)
}

// Guards against a handler that can't bear a state which further ends of the same log
// entry have changed: all attempts of a worker fail at once, flows are cancelled, and the
// ends of several answers share an entry in any order. Guards against flows that are shown
// as running before a worker has begun them, as starts never arrive at workers that are lost,
// and against announcements of other writers that end a worker.
// Seeds 165 and 240: the leader panicked.
func TestRandomEntries(t *testing.T) {
	seeds := []uint64{165, 240}
	for seed := range uint64(*entrySeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomEntries(t, seed) })
	}
}

var entrySeeds = flag.Int("entries", 150, "the seeds that TestRandomEntries plays")

func randomEntries(t *testing.T, seed uint64) {
	r := newRig(t, seed)
	r.sharesEntries, r.checks, r.expectFaults = true, true, true
	r.maxListedEnds = int(seed % 3)
	r.confirms = seed%3 > 0
	r.electLeader()
	r.addWorkers(6, 16)
	r.run(time.Second)
	r.submitMany("usual", 15, time.Second)
	r.run(4 * time.Second)
	lasting := step(4, 1, 200*time.Millisecond)
	lasting.LongRunning = true
	r.submit(flow("lasting", lasting))
	if seed%2 == 0 {
		r.faultRates = faultRates{unanswered: 0.05, unsent: 0.02}
	}
	// In each step the first attempt of one task takes long, and that of another fails.
	r.delay = func(task modeler.FlowTask, attempt modeler.Attempt) int {
		if attempt == 1 && int(task.Index) == len(task.Flow)%3 {
			return 7
		}
		return 1
	}
	r.fails = func(task modeler.FlowTask, attempt modeler.Attempt) bool {
		return attempt == 1 && int(task.Index) == (len(task.Flow)+1)%3 && r.random.IntN(40) == 0 || r.random.IntN(2000) == 0
	}
	const flows = 30
	for i := range flows {
		f := flow(modeler.FlowID(fmt.Sprintf("f%0*d", 1+i%3, i)), r.randomStep(), r.randomStep())
		f.Steps[1].After = []modeler.StepIndex{0}
		f.Policy.Attempts = 1 + r.random.IntN(3)
		if r.random.IntN(4) == 0 {
			f.Occurrences, f.Start, f.Interval = 3, r.stamp(), 500*time.Millisecond
		}
		if r.random.IntN(2) == 0 && len(r.state.Layout().Accounts) > 0 {
			f.Team = "a"
		}
		r.submit(f)
		for range 4 {
			r.run(time.Duration(r.random.IntN(100)) * time.Millisecond)
			if r.random.IntN(3) == 0 {
				r.failAllFor(time.Duration(50+r.random.IntN(200)) * time.Millisecond)
			}
		}
		switch r.random.IntN(12) {
		case 0, 1:
			r.injectFault()
		case 2:
			r.injectReturn()
		case 3:
			r.setAccounts(account("a", 8+r.random.IntN(80)))
		case 4:
			r.loseWorker()
		case 5:
			r.announceForeign()
		case 6:
			// Commits take long for a while.
			r.commitTime = time.Duration(r.random.IntN(4000)) * time.Millisecond
			r.schedule(r.commitTime, func() { r.commitTime = 10 * time.Millisecond })
		}
		if r.random.IntN(5) == 0 {
			r.commit(func() { r.state.Cancel(r.stamp(), f.ID) })
		}
	}
	r.run(20 * time.Second)
	for _, w := range r.workers {
		if w.down {
			w.announcement.Leaving, w.announcement.Remaining = false, 0
			r.restart(w)
		}
		w.isolated, w.failsTasks = false, false
	}
	r.setAccounts(account("a", 96))
	r.faultRates = faultRates{}
	r.run(5 * time.Second)
	r.state.ForEachFlow(func(f *sequencer.Flow) {
		_, hasBegun := r.flowStart[f.Spec.ID]
		assert.Check(t, !hasBegun || f.State != modeler.FlowPending, "%s is pending, a worker has begun it", f.Spec.ID)
	})
	r.run(35 * time.Second)
	for id, state := range r.states() {
		assert.Check(t, id == "lasting" || state != modeler.FlowPending && state != modeler.FlowRunning, "%s is %s", id, state)
	}
	assert.Check(t, r.countRunning() == lasting.Count, "%d tasks run, of %d that last", r.countRunning(), lasting.Count)
}

// randomStep returns a step of any kind.
func (r *rig) randomStep() modeler.Step {
	s := step(1+r.random.IntN(4), 1+r.random.IntN(4), time.Duration(200+r.random.IntN(1000))*time.Millisecond)
	s.AllowCopies = r.random.IntN(3) > 0
	s.Gang = r.random.IntN(5) == 0
	s.Checkpoints = r.random.IntN(3) == 0
	s.DisruptionBudget = r.random.IntN(3)
	return s
}

// failAllFor lets a random worker fail all that it runs for some time, if there is one
// mostly one with further attempts of several tasks.
func (r *rig) failAllFor(d time.Duration) {
	w := r.workers[modeler.WorkerID(fmt.Sprintf("w%02d", r.random.IntN(6)))]
	for _, other := range r.sortedWorkers() {
		if other.furtherAttempts() > max(w.furtherAttempts(), 1) && r.random.IntN(4) > 0 {
			w = other
		}
	}
	w.failsTasks = true
	r.schedule(d, func() { w.failsTasks = false })
}

// loseWorker cuts a random worker off for longer than its lease, so that starts that were
// sent to it never arrive. Then it comes back, or another one in its place.
func (r *rig) loseWorker() {
	w := r.workers[modeler.WorkerID(fmt.Sprintf("w%02d", r.random.IntN(6)))]
	if w.down || w.isolated {
		return
	}
	w.isolated = true
	generation := w.announcement.Generation
	r.schedule(lease+time.Duration(r.random.IntN(8))*time.Second, func() {
		if w.down || w.announcement.Generation != generation {
			return
		}
		if r.random.IntN(2) == 0 {
			r.crash(w)
			r.restart(w)
		}
		w.isolated = false
	})
}

// announceForeign sends an announcement of another writer under the id of a random worker,
// with a later start, and the address of that worker, of another one or of nobody.
func (r *rig) announceForeign() {
	m := r.workers[modeler.WorkerID(fmt.Sprintf("w%02d", r.random.IntN(6)))].announcement
	m.Generation = modeler.Generation(r.now)
	m.Address = []string{m.Address, "w00:1", "nobody:1"}[r.random.IntN(3)]
	m.Service = []modeler.ServiceName{"s", "unknown"}[r.random.IntN(2)]
	if r.confirms {
		r.announce(m)
	}
}

// states returns the states of all flows.
func (r *rig) states() map[modeler.FlowID]modeler.FlowState {
	out := make(map[modeler.FlowID]modeler.FlowState)
	r.state.ForEachFlow(func(f *sequencer.Flow) { out[f.Spec.ID] = f.State })
	return out
}

// furtherAttempts counts the attempts on a worker that are not the first ones of their task.
func (w *worker) furtherAttempts() int {
	n := 0
	for _, j := range w.running {
		if j.attempt > 1 {
			n++
		}
	}
	return n
}
