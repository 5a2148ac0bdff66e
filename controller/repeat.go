package controller

import (
	"time"

	"goldcreststack.example/goldcreststack/modeler"
)

// repeatInterval is the least time between two lines that tell the same about
// members, elections or messages.
const repeatInterval = 5 * time.Second

// repeatLimit decides whether a line that may be due many times a second is
// written: when its content has changed, or repeatInterval after the last one.
type repeatLimit struct {
	content  string
	loggedAt modeler.ClockReading
	// skipped counts the lines left out since the last one.
	skipped int
}

// allow reports whether the line is written, and how many were left out since
// the last one.
func (l *repeatLimit) allow(now modeler.ClockReading, content string) (bool, int) {
	if content == l.content && now.Sub(l.loggedAt) < repeatInterval {
		l.skipped++
		return false, 0
	}
	skipped := l.skipped
	*l = repeatLimit{content: content, loggedAt: now}
	return true, skipped
}
