package operator_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/operator"
)

// Guards against times of a flow that are counted twice or under the wrong cause.
func TestReadWaits(t *testing.T) {
	log := `  0.500 control-1 {"message":"flow added to the scheduler","request":"aa","queue":"q/one/","account":"acme","tasks":2,"time":"2026-01-01T00:00:00Z"}
  0.600 control-1 {"message":"worker known","worker":"i-1","time":"2026-01-01T00:00:00Z"}
{"message":"permit answer received","request":"aa","allowed":2,"time":"2026-01-01T00:00:00.5Z"}
{"message":"room reserved","request":"aa","workers":["i-1"],"time":"2026-01-01T00:00:01Z"}
{"message":"tasks placed","request":"aa","time":"2026-01-01T00:00:02Z"}
{"message":"flow has begun","request":"aa","attempt":1,"time":"2026-01-01T00:00:02.2Z"}
{"message":"task ended","request":"aa","task":1,"end":"failed","time":"2026-01-01T00:00:03Z"}
{"message":"step waits for the quota of its account","request":"aa","step":0,"account":"acme","time":"2026-01-01T00:00:03Z"}
{"message":"step no longer waits for the quota of its account","request":"aa","step":0,"capped":"900ms","time":"2026-01-01T00:00:03.9Z"}
{"message":"tasks placed","request":"aa","capped":"900ms","time":"2026-01-01T00:00:04Z"}
{"message":"flow over","request":"aa","state":"completed","time":"2026-01-01T00:00:07Z"}
{"message":"flow added to the scheduler","request":"bb","queue":"q/two/","tasks":1,"time":"2026-01-01T00:00:01Z"}
{"message":"permit answer received","request":"bb","time":"2026-01-01T00:00:02Z"}
{"message":"step waits for the quota of its account","request":"bb","capped":"0s","time":"2026-01-01T00:00:03.5Z"}
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
	assert.Equal(t, a.Start.Std(), 200*time.Millisecond)
	assert.Equal(t, a.Failed, 1)
	assert.Equal(t, a.Reserved, 1)
	assert.Equal(t, a.Account, modeler.TeamName("acme"))
	assert.Equal(t, a.Quota.Std(), 900*time.Millisecond, "a wait that two lines tell counts once")
	// The second flow still waits for room, and its last lines tell of the quota.
	assert.Equal(t, b.Quota.Std(), 500*time.Millisecond)
	assert.Equal(t, b.Permit.Std(), time.Second)
	assert.Equal(t, b.Room.Std(), 2*time.Second)
	assert.Equal(t, b.Run.Std(), time.Duration(0))
	text := w.Text("two", 5)
	assert.Assert(t, strings.Contains(text, "1.00    2.00  0.00  0.50   0.00   0.00  3.00   2.0"), text)
	assert.Assert(t, strings.Contains(text, "open") && !strings.Contains(text, "aa "), text)
}

// Guards against a status that doesn't tell why an account's work waits, and against a
// missing limit that is shown as a number of cores.
func TestStatusOfAccounts(t *testing.T) {
	quota := modeler.NoLimit
	quota.Processors = 4000
	report := operator.Report{Answer: modeler.Status{
		Accounts: []modeler.AccountStatus{
			{Account: "acme", Used: modeler.Resources{Processors: 3500}, Quota: quota, Weight: 2, Running: 3, Waiting: 9, QuotaWaits: 8, BeyondShare: 1},
			{Account: "free", Quota: modeler.NoLimit, Weight: 1},
			{Account: modeler.OtherAccounts, Running: 7},
		},
		Steps:   []modeler.StepStatus{{Request: "aa", Step: 1, Queue: "q/one/", Account: "acme", Tasks: 8, Waited: modeler.Duration(1500 * time.Millisecond), Reason: modeler.WaitsForQuota}},
		Reasons: map[modeler.WaitReason]int{modeler.WaitsForQuota: 8, modeler.WaitsForRoom: 1},
	}}
	var out, errs bytes.Buffer
	assert.NilError(t, report.Print(&out, &errs, false))
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"acme 3.5 4.0 2 3 9 8 1", "free 0.0 none 1 0 0 0 0", "others 0.0 7 0 0 0",
		"waiting tasks of flows: 8 for quota 1 for room", "aa 1 q/one/ acme 8 1.5s quota",
	} {
		assert.Assert(t, strings.Contains(text, want), "%q is missing in %s", want, out.String())
	}
}
