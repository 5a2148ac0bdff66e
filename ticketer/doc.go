// Package ticketer checks change tickets and applies them to the configured
// state of the cell: its services, teams and jobs. A ticket is accepted whole or
// refused whole.
package ticketer
