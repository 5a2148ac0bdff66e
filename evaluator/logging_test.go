package evaluator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/evaluator"
)

// Guards against a proposal that a member refuses or doesn't commit: MeasureLog
// returns an error then.
func TestLog(t *testing.T) {
	log, err := evaluator.MeasureLog(evaluator.LogSettings{
		Members: []int{3, 5}, Batches: []int{1, 64}, Proposals: 1 << 14, Entries: 1 << 14,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(log.Proposals), 4)
	assert.Assert(t, log.BytesPerEntry > 0, log.Text())
	_, err = evaluator.MeasureLog(evaluator.LogSettings{Members: []int{3}, Proposals: 1, Entries: 64})
	assert.ErrorContains(t, err, "batches")
}
