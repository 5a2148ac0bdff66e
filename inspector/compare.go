package inspector

import (
	"fmt"
	"slices"
	"strings"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/platform"
)

// comparison collects the differences between the layout in force and the next one.
type comparison struct {
	held, next *modeler.Layout
	found      []Finding
}

// Compare returns what changes when next replaces the layout held, which is in force.
func Compare(held, next *modeler.Layout) []Finding {
	c := &comparison{held: held, next: next}
	if next.Number <= held.Number {
		c.add(Refused, "", "version %d is not above version %d, which is in force: it would change nothing", next.Number, held.Number)
	}
	switch {
	case !held.Keyed && next.Keyed:
		c.add(Stopped, "", "calls to routes that are not public need a key: those without one get 401")
	case held.Keyed && !next.Keyed:
		c.add(Changed, "", "the list of tenants is gone: every caller may call every route without a key")
	}
	c.compareRoutes()
	c.compareServices()
	c.compareAccounts()
	return c.found
}

func (c *comparison) add(kind Kind, entry, format string, args ...any) {
	c.found = append(c.found, Finding{kind, entry, fmt.Sprintf(format, args...)})
}

func (c *comparison) compareRoutes() {
	for i := range c.held.Queues {
		was := &c.held.Queues[i]
		is := findRoute(c.next, was.ID())
		if is != nil {
			c.compareRoute(was, is)
			continue
		}
		const kept = "flows that it has accepted run on, but can no longer be read or cancelled"
		if other := routeAbove(c.next, was); other != nil {
			c.add(Stopped, routeEntry(was), "removed: its calls go to %s; %s", routeEntry(other), kept)
		} else {
			c.add(Stopped, routeEntry(was), "removed: its calls get 404; %s", kept)
		}
	}
	for i := range c.next.Queues {
		is := &c.next.Queues[i]
		if findRoute(c.held, is.ID()) != nil {
			continue
		}
		if other := routeAbove(c.held, is); other != nil {
			c.add(Changed, routeEntry(is), "added: it takes over the calls below its prefix from %s", routeEntry(other))
		} else {
			c.add(Changed, routeEntry(is), "added")
		}
	}
}

func findRoute(l *modeler.Layout, id modeler.QueueID) *modeler.Queue {
	for i := range l.Queues {
		if l.Queues[i].ID() == id {
			return &l.Queues[i]
		}
	}
	return nil
}

// routeAbove returns the route with the longest prefix that is shorter than that of q and
// matches the same calls.
func routeAbove(l *modeler.Layout, q *modeler.Queue) *modeler.Queue {
	var found *modeler.Queue
	for i := range l.Queues {
		o := &l.Queues[i]
		if o.Host != q.Host || len(o.Prefix) >= len(q.Prefix) || !strings.HasPrefix(q.Prefix, o.Prefix) {
			continue
		}
		if found == nil || len(o.Prefix) > len(found.Prefix) {
			found = o
		}
	}
	return found
}

func (c *comparison) compareRoute(was, is *modeler.Queue) {
	entry := routeEntry(is)
	change := func(field string, before, after any) {
		if before != after {
			c.add(Changed, entry, "%s changes from %v to %v", field, before, after)
		}
	}
	switch {
	case was.Public && !is.Public && c.next.Keyed:
		c.add(Stopped, entry, "no longer public: calls without a valid key get 401")
	case was.Public != is.Public:
		change("public", was.Public, is.Public)
	}
	p, q := &was.Policy, &is.Policy
	change("service", string(p.Service), string(q.Service))
	change("timeout_ms", milliseconds(was.Timeout), milliseconds(is.Timeout))
	change("priority", p.Priority, q.Priority)
	change("max_attempts", p.Attempts, q.Attempts)
	change(platform.SlowdownField, p.Slowdown, q.Slowdown)
	change(platform.LatencyField, milliseconds(p.Latency), milliseconds(q.Latency))
	change("advice", adviceOf(p.Permits), adviceOf(q.Permits))
}

func adviceOf(p *modeler.PermitPolicy) string {
	if p == nil {
		return "none"
	}
	return fmt.Sprintf("(decision %s, per worker %s, validity %s)", milliseconds(p.Decision), milliseconds(p.Worker), milliseconds(p.Validity))
}

func (c *comparison) compareServices() {
	for _, name := range c.held.Services {
		if !slices.Contains(c.next.Services, name) {
			c.add(Stopped, fmt.Sprintf("service %q", string(name)), "removed: no route may lead to it")
		}
	}
	for _, name := range c.next.Services {
		if !slices.Contains(c.held.Services, name) {
			c.add(Changed, fmt.Sprintf("service %q", string(name)), "added")
		}
	}
}

func (c *comparison) compareAccounts() {
	owners := make(map[modeler.KeyDigest]modeler.TeamName)
	for i := range c.next.Accounts {
		for _, key := range c.next.Accounts[i].Keys {
			owners[key] = c.next.Accounts[i].Team.Name
		}
	}
	for i := range c.held.Accounts {
		was := &c.held.Accounts[i]
		is := findAccount(c.next, was.Team.Name)
		if is == nil {
			c.add(Stopped, accountEntry(was.Team.Name), "removed: its flows run on under its last quota")
		}
		c.compareKeys(was, is, owners)
		if is != nil {
			c.compareTeam(&was.Team, &is.Team)
		}
	}
	for i := range c.next.Accounts {
		is := &c.next.Accounts[i]
		if findAccount(c.held, is.Team.Name) == nil {
			c.add(Changed, accountEntry(is.Team.Name), "added with %d keys", len(distinct(is.Keys)))
		}
	}
}

func findAccount(l *modeler.Layout, name modeler.TeamName) *modeler.Account {
	for i := range l.Accounts {
		if l.Accounts[i].Team.Name == name {
			return &l.Accounts[i]
		}
	}
	return nil
}

// distinct returns the keys without repeats, which the system accepts in one account.
func distinct(keys []modeler.KeyDigest) []modeler.KeyDigest {
	var once []modeler.KeyDigest
	for _, key := range keys {
		if !slices.Contains(once, key) {
			once = append(once, key)
		}
	}
	return once
}

// compareKeys counts the keys that an account loses and gains; is is nil if the account is
// removed.
func (c *comparison) compareKeys(was, is *modeler.Account, owners map[modeler.KeyDigest]modeler.TeamName) {
	entry := accountEntry(was.Team.Name)
	held := distinct(was.Keys)
	removed, moved := 0, make(map[modeler.TeamName]int)
	for _, key := range held {
		owner, found := owners[key]
		switch {
		case !found:
			removed++
		case owner != was.Team.Name:
			moved[owner]++
		}
	}
	switch {
	case removed > 0 && c.next.Keyed:
		c.add(Stopped, entry, "%d of its %d keys removed: calls with them get 401 at once", removed, len(held))
	case removed > 0:
		c.add(Changed, entry, "%d of its %d keys removed", removed, len(held))
	}
	for i := range c.next.Accounts {
		name := c.next.Accounts[i].Team.Name
		if moved[name] > 0 {
			c.add(Stopped, entry, "%d of its %d keys move to %s: calls with them no longer see its flows", moved[name], len(held), accountEntry(name))
			delete(moved, name)
		}
	}
	if is == nil {
		return
	}
	added := 0
	for _, key := range distinct(is.Keys) {
		if !slices.Contains(held, key) {
			added++
		}
	}
	if added > 0 {
		c.add(Changed, entry, "%d keys added", added)
	}
}

func (c *comparison) compareTeam(was, is *modeler.Team) {
	before, after := dimensionsOf(was.Quota), dimensionsOf(is.Quota)
	for i := range before {
		switch {
		case after[i].amount < before[i].amount:
			c.add(Stopped, accountEntry(is.Name), "quota of %s lowered from %s to %s: above it no task starts; running tasks go on", after[i].name, before[i], after[i])
		case after[i].amount > before[i].amount:
			c.add(Changed, accountEntry(is.Name), "quota of %s raised from %s to %s", after[i].name, before[i], after[i])
		}
	}
	if was.Weight != is.Weight {
		c.add(Changed, accountEntry(is.Name), "weight changes from %d to %d flows a second", was.Weight, is.Weight)
	}
}
