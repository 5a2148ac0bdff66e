// Package reconfigurer decides which members of the replicated group vote: who
// is admitted, who is promoted and who is removed. It holds no state and does no
// input or output; the leader proposes its changes one at a time.
package reconfigurer
