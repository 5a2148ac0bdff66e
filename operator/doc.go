// Package operator is the HTTP and JSON client of the operators' commands. It
// sends a command to any entry host of a list.
package operator
