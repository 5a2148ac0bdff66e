// Package replicator implements the consensus protocol of the control processes
// after Raft: terms, pre-vote, a quorum lease, log replication, membership
// changes with learners, leadership transfer and snapshots.
//
// The package does no I/O and starts no goroutine or timer. Its caller passes
// in clock readings and messages, and carries out what Output returns:
//
//  1. sync HardState, if it is set;
//  2. send Messages;
//  3. store Snapshot, then Entries, sync them, and call Synced with Write;
//  4. apply Committed in order.
//
// Steps 2 and 4 need not wait for step 3, because messages that depend on stored
// entries are produced only after Synced. A Replicator is not safe for
// concurrent use.
//
// The clock reading passed with a message must be taken after the message has
// arrived. An earlier reading would shorten the time for which a follower
// refuses votes, on which the leader's lease relies.
//
// The first members of a new group all start from the same snapshot with index
// 1, term 1 and the membership. A member that joins later starts from an
// empty Saved.
package replicator
