package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// Limits of a client; a leader is replaced within about 2 s.
const (
	// DefaultTimeout is above the 8 s for which an entry host waits for a
	// leader; a client that gives up sooner takes a refusal for a lost answer.
	DefaultTimeout  = 10 * time.Second
	DefaultPatience = 15 * time.Second
	// pause separates two rounds through the entry hosts.
	pause = 250 * time.Millisecond
	// maxAnswer bounds what is read of an answer; a dump has at most 1 MiB
	// of bodies.
	maxAnswer = 8 << 20
)

// Options adjust a client.
type Options struct {
	// Entries are the addresses of entry hosts, tried in this order.
	Entries []string
	// Timeout bounds one attempt.
	Timeout time.Duration
	// Patience bounds the rounds through the entry hosts while none of them
	// can serve; a negative value allows one round.
	Patience time.Duration
	// Transport replaces the HTTP transport, for tests.
	Transport http.RoundTripper
}

// Client sends operators' verbs.
type Client struct {
	entries  []string
	timeout  time.Duration
	patience time.Duration
	http     http.Client
}

// New returns a client after a check of the addresses.
func New(options Options) (*Client, error) {
	if len(options.Entries) == 0 {
		return nil, errors.New("no address of an entry host is given")
	}
	for _, address := range options.Entries {
		if !isAddress(address) {
			return nil, errors.New(notAddress(address))
		}
	}
	c := &Client{entries: options.Entries, timeout: options.Timeout, patience: options.Patience}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if c.patience == 0 {
		c.patience = DefaultPatience
	}
	c.http.Transport = options.Transport
	if options.Transport == nil {
		// A fresh connection for each attempt: the transport never sends a
		// request again by itself, and a failed dial means nothing was sent.
		c.http.Transport = &http.Transport{DisableKeepAlives: true}
	}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

func isAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}

func notAddress(address string) string {
	return fmt.Sprintf("%q is not an IP address with a port, such as 192.0.2.1:8080", address)
}

// call is one request that any entry host, or one alone, can serve.
type call struct {
	method string
	path   string
	body   []byte
	// key is sent as the idempotency key.
	key string
	// read decodes and checks the body of a success.
	read func(body []byte) error
	// question says that the call changes nothing, so that a lost answer
	// leaves nothing unknown.
	question bool
}

// verdict is what one attempt has shown.
type verdict int

const (
	succeeded verdict = iota
	refused
	conflicted
	// notDone: nothing has happened, another host may do it.
	notDone
	// lost: it may or may not have happened.
	lost
)

// send makes attempts until one is decisive or patience runs out. The
// returned report has no answer yet.
func (c *Client) send(ctx context.Context, what call) Report {
	var report Report
	unknown := ""
	end := time.Now().Add(c.patience)
	for {
		for _, address := range c.entries {
			seen, problem := c.attempt(ctx, address, what)
			if seen == lost && what.question {
				seen = notDone
				if problem.Kind == classifier.TicketForgotten.String() {
					// No other host knows more.
					seen = refused
				}
			}
			report.Host, report.Error = address, problem
			switch seen {
			case succeeded:
				report.Code = Done
				if unknown != "" {
					report.note("the answer of %s was lost and the request was sent again to %s", unknown, address)
				}
				return report
			case conflicted:
				report.Code = Conflict
				return report
			case refused:
				return report.refuse(unknown)
			case lost:
				report.note("%s: %s; the outcome is unknown", address, problem.Detail)
				unknown = address
			default:
				report.note("%s: %s: %s", address, problem.Kind, problem.Detail)
			}
			if ctx.Err() != nil {
				return report.giveUp(unknown)
			}
		}
		if time.Now().Add(pause).After(end) || !sleep(ctx, pause) {
			return report.giveUp(unknown)
		}
	}
}

func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the request once to one host.
func (c *Client) attempt(ctx context.Context, address string, what call) (verdict, *modeler.ErrorAnswer) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), what.method, "http://"+address+what.path, bytes.NewReader(what.body))
	if err != nil {
		return refused, failure(classifier.Malformed, err)
	}
	if what.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if what.key != "" {
		request.Header.Set("Idempotency-Key", what.key)
	}
	answer, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return notDone, failure(classifier.ConnectFailed, err)
	}
	if err != nil {
		return lost, failure(classifier.AnswerLost, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = fmt.Errorf("the answer is longer than %d bytes", maxAnswer)
	}
	if err != nil {
		return lost, failure(classifier.AnswerLost, err)
	}
	if answer.StatusCode/100 != 2 {
		return judge(answer.StatusCode, body)
	}
	if err := what.read(body); err != nil {
		return lost, failure(classifier.AnswerLost, fmt.Errorf("the answer can't be used: %w", err))
	}
	return succeeded, nil
}

func failure(kind classifier.Kind, err error) *modeler.ErrorAnswer {
	return &modeler.ErrorAnswer{Kind: kind.String(), Outcome: kind.Answer().Outcome.String(), Detail: err.Error()}
}

// judge reads an error answer.
func judge(status int, body []byte) (verdict, *modeler.ErrorAnswer) {
	problem := &modeler.ErrorAnswer{}
	if err := json.Unmarshal(body, problem); err != nil || problem.Kind == "" {
		// It comes from something between here and the entry host.
		detail := fmt.Errorf("status %d without a known error body", status)
		if status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
			return lost, failure(classifier.AnswerLost, detail)
		}
		return lost, failure(classifier.Internal, detail)
	}
	kind := kindOf(problem.Kind)
	row := kind.Answer()
	switch {
	case kind == classifier.TicketConflict || kind == classifier.TicketStale:
		return conflicted, problem
	case problem.Outcome != classifier.OutcomeNotRun.String():
		return lost, problem
	case kind == classifier.None:
		// A newer server's kind: the outcome says that nothing happened.
		return refused, problem
	case row.CallerMayRetry:
		return notDone, problem
	default:
		return refused, problem
	}
}

// kindOf returns the kind of that name, or None for an unknown one.
func kindOf(name string) classifier.Kind {
	for _, kind := range classifier.Kinds() {
		if kind.String() == name {
			return kind
		}
	}
	return classifier.None
}
