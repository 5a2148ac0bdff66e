// Package carrier decides which process carries a leader's orders to which
// worker, and keeps account of the orders under way. It does no I/O.
//
// It answers the load of cells with many workers: the leader hands each
// process a batch of orders every few milliseconds in place of one call for
// each order, and the processes keep the connections to the workers. They
// decide nothing; an order names its term, its deadline on the worker's clock
// and the attempt, as it does when the leader sends it itself.
package carrier
