package hoster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/hoster"
	"goldcreststack.example/goldcreststack/platform"
	"goldcreststack.example/goldcreststack/platform/imitator"
	"goldcreststack.example/goldcreststack/reporter"
)

const (
	// startWithin bounds the time until a group of one serves: an election and
	// the links to it.
	startWithin = 5 * time.Second
	// probe is the time between two probes of a host, of which two must fail
	// before it gets no new connections, from the platform's pages.
	probe = time.Second
	// grace is the time from the order to stop to the kill, from the platform's
	// bounds.
	grace = 6 * time.Second
)

// output collects the lines of a process.
type output struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lines.Write(p)
}

// count returns how often the process has written a text.
func (o *output) count(text string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Count(o.lines.Bytes(), []byte(text))
}

// beginning returns the line that a control process writes first.
func (o *output) beginning() (line struct {
	Message   string `json:"message"`
	Member    uint64 `json:"member"`
	Bootstrap bool   `json:"bootstrap"`
}, found bool,
) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, data := range bytes.Split(o.lines.Bytes(), []byte("\n")) {
		if json.Unmarshal(data, &line) == nil && line.Message == "control process starts" {
			return line, true
		}
	}
	return line, false
}

// ip returns a loopback address of its own, since the port of metrics is fixed.
func ip(n int) string { return fmt.Sprintf("127.%d.7.%d", 10+os.Getpid()%200, n) }

// freePort returns a port that is free with the two behind it.
func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// start runs a process until the returned function is called, which waits for
// its end.
func start(t *testing.T, n imitator.Node) (*output, func()) {
	n.Lease, n.Stop = 6*time.Second, 400*time.Millisecond
	data, err := n.File()
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), n.Name+".json")
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	t.Setenv(imitator.NodeVariable, file)
	node, err := platform.LoadNode()
	assert.NilError(t, err)
	out := &output{}
	role := "control"
	if n.Entry {
		role = "entry"
	}
	report := reporter.New(reporter.Options{Role: role, Name: n.Name, Out: out})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		if n.Entry {
			ended <- hoster.RunEntry(ctx, node, report)
			return
		}
		ended <- hoster.RunControl(ctx, node, report, "")
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-ended)
	})
	t.Cleanup(stop)
	return out, stop
}

// status asks an address over a connection of its own; 0 means no answer.
func status(address, path string) int {
	client := http.Client{Timeout: probe, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// offer puts a layout in force.
func offer(t *testing.T, control, layout string) bool {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+control+imitator.LayoutPath, strings.NewReader(layout))
	assert.NilError(t, err)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func eventually(within time.Duration, check func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return false
}

// Guards against a process that starts as the wrong member: a second group
// beside the first one, a forgotten identity, or the id of a member whose disk
// and votes are lost.
func TestWhichMemberStarts(t *testing.T) {
	port := freePort(t)
	address := imitator.Beside(ip(1), port, 1)
	folder := filepath.Join(t.TempDir(), "data")
	begin := func(n imitator.Node) (uint64, bool) {
		t.Helper()
		out, stop := start(t, n)
		defer stop()
		assert.Assert(t, eventually(startWithin, func() bool {
			_, found := out.beginning()
			return found
		}))
		line, _ := out.beginning()
		return line.Member, line.Bootstrap
	}
	founder := imitator.Node{Name: "c1", IP: ip(1), Port: port, Seeds: []string{address}, First: true, Folder: folder}
	first, bootstrap := begin(founder)
	assert.Assert(t, bootstrap)

	// Killed in its first second, it is told again that the system is new.
	again, bootstrap := begin(founder)
	assert.Equal(t, again, first)
	assert.Assert(t, bootstrap)

	founder.First = false
	again, bootstrap = begin(founder)
	assert.Equal(t, again, first)
	assert.Assert(t, !bootstrap)

	founder.Folder = filepath.Join(t.TempDir(), "empty")
	again, bootstrap = begin(founder)
	assert.Assert(t, again != first, "a member without its disk has its former id")
	assert.Assert(t, !bootstrap)

	other := imitator.Node{Name: "c2", IP: ip(2), Port: port, Seeds: []string{address}, First: true, Folder: filepath.Join(t.TempDir(), "data")}
	_, bootstrap = begin(other)
	assert.Assert(t, !bootstrap, "a host that is no seed begins a group")
}

// Guards against requests that are cut off when an entry host stops in order:
// it says at once that it is not ready, and serves until two probes have told.
func TestStopOfEntryHost(t *testing.T) {
	port := freePort(t)
	seeds := []string{imitator.Beside(ip(3), port, 1)}
	start(t, imitator.Node{Name: "c1", IP: ip(3), Port: port, Seeds: seeds, First: true, Folder: filepath.Join(t.TempDir(), "data")})
	_, stop := start(t, imitator.Node{Name: "e1", IP: ip(4), Port: port, Seeds: seeds, Entry: true})
	callers, readiness := imitator.Beside(ip(4), port, 1), imitator.Beside(ip(4), port, 2)
	assert.Assert(t, eventually(startWithin, func() bool { return status(readiness, imitator.ReadyPath) == http.StatusOK }), "never ready")
	assert.Assert(t, eventually(startWithin, func() bool { return offer(t, seeds[0], imitator.Layout(1, "q", "/q/")) }), "no layout in force")
	served := func() bool { return status(callers, "/none/0123456789abcdef") == http.StatusNotFound }
	assert.Assert(t, served(), "no answer about a queue that does not exist")

	begun := time.Now()
	ended := make(chan struct{})
	go func() {
		stop()
		close(ended)
	}()
	assert.Assert(t, eventually(probe/4, func() bool { return status(readiness, imitator.ReadyPath) == http.StatusServiceUnavailable }), "still ready")
	for time.Since(begun) < 2*probe {
		assert.Assert(t, served(), "not served %s after the order to stop", time.Since(begun))
		time.Sleep(probe / 10)
	}
	<-ended
	assert.Assert(t, time.Since(begun) < grace, "ended after %s", time.Since(begun))
}

// Guards against a control process that runs out of descriptors, and can neither
// answer nor write its log, because others keep connections open to it.
func TestUnusedConnectionsLeaveRoom(t *testing.T) {
	// 200 of them are not the process's, and half of the rest are for connections
	// to it.
	const files, most, opened = 280, 40, 60
	port := freePort(t)
	control := imitator.Beside(ip(5), port, 1)
	out, _ := start(t, imitator.Node{Name: "c1", IP: ip(5), Port: port, Seeds: []string{control}, First: true, Folder: filepath.Join(t.TempDir(), "data"), Files: files})
	assert.Assert(t, eventually(startWithin, func() bool { return offer(t, control, imitator.Layout(1, "q", "/q/")) }), "no layout in force")
	var kept []net.Conn
	for range opened {
		conn, err := net.Dial("tcp", control)
		assert.NilError(t, err)
		defer conn.Close()
		kept = append(kept, conn)
	}
	closed := func() int {
		n := 0
		for _, conn := range kept {
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
			if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				n++
			}
		}
		return n
	}
	assert.Assert(t, eventually(startWithin, func() bool { return closed() >= opened-most }), "%d of %d connections were closed", closed(), opened)
	assert.Assert(t, eventually(startWithin, func() bool { return offer(t, control, imitator.Layout(2, "q", "/q/")) }), "nothing is accepted any more")
	assert.Assert(t, eventually(startWithin, func() bool { return out.count("connections reach their bound") == 1 }), "the bound was told %d times", out.count("connections reach their bound"))
}
