package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/operator"
)

const (
	ticketFile = `// a ticket
{"number": 5, "removes": {"jobs": ["j"]},}`
	accepted     = `200 {"number": 5, "version": 81, "accepted": true, "digest": "00000000000000ab"}`
	repeated     = `200 {"number": 5, "version": 81, "accepted": true, "repeat": true, "digest": "00000000000000ab"}`
	inForce      = `200 {"number": 5, "version": 81, "accepted": true, "digest": "00000000000000ab", "force": true}`
	noLeader     = `503 {"kind": "no-leader", "outcome": "not-run", "detail": "no leader is known"}`
	conflict     = `409 {"kind": "ticket-conflict", "outcome": "not-run", "detail": "number 5 is taken", "digest": "00000000000000cd"}`
	stale        = `409 {"kind": "ticket-stale", "outcome": "not-run", "detail": "9 is in force"}`
	invalid      = `422 {"kind": "ticket-invalid", "outcome": "not-run", "detail": "no team t"}`
	proposalLost = `504 {"kind": "proposal-lost", "outcome": "unknown", "detail": "the leader changed"}`
	// dialFailure fails before there is a connection, connectionReset after the
	// request was sent; noAnswer blocks until the request times out.
	dialFailure     = "dial"
	connectionReset = "cut"
	noAnswer        = "hang"
)

// scriptedTransport gives the prepared answers in order and then repeats the
// last one.
type scriptedTransport struct {
	answers  []string
	requests []string
}

func (s *scriptedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(request.Body)
	next := s.answers[min(len(s.requests), len(s.answers)-1)]
	s.requests = append(s.requests, fmt.Sprintf("%s %s%s %s", request.Method, request.URL.Host, request.URL.EscapedPath(), body))
	if next == dialFailure {
		return nil, errors.New("connection refused")
	}
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{})
	switch next {
	case connectionReset:
		return nil, errors.New("connection reset")
	case noAnswer:
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	var status int
	_, err := fmt.Sscan(next, &status)
	header := http.Header{"Location": {"http://192.0.2.9:1/elsewhere"}}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(next[4:]))}, err
}

func newClient(t *testing.T, s *scriptedTransport, patience time.Duration, entries ...string) *operator.Client {
	t.Helper()
	c, err := operator.New(operator.Options{Entries: entries, Patience: patience, Transport: s})
	assert.NilError(t, err)
	return c
}

func writeTicketFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ticket.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against an exit code that claims a known outcome after a lost answer.
// A later refusal or unreachable host leaves the outcome unknown, since the
// first request may still take effect; an answer about the ticket's number
// decides it.
func TestApplyOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		answers []string
		code    operator.ExitCode
		tries   int
		note    string
	}{
		{"accepted", []string{accepted}, operator.Done, 1, ""},
		{"refused", []string{invalid}, operator.Refused, 1, ""},
		{"conflict", []string{conflict}, operator.Conflict, 1, ""},
		{"stale", []string{stale}, operator.Conflict, 1, ""},
		{"next host after a failed dial", []string{dialFailure, accepted}, operator.Done, 2, "a:1: connect-failed"},
		{"next host without a leader", []string{noLeader, accepted}, operator.Done, 2, "no-leader: no leader is known"},
		{"unreachable", []string{dialFailure}, operator.Unreachable, 3, "c:1: connect-failed"},
		{"no leader anywhere", []string{noLeader}, operator.Unreachable, 3, ""},
		{"lost, then repeat", []string{connectionReset, repeated}, operator.Done, 2, "the answer of a:1 was lost and the request was sent again to b:1"},
		{"timeout, then repeat", []string{noAnswer, repeated}, operator.Done, 2, "was sent again to b:1"},
		{"lost proposal, then accepted", []string{proposalLost, accepted}, operator.Done, 2, "a:1: the leader changed; the outcome is unknown"},
		{"lost everywhere", []string{connectionReset}, operator.UnknownOutcome, 3, "the outcome is unknown"},
		{"lost, then unreachable", []string{connectionReset, dialFailure}, operator.UnknownOutcome, 3, ""},
		{"lost, then refused", []string{connectionReset, invalid}, operator.UnknownOutcome, 2, "b:1 refused the request, but an earlier sending to a:1, whose answer was lost, may still take effect"},
		{"lost, then conflict", []string{connectionReset, conflict}, operator.Conflict, 2, ""},
		{"lost, then stale", []string{connectionReset, stale}, operator.Conflict, 2, ""},
		{"answer about another ticket", []string{strings.Replace(accepted, "5", "6", 1)}, operator.UnknownOutcome, 3, "it is about ticket 6, not 5"},
		{"answer without acceptance", []string{"200 {\"number\": 5}"}, operator.UnknownOutcome, 3, "neither"},
		{"answer that is no JSON", []string{"200 <html>"}, operator.UnknownOutcome, 3, "the answer can't be used"},
		{"error body of another system", []string{"502 <html>"}, operator.UnknownOutcome, 3, "status 502 without a known error body"},
		{"redirect", []string{"307 moved"}, operator.UnknownOutcome, 3, "status 307"},
		{"unknown kind that is not run", []string{`400 {"kind": "new-kind", "outcome": "not-run"}`}, operator.Refused, 1, ""},
		{"unknown kind of unknown outcome", []string{`500 {"kind": "new-kind", "outcome": "maybe"}`}, operator.UnknownOutcome, 3, ""},
		{"known kind with another outcome", []string{strings.Replace(invalid, "not-run", "unknown", 1)}, operator.UnknownOutcome, 3, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTransport{answers: test.answers}
				report := newClient(t, s, -1, "192.0.2.1:1", "192.0.2.2:1", "192.0.2.3:1").Apply(t.Context(), writeTicketFile(t, ticketFile), 0)
				assert.Equal(t, report.Code, test.code, "%+v", report)
				assert.Equal(t, len(s.requests), test.tries)
				notes := strings.NewReplacer("192.0.2.1", "a", "192.0.2.2", "b", "192.0.2.3", "c").Replace(strings.Join(report.Notes, "\n"))
				assert.Assert(t, strings.Contains(notes, test.note), "%s", notes)
				assert.Equal(t, report.Code == operator.Done, report.Error == nil && report.Answer != nil)
				for i, request := range s.requests {
					assert.Equal(t, request, fmt.Sprintf(`POST 192.0.2.%d:1/v1/tickets {"number":5,"removes":{"jobs":["j"]}}`, i+1))
				}
			})
		})
	}
}

// Guards against a client that gives up during a leader election, waits longer
// than its patience, or reports a ticket as in force too early.
func TestPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := writeTicketFile(t, ticketFile)
		s := &scriptedTransport{answers: []string{noLeader, noLeader, dialFailure, noLeader, accepted}}
		report := newClient(t, s, 0, "192.0.2.1:1", "192.0.2.2:1").Apply(t.Context(), path, 0)
		assert.Equal(t, report.Code, operator.Done)
		assert.Equal(t, len(s.requests), 5)

		start := time.Now()
		s = &scriptedTransport{answers: []string{noLeader}}
		report = newClient(t, s, 2*time.Second, "192.0.2.1:1").Apply(t.Context(), path, 0)
		assert.Equal(t, report.Code, operator.Unreachable)
		assert.Assert(t, time.Since(start) <= 2*time.Second)
		assert.Equal(t, len(report.Notes), 1, "repeated notes: %v", report.Notes)

		s = &scriptedTransport{answers: []string{accepted, accepted, noLeader, connectionReset, inForce}}
		report = newClient(t, s, -1, "192.0.2.1:1").Apply(t.Context(), path, 5*time.Second)
		assert.Equal(t, report.Code, operator.Done)
		assert.Assert(t, report.Answer.(modeler.TicketAnswer).InForce)
		assert.Equal(t, s.requests[4], "GET 192.0.2.1:1/v1/tickets/5 ")

		s = &scriptedTransport{answers: []string{strings.Replace(repeated, "}", `, "waiting": ["e7"]}`, 1)}}
		start = time.Now()
		report = newClient(t, s, -1, "192.0.2.1:1").Apply(t.Context(), path, time.Second)
		assert.Equal(t, time.Since(start), time.Second)
		assert.Equal(t, report.Code, operator.UnknownOutcome)
		var out, errs bytes.Buffer
		assert.NilError(t, report.Print(&out, &errs, false))
		assert.Equal(t, out.String(), "ticket 5: accepted as version 81 by an earlier sending, digest 00000000000000ab\nnot confirmed by e7\n")
		assert.Equal(t, errs.String(), "ticket 5 is accepted, but was not seen in force within 1s\nthe outcome is unknown\n")

		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		report = newClient(t, &scriptedTransport{answers: []string{dialFailure}}, 0, "192.0.2.1:1").Apply(ctx, path, 0)
		assert.Equal(t, report.Code, operator.Unreachable)
	})
}

// Guards against a read-only command that reports an unknown outcome after a
// lost answer, and against a job id with a slash that changes the request path.
func TestQuestions(t *testing.T) {
	status := `200 {"term": 3, "leader": 2, "version": 81, "ticket": 5,
		"members": [{"id": 2, "address": "192.0.2.12:7100", "match": 90, "lag": "0s", "current": true}],
		"force": 81, "entries": [{"entry": "e1", "version": 81, "held": 4, "heard": "120ms"}],
		"services": [{"name": "s", "workers": 2, "slots": 16}], "jobs": [{"id": "j", "team": "t", "kind": "batch", "state": "running", "waiting": 1, "placed": 7}],
		"workers": {"known": 2, "capacity": {"processors": 64000}, "used": {"processors": 1000}}, "tasks": {"waiting": 1, "running": 7}}`
	job := `200 {"id": "a/b", "team": "t", "kind": "batch", "total": 9, "state": "running", "why": "busy",
		"placed": 1, "ended": 8, "tasks": [{"index": 3, "attempt": 2, "phase": "placed", "state": "running", "worker": "w1"}]}`
	tests := []struct {
		name   string
		run    func(*operator.Client) operator.Report
		answer string
		code   operator.ExitCode
		want   string
		text   string
	}{
		{
			"ticket", func(c *operator.Client) operator.Report { return c.Ticket(t.Context(), 5) }, inForce, operator.Done, "GET 192.0.2.1:1/v1/tickets/5 ",
			"ticket 5: accepted as version 81, in force everywhere, digest 00000000000000ab\n",
		},
		{
			"unknown ticket", func(c *operator.Client) operator.Report { return c.Ticket(t.Context(), 5) },
			`404 {"kind": "unknown-ticket", "outcome": "not-run", "detail": "5"}`, operator.Refused, "GET 192.0.2.1:1/v1/tickets/5 ",
			"unknown-ticket: 5 (outcome: not-run)\nrefused: nothing has changed\n",
		},
		{
			"status", func(c *operator.Client) operator.Report { return c.Status(t.Context()) }, status, operator.Done, "GET 192.0.2.1:1/v1/status ",
			`leader 2 in term 3, version 81 by ticket 5, in force everywhere: version 81
workers: 2 known, 0 leaving, 0 silent, 0 quarantined
used: 1000 of 64000 millicores, 0 of 0 bytes, 0 of 0 accelerators
tasks: 1 waiting, 7 running; at-most-once records: 0

MEMBER  ADDRESS          ROLE   MATCH  CAUGHT UP  LAG
2       192.0.2.12:7100  voter  90     yes        0s

ENTRY  VERSION  BEHIND  HELD  HEARD
e1     81       false   4     120ms

SERVICE  WORKERS  SLOTS
s        2        16

JOB  TEAM  KIND   STATE    WAITING  PLACED  ENDED  FAILED
j    t     batch  running  1        7       0      0
`,
		},
		{
			"members that bear no further loss", func(c *operator.Client) operator.Report { return c.Status(t.Context()) },
			`200 {"leader": 2, "term": 3, "members": [{"id": 2, "address": "192.0.2.12:7100", "match": 9, "lag": "0s", "current": true},` +
				`{"id": 3, "address": "192.0.2.13:7100", "match": 4, "lag": "20s", "silent": "20s"},` +
				`{"id": 4, "address": "192.0.2.14:7100", "match": 0, "lag": "-1ns", "silent": "9s"}],` +
				`"quorum": {"voters": 3, "learners": 0, "needed": 2, "silent": 2, "spare": -1, "refusal": "member added: 5 at 192.0.2.15:7100: busy"}}`,
			operator.Done, "GET 192.0.2.1:1/v1/status ",
			`leader 2 in term 3, version 0 by ticket 0, in force everywhere: version 0
workers: 0 known, 0 leaving, 0 silent, 0 quarantined
used: 0 of 0 millicores, 0 of 0 bytes, 0 of 0 accelerators
tasks: 0 waiting, 0 running; at-most-once records: 0

MEMBER  ADDRESS          ROLE   MATCH  CAUGHT UP  LAG
2       192.0.2.12:7100  voter  9      yes        0s
3       192.0.2.13:7100  voter  4      no         no answer for 20s
4       192.0.2.14:7100  voter  0      no         no answer for 9s
3 voters, 2 of them silent, 2 needed, 0 learners: the group bears no further loss
the last change of members was refused: member added: 5 at 192.0.2.15:7100: busy

ENTRY  VERSION  BEHIND  HELD  HEARD

SERVICE  WORKERS  SLOTS
`,
		},
		{
			"job", func(c *operator.Client) operator.Report { return c.Job(t.Context(), "a/b") }, job, operator.Done, "GET 192.0.2.1:1/v1/jobs/a%2Fb ",
			"job a/b of team t (batch): running\ntasks: 0 waiting, 1 placed, 8 ended, 0 of them failed; 9 in all\nbusy\n\nTASK  ATTEMPT  PHASE   STATE    WORKER  DETAIL\n3     2        placed  running  w1      \n",
		},
		{
			"cancel", func(c *operator.Client) operator.Report { return c.Cancel(t.Context(), "a/b") },
			`200 {"job": "a/b", "cancelled": true}`, operator.Done, "DELETE 192.0.2.1:1/v1/jobs/a%2Fb ", "job a/b is cancelled\n",
		},
		{
			"cancel without effect", func(c *operator.Client) operator.Report { return c.Cancel(t.Context(), "j") }, `200 {"job": "k", "cancelled": true}`, operator.UnknownOutcome,
			"DELETE 192.0.2.1:1/v1/jobs/j ", "192.0.2.1:1: the answer can't be used: it doesn't say that job \"j\" is cancelled; the outcome is unknown\n" +
				"answer-lost: the answer can't be used: it doesn't say that job \"j\" is cancelled (outcome: unknown)\nthe outcome is unknown\n",
		},
		{
			"learner", func(c *operator.Client) operator.Report { return c.AddMember(t.Context(), 4, "192.0.2.14:7100") },
			`200 {"members": [{"id": 4, "address": "192.0.2.14:7100", "learner": true, "match": 0, "lag": "-1ns"}]}`, operator.Done,
			`POST 192.0.2.1:1/v1/members {"verb":"add","id":4,"address":"192.0.2.14:7100"}`,
			"MEMBER  ADDRESS          ROLE     MATCH  CAUGHT UP  LAG\n4       192.0.2.14:7100  learner  0      no         no answer\n",
		},
		{
			"drain", func(c *operator.Client) operator.Report { return c.Drain(t.Context()) },
			`200 {"name": "e1", "draining": true, "waiting": 2, "active": 3}`, operator.Done, "POST 192.0.2.1:1/v1/drain ",
			"e1 is draining: 2 waiting, 3 active\n",
		},
		{
			"drain without effect", func(c *operator.Client) operator.Report { return c.Drain(t.Context()) }, "200 {}", operator.UnknownOutcome, "POST 192.0.2.1:1/v1/drain ",
			"192.0.2.1:1: the answer can't be used: it doesn't say that the host is draining; the outcome is unknown\n" +
				"answer-lost: the answer can't be used: it doesn't say that the host is draining (outcome: unknown)\nthe outcome is unknown\n",
		},
		{
			"halted change", func(c *operator.Client) operator.Report { return c.Job(t.Context(), "register") },
			`200 {"id":"register","team":"bureau","kind":"service","state":"running","total":3,"waiting":1,"placed":2,"ended":0,` +
				`"change":{"step":1,"replaced":0,"former":2,"missing":1,"halted":true,"why":"no room"}}`,
			operator.Done, "GET 192.0.2.1:1/v1/jobs/register ",
			"job register of team bureau (service): running\ntasks: 1 waiting, 2 placed, 0 ended, 0 of them failed; 3 in all\n" +
				"change: 0 replaced, 2 still under an earlier ticket, 1 out of service (at most 1); halted: no room\n",
		},
		{
			"dump", func(c *operator.Client) operator.Report { return c.Dump(t.Context()) }, `200 {"role":"entry"}`, operator.Done, "GET 192.0.2.1:1/debug/state ",
			"{\n  \"role\": \"entry\"\n}\n",
		},
		{
			"lost answer to a question", func(c *operator.Client) operator.Report { return c.Status(t.Context()) }, connectionReset, operator.Unreachable, "GET 192.0.2.1:1/v1/status ",
			"192.0.2.1:1: answer-lost: Get \"http://192.0.2.1:1/v1/status\": connection reset\n" +
				"answer-lost: Get \"http://192.0.2.1:1/v1/status\": connection reset (outcome: unknown)\nno entry host could serve it: nothing has changed\n",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &scriptedTransport{answers: []string{test.answer}}
			report := test.run(newClient(t, s, -1, "192.0.2.1:1"))
			assert.Equal(t, report.Code, test.code, "%+v", report)
			assert.DeepEqual(t, s.requests, []string{test.want})
			var text, document bytes.Buffer
			assert.NilError(t, report.Print(&text, &text, false))
			assert.Equal(t, text.String(), test.text)
			assert.NilError(t, report.Print(&document, nil, true))
			var decoded struct {
				Code   operator.ExitCode
				Host   string
				Answer json.RawMessage
			}
			assert.NilError(t, json.Unmarshal(document.Bytes(), &decoded))
			assert.Equal(t, decoded.Code, test.code)
			assert.Equal(t, decoded.Host, "192.0.2.1:1")
			assert.Equal(t, decoded.Answer != nil, test.code == operator.Done)
		})
	}
}

// Guards against requests that are sent despite invalid addresses, arguments or
// files.
func TestUsage(t *testing.T) {
	for _, entries := range [][]string{nil, {"host.example:80"}, {"192.0.2.1"}, {"192.0.2.1:0"}} {
		_, err := operator.New(operator.Options{Entries: entries})
		assert.Assert(t, err != nil, "%v", entries)
	}
	s := &scriptedTransport{answers: []string{accepted}}
	two := newClient(t, s, -1, "192.0.2.1:1", "192.0.2.2:1")
	assert.Equal(t, two.Drain(t.Context()).Code, operator.Usage)
	assert.Equal(t, two.Job(t.Context(), "").Code, operator.Usage)
	report := two.Apply(t.Context(), writeTicketFile(t, "{\n\"number\": 0, \"note\": 1}"), 0)
	assert.Equal(t, report.Code, operator.Usage)
	assert.Equal(t, len(report.Notes), 2)
	assert.Assert(t, strings.HasSuffix(report.Notes[0], "ticket.json:2: number: must be at least 1, not 0"))
	assert.Equal(t, len(s.requests), 0)
}

// Guards against a transport that resends a request by itself, confuses a failed
// dial with a lost answer, or waits for a silent host beyond the timeout. The
// entry hosts refuse the connection, close it, stay silent and answer, in turn.
func TestRealConnections(t *testing.T) {
	received := 0
	closing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received++
		connection, _, err := w.(http.Hijacker).Hijack()
		assert.Check(t, err)
		assert.Check(t, connection.Close())
	}))
	defer closing.Close()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var ticket modeler.Ticket
		assert.Check(t, json.NewDecoder(r.Body).Decode(&ticket))
		_, _ = fmt.Fprint(w, accepted[4:])
	}))
	defer good.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())

	c, err := operator.New(operator.Options{
		Entries:  []string{closed.Addr().String(), closing.Listener.Addr().String(), silent.Addr().String(), good.Listener.Addr().String()},
		Patience: -1, AttemptTimeout: 300 * time.Millisecond,
	})
	assert.NilError(t, err)
	report := c.Apply(t.Context(), writeTicketFile(t, ticketFile), 0)
	assert.Equal(t, report.Code, operator.Done, "%+v", report)
	assert.Equal(t, received, 1)
	assert.Equal(t, len(report.Notes), 4, "%v", report.Notes)
	for i, want := range []string{"connect-failed", "the outcome is unknown", "the outcome is unknown", "was sent again"} {
		assert.Assert(t, strings.Contains(report.Notes[i], want), "%v", report.Notes)
	}
}
