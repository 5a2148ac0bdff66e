// Package reporter provides what operators see of a process: log lines in
// JSON, metrics, readiness and a bounded dump of the state.
package reporter
