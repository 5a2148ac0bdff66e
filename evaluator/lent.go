package evaluator

import (
	"fmt"
	"time"

	"goldcreststack.example/goldcreststack/allocator"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/router"
)

const (
	connections = 64
	register    = modeler.ServiceName("breakfast-register")
)

// lent is the model with the real cores.
type lent struct {
	*model
	allocator *allocator.Allocator
	routers   [entryCount]*router.Router
	wakes     [entryCount]time.Duration
	services  []modeler.ServiceName
	arrived   map[router.RequestID]arrival
	next      router.RequestID
	// taken is told of each assignment and of the time that it takes a slot.
	taken func(one arrival, hold time.Duration)
	term  modeler.Term
	known []modeler.EntrySession
	// paused is the end of each entry host's pause.
	paused [entryCount]time.Duration
}

// arrival is when a request has come, and from where.
type arrival struct {
	at   time.Duration
	flow int
}

func (l *lent) reading() modeler.ClockReading { return modeler.ClockReading(l.Now + time.Hour) }

func buildLent(m *model) {
	l := newLent(m, &modeler.Configuration{Version: 1, Services: []modeler.Service{lentService(register, "")}})
	m.arrive = func(entry int, arrived time.Duration) {
		l.request(entry, arrival{at: arrived}, router.Request{Service: register})
	}
}

// lentService describes a service without bounds that a run could reach.
func lentService(name modeler.ServiceName, team modeler.TeamName) modeler.Service {
	return modeler.Service{
		Name: name, Team: team, Limit: modeler.Duration(time.Minute), Wait: modeler.Duration(time.Hour), Queue: 1 << 30,
	}
}

func newLent(m *model, configuration *modeler.Configuration) *lent {
	l := &lent{model: m, allocator: allocator.New(allocator.Options{}), arrived: map[router.RequestID]arrival{}}
	l.taken = func(one arrival, _ time.Duration) { m.assigned(one.at) }
	for _, service := range configuration.Services {
		l.services = append(l.services, service.Name)
	}
	for i := range entryCount {
		l.known = append(l.known, modeler.EntrySession{Entry: modeler.EntryID(fmt.Sprint(i)), Incarnation: 1})
	}
	for i := range l.routers {
		l.routers[i] = router.New(l.known[i].Entry, 1, router.Options{CallerShare: 1})
		l.routers[i].Configure(l.reading(), configuration)
	}
	l.lead(configuration, nil)
	l.control()
	return l
}

// lead starts a leader's term, after which the entry hosts turn to it.
func (l *lent) lead(configuration *modeler.Configuration, before []modeler.EntrySession) {
	l.term++
	l.allocator.Lead(l.reading(), l.term, before)
	l.allocator.Known(l.reading(), l.known)
	l.allocator.Configure(l.reading(), configuration)
	l.beat()
	for i := range l.routers {
		l.routers[i].Lead(l.reading(), l.term)
		l.emit(i)
	}
}

// deliver runs an input of an entry host, after its pause if it is paused.
func (l *lent) deliver(entry int, input func()) {
	if l.Now < l.paused[entry] {
		l.After(l.paused[entry]-l.Now, func() { l.deliver(entry, input) })
		return
	}
	input()
	l.emit(entry)
}

func (l *lent) request(entry int, one arrival, request router.Request) {
	l.next++
	request.ID = l.next
	l.arrived[l.next] = one
	l.deliver(entry, func() { l.routers[entry].Arrive(l.reading(), request) })
}

// control drives the leader: the quorum lease, heartbeats and ticks.
func (l *lent) control() {
	l.allocator.Lease(l.reading().Add(time.Second))
	if l.Now%time.Second == 0 {
		l.beat()
	}
	l.allocator.Tick(l.reading())
	l.grants()
	l.After(20*time.Millisecond, l.control)
}

func (l *lent) beat() {
	l.allocator.Lease(l.reading().Add(time.Second))
	for w := range workerCount {
		l.allocator.Heartbeat(l.reading(), &modeler.Heartbeat{
			Worker: modeler.WorkerID(fmt.Sprintf("w%02d", w)), Generation: 1, Address: "w", Slots: workerSlots,
			Connections: connections, Services: l.services,
			IdleTimeout: modeler.Duration(time.Second), Clock: l.reading(),
		})
	}
}

func (l *lent) grants() {
	for _, one := range l.allocator.Take().Grants {
		l.messages++
		var entry int
		_, _ = fmt.Sscan(string(one.To.Entry), &entry)
		l.After(oneWay, func() {
			l.deliver(entry, func() { l.routers[entry].Grant(l.reading(), one.Grant) })
		})
	}
}

func (l *lent) emit(entry int) {
	r := l.routers[entry]
	output := r.Take()
	for _, one := range output.Assignments {
		hold := l.Exponential(meanService) + 2*oneWay
		l.taken(l.arrived[one.ID], hold)
		delete(l.arrived, one.ID)
		l.After(hold, func() {
			l.deliver(entry, func() { r.Finish(l.reading(), one.ID, classifier.None, true) })
		})
	}
	if len(output.Refusals) > 0 {
		l.refused = output.Refusals[0].Kind.String()
	}
	if output.Renew != nil {
		l.messages++
		l.After(oneWay, func() { l.allocator.Renew(l.reading(), output.Renew); l.grants() })
	}
	l.wake(entry)
}

// wake calls Tick when the router asks for it.
func (l *lent) wake(entry int) {
	due := l.routers[entry].Due().Sub(modeler.ClockReading(time.Hour))
	if l.wakes[entry] > l.Now && l.wakes[entry] <= due {
		return
	}
	due = max(due, l.Now)
	l.wakes[entry] = due
	l.After(due-l.Now, func() {
		if l.wakes[entry] != due {
			return
		}
		l.wakes[entry] = 0
		l.deliver(entry, func() { l.routers[entry].Tick(l.reading()) })
	})
}
