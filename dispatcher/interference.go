package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/interference"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// interferenceWeight is the weight of the logarithms of expected slowdowns in a worker's
	// score, relative to its free share of processors. It equals speedScoreWeight, since both
	// are run times.
	interferenceWeight = 4.0
	// maxInterferenceScore keeps the score below a penalty, which has other reasons.
	maxInterferenceScore = penalty / 2
	// maxDepartures bounds the ended attempts of a worker that are kept as former neighbours of
	// those that run. A run that more have ended beside is not counted.
	maxDepartures = 64
	// maxWorstPairs bounds the pairs that Stats lists.
	maxWorstPairs = 20
)

// presence is the time in which an attempt with an image ran on a worker.
type presence struct {
	image      modeler.ImageName
	start, end modeler.ClockReading
}

// departures holds the last attempts that have ended on a worker.
type departures struct {
	list []presence
	// next is the index in list that is overwritten next once the list is full.
	next int
	// completeSince is when the last attempt ended that is not in the list any more.
	completeSince modeler.ClockReading
}

func (x *departures) add(p presence) {
	if len(x.list) < maxDepartures {
		x.list = append(x.list, p)
		return
	}
	x.completeSince = max(x.completeSince, x.list[x.next].end)
	x.list[x.next] = p
	x.next = (x.next + 1) % maxDepartures
}

// interferenceMode returns what is done about interference on workers of a service.
func (d *Dispatcher) interferenceMode(name modeler.ServiceName) interference.Mode {
	return d.settings.Interference.Of(name)
}

// recordDeparture keeps an attempt that ends as a neighbour of those that run on its worker.
func (d *Dispatcher) recordDeparture(r *run) {
	if r.image == "" || !r.hasBegun() || d.interferenceMode(r.host.worker.Service) == interference.Off {
		return
	}
	r.host.departures.add(presence{image: r.image, start: r.startedAt, end: r.host.heardAt})
}

// observeInterference learns from a completed run what its neighbours did to it; deviation is
// the logarithm of the run time relative to what was expected.
func (d *Dispatcher) observeInterference(u *unit, r *run, took time.Duration, deviation float64) {
	now := r.startedAt.Add(took)
	if !d.isComparable(now, u, r) {
		return
	}
	d.matrix.Observe(now, r.image, u.key, interference.Run{
		Task: r.task.Index, Worker: r.host.worker.ID, Size: interference.SizeOf(r.host.worker.Capacity.Processors),
		Deviation: deviation, Neighbours: d.neighbours(r, min(took, u.expectedRuntimeOn(r.host))),
	})
}

// isComparable reports whether the run time of a completed run can show interference: nothing
// else that the leader knows of has made it longer.
func (d *Dispatcher) isComparable(now modeler.ClockReading, u *unit, r *run) bool {
	h := r.host
	switch {
	case r.image == "", d.interferenceMode(h.worker.Service) == interference.Off:
		return false
	case u.step.Gang, r.startsSent > 1, r.share < 100, d.eventLag > maxPlacementLag:
		return false
	case r.probes != nil, h.isQuarantined(now):
		return false
	case u.step.DataRack != "" && h.worker.Rack != u.step.DataRack:
		return false
	default:
		return h.departures.completeSince <= r.startedAt
	}
}

// neighbours returns the images that ran on the worker in the given time from the start of a
// run that has ended, with the share of that time in which they did.
func (d *Dispatcher) neighbours(r *run, span time.Duration) []interference.Neighbour {
	if span <= 0 {
		return nil
	}
	start, end := r.startedAt, r.startedAt.Add(span)
	met := d.presences[:0]
	for _, other := range r.host.runs {
		if other != r && other.image != "" && other.hasBegun() {
			met = appendPresence(met, r, presence{other.image, other.startedAt, end}, end)
		}
	}
	isSelfSeen := false
	for _, p := range r.host.departures.list {
		// One of the entries with the run's image and start is the run itself; those of other
		// tasks that are equal don't differ.
		if !isSelfSeen && p.image == r.image && p.start == r.startedAt {
			isSelfSeen = true
			continue
		}
		met = appendPresence(met, r, p, end)
	}
	d.presences = met
	slices.SortFunc(met, func(a, b presence) int {
		return cmp.Or(cmp.Compare(a.image, b.image), cmp.Compare(a.start, b.start))
	})
	var out []interference.Neighbour
	for from := 0; from < len(met); {
		to := from
		present, until := time.Duration(0), start
		for ; to < len(met) && met[to].image == met[from].image; to++ {
			present += max(met[to].end.Sub(max(met[to].start, until)), 0)
			until = max(until, met[to].end)
		}
		out = append(out, interference.Neighbour{Image: met[from].image, Share: float64(present) / float64(span)})
		from = to
	}
	return out
}

// appendPresence adds the part of a neighbour's presence that lies between the start of a run and
// the given end. A neighbour with the same image is there for the whole time or not at all, by
// whether it ran when the run started (interference.Neighbour).
func appendPresence(met []presence, r *run, p presence, end modeler.ClockReading) []presence {
	start := r.startedAt
	switch {
	case p.end <= start, p.start >= end:
		return met
	case p.image != r.image:
		return append(met, presence{p.image, max(p.start, start), min(p.end, end)})
	case p.start > start.Add(startAllowance):
		return met
	default:
		return append(met, presence{p.image, start, end})
	}
}

// startAllowance is by how much the starts of tasks that are placed together may differ.
const startAllowance = 100 * time.Millisecond

// closeInterference compares the runs of a step that is done with each other.
func (d *Dispatcher) closeInterference(now modeler.ClockReading, u *unit) {
	d.matrix.CloseStep(now, u.key)
	d.logInterference()
}

// tickInterference lets the pairs that are old be forgotten.
func (d *Dispatcher) tickInterference(now modeler.ClockReading) {
	d.matrix.Tick(now)
	d.logInterference()
}

func (d *Dispatcher) logInterference() {
	for _, c := range d.matrix.TakeChanges() {
		event, why := "interference believed", "evidence"
		switch {
		case c.Forgotten:
			event, why = "interference dropped", "the pair has not met for long"
		case !c.Believed:
			event, why = "interference dropped", "the slowdown has ceased"
		}
		d.settings.Log(event, "image", c.Image, "beside", c.Beside, "size", c.Size, "slowdown", c.Slowdown, "error", c.Error, "met", c.Met, "reason", why, "believed", d.matrix.Believed())
	}
}

// avoidsInterference reports whether the worker of a step's tasks is chosen with regard to the
// tasks beside them.
func (d *Dispatcher) avoidsInterference(u *unit) bool {
	return d.matrix.Believed() > 0 && d.interferenceMode(u.policy.Service) == interference.Act && d.matrix.Involves(u.step.Image)
}

// interferenceScore returns the part of a worker's score for a step that depends on what runs
// there: the expected slowdown of the new task, and of the tasks that it would be beside.
func (d *Dispatcher) interferenceScore(u *unit, h *host) float64 {
	d.examined += len(h.runs)
	size := interference.SizeOf(h.worker.Capacity.Processors)
	sum := 0.0
	slowing := d.images[:0]
	isPresent := false
	for _, r := range h.runs {
		isPresent = isPresent || r.image == u.step.Image
		if !slices.Contains(slowing, r.image) {
			slowing = append(slowing, r.image)
			sum += d.matrix.Slowdown(u.step.Image, r.image, size)
		}
	}
	d.images = slowing
	if !isPresent {
		for _, r := range h.runs {
			sum += d.matrix.Slowdown(r.image, u.step.Image, size)
		}
	}
	// The runs are visited in any order, so the last digits of the sum vary.
	sum = math.Round(sum*scoreDigits) / scoreDigits
	return min(interferenceWeight*sum, maxInterferenceScore)
}

// scoreDigits is the number of steps of 1 that interferenceScore distinguishes.
const scoreDigits = 1e6

// slowsItself reports whether tasks of the step slow each other down on the worker.
func (d *Dispatcher) slowsItself(u *unit, h *host) bool {
	return d.avoidsInterference(u) && d.matrix.Slowdown(u.step.Image, u.step.Image, interference.SizeOf(h.worker.Capacity.Processors)) > 0
}

// InterferenceStats counts the pairs of images that are known, and lists the worst of them.
type InterferenceStats struct {
	Pairs    int `json:"pairs"`
	Believed int `json:"believed"`
	// Worst lists the believed pairs with the largest slowdowns, then those with the most
	// evidence.
	Worst []interference.Estimate `json:"worst,omitempty"`
}

// Interference returns the counts of pairs, and the n worst ones.
func (d *Dispatcher) Interference(n int) InterferenceStats {
	s := InterferenceStats{Pairs: d.matrix.Pairs(), Believed: d.matrix.Believed()}
	if n > 0 {
		s.Worst = d.matrix.Worst(n)
	}
	return s
}
