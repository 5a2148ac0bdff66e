package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"goldcreststack.example/goldcreststack/platform/imitator"
)

// Settings describes one soak run.
type Settings struct {
	Seed uint64
	// Length is the time during which faults are injected.
	Length time.Duration
	// Binary is the path of the program under test, and Folder the folder for
	// settings, data and logs.
	Binary  string
	Folder  string
	Control int
	Entries int
	Workers int
	// Replace adds replacements of control hosts, lost disks, other seeds and a
	// final fault.
	Replace bool
	// Overlap adds to the replacements partitions of the control hosts, disks lost
	// during planned replacements and signals in series.
	Overlap bool
	// Mass adds wide jobs, tasks that last, and workers of a kind that all fail.
	Mass bool
	// Return lets workers leave, crash and come back under their id, while orders are on
	// their way that arrive late at a later generation, and adds tasks that last.
	Return bool
	// Copies adds jobs whose tasks may run in copies, workers that fail all that they run at
	// once, and workers that are silent for so long that starts never arrive there.
	Copies bool
	// Accounts adds client accounts, whose keys and quotas two operators change at the
	// same time, and calls with keys that are revoked or unknown.
	Accounts bool
}

const (
	// settleTime is the time after the last fault within which all jobs must end.
	settleTime = 25 * time.Second
	// returnSeries is the number of workers that leave and come back at the same time.
	returnSeries = 2
	// startupTime is the time before the first fault, in which the group elects
	// its first leader.
	startupTime = 3 * time.Second
)

// Report holds the counts and the findings of a soak run.
type Report struct {
	Jobs   int
	Starts int
	// RefusedKeys counts the calls that got status 401.
	RefusedKeys int
	Faults      []string
	// Violations lists the broken promises, each with its time.
	Violations []string
}

// world is the state of one soak run.
type world struct {
	settings Settings
	// random chooses the temporary faults, and changeRandom the series of changes and the
	// final fault.
	random       *rand.Rand
	changeRandom *rand.Rand
	ctx          context.Context
	check        *check
	network      *network
	entries      []*process
	workers      []*worker
	// policy is the address of the stand-in policy.
	policy string
	// bootstrap is set until startupTime is over; processes that are started
	// then may form a new group.
	bootstrap atomic.Bool
	// tolerance is the number of control hosts that may be lost at the same time.
	tolerance int
	// excessPeriods are the times during which temporary losses may exceed what the
	// users allow, counted from faultsBegan.
	excessPeriods []period
	faultsBegan   time.Time
	// healedAt is the end of the temporary faults, and faultsEnded that of all faults.
	healedAt    time.Time
	faultsEnded time.Time
	// partition is the partition of the control hosts, nil if there is none.
	partition atomic.Pointer[partition]
	// delayedAt is when the last delay of a process by the machine was found, and
	// checkedAt when the last check for delays began, in nanoseconds.
	delayedAt, checkedAt atomic.Int64

	// mu protects the fields below.
	mu sync.Mutex
	// control has the current control process of each slot, and started all control
	// processes so far. A slot is the place of one control host; a successor takes it
	// over.
	control  []*process
	started  []*process
	listings []listing
	// diskLosses has the slots whose lost hosts or disks no successor has replaced yet.
	diskLosses map[int]*diskLoss
	// changing has the slots whose host is being changed.
	changing map[int]bool
	// hostCount is the number of control hosts that have existed.
	hostCount int
	// faults lists the injected faults.
	faults []string
}

// Run executes one soak run and reports on it. The error is a failure of the soak
// itself, such as a process that can't be started.
func Run(ctx context.Context, settings Settings) (Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w := &world{
		settings:     settings,
		random:       rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		changeRandom: rand.New(rand.NewPCG(settings.Seed, 0)),
		ctx:          ctx,
		check:        newCheck(),
		tolerance:    lossTolerance(settings.Control),
		changing:     make(map[int]bool),
		diskLosses:   make(map[int]*diskLoss),
	}
	if settings.Accounts {
		w.check.accounts = newAccounts(settings.Seed)
	}
	w.bootstrap.Store(true)
	var err error
	if w.network, err = reserveNetwork(); err != nil {
		return Report{}, err
	}
	defer w.network.release()
	defer w.close()
	if err := w.startAll(); err != nil {
		return Report{}, err
	}
	var watcher sync.WaitGroup
	watching, endWatching := context.WithCancel(ctx)
	defer endWatching()
	watcher.Go(func() { w.watchDelays(watching) })
	watcher.Go(func() { w.watchDisk(watching) })
	var callers sync.WaitGroup
	running, end := context.WithCancel(ctx)
	defer end()
	callers.Go(func() { w.runOperator(running) })
	if settings.Accounts {
		for range operatorCount - 1 {
			callers.Go(func() { w.runOperator(running) })
		}
		callers.Go(func() { w.runIntruder(running) })
	}
	for range callerCount {
		callers.Go(func() { w.runCaller(running) })
	}
	callers.Go(func() { w.countQueued(running) })
	w.sleep(startupTime)
	var lasting []string
	if settings.Mass || settings.Return {
		random := rand.New(rand.NewPCG(settings.Seed, 3))
		lasting = w.startLasting(random)
		if settings.Mass {
			callers.Go(func() { w.runMass(running, random) })
		}
	}
	w.bootstrap.Store(false)
	var returns sync.WaitGroup
	if settings.Return {
		for i := range returnSeries {
			random := rand.New(rand.NewPCG(settings.Seed, uint64(4+i)))
			returns.Go(func() { w.returnWorkers(settings.Length, random) })
		}
	}
	if settings.Copies {
		for i := range copyCallers {
			random := rand.New(rand.NewPCG(settings.Seed, uint64(8+i)))
			callers.Go(func() { w.runCopies(running, random) })
		}
		random := rand.New(rand.NewPCG(settings.Seed, 7))
		returns.Go(func() { w.endAttempts(settings.Length, random) })
	}
	w.injectAllFaults(settings.Length)
	returns.Wait()
	recovered := w.awaitRecovery()
	end()
	callers.Wait()
	if recovered {
		w.restoreAccounts()
		w.endLasting(lasting)
		w.checkEnd()
		w.awaitJobs()
		w.checkNoneQueued()
	}
	endWatching()
	watcher.Wait()
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return Report{Jobs: len(w.check.jobs), Starts: w.check.starts, RefusedKeys: w.check.refusedKeys, Faults: w.faults, Violations: w.check.violations}, nil
}

// injectAllFaults injects temporary faults for the given time and, if the settings
// ask for it, changes of hosts at the same time and the final fault after them. It
// returns when all lasting faults have ended.
func (w *world) injectAllFaults(length time.Duration) {
	w.faultsBegan = time.Now()
	if !w.settings.Replace {
		w.injectFaults(length)
		w.healAll()
		return
	}
	w.excessPeriods = w.planExcess(length)
	final := w.planFinalFault()
	var series sync.WaitGroup
	for range max(w.tolerance, 1) {
		random := rand.New(rand.NewPCG(w.changeRandom.Uint64(), 0))
		series.Go(func() { w.changeHosts(length, random) })
	}
	if w.settings.Overlap && w.tolerance > 0 {
		series.Go(func() { w.overlapFaults(length, rand.New(rand.NewPCG(w.settings.Seed, 2))) })
	}
	w.injectFaults(length)
	series.Wait()
	w.healAll()
	w.healedAt = time.Now()
	if random := rand.New(rand.NewPCG(w.settings.Seed, 1)); random.IntN(2) == 0 || w.settings.Overlap {
		w.isolateNewestEntries(random)
	}
	w.injectFinalFault(final)
}

func (w *world) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.ctx.Done():
	}
}

// ip returns a separate loopback address for each process and purpose.
func (w *world) ip(purpose, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network.number, purpose, n+1)
}

// The purposes of addresses. A control process advertises one address, where its
// proxy listens, and binds another one behind the proxy.
const (
	advertisedAddress = iota + 1
	bindAddress
	entryAddress
	workerAddress
	policyAddress
)

// linkPort is the port of links. It is none of those that the system gives to outgoing
// connections: a process that comes back could not listen at the port of such a
// connection for a minute after its end.
const linkPort = 7700

func (w *world) startAll() error {
	if err := w.startPolicy(); err != nil {
		return err
	}
	for range w.settings.Control {
		p, err := w.newControl()
		if err != nil {
			return err
		}
		w.control = append(w.control, p)
		w.addListing(p, 0)
	}
	for i := range w.settings.Entries {
		p := &process{name: fmt.Sprintf("entry-%d", i+1), role: "entry", host: w.ip(entryAddress, i)}
		w.entries = append(w.entries, p)
	}
	for i := range w.settings.Workers {
		s, err := newWorker(w, fmt.Sprintf("i-%d", i+1), w.kindOf(i), w.linkAddress(w.ip(workerAddress, i)))
		if err != nil {
			return err
		}
		w.workers = append(w.workers, s)
	}
	for _, p := range w.processes() {
		if err := w.start(p); err != nil {
			return err
		}
	}
	return nil
}

// linkAddress returns the address of the given IP address at the port of links.
func (w *world) linkAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(linkPort)) }

// offsetAddress returns the address of the given IP address at the port n above the
// port of links; callers and workers use such ports.
func (w *world) offsetAddress(ip string, n int) string { return imitator.PortAddress(ip, linkPort, n) }

// newClient returns an HTTP client with connections of its own, which it keeps
// open until the other side closes them.
func (w *world) newClient(timeout time.Duration) *http.Client {
	transport := &http.Transport{}
	context.AfterFunc(w.ctx, transport.CloseIdleConnections)
	return &http.Client{Timeout: timeout, Transport: transport}
}

// close kills every process that the soak has started and closes the proxies and
// the stand-in workers.
func (w *world) close() {
	var ending sync.WaitGroup
	for _, p := range append(w.started, w.entries...) {
		ending.Go(func() { p.retire(syscall.SIGKILL) })
	}
	ending.Wait()
	for _, s := range w.workers {
		_ = s.server.Close()
	}
}
