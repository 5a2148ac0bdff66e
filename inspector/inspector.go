package inspector

import (
	"fmt"
	"strings"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/platform"
	"goldcreststack.example/goldcreststack/sequencer"
)

// Kind says what a finding means for the operator.
type Kind string

// The kinds of findings.
const (
	// Refused is what the system doesn't put in force.
	Refused Kind = "refused"
	// Unused is an entry that never has an effect.
	Unused Kind = "unused"
	// Contradictory is a limit that others make useless or impossible.
	Contradictory Kind = "contradictory"
	// Stopped is what the new version refuses or stops as soon as it is in force.
	Stopped Kind = "stopped"
	// Changed is any other difference from the version in force.
	Changed Kind = "changed"
)

// Finding is one result of an inspection.
type Finding struct {
	Kind Kind `json:"kind"`
	// Entry names the entry of the configuration, such as route "a/b/".
	Entry string `json:"entry,omitempty"`
	Text  string `json:"text"`
}

// String returns the finding in one line.
func (f Finding) String() string {
	if f.Entry == "" {
		return fmt.Sprintf("%s: %s", f.Kind, f.Text)
	}
	return fmt.Sprintf("%s: %s: %s", f.Kind, f.Entry, f.Text)
}

// IsUsable returns whether the system puts the configuration in force.
func IsUsable(findings []Finding) bool {
	for _, f := range findings {
		if f.Kind == Refused {
			return false
		}
	}
	return true
}

// Parse decodes a configuration as the system does. The layout is nil if the system
// refuses the document unread, and the finding then says why.
func Parse(document []byte) (*modeler.Layout, []Finding) {
	if len(document) > platform.MaxConfigSize {
		return nil, []Finding{{Refused, "", fmt.Sprintf("%d bytes are above the limit of %d", len(document), platform.MaxConfigSize)}}
	}
	layout, err := platform.ParseLayout(document)
	if err != nil {
		return nil, []Finding{{Refused, "", classifier.DetailOf(err)}}
	}
	return layout, nil
}

// Inspect returns the findings on a layout by itself.
func Inspect(l *modeler.Layout) []Finding {
	var found []Finding
	if err := sequencer.CheckLayout(l); err != nil {
		found = append(found, Finding{Refused, "", classifier.DetailOf(err)})
	}
	found = append(found, unusedRoutes(l)...)
	found = append(found, unusedNames(l)...)
	for i := range l.Queues {
		found = append(found, contradictionsOf(&l.Queues[i])...)
	}
	for i := range l.Accounts {
		found = append(found, contradictionsOfTeam(&l.Accounts[i].Team)...)
	}
	return found
}

func routeEntry(q *modeler.Queue) string { return fmt.Sprintf("route %q", string(q.ID())) }

func accountEntry(name modeler.TeamName) string { return fmt.Sprintf("account %q", string(name)) }

// unusedRoutes returns the routes that no call can reach. Calls go to the longest prefix
// of their host, their paths begin with a slash, and the port is cut from their host.
func unusedRoutes(l *modeler.Layout) []Finding {
	var found []Finding
	for i := range l.Queues {
		q := &l.Queues[i]
		switch {
		case strings.Contains(q.Host, ":"):
			found = append(found, Finding{Unused, routeEntry(q), "no call matches a host with a port: write the host alone"})
		case q.Prefix != "" && q.Prefix[0] != '/':
			found = append(found, Finding{Unused, routeEntry(q), "no call matches a " + platform.PrefixField + " that doesn't begin with a slash"})
		case !strings.HasSuffix(q.Prefix, "/") && hasRoute(l, q.Host, q.Prefix+"/"):
			found = append(found, Finding{Unused, routeEntry(q), fmt.Sprintf("the route with the %s %q of the same host hides it: all calls below it go there", platform.PrefixField, q.Prefix+"/")})
		}
	}
	return found
}

func hasRoute(l *modeler.Layout, host, prefix string) bool {
	for i := range l.Queues {
		if l.Queues[i].Host == host && l.Queues[i].Prefix == prefix {
			return true
		}
	}
	return false
}

// unusedNames returns the accounts that no call can belong to, the routes that need a key
// while there is none, and the services without a route.
func unusedNames(l *modeler.Layout) []Finding {
	var found []Finding
	public, keys := 0, 0
	used := make(map[modeler.ServiceName]bool)
	for i := range l.Queues {
		used[l.Queues[i].Policy.Service] = true
		if l.Queues[i].Public {
			public++
		}
	}
	for i := range l.Accounts {
		a := &l.Accounts[i]
		keys += len(a.Keys)
		switch {
		case len(a.Keys) > 0 && len(l.Queues) > 0 && public == len(l.Queues):
			found = append(found, Finding{Unused, accountEntry(a.Team.Name), "all routes are public, so its keys, quota and weight have no effect"})
		case len(a.Keys) == 0 && public == 0:
			found = append(found, Finding{Unused, accountEntry(a.Team.Name), "it has no keys and no route is public: all its calls get 401"})
		case len(a.Keys) == 0:
			found = append(found, Finding{Unused, accountEntry(a.Team.Name), "it has no keys: no flow belongs to it, and only public routes are open to its callers"})
		}
	}
	for i := range l.Queues {
		if l.Keyed && keys == 0 && !l.Queues[i].Public {
			found = append(found, Finding{Unused, routeEntry(&l.Queues[i]), "calls need a key and no account has one: all its calls get 401"})
		}
	}
	for _, name := range l.Services {
		if !used[name] {
			found = append(found, Finding{Unused, fmt.Sprintf("service %q", string(name)), "no route leads to it"})
		}
	}
	return found
}

func contradictionsOf(q *modeler.Queue) []Finding {
	var found []Finding
	add := func(format string, args ...any) {
		found = append(found, Finding{Contradictory, routeEntry(q), fmt.Sprintf(format, args...)})
	}
	p := &q.Policy
	if p.Attempts < 1 {
		add("max_attempts %d is below 1 and sets no limit: a task that always fails is run again without end", p.Attempts)
	}
	if p.Slowdown < 1 {
		add("%s %g is below 1: a flow may be due before its tasks can have run", platform.SlowdownField, p.Slowdown)
	}
	if p.Permits == nil {
		return found
	}
	shortest := p.Permits.Decision + p.Permits.Worker
	if q.Timeout > 0 && q.Timeout < p.Permits.Decision {
		add("timeout_ms %s is shorter than the policy's decision of %s", milliseconds(q.Timeout), milliseconds(p.Permits.Decision))
	}
	if p.Permits.Validity <= dispatcher.PermitMargin {
		add("validity_ms %s of the policy is not above the %s that a start takes: permits expire before a task can start", milliseconds(p.Permits.Validity), milliseconds(dispatcher.PermitMargin))
	}
	if p.Slowdown <= 1 && p.Latency <= shortest {
		add("the policy can never answer in time: it takes at least %s, and %s is %s without slack from %s", milliseconds(shortest), platform.LatencyField, milliseconds(p.Latency), platform.SlowdownField)
	}
	return found
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%g ms", float64(d)/float64(time.Millisecond))
}

func contradictionsOfTeam(t *modeler.Team) []Finding {
	var found []Finding
	for _, d := range dimensionsOf(t.Quota) {
		if d.amount <= 0 {
			found = append(found, Finding{Contradictory, accountEntry(t.Name), fmt.Sprintf("its quota of %s admits nothing, whatever the other limits allow", d.name)})
		}
	}
	if t.Weight <= 0 {
		found = append(found, Finding{Contradictory, accountEntry(t.Name), "weight 0 doesn't keep its flows back: it counts as 1, one flow a second within its share"})
	}
	return found
}

// dimension is one resource of a quota.
type dimension struct {
	name   string
	unit   string
	amount int64
	limit  int64 // the amount from which on there is no limit
	scale  int64 // amount of one unit
}

func (d dimension) String() string {
	if d.amount >= d.limit {
		return "no limit"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", d.amount/d.scale, d.unit))
}

func dimensionsOf(r modeler.Resources) []dimension {
	return []dimension{
		{"cpu", "thousandths of a core", int64(r.Processors), int64(modeler.NoLimit.Processors), 1},
		{"memory", "MiB", int64(r.Memory), int64(modeler.NoLimit.Memory), 1 << 20},
		{"gpu", "", int64(r.Accelerators), int64(modeler.NoLimit.Accelerators), 1},
	}
}
