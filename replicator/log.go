package replicator

import "goldcreststack.example/goldcreststack/modeler"

// chunkSize is the number of entries in one chunk of the log. A chunk of 512
// entries takes 24 kB, which keeps a short log small and lets a long one do
// with few allocations.
const chunkSize = 512

// entryLog holds the entries after base in chunks of fixed size, so that an
// append never copies earlier entries. Stored entries are never overwritten:
// slices handed out stay valid after a truncation or a compaction.
type entryLog struct {
	base     modeler.Index
	baseTerm modeler.Term
	last     modeler.Index
	// first is the index of the first entry of the first chunk. It can lie up
	// to one chunk below base, since compaction drops whole chunks only.
	first  modeler.Index
	chunks [][]modeler.LogEntry
}

// reset empties the log; the next entry follows base.
func (l *entryLog) reset(base modeler.Index, term modeler.Term) {
	*l = entryLog{base: base, baseTerm: term, last: base, first: base + 1}
}

func (l *entryLog) at(index modeler.Index) *modeler.LogEntry {
	offset := index - l.first
	return &l.chunks[offset/chunkSize][offset%chunkSize]
}

// term returns the term of the entry, or false when the log doesn't hold it.
func (l *entryLog) term(index modeler.Index) (modeler.Term, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last:
		return 0, false
	default:
		return l.at(index).Term, true
	}
}

func (l *entryLog) lastTerm() modeler.Term {
	term, _ := l.term(l.last)
	return term
}

func (l *entryLog) append(entry modeler.LogEntry) {
	n := len(l.chunks)
	if n == 0 || len(l.chunks[n-1]) == chunkSize {
		l.chunks = append(l.chunks, make([]modeler.LogEntry, 0, chunkSize))
		n++
	}
	l.chunks[n-1] = append(l.chunks[n-1], entry)
	l.last = entry.Index
}

// truncate drops the entries from the given index on.
func (l *entryLog) truncate(from modeler.Index) {
	offset := from - l.first
	n, rest := offset/chunkSize, offset%chunkSize
	if rest > 0 {
		// The chunk is copied, since messages may still refer to the entries
		// that will be replaced.
		kept := make([]modeler.LogEntry, rest, chunkSize)
		copy(kept, l.chunks[n])
		l.chunks[n] = kept
		n++
	}
	clear(l.chunks[n:])
	l.chunks = l.chunks[:n]
	l.last = from - 1
}

// compact drops the entries up to the index, which becomes the new base. It
// does nothing when the log doesn't hold that entry.
func (l *entryLog) compact(index modeler.Index) {
	term, ok := l.term(index)
	if !ok || index == l.base {
		return
	}
	l.base, l.baseTerm = index, term
	for len(l.chunks) > 0 && l.first+chunkSize-1 <= index {
		l.chunks[0] = nil
		l.chunks = l.chunks[1:]
		l.first += chunkSize
	}
}

// tailStart returns the index of the entry before the tail that ends at the
// given index. The tail has at most count entries and about size bytes.
func (l *entryLog) tailStart(index modeler.Index, count, size int) modeler.Index {
	for count > 0 && size > 0 && index > l.base {
		size -= len(l.at(index).Data)
		count--
		index--
	}
	return index
}

// batch returns entries from the given index on, without a copy: at most count
// entries and size bytes, but at least one entry, and none beyond the end of the
// chunk.
func (l *entryLog) batch(from modeler.Index, count, size int) []modeler.LogEntry {
	offset := from - l.first
	chunk := l.chunks[offset/chunkSize]
	chunk = chunk[offset%chunkSize:]
	count = min(count, len(chunk))
	total := 0
	for i := range count {
		total += len(chunk[i].Data)
		if total > size && i > 0 {
			count = i
			break
		}
	}
	return chunk[:count:count]
}

// entryRange returns the entries from the first to the last index, both
// included. It copies them only when they lie in several chunks.
func (l *entryLog) entryRange(from, to modeler.Index) []modeler.LogEntry {
	count := int(to-from) + 1
	entries := l.batch(from, count, int(^uint(0)>>1))
	if len(entries) == count {
		return entries
	}
	all := make([]modeler.LogEntry, 0, count)
	for len(all) < count {
		next := l.batch(from+modeler.Index(len(all)), count-len(all), int(^uint(0)>>1))
		all = append(all, next...)
	}
	return all
}
