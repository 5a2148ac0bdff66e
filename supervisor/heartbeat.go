package supervisor

import "goldcreststack.example/goldcreststack/modeler"

// Heartbeat takes a worker's report and answers with the renewed leases.
func (s *Supervisor) Heartbeat(now modeler.ClockReading, b *modeler.Heartbeat) modeler.HeartbeatAnswer {
	answer := modeler.HeartbeatAnswer{Worker: b.Worker}
	h := s.host(b.Worker)
	if b.Generation < h.generation || b.Generation == h.generation && b.Clock < h.clock {
		// An old report that was delayed on its way says nothing new.
		return answer
	}
	if b.Generation > h.generation {
		s.restarted(h, b.Generation)
	}
	h.generation = b.Generation
	h.address = b.Address
	h.clock = b.Clock
	h.heard = now
	h.silent = false
	reported := make(map[modeler.TaskID]modeler.Attempt, len(b.Tasks))
	for i := range b.Tasks {
		r := &b.Tasks[i]
		s.report(now, h, b, r)
		// An ended attempt of the same task may be reported beside this one.
		reported[r.Task] = max(reported[r.Task], r.Attempt)
	}
	for task, a := range h.tasks {
		if reported[task] != a.placement.Attempt {
			s.missing(now, h, a)
		}
	}
	answer.Leases = s.renew(now, h)
	return answer
}

// restarted ends the attempts of earlier generations, which a restarted
// worker no longer runs.
func (s *Supervisor) restarted(h *host, generation modeler.Generation) {
	for _, a := range h.tasks {
		if a.placement.Generation < generation {
			s.end(h, a, modeler.TaskLost, "the worker restarted")
		}
	}
}

// report takes what the worker says of one task.
func (s *Supervisor) report(now modeler.ClockReading, h *host, b *modeler.Heartbeat, r *modeler.TaskReport) {
	a, found := h.tasks[r.Task]
	if !found || a.placement.Attempt != r.Attempt {
		s.orphan(now, h, b, r)
		return
	}
	if a.failsFast(now, r.State) {
		return
	}
	if r.State.Ended() {
		s.end(h, a, r.State, r.Detail)
		return
	}
	if !a.seen {
		a.since = now
	}
	a.seen = true
	a.mayRun = true
	if a.stop != "" && (!a.sent || now.Sub(a.lastSent) >= resend) {
		s.send(now, h, a, a.stop)
	}
}

// orphan stops an attempt that runs without being placed.
func (s *Supervisor) orphan(now modeler.ClockReading, h *host, b *modeler.Heartbeat, r *modeler.TaskReport) {
	if r.State.Ended() {
		return
	}
	a := &attempt{placement: modeler.Placement{
		Task:       r.Task,
		Attempt:    r.Attempt,
		Worker:     b.Worker,
		Generation: b.Generation,
	}}
	s.send(now, h, a, modeler.StopTask)
}

// missing handles an attempt that the worker doesn't report.
func (s *Supervisor) missing(now modeler.ClockReading, h *host, a *attempt) {
	switch {
	case a.seen:
		s.end(h, a, modeler.TaskLost, "the worker no longer reports the task")
	case a.stop != "" && now > a.heldUntil:
		s.end(h, a, modeler.TaskStopped, "")
	case a.stop == "" && (!a.sent || now.Sub(a.lastSent) >= resend):
		s.sendStart(now, h, a)
	}
}

// renew extends the leases of the attempts that are to go on.
func (s *Supervisor) renew(now modeler.ClockReading, h *host) []modeler.TaskLease {
	var leases []modeler.TaskLease
	for _, a := range h.tasks {
		if a.stop == modeler.StopTask || !a.seen {
			continue
		}
		a.heldUntil = max(a.heldUntil, now.Add(heldFor))
		leases = append(leases, s.lease(h, a.placement))
	}
	return leases
}
