package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// recoveryLimit is how long after the last fault the service may be suspended,
	// from the platform's pages.
	recoveryLimit = 12 * time.Second
	// visibleLimit is how long an accepted job may be unknown or without an answer
	// at the end, and statusTime how long jobs are known at least, from the
	// platform's pages.
	visibleLimit = 3 * time.Second
	statusTime   = 120 * time.Second
	// contactTime is how long ago a member that is in touch has answered, at most.
	contactTime = 3 * time.Second
)

// awaitRecovery waits until the service works again after the last fault: each entry
// process accepts a job, a configuration is acknowledged, and the group can lose as
// many hosts as the users allow. It reports false and records violations if that
// takes longer than recoveryLimit.
func (w *world) awaitRecovery() bool {
	begun := time.Now()
	w.faultsEnded = begun
	failures := make([]string, 0, len(w.entries)+2)
	var mu sync.Mutex
	var conditions sync.WaitGroup
	expect := func(poll func() string) {
		conditions.Go(func() {
			failure := poll()
			for ; failure != "" && w.ctx.Err() == nil && !w.isOver(begun, recoveryLimit); failure = poll() {
				w.sleep(100 * time.Millisecond)
			}
			if failure != "" {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, failure)
			}
		})
	}
	for _, p := range w.entries {
		client := w.newClient(answerTimeout)
		id := w.newJobOf(w.check.unlimitedAccount(), usualSteps...)
		expect(func() string { return w.probeEntry(client, p, id) })
	}
	expect(func() string {
		if !w.check.hasAcknowledgedSince(begun) {
			return "no configuration was acknowledged"
		}
		return ""
	})
	client := w.newClient(time.Second)
	expect(func() string { return w.checkMembers(client) })
	conditions.Wait()
	slices.Sort(failures)
	for _, failure := range failures {
		w.check.recordViolation("%s in the %v after the last fault", failure, recoveryLimit)
	}
	return len(failures) == 0
}

// probeEntry submits a job to an entry process and returns the failure, or an empty
// string if the job was accepted.
func (w *world) probeEntry(client *http.Client, p *process, id string) string {
	given, _ := w.check.credentialsFor(id)
	status, _ := w.call(client, given, http.MethodPost, p, id, w.jobBody(id))
	if status < 200 || status >= 300 {
		return fmt.Sprintf("%s has accepted no job, status %d at last,", p.name, status)
	}
	w.check.noteAccepted(id)
	return ""
}

// member is a member of the group as the state dump of the leader shows it.
type member struct {
	Address string `json:"address"`
	Learner bool   `json:"learner"`
	// Lag is the time since the member was heard, as text; it is negative if it
	// wasn't.
	Lag string `json:"lag"`
}

// checkMembers returns why the group can't lose as many hosts as the users allow, or
// has more voters than there are hosts, or an empty string if neither holds.
func (w *world) checkMembers(client *http.Client) string {
	leader := w.leaderSlot(client)
	if leader < 0 {
		return "no control process has led"
	}
	hosts := w.controlHosts()
	members, err := readMembers(client, hosts[leader])
	if err != nil {
		return "the leader has shown no members: " + err.Error()
	}
	voters, present := 0, 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if lag, err := time.ParseDuration(m.Lag); err == nil && lag >= 0 && lag <= contactTime {
			present++
		}
	}
	quorum := voters/2 + 1
	switch {
	case voters > len(hosts):
		return fmt.Sprintf("the group of %d hosts has had %d voters", len(hosts), voters)
	case present-w.tolerance < quorum:
		return fmt.Sprintf("the group has had %d of %d voters, which are too few to lose %d,", present, voters, w.tolerance)
	default:
		return ""
	}
}

// readMembers reads the members of the group from a process's state dump.
func readMembers(client *http.Client, p *process) ([]member, error) {
	status, body := send(client, http.MethodGet, net.JoinHostPort(p.host, metricsPort), "/debug/state", "")
	if status != http.StatusOK {
		return nil, fmt.Errorf("status %d", status)
	}
	var dump struct {
		Sections []struct {
			Name string          `json:"name"`
			Body json.RawMessage `json:"body"`
		} `json:"sections"`
	}
	if err := json.Unmarshal(body, &dump); err != nil {
		return nil, err
	}
	var control struct {
		Members []member `json:"members"`
	}
	for _, s := range dump.Sections {
		if s.Name == "control" {
			return control.Members, json.Unmarshal(s.Body, &control)
		}
	}
	return nil, fmt.Errorf("no section for control")
}

// checkEnd checks, after the operator and the callers have stopped, that the
// acknowledged configuration is in force in every process and that every accepted
// job is known.
func (w *world) checkEnd() {
	ctx, cancel := context.WithTimeout(w.ctx, recoveryLimit)
	defer cancel()
	w.repeatConfigurations(ctx, w.newClient(time.Second))
	// Older configurations may be in force for applyLimit, and processes are in touch
	// again, after a fault of most control hosts, twice contactTime later.
	w.sleep(max(applyLimit, 2*contactTime-time.Since(w.faultsEnded)))
	client := w.newClient(answerTimeout)
	for _, p := range w.controlHosts() {
		w.expectWithin(contactTime, p.name+" doesn't show the configuration at the end", func() bool {
			return w.readConfigurationAt(client, w.offsetAddress(p.host, 1))
		})
	}
	for _, p := range w.entries {
		w.expectWithin(contactTime, p.name+" doesn't serve the acknowledged configuration at the end", func() bool {
			return w.servesNewest(client, p)
		})
	}
	w.checkKnownJobs()
}

// expectWithin polls until the condition holds, and records the failure if it
// doesn't within the limit.
func (w *world) expectWithin(limit time.Duration, failure string, holds func() bool) {
	w.expectSince(time.Now(), limit, failure, holds)
}

// expectSince is expectWithin with a limit that began at the given time.
func (w *world) expectSince(begun time.Time, limit time.Duration, failure string, holds func() bool) {
	for ; !holds(); w.sleep(100 * time.Millisecond) {
		if w.ctx.Err() != nil {
			return
		}
		if w.isOver(begun, limit) {
			w.check.recordViolation("%s", failure)
			return
		}
	}
}

// servesNewest reports whether an entry process knows the queue of the newest
// acknowledged configuration, or of one that an operator has sent after it, and no older
// one.
func (w *world) servesNewest(client *http.Client, p *process) bool {
	newest := w.check.newestVersion()
	serves := func(version uint64) bool {
		status, _ := send(client, http.MethodGet, w.offsetAddress(p.host, 1), markerPath(version), "")
		return status == http.StatusOK
	}
	if newest > 1 && serves(newest-1) {
		w.check.recordViolation("%s serves version %d although %d was acknowledged", p.name, newest-1, newest)
	}
	for version := newest; version <= newest+operatorCount; version++ {
		if serves(version) {
			return true
		}
	}
	return false
}

// checkKnownJobs checks that each accepted job is known and gets an answer.
func (w *world) checkKnownJobs() {
	var asking sync.WaitGroup
	silent := make(chan string, callerCount)
	ids := make(chan string)
	for range callerCount {
		asking.Go(func() {
			client := w.newClient(answerTimeout)
			for id := range ids {
				if !w.answersFor(client, id) {
					silent <- id
				}
			}
		})
	}
	go func() {
		for _, id := range w.check.acceptedSince(time.Now().Add(-statusTime)) {
			ids <- id
		}
		close(ids)
		asking.Wait()
		close(silent)
	}()
	count, sample := 0, ""
	for id := range silent {
		count, sample = count+1, id
	}
	if count > 0 {
		w.check.recordViolation("%d accepted jobs get no answer at the end, such as %s", count, sample)
	}
}

// answersFor asks for a job's state until an entry process answers, up to
// visibleLimit.
func (w *world) answersFor(client *http.Client, id string) bool {
	for begun := time.Now(); w.ctx.Err() == nil && !w.isOver(begun, visibleLimit); w.sleep(100 * time.Millisecond) {
		p := w.randomEntry()
		sent := time.Now()
		if state := w.askState(client, id, p); state != "" {
			w.check.checkState(id, state, p.name, sent)
			return true
		}
	}
	return w.ctx.Err() != nil
}
