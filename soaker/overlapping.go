package soaker

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	// minPartition and maxPartition bound the length of a partition. In the shortest
	// one, the other side elects a leader.
	minPartition = 1500 * time.Millisecond
	maxPartition = 4 * time.Second
	// maxOverlapPause bounds the time between two faults of overlapFaults.
	maxOverlapPause = 3 * time.Second
	// maxSignals and maxSignalPause bound the signals of a series and the time
	// between two of them.
	maxSignals     = 6
	maxSignalPause = 200 * time.Millisecond
)

// overlapFaults separates control hosts from each other and sends signals in series
// for the given time, beside the other faults and changes.
func (w *world) overlapFaults(length time.Duration, random *rand.Rand) {
	client := w.newClient(time.Second)
	for end := time.Now().Add(length); time.Now().Before(end) && w.ctx.Err() == nil; {
		switch slots := w.chooseSlots(w.leaderSlot(client), random); random.IntN(3) {
		case 0:
			w.signalInSeries(slots[0], random)
		case 1:
			w.partitionHosts(slots[:1], random, end)
		default:
			w.partitionHosts(slots[:len(slots)/2], random, end)
		}
		w.sleep(time.Duration(random.Int64N(int64(maxOverlapPause))))
	}
}

// chooseSlots returns the slots in random order, half of the time with the leader's
// first.
func (w *world) chooseSlots(leader int, random *rand.Rand) []int {
	slots := random.Perm(w.settings.Control)
	if hitsLeader := random.IntN(2) == 0; hitsLeader && leader >= 0 {
		i := slices.Index(slots, leader)
		slots[0], slots[i] = slots[i], slots[0]
	}
	return slots
}

// partitionHosts separates the hosts of the slots from the other control hosts for
// a while, as soon as that is allowed.
func (w *world) partitionHosts(slots []int, random *rand.Rand, end time.Time) {
	span := minPartition + time.Duration(random.Int64N(int64(maxPartition-minPartition)))
	for !w.claimPartition(slots, span) {
		if time.Now().After(end) || w.ctx.Err() != nil {
			return
		}
		w.sleep(allowanceInterval)
	}
	var minority []*process
	hosts := w.controlHosts()
	for _, slot := range slots {
		w.logFault("separate %s from other control hosts for %v", hosts[slot].name, span)
		minority = append(minority, hosts[slot])
	}
	w.separate(minority)
	w.sleep(span)
	w.endPartition()
}

// signalInSeries sends a series of signals to an entry process or to the control
// process of the slot. The process may end and be started again meanwhile.
func (w *world) signalInSeries(slot int, random *rand.Rand) {
	p := w.entries[random.IntN(len(w.entries))]
	if random.IntN(2) == 0 {
		if !w.mayDisturb(slot) {
			return
		}
		p = w.controlHosts()[slot]
	}
	signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT}
	count := 2 + random.IntN(maxSignals-1)
	w.logFault("send %d signals in series to %s", count, p.name)
	p.loseFor(restartAfter + time.Duration(count)*maxSignalPause)
	for range count {
		p.signal(signals[random.IntN(len(signals))])
		w.sleep(time.Duration(random.Int64N(int64(maxSignalPause))))
	}
	p.signal(syscall.SIGCONT)
}
