package placer

import (
	"math/bits"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// maxShortList is the longest list of workers with a label that is searched in
// full for a job with such a constraint. Searching a longer list costs more than
// searching the grids.
const maxShortList = 512

// packCompared is the number of workers that a search for a job of a packing
// team compares, also in grid cells after the first one with room. The cells are
// ordered by processors first, so taking the first one with room would be a best
// fit in that dimension only.
const packCompared = 16

// noLimit lets a search look at every worker that may have room.
const noLimit = int(^uint(0) >> 1)

// finder is the state of one search for a worker. It is reused so that a search
// allocates nothing.
type finder struct {
	job           *job
	kind          roomKind
	pack          bool    // the team's policy is to pack
	isService     bool    // the job is a service, whose tasks are spread
	skipFailed    bool    // skip workers where the job has failed
	canProbe      bool    // the task may be a probe task
	best          *worker // best worker so far, nil if none has room
	score         uint64  // score of the best worker; lower is better
	limit         int     // number of workers to compare once one has room
	seenInPass    int     // workers seen in the current pass over grid cells
	seenInSearch  int     // workers seen in the whole search
	startOffset   int     // where the sampling of a grid cell starts
	sortedDomains []*domain
}

// findWorker returns a worker with room of the kind for one task of the job, or
// nil if there is none. It prefers workers where the job has not failed.
func (p *Placer) findWorker(j *job, kind roomKind) *worker {
	f := &p.finder
	f.reset(j, kind, p.settings.Candidates)
	if len(j.evidence.failedOn) > 0 {
		f.skipFailed = true
		if w := p.scanDomains(f); w != nil {
			return w
		}
		f.skipFailed = false
	}
	return p.scanDomains(f)
}

// reset prepares the finder for a search for the job.
func (f *finder) reset(j *job, kind roomKind, limit int) {
	f.job = j
	f.kind = kind
	f.pack = j.team.Team.Policy == modeler.Pack
	f.isService = j.Kind == modeler.LongRunning
	f.skipFailed = false
	f.canProbe = j.mayProbe()
	f.best = nil
	f.limit = limit
	if f.pack && !f.isService {
		f.limit = packCompared
	}
	f.startOffset++
}

// scanDomains searches the failure domains in the order of preference and stops
// at the first one with room. For a packing team it goes on until it has seen
// enough workers to compare.
func (p *Placer) scanDomains(f *finder) *worker {
	if list, ok := p.shortListFor(f.job); ok {
		return f.list(list)
	}
	p.sortDomains(f)
	f.best, f.seenInSearch = nil, 0
	for _, d := range f.sortedDomains {
		f.searchDomain(d.grids[f.kind])
		if f.best != nil && (!f.pack || f.isService || f.seenInSearch >= f.limit) {
			break
		}
	}
	return f.best
}

// shortListFor returns a short list that holds all workers on which the job's
// rack or label constraint allows it to run; it reports false if there is no
// such list.
func (p *Placer) shortListFor(j *job) ([]*worker, bool) {
	if racks := j.Constraint.Racks; len(racks) == 1 && len(p.racksByName[racks[0]]) <= 1 {
		for _, r := range p.racksByName[racks[0]] {
			return r.workers, true
		}
		return nil, true
	}
	var short []*worker
	found := false
	for _, label := range j.Constraint.Labels {
		list := p.labels[label]
		if !found || len(list) < len(short) {
			short, found = list, true
		}
	}
	return short, found && len(short) <= maxShortList
}

// list compares all workers of a short list and returns the best.
func (f *finder) list(list []*worker) *worker {
	f.best = nil
	for _, w := range list {
		if w.slots[f.kind].cell >= 0 {
			f.consider(w)
		}
	}
	return f.best
}

// sortDomains sorts the failure domains that the job may use: for a service by
// the number of its tasks there, then by the share of free processors, least
// first to pack and most first to spread.
func (p *Placer) sortDomains(f *finder) {
	f.sortedDomains = f.sortedDomains[:0]
	for _, d := range p.domains {
		if f.job.allowsDomain(d) && d.grids[f.kind].size > 0 {
			f.sortedDomains = append(f.sortedDomains, d)
		}
	}
	for i := 1; i < len(f.sortedDomains); i++ {
		for k := i; k > 0 && f.domainBefore(f.sortedDomains[k], f.sortedDomains[k-1]); k-- {
			f.sortedDomains[k], f.sortedDomains[k-1] = f.sortedDomains[k-1], f.sortedDomains[k]
		}
	}
}

// domainBefore reports whether domain a is searched before domain b.
func (f *finder) domainBefore(a, b *domain) bool {
	if f.isService {
		ca, cb := f.job.tasksInDomain(a), f.job.tasksInDomain(b)
		if ca != cb {
			return ca < cb
		}
	}
	if f.pack {
		return a.freeShare() < b.freeShare()
	}
	return a.freeShare() > b.freeShare()
}

// freeShare returns the free share of the domain's processors in thousandths.
func (d *domain) freeShare() int64 {
	if d.capacity.Processors <= 0 {
		return 0
	}
	return int64(d.free.Processors) * 1000 / int64(d.capacity.Processors)
}

// searchDomain searches the grid of one failure domain. The inner cells, whose
// buckets are above those of the job's size, hold only workers with room, so few
// workers are compared there. The edge cells, which share a bucket with the
// job's size, are searched in full only if no other cell has room.
func (f *finder) searchDomain(g *grid) {
	at := pointOf(f.job.Size)
	if f.pack {
		f.searchEdge(g, at, f.limit)
	}
	if f.best == nil || f.isService || f.pack && f.seenInSearch < f.limit {
		f.searchInner(g, at)
	}
	if f.best == nil {
		f.searchEdge(g, at, noLimit)
	}
}

// searchInner searches the cells above the job's size in processors and memory:
// those with the least room first to pack, those with the most first to spread.
func (f *finder) searchInner(g *grid, at point) {
	f.seenInPass = 0
	for a := at.accelerators; a < acceleratorBuckets; a++ {
		rowMask := g.rowMask[a] & above(at.processors)
		for rowMask != 0 {
			c := point{accelerators: a, processors: f.pickBucket(rowMask)}
			rowMask &^= 1 << c.processors
			mask := g.cellMask[c.row()] & above(at.memory)
			if f.row(g, c, mask, noLimit) {
				return
			}
		}
	}
}

// searchEdge searches the cells that share a processor or memory bucket with the
// job's size, up to limit workers.
func (f *finder) searchEdge(g *grid, at point, limit int) {
	f.seenInPass = 0
	for a := at.accelerators; a < acceleratorBuckets; a++ {
		rowMask := g.rowMask[a] & atLeast(at.processors)
		for rowMask != 0 {
			c := point{accelerators: a, processors: bits.TrailingZeros32(rowMask)}
			rowMask &= rowMask - 1
			mask := g.cellMask[c.row()] & atLeast(at.memory)
			if c.processors > at.processors {
				mask &= 1 << at.memory
			}
			if f.row(g, c, mask, limit) {
				return
			}
		}
	}
}

// row searches the masked cells of one row and reports whether to stop.
func (f *finder) row(g *grid, c point, mask uint32, limit int) bool {
	for mask != 0 {
		c.memory = f.pickBucket(mask)
		mask &^= 1 << c.memory
		f.cell(g.cells[c.cell()], limit)
		if f.seenInPass >= limit || f.foundEnough() {
			return true
		}
	}
	return false
}

// foundEnough reports whether the search can stop with the best worker so far. A
// search for a service compares more workers, to find one in a rack without
// tasks of the service, and so does a search to pack, to find the closest fit in
// all dimensions.
func (f *finder) foundEnough() bool {
	return f.best != nil && (!f.isService && !f.pack || f.seenInPass >= f.limit)
}

// pickBucket returns the lowest bucket of the mask to pack, the highest to
// spread.
func (f *finder) pickBucket(mask uint32) int {
	if f.pack {
		return bits.TrailingZeros32(mask)
	}
	return bits.Len32(mask) - 1
}

// cell compares a sample of the workers in a grid cell, at even distances, and
// all of them if none of the sample has room.
func (f *finder) cell(list []*worker, limit int) {
	if len(list) > f.limit {
		step := len(list) / f.limit
		for i := f.startOffset % step; i < len(list); i += step {
			f.consider(list[i])
		}
		if f.best != nil {
			return
		}
	}
	for _, w := range list {
		if f.seenInPass >= limit {
			return
		}
		f.consider(w)
	}
}

// consider makes the worker the best one if it has room and a lower score than
// the best one so far.
func (f *finder) consider(w *worker) {
	f.seenInPass++
	f.seenInSearch++
	room := &w.room[f.kind]
	if !f.job.Size.Fits(*room) || !f.job.canUse(w) {
		return
	}
	if f.skipFailed && slices.Contains(f.job.evidence.failedOn, w) {
		return
	}
	if score := f.rateWorker(w, room); f.best == nil || score < f.score {
		f.best, f.score = w, score
	}
}

// rateWorker returns the score of a worker with room; lower is better. For a
// service, the numbers of its tasks in the same failure domain, rack and worker
// come first, in this order; then the room that would be left decides, as the
// team's policy says.
func (f *finder) rateWorker(w *worker, room *modeler.Resources) uint64 {
	left := room.Sub(f.job.Size)
	rest := thousandths(int64(left.Processors), int64(w.Capacity.Processors)) +
		thousandths(int64(left.Memory), int64(w.Capacity.Memory)) +
		thousandths(int64(left.Accelerators), int64(w.Capacity.Accelerators))
	if !f.pack {
		rest = 3000 - rest
	}
	if !f.isService {
		return rest
	}
	return uint64(f.job.tasksInDomain(w.domain))<<48 |
		uint64(f.job.byRack[w.rack])<<32 |
		uint64(f.job.byWorker[w])<<16 | rest
}

// thousandths returns part as thousandths of whole, from 0 to 1000.
func thousandths(part, whole int64) uint64 {
	if whole <= 0 || part <= 0 {
		return 0
	}
	return uint64(min(1000, float64(part)*1000/float64(whole)))
}

// canUse reports whether the job's constraint and the worker's probing state
// allow the job to run on the worker.
func (j *job) canUse(w *worker) bool {
	if w.health.probing && !j.mayProbe() {
		return false
	}
	return j.allows(w)
}

// allows reports whether the job's constraint allows it to run on the worker.
func (j *job) allows(w *worker) bool {
	where := &j.Constraint
	if len(where.Racks) > 0 && !slices.Contains(where.Racks, w.Rack) {
		return false
	}
	for _, label := range where.Labels {
		if !slices.Contains(w.Labels, label) {
			return false
		}
	}
	return j.allowsDomain(w.domain)
}

// allowsDomain reports whether the job's constraint allows it to run in the
// failure domain.
func (j *job) allowsDomain(d *domain) bool {
	if domains := j.Constraint.Domains; len(domains) > 0 && !slices.Contains(domains, d.name) {
		return false
	}
	regions := j.Constraint.Regions
	return len(regions) == 0 || slices.Contains(regions, d.region)
}
