package reporter

import (
	"slices"
	"sync"
)

// Condition is a condition that must be met before a process takes work.
type Condition struct {
	Name   string `json:"name"`
	Met    bool   `json:"met"`
	Reason string `json:"reason,omitempty"`
}

// ReadinessState is the body of the readiness probe.
type ReadinessState struct {
	Ready      bool        `json:"ready"`
	Draining   bool        `json:"draining,omitempty"`
	Conditions []Condition `json:"conditions"`
}

// Readiness is a set of named conditions; the process is ready when all are
// met and it is not draining.
type Readiness struct {
	mutex      sync.Mutex
	draining   bool
	conditions []Condition
}

func newReadiness() *Readiness { return &Readiness{} }

// Require adds conditions that are unmet until Set reports them met. Call it
// before the listener opens; otherwise an early probe finds no condition and
// the process ready.
func (r *Readiness) Require(names ...string) {
	for _, name := range names {
		r.Set(name, false, "not reported yet")
	}
}

// Set records whether a condition is met. The reason is kept only if it is
// not.
func (r *Readiness) Set(name string, met bool, reason string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	updated := Condition{Name: name, Met: met}
	if !met {
		updated.Reason = reason
	}
	index := slices.IndexFunc(r.conditions, func(c Condition) bool { return c.Name == name })
	if index < 0 {
		r.conditions = append(r.conditions, updated)
		return
	}
	r.conditions[index] = updated
}

// Drain makes the process permanently unready, whatever the conditions are.
// It is the first step of a shutdown.
func (r *Readiness) Drain() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining = true
}

// Ready reports whether the process takes new work.
func (r *Readiness) Ready() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.readyLocked()
}

// readyLocked is Ready for callers that hold the mutex.
func (r *Readiness) readyLocked() bool {
	unmet := func(c Condition) bool { return !c.Met }
	return !r.draining && !slices.ContainsFunc(r.conditions, unmet)
}

// State returns the readiness with a copy of the conditions.
func (r *Readiness) State() ReadinessState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return ReadinessState{
		Ready:      r.readyLocked(),
		Draining:   r.draining,
		Conditions: slices.Clone(r.conditions),
	}
}
