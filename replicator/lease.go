package replicator

import "goldcreststack.example/goldcreststack/modeler"

// LeaseEnd returns the reading up to which no other member can lead; it is
// not after now when the lease isn't valid.
func (r *Replicator) LeaseEnd(now modeler.ClockReading) modeler.ClockReading {
	now = max(now, r.now)
	if !r.LeaseValid(now) {
		return 0
	}
	return r.answered(now).Add(r.lease())
}
