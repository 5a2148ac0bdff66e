package loader

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"goldcreststack.example/goldcreststack/modeler"
)

// Defaults of optional fields in a settings file; the queue counts requests.
const (
	DefaultDrainDelay      = 2 * time.Second
	DefaultShutdownTimeout = 60 * time.Second
	DefaultIdleTimeout     = time.Second

	DefaultMaxBodyBytes      = modeler.Bytes(1 << 20)
	DefaultMaxQueuedRequests = 4096
	DefaultMaxBufferedBytes  = modeler.Bytes(64 << 20)
)

// LoadSettings reads and checks a settings file. Each of the given roles must have a
// section. If there is any finding, the settings must not be used.
func LoadSettings(path string, roles ...Role) (Settings, []Finding) {
	r, root, ok := open(path)
	if !ok {
		return Settings{}, r.findings
	}
	var s Settings
	s.read(r, root, roles)
	sortFindings(r.findings)
	return s, r.findings
}

// comparedNodes holds the syntax nodes of the listen addresses, which are
// compared with each other after all sections have been read.
type comparedNodes struct {
	entry, control, http, worker node
}

func (s *Settings) read(r *reader, root node, roles []Role) {
	var compared comparedNodes
	ok := r.object(root, []field{
		{"host", true, func(n node) { s.Host = r.name(n) }},
		{"region", true, func(n node) { s.Region = modeler.RegionName(r.name(n)) }},
		{"domain", true, func(n node) { s.Domain = modeler.DomainName(r.name(n)) }},
		{string(EntryRole), false, func(n node) { s.Entry = readEntry(r, n, &compared) }},
		{string(ControlRole), false, func(n node) { s.Control = readControl(r, n, &compared) }},
		{string(WorkerRole), false, func(n node) { s.Worker = readWorker(r, n, &compared) }},
	})
	if !ok {
		return
	}
	for _, role := range roles {
		if !slices.Contains(s.Roles(), role) {
			r.report(node{path: string(role), value: root.value}, "section is missing, and this process runs the role %s", role)
		}
	}
	if len(roles) == 0 && len(s.Roles()) == 0 {
		r.report(root, "has none of the sections entry, control and worker")
	}
	s.compareListeners(r, compared)
}

// compareListeners reports each address that conflicts with an address that
// another listener of the host opens.
func (s *Settings) compareListeners(r *reader, at comparedNodes) {
	type listener struct {
		address string
		at      node
	}
	var listeners []listener
	if s.Entry != nil {
		listeners = append(listeners, listener{s.Entry.ListenAddress, at.entry})
	}
	if s.Control != nil {
		listeners = append(listeners, listener{s.Control.ListenAddress, at.control}, listener{s.Control.HTTPAddress, at.http})
	}
	if s.Worker != nil {
		listeners = append(listeners, listener{s.Worker.ListenAddress, at.worker})
	}
	for i, l := range listeners {
		for _, earlier := range listeners[:i] {
			if addressesOverlap(l.address, earlier.address) {
				r.report(l.at, "%s is taken by %s, which is %s", l.address, earlier.at.path, earlier.address)
			}
		}
	}
}

// addressesOverlap reports whether one host can't listen on both addresses.
func addressesOverlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

func readEntry(r *reader, n node, compared *comparedNodes) *Entry {
	e := &Entry{
		DrainDelay:      DefaultDrainDelay,
		ShutdownTimeout: DefaultShutdownTimeout,
		Limits:          Limits{MaxBodyBytes: DefaultMaxBodyBytes, MaxQueuedRequests: DefaultMaxQueuedRequests, MaxBufferedBytes: DefaultMaxBufferedBytes},
	}
	grace := n
	r.object(n, []field{
		{"name", true, func(n node) { e.Name = modeler.EntryID(r.name(n)) }},
		{"listen", true, func(n node) { e.ListenAddress, compared.entry = r.address(n, true), n }},
		{"controls", true, func(n node) { e.ControlAddresses = r.addresses(n) }},
		{"delay", false, func(n node) { e.DrainDelay = r.duration(n, 0) }},
		{"grace", false, func(n node) { e.ShutdownTimeout, grace = r.duration(n, time.Millisecond), n }},
		{"limits", false, func(n node) { readLimits(r, n, &e.Limits) }},
	})
	if e.ShutdownTimeout > 0 && e.ShutdownTimeout < e.DrainDelay {
		grace.path = n.child("grace")
		r.report(grace, "%s is below the delay of %s, so the process would end before its listener closes", e.ShutdownTimeout, e.DrainDelay)
	}
	return e
}

func readLimits(r *reader, n node, l *Limits) {
	buffer := n
	r.object(n, []field{
		{"body", false, func(n node) { l.MaxBodyBytes = modeler.Bytes(r.integer(n, 1, math.MaxInt32)) }},
		{"queue", false, func(n node) { l.MaxQueuedRequests = int(r.integer(n, 1, 1<<20)) }},
		{"buffer", false, func(n node) { l.MaxBufferedBytes, buffer = modeler.Bytes(r.integer(n, 1, math.MaxInt64)), n }},
	})
	if l.MaxBufferedBytes > 0 && l.MaxBufferedBytes < l.MaxBodyBytes {
		buffer.path = n.child("buffer")
		r.report(buffer, "%d bytes can't hold one body of the limit of %d bytes", l.MaxBufferedBytes, l.MaxBodyBytes)
	}
}

func readControl(r *reader, n node, compared *comparedNodes) *Control {
	c := &Control{}
	members, advertise := n, n
	r.object(n, []field{
		{"member", true, func(n node) { c.Member = modeler.MemberID(r.integer(n, 1, math.MaxInt64)) }},
		{"listen", true, func(n node) { c.ListenAddress, compared.control = r.address(n, true), n }},
		{"advertise", true, func(n node) { c.AdvertisedAddress, advertise = r.address(n, false), n }},
		{"http", true, func(n node) { c.HTTPAddress, compared.http = r.address(n, false), n }},
		{"members", true, func(n node) { c.Members, members = readMembers(r, n), n }},
		{"folder", true, func(n node) { c.DataFolder = r.folder(n) }},
		{"join", false, func(n node) { c.Join = r.boolean(n) }},
	})
	if len(c.Members) > 0 && c.Member != 0 {
		c.compareMembers(r, members, advertise)
	}
	return c
}

// compareMembers checks the list of members against the process's own id and
// address.
func (c *Control) compareMembers(r *reader, members, advertise node) {
	own := slices.IndexFunc(c.Members, func(m FirstMember) bool { return m.ID == c.Member })
	if c.Join {
		if own >= 0 {
			r.report(members, "lists member %d itself, which can't be a first member because it joins", c.Member)
		}
		return
	}
	// A group with an even number of members tolerates no more failures than
	// one with a member less, and its quorum is larger.
	if n := len(c.Members); n%2 == 0 || n > 5 {
		r.report(members, "has %d members; a group starts with 1, 3 or 5", n)
	}
	if own < 0 {
		r.report(members, "doesn't list member %d itself", c.Member)
		return
	}
	if c.AdvertisedAddress != "" && c.Members[own].Address != "" && c.AdvertisedAddress != c.Members[own].Address {
		r.report(advertise, "%s differs from member %d in the list, which has %s", c.AdvertisedAddress, c.Member, c.Members[own].Address)
	}
}

func readMembers(r *reader, n node) []FirstMember {
	var members []FirstMember
	listed := r.list(n, func(element node) {
		var m FirstMember
		var id, address node
		r.object(element, []field{
			{"id", true, func(n node) { m.ID, id = modeler.MemberID(r.integer(n, 1, math.MaxInt64)), n }},
			{"address", true, func(n node) { m.Address, address = r.address(n, false), n }},
		})
		if m.ID != 0 {
			r.reportRepeated(id, slices.IndexFunc(members, func(o FirstMember) bool { return o.ID == m.ID }))
		}
		if m.Address != "" {
			r.reportRepeated(address, slices.IndexFunc(members, func(o FirstMember) bool { return o.Address == m.Address }))
		}
		members = append(members, m)
	})
	if listed && len(members) == 0 {
		r.report(n, "must name at least one member")
	}
	return members
}

func readWorker(r *reader, n node, compared *comparedNodes) *Worker {
	w := &Worker{IdleTimeout: DefaultIdleTimeout}
	var slots node
	r.object(n, []field{
		{"name", true, func(n node) { w.Name = modeler.WorkerID(r.name(n)) }},
		{"listen", true, func(n node) { w.ListenAddress, compared.worker = r.address(n, true), n }},
		{"advertise", true, func(n node) { w.AdvertisedAddress = r.address(n, false) }},
		{"entries", true, func(n node) { w.EntryAddresses = r.addresses(n) }},
		{"rack", true, func(n node) { w.Rack = modeler.RackName(r.name(n)) }},
		{"labels", false, func(n node) { w.Labels = r.names(n) }},
		{"services", false, func(n node) { w.Services = serviceNames(r.names(n)) }},
		{"slots", true, func(n node) { w.Slots, slots = int(r.integer(n, 0, 1<<16)), n }},
		{"connections", true, func(n node) { w.Connections = int(r.integer(n, 1, 1<<16)) }},
		{"idle", false, func(n node) { w.IdleTimeout = r.duration(n, 10*time.Millisecond) }},
		{"capacity", true, func(n node) { r.resources(n, &w.Capacity) }},
	})
	if w.Connections > 0 && w.Slots > w.Connections {
		r.report(slots, "%d is above the %d connections, so some slots could never be used", w.Slots, w.Connections)
	}
	return w
}

func serviceNames(names []string) []modeler.ServiceName {
	var all []modeler.ServiceName
	for _, name := range names {
		all = append(all, modeler.ServiceName(name))
	}
	return all
}

// DetectKind returns the kind of a file, "ticket", "job" or "settings", by the
// fields that it has. A file that can't be parsed counts as settings.
func DetectKind(path string) string {
	_, root, ok := open(path)
	object, isObject := root.value.Value.(*hujson.Object)
	if !ok || !isObject {
		return "settings"
	}
	for _, member := range object.Members {
		literal, _ := member.Name.Value.(hujson.Literal)
		switch literal.String() {
		case "number":
			return "ticket"
		case "tasks":
			return "job"
		}
	}
	return "settings"
}
