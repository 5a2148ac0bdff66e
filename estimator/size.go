package estimator

import "time"

// Size is the size of a cell whose costs are calculated.
type Size struct {
	Workers  int
	Tasks    int
	Jobs     int // per day
	Starts   int // task starts per second at the peak
	Teams    int
	Services int
	Tickets  int // per day
	Controls int
	Entries  int
	// Beat is the interval between two heartbeats of a worker.
	Beat time.Duration
}

// Design returns the size that is expected within the next two years. Of the 16
// hosts available to the system, 5 run control and 11 run entry processes.
func Design() Size {
	return Size{
		Workers:  18_000,
		Tasks:    58_000,
		Jobs:     77_000,
		Starts:   1_100,
		Teams:    320,
		Services: 320,
		Tickets:  9_000,
		Controls: 5,
		Entries:  11,
		Beat:     time.Second,
	}
}

// Today returns the size of one user's present cell.
func Today() Size {
	return Size{
		Workers:  48,
		Tasks:    400,
		Jobs:     2_000,
		Starts:   50,
		Teams:    8,
		Services: 4,
		Tickets:  100,
		Controls: 3,
		Entries:  7,
		Beat:     time.Second,
	}
}
