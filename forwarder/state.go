package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/router"
)

// dump is the state of an entry process in the operators' state dump.
type dump struct {
	Entry       modeler.EntryID        `json:"entry"`
	Incarnation modeler.Incarnation    `json:"incarnation"`
	Serving     bool                   `json:"serving"`
	Draining    bool                   `json:"draining"`
	Links       int                    `json:"links"`
	Buffered    int64                  `json:"buffered"`
	Settling    int64                  `json:"settling"`
	Services    []router.ServiceStatus `json:"services"`
	Workers     []router.WorkerStatus  `json:"workers"`
}

// readState returns the dump; the core goroutine fills in the router's part.
func (f *Forwarder) readState(ctx context.Context) (dump, error) {
	answer := make(chan dump, 1)
	f.post(ctx, stateInspection{visit: func(c *core) {
		answer <- dump{
			Serving:  c.router.Serving(f.now()),
			Services: c.router.Services(),
			Workers:  c.router.Workers(),
		}
	}})
	var d dump
	select {
	case d = <-answer:
	case <-ctx.Done():
		return d, classifier.Wrap(classifier.CallerGone, ctx.Err(), "state dump")
	}
	d.Entry = f.session.Entry
	d.Incarnation = f.session.Incarnation
	d.Draining = f.isClosing.Load()
	d.Links = f.linkCount()
	d.Buffered = f.bodyMemory.used.Load()
	d.Settling = f.settlements.waiting.Load()
	return d, nil
}

// readStateTimeout bounds the time that a metrics scrape or drain call waits
// for the core goroutine.
const readStateTimeout = 500 * time.Millisecond

// register adds the process to the metrics and the state dump.
func (f *Forwarder) register(ctx context.Context) {
	r := f.settings.Report
	readState := func() dump {
		ctx, cancel := context.WithTimeout(ctx, readStateTimeout)
		defer cancel()
		d, _ := f.readState(ctx)
		return d
	}
	r.AddSection("entry", func() any { return readState() })
	r.Gauge("requests_waiting", func() float64 {
		waiting := 0
		for _, s := range readState().Services {
			waiting += s.Waiting
		}
		return float64(waiting)
	})
	r.Gauge("slots_held", func() float64 {
		held := 0
		for _, w := range readState().Workers {
			held += w.Held
		}
		return float64(held)
	})
	r.Gauge("serving", func() float64 {
		if readState().Serving {
			return 1
		}
		return 0
	})
	r.Gauge("links", func() float64 { return float64(f.linkCount()) })
	r.Gauge("body_bytes", func() float64 { return float64(f.bodyMemory.used.Load()) })
	r.Gauge("settlements_waiting", func() float64 { return float64(f.settlements.waiting.Load()) })
}

func (f *Forwarder) writeState(ctx context.Context, w io.Writer) error {
	return f.settings.Report.WriteDump(ctx, w)
}

func (f *Forwarder) writeMetrics(w io.Writer) { reporter.WriteMetrics(w, f.settings.Report) }

// requestMetrics are the metrics that request handlers update.
type requestMetrics struct {
	requests map[classifier.Kind]*metrics.Counter
	retries  *metrics.Counter
	replays  *metrics.Counter
	waiting  *metrics.Histogram
}

func newRequestMetrics(r *reporter.Reporter) *requestMetrics {
	c := &requestMetrics{
		requests: make(map[classifier.Kind]*metrics.Counter),
		retries:  r.Counter("retries_total"),
		replays:  r.Counter("replays_total"),
		waiting:  r.Histogram("waiting_seconds"),
	}
	for _, kind := range classifier.Kinds() {
		c.requests[kind] = r.Counter("requests_total", reporter.Label{Name: "kind", Value: kind.String()})
	}
	return c
}
