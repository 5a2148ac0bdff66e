package main_test

import (
	"encoding/json"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/evaluator"
)

// Guards against a measure command that ignores its flags, prints JSON that
// doesn't decode, or accepts settings that it can't measure.
func TestMeasureVerb(t *testing.T) {
	measure := func(into any, args ...string) {
		t.Helper()
		out, err := exec.Command(binary, append([]string{"measure"}, append(args, "--json")...)...).Output()
		assert.NilError(t, err, "%v: %s", args, out)
		assert.NilError(t, json.Unmarshal(out, into), "%s", out)
	}
	var day evaluator.Day
	measure(&day, "day", "--span", "10m", "--load", "0.7", "--seed", "3")
	assert.DeepEqual(t, day.Settings, evaluator.DaySettings{Seed: 3, Load: 0.7, Seconds: 600})
	assert.Equal(t, len(day.Runs), 5)
	var placement evaluator.Placement
	measure(&placement, "placement", "--workers", "48", "--steps", "100", "--rounds", "1", "--seed", "3")
	assert.DeepEqual(t, placement.Settings, evaluator.PlacementSettings{Seed: 3, Workers: []int{48}, Steps: 100, Rounds: 1})
	assert.Assert(t, len(placement.Steady) == 1 && len(placement.Full) == 1)
	var waiting evaluator.Waiting
	measure(&waiting, "waiting", "--loads", "0.5", "--span", "100ms", "--seed", "3")
	assert.Equal(t, waiting.Settings.Seed, uint64(3))
	assert.Equal(t, len(waiting.Points), 12)
	var found evaluator.Interference
	measure(&found, "interference", "--seeds", "1", "--span", "5s", "--pairs", "2")
	assert.Equal(t, found.Settings.Pairs, 2)
	assert.Equal(t, len(found.Runs), 3)
	var shares evaluator.Shares
	measure(&shares, "shares", "--span", "100ms", "--seed", "3")
	assert.Equal(t, len(shares.Points), 23)
	var log evaluator.Log
	measure(&log, "log", "--members", "3", "--batches", "4", "--proposals", "400", "--entries", "640")
	assert.Equal(t, len(log.Proposals), 1)
	var storage evaluator.Storage
	measure(&storage, "storage", "--folder", t.TempDir(), "--batches", "2", "--span", "10ms", "--entries", "1000")
	assert.Assert(t, len(storage.Appends) == 1 && storage.Opens > 0)
	for _, bad := range [][]string{
		{"placement", "--workers", "1"},
		{"day", "--load", "0"},
		{"waiting", "--span", "0s"},
		{"shares", "--span", "0s"},
		{"log", "--batches", "0"},
		{"storage", "--entries", "1"},
		{"day", "now"},
	} {
		out, err := exec.Command(binary, append([]string{"measure"}, bad...)...).CombinedOutput()
		assert.Assert(t, err != nil, "%v: %s", bad, out)
	}
}
