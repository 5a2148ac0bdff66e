package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// note returns the first ticket with the text as its note, so that the content
// of each number differs.
func (s *system) note(text string) *modeler.Ticket {
	t := s.firstTicket()
	t.Note = text
	return t
}

// leader returns the index of the leading control process.
func (s *system) leader() int { return int(s.status().Leader) - 1 }

// awaitForce waits until the newest ticket is in force on every entry host.
func (s *system) awaitForce(within time.Duration) {
	s.t.Helper()
	s.await(within, "newest ticket in force everywhere", func() error {
		status := s.status()
		if status.Ticket != s.ticket || status.VersionInForce < status.Version {
			return fmt.Errorf("ticket %d of %d, version %d, in force %d", status.Ticket, s.ticket, status.Version, status.VersionInForce)
		}
		return nil
	})
}

// awaitCaughtUp waits until every member has synced the whole log.
func (s *system) awaitCaughtUp(members int) {
	s.t.Helper()
	s.await(startTimeout, "all members have caught up", func() error {
		status := s.status()
		if len(status.Members) != members {
			return fmt.Errorf("%d members", len(status.Members))
		}
		for _, m := range status.Members {
			if m.Match < status.Commit || m.Lag < 0 || m.Lag.Std() > 2*time.Second {
				return fmt.Errorf("member %d is at %d of %d", m.ID, m.Match, status.Commit)
			}
		}
		return nil
	})
}

// Guards against tickets that are lost or unanswered when the leader is killed, or
// paused and resumed.
func TestLeaderDiesOrPauses(t *testing.T) {
	s := newSystem(t, kitahama, 3, 3, 1)
	for i, fault := range []string{"kill", "pause", "kill"} {
		old := s.leader()
		begun := time.Now()
		if fault == "kill" {
			s.controls[old].kill()
		} else {
			s.controls[old].signal(syscall.SIGSTOP)
		}
		s.apply(s.note(fmt.Sprint(fault, i)))
		t.Logf("%s: next ticket accepted after %s", fault, time.Since(begun).Round(time.Millisecond))
		s.awaitForce(9 * time.Second)
		if fault == "kill" {
			s.controls[old].start()
		} else {
			s.controls[old].signal(syscall.SIGCONT)
		}
		s.awaitCaughtUp(3)
	}
}

// Guards against two tickets that are accepted under one number when operators
// race, and against a resend that gets another outcome than the first request
// after 300 later tickets and a change of leader.
func TestTicketRaceAndResend(t *testing.T) {
	s := newSystem(t, kitahama, 3, 3, 1)
	s.ticket++
	number := s.ticket
	type outcome struct {
		status int
		body   string
	}
	outcomes := make([]outcome, 9)
	ticketOf := func(i int) *modeler.Ticket {
		numbered := s.note(fmt.Sprint("operator ", i))
		numbered.Number = number
		return numbered
	}
	var group sync.WaitGroup
	for i := range outcomes {
		group.Go(func() {
			status, body, err := s.post(s.entryAddresses[i%3], "/v1/tickets", "", ticketOf(i))
			if err == nil {
				outcomes[i] = outcome{status, body}
			}
		})
	}
	group.Wait()
	winner := -1
	for i, o := range outcomes {
		switch o.status {
		case http.StatusOK:
			assert.Equal(t, winner, -1, "two operators hold the number")
			winner = i
		default:
			assert.Equal(t, o.status, http.StatusConflict, o.body)
		}
	}
	assert.Assert(t, winner >= 0)
	for i := range 300 {
		s.apply(s.note(fmt.Sprint("later ", i)))
	}
	s.controls[s.leader()].kill()
	var first, again struct {
		Version modeler.Index
		Repeat  bool
		Digest  modeler.Digest
	}
	assert.NilError(t, json.Unmarshal([]byte(outcomes[winner].body), &first))
	for _, entryAddress := range s.entryAddresses {
		s.await(startTimeout, "resend is answered", func() error {
			status, body, err := s.post(entryAddress, "/v1/tickets", "", ticketOf(winner))
			if err != nil || status != http.StatusOK {
				return fmt.Errorf("status %d %s %v", status, body, err)
			}
			return json.Unmarshal([]byte(body), &again)
		})
		assert.Equal(t, again.Version, first.Version)
		assert.Equal(t, again.Digest, first.Digest)
		assert.Assert(t, again.Repeat)
	}
	status, body, err := s.post(s.entryAddresses[1], "/v1/tickets", "", ticketOf(99))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusConflict, body)
}

// Guards against a member that rejoins under its old id after its disk was lost,
// and against tickets that are lost when a second host fails right after the first
// was replaced.
func TestDiskLostAndSecondHostLost(t *testing.T) {
	s := newSystem(t, kovacic, 3, 3, 1)
	lost := (s.leader() + 1) % 3
	s.controls[lost].kill()
	assert.NilError(t, os.RemoveAll(filepath.Join(s.folder, fmt.Sprintf("control-%d", lost+1))))
	s.controls[lost].start()
	assert.Assert(t, s.controls[lost].wait(10*time.Second) != nil, "an empty folder must not start as an old member")
	for i := range 50 {
		s.apply(s.note(strconv.Itoa(i)))
	}
	address := freeAddresses(t, 1)[0]
	members := []section{{"id": s.leader() + 1, "address": s.controlAddresses[s.leader()]}}
	fresh := s.startProcess("control-4", "control", s.writeControlSettings(4, address, members, true))
	s.controls = append(s.controls, fresh)
	s.members("add", 4, address)
	s.members("promote", 4, "")
	s.members("remove", lost+1, "")
	s.awaitCaughtUp(3)
	second := 3 - lost - s.leader()
	s.controls[second].kill()
	s.apply(s.note("after the second loss"))
	s.awaitForce(9 * time.Second)
	again, body, err := s.post(s.entryAddresses[0], "/v1/tickets", "", s.ticketNumbered(30))
	assert.NilError(t, err)
	assert.Equal(t, again, http.StatusOK, body)
}

// ticketNumbered returns a ticket that TestDiskLostAndSecondHostLost applied.
func (s *system) ticketNumbered(n int) *modeler.Ticket {
	ticket := s.note(strconv.Itoa(n - 2))
	ticket.Number = modeler.TicketNumber(n)
	return ticket
}

// members sends a membership change through an entry host until it is accepted.
func (s *system) members(verb string, id int, address string) {
	s.t.Helper()
	s.await(startTimeout, verb+" member", func() error {
		status, body, err := s.post(s.entryAddresses[0], "/v1/members", "", section{"verb": verb, "id": id, "address": address})
		if err == nil && status != http.StatusOK && !strings.Contains(body, "exists;") {
			err = fmt.Errorf("status %d: %s", status, body)
		}
		return err
	})
}

// Guards against a removed service that is served again. A control process is down
// and an entry host is paused during 1000 tickets, the last of which removes the
// service. Then both come back, and the leader is killed.
func TestSleepersDontRevert(t *testing.T) {
	s := newSystem(t, kitahama, 3, 3, 1)
	stopped := (s.leader() + 1) % 3
	s.controls[stopped].kill()
	s.entries[2].signal(syscall.SIGSTOP)
	allEntries := s.entryAddresses
	s.entryAddresses = s.entryAddresses[:2]
	for i := range 1000 {
		ticket := s.note(strconv.Itoa(i))
		if i == 999 {
			ticket.Services = nil
			ticket.Removals.Services = []modeler.ServiceName{modeler.ServiceName(s.shape.service)}
		}
		s.apply(ticket)
	}
	begun := time.Now()
	s.awaitForce(9 * time.Second)
	t.Logf("in force on the hosts that answer after %s", time.Since(begun).Round(time.Millisecond))
	begun = time.Now()
	s.controls[stopped].start()
	s.awaitCaughtUp(3)
	t.Logf("caught up on 1000 tickets after %s", time.Since(begun).Round(time.Millisecond))
	s.controls[s.leader()].kill()
	s.entries[2].signal(syscall.SIGCONT)
	s.await(startTimeout, "the removed service is refused everywhere", func() error {
		for _, entryAddress := range allEntries {
			status, body, err := s.post(entryAddress, "/v1/services/"+s.shape.service+"/x", "", 1)
			if err != nil {
				return err
			}
			if status == http.StatusOK {
				t.Fatalf("%s served a service that was removed: %s", entryAddress, body)
			}
			if status != http.StatusNotFound {
				return fmt.Errorf("%s: status %d", entryAddress, status)
			}
		}
		return nil
	})
}

// Guards against an entry host that accepts requests although all control processes
// are paused, so that it can't confirm its configuration and slots.
func TestCutOffEntryRefuses(t *testing.T) {
	s := newSystem(t, kitahama, 3, 2, 2)
	// After this traffic the entry host holds idle slots.
	for range 100 {
		_, _, err := s.post(s.entryAddresses[0], "/v1/services/"+s.shape.service+"/x", "", 1)
		assert.NilError(t, err)
	}
	for _, c := range s.controls {
		c.signal(syscall.SIGSTOP)
	}
	begun := time.Now()
	var sent time.Time
	s.await(20*time.Second, "cut-off entry host refuses", func() error {
		sent = time.Now()
		status, body, err := s.post(s.entryAddresses[0], "/v1/services/"+s.shape.service+"/x", "", 1)
		if err != nil || status == http.StatusOK {
			return fmt.Errorf("still serves: %v", err)
		}
		assert.Assert(t, strings.Contains(body, `"outcome":"not-run"`), body)
		return nil
	})
	// A request may wait in the queue before it is refused, so the time at which
	// it was sent is measured.
	took := sent.Sub(begun)
	t.Logf("the first request that is not run was sent after %s", took.Round(time.Millisecond))
	assert.Assert(t, took < 4*time.Second)
	for _, c := range s.controls {
		c.signal(syscall.SIGCONT)
	}
	s.await(startTimeout, "serves again", func() error {
		status, body, err := s.post(s.entryAddresses[0], "/v1/services/"+s.shape.service+"/x", "", 1)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d %s", status, body)
		}
		return err
	})
}
