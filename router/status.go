package router

import "goldcreststack.example/goldcreststack/modeler"

// WorkerStatus is the entry host's account of one worker.
type WorkerStatus struct {
	Worker      modeler.WorkerID   `json:"worker"`
	Generation  modeler.Generation `json:"generation"`
	Held        int                `json:"held"`
	InUse       int                `json:"taken"`
	Connections int                `json:"connections"`
	Revoked     bool               `json:"revoked,omitempty"`
	Excluded    bool               `json:"excluded,omitempty"`
}

// ServiceStatus is the entry host's account of one service.
type ServiceStatus struct {
	Service modeler.ServiceName `json:"service"`
	Waiting int                 `json:"waiting"`
	Idle    int                 `json:"idle"`
}

// Workers returns the accounts of all workers in the order of their first
// grant.
func (r *Router) Workers() []WorkerStatus {
	list := make([]WorkerStatus, 0, len(r.workerOrder))
	for _, s := range r.workerOrder {
		list = append(list, WorkerStatus{
			Worker: s.worker, Generation: s.generation, Held: s.heldSlots(), InUse: s.inUse,
			Connections: s.maxConnections, Revoked: s.revoked, Excluded: s.excluded != 0,
		})
	}
	return list
}

// Services returns the accounts of all services sorted by name.
func (r *Router) Services() []ServiceStatus {
	list := make([]ServiceStatus, 0, len(r.serviceNames))
	for _, name := range r.serviceNames {
		s := r.services[name]
		list = append(list, ServiceStatus{Service: name, Waiting: s.queue.size, Idle: s.idle})
	}
	return list
}

// Serving reports whether new requests are accepted: the session lease and the
// configuration lease are valid and no drain has begun.
func (r *Router) Serving(now modeler.ClockReading) bool {
	r.advanceClock(now)
	return r.hasValidLeases() && !r.draining
}
