package evaluator

import (
	"fmt"
	"os"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/storer"
)

const (
	storedMember = modeler.MemberID(7)
	storedBytes  = 200
	storedBatch  = 1000
)

// StorageSettings are the settings of MeasureStorage.
type StorageSettings struct {
	Folder  string        `json:"folder"` // parent of the temporary data folders
	Batches []int         `json:"batches"`
	Span    time.Duration `json:"span"`    // time for each batch size, and for opening
	Entries int           `json:"entries"` // in the log that is opened
}

// DefaultStorage returns the default settings with data folders in folder.
func DefaultStorage(folder string) StorageSettings {
	return StorageSettings{Folder: folder, Batches: []int{1, 16, 256}, Span: 2 * time.Second, Entries: 100_000}
}

// Storage is the measured performance of the store.
type Storage struct {
	Settings   StorageSettings `json:"settings"`
	Appends    []Appends       `json:"appends"`
	Opens      int             `json:"opens"`
	OpenMillis float64         `json:"openms"` // mean time of opening and closing
}

// Appends is the rate and cost of appending batches of one size, each with a
// sync. Each batch replaces the entries of the batch before.
type Appends struct {
	Batch         int     `json:"batch"`
	Syncs         int     `json:"syncs"`
	PerSecond     float64 `json:"entries"`
	BytesPerEntry float64 `json:"entrybytes"` // bytes on disk
	Cost          Cost    `json:"append"`     // of one batch
}

// MeasureStorage measures appends with their syncs and the opening of a log, in
// temporary folders that it removes. It returns an error for settings out of
// range, for a failed operation of the store and for a log that opens with
// missing entries.
func MeasureStorage(s StorageSettings) (Storage, error) {
	out := Storage{Settings: s}
	invalid := len(s.Batches) == 0 || slices.Min(s.Batches) < 1 || s.Span <= 0
	if invalid || s.Entries < storedBatch || s.Entries%storedBatch != 0 {
		return out, fmt.Errorf("storage settings: batches and span must be positive and entries a multiple of %d", storedBatch)
	}
	folder, err := os.MkdirTemp(s.Folder, "goldcreststack-measure-")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(folder)
	for _, batch := range s.Batches {
		result, err := measureAppends(fmt.Sprintf("%s/%d", folder, batch), batch, s.Span)
		if err != nil {
			return out, err
		}
		out.Appends = append(out.Appends, result)
	}
	out.Opens, out.OpenMillis, err = measureOpen(folder+"/open", s)
	return out, err
}

// measureAppends appends batches with the same indexes, each replacing the one
// before, so that the store's in-memory index of entry positions doesn't grow.
func measureAppends(folder string, batch int, span time.Duration) (Appends, error) {
	out := Appends{Batch: batch}
	store, _, err := storer.Open(folder, storedMember, storer.Options{})
	if err != nil {
		return out, err
	}
	defer store.Close()
	entries := logEntries(1, batch)
	m := newMeter()
	for time.Since(m.start) < span {
		if err := store.Append(entries); err != nil {
			return out, err
		}
		if err := store.Sync(); err != nil {
			return out, err
		}
		out.Syncs++
	}
	elapsed, cost := m.stop(out.Syncs)
	size, err := folderSize(folder)
	if err != nil {
		return out, err
	}
	count := float64(batch * out.Syncs)
	out.PerSecond = count / elapsed.Seconds()
	out.BytesPerEntry = float64(size) / count
	out.Cost = cost
	return out, store.Close()
}

func measureOpen(folder string, s StorageSettings) (opens int, mean float64, err error) {
	store, _, err := storer.Open(folder, storedMember, storer.Options{})
	if err != nil {
		return 0, 0, err
	}
	for first := 1; first < s.Entries && err == nil; first += storedBatch {
		err = store.Append(logEntries(modeler.Index(first), storedBatch))
	}
	if err == nil {
		err = store.Sync()
	}
	if closeErr := store.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return 0, 0, err
	}
	m := newMeter()
	for time.Since(m.start) < s.Span {
		store, saved, err := storer.Open(folder, storedMember, storer.Options{})
		if err != nil {
			return opens, 0, err
		}
		if err := store.Close(); err != nil {
			return opens, 0, err
		}
		if len(saved.Entries) != s.Entries {
			return opens, 0, fmt.Errorf("the opened log has %d entries, not the %d that were appended", len(saved.Entries), s.Entries)
		}
		opens++
	}
	_, cost := m.stop(opens)
	return opens, cost.Time / 1e6, nil
}

func logEntries(first modeler.Index, count int) []modeler.LogEntry {
	entries := make([]modeler.LogEntry, count)
	for i := range entries {
		entries[i] = modeler.LogEntry{Index: first + modeler.Index(i), Term: 3, Data: make([]byte, storedBytes)}
	}
	return entries
}

func folderSize(folder string) (int64, error) {
	names, err := os.ReadDir(folder)
	if err != nil {
		return 0, err
	}
	size := int64(0)
	for _, name := range names {
		info, err := name.Info()
		if err != nil {
			return 0, err
		}
		size += info.Size()
	}
	return size, nil
}

// Text returns the result as a table.
func (s Storage) Text() string {
	t := newTable("BATCH\tSYNCS\tENTRIES/S\tB/ENTRY\tNS/BATCH\tB/BATCH\tALLOCS/BATCH")
	for _, a := range s.Appends {
		t.addRow("%d\t%d\t%.0f\t%.1f\t%.0f\t%d\t%d", a.Batch, a.Syncs, a.PerSecond, a.BytesPerEntry, a.Cost.Time, a.Cost.Bytes, a.Cost.Allocations)
	}
	return fmt.Sprintf("entries of %d bytes, a sync for each batch, each batch replaces the last, %v each\n\n%s\nopening %d entries takes %.1f ms (%d times)\n",
		storedBytes, s.Settings.Span, t, s.Settings.Entries, s.OpenMillis, s.Opens)
}
