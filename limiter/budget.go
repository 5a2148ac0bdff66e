package limiter

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// retryShare is the number of first attempts that pay for one retry.
	retryShare = 10
	// bucketSpan divides the window of 10 s into steps.
	bucketSpan = time.Second
	// firstBuckets cover at most the window, retryBuckets at least the
	// window, so rounding never allows a retry too many.
	firstBuckets = 10
	retryBuckets = 11
)

// Budget bounds retries to a tenth of the first attempts of the last 10 s, per
// service and per caller.
type Budget struct {
	services *recent
	callers  *recent
}

// NewBudget returns a budget that remembers at most size services and size
// callers.
func NewBudget(size int) *Budget {
	return &Budget{services: newRecent(size), callers: newRecent(size)}
}

// First counts a first attempt.
func (b *Budget) First(now modeler.ClockReading, service modeler.ServiceName, caller string) {
	b.counts(b.services, string(service)).first(now)
	b.counts(b.callers, caller).first(now)
}

// Allow reports whether a retry is within both budgets, and counts it if so.
func (b *Budget) Allow(now modeler.ClockReading, service modeler.ServiceName, caller string) bool {
	ofService := b.counts(b.services, string(service))
	ofCaller := b.counts(b.callers, caller)
	if !ofService.allows(now) || !ofCaller.allows(now) {
		return false
	}
	ofService.retry(now)
	ofCaller.retry(now)
	return true
}

func (b *Budget) counts(in *recent, name string) *counts {
	return in.get(name, func() any { return new(counts) }).(*counts)
}

// counts are the attempts of one service or caller in steps of bucketSpan.
type counts struct {
	step    int64
	firsts  [retryBuckets]int
	retries [retryBuckets]int
}

func (c *counts) advance(now modeler.ClockReading) {
	step := int64(now) / int64(bucketSpan)
	for range min(step-c.step, retryBuckets) {
		c.step++
		c.firsts[c.slot(0)], c.retries[c.slot(0)] = 0, 0
	}
	if step > c.step {
		// All buckets are empty after a gap longer than the window.
		c.step = step
	}
}

// slot returns the bucket that is back steps old.
func (c *counts) slot(back int64) int {
	return int(((c.step-back)%retryBuckets + retryBuckets) % retryBuckets)
}

func (c *counts) first(now modeler.ClockReading) {
	c.advance(now)
	c.firsts[c.slot(0)]++
}

func (c *counts) retry(now modeler.ClockReading) {
	c.advance(now)
	c.retries[c.slot(0)]++
}

func (c *counts) allows(now modeler.ClockReading) bool {
	c.advance(now)
	firsts, retries := 0, 0
	for back := range int64(retryBuckets) {
		retries += c.retries[c.slot(back)]
		if back < firstBuckets {
			firsts += c.firsts[c.slot(back)]
		}
	}
	return (retries+1)*retryShare <= firsts
}
