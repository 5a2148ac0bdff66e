package linker

import (
	"context"
	"math/rand/v2"
	"time"

	"goldcreststack.example/goldcreststack/clocker"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	redialMin = 50 * time.Millisecond
	// redialSoon is the longest pause between two dials while the other process
	// is likely to come back, redialSoonFor after the link was lost: a restart
	// takes half a second, and everything waits for its links.
	redialSoon    = 300 * time.Millisecond
	redialSoonFor = 10 * time.Second
	// redialMax is the longest pause later.
	redialMax = time.Second
)

// Keeper keeps one link to an address up.
type Keeper struct {
	Address string
	Hello   func() modeler.Hello
	// Up is called with each new link and returns when it is of no more use.
	Up func(ctx context.Context, l *Link)
	// Wake ends the wait before the next dial, and a dial under way; nil never
	// does.
	Wake <-chan struct{}
	// Connect replaces the network.
	Connect Connect
	// Clock replaces the clock that counts suspensions of the host.
	Clock func() modeler.ClockReading
}

// Run dials again after each loss until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	pause, lost := redialMin, time.Now()
	for ctx.Err() == nil {
		l, woken, err := k.dial(ctx)
		switch {
		case woken:
			pause = redialMin
			continue
		case err == nil:
			pause = redialMin
			k.Up(ctx, l)
			l.Close()
			lost = time.Now()
		case time.Since(lost) < redialSoonFor:
			pause = min(pause*2, redialSoon)
		default:
			pause = min(pause*2, redialMax)
		}
		if k.wait(ctx, pause) {
			pause = redialMin
		}
	}
}

// dial opens a link; it reports whether Wake has ended the attempt, which may
// have hung since before the other process came back.
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
		case <-k.Wake:
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
// dialling a restarted one at the same moment. It reports whether it was ended
// by Wake.
func (k *Keeper) wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-k.Wake:
		return true
	}
	return false
}
