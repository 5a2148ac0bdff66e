package hoster

import (
	"context"
	"errors"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/clocker"
	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/drainer"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/listener"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/platform"
	"goldcreststack.example/goldcreststack/pruner"
	"goldcreststack.example/goldcreststack/reconfigurer"
	"goldcreststack.example/goldcreststack/relayer"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/storer"
)

const (
	// memoryLimitPercent is the percentage of the host's memory bound above which
	// the runtime collects more often; stacks and unread bytes use the rest.
	memoryLimitPercent = 70
	// leaderGCPercent is the GOGC value of the leader. It allocates for each order
	// and answer and has more spare memory than processor time, so it collects less
	// often than the other processes, which use usualGCPercent. The memory limit
	// takes precedence.
	leaderGCPercent = 300
	usualGCPercent  = 100
	// drainDelay is how long a stopping entry process still accepts requests.
	// Two failed probes, one second apart, take it out of rotation.
	drainDelay = 2500 * time.Millisecond
	// shutdownTimeout bounds the wait for requests in progress after drainDelay;
	// a call to the leader takes at most 900 ms.
	shutdownTimeout = 1500 * time.Millisecond
	// joinInterval is the time between two requests to join the group.
	joinInterval = 300 * time.Millisecond
	// joinReportInterval is the longest time between two lines about requests to
	// join that get the same answer.
	joinReportInterval = 5 * time.Second
	// leaveTimeout bounds the time for which a stopping control process waits for a
	// successor, leaveCallTimeout that of one request for it, and leaveInterval is
	// the time between two requests.
	leaveTimeout     = 2500 * time.Millisecond
	leaveCallTimeout = 250 * time.Millisecond
	leaveInterval    = 20 * time.Millisecond
	// settingsPollInterval is the time between two reads of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// snapshotDiskDivisor sets the log size at which a snapshot is due, as a
	// fraction of the disk: the log, the previous snapshot and the one being
	// written must fit on it together.
	snapshotDiskDivisor = 10
	// entriesPerSnapshot is the number of log entries between two snapshots. After
	// a restart of the whole group, a new leader first applies the entries since
	// the last snapshot, about 20 microseconds each on a small host, and callers
	// wait for it.
	entriesPerSnapshot = 4_000
	// segmentDiskDivisor sets the size of one log file as a fraction of the disk.
	segmentDiskDivisor = 32
	// connectionFileDivisor sets the fraction of the file descriptors that
	// accepted connections may use. Orders to workers, requests to the outside
	// policy, links and the log share the rest.
	connectionFileDivisor = 2
	// leaderLossTolerance is how long a process without a leader stays ready: an
	// election takes up to two seconds, and refusals carry a retry time.
	leaderLossTolerance = 4 * time.Second
	// defaultMaxLease is used when the settings state no lease.
	defaultMaxLease = 6 * time.Second
	// electionTimeoutMin and electionTimeoutMax are shorter than the replicator's
	// defaults, since jobs are due one second after submission. Round trips take
	// 2 ms, and the minimum covers four heartbeats.
	electionTimeoutMin = 400 * time.Millisecond
	electionTimeoutMax = 750 * time.Millisecond
	// retryAfter is the retry time that a refused caller gets: the length of an
	// election.
	retryAfter = time.Second
)

// metricsPort is the port for metrics and the state dump on each host. The deploy
// file repeats it.
const metricsPort = "9464"

// diagnosticsHandler serves the metrics, the CPU profile, the state dump, and the leader's
// status for the operators' command line.
func (p *process) diagnosticsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		reporter.WriteMetrics(w, p.report)
	})
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		document, err := p.relay.Status(r.Context())
		if err != nil {
			listener.WriteError(w, err, classifier.KindOf(err).Answer().Outcome)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(document)
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := p.report.WriteDump(r.Context(), w); err != nil {
			p.report.Warn("the state dump was not written", "error", err)
		}
	})
	return mux
}

// process holds what entry and control processes have in common.
type process struct {
	node     *platform.Node
	report   *reporter.Reporter
	relay    *relayer.Relayer
	server   *platform.Server
	client   *platform.Client
	clock    *clocker.Clock
	stopping atomic.Bool
	// leaderReached is when the process last had a link to the leader, in
	// nanoseconds since startTime; 0 means never.
	leaderReached atomic.Int64
	startTime     time.Time
}

func newProcess(node *platform.Node, report *reporter.Reporter, connect linker.Connect) *process {
	setMemoryLimit(node)
	p := &process{node: node, report: report, client: platform.NewClient(), clock: clocker.New(), startTime: time.Now()}
	settings := relayer.Settings{
		Name:  modeler.EntryID(node.Name),
		Clock: p.clock.Now,
		Ask: func(ctx context.Context, request *modeler.PermitRequest) modeler.PermitAnswer {
			return p.client.RequestPermits(ctx, node.PolicyAddress, request)
		},
		Report:  report,
		Connect: connect,
	}
	if node.ControlAddress != "" {
		// Entry hosts lack the processor time and network for carrying orders.
		settings.DeliverOrder, settings.LinkAddress = p.client.Send, node.LinkAddress
	}
	p.relay = relayer.New(settings)
	p.server = &platform.Server{
		Address:    node.ControlAddress,
		Call:       p.relay.Call,
		Ready:      p.isReady,
		Log:        func(event string, pairs ...any) { report.Info(event, pairs...) },
		Outage:     p.relay.Outage,
		RetryAfter: func() time.Duration { return retryAfter },
	}
	return p
}

// setGCPercent sets the runtime's GC percentage for a leader or another process.
func setGCPercent(leads bool) {
	if leads {
		debug.SetGCPercent(leaderGCPercent)
		return
	}
	debug.SetGCPercent(usualGCPercent)
}

// setMemoryLimit sets the runtime's memory limit.
func setMemoryLimit(node *platform.Node) {
	if node.Memory > 0 {
		debug.SetMemoryLimit(int64(node.Memory) * memoryLimitPercent / 100)
	}
}

// isReady reports whether the readiness probe succeeds: the process is not
// stopping and has a link to the leader, or had one less than leaderLossTolerance
// ago.
func (p *process) isReady() bool {
	if p.stopping.Load() {
		return false
	}
	now := time.Since(p.startTime)
	if p.relay.HasLeader() {
		p.leaderReached.Store(int64(now))
		return true
	}
	last := time.Duration(p.leaderReached.Load())
	return last > 0 && now-last < leaderLossTolerance
}

// RunEntry serves callers until ctx ends. It returns an error if an address can't
// be opened or a server fails.
func RunEntry(ctx context.Context, node *platform.Node, report *reporter.Reporter) error {
	p := newProcess(node, report, nil)
	report.Info("entry process starts", "address", node.CallerAddress, "seeds", node.Seeds)
	return p.run(ctx, nil, map[string]http.Handler{
		node.CallerAddress:    p.server.CallerHandler(),
		node.ReadinessAddress: p.server.ReadinessHandler(),
	})
}

// ControlOptions are the options of a control process that its settings don't hold.
type ControlOptions struct {
	// Bind, if set, is the IP address at which links are accepted and from which they
	// are opened instead of the advertised one, for a host behind network address
	// translation.
	Bind string
	// Restore, if set, is the id of this member: it starts a new group alone from its
	// data folder, after the quorum was lost for good.
	Restore modeler.MemberID
}

// RunControl runs a member of the replicated group until ctx ends. It returns an
// error if the member can't be created or restored, an address can't be opened or
// a server fails.
func RunControl(ctx context.Context, node *platform.Node, report *reporter.Reporter, options ControlOptions) error {
	var connect linker.Connect
	if options.Bind != "" {
		connect = linker.ConnectFrom(options.Bind)
	}
	p := newProcess(node, report, connect)
	settings, err := p.controllerSettings()
	if err != nil {
		return err
	}
	settings.Connect, settings.Restore = connect, options.Restore
	if options.Bind != "" {
		_, port, err := net.SplitHostPort(node.LinkAddress)
		if err != nil {
			return classifier.Wrap(classifier.Malformed, err, node.LinkAddress)
		}
		settings.Listen = net.JoinHostPort(options.Bind, port)
	}
	c, err := controller.New(settings)
	if err != nil {
		return err
	}
	report.Info("control process starts", "address", node.ControlAddress, "member", settings.Member, "bootstrap", settings.Bootstrap, "seeds", node.Seeds)
	return p.run(ctx, c, map[string]http.Handler{node.ControlAddress: p.server.ControlHandler()})
}

// controllerSettings returns the controller's settings and decides which member
// the process is. If the data folder holds a member id, the process continues as
// that member. If the folder is empty, the process starts the group when its host
// is among the first members and the system is new; otherwise it joins as a new
// member with a random id. That holds at a known address too, because the member
// that lost its folder may have voted.
func (p *process) controllerSettings() (controller.Settings, error) {
	node := p.node
	settings := controller.Settings{
		Listen:        node.LinkAddress,
		Advertise:     node.LinkAddress,
		Folder:        node.DataFolder,
		Report:        p.report,
		Resume:        true,
		Clock:         p.clock.Now,
		ElectionMin:   electionTimeoutMin,
		ElectionMax:   electionTimeoutMax,
		OnLeadership:  setGCPercent,
		SnapshotEvery: entriesPerSnapshot,
		SnapshotBytes: node.Disk / snapshotDiskDivisor,
		Segment:       int64(node.Disk / segmentDiskDivisor),
		Flows: &controller.FlowSettings{
			Bounds: dispatcher.Settings{
				MaxLease: node.MaxLease, MaxStopTime: node.MaxStopTime, GangTimeout: node.GangTimeout, MaxTimeOverTarget: node.MaxTimeOverTarget,
				MaxListedEnds: platform.MaxListedEnds, QuotaOverage: node.QuotaOverage, Interference: node.Interference,
				Log: func(event string, pairs ...any) { p.report.Info(event, pairs...) },
			},
			Send: p.client.Send,
		},
	}
	if settings.Flows.Bounds.MaxLease == 0 {
		settings.Flows.Bounds.MaxLease = defaultMaxLease
	}
	for _, seed := range node.Seeds {
		settings.First.Members = append(settings.First.Members, modeler.Member{ID: firstMemberID(seed), Address: seed})
	}
	storedID, err := storer.Identify(node.DataFolder, nil)
	if err != nil {
		return settings, err
	}
	isFirstMember := node.Bootstrap && slices.Contains(node.Seeds, node.LinkAddress)
	switch {
	case storedID != 0:
		settings.Member = storedID
		settings.Bootstrap = isFirstMember && storedID == firstMemberID(node.LinkAddress)
	case isFirstMember:
		settings.Member = firstMemberID(node.LinkAddress)
		settings.Bootstrap = true
	default:
		settings.Member = modeler.MemberID(rand.Uint64()>>1 | 1)
	}
	settings.Join = !settings.Bootstrap
	// The other half of the time is left for an election and for the learner.
	settings.Voters = reconfigurer.Policy{Tolerance: node.Tolerance, AllVote: node.ToleratesDomains, ReplaceAfter: node.CatchUp / 2}
	return settings, nil
}

// firstMemberID derives the id of a first member from its address, so that all
// members compute the same ids.
func firstMemberID(address string) modeler.MemberID {
	return modeler.MemberID(xxhash.Sum64String(address)>>1 | 1)
}

// httpErrorLog writes the error log of the HTTP servers to the structured log,
// such as a connection that could not be accepted for lack of a file descriptor.
type httpErrorLog struct{ report *reporter.Reporter }

// Write logs one line at level warn.
func (s httpErrorLog) Write(line []byte) (int, error) {
	s.report.Warn("http server", "error", strings.TrimSpace(string(line)))
	return len(line), nil
}

// run serves the handlers until ctx ends. It then stops in this order: readiness
// fails, an entry process waits drainDelay, a control process leaves the group,
// the controller stops, the servers finish their requests, the links close. If a
// server or the controller fails, it returns the error without waiting for requests.
func (p *process) run(ctx context.Context, c *controller.Controller, handlers map[string]http.Handler) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serveCtx := errgroup.WithContext(serveCtx)
	handlers[net.JoinHostPort(p.node.Host, metricsPort)] = p.diagnosticsHandler()
	connPruner := &pruner.Pruner{
		MaxConnections: p.node.MaxFiles / connectionFileDivisor,
		OnBoundReached: func(most int) { p.report.Warn("connections reach their bound", "most", most) },
		OnClosed:       p.report.Counter("connections_closed_unused_total").Inc,
	}
	var servers []*http.Server
	var listeners []*drainer.Listener
	for address, handler := range handlers {
		bound, err := net.Listen("tcp", address)
		if err != nil {
			return classifier.Wrap(classifier.Internal, err, "listen on "+address)
		}
		listener := drainer.NewListener(bound)
		listeners = append(listeners, listener)
		server := &http.Server{
			Handler:           drainer.CloseConnections(handler, p.stopping.Load),
			ReadHeaderTimeout: 3 * time.Second,
			ConnState: func(conn net.Conn, state http.ConnState) {
				listener.ConnState(conn, state)
				connPruner.ConnState(conn, state)
			},
			ErrorLog: log.New(httpErrorLog{p.report}, "", 0),
		}
		servers = append(servers, server)
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	p.relay.SetSeeds(serveCtx, p.node.Seeds)
	group.Go(func() error { return p.relay.Run(serveCtx) })
	group.Go(func() error { return p.watchSettings(serveCtx) })
	memberCtx, stopMember := context.WithCancel(serveCtx)
	defer stopMember()
	if c != nil {
		p.relay.KeepLinks(serveCtx, []string{p.node.LinkAddress})
		group.Go(func() error { return c.Run(memberCtx) })
		group.Go(func() error { return p.joinGroup(memberCtx, c) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serveCtx.Done():
			// A part of the process has failed. Without it the process must end, so
			// that the platform starts it again.
			for _, server := range servers {
				_ = server.Close()
			}
			return nil
		}
		p.report.Info("process stops", "grace", p.node.GracePeriod.String())
		p.stopping.Store(true)
		if c == nil {
			time.Sleep(drainDelay)
		} else {
			p.leaveGroup(serveCtx, c)
		}
		stopMember()
		p.stopServers(serveCtx, servers, listeners)
		stopServing()
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	p.report.Info("process stopped", "error", err)
	return err
}

// stopServers stops the servers, each with its listener, when they have served the
// requests that have arrived, and after shutdownTimeout at the latest.
func (p *process) stopServers(ctx context.Context, servers []*http.Server, listeners []*drainer.Listener) {
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	// Leaves the other half of the time to requests that are being served.
	readCtx, stopReading := context.WithTimeout(shutdownCtx, shutdownTimeout/2)
	defer stopReading()
	var stops sync.WaitGroup
	for i, server := range servers {
		listener := listeners[i]
		stops.Go(func() {
			listener.WaitUntilRead(readCtx)
			if err := server.Shutdown(shutdownCtx); err != nil {
				p.report.Warn("requests were cut off", "error", err)
			}
		})
	}
	stops.Wait()
}

// joinGroup asks to be admitted to the group as long as the process is not a
// member.
func (p *process) joinGroup(ctx context.Context, c *controller.Controller) error {
	answers := admissionLog{report: p.report, member: c.Member()}
	for {
		if c.Joined() {
			answers.reset()
		} else {
			m := modeler.Member{ID: c.Member(), Address: p.node.LinkAddress}
			_, err := p.relay.Call(ctx, &modeler.Call{Kind: modeler.JoinCall, Member: &m})
			answers.add(classifier.KindOf(err).String())
		}
		select {
		case <-time.After(joinInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// admissionLog logs the answers to requests to join, of which there are several a
// second: the same answer once every joinReportInterval.
type admissionLog struct {
	report   *reporter.Reporter
	member   modeler.MemberID
	requests int
	begun    time.Time
	// lastAnswer is the answer that was logged last, at loggedAt.
	lastAnswer string
	loggedAt   time.Time
}

// add adds the answer to a request.
func (l *admissionLog) add(answer string) {
	now := time.Now()
	if l.requests == 0 {
		l.begun = now
	}
	l.requests++
	if answer != l.lastAnswer || now.Sub(l.loggedAt) >= joinReportInterval {
		l.lastAnswer, l.loggedAt = answer, now
		l.report.Info("admission asked", "member", l.member, "answer", answer, "requests", l.requests, "since", now.Sub(l.begun).String())
	}
}

// reset begins a new series of requests.
func (l *admissionLog) reset() { l.lastAnswer, l.requests = "", 0 }

// leaveGroup hands the leadership over, tells the leader that the process stops, and
// waits until a learner has taken its place, up to leaveTimeout. Without a learner the
// process keeps its vote, since it may only restart.
func (p *process) leaveGroup(ctx context.Context, c *controller.Controller) {
	if !c.CanBeReplaced() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	m := modeler.Member{ID: c.Member(), Address: p.node.LinkAddress}
	var err error
	for ctx.Err() == nil {
		// A hand-over fails if no entry is committed for a while.
		c.HandOver(ctx)
		// A call takes at most half of the time for which its caller waits.
		_, err = p.relay.Call(ctx, &modeler.Call{Kind: modeler.LeaveCall, Member: &m, Wait: 2 * leaveCallTimeout})
		if err == nil {
			break
		}
		time.Sleep(leaveInterval)
	}
	p.report.Info("leave announced", "member", m.ID, "answer", classifier.KindOf(err).String())
}

// watchSettings reloads the seeds on SIGHUP and whenever those in the settings
// file have changed.
func (p *process) watchSettings(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	timer := time.NewTicker(settingsPollInterval)
	defer timer.Stop()
	seeds := p.node.Seeds
	for {
		signalled := false
		select {
		case <-timer.C:
		case <-reload:
			signalled = true
		case <-ctx.Done():
			return nil
		}
		node, err := platform.LoadNode()
		if err != nil {
			p.report.Warn("the settings can't be read", "error", err)
			continue
		}
		if signalled || !slices.Equal(node.Seeds, seeds) {
			p.report.Info("settings reloaded", "signal", signalled, "seeds", node.Seeds)
			seeds = node.Seeds
			p.relay.SetSeeds(ctx, seeds)
		}
	}
}
