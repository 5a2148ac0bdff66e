package placer

import (
	"cmp"
	"fmt"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// ExplainWait returns a text for operators that says why a job waits.
func (p *Placer) ExplainWait(id modeler.JobID) string {
	j := p.jobs[id]
	switch {
	case j == nil:
		return "the job is not known, or it has ended"
	case j.isCancelled:
		return fmt.Sprintf("cancelled: %d tasks are being stopped", j.placed)
	case j.waiting() == 0:
		return fmt.Sprintf("nothing waits: %d tasks are placed", j.placed)
	}
	return fmt.Sprintf("%d tasks wait: %s", j.waiting(), p.waitReason(j))
}

// waitReason returns the reason why the waiting tasks of the job are not placed.
func (p *Placer) waitReason(j *job) string {
	demand := j.demand()
	n := 1
	if j.Kind == modeler.Gang {
		n = j.waiting()
	}
	switch {
	case !demand.Fits(j.team.Team.Quota):
		return fmt.Sprintf("quota: %s exceeds the whole quota of team %q, %s",
			describe(demand), j.team.Team.Name, describe(j.team.Team.Quota))
	case !p.couldHold(j, n):
		return "set aside: the workers that are present could not hold it even when empty"
	case !demand.Fits(j.team.remainingQuota(j)):
		return fmt.Sprintf("quota: team %q has %s left", j.team.Team.Name, describe(nonNegative(j.team.remainingQuota(j))))
	case j.hasReservation:
		return "room is being drained for it"
	case j.earmarkedTasks > 0:
		return "tasks are being checkpointed to make room"
	case p.countFitting(j, freeRoom, n) >= n:
		return "its turn has not come yet"
	}
	return p.noRoomReason(j, n)
}

// noRoomReason returns the reason why there is no room for n tasks of the job.
func (p *Placer) noRoomReason(j *job, n int) string {
	unconstrained := &job{Job: j.Job, team: j.team}
	unconstrained.Constraint = modeler.Constraint{}
	if p.reserved != nil && p.countWithoutReservation(j) >= n {
		return fmt.Sprintf("room is reserved for job %q", p.reserved.job.ID)
	}
	if p.countWithoutQuarantine(j) >= n {
		return "quarantine: the workers with room for it are in quarantine or on probe"
	}
	if p.countFitting(unconstrained, freeRoom, n) >= n {
		return "constraint: only workers outside the constraint have room"
	}
	return fmt.Sprintf("no room: %d of %d tasks that run at once would fit", p.countFitting(j, freeRoom, n), n)
}

// countWithoutReservation returns how many tasks of the job would fit without
// the reservation.
func (p *Placer) countWithoutReservation(j *job) int {
	count := 0
	for _, w := range p.workerList {
		room := w.room[freeRoom]
		for _, e := range p.reserved.earmarks {
			if e.worker == w {
				room = room.Add(e.size())
			}
		}
		if w.slots[freeRoom].cell >= 0 && j.canUse(w) {
			count += countWithin(j.Size, room)
		}
	}
	return count
}

// countWithoutQuarantine returns how many tasks of the job would fit if no
// worker were in quarantine or probing, or 0 if such workers have no room for
// it.
func (p *Placer) countWithoutQuarantine(j *job) int {
	count := 0
	for _, w := range p.impaired {
		if w.present && !w.Leaving && j.allows(w) {
			count += countWithin(j.Size, minResources(w.Capacity.Sub(w.declared), w.Capacity.Sub(w.estimate)))
		}
	}
	if count == 0 {
		return 0
	}
	return count + p.countFitting(j, freeRoom, maxTasks)
}

// describe formats an amount of resources.
func describe(r modeler.Resources) string {
	return fmt.Sprintf("%d millicores, %d bytes, %d accelerators", r.Processors, r.Memory, r.Accelerators)
}

// Stats is a summary of the cell.
type Stats struct {
	// Workers is the number of workers that are present.
	Workers int `json:"workers"`
	// Quarantine is the number of workers in quarantine or probing.
	Quarantine int               `json:"quarantine"`
	Capacity   modeler.Resources `json:"capacity"`
	// Declared is the sum of the declared sizes of the tasks outside reclaimed
	// room, Reclaimed that of the usage estimates of the tasks in it, and
	// Estimate that of the usage estimates of all tasks.
	Declared  modeler.Resources `json:"declared"`
	Reclaimed modeler.Resources `json:"reclaimed"`
	Estimate  modeler.Resources `json:"estimate"`
	Running   int               `json:"running"`
	Waiting   int               `json:"waiting"`
	// Urgent is the number of waiting tasks of urgent jobs.
	Urgent int `json:"urgent"`
	// Reserved is the job that has the reservation, empty if none has.
	Reserved modeler.JobID `json:"reserved,omitempty"`
	Teams    []TeamStats   `json:"teams"`
}

// TeamStats is a summary of a team; Running and Waiting are numbers of tasks.
type TeamStats struct {
	Team    modeler.TeamName  `json:"team"`
	Used    modeler.Resources `json:"used"`
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
}

// Packing returns the allocated fraction of the capacity in each dimension.
func (s *Stats) Packing() (processors, memory, accelerators float64) {
	used := s.Declared.Add(s.Reclaimed)
	return ratio(int64(used.Processors), int64(s.Capacity.Processors)),
		ratio(int64(used.Memory), int64(s.Capacity.Memory)),
		ratio(int64(used.Accelerators), int64(s.Capacity.Accelerators))
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Stats returns a summary of the cell. Its cost grows with the number of
// workers.
func (p *Placer) Stats() Stats {
	s := Stats{
		Workers:    p.present,
		Quarantine: len(p.impaired),
		Capacity:   p.total,
		Running:    p.running,
		Waiting:    p.waiting[urgent] + p.waiting[normal],
		Urgent:     p.waiting[urgent],
	}
	if p.reserved != nil {
		s.Reserved = p.reserved.job.ID
	}
	for _, w := range p.workerList {
		if w.present {
			s.Declared = s.Declared.Add(w.declared)
			s.Reclaimed = s.Reclaimed.Add(w.reclaimed)
			s.Estimate = s.Estimate.Add(w.estimate)
		}
	}
	for _, t := range p.teams {
		s.Teams = append(s.Teams, TeamStats{t.Team.Name, t.Used(), t.Running(), t.waiting})
	}
	slices.SortFunc(s.Teams, func(a, b TeamStats) int { return cmp.Compare(a.Team, b.Team) })
	return s
}
