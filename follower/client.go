package follower

import (
	"context"
	"slices"
	"sync"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
)

// Client keeps a process's links to the control processes and sends calls to
// the one that leads.
type Client struct {
	hello modeler.Hello
	hooks Hooks

	mu           sync.Mutex
	sequence     modeler.Sequence
	pendingCalls map[modeler.Sequence]*pendingCall
	hellos       map[*linker.Link]modeler.Hello
	// leaderChanged is closed when another leader is reached.
	leaderChanged chan struct{}
	// fixed and seeds are the addresses given by KeepLinks and SetSeeds.
	fixed, seeds []string
	// stopKeeper has the function that ends the keeper of each address.
	stopKeeper map[string]context.CancelFunc
}

// Hooks are functions that the client calls on the goroutines of its links;
// those that are nil are skipped.
type Hooks struct {
	// LeaderUp and LeaderDown are called when the link to the leader of a term is
	// opened and closed.
	LeaderUp   func(ctx context.Context, term modeler.Term)
	LeaderDown func(ctx context.Context, term modeler.Term)
	// Connect opens the links instead of the network's dialer.
	Connect linker.Connect
	// Message is called with each message that is not the answer to a call.
	Message func(ctx context.Context, l *linker.Link, m *modeler.Message)
}

// pendingCall is a call that waits for its answer over one link.
type pendingCall struct {
	link   *linker.Link
	answer chan *modeler.Message
}

// New returns a client without links; hello is its first message on each link.
func New(hello modeler.Hello, hooks Hooks) *Client {
	return &Client{
		hello:        hello,
		hooks:        hooks,
		pendingCalls: make(map[modeler.Sequence]*pendingCall),
		hellos:       make(map[*linker.Link]modeler.Hello),
		stopKeeper:   make(map[string]context.CancelFunc),

		leaderChanged: make(chan struct{}),
	}
}

// KeepLinks keeps links to these addresses, and to the members that the processes
// there name, until ctx ends.
func (c *Client) KeepLinks(ctx context.Context, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if !slices.Contains(c.fixed, address) {
			c.fixed = append(c.fixed, address)
		}
	}
	c.updateKeepers(ctx)
}

// SetSeeds is KeepLinks for addresses that replace those of its last call.
func (c *Client) SetSeeds(ctx context.Context, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(addresses)
	c.updateKeepers(ctx)
}

// updateKeepers starts a keeper for each wanted address that has none, and ends
// those of former members and seeds. The leader says who the members are. Without
// a leader no keeper is ended, since any of the addresses may lead to the next one.
func (c *Client) updateKeepers(ctx context.Context) {
	wanted := slices.Concat(c.fixed, c.seeds)
	leader := c.leaderLocked()
	for l, h := range c.hellos {
		if leader == nil || l == leader || h.Term > c.hellos[leader].Term {
			wanted = append(wanted, h.Members...)
		}
	}
	for _, address := range wanted {
		if c.stopKeeper[address] == nil {
			c.stopKeeper[address] = c.startKeeper(ctx, address)
		}
	}
	if leader == nil {
		return
	}
	for address, stop := range c.stopKeeper {
		if !slices.Contains(wanted, address) {
			stop()
			delete(c.stopKeeper, address)
		}
	}
}

func (c *Client) startKeeper(ctx context.Context, address string) context.CancelFunc {
	keeperCtx, stop := context.WithCancel(ctx)
	keeper := linker.Keeper{
		Address: address,
		Connect: c.hooks.Connect,
		Hello:   func() modeler.Hello { return c.hello },
		OnLink: func(linkCtx context.Context, l *linker.Link) {
			// serveLink starts keepers, which must outlive this one.
			c.serveLink(ctx, linkCtx, l)
		},
	}
	go keeper.Run(keeperCtx)
	return stop
}

// serveLink handles the messages of one link until it closes or linkCtx ends. Keepers
// that it starts run until ctx ends.
func (c *Client) serveLink(ctx, linkCtx context.Context, l *linker.Link) {
	c.handleHello(ctx, l, l.Peer)
	defer c.handleLinkClosed(ctx, l)
	for {
		select {
		case m, open := <-l.Receive():
			if !open {
				return
			}
			c.handleMessage(ctx, l, m)
		case <-linkCtx.Done():
			return
		}
	}
}

// handleHello records a hello, links to the members that it names, and reports
// a leader.
func (c *Client) handleHello(ctx context.Context, l *linker.Link, h modeler.Hello) {
	c.mu.Lock()
	c.hellos[l] = h
	if h.IsLeader && c.leaderLocked() == l {
		close(c.leaderChanged)
		c.leaderChanged = make(chan struct{})
		c.failCallsToOthers(l)
	}
	c.updateKeepers(ctx)
	c.mu.Unlock()
	if h.IsLeader && c.hooks.LeaderUp != nil {
		c.hooks.LeaderUp(ctx, h.Term)
	}
}

// failCallsToOthers fails the calls that wait for an answer of another process
// than the new leader.
func (c *Client) failCallsToOthers(leader *linker.Link) {
	for sequence, pending := range c.pendingCalls {
		if pending.link != leader {
			delete(c.pendingCalls, sequence)
			close(pending.answer)
		}
	}
}

// LeaderChanged returns a channel that is closed when another leader is reached.
func (c *Client) LeaderChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderChanged
}

// handleLinkClosed fails the calls that wait on a closed link, and reports the
// loss of the leader if the link led to it.
func (c *Client) handleLinkClosed(ctx context.Context, l *linker.Link) {
	if h := c.dropLink(ctx, l); h.IsLeader && c.hooks.LeaderDown != nil {
		c.hooks.LeaderDown(ctx, h.Term)
	}
}

func (c *Client) dropLink(ctx context.Context, l *linker.Link) modeler.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hellos[l]
	delete(c.hellos, l)
	c.updateKeepers(ctx)
	for sequence, pending := range c.pendingCalls {
		if pending.link == l {
			delete(c.pendingCalls, sequence)
			close(pending.answer)
		}
	}
	return h
}

func (c *Client) handleMessage(ctx context.Context, l *linker.Link, m *modeler.Message) {
	switch m.Kind {
	case modeler.HelloMessage:
		if m.Hello != nil {
			c.handleHello(ctx, l, *m.Hello)
		}
	case modeler.ProposalAnswerMessage, modeler.QueryAnswerMessage, modeler.HeartbeatAnswersMessage, modeler.ReplyMessage:
		c.deliverAnswer(m)
	default:
		if c.hooks.Message != nil {
			c.hooks.Message(ctx, l, m)
		}
	}
}

func (c *Client) deliverAnswer(m *modeler.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending, found := c.pendingCalls[m.Sequence]
	if !found {
		return
	}
	delete(c.pendingCalls, m.Sequence)
	pending.answer <- m
}

// Leader returns the link to the leader of the highest term, or nil.
func (c *Client) Leader() *linker.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderLocked()
}

// Refuses reports whether the leader accepts no new flows for now.
func (c *Client) Refuses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.leaderLocked()
	return l != nil && c.hellos[l].RefusesFlows
}

func (c *Client) leaderLocked() *linker.Link {
	var found *linker.Link
	var term modeler.Term
	for l, h := range c.hellos {
		if h.IsLeader && (found == nil || h.Term > term) {
			found = l
			term = h.Term
		}
	}
	return found
}

// Send sends a message to the leader; without a leader the message is dropped.
func (c *Client) Send(m *modeler.Message) {
	if l := c.Leader(); l != nil {
		l.Send(m)
	}
}

// Do sends a message to the leader and waits for the answer. The error's kind
// is NoLeader if nothing was sent, and ProposalLost if the leader may have
// received the message.
func (c *Client) Do(ctx context.Context, m *modeler.Message) (*modeler.Message, error) {
	pending := &pendingCall{answer: make(chan *modeler.Message, 1)}
	c.mu.Lock()
	l := c.leaderLocked()
	if l == nil {
		c.mu.Unlock()
		return nil, classifier.New(classifier.NoLeader, "no leader is known")
	}
	pending.link = l
	c.sequence++
	sequence := c.sequence
	m.Sequence = sequence
	c.pendingCalls[sequence] = pending
	c.mu.Unlock()
	if !l.Send(m) {
		c.forgetCall(sequence)
		return nil, classifier.New(classifier.NoLeader, "the link to the leader is closed")
	}
	select {
	case answer, ok := <-pending.answer:
		if !ok {
			return nil, classifier.New(classifier.ProposalLost, "the link to the leader was lost")
		}
		return answer, nil
	case <-ctx.Done():
		c.forgetCall(sequence)
		return nil, classifier.New(classifier.ProposalLost, "the leader has not answered in time")
	}
}

func (c *Client) forgetCall(sequence modeler.Sequence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingCalls, sequence)
}

// Links returns the number of open links.
func (c *Client) Links() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.hellos)
}
