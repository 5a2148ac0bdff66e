package operator

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// Waits tells where the time of each flow went, from the lines that leaders have
// logged about it.
type Waits struct {
	Flows []FlowWait `json:"flows"`
	// Lines counts the lines about flows, and Skipped those that are not JSON.
	Lines   int `json:"lines"`
	Skipped int `json:"skipped"`
}

// FlowWait holds the times of one flow. Each begins where the one before ends; a
// time that has not ended when the log does is counted up to the flow's last line.
type FlowWait struct {
	Request modeler.FlowID    `json:"request"`
	Queue   modeler.QueueID   `json:"queue"`
	Account modeler.TeamName  `json:"account,omitempty"`
	Arrived time.Time         `json:"arrived"`
	Tasks   int               `json:"tasks"`
	State   modeler.FlowState `json:"state"`
	// Permit is the time until the outside policy's first answer, Room from then to
	// the first placement, Rest to the last placement, and Run to the end.
	Permit modeler.Duration `json:"permit"`
	Room   modeler.Duration `json:"room"`
	Rest   modeler.Duration `json:"rest"`
	Run    modeler.Duration `json:"run"`
	// Quota is the part of Room and Rest in which steps waited for the quota of their
	// account; the remainder is the time without room or permits.
	Quota modeler.Duration `json:"quota"`
	// Start is the time from the first placement until a worker has begun a task. It lies
	// within Rest and Run.
	Start modeler.Duration `json:"start"`
	Total modeler.Duration `json:"total"`
	// Requests counts the answers of the outside policy, Reserved the changes of its
	// reservations, and the others the attempts that didn't end as done.
	Requests int `json:"requests"`
	Reserved int `json:"reserved"`
	Failed   int `json:"failed"`
	Stopped  int `json:"stopped"`
	Lost     int `json:"lost"`
}

// flowTimes holds the moments of a flow from which its times follow.
type flowTimes struct {
	FlowWait
	permit, first, begun, last, end time.Time
	steps                           map[flowStep]*quotaWait
}

// flowStep identifies a step of a flow.
type flowStep struct {
	occurrence modeler.Occurrence
	step       modeler.StepIndex
}

// quotaWait is how long a step has waited for the quota of its account, by its newest
// line, and since when it waits again.
type quotaWait struct {
	waited time.Duration
	since  time.Time
}

// waitLine is what ReadWaits takes from a log line.
type waitLine struct {
	Message    string
	Time       time.Time
	Request    modeler.FlowID
	Queue      modeler.QueueID
	Account    modeler.TeamName
	Tasks      int
	State      modeler.FlowState
	End        string
	Occurrence modeler.Occurrence
	Step       modeler.StepIndex
	Capped     modeler.Duration
}

// ReadWaits reads the logs of control processes. Text before the first brace of a
// line is ignored, so that logs with a prefix can be read too.
func ReadWaits(logs ...io.Reader) (Waits, error) {
	var out Waits
	flows := make(map[modeler.FlowID]*flowTimes)
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxAnswerBytes)
		for lines.Scan() {
			at := bytes.IndexByte(lines.Bytes(), '{')
			if at < 0 {
				continue
			}
			var line waitLine
			// Lines of other events use some of the names for values of other types.
			if err := json.Unmarshal(lines.Bytes()[at:], &line); err != nil && line.Message == "" {
				out.Skipped++
				continue
			}
			if line.Request == "" {
				continue
			}
			f := flows[line.Request]
			if f == nil {
				if line.Message != "flow added to the scheduler" {
					continue
				}
				f = &flowTimes{FlowWait: FlowWait{Request: line.Request, Queue: line.Queue, Account: line.Account, Arrived: line.Time, Tasks: line.Tasks}, steps: make(map[flowStep]*quotaWait)}
				flows[line.Request] = f
			}
			out.Lines++
			f.count(&line)
		}
		if err := lines.Err(); err != nil {
			return out, fmt.Errorf("log: %w", err)
		}
	}
	for _, f := range flows {
		out.Flows = append(out.Flows, f.wait())
	}
	slices.SortFunc(out.Flows, func(a, b FlowWait) int {
		return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Request, b.Request))
	})
	return out, nil
}

func (f *flowTimes) count(line *waitLine) {
	at := line.Time
	f.end = at
	switch line.Message {
	case "step waits for the quota of its account":
		f.quotaWait(line).since = at
	case "step no longer waits for the quota of its account":
		f.quotaWait(line).since = time.Time{}
	case "permit answer received":
		f.Requests++
		if f.permit.IsZero() {
			f.permit = at
		}
	case "tasks placed":
		if f.first.IsZero() {
			f.first = at
		}
		f.last = at
		f.quotaWait(line).since = time.Time{}
	case "flow has begun":
		if f.begun.IsZero() {
			f.begun = at
		}
	case "room reserved":
		f.Reserved++
	case "task ended":
		switch line.End {
		case "failed":
			f.Failed++
		case "stopped":
			f.Stopped++
		default:
			f.Lost++
		}
	case "flow over":
		f.State = line.State
	}
}

// quotaWait returns the wait of the line's step, with the time that the line tells.
func (f *flowTimes) quotaWait(line *waitLine) *quotaWait {
	at := flowStep{line.Occurrence, line.Step}
	w := f.steps[at]
	if w == nil {
		w = &quotaWait{}
		f.steps[at] = w
	}
	w.waited = max(w.waited, line.Capped.Std())
	return w
}

// quota returns how long steps have waited for the quota of their account. Steps that
// wait at the same time count once each, but together no longer than the flow has waited.
func (f *flowTimes) quota(waited time.Duration) modeler.Duration {
	sum := time.Duration(0)
	for _, w := range f.steps {
		sum += w.waited
		if !w.since.IsZero() {
			sum += f.end.Sub(w.since)
		}
	}
	return modeler.Duration(min(sum, waited))
}

// wait returns the times of the flow.
func (f *flowTimes) wait() FlowWait {
	w := f.FlowWait
	from := w.Arrived
	for _, part := range []struct {
		to  time.Time
		out *modeler.Duration
	}{{f.permit, &w.Permit}, {f.first, &w.Room}, {f.last, &w.Rest}, {f.end, &w.Run}} {
		if !part.to.IsZero() && part.to.After(from) {
			*part.out = modeler.Duration(part.to.Sub(from))
			from = part.to
		}
	}
	if f.first.IsZero() {
		w.Room, w.Run = w.Run, 0
	}
	w.Quota = f.quota((w.Room + w.Rest).Std())
	switch {
	case !f.first.IsZero() && f.begun.After(f.first):
		w.Start = modeler.Duration(f.begun.Sub(f.first))
	case !f.first.IsZero() && f.begun.IsZero() && w.State == "":
		w.Start = modeler.Duration(f.end.Sub(f.first))
	}
	w.Total = modeler.Duration(from.Sub(w.Arrived))
	return w
}

// Text returns a table with the mean times of each queue and one of the flows, the
// longest first. Only queues whose name contains the text queue are shown, and most
// bounds the flows.
func (w Waits) Text(queue string, most int) string {
	var text strings.Builder
	t := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	w.writeMeans(t, queue)
	fmt.Fprintln(t, "\nREQUEST\tQUEUE\tACCOUNT\tTASKS\tPERMIT\tROOM\tREST\tQUOTA\tSTART\tRUN\tTOTAL\tREQUESTS\tRESERVED\tFAILED\tSTOPPED\tLOST\tSTATE")
	seconds := func(d modeler.Duration) string { return fmt.Sprintf("%.2f", d.Std().Seconds()) }
	shown, matching := 0, 0
	for _, f := range w.Flows {
		if !strings.Contains(string(f.Queue), queue) {
			continue
		}
		matching++
		if shown == most {
			continue
		}
		shown++
		state := string(f.State)
		if state == "" {
			state = "open"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", f.Request, f.Queue, f.Account, f.Tasks, seconds(f.Permit), seconds(f.Room),
			seconds(f.Rest), seconds(f.Quota), seconds(f.Start), seconds(f.Run), seconds(f.Total), f.Requests, f.Reserved, f.Failed, f.Stopped, f.Lost, state)
	}
	_ = t.Flush() // a strings.Builder returns no error
	fmt.Fprintf(&text, "%d of %d flows, times in seconds\n", shown, matching)
	return text.String()
}

// writeMeans writes the mean times and counts of each queue's flows.
func (w Waits) writeMeans(t io.Writer, queue string) {
	groups := make(map[modeler.QueueID][]FlowWait)
	for _, f := range w.Flows {
		if strings.Contains(string(f.Queue), queue) {
			groups[f.Queue] = append(groups[f.Queue], f)
		}
	}
	fmt.Fprintln(t, "QUEUE\tFLOWS\tPERMIT\tROOM\tREST\tQUOTA\tSTART\tRUN\tTOTAL\tREQUESTS\tFAILED\tSTOPPED\tLOST")
	for _, id := range slices.Sorted(maps.Keys(groups)) {
		flows := groups[id]
		mean := func(of func(FlowWait) float64) float64 {
			sum := 0.0
			for _, f := range flows {
				sum += of(f)
			}
			return sum / float64(len(flows))
		}
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\n", id, len(flows),
			mean(func(f FlowWait) float64 { return f.Permit.Std().Seconds() }), mean(func(f FlowWait) float64 { return f.Room.Std().Seconds() }),
			mean(func(f FlowWait) float64 { return f.Rest.Std().Seconds() }), mean(func(f FlowWait) float64 { return f.Quota.Std().Seconds() }),
			mean(func(f FlowWait) float64 { return f.Start.Std().Seconds() }), mean(func(f FlowWait) float64 { return f.Run.Std().Seconds() }),
			mean(func(f FlowWait) float64 { return f.Total.Std().Seconds() }), mean(func(f FlowWait) float64 { return float64(f.Requests) }),
			mean(func(f FlowWait) float64 { return float64(f.Failed) }), mean(func(f FlowWait) float64 { return float64(f.Stopped) }),
			mean(func(f FlowWait) float64 { return float64(f.Lost) }))
	}
}
