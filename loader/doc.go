// Package loader reads settings files, tickets and jobs, which are JSON with
// comments, and reports all faults of a file at once.
package loader
