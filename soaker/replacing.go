package soaker

import (
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// minGap and maxGap bound the time between the loss of a host and the start of
	// its successor.
	minGap = 800 * time.Millisecond
	maxGap = 1200 * time.Millisecond
	// maxOverlap bounds the time for which a successor runs beside the host that it
	// replaces.
	maxOverlap = 3 * time.Second
	// maxPause bounds the time between two changes of hosts in a series.
	maxPause = 1500 * time.Millisecond
	// maxRestartPause bounds the time between the stops of two entry processes.
	maxRestartPause = 500 * time.Millisecond
	// allowanceInterval is the time between two checks of whether a further loss is
	// allowed.
	allowanceInterval = 50 * time.Millisecond
)

// The kinds of changes. The unnamed ones below changeKinds kill and replace a host,
// which is thus chosen most often.
const (
	changeSeeds = iota
	restartEntries
	replacePlanned
	replaceDuringLoss
	wipe
	replaceKilledAndWipe
	changeKinds = 9
)

// changeHosts replaces control hosts, empties disks, changes seeds and restarts entry
// processes, one after the other for the given time. A series for each host that may
// be lost at the same time runs in a goroutine of its own.
func (w *world) changeHosts(length time.Duration, random *rand.Rand) {
	client := w.newClient(time.Second)
	end := time.Now().Add(length)
	for time.Now().Before(end) && w.ctx.Err() == nil {
		w.changeHost(client, random, end)
		w.sleep(time.Duration(random.Int64N(int64(maxPause))))
	}
}

// changeHost makes one change of hosts, chosen by the random source.
func (w *world) changeHost(client *http.Client, random *rand.Rand, end time.Time) {
	kind, slot := random.IntN(changeKinds), random.IntN(w.settings.Control)
	hitsLeader, vanishes := random.IntN(2) == 0, random.IntN(2) == 0
	gap := minGap + time.Duration(random.Int64N(int64(maxGap-minGap)))
	overlap := time.Duration(random.Int64N(int64(maxOverlap)))
	switch kind {
	case changeSeeds:
		w.changeSeeds(random)
		return
	case restartEntries:
		w.restartEntries(random)
		return
	}
	if leader := w.leaderSlot(client); hitsLeader && leader >= 0 {
		slot = leader
	}
	if !w.reserveSlot(slot) {
		return
	}
	defer w.releaseSlot(slot)
	switch kind {
	case replacePlanned, replaceDuringLoss:
		if kind == replaceDuringLoss && w.settings.Overlap {
			w.replaceDuringLoss(slot, end)
			return
		}
		w.replacePlanned(slot, overlap, end)
	case wipe:
		w.wipe(slot, end)
	case replaceKilledAndWipe:
		if w.replaceKilled(slot, gap, vanishes, end) {
			w.sleep(overlap / 2)
			w.wipe(slot, end)
		}
	default:
		w.replaceKilled(slot, gap, vanishes, end)
	}
}

// reserveSlot reserves a slot for one change, and reports false if another change
// of it is under way.
func (w *world) reserveSlot(slot int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changing[slot] {
		return false
	}
	w.changing[slot] = true
	return true
}

func (w *world) releaseSlot(slot int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.changing, slot)
}

// awaitAllowance waits until the slot may lose its disk and counts it as lost. It
// reports false if the run or the time for changes ends first; a zero end means
// no limit.
func (w *world) awaitAllowance(slot int, end time.Time) bool {
	for w.ctx.Err() == nil && (end.IsZero() || time.Now().Before(end)) {
		if w.claimLoss(slot) {
			return true
		}
		w.sleep(allowanceInterval)
	}
	return false
}

// replaceKilled kills the host of the slot for good and starts an empty successor
// at another address after the gap. If the host vanishes, connections to it stay
// open and silent. It reports whether the successor was started.
func (w *world) replaceKilled(slot int, gap time.Duration, vanishes bool, end time.Time) bool {
	if !w.awaitAllowance(slot, end) {
		return false
	}
	former := w.controlHosts()[slot]
	if vanishes {
		w.logFault("kill %s for good, its connections stay open", former.name)
		former.vanish()
	} else {
		w.logFault("kill %s for good", former.name)
		former.retire(syscall.SIGKILL)
	}
	w.endListing(former)
	w.sleep(gap)
	successor, err := w.startSuccessor()
	if err != nil {
		w.check.recordViolation("the successor of %s can't be started: %v", former.name, err)
		return false
	}
	w.logFault("%s takes the place of %s", successor.name, former.name)
	w.setHost(slot, successor)
	w.setSuccessor(slot, successor)
	return true
}

// replacePlanned starts a successor of the slot's host at another address, and
// stops the host in order after the overlap.
func (w *world) replacePlanned(slot int, overlap time.Duration, end time.Time) {
	if successor := w.addSuccessor(slot, end); successor != nil {
		w.sleep(overlap)
		w.stopFormer(slot, successor)
	}
}

// replaceDuringLoss starts a successor of the slot's host at another address, empties
// the disk of another host once the successor counts no longer as lost, and stops the
// host in order as soon as that is allowed.
func (w *world) replaceDuringLoss(slot int, end time.Time) {
	successor := w.addSuccessor(slot, end)
	if successor == nil {
		return
	}
	for w.hasDiskLoss(slot) && w.ctx.Err() == nil {
		w.sleep(allowanceInterval)
	}
	if other := (slot + 1) % w.settings.Control; w.reserveSlot(other) {
		w.wipe(other, end)
		w.releaseSlot(other)
	}
	w.stopFormer(slot, successor)
}

// addSuccessor starts a successor of the slot's host at another address, and returns
// nil if that isn't allowed before the end.
func (w *world) addSuccessor(slot int, end time.Time) *process {
	// A new host counts as lost until it has caught up, too.
	if !w.awaitAllowance(slot, end) {
		return nil
	}
	successor, err := w.startSuccessor()
	if err != nil {
		w.check.recordViolation("a control host can't be added: %v", err)
		return nil
	}
	w.setSuccessor(slot, successor)
	w.logFault("%s is to take the place of %s", successor.name, w.controlHosts()[slot].name)
	return successor
}

// stopFormer stops the slot's host in order for good, as soon as that is allowed.
func (w *world) stopFormer(slot int, successor *process) {
	if !w.hasDiskLoss(slot) && !w.awaitAllowance(slot, time.Time{}) {
		return
	}
	former := w.controlHosts()[slot]
	w.logFault("stop %s for good", former.name)
	w.endListing(former)
	w.setHost(slot, successor)
	w.setSuccessor(slot, successor)
	former.retire(syscall.SIGTERM)
}

// startSuccessor starts an empty control process on a new host.
func (w *world) startSuccessor() (*process, error) {
	p, err := w.newControl()
	if err != nil {
		return nil, err
	}
	w.addListing(p, listDelay)
	return p, w.start(p)
}

// wipe kills the process of the slot, which then restarts at its address with an
// empty folder.
func (w *world) wipe(slot int, end time.Time) {
	if !w.awaitAllowance(slot, end) {
		return
	}
	p := w.controlHosts()[slot]
	w.logFault("kill %s and empty its disk", p.name)
	p.kill(0, func() { w.emptyDisk(p) })
	w.setSuccessor(slot, p)
}

func (w *world) emptyDisk(p *process) {
	if err := os.RemoveAll(p.data); err != nil {
		w.check.recordViolation("the soak can't empty the disk of %s: %v", p.name, err)
	}
}

// changeSeeds writes other seeds to the settings files of the processes, and
// sends SIGHUP to some of them.
func (w *world) changeSeeds(random *rand.Rand) {
	signalled := 0
	for _, p := range w.processes() {
		hasSignal := random.IntN(2) == 0
		p.starting.Lock()
		err := w.writeSettings(p, w.currentSeeds())
		p.starting.Unlock()
		if err != nil {
			w.check.recordViolation("the settings of %s can't be written: %v", p.name, err)
		}
		if hasSignal {
			p.signal(syscall.SIGHUP)
			signalled++
		}
	}
	w.logFault("change the seeds, with %d signals", signalled)
}

// restartEntries stops the entry processes in order, one shortly after the other.
func (w *world) restartEntries(random *rand.Rand) {
	w.logFault("stop all entry processes in order, one after the other")
	for _, p := range w.entries {
		p.signal(syscall.SIGTERM)
		w.sleep(time.Duration(random.Int64N(int64(maxRestartPause))))
	}
}
