package placer

import "goldcreststack.example/goldcreststack/modeler"

// Decision is an action that a worker is to perform on one attempt of a task.
type Decision struct {
	// Verb is StartTask for a placement. The placer counts the task's resources
	// as allocated from then on.
	Verb      modeler.TaskVerb
	Placement modeler.Placement
	// Reclaimed says that the task starts in reclaimed room: resources that
	// other tasks declared and don't use. It is checkpointed when they need
	// them.
	Reclaimed bool
}

// Worker is the part of a worker's description that placement depends on.
type Worker struct {
	ID         modeler.WorkerID
	Generation modeler.Generation
	Region     modeler.RegionName
	Domain     modeler.DomainName
	Rack       modeler.RackName
	Labels     []string
	Capacity   modeler.Resources
	// Leaving workers get no new tasks.
	Leaving bool
}

// DescribeWorker returns the description of the worker that sent the heartbeat.
func DescribeWorker(heartbeat modeler.Heartbeat) Worker {
	return Worker{
		ID:         heartbeat.Worker,
		Generation: heartbeat.Generation,
		Region:     heartbeat.Region,
		Domain:     heartbeat.Domain,
		Rack:       heartbeat.Rack,
		Labels:     heartbeat.Labels,
		Capacity:   heartbeat.Capacity,
		Leaving:    heartbeat.Leaving,
	}
}

// TaskRecord is the state of one task of a job in the replicated state.
type TaskRecord struct {
	Index modeler.TaskIndex
	// Attempt is the number of the task's last attempt, 0 if there was none.
	Attempt modeler.Attempt
	// Worker is the worker that runs the attempt; it is empty if the task waits
	// or is finished.
	Worker     modeler.WorkerID
	Generation modeler.Generation
	// Over says that the task is finished and is not placed again.
	Over bool
}

// order is a queued decision on a running attempt. It is dropped if the attempt
// has ended before Decide returns it.
type order struct {
	task    *task
	attempt modeler.Attempt
	verb    modeler.TaskVerb
}
