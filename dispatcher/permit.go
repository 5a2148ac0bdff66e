package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// permitMargin is taken off a permit's validity for the way from the
	// answer to the start: a commit and two trips.
	permitMargin = 300 * time.Millisecond
	// askMin and askMax bound the workers named in one question; the time
	// that callers grant for it counts 30.
	askMin = 10
	askMax = 30
	// slowDecision is the time of a question beyond which it must leave some
	// processes free for short ones.
	slowDecision = 100 * time.Millisecond
	// askPause is the time between two questions for a step without an answer.
	askPause = 100 * time.Millisecond
	// askIdle is the time between two searches for workers to ask about; each
	// looks at all of them.
	askIdle = 50 * time.Millisecond
	// spare is how much more room than needed a question aims for, since
	// other tasks may take it meanwhile.
	spare = 1.3
)

// NextAsk returns the next question to the outside policy. Slow questions are
// left out unless they are wanted.
func (d *Dispatcher) NextAsk(now modeler.ClockReading, slow bool) (modeler.PermitRequest, bool) {
	for _, u := range d.order {
		if u.policy.Permits == nil || u.asking || now < u.askAt || len(u.waiting) == 0 {
			continue
		}
		if !slow && u.policy.Permits.Decision > slowDecision {
			continue
		}
		if !(u.ready && (u.short || len(u.permits) == 0)) && !(u.soon && len(u.permits)+len(u.denied) == 0) {
			continue
		}
		names := d.candidates(now, u)
		if len(names) == 0 {
			u.askAt = now.Add(askIdle)
			continue
		}
		d.name(u, names)
		policy := u.policy.Permits
		within := policy.Decision + time.Duration(len(names))*policy.Worker
		return modeler.PermitRequest{Step: u.key, Workers: names, Timeout: within}, true
	}
	return modeler.PermitRequest{}, false
}

// name notes the workers that a question under way names.
func (d *Dispatcher) name(u *unit, names []modeler.WorkerID) {
	u.asking = true
	u.asked = names
	for _, id := range names {
		d.hosts[id].named++
	}
}

// unname notes that the unit's question is over.
func (d *Dispatcher) unname(u *unit) {
	if !u.asking {
		return
	}
	u.asking = false
	for _, id := range u.asked {
		// A worker that was replaced or lost meanwhile counts anew.
		if h := d.hosts[id]; h != nil && h.named > 0 {
			h.named--
		}
	}
}

// candidate is a worker that a question may name.
type candidate struct {
	host *host
	// tasks is how many tasks of the step have room there.
	tasks int
	known bool
	// awkward means that it would slow a task down or disturb another.
	awkward bool
	// offer rates its room and its speed.
	offer float64
}

// candidates chooses the workers to name: allowed ones with room first, then
// unknown ones, until the expected room is enough.
func (d *Dispatcher) candidates(now modeler.ClockReading, u *unit) []modeler.WorkerID {
	need := charge(u.step)
	first := len(u.permits)+len(u.denied) == 0
	best := make([]candidate, 0, askMax+1)
	for _, h := range d.list {
		if !d.mayName(now, u, h) {
			continue
		}
		_, known := u.permits[h.machine.ID]
		tasks := d.capacity(u, h, need)
		if tasks == 0 {
			continue
		}
		c := candidate{
			host: h, tasks: tasks, known: known,
			awkward: d.score(u, h) >= awkward,
			offer:   d.offer(u, h, tasks),
		}
		at, _ := slices.BinarySearchFunc(best, c, compareCandidates)
		if at < askMax {
			best = slices.Insert(best, at, c)
			best = best[:min(len(best), askMax)]
		}
	}
	share := d.queue(u.flow.Spec.Queue).allowed
	want := spare * float64(len(u.waiting))
	var names []modeler.WorkerID
	expected := 0.0
	for _, c := range best {
		if expected >= want && (len(names) >= askMin || best[0].known) {
			break
		}
		names = append(names, c.host.machine.ID)
		if c.known {
			expected += float64(c.tasks)
		} else {
			expected += share * min(float64(c.tasks), 2+want/4)
		}
	}
	if expected < want {
		names = d.nameYielding(now, u, need, names)
	}
	if first && len(names) == 0 {
		names = d.nameAny(now, u)
	}
	return names
}

// nameAny names workers without room for a step that has asked about none, so
// that it can use some as soon as room comes. It begins with another worker each
// time, so that not all steps wait for the same ones.
func (d *Dispatcher) nameAny(now modeler.ClockReading, u *unit) []modeler.WorkerID {
	var names []modeler.WorkerID
	for i := 0; i < len(d.list) && len(names) < askMin; i++ {
		d.rotor = (d.rotor + 1) % len(d.list)
		if h := d.list[d.rotor]; d.mayName(now, u, h) {
			names = append(names, h.machine.ID)
		}
	}
	return names
}

// mayName reports whether a question for a step may name a worker.
func (d *Dispatcher) mayName(now modeler.ClockReading, u *unit, h *host) bool {
	id := h.machine.ID
	if u.denied[id] || h.machine.Service != u.policy.Service || !d.usable(now, h) {
		return false
	}
	p, known := u.permits[id]
	if known && p.until > now && p.generation == h.machine.Generation {
		return false
	}
	return u.step.Label == "" || slices.Contains(h.machine.Labels, u.step.Label)
}

// compareCandidates puts those first that a question should name.
func compareCandidates(a, b candidate) int {
	if a.known != b.known && (a.tasks > 0) == (b.tasks > 0) {
		return trueFirst(a.known)
	}
	if a.awkward != b.awkward {
		return trueFirst(b.awkward)
	}
	return cmp.Or(-cmp.Compare(a.offer, b.offer), cmp.Compare(a.host.machine.ID, b.host.machine.ID))
}

// trueFirst orders two candidates that differ in a property, of which the
// first one has it or not.
func trueFirst(has bool) int {
	if has {
		return -1
	}
	return 1
}

// capacity is how many more tasks of the step have room on the worker.
func (d *Dispatcher) capacity(u *unit, h *host, need modeler.Resources) int {
	room := h.room()
	n := u.step.Count
	if u.step.PerWorker > 0 {
		n = min(n, u.step.PerWorker-u.held[h.machine.ID])
	}
	if need.Processors > 0 {
		n = min(n, int(room.Processors/need.Processors))
	}
	if need.Memory > 0 {
		n = min(n, int(room.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, int(room.Accelerators/need.Accelerators))
	}
	return max(n, 0)
}

// Permitted takes the outside policy's answer.
func (d *Dispatcher) Permitted(now modeler.ClockReading, a modeler.PermitAnswer) {
	u := d.units[a.Step]
	if u == nil {
		return
	}
	d.unname(u)
	if a.Failed {
		u.askAt = now.Add(askPause)
		d.settings.Log("permit question failed", "request", a.Step.Flow, "step", a.Step.Step, "took", a.Elapsed.String())
		return
	}
	validity := a.Validity
	if validity == 0 {
		validity = u.policy.Permits.Validity
	}
	news, allowed := 0, 0
	for _, id := range u.asked {
		if _, known := u.permits[id]; !known {
			news++
		}
		at := slices.IndexFunc(a.Allowed, func(g modeler.PermitGrant) bool { return g.Worker == id })
		h := d.hosts[id]
		if at < 0 || h == nil {
			delete(u.permits, id)
			u.denied[id] = true
			continue
		}
		if _, known := u.permits[id]; !known {
			allowed++
		}
		u.permits[id] = permit{
			text:       a.Allowed[at].Permit,
			until:      now.Add(validity - permitMargin),
			generation: h.machine.Generation,
		}
	}
	if news > 0 {
		q := d.queue(u.flow.Spec.Queue)
		q.allowed += learnRate * (float64(allowed)/float64(news) - q.allowed)
		q.allowed = max(q.allowed, learnRate)
	}
	u.short = false
	d.settings.Log("permits", "request", a.Step.Flow, "step", a.Step.Step, "asked", len(u.asked), "allowed", len(a.Allowed), "took", a.Elapsed.String())
	d.changed = true
}
