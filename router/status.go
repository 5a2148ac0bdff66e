package router

import "goldcreststack.example/goldcreststack/modeler"

// WorkerStatus is the entry host's account of one worker.
type WorkerStatus struct {
	Worker      modeler.WorkerID   `json:"worker"`
	Generation  modeler.Generation `json:"generation"`
	Held        int                `json:"held"`
	Taken       int                `json:"taken"`
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

// Workers returns the accounts of all workers in order of their first grant.
func (r *Router) Workers() []WorkerStatus {
	list := make([]WorkerStatus, 0, len(r.order))
	for _, s := range r.order {
		list = append(list, WorkerStatus{
			Worker: s.worker, Generation: s.generation, Held: s.held(), Taken: s.taken,
			Connections: s.connections, Revoked: s.revoked, Excluded: s.excluded != 0,
		})
	}
	return list
}

// Services returns the accounts of all services in order of their names.
func (r *Router) Services() []ServiceStatus {
	list := make([]ServiceStatus, 0, len(r.names))
	for _, name := range r.names {
		s := r.services[name]
		list = append(list, ServiceStatus{Service: name, Waiting: s.queue.size, Idle: s.idle})
	}
	return list
}

// Serving reports whether new requests are taken: both leases are valid and no
// drain has begun.
func (r *Router) Serving(now modeler.ClockReading) bool {
	r.advance(now)
	return r.serving() && !r.draining
}
