package soaker

import "time"

const (
	// maxPowerOff bounds the time for which hosts are without power, beyond restartAfter.
	maxPowerOff = 2 * time.Second
	// acknowledgementWait bounds the wait for the acknowledgement that the final
	// fault follows.
	acknowledgementWait = 3 * time.Second
	// caughtUpLimit bounds the wait for all hosts to have caught up: a stop in order,
	// a restart, and the time to catch up.
	caughtUpLimit = gracePeriod + time.Second + 2*catchUp
	// maxTorn bounds the number of bytes that a torn write leaves in a log file.
	maxTorn = 64
)

// finalFault is the last fault of a run, which comes right after an
// acknowledgement.
type finalFault struct {
	// loseControl and loseEntries end all processes of a role at the same moment.
	loseControl, loseEntries bool
	// loseDisks makes as many control hosts as the users allow come back with an
	// empty disk, among them the leader if hitsLeader is set.
	loseDisks, hitsLeader bool
	// downTime is the time for which the hosts are without power, beyond restartAfter.
	downTime time.Duration
	// slots is the order in which hosts are chosen.
	slots []int
	torn  [][]byte
}

// planFinalFault chooses the final fault by the random source.
func (w *world) planFinalFault() finalFault {
	kind := w.changeRandom.IntN(8)
	f := finalFault{
		loseControl: kind == 1 || kind >= 4,
		loseEntries: kind >= 6,
		loseDisks:   kind >= 2,
		hitsLeader:  w.changeRandom.IntN(2) == 0,
		downTime:    time.Duration(w.changeRandom.Int64N(int64(maxPowerOff))),
		slots:       w.changeRandom.Perm(w.settings.Control),
	}
	for range w.settings.Control {
		torn := make([]byte, w.changeRandom.IntN(maxTorn))
		for i := range torn {
			torn[i] = byte(w.changeRandom.IntN(256))
		}
		f.torn = append(f.torn, torn)
	}
	return f
}

// injectFinalFault waits until all hosts have caught up, injects the final fault
// right after an acknowledgement, and waits until all processes are back.
func (w *world) injectFinalFault(f finalFault) {
	if !w.awaitCaughtUp() {
		// All hosts may lose their power even so.
		f.loseControl, f.loseDisks = true, false
	}
	hosts := w.controlHosts()
	if leader := w.leaderSlot(w.newClient(time.Second)); f.hitsLeader && leader >= 0 {
		f.slots = append([]int{leader}, f.slots...)
	}
	emptied := make(map[int]bool)
	for _, slot := range f.slots {
		if f.loseDisks && len(emptied) < w.tolerance {
			emptied[slot] = true
		}
	}
	w.check.awaitAcknowledgement(acknowledgementWait)
	for slot, p := range hosts {
		switch {
		case emptied[slot]:
			w.logFault("final fault: %s loses its power and its disk", p.name)
			p.kill(f.downTime, func() { w.emptyDisk(p) })
		case f.loseControl:
			w.logFault("final fault: %s loses its power", p.name)
			p.kill(f.downTime, func() { w.tearLog(p, f.torn[slot]) })
		}
	}
	if f.loseEntries {
		w.logFault("final fault: all entry processes lose their power")
		for _, p := range w.entries {
			p.kill(f.downTime, nil)
		}
	}
	w.awaitRunning()
}

// awaitCaughtUp waits until no host counts as lost. It reports false if the machine
// goes on delaying processes for maxBusyTime, counted from the end of the temporary
// faults: then no further loss is allowed.
func (w *world) awaitCaughtUp() bool {
	for begun := time.Now(); w.ctx.Err() == nil && w.lossCount() > 0; w.sleep(allowanceInterval) {
		delayed := time.Unix(0, w.delayedAt.Load())
		switch {
		case time.Since(later(begun, delayed)) > caughtUpLimit:
			w.check.recordViolation("control processes ended by themselves in the %v after the last fault", caughtUpLimit)
			return true
		case time.Since(w.healedAt) > maxBusyTime && time.Since(delayed) < 2*catchUp:
			w.logFault("the machine is too slow for a further loss")
			return false
		}
	}
	return true
}

// awaitRunning waits until all processes run again.
func (w *world) awaitRunning() {
	for _, p := range w.processes() {
		for !p.isRunning() && w.ctx.Err() == nil {
			w.sleep(allowanceInterval)
		}
	}
}
