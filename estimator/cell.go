package estimator

import (
	"fmt"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

const (
	gibibyte = modeler.Bytes(1 << 30)
	domains  = 8
	regions  = 3
	rackSize = 6
)

func workerID(i int) modeler.WorkerID { return modeler.WorkerID(fmt.Sprintf("worker-%05d", i)) }

func jobID(i int) modeler.JobID { return modeler.JobID(fmt.Sprintf("job-%06d", i)) }

// heartbeat returns a heartbeat of worker i with the given running tasks.
func heartbeat(i int, clock modeler.ClockReading, tasks []modeler.TaskReport) modeler.Heartbeat {
	domain := i % domains
	return modeler.Heartbeat{
		Worker:      workerID(i),
		Generation:  1_796_349_092_722_746_624,
		Address:     "198.51.100.101:9000",
		Region:      modeler.RegionName(fmt.Sprintf("region-%d", domain%regions)),
		Domain:      modeler.DomainName(fmt.Sprintf("domain-%d", domain)),
		Rack:        modeler.RackName(fmt.Sprintf("rack-%d-%d", domain, i/domains/rackSize)),
		Services:    []modeler.ServiceName{"breakfast-register", "headcount"},
		Slots:       8,
		Connections: 64,
		IdleTimeout: modeler.Duration(time.Second),
		Capacity:    modeler.Resources{Processors: 32_000, Memory: 64 * gibibyte},
		Clock:       clock,
		Active:      3,
		Tasks:       tasks,
	}
}

// placements returns placements of n single-task jobs, assigned to the workers
// in turn.
func placements(n, workers int) []modeler.Placement {
	out := make([]modeler.Placement, n)
	for i := range out {
		out[i] = modeler.Placement{
			Task:       modeler.TaskID{Job: jobID(i)},
			Attempt:    1_000_000,
			Worker:     workerID(i % workers),
			Generation: 1_796_349_092_722_746_624,
		}
	}
	return out
}

// taskReports returns the reports of the placed tasks as heartbeats carry them,
// one list per worker.
func taskReports(list []modeler.Placement, workers int) [][]modeler.TaskReport {
	out := make([][]modeler.TaskReport, workers)
	for i, p := range list {
		out[i%workers] = append(out[i%workers], modeler.TaskReport{
			Task:    p.Task,
			Attempt: p.Attempt,
			State:   modeler.TaskRunning,
			Usage:   taskSize(),
		})
	}
	return out
}

func taskSize() modeler.Resources {
	return modeler.Resources{Processors: 2_000, Memory: 4 * gibibyte}
}

func job(i int) modeler.Job {
	return modeler.Job{
		ID:         jobID(i),
		Team:       "team-000",
		Kind:       modeler.Batch,
		Tasks:      1,
		Size:       taskSize(),
		Runtime:    modeler.Duration(time.Minute),
		Checkpoint: true,
		Command:    "index --archive --part 17",
	}
}

func team(i int) modeler.Team {
	return modeler.Team{
		Name:   modeler.TeamName(fmt.Sprintf("team-%03d", i)),
		Quota:  modeler.Resources{Processors: 1 << 40, Memory: 1 << 55},
		Weight: 1,
		Policy: modeler.Spread,
	}
}

func service(i int) modeler.Service {
	return modeler.Service{
		Name:   modeler.ServiceName(fmt.Sprintf("service-%03d", i)),
		Region: "region-0",
		Team:   "team-000",
		Limit:  modeler.Duration(30 * time.Second),
		Wait:   modeler.Duration(5 * time.Second),
		Queue:  1000,
	}
}
