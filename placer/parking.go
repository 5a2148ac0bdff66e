package placer

import (
	"math/bits"

	"goldcreststack.example/goldcreststack/modeler"
)

// parkGroup sorts the parked jobs of a line by what decides, beside their size,
// which worker they fit. A worker without accelerators passes over the jobs
// that need some, and each group is compared with the one kind of room it may
// use.
type parkGroup uint8

const (
	needsAccelerators parkGroup = 1 << iota
	usesReclaimed
	constrained
	parkGroups // the number of combinations
)

// group tells where the job is parked; it never changes.
func (j *job) group() parkGroup {
	var g parkGroup
	if j.Size.Accelerators > 0 {
		g |= needsAccelerators
	}
	if j.reclaims() {
		g |= usesReclaimed
	}
	where := &j.Constraint
	if len(where.Regions)+len(where.Domains)+len(where.Racks)+len(where.Labels) > 0 {
		g |= constrained
	}
	return g
}

func (j *job) parking() *parking { return &j.team.lines[j.class].parked[j.group()] }

// Sizes are compared in steps before they are compared exactly. With eight
// steps per power of two in processors, from 16 millicores on, and four in
// memory, from 64 MiB on, only sizes within an eighth and a quarter of the room
// are mistaken for fitting.
const (
	memorySteps   = 64
	memoryUnit    = 26
	memoryBits    = 2
	processorUnit = 4
	processorBits = 3
	// noStep is above the step of any room. It fits 7 bits, so that a sum with
	// another step stays within its byte.
	noStep = 127
)

// stepOf is monotonic: up to 2^(precision+1) each value has a step of its own,
// above it each power of two has 2^precision steps.
func stepOf(value uint64, precision int) int {
	shift := max(0, bits.Len64(value)-1-precision)
	return shift<<precision + int(value>>shift)
}

func processorStep(v modeler.Millicores) uint8 {
	return uint8(min(stepOf(uint64(v)>>processorUnit, processorBits), noStep-1))
}

func memoryStep(v modeler.Bytes) uint8 {
	return uint8(min(stepOf(uint64(v)>>memoryUnit, memoryBits), memorySteps-1))
}

// profile is, for each step of memory, the least step of processors that a job
// needs which needs no more memory than that.
type profile [memorySteps]uint8

var emptyProfile = func() (f profile) {
	for i := range f {
		f[i] = noStep
	}
	return f
}()

// include takes in a size and reports whether that changes the profile.
func (f *profile) include(size modeler.Resources) bool {
	step, from := processorStep(size.Processors), int(memoryStep(size.Memory))
	i := from
	for ; i < memorySteps && f[i] > step; i++ {
		f[i] = step
	}
	return i > from
}

// leasts holds the profiles of the parkings of one class and group, by step of
// memory and then by team, eight to a word. One look over a row rules out nearly
// all teams without a job for a worker; with trees alone each cost a descent.
type leasts struct {
	rows [memorySteps][]uint64
	live int // jobs with a place in any of the parkings
}

const (
	wordSteps = 8
	lowBits   = 0x0101010101010101
	highBits  = 0x8080808080808080
)

// add makes room for one more team.
func (l *leasts) add(at int) {
	if at < wordSteps*len(l.rows[0]) {
		return
	}
	for i := range l.rows {
		l.rows[i] = append(l.rows[i], noStep*lowBits)
	}
}

func (l *leasts) set(at int, f *profile) {
	word, shift := at/wordSteps, at%wordSteps*8
	for i := range l.rows {
		row := l.rows[i]
		row[word] = row[word]&^(0xff<<shift) | uint64(f[i])<<shift
	}
}

// ask is the room of a worker that the parked jobs of a group may use.
type ask struct {
	group      parkGroup
	room       modeler.Resources
	memory     uint8
	processors uint8
	row        []uint64 // of the group's leasts
}

// asks returns what the worker asks of the groups that it has room for.
func (p *Placer) asks(w *worker, c class) []ask {
	asks := p.asked[:0]
	for g := range parkGroups {
		l := &p.leasts[c][g]
		if l.live == 0 {
			continue
		}
		kind := evictRoom
		switch {
		case c == urgent:
			kind = yieldRoom
		case g&usesReclaimed != 0:
			kind = spareRoom // at least the plain room
		}
		room := w.room[kind]
		if room.Negative() || g&needsAccelerators != 0 && room.Accelerators == 0 {
			continue
		}
		memory := memoryStep(room.Memory)
		asks = append(asks, ask{g, room, memory, processorStep(room.Processors), l.rows[memory]})
	}
	return asks
}

// match lists the teams that may have a parked job for one of the asks.
func (p *Placer) match(asks []ask) []int {
	matched := p.matched[:0]
	for word := range (len(p.parkers) + wordSteps - 1) / wordSteps {
		found := uint64(0)
		for i := range asks {
			a := &asks[i]
			larger := a.row[word] + uint64(noStep-a.processors)*lowBits
			found |= ^larger & highBits
		}
		for ; found != 0; found &= found - 1 {
			matched = append(matched, word*wordSteps+bits.TrailingZeros64(found)/8)
		}
	}
	p.matched = matched
	return matched
}

// parkBlock is the number of jobs under one leaf of the tree. Their sizes are
// compared one by one, which takes about as long as another level of the tree.
const parkBlock = 16

// parking holds the jobs of one team, class and group that found no room, in
// order of arrival, under a tree of profiles. It finds the first job that fits
// a given room without looking at the others.
type parking struct {
	jobs  []*job              // nil once free
	sizes []modeler.Resources // never once free or hidden
	nodes []profile           // the blocks are those from width on
	width int                 // number of blocks, a power of two
	live  int                 // jobs with a place
	team  *team
	least *leasts
}

var never = modeler.Resources{
	Processors:   1 << 62,
	Memory:       1 << 62,
	Accelerators: 1 << 62,
}

// show gives the parking its position in the table of its class and group.
func (k *parking) show(least *leasts, t *team) {
	k.least, k.team = least, t
	least.add(t.parker)
}

func (k *parking) count(n int) {
	k.live += n
	k.team.parked += n
	k.least.live += n
}

// park makes the job's place count; a job keeps its place while tasks wait.
func (k *parking) park(j *job) {
	if j.leaf < 0 {
		k.add(j)
	}
	if k.sizes[j.leaf] != never {
		return
	}
	k.sizes[j.leaf] = j.Size
	at := k.width + j.leaf/parkBlock
	for at > 0 && k.nodes[at].include(j.Size) {
		at >>= 1
	}
	if at == 0 {
		k.publish()
	}
}

// lift hides the job from find but keeps its place.
func (k *parking) lift(j *job) {
	if j.leaf >= 0 && k.sizes[j.leaf] != never {
		k.sizes[j.leaf] = never
		k.refresh(j.leaf / parkBlock)
	}
}

// leave gives up the job's place.
func (k *parking) leave(j *job) {
	if j.leaf < 0 {
		return
	}
	k.lift(j)
	k.free(j)
}

func (k *parking) free(j *job) {
	k.sizes[j.leaf] = never
	k.jobs[j.leaf] = nil
	j.leaf = -1
	k.count(-1)
}

func (k *parking) add(j *job) {
	if len(k.jobs) == k.width*parkBlock {
		k.rebuild()
	}
	j.leaf = len(k.jobs)
	k.jobs = append(k.jobs, j)
	k.sizes = append(k.sizes, never)
	k.count(1)
}

// rebuild drops the places that are no longer in use and doubles their number
// if more than half remain in use.
func (k *parking) rebuild() {
	jobs, sizes := k.jobs, k.sizes
	if k.width == 0 || k.live > k.width*parkBlock/2 {
		k.width = max(1, 2*k.width)
	}
	k.jobs = make([]*job, 0, k.width*parkBlock)
	k.sizes = make([]modeler.Resources, 0, k.width*parkBlock)
	for i, j := range jobs {
		switch {
		case j == nil:
		case j.waiting() == 0:
			j.leaf = -1
			k.count(-1)
		default:
			j.leaf = len(k.jobs)
			k.jobs = append(k.jobs, j)
			k.sizes = append(k.sizes, sizes[i])
		}
	}
	k.nodes = make([]profile, 2*k.width)
	for block := range k.width {
		k.nodes[k.width+block] = k.profile(block)
	}
	for at := k.width - 1; at > 0; at-- {
		k.nodes[at] = k.merge(at)
	}
	k.publish()
}

// profile works out the profile of one block.
func (k *parking) profile(block int) profile {
	f := emptyProfile
	for _, size := range k.block(block) {
		if size != never {
			f.include(size)
		}
	}
	return f
}

func (k *parking) block(block int) []modeler.Resources {
	from := min(block*parkBlock, len(k.sizes))
	return k.sizes[from:min(from+parkBlock, len(k.sizes))]
}

func (k *parking) merge(at int) profile {
	f, other := k.nodes[2*at], &k.nodes[2*at+1]
	for i := range f {
		f[i] = min(f[i], other[i])
	}
	return f
}

// refresh brings the tree up to date after sizes of the block were taken out.
func (k *parking) refresh(block int) {
	at := k.width + block
	for f := k.profile(block); k.nodes[at] != f; f = k.merge(at) {
		k.nodes[at] = f
		at >>= 1
		if at == 0 {
			k.publish()
			return
		}
	}
}

// publish shows the profile of all jobs in the table.
func (k *parking) publish() { k.least.set(k.team.parker, &k.nodes[1]) }

// find returns the first job that fits the worker. Jobs that have ended lose
// their place here, so that cancelling them costs nothing.
func (k *parking) find(w *worker, ask *ask) *job {
	if k.live == 0 {
		return nil
	}
	return k.descend(1, w, ask)
}

func (k *parking) descend(node int, w *worker, ask *ask) *job {
	if k.nodes[node][ask.memory] > ask.processors {
		return nil
	}
	if node >= k.width {
		return k.findIn(node-k.width, w, ask)
	}
	if j := k.descend(2*node, w, ask); j != nil {
		return j
	}
	return k.descend(2*node+1, w, ask)
}

func (k *parking) findIn(block int, w *worker, ask *ask) *job {
	ended := false
	var found *job
	for i, size := range k.block(block) {
		if !size.Fits(ask.room) {
			continue
		}
		j := k.jobs[block*parkBlock+i]
		if j.unmarked() <= 0 {
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
		k.refresh(block)
	}
	return found
}
