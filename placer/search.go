package placer

import (
	"math/bits"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// Lists of workers up to this length are searched in full for a constraint on
// racks or labels; longer ones cost more than the grids.
const shortList = 512

// packCompared is how many workers with possible room a search to pack compares,
// also in cells beyond the first with room: the cells are ordered by processors
// first, so their order alone would be a best fit in one dimension.
const packCompared = 16

// noLimit lets a search look at every worker that may have room.
const noLimit = int(^uint(0) >> 1)

// finder is the state of one search; it is reused so that a search allocates
// nothing.
type finder struct {
	job    *job
	kind   roomKind
	pack   bool
	lasts  bool // a service, which is spread over racks and workers
	shun   bool // skip workers where the job has failed
	probes bool // the task may probe a worker
	best   *worker
	score  uint64
	limit  int // workers to compare once one has room
	looked int // workers seen in the current cells
	total  int // workers seen in the whole search
	turn   int // where the walk through a cell starts
	order  []*domain
}

// search returns a worker with room for one task of the job, and nil only if
// there is none.
func (p *Placer) search(j *job, kind roomKind) *worker {
	f := &p.finder
	f.start(j, kind, p.settings.Candidates)
	if len(j.evidence.failed) > 0 {
		f.shun = true
		if w := p.scan(f); w != nil {
			return w
		}
		f.shun = false
	}
	return p.scan(f)
}

func (f *finder) start(j *job, kind roomKind, limit int) {
	f.job = j
	f.kind = kind
	f.pack = j.team.Policy == modeler.Pack
	f.lasts = j.Kind == modeler.LongRunning
	f.shun = false
	f.probes = j.mayProbe()
	f.best = nil
	f.limit = limit
	if f.pack && !f.lasts {
		f.limit = packCompared
	}
	f.turn++
}

// scan goes through the failure domains in order. To pack, it compares workers
// of several of them while few have been looked at.
func (p *Placer) scan(f *finder) *worker {
	if list, ok := p.narrow(f.job); ok {
		return f.list(list)
	}
	p.sortDomains(f)
	f.best, f.total = nil, 0
	for _, d := range f.order {
		f.domain(d.grids[f.kind])
		if f.best != nil && (!f.pack || f.lasts || f.total >= f.limit) {
			break
		}
	}
	return f.best
}

// narrow returns a short list that holds all workers the job may run on.
func (p *Placer) narrow(j *job) ([]*worker, bool) {
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
	return short, found && len(short) <= shortList
}

// list looks at every worker of a short list.
func (f *finder) list(list []*worker) *worker {
	f.best = nil
	for _, w := range list {
		if w.slots[f.kind].cell >= 0 {
			f.look(w)
		}
	}
	return f.best
}

// sortDomains orders the failure domains that the job may use: for a service by
// the number of its tasks there, then by free room.
func (p *Placer) sortDomains(f *finder) {
	f.order = f.order[:0]
	for _, d := range p.domains {
		if f.job.allowsDomain(d) && d.grids[f.kind].size > 0 {
			f.order = append(f.order, d)
		}
	}
	for i := 1; i < len(f.order); i++ {
		for k := i; k > 0 && f.before(f.order[k], f.order[k-1]); k-- {
			f.order[k], f.order[k-1] = f.order[k-1], f.order[k]
		}
	}
}

func (f *finder) before(a, b *domain) bool {
	if f.lasts {
		ca, cb := f.job.inDomain(a), f.job.inDomain(b)
		if ca != cb {
			return ca < cb
		}
	}
	if f.pack {
		return a.freeShare() < b.freeShare()
	}
	return a.freeShare() > b.freeShare()
}

// freeShare is the free part of the domain's processors in thousandths.
func (d *domain) freeShare() int64 {
	if d.capacity.Processors <= 0 {
		return 0
	}
	return int64(d.free.Processors) * 1000 / int64(d.capacity.Processors)
}

// domain searches one failure domain. A cell beyond the job's own buckets
// holds only workers with room, so few are looked at there; the cells at the
// edge are looked at in full only when nothing else has room.
func (f *finder) domain(g *grid) {
	at := pointOf(f.job.Size)
	if f.pack {
		f.edge(g, at, f.limit)
	}
	if f.best == nil || f.lasts || f.pack && f.total < f.limit {
		f.inner(g, at)
	}
	if f.best == nil {
		f.edge(g, at, noLimit)
	}
}

// inner looks at the cells that are beyond the job's size in processors and
// memory: the fullest first to pack, the emptiest first to spread.
func (f *finder) inner(g *grid, at point) {
	f.looked = 0
	for a := at.accelerators; a < acceleratorBuckets; a++ {
		lines := g.lines[a] & above(at.processors)
		for lines != 0 {
			c := point{accelerators: a, processors: f.pick(lines)}
			lines &^= 1 << c.processors
			mask := g.rows[c.row()] & above(at.memory)
			if f.row(g, c, mask, noLimit) {
				return
			}
		}
	}
}

// edge looks at the cells that share a bucket with the job's size.
func (f *finder) edge(g *grid, at point, limit int) {
	f.looked = 0
	for a := at.accelerators; a < acceleratorBuckets; a++ {
		lines := g.lines[a] & atLeast(at.processors)
		for lines != 0 {
			c := point{accelerators: a, processors: bits.TrailingZeros32(lines)}
			lines &= lines - 1
			mask := g.rows[c.row()] & atLeast(at.memory)
			if c.processors > at.processors {
				mask &= 1 << at.memory
			}
			if f.row(g, c, mask, limit) {
				return
			}
		}
	}
}

// row looks at the masked cells of one row and reports whether to stop.
func (f *finder) row(g *grid, c point, mask uint32, limit int) bool {
	for mask != 0 {
		c.memory = f.pick(mask)
		mask &^= 1 << c.memory
		f.cell(g.cells[c.cell()], limit)
		if f.looked >= limit || f.enough() {
			return true
		}
	}
	return false
}

// enough reports whether the best worker so far will do. A service compares
// more workers, to find one in a rack of its own, and so does a search to pack,
// to find the closest fit in all dimensions.
func (f *finder) enough() bool {
	return f.best != nil && (!f.lasts && !f.pack || f.looked >= f.limit)
}

// pick returns the cell with the least memory to pack, with the most to spread.
func (f *finder) pick(mask uint32) int {
	if f.pack {
		return bits.TrailingZeros32(mask)
	}
	return bits.Len32(mask) - 1
}

// cell looks at workers at even distances, and at all of them if none of those
// has room.
func (f *finder) cell(list []*worker, limit int) {
	if len(list) > f.limit {
		step := len(list) / f.limit
		for i := f.turn % step; i < len(list); i += step {
			f.look(list[i])
		}
		if f.best != nil {
			return
		}
	}
	for _, w := range list {
		if f.looked >= limit {
			return
		}
		f.look(w)
	}
}

// look compares a worker with the best one so far.
func (f *finder) look(w *worker) {
	f.looked++
	f.total++
	room := &w.room[f.kind]
	if !f.job.Size.Fits(*room) || !f.job.canUse(w) {
		return
	}
	if f.shun && slices.Contains(f.job.evidence.failed, w) {
		return
	}
	if score := f.rate(w, room); f.best == nil || score < f.score {
		f.best, f.score = w, score
	}
}

// rate scores a worker, the lowest being the best: a service avoids its own
// failure domains, racks and workers, then the policy decides.
func (f *finder) rate(w *worker, room *modeler.Resources) uint64 {
	left := room.Sub(f.job.Size)
	rest := thousandths(int64(left.Processors), int64(w.Capacity.Processors)) +
		thousandths(int64(left.Memory), int64(w.Capacity.Memory)) +
		thousandths(int64(left.Accelerators), int64(w.Capacity.Accelerators))
	if !f.pack {
		rest = 3000 - rest
	}
	if !f.lasts {
		return rest
	}
	return uint64(f.job.inDomain(w.domain))<<48 |
		uint64(f.job.byRack[w.rack])<<32 |
		uint64(f.job.byWorker[w])<<16 | rest
}

func thousandths(part, whole int64) uint64 {
	if whole <= 0 || part <= 0 {
		return 0
	}
	return uint64(min(1000, float64(part)*1000/float64(whole)))
}

// canUse reports whether the job's constraint and the worker's health let the
// job run there.
func (j *job) canUse(w *worker) bool {
	if w.health.probing && !j.mayProbe() {
		return false
	}
	return j.allows(w)
}

// allows reports whether the job's constraint lets it run on the worker.
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

func (j *job) allowsDomain(d *domain) bool {
	if domains := j.Constraint.Domains; len(domains) > 0 && !slices.Contains(domains, d.name) {
		return false
	}
	regions := j.Constraint.Regions
	return len(regions) == 0 || slices.Contains(regions, d.region)
}
