package reporter

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Options holds the settings of a Reporter.
type Options struct {
	Role string
	Name string
	// Out receives the log lines; nil means standard error.
	Out   io.Writer
	Level Level
	Dump  DumpLimits
}

// Reporter holds the log, the metrics, the readiness and the dump sections
// of one role of a process. Several reporters in one process may share the
// output, nothing else.
type Reporter struct {
	*Logger
	Readiness *Readiness
	role      string
	name      string
	metricSet *metrics.Set
	limits    DumpLimits
	// dumpSlot is a semaphore that lets one dump run at a time.
	dumpSlot chan struct{}
	// mutex guards sections.
	mutex    sync.Mutex
	sections []*section
}

// New returns a reporter for one role.
func New(options Options) *Reporter {
	out := options.Out
	if out == nil {
		out = os.Stderr
	}
	return &Reporter{
		Logger:    newLogger(out, options.Level, options.Role, options.Name),
		Readiness: newReadiness(),
		role:      options.Role,
		name:      options.Name,
		metricSet: metrics.NewSet(),
		limits:    options.Dump.withDefaults(),
		dumpSlot:  make(chan struct{}, 1),
	}
}

// Label is one label of a metric.
type Label struct {
	Name, Value string
}

// Counter returns the counter with the given name and labels. Callers should
// keep it, since each call takes a lock.
func (r *Reporter) Counter(name string, labels ...Label) *metrics.Counter {
	return r.metricSet.GetOrCreateCounter(r.metricName(name, labels))
}

// Gauge registers a function that returns the value of a gauge. It is called
// at each scrape and must not block. A second registration of the same name
// and labels is ignored.
func (r *Reporter) Gauge(name string, value func() float64, labels ...Label) *metrics.Gauge {
	return r.metricSet.GetOrCreateGauge(r.metricName(name, labels), value)
}

// Histogram returns the histogram with the given name and labels. Times are
// recorded in seconds.
func (r *Reporter) Histogram(name string, labels ...Label) *metrics.Histogram {
	return r.metricSet.GetOrCreateHistogram(r.metricName(name, labels))
}

// AddMetrics registers a function that writes gauges at each scrape, for objects that come
// and go. It must not block for long.
func (r *Reporter) AddMetrics(writeAll func(write func(name string, value float64, labels ...Label))) {
	r.metricSet.RegisterMetricsWriter(func(out io.Writer) {
		writeAll(func(name string, value float64, labels ...Label) {
			metrics.WriteGaugeFloat64(out, r.metricName(name, labels), value)
		})
	})
}

// RemoveMetric removes a metric whose object no longer exists.
func (r *Reporter) RemoveMetric(name string, labels ...Label) {
	r.metricSet.UnregisterMetric(r.metricName(name, labels))
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// metricName returns the full name of a metric, such as
// goldcreststack_requests_total{role="entry",name="e1",service="s"}.
func (r *Reporter) metricName(name string, labels []Label) string {
	var b strings.Builder
	fmt.Fprintf(&b, `goldcreststack_%s{role="%s",name="%s"`, name, labelEscapes.Replace(r.role), labelEscapes.Replace(r.name))
	for _, l := range labels {
		fmt.Fprintf(&b, `,%s="%s"`, l.Name, labelEscapes.Replace(l.Value))
	}
	b.WriteString("}")
	return b.String()
}

// WriteMetrics writes the metrics of the reporters, followed by those of the
// process, in the Prometheus text format.
func WriteMetrics(out io.Writer, reporters ...*Reporter) {
	for _, r := range reporters {
		r.metricSet.WritePrometheus(out)
	}
	metrics.WriteProcessMetrics(out)
}
