package applier_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/applier"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

func applyTo(t *testing.T, a *applier.Applier, c *modeler.Command) modeler.Result {
	t.Helper()
	result, err := a.ApplyData(a.Applied()+1, applier.Encode(c))
	assert.NilError(t, err)
	return result
}

// stateWithLearnedWorker returns a state in which the speed of the worker "w" is known.
func stateWithLearnedWorker(t *testing.T) *applier.Applier {
	a := applier.New()
	worker := modeler.WorkerAnnouncement{ID: "w", Generation: 1, Address: "a:1", Service: "s"}
	applyTo(t, a, &modeler.Command{Kind: modeler.RecordWorkers, Announcements: []modeler.WorkerAnnouncement{worker}})
	learned := &modeler.Learned{Workers: []modeler.LearnedWorker{{Worker: "w", Generation: 1, Count: 3, Slowness: 0.5, Variance: 0.1}}}
	assert.Equal(t, applyTo(t, a, &modeler.Command{Kind: modeler.RecordLearned, Learned: learned}).Kind, classifier.None)
	return a
}

// Guards against a member that can't load a snapshot of the previous build, which has
// nothing that was learned, and against learned speeds that a snapshot loses.
func TestSnapshotsWithAndWithoutLearned(t *testing.T) {
	saved, err := stateWithLearnedWorker(t).Save()
	assert.NilError(t, err)
	current := applier.New()
	assert.NilError(t, current.Load(saved))
	w, found := current.Flows().LearnedWorker("w")
	assert.Assert(t, found && w.Count == 3 && w.Slowness == 0.5)

	// The fields of a snapshot of the previous build, in which flows have the keys 1 to 4.
	var content map[int]cbor.RawMessage
	assert.NilError(t, cbor.Unmarshal(saved, &content))
	var flows map[int]cbor.RawMessage
	assert.NilError(t, cbor.Unmarshal(content[6], &flows))
	delete(flows, 5)
	delete(flows, 6)
	content[6], err = cbor.Marshal(flows)
	assert.NilError(t, err)
	former, err := cbor.Marshal(content)
	assert.NilError(t, err)
	loaded := applier.New()
	assert.NilError(t, loaded.Load(former))
	assert.Equal(t, len(loaded.Flows().Workers()), 1)
	_, found = loaded.Flows().LearnedWorker("w")
	assert.Assert(t, !found)
}

// Guards against a member that ends when the leader is of a newer build, whose commands
// have kinds and fields that the member doesn't know.
func TestCommandsOfNewerBuilds(t *testing.T) {
	a := stateWithLearnedWorker(t)
	before, err := a.Save()
	assert.NilError(t, err)
	data, err := cbor.Marshal(map[int]any{1: modeler.RecordLearned + 100, 2: 0, 99: map[int]string{1: "x"}})
	assert.NilError(t, err)
	result, err := a.ApplyData(a.Applied(), data)
	assert.NilError(t, err)
	assert.Equal(t, result.Kind, classifier.Internal)
	after, err := a.Save()
	assert.NilError(t, err)
	assert.DeepEqual(t, before, after)
}
