package placer

import (
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// worker is a worker with its placed tasks and the sums of their resources.
type worker struct {
	Worker
	domain *domain // nil until the first SetWorker
	rack   *rack
	// present says that the worker is heard from; lostAt is when LoseWorker
	// was last called for it.
	present bool
	lostAt  modeler.ClockReading
	tasks   []*task
	// declared is the sum of the declared sizes of all tasks outside reclaimed
	// room, and estimate that of the usage estimates of all tasks.
	declared modeler.Resources
	estimate modeler.Resources
	// serviceSizes is the sum of the declared sizes of services, which don't
	// end by themselves.
	serviceSizes modeler.Resources
	// reclaimed is the sum of the estimates of the tasks in reclaimed room.
	reclaimed modeler.Resources
	// preemptible is the sum of the declared sizes of the preemptible tasks
	// outside reclaimed room, and preemptibleEstimate that of the estimates of
	// all preemptible tasks.
	preemptible         modeler.Resources
	preemptibleEstimate modeler.Resources
	// earmarked is the sum of the earmarks on the worker.
	earmarked modeler.Resources
	room      [roomKinds]modeler.Resources
	// free is the worker's part of domain.free.
	free  modeler.Resources
	slots [roomKinds]slot
	// grown says, for each class, that the room has grown since the parked
	// jobs of the class were last compared with it.
	grown  [classes]bool
	health health
}

// domain is a failure domain.
type domain struct {
	name     modeler.DomainName
	region   modeler.RegionName
	index    int // index in Placer.domains
	grids    [roomKinds]*grid
	capacity modeler.Resources // capacity of the workers that are present
	free     modeler.Resources // free room of the workers in the grids
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

// SetWorker adds or updates a worker that has been heard from. Attempts that an
// older generation of the worker held keep their resources until EndAttempt is called
// for them.
func (p *Placer) SetWorker(now modeler.ClockReading, desc Worker) {
	p.now = now
	w := p.workers[desc.ID]
	if w != nil && w.present && w.matches(desc) {
		return
	}
	if w == nil {
		w = p.addWorker(desc.ID)
	}
	if w.domain == nil || w.location() != locationOf(desc) || !slices.Equal(w.Labels, desc.Labels) {
		p.moveWorker(w, desc)
	}
	p.uncountWorker(w)
	restarted := w.Generation != desc.Generation
	w.Worker = desc
	w.present = true
	p.countWorker(w)
	if restarted {
		p.resetHealth(w)
	}
	p.updateRoom(w)
}

// LoseWorker stops placements on a worker that is no longer heard from. Its
// attempts keep their resources, and their tasks are not placed again, until
// EndAttempt is called for them.
func (p *Placer) LoseWorker(now modeler.ClockReading, id modeler.WorkerID) {
	p.now = now
	w := p.workers[id]
	if w == nil || !w.present {
		return
	}
	p.uncountWorker(w)
	w.present = false
	w.lostAt = now
	p.updateRoom(w)
}

// matches reports whether the description equals that of the worker.
func (w *worker) matches(desc Worker) bool {
	return w.Generation == desc.Generation &&
		w.Capacity == desc.Capacity &&
		w.Leaving == desc.Leaving &&
		w.location() == locationOf(desc) &&
		slices.Equal(w.Labels, desc.Labels)
}

func (w *worker) location() rackKey { return locationOf(w.Worker) }

func locationOf(desc Worker) rackKey { return rackKey{desc.Region, desc.Domain, desc.Rack} }

// addWorker adds a worker without a location, which gets no tasks.
func (p *Placer) addWorker(id modeler.WorkerID) *worker {
	w := &worker{Worker: Worker{ID: id}}
	for kind := range w.slots {
		w.slots[kind].cell = -1
	}
	p.workers[id] = w
	p.workerList = append(p.workerList, w)
	return w
}

// moveWorker moves the worker to the failure domain, the rack and the label
// lists of its new description.
func (p *Placer) moveWorker(w *worker, desc Worker) {
	if w.domain != nil {
		p.uncountWorker(w)
		w.present = false
		p.updateRoom(w)
		w.rack.workers = withoutWorker(w.rack.workers, w)
		for _, label := range w.Labels {
			p.labels[label] = withoutWorker(p.labels[label], w)
		}
	}
	w.domain = p.domainOf(domainKey{desc.Region, desc.Domain})
	w.rack = p.rackOf(locationOf(desc))
	w.rack.workers = append(w.rack.workers, w)
	for _, label := range desc.Labels {
		p.labels[label] = append(p.labels[label], w)
	}
	for _, t := range w.tasks {
		t.job.countPlacement(t, w)
	}
}

// withoutWorker removes the worker from the list.
func withoutWorker(list []*worker, w *worker) []*worker {
	at := slices.Index(list, w)
	if at < 0 {
		return list
	}
	return slices.Delete(list, at, at+1)
}

// domainOf returns the failure domain, and adds it if it is not known.
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

// rackOf returns the rack, and adds it if it is not known.
func (p *Placer) rackOf(key rackKey) *rack {
	r := p.racks[key]
	if r == nil {
		r = &rack{name: key.rack}
		p.racks[key] = r
		p.racksByName[key.rack] = append(p.racksByName[key.rack], r)
	}
	return r
}

// countWorker adds a worker to the totals of the workers that are present, and
// uncountWorker subtracts it.
func (p *Placer) countWorker(w *worker) {
	p.present++
	p.total = p.total.Add(w.Capacity)
	w.domain.capacity = w.domain.capacity.Add(w.Capacity)
	p.capacityVersion++
}

func (p *Placer) uncountWorker(w *worker) {
	if !w.present {
		return
	}
	p.present--
	p.total = p.total.Sub(w.Capacity)
	w.domain.capacity = w.domain.capacity.Sub(w.Capacity)
	p.capacityVersion++
}

// isUsable reports whether the worker may get new tasks.
func (w *worker) isUsable() bool {
	return w.present && !w.Leaving && w.health.acceptsTask()
}

// updateRoom computes the room of the worker from the sums of its tasks and
// earmarks, and moves the worker to the matching grid cells. It removes a worker
// from the grids that may not get new tasks.
func (p *Placer) updateRoom(w *worker) {
	if w.domain == nil {
		return
	}
	if !w.isUsable() {
		p.removeFromGrids(w)
		return
	}
	before := w.room
	byDeclared := w.Capacity.Sub(w.declared).Sub(w.earmarked)
	byEstimate := w.Capacity.Sub(w.estimate).Sub(w.earmarked)
	w.room[freeRoom] = minResources(byDeclared, byEstimate)
	w.room[reclaimedRoom] = byEstimate
	w.room[evictionRoom] = minResources(byDeclared, byEstimate.Add(w.reclaimed))
	w.room[preemptionRoom] = minResources(byDeclared.Add(w.preemptible), byEstimate.Add(w.preemptibleEstimate))
	listed := w.slots[freeRoom].cell >= 0
	p.updateGrids(w)
	p.noteGrowth(w, before, listed)
}

// updateGrids puts the worker into the grids. It leaves out kinds of room that
// are no larger than the free room, because the free room is searched first.
func (p *Placer) updateGrids(w *worker) {
	freeSize := w.room[freeRoom]
	if w.slots[freeRoom].cell >= 0 {
		w.domain.free = w.domain.free.Sub(w.free)
	}
	w.free = freeSize
	w.domain.free = w.domain.free.Add(freeSize)
	for kind, g := range w.domain.grids {
		room := w.room[kind]
		if roomKind(kind) != freeRoom && (room.Negative() || room.Fits(freeSize)) {
			g.remove(w)
			continue
		}
		g.put(w, pointOf(nonNegative(room)).cell())
	}
}

// removeFromGrids removes the worker from all grids, so that no search finds it.
func (p *Placer) removeFromGrids(w *worker) {
	if w.slots[freeRoom].cell >= 0 {
		w.domain.free = w.domain.free.Sub(w.free)
	}
	for _, g := range w.domain.grids {
		g.remove(w)
	}
	w.room = [roomKinds]modeler.Resources{}
}

// noteGrowth adds the worker to the grown ones if any kind of its room is larger
// than before, or if it was not in the grids before.
func (p *Placer) noteGrowth(w *worker, before [roomKinds]modeler.Resources, listed bool) {
	grown := !listed
	for kind := range w.room {
		grown = grown || !w.room[kind].Fits(before[kind])
	}
	if !grown {
		return
	}
	p.growthCount++
	for c := range w.grown {
		if !w.grown[c] {
			w.grown[c] = true
			p.grown[c] = append(p.grown[c], w)
		}
	}
}

// minResources returns the minimum in each dimension.
func minResources(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Processors:   min(a.Processors, b.Processors),
		Memory:       min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// maxResources returns the maximum in each dimension.
func maxResources(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Processors:   max(a.Processors, b.Processors),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func nonNegative(r modeler.Resources) modeler.Resources {
	return maxResources(r, modeler.Resources{})
}

// forgetAfter is the time for which Check still counts a lost worker. Lost
// workers are removed in the end, because a host that is replaced has another
// name.
const forgetAfter = time.Hour

// forgetWorker checks the next worker of workerList, and removes it if it has
// been lost for forgetAfter and has neither tasks nor earmarks.
func (p *Placer) forgetWorker() {
	if len(p.workerList) == 0 {
		return
	}
	p.forgetCursor = (p.forgetCursor + 1) % len(p.workerList)
	w := p.workerList[p.forgetCursor]
	if w.present || len(w.tasks) > 0 || w.earmarked != (modeler.Resources{}) || p.now.Sub(w.lostAt) < forgetAfter {
		return
	}
	p.workerList = slices.Delete(p.workerList, p.forgetCursor, p.forgetCursor+1)
	delete(p.workers, w.ID)
	if w.domain == nil {
		return
	}
	w.rack.workers = withoutWorker(w.rack.workers, w)
	for _, label := range w.Labels {
		p.labels[label] = withoutWorker(p.labels[label], w)
	}
	p.impaired = withoutWorker(p.impaired, w)
}
