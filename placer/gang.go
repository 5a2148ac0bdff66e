package placer

import (
	"math/bits"

	"goldcreststack.example/goldcreststack/modeler"
)

// maxGangTries bounds the number of waiting gangs of a class that one Decide
// tries again.
const maxGangTries = 4

// tryGang places all waiting tasks of the gang or none of them.
func (p *Placer) tryGang(j *job) {
	n := j.waiting()
	j.seenGrowthCount = p.growthCount
	j.retryAt = p.now.Add(p.settings.GangRetryDelay)
	if p.couldHold(j, n) && p.countFitting(j, freeRoom, n) >= n {
		p.placeGang(j, n)
		return
	}
	p.listGang(j)
}

// placeGang places n tasks. The tasks of a gang have the same size, so the order
// in which workers fill up doesn't change how many tasks fit, and the result of
// countFitting is exact.
func (p *Placer) placeGang(j *job, n int) {
	j.state = idle
	first := len(p.decisions)
	for range n {
		if w := p.findWorker(j, freeRoom); w != nil {
			p.placeTask(j, w, freeRoom)
			continue
		}
		p.revokeSince(first)
		p.listGang(j)
		return
	}
}

// listGang adds a gang without room to the gangs to be tried again, and to the
// queue for the reservation.
func (p *Placer) listGang(j *job) {
	p.noteStuck(j)
	if j.state != gangWaiting {
		j.state = gangWaiting
		p.gangs[j.class] = append(p.gangs[j.class], j)
	}
}

// countFitting returns how many tasks of the job fit into the cell, at most n.
func (p *Placer) countFitting(j *job, kind roomKind, n int) int {
	if list, ok := p.shortListFor(j); ok {
		return j.countFittingOn(list, kind, n)
	}
	count := 0
	at := pointOf(j.Size)
	for _, d := range p.domains {
		if j.allowsDomain(d) {
			count += j.countFittingIn(d.grids[kind], at, n-count)
		}
		if count >= n {
			return n
		}
	}
	return count
}

// countFittingIn returns how many tasks of the job fit on the workers of the
// grid, where at is the position of the job's size.
func (j *job) countFittingIn(g *grid, at point, n int) int {
	count := 0
	for a := at.accelerators; a < acceleratorBuckets; a++ {
		rowMask := g.rowMask[a] & atLeast(at.processors)
		for ; rowMask != 0; rowMask &= rowMask - 1 {
			c := point{accelerators: a, processors: bits.TrailingZeros32(rowMask)}
			mask := g.cellMask[c.row()] & atLeast(at.memory)
			for c.memory = at.memory; mask>>c.memory != 0; c.memory++ {
				count += j.countFittingOn(g.cells[c.cell()], g.kind, n-count)
			}
			if count >= n {
				return count
			}
		}
	}
	return count
}

// countFittingOn returns how many tasks of the job fit on the listed workers. It
// stops counting at n, so the result may exceed n by what fits on one worker.
func (j *job) countFittingOn(list []*worker, kind roomKind, n int) int {
	count := 0
	for _, w := range list {
		if count >= n {
			return count
		}
		if w.slots[kind].cell >= 0 && j.canUse(w) {
			count += countWithin(j.Size, w.room[kind])
		}
	}
	return count
}

// countWithin returns how many times the size fits into the room, at most
// maxTasks.
func countWithin(size, room modeler.Resources) int {
	if !size.Fits(room) {
		return 0
	}
	count := int64(maxTasks)
	if size.Processors > 0 {
		count = min(count, int64(room.Processors/size.Processors))
	}
	if size.Memory > 0 {
		count = min(count, int64(room.Memory/size.Memory))
	}
	if size.Accelerators > 0 {
		count = min(count, int64(room.Accelerators/size.Accelerators))
	}
	return int(count)
}

// tryGangs tries some of the gangs without room again. It skips a gang if no
// worker's room has grown since its last attempt or if its delay isn't over.
func (p *Placer) tryGangs(c class, max int) {
	tried := 0
	for range p.gangs[c] {
		if len(p.decisions) >= max || tried == maxGangTries {
			return
		}
		j := p.gangs[c][0]
		p.gangs[c] = p.gangs[c][1:]
		if j.state != gangWaiting || j.waiting() == 0 {
			continue
		}
		if j.hasReservation || j.seenGrowthCount == p.growthCount || p.now < j.retryAt {
			p.gangs[c] = append(p.gangs[c], j)
			continue
		}
		tried++
		p.retryGang(j)
	}
}

func (p *Placer) retryGang(j *job) {
	j.state = idle
	if !j.demand().Fits(j.team.remainingQuota(j)) {
		p.enqueue(j)
		return
	}
	p.tryGang(j)
}

// revokeSince undoes the placements from the given index in p.decisions on.
func (p *Placer) revokeSince(first int) {
	for _, d := range p.decisions[first:] {
		t := p.findTask(d.Placement.Task, d.Placement.Attempt)
		p.releaseTask(t)
		t.state = taskWaiting
		t.attempt--
		t.job.again = append(t.job.again, t.index)
		p.countWaiting(t.job, 1)
	}
	p.decisions = p.decisions[:first]
}
