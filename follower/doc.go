// Package follower keeps a link to every control process, knows which one
// leads, and matches answers with calls.
package follower
