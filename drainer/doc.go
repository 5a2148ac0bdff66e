// Package drainer lets an HTTP server stop without cutting off requests that have
// reached the host but that the process has not read yet.
package drainer
