package evaluator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
)

const (
	entryCount  = 7
	workerCount = 48
	workerSlots = 8
	oneWay      = time.Millisecond
	meanService = 40 * time.Millisecond
	warmUp      = 2 * time.Second
	// skewShare is the share of arrivals sent to the first entry host when
	// arrivals are skewed; the rest are spread over all.
	skewShare = 0.6
)

// model simulates one way of assigning requests to slots.
type model struct {
	*EventLoop
	waits       *hdrhistogram.Histogram
	messages    int
	refusalKind string // kind of a refusal; a refused request fails the measurement
	arrive      func(entry int, arrived time.Duration)
}

// recordAssignment records the wait of a request that is assigned now, unless it
// arrived during the warm-up.
func (m *model) recordAssignment(arrived time.Duration) {
	if arrived >= warmUp {
		_ = m.waits.RecordValue(int64(m.Now - arrived))
	}
}

// station is a queue in front of some slots. holdOverhead is the time for which
// a request occupies a slot beyond its service time.
type station struct {
	*model
	free         int
	queue        []time.Duration
	holdOverhead time.Duration
	extraWait    time.Duration // added to each wait
}

func (s *station) enqueue(arrived time.Duration) {
	s.queue = append(s.queue, arrived)
	s.serve()
}

func (s *station) serve() {
	for s.free > 0 && len(s.queue) > 0 {
		s.free--
		s.recordAssignment(s.queue[0] - s.extraWait)
		s.queue = s.queue[1:]
		s.After(s.Exponential(meanService)+s.holdOverhead, func() { s.free++; s.serve() })
	}
}

// buildIdeal builds one queue for all slots, whose messages take no time. A slot
// is occupied for holdOverhead beyond the service time.
func buildIdeal(m *model, holdOverhead time.Duration) {
	s := &station{model: m, free: workerCount * workerSlots, holdOverhead: holdOverhead}
	m.arrive = func(_ int, arrived time.Duration) { s.enqueue(arrived) }
}

// buildCentral builds a central queue that entry hosts ask for each slot and
// notify of each request's end.
func buildCentral(m *model) {
	s := &station{model: m, free: workerCount * workerSlots, holdOverhead: 4 * oneWay, extraWait: oneWay}
	m.arrive = func(_ int, arrived time.Duration) {
		m.messages += 3
		m.After(oneWay, func() { s.enqueue(arrived) })
	}
}

// buildFixed builds a queue at each entry host with a fixed, equal share of the
// slots.
func buildFixed(m *model) {
	var stations [entryCount]*station
	for i := range stations {
		stations[i] = &station{model: m, holdOverhead: 2 * oneWay}
	}
	for slot := range workerCount * workerSlots {
		stations[slot%entryCount].free++
	}
	m.arrive = func(entry int, arrived time.Duration) { stations[entry].enqueue(arrived) }
}

// buildOwners assigns each worker to an owning entry host by rendezvous hashing.
// A request goes to the owner of a random worker, which has one queue for all
// the workers that it owns.
func buildOwners(m *model) {
	var stations [entryCount]*station
	for i := range stations {
		stations[i] = &station{model: m, holdOverhead: 2 * oneWay}
	}
	var owners [workerCount]int
	for w := range owners {
		best := uint64(0)
		for e := range entryCount {
			if score := xxhash.Sum64String(fmt.Sprintf("w%02d/e%d", w, e)); score > best {
				best, owners[w] = score, e
			}
		}
		stations[owners[w]].free += workerSlots
	}
	m.arrive = func(entry int, arrived time.Duration) {
		owner := owners[m.Random.IntN(workerCount)]
		if owner == entry {
			stations[owner].enqueue(arrived)
			return
		}
		m.messages += 2
		m.After(oneWay, func() { stations[owner].enqueue(arrived) })
	}
}

// run generates requests at the given load up to the end of the measured span and
// runs the model for another 10 s, in which waiting requests can be assigned.
func (m *model) run(s WaitingSettings, load float64, skewed bool) {
	arrivals := rand.New(rand.NewPCG(s.Seed, 1))
	gap := float64(meanService) / (load * workerCount * workerSlots)
	var arrive func()
	arrive = func() {
		entry := arrivals.IntN(entryCount)
		if skewed && arrivals.Float64() < skewShare {
			entry = 0
		}
		if m.Now > 100*time.Millisecond {
			m.arrive(entry, m.Now)
		}
		if m.Now < warmUp+s.Span {
			m.After(time.Duration(arrivals.ExpFloat64()*gap), arrive)
		}
	}
	arrive()
	m.RunUntil(warmUp + s.Span + 10*time.Second)
}
