package prover

import (
	"fmt"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	impossibleJob = modeler.JobID("huge")
	waveJob       = modeler.JobID("wave-1-0")
)

// pauses holds durations below and above the leases and the election time.
var pauses = []time.Duration{600 * ms, 1300 * ms, 1700 * ms, 3500 * ms}

// injectFault injects a fault and sets the time at which it ends.
func (w *world) injectFault(f *injection) {
	w.addLog("fault %s is injected", f.Name())
	f.endsAt = w.now + ms
	switch f.Fault {
	case ProcessDies, RestartAfterChanges:
		f.endsAt = w.now + 1200*ms
		w.crash(f.Place, 1200*ms)
	case ProcessPauses:
		p := w.target(f.Place)
		p.pausedUntil = w.now + pauses[w.rng.IntN(len(pauses))]
		f.endsAt = p.pausedUntil
	case HostLost, SecondHostLost:
		f.endsAt = w.now + time.Second
		w.loseHost(f.Place)
	case DiskLost:
		m := w.memberAt(f.Place)
		// The member never comes back, so its disk is kept as it was for the check
		// that a quorum had synced each committed entry.
		w.loseProcess(&m.process)
		f.endsAt = w.now + time.Second
		w.repairLater(m.id)
	case Partitioned:
		p := w.target(f.Place)
		p.cutUntil = w.now + 6*time.Second
		f.endsAt = p.cutUntil
	case ConnectionsSilent:
		f.endsAt = w.now + silence
		w.silence(f.Place)
	case SizesWrong, WorkerFails:
		u := w.tracedWorker()
		u.slow, u.failing = f.Fault == SizesWrong, f.Fault == WorkerFails
		f.endsAt = w.now + 4*time.Second
		w.after(nil, 4*time.Second, func() { u.slow, u.failing = false, false })
	default:
		w.injectExternalFault(f.Fault)
	}
}

// injectExternalFault injects a fault that callers or operators cause.
func (w *world) injectExternalFault(f Fault) {
	switch f {
	case ImpossibleJob:
		huge := modeler.Job{ID: impossibleJob, Team: team, Kind: modeler.Gang, Tasks: 2, Runtime: modeler.Duration(time.Second), Size: capacity.Times(2)}
		w.after(nil, 0, func() { w.submitJob(huge, 1) })
	case CancellationWave:
		w.waves++
		var ids []modeler.JobID
		for i := range 12 {
			job := modeler.Job{ID: modeler.JobID(fmt.Sprintf("wave-%d-%d", w.waves, i)), Team: team, Kind: modeler.Batch, Tasks: 3, Size: taskSize, Runtime: modeler.Duration(time.Hour)}
			ids = append(ids, job.ID)
			w.after(nil, 0, func() { w.submitJob(job, i) })
		}
		w.after(nil, 500*ms, func() { w.cancelJobs(ids) })
	case TicketRace:
		number := w.traced.ticket
		if number == 0 {
			w.lastTicket++
			number = w.lastTicket
		}
		for variant := range 3 {
			w.after(nil, 0, func() { w.sendTicket(w.newTicket(number, variant), variant, variant) })
		}
	case TicketResent:
		number := w.traced.ticket
		if number == 0 {
			w.lastTicket++
			number = w.lastTicket
		}
		w.after(nil, 0, func() { w.sendTicketLossy(w.newTicket(number, 0), 0, 1, 3) })
	}
}

// cancelJobs sends a cancellation of the jobs every second, for the rest of the
// case.
func (w *world) cancelJobs(ids []modeler.JobID) {
	e := w.entries[1]
	if e.alive && e.pausedUntil <= w.now {
		w.send(nil, &e.process, func() {
			e.propose(&modeler.Command{Kind: modeler.CancelJobs, Cancel: &modeler.Cancellation{Jobs: ids}}, time.Second, func(modeler.Result) {})
		})
	}
	w.after(nil, time.Second, func() { w.cancelJobs(ids) })
}

// memberAt returns the leader or a follower. If there is none, it returns a running
// member, preferably one with the role of leader.
func (w *world) memberAt(p Place) *member {
	m := w.follower()
	if p == Leader {
		m = w.leader()
	}
	if m != nil {
		return m
	}
	for _, other := range w.members {
		if other.alive && (m == nil || other.leaderState != nil) {
			m = other
		}
	}
	return m
}

// tracedWorker returns the worker of the traced request or task, or the first worker.
func (w *world) tracedWorker() *upstream {
	if c := w.traced.call; c != nil && c.worker != "" {
		return w.worker(c.worker)
	}
	for _, u := range w.workers {
		for task := range u.tasks {
			if task.Job == w.traced.job {
				return u
			}
		}
	}
	for id, p := range w.placed {
		if id.task.Job == w.traced.job {
			return w.worker(p.Worker)
		}
	}
	return w.workers[0]
}

func (w *world) target(p Place) *process {
	switch p {
	case EntryHost:
		return &w.entries[0].process
	case Worker:
		return &w.tracedWorker().process
	default:
		return &w.memberAt(p).process
	}
}

// crash ends a process and restarts it after the given time.
func (w *world) crash(p Place, down time.Duration) {
	switch p {
	case EntryHost:
		e := w.entries[0]
		w.endEntry(e)
		w.after(nil, down, func() {
			if !e.alive && !e.isLost {
				e.start()
			}
		})
	case Worker:
		u := w.tracedWorker()
		w.endWorker(u)
		w.after(nil, down, func() {
			if !u.alive && !u.isLost {
				u.start()
			}
		})
	default:
		m := w.memberAt(p)
		w.end(&m.process)
		w.after(nil, down, func() {
			if !m.alive && !m.isLost {
				m.start()
			}
		})
	}
}

// loseHost loses a host permanently. A lost worker keeps running its tasks while it
// is cut off from all hosts, which is the harder case.
func (w *world) loseHost(p Place) {
	switch p {
	case EntryHost:
		e := w.entries[0]
		e.isLost = true
		w.endEntry(e)
	case Worker:
		w.tracedWorker().cutUntil = forever
	default:
		m := w.memberAt(p)
		w.loseProcess(&m.process)
		w.repairLater(m.id)
	}
}

// repairLater replaces a lost member after a second.
func (w *world) repairLater(old modeler.MemberID) {
	w.repairing++
	w.after(nil, time.Second, func() {
		w.repairing--
		w.startRepair(old, w.nextMember())
	})
}

// silence stops the open connections of a process from carrying messages; new
// connections work.
func (w *world) silence(p Place) {
	t := w.target(p)
	for _, l := range w.links {
		if &l.e.process == t || &l.m.process == t {
			l.silent = l.up
		}
	}
	for _, m := range w.members {
		for _, other := range w.members {
			if &m.process == t && m != other {
				m.silent[other.id] = w.now + silence
			}
		}
	}
	for _, u := range w.workers {
		for n := range u.conns {
			n.silent = n.silent || &u.process == t || &n.e.process == t
		}
	}
}
