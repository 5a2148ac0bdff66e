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
	workerConnections = 64
	registerService   = modeler.ServiceName("breakfast-register")
)

// lentModel simulates lent slots with the allocator and the routers themselves.
type lentModel struct {
	*model
	allocator   *allocator.Allocator
	routers     [entryCount]*router.Router
	tickTimes   [entryCount]time.Duration
	services    []modeler.ServiceName
	arrivals    map[router.RequestID]arrival
	lastRequest router.RequestID
	// onAssigned is called with each assignment and the time for which it occupies
	// a slot.
	onAssigned func(request arrival, hold time.Duration)
	term       modeler.Term
	sessions   []modeler.EntrySession
	// pausedUntil is the time at which each entry host's pause ends.
	pausedUntil [entryCount]time.Duration
}

// arrival is the time at which a request arrived, and its flow.
type arrival struct {
	at   time.Duration
	flow int
}

func (l *lentModel) clockReading() modeler.ClockReading {
	return modeler.ClockReading(l.Now + time.Hour)
}

func buildLent(m *model) {
	l := newLentModel(m, &modeler.Configuration{Version: 1, Services: []modeler.Service{lentService(registerService, "")}})
	m.arrive = func(entry int, arrived time.Duration) {
		l.request(entry, arrival{at: arrived}, router.Request{Service: registerService})
	}
}

// lentService describes a service whose limits no run reaches.
func lentService(name modeler.ServiceName, team modeler.TeamName) modeler.Service {
	return modeler.Service{
		Name: name, Team: team, Limit: modeler.Duration(time.Minute), Wait: modeler.Duration(time.Hour), Queue: 1 << 30,
	}
}

func newLentModel(m *model, configuration *modeler.Configuration) *lentModel {
	l := &lentModel{model: m, allocator: allocator.New(allocator.Options{}), arrivals: map[router.RequestID]arrival{}}
	l.onAssigned = func(request arrival, _ time.Duration) { m.recordAssignment(request.at) }
	for _, service := range configuration.Services {
		l.services = append(l.services, service.Name)
	}
	for i := range entryCount {
		l.sessions = append(l.sessions, modeler.EntrySession{Entry: modeler.EntryID(fmt.Sprint(i)), Incarnation: 1})
	}
	for i := range l.routers {
		l.routers[i] = router.New(l.sessions[i].Entry, 1, router.Options{CallerQueueDivisor: 1})
		l.routers[i].Configure(l.clockReading(), configuration)
	}
	l.startTerm(configuration, nil)
	l.runLeader()
	return l
}

// startTerm starts a leader's term and makes the entry hosts use that leader.
// before holds the entry sessions of the replicated state.
func (l *lentModel) startTerm(configuration *modeler.Configuration, before []modeler.EntrySession) {
	l.term++
	l.allocator.Lead(l.clockReading(), l.term, before)
	l.allocator.SetRegistered(l.clockReading(), l.sessions)
	l.allocator.Configure(l.clockReading(), configuration)
	l.sendHeartbeats()
	for i := range l.routers {
		l.routers[i].Lead(l.clockReading(), l.term)
		l.handleOutput(i)
	}
}

// deliver passes an input to an entry host, at the end of its pause if it is
// paused.
func (l *lentModel) deliver(entry int, input func()) {
	if l.Now < l.pausedUntil[entry] {
		l.After(l.pausedUntil[entry]-l.Now, func() { l.deliver(entry, input) })
		return
	}
	input()
	l.handleOutput(entry)
}

func (l *lentModel) request(entry int, arrived arrival, request router.Request) {
	l.lastRequest++
	request.ID = l.lastRequest
	l.arrivals[l.lastRequest] = arrived
	l.deliver(entry, func() { l.routers[entry].Arrive(l.clockReading(), request) })
}

// runLeader renews the leader's quorum lease and ticks the allocator every 20 ms,
// and sends the heartbeats of all workers every second.
func (l *lentModel) runLeader() {
	l.allocator.SetLeaseEnd(l.clockReading().Add(time.Second))
	if l.Now%time.Second == 0 {
		l.sendHeartbeats()
	}
	l.allocator.Tick(l.clockReading())
	l.deliverGrants()
	l.After(20*time.Millisecond, l.runLeader)
}

func (l *lentModel) sendHeartbeats() {
	l.allocator.SetLeaseEnd(l.clockReading().Add(time.Second))
	for w := range workerCount {
		l.allocator.Heartbeat(l.clockReading(), &modeler.Heartbeat{
			Worker: modeler.WorkerID(fmt.Sprintf("w%02d", w)), Generation: 1, Address: "w", Slots: workerSlots,
			Connections: workerConnections, Services: l.services,
			IdleTimeout: modeler.Duration(time.Second), Clock: l.clockReading(),
		})
	}
}

func (l *lentModel) deliverGrants() {
	for _, grant := range l.allocator.TakeOutput().Grants {
		l.messages++
		var entry int
		_, _ = fmt.Sscan(string(grant.To.Entry), &entry)
		l.After(oneWay, func() {
			l.deliver(entry, func() { l.routers[entry].Grant(l.clockReading(), grant.Grant) })
		})
	}
}

func (l *lentModel) handleOutput(entry int) {
	r := l.routers[entry]
	output := r.Take()
	for _, assignment := range output.Assignments {
		hold := l.Exponential(meanService) + 2*oneWay
		l.onAssigned(l.arrivals[assignment.ID], hold)
		delete(l.arrivals, assignment.ID)
		l.After(hold, func() {
			l.deliver(entry, func() { r.Finish(l.clockReading(), assignment.ID, classifier.None, true) })
		})
	}
	if len(output.Refusals) > 0 {
		l.refusalKind = output.Refusals[0].Kind.String()
	}
	if output.Renew != nil {
		l.messages++
		l.After(oneWay, func() { l.allocator.Renew(l.clockReading(), output.Renew); l.deliverGrants() })
	}
	l.scheduleTick(entry)
}

// scheduleTick schedules a Tick of the router for the time at which it is due.
func (l *lentModel) scheduleTick(entry int) {
	due := l.routers[entry].Due().Sub(modeler.ClockReading(time.Hour))
	if l.tickTimes[entry] > l.Now && l.tickTimes[entry] <= due {
		return
	}
	due = max(due, l.Now)
	l.tickTimes[entry] = due
	l.After(due-l.Now, func() {
		if l.tickTimes[entry] != due {
			return
		}
		l.tickTimes[entry] = 0
		l.deliver(entry, func() { l.routers[entry].Tick(l.clockReading()) })
	})
}
