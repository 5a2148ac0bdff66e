package evaluator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/placer"
)

const (
	dayWorkers = 48
	dayCores   = 32
	dayTeams   = 8
)

// dayJob is a job with its true run times and usage, which differ from the
// declared ones.
type dayJob struct {
	modeler.Job
	arrival     int
	taskSeconds []int // true run time of each task, in seconds
	usage       modeler.Resources
}

// newDayJobs returns the jobs of a random day in order of arrival. True run times
// are between a tenth and ten times the declared ones; four fifths of the jobs
// use between a tenth and all of their declared size, the others up to ten times
// as much. The load varies by 35% around its mean over the day.
func newDayJobs(settings DaySettings) []*dayJob {
	rng := rand.New(rand.NewPCG(settings.Seed, 2))
	var jobs []*dayJob
	for i := range 12 {
		j := randomJob(rng, i)
		j.Kind, j.Tasks, j.Checkpoint, j.Urgent = modeler.LongRunning, 8, false, false
		j.Size = resources(2000, 4, 0)
		j.taskSeconds = slices.Repeat([]int{10 * settings.Seconds}, 8)
		jobs = append(jobs, j)
	}
	unmetCoreSeconds := 0.0
	for second := range settings.Seconds {
		dailyFactor := 1 - 0.35*math.Cos(2*math.Pi*float64(second)/float64(settings.Seconds))
		unmetCoreSeconds += dailyFactor * (settings.Load*dayWorkers*dayCores - 12*8*2)
		for unmetCoreSeconds > 0 {
			j := randomJob(rng, len(jobs))
			j.arrival = second
			if settings.Shapes {
				j.reshape(rng)
			}
			for _, s := range j.taskSeconds {
				unmetCoreSeconds -= float64(s) * float64(j.Size.Processors) / 1000
			}
			jobs = append(jobs, j)
		}
	}
	return jobs
}

func randomJob(rng *rand.Rand, i int) *dayJob {
	j := &dayJob{Job: modeler.Job{
		ID:         modeler.JobID(fmt.Sprintf("j%d", i)),
		Team:       modeler.TeamName(fmt.Sprintf("t%d", rng.IntN(dayTeams))),
		Kind:       modeler.Batch,
		Tasks:      1 + rng.IntN(8),
		Urgent:     rng.IntN(20) == 0,
		Checkpoint: rng.IntN(2) == 0,
	}}
	j.Size = modeler.Resources{
		Processors: modeler.Millicores(250 * math.Pow(64, rng.Float64())),
		Memory:     modeler.Bytes(float64(gibibyte) * math.Pow(40, rng.Float64())),
	}
	if rng.IntN(12) == 0 {
		j.Kind, j.Tasks, j.Urgent = modeler.Gang, 8+rng.IntN(24), false
	}
	declared := 120 * math.Pow(10, rng.Float64())
	for range j.Tasks {
		j.taskSeconds = append(j.taskSeconds, 1+int(declared*math.Pow(10, 2*rng.Float64()-1)))
	}
	j.Runtime = modeler.Duration(declared * float64(time.Second))
	factor := math.Pow(10, -rng.Float64())
	if rng.IntN(5) == 0 {
		factor = math.Pow(10, rng.Float64())
	}
	j.usage.Processors = modeler.Millicores(float64(j.Size.Processors) * factor)
	j.usage.Memory = modeler.Bytes(float64(j.Size.Memory) * factor)
	return j
}

// reshape gives the job one of several shapes: small, memory-heavy,
// processor-heavy, nearly a whole worker, or a gang of half workers. A bad mix of
// them on a worker leaves resources that no other job can use. With sizes drawn
// from one range, nearly all jobs except the largest gangs start at once, so the
// packing doesn't depend on which worker is chosen.
func (j *dayJob) reshape(rng *rand.Rand) {
	declared := j.Size
	switch shape := rng.IntN(20); {
	case shape < 7:
		j.Size = resources(250+modeler.Millicores(rng.IntN(1750)), 1+modeler.Bytes(rng.IntN(4)), 0)
	case shape < 12:
		j.Size = resources(500+modeler.Millicores(rng.IntN(2500)), 16+modeler.Bytes(rng.IntN(24)), 0)
	case shape < 17:
		j.Size = resources(4000+modeler.Millicores(rng.IntN(10000)), 1+modeler.Bytes(rng.IntN(6)), 0)
	case shape < 19:
		j.Size = resources(20000+modeler.Millicores(rng.IntN(8000)), 32+modeler.Bytes(rng.IntN(16)), 0)
	default:
		j.Size = resources(16000, 24, 0)
		j.Kind, j.Urgent = modeler.Gang, false
	}
	if j.Kind == modeler.Gang && j.Tasks > 12 {
		j.Tasks = 12
		j.taskSeconds = j.taskSeconds[:12]
	}
	j.usage.Processors = modeler.Millicores(float64(j.Size.Processors) * float64(j.usage.Processors) / float64(declared.Processors))
	j.usage.Memory = modeler.Bytes(float64(j.Size.Memory) * float64(j.usage.Memory) / float64(declared.Memory))
}

// chooser is a scheduler under test: the placer, first fit, or one pool.
type chooser struct {
	submit func(now modeler.ClockReading, j modeler.Job)
	ended  func(now modeler.ClockReading, at modeler.Placement, state modeler.TaskState)
	report func(now modeler.ClockReading, at modeler.Placement, usage modeler.Resources)
	decide func(now modeler.ClockReading) []placer.Decision
}

func dayCapacity(i int) modeler.Resources {
	return resources(dayCores*1000, []modeler.Bytes{64, 128}[i%2], 0)
}

func placerChooser(policy modeler.Policy) chooser {
	p := placer.New(placer.Settings{})
	for i := range dayWorkers {
		p.SetWorker(0, placer.Worker{
			ID: modeler.WorkerID(fmt.Sprint(i)), Generation: 1, Region: "r",
			Domain:   modeler.DomainName(fmt.Sprint(i % 4)),
			Rack:     modeler.RackName(fmt.Sprint(i%4, i/24)),
			Capacity: dayCapacity(i / 4),
		})
	}
	for i := range dayTeams {
		p.SetTeam(0, modeler.Team{
			Name: modeler.TeamName(fmt.Sprintf("t%d", i)), Quota: unlimitedQuota, Weight: 1, Policy: policy,
		})
	}
	return chooser{
		submit: p.Submit,
		ended: func(now modeler.ClockReading, at modeler.Placement, state modeler.TaskState) {
			retry := state == modeler.TaskCheckpointed
			p.EndAttempt(now, modeler.TaskEnd{Task: at.Task, Attempt: at.Attempt, State: state, Retry: retry})
		},
		report: func(now modeler.ClockReading, at modeler.Placement, usage modeler.Resources) {
			p.Usage(now, at.Worker, at.Generation, []modeler.TaskReport{
				{Task: at.Task, Attempt: at.Attempt, State: modeler.TaskRunning, Usage: usage},
			})
		},
		decide: func(now modeler.ClockReading) []placer.Decision { return p.Decide(now, 1000) },
	}
}
