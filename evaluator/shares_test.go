package evaluator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/evaluator"
)

// Guards against a team or caller that gets slots of another's share, against
// slots left idle to keep shares, and against shares that stay wrong for more
// than half a second after a leader restart or an entry host's pause. A slot for
// a team below its share takes 4 ms: a message to the leader, one to the entry
// host that returns the slot, and both answers. The leader repeats its requests
// every 2 ms, and 10 slots are freed per millisecond. Each slot that moves is
// idle for two one-way trips, a twentieth of its service time.
func TestShares(t *testing.T) {
	s := evaluator.DefaultShares()
	s.Span = time.Second
	got, err := evaluator.MeasureShares(s)
	assert.NilError(t, err)
	for _, p := range got.Points {
		assert.Check(t, p.Used > 0.95, "%+v", p)
		light := p.Flows[1]
		fair := float64(p.Weights[1]) / float64(p.Weights[0]+p.Weights[1])
		if light.Load < fair {
			assert.Check(t, light.P99 < 10, "%+v", p)
			continue
		}
		assert.Check(t, light.Used > 0.95*fair && light.Used < 1.05*fair, "%+v", p)
	}
	_, err = evaluator.MeasureShares(evaluator.WaitingSettings{})
	assert.ErrorContains(t, err, "span")
}
