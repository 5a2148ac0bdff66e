package main_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendInSequence calls send again and again until span has passed after begun. It
// returns the longest time without an accepted request, and how many were refused.
func sendInSequence(begun time.Time, span time.Duration, send func() bool) (time.Duration, int) {
	gap, refused, last := time.Duration(0), 0, begun
	for time.Since(begun) < span {
		if !send() {
			refused++
			time.Sleep(2 * time.Millisecond)
			continue
		}
		now := time.Now()
		gap = max(gap, now.Sub(last))
		last = now
	}
	return max(gap, time.Since(last)), refused
}

// restartLeader shuts the leader down with SIGTERM and starts it again. It returns
// the longest times without an accepted ticket and without a served request that
// must not be repeated, and how many of these requests were refused.
func (s *system) restartLeader(span time.Duration) (ticket, claim time.Duration, refused int) {
	s.t.Helper()
	old := s.controls[s.leader()]
	var group sync.WaitGroup
	begun := time.Now()
	time.AfterFunc(span/8, func() { old.signal(syscall.SIGTERM) })
	group.Go(func() {
		ticket, _ = sendInSequence(begun, span, func() bool {
			k := s.note(strconv.Itoa(int(s.ticket)))
			k.Number = s.ticket + 1
			status, _, err := s.post(s.entryAddresses[0], "/v1/tickets", "", k)
			if err != nil || status != http.StatusOK {
				return false
			}
			s.ticket++
			return true
		})
	})
	group.Go(func() {
		claim, refused = sendInSequence(begun, span, func() bool {
			status, _, err := s.post(s.entryAddresses[1], "/v1/services/"+s.shape.once+"/x", newKey(s.t), 1)
			return err == nil && status == http.StatusOK
		})
	})
	group.Wait()
	assert.NilError(s.t, old.wait(5*time.Second))
	old.start()
	s.awaitCaughtUp(len(s.controls))
	// The entry hosts reconnect to a restarted member within 1.5 s.
	time.Sleep(2 * time.Second)
	return ticket, claim, refused
}

// Guards against tickets that wait for an election timeout, and against lost
// answers, when a leader is shut down with SIGTERM, and against a transfer of
// leadership on request that fails.
func TestLeaderHandsOver(t *testing.T) {
	s := newSystem(t, kitahama, 3, 2, 1)
	s.awaitCaughtUp(3)
	// The shortest of three restarts is checked, since the machine may be busy;
	// an election takes at least a second.
	shortest := time.Hour
	for range 3 {
		ticket, _, _ := s.restartLeader(2 * time.Second)
		shortest = min(shortest, ticket)
	}
	assert.Assert(t, shortest < 900*time.Millisecond, "no ticket for %s", shortest)
	next := (s.leader()+1)%3 + 1
	s.members("transfer", next, "")
	s.await(startTimeout, "the named member leads", func() error {
		if leader := s.leader() + 1; leader != next {
			return fmt.Errorf("member %d leads", leader)
		}
		return nil
	})
}

// BenchmarkLeaderRestart measures with real processes how long tickets and claims
// wait when the leader is shut down with SIGTERM.
func BenchmarkLeaderRestart(b *testing.B) {
	for _, members := range []int{3, 5} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			s := newSystem(b, kitahama, members, 2, 2)
			s.awaitCaughtUp(members)
			var tickets, claims []time.Duration
			refused := 0
			for range 10 {
				ticket, claim, n := s.restartLeader(4 * time.Second)
				tickets, claims, refused = append(tickets, ticket), append(claims, claim), refused+n
			}
			for name, list := range map[string][]time.Duration{"ticket": tickets, "claim": claims} {
				slices.Sort(list)
				b.ReportMetric(float64(list[len(list)/2].Milliseconds()), name+"-ms-median")
				b.ReportMetric(float64(list[len(list)-1].Milliseconds()), name+"-ms-longest")
			}
			b.ReportMetric(float64(refused), "refused")
		})
	}
}
