package soaker

import "time"

// catchUp is the time for which a host counts as lost after it has come back or its
// successor has started, from the platform's pages.
const catchUp = 4 * time.Second

// lossTolerance returns how many of the given number of control hosts the users
// allow to be lost at the same time.
func lossTolerance(control int) int {
	switch {
	case control >= 9:
		return 2
	case control >= 3:
		return 1
	default:
		return 0
	}
}

// loseFor marks the host as lost for the given time and the time to catch up.
func (p *process) loseFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostUntil = later(p.lostUntil, time.Now().Add(d+catchUp))
}

// isLost reports whether the host is down, disturbed or catching up.
func (p *process) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.running || time.Now().Before(p.lostUntil)
}

// diskLoss counts the hosts of one slot that were lost for good or have lost their
// disk, and whose successor hasn't caught up.
type diskLoss struct {
	count int
	// successor is the process that replaces them when it has caught up; nil before it
	// is started.
	successor *process
}

// slotLosses returns how many hosts of a slot count as lost; the caller holds the
// lock.
func (w *world) slotLosses(slot int) int {
	count := 0
	loss, p := w.diskLosses[slot], w.control[slot]
	if loss != nil {
		count = loss.count
	}
	isSuccessor := loss != nil && (loss.successor == nil || loss.successor == p)
	if !isSuccessor && p.isLost() {
		count++
	}
	return count
}

// otherLosses returns how many hosts of the other slots count as lost; the caller
// holds the lock.
func (w *world) otherLosses(slot int) int {
	count := 0
	for other := range w.control {
		if other != slot {
			count += w.slotLosses(other)
		}
	}
	return count
}

// dropRecoveredLosses removes the disk losses whose successor has caught up while no
// more hosts were lost than the users allow. The caller holds the lock.
func (w *world) dropRecoveredLosses() {
	for slot, loss := range w.diskLosses {
		if loss.successor != nil && !loss.successor.isLost() && w.otherLosses(slot) < w.tolerance {
			delete(w.diskLosses, slot)
		}
	}
}

// lossCount returns how many hosts count as lost.
func (w *world) lossCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropRecoveredLosses()
	return w.otherLosses(-1)
}

// mayDisturb reports whether the host of the slot may be lost for a while. More
// hosts than the users allow are lost in excess periods only.
func (w *world) mayDisturb(slot int) bool {
	if !w.settings.Replace || w.allowsExcess() {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropRecoveredLosses()
	lost := w.otherLosses(slot) + 1
	if loss := w.diskLosses[slot]; loss != nil {
		lost = w.otherLosses(slot) + loss.count
		if loss.successor != nil && loss.successor != w.control[slot] {
			lost++
		}
	}
	return lost <= w.tolerance
}

// claimLoss reports whether a host of the slot may be lost for good or lose its
// disk, and counts it as lost if so. Excess temporary losses don't forbid it.
func (w *world) claimLoss(slot int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropRecoveredLosses()
	disks := 0
	for _, loss := range w.diskLosses {
		disks += loss.count
	}
	lost := w.otherLosses(slot)
	if loss := w.diskLosses[slot]; loss != nil {
		lost += loss.count
	}
	if disks >= w.tolerance || lost >= w.tolerance && !w.allowsExcess() {
		return false
	}
	w.addLossLocked(slot)
	return true
}

// addLoss counts a host of the slot as lost for good or without its disk.
func (w *world) addLoss(slot int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addLossLocked(slot)
}

// addLossLocked is addLoss for a caller that holds the lock.
func (w *world) addLossLocked(slot int) {
	if w.diskLosses[slot] == nil {
		w.diskLosses[slot] = &diskLoss{}
	}
	w.diskLosses[slot].count++
	w.diskLosses[slot].successor = nil
}

// setSuccessor sets the process that replaces the lost hosts of a slot.
func (w *world) setSuccessor(slot int, p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if loss := w.diskLosses[slot]; loss != nil {
		loss.successor = p
	}
}

// hasDiskLoss reports whether the slot has a disk loss whose successor hasn't caught
// up.
func (w *world) hasDiskLoss(slot int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropRecoveredLosses()
	return w.diskLosses[slot] != nil
}

// allowsExcess reports whether temporary losses may exceed what the users allow.
func (w *world) allowsExcess() bool {
	now := time.Since(w.faultsBegan)
	for _, s := range w.excessPeriods {
		if now >= s.from && now < s.until {
			return true
		}
	}
	return false
}

// period is a time during which temporary losses may exceed what the users allow,
// counted from the first fault.
type period struct{ from, until time.Duration }

// excessLength bounds the lengths of excess periods, and excessPause is the mean time
// between them.
const (
	excessLength = 4 * time.Second
	excessPause  = 12 * time.Second
)

// planExcess returns excess periods at random times.
func (w *world) planExcess(length time.Duration) []period {
	var periods []period
	at := time.Duration(w.changeRandom.Int64N(int64(excessPause)))
	for at < length {
		end := at + time.Duration(w.changeRandom.Int64N(int64(excessLength)))
		periods = append(periods, period{at, end})
		at = end + excessPause/2 + time.Duration(w.changeRandom.Int64N(int64(excessPause)))
	}
	return periods
}
