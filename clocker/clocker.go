package clocker

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// jump is how far the time of day may move against the monotonic clock
	// before the host's boot clock is read: above the noise of both.
	jump = 5 * time.Millisecond
	// again is the longest time between two looks at the boot clock, for a
	// suspension that a change of the time of day hides.
	again = time.Second
)

// Clock gives readings since its creation.
type Clock struct {
	start time.Time
	// boot returns the boot clock, which counts suspensions.
	boot func() (time.Duration, error)

	mu     sync.Mutex
	first  time.Duration
	offset time.Duration
	delta  time.Duration
	looked time.Duration
}

// New returns a clock that starts now.
func New() *Clock { return NewWith(bootTime) }

// NewWith returns a clock over another source of the boot time.
func NewWith(boot func() (time.Duration, error)) *Clock {
	c := &Clock{start: time.Now(), boot: boot}
	c.first, _ = boot()
	return c
}

func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the time since the clock's creation, suspensions included. The
// boot clock costs a system call, so it is read only when the time of day has
// moved against the monotonic clock, as it does in a suspension.
func (c *Clock) Now() modeler.ClockReading {
	now := time.Now()
	steady := now.Sub(c.start)
	delta := now.Round(0).Sub(c.start.Round(0)) - steady
	c.mu.Lock()
	defer c.mu.Unlock()
	if moved := delta - c.delta; moved > jump || moved < -jump || steady-c.looked > again {
		c.delta = delta
		c.looked = steady
		if boot, err := c.boot(); err == nil {
			// The boot clock is read after the other one, never before, so the
			// difference may only be too large by the time between.
			if slept := boot - c.first - steady; slept > c.offset+jump {
				c.offset = slept
			}
		}
	}
	return modeler.ClockReading(steady + c.offset)
}
