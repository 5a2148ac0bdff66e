package forwarder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/forwarder"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/storer"
	"goldcreststack.example/goldcreststack/worker"
)

// cell is one entry process, a control process of a single member and stand-in
// workers, all within the test process.
type cell struct {
	t testing.TB
	// front is the address of the entry process.
	front string
	// path carries the links between the entry and the control process.
	path    *cuttableProxy
	entry   *forwarder.Forwarder
	workers []*worker.Worker
	client  *http.Client
	// stopControl stops the control process and waits for its end.
	stopControl func()
}

const (
	// The names of the two services that most tests use.
	proof        = "proof" // may be repeated
	cut          = "cut"   // must not be repeated
	requestLimit = time.Second
)

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func quietReport(role string) *reporter.Reporter {
	return reporter.New(reporter.Options{Role: role, Name: role, Out: io.Discard})
}

type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// newCell starts the processes, applies the services, and waits until all
// workers are known and the entry host is ready.
func newCell(t testing.TB, workers int, configure func(*worker.Settings), services ...modeler.Service) *cell {
	t.Helper()
	return newCellWithDial(t, nil, workers, configure, services...)
}

// newCellWithDial is newCell with a function that opens the connections to workers;
// nil means TCP.
func newCellWithDial(t testing.TB, dial dialFunc, workers int, configure func(*worker.Settings), services ...modeler.Service) *cell {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cell{t: t, client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(c.client.CloseIdleConnections)
	links, front := listen(t), listen(t)
	c.front = front.Addr().String()
	c.path = newCuttableProxy(t, links.Addr().String())
	c.stopControl = c.startControl(links)
	c.entry = forwarder.New(forwarder.Settings{
		Entry: "entry-1", Controls: []string{c.path.address()}, MaxBody: 8 << 20, MaxBuffered: 64 << 20, DrainDelay: time.Millisecond,
		DrainGrace: 200 * time.Millisecond, Report: quietReport("entry"), Listener: front, Dial: dial,
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.entry.Run(ctx)
	}()
	for i := range workers {
		c.startWorker(ctx, i, configure)
	}
	t.Cleanup(func() { cancel(); <-ended; c.stopControl() })
	c.apply(1, services)
	c.await("all workers lend slots", func() bool {
		status, text := c.get("/v1/status")
		var s modeler.Status
		return status == http.StatusOK && json.Unmarshal([]byte(text), &s) == nil && s.Workers.Known == workers
	})
	c.await("the entry host is ready", func() bool { status, _ := c.get("/readyz"); return status == http.StatusOK })
	return c
}

func (c *cell) startControl(links net.Listener) func() {
	settings := controller.Settings{
		Member: 1, Advertise: c.path.address(), Folder: c.t.TempDir(), Bootstrap: true, Report: quietReport("control"), Listener: links,
		Disk: unsyncedDisk(),
	}
	settings.First.Members = []modeler.Member{{ID: 1, Address: c.path.address()}}
	control, err := controller.New(settings)
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = control.Run(ctx)
	}()
	return func() { cancel(); <-ended }
}

// unsyncedDisk returns the file system without syncs, which take more than a second
// on a busy disk and delay every request that must not be repeated. The tests don't
// lose written data, since their process doesn't crash.
func unsyncedDisk() *storer.Disk {
	disk := storer.SystemDisk()
	withoutSync := func(open func(string) (storer.File, error)) func(string) (storer.File, error) {
		return func(path string) (storer.File, error) {
			file, err := open(path)
			file.Sync = func() error { return nil }
			return file, err
		}
	}
	disk.Create, disk.Open = withoutSync(disk.Create), withoutSync(disk.Open)
	disk.SyncFolder = func(string) error { return nil }
	return &disk
}

func (c *cell) startWorker(ctx context.Context, i int, configure func(*worker.Settings)) {
	listening := make(chan string, 1)
	settings := worker.Settings{
		ID: modeler.WorkerID(fmt.Sprintf("worker-%d", i+1)), Entries: []string{c.front}, Region: "zagreb", Domain: "zagreb-a",
		Rack: "rack-1", Services: []modeler.ServiceName{proof, cut}, Capacity: modeler.Resources{Processors: 32000, Memory: 1 << 36},
		HeartbeatInterval: 200 * time.Millisecond, MaxServiceTime: 3 * time.Second, LeaveDelay: time.Millisecond, GracePeriod: time.Millisecond,
		Listening: func(a string) { listening <- a },
	}
	if configure != nil {
		configure(&settings)
	}
	w := worker.New(settings)
	c.workers = append(c.workers, w)
	go func() { _ = w.Run(ctx) }()
	<-listening
}

// apply applies a ticket with the given services, or with proof and cut when
// there are none.
func (c *cell) apply(number modeler.TicketNumber, services []modeler.Service) {
	c.t.Helper()
	if len(services) == 0 {
		services = []modeler.Service{service(proof), service(cut)}
		services[1].AtMostOnce = true
	}
	ticket, err := json.Marshal(modeler.Ticket{Number: number, Services: services, Teams: []modeler.Team{{
		Name: "team", Weight: 1, Policy: modeler.Spread, Quota: modeler.Resources{Processors: 64_000, Memory: 1 << 38},
	}}})
	assert.NilError(c.t, err)
	c.await("the ticket is accepted", func() bool {
		answer, err := c.client.Post("http://"+c.front+"/v1/tickets", "application/json", bytes.NewReader(ticket))
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}

func service(name modeler.ServiceName) modeler.Service {
	return modeler.Service{
		Name: name, Region: "zagreb", Team: "team", Limit: modeler.Duration(requestLimit), Wait: modeler.Duration(10 * time.Second), Queue: 500,
	}
}

func (c *cell) await(what string, check func() bool) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); !check(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("not in time: %s", what)
		}
	}
}

func (c *cell) get(path string) (int, string) {
	answer, err := c.client.Get("http://" + c.front + path)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// call describes one request that a test sends.
type call struct {
	method  string // POST when empty
	service modeler.ServiceName
	path    string
	key     string
	header  http.Header
	body    io.Reader
	trailer http.Header
	ctx     context.Context
}

// reply is what the caller received; err is set when the answer is missing or
// incomplete.
type reply struct {
	status  int
	header  http.Header
	text    string
	trailer http.Header
	err     error
}

func (r reply) outcome() string { return r.header.Get("Goldcreststack-Outcome") }

func (r reply) kind() string {
	var body struct{ Kind string }
	_ = json.Unmarshal([]byte(r.text), &body)
	return body.Kind
}

func (c *cell) call(in call) reply {
	if in.ctx == nil {
		in.ctx = c.t.Context()
	}
	if in.method == "" {
		in.method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(in.ctx, in.method, "http://"+c.front+"/v1/services/"+string(in.service)+"/"+in.path, in.body)
	assert.NilError(c.t, err)
	for name, values := range in.header {
		request.Header[name] = values
	}
	if in.key != "" {
		request.Header.Set("Idempotency-Key", in.key)
	}
	request.Trailer = in.trailer
	answer, err := c.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, text: string(text), trailer: answer.Trailer, err: err}
}

// callPlain sends a request without a fault and checks that the answer belongs
// to it.
func (c *cell) callPlain(name modeler.ServiceName) error {
	key := newKey()
	r := c.call(call{service: name, path: "plain-" + key, key: key, body: strings.NewReader(key)})
	var echo worker.Echo
	if r.err != nil || r.status != http.StatusOK || json.Unmarshal([]byte(r.text), &echo) != nil ||
		string(echo.Key) != key || echo.Digest != worker.DigestOf([]byte(key)) {
		return fmt.Errorf("key %s: status %d %s %w", key, r.status, r.text, r.err)
	}
	return nil
}

// runs returns how often the workers have run a path, over all workers.
func (c *cell) runs(path string) int {
	count := 0
	for _, w := range c.workers {
		for _, run := range w.Log().Runs {
			if strings.HasSuffix(run.Path, "/"+path) {
				count++
			}
		}
	}
	return count
}

// areWorkersIdle reports whether no worker serves a request.
func (c *cell) areWorkersIdle() bool {
	for _, w := range c.workers {
		if active, _ := w.Active(); active > 0 {
			return false
		}
	}
	return true
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func fault(name worker.Fault, delay time.Duration, size int) http.Header {
	return http.Header{
		worker.FaultHeader: {string(name)}, worker.DelayHeader: {delay.String()}, worker.SizeHeader: {fmt.Sprint(size)},
	}
}
