package loader_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/loader"
	"goldcreststack.example/goldcreststack/modeler"
)

// writeFile writes text to a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// withoutPath returns the findings without the file name, one per line.
func withoutPath(path string, findings []loader.Finding) string {
	return strings.ReplaceAll(loader.FormatFindings(findings), path+":", "")
}

const head = `{"host": "h", "region": "r", "domain": "d",` + "\n"

const entryHead = head + `"entry": {"name": "e", "listen": "0.0.0.0:1", "controls": ["192.0.2.1:7"],` + "\n"

const controlHead = head + `"control": {"listen": "0.0.0.0:1", "advertise": "192.0.2.1:1", "http": "192.0.2.1:2", "folder": "f",` + "\n"

const workerHead = head + `"worker": {"name": "w", "listen": "192.0.2.1:9", "advertise": "192.0.2.1:9", "rack": "a", "entries": ["192.0.2.2:8"],
"capacity": {"processors": 1, "memory": 1},` + "\n"

// Guards against faults that are not reported, a fault whose report
// suppresses that of another, and findings with a wrong line.
func TestLoadFindings(t *testing.T) {
	tests := []struct {
		name  string
		text  string
		roles []loader.Role
		want  []string
	}{
		{
			name: "syntax", text: "{\n  // comment\n  \"host\": \"h\",\n  \"region\" 5\n}",
			want: []string{"4: syntax: column 12: invalid character '5' after object name"},
		},
		{
			name: "unclosed", text: "{\n\"host\": \"h\"\n",
			want: []string{"3: syntax: column 1: parsing object after value: unexpected EOF"},
		},
		{name: "empty file", text: "", want: []string{"1: syntax: column 1: parsing value: unexpected EOF"}},
		{name: "not an object", text: "\n[]", want: []string{"2: must be an object, not a list"}},
		{
			name: "missing at the top is on the line of the brace", text: "// one\n\n{\n\n}",
			want: []string{
				"3: host: field is missing",
				"3: region: field is missing",
				"3: domain: field is missing",
				"3: has none of the sections entry, control and worker",
			},
		},
		{
			name: "missing section of the role", text: entryHead + "}}", roles: []loader.Role{loader.ControlRole},
			want: []string{"1: control: section is missing, and this process runs the role control"},
		},
		{
			name: "missing failure domain and empty names",
			text: "{\"host\": \" h\",\n\"region\": \"\",\n\"entry\":\n {\n\"name\": \"a/b\", \"listen\": \"192.0.2.1:8\", \"controls\": [\"192.0.2.1:7\"]}}",
			want: []string{
				"1: host: must be a name without surrounding spaces, line breaks or any of / ? # %",
				"1: domain: field is missing",
				"2: region: must be a name without surrounding spaces, line breaks or any of / ? # %",
				"5: entry.name: must be a name without surrounding spaces, line breaks or any of / ? # %",
			},
		},
		{
			name: "missing and wrong fields nested", text: head + "\"entry\":\n{\n\"listen\": 5,\n\"controls\": {},\n\"limits\":\n{\n\"body\": \"1\", \"queue\": 1.5,\n\"depth\": 3}}}",
			want: []string{
				"3: entry.name: field is missing",
				"4: entry.listen: must be a text, not a number",
				"5: entry.controls: must be a list, not an object",
				"8: entry.limits.body: must be a number, not a text",
				"8: entry.limits.queue: must be a whole number, not 1.5",
				"9: entry.limits.depth: unknown field; known are body, queue, buffer",
			},
		},
		{
			name: "set twice", text: entryHead + "\"delay\": \"1s\",\n\"delay\": \"2s\"}}",
			want: []string{"4: entry.delay: field is set twice"},
		},
		{
			name: "contradictions of an entry", text: entryHead + "\"delay\": \"5s\",\n\"grace\": \"4s\",\n\"limits\": {\"body\": 10,\n\"buffer\": 9}}}",
			want: []string{
				"4: entry.grace: 4s is below the delay of 5s, so the process would end before its listener closes",
				"6: entry.limits.buffer: 9 bytes can't hold one body of the limit of 10 bytes",
			},
		},
		{
			name: "contradiction with a default is on the line of the object", text: entryHead + "\"delay\": \"61s\"}}",
			want: []string{"2: entry.grace: 1m0s is below the delay of 1m1s, so the process would end before its listener closes"},
		},
		{
			name: "a faulty value is not compared", text: entryHead + "\"delay\": \"5s\",\n\"grace\": 7,\n\"limits\": {\"buffer\": 0}}}",
			want: []string{
				"4: entry.grace: must be a text, not a number",
				"5: entry.limits.buffer: must be at least 1, not 0",
			},
		},
		{
			name: "addresses", text: head + "\"entry\": {\"name\": \"e\", \"listen\": \"localhost:1\", \"controls\": [\n\"host.example:7\",\n\"192.0.2.1\",\n\"0.0.0.0:7\",\n\"192.0.2.1:0\",\n\"192.0.2.1:7\",\n\"192.0.2.1:7\", \"[2001:db8::1]:7\"],\n\"delay\": 3}}",
			want: []string{
				`2: entry.listen: "localhost:1" is not an IP address with a port, such as 192.0.2.1:8080`,
				`3: entry.controls[0]: "host.example:7" is not an IP address with a port, such as 192.0.2.1:8080`,
				`4: entry.controls[1]: "192.0.2.1" is not an IP address with a port, such as 192.0.2.1:8080`,
				`5: entry.controls[2]: "0.0.0.0:7" can't be dialled: it names every address of a host`,
				`6: entry.controls[3]: "192.0.2.1:0" has no usable port`,
				`8: entry.controls[5]: repeats element 0 of the list`,
				`9: entry.delay: must be a text, not a number`,
			},
		},
		{
			name: "spans", text: entryHead + "\"delay\": \"3\",\n\"grace\": \"-2s\"}}",
			want: []string{
				`3: entry.delay: duration "3" is not a number with a unit such as 250ms or 5s`,
				`4: entry.grace: must be at least 1ms, not -2s`,
			},
		},
		{
			name: "no addresses", text: head + "\"entry\": {\"name\": \"e\", \"listen\": \"0.0.0.0:1\",\n\"controls\": []}}",
			want: []string{"3: entry.controls: must name at least one address"},
		},
		{
			name: "even members", text: controlHead + "\"member\": 1,\n\"members\": [{\"id\": 1, \"address\": \"192.0.2.1:1\"}, {\"id\": 2, \"address\": \"192.0.2.2:1\"}]}}",
			want: []string{"4: control.members: has 2 members; a group starts with 1, 3 or 5"},
		},
		{
			name: "repeated members", text: controlHead + "\"member\": 1,\n\"members\": [{\"id\": 1, \"address\": \"192.0.2.1:1\"},\n{\"id\": 1, \"address\": \"192.0.2.1:1\"}, {\"id\": 0},\n{\"id\": 3, \"address\": \"192.0.2.3:1\", \"zone\": 1}]}}",
			want: []string{
				"4: control.members: has 4 members; a group starts with 1, 3 or 5",
				"5: control.members[1].id: repeats element 0 of the list",
				"5: control.members[1].address: repeats element 0 of the list",
				"5: control.members[2].id: must be at least 1, not 0",
				"5: control.members[2].address: field is missing",
				"6: control.members[3].zone: unknown field; known are id, address",
			},
		},
		{
			name: "own member absent", text: controlHead + "\"member\": 9,\n\"members\": [{\"id\": 1, \"address\": \"192.0.2.1:1\"}]}}",
			want: []string{"4: control.members: doesn't list member 9 itself"},
		},
		{
			name: "own address differs", text: controlHead + "\"member\": 1,\n\"members\": [{\"id\": 1, \"address\": \"192.0.2.4:1\"}]}}",
			want: []string{"2: control.advertise: 192.0.2.1:1 differs from member 1 in the list, which has 192.0.2.4:1"},
		},
		{
			name: "joining member among the first", text: controlHead + "\"member\": 1, \"join\": true,\n\"members\": [{\"id\": 1, \"address\": \"192.0.2.1:1\"}]}}",
			want: []string{"4: control.members: lists member 1 itself, which can't be a first member because it joins"},
		},
		{
			name: "joining member asks any number", text: controlHead + "\"member\": 4, \"join\": true,\n\"members\": [{\"id\": 1, \"address\": \"192.0.2.4:1\"}, {\"id\": 2, \"address\": \"192.0.2.5:1\"}]}}",
		},
		{
			name: "join is a flag", text: controlHead + "\"member\": 1,\n\"join\": \"yes\",\n\"members\": []}}",
			want: []string{"4: control.join: must be true or false, not a text", "5: control.members: must name at least one member"},
		},
		{
			name: "slots above connections", text: workerHead + "\"connections\": 7,\n\"slots\": 8}}",
			want: []string{"5: worker.slots: 8 is above the 7 connections, so some slots could never be used"},
		},
		{
			name: "worker lists and capacity", text: workerHead + "\"connections\": 7, \"slots\": 1,\n\"labels\": [\"a\",\n\"a\"], \"services\": [null],\n\"idle\": \"1ms\"}}",
			want: []string{
				"6: worker.labels[1]: repeats element 0 of the list",
				"6: worker.services[0]: must be a text, not null",
				"7: worker.idle: must be at least 10ms, not 1ms",
			},
		},
		{
			name: "one port for two roles", text: entryHead + "},\n\"control\": {\"listen\": \"192.0.2.1:1\", \"advertise\": \"192.0.2.1:1\",\n\"http\": \"192.0.2.1:1\", \"folder\": \" \", \"member\": 1, \"members\": [{\"id\": 1, \"address\": \"192.0.2.1:1\"}]}}",
			want: []string{
				"4: control.listen: 192.0.2.1:1 is taken by entry.listen, which is 0.0.0.0:1",
				"5: control.folder: must name a folder",
				"5: control.http: 192.0.2.1:1 is taken by entry.listen, which is 0.0.0.0:1",
				"5: control.http: 192.0.2.1:1 is taken by control.listen, which is 192.0.2.1:1",
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := writeFile(t, test.text)
			_, findings := loader.LoadSettings(path, test.roles...)
			assert.Equal(t, withoutPath(path, findings), strings.Join(test.want, "\n"))
		})
	}
}

// Guards against a missing file that is treated like an empty one.
func TestLoadMissingFile(t *testing.T) {
	_, findings := loader.LoadSettings("absent.json")
	assert.Equal(t, loader.FormatFindings(findings), "absent.json:0: no such file or directory")
}

// assertAllSet fails the test if v or a value within it has its zero value.
func assertAllSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	assert.Assert(t, !v.IsZero(), "%s is not set", path)
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			assertAllSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			assertAllSet(t, path, v.Index(i))
		}
	}
}

// Guards against a field of a ticket or job that the loader drops or refuses
// as unknown, as it did with the field "once" of a job.
func TestLoadEveryField(t *testing.T) {
	size := modeler.Resources{Processors: 1, Memory: 2, Accelerators: 3}
	job := modeler.Job{
		ID: "j", Team: "t", Kind: modeler.Gang, Tasks: 4, Step: 3, Size: size, Runtime: 5, Urgent: true, Checkpoint: true, AtMostOnce: true, Command: "c",
		Constraint: modeler.Constraint{Regions: []modeler.RegionName{"r"}, Domains: []modeler.DomainName{"d"}, Racks: []modeler.RackName{"k"}, Labels: []string{"l"}},
	}
	ticket := modeler.Ticket{
		Number: 6, Note: "n", Jobs: []modeler.Job{job},
		Services: []modeler.Service{{Name: "s", Region: "r", Team: "t", AtMostOnce: true, Limit: 7e6, Wait: 8e6, Queue: 9, Rate: 10}},
		Teams:    []modeler.Team{{Name: "t", Quota: size, Weight: 11, Policy: modeler.Pack}},
		Removals: modeler.Removal{Services: []modeler.ServiceName{"a"}, Teams: []modeler.TeamName{"b"}, Jobs: []modeler.JobID{"c"}},
	}
	assertAllSet(t, "ticket", reflect.ValueOf(ticket))
	text, err := json.Marshal(ticket)
	assert.NilError(t, err)
	loaded, findings := loader.LoadTicket(writeFile(t, string(text)))
	assert.Equal(t, loader.FormatFindings(findings), "")
	assert.DeepEqual(t, loaded, ticket)
	text, err = json.Marshal(job)
	assert.NilError(t, err)
	single, findings := loader.LoadJob(writeFile(t, string(text)))
	assert.Equal(t, loader.FormatFindings(findings), "")
	assert.DeepEqual(t, single, job)
}

// Guards against a malformed ticket that only the server refuses.
func TestLoadTicketFindings(t *testing.T) {
	path := writeFile(t, `{
"number": 0, "note": 5,
"services": [{"name": "s", "region": "r", "team": "t", "limit": "0s", "wait": "1s", "queue": 0},
 {"name": "s", "once": 1}],
"teams": [{"name": "t", "quota": {"processors": -1, "memory": 1e3}, "weight": 0, "policy": "fill"}],
"jobs": [{"id": "j", "team": "t", "kind": "service", "tasks": 0, "size": {},
 "runtime": "1m", "step": 5, "where": {"zones": []}}],
"removes": {"jobs": ["a", "a"]},
}`)
	_, findings := loader.LoadTicket(path)
	assert.Equal(t, withoutPath(path, findings), strings.Join([]string{
		"2: number: must be at least 1, not 0",
		"2: note: must be a text, not a number",
		"3: services[0].limit: must be at least 1ms, not 0s",
		"3: services[0].queue: must be at least 1, not 0",
		"4: services[1].name: repeats element 0 of the list",
		"4: services[1].once: must be true or false, not a number",
		"4: services[1].region: field is missing",
		"4: services[1].team: field is missing",
		"4: services[1].limit: field is missing",
		"4: services[1].wait: field is missing",
		"4: services[1].queue: field is missing",
		"5: teams[0].quota.processors: must be at least 0, not -1",
		"5: teams[0].quota.memory: must be a whole number, not 1e3",
		"5: teams[0].weight: must be at least 1, not 0",
		`5: teams[0].policy: must be one of spread, pack, not "fill"`,
		"6: jobs[0].tasks: must be at least 1, not 0",
		"6: jobs[0].size.processors: field is missing",
		"6: jobs[0].size.memory: field is missing",
		"7: jobs[0].where.zones: unknown field; known are regions, domains, racks, labels",
		"7: jobs[0].step: must be at most the number of tasks, 0, not 5",
		"7: jobs[0].runtime: must be left out or 0 on a service, which has no end",
		"8: removes.jobs[1]: repeats element 0 of the list",
	}, "\n"))

	path = writeFile(t, `{"number": 3}`)
	_, findings = loader.LoadTicket(path)
	assert.Equal(t, withoutPath(path, findings), "1: changes nothing: it has no services, teams, jobs or removes")
}

// Guards against a panic or a finding with a line outside the file when a
// file is malformed. At every seventh byte, one variant of the file lacks
// that byte and others have a bracket, a brace, a quote or a digit in its
// place.
func TestMutatedSamples(t *testing.T) {
	for _, name := range []string{"../samples/kitahama/host-1.json", "../samples/kovacic/worker-1.json", "../samples/kovacic/ticket-1.json"} {
		text, err := os.ReadFile(name)
		assert.NilError(t, err)
		lines := 1 + strings.Count(string(text), "\n")
		path := writeFile(t, "")
		faulty := 0
		for offset := 0; offset < len(text); offset += 7 {
			for _, replacement := range []string{"", "]", "{", `"`, "7"} {
				mutated := string(text[:offset]) + replacement + string(text[offset+1:])
				assert.NilError(t, os.WriteFile(path, []byte(mutated), 0o600))
				_, findings := loader.LoadSettings(path)
				_, ticketFindings := loader.LoadTicket(path)
				for _, f := range append(findings, ticketFindings...) {
					assert.Assert(t, f.Line >= 1 && f.Line <= lines && f.Reason != "", "%s", f)
				}
				if len(findings) > 0 && len(ticketFindings) > 0 {
					faulty++
				}
			}
		}
		assert.Assert(t, faulty > len(text)/7, "%d", faulty)
	}
}

// Guards against samples that the loader refuses, and against values that it
// stores in the wrong field.
func TestSamples(t *testing.T) {
	paths, err := filepath.Glob("../samples/*/*.json")
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 2*(7+1+1)+2)
	controls, addresses := 0, make(map[string]bool)
	for _, path := range paths {
		kind := loader.DetectKind(path)
		assert.Equal(t, kind == "ticket", strings.Contains(path, "ticket"), path)
		assert.Equal(t, kind == "job", strings.Contains(path, "job"), path)
		switch kind {
		case "ticket":
			ticket, findings := loader.LoadTicket(path)
			assert.Equal(t, loader.FormatFindings(findings), "")
			assert.Equal(t, filepath.Base(path), fmt.Sprintf("ticket-%d.json", ticket.Number))
			continue
		case "job":
			job, findings := loader.LoadJob(path)
			assert.Equal(t, loader.FormatFindings(findings), "")
			assert.Equal(t, job.ID, modeler.JobID("label-prints"))
			continue
		}
		s, findings := loader.LoadSettings(path)
		assert.Equal(t, loader.FormatFindings(findings), "")
		if s.Control != nil {
			controls++
			addresses[s.Control.AdvertisedAddress] = true
			assert.Equal(t, len(s.Control.Members), 3)
		}
	}
	assert.Equal(t, controls, 6)
	assert.Equal(t, len(addresses), 6)

	s, _ := loader.LoadSettings("../samples/kitahama/host-2.json", loader.EntryRole, loader.ControlRole)
	assert.DeepEqual(t, s, loader.Settings{
		Host: "kitahama-2", Region: "kyushu-north", Domain: "kokura-b",
		Entry: &loader.Entry{
			Name: "kitahama-entry-2", ListenAddress: "0.0.0.0:8080",
			ControlAddresses: []string{"192.0.2.11:7100", "192.0.2.12:7100", "192.0.2.13:7100"},
			DrainDelay:       2 * time.Second, ShutdownTimeout: time.Minute,
			Limits: loader.Limits{MaxBodyBytes: 1 << 20, MaxQueuedRequests: 4096, MaxBufferedBytes: 64 << 20},
		},
		Control: &loader.Control{
			Member: 2, ListenAddress: "0.0.0.0:7100", AdvertisedAddress: "192.0.2.12:7100", HTTPAddress: "192.0.2.12:7101",
			Members:    []loader.FirstMember{{1, "192.0.2.11:7100"}, {2, "192.0.2.12:7100"}, {3, "192.0.2.13:7100"}},
			DataFolder: "data",
		},
	})
	s, _ = loader.LoadSettings("../samples/kovacic/worker-1.json", loader.WorkerRole)
	assert.DeepEqual(t, s.Worker, &loader.Worker{
		Name: "kovacic-worker-1", ListenAddress: "0.0.0.0:9000", AdvertisedAddress: "198.51.100.101:9000",
		EntryAddresses: s.Worker.EntryAddresses, Rack: "zagreb-a-1", Labels: []string{"ssd"},
		Services: []modeler.ServiceName{"narudzbe", "die-cutting"}, Slots: 8, Connections: 64, IdleTimeout: time.Second,
		Capacity: modeler.Resources{Processors: 32000, Memory: 128 << 30},
	})
	assert.Equal(t, len(s.Worker.EntryAddresses), 7)
	ticket, _ := loader.LoadTicket("../samples/kovacic/ticket-1.json")
	assert.DeepEqual(t, ticket.Services[1], modeler.Service{
		Name: "die-cutting", Region: "zagreb", Team: "engraving", AtMostOnce: true,
		Limit: modeler.Duration(time.Minute), Wait: modeler.Duration(10 * time.Second), Queue: 64,
	})
	assert.DeepEqual(t, ticket.Jobs[1], modeler.Job{
		ID: "proof-renderers", Team: "engraving", Kind: modeler.Gang, Tasks: 8,
		Size: modeler.Resources{Processors: 4000, Memory: 8 << 30}, Runtime: modeler.Duration(10 * time.Minute),
		Constraint: modeler.Constraint{Regions: []modeler.RegionName{"zagreb"}}, Command: "render --proofs",
	})
}
