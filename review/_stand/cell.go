package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the project's program, as the deploy file builds and starts it from
// the root of the repository.
const program = "target/goldcreststack"

// Offsets of the ports of a process from the first one.
const (
	frontPort = 16 + iota
	readyPort
	controlPort
	lastInternal = 15
)

// metricsPort is fixed by the deploy file.
const metricsPort = "9464"

// bounds are those of the site kitahama-sched.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_delay_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
	"drain_timeout_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
	"max_stretch_ms": 5000, "recovery_s": 12, "max_hold_ms": 6000, "stop_timeout_ms": 400, "gang_timeout_ms": 3000,
	"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_penalty": 3,
	"checkpoint_s": 2, "restore_ms": 100, "notice_ms": 4500, "migration_s": 1.5, "maintenance_s": 2,
	"fencing_enforced": false, "lease_ms": 3000, "thaw_slack_ms": 300, "pacing_ms": 100, "impact_ms": 4000,
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// process is one process of the project.
type process struct {
	run   *run
	name  string
	role  string
	class string
	ip    string
	zone  string
	data  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) at(offset int) string {
	return net.JoinHostPort(p.ip, strconv.Itoa(p.run.port+offset))
}

// cell holds the processes of the project.
type cell struct {
	run      *run
	controls []*process
	entries  []*process
	client   *http.Client
}

// startCell starts all processes of a new system within 0.3 s.
func startCell(r *run, controls, entries int) *cell {
	c := &cell{run: r, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	r.cell = c
	for i := range controls {
		p := &process{run: r, name: fmt.Sprintf("core-%d", i+1), role: "control", class: "core", ip: r.nextIP(), zone: zones[i%len(zones)]}
		p.data = filepath.Join(r.folder, p.name)
		r.require(os.Mkdir(p.data, 0o700), "data folder")
		c.controls = append(c.controls, p)
	}
	for i := range entries {
		c.entries = append(c.entries, &process{run: r, name: fmt.Sprintf("edge-%d", i+1), role: "entry", class: "edge", ip: r.nextIP(), zone: zones[i%len(zones)]})
	}
	for _, p := range append(append([]*process{}, c.controls...), c.entries...) {
		c.start(p, true)
	}
	return c
}

// settings returns the settings file of a process.
func (c *cell) settings(p *process, bootstrap bool) []byte {
	var seeds []string
	for _, control := range c.controls[:min(3, len(c.controls))] {
		seeds = append(seeds, control.at(controlPort))
	}
	listen := map[string]string{"control_plane": p.at(controlPort)}
	serves := "control"
	var data any = p.data
	if p.class == "edge" {
		listen = map[string]string{"frontend": p.at(frontPort), "readiness": p.at(readyPort)}
		serves, data = "edge", nil
	}
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = "region"
	}
	text, err := json.Marshal(map[string]any{
		"node_name": p.name, "role": p.role, "machine_class": p.class, "serves": []string{serves}, "ip": p.ip,
		"zone": p.zone, "region": "region", "zones": regions, "listen_addrs": listen,
		"internal_ports": []int{c.run.port, c.run.port + lastInternal}, "seeds": seeds, "bootstrap": bootstrap,
		"counts_as_loss": p.class == "core", "limits": map[string]any{"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000, "disk_mb": 128},
		"data_dir": data, "discovery": "registry", "entrypoint": "vip", "heartbeat_ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          bounds, "config_mode": "highest", "commands": "invoke",
	})
	c.run.require(err, "settings")
	return text
}

// start starts a process with the command of the deploy file.
func (c *cell) start(p *process, bootstrap bool) {
	file := filepath.Join(c.run.folder, p.name+".json")
	c.run.require(os.WriteFile(file, c.settings(p, bootstrap), 0o600), "settings file")
	log, err := os.OpenFile(filepath.Join(c.run.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.run.require(err, "log file")
	cmd := exec.Command(program, "hosted", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTSTACK_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	c.run.require(cmd.Start(), "start "+p.name)
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	c.run.note("process %s started, bootstrap %v", p.name, bootstrap)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		c.run.note("process %s ended: %v", p.name, err)
		close(done)
	}()
}

// kill ends a process by SIGKILL; its disk is kept.
func (c *cell) kill(p *process) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

func (c *cell) stop() {
	for _, p := range append(append([]*process{}, c.controls...), c.entries...) {
		c.kill(p)
	}
}

// leader returns the control process that says that it leads, or nil.
func (c *cell) leader() *process {
	for _, p := range c.controls {
		answer, err := c.client.Get("http://" + net.JoinHostPort(p.ip, metricsPort) + "/metrics")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if strings.Contains(string(text), fmt.Sprintf("goldcreststack_leads{role=\"control\",name=%q} 1\n", p.name)) {
			return p
		}
	}
	return nil
}

// call sends a request and returns the status and the body; the status is 0
// without an answer.
func (c *cell) call(method, url, host, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		request.Host = host
		request.Header.Set("Goldcreststack-Deadline-Ms", "3000")
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(text)
}
