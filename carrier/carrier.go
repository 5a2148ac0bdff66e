package carrier

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// MinWorkers is the number of workers from which a leader has other
	// processes carry its orders. Sending them itself took 0.59 core with 1,100
	// workers, so in a smaller cell most of the leader's processor stays free,
	// and a carried order takes two more trips between failure domains.
	MinWorkers = 400
	// batchInterval is the shortest time between two rounds of batches: short
	// compared to the latency objectives of urgent work, and long enough for
	// several orders per batch.
	batchInterval = 10 * time.Millisecond
	// answerMargin is how long after the order's timeout its answer may still
	// arrive. It is the silence after which a link is closed.
	answerMargin = time.Second
	// maxSilence is how long a process may be silent before its workers are
	// assigned to other processes. Pings arrive every 250 ms. A silent link is
	// closed only after a second, by which time the reports of task ends from
	// its workers are late.
	maxSilence = 400 * time.Millisecond
	// termShift reserves four billion order numbers for each term.
	termShift = 32
)

// Batch holds the orders that are to be sent to one process together.
type Batch struct {
	Process modeler.EntrySession
	Orders  []modeler.CarriedOrder
}

// pendingOrder is an order without an answer.
type pendingOrder struct {
	order   modeler.Order
	process modeler.EntrySession
	sentAt  modeler.ClockReading
}

// Carrier distributes the orders of one leader's term over the processes that
// carry them.
type Carrier struct {
	lastNumber modeler.Sequence
	// linked holds the processes with a link, and ready those of them that
	// aren't silent.
	linked []modeler.EntrySession
	ready  []modeler.EntrySession
	// routes caches each worker's processes in order of preference, and
	// failedRoutes counts how many times its preferred process has failed to
	// reach it, so that the next one is used.
	routes       map[modeler.WorkerID][]modeler.EntrySession
	failedRoutes map[modeler.WorkerID]int
	pending      map[modeler.Sequence]pendingOrder
	outgoing     map[modeler.EntrySession][]modeler.CarriedOrder
	nextBatchAt  modeler.ClockReading
}

// New returns a Carrier without processes for the term.
func New(term modeler.Term) *Carrier {
	return &Carrier{
		lastNumber:   modeler.Sequence(term) << termShift,
		routes:       make(map[modeler.WorkerID][]modeler.EntrySession),
		failedRoutes: make(map[modeler.WorkerID]int),
		pending:      make(map[modeler.Sequence]pendingOrder),
		outgoing:     make(map[modeler.EntrySession][]modeler.CarriedOrder),
	}
}

// AddProcess adds a process that can carry orders.
func (c *Carrier) AddProcess(s modeler.EntrySession) {
	if slices.Contains(c.linked, s) {
		return
	}
	c.linked = append(c.linked, s)
	c.addReady(s)
}

// addReady adds a process to those that are used.
func (c *Carrier) addReady(s modeler.EntrySession) {
	c.ready = append(c.ready, s)
	slices.SortFunc(c.ready, func(a, b modeler.EntrySession) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	c.clearRoutes()
}

// clearRoutes discards the cached routes after a change of the ready processes.
func (c *Carrier) clearRoutes() {
	clear(c.routes)
	clear(c.failedRoutes)
}

// RemoveProcess removes a process and returns the pending orders that were handed to it.
// They may or may not have reached their workers.
func (c *Carrier) RemoveProcess(s modeler.EntrySession) []modeler.Order {
	c.linked = slices.DeleteFunc(c.linked, func(other modeler.EntrySession) bool { return other == s })
	return c.removeReady(s)
}

// removeReady stops using a process and returns its pending orders.
func (c *Carrier) removeReady(s modeler.EntrySession) []modeler.Order {
	c.ready = slices.DeleteFunc(c.ready, func(other modeler.EntrySession) bool { return other == s })
	delete(c.outgoing, s)
	c.clearRoutes()
	return c.removePending(func(p pendingOrder) bool { return p.process == s })
}

// CheckSilence stops using the processes that have been silent for longer than
// maxSilence, uses the others again, and returns the pending orders of the
// silent ones; silence returns how long a process has been silent. If at least
// half of the processes seem silent it changes nothing, since it is more likely
// that the leader's process was delayed itself.
func (c *Carrier) CheckSilence(silence func(modeler.EntrySession) time.Duration) []modeler.Order {
	var silent []modeler.EntrySession
	for _, s := range c.linked {
		if silence(s) > maxSilence {
			silent = append(silent, s)
		}
	}
	if 2*len(silent) >= len(c.linked) {
		return nil
	}
	var lost []modeler.Order
	for _, s := range c.linked {
		switch inUse := slices.Contains(c.ready, s); {
		case inUse && slices.Contains(silent, s):
			lost = append(lost, c.removeReady(s)...)
		case !inUse && !slices.Contains(silent, s):
			c.addReady(s)
		}
	}
	return lost
}

// Expire removes and returns the pending orders whose answer is overdue.
func (c *Carrier) Expire(now modeler.ClockReading) []modeler.Order {
	return c.removePending(func(p pendingOrder) bool { return now.Sub(p.sentAt) > p.order.Timeout+answerMargin })
}

func (c *Carrier) removePending(isLost func(pendingOrder) bool) []modeler.Order {
	var numbers []modeler.Sequence
	for number, p := range c.pending {
		if isLost(p) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	var orders []modeler.Order
	for _, number := range numbers {
		p := c.pending[number]
		orders = append(orders, p.order)
		c.recordFailedRoute(p)
		delete(c.pending, number)
	}
	return orders
}

// Enqueue adds an order to the next batch for the process that serves its worker.
// It reports false if no process is ready.
func (c *Carrier) Enqueue(now modeler.ClockReading, o modeler.Order) bool {
	if len(c.ready) == 0 {
		return false
	}
	to := c.route(o.Worker, o.Repeated)
	c.lastNumber++
	c.pending[c.lastNumber] = pendingOrder{order: o, process: to, sentAt: now}
	c.outgoing[to] = append(c.outgoing[to], modeler.CarriedOrder{Number: c.lastNumber, Order: o})
	return true
}

// route returns the process that carries the worker's orders. Processes are
// ranked by a hash of both names (rendezvous hashing), so that a change of one
// process moves only the workers of that process; those that have failed to
// reach the worker are skipped. A repeated order takes the next process,
// because the first order may be held up behind a lost packet.
func (c *Carrier) route(worker modeler.WorkerID, repeated bool) modeler.EntrySession {
	order, known := c.routes[worker]
	if !known {
		order = slices.Clone(c.ready)
		slices.SortFunc(order, func(a, b modeler.EntrySession) int {
			return cmp.Or(-cmp.Compare(score(a, worker), score(b, worker)), strings.Compare(string(a.Entry), string(b.Entry)))
		})
		c.routes[worker] = order
	}
	at := c.failedRoutes[worker]
	if repeated {
		at++
	}
	return order[at%len(order)]
}

// score returns the rank value of a process for a worker; the highest is
// preferred.
func score(s modeler.EntrySession, worker modeler.WorkerID) uint64 {
	return xxhash.Sum64String(string(s.Entry) + "/" + string(worker))
}

// recordFailedRoute makes the next process carry the orders of a worker that
// was not reached: the network path from one process may be cut while the
// worker is healthy.
func (c *Carrier) recordFailedRoute(p pendingOrder) {
	if len(c.ready) > 0 && c.route(p.order.Worker, false) == p.process {
		c.failedRoutes[p.order.Worker]++
	}
}

// TakeBatches removes and returns the outgoing batches, or returns nil before
// batchInterval has passed since the last ones.
func (c *Carrier) TakeBatches(now modeler.ClockReading) []Batch {
	if now < c.nextBatchAt || len(c.outgoing) == 0 {
		return nil
	}
	c.nextBatchAt = now.Add(batchInterval)
	batches := make([]Batch, 0, len(c.outgoing))
	for to, orders := range c.outgoing {
		batches = append(batches, Batch{Process: to, Orders: orders})
		delete(c.outgoing, to)
	}
	return batches
}

// Due returns the time at which TakeBatches returns the next batches, or other if that
// is earlier or no order waits.
func (c *Carrier) Due(other modeler.ClockReading) modeler.ClockReading {
	if len(c.outgoing) == 0 {
		return other
	}
	return min(other, c.nextBatchAt)
}

// HandleAnswer processes the outcome of the pending order with the number. It
// returns the order, the time since Enqueue, and whether the order was pending:
// numbers of other terms and of orders that were given up are not found.
func (c *Carrier) HandleAnswer(now modeler.ClockReading, number modeler.Sequence, outcome modeler.OrderOutcome) (modeler.Order, time.Duration, bool) {
	p, found := c.pending[number]
	delete(c.pending, number)
	if found && (outcome == modeler.OrderUnanswered || outcome == modeler.OrderUnsent) {
		c.recordFailedRoute(p)
	}
	return p.order, now.Sub(p.sentAt), found
}

// PendingOrders returns the number of orders without an answer.
func (c *Carrier) PendingOrders() int { return len(c.pending) }

// ReadyProcesses returns the number of processes that carry orders.
func (c *Carrier) ReadyProcesses() int { return len(c.ready) }
