package main

import (
	"net"
	"sync"
	"time"
)

// link is the network between a worker and all others: a proxy that can be cut
// silently. While it is cut no byte passes and no connection is closed. Bytes that
// were held up are delivered afterwards, unless their sender has given the
// connection up.
type link struct {
	to string

	mu  sync.Mutex
	cut bool
}

// serve passes the connections on that come to the listener.
func (l *link) serve(listener net.Listener, to string) {
	l.to = to
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(in)
		}
	}()
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) connect(in net.Conn) {
	defer in.Close()
	gone := make(chan struct{})
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer out.Close()
	var ends sync.Once
	end := func() { ends.Do(func() { close(gone) }) }
	go l.pass(in, out, gone, end)
	go l.pass(out, in, gone, end)
	<-gone
}

// pass copies bytes from one side to the other; what the sender has given up
// during a cut is dropped.
func (l *link) pass(from, to net.Conn, gone chan struct{}, end func()) {
	defer end()
	pieces := make(chan []byte, 1024)
	go func() {
		defer end()
		for {
			piece := make([]byte, 64<<10)
			n, err := from.Read(piece)
			if n > 0 {
				pieces <- piece[:n]
			}
			if err != nil {
				if !l.isCut() {
					// What was sent before the end is delivered.
					time.Sleep(20 * time.Millisecond)
				}
				return
			}
		}
	}()
	for {
		select {
		case <-gone:
			return
		case piece := <-pieces:
			for l.isCut() {
				select {
				case <-gone:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
			if _, err := to.Write(piece); err != nil {
				return
			}
		}
	}
}
