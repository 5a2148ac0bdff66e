package dispatcher

import (
	"math"
	"time"
)

const (
	// priorSamples is the number of samples that the caller's estimates count for.
	priorSamples = 3.0
	// priorVariance is the variance of the logarithm of estimates that a queue is
	// assumed to have before its own is known.
	priorVariance = 0.25
	// maxSamples bounds the weight of earlier samples, so that newer ones replace
	// them.
	maxSamples = 200.0
	// siblingSamples is the number of samples of the queue that one task of the same
	// step counts for: tasks of a step differ less than the steps of a queue.
	siblingSamples = 4.0
	// initialDeviation is the assumed standard deviation of log(run time / expected
	// run time) before any task of the queue has ended: a factor of 1.6.
	initialDeviation = 0.5
	// minDeviation is the least standard deviation that a queue is assumed to have: few
	// run times show it only roughly, and progress is reported in whole percent.
	minDeviation = 0.25
	// maxMiss is the number of standard deviations to which the error of a prediction is
	// cut, so that single runs that take several times as long count little.
	maxMiss = 3
)

// runtimes predicts the run times of a queue's tasks from the estimates of callers
// and the run times of earlier tasks. It is a linear regression between the
// logarithms: where estimates say little, the usual run time of the queue counts. It
// serves queues whose callers can't tell how long their tasks run: deadlines that
// rest on a wrong estimate give up flows whose callers still wait.
type runtimes struct {
	// samples is the weight of all samples. The other fields are weighted means:
	// of the logarithms of estimates and run times, and of their products around
	// these means.
	samples    float64
	estimate   float64
	runtime    float64
	variance   float64
	covariance float64
	// squares is the mean square of the prediction's error.
	squares float64
}

func newRuntimes() runtimes {
	return runtimes{variance: priorVariance, covariance: priorVariance, squares: initialDeviation * initialDeviation}
}

// predict returns the expected logarithm of the run time for the logarithm of an
// estimate.
func (t *runtimes) predict(estimate float64) float64 {
	slope := (t.samples*t.covariance + priorSamples*priorVariance) / (t.samples*t.variance + priorSamples*priorVariance)
	learned := t.runtime + slope*(estimate-t.estimate)
	return (t.samples*learned + priorSamples*estimate) / (t.samples + priorSamples)
}

// deviation returns the standard deviation of the logarithm of a run time from its
// prediction.
func (t *runtimes) deviation() float64 { return max(math.Sqrt(t.squares), minDeviation) }

// add learns the run time of a task. Tasks of one step share an estimate, so each of
// them has a weight below 1.
func (t *runtimes) add(estimate, runtime, weight float64) {
	expected, limit := t.predict(estimate), maxMiss*t.deviation()
	miss := max(-limit, min(runtime-expected, limit))
	runtime = expected + miss
	t.samples = min(t.samples+weight, maxSamples)
	rate := weight / t.samples
	t.squares += weight / (t.samples + priorSamples) * (miss*miss - t.squares)
	fromEstimate, fromRuntime := estimate-t.estimate, runtime-t.runtime
	t.estimate += rate * fromEstimate
	t.runtime += rate * fromRuntime
	t.variance += rate * (fromEstimate*(estimate-t.estimate) - t.variance)
	t.covariance += rate * (fromEstimate*(runtime-t.runtime) - t.covariance)
}

// logOf returns the logarithm of a time in seconds.
func logOf(d time.Duration) float64 { return math.Log(max(d.Seconds(), 0.001)) }

// expOf returns the time of a logarithm of seconds.
func expOf(x float64) time.Duration { return time.Duration(math.Exp(x) * float64(time.Second)) }

// predictedLog returns the expected logarithm of the run time of a task of the step on a
// worker of the usual speed, from its queue and from those of its tasks that are done.
func (u *unit) predictedLog() float64 {
	if !u.dispatcher.uses(Runtimes) {
		return logOf(u.step.Estimate)
	}
	usual := u.dispatcher.queue(u.flow.Spec.Queue).runtimes.predict(logOf(u.step.Estimate))
	weight := siblingSamples * float64(u.doneTasks)
	return (usual + weight*u.doneRuntime) / (1 + weight)
}

// expectedRuntime returns how long a task of the step is likely to run on a worker of the
// usual speed, or 0 if its caller gave no estimate.
func (u *unit) expectedRuntime() time.Duration {
	if u.step.Estimate <= 0 {
		return 0
	}
	return expOf(u.predictedLog())
}

// expectedRuntimeOn returns how long a task of the step is likely to run on a worker, or
// 0 if its caller gave no estimate.
func (u *unit) expectedRuntimeOn(h *host) time.Duration {
	if u.step.Estimate <= 0 {
		return 0
	}
	return expOf(u.predictedLogOn(h))
}

// longestLikelyRuntimeOn returns how long a task of the step runs on a worker at most in
// about five of six cases.
func (u *unit) longestLikelyRuntimeOn(h *host) time.Duration {
	return expOf(u.predictedLogOn(h) + u.deviationOn(h))
}

// predictedLogOn returns the expected logarithm of the run time of a task of the step on
// a worker. How fast a gang runs doesn't depend on a single worker.
func (u *unit) predictedLogOn(h *host) float64 {
	if u.step.Gang {
		return u.predictedLog()
	}
	return u.predictedLog() + h.speed.Slowness()
}

// deviationOn returns the standard deviation of the logarithm of a run time on a worker
// from its prediction.
func (u *unit) deviationOn(h *host) float64 {
	return math.Hypot(u.dispatcher.queue(u.flow.Spec.Queue).runtimes.deviation(), h.speed.Deviation())
}

// learnRuntime learns from the run time of a completed task: for its queue, its
// step and the speed of its worker. What is learned for the queue and the step is relative
// to the speed of the worker, so that it doesn't depend on which workers they use.
func (d *Dispatcher) learnRuntime(u *unit, r *run, took time.Duration) {
	if u.step.Estimate <= 0 || u.step.LongRunning || u.step.Backfill || r.attempt > 1 {
		return
	}
	q := d.queue(u.flow.Spec.Queue)
	estimate, runtime := logOf(u.step.Estimate), logOf(took)
	d.observeInterference(u, r, took, runtime-q.runtimes.predict(estimate))
	if !u.step.Gang {
		d.measureRun(u, r, runtime, q.runtimes.predict(estimate))
		runtime -= r.host.speed.Slowness()
	}
	q.runtimes.add(estimate, runtime, 1/math.Sqrt(float64(u.step.Count)))
	q.learned++
	u.doneTasks++
	u.doneRuntime += (runtime - u.doneRuntime) / float64(u.doneTasks)
}
