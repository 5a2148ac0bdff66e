// Package limiter limits the load that callers and retries add, with a retry
// budget, token buckets per caller and a backoff with jitter. It reads no clock:
// calls that depend on time take the current clock reading.
package limiter
