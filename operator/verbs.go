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

// Apply sends the ticket in a file. With a positive wait it then waits until
// the ticket is in force on every host.
//
// Sending a ticket again after a lost answer is safe: its number is accepted
// once, and a repeat gets the first outcome.
func (c *Client) Apply(ctx context.Context, path string, wait time.Duration) Report {
	ticket, findings := loader.LoadTicket(path)
	if len(findings) > 0 {
		return faulty(findings)
	}
	body, err := json.Marshal(ticket)
	if err != nil {
		return usage(err.Error())
	}
	var answer modeler.TicketAnswer
	report := c.send(ctx, call{
		method: http.MethodPost,
		path:   "/v1/tickets",
		body:   body,
		read:   readTicket(&answer, ticket.Number),
	})
	if report.Code != Done {
		return report
	}
	report.Answer = answer
	if wait > 0 && !answer.InForce {
		return c.await(ctx, report, ticket.Number, wait)
	}
	return report
}

// readTicket returns a function that decodes an answer and refuses one that is
// about something else.
func readTicket(a *modeler.TicketAnswer, number modeler.TicketNumber) func([]byte) error {
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

// await asks for an accepted ticket until it is in force.
func (c *Client) await(ctx context.Context, report Report, number modeler.TicketNumber, wait time.Duration) Report {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for sleep(ctx, pause) {
		seen := c.Ticket(ctx, number)
		answer, ok := seen.Answer.(modeler.TicketAnswer)
		if !ok {
			continue
		}
		first, _ := report.Answer.(modeler.TicketAnswer)
		answer.Repeat = first.Repeat
		report.Answer, report.Host = answer, seen.Host
		if answer.InForce {
			return report
		}
	}
	report.Code = UnknownOutcome
	report.note("ticket %d is accepted, but was not seen in force within %s", number, wait)
	return report
}

// Ticket shows the outcome of an accepted ticket.
func (c *Client) Ticket(ctx context.Context, number modeler.TicketNumber) Report {
	var answer modeler.TicketAnswer
	report := c.send(ctx, call{
		method:   http.MethodGet,
		path:     fmt.Sprintf("/v1/tickets/%d", number),
		read:     readTicket(&answer, number),
		question: true,
	})
	return report.with(answer)
}

// Status shows the state of the system as its leader sees it.
func (c *Client) Status(ctx context.Context) Report {
	var answer modeler.Status
	report := c.send(ctx, call{
		method:   http.MethodGet,
		path:     "/v1/status",
		read:     func(body []byte) error { answer = modeler.Status{}; return json.Unmarshal(body, &answer) },
		question: true,
	})
	return report.with(answer)
}

// Job shows one job.
func (c *Client) Job(ctx context.Context, id modeler.JobID) Report {
	if id == "" {
		return usage("no job is given")
	}
	var answer modeler.JobStatus
	report := c.send(ctx, call{
		method:   http.MethodGet,
		path:     "/v1/jobs/" + url.PathEscape(string(id)),
		read:     func(body []byte) error { answer = modeler.JobStatus{}; return json.Unmarshal(body, &answer) },
		question: true,
	})
	return report.with(answer)
}

// Submit sends the job in a file. Sending it again under the same key is safe:
// the job is created once.
func (c *Client) Submit(ctx context.Context, path, key string) Report {
	job, findings := loader.LoadJob(path)
	if len(findings) > 0 {
		return faulty(findings)
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return usage(fmt.Sprintf("the key %q is not a UUIDv7, which carries its time of creation", key))
	}
	body, err := json.Marshal(job)
	if err != nil {
		return usage(err.Error())
	}
	var answer modeler.SubmitAnswer
	report := c.send(ctx, call{
		method: http.MethodPost,
		path:   "/v1/jobs",
		body:   body,
		key:    key,
		read: func(body []byte) error {
			answer = modeler.SubmitAnswer{}
			err := json.Unmarshal(body, &answer)
			if err == nil && answer.Job != job.ID {
				err = fmt.Errorf("it is about job %q, not %q", answer.Job, job.ID)
			}
			return err
		},
	})
	if report.Code == UnknownOutcome {
		report.note("send the job again with --key %s: it is created at most once", key)
	}
	return report.with(answer)
}

// Cancel ends a caller's job. Cancelling it again changes nothing.
func (c *Client) Cancel(ctx context.Context, id modeler.JobID) Report {
	if id == "" {
		return usage("no job is given")
	}
	var answer modeler.CancelAnswer
	report := c.send(ctx, call{
		method: http.MethodDelete,
		path:   "/v1/jobs/" + url.PathEscape(string(id)),
		read: func(body []byte) error {
			answer = modeler.CancelAnswer{}
			err := json.Unmarshal(body, &answer)
			if err == nil && (answer.Job != id || !answer.Cancelled) {
				err = fmt.Errorf("it doesn't say that job %q is cancelled", id)
			}
			return err
		},
	})
	return report.with(answer)
}

func faulty(findings []loader.Finding) Report {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return usage(lines...)
}

// Drain makes one entry host finish its requests and end. It needs exactly
// one address, since trying the next host would drain that one as well.
func (c *Client) Drain(ctx context.Context) Report {
	if len(c.entries) != 1 {
		return usage("drain needs the address of exactly one entry host")
	}
	var answer modeler.DrainAnswer
	report := c.send(ctx, call{
		method: http.MethodPost,
		path:   "/v1/drain",
		read: func(body []byte) error {
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
	return report.with(answer)
}

// Dump shows the state dump of the first host that answers.
func (c *Client) Dump(ctx context.Context) Report {
	var answer json.RawMessage
	report := c.send(ctx, call{
		method:   http.MethodGet,
		path:     "/debug/state",
		read:     func(body []byte) error { return json.Unmarshal(body, &answer) },
		question: true,
	})
	return report.with(answer)
}

func (r Report) with(answer any) Report {
	if r.Code == Done {
		r.Answer = answer
	}
	return r
}
