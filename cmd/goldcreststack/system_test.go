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

// startTimeout bounds the wait for a system to start on a busy machine.
const startTimeout = 60 * time.Second

// binary is the path of the command that the tests run.
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

// deployment describes the layout and the services of one user's cell.
type deployment struct {
	region  string
	domains []string
	// service names the service with repeatable requests, and once the one
	// whose requests must not be repeated.
	service string
	once    string
	// memory is the memory of a worker in bytes, and rackSize the number of
	// workers in a rack.
	memory   int64
	rackSize int
	policy   modeler.Policy
	// flags returns the command-line flags of a worker; nil means a service
	// time of 5 ms.
	flags func(worker int) []string
	// cores returns the number of cores of a worker; nil means 32.
	cores func(worker int) int
	// drainDelay is how long a stopping entry host fails its readiness check
	// before it stops listening; 0 means 200 ms.
	drainDelay time.Duration
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

// process is one process of the system.
type process struct {
	t    testing.TB
	name string
	args []string
	// env is added to the environment of the test.
	env  []string
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
	p.cmd.Env = append(os.Environ(), p.env...)
	assert.NilError(p.t, p.cmd.Start())
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(p.cmd, p.done)
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// suspend stops the process and returns when all its threads have stopped.
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

// kill ends the process with SIGKILL, as in a crash.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	p.done <- nil
}

// wait waits for the process to exit by itself and returns its error.
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
	t                testing.TB
	shape            deployment
	folder           string
	controls         []*process
	controlAddresses []string
	// controlHTTP holds the addresses at which the control processes serve
	// metrics.
	controlHTTP     []string
	entries         []*process
	entryAddresses  []string
	workers         []*process
	workerAddresses []string
	client          *http.Client
	ticket          modeler.TicketNumber
}

// freeAddresses returns n loopback addresses that no process listens on. Each call
// picks a random host in 127/8, because on 127.0.0.1 an outgoing connection could
// take a port before the process listens there.
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

// newSystem starts the processes, applies the first ticket, and waits until every
// entry host is ready and all workers are known.
func newSystem(t testing.TB, shape deployment, controls, entries, workers int) *system {
	t.Helper()
	s := &system{
		t:      t,
		shape:  shape,
		folder: t.TempDir(),
		client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	addresses := freeAddresses(t, controls+entries+workers)
	s.controlAddresses, addresses = addresses[:controls], addresses[controls:]
	s.entryAddresses, s.workerAddresses = addresses[:entries], addresses[entries:]
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
		s.await(startTimeout, "entry host serves", func() error { return s.check(s.entryAddresses[i], "/readyz") })
	}
	s.await(startTimeout, "workers are announced", func() error {
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

// stop kills every process. If the test has failed, it logs the last lines of
// their output.
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

// writeJSON writes a JSON file in the test's folder and returns its path.
func (s *system) writeJSON(name string, content any) string {
	data, err := json.MarshalIndent(content, "", "  ")
	assert.NilError(s.t, err)
	path := filepath.Join(s.folder, name)
	assert.NilError(s.t, os.WriteFile(path, data, 0o600))
	return path
}

// section is one object of a settings file or a request body.
type section map[string]any

// controlSettings writes the settings file of an initial control process and
// returns its path.
func (s *system) controlSettings(i int) string {
	var members []section
	for j, address := range s.controlAddresses {
		members = append(members, section{"id": j + 1, "address": address})
	}
	return s.writeControlSettings(i+1, s.controlAddresses[i], members, false)
}

// writeControlSettings writes the settings file of a control process, which joins
// an existing group if join is set, and returns its path.
func (s *system) writeControlSettings(member int, address string, members []section, join bool) string {
	name := fmt.Sprintf("control-%d", member)
	s.controlHTTP = append(s.controlHTTP, freeAddresses(s.t, 1)[0])
	return s.writeJSON(name+".json", section{
		"host": name, "region": s.shape.region, "domain": s.shape.domains[member%len(s.shape.domains)],
		"control": section{
			"member": member, "listen": address, "advertise": address,
			"http": s.controlHTTP[len(s.controlHTTP)-1], "members": members, "folder": filepath.Join(s.folder, name), "join": join,
		},
	})
}

// entrySettings writes the settings file of an entry process and returns its path.
func (s *system) entrySettings(i int) string {
	name := fmt.Sprintf("entry-%d", i+1)
	drainDelay := 200 * time.Millisecond
	if s.shape.drainDelay > 0 {
		drainDelay = s.shape.drainDelay
	}
	return s.writeJSON(name+".json", section{
		"host": name, "region": s.shape.region, "domain": s.shape.domains[i%len(s.shape.domains)],
		"entry": section{"name": name, "listen": s.entryAddresses[i], "controls": s.controlAddresses, "delay": drainDelay.String(), "grace": "20s"},
	})
}

// workerSettings writes the settings file of a worker and returns its path.
func (s *system) workerSettings(i int) string {
	name := fmt.Sprintf("worker-%d", i+1)
	cores := 32
	if s.shape.cores != nil {
		cores = s.shape.cores(i)
	}
	return s.writeJSON(name+".json", section{
		"host": name, "region": s.shape.region, "domain": s.shape.domains[i%len(s.shape.domains)],
		"worker": section{
			"name": name, "listen": s.workerAddresses[i], "advertise": s.workerAddresses[i], "entries": s.entryAddresses,
			"rack": fmt.Sprintf("rack-%d", i/s.shape.rackSize), "services": []string{s.shape.service, s.shape.once},
			"slots": 8, "connections": 64, "idle": "1s",
			"capacity": section{"processors": cores * 1000, "memory": s.shape.memory, "accelerators": 0},
		},
	})
}

// firstTicket returns the ticket that sets up the deployment's team and services.
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

// apply gives the ticket the next number and applies it through one of the entry
// hosts.
func (s *system) apply(t *modeler.Ticket) {
	s.t.Helper()
	s.ticket++
	t.Number = s.ticket
	s.await(startTimeout, "ticket is accepted", func() error {
		status, body, err := s.post(s.entryAddresses[int(t.Number)%len(s.entryAddresses)], "/v1/tickets", "", t)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, body)
		}
		return err
	})
}

// post sends the content as JSON, with the idempotency key if there is one. It
// returns the status and the body of the answer.
func (s *system) post(entryAddress, path, key string, content any) (int, string, error) {
	data, err := json.Marshal(content)
	if err != nil {
		return 0, "", err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+entryAddress+path, bytes.NewReader(data))
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

// check returns an error unless the path answers with status 200.
func (s *system) check(entryAddress, path string) error {
	answer, err := s.client.Get("http://" + entryAddress + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}

// get fetches a JSON document and decodes it.
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

// status returns the status from the first entry host that answers.
func (s *system) status() modeler.Status {
	s.t.Helper()
	var status modeler.Status
	s.await(startTimeout, "status is answered", func() error {
		var err error
		for _, entryAddress := range s.entryAddresses {
			status = modeler.Status{}
			if err = s.get(entryAddress, "/v1/status", &status); err == nil {
				return nil
			}
		}
		return err
	})
	return status
}

// await repeats a check until it returns nil; it fails the test after the timeout.
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
	for _, workerAddress := range s.workerAddresses {
		var log worker.Log
		assert.NilError(s.t, s.get(workerAddress, "/runs", &log))
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
