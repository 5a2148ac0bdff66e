package main_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// lossWindow is the time over which BenchmarkLoss counts served requests.
const lossWindow = 250 * time.Millisecond

// BenchmarkLoss prints how many requests the remaining entry hosts serve in each
// window after the entry host that holds most slots, or the leader, is killed with
// SIGKILL while callers saturate all slots:
//
//	go test ./cmd/goldcreststack -run '^$' -bench Loss -benchtime 1x -v
func BenchmarkLoss(b *testing.B) {
	for _, part := range []string{"entry", "leader"} {
		b.Run(part, func(b *testing.B) {
			for range b.N {
				measureLoss(b, part == "leader")
			}
		})
	}
}

func measureLoss(b *testing.B, leader bool) {
	s := newSystem(b, withServiceTime(kitahama, 40*time.Millisecond, 0, ""), 3, 4, 4)
	defer s.stop()
	ctx, stop := context.WithTimeout(b.Context(), time.Minute)
	defer stop()
	c := newCallers(s)
	for i, number := range []int{80, 30, 20, 15} {
		c.startLoops(ctx, fmt.Sprint(i), s.entryAddresses[i], s.shape.service, number, 0)
	}
	time.Sleep(2 * time.Second)
	before := c.total("200")
	time.Sleep(2 * time.Second)
	full := (c.total("200") - before) / int(2*time.Second/lossWindow)
	lost, remaining := s.entries[0], []string{"1", "2", "3"}
	if leader {
		lost, remaining = s.controls[s.leader()], append(remaining, "0")
	}
	begin := time.Now()
	lost.kill()
	served, missed, regained := make([]int, 32), 0, 0
	last := c.served(remaining...)
	for i := range served {
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * lossWindow)))
		now := c.served(remaining...)
		served[i], last = now-last, now
		missed += max(0, full-served[i])
		if served[i]*10 < full*9 {
			regained = i + 1
		}
	}
	stop()
	c.group.Wait()
	for i := range s.workers {
		s.checkWorkerLimits(i, "loss")
	}
	slowest := time.Duration(0)
	for _, caller := range remaining {
		slowest = max(slowest, c.slowest(caller))
	}
	b.Logf("%d served in each %v before, after the loss %v", full, lossWindow, served)
	b.ReportMetric(float64(missed), "requests-missed")
	b.ReportMetric(float64(regained)*lossWindow.Seconds(), "s-below-90%")
	b.ReportMetric(slowest.Seconds(), "s-slowest")
}

// served returns the number of the callers' requests that were served.
func (c *callers) served(names ...string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		n += c.counts[name]["200"]
	}
	return n
}
