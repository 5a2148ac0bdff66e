package follower_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/follower"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
)

// maxPause is longer than any pause between two dials in the first ten seconds.
const maxPause = time.Second

// member is a control process that accepts links; each hello in hellos is sent over
// the newest link.
func member(t *testing.T, hellos <-chan modeler.Hello) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := linker.Accept(w, r, modeler.Hello{Member: 1})
		if err != nil {
			return
		}
		defer l.Close()
		for {
			select {
			case hello := <-hellos:
				l.Send(&modeler.Message{Kind: modeler.HelloMessage, Hello: &hello})
			case <-l.Done():
				return
			}
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// departed returns the address of a host that accepts no links, and the count of
// attempts to open one.
func departed(t *testing.T) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	dials := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String(), dials
}

// isDialled reports whether the address is still dialled.
func isDialled(dials *atomic.Int64) bool {
	time.Sleep(maxPause)
	before := dials.Load()
	time.Sleep(maxPause)
	return dials.Load() > before
}

// Guards against former members and former seeds that every process goes on dialling for good.
func TestFormerHostsAreNotDialled(t *testing.T) {
	t.Parallel()
	hellos := make(chan modeler.Hello, 1)
	address := member(t, hellos)
	formerMember, memberDials := departed(t)
	formerSeed, seedDials := departed(t)
	client := follower.New(modeler.Hello{Entry: "e"}, follower.Hooks{})
	client.SetSeeds(t.Context(), []string{address, formerSeed})
	hellos <- modeler.Hello{Member: 1, Term: 1, IsLeader: true, Members: []string{address, formerMember}}
	assert.Assert(t, isDialled(memberDials))
	assert.Assert(t, isDialled(seedDials))
	client.SetSeeds(t.Context(), []string{address})
	assert.Assert(t, !isDialled(seedDials), "a former seed is dialled")
	hellos <- modeler.Hello{Member: 1, Term: 1, IsLeader: true, Members: []string{address}}
	assert.Assert(t, !isDialled(memberDials), "a former member is dialled")
	assert.Equal(t, client.Links(), 1)
}

// Guards against a process that loses the addresses of members while no leader says who they are.
func TestMembersAreDialledWithoutLeader(t *testing.T) {
	t.Parallel()
	hellos := make(chan modeler.Hello, 1)
	address := member(t, hellos)
	other, dials := departed(t)
	client := follower.New(modeler.Hello{Entry: "e"}, follower.Hooks{})
	client.SetSeeds(t.Context(), []string{address})
	hellos <- modeler.Hello{Member: 1, Term: 1, IsLeader: true, Members: []string{address, other}}
	assert.Assert(t, isDialled(dials))
	hellos <- modeler.Hello{Member: 1, Term: 1, Members: []string{address}}
	assert.Assert(t, isDialled(dials), "a member is not dialled")
	client.SetSeeds(t.Context(), []string{address})
	assert.Assert(t, isDialled(dials), "a member is not dialled")
}
