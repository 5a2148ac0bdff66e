// Package modeler defines the data types that the other packages share: ids,
// units, change tickets, commands of the replicated log, and messages between
// processes.
package modeler
