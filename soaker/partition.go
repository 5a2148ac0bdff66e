package soaker

import (
	"net"
	"slices"
	"time"
)

// partition separates some control processes from the others. Entry processes,
// workers and callers reach both sides.
type partition struct{ minority map[*process]bool }

// claimPartition reports whether the hosts of the slots may be separated from the
// others, and counts them as lost for the given time if so. The users allow a
// partition of calm hosts whatever its sides are.
func (w *world) claimPartition(slots []int, span time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settleLosses()
	lost := w.otherLosses(-1)
	if lost > 0 && lost+len(slots) > w.tolerance && !w.allowsExcess() {
		return false
	}
	for _, slot := range slots {
		w.control[slot].loseFor(span)
	}
	return true
}

// separate separates the processes from the other control processes until join is
// called.
func (w *world) separate(minority []*process) {
	divided := &partition{minority: make(map[*process]bool)}
	for _, p := range minority {
		divided.minority[p] = true
	}
	w.divided.Store(divided)
	for _, p := range w.startedControl() {
		p.link.separate()
	}
}

// join ends the partition.
func (w *world) join() {
	w.divided.Store(nil)
	for _, p := range w.startedControl() {
		p.link.join()
	}
}

// startedControl returns all control processes that were started so far.
func (w *world) startedControl() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.started)
}

// isSeparated reports whether the partition separates the process from the one that
// has opened a connection to it.
func (w *world) isSeparated(p *process, client net.Conn) bool {
	divided := w.divided.Load()
	if divided == nil {
		return false
	}
	from := client.RemoteAddr().(*net.TCPAddr).IP.String()
	return slices.ContainsFunc(w.startedControl(), func(other *process) bool {
		return other.bind == from && divided.minority[other] != divided.minority[p]
	})
}
