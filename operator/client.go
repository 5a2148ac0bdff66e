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

// Time and size limits of a client. A new leader is elected within about 2 s.
const (
	// DefaultTimeout bounds one attempt. It is above the 8 s for which an
	// entry host waits for a leader; a client that gives up sooner mistakes a
	// refusal for a lost answer.
	DefaultTimeout = 10 * time.Second
	// DefaultPatience bounds the retries while no entry host can serve.
	DefaultPatience = 15 * time.Second
	// pollInterval is the time between two rounds through the entry hosts and
	// between two polls for a result.
	pollInterval = 250 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer; a state dump has at most
	// 1 MiB of bodies.
	maxAnswerBytes = 8 << 20
)

// Options configure a client.
type Options struct {
	// Entries are the addresses of entry hosts, tried in this order.
	Entries []string
	// AttemptTimeout bounds one attempt; 0 means DefaultTimeout.
	AttemptTimeout time.Duration
	// Patience bounds the time of the rounds through the entry hosts while
	// none of them can serve. A negative value allows one round, and 0 means
	// DefaultPatience.
	Patience time.Duration
	// Transport replaces the HTTP transport in tests.
	Transport http.RoundTripper
}

// Client sends operators' commands to entry hosts.
type Client struct {
	entries  []string
	timeout  time.Duration
	patience time.Duration
	http     http.Client
}

// New returns a client, or an error if an entry address is missing or invalid.
func New(options Options) (*Client, error) {
	if len(options.Entries) == 0 {
		return nil, errors.New("no address of an entry host is given")
	}
	for _, address := range options.Entries {
		if !isValidAddress(address) {
			return nil, errors.New(invalidAddressText(address))
		}
	}
	c := &Client{entries: options.Entries, timeout: options.AttemptTimeout, patience: options.Patience}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if c.patience == 0 {
		c.patience = DefaultPatience
	}
	c.http.Transport = options.Transport
	if options.Transport == nil {
		// Each attempt uses a new connection, so that the transport never
		// resends a request by itself, and a failed dial means that nothing
		// was sent.
		c.http.Transport = &http.Transport{DisableKeepAlives: true}
	}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

func isValidAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}

func invalidAddressText(address string) string {
	return fmt.Sprintf("%q is not an IP address with a port, such as 192.0.2.1:8080", address)
}

// operation is one request to an entry host.
type operation struct {
	method string
	path   string
	body   []byte
	// key is sent as the idempotency key.
	key string
	// decode decodes and checks the body of a success.
	decode func(body []byte) error
	// readOnly says that the request changes no state, so that the outcome
	// is known even if its answer is lost.
	readOnly bool
}

// attemptResult is the result of one attempt.
type attemptResult int

const (
	succeeded attemptResult = iota
	refused
	conflicted
	// notExecuted: the request had no effect, and another host may execute it.
	notExecuted
	// outcomeUnknown: the request may or may not have taken effect.
	outcomeUnknown
)

// send tries the entry hosts in turn until one gives a final result or the
// patience is used up. The returned report has no answer yet.
func (c *Client) send(ctx context.Context, op operation) Report {
	var report Report
	unansweredHost := ""
	deadline := time.Now().Add(c.patience)
	for {
		for _, address := range c.entries {
			result, errorAnswer := c.attempt(ctx, address, op)
			if result == outcomeUnknown && op.readOnly {
				result = notExecuted
				if errorAnswer.Kind == classifier.TicketForgotten.String() {
					// No other host knows the outcome of a forgotten ticket.
					result = refused
				}
			}
			report.Host, report.Error = address, errorAnswer
			switch result {
			case succeeded:
				report.Code = Done
				if unansweredHost != "" {
					report.addNote("the answer of %s was lost and the request was sent again to %s", unansweredHost, address)
				}
				return report
			case conflicted:
				report.Code = Conflict
				return report
			case refused:
				return report.asRefused(unansweredHost)
			case outcomeUnknown:
				report.addNote("%s: %s; the outcome is unknown", address, errorAnswer.Detail)
				unansweredHost = address
			default:
				report.addNote("%s: %s: %s", address, errorAnswer.Kind, errorAnswer.Detail)
			}
			if ctx.Err() != nil {
				return report.asUnreachable(unansweredHost)
			}
		}
		if time.Now().Add(pollInterval).After(deadline) || !sleepContext(ctx, pollInterval) {
			return report.asUnreachable(unansweredHost)
		}
	}
}

// sleepContext waits for the delay. It returns false if ctx is done first.
func sleepContext(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the operation once to one host.
func (c *Client) attempt(ctx context.Context, address string, op operation) (attemptResult, *modeler.ErrorAnswer) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), op.method, "http://"+address+op.path, bytes.NewReader(op.body))
	if err != nil {
		return refused, newErrorAnswer(classifier.Malformed, err)
	}
	if op.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if op.key != "" {
		request.Header.Set("Idempotency-Key", op.key)
	}
	answer, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return notExecuted, newErrorAnswer(classifier.ConnectFailed, err)
	}
	if err != nil {
		return outcomeUnknown, newErrorAnswer(classifier.AnswerLost, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("the answer is longer than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return outcomeUnknown, newErrorAnswer(classifier.AnswerLost, err)
	}
	if answer.StatusCode/100 != 2 {
		return classifyErrorAnswer(answer.StatusCode, body)
	}
	if err := op.decode(body); err != nil {
		return outcomeUnknown, newErrorAnswer(classifier.AnswerLost, fmt.Errorf("the answer can't be used: %w", err))
	}
	return succeeded, nil
}

// newErrorAnswer returns the error answer for a failure found by the client.
func newErrorAnswer(kind classifier.Kind, err error) *modeler.ErrorAnswer {
	return &modeler.ErrorAnswer{Kind: kind.String(), Outcome: kind.Answer().Outcome.String(), Detail: err.Error()}
}

// classifyErrorAnswer derives the result of an attempt from the status and body
// of an error answer.
func classifyErrorAnswer(status int, body []byte) (attemptResult, *modeler.ErrorAnswer) {
	errorAnswer := &modeler.ErrorAnswer{}
	if err := json.Unmarshal(body, errorAnswer); err != nil || errorAnswer.Kind == "" {
		// The answer comes from something between the client and the entry host,
		// such as a proxy.
		detail := fmt.Errorf("status %d without a known error body", status)
		if status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
			return outcomeUnknown, newErrorAnswer(classifier.AnswerLost, detail)
		}
		return outcomeUnknown, newErrorAnswer(classifier.Internal, detail)
	}
	kind := kindByName(errorAnswer.Kind)
	row := kind.Answer()
	switch {
	case kind == classifier.TicketConflict || kind == classifier.TicketStale:
		return conflicted, errorAnswer
	case errorAnswer.Outcome != classifier.OutcomeNotRun.String():
		return outcomeUnknown, errorAnswer
	case kind == classifier.None:
		// A newer server sent a kind that this client doesn't know. The
		// outcome not-run says that the request had no effect.
		return refused, errorAnswer
	case row.CallerMayRetry:
		return notExecuted, errorAnswer
	default:
		return refused, errorAnswer
	}
}

// kindByName returns the kind with the name, or None if there is none.
func kindByName(name string) classifier.Kind {
	for _, kind := range classifier.Kinds() {
		if kind.String() == name {
			return kind
		}
	}
	return classifier.None
}
