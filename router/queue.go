package router

import (
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// queue holds the waiting requests of a service. It serves teams by weighted
// deficit round robin, and the callers of a team by round robin.
type queue struct {
	teams       []*teamQueue // teams with waiting requests, the next one first
	teamsByName map[modeler.TeamName]*teamQueue
	size        int
	arrivals    []*request // in order of arrival; may contain removed requests
}

// teamQueue holds the waiting requests of one team.
type teamQueue struct {
	name           modeler.TeamName
	weight         int
	deficit        int
	callerQueues   []*callerQueue // callers with waiting requests, the next one first
	queuesByCaller map[Caller]*callerQueue
}

// callerQueue holds the waiting requests of one caller in order of arrival,
// retries first.
type callerQueue struct {
	caller   Caller
	requests []*request
}

func newQueue() *queue {
	return &queue{teamsByName: map[modeler.TeamName]*teamQueue{}}
}

func (q *queue) push(r *request, weight int) {
	t := q.teamsByName[r.Team]
	if t == nil {
		t = &teamQueue{name: r.Team, queuesByCaller: map[Caller]*callerQueue{}}
		q.teamsByName[r.Team] = t
		q.teams = append(q.teams, t)
	}
	t.weight = max(1, weight)
	cq := t.queuesByCaller[r.Caller]
	if cq == nil {
		cq = &callerQueue{caller: r.Caller}
		t.queuesByCaller[r.Caller] = cq
		t.callerQueues = append(t.callerQueues, cq)
	}
	q.size++
	if r.Retry {
		cq.requests = slices.Insert(cq.requests, 0, r)
		q.arrivals = slices.Insert(q.arrivals, 0, r)
		return
	}
	cq.requests = append(cq.requests, r)
	q.arrivals = append(q.arrivals, r)
}

// waitingInTeam returns the number of the caller's waiting requests of one
// team.
func (q *queue) waitingInTeam(team modeler.TeamName, caller Caller) int {
	t := q.teamsByName[team]
	if t == nil || t.queuesByCaller[caller] == nil {
		return 0
	}
	return len(t.queuesByCaller[caller].requests)
}

// waitingOfCaller returns the number of the caller's waiting requests of all
// teams.
func (q *queue) waitingOfCaller(c Caller) int {
	sum := 0
	for _, t := range q.teams {
		sum += q.waitingInTeam(t.name, c)
	}
	return sum
}

// callers returns the number of callers with waiting requests, counted once
// per team.
func (q *queue) callers() int {
	sum := 0
	for _, t := range q.teams {
		sum += len(t.callerQueues)
	}
	return sum
}

// pop removes and returns the next request. Within the team in turn it skips
// callers for which atBound is true, unless all of them are at their bounds.
// The queue must not be empty.
func (q *queue) pop(atBound func(Caller) bool) *request {
	t := q.teams[0]
	if t.deficit < 1 {
		t.deficit = t.weight
	}
	t.deficit--
	index := max(0, slices.IndexFunc(t.callerQueues, func(cq *callerQueue) bool { return !atBound(cq.caller) }))
	cq := t.callerQueues[index]
	r := cq.requests[0]
	t.callerQueues = append(slices.Delete(t.callerQueues, index, index+1), cq)
	if t.deficit < 1 {
		q.teams = append(q.teams[1:], t)
	}
	q.remove(r)
	return r
}

// remove deletes a waiting request from the queue.
func (q *queue) remove(r *request) {
	t := q.teamsByName[r.Team]
	cq := t.queuesByCaller[r.Caller]
	if i := slices.Index(cq.requests, r); i >= 0 {
		cq.requests = slices.Delete(cq.requests, i, i+1)
	}
	r.removed = true
	q.size--
	if len(cq.requests) > 0 {
		return
	}
	delete(t.queuesByCaller, cq.caller)
	if i := slices.Index(t.callerQueues, cq); i >= 0 {
		t.callerQueues = slices.Delete(t.callerQueues, i, i+1)
	}
	if len(t.callerQueues) > 0 {
		return
	}
	delete(q.teamsByName, t.name)
	if i := slices.Index(q.teams, t); i >= 0 {
		q.teams = slices.Delete(q.teams, i, i+1)
	}
}

// oldest returns the waiting request that arrived first, or nil if none waits.
func (q *queue) oldest() *request {
	for len(q.arrivals) > 0 && q.arrivals[0].removed {
		q.arrivals[0] = nil
		q.arrivals = q.arrivals[1:]
	}
	if len(q.arrivals) == 0 {
		return nil
	}
	return q.arrivals[0]
}
