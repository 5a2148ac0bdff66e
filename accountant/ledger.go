package accountant

import (
	"cmp"
	"math"
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
	// lasting is the part of used that long-running tasks hold, and reserved the part of
	// the quota that is kept for waiting work.
	lasting  modeler.Resources
	reserved modeler.Resources
	// running counts the attempts, and starting those of them that may not have begun yet;
	// overage is that of the ledger.
	running  int
	starting int
	overage  float64
	// virtualTime orders the accounts for fair sharing, see FairShare.
	virtualTime VirtualTime
}

// NewLedger returns a ledger without accounts. Gangs may exceed a quota by the part
// overage of it, by no more than the whole quota, so that sums can't overflow.
func NewLedger(overage float64) *Ledger {
	return &Ledger{overage: min(max(overage, 0), 1), accounts: make(map[modeler.TeamName]*Account)}
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

// Charge is what one attempt takes of its account's quota.
type Charge struct {
	Need modeler.Resources
	// Lasting is set for a long-running task, which doesn't end by itself.
	Lasting bool
}

// Add adds an attempt.
func (a *Account) Add(c Charge) {
	if a == nil {
		return
	}
	a.used = a.used.Add(c.Need)
	if c.Lasting {
		a.lasting = a.lasting.Add(c.Need)
	}
	a.running++
}

// Remove removes an attempt.
func (a *Account) Remove(c Charge) {
	if a == nil {
		return
	}
	a.used = a.used.Sub(c.Need)
	if c.Lasting {
		a.lasting = a.lasting.Sub(c.Need)
	}
	a.running--
}

// Starting returns the number of attempts that may not have begun yet.
func (a *Account) Starting() int { return a.starting }

// AddStarting counts an attempt that may not have begun yet.
func (a *Account) AddStarting() {
	if a != nil {
		a.starting++
	}
}

// EndStarting ends the count of an attempt that has begun or was removed.
func (a *Account) EndStarting() {
	if a != nil {
		a.starting--
	}
}

// Idle returns the account as it is while nothing of it runs.
func (a *Account) Idle() *Account {
	if a == nil {
		return nil
	}
	return &Account{Team: a.Team, overage: a.overage}
}

// Lasting returns the account as it is while only its long-running tasks run.
func (a *Account) Lasting() *Account {
	if a == nil {
		return nil
	}
	return &Account{Team: a.Team, overage: a.overage, used: a.lasting, lasting: a.lasting}
}

// Reserve replaces the part of the quota that is kept for waiting work.
func (a *Account) Reserve(r modeler.Resources) { a.reserved = r }

// Remaining returns what is left of the quota. The part that is kept for waiting work
// counts as left only for that work.
func (a *Account) Remaining(holdsReservation bool) modeler.Resources {
	rest := a.Team.Quota.Sub(a.used)
	if holdsReservation {
		return rest
	}
	return rest.Sub(a.reserved)
}

// IsHardlyUsed reports whether at most one part in quotaDivisor of the quota is in use.
func (a *Account) IsHardlyUsed() bool {
	return a == nil || a.used.Times(quotaDivisor).Fits(a.Team.Quota)
}

// mayExceed reports whether the account may exceed its quota with its next task or gang.
// Starts may overtake each other, and a smaller task that began after a larger one would
// exceed the quota by more than itself, so no other start may be on its way.
func (a *Account) mayExceed() bool { return a.starting == 0 && a.IsHardlyUsed() }

// AdmitsTask reports whether a task may start: it fits into the quota, or the account is
// hardly used.
func (a *Account) AdmitsTask(need modeler.Resources) bool {
	return a == nil || a.fits(need, 1, a.Team.Quota) || a.mayExceed()
}

// AdmitsGang reports whether all members of a gang may start: they fit into the quota,
// or the account is hardly used and they exceed the quota with its overage by no more
// than one member.
func (a *Account) AdmitsGang(need modeler.Resources, members int) bool {
	return a == nil || a.fits(need, members, a.Team.Quota) ||
		a.mayExceed() && a.fits(need, members-1, a.quotaWithOverage())
}

// TasksWithin returns how many tasks fit into what is left of the quota.
func (a *Account) TasksWithin(need modeler.Resources) int {
	n := int64(math.MaxInt32)
	for _, part := range [][3]int64{
		{int64(a.used.Processors), int64(need.Processors), int64(a.Team.Quota.Processors)},
		{int64(a.used.Memory), int64(need.Memory), int64(a.Team.Quota.Memory)},
		{int64(a.used.Accelerators), int64(need.Accelerators), int64(a.Team.Quota.Accelerators)},
	} {
		if used, need, quota := part[0], part[1], part[2]; need > 0 {
			n = min(n, max(quota-used, 0)/need)
		}
	}
	return int(n)
}

// fits reports whether a number of tasks fit into the quota beside what is in use. A
// quota that is exceeded in what the tasks don't need, such as accelerators, doesn't keep
// them from starting.
func (a *Account) fits(need modeler.Resources, tasks int, quota modeler.Resources) bool {
	n := int64(tasks)
	return fitsBeside(int64(a.used.Processors), int64(need.Processors), n, int64(quota.Processors)) &&
		fitsBeside(int64(a.used.Memory), int64(need.Memory), n, int64(quota.Memory)) &&
		fitsBeside(int64(a.used.Accelerators), int64(need.Accelerators), n, int64(quota.Accelerators))
}

// fitsBeside divides because the product of the largest need and the largest number of
// tasks exceeds the range of an int64.
func fitsBeside(used, need, tasks, quota int64) bool {
	return need == 0 || tasks == 0 || quota >= used && (quota-used)/need >= tasks
}

func (a *Account) quotaWithOverage() modeler.Resources {
	q := a.Team.Quota
	return q.Add(modeler.Resources{
		Processors:   modeler.Millicores(float64(q.Processors) * a.overage),
		Memory:       modeler.Bytes(float64(q.Memory) * a.overage),
		Accelerators: modeler.Accelerators(float64(q.Accelerators) * a.overage),
	})
}
