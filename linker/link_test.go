package linker_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
)

// TestSilentLink guards against a link that stays open although the other
// side has sent nothing for more than a second.
func TestSilentLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := servePipes(t, func(w http.ResponseWriter, r *http.Request) {
			conn, err := websocket.Accept(w, r, nil)
			if err != nil {
				return
			}
			defer func() { _ = conn.CloseNow() }()
			hello, _ := cbor.Marshal(&modeler.Message{Kind: modeler.HelloMessage, Hello: &modeler.Hello{Member: 2}})
			ping, _ := cbor.Marshal(&modeler.Message{Kind: modeler.PingMessage})
			_ = conn.Write(r.Context(), websocket.MessageBinary, hello)
			for range 6 {
				time.Sleep(250 * time.Millisecond)
				_ = conn.Write(r.Context(), websocket.MessageBinary, ping)
			}
			// The peer goes on reading and sends nothing more.
			for err == nil {
				_, _, err = conn.Read(r.Context())
			}
		})
		l := other.openLink(t)
		begun := time.Now()
		<-l.Done()
		took := time.Since(begun)
		assert.Assert(t, took > 2*time.Second, "closed after %s although pings arrived for 1.5 s", took)
		assert.Assert(t, took < 4*time.Second, "closed after %s", took)
	})
}

// serveLinks accepts links, each of which it sends to the channel.
func serveLinks(t *testing.T) (*pipeListener, <-chan *linker.Link) {
	linked := make(chan *linker.Link, 1)
	return servePipes(t, func(w http.ResponseWriter, r *http.Request) {
		if l, err := linker.Accept(w, r, modeler.Hello{Member: 2}); err == nil {
			linked <- l
			<-l.Done()
		}
	}), linked
}

// TestQuiet guards against a link that reports silence although pings arrive,
// or none after they have stopped.
func TestQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, linked := serveLinks(t)
		l, other := listener.openLink(t), <-linked
		for range 2 {
			// Each ping sets the silence back to zero.
			last, pinged := l.SilentFor(), false
			for end := time.Now().Add(5 * time.Second); !pinged && time.Now().Before(end); time.Sleep(time.Millisecond) {
				quiet := l.SilentFor()
				pinged = quiet < last
				last = quiet
			}
			assert.Assert(t, pinged, "no ping was heard")
		}
		other.Close()
		<-l.Done()
		before := l.SilentFor()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, l.SilentFor() >= before+100*time.Millisecond)
	})
}

// Guards against a link that closes, with all calls that wait on it, because of a
// string that isn't valid UTF-8, such as a caller's path.
func TestStringsOfAnyBytesArePassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, linked := serveLinks(t)
		l := listener.openLink(t)
		l.Send(&modeler.Message{Kind: modeler.CallMessage, Call: &modeler.Call{Kind: modeler.StateCall, Path: "/\xff/"}})
		m, open := <-(<-linked).Receive()
		assert.Assert(t, open, "the link was closed")
		assert.Equal(t, m.Call.Path, "/\xff/")
	})
}
