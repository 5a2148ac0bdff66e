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
// others, and counts them as lost for the given time if so. While no host counts as
// lost, the users allow any partition.
func (w *world) claimPartition(slots []int, span time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropRecoveredLosses()
	lost := w.otherLosses(-1)
	if lost > 0 && lost+len(slots) > w.tolerance && !w.allowsExcess() {
		return false
	}
	for _, slot := range slots {
		w.control[slot].loseFor(span)
	}
	return true
}

// separate separates the processes from the other control processes until
// endPartition is called.
func (w *world) separate(minority []*process) {
	current := &partition{minority: make(map[*process]bool)}
	for _, p := range minority {
		current.minority[p] = true
	}
	w.partition.Store(current)
	for _, p := range w.startedControl() {
		p.link.separate()
	}
}

// endPartition ends the partition.
func (w *world) endPartition() {
	w.partition.Store(nil)
	for _, p := range w.startedControl() {
		p.link.resetSeparated()
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
	current := w.partition.Load()
	if current == nil {
		return false
	}
	from := client.RemoteAddr().(*net.TCPAddr).IP.String()
	return slices.ContainsFunc(w.startedControl(), func(other *process) bool {
		return other.bind == from && current.minority[other] != current.minority[p]
	})
}
