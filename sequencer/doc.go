// Package sequencer holds the replicated state of flows: the layout of queues
// in force, the accepted flows, the workers, where each attempt may run, and
// how attempts ended. It does no I/O.
package sequencer
