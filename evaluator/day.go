package evaluator

import (
	"errors"
	"fmt"
	"slices"

	"goldcreststack.example/goldcreststack/modeler"
)

// DaySettings describe a simulated day of random jobs.
type DaySettings struct {
	Seed    uint64  `json:"seed"`
	Load    float64 `json:"load"`    // mean demand as a share of the cell's processors
	Seconds int     `json:"seconds"` // length of the day
	// Shapes draws the jobs from a mix of shapes instead of one range of sizes.
	Shapes bool `json:"shapes,omitempty"`
}

// DefaultDay returns the settings of 24 hours at 85% load.
func DefaultDay() DaySettings { return DaySettings{Seed: Seed, Load: 0.85, Seconds: 24 * 3600} }

// The choosers that a day is simulated with: the placer with either policy,
// first fit, and first fit on a single worker with the cell's total resources.
const (
	SpreadChooser    = "spread"
	PackChooser      = "pack"
	StrictFirstFit   = "first fit, strict"
	SkippingFirstFit = "first fit, skipping"
	OnePool          = "one pool"
)

// Day is the result of simulating the same random day with each chooser.
type Day struct {
	Settings DaySettings `json:"settings"`
	Runs     []DayRun    `json:"runs"`
}

// DayRun is the result of a day with one chooser. Batch holds the waits of batch
// jobs that are neither urgent nor gangs.
type DayRun struct {
	Chooser             string  `json:"chooser"`
	Batch               Waits   `json:"batch"`
	Urgent              Waits   `json:"urgent"`
	Gangs               Waits   `json:"gangs"`
	Packing             Packing `json:"packing"` // mean over the day
	WaitingSeconds      int     `json:"busy"`    // seconds in which tasks waited
	PackingWhileWaiting Packing `json:"peak"`    // mean over those seconds
	EndedTasks          int     `json:"ended"`   // tasks that ended
	LeftTasks           int     `json:"left"`    // tasks that never started
}

// Packing is the share of the cell's resources that running tasks declare.
type Packing struct {
	Processors float64 `json:"processors"`
	Memory     float64 `json:"memory"`
}

// Waits summarizes the times from a task's arrival to its first start, in
// seconds.
type Waits struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func waitsOf(list []float64) Waits {
	if len(list) == 0 {
		return Waits{}
	}
	slices.Sort(list)
	sum := 0.0
	for _, w := range list {
		sum += w
	}
	return Waits{
		Count: len(list),
		Mean:  sum / float64(len(list)),
		P50:   list[len(list)/2],
		P99:   list[len(list)*99/100],
		Max:   list[len(list)-1],
	}
}

func (w Waits) String() string {
	if w.Count == 0 {
		return "none"
	}
	return fmt.Sprintf("mean %.1f p50 %.0f p99 %.0f max %.0f", w.Mean, w.P50, w.P99, w.Max)
}

// MeasureDay simulates the same random day with the placer under both policies,
// with first fit in order of arrival, and with one pool of the cell's total
// resources. It returns an error if the settings are out of range.
func MeasureDay(s DaySettings) (Day, error) {
	out := Day{Settings: s}
	if s.Seconds < 1 || s.Load <= 0 || s.Load > 1 {
		return out, errors.New("day settings: the length must be at least 1 s and the load above 0 and at most 1")
	}
	for _, candidate := range []struct {
		name    string
		chooser chooser
	}{
		{SpreadChooser, placerChooser(modeler.Spread)},
		{PackChooser, placerChooser(modeler.Pack)},
		{StrictFirstFit, (&firstFit{free: splitDayCapacity(dayWorkers)}).chooser()},
		{SkippingFirstFit, (&firstFit{free: splitDayCapacity(dayWorkers), skipsBlockedJobs: true}).chooser()},
		{OnePool, (&firstFit{free: splitDayCapacity(1), skipsBlockedJobs: true}).chooser()},
	} {
		r := &dayRun{chooser: candidate.chooser, seconds: s.Seconds}
		r.run(newDayJobs(s))
		out.Runs = append(out.Runs, r.result(candidate.name))
	}
	return out, nil
}

// splitDayCapacity returns the cell's resources split over n workers.
func splitDayCapacity(n int) []modeler.Resources {
	free := make([]modeler.Resources, n)
	for i := range dayWorkers {
		free[i%n] = free[i%n].Add(dayCapacity(i))
	}
	return free
}

func (r *dayRun) result(name string) DayRun {
	seconds, secondsWithWaiting := float64(r.seconds), float64(max(1, r.secondsWithWaiting))
	return DayRun{
		Chooser:             name,
		Batch:               waitsOf(r.batchWaits),
		Urgent:              waitsOf(r.urgentWaits),
		Gangs:               waitsOf(r.gangWaits),
		Packing:             Packing{Processors: r.usedSums[0] / seconds, Memory: r.usedSums[1] / seconds},
		WaitingSeconds:      r.secondsWithWaiting,
		PackingWhileWaiting: Packing{Processors: r.usedSumsWhileWaiting[0] / secondsWithWaiting, Memory: r.usedSumsWhileWaiting[1] / secondsWithWaiting},
		EndedTasks:          r.endedTasks,
		LeftTasks:           r.waitingTasks,
	}
}

// Text returns the result as tables.
func (d Day) Text() string {
	mix := "one range of sizes"
	if d.Settings.Shapes {
		mix = "mixed shapes"
	}
	text := fmt.Sprintf("seed %d, load %.2f of the declared processors, %s, %d s, waits in seconds\n\n",
		d.Settings.Seed, d.Settings.Load, mix, d.Settings.Seconds)
	t := newTable("CHOOSER\tBATCH\tURGENT\tGANGS")
	for _, r := range d.Runs {
		t.addRow("%s\t%s\t%s\t%s", r.Chooser, r.Batch, r.Urgent, r.Gangs)
	}
	text += t.String() + "\n"
	t = newTable("CHOOSER\tPACKING: PROCESSORS\tMEMORY\tWORK WAITS, S\tPACKING THEN: PROCESSORS\tMEMORY\tTASKS ENDED\tTASKS LEFT")
	for _, r := range d.Runs {
		t.addRow("%s\t%.3f\t%.3f\t%d\t%.3f\t%.3f\t%d\t%d", r.Chooser, r.Packing.Processors, r.Packing.Memory, r.WaitingSeconds,
			r.PackingWhileWaiting.Processors, r.PackingWhileWaiting.Memory, r.EndedTasks, r.LeftTasks)
	}
	return text + t.String()
}
