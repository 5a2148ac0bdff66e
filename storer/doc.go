// Package storer keeps the durable files of a control process under one data
// folder: the replicated log in segments, the term and vote, and snapshots.
//
// Nothing is durable before Sync or SaveSnapshot has returned nil. After a failed
// sync the store refuses all calls, because the kernel may drop the pages that
// it could not write and report success for the next sync.
package storer
