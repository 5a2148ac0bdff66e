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
	// keepEnded is how long an ended job can still be asked for.
	keepEnded = time.Hour
	// jobsNamespace keeps the keys of submissions apart from those of
	// requests; no service can bear this name.
	jobsNamespace modeler.ServiceName = "/jobs"
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

// endedJob remembers when a job may be dropped.
type endedJob struct {
	id modeler.JobID
	at modeler.Timestamp
}

// New returns the empty state.
func New() *Applier {
	return &Applier{
		cell:    ticketer.NewCell(),
		records: recorder.New(recorder.Limits{}),
		jobs:    make(map[modeler.JobID]*Job),
		flows:   sequencer.New(),
	}
}

// Flows returns the state of flows; the caller must not change it.
func (a *Applier) Flows() *sequencer.Sequencer { return a.flows }

// Encode returns the command as it stands in the log.
func Encode(c *modeler.Command) []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic("applier: command can't be encoded: " + err.Error())
	}
	return data
}

// ApplyData applies a committed entry's data.
func (a *Applier) ApplyData(index modeler.Index, data []byte) (modeler.Result, error) {
	var c modeler.Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return modeler.Result{}, classifier.Wrap(classifier.Internal, err, "decode a committed command")
	}
	return a.Apply(index, &c), nil
}

// Apply applies the committed command at index and returns its result.
func (a *Applier) Apply(index modeler.Index, c *modeler.Command) modeler.Result {
	a.applied = index
	// A leader whose clock is behind must not turn the log's time back.
	a.now = max(a.now, c.At)
	a.records.Expire(a.now)
	a.dropEnded()
	a.flows.Expire(a.now)
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
		return a.submit(index, c.Submit)
	case modeler.CancelJobs:
		return a.cancel(c.Cancel)
	case modeler.PlaceTasks:
		return a.place(c.Place)
	case modeler.EndTasks:
		return a.end(c.TaskEnds)
	case modeler.ReplaceTasks:
		return a.replace(c.Replace)
	case modeler.RegisterEntry:
		a.note(Change{Kind: SessionsChanged})
		return a.records.Register(*c.Session)
	case modeler.EndSession:
		a.note(Change{Kind: SessionsChanged})
		a.records.Forget(*c.Session)
		return modeler.Result{}
	case modeler.SetLayout:
		return a.flows.SetLayout(c.Layout)
	case modeler.SubmitFlow:
		return a.flows.Submit(a.now, c.Flow)
	case modeler.CancelFlow:
		return a.flows.Cancel(a.now, c.CancelledFlow)
	case modeler.StartFlows:
		return a.flows.Start(c.FlowStarts)
	case modeler.EndFlows:
		return a.flows.End(a.now, c.FlowEnds)
	case modeler.RecordWorkers:
		a.flows.Leave(a.now, c.Left)
		return a.flows.Note(c.Announcements, c.Departed)
	default:
		return modeler.Result{Kind: classifier.Internal, Detail: fmt.Sprintf("unknown command kind %d", c.Kind)}
	}
}

func (a *Applier) applyTicket(index modeler.Index, t *modeler.Ticket) modeler.Result {
	if reason := a.jobClash(t); reason != "" && t.Number > a.cell.Ticket {
		return modeler.Result{Kind: classifier.TicketInvalid, Detail: reason}
	}
	unchanged := a.unchangedJobs(t)
	result := a.cell.Apply(index, t)
	if result.Kind != classifier.None || result.Repeat {
		return result
	}
	for _, team := range t.Teams {
		a.note(Change{Kind: TeamSet, Team: team})
	}
	for _, name := range t.Removals.Teams {
		a.note(Change{Kind: TeamRemoved, Team: modeler.Team{Name: name}})
	}
	for i := range t.Jobs {
		if !unchanged[t.Jobs[i].ID] {
			a.setTicketJob(index, &t.Jobs[i])
		}
	}
	for _, id := range t.Removals.Jobs {
		a.cancelJob(id)
	}
	a.note(Change{Kind: ConfigurationChanged})
	return result
}

// unchangedJobs names the ticket's jobs that stand in the cell already; a
// batch job that has ended must not run again because a later ticket repeats
// it.
func (a *Applier) unchangedJobs(t *modeler.Ticket) map[modeler.JobID]bool {
	unchanged := make(map[modeler.JobID]bool)
	for i := range t.Jobs {
		held, found := a.cell.Jobs[t.Jobs[i].ID]
		if found && reflect.DeepEqual(held, t.Jobs[i]) {
			unchanged[held.ID] = true
		}
	}
	return unchanged
}

// jobClash refuses a ticket whose job bears the id of a caller's running job.
func (a *Applier) jobClash(t *modeler.Ticket) string {
	for i := range t.Jobs {
		held, found := a.jobs[t.Jobs[i].ID]
		if found && !held.Ticket && !held.Over() {
			return fmt.Sprintf("a caller's job holds the id %q", t.Jobs[i].ID)
		}
	}
	return ""
}

func (a *Applier) submit(index modeler.Index, s *modeler.Submission) modeler.Result {
	data, err := cbor.Marshal(&s.Job)
	if err != nil {
		return modeler.Result{Kind: classifier.Internal, Detail: err.Error()}
	}
	claim := modeler.Claim{
		Service:     jobsNamespace,
		Key:         s.Key,
		Fingerprint: modeler.Digest(xxhash.Sum64(data)),
		Caller:      modeler.HashCaller(string(s.Job.Team)),
	}
	if result, known := a.records.Peek(a.now, &claim); known {
		return repeatedSubmission(result)
	}
	if err := a.cell.CheckSubmission(&s.Job); err != nil {
		return modeler.Result{Kind: classifier.KindOf(err), Detail: err.Error()}
	}
	if _, found := a.jobs[s.Job.ID]; found {
		return modeler.Result{Kind: classifier.KeyReused, Detail: fmt.Sprintf("job %q exists", s.Job.ID)}
	}
	result, fresh := a.records.Once(a.now, &claim)
	if fresh {
		a.addJob(index, s.Job, false, a.now)
	}
	return result
}

// repeatedSubmission turns the record of a submission into its first answer.
func repeatedSubmission(result modeler.Result) modeler.Result {
	if result.Kind == classifier.Claimed {
		return modeler.Result{Repeat: true}
	}
	return result
}

// Now returns the log's time.
func (a *Applier) Now() modeler.Timestamp { return a.now }

// Applied returns the index of the last applied entry.
func (a *Applier) Applied() modeler.Index { return a.applied }

// Cell returns the standing state; the caller must not change it.
func (a *Applier) Cell() *ticketer.Cell { return a.cell }

// Records returns the at-most-once records; the caller must not change them.
func (a *Applier) Records() *recorder.Recorder { return a.records }

// Configuration returns what entry hosts need.
func (a *Applier) Configuration() modeler.Configuration { return a.cell.Configuration() }
