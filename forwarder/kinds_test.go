package forwarder_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/forwarder"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// unreachedKinds are the kinds that TestEveryKind can't provoke, and why.
var unreachedKinds = map[classifier.Kind]string{
	classifier.TicketForgotten: "needs more tickets than the history keeps; see ticketer",
	classifier.StorageFull:     "needs a full disk or a full table of keys; see storer and recorder",
	classifier.ProposalLost:    "needs a leader that is lost between a proposal and its answer; see cmd/goldcreststack",
	classifier.SendFailed:      "needs a worker that resets during an upload before it answers; see dialer",
	classifier.JobImpossible:   "is decided after the submission was accepted; see placer",
	classifier.QuotaExceeded:   "is decided after the submission was accepted; see placer",
	classifier.Draining:        "the listener closes before the router drains; see router",
	classifier.Unauthorized:    "concerns calls to the queues of flows, which this interface does not serve; see controller",
	classifier.Internal:        "stands for a fault of the system",
}

// keyOfAge returns a key that was created the given time ago.
func keyOfAge(age time.Duration) string {
	id := uuid.Must(uuid.NewV7())
	at := time.Now().Add(-age).UnixMilli()
	for i := range 6 {
		id[i] = byte(at >> (8 * (5 - i)))
	}
	return id.String()
}

// sendDocument sends a JSON document to a path of the entry process, such as an
// operators' route.
func (c *cell) sendDocument(method, path, key string, content any) reply {
	text, err := json.Marshal(content)
	assert.NilError(c.t, err)
	request, err := http.NewRequest(method, "http://"+c.front+path, strings.NewReader(string(text)))
	assert.NilError(c.t, err)
	request.Header.Set("Idempotency-Key", key)
	answer, err := c.client.Do(request)
	assert.NilError(c.t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, text: string(body), err: err}
}

// refusingServices returns services whose settings make requests to them fail:
// no worker, a queue of one, a rate limit, and a worker that refuses
// connections.
func refusingServices() []modeler.Service {
	list := []modeler.Service{service(proof), service(cut), service("nobody"), service("narrow"), service("rated"), service("closed")}
	list[1].AtMostOnce = true
	list[2].Wait = modeler.Duration(100 * time.Millisecond)
	list[3].Queue = 1
	list[3].Wait = modeler.Duration(2 * time.Second)
	list[4].Rate = 1
	return list
}

// Guards against error kinds that reach callers with another status, outcome or
// Retry-After header than the classifier's table says, and against kinds that
// no test reaches.
func TestEveryKind(t *testing.T) {
	closed := listen(t)
	closed.Close()
	c := newCell(t, 4, func(s *worker.Settings) {
		s.Services = []modeler.ServiceName{proof, cut, "rated"}
		if s.ID == "worker-4" {
			s.Services = []modeler.ServiceName{"closed"}
			s.Address = closed.Addr().String()
		}
	}, refusingServices()...)
	usedKey := newKey()
	assert.Equal(t, c.call(call{service: cut, path: "used", key: usedKey}).status, http.StatusOK)
	longAnswerKey := newKey()
	assert.Equal(t, c.call(call{service: cut, path: "long", key: longAnswerKey, header: fault(worker.FaultLarge, 0, 4<<20)}).status, http.StatusOK)
	lostAnswerKey := newKey()
	assert.Equal(t, c.call(call{service: cut, path: "lost", key: lostAnswerKey, header: fault(worker.FaultClose, 0, 0)}).kind(), "answer-lost")
	// Ticket 5 makes lower ticket numbers stale.
	c.apply(5, refusingServices())
	ticket := func(number modeler.TicketNumber, note string) any { return modeler.Ticket{Number: number, Note: note} }
	requests := map[classifier.Kind]func() reply{
		classifier.None:      func() reply { return c.call(call{service: proof}) },
		classifier.Malformed: func() reply { return c.sendDocument("POST", "/v1/services/proof/..%2f..%2ftasks/../../x", "", 1) },
		classifier.TooLarge: func() reply {
			return c.call(call{service: proof, body: strings.NewReader(strings.Repeat("x", 9<<20))})
		},
		classifier.UnknownService: func() reply { return c.call(call{service: "nowhere"}) },
		classifier.UnknownTicket:  func() reply { return c.sendDocument("GET", "/v1/tickets/99", "", nil) },
		classifier.UnknownJob:     func() reply { return c.sendDocument("GET", "/v1/jobs/none", "", nil) },
		classifier.KeyMissing:     func() reply { return c.call(call{service: cut}) },
		classifier.KeyInvalid:     func() reply { return c.call(call{service: cut, key: "order-7"}) },
		classifier.KeyExpired:     func() reply { return c.call(call{service: cut, key: keyOfAge(25 * time.Hour)}) },
		classifier.KeyReused:      func() reply { return c.call(call{service: cut, path: "other", key: usedKey}) },
		classifier.Claimed: func() reply {
			return c.call(call{service: cut, path: "lost", key: lostAnswerKey, header: fault(worker.FaultClose, 0, 0)})
		},
		classifier.TicketConflict: func() reply { return c.sendDocument("POST", "/v1/tickets", "", ticket(5, "other")) },
		classifier.TicketStale:    func() reply { return c.sendDocument("POST", "/v1/tickets", "", ticket(3, "")) },
		classifier.TicketInvalid:  func() reply { return c.sendDocument("POST", "/v1/tickets", "", ticket(9, "")) },
		classifier.QueueFull:      func() reply { return c.overfillQueue("narrow") },
		classifier.QueueTimeout:   func() reply { return c.call(call{service: "nobody"}) },
		classifier.RateLimited:    func() reply { c.call(call{service: "rated"}); return c.call(call{service: "rated"}) },
		classifier.AnswerLost:     func() reply { return c.call(call{service: proof, header: fault(worker.FaultClose, 0, 0)}) },
		classifier.AnswerTruncated: func() reply {
			return c.call(call{service: proof, header: fault(worker.FaultUnframed, 0, 0)})
		},
		classifier.AnswerTimeout: func() reply { return c.call(call{service: proof, header: fault(worker.FaultSilent, 0, 0)}) },
		classifier.AnswerDropped: func() reply { return c.call(call{service: cut, path: "long", key: longAnswerKey}) },
		classifier.CallerGone:    c.endUploadEarly,
		classifier.NoLeader:      func() reply { return newEntryWithoutControl(t).sendDocument("POST", "/v1/tickets", "", ticket(1, "")) },
		classifier.ConnectFailed: func() reply { return c.call(call{service: "closed"}) },
		classifier.NoQuorum:      func() reply { return c.claimWithoutLeader(t) },
		classifier.Unconfirmed:   func() reply { return c.call(call{service: proof}) }, // follows NoQuorum
	}
	var order []classifier.Kind
	for _, kind := range classifier.Kinds() {
		switch {
		case unreachedKinds[kind] != "":
			assert.Assert(t, requests[kind] == nil, "%s is reached after all", kind)
		case requests[kind] == nil:
			t.Errorf("no way leads to %s", kind)
		case kind != classifier.NoQuorum && kind != classifier.Unconfirmed:
			order = append(order, kind)
		}
	}
	for _, kind := range append(order, classifier.NoQuorum, classifier.Unconfirmed) {
		got := requests[kind]()
		row := kind.Answer()
		title := fmt.Sprintf("%s: %d %s %v", kind, got.status, got.text, got.err)
		assert.Check(t, got.status == row.Status, title)
		if kind == classifier.None || kind == classifier.TicketConflict {
			continue // a document of its own
		}
		assert.Check(t, got.kind() == kind.String(), title)
		want := row.Outcome
		if kind == classifier.CallerGone {
			want = classifier.OutcomeNotRun // the whole body was awaited first
		}
		assert.Check(t, got.outcome() == want.String(), title)
		assert.Check(t, (got.header.Get("Retry-After") != "") == row.CallerMayRetry, title)
	}
}

// overfillQueue sends two requests to a service with a queue of one and returns
// the answer to the second.
func (c *cell) overfillQueue(name modeler.ServiceName) reply {
	first := make(chan reply)
	go func() { first <- c.call(call{service: name, path: "first"}) }()
	time.Sleep(200 * time.Millisecond)
	got := c.call(call{service: name, path: "second"})
	assert.Check(c.t, (<-first).kind() == "queue-timeout")
	return got
}

// endUploadEarly closes the sending side of the connection in the middle of a
// body.
func (c *cell) endUploadEarly() reply {
	r := c.dial()
	r.sendHead(proof, "early-end", 100, "")
	_, _ = io.WriteString(r, "half")
	_ = r.Conn.(interface{ CloseWrite() error }).CloseWrite()
	got := r.answer()
	r.expectClosed()
	assert.Check(c.t, c.runs("early-end") == 0)
	return got
}

// newEntryWithoutControl starts an entry process whose control process can't be
// reached.
func newEntryWithoutControl(t *testing.T) *cell {
	front, gone := listen(t), listen(t)
	gone.Close()
	c := &cell{t: t, front: front.Addr().String(), client: &http.Client{Timeout: 20 * time.Second}}
	entry := forwarder.New(forwarder.Settings{
		Entry: "alone", Controls: []string{gone.Addr().String()}, MaxBody: 1 << 20, MaxBuffered: 1 << 20, Report: quietReport("entry"), Listener: front,
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = entry.Run(t.Context())
	}()
	t.Cleanup(func() { <-ended })
	return c
}

// claimWithoutLeader claims a key while the link to the leader is open but
// carries nothing, which gives NoQuorum. Stopping the leader instead could give
// NoLeader as well, if the link were known to be lost before the claim is sent.
func (c *cell) claimWithoutLeader(t *testing.T) reply {
	c.path.cut()
	got := c.call(call{service: cut, path: "without", key: newKey()})
	assert.Check(t, c.runs("without") == 0)
	return got
}
