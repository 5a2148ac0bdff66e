package main_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/platform/imitator"
)

// members returns the members by the view of the leader.
func (f *fleet) members() []modeler.Member {
	_, body := call(f.client, http.MethodGet, net.JoinHostPort(f.leader().node.IP, "9464"), "/debug/state", "")
	var dump struct {
		Sections []struct {
			Name string
			Body struct{ Members []modeler.Member }
		}
	}
	if err := json.Unmarshal([]byte(body), &dump); err != nil {
		f.t.Log(err)
	}
	var members []modeler.Member
	for _, s := range dump.Sections {
		members = append(members, s.Body.Members...)
	}
	return members
}

// voters returns the IP addresses of the voters by the view of the leader.
func (f *fleet) voters() map[string]bool {
	voters := make(map[string]bool)
	for _, m := range f.members() {
		if ip, _, err := net.SplitHostPort(m.Address); err == nil && !m.Learner {
			voters[ip] = true
		}
	}
	return voters
}

// awaitVoters waits until the hosts are voters.
func (f *fleet) awaitVoters(within time.Duration, hosts ...*host) {
	f.t.Helper()
	f.await(within, "the hosts vote", func() error {
		voters := f.voters()
		for _, h := range hosts {
			if !voters[h.node.IP] {
				return fmt.Errorf("%s doesn't vote: %v", h.name, voters)
			}
		}
		return nil
	})
}

// Guards against a host that was frozen while another one was replaced, and doesn't vote any more after it has carried on.
func TestReturningHostVotesAgain(t *testing.T) {
	f := newFleet(t, 5, 1)
	leader := f.leader()
	f.awaitVoters(recovery, f.controls...)
	others := f.oldest(2, leader)
	absent, lost := others[0], others[1]
	absent.suspend()
	lost.kill()
	f.remove(absent)
	f.remove(lost)
	time.Sleep(16 * time.Second)
	f.add(1, f.leader())
	time.Sleep(replaceDelay)
	absent.signal(syscall.SIGCONT)
	f.controls = append(f.controls, absent)
	f.awaitVoters(recovery, f.controls...)
}

// Guards against a new host that doesn't find the group at seeds that its settings name only after a while.
func TestSeedsOfReloadedSettingsAreUsed(t *testing.T) {
	f := newFleet(t, 3, 1)
	leader := f.leader()
	lost := f.oldest(1, leader)[0]
	lost.kill()
	f.remove(lost)
	fresh := f.newHost(false)
	f.start(fresh, []*host{f.newHost(false), f.newHost(false), lost})
	time.Sleep(replaceDelay)
	f.configure(fresh, f.seeds(leader))
	fresh.signal(syscall.SIGHUP)
	f.awaitVoters(catchUp, fresh)
}

// Guards against a frozen leader that isn't a voter any more, or disturbs the group, after it has carried on.
func TestFrozenLeaderVotesAgain(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, size, 1)
			for range 2 {
				frozen := f.leader()
				frozen.suspend()
				f.remove(frozen)
				f.accept(recovery)
				time.Sleep(6 * time.Second)
				f.controls = append(f.controls, frozen)
				frozen.signal(syscall.SIGCONT)
				began := time.Now()
				f.awaitVoters(catchUp, f.controls...)
				time.Sleep(time.Until(began.Add(catchUp)))
				leader := f.leader()
				f.replaceLost(f.oldest(1, leader), leader)
			}
			leader := f.leader()
			f.checkLostDisks(f.oldest(1, leader), leader)
		})
	}
}

// Guards against changes of members that are lost, or done by halves, when hosts restart at the same time.
func TestReplacementsBesideRestarts(t *testing.T) {
	t.Parallel()
	restarts := map[string]func(f *fleet, leader *host){
		"all are killed": func(f *fleet, leader *host) {
			known := f.seeds(leader)
			for _, h := range f.controls {
				h.kill()
			}
			for _, h := range f.controls {
				f.start(h, known)
			}
		},
		"the leader is stopped": func(f *fleet, leader *host) { f.restart(leader) },
		"all are stopped in turn": func(f *fleet, leader *host) {
			for _, h := range f.controls {
				f.restart(h)
			}
		},
	}
	for name, restart := range restarts {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 5, 1)
			for round := range 3 {
				leader := f.leader()
				lost := f.oldest(1, leader)[0]
				lost.kill()
				f.remove(lost)
				time.Sleep(replaceDelay)
				fresh := f.newHost(false)
				f.start(fresh, f.seeds(leader))
				f.controls = append(f.controls, fresh)
				time.Sleep(time.Duration(50+100*round) * time.Millisecond)
				restart(f, leader)
				f.accept(recovery)
				time.Sleep(catchUp)
			}
			leader := f.leader()
			f.checkLostDisks(f.oldest(1, leader), leader)
		})
	}
}

// restart stops a host with SIGTERM and starts it again.
func (f *fleet) restart(h *host) {
	h.signal(syscall.SIGTERM)
	assert.NilError(f.t, h.wait(gracePeriod))
	h.process.start()
}

// Guards against a leader that leaves without its successor, because no entry was committed for a moment when it was stopped.
func TestStoppedLeaderTriesHandOverAgain(t *testing.T) {
	f := newFleet(t, 3, 1)
	leader := f.leader()
	began := time.Now()
	f.add(1, leader)
	time.Sleep(time.Until(began.Add(catchUp)))
	others := slices.DeleteFunc(slices.Clone(f.controls), func(h *host) bool { return h == leader })
	for _, h := range others {
		h.suspend()
	}
	leader.signal(syscall.SIGTERM)
	// Longer than a hand-over, and too short for an election.
	time.Sleep(600 * time.Millisecond)
	for _, h := range others {
		h.signal(syscall.SIGCONT)
	}
	assert.NilError(t, leader.wait(gracePeriod))
	f.remove(leader)
	leader = f.leader()
	f.replaceLost(f.oldest(1, leader), leader)
}

// Guards against a vote that goes with its host although a successor has come long before: the next loss is allowed at once.
func TestPlannedDepartureLeavesRoomForLoss(t *testing.T) {
	f := newFleet(t, 3, 1)
	leader := f.leader()
	began := time.Now()
	f.add(1, leader)
	time.Sleep(time.Until(began.Add(catchUp)))
	others := f.oldest(2, leader)
	f.stopInOrder(others[0])
	f.replaceLost(others[1:], leader)
}

// Guards against a platform on which a group that has lost its quorum for good has no way back.
func TestLostQuorumIsRestored(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.awaitVoters(recovery, f.controls...)
	survivor := f.leader()
	members := f.members()
	at := slices.IndexFunc(members, func(m modeler.Member) bool {
		ip, _, err := net.SplitHostPort(m.Address)
		return err == nil && ip == survivor.node.IP
	})
	assert.Assert(t, at >= 0, "%v", members)
	for _, h := range f.oldest(2, survivor) {
		h.kill()
		f.remove(h)
	}
	time.Sleep(catchUp)
	assert.Assert(t, f.expect(survivor, http.MethodGet, imitator.LayoutPath, "", "") != nil, "a configuration is answered without a quorum")
	survivor.kill()
	started := slices.Clone(survivor.args)
	survivor.args = append(survivor.args, "--restore", fmt.Sprint(members[at].ID))
	f.start(survivor, f.controls)
	f.checkAcknowledged()
	survivor.kill()
	survivor.args = started
	f.start(survivor, f.controls)
	f.add(2, survivor)
	f.awaitVoters(recovery, f.controls...)
	f.checkAcknowledged()
}
