package controller

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reconfigurer"
	"goldcreststack.example/goldcreststack/replicator"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/storer"
)

// eventQueueSize bounds the events that wait for the core goroutine; links stop
// reading when the queue is full.
const eventQueueSize = 8192

// handOverTimeout bounds the transfer of the leadership on shutdown; it is a
// few ticks longer than the replicator's own limit of 500 ms.
const handOverTimeout = 700 * time.Millisecond

// Settings configures a control process.
type Settings struct {
	Member    modeler.MemberID
	Listen    string
	Advertise string
	// HTTP is the address on which metrics, readiness and the state dump are
	// served.
	HTTP   string
	Folder string
	// First is the initial membership of a new group. A joining member links to
	// these members until it has received the group's own membership.
	First modeler.Membership
	// Bootstrap allows a new group to be started on an empty data folder.
	Bootstrap bool
	// Join lets a member with an empty data folder wait to be added to a group.
	Join bool
	// Resume allows a start on a data folder that is not empty whatever Bootstrap
	// says, for a process that gets the same command line at every start.
	Resume bool
	// Restore starts a new group of this member alone from its data folder, after
	// the quorum is lost for good; it must be the member's own id.
	Restore modeler.MemberID
	Report  *reporter.Reporter
	// Listener is used instead of listening on Listen if it is set.
	Listener net.Listener
	// Connect, if set, opens the links to other members instead of the network's dialer.
	Connect linker.Connect
	// Disk replaces the operating system's files if it is set.
	Disk *storer.Disk
	// SnapshotEvery is the number of log entries between two snapshots, 20,000 by
	// default.
	SnapshotEvery modeler.Index
	// SnapshotBytes is the size of the applied log entries after which a snapshot
	// is taken before SnapshotEvery is reached, 64 MiB by default.
	SnapshotBytes modeler.Bytes
	// Segment is the size in bytes at which a file of the log is closed and a new
	// one is begun; 0 means the storer's default.
	Segment int64
	// OnLeadership is called when the process begins or ends to lead; it must not
	// block.
	OnLeadership func(leads bool)
	// Flows configures how the process runs flows; if nil, it runs none.
	Flows *FlowSettings
	// Voters decides which members vote, for a process that runs flows. Elsewhere
	// operators decide.
	Voters reconfigurer.Policy
	// ElectionMin and ElectionMax bound the time without a leader after which a
	// member starts an election; 0 means the replicator's defaults.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Clock returns the readings by which leases are judged; the time since the
	// start by default.
	Clock func() modeler.ClockReading
}

// Controller is a running control process.
type Controller struct {
	settings Settings
	start    time.Time
	store    *storer.Store
	events   chan postedEvent
	diskJobs chan diskJob
	orders   *orderSender
	core     *core
	peers    *peerLinks
	counts   *counts
	joined   atomic.Bool
	// replaceable is set while this member votes and the group has a learner.
	replaceable atomic.Bool
}

// New opens the data folder and restores the state from it; the process does
// not listen before Run.
func New(settings Settings) (*Controller, error) {
	if err := checkFolder(settings); err != nil {
		return nil, err
	}
	if settings.SnapshotEvery == 0 {
		settings.SnapshotEvery = snapshotEvery
	}
	settings.Voters = settings.Voters.WithDefaults()
	if settings.OnLeadership == nil {
		settings.OnLeadership = func(bool) {}
	}
	if settings.SnapshotBytes == 0 {
		settings.SnapshotBytes = snapshotBytes
	}
	store, recovered, err := storer.Open(settings.Folder, settings.Member, storer.Options{Disk: settings.Disk, SegmentSize: settings.Segment})
	if err != nil {
		return nil, err
	}
	c := &Controller{
		settings: settings,
		start:    time.Now(),
		store:    store,
		events:   make(chan postedEvent, eventQueueSize),
		diskJobs: make(chan diskJob, eventQueueSize),
	}
	saved := replicator.Saved{HardState: recovered.HardState, Snapshot: recovered.Snapshot, Entries: recovered.Entries}
	if err := c.prepareState(&saved); err != nil {
		_ = store.Close()
		return nil, err
	}
	c.orders = newOrderSender(c.post)
	c.counts = newCounts(settings.Report)
	c.peers = newPeerLinks(settings.Member, settings.First.Members, settings.Report, c.servePeer)
	c.peers.connect = settings.Connect
	c.core, err = newCore(c, saved)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	return c, nil
}

// checkFolder refuses a missing or empty data folder unless the settings allow
// one. It must run before the store writes this member's id to the folder,
// since a host that has lost its data comes back under a new id.
func checkFolder(settings Settings) error {
	names, err := os.ReadDir(settings.Folder)
	isEmpty := errors.Is(err, fs.ErrNotExist) || err == nil && len(names) == 0
	if !isEmpty || settings.Bootstrap || settings.Join {
		return nil
	}
	return emptyFolderError(settings.Folder)
}

func emptyFolderError(folder string) error {
	return classifier.New(classifier.Malformed,
		"the data folder %s is empty; a new group starts with --bootstrap, a replaced host with a new member id and join", folder)
}

// prepareState decides whether the process restores a lost group, resumes,
// joins a group or starts a new one. A host that has lost its disk must not
// come back under its old id, since it may have voted; so an empty data folder
// starts a new group only on request.
func (c *Controller) prepareState(saved *replicator.Saved) error {
	empty := saved.Snapshot.Index == 0 && len(saved.Entries) == 0
	switch {
	case c.settings.Restore != 0:
		return c.restore(saved)
	case !empty && c.settings.Resume:
		return nil
	case !empty && c.settings.Bootstrap:
		return classifier.New(classifier.Malformed, "the data folder %s is not empty; start without --bootstrap", c.settings.Folder)
	case !empty, c.settings.Join:
		return nil
	case !c.settings.Bootstrap:
		return emptyFolderError(c.settings.Folder)
	}
	saved.Snapshot = modeler.Snapshot{Index: 1, Term: 1, Membership: c.settings.First}
	return c.store.SaveSnapshot(saved.Snapshot)
}

// now returns the reading of the process's monotonic clock, or of the clock in
// the settings.
func (c *Controller) now() modeler.ClockReading {
	if c.settings.Clock != nil {
		return c.settings.Clock()
	}
	return modeler.ClockReading(time.Since(c.start))
}

// Member returns the member id of this process.
func (c *Controller) Member() modeler.MemberID { return c.settings.Member }

// Joined reports whether this member belongs to the group: by the newest
// membership that it has received, and because it leads or a leader sends to it.
func (c *Controller) Joined() bool { return c.joined.Load() }

// CanBeReplaced reports whether this member votes and a learner could take its
// place.
func (c *Controller) CanBeReplaced() bool { return c.replaceable.Load() }

// post queues an event for the core goroutine; it reports false if ctx ends
// first.
func (c *Controller) post(ctx context.Context, e event) bool {
	select {
	case c.events <- postedEvent{event: e, at: c.now()}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run serves until ctx ends or the disk fails. When ctx ends, a leader first
// transfers its leadership to another member.
func (c *Controller) Run(ctx context.Context) error {
	defer func() { _ = c.store.Close() }()
	listener := c.settings.Listener
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", c.settings.Listen)
		if err != nil {
			return classifier.Wrap(classifier.Internal, err, "listen on "+c.settings.Listen)
		}
	}
	c.settings.Report.Info("control process listens", "address", listener.Addr().String(), "member", c.settings.Member)
	shutdown := ctx.Done()
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer stop()
		select {
		case <-shutdown:
			c.HandOver(ctx)
		case <-ctx.Done():
		}
		return nil
	})
	server := &http.Server{Handler: c.Handler(ctx), ReadHeaderTimeout: time.Second}
	if err := c.serveReports(ctx, group); err != nil {
		return err
	}
	group.Go(func() error { return c.runDisk(ctx) })
	group.Go(func() error { return c.core.run(ctx) })
	group.Go(func() error { return c.peers.run(ctx) })
	group.Go(func() error { return c.orders.run(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return group.Wait()
}

// HandOver transfers the leadership to another member if this one leads. It
// returns when the transfer is over, or after 700 ms.
func (c *Controller) HandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	done := make(chan struct{})
	if !c.post(ctx, handOver{done: done}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Handler serves the links that other processes open.
func (c *Controller) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(linker.Path, func(w http.ResponseWriter, r *http.Request) { c.acceptLink(ctx, w, r) })
	return mux
}
