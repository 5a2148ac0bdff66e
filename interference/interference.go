package interference

import (
	"math"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// Mode says what is done about interference on the workers of a service.
type Mode uint8

// The modes. A service without a setting is observed.
const (
	Observe Mode = iota
	Off
	// Act also prefers workers on which tasks are slowed down less.
	Act
)

var modeNames = [...]string{Observe: "observe", Off: "off", Act: "act"}

// String returns the mode as settings name it.
func (m Mode) String() string { return modeNames[m] }

// ParseMode returns the mode of a name in settings.
func ParseMode(name string) (Mode, error) {
	for m, known := range modeNames {
		if name == known {
			return Mode(m), nil
		}
	}
	return Observe, classifier.New(classifier.Malformed, "interference %q is none of off, observe and act", name)
}

// Size is the size class of a worker: the rounded binary logarithm of its processors.
type Size int8

// SizeOf returns the size class of a worker with the given processors.
func SizeOf(p modeler.Millicores) Size {
	return Size(math.Round(math.Log2(max(float64(p)/1000, 0.01))))
}

// Cores returns the number of cores in the middle of the class.
func (s Size) Cores() float64 { return math.Exp2(float64(s)) }

// Pair is an image, another one beside it, and the size of the workers that they share. The
// estimate is kept by size, since a pair may be harmless on large workers.
type Pair struct {
	Image  modeler.ImageName `json:"image"`
	Beside modeler.ImageName `json:"beside"`
	Size   Size              `json:"size"`
}

// Neighbour is an image that ran beside a run, and the share of the run's time in which it did.
// For the run's own image it is 1 if it ran there when the run started, and 0 otherwise: how long
// tasks of one step are beside each other depends on their run times.
type Neighbour struct {
	Image modeler.ImageName
	Share float64
}

// Run is a completed run of a task.
type Run struct {
	Task   modeler.TaskIndex
	Worker modeler.WorkerID
	Size   Size
	// Deviation is the logarithm of the run time relative to what was expected.
	Deviation  float64
	Neighbours []Neighbour
}

// Estimate is the estimated slowdown of a pair.
type Estimate struct {
	Pair
	// Slowdown is the factor by which runs of the image take longer.
	Slowdown float64 `json:"slowdown"`
	// Error is the standard error of the logarithm of Slowdown.
	Error float64 `json:"error"`
	// Met is the weight of the runs that the estimate rests on: a run that was beside the
	// other image for half of its time, in a step of which others were not, counts a quarter
	// to a half.
	Met float64 `json:"met"`
	// Believed is set when the evidence is sufficient.
	Believed bool `json:"believed"`
}

// Change is a pair that is believed from now on, or is no longer.
type Change struct {
	Estimate
	// Forgotten is set when a believed pair has not met for long.
	Forgotten bool
}

// AnyService stands for all services that Modes does not list.
const AnyService modeler.ServiceName = "*"

// Modes holds the mode of each service that has a setting.
type Modes map[modeler.ServiceName]Mode

// Of returns the mode of a service.
func (m Modes) Of(service modeler.ServiceName) Mode {
	if mode, found := m[service]; found {
		return mode
	}
	return m[AnyService]
}
