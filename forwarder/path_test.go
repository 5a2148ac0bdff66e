package forwarder_test

import (
	"net"
	"sync"
	"testing"
)

// cuttableProxy forwards TCP connections to a target. Once cut, it keeps its
// connections open but forwards nothing.
type cuttableProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []net.Conn
	isOff bool
}

func newCuttableProxy(t testing.TB, target string) *cuttableProxy {
	p := &cuttableProxy{listener: listen(t), target: target}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *cuttableProxy) address() string { return p.listener.Addr().String() }

func (p *cuttableProxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, near, far)
		p.mu.Unlock()
		go p.forward(near, far)
		go p.forward(far, near)
	}
}

func (p *cuttableProxy) forward(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.isCut() {
			return
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (p *cuttableProxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isOff
}

func (p *cuttableProxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isOff = true
}

func (p *cuttableProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}
