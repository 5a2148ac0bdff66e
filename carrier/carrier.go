package carrier

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// WorkersFrom is the number of workers from which a leader has its orders
	// carried. Sending them itself took 0.59 core with 1,100 workers, so a
	// smaller cell leaves it most of its processor, and a carried order takes two
	// trips between failure domains more.
	WorkersFrom = 400
	// batchEvery is the time between two batches to the processes: short against
	// the objectives of urgent work, and long enough for several orders each.
	batchEvery = 10 * time.Millisecond
	// answerSlack is how long after its own timeout the answer to an order may
	// still come: the silence after which a link is closed.
	answerSlack = time.Second
	// termShift leaves each term four billion numbers of its own.
	termShift = 32
)

// Batch is what one process is to carry.
type Batch struct {
	To     modeler.EntrySession
	Orders []modeler.CarriedOrder
}

// flight is an order without an answer.
type flight struct {
	order modeler.Order
	by    modeler.EntrySession
	sent  modeler.Reading
}

// Carrier shares out the orders of one leadership.
type Carrier struct {
	next  modeler.Sequence
	ready []modeler.EntrySession
	// routes remembers which process carries for a worker.
	routes  map[modeler.WorkerID]modeler.EntrySession
	flights map[modeler.Sequence]flight
	waiting map[modeler.EntrySession][]modeler.CarriedOrder
	due     modeler.Reading
}

// New returns a Carrier of a term without processes.
func New(term modeler.Term) *Carrier {
	return &Carrier{
		next:    modeler.Sequence(term) << termShift,
		routes:  make(map[modeler.WorkerID]modeler.EntrySession),
		flights: make(map[modeler.Sequence]flight),
		waiting: make(map[modeler.EntrySession][]modeler.CarriedOrder),
	}
}

// Up adds a process that carries orders.
func (c *Carrier) Up(s modeler.EntrySession) {
	if slices.Contains(c.ready, s) {
		return
	}
	c.ready = append(c.ready, s)
	slices.SortFunc(c.ready, func(a, b modeler.EntrySession) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	clear(c.routes)
}

// Down removes a process and returns the orders that were under way with it:
// whether they reach their workers is not known.
func (c *Carrier) Down(s modeler.EntrySession) []modeler.Order {
	c.ready = slices.DeleteFunc(c.ready, func(other modeler.EntrySession) bool { return other == s })
	delete(c.waiting, s)
	clear(c.routes)
	return c.drop(func(f flight) bool { return f.by == s })
}

// Expire returns the orders whose answer is overdue.
func (c *Carrier) Expire(now modeler.Reading) []modeler.Order {
	return c.drop(func(f flight) bool { return now.Sub(f.sent) > f.order.Timeout+answerSlack })
}

func (c *Carrier) drop(lost func(flight) bool) []modeler.Order {
	var numbers []modeler.Sequence
	for number, f := range c.flights {
		if lost(f) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	var out []modeler.Order
	for _, number := range numbers {
		out = append(out, c.flights[number].order)
		delete(c.flights, number)
	}
	return out
}

// Send hands an order to the process that carries for its worker; it reports
// false if there is none.
func (c *Carrier) Send(now modeler.Reading, o modeler.Order) bool {
	if len(c.ready) == 0 {
		return false
	}
	to := c.route(o.Worker)
	c.next++
	c.flights[c.next] = flight{order: o, by: to, sent: now}
	c.waiting[to] = append(c.waiting[to], modeler.CarriedOrder{Number: c.next, Order: o})
	return true
}

// route returns the process that carries for a worker: the one with the
// highest hash of both names, so that a change of one process moves only the
// workers of that process.
func (c *Carrier) route(worker modeler.WorkerID) modeler.EntrySession {
	if to, known := c.routes[worker]; known {
		return to
	}
	var best modeler.EntrySession
	var highest uint64
	for _, s := range c.ready {
		if score := xxhash.Sum64String(string(s.Entry) + "/" + string(worker)); score >= highest {
			best, highest = s, score
		}
	}
	c.routes[worker] = best
	return best
}

// Take returns the batches that are due.
func (c *Carrier) Take(now modeler.Reading) []Batch {
	if now < c.due || len(c.waiting) == 0 {
		return nil
	}
	c.due = now.Add(batchEvery)
	out := make([]Batch, 0, len(c.waiting))
	for to, orders := range c.waiting {
		out = append(out, Batch{To: to, Orders: orders})
		delete(c.waiting, to)
	}
	return out
}

// Due returns when the next batch may be taken, or other if nothing waits or
// that is earlier.
func (c *Carrier) Due(other modeler.Reading) modeler.Reading {
	if len(c.waiting) == 0 {
		return other
	}
	return min(other, c.due)
}

// Answered returns the order that was carried under the number, and how long
// ago it was handed over. Numbers of other terms and of orders that were given
// up are not found.
func (c *Carrier) Answered(now modeler.Reading, number modeler.Sequence) (modeler.Order, time.Duration, bool) {
	f, found := c.flights[number]
	delete(c.flights, number)
	return f.order, now.Sub(f.sent), found
}

// Flying counts the orders without an answer.
func (c *Carrier) Flying() int { return len(c.flights) }

// Ready counts the processes that carry orders.
func (c *Carrier) Ready() int { return len(c.ready) }
