package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"goldcreststack.example/goldcreststack/limiter"
	"goldcreststack.example/goldcreststack/modeler"
)

// attempt is a first attempt or a retry that the budget has counted.
type attempt struct {
	at      modeler.ClockReading
	service modeler.ServiceName
	caller  string
	retry   bool
}

// TestBudget guards against a service or a caller that gets more retries than a
// tenth of its first attempts of the last 10 s, and against a budget that
// refuses retries within that limit.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := limiter.NewBudget(10)
		now := modeler.ClockReading(time.Hour)
		var counted []attempt
		countInWindow := func(match func(attempt) bool) (firsts, retries int) {
			for _, one := range counted {
				switch {
				case one.at <= now.Add(-10*time.Second) || !match(one):
				case one.retry:
					retries++
				default:
					firsts++
				}
			}
			return firsts, retries
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			service := modeler.ServiceName(rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"))
			caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
			for range rapid.IntRange(0, 12).Draw(t, "firsts") {
				budget.CountFirstAttempt(now, service, caller)
				counted = append(counted, attempt{now, service, caller, false})
			}
			if !budget.AllowRetry(now, service, caller) {
				continue
			}
			counted = append(counted, attempt{now, service, caller, true})
			firsts, retries := countInWindow(func(x attempt) bool { return x.service == service })
			assert.Assert(t, retries*10 <= firsts, "service: %d retries of %d", retries, firsts)
			firsts, retries = countInWindow(func(x attempt) bool { return x.caller == caller })
			assert.Assert(t, retries*10 <= firsts, "caller: %d retries of %d", retries, firsts)
		}
	})
	budget := limiter.NewBudget(10)
	for i := range 100 {
		budget.CountFirstAttempt(modeler.ClockReading(time.Duration(i)*50*time.Millisecond), "s", "a")
	}
	allowed := 0
	for range 100 {
		if budget.AllowRetry(modeler.ClockReading(5*time.Second), "s", "a") {
			allowed++
		}
	}
	assert.Equal(t, allowed, 10)
	assert.Assert(t, !budget.AllowRetry(modeler.ClockReading(time.Minute), "s", "a"), "the first attempts are older than the window")
}

// TestBuckets guards against callers that exceed their rate, and against memory
// that grows with the number of callers.
func TestBuckets(t *testing.T) {
	buckets := limiter.NewBuckets(100)
	now := modeler.ClockReading(time.Hour)
	taken := 0
	for range 1000 {
		if buckets.Take(now, "greedy", 20) {
			taken++
		}
		now = now.Add(5 * time.Millisecond)
	}
	assert.Assert(t, taken >= 119 && taken <= 120, "20 at once and 20 a second for 5 s, got %d", taken)
	assert.Assert(t, buckets.Take(now, "other", 20))
	for i := range 10000 {
		buckets.Take(now, fmt.Sprint(i), 20)
		buckets.Take(now, "greedy", 20)
	}
	assert.Equal(t, buckets.Len(), 100)
	assert.Assert(t, !buckets.Take(now, "greedy", 20), "the bucket of a recently used caller isn't dropped")
	assert.Assert(t, buckets.Take(now, "greedy", 40) == false, "a raised rate doesn't fill the bucket at once")
}

// TestBackoff guards against delays that don't grow with the retries, don't vary
// or exceed Max.
func TestBackoff(t *testing.T) {
	backoff := limiter.Backoff{Base: 10 * time.Millisecond, Max: 100 * time.Millisecond}
	random := rand.New(rand.NewPCG(1, 2))
	for retry, span := range []time.Duration{0, 10, 20, 40, 80, 100, 100} {
		if retry == 0 {
			continue
		}
		seen := map[time.Duration]bool{}
		for range 200 {
			delay := backoff.Delay(retry, random)
			assert.Assert(t, delay >= span*time.Millisecond/2 && delay <= span*time.Millisecond, "retry %d: %v", retry, delay)
			seen[delay] = true
		}
		assert.Assert(t, len(seen) > 100)
	}
}
