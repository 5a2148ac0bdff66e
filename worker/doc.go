// Package worker implements a stand-in upstream for tests: it announces itself,
// serves requests, simulates tasks in memory and injects faults on demand.
package worker
