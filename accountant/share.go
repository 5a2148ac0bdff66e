package accountant

// VirtualTime orders accounts for fair sharing: the one with the least is served first.
type VirtualTime uint64

// FairShare shares a cell among accounts in proportion to their weights. What an account
// gets increases its virtual time by its part of the cell, divided by the weight.
type FairShare struct {
	// newest is the highest virtual time of an account before it was charged.
	newest VirtualTime
}

// VirtualTime returns the account's virtual time.
func (a *Account) VirtualTime() VirtualTime { return a.virtualTime }

// Resume lets an account that was idle start at the current virtual time, so that it
// doesn't catch up on its idle time.
func (s *FairShare) Resume(a *Account) { a.virtualTime = max(a.virtualTime, s.newest) }

// Charge charges the account for a number of tasks that each take a part of the cell.
func (s *FairShare) Charge(a *Account, part VirtualTime, tasks int) {
	s.newest = max(s.newest, a.virtualTime)
	a.virtualTime += part * VirtualTime(tasks) / VirtualTime(max(a.Team.Weight, 1))
}
