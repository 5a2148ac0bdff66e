package measurer

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// Report holds the counts and response times of a load.
type Report struct {
	// Loop is "open" or "closed"; only an open loop is corrected for coordinated
	// omission.
	Loop        string           `json:"loop"`
	Rate        float64          `json:"rate,omitempty"`
	Concurrency int              `json:"concurrency"`
	Sent        int              `json:"sent"`
	Elapsed     modeler.Duration `json:"elapsed"`
	// Throughput is the number of requests that ended per second.
	Throughput float64 `json:"throughput"`
	Statuses   []Count `json:"statuses"`
	// Outcomes counts the values of the Goldcreststack-Outcome header. Without
	// the header, "answered" stands for an answer of the upstream and "none" for
	// no answer.
	Outcomes []Count `json:"outcomes"`
	// Errors counts the kinds of errors that the load generator itself got.
	Errors []Count `json:"errors,omitempty"`
	// ForeignAnswers counts answers with the key of another request.
	ForeignAnswers int `json:"foreign"`
	// LateStarts counts requests that started more than 10 ms after the intended time.
	LateStarts int `json:"late"`

	// Repeatable, NonRepeatable and All hold the times from the intended start to the end
	// of an answer with a status below 500. NonRepeatable covers the requests that must
	// not be repeated.
	Repeatable    Percentiles `json:"repeatable"`
	NonRepeatable Percentiles `json:"once"`
	All           Percentiles `json:"all"`
	// Uncorrected holds the times of the same requests from the actual start.
	Uncorrected Percentiles `json:"uncorrected"`
	// Failed holds the times of the other requests from the intended start.
	Failed Percentiles `json:"failed"`

	tally *tally
}

// Count is the number of requests with one status, outcome or kind of error.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Percentiles summarizes a distribution of times.
type Percentiles struct {
	Count int64            `json:"count"`
	Mean  modeler.Duration `json:"mean"`
	P50   modeler.Duration `json:"p50"`
	P90   modeler.Duration `json:"p90"`
	P99   modeler.Duration `json:"p99"`
	P999  modeler.Duration `json:"p999"`
	Max   modeler.Duration `json:"max"`
}

// late is the delay of a start from which a request counts as late.
const late = 10 * time.Millisecond

// tally collects the results of a load.
type tally struct {
	mu          sync.Mutex
	sent        int
	foreign     int
	late        int
	statuses    map[string]int
	outcomes    map[string]int
	errors      map[string]int
	repeatable  *hdrhistogram.Histogram
	once        *hdrhistogram.Histogram
	uncorrected *hdrhistogram.Histogram
	failed      *hdrhistogram.Histogram
}

// newHistogram returns a histogram of microseconds with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3)
}

func newTally() *tally {
	return &tally{
		statuses:    make(map[string]int),
		outcomes:    make(map[string]int),
		errors:      make(map[string]int),
		repeatable:  newHistogram(),
		once:        newHistogram(),
		uncorrected: newHistogram(),
		failed:      newHistogram(),
	}
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if r.foreign {
		t.foreign++
	}
	if r.sent.Sub(r.intended) > late {
		t.late++
	}
	if r.status != 0 {
		t.statuses[strconv.Itoa(r.status)]++
	}
	switch {
	case r.outcome != "":
		t.outcomes[r.outcome]++
	case r.errorKind == classifier.None:
		t.outcomes["answered"]++
	default:
		t.outcomes["none"]++
	}
	if r.errorKind != classifier.None {
		t.errors[r.errorKind.String()]++
	}
	if r.errorKind != classifier.None || r.status >= 500 {
		recordTime(t.failed, r.ended.Sub(r.intended))
		return
	}
	recordTime(t.uncorrected, r.ended.Sub(r.sent))
	if r.once {
		recordTime(t.once, r.ended.Sub(r.intended))
		return
	}
	recordTime(t.repeatable, r.ended.Sub(r.intended))
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedTime.Microseconds()))
}

func (t *tally) report(s Settings, elapsed time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	loop := "closed"
	if s.Rate > 0 {
		loop = "open"
	}
	r := &Report{Loop: loop, Rate: s.Rate, Concurrency: s.Concurrency, Elapsed: modeler.Duration(elapsed), tally: t}
	r.updateFromTally()
	return r
}

// updateFromTally computes the fields of the report from the tally.
func (r *Report) updateFromTally() {
	t := r.tally
	r.Sent = t.sent
	if r.Elapsed > 0 {
		r.Throughput = float64(t.sent) / r.Elapsed.Std().Seconds()
	}
	r.Statuses = sortedCounts(t.statuses)
	r.Outcomes = sortedCounts(t.outcomes)
	r.Errors = sortedCounts(t.errors)
	r.ForeignAnswers = t.foreign
	r.LateStarts = t.late
	all := newHistogram()
	all.Merge(t.repeatable)
	all.Merge(t.once)
	r.Repeatable = percentiles(t.repeatable)
	r.NonRepeatable = percentiles(t.once)
	r.All = percentiles(all)
	r.Uncorrected = percentiles(t.uncorrected)
	r.Failed = percentiles(t.failed)
}

// merge adds another report of the same load to r and returns the result; r may be
// nil.
func (r *Report) merge(other *Report) *Report {
	if r == nil {
		return other
	}
	into, from := r.tally, other.tally
	into.sent += from.sent
	into.foreign += from.foreign
	into.late += from.late
	addCounts(into.statuses, from.statuses)
	addCounts(into.outcomes, from.outcomes)
	addCounts(into.errors, from.errors)
	into.repeatable.Merge(from.repeatable)
	into.once.Merge(from.once)
	into.uncorrected.Merge(from.uncorrected)
	into.failed.Merge(from.failed)
	r.Elapsed += other.Elapsed
	r.updateFromTally()
	return r
}

// addCounts adds the counts of from to those of into.
func addCounts(into, from map[string]int) {
	for name, n := range from {
		into[name] += n
	}
}

func sortedCounts(seen map[string]int) []Count {
	list := make([]Count, 0, len(seen))
	for _, name := range slices.Sorted(maps.Keys(seen)) {
		list = append(list, Count{name, seen[name]})
	}
	return list
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	span := func(value int64) modeler.Duration {
		return modeler.Duration(time.Duration(value) * time.Microsecond)
	}
	return Percentiles{
		Count: h.TotalCount(),
		Mean:  span(int64(h.Mean())),
		P50:   span(h.ValueAtQuantile(50)),
		P90:   span(h.ValueAtQuantile(90)),
		P99:   span(h.ValueAtQuantile(99)),
		P999:  span(h.ValueAtQuantile(99.9)),
		Max:   span(h.Max()),
	}
}

// Text returns the report as a table.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s loop, %d requests in %v, %.0f a second, %d at a time", r.Loop, r.Sent,
		r.Elapsed.Std().Round(time.Millisecond), r.Throughput, r.Concurrency)
	if r.Rate > 0 {
		fmt.Fprintf(&b, " at most, rate %.0f, %d late", r.Rate, r.LateStarts)
	}
	fmt.Fprintf(&b, "\nstatuses: %s\noutcomes: %s\nerrors: %s\nforeign answers: %d\n",
		formatCounts(r.Statuses), formatCounts(r.Outcomes), formatCounts(r.Errors), r.ForeignAnswers)
	table := tabwriter.NewWriter(&b, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "time\tcount\tmean\tp50\tp90\tp99\tp99.9\tmax")
	for _, row := range []struct {
		name string
		Percentiles
	}{{"all", r.All}, {"repeatable", r.Repeatable}, {"once", r.NonRepeatable}, {"uncorrected", r.Uncorrected}, {"failed", r.Failed}} {
		if row.Count > 0 {
			fmt.Fprintf(table, "%s\t%d\t%v\t%v\t%v\t%v\t%v\t%v\n", row.name, row.Count, row.Mean.Std(),
				row.P50.Std(), row.P90.Std(), row.P99.Std(), row.P999.Std(), row.Max.Std())
		}
	}
	table.Flush()
	return b.String()
}

func formatCounts(list []Count) string {
	if len(list) == 0 {
		return "none"
	}
	parts := make([]string, len(list))
	for i, c := range list {
		parts[i] = fmt.Sprintf("%s %d", c.Name, c.Count)
	}
	return strings.Join(parts, ", ")
}

// FormatComparisons returns comparisons as a table.
func FormatComparisons(comparisons []Comparison) string {
	var b strings.Builder
	table := tabwriter.NewWriter(&b, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "at a time\tway\trequests\ta second\tp50\tp99\tp99.9\terrors")
	for _, c := range comparisons {
		for _, row := range []struct {
			name   string
			report *Report
		}{{"through", c.Through}, {"direct", c.Direct}} {
			r := row.report
			fmt.Fprintf(table, "%d\t%s\t%d\t%.0f\t%v\t%v\t%v\t%s\n", c.Concurrency, row.name, r.Sent,
				r.Throughput, r.All.P50.Std(), r.All.P99.Std(), r.All.P999.Std(), formatCounts(r.Errors))
		}
	}
	table.Flush()
	return b.String()
}
