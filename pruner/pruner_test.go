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

// peer is the far end of a connection.
type peer struct{ net.Conn }

// closed reports whether the near end was closed.
func (p peer) closed(t *testing.T) bool {
	if err := p.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		assert.Equal(t, err, io.ErrClosedPipe)
		return true
	}
	_, err := p.Read(make([]byte, 1))
	return err == io.EOF
}

// Guards against a process that can open nothing any more, its log's files among
// it, because others keep connections open, and against one that closes those in
// use or tells of it for each.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	full, pruned := 0, 0
	p := &pruner.Pruner{Most: 3, Full: func(int) { full++ }, Pruned: func() { pruned++ }}
	var near []net.Conn
	var far []peer
	accept := func() int {
		a, b := net.Pipe()
		near, far = append(near, a), append(far, peer{b})
		p.ConnState(a, http.StateNew)
		return len(near) - 1
	}
	busy, idle, older := accept(), accept(), accept()
	p.ConnState(near[busy], http.StateActive)
	p.ConnState(near[older], http.StateActive)
	p.ConnState(near[older], http.StateIdle)
	p.ConnState(near[idle], http.StateActive)
	p.ConnState(near[idle], http.StateIdle)
	assert.Equal(t, pruned, 0)
	fresh := accept()
	assert.Assert(t, far[older].closed(t), "the connection that was unused for longest is still open")
	p.ConnState(near[older], http.StateClosed)
	for _, i := range []int{busy, idle, fresh} {
		assert.Assert(t, !far[i].closed(t), "connection %d was closed", i)
	}
	p.ConnState(near[fresh], http.StateActive)
	p.ConnState(near[idle], http.StateActive)
	last := accept()
	assert.Assert(t, far[last].closed(t), "a connection beyond the bound is open although all others are in use")
	p.ConnState(near[last], http.StateClosed)
	assert.Equal(t, pruned, 2)
	assert.Equal(t, full, 1)

	// Once there is room again, the next time is told too.
	p.ConnState(near[busy], http.StateClosed)
	p.ConnState(near[idle], http.StateHijacked)
	accept()
	accept()
	accept()
	assert.Equal(t, full, 2)
}

// Guards against a bound where the host states none.
func TestNoBound(t *testing.T) {
	p := &pruner.Pruner{}
	for range 100 {
		a, b := net.Pipe()
		p.ConnState(a, http.StateNew)
		assert.Assert(t, !peer{b}.closed(t))
	}
}
