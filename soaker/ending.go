package soaker

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// copyCallers is the number of callers whose jobs may run in copies.
	copyCallers = 4
	// longFactor is how many times longer than usual an attempt runs that is overdue.
	longFactor = 8
	// failAllTime is how long a worker fails all that it runs, at most.
	failAllTime = time.Second
	// maxDarkTime bounds the time in which a worker is silent. It is longer than its lease, so
	// that starts that were sent to it never arrive.
	maxDarkTime = 3 * maxLease / 2
	// copyAllowance is how long after an acknowledged end an order for a task that may run in
	// copies can still arrive, from the platform's pages.
	copyAllowance = time.Second
	// queuedAge is the age from which a job that no worker has begun has to be counted as
	// queued, from the platform's pages: 3 s until it is visible, and 2 s.
	queuedAge = 5 * time.Second
)

// runCopies submits jobs whose tasks may run in copies, one after the other until ctx
// ends.
func (w *world) runCopies(ctx context.Context, random *rand.Rand) {
	client := w.newClient(answerTimeout)
	for ctx.Err() == nil {
		steps := make([]jobStep, 1+random.IntN(2))
		for i := range steps {
			steps[i] = jobStep{tasks: 1 + random.IntN(4), cores: taskCores * (1 + random.IntN(3)), copies: random.IntN(4) > 0}
		}
		id := w.newJob(steps...)
		if w.submitJob(client, id) {
			w.watchJob(ctx, client, id)
		}
		w.sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// endAttempts ends attempts in ways that workers don't choose one by one: a worker fails
// all that it runs at once, or is silent for so long that its leases expire.
func (w *world) endAttempts(length time.Duration, random *rand.Rand) {
	for end := time.Now().Add(length); time.Now().Before(end) && w.ctx.Err() == nil; {
		s := w.workers[random.IntN(len(w.workers))]
		switch random.IntN(3) {
		case 0:
			span := min(time.Duration(1+random.Int64N(int64(maxDarkTime))), time.Until(end))
			w.logFault("worker %s is silent for %v", s.id, span)
			s.goDark(span, random.IntN(2) == 0)
		default:
			span := time.Duration(random.Int64N(int64(failAllTime)))
			w.logFault("worker %s fails all that it runs, for %v", s.id, span)
			s.failAll(span, random)
		}
		w.sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// failAll fails all tasks of the worker at once, in any order, and what it starts within
// the given time.
func (s *worker) failAll(span time.Duration, random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown || s.clock() > s.leaseEnd {
		return
	}
	s.failing = true
	s.world.afterDelay(span, func() { s.setFailing(false) })
	var names []string
	for name := range s.running {
		names = append(names, name)
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		s.endTask(name, "failed")
	}
}

// goDark makes the worker silent for the given time: it takes no order, and what it runs goes
// on until its lease ends. Then it may have crashed meanwhile.
func (s *worker) goDark(span time.Duration, crashes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown || s.isDark {
		return
	}
	s.isDark = true
	s.world.afterDelay(span, func() {
		if crashes {
			s.crash(0)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.isDark = false
	})
}

// isLateCopy reports whether an order starts a copy that was sent too long after the end of
// its task was acknowledged; the caller holds the worker's lock.
func (s *worker) isLateCopy(o *order, since time.Duration) bool {
	return o.Wait >= 0 && since > copyAllowance && s.ageOf(&o.Order) < since-copyAllowance
}

// isLong reports whether an attempt of a task runs for longFactor times as long as usual.
func isLong(name string, attempt int) bool {
	return attempt == 1 && name[len(name)-1] == name[0]%4+'0'
}

// countQueued asks entry processes for the number of queued jobs until ctx ends, and compares
// it with the jobs of which no worker has begun a task.
func (w *world) countQueued(ctx context.Context) {
	client := w.newClient(answerTimeout)
	for ; ctx.Err() == nil; w.sleep(200 * time.Millisecond) {
		sent := time.Now()
		if count, known := w.askQueued(client, w.randomEntry()); known {
			w.check.checkQueued(count, sent)
		}
	}
}

// askQueued asks a process for the number of queued jobs, and reports whether it told one.
func (w *world) askQueued(client *http.Client, p *process) (int, bool) {
	given, found := w.check.credentialsOf(w.check.unlimitedAccount())
	if !found {
		return 0, false
	}
	status, data := w.call(client, given, http.MethodGet, p, "", "")
	var answer struct {
		Count *int `json:"queued_count"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &answer) != nil || answer.Count == nil {
		return 0, false
	}
	return *answer.Count, true
}

// checkQueued checks the number of queued jobs in the answer to a request sent at the given
// time: it is at least half of the jobs that are known to have waited for so long then.
func (c *check) checkQueued(count int, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := 0
	for _, j := range c.jobs {
		if !j.hasBegun && !j.cancelSent && !j.acceptedAt.IsZero() && sent.Sub(j.acceptedAt) > queuedAge {
			waiting++
		}
	}
	if 2*count < waiting {
		c.addViolation("%d jobs are counted as queued, no worker has begun %d that were accepted %v before", count, waiting, queuedAge)
	}
}

// checkNoneQueued checks, once all jobs have ended, that none is counted as queued.
func (w *world) checkNoneQueued() {
	client := w.newClient(answerTimeout)
	w.expectWithin(visibleLimit, "jobs are counted as queued after all have ended", func() bool {
		count, known := w.askQueued(client, w.randomEntry())
		return known && count == 0
	})
}

// checkShownState checks a state that a process has shown for a job that is not over; the
// caller holds the lock.
func (c *check) checkShownState(id, state, from string) {
	j := c.jobs[id]
	switch {
	case state == "running" && !j.hasBegun:
		c.addViolation("%s shows job %s as running, no worker has begun a task of it", from, id)
	case state == "pending" && j.wasRunning:
		c.addViolation("%s shows job %s as pending again", from, id)
	}
	j.wasRunning = j.wasRunning || state == "running"
}
