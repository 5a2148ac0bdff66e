package dispatcher

import (
	"cmp"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/sequencer"
)

// compareUrgency orders steps by their priority and their account's share. Priorities go
// first, since they are the operators'. Shares before priorities would protect less urgent
// flows from an account that sends many times its share, which showed no gain
// (docs/decisions/deciding.md).
func compareUrgency(a, b *unit) int {
	byPriority := cmp.Compare(a.policy.Priority, b.policy.Priority)
	byShare := 0
	if a.beyondShare != b.beyondShare {
		byShare = trueFirst(b.beyondShare)
	}
	if a.dispatcher.uses(PriorityFirst) {
		return cmp.Or(byPriority, byShare)
	}
	return cmp.Or(byShare, byPriority)
}

// updateAccounts applies the accounts of a new layout.
func (d *Dispatcher) updateAccounts() {
	layout := d.state.Layout()
	d.ledger.SetAccounts(layout)
	if layout.Keyed {
		d.settings.Log("accounts changed", "ticket", layout.Number, "accounts", len(layout.Accounts), "former", len(layout.Former))
	}
}

// setAccount sets the account of a unit and whether the unit is beyond its share. Tasks
// that last never go behind others for that, since a flow of them is submitted once and
// runs for long.
func (d *Dispatcher) setAccount(u *unit) {
	u.account = d.ledger.Account(u.flow.Spec.Team)
	u.beyondShare = u.flow.Spec.BeyondShare && !u.step.LongRunning
}

// chargeOf returns what a task of the step takes of its account's quota. Backfill counts
// in full: it reserves no processors on its worker, but it uses them.
func chargeOf(step *modeler.Step) accountant.Charge {
	return accountant.Charge{Need: step.Need, Lasting: step.LongRunning}
}

// updateQuotaWait reports whether the next task or gang of a step has to wait until more
// of its account's quota is free. Later steps of the account wait behind it, so that wide
// ones don't starve, except long-running tasks while little of the quota is in use. A gang
// of which members still run waits for their end and not for the quota.
func (d *Dispatcher) updateQuotaWait(now modeler.ClockReading, u *unit) bool {
	if u.account == nil || u.step.Gang && u.waiting.len() < u.step.Count {
		d.noteQuotaWait(now, u, false)
		return false
	}
	waits := !isAdmitted(u.account, u.step)
	switch {
	case waits && !d.blockedAccounts[u.account]:
		d.blockedAccounts[u.account] = isAdmitted(u.account.Lasting(), u.step)
	case !waits && d.blockedAccounts[u.account]:
		waits = !u.step.LongRunning || !u.account.IsHardlyUsed()
	}
	d.noteQuotaWait(now, u, waits)
	return waits
}

// isAdmitted reports whether an account's quota admits the next task or gang of a step.
// Beside long-running tasks alone it may never admit a step that is too wide; such a step
// must not hold back others, since those tasks don't end by themselves.
func isAdmitted(a *accountant.Account, step *modeler.Step) bool {
	if step.Gang {
		return a.AdmitsGang(step.Need, step.Count)
	}
	return a.AdmitsTask(step.Need)
}

// startableTasks returns how many waiting tasks of a step its account's quota admits now,
// at least the next one. Room is neither kept nor freed for more of them.
func startableTasks(u *unit) int {
	n := u.waiting.len()
	if u.account == nil || u.step.Gang {
		return n
	}
	return min(n, max(u.account.TasksWithin(u.step.Need), 1))
}

// maxQuotaLines bounds the log lines about one step that begins to wait for its quota:
// a step with many tasks at its quota does so with each of them.
const maxQuotaLines = 3

// noteQuotaWait records that a step begins or ceases to wait for its quota.
func (d *Dispatcher) noteQuotaWait(now modeler.ClockReading, u *unit, waits bool) {
	if waits == u.waitsForQuota {
		return
	}
	u.waitsForQuota = waits
	event := "step no longer waits for the quota of its account"
	if waits {
		event = "step waits for the quota of its account"
		u.quotaSince = now
		u.quotaLines++
	} else {
		u.quotaWaited += now.Sub(u.quotaSince)
	}
	if u.quotaLines > maxQuotaLines {
		return
	}
	d.settings.Log(event, "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step, "account", u.account.Team.Name,
		"waiting", u.waiting.len(), "waited", now.Sub(u.readyAt).String(), "capped", u.quotaWaited.String(), "attempts", u.account.Running())
}

// CheckQuota returns an error if a gang of the flow is wider than its account may ever
// have running.
func (d *Dispatcher) CheckQuota(f *modeler.Flow) error {
	idle := d.ledger.Account(f.Team).Idle()
	for i := range f.Steps {
		step := &f.Steps[i]
		if step.Gang && !isAdmitted(idle, step) {
			return classifier.New(classifier.QuotaExceeded, "the %d tasks of step %d run at once and exceed the quota of the account %s", step.Count, i, f.Team)
		}
	}
	return nil
}

// IsLateBeyondShare reports whether a flow of the queue that is beyond its share waits for
// room although its objective is missed, or one of the same account waits for the
// account's quota so. A newer flow of the account would wait behind it, so it can be
// refused at once.
func (d *Dispatcher) IsLateBeyondShare(queue modeler.QueueID, team modeler.TeamName) bool {
	return d.lateBeyondShare[lateFlows{queue: queue}] || d.lateBeyondShare[lateFlows{queue: queue, team: team}]
}

// lateFlows identifies the late flows beyond their share of a queue that wait for room, or
// for the quota of the account team.
type lateFlows struct {
	queue modeler.QueueID
	team  modeler.TeamName
}

// updateLateBeyondShare updates lateBeyondShare. A step that waits for its account's quota
// does not show that others lack room.
func (d *Dispatcher) updateLateBeyondShare() {
	clear(d.lateBeyondShare)
	for _, u := range d.sortedUnits {
		if !u.beyondShare || !u.ready || u.waiting.len() == 0 || u.timeliness == inTime {
			continue
		}
		late := lateFlows{queue: u.flow.Spec.Queue}
		if u.waitsForQuota {
			late.team = u.flow.Spec.Team
		}
		d.lateBeyondShare[late] = true
	}
}

// maxUnheardCopies bounds the earlier attempts that are counted for each task. Every one
// needs another worker that fell silent within the same lease.
const maxUnheardCopies = 2

// unheardCopy stands for an earlier attempt that may still run on a worker which this
// leader has not heard.
type unheardCopy struct {
	account *accountant.Account
	charge  accountant.Charge
}

// countUnheardCopies counts the earlier attempts of tasks that may run in copies against
// the quotas. The replicated state holds only the newest attempt of a task: a former
// leader may have abandoned others on silent workers, where they run until the lease ends.
func (d *Dispatcher) countUnheardCopies() {
	d.state.ForEachFlow(func(f *sequencer.Flow) {
		if f.Spec.Team == "" || len(f.Tasks) == 0 {
			return
		}
		for s := range f.Spec.Steps {
			step := &f.Spec.Steps[s]
			if !step.MayRunCopies() {
				continue
			}
			for k := range f.Occurrences() {
				key := modeler.StepKey{Flow: f.Spec.ID, Occurrence: modeler.Occurrence(k), Step: modeler.StepIndex(s)}
				for _, t := range f.StepTasks(key) {
					for range min(earlierAttempts(&t), maxUnheardCopies) {
						c := unheardCopy{account: d.ledger.Account(f.Spec.Team), charge: chargeOf(step)}
						c.account.Add(c.charge)
						d.unheardCopies = append(d.unheardCopies, c)
					}
				}
			}
		}
	})
}

// earlierAttempts returns how many attempts of a task may still run beside the one that
// the state holds as the newest.
func earlierAttempts(t *sequencer.Task) int {
	n := int(t.Attempt) - len(t.FailedAttempts)
	if t.Worker != "" || t.Phase == sequencer.TaskDone {
		n--
	}
	return n
}

// releaseUnheardCopies ends the count of unheard copies once each worker has listed what
// it runs, or its lease has certainly lapsed.
func (d *Dispatcher) releaseUnheardCopies(now modeler.ClockReading) {
	if len(d.unheardCopies) == 0 {
		return
	}
	for _, h := range d.hostList {
		if !h.hasListedAll && !h.gone && now < d.leasesExpireAt(h) {
			return
		}
	}
	for _, c := range d.unheardCopies {
		c.account.Remove(c.charge)
	}
	d.unheardCopies = nil
}
