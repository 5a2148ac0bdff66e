package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

// withServiceTime returns the shape with a service time for all workers and a
// fault for the first few, whose number is faulty.
func withServiceTime(shape deployment, span time.Duration, faulty int, fault worker.Fault) deployment {
	shape.flags = func(i int) []string {
		flags := []string{"--time", span.String()}
		if i < faulty {
			flags = append(flags, "--fault", string(fault))
		}
		return flags
	}
	return shape
}

// callers sends requests in closed loops and counts their outcomes.
type callers struct {
	s      *system
	client *http.Client
	group  sync.WaitGroup

	requests atomic.Int64

	mu       sync.Mutex
	counts   map[string]map[string]int // by caller and outcome
	answered map[string][]servedRequest
}

// servedRequest is a request that a worker has answered.
type servedRequest struct {
	span
	// path is that of no other request.
	path string
	// sentAt is when its connection was ready.
	sentAt time.Time
}

// span is the time from the sending of a request to its answer.
type span struct{ begin, end time.Time }

func newCallers(s *system) *callers {
	return &callers{
		s: s, counts: make(map[string]map[string]int), answered: make(map[string][]servedRequest),
		client: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// startLoops keeps a number of requests of one caller in flight until ctx is
// done, with a pause after each.
func (c *callers) startLoops(ctx context.Context, caller, entryAddress, service string, number int, pause time.Duration) {
	for range number {
		c.group.Go(func() {
			for ctx.Err() == nil {
				r := servedRequest{path: fmt.Sprintf("/v1/services/%s/%d", service, c.requests.Add(1))}
				r.begin = time.Now()
				outcome := c.send(caller, entryAddress, service, &r)
				r.end = time.Now()
				c.mu.Lock()
				if c.counts[caller] == nil {
					c.counts[caller] = make(map[string]int)
				}
				c.counts[caller][outcome]++
				if outcome == "200" {
					c.answered[caller] = append(c.answered[caller], r)
				}
				c.mu.Unlock()
				if outcome != "200" {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(pause)
			}
		})
	}
}

// send sends one request and sets its sentAt. It returns the status of a worker's
// answer, or the kind and outcome of an error answer of the system.
func (c *callers) send(caller, entryAddress, service string, r *servedRequest) string {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { r.sentAt = time.Now() },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entryAddress+r.path, strings.NewReader(caller))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Goldcreststack-Caller", caller)
	if service == c.s.shape.once {
		request.Header.Set("Idempotency-Key", newKey(c.s.t))
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	outcome := answer.Header.Get("Goldcreststack-Outcome")
	switch {
	case err != nil:
		return "broken"
	case outcome == "":
		return fmt.Sprint(answer.StatusCode)
	case outcome == "not-run" && answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") == "":
		return "no Retry-After"
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(string(body), `{"kind":"`), `"`)
	return kind + " " + outcome
}

func (c *callers) total(outcome string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, counts := range c.counts {
		n += counts[outcome]
	}
	return n
}

// durations returns how long the caller's successful requests took, in ascending
// order.
func (c *callers) durations(caller string) (out []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.answered[caller] {
		out = append(out, r.end.Sub(r.begin))
	}
	slices.Sort(out)
	return out
}

// slowest returns the longest time of the caller's successful requests, or 0.
func (c *callers) slowest(caller string) time.Duration {
	durations := append([]time.Duration{0}, c.durations(caller)...)
	return durations[len(durations)-1]
}

// mostOvertaken returns the largest number of runs that started on any worker between
// the sending of one of the caller's successful requests and the start of its own run.
func (c *callers) mostOvertaken(caller string, runs []worker.Execution) (most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	starts := make(map[string]time.Time)
	for _, run := range runs {
		starts[run.Path] = run.Start
	}
	for _, r := range c.answered[caller] {
		n := 0
		for _, run := range runs {
			if run.Start.After(r.sentAt) && run.Start.Before(starts[r.path]) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// slotUse samples how many slots the entry hosts use.
type slotUse struct {
	samples, used int
}

// sample adds the present use until ctx is done. An entry host uses a slot from the
// choice of the worker to the end of its answer.
func (u *slotUse) sample(ctx context.Context, s *system) {
	for ctx.Err() == nil {
		u.samples++
		u.used += s.usedSlots()
		time.Sleep(20 * time.Millisecond)
	}
}

// usedSlots returns the number of slots that the entry hosts use.
func (s *system) usedSlots() (used int) {
	for _, entryAddress := range s.entryAddresses {
		for _, w := range s.slotCounts(entryAddress) {
			used += w.Taken
		}
	}
	return used
}

func (s *system) workerLog(i int) (log worker.Log) {
	s.t.Helper()
	assert.NilError(s.t, s.get(s.workerAddresses[i], "/runs", &log))
	return log
}

// checkWorkerLimits fails when the worker's own counts of concurrent requests and
// connections exceed its bounds.
func (s *system) checkWorkerLimits(i int, when string) {
	s.t.Helper()
	log := s.workerLog(i)
	s.t.Logf("%s: worker-%d had up to %d requests and %d connections at a time", when, i+1, log.Peak, log.Connections)
	assert.Check(s.t, log.Peak <= 8, "worker-%d ran %d requests at a time", i+1, log.Peak)
	assert.Check(s.t, log.Connections <= 64, "worker-%d had %d connections", i+1, log.Connections)
}

// Guards against more concurrent requests or connections than a worker allows,
// as counted by the workers. Skewed arrivals saturate all slots while an entry
// host is killed and restarted, another is paused beyond its lease and resumed,
// a worker restarts, and each control process is paused.
func TestSlotsUnderFaults(t *testing.T) {
	s := newSystem(t, withServiceTime(kitahama, 20*time.Millisecond, 0, ""), 3, 4, 4)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	c := newCallers(s)
	for i, number := range []int{60, 20, 10, 5} {
		c.startLoops(ctx, fmt.Sprintf("caller-%d", i), s.entryAddresses[i], s.shape.service, number, 0)
		c.startLoops(ctx, fmt.Sprintf("once-%d", i), s.entryAddresses[i], s.shape.once, 2, 0)
	}
	phase := func(name string, span time.Duration) {
		before := c.total("200")
		time.Sleep(span)
		t.Logf("%s: %.0f requests served a second", name, float64(c.total("200")-before)/span.Seconds())
		for i := range s.workers {
			s.checkWorkerLimits(i, name)
		}
	}
	phase("skewed", 2*time.Second)
	s.entries[0].kill()
	phase("entry-1 is killed", 1500*time.Millisecond)
	s.entries[0].start()
	phase("entry-1 is restarted", 2*time.Second)
	s.entries[1].signal(syscall.SIGSTOP)
	phase("entry-2 is paused", 4500*time.Millisecond)
	s.entries[1].signal(syscall.SIGCONT)
	phase("entry-2 carries on", 2*time.Second)
	s.workers[0].kill()
	s.workers[0].start()
	s.await(startTimeout, "the worker is back", func() error { return s.check(s.workerAddresses[0], "/runs") })
	phase("worker-1 is restarted", 3*time.Second)
	for _, p := range s.controls {
		p.signal(syscall.SIGSTOP)
		time.Sleep(1300 * time.Millisecond)
		p.signal(syscall.SIGCONT)
	}
	phase("each control process was paused", 2*time.Second)
	stop()
	c.group.Wait()
	t.Logf("%v", c.counts)
	assert.Assert(t, s.workerLog(0).Peak == 8, "the load has not filled the slots")
	assert.Assert(t, c.total("no Retry-After") == 0)
}

// Guards against requests that wait for a paused control process. Its links must
// be replaced, and slots that are already lent must serve the load until the next
// leader lends slots.
func TestPausedControl(t *testing.T) {
	s := newSystem(t, kitahama, 3, 2, 3)
	c := newCallers(s)
	for round := range s.controls {
		ctx, stop := context.WithCancel(t.Context())
		for i, entryAddress := range s.entryAddresses {
			c.startLoops(ctx, "repeatable", entryAddress, s.shape.service, 4, 5*time.Millisecond)
			c.startLoops(ctx, fmt.Sprintf("once-%d", i), entryAddress, s.shape.once, 2, 5*time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		s.controls[round].signal(syscall.SIGSTOP)
		time.Sleep(5 * time.Second)
		s.controls[round].signal(syscall.SIGCONT)
		time.Sleep(time.Second)
		stop()
		c.group.Wait()
		t.Logf("control-%d paused: %v, the slowest repeatable request took %s", round+1, c.counts, c.slowest("repeatable"))
	}
	assert.Equal(t, len(c.counts["repeatable"]), 1, "a repeatable request has failed")
	// The next leader, elected within 2 s, lends slots again that were returned
	// just before the pause.
	assert.Assert(t, c.slowest("repeatable") < 2500*time.Millisecond, "a repeatable request waited for the paused process")
	for i := range s.entryAddresses {
		assert.Equal(t, len(c.counts[fmt.Sprintf("once-%d", i)]), 1, "a request that must not be repeated has failed")
	}
}

// Guards against retries that multiply the load when a third of the workers fails
// every request. Retries may add at most a tenth to the runs of repeatable
// requests and none to those that must not be repeated.
func TestRetriesStayInBudget(t *testing.T) {
	for _, fault := range []worker.Fault{worker.FaultClose, worker.FaultGarbage} {
		t.Run(string(fault), func(t *testing.T) {
			s := newSystem(t, withServiceTime(kovacic, 5*time.Millisecond, 2, fault), 1, 3, 6)
			ctx, stop := context.WithTimeout(t.Context(), 8*time.Second)
			defer stop()
			c := newCallers(s)
			for i, entryAddress := range s.entryAddresses {
				c.startLoops(ctx, fmt.Sprintf("caller-%d", i), entryAddress, s.shape.service, 8, 0)
				c.startLoops(ctx, fmt.Sprintf("once-%d", i), entryAddress, s.shape.once, 2, 0)
			}
			c.group.Wait()
			runs, onceRuns, retried := 0, map[modeler.Key]int{}, 0
			for i := range s.workers {
				log := s.workerLog(i)
				assert.Equal(t, log.Dropped, 0)
				for _, run := range log.Runs {
					if strings.Contains(run.Path, s.shape.once) {
						onceRuns[run.Key]++
					} else {
						runs++
					}
				}
			}
			sent, lost := 0, 0
			for caller, counts := range c.counts {
				for outcome, n := range counts {
					if strings.HasPrefix(caller, "caller") {
						sent += n
					}
					if outcome != "200" {
						lost += n
					}
				}
			}
			retried = runs - sent
			t.Logf("%d repeatable requests led to %d runs (%+.2f%%), %d requests failed: %v", sent, runs, 100*float64(retried)/float64(sent), lost, c.counts)
			assert.Assert(t, retried > 0, "nothing was tried elsewhere")
			assert.Assert(t, retried*10 <= sent, "retries exceed a tenth of the requests")
			for key, n := range onceRuns {
				assert.Assert(t, n == 1, "%s ran %d times", key, n)
			}
		})
	}
}

// maxOvertaken bounds the runs that start while a modest caller waits: those of
// 250 ms at 800 runs a second, the full rate of the workers. It is a number of runs
// because a busy machine delays the callers, the entries and the workers alike.
const maxOvertaken = 200

// Guards against unbounded queues, requests that run although they are answered
// not-run, and a greedy caller that takes the shares of others, when the arrivals
// are at least 1.5 times the capacity of the workers.
func TestOverload(t *testing.T) {
	s := newSystem(t, withServiceTime(kitahama, 20*time.Millisecond, 0, ""), 1, 2, 2)
	ticket := s.firstTicket()
	for i := range ticket.Services {
		ticket.Services[i].Queue = 40
		ticket.Services[i].Wait = modeler.Duration(time.Second)
	}
	s.apply(ticket)
	time.Sleep(500 * time.Millisecond)
	ctx, stop := context.WithTimeout(t.Context(), 6*time.Second)
	defer stop()
	c := newCallers(s)
	var use slotUse
	c.group.Go(func() {
		time.Sleep(300 * time.Millisecond) // until the leader has lent the slots
		use.sample(ctx, s)
	})
	for _, entryAddress := range s.entryAddresses {
		// 16 slots of 20 ms serve 800 requests a second. The modest callers ask
		// for 2 * 2 * 4 / (wait + 20 ms + 40 ms) of them, at most 270.
		c.startLoops(ctx, "greedy", entryAddress, s.shape.service, 120, 0)
		c.startLoops(ctx, "modest-1", entryAddress, s.shape.service, 4, 40*time.Millisecond)
		c.startLoops(ctx, "modest-2", entryAddress, s.shape.service, 4, 40*time.Millisecond)
	}
	c.group.Wait()
	served := c.total("200")
	t.Logf("%d served in 6 s: %v; the slowest took %s, of the modest callers %s and %s", served, c.counts,
		c.slowest("greedy"), c.slowest("modest-1"), c.slowest("modest-2"))
	var runs []worker.Execution
	for i := range s.workers {
		s.checkWorkerLimits(i, "overload")
		runs = append(runs, s.workerLog(i).Runs...)
	}
	assert.Equal(t, len(runs), served, "a request said not to be run has run")
	assert.Assert(t, c.counts["greedy"]["queue-full not-run"] > 0, "the queue has no bound")
	for _, caller := range []string{"modest-1", "modest-2"} {
		assert.Equal(t, len(c.counts[caller]), 1, "%s was refused: %v", caller, c.counts[caller])
		overtaken := c.mostOvertaken(caller, runs)
		t.Logf("%s was overtaken by up to %d runs", caller, overtaken)
		assert.Assert(t, overtaken < maxOvertaken, "%s waited behind another caller", caller)
	}
	mean := float64(use.used) / float64(use.samples)
	t.Logf("%.2f of 16 slots were in use in %d samples", mean, use.samples)
	assert.Assert(t, mean > 0.8*16, "the slots were not used")
	// Slots whose requests have ended may not count as used: an abandoned request
	// keeps its slot for 6 s.
	s.await(3*time.Second, "the slots are free after the last answer", func() error {
		if used := s.usedSlots(); used > 0 {
			return fmt.Errorf("%d are in use", used)
		}
		return nil
	})
}
