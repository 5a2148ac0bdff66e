package controller

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"goldcreststack.example/goldcreststack/allocator"
	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/supervisor"
)

// conditionGroup is the readiness condition that the member follows or leads a
// quorum.
const conditionGroup = "group"

// counts are the metrics that the goroutines of the process update.
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
	taskEnds   *metrics.Counter
	decideTime *metrics.Histogram
	orders     [supervisor.Uncertain + 1]*metrics.Counter
	// flowOrders and flowOrderTime have one metric for each kind of order.
	flowOrders    [modeler.ThrottleOrder + 1]*metrics.Counter
	flowOrderTime [modeler.ThrottleOrder + 1]*metrics.Histogram
	// turnTime is the time of whole turns, and turnPartTime that of their parts.
	turnTime     *metrics.Histogram
	turnPartTime [turnParts]*metrics.Histogram
	longTurns    *metrics.Counter
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
		taskEnds:   r.Counter("task_ends_total"),
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
	c.addTurnMetrics(r)
	return c
}

// coreView is the state of the core that the metrics and the dump show.
type coreView struct {
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
	// Pending counts the flows of which no task is known to have begun.
	Pending int `json:"pending"`
	Running int `json:"running"`
	// Behind is about how long the oldest queued event has waited for the core
	// goroutine.
	Behind modeler.Duration `json:"behind"`
	// Carried counts the orders that other processes carry, Carriers counts those
	// processes, and Refuses reports whether new flows are refused.
	Carried  int  `json:"carried"`
	Carriers int  `json:"carriers"`
	Refuses  bool `json:"refuses"`
	// Interference counts the pairs of images; Flows lists the worst.
	Interference dispatcher.InterferenceStats `json:"-"`
	Members      []modeler.MemberStatus       `json:"members"`
	// Quorum is set on the leader.
	Quorum *modeler.QuorumStatus `json:"quorum,omitempty"`
	// LostElection is the newest election that the member has not won.
	LostElection *lostElectionView         `json:"lost,omitempty"`
	Sessions     []allocator.SessionStatus `json:"sessions"`
	Workers      []allocator.WorkerStatus  `json:"workers"`
	Placement    any                       `json:"placement,omitempty"`
	Flows        any                       `json:"flows,omitempty"`
	// Contradiction tells where the leader's memory of flows differs from the replicated state.
	Contradiction string `json:"contradiction,omitempty"`
}

// lostElectionView is an election that the member has not won; the voters are
// listed by address.
type lostElectionView struct {
	Count   uint64       `json:"count"`
	Role    string       `json:"role"`
	Term    modeler.Term `json:"term"`
	Needed  int          `json:"needed"`
	Granted []string     `json:"granted"`
	Refused []string     `json:"refused"`
	Silent  []string     `json:"silent"`
}

// readView gets the view from the core goroutine, with the lists of sessions
// and workers if lists is true; it reports false if ctx ends first.
func (c *Controller) readView(ctx context.Context, lists bool) (coreView, bool) {
	answer := make(chan coreView, 1)
	c.post(ctx, inspectRequest{visit: func(k *core) { answer <- k.coreView(lists) }})
	select {
	case v := <-answer:
		return v, true
	case <-ctx.Done():
		return coreView{}, false
	}
}

func (c *core) coreView(lists bool) coreView {
	now := c.controller.now()
	log := c.log.Status()
	v := coreView{
		Role:     log.Role.String(),
		Term:     log.Term,
		Leader:   log.Leader,
		Commit:   log.Commit,
		Applied:  c.appliedIndex,
		Synced:   log.Synced,
		Snapshot: c.snapshot,
		Version:  c.state.Cell().Version,
		Full:     c.diskFull,
		Waiting:  len(c.pendingProposals),
		Events:   len(c.controller.events),
		Behind:   modeler.Duration(c.oldestEventAge(now)),
		Records:  c.state.Records().Len(),
		Pending:  c.state.Flows().AllPending(),
		Members:  c.memberStatuses(now, log),
	}
	if lost := &log.LostElection; lost.Count > 0 {
		v.LostElection = &lostElectionView{
			Count: lost.Count, Role: lost.Role.String(), Term: lost.Term, Needed: lost.Needed,
			Granted: addresses(lost.GrantedBy), Refused: addresses(lost.RefusedBy), Silent: addresses(lost.Silent),
		}
	}
	if c.leader != nil {
		quorum := c.leader.quorumStatus(now, &log)
		v.Quorum = &quorum
		v.Running = c.leader.taskSupervisor.AttemptCount()
		if flows := c.leader.flows; flows != nil {
			v.Interference = flows.cell.Interference(0)
			v.Carried, v.Carriers, v.Refuses = flows.carrier.PendingOrders(), flows.carrier.ReadyProcesses(), flows.refusesFlows
		}
	}
	if c.leader != nil && lists {
		v.Sessions = c.slotAllocator.Sessions()
		v.Workers = c.slotAllocator.Workers()
		v.Placement = c.leader.cell.Stats()
		if c.leader.flows != nil {
			v.Flows = c.leader.flows.cell.Stats(now)
			if err := c.leader.flows.cell.Check(); err != nil {
				v.Contradiction = err.Error()
			}
		}
	}
	return v
}

// viewTimeout bounds how long a scrape, a probe or a dump waits for the core
// goroutine.
const viewTimeout = 500 * time.Millisecond

// registerMetrics adds the core's view to the metrics and the state dump.
func (c *Controller) registerMetrics(ctx context.Context) {
	r := c.settings.Report
	r.Readiness.Require(conditionGroup)
	gauge := func(name string, value func(coreView) float64) {
		r.Gauge(name, func() float64 {
			ctx, cancel := context.WithTimeout(ctx, viewTimeout)
			defer cancel()
			v, _ := c.readView(ctx, false)
			return value(v)
		})
	}
	gauge("leads", func(v coreView) float64 { return boolGauge(v.Leader == c.settings.Member) })
	gauge("term", func(v coreView) float64 { return float64(v.Term) })
	gauge("commit_index", func(v coreView) float64 { return float64(v.Commit) })
	gauge("applied_index", func(v coreView) float64 { return float64(v.Applied) })
	gauge("configuration_version", func(v coreView) float64 { return float64(v.Version) })
	gauge("disk_full", func(v coreView) float64 { return boolGauge(v.Full) })
	gauge("records", func(v coreView) float64 { return float64(v.Records) })
	gauge("flows_pending", func(v coreView) float64 { return float64(v.Pending) })
	gauge("tasks_running", func(v coreView) float64 { return float64(v.Running) })
	gauge("behind_seconds", func(v coreView) float64 { return v.Behind.Std().Seconds() })
	gauge("carried_orders", func(v coreView) float64 { return float64(v.Carried) })
	gauge("carriers", func(v coreView) float64 { return float64(v.Carriers) })
	gauge("interference_pairs", func(v coreView) float64 { return float64(v.Interference.Pairs) })
	gauge("interference_believed", func(v coreView) float64 { return float64(v.Interference.Believed) })
	gauge("refuses_flows", func(v coreView) float64 { return boolGauge(v.Refuses) })
	quorumGauge := func(name string, value func(*modeler.QuorumStatus) int) {
		gauge(name, func(v coreView) float64 {
			if v.Quorum == nil {
				return math.NaN()
			}
			return float64(value(v.Quorum))
		})
	}
	quorumGauge("voters", func(q *modeler.QuorumStatus) int { return q.Voters })
	quorumGauge("learners", func(q *modeler.QuorumStatus) int { return q.Learners })
	quorumGauge("silent_voters", func(q *modeler.QuorumStatus) int { return q.Silent })
	quorumGauge("spare_losses", func(q *modeler.QuorumStatus) int { return q.Spare })
	gauge("lost_elections", func(v coreView) float64 {
		if v.LostElection == nil {
			return 0
		}
		return float64(v.LostElection.Count)
	})
	r.AddMetrics(func(write func(name string, value float64, labels ...reporter.Label)) {
		c.writeAccountMetrics(ctx, write)
	})
	r.AddSection("control", func() any {
		ctx, cancel := context.WithTimeout(ctx, viewTimeout)
		defer cancel()
		v, _ := c.readView(ctx, true)
		return v
	})
}

// maxAccountMetrics bounds the accounts with metrics of their own: each has five series on
// each control process.
const maxAccountMetrics = 20

// writeAccountMetrics writes the metrics of the accounts with the most processors running.
// The others are summed up, as the label is empty there.
func (c *Controller) writeAccountMetrics(ctx context.Context, write func(name string, value float64, labels ...reporter.Label)) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	answer := make(chan []modeler.AccountStatus, 1)
	c.post(ctx, inspectRequest{visit: func(k *core) {
		var accounts []modeler.AccountStatus
		if k.leader != nil && k.leader.flows != nil {
			accounts = k.leader.flows.cell.Accounts(maxAccountMetrics)
		}
		answer <- accounts
	}})
	select {
	case accounts := <-answer:
		for i := range accounts {
			a := &accounts[i]
			label := reporter.Label{Name: "account", Value: string(a.Account)}
			write("account_processors", float64(a.Used.Processors)/1000, label)
			write("account_tasks_running", float64(a.Running), label)
			write("account_tasks_waiting", float64(a.Waiting), label)
			write("account_tasks_beyond_share", float64(a.BeyondShare), label)
			write("account_tasks_at_quota", float64(a.QuotaWaits), label)
		}
	case <-ctx.Done():
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serveReports registers the metrics, and serves scrapes, probes and dumps if
// an address is set.
func (c *Controller) serveReports(ctx context.Context, group *errgroup.Group) error {
	c.registerMetrics(ctx)
	if c.settings.HTTP == "" {
		return nil
	}
	listener, err := net.Listen("tcp", c.settings.HTTP)
	if err != nil {
		return classifier.Wrap(classifier.Internal, err, "listen on "+c.settings.HTTP)
	}
	server := &http.Server{Handler: c.reportHandler(), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return nil
}

// reportHandler serves the metrics, the readiness and the state dump.
func (c *Controller) reportHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		reporter.WriteMetrics(w, c.settings.Report)
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = c.settings.Report.WriteDump(r.Context(), w)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), viewTimeout)
		defer cancel()
		if v, ok := c.readView(ctx, false); ok && v.Leader != 0 && !v.Full {
			_, _ = w.Write([]byte("ready\n"))
			return
		}
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	})
	return mux
}
