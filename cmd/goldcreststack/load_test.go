package main_test

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/measurer"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// Guards against a load command that ignores its flags, accepts invalid ones, or
// prints JSON that doesn't decode.
func TestLoadVerb(t *testing.T) {
	s := newSystem(t, kitahama, 1, 2, 2)
	load := func(args ...string) (string, error) {
		out, err := exec.Command(binary, append([]string{"load", "--service", s.shape.service}, args...)...).CombinedOutput()
		return string(out), err
	}
	text, err := load(append(s.entryAddresses, "--rate", "200", "--duration", "1s", "--once", "0.5", "--verify", "--json")...)
	assert.NilError(t, err, text)
	var report measurer.Report
	assert.NilError(t, json.Unmarshal([]byte(text), &report), text)
	assert.Assert(t, report.Sent > 120 && report.Sent < 300, text)
	assert.Assert(t, report.NonRepeatable.Count > 20 && report.Repeatable.Count > 20, text)
	assert.Equal(t, report.ForeignAnswers, 0)
	assert.DeepEqual(t, report.Statuses, []measurer.Count{{Name: "200", Count: report.Sent}})
	text, err = load(s.entryAddresses[0], "--count", "80", "--direct", strings.Join(s.workerAddresses, ","), "--levels", "2,4")
	assert.NilError(t, err, text)
	assert.Equal(t, strings.Count(text, "through")+strings.Count(text, "direct"), 4, text)
	for _, bad := range [][]string{{}, {"8.8.8.8:80"}, {s.entryAddresses[0], "--once", "2"}, {s.entryAddresses[0], "--service="}} {
		text, err = load(bad...)
		assert.Assert(t, err != nil, "%v: %s", bad, text)
	}
}

// benchServiceTime is the service time of a request in the benchmarks.
const benchServiceTime = 40 * time.Millisecond

// startInProcessWorkers runs stand-in workers in the test's own process, since 48
// worker processes would take more of the machine. It returns their addresses.
func (s *system) startInProcessWorkers(ctx context.Context, number int, span time.Duration) (addresses []string) {
	listening := make(chan string, number)
	for i := range number {
		w := worker.New(worker.Settings{
			ID: modeler.WorkerID(fmt.Sprintf("worker-%d", i+1)), Entries: s.entryAddresses, Region: modeler.RegionName(s.shape.region),
			Domain: modeler.DomainName(s.shape.domains[i%len(s.shape.domains)]), Rack: "rack", ServiceTime: span,
			Services: []modeler.ServiceName{modeler.ServiceName(s.shape.service)}, GracePeriod: time.Millisecond, LeaveDelay: time.Millisecond,
			Listening: func(address string) { listening <- address },
		})
		go func() { _ = w.Run(ctx) }()
	}
	for range number {
		addresses = append(addresses, <-listening)
	}
	s.await(startTimeout, "workers are announced", func() error {
		if known := s.status().Workers.Known; known != number {
			return fmt.Errorf("%d workers are known", known)
		}
		return nil
	})
	return addresses
}

// stopEntries kills the entry processes and returns the processor time that they
// used.
func (s *system) stopEntries() (total time.Duration) {
	for _, p := range s.entries {
		p.kill()
		total += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	}
	return total
}

// BenchmarkEntryCost prints the times of requests through the entry hosts next to
// those of the same load sent directly to the workers.
func BenchmarkEntryCost(b *testing.B) {
	for _, span := range []time.Duration{0, benchServiceTime} {
		b.Run(span.String(), func(b *testing.B) {
			s := newSystem(b, kitahama, 3, 7, 0)
			addresses := s.startInProcessWorkers(b.Context(), 48, span)
			settings := measurer.Settings{
				Entries: s.entryAddresses, Service: modeler.ServiceName(s.shape.service), Verify: true,
				Count: 40_000, Duration: 12 * time.Second, Body: []byte("child=1024"),
			}
			comparisons, err := measurer.Compare(b.Context(), settings, addresses, measurer.DefaultLevels)
			assert.NilError(b, err)
			sent := 0
			for _, one := range comparisons {
				sent += one.Through.Sent
			}
			b.Logf("48 workers of 8 slots, 7 entry hosts, service time %s\n%sprocessor time of the entry hosts: %s a request", span,
				measurer.FormatComparisons(comparisons), s.stopEntries()/time.Duration(sent))
		})
	}
}

// endTimes is a min-heap of the times in seconds at which requests in service
// end; it implements heap.Interface.
type endTimes []float64

func (e endTimes) Len() int           { return len(e) }
func (e endTimes) Less(i, j int) bool { return e[i] < e[j] }
func (e endTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endTimes) Push(x any)        { *e = append(*e, x.(float64)) }
func (e *endTimes) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// idealWaits returns the sorted waiting times of requests that arrive at random
// in one queue for all slots, in simulated time.
func idealWaits(slots int, rate float64, span time.Duration, number int) []time.Duration {
	random := rand.New(rand.NewPCG(1, 1))
	busy := make(endTimes, slots)
	waits := make([]time.Duration, number)
	now := 0.0
	for i := range waits {
		now += random.ExpFloat64() / rate
		begin := max(now, heap.Pop(&busy).(float64))
		heap.Push(&busy, begin+span.Seconds())
		waits[i] = time.Duration((begin - now) * float64(time.Second))
	}
	slices.Sort(waits)
	return waits
}

// BenchmarkEntryWaiting prints the waiting times at several shares of the slots'
// capacity, next to those of one queue in the load generator that sends directly
// to the workers, and of a simulated ideal queue with the same service time.
func BenchmarkEntryWaiting(b *testing.B) {
	const workers, slots = 8, 64
	s := newSystem(b, withServiceTime(kitahama, benchServiceTime, 0, ""), 3, 7, workers)
	full := slots / benchServiceTime.Seconds()
	for _, share := range []float64{0.5, 0.8, 0.95, 1.2} {
		load := func(addresses []string, concurrency int) *measurer.Report {
			report, err := measurer.Run(b.Context(), measurer.Settings{
				Entries: addresses, Service: modeler.ServiceName(s.shape.service), Verify: true, Rate: share * full,
				Concurrency: concurrency, Count: 1 << 20, Duration: 8 * time.Second, Timeout: 20 * time.Second, Body: []byte("child=1024"),
			})
			assert.NilError(b, err)
			time.Sleep(3 * time.Second) // lets the queues empty
			return report
		}
		report := load(s.entryAddresses, 16_000)
		fmt.Printf("%.0f%% of %d slots of %s\n%s", 100*share, slots, benchServiceTime, report.Text())
		fmt.Printf("one queue in the load generator, straight to the workers\n%s", load(s.workerAddresses, slots).Text())
		waits := idealWaits(slots, share*full, benchServiceTime, report.Sent)
		at := func(p float64) time.Duration { return waits[int(p*float64(len(waits)-1))] + benchServiceTime }
		fmt.Printf("one ideal queue with the service time: p50 %s p90 %s p99 %s p99.9 %s\n\n", at(0.5), at(0.9), at(0.99), at(0.999))
	}
}
