package modeler

import (
	"fmt"
	"math"
	"time"
)

// Millicores counts thousandths of a processor core.
type Millicores int64

// Bytes counts bytes.
type Bytes int64

// Accelerators counts whole accelerators.
type Accelerators int64

// Resources is the amount of each resource that a worker has or a task uses.
type Resources struct {
	Processors   Millicores   `json:"processors"`
	Memory       Bytes        `json:"memory"`
	Accelerators Accelerators `json:"accelerators"`
}

// NoLimit is a quota that nothing exceeds. Its quarter of the range leaves room for sums.
var NoLimit = Resources{Processors: math.MaxInt64 / 4, Memory: math.MaxInt64 / 4, Accelerators: math.MaxInt64 / 4}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	r.Processors += other.Processors
	r.Memory += other.Memory
	r.Accelerators += other.Accelerators
	return r
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	r.Processors -= other.Processors
	r.Memory -= other.Memory
	r.Accelerators -= other.Accelerators
	return r
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	r.Processors *= Millicores(n)
	r.Memory *= Bytes(n)
	r.Accelerators *= Accelerators(n)
	return r
}

// Fits reports whether r is at most room for every resource.
func (r Resources) Fits(room Resources) bool {
	return r.Processors <= room.Processors &&
		r.Memory <= room.Memory &&
		r.Accelerators <= room.Accelerators
}

// Negative reports whether the amount of any resource is below zero.
func (r Resources) Negative() bool {
	return r.Processors < 0 || r.Memory < 0 || r.Accelerators < 0
}

// ClockReading is a reading of a process's monotonic clock, measured from an
// arbitrary origin; readings of different processes can't be compared.
type ClockReading time.Duration

// Add returns the reading d later.
func (r ClockReading) Add(d time.Duration) ClockReading { return r + ClockReading(d) }

// Sub returns the time from other to r.
func (r ClockReading) Sub(other ClockReading) time.Duration { return time.Duration(r - other) }

// driftDivisor sets the maximum drift between the clocks of two hosts: one part
// in driftDivisor, which is 1%.
const driftDivisor = 100

// MaxLocalSpan returns the longest time that may pass on this host's clock while
// span passes on another host's clock.
func MaxLocalSpan(span time.Duration) time.Duration { return span + span/driftDivisor }

// MinLocalSpan returns the shortest time that may pass on this host's clock
// while span passes on another host's clock.
func MinLocalSpan(span time.Duration) time.Duration { return span - span/driftDivisor }

// Timestamp is wall-clock time in milliseconds since 1970. Along the replicated
// log it never goes backwards.
type Timestamp int64

// TimestampOf returns t as a Timestamp.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Add returns the timestamp d later.
func (s Timestamp) Add(d time.Duration) Timestamp { return s + Timestamp(d/time.Millisecond) }

// Duration is a time span that JSON carries as text such as "1.5s".
type Duration time.Duration

// MarshalText returns the duration as text such as "1.5s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is not a number with a unit such as 250ms or 5s", text)
	}
	*d = Duration(span)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
