package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// quotaOverage is the part by which a gang may exceed the quota of its account.
const quotaOverage = 0.1

// quotaAt is a quota of an account and the time at which it came into force.
type quotaAt struct {
	at    modeler.ClockReading
	quota modeler.Resources
}

// latestStart bounds how long after its commit a start is carried out.
const latestStart = 15 * time.Second

// account returns an account whose quota is a number of cores.
func account(name modeler.TeamName, cores int) modeler.Account {
	quota := modeler.NoLimit
	quota.Processors = modeler.Millicores(1000 * cores)
	return modeler.Account{Team: modeler.Team{Name: name, Weight: 1, Quota: quota}}
}

// setAccounts puts a layout with the accounts in force.
func (r *rig) setAccounts(accounts ...modeler.Account) {
	layout := modeler.Layout{Number: r.state.Layout().Number + 1, Keyed: true, Accounts: accounts, Services: []modeler.ServiceName{"s"}}
	r.commit(func() { r.state.SetLayout(&layout) })
	for _, a := range accounts {
		r.quotas[a.Team.Name] = append(r.quotas[a.Team.Name], quotaAt{r.now, a.Team.Quota})
	}
}

// submitFor submits a flow of an account.
func (r *rig) submitFor(team modeler.TeamName, beyondShare bool, f modeler.Flow) {
	f.Team, f.BeyondShare = team, beyondShare
	r.submit(f)
}

// checkQuota checks at a start that all tasks of the account that run on any worker stay
// within its quota, the overage and one task. A quota that was lowered counts as long as
// starts that were committed before may arrive.
func (r *rig) checkQuota(team modeler.TeamName, started modeler.FlowTask) {
	r.t.Helper()
	if team == "" {
		return
	}
	var used, task, largest modeler.Millicores
	for _, w := range r.workers {
		for id, j := range w.running {
			if j.team == team {
				used += j.charge.Processors
				largest = max(largest, j.charge.Processors)
			}
			if id == started {
				task = max(task, j.charge.Processors)
			}
		}
	}
	if r.executingLateOrder {
		task = largest
	}
	quotas := r.quotas[team]
	allowed := quotas[len(quotas)-1].quota.Processors
	for i := len(quotas) - 1; i > 0 && r.now.Sub(quotas[i].at) < latestStart; i-- {
		allowed = max(allowed, quotas[i-1].quota.Processors)
	}
	if bound := allowed + allowed/10 + task; used > bound {
		r.t.Errorf("%v: the account %s runs %d millicores of %d after the start of %v", time.Duration(r.now), team, used, bound, started)
	}
}

// usedBy returns what the leader counts for an account.
func (r *rig) usedBy(team modeler.TeamName) modeler.AccountStatus {
	for _, use := range r.leader.Stats(r.now).Accounts {
		if use.Account == team {
			return use
		}
	}
	return modeler.AccountStatus{}
}

// finished returns how many flows whose ids begin with a text are completed.
func (r *rig) finished(prefix string, count int) int {
	n := 0
	for i := range count {
		if r.flowState(modeler.FlowID(fmt.Sprintf("%s%03d", prefix, i))) == modeler.FlowCompleted {
			n++
		}
	}
	return n
}

// Guards against an account that sends many times its share and makes the flows of the
// others late, also with few large flows against many small ones.
func TestSharesOfFullCell(t *testing.T) {
	for name, large := range map[string]int{"small": 1, "large": 8} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3)
			r.addWorkers(4, 8)
			r.setAccounts(account("greedy", 1000), account("modest", 1000))
			policy := modeler.QueuePolicy{Slowdown: 2, Latency: time.Second}
			for i := range 40 {
				// The greedy account's first flow of each second is within its share.
				for k := range 8 / large {
					f := flow(modeler.FlowID(fmt.Sprintf("g%03d", 8*i+k)), step(large, 4, 500*time.Millisecond))
					f.Policy = policy
					r.submitFor("greedy", i%2 > 0 || k > 0, f)
				}
				f := flow(modeler.FlowID(fmt.Sprintf("m%03d", i)), step(2, 2, 500*time.Millisecond))
				f.Policy = policy
				r.submitFor("modest", false, f)
				r.run(500 * time.Millisecond)
			}
			assert.Equal(t, r.leader.Stats(r.now).Accounts[0].Account, modeler.TeamName("greedy"))
			assert.Assert(t, r.usedBy("greedy").BeyondShare > 0, "the cell is not full")
			assert.Assert(t, r.leader.IsLateBeyondShare("q", "greedy"), "flows beyond their share are accepted although they would be late")
			r.run(3 * time.Second)
			for i := range 40 {
				id := modeler.FlowID(fmt.Sprintf("m%03d", i))
				f, _ := r.state.Flow(id)
				took := r.finishedAt[id].Sub(modeler.ClockReading(time.Duration(f.ArrivedAt) * time.Millisecond))
				assert.Check(t, r.finishedAt[id] > 0 && took < 2*time.Second, "%s took %v", id, took)
			}
		})
	}
}

// Guards against refusals of others because an account waits for its own quota.
func TestQuotaWaitIsNoLackOfRoom(t *testing.T) {
	r := newRig(t, 3)
	r.addWorkers(4, 8)
	r.setAccounts(account("a", 2), account("b", 2))
	for i := range 20 {
		f := flow(modeler.FlowID(fmt.Sprintf("a%03d", i)), step(1, 2, time.Second))
		f.Policy = modeler.QueuePolicy{Slowdown: 2, Latency: time.Second}
		r.submitFor("a", true, f)
	}
	r.run(8 * time.Second)
	assert.Assert(t, r.leader.IsLateBeyondShare("q", "a"))
	assert.Assert(t, !r.leader.IsLateBeyondShare("q", "b"))
	assert.Equal(t, r.leader.Stats(r.now).Steps[0].Reason, modeler.WaitsForQuota)
}

// Guards against metrics that grow with the number of accounts, and against a sum that
// leaves some of them out.
func TestOtherAccountsAreSummed(t *testing.T) {
	r := newRig(t, 3)
	var accounts []modeler.Account
	for i := range 30 {
		accounts = append(accounts, account(modeler.TeamName(fmt.Sprintf("a%02d", i)), 4))
	}
	r.setAccounts(accounts...)
	for i := range 30 {
		r.submitFor(accounts[i].Team.Name, false, flow(modeler.FlowID(fmt.Sprintf("f%03d", i)), step(i+1, 1, time.Second)))
	}
	uses := r.leader.Accounts(20)
	assert.Equal(t, len(uses), 21)
	assert.Equal(t, uses[0].Account, modeler.TeamName("a29"))
	assert.Equal(t, uses[20].Account, modeler.OtherAccounts)
	assert.Equal(t, uses[20].Waiting, 10*11/2)
}

// Guards against tasks of others that are stopped, and room that is kept, for tasks that the
// quota of their account doesn't admit.
func TestQuotaBoundsPreemption(t *testing.T) {
	r := newRig(t, 3)
	r.addWorkers(4, 8)
	r.setAccounts(account("a", 4), account("b", 1000))
	batch := flow("batch", step(16, 2, 30*time.Second))
	batch.Steps[0].Checkpoints, batch.Policy.Priority = true, 2
	r.submitFor("b", false, batch)
	r.run(3 * time.Second)
	urgent := flow("urgent", step(12, 2, 10*time.Second))
	urgent.Policy = modeler.QueuePolicy{Slowdown: 9, Latency: time.Second}
	r.submitFor("a", false, urgent)
	least := 16
	for range 100 {
		r.run(2 * tick)
		least = min(least, r.usedBy("b").Running)
	}
	assert.Equal(t, r.usedBy("a").Running, 2)
	assert.Equal(t, least, 14)
}

// Guards against a gang that starves behind smaller steps of its account, one that
// exceeds the quota by more than its overage and a task, and one that waits for ever
// instead of being refused.
func TestGangNearItsQuota(t *testing.T) {
	r := newRig(t, 3)
	r.addWorkers(4, 8)
	r.setAccounts(account("a", 10))
	gang := step(4, 2, time.Second)
	gang.Gang = true
	lasting := step(1, 2, 100*time.Millisecond)
	lasting.LongRunning = true
	r.submitFor("a", false, flow("lasting", lasting))
	for i := range 30 {
		r.submitFor("a", false, flow(modeler.FlowID(fmt.Sprintf("s%03d", i)), step(1, 2, time.Second)))
		if i == 10 {
			r.submitFor("a", false, flow("gang", gang))
		}
		r.run(100 * time.Millisecond)
	}
	r.run(3 * time.Second)
	assert.Equal(t, r.flowState("gang"), modeler.FlowCompleted)
	assert.Equal(t, r.usedBy("a").Running, 5)
	wide := flow("wide", gang)
	wide.Team, wide.Steps[0].Count = "a", 7
	assert.Equal(t, classifier.KindOf(r.leader.CheckQuota(&wide)), classifier.QuotaExceeded)
	wide.Steps[0].Count = 6
	assert.NilError(t, r.leader.CheckQuota(&wide))
}

// Guards against a step that can't start beside the account's long-running tasks and
// holds back all its other steps for good.
func TestWideStepBesideLastingTasks(t *testing.T) {
	r := newRig(t, 3)
	r.addWorkers(4, 8)
	r.setAccounts(account("a", 10))
	lasting := step(3, 2, 100*time.Millisecond)
	lasting.LongRunning = true
	r.submitFor("a", false, flow("lasting", lasting))
	r.run(time.Second)
	r.submitFor("a", false, flow("wide", step(1, 6, time.Second)))
	r.submitFor("a", false, flow("f000", step(6, 2, 500*time.Millisecond)))
	r.run(4 * time.Second)
	assert.Equal(t, r.finished("f", 1), 1)
	assert.Equal(t, r.flowState("wide"), modeler.FlowPending)
}

// Guards against a new leader that starts tasks beyond a quota because it doesn't count
// those of the former leader, whose starts were sent or not answered yet, or the copies
// that run on silent workers.
func TestQuotaAcrossLeaders(t *testing.T) {
	for _, copies := range []bool{false, true} {
		for delay := range 12 {
			r := newRig(t, uint64(delay))
			r.expectFaults = true
			r.addWorkers(4, 8)
			r.setAccounts(account("a", 8))
			r.run(time.Second)
			wide := step(12, 2, 4*time.Second)
			wide.AllowCopies = copies
			r.submitFor("a", false, flow("f000", wide))
			r.run(100 * time.Millisecond)
			if copies {
				r.workers["w00"].unreachable = true
				r.workers["w01"].isolated = true
				r.run(3 * time.Second)
			}
			r.run(time.Duration(delay) * tick)
			r.electLeader()
			r.run(2 * time.Second)
			r.workers["w00"].unreachable, r.workers["w01"].isolated = false, false
			r.run(40 * time.Second)
			assert.Equal(t, r.finished("f", 1), 1)
			assert.Equal(t, r.usedBy("a").Running, 0)
		}
	}
}

// Guards against a lowered quota that stops tasks, starts more, or never lets the account
// run again; and against an account that is removed while its flows run, and loses them or
// their quota.
func TestQuotaIsLoweredAndAccountRemoved(t *testing.T) {
	r := newRig(t, 3)
	r.addWorkers(4, 8)
	r.setAccounts(account("a", 16))
	for i := range 16 {
		r.submitFor("a", false, flow(modeler.FlowID(fmt.Sprintf("f%03d", i)), step(2, 2, 2*time.Second)))
	}
	r.run(time.Second)
	before := len(r.startOrder)
	assert.Equal(t, before, 8)
	r.setAccounts(account("a", 4))
	r.run(time.Second)
	assert.Equal(t, len(r.startOrder), before)
	assert.Equal(t, r.usedBy("a").Running, 8)
	r.run(4 * time.Second)
	assert.Equal(t, r.usedBy("a").Running, 2)
	r.setAccounts(account("b", 8))
	r.electLeader()
	r.run(time.Second)
	use := r.usedBy("a")
	assert.Equal(t, use.Running, 2)
	assert.Equal(t, use.Quota.Processors, modeler.Millicores(4000))
	r.run(40 * time.Second)
	assert.Equal(t, r.finished("f", 16), 16)
	assert.Equal(t, r.usedBy("a"), modeler.AccountStatus{})
}

// Guards against attempts that are being stopped or copied and don't count, so that their
// account starts others beside them.
func TestStoppedAttemptsCount(t *testing.T) {
	r := newRig(t, 3)
	r.addWorkers(2, 8)
	r.setAccounts(account("a", 4))
	r.run(time.Second)
	r.submitFor("a", false, flow("f000", step(2, 2, time.Minute)))
	r.run(time.Second)
	r.submitFor("a", false, flow("f001", step(2, 2, time.Second)))
	r.commit(func() { r.state.Cancel(r.stamp(), "f000") })
	r.run(tick)
	assert.Equal(t, r.usedBy("a").Running, 2)
	r.run(stopTime / 4)
	assert.Equal(t, r.usedBy("a").Running, 2)
	r.run(3 * time.Second)
	assert.Equal(t, r.flowState("f001"), modeler.FlowCompleted)
	lines := slices.DeleteFunc(slices.Clone(r.startOrder), func(task modeler.FlowTask) bool { return task.Flow == "f000" })
	assert.Equal(t, len(lines), 2)
}

// Guards against an account beyond its quota because a wide task, which it may start although
// it needs more than the quota, begins before a smaller one that was started with it.
func TestStartsThatOvertakeEachOther(t *testing.T) {
	r := newRig(t, 6)
	r.checks = true
	r.addWorkers(2, 8)
	r.setAccounts(account("a", 5))
	r.run(time.Second)
	r.delayStart = func(task modeler.FlowTask) time.Duration {
		if task.Flow == "small" {
			return 100 * time.Millisecond
		}
		return 0
	}
	r.submitFor("a", false, flow("small", step(1, 2, time.Second)))
	r.submitFor("a", false, flow("wide", step(1, 6, time.Second)))
	r.run(300 * time.Millisecond)
	assert.Equal(t, r.starts[modeler.FlowTask{Flow: "small"}], 1)
	assert.Equal(t, r.starts[modeler.FlowTask{Flow: "wide"}], 1, "the wide task waits although half of the quota is free")
	r.run(2 * time.Second)
	assert.Equal(t, r.flowState("wide"), modeler.FlowCompleted)
	assert.Equal(t, r.usedBy("a").Running, 0)
}
