package dispatcher

import (
	"cmp"
	"math"
	"slices"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/modeler"
)

// maxStatsEntries bounds the steps and workers that Stats lists, so that a dump
// of a large cell fits into the memory of a host.
const maxStatsEntries = 50

// Stats counts the dispatcher's objects and lists the steps that wait and the
// workers that get no tasks.
type Stats struct {
	Workers     int `json:"workers"`
	Answered    int `json:"known"`
	Quarantined int `json:"suspect"`
	Units       int `json:"units"`
	Runs        int `json:"runs"`
	Waiting     int `json:"waiting"`
	// Unbegun counts the flows with an attempt that may run of which none is known to have
	// begun.
	Unbegun int `json:"unbegun"`
	// Stopping counts the attempts that are being stopped, and Overdue those that
	// have not ended for 3 s.
	Stopping int `json:"stopping"`
	Overdue  int `json:"overdue"`
	// Steps lists the first waiting steps in scheduling order, and Idle the workers
	// that get no tasks.
	Steps []WaitingStep `json:"steps,omitempty"`
	// Accounts lists the client accounts, those with the most processors running first.
	Accounts []modeler.AccountStatus `json:"accounts,omitempty"`
	// Reasons counts the waiting tasks by what they wait for.
	Reasons map[modeler.WaitReason]int `json:"reasons,omitempty"`
	Idle    []IdleWorker               `json:"idle,omitempty"`
	// Speeds lists the workers whose speeds differ most from the usual one.
	Speeds []WorkerSpeed `json:"speeds,omitempty"`
	// Interference has the pairs of images that slow each other down.
	Interference InterferenceStats `json:"interference"`
}

// WorkerSpeed is the learned speed of a worker relative to the cell's usual one.
type WorkerSpeed struct {
	Worker modeler.WorkerID `json:"worker"`
	Speed  float64          `json:"speed"`
	// Deviation is the standard deviation of the logarithm of the speed.
	Deviation float64 `json:"deviation"`
}

// speeds returns the workers whose learned speeds differ most from the usual one.
func (d *Dispatcher) speeds() []WorkerSpeed {
	hosts := slices.Clone(d.hostList)
	slices.SortFunc(hosts, func(a, b *host) int {
		return cmp.Or(cmp.Compare(math.Abs(b.speed.Slowness()), math.Abs(a.speed.Slowness())), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	var out []WorkerSpeed
	for _, h := range hosts[:min(len(hosts), maxStatsEntries)] {
		out = append(out, WorkerSpeed{Worker: h.worker.ID, Speed: math.Exp(-h.speed.Slowness()), Deviation: h.speed.Deviation()})
	}
	return out
}

// WaitingStep is a step with tasks that wait for workers.
type WaitingStep struct {
	Request    modeler.FlowID     `json:"request"`
	Occurrence modeler.Occurrence `json:"occurrence"`
	Step       modeler.StepIndex  `json:"step"`
	Queue      modeler.QueueID    `json:"queue"`
	Tasks      int                `json:"tasks"`
	// WaitingFor is the time since the step became ready.
	WaitingFor modeler.Duration `json:"waits"`
	// Permitted and Denied count the workers that the outside policy has allowed
	// and denied. Asking means that a permit request is open.
	Permitted int  `json:"permitted"`
	Denied    int  `json:"denied"`
	Asking    bool `json:"asking"`
	// Account is the client account of the flow, and Reason what the step waits for.
	Account modeler.TeamName   `json:"account,omitempty"`
	Reason  modeler.WaitReason `json:"reason"`
	// Reserved lists the workers on which room is kept for the step, and Need is
	// what one of its tasks needs.
	Reserved []modeler.WorkerID `json:"reserved,omitempty"`
	Need     modeler.Resources  `json:"need"`
}

// Accounts returns what the accounts use, those with the most processors running first.
// If there are more than most, the last entry sums up the others.
func (d *Dispatcher) Accounts(most int) []modeler.AccountStatus {
	accounts := d.ledger.Accounts()
	uses := make([]modeler.AccountStatus, 0, len(accounts))
	at := make(map[*accountant.Account]int, len(accounts))
	for _, a := range accounts {
		at[a] = len(uses)
		uses = append(uses, modeler.AccountStatus{Account: a.Team.Name, Used: a.Used(), Quota: a.Team.Quota, Weight: a.Team.Weight, Running: a.Running()})
	}
	for _, u := range d.sortedUnits {
		i, listed := at[u.account]
		if !listed || !u.ready || u.waiting.len() == 0 {
			continue
		}
		uses[i].Waiting += u.waiting.len()
		if u.beyondShare {
			uses[i].BeyondShare += u.waiting.len()
		}
		if u.waitsForQuota {
			uses[i].QuotaWaits += u.waiting.len()
		}
	}
	slices.SortFunc(uses, func(a, b modeler.AccountStatus) int {
		return cmp.Or(cmp.Compare(b.Used.Processors, a.Used.Processors), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Account, b.Account))
	})
	if len(uses) <= most {
		return uses
	}
	others := modeler.AccountStatus{Account: modeler.OtherAccounts}
	for _, use := range uses[most:] {
		others.Used = others.Used.Add(use.Used)
		others.Running += use.Running
		others.Waiting += use.Waiting
		others.BeyondShare += use.BeyondShare
		others.QuotaWaits += use.QuotaWaits
	}
	return append(uses[:most], others)
}

// waitReason returns what a waiting step waits for.
func (d *Dispatcher) waitReason(now modeler.ClockReading, u *unit) modeler.WaitReason {
	switch {
	case u.waitsForQuota:
		return modeler.WaitsForQuota
	case d.waitsForLeader(now, u):
		return modeler.WaitsForLeader
	case u.policy.Permits != nil && !d.hasPermit(now, u):
		return modeler.WaitsForPermit
	case u.beyondShare:
		return modeler.WaitsForShare
	default:
		return modeler.WaitsForRoom
	}
}

// hasPermit reports whether the outside policy allows a worker for the step now.
func (d *Dispatcher) hasPermit(now modeler.ClockReading, u *unit) bool {
	for id := range u.permits {
		if h := d.hosts[id]; h != nil && u.allows(now, h) {
			return true
		}
	}
	return false
}

// IdleWorker is a worker that gets no tasks, with the reason.
type IdleWorker struct {
	Worker   modeler.WorkerID `json:"worker"`
	Reason   string           `json:"reason"`
	Attempts int              `json:"attempts"`
	// SinceHeard is the time since its last answer.
	SinceHeard string `json:"heard"`
}

// Stats returns a summary of the dispatcher's state.
func (d *Dispatcher) Stats(now modeler.ClockReading) Stats {
	s := Stats{Workers: len(d.hosts), Units: len(d.units), Runs: len(d.runs), Unbegun: d.countUnbegun()}
	for _, h := range d.hostList {
		if h.hasAnswered {
			s.Answered++
		}
		for _, r := range h.runs {
			if r.stopping {
				s.Stopping++
			}
			if r.stopOverdue {
				s.Overdue++
			}
		}
		if h.isQuarantined(now) {
			s.Quarantined++
		}
		if reason := d.unusable(now, h); reason != "" {
			s.Idle = append(s.Idle, IdleWorker{
				Worker: h.worker.ID, Reason: reason, Attempts: len(h.runs), SinceHeard: now.Sub(h.heardAt).String(),
			})
		}
	}
	slices.SortFunc(s.Idle, func(a, b IdleWorker) int { return cmp.Compare(a.Worker, b.Worker) })
	s.Idle = s.Idle[:min(len(s.Idle), maxStatsEntries)]
	s.Accounts = d.Accounts(maxStatsEntries)
	s.Reasons = make(map[modeler.WaitReason]int)
	s.Speeds = d.speeds()
	s.Interference = d.Interference(maxWorstPairs)
	for _, u := range d.sortedUnits {
		if !u.ready || u.waiting.len() == 0 {
			continue
		}
		s.Waiting += u.waiting.len()
		reason := d.waitReason(now, u)
		s.Reasons[reason] += u.waiting.len()
		if len(s.Steps) < maxStatsEntries {
			var reserved []modeler.WorkerID
			for _, v := range u.reservations {
				reserved = append(reserved, v.host.worker.ID)
			}
			s.Steps = append(s.Steps, WaitingStep{
				Request: u.key.Flow, Occurrence: u.key.Occurrence, Step: u.key.Step, Queue: u.flow.Spec.Queue,
				Tasks: u.waiting.len(), WaitingFor: modeler.Duration(now.Sub(u.readyAt)),
				Permitted: len(u.permits), Denied: len(u.denied), Asking: u.isAsking,
				Account: u.flow.Spec.Team, Reason: reason,
				Reserved: reserved, Need: neededBy(u.step),
			})
		}
	}
	return s
}
