package soaker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	// lagTime is the least time for which hosts are cut off until they lag behind.
	lagTime = 500 * time.Millisecond
	// pauseLength is the time for which the hosts that don't lag behind are paused: long
	// enough for the others to hold several elections.
	pauseLength = 3 * time.Second
)

// isolateNewestEntries leaves the newest entries on paused hosts only. It cuts a
// minority of the control hosts off and waits for an acknowledgement. Then it heals the
// links, empties the disk of one of the other hosts and pauses the rest of them. No
// leader may be elected meanwhile, since the host without a disk has forgotten its
// votes and entries. Voters are cut off rather than learners, since nothing may be
// acknowledged if most voters are cut off.
func (w *world) isolateNewestEntries(random *rand.Rand) {
	if w.tolerance == 0 || !w.awaitCaughtUp() {
		return
	}
	hosts := w.controlHosts()
	order := random.Perm(len(hosts))
	if w.settings.Overlap {
		ranks := w.ranks(hosts)
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(ranks[hosts[b]], ranks[hosts[a]]) })
	}
	quorum := len(hosts)/2 + 1
	emptied, paused, lagging := order[0], order[1:quorum], order[quorum:]
	var separated []*process
	for _, slot := range lagging {
		w.logFault("cut links to %s until it lags behind", hosts[slot].name)
		hosts[slot].loseFor(lagTime + acknowledgementWait)
		hosts[slot].link.silence(0, 1)
		separated = append(separated, hosts[slot])
	}
	if w.settings.Overlap {
		// Without it, the others reach these hosts over the links that they have opened.
		w.separate(separated)
	}
	w.sleep(lagTime)
	w.check.awaitAcknowledgement(acknowledgementWait)
	for _, slot := range paused {
		w.logFault("pause %s for %v", hosts[slot].name, pauseLength)
		hosts[slot].loseFor(pauseLength)
		hosts[slot].signal(syscall.SIGSTOP)
	}
	w.logFault("kill %s and empty its disk", hosts[emptied].name)
	w.addLoss(emptied)
	hosts[emptied].kill(0, func() { w.emptyDisk(hosts[emptied]) })
	w.setSuccessor(emptied, hosts[emptied])
	w.endPartition()
	for _, slot := range lagging {
		hosts[slot].link.heal()
	}
	w.sleep(pauseLength)
	for _, slot := range paused {
		hosts[slot].signal(syscall.SIGCONT)
	}
}

// ranks returns 2 for learners, 1 for the leader if there are learners, and 0 for the
// others. Hosts of the lowest ranks are cut off first.
func (w *world) ranks(hosts []*process) map[*process]int {
	ranks := make(map[*process]int)
	client := w.newClient(time.Second)
	leader := w.leaderSlot(client)
	if leader < 0 {
		return ranks
	}
	members, err := readMembers(client, hosts[leader])
	if err != nil {
		return ranks
	}
	for _, p := range hosts {
		if slices.ContainsFunc(members, func(m member) bool { return m.Learner && m.Address == w.linkAddress(p.host) }) {
			ranks[p] = 2
			ranks[hosts[leader]] = 1
		}
	}
	return ranks
}
