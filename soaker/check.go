package soaker

import (
	"fmt"
	"sync"
	"time"
)

const (
	// cancelLimit is how long after an acknowledged cancel a task may still
	// be started, and applyLimit is how long an older configuration may be read
	// after a newer one was acknowledged. Both come from the platform's pages.
	cancelLimit = 3 * time.Second
	applyLimit  = 2 * time.Second
	// tasksPerStep is the number of tasks of each step of a usual job.
	tasksPerStep = 3
)

// job holds what callers have sent and been told about one job.
type job struct {
	spec string
	// account is "" in runs without accounts.
	account     string
	steps       []jobStep
	acceptedAt  time.Time
	cancelledAt time.Time
	// hasBegun is set once a worker has begun a task, and wasRunning once the job was shown
	// as running.
	hasBegun, wasRunning bool
	// cancelSent is set before a cancel is sent, which may be carried out
	// although no answer arrives.
	cancelSent bool
	// refused is set when every attempt to submit the job was refused.
	refused    bool
	finalState string
	// lost is set once a process doesn't know the job any more.
	lost bool
}

// check records what callers, operators and workers observe and compares it with
// the promises.
type check struct {
	mu   sync.Mutex
	jobs map[string]*job
	// runningOn maps the names of running tasks to the ids of their workers.
	runningOn map[string]string
	// acknowledgedDone holds the tasks whose end as done was acknowledged to the worker,
	// by name, with the newest such time.
	acknowledgedDone map[string]time.Time
	// doneTasks holds the names of the tasks that some worker has completed.
	doneTasks map[string]bool
	// failures counts the attempts of each task that have failed.
	failures map[string]int
	starts   int
	// refusedKeys counts the calls that got status 401.
	refusedKeys int
	// violations lists the broken promises.
	violations []string
	versions   []acknowledgement
	// lastVersion is the newest version that an operator has sent.
	lastVersion uint64
	// accounts is nil in runs without accounts.
	accounts *accounts
	// acknowledged receives a value for each acknowledgement to a caller or to the
	// operator, unless it holds one.
	acknowledged chan struct{}
}

// acknowledgement is a configuration version and the time at which its
// acknowledgement arrived.
type acknowledgement struct {
	version uint64
	at      time.Time
}

func newCheck() *check {
	return &check{
		jobs: make(map[string]*job), runningOn: make(map[string]string),
		acknowledgedDone: make(map[string]time.Time), doneTasks: make(map[string]bool),
		failures:     make(map[string]int),
		acknowledged: make(chan struct{}, 1),
	}
}

// noteAcknowledgement wakes awaitAcknowledgement.
func (c *check) noteAcknowledgement() {
	select {
	case c.acknowledged <- struct{}{}:
	default:
	}
}

// awaitAcknowledgement waits for the next acknowledgement, up to the given time.
func (c *check) awaitAcknowledgement(limit time.Duration) {
	select {
	case <-c.acknowledged:
	default:
	}
	select {
	case <-c.acknowledged:
	case <-time.After(limit):
	}
}

// recordViolation records that a promise was broken.
func (c *check) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// addViolation records a broken promise; the caller holds the lock.
func (c *check) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// noteAccepted records that a job was accepted.
func (c *check) noteAccepted(id string) {
	c.mu.Lock()
	c.jobs[id].acceptedAt = time.Now()
	c.mu.Unlock()
	c.noteAcknowledgement()
}

// acceptedSince returns the ids of the jobs that were accepted after the given time.
func (c *check) acceptedSince(begun time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, j := range c.jobs {
		if j.acceptedAt.After(begun) {
			ids = append(ids, id)
		}
	}
	return ids
}

// hasAcknowledgedSince reports whether a configuration was acknowledged after the
// given time.
func (c *check) hasAcknowledgedSince(begun time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.versions) > 0 && c.versions[len(c.versions)-1].at.After(begun)
}

// newestVersion returns the newest acknowledged version, 0 if there is none.
func (c *check) newestVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := uint64(0)
	for _, a := range c.versions {
		newest = max(newest, a.version)
	}
	return newest
}

// nextVersion returns the version of the next configuration.
func (c *check) nextVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastVersion++
	if c.accounts != nil {
		c.lastVersion = c.accounts.next()
	}
	return c.lastVersion
}

// checkStart checks the start of a task on a worker and returns how long the task
// is to run, and its step. The caller holds the worker's lock.
func (c *check) checkStart(s *worker, order *order) (time.Duration, jobStep) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	j := c.jobs[jobIDOf(order.Task)]
	switch {
	case j == nil:
		c.addViolation("task %s of a job that nobody submitted", order.Task)
		return 0, jobStep{}
	case j.spec != order.Spec:
		c.addViolation("task %s with another spec", order.Task)
	case j.refused:
		c.addViolation("task %s of a job that was refused", order.Task)
	case !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > cancelLimit && order.Wait >= 0:
		c.checkLateStart(s, order, time.Since(j.cancelledAt))
	}
	j.hasBegun = true
	step := j.steps[stepOf(order.Task)]
	if other := c.runningOn[order.Task]; other != "" && other != s.id && !step.copies {
		c.addViolation("task %s runs on %s and on %s", order.Task, other, s.id)
	}
	if at, isDone := c.acknowledgedDone[order.Task]; isDone && (!step.copies || s.isLateCopy(order, time.Since(at))) {
		c.addViolation("task %s started again on %s after its end was acknowledged", order.Task, s.id)
	}
	if step := stepOf(order.Task); step > 0 {
		for i := range j.steps[step-1].tasks {
			if earlier := fmt.Sprintf("%s.0.%d.%d", jobIDOf(order.Task), step-1, i); !c.doneTasks[earlier] {
				c.addViolation("task %s started before %s was done", order.Task, earlier)
			}
		}
	}
	if c.runningOn[order.Task] == "" {
		c.addUse(j, step.cores)
	}
	c.runningOn[order.Task] = s.id
	c.checkQuota(order.Task, j, step.cores, s.ageOf(&order.Order))
	if s.failing {
		return failureTime, step
	}
	length := time.Duration(200+len(order.Task)*7%400) * time.Millisecond
	if step.copies && isLong(order.Task, order.Attempt) {
		length *= longFactor
	}
	return length, step
}

// checkLateStart checks an order that has started a task so long after its cancel was
// acknowledged. It may have been sent before, if the machine has delayed its reading; then
// it is older than the cancel, and its sender has given it up. Both are needed, since the
// age is too high if the worker was granted no lease for a while. The caller holds the
// lock.
func (c *check) checkLateStart(s *worker, order *order, since time.Duration) {
	age := s.ageOf(&order.Order)
	if age > since && order.isGivenUp() {
		s.world.logFault("the machine delays an order for task %s by %v, beyond its cancel %v ago", order.Task, age, since)
		return
	}
	c.addViolation("task %s started %v after its cancel, by an order that was sent %v before", order.Task, since, age)
}

// taskEnded records the end of a task on a worker. The state is the one that the
// worker reports, empty if it crashes.
func (c *check) taskEnded(name, worker, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningOn[name] == worker {
		delete(c.runningOn, name)
		j := c.jobs[jobIDOf(name)]
		c.addUse(j, -j.steps[stepOf(name)].cores)
	}
	switch state {
	case "done":
		c.doneTasks[name] = true
	case "failed":
		c.failures[name]++
	}
}

// endAcknowledged records that a control process has acknowledged the end of a
// task as done.
func (c *check) endAcknowledged(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledgedDone[name] = time.Now()
}

// checkVersion checks the configuration version that a process returned for a
// request sent at the given time.
func (c *check) checkVersion(version uint64, sent time.Time, from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.versions {
		if a.version > version && sent.Sub(a.at) > applyLimit {
			c.addViolation("%s shows version %d, %v after %d was acknowledged", from, version, sent.Sub(a.at), a.version)
			return
		}
	}
}

// checkState checks the state of a job that a process returned for a request sent
// at the given time.
func (c *check) checkState(id, state, from string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || j.acceptedAt.IsZero() {
		return
	}
	switch {
	case state == "gone" && sent.Sub(j.acceptedAt) > cancelLimit:
		if j.lost {
			return
		}
		j.lost = true
		c.addViolation("%s does not know job %s, accepted %v before", from, id, sent.Sub(j.acceptedAt))
	case state == "cancelled" && !j.cancelSent, state == "failed" && !c.mayHaveFailed(id):
		c.addViolation("%s shows job %s as %s without a cause", from, id, state)
	case state == "completed":
		for s, step := range j.steps {
			for i := range step.tasks {
				// The end of one member of a gang stands for all.
				if name := fmt.Sprintf("%s.0.%d.%d", id, s, i); !c.doneTasks[name] && !step.gang {
					c.addViolation("%s shows job %s as completed before %s is done", from, id, name)
				}
			}
		}
	}
	if j.finalState != "" && state != j.finalState && state != "gone" {
		c.addViolation("job %s was %s and is %s", id, j.finalState, state)
	}
	c.checkShownState(id, state, from)
	if state == "completed" || state == "cancelled" || state == "failed" {
		j.finalState = state
	}
}
