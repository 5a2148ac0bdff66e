package dispatcher_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// injectReturn ends a generation of a random worker, as planned or by a crash, and
// starts the next one under the same id after 0.5 to 20 s.
func (r *rig) injectReturn() {
	w := r.workers[modeler.WorkerID(fmt.Sprintf("w%02d", r.random.IntN(6)))]
	if w.down || w.announcement.Leaving {
		return
	}
	generation := w.announcement.Generation
	away := 500*time.Millisecond + time.Duration(r.random.Int64N(int64(19500*time.Millisecond)))
	if r.random.IntN(2) == 0 {
		away = time.Duration(r.random.Int64N(int64(time.Second)))
	}
	end := func() {
		if w.down || w.announcement.Generation != generation {
			return
		}
		r.crash(w)
		r.schedule(away, func() {
			if w.down && w.announcement.Generation == generation {
				w.announcement.Leaving, w.announcement.Remaining = false, 0
				r.restart(w)
			}
		})
	}
	if r.random.IntN(2) == 0 {
		end()
		return
	}
	w.announcement.Leaving, w.announcement.Remaining = true, 2*time.Second
	r.commitAnnouncement(w)
	// The worker may crash while it drains.
	r.schedule(time.Duration(r.random.IntN(3000))*time.Millisecond, func() {
		if r.random.IntN(2) == 0 && !w.down && w.announcement.Generation == generation {
			r.commit(func() { r.state.RecordDepartures(r.stamp(), []modeler.WorkerID{w.announcement.ID}) })
		}
		end()
	})
}

// Guards against the failures of TestRandomFaults where workers leave or crash and come
// back under their id, and orders to an earlier generation arrive late at a later one.
func TestRandomReturns(t *testing.T) {
	for seed := range uint64(*returnSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomReturns(t, seed, nil) })
	}
}

var returnSeeds = flag.Int("returns", 120, "the seeds that TestRandomReturns plays")

// Guards against the failures of TestRandomReturns where flows belong to accounts with
// quotas, which change and are removed: no start may exceed a quota, and no attempt may
// stay counted after its end.
func TestRandomAccounts(t *testing.T) {
	for seed := range uint64(*accountSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomReturns(t, seed, rand.New(rand.NewPCG(seed, 1))) })
	}
}

var accountSeeds = flag.Int("accounts", 80, "the seeds that TestRandomAccounts plays")

// drawAccounts puts accounts with random quotas in force. One of them may be missing,
// which removes it.
func (r *rig) drawAccounts(draw *rand.Rand) {
	var accounts []modeler.Account
	for _, name := range []modeler.TeamName{"a", "b"} {
		if draw.IntN(5) > 0 {
			accounts = append(accounts, account(name, 4+draw.IntN(16)))
		}
	}
	r.setAccounts(accounts...)
}

// randomReturns plays a history; its flows belong to accounts if draw is not nil.
func randomReturns(t *testing.T, seed uint64, draw *rand.Rand) {
	r := newRig(t, seed)
	r.expectFaults, r.lateOrdersSurviveRestart, r.checks = true, true, true
	r.eventsPerTick = int(seed % 3)
	r.maxListedEnds = int(seed / 3 % 4)
	r.electLeader()
	r.permits = seed%5 == 0
	copies := seed%4 == 1
	r.addWorkers(6, 8)
	for _, w := range r.workers {
		// The first generations have been up for a while.
		w.startedAt = w.startedAt.Add(-time.Duration(r.random.IntN(1800)) * time.Second)
	}
	r.run(time.Second)
	lasting := step(1+r.random.IntN(3), 1, 200*time.Millisecond)
	lasting.LongRunning = true
	submit := r.submit
	if draw != nil {
		submit = func(f modeler.Flow) {
			if accounts := r.state.Layout().Accounts; len(accounts) > 0 {
				f.Team = accounts[draw.IntN(len(accounts))].Team.Name
				f.BeyondShare = draw.IntN(3) == 0
			}
			r.submit(f)
		}
		r.drawAccounts(draw)
	}
	submit(flow("lasting", lasting))
	r.faultRates = faultRates{late: 0.1, unanswered: 0.03, unsent: 0.03, carrierLost: 0.02}
	r.fails = func(modeler.FlowTask, modeler.Attempt) bool { return r.random.IntN(20000) == 0 }
	for i := range 12 {
		first := step(1+r.random.IntN(5), 1+r.random.IntN(3), time.Duration(100+r.random.IntN(4000))*time.Millisecond)
		second := step(1+r.random.IntN(4), 1+r.random.IntN(3), time.Duration(100+r.random.IntN(1500))*time.Millisecond)
		second.After = []modeler.StepIndex{0}
		second.Gang = i%3 == 0
		first.AllowCopies, second.AllowCopies = copies, copies
		first.Checkpoints = i%2 == 0
		submit(flow(modeler.FlowID(fmt.Sprintf("f%02d", i)), first, second))
		r.run(300 * time.Millisecond)
		if draw != nil && draw.IntN(3) == 0 {
			r.drawAccounts(draw)
		}
		if draw != nil && draw.IntN(8) == 0 {
			r.electLeader()
		}
		r.injectReturn()
		if r.random.IntN(3) == 0 {
			r.injectFault()
		}
		if i == 8 {
			id := modeler.FlowID(fmt.Sprintf("f%02d", i-r.random.IntN(3)))
			r.commit(func() { r.state.Cancel(r.stamp(), id) })
		}
	}
	r.run(30 * time.Second)
	r.faultRates = faultRates{}
	for _, w := range r.workers {
		if w.down {
			w.announcement.Leaving, w.announcement.Remaining = false, 0
			r.restart(w)
		}
		w.isolated = false
	}
	if draw != nil {
		// Gangs wait for good while the quota of their account is too small.
		r.setAccounts(account("a", 48), account("b", 48))
	}
	r.run(40 * time.Second)
	for i := range 12 {
		id := modeler.FlowID(fmt.Sprintf("f%02d", i))
		state := r.flowState(id)
		assert.Check(t, state != modeler.FlowPending && state != modeler.FlowRunning, "%s is %s", id, state)
	}
	running := r.countRunning()
	assert.Check(t, running == lasting.Count, "%d tasks run, of %d that last", running, lasting.Count)
	counted := r.usedBy("a").Running + r.usedBy("b").Running
	if f, _ := r.state.Flow("lasting"); f.Spec.Team != "" {
		assert.Check(t, counted == lasting.Count, "%d attempts are counted, %d run", counted, lasting.Count)
	} else {
		assert.Check(t, counted == 0, "%d attempts are counted", counted)
	}
}
