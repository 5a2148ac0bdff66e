// Package classifier defines the closed list of error kinds and the table that
// maps each kind to the answer that a caller receives.
package classifier
