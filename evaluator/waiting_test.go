package evaluator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/evaluator"
)

// Guards against lent slots that miss the design's goal at 80% load: a 99th
// percentile within 10% of one ideal queue plus a round trip of 2 ms. A refused
// request is reported as an error of MeasureWaiting. The span is the default one,
// since the percentile over a shorter span depends more on the seed.
func TestWaiting(t *testing.T) {
	s := evaluator.DefaultWaiting()
	s.Loads = []float64{0.8}
	got, err := evaluator.MeasureWaiting(s)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Points), 12)
	ideal := map[bool]evaluator.WaitPoint{}
	for _, p := range got.Points {
		assert.Assert(t, p.Requests > 30_000, "%v", p)
		switch p.SharingMethod {
		case evaluator.IdealQueue:
			ideal[p.Skewed] = p
		case evaluator.LentSlots:
			assert.Assert(t, p.P99 <= 1.1*(ideal[p.Skewed].P99+2), "%v, ideal %v", p, ideal[p.Skewed])
			assert.Equal(t, p.Requests, ideal[p.Skewed].Requests)
		}
	}
	_, err = evaluator.MeasureWaiting(evaluator.WaitingSettings{Loads: []float64{0}, Span: 1})
	assert.ErrorContains(t, err, "loads")
}
