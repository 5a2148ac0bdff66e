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
	callerCount = 8
	// submitAttempts is the number of times a caller sends a job before it gives up.
	submitAttempts = 5
	// answerTimeout bounds each call of callers.
	answerTimeout = 3 * time.Second
	queueHost     = "q.example"
	queuePath     = "/jobs/"
	// unusedVersions is added to a version for a marker that no configuration has.
	unusedVersions = 1 << 32
)

// startPolicy serves a stand-in for the outside policy, which permits about half
// of the workers for each step and takes 20 ms to answer.
func (w *world) startPolicy() error {
	listener, err := net.Listen("tcp", net.JoinHostPort(w.ip(policyAddress, 0), "0"))
	if err != nil {
		return err
	}
	w.policy = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(imitator.PolicyPattern, func(out http.ResponseWriter, r *http.Request) {
		var question imitator.PermitRequest
		if json.NewDecoder(r.Body).Decode(&question) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(20 * time.Millisecond)
		allowed := [][2]string{}
		for _, id := range question.Workers {
			if (int(question.Step[0])+int(id[len(id)-1]))%2 == 0 {
				allowed = append(allowed, [2]string{id, "t"})
			}
		}
		_ = json.NewEncoder(out).Encode(&imitator.PermitAnswer{Allowed: allowed, Validity: 2500})
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// send makes one HTTP call and returns the status and the body of the answer.
// The status is 0 when no complete answer arrives.
func send(client *http.Client, method, address, path, body string, authorization ...string) (int, []byte) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header["Authorization"] = authorization
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

// call makes a call for a job with the given credentials, and checks the status of the
// answer against them.
func (w *world) call(client *http.Client, given credentials, method string, p *process, id, body string) (int, []byte) {
	sent := time.Now()
	status, data := send(client, method, w.offsetAddress(p.host, 1), queuePath+id, body, given.headers...)
	w.check.checkCredentials(given, method, p.name, sent, status)
	return status, data
}

func (w *world) randomEntry() *process { return w.entries[rand.IntN(len(w.entries))] }

// runCaller submits and watches jobs one after the other until ctx ends. It keeps
// using its open connections until the process at the other end is gone.
func (w *world) runCaller(ctx context.Context) {
	client := w.newClient(answerTimeout)
	for ctx.Err() == nil {
		id := w.newJob(usualSteps...)
		if w.submitJob(client, id) {
			w.watchJob(ctx, client, id)
		}
		w.sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
	}
}

// newJob registers a job of any account that is to be submitted and returns its id.
func (w *world) newJob(steps ...jobStep) string {
	return w.newJobOf(w.check.drawAccount(), steps...)
}

// newJobOf is newJob for an account, "" in runs without accounts.
func (w *world) newJobOf(account string, steps ...jobStep) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	w.check.jobs[id] = &job{spec: specOf(id), steps: steps, account: account}
	return id
}

// specOf returns the spec of the job with the id, and jobBody the body that submits
// it.
func specOf(id string) string { return "spec " + id }

func (w *world) jobBody(id string) string {
	w.check.mu.Lock()
	steps := w.check.jobs[id].steps
	w.check.mu.Unlock()
	var text []string
	for i, s := range steps {
		step := fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":%d,"estimated_ms":400`, s.tasks, s.cores, taskMemory*s.cores/taskCores)
		if i > 0 {
			step += fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		if s.gang {
			step += `,"gang":true`
		}
		if s.copies {
			step += `,"speculative":true`
		}
		if s.lasting {
			step += `,"long_running":true,"requirements":"b"`
		}
		text = append(text, step+"}")
	}
	return fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, specOf(id), strings.Join(text, ","))
}

// submitJob submits a job, repeats the call after a refusal or no answer, and
// reports whether the job was accepted. A job is marked as refused only if every
// attempt got status 401, 429 or 503.
func (w *world) submitJob(client *http.Client, id string) bool {
	mayBeAccepted := false
	for range submitAttempts {
		given, found := w.check.credentialsFor(id)
		if !found {
			// The account was removed.
			break
		}
		status, _ := w.call(client, given, http.MethodPost, w.randomEntry(), id, w.jobBody(id))
		switch {
		case status >= 200 && status < 300:
			w.check.noteAccepted(id)
			return true
		case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != http.StatusUnauthorized:
			mayBeAccepted = true
		}
		w.sleep(300 * time.Millisecond)
	}
	if !mayBeAccepted {
		w.check.mu.Lock()
		w.check.jobs[id].refused = true
		w.check.mu.Unlock()
	}
	return false
}

// watchJob polls a job's state up to six times, and cancels one job in eight.
func (w *world) watchJob(ctx context.Context, client *http.Client, id string) {
	cancelJob := rand.IntN(8) == 0
	for range 6 {
		w.sleep(time.Duration(200+rand.IntN(600)) * time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		if cancelJob {
			w.cancelJob(client, id)
			cancelJob = false
		}
		if w.pollJob(client, id, w.randomEntry()) {
			return
		}
	}
}

func (w *world) cancelJob(client *http.Client, id string) {
	given, found := w.check.credentialsFor(id)
	if !found {
		return
	}
	w.check.mu.Lock()
	w.check.jobs[id].cancelSent = true
	w.check.mu.Unlock()
	status, _ := w.call(client, given, http.MethodDelete, w.randomEntry(), id, "")
	if status >= 200 && status < 300 {
		w.check.mu.Lock()
		w.check.jobs[id].cancelledAt = time.Now()
		w.check.mu.Unlock()
	}
}

// pollJob asks one process for a job's state, checks the answer, and reports
// whether the job is over.
func (w *world) pollJob(client *http.Client, id string, p *process) bool {
	sent := time.Now()
	state := w.askState(client, id, p)
	if state == "" {
		return false
	}
	w.check.checkState(id, state, p.name, sent)
	return state == "completed" || state == "cancelled" || state == "failed"
}

// askState asks one process for a job's state: "gone" if it isn't known, and empty
// without an answer that can be read.
func (w *world) askState(client *http.Client, id string, p *process) string {
	given, found := w.check.credentialsFor(id)
	if !found {
		return ""
	}
	status, data := w.call(client, given, http.MethodGet, p, id, "")
	var answer struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone:
		return "gone"
	case status != http.StatusOK || json.Unmarshal(data, &answer) != nil:
		return ""
	}
	return answer.State
}

// runOperator sends configurations with increasing versions and reads them back
// three times after each.
func (w *world) runOperator(ctx context.Context) {
	client := w.newClient(time.Second)
	for ctx.Err() == nil {
		w.applyConfiguration(ctx, client, w.check.nextVersion())
		if rand.IntN(4) == 0 {
			w.repeatConfigurations(ctx, client)
		}
		for range 3 {
			w.sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
			w.readConfiguration(client)
		}
	}
}

// markerPath returns the path of a queue that only the given version of the
// configuration has.
func markerPath(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

func (w *world) applyConfiguration(ctx context.Context, client *http.Client, version uint64) {
	if !w.sendConfiguration(ctx, client, version, version) {
		return
	}
	w.check.mu.Lock()
	w.check.versions = append(w.check.versions, acknowledgement{version: version, at: time.Now()})
	w.check.mu.Unlock()
	w.check.noteAcknowledgement()
}

// sendConfiguration sends a configuration whose queue has the marker, until a process
// acknowledges it.
func (w *world) sendConfiguration(ctx context.Context, client *http.Client, version, marker uint64) bool {
	body := w.configuration(version, marker)
	for ctx.Err() == nil {
		status, _ := send(client, http.MethodPut, w.randomControl(), imitator.LayoutPath, body)
		switch {
		case status == http.StatusOK:
			return true
		case status >= 400 && status < 500:
			w.check.recordViolation("configuration %d was refused with %d", version, status)
			return false
		}
		w.sleep(100 * time.Millisecond)
	}
	return false
}

// configuration returns the body of a configuration. One with a marker that no version
// has gives the accounts of the first version, whose keys are removed in time.
func (w *world) configuration(version, marker uint64) string {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	if w.check.accounts == nil {
		return imitator.Layout(version, queueHost, queuePath, markerPath(marker))
	}
	of := version
	if marker != version {
		of = 1
	}
	body, err := imitator.LayoutWithTenants(version, w.check.accounts.tenants[of-1], queueHost, queuePath, markerPath(marker))
	if err != nil {
		panic(err)
	}
	return body
}

// repeatConfigurations sends a former version again, and other content under the
// acknowledged one. Both are to be acknowledged and to change nothing.
func (w *world) repeatConfigurations(ctx context.Context, client *http.Client) {
	version := w.check.newestVersion()
	if version < 2 {
		return
	}
	w.sendConfiguration(ctx, client, version-1, version-1)
	w.sendConfiguration(ctx, client, version, version+unusedVersions)
}

func (w *world) readConfiguration(client *http.Client) {
	w.readConfigurationAt(client, w.randomControl())
}

// readConfigurationAt reads the configuration at an address, checks its version, and
// reports whether there was an answer.
func (w *world) readConfigurationAt(client *http.Client, address string) bool {
	sent := time.Now()
	status, data := send(client, http.MethodGet, address, imitator.LayoutPath, "")
	var answer struct {
		Version uint64 `json:"version"`
	}
	if status != http.StatusOK {
		return false
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		w.check.recordViolation("%s answers a read with what can't be read: %v", address, err)
		return false
	}
	w.check.checkVersion(answer.Version, sent, address)
	return true
}

// awaitJobs waits until every accepted job has ended, then checks the metrics. Jobs
// that are still open after settleTime are recorded as a violation.
func (w *world) awaitJobs() {
	client := w.newClient(answerTimeout)
	begun := time.Now()
	for {
		unendedJobs := w.unendedJobs(client)
		if len(unendedJobs) == 0 || w.ctx.Err() != nil {
			w.checkMetrics(client)
			return
		}
		if w.isOver(begun, settleTime) {
			w.check.recordViolation("%d accepted jobs have not ended %v after the last fault, such as %s", len(unendedJobs), settleTime, unendedJobs[0])
			return
		}
		w.sleep(500 * time.Millisecond)
	}
}

// checkMetrics reads the metrics of every process. Each process must answer, and
// the histograms of calls, flow orders and syncs must appear on at least one.
func (w *world) checkMetrics(client *http.Client) {
	var metrics strings.Builder
	for _, p := range w.processes() {
		begun := time.Now()
		status, body := send(client, http.MethodGet, net.JoinHostPort(p.host, metricsPort), "/metrics", "")
		for status == 0 && !w.isOver(begun, answerTimeout) {
			status, body = send(client, http.MethodGet, net.JoinHostPort(p.host, metricsPort), "/metrics", "")
		}
		if status != http.StatusOK && w.ctx.Err() == nil {
			w.check.recordViolation("%s answers %d when asked for its metrics", p.name, status)
		}
		metrics.Write(body)
	}
	for _, name := range []string{"call_seconds_bucket", "flow_order_seconds_bucket", "sync_seconds_bucket"} {
		if !strings.Contains(metrics.String(), "goldcreststack_"+name) && w.ctx.Err() == nil {
			w.check.recordViolation("no process shows %s", name)
		}
	}
}

// unendedJobs returns the ids of accepted jobs that are not known to have ended,
// after asking an entry process for the state of each.
func (w *world) unendedJobs(client *http.Client) []string {
	w.check.mu.Lock()
	var ids []string
	for id, j := range w.check.jobs {
		if !j.acceptedAt.IsZero() && j.finalState == "" {
			ids = append(ids, id)
		}
	}
	w.check.mu.Unlock()
	var unendedJobs []string
	for _, id := range ids {
		if !w.pollJob(client, id, w.randomEntry()) {
			unendedJobs = append(unendedJobs, id)
		}
	}
	return unendedJobs
}
