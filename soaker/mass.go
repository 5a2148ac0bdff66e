package soaker

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// smallTaskCores is what a task of a wide job or one that lasts needs, in thousandths
	// of a core, so that a worker runs more tasks than it lists ends in one answer.
	smallTaskCores = 20
	// The width of a wide job is drawn between powers of ten.
	minWidthExponent, maxWidthExponent = 1.0, 3.7
	// maxGang bounds the members of a wide gang, all of which have to fit at once.
	maxGang = 300
	// specialWorkers is the number of workers of kind b, which the tasks that last need.
	specialWorkers = 2
	// lastingLimit is how long a task that lasts may not run after the last fault, from
	// the platform's pages: 6 s after its last run, and 3 s.
	lastingLimit = 9 * time.Second
	// maxAttempts is the number of failures after which a job may fail.
	maxAttempts = 3
	// failureTime is how long a task runs on a worker that fails all.
	failureTime = 100 * time.Millisecond
)

// jobStep is a step of a job.
type jobStep struct {
	tasks   int
	cores   int
	gang    bool
	lasting bool
	// copies means that several attempts of a task may run at once.
	copies bool
}

// usualSteps are the steps of the jobs that all soaks submit.
var usualSteps = []jobStep{{tasks: tasksPerStep, cores: taskCores}, {tasks: tasksPerStep, cores: taskCores}}

// kindOf returns the kind of a worker.
func (w *world) kindOf(n int) string {
	if (w.settings.Mass || w.settings.Return) && n < specialWorkers {
		return "b"
	}
	return "a"
}

// runMass submits wide jobs one after the other until ctx ends, and cancels some.
func (w *world) runMass(ctx context.Context, random *rand.Rand) {
	client := w.newClient(answerTimeout)
	for ctx.Err() == nil {
		exponent := minWidthExponent + random.Float64()*(maxWidthExponent-minWidthExponent)
		step := jobStep{tasks: int(math.Pow(10, exponent)), cores: smallTaskCores, gang: random.IntN(4) == 0}
		if step.gang {
			step.tasks = min(step.tasks, maxGang)
		}
		id := w.newJob(step)
		w.logFault("job %s of %d tasks, gang %v", id, step.tasks, step.gang)
		if w.submitJob(client, id) {
			w.watchJob(ctx, client, id)
		}
		w.sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}

// startLasting submits jobs whose tasks last and need workers of kind b, and returns
// those that were accepted.
func (w *world) startLasting(random *rand.Rand) []string {
	client := w.newClient(answerTimeout)
	var accepted []string
	for range 2 {
		id := w.newJobOf(w.check.unlimitedAccount(), jobStep{tasks: 1 + random.IntN(6), cores: smallTaskCores, lasting: true})
		if w.submitJob(client, id) {
			accepted = append(accepted, id)
		}
	}
	return accepted
}

// endLasting checks that the tasks of jobs that last run soon after the last fault, and
// cancels these jobs.
func (w *world) endLasting(ids []string) {
	client := w.newClient(answerTimeout)
	for _, id := range ids {
		w.expectSince(w.faultsEnded, lastingLimit, "not all tasks of job "+id+", which last, run again", func() bool {
			return w.check.allRun(id)
		})
		for begun := time.Now(); !w.isOver(begun, settleTime); w.sleep(100 * time.Millisecond) {
			w.cancelJob(client, id)
			if w.askState(client, id, w.randomEntry()) == "cancelled" {
				break
			}
		}
	}
}

// allRun reports whether all tasks of a job of one step run.
func (c *check) allRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.jobs[id].steps[0].tasks {
		if c.runningOn[fmt.Sprintf("%s.0.0.%d", id, i)] == "" {
			return false
		}
	}
	return true
}

// mayHaveFailed reports whether a task of the job has failed as often as it may. The
// failures of a gang count together. The caller holds the lock.
func (c *check) mayHaveFailed(id string) bool {
	for s, step := range c.jobs[id].steps {
		sum := 0
		for i := range step.tasks {
			n := c.failures[fmt.Sprintf("%s.0.%d.%d", id, s, i)]
			if n >= maxAttempts {
				return true
			}
			sum += n
		}
		if step.gang && sum >= maxAttempts {
			return true
		}
	}
	return false
}

// failKind makes all workers of a kind, or all workers, fail all that they start.
func (w *world) failKind(span time.Duration) {
	kind := []string{"a", "b", ""}[w.random.IntN(3)]
	w.logFault("all workers of kind %q fail what they start for %v", kind, span)
	for _, s := range w.workers {
		if kind == "" || s.kind == kind {
			s.setFailing(true)
			w.afterDelay(span, func() { s.setFailing(false) })
		}
	}
}

func (s *worker) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// usedCores returns what the running tasks need; the caller holds the lock.
func (s *worker) usedCores() int {
	sum := 0
	for _, t := range s.running {
		sum += t.step.cores
	}
	return sum
}
