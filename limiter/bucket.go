package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"goldcreststack.example/goldcreststack/modeler"
)

// Buckets holds a token bucket per caller. If there are too many callers, the
// bucket of the least recently used one is dropped; that caller starts again
// with a full bucket.
type Buckets struct {
	callers *lruCache
}

// NewBuckets returns token buckets for at most size callers.
func NewBuckets(size int) *Buckets {
	return &Buckets{callers: newLRUCache(size)}
}

// Take removes a token from the caller's bucket and reports whether there was
// one. The bucket gains perSecond tokens per second and holds at most perSecond.
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

// Len returns the number of callers that have a bucket.
func (b *Buckets) Len() int { return b.callers.byLastUse.Len() }
