package replacer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/replacer"
)

var (
	formerInService = replacer.Task{Placed: true, RunsFormerSpec: true, Ready: true, Reported: true, Running: replacer.ReadyAfter}
	inService       = replacer.Task{Placed: true, Ready: true, Reported: true, Running: replacer.ReadyAfter}
	tooYoung        = replacer.Task{Placed: true, Reported: true, Running: replacer.ReadyAfter - 1}
	ranLongEnough   = replacer.Task{Placed: true, Reported: true, Running: replacer.ReadyAfter}
	stopping        = replacer.Task{Placed: true, RunsFormerSpec: true, Leaving: true, Reported: true}
	unreported      = replacer.Task{Placed: true, RunsFormerSpec: true, Ready: true}
	neverReady      = replacer.Task{Placed: true, RunsFormerSpec: true, Reported: true}
	unplaced        = replacer.Task{}
)

// TestDecide guards against stopping a task while as many as allowed are
// already out of service for any reason, and against a change that makes no
// progress.
func TestDecide(t *testing.T) {
	cases := []struct {
		name  string
		step  int
		tasks []replacer.Task
		ready []int
		stop  []int
	}{
		{"begins", 1, []replacer.Task{formerInService, formerInService, formerInService}, nil, []int{0}},
		{"two at a time", 2, []replacer.Task{formerInService, formerInService, formerInService}, nil, []int{0, 1}},
		{"one task is being stopped", 1, []replacer.Task{stopping, formerInService, formerInService}, nil, nil},
		{"one task waits for a placement", 1, []replacer.Task{unplaced, formerInService, formerInService}, nil, nil},
		{"one task has run for too short", 1, []replacer.Task{tooYoung, formerInService, formerInService}, nil, nil},
		{"one task has run long enough", 1, []replacer.Task{ranLongEnough, formerInService, formerInService}, []int{0}, []int{1}},
		{"no worker reports one former task", 1, []replacer.Task{unreported, formerInService, formerInService}, nil, nil},
		{"no worker reports one replaced task", 1, []replacer.Task{{Placed: true, Ready: true}, formerInService, formerInService}, nil, nil},
		{"a former task that was never in service is stopped freely", 1, []replacer.Task{neverReady, unplaced, formerInService}, nil, []int{0}},
		{"an added task has run long enough", 1, []replacer.Task{formerInService, formerInService, formerInService, ranLongEnough}, []int{3}, []int{0}},
		{"one surplus task", 1, []replacer.Task{formerInService, formerInService, formerInService, {Placed: true, Surplus: true, Ready: true, Reported: true}}, nil, []int{3, 0}},
		{"one surplus task serves while others are out of service", 1, []replacer.Task{unplaced, inService, stopping, {Placed: true, Surplus: true, Ready: true, Reported: true}}, nil, nil},
		{"the last task becomes ready", 1, []replacer.Task{inService, inService, ranLongEnough}, []int{2}, nil},
	}
	for _, tc := range cases {
		base := 3
		plan := replacer.Decide(&replacer.Change{Step: tc.step, Base: base, Tasks: tc.tasks})
		assert.DeepEqual(t, plan, replacer.Plan{Ready: tc.ready, Stop: tc.stop})
	}
	for tasks, step := range map[int]int{1: 1, 9: 1, 25: 2} {
		assert.Equal(t, replacer.Step(&modeler.Job{Tasks: tasks}), step)
	}
	assert.Equal(t, replacer.Step(&modeler.Job{Tasks: 2, Step: 5}), 2)
}
