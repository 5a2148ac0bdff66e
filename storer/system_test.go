package storer_test

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/storer"
)

func batch(first modeler.Index, count, size int) []modeler.LogEntry {
	entries := make([]modeler.LogEntry, count)
	for i := range entries {
		entries[i] = modeler.LogEntry{Index: first + modeler.Index(i), Term: 3, Data: make([]byte, size)}
	}
	return entries
}

// TestSystemDisk guards against a Disk interface that the real file system doesn't
// fit, two processes that use one folder, and appends that race with a snapshot.
func TestSystemDisk(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "a", "b")
	store, _, err := storer.Open(folder, member, storer.Options{SegmentSize: 4096})
	assert.NilError(t, err)
	_, _, err = storer.Open(folder, member, storer.Options{})
	assert.ErrorContains(t, err, "is locked by another process")
	assert.NilError(t, store.SaveHardState(modeler.HardState{Term: 3, Vote: 2}))
	assert.NilError(t, store.Append(batch(1, 100, 50)))
	assert.NilError(t, store.Sync())
	var group sync.WaitGroup
	group.Go(func() {
		for i := range modeler.Index(5) {
			assert.Check(t, store.SaveSnapshot(modeler.Snapshot{Index: 10 * (i + 1), Term: 3, Data: make([]byte, 1<<16)}))
		}
	})
	for i := range modeler.Index(100) {
		assert.NilError(t, store.Append(batch(101+i, 1, 50)))
		assert.NilError(t, store.Sync())
	}
	group.Wait()
	large := modeler.Snapshot{Index: 51, Term: 3, Membership: modeler.Membership{Members: []modeler.Member{{ID: 7}}}, Data: make([]byte, 5<<19)}
	large.Data[1<<20], large.Data[len(large.Data)-1] = 1, 2
	assert.NilError(t, store.SaveSnapshot(large))
	got, err := store.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, large)
	assert.NilError(t, store.Close())

	names, err := os.ReadDir(folder)
	assert.NilError(t, err)
	last := filepath.Join(folder, names[len(names)-2].Name())
	file, err := os.OpenFile(last, os.O_WRONLY|os.O_APPEND, 0)
	assert.NilError(t, err)
	_, err = file.Write([]byte("torn tail"))
	assert.NilError(t, err)
	assert.NilError(t, file.Close())

	store, saved, err := storer.Open(folder, member, storer.Options{SegmentSize: 4096})
	assert.NilError(t, err)
	assert.Equal(t, saved.HardState, modeler.HardState{Term: 3, Vote: 2})
	assert.Equal(t, saved.Snapshot.Index, modeler.Index(51))
	assert.DeepEqual(t, saved.Entries, batch(52, 149, 50))
	assert.NilError(t, store.Close())
}
