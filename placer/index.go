package placer

import (
	"math/bits"

	"goldcreststack.example/goldcreststack/modeler"
)

// roomKind is a way to compute the room of a worker, that is, what new tasks may
// use.
type roomKind uint8

const (
	// freeRoom is the capacity that is free both by declared sizes and by usage
	// estimates.
	freeRoom roomKind = iota
	// reclaimedRoom is the capacity that is free by usage estimates. It may be
	// declared by other tasks, so only tasks that can be checkpointed get it.
	reclaimedRoom
	// evictionRoom is what freeRoom would be without the tasks in reclaimed
	// room.
	evictionRoom
	// preemptionRoom is what freeRoom would be without the preemptible tasks.
	preemptionRoom
	roomKinds // number of kinds
)

// The grids sort workers into buckets of room, two for each power of two, so a
// bucket spans at most half of its lower bound. The smallest units are 64
// millicores of processors and 64 MiB of memory.
const (
	acceleratorBuckets = 8
	processorBuckets   = 32
	memoryBuckets      = 32
	processorShift     = 6
	memoryShift        = 26
)

// bucket returns the bucket of the value, in units of 2^shift, of count buckets.
// It is monotonic: a larger bucket means a larger value.
func bucket(value int64, shift, count int) int {
	units := uint64(value) >> shift
	if units == 0 {
		return 0
	}
	power := bits.Len64(units) - 1
	half := 0
	if power > 0 {
		half = int(units>>(power-1)) & 1
	}
	return min(1+2*power+half, count-1)
}

// point is the position of an amount of room in a grid: a bucket for each
// dimension.
type point struct{ accelerators, processors, memory int }

// pointOf returns the position of the room in a grid.
func pointOf(room modeler.Resources) point {
	return point{
		accelerators: int(min(room.Accelerators, acceleratorBuckets-1)),
		processors:   bucket(int64(room.Processors), processorShift, processorBuckets),
		memory:       bucket(int64(room.Memory), memoryShift, memoryBuckets),
	}
}

func (c point) row() int  { return c.accelerators*processorBuckets + c.processors }
func (c point) cell() int { return c.row()*memoryBuckets + c.memory }

// slot is the position of a worker in a grid.
type slot struct {
	cell  int32 // -1 when the worker is not in the grid
	index int32 // index in the cell's list
}

// grid holds the workers of one failure domain by one kind of their room.
type grid struct {
	kind     roomKind
	cells    [acceleratorBuckets * processorBuckets * memoryBuckets][]*worker
	cellMask [acceleratorBuckets * processorBuckets]uint32 // non-empty cells of each row
	rowMask  [acceleratorBuckets]uint32                    // non-empty rows for each number of accelerators
	size     int                                           // number of workers
}

func (g *grid) put(w *worker, cell int) {
	s := &w.slots[g.kind]
	if s.cell == int32(cell) {
		return
	}
	g.remove(w)
	g.cells[cell] = append(g.cells[cell], w)
	s.cell = int32(cell)
	s.index = int32(len(g.cells[cell]) - 1)
	row := cell / memoryBuckets
	g.cellMask[row] |= 1 << (cell % memoryBuckets)
	g.rowMask[row/processorBuckets] |= 1 << (row % processorBuckets)
	g.size++
}

func (g *grid) remove(w *worker) {
	s := &w.slots[g.kind]
	if s.cell < 0 {
		return
	}
	list := g.cells[s.cell]
	last := list[len(list)-1]
	list[s.index] = last
	last.slots[g.kind].index = s.index
	list[len(list)-1] = nil
	g.cells[s.cell] = list[:len(list)-1]
	if len(list) == 1 {
		g.clearCell(int(s.cell))
	}
	s.cell = -1
	g.size--
}

// clearCell clears the mask bits of a cell from which the last worker was
// removed.
func (g *grid) clearCell(cell int) {
	row := cell / memoryBuckets
	g.cellMask[row] &^= 1 << (cell % memoryBuckets)
	if g.cellMask[row] == 0 {
		g.rowMask[row/processorBuckets] &^= 1 << (row % processorBuckets)
	}
}

// atLeast returns a mask of the given bucket and all above it.
func atLeast(bucket int) uint32 { return ^uint32(0) << bucket }

// above returns a mask of all buckets above the given one.
func above(bucket int) uint32 { return atLeast(bucket) &^ (1 << bucket) }
