package router

import (
	"math"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// arrivalRateWindow is the time constant of the averaged arrival rate. It
	// covers a few renewals, so spare slots follow a shift of load within a
	// second.
	arrivalRateWindow = 250 * time.Millisecond
	// backlogValidity is how long backlogs and bounds from a grant remain
	// valid. Entry hosts asked to yield slots get many grants in that time.
	backlogValidity = 50 * time.Millisecond
)

// service is the router's state of one service.
type service struct {
	name             modeler.ServiceName
	settings         modeler.Service
	configured       bool
	queue            *queue
	teamShare        *teamShare     // share of the team that owns the service
	running          int            // requests in progress
	callers          map[Caller]int // requests in progress by caller
	callerBounds     map[modeler.CallerHash]callerBound
	largestCallers   []Caller // callers with the most requests as of largestCallersAt
	largestCallersAt modeler.ClockReading
	workers          []*workerSlots
	idle             int // number of usable free slots
	hasExcess        bool
	isBlocked        bool // no free slot can be used or returned in this dispatch

	arrivalRate   float64 // averaged, arrivals per second
	arrivalRateAt modeler.ClockReading

	reportedWaiting int // requests that waited as of the last renewal
	reportedIdle    int // idle slots as of the last renewal

	// remoteWait is the longest wait on other entry hosts as of backlogAt;
	// slotsToYield is the number of slots that may be returned for them, and
	// idleOnly limits these to idle slots.
	remoteWait   time.Duration
	backlogAt    modeler.ClockReading
	slotsToYield int
	idleOnly     bool
}

// countArrival adds an arrival to the averaged arrival rate.
func (s *service) countArrival(now modeler.ClockReading) {
	s.decayArrivalRate(now)
	s.arrivalRate += float64(time.Second) / float64(arrivalRateWindow)
}

func (s *service) decayArrivalRate(now modeler.ClockReading) {
	s.arrivalRate *= math.Exp(-float64(now.Sub(s.arrivalRateAt)) / float64(arrivalRateWindow))
	s.arrivalRateAt = now
}

// spareSlots returns the number of idle slots to keep for the arrivals during
// one round trip to the leader. The number of free slots varies with both
// arrivals and ends of requests, which two standard deviations cover; three
// left other entry hosts short of slots.
func (s *service) spareSlots(now modeler.ClockReading, roundTrip time.Duration) int {
	s.decayArrivalRate(now)
	slotChanges := 2 * s.arrivalRate * roundTrip.Seconds()
	if s.arrivalRate < 1 {
		return 0
	}
	return 1 + int(math.Ceil(2*math.Sqrt(slotChanges)))
}

// oldestWait returns how long the oldest waiting request has waited, 0 if none
// waits.
func (s *service) oldestWait(now modeler.ClockReading) time.Duration {
	oldest := s.queue.oldest()
	if oldest == nil {
		return 0
	}
	return max(0, now.Sub(oldest.FirstArrival))
}

// shouldYield reports whether a free slot should be returned for another entry
// host rather than serve the queue here. A slot is idle for two trips while it
// moves, so the wait elsewhere must be longer by two round trips and by a
// quarter of the wait here: with long queues, a threshold of two round trips
// alone raised the 99th percentile at 95% load by half.
func (s *service) shouldYield(now modeler.ClockReading, roundTrip time.Duration) bool {
	since := now.Sub(s.backlogAt)
	if s.slotsToYield < 1 || since > backlogValidity {
		return false
	}
	if s.queue.size == 0 {
		return true
	}
	if s.waitingCallersAtBound(now) {
		return true
	}
	if s.idleOnly {
		return false
	}
	ownWait := s.oldestWait(now)
	return s.remoteWait+since > ownWait+max(2*roundTrip, ownWait/4)
}

// pickWorker returns the sendable worker with the most usable slots, the least
// recently used among equals, or nil if there is none. A worker in avoid is
// returned only if no other has a usable slot.
func (s *service) pickWorker(sendable func(*workerSlots) bool, avoid []modeler.WorkerID) *workerSlots {
	var best, fallback *workerSlots
	for _, candidate := range s.workers {
		if candidate.usable < 1 || !sendable(candidate) {
			continue
		}
		if contains(avoid, candidate.worker) {
			fallback = betterWorker(fallback, candidate)
			continue
		}
		best = betterWorker(best, candidate)
	}
	if best == nil {
		return fallback
	}
	return best
}

func betterWorker(x, y *workerSlots) *workerSlots {
	if x == nil || y.usable > x.usable || (y.usable == x.usable && y.lastUsedAt < x.lastUsedAt) {
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
