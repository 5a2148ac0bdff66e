// Package dispatcher makes the scheduling decisions of the leader: it assigns
// tasks to workers, keeps the workers' leases and tracks every attempt. It does
// no I/O; the caller passes in clock readings, committed changes and answers,
// and carries out the actions in Output.
package dispatcher
