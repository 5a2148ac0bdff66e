package controller

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
)

// acceptLink accepts a link from another process and serves it until it closes.
func (c *Controller) acceptLink(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	l, err := linker.Accept(w, r, *c.core.hello.Load())
	if err != nil {
		c.settings.Report.Debug("a link was refused", "remote", r.RemoteAddr, "error", err)
		return
	}
	defer l.Close()
	if l.Peer.Member != 0 {
		c.peers.redial(l.Peer.Member)
		c.peers.addAccepted(l)
		c.servePeer(ctx, l)
		c.peers.removeAccepted(l)
		return
	}
	c.serveEntry(ctx, l)
}

// servePeer takes the messages of another member until the link closes or ctx
// ends.
func (c *Controller) servePeer(ctx context.Context, l *linker.Link) {
	c.receive(ctx, l, func(m *modeler.Message) bool {
		return m.Kind != modeler.PeerMessageKind || m.Peer == nil || c.post(ctx, peerMessage{message: *m.Peer})
	})
}

// serveEntry takes the messages of another process until the link closes or ctx ends.
func (c *Controller) serveEntry(ctx context.Context, l *linker.Link) {
	if !c.post(ctx, entryLinkUp{link: l}) {
		return
	}
	c.receive(ctx, l, func(m *modeler.Message) bool { return c.post(ctx, entryMessage{link: l, message: m}) })
	c.post(ctx, entryLinkDown{link: l})
}

// receive passes the messages of a link to take until the link closes, ctx ends or take
// returns false. A server that stops doesn't close the connections of links, and their
// pings don't need the core, so a link that outlives its controller is never redialled.
func (c *Controller) receive(ctx context.Context, l *linker.Link, take func(*modeler.Message) bool) {
	for {
		select {
		case m, open := <-l.Receive():
			if !open || !take(m) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// maxUnsentLimits bounds the members without a known address for which lines are
// limited.
const maxUnsentLimits = 64

// peerLinks keeps one outgoing link to every other member.
type peerLinks struct {
	self    modeler.MemberID
	report  *reporter.Reporter
	dropped *metrics.Counter
	seeds   []modeler.Member
	changed chan struct{}
	// connect, if set, opens the links instead of the network's dialer.
	connect linker.Connect
	// serve takes the messages that come over an outgoing link.
	serve func(ctx context.Context, l *linker.Link)

	mu      sync.Mutex
	members []modeler.Member
	links   map[string]*linker.Link
	// accepted has the newest link that each member has opened to this one.
	accepted map[modeler.MemberID]*linker.Link
	// redials has a channel for each address that ends the wait before its next
	// dial.
	redials map[string]chan struct{}
	// unsentLimits limits the lines about messages to members without a known address;
	// only the core goroutine uses it.
	unsentLimits map[modeler.MemberID]*repeatLimit
}

func newPeerLinks(self modeler.MemberID, seeds []modeler.Member, report *reporter.Reporter, serve func(context.Context, *linker.Link)) *peerLinks {
	return &peerLinks{
		self:         self,
		report:       report,
		dropped:      report.Counter("member_messages_dropped_total"),
		seeds:        seeds,
		changed:      make(chan struct{}, 1),
		serve:        serve,
		links:        make(map[string]*linker.Link),
		accepted:     make(map[modeler.MemberID]*linker.Link),
		redials:      make(map[string]chan struct{}),
		unsentLimits: make(map[modeler.MemberID]*repeatLimit),
	}
}

// setMembers replaces the members to which links are kept.
func (p *peerLinks) setMembers(members []modeler.Member) {
	p.mu.Lock()
	same := slices.Equal(p.members, members)
	if !same {
		p.members = slices.Clone(members)
	}
	p.mu.Unlock()
	if same {
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// otherMembers returns the other members; a new member knows only those of its
// settings until it has received the log.
func (p *peerLinks) otherMembers() []modeler.Member {
	known := p.members
	if len(known) == 0 {
		known = p.seeds
	}
	out := make([]modeler.Member, 0, len(known))
	for _, m := range known {
		if m.ID != p.self {
			out = append(out, m)
		}
	}
	return out
}

// addresses returns the addresses of the other members.
func (p *peerLinks) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, m := range p.otherMembers() {
		out = append(out, m.Address)
	}
	return out
}

// addAccepted offers a link that another member has opened for sending.
func (p *peerLinks) addAccepted(l *linker.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted[l.Peer.Member] = l
}

func (p *peerLinks) removeAccepted(l *linker.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accepted[l.Peer.Member] == l {
		delete(p.accepted, l.Peer.Member)
	}
}

// send sends a message to the member that it names, over the link that the
// member has opened if there is no outgoing one: a new member doesn't know the
// leader's address yet. The message is dropped if there is no link.
func (p *peerLinks) send(now modeler.ClockReading, m *modeler.PeerMessage) {
	p.mu.Lock()
	l, known := p.accepted[m.To]
	for _, member := range p.otherMembers() {
		if member.ID != m.To {
			continue
		}
		known = true
		if outgoing := p.links[member.Address]; outgoing != nil {
			l = outgoing
		}
	}
	p.mu.Unlock()
	if l != nil {
		l.Send(&modeler.Message{Kind: modeler.PeerMessageKind, Peer: m})
		return
	}
	p.dropped.Inc()
	if !known {
		p.reportUnsent(now, m)
	}
}

// reportUnsent logs that a message has no receiver: the newest membership in the
// log of this member, or its settings before it has one, does not hold it, and it
// has opened no link.
func (p *peerLinks) reportUnsent(now modeler.ClockReading, m *modeler.PeerMessage) {
	limit := p.unsentLimits[m.To]
	if limit == nil {
		if len(p.unsentLimits) >= maxUnsentLimits {
			clear(p.unsentLimits)
		}
		limit = &repeatLimit{}
		p.unsentLimits[m.To] = limit
	}
	if ok, skipped := limit.allow(now, m.Kind.String()); ok {
		p.report.Info("member has no known address", "member", m.To, "kind", m.Kind.String(), "term", m.Term, "skipped", skipped)
	}
}

// redial ends the wait before the next dial of a member that has opened a link
// to this one. Otherwise a restarted member gets no answers for up to 1.5 s,
// the longest pause between two dials.
func (p *peerLinks) redial(id modeler.MemberID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range p.otherMembers() {
		if member.ID != id {
			continue
		}
		select {
		case p.redials[member.Address] <- struct{}{}:
		default:
		}
	}
}

// run keeps a link to each address and follows changes of the membership.
func (p *peerLinks) run(ctx context.Context) error {
	running := make(map[string]context.CancelFunc)
	for {
		wanted := p.addresses()
		for address, stop := range running {
			if !slices.Contains(wanted, address) {
				stop()
				delete(running, address)
			}
		}
		for _, address := range wanted {
			if running[address] == nil {
				linkCtx, stop := context.WithCancel(ctx)
				running[address] = stop
				go p.keepLink(linkCtx, address)
			}
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			for _, stop := range running {
				stop()
			}
			return nil
		}
	}
}

func (p *peerLinks) keepLink(ctx context.Context, address string) {
	redial := make(chan struct{}, 1)
	p.mu.Lock()
	p.redials[address] = redial
	p.mu.Unlock()
	keeper := linker.Keeper{
		Address:   address,
		RedialNow: redial,
		Connect:   p.connect,
		Hello:     func() modeler.Hello { return modeler.Hello{Member: p.self} },
		OnLink:    func(ctx context.Context, l *linker.Link) { p.useLink(ctx, address, l) },
	}
	keeper.Run(ctx)
}

// useLink offers the link for sending, and serves it until it closes.
func (p *peerLinks) useLink(ctx context.Context, address string, l *linker.Link) {
	p.mu.Lock()
	p.links[address] = l
	p.mu.Unlock()
	p.report.Info("member linked", "member", l.Peer.Member, "address", address)
	defer func() {
		p.report.Info("member link lost", "member", l.Peer.Member, "address", address)
		p.mu.Lock()
		if p.links[address] == l {
			delete(p.links, address)
		}
		p.mu.Unlock()
	}()
	p.serve(ctx, l)
}
