package allocator

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// heartbeatInterval is the usual time between two heartbeats of a worker.
	heartbeatInterval = time.Second
	// sessionSilence is how long an entry host may send no renewal (four are
	// due in that time) before its workers are asked to report just after the
	// session's end.
	sessionSilence = time.Second
	// reportRetryDelay is the time until the next report of a worker that still
	// runs requests of an ended session.
	reportRetryDelay = 250 * time.Millisecond
	// minReportDelay is the shortest time within which a report is requested.
	minReportDelay = time.Millisecond
)

// worker is the leader's state of one worker. The slot counts aren't reset with
// a new generation: an entry host that hasn't learned of the restart may still
// send requests to the new process.
type worker struct {
	id          modeler.WorkerID
	generation  modeler.Generation
	address     string
	services    []modeler.ServiceName
	slots       int
	connections int
	idleTimeout time.Duration
	leaving     bool
	revoked     bool
	hasReported bool
	heardAt     modeler.ClockReading
	workerClock modeler.ClockReading // worker's clock in the newest heartbeat
	receiptAt   modeler.ClockReading // leader's time after which the newest heartbeat was measured; 0 if unknown

	heldSlots            int // slots lent to all sessions, live and ended
	committedConnections int // connections that entry hosts may have open
	// unknownSlots counts the slots that sessions of an earlier term which
	// haven't joined this one may use.
	unknownSlots int
	// unknownReported is set when a heartbeat has lowered unknownSlots, so that
	// it no longer includes all slots of the sessions that may still join.
	unknownReported bool
	// unknownPossible is set if the worker was added while sessions of an
	// earlier term hadn't joined, so that they may use its slots.
	unknownPossible bool
	holds           []*hold
	poolEntries     []*poolEntry
}

// newWorker adds a worker that was named by a heartbeat or by a joining entry
// host. Its silence counts from the start of the term.
func (a *Allocator) newWorker(id modeler.WorkerID) *worker {
	w := &worker{id: id, heardAt: a.termStart, unknownPossible: len(a.unjoined) > 0}
	a.workers[id] = w
	a.workerList = append(a.workerList, w)
	a.unreportedWorkers++
	return w
}

// hasWorkerReports reports whether the leader could lend slots that entry hosts
// return: all workers that they named have sent a heartbeat, or Options.WorkerSilence
// has passed since the start of the term.
func (a *Allocator) hasWorkerReports() bool {
	return a.unreportedWorkers == 0 || a.now > a.termStart.Add(a.options.WorkerSilence)
}

// free returns the number of slots that can be lent.
func (w *worker) free() int {
	if !w.hasReported || w.revoked {
		return 0
	}
	return w.slots - w.heldSlots - w.unknownSlots
}

// isNewer reports whether the heartbeat is newer than the last one applied. A
// lower generation is accepted only when the current one has been silent for
// longer than silence.
func (w *worker) isNewer(now modeler.ClockReading, heartbeat *modeler.Heartbeat, silence time.Duration) bool {
	if !w.hasReported || heartbeat.Generation > w.generation {
		return true
	}
	if heartbeat.Generation == w.generation {
		return heartbeat.Clock > w.workerClock
	}
	return now.Sub(w.heardAt) > silence
}

// update applies the heartbeat and reports whether anything has changed that
// entry hosts must know.
func (w *worker) update(now modeler.ClockReading, heartbeat *modeler.Heartbeat) bool {
	changed := !w.hasReported || w.generation != heartbeat.Generation || w.address != heartbeat.Address ||
		w.idleTimeout != heartbeat.IdleTimeout.Std() || !slices.Equal(w.services, heartbeat.Services) ||
		w.slots != heartbeat.Slots || w.connections != heartbeat.Connections
	if w.unknownPossible && !w.hasReported {
		w.unknownSlots = max(0, heartbeat.Slots-w.heldSlots)
	}
	w.hasReported = true
	w.generation = heartbeat.Generation
	w.address = heartbeat.Address
	w.services = heartbeat.Services
	w.slots = heartbeat.Slots
	w.connections = heartbeat.Connections
	w.idleTimeout = heartbeat.IdleTimeout.Std()
	w.leaving = heartbeat.Leaving
	w.heardAt = now
	w.workerClock = heartbeat.Clock
	return changed
}

// applyReport frees the slots of ended sessions that the heartbeat shows to be
// unused. The heartbeat was measured after the receipt that it contains was
// issued. Without a receipt of this term the slots stay taken until the request
// limit has passed.
func (a *Allocator) applyReport(w *worker, heartbeat *modeler.Heartbeat) {
	w.receiptAt = 0
	if heartbeat.Seen.Term != a.term || heartbeat.Seen.At > a.now {
		return
	}
	w.receiptAt = heartbeat.Seen.At
	if w.unknownSlots > 0 && w.receiptAt >= a.priorSessionsEnd {
		w.unknownSlots = min(w.unknownSlots, a.activeOfUnjoined(heartbeat))
		w.unknownReported = true
	}
	for _, h := range slices.Clone(w.holds) {
		if h.session.live || w.receiptAt < h.session.endedAt {
			continue
		}
		if active := possiblyActive(h.session, heartbeat); h.taken > active {
			h.setTaken(active)
			h.dropIfEmpty()
		}
	}
}

// possiblyActive returns the number of active requests that the session may
// have sent: all except those that the heartbeat counts for other sessions.
func possiblyActive(s *session, heartbeat *modeler.Heartbeat) int {
	otherActive := 0
	for _, count := range heartbeat.Sessions {
		if count.Session != s.label {
			otherActive += count.Active
		}
	}
	return subtractActive(heartbeat, otherActive)
}

// activeOfUnjoined returns the number of active requests that sessions of an
// earlier term may have sent: all except those that the heartbeat counts for
// live sessions.
func (a *Allocator) activeOfUnjoined(heartbeat *modeler.Heartbeat) int {
	liveActive := 0
	for _, count := range heartbeat.Sessions {
		if slices.ContainsFunc(a.sessionOrder, func(s *session) bool { return s.live && s.label == count.Session }) {
			liveActive += count.Active
		}
	}
	return subtractActive(heartbeat, liveActive)
}

// subtractActive returns the heartbeat's active requests minus otherActive. It
// subtracts nothing if the counts by session are negative or exceed the total.
func subtractActive(heartbeat *modeler.Heartbeat, otherActive int) int {
	sum := 0
	for _, count := range heartbeat.Sessions {
		if count.Active < 0 {
			return heartbeat.Active
		}
		sum += count.Active
	}
	if sum > heartbeat.Active {
		return heartbeat.Active
	}
	return heartbeat.Active - otherActive
}

// nextReportDelay returns the time within which the worker is to send its next
// heartbeat because it has slots of an ended session, or of a silent one that
// is about to end; 0 means the usual interval. A heartbeat just after the
// session's end gets a receipt, with which the next heartbeat proves that it
// was measured after the end.
func (a *Allocator) nextReportDelay(w *worker) time.Duration {
	next := time.Duration(0)
	requestWithin := func(span time.Duration) {
		if next == 0 || span < next {
			next = span
		}
	}
	requestAfter := func(end modeler.ClockReading) {
		switch remaining := end.Sub(a.now); {
		case remaining > heartbeatInterval:
		case remaining > 0:
			requestWithin(remaining + minReportDelay)
		case w.receiptAt < end:
			requestWithin(minReportDelay)
		default:
			requestWithin(reportRetryDelay)
		}
	}
	for _, h := range w.holds {
		switch s := h.session; {
		case !s.live:
			requestAfter(s.endedAt)
		case a.now.Sub(s.receivedAt) > sessionSilence:
			requestAfter(s.receivedAt.Add(a.maxSessionSpan()))
		}
	}
	if w.unknownSlots > 0 {
		requestAfter(a.priorSessionsEnd)
	}
	return next
}

// updateRevocation updates whether the worker is revoked, and schedules grants
// to the sessions that hold its slots if that or the worker's state has
// changed.
func (a *Allocator) updateRevocation(w *worker, changed bool) {
	if w.unknownSlots > 0 && a.now >= a.priorSessionsEnd.Add(modeler.MaxLocalSpan(a.limit(w))) {
		w.unknownSlots = 0
	}
	if a.connectionsLeft(w) < 1 {
		a.lowerConnections(w)
	}
	// A worker that restarted with fewer slots gets no new requests until the
	// slots lent are no more than its own.
	overcommitted := w.hasReported && w.heldSlots > w.slots
	revoked := w.leaving || overcommitted || a.now.Sub(w.heardAt) > a.options.WorkerSilence
	if revoked == w.revoked && !changed {
		return
	}
	w.revoked = revoked
	for _, h := range w.holds {
		if h.session.live {
			h.markChanged()
		}
	}
}

// removeGoneWorkers removes workers that have been silent for workerRetention.
// A worker with holds stays: the counts of a live session must match the entry
// host's until it begins a new session.
func (a *Allocator) removeGoneWorkers() {
	a.workerList = slices.DeleteFunc(a.workerList, func(w *worker) bool {
		gone := len(w.holds) == 0 && a.now.Sub(w.heardAt) > workerRetention
		if gone {
			w.removeFromPools()
			if !w.hasReported {
				a.unreportedWorkers--
			}
			delete(a.workers, w.id)
		}
		return gone
	})
}

// workerRetention is how long a silent worker is remembered, so that its state
// outlasts a restart.
const workerRetention = 10 * time.Minute

// limit returns the longest request limit of the worker's services.
func (a *Allocator) limit(w *worker) time.Duration {
	longest := time.Duration(0)
	for _, name := range w.services {
		limit, ok := a.limits[name]
		if !ok {
			limit = a.options.RequestLimit
		}
		longest = max(longest, limit)
	}
	return orDefault(longest, a.options.RequestLimit)
}
