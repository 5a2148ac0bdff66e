package limiter

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// firstAttemptsPerRetry is the number of first attempts that allow one
	// retry.
	firstAttemptsPerRetry = 10
	// bucketDuration is the time that one bucket counts; the window is 10 s.
	bucketDuration = time.Second
	// First attempts are counted over at most the window, retries over at
	// least the window, so rounding to buckets never allows too many retries.
	firstAttemptBuckets = 10
	retryBuckets        = 11
)

// Budget limits retries to a tenth of the first attempts of the last 10 s, per
// service and per caller.
type Budget struct {
	services *lruCache
	callers  *lruCache
}

// NewBudget returns a budget that tracks at most size services and size callers,
// those used most recently.
func NewBudget(size int) *Budget {
	return &Budget{services: newLRUCache(size), callers: newLRUCache(size)}
}

// CountFirstAttempt counts a first attempt.
func (b *Budget) CountFirstAttempt(now modeler.ClockReading, service modeler.ServiceName, caller string) {
	b.attemptCounts(b.services, string(service)).countFirst(now)
	b.attemptCounts(b.callers, caller).countFirst(now)
}

// AllowRetry reports whether a retry is within the budgets of both the service and
// the caller, and counts it if so.
func (b *Budget) AllowRetry(now modeler.ClockReading, service modeler.ServiceName, caller string) bool {
	ofService := b.attemptCounts(b.services, string(service))
	ofCaller := b.attemptCounts(b.callers, caller)
	if !ofService.allowsRetry(now) || !ofCaller.allowsRetry(now) {
		return false
	}
	ofService.countRetry(now)
	ofCaller.countRetry(now)
	return true
}

func (b *Budget) attemptCounts(in *lruCache, name string) *attemptCounts {
	return in.get(name, func() any { return new(attemptCounts) }).(*attemptCounts)
}

// attemptCounts counts the attempts of one service or caller in a ring of
// buckets of bucketDuration each.
type attemptCounts struct {
	bucketNumber  int64 // of the current bucket, counted from clock reading 0
	firstAttempts [retryBuckets]int
	retries       [retryBuckets]int
}

func (c *attemptCounts) advanceTo(now modeler.ClockReading) {
	bucketNumber := int64(now) / int64(bucketDuration)
	for range min(bucketNumber-c.bucketNumber, retryBuckets) {
		c.bucketNumber++
		c.firstAttempts[c.bucketIndex(0)], c.retries[c.bucketIndex(0)] = 0, 0
	}
	if bucketNumber > c.bucketNumber {
		// After a gap longer than the window, all buckets have been cleared.
		c.bucketNumber = bucketNumber
	}
}

// bucketIndex returns the index of the bucket that is back buckets before the
// current one.
func (c *attemptCounts) bucketIndex(back int64) int {
	return int(((c.bucketNumber-back)%retryBuckets + retryBuckets) % retryBuckets)
}

func (c *attemptCounts) countFirst(now modeler.ClockReading) {
	c.advanceTo(now)
	c.firstAttempts[c.bucketIndex(0)]++
}

func (c *attemptCounts) countRetry(now modeler.ClockReading) {
	c.advanceTo(now)
	c.retries[c.bucketIndex(0)]++
}

func (c *attemptCounts) allowsRetry(now modeler.ClockReading) bool {
	c.advanceTo(now)
	firstAttempts, retries := 0, 0
	for back := range int64(retryBuckets) {
		retries += c.retries[c.bucketIndex(back)]
		if back < firstAttemptBuckets {
			firstAttempts += c.firstAttempts[c.bucketIndex(back)]
		}
	}
	return (retries+1)*firstAttemptsPerRetry <= firstAttempts
}
