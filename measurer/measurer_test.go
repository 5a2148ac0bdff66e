package measurer_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dialer"
	"goldcreststack.example/goldcreststack/measurer"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// upstream answers requests over in-memory connections. It holds all requests that
// arrive during the second second until its end, as a process that is paused for
// that time does.
type upstream struct {
	begin   time.Time
	arrived atomic.Int64
	once    atomic.Int64
	keys    chan string
}

func (u *upstream) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		reader := bufio.NewReader(far)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			u.arrived.Add(1)
			if request.Header.Get("Goldcreststack-Repeat") == "never" {
				u.once.Add(1)
			}
			u.keys <- request.Header.Get("Idempotency-Key")
			if since := time.Since(u.begin); since > time.Second && since < 2*time.Second {
				time.Sleep(2*time.Second - since)
			}
			text := `{"key":"` + request.Header.Get("Idempotency-Key") + `"}`
			fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	}()
	return near, nil
}

// Guards against coordinated omission: with a pause of one second in ten, the
// percentiles must include the delay of requests that could not start on time
// because of the concurrency limit. Guards also against arrivals at another rate
// than set.
func TestOpenLoop(t *testing.T) {
	for _, c := range []struct {
		concurrency int
		even        bool
	}{{1000, true}, {1000, false}, {1, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{begin: time.Now(), keys: make(chan string, 10_000)}
				d := dialer.New(dialer.Settings{Dial: u.dial, ReuseWithoutToken: true})
				report, err := measurer.Run(t.Context(), measurer.Settings{
					Entries: []string{"127.0.0.1:1"}, Service: "narudzbe", Body: []byte("die"),
					Rate: 200, EvenArrivals: c.even, Duration: 10 * time.Second, Concurrency: c.concurrency,
					NonRepeatableShare: 0.25, Verify: true, Dialer: d,
				})
				d.Close()
				assert.NilError(t, err)
				assert.Assert(t, report.Sent > 1800 && report.Sent < 2200, "%d requests sent", report.Sent)
				assert.Equal(t, int64(report.Sent), u.arrived.Load())
				assert.Equal(t, report.NonRepeatable.Count, u.once.Load())
				assert.Assert(t, report.NonRepeatable.Count > 400 && report.NonRepeatable.Count < 600)
				assert.Equal(t, report.ForeignAnswers, 0)
				assert.DeepEqual(t, report.Statuses, []measurer.Count{{Name: "200", Count: report.Sent}})
				p99, p50 := report.All.P99.Std(), report.All.P50.Std()
				assert.Assert(t, p99 > 800*time.Millisecond && p99 < 1100*time.Millisecond, "p99 %v", p99)
				assert.Assert(t, p50 < 20*time.Millisecond, "p50 %v", p50)
				if c.concurrency == 1 {
					assert.Assert(t, report.Uncorrected.P99.Std() < 20*time.Millisecond)
					assert.Assert(t, report.LateStarts > 150, "%d requests started late", report.LateStarts)
				}
				seen := make(map[string]bool)
				for range report.Sent {
					key := <-u.keys
					assert.Assert(t, !seen[key] && len(key) == 36 && key[14] == '7', "key %q", key)
					seen[key] = true
				}
				synctest.Wait()
			})
		})
	}
}

// Guards against a closed loop that keeps more requests in flight than set, counts
// that don't add up to the requests sent, a load that runs on after its duration,
// and settings with no address, an address beyond loopback or an impossible share
// being accepted.
func TestClosedLoop(t *testing.T) {
	address := make(chan string, 1)
	w := worker.New(worker.Settings{
		ID: "w1", Services: []modeler.ServiceName{"narudzbe"}, ServiceTime: 2 * time.Millisecond, LeaveDelay: time.Millisecond,
		Faults: worker.Faults{Choose: func(r *http.Request) worker.Fault {
			switch r.Header.Get("Idempotency-Key")[35] {
			case '0':
				return worker.FaultFail
			case '1':
				return worker.FaultClose
			default:
				return worker.FaultNone
			}
		}},
		Listening: func(a string) { address <- a },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	settings := measurer.Settings{Entries: []string{<-address}, Service: "narudzbe", Concurrency: 16, Count: 1000, Verify: true}
	report, err := measurer.Run(t.Context(), settings)
	assert.NilError(t, err)
	_, peak := w.Active()
	assert.Assert(t, peak <= 16 && peak > 8, "%d requests in flight", peak)
	assert.Equal(t, report.Sent, 1000)
	assert.Equal(t, len(w.Log().Runs), 1000)
	total := 0
	for _, count := range append(report.Statuses, report.Errors...) {
		assert.Assert(t, strings.Contains("200 500 answer-lost", count.Name) && count.Count > 0, "%+v", count)
		total += count.Count
	}
	assert.Equal(t, total, 1000)
	assert.Equal(t, report.All.Count+report.Failed.Count, int64(1000))
	assert.Equal(t, report.ForeignAnswers, 0)
	text, err := json.Marshal(report)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), `"p99":"`), "%s", text)
	assert.Assert(t, strings.Contains(report.Text(), "closed loop, 1000 requests"), report.Text())

	settings.Count = 200
	comparisons, err := measurer.Compare(t.Context(), settings, settings.Entries, []int{1, 8})
	assert.NilError(t, err)
	assert.Equal(t, len(comparisons), 2)
	assert.Equal(t, comparisons[1].Direct.Sent, 200)
	assert.Equal(t, strings.Count(measurer.FormatComparisons(comparisons), "\n"), 5)

	settings.Count, settings.Duration = 1<<30, 50*time.Millisecond
	begin := time.Now()
	_, err = measurer.Run(t.Context(), settings)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begin) < time.Second)
	for _, wrong := range []measurer.Settings{{}, {Entries: []string{"192.0.2.1:80"}}, {Entries: settings.Entries, NonRepeatableShare: 2}} {
		_, err = measurer.Run(t.Context(), wrong)
		assert.Assert(t, err != nil, "%+v", wrong)
	}
	cancel()
	assert.NilError(t, <-ended)
}
