package dispatcher

import (
	"cmp"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
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

// updateQuotaWait reports whether the next task or gang of a step has to wait until more
// of its account's quota is free. Later steps of the account wait behind it, so that wide
// ones don't starve, except tasks that last while little of the quota is in use.
func (d *Dispatcher) updateQuotaWait(now modeler.ClockReading, u *unit) bool {
	if u.account == nil {
		return false
	}
	waits := !d.isAdmitted(u)
	switch {
	case waits && d.mayEverBeAdmitted(u):
		d.blockedAccounts[u.account] = true
	case !waits && d.blockedAccounts[u.account]:
		waits = !u.step.LongRunning || !u.account.IsHardlyUsed()
	}
	u.waitsForQuota = waits
	if waits && !u.quotaWaitLogged {
		u.quotaWaitLogged = true
		d.settings.Log("step waits for the quota of its account", "request", u.key.Flow, "occurrence", u.key.Occurrence, "step", u.key.Step, "account", u.account.Team.Name,
			"waiting", u.waiting.len(), "waited", now.Sub(u.readyAt).String(), "attempts", u.account.Running())
	}
	return waits
}

// isAdmitted reports whether the account's quota admits the next task or gang of a step.
func (d *Dispatcher) isAdmitted(u *unit) bool {
	if u.step.Gang {
		return u.account.AdmitsGang(neededBy(u.step), u.step.Count)
	}
	return u.account.AdmitsTask(neededBy(u.step))
}

// mayEverBeAdmitted reports whether the quota admits a step once nothing else of the
// account runs. A quota that was lowered may rule a gang out.
func (d *Dispatcher) mayEverBeAdmitted(u *unit) bool {
	return !u.step.Gang || u.account.MayEverAdmitGang(neededBy(u.step), u.step.Count)
}

// CheckQuota returns an error if a gang of the flow is wider than its account may ever
// have running.
func (d *Dispatcher) CheckQuota(f *modeler.Flow) error {
	a := d.ledger.Account(f.Team)
	for i := range f.Steps {
		step := &f.Steps[i]
		if step.Gang && !a.MayEverAdmitGang(neededBy(step), step.Count) {
			return classifier.New(classifier.QuotaExceeded, "the %d tasks of step %d run at once and exceed the quota of the account %s", step.Count, i, f.Team)
		}
	}
	return nil
}

// IsLateBeyondShare reports whether a flow of the queue that is beyond its share waits for
// room although its objective is missed. A newer one would wait behind it, so it can be
// refused at once.
func (d *Dispatcher) IsLateBeyondShare(queue modeler.QueueID) bool { return d.lateBeyondShare[queue] }

// updateLateBeyondShare updates lateBeyondShare.
func (d *Dispatcher) updateLateBeyondShare() {
	clear(d.lateBeyondShare)
	for _, u := range d.sortedUnits {
		if u.beyondShare && u.ready && u.waiting.len() > 0 && u.timeliness != inTime {
			d.lateBeyondShare[u.flow.Spec.Queue] = true
		}
	}
}
