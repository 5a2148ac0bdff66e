package evaluator

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

const (
	gibibyte  = modeler.Bytes(1 << 30)
	cellTeams = 320
)

// unlimitedQuota is a quota that no measurement reaches.
var unlimitedQuota = resources(1<<40, 1<<20, 1<<20)

func resources(processors modeler.Millicores, gibibytes modeler.Bytes, accelerators modeler.Accelerators) modeler.Resources {
	return modeler.Resources{Processors: processors, Memory: gibibytes * gibibyte, Accelerators: accelerators}
}

// loadGenerator feeds a placer with random jobs and tracks the running tasks.
type loadGenerator struct {
	p             *placer.Placer
	rng           *rand.Rand
	now           modeler.ClockReading
	running       []modeler.Placement
	at            map[modeler.TaskID]int // index in running
	jobCount      int
	maxProcessors int64 // upper bound of a job's size in millicores
}

func newLoadGenerator(workers int, seed uint64) *loadGenerator {
	runtime.GC() // keeps the garbage of an earlier cell out of the measured time
	l := &loadGenerator{
		p:             placer.New(placer.Settings{}),
		rng:           rand.New(rand.NewPCG(seed, 1)),
		now:           modeler.ClockReading(time.Hour),
		at:            map[modeler.TaskID]int{},
		maxProcessors: 8000,
	}
	for i := range workers {
		l.p.SetWorker(l.now, l.worker(i, 1))
	}
	for i := range cellTeams {
		policy := []modeler.Policy{modeler.Spread, modeler.Pack}[i%2]
		l.p.SetTeam(l.now, modeler.Team{Name: l.team(i), Quota: unlimitedQuota, Weight: 1 + i%4, Policy: policy})
	}
	return l
}

func (l *loadGenerator) worker(i int, generation modeler.Generation) placer.Worker {
	domain := i % 8
	w := placer.Worker{
		ID:         modeler.WorkerID(fmt.Sprintf("w%d", i)),
		Generation: generation,
		Region:     modeler.RegionName(fmt.Sprintf("r%d", domain%3)),
		Domain:     modeler.DomainName(fmt.Sprintf("d%d", domain)),
		Rack:       modeler.RackName(fmt.Sprintf("d%d-r%d", domain, i/8/6)),
		Capacity:   resources(32000, []modeler.Bytes{64, 128}[i%2], 0),
	}
	if i%20 == 0 {
		w.Capacity.Accelerators = 4
	}
	return w
}

func (l *loadGenerator) team(i int) modeler.TeamName {
	return modeler.TeamName(fmt.Sprintf("t%d", i%cellTeams))
}

func (l *loadGenerator) job(tasks int) modeler.Job {
	l.jobCount++
	j := modeler.Job{
		ID:    modeler.JobID(fmt.Sprintf("j%d", l.jobCount)),
		Team:  l.team(l.rng.IntN(cellTeams)),
		Kind:  modeler.Batch,
		Tasks: tasks,
		Size: modeler.Resources{
			Processors: modeler.Millicores(100 + l.rng.Int64N(l.maxProcessors)),
			Memory:     modeler.Bytes(100<<20 + l.rng.Int64N(l.maxProcessors*2<<20)),
		},
		Urgent:     l.rng.IntN(50) == 0,
		Checkpoint: l.rng.IntN(2) == 0,
	}
	switch l.rng.IntN(20) {
	case 0, 1, 2, 3:
		j.Kind = modeler.LongRunning
	case 4:
		j.Size.Accelerators = 1
	case 5:
		j.Constraint.Domains = []modeler.DomainName{"d1", "d2"}
	}
	return j
}

func (l *loadGenerator) decide(max int) int { return l.applyDecisions(l.p.Decide(l.now, max)) }

// applyDecisions starts the tasks to be started, ends those to be checkpointed
// and returns the number of starts.
func (l *loadGenerator) applyDecisions(decisions []placer.Decision) int {
	n := 0
	for _, d := range decisions {
		switch d.Verb {
		case modeler.StartTask:
			l.at[d.Placement.Task] = len(l.running)
			l.running = append(l.running, d.Placement)
			n++
		case modeler.CheckpointTask:
			l.end(l.at[d.Placement.Task], modeler.TaskCheckpointed)
		}
	}
	return n
}

// endRandomTask ends a random running task.
func (l *loadGenerator) endRandomTask() { l.end(l.rng.IntN(len(l.running)), modeler.TaskDone) }

func (l *loadGenerator) end(i int, state modeler.TaskState) {
	at := l.running[i]
	last := l.running[len(l.running)-1]
	l.running[i] = last
	l.at[last.Task] = i
	l.running = l.running[:len(l.running)-1]
	delete(l.at, at.Task)
	retry := state == modeler.TaskCheckpointed
	l.p.EndAttempt(l.now, modeler.TaskEnd{Task: at.Task, Attempt: at.Attempt, State: state, Retry: retry})
}

// fill submits single-task jobs until the given number of tasks runs or 20
// submissions in a row start nothing.
func (l *loadGenerator) fill(running int) {
	for misses := 0; len(l.running) < running && misses < 20; misses++ {
		l.p.Submit(l.now, l.job(1))
		l.now = l.now.Add(time.Millisecond)
		if l.decide(16) > 0 {
			misses = 0
		}
	}
}
