package soaker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections to one address and injects network faults.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns map[*pipe]bool
	// abandoned has the connections from other hosts that are still open although
	// the host at the target is gone.
	abandoned []net.Conn
	delay     atomic.Int64
	// silenceNew makes new connections silent in both directions: they stay
	// open and forward nothing.
	silenceNew atomic.Bool
	// isSeparated reports whether a partition separates the process that has opened a
	// connection from the target.
	isSeparated func(client net.Conn) bool
	// vanished is set when the host at the target is gone without a trace: no
	// connection gets an answer, a reset or an end any more.
	vanished atomic.Bool
}

// pipe is one connection through the proxy.
type pipe struct {
	client, server net.Conn
	// silenced holds back the bytes to the target (0) or from it (1).
	silenced [2]atomic.Bool
	// separated is set while a partition silences the connection.
	separated atomic.Bool
}

func (c *pipe) silence(directions ...int) {
	for _, d := range directions {
		c.silenced[d].Store(true)
	}
}

func (c *pipe) separate() {
	c.separated.Store(true)
	c.silence(0, 1)
}

func newProxy(address, target string, isSeparated func(client net.Conn) bool) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: make(map[*pipe]bool), isSeparated: isSeparated}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if p.vanished.Load() {
		p.abandon(client)
		return
	}
	if err != nil {
		reset(client)
		return
	}
	c := &pipe{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	// A fault that begins after the connection was added sees it there.
	if p.silenceNew.Load() {
		c.silence(0, 1)
	}
	if p.isSeparated(client) {
		c.separate()
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(c, 0, server, client) })
	directions.Go(func() { p.copy(c, 1, client, server) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards bytes in one direction until either connection is closed.
func (p *proxy) copy(c *pipe, direction int, to, from net.Conn) {
	defer func() {
		if p.vanished.Load() {
			p.abandon(c.client)
			_ = c.server.Close()
			return
		}
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if wait := time.Duration(p.delay.Load()); wait > 0 {
				time.Sleep(wait)
			}
			for c.silenced[direction].Load() {
				// The bytes held back are lost when the connection closes.
				time.Sleep(silenceCheckInterval)
				if p.isClosed(c) {
					return
				}
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF && !p.vanished.Load() {
				reset(to)
			}
			return
		}
	}
}

// abandon keeps a connection open without reading from it until the proxy closes.
func (p *proxy) abandon(client net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = append(p.abandoned, client)
}

// silenceCheckInterval is the time between two checks of whether a silenced
// connection has been closed.
const silenceCheckInterval = 50 * time.Millisecond

func (p *proxy) isClosed(c *pipe) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.conns[c]
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// eachConn calls visit for each open connection while it holds the lock.
func (p *proxy) eachConn(visit func(*pipe)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		visit(c)
	}
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.eachConn(func(c *pipe) {
		delete(p.conns, c)
		reset(c.client)
		reset(c.server)
	})
}

// silence stops the open connections from forwarding in the given directions
// until they close. With both directions, connections opened before heal are
// silent too.
func (p *proxy) silence(directions ...int) {
	p.silenceNew.Store(len(directions) > 1)
	p.eachConn(func(c *pipe) { c.silence(directions...) })
}

// separate silences the open connections that the partition separates.
func (p *proxy) separate() {
	p.eachConn(func(c *pipe) {
		if p.isSeparated(c.client) {
			c.separate()
		}
	})
}

// resetSeparated resets the connections that a partition has silenced.
func (p *proxy) resetSeparated() {
	p.eachConn(func(c *pipe) {
		if c.separated.Load() {
			delete(p.conns, c)
			reset(c.client)
			reset(c.server)
		}
	})
}

// heal ends the delay, lets new connections forward, and resets the silenced ones.
func (p *proxy) heal() {
	p.silenceNew.Store(false)
	p.delay.Store(0)
	p.eachConn(func(c *pipe) {
		if c.silenced[0].Load() || c.silenced[1].Load() {
			delete(p.conns, c)
			reset(c.client)
			reset(c.server)
		}
	})
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.abandoned {
		reset(c)
	}
}
