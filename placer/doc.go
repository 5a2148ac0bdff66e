// Package placer decides which task runs on which worker. It keeps the leader's
// view of the cell's workers, teams and jobs, and returns decisions for the
// caller to carry out. The caller passes in readings of the leader's clock; the
// package does no I/O and starts no timers or goroutines.
//
// The caller owns the task leases. It calls EndAttempt for an attempt only after the
// attempt has ended or its lease has expired. Until then the attempt keeps its
// resources and its task is not placed anywhere else. A new leader calls SetTeam
// for all teams and Restore for all jobs, in order of arrival, before its first
// Decide.
//
// The comments use these terms: the room of a worker is its unallocated
// capacity; reclaimed room is capacity that running tasks declared but, by their
// estimates, don't use; an earmark holds room on one worker for one job; and the
// reservation, of which there is at most one in the cell, holds room on several
// workers while they are drained for one job.
package placer
