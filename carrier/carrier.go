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
	// quietAfter is the silence of a process from which its workers are given to
	// others: its pings come each 250 ms. The link is closed after a second, and by
	// then the ends of its workers' tasks are late.
	quietAfter = 400 * time.Millisecond
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
	sent  modeler.ClockReading
}

// Carrier shares out the orders of one leadership.
type Carrier struct {
	next modeler.Sequence
	// linked are the processes with a link, and ready those of them that are heard.
	linked []modeler.EntrySession
	ready  []modeler.EntrySession
	// routes remembers the order in which processes come into question for a
	// worker, and misses how many of them have not reached it.
	routes  map[modeler.WorkerID][]modeler.EntrySession
	misses  map[modeler.WorkerID]int
	flights map[modeler.Sequence]flight
	waiting map[modeler.EntrySession][]modeler.CarriedOrder
	due     modeler.ClockReading
}

// New returns a Carrier of a term without processes.
func New(term modeler.Term) *Carrier {
	return &Carrier{
		next:    modeler.Sequence(term) << termShift,
		routes:  make(map[modeler.WorkerID][]modeler.EntrySession),
		misses:  make(map[modeler.WorkerID]int),
		flights: make(map[modeler.Sequence]flight),
		waiting: make(map[modeler.EntrySession][]modeler.CarriedOrder),
	}
}

// Up adds a process that carries orders.
func (c *Carrier) Up(s modeler.EntrySession) {
	if slices.Contains(c.linked, s) {
		return
	}
	c.linked = append(c.linked, s)
	c.raise(s)
}

// raise takes a process into use.
func (c *Carrier) raise(s modeler.EntrySession) {
	c.ready = append(c.ready, s)
	slices.SortFunc(c.ready, func(a, b modeler.EntrySession) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	c.reroute()
}

// reroute forgets the routes after a change of the processes.
func (c *Carrier) reroute() {
	clear(c.routes)
	clear(c.misses)
}

// Down removes a process and returns the orders that were under way with it:
// whether they reach their workers is not known.
func (c *Carrier) Down(s modeler.EntrySession) []modeler.Order {
	c.linked = slices.DeleteFunc(c.linked, func(other modeler.EntrySession) bool { return other == s })
	return c.rest(s)
}

// rest takes a process out of use and returns the orders under way with it.
func (c *Carrier) rest(s modeler.EntrySession) []modeler.Order {
	c.ready = slices.DeleteFunc(c.ready, func(other modeler.EntrySession) bool { return other == s })
	delete(c.waiting, s)
	c.reroute()
	return c.drop(func(f flight) bool { return f.by == s })
}

// Watch passes over the processes that are quiet, and returns the orders that
// were under way with them; quiet tells how long one has said nothing. If half of
// them are quiet, it is rather this process that has not listened.
func (c *Carrier) Watch(quiet func(modeler.EntrySession) time.Duration) []modeler.Order {
	var silent []modeler.EntrySession
	for _, s := range c.linked {
		if quiet(s) > quietAfter {
			silent = append(silent, s)
		}
	}
	if 2*len(silent) >= len(c.linked) {
		return nil
	}
	var lost []modeler.Order
	for _, s := range c.linked {
		switch used := slices.Contains(c.ready, s); {
		case used && slices.Contains(silent, s):
			lost = append(lost, c.rest(s)...)
		case !used && !slices.Contains(silent, s):
			c.raise(s)
		}
	}
	return lost
}

// Expire returns the orders whose answer is overdue.
func (c *Carrier) Expire(now modeler.ClockReading) []modeler.Order {
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
		f := c.flights[number]
		out = append(out, f.order)
		c.miss(f)
		delete(c.flights, number)
	}
	return out
}

// Send hands an order to the process that carries for its worker; it reports
// false if there is none.
func (c *Carrier) Send(now modeler.ClockReading, o modeler.Order) bool {
	if len(c.ready) == 0 {
		return false
	}
	to := c.route(o.Worker, o.Repeated)
	c.next++
	c.flights[c.next] = flight{order: o, by: to, sent: now}
	c.waiting[to] = append(c.waiting[to], modeler.CarriedOrder{Number: c.next, Order: o})
	return true
}

// route returns the process that carries for a worker: the one with the
// highest hash of both names, so that a change of one process moves only the
// workers of that process, or the next one if those before have not reached it.
// An order that is repeated goes by another way than the first one, which may
// be held up behind a lost packet.
func (c *Carrier) route(worker modeler.WorkerID, repeated bool) modeler.EntrySession {
	order, known := c.routes[worker]
	if !known {
		order = slices.Clone(c.ready)
		slices.SortFunc(order, func(a, b modeler.EntrySession) int {
			return cmp.Or(-cmp.Compare(score(a, worker), score(b, worker)), strings.Compare(string(a.Entry), string(b.Entry)))
		})
		c.routes[worker] = order
	}
	at := c.misses[worker]
	if repeated {
		at++
	}
	return order[at%len(order)]
}

// score rates a process for a worker.
func score(s modeler.EntrySession, worker modeler.WorkerID) uint64 {
	return xxhash.Sum64String(string(s.Entry) + "/" + string(worker))
}

// miss has another process carry for a worker that was not reached. The path
// from one process to it may be cut while the worker is well.
func (c *Carrier) miss(f flight) {
	if len(c.ready) > 0 && c.route(f.order.Worker, false) == f.by {
		c.misses[f.order.Worker]++
	}
}

// Take returns the batches that are due.
func (c *Carrier) Take(now modeler.ClockReading) []Batch {
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
func (c *Carrier) Due(other modeler.ClockReading) modeler.ClockReading {
	if len(c.waiting) == 0 {
		return other
	}
	return min(other, c.due)
}

// Answered takes the fate of the order that was carried under the number. It
// returns the order and how long ago it was handed over. Numbers of other terms
// and of orders that were given up are not found.
func (c *Carrier) Answered(now modeler.ClockReading, number modeler.Sequence, fate modeler.OrderOutcome) (modeler.Order, time.Duration, bool) {
	f, found := c.flights[number]
	delete(c.flights, number)
	if found && (fate == modeler.OrderUnanswered || fate == modeler.OrderUnsent) {
		c.miss(f)
	}
	return f.order, now.Sub(f.sent), found
}

// Flying counts the orders without an answer.
func (c *Carrier) Flying() int { return len(c.flights) }

// Ready counts the processes that carry orders.
func (c *Carrier) Ready() int { return len(c.ready) }
