package placer

import (
	"goldcreststack.example/goldcreststack/accountant"
	"goldcreststack.example/goldcreststack/modeler"
)

// Placer decides on the placement of all tasks of a cell. It is not safe for
// concurrent use.
type Placer struct {
	settings Settings
	now      modeler.ClockReading

	workers map[modeler.WorkerID]*worker
	// workerList holds the same workers in the order in which they were added.
	workerList  []*worker
	domains     []*domain
	domainByKey map[domainKey]*domain
	racks       map[rackKey]*rack
	racksByName map[modeler.RackName][]*rack
	labels      map[string][]*worker // workers by label
	present     int                  // number of workers that are present
	total       modeler.Resources    // capacity of the workers that are present
	// capacityVersion changes whenever the capacity of the cell does.
	capacityVersion uint64

	teams     map[modeler.TeamName]*team
	jobs      map[modeler.JobID]*job
	sequence  uint64 // arrival number of the newest job
	fairShare accountant.FairShare
	waiting   [classes]int // waiting tasks
	running   int          // placed tasks

	// ready lists the teams that have a queued job to try. parkedTeams lists
	// the teams that have ever had a parked job; parkedVirtualTimes, with the
	// same index, and leastSizes hold their virtual times and the least sizes
	// of their parked jobs in contiguous memory, because a search compares all
	// of these teams.
	ready              [classes][]*team
	parkedTeams        []*team
	parkedVirtualTimes []accountant.VirtualTime
	leastSizes         [classes][parkGroups]leastSizes
	// queryBuffer and matchedTeams are reused so that a search allocates
	// nothing.
	queryBuffer  [parkGroups]query
	matchedTeams []int
	// grown lists the workers whose room has grown since the parked jobs of
	// the class were last compared with it. growthCount counts every growth of
	// a worker's room.
	grown       [classes][]*worker
	growthCount uint64
	gangs       [classes][]*job    // gangs without room, to be retried
	starved     [classes][]starved // queue for the reservation
	reserved    *reservation       // nil if no job has the reservation
	// lastDrainSearch is the time of the last search for workers to drain.
	lastDrainSearch modeler.ClockReading
	// drainCandidates holds the result of the last search for workers to
	// drain; drainCursor is the position in workerList at which it ended.
	drainCandidates []drainCandidate
	drainCursor     int
	earmarks        []*earmark // in order of creation, without the reservation's
	// earmarksGrowthCount is growthCount at the last check of the earmarks.
	earmarksGrowthCount uint64
	unknownStarts       []unknownStart
	orders              []order
	jobStops            []jobStop
	impaired            []*worker // in quarantine or probing
	forgetCursor        int       // position of forgetWorker in workerList
	finder              finder
	decisions           []Decision // result of the current Decide
}

// New returns a placer for an empty cell.
func New(settings Settings) *Placer {
	return &Placer{
		settings:    settings.withDefaults(),
		workers:     map[modeler.WorkerID]*worker{},
		domainByKey: map[domainKey]*domain{},
		racks:       map[rackKey]*rack{},
		racksByName: map[modeler.RackName][]*rack{},
		labels:      map[string][]*worker{},
		teams:       map[modeler.TeamName]*team{},
		jobs:        map[modeler.JobID]*job{},
	}
}
