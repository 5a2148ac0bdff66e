package reporter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait when the log's reader is slow.
const maxQueuedLines = 2048

// AsyncWriter is a writer of log lines that never blocks. If its queue is full, it
// drops the line; the number of dropped lines is logged with the next write.
type AsyncWriter struct {
	lines chan []byte
	// flushes receives a channel that is closed when the queue is written.
	flushes chan chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that queues lines, which a goroutine writes to
// out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{})}
	go a.run(out)
	return a
}

func (a *AsyncWriter) run(out io.Writer) {
	for {
		select {
		case line := <-a.lines:
			a.writeBatch(out, line)
		case done := <-a.flushes:
			for len(a.lines) > 0 {
				a.writeBatch(out, <-a.lines)
			}
			close(done)
		}
	}
}

// writeBatch writes a line together with those that are queued already.
func (a *AsyncWriter) writeBatch(out io.Writer, line []byte) {
more:
	for len(line) < batchBytes {
		select {
		case next := <-a.lines:
			line = append(line, next...)
		default:
			break more
		}
	}
	if n := a.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":%d}\n", n)
	}
	// There is nowhere to report a failure of the log itself.
	_, _ = out.Write(line)
}

// Flush waits until the lines that are queued are written; it reports false if
// that takes longer than within. A process calls it before it ends.
func (a *AsyncWriter) Flush(within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	done := make(chan struct{})
	select {
	case a.flushes <- done:
	case <-timer.C:
		return false
	}
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// batchBytes is the size from which on no more queued lines are added to a
// write.
const batchBytes = 32 << 10

// Write queues a copy of a line. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}
