package dispatcher

import (
	"cmp"
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
	// Stopping counts the attempts that are being stopped, and Overdue those that
	// have not ended for 3 s.
	Stopping int `json:"stopping"`
	Overdue  int `json:"overdue"`
	// Steps lists the first waiting steps in scheduling order, and Idle the workers
	// that get no tasks.
	Steps []WaitingStep `json:"steps,omitempty"`
	// Accounts lists the client accounts, those with the most processors running first.
	Accounts []AccountUse `json:"accounts,omitempty"`
	Idle     []IdleWorker `json:"idle,omitempty"`
	// Interference has the pairs of images that slow each other down.
	Interference InterferenceStats `json:"interference"`
}

// WaitingStep is a step with tasks that wait for workers.
type WaitingStep struct {
	Request    modeler.FlowID     `json:"request"`
	Occurrence modeler.Occurrence `json:"occurrence"`
	Step       modeler.StepIndex  `json:"step"`
	Queue      modeler.QueueID    `json:"queue"`
	Tasks      int                `json:"tasks"`
	// WaitingFor is the time since the step became ready.
	WaitingFor string `json:"waits"`
	// Permitted and Denied count the workers that the outside policy has allowed
	// and denied. Asking means that a permit request is open.
	Permitted int  `json:"permitted"`
	Denied    int  `json:"denied"`
	Asking    bool `json:"asking"`
	// Account is the client account of the flow, and Reason what the step waits for.
	Account modeler.TeamName `json:"account,omitempty"`
	Reason  WaitReason       `json:"reason"`
	// Reserved lists the workers on which room is kept for the step, and Need is
	// what one of its tasks needs.
	Reserved []modeler.WorkerID `json:"reserved,omitempty"`
	Need     modeler.Resources  `json:"need"`
}

// WaitReason says what a step waits for.
type WaitReason string

// The reasons for which steps wait.
const (
	WaitsForQuota  WaitReason = "quota"
	WaitsForShare  WaitReason = "share"
	WaitsForPermit WaitReason = "permit"
	WaitsForRoom   WaitReason = "room"
)

// AccountUse is what a client account has running and waiting.
type AccountUse struct {
	Account modeler.TeamName  `json:"account"`
	Used    modeler.Resources `json:"used"`
	Quota   modeler.Resources `json:"quota"`
	Weight  int               `json:"weight"`
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
	// BeyondShare counts the waiting tasks that are beyond the account's share, and
	// QuotaWaits those that wait for its quota.
	BeyondShare int `json:"beyond"`
	QuotaWaits  int `json:"capped"`
}

// accountUses returns what the accounts with the most processors running use.
func (d *Dispatcher) accountUses() []AccountUse {
	accounts := d.ledger.Accounts()
	uses := make([]AccountUse, 0, min(len(accounts), maxStatsEntries))
	at := make(map[*accountant.Account]int)
	for _, a := range accounts[:min(len(accounts), maxStatsEntries)] {
		at[a] = len(uses)
		uses = append(uses, AccountUse{Account: a.Team.Name, Used: a.Used(), Quota: a.Team.Quota, Weight: a.Team.Weight, Running: a.Running()})
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
	return uses
}

// waitReason returns what a waiting step waits for.
func (d *Dispatcher) waitReason(now modeler.ClockReading, u *unit) WaitReason {
	switch {
	case u.waitsForQuota:
		return WaitsForQuota
	case u.policy.Permits != nil && !slices.ContainsFunc(d.hostList, func(h *host) bool { return u.allows(now, h) }):
		return WaitsForPermit
	case u.beyondShare:
		return WaitsForShare
	default:
		return WaitsForRoom
	}
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
	s := Stats{Workers: len(d.hosts), Units: len(d.units), Runs: len(d.runs)}
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
	s.Accounts = d.accountUses()
	s.Interference = d.Interference(maxWorstPairs)
	for _, u := range d.sortedUnits {
		if !u.ready || u.waiting.len() == 0 {
			continue
		}
		s.Waiting += u.waiting.len()
		if len(s.Steps) < maxStatsEntries {
			var reserved []modeler.WorkerID
			for _, v := range u.reservations {
				reserved = append(reserved, v.host.worker.ID)
			}
			s.Steps = append(s.Steps, WaitingStep{
				Request: u.key.Flow, Occurrence: u.key.Occurrence, Step: u.key.Step, Queue: u.flow.Spec.Queue,
				Tasks: u.waiting.len(), WaitingFor: now.Sub(u.readyAt).String(),
				Permitted: len(u.permits), Denied: len(u.denied), Asking: u.isAsking,
				Account: u.flow.Spec.Team, Reason: d.waitReason(now, u),
				Reserved: reserved, Need: neededBy(u.step),
			})
		}
	}
	return s
}
