package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
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
}

const (
	// settleTime is the time after the last fault within which all jobs must end.
	settleTime = 25 * time.Second
	// startupTime is the time before the first fault, in which the group elects
	// its first leader.
	startupTime = 3 * time.Second
)

// Report holds the counts and the findings of a soak run.
type Report struct {
	Jobs   int
	Starts int
	Faults []string
	// Violations lists the broken promises, each with its time.
	Violations []string
}

// process is one control or entry process under test.
type process struct {
	name         string
	role         string
	host         string
	settingsFile string
	data         string
	link         *proxy
	mu           sync.Mutex
	command      *exec.Cmd
	ended        chan struct{}
	// stopping is set at the end of the run, so that the process isn't
	// restarted.
	stopping bool
}

// world is the state of one soak run.
type world struct {
	settings Settings
	random   *rand.Rand
	ctx      context.Context
	check    *check
	network  *network
	port     int
	control  []*process
	entries  []*process
	workers  []*worker
	// policy is the address of the stand-in policy.
	policy string
	// bootstrap is set until startupTime is over; processes that are started
	// then may form a new group.
	bootstrap bool
	// faults lists the injected faults.
	faults []string
}

// Run executes one soak run and reports on it. The error is a failure of the soak
// itself, such as a process that can't be started.
func Run(ctx context.Context, settings Settings) (Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w := &world{
		settings:  settings,
		random:    rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		ctx:       ctx,
		check:     newCheck(),
		bootstrap: true,
	}
	var err error
	if w.network, err = reserveNetwork(); err != nil {
		return Report{}, err
	}
	defer w.network.release()
	defer w.close()
	if err := w.startAll(); err != nil {
		return Report{}, err
	}
	var callers sync.WaitGroup
	running, end := context.WithCancel(ctx)
	defer end()
	callers.Go(func() { w.runOperator(running) })
	for range callerCount {
		callers.Go(func() { w.runCaller(running) })
	}
	w.sleep(startupTime)
	w.bootstrap = false
	w.injectFaults(settings.Length)
	w.healAll()
	w.sleep(3 * time.Second)
	end()
	callers.Wait()
	w.awaitJobs()
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return Report{Jobs: len(w.check.jobs), Starts: w.check.starts, Faults: w.faults, Violations: w.check.faults}, nil
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

func (w *world) startAll() error {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.port = free.Addr().(*net.TCPAddr).Port
	if err := free.Close(); err != nil {
		return err
	}
	if err := w.startPolicy(); err != nil {
		return err
	}
	for i := range w.settings.Control {
		p := &process{name: fmt.Sprintf("control-%d", i+1), role: "control", host: w.ip(advertisedAddress, i)}
		p.data = filepath.Join(w.settings.Folder, p.name)
		if p.link, err = newProxy(w.linkAddress(p.host), w.linkAddress(w.ip(bindAddress, i))); err != nil {
			return err
		}
		w.control = append(w.control, p)
	}
	for i := range w.settings.Entries {
		p := &process{name: fmt.Sprintf("entry-%d", i+1), role: "entry", host: w.ip(entryAddress, i)}
		w.entries = append(w.entries, p)
	}
	for i := range w.settings.Workers {
		s, err := newWorker(w, fmt.Sprintf("i-%d", i+1), w.linkAddress(w.ip(workerAddress, i)))
		if err != nil {
			return err
		}
		w.workers = append(w.workers, s)
	}
	for _, p := range append(w.control, w.entries...) {
		if err := w.start(p); err != nil {
			return err
		}
	}
	return nil
}

// linkAddress returns the address of the given IP address at the port of links.
func (w *world) linkAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(w.port)) }

// offsetAddress returns the address of the given IP address at the port n above the
// port of links; callers and workers use such ports.
func (w *world) offsetAddress(ip string, n int) string { return imitator.PortAddress(ip, w.port, n) }

func (w *world) randomControl() string {
	return w.offsetAddress(w.control[rand.IntN(len(w.control))].host, 1)
}

// start writes the settings file of a process and starts the process. It is
// restarted whenever it ends, as the platform does.
func (w *world) start(p *process) error {
	var seeds []string
	for _, c := range w.control[:min(3, len(w.control))] {
		seeds = append(seeds, w.offsetAddress(c.host, 1))
	}
	node := imitator.Node{
		Name: p.name, IP: p.host, Entry: p.role == "entry", Port: w.port, Seeds: seeds, Bootstrap: w.bootstrap,
		DataFolder: p.data, PolicyAddress: w.policy, MaxLease: maxLease, MaxStopTime: stopTime,
	}
	data, err := node.Encode()
	if err != nil {
		return err
	}
	p.settingsFile = filepath.Join(w.settings.Folder, p.name+".json")
	if err := os.WriteFile(p.settingsFile, data, 0o600); err != nil {
		return err
	}
	return w.launch(p)
}

func (w *world) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(w.settings.Folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := []string{"hosted", p.role}
	if p.role == "control" {
		args = append(args, "--bind", w.bindIP(p))
	}
	command := exec.Command(w.settings.Binary, args...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), imitator.NodeVariable+"="+p.settingsFile)
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.mu.Unlock()
	go func() {
		// The exit code of a killed process carries no information.
		_ = command.Wait()
		close(ended)
		p.mu.Lock()
		again := !p.stopping && w.ctx.Err() == nil
		p.mu.Unlock()
		if !again {
			return
		}
		w.sleep(restartAfter)
		if err := w.start(p); err != nil {
			w.check.recordViolation("%s can't be started again: %v", p.name, err)
		}
	}()
	return nil
}

// restartAfter is the platform's delay before it restarts an ended process.
const restartAfter = 300 * time.Millisecond

// bindIP returns the IP address that a control process binds behind its proxy.
func (w *world) bindIP(p *process) string {
	for i, c := range w.control {
		if c == p {
			return w.ip(bindAddress, i)
		}
	}
	return ""
}

// signal sends a signal to the operating system process, if it has been started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		// Signalling fails if the process has just ended; it is restarted anyway.
		_ = p.command.Process.Signal(s)
	}
}

// close kills every process that the soak has started and closes the proxies and
// the stand-in workers.
func (w *world) close() {
	for _, p := range append(w.control, w.entries...) {
		p.mu.Lock()
		p.stopping = true
		ended := p.ended
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if ended != nil {
			<-ended
		}
		if p.link != nil {
			p.link.close()
		}
	}
	for _, s := range w.workers {
		_ = s.server.Close()
	}
}
