package allocator

import "slices"

// pool sorts the workers of one service into buckets by their number of free
// slots.
type pool struct {
	buckets       [][]*poolEntry // indexed by the number of free slots
	free          int
	sharedWorkers map[*pool]int // number of workers that both pools contain
}

// poolEntry is a worker's position in one pool.
type poolEntry struct {
	pool   *pool
	worker *worker
	free   int // number of the bucket; 0 if in no bucket
	index  int
}

// addToPools moves the worker into the pools of its current services. It
// touches only this worker's entries, because thousands of workers announce
// themselves to a new leader within a second.
func (a *Allocator) addToPools(w *worker) {
	w.removeFromPools()
	for _, name := range w.services {
		if a.pools[name] == nil {
			a.pools[name] = &pool{sharedWorkers: map[*pool]int{}}
		}
		w.poolEntries = append(w.poolEntries, &poolEntry{pool: a.pools[name], worker: w})
	}
	w.countSharedPools(1)
	w.reindex()
}

// countSharedPools adds change to the number of shared workers of each two
// pools that contain the worker.
func (w *worker) countSharedPools(change int) {
	for _, p := range w.poolEntries {
		for _, q := range w.poolEntries {
			p.pool.sharedWorkers[q.pool] += change
		}
	}
}

// removeFromPools removes the worker from all pools.
func (w *worker) removeFromPools() {
	for _, p := range w.poolEntries {
		if p.free > 0 {
			p.move(0)
		}
	}
	w.countSharedPools(-1)
	w.poolEntries = nil
}

// reindex moves the worker to the bucket for its number of free slots in each
// pool.
func (w *worker) reindex() {
	free := max(0, w.free())
	for _, p := range w.poolEntries {
		if p.free != free {
			p.move(free)
		}
	}
}

func (p *poolEntry) move(free int) {
	p.pool.free += free - p.free
	if p.free > 0 {
		bucket := p.pool.buckets[p.free]
		last := bucket[len(bucket)-1]
		bucket[p.index] = last
		last.index = p.index
		p.pool.buckets[p.free] = bucket[:len(bucket)-1]
	}
	p.free = free
	if free == 0 {
		return
	}
	for len(p.pool.buckets) <= free {
		p.pool.buckets = append(p.pool.buckets, nil)
	}
	p.index = len(p.pool.buckets[free])
	p.pool.buckets[free] = append(p.pool.buckets[free], p)
}

func (p *pool) freeSlots() int {
	if p == nil {
		return 0
	}
	return p.free
}

// mostFree returns the worker with the most free slots for which fits returns
// true, or nil.
func (p *pool) mostFree(fits func(*worker) bool) *worker {
	if p.freeSlots() == 0 {
		return nil
	}
	for _, bucket := range slices.Backward(p.buckets) {
		for _, entry := range slices.Backward(bucket) {
			if fits(entry.worker) {
				return entry.worker
			}
		}
	}
	return nil
}
