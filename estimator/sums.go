package estimator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"goldcreststack.example/goldcreststack/recorder"
)

// Sum is the cost of one activity (What) on one host of a role.
type Sum struct {
	Role     string `json:"role"`
	Activity string `json:"what"`
	// Memory is in bytes, Cores in processor cores, Traffic in bytes per
	// second.
	Memory    float64 `json:"memory"`
	Cores     float64 `json:"cores"`
	Traffic   float64 `json:"traffic"`
	Mechanism string  `json:"mechanism"`
}

const (
	secondsPerDay            = 86_400
	renewalsPerSecond        = 4 // an entry host renews its session every 250 ms
	groupHeartbeatsPerSecond = 10
	groupHeartbeatBytes      = 120 // an append without entries and its answer
	secondsPerNanosecond     = 1e-9
)

// costTable holds the higher of a slope's two costs by the slope's name.
type costTable map[string]float64

func newCostTable(slopes []Slope) costTable {
	t := make(costTable)
	for _, s := range slopes {
		t[s.Name] = max(s.Low, s.High)
	}
	return t
}

// Sums calculates the costs of each role at a size from the measured slopes.
func Sums(s Size, slopes []Slope) []Sum {
	t := newCostTable(slopes)
	heartbeatsPerSecond := float64(s.Workers) / s.Beat.Seconds()
	out := leaderSums(s, t, heartbeatsPerSecond)
	out = append(out, followerSums(s, t)...)
	out = append(out, entrySums(s, t, heartbeatsPerSecond)...)
	return append(out, Sum{
		Role: "worker", Activity: "heartbeats",
		Traffic:   t[wireHeartbeat] / s.Beat.Seconds(),
		Mechanism: "one small request a beat to any entry host; nothing of the system runs on the worker",
	})
}

func leaderSums(s Size, t costTable, heartbeatsPerSecond float64) []Sum {
	starts := float64(s.Starts)
	followers := float64(s.Controls - 1)
	return []Sum{
		{
			Role: "leader", Activity: "replicated state",
			Memory:    float64(s.Tasks)*t[stateTask] + recordsMemory(t) + float64(s.Tickets)*11*t[stateTicket],
			Cores:     starts * t[applyTask] * secondsPerNanosecond,
			Traffic:   starts * t[logTask] * followers,
			Mechanism: "one log; commands of one flush share a sync; records, their answers and the history are bounded",
		},
		{
			Role: "leader", Activity: "snapshots, one in 20,000 entries",
			Memory:    float64(s.Tasks) * t[snapshotMemory],
			Cores:     starts * 3 / 20_000 * float64(s.Tasks) * (t[snapshotCopy] + t[snapshotTask]) * secondsPerNanosecond,
			Mechanism: "copied on the core goroutine, encoded and written beside it, one at a time",
		},
		{
			Role: "leader", Activity: "heartbeats",
			Cores:     heartbeatsPerSecond * (t[codecLeader] + t[lendHeartbeat] + t[superviseHeartbeat] + t[placeHeartbeat]) * secondsPerNanosecond,
			Traffic:   heartbeatsPerSecond * t[wireBatchedHeartbeat],
			Mechanism: "entry hosts batch heartbeats; indexes are changed only where a worker has changed",
		},
		{
			Role: "leader", Activity: "lending slots",
			Memory:    float64(s.Workers) * t[lendWorker],
			Traffic:   float64(s.Entries) * renewalsPerSecond * t[wireRenew],
			Mechanism: "slots are lent to sessions; a renewal carries only changes",
		},
		{
			Role: "leader", Activity: "task leases",
			Memory:    float64(s.Tasks) * t[superviseTask],
			Mechanism: "leases are renewed in the answers to heartbeats",
		},
		{
			Role: "leader", Activity: "placement",
			Memory:    float64(s.Tasks) * t[placeTask],
			Cores:     starts * t[placeDecision] * secondsPerNanosecond,
			Mechanism: "workers in buckets by free room in each failure domain",
		},
		{
			Role: "leader", Activity: "changes of configuration",
			Traffic:   float64(s.Tickets) / secondsPerDay * (t[logTicket]*followers + t[wireConfig]*float64(s.Services*s.Entries)),
			Mechanism: "the whole configuration to each entry host, none in between when one lags",
		},
	}
}

// recordsMemory returns the memory of a full table of at-most-once records, in
// bytes.
func recordsMemory(t costTable) float64 {
	return recorder.DefaultRecords*t[stateRecord] + recorder.DefaultAnswers
}

func followerSums(s Size, t costTable) []Sum {
	starts := float64(s.Starts)
	return []Sum{{
		Role: "follower", Activity: "replicated state",
		Memory:    float64(s.Tasks)*t[stateTask] + recordsMemory(t) + float64(s.Tickets)*11*t[stateTicket],
		Cores:     starts * t[applyTask] * secondsPerNanosecond,
		Traffic:   starts*t[logTask] + groupHeartbeatsPerSecond*groupHeartbeatBytes,
		Mechanism: "the log in batches; a heartbeat of the group each 100 ms",
	}}
}

func entrySums(s Size, t costTable, heartbeatsPerSecond float64) []Sum {
	share := heartbeatsPerSecond / float64(s.Entries)
	return []Sum{
		{
			Role: "entry", Activity: "heartbeats of workers",
			Cores:     share * t[codecEntry] * secondsPerNanosecond,
			Traffic:   share * (t[wireHeartbeat] + t[wireBatchedHeartbeat]),
			Mechanism: "spread by the balancer; passed on in batches of 10 ms",
		},
		{
			Role: "entry", Activity: "waiting requests, 1,000 of each of 8 services",
			Memory:    8_000 * t[routeRequest],
			Mechanism: "bounded queues; refused beyond the bound",
		},
		{
			Role: "entry", Activity: "configuration and renewals",
			Memory:    float64(s.Services) * t[wireConfig],
			Traffic:   renewalsPerSecond*t[wireRenew] + float64(s.Tickets)/secondsPerDay*t[wireConfig]*float64(s.Services),
			Mechanism: "one session for all slots; newest configuration only",
		},
	}
}

// Print writes slopes and sums as tables to out and returns an error of the
// writer.
func Print(out io.Writer, slopes []Slope, sums []Sum) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SLOPE\tPER\tFROM\tTO\tLOW\tHIGH\tUNIT")
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.0f\t%.0f\t%s\n", s.Name, s.Per, s.From, s.To, s.Low, s.High, s.Unit)
	}
	fmt.Fprintln(w, "\nROLE\tWHAT\tMEMORY MB\tCORES\tKB/S")
	for _, s := range sums {
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.4f\t%.2f\n", s.Role, s.Activity, s.Memory/(1<<20), s.Cores, s.Traffic/1024)
	}
	return w.Flush()
}
