package listener

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

const (
	// maxDocumentBytes bounds the JSON documents of operators and workers.
	maxDocumentBytes = 4 << 20
	// requestTimeout bounds the wait for the leader; a change of leader takes
	// up to about 3 s.
	requestTimeout = 8 * time.Second
	// activeQueryTimeout bounds the query that finds out where a ticket is in
	// force. It runs after the ticket was accepted and delays that answer.
	activeQueryTimeout = 500 * time.Millisecond
	servicesPath       = "/v1/services/"
)

// Handlers holds the functions that an entry process calls for each kind of
// request.
type Handlers struct {
	// ServeRequest answers a caller's request to a service. The target is the
	// request URI that the worker gets.
	ServeRequest func(w http.ResponseWriter, r *http.Request, service modeler.ServiceName, target string)
	// Heartbeat answers a worker's heartbeat.
	Heartbeat func(ctx context.Context, b modeler.Heartbeat) (modeler.HeartbeatAnswer, error)
	// Propose proposes a command to the replicated group and returns its
	// result.
	Propose func(ctx context.Context, c *modeler.Command) modeler.Result
	// Query asks the leader and returns its answer as a JSON document.
	Query func(ctx context.Context, q modeler.Query) ([]byte, error)
	// Drain starts the shutdown and returns the work that remains to be
	// finished.
	Drain func(ctx context.Context) modeler.DrainAnswer
	// IsReady reports whether the process takes new work.
	IsReady func(ctx context.Context) bool
	// WriteState writes the state dump as JSON.
	WriteState func(ctx context.Context, w io.Writer) error
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics func(w io.Writer)
}

// New returns the HTTP handler of an entry process, which routes requests to
// h.
func New(h Handlers) http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = handleError
	l := &routes{handlers: h}
	e.Any(servicesPath+":service", l.service)
	e.Any(servicesPath+":service/*", l.service)
	e.POST("/v1/workers", l.heartbeat)
	e.POST("/v1/tickets", l.ticket)
	e.GET("/v1/tickets/:number", l.ticketStatus)
	e.GET("/v1/status", l.status)
	e.POST("/v1/jobs", l.submit)
	e.GET("/v1/jobs/:id", l.job)
	e.DELETE("/v1/jobs/:id", l.cancel)
	e.POST("/v1/members", l.members)
	e.POST("/v1/drain", l.drain)
	e.GET("/readyz", l.ready)
	e.GET("/metrics", l.metrics)
	e.GET("/debug/state", l.state)
	return e
}

// routes implements the HTTP routes of an entry process.
type routes struct{ handlers Handlers }

// handleError answers every error of a route with the status and the outcome
// that classifier assigns to its kind. Errors of echo itself count as
// malformed requests.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var classified *classifier.Error
	var httpError *echo.HTTPError
	if !errors.As(err, &classified) && errors.As(err, &httpError) {
		err = classifier.New(classifier.Malformed, "%s %s: %v", c.Request().Method, c.Request().URL.Path, httpError.Message)
	}
	WriteError(c.Response(), err, classifier.KindOf(err).Answer().Outcome)
}

func (l *routes) service(c echo.Context) error {
	r := c.Request()
	name := c.Param("service")
	// Refuses paths that leave the service once their dot segments are
	// resolved. An upstream may resolve them and serve a path of the platform
	// instead, such as the one for task orders.
	clean := path.Clean(r.URL.Path) + "/"
	if !strings.HasPrefix(clean, servicesPath+name+"/") {
		return classifier.New(classifier.Malformed, "the path leaves the service")
	}
	l.handlers.ServeRequest(c.Response().Writer, r, modeler.ServiceName(name), r.URL.RequestURI())
	return nil
}

// decodeJSON decodes the body of a request. It refuses unknown fields, which
// are likely misspelt, and returns an error of kind Malformed or TooLarge.
func decodeJSON(c echo.Context, target any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxDocumentBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		if _, err = decoder.Token(); err == io.EOF {
			return nil
		}
		if err == nil {
			err = errors.New("something follows the document")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return classifier.New(classifier.TooLarge, "the document is longer than %d bytes", tooLarge.Limit)
	}
	return classifier.New(classifier.Malformed, "the document can't be read: %v", err)
}

func withRequestTimeout(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), requestTimeout)
}

func (l *routes) heartbeat(c echo.Context) error {
	var b modeler.Heartbeat
	if err := decodeJSON(c, &b); err != nil {
		return err
	}
	if err := checkHeartbeat(&b); err != nil {
		return err
	}
	ctx, cancel := withRequestTimeout(c)
	defer cancel()
	answer, err := l.handlers.Heartbeat(ctx, b)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, &answer)
}

func checkHeartbeat(b *modeler.Heartbeat) error {
	switch {
	case b.Worker == "":
		return classifier.New(classifier.Malformed, "worker is missing")
	case b.Generation == 0:
		return classifier.New(classifier.Malformed, "generation is missing")
	case b.Address == "":
		return classifier.New(classifier.Malformed, "address is missing")
	case b.Domain == "":
		return classifier.New(classifier.Malformed, "domain is missing")
	case b.Slots < 0 || b.Connections < 0 || b.Active < 0:
		return classifier.New(classifier.Malformed, "slots, connections and active must not be negative")
	case b.Capacity.Negative():
		return classifier.New(classifier.Malformed, "capacity must not be negative")
	}
	return nil
}

// writeResult answers with content if a command succeeded and returns its
// error otherwise.
func writeResult(c echo.Context, result modeler.Result, content any) error {
	switch result.Kind {
	case classifier.None:
		return c.JSON(http.StatusOK, content)
	default:
		return classifier.New(result.Kind, "%s", result.Detail)
	}
}

func (l *routes) ticket(c echo.Context) error {
	var t modeler.Ticket
	if err := decodeJSON(c, &t); err != nil {
		return err
	}
	ctx, cancel := withRequestTimeout(c)
	defer cancel()
	result := l.handlers.Propose(ctx, &modeler.Command{Kind: modeler.ApplyTicket, Ticket: &t})
	switch result.Kind {
	case classifier.None:
		return c.JSON(http.StatusOK, l.ticketAnswer(ctx, t.Number, result))
	case classifier.TicketConflict:
		err := classifier.New(result.Kind, "%s", result.Detail)
		writeError(c.Response(), err, result.Kind.Answer().Outcome, result.Digest)
		return nil
	default:
		return classifier.New(result.Kind, "%s", result.Detail)
	}
}

// ticketAnswer returns the answer for an accepted ticket. If the query for
// where the ticket is in force fails or times out, the answer doesn't say
// that it is in force.
func (l *routes) ticketAnswer(ctx context.Context, number modeler.TicketNumber, result modeler.Result) *modeler.TicketAnswer {
	ctx, cancel := context.WithTimeout(ctx, activeQueryTimeout)
	defer cancel()
	answer := &modeler.TicketAnswer{}
	content, err := l.handlers.Query(ctx, modeler.Query{Kind: modeler.TicketQuery, Ticket: number})
	if err != nil || json.Unmarshal(content, answer) != nil {
		answer = &modeler.TicketAnswer{}
	}
	answer.Number = number
	answer.Version = result.Index
	answer.Accepted = true
	answer.Repeat = result.Repeat
	answer.Digest = result.Digest
	return answer
}

func (l *routes) query(c echo.Context, q modeler.Query) error {
	ctx, cancel := withRequestTimeout(c)
	defer cancel()
	content, err := l.handlers.Query(ctx, q)
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, content)
}

func (l *routes) ticketStatus(c echo.Context) error {
	number, err := strconv.ParseUint(c.Param("number"), 10, 64)
	if err != nil {
		return classifier.New(classifier.Malformed, "ticket number %q is not a number", c.Param("number"))
	}
	return l.query(c, modeler.Query{Kind: modeler.TicketQuery, Ticket: modeler.TicketNumber(number)})
}

func (l *routes) status(c echo.Context) error {
	return l.query(c, modeler.Query{Kind: modeler.StatusQuery})
}

func (l *routes) job(c echo.Context) error {
	return l.query(c, modeler.Query{Kind: modeler.JobQuery, Job: modeler.JobID(c.Param("id"))})
}

func (l *routes) submit(c echo.Context) error {
	var job modeler.Job
	if err := decodeJSON(c, &job); err != nil {
		return err
	}
	key := strings.ToLower(c.Request().Header.Get("Idempotency-Key"))
	if key == "" {
		return classifier.New(classifier.KeyMissing, "a job needs the header Idempotency-Key")
	}
	ctx, cancel := withRequestTimeout(c)
	defer cancel()
	result := l.handlers.Propose(ctx, &modeler.Command{
		Kind:   modeler.SubmitJob,
		Submit: &modeler.Submission{Key: modeler.Key(key), Job: job},
	})
	return writeResult(c, result, &modeler.SubmitAnswer{Job: job.ID, Repeat: result.Repeat})
}

func (l *routes) cancel(c echo.Context) error {
	ctx, cancel := withRequestTimeout(c)
	defer cancel()
	id := modeler.JobID(c.Param("id"))
	result := l.handlers.Propose(ctx, &modeler.Command{
		Kind:   modeler.CancelJobs,
		Cancel: &modeler.Cancellation{Jobs: []modeler.JobID{id}},
	})
	return writeResult(c, result, &modeler.CancelAnswer{Job: id, Cancelled: true})
}

// members adds, promotes or removes one member of the replicated group, or
// transfers the leadership to one.
func (l *routes) members(c echo.Context) error {
	var body struct {
		Verb    string           `json:"verb"`
		ID      modeler.MemberID `json:"id"`
		Address string           `json:"address"`
	}
	if err := decodeJSON(c, &body); err != nil {
		return err
	}
	q := modeler.Query{Member: modeler.Member{ID: body.ID, Address: body.Address}}
	switch body.Verb {
	case "add":
		q.Kind = modeler.AddMember
	case "promote":
		q.Kind = modeler.PromoteMember
	case "remove":
		q.Kind = modeler.RemoveMember
	case "transfer":
		q.Kind = modeler.TransferToMember
	default:
		return classifier.New(classifier.Malformed, "verb %q is none of add, promote, remove and transfer", body.Verb)
	}
	return l.query(c, q)
}

func (l *routes) drain(c echo.Context) error {
	answer := l.handlers.Drain(c.Request().Context())
	return c.JSON(http.StatusAccepted, &answer)
}

func (l *routes) ready(c echo.Context) error {
	if l.handlers.IsReady(c.Request().Context()) {
		return c.String(http.StatusOK, "ready\n")
	}
	return c.String(http.StatusServiceUnavailable, "not ready\n")
}

func (l *routes) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
	l.handlers.WriteMetrics(c.Response())
	return nil
}

func (l *routes) state(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	return l.handlers.WriteState(c.Request().Context(), c.Response())
}
