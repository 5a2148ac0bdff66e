// Package allocator lends the request slots of workers to entry hosts. It runs
// on the leader, does no I/O, reads no clock and starts no goroutine: every
// input carries the leader's current monotonic reading, and TakeOutput returns the
// grants to send and the commands to propose.
//
// Slots are lent under sessions. Counts are cumulative within a session: the
// leader counts the slots granted, the entry host those returned, so a lost,
// repeated or reordered message neither creates nor loses a slot. The slots of
// an ended session are lent again only after the worker has reported them
// unused or the request limit has passed.
package allocator
