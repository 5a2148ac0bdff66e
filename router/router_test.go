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

// harness drives a router in place of the leader and the entry process.
type harness struct {
	*router.Router
	t           testing.TB
	now         modeler.ClockReading
	lastRenewal *modeler.SessionRenewal // the last renewal sent
	term        modeler.Term
	version     modeler.Index
	round       uint64
	lastID      router.RequestID
	granted     map[modeler.WorkerID]uint64
	assigned    []router.Assignment
	refused     map[router.RequestID]classifier.Kind
	idleTimeout time.Duration
}

func newHarness(t testing.TB, settings modeler.Service, teams ...modeler.Team) *harness {
	h := &harness{
		Router: router.New("e", 1, router.Options{}), t: t, now: modeler.ClockReading(time.Hour), term: 1, version: 1,
		granted: map[modeler.WorkerID]uint64{}, refused: map[router.RequestID]classifier.Kind{}, idleTimeout: time.Second,
	}
	settings.Name = registerService
	h.Configure(h.now, &modeler.Configuration{Version: 1, Services: []modeler.Service{settings}, Teams: teams})
	h.Lead(h.now, 1)
	h.collectOutput()
	return h
}

func (h *harness) collectOutput() {
	output := h.Take()
	h.assigned = append(h.assigned, output.Assignments...)
	for _, one := range output.Refusals {
		h.refused[one.ID] = one.Kind
	}
	if output.Renew != nil {
		h.lastRenewal = output.Renew
	}
}

// advanceTime advances the clock and ticks the router; with leader set, each
// renewal is answered by a grant.
func (h *harness) advanceTime(span time.Duration, leader bool) {
	end := h.now.Add(span)
	for h.now < end {
		h.now = min(h.now.Add(5*time.Millisecond), end)
		before := h.lastRenewal
		h.Tick(h.now)
		h.collectOutput()
		if leader && h.lastRenewal != before {
			h.grant()
		}
	}
}

// lendSlots returns a change of a grant that lends count more slots of each
// worker.
func (h *harness) lendSlots(count int, workers ...string) func(*modeler.Grant) {
	return func(g *modeler.Grant) {
		for _, worker := range workers {
			id := modeler.WorkerID(worker)
			h.granted[id] += uint64(count)
			g.Slots = append(g.Slots, modeler.SlotGrant{
				Worker: id, Generation: 1, Granted: h.granted[id], Address: worker,
				Services: []modeler.ServiceName{registerService}, IdleTimeout: h.idleTimeout, Connections: 8,
			})
		}
	}
}

func (h *harness) grant(change ...func(*modeler.Grant)) {
	h.round++
	g := &modeler.Grant{
		Term: h.term, Clock: h.lastRenewal.Clock, Lifetime: 3 * time.Second, Version: h.version, Session: h.lastRenewal.Session, Round: h.round,
	}
	for _, one := range change {
		one(g)
	}
	h.Grant(h.now, g)
	h.collectOutput()
}

func (h *harness) arrive(change ...func(*router.Request)) router.RequestID {
	h.lastID++
	request := router.Request{ID: h.lastID, Service: registerService, Caller: "c"}
	for _, one := range change {
		one(&request)
	}
	h.Arrive(h.now, request)
	h.collectOutput()
	return h.lastID
}

func (h *harness) finish(id router.RequestID, kind classifier.Kind) {
	h.Finish(h.now, id, kind, true)
	h.collectOutput()
}

// raiseArrivalRate serves 4000 requests without delay, so that the router
// keeps idle slots as spare for a while.
func (h *harness) raiseArrivalRate() {
	for range 4000 {
		h.finish(h.arrive(), classifier.None)
	}
	h.assigned = nil
}

// heldSlots returns the number of slots held of a worker.
func (h *harness) heldSlots(worker string) int {
	for _, w := range h.Workers() {
		if w.Worker == modeler.WorkerID(worker) {
			return w.Held
		}
	}
	return 0
}

// TestStaleGrantsAreIgnored guards against a delayed grant of an earlier
// leader, session or round that lends slots again or undoes a newer grant.
func TestStaleGrantsAreIgnored(t *testing.T) {
	h := newHarness(t, modeler.Service{})
	h.grant(h.lendSlots(2, "w"))
	assert.Equal(t, h.heldSlots("w"), 2)
	revoked := func(g *modeler.Grant) { h.lendSlots(0, "w")(g); g.Slots[0].Revoked = true }
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
		h.grant(func(g *modeler.Grant) { g.Slots = []modeler.SlotGrant{{Worker: "w", Granted: 7}} }, one.change)
		assert.Equal(t, h.heldSlots("w"), 2, one.name)
	}
	h.grant(revoked)
	assert.Equal(t, h.heldSlots("w"), 0, "free slots of a revoked worker are returned")
	h.grant(func(g *modeler.Grant) { g.Round = 2; h.lendSlots(0, "w")(g) })
	assert.Assert(t, h.Workers()[0].Revoked, "a grant of an older round doesn't undo the revocation")

	// The leader of a new term is sent the inventory, whose slots stay in use.
	h.grant(h.lendSlots(1, "v"))
	h.raiseArrivalRate()
	first := h.lastRenewal.Session
	h.Lead(h.now, 2)
	h.collectOutput()
	assert.Assert(t, h.lastRenewal.Join && h.lastRenewal.Session > first && h.lastRenewal.Term == 2)
	assert.Equal(t, len(h.lastRenewal.Slots), 1)
	assert.Equal(t, h.lastRenewal.Slots[0].Held, 1)
	h.grant(func(g *modeler.Grant) { g.Session = first; h.lendSlots(4, "v")(g) })
	assert.Equal(t, h.heldSlots("v"), 1, "a grant of term 1")
	h.arrive()
	assert.Equal(t, len(h.assigned), 1)
}

// TestLeases guards against assignments when a lease expires sooner than the
// worker's idle timeout, and against refusals for the wrong reason when a lease
// has expired or is missing.
func TestLeases(t *testing.T) {
	h := newHarness(t, modeler.Service{Wait: modeler.Duration(10 * time.Second)})
	id := h.arrive()
	assert.Equal(t, h.refused[id], classifier.Unconfirmed, "no grant has arrived yet")
	sent := h.lastRenewal.Clock
	h.grant(h.lendSlots(4, "w"))
	last := sent.Add(3*time.Second - h.idleTimeout*101/100)
	for range 4 {
		h.arrive()
	}
	h.advanceTime(last.Sub(h.now)-1, false)
	h.finish(h.assigned[0].ID, classifier.None)
	first := h.arrive()
	assert.Equal(t, len(h.assigned), 5)
	assert.Equal(t, h.assigned[4].SendBy, last)
	assert.Assert(t, h.Sendable(h.now, first))
	h.advanceTime(1, false)
	assert.Assert(t, !h.Sendable(h.now, first))
	h.finish(h.assigned[1].ID, classifier.None)
	waiting := h.arrive()
	assert.Equal(t, len(h.assigned), 5, "the lease ends within the idle timeout")
	h.advanceTime(sent.Add(3*time.Second).Sub(h.now), false)
	late := h.arrive()
	assert.Equal(t, h.refused[late], classifier.Unconfirmed)
	assert.Equal(t, h.lastRenewal.Slots[0].Held, 3, "the new session keeps only the slots in use")
	h.granted["w"] = 3
	h.round = 0
	h.grant(h.lendSlots(1, "w"))
	assert.Equal(t, h.assigned[len(h.assigned)-1].ID, waiting, "the next session serves the waiting request")

	// A newer configuration stops new requests until it is in force here.
	h.version = 2
	h.advanceTime(2900*time.Millisecond, true)
	assert.Assert(t, h.Serving(h.now), "version 1 was the newest until 3 s ago")
	h.advanceTime(200*time.Millisecond, true)
	id = h.arrive()
	assert.Equal(t, h.refused[id], classifier.Unconfirmed, "version 2 isn't in force here")
	h.Configure(h.now, &modeler.Configuration{Version: 2})
	id = h.arrive()
	assert.Equal(t, h.refused[id], classifier.UnknownService, "version 2 has no services")

	leaderless := router.New("e", 1, router.Options{})
	leaderless.Arrive(h.now, router.Request{ID: 1, Service: registerService})
	assert.Equal(t, leaderless.Take().Refusals[0].Kind, classifier.NoLeader)
}

// TestQueue guards against a team or a caller with many requests that gets more
// than its share of the slots, against queues that exceed their limits, and
// against requests that wait beyond their deadline.
func TestQueue(t *testing.T) {
	settings := modeler.Service{Queue: 60, Wait: modeler.Duration(time.Second)}
	h := newHarness(t, settings, modeler.Team{Name: "large", Weight: 2}, modeler.Team{Name: "small", Weight: 1})
	h.grant(h.lendSlots(1, "w"))
	busy := h.arrive()
	owners := map[router.RequestID]string{}
	push := func(team modeler.TeamName, caller router.Caller, count int) (refused int) {
		for range count {
			id := h.arrive(func(r *router.Request) { r.Team, r.Caller = team, caller })
			owners[id] = string(team) + "/" + string(caller)
			if h.refused[id] == classifier.QueueFull {
				refused++
			}
		}
		return refused
	}
	assert.Equal(t, push("small", "flood", 40), 10, "one caller may fill half of the queue")
	assert.Equal(t, push("small", "calm", 6), 0)
	assert.Equal(t, push("large", "x", 12), 0)
	assert.Equal(t, push("large", "y", 13), 1, "the queue is full")
	served := map[string]int{}
	for range 18 {
		h.finish(busy, classifier.None)
		busy = h.assigned[len(h.assigned)-1].ID
		served[owners[busy]]++
	}
	assert.DeepEqual(t, served, map[string]int{"small/flood": 3, "small/calm": 3, "large/x": 6, "large/y": 6})
	h.advanceTime(time.Second, true)
	assert.Equal(t, h.Services()[0].Waiting, 0)
	assert.Equal(t, h.refused[2], classifier.None, "the first request of the flood was served")
	assert.Equal(t, h.refused[31], classifier.QueueTimeout)

	// Besides the round robin here, the leader's bounds on callers' slots apply.
	h = newHarness(t, modeler.Service{})
	h.grant(h.lendSlots(4, "w"))
	push("", "loop", 16)
	h.advanceTime(300*time.Millisecond, true)
	callerUse := h.lastRenewal.Demands[0].Callers[0]
	assert.Equal(t, callerUse.Running, 4)
	assert.Equal(t, callerUse.Waiting, 12)
	bound := func(bound, remoteWaiting int) func(*modeler.Grant) {
		return func(g *modeler.Grant) {
			g.Callers = []modeler.CallerBound{{Service: registerService, Caller: callerUse.Caller, Bound: bound}}
			g.Backlogs = []modeler.RemoteBacklog{{Service: registerService, Waiting: remoteWaiting}}
		}
	}
	push("", "calm", 2)
	h.grant(bound(1, 0))
	var order []string
	for i := range 3 {
		h.finish(h.assigned[i].ID, classifier.None)
		order = append(order, owners[h.assigned[len(h.assigned)-1].ID])
	}
	assert.DeepEqual(t, order, []string{"/calm", "/calm", "/loop"})
	h.grant(bound(0, 1))
	h.finish(h.assigned[3].ID, classifier.None)
	assert.Equal(t, h.heldSlots("w"), 3, "a slot is returned for callers that wait elsewhere")
	h.now = h.now.Add(time.Second)
	h.finish(h.assigned[4].ID, classifier.None)
	assert.Equal(t, h.heldSlots("w"), 3, "an expired bound is ignored")

	h = newHarness(t, modeler.Service{Rate: 3})
	h.grant()
	for i := range 4 {
		id := h.arrive()
		assert.Equal(t, h.refused[id] == classifier.RateLimited, i == 3)
	}
	id := h.arrive(func(r *router.Request) { r.Caller = "other" })
	assert.Equal(t, h.refused[id], classifier.None)
	assert.Assert(t, h.Cancel(h.now, id))
	assert.Assert(t, !h.Cancel(h.now, id))
}

// TestChoiceOfWorker guards against uneven use of workers, retries on the same
// worker, requests that keep going to a worker that fails all of them, and the
// exclusion of too many workers.
func TestChoiceOfWorker(t *testing.T) {
	h := newHarness(t, modeler.Service{Limit: modeler.Duration(5 * time.Second)})
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprint("w", i))
	}
	h.grant(h.lendSlots(2, names...))
	h.grant(h.lendSlots(1, "w3"))
	var order []string
	for range 11 {
		h.now++
		h.arrive()
		order = append(order, string(h.assigned[len(h.assigned)-1].Worker))
	}
	assert.Equal(t, strings.Join(order, " "), "w3 w0 w1 w2 w4 w5 w6 w7 w8 w9 w3")
	for _, one := range h.assigned {
		h.finish(one.ID, classifier.None)
	}
	h.raiseArrivalRate()
	for h.arrive(); h.assigned[len(h.assigned)-1].Worker != "w9"; h.arrive() {
		h.now++
	}
	for _, one := range h.assigned {
		h.finish(one.ID, classifier.None)
	}
	h.arrive(func(r *router.Request) { r.Retry, r.AvoidWorkers = true, []modeler.WorkerID{"w3", "w0"} })
	assert.Equal(t, string(h.assigned[len(h.assigned)-1].Worker), "w1")
	// Every request on w0 to w3 fails; a fifth of ten workers may be excluded.
	for range 60 {
		h.now++
		id := h.arrive()
		kind := classifier.None
		if h.assigned[len(h.assigned)-1].Worker < "w4" {
			kind = classifier.AnswerLost
		}
		h.finish(id, kind)
	}
	excluded := 0
	for _, w := range h.Workers() {
		if w.Excluded {
			excluded++
			assert.Assert(t, w.Worker < "w4")
			assert.Equal(t, w.Held-w.InUse, 0, "free slots of an excluded worker are returned")
		}
	}
	assert.Equal(t, excluded, 2)
	h.advanceTime(1100*time.Millisecond, true)
	for _, w := range h.Workers() {
		assert.Assert(t, !w.Excluded)
	}
	// An abandoned request keeps its slot until the request limit has passed.
	h.grant(h.lendSlots(1, names...))
	id := h.arrive()
	worker := string(h.assigned[len(h.assigned)-1].Worker)
	inUse := func() int {
		for _, w := range h.Workers() {
			if string(w.Worker) == worker {
				return w.InUse
			}
		}
		return 0
	}
	before := inUse()
	h.Finish(h.now, id, classifier.AnswerTimeout, false)
	h.advanceTime(6*time.Second, true)
	assert.Equal(t, inUse(), before)
	h.advanceTime(100*time.Millisecond, true)
	assert.Equal(t, inUse(), before-1)
}

// TestSharedWorker guards against one service that gets all freed slots of a
// worker that also serves another service.
func TestSharedWorker(t *testing.T) {
	h := newHarness(t, modeler.Service{})
	services := []modeler.Service{{Name: "first"}, {Name: "second"}, {Name: "third"}}
	h.Configure(h.now, &modeler.Configuration{Version: 1, Services: services})
	h.grant()
	arrivalOrder := map[router.RequestID]int{}
	for i := range 12 {
		h.now = h.now.Add(time.Millisecond)
		arrivalOrder[h.arrive(func(r *router.Request) { r.Service = services[i%3].Name })] = i
	}
	h.grant(h.lendSlots(1, "w"), func(g *modeler.Grant) { g.Slots[0].Services = []modeler.ServiceName{"first", "second"} })
	var served []int
	for i := 0; i < len(h.assigned); i++ {
		served = append(served, arrivalOrder[h.assigned[i].ID])
		h.now = h.now.Add(time.Millisecond)
		h.finish(h.assigned[i].ID, classifier.None)
	}
	assert.DeepEqual(t, served, []int{0, 1, 3, 4, 6, 7, 9, 10})
}

// TestShares guards against freed slots that don't go to the team with fewer
// slots for its weight, against a bounded team that keeps slots while another
// team is below its share, and against bounds that leave slots idle or stay in
// force without new grants.
func TestShares(t *testing.T) {
	h := newHarness(t, modeler.Service{})
	services := []modeler.ServiceName{"flood", "light"}
	h.Configure(h.now, &modeler.Configuration{
		Version:  1,
		Services: []modeler.Service{{Name: "flood", Team: "flood"}, {Name: "light", Team: "light"}},
		Teams:    []modeler.Team{{Name: "flood", Weight: 1}, {Name: "light", Weight: 2}},
	})
	h.grant()
	owners := map[router.RequestID]modeler.ServiceName{}
	push := func(service modeler.ServiceName, count int) {
		for range count {
			owners[h.arrive(func(r *router.Request) { r.Service = service })] = service
			h.now = h.now.Add(time.Millisecond)
		}
	}
	push("flood", 40)
	push("light", 20)
	setServices := func(g *modeler.Grant) { g.Slots[0].Services = services }
	h.grant(h.lendSlots(12, "w"), setServices)
	count := func(service modeler.ServiceName) (n int) {
		for _, one := range h.assigned {
			if owners[one.ID] == service {
				n++
			}
		}
		return n
	}
	assert.Equal(t, count("flood"), 4)
	assert.Equal(t, count("light"), 8)

	remoteShares := []modeler.TeamShare{{Team: "light", Elsewhere: 24}, {Team: "flood", Elsewhere: 0}}
	h.grant(h.lendSlots(3, "w"), setServices, func(g *modeler.Grant) { g.Shares = remoteShares })
	assert.Equal(t, count("flood"), 7, "the slots used on other entry hosts count")

	boundFlood := func(g *modeler.Grant) {
		g.Shares = []modeler.TeamShare{{Team: "light", Elsewhere: 4}, {Team: "flood", Bounded: true, Bound: 5}}
		g.Backlogs = []modeler.RemoteBacklog{{Service: "light", Waiting: 30, OldestWait: time.Millisecond}}
	}
	running := append([]router.Assignment(nil), h.assigned...)
	h.grant(boundFlood)
	for _, one := range running {
		if owners[one.ID] == "light" {
			h.finish(one.ID, classifier.None)
		}
	}
	assert.Equal(t, count("light"), 16, "the team without a bound gets the freed slots")
	for range 4 {
		for _, one := range h.assigned {
			if owners[one.ID] == "light" {
				h.finish(one.ID, classifier.None)
			}
		}
	}
	assert.Equal(t, count("light"), 20)
	assert.Equal(t, count("flood"), 7)
	assert.Equal(t, h.heldSlots("w"), 7, "idle slots are returned for the team below its share")
	for _, one := range running {
		if owners[one.ID] == "flood" {
			h.finish(one.ID, classifier.None)
		}
	}
	assert.Equal(t, h.heldSlots("w"), 5, "the bounded team keeps as many slots as its bound")
	h.now = h.now.Add(time.Second)
	before := count("flood")
	h.finish(h.assigned[len(h.assigned)-1].ID, classifier.None)
	assert.Equal(t, count("flood"), before+1, "an expired bound is ignored")
}

// TestRemoteBacklog guards against keeping freed slots while requests on other
// entry hosts have waited much longer, and against returning slots when their
// wait is only slightly longer.
func TestRemoteBacklog(t *testing.T) {
	cases := []struct {
		remoteWait time.Duration
		recall     int
		queued     int
		kept       bool
	}{
		{remoteWait: time.Second, queued: 1, kept: false},
		{remoteWait: 5 * time.Millisecond, queued: 1, kept: true},
		{remoteWait: time.Millisecond, queued: 0, kept: false},
		{remoteWait: time.Second, recall: 1, queued: 0, kept: false},
	}
	for _, one := range cases {
		h := newHarness(t, modeler.Service{})
		h.grant(h.lendSlots(1, "w"))
		busy := h.arrive()
		for range one.queued {
			h.arrive()
		}
		h.now = h.now.Add(2 * time.Millisecond)
		if one.recall > 0 {
			h.finish(busy, classifier.None)
		}
		h.grant(func(g *modeler.Grant) {
			g.Backlogs = []modeler.RemoteBacklog{{Service: registerService, OldestWait: one.remoteWait, Waiting: 1, Recall: one.recall}}
		})
		h.finish(busy, classifier.None)
		assert.Equal(t, h.heldSlots("w") == 1, one.kept, "%+v", one)
		if !one.kept {
			assert.Assert(t, h.lastRenewal.Clock.Sub(h.now) < time.Microsecond, "the slot is returned at once")
			assert.Equal(t, h.lastRenewal.Slots[0].Returned, uint64(1))
		}
	}
}

// TestSlotsOfEndedSession guards against reusing a slot whose request was sent
// in an ended session: the leader may have lent it to another entry host since,
// and the worker would get more requests than it has slots.
func TestSlotsOfEndedSession(t *testing.T) {
	h := newHarness(t, modeler.Service{Wait: modeler.Duration(10 * time.Second)})
	h.grant(h.lendSlots(2, "w"))
	answered, assigned := h.arrive(), h.arrive()
	h.Finish(h.now, assigned, classifier.AnswerTimeout, false)
	h.advanceTime(3*time.Second, false)
	assert.Equal(t, h.lastRenewal.Slots[0].Connections, 2, "other entry hosts may have been allotted the rest")
	h.granted["w"] = uint64(h.lastRenewal.Slots[0].Held)
	h.round = 0
	h.grant(h.lendSlots(1, "w"))
	h.arrive()
	h.arrive()
	assert.Equal(t, len(h.assigned), 3, "only the slot granted in this session is used")
	h.finish(answered, classifier.None)
	assert.Equal(t, h.heldSlots("w"), 2, "the slot of the ended request is returned")
	h.advanceTime(65*time.Second, true)
	assert.Equal(t, h.heldSlots("w"), 1, "the slot of the abandoned request is returned after the request limit")
	assert.Equal(t, len(h.assigned), 3)
}

// TestLostLeader guards against returning slots while the link to the leader is
// closed: no other entry host gets them, and they are missing here until the
// next leader lends slots.
func TestLostLeader(t *testing.T) {
	for _, term := range []modeler.Term{1, 0} {
		h := newHarness(t, modeler.Service{})
		h.grant(h.lendSlots(1, "w"))
		busy := h.arrive()
		h.arrive()
		h.now = h.now.Add(2 * time.Millisecond)
		h.grant(func(g *modeler.Grant) {
			g.Backlogs = []modeler.RemoteBacklog{{Service: registerService, OldestWait: time.Second, Waiting: 1}}
		})
		h.LeaderLost(h.now, term)
		h.finish(busy, classifier.None)
		assert.Equal(t, h.heldSlots("w") == 1, term == 1, "the loss of an older term's link is ignored")
	}
	h := newHarness(t, modeler.Service{})
	h.grant(h.lendSlots(2, "w"))
	h.LeaderLost(h.now, 1)
	h.advanceTime(time.Second, false)
	assert.Equal(t, h.heldSlots("w"), 2, "idle slots are kept")
	h.grant()
	h.advanceTime(time.Second, true)
	assert.Equal(t, h.heldSlots("w"), 0, "a grant shows that the leader can be reached again")
}

// TestDrain guards against a graceful shutdown that drops waiting requests or
// doesn't return all slots.
func TestDrain(t *testing.T) {
	h := newHarness(t, modeler.Service{})
	h.grant(h.lendSlots(2, "w"))
	first, second := h.arrive(), h.arrive()
	queued := h.arrive()
	h.Drain(h.now)
	h.collectOutput()
	assert.Equal(t, h.refused[h.arrive()], classifier.Draining)
	retry := h.arrive(func(r *router.Request) { r.Retry = true })
	assert.Assert(t, h.lastRenewal.Leave)
	for _, id := range []router.RequestID{first, second} {
		h.finish(id, classifier.None)
	}
	assert.Equal(t, len(h.assigned), 4, "waiting requests are still served")
	assert.Assert(t, !h.Drained())
	h.finish(queued, classifier.None)
	h.finish(retry, classifier.None)
	h.advanceTime(300*time.Millisecond, false)
	assert.Equal(t, h.heldSlots("w"), 0)
	assert.Equal(t, h.lastRenewal.Slots[0].Returned, uint64(2))
	assert.Assert(t, !h.Drained(), "the leader hasn't confirmed the returned slots")
	h.grant()
	assert.Assert(t, h.Drained())
}

// BenchmarkRequest measures one request from arrival to end in a router that
// holds slots of 48 workers, without messages to the leader.
func BenchmarkRequest(b *testing.B) {
	h := newHarness(nil, modeler.Service{Queue: 1 << 20})
	var names []string
	for i := range workerCount {
		names = append(names, fmt.Sprint("w", i))
	}
	h.grant(h.lendSlots(workerSlots, names...))
	for range 300 {
		h.arrive()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		id := router.RequestID(1000 + i)
		h.Arrive(h.now, router.Request{ID: id, Service: registerService, Caller: "c"})
		h.Finish(h.now, id, classifier.None, true)
		if i%64 == 0 {
			h.Take()
		}
	}
}

// Guards against a service that serves nothing for up to 30 s after its only worker has
// failed for a moment: excluding a worker helps only if another one can take over.
func TestLastWorkerOfServiceIsNotExcluded(t *testing.T) {
	h := newHarness(t, modeler.Service{Limit: modeler.Duration(5 * time.Second)})
	h.grant(h.lendSlots(2, "w"))
	h.raiseArrivalRate()
	for range 40 {
		h.now++
		h.finish(h.arrive(), classifier.AnswerLost)
	}
	assert.Assert(t, !h.Workers()[0].Excluded)
	before := len(h.assigned)
	h.arrive()
	assert.Equal(t, len(h.assigned), before+1, "the request was not sent")
}
