package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"goldcreststack.example/goldcreststack/loader"
	"goldcreststack.example/goldcreststack/modeler"
)

// Apply sends the ticket in the file at path. With a positive wait it then waits
// up to that long until the ticket is in force on every host.
//
// Resending a ticket after a lost answer is safe: its number is accepted once,
// and a resend gets the outcome of the first request.
func (c *Client) Apply(ctx context.Context, path string, wait time.Duration) Report {
	ticket, findings := loader.LoadTicket(path)
	if len(findings) > 0 {
		return findingsReport(findings)
	}
	body, err := json.Marshal(ticket)
	if err != nil {
		return usageReport(err.Error())
	}
	var answer modeler.TicketAnswer
	report := c.send(ctx, operation{
		method: http.MethodPost,
		path:   "/v1/tickets",
		body:   body,
		decode: ticketDecoder(&answer, ticket.Number),
	})
	if report.Code != Done {
		return report
	}
	report.Answer = answer
	if wait > 0 && !answer.InForce {
		return c.awaitInForce(ctx, report, ticket.Number, wait)
	}
	return report
}

// ticketDecoder returns a function that decodes an answer into a and returns an
// error if it is about another ticket or doesn't confirm the acceptance.
func ticketDecoder(a *modeler.TicketAnswer, number modeler.TicketNumber) func([]byte) error {
	return func(body []byte) error {
		*a = modeler.TicketAnswer{}
		if err := json.Unmarshal(body, a); err != nil {
			return err
		}
		if a.Number != number {
			return fmt.Errorf("it is about ticket %d, not %d", a.Number, number)
		}
		if !a.Accepted {
			return fmt.Errorf("it says neither that ticket %d is accepted nor why not", number)
		}
		return nil
	}
}

// awaitInForce polls an accepted ticket until it is in force or wait has passed.
func (c *Client) awaitInForce(ctx context.Context, report Report, number modeler.TicketNumber, wait time.Duration) Report {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for sleepContext(ctx, pollInterval) {
		latest := c.Ticket(ctx, number)
		answer, ok := latest.Answer.(modeler.TicketAnswer)
		if !ok {
			continue
		}
		first, _ := report.Answer.(modeler.TicketAnswer)
		answer.Repeat = first.Repeat
		report.Answer, report.Host = answer, latest.Host
		if answer.InForce {
			return report
		}
	}
	report.Code = UnknownOutcome
	report.addNote("ticket %d is accepted, but was not seen in force within %s", number, wait)
	return report
}

// Ticket returns the outcome of an accepted ticket.
func (c *Client) Ticket(ctx context.Context, number modeler.TicketNumber) Report {
	var answer modeler.TicketAnswer
	report := c.send(ctx, operation{
		method:   http.MethodGet,
		path:     fmt.Sprintf("/v1/tickets/%d", number),
		decode:   ticketDecoder(&answer, number),
		readOnly: true,
	})
	return report.withAnswer(answer)
}

// Status returns the state of the system as its leader knows it.
func (c *Client) Status(ctx context.Context) Report {
	var answer modeler.Status
	report := c.send(ctx, operation{
		method:   http.MethodGet,
		path:     "/v1/status",
		decode:   func(body []byte) error { answer = modeler.Status{}; return json.Unmarshal(body, &answer) },
		readOnly: true,
	})
	return report.withAnswer(answer)
}

// Job returns the state of one job.
func (c *Client) Job(ctx context.Context, id modeler.JobID) Report {
	if id == "" {
		return usageReport("no job is given")
	}
	var answer modeler.JobStatus
	report := c.send(ctx, operation{
		method:   http.MethodGet,
		path:     "/v1/jobs/" + url.PathEscape(string(id)),
		decode:   func(body []byte) error { answer = modeler.JobStatus{}; return json.Unmarshal(body, &answer) },
		readOnly: true,
	})
	return report.withAnswer(answer)
}

// Submit sends the job in the file at path. Resending it with the same
// idempotency key, a UUIDv7, is safe: the job is created once.
func (c *Client) Submit(ctx context.Context, path, key string) Report {
	job, findings := loader.LoadJob(path)
	if len(findings) > 0 {
		return findingsReport(findings)
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return usageReport(fmt.Sprintf("the key %q is not a UUIDv7, which carries its time of creation", key))
	}
	body, err := json.Marshal(job)
	if err != nil {
		return usageReport(err.Error())
	}
	var answer modeler.SubmitAnswer
	report := c.send(ctx, operation{
		method: http.MethodPost,
		path:   "/v1/jobs",
		body:   body,
		key:    key,
		decode: func(body []byte) error {
			answer = modeler.SubmitAnswer{}
			err := json.Unmarshal(body, &answer)
			if err == nil && answer.Job != job.ID {
				err = fmt.Errorf("it is about job %q, not %q", answer.Job, job.ID)
			}
			return err
		},
	})
	if report.Code == UnknownOutcome {
		report.addNote("send the job again with --key %s: it is created at most once", key)
	}
	return report.withAnswer(answer)
}

// Cancel cancels a job that a caller submitted. It is idempotent.
func (c *Client) Cancel(ctx context.Context, id modeler.JobID) Report {
	if id == "" {
		return usageReport("no job is given")
	}
	var answer modeler.CancelAnswer
	report := c.send(ctx, operation{
		method: http.MethodDelete,
		path:   "/v1/jobs/" + url.PathEscape(string(id)),
		decode: func(body []byte) error {
			answer = modeler.CancelAnswer{}
			err := json.Unmarshal(body, &answer)
			if err == nil && (answer.Job != id || !answer.Cancelled) {
				err = fmt.Errorf("it doesn't say that job %q is cancelled", id)
			}
			return err
		},
	})
	return report.withAnswer(answer)
}

func findingsReport(findings []loader.Finding) Report {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return usageReport(lines...)
}

// Drain makes one entry host finish its requests and exit. The client must have
// exactly one address, since trying the next host would drain that one as well.
func (c *Client) Drain(ctx context.Context) Report {
	if len(c.entries) != 1 {
		return usageReport("drain needs the address of exactly one entry host")
	}
	var answer modeler.DrainAnswer
	report := c.send(ctx, operation{
		method: http.MethodPost,
		path:   "/v1/drain",
		decode: func(body []byte) error {
			answer = modeler.DrainAnswer{}
			if err := json.Unmarshal(body, &answer); err != nil {
				return err
			}
			if !answer.Draining {
				return fmt.Errorf("it doesn't say that the host is draining")
			}
			return nil
		},
	})
	return report.withAnswer(answer)
}

// Dump returns the state dump of the first host that answers.
func (c *Client) Dump(ctx context.Context) Report {
	var answer json.RawMessage
	report := c.send(ctx, operation{
		method:   http.MethodGet,
		path:     "/debug/state",
		decode:   func(body []byte) error { return json.Unmarshal(body, &answer) },
		readOnly: true,
	})
	return report.withAnswer(answer)
}

// withAnswer adds the answer to the report of a command that succeeded.
func (r Report) withAnswer(answer any) Report {
	if r.Code == Done {
		r.Answer = answer
	}
	return r
}
