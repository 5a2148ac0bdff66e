package evaluator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/evaluator"
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
