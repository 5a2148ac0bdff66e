// Package recorder keeps one record for each idempotency key of a request that
// must run at most once: which entry process claimed it, its outcome and its
// answer. A record is kept until the key expires.
package recorder
