// Package relayer passes the calls of outside parties on to the leader, puts
// questions to the outside policy on the leader's behalf, and delivers orders
// to workers for the leader.
package relayer
