package main_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/loader"
	"goldcreststack.example/goldcreststack/worker"
)

// balancer sends requests to the entry hosts whose readiness check succeeds, as
// the platform's load balancer does.
type balancer struct {
	s      *system
	client *http.Client
	mu     sync.Mutex
	ready  map[string]bool
	next   atomic.Uint64
}

func newBalancer(ctx context.Context, s *system) *balancer {
	b := &balancer{s: s, client: &http.Client{Timeout: 20 * time.Second}, ready: make(map[string]bool)}
	for _, entryAddress := range s.entryAddresses {
		b.ready[entryAddress] = true
	}
	for _, entryAddress := range s.entryAddresses {
		go b.probe(ctx, entryAddress)
	}
	return b
}

// probe checks the readiness of an entry host every 40 ms.
func (b *balancer) probe(ctx context.Context, entryAddress string) {
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		answer, err := client.Get("http://" + entryAddress + "/readyz")
		ready := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close()
		}
		b.mu.Lock()
		b.ready[entryAddress] = ready
		b.mu.Unlock()
		time.Sleep(40 * time.Millisecond)
	}
}

// nextReady returns the next entry host whose last check succeeded, and waits until
// there is one.
func (b *balancer) nextReady() string {
	for {
		if entryAddress, ready := b.nextEntry(); ready {
			return entryAddress
		}
		time.Sleep(time.Millisecond)
	}
}

func (b *balancer) nextEntry() (entryAddress string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.s.entryAddresses {
		entryAddress = b.s.entryAddresses[b.next.Add(1)%uint64(len(b.s.entryAddresses))]
		if b.ready[entryAddress] {
			return entryAddress, true
		}
	}
	return entryAddress, false
}

// Guards against a rolling restart of all entry hosts that interrupts or refuses a
// request. The hosts are drained and restarted one after the other under load.
func TestRollingRestartUnderLoad(t *testing.T) {
	shape := kitahama
	// The balancer shares the machine with the system, and a request that it has
	// sent on its way must arrive within the drain delay.
	shape.drainDelay = loader.DefaultDrainDelay
	s := newSystem(t, shape, 3, 7, 6)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	b := newBalancer(ctx, s)
	var served, failed atomic.Int64
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() {
			for ctx.Err() == nil {
				text := fmt.Sprint(rand.Uint64())
				begin, entryAddress := time.Now(), b.nextReady()
				request, err := http.NewRequest(http.MethodPost, "http://"+entryAddress+"/v1/services/"+s.shape.service+"/x", strings.NewReader(text))
				assert.Check(t, err)
				if i >= 16 {
					// These requests outlast the drain delay.
					request.Header.Set(worker.FaultHeader, string(worker.FaultSlow))
					request.Header.Set(worker.DelayHeader, (shape.drainDelay + 500*time.Millisecond).String())
				}
				answer, err := b.client.Do(request)
				if err != nil {
					failed.Add(1)
					t.Logf("%v", err)
					continue
				}
				body, err := io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				if err != nil || answer.StatusCode != http.StatusOK || !bytes.Contains(body, []byte(worker.DigestOf([]byte(text)))) {
					failed.Add(1)
					t.Logf("%s after %s: status %d %s %v", entryAddress, time.Since(begin), answer.StatusCode, body, err)
				}
				served.Add(1)
			}
		})
	}
	for _, p := range s.entries {
		p.signal(syscall.SIGTERM)
		assert.NilError(t, p.wait(25*time.Second), "a drained entry host ends without an error")
		p.start()
		time.Sleep(500 * time.Millisecond)
	}
	stop()
	group.Wait()
	t.Logf("%d requests served, %d failed", served.Load(), failed.Load())
	assert.Equal(t, failed.Load(), int64(0))
	assert.Assert(t, served.Load() > 1000)
}

// keepAliveConn is a caller's connection to an entry host that stays open between
// requests.
type keepAliveConn struct {
	net.Conn
	reader *bufio.Reader
}

func (s *system) dialEntry(entryAddress string) *keepAliveConn {
	s.t.Helper()
	conn, err := net.Dial("tcp", entryAddress)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(s.t, conn.SetDeadline(time.Now().Add(startTimeout)))
	return &keepAliveConn{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *keepAliveConn) send(service, text string) error {
	_, err := fmt.Fprintf(c, "POST /v1/services/%s/x HTTP/1.1\r\nHost: front\r\nContent-Length: %d\r\n\r\n%s", service, len(text), text)
	return err
}

// receive reads an answer and returns an error unless it is a worker's answer to
// the text.
func (c *keepAliveConn) receive(text string) error {
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err == nil && (answer.StatusCode != http.StatusOK || !bytes.Contains(body, []byte(worker.DigestOf([]byte(text))))) {
		err = fmt.Errorf("status %d %s", answer.StatusCode, body)
	}
	return err
}

// Guards against a graceful shutdown that cuts off requests which have arrived, on
// new or on open connections, but which a busy host hasn't read yet. The process is
// paused so that it reads them only when the drain delay is over.
func TestShutdownServesUnreadRequests(t *testing.T) {
	shape := kitahama
	shape.drainDelay = 2 * time.Second
	s := newSystem(t, shape, 1, 1, 2)
	entry, entryAddress := s.entries[0], s.entryAddresses[0]
	var conns []*keepAliveConn
	for range 8 {
		conn := s.dialEntry(entryAddress)
		assert.NilError(t, conn.send(s.shape.service, "first"))
		assert.NilError(t, conn.receive("first"))
		conns = append(conns, conn)
	}
	stopTime := time.Now()
	entry.signal(syscall.SIGTERM)
	s.await(shape.drainDelay, "readiness fails", func() error {
		if s.check(entryAddress, "/readyz") == nil {
			return errors.New("ready")
		}
		return nil
	})
	entry.suspend()
	for range 8 {
		conns = append(conns, s.dialEntry(entryAddress))
	}
	for i, conn := range conns {
		assert.NilError(t, conn.send(s.shape.service, fmt.Sprint(i)))
	}
	time.Sleep(time.Until(stopTime.Add(shape.drainDelay + 100*time.Millisecond)))
	entry.signal(syscall.SIGCONT)
	failed := 0
	for i, conn := range conns {
		if err := conn.receive(fmt.Sprint(i)); err != nil {
			failed++
			t.Logf("connection %d: %v", i, err)
		}
	}
	assert.Equal(t, failed, 0)
	assert.NilError(t, entry.wait(startTimeout), "a drained entry host ends without an error")
}

// Guards against a second run of a request that must not be repeated. Callers
// resend each key through other entry hosts while entry hosts and control
// processes are killed and restarted or paused at random.
func TestOnceUnderFaults(t *testing.T) {
	s := newSystem(t, kovacic, 3, 4, 3)
	ctx, stop := context.WithTimeout(t.Context(), 12*time.Second)
	defer stop()
	var mu sync.Mutex
	var keys []string
	notRun := make(map[string]bool)
	ran := make(map[string]bool)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for ctx.Err() == nil {
				key := newKey(t)
				mu.Lock()
				keys = append(keys, key)
				mu.Unlock()
				for try := range 4 {
					outcome := s.sendAtMostOnce(s.entryAddresses[(i+try)%4], key)
					mu.Lock()
					notRun[key] = outcome == "not-run" && (try == 0 || notRun[key])
					ran[key] = ran[key] || outcome == "run"
					mu.Unlock()
				}
			}
		})
	}
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	for ctx.Err() == nil {
		s.injectFault(rng)
	}
	group.Wait()
	double, lost, wrong := 0, 0, 0
	counts := s.countRuns()
	for _, key := range keys {
		runs := counts[key]
		switch {
		case runs > 1:
			double++
		case runs == 0 && ran[key]:
			lost++
		case runs > 0 && notRun[key]:
			wrong++
		}
	}
	t.Logf("%d keys: %d run twice, %d answered as run but not run, %d answered as not run but run", len(keys), double, lost, wrong)
	assert.Equal(t, double+lost+wrong, 0)
	assert.Assert(t, len(ran) > 20)
}

// injectFault kills and restarts, or pauses and resumes, a random entry or control
// process.
func (s *system) injectFault(rng *rand.Rand) {
	list := [][]*process{s.entries, s.controls}[rng.IntN(2)]
	p := list[rng.IntN(len(list))]
	if rng.IntN(2) == 0 {
		p.kill()
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
		p.start()
	} else {
		p.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
		p.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
}

// sendAtMostOnce sends a request that must not be repeated. It returns "run" for
// the worker's answer, or the outcome of an error answer.
func (s *system) sendAtMostOnce(entryAddress, key string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+entryAddress+"/v1/services/"+s.shape.once+"/cut", strings.NewReader(key))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Idempotency-Key", key)
	answer, err := s.client.Do(request)
	if err != nil {
		return "unknown"
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		return "unknown"
	case answer.Header.Get("Goldcreststack-Outcome") != "":
		return answer.Header.Get("Goldcreststack-Outcome")
	case answer.StatusCode == http.StatusOK && bytes.Contains(body, []byte(key)):
		return "run"
	default:
		return "another answer: " + string(body)
	}
}

// slotCount is an entry host's count of the slots that it holds at one worker.
type slotCount struct {
	Worker string
	Held   int
	Taken  int
}

// slotCounts returns the slots that an entry host holds.
func (s *system) slotCounts(entryAddress string) (counts []slotCount) {
	var state struct {
		Sections []struct {
			Body struct{ Workers []slotCount }
		}
	}
	assert.NilError(s.t, s.get(entryAddress, "/debug/state", &state))
	for _, section := range state.Sections {
		counts = append(counts, section.Body.Workers...)
	}
	return counts
}

// freeSlots returns the number of free slots of a worker that the entry hosts
// hold. seen says whether their dumps list any worker, without which the count
// means nothing.
func (s *system) freeSlots(name string) (held int, seen bool) {
	for _, entryAddress := range s.entryAddresses {
		for _, w := range s.slotCounts(entryAddress) {
			seen = true
			if w.Worker == name {
				held += w.Held - w.Taken
			}
		}
	}
	return held, seen
}

// Guards against a second attempt at a request that must not be repeated, after a
// worker has read it and closed the connection without an answer.
func TestOnceIsNotRetried(t *testing.T) {
	s := newSystem(t, kovacic, 3, 1, 3)
	for i := range 60 {
		// Without first attempts there would be no budget for retries.
		_, _, err := s.post(s.entryAddresses[0], "/v1/services/"+s.shape.service+"/x", "", i)
		assert.NilError(t, err)
	}
	key := newKey(t)
	request, err := http.NewRequest(http.MethodPost, "http://"+s.entryAddresses[0]+"/v1/services/"+s.shape.service+"/cut", strings.NewReader(key))
	assert.NilError(t, err)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Goldcreststack-Repeat", "never")
	request.Header.Set(worker.FaultHeader, string(worker.FaultClose))
	answer, err := s.client.Do(request)
	assert.NilError(t, err)
	_ = answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusBadGateway)
	assert.Equal(t, answer.Header.Get("Goldcreststack-Outcome"), "unknown")
	assert.Equal(t, s.runsOf(key), 1)
}

// Guards against an entry host that sends requests to, or holds slots of, a worker
// that leaves (SIGTERM) or becomes silent (SIGSTOP).
func TestLeavingWorkerGetsNothing(t *testing.T) {
	for name, signal := range map[string]os.Signal{"leaves": syscall.SIGTERM, "falls silent": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, kitahama, 3, 3, 3)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var group sync.WaitGroup
			var early, late atomic.Int64
			var settled atomic.Bool
			for i := range 6 {
				group.Go(func() {
					for ctx.Err() == nil {
						failed := &early
						if settled.Load() {
							failed = &late
						}
						status, _, err := s.post(s.entryAddresses[i%3], "/v1/services/"+s.shape.service+"/x", "", i)
						if err != nil || status != http.StatusOK {
							failed.Add(1)
						}
					}
				})
			}
			time.Sleep(time.Second)
			s.workers[0].signal(signal)
			time.Sleep(5 * time.Second)
			settled.Store(true)
			held, seen := s.freeSlots("worker-1")
			assert.Assert(t, seen, "the state dumps name no workers")
			assert.Equal(t, held, 0, "free slots of the worker are still held")
			time.Sleep(2 * time.Second)
			stop()
			group.Wait()
			t.Logf("%d requests failed that were sent up to 5 s after the signal, %d later ones", early.Load(), late.Load())
			assert.Equal(t, late.Load(), int64(0))
			if signal == syscall.SIGTERM {
				assert.Equal(t, early.Load(), int64(0), "a worker that leaves in order costs no request")
			}
		})
	}
}
