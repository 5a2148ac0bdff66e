package allocator

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// beatSpan is the usual time between two heartbeats of a worker.
	beatSpan = time.Second
	// quietSpan is how long an entry host may stay without a renewal, one of
	// four that were due, before its session's end is prepared for.
	quietSpan = time.Second
	// reportPause is the pause before a worker that still runs requests of an
	// ended session is asked once more.
	reportPause = 250 * time.Millisecond
	// promptly is the shortest time within which a report is asked for.
	promptly = time.Millisecond
)

// worker is what the leader knows of one worker. The counts don't start again
// with a new generation: an entry host that hasn't heard of the restart may
// still send to the new one.
type worker struct {
	id          modeler.WorkerID
	generation  modeler.Generation
	address     string
	services    []modeler.ServiceName
	slots       int
	connections int
	idle        time.Duration
	leaving     bool
	revoked     bool
	known       bool
	heard       modeler.ClockReading
	clock       modeler.ClockReading // of the newest heartbeat
	seen        modeler.ClockReading // the newest report was measured after it

	held     int // slots taken by all sessions, live and ended
	promised int // connections that entry hosts may open
	// unknown slots may be used by sessions of an earlier term that haven't
	// joined this one.
	unknown int
	// counted says that a report has lowered unknown, so it no longer includes
	// all slots of the sessions that may still join.
	counted bool
	adopted bool
	holds   []*hold
	places  []*place
}

// newWorker adds a worker that was named by a heartbeat or by an entry host's
// inventory. Its silence counts from the start of the term.
func (a *Allocator) newWorker(id modeler.WorkerID) *worker {
	w := &worker{id: id, heard: a.started, adopted: len(a.pending) > 0}
	a.workers[id] = w
	a.roster = append(a.roster, w)
	a.unheard++
	return w
}

// informed reports whether the leader could lend what entry hosts give back:
// all workers that they named have reported, or have had the time to.
func (a *Allocator) informed() bool {
	return a.unheard == 0 || a.now > a.started.Add(a.options.Silence)
}

// free returns the number of slots that can be lent.
func (w *worker) free() int {
	if !w.known || w.revoked {
		return 0
	}
	return w.slots - w.held - w.unknown
}

// fresher reports whether the heartbeat is newer than what is known. A lower
// generation is taken only when the known one has fallen silent.
func (w *worker) fresher(now modeler.ClockReading, beat *modeler.Heartbeat, silence time.Duration) bool {
	if !w.known || beat.Generation > w.generation {
		return true
	}
	if beat.Generation == w.generation {
		return beat.Clock > w.clock
	}
	return now.Sub(w.heard) > silence
}

// update takes over the heartbeat and reports whether anything has changed
// that entry hosts must know.
func (w *worker) update(now modeler.ClockReading, beat *modeler.Heartbeat) bool {
	moved := !w.known || w.generation != beat.Generation || w.address != beat.Address ||
		w.idle != beat.IdleTimeout.Std() || !slices.Equal(w.services, beat.Services) ||
		w.slots != beat.Slots || w.connections != beat.Connections
	if w.adopted && !w.known {
		w.unknown = max(0, beat.Slots-w.held)
	}
	w.known = true
	w.generation = beat.Generation
	w.address = beat.Address
	w.services = beat.Services
	w.slots = beat.Slots
	w.connections = beat.Connections
	w.idle = beat.IdleTimeout.Std()
	w.leaving = beat.Leaving
	w.heard = now
	w.clock = beat.Clock
	return moved
}

// applyReport frees slots of ended sessions that the report shows unused. The
// report is newer than the answer that the worker names in it. A worker that
// names none, or one of another term, keeps the slots until the request limit.
func (a *Allocator) applyReport(w *worker, beat *modeler.Heartbeat) {
	w.seen = 0
	if beat.Seen.Term != a.term || beat.Seen.At > a.now {
		return
	}
	w.seen = beat.Seen.At
	if w.unknown > 0 && w.seen >= a.quiet {
		w.unknown = min(w.unknown, a.strangers(beat))
		w.counted = true
	}
	for _, h := range slices.Clone(w.holds) {
		if h.session.live || w.seen < h.session.ended {
			continue
		}
		if active := activeOf(h.session, beat); h.taken > active {
			h.setTaken(active)
			h.dropIfEmpty()
		}
	}
}

// activeOf returns the active requests that the session may have sent: all
// but those that the report shows to be of other entry processes.
func activeOf(s *session, beat *modeler.Heartbeat) int {
	others := 0
	for _, count := range beat.Sessions {
		if count.Session != s.label {
			others += count.Active
		}
	}
	return remainder(beat, others)
}

// strangers returns the active requests that sessions of an earlier term may
// have sent: all but those of live sessions.
func (a *Allocator) strangers(beat *modeler.Heartbeat) int {
	ours := 0
	for _, count := range beat.Sessions {
		if slices.ContainsFunc(a.order, func(s *session) bool { return s.live && s.label == count.Session }) {
			ours += count.Active
		}
	}
	return remainder(beat, ours)
}

// remainder is what is left of the active requests. Counts that don't fit them
// count for nothing.
func remainder(beat *modeler.Heartbeat, others int) int {
	sum := 0
	for _, count := range beat.Sessions {
		if count.Active < 0 {
			return beat.Active
		}
		sum += count.Active
	}
	if sum > beat.Active {
		return beat.Active
	}
	return beat.Active - others
}

// nextReport returns the time within which the worker is to report once more
// because slots of it are held back, or will be when a session that has gone
// quiet ends; 0 asks for nothing. A report that comes just after the end is
// answered with a receipt that the next one proves its age with.
func (a *Allocator) nextReport(w *worker) time.Duration {
	next := time.Duration(0)
	ask := func(span time.Duration) {
		if next == 0 || span < next {
			next = span
		}
	}
	askAfter := func(end modeler.ClockReading) {
		switch left := end.Sub(a.now); {
		case left > beatSpan:
		case left > 0:
			ask(left + promptly)
		case w.seen < end:
			ask(promptly)
		default:
			ask(reportPause)
		}
	}
	for _, h := range w.holds {
		switch s := h.session; {
		case !s.live:
			askAfter(s.ended)
		case a.now.Sub(s.received) > quietSpan:
			askAfter(s.received.Add(a.sessionSpan()))
		}
	}
	if w.unknown > 0 {
		askAfter(a.quiet)
	}
	return next
}

// review updates whether the worker is revoked and tells its holders of
// changes.
func (a *Allocator) review(w *worker, moved bool) {
	if w.unknown > 0 && a.now >= a.quiet.Add(modeler.MaxLocalSpan(a.limit(w))) {
		w.unknown = 0
	}
	if a.connectionsLeft(w) < 1 {
		a.lowerConnections(w)
	}
	// A worker that came back with fewer slots takes nothing new until what
	// is lent fits.
	overdrawn := w.known && w.held > w.slots
	revoked := w.leaving || overdrawn || a.now.Sub(w.heard) > a.options.Silence
	if revoked == w.revoked && !moved {
		return
	}
	w.revoked = revoked
	for _, h := range w.holds {
		if h.session.live {
			h.touch()
		}
	}
}

// forgetWorkers drops workers that are gone. Counts of live sessions stay until
// their entry hosts begin a new session, else both sides would differ.
func (a *Allocator) forgetWorkers() {
	a.roster = slices.DeleteFunc(a.roster, func(w *worker) bool {
		gone := len(w.holds) == 0 && a.now.Sub(w.heard) > forgetAfter
		if gone {
			w.delist()
			if !w.known {
				a.unheard--
			}
			delete(a.workers, w.id)
		}
		return gone
	})
}

// forgetAfter keeps a worker over a restart.
const forgetAfter = 10 * time.Minute

// limit returns the longest time that a request may run on the worker.
func (a *Allocator) limit(w *worker) time.Duration {
	longest := time.Duration(0)
	for _, name := range w.services {
		limit, ok := a.limits[name]
		if !ok {
			limit = a.options.Limit
		}
		longest = max(longest, limit)
	}
	return orDefault(longest, a.options.Limit)
}
