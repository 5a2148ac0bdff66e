package applier

import (
	"fmt"
	"reflect"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/recorder"
	"goldcreststack.example/goldcreststack/sequencer"
	"goldcreststack.example/goldcreststack/ticketer"
)

const (
	// endedJobRetention is how long the state of an ended job can still be
	// queried.
	endedJobRetention = time.Hour
	// submissionNamespace takes the place of the service in the records of
	// submissions, so that their keys can't collide with those of requests. The
	// slash makes it invalid as the name of a service.
	submissionNamespace modeler.ServiceName = "/jobs"
)

// Applier holds the replicated state.
type Applier struct {
	now     modeler.Timestamp
	applied modeler.Index
	cell    *ticketer.Cell
	records *recorder.Recorder
	jobs    map[modeler.JobID]*Job
	ended   []endedJob
	changes []Change
	flows   *sequencer.Sequencer
}

// endedJob records when a job ended; it is removed after endedJobRetention.
type endedJob struct {
	id      modeler.JobID
	endedAt modeler.Timestamp
}

// New returns an Applier with the empty state.
func New() *Applier {
	return &Applier{
		cell:    ticketer.NewCell(),
		records: recorder.New(recorder.Limits{}),
		jobs:    make(map[modeler.JobID]*Job),
		flows:   sequencer.New(),
	}
}

// Flows returns the state of all flows, which the caller must not change.
func (a *Applier) Flows() *sequencer.Sequencer { return a.flows }

// Encode returns the command as the data of a log entry. It panics if the
// command can't be encoded.
func Encode(c *modeler.Command) []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic("applier: command can't be encoded: " + err.Error())
	}
	return data
}

// ApplyData decodes a committed entry's data and applies the command. It
// returns an error if the data can't be decoded.
func (a *Applier) ApplyData(index modeler.Index, data []byte) (modeler.Result, error) {
	var c modeler.Command
	if err := decoder.Unmarshal(data, &c); err != nil {
		return modeler.Result{}, classifier.Wrap(classifier.Internal, err, "decode a committed command")
	}
	return a.Apply(index, &c), nil
}

// Apply applies the committed command at index and returns its result.
func (a *Applier) Apply(index modeler.Index, c *modeler.Command) modeler.Result {
	a.applied = index
	// The log's time must not go back when a new leader's clock is behind.
	a.now = max(a.now, c.At)
	a.records.Expire(a.now)
	a.removeExpiredJobs()
	a.flows.DropExpired(a.now)
	result := a.dispatch(index, c)
	if result.Index == 0 {
		result.Index = index
	}
	return result
}

func (a *Applier) dispatch(index modeler.Index, c *modeler.Command) modeler.Result {
	switch c.Kind {
	case modeler.ApplyTicket:
		return a.applyTicket(index, c.Ticket)
	case modeler.ClaimKey:
		return a.records.Claim(a.now, c.Claim)
	case modeler.SettleKey:
		return a.records.Settle(c.Settle)
	case modeler.SubmitJob:
		return a.submitJob(index, c.Submit)
	case modeler.CancelJobs:
		return a.cancelJobs(c.Cancel)
	case modeler.PlaceTasks:
		return a.placeTasks(c.Place)
	case modeler.EndTasks:
		return a.endTasks(c.TaskEnds)
	case modeler.ReplaceTasks:
		return a.replaceTasks(c.Replace)
	case modeler.RegisterEntry:
		a.addChange(Change{Kind: SessionsChanged})
		return a.records.Register(*c.Session)
	case modeler.EndSession:
		a.addChange(Change{Kind: SessionsChanged})
		a.records.Unregister(*c.Session)
		return modeler.Result{}
	case modeler.SetLayout:
		return a.flows.SetLayout(c.Layout)
	case modeler.SubmitFlow:
		return a.flows.Submit(a.now, c.Flow)
	case modeler.CancelFlow:
		return a.flows.Cancel(a.now, c.CancelledFlow)
	case modeler.StartFlows:
		return a.flows.RecordStarts(c.FlowStarts)
	case modeler.EndFlows:
		a.flows.RecordBegun(c.BegunFlows)
		return a.flows.RecordEnds(a.now, c.FlowEnds)
	case modeler.RecordWorkers:
		a.flows.RecordDepartures(a.now, c.Left)
		a.flows.RecordReturns(c.Returned)
		a.flows.RecordSilences(c.Silent)
		return a.flows.UpdateWorkers(c.Announcements, c.Departures())
	case modeler.RecordLearned:
		return a.flows.RecordLearned(c.Learned)
	default:
		return modeler.Result{Kind: classifier.Internal, Detail: fmt.Sprintf("unknown command kind %d", c.Kind)}
	}
}

func (a *Applier) applyTicket(index modeler.Index, t *modeler.Ticket) modeler.Result {
	if reason := a.jobConflict(t); reason != "" && t.Number > a.cell.Ticket {
		return modeler.Result{Kind: classifier.TicketInvalid, Detail: reason}
	}
	unchanged := a.unchangedJobs(t)
	result := a.cell.Apply(index, t)
	if result.Kind != classifier.None || result.Repeat {
		return result
	}
	for _, team := range t.Teams {
		a.addChange(Change{Kind: TeamSet, Team: team})
	}
	for _, name := range t.Removals.Teams {
		a.addChange(Change{Kind: TeamRemoved, Team: modeler.Team{Name: name}})
	}
	for i := range t.Jobs {
		if !unchanged[t.Jobs[i].ID] {
			a.setTicketJob(index, &t.Jobs[i])
		}
	}
	for _, id := range t.Removals.Jobs {
		a.cancelJob(id)
	}
	a.addChange(Change{Kind: ConfigurationChanged})
	return result
}

// unchangedJobs returns the ticket's jobs that are already in the cell with the
// same spec. A batch job that has ended must not run again because a later
// ticket repeats it.
func (a *Applier) unchangedJobs(t *modeler.Ticket) map[modeler.JobID]bool {
	unchanged := make(map[modeler.JobID]bool)
	for i := range t.Jobs {
		existing, found := a.cell.Jobs[t.Jobs[i].ID]
		if found && reflect.DeepEqual(existing, t.Jobs[i]) {
			unchanged[existing.ID] = true
		}
	}
	return unchanged
}

// jobConflict returns why the ticket must be rejected if a job in it has the id
// of a submitted job that hasn't ended, otherwise an empty string.
func (a *Applier) jobConflict(t *modeler.Ticket) string {
	for i := range t.Jobs {
		existing, found := a.jobs[t.Jobs[i].ID]
		if found && !existing.FromTicket && !existing.HasEnded() {
			return fmt.Sprintf("a caller's job holds the id %q", t.Jobs[i].ID)
		}
	}
	return ""
}

func (a *Applier) submitJob(index modeler.Index, s *modeler.Submission) modeler.Result {
	data, err := cbor.Marshal(&s.Job)
	if err != nil {
		return modeler.Result{Kind: classifier.Internal, Detail: err.Error()}
	}
	claim := modeler.Claim{
		Service:     submissionNamespace,
		Key:         s.Key,
		Fingerprint: modeler.Digest(xxhash.Sum64(data)),
		Caller:      modeler.HashCaller(string(s.Job.Team)),
	}
	if result, claimed := a.records.Peek(a.now, &claim); claimed {
		return repeatedSubmission(result)
	}
	if err := a.cell.CheckSubmission(&s.Job); err != nil {
		return modeler.Result{Kind: classifier.KindOf(err), Detail: err.Error()}
	}
	if _, found := a.jobs[s.Job.ID]; found {
		return modeler.Result{Kind: classifier.KeyReused, Detail: fmt.Sprintf("job %q exists", s.Job.ID)}
	}
	result, isNew := a.records.ClaimAndSettle(a.now, &claim)
	if isNew {
		a.addJob(index, s.Job, false, a.now)
	}
	return result
}

// repeatedSubmission converts the record of an earlier submission into its
// answer.
func repeatedSubmission(result modeler.Result) modeler.Result {
	if result.Kind == classifier.Claimed {
		return modeler.Result{Repeat: true}
	}
	return result
}

// Now returns the log's time, the latest timestamp of the commands applied.
func (a *Applier) Now() modeler.Timestamp { return a.now }

// Applied returns the index of the last applied entry.
func (a *Applier) Applied() modeler.Index { return a.applied }

// Cell returns the configuration set by tickets, which the caller must not
// change.
func (a *Applier) Cell() *ticketer.Cell { return a.cell }

// Records returns the at-most-once records, which the caller must not change.
func (a *Applier) Records() *recorder.Recorder { return a.records }

// Configuration returns the configuration for entry hosts.
func (a *Applier) Configuration() modeler.Configuration { return a.cell.Configuration() }
