package clocker

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxClockJump is how far the wall clock may move relative to the monotonic
	// clock before the host's boot clock is read. It exceeds the noise of both
	// clocks.
	maxClockJump = 5 * time.Millisecond
	// bootClockInterval is the longest time between two reads of the boot clock. It
	// bounds how long a suspension goes unnoticed if the wall clock was set back by
	// the same time.
	bootClockInterval = time.Second
)

// Clock measures the time since its creation, including the time that the host
// was suspended. It is safe for concurrent use.
type Clock struct {
	start time.Time
	// bootClock reads the host's boot clock, which advances during suspensions.
	bootClock func() (time.Duration, error)

	mu               sync.Mutex
	bootClockAtStart time.Duration
	suspended        time.Duration
	wallClockDrift   time.Duration
	bootClockReadAt  time.Duration
}

// New returns a clock that starts now and reads the host's boot clock.
func New() *Clock { return NewWithBootClock(readBootClock) }

// NewWithBootClock returns a clock that starts now and reads the boot clock with the given
// function.
func NewWithBootClock(bootClock func() (time.Duration, error)) *Clock {
	c := &Clock{start: time.Now(), bootClock: bootClock}
	c.bootClockAtStart, _ = bootClock()
	return c
}

func readBootClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the time since the clock's creation, including suspensions. Reading
// the boot clock costs a system call, so Now reads it only if the wall clock has
// moved relative to the monotonic clock, as it does during a suspension, or if
// bootClockInterval has passed since the last read.
func (c *Clock) Now() modeler.ClockReading {
	now := time.Now()
	monotonic := now.Sub(c.start)
	wallClockDrift := now.Round(0).Sub(c.start.Round(0)) - monotonic
	c.mu.Lock()
	defer c.mu.Unlock()
	if moved := wallClockDrift - c.wallClockDrift; moved > maxClockJump || moved < -maxClockJump || monotonic-c.bootClockReadAt > bootClockInterval {
		c.wallClockDrift = wallClockDrift
		c.bootClockReadAt = monotonic
		if bootClock, err := c.bootClock(); err == nil {
			// The boot clock is read after the monotonic clock, so the difference
			// can only be too large, by the time between the two reads.
			if slept := bootClock - c.bootClockAtStart - monotonic; slept > c.suspended+maxClockJump {
				c.suspended = slept
			}
		}
	}
	return modeler.ClockReading(monotonic + c.suspended)
}
