package relayer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/relayer"
	"goldcreststack.example/goldcreststack/reporter"
)

// member is a simulated control process.
type member struct {
	address string
	mu      sync.Mutex
	hello   modeler.Hello
	links   []*linker.Link
	// answer returns the reply to a message, or nil to send none.
	answer func(*modeler.Message) *modeler.Message
	calls  int
}

func newMember(t *testing.T, id modeler.MemberID) *member {
	m := &member{hello: modeler.Hello{Member: id}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The link is stored before the hello says who leads, because a test uses
		// the link as soon as it has seen the leader.
		l, err := linker.Accept(w, r, modeler.Hello{Member: id})
		if err != nil {
			return
		}
		m.mu.Lock()
		m.links = append(m.links, l)
		hello := m.hello
		l.Send(&modeler.Message{Kind: modeler.HelloMessage, Hello: &hello})
		m.mu.Unlock()
		for message := range l.Receive() {
			m.mu.Lock()
			m.calls++
			answer := m.answer
			m.mu.Unlock()
			if reply := answer(message); reply != nil {
				reply.Sequence = message.Sequence
				l.Send(reply)
			}
		}
	}))
	t.Cleanup(func() {
		m.closeLinks()
		server.Close()
	})
	m.address = strings.TrimPrefix(server.URL, "http://")
	return m
}

// link returns the first link that was accepted.
func (m *member) link(t *testing.T) *linker.Link {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.Assert(t, len(m.links) > 0)
	return m.links[0]
}

func (m *member) closeLinks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.Close()
	}
	m.links = nil
}

// setLeading sets whether the member leads, and sends a hello over its links.
func (m *member) setLeading(term modeler.Term, leads bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hello.Term, m.hello.IsLeader = term, leads
	hello := m.hello
	for _, l := range m.links {
		l.Send(&modeler.Message{Kind: modeler.HelloMessage, Hello: &hello})
	}
}

func replyWith(r modeler.Reply) func(*modeler.Message) *modeler.Message {
	return func(*modeler.Message) *modeler.Message {
		return &modeler.Message{Kind: modeler.ReplyMessage, Reply: &r}
	}
}

func newRelayer(t *testing.T, ask func(context.Context, *modeler.PermitRequest) modeler.PermitAnswer, members ...*member) *relayer.Relayer {
	r := relayer.New(relayer.Settings{Name: "e", Ask: ask, Report: reporter.New(reporter.Options{Role: "entry", Name: "e", Out: io.Discard})})
	for _, m := range members {
		r.KeepLinks(t.Context(), []string{m.address})
	}
	go func() { _ = r.Run(t.Context()) }()
	return r
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 300 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s did not happen", what)
}

var submit = &modeler.Call{Kind: modeler.SubmitCall, Wait: 3 * time.Second}

// Guards against a call that fails when the leader changes, so that the caller
// has to retry it.
func TestNextLeaderIsAsked(t *testing.T) {
	first, second := newMember(t, 1), newMember(t, 2)
	first.answer = func(*modeler.Message) *modeler.Message { return nil }
	second.answer = replyWith(modeler.Reply{State: modeler.FlowRunning})
	r := newRelayer(t, nil, first, second)
	first.setLeading(1, true)
	waitFor(t, "the first leader", r.HasLeader)
	time.AfterFunc(200*time.Millisecond, func() { second.setLeading(2, true) })
	reply, err := r.Call(t.Context(), submit)
	assert.NilError(t, err)
	assert.Equal(t, reply.State, modeler.FlowRunning)
}

// Guards against an answer of "not run" to a call that a leader may have
// carried out: the link is lost before the reply.
func TestLostCallIsNotReportedAsNotRun(t *testing.T) {
	m := newMember(t, 1)
	m.answer = func(*modeler.Message) *modeler.Message {
		go m.closeLinks()
		return nil
	}
	r := newRelayer(t, nil, m)
	m.setLeading(1, true)
	waitFor(t, "the leader", r.HasLeader)
	_, err := r.Call(t.Context(), submit)
	assert.Equal(t, classifier.KindOf(err), classifier.ProposalLost)
}

// Guards against an answer of "not run" to a submission that a leader may have
// accepted before the link was lost, when the leader refuses its repeat.
func TestRefusedRepeatIsNotReportedAsNotRun(t *testing.T) {
	for _, kind := range []classifier.Kind{classifier.QueueFull, classifier.UnknownService, classifier.StorageFull, classifier.Unauthorized, classifier.RateLimited} {
		first, second := newMember(t, 1), newMember(t, 2)
		first.answer = func(*modeler.Message) *modeler.Message {
			second.setLeading(2, true)
			return nil
		}
		second.answer = replyWith(modeler.Reply{Result: modeler.Result{Kind: kind}})
		r := newRelayer(t, nil, first, second)
		first.setLeading(1, true)
		waitFor(t, "the first leader", r.HasLeader)
		_, err := r.Call(t.Context(), submit)
		assert.Equal(t, classifier.KindOf(err).Answer().Outcome, classifier.OutcomeUnknown, kind.String())
	}
}

// Guards against calls that wait long although no leader has been reached for
// some time, and against an error of another kind than NoLeader.
func TestRefusedWithoutLeader(t *testing.T) {
	m := newMember(t, 1)
	m.answer = replyWith(modeler.Reply{Result: modeler.Result{Kind: classifier.NoLeader}})
	r := newRelayer(t, nil, m)
	_, err := r.Call(t.Context(), submit)
	assert.Equal(t, classifier.KindOf(err), classifier.NoLeader)
	waitFor(t, "a long outage", func() bool { return r.Outage() > 1600*time.Millisecond })
	begun := time.Now()
	_, err = r.Call(t.Context(), submit)
	assert.Equal(t, classifier.KindOf(err), classifier.NoLeader)
	assert.Assert(t, time.Since(begun) < 500*time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.Equal(t, m.calls, 0)
}

// Guards against an entry host that serves a revoked key because it was cut off when the
// key was revoked, or lets the caller wait: it answers that the call was not run within
// the time that an election takes, and asks the leader again once it is reached.
func TestEntryCutOffAcrossRevocation(t *testing.T) {
	var revoked atomic.Bool
	m := newMember(t, 1)
	m.answer = func(message *modeler.Message) *modeler.Message {
		if message.Call != nil && message.Call.Key != nil && !revoked.Load() {
			return replyWith(modeler.Reply{})(message)
		}
		return replyWith(modeler.Reply{Result: modeler.Result{Kind: classifier.Unauthorized}})(message)
	}
	r := newRelayer(t, nil, m)
	m.setLeading(1, true)
	waitFor(t, "the leader", r.HasLeader)
	call := *submit
	call.Key = &modeler.KeyDigest{1}
	_, err := r.Call(t.Context(), &call)
	assert.NilError(t, err)
	m.mu.Lock()
	m.hello.IsLeader = false
	m.mu.Unlock()
	m.closeLinks()
	waitFor(t, "the cut", func() bool { return !r.HasLeader() })
	revoked.Store(true)
	begun := time.Now()
	_, err = r.Call(t.Context(), &call)
	assert.Equal(t, classifier.KindOf(err), classifier.NoLeader)
	assert.Equal(t, classifier.KindOf(err).Answer().Outcome, classifier.OutcomeNotRun)
	assert.Assert(t, time.Since(begun) < 1600*time.Millisecond, "the caller has waited for %v", time.Since(begun))
	m.setLeading(1, true)
	waitFor(t, "the leader", r.HasLeader)
	_, err = r.Call(t.Context(), &call)
	assert.Equal(t, classifier.KindOf(err), classifier.Unauthorized)
}

// Guards against a refusal by the leader that is reported as a lost call.
func TestRefusalOfTheLeader(t *testing.T) {
	m := newMember(t, 1)
	m.answer = replyWith(modeler.Reply{Result: modeler.Result{Kind: classifier.UnknownJob}})
	r := newRelayer(t, nil, m)
	m.setLeading(1, true)
	waitFor(t, "the leader", r.HasLeader)
	_, err := r.Call(t.Context(), submit)
	assert.Equal(t, classifier.KindOf(err), classifier.UnknownJob)
}

// Guards against questions to the outside policy that get no answer, also when
// more arrive than the process can take.
func TestQuestionsAreAnswered(t *testing.T) {
	m := newMember(t, 1)
	answers := make(chan *modeler.PermitAnswer, 16)
	m.answer = func(message *modeler.Message) *modeler.Message {
		if message.Kind == modeler.PermitAnswerMessage {
			answers <- message.PermitAnswer
		}
		return nil
	}
	block := make(chan struct{})
	r := newRelayer(t, func(ctx context.Context, _ *modeler.PermitRequest) modeler.PermitAnswer {
		select {
		case <-block:
		case <-ctx.Done():
		}
		return modeler.PermitAnswer{Allowed: []modeler.PermitGrant{{Worker: "w", Permit: "p"}}}
	}, m)
	m.setLeading(1, true)
	waitFor(t, "the leader", r.HasLeader)
	link := m.link(t)
	for i := range 8 {
		link.Send(&modeler.Message{Kind: modeler.PermitRequestMessage, PermitRequest: &modeler.PermitRequest{Step: modeler.StepKey{Step: modeler.StepIndex(i)}}})
	}
	waitFor(t, "refusals beyond the bound", func() bool { return len(answers) >= 2 })
	assert.Assert(t, (<-answers).Failed)
	close(block)
	waitFor(t, "answers", func() bool { return len(answers) >= 6 })
}

// Guards against carried orders that are sent too late, or for a leader that
// has been replaced: the answer must say that they were not sent, or that they
// are stale.
func TestCarriedOrders(t *testing.T) {
	m := newMember(t, 1)
	answers := make(chan modeler.CarriedAnswer, 16)
	m.answer = func(message *modeler.Message) *modeler.Message {
		for _, a := range message.CarriedAnswers {
			answers <- a
		}
		return nil
	}
	var mu sync.Mutex
	var now modeler.ClockReading
	var sent []modeler.WorkerID
	r := relayer.New(relayer.Settings{
		Name:        "control-2",
		LinkAddress: "127.0.0.1:1",
		DeliverOrder: func(_ context.Context, o *modeler.Order) modeler.OrderAnswer {
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, o.Worker)
			return modeler.OrderAnswer{Outcome: modeler.OrderAccepted, Clock: 42}
		},
		Clock: func() modeler.ClockReading {
			mu.Lock()
			defer mu.Unlock()
			// Each reading of the clock is 300 ms later than the one before.
			now = now.Add(300 * time.Millisecond)
			return now
		},
		Report: reporter.New(reporter.Options{Role: "control", Name: "control-2", Out: io.Discard}),
	})
	m.setLeading(5, true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = r.Run(ctx) }()
	r.KeepLinks(ctx, []string{m.address})
	waitFor(t, "the leader", r.HasLeader)
	carry := func(o modeler.Order) modeler.OrderAnswer {
		link := m.link(t)
		assert.Equal(t, link.Peer.CarrierAddress, "127.0.0.1:1")
		link.Send(&modeler.Message{Kind: modeler.CarriedOrdersMessage, CarriedOrders: []modeler.CarriedOrder{{Number: 9, Order: o}}})
		select {
		case a := <-answers:
			assert.Equal(t, a.Number, modeler.Sequence(9))
			return a.Answer
		case <-time.After(3 * time.Second):
			t.Fatal("the order got no answer")
			return modeler.OrderAnswer{}
		}
	}
	term5, term4 := modeler.NewFencingToken(5, 7), modeler.NewFencingToken(4, 8)
	a := carry(modeler.Order{Worker: "w1", Fence: term5, Timeout: 400 * time.Millisecond})
	assert.Equal(t, a.Outcome, modeler.OrderAccepted)
	assert.Equal(t, a.Clock, modeler.WorkerClock(42))
	// The order has waited for 300 ms, which is longer than its timeout.
	assert.Equal(t, carry(modeler.Order{Worker: "w2", Fence: term5, Timeout: 200 * time.Millisecond}).Outcome, modeler.OrderUnsent)
	// A leader of a later term has been reached.
	assert.Equal(t, carry(modeler.Order{Worker: "w3", Fence: term4, Timeout: 400 * time.Millisecond}).Outcome, modeler.OrderStale)
	// The token of an earlier build is the term.
	assert.Equal(t, carry(modeler.Order{Worker: "w4", Fence: 5, Timeout: 400 * time.Millisecond}).Outcome, modeler.OrderAccepted)
	assert.DeepEqual(t, sent, []modeler.WorkerID{"w1", "w4"})
}

// Guards against submissions that wait for an overloaded leader: they must be
// refused at once, without a message to the leader.
func TestOverloadedLeaderIsNotAsked(t *testing.T) {
	m := newMember(t, 1)
	m.answer = func(*modeler.Message) *modeler.Message {
		return &modeler.Message{Kind: modeler.ReplyMessage, Reply: &modeler.Reply{}}
	}
	r := relayer.New(relayer.Settings{Name: "e", Report: reporter.New(reporter.Options{Role: "entry", Name: "e", Out: io.Discard})})
	m.mu.Lock()
	m.hello.RefusesFlows = true
	m.mu.Unlock()
	m.setLeading(5, true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r.KeepLinks(ctx, []string{m.address})
	waitFor(t, "the leader", r.HasLeader)
	_, err := r.Call(ctx, &modeler.Call{Kind: modeler.SubmitCall, Wait: 3 * time.Second})
	assert.Equal(t, classifier.KindOf(err), classifier.QueueFull)
	assert.Equal(t, classifier.KindOf(err).Answer().Outcome, classifier.OutcomeNotRun)
	m.mu.Lock()
	assert.Equal(t, m.calls, 0)
	m.mu.Unlock()
	// Calls about accepted flows are still answered.
	_, err = r.Call(ctx, &modeler.Call{Kind: modeler.StateCall, Wait: 3 * time.Second})
	assert.NilError(t, err)
}

// Guards against dials for good to the addresses of members that have left the group.
func TestDepartedMemberIsNotDialled(t *testing.T) {
	departed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer departed.Close()
	var dials atomic.Int64
	go func() {
		for {
			conn, err := departed.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			_ = conn.Close()
		}
	}()
	m := newMember(t, 1)
	m.hello.Members = []string{m.address, departed.Addr().String()}
	r := newRelayer(t, nil, m)
	m.setLeading(1, true)
	waitFor(t, "a dial to the member", func() bool { return r.HasLeader() && dials.Load() > 0 })
	m.mu.Lock()
	m.hello.Members = m.hello.Members[:1]
	m.mu.Unlock()
	m.setLeading(1, true)
	time.Sleep(10 * time.Second)
	before := dials.Load()
	time.Sleep(3 * time.Second)
	assert.Equal(t, dials.Load(), before)
}
