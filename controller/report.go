package controller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"goldcreststack.example/goldcreststack/allocator"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/supervisor"
)

// conditionGroup is met while the member follows or leads a quorum.
const conditionGroup = "group"

// counts are the metrics that the goroutines of the process add to.
type counts struct {
	proposals  *metrics.Counter
	refused    *metrics.Counter
	applied    *metrics.Counter
	bytes      *metrics.Counter
	syncs      *metrics.Counter
	syncTime   *metrics.Histogram
	heartbeats *metrics.Counter
	grants     *metrics.Counter
	placements *metrics.Counter
	ends       *metrics.Counter
	decideTime *metrics.Histogram
	orders     [supervisor.Uncertain + 1]*metrics.Counter
	// flowOrders and flowOrderTime are kept for each kind of order.
	flowOrders    [modeler.ThrottleOrder + 1]*metrics.Counter
	flowOrderTime [modeler.ThrottleOrder + 1]*metrics.Histogram
}

func newCounts(r *reporter.Reporter) *counts {
	c := &counts{
		proposals:  r.Counter("proposals_total"),
		refused:    r.Counter("proposals_refused_total"),
		applied:    r.Counter("entries_applied_total"),
		bytes:      r.Counter("log_bytes_total"),
		syncs:      r.Counter("syncs_total"),
		syncTime:   r.Histogram("sync_seconds"),
		heartbeats: r.Counter("heartbeats_total"),
		grants:     r.Counter("grants_total"),
		placements: r.Counter("placements_total"),
		ends:       r.Counter("task_ends_total"),
		decideTime: r.Histogram("decide_seconds"),
	}
	names := []string{"", "delivered", "refused", "unsent", "uncertain"}
	for i := range c.orders {
		if i > 0 {
			c.orders[i] = r.Counter("orders_total", reporter.Label{Name: "fate", Value: names[i]})
		}
	}
	for i := modeler.RenewOrder; i <= modeler.ThrottleOrder; i++ {
		label := reporter.Label{Name: "kind", Value: i.String()}
		c.flowOrders[i] = r.Counter("flow_orders_total", label)
		c.flowOrderTime[i] = r.Histogram("flow_order_seconds", label)
	}
	return c
}

// view is what the core shows of itself in the metrics and the dump.
type view struct {
	Role     string           `json:"role"`
	Term     modeler.Term     `json:"term"`
	Leader   modeler.MemberID `json:"leader"`
	Commit   modeler.Index    `json:"commit"`
	Applied  modeler.Index    `json:"applied"`
	Synced   modeler.Index    `json:"synced"`
	Snapshot modeler.Index    `json:"snapshot"`
	Version  modeler.Index    `json:"version"`
	Full     bool             `json:"full"`
	Waiting  int              `json:"waiting"`
	Events   int              `json:"events"`
	Records  int              `json:"records"`
	Running  int              `json:"running"`
	// Behind is how long the oldest event has waited for the core goroutine.
	Behind modeler.Duration `json:"behind"`
	// Carried counts the orders that other processes carry, Carriers those
	// processes, and Refuses says that new flows are refused.
	Carried   int                       `json:"carried"`
	Carriers  int                       `json:"carriers"`
	Refuses   bool                      `json:"refuses"`
	Members   []modeler.MemberStatus    `json:"members"`
	Sessions  []allocator.SessionStatus `json:"sessions"`
	Workers   []allocator.WorkerStatus  `json:"workers"`
	Placement any                       `json:"placement,omitempty"`
	Flows     any                       `json:"flows,omitempty"`
}

// look asks the core goroutine for its view, with the lists of sessions and
// workers if they are wanted.
func (c *Controller) look(ctx context.Context, lists bool) (view, bool) {
	answer := make(chan view, 1)
	c.post(ctx, inspect{visit: func(k *core) { answer <- k.view(lists) }})
	select {
	case v := <-answer:
		return v, true
	case <-ctx.Done():
		return view{}, false
	}
}

func (c *core) view(lists bool) view {
	now := c.shell.now()
	log := c.log.Status()
	v := view{
		Role:     log.Role.String(),
		Term:     log.Term,
		Leader:   log.Leader,
		Commit:   log.Commit,
		Applied:  c.lastIndex,
		Synced:   log.Synced,
		Snapshot: c.snapshot,
		Version:  c.state.Cell().Version,
		Full:     c.full,
		Waiting:  len(c.waiting),
		Events:   len(c.shell.events),
		Behind:   modeler.Duration(c.behind(now)),
		Records:  c.state.Records().Len(),
		Members:  c.memberStatuses(now, log),
	}
	if c.lead != nil {
		v.Running = c.lead.tasks.Running()
		if flows := c.lead.flows; flows != nil {
			v.Carried, v.Carriers, v.Refuses = flows.carrier.Flying(), flows.carrier.Ready(), flows.refuses
		}
	}
	if c.lead != nil && lists {
		v.Sessions = c.lender.Sessions()
		v.Workers = c.lender.Workers()
		v.Placement = c.lead.cell.Stats()
		if c.lead.flows != nil {
			v.Flows = c.lead.flows.cell.Stats(now)
		}
	}
	return v
}

// lookWithin bounds the wait of a scrape or a probe for the core.
const lookWithin = 500 * time.Millisecond

// register shows the core in the metrics and the dump.
func (c *Controller) register(ctx context.Context) {
	r := c.settings.Report
	r.Readiness.Need(conditionGroup)
	gauge := func(name string, value func(view) float64) {
		r.Gauge(name, func() float64 {
			ctx, cancel := context.WithTimeout(ctx, lookWithin)
			defer cancel()
			v, _ := c.look(ctx, false)
			return value(v)
		})
	}
	gauge("leads", func(v view) float64 { return truth(v.Leader == c.settings.Member) })
	gauge("term", func(v view) float64 { return float64(v.Term) })
	gauge("commit_index", func(v view) float64 { return float64(v.Commit) })
	gauge("applied_index", func(v view) float64 { return float64(v.Applied) })
	gauge("configuration_version", func(v view) float64 { return float64(v.Version) })
	gauge("disk_full", func(v view) float64 { return truth(v.Full) })
	gauge("records", func(v view) float64 { return float64(v.Records) })
	gauge("tasks_running", func(v view) float64 { return float64(v.Running) })
	gauge("behind_seconds", func(v view) float64 { return v.Behind.Std().Seconds() })
	gauge("carried_orders", func(v view) float64 { return float64(v.Carried) })
	gauge("carriers", func(v view) float64 { return float64(v.Carriers) })
	gauge("refuses_flows", func(v view) float64 { return truth(v.Refuses) })
	r.Section("control", func() any {
		ctx, cancel := context.WithTimeout(ctx, lookWithin)
		defer cancel()
		v, _ := c.look(ctx, true)
		return v
	})
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serveReports listens for scrapes, probes and dumps, if an address is set.
func (c *Controller) serveReports(ctx context.Context, group *errgroup.Group) error {
	c.register(ctx)
	if c.settings.HTTP == "" {
		return nil
	}
	listener, err := net.Listen("tcp", c.settings.HTTP)
	if err != nil {
		return classifier.Wrap(classifier.Internal, err, "listen on "+c.settings.HTTP)
	}
	server := &http.Server{Handler: c.reports(), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return nil
}

// reports serves the metrics, the readiness and the state dump.
func (c *Controller) reports() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		reporter.WriteMetrics(w, c.settings.Report)
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = c.settings.Report.WriteDump(r.Context(), w)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), lookWithin)
		defer cancel()
		if v, ok := c.look(ctx, false); ok && v.Leader != 0 && !v.Full {
			_, _ = w.Write([]byte("ready\n"))
			return
		}
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	})
	return mux
}
