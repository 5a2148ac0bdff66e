package main_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/operator"
)

// runCommand runs the binary with the entry hosts' addresses in the environment and
// returns its exit code and outputs.
func (s *system) runCommand(args ...string) (code operator.ExitCode, out, errs string) {
	s.t.Helper()
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "GOLDCRESTSTACK_ENTRIES="+strings.Join(s.entryAddresses, ", "))
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		s.t.Fatal(err)
	}
	return operator.ExitCode(cmd.ProcessState.ExitCode()), stdout.String(), stderr.String()
}

// answer runs a command that must succeed with --json and decodes its answer.
func (s *system) answer(into any, args ...string) {
	s.t.Helper()
	reflect.ValueOf(into).Elem().SetZero()
	code, out, errs := s.runCommand(append(args, "--json")...)
	assert.Equal(s.t, code, operator.Done, "%v: %s %s", args, out, errs)
	report := struct {
		Code   operator.ExitCode
		Answer any
	}{Code: -1, Answer: into}
	assert.NilError(s.t, json.Unmarshal([]byte(out), &report), out)
	assert.Equal(s.t, report.Code, operator.Done)
}

// runForCode runs a command, without and with --json, that must exit with the code
// and print the text.
func (s *system) runForCode(want operator.ExitCode, text string, args ...string) {
	s.t.Helper()
	code, out, errs := s.runCommand(args...)
	assert.Equal(s.t, code, want, "%v: %s %s", args, out, errs)
	assert.Assert(s.t, strings.Contains(out+errs, text), "%v: %s %s", args, out, errs)
	code, out, errs = s.runCommand(append(args, "--json", "--patience", "1s")...)
	assert.Equal(s.t, code, want, "%v --json: %s %s", args, out, errs)
	if want != operator.Usage {
		var report operator.Report
		assert.NilError(s.t, json.Unmarshal([]byte(out), &report), out)
		assert.Equal(s.t, report.Code, want)
	}
}

// Guards against commands that print something else than the server's answer, exit
// with a code that doesn't match the outcome, or send requests despite invalid
// arguments.
func TestVerbs(t *testing.T) {
	s := newSystem(t, kovacic, 3, 2, 2)
	next := func(number int, note string) string {
		ticket := s.note(note)
		ticket.Number = modeler.TicketNumber(number)
		return s.writeJSON(fmt.Sprintf("ticket-%d-%s.json", number, note), ticket)
	}
	two := next(2, "two")
	var first, again, seen modeler.TicketAnswer
	s.answer(&first, "apply", "--wait", "10s", two)
	assert.Assert(t, first.Accepted && first.InForce && !first.Repeat && first.Digest != 0)
	s.answer(&again, "apply", two)
	assert.Assert(t, again.Repeat && again.InForce)
	s.answer(&seen, "ticket", "2")
	seen.Repeat = true
	assert.DeepEqual(t, again, seen)
	again.Repeat = false
	assert.DeepEqual(t, again, first)
	digest, _ := first.Digest.MarshalText()
	s.runForCode(operator.Conflict, string(digest), "apply", next(2, "other"))
	s.answer(&seen, "apply", next(9, "nine"))
	s.runForCode(operator.Conflict, "ticket-stale", "apply", next(8, "eight"))
	s.runForCode(operator.Refused, "unknown-ticket", "ticket", "77")
	s.runForCode(operator.Refused, "ticket-invalid", "apply", s.writeJSON("team.json", section{"number": 10, "removes": section{"teams": []string{"team"}}}))
	s.runForCode(operator.Usage, "number: must be at least 1", "apply", s.writeJSON("zero.json", section{"number": 0}))
	s.runForCode(operator.Usage, "not a positive number", "ticket", "two")
	s.runForCode(operator.Usage, "not an IP address", "status", "--entries", "localhost:80")
	s.runForCode(operator.Unreachable, "connect-failed", "status", "--patience", "0s", "--entries", freeAddresses(t, 1)[0])

	s.checkJobCommands()
	s.checkMetricsPage()

	// dump accepts the address of an entry host; checkMetricsPage dumps a control
	// process.
	var dump struct{ Role string }
	s.answer(&dump, "dump", s.entryAddresses[0])
	assert.Equal(t, dump.Role, "entry")
	var status modeler.Status
	s.answer(&status, "status")
	assert.Equal(t, len(status.Entries), 2)
	assert.Equal(t, status.Workers.Capacity.Processors, modeler.Millicores(64000))
	assert.Equal(t, status.Ticket, modeler.TicketNumber(9))

	var drained modeler.DrainAnswer
	s.answer(&drained, "drain", s.entryAddresses[1])
	assert.Equal(t, drained.Name, modeler.EntryID("entry-2"))
	assert.NilError(t, s.entries[1].wait(20*time.Second))
	// The other host continues to serve, and the next ticket waits only for its
	// confirmation.
	s.answer(&seen, "apply", "--wait", "15s", next(10, "ten"))
	assert.Assert(t, seen.InForce)
}

// checkMetricsPage fails when a process has a metric that docs/operating.md
// doesn't explain.
func (s *system) checkMetricsPage() {
	page, err := os.ReadFile("../../docs/operating.md")
	assert.NilError(s.t, err)
	var control struct{ Control struct{ HTTP string } }
	data, err := os.ReadFile(s.controls[0].args[1])
	assert.NilError(s.t, err)
	assert.NilError(s.t, json.Unmarshal(data, &control))
	var dump struct{ Role string }
	s.answer(&dump, "dump", control.Control.HTTP)
	assert.Equal(s.t, dump.Role, "control")
	name := regexp.MustCompile(`(?m)^goldcreststack_([a-z_]+?)(_bucket|_sum|_count)?\{`)
	for _, address := range []string{s.entryAddresses[0], control.Control.HTTP} {
		answer, err := s.client.Get("http://" + address + "/metrics")
		assert.NilError(s.t, err)
		text, err := io.ReadAll(answer.Body)
		assert.NilError(s.t, errors.Join(err, answer.Body.Close()))
		found := name.FindAllSubmatch(text, -1)
		assert.Assert(s.t, len(found) > 5)
		for _, m := range found {
			assert.Check(s.t, bytes.Contains(page, []byte("`"+string(m[1])+"`")), "%s has no meaning on the page", m[1])
		}
	}
}

// checkJobCommands checks submit, job and cancel, with resends and refusals.
func (s *system) checkJobCommands() {
	t := s.t
	path := s.writeJSON("job.json", newJob("by-hand", modeler.LongRunning, 2, 1, ""))
	key := newKey(t)
	var submitted modeler.SubmitAnswer
	for _, repeat := range []bool{false, true} {
		s.answer(&submitted, "submit", "--key", key, path)
		assert.DeepEqual(t, submitted, modeler.SubmitAnswer{Job: "by-hand", Repeat: repeat})
	}
	s.runForCode(operator.Refused, "key-reused", "submit", path)
	s.runForCode(operator.Usage, "not a UUIDv7", "submit", "--key", "7", path)
	s.awaitJob(15*time.Second, "by-hand", 2, 0)
	var job modeler.JobStatus
	s.answer(&job, "job", "by-hand")
	assert.Equal(t, job.State, modeler.JobRunning)
	assert.Equal(t, len(job.Tasks), 2)
	var cancelled modeler.CancelAnswer
	s.answer(&cancelled, "cancel", "by-hand")
	s.await(15*time.Second, "the job is cancelled", func() error {
		s.answer(&job, "job", "by-hand")
		if job.State != modeler.JobCancelled || job.Ended != 2 {
			return fmt.Errorf("it is %s", job.State)
		}
		return nil
	})
	s.runForCode(operator.Refused, "unknown-job", "job", "nobody")
	s.runForCode(operator.Refused, "unknown-job", "cancel", "nobody")
}

// Guards against a group that can't be restored from one member after its quorum is
// lost permanently, a restore with a wrong id, a second time or beside a running
// member, and a restored group that loses recorded outcomes or can't add members.
func TestRestore(t *testing.T) {
	s := newSystem(t, kitahama, 3, 2, 1)
	once := "/v1/services/" + s.shape.once + "/run"
	key := newKey(t)
	code, body, err := s.post(s.entryAddresses[0], once, key, "children")
	assert.NilError(t, err)
	assert.Equal(t, code, http.StatusOK, body)
	ticket := s.note("before the loss")
	s.apply(ticket)
	s.awaitCaughtUp(3)
	before := s.writeJSON("before.json", ticket)
	var first modeler.TicketAnswer
	s.answer(&first, "ticket", fmt.Sprint(ticket.Number))

	last := s.leader()
	survivor := s.controls[last]
	settings := survivor.args[1]
	survivor.kill()
	s.runRefusedStart("still accepts connections", "--restore", fmt.Sprint(last+1), settings)
	for i, c := range s.controls {
		c.kill()
		if i != last {
			assert.NilError(t, os.RemoveAll(filepath.Join(s.folder, c.name)))
		}
	}
	exit, out, errs := s.runCommand("apply", "--patience", "0s", "--entries", s.entryAddresses[0], before)
	assert.Equal(t, exit, operator.Unreachable, out+errs)
	assert.Assert(t, strings.Contains(errs, "no-leader"), errs)
	s.runRefusedStart("is not the id of this member", "--restore", "9", settings)
	s.runRefusedStart("is not empty", "--bootstrap", settings)
	// A refused start of a lost member must not create its data folder.
	lost := s.controls[(last+1)%3]
	s.runRefusedStart("with a new member id and join", lost.args[1])
	_, err = os.Stat(filepath.Join(s.folder, lost.name))
	assert.ErrorIs(t, err, os.ErrNotExist)

	restore := func() {
		survivor.args = []string{"control", "--restore", fmt.Sprint(last + 1), settings}
		survivor.start()
		var again modeler.TicketAnswer
		s.await(startTimeout, "the restored group answers a resend", func() error {
			code, out, errs := s.runCommand("apply", "--json", before)
			if code != operator.Done {
				return errors.New(out + errs)
			}
			return json.Unmarshal([]byte(out), &struct{ Answer *modeler.TicketAnswer }{&again})
		})
		assert.Assert(t, again.Repeat)
		assert.Equal(t, again.Version, first.Version)
		assert.Equal(t, again.Digest, first.Digest)
	}
	restore()
	s.apply(s.note("after the loss"))
	s.awaitForce(9 * time.Second)
	log, err := os.ReadFile(survivor.log)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(log, []byte("none of them may ever be started again")))
	s.await(startTimeout, "a repeat gets the recorded answer", func() error {
		code, again, err := s.post(s.entryAddresses[1], once, key, "children")
		if err != nil || code != http.StatusOK || again != body {
			return fmt.Errorf("status %d %s %v", code, again, err)
		}
		return nil
	})
	assert.Equal(t, s.runsOf(key), 1)

	// Members with new ids are added. The survivor starts without --restore,
	// and a second restore of its folder is refused.
	survivor.kill()
	s.runRefusedStart("without --restore", "--restore", fmt.Sprint(last+1), settings)
	survivor.args = []string{"control", settings}
	survivor.start()
	controlAddresses := []section{{"id": last + 1, "address": s.controlAddresses[last]}}
	for id := 4; id <= 5; id++ {
		address := freeAddresses(t, 1)[0]
		s.controls = append(s.controls, s.startProcess(fmt.Sprintf("control-%d", id), "control", s.writeControlSettings(id, address, controlAddresses, true)))
		var added, members modeler.MembersAnswer
		s.answer(&added, "members", "add", fmt.Sprint(id), address, "--patience", "30s")
		s.answer(&members, "members", "promote", fmt.Sprint(id), "--patience", "30s")
		at := members.Members[len(members.Members)-1]
		assert.Assert(t, at.ID == modeler.MemberID(id) && !at.Learner && !members.Pending, "%+v", members)
	}
	s.runForCode(operator.Refused, "does not exist", "members", "remove", "9")
	s.awaitCaughtUp(3)
	survivor.kill()
	s.apply(s.note("by the new members"))
	s.awaitForce(9 * time.Second)

	// At the second loss the folder holds a snapshot and the log entries after
	// it.
	survivor.start()
	s.awaitCaughtUp(3)
	after := s.status().Version
	for _, c := range s.controls {
		c.kill()
	}
	restore()
	assert.Equal(t, s.status().Version, after)
	s.apply(s.note("after the second loss"))
	s.awaitForce(9 * time.Second)
}

// runRefusedStart starts a control process that must exit by itself with the text
// in its output.
func (s *system) runRefusedStart(text string, args ...string) {
	s.t.Helper()
	code, out, errs := s.runCommand(append([]string{"control"}, args...)...)
	assert.Equal(s.t, code, operator.Usage, "%v: %s %s", args, out, errs)
	assert.Assert(s.t, strings.Contains(errs, text), "%v: %s", args, errs)
}
