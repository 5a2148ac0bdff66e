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
	// silence is the time without traffic after which a link is closed.
	silence = time.Second
	// forever is longer than any case takes.
	forever = time.Hour
)

// process is a simulated process with the clock of its host.
type process struct {
	name        string
	alive       bool
	endCount    int // times that the process has ended; events of earlier counts are dropped
	isLost      bool
	pausedUntil time.Duration
	cutUntil    time.Duration // cut off from all hosts without notice until then
	clockOffset time.Duration
	clockRate   float64
	flush       func()
}

// event is a scheduled function call. It belongs to a process, whose end drops it,
// or to none.
type event struct {
	at       time.Duration
	seq      int
	p        *process
	endCount int
	run      func()
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

// world is the simulation of one case. It runs the processes from a queue of
// events in true time.
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
	// traced is the request, ticket, task or change of members after whose steps
	// the faults are injected.
	traced     trace
	faults     []*injection
	eventCount int
	log        []string

	lastMember  modeler.MemberID
	lastTicket  modeler.TicketNumber
	lostMember  modeler.MemberID // the lost member whose repair is the traced path
	newMemberID modeler.MemberID
	keys        int
	settled     int // number of tickets whose operator got an outcome
	outcomes    map[modeler.JobID]classifier.Kind
	waves       int // number of waves of cancellations
}

// injection is a fault to be injected after its step is reached.
type injection struct {
	Case
	wait time.Duration
	// awaitsRepair delays the fault until repairs are done and the cell serves.
	awaitsRepair bool
	isApplied    bool
	endsAt       time.Duration
}

// trace identifies the object of the traced path; only the fields of that path
// are set.
type trace struct {
	call      *callerRequest
	ticket    modeler.TicketNumber
	job       modeler.JobID
	oldMember modeler.MemberID
}

func (w *world) newProcess(name string) *process {
	return &process{
		name: name, alive: true,
		clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour))) + time.Minute,
		clockRate:   1 + 0.01*(2*w.rng.Float64()-1),
	}
}

func (w *world) reading(p *process) modeler.ClockReading {
	return modeler.ClockReading(p.clockOffset + time.Duration(float64(w.now)*p.clockRate))
}

// wallClock returns the time of the host's wall clock; the wall clocks of hosts
// differ by up to a second.
func (w *world) wallClock(p *process) modeler.Timestamp {
	return modeler.Timestamp(1_800_000_000_000 + (w.now+p.clockOffset%time.Second)/ms)
}

// after schedules an event of a process, or of none if p is nil.
func (w *world) after(p *process, d time.Duration, run func()) {
	e := &event{at: w.now + d, seq: w.seq, p: p, run: run}
	if p != nil {
		e.endCount = p.endCount
	}
	w.seq++
	heap.Push(&w.queue, e)
}

// repeatEvery runs a function periodically until the process ends.
func (w *world) repeatEvery(p *process, d time.Duration, run func()) {
	w.after(p, d, func() {
		run()
		w.repeatEvery(p, d, run)
	})
}

// send delivers a message from one process to another, unless one of them has
// ended or is cut off. A paused sender sends the message when it resumes.
func (w *world) send(from, to *process, deliver func()) {
	switch {
	case from != nil && (!from.alive || from.cutUntil > w.now):
		return
	case from != nil && from.pausedUntil > w.now:
		w.after(from, from.pausedUntil-w.now, func() { w.send(from, to, deliver) })
		return
	}
	w.deliver(w.now+200*time.Microsecond+time.Duration(w.rng.Int64N(int64(ms))), to, deliver)
}

// deliver delivers a message at the given time, unless the receiver is cut off or
// has ended by then.
func (w *world) deliver(at time.Duration, to *process, deliver func()) {
	w.after(to, at-w.now, func() {
		if to.cutUntil <= w.now {
			deliver()
		}
	})
}

// step runs the next event and the checks. It returns false when a check has
// failed.
func (w *world) step() bool {
	e := heap.Pop(&w.queue).(*event)
	w.now = max(w.now, e.at)
	p := e.p
	if p != nil && (!p.alive || p.endCount != e.endCount) {
		return true
	}
	if p != nil && p.pausedUntil > w.now {
		e.at = p.pausedUntil
		heap.Push(&w.queue, e)
		return true
	}
	w.eventCount++
	e.run()
	if p != nil && p.alive && p.endCount == e.endCount && p.pausedUntil <= w.now && p.flush != nil {
		p.flush()
	}
	w.check()
	return w.failure == ""
}

// runUntil runs events until the condition holds, and fails the case after the
// time limit. It reports whether the case has not failed.
func (w *world) runUntil(limit time.Duration, what string, done func() bool) bool {
	for end := w.now + limit; !done(); {
		if w.now >= end {
			w.fail("recovery: waiting for %s, not reached within %s", what, limit)
		}
		if w.failure != "" || !w.step() {
			return false
		}
	}
	return w.failure == ""
}

// runFor runs events for the given time and reports whether the case has not
// failed.
func (w *world) runFor(d time.Duration) bool {
	end := w.now + d
	for w.now < end {
		if !w.step() {
			return false
		}
	}
	return true
}

// addLog adds a line to the log of the case, which keeps the newest 80 lines.
func (w *world) addLog(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	w.log = w.log[max(0, len(w.log)-80):]
}

// fail records a failure; the first one is kept.
func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("seed %d at %s: ", w.seed, w.now) + fmt.Sprintf(format, args...)
	}
}

// report returns the first failure with the newest lines of the log, or nil.
func (w *world) report() error {
	if w.failure == "" {
		return nil
	}
	return classifier.New(classifier.Internal, "%s\n%s", w.failure, strings.Join(w.log, "\n"))
}

// end ends a process and drops its scheduled events.
func (w *world) end(p *process) {
	p.alive = false
	p.endCount++
	w.addLog("process %s ends", p.name)
}

// reachStep records that a step of the traced path is reached and injects the
// faults that wait for it, before any event that follows the step.
func (w *world) reachStep(s Step) {
	for _, f := range w.faults {
		if f.Step != s || f.isApplied {
			continue
		}
		f.isApplied = true
		w.addLog("step %s of the %s path", s, s.Path())
		if f.wait > 0 {
			w.after(nil, f.wait, func() { w.injectAfterRepair(f) })
			continue
		}
		w.injectFault(f)
	}
}

// injectAfterRepair injects a fault. With awaitsRepair, the injection waits until all
// repairs are done and the cell serves again.
func (w *world) injectAfterRepair(f *injection) {
	if f.awaitsRepair && (w.repairing > 0 || !w.serves()) {
		w.after(nil, 50*ms, func() { w.injectAfterRepair(f) })
		return
	}
	w.injectFault(f)
}

// link is the connection between an entry process and a member, which is dialed
// again whenever it breaks.
type link struct {
	e           *entry
	m           *member
	up          bool
	silent      bool // the open connection carries no more messages
	brokenSince time.Duration
	epoch       int
	// inward and outward are the arrival times of the newest message to the
	// entry process and to the member.
	inward, outward time.Duration
}

// isWorking reports whether messages can pass over the link at the given time.
func (l *link) isWorking(now time.Duration) bool {
	return l.e.alive && l.m.alive && !l.silent && l.e.cutUntil <= now && l.m.cutUntil <= now &&
		l.e.pausedUntil <= now && l.m.pausedUntil <= now
}

// watchLinks closes the links that have not worked for the time silence or whose
// process has ended, and opens those that can work again.
func (w *world) watchLinks() {
	for _, l := range w.links {
		isWorking := l.isWorking(w.now)
		switch {
		case l.up && isWorking:
			l.brokenSince = 0
		case l.up && l.brokenSince == 0:
			l.brokenSince = w.now
		case l.up && w.now-l.brokenSince < silence && (l.e.alive || l.e.isLost) && (l.m.alive || l.m.isLost):
		case l.up:
			l.up, l.silent, l.brokenSince = false, false, 0
			l.epoch++
			epoch := l.epoch
			w.after(&l.e.process, 0, func() { l.e.linkDown(l, epoch) })
			w.after(&l.m.process, 0, func() { l.m.linkDown(l, epoch) })
		case isWorking:
			l.up = true
			l.epoch++
			w.after(&l.m.process, 0, func() { l.m.linkUp(l) })
		}
	}
}

// toEntry sends a message over the open connection of the link. Messages of one
// direction stay in order, and those of a paused sender leave when it resumes.
func (w *world) toEntry(l *link, deliver func()) {
	w.overLink(l, &l.m.process, &l.e.process, &l.inward, deliver)
}

// toMember sends a message in the other direction, in the same way as toEntry.
func (w *world) toMember(l *link, deliver func()) {
	w.overLink(l, &l.e.process, &l.m.process, &l.outward, deliver)
}

func (w *world) overLink(l *link, from, to *process, last *time.Duration, deliver func()) {
	if !l.up || l.silent || !from.alive || from.cutUntil > w.now {
		return
	}
	epoch := l.epoch
	leaves := max(w.now, from.pausedUntil)
	*last = max(*last+1, leaves+200*time.Microsecond+time.Duration(w.rng.Int64N(int64(ms))))
	w.deliver(*last, to, func() {
		if l.up && l.epoch == epoch && !l.silent {
			deliver()
		}
	})
}
