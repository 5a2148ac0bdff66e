package linker

import (
	"context"
	"math/rand/v2"
	"time"

	"goldcreststack.example/goldcreststack/clocker"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	minRedialPause = 50 * time.Millisecond
	// maxRedialPauseAfterLoss is the longest pause between two dials in the first
	// afterLossPeriod after a link was lost, while the other process is likely to
	// come back: a restart takes half a second, and the whole cell waits for its
	// links.
	maxRedialPauseAfterLoss = 300 * time.Millisecond
	afterLossPeriod         = 10 * time.Second
	// maxRedialPause is the longest pause between two dials after that.
	maxRedialPause = time.Second
)

// Keeper keeps a link to one address open.
type Keeper struct {
	Address string
	Hello   func() modeler.Hello
	// OnLink is called with each new link; the link is closed when it returns.
	OnLink func(ctx context.Context, l *Link)
	// RedialNow, when it receives a value, ends the wait before the next dial, or a
	// dial that is under way; nil disables this.
	RedialNow <-chan struct{}
	// Connect, if set, opens the connections instead of the network's dialer.
	Connect Connect
	// Clock, if set, replaces the clock that counts suspensions of the host.
	Clock func() modeler.ClockReading
}

// Run opens a link, and opens it again after each loss, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	pause, lostAt := minRedialPause, time.Now()
	for ctx.Err() == nil {
		l, wasWoken, err := k.dial(ctx)
		switch {
		case wasWoken:
			pause = minRedialPause
			continue
		case err == nil:
			pause = minRedialPause
			k.OnLink(ctx, l)
			l.Close()
			lostAt = time.Now()
		case time.Since(lostAt) < afterLossPeriod:
			pause = min(pause*2, maxRedialPauseAfterLoss)
		default:
			pause = min(pause*2, maxRedialPause)
		}
		if k.wait(ctx, pause) {
			pause = minRedialPause
		}
	}
}

// dial opens a link. It also reports whether RedialNow has ended the attempt: the
// dial may have hung since before the other process came back.
func (k *Keeper) dial(ctx context.Context) (*Link, bool, error) {
	open := k.Connect
	if open == nil {
		open = connect
	}
	clock := k.Clock
	if clock == nil {
		clock = clocker.New().Now
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended, woken := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-k.RedialNow:
			cancel()
			woken <- true
		case <-ended:
			woken <- false
		}
	}()
	l, err := dial(ctx, open, clock, k.Address, k.Hello())
	close(ended)
	return l, <-woken && err != nil, err
}

// wait sleeps for about pause; the random part keeps many processes from
// dialling a restarted one at the same moment. It reports whether RedialNow has
// ended the wait.
func (k *Keeper) wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-k.RedialNow:
		return true
	}
	return false
}
