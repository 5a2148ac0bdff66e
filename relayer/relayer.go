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
	// callTimeout bounds a call to the leader whose caller names no time: callers
	// move on after a second without an answer.
	callTimeout = 900 * time.Millisecond
	// waitDivisor and maxWait bound a call whose caller names the time that it
	// waits: the call takes at most the caller's time divided by waitDivisor, so
	// that after a refusal the caller has time to go elsewhere, and at most
	// maxWait.
	waitDivisor = 2
	maxWait     = 1400 * time.Millisecond
	// electionWait is how long after the loss of the leader calls wait for a new
	// one: an election takes up to 1.1 s after the loss is noticed. Later calls
	// are refused at once.
	electionWait = 1500 * time.Millisecond
	// retryInterval is the time between two attempts while no change of the
	// leader is noticed.
	retryInterval = 50 * time.Millisecond
	// askMargin is added to the timeout of a question to the outside policy; a
	// question without an answer by then has failed.
	askMargin = time.Second
	// maxQuestions bounds the queued questions of one process; the policy service
	// answers one at a time for each process and refuses more than 32.
	maxQuestions = 4
)

// Settings configures a relayer.
type Settings struct {
	Name modeler.EntryID
	// Ask puts one question to the outside policy.
	Ask func(ctx context.Context, ask *modeler.PermitRequest) modeler.PermitAnswer
	// DeliverOrder delivers one order to a worker; nil if the process carries no orders.
	DeliverOrder func(ctx context.Context, o *modeler.Order) modeler.OrderAnswer
	// LinkAddress is the address on which a process that carries orders accepts
	// links.
	LinkAddress string
	// Connect, if set, opens the links instead of the network's dialer.
	Connect linker.Connect
	// Clock returns readings that count suspensions of the host; the time since
	// the relayer's creation by default.
	Clock  func() modeler.ClockReading
	Report *reporter.Reporter
}

// Relayer connects a process to the leader, for calls, questions and carried
// orders.
type Relayer struct {
	settings  Settings
	client    *follower.Client
	questions chan question
	start     time.Time
	// lostAt is when the leader was first found missing, in nanoseconds since
	// start; 0 while a leader is reached.
	lostAt atomic.Int64
	// counts has the metrics of each kind of call.
	counts       [modeler.LeaveCall + 1]callCounts
	permitCounts callCounts
	// ordersInFlight counts the orders that are being carried, and answers holds
	// the answers to send to the leader.
	ordersInFlight atomic.Int64
	answers        chan carriedAnswer
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

// question is a question for the outside policy, with the link over which the
// leader sent it.
type question struct {
	link *linker.Link
	ask  modeler.PermitRequest
}

// New returns a relayer without links.
func New(settings Settings) *Relayer {
	r := &Relayer{
		settings:  settings,
		questions: make(chan question, maxQuestions),
		answers:   make(chan carriedAnswer, maxCarriedOrders),
		start:     time.Now(),
	}
	if settings.Clock == nil {
		r.settings.Clock = func() modeler.ClockReading { return modeler.ClockReading(time.Since(r.start)) }
	}
	for kind := range r.counts {
		r.counts[kind] = newCallCounts(settings.Report, modeler.CallKind(kind).String())
	}
	r.permitCounts = newCallCounts(settings.Report, "permit")
	hello := modeler.Hello{Entry: settings.Name, Incarnation: modeler.Incarnation(time.Now().UnixNano())}
	if settings.DeliverOrder != nil {
		hello.CarrierAddress = settings.LinkAddress
	}
	r.client = follower.New(hello, follower.Hooks{
		LeaderUp: func(_ context.Context, term modeler.Term) {
			r.lostAt.Store(0)
			r.noteTerm(term)
			settings.Report.Info("leader reached", "term", term)
		},
		LeaderDown: func(_ context.Context, term modeler.Term) {
			settings.Report.Info("leader lost", "term", term, "outage", r.Outage().String())
		},
		Message: r.handleMessage,
		Connect: settings.Connect,
	})
	return r
}

// KeepLinks opens and keeps links to these control processes, and to those that they
// name.
func (r *Relayer) KeepLinks(ctx context.Context, addresses []string) {
	r.client.KeepLinks(ctx, addresses)
}

// SetSeeds is KeepLinks for addresses that replace those of its last call.
func (r *Relayer) SetSeeds(ctx context.Context, addresses []string) {
	r.client.SetSeeds(ctx, addresses)
}

// HasLeader reports whether there is a link to a leader.
func (r *Relayer) HasLeader() bool { return r.client.Leader() != nil }

// Run answers the leader's questions and sends the answers to carried orders
// until ctx ends.
func (r *Relayer) Run(ctx context.Context) error {
	go r.runAnswers(ctx)
	for {
		select {
		case q := <-r.questions:
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
	ctx, cancel := context.WithTimeout(ctx, ask.Timeout+askMargin)
	defer cancel()
	begun := time.Now()
	answer := r.settings.Ask(ctx, ask)
	answer.Step = ask.Step
	answer.Elapsed = time.Since(begun)
	r.permitCounts.time.UpdateDuration(begun)
	if answer.Failed {
		r.permitCounts.refused.Inc()
		r.settings.Report.Warn("the outside policy gave no answer", "request", ask.Step.Flow, "step", ask.Step.Step,
			"workers", len(ask.Workers), "took", answer.Elapsed.String())
	}
	return answer
}

func (r *Relayer) handleMessage(ctx context.Context, l *linker.Link, m *modeler.Message) {
	if m.Kind == modeler.CarriedOrdersMessage && r.settings.DeliverOrder != nil {
		r.carryOrders(ctx, l, m.CarriedOrders)
		return
	}
	if m.Kind != modeler.PermitRequestMessage || m.PermitRequest == nil {
		return
	}
	select {
	case r.questions <- question{link: l, ask: *m.PermitRequest}:
	default:
		l.Send(&modeler.Message{
			Kind:         modeler.PermitAnswerMessage,
			PermitAnswer: &modeler.PermitAnswer{Step: m.PermitRequest.Step, Failed: true},
		})
	}
}

// Call sends a call to the leader, and again if the leader changes meanwhile:
// every call may be repeated. The error's kind is NoLeader if the call was not
// carried out, and ProposalLost if it may have been.
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
	ctx, cancel := context.WithTimeout(ctx, timeLimit(call))
	defer cancel()
	maybeSent := false
	for {
		changed := r.client.LeaderChanged()
		reply, err := r.callOnce(ctx, call)
		switch classifier.KindOf(err) {
		case classifier.NoLeader:
		case classifier.ProposalLost:
			maybeSent = true
		default:
			if err != nil && maybeSent && mayHaveRun(call, err) {
				return nil, classifier.Wrap(classifier.ProposalLost, err, "an earlier leader may have carried out the call")
			}
			return reply, err
		}
		if !r.awaitLeader(ctx, changed) {
			break
		}
	}
	if maybeSent {
		return nil, classifier.New(classifier.ProposalLost, "the leader changed and none confirmed the call in time")
	}
	return nil, classifier.New(classifier.NoLeader, "no leader was found in time")
}

// Status returns the leader's status of the system as a JSON document.
func (r *Relayer) Status(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := r.client.Do(ctx, &modeler.Message{Kind: modeler.QueryMessage, Query: &modeler.Query{Kind: modeler.StatusQuery}})
	if err != nil {
		return nil, err
	}
	if m.QueryAnswer == nil {
		return nil, classifier.New(classifier.Internal, "the leader's answer is empty")
	}
	if result := &m.QueryAnswer.Result; result.Kind != classifier.None {
		return nil, classifier.New(result.Kind, "%s", result.Detail)
	}
	return m.QueryAnswer.Document, nil
}

// mayHaveRun reports whether a submission that was sent before may have been
// accepted, although its repeat was refused. Other calls either change nothing, or
// are refused only if the earlier one was refused too.
func mayHaveRun(call *modeler.Call, refusal error) bool {
	return call.Kind == modeler.SubmitCall && classifier.KindOf(refusal).Answer().Outcome == classifier.OutcomeNotRun
}

// timeLimit returns how long a call may take.
func timeLimit(call *modeler.Call) time.Duration {
	if call.Wait > 0 {
		return min(call.Wait/waitDivisor, maxWait)
	}
	return callTimeout
}

func (r *Relayer) callOnce(ctx context.Context, call *modeler.Call) (*modeler.Reply, error) {
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

// awaitLeader waits for a change of the leader or for the next attempt, while
// an election is likely to be under way. It reports false if that has taken too
// long.
func (r *Relayer) awaitLeader(ctx context.Context, changed <-chan struct{}) bool {
	remaining := electionWait - r.Outage()
	if remaining <= 0 {
		return false
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	retry := time.NewTimer(retryInterval)
	defer retry.Stop()
	select {
	case <-changed:
		return true
	case <-retry.C:
		// The leader may have been reached between the attempt and the wait, or a
		// member that does not lead may have answered.
		return ctx.Err() == nil
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Outage returns how long no leader has been reached, or 0 if one is.
func (r *Relayer) Outage() time.Duration {
	if r.HasLeader() {
		r.lostAt.Store(0)
		return 0
	}
	now := int64(time.Since(r.start)) + 1
	if r.lostAt.CompareAndSwap(0, now) {
		return 0
	}
	return time.Duration(now - r.lostAt.Load())
}
