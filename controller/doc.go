// Package controller implements the control role. One core goroutine owns the
// replicated log, the state machine and, on the leader, the allocation of slots
// and the placement of tasks. Other goroutines handle the disk, the links to
// other processes and the orders to workers.
package controller
