package soaker

import (
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// lagTime is the least time for which hosts are cut off until they lag behind.
	lagTime = 500 * time.Millisecond
	// laggingAlone is the time for which the hosts that don't lag behind are paused: long
	// enough for the others to hold several elections.
	laggingAlone = 3 * time.Second
)

// loseNewest leaves the newest entries to paused hosts only: it cuts a minority of
// the control hosts off, waits for an acknowledgement, then heals the links, empties
// the disk of one of the other hosts and pauses the rest of them for a while. No
// leader may be elected meanwhile, since the host without a disk has forgotten its
// votes and entries.
func (w *world) loseNewest(random *rand.Rand) {
	if w.tolerance == 0 {
		return
	}
	w.awaitCaughtUp()
	hosts := w.controlHosts()
	order := random.Perm(len(hosts))
	quorum := len(hosts)/2 + 1
	emptied, paused, lagging := order[0], order[1:quorum], order[quorum:]
	for _, slot := range lagging {
		w.logFault("cut links to %s until it lags behind", hosts[slot].name)
		hosts[slot].loseFor(lagTime + acknowledgementWait)
		hosts[slot].link.silence(0, 1)
	}
	w.sleep(lagTime)
	w.check.awaitAcknowledgement(acknowledgementWait)
	for _, slot := range paused {
		w.logFault("pause %s for %v", hosts[slot].name, laggingAlone)
		hosts[slot].loseFor(laggingAlone)
		hosts[slot].signal(syscall.SIGSTOP)
	}
	w.logFault("kill %s and empty its disk", hosts[emptied].name)
	w.countLoss(emptied)
	hosts[emptied].kill(0, func() { w.emptyDisk(hosts[emptied]) })
	w.setSuccessor(emptied, hosts[emptied])
	for _, slot := range lagging {
		hosts[slot].link.heal()
	}
	w.sleep(laggingAlone)
	for _, slot := range paused {
		hosts[slot].signal(syscall.SIGCONT)
	}
}
