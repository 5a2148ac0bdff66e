package placer

import "time"

// Settings holds the limits and timeouts of a Placer; a field that is zero has
// its default.
type Settings struct {
	// Candidates is the number of workers that a search compares once it has
	// found one with room; 32 by default.
	Candidates int
	// ReservationDelay is how long a job waits without room before it may get the
	// reservation; 10 s by default.
	ReservationDelay time.Duration
	// ReservationTimeout is the timeout of a job's first reservation, 5 min by
	// default; it doubles each time a reservation of the same job expires.
	ReservationTimeout time.Duration
	// GangRetryDelay is the delay between two attempts to place a waiting gang; 250 ms
	// by default.
	GangRetryDelay time.Duration
	// EarmarkTimeout is how long an earmark holds room while tasks are
	// checkpointed to free it; 30 s by default.
	EarmarkTimeout time.Duration
	// FailureLimit is the number of confirmed failures after which a worker is
	// quarantined; 3 by default.
	FailureLimit int
	// QuarantineDuration is the duration of a worker's first quarantine, 1 min by
	// default; it doubles each time the worker is quarantined again.
	QuarantineDuration time.Duration
	// RequiredProbes is the number of probe tasks that must succeed on a worker after
	// its quarantine before it gets tasks without limit; 3 by default.
	RequiredProbes int
	// ProbeRunTime is the run time after which a running probe task counts as a
	// success; 30 s by default.
	ProbeRunTime time.Duration
	// UsageMarginPercent is the percentage that is added to a task's peak usage to
	// estimate its usage; 25 by default.
	UsageMarginPercent int64
	// MinUsageReports is the number of usage reports from which on a task's estimate
	// may be below its declared size; 5 by default.
	MinUsageReports int
	// OverrunPercent is the percentage by which a task may exceed its declared size
	// before it is throttled; 10 by default.
	OverrunPercent int64
	// NoReclaiming turns off the use of reclaimed room: the usage estimate of a
	// task is never below its declared size.
	NoReclaiming bool
}

const (
	maxTasks   = 1 << 20 // keeps size times tasks within an int64
	maxAvoided = 8       // failing workers and unconfirmed failures kept for one job
	// maxBackoff bounds the timeout of a reservation and the duration of a
	// quarantine, which double each time.
	maxBackoff     = time.Hour
	maxNewEarmarks = 64 // earmarks that one attempt to preempt for a job may add

	// drainPause is the least time between two searches for workers to drain,
	// since such a search may look at every worker.
	drainPause = 100 * time.Millisecond
	// rechoosePause is the time after which the workers of a reservation are
	// chosen again.
	rechoosePause = 5 * time.Second
)

func (s Settings) withDefaults() Settings {
	setDefaultInt(&s.Candidates, 32)
	setDefaultDuration(&s.ReservationDelay, 10*time.Second)
	setDefaultDuration(&s.ReservationTimeout, 5*time.Minute)
	setDefaultDuration(&s.GangRetryDelay, 250*time.Millisecond)
	setDefaultDuration(&s.EarmarkTimeout, 30*time.Second)
	setDefaultInt(&s.FailureLimit, 3)
	setDefaultDuration(&s.QuarantineDuration, time.Minute)
	setDefaultInt(&s.RequiredProbes, 3)
	setDefaultDuration(&s.ProbeRunTime, 30*time.Second)
	setDefaultInt(&s.MinUsageReports, 5)
	if s.UsageMarginPercent == 0 {
		s.UsageMarginPercent = 25
	}
	if s.OverrunPercent == 0 {
		s.OverrunPercent = 10
	}
	return s
}

func setDefaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func setDefaultDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
