package router

import (
	"math"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// rateSpan is the time over which the arrival rate is averaged; it spans a
	// few renewals, so spare slots follow a shift of load within a second.
	rateSpan = 250 * time.Millisecond
	// pressureSpan is how long a report of waits elsewhere counts; entry hosts
	// under pressure hear from the leader many times in it.
	pressureSpan = 50 * time.Millisecond
)

// service is what the router knows of one service.
type service struct {
	name       modeler.ServiceName
	settings   modeler.Service
	configured bool
	queue      *queue
	share      *share         // of the team that owns it
	running    int            // requests in progress
	callers    map[Caller]int // the same by callers
	bounds     map[modeler.CallerHash]callerBound
	named      []Caller // the largest as of namedAt
	namedAt    modeler.ClockReading
	stocks     []*stock
	idle       int // usable free slots
	excess     bool
	stuck      bool // no free slot may be used in this round

	rate   float64 // arrivals a second
	rateAt modeler.ClockReading

	toldWaiting int
	toldIdle    int

	// elsewhere is the longest wait on other entry hosts as of pressedAt;
	// press is the number of slots that may be given up for it.
	elsewhere time.Duration
	pressedAt modeler.ClockReading
	press     int
	idleOnly  bool
}

// arrived counts an arrival for the rate.
func (s *service) arrived(now modeler.ClockReading) {
	s.decay(now)
	s.rate += float64(time.Second) / float64(rateSpan)
}

func (s *service) decay(now modeler.ClockReading) {
	s.rate *= math.Exp(-float64(now.Sub(s.rateAt)) / float64(rateSpan))
	s.rateAt = now
}

// spare returns the idle slots that cover the arrivals of one exchange. The
// stock moves up and down by both arrivals and ends of requests, which is
// covered by two standard deviations; three left other entry hosts short.
func (s *service) spare(now modeler.ClockReading, exchange time.Duration) int {
	s.decay(now)
	moves := 2 * s.rate * exchange.Seconds()
	if s.rate < 1 {
		return 0
	}
	return 1 + int(math.Ceil(2*math.Sqrt(moves)))
}

// wait returns how long the oldest waiting request has waited.
func (s *service) wait(now modeler.ClockReading) time.Duration {
	oldest := s.queue.oldest()
	if oldest == nil {
		return 0
	}
	return max(0, now.Sub(oldest.Since))
}

// yields reports whether a free slot is to go to another entry host rather
// than to the own queue. A slot on the move is idle for two trips, so with long
// queues only a clear difference counts: moving slots for every two round trips
// raised the 99th percentile at 95% load by half.
func (s *service) yields(now modeler.ClockReading, exchange time.Duration) bool {
	since := now.Sub(s.pressedAt)
	if s.press < 1 || since > pressureSpan {
		return false
	}
	if s.queue.size == 0 {
		return true
	}
	if s.callersOut(now) {
		return true
	}
	if s.idleOnly {
		return false
	}
	own := s.wait(now)
	return s.elsewhere+since > own+max(2*exchange, own/4)
}

// pick returns the worker with the most usable slots, the least recently used
// among equals. A worker in avoid is taken only if no other has a slot.
func (s *service) pick(sendable func(*stock) bool, avoid []modeler.WorkerID) *stock {
	var best, fallback *stock
	for _, candidate := range s.stocks {
		if candidate.usable < 1 || !sendable(candidate) {
			continue
		}
		if contains(avoid, candidate.worker) {
			fallback = better(fallback, candidate)
			continue
		}
		best = better(best, candidate)
	}
	if best == nil {
		return fallback
	}
	return best
}

func better(x, y *stock) *stock {
	if x == nil || y.usable > x.usable || (y.usable == x.usable && y.used < x.used) {
		return y
	}
	return x
}

func contains(list []modeler.WorkerID, worker modeler.WorkerID) bool {
	for _, one := range list {
		if one == worker {
			return true
		}
	}
	return false
}
