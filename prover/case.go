package prover

import "fmt"

// Case is one test case: a fault that is injected at a place directly after a step.
type Case struct {
	Step  Step
	Fault Fault
	Place Place
	// Repeat reports whether the traced request may be repeated.
	Repeat bool
}

// Name returns the last element of the test case's name, after path and step.
func (c Case) Name() string {
	name := fmt.Sprintf("%s-%s", c.Fault, c.Place)
	if c.Repeat {
		name += "-repeat"
	}
	return name
}

// MatrixCell is a cell of the matrix: its cases, or the reason why there are none.
type MatrixCell struct {
	Cases  []Case
	Reason string
}

const (
	noSizes  = "does not apply: no declared size takes part"
	noWorker = "does not apply: no worker takes part"
	noQuorum = "does not apply: two of three disks are gone before the repair ends, which exceeds what three members survive"
)

// CellAt returns the cell of the matrix for a fault and a step.
func CellAt(f Fault, s Step) MatrixCell {
	places, reason := placesOf(f, s)
	e := MatrixCell{Reason: reason}
	for _, p := range places {
		e.Cases = append(e.Cases, Case{Step: s, Fault: f, Place: p})
		if s.Path() == RequestPath && !s.NonRepeatableOnly() {
			e.Cases = append(e.Cases, Case{Step: s, Fault: f, Place: p, Repeat: true})
		}
	}
	return e
}

// placesOf returns the places at which a fault is injected after a step, or the
// reason why there are none.
func placesOf(f Fault, s Step) ([]Place, string) {
	path := s.Path()
	serving := path == RequestPath || path == TaskPath
	switch f {
	case ProcessDies, ProcessPauses, HostLost, ConnectionsSilent:
		if serving {
			return []Place{Leader, Follower, EntryHost, Worker}, ""
		}
		return []Place{Leader, Follower, EntryHost}, ""
	case RestartAfterChanges:
		return []Place{Leader, Follower, EntryHost}, ""
	case DiskLost, Partitioned:
		return []Place{Leader, Follower}, ""
	case SecondHostLost:
		if path == MemberPath && s != OldRemoved {
			return nil, noQuorum
		}
		return []Place{Leader, Follower}, ""
	case SizesWrong:
		if path != TaskPath {
			return nil, noSizes
		}
		return []Place{Worker}, ""
	case WorkerFails:
		if !serving {
			return nil, noWorker
		}
		return []Place{Worker}, ""
	default:
		return []Place{Cell}, ""
	}
}

// Cases returns the cases of all cells, each with a single fault.
func Cases() []Case {
	var out []Case
	for _, path := range Paths() {
		for _, s := range Steps(path) {
			for _, f := range Faults() {
				out = append(out, CellAt(f, s).Cases...)
			}
		}
	}
	return out
}

// Pair returns a case of each of two faults at the same step, chosen with intn. The
// second fault is injected after the first.
func Pair(f, g Fault, intn func(int) int) [2]Case {
	for {
		path := Paths()[intn(len(Paths()))]
		list := Steps(path)
		s := list[intn(len(list))]
		first, second := CellAt(f, s).Cases, CellAt(g, s).Cases
		if len(first) == 0 || len(second) == 0 {
			continue
		}
		a, b := first[intn(len(first))], second[intn(len(second))]
		b.Repeat = a.Repeat
		return [2]Case{a, b}
	}
}

// LosesMember reports whether the fault loses a member permanently. A group of
// three survives two such faults only if the first is repaired before the second.
func (c Case) LosesMember() bool {
	member := c.Place == Leader || c.Place == Follower
	return member && (c.Fault == HostLost || c.Fault == DiskLost || c.Fault == SecondHostLost)
}
