package relayer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/follower"
	"goldcreststack.example/goldcreststack/linker"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
)

const (
	// callTimeout bounds a call to the leader: callers move on after a second
	// without an answer.
	callTimeout = 900 * time.Millisecond
	// waitParts and waitMax bound a caller's call: less than half of the time
	// that the caller has, so that a refusal leaves it time to go elsewhere.
	waitParts = 2
	waitMax   = 1400 * time.Millisecond
	// electionTime is how long calls wait for a new leader: an election takes
	// up to 1.1 s after the loss was noticed. Later ones are refused at once.
	electionTime = 1500 * time.Millisecond
	// tryAgain is the time between two tries while no change is noticed.
	tryAgain = 50 * time.Millisecond
	// askSlack is added to the time that a question to the outside policy
	// should take; beyond both the answer is given up.
	askSlack = time.Second
	// asksAtOnce bounds the questions of one process; the policy service
	// answers one at a time for each process and refuses above 32.
	asksAtOnce = 4
)

// Settings configure a relayer.
type Settings struct {
	Name modeler.EntryID
	// Ask puts one question to the outside policy.
	Ask func(ctx context.Context, ask *modeler.PermitRequest) modeler.PermitAnswer
	// Carry carries out one order to a worker; nil if the process carries none.
	Carry func(ctx context.Context, o *modeler.Order) modeler.OrderAnswer
	// Carries is where a process that carries orders accepts links.
	Carries string
	// Clock returns readings that count suspensions of the host; the time since
	// the relayer's creation by default.
	Clock  func() modeler.ClockReading
	Report *reporter.Reporter
}

// Relayer is a process's way to the leader.
type Relayer struct {
	settings Settings
	client   *follower.Client
	asks     chan question
	start    time.Time
	// lost is when the leader was first missed, in nanoseconds since start; 0
	// while it is reached.
	lost atomic.Int64
	// counts are kept for each kind of call.
	counts [modeler.JoinCall + 1]callCounts
	asked  callCounts
	// carrying counts the orders that are carried now, and answers holds those
	// that go back to the leader.
	carrying atomic.Int64
	answers  chan carriedAnswer
	// term is the highest term of a leader that was reached.
	term atomic.Uint64
}

// callCounts are the metrics of one kind of call.
type callCounts struct {
	time    *metrics.Histogram
	refused *metrics.Counter
}

func newCallCounts(report *reporter.Reporter, kind string) callCounts {
	label := reporter.Label{Name: "kind", Value: kind}
	return callCounts{
		time:    report.Histogram("call_seconds", label),
		refused: report.Counter("calls_failed_total", label),
	}
}

// question is one that the leader has sent over a link.
type question struct {
	link *linker.Link
	ask  modeler.PermitRequest
}

// New returns a relayer without links.
func New(settings Settings) *Relayer {
	r := &Relayer{
		settings: settings,
		asks:     make(chan question, asksAtOnce),
		answers:  make(chan carriedAnswer, carryMost),
		start:    time.Now(),
	}
	if settings.Clock == nil {
		r.settings.Clock = func() modeler.ClockReading { return modeler.ClockReading(time.Since(r.start)) }
	}
	for kind := range r.counts {
		r.counts[kind] = newCallCounts(settings.Report, modeler.CallKind(kind).String())
	}
	r.asked = newCallCounts(settings.Report, "permit")
	hello := modeler.Hello{Entry: settings.Name, Incarnation: modeler.Incarnation(time.Now().UnixNano())}
	if settings.Carry != nil {
		hello.CarrierAddress = settings.Carries
	}
	r.client = follower.New(hello, follower.Seams{
		LeaderUp: func(_ context.Context, term modeler.Term) {
			r.lost.Store(0)
			r.noteTerm(term)
			settings.Report.Info("leader reached", "term", term)
		},
		LeaderDown: func(_ context.Context, term modeler.Term) {
			settings.Report.Info("leader lost", "term", term, "outage", r.Outage().String())
		},
		Message: r.receive,
	})
	return r
}

// Keep keeps links to these control processes, and to those that they name.
func (r *Relayer) Keep(ctx context.Context, addresses []string) { r.client.Keep(ctx, addresses) }

// Reached reports whether there is a link to a leader.
func (r *Relayer) Reached() bool { return r.client.Leader() != nil }

// Run answers the leader's questions and orders until ctx ends.
func (r *Relayer) Run(ctx context.Context) error {
	go r.runAnswers(ctx)
	for {
		select {
		case q := <-r.asks:
			answer := r.ask(ctx, &q.ask)
			q.link.Send(&modeler.Message{Kind: modeler.PermitAnswerMessage, PermitAnswer: &answer})
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Relayer) ask(ctx context.Context, ask *modeler.PermitRequest) modeler.PermitAnswer {
	if r.settings.Ask == nil {
		return modeler.PermitAnswer{Step: ask.Step, Failed: true}
	}
	ctx, cancel := context.WithTimeout(ctx, ask.Timeout+askSlack)
	defer cancel()
	begun := time.Now()
	answer := r.settings.Ask(ctx, ask)
	answer.Step = ask.Step
	answer.Elapsed = time.Since(begun)
	r.asked.time.UpdateDuration(begun)
	if answer.Failed {
		r.asked.refused.Inc()
		r.settings.Report.Warn("the outside policy gave no answer", "request", ask.Step.Flow, "step", ask.Step.Step,
			"workers", len(ask.Workers), "took", answer.Elapsed.String())
	}
	return answer
}

func (r *Relayer) receive(ctx context.Context, l *linker.Link, m *modeler.Message) {
	if m.Kind == modeler.CarriedOrdersMessage && r.settings.Carry != nil {
		r.carry(ctx, l, m.CarriedOrders)
		return
	}
	if m.Kind != modeler.PermitRequestMessage || m.PermitRequest == nil {
		return
	}
	select {
	case r.asks <- question{link: l, ask: *m.PermitRequest}:
	default:
		l.Send(&modeler.Message{
			Kind:         modeler.PermitAnswerMessage,
			PermitAnswer: &modeler.PermitAnswer{Step: m.PermitRequest.Step, Failed: true},
		})
	}
}

// Call asks the leader, and asks again where the leader changes meanwhile:
// every call may be repeated. The error's kind is NoLeader if nothing was
// carried out, and ProposalLost if that is not certain.
func (r *Relayer) Call(ctx context.Context, call *modeler.Call) (*modeler.Reply, error) {
	begun := time.Now()
	reply, err := r.call(ctx, call)
	if int(call.Kind) < len(r.counts) {
		count := &r.counts[call.Kind]
		count.time.UpdateDuration(begun)
		if err != nil {
			count.refused.Inc()
		}
	}
	return reply, err
}

func (r *Relayer) call(ctx context.Context, call *modeler.Call) (*modeler.Reply, error) {
	if call.Kind == modeler.SubmitCall && r.client.Refuses() {
		return nil, classifier.New(classifier.QueueFull, "the leader is behind with its work")
	}
	ctx, cancel := context.WithTimeout(ctx, patience(call))
	defer cancel()
	sent := false
	for {
		changed := r.client.Changed()
		reply, err := r.try(ctx, call)
		switch classifier.KindOf(err) {
		case classifier.NoLeader:
		case classifier.ProposalLost:
			sent = true
		default:
			return reply, err
		}
		if !r.await(ctx, changed) {
			break
		}
	}
	if sent {
		return nil, classifier.New(classifier.ProposalLost, "the leader changed and none confirmed the call in time")
	}
	return nil, classifier.New(classifier.NoLeader, "no leader was found in time")
}

// patience is how long a call may take.
func patience(call *modeler.Call) time.Duration {
	if call.Wait > 0 {
		return min(call.Wait/waitParts, waitMax)
	}
	return callTimeout
}

func (r *Relayer) try(ctx context.Context, call *modeler.Call) (*modeler.Reply, error) {
	m, err := r.client.Do(ctx, &modeler.Message{Kind: modeler.CallMessage, Call: call})
	if err != nil {
		return nil, err
	}
	if m.Reply == nil {
		return nil, classifier.New(classifier.Internal, "the leader's reply is empty")
	}
	if kind := m.Reply.Result.Kind; kind != classifier.None {
		return m.Reply, classifier.New(kind, "%s", m.Reply.Result.Detail)
	}
	return m.Reply, nil
}

// await waits for another leader while an election is likely to be under way.
// It reports false when that takes too long.
func (r *Relayer) await(ctx context.Context, changed <-chan struct{}) bool {
	rest := electionTime - r.Outage()
	if rest <= 0 {
		return false
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	again := time.NewTimer(tryAgain)
	defer again.Stop()
	select {
	case <-changed:
		return true
	case <-again.C:
		// The leader may have been reached between the try and the wait, or
		// a follower may have answered in its place.
		return ctx.Err() == nil
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Outage returns how long no leader has been reached.
func (r *Relayer) Outage() time.Duration {
	if r.Reached() {
		r.lost.Store(0)
		return 0
	}
	now := int64(time.Since(r.start)) + 1
	if r.lost.CompareAndSwap(0, now) {
		return 0
	}
	return time.Duration(now - r.lost.Load())
}
