// Package pruner closes the connections to a process that are kept open longest
// without use, before the host runs out of descriptors.
package pruner
