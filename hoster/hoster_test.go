package hoster_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	// startTimeout bounds the time until a group of one member serves requests:
	// an election and the links to the leader.
	startTimeout = 5 * time.Second
	// probeInterval is the time between two readiness probes of a host, from the
	// platform's pages. After two failed probes the host gets no new connections.
	probeInterval = time.Second
	// killDelay is the time from the request to stop to the kill, from the
	// platform's bounds.
	killDelay = 6 * time.Second
)

// logBuffer collects the log lines of a process.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (o *logBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lines.Write(p)
}

// count returns how often text occurs in the log.
func (o *logBuffer) count(text string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Count(o.lines.Bytes(), []byte(text))
}

// startLine returns the fields of the line that a control process logs at its
// start.
func (o *logBuffer) startLine() (line struct {
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

// ip returns the nth loopback address of this test process. Each host needs its
// own, since the port for metrics is fixed.
func ip(n int) string { return fmt.Sprintf("127.%d.7.%d", 10+os.Getpid()%200, n) }

// freePort returns a free port; the tests also use the two ports after it.
func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// loadNode writes a settings file and returns the settings read from it.
func loadNode(t *testing.T, n imitator.Node) *platform.Node {
	n.MaxLease, n.MaxStopTime = 6*time.Second, 400*time.Millisecond
	data, err := n.Encode()
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), n.Name+".json")
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	t.Setenv(imitator.NodeVariable, file)
	node, err := platform.LoadNode()
	assert.NilError(t, err)
	return node
}

// startProcess runs an entry or control process. The returned function stops it
// and waits for its end; it also runs at the end of the test.
func startProcess(t *testing.T, n imitator.Node) (*logBuffer, func()) {
	node := loadNode(t, n)
	out := &logBuffer{}
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
		ended <- hoster.RunControl(ctx, node, report, hoster.ControlOptions{})
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-ended)
	})
	t.Cleanup(stop)
	return out, stop
}

// getStatus returns the status of a GET request over a new connection, or 0 if
// there is no answer.
func getStatus(address, path string) int {
	client := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// offerLayout sends a layout to a control process and reports whether it accepted
// it.
func offerLayout(t *testing.T, control, layout string) bool {
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

// Guards against a process that starts as the wrong member: one that starts a
// second group, loses its stored id, or reuses the id of a member that lost its
// disk and with it its votes.
func TestWhichMemberStarts(t *testing.T) {
	port := freePort(t)
	address := imitator.PortAddress(ip(1), port, 1)
	folder := filepath.Join(t.TempDir(), "data")
	startMember := func(n imitator.Node) (uint64, bool) {
		t.Helper()
		out, stop := startProcess(t, n)
		defer stop()
		assert.Assert(t, eventually(startTimeout, func() bool {
			_, found := out.startLine()
			return found
		}))
		line, _ := out.startLine()
		return line.Member, line.Bootstrap
	}
	firstNode := imitator.Node{Name: "c1", IP: ip(1), Port: port, Seeds: []string{address}, Bootstrap: true, DataFolder: folder}
	first, bootstrap := startMember(firstNode)
	assert.Assert(t, bootstrap)

	// A host that is killed in its first second is told again that the system is
	// new.
	again, bootstrap := startMember(firstNode)
	assert.Equal(t, again, first)
	assert.Assert(t, bootstrap)

	firstNode.Bootstrap = false
	again, bootstrap = startMember(firstNode)
	assert.Equal(t, again, first)
	assert.Assert(t, !bootstrap)

	firstNode.DataFolder = filepath.Join(t.TempDir(), "empty")
	again, bootstrap = startMember(firstNode)
	assert.Assert(t, again != first, "a member without its disk has its former id")
	assert.Assert(t, !bootstrap)

	other := imitator.Node{Name: "c2", IP: ip(2), Port: port, Seeds: []string{address}, Bootstrap: true, DataFolder: filepath.Join(t.TempDir(), "data")}
	_, bootstrap = startMember(other)
	assert.Assert(t, !bootstrap, "a host that is no seed begins a group")
}

// TestAdmissionRequestsAreLoggedOnce guards against a host that is not admitted
// and fills its log with the same line, three times a second.
func TestAdmissionRequestsAreLoggedOnce(t *testing.T) {
	port := freePort(t)
	out, _ := startProcess(t, imitator.Node{Name: "c1", IP: ip(6), Port: port, Seeds: []string{imitator.PortAddress(ip(7), port, 1)}, DataFolder: filepath.Join(t.TempDir(), "data")})
	assert.Assert(t, eventually(startTimeout, func() bool { return out.count("admission asked") > 0 }), "the host does not ask")
	time.Sleep(2 * time.Second)
	assert.Equal(t, out.count("admission asked"), 1)
}

// Guards against requests that are cut off when an entry host is stopped: its
// readiness must fail at once, and it must serve until two probes have failed.
func TestStopOfEntryHost(t *testing.T) {
	port := freePort(t)
	seeds := []string{imitator.PortAddress(ip(3), port, 1)}
	startProcess(t, imitator.Node{Name: "c1", IP: ip(3), Port: port, Seeds: seeds, Bootstrap: true, DataFolder: filepath.Join(t.TempDir(), "data")})
	_, stop := startProcess(t, imitator.Node{Name: "e1", IP: ip(4), Port: port, Seeds: seeds, Entry: true})
	callers, readiness := imitator.PortAddress(ip(4), port, 1), imitator.PortAddress(ip(4), port, 2)
	assert.Assert(t, eventually(startTimeout, func() bool { return getStatus(readiness, imitator.ReadyPath) == http.StatusOK }), "never ready")
	assert.Assert(t, eventually(startTimeout, func() bool { return offerLayout(t, seeds[0], imitator.Layout(1, "q", "/q/")) }), "no layout in force")
	isServed := func() bool { return getStatus(callers, "/none/0123456789abcdef") == http.StatusNotFound }
	assert.Assert(t, isServed(), "no answer about a queue that does not exist")

	stopTime := time.Now()
	ended := make(chan struct{})
	go func() {
		stop()
		close(ended)
	}()
	assert.Assert(t, eventually(probeInterval/4, func() bool { return getStatus(readiness, imitator.ReadyPath) == http.StatusServiceUnavailable }), "still ready")
	client := http.Client{Timeout: probeInterval}
	answer, err := client.Get("http://" + callers + "/none/0123456789abcdef")
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Assert(t, answer.Close, "the caller keeps a connection to a stopping host")
	for time.Since(stopTime) < 2*probeInterval {
		assert.Assert(t, isServed(), "not served %s after the order to stop", time.Since(stopTime))
		time.Sleep(probeInterval / 10)
	}
	<-ended
	assert.Assert(t, time.Since(stopTime) < killDelay, "ended after %s", time.Since(stopTime))
}

// Guards against a process whose servers stop one after the other, so that one of
// them still accepts requests when the time for all of them is over, and the end of
// the process cuts these off.
func TestServersStopTogether(t *testing.T) {
	const hosts, metricsPort = 24, "9464"
	port := freePort(t)
	var ended sync.WaitGroup
	for n := range hosts {
		_, stop := startProcess(t, imitator.Node{Name: fmt.Sprint("e", n), IP: ip(10 + n), Port: port, Seeds: []string{imitator.PortAddress(ip(3), port, 1)}, Entry: true})
		var busy net.Conn
		assert.Assert(t, eventually(startTimeout, func() bool {
			conn, err := net.Dial("tcp", net.JoinHostPort(ip(10+n), metricsPort))
			busy = conn
			return err == nil
		}))
		defer busy.Close()
		// The server waits for the rest of the request.
		_, err := busy.Write([]byte("GET /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"))
		assert.NilError(t, err)
		ended.Go(stop)
	}
	defer ended.Wait()
	time.Sleep(3 * probeInterval)
	for n := range hosts {
		conn, err := net.Dial("tcp", imitator.PortAddress(ip(10+n), port, 1))
		if err == nil {
			_ = conn.Close()
		}
		assert.Check(t, err != nil, "host %d still accepts requests", n)
	}
}

// Guards against a stopping process that cuts off a request whose head is still
// arriving on an open connection.
func TestShutdownServesRequestOnOpenConnection(t *testing.T) {
	port := freePort(t)
	address := imitator.PortAddress(ip(8), port, 1)
	out, stop := startProcess(t, imitator.Node{Name: "c1", IP: ip(8), Port: port, Seeds: []string{address}, Bootstrap: true, DataFolder: filepath.Join(t.TempDir(), "data")})
	assert.Assert(t, eventually(startTimeout, func() bool { return getStatus(address, "/") != 0 }), "never serves")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(killDelay)))
	reader := bufio.NewReader(conn)
	const firstPart, rest = "GET / HTTP/1.1\r\n", "Host: c1\r\n\r\n"
	expectAnswer := func() {
		t.Helper()
		answer, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		assert.NilError(t, err)
	}
	_, err = io.WriteString(conn, firstPart+rest)
	assert.NilError(t, err)
	expectAnswer()
	_, err = io.WriteString(conn, firstPart)
	assert.NilError(t, err)
	go stop()
	assert.Assert(t, eventually(startTimeout, func() bool { return out.count("process stops") > 0 }), "does not stop")
	// Meanwhile a process that doesn't wait for the rest closes the connection.
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(conn, rest)
	assert.NilError(t, err)
	expectAnswer()
}

// Guards against a control process that goes on without its member of the group
// after that has failed. The group has a member less for good then, since the
// platform restarts only processes that have ended.
func TestProcessEndsWithItsMember(t *testing.T) {
	port := freePort(t)
	taken, err := net.Listen("tcp", imitator.PortAddress(ip(6), port, 0))
	assert.NilError(t, err)
	defer taken.Close()
	node := loadNode(t, imitator.Node{Name: "c1", IP: ip(6), Port: port, Seeds: []string{imitator.PortAddress(ip(6), port, 1)}, Bootstrap: true, DataFolder: filepath.Join(t.TempDir(), "data")})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- hoster.RunControl(ctx, node, reporter.New(reporter.Options{Role: "control", Name: "c1", Out: io.Discard}), hoster.ControlOptions{})
	}()
	select {
	case err := <-ended:
		assert.ErrorContains(t, err, "address already in use")
	case <-time.After(killDelay):
		t.Fatal("the process still runs")
	}
}

// Guards against a control process that runs out of file descriptors because
// others keep unused connections open to it, and then can neither answer nor
// write its log.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	// 200 descriptors are reserved by the platform; half of the rest are for
	// accepted connections.
	const files, maxConns, opened = 280, 40, 60
	port := freePort(t)
	control := imitator.PortAddress(ip(5), port, 1)
	out, _ := startProcess(t, imitator.Node{Name: "c1", IP: ip(5), Port: port, Seeds: []string{control}, Bootstrap: true, DataFolder: filepath.Join(t.TempDir(), "data"), MaxFiles: files})
	assert.Assert(t, eventually(startTimeout, func() bool { return offerLayout(t, control, imitator.Layout(1, "q", "/q/")) }), "no layout in force")
	var conns []net.Conn
	for range opened {
		conn, err := net.Dial("tcp", control)
		assert.NilError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	countClosed := func() int {
		n := 0
		for _, conn := range conns {
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
			if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				n++
			}
		}
		return n
	}
	assert.Assert(t, eventually(startTimeout, func() bool { return countClosed() >= opened-maxConns }), "%d of %d connections were closed", countClosed(), opened)
	assert.Assert(t, eventually(startTimeout, func() bool { return offerLayout(t, control, imitator.Layout(2, "q", "/q/")) }), "nothing is accepted any more")
	assert.Assert(t, eventually(startTimeout, func() bool { return out.count("connections reach their bound") == 1 }), "the bound was logged %d times", out.count("connections reach their bound"))
}
