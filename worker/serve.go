package worker

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcreststack.example/goldcreststack/modeler"
)

// servicePrefix is the path prefix of callers' requests. Since task orders have
// paths outside it, no path that a caller requests is taken for an order.
const servicePrefix = "/v1/services/"

// Echo is the body of the answer to a request. It describes the request and the
// worker, so that a test can tell which request and which worker it belongs to.
type Echo struct {
	Worker     modeler.WorkerID    `json:"worker"`
	Generation modeler.Generation  `json:"generation"`
	Service    modeler.ServiceName `json:"service"`
	// Run is the number of the request, counted from the start of the worker.
	Run    uint64      `json:"run"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query,omitempty"`
	Length int64       `json:"length"`
	Digest string      `json:"digest"`
	Key    modeler.Key `json:"key,omitempty"`
	// Content is a realistic sample result of the service.
	Content string `json:"content"`
}

// DigestOf returns the digest of a body as it stands in Echo.Digest.
func DigestOf(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Handler returns the worker's HTTP handler. It serves the requests of the
// worker's services, task orders on /tasks and the run log on /runs.
func (w *Worker) Handler() http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, servicePrefix):
			w.serve(rw, r)
		case r.URL.Path == "/tasks":
			w.tasks.serve(rw, r)
		case r.URL.Path == "/runs" && r.Method == http.MethodGet:
			writeJSON(rw, http.StatusOK, w.Log())
		default:
			http.NotFound(rw, r)
		}
	})
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	request := &request{worker: w, writer: rw, request: r}
	// A hijacked connection is closed only after the request has stopped counting
	// as active: the caller may send its next request as soon as it sees the close.
	defer request.close()
	session := r.Header.Get(modeler.SessionHeader)
	w.requests.add(session)
	defer w.requests.remove(session)
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	service := modeler.ServiceName(name)
	if !w.offers(service) {
		http.NotFound(rw, r)
		return
	}
	echo := &Echo{
		Worker:     w.settings.ID,
		Generation: w.generation,
		Service:    service,
		Run:        w.requestCount.Add(1),
		Method:     r.Method,
		Path:       r.URL.Path,
		Query:      r.URL.RawQuery,
		Key:        modeler.Key(r.Header.Get("Idempotency-Key")),
	}
	if token := r.Header.Get(modeler.RequestHeader); token != "" && !w.settings.OmitRequestToken {
		rw.Header().Set(modeler.RequestHeader, token)
	}
	number := w.log.begin(Execution{Kind: RequestRun, Key: echo.Key, Path: echo.Path, Start: time.Now()})
	how := "aborted"
	defer func() { w.log.finish(number, how) }()
	request.echo = echo
	request.requestFault = w.settings.Faults.faultOf(r)
	request.run()
	how = "answered"
}

func (w *Worker) offers(service modeler.ServiceName) bool {
	for _, offered := range w.settings.Services {
		if offered == service {
			return true
		}
	}
	return false
}

// request is one request being served.
type request struct {
	worker  *Worker
	writer  http.ResponseWriter
	request *http.Request
	echo    *Echo
	// conn is the hijacked connection, nil if the connection wasn't hijacked.
	conn net.Conn
	requestFault
}

// close closes the connection if it was hijacked.
func (r *request) close() {
	if r.conn != nil {
		r.conn.Close()
	}
}

// readBody reads the request body, unless it has been read, and records its length
// and digest. A read error aborts the request.
func (r *request) readBody() {
	if r.echo.Digest != "" {
		return
	}
	hash := xxhash.New()
	n, err := io.Copy(hash, r.request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.echo.Length = n
	r.echo.Digest = fmt.Sprintf("%016x", hash.Sum64())
}

// simulateWork waits for d, but no longer than the limit of a request. It aborts
// the request if the connection is closed.
func (r *request) simulateWork(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(min(d, r.worker.settings.MaxServiceTime))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// serveWithoutFault answers without a fault.
func (r *request) serveWithoutFault() {
	r.readBody()
	r.simulateWork(r.worker.settings.ServiceTime)
	r.answer()
}

func (r *request) answer() {
	r.writer.Header().Set("Content-Type", "application/json")
	text := r.text()
	r.writer.Header().Set("Content-Length", fmt.Sprint(len(text)))
	r.writer.Write(text)
}

// text returns the answer's body.
func (r *request) text() []byte {
	r.echo.Content = content(r.echo)
	text, err := json.Marshal(r.echo)
	if err != nil {
		panic(err)
	}
	return append(text, '\n')
}

// content returns a realistic sample result: a sign-in to the breakfast register,
// a rendered proof or a die-cutting program.
func content(e *Echo) string {
	switch {
	case e.Service == "breakfast-register":
		return fmt.Sprintf("signed in: place %d, %s", e.Run, e.Path)
	case strings.Contains(e.Path, "/programs"):
		return fmt.Sprintf("G21 G90 M3 S12000 (die %d) G1 X4.2 Y1.7 Z-0.3 F90 M5", e.Run)
	default:
		return fmt.Sprintf("<svg><circle r='19'/><text>proof %d</text></svg>", e.Run)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
