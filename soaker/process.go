package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"goldcreststack.example/goldcreststack/platform/imitator"
)

const (
	// restartAfter is the platform's delay before it restarts an ended process.
	restartAfter = 300 * time.Millisecond
	// gracePeriod is the time between SIGTERM and SIGKILL, from the platform's
	// pages.
	gracePeriod = 6 * time.Second
	// seedCount is the number of seeds in a settings file.
	seedCount = 3
)

// process is one control or entry process under test, on a host of its own.
type process struct {
	name string
	role string
	host string
	// bind is the IP address that a control process binds behind its proxy, and from
	// which it opens links.
	bind         string
	settingsFile string
	data         string
	link         *proxy

	// starting is held during a start, so that a kill comes before or after it.
	starting sync.Mutex
	// beforeStart, if set, is called before the next start; startDelay is added to
	// restartAfter once.
	beforeStart func()
	startDelay  time.Duration

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// stopping is set when the process isn't to be restarted.
	stopping bool
	running  bool
	// lostUntil is the end of the newest temporary loss of the host, including the
	// time to catch up.
	lostUntil time.Time
}

// newControl returns a control process on a new host.
func (w *world) newControl() (*process, error) {
	w.mu.Lock()
	n := w.hostCount
	w.hostCount++
	w.mu.Unlock()
	p := &process{name: fmt.Sprintf("control-%d", n+1), role: "control", host: w.ip(advertisedAddress, n), bind: w.ip(bindAddress, n)}
	p.data = filepath.Join(w.settings.Folder, p.name)
	var err error
	isSeparated := func(client net.Conn) bool { return w.isSeparated(p, client) }
	if p.link, err = newProxy(w.linkAddress(p.host), w.linkAddress(p.bind), isSeparated); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.started = append(w.started, p)
	w.mu.Unlock()
	return p, nil
}

// start writes the settings file of a process and starts the process. It is
// restarted whenever it ends, as the platform does.
func (w *world) start(p *process) error {
	p.starting.Lock()
	defer p.starting.Unlock()
	if p.beforeStart != nil {
		p.beforeStart()
		p.beforeStart = nil
	}
	if err := w.writeSettings(p, w.currentSeeds()); err != nil {
		return err
	}
	return w.launch(p)
}

// writeSettings writes the settings file of a process with the given seeds.
func (w *world) writeSettings(p *process, seeds []string) error {
	node := imitator.Node{
		Name: p.name, IP: p.host, Entry: p.role == "entry", Port: linkPort, Seeds: seeds, Bootstrap: w.bootstrap.Load(),
		DataFolder: p.data, PolicyAddress: w.policy, MaxLease: maxLease, MaxStopTime: stopTime,
		LossTolerance: w.tolerance, CatchUp: catchUp, QuotaOverage: quotaOverage,
	}
	data, err := node.Encode()
	if err != nil {
		return err
	}
	p.settingsFile = filepath.Join(w.settings.Folder, p.name+".json")
	// The process may read the file at any time.
	next := p.settingsFile + ".next"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settingsFile)
}

// currentSeeds returns the seeds for a settings file that is written now: three
// control hosts of the operator's list, and the same three at the first start.
func (w *world) currentSeeds() []string {
	hosts := w.listedControl()
	if !w.bootstrap.Load() && w.settings.Replace {
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	}
	var seeds []string
	for _, p := range hosts[:min(seedCount, len(hosts))] {
		seeds = append(seeds, w.offsetAddress(p.host, 1))
	}
	return seeds
}

func (w *world) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(w.settings.Folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := []string{"hosted", p.role}
	if p.bind != "" {
		args = append(args, "--bind", p.bind)
	}
	command := exec.Command(w.settings.Binary, args...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), imitator.NodeVariable+"="+p.settingsFile)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return nil
	}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.ended, p.running = command, make(chan struct{}), true
	p.lostUntil = later(p.lostUntil, time.Now().Add(catchUp))
	go w.restartAtEnd(p, command, p.ended)
	return nil
}

// restartAtEnd waits for the end of the process and starts it again, unless it is
// stopping.
func (w *world) restartAtEnd(p *process, command *exec.Cmd, ended chan struct{}) {
	_ = command.Wait()
	if code := command.ProcessState.ExitCode(); code > 0 {
		w.check.recordViolation("%s has ended by itself with exit code %d", p.name, code)
	}
	p.mu.Lock()
	p.running = false
	again := !p.stopping && w.ctx.Err() == nil
	p.mu.Unlock()
	close(ended)
	if !again {
		return
	}
	p.starting.Lock()
	delay := restartAfter + p.startDelay
	p.startDelay = 0
	p.starting.Unlock()
	w.sleep(delay)
	if w.ctx.Err() != nil {
		return
	}
	if err := w.start(p); err != nil {
		w.check.recordViolation("%s can't be started again: %v", p.name, err)
	}
}

// signal sends a signal to the operating system process, if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running {
		// Signalling fails if the process has just ended; it is restarted anyway.
		_ = p.command.Process.Signal(s)
	}
}

// kill kills the process, which may be paused. Before it is started again, after
// restartAfter and the given delay, beforeStart is called if it isn't nil.
func (p *process) kill(delay time.Duration, beforeStart func()) {
	p.starting.Lock()
	defer p.starting.Unlock()
	p.startDelay = delay
	if beforeStart != nil {
		p.beforeStart = beforeStart
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = false
}

// vanish ends the process for good without a trace: connections to its host stay
// open and silent.
func (p *process) vanish() {
	p.link.vanished.Store(true)
	p.end(syscall.SIGKILL)
}

// retire ends the process for good with the given signal and closes its proxy.
func (p *process) retire(s syscall.Signal) {
	p.end(s)
	if p.link != nil {
		p.link.close()
	}
}

// end ends the process for good with the given signal, and with SIGKILL after
// gracePeriod.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	p.stopping = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(s)
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// isRunning reports whether the process runs.
func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
