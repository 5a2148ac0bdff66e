package prover

import "fmt"

// Fault is one of the design's faults F1 to F14.
type Fault uint8

// The faults, numbered as in the design.
const (
	ProcessDies Fault = iota + 1
	ProcessPauses
	HostLost
	DiskLost
	SizesWrong
	ImpossibleJob
	CancellationWave
	WorkerFails
	Partitioned
	TicketRace
	TicketResent
	SecondHostLost
	RestartAfterChanges
	ConnectionsSilent
	faultEnd
)

// Faults returns all faults.
func Faults() []Fault {
	var out []Fault
	for f := ProcessDies; f < faultEnd; f++ {
		out = append(out, f)
	}
	return out
}

// String returns the fault's number, such as F1.
func (f Fault) String() string { return fmt.Sprintf("F%d", uint8(f)) }

var faultTitles = [faultEnd]string{
	ProcessDies:         "a process dies",
	ProcessPauses:       "a process pauses and carries on",
	HostLost:            "a host is lost",
	DiskLost:            "a disk is lost",
	SizesWrong:          "declared sizes and run times are far off",
	ImpossibleJob:       "a job can never run",
	CancellationWave:    "a wave of cancellations",
	WorkerFails:         "a worker fails everything it starts",
	Partitioned:         "a control host is silently partitioned",
	TicketRace:          "operators race with equal numbers",
	TicketResent:        "a ticket is resent after a lost answer",
	SecondHostLost:      "a second host is lost after a repair",
	RestartAfterChanges: "a restart after hundreds of changes",
	ConnectionsSilent:   "open connections go silent for good",
}

// Title returns a short description of the fault.
func (f Fault) Title() string { return faultTitles[f] }

// Place is the process that a fault affects.
type Place uint8

// The places of faults.
const (
	Leader Place = iota
	Follower
	EntryHost
	Worker
	// Cell is the place of faults that callers or operators cause, not a process.
	Cell
)

// String returns the place's name as in the names of test cases.
func (p Place) String() string {
	return [...]string{"leader", "follower", "entry", "worker", "cell"}[p]
}
