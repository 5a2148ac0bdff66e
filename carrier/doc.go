// Package carrier decides which process forwards a leader's orders to which
// worker, and tracks the orders without an answer. It does no I/O.
//
// It keeps the leader's load low in cells with many workers: the leader sends
// each process a batch of orders every few milliseconds instead of one call per
// order, and the processes hold the connections to the workers. The processes
// make no decisions; an order contains its term, its deadline on the worker's
// clock and the attempt, as it does when the leader sends it itself.
package carrier
