// Package applier implements the deterministic state machine of the replicated
// group. Every member applies the committed commands in the same order.
package applier
