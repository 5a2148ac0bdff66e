package dispatcher

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// silenceDelay is how long a worker with attempts gives no answer before that is recorded:
	// several lost renewals in a row.
	silenceDelay = 1500 * time.Millisecond
	// silenceRetryInterval is the time between two attempts to record a silence or its end.
	silenceRetryInterval = time.Second
	// silentAnnouncementAge replaces maxAnnouncementAge for a worker whose silence an earlier
	// leader has recorded: two announcements are due in this time.
	silentAnnouncementAge = 3500 * time.Millisecond
)

// silence is what is recorded of a worker that gives no answer. The record tells when all its
// leases are over, so that later leaders don't wait for the longest lease anew. From its
// proposal on no lease is extended until the return of the worker is recorded.
type silence struct {
	isRecorded bool
	// leasesOverAt is from when no lease can be valid by the record of an earlier leader, or 0
	// if there is none to rely on.
	leasesOverAt modeler.ClockReading
	// listedAt is when the silence or its end was last listed to be recorded, or 0.
	listedAt modeler.ClockReading
}

// LimitLeases tells from when no lease of a worker's generation can be valid by the record of
// the leader before this one. It has no effect once the worker has answered.
func (d *Dispatcher) LimitLeases(now modeler.ClockReading, s modeler.WorkerSilence, over modeler.ClockReading) {
	h := d.hosts[s.Worker]
	if h == nil || h.worker.Generation != s.Generation {
		return
	}
	h.silence.leasesOverAt = max(over, 1)
	h.announcedAt = now.Add(silentAnnouncementAge - maxAnnouncementAge)
}

// tickSilence lists the silence of a worker, or its end, to be recorded.
func (d *Dispatcher) tickSilence(now modeler.ClockReading, h *host) {
	s := &h.silence
	if h.gone || s.listedAt != 0 && now.Sub(s.listedAt) < silenceRetryInterval {
		return
	}
	if h.hasAnswered && h.unanswered == 0 {
		if s.isRecorded {
			d.listReturn(now, h)
		}
		return
	}
	held, isHeld := d.state.Silences()[h.worker.ID]
	if isHeld && held.Term == d.term || h.countSentRuns() == 0 {
		return
	}
	// A silence that the leader before has recorded is recorded for this term at once.
	if s.leasesOverAt == 0 && d.heardBy(now).Sub(h.heardAt) < silenceDelay {
		return
	}
	s.isRecorded = true
	s.listedAt = now
	rest := max(d.leasesExpireAt(h).Sub(now), 0)
	d.settings.Log("worker is silent", "worker", h.worker.ID, "attempts", len(h.runs), "heard", now.Sub(h.heardAt).String(), "leases", rest.String())
	d.out.Silent = append(d.out.Silent, modeler.WorkerSilence{Worker: h.worker.ID, Generation: h.worker.Generation, Term: d.term, Rest: rest})
}

// listReturn lists a worker that answers again, to end the record of its silence.
func (d *Dispatcher) listReturn(now modeler.ClockReading, h *host) {
	h.silence.listedAt = now
	d.out.Returned = append(d.out.Returned, h.worker.ID)
}

// handleReturned ends the silence of a worker whose return is recorded.
func (d *Dispatcher) handleReturned(now modeler.ClockReading, id modeler.WorkerID) {
	if h := d.hosts[id]; h != nil {
		h.silence = silence{}
		h.renewAt = min(h.renewAt, now)
	}
}
