package evaluator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/evaluator"
	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against decisions that stop serving callers of a crowded pool better, and
// against a bound that a policy exceeds.
func TestPoolDecisionsServeCallers(t *testing.T) {
	s, err := evaluator.ReadPool("../samples/pool.json")
	assert.NilError(t, err)
	policies := []evaluator.PoolPolicy{{Name: "all"}}
	for _, x := range []dispatcher.Decision{dispatcher.HoldPermits, dispatcher.Reserve, dispatcher.Preempt} {
		policies = append(policies, evaluator.PoolPolicy{Name: string(x), Disabled: map[dispatcher.Decision]bool{x: true}})
	}
	p, err := evaluator.MeasurePool("accelerators", s, policies, 6)
	assert.NilError(t, err)
	t.Log(p.Text())
	for _, r := range p.Runs[1:] {
		assert.Check(t, r.Served < p.Runs[0].Served, "without %s callers get %.3f, with it %.3f", r.Policy, r.Served, p.Runs[0].Served)
	}
	for _, r := range p.Runs {
		assert.Check(t, r.Served <= p.Bound+1e-9, "%s serves %.3f, above the bound of %.3f", r.Policy, r.Served, p.Bound)
	}
}

// Guards against a fast outside policy that makes urgent flows late on a full cell: the
// additional reports take the time of the leader, which urgent starts wait for.
func TestFastPolicyLeavesUrgentFlowsInTime(t *testing.T) {
	s, err := evaluator.ReadPool("../samples/pool-accounts.json")
	assert.NilError(t, err)
	s.Length, s.Drain, s.Tail, s.Outages = modeler.Duration(20*time.Second), modeler.Duration(6*time.Second), evaluator.PoolTail{}, nil
	s.LeaderTime = modeler.Duration(450 * time.Microsecond)
	s.Queues[1].Rate *= 1.25
	policies, err := evaluator.PoolPolicies([]string{string(dispatcher.Headroom)})
	assert.NilError(t, err)
	slow, err := evaluator.MeasurePool("slow", s, policies[:1], 2)
	assert.NilError(t, err)
	s.SetPermitTime(5*time.Millisecond, 50*time.Microsecond)
	fast, err := evaluator.MeasurePool("fast", s, policies, 2)
	assert.NilError(t, err)
	t.Log(slow.Text(), fast.Text())
	with, without := fast.Runs[0].Queues[0], fast.Runs[1].Queues[0]
	assert.Check(t, with.InTime > without.InTime+0.1, "in time with headroom %.3f, without %.3f", with.InTime, without.InTime)
	assert.Check(t, with.InTime > slow.Runs[0].Queues[0].InTime-0.05, "in time with a fast policy %.3f, with a slow one %.3f", with.InTime, slow.Runs[0].Queues[0].InTime)
	assert.Check(t, fast.Runs[0].Served > slow.Runs[0].Served-0.02, "served with a fast policy %.3f, with a slow one %.3f", fast.Runs[0].Served, slow.Runs[0].Served)
	services := fast.Runs[0].Queues[2]
	assert.Check(t, services.InTime > 0.95, "long-running flows in time %.3f", services.InTime)
	for _, r := range fast.Runs {
		assert.Check(t, r.Served <= fast.Bound+1e-9, "%s serves %.3f, above the bound of %.3f", r.Policy, r.Served, fast.Bound)
	}
}

// Guards against a misspelt decision that measures nothing.
func TestPoolPoliciesRefuseUnknownDecisions(t *testing.T) {
	_, err := evaluator.PoolPolicies([]string{"headrom"})
	assert.ErrorContains(t, err, "headrom")
}

// Guards against unclear errors for a malformed file.
func TestReadPoolErrors(t *testing.T) {
	good, err := os.ReadFile("../samples/pool.json")
	assert.NilError(t, err)
	for _, c := range []struct{ from, to, want string }{
		{`"commit": "10ms",`, `"commit": 10,`, ":5:"},
		{`"askers": 12,`, `"asker": 12,`, `unknown field "asker"`},
		{`"rate": 1.84`, `"rate": -1`, `queue "render": rate -1`},
		{`"accelerators": [2, 4, 8, 8]`, `"accelerators": [16]`, "fits on no worker"},
		{`{"queue": "check", "at"`, `{"queue": "other", "at"`, `burst of queue "other"`},
	} {
		text := strings.Replace(string(good), c.from, c.to, 1)
		assert.Assert(t, text != string(good), "%s is not in the file", c.from)
		path := filepath.Join(t.TempDir(), "pool.json")
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := evaluator.ReadPool(path)
		assert.ErrorContains(t, err, c.want)
		assert.ErrorContains(t, err, path)
	}
}
