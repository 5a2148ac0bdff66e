package supervisor

import "goldcreststack.example/goldcreststack/modeler"

// Heartbeat processes a worker's heartbeat, received at now, and returns the
// renewed leases of its tasks.
func (s *Supervisor) Heartbeat(now modeler.ClockReading, b *modeler.Heartbeat) modeler.HeartbeatAnswer {
	answer := modeler.HeartbeatAnswer{Worker: b.Worker}
	w := s.workerState(b.Worker)
	if b.Generation < w.generation || b.Generation == w.generation && b.Clock < w.clock {
		// The heartbeat was delayed in transit and a newer one has arrived.
		return answer
	}
	if b.Generation > w.generation {
		s.endEarlierGenerations(w, b.Generation)
	}
	w.generation = b.Generation
	w.address = b.Address
	w.clock = b.Clock
	w.heardAt = now
	w.isSilent = false
	reported := make(map[modeler.TaskID]modeler.Attempt, len(b.Tasks))
	for i := range b.Tasks {
		r := &b.Tasks[i]
		s.handleReport(now, w, b, r)
		// A heartbeat may list an earlier, ended attempt of the same task too.
		reported[r.Task] = max(reported[r.Task], r.Attempt)
	}
	for task, a := range w.tasks {
		if reported[task] != a.placement.Attempt {
			s.handleUnreported(now, w, a)
		}
	}
	answer.Leases = s.renewLeases(now, w)
	return answer
}

// endEarlierGenerations ends the attempts that were placed in an earlier
// generation of the worker, which no longer run after its restart.
func (s *Supervisor) endEarlierGenerations(w *workerState, generation modeler.Generation) {
	for _, a := range w.tasks {
		if a.placement.Generation < generation {
			s.endAttempt(w, a, modeler.TaskLost, "the worker restarted")
		}
	}
}

// handleReport processes the heartbeat's report of one task.
func (s *Supervisor) handleReport(now modeler.ClockReading, w *workerState, b *modeler.Heartbeat, r *modeler.TaskReport) {
	a, found := w.tasks[r.Task]
	if !found || a.placement.Attempt != r.Attempt {
		s.stopUnplaced(now, w, b, r)
		return
	}
	if a.failedTooEarly(now, r.State) {
		return
	}
	if r.State.Ended() {
		s.endAttempt(w, a, r.State, r.Detail)
		return
	}
	if !a.reportedRunning {
		a.runningSince = now
	}
	a.reportedRunning = true
	a.mayBeRunning = true
	if a.stopVerb != "" && (!a.orderSent || now.Sub(a.lastSentAt) >= resendInterval) {
		s.send(now, w, a, a.stopVerb)
	}
}

// stopUnplaced orders the worker to stop a running attempt that isn't placed
// there.
func (s *Supervisor) stopUnplaced(now modeler.ClockReading, w *workerState, b *modeler.Heartbeat, r *modeler.TaskReport) {
	if r.State.Ended() {
		return
	}
	a := &attempt{placement: modeler.Placement{
		Task:       r.Task,
		Attempt:    r.Attempt,
		Worker:     b.Worker,
		Generation: b.Generation,
	}}
	s.send(now, w, a, modeler.StopTask)
}

// handleUnreported handles a placed attempt that is absent from the worker's
// heartbeat.
func (s *Supervisor) handleUnreported(now modeler.ClockReading, w *workerState, a *attempt) {
	switch {
	case a.reportedRunning:
		s.endAttempt(w, a, modeler.TaskLost, "the worker no longer reports the task")
	case a.stopVerb != "" && now > a.leaseHeldUntil:
		s.endAttempt(w, a, modeler.TaskStopped, "")
	case a.stopVerb == "" && (!a.orderSent || now.Sub(a.lastSentAt) >= resendInterval):
		s.sendStart(now, w, a)
	}
}

// renewLeases extends the leases of the reported attempts that have no stop
// order. An attempt that is being checkpointed keeps its lease.
func (s *Supervisor) renewLeases(now modeler.ClockReading, w *workerState) []modeler.TaskLease {
	var leases []modeler.TaskLease
	for _, a := range w.tasks {
		if a.stopVerb == modeler.StopTask || !a.reportedRunning {
			continue
		}
		a.leaseHeldUntil = max(a.leaseHeldUntil, now.Add(leaseHoldTime))
		leases = append(leases, s.lease(w, a.placement))
	}
	return leases
}
