// Package forwarder implements the entry role. A single goroutine, the core,
// owns the router; other goroutines serve callers' requests, links to the
// control processes, worker heartbeats and settlements, and send it events.
package forwarder
