package pruner

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// rearmDivisor sets the part of Pruner.MaxConnections, a tenth, that must be free again
// before Pruner.OnBoundReached is called once more.
const rearmDivisor = 10

// Pruner bounds the number of connections that the servers of a process have
// accepted. Without a bound, callers and workers could keep more connections
// open than the host has file descriptors, and the process could open nothing
// else, such as the files of its log. It closes the connection that has been
// without a request for longest; its peer can open another one.
type Pruner struct {
	// MaxConnections is the largest number of connections; 0 means no bound.
	MaxConnections int
	// OnBoundReached is called when the number of connections exceeds MaxConnections, and again
	// only after it has fallen below nine tenths of MaxConnections in between.
	OnBoundReached func(most int)
	// OnClosed is called for each connection that is closed.
	OnClosed func()

	mu              sync.Mutex
	openConnections int
	// unused holds the connections without a request, the longest unused one in
	// front, and unusedElements the list element of each.
	unused         list.List
	unusedElements map[net.Conn]*list.Element
	boundReached   bool
}

// ConnState tracks the state of a connection. It is the ConnState callback of
// an http.Server.
func (p *Pruner) ConnState(conn net.Conn, state http.ConnState) {
	if p.MaxConnections <= 0 {
		return
	}
	if oldest := p.updateState(conn, state); oldest != nil {
		p.OnClosed()
		// An error of Close doesn't matter: the peer finds the connection
		// closed.
		_ = oldest.Close()
	}
}

// updateState records the state of a connection and returns the connection that
// is to be closed, or nil.
func (p *Pruner) updateState(conn net.Conn, state http.ConnState) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unusedElements == nil {
		p.unusedElements = make(map[net.Conn]*list.Element)
	}
	if element := p.unusedElements[conn]; element != nil {
		p.unused.Remove(element)
		delete(p.unusedElements, conn)
	}
	switch state {
	case http.StateNew:
		p.openConnections++
		p.unusedElements[conn] = p.unused.PushBack(conn)
	case http.StateIdle:
		p.unusedElements[conn] = p.unused.PushBack(conn)
	case http.StateHijacked, http.StateClosed:
		p.openConnections--
		if p.openConnections < p.MaxConnections-p.MaxConnections/rearmDivisor {
			p.boundReached = false
		}
	}
	if state != http.StateNew || p.openConnections <= p.MaxConnections {
		return nil
	}
	if !p.boundReached {
		p.boundReached = true
		p.OnBoundReached(p.MaxConnections)
	}
	// The list isn't empty: the new connection itself has no request yet.
	oldest := p.unused.Remove(p.unused.Front()).(net.Conn)
	delete(p.unusedElements, oldest)
	return oldest
}
