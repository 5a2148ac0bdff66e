package linker_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
)

// bufferedPipe is one end of a net.Pipe whose writes don't wait for the reader:
// both sides of a link begin with a write.
type bufferedPipe struct {
	net.Conn
	out       chan []byte
	closed    chan struct{}
	closeOnce sync.Once
}

func newBufferedPipe(conn net.Conn) *bufferedPipe {
	p := &bufferedPipe{Conn: conn, out: make(chan []byte, 1024), closed: make(chan struct{})}
	go func() {
		for {
			select {
			case data := <-p.out:
				if _, err := conn.Write(data); err != nil {
					return
				}
			case <-p.closed:
				return
			}
		}
	}()
	return p
}

func (p *bufferedPipe) Write(data []byte) (int, error) {
	select {
	case p.out <- bytes.Clone(data):
		return len(data), nil
	case <-p.closed:
		return 0, io.ErrClosedPipe
	}
}

func (p *bufferedPipe) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return p.Conn.Close()
}

// pipeListener accepts the connections that its dial opens within the process, so
// that synctest controls the time of both sides.
type pipeListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// servePipes serves connections within the process until the test ends.
func servePipes(t *testing.T, handler http.HandlerFunc) *pipeListener {
	p := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(p) }()
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return p
}

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- newBufferedPipe(far):
		return newBufferedPipe(near), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// clockSince returns a clock that knows of no suspensions.
func clockSince(start time.Time) func() modeler.ClockReading {
	return func() modeler.ClockReading { return modeler.ClockReading(time.Since(start)) }
}

// openLink returns a link to the other side, which is kept open until it breaks.
func (p *pipeListener) openLink(t *testing.T) *linker.Link {
	up := make(chan *linker.Link, 1)
	keeper := linker.Keeper{
		Address: "other",
		Hello:   func() modeler.Hello { return modeler.Hello{Member: 1} },
		Connect: p.dial,
		Clock:   clockSince(time.Now()),
		OnLink: func(ctx context.Context, l *linker.Link) {
			up <- l
			<-ctx.Done()
		},
	}
	go keeper.Run(t.Context())
	return <-up
}
