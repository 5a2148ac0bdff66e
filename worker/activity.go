package worker

import (
	"cmp"
	"slices"
	"sync"

	"goldcreststack.example/goldcreststack/modeler"
)

// requestCounter counts the requests being served, in total and per session of an
// entry process. Requests without a session count in the total only. The count may
// exceed the worker's slots, since a worker serves every request that it receives.
type requestCounter struct {
	mu       sync.Mutex
	active   int
	peak     int
	sessions map[string]int
}

func (c *requestCounter) add(session string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
	c.peak = max(c.peak, c.active)
	if session == "" {
		return
	}
	if c.sessions == nil {
		c.sessions = make(map[string]int)
	}
	c.sessions[session]++
}

func (c *requestCounter) remove(session string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	if session == "" {
		return
	}
	c.sessions[session]--
	if c.sessions[session] == 0 {
		delete(c.sessions, session)
	}
}

// count returns the number of requests being served and its peak so far.
func (c *requestCounter) count() (active, peak int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active, c.peak
}

// report returns a consistent snapshot of the total number of requests being
// served and of the counts per session, sorted by session.
func (c *requestCounter) report() (int, []modeler.SessionCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]modeler.SessionCount, 0, len(c.sessions))
	for session, n := range c.sessions {
		counts = append(counts, modeler.SessionCount{Session: session, Active: n})
	}
	slices.SortFunc(counts, func(x, y modeler.SessionCount) int { return cmp.Compare(x.Session, y.Session) })
	return c.active, counts
}
