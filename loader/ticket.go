package loader

import (
	"math"
	"slices"
	"strings"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// LoadTicket reads a ticket and checks types, names, numbers and repeated
// objects. It doesn't check the ticket against the replicated state; the
// system does.
func LoadTicket(path string) (modeler.Ticket, []Finding) {
	r, root, ok := open(path)
	if !ok {
		return modeler.Ticket{}, r.findings
	}
	t := readTicket(r, root)
	sortFindings(r.findings)
	return t, r.findings
}

func readTicket(r *reader, root node) modeler.Ticket {
	var t modeler.Ticket
	isObject := r.object(root, []field{
		{"number", true, func(n node) { t.Number = modeler.TicketNumber(r.integer(n, 1, math.MaxInt64)) }},
		{"note", false, func(n node) { t.Note, _ = r.stringValue(n) }},
		{"services", false, func(n node) { readServices(r, n, &t) }},
		{"teams", false, func(n node) { readTeams(r, n, &t) }},
		{"jobs", false, func(n node) { readJobs(r, n, &t) }},
		{"removes", false, func(n node) { readRemoval(r, n, &t.Removals) }},
	})
	if isObject && len(r.findings) == 0 && isEmptyTicket(t) {
		r.report(root, "changes nothing: it has no services, teams, jobs or removes")
	}
	return t
}

func isEmptyTicket(t modeler.Ticket) bool {
	return len(t.Services)+len(t.Teams)+len(t.Jobs)+
		len(t.Removals.Services)+len(t.Removals.Teams)+len(t.Removals.Jobs) == 0
}

func readServices(r *reader, n node, t *modeler.Ticket) {
	r.list(n, func(element node) {
		var s modeler.Service
		r.object(element, []field{
			{"name", true, func(n node) {
				s.Name = modeler.ServiceName(r.name(n))
				r.reportRepeated(n, slices.IndexFunc(t.Services, func(o modeler.Service) bool { return s.Name != "" && o.Name == s.Name }))
			}},
			{"region", true, func(n node) { s.Region = modeler.RegionName(r.name(n)) }},
			{"team", true, func(n node) { s.Team = modeler.TeamName(r.name(n)) }},
			{"once", false, func(n node) { s.AtMostOnce = r.boolean(n) }},
			{"limit", true, func(n node) { s.Limit = modeler.Duration(r.duration(n, time.Millisecond)) }},
			{"wait", true, func(n node) { s.Wait = modeler.Duration(r.duration(n, time.Millisecond)) }},
			{"queue", true, func(n node) { s.Queue = int(r.integer(n, 1, 1<<20)) }},
			{"rate", false, func(n node) { s.Rate = int(r.integer(n, 0, 1<<20)) }},
		})
		t.Services = append(t.Services, s)
	})
}

func readTeams(r *reader, n node, t *modeler.Ticket) {
	r.list(n, func(element node) {
		var team modeler.Team
		r.object(element, []field{
			{"name", true, func(n node) {
				team.Name = modeler.TeamName(r.name(n))
				r.reportRepeated(n, slices.IndexFunc(t.Teams, func(o modeler.Team) bool { return team.Name != "" && o.Name == team.Name }))
			}},
			{"quota", true, func(n node) { r.resources(n, &team.Quota) }},
			{"weight", true, func(n node) { team.Weight = int(r.integer(n, 1, 1<<20)) }},
			{"policy", true, func(n node) {
				team.Policy = modeler.Policy(r.choice(n, string(modeler.Spread), string(modeler.Pack)))
			}},
		})
		t.Teams = append(t.Teams, team)
	})
}

func readJobs(r *reader, n node, t *modeler.Ticket) {
	r.list(n, func(element node) {
		t.Jobs = append(t.Jobs, readJob(r, element, func(id modeler.JobID) int {
			return slices.IndexFunc(t.Jobs, func(o modeler.Job) bool { return id != "" && o.ID == id })
		}))
	})
}

// LoadJob reads a job that is submitted without a ticket.
func LoadJob(path string) (modeler.Job, []Finding) {
	r, root, ok := open(path)
	if !ok {
		return modeler.Job{}, r.findings
	}
	j := readJob(r, root, func(modeler.JobID) int { return -1 })
	sortFindings(r.findings)
	return j, r.findings
}

// readJob reads one job. indexOf returns the index of an earlier job with the
// same id, or a negative number.
func readJob(r *reader, element node, indexOf func(modeler.JobID) int) modeler.Job {
	var j modeler.Job
	var runtime, step node
	r.object(element, []field{
		{"id", true, func(n node) {
			j.ID = modeler.JobID(r.name(n))
			r.reportRepeated(n, indexOf(j.ID))
		}},
		{"team", true, func(n node) { j.Team = modeler.TeamName(r.name(n)) }},
		{"kind", true, func(n node) {
			j.Kind = modeler.JobKind(r.choice(n, string(modeler.LongRunning), string(modeler.Batch), string(modeler.Gang)))
		}},
		{"tasks", true, func(n node) { j.Tasks = int(r.integer(n, 1, 1<<20)) }},
		{"step", false, func(n node) { j.Step, step = int(r.integer(n, 1, 1<<20)), n }},
		{"size", true, func(n node) { r.resources(n, &j.Size) }},
		{"runtime", false, func(n node) { j.Runtime, runtime = modeler.Duration(r.duration(n, 0)), n }},
		{"urgent", false, func(n node) { j.Urgent = r.boolean(n) }},
		{"checkpoint", false, func(n node) { j.Checkpoint = r.boolean(n) }},
		{"once", false, func(n node) { j.AtMostOnce = r.boolean(n) }},
		{"where", false, func(n node) { readConstraint(r, n, &j.Constraint) }},
		{"command", false, func(n node) { j.Command, _ = r.stringValue(n) }},
	})
	if j.Step > j.Tasks {
		r.report(step, "must be at most the number of tasks, %d, not %d", j.Tasks, j.Step)
	}
	if j.Kind == modeler.LongRunning && j.Runtime != 0 {
		r.report(runtime, "must be left out or 0 on a service, which has no end")
	}
	return j
}

func readConstraint(r *reader, n node, c *modeler.Constraint) {
	r.object(n, []field{
		{"regions", false, func(n node) {
			for _, name := range r.names(n) {
				c.Regions = append(c.Regions, modeler.RegionName(name))
			}
		}},
		{"domains", false, func(n node) {
			for _, name := range r.names(n) {
				c.Domains = append(c.Domains, modeler.DomainName(name))
			}
		}},
		{"racks", false, func(n node) {
			for _, name := range r.names(n) {
				c.Racks = append(c.Racks, modeler.RackName(name))
			}
		}},
		{"labels", false, func(n node) { c.Labels = r.names(n) }},
	})
}

func readRemoval(r *reader, n node, removal *modeler.Removal) {
	r.object(n, []field{
		{"services", false, func(n node) { removal.Services = serviceNames(r.names(n)) }},
		{"teams", false, func(n node) {
			for _, name := range r.names(n) {
				removal.Teams = append(removal.Teams, modeler.TeamName(name))
			}
		}},
		{"jobs", false, func(n node) {
			for _, name := range r.names(n) {
				removal.Jobs = append(removal.Jobs, modeler.JobID(name))
			}
		}},
	})
}

// choice reads a string that must be one of the given words.
func (r *reader) choice(n node, words ...string) string {
	text, ok := r.stringValue(n)
	if !ok {
		return ""
	}
	if !slices.Contains(words, text) {
		r.report(n, "must be one of %s, not %q", strings.Join(words, ", "), text)
		return ""
	}
	return text
}
