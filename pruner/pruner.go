package pruner

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// fullParts is the part of the bound, one in fullParts, that must be free again
// before reaching the bound is told anew.
const fullParts = 10

// Pruner bounds the connections that the servers of a process have accepted. It
// answers callers and workers that keep more of them open than the host has
// descriptors: nothing could be opened then, the files of the log among it. A
// connection without a request is closed first, and its owner opens another one.
type Pruner struct {
	// Most is the largest number of connections; 0 means any.
	Most int
	// Full is told once when the bound is reached.
	Full func(most int)
	// Pruned is told of each connection that was closed.
	Pruned func()

	mu   sync.Mutex
	open int
	// unused holds the connections without a request, the one that has been so
	// for longest in front, and places where each of them is.
	unused list.List
	places map[net.Conn]*list.Element
	full   bool
}

// ConnState follows the connections of an http.Server.
func (p *Pruner) ConnState(conn net.Conn, state http.ConnState) {
	if p.Most <= 0 {
		return
	}
	if victim := p.follow(conn, state); victim != nil {
		p.Pruned()
		// Its owner finds it closed, whatever the error.
		_ = victim.Close()
	}
}

// follow notes the state of a connection and returns one that is to be closed.
func (p *Pruner) follow(conn net.Conn, state http.ConnState) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.places == nil {
		p.places = make(map[net.Conn]*list.Element)
	}
	if place := p.places[conn]; place != nil {
		p.unused.Remove(place)
		delete(p.places, conn)
	}
	switch state {
	case http.StateNew:
		p.open++
		p.places[conn] = p.unused.PushBack(conn)
	case http.StateIdle:
		p.places[conn] = p.unused.PushBack(conn)
	case http.StateHijacked, http.StateClosed:
		p.open--
		if p.open < p.Most-p.Most/fullParts {
			p.full = false
		}
	}
	if state != http.StateNew || p.open <= p.Most {
		return nil
	}
	if !p.full {
		p.full = true
		p.Full(p.Most)
	}
	// The new connection itself is among those without a request.
	victim := p.unused.Remove(p.unused.Front()).(net.Conn)
	delete(p.places, victim)
	return victim
}
