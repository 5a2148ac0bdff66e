package accountant_test

import (
	"crypto/sha256"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

func digest(key string) modeler.KeyDigest { return sha256.Sum256([]byte(key)) }

func account(name modeler.TeamName, processors modeler.Millicores, keys ...string) modeler.Account {
	a := modeler.Account{Team: modeler.Team{Name: name, Weight: 1, Quota: modeler.NoLimit}}
	a.Team.Quota.Processors = processors
	for _, key := range keys {
		a.Keys = append(a.Keys, digest(key))
	}
	return a
}

func layout(accounts ...modeler.Account) *modeler.Layout {
	return &modeler.Layout{Number: 1, Keyed: true, Accounts: accounts}
}

func cores(n modeler.Millicores) modeler.Resources { return modeler.Resources{Processors: 1000 * n} }

func charge(n modeler.Millicores) accountant.Charge { return accountant.Charge{Need: cores(n)} }

// Guards against a key that opens another account than its own, and against a revoked or
// missing key that opens one.
func TestDirectory(t *testing.T) {
	d, err := accountant.NewDirectory([]modeler.Account{account("a", 1, "k1", "k2", "k2"), account("b", 1, "k3"), account("c", 1)})
	assert.NilError(t, err)
	for key, want := range map[string]modeler.TeamName{"k1": "a", "k2": "a", "k3": "b", "k4": "", "": ""} {
		presented := digest(key)
		team, found := d.Find(&presented)
		assert.Equal(t, team, want, key)
		assert.Equal(t, found, want != "", key)
	}
	_, found := d.Find(nil)
	assert.Assert(t, !found)
}

// Guards against a layout in which one key stands for two accounts, so that one of them
// sees the flows of the other.
func TestSharedKeyIsRefused(t *testing.T) {
	_, err := accountant.NewDirectory([]modeler.Account{account("a", 1, "k1"), account("b", 1, "k2", "k1")})
	assert.Equal(t, classifier.KindOf(err), classifier.TicketInvalid)
	assert.ErrorContains(t, err, "the accounts a and b have the same key")
}

// Guards against an account that exceeds its quota by more than its next task, and
// against one that starves because its tasks need more than half of the quota.
func TestQuotaOfTasks(t *testing.T) {
	l := accountant.NewLedger(0.1)
	l.SetAccounts(layout(account("a", 10_000)))
	a := l.Account("a")
	for range 4 {
		assert.Assert(t, a.AdmitsTask(cores(2)))
		a.Add(charge(2))
	}
	assert.Assert(t, a.AdmitsTask(cores(2)))
	assert.Assert(t, !a.AdmitsTask(cores(3)))
	a.Remove(charge(2))
	a.Remove(charge(2))
	assert.Assert(t, a.AdmitsTask(cores(7)), "hardly used")
	assert.Assert(t, a.AdmitsTask(cores(20)), "hardly used")
	assert.Equal(t, a.Running(), 2)
}

// Guards against a gang that starts although it exceeds the quota by more than its overage
// and one task, and against one that never starts although it would fit alone.
func TestQuotaOfGangs(t *testing.T) {
	l := accountant.NewLedger(0.1)
	l.SetAccounts(layout(account("a", 10_000)))
	a := l.Account("a")
	assert.Assert(t, a.AdmitsGang(cores(2), 5))
	assert.Assert(t, a.AdmitsGang(cores(2), 6), "ten cores and one member")
	assert.Assert(t, !a.AdmitsGang(cores(2), 7), "eleven cores are allowed beside one member")
	assert.Assert(t, !a.Idle().AdmitsGang(cores(2), 7))
	a.Add(charge(4))
	assert.Assert(t, a.AdmitsGang(cores(2), 4))
	assert.Assert(t, !a.AdmitsGang(cores(2), 5), "4 and 8 cores beside one member")
	a.Add(charge(2))
	assert.Assert(t, a.AdmitsGang(cores(2), 2))
	assert.Assert(t, !a.AdmitsGang(cores(2), 3))
	assert.Assert(t, a.Idle().AdmitsGang(cores(2), 6))
}

// Guards against a new layout that leaves steps with the former quota of their account,
// and against a removed account whose running tasks are forgotten.
func TestLayoutChanges(t *testing.T) {
	l := accountant.NewLedger(0)
	l.SetAccounts(layout(account("a", 10_000), account("b", 10_000)))
	a, b := l.Account("a"), l.Account("b")
	b.Add(charge(9))
	l.SetAccounts(layout(account("a", 1000)))
	assert.Assert(t, !a.AdmitsTask(cores(2)) || a.IsHardlyUsed())
	a.Add(charge(1))
	assert.Assert(t, !a.AdmitsTask(cores(1)))
	assert.Assert(t, !b.AdmitsTask(cores(2)), "a removed account has lost its quota while tasks of it run")
	b.Remove(charge(9))
	l.SetAccounts(layout(account("a", 5000)))
	assert.Assert(t, a.AdmitsTask(cores(4)))
	assert.Equal(t, len(l.Accounts()), 1)
}

// Guards against limits for flows that belong to no account.
func TestFlowsWithoutAccount(t *testing.T) {
	a := accountant.NewLedger(0).Account("")
	a.Add(charge(1))
	assert.Assert(t, a.AdmitsTask(cores(1_000_000)) && a.AdmitsGang(cores(1_000_000), 9) && a.Idle().AdmitsGang(cores(9), 9))
	a.Remove(charge(1))
}

func BenchmarkFind(b *testing.B) {
	var accounts []modeler.Account
	for i := range 320 {
		name := modeler.TeamName(rune('a' + i))
		accounts = append(accounts, account(name, 1, string(name)+"1", string(name)+"2"))
	}
	d, err := accountant.NewDirectory(accounts)
	assert.NilError(b, err)
	key := []byte("a1")
	b.ReportAllocs()
	for b.Loop() {
		presented := modeler.KeyDigest(sha256.Sum256(key))
		if _, found := d.Find(&presented); !found {
			b.Fatal("the key is unknown")
		}
	}
}
