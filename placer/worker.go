package placer

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// worker is a worker with what it holds.
type worker struct {
	Worker
	domain *domain
	rack   *rack
	// present says that the worker is heard from; lost is since when not.
	present bool
	lost    modeler.ClockReading
	tasks   []*task
	// declared adds up the sizes of all attempts outside reclaimed room,
	// and estimate the estimates of all attempts.
	declared modeler.Resources
	estimate modeler.Resources
	// lasting adds up the sizes of services, which don't end by themselves.
	lasting modeler.Resources
	// reclaimed adds up the estimates of the attempts in reclaimed room.
	reclaimed modeler.Resources
	// movable adds up the sizes of declared attempts that can be
	// checkpointed; movableEstimate adds up the estimates of all such.
	movable         modeler.Resources
	movableEstimate modeler.Resources
	// earmarked is held for one job each by earmarks.
	earmarked modeler.Resources
	room      [roomKinds]modeler.Resources
	// free is what the worker adds to the free room of its domain.
	free  modeler.Resources
	slots [roomKinds]slot
	// grown says for each class that the room has grown since its waiting
	// jobs were last compared with it.
	grown  [classes]bool
	health health
}

// domain is a failure domain.
type domain struct {
	name     modeler.DomainName
	region   modeler.RegionName
	index    int
	grids    [roomKinds]*grid
	capacity modeler.Resources
	free     modeler.Resources
}

// rack is a rack of a failure domain.
type rack struct {
	name    modeler.RackName
	workers []*worker
}

type rackKey struct {
	region modeler.RegionName
	domain modeler.DomainName
	rack   modeler.RackName
}

type domainKey struct {
	region modeler.RegionName
	domain modeler.DomainName
}

// SetWorker takes in a worker that has been heard from. The attempts that an
// older generation held keep their room until Ended is called for each.
func (p *Placer) SetWorker(now modeler.ClockReading, desc Worker) {
	p.now = now
	w := p.workers[desc.ID]
	if w != nil && w.present && w.same(desc) {
		return
	}
	if w == nil {
		w = p.addWorker(desc.ID)
	}
	if w.domain == nil || w.place() != placeOf(desc) || !slices.Equal(w.Labels, desc.Labels) {
		p.moveWorker(w, desc)
	}
	p.uncountWorker(w)
	restarted := w.Generation != desc.Generation
	w.Worker = desc
	w.present = true
	p.countWorker(w)
	if restarted {
		p.restartHealth(w)
	}
	p.recount(w)
}

// LoseWorker takes a worker out of placement. Its attempts keep their room, and
// none is replaced, until Ended is called for each.
func (p *Placer) LoseWorker(now modeler.ClockReading, id modeler.WorkerID) {
	p.now = now
	w := p.workers[id]
	if w == nil || !w.present {
		return
	}
	p.uncountWorker(w)
	w.present = false
	w.lost = now
	p.recount(w)
}

func (w *worker) same(desc Worker) bool {
	return w.Generation == desc.Generation &&
		w.Capacity == desc.Capacity &&
		w.Leaving == desc.Leaving &&
		w.place() == placeOf(desc) &&
		slices.Equal(w.Labels, desc.Labels)
}

func (w *worker) place() rackKey { return placeOf(w.Worker) }

func placeOf(desc Worker) rackKey { return rackKey{desc.Region, desc.Domain, desc.Rack} }

func (p *Placer) addWorker(id modeler.WorkerID) *worker {
	w := &worker{Worker: Worker{ID: id}}
	for kind := range w.slots {
		w.slots[kind].cell = -1
	}
	p.workers[id] = w
	p.list = append(p.list, w)
	return w
}

// moveWorker puts the worker into the failure domain, the rack and the label
// lists of its new description.
func (p *Placer) moveWorker(w *worker, desc Worker) {
	if w.domain != nil {
		p.uncountWorker(w)
		w.present = false
		p.recount(w)
		w.rack.workers = without(w.rack.workers, w)
		for _, label := range w.Labels {
			p.labels[label] = without(p.labels[label], w)
		}
	}
	w.domain = p.domainOf(domainKey{desc.Region, desc.Domain})
	w.rack = p.rackOf(placeOf(desc))
	w.rack.workers = append(w.rack.workers, w)
	for _, label := range desc.Labels {
		p.labels[label] = append(p.labels[label], w)
	}
	for _, t := range w.tasks {
		t.job.settle(t, w)
	}
}

func without(list []*worker, w *worker) []*worker {
	at := slices.Index(list, w)
	if at < 0 {
		return list
	}
	return slices.Delete(list, at, at+1)
}

func (p *Placer) domainOf(key domainKey) *domain {
	d := p.domainByKey[key]
	if d != nil {
		return d
	}
	d = &domain{name: key.domain, region: key.region, index: len(p.domains)}
	for kind := range d.grids {
		d.grids[kind] = &grid{kind: roomKind(kind)}
	}
	p.domainByKey[key] = d
	p.domains = append(p.domains, d)
	return d
}

func (p *Placer) rackOf(key rackKey) *rack {
	r := p.racks[key]
	if r == nil {
		r = &rack{name: key.rack}
		p.racks[key] = r
		p.racksByName[key.rack] = append(p.racksByName[key.rack], r)
	}
	return r
}

// countWorker and uncountWorker keep the totals of the workers in use.
func (p *Placer) countWorker(w *worker) {
	p.present++
	p.total = p.total.Add(w.Capacity)
	w.domain.capacity = w.domain.capacity.Add(w.Capacity)
	p.cellVersion++
}

func (p *Placer) uncountWorker(w *worker) {
	if !w.present {
		return
	}
	p.present--
	p.total = p.total.Sub(w.Capacity)
	w.domain.capacity = w.domain.capacity.Sub(w.Capacity)
	p.cellVersion++
}

// usable reports whether the worker may get new tasks at all.
func (w *worker) usable() bool {
	return w.present && !w.Leaving && w.health.open()
}

// recount derives the free room of the worker from what it holds and puts it
// in its place in the grids.
func (p *Placer) recount(w *worker) {
	if w.domain == nil {
		return
	}
	if !w.usable() {
		p.unlist(w)
		return
	}
	before := w.room
	byDeclared := w.Capacity.Sub(w.declared).Sub(w.earmarked)
	byEstimate := w.Capacity.Sub(w.estimate).Sub(w.earmarked)
	w.room[plainRoom] = lesser(byDeclared, byEstimate)
	w.room[spareRoom] = byEstimate
	w.room[evictRoom] = lesser(byDeclared, byEstimate.Add(w.reclaimed))
	w.room[yieldRoom] = lesser(byDeclared.Add(w.movable), byEstimate.Add(w.movableEstimate))
	listed := w.slots[plainRoom].cell >= 0
	p.enlist(w)
	p.noteGrowth(w, before, listed)
}

// enlist puts the worker into the grids. Kinds of room that are no larger than
// the plain room are left out, since the plain room is searched first.
func (p *Placer) enlist(w *worker) {
	plain := w.room[plainRoom]
	if w.slots[plainRoom].cell >= 0 {
		w.domain.free = w.domain.free.Sub(w.free)
	}
	w.free = plain
	w.domain.free = w.domain.free.Add(plain)
	for kind, g := range w.domain.grids {
		room := w.room[kind]
		if roomKind(kind) != plainRoom && (room.Negative() || room.Fits(plain)) {
			g.remove(w)
			continue
		}
		g.put(w, pointOf(nonNegative(room)).cell())
	}
}

func (p *Placer) unlist(w *worker) {
	if w.slots[plainRoom].cell >= 0 {
		w.domain.free = w.domain.free.Sub(w.free)
	}
	for _, g := range w.domain.grids {
		g.remove(w)
	}
	w.room = [roomKinds]modeler.Resources{}
}

func (p *Placer) noteGrowth(w *worker, before [roomKinds]modeler.Resources, listed bool) {
	grown := !listed
	for kind := range w.room {
		grown = grown || !w.room[kind].Fits(before[kind])
	}
	if !grown {
		return
	}
	p.growths++
	for c := range w.grown {
		if !w.grown[c] {
			w.grown[c] = true
			p.grown[c] = append(p.grown[c], w)
		}
	}
}

func lesser(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Processors:   min(a.Processors, b.Processors),
		Memory:       min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func greater(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Processors:   max(a.Processors, b.Processors),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func nonNegative(r modeler.Resources) modeler.Resources {
	return greater(r, modeler.Resources{})
}

// forgetAfter is how long a lost worker still counts as part of the cell when
// a job is checked; hosts that are replaced come back under another name.
const forgetAfter = time.Hour

// forgetWorker looks at one worker and drops it if it has been lost for long
// and holds nothing.
func (p *Placer) forgetWorker() {
	if len(p.list) == 0 {
		return
	}
	p.sweep = (p.sweep + 1) % len(p.list)
	w := p.list[p.sweep]
	if w.present || len(w.tasks) > 0 || w.earmarked != (modeler.Resources{}) || p.now.Sub(w.lost) < forgetAfter {
		return
	}
	p.list = slices.Delete(p.list, p.sweep, p.sweep+1)
	delete(p.workers, w.ID)
	if w.domain == nil {
		return
	}
	w.rack.workers = without(w.rack.workers, w)
	for _, label := range w.Labels {
		p.labels[label] = without(p.labels[label], w)
	}
	p.impaired = without(p.impaired, w)
}
