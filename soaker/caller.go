package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"goldcreststack.example/goldcreststack/platform/imitator"
)

const (
	callersAtOnce = 8
	// tries is how often a caller hands a job in.
	tries = 5
	// answerWithin is how long callers and operators wait for an answer.
	answerWithin = 3 * time.Second
	queueHost    = "q.example"
	queuePath    = "/jobs/"
)

// startPolicy serves the outside policy: it allows every other worker.
func (w *world) startPolicy() error {
	listener, err := net.Listen("tcp", net.JoinHostPort(w.ip(policyAddress, 0), "0"))
	if err != nil {
		return err
	}
	w.policy = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(imitator.PolicyPattern, func(out http.ResponseWriter, r *http.Request) {
		var ask imitator.Question
		if json.NewDecoder(r.Body).Decode(&ask) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(20 * time.Millisecond)
		allowed := [][2]string{}
		for _, id := range ask.Workers {
			if (int(ask.Step[0])+int(id[len(id)-1]))%2 == 0 {
				allowed = append(allowed, [2]string{id, "t"})
			}
		}
		_ = json.NewEncoder(out).Encode(&imitator.Permits{Allowed: allowed, Validity: 2500})
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// send makes one call and returns its status, 0 without an answer.
func send(client *http.Client, method, address, path, body string) (int, []byte) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
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

func (w *world) anyEntry() *process { return w.entries[rand.IntN(len(w.entries))] }

// submit is one caller: it keeps its connections open until they break.
func (w *world) submit(ctx context.Context) {
	client := &http.Client{Timeout: answerWithin}
	for ctx.Err() == nil {
		id := fmt.Sprintf("%016x", rand.Uint64())
		spec := "spec " + id
		w.check.mu.Lock()
		w.check.jobs[id] = &job{spec: spec}
		w.check.mu.Unlock()
		if w.handIn(client, id, spec) {
			w.watch(ctx, client, id)
		}
		w.sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
	}
}

// handIn submits a job, again after a refusal or no answer, and reports whether
// it was accepted.
func (w *world) handIn(client *http.Client, id, spec string) bool {
	step := fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":%d,"estimated_ms":400`, width, taskCores, taskMemory)
	body := fmt.Sprintf(`{"spec":%q,"steps":[%s},%s,"after":[0]}]}`, spec, step, step)
	unclear := false
	for range tries {
		status, _ := send(client, http.MethodPost, w.beside(w.anyEntry().host, 1), queuePath+id, body)
		switch {
		case status >= 200 && status < 300:
			w.check.mu.Lock()
			w.check.jobs[id].accepted = time.Now()
			w.check.mu.Unlock()
			return true
		case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
			unclear = true
		}
		w.sleep(300 * time.Millisecond)
	}
	if !unclear {
		w.check.mu.Lock()
		w.check.jobs[id].refused = true
		w.check.mu.Unlock()
	}
	return false
}

// watch asks for a job's state, and cancels some jobs.
func (w *world) watch(ctx context.Context, client *http.Client, id string) {
	cancel := rand.IntN(8) == 0
	for range 6 {
		w.sleep(time.Duration(200+rand.IntN(600)) * time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		if cancel {
			w.cancel(client, id)
			cancel = false
		}
		if w.look(client, id, w.anyEntry()) {
			return
		}
	}
}

func (w *world) cancel(client *http.Client, id string) {
	w.check.mu.Lock()
	w.check.jobs[id].asked = true
	w.check.mu.Unlock()
	status, _ := send(client, http.MethodDelete, w.beside(w.anyEntry().host, 1), queuePath+id, "")
	if status >= 200 && status < 300 {
		w.check.mu.Lock()
		w.check.jobs[id].cancelled = time.Now()
		w.check.mu.Unlock()
	}
}

// look asks one process for a job's state and reports whether it has ended.
func (w *world) look(client *http.Client, id string, p *process) bool {
	sent := time.Now()
	status, data := send(client, http.MethodGet, w.beside(p.host, 1), queuePath+id, "")
	var answer struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone:
		answer.State = "gone"
	case status != http.StatusOK || json.Unmarshal(data, &answer) != nil:
		return false
	}
	w.check.shown(id, answer.State, p.name, sent)
	return answer.State == "completed" || answer.State == "cancelled"
}

// operate sends configurations with growing versions, now and then an older
// one again, and reads them back.
func (w *world) operate(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	version := uint64(0)
	for ctx.Err() == nil {
		version++
		w.configure(ctx, client, version)
		for range 3 {
			w.sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
			w.readBack(client)
		}
	}
}

func (w *world) configure(ctx context.Context, client *http.Client, version uint64) {
	body := imitator.Layout(version, queueHost, queuePath)
	for ctx.Err() == nil {
		status, _ := send(client, http.MethodPut, w.anyControl(), imitator.LayoutPath, body)
		switch {
		case status == http.StatusOK:
			w.check.mu.Lock()
			w.check.versions = append(w.check.versions, acknowledgement{version: version, at: time.Now()})
			w.check.mu.Unlock()
			return
		case status >= 400 && status < 500:
			w.check.broken("configuration %d was refused with %d", version, status)
			return
		}
		w.sleep(100 * time.Millisecond)
	}
}

func (w *world) readBack(client *http.Client) {
	p := w.anyControl()
	sent := time.Now()
	status, data := send(client, http.MethodGet, p, imitator.LayoutPath, "")
	var answer struct {
		Version uint64 `json:"version"`
	}
	if status != http.StatusOK {
		return
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		w.check.broken("%s answers a read with what can't be read: %v", p, err)
		return
	}
	w.check.read(answer.Version, sent, p)
}

// finish waits until every accepted job has ended.
func (w *world) finish() {
	client := &http.Client{Timeout: answerWithin}
	end := time.Now().Add(settle)
	for {
		open := w.open(client)
		if len(open) == 0 || w.ctx.Err() != nil {
			w.scrape(client)
			return
		}
		if time.Now().After(end) {
			w.check.broken("%d accepted jobs have not ended %v after the last fault, such as %s", len(open), settle, open[0])
			return
		}
		w.sleep(500 * time.Millisecond)
	}
}

// metricsPort is where every process serves its metrics, from the deploy file.
const metricsPort = "9464"

// scrape reads the metrics of every process as an engineer on call does: all
// must answer, and show how long calls, orders and syncs have taken.
func (w *world) scrape(client *http.Client) {
	var shown strings.Builder
	for _, p := range append(w.control, w.entries...) {
		status, body := send(client, http.MethodGet, net.JoinHostPort(p.host, metricsPort), "/metrics", "")
		if status != http.StatusOK && w.ctx.Err() == nil {
			w.check.broken("%s answers %d when asked for its metrics", p.name, status)
		}
		shown.Write(body)
	}
	for _, name := range []string{"call_seconds_bucket", "flow_order_seconds_bucket", "sync_seconds_bucket"} {
		if !strings.Contains(shown.String(), "goldcreststack_"+name) && w.ctx.Err() == nil {
			w.check.broken("no process shows %s", name)
		}
	}
}

// open lists the accepted jobs that have not ended.
func (w *world) open(client *http.Client) []string {
	w.check.mu.Lock()
	var ids []string
	for id, j := range w.check.jobs {
		if !j.accepted.IsZero() && j.final == "" {
			ids = append(ids, id)
		}
	}
	w.check.mu.Unlock()
	var open []string
	for _, id := range ids {
		if !w.look(client, id, w.anyEntry()) {
			open = append(open, id)
		}
	}
	return open
}
