package evaluator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
)

// PoolSettings describe a pool of workers and the load of one day, read from a
// JSON file.
type PoolSettings struct {
	// Length is the time in which flows arrive, and Drain how long the day goes on
	// after that.
	Length modeler.Duration `json:"length"`
	Drain  modeler.Duration `json:"drain"`
	// Network is the time of a message to a worker, Commit that of a log entry.
	Network modeler.Duration `json:"network"`
	Commit  modeler.Duration `json:"commit"`
	// LeaderTime is the processor time of the leader for a message that it receives or
	// sends; 0 means that it is never behind.
	LeaderTime modeler.Duration `json:"leadertime"`
	// Askers is how many permit requests can be open at a time.
	Askers  int         `json:"askers"`
	Workers PoolWorkers `json:"workers"`
	// Accounts share the flows of all queues that are not public.
	Accounts []PoolAccount `json:"accounts"`
	// Tail slows a part of all attempts.
	Tail    PoolTail     `json:"tail"`
	Queues  []PoolQueue  `json:"queues"`
	Bursts  []PoolBurst  `json:"bursts"`
	Outages []PoolOutage `json:"outages"`
}

// PoolWorkers describes the workers of the pool. Speeds and sizes are relative to the
// usual worker and are given to the workers in turn.
type PoolWorkers struct {
	Count        int                  `json:"count"`
	Processors   modeler.Millicores   `json:"processors"`
	Memory       modeler.Bytes        `json:"memory"`
	Accelerators modeler.Accelerators `json:"accelerators"`
	Speeds       []float64            `json:"speeds"`
	Sizes        []float64            `json:"sizes"`
}

// PoolAccount is a client account. Part is the part of the flows that it sends, relative
// to the sum over all accounts, and Quota its processors; 0 means no limit.
type PoolAccount struct {
	Name   modeler.TeamName   `json:"name"`
	Part   float64            `json:"part"`
	Weight int                `json:"weight"`
	Quota  modeler.Millicores `json:"quota"`
}

// PoolTail lets a part of the attempts run Factor times as long.
type PoolTail struct {
	Part   float64 `json:"part"`
	Factor float64 `json:"factor"`
}

// PoolSpread is a log-normal distribution that is cut at Max; Spread is the
// standard deviation of the logarithm.
type PoolSpread struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"`
	Max    float64 `json:"max"`
}

// PoolQueue describes the flows of a queue.
type PoolQueue struct {
	Name     string           `json:"name"`
	Priority int              `json:"priority"`
	Rate     float64          `json:"rate"` // flows per second
	Slowdown float64          `json:"slowdown"`
	Latency  modeler.Duration `json:"latency"`
	Attempts int              `json:"attempts"`
	// Worth and Late are what a flow of mean size is worth to its caller in time
	// and after that.
	Worth float64 `json:"worth"`
	Late  float64 `json:"late"`
	// Steps is the number of steps of a flow, each after the one before; one step if it
	// is left out. Scale multiplies the processors and the memory of a step.
	Steps PoolSpread `json:"steps"`
	Scale PoolSpread `json:"scale"`
	Width PoolSpread `json:"width"` // tasks of a step
	Work  PoolSpread `json:"work"`  // seconds of a task
	// Estimates is the standard deviation of the logarithm of estimate / run time.
	Estimates    float64                `json:"estimates"`
	Processors   modeler.Millicores     `json:"processors"`
	Memory       modeler.Bytes          `json:"memory"`
	Accelerators []modeler.Accelerators `json:"accelerators"`
	// Gang, Checkpoints and Errors are the shares of steps that are gangs, of steps
	// that save their work, and of attempts that fail.
	Gang        float64 `json:"gang"`
	Checkpoints float64 `json:"checkpoints"`
	Errors      float64 `json:"errors"`
	// LongRunning tasks run until their caller cancels the flow, after Work. They are in
	// time if all of them have started within longStart.
	LongRunning bool `json:"longrunning"`
	// Public queues take flows without an account.
	Public  bool         `json:"public"`
	Permits *PoolPermits `json:"permits"`
}

// PoolPermits describes the outside policy of a queue; Share is the share of
// workers that it allows.
type PoolPermits struct {
	Decision modeler.Duration `json:"decision"`
	Worker   modeler.Duration `json:"worker"`
	Validity modeler.Duration `json:"validity"`
	Share    float64          `json:"share"`
}

// PoolBurst multiplies the arrivals of a queue for a time.
type PoolBurst struct {
	Queue  string           `json:"queue"`
	At     modeler.Duration `json:"at"`
	For    modeler.Duration `json:"for"`
	Factor float64          `json:"factor"`
}

// PoolOutage is a time without a leader; a new one takes over at its end.
type PoolOutage struct {
	At  modeler.Duration `json:"at"`
	For modeler.Duration `json:"for"`
}

// ReadPool reads the settings of a pool from a file. An error names the file and,
// for malformed JSON, the line.
func ReadPool(path string) (PoolSettings, error) {
	var s PoolSettings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		line := 1 + bytes.Count(data[:min(decoder.InputOffset(), int64(len(data)))], []byte("\n"))
		var syntax *json.SyntaxError
		var value *json.UnmarshalTypeError
		switch {
		case errors.As(err, &syntax):
			line = 1 + bytes.Count(data[:syntax.Offset], []byte("\n"))
		case errors.As(err, &value):
			line = 1 + bytes.Count(data[:value.Offset], []byte("\n"))
		}
		return s, fmt.Errorf("%s:%d: %w", path, line, err)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func (s *PoolSettings) check() error {
	switch {
	case s.Length <= 0:
		return fmt.Errorf("length %v is not above 0", s.Length.Std())
	case s.Drain < 0 || s.Network < 0 || s.Commit < 0 || s.LeaderTime < 0:
		return errors.New("drain, network, commit and leadertime must not be negative")
	case s.Workers.Count < 1 || s.Workers.Processors < 1:
		return fmt.Errorf("workers: %d with %d millicores; there must be one with processors", s.Workers.Count, s.Workers.Processors)
	case len(s.Queues) == 0:
		return errors.New("queues: there is none")
	}
	names := make(map[string]bool)
	for _, q := range s.Queues {
		if err := q.check(s); err != nil {
			return fmt.Errorf("queue %q: %w", q.Name, err)
		}
		if names[q.Name] {
			return fmt.Errorf("queue %q is there twice", q.Name)
		}
		names[q.Name] = true
	}
	for _, b := range s.Bursts {
		if !names[b.Queue] || b.Factor < 0 {
			return fmt.Errorf("burst of queue %q by %v: the queue must exist and the factor not be negative", b.Queue, b.Factor)
		}
	}
	return nil
}

func (q *PoolQueue) check(s *PoolSettings) error {
	most := modeler.Accelerators(0)
	for _, n := range q.Accelerators {
		most = max(most, n)
	}
	need := q.scaled(max(q.Scale.Max, 1))
	need.Accelerators = most
	switch {
	case q.Name == "":
		return errors.New("it has no name")
	case q.Rate < 0 || q.Rate*arrivalStep.Seconds() > 1:
		return fmt.Errorf("rate %v is not between 0 and %v", q.Rate, 1/arrivalStep.Seconds())
	case q.Width.Mean <= 0 || q.Width.Max < 1 || q.Work.Mean <= 0 || q.Work.Max <= 0:
		return errors.New("width and work need a mean above 0 and a max")
	case !need.Fits(s.Workers.capacity(s.Workers.largest())):
		return fmt.Errorf("a task of %v fits on no worker", need)
	case q.Permits != nil && (s.Askers < 1 || q.Permits.Share <= 0 || q.Permits.Share > 1):
		return fmt.Errorf("permits of share %v with %d askers: the share must be above 0 and at most 1, and there must be an asker", q.Permits.Share, s.Askers)
	}
	return nil
}

// scaled returns what a task needs whose step is scaled by a factor.
func (q *PoolQueue) scaled(factor float64) modeler.Resources {
	return modeler.Resources{
		Processors: modeler.Millicores(float64(q.Processors) * factor),
		Memory:     modeler.Bytes(float64(q.Memory) * factor),
	}
}

// capacity returns the resources of a worker.
func (w PoolWorkers) capacity(i int) modeler.Resources {
	size := 1.0
	if len(w.Sizes) > 0 {
		size = w.Sizes[i%len(w.Sizes)]
	}
	return modeler.Resources{
		Processors:   modeler.Millicores(float64(w.Processors) * size),
		Memory:       modeler.Bytes(float64(w.Memory) * size),
		Accelerators: modeler.Accelerators(float64(w.Accelerators) * size),
	}
}

// largest returns the index of a largest worker.
func (w PoolWorkers) largest() int {
	largest := 0
	for i := range min(w.Count, len(w.Sizes)) {
		if w.Sizes[i] > w.Sizes[largest] {
			largest = i
		}
	}
	return largest
}

// SetPermitTime replaces the time of the outside policies of all queues.
func (s *PoolSettings) SetPermitTime(decision, worker time.Duration) {
	for i := range s.Queues {
		if p := s.Queues[i].Permits; p != nil {
			changed := *p
			changed.Decision, changed.Worker = modeler.Duration(decision), modeler.Duration(worker)
			s.Queues[i].Permits = &changed
		}
	}
}

// PoolPolicy is a set of decisions under which a day is simulated.
type PoolPolicy struct {
	Name     string
	Disabled map[dispatcher.Decision]bool
}

// PoolPolicies returns the product's decisions, and the same without each of the named
// ones, or without each one if none is named. A name may join several by "+".
func PoolPolicies(without []string) ([]PoolPolicy, error) {
	if len(without) == 0 {
		for _, x := range dispatcher.Decisions {
			without = append(without, string(x))
		}
	}
	policies := []PoolPolicy{{Name: "all"}}
	for _, names := range without {
		p := PoolPolicy{Name: "without " + names, Disabled: make(map[dispatcher.Decision]bool)}
		for _, name := range strings.Split(names, "+") {
			x := dispatcher.Decision(name)
			if !slices.Contains(dispatcher.Decisions, x) {
				return nil, fmt.Errorf("there is no decision %q", name)
			}
			p.Disabled[x] = true
		}
		policies = append(policies, p)
	}
	return policies, nil
}

// Pool is the result of simulating the same days under several policies.
type Pool struct {
	File  string    `json:"file"`
	Seeds int       `json:"seeds"`
	Runs  []PoolRun `json:"runs"`
	// Bound is a share of the worth that no policy can exceed.
	Bound float64 `json:"bound"`
}

// PoolRun is the result of one policy, as means over the seeds. Served is the
// share of the worth that callers got, and Error its standard error.
type PoolRun struct {
	Policy string           `json:"policy"`
	Served float64          `json:"served"`
	Error  float64          `json:"error"`
	Worst  float64          `json:"worst"` // the worst seed
	Queues []PoolQueueShare `json:"queues"`
	// Preempted and LostWork are the attempts stopped for others and the seconds
	// of work that attempts lost, per seed.
	Preempted float64 `json:"preempted"`
	LostWork  float64 `json:"lost"`
	// Lag is the mean over the seeds of the longest time in seconds that a message has
	// waited for the leader.
	Lag float64 `json:"lag"`
	// Timeline is the share served of the flows that arrived in each tenth of the
	// day.
	Timeline [poolParts]float64 `json:"timeline"`
}

// PoolQueueShare is the share of a queue's worth that its callers got, and the
// share of the flows done in time.
type PoolQueueShare struct {
	Queue  string  `json:"queue"`
	Served float64 `json:"served"`
	InTime float64 `json:"intime"`
	// Start is the mean time in seconds until the first task of a flow starts, and
	// Requests the mean number of permit requests of a flow.
	Start    float64 `json:"start"`
	Requests float64 `json:"requests"`
	// Few is the share of the permit requests that name one or two workers.
	Few float64 `json:"few"`
}

// poolParts is the number of parts of a day in a timeline.
const poolParts = 10

// MeasurePool simulates days with the seeds 1 to seeds under each policy.
func MeasurePool(file string, s PoolSettings, policies []PoolPolicy, seeds int) (Pool, error) {
	if seeds < 1 {
		return Pool{}, fmt.Errorf("%d seeds: there must be one", seeds)
	}
	out := Pool{File: file, Seeds: seeds}
	for _, p := range policies {
		var days []*poolDay
		for seed := range seeds {
			day := newPoolDay(&s, p, uint64(seed+1))
			day.run()
			days = append(days, day)
		}
		out.Runs = append(out.Runs, summarizePool(&s, p.Name, days))
	}
	for seed := range seeds {
		out.Bound += poolBound(&s, newPoolDay(&s, PoolPolicy{}, uint64(seed+1))) / float64(seeds)
	}
	return out, nil
}

func summarizePool(s *PoolSettings, name string, days []*poolDay) PoolRun {
	r := PoolRun{Policy: name, Worst: math.Inf(1)}
	n := float64(len(days))
	var shares []float64
	queues := make(map[string]*poolTally)
	var parts [poolParts]poolTally
	for _, day := range days {
		var all poolTally
		for _, f := range day.flows {
			got := day.credit(f)
			q := queues[f.queue.Name]
			if q == nil {
				q = &poolTally{}
				queues[f.queue.Name] = q
			}
			part := int(poolParts * f.arrival / s.Length.Std())
			for _, t := range []*poolTally{&all, q, &parts[part]} {
				t.add(f.worth, got)
			}
			q.addTimes(f)
		}
		shares = append(shares, all.share())
		r.Worst = min(r.Worst, all.share())
		r.Served += all.share() / n
		r.Preempted += float64(day.preempted) / n
		r.LostWork += day.lostWork.Seconds() / n
		r.Lag += day.maxLag.Seconds() / n
	}
	for _, x := range shares {
		r.Error += (x - r.Served) * (x - r.Served)
	}
	r.Error = math.Sqrt(r.Error) / n
	for _, q := range s.Queues {
		if t := queues[q.Name]; t != nil {
			r.Queues = append(r.Queues, PoolQueueShare{
				Queue: q.Name, Served: t.share(), InTime: float64(t.inTime) / float64(t.flows),
				Start:    t.start.Seconds() / float64(max(t.started, 1)),
				Requests: float64(t.requests) / float64(t.flows),
				Few:      float64(t.few) / float64(max(t.requests, 1)),
			})
		}
	}
	for i := range parts {
		r.Timeline[i] = parts[i].share()
	}
	return r
}

// poolTally sums the worth of flows and what their callers got.
type poolTally struct {
	owed, got     float64
	flows, inTime int
	// started counts the flows of which a task has started, and start sums the times
	// until then. few counts those of the permit requests that name one or two workers.
	started, requests, few int
	start                  time.Duration
}

func (t *poolTally) addTimes(f *poolFlow) {
	t.requests += f.requests
	t.few += f.fewRequests
	if f.firstStart > 0 {
		t.started++
		t.start += f.firstStart - f.arrival
	}
}

func (t *poolTally) add(worth, got float64) {
	t.owed += worth
	t.got += got
	t.flows++
	if got == worth {
		t.inTime++
	}
}

func (t *poolTally) share() float64 {
	if t.owed == 0 {
		return 1
	}
	return t.got / t.owed
}

// Text returns the result as a table, with a plot of the share served over the day.
func (p Pool) Text() string {
	text := fmt.Sprintf("%s, %d seeds; no policy can serve more than %.3f\n\n", p.File, p.Seeds, p.Bound)
	header := "POLICY\tSERVED\tERROR\tWORST"
	for _, q := range p.Runs[0].Queues {
		header += "\t" + strings.ToUpper(q.Queue) + "\tIN TIME\tSTART, S\tREQUESTS"
	}
	t := newTable(header + "\tPREEMPTED\tLOST, S\tLAG, S\tOVER THE DAY")
	for _, r := range p.Runs {
		row := fmt.Sprintf("%s\t%.3f\t%.3f\t%.3f", r.Policy, r.Served, r.Error, r.Worst)
		for _, q := range r.Queues {
			row += fmt.Sprintf("\t%.3f\t%.3f\t%.2f\t%.1f", q.Served, q.InTime, q.Start, q.Requests)
		}
		t.addRow("%s\t%.1f\t%.1f\t%.2f\t%s", row, r.Preempted, r.LostWork, r.Lag, plot(r.Timeline[:]))
	}
	return text + t.String()
}

// plot returns a bar for each share, from 0 to 1.
func plot(shares []float64) string {
	bars := []rune("▁▂▃▄▅▆▇█")
	var out strings.Builder
	for _, x := range shares {
		out.WriteRune(bars[max(0, min(len(bars)-1, int(x*float64(len(bars)))))])
	}
	return out.String()
}
