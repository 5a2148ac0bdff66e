// Package listener implements the HTTP interface of an entry process for
// callers, workers and operators.
package listener
