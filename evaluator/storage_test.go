package evaluator_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/evaluator"
)

// Guards against an append, sync or open that fails or loses entries
// (MeasureStorage returns an error then), and against data folders that aren't
// removed.
func TestStorage(t *testing.T) {
	folder := t.TempDir()
	storage, err := evaluator.MeasureStorage(evaluator.StorageSettings{
		Folder: folder, Batches: []int{1, 16, 256}, Span: 50 * time.Millisecond, Entries: 10_000,
	})
	assert.NilError(t, err)
	for _, a := range storage.Appends {
		assert.Assert(t, a.Syncs > 0 && a.BytesPerEntry > 200 && a.BytesPerEntry < 400, "%v", a)
	}
	assert.Assert(t, storage.Opens > 0)
	left, err := os.ReadDir(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0)
	_, err = evaluator.MeasureStorage(evaluator.StorageSettings{Batches: []int{1}, Span: 1, Entries: 1500})
	assert.ErrorContains(t, err, "multiple of 1000")
}
