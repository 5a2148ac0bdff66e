package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"goldcreststack.example/goldcreststack/platform/imitator"
)

const (
	// drainTime is the time for which a worker serves on after it was acknowledged that it
	// drains, and drainExtra how much longer it does.
	drainTime  = 2 * time.Second
	drainExtra = 200 * time.Millisecond
	// maxAcknowledgeTime is how long a worker waits for that acknowledgement.
	maxAcknowledgeTime = 6 * time.Second
	// minAway and maxAway bound the time until a worker is back.
	minAway = 20 * time.Millisecond
	maxAway = 20 * time.Second
	// maxUptime bounds for how long the first generations of the workers have been up.
	maxUptime = 30 * time.Minute
	// maxReturnPause bounds the time between two ends of generations.
	maxReturnPause = 2 * time.Second
	// crashInDrain bounds the time from the announcement that a worker drains to its
	// crash.
	crashInDrain = time.Second
)

// returnWorkers lets workers leave or crash and come back under their id, for the given
// time, while orders to them are on their way. All are back at the end.
func (w *world) returnWorkers(length time.Duration, random *rand.Rand) {
	client := w.newClient(time.Second)
	for end := time.Now().Add(length); time.Now().Before(end) && w.ctx.Err() == nil; {
		s := w.workers[random.IntN(len(w.workers))]
		away := minAway + time.Duration(random.Int64N(int64(time.Second)))
		if random.IntN(2) == 0 {
			away = minAway + time.Duration(random.Int64N(int64(maxAway-minAway)))
		}
		late, kind, crashAfter := random.IntN(2) == 0, random.IntN(3), time.Duration(random.Int64N(int64(crashInDrain)))
		away = min(away, max(time.Until(end), minAway))
		if late {
			s.setLateShare(0.5)
			w.sleep(crashAfter)
		}
		switch kind {
		case 0:
			w.logFault("crash worker %s for %v, orders late %v", s.id, away, late)
			s.crash(away)
		case 1:
			w.logFault("worker %s drains and crashes for %v after %v, orders late %v", s.id, away, crashAfter, late)
			s.drain()
			w.sleep(crashAfter)
			s.crash(away)
		default:
			w.logFault("worker %s leaves for %v, orders late %v", s.id, away, late)
			s.leave(client, away)
		}
		s.setLateShare(0)
		w.sleep(time.Duration(random.Int64N(int64(maxReturnPause))))
	}
}

// drain makes the worker announce that it drains.
func (s *worker) drain() {
	s.mu.Lock()
	s.leaveAt = time.Now().Add(drainTime)
	s.mu.Unlock()
	s.announceSoon()
}

// leave ends the worker as planned: it drains, serves on after the acknowledgement,
// says that it leaves and is back after away. It does nothing more if the worker crashes
// meanwhile.
func (s *worker) leave(client *http.Client, away time.Duration) {
	s.drain()
	s.mu.Lock()
	crashes := s.crashes
	s.mu.Unlock()
	begun := time.Now()
	for {
		s.mu.Lock()
		since, hasCrashed := s.drainingSince, s.crashes != crashes
		s.mu.Unlock()
		switch {
		case hasCrashed || s.world.ctx.Err() != nil:
			return
		case !since.IsZero() && time.Since(since) > drainTime+drainExtra:
			s.sendDeparture(client)
			s.crash(away)
			return
		case since.IsZero() && time.Since(begun) > maxAcknowledgeTime:
			s.crash(away)
			return
		}
		s.world.sleep(10 * time.Millisecond)
	}
}

// sendDeparture tells the control processes that the worker leaves.
func (s *worker) sendDeparture(client *http.Client) {
	for range 20 {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodDelete, "http://"+s.world.randomControl()+imitator.AnnouncePath(s.id), nil)
		if err != nil {
			panic(err)
		}
		answer, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode < 300 {
			return
		}
	}
}
