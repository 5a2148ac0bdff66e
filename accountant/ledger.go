package accountant

import (
	"cmp"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// quotaDivisor sets up to which part of its quota an account counts as hardly used. Such
// an account may exceed its quota with its next task or gang, since it would starve if
// its tasks need more than the rest.
const quotaDivisor = 2

// Ledger holds what the flows of each account have running. Its owner adds each attempt
// when its start is proposed, and removes it when it has certainly ended.
type Ledger struct {
	// overage is the part of a quota by which gangs may exceed it.
	overage  float64
	accounts map[modeler.TeamName]*Account
}

// Account is what the flows of one account have running, and the quota for it. The
// methods of a nil account admit everything.
type Account struct {
	Team modeler.Team
	used modeler.Resources
	// running counts the attempts, and overage is that of the ledger.
	running int
	overage float64
}

// NewLedger returns a ledger without accounts. Gangs may exceed a quota by the part
// overage of it.
func NewLedger(overage float64) *Ledger {
	return &Ledger{overage: overage, accounts: make(map[modeler.TeamName]*Account)}
}

// SetAccounts replaces the quotas and weights by those of a layout. It keeps the pointers
// to accounts that the layout names. Others are dropped once nothing of theirs runs.
func (l *Ledger) SetAccounts(layout *modeler.Layout) {
	named := make(map[modeler.TeamName]bool)
	for _, list := range [][]modeler.Account{layout.Former, layout.Accounts} {
		for i := range list {
			named[list[i].Team.Name] = true
			l.account(list[i].Team.Name).Team = list[i].Team
		}
	}
	for name, a := range l.accounts {
		if !named[name] && a.running == 0 {
			delete(l.accounts, name)
		}
	}
}

// Account returns an account, or nil for the flows that belong to none.
func (l *Ledger) Account(name modeler.TeamName) *Account {
	if name == "" {
		return nil
	}
	return l.account(name)
}

// account returns an account. One that no layout has named has no limit, since its flows
// were accepted.
func (l *Ledger) account(name modeler.TeamName) *Account {
	a := l.accounts[name]
	if a == nil {
		a = &Account{Team: modeler.Team{Name: name, Weight: 1, Quota: modeler.NoLimit}, overage: l.overage}
		l.accounts[name] = a
	}
	return a
}

// Accounts returns all accounts, those with the most processors running first.
func (l *Ledger) Accounts() []*Account {
	out := make([]*Account, 0, len(l.accounts))
	for _, a := range l.accounts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *Account) int {
		return cmp.Or(cmp.Compare(b.used.Processors, a.used.Processors), cmp.Compare(a.Team.Name, b.Team.Name))
	})
	return out
}

// Used returns what the account has running.
func (a *Account) Used() modeler.Resources { return a.used }

// Running returns the number of attempts that the account has running.
func (a *Account) Running() int { return a.running }

// Add adds an attempt.
func (a *Account) Add(need modeler.Resources) {
	if a == nil {
		return
	}
	a.used = a.used.Add(need)
	a.running++
}

// Remove removes an attempt.
func (a *Account) Remove(need modeler.Resources) {
	if a == nil {
		return
	}
	a.used = a.used.Sub(need)
	a.running--
}

// IsHardlyUsed reports whether at most one part in quotaDivisor of the quota is in use.
func (a *Account) IsHardlyUsed() bool {
	return a == nil || a.used.Times(quotaDivisor).Fits(a.Team.Quota)
}

// AdmitsTask reports whether a task may start: it fits into the quota, or the account is
// hardly used.
func (a *Account) AdmitsTask(need modeler.Resources) bool {
	return a == nil || a.used.Add(need).Fits(a.Team.Quota) || a.IsHardlyUsed()
}

// AdmitsGang reports whether all members of a gang may start: they fit into the quota,
// or the account is hardly used and they exceed the quota with its overage by no more
// than one member.
func (a *Account) AdmitsGang(need modeler.Resources, members int) bool {
	return a == nil || a.used.Add(need.Times(int64(members))).Fits(a.Team.Quota) ||
		a.IsHardlyUsed() && a.used.Add(need.Times(int64(members-1))).Fits(a.quotaWithOverage())
}

// MayEverAdmitGang reports whether the gang may start while nothing else of the account
// runs.
func (a *Account) MayEverAdmitGang(need modeler.Resources, members int) bool {
	if a == nil {
		return true
	}
	idle := Account{Team: a.Team, overage: a.overage}
	return idle.AdmitsGang(need, members)
}

func (a *Account) quotaWithOverage() modeler.Resources {
	q := a.Team.Quota
	return q.Add(modeler.Resources{
		Processors:   modeler.Millicores(float64(q.Processors) * a.overage),
		Memory:       modeler.Bytes(float64(q.Memory) * a.overage),
		Accelerators: modeler.Accelerators(float64(q.Accelerators) * a.overage),
	})
}
