package evaluator_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/evaluator"
	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against a play that finds what is not there, finds nothing, or in which observing
// changes what callers get.
func TestInterferencePlay(t *testing.T) {
	s := evaluator.DefaultInterference()
	s.Seeds, s.Length = 2, modeler.Duration(3*time.Minute)
	x, err := evaluator.MeasureInterference(s)
	assert.NilError(t, err)
	off, observe, act := x.Runs[0], x.Runs[1], x.Runs[2]
	assert.Equal(t, off.Believed, 0)
	assert.Equal(t, observe.Slowdown, off.Slowdown)
	assert.Equal(t, observe.Wait, off.Wait)
	assert.Assert(t, observe.Precision >= 0.8 && observe.Recall >= 0.5, "%+v", observe)
	assert.Assert(t, act.Slowdown < observe.Slowdown*1.01, "%+v %+v", act, observe)
	assert.Assert(t, strings.Contains(x.Text(), "observe"))
	s.Seeds = 0
	_, err = evaluator.MeasureInterference(s)
	assert.ErrorContains(t, err, "settings")
}
