// Package router assigns the requests of an entry host to workers. It tracks
// the slots that the leader's allocator has lent to the entry host, the waiting
// requests and the requests in flight. It does no I/O, reads no clock and
// starts no goroutine: every input carries the entry host's current monotonic
// clock reading, and Take returns the assignments, refusals and the session
// renewal to send.
package router
