package router

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// failureLimit is the number of consecutive failures after which a worker
	// is excluded; a lower limit would exclude workers for single lost
	// connections.
	failureLimit = 3
	// exclusionBase is the duration of the first exclusion; each consecutive
	// one is twice as long, up to exclusionMax.
	exclusionBase = time.Second
	exclusionMax  = 30 * time.Second
	// At most 1/excludedShare of the workers are excluded, but always one:
	// failures of more have a common cause, which exclusion doesn't remove.
	excludedShare = 5
)

// workerSlots is the entry host's account of the slots of one worker.
type workerSlots struct {
	worker         modeler.WorkerID
	generation     modeler.Generation
	address        string
	services       []*service
	idle           time.Duration // the worker's idle timeout
	maxConnections int
	revoked        bool
	granted        uint64 // slots granted since the session began, with those held then
	returned       uint64 // slots returned since the session began
	inUse          int    // slots of requests that run or may still run
	usable         int    // free slots that may be given requests
	// mustReturn is the number of free slots whose requests were sent in an
	// ended session. They must be returned instead of being used again, since
	// the leader may have lent them to other entry hosts after a worker's
	// report that the requests had ended.
	mustReturn int
	lastUsedAt modeler.ClockReading
	// abandoned lists the requests that were given up but may still run, each
	// of which keeps its slot in use. A new generation of the worker doesn't
	// end them: a request may have reached the restarted worker before this
	// entry host learned of the restart.
	abandoned []abandonedRequest
	// changedAt is the clock of the last renewal sent before the newest change
	// of this account; a grant that echoes a later clock confirms the change.
	changedAt modeler.ClockReading

	failures   int                  // consecutive failed attempts
	exclusions int                  // consecutive exclusions
	excluded   modeler.ClockReading // end of the exclusion; 0 means not excluded
}

// abandonedRequest is a request that was given up but may run until endsBy;
// fromEndedSession says that it was sent in an ended session.
type abandonedRequest struct {
	endsBy           modeler.ClockReading
	fromEndedSession bool
}

func (s *workerSlots) heldSlots() int { return int(s.granted - s.returned) }

func (s *workerSlots) freeSlots() int { return s.heldSlots() - s.inUse }

// updateUsable recalculates the usable slots of the worker and of its services.
func (s *workerSlots) updateUsable() {
	usable := max(0, s.freeSlots()-s.mustReturn)
	if s.revoked || s.excluded != 0 {
		usable = 0
	}
	for _, service := range s.services {
		service.idle += usable - s.usable
	}
	s.usable = usable
}

// updateWorker applies the worker's generation, address, settings and services
// from a grant.
func (r *Router) updateWorker(s *workerSlots, grant *modeler.SlotGrant) {
	if grant.Address == "" && len(grant.Services) == 0 {
		return
	}
	if grant.Generation != s.generation {
		s.generation = grant.Generation
		s.failures, s.exclusions, s.excluded = 0, 0, 0
		r.markUnconfirmed(s)
	}
	s.address = grant.Address
	s.idle = grant.IdleTimeout
	s.maxConnections = grant.Connections
	if s.servesExactly(grant.Services) {
		return
	}
	for _, service := range s.services {
		service.idle -= s.usable
		service.removeWorker(s)
	}
	s.usable = 0
	s.services = nil
	for _, name := range grant.Services {
		service := r.service(name)
		service.workers = append(service.workers, s)
		s.services = append(s.services, service)
	}
}

func (s *workerSlots) servesExactly(names []modeler.ServiceName) bool {
	return slices.EqualFunc(s.services, names, func(service *service, name modeler.ServiceName) bool {
		return service.name == name
	})
}

// markUnconfirmed includes the worker's state in renewals until the leader has
// confirmed it.
func (r *Router) markUnconfirmed(s *workerSlots) {
	s.changedAt = r.renewalSentAt
	if !slices.Contains(r.unconfirmed, s) {
		r.unconfirmed = append(r.unconfirmed, s)
	}
}

// returnSlots returns free slots of the worker to the leader.
func (r *Router) returnSlots(s *workerSlots, count int) {
	s.returned += uint64(count)
	r.markUnconfirmed(s)
	s.updateUsable()
}

// returnUnusableSlots returns the free slots counted in mustReturn, or all free
// slots if the worker is revoked or excluded.
func (r *Router) returnUnusableSlots(s *workerSlots) {
	count := s.freeSlots()
	mustReturn := min(s.mustReturn, count)
	if !s.revoked && s.excluded == 0 {
		count = mustReturn
	}
	if count > 0 {
		s.mustReturn -= mustReturn
		r.returnSlots(s, count)
		r.scheduleRenewal(r.now)
	}
}

// releaseSlot frees the slot of a request that has ended.
func (s *workerSlots) releaseSlot(fromEndedSession bool) {
	s.inUse--
	if fromEndedSession {
		s.mustReturn++
	}
}

// freeAbandonedSlots frees the slots of abandoned requests that have certainly
// ended.
func (r *Router) freeAbandonedSlots(s *workerSlots) {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(a abandonedRequest) bool {
		if a.endsBy > r.now {
			return false
		}
		s.releaseSlot(a.fromEndedSession)
		return true
	})
	s.updateUsable()
	r.returnUnusableSlots(s)
}

// recordOutcome counts consecutive failures of the worker and excludes it at
// failureLimit.
func (r *Router) recordOutcome(s *workerSlots, kind classifier.Kind) {
	switch kind {
	case classifier.None:
		s.failures, s.exclusions = 0, 0
	case classifier.ConnectFailed, classifier.SendFailed, classifier.AnswerLost,
		classifier.AnswerTruncated, classifier.AnswerTimeout:
		s.failures++
		if s.failures >= failureLimit && s.excluded == 0 && r.mayExclude(s) {
			r.exclude(s)
		}
	}
}

// mayExclude reports whether the worker may be excluded: not beyond the bound, and not
// if a service would have no worker left. When all workers of a service fail, requests
// find out on them when they have recovered.
func (r *Router) mayExclude(s *workerSlots) bool {
	for _, service := range s.services {
		if !slices.ContainsFunc(service.workers, func(other *workerSlots) bool { return other != s && !other.revoked && other.excluded == 0 }) {
			return false
		}
	}
	excluded, all := 0, 0
	for _, s := range r.workers {
		if s.excluded != 0 {
			excluded++
		}
		if !s.revoked {
			all++
		}
	}
	return excluded < max(1, all/excludedShare)
}

func (r *Router) exclude(s *workerSlots) {
	pause := exclusionBase << min(s.exclusions, 5)
	s.exclusions++
	s.excluded = r.now.Add(min(pause, exclusionMax))
	r.excluded = append(r.excluded, s)
	s.updateUsable()
	r.markUnconfirmed(s)
	r.returnUnusableSlots(s)
	r.scheduleRenewal(r.now)
}

// readmit ends the exclusions that have expired. A single further failure
// excludes the worker again.
func (r *Router) readmit() {
	r.excluded = slices.DeleteFunc(r.excluded, func(s *workerSlots) bool {
		if s.excluded > r.now {
			return false
		}
		if s.excluded != 0 {
			s.excluded = 0
			s.failures = failureLimit - 1
			s.updateUsable()
			r.markUnconfirmed(s)
		}
		return true
	})
}

// removeWorker removes the worker from the service's list.
func (s *service) removeWorker(gone *workerSlots) {
	if i := slices.Index(s.workers, gone); i >= 0 {
		s.workers = slices.Delete(s.workers, i, i+1)
	}
}
