package operator_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/operator"
)

// Guards against times of a flow that are counted twice or under the wrong cause.
func TestReadWaits(t *testing.T) {
	log := `  0.500 control-1 {"message":"flow added to the scheduler","request":"aa","queue":"q/one/","tasks":2,"time":"2026-01-01T00:00:00Z"}
  0.600 control-1 {"message":"worker known","worker":"i-1","time":"2026-01-01T00:00:00Z"}
{"message":"permit answer received","request":"aa","allowed":2,"time":"2026-01-01T00:00:00.5Z"}
{"message":"room reserved","request":"aa","workers":["i-1"],"time":"2026-01-01T00:00:01Z"}
{"message":"tasks placed","request":"aa","time":"2026-01-01T00:00:02Z"}
{"message":"task ended","request":"aa","task":1,"end":"failed","time":"2026-01-01T00:00:03Z"}
{"message":"tasks placed","request":"aa","time":"2026-01-01T00:00:04Z"}
{"message":"flow over","request":"aa","state":"completed","time":"2026-01-01T00:00:07Z"}
{"message":"flow added to the scheduler","request":"bb","queue":"q/two/","tasks":1,"time":"2026-01-01T00:00:01Z"}
{"message":"permit answer received","request":"bb","time":"2026-01-01T00:00:02Z"}
{"message":"permit answer received","request":"bb","time":"2026-01-01T00:00:04Z"}
{cut off
`
	w, err := operator.ReadWaits(strings.NewReader(log))
	assert.NilError(t, err)
	assert.Equal(t, len(w.Flows), 2)
	assert.Equal(t, w.Skipped, 1)
	a, b := w.Flows[0], w.Flows[1]
	assert.Equal(t, a.Permit.Std(), 500*time.Millisecond)
	assert.Equal(t, a.Room.Std(), 1500*time.Millisecond)
	assert.Equal(t, a.Rest.Std(), 2*time.Second)
	assert.Equal(t, a.Run.Std(), 3*time.Second)
	assert.Equal(t, a.Total.Std(), 7*time.Second)
	assert.Equal(t, a.Failed, 1)
	assert.Equal(t, a.Reserved, 1)
	// The second flow still waits for room.
	assert.Equal(t, b.Permit.Std(), time.Second)
	assert.Equal(t, b.Room.Std(), 2*time.Second)
	assert.Equal(t, b.Run.Std(), time.Duration(0))
	text := w.Text("two", 5)
	assert.Assert(t, strings.Contains(text, "1.00    2.00  0.00  0.00  3.00   2.0"), text)
	assert.Assert(t, strings.Contains(text, "open") && !strings.Contains(text, "aa "), text)
}
