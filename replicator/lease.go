package replicator

import "goldcreststack.example/goldcreststack/modeler"

// LeaseEnd returns the reading up to which no other member can lead, or 0 when
// the lease is not valid at now.
func (r *Replicator) LeaseEnd(now modeler.ClockReading) modeler.ClockReading {
	now = max(now, r.now)
	if !r.LeaseValid(now) {
		return 0
	}
	return r.quorumAnsweredAt(now).Add(r.LeaseDuration())
}
