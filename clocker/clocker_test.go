package clocker_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/clocker"
	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against leases that still count as valid after a suspension of the host
// that they didn't outlast. The monotonic clock stops during a suspension, and only
// the boot clock shows its length.
func TestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		slept := time.Duration(0)
		c := clocker.NewWithBootClock(func() (time.Duration, error) { return time.Since(begun) + slept, nil })
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, c.Now(), modeler.ClockReading(500*time.Millisecond))
		slept = 3 * time.Second
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, c.Now(), modeler.ClockReading(4600*time.Millisecond))
		time.Sleep(time.Second)
		assert.Equal(t, c.Now(), modeler.ClockReading(5600*time.Millisecond))
	})
}

// Guards against readings that decrease or stop on a system where the boot clock
// can't be read.
func TestWithoutBootClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clocker.NewWithBootClock(func() (time.Duration, error) { return 0, errors.New("none") })
		last := c.Now()
		for range 10 {
			time.Sleep(700 * time.Millisecond)
			now := c.Now()
			assert.Equal(t, now.Sub(last), 700*time.Millisecond)
			last = now
		}
	})
}

// Guards against a clock that runs slower than the monotonic clock when it reads
// the boot clock of this host.
func TestSystemClock(t *testing.T) {
	c := clocker.New()
	before := c.Now()
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, c.Now().Sub(before) >= 20*time.Millisecond)
}
