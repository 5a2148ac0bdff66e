package worker_test

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
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// idleListener is a listener to which nobody connects.
type idleListener struct {
	closed chan struct{}
	once   sync.Once
}

func (l *idleListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *idleListener) Close() error              { l.once.Do(func() { close(l.closed) }); return nil }
func (l *idleListener) Addr() net.Addr            { return &net.TCPAddr{} }

// sendOrder sends the worker an order for task j with a lease that ends after until.
// It returns the status and the report in the answer.
func sendOrder(w *worker.Worker, verb modeler.TaskVerb, attempt modeler.Attempt, until time.Duration, command string) (int, modeler.TaskReport) {
	body, _ := json.Marshal(modeler.TaskOrder{
		Verb:       verb,
		Generation: w.Generation(),
		Lease:      modeler.TaskLease{Task: modeler.TaskID{Job: "j"}, Attempt: attempt, Until: w.Clock().Add(until)},
		Size:       modeler.Resources{Processors: 64000, Memory: 1 << 40},
		Command:    command,
	})
	recorder := httptest.NewRecorder()
	w.Handler().ServeHTTP(recorder, httptest.NewRequest("POST", "/tasks", bytes.NewReader(body)))
	var report modeler.TaskReport
	json.Unmarshal(recorder.Body.Bytes(), &report)
	return recorder.Code, report
}

// Guards against a stand-in that violates the assumptions on task leases (A1, A2).
// Tests that use it could then miss a task that runs in two places, or report one
// that doesn't.
func TestTaskLeases(t *testing.T) {
	const lease = 5 * time.Second
	for _, c := range []struct {
		name    string
		command string
		faults  worker.Faults
		renewed time.Duration // time after the start until which heartbeats renew the lease
		orders  func(t *testing.T, w *worker.Worker)
		state   modeler.TaskState
		ran     time.Duration
		runs    int
	}{
		{name: "done", command: "runtime=2s", state: modeler.TaskDone, ran: 2 * time.Second, runs: 1},
		{name: "failed", command: "runtime=2s exit=fail", state: modeler.TaskFailed, ran: 2 * time.Second, runs: 1},
		{name: "worker fails everything", faults: worker.Faults{Tasks: worker.FaultFail}, state: modeler.TaskFailed, ran: time.Millisecond, runs: 1},
		{name: "lease runs out", state: modeler.TaskStopped, ran: lease, runs: 1},
		{name: "lease renewed", renewed: 20 * time.Second, state: modeler.TaskStopped, ran: 25 * time.Second, runs: 1},
		{name: "renewed until done", command: "runtime=12s", renewed: time.Minute, state: modeler.TaskDone, ran: 12 * time.Second, runs: 1},
		{name: "repeated", command: "runtime=3s", state: modeler.TaskDone, ran: 3 * time.Second, runs: 1, orders: func(t *testing.T, w *worker.Worker) {
			for range 3 {
				time.Sleep(2 * time.Second)
				code, _ := sendOrder(w, modeler.StartTask, 1, time.Hour, "runtime=3s")
				assert.Equal(t, code, http.StatusOK)
			}
		}},
		{name: "stopped", state: modeler.TaskStopped, ran: time.Second, runs: 1, orders: func(t *testing.T, w *worker.Worker) {
			time.Sleep(time.Second)
			_, report := sendOrder(w, modeler.StopTask, 1, 0, "")
			assert.Equal(t, report.State, modeler.TaskStopped)
		}},
		{name: "checkpointed", state: modeler.TaskCheckpointed, ran: time.Second, runs: 1, orders: func(t *testing.T, w *worker.Worker) {
			time.Sleep(time.Second)
			sendOrder(w, modeler.CheckpointTask, 1, 0, "")
		}},
		{name: "throttled", command: "runtime=2s usage=1.5", state: modeler.TaskDone, ran: 2 * time.Second, runs: 1, orders: func(t *testing.T, w *worker.Worker) {
			assert.Equal(t, w.Heartbeat().Tasks[0].Usage.Processors, modeler.Millicores(96000))
			_, report := sendOrder(w, modeler.ThrottleTask, 1, 0, "")
			assert.Equal(t, report.State, modeler.TaskThrottled)
			assert.Equal(t, report.Usage.Processors, modeler.Millicores(48000))
		}},
		{name: "start after the lease", command: "runtime=1s", state: modeler.TaskDone, ran: time.Second, runs: 1, orders: func(t *testing.T, w *worker.Worker) {
			code, _ := sendOrder(w, modeler.StartTask, 2, -time.Nanosecond, "")
			assert.Equal(t, code, http.StatusGone)
			code, _ = sendOrder(w, modeler.StopTask, 2, 0, "")
			assert.Equal(t, code, http.StatusNotFound)
		}},
		{name: "two attempts are both run", command: "runtime=1s", state: modeler.TaskDone, ran: time.Second, runs: 2, orders: func(t *testing.T, w *worker.Worker) {
			sendOrder(w, modeler.StartTask, 2, lease, "runtime=2s")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var w *worker.Worker
				ctx, cancel := context.WithCancel(t.Context())
				begin := time.Now()
				w = worker.New(worker.Settings{
					ID: "w1", Entries: []string{"entry"}, Faults: c.faults,
					Bind: func(string) (net.Listener, error) { return &idleListener{closed: make(chan struct{})}, nil },
					Announce: func(_ context.Context, _ string, heartbeat modeler.Heartbeat) (modeler.HeartbeatAnswer, error) {
						var answer modeler.HeartbeatAnswer
						if time.Since(begin) <= c.renewed {
							answer.Leases = []modeler.TaskLease{
								{Task: modeler.TaskID{Job: "j"}, Attempt: 1, Until: heartbeat.Clock.Add(lease)},
								{Task: modeler.TaskID{Job: "j"}, Attempt: 1, Until: heartbeat.Clock.Add(1)}, // an older, shorter lease
							}
						}
						return answer, nil
					},
				})
				ended := make(chan error)
				go func() { ended <- w.Run(ctx) }()
				synctest.Wait()
				code, report := sendOrder(w, modeler.StartTask, 1, lease, c.command)
				assert.Equal(t, code, http.StatusOK)
				assert.Equal(t, report.State, modeler.TaskRunning)
				if c.orders != nil {
					c.orders(t, w)
				}
				time.Sleep(50 * time.Second)
				for _, one := range w.Heartbeat().Tasks {
					assert.Assert(t, one.Attempt != 1 || one.State == c.state, "%+v", one)
				}
				runs := w.Log().Runs
				assert.Equal(t, len(runs), c.runs)
				assert.Equal(t, runs[0].End.Sub(runs[0].Start), c.ran)
				cancel()
				assert.NilError(t, <-ended)
			})
		})
	}
}

// Guards against a worker that carries out orders for an earlier generation, and
// against a caller's request whose path is taken for an order.
func TestOrdersAreFenced(t *testing.T) {
	w := worker.New(worker.Settings{Services: []modeler.ServiceName{"narudzbe"}})
	body := fmt.Sprintf(`{"verb":"start","generation":%d,"lease":{"until":9000000000000000000}}`, w.Generation()-1)
	for path, want := range map[string]int{
		"/tasks":                                  http.StatusConflict,
		"/v1/services/narudzbe/../../../tasks":    http.StatusOK,
		"/v1/services/narudzbe//tasks":            http.StatusOK,
		"/v1/services/breakfast-register/sign-in": http.StatusNotFound,
		"/v1/services":                            http.StatusNotFound,
	} {
		recorder := httptest.NewRecorder()
		w.Handler().ServeHTTP(recorder, httptest.NewRequest("POST", path, bytes.NewReader([]byte(body))))
		assert.Equal(t, recorder.Code, want, path)
	}
	assert.Equal(t, len(w.Heartbeat().Tasks), 0)
}

// Guards against a worker that isn't announced although one entry host works and
// the others fail, against two starts with the same generation, and against a
// worker that leaves before its request is finished or without a final heartbeat.
func TestAnnounceAndLeave(t *testing.T) {
	heartbeats := make(chan modeler.Heartbeat, 1000)
	entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var heartbeat modeler.Heartbeat
		if r.URL.Path == "/v1/workers" && json.NewDecoder(r.Body).Decode(&heartbeat) == nil {
			heartbeats <- heartbeat
		}
	}))
	defer entry.Close()
	broken := httptest.NewServer(http.NotFoundHandler())
	defer broken.Close()

	address := make(chan string, 1)
	settings := worker.Settings{
		ID: "w1", Entries: []string{"127.0.0.1:1", broken.Listener.Addr().String(), entry.Listener.Addr().String()},
		Services: []modeler.ServiceName{"breakfast-register"}, Slots: 8, Connections: 64,
		ServiceTime: 300 * time.Millisecond, LeaveDelay: 50 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
		Listening: func(a string) { address <- a },
	}
	w := worker.New(settings)
	assert.Assert(t, worker.New(settings).Generation() > w.Generation())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(t.Context()) }()
	first := <-heartbeats
	assert.Equal(t, first.Address, <-address)
	assert.Equal(t, first.Generation, w.Generation())
	assert.Equal(t, first.IdleTimeout, modeler.Duration(time.Second))
	assert.Assert(t, first.Slots == 8 && first.Connections == 64 && !first.Leaving)

	answered := make(chan error, 1)
	go func() {
		answer, err := http.Get("http://" + first.Address + "/v1/services/breakfast-register/sign-ins")
		if err == nil {
			_, err = io.ReadAll(answer.Body)
		}
		answered <- err
	}()
	for (<-heartbeats).Active == 0 {
	}
	code, _ := sendOrder(w, modeler.StartTask, 1, time.Hour, "")
	assert.Equal(t, code, http.StatusOK)
	w.Leave()
	assert.NilError(t, <-answered)
	assert.NilError(t, <-ended)
	_, err := net.Dial("tcp", first.Address)
	assert.Assert(t, err != nil)
	var last modeler.Heartbeat
	reportedActive := false
	for len(heartbeats) > 0 {
		last = <-heartbeats
		reportedActive = reportedActive || last.Leaving && last.Active == 1
	}
	assert.Assert(t, reportedActive, "no report of the request in flight while leaving")
	assert.Assert(t, last.Leaving && last.Active == 0, "%+v", last)
	assert.Equal(t, last.Tasks[0].State, modeler.TaskStopped)
}

// Guards against a worker that isn't announced at once, but only after a heartbeat
// interval.
func TestFirstHeartbeatIsSentAtOnce(t *testing.T) {
	heartbeats := make(chan struct{}, 1000)
	entry := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { heartbeats <- struct{}{} }))
	defer entry.Close()
	broken := httptest.NewServer(http.NotFoundHandler())
	defer broken.Close()
	w := worker.New(worker.Settings{
		ID: "w1", Entries: []string{"127.0.0.1:1", broken.Listener.Addr().String(), entry.Listener.Addr().String()},
		Services: []modeler.ServiceName{"breakfast-register"}, LeaveDelay: time.Millisecond, HeartbeatInterval: time.Hour,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	select {
	case <-heartbeats:
	case <-time.After(30 * time.Second):
		t.Error("no heartbeat within 30 s")
	}
	cancel()
	assert.NilError(t, <-ended)
}

// Guards against connections that stay open beyond the announced idle timeout
// (A3), and against requests that stay active after their connection was closed
// (A4).
func TestConnectionTimeouts(t *testing.T) {
	const idle = time.Second
	address := make(chan string, 1)
	w := worker.New(worker.Settings{
		Services: []modeler.ServiceName{"narudzbe"}, IdleTimeout: idle, LeaveDelay: time.Millisecond,
		Listening: func(a string) { address <- a },
	})
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { ended <- w.Run(ctx) }()
	at := <-address
	whole := "GET /v1/services/narudzbe/x HTTP/1.1\r\nHost: w\r\n\r\n"
	for _, c := range []struct {
		sent   string
		answer bool
	}{{"", false}, {"GET /v1", false}, {whole, true}, {whole + "GET /v1", true}} {
		conn, err := net.Dial("tcp", at)
		assert.NilError(t, err)
		begin := time.Now()
		io.WriteString(conn, c.sent)
		conn.SetReadDeadline(begin.Add(5 * time.Second))
		text, err := io.ReadAll(conn)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%q: %v", c.sent, err)
		took := time.Since(begin)
		assert.Assert(t, took >= idle*9/10 && took < 4*idle, "%q was closed after %v", c.sent, took)
		assert.Equal(t, bytes.HasPrefix(text, []byte("HTTP/1.1 200")), c.answer, "%q", text)
		conn.Close()
	}
	conn, err := net.Dial("tcp", at)
	assert.NilError(t, err)
	io.WriteString(conn, "GET /v1/services/narudzbe/x HTTP/1.1\r\nHost: w\r\n"+worker.FaultHeader+": silent\r\n\r\n")
	for now := 0; now == 0; now, _ = w.Active() {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	begin := time.Now()
	for now := 1; now > 0; now, _ = w.Active() {
		assert.Assert(t, time.Since(begin) < time.Second)
		time.Sleep(time.Millisecond)
	}
	cancel()
	assert.NilError(t, <-ended)
}

// Guards against a stand-in that doesn't answer a request on a connection on which
// it has answered an earlier request late.
func TestConnectionServesAfterLateAnswer(t *testing.T) {
	w := worker.New(worker.Settings{ID: "w1", Services: []modeler.ServiceName{"proof"}, IdleTimeout: 100 * time.Millisecond})
	server := httptest.NewServer(w.Handler())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for _, fault := range []worker.Fault{worker.FaultLate, ""} {
		_, err := fmt.Fprintf(conn, "POST /v1/services/proof/x HTTP/1.1\r\nHost: w1\r\nContent-Length: 0\r\n%s: %s\r\n%s: 1ms\r\n\r\n",
			worker.FaultHeader, fault, worker.DelayHeader)
		assert.NilError(t, err)
		answer, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		assert.Equal(t, answer.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, answer.Body)
		assert.NilError(t, err)
	}
}

// Guards against a request that still counts as active when its caller has seen
// its end, by the answer or by the close of the connection. The caller's next
// request would then count as a second active one.
func TestEndedRequestIsNotActive(t *testing.T) {
	for _, fault := range []worker.Fault{worker.FaultNone, worker.FaultClose, worker.FaultCut} {
		address := make(chan string, 1)
		w := worker.New(worker.Settings{
			ID: "w1", Services: []modeler.ServiceName{"narudzbe"},
			Faults:    worker.Faults{Requests: fault},
			Listening: func(a string) { address <- a },
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		url := "http://" + <-address + "/v1/services/narudzbe/die"
		for range 2000 {
			if answer, err := http.Post(url, "text/plain", nil); err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				answer.Body.Close()
			}
		}
		_, peak := w.Active()
		assert.Equal(t, peak, 1, "fault %q", fault)
		cancel()
		assert.NilError(t, <-ended)
	}
}
