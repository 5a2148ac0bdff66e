package limiter

import (
	"math/rand/v2"
	"time"
)

// Backoff configures the delay before a retry, which starts at Base and doubles
// with each retry up to Max.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before the given retry, counted from 1. It is random
// between half of the doubled delay and all of it.
func (b Backoff) Delay(retry int, random *rand.Rand) time.Duration {
	span := b.Base
	for i := 1; i < retry && span < b.Max; i++ {
		span *= 2
	}
	span = min(span, b.Max)
	return span/2 + time.Duration(random.Int64N(int64(span/2)+1))
}
