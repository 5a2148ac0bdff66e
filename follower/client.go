package follower

import (
	"context"
	"slices"
	"sync"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
)

// Client is a process's side of its links to the control processes.
type Client struct {
	hello modeler.Hello
	seams Seams

	mu       sync.Mutex
	sequence modeler.Sequence
	calls    map[modeler.Sequence]*call
	peers    map[*linker.Link]modeler.Hello
	// changed is closed when another leader is reached.
	changed chan struct{}
	// running are the addresses that have a keeper.
	running []string
}

// Seams are called on the goroutines of the links; a nil one is left out.
type Seams struct {
	// LeaderUp and LeaderDown tell of the link to the leader of a term.
	LeaderUp   func(ctx context.Context, term modeler.Term)
	LeaderDown func(ctx context.Context, term modeler.Term)
	// Message takes what answers no call.
	Message func(ctx context.Context, l *linker.Link, m *modeler.Message)
}

// call waits for one answer over one link.
type call struct {
	link   *linker.Link
	answer chan *modeler.Message
}

// New returns a client without links.
func New(hello modeler.Hello, seams Seams) *Client {
	return &Client{
		hello: hello,
		seams: seams,
		calls: make(map[modeler.Sequence]*call),
		peers: make(map[*linker.Link]modeler.Hello),

		changed: make(chan struct{}),
	}
}

// Keep starts a keeper for each address that has none yet.
func (c *Client) Keep(ctx context.Context, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if slices.Contains(c.running, address) {
			continue
		}
		c.running = append(c.running, address)
		keeper := linker.Keeper{
			Address: address,
			Hello:   func() modeler.Hello { return c.hello },
			Up:      c.up,
		}
		go keeper.Run(ctx)
	}
}

// up serves one link until it closes.
func (c *Client) up(ctx context.Context, l *linker.Link) {
	c.greet(ctx, l, l.Peer)
	defer c.down(ctx, l)
	for {
		select {
		case m, open := <-l.Receive():
			if !open {
				return
			}
			c.receive(ctx, l, m)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) greet(ctx context.Context, l *linker.Link, h modeler.Hello) {
	c.mu.Lock()
	c.peers[l] = h
	if h.IsLeader && c.leaderLocked() == l {
		close(c.changed)
		c.changed = make(chan struct{})
		c.failOthers(l)
	}
	c.mu.Unlock()
	c.Keep(ctx, h.Members)
	if h.IsLeader && c.seams.LeaderUp != nil {
		c.seams.LeaderUp(ctx, h.Term)
	}
}

// failOthers fails the calls that wait for a leader which another one has
// replaced.
func (c *Client) failOthers(leader *linker.Link) {
	for sequence, waiting := range c.calls {
		if waiting.link != leader {
			delete(c.calls, sequence)
			close(waiting.answer)
		}
	}
}

// Changed returns a channel that is closed when another leader is reached.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// down fails the calls that wait on the link and tells if it was that to the
// leader.
func (c *Client) down(ctx context.Context, l *linker.Link) {
	if h := c.forget(l); h.IsLeader && c.seams.LeaderDown != nil {
		c.seams.LeaderDown(ctx, h.Term)
	}
}

func (c *Client) forget(l *linker.Link) modeler.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.peers[l]
	delete(c.peers, l)
	for sequence, waiting := range c.calls {
		if waiting.link == l {
			delete(c.calls, sequence)
			close(waiting.answer)
		}
	}
	return h
}

func (c *Client) receive(ctx context.Context, l *linker.Link, m *modeler.Message) {
	switch m.Kind {
	case modeler.HelloMessage:
		if m.Hello != nil {
			c.greet(ctx, l, *m.Hello)
		}
	case modeler.ProposalAnswerMessage, modeler.QueryAnswerMessage, modeler.HeartbeatAnswersMessage, modeler.ReplyMessage:
		c.finish(m)
	default:
		if c.seams.Message != nil {
			c.seams.Message(ctx, l, m)
		}
	}
}

func (c *Client) finish(m *modeler.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, found := c.calls[m.Sequence]
	if !found {
		return
	}
	delete(c.calls, m.Sequence)
	waiting.answer <- m
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
	return l != nil && c.peers[l].RefusesFlows
}

func (c *Client) leaderLocked() *linker.Link {
	var found *linker.Link
	var term modeler.Term
	for l, h := range c.peers {
		if h.IsLeader && (found == nil || h.Term > term) {
			found = l
			term = h.Term
		}
	}
	return found
}

// Send passes a message to the leader, if there is one.
func (c *Client) Send(m *modeler.Message) {
	if l := c.Leader(); l != nil {
		l.Send(m)
	}
}

// Do sends a message to the leader and waits for the answer. The kind is
// NoLeader when nothing was sent and ProposalLost when that isn't certain.
func (c *Client) Do(ctx context.Context, m *modeler.Message) (*modeler.Message, error) {
	waiting := &call{answer: make(chan *modeler.Message, 1)}
	c.mu.Lock()
	l := c.leaderLocked()
	if l == nil {
		c.mu.Unlock()
		return nil, classifier.New(classifier.NoLeader, "no leader is known")
	}
	waiting.link = l
	c.sequence++
	sequence := c.sequence
	m.Sequence = sequence
	c.calls[sequence] = waiting
	c.mu.Unlock()
	if !l.Send(m) {
		c.abandon(sequence)
		return nil, classifier.New(classifier.NoLeader, "the link to the leader is closed")
	}
	select {
	case answer, ok := <-waiting.answer:
		if !ok {
			return nil, classifier.New(classifier.ProposalLost, "the link to the leader was lost")
		}
		return answer, nil
	case <-ctx.Done():
		c.abandon(sequence)
		return nil, classifier.New(classifier.ProposalLost, "the leader has not answered in time")
	}
}

func (c *Client) abandon(sequence modeler.Sequence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, sequence)
}

// Links counts the open links.
func (c *Client) Links() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers)
}
