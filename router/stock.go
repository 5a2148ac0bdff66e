package router

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// failureLimit is the number of failures in a row that exclude a worker;
	// fewer would exclude workers for single lost connections.
	failureLimit = 3
	// exclusionBase doubles with each exclusion in a row up to exclusionMax.
	exclusionBase = time.Second
	exclusionMax  = 30 * time.Second
	// excludedShare of the workers at most is left out, as failures of more
	// have a common cause that leaving out doesn't cure.
	excludedShare = 5
)

// stock is the entry host's side of the slots of one worker.
type stock struct {
	worker      modeler.WorkerID
	generation  modeler.Generation
	address     string
	services    []*service
	idle        time.Duration
	connections int
	revoked     bool
	granted     uint64 // since the session began
	returned    uint64
	taken       int // slots with a request, or one that may still run
	usable      int // free slots that may be given requests
	// owed counts the free slots whose requests were sent in a session that
	// has ended. The leader may have lent them to others since, on a report
	// that the requests are over, so they go back instead of being used again.
	owed int
	used modeler.ClockReading
	// lingers are the ends of slots whose requests were given up but may
	// still run. A new generation doesn't end them: the request may have
	// reached it before this entry host heard of the restart.
	lingers []linger
	// changed is the last renewal that didn't carry the newest state yet.
	changed modeler.ClockReading

	failures   int
	exclusions int
	excluded   modeler.ClockReading // end of the exclusion; 0 means none
}

// linger is a slot whose request was given up but may run until the reading;
// stale says that it was sent in a session that has ended.
type linger struct {
	until modeler.ClockReading
	stale bool
}

func (s *stock) held() int { return int(s.granted - s.returned) }

func (s *stock) free() int { return s.held() - s.taken }

// refresh recounts the usable slots after any change.
func (s *stock) refresh() {
	usable := max(0, s.free()-s.owed)
	if s.revoked || s.excluded != 0 {
		usable = 0
	}
	for _, service := range s.services {
		service.idle += usable - s.usable
	}
	s.usable = usable
}

// inform takes over what the leader says of the worker.
func (r *Router) inform(s *stock, grant *modeler.SlotGrant) {
	if grant.Address == "" && len(grant.Services) == 0 {
		return
	}
	if grant.Generation != s.generation {
		s.generation = grant.Generation
		s.failures, s.exclusions, s.excluded = 0, 0, 0
		r.mark(s)
	}
	s.address = grant.Address
	s.idle = grant.IdleTimeout
	s.connections = grant.Connections
	if s.serves(grant.Services) {
		return
	}
	for _, service := range s.services {
		service.idle -= s.usable
		service.drop(s)
	}
	s.usable = 0
	s.services = nil
	for _, name := range grant.Services {
		service := r.service(name)
		service.stocks = append(service.stocks, s)
		s.services = append(s.services, service)
	}
}

func (s *stock) serves(names []modeler.ServiceName) bool {
	return slices.EqualFunc(s.services, names, func(service *service, name modeler.ServiceName) bool {
		return service.name == name
	})
}

// mark has the next renewal carry the worker's state.
func (r *Router) mark(s *stock) {
	s.changed = r.sent
	if !slices.Contains(r.marked, s) {
		r.marked = append(r.marked, s)
	}
}

// giveBack returns free slots of the worker.
func (r *Router) giveBack(s *stock, count int) {
	s.returned += uint64(count)
	r.mark(s)
	s.refresh()
}

// giveBackUnusable returns free slots of workers that get no requests, and
// those that are owed.
func (r *Router) giveBackUnusable(s *stock) {
	count := s.free()
	owed := min(s.owed, count)
	if !s.revoked && s.excluded == 0 {
		count = owed
	}
	if count > 0 {
		s.owed -= owed
		r.giveBack(s, count)
		r.renewBy(r.now)
	}
}

// release frees a slot whose request has ended.
func (s *stock) release(stale bool) {
	s.taken--
	if stale {
		s.owed++
	}
}

// endLingers frees the slots of requests that have ended by the request limit.
func (r *Router) endLingers(s *stock) {
	s.lingers = slices.DeleteFunc(s.lingers, func(l linger) bool {
		if l.until > r.now {
			return false
		}
		s.release(l.stale)
		return true
	})
	s.refresh()
	r.giveBackUnusable(s)
}

// judge counts the outcome of an attempt as evidence about the worker.
func (r *Router) judge(s *stock, kind classifier.Kind) {
	switch kind {
	case classifier.None:
		s.failures, s.exclusions = 0, 0
	case classifier.ConnectFailed, classifier.SendFailed, classifier.AnswerLost,
		classifier.AnswerTruncated, classifier.AnswerTimeout:
		s.failures++
		if s.failures >= failureLimit && s.excluded == 0 && r.mayExclude() {
			r.exclude(s)
		}
	}
}

func (r *Router) mayExclude() bool {
	excluded, all := 0, 0
	for _, s := range r.stocks {
		if s.excluded != 0 {
			excluded++
		}
		if !s.revoked {
			all++
		}
	}
	return excluded < max(1, all/excludedShare)
}

func (r *Router) exclude(s *stock) {
	pause := exclusionBase << min(s.exclusions, 5)
	s.exclusions++
	s.excluded = r.now.Add(min(pause, exclusionMax))
	r.excluded = append(r.excluded, s)
	s.refresh()
	r.mark(s)
	r.giveBackUnusable(s)
	r.renewBy(r.now)
}

// readmit ends exclusions whose time has passed. One more failure excludes the
// worker again.
func (r *Router) readmit() {
	r.excluded = slices.DeleteFunc(r.excluded, func(s *stock) bool {
		if s.excluded > r.now {
			return false
		}
		if s.excluded != 0 {
			s.excluded = 0
			s.failures = failureLimit - 1
			s.refresh()
			r.mark(s)
		}
		return true
	})
}

// drop takes the worker out of the service's list.
func (s *service) drop(gone *stock) {
	if i := slices.Index(s.stocks, gone); i >= 0 {
		s.stocks = slices.Delete(s.stocks, i, i+1)
	}
}
