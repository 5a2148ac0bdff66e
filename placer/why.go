package placer

import (
	"cmp"
	"fmt"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// Why says in plain words why a job waits.
func (p *Placer) Why(id modeler.JobID) string {
	j := p.jobs[id]
	switch {
	case j == nil:
		return "the job is not known, or it has ended"
	case j.dead:
		return fmt.Sprintf("cancelled: %d tasks are being stopped", j.placed)
	case j.waiting() == 0:
		return fmt.Sprintf("nothing waits: %d tasks are placed", j.placed)
	}
	return fmt.Sprintf("%d tasks wait: %s", j.waiting(), p.reason(j))
}

func (p *Placer) reason(j *job) string {
	need := j.need()
	n := 1
	if j.Kind == modeler.Gang {
		n = j.waiting()
	}
	switch {
	case !need.Fits(j.team.Quota):
		return fmt.Sprintf("quota: %s exceeds the whole quota of team %q, %s",
			describe(need), j.team.Name, describe(j.team.Quota))
	case !p.couldHold(j, n):
		return "set aside: the workers that are present could not hold it even when empty"
	case !need.Fits(j.team.left(j)):
		return fmt.Sprintf("quota: team %q has %s left", j.team.Name, describe(nonNegative(j.team.left(j))))
	case j.reserving:
		return "room is being drained for it"
	case j.marked > 0:
		return "tasks are being checkpointed to make room"
	case p.slotsFor(j, plainRoom, n) >= n:
		return "its turn has not come yet"
	}
	return p.roomReason(j, n)
}

// roomReason explains why there is no room for n tasks.
func (p *Placer) roomReason(j *job, n int) string {
	free := &job{Job: j.Job, team: j.team}
	free.Constraint = modeler.Constraint{}
	if p.held != nil && p.slotsBehind(j) >= n {
		return fmt.Sprintf("room is reserved for job %q", p.held.job.ID)
	}
	if p.slotsClosed(j) >= n {
		return "quarantine: the workers with room for it are in quarantine or on probe"
	}
	if p.slotsFor(free, plainRoom, n) >= n {
		return "constraint: only workers outside the constraint have room"
	}
	return fmt.Sprintf("no room: %d of %d tasks that run at once would fit", p.slotsFor(j, plainRoom, n), n)
}

// slotsBehind counts the tasks that would fit without the reservation.
func (p *Placer) slotsBehind(j *job) int {
	count := 0
	for _, w := range p.list {
		room := w.room[plainRoom]
		for _, m := range p.held.marks {
			if m.worker == w {
				room = room.Add(m.size())
			}
		}
		if w.slots[plainRoom].cell >= 0 && j.canUse(w) {
			count += slotsWithin(j.Size, room)
		}
	}
	return count
}

// slotsClosed counts the tasks that would fit if no worker were impaired.
func (p *Placer) slotsClosed(j *job) int {
	count := 0
	for _, w := range p.impaired {
		if w.present && !w.Leaving && j.allows(w) {
			count += slotsWithin(j.Size, lesser(w.Capacity.Sub(w.declared), w.Capacity.Sub(w.estimate)))
		}
	}
	if count == 0 {
		return 0
	}
	return count + p.slotsFor(j, plainRoom, maxTasks)
}

// describe shows an amount of resources.
func describe(r modeler.Resources) string {
	return fmt.Sprintf("%d millicores, %d bytes, %d accelerators", r.Processors, r.Memory, r.Accelerators)
}

// Stats is a summary of the cell.
type Stats struct {
	Workers    int               `json:"workers"`
	Quarantine int               `json:"quarantine"`
	Capacity   modeler.Resources `json:"capacity"`
	// Declared adds up the attempts outside reclaimed room, Reclaimed the
	// others, and Estimate what all of them are taken to use.
	Declared  modeler.Resources `json:"declared"`
	Reclaimed modeler.Resources `json:"reclaimed"`
	Estimate  modeler.Resources `json:"estimate"`
	Running   int               `json:"running"`
	Waiting   int               `json:"waiting"`
	Urgent    int               `json:"urgent"`
	// Reserved is the job that has the drain reservation.
	Reserved modeler.JobID `json:"reserved,omitempty"`
	Teams    []TeamStats   `json:"teams"`
}

// TeamStats is a summary of a team.
type TeamStats struct {
	Team    modeler.TeamName  `json:"team"`
	Used    modeler.Resources `json:"used"`
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
}

// Packing returns the used part of the capacity in each dimension.
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

// Stats returns a summary of the cell; it walks over all workers.
func (p *Placer) Stats() Stats {
	s := Stats{
		Workers:    p.present,
		Quarantine: len(p.impaired),
		Capacity:   p.total,
		Running:    p.running,
		Waiting:    p.waiting[urgent] + p.waiting[normal],
		Urgent:     p.waiting[urgent],
	}
	if p.held != nil {
		s.Reserved = p.held.job.ID
	}
	for _, w := range p.list {
		if w.present {
			s.Declared = s.Declared.Add(w.declared)
			s.Reclaimed = s.Reclaimed.Add(w.reclaimed)
			s.Estimate = s.Estimate.Add(w.estimate)
		}
	}
	for _, t := range p.teams {
		s.Teams = append(s.Teams, TeamStats{t.Name, t.used, t.running, t.waiting})
	}
	slices.SortFunc(s.Teams, func(a, b TeamStats) int { return cmp.Compare(a.Team, b.Team) })
	return s
}
