package main_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// startWithin bounds the wait for a system to come up on a busy machine.
const startWithin = 60 * time.Second

var binary string

// TestMain builds the binary once for all tests that run processes.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "goldcreststack-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "goldcreststack")
	build := exec.Command("go", "build", "-o", binary, ".")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// deployment is the shape of one user's cell.
type deployment struct {
	region   string
	domains  []string
	service  string
	once     string
	memory   int64
	rackSize int
	policy   modeler.Policy
	// flags are those of a worker; none stand for a service time of 5 ms.
	flags func(worker int) []string
	// cores are those of a worker; none stand for 32.
	cores func(worker int) int
}

var (
	kitahama = deployment{
		region: "kyushu-north", domains: []string{"hakata-a", "kokura-b", "kurume-c", "saga-d"},
		service: "breakfast-register", once: "headcount", memory: 64 << 30, rackSize: 6, policy: modeler.Spread,
	}
	kovacic = deployment{
		region: "zagreb", domains: []string{"zagreb-a", "zagreb-b", "zagreb-c"},
		service: "narudzbe", once: "die-cutting", memory: 128 << 30, rackSize: 8, policy: modeler.Pack,
	}
)

// process is one started process of the system.
type process struct {
	t    testing.TB
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan error
}

func (p *process) start() {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	defer file.Close()
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout = file
	p.cmd.Stderr = file
	p.cmd.Dir = filepath.Dir(p.log)
	assert.NilError(p.t, p.cmd.Start())
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(p.cmd, p.done)
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// suspend stops the process and returns when none of it runs any more.
func (p *process) suspend() {
	p.signal(syscall.SIGSTOP)
	var status syscall.WaitStatus
	for {
		_, err := syscall.Wait4(p.cmd.Process.Pid, &status, syscall.WUNTRACED, nil)
		if !errors.Is(err, syscall.EINTR) {
			assert.NilError(p.t, err)
			break
		}
	}
	assert.Assert(p.t, status.Stopped(), "%s ended", p.name)
}

// kill ends the process as a crash does.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	p.done <- nil
}

// wait waits for the process to end by itself.
func (p *process) wait(within time.Duration) error {
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(within):
		return fmt.Errorf("%s still runs after %s", p.name, within)
	}
}

// system is a running cell of real processes on loopback addresses.
type system struct {
	t        testing.TB
	shape    deployment
	folder   string
	controls []*process
	links    []string
	// reports are where the control processes show metrics.
	reports []string
	entries []*process
	fronts  []string
	workers []*process
	backs   []string
	client  *http.Client
	ticket  modeler.TicketNumber
}

// freeAddresses returns loopback addresses that nothing listens on. Each call
// draws a host of its own in 127/8: on 127.0.0.1 an outgoing connection could
// take a port before its process listens there.
func freeAddresses(t testing.TB, n int) []string {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	var out []string
	for range n {
		l, err := net.Listen("tcp", host+":0")
		assert.NilError(t, err)
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// newSystem starts the processes and waits until every entry host serves.
func newSystem(t testing.TB, shape deployment, controls, entries, workers int) *system {
	t.Helper()
	s := &system{
		t:      t,
		shape:  shape,
		folder: t.TempDir(),
		client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	addresses := freeAddresses(t, controls+entries+workers)
	s.links, addresses = addresses[:controls], addresses[controls:]
	s.fronts, s.backs = addresses[:entries], addresses[entries:]
	t.Cleanup(s.stop)
	for i := range controls {
		s.controls = append(s.controls, s.startProcess(fmt.Sprintf("control-%d", i+1), "control", "--bootstrap", s.controlSettings(i)))
		s.controls[i].args = []string{"control", s.controls[i].args[2]}
	}
	for i := range entries {
		s.entries = append(s.entries, s.startProcess(fmt.Sprintf("entry-%d", i+1), "entry", s.entrySettings(i)))
	}
	for i := range workers {
		flags := []string{"--time", "5ms"}
		if shape.flags != nil {
			flags = shape.flags(i)
		}
		args := append([]string{"worker", s.workerSettings(i)}, flags...)
		s.workers = append(s.workers, s.startProcess(fmt.Sprintf("worker-%d", i+1), args...))
	}
	s.apply(s.firstTicket())
	for i := range entries {
		s.await(startWithin, "entry host serves", func() error { return s.check(s.fronts[i], "/readyz") })
	}
	s.await(startWithin, "workers are announced", func() error {
		if known := s.status().Workers.Known; known != workers {
			return fmt.Errorf("%d workers are known", known)
		}
		return nil
	})
	return s
}

func (s *system) startProcess(name string, args ...string) *process {
	p := &process{t: s.t, name: name, args: args, log: filepath.Join(s.folder, name+".log")}
	p.start()
	return p
}

// stop ends every process and shows the logs of a failed test.
func (s *system) stop() {
	for _, list := range [][]*process{s.controls, s.entries, s.workers} {
		for _, p := range list {
			p.kill()
			if s.t.Failed() {
				text, _ := os.ReadFile(p.log)
				s.t.Logf("%s:\n%s", p.name, tail(string(text), 15))
			}
		}
	}
}

func tail(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (s *system) write(name string, content any) string {
	data, err := json.MarshalIndent(content, "", "  ")
	assert.NilError(s.t, err)
	path := filepath.Join(s.folder, name)
	assert.NilError(s.t, os.WriteFile(path, data, 0o600))
	return path
}

type section map[string]any

func (s *system) controlSettings(i int) string {
	var members []section
	for j, address := range s.links {
		members = append(members, section{"id": j + 1, "address": address})
	}
	return s.controlFile(i+1, s.links[i], members, false)
}

func (s *system) controlFile(member int, address string, members []section, join bool) string {
	name := fmt.Sprintf("control-%d", member)
	s.reports = append(s.reports, freeAddresses(s.t, 1)[0])
	return s.write(name+".json", section{
		"host": name, "region": s.shape.region, "domain": s.shape.domains[member%len(s.shape.domains)],
		"control": section{
			"member": member, "listen": address, "advertise": address,
			"http": s.reports[len(s.reports)-1], "members": members, "folder": filepath.Join(s.folder, name), "join": join,
		},
	})
}

func (s *system) entrySettings(i int) string {
	name := fmt.Sprintf("entry-%d", i+1)
	return s.write(name+".json", section{
		"host": name, "region": s.shape.region, "domain": s.shape.domains[i%len(s.shape.domains)],
		"entry": section{"name": name, "listen": s.fronts[i], "controls": s.links, "delay": "200ms", "grace": "20s"},
	})
}

func (s *system) workerSettings(i int) string {
	name := fmt.Sprintf("worker-%d", i+1)
	cores := 32
	if s.shape.cores != nil {
		cores = s.shape.cores(i)
	}
	return s.write(name+".json", section{
		"host": name, "region": s.shape.region, "domain": s.shape.domains[i%len(s.shape.domains)],
		"worker": section{
			"name": name, "listen": s.backs[i], "advertise": s.backs[i], "entries": s.fronts,
			"rack": fmt.Sprintf("rack-%d", i/s.shape.rackSize), "services": []string{s.shape.service, s.shape.once},
			"slots": 8, "connections": 64, "idle": "1s",
			"capacity": section{"processors": cores * 1000, "memory": s.shape.memory, "accelerators": 0},
		},
	})
}

// firstTicket sets up the deployment's services.
func (s *system) firstTicket() *modeler.Ticket {
	service := modeler.Service{
		Name: modeler.ServiceName(s.shape.service), Region: modeler.RegionName(s.shape.region), Team: "team",
		Limit: modeler.Duration(5 * time.Second), Wait: modeler.Duration(5 * time.Second), Queue: 1000,
	}
	once := service
	once.Name = modeler.ServiceName(s.shape.once)
	once.AtMostOnce = true
	return &modeler.Ticket{
		Teams: []modeler.Team{{
			Name: "team", Weight: 1, Policy: s.shape.policy,
			Quota: modeler.Resources{Processors: 1_536_000, Memory: 48 << 37, Accelerators: 0},
		}},
		Services: []modeler.Service{service, once},
	}
}

// apply gives the ticket the next number and applies it through any entry
// host.
func (s *system) apply(t *modeler.Ticket) {
	s.t.Helper()
	s.ticket++
	t.Number = s.ticket
	s.await(startWithin, "ticket is accepted", func() error {
		status, body, err := s.post(s.fronts[int(t.Number)%len(s.fronts)], "/v1/tickets", "", t)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, body)
		}
		return err
	})
}

func (s *system) post(front, path, key string, content any) (int, string, error) {
	data, err := json.Marshal(content)
	if err != nil {
		return 0, "", err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+front+path, bytes.NewReader(data))
	if err != nil {
		return 0, "", err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return s.do(request)
}

func (s *system) do(request *http.Request) (int, string, error) {
	answer, err := s.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body), err
}

// check fetches a path that must answer with status 200.
func (s *system) check(front, path string) error {
	answer, err := s.client.Get("http://" + front + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}

// get decodes a JSON document.
func (s *system) get(address, path string, into any) error {
	answer, err := s.client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return json.NewDecoder(answer.Body).Decode(into)
}

// status asks the entry hosts in turn.
func (s *system) status() modeler.Status {
	s.t.Helper()
	var status modeler.Status
	s.await(startWithin, "status is answered", func() error {
		var err error
		for _, front := range s.fronts {
			status = modeler.Status{}
			if err = s.get(front, "/v1/status", &status); err == nil {
				return nil
			}
		}
		return err
	})
	return status
}

// await repeats a check until it holds.
func (s *system) await(within time.Duration, what string, check func() error) {
	s.t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: not within %s: %v", what, within, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runsOf counts the runs of a key over all workers.
func (s *system) runsOf(key string) int {
	s.t.Helper()
	return s.countRuns()[key]
}

// countRuns counts the runs of every key over all workers.
func (s *system) countRuns() map[string]int {
	s.t.Helper()
	counts := make(map[string]int)
	for _, back := range s.backs {
		var log worker.Log
		assert.NilError(s.t, s.get(back, "/runs", &log))
		for _, run := range log.Runs {
			counts[string(run.Key)]++
		}
	}
	return counts
}

func newKey(t testing.TB) string {
	id, err := uuid.NewV7()
	assert.NilError(t, err)
	return id.String()
}
