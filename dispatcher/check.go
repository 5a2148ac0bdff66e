package dispatcher

import (
	"github.com/rotisserie/eris"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// Check returns an error if what the leader holds contradicts itself or the replicated
// state. It visits all tasks and attempts, so it is for state dumps and tests.
func (d *Dispatcher) Check() error {
	for _, u := range d.units {
		if err := d.checkUnit(u); err != nil {
			return err
		}
	}
	for _, h := range d.hostList {
		if err := h.checkRuns(); err != nil {
			return err
		}
	}
	err := d.checkStarts()
	d.state.ForEachFlow(func(f *sequencer.Flow) {
		if err == nil {
			err = d.checkAttempts(f)
		}
	})
	return err
}

// checkStarts checks the counts of attempts that may not have begun yet.
func (d *Dispatcher) checkStarts() error {
	proposed := 0
	starting := make(map[*accountant.Account]int)
	count := func(r *run) {
		if r.phase < running {
			starting[r.account]++
		}
	}
	for _, r := range d.runs {
		if r.phase == committing {
			proposed++
		}
		// A proposed start stays with a host that has gone.
		if r.host.runs[r.task] == r && d.hosts[r.host.worker.ID] != r.host {
			count(r)
		}
	}
	for _, h := range d.hostList {
		for _, r := range h.runs {
			count(r)
		}
	}
	if proposed != d.committing {
		return eris.Errorf("%d starts are counted as proposed, there are %d", d.committing, proposed)
	}
	for _, a := range d.ledger.Accounts() {
		if a.Starting() != starting[a] {
			return eris.Errorf("account %s: %d attempts are counted as starting, there are %d", a.Team.Name, a.Starting(), starting[a])
		}
	}
	return nil
}

// checkUnit checks that a scheduled step belongs to a flow that is not over, and that its
// waiting tasks are those of the state.
func (d *Dispatcher) checkUnit(u *unit) error {
	f, found := d.state.Flow(u.key.Flow)
	switch {
	case !found || f != u.flow:
		return eris.Errorf("step %v is scheduled for a flow that is not held", u.key)
	case u.dropped || f.IsOver():
		return eris.Errorf("step %v is scheduled although its flow is %s", u.key, f.State)
	}
	tasks := f.StepTasks(u.key)
	for i := range tasks {
		index := modeler.TaskIndex(i)
		next, isWaiting := u.waiting.next(index)
		isWaiting = isWaiting && next == index
		if isWaiting != u.waits(index, &tasks[i]) {
			return eris.Errorf("task %v: waiting %v, phase %d on worker %q", u.task(index), isWaiting, tasks[i].Phase, tasks[i].Worker)
		}
	}
	return nil
}

// checkRuns checks that the resources counted as used on a worker are those of its attempts.
func (h *host) checkRuns() error {
	var used modeler.Resources
	for task, r := range h.runs {
		if r.host != h || r.task != task {
			return eris.Errorf("attempt %d of %v on worker %s is listed under another worker or task", r.attempt, task, h.worker.ID)
		}
		used = used.Add(r.need)
	}
	if used != h.used {
		return eris.Errorf("worker %s: %v are counted as used, its attempts need %v", h.worker.ID, h.used, used)
	}
	return nil
}

// checkAttempts checks that each attempt of a flow that may run according to the state is
// known, since the end of any other one would never be recorded.
func (d *Dispatcher) checkAttempts(f *sequencer.Flow) error {
	if f.OccupiedTasks == 0 {
		return nil
	}
	for k := range f.Occurrences() {
		for s := range f.Spec.Steps {
			key := modeler.StepKey{Flow: f.Spec.ID, Occurrence: modeler.Occurrence(k), Step: modeler.StepIndex(s)}
			for i, t := range f.StepTasks(key) {
				task := modeler.FlowTask{Flow: key.Flow, Occurrence: key.Occurrence, Step: key.Step, Index: modeler.TaskIndex(i)}
				// An attempt on a generation that was not known when this leader took over is
				// not followed: its end was proposed then.
				h := d.hosts[t.Worker]
				if h != nil && h.worker.Generation == t.Generation && !d.knows(attemptID{task, t.Attempt}) {
					return eris.Errorf("attempt %d of %v on worker %s is not followed", t.Attempt, task, t.Worker)
				}
			}
		}
	}
	return nil
}

// knows reports whether an attempt is followed, or its end is proposed.
func (d *Dispatcher) knows(id attemptID) bool {
	r := d.runs[id.task]
	return r != nil && r.attempt == id.attempt || d.proposedEnds[id] != nil
}
