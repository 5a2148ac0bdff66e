package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"goldcreststack.example/goldcreststack/modeler"
)

// Buckets holds a token bucket per caller. A caller that was dropped as the
// least recently used starts again with a full bucket.
type Buckets struct {
	callers *recent
}

// NewBuckets returns token buckets for at most size callers.
func NewBuckets(size int) *Buckets {
	return &Buckets{callers: newRecent(size)}
}

// Take removes a token from the caller's bucket, which gains perSecond tokens
// a second and holds as many; it reports whether there was one.
func (b *Buckets) Take(now modeler.ClockReading, caller string, perSecond int) bool {
	at := time.Unix(0, int64(now))
	bucket := b.callers.get(caller, func() any {
		return rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}).(*rate.Limiter)
	if bucket.Burst() != perSecond {
		bucket.SetLimitAt(at, rate.Limit(perSecond))
		bucket.SetBurstAt(at, perSecond)
	}
	return bucket.AllowN(at, 1)
}

// Len returns the number of callers that are remembered.
func (b *Buckets) Len() int { return b.callers.order.Len() }
