package prover

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	ms = time.Millisecond
	// silence is how long a link may stay without traffic before it is closed.
	silence = time.Second
	// forever is beyond the end of every case.
	forever = time.Hour
)

// process is one process with its host's clock.
type process struct {
	name   string
	alive  bool
	life   int // raised by each end, which drops what waits for the process
	gone   bool
	paused time.Duration
	cut    time.Duration // silently cut off from everything until then
	offset time.Duration
	rate   float64
	flush  func()
}

// event is something that happens to a process, or outside of all of them.
type event struct {
	at   time.Duration
	seq  int
	p    *process
	life int
	run  func()
}

type events []*event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// world joins the processes by a queue of events in true time.
type world struct {
	seed    uint64
	rng     *rand.Rand
	now     time.Duration
	seq     int
	queue   events
	members []*member
	entries []*entry
	workers []*upstream
	links   []*link
	*ledger
	// traced is the request, ticket, task or change of members whose steps
	// the fault follows.
	traced  trace
	faults  []*injection
	handled int
	log     []string

	lastMember modeler.MemberID
	lastTicket modeler.TicketNumber
	lostMember modeler.MemberID // whose repair is the traced path
	fresh      modeler.MemberID
	keys       int
	settled    int // tickets whose operators have an outcome
	outcomes   map[modeler.JobID]classifier.Kind
	waves      int // of cancellations
}

// injection is a fault that waits for its step.
type injection struct {
	Case
	wait time.Duration
	// repaired has the fault wait until the group is whole again.
	repaired bool
	struck   bool
	over     time.Duration
}

// trace names what the steps are followed of.
type trace struct {
	call   *ask
	ticket modeler.TicketNumber
	job    modeler.JobID
	member modeler.MemberID
}

func (w *world) newProcess(name string) *process {
	return &process{
		name: name, alive: true,
		offset: time.Duration(w.rng.Int64N(int64(time.Hour))) + time.Minute,
		rate:   1 + 0.01*(2*w.rng.Float64()-1),
	}
}

func (w *world) reading(p *process) modeler.ClockReading {
	return modeler.ClockReading(p.offset + time.Duration(float64(w.now)*p.rate))
}

// stamp is a wall clock; those of the hosts differ by up to a second.
func (w *world) stamp(p *process) modeler.Timestamp {
	return modeler.Timestamp(1_800_000_000_000 + (w.now+p.offset%time.Second)/ms)
}

// after schedules an event on a process, or outside of all if p is nil.
func (w *world) after(p *process, d time.Duration, run func()) {
	e := &event{at: w.now + d, seq: w.seq, p: p, run: run}
	if p != nil {
		e.life = p.life
	}
	w.seq++
	heap.Push(&w.queue, e)
}

// every repeats an event for as long as the process lives.
func (w *world) every(p *process, d time.Duration, run func()) {
	w.after(p, d, func() {
		run()
		w.every(p, d, run)
	})
}

// send passes a message between two processes, unless one of them is cut off
// or gone. A sender that has been struck sends nothing, or only when it
// carries on.
func (w *world) send(from, to *process, deliver func()) {
	switch {
	case from != nil && (!from.alive || from.cut > w.now):
		return
	case from != nil && from.paused > w.now:
		w.after(from, from.paused-w.now, func() { w.send(from, to, deliver) })
		return
	}
	w.deliver(w.now+200*time.Microsecond+time.Duration(w.rng.Int64N(int64(ms))), to, deliver)
}

// deliver hands a message over at a time, unless its receiver is cut off or
// has ended by then.
func (w *world) deliver(at time.Duration, to *process, deliver func()) {
	w.after(to, at-w.now, func() {
		if to.cut <= w.now {
			deliver()
		}
	})
}

// step takes the next event; it returns false when a check has failed.
func (w *world) step() bool {
	e := heap.Pop(&w.queue).(*event)
	w.now = max(w.now, e.at)
	p := e.p
	if p != nil && (!p.alive || p.life != e.life) {
		return true
	}
	if p != nil && p.paused > w.now {
		e.at = p.paused
		heap.Push(&w.queue, e)
		return true
	}
	w.handled++
	e.run()
	if p != nil && p.alive && p.life == e.life && p.paused <= w.now && p.flush != nil {
		p.flush()
	}
	w.check()
	return w.failure == ""
}

// until runs events until the condition holds.
func (w *world) until(limit time.Duration, what string, done func() bool) bool {
	for end := w.now + limit; !done(); {
		if w.now >= end {
			w.fail("recovery: %s has not come within %s", what, limit)
		}
		if w.failure != "" || !w.step() {
			return false
		}
	}
	return w.failure == ""
}

func (w *world) pass(d time.Duration) bool {
	end := w.now + d
	for w.now < end {
		if !w.step() {
			return false
		}
	}
	return true
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	w.log = w.log[max(0, len(w.log)-80):]
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("seed %d at %s: ", w.seed, w.now) + fmt.Sprintf(format, args...)
	}
}

// report returns the first failure with the last events before it.
func (w *world) report() error {
	if w.failure == "" {
		return nil
	}
	return classifier.New(classifier.Internal, "%s\n%s", w.failure, strings.Join(w.log, "\n"))
}

// end stops a process; its connections break at once.
func (w *world) end(p *process) {
	p.alive = false
	p.life++
	w.note("%s ends", p.name)
}

// reach notes a step of the traced path and applies the fault that waits for
// it, before anything that follows the step.
func (w *world) reach(s Step) {
	for _, f := range w.faults {
		if f.Step != s || f.struck {
			continue
		}
		f.struck = true
		w.note("step %s of the %s path", s, s.Path())
		if f.wait > 0 {
			w.after(nil, f.wait, func() { w.strikeLater(f) })
			continue
		}
		w.strike(f)
	}
}

func (w *world) strikeLater(f *injection) {
	if f.repaired && (w.repairing > 0 || !w.serves()) {
		w.after(nil, 50*ms, func() { w.strikeLater(f) })
		return
	}
	w.strike(f)
}

// link joins an entry process and a member.
type link struct {
	e      *entry
	m      *member
	up     bool
	silent bool // this connection has gone silent for good
	bad    time.Duration
	epoch  int
	// inward and outward are when the newest message of a direction arrives.
	inward, outward time.Duration
}

func (l *link) whole(now time.Duration) bool {
	return l.e.alive && l.m.alive && !l.silent && l.e.cut <= now && l.m.cut <= now &&
		l.e.paused <= now && l.m.paused <= now
}

// watchLinks closes the links that have been silent for too long and dials
// them again.
func (w *world) watchLinks() {
	for _, l := range w.links {
		whole := l.whole(w.now)
		switch {
		case l.up && whole:
			l.bad = 0
		case l.up && l.bad == 0:
			l.bad = w.now
		case l.up && w.now-l.bad < silence && (l.e.alive || l.e.gone) && (l.m.alive || l.m.gone):
		case l.up:
			l.up, l.silent, l.bad = false, false, 0
			l.epoch++
			epoch := l.epoch
			w.after(&l.e.process, 0, func() { l.e.linkDown(l, epoch) })
			w.after(&l.m.process, 0, func() { l.m.linkDown(l, epoch) })
		case whole:
			l.up = true
			l.epoch++
			w.after(&l.m.process, 0, func() { l.m.linkUp(l) })
		}
	}
}

// toEntry and toMember send over the link as it stands now. Messages of one
// direction stay in order, and those of a struck sender leave when it carries
// on.
func (w *world) toEntry(l *link, deliver func()) {
	w.overLink(l, &l.m.process, &l.e.process, &l.inward, deliver)
}

func (w *world) toMember(l *link, deliver func()) {
	w.overLink(l, &l.e.process, &l.m.process, &l.outward, deliver)
}

func (w *world) overLink(l *link, from, to *process, last *time.Duration, deliver func()) {
	if !l.up || l.silent || !from.alive || from.cut > w.now {
		return
	}
	epoch := l.epoch
	leaves := max(w.now, from.paused)
	*last = max(*last+1, leaves+200*time.Microsecond+time.Duration(w.rng.Int64N(int64(ms))))
	w.deliver(*last, to, func() {
		if l.up && l.epoch == epoch && !l.silent {
			deliver()
		}
	})
}
