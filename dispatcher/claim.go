package dispatcher

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// claim is an announcement of a newer generation of a worker that no process has confirmed.
// An announcement alone may be of another writer, so the worker is asked before the attempts
// of the generation known so far are given up.
type claim struct {
	worker modeler.WorkerAnnouncement
	// heardAt is when it was last announced.
	heardAt modeler.ClockReading
	// isAsking means that a renewal to the claimant is in flight; the next one is due at
	// askAt.
	isAsking bool
	askAt    modeler.ClockReading
}

// HandleAnnouncement handles an announcement of a worker, and reports whether it has to be
// recorded. One of a newer generation is listed in Output.Announced once a process answers as
// that generation at its address.
func (d *Dispatcher) HandleAnnouncement(now modeler.ClockReading, m *modeler.WorkerAnnouncement) bool {
	h := d.hosts[m.ID]
	if h != nil && h.worker.Generation == m.Generation {
		h.announcedAt = now
		if m.Leaving && h.worker.Leaving {
			h.leaveAt = now.Add(m.Remaining)
		}
	}
	switch {
	case d.isCommitted(m) || !d.namesWorker(m):
		return false
	case h != nil && !h.gone && h.worker.Generation < m.Generation:
		d.handleClaim(now, h, m)
		return false
	default:
		return true
	}
}

// isCommitted reports whether the announcement holds nothing that has to be
// committed.
func (d *Dispatcher) isCommitted(m *modeler.WorkerAnnouncement) bool {
	held, known := d.state.Workers()[m.ID]
	if !known {
		return false
	}
	if m.Generation < held.Generation {
		// An announcement of an earlier generation that arrives late changes
		// nothing.
		return true
	}
	return held.Generation == m.Generation && held.Address == m.Address && held.Service == m.Service &&
		held.Capacity == m.Capacity && (held.Leaving || !m.Leaving)
}

// namesWorker reports whether an announcement names a worker to use: its service is in the
// layout, or was when the worker became known. There is no other way to tell announcements of
// other writers from those of workers whose service a later layout names.
func (d *Dispatcher) namesWorker(m *modeler.WorkerAnnouncement) bool {
	layout := d.state.Layout()
	if layout.Number == 0 || slices.Contains(layout.Services, m.Service) {
		return true
	}
	held, known := d.state.Workers()[m.ID]
	return known && held.Service == m.Service
}

// handleClaim asks the process at the address of a newer generation which one it is.
func (d *Dispatcher) handleClaim(now modeler.ClockReading, h *host, m *modeler.WorkerAnnouncement) {
	if h.claim == nil || h.claim.worker.Generation != m.Generation || h.claim.worker.Address != m.Address {
		h.claim = &claim{worker: *m}
	}
	h.claim.worker, h.claim.heardAt = *m, now
	d.askClaimant(now, h)
}

// askClaimant sends a renewal to the address of a claim if one is due. It carries the fencing
// token of the known generation, which goes on if the claim is not confirmed.
func (d *Dispatcher) askClaimant(now modeler.ClockReading, h *host) {
	c := h.claim
	if c == nil || c.isAsking || now < c.askAt {
		return
	}
	if now.Sub(c.heardAt) > maxAnnouncementAge {
		h.claim = nil
		return
	}
	c.isAsking = true
	d.out.Orders = append(d.out.Orders, modeler.Order{
		Kind: modeler.RenewOrder, Worker: c.worker.ID, Generation: c.worker.Generation, Address: c.worker.Address, Fence: h.fence, Timeout: orderTimeout,
	})
}

// handleClaimAnswer handles the answer to an order of askClaimant, and reports whether the
// order was one.
func (d *Dispatcher) handleClaimAnswer(now modeler.ClockReading, h *host, o modeler.Order, a modeler.OrderAnswer) bool {
	c := h.claim
	if c == nil || !c.isAsking || o.Generation != c.worker.Generation || h.worker.Generation == o.Generation {
		return false
	}
	c.isAsking = false
	c.askAt = now.Add(renewRetryInterval)
	switch {
	case a.Outcome == modeler.OrderAccepted && (a.Generation == c.worker.Generation || a.Generation == 0):
		h.claim = nil
		d.out.Announced = append(d.out.Announced, c.worker)
	case a.Outcome == modeler.OrderAccepted, a.Outcome == modeler.OrderWrongWorker:
		d.settings.Log("announcement is not confirmed", "worker", h.worker.ID, "generation", c.worker.Generation, "known", h.worker.Generation,
			"answered", a.Generation, "address", c.worker.Address, "service", c.worker.Service, "fate", a.Outcome.String())
		h.claim = nil
	}
	return true
}
