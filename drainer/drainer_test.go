package drainer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/drainer"
)

// isRead reports whether WaitUntilRead returns.
func isRead(t *testing.T, l *drainer.Listener) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	l.WaitUntilRead(ctx)
	return ctx.Err() == nil
}

// isUnread reports whether WaitUntilRead waits until its context ends.
func isUnread(t *testing.T, l *drainer.Listener) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	l.WaitUntilRead(ctx)
	return ctx.Err() != nil
}

// TestUnreadRequestsAreSeen guards against a shutdown that begins while a request
// waits in a socket, and against one that waits for connections without a request.
func TestUnreadRequestsAreSeen(t *testing.T) {
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := drainer.NewListener(bound)
	defer l.Close()
	assert.Assert(t, isRead(t, l), "nothing has arrived")

	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	send := func() {
		t.Helper()
		_, err := io.WriteString(caller, "x")
		assert.NilError(t, err)
	}
	assert.Assert(t, isUnread(t, l), "a connection waits to be accepted")
	conn, err := l.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle, http.StateIdle} {
		l.ConnState(conn, state)
		assert.Assert(t, isRead(t, l), "%s: no request has arrived", state)
		send()
		assert.Assert(t, isUnread(t, l), "%s: a request waits in the socket", state)
		_, err = conn.Read(make([]byte, 1))
		assert.NilError(t, err)
		assert.Assert(t, isUnread(t, l), "%s: the request is read but not served yet", state)
		l.ConnState(conn, http.StateActive)
		assert.Assert(t, isRead(t, l), "%s: the request is being served", state)
	}
	send()
	assert.Assert(t, isUnread(t, l), "the next request is there before the connection is idle")
	l.ConnState(conn, http.StateIdle)
	assert.Assert(t, isUnread(t, l), "the next request is there when the connection is idle")
	assert.NilError(t, conn.Close())
	assert.Assert(t, isRead(t, l), "a closed connection counts")
}
