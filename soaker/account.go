package soaker

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/platform/imitator"
)

const (
	// revokeLimit is how long after the acknowledgement of a configuration a key that it
	// has removed may still be accepted, and keyApplyLimit how long one that it has added
	// may be refused and a quota that it has lowered may be used. quotaOverage is the part
	// of a quota by which an account may exceed it, besides one task. All three come from
	// the platform's pages.
	revokeLimit   = 5 * time.Second
	keyApplyLimit = 2500 * time.Millisecond
	quotaOverage  = 0.1
	accountCount  = 5
	// operatorCount is the number of operators that race in runs with accounts.
	operatorCount = 2
	// minQuota and maxQuota bound the quotas, in thousandths of a core. At the end each
	// is raised to finalQuota, so that the jobs that are left end in settleTime.
	minQuota, maxQuota = 5000, 20000
	finalQuota         = 4 * maxQuota
	// unlimitedAccount is the account of the jobs whose limits of time leave no room for
	// waiting: it has no quota and is never removed.
	unlimitedAccount = "account-0"
	largeWeight      = 1000
)

// apiKey is a key of an account. Keys that are removed don't return.
type apiKey struct {
	text    string
	account string
	// addedIn and removedIn are the versions of the configurations that add and remove
	// the key; removedIn is 0 while none does.
	addedIn, removedIn uint64
}

// account is a client account as the newest configuration has it. One that is removed
// keeps its last quota, 0 without a limit.
type account struct {
	name     string
	removed  bool
	keys     []*apiKey
	quota    int
	byMemory bool
	weight   int
}

// accounts holds the configurations that operators have sent, and what is running. The
// check's lock protects it.
type accounts struct {
	random *rand.Rand
	list   []*account
	// revoked has the keys that were removed.
	revoked []*apiKey
	// tenants and quotas have the lists and the quotas of each version, from the first.
	tenants [][]imitator.Tenant
	quotas  []map[string]int
	// used is what the tasks of each account that run need, in thousandths of a core.
	used map[string]int
}

// credentials are the Authorization headers of a call. The key is nil if they hold none
// that was ever in force.
type credentials struct {
	headers []string
	key     *apiKey
}

func newAccounts(seed uint64) *accounts {
	a := &accounts{random: rand.New(rand.NewPCG(seed, 20)), used: make(map[string]int)}
	for i := range accountCount {
		c := &account{name: fmt.Sprintf("account-%d", i), weight: 1 + a.random.IntN(10), byMemory: a.random.IntN(4) == 0}
		a.list = append(a.list, c)
		if c.name == unlimitedAccount {
			c.weight = largeWeight
			continue
		}
		c.quota = a.drawQuota()
	}
	return a
}

func (a *accounts) drawQuota() int { return minQuota + a.random.IntN(maxQuota-minQuota) }

// addKey adds a key to an account in a version.
func (a *accounts) addKey(c *account, version uint64) {
	c.keys = append(c.keys, &apiKey{text: fmt.Sprintf("key-%016x", a.random.Uint64()), account: c.name, addedIn: version})
}

// removeKeys removes the first keys of an account in a version.
func (a *accounts) removeKeys(c *account, count int, version uint64) {
	for _, k := range c.keys[:count] {
		k.removedIn = version
		a.revoked = append(a.revoked, k)
	}
	c.keys = slices.Delete(c.keys, 0, count)
}

// next returns the next version, which changes up to two accounts.
func (a *accounts) next() uint64 {
	version := uint64(len(a.tenants) + 1)
	for range a.random.IntN(3) {
		c := a.list[a.random.IntN(len(a.list))]
		switch kind := a.random.IntN(4); {
		case c.removed:
			c.removed = false
		case kind == 0 && c.name != unlimitedAccount:
			c.removed = true
			a.removeKeys(c, len(c.keys), version)
		case kind == 1 && c.name != unlimitedAccount:
			c.quota = a.drawQuota()
		case kind == 2 && len(c.keys) > 1:
			a.removeKeys(c, 1, version)
		case kind == 3 && len(c.keys) < 4:
			a.addKey(c, version)
		}
	}
	return a.seal(version)
}

// last returns a version that has all accounts, with a new key each and high quotas, so
// that each job can be asked for and ends soon.
func (a *accounts) last() uint64 {
	version := uint64(len(a.tenants) + 1)
	for _, c := range a.list {
		c.removed = false
		if c.name != unlimitedAccount {
			c.quota = finalQuota
		}
		a.removeKeys(c, len(c.keys), version)
	}
	return a.seal(version)
}

// seal stores the accounts as those of the version. Each that is not removed gets a key
// if it has none.
func (a *accounts) seal(version uint64) uint64 {
	tenants, quotas := []imitator.Tenant{}, make(map[string]int)
	for _, c := range a.list {
		quotas[c.name] = c.quota
		if c.removed {
			continue
		}
		if len(c.keys) == 0 {
			a.addKey(c, version)
		}
		t := imitator.Tenant{Name: c.name, Weight: c.weight}
		if t.Cap.Processors = c.quota; c.byMemory {
			t.Cap = imitator.Cap{Memory: c.quota * taskMemory / taskCores}
		}
		for _, k := range c.keys {
			t.APIKeys = append(t.APIKeys, k.text)
		}
		tenants = append(tenants, t)
	}
	a.tenants, a.quotas = append(a.tenants, tenants), append(a.quotas, quotas)
	return version
}

// drawAccount returns the account of a new job: one of those in the newest version, or ""
// in runs without accounts.
func (c *check) drawAccount() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accounts == nil {
		return ""
	}
	for {
		if a := c.accounts.list[rand.IntN(len(c.accounts.list))]; !a.removed {
			return a.name
		}
	}
}

// unlimitedAccount returns the account without a quota, or "" in runs without accounts.
func (c *check) unlimitedAccount() string {
	if c.accounts == nil {
		return ""
	}
	return unlimitedAccount
}

// credentialsFor returns credentials with a key that the job's account has in the newest
// version, and false if it has none, since it is removed.
func (c *check) credentialsFor(id string) (credentials, bool) {
	c.mu.Lock()
	account := c.jobs[id].account
	c.mu.Unlock()
	return c.credentialsOf(account)
}

// credentialsOf returns a key of an account, and whether it has one.
func (c *check) credentialsOf(account string) (credentials, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accounts == nil {
		return credentials{}, true
	}
	for _, a := range c.accounts.list {
		if a.name == account && len(a.keys) > 0 {
			return bearer(a.keys[rand.IntN(len(a.keys))]), true
		}
	}
	return credentials{}, false
}

func bearer(k *apiKey) credentials { return credentials{headers: []string{"Bearer " + k.text}, key: k} }

// isRevoked reports whether a key was certainly not in force any more at the given time;
// the caller holds the lock.
func (c *check) isRevoked(k *apiKey, at time.Time) bool {
	return k.removedIn > 0 && slices.ContainsFunc(c.versions, func(a acknowledgement) bool {
		return a.version >= k.removedIn && at.Sub(a.at) > revokeLimit
	})
}

// isInForce reports whether a key was certainly in force at the given time, which has
// passed, and still is; the caller holds the lock.
func (c *check) isInForce(k *apiKey, at time.Time) bool {
	return k.removedIn == 0 && slices.ContainsFunc(c.versions, func(a acknowledgement) bool {
		return a.version >= k.addedIn && at.Sub(a.at) > keyApplyLimit
	})
}

// checkCredentials checks the status of the answer to a call that needs a key.
func (c *check) checkCredentials(given credentials, call, from string, sent time.Time, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isSuccess := status >= 200 && status < 300
	if status == http.StatusUnauthorized {
		c.refusedKeys++
	}
	k := given.key
	switch {
	case c.accounts == nil || status == 0:
	case k == nil && isSuccess:
		c.addViolation("%s answers %d to %s with the headers %q, which hold no key", from, status, call, given.headers)
	case k != nil && isSuccess && c.isRevoked(k, sent):
		c.addViolation("%s answers %d to %s with the key %s of %s, which version %d has removed", from, status, call, k.text, k.account, k.removedIn)
	case k != nil && status == http.StatusUnauthorized && c.isInForce(k, sent):
		c.addViolation("%s answers %d to %s with the key %s of %s, which is in force since version %d", from, status, call, k.text, k.account, k.addedIn)
	}
}

// addUse counts what a task needs that starts, or that ends if cores is negative; the
// caller holds the lock.
func (c *check) addUse(j *job, cores int) {
	if c.accounts != nil && j != nil {
		c.accounts.used[j.account] += cores
	}
}

// checkQuota checks the quota of a job's account after a task has started by an order of
// the given age. The quota may be any that was in force when the order was sent or later;
// the caller holds the lock.
func (c *check) checkQuota(task string, j *job, cores int, age time.Duration) {
	if c.accounts == nil {
		return
	}
	oldest := uint64(1)
	for _, a := range c.versions {
		if time.Since(a.at)-age > keyApplyLimit {
			oldest = max(oldest, a.version)
		}
	}
	quota := 0
	for _, quotas := range c.accounts.quotas[oldest-1:] {
		if quotas[j.account] == 0 {
			return
		}
		quota = max(quota, quotas[j.account])
	}
	if used := c.accounts.used[j.account]; used > quota+int(math.Ceil(quotaOverage*float64(quota)))+cores {
		c.addViolation("task %s started by an order sent %v before, %s runs %d millicores, its quota since version %d is %d", task, age, j.account, used, oldest, quota)
	}
}

// runIntruder calls with revoked keys, without a key that was ever in force, and with keys
// of accounts that the job doesn't belong to, until ctx ends.
func (w *world) runIntruder(ctx context.Context) {
	client := w.newClient(answerTimeout)
	for ctx.Err() == nil {
		w.sleep(time.Duration(20+rand.IntN(150)) * time.Millisecond)
		id, account := w.check.drawJob()
		if id == "" {
			continue
		}
		given, isForeign := w.check.drawBadCredentials(account)
		method := []string{http.MethodPost, http.MethodGet, http.MethodDelete}[rand.IntN(3)]
		body := ""
		if method == http.MethodPost {
			if !isForeign && rand.IntN(2) == 0 {
				id = w.newBadJob(given)
			}
			body = w.jobBody(id)
		}
		w.check.noteCancel(method, id, given)
		status, _ := w.call(client, given, method, w.randomEntry(), id, body)
		if isForeign && status >= 200 && status < 300 {
			w.check.recordViolation("%s of job %s of %s succeeds with a key of %s", method, id, account, given.key.account)
		}
	}
}

// drawJob returns an accepted job and its account, or "" if there is none yet.
func (c *check) drawJob() (id, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			return id, j.account
		}
	}
	return "", ""
}

// drawBadCredentials returns credentials that a call for a job of the account must not
// succeed with, now or soon, and whether the reason is that they hold another account's
// key.
func (c *check) drawBadCredentials(name string) (given credentials, isForeign bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accounts.list[rand.IntN(len(c.accounts.list))]
	switch kind := rand.IntN(6); {
	case kind < 3 && len(c.accounts.revoked) > 0:
		k := c.accounts.revoked[rand.IntN(len(c.accounts.revoked))]
		return bearer(k), k.account != name
	case kind == 3 && len(a.keys) > 0 && a.name != name:
		return bearer(a.keys[0]), true
	case kind == 4 && len(a.keys) > 0:
		header := "Bearer " + a.keys[0].text
		return credentials{headers: [][]string{{header, header}, {"Basic " + a.keys[0].text}, {a.keys[0].text}}[rand.IntN(3)]}, false
	case kind == 5:
		return credentials{}, false
	default:
		return credentials{headers: []string{fmt.Sprintf("Bearer key-%016x", rand.Uint64())}}, false
	}
}

// newBadJob registers a job that is submitted with bad credentials only. Unless they may
// still be in force, it must never run.
func (w *world) newBadJob(given credentials) string {
	id := w.newJob(usualSteps...)
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	j := w.check.jobs[id]
	if given.key == nil || w.check.isRevoked(given.key, time.Now()) {
		j.refused = true
	} else {
		j.account = given.key.account
	}
	return id
}

// noteCancel notes that a call may cancel a job: it is a cancel with a key of the job's
// account that may still be in force.
func (c *check) noteCancel(method, id string, given credentials) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, k := c.jobs[id], given.key
	if method == http.MethodDelete && k != nil && k.account == j.account && !c.isRevoked(k, time.Now()) {
		j.cancelSent = true
	}
}

// restoreAccounts puts a configuration in force by which all accounts can end their jobs
// and ask for them.
func (w *world) restoreAccounts() {
	if w.check.accounts == nil {
		return
	}
	w.check.mu.Lock()
	version := w.check.accounts.last()
	w.check.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, recoveryLimit)
	defer cancel()
	w.applyConfiguration(ctx, w.newClient(time.Second), version)
}
