package pruner_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/pruner"
)

// remoteConn is the remote end of a connection.
type remoteConn struct{ net.Conn }

// isClosed reports whether the local end was closed.
func (p remoteConn) isClosed(t *testing.T) bool {
	if err := p.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		assert.Equal(t, err, io.ErrClosedPipe)
		return true
	}
	_, err := p.Read(make([]byte, 1))
	return err == io.EOF
}

// TestUnusedConnectionsAreClosed guards against a process that can open nothing
// any more, such as the files of its log, because peers keep connections open.
// It also guards against closing connections in use, and against calling OnBoundReached
// for each connection beyond the bound.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	boundCalls, prunedCalls := 0, 0
	p := &pruner.Pruner{MaxConnections: 3, OnBoundReached: func(int) { boundCalls++ }, OnClosed: func() { prunedCalls++ }}
	var local []net.Conn
	var remote []remoteConn
	accept := func() int {
		a, b := net.Pipe()
		local, remote = append(local, a), append(remote, remoteConn{b})
		p.ConnState(a, http.StateNew)
		return len(local) - 1
	}
	inUse, idle, oldest := accept(), accept(), accept()
	p.ConnState(local[inUse], http.StateActive)
	p.ConnState(local[oldest], http.StateActive)
	p.ConnState(local[oldest], http.StateIdle)
	p.ConnState(local[idle], http.StateActive)
	p.ConnState(local[idle], http.StateIdle)
	assert.Equal(t, prunedCalls, 0)
	newest := accept()
	assert.Assert(t, remote[oldest].isClosed(t), "the longest unused connection is still open")
	p.ConnState(local[oldest], http.StateClosed)
	for _, i := range []int{inUse, idle, newest} {
		assert.Assert(t, !remote[i].isClosed(t), "connection %d was closed", i)
	}
	p.ConnState(local[newest], http.StateActive)
	p.ConnState(local[idle], http.StateActive)
	last := accept()
	assert.Assert(t, remote[last].isClosed(t), "a connection beyond the bound is open although all others are in use")
	p.ConnState(local[last], http.StateClosed)
	assert.Equal(t, prunedCalls, 2)
	assert.Equal(t, boundCalls, 1)

	// OnBoundReached is called again after the number of connections has fallen.
	p.ConnState(local[inUse], http.StateClosed)
	p.ConnState(local[idle], http.StateHijacked)
	accept()
	accept()
	accept()
	assert.Equal(t, boundCalls, 2)
}

// TestNoBound guards against closing connections when MaxConnections is 0 because the
// host states no limit.
func TestNoBound(t *testing.T) {
	p := &pruner.Pruner{}
	for range 100 {
		a, b := net.Pipe()
		p.ConnState(a, http.StateNew)
		assert.Assert(t, !remoteConn{b}.isClosed(t))
	}
}
