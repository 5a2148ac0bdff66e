// Package soaker runs the real programs as separate processes on one machine,
// injects faults from outside them in a random order that a seed repeats, and
// checks the promises to callers and workers while they run, and that the service
// recovers after the last fault.
package soaker
