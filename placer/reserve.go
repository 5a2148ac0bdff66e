package placer

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxReservationTries bounds the jobs of a class that one Decide considers
	// for the reservation.
	maxReservationTries = 4
	// maxReservedTasks bounds the tasks of one reservation for a job that is
	// not a gang.
	maxReservedTasks = 8
	// drainCostClasses is the number of classes into which workers are sorted
	// by how much has to leave them.
	drainCostClasses = 32
	// drainMinWorkers is the number of workers from which a new reservation is
	// chosen if they can hold drainTaskRatio times its tasks; otherwise more
	// workers are searched. A search of all 18,000 workers took 2 ms.
	drainMinWorkers = 1024
	drainTaskRatio  = 4
)

// reservation holds room on several workers for one job while these workers are
// drained: it keeps new tasks away from them. The cell has at most one, so jobs
// never wait for each other's reservations, and it ends at its deadline, so it
// doesn't block other jobs forever.
type reservation struct {
	job      *job
	tasks    int // number of tasks that the earmarks hold room for
	earmarks []*earmark
	deadline modeler.ClockReading
	// preemptAt is when the preemptible tasks on the workers are checkpointed;
	// preempted says that this was done.
	preemptAt modeler.ClockReading
	preempted bool
	// seenGrowthCount is one more than growthCount at the last check whether
	// the room is free.
	seenGrowthCount uint64
	// count is the earliest time of the next count of the free room in the
	// whole cell, and rechooseAt is when the workers to drain are chosen again.
	count      modeler.ClockReading
	rechooseAt modeler.ClockReading
}

// noteStuck records that the job found no room and adds it to the queue for the
// reservation.
func (p *Placer) noteStuck(j *job) {
	if !j.isStuck {
		j.isStuck = true
		j.stuckSince = p.now
	}
	if !j.isStarving && !j.hasReservation {
		j.isStarving = true
		p.starved[j.class] = append(p.starved[j.class], starved{j, p.now})
	}
}

// starved is a job's entry in the queue for the reservation.
type starved struct {
	job   *job
	since modeler.ClockReading
}

// assignReservation gives the reservation to the job that has waited longest
// without room. Urgent jobs come first, and take it from a job that is not
// urgent.
func (p *Placer) assignReservation() {
	if p.now < p.lastDrainSearch.Add(drainPause) {
		return
	}
	for c := urgent; c < classes; c++ {
		if p.reserved != nil && p.reserved.job.class <= c {
			return
		}
		for range min(maxReservationTries, len(p.starved[c])) {
			s := p.starved[c][0]
			if p.now < s.since.Add(p.reservationDelay(c)) {
				break // the entries behind it are newer
			}
			p.starved[c] = p.starved[c][1:]
			s.job.isStarving = false
			if p.tryReservation(s.job) {
				return
			}
		}
	}
}

// tryReservation starts the search for workers to drain for the job and reports
// true, if the job has waited long enough and may fit the cell and its quota.
// Otherwise it queues the job for the reservation again if the job still waits
// for room.
func (p *Placer) tryReservation(j *job) bool {
	if j.waiting() == 0 || j.state != parked && j.state != gangWaiting {
		return false
	}
	n := j.waiting()
	if j.Kind != modeler.Gang {
		n = min(n, maxReservedTasks)
	}
	due := j.isStuck && p.now >= j.stuckSince.Add(p.reservationDelay(j.class))
	if !due || !p.couldHold(j, n) || !j.Size.Times(int64(n)).Fits(j.team.remainingQuota(j)) {
		p.noteStuck(j)
		return false
	}
	p.lastDrainSearch = p.now
	p.startReservation(j, n)
	return true
}

// reservationDelay returns how long a job of the class waits without room before
// it may get the reservation.
func (p *Placer) reservationDelay(c class) time.Duration {
	if c == urgent {
		return 0
	}
	return p.settings.ReservationDelay
}

// startReservation gives the reservation to the job if n of its tasks fit on
// workers from which everything but services has left. It ends the reservation
// of another job if there is one.
func (p *Placer) startReservation(j *job, n int) {
	previous := p.reserved
	if previous != nil {
		previous.clearEarmarks(p)
	}
	earmarks := p.drainable(j, n, drainMinWorkers)
	if previous != nil {
		previous.setEarmarks(p)
	}
	if earmarks == nil {
		j.stuckSince = p.now
		p.noteStuck(j)
		return
	}
	if previous != nil {
		p.endReservation(true)
	}
	j.reservationTimeout = min(max(2*j.reservationTimeout, p.settings.ReservationTimeout), maxBackoff)
	p.reserved = &reservation{
		job:        j,
		tasks:      n,
		earmarks:   earmarks,
		deadline:   p.now.Add(j.reservationTimeout),
		preemptAt:  p.now.Add(j.reservationTimeout / 4),
		rechooseAt: p.now.Add(rechoosePause),
	}
	if j.class == urgent {
		p.reserved.preemptAt = p.now
	}
	j.hasReservation = true
	j.team.Reserve(j.Size.Times(int64(n)))
	j.parkedJobs().hide(j)
	p.reserved.setEarmarks(p)
}

func (r *reservation) setEarmarks(p *Placer) {
	for _, e := range r.earmarks {
		p.setEarmark(e)
	}
}

func (r *reservation) clearEarmarks(p *Placer) {
	for _, e := range r.earmarks {
		p.clearEarmark(e)
	}
}

// drainable chooses the workers from which the least has to leave to make room
// for n tasks of the job, and returns an earmark for each. It searches at least
// minWorkers workers. It returns nil if the job doesn't fit even if everything
// but services leaves the whole cell.
func (p *Placer) drainable(j *job, n, minWorkers int) []*earmark {
	var counts [drainCostClasses]int
	p.drainCandidates = p.drainCandidates[:0]
	if minWorkers >= len(p.workerList) {
		p.drainCursor = -1 // a fixed order keeps repeated choices similar
	}
	for i, held := 0, 0; i < len(p.workerList) && (i < minWorkers || held < drainTaskRatio*n); i++ {
		p.drainCursor = (p.drainCursor + 1) % len(p.workerList)
		w := p.workerList[p.drainCursor]
		if count, costClass := w.drainFor(j, n); count > 0 {
			held += count
			counts[costClass] += count
			p.drainCandidates = append(p.drainCandidates, drainCandidate{w, count, costClass})
		}
	}
	last, sum := 0, counts[0]
	for sum < n && last+1 < drainCostClasses {
		last++
		sum += counts[last]
	}
	if sum < n {
		return nil
	}
	excess := sum - n // to be left out of the last cost class
	var earmarks []*earmark
	for _, d := range p.drainCandidates {
		if d.costClass == last {
			out := min(excess, d.count)
			excess -= out
			d.count -= out
		}
		if d.count > 0 && d.costClass <= last {
			earmarks = append(earmarks, &earmark{job: j, worker: d.worker, count: d.count})
		}
	}
	return earmarks
}

// drainCandidate is a worker that may be drained, with the results of drainFor.
type drainCandidate struct {
	worker           *worker
	count, costClass int
}

// drainFor returns how many of n tasks of the job fit on the worker if
// everything but services leaves it, and the cost class of draining it for them.
func (w *worker) drainFor(j *job, n int) (count, costClass int) {
	if w.slots[freeRoom].cell < 0 || w.earmarked != (modeler.Resources{}) {
		return 0, 0
	}
	count = min(countWithin(j.Size, w.Capacity.Sub(w.serviceSizes)), n)
	if count == 0 || !j.canUse(w) {
		return 0, 0
	}
	return count, w.drainCostClass(j.Size.Times(int64(count)))
}

// drainCostClass returns the cost class of freeing the size on the worker: the
// more has to leave, the higher it is. Preemptible tasks count for less, because
// they can be made to leave at once; others have to end by themselves.
func (w *worker) drainCostClass(size modeler.Resources) int {
	waitShare := w.largestShare(nonNegative(size.Sub(w.room[preemptionRoom])))
	leaveShare := w.largestShare(nonNegative(size.Sub(w.room[freeRoom])))
	return int(3*waitShare+leaveShare) * (drainCostClasses - 1) / 4000
}

// largestShare returns the largest share of the worker's capacity that the size
// takes in any dimension, in thousandths.
func (w *worker) largestShare(size modeler.Resources) uint64 {
	largestShare := thousandths(int64(size.Processors), int64(w.Capacity.Processors))
	largestShare = max(largestShare, thousandths(int64(size.Memory), int64(w.Capacity.Memory)))
	return max(largestShare, thousandths(int64(size.Accelerators), int64(w.Capacity.Accelerators)))
}

// claimReservation places the tasks of the reservation once there is room for
// all of them. Until then it chooses the workers again from time to time, and
// has preemptible tasks checkpointed when that is due.
func (p *Placer) claimReservation(c class) {
	r := p.reserved
	if r == nil || r.job.class != c {
		return
	}
	if r.seenGrowthCount != p.growthCount+1 && (r.satisfied() || p.hasEnoughRoom(r)) {
		p.placeReserved(r)
		return
	}
	r.seenGrowthCount = p.growthCount + 1
	if p.now >= r.rechooseAt {
		p.rechooseWorkers(r)
	}
	if !r.preempted && (p.now >= r.preemptAt || r.blockedByPreemptible()) {
		r.preempted = true
		p.preemptEarmarked(r)
	}
}

// preemptEarmarked has preemptible tasks checkpointed on the workers of the
// reservation.
func (p *Placer) preemptEarmarked(r *reservation) {
	for _, e := range r.earmarks {
		p.checkpointForEarmarks(e.worker, urgent)
	}
}

// blockedByPreemptible reports whether the reserved room would be free once all
// preemptible tasks have left.
func (r *reservation) blockedByPreemptible() bool {
	for _, e := range r.earmarks {
		w := e.worker
		if w.slots[freeRoom].cell < 0 || !e.size().Fits(w.room[preemptionRoom].Add(e.size())) {
			return false
		}
	}
	return true
}

// hasEnoughRoom reports whether the tasks of the reservation fit into the
// reserved room that is already free together with the free room of the other
// workers. It counts at most once in Settings.GangRetryDelay.
func (p *Placer) hasEnoughRoom(r *reservation) bool {
	if p.now < r.count {
		return false
	}
	r.count = p.now.Add(p.settings.GangRetryDelay)
	count := 0
	for _, e := range r.earmarks {
		if e.worker.slots[freeRoom].cell >= 0 {
			count += min(e.count, countWithin(r.job.Size, e.worker.room[freeRoom].Add(e.size())))
		}
	}
	return count >= r.tasks || count+p.countFitting(r.job, freeRoom, r.tasks-count) >= r.tasks
}

// rechooseWorkers replaces workers that drain slowly by others on which more has
// become free. Workers that have drained so far are kept, because the least has
// to leave them.
func (p *Placer) rechooseWorkers(r *reservation) {
	r.rechooseAt = p.now.Add(rechoosePause)
	r.clearEarmarks(p)
	if earmarks := p.drainable(r.job, r.tasks, len(p.workerList)); earmarks != nil {
		r.earmarks = earmarks
	}
	r.setEarmarks(p)
	if r.preempted {
		p.preemptEarmarked(r)
	}
}

// satisfied reports whether all the reserved room is free.
func (r *reservation) satisfied() bool {
	for _, e := range r.earmarks {
		if !e.satisfied() {
			return false
		}
	}
	return true
}

// placeReserved ends the reservation and places its tasks. A gang is placed only
// whole, and only if its quota and the free room still suffice.
func (p *Placer) placeReserved(r *reservation) {
	j := r.job
	n := min(r.tasks, j.waiting())
	p.clearReservation(r)
	j.reservationTimeout = 0
	if j.Kind == modeler.Gang {
		n = j.waiting()
		if !j.demand().Fits(j.team.remainingQuota(j)) || p.countFitting(j, freeRoom, n) < n {
			p.requeueReserved(j)
			return
		}
	}
	p.placeOnEarmarked(r, n)
	p.requeueReserved(j)
}

// placeOnEarmarked places up to n tasks on the workers that were drained for
// them, and the remaining ones of a gang on any worker.
func (p *Placer) placeOnEarmarked(r *reservation, n int) {
	j := r.job
	for _, e := range r.earmarks {
		for range e.count {
			if n == 0 || !j.Size.Fits(e.worker.room[freeRoom]) || !j.Size.Fits(j.team.remainingQuota(j)) {
				break
			}
			p.placeTask(j, e.worker, freeRoom)
			n--
		}
	}
	for ; n > 0 && j.Kind == modeler.Gang; n-- {
		p.placeTask(j, p.findWorker(j, freeRoom), freeRoom)
	}
}

// clearReservation frees the room and the quota that the reservation holds.
func (p *Placer) clearReservation(r *reservation) {
	r.clearEarmarks(p)
	r.job.team.Reserve(modeler.Resources{})
	r.job.hasReservation = false
	p.reserved = nil
	p.unblockTeam(r.job.team)
}

// endReservation ends the reservation without a placement. If retry is set, the
// job waits for room again.
func (p *Placer) endReservation(retry bool) {
	r := p.reserved
	p.clearReservation(r)
	for _, e := range r.earmarks {
		if r.preempted {
			e.worker.resetVictims()
		}
	}
	if retry {
		r.job.stuckSince = p.now
		p.requeueReserved(r.job)
	}
}

// requeueReserved makes a job that had the reservation wait for room again. It
// is queued rather than parked, because it was not compared with the workers
// whose room has grown in the meantime.
func (p *Placer) requeueReserved(j *job) {
	if j.waiting() == 0 {
		j.state = idle
		j.parkedJobs().remove(j)
		return
	}
	if j.Kind == modeler.Gang {
		p.noteStuck(j)
		return
	}
	p.enqueue(j)
}

// expireReservation ends the reservation at its deadline, or when its job has no
// waiting task or one of its workers can't be used any more.
func (p *Placer) expireReservation() {
	r := p.reserved
	if r == nil {
		return
	}
	if p.now >= r.deadline || r.job.waiting() == 0 || p.hasLostWorker(r) {
		p.endReservation(true)
	}
}

// hasLostWorker reports whether the job can no longer use a worker of its
// reservation.
func (p *Placer) hasLostWorker(r *reservation) bool {
	for _, e := range r.earmarks {
		if e.worker.slots[freeRoom].cell < 0 || !r.job.canUse(e.worker) {
			return true
		}
	}
	return false
}
