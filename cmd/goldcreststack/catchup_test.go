package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// BenchmarkCatchUp measures how long a member takes to catch up after it was down
// while the state grew large and more entries were appended than the log keeps.
// It fails if the leader changes meanwhile.
func BenchmarkCatchUp(b *testing.B) {
	for _, megabytes := range []int{8, 80} {
		b.Run(fmt.Sprintf("%dMB", megabytes), func(b *testing.B) {
			s := newSystem(b, kitahama, 3, 3, 4)
			leader := s.leader()
			behind := (leader + 1) % 3
			s.controls[behind].kill()
			for i := range megabytes / 4 {
				s.apply(s.largeTicket(i))
			}
			s.sendClaims(11_000)
			for b.Loop() {
				begun := time.Now()
				s.controls[behind].start()
				s.awaitCaughtUp(3)
				b.ReportMetric(time.Since(begun).Seconds(), "s/catch-up")
			}
			if s.leader() != leader {
				b.Error("the leader has changed")
			}
		})
	}
}

// largeTicket returns a ticket of about 4 MB that places nothing.
func (s *system) largeTicket(number int) *modeler.Ticket {
	t := s.note(fmt.Sprint("large ", number))
	for i := range 1000 {
		j := newJob(fmt.Sprintf("large-%d-%d", number, i), modeler.Batch, 1, 1000, strings.Repeat("x", 4000))
		t.Jobs = append(t.Jobs, j)
	}
	return t
}

// sendClaims sends requests that must not be repeated; each appends two log
// entries.
func (s *system) sendClaims(count int) {
	s.t.Helper()
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	for worker := range 32 {
		group.Go(func() {
			for range count / 32 {
				request, err := http.NewRequest(http.MethodPost, "http://"+s.entryAddresses[worker%3]+"/v1/services/"+s.shape.once+"/x", nil)
				if err != nil {
					return
				}
				request.Header.Set("Idempotency-Key", newKey(s.t))
				if answer, err := client.Do(request); err == nil {
					_ = answer.Body.Close()
				}
			}
		})
	}
	group.Wait()
}
