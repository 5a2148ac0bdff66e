package router_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/router"
)

// desk drives a router as its leader and its shell do.
type desk struct {
	*router.Router
	t       testing.TB
	now     modeler.ClockReading
	renew   *modeler.SessionRenewal // the last one sent
	term    modeler.Term
	version modeler.Index
	round   uint64
	next    router.RequestID
	granted map[modeler.WorkerID]uint64
	given   []router.Assignment
	refused map[router.RequestID]classifier.Kind
	idle    time.Duration
}

func newDesk(t testing.TB, settings modeler.Service, teams ...modeler.Team) *desk {
	d := &desk{
		Router: router.New("e", 1, router.Options{}), t: t, now: modeler.ClockReading(time.Hour), term: 1, version: 1,
		granted: map[modeler.WorkerID]uint64{}, refused: map[router.RequestID]classifier.Kind{}, idle: time.Second,
	}
	settings.Name = register
	d.Configure(d.now, &modeler.Configuration{Version: 1, Services: []modeler.Service{settings}, Teams: teams})
	d.Lead(d.now, 1)
	d.take()
	return d
}

func (d *desk) take() {
	output := d.Take()
	d.given = append(d.given, output.Assignments...)
	for _, one := range output.Refusals {
		d.refused[one.ID] = one.Kind
	}
	if output.Renew != nil {
		d.renew = output.Renew
	}
}

// pass lets time go by; the leader answers renewals if it is set.
func (d *desk) pass(span time.Duration, leader bool) {
	end := d.now.Add(span)
	for d.now < end {
		d.now = min(d.now.Add(5*time.Millisecond), end)
		before := d.renew
		d.Tick(d.now)
		d.take()
		if leader && d.renew != before {
			d.grant()
		}
	}
}

// slots is a change of a grant that lends more slots of workers.
func (d *desk) slots(count int, workers ...string) func(*modeler.Grant) {
	return func(g *modeler.Grant) {
		for _, worker := range workers {
			id := modeler.WorkerID(worker)
			d.granted[id] += uint64(count)
			g.Slots = append(g.Slots, modeler.SlotGrant{
				Worker: id, Generation: 1, Granted: d.granted[id], Address: worker,
				Services: []modeler.ServiceName{register}, IdleTimeout: d.idle, Connections: 8,
			})
		}
	}
}

func (d *desk) grant(change ...func(*modeler.Grant)) {
	d.round++
	g := &modeler.Grant{
		Term: d.term, Clock: d.renew.Clock, Lifetime: 3 * time.Second, Version: d.version, Session: d.renew.Session, Round: d.round,
	}
	for _, one := range change {
		one(g)
	}
	d.Grant(d.now, g)
	d.take()
}

func (d *desk) arrive(change ...func(*router.Request)) router.RequestID {
	d.next++
	request := router.Request{ID: d.next, Service: register, Caller: "c"}
	for _, one := range change {
		one(&request)
	}
	d.Arrive(d.now, request)
	d.take()
	return d.next
}

func (d *desk) finish(id router.RequestID, kind classifier.Kind) {
	d.Finish(d.now, id, kind, true)
	d.take()
}

// warm raises the arrival rate, so idle slots stay here for a while.
func (d *desk) warm() {
	for range 4000 {
		d.finish(d.arrive(), classifier.None)
	}
	d.given = nil
}

// held returns the slots held of a worker.
func (d *desk) held(worker string) int {
	for _, w := range d.Workers() {
		if w.Worker == modeler.WorkerID(worker) {
			return w.Held
		}
	}
	return 0
}

// TestGrantsThatDoNotCount guards against grants of an old leader, an old
// session or an old round that lend slots or undo newer news.
func TestGrantsThatDoNotCount(t *testing.T) {
	d := newDesk(t, modeler.Service{})
	d.grant(d.slots(2, "w"))
	assert.Equal(t, d.held("w"), 2)
	revoked := func(g *modeler.Grant) { d.slots(0, "w")(g); g.Slots[0].Revoked = true }
	cases := []struct {
		name   string
		change func(*modeler.Grant)
	}{
		{"lower term", func(g *modeler.Grant) { g.Term = 0 }},
		{"other session", func(g *modeler.Grant) { g.Session-- }},
		{"older round", func(g *modeler.Grant) { g.Round = 1 }},
		{"clock that was never sent", func(g *modeler.Grant) { g.Clock++ }},
		{"lease that has passed", func(g *modeler.Grant) { g.Clock -= modeler.ClockReading(3 * time.Second) }},
	}
	for _, one := range cases {
		d.grant(func(g *modeler.Grant) { g.Slots = []modeler.SlotGrant{{Worker: "w", Granted: 7}} }, one.change)
		assert.Equal(t, d.held("w"), 2, one.name)
	}
	d.grant(revoked)
	assert.Equal(t, d.held("w"), 0, "free slots of a revoked worker go back")
	d.grant(func(g *modeler.Grant) { g.Round = 2; d.slots(0, "w")(g) })
	assert.Assert(t, d.Workers()[0].Revoked, "an older round doesn't bring the worker back")

	// The new term gets the inventory and its slots stay in use meanwhile.
	d.grant(d.slots(1, "v"))
	d.warm()
	first := d.renew.Session
	d.Lead(d.now, 2)
	d.take()
	assert.Assert(t, d.renew.Join && d.renew.Session > first && d.renew.Term == 2)
	assert.Equal(t, len(d.renew.Slots), 1)
	assert.Equal(t, d.renew.Slots[0].Held, 1)
	d.grant(func(g *modeler.Grant) { g.Session = first; d.slots(4, "v")(g) })
	assert.Equal(t, d.held("v"), 1, "a grant of term 1")
	d.arrive()
	assert.Equal(t, len(d.given), 1)
}

// TestLeases guards against new work when a lease has less left than the
// worker's idle timeout, and against refusals that name the wrong reason.
func TestLeases(t *testing.T) {
	d := newDesk(t, modeler.Service{Wait: modeler.Duration(10 * time.Second)})
	id := d.arrive()
	assert.Equal(t, d.refused[id], classifier.Unconfirmed, "no grant yet")
	sent := d.renew.Clock
	d.grant(d.slots(4, "w"))
	last := sent.Add(3*time.Second - d.idle*101/100)
	for range 4 {
		d.arrive()
	}
	d.pass(last.Sub(d.now)-1, false)
	d.finish(d.given[0].ID, classifier.None)
	first := d.arrive()
	assert.Equal(t, len(d.given), 5)
	assert.Equal(t, d.given[4].Until, last)
	assert.Assert(t, d.Sendable(d.now, first))
	d.pass(1, false)
	assert.Assert(t, !d.Sendable(d.now, first))
	d.finish(d.given[1].ID, classifier.None)
	waits := d.arrive()
	assert.Equal(t, len(d.given), 5, "the lease is too short")
	d.pass(sent.Add(3*time.Second).Sub(d.now), false)
	late := d.arrive()
	assert.Equal(t, d.refused[late], classifier.Unconfirmed)
	assert.Equal(t, d.renew.Slots[0].Held, 3, "only the slots in use are left")
	d.granted["w"] = 3
	d.round = 0
	d.grant(d.slots(1, "w"))
	assert.Equal(t, d.given[len(d.given)-1].ID, waits, "what waited is served by the next session")

	// A newer configuration stops new work until it is in force here.
	d.version = 2
	d.pass(2900*time.Millisecond, true)
	assert.Assert(t, d.Serving(d.now), "version 1 was the newest until 3 s ago")
	d.pass(200*time.Millisecond, true)
	id = d.arrive()
	assert.Equal(t, d.refused[id], classifier.Unconfirmed, "version 2 isn't in force here")
	d.Configure(d.now, &modeler.Configuration{Version: 2})
	id = d.arrive()
	assert.Equal(t, d.refused[id], classifier.UnknownService, "version 2 has no services")

	alone := router.New("e", 1, router.Options{})
	alone.Arrive(d.now, router.Request{ID: 1, Service: register})
	assert.Equal(t, alone.Take().Refusals[0].Kind, classifier.NoLeader)
}

// TestQueue guards against a team, caller or flood that takes more than its
// share of the slots, against queues beyond their bounds and against waits
// beyond the deadline.
func TestQueue(t *testing.T) {
	settings := modeler.Service{Queue: 60, Wait: modeler.Duration(time.Second)}
	d := newDesk(t, settings, modeler.Team{Name: "large", Weight: 2}, modeler.Team{Name: "small", Weight: 1})
	d.grant(d.slots(1, "w"))
	busy := d.arrive()
	owners := map[router.RequestID]string{}
	push := func(team modeler.TeamName, caller router.Caller, count int) (refused int) {
		for range count {
			id := d.arrive(func(r *router.Request) { r.Team, r.Caller = team, caller })
			owners[id] = string(team) + "/" + string(caller)
			if d.refused[id] == classifier.QueueFull {
				refused++
			}
		}
		return refused
	}
	assert.Equal(t, push("small", "flood", 40), 10, "half of the queue for one caller")
	assert.Equal(t, push("small", "calm", 6), 0)
	assert.Equal(t, push("large", "x", 12), 0)
	assert.Equal(t, push("large", "y", 13), 1, "the queue is full")
	served := map[string]int{}
	for range 18 {
		d.finish(busy, classifier.None)
		busy = d.given[len(d.given)-1].ID
		served[owners[busy]]++
	}
	assert.DeepEqual(t, served, map[string]int{"small/flood": 3, "small/calm": 3, "large/x": 6, "large/y": 6})
	d.pass(time.Second, true)
	assert.Equal(t, d.Services()[0].Waiting, 0)
	assert.Equal(t, d.refused[2], classifier.None, "the first of the flood was served")
	assert.Equal(t, d.refused[31], classifier.QueueTimeout)

	// Beside the turns here, the callers' slots count that the leader bounds.
	d = newDesk(t, modeler.Service{})
	d.grant(d.slots(4, "w"))
	push("", "loop", 16)
	d.pass(300*time.Millisecond, true)
	loop := d.renew.Demands[0].Callers[0]
	assert.Equal(t, loop.Running, 4)
	assert.Equal(t, loop.Waiting, 12)
	bound := func(bound, elsewhere int) func(*modeler.Grant) {
		return func(g *modeler.Grant) {
			g.Callers = []modeler.CallerBound{{Service: register, Caller: loop.Caller, Bound: bound}}
			g.Backlogs = []modeler.RemoteBacklog{{Service: register, Waiting: elsewhere}}
		}
	}
	push("", "calm", 2)
	d.grant(bound(1, 0))
	var order []string
	for i := range 3 {
		d.finish(d.given[i].ID, classifier.None)
		order = append(order, owners[d.given[len(d.given)-1].ID])
	}
	assert.DeepEqual(t, order, []string{"/calm", "/calm", "/loop"})
	d.grant(bound(0, 1))
	d.finish(d.given[3].ID, classifier.None)
	assert.Equal(t, d.held("w"), 3, "a slot goes to callers that wait elsewhere")
	d.now = d.now.Add(time.Second)
	d.finish(d.given[4].ID, classifier.None)
	assert.Equal(t, d.held("w"), 3, "an old bound counts no more")

	d = newDesk(t, modeler.Service{Rate: 3})
	d.grant()
	for i := range 4 {
		id := d.arrive()
		assert.Equal(t, d.refused[id] == classifier.RateLimited, i == 3)
	}
	id := d.arrive(func(r *router.Request) { r.Caller = "other" })
	assert.Equal(t, d.refused[id], classifier.None)
	assert.Assert(t, d.Cancel(d.now, id))
	assert.Assert(t, !d.Cancel(d.now, id))
}

// TestChoiceOfWorker guards against uneven use, retries on the same worker,
// workers that fail everything, and leaving out too many of them.
func TestChoiceOfWorker(t *testing.T) {
	d := newDesk(t, modeler.Service{Limit: modeler.Duration(5 * time.Second)})
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprint("w", i))
	}
	d.grant(d.slots(2, names...))
	d.grant(d.slots(1, "w3"))
	var order []string
	for range 11 {
		d.now++
		d.arrive()
		order = append(order, string(d.given[len(d.given)-1].Worker))
	}
	assert.Equal(t, strings.Join(order, " "), "w3 w0 w1 w2 w4 w5 w6 w7 w8 w9 w3")
	for _, one := range d.given {
		d.finish(one.ID, classifier.None)
	}
	d.warm()
	for d.arrive(); d.given[len(d.given)-1].Worker != "w9"; d.arrive() {
		d.now++
	}
	for _, one := range d.given {
		d.finish(one.ID, classifier.None)
	}
	d.arrive(func(r *router.Request) { r.Retry, r.Avoid = true, []modeler.WorkerID{"w3", "w0"} })
	assert.Equal(t, string(d.given[len(d.given)-1].Worker), "w1")
	// Every request on w0 to w3 fails; a fifth of ten workers may be left out.
	for range 60 {
		d.now++
		id := d.arrive()
		kind := classifier.None
		if d.given[len(d.given)-1].Worker < "w4" {
			kind = classifier.AnswerLost
		}
		d.finish(id, kind)
	}
	excluded := 0
	for _, w := range d.Workers() {
		if w.Excluded {
			excluded++
			assert.Assert(t, w.Worker < "w4")
			assert.Equal(t, w.Held-w.Taken, 0, "free slots go back")
		}
	}
	assert.Equal(t, excluded, 2)
	d.pass(1100*time.Millisecond, true)
	for _, w := range d.Workers() {
		assert.Assert(t, !w.Excluded)
	}
	// A request that was given up keeps its slot until the request limit.
	d.grant(d.slots(1, names...))
	id := d.arrive()
	worker := string(d.given[len(d.given)-1].Worker)
	taken := func() int {
		for _, w := range d.Workers() {
			if string(w.Worker) == worker {
				return w.Taken
			}
		}
		return 0
	}
	before := taken()
	d.Finish(d.now, id, classifier.AnswerTimeout, false)
	d.pass(6*time.Second, true)
	assert.Equal(t, taken(), before)
	d.pass(100*time.Millisecond, true)
	assert.Equal(t, taken(), before-1)
}

// TestSharedWorker guards against a service that takes all freed slots of
// workers that serve another one as well.
func TestSharedWorker(t *testing.T) {
	d := newDesk(t, modeler.Service{})
	services := []modeler.Service{{Name: "first"}, {Name: "second"}, {Name: "third"}}
	d.Configure(d.now, &modeler.Configuration{Version: 1, Services: services})
	d.grant()
	want := map[router.RequestID]int{}
	for i := range 12 {
		d.now = d.now.Add(time.Millisecond)
		want[d.arrive(func(r *router.Request) { r.Service = services[i%3].Name })] = i
	}
	d.grant(d.slots(1, "w"), func(g *modeler.Grant) { g.Slots[0].Services = []modeler.ServiceName{"first", "second"} })
	var order []int
	for i := 0; i < len(d.given); i++ {
		order = append(order, want[d.given[i].ID])
		d.now = d.now.Add(time.Millisecond)
		d.finish(d.given[i].ID, classifier.None)
	}
	assert.DeepEqual(t, order, []int{0, 1, 3, 4, 6, 7, 9, 10})
}

// TestShares guards against freed slots that don't go to the team with fewer
// slots for its weight, against a team that keeps what the leader says another
// is short of, and against bounds that leave slots idle or outlast the leader.
func TestShares(t *testing.T) {
	d := newDesk(t, modeler.Service{})
	services := []modeler.ServiceName{"flood", "light"}
	d.Configure(d.now, &modeler.Configuration{
		Version:  1,
		Services: []modeler.Service{{Name: "flood", Team: "flood"}, {Name: "light", Team: "light"}},
		Teams:    []modeler.Team{{Name: "flood", Weight: 1}, {Name: "light", Weight: 2}},
	})
	d.grant()
	owners := map[router.RequestID]modeler.ServiceName{}
	push := func(service modeler.ServiceName, count int) {
		for range count {
			owners[d.arrive(func(r *router.Request) { r.Service = service })] = service
			d.now = d.now.Add(time.Millisecond)
		}
	}
	push("flood", 40)
	push("light", 20)
	on := func(g *modeler.Grant) { g.Slots[0].Services = services }
	d.grant(d.slots(12, "w"), on)
	count := func(service modeler.ServiceName) (n int) {
		for _, one := range d.given {
			if owners[one.ID] == service {
				n++
			}
		}
		return n
	}
	assert.Equal(t, count("flood"), 4)
	assert.Equal(t, count("light"), 8)

	elsewhere := []modeler.TeamShare{{Team: "light", Elsewhere: 24}, {Team: "flood", Elsewhere: 0}}
	d.grant(d.slots(3, "w"), on, func(g *modeler.Grant) { g.Shares = elsewhere })
	assert.Equal(t, count("flood"), 7, "the slots on other entry hosts count")

	bound := func(g *modeler.Grant) {
		g.Shares = []modeler.TeamShare{{Team: "light", Elsewhere: 4}, {Team: "flood", Bounded: true, Bound: 5}}
		g.Backlogs = []modeler.RemoteBacklog{{Service: "light", Waiting: 30, OldestWait: time.Millisecond}}
	}
	running := append([]router.Assignment(nil), d.given...)
	d.grant(bound)
	for _, one := range running {
		if owners[one.ID] == "light" {
			d.finish(one.ID, classifier.None)
		}
	}
	assert.Equal(t, count("light"), 16, "the team without a bound goes on")
	for range 4 {
		for _, one := range d.given {
			if owners[one.ID] == "light" {
				d.finish(one.ID, classifier.None)
			}
		}
	}
	assert.Equal(t, count("light"), 20)
	assert.Equal(t, count("flood"), 7)
	assert.Equal(t, d.held("w"), 7, "idle slots go to the team that is short")
	for _, one := range running {
		if owners[one.ID] == "flood" {
			d.finish(one.ID, classifier.None)
		}
	}
	assert.Equal(t, d.held("w"), 5, "it keeps what the bound leaves")
	d.now = d.now.Add(time.Second)
	before := count("flood")
	d.finish(d.given[len(d.given)-1].ID, classifier.None)
	assert.Equal(t, count("flood"), before+1, "an old bound counts no more")
}

// TestPressure guards against keeping freed slots while requests elsewhere
// have waited much longer, and against giving them up for less.
func TestPressure(t *testing.T) {
	cases := []struct {
		elsewhere time.Duration
		recall    int
		queued    int
		kept      bool
	}{
		{elsewhere: time.Second, queued: 1, kept: false},
		{elsewhere: 5 * time.Millisecond, queued: 1, kept: true},
		{elsewhere: time.Millisecond, queued: 0, kept: false},
		{elsewhere: time.Second, recall: 1, queued: 0, kept: false},
	}
	for _, one := range cases {
		d := newDesk(t, modeler.Service{})
		d.grant(d.slots(1, "w"))
		busy := d.arrive()
		for range one.queued {
			d.arrive()
		}
		d.now = d.now.Add(2 * time.Millisecond)
		if one.recall > 0 {
			d.finish(busy, classifier.None)
		}
		d.grant(func(g *modeler.Grant) {
			g.Backlogs = []modeler.RemoteBacklog{{Service: register, OldestWait: one.elsewhere, Waiting: 1, Recall: one.recall}}
		})
		d.finish(busy, classifier.None)
		assert.Equal(t, d.held("w") == 1, one.kept, "%+v", one)
		if !one.kept {
			assert.Assert(t, d.renew.Clock.Sub(d.now) < time.Microsecond, "the slot goes back at once")
			assert.Equal(t, d.renew.Slots[0].Returned, uint64(1))
		}
	}
}

// TestSlotsOfEndedSession guards against reusing a slot whose request was sent
// in a session that has ended: the leader may have lent it to others since.
func TestSlotsOfEndedSession(t *testing.T) {
	d := newDesk(t, modeler.Service{Wait: modeler.Duration(10 * time.Second)})
	d.grant(d.slots(2, "w"))
	answered, given := d.arrive(), d.arrive()
	d.Finish(d.now, given, classifier.AnswerTimeout, false)
	d.pass(3*time.Second, false)
	assert.Equal(t, d.renew.Slots[0].Connections, 2, "the others may be promised elsewhere")
	d.granted["w"] = uint64(d.renew.Slots[0].Held)
	d.round = 0
	d.grant(d.slots(1, "w"))
	d.arrive()
	d.arrive()
	assert.Equal(t, len(d.given), 3, "only the slot of this session is used")
	d.finish(answered, classifier.None)
	assert.Equal(t, d.held("w"), 2, "the slot goes back")
	d.pass(65*time.Second, true)
	assert.Equal(t, d.held("w"), 1, "the slot goes back at the request limit")
	assert.Equal(t, len(d.given), 3)
}

// TestLostLeader guards against giving back slots while the link to the leader
// is closed: nobody gets them, and they are missing until the next leader lends.
func TestLostLeader(t *testing.T) {
	for _, term := range []modeler.Term{1, 0} {
		d := newDesk(t, modeler.Service{})
		d.grant(d.slots(1, "w"))
		busy := d.arrive()
		d.arrive()
		d.now = d.now.Add(2 * time.Millisecond)
		d.grant(func(g *modeler.Grant) {
			g.Backlogs = []modeler.RemoteBacklog{{Service: register, OldestWait: time.Second, Waiting: 1}}
		})
		d.Lost(d.now, term)
		d.finish(busy, classifier.None)
		assert.Equal(t, d.held("w") == 1, term == 1, "an older term's link says nothing")
	}
	d := newDesk(t, modeler.Service{})
	d.grant(d.slots(2, "w"))
	d.Lost(d.now, 1)
	d.pass(time.Second, false)
	assert.Equal(t, d.held("w"), 2, "the idle slots stay")
	d.grant()
	d.pass(time.Second, true)
	assert.Equal(t, d.held("w"), 0, "a grant shows that the leader is back")
}

// TestDrain guards against a graceful shutdown that drops waiting requests or
// keeps slots.
func TestDrain(t *testing.T) {
	d := newDesk(t, modeler.Service{})
	d.grant(d.slots(2, "w"))
	running, waiting := d.arrive(), d.arrive()
	queued := d.arrive()
	d.Drain(d.now)
	d.take()
	assert.Equal(t, d.refused[d.arrive()], classifier.Draining)
	retry := d.arrive(func(r *router.Request) { r.Retry = true })
	assert.Assert(t, d.renew.Leave)
	for _, id := range []router.RequestID{running, waiting} {
		d.finish(id, classifier.None)
	}
	assert.Equal(t, len(d.given), 4, "the queue is served")
	assert.Assert(t, !d.Drained())
	d.finish(queued, classifier.None)
	d.finish(retry, classifier.None)
	d.pass(300*time.Millisecond, false)
	assert.Equal(t, d.held("w"), 0)
	assert.Equal(t, d.renew.Slots[0].Returned, uint64(2))
	assert.Assert(t, !d.Drained(), "the leader hasn't confirmed")
	d.grant()
	assert.Assert(t, d.Drained())
}

// BenchmarkRequest measures one request from its arrival to its end at a router
// that holds slots of 48 workers, without messages to the leader.
func BenchmarkRequest(b *testing.B) {
	d := newDesk(nil, modeler.Service{Queue: 1 << 20})
	var names []string
	for i := range workerCount {
		names = append(names, fmt.Sprint("w", i))
	}
	d.grant(d.slots(workerSlots, names...))
	for range 300 {
		d.arrive()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		id := router.RequestID(1000 + i)
		d.Arrive(d.now, router.Request{ID: id, Service: register, Caller: "c"})
		d.Finish(d.now, id, classifier.None, true)
		if i%64 == 0 {
			d.Take()
		}
	}
}
