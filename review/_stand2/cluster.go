package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	binary      = "target/goldcreststack"
	metricsPort = 9464
	callerHost  = "jobs.example"
	service     = "svc"
)

// world is one deployment on loopback addresses: the processes under test and the
// stand-ins around them.
type world struct {
	folder  string
	temp    string
	prefix  string
	port    int
	trouble bool
	began   time.Time
	bounds  map[string]any

	mu       sync.Mutex
	record   *os.File
	broken   []string
	controls []*process
	entries  []*process
	workers  []*worker
	// starts counts the starts of each task.
	starts map[string]int
}

// process is one process of the system under test.
type process struct {
	world    *world
	role     string
	name     string
	ip       string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// kitahamaBounds are the bounds that the page of the first deployment gives.
func kitahamaBounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_delay_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 2000,
		"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12,
		"max_hold_ms": 6000, "stop_timeout_ms": 400, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
		"finish_s": 14, "status_s": 120, "remote_penalty": 3, "checkpoint_s": 2, "restore_ms": 100, "notice_ms": 4500,
		"migration_s": 1.5, "maintenance_s": 2, "fencing_enforced": false, "lease_ms": 3000, "thaw_slack_ms": 300, "pacing_ms": 100,
		"impact_ms": 4000,
	}
}

func newWorld(folder string) (*world, error) {
	w := &world{folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), bounds: kitahamaBounds(), starts: make(map[string]int)}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	var err error
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if w.temp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		probe, err := net.Listen("tcp", w.prefix+"1:0")
		if err != nil {
			continue
		}
		w.port = probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		if w.port < 65000 && w.isFree() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports were found")
}

// isFree reports whether the ports of all processes are free.
func (w *world) isFree() bool {
	for i := 1; i <= 20; i++ {
		for _, port := range []int{w.port, w.port + 1, w.port + 2, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", w.prefix, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// logf writes one line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that a rule was broken.
func (w *world) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logf("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// newProcess writes the settings of a process. Processes are numbered from 1; the
// first three control processes are the seeds.
func (w *world) newProcess(role string, number, controls int) (*process, error) {
	ip := fmt.Sprintf("%s%d", w.prefix, number)
	var seeds []string
	for i := 1; i <= min(controls, 3); i++ {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", w.prefix, i, w.port+1))
	}
	class, serves, disk := "edge", "edge", 0
	listen := map[string]string{"frontend": fmt.Sprintf("%s:%d", ip, w.port+1), "readiness": fmt.Sprintf("%s:%d", ip, w.port+2)}
	var data any
	if role == "control" {
		class, serves, disk = "core", "control", 128
		listen = map[string]string{"control_plane": fmt.Sprintf("%s:%d", ip, w.port+1)}
		data = filepath.Join(w.temp, fmt.Sprintf("data-%d", number))
	}
	settings := map[string]any{
		"node_name": fmt.Sprintf("%s-%d", class, number), "role": role, "machine_class": class, "serves": []string{serves}, "ip": ip,
		"zone": "z-a", "region": "r", "zones": map[string]string{"z-a": "r"}, "listen_addrs": listen,
		"internal_ports": []int{w.port, w.port}, "seeds": seeds, "bootstrap": true, "counts_as_loss": role == "control",
		"limits":   map[string]any{"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": disk},
		"data_dir": data, "discovery": "registry", "entrypoint": "vip", "heartbeat_ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "bounds": w.bounds, "config_mode": "highest",
		"commands": "invoke",
	}
	content, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return nil, err
	}
	p := &process{world: w, role: role, name: settings["node_name"].(string), ip: ip, settings: filepath.Join(w.temp, fmt.Sprintf("node-%d.json", number))}
	return p, os.WriteFile(p.settings, content, 0o600)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	out, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(binary, "hosted", p.role)
	cmd.Env = []string{"GOLDCRESTSTACK_NODE_FILE=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.world.logf("process %s starts", p.name)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.world.logf("process %s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// restart stops the process as the platform does in planned work, and starts it again.
func (p *process) restart(pause time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(6 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	p.world.logf("process %s has ended", p.name)
	time.Sleep(pause)
	return p.start()
}

// startCluster starts the processes and sends the first configuration until it is
// acknowledged.
func (w *world) startCluster(controls, entries int, layout map[string]any) error {
	for i := 1; i <= controls+entries; i++ {
		role := "control"
		if i > controls {
			role = "entry"
		}
		p, err := w.newProcess(role, i, controls)
		if err != nil {
			return err
		}
		if role == "control" {
			w.controls = append(w.controls, p)
		} else {
			w.entries = append(w.entries, p)
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	return w.setLayout(layout)
}

// setLayout sends a configuration to the control processes in turn until one
// acknowledges it.
func (w *world) setLayout(layout map[string]any) error {
	body, err := json.Marshal(layout)
	if err != nil {
		return err
	}
	for i := range 150 {
		p := w.controls[i%len(w.controls)]
		status, _ := w.send(http.MethodPut, w.controlAddress(p), "/-/config", "", body)
		if status == http.StatusOK {
			w.logf("configuration %v acknowledged by %s", layout["version"], p.name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

func (w *world) controlAddress(p *process) string { return fmt.Sprintf("%s:%d", p.ip, w.port+1) }

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one request and returns the status, or 0 without an answer.
func (w *world) send(method, address, path, host string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		request.Host = host
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Goldcreststack-Deadline-Ms", "3000")
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}

// queue returns a route of a configuration.
func queue(prefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "host": callerHost, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1200,
		"priority": priority, "service": service, "max_attempts": attempts, "slowdown_factor": 2.0,
	}
}

func layout(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// submit hands a job in, repeating the request until it is accepted.
func (w *world) submit(path string, spec string, steps ...map[string]any) error {
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		return err
	}
	for i := range 40 {
		p := w.entries[i%len(w.entries)]
		status, _ := w.send(http.MethodPost, fmt.Sprintf("%s:%d", p.ip, w.port+1), path, callerHost, body)
		w.logf("client POST %s %s -> %d", path, body, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", path)
}

// state asks for a job's state.
func (w *world) state(path string) string {
	for i := range 12 {
		p := w.entries[i%len(w.entries)]
		status, data := w.send(http.MethodGet, fmt.Sprintf("%s:%d", p.ip, w.port+1), path, callerHost, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &answer) == nil {
			w.logf("client GET %s -> %s", path, answer.State)
			return answer.State
		}
		w.logf("client GET %s -> %d", path, status)
		time.Sleep(250 * time.Millisecond)
	}
	return ""
}

// stop ends all processes and removes the temporary folder.
func (w *world) stop() {
	for _, s := range w.workers {
		s.crash()
	}
	for _, p := range append(w.entries, w.controls...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		w.logf("logs are in %s", w.temp)
	}
	_ = w.record.Close()
}
