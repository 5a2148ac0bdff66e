package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// ExitCode is the exit code of a command; scripts rely on the numbers.
type ExitCode int

// The exit codes.
const (
	// Done: the command succeeded.
	Done ExitCode = 0
	// Usage: an argument or a file is invalid; no request was sent.
	Usage ExitCode = 1
	// Refused: the system refused the request and its state is unchanged.
	Refused ExitCode = 2
	// Conflict: the ticket's number belongs to another ticket or is below
	// the highest accepted number.
	Conflict ExitCode = 3
	// UnknownOutcome: the request may or may not have taken effect, or an
	// accepted ticket was not seen in force in time.
	UnknownOutcome ExitCode = 4
	// Unreachable: no entry host could serve the request, and the state is
	// unchanged.
	Unreachable ExitCode = 5
)

// Report is the result of a command.
type Report struct {
	Code ExitCode `json:"code"`
	// Host is the address of the entry host that was tried last.
	Host string `json:"host,omitempty"`
	// Notes describe events during the attempts, such as a lost answer.
	Notes  []string             `json:"notes,omitempty"`
	Error  *modeler.ErrorAnswer `json:"error,omitempty"`
	Answer any                  `json:"answer,omitempty"`
}

// maxNotes bounds the number of notes in a report.
const maxNotes = 50

func (r *Report) addNote(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if len(r.Notes) < maxNotes && !slices.Contains(r.Notes, line) {
		r.Notes = append(r.Notes, line)
	}
}

// asRefused returns the report of a refusal. If an earlier attempt, sent to
// unansweredHost, got no answer, the outcome is unknown: that request may still
// be in flight and be accepted.
func (r Report) asRefused(unansweredHost string) Report {
	r.Code = Refused
	if unansweredHost != "" {
		r.Code = UnknownOutcome
		r.addNote("%s refused the request, but an earlier sending to %s, whose answer was lost, may still take effect", r.Host, unansweredHost)
	}
	return r
}

// asUnreachable returns the report of a request that no entry host served. Its
// outcome is unknown if an attempt sent to unansweredHost got no answer.
func (r Report) asUnreachable(unansweredHost string) Report {
	r.Code = Unreachable
	if unansweredHost != "" {
		r.Code = UnknownOutcome
	}
	return r
}

func usageReport(lines ...string) Report { return Report{Code: Usage, Notes: lines} }

// Print writes the report as one JSON document to out, or as text with the
// answer to out and the notes and errors to errs.
func (r Report) Print(out, errs io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, note := range r.Notes {
		fmt.Fprintln(errs, note)
	}
	if r.Error != nil {
		fmt.Fprintf(errs, "%s: %s (outcome: %s)\n", r.Error.Kind, r.Error.Detail, r.Error.Outcome)
		if r.Error.Digest != 0 {
			digest, _ := r.Error.Digest.MarshalText()
			fmt.Fprintf(errs, "the number is held by the content with digest %s\n", digest)
		}
	}
	if r.Code != Done && r.Code != Usage {
		fmt.Fprintln(errs, r.Code)
	}
	return r.printAnswer(out)
}

// String returns a short description of the code.
func (c ExitCode) String() string {
	switch c {
	case Done:
		return "done"
	case Usage:
		return "wrong usage"
	case Refused:
		return "refused: nothing has changed"
	case Conflict:
		return "conflict: the ticket's number is taken or too low"
	case UnknownOutcome:
		return "the outcome is unknown"
	case Unreachable:
		return "no entry host could serve it: nothing has changed"
	default:
		return fmt.Sprintf("code %d", int(c))
	}
}

func (r Report) printAnswer(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	switch answer := r.Answer.(type) {
	case modeler.TicketAnswer:
		printTicket(table, answer)
	case modeler.Status:
		printStatus(table, answer)
	case modeler.JobStatus:
		printJob(table, answer)
	case modeler.SubmitAnswer:
		fmt.Fprintf(table, "job %s is accepted%s\n", answer.Job, repeatSuffix(answer.Repeat))
	case modeler.CancelAnswer:
		fmt.Fprintf(table, "job %s is cancelled\n", answer.Job)
	case modeler.MembersAnswer:
		printMembers(table, answer.Members, answer.Pending)
	case modeler.DrainAnswer:
		fmt.Fprintf(table, "%s is draining: %d waiting, %d active\n", answer.Name, answer.Waiting, answer.Active)
	case json.RawMessage:
		var indented bytes.Buffer
		if err := json.Indent(&indented, answer, "", "  "); err != nil {
			return err
		}
		fmt.Fprintln(out, indented.String())
	}
	return table.Flush()
}

func repeatSuffix(repeat bool) string {
	if repeat {
		return " by an earlier sending"
	}
	return ""
}

func printTicket(out io.Writer, a modeler.TicketAnswer) {
	inForce := ""
	if a.InForce {
		inForce = ", in force everywhere"
	}
	digest, _ := a.Digest.MarshalText()
	fmt.Fprintf(out, "ticket %d: accepted as version %d%s%s, digest %s\n", a.Number, a.Version, repeatSuffix(a.Repeat), inForce, digest)
	if a.Detail != "" {
		fmt.Fprintln(out, a.Detail)
	}
	if len(a.Waiting) > 0 {
		fmt.Fprintf(out, "not confirmed by %s\n", strings.Trim(fmt.Sprint(a.Waiting), "[]"))
	}
}

func printStatus(out io.Writer, a modeler.Status) {
	fmt.Fprintf(out, "leader %d in term %d, version %d by ticket %d, in force everywhere: version %d\n", a.Leader, a.Term, a.Version, a.Ticket, a.VersionInForce)
	fmt.Fprintf(out, "workers: %d known, %d leaving, %d silent, %d quarantined\n", a.Workers.Known, a.Workers.Leaving, a.Workers.Silent, a.Workers.Quarantined)
	fmt.Fprintf(out, "used: %d of %d millicores, %d of %d bytes, %d of %d accelerators\n",
		a.Workers.Used.Processors, a.Workers.Capacity.Processors, a.Workers.Used.Memory, a.Workers.Capacity.Memory,
		a.Workers.Used.Accelerators, a.Workers.Capacity.Accelerators)
	fmt.Fprintf(out, "tasks: %d waiting, %d running; at-most-once records: %d\n\n", a.Tasks.Waiting, a.Tasks.Running, a.Records)
	printMembers(out, a.Members, a.Pending)
	printQuorum(out, a.Quorum)
	fmt.Fprintln(out, "\nENTRY\tVERSION\tBEHIND\tHELD\tHEARD")
	for _, e := range a.Entries {
		fmt.Fprintf(out, "%s\t%d\t%t\t%d\t%s\n", e.Entry, e.Version, e.Behind, e.SlotsHeld, e.SinceHeard.Std())
	}
	fmt.Fprintln(out, "\nSERVICE\tWORKERS\tSLOTS")
	for _, s := range a.Services {
		fmt.Fprintf(out, "%s\t%d\t%d\n", s.Name, s.Workers, s.Slots)
	}
	if len(a.Jobs) > 0 {
		fmt.Fprintln(out, "\nJOB\tTEAM\tKIND\tSTATE\tWAITING\tPLACED\tENDED\tFAILED")
	}
	for _, j := range a.Jobs {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", j.ID, j.Team, j.Kind, j.State, j.Waiting, j.Placed, j.Ended, j.Failed)
	}
	if a.Hidden > 0 {
		fmt.Fprintf(out, "%d more jobs are not listed\n", a.Hidden)
	}
	printAccounts(out, a.Accounts)
	printSteps(out, a)
	printInterference(out, a.Interference)
}

// printAccounts prints the accounts, with processors in cores.
func printAccounts(out io.Writer, accounts []modeler.AccountStatus) {
	if len(accounts) > 0 {
		fmt.Fprintln(out, "\nACCOUNT\tCORES\tQUOTA\tWEIGHT\tRUNNING\tWAITING\tAT QUOTA\tBEYOND SHARE")
	}
	for _, a := range accounts {
		name, quota, weight := string(a.Account), "none", strconv.Itoa(a.Weight)
		if a.Quota.Processors < modeler.NoLimit.Processors {
			quota = fmt.Sprintf("%.1f", float64(a.Quota.Processors)/1000)
		}
		if a.Account == modeler.OtherAccounts {
			name, quota, weight = "others", "", ""
		}
		fmt.Fprintf(out, "%s\t%.1f\t%s\t%s\t%d\t%d\t%d\t%d\n", name, float64(a.Used.Processors)/1000, quota, weight, a.Running, a.Waiting, a.QuotaWaits, a.BeyondShare)
	}
}

// maxPrintedSteps bounds the waiting steps that status shows; --json has all that the
// leader lists.
const maxPrintedSteps = 20

func printSteps(out io.Writer, a modeler.Status) {
	if len(a.Steps) == 0 {
		return
	}
	fmt.Fprint(out, "\nwaiting tasks of flows:")
	for _, reason := range slices.Sorted(maps.Keys(a.Reasons)) {
		fmt.Fprintf(out, " %d for %s", a.Reasons[reason], reason)
	}
	fmt.Fprintln(out, "\nREQUEST\tSTEP\tQUEUE\tACCOUNT\tTASKS\tWAITED\tFOR")
	for _, s := range a.Steps[:min(len(a.Steps), maxPrintedSteps)] {
		fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%d\t%s\t%s\n", s.Request, s.Step, s.Queue, s.Account, s.Tasks, s.Waited.Std().Round(time.Millisecond), s.Reason)
	}
}

func printInterference(out io.Writer, pairs []modeler.PairStatus) {
	if len(pairs) > 0 {
		fmt.Fprintln(out, "\nIMAGE\tSLOWED BY\tWORKERS\tSLOWDOWN")
	}
	for _, p := range pairs {
		fmt.Fprintf(out, "%s\t%s\tabout %.3g cores\t%.2f\n", p.Image, p.Beside, p.Cores, p.Slowdown)
	}
}

func printMembers(out io.Writer, members []modeler.MemberStatus, pending bool) {
	fmt.Fprintln(out, "MEMBER\tADDRESS\tROLE\tMATCH\tCAUGHT UP\tLAG")
	for _, m := range members {
		role, caughtUp, lag := "voter", "no", "no answer"
		if m.Learner {
			role = "learner"
		}
		if m.Current {
			caughtUp = "yes"
		}
		if m.Silent > 0 {
			lag = "no answer for " + m.Silent.Std().String()
		} else if m.Lag >= 0 {
			lag = m.Lag.Std().String()
		}
		fmt.Fprintf(out, "%d\t%s\t%s\t%d\t%s\t%s\n", m.ID, m.Address, role, m.Match, caughtUp, lag)
	}
	if pending {
		fmt.Fprintln(out, "a change of members is not committed yet")
	}
}

// printQuorum prints nothing for a leader of a release that does not send it.
func printQuorum(out io.Writer, q modeler.QuorumStatus) {
	if q.Needed == 0 {
		return
	}
	fmt.Fprintf(out, "%d voters, %d of them silent, %d needed, %d learners: the group bears %s\n",
		q.Voters, q.Silent, q.Needed, q.Learners, furtherLosses(q.Spare))
	if q.Refusal != "" {
		fmt.Fprintf(out, "the last change of members was refused: %s\n", q.Refusal)
	}
}

func furtherLosses(spare int) string {
	switch {
	case spare <= 0:
		return "no further loss"
	case spare == 1:
		return "1 further loss"
	default:
		return fmt.Sprintf("%d further losses", spare)
	}
}

func printJob(out io.Writer, a modeler.JobStatus) {
	fmt.Fprintf(out, "job %s of team %s (%s): %s\n", a.ID, a.Team, a.Kind, a.State)
	fmt.Fprintf(out, "tasks: %d waiting, %d placed, %d ended, %d of them failed; %d in all\n", a.Waiting, a.Placed, a.Ended, a.Failed, a.Total)
	if a.Reason != "" {
		fmt.Fprintln(out, a.Reason)
	}
	if c := a.Change; c != nil {
		state := "goes on"
		if c.Halted {
			state = "halted"
		}
		fmt.Fprintf(out, "change: %d replaced, %d still under an earlier ticket, %d out of service (at most %d); %s: %s\n",
			c.Replaced, c.Former, c.Missing, c.Step, state, c.Reason)
	}
	if len(a.Tasks) > 0 {
		fmt.Fprintln(out, "\nTASK\tATTEMPT\tPHASE\tSTATE\tWORKER\tDETAIL")
	}
	for _, t := range a.Tasks {
		fmt.Fprintf(out, "%d\t%d\t%s\t%s\t%s\t%s\n", t.Index, t.Attempt, t.Phase, t.State, t.Worker, t.Detail)
	}
}
