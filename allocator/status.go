package allocator

import (
	"cmp"
	"maps"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// WorkerStatus describes the lending of one worker's slots.
type WorkerStatus struct {
	Worker     modeler.WorkerID   `json:"worker"`
	Generation modeler.Generation `json:"generation"`
	Slots      int                `json:"slots"`
	// Lent counts the slots of live sessions, Retained those of ended sessions
	// whose requests may still run, Unknown those that sessions of an earlier
	// term which haven't joined may use.
	Lent     int  `json:"lent"`
	Retained int  `json:"kept,omitempty"`
	Unknown  int  `json:"unknown,omitempty"`
	Revoked  bool `json:"revoked,omitempty"`
	// Connections is the sum of the entry hosts' connection bounds.
	Connections int `json:"connections"`
}

// SessionStatus describes one session of an entry process.
type SessionStatus struct {
	Session modeler.EntrySession `json:"session"`
	Live    bool                 `json:"live"`
	Held    int                  `json:"held"`
	Version modeler.Index        `json:"version"`
}

// Workers returns the status of all workers in order of their ids.
func (a *Allocator) Workers() []WorkerStatus {
	list := make([]WorkerStatus, 0, len(a.workers))
	for _, w := range a.workers {
		status := WorkerStatus{
			Worker: w.id, Generation: w.generation, Slots: w.slots, Unknown: w.unknownSlots,
			Revoked: w.revoked, Connections: w.committedConnections,
		}
		for _, h := range w.holds {
			if h.session.live {
				status.Lent += h.taken
			} else {
				status.Retained += h.taken
			}
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(x, y WorkerStatus) int { return cmp.Compare(x.Worker, y.Worker) })
	return list
}

// Sessions returns the status of all sessions in order of their ids.
func (a *Allocator) Sessions() []SessionStatus {
	list := make([]SessionStatus, 0, len(a.sessionOrder))
	for _, s := range a.sessionOrder {
		status := SessionStatus{Session: s.id, Live: s.live, Version: s.version}
		for h := range maps.Values(s.holds) {
			status.Held += h.taken
		}
		list = append(list, status)
	}
	return list
}
