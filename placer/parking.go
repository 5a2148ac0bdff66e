package placer

import (
	"math/bits"

	"goldcreststack.example/goldcreststack/modeler"
)

// parkGroup groups the parked jobs of a team and class by what, besides their
// size, decides which workers they fit. The groups that need accelerators are
// skipped for a worker that has none free, and each group is compared with the
// one kind of room that its jobs may use.
type parkGroup uint8

const (
	needsAccelerators parkGroup = 1 << iota
	usesReclaimed
	constrained
	parkGroups // number of combinations of the flags above
)

// group returns the group in which the job is parked; it never changes.
func (j *job) group() parkGroup {
	var g parkGroup
	if j.Size.Accelerators > 0 {
		g |= needsAccelerators
	}
	if j.canReclaim() {
		g |= usesReclaimed
	}
	where := &j.Constraint
	if len(where.Regions)+len(where.Domains)+len(where.Racks)+len(where.Labels) > 0 {
		g |= constrained
	}
	return g
}

// parkedJobs returns the list in which the job is parked.
func (j *job) parkedJobs() *parkedJobs { return &j.team.byClass[j.class].parked[j.group()] }

// Sizes are quantized to steps, which are compared before the exact sizes.
// Processors have eight steps per power of two from 16 millicores on, and memory
// has four from 64 MiB on, so only sizes that exceed the room by less than an
// eighth or a quarter of it pass the first comparison wrongly.
const (
	memorySteps        = 64
	memoryStepShift    = 26
	memoryPrecision    = 2
	processorStepShift = 4
	processorPrecision = 3
	// noStep is larger than the step of any room. It has 7 bits, so the sum
	// with another step doesn't overflow a byte.
	noStep = 127
)

// stepOf returns the quantization step of the value. It is monotonic: each value
// below 2^(precision+1) has its own step, and above that each power of two has
// 2^precision steps.
func stepOf(value uint64, precision int) int {
	shift := max(0, bits.Len64(value)-1-precision)
	return shift<<precision + int(value>>shift)
}

func processorStep(v modeler.Millicores) uint8 {
	return uint8(min(stepOf(uint64(v)>>processorStepShift, processorPrecision), noStep-1))
}

func memoryStep(v modeler.Bytes) uint8 {
	return uint8(min(stepOf(uint64(v)>>memoryStepShift, memoryPrecision), memorySteps-1))
}

// frontier is the lower bound of the sizes of a set of jobs. It holds, for each
// memory step, the least processor step among the jobs that need at most that
// much memory.
type frontier [memorySteps]uint8

var emptyFrontier = func() (f frontier) {
	for i := range f {
		f[i] = noStep
	}
	return f
}()

// addSize adds a size to the set and reports whether the frontier changed.
func (f *frontier) addSize(size modeler.Resources) bool {
	step, from := processorStep(size.Processors), int(memoryStep(size.Memory))
	i := from
	for ; i < memorySteps && f[i] > step; i++ {
		f[i] = step
	}
	return i > from
}

// leastSizes holds the frontiers of all teams' parked jobs of one class and
// group: a row for each memory step, with one byte for each team, eight to a
// word. A scan of one row rules out nearly all teams without a job for a worker,
// each of which would otherwise cost a descent of its tree.
type leastSizes struct {
	rows     [memorySteps][]uint64
	jobCount int // number of jobs that have a place in any team's list
}

const (
	stepsPerWord = 8
	lowBits      = 0x0101010101010101
	highBits     = 0x8080808080808080
)

// addTeam extends the rows to the team with the given index.
func (l *leastSizes) addTeam(index int) {
	if index < stepsPerWord*len(l.rows[0]) {
		return
	}
	for i := range l.rows {
		l.rows[i] = append(l.rows[i], noStep*lowBits)
	}
}

// setTeam stores the frontier of the team with the given index.
func (l *leastSizes) setTeam(index int, f *frontier) {
	word, shift := index/stepsPerWord, index%stepsPerWord*8
	for i := range l.rows {
		row := l.rows[i]
		row[word] = row[word]&^(0xff<<shift) | uint64(f[i])<<shift
	}
}

// query is a search for the parked jobs of one group that fit a worker.
type query struct {
	group      parkGroup
	room       modeler.Resources // room of the worker that the group may use
	memory     uint8             // memory step of the room
	processors uint8             // processor step of the room
	row        []uint64          // row of the group's leastSizes for the memory step
}

// queries returns a query for each group of the class whose jobs the worker may
// have room for.
func (p *Placer) queries(w *worker, c class) []query {
	queries := p.queryBuffer[:0]
	for g := range parkGroups {
		l := &p.leastSizes[c][g]
		if l.jobCount == 0 {
			continue
		}
		kind := evictionRoom
		switch {
		case c == urgent:
			kind = preemptionRoom
		case g&usesReclaimed != 0:
			kind = reclaimedRoom // never less than freeRoom
		}
		room := w.room[kind]
		if room.Negative() || g&needsAccelerators != 0 && room.Accelerators == 0 {
			continue
		}
		memory := memoryStep(room.Memory)
		queries = append(queries, query{g, room, memory, processorStep(room.Processors), l.rows[memory]})
	}
	return queries
}

// matchTeams returns the indexes in parkedTeams of the teams that may have a
// parked job for one of the queries.
func (p *Placer) matchTeams(queries []query) []int {
	matchedTeams := p.matchedTeams[:0]
	for word := range (len(p.parkedTeams) + stepsPerWord - 1) / stepsPerWord {
		found := uint64(0)
		for i := range queries {
			q := &queries[i]
			// The high bit of a byte is set if the team's frontier is above
			// the processor step of the room.
			larger := q.row[word] + uint64(noStep-q.processors)*lowBits
			found |= ^larger & highBits
		}
		for ; found != 0; found &= found - 1 {
			matchedTeams = append(matchedTeams, word*stepsPerWord+bits.TrailingZeros64(found)/8)
		}
	}
	p.matchedTeams = matchedTeams
	return matchedTeams
}

// parkedBlockSize is the number of jobs under one leaf of the tree. Their sizes
// are compared one by one, which takes about as long as another level of the
// tree.
const parkedBlockSize = 16

// parkedJobs holds the jobs of one team, class and group that found no room, in
// order of arrival, under a binary tree of frontiers. It finds the first job
// that fits a given room without comparing all others.
type parkedJobs struct {
	jobs     []*job              // nil where the place is free
	sizes    []modeler.Resources // hiddenSize where the place is free or hidden
	nodes    []frontier          // tree with its root at 1; the leaves start at width
	width    int                 // number of blocks, a power of two
	jobCount int                 // number of jobs that have a place
	team     *team
	table    *leastSizes // where the root's frontier is published
}

// hiddenSize stands for a job that find must not return; it fits no room.
var hiddenSize = modeler.Resources{
	Processors:   1 << 62,
	Memory:       1 << 62,
	Accelerators: 1 << 62,
}

// attachTable sets the team and the table to which the list publishes its
// frontier.
func (k *parkedJobs) attachTable(table *leastSizes, t *team) {
	k.table, k.team = table, t
	table.addTeam(t.parkedTeamIndex)
}

// addToCounts adds n to all counts of jobs that have a place.
func (k *parkedJobs) addToCounts(n int) {
	k.jobCount += n
	k.team.parkedCount += n
	k.table.jobCount += n
}

// insert makes the job visible to find, and gives it a place if it has none. A
// job keeps its place while it has waiting tasks.
func (k *parkedJobs) insert(j *job) {
	if j.parkedIndex < 0 {
		k.allocate(j)
	}
	if k.sizes[j.parkedIndex] != hiddenSize {
		return
	}
	k.sizes[j.parkedIndex] = j.Size
	at := k.width + j.parkedIndex/parkedBlockSize
	for at > 0 && k.nodes[at].addSize(j.Size) {
		at >>= 1
	}
	if at == 0 {
		k.publishFrontier()
	}
}

// hide makes find skip the job, which keeps its place.
func (k *parkedJobs) hide(j *job) {
	if j.parkedIndex >= 0 && k.sizes[j.parkedIndex] != hiddenSize {
		k.sizes[j.parkedIndex] = hiddenSize
		k.refreshBlock(j.parkedIndex / parkedBlockSize)
	}
}

// remove frees the job's place.
func (k *parkedJobs) remove(j *job) {
	if j.parkedIndex < 0 {
		return
	}
	k.hide(j)
	k.free(j)
}

// free frees the job's place; the caller updates the tree.
func (k *parkedJobs) free(j *job) {
	k.sizes[j.parkedIndex] = hiddenSize
	k.jobs[j.parkedIndex] = nil
	j.parkedIndex = -1
	k.addToCounts(-1)
}

// allocate gives the job the next place, hidden from find.
func (k *parkedJobs) allocate(j *job) {
	if len(k.jobs) == k.width*parkedBlockSize {
		k.rebuild()
	}
	j.parkedIndex = len(k.jobs)
	k.jobs = append(k.jobs, j)
	k.sizes = append(k.sizes, hiddenSize)
	k.addToCounts(1)
}

// rebuild frees the places of jobs without waiting tasks and compacts the list.
// It doubles the number of places if more than half of them were in use.
func (k *parkedJobs) rebuild() {
	jobs, sizes := k.jobs, k.sizes
	if k.width == 0 || k.jobCount > k.width*parkedBlockSize/2 {
		k.width = max(1, 2*k.width)
	}
	k.jobs = make([]*job, 0, k.width*parkedBlockSize)
	k.sizes = make([]modeler.Resources, 0, k.width*parkedBlockSize)
	for i, j := range jobs {
		switch {
		case j == nil:
		case j.waiting() == 0:
			j.parkedIndex = -1
			k.addToCounts(-1)
		default:
			j.parkedIndex = len(k.jobs)
			k.jobs = append(k.jobs, j)
			k.sizes = append(k.sizes, sizes[i])
		}
	}
	k.nodes = make([]frontier, 2*k.width)
	for block := range k.width {
		k.nodes[k.width+block] = k.frontier(block)
	}
	for at := k.width - 1; at > 0; at-- {
		k.nodes[at] = k.mergeChildren(at)
	}
	k.publishFrontier()
}

// frontier computes the frontier of one block.
func (k *parkedJobs) frontier(block int) frontier {
	f := emptyFrontier
	for _, size := range k.block(block) {
		if size != hiddenSize {
			f.addSize(size)
		}
	}
	return f
}

// block returns the sizes of the jobs in the block.
func (k *parkedJobs) block(block int) []modeler.Resources {
	from := min(block*parkedBlockSize, len(k.sizes))
	return k.sizes[from:min(from+parkedBlockSize, len(k.sizes))]
}

// mergeChildren computes the frontier of the inner node from its children's.
func (k *parkedJobs) mergeChildren(at int) frontier {
	f, other := k.nodes[2*at], &k.nodes[2*at+1]
	for i := range f {
		f[i] = min(f[i], other[i])
	}
	return f
}

// refreshBlock updates the tree after sizes of the block were removed.
func (k *parkedJobs) refreshBlock(block int) {
	at := k.width + block
	for f := k.frontier(block); k.nodes[at] != f; f = k.mergeChildren(at) {
		k.nodes[at] = f
		at >>= 1
		if at == 0 {
			k.publishFrontier()
			return
		}
	}
}

// publishFrontier stores the frontier of all jobs in the table.
func (k *parkedJobs) publishFrontier() { k.table.setTeam(k.team.parkedTeamIndex, &k.nodes[1]) }

// find returns the first job that fits the worker, or nil. It also frees the
// places of jobs that have ended, so that cancelling a job needs no update here.
func (k *parkedJobs) find(w *worker, query *query) *job {
	if k.jobCount == 0 {
		return nil
	}
	return k.descend(1, w, query)
}

// descend searches the subtree of the node.
func (k *parkedJobs) descend(node int, w *worker, query *query) *job {
	if k.nodes[node][query.memory] > query.processors {
		return nil
	}
	if node >= k.width {
		return k.findInBlock(node-k.width, w, query)
	}
	if j := k.descend(2*node, w, query); j != nil {
		return j
	}
	return k.descend(2*node+1, w, query)
}

// findInBlock compares the sizes of one block exactly.
func (k *parkedJobs) findInBlock(block int, w *worker, query *query) *job {
	ended := false
	var found *job
	for i, size := range k.block(block) {
		if !size.Fits(query.room) {
			continue
		}
		j := k.jobs[block*parkedBlockSize+i]
		if j.unearmarked() <= 0 {
			k.free(j)
			j.state = idle
			ended = true
			continue
		}
		if j.canUse(w) {
			found = j
			break
		}
	}
	if ended {
		k.refreshBlock(block)
	}
	return found
}
