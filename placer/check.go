package placer

import (
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// emptyCapacity caches how many tasks of a job the workers that are present
// could hold if they were empty. It is valid while capacityVersion is version.
type emptyCapacity struct {
	version uint64
	count   int
}

// Check returns an error of kind JobImpossible or QuotaExceeded for a job that
// can never run. The job must fit on the known workers, lost ones included, if
// they were empty; this is not checked while no worker is known.
func (p *Placer) Check(desc modeler.Job) error {
	if err := checkShape(desc); err != nil {
		return err
	}
	t := p.teams[desc.Team]
	if t == nil {
		return classifier.New(classifier.JobImpossible, "team %q is not set up", desc.Team)
	}
	if err := checkQuota(desc, t); err != nil {
		return err
	}
	return p.checkRoom(desc)
}

func checkShape(desc modeler.Job) error {
	switch desc.Kind {
	case modeler.LongRunning, modeler.Batch, modeler.Gang:
	default:
		return classifier.New(classifier.JobImpossible, "kind %q is not service, batch or gang", desc.Kind)
	}
	if desc.Tasks < 1 || desc.Tasks > maxTasks {
		return classifier.New(classifier.JobImpossible, "%d tasks is not between 1 and %d", desc.Tasks, maxTasks)
	}
	if desc.Size.Negative() || desc.Size == (modeler.Resources{}) {
		return classifier.New(classifier.JobImpossible, "the size of a task has a negative part or no part above 0")
	}
	return nil
}

// checkQuota checks a batch job's quota for one task, and that of other jobs for
// all their tasks together, because these run at the same time.
func checkQuota(desc modeler.Job, t *team) error {
	if !desc.Size.Fits(t.Team.Quota) {
		return classifier.New(classifier.QuotaExceeded,
			"one task takes %s, the quota of team %q is %s", describe(desc.Size), t.Team.Name, describe(t.Team.Quota))
	}
	if desc.Kind == modeler.Batch || countWithin(desc.Size, t.Team.Quota) >= desc.Tasks {
		return nil
	}
	return classifier.New(classifier.QuotaExceeded,
		"%d tasks of %s run at once, the quota of team %q is %s",
		desc.Tasks, describe(desc.Size), t.Team.Name, describe(t.Team.Quota))
}

func (p *Placer) checkRoom(desc modeler.Job) error {
	j := &job{Job: desc}
	need := 1
	if desc.Kind != modeler.Batch {
		need = desc.Tasks
	}
	known, allowed, count := 0, 0, 0
	var largest modeler.Resources
	for _, w := range p.workerList {
		if w.domain == nil {
			continue
		}
		known++
		if !j.allows(w) {
			continue
		}
		allowed++
		largest = maxResources(largest, w.Capacity)
		count += countWithin(desc.Size, w.Capacity)
		if count >= need {
			return nil
		}
	}
	switch {
	case known == 0:
		return nil
	case allowed == 0:
		return classifier.New(classifier.JobImpossible, "no worker meets the constraint")
	case count == 0:
		return classifier.New(classifier.JobImpossible,
			"one task takes %s, the workers that meet the constraint have at most %s",
			describe(desc.Size), describe(largest))
	}
	return classifier.New(classifier.JobImpossible,
		"%d tasks run at once, the workers that meet the constraint hold at most %d when empty", need, count)
}

// couldHold reports whether the workers that are present could hold n tasks of
// the job if they were empty.
func (p *Placer) couldHold(j *job, n int) bool {
	if j.emptyCapacity.version != p.capacityVersion {
		j.emptyCapacity = emptyCapacity{version: p.capacityVersion}
		for _, w := range p.workerList {
			if w.present && !w.Leaving && j.allows(w) {
				j.emptyCapacity.count += countWithin(j.Size, w.Capacity)
			}
			if j.emptyCapacity.count >= len(j.tasks) {
				break
			}
		}
	}
	return j.emptyCapacity.count >= n
}
