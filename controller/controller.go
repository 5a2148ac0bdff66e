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
	"goldcreststack.example/goldcreststack/replicator"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/storer"
)

// ringSize bounds the events that wait for the core; links stop reading when
// it is full.
const ringSize = 8192

// handOverWithin bounds the transfer of the leadership on a shutdown; it is
// longer than the replicator's own bound of 500 ms by a few ticks.
const handOverWithin = 700 * time.Millisecond

// Settings configure a control process.
type Settings struct {
	Member    modeler.MemberID
	Listen    string
	Advertise string
	// HTTP is where metrics, readiness and the state dump are served.
	HTTP   string
	Folder string
	// First is the membership that starts a new group; a joining member
	// answers those members until it has received the group's own list.
	First modeler.Membership
	// Bootstrap allows to start a new group on an empty data folder.
	Bootstrap bool
	// Join says that an empty data folder waits to be added to a group.
	Join bool
	// Resume lets a folder that is not empty go on whatever Bootstrap says, for
	// a process that gets the same command line at every start.
	Resume bool
	// Restore starts a new group from the data folder of this member alone,
	// after the quorum was lost for good; it must be the member's own id.
	Restore modeler.MemberID
	Report  *reporter.Reporter
	// Listener replaces Listen when it is set.
	Listener net.Listener
	// Disk replaces the operating system's files when it is set.
	Disk *storer.Disk
	// SnapshotEvery is the number of entries between two snapshots, 20,000 by
	// default.
	SnapshotEvery modeler.Index
	// SnapshotBytes is the data of entries after which a snapshot is taken
	// earlier, 64 MiB by default.
	SnapshotBytes modeler.Bytes
	// Segment is the size at which a file of the log is closed; the storer's
	// default when it is 0.
	Segment int64
	// Flows lets the process run flows when it is set.
	Flows *FlowSettings
	// ElectionMin and ElectionMax bound the time without a leader before an
	// election; the replicator's defaults when they are 0.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Clock returns the readings that leases are judged by; the time since the
	// start by default.
	Clock func() modeler.ClockReading
}

// Controller is a running control process.
type Controller struct {
	settings Settings
	start    time.Time
	store    *storer.Store
	events   chan posted
	disk     chan diskJob
	orders   *orderSender
	core     *core
	peers    *peerLinks
	counts   *counts
	joined   atomic.Bool
}

// New opens the data folder and restores the state; nothing listens yet.
func New(settings Settings) (*Controller, error) {
	if err := mayOpen(settings); err != nil {
		return nil, err
	}
	if settings.SnapshotEvery == 0 {
		settings.SnapshotEvery = snapshotEvery
	}
	if settings.SnapshotBytes == 0 {
		settings.SnapshotBytes = snapshotBytes
	}
	store, kept, err := storer.Open(settings.Folder, settings.Member, storer.Options{Disk: settings.Disk, Segment: settings.Segment})
	if err != nil {
		return nil, err
	}
	c := &Controller{
		settings: settings,
		start:    time.Now(),
		store:    store,
		events:   make(chan posted, ringSize),
		disk:     make(chan diskJob, ringSize),
	}
	saved := replicator.Saved{Durable: kept.Durable, Snapshot: kept.Snapshot, Entries: kept.Entries}
	if err := c.prepare(&saved); err != nil {
		_ = store.Close()
		return nil, err
	}
	c.orders = newOrderSender(c.post)
	c.counts = newCounts(settings.Report)
	c.peers = newPeerLinks(settings.Member, settings.First.Members, settings.Report)
	c.core, err = newCore(c, saved)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	return c, nil
}

// mayOpen refuses a folder that has lost its content before the store marks it
// as this member's, since the host then comes back under a new id.
func mayOpen(settings Settings) error {
	names, err := os.ReadDir(settings.Folder)
	gone := errors.Is(err, fs.ErrNotExist) || err == nil && len(names) == 0
	if !gone || settings.Bootstrap || settings.Join {
		return nil
	}
	return emptyFolder(settings.Folder)
}

func emptyFolder(folder string) error {
	return classifier.New(classifier.Malformed,
		"the data folder %s is empty; a new group starts with --bootstrap, a replaced host with a new member id and join", folder)
}

// prepare decides what an empty data folder means. A host that has lost its
// disk must not come back as its old self, since it may have voted; so a new
// group is started only on request.
func (c *Controller) prepare(saved *replicator.Saved) error {
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
		return emptyFolder(c.settings.Folder)
	}
	saved.Snapshot = modeler.Snapshot{Index: 1, Term: 1, Membership: c.settings.First}
	return c.store.SaveSnapshot(saved.Snapshot)
}

// now returns the process's monotonic clock.
func (c *Controller) now() modeler.ClockReading {
	if c.settings.Clock != nil {
		return c.settings.Clock()
	}
	return modeler.ClockReading(time.Since(c.start))
}

// Member returns the id under which the process takes part.
func (c *Controller) Member() modeler.MemberID { return c.settings.Member }

// Joined reports whether the member stands in the list of members that it
// holds.
func (c *Controller) Joined() bool { return c.joined.Load() }

// post hands an event to the core; it gives up when ctx ends.
func (c *Controller) post(ctx context.Context, e event) bool {
	select {
	case c.events <- posted{event: e, at: c.now()}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run serves until ctx ends or the disk fails. A leader hands its leadership
// over before it ends.
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
	ending := ctx.Done()
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer stop()
		select {
		case <-ending:
			c.handOver(ctx)
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

// handOver lets another member lead, if this one does; it returns when that is
// done or when it takes too long.
func (c *Controller) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverWithin)
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

// Handler serves the links of other processes.
func (c *Controller) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(linker.Path, func(w http.ResponseWriter, r *http.Request) { c.accept(ctx, w, r) })
	return mux
}
