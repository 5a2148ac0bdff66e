// Package clocker provides a clock that advances while the host is suspended,
// unlike the monotonic clock of the Go runtime.
package clocker
