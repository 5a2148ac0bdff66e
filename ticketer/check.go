package ticketer

import (
	"fmt"
	"regexp"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

// Limits on a job, which keep the replicated state small.
const (
	maxJobTasks     = 20_000
	maxCommandBytes = 4096
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checker checks a ticket and collects all reasons to refuse it.
type checker struct {
	cell    *Cell
	ticket  *modeler.Ticket
	reasons []string
}

// check returns all reasons to refuse the ticket, none if it is valid.
func (c *Cell) check(t *modeler.Ticket) []string {
	k := &checker{cell: c, ticket: t}
	k.checkNumber()
	k.checkServices()
	k.checkTeams()
	k.checkJobs()
	k.checkRemovals()
	k.checkTeamsInUse()
	return k.reasons
}

func (k *checker) refuse(format string, args ...any) {
	k.reasons = append(k.reasons, fmt.Sprintf(format, args...))
}

func (k *checker) checkNumber() {
	if k.ticket.Number == 0 {
		k.refuse("number must be at least 1")
	}
	r := k.ticket.Removals
	touched := len(k.ticket.Services) + len(k.ticket.Teams) + len(k.ticket.Jobs) +
		len(r.Services) + len(r.Teams) + len(r.Jobs)
	if touched == 0 {
		k.refuse("the ticket touches nothing")
	}
}

func (k *checker) checkServices() {
	seen := make(map[modeler.ServiceName]bool)
	for _, s := range k.ticket.Services {
		if seen[s.Name] {
			k.refuse("service %q stands twice", s.Name)
		}
		seen[s.Name] = true
		k.checkService(s)
	}
}

func (k *checker) checkService(s modeler.Service) {
	if !namePattern.MatchString(string(s.Name)) {
		k.refuse("service name %q must be lower-case letters, digits and hyphens", s.Name)
	}
	if s.Region == "" {
		k.refuse("service %q has no region", s.Name)
	}
	if !k.teamExists(s.Team) {
		k.refuse("service %q names team %q, which does not exist", s.Name, s.Team)
	}
	if s.Limit <= 0 {
		k.refuse("service %q: limit must be above 0", s.Name)
	}
	if s.Wait <= 0 {
		k.refuse("service %q: wait must be above 0", s.Name)
	}
	if s.Queue <= 0 {
		k.refuse("service %q: queue must be above 0", s.Name)
	}
	if s.Rate < 0 {
		k.refuse("service %q: rate must not be negative", s.Name)
	}
}

func (k *checker) checkTeams() {
	seen := make(map[modeler.TeamName]bool)
	for _, t := range k.ticket.Teams {
		if seen[t.Name] {
			k.refuse("team %q stands twice", t.Name)
		}
		seen[t.Name] = true
		if !namePattern.MatchString(string(t.Name)) {
			k.refuse("team name %q must be lower-case letters, digits and hyphens", t.Name)
		}
		if t.Quota.Negative() {
			k.refuse("team %q: quota must not be negative", t.Name)
		}
		if t.Weight <= 0 {
			k.refuse("team %q: weight must be above 0", t.Name)
		}
		if t.Policy != modeler.Spread && t.Policy != modeler.Pack {
			k.refuse("team %q: policy %q is neither spread nor pack", t.Name, t.Policy)
		}
	}
}

func (k *checker) checkJobs() {
	seen := make(map[modeler.JobID]bool)
	for i := range k.ticket.Jobs {
		job := &k.ticket.Jobs[i]
		if seen[job.ID] {
			k.refuse("job %q stands twice", job.ID)
		}
		seen[job.ID] = true
		for _, reason := range JobProblems(job) {
			k.refuse("%s", reason)
		}
		if !k.teamExists(job.Team) {
			k.refuse("job %q names team %q, which does not exist", job.ID, job.Team)
		}
	}
}

// JobProblems returns the reasons to refuse a job that don't depend on the state
// of the cell, none if the job is valid.
func JobProblems(job *modeler.Job) []string {
	var reasons []string
	refuse := func(format string, args ...any) {
		reasons = append(reasons, fmt.Sprintf("job %q: ", job.ID)+fmt.Sprintf(format, args...))
	}
	if !namePattern.MatchString(string(job.ID)) {
		refuse("the id must be lower-case letters, digits and hyphens")
	}
	if job.Tasks <= 0 || job.Tasks > maxJobTasks {
		refuse("tasks must be from 1 to %d", maxJobTasks)
	}
	if job.Size.Negative() || job.Size == (modeler.Resources{}) {
		refuse("size must be above 0")
	}
	if len(job.Command) > maxCommandBytes {
		refuse("command is longer than %d bytes", maxCommandBytes)
	}
	switch {
	case job.Step < 0 || job.Step > max(job.Tasks, 0):
		refuse("step must be from 1 to the number of tasks, or left out")
	case job.Step > 0 && job.Kind != modeler.LongRunning:
		refuse("step is only for a service; other jobs are replaced whole")
	}
	switch job.Kind {
	case modeler.LongRunning:
		if job.Runtime != 0 {
			refuse("a service has no runtime")
		}
	case modeler.Batch, modeler.Gang:
		if job.Runtime <= 0 {
			refuse("runtime must be above 0")
		}
	default:
		refuse("kind %q is none of service, batch and gang", job.Kind)
	}
	return reasons
}

// CheckSubmission checks a job that a caller submits without a ticket. It
// returns an error of kind Malformed if the job is invalid or its team doesn't
// exist, and of kind KeyReused if a ticket has set up a job with the same id.
func (c *Cell) CheckSubmission(job *modeler.Job) error {
	if reasons := JobProblems(job); len(reasons) > 0 {
		return classifier.New(classifier.Malformed, "%s", reasons[0])
	}
	if _, found := c.Teams[job.Team]; !found {
		return classifier.New(classifier.Malformed, "team %q does not exist", job.Team)
	}
	if _, found := c.Jobs[job.ID]; found {
		return classifier.New(classifier.KeyReused, "a ticket holds job %q", job.ID)
	}
	return nil
}

func (k *checker) checkRemovals() {
	r := k.ticket.Removals
	for _, name := range r.Services {
		if _, found := k.cell.Services[name]; !found {
			k.refuse("service %q can't be removed: it does not exist", name)
		}
		for _, s := range k.ticket.Services {
			if s.Name == name {
				k.refuse("service %q is both set and removed", name)
			}
		}
	}
	for _, name := range r.Teams {
		if _, found := k.cell.Teams[name]; !found {
			k.refuse("team %q can't be removed: it does not exist", name)
		}
		for _, t := range k.ticket.Teams {
			if t.Name == name {
				k.refuse("team %q is both set and removed", name)
			}
		}
	}
	for _, id := range r.Jobs {
		if _, found := k.cell.Jobs[id]; !found {
			k.refuse("job %q can't be removed: it does not exist", id)
		}
		for i := range k.ticket.Jobs {
			if k.ticket.Jobs[i].ID == id {
				k.refuse("job %q is both set and removed", id)
			}
		}
	}
}

// checkTeamsInUse refuses to remove a team to which a service or job would still
// belong after the ticket.
func (k *checker) checkTeamsInUse() {
	removed := make(map[modeler.TeamName]bool)
	for _, name := range k.ticket.Removals.Teams {
		removed[name] = true
	}
	if len(removed) == 0 {
		return
	}
	stateAfter := k.stateAfter()
	for _, s := range stateAfter.Services {
		if removed[s.Team] {
			k.refuse("team %q can't be removed: service %q names it", s.Team, s.Name)
		}
	}
	for _, job := range stateAfter.Jobs {
		if removed[job.Team] {
			k.refuse("team %q can't be removed: job %q names it", job.Team, job.ID)
		}
	}
}

// stateAfter returns a cell with the services and jobs that there would be after
// the ticket.
func (k *checker) stateAfter() *Cell {
	next := NewCell()
	for name, s := range k.cell.Services {
		next.Services[name] = s
	}
	for id, job := range k.cell.Jobs {
		next.Jobs[id] = job
	}
	next.accept(0, k.ticket, 0)
	return next
}

func (k *checker) teamExists(name modeler.TeamName) bool {
	for _, t := range k.ticket.Teams {
		if t.Name == name {
			return true
		}
	}
	_, found := k.cell.Teams[name]
	return found
}
