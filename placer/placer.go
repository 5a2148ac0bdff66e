package placer

import "goldcreststack.example/goldcreststack/modeler"

// Placer is the placement core of the leader. It is not safe for concurrent
// use.
type Placer struct {
	settings Settings
	now      modeler.ClockReading

	workers     map[modeler.WorkerID]*worker
	list        []*worker
	domains     []*domain
	domainByKey map[domainKey]*domain
	racks       map[rackKey]*rack
	racksByName map[modeler.RackName][]*rack
	labels      map[string][]*worker
	present     int
	total       modeler.Resources
	// cellVersion changes whenever the capacity of the cell does.
	cellVersion uint64

	teams    map[modeler.TeamName]*team
	jobs     map[modeler.JobID]*job
	sequence uint64
	virtual  uint64 // virtual time of the team served last
	waiting  [classes]int
	running  int

	// ready lists the teams with a queue to try, and parkers those that ever
	// had parked jobs. virtuals holds the virtual times of the parkers side by
	// side, and leasts what their parked jobs need at least, since a search
	// compares all of them.
	ready    [classes][]*team
	parkers  []*team
	virtuals []uint64
	leasts   [classes][parkGroups]leasts
	// asked and matched are kept so that a search allocates nothing.
	asked   [parkGroups]ask
	matched []int
	// grown lists the workers whose room has grown since the parked jobs of
	// the class were compared with it; growths counts such events.
	grown   [classes][]*worker
	growths uint64
	gangs   [classes][]*job
	starved [classes][]starved
	held    *reservation
	// drained is when workers to drain were last searched for.
	drained modeler.ClockReading
	// drains are the workers found by the last search for workers to drain,
	// which ended at drainTurn.
	drains    []drain
	drainTurn int
	marks     []*earmark
	// marksSeen is the count of growths when the earmarks were checked.
	marksSeen uint64
	unknowns  []unknownStart
	orders    []order
	stops     []stop
	impaired  []*worker // in quarantine or on probe
	sweep     int       // where the search for forgotten workers goes on
	finder    finder
	out       []Decision
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
