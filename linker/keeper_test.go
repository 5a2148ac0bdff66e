package linker_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
)

// acceptLink accepts a link and waits until it closes.
func acceptLink(w http.ResponseWriter, r *http.Request) {
	if l, err := linker.Accept(w, r, modeler.Hello{Member: 2}); err == nil {
		<-l.Done()
	}
}

// TestWake guards against a restarted process that gets no answers until
// another process dials it again, which takes up to 1.5 s.
func TestWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := servePipes(t, acceptLink)
		var isUp atomic.Bool
		wake, up := make(chan struct{}, 1), make(chan time.Time, 1)
		keeper := linker.Keeper{
			Address:   "other",
			Hello:     func() modeler.Hello { return modeler.Hello{Member: 1} },
			RedialNow: wake,
			OnLink:    func(context.Context, *linker.Link) { up <- time.Now() },
			Connect: func(ctx context.Context, network, address string) (net.Conn, error) {
				if !isUp.Load() {
					return nil, syscall.ECONNREFUSED
				}
				return other.dial(ctx, network, address)
			},
		}
		go keeper.Run(t.Context())
		for range 3 {
			// The pause between two dials grows to its maximum meanwhile.
			time.Sleep(4 * time.Second)
			isUp.Store(true)
			begun := time.Now()
			wake <- struct{}{}
			took := (<-up).Sub(begun)
			isUp.Store(false)
			assert.Assert(t, took < 100*time.Millisecond, "dialled after %s", took)
		}
	})
}

// Guards against a dial to a host without power that still hangs after the host
// has come back.
func TestWakeEndsHangingDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := servePipes(t, acceptLink)
		wake, up, hangs, ended := make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
		defer close(ended)
		dials := 0
		keeper := linker.Keeper{
			Address:   "other",
			Hello:     func() modeler.Hello { return modeler.Hello{Member: 1} },
			RedialNow: wake,
			OnLink:    func(context.Context, *linker.Link) { up <- struct{}{} },
			Connect: func(ctx context.Context, network, address string) (net.Conn, error) {
				if dials++; dials == 1 {
					hangs <- struct{}{}
					<-ended
					return nil, syscall.ETIMEDOUT
				}
				return other.dial(ctx, network, address)
			},
		}
		go keeper.Run(t.Context())
		<-hangs
		begun := time.Now()
		wake <- struct{}{}
		<-up
		assert.Assert(t, time.Since(begun) < 100*time.Millisecond, "linked after %s", time.Since(begun))
	})
}

// Guards against a restarted process that is dialled only a second later, which
// is as long as a restart of all hosts takes. A host that loses power is back
// within 10 s.
func TestRedialedSoonAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		longest, last := time.Duration(0), time.Now()
		keeper := linker.Keeper{
			Address: "127.0.0.1:1",
			Hello:   func() modeler.Hello { return modeler.Hello{Member: 1} },
			Connect: func(context.Context, string, string) (net.Conn, error) {
				longest, last = max(longest, time.Since(last)), time.Now()
				return nil, io.EOF
			},
		}
		keeper.Run(ctx)
		assert.Assert(t, longest < 500*time.Millisecond, "%s between two dials", longest)
	})
}

// Guards against a process that was suspended and acts on messages sent to it
// before: the orders and permissions that waited in the connection may have
// expired.
func TestNothingIsTakenAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		send := make(chan struct{})
		defer close(send)
		other := servePipes(t, func(w http.ResponseWriter, r *http.Request) {
			l, err := linker.Accept(w, r, modeler.Hello{Member: 2})
			if err != nil {
				return
			}
			for range send {
				l.Send(&modeler.Message{Kind: modeler.QueryMessage})
			}
			<-l.Done()
		})
		var suspended atomic.Int64
		clock := clockSince(time.Now())
		up := make(chan *linker.Link, 1)
		keeper := linker.Keeper{
			Address: "other",
			Hello:   func() modeler.Hello { return modeler.Hello{Member: 1} },
			OnLink: func(ctx context.Context, l *linker.Link) {
				up <- l
				<-ctx.Done()
			},
			Connect: other.dial,
			Clock:   func() modeler.ClockReading { return clock().Add(time.Duration(suspended.Load())) },
		}
		go keeper.Run(t.Context())
		l := <-up
		send <- struct{}{}
		m := <-l.Receive()
		assert.Equal(t, m.Kind, modeler.QueryMessage)
		suspended.Store(int64(3 * time.Second))
		send <- struct{}{}
		_, open := <-l.Receive()
		assert.Assert(t, !open, "a message was taken after a suspension of three seconds")
	})
}

// Guards against messages that are taken after a suspension which began while the
// link wasn't waiting for one.
func TestSuspensionBetweenReadsIsNoticed(t *testing.T) {
	const sent = 5
	// The host is suspended right after one of the first readings of its clock.
	for before := range int64(sent) {
		synctest.Test(t, func(t *testing.T) {
			var links, readings, taken atomic.Int64
			other := servePipes(t, func(w http.ResponseWriter, r *http.Request) {
				if links.Add(1) > 1 {
					return
				}
				l, err := linker.Accept(w, r, modeler.Hello{Member: 2})
				if err != nil {
					return
				}
				for range sent {
					l.Send(&modeler.Message{Kind: modeler.QueryMessage})
				}
				<-l.Done()
			})
			keeper := linker.Keeper{
				Address: "other",
				Hello:   func() modeler.Hello { return modeler.Hello{Member: 1} },
				OnLink: func(ctx context.Context, l *linker.Link) {
					defer context.AfterFunc(ctx, l.Close)()
					for range l.Receive() {
						taken.Add(1)
					}
				},
				Connect: other.dial,
				Clock: func() modeler.ClockReading {
					if readings.Add(1) <= before+1 {
						return 0
					}
					return modeler.ClockReading(3 * time.Second)
				},
			}
			go keeper.Run(t.Context())
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, readings.Load() > before+1)
			// Each message taken must have been followed by a reading of its own that
			// shows no suspension, beside the one at the opening of the link.
			assert.Assert(t, taken.Load() <= before, "%d messages were taken after a suspension of three seconds", taken.Load()-before)
		})
	}
}
