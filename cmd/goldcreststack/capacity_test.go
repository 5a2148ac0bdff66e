package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// seriesPattern matches the name and the value of a metric line.
var seriesPattern = regexp.MustCompile(`(?m)^([a-z_]+)(?:\{[^}]*\})? ([0-9.eE+-]+)$`)

// processMetric returns the value of a metric of the process at the address.
func (s *system) processMetric(address, name string) float64 {
	s.t.Helper()
	answer, err := s.client.Get("http://" + address + "/metrics")
	assert.NilError(s.t, err)
	defer answer.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(answer.Body)
	assert.NilError(s.t, err)
	for _, match := range seriesPattern.FindAllStringSubmatch(body.String(), -1) {
		if match[1] == name {
			value, err := strconv.ParseFloat(match[2], 64)
			assert.NilError(s.t, err)
			return value
		}
	}
	s.t.Fatalf("%s has no metric %s", address, name)
	return 0
}

// sendHeartbeats sends one heartbeat a second for each of n workers without a
// process, for the given time. It returns how many were accepted.
func sendHeartbeats(t testing.TB, entryAddress string, n int, span time.Duration) int {
	const senders = 32
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: senders}}
	var group sync.WaitGroup
	counts := make([]int, senders)
	begun := time.Now()
	for k := range senders {
		group.Go(func() {
			for round := 0; time.Since(begun) < span; round++ {
				for i := k; i < n; i += senders {
					due := begun.Add(time.Duration(round)*time.Second + time.Second*time.Duration(i)/time.Duration(n))
					time.Sleep(time.Until(due))
					if sendHeartbeat(client, entryAddress, i, time.Since(begun)) {
						counts[k]++
					}
				}
			}
		})
	}
	group.Wait()
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}

// sendHeartbeat sends a heartbeat of worker i and returns whether it was accepted.
func sendHeartbeat(client *http.Client, entryAddress string, i int, clock time.Duration) bool {
	b := modeler.Heartbeat{
		Worker: modeler.WorkerID(fmt.Sprintf("announced-%05d", i)), Generation: 1, Address: "127.0.0.1:9",
		Region: "kyushu-north", Domain: modeler.DomainName(fmt.Sprintf("d%d", i%8)), Rack: modeler.RackName(fmt.Sprintf("r%d", i/6)),
		Services: []modeler.ServiceName{"elsewhere"}, Slots: 8, Connections: 64, IdleTimeout: modeler.Duration(time.Second),
		Capacity: modeler.Resources{Processors: 32000, Memory: 64 << 30}, Clock: modeler.ClockReading(clock) + 1,
	}
	data, err := json.Marshal(&b)
	if err != nil {
		return false
	}
	answer, err := client.Post("http://"+entryAddress+"/v1/workers", "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	// An unread answer would keep the connection from being reused.
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// BenchmarkHeartbeats measures the processor time and memory that workers'
// heartbeats take in the processes of an entry host and of the leader.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{500, 4000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			s := newSystem(b, kitahama, 1, 1, 1)
			controlHTTP := s.controlHTTP[0]
			sendHeartbeats(b, s.entryAddresses[0], n, 3*time.Second)
			const span = 10 * time.Second
			entryBefore := s.processMetric(s.entryAddresses[0], "process_cpu_seconds_total")
			leaderBefore := s.processMetric(controlHTTP, "process_cpu_seconds_total")
			answered := sendHeartbeats(b, s.entryAddresses[0], n, span)
			entry := s.processMetric(s.entryAddresses[0], "process_cpu_seconds_total") - entryBefore
			leader := s.processMetric(controlHTTP, "process_cpu_seconds_total") - leaderBefore
			b.ReportMetric(float64(answered)/span.Seconds(), "beats/s")
			b.ReportMetric(entry/float64(answered)*1e6, "entry-us/beat")
			b.ReportMetric(leader/float64(answered)*1e6, "leader-us/beat")
			b.ReportMetric(s.processMetric(s.entryAddresses[0], "process_resident_memory_bytes")/(1<<20), "entry-MB")
			b.ReportMetric(s.processMetric(controlHTTP, "process_resident_memory_bytes")/(1<<20), "leader-MB")
			assert.Assert(b, strings.Contains(fmt.Sprint(s.status().Workers.Known), strconv.Itoa(n+1)))
		})
	}
}

// BenchmarkTickets measures with real processes how long a ticket takes to be
// accepted and to be in force on every host, how many tickets a second one
// operator can apply, and what an idle leader takes.
func BenchmarkTickets(b *testing.B) {
	for _, members := range []int{3, 5} {
		b.Run(strconv.Itoa(members), func(b *testing.B) {
			s := newSystem(b, kitahama, members, 7, 1)
			const tickets = 300
			begun := time.Now()
			for i := range tickets {
				s.apply(s.note(strconv.Itoa(i)))
			}
			b.ReportMetric(float64(time.Since(begun).Milliseconds())/tickets, "ms/ticket")
			b.ReportMetric(tickets/time.Since(begun).Seconds(), "tickets/s")
			slowest := time.Duration(0)
			for i := range 10 {
				s.apply(s.note(fmt.Sprint("in force ", i)))
				accepted := time.Now()
				for s.status().VersionInForce < s.status().Version {
					time.Sleep(time.Millisecond)
				}
				slowest = max(slowest, time.Since(accepted))
			}
			b.ReportMetric(float64(slowest.Milliseconds()), "ms-in-force")
			leader := s.controlHTTP[s.leader()]
			idle := s.processMetric(leader, "process_cpu_seconds_total")
			time.Sleep(5 * time.Second)
			b.ReportMetric((s.processMetric(leader, "process_cpu_seconds_total")-idle)/5*100, "%core-idle")
			b.ReportMetric(s.processMetric(leader, "process_resident_memory_bytes")/(1<<20), "leader-MB")
		})
	}
}
