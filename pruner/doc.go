// Package pruner closes the longest unused connections that a process has
// accepted, before the host runs out of file descriptors.
package pruner
